"""Fleets of hundreds of sidecars, each with little traffic: subsets, sparse evidence, staggering."""

import unittest

from tests.support.decisions import (
    ENGINE_SETTINGS,
    NOW,
    action_types,
    attempted_endpoints,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_release_update,
    make_request,
    record_slow_responses,
)
from thymeknot.interface.actions import Reject, SendAttempt, SetTimer
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    UTILISATION,
    EndpointCondition,
    Outcome,
    ReleasePhase,
    UpdateKind,
    Verdict,
)
from thymeknot.interface.events import EndpointUpdate, FleetCounts, TimerFired
from thymeknot.policy.context import MAX_UPKEEP_INTERVAL
from thymeknot.policy.endpoint_selection import MIN_SUBSET_SIZE

OLD_ENDPOINTS = [make_endpoint(f"old-{n}") for n in range(40)]


def redraw_subset(seed, engine):
    """Gives an engine a seed of its own and makes it draw its endpoint subset again."""
    engine.context.rng.state = (seed + 1) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    for known in engine.context.endpoints.values():
        known.subset_rank = None
    engine.selection.group_by_build()
    return engine


class EndpointSubsets(unittest.TestCase):
    def test_an_instance_with_little_traffic_uses_few_endpoints_and_exchanges_one(self):
        engine = make_engine(*OLD_ENDPOINTS)
        before = {known.listed.address for known in engine.context.subsets[True]}
        engine.selection.next_exchange_at = engine.context.now = NOW
        engine.upkeep()
        after = {known.listed.address for known in engine.context.subsets[True]}
        self.assertEqual((len(before), len(after)), (MIN_SUBSET_SIZE, MIN_SUBSET_SIZE))
        self.assertGreaterEqual(len(before & after), MIN_SUBSET_SIZE - 1)

    def test_connection_losses_shrink_the_subset(self):
        engine = make_engine(*OLD_ENDPOINTS)
        engine.context.arrivals.add(NOW, 30)
        for engine.selection.connection_loss_rate, expected_size in (
            (0.0, 30),
            (0.5, MIN_SUBSET_SIZE),
        ):
            engine.selection.draw_subset(True)
            self.assertEqual(len(engine.context.subsets[True]), expected_size)

    def test_new_endpoints_are_as_likely_to_be_used_as_those_in_use(self):
        """Guards against endpoints in use that keep all traffic when many new ones appear at once.

        This happens in a stage of nine in ten machines, in a rollback and when a zone restarts.
        """
        early = [make_endpoint(f"new-{n}", 2) for n in range(27)]
        for late in (
            [
                make_endpoint(f"new-{n}", 2, NOW) for n in range(27, 108)
            ],  # endpoints of the next stage
            [endpoint._replace(started=NOW) for endpoint in early[:20]],  # restarted endpoints
        ):
            late_used, used = 0, 0
            for seed in range(60):
                engine = redraw_subset(
                    seed,
                    make_engine(
                        *OLD_ENDPOINTS,
                        *early,
                        release_update=make_release_update(phase=ReleasePhase.RELEASED, cap=1.0),
                        instances=216,
                    ),
                )
                engine.context.arrivals.add(NOW, 20)
                engine.selection.draw_subset(True)
                engine.handle(NOW, [EndpointUpdate(UpdateKind.DELTA, tuple(late))])
                late_used += sum(known.listed in late for known in engine.context.subsets[True])
                used += len(engine.context.subsets[True])
            expected = len(late) / len({endpoint.address for endpoint in (*early, *late)})
            self.assertAlmostEqual(late_used / used, expected, delta=0.06)

    def test_many_instances_do_not_all_choose_the_largest_endpoints(self):
        endpoints = [
            endpoint._replace(size=1.2 if n < 4 else 1.0)
            for n, endpoint in enumerate(OLD_ENDPOINTS)
        ]
        chosen = set()
        for seed in range(60):
            engine = redraw_subset(seed, make_engine(*endpoints, instances=400))
            engine.selection.draw_subset(True)
            chosen.update(attempted_endpoints(engine.handle(NOW, [make_request()])))
        self.assertGreater(len(chosen), 8)

    def test_a_subset_is_replaced_when_all_its_endpoints_are_gone(self):
        engine = make_engine(*OLD_ENDPOINTS)
        gone = tuple(
            known.listed._replace(condition=EndpointCondition.GONE)
            for known in engine.context.subsets[True]
        )
        engine.handle(NOW, [EndpointUpdate(UpdateKind.DELTA, gone)])
        self.assertNotIn(
            attempted_endpoints(engine.handle(NOW, [make_request()]))[0],
            {endpoint.address for endpoint in gone},
        )
        engine.handle(
            NOW,
            [
                EndpointUpdate(
                    UpdateKind.DELTA,
                    tuple(
                        endpoint._replace(condition=EndpointCondition.DRAINING)
                        for endpoint in OLD_ENDPOINTS
                    ),
                )
            ],
        )
        self.assertEqual(action_types(engine.handle(NOW, [make_request("t2")])), [Reject])

    def test_a_subset_is_replaced_when_all_its_endpoints_are_ejected(self):
        engine = make_engine(*OLD_ENDPOINTS)
        ejected = {known.listed.address for known in engine.context.subsets[True]}
        for known in engine.context.subsets[True]:
            known.ejected_until = NOW + TICKS_PER_SECOND
        self.assertNotIn(attempted_endpoints(engine.handle(NOW, [make_request()]))[0], ejected)

    def test_a_builds_only_endpoint_is_used_until_it_drains(self):
        engine = make_engine(
            *OLD_ENDPOINTS, make_endpoint("new-1", 2), release_update=make_release_update(cap=1.0)
        )
        engine.split.fraction = 1.0
        self.assertEqual(
            attempted_endpoints(engine.handle(NOW, [make_request(key="k")])), ["new-1"]
        )
        engine.handle(
            NOW,
            [
                make_attempt_ended(outcome=Outcome.DONE, address="new-1", closed=True),
                EndpointUpdate(
                    UpdateKind.DELTA,
                    (make_endpoint("new-1", 2, condition=EndpointCondition.DRAINING),),
                ),
            ],
        )
        self.assertEqual(action_types(engine.handle(NOW, [make_request("t2", key="k")])), [Reject])

    def test_endpoints_with_zero_latency_can_be_chosen(self):
        engine = make_engine(*OLD_ENDPOINTS, instances=400)
        for known in engine.context.endpoints.values():
            known.relative_latency = 0.0
        self.assertEqual(
            action_types(engine.handle(NOW, [make_request()])), [SendAttempt, SetTimer]
        )

    def test_a_cached_list_is_used_until_a_full_one_arrives(self):
        engine = make_engine(*OLD_ENDPOINTS)
        self.assertEqual(len(attempted_endpoints(engine.handle(NOW, [make_request()]))), 1)
        engine.handle(NOW, [EndpointUpdate(UpdateKind.FULL, (make_endpoint("other"),))])
        self.assertEqual(attempted_endpoints(engine.handle(NOW, [make_request("t2")])), ["other"])

    def test_a_load_report_of_nan_is_ignored(self):
        engine = make_engine(load_metrics=(UTILISATION,))
        address = attempted_endpoints(engine.handle(NOW, [make_request()]))[0]
        engine.handle(
            NOW,
            [
                make_attempt_ended(outcome=Outcome.DONE, address=address)._replace(
                    load=(float("nan"),)
                )
            ],
        )
        self.assertEqual(engine.context.endpoints[address].load, 0.0)


class GlobalSlowdownOfALargeFleet(unittest.TestCase):
    """Each instance sees three requests per second; the platform's counts are the same for all."""

    def record_period(self, engine, mean, failed=0, attempts=80, newest_attempts=20):
        engine.context.now += 2 * TICKS_PER_SECOND
        rows = [
            FleetCounts(1, "read", attempts - newest_attempts, failed, mean, 5_000),
            FleetCounts(2, "read", newest_attempts, 0, mean, 5_000),
        ]
        engine.handle(engine.context.now, [row for row in rows if row.attempts])
        engine.handle(engine.context.now + MAX_UPKEEP_INTERVAL, [TimerFired(0)])
        return engine.voting.verdict()

    def evaluating_engine(self, phase=ReleasePhase.ON_TRIAL):
        engine = make_engine(
            *OLD_ENDPOINTS,
            *[make_endpoint(f"new-{n}", 2) for n in range(40)],
            instances=216,
            votes_to_revert=54,
        )
        for _ in range(4):
            self.record_period(engine, 2_200, 2, newest_attempts=0)
        engine.handle(engine.context.now, [make_release_update(phase=ReleasePhase.ON_TRIAL)])
        if phase == ReleasePhase.RELEASED:
            engine.handle(engine.context.now, [make_release_update(4, phase, 1.0)])
        engine.baseline.earlier_endpoint_count, engine.split.fraction, engine.voting.turn_offset = (
            40,
            0.4,
            0,
        )
        return engine

    def test_a_build_that_slows_the_fleet_is_held_at_once_and_aborted_later(self):
        for phase, first_verdict in (
            (ReleasePhase.ON_TRIAL, Verdict.ABSTAIN),
            (ReleasePhase.RELEASED, Verdict.ABSTAIN),
        ):
            engine = self.evaluating_engine(phase)
            self.assertEqual(self.record_period(engine, 3_600, 6), first_verdict, phase)
            self.assertIsNotNone(engine.slowdown.since)
            verdicts = [self.record_period(engine, 4_400, 8) for _ in range(3)]
            self.assertEqual(verdicts[-1], Verdict.ABORT, phase)

    def test_other_causes_of_slowness_do_not_abort(self):
        for cause, mean, failed, attempts in (
            ("slightly slower", 2_700, 3, 80),
            ("a burst", 3_900, 5, 130),
            ("a tenth fails", 2_200, 8, 80),
        ):
            engine = self.evaluating_engine()
            verdicts = {self.record_period(engine, mean, failed, attempts) for _ in range(5)}
            self.assertNotIn(Verdict.ABORT, verdicts, cause)

    def test_a_released_build_is_not_aborted_because_machines_have_left(self):
        engine = self.evaluating_engine(ReleasePhase.RELEASED)
        self.assertNotIn(
            Verdict.ABORT, [self.record_period(engine, 3_050, 4, 80, 80) for _ in range(6)]
        )

    def test_a_transient_slowdown_stops_the_ramp_only_while_it_lasts(self):
        engine = self.evaluating_engine()
        self.record_period(engine, 4_400, 8)
        engine.slow_start.capacity, engine.split.fraction, before = (
            {True: 40.0, False: 40.0},
            0.3,
            0.3,
        )
        engine.raise_split()
        # A build that slows down all endpoints gets no more traffic.
        self.assertEqual(engine.split.fraction, before)
        self.assertNotIn(Verdict.ABORT, [self.record_period(engine, 2_300) for _ in range(4)])
        self.assertIsNone(engine.slowdown.since)
        engine.raise_split()
        self.assertGreater(engine.split.fraction, before)


class LastStage(unittest.TestCase):
    """A build that slows all endpoints by its own traffic shows in the last stage's counts, or too late."""

    def last_stage_verdict(self, stage, counted, **settings):
        """Returns the verdict of an instance whose newest endpoints all started at NOW.

        The last period that the platform counted ended at `counted`.
        """
        settings = {
            "instances": 216,
            "votes_to_revert": 54,
            "vote_lifetime": 60 * TICKS_PER_SECOND,
            **settings,
        }
        engine = make_engine(
            *OLD_ENDPOINTS,
            *[make_endpoint(f"new-{n}", 2, NOW) for n in range(40)],
            release_update=make_release_update(stage),
            **settings,
        )
        (
            engine.voting.turn_offset,
            engine.sequential_test.below_pause_since,
            engine.baseline.earlier_endpoint_count,
        ) = (
            0,
            NOW - 60 * TICKS_PER_SECOND,
            40,
        )
        for until in range(NOW - 8 * TICKS_PER_SECOND, counted + 1, 2 * TICKS_PER_SECOND):
            engine.fleet.fleet_baseline.record_period(until)
        engine.context.now = NOW + ENGINE_SETTINGS.warmup_duration + TICKS_PER_SECOND
        return engine.voting.verdict()

    def test_a_large_fleet_waits_for_the_counts_of_warm_endpoints(self):
        warm = NOW + ENGINE_SETTINGS.warmup_duration
        for case, stage, counted, verdict, settings in (
            ("counted before they were warm", 4, warm - TICKS_PER_SECOND, Verdict.ABSTAIN, {}),
            ("counted when they were warm", 4, warm, Verdict.PROMOTE, {}),
            ("an earlier stage", 3, warm - TICKS_PER_SECOND, Verdict.PROMOTE, {}),
            (
                "few sidecars, each with enough traffic",
                4,
                warm - TICKS_PER_SECOND,
                Verdict.PROMOTE,
                {"instances": 20},
            ),
            (
                "a platform that has counted a single period",
                4,
                NOW - 8 * TICKS_PER_SECOND,
                Verdict.PROMOTE,
                {},
            ),
            (
                "a platform that has stopped counting",
                4,
                NOW - 2 * TICKS_PER_SECOND,
                Verdict.PROMOTE,
                {},
            ),
        ):
            self.assertEqual(self.last_stage_verdict(stage, counted, **settings), verdict, case)

    def test_a_missed_period_does_not_change_the_length_of_a_period(self):
        engine = make_engine()
        for until, period in ((2, 0), (4, 2), (8, 2), (8, 2), (10, 2)):
            engine.fleet.fleet_baseline.record_period(until * TICKS_PER_SECOND)
            self.assertEqual(engine.fleet.fleet_baseline.period, period * TICKS_PER_SECOND)

    def test_a_stage_beyond_the_configured_ones_counts_as_the_last(self):
        self.assertEqual(
            self.last_stage_verdict(9, NOW + ENGINE_SETTINGS.warmup_duration), Verdict.PROMOTE
        )


class ManyColdEndpoints(unittest.TestCase):
    """A stage starts most of the newest build's endpoints at once; cold ones get little traffic."""

    def test_in_a_large_fleet_the_ramp_waits_for_cold_endpoints(self):
        warm, cold = (
            [make_endpoint(f"new-{n}", 2) for n in range(9)],
            [make_endpoint(f"new-{n}", 2, NOW) for n in range(9, 27)],
        )
        # 9 warm endpoints among 49 give a fraction of 0.18.
        for instances, lowest, highest in (
            (216, 0.18, 0.2),
            (2, 0.24, 0.28),
        ):
            engine = make_engine(
                *OLD_ENDPOINTS,
                *warm,
                *cold,
                release_update=make_release_update(cap=1.0),
                instances=instances,
            )
            engine.slow_start.update_capacity()
            engine.split.fraction_updated_at = NOW - 9 * TICKS_PER_SECOND
            engine.raise_split()
            self.assertTrue(
                lowest <= engine.split.fraction <= highest, (instances, engine.split.fraction)
            )

    def test_counts_remain_evidence_when_many_new_endpoints_appear(self):
        for late_count in (0, 81):
            engine = make_engine(
                *OLD_ENDPOINTS,
                *[make_endpoint(f"new-{n}", 2) for n in range(27)],
                *[make_endpoint(f"late-{n}", 2, NOW - 8_000) for n in range(late_count)],
                release_update=make_release_update(),
                instances=216,
                votes_to_revert=54,
            )
            engine.fleet.pending = [
                FleetCounts(1, "read", 95, 1, 2_000, 7_000),
                FleetCounts(2, "read", 23, 9, 3_800, 7_000),
            ]
            engine.fleet.process_pending()
            # The build is paused, and the next such period aborts it.
            self.assertGreater(engine.sequential_test.evidence_ratio, 0.5, late_count)


class SparseEvidence(unittest.TestCase):
    def add_counts(self, engine, failed, latency=1000, periods=1):
        for _ in range(periods):
            engine.handle(
                engine.context.now,
                [
                    FleetCounts(1, "read", 99, 0, 999, 0),
                    FleetCounts(2, "read", 40, failed, latency, 0),
                ],
            )
            engine.context.now += 2 * TICKS_PER_SECOND
            engine.upkeep()

    def test_counts_abort_a_failing_build_but_not_within_one_period(self):
        engine = make_engine(
            release_update=make_release_update(), instances=400, votes_to_revert=100
        )
        self.add_counts(engine, 15)
        self.assertNotEqual(engine.voting.verdict(), Verdict.ABORT)
        self.add_counts(engine, 15)
        self.assertEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_counts_abort_a_slow_build_but_not_a_good_one(self):
        for latency, aborts in ((3000, True), (1100, False)):
            engine = make_engine(
                release_update=make_release_update(), instances=400, votes_to_revert=100
            )
            self.add_counts(engine, 0, latency, periods=3)
            self.assertEqual(engine.voting.verdict() == Verdict.ABORT, aborts)

    def test_a_network_that_loses_everything_does_not_invert_the_evidence(self):
        engine = make_engine(
            release_update=make_release_update(), instances=400, votes_to_revert=100
        )
        # After a release the platform no longer counts the earlier build.
        engine.handle(NOW, [make_release_update(phase=ReleasePhase.RELEASED, cap=1.0)])
        engine.selection.connection_loss_rate = 0.99
        engine.handle(NOW, [FleetCounts(2, "read", 40, 40, 1_000, 0)])
        engine.fleet.process_pending()
        self.assertGreater(engine.sequential_test.sums["failed"], 0)

    def test_counts_of_cold_endpoints_are_no_evidence(self):
        engine = make_engine(
            make_endpoint("old-1"),
            make_endpoint("new-1", 2, started=NOW),
            release_update=make_release_update(),
        )
        engine.handle(
            NOW, [FleetCounts(1, "read", 100, 0, 1000, 0), FleetCounts(2, "read", 40, 20, 5000, 0)]
        )
        engine.fleet.process_pending()
        self.assertLessEqual(max(engine.sequential_test.sums.values()), 0)

    def test_evidence_from_failures_outlasts_the_stage(self):
        engine = make_engine(release_update=make_release_update(stage=1))
        engine.sequential_test.sums = {"failed": 1.5, "slow": 1.5}
        engine.handle(NOW, [make_release_update(stage=2)])
        self.assertEqual(engine.sequential_test.sums, {"failed": 1.5, "slow": 0.0})

    def test_a_larger_quorum_lowers_the_abort_bound(self):
        single_vote, quorum = (
            make_engine(instances=540),
            make_engine(instances=540, votes_to_revert=43),
        )
        self.assertGreater(
            single_vote.sequential_test.abort_bounds["failed"],
            2 * quorum.sequential_test.abort_bounds["failed"],
        )

    def test_one_recent_failure_of_the_earlier_build_reveals_a_storm(self):
        engine = make_engine(release_update=make_release_update())
        engine.baseline.outcomes.add(NOW, 1)
        engine.baseline.failed.add(NOW, 1)
        engine.baseline.update_null_rates()
        self.assertEqual(engine.sequential_test.null_rates["failed"], 0.5)


class ScalingWithFleetSize(unittest.TestCase):
    def test_votes_for_promotion_are_spread_over_time(self):
        # 400 votes at 100 per second: 200 in one burst, 200 within two seconds. The first ones come
        # early by at most half of the warm-up wait, which is 8/3 s.
        for rate, first, span, burst in (
            (100.0, -1.0, 2, 25),
            (20.0, -4 / 3, 18, 5),
        ):
            offsets = []
            for seed in range(50):
                engine = make_engine(instances=400, votes_per_second=rate)
                engine.context.rng.state = seed << 40
                engine.handle(NOW, [make_release_update()])
                offsets.append(engine.voting.turn_offset / TICKS_PER_SECOND)
            self.assertAlmostEqual(min(offsets), first)
            self.assertTrue(0.8 * span < max(offsets) - min(offsets) <= span, offsets)
            self.assertTrue(
                abs(sum(offset == min(offsets) for offset in offsets) - burst) <= 5, offsets
            )

    def test_the_hedging_budget_starts_small_in_a_large_fleet(self):
        self.assertLess(make_engine(instances=400).requests.hedging.budget.tokens, 1)

    def test_slow_responses_cause_random_shedding_with_few_requests_in_flight(self):
        engine = make_engine(*OLD_ENDPOINTS, instances=400)
        record_slow_responses(engine, 1.0)
        rejected = sum(
            action_types(engine.handle(NOW, [make_request(str(number))])) == [Reject]
            for number in range(40)
        )
        self.assertTrue(20 < rejected < 40)

    def test_the_upkeep_interval_follows_the_traffic(self):
        engine = make_engine()
        engine.context.arrivals.add(NOW, 500)
        engine.upkeep()
        self.assertLess(engine.upkeep_interval, MAX_UPKEEP_INTERVAL)
