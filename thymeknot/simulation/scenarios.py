"""Scenarios of simulated days: a fleet, its traffic, the builds offered and a timeline of faults.

The parameters of a day are drawn from ranges with a seeded generator. The same seed gives the same
day, byte for byte, in any process. Times are in ticks (tenths of a millisecond).
"""

from enum import StrEnum
from typing import NamedTuple

import numpy as np
from numpy.random import Generator

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import DeduplicationScope, Idempotency, PromotionMode
from ..interface.settings import RequestClass, Settings


class ClassTraffic(NamedTuple):
    """The traffic of a request class."""

    request_class: RequestClass
    share: float
    """Ratio of all requests that belong to the class."""
    mean_work: float
    """Mean service time of a request in ticks on one core of speed 1."""
    work_variation: float
    """Standard deviation of the work divided by its mean; 1 gives an exponential distribution."""


class FaultKind(StrEnum):
    """The kinds of faults, with the meaning of `targets` and `magnitude` for each."""

    SLOW_PODS = "pods"
    """The servers at the places `targets` are slower by the factor `magnitude`."""
    ERRORS = "ill"
    """The initial servers at the places `targets` fail a ratio `magnitude` of their jobs."""
    CONNECTION_LOSS = "network"
    """A ratio `magnitude` of the attempts is lost."""
    LATE_LISTS = "discovery"
    """Endpoint lists are delayed by `magnitude` more ticks."""
    LATE_RELEASE_UPDATES = "platform"
    """Release updates are delayed by `magnitude` more ticks."""
    RESTARTS = "kill"
    """The instances `targets` are killed and start again after about `magnitude` ticks."""
    BURST = "burst"
    """The request rate is multiplied by `magnitude`."""
    PAUSES = "pause"
    """The servers at the places `targets` pause repeatedly for about `magnitude` ticks."""
    SILENT_PODS = "silent"
    """The servers at the places `targets` accept requests but never answer."""
    ZONE_LOSS = "zone"
    """All servers of the zone in `targets` never answer; at the end of the fault they restart."""
    ZONE_PARTITION = "cut"
    """The zones `targets` are partitioned from the others."""
    LOST_RESPONSES = "lost answers"
    """A ratio `magnitude` of the answers is lost."""
    SLOW_ALL = "slow all"
    """All work takes `magnitude` times as long."""
    PLATFORM_CALL_FAILURES = "calls"
    """Calls to the platform get no answer if `magnitude` is 0, or are rejected if it is 1."""


class Fault(NamedTuple):
    """A fault on the timeline of a day."""

    kind: FaultKind
    begin: Ticks
    end: Ticks
    targets: tuple[int, ...]
    """Numbers of the affected places, instances or zones; empty if the fault affects all."""
    magnitude: float
    """Strength of the fault; FaultKind gives its meaning for each kind."""


class Offer(NamedTuple):
    """A build that the platform offers."""

    at: Ticks
    """When the build is offered."""
    build: int
    good: bool
    """Whether the build should be released."""
    failure_ratio: float
    """Ratio of attempts that fail while the fault is active."""
    slowdown: float
    """Factor applied to the work while the fault is active."""
    fault_delay: Ticks
    """Time from the start of a server until the fault becomes active."""
    fault_load: float
    """Ratio of a server's cores that must be busy for the fault to be active."""
    shared_slowdown: float = 0.0
    """Slowdown of all servers, scaled by this build's share of the attempts."""


class Day(NamedTuple):
    """The scenario of a day.

    Servers run at numbered places; servers of different builds succeed each other at a place.
    """

    seed: int
    duration: Ticks
    """How long clients send new requests."""
    instances: int
    """Number of sidecars."""
    pods: int
    """Number of places for servers."""
    zones: tuple[str, ...]
    cores: int
    """Number of cores per server."""
    speeds: tuple[float, ...]
    """Work that a core completes per tick, by place."""
    queue_limit: int
    """Maximum number of queued jobs per server."""
    request_rate: float
    """Requests per second to all instances together."""
    instance_shares: tuple[float, ...]
    """Ratio of the traffic that each instance receives."""
    traffic: tuple[ClassTraffic, ...]
    keys: int
    """Number of different keys of requests."""
    zipf_exponent: float
    """Exponent of the Zipf distribution of the keys' popularity."""
    tenants: int
    """Number of tenants."""
    client_retries: int
    """Maximum number of times that a client sends a rejected request again."""
    retry_after_compliance: float
    """Probability that a client observes the retry-after time of a rejection."""
    network_delay: tuple[float, float]
    """One-way delay: mean in ticks, and standard deviation divided by the mean."""
    loss_ratio: float
    """Ratio of attempts that are lost without any fault."""
    mean_list_delay: Ticks
    """Mean time until an instance learns of a change to an endpoint."""
    mean_release_update_delay: Ticks
    """Mean time until an instance learns of a release update."""
    min_stage_duration: Ticks
    """Minimum duration of a stage."""
    mean_boot_time: Ticks
    """Mean time until a new server runs."""
    warmup_duration: Ticks
    """Duration of the warm-up after the start of a server."""
    warmup_initial_fraction: float
    """Ratio of its full capacity that a server has at its start."""
    offers: tuple[Offer, ...]
    faults: tuple[Fault, ...]
    settings: Settings
    """Settings that the instances read at start."""
    votes_to_promote: int = 0
    """Number of votes that promote a build; 0 for half of the instances."""
    stage_caps: tuple[float, ...] = (0.08, 0.2, 0.5, 1.0, 1.0)
    """Maximum ratio of requests that may go to the build on trial, by stage."""
    list_calls_per_second: float = 0.0
    """Calls for endpoint lists that discovery answers per second; 0 if it pushes lists."""
    max_connections_per_pod: int = 0
    """Maximum number of connections per server; 0 for no limit."""
    counts_interval: Ticks = 0
    """Interval at which the platform sends its counts of attempts; 0 if it sends none."""
    counted_ratio: float = 0.1
    """Ratio of the ended attempts that the platform counts."""
    counts_delay: Ticks = 5_700
    """Time from the end of a counting period until the instances receive its counts."""
    stage_waits_for_machines: bool = True
    """Whether a stage's clock starts once its machines run, rather than with the stage."""
    boot_time_spread: float = 0.3
    """Maximum deviation of boot times from their mean, as a ratio of it."""
    drain_delay: Ticks = 0
    """Time from a release until the machines of earlier builds begin to drain."""
    drain_duration: Ticks = 4 * TICKS_PER_SECOND
    """Time from the start of a drain until the machine is gone."""
    list_batch_interval: Ticks = 0
    """Interval at which list changes are sent in batches; 0 if each is sent by itself."""
    mean_handshake_work: int = 0
    """Mean work of opening a connection, in ticks on one core of speed 1.

    A new connection also costs two round trips; if this is 0, it costs neither.
    """


# Traffic of small fleets.
SMALL_FLEET_TRAFFIC = (
    ClassTraffic(
        RequestClass(
            name="fetch",
            idempotency=Idempotency.IDEMPOTENT,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window=5 * TICKS_PER_SECOND,
            latency_objective=2000,
            outer_limit=6000,
            priority_weight=1.0,
            late_priority_weight=0.0,
        ),
        share=0.7,
        mean_work=80,
        work_variation=0.8,
    ),
    ClassTraffic(
        RequestClass(
            name="sync",
            idempotency=Idempotency.KEYED,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window=5 * TICKS_PER_SECOND,
            latency_objective=3000,
            outer_limit=9000,
            priority_weight=2.0,
            late_priority_weight=0.2,
        ),
        share=0.2,
        mean_work=120,
        work_variation=0.8,
    ),
    ClassTraffic(
        RequestClass(
            name="pay",
            idempotency=Idempotency.NON_IDEMPOTENT,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window=5 * TICKS_PER_SECOND,
            latency_objective=4000,
            outer_limit=12000,
            priority_weight=6.0,
            late_priority_weight=0.2,
        ),
        share=0.1,
        mean_work=150,
        work_variation=0.6,
    ),
)
# Fraction of the machines that run the build on trial, by stage.
STAGE_FRACTIONS = (0.04, 0.1, 0.25, 0.55, 1.0)
# Maximum number of queued jobs per server.
QUEUE_LIMIT = 64
# Ratio of its full capacity that a server has at its start.
WARMUP_INITIAL_FRACTION = 0.31
CORES_PER_POD = 2
# Rate limit of a small fleet's platform for votes.
VOTES_PER_SECOND = 150.0
# Votes of one in this many instances roll a build back.
INSTANCES_PER_REVERT_VOTE = 20
# Kinds from which a day's faults are drawn. The order determines which day a seed gives.
DRAWN_FAULT_KINDS = (
    FaultKind.SLOW_PODS,
    FaultKind.ERRORS,
    FaultKind.CONNECTION_LOSS,
    FaultKind.LATE_LISTS,
    FaultKind.LATE_RELEASE_UPDATES,
    FaultKind.RESTARTS,
    FaultKind.BURST,
)
# A fault affects one in this many places or instances.
TARGET_DIVISOR = 5


class Defect(StrEnum):
    """The defects of bad builds in a small fleet."""

    ERRORS = "errors"
    SLOW = "slow"
    DELAYED_ERRORS = "errors after a while"
    ERRORS_UNDER_LOAD = "errors where busy"


# The order determines which day a seed gives.
DEFECTS = (Defect.ERRORS, Defect.SLOW, Defect.DELAYED_ERRORS, Defect.ERRORS_UNDER_LOAD)


def make_settings(
    traffic: tuple[ClassTraffic, ...],
    instances: int,
    *,
    warmup_duration: Ticks,
    warmup_initial_fraction: float,
    votes_to_revert: int,
    votes_per_second: float,
) -> Settings:
    """Returns the settings that the instances of a simulated fleet read at start.

    Args:
        traffic: The request classes and their traffic.
        instances: Number of sidecars.
        warmup_duration: Duration of the warm-up after the start of a server.
        warmup_initial_fraction: Ratio of its full capacity that a server has at its start.
        votes_to_revert: Number of votes that roll a build back; values below 1 are raised to 1.
        votes_per_second: The platform's rate limit for votes of all instances together.
    """
    return Settings(
        request_classes={entry.request_class.name: entry.request_class for entry in traffic},
        instances=instances,
        lists_polled=False,
        max_attempts=4,
        max_retry_after=TICKS_PER_SECOND // 2,
        hedging_allowed=False,
        cancellation_allowed=True,
        retry_after_allowed=True,
        load_metrics=(),
        poll_within=10 * TICKS_PER_SECOND,
        warmup_initial_fraction=warmup_initial_fraction,
        warmup_duration=warmup_duration,
        overload_factor=2.0,
        overload_window=3 * TICKS_PER_SECOND // 2,
        exposure_window=3 * TICKS_PER_SECOND,
        exposure_allowance=3.0,
        guarded_stages=2,
        stage_fractions=STAGE_FRACTIONS,
        exposure_by_class=False,
        sticky_keys=True,
        replaces_machines=False,
        promotion_mode=PromotionMode.QUORUM,
        votes_to_revert=max(1, votes_to_revert),
        vote_lifetime=4 * TICKS_PER_SECOND,
        vote_timeout=12_000,
        votes_per_second=votes_per_second,
    )


def draw_day(
    seed: int,
    *,
    instances: int = 40,
    pods: int = 24,
    rate: float = 400.0,
    seconds: int = 40,
    load: float = 0.5,
    fault_count: int = 2,
    offer_count: int = 1,
    traffic: tuple[ClassTraffic, ...] = SMALL_FLEET_TRAFFIC,
) -> Day:
    """Draws a day of a small fleet.

    Args:
        seed: Seed of the random numbers.
        instances: Number of sidecars.
        pods: Number of servers.
        rate: Requests per second to all instances together.
        seconds: Duration of the day.
        load: Utilization of all servers together; it determines their speed.
        fault_count: Number of faults.
        offer_count: Number of builds that are offered.
        traffic: The request classes and their traffic.
    """
    generator = np.random.Generator(np.random.PCG64(seed))
    duration = seconds * TICKS_PER_SECOND
    warmup_duration = int(generator.uniform(3, 6) * TICKS_PER_SECOND)
    mean_work = sum(entry.share * entry.mean_work for entry in traffic) / TICKS_PER_SECOND
    mean_speed = rate * mean_work / (load * pods * CORES_PER_POD)
    # At a given load, fewer requests per server take longer each. The latency objectives and limits
    # of clients are extended accordingly.
    traffic = _scale_limits(traffic, max(1.0, 1 / mean_speed))
    speeds = tuple(float(mean_speed * factor) for factor in generator.uniform(0.8, 1.2, pods))
    instance_weights = generator.lognormal(0, 0.8, instances)
    drawn_offers = tuple(
        _draw_offer(generator, 2 + index, 4 + index * seconds / max(1, offer_count))
        for index in range(offer_count)
    )
    faults = tuple(
        _draw_fault(FaultKind(str(name)), generator, duration, pods, instances)
        for name in generator.choice(DRAWN_FAULT_KINDS, fault_count, replace=False)
    )
    return Day(
        seed=seed,
        duration=duration,
        instances=instances,
        pods=pods,
        zones=("a", "b", "c"),
        cores=CORES_PER_POD,
        speeds=speeds,
        queue_limit=QUEUE_LIMIT,
        request_rate=rate,
        instance_shares=tuple(
            float(weight) for weight in instance_weights / instance_weights.sum()
        ),
        traffic=traffic,
        keys=20_000,
        zipf_exponent=0.9,
        tenants=4,
        client_retries=2,
        retry_after_compliance=0.7,
        network_delay=(8, 0.3),
        loss_ratio=0.0005,
        mean_list_delay=3000,
        mean_release_update_delay=3000,
        min_stage_duration=TICKS_PER_SECOND,
        mean_boot_time=2 * TICKS_PER_SECOND,
        warmup_duration=warmup_duration,
        warmup_initial_fraction=WARMUP_INITIAL_FRACTION,
        offers=drawn_offers,
        faults=faults,
        settings=make_settings(
            traffic,
            instances,
            warmup_duration=warmup_duration,
            warmup_initial_fraction=WARMUP_INITIAL_FRACTION,
            votes_to_revert=instances // INSTANCES_PER_REVERT_VOTE,
            votes_per_second=VOTES_PER_SECOND,
        ),
    )


def _scale_limits(traffic: tuple[ClassTraffic, ...], factor: float) -> tuple[ClassTraffic, ...]:
    """Multiplies the latency objectives and outer limits of all classes by a factor."""
    return tuple(
        entry._replace(
            request_class=entry.request_class._replace(
                latency_objective=int(entry.request_class.latency_objective * factor),
                outer_limit=int(entry.request_class.outer_limit * factor),
            )
        )
        for entry in traffic
    )


def _draw_offer(generator: Generator, build: int, seconds: float) -> Offer:
    """Draws a build that is offered at this second; it is good with probability 1/2."""
    is_good = bool(generator.random() < 0.5)
    # Drawn for a good build, too: without this draw, a seed would give other values from here on.
    defect = DEFECTS[int(generator.integers(0, len(DEFECTS)))]
    has_errors = not is_good and defect != Defect.SLOW
    is_slow = not is_good and defect == Defect.SLOW
    is_delayed = not is_good and defect == Defect.DELAYED_ERRORS
    needs_load = not is_good and defect == Defect.ERRORS_UNDER_LOAD
    return Offer(
        at=int(seconds * TICKS_PER_SECOND),
        build=build,
        good=is_good,
        failure_ratio=float(generator.uniform(0.1, 0.5)) if has_errors else 0.0,
        slowdown=float(generator.uniform(2, 4)) if is_slow else float(generator.uniform(0.9, 1.1)),
        fault_delay=int(generator.uniform(2, 6) * TICKS_PER_SECOND) if is_delayed else 0,
        fault_load=float(generator.uniform(0.3, 0.6)) if needs_load else 0.0,
    )


def _draw_fault(
    kind: FaultKind, generator: Generator, duration: Ticks, pods: int, instances: int
) -> Fault:
    """Draws a fault of a kind.

    The parameters of all kinds are drawn in a fixed order, so that the number of draws does not
    depend on the kind.
    """
    begin = int(generator.uniform(0.15, 0.7) * duration)
    end = begin + int(generator.uniform(0.1, 0.25) * duration)
    places = _draw_targets(generator, pods)
    slowdown = float(generator.uniform(1.5, 3))
    failure_ratio = float(generator.uniform(0.3, 0.8))
    loss_ratio = float(generator.uniform(0.02, 0.15))
    list_delay = float(generator.uniform(1, 4)) * TICKS_PER_SECOND
    update_delay = float(generator.uniform(1, 5)) * TICKS_PER_SECOND
    restarted = _draw_targets(generator, instances)
    restart_delay = float(generator.uniform(0.3, 2)) * TICKS_PER_SECOND
    rate_factor = float(generator.uniform(1.3, 2.0))
    effects: dict[FaultKind, tuple[tuple[int, ...], float]] = {
        FaultKind.SLOW_PODS: (places, slowdown),
        FaultKind.ERRORS: (places[:1], failure_ratio),
        FaultKind.CONNECTION_LOSS: ((), loss_ratio),
        FaultKind.LATE_LISTS: ((), list_delay),
        FaultKind.LATE_RELEASE_UPDATES: ((), update_delay),
        FaultKind.RESTARTS: (restarted, restart_delay),
        FaultKind.BURST: ((), rate_factor),
    }
    return Fault(kind, begin, end, *effects[kind])


def _draw_targets(generator: Generator, count: int) -> tuple[int, ...]:
    """Draws one in TARGET_DIVISOR of `count` numbers, starting at 0; at least one is drawn."""
    target_count = max(1, count // TARGET_DIVISOR)
    return tuple(int(number) for number in generator.choice(count, target_count, replace=False))
