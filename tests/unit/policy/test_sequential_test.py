"""What one endpoint, zone or second may add to the evidence against a build."""

import unittest

from tests.support.decisions import NOW, balancer, news, pod
from tests.unit.policy.outcomes import judged
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    Outcome,
    Verdict,
)
from thymeknot.interface.events import FleetCounts
from thymeknot.policy.baseline import LatencyMark


class SequentialTestTest(unittest.TestCase):
    def test_one_pod_of_many_that_errs_does_not_send_a_build_back_but_two_do(self):
        made = balancer(pod("old-1"), *(pod(f"new-{n}", 2) for n in range(4)), told=news())
        judged(made, Outcome.ERROR, "new-0", 9)
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)
        made.context.now += TICKS_PER_SECOND
        judged(made, Outcome.ERROR, "new-1", 9)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_who_sees_enough_of_few_pods_waits_for_a_second_one(self):
        for arrivals, back in ((0, True), (900, False)):
            made = balancer(
                pod("old-1"), pod("new-0", 2), pod("new-1", 2), pod("new-2", 2), told=news()
            )
            made.context.arrivals.add(NOW, arrivals)
            judged(made, Outcome.ERROR, "new-0", 30)
            made.context.now += TICKS_PER_SECOND
            judged(made, Outcome.ERROR, "new-1", 1)
            made.fleet.rows = [
                FleetCounts(2, "read", 20, 9, 100, 0),
                FleetCounts(1, "read", 90, 0, 100, 0),
            ]
            made.fleet.weigh()
            self.assertEqual(made.voting.verdict() == Verdict.ABORT, back)
            made.context.now += TICKS_PER_SECOND
            judged(made, Outcome.ERROR, "new-1", 9)
            made.context.now += TICKS_PER_SECOND
            judged(made, Outcome.ERROR, "new-2", 9)
            self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_after_many_chance_failures_a_cluster_is_no_proof_but_a_bad_build_is(self):
        made = balancer(pod("old-1"), *(pod(f"new-{n}", 2) for n in range(20)), told=news())
        made.sequential_test.null_rates["failed"] = 0.05
        made.context.arrivals.add(NOW, 600)
        made.baseline.compare = lambda: True
        for n in range(3):
            judged(made, Outcome.TIMED_OUT, f"new-{n}")
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)
        for n in range(3, 9):
            made.context.now += TICKS_PER_SECOND  # a second is one piece of evidence
            judged(made, Outcome.TIMED_OUT, f"new-{n}")
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_slow_pods_together_do_but_not_within_one_second(self):
        made = balancer(pod("old-1"), *(pod(f"new-{n}", 2) for n in range(4)), told=news())
        made.baseline.marks["read", "std"] = LatencyMark(500, 100, 300)
        verdicts = []
        for _ in range(3):
            judged(made, Outcome.DONE, "old-1", 20, latency=100)
            for address in ("new-0", "new-1", "new-2", "new-3"):
                judged(made, Outcome.DONE, address, 4, latency=5000)
            verdicts.append(made.voting.verdict())
            made.context.now += TICKS_PER_SECOND
        self.assertNotEqual(verdicts[0], Verdict.ABORT)
        self.assertEqual(verdicts[2], Verdict.ABORT)

    def test_one_lost_zone_is_not_the_build_two_are(self):
        # A trial's pods are new: there connections fail in 0.25 s, where the earlier build's time out much later.
        pods = [pod(f"old-{n}", zone="abc"[n % 3]) for n in range(9)]
        pods += [pod(f"new-{n}", 2, zone="abc"[n % 3]) for n in range(9)]
        for zones, doubt, vote in (
            (1, 0.85, Verdict.ABSTAIN),
            (2, 1.0, Verdict.ABORT),
            (3, 1.0, Verdict.ABORT),
        ):
            made = balancer(*pods, told=news(), votes_to_revert=10, instances=40)
            judged(made, Outcome.DONE, "old-1", 60)
            for number in range(9):
                if number % 3 < zones:
                    judged(made, Outcome.ERROR, f"new-{number}", 6)
            self.assertEqual(
                (
                    made.voting.verdict(),
                    made.sequential_test.evidence_ratio >= doubt,
                    made.sequential_test.evidence_ratio > 1,
                ),
                (vote, True, zones > 1),
            )

    def test_without_zones_all_failures_count(self):
        pods = [pod(f"old-{n}") for n in range(9)] + [pod(f"new-{n}", 2) for n in range(9)]
        made = balancer(*pods, told=news(), votes_to_revert=10, instances=40)
        judged(made, Outcome.DONE, "old-1", 60)
        for number in range(3):
            judged(made, Outcome.ERROR, f"new-{number}", 6)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)
