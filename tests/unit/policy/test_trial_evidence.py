"""Which outcomes speak against the newest build, and how the earlier one excuses them."""

import unittest

from tests.support.decisions import NOW, balancer, news, pod
from tests.unit.policy.outcomes import judged
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    Outcome,
    ReleasePhase,
    Verdict,
)
from thymeknot.interface.events import ComplaintReceived, FleetCounts
from thymeknot.policy.baseline import LatencyStats


class TrialEvidenceTest(unittest.TestCase):
    def test_one_slow_machine_does_not_send_a_build_back(self):
        made = balancer(told=news())
        made.baseline.latency_stats["read", "std"] = LatencyStats(500, 100, 300)
        judged(made, Outcome.DONE, "old-1", 20, latency=100)
        judged(made, Outcome.DONE, "new-1", 60, latency=5000)
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)

    def test_resets_and_spoilt_answers_that_the_earlier_build_has_too_are_not_held_against_the_new_one(
        self,
    ):
        for earlier, verdict in ((0, Verdict.ABORT), (3, Verdict.PROMOTE)):
            made = balancer(pod("old-1"), *(pod(f"new-{n}", 2) for n in range(4)), told=news())
            judged(made, Outcome.DONE, "old-1", 50)
            judged(made, Outcome.RESET, "old-1", earlier)
            for address in ("new-0", "new-1", "new-2"):
                made.context.now += TICKS_PER_SECOND // 2
                judged(made, Outcome.DONE, address, 9)
                judged(made, Outcome.RESET, address, 5, key=address)
                judged(made, Outcome.RESET, address, 5)
            self.assertEqual(made.voting.verdict(), verdict)

    def test_errors_still_send_it_back_where_the_way_is_unsound(self):
        made = balancer(pod("old-1"), *(pod(f"new-{n}", 2) for n in range(4)), told=news())
        judged(made, Outcome.DONE, "old-1", 50)
        judged(made, Outcome.RESET, "old-1", 5)
        judged(made, Outcome.ERROR, "new-0", 9)
        made.context.now += TICKS_PER_SECOND
        judged(made, Outcome.ERROR, "new-1", 9)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_cold_slowness_and_time_outs_prove_nothing(self):
        made = balancer(pod("old-1"), pod("new-1", 2, started=NOW - 1), told=news())
        made.baseline.latency_stats["read", "std"] = LatencyStats(500, 100, 300)
        judged(made, Outcome.DONE, "old-1", 20, latency=100)
        judged(made, Outcome.DONE, "new-1", 20, latency=5000)
        judged(made, Outcome.TIMED_OUT, "new-1", 20)
        self.assertLessEqual(max(made.sequential_test.sums.values()), 0)

    def test_what_a_vote_goes_by_is_told_with_what_was_excluded(self):
        """A vote's log line names the evidence; without what was left out of it, no evidence, excused evidence and
        evidence that weighs too little read alike."""
        made = balancer(pod("old-1"), pod("new-1", 2), told=news())
        judged(made, Outcome.DONE, "old-1", 50)
        judged(made, Outcome.DONE, "new-1", 7)
        judged(made, Outcome.ERROR, "new-1", 3, key="k")
        judged(made, Outcome.REJECTED, "new-1", 2)
        judged(made, Outcome.RESET, "old-1", 5)
        judged(made, Outcome.RESET, "new-1", 4)
        told = made.vote_evidence()
        self.assertEqual((told.attempts, told.failed, told.judged), (16, 1, 8))
        self.assertEqual(told.excluded, {"failing_key": 2, "not_judged": 2, "lost": 4})
        self.assertEqual(told.sums["failed"], made.sequential_test.sums["failed"])
        made.handle(NOW, [news(build=3)])
        self.assertEqual(made.vote_evidence()[:3], (0, 0, {}))

    def test_one_failing_key_is_one_failure(self):
        made = balancer(told=news())
        judged(made, Outcome.ERROR, "new-1", 50, key="k")
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)

    def test_connections_that_fail_at_both_builds_are_not_the_new_ones(self):
        for earlier, vote in ((5, Verdict.ABSTAIN), (0, Verdict.ABORT)):
            made = balancer(
                pod("old-1"), pod("old-2"), *(pod(f"new-{n}", 2) for n in range(6)), told=news()
            )
            judged(made, Outcome.DONE, "old-1", 60)
            judged(made, Outcome.CONNECT_FAILED, "old-2", earlier)
            for number in range(6):
                made.context.now = NOW + number * TICKS_PER_SECOND // 4
                judged(made, Outcome.CONNECT_FAILED, f"new-{number}")
            self.assertEqual(made.voting.verdict() == Verdict.ABORT, vote == Verdict.ABORT)

    def test_a_storm_that_is_over_does_not_hide_a_bad_build(self):
        made = balancer(told=news())
        judged(made, Outcome.DONE, "old-1", 30)
        judged(made, Outcome.TIMED_OUT, "old-1", 30)
        made.context.now += 3 * TICKS_PER_SECOND
        judged(made, Outcome.DONE, "old-1", 40)
        judged(made, Outcome.DONE, "new-1")
        self.assertLess(made.sequential_test.null_rates["failed"], 0.02)
        judged(made, Outcome.TIMED_OUT, "old-1", 40)  # and while it lasts it is the rate
        judged(made, Outcome.DONE, "new-1")
        self.assertGreater(made.sequential_test.null_rates["failed"], 0.4)

    def test_resets_with_nothing_to_compare_are_not_the_builds(self):
        made = balancer(pod("new-1", 2), told=news())
        judged(made, Outcome.RESET, "new-1", 50)
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)
        judged(made, Outcome.ERROR, "new-1", 50)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_a_storm_of_errors_at_both_builds_is_not_the_new_ones(self):
        made = balancer(told=news())
        for later in range(6):
            made.context.now = NOW + later * TICKS_PER_SECOND
            judged(made, Outcome.DONE, "old-1", 30)
        judged(made, Outcome.ERROR, "old-1", 15)
        judged(made, Outcome.ERROR, "new-1", 4)
        judged(made, Outcome.DONE, "new-1", 4)
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)

    def test_after_a_release_tallies_of_the_rush_do_not_send_it_back_and_worse_ones_do(self):
        for failed, back in (
            (27, False),
            (45, True),
        ):  # of a hundred: half of the machines leave at once
            made = balancer(told=news())
            made.handle(NOW, [news(4, ReleasePhase.RELEASED, 1.0)])
            for at in range(4):
                made.context.now = NOW + at * 2 * TICKS_PER_SECOND
                made.fleet.pending = [FleetCounts(2, "read", 100, failed, 100, 0)]
                made.fleet.process_pending()
            self.assertEqual(made.voting.verdict() == Verdict.ABORT, back, failed)

    def test_a_complaint_counts_as_a_failure(self):
        made = balancer(told=news())
        made.handle(NOW, [ComplaintReceived(0, "new-1", "read")] * 5)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)
