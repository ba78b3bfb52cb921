"""Limits on what one endpoint, zone or second may add to the evidence against a build."""

import unittest

from tests.support.decisions import NOW, make_endpoint, make_engine, make_release_update
from tests.unit.policy.outcomes import record_outcomes
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    Outcome,
    Verdict,
)
from thymeknot.interface.events import FleetCounts
from thymeknot.policy.baseline import LatencyStats


class SequentialTestTest(unittest.TestCase):
    def test_one_failing_endpoint_of_several_does_not_abort_but_two_do(self):
        engine = make_engine(
            make_endpoint("old-1"),
            *(make_endpoint(f"new-{n}", 2) for n in range(4)),
            release_update=make_release_update(),
        )
        record_outcomes(engine, Outcome.ERROR, "new-0", 9)
        self.assertNotEqual(engine.voting.verdict(), Verdict.ABORT)
        engine.context.now += TICKS_PER_SECOND
        record_outcomes(engine, Outcome.ERROR, "new-1", 9)
        self.assertEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_with_few_endpoints_and_high_traffic_a_second_failing_one_is_required(self):
        for arrivals, aborts in ((0, True), (900, False)):
            engine = make_engine(
                make_endpoint("old-1"),
                make_endpoint("new-0", 2),
                make_endpoint("new-1", 2),
                make_endpoint("new-2", 2),
                release_update=make_release_update(),
            )
            engine.context.arrivals.add(NOW, arrivals)
            record_outcomes(engine, Outcome.ERROR, "new-0", 30)
            engine.context.now += TICKS_PER_SECOND
            record_outcomes(engine, Outcome.ERROR, "new-1", 1)
            engine.fleet.pending = [
                FleetCounts(2, "read", 20, 9, 100, 0),
                FleetCounts(1, "read", 90, 0, 100, 0),
            ]
            engine.fleet.process_pending()
            self.assertEqual(engine.voting.verdict() == Verdict.ABORT, aborts)
            engine.context.now += TICKS_PER_SECOND
            record_outcomes(engine, Outcome.ERROR, "new-1", 9)
            engine.context.now += TICKS_PER_SECOND
            record_outcomes(engine, Outcome.ERROR, "new-2", 9)
            self.assertEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_many_chance_failures_raise_the_bound_but_a_bad_build_exceeds_it(self):
        engine = make_engine(
            make_endpoint("old-1"),
            *(make_endpoint(f"new-{n}", 2) for n in range(20)),
            release_update=make_release_update(),
        )
        engine.sequential_test.null_rates["failed"] = 0.05
        engine.context.arrivals.add(NOW, 600)
        engine.baseline.update_null_rates = lambda: True
        for n in range(3):
            record_outcomes(engine, Outcome.TIMED_OUT, f"new-{n}")
        self.assertNotEqual(engine.voting.verdict(), Verdict.ABORT)
        for n in range(3, 9):
            engine.context.now += TICKS_PER_SECOND  # the contribution of each second is capped
            record_outcomes(engine, Outcome.TIMED_OUT, f"new-{n}")
        self.assertEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_several_slow_endpoints_abort_but_not_within_one_second(self):
        engine = make_engine(
            make_endpoint("old-1"),
            *(make_endpoint(f"new-{n}", 2) for n in range(4)),
            release_update=make_release_update(),
        )
        engine.baseline.latency_stats["read", "std"] = LatencyStats(500, 100, 300)
        verdicts = []
        for _ in range(3):
            record_outcomes(engine, Outcome.DONE, "old-1", 20, latency=100)
            for address in ("new-0", "new-1", "new-2", "new-3"):
                record_outcomes(engine, Outcome.DONE, address, 4, latency=5000)
            verdicts.append(engine.voting.verdict())
            engine.context.now += TICKS_PER_SECOND
        self.assertNotEqual(verdicts[0], Verdict.ABORT)
        self.assertEqual(verdicts[2], Verdict.ABORT)

    def test_failures_in_one_zone_do_not_abort_but_in_two_zones_they_do(self):
        # When a zone is lost, connections to the new endpoints of a trial fail within 0.25 s, while
        # attempts at the earlier build's endpoints time out much later.
        endpoints = [make_endpoint(f"old-{n}", zone="abc"[n % 3]) for n in range(9)]
        endpoints += [make_endpoint(f"new-{n}", 2, zone="abc"[n % 3]) for n in range(9)]
        for zones, min_evidence_ratio, verdict in (
            (1, 0.85, Verdict.ABSTAIN),
            (2, 1.0, Verdict.ABORT),
            (3, 1.0, Verdict.ABORT),
        ):
            engine = make_engine(
                *endpoints, release_update=make_release_update(), votes_to_revert=10, instances=40
            )
            record_outcomes(engine, Outcome.DONE, "old-1", 60)
            for number in range(9):
                if number % 3 < zones:
                    record_outcomes(engine, Outcome.ERROR, f"new-{number}", 6)
            self.assertEqual(
                (
                    engine.voting.verdict(),
                    engine.sequential_test.evidence_ratio >= min_evidence_ratio,
                    engine.sequential_test.evidence_ratio > 1,
                ),
                (verdict, True, zones > 1),
            )

    def test_in_a_single_zone_all_failures_count(self):
        endpoints = [make_endpoint(f"old-{n}") for n in range(9)] + [
            make_endpoint(f"new-{n}", 2) for n in range(9)
        ]
        engine = make_engine(
            *endpoints, release_update=make_release_update(), votes_to_revert=10, instances=40
        )
        record_outcomes(engine, Outcome.DONE, "old-1", 60)
        for number in range(3):
            record_outcomes(engine, Outcome.ERROR, f"new-{number}", 6)
        self.assertEqual(engine.voting.verdict(), Verdict.ABORT)
