"""Keys that the newest build has answered, or may have answered, go to no earlier build."""

import unittest

from tests.support.decisions import (
    NOW,
    attempted_endpoints,
    make_attempt_ended,
    make_endpoint,
    make_engine,
    make_release_update,
    make_request,
)
from thymeknot.interface.actions import SendAttempt, SetTimer
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import Outcome, ReleasePhase
from thymeknot.interface.events import ClientDisconnected, TimerFired

KEY = "k"
OLD = {"old-1", "old-2"}
NEW = {"new-1", "new-2"}


def use_up_the_budget(engine):
    engine.handle(NOW, [make_release_update(cap=0.0)])


def make_the_key_fail(engine):
    engine.split.failing_keys.add(KEY)


def make_the_key_hot(engine):
    engine.split.recent_keys[KEY] = 50


def lower_the_fraction(engine):
    engine.split.fraction = 0.0


def guard_the_stage(engine):
    engine.handle(NOW, [make_release_update(stage=0, cap=1.0)])


REASONS_FOR_AN_EARLIER_BUILD = (
    use_up_the_budget,
    make_the_key_fail,
    make_the_key_hot,
    lower_the_fraction,
    guard_the_stage,
)


def engine_with_attempt_at_newest(lane="read", **changes):
    """Returns an engine with one attempt in flight, at the newest build, and its actions."""
    engine = make_engine(
        make_endpoint("old-1"),
        make_endpoint("old-2"),
        make_endpoint("new-1", 2),
        make_endpoint("new-2", 2),
        release_update=make_release_update(cap=1.0),
        **changes,
    )
    engine.split.fraction = 1.0
    read = engine.context.settings.request_classes["read"]
    for _ in range(40):
        engine.admission.record_latency(NOW, read, TICKS_PER_SECOND // 20)
    engine.requests.hedging.budget.tokens = 5
    actions = engine.handle(NOW, [make_request("t1", lane, key=KEY)])
    return engine, actions


def endpoint_of(actions):
    """Returns the endpoint of the only attempt among these actions."""
    (endpoint,) = attempted_endpoints(actions)
    return endpoint


class AttemptInFlightTest(unittest.TestCase):
    """From its sending until its end, an attempt at the newest build may have been answered."""

    # Guards against a second copy at an earlier build while the newest may have answered the key.
    def test_hedged_request_goes_to_the_newest_build(self):
        engine, actions = engine_with_attempt_at_newest()
        first = endpoint_of(actions)
        timer = next(action for action in actions if isinstance(action, SetTimer))
        hedges = attempted_endpoints(engine.handle(timer.at, [TimerFired(timer.token)]))
        self.assertEqual(hedges, sorted(NEW - {first}))

    def test_second_copy_whose_end_leaves_the_first_one_in_flight_is_not_retried(self):
        engine, actions = engine_with_attempt_at_newest()
        timer = next(action for action in actions if isinstance(action, SetTimer))
        hedge = endpoint_of(engine.handle(timer.at, [TimerFired(timer.token)]))
        ended = make_attempt_ended("t1", Outcome.REJECTED, hedge, 1)
        self.assertEqual(attempted_endpoints(engine.handle(timer.at, [ended])), [])

    # Guards against another request with the key at an earlier build, for whatever reason.
    def test_another_request_with_the_key_goes_to_no_earlier_build(self):
        for reason in REASONS_FOR_AN_EARLIER_BUILD:
            for lane in ("read", "mark", "pay"):
                with self.subTest(reason.__name__, lane=lane):
                    engine, _ = engine_with_attempt_at_newest()
                    reason(engine)
                    actions = engine.handle(NOW, [make_request("t2", lane, key=KEY)])
                    self.assertEqual(set(attempted_endpoints(actions)) & OLD, set())
                    other = engine.handle(NOW, [make_request("t3", lane, key="another")])
                    if reason in (use_up_the_budget, lower_the_fraction):
                        self.assertIn(endpoint_of(other), OLD)

    def test_released_build_keeps_the_key_too(self):
        engine, _ = engine_with_attempt_at_newest()
        engine.handle(NOW, [make_release_update(4, ReleasePhase.RELEASED, 1.0)])
        engine.split.fraction = 0.0
        request = make_request("t2", key=KEY)
        self.assertIn(endpoint_of(engine.handle(NOW, [request])), NEW)

    def test_request_whose_client_left_counts_until_its_attempt_has_ended(self):
        engine, actions = engine_with_attempt_at_newest()
        engine.handle(NOW, [ClientDisconnected("t1")])
        engine.split.fraction = 0.0
        request = make_request("t2", key=KEY)
        self.assertIn(endpoint_of(engine.handle(NOW, [request])), NEW)


class KeyIsFreeTest(unittest.TestCase):
    """A key may go to an earlier build once no attempt at the newest can have answered it."""

    def test_key_is_free_after_an_attempt_that_was_not_answered_well(self):
        for outcome in (
            Outcome.REJECTED,
            Outcome.ERROR,
            Outcome.CONNECT_FAILED,
            Outcome.NOT_SENT,
        ):
            with self.subTest(outcome):
                engine, actions = engine_with_attempt_at_newest(lane="pay")
                ended = make_attempt_ended("t1", outcome, endpoint_of(actions))
                engine.handle(NOW, [ended, ClientDisconnected("t1")])
                engine.split.fraction = 0.0
                request = make_request("t2", key=KEY)
                self.assertIn(endpoint_of(engine.handle(NOW, [request])), OLD)

    def test_key_is_kept_until_the_last_of_its_attempts_has_ended(self):
        engine, actions = engine_with_attempt_at_newest(lane="pay")
        second = endpoint_of(engine.handle(NOW, [make_request("t2", "pay", key=KEY)]))
        engine.split.fraction = 0.0
        ends = (
            make_attempt_ended("t1", Outcome.ERROR, endpoint_of(actions)),
            make_attempt_ended("t2", Outcome.ERROR, second),
        )
        for number, (end, allowed) in enumerate(zip(ends, (NEW, OLD), strict=True)):
            engine.handle(NOW, [end])
            name = f"another-{number}"
            went = endpoint_of(engine.handle(NOW, [make_request(name, "pay", key=KEY)]))
            self.assertIn(went, allowed)
            engine.handle(NOW, [make_attempt_ended(name, Outcome.ERROR, went)])

    def test_key_is_free_where_the_newest_build_takes_no_requests(self):
        for phase in (ReleasePhase.ROLLING_BACK, ReleasePhase.WITHDRAWN):
            engine, _ = engine_with_attempt_at_newest()
            engine.handle(NOW, [make_release_update(phase=phase, cap=0.0)])
            request = make_request("t2", key=KEY)
            self.assertIn(endpoint_of(engine.handle(NOW, [request])), OLD)

    def test_key_is_free_of_an_attempt_at_the_build_before_the_newest(self):
        engine, _ = engine_with_attempt_at_newest()
        engine.handle(NOW, [make_release_update(stage=1, cap=0.5, build=3)])
        request = make_request("t2", key=KEY)
        self.assertIn(endpoint_of(engine.handle(NOW, [request])), OLD | NEW)

    def test_key_is_free_without_sticky_keys(self):
        engine, actions = engine_with_attempt_at_newest(sticky_keys=False)
        timer = next(action for action in actions if isinstance(action, SetTimer))
        hedge = endpoint_of(engine.handle(timer.at, [TimerFired(timer.token)]))
        self.assertIn(hedge, OLD)

    def test_only_open_attempts_are_kept(self):
        engine, _ = engine_with_attempt_at_newest()
        engine.handle(NOW, [make_attempt_ended("t1", Outcome.DONE, "new-1", closed=True)])
        for number in range(50):
            name = f"r{number}"
            at = NOW + number * TICKS_PER_SECOND // 10
            actions = engine.handle(at, [make_request(name, key=name)])
            for action in actions:
                if isinstance(action, SendAttempt):
                    ended = make_attempt_ended(name, Outcome.DONE, action.endpoint, closed=True)
                    engine.handle(at, [ended])
        self.assertEqual((engine.requests.open, engine.sticky_keys.attempts_in_flight), ({}, {}))


if __name__ == "__main__":
    unittest.main()
