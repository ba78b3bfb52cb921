"""The longest turns of the event loop."""

import unittest

from thymeknot.service.turn_times import TIMERS, TurnTimes


class FakeReactor:
    """A reactor whose handlers take as long as they say."""

    def __init__(self):
        self.now = 0.0
        self.timers_take = 0.0
        self.handled = []

    def _doReadOrWrite(self, selectable, descriptor, event):  # noqa: N802 (Twisted's name)
        self.handled.append((selectable, descriptor, event))
        self.now += selectable.seconds

    def runUntilCurrent(self):  # noqa: N802 (Twisted's name)
        self.now += self.timers_take


class Listener:
    def __init__(self, seconds):
        self.seconds = seconds


class Transport(Listener):
    def __init__(self, seconds, protocol):
        super().__init__(seconds)
        self.protocol = protocol


class TurnTimesTest(unittest.TestCase):
    # Guards against answers that stop for seconds while no figure tells what held the event loop.
    def test_longest_turns_are_told_by_what_held_them(self):
        reactor = FakeReactor()
        turn_times = TurnTimes(lambda: reactor.now)
        turn_times.watch(reactor)
        for selectable in (
            Transport(0.007, self),
            Transport(2.5, self),
            Transport(0.02, self),
            Listener(0.3),
            Transport(0.004, Listener(0)),
        ):
            reactor._doReadOrWrite(selectable, 3, 1)
        for seconds in (0.001, 0.05):
            reactor.timers_take = seconds
            reactor.runUntilCurrent()
        self.assertEqual(len(reactor.handled), 5)
        self.assertEqual(
            turn_times.take(), {"TurnTimesTest": 2500.0, "Listener": 300.0, TIMERS: 50.0}
        )
        self.assertEqual(turn_times.take(), {})


if __name__ == "__main__":
    unittest.main()
