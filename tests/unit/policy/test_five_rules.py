"""The five rules, with cases on both sides of each limit."""

import unittest

from tests.support.decisions import NOW, balancer, ended, kinds, news, pod, sent, taken
from thymeknot.interface.actions import Fail, Reject, SendAttempt, SetTimer
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import EndpointCondition, Outcome, ReleasePhase, UpdateKind
from thymeknot.interface.events import ClientDisconnected, EndpointUpdate, LateResponseSeen
from thymeknot.policy.traffic_split import MAX_REMEMBERED_KEYS


class EveryTransactionIsAnswered(unittest.TestCase):
    def test_without_a_pod_it_is_deferred_at_once(self):
        made = balancer(pod("gone", condition=EndpointCondition.DRAINING))
        self.assertEqual(kinds(made.handle(NOW, [taken()])), [Reject])

    def test_an_expired_grace_is_answered_without_a_delivery(self):
        self.assertEqual(kinds(balancer().handle(NOW, [taken(left=0)])), [Reject])

    def test_nothing_is_sent_after_the_answer(self):
        made = balancer()
        made.handle(NOW, [taken(lane="pay"), ended(outcome=Outcome.DONE, closed=True)])
        self.assertEqual(
            made.handle(
                NOW + 1, [ended(outcome=Outcome.DONE, closed=True), ClientDisconnected("t1")]
            ),
            [],
        )

    def test_an_error_after_the_goal_is_answered_at_once(self):
        made = balancer()
        address = sent(made.handle(NOW, [taken()]))[0]
        actions = made.handle(
            NOW + TICKS_PER_SECOND, [ended(outcome=Outcome.ERROR, address=address)]
        )
        self.assertEqual(kinds(actions), [Reject])

    def test_the_delivery_ends_with_the_client(self):
        self.assertEqual(balancer().handle(NOW, [taken(left=123)])[0].timeout, 123)


class NoEffectTwice(unittest.TestCase):
    def after(self, lane, outcome, later=1, **changes):
        made = balancer(pod("a"), pod("b"), pod("c", zone="z"), **changes)
        first = sent(made.handle(NOW, [taken(lane=lane)]))[0]
        return first, made.handle(NOW + later, [ended(outcome=outcome, address=first)])

    def test_a_binding_one_that_may_have_run_is_abandoned(self):
        for outcome in (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.assertEqual(kinds(self.after("pay", outcome)[1]), [Fail], outcome)

    def test_a_binding_one_proved_unrun_goes_again(self):
        for outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            self.assertEqual(kinds(self.after("pay", outcome)[1]), [SendAttempt], outcome)

    def test_a_fingerprinted_one_goes_again_within_its_window_only(self):
        lanes = {
            "mark": balancer()
            .context.settings.request_classes["mark"]
            ._replace(latency_objective=3 * TICKS_PER_SECOND)
        }
        self.assertEqual(
            kinds(
                self.after("mark", Outcome.ERROR, 2 * TICKS_PER_SECOND - 1, request_classes=lanes)[
                    1
                ]
            ),
            [SendAttempt],
        )
        self.assertEqual(
            kinds(
                self.after("mark", Outcome.ERROR, 2 * TICKS_PER_SECOND, request_classes=lanes)[1]
            ),
            [Fail],
        )

    def test_a_zoned_fingerprint_stays_in_its_zone_and_is_not_deferred(self):
        made = balancer(pod("a"), pod("c", zone="z"))
        first = sent(made.handle(NOW, [taken(lane="zoned")]))[0]
        again = made.handle(NOW + 1, [ended(outcome=Outcome.ERROR, address=first)])
        self.assertTrue(sent(again) == [first] or kinds(again) == [Fail])

    def test_an_unrun_delivery_does_not_hide_a_later_one_that_may_have_run(self):
        made = balancer(pod("a"), pod("b"))
        first = sent(made.handle(NOW, [taken(lane="pay")]))[0]
        second = sent(made.handle(NOW + 1, [ended(outcome=Outcome.REJECTED, address=first)]))[0]
        self.assertEqual(
            kinds(made.handle(NOW + 2, [ended(outcome=Outcome.ERROR, address=second, number=1)])),
            [Fail],
        )

    def test_no_second_copy_where_they_are_off(self):
        made = balancer(hedging_allowed=False)
        self.assertNotIn(SetTimer, kinds(made.handle(NOW, [taken()])))


class DrainsAreKept(unittest.TestCase):
    def test_nothing_goes_to_a_draining_pod_or_one_that_is_gone(self):
        for condition in (EndpointCondition.DRAINING, EndpointCondition.GONE):
            made = balancer(pod("a"), pod("b"))
            made.handle(NOW, [EndpointUpdate(UpdateKind.DELTA, (pod("a", condition=condition),))])
            self.assertEqual({sent(made.handle(NOW, [taken(str(n))]))[0] for n in range(9)}, {"b"})

    def test_a_pod_left_out_of_a_whole_list_is_gone(self):
        made = balancer(pod("a"), pod("b"))
        made.handle(NOW, [EndpointUpdate(UpdateKind.FULL, (pod("b"),))])
        self.assertEqual({sent(made.handle(NOW, [taken(str(n))]))[0] for n in range(9)}, {"b"})

    def test_a_failed_list_changes_nothing_and_is_asked_for_again(self):
        made = balancer(pod("a"), lists_polled=True)
        made.selection.next_poll_at = NOW + 9 * TICKS_PER_SECOND
        made.handle(NOW, [EndpointUpdate(UpdateKind.FETCH_FAILED, ())])
        self.assertEqual(sent(made.handle(NOW, [taken()])), ["a"])
        self.assertLessEqual(made.selection.next_poll_at, NOW + 2 * TICKS_PER_SECOND)


class AColdPodIsNotPushedOver(unittest.TestCase):
    def room(self, age, already, rate=8.0):
        made = balancer(pod("cold", started=NOW - age), overload_factor=2.0)
        made.slow_start.warm_request_rate, known = rate, made.context.endpoints["cold"]
        known.recent_attempts.add(NOW, already)
        return made.slow_start.has_room(known, known.warmup_fraction(NOW, made.context.settings))

    def test_it_gets_this_instances_part_and_no_more(self):
        self.assertTrue(self.room(0, 1))
        self.assertFalse(self.room(0, 2))

    def test_the_part_grows_with_its_age(self):
        self.assertTrue(self.room(2 * TICKS_PER_SECOND, 4))
        self.assertFalse(self.room(2 * TICKS_PER_SECOND, 5))

    def test_parts_of_hundreds_add_up_to_less_than_pushes_it_over(self):
        going = 0
        for seed in range(400):
            made = balancer(pod("cold", started=NOW), instances=400)
            made.context.rng.state, made.slow_start.warm_request_rate = seed << 40, 8.0 / 400
            going += made.slow_start.has_room(made.context.endpoints["cold"], 0.25)
        self.assertTrue(0 < going < 2.0 * 0.25 * 8.0 * 3)


class ExposureStaysWithinTheCap(unittest.TestCase):
    def left(self, taken_before, tried, cap=0.5, **changes):
        made = balancer(told=news(cap=cap), **changes)
        lane = made.context.settings.request_classes["read"]
        made.exposure.window(made.exposure.received, lane).add(
            NOW - TICKS_PER_SECOND // 10, taken_before
        )
        made.exposure.window(made.exposure.sent, lane).add(NOW, tried)
        return made, made.exposure.allows(lane)

    def test_allowance_and_share_and_not_one_more(self):
        self.assertTrue(self.left(4, 3)[1])
        self.assertFalse(self.left(4, 4)[1])

    def test_where_all_may_go_there_what_is_now_taken_does_and_a_later_attempt_counts(self):
        for cap, first, may in ((1.0, True, True), (1.0, False, False), (0.99, True, False)):
            made, _ = self.left(0, 9, cap=cap)
            self.assertEqual(
                made.exposure.allows(made.context.settings.request_classes["read"], first), may
            )

    def test_lanes_count_by_themselves_where_told(self):
        made, own = self.left(0, 2, exposure_by_class=True)
        self.assertFalse(own)
        self.assertTrue(made.exposure.allows(made.context.settings.request_classes["pay"]))

    def test_guarded_stages_are_for_retriable_ones(self):
        for stage, lane, may in ((0, "read", True), (0, "pay", False), (1, "pay", True)):
            made = balancer(told=news(stage=stage))
            self.assertEqual(made.exposure.allows(made.context.settings.request_classes[lane]), may)

    def test_at_cap_nothing_goes_and_a_later_build_waits_for_its_news(self):
        made = balancer(pod("new", 2), told=news(phase=ReleasePhase.ROLLING_BACK, cap=0.0))
        self.assertEqual(kinds(made.handle(NOW, [taken()])), [Reject])
        self.assertEqual(kinds(balancer(pod("new", 2)).handle(NOW, [taken()])), [Reject])

    def test_a_key_that_the_new_build_answered_goes_to_no_earlier_one(self):
        made = balancer(told=news(cap=0.0))
        made.split.pinned_keys.add("k")
        self.assertEqual(kinds(made.handle(NOW, [taken(key="k")])), [Reject])
        made.handle(NOW, [news(phase=ReleasePhase.ROLLING_BACK, cap=0.0)])
        self.assertIn(sent(made.handle(NOW, [taken("t2", key="k")]))[0], ("old-1", "old-2"))

    def test_keys_that_stay_are_those_of_the_newest_build_and_bounded(self):
        made = balancer(told=news(cap=0.0))
        for key in range(MAX_REMEMBERED_KEYS + 9):
            made.handle(NOW, [LateResponseSeen(str(key), 1), LateResponseSeen(str(key), 2)])
        self.assertEqual(len(made.split.pinned_keys), MAX_REMEMBERED_KEYS)
        self.assertEqual(kinds(made.handle(NOW, [taken(key="another")])), [Reject])
        made.handle(NOW, [news(build=3)])
        self.assertEqual(made.split.pinned_keys, set())
