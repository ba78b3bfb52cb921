"""A discovery that takes few calls from all: forty that ask at once must not keep it overbooked."""

import unittest
from collections import deque

from twisted.internet.task import Clock

from thymeknot import interface as i
from thymeknot.memory.deadlines import Deadlines
from thymeknot.protocol.calls import KeptStream
from thymeknot.records import Chance

from .test_sidecar import Network

TAKES, PATIENCE, ROOM = 8, 2.0, 17      # calls a second that it answers; seconds that a call waits in turn; that wait


class Overbooked:
    """Answers the calls of all in turn, so many a second; what waits too long, or finds no room, is turned away. What
    has waited too long costs it as much as an answer."""

    def __init__(self, clock, deadlines):
        self.deadlines, self.clock, self.waiting, self.host = deadlines, clock, deque(), "discovery"
        self.answered = self.turned_away = 0
        clock.callLater(1 / TAKES, self._next)

    def dial(self, stream, failed, late):
        stream.makeConnection(Standing())
        if len(self.waiting) >= ROOM:
            self.clock.callLater(0.05, self._turn_away, stream)
        else:
            self.waiting.append((self.clock.seconds(), stream))

    def _next(self):
        if self.waiting:
            at, stream = self.waiting.popleft()
            if self.clock.seconds() > at + PATIENCE:
                self._turn_away(stream)
            elif not stream.over:
                self.answered += 1
                stream.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        self.clock.callLater(1 / TAKES, self._next)

    def _turn_away(self, stream):
        self.turned_away += 1
        if not stream.over:
            stream.dataReceived(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            stream.connectionLost(Ended())


class Standing:
    def setTcpNoDelay(self, enabled):
        pass

    def write(self, data):
        pass

    def abortConnection(self):
        pass


class Ended:
    def getErrorMessage(self):
        return "ended"


class Askings(unittest.TestCase):
    def all_at_once(self, asking, seconds, lives=()):
        """Forty kept streams on one service; the first of them die and start again at the moments of lives."""
        clock = Clock()
        deadlines = Deadlines(lambda: int(clock.seconds() * 10_000), clock.callLater, lambda *fault: self.fail(fault))
        service, log = Overbooked(clock, deadlines), lambda *line, **fields: None

        def started(seed):
            stream = KeptStream(service, Chance(seed << 33), 10 ** 9, lambda: b"", lambda: lambda content: None, log)
            stream.start_among(asking)
            return stream
        streams, steps = [started(seed) for seed in range(1, 41)], int(seconds * 20)
        for step in range(steps):
            clock.advance(0.05)
            if step / 20 in lives:
                for at in range(28):
                    streams[at].log, streams[at].start = log, lambda: None  # its process is gone
                    streams[at] = started(100 * step + at + 1)
        return service, sum(stream.stream is not None for stream in streams)

    def test_forty_that_start_at_once_all_have_a_list_before_long(self):
        service, have = self.all_at_once(40, 20)
        self.assertEqual(have, 40)
        self.assertLess(service.turned_away, 80)

    def test_and_also_when_they_all_start_in_step(self):
        service, have = self.all_at_once(0, 30)
        self.assertEqual(have, 40)
        self.assertLess(service.turned_away, 120)

    def test_seven_in_ten_that_die_and_start_again(self):
        self.assertEqual(self.all_at_once(40, 40, lives=(20.0,))[1], 40)

    def test_one_alone_asks_again_at_once_where_no_connection_came_up(self):
        network = Network()
        for _ in range(10):  # a cut link says nothing of the peer's room
            network.refuse(-1)
            for _ in range(9):
                network.reactor.advance(0.1)
        self.assertGreaterEqual(len(network.reactor.tcpClients), 11)

    def test_what_the_decisions_ask_for_makes_no_call_beside_the_watch(self):
        network = Network()
        asked = len(network.reactor.tcpClients)
        network.sidecar._carry_out([i.Subscribe(True)])
        self.assertEqual(len(network.reactor.tcpClients), asked)


if __name__ == "__main__":
    unittest.main()
