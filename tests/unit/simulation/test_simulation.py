"""The simulator: reproducible days, queues by Erlang's formulas, and checks of the five rules."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

import numpy as np

from thymeknot.interface.events import AttemptEnded
from thymeknot.simulation import scenarios, statistics
from thymeknot.simulation.baseline_policies import BASELINE_POLICIES, RULE_BREAKING_POLICIES
from thymeknot.simulation.calibration import find_broken_rules, simulate_queue
from thymeknot.simulation.experiments import simulate_days
from thymeknot.simulation.invariants import InvariantChecker
from thymeknot.simulation.random_streams import gamma, zipf_keys
from thymeknot.simulation.servers import Build, Pod
from thymeknot.simulation.simulator import Simulator, current_engine

SECOND = scenarios.TICKS_PER_SECOND
LANES = {one.request_class.name: one.request_class for one in scenarios.SMALL_FLEET_TRAFFIC}
SMALL_FLEET = {"instances": 6, "pods": 8, "rate": 60.0, "seconds": 20}


def make_checker(**options):
    return InvariantChecker(LANES, 2500, 3 * SECOND, 3.0, **options)


class Reproducibility(unittest.TestCase):
    def test_same_seed_gives_the_same_day_in_another_process(self):
        expected = Simulator(scenarios.draw_day(5, **SMALL_FLEET), current_engine).run().figures()
        code = (
            "import json; from thymeknot.simulation import scenarios as days; "
            "from thymeknot.simulation.simulator import *; "
            f"print(json.dumps([repr(days.draw_day(5, **{SMALL_FLEET!r})), "
            f"Simulator(days.draw_day(5, **{SMALL_FLEET!r}), current_engine).run().figures()]))"
        )
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=60
        )
        drawn_day, figures = json.loads(completed.stdout)
        self.assertEqual(
            (drawn_day, figures),
            (repr(scenarios.draw_day(5, **SMALL_FLEET)), json.loads(json.dumps(expected))),
        )
        self.assertNotEqual(repr(scenarios.draw_day(6, **SMALL_FLEET)), drawn_day)

    def test_all_policies_get_the_same_arrivals(self):
        requested = {
            name: Simulator(
                scenarios.draw_day(5, **SMALL_FLEET)._replace(client_retries=0, faults=()), policy
            )
            .run()
            .results.possible_earnings
            for name, policy in BASELINE_POLICIES.items()
        }
        self.assertEqual(len(set(requested.values())), 1)


class KeptResultsTest(unittest.TestCase):
    def test_comparison_is_continued_from_its_file(self):
        """Guards against results that cannot be written, or are not found again."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "results.jsonl")
            task = ("now", 2, {"instances": 4, "pods": 4, "rate": 20.0, "seconds": 8})
            first = simulate_days([task], 1, path)
            with open(path, "rb") as source:
                self.assertEqual(len(source.readlines()), 1)
            progress = []
            again = simulate_days([task], 1, path, lambda *counts: progress.append(counts))
            self.assertEqual((again, progress), (first, []))


class InFlightCounts(unittest.TestCase):
    """Engines and the simulator each count attempts in flight and agree at the end of a day."""

    def test_engines_and_simulator_agree_on_attempts_in_flight(self):
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                simulator = Simulator(scenarios.draw_day(seed, **SMALL_FLEET), current_engine).run()
                self.assertEqual(simulator.in_flight_mismatches(), [])

    def test_undelivered_attempt_end_is_detected(self):
        class LosesAttemptEnd(Simulator):
            has_lost_one = False

            def deliver_event(self, instance, event):
                if (
                    isinstance(event, AttemptEnded)
                    and self.now > 10 * SECOND
                    and not self.has_lost_one
                ):
                    self.has_lost_one = True
                else:
                    super().deliver_event(instance, event)

        day = scenarios.draw_day(5, **SMALL_FLEET)._replace(faults=())  # no instance restarts
        simulator = LosesAttemptEnd(day, current_engine).run()
        self.assertEqual(
            [counted - in_flight for _, counted, in_flight in simulator.in_flight_mismatches()],
            [1],
            simulator.in_flight_mismatches(),
        )


class SimulatorValidation(unittest.TestCase):
    def test_queues_match_erlangs_formulas(self):
        for load in (0.3, 0.6, 0.85):
            mean, p95, expected_mean, expected_p95 = simulate_queue(3, load, 120_000, 11)
            self.assertLess(abs(mean / expected_mean - 1), 0.06, load)
            self.assertLess(abs(p95 / expected_p95 - 1), 0.06, load)

    def test_random_draws_fit_their_distributions(self):
        generator = np.random.Generator(np.random.PCG64(4))
        interarrival_times, keys = gamma(generator, 1.0, 1.0), zipf_keys(generator, 500, 0.9)
        self.assertGreater(
            statistics.poisson_p_value([interarrival_times.next() for _ in range(20_000)]), 0.001
        )
        self.assertGreater(
            statistics.zipf_p_value([keys.next() for _ in range(20_000)], 500, 0.9), 0.001
        )
        # The test statistic rejects a wrong exponent.
        self.assertLess(
            statistics.zipf_p_value([keys.next() for _ in range(20_000)], 500, 1.2), 1e-6
        )

    def test_warming_server_is_slower_and_full_server_rejects(self):
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
            [pod.capacity_fraction(now) for now in (1000, 1500, 2000, 9000)],
            [0.25, 0.625, 1.0, 1.0],
        )

        class Job:
            work, lane = 100, "fetch"

        self.assertEqual(pod.submit(1000, Job), 400)
        self.assertIsNone(pod.submit(1000, Job))
        self.assertIs(pod.submit(1000, Job), False)
        self.assertEqual(pod.finish(2000), (Job, 100))

    def test_build_faults_start_after_a_delay_or_under_load(self):
        fails_late, fails_under_load = Build(2, 0.5, fault_delay=500), Build(2, 0.5, min_load=0.5)
        pod = Pod("p", "a", cores=2, speed=1.0, queue_limit=9, build=fails_late, started=1000)
        self.assertEqual(
            [fails_late.fault_applies(pod, now, "x") for now in (1400, 1500)], [False, True]
        )
        self.assertFalse(fails_under_load.fault_applies(pod, 2000, "x"))
        pod.busy_cores = 1
        self.assertTrue(fails_under_load.fault_applies(pod, 2000, "x"))

    def test_confidence_intervals_cover_the_true_difference(self):
        generator, covered = np.random.Generator(np.random.PCG64(8)), 0
        for _ in range(300):
            baseline = generator.normal(0.5, 0.1, 12)
            difference = statistics.paired_difference(
                baseline + generator.normal(0.03, 0.02, 12), baseline
            )
            covered += difference.low <= 0.03 <= difference.high
        self.assertTrue(270 <= covered <= 298, covered)


class InvariantCheckerTest(unittest.TestCase):
    def test_each_rule_is_checked_and_correct_policies_break_none(self):
        for rule, policy in RULE_BREAKING_POLICIES.items():
            self.assertIn(rule, find_broken_rules(policy, 3), policy.__name__)
        for policy in (current_engine, *BASELINE_POLICIES.values()):
            self.assertEqual(find_broken_rules(policy, 3), [], getattr(policy, "__name__", policy))

    def test_each_request_gets_one_answer_in_time(self):
        checker = make_checker()
        checker.record_request(0, 0, "t", "fetch", 100)
        checker.record_answer(150, 0, "t", "done")
        self.assertEqual(checker.violations, [])
        checker.record_answer(150, 0, "t", "done")
        checker.record_request(0, 0, "u", "fetch", 100)
        checker.record_answer(151, 0, "u", "done")
        checker.record_request(0, 0, "v", "fetch", 100)
        checker.record_request(0, 1, "w", "fetch", 100)
        checker.record_kill(50, 1)
        checker.record_day_end(1000)
        self.assertEqual(
            [text for _, _, text in checker.violations],
            ["t: a second answer", "u: answered 51 late", "v: no answer"],
        )

    def test_non_idempotent_request_is_repeated_only_if_it_did_not_run(self):
        for ran, expected_rules in ((False, []), (None, [2]), (True, [2])):
            checker = make_checker()
            checker.record_request(0, 0, "t", "pay", 9000)
            checker.record_attempt(0, 0, "t", "p", 1, lane="pay")
            checker.record_attempt_end(0, "t", 0, ran)
            checker.record_attempt(10, 0, "t", "q", 1, lane="pay")
            self.assertEqual(checker.violated_rules(), expected_rules)

    def test_no_attempt_after_the_drain_grace(self):
        checker = make_checker()
        checker.record_endpoint_state(1000, 0, "p", "gone")
        checker.record_endpoint_state(2000, 0, "p", "gone")  # the first report counts
        checker.record_attempt(3500, 0, "t", "p", 1, lane="fetch")
        self.assertEqual(checker.violations, [])
        checker.record_attempt(3501, 0, "t", "p", 1, lane="fetch")
        self.assertEqual(checker.violated_rules(), [3])

    def test_trial_gets_no_more_attempts_than_its_cap_allows(self):
        checker = make_checker()
        checker.record_release_state(0, 0, 2, 0.5, 3, phase="trial")
        for number in range(10):
            checker.record_request(number, 0, f"t{number}", "fetch", 9000)
        for number in range(8):  # the allowance of 3 and half of 10 requests
            checker.record_attempt(20 + number, 0, f"t{number}", "p", 2, lane="fetch")
        self.assertEqual(checker.violations, [])
        checker.record_attempt(30, 0, "t9", "p", 2, lane="fetch")
        self.assertEqual(checker.violated_rules(), [5])

    def test_guarded_stages_and_sticky_keys(self):
        checker = make_checker(guarded_stages=2)
        checker.record_release_state(0, 0, 2, 1.0, 1, phase="trial")
        for number in range(9):
            checker.record_request(number, 0, f"t{number}", "pay", 9000)
        checker.record_key_answer(0, "k", 2)
        checker.record_attempt(20, 0, "t1", "p", 1, lane="fetch", key="other")
        self.assertEqual(checker.violations, [])
        checker.record_attempt(20, 0, "t2", "p", 1, lane="fetch", key="k")
        checker.record_attempt(20, 0, "t3", "p", 2, lane="pay")
        self.assertEqual(
            [text.split(":")[1][:20] for _, _, text in checker.violations],
            [" its key was answere", " pay in guarded stag"],
        )

    def test_restarted_instance_has_no_allowance_from_before_its_restart(self):
        for is_killed, expected_rules in ((False, []), (True, [5])):
            checker = make_checker()
            checker.record_release_state(0, 1, 2, 0.5, 2, phase="trial")
            for number in range(40):
                checker.record_request(100 + number, 1, f"t{number}", "fetch", 10_000)
            if is_killed:
                checker.record_kill(200, 1)
            for number in range(10):
                checker.record_attempt(300 + number, 1, f"t{number}", "p", 2, lane="fetch")
            self.assertEqual(checker.violated_rules(), expected_rules)

    def test_warming_server_is_not_overloaded_by_all_instances_together(self):
        informed, uninformed = (
            make_checker(
                warmup_duration=4 * SECOND, warmup_initial_fraction=0.25, overload_window=SECOND
            )
            for _ in range(2)
        )
        for instance in range(7):
            informed.record_server_start(instance, "p", 9_000)
        for number in range(40):
            informed.record_attempt(
                10_000 + number * 100,
                number % 7,
                f"t{number}",
                "p",
                1,
                lane="fetch",
                work=100.0,
                started=9_000,
                capacity=1.0,
            )
        self.assertEqual(informed.violations, [])
        for number in range(80):
            for checker in (informed, uninformed):
                checker.record_attempt(
                    15_000 + number * 10,
                    number % 7,
                    f"u{number}",
                    "p",
                    1,
                    lane="fetch",
                    work=200.0,
                    started=9_000,
                    capacity=1.0,
                )
        self.assertEqual((informed.violated_rules(), uninformed.violated_rules()), ([4], []))


if __name__ == "__main__":
    unittest.main()
