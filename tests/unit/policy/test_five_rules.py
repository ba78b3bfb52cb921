"""The five rules, with cases on both sides of each limit.

1: every request gets exactly one final response. 2: no request takes effect twice. 3: drains are
respected. 4: an endpoint that warms up is not overloaded. 5: exposure of the build on trial stays
within the cap.
"""

import unittest

from tests.support.decisions import (
    NOW,
    action_types,
    attempted_endpoints,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_release_update,
    make_request,
)
from thymeknot.interface.actions import Fail, Reject, SendAttempt, SetTimer
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import EndpointCondition, Outcome, ReleasePhase, UpdateKind
from thymeknot.interface.events import ClientDisconnected, EndpointUpdate, LateResponseSeen
from thymeknot.policy.sticky_keys import MAX_REMEMBERED_KEYS


class FinalResponseTest(unittest.TestCase):
    def test_request_without_a_ready_endpoint_is_rejected_at_once(self):
        engine = make_engine(make_endpoint("gone", condition=EndpointCondition.DRAINING))
        self.assertEqual(action_types(engine.handle(NOW, [make_request()])), [Reject])

    def test_request_past_its_deadline_is_rejected_without_an_attempt(self):
        self.assertEqual(
            action_types(make_engine().handle(NOW, [make_request(remaining=0)])), [Reject]
        )

    def test_no_action_follows_the_final_response(self):
        engine = make_engine()
        engine.handle(
            NOW, [make_request(lane="pay"), make_attempt_ended(outcome=Outcome.DONE, closed=True)]
        )
        self.assertEqual(
            engine.handle(
                NOW + 1,
                [make_attempt_ended(outcome=Outcome.DONE, closed=True), ClientDisconnected("t1")],
            ),
            [],
        )

    def test_error_after_the_latency_objective_is_rejected_without_a_retry(self):
        engine = make_engine()
        address = attempted_endpoints(engine.handle(NOW, [make_request()]))[0]
        actions = engine.handle(
            NOW + TICKS_PER_SECOND, [make_attempt_ended(outcome=Outcome.ERROR, address=address)]
        )
        self.assertEqual(action_types(actions), [Reject])

    def test_attempt_timeout_is_the_time_that_the_client_waits(self):
        self.assertEqual(make_engine().handle(NOW, [make_request(remaining=123)])[0].timeout, 123)


class AtMostOnceTest(unittest.TestCase):
    def actions_after(self, request_class, outcome, later=1, **changes):
        """Returns the endpoint of the first attempt and the actions after it ended with this outcome."""
        engine = make_engine(
            make_endpoint("a"), make_endpoint("b"), make_endpoint("c", zone="z"), **changes
        )
        first = attempted_endpoints(engine.handle(NOW, [make_request(lane=request_class)]))[0]
        return first, engine.handle(
            NOW + later, [make_attempt_ended(outcome=outcome, address=first)]
        )

    def test_non_idempotent_request_that_may_have_run_fails(self):
        for outcome in (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.assertEqual(action_types(self.actions_after("pay", outcome)[1]), [Fail], outcome)

    def test_non_idempotent_request_that_did_not_run_is_retried(self):
        for outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            self.assertEqual(
                action_types(self.actions_after("pay", outcome)[1]), [SendAttempt], outcome
            )

    def test_keyed_request_is_retried_only_within_its_deduplication_window(self):
        request_classes = {
            "mark": make_engine()
            .context.settings.request_classes["mark"]
            ._replace(latency_objective=3 * TICKS_PER_SECOND)
        }
        self.assertEqual(
            action_types(
                self.actions_after(
                    "mark", Outcome.ERROR, 2 * TICKS_PER_SECOND - 1, request_classes=request_classes
                )[1]
            ),
            [SendAttempt],
        )
        self.assertEqual(
            action_types(
                self.actions_after(
                    "mark", Outcome.ERROR, 2 * TICKS_PER_SECOND, request_classes=request_classes
                )[1]
            ),
            [Fail],
        )

    def test_zone_scoped_keyed_request_is_retried_in_its_zone_or_fails(self):
        engine = make_engine(make_endpoint("a"), make_endpoint("c", zone="z"))
        first = attempted_endpoints(engine.handle(NOW, [make_request(lane="zoned")]))[0]
        retry = engine.handle(NOW + 1, [make_attempt_ended(outcome=Outcome.ERROR, address=first)])
        self.assertTrue(attempted_endpoints(retry) == [first] or action_types(retry) == [Fail])

    def test_request_fails_if_a_later_attempt_than_the_first_may_have_run(self):
        engine = make_engine(make_endpoint("a"), make_endpoint("b"))
        first = attempted_endpoints(engine.handle(NOW, [make_request(lane="pay")]))[0]
        second = attempted_endpoints(
            engine.handle(NOW + 1, [make_attempt_ended(outcome=Outcome.REJECTED, address=first)])
        )[0]
        self.assertEqual(
            action_types(
                engine.handle(
                    NOW + 2, [make_attempt_ended(outcome=Outcome.ERROR, address=second, number=1)]
                )
            ),
            [Fail],
        )

    def test_no_hedging_timer_if_hedging_is_disabled(self):
        engine = make_engine(hedging_allowed=False)
        self.assertNotIn(SetTimer, action_types(engine.handle(NOW, [make_request()])))


class DrainTest(unittest.TestCase):
    def test_draining_or_gone_endpoint_gets_no_request(self):
        for condition in (EndpointCondition.DRAINING, EndpointCondition.GONE):
            engine = make_engine(make_endpoint("a"), make_endpoint("b"))
            engine.handle(
                NOW, [EndpointUpdate(UpdateKind.DELTA, (make_endpoint("a", condition=condition),))]
            )
            self.assertEqual(
                {
                    attempted_endpoints(engine.handle(NOW, [make_request(str(n))]))[0]
                    for n in range(9)
                },
                {"b"},
            )

    def test_endpoint_missing_from_a_full_list_is_gone(self):
        engine = make_engine(make_endpoint("a"), make_endpoint("b"))
        engine.handle(NOW, [EndpointUpdate(UpdateKind.FULL, (make_endpoint("b"),))])
        self.assertEqual(
            {attempted_endpoints(engine.handle(NOW, [make_request(str(n))]))[0] for n in range(9)},
            {"b"},
        )

    def test_failed_fetch_keeps_the_list_and_is_repeated(self):
        engine = make_engine(make_endpoint("a"), lists_polled=True)
        engine.selection.next_poll_at = NOW + 9 * TICKS_PER_SECOND
        engine.handle(NOW, [EndpointUpdate(UpdateKind.FETCH_FAILED, ())])
        self.assertEqual(attempted_endpoints(engine.handle(NOW, [make_request()])), ["a"])
        self.assertLessEqual(engine.selection.next_poll_at, NOW + 2 * TICKS_PER_SECOND)


class SlowStartTest(unittest.TestCase):
    def has_room(self, age, recent_attempts, rate=8.0):
        """Returns whether an endpoint of this age takes one attempt more than these."""
        engine = make_engine(make_endpoint("cold", started=NOW - age), overload_factor=2.0)
        engine.slow_start.warm_request_rate, endpoint = rate, engine.context.endpoints["cold"]
        endpoint.recent_attempts.add(NOW, recent_attempts)
        return engine.slow_start.has_room(
            endpoint, endpoint.warmup_fraction(NOW, engine.context.settings)
        )

    def test_new_endpoint_gets_no_more_than_this_instances_share(self):
        self.assertTrue(self.has_room(0, 1))
        self.assertFalse(self.has_room(0, 2))

    def test_share_grows_with_the_endpoints_age(self):
        self.assertTrue(self.has_room(2 * TICKS_PER_SECOND, 4))
        self.assertFalse(self.has_room(2 * TICKS_PER_SECOND, 5))

    def test_shares_of_a_large_fleet_add_up_to_less_than_an_overload(self):
        admitted = 0
        for seed in range(400):
            engine = make_engine(make_endpoint("cold", started=NOW), instances=400)
            engine.context.rng.state, engine.slow_start.warm_request_rate = seed << 40, 8.0 / 400
            admitted += engine.slow_start.has_room(engine.context.endpoints["cold"], 0.25)
        self.assertTrue(0 < admitted < 2.0 * 0.25 * 8.0 * 3)


class ExposureTest(unittest.TestCase):
    def exposure_after(self, received, attempted, cap=0.5, **changes):
        """Returns an engine after these requests and trial attempts, and whether it allows one more attempt."""
        engine = make_engine(release_update=make_release_update(cap=cap), **changes)
        request_class = engine.context.settings.request_classes["read"]
        engine.exposure.window(engine.exposure.received, request_class).add(
            NOW - TICKS_PER_SECOND // 10, received
        )
        engine.exposure.window(engine.exposure.sent, request_class).add(NOW, attempted)
        return engine, engine.exposure.allows(request_class)

    def test_attempts_are_bounded_by_allowance_and_cap(self):
        self.assertTrue(self.exposure_after(4, 3)[1])
        self.assertFalse(self.exposure_after(4, 4)[1])

    def test_cap_of_one_admits_first_attempts_and_counts_retries(self):
        for cap, first, allowed in ((1.0, True, True), (1.0, False, False), (0.99, True, False)):
            engine, _ = self.exposure_after(0, 9, cap=cap)
            self.assertEqual(
                engine.exposure.allows(engine.context.settings.request_classes["read"], first),
                allowed,
            )

    def test_exposure_by_class_counts_each_class_alone(self):
        engine, own = self.exposure_after(0, 2, exposure_by_class=True)
        self.assertFalse(own)
        self.assertTrue(engine.exposure.allows(engine.context.settings.request_classes["pay"]))

    def test_guarded_stages_admit_idempotent_requests_only(self):
        for stage, request_class, allowed in (
            (0, "read", True),
            (0, "pay", False),
            (1, "pay", True),
        ):
            engine = make_engine(release_update=make_release_update(stage=stage))
            self.assertEqual(
                engine.exposure.allows(engine.context.settings.request_classes[request_class]),
                allowed,
            )

    # Guards against requests that may not be repeated at a bad build that goes back from a guarded
    # stage, once the earlier build's endpoints are gone.
    def test_guard_holds_on_the_way_back(self):
        for stage, request_class, sent in (
            (0, "read", True),
            (0, "mark", False),
            (0, "pay", False),
            (1, "pay", True),
        ):
            for states in (
                [(stage, ReleasePhase.ROLLING_BACK)],
                [(1, ReleasePhase.ON_TRIAL), (stage, ReleasePhase.ROLLING_BACK)],
                [(stage, ReleasePhase.ON_TRIAL), (stage, ReleasePhase.ROLLING_BACK)],
            ):
                engine = make_engine(make_endpoint("new", 2))
                for reached, phase in states:
                    engine.handle(NOW, [make_release_update(reached, phase, 0.5)])
                actions = engine.handle(NOW, [make_request("t1", request_class)])
                with self.subTest(stage=stage, request_class=request_class, states=states):
                    self.assertEqual("new" in attempted_endpoints(actions), sent)

    def test_rolled_back_or_unannounced_build_gets_no_request(self):
        engine = make_engine(
            make_endpoint("new", 2),
            release_update=make_release_update(phase=ReleasePhase.ROLLING_BACK, cap=0.0),
        )
        self.assertEqual(action_types(engine.handle(NOW, [make_request()])), [Reject])
        self.assertEqual(
            action_types(make_engine(make_endpoint("new", 2)).handle(NOW, [make_request()])),
            [Reject],
        )

    def test_sticky_key_is_not_sent_to_an_earlier_build_during_the_trial(self):
        engine = make_engine(release_update=make_release_update(cap=0.0))
        engine.sticky_keys.pinned_keys.add("k")
        self.assertEqual(action_types(engine.handle(NOW, [make_request(key="k")])), [Reject])
        engine.handle(NOW, [make_release_update(phase=ReleasePhase.ROLLING_BACK, cap=0.0)])
        self.assertIn(
            attempted_endpoints(engine.handle(NOW, [make_request("t2", key="k")]))[0],
            ("old-1", "old-2"),
        )

    def test_sticky_keys_belong_to_the_newest_build_and_are_bounded(self):
        engine = make_engine(release_update=make_release_update(cap=0.0))
        for key in range(MAX_REMEMBERED_KEYS + 9):
            engine.handle(NOW, [LateResponseSeen(str(key), 1), LateResponseSeen(str(key), 2)])
        self.assertEqual(len(engine.sticky_keys.pinned_keys), MAX_REMEMBERED_KEYS)
        self.assertEqual(action_types(engine.handle(NOW, [make_request(key="another")])), [Reject])
        engine.handle(NOW, [make_release_update(build=3)])
        self.assertEqual(engine.sticky_keys.pinned_keys, set())
