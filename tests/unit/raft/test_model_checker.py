"""The model checker finds nothing in correct nodes, and each variant that is broken."""

import unittest

from thymeknot.raft.broken_variants import BROKEN_VARIANTS, REVEALING_FAULTS
from thymeknot.raft.model_checker import explore, search


class ModelCheckerTests(unittest.TestCase):
    def test_nothing_found(self):
        event_count = 0
        for seed in range(24):
            report = explore(seed, 1_500)
            self.assertEqual((report.counterexamples, report.liveness_failure), ((), None))
            event_count += report.event_count
        for focus in sorted(set(REVEALING_FAULTS.values())):
            report = explore(1, 1_500, focus=focus)
            self.assertEqual((report.counterexamples, report.liveness_failure), ((), None), focus)
        self.assertGreater(event_count, 24 * 1_500)

    def test_each_broken_variant_is_found(self):
        for variant in BROKEN_VARIANTS:
            with self.subTest(variant):
                self.assertIsNotNone(search(variant, range(60), 1_500)[1])

    def test_same_seed_same_run(self):
        self.assertEqual(explore(5, 800), explore(5, 800))


if __name__ == "__main__":
    unittest.main()
