"""The laboratory: the same seed gives the same day, queues are as Erlang's, each rule's breaker is found."""

import json
import subprocess
import sys
import unittest

import numpy as np

from thymeknot.interface.events import AttemptEnded
from thymeknot.simulation import scenarios, statistics
from thymeknot.simulation.baseline_policies import BREAKERS, TEXTBOOK
from thymeknot.simulation.calibration import broken_by, queue
from thymeknot.simulation.invariants import InvariantChecker
from thymeknot.simulation.random_streams import gamma, zipf_keys
from thymeknot.simulation.servers import Build, Pod
from thymeknot.simulation.simulator import Simulator, current_engine

SECOND = scenarios.TICKS_PER_SECOND
LANES = {one.lane.name: one.lane for one in scenarios.LANES}
SMALL = {"instances": 6, "pods": 8, "rate": 60.0, "seconds": 20}


def checker(**more):
    return InvariantChecker(LANES, 2500, 3 * SECOND, 3.0, **more)


class SameSeed(unittest.TestCase):
    def test_a_day_is_the_same_here_and_in_another_process(self):
        here = Simulator(scenarios.drawn(5, **SMALL), current_engine).run().figures()
        code = (
            "import json; from thymeknot.simulation import scenarios as days; "
            "from thymeknot.simulation.simulator import *; "
            f"print(json.dumps([repr(days.drawn(5, **{SMALL!r})), "
            f"Simulator(days.drawn(5, **{SMALL!r}), current_engine).run().figures()]))"
        )
        there = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=60
        )
        drawn, figures = json.loads(there.stdout)
        self.assertEqual(
            (drawn, figures), (repr(scenarios.drawn(5, **SMALL)), json.loads(json.dumps(here)))
        )
        self.assertNotEqual(repr(scenarios.drawn(6, **SMALL)), drawn)

    def test_two_policies_meet_the_same_arrivals(self):
        asked = {
            name: Simulator(scenarios.drawn(5, **SMALL)._replace(retries=0, faults=()), policy)
            .run()
            .results.possible_earnings
            for name, policy in TEXTBOOK.items()
        }
        self.assertEqual(len(set(asked.values())), 1)


class Books(unittest.TestCase):
    """Both the decisions and the world count the attempts in flight: at the end of a day they agree."""

    def test_they_agree_on_days_of_many_kinds(self):
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                day = Simulator(scenarios.drawn(seed, **SMALL), current_engine).run()
                self.assertEqual(day.in_flight_mismatches(), [])

    def test_an_end_that_is_never_told_is_found(self):
        class Forgets(Simulator):
            forgot = False

            def deliver_event(self, instance, event):
                if isinstance(event, AttemptEnded) and self.now > 10 * SECOND and not self.forgot:
                    self.forgot = True
                else:
                    super().deliver_event(instance, event)

        drawn = scenarios.drawn(5, **SMALL)._replace(faults=())  # no instance starts anew
        day = Forgets(drawn, current_engine).run()
        self.assertEqual(
            [counted - out for _, counted, out in day.in_flight_mismatches()],
            [1],
            day.in_flight_mismatches(),
        )


class World(unittest.TestCase):
    def test_queues_are_as_erlangs_formulas_have_them(self):
        for load in (0.3, 0.6, 0.85):
            mean, late, wanted, wanted_late = queue(3, load, 120_000, 11)
            self.assertLess(abs(mean / wanted - 1), 0.06, load)
            self.assertLess(abs(late / wanted_late - 1), 0.06, load)

    def test_draws_fit_what_they_are_drawn_from(self):
        chance = np.random.Generator(np.random.PCG64(4))
        gaps, keys = gamma(chance, 1.0, 1.0), zipf_keys(chance, 500, 0.9)
        self.assertGreater(statistics.arrivals_p([gaps.next() for _ in range(20_000)]), 0.001)
        self.assertGreater(statistics.zipf_p([keys.next() for _ in range(20_000)], 500, 0.9), 0.001)
        self.assertLess(
            statistics.zipf_p([keys.next() for _ in range(20_000)], 500, 1.2), 1e-6
        )  # it can fail

    def test_a_cold_pod_does_its_part_and_a_full_one_turns_away(self):
        pod = Pod(
            "p",
            "a",
            cores=1,
            speed=1.0,
            queue_limit=1,
            build=Build(1),
            started=1000,
            warmup_duration=1000,
            warmup_initial_fraction=0.25,
        )
        self.assertEqual(
            [pod.capacity_fraction(at) for at in (1000, 1500, 2000, 9000)], [0.25, 0.625, 1.0, 1.0]
        )

        class Job:
            work, lane = 100, "fetch"

        self.assertEqual(pod.submit(1000, Job), 400)
        self.assertIsNone(pod.submit(1000, Job))
        self.assertIs(pod.submit(1000, Job), False)
        self.assertEqual(pod.finish(2000), (Job, 100))

    def test_builds_fail_as_they_are_told(self):
        late, loaded = Build(2, 0.5, fault_delay=500), Build(2, 0.5, min_load=0.5)
        pod = Pod("p", "a", cores=2, speed=1.0, queue_limit=9, build=late, started=1000)
        self.assertEqual([late.fault_applies(pod, at, "x") for at in (1400, 1500)], [False, True])
        self.assertFalse(loaded.fault_applies(pod, 2000, "x"))
        pod.busy_cores = 1
        self.assertTrue(loaded.fault_applies(pod, 2000, "x"))

    def test_intervals_hold_the_true_difference(self):
        chance, held = np.random.Generator(np.random.PCG64(8)), 0
        for _ in range(300):
            one = chance.normal(0.5, 0.1, 12)
            found = statistics.paired(one + chance.normal(0.03, 0.02, 12), one)
            held += found.low <= 0.03 <= found.high
        self.assertTrue(270 <= held <= 298, held)


class Rules(unittest.TestCase):
    def test_each_breaker_is_found_and_no_textbook_policy_nor_the_module_is_blamed(self):
        for rule, policy in BREAKERS.items():
            self.assertIn(rule, broken_by(policy, 3), policy.__name__)
        for policy in (current_engine, *TEXTBOOK.values()):
            self.assertEqual(broken_by(policy, 3), [], getattr(policy, "__name__", policy))

    def test_one_answer_in_time(self):
        one = checker()
        one.record_request(0, 0, "t", "fetch", 100)
        one.record_answer(150, 0, "t", "done")
        self.assertEqual(one.violations, [])
        one.record_answer(150, 0, "t", "done")
        one.record_request(0, 0, "u", "fetch", 100)
        one.record_answer(151, 0, "u", "done")
        one.record_request(0, 0, "v", "fetch", 100)
        one.record_request(0, 1, "w", "fetch", 100)
        one.record_kill(50, 1)
        one.record_day_end(1000)
        self.assertEqual(
            [text for _, _, text in one.violations],
            ["t: a second answer", "u: answered 51 late", "v: no answer"],
        )

    def test_a_binding_one_goes_again_only_if_proved_unrun(self):
        for ran, broken in ((False, []), (None, [2]), (True, [2])):
            one = checker()
            one.record_request(0, 0, "t", "pay", 9000)
            one.record_attempt(0, 0, "t", "p", 1, lane="pay")
            one.record_attempt_end(0, "t", 0, ran)
            one.record_attempt(10, 0, "t", "q", 1, lane="pay")
            self.assertEqual(one.violated_rules(), broken)

    def test_a_drain_is_kept_to_the_moment(self):
        one = checker()
        one.record_endpoint_state(1000, 0, "p", "gone")
        one.record_endpoint_state(2000, 0, "p", "gone")  # told again: the first time counts
        one.record_attempt(3500, 0, "t", "p", 1, lane="fetch")
        self.assertEqual(one.violations, [])
        one.record_attempt(3501, 0, "t", "p", 1, lane="fetch")
        self.assertEqual(one.violated_rules(), [3])

    def test_one_delivery_too_many_to_the_trial(self):
        one = checker()
        one.record_release_state(0, 0, 2, 0.5, 3, phase="trial")
        for at in range(10):
            one.record_request(at, 0, f"t{at}", "fetch", 9000)
        for at in range(8):  # 3 and half of 10
            one.record_attempt(20 + at, 0, f"t{at}", "p", 2, lane="fetch")
        self.assertEqual(one.violations, [])
        one.record_attempt(30, 0, "t9", "p", 2, lane="fetch")
        self.assertEqual(one.violated_rules(), [5])

    def test_guarded_stages_and_keys_that_stay(self):
        one = checker(guarded_stages=2)
        one.record_release_state(0, 0, 2, 1.0, 1, phase="trial")
        for at in range(9):
            one.record_request(at, 0, f"t{at}", "pay", 9000)
        one.record_key_answer(0, "k", 2)
        one.record_attempt(20, 0, "t1", "p", 1, lane="fetch", key="other")
        self.assertEqual(one.violations, [])
        one.record_attempt(20, 0, "t2", "p", 1, lane="fetch", key="k")
        one.record_attempt(20, 0, "t3", "p", 2, lane="pay")
        self.assertEqual(
            [text.split(":")[1][:20] for _, _, text in one.violations],
            [" its key was answere", " pay in guarded stag"],
        )

    def test_an_instance_that_starts_anew_has_no_allowance_of_its_earlier_life(self):
        for killed, rules in ((False, []), (True, [5])):
            one = checker()
            one.record_release_state(0, 1, 2, 0.5, 2, phase="trial")
            for at in range(40):
                one.record_request(100 + at, 1, f"t{at}", "fetch", 10_000)
            if killed:
                one.record_kill(200, 1)
            for at in range(10):
                one.record_attempt(300 + at, 1, f"t{at}", "p", 2, lane="fetch")
            self.assertEqual(one.violated_rules(), rules)

    def test_a_cold_pod_pushed_by_all_together(self):
        one, untold = (
            checker(
                warmup_duration=4 * SECOND, warmup_initial_fraction=0.25, overload_window=SECOND
            )
            for _ in range(2)
        )
        for instance in range(7):
            one.record_server_start(instance, "p", 9_000)
        for at in range(40):
            one.record_attempt(
                10_000 + at * 100,
                at % 7,
                f"t{at}",
                "p",
                1,
                lane="fetch",
                work=100.0,
                started=9_000,
                capacity=1.0,
            )
        self.assertEqual(one.violations, [])
        for at in range(80):
            for some in (one, untold):
                some.record_attempt(
                    15_000 + at * 10,
                    at % 7,
                    f"u{at}",
                    "p",
                    1,
                    lane="fetch",
                    work=200.0,
                    started=9_000,
                    capacity=1.0,
                )
        self.assertEqual((one.violated_rules(), untold.violated_rules()), ([4], []))


if __name__ == "__main__":
    unittest.main()
