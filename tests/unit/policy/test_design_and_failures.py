"""One test for each failure found on the bench, and for the design's own parts."""

import unittest
from unittest import mock

from tests.support.stand_ins import LANES, NOW, balancer, ended, news, pod, sent, taken
from thymeknot.interface.actions import CastVote
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    EndpointCondition,
    Outcome,
    PromotionMode,
    ReleasePhase,
    UpdateKind,
    Verdict,
)
from thymeknot.interface.events import ComplaintReceived, EndpointUpdate, FleetCounts
from thymeknot.policy.baseline import BeforeOffer, LatencyMark
from thymeknot.policy.request_lifecycle import RequestPhase
from thymeknot.state import sliding_window
from thymeknot.state.key_hash import key_position
from thymeknot.state.request_state import RequestState
from thymeknot.state.sliding_window import SlidingWindow, window_of
from thymeknot.state.trial_exposure import TrialExposure

USUAL = {("read", "std"): LatencyMark(900, 100, 500)}


def judging(rate=50.0):
    made = balancer(told=news())
    made.baseline.before_offer = BeforeOffer(USUAL, rate, 0.0)
    return made


def judged(made, outcome, address, times=1, latency=1000, key=None):
    """Books outcomes of one pod, as deliveries that ended just so."""
    for number in range(times):
        tx = RequestState(
            taken(f"{address}-{number}", key=key),
            made.context.settings.request_classes["read"],
            NOW,
            RequestPhase.NEW,
        )
        made.evidence.add_outcome(tx, made.context.endpoints[address], outcome, latency)


class TheDesign(unittest.TestCase):
    def test_position_is_fnv_1a(self):
        self.assertEqual(key_position(""), 2166136261 / 4294967295)
        self.assertEqual(key_position("a"), 0xE40C292C / 4294967295)

    def test_the_ramp_climbs_to_its_target_and_never_falls(self):
        made = balancer(told=news(cap=0.25))
        made.split.raised_at = NOW - TICKS_PER_SECOND
        made.raise_split()
        self.assertAlmostEqual(made.split.fraction, 0.1)
        made.context.now += 9 * TICKS_PER_SECOND
        made.raise_split()
        self.assertAlmostEqual(made.split.fraction, 0.2)
        made.context.endpoints.pop("new-1")
        made.raise_split()
        self.assertAlmostEqual(made.split.fraction, 0.2)

    def test_keys_below_the_ramp_go_to_the_trial(self):
        made = balancer(told=news(cap=1.0))
        made.split.fraction = 0.5
        for key in ("k1", "k2", "k3", "k4", "k5", "k6"):
            went = sent(made.handle(NOW, [taken(key, key=key)]))[0]
            self.assertEqual(went == "new-1", key_position(key) < 0.5, key)

    def test_pods_of_a_build_take_turns(self):
        made = balancer(pod("a"), pod("b"), pod("c"))
        self.assertEqual(
            {sent(made.handle(NOW, [taken(str(n))]))[0] for n in range(3)}, {"a", "b", "c"}
        )

    def test_failures_vote_back_and_successes_vote_on(self):
        made = balancer(told=news())
        judged(made, Outcome.DONE, "new-1", 90)
        self.assertEqual(made.voting.verdict(), Verdict.PROMOTE)
        judged(made, Outcome.ERROR, "new-1", 6)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_under_the_clock_half_the_bound_holds(self):
        made = balancer(told=news(), promotion_mode=PromotionMode.TIMER)
        made.sequential_test.doubt = 0.6
        self.assertEqual(made.voting.verdict(), Verdict.PAUSE)
        made.sequential_test.doubt = 0.4
        self.assertEqual(made.voting.verdict(), Verdict.ABSTAIN)

    def test_a_vote_is_renewed_before_it_lapses_and_withdrawn_when_its_ground_is_gone(self):
        made = balancer(told=news())
        made.voting.vote, made.voting.vote_at, made.voting.ask_at = (
            CastVote(2, 1, Verdict.PROMOTE),
            NOW - made.context.settings.vote_lifetime // 2,
            NOW,
        )
        made.voting.cast()
        self.assertIn(CastVote(2, 1, Verdict.PROMOTE), made.context.actions)
        made.context.actions, made.voting.ask_at, made.sequential_test.clear_since = [], NOW, NOW
        made.voting.cast()
        self.assertIn(CastVote(2, 1, Verdict.ABSTAIN), made.context.actions)

    def test_an_unanswered_vote_is_asked_again(self):
        made = balancer(told=news())
        made.voting.cast()
        made.context.actions, made.context.now = (
            [],
            NOW + made.context.settings.vote_timeout + TICKS_PER_SECOND,
        )
        made.voting.cast()
        self.assertIn(CastVote(2, 1, Verdict.PROMOTE), made.context.actions)


class FailuresFound(unittest.TestCase):
    def test_one_slow_machine_does_not_send_a_build_back(self):
        made = balancer(told=news())
        made.baseline.marks["read", "std"] = LatencyMark(500, 100, 300)
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

    def test_cold_slowness_and_time_outs_prove_nothing(self):
        made = balancer(pod("old-1"), pod("new-1", 2, started=NOW - 1), told=news())
        made.baseline.marks["read", "std"] = LatencyMark(500, 100, 300)
        judged(made, Outcome.DONE, "old-1", 20, latency=100)
        judged(made, Outcome.DONE, "new-1", 20, latency=5000)
        judged(made, Outcome.TIMED_OUT, "new-1", 20)
        self.assertLessEqual(max(made.sequential_test.sums.values()), 0)

    def test_one_failing_key_is_one_failure(self):
        made = balancer(told=news())
        judged(made, Outcome.ERROR, "new-1", 50, key="k")
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)

    def test_a_failing_key_and_a_hot_one_leave_the_trial(self):
        made = balancer(told=news(cap=1.0))
        made.split.fraction = 1.0
        made.split.failing_keys.add("bad")
        made.split.recent_keys["hot"] = 50
        self.assertIn(sent(made.handle(NOW, [taken("t1", key="bad")]))[0], ("old-1", "old-2"))
        self.assertIn(sent(made.handle(NOW, [taken("t2", key="hot")]))[0], ("old-1", "old-2"))

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
        made.baseline.first_tries.add(NOW, 100)
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

    def test_pods_of_a_build_that_was_taken_off_are_no_places_of_the_next(self):
        # News comes before the list: what drains by then was counted, and half of the sidecars never voted.
        earlier, late = [pod(f"o-{n}") for n in range(40)], [pod(f"g-{n}", 2) for n in range(40)]
        made = balancer(*earlier, *late, told=news(3, build=2))
        made.handle(NOW, [news(0, ReleasePhase.WITHDRAWN, 0.0, 2), news(0, build=3)])
        gone = tuple(one._replace(condition=EndpointCondition.DRAINING) for one in late)
        made.handle(
            NOW,
            [EndpointUpdate(UpdateKind.DELTA, (*gone, *(pod(f"n-{n}", 3, NOW) for n in range(4))))],
        )
        made.context.now += 9 * TICKS_PER_SECOND
        self.assertEqual(made.voting.verdict(), Verdict.PROMOTE)

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
                    made.sequential_test.doubt >= doubt,
                    made.sequential_test.doubt > 1,
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

    def test_a_vote_for_on_waits_until_the_newest_pods_are_warm_enough_to_judge(self):
        for cold, age, vote in (
            (2, 1.0, Verdict.ABSTAIN),
            (2, 1.5, Verdict.PROMOTE),
            (40, 2.9, Verdict.ABSTAIN),
            (40, 3.1, Verdict.PROMOTE),
        ):
            made = balancer(
                pod("old-1"),
                pod("new-1", 2, NOW),
                told=news(),
                warmup_duration=cold * TICKS_PER_SECOND,
            )
            made.voting.offset, made.sequential_test.clear_since, made.context.now = (
                0,
                NOW - 9 * TICKS_PER_SECOND,
                NOW + int(age * TICKS_PER_SECOND),
            )
            self.assertEqual(made.voting.verdict(), vote, (cold, age))

    def test_the_last_stages_release_waits_until_the_newest_pods_can_carry_all(self):
        for stage, age, vote in (
            (1, 3.1, Verdict.PROMOTE),
            (4, 3.1, Verdict.ABSTAIN),
            (4, 4.1, Verdict.PROMOTE),
        ):  # cold: 4 s, 0.75 after 2.7
            made = balancer(pod("old-1"), pod("new-1", 2, NOW), told=news(stage=stage))
            made.voting.offset, made.sequential_test.clear_since, made.context.now = (
                0,
                NOW - 9 * TICKS_PER_SECOND,
                NOW + int(age * TICKS_PER_SECOND),
            )
            self.assertEqual(made.voting.verdict(), vote, (stage, age))

    def test_a_trials_pod_that_starts_again_is_not_new(self):
        pods = [pod("old-1"), pod("old-2"), pod("new-1", 2, NOW), pod("new-2", 2, NOW)]
        for again, vote in (
            (pod("new-1", 2, NOW + 8 * TICKS_PER_SECOND), Verdict.PROMOTE),
            (pod("new-3", 2, NOW + 8 * TICKS_PER_SECOND), Verdict.ABSTAIN),
        ):
            made = balancer(*pods, told=news())
            made.voting.verdict()
            made.handle(
                NOW + 7 * TICKS_PER_SECOND,
                [
                    EndpointUpdate(
                        UpdateKind.DELTA, (pods[2]._replace(condition=EndpointCondition.GONE),)
                    )
                ],
            )
            made.handle(NOW + 9 * TICKS_PER_SECOND, [EndpointUpdate(UpdateKind.DELTA, (again,))])
            self.assertEqual(made.voting.verdict(), vote)

    def test_a_quiet_instance_does_not_take_chance_for_usual(self):
        made = balancer(told=news())
        made.baseline.before_offer = BeforeOffer(
            {("read", "std"): LatencyMark(900, 19, 500)}, 50.0, 0.0
        )
        judged(made, Outcome.DONE, "old-1", 60, latency=5000)
        self.assertIsNone(made.slowdown.since)

    def test_resets_with_nothing_to_compare_are_not_the_builds(self):
        made = balancer(pod("new-1", 2), told=news())
        judged(made, Outcome.RESET, "new-1", 50)
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)
        judged(made, Outcome.ERROR, "new-1", 50)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_an_instance_with_little_traffic_or_of_a_crowd_does_not_judge_all(self):
        for rate, places, judges in ((13, 9, False), (17, 9, True), (17, 2, False)):
            made = balancer(told=news())
            made.baseline.earlier_endpoints = places
            made.context.arrivals.add(NOW, 8 * rate)
            made.baseline.first_tries.add(NOW, 8 * rate)
            made.baseline.settle()
            self.assertEqual(made.baseline.before_offer is not None, judges)

    def test_deferrals_that_hide_slowness_count_as_slow(self):
        for usually_deferred, told in ((0.0, True), (0.5, False)):
            made = balancer(told=news())
            made.baseline.before_offer, made.split.fraction = (
                BeforeOffer(USUAL, 50.0, usually_deferred),
                0.3,
            )
            made.admission.answers.add(NOW - TICKS_PER_SECOND, 2)
            made.handle(NOW, [taken(str(n)) for n in range(60)])
            self.assertEqual(made.slowdown.since is not None, told)

    def test_a_storm_of_errors_at_both_builds_is_not_the_new_ones(self):
        made = balancer(told=news())
        for later in range(6):
            made.context.now = NOW + later * TICKS_PER_SECOND
            judged(made, Outcome.DONE, "old-1", 30)
        judged(made, Outcome.ERROR, "old-1", 15)
        judged(made, Outcome.ERROR, "new-1", 4)
        judged(made, Outcome.DONE, "new-1", 4)
        self.assertNotEqual(made.voting.verdict(), Verdict.ABORT)

    def test_one_chance_failure_does_not_bar_a_quiet_vote(self):
        made = balancer(told=news(), votes_to_revert=2)
        made.sequential_test.sums["failed"], made.context.now = 1.0, NOW + 5 * TICKS_PER_SECOND
        self.assertEqual(made.voting.verdict(), Verdict.PROMOTE)

    def test_no_vote_for_on_while_the_list_hides_the_stages_pods(self):
        earlier = [pod(f"old-{n}") for n in range(8)]
        made = balancer(*earlier, pod("new-1", 2), pod("new-2", 2), told=news(stage=2))
        made.context.now += 9 * TICKS_PER_SECOND
        self.assertEqual(made.voting.verdict(), Verdict.ABSTAIN)
        made.handle(made.context.now, [EndpointUpdate(UpdateKind.DELTA, (pod("new-3", 2),))])
        self.assertEqual(made.voting.verdict(), Verdict.PROMOTE)

    def test_after_a_release_tallies_of_the_rush_do_not_send_it_back_and_worse_ones_do(self):
        for failed, back in (
            (27, False),
            (45, True),
        ):  # of a hundred: half of the machines leave at once
            made = balancer(told=news())
            made.handle(NOW, [news(4, ReleasePhase.RELEASED, 1.0)])
            for at in range(4):
                made.context.now = NOW + at * 2 * TICKS_PER_SECOND
                made.fleet.rows = [FleetCounts(2, "read", 100, failed, 100, 0)]
                made.fleet.weigh()
            self.assertEqual(made.voting.verdict() == Verdict.ABORT, back, failed)

    def test_a_complaint_counts_as_a_failure(self):
        made = balancer(told=news())
        made.handle(NOW, [ComplaintReceived(0, "new-1", "read")] * 5)
        self.assertEqual(made.voting.verdict(), Verdict.ABORT)

    def test_a_new_instance_does_not_take_silence_for_overload(self):
        made = balancer()
        made.context.first_traffic_at = NOW - TICKS_PER_SECOND // 2
        self.assertGreater(
            made.admission.limit(
                NOW,
                made.context.settings.request_classes["read"],
                NOW - made.context.first_traffic_at,
            ),
            100,
        )

    def test_beyond_the_limit_the_cheapest_lane_is_deferred_first(self):
        made = balancer()
        for lane in ("read", "pay"):
            made.admission.answered(NOW, LANES[lane], 100)
        self.assertLess(
            *(
                made.admission.limit(NOW, LANES[lane], 5 * TICKS_PER_SECOND)
                for lane in ("read", "pay")
            )
        )

    def test_a_pod_fast_at_failing_is_passed_over(self):
        made = balancer(pod("a"), pod("b"))
        made.context.endpoints["a"].failure_rate = 0.9
        self.assertEqual({sent(made.handle(NOW, [taken(str(n))]))[0] for n in range(2)}, {"b"})

    def test_an_end_without_its_transaction_is_passed_over(self):
        self.assertEqual(balancer().handle(NOW, [ended("unheard-of")]), [])

    def test_an_answer_within_the_clocks_step_is_no_mean_of_nothing(self):
        made = balancer(told=news())
        judged(made, Outcome.DONE, "old-1", 60, latency=0)
        made.baseline.before_offer = BeforeOffer(dict(made.baseline.marks), 50.0, 0.0)
        judged(made, Outcome.DONE, "old-1", 1, latency=0)
        judged(made, Outcome.DONE, "old-1", 1, latency=500)
        self.assertEqual(made.baseline.before_offer[0]["read", "std"][1], 60)

    def test_a_ring_forgets_in_time(self):
        ring = SlidingWindow(TICKS_PER_SECOND, 10)
        ring.add(NOW, 3)
        self.assertEqual(ring.total(NOW + TICKS_PER_SECOND), 3)
        self.assertEqual(ring.total(NOW + TICKS_PER_SECOND, full_only=True), 0)
        self.assertEqual(ring.total(NOW + 2 * TICKS_PER_SECOND), 0)

    def test_rings_are_made_once_for_each_key_and_not_with_every_transaction(self):
        with mock.patch.object(sliding_window, "SlidingWindow", wraps=SlidingWindow) as made:
            rings = {}
            kept = [
                window_of(rings, key, TICKS_PER_SECOND, 10)
                for key in ("read", "buy", "read", False, False)
            ]
        self.assertEqual((made.call_count, len(rings)), (3, 3))
        self.assertTrue(kept[0] is kept[2] is not kept[1] and kept[3] is kept[4])

    def test_a_transaction_like_those_before_it_makes_no_ring(self):
        made, told = balancer(told=news()), news()
        exposure = TrialExposure(made.context.settings)

        def one(name):
            made.handle(NOW, [taken(name)])
            exposure.took(NOW, "read")
            exposure.wrote(NOW, told, told.build, "read")
            exposure.allows(NOW, told, told.build, "read")

        one("first")
        with mock.patch.object(
            SlidingWindow, "__init__", autospec=True, side_effect=SlidingWindow.__init__
        ) as rings:
            one("next")
        self.assertEqual(rings.call_count, 0)
