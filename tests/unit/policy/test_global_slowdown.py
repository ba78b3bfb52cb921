"""Slowness of all endpoints since the offer."""

import unittest

from tests.support.decisions import NOW, balancer, news, taken
from tests.unit.policy.outcomes import USUAL, judged, judging
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    Outcome,
    Verdict,
)
from thymeknot.policy.baseline import BeforeOffer, LatencyMark


class GlobalSlowdownTest(unittest.TestCase):
    def test_slowness_of_all_builds_holds_then_sends_back(self):
        made = judging()
        judged(made, Outcome.DONE, "old-1", 60, latency=5000)
        self.assertEqual(made.voting.verdict(), Verdict.ABSTAIN)
        made.split.fraction = 0.3
        made.context.now += 5 * TICKS_PER_SECOND
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_it_is_blamed_while_it_lasts_and_later_where_machines_are_replaced(self):
        for swap, slow, age, back in (
            (True, 9.0, 11, False),
            (True, 9.0, 12, True),
            (False, 4.0, 9, False),
        ):
            made = balancer(told=news(), replaces_machines=swap)
            made.slowdown.evidence, made.slowdown.since, made.context.now = (
                slow,
                NOW,
                NOW + age * TICKS_PER_SECOND,
            )
            self.assertEqual(made.voting.verdict() == Verdict.ABORT, back)

    def test_a_build_with_little_traffic_is_held_for_it_only(self):
        made = judging()
        judged(made, Outcome.DONE, "old-1", 60, latency=5000)
        made.context.now += 5 * TICKS_PER_SECOND
        judged(made, Outcome.DONE, "old-1", 1, latency=5000)
        self.assertEqual(made.voting.verdict(), Verdict.ABSTAIN)

    def test_an_earlier_build_that_errs_by_itself_is_nothing_to_stay_with(self):
        for errors, trial, vote in (
            (9, -1.0, Verdict.PROMOTE),
            (2, -1.0, Verdict.ABSTAIN),
            (9, 1.0, Verdict.ABSTAIN),
        ):
            made = judging()
            judged(made, Outcome.DONE, "old-1", 60, latency=5000)
            judged(made, Outcome.ERROR, "old-2", errors)
            judged(made, Outcome.DONE, "new-1", 20)
            made.sequential_test.sums["failed"] = trial
            made.context.now += 4 * TICKS_PER_SECOND
            self.assertEqual(made.voting.verdict(), vote)

    def test_more_traffic_excuses_slowness_of_all(self):
        made = judging(rate=10.0)
        made.baseline.non_retries.add(NOW, 100)
        judged(made, Outcome.DONE, "old-1", 60, latency=5000)
        self.assertIsNone(made.slowdown.since)
        judged(made, Outcome.TIMED_OUT, "old-1", 60)
        self.assertIsNotNone(made.slowdown.since)

    def test_repeats_of_clients_excuse_nothing(self):
        for repeat, excused in ((False, True), (True, False)):
            made = judging(rate=10.0)
            for number in range(100):
                made.handle(NOW, [taken(str(number))._replace(is_retry=repeat)])
            self.assertEqual(made.baseline.busier() > 1.5, excused)

    def test_mean_times_speak_before_nine_in_ten_are_over_the_mark(self):
        for times, slow in (
            (1.2, False),
            (1.9, True),
        ):  # spread as work is: few are far above the mean
            made = judging()
            for share in (0.4, 0.6, 0.8, 1.0, 1.3, 1.9) * 12:
                judged(made, Outcome.DONE, "old-1", latency=int(500 * times * share))
            self.assertEqual(made.slowdown.since is not None, slow)

    def test_a_stage_of_a_fifth_of_the_ramp_is_blamed_too(self):
        # With three stages the second one ends there: nothing moved on and nothing was sent back, for good.
        for ramp, back in ((0.08, False), (0.2, True)):
            made = judging()
            made.split.fraction = ramp
            judged(made, Outcome.DONE, "old-1", 60, latency=5000)
            made.context.now += 5 * TICKS_PER_SECOND
            judged(made, Outcome.DONE, "old-1", 1, latency=5000)
            self.assertEqual(made.voting.verdict() == Verdict.ABORT, back)

    def test_a_quiet_instance_does_not_take_chance_for_usual(self):
        made = balancer(told=news())
        made.baseline.before_offer = BeforeOffer(
            {("read", "std"): LatencyMark(900, 19, 500)}, 50.0, 0.0
        )
        judged(made, Outcome.DONE, "old-1", 60, latency=5000)
        self.assertIsNone(made.slowdown.since)

    def test_an_instance_with_little_traffic_or_of_a_crowd_does_not_judge_all(self):
        for rate, places, judges in ((13, 9, False), (17, 9, True), (17, 2, False)):
            made = balancer(told=news())
            made.baseline.earlier_endpoints = places
            made.context.arrivals.add(NOW, 8 * rate)
            made.baseline.non_retries.add(NOW, 8 * rate)
            made.baseline.capture_pre_trial()
            self.assertEqual(made.baseline.before_offer is not None, judges)

    def test_deferrals_that_hide_slowness_count_as_slow(self):
        for usually_deferred, told in ((0.0, True), (0.5, False)):
            made = balancer(told=news())
            made.baseline.before_offer, made.split.fraction = (
                BeforeOffer(USUAL, 50.0, usually_deferred),
                0.3,
            )
            made.admission.target_latencies.add(NOW - TICKS_PER_SECOND, 2)
            made.handle(NOW, [taken(str(n)) for n in range(60)])
            self.assertEqual(made.slowdown.since is not None, told)

    def test_rejections_of_its_first_seconds_hide_no_later_ones(self):
        """A sidecar that started under load rejected 294 of its first 715 requests, and 0.39 was taken for usual when a
        build was offered 3 s later. None was rejected for eight seconds after that; then the build, released, was
        slow under load, and 2,500 rejections in five seconds were no evidence against it, as 0.39 was usual."""
        made = balancer(told=news())
        made.baseline.before_offer = BeforeOffer(USUAL, 50.0, 0.39)
        for second in range(10):
            made.context.now += TICKS_PER_SECOND
            made.context.arrivals.add(made.context.now, 50)
            made.baseline.rejected.add(made.context.now, 20 * (second < 1))
            made.baseline.non_retries.add(made.context.now, 50)
            made.baseline.capture_pre_trial()
        self.assertEqual(made.baseline.before_offer, BeforeOffer(USUAL, 50.0, 0.0))
        for _ in range(20):
            made.slowdown.add_rejection()
        self.assertIsNotNone(made.slowdown.since)

    def test_an_answer_within_the_clocks_step_is_no_mean_of_nothing(self):
        made = balancer(told=news())
        judged(made, Outcome.DONE, "old-1", 60, latency=0)
        made.baseline.before_offer = BeforeOffer(dict(made.baseline.marks), 50.0, 0.0)
        judged(made, Outcome.DONE, "old-1", 1, latency=0)
        judged(made, Outcome.DONE, "old-1", 1, latency=500)
        self.assertEqual(made.baseline.before_offer[0]["read", "std"][1], 60)
