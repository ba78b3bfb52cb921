"""Tests that the model checker finds a counterexample for each broken variant only."""

import unittest

from thymeknot.raft.broken_variants import BROKEN_VARIANTS, REVEALING_FAULTS
from thymeknot.raft.model_checker import explore, search


class ModelCheckerTests(unittest.TestCase):
    def test_correct_nodes_have_no_counterexample(self):
        total_events = 0
        for seed in range(24):
            report = explore(seed, 1_500)
            self.assertEqual((report.counterexamples, report.liveness_failure), ((), None))
            total_events += report.event_count
        for focus in sorted(set(REVEALING_FAULTS.values())):
            report = explore(1, 1_500, focus=focus)
            self.assertEqual((report.counterexamples, report.liveness_failure), ((), None), focus)
        self.assertGreater(total_events, 24 * 1_500)

    def test_each_broken_variant_has_a_counterexample(self):
        for variant in BROKEN_VARIANTS:
            with self.subTest(variant):
                self.assertIsNotNone(search(variant, range(60), 1_500)[1])

    def test_runs_with_the_same_seed_are_equal(self):
        self.assertEqual(explore(5, 800), explore(5, 800))


if __name__ == "__main__":
    unittest.main()
