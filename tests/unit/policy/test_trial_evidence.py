"""Outcomes that count as evidence against the newest build, and the earlier build's part in it."""

import unittest

from tests.support.decisions import NOW, make_endpoint, make_engine, make_release_update
from tests.unit.policy.outcomes import record_outcomes
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    Outcome,
    ReleasePhase,
    Verdict,
)
from thymeknot.interface.events import ComplaintReceived, FleetCounts
from thymeknot.policy.baseline import LatencyStats


class TrialEvidenceTest(unittest.TestCase):
    def test_one_slow_endpoint_does_not_abort_a_build(self):
        engine = make_engine(release_update=make_release_update())
        engine.baseline.latency_stats["read", "std"] = LatencyStats(500, 100, 300)
        record_outcomes(engine, Outcome.DONE, "old-1", 20, latency=100)
        record_outcomes(engine, Outcome.DONE, "new-1", 60, latency=5000)
        self.assertNotEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_resets_abort_only_if_the_earlier_build_has_none(
        self,
    ):
        for earlier_resets, verdict in ((0, Verdict.ABORT), (3, Verdict.PROMOTE)):
            engine = make_engine(
                make_endpoint("old-1"),
                *(make_endpoint(f"new-{n}", 2) for n in range(4)),
                release_update=make_release_update(),
            )
            record_outcomes(engine, Outcome.DONE, "old-1", 50)
            record_outcomes(engine, Outcome.RESET, "old-1", earlier_resets)
            for address in ("new-0", "new-1", "new-2"):
                engine.context.now += TICKS_PER_SECOND // 2
                record_outcomes(engine, Outcome.DONE, address, 9)
                record_outcomes(engine, Outcome.RESET, address, 5, key=address)
                record_outcomes(engine, Outcome.RESET, address, 5)
            self.assertEqual(engine.voting.verdict(), verdict)

    def test_errors_abort_a_build_even_if_the_network_is_unreliable(self):
        engine = make_engine(
            make_endpoint("old-1"),
            *(make_endpoint(f"new-{n}", 2) for n in range(4)),
            release_update=make_release_update(),
        )
        record_outcomes(engine, Outcome.DONE, "old-1", 50)
        record_outcomes(engine, Outcome.RESET, "old-1", 5)
        record_outcomes(engine, Outcome.ERROR, "new-0", 9)
        engine.context.now += TICKS_PER_SECOND
        record_outcomes(engine, Outcome.ERROR, "new-1", 9)
        self.assertEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_slowness_and_timeouts_of_cold_endpoints_are_no_evidence(self):
        engine = make_engine(
            make_endpoint("old-1"),
            make_endpoint("new-1", 2, started=NOW - 1),
            release_update=make_release_update(),
        )
        engine.baseline.latency_stats["read", "std"] = LatencyStats(500, 100, 300)
        record_outcomes(engine, Outcome.DONE, "old-1", 20, latency=100)
        record_outcomes(engine, Outcome.DONE, "new-1", 20, latency=5000)
        record_outcomes(engine, Outcome.TIMED_OUT, "new-1", 20)
        self.assertLessEqual(max(engine.sequential_test.sums.values()), 0)

    def test_vote_evidence_includes_the_excluded_outcomes(self):
        """Guards against vote log lines that do not show what was excluded.

        Without it, missing evidence, excluded evidence and too little evidence look the same.
        """
        engine = make_engine(
            make_endpoint("old-1"), make_endpoint("new-1", 2), release_update=make_release_update()
        )
        record_outcomes(engine, Outcome.DONE, "old-1", 50)
        record_outcomes(engine, Outcome.DONE, "new-1", 7)
        record_outcomes(engine, Outcome.ERROR, "new-1", 3, key="k")
        record_outcomes(engine, Outcome.REJECTED, "new-1", 2)
        record_outcomes(engine, Outcome.RESET, "old-1", 5)
        record_outcomes(engine, Outcome.RESET, "new-1", 4)
        evidence = engine.vote_evidence()
        self.assertEqual((evidence.attempts, evidence.failed, evidence.judged), (16, 1, 8))
        self.assertEqual(evidence.excluded, {"failing_key": 2, "not_judged": 2, "lost": 4})
        self.assertEqual(evidence.sums["failed"], engine.sequential_test.sums["failed"])
        engine.handle(NOW, [make_release_update(build=3)])
        self.assertEqual(engine.vote_evidence()[:3], (0, 0, {}))

    def test_a_key_that_fails_repeatedly_counts_as_one_failure(self):
        engine = make_engine(release_update=make_release_update())
        record_outcomes(engine, Outcome.ERROR, "new-1", 50, key="k")
        self.assertNotEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_connection_failures_at_both_builds_do_not_abort(self):
        for earlier_failures, verdict in ((5, Verdict.ABSTAIN), (0, Verdict.ABORT)):
            engine = make_engine(
                make_endpoint("old-1"),
                make_endpoint("old-2"),
                *(make_endpoint(f"new-{n}", 2) for n in range(6)),
                release_update=make_release_update(),
            )
            record_outcomes(engine, Outcome.DONE, "old-1", 60)
            record_outcomes(engine, Outcome.CONNECT_FAILED, "old-2", earlier_failures)
            for number in range(6):
                engine.context.now = NOW + number * TICKS_PER_SECOND // 4
                record_outcomes(engine, Outcome.CONNECT_FAILED, f"new-{number}")
            self.assertEqual(engine.voting.verdict() == Verdict.ABORT, verdict == Verdict.ABORT)

    def test_a_storm_of_timeouts_that_is_over_does_not_hide_a_bad_build(self):
        engine = make_engine(release_update=make_release_update())
        record_outcomes(engine, Outcome.DONE, "old-1", 30)
        record_outcomes(engine, Outcome.TIMED_OUT, "old-1", 30)
        engine.context.now += 3 * TICKS_PER_SECOND
        record_outcomes(engine, Outcome.DONE, "old-1", 40)
        record_outcomes(engine, Outcome.DONE, "new-1")
        self.assertLess(engine.sequential_test.null_rates["failed"], 0.02)
        record_outcomes(engine, Outcome.TIMED_OUT, "old-1", 40)  # a storm that lasts sets the rate
        record_outcomes(engine, Outcome.DONE, "new-1")
        self.assertGreater(engine.sequential_test.null_rates["failed"], 0.4)

    def test_resets_without_an_earlier_build_to_compare_do_not_abort(self):
        engine = make_engine(make_endpoint("new-1", 2), release_update=make_release_update())
        record_outcomes(engine, Outcome.RESET, "new-1", 50)
        self.assertNotEqual(engine.voting.verdict(), Verdict.ABORT)
        record_outcomes(engine, Outcome.ERROR, "new-1", 50)
        self.assertEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_a_storm_of_errors_at_both_builds_does_not_abort(self):
        engine = make_engine(release_update=make_release_update())
        for second in range(6):
            engine.context.now = NOW + second * TICKS_PER_SECOND
            record_outcomes(engine, Outcome.DONE, "old-1", 30)
        record_outcomes(engine, Outcome.ERROR, "old-1", 15)
        record_outcomes(engine, Outcome.ERROR, "new-1", 4)
        record_outcomes(engine, Outcome.DONE, "new-1", 4)
        self.assertNotEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_after_a_release_counts_abort_only_above_the_tolerated_rate(self):
        # Failures of a hundred attempts: half of the machines leave at once after a release.
        for failed, aborts in (
            (27, False),
            (45, True),
        ):
            engine = make_engine(release_update=make_release_update())
            engine.handle(NOW, [make_release_update(4, ReleasePhase.RELEASED, 1.0)])
            for period in range(4):
                engine.context.now = NOW + period * 2 * TICKS_PER_SECOND
                engine.fleet.pending = [FleetCounts(2, "read", 100, failed, 100, 0)]
                engine.fleet.process_pending()
            self.assertEqual(engine.voting.verdict() == Verdict.ABORT, aborts, failed)

    def test_a_complaint_counts_as_a_failure(self):
        engine = make_engine(release_update=make_release_update())
        engine.handle(NOW, [ComplaintReceived(0, "new-1", "read")] * 5)
        self.assertEqual(engine.voting.verdict(), Verdict.ABORT)
