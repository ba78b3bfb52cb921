"""Factories for decision engines and their events, and helpers that read their actions."""

from thymeknot.interface.actions import SendAttempt
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    DeduplicationScope,
    EndpointCondition,
    Idempotency,
    Outcome,
    PromotionMode,
    ReleasePhase,
    UpdateKind,
)
from thymeknot.interface.events import (
    AttemptEnded,
    Endpoint,
    EndpointUpdate,
    ReleaseUpdate,
    RequestReceived,
)
from thymeknot.interface.settings import RequestClass, Settings
from thymeknot.policy.engine import DecisionEngine

NOW = 1000 * TICKS_PER_SECOND


REQUEST_CLASSES = {
    "read": RequestClass(
        "read",
        Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL,
        5 * TICKS_PER_SECOND,
        TICKS_PER_SECOND,
        4 * TICKS_PER_SECOND,
        1.0,
        0.0,
    ),
    "mark": RequestClass(
        "mark",
        Idempotency.KEYED,
        DeduplicationScope.ALL,
        2 * TICKS_PER_SECOND,
        TICKS_PER_SECOND,
        4 * TICKS_PER_SECOND,
        5.0,
        0.0,
    ),
    "zoned": RequestClass(
        "zoned",
        Idempotency.KEYED,
        DeduplicationScope.ZONE,
        2 * TICKS_PER_SECOND,
        TICKS_PER_SECOND,
        4 * TICKS_PER_SECOND,
        5.0,
        0.0,
    ),
    "pay": RequestClass(
        "pay",
        Idempotency.NON_IDEMPOTENT,
        DeduplicationScope.ALL,
        5 * TICKS_PER_SECOND,
        TICKS_PER_SECOND,
        4 * TICKS_PER_SECOND,
        5.0,
        0.0,
    ),
}


ENGINE_SETTINGS = Settings(
    request_classes=REQUEST_CLASSES,
    instances=2,
    lists_polled=False,
    max_attempts=4,
    max_retry_after=TICKS_PER_SECOND,
    hedging_allowed=True,
    cancellation_allowed=True,
    retry_after_allowed=True,
    load_metrics=(),
    poll_within=10 * TICKS_PER_SECOND,
    warmup_initial_fraction=0.25,
    warmup_duration=4 * TICKS_PER_SECOND,
    overload_factor=2.0,
    overload_window=TICKS_PER_SECOND,
    exposure_window=2 * TICKS_PER_SECOND,
    exposure_allowance=2.0,
    guarded_stages=1,
    stage_fractions=(0.1, 0.5, 0.5, 1.0, 1.0),
    exposure_by_class=False,
    sticky_keys=True,
    replaces_machines=False,
    promotion_mode=PromotionMode.QUORUM,
    votes_to_revert=1,
    vote_lifetime=4 * TICKS_PER_SECOND,
    vote_timeout=TICKS_PER_SECOND,
    votes_per_second=100.0,
)


def make_endpoint(address, build=1, started=0, condition=EndpointCondition.READY, zone="a"):
    """Returns an endpoint of weight 1 in cell 0."""
    return Endpoint(address, zone, 1.0, 0, condition, started, "std", build)


def make_release_update(stage=1, phase=ReleasePhase.ON_TRIAL, cap=0.5, build=2):
    """Returns a release update, by default of build 2 on trial."""
    return ReleaseUpdate(build, stage, phase, False, Outcome.DONE, cap, 0)


def make_engine(*endpoints, release_update=None, **changes):
    """Returns an engine that knows these endpoints and, if given, this release update.

    Args:
        endpoints: by default two of the earlier build and one of the new.
        release_update: handled after one that has build 1 released.
        changes: fields of ENGINE_SETTINGS to replace.
    """
    engine = DecisionEngine(ENGINE_SETTINGS._replace(**changes), 7, NOW - 10 * TICKS_PER_SECOND)
    endpoints = endpoints or (
        make_endpoint("old-1"),
        make_endpoint("old-2"),
        make_endpoint("new-1", 2),
    )
    engine.handle(
        NOW - 10 * TICKS_PER_SECOND,
        [
            EndpointUpdate(UpdateKind.CACHED, endpoints),
            make_release_update(4, ReleasePhase.RELEASED, 1.0, 1),
        ],
    )
    if release_update:
        engine.handle(NOW - 10 * TICKS_PER_SECOND, [release_update])
    engine.context.actions, engine.context.now, engine.context.first_traffic_at = (
        [],
        NOW,
        NOW - 10 * TICKS_PER_SECOND,
    )
    return engine


def record_slow_responses(engine, factor, count=40):
    """Adds responses at the current time that took `factor` times their latency objective."""
    engine.admission.response_counts.add(engine.context.now, count)
    engine.admission.relative_latencies.add(engine.context.now, count * factor)


def make_request(name="t1", lane="read", key=None, remaining=3 * TICKS_PER_SECOND):
    """Returns a request of this id that has `remaining` ticks until its deadline."""
    return RequestReceived(name, lane, None, key, remaining, None, False, False)


def make_attempt_ended(
    name="t1", outcome=Outcome.ERROR, address="old-1", number=0, closed=False, latency=100
):
    """Returns the end of an attempt, by default a failed first one at "old-1"."""
    return AttemptEnded(name, outcome, closed, latency, address, number, None)


def action_types(actions):
    """Returns the type of each action."""
    return [type(action) for action in actions]


def attempted_endpoints(actions):
    """Returns the endpoints of the attempts among these actions."""
    return [action.endpoint for action in actions if isinstance(action, SendAttempt)]
