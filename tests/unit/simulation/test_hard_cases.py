"""Hard cases of a vast fleet, caused in the laboratory and at one instance; every rule is checked on each day."""

import unittest

from tests.support.decisions import (
    NOW,
    attempted_endpoints,
    make_attempt_ended,
    make_endpoint,
    make_request,
)
from tests.support.decisions import make_engine as make_policy_engine
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import Outcome
from thymeknot.interface.events import TimerFired
from thymeknot.simulation.experiments import crowd_played, vast_figures
from thymeknot.simulation.large_fleet_scenarios import VAST, vast
from thymeknot.simulation.scenarios import Fault, Offer
from thymeknot.simulation.simulated_platform import REFUSED_CALLS, SILENT_CALLS
from thymeknot.simulation.simulator import Simulator, current_engine

SIZE = {"instances": 16, "pods": 15, "seconds": 28}
GOOD, BAD = (
    (Offer(3 * TICKS_PER_SECOND, 2, not fails, fails, 1.0, 0, 0.0),) for fails in (0.0, 0.35)
)
PAUSES = Fault("pause", 0, 28 * TICKS_PER_SECOND, (0, 2, 4, 6, 8, 10), 0.5 * TICKS_PER_SECOND)
ALL_DIE = Fault(
    "kill", 9 * TICKS_PER_SECOND, 9 * TICKS_PER_SECOND + 1, tuple(range(16)), 0.3 * TICKS_PER_SECOND
)
LATE = Fault("discovery", 8 * TICKS_PER_SECOND, 14 * TICKS_PER_SECOND, (), TICKS_PER_SECOND)
LOST, AGAIN = (
    Fault("zone", begin * TICKS_PER_SECOND, end * TICKS_PER_SECOND, (1,), 0.0)
    for begin, end in ((9, 12), (13, 15))
)
ILL = Fault("ill", 0, 28 * TICKS_PER_SECOND, (0,), 1.0)


def calls(size):
    return Fault("calls", 5 * TICKS_PER_SECOND, 15 * TICKS_PER_SECOND, (), size)


class HardCases(unittest.TestCase):
    def test_days(self):
        # behind: what was served by the earlier build, of all, at most. With the decisions of 9db9198 it is 0.414,
        # 0.464 and 0.436 where a bound is set, lists_per_instance is 17, and few connections release no build.
        for what, kind, faults, offers, changes, released, service, behind in (
            (
                "all start at once",
                VAST[0],
                (PAUSES, ALL_DIE, LATE),
                GOOD,
                {"lists": 3.0},
                [2],
                0.8,
                1.0,
            ),
            ("votes unanswered", VAST[2], (calls(SILENT_CALLS),), GOOD, {}, [2], 0.9, 1.0),
            ("votes refused", VAST[2], (calls(REFUSED_CALLS),), GOOD, {}, [2], 0.9, 1.0),
            ("few connections", VAST[2], (), GOOD, {"connections": 10}, [2], 0.85, 1.0),
            ("a zone lost twice", VAST[1], (LOST, AGAIN), GOOD, {}, [2], 0.9, 0.39),
            ("pauses, a good build", VAST[2], (PAUSES,), GOOD, {}, [2], 0.9, 0.42),
            ("pauses, a bad build", VAST[2], (PAUSES,), BAD, {}, [], 0.9, 0.0),
            ("one bad pod", VAST[2], (ILL,), GOOD, {}, [2], 0.9, 0.43),
        ):
            with self.subTest(what):
                day, _ = vast(5, kind, **SIZE)
                fleet = Simulator(
                    day._replace(faults=faults, offers=offers, **changes), current_engine
                ).run()
                figures = vast_figures(fleet)
                self.assertEqual(fleet.checker.violated_rules(), [], fleet.checker.violations[:3])
                self.assertEqual(
                    (fleet.results.released, fleet.results.rolled_back),
                    (released, [] if released else [2]),
                )
                self.assertGreater(figures["service"], service)
                self.assertLessEqual(figures["behind"], behind)
                self.assertLess(figures["cold_overrun"], 1.0)
                if fleet.discovery:
                    self.assertEqual(len(fleet.discovery.watch_streams), 16)
                    self.assertLess(figures["lists_per_instance"], 8)
                if "connections" in changes:
                    self.assertGreater(fleet.connections.refused_count, 0)
                    self.assertLessEqual(max(fleet.connections.open_counts.values()), 10)
                if faults == (ILL,):  # beside the others of its build until that is released
                    others = [fleet.results.attempts_by_pod[f"p{at}-1"] for at in range(1, 15)]
                    self.assertLess(fleet.results.attempts_by_pod["p0-1"], 0.6 * sum(others) / 14)

    def test_the_same_seed_gives_the_same_result(self):
        for kind in VAST:
            one, two = (crowd_played(("now", kind, 3, {**SIZE, "seconds": 14})) for _ in range(2))
            self.assertEqual(one, two)
            self.assertGreater(one["handshakes_per_transaction"], 0)


class OnePod(unittest.TestCase):
    def test_one_that_gets_well_is_used_again_within_seconds_and_not_rushed(self):
        # Two transactions a second to four pods. One can't be reached, or stands still for a second in four: then
        # time alone forgets nothing, since from hundreds that costs more than it brings (grown deck 0.619 to 0.396).
        for ill, tried_most, again in (
            (lambda now: Outcome.CONNECT_FAILED, 4, True),
            (
                lambda now: Outcome.TIMED_OUT if now // TICKS_PER_SECOND % 4 == 0 else Outcome.DONE,
                6,
                False,
            ),
        ):
            made, uses, well = (
                make_policy_engine(*(make_endpoint(f"old-{n}") for n in range(4))),
                [],
                NOW + 12 * TICKS_PER_SECOND,
            )
            for now in range(NOW, NOW + 30 * TICKS_PER_SECOND, TICKS_PER_SECOND // 2):
                number, waiting = (
                    0,
                    attempted_endpoints(made.handle(now, [TimerFired(0), make_request(f"t{now}")])),
                )
                while waiting:
                    at = waiting.pop()
                    outcome = ill(now) if at == "old-1" and now < well else Outcome.DONE
                    uses += [now] if at == "old-1" else []
                    waiting += attempted_endpoints(
                        made.handle(
                            now,
                            [
                                make_attempt_ended(
                                    f"t{now}", outcome, at, number, outcome == Outcome.DONE
                                )
                            ],
                        )
                    )
                    number += 1
            tried, used = [at for at in uses if at < well], [at for at in uses if at >= well]
            self.assertLessEqual(len(tried), tried_most)  # of 24
            self.assertEqual(bool(used), again)
            if again:
                self.assertLessEqual(used[0], well + 9 * TICKS_PER_SECOND)
                self.assertLessEqual(
                    sum(at < used[0] + 2 * TICKS_PER_SECOND for at in used), 2
                )  # of four: its turn, not all
                self.assertGreater(len(used), 2)
            made.now, out = NOW + 40 * TICKS_PER_SECOND, []
            for number in range(60):  # and when the others are busy, it is used in any case
                out += attempted_endpoints(made.handle(made.now, [make_request(f"busy{number}")]))
            self.assertTrue(0 < out.count("old-1") <= out.count("old-2"), out)


if __name__ == "__main__":
    unittest.main()
