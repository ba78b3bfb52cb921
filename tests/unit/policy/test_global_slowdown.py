"""Detection of a slowdown of all endpoints since the trial began."""

import unittest

from tests.support.decisions import NOW, make_engine, make_release_update, make_request
from tests.unit.policy.outcomes import USUAL_STATS, evaluating_engine, record_outcomes
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    Outcome,
    Verdict,
)
from thymeknot.policy.baseline import LatencyStats, PreTrialBaseline


class GlobalSlowdownTest(unittest.TestCase):
    def test_a_global_slowdown_holds_the_build_and_then_aborts_it(self):
        engine = evaluating_engine()
        record_outcomes(engine, Outcome.DONE, "old-1", 60, latency=5000)
        self.assertEqual(engine.voting.verdict(), Verdict.ABSTAIN)
        engine.split.fraction = 0.3
        engine.context.now += 5 * TICKS_PER_SECOND
        self.assertEqual(engine.voting.verdict(), Verdict.ABORT)

    def test_abort_only_while_slow_and_later_with_in_place_replacement(self):
        for in_place, evidence, seconds, aborts in (
            (True, 9.0, 11, False),
            (True, 9.0, 12, True),
            (False, 4.0, 9, False),
        ):
            engine = make_engine(release_update=make_release_update(), replaces_machines=in_place)
            engine.slowdown.evidence, engine.slowdown.since, engine.context.now = (
                evidence,
                NOW,
                NOW + seconds * TICKS_PER_SECOND,
            )
            self.assertEqual(engine.voting.verdict() == Verdict.ABORT, aborts)

    def test_a_build_with_little_traffic_is_held_but_not_aborted(self):
        engine = evaluating_engine()
        record_outcomes(engine, Outcome.DONE, "old-1", 60, latency=5000)
        engine.context.now += 5 * TICKS_PER_SECOND
        record_outcomes(engine, Outcome.DONE, "old-1", 1, latency=5000)
        self.assertEqual(engine.voting.verdict(), Verdict.ABSTAIN)

    def test_a_slowdown_does_not_count_if_the_earlier_build_fails_by_itself(self):
        for errors, failed_sum, verdict in (
            (9, -1.0, Verdict.PROMOTE),
            (2, -1.0, Verdict.ABSTAIN),
            (9, 1.0, Verdict.ABSTAIN),
        ):
            engine = evaluating_engine()
            record_outcomes(engine, Outcome.DONE, "old-1", 60, latency=5000)
            record_outcomes(engine, Outcome.ERROR, "old-2", errors)
            record_outcomes(engine, Outcome.DONE, "new-1", 20)
            engine.sequential_test.sums["failed"] = failed_sum
            engine.context.now += 4 * TICKS_PER_SECOND
            self.assertEqual(engine.voting.verdict(), verdict)

    def test_higher_traffic_explains_slowness_but_not_timeouts(self):
        engine = evaluating_engine(rate=10.0)
        engine.baseline.non_retries.add(NOW, 100)
        record_outcomes(engine, Outcome.DONE, "old-1", 60, latency=5000)
        self.assertIsNone(engine.slowdown.since)
        record_outcomes(engine, Outcome.TIMED_OUT, "old-1", 60)
        self.assertIsNotNone(engine.slowdown.since)

    def test_client_retries_do_not_count_as_higher_traffic(self):
        for retries, is_high in ((False, True), (True, False)):
            engine = evaluating_engine(rate=10.0)
            for number in range(100):
                engine.handle(NOW, [make_request(str(number))._replace(is_retry=retries)])
            self.assertEqual(engine.baseline.traffic_ratio() > 1.5, is_high)

    def test_the_mean_latency_reveals_a_slowdown_below_the_slow_threshold(self):
        # Latencies spread as in real traffic: few are far above the mean.
        for latency_ratio, slow in (
            (1.2, False),
            (1.9, True),
        ):
            engine = evaluating_engine()
            for spread in (0.4, 0.6, 0.8, 1.0, 1.3, 1.9) * 12:
                record_outcomes(
                    engine, Outcome.DONE, "old-1", latency=int(500 * latency_ratio * spread)
                )
            self.assertEqual(engine.slowdown.since is not None, slow)

    def test_a_build_with_a_fifth_of_the_keys_can_be_blamed(self):
        # With three stages the second one ends at this fraction. When a build with so few keys could
        # not be blamed, it was neither promoted nor aborted, for good.
        for fraction, aborts in ((0.08, False), (0.2, True)):
            engine = evaluating_engine()
            engine.split.fraction = fraction
            record_outcomes(engine, Outcome.DONE, "old-1", 60, latency=5000)
            engine.context.now += 5 * TICKS_PER_SECOND
            record_outcomes(engine, Outcome.DONE, "old-1", 1, latency=5000)
            self.assertEqual(engine.voting.verdict() == Verdict.ABORT, aborts)

    def test_latencies_of_too_few_outcomes_are_no_baseline(self):
        engine = make_engine(release_update=make_release_update())
        engine.baseline.pre_trial = PreTrialBaseline(
            {("read", "std"): LatencyStats(900, 19, 500)}, 50.0, 0.0
        )
        record_outcomes(engine, Outcome.DONE, "old-1", 60, latency=5000)
        self.assertIsNone(engine.slowdown.since)

    def test_a_baseline_needs_enough_traffic_and_a_small_fleet(self):
        for rate, endpoint_count, captured in ((13, 9, False), (17, 9, True), (17, 2, False)):
            engine = make_engine(release_update=make_release_update())
            engine.baseline.earlier_endpoint_count = endpoint_count
            engine.context.arrivals.add(NOW, 8 * rate)
            engine.baseline.non_retries.add(NOW, 8 * rate)
            engine.baseline.capture_pre_trial()
            self.assertEqual(engine.baseline.pre_trial is not None, captured)

    def test_rejections_count_as_slow_unless_they_were_usual(self):
        for usual_rejected_fraction, detected in ((0.0, True), (0.5, False)):
            engine = make_engine(release_update=make_release_update())
            engine.baseline.pre_trial, engine.split.fraction = (
                PreTrialBaseline(USUAL_STATS, 50.0, usual_rejected_fraction),
                0.3,
            )
            engine.admission.target_latencies.add(NOW - TICKS_PER_SECOND, 2)
            engine.handle(NOW, [make_request(str(number)) for number in range(60)])
            self.assertEqual(engine.slowdown.since is not None, detected)

    def test_rejections_at_startup_do_not_mask_later_ones(self):
        """Guards against a baseline that keeps the rejections of a sidecar's first seconds.

        A sidecar that started under load rejected 294 of its first 715 requests. The trial began 3 s
        later with a usual rejected fraction of 0.39. None was rejected for the next eight seconds,
        but when the released build was slow under load, 2,500 rejections in five seconds were no
        evidence against it.
        """
        engine = make_engine(release_update=make_release_update())
        engine.baseline.pre_trial = PreTrialBaseline(USUAL_STATS, 50.0, 0.39)
        for second in range(10):
            engine.context.now += TICKS_PER_SECOND
            engine.context.arrivals.add(engine.context.now, 50)
            engine.baseline.rejected.add(engine.context.now, 20 * (second < 1))
            engine.baseline.non_retries.add(engine.context.now, 50)
            engine.baseline.capture_pre_trial()
        self.assertEqual(engine.baseline.pre_trial, PreTrialBaseline(USUAL_STATS, 50.0, 0.0))
        for _ in range(20):
            engine.slowdown.add_rejection()
        self.assertIsNotNone(engine.slowdown.since)

    def test_latencies_of_zero_ticks_do_not_divide_by_zero(self):
        engine = make_engine(release_update=make_release_update())
        record_outcomes(engine, Outcome.DONE, "old-1", 60, latency=0)
        engine.baseline.pre_trial = PreTrialBaseline(dict(engine.baseline.latency_stats), 50.0, 0.0)
        record_outcomes(engine, Outcome.DONE, "old-1", 1, latency=0)
        record_outcomes(engine, Outcome.DONE, "old-1", 1, latency=500)
        self.assertEqual(engine.baseline.pre_trial[0]["read", "std"][1], 60)
