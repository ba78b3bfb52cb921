"""What a day holds: the fleet, its traffic, its builds and the faults on a timeline.

A day is drawn from ranges by a seed; the same seed gives the same day, byte by byte, wherever it is
drawn. Times are ticks (tenths of a millisecond).
"""

from enum import StrEnum
from typing import NamedTuple

import numpy as np
from numpy.random import Generator

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import DeduplicationScope, Idempotency, PromotionMode
from ..interface.settings import RequestClass, Settings


class ClassTraffic(NamedTuple):
    """A request class and its part of the traffic."""

    request_class: RequestClass
    share: float
    """Of the requests."""
    mean_work: float
    """Mean, in ticks on one core of speed 1."""
    work_variation: float
    """Standard deviation of the work over its mean; 1 is exponential."""


class FaultKind(StrEnum):
    """What a fault does. `what` and `size` are the fields of Fault."""

    SLOW_PODS = "pods"
    """The servers at the places `what` are slower by the factor `size`."""
    ERRORS = "ill"
    """The first servers at the places `what` fail a share `size` of their jobs."""
    CONNECTION_LOSS = "network"
    """A share `size` of the attempts is lost."""
    LATE_LISTS = "discovery"
    """Endpoint lists come `size` ticks later."""
    LATE_RELEASE_UPDATES = "platform"
    """Release updates come `size` ticks later."""
    RESTARTS = "kill"
    """The instances `what` die and start again after about `size` ticks."""
    BURST = "burst"
    """The request rate is multiplied by `size`."""
    PAUSES = "pause"
    """The servers at the places `what` stand still again and again, for about `size` ticks."""
    SILENT_PODS = "silent"
    """The servers at the places `what` take requests and do not answer."""
    ZONE_LOSS = "zone"
    """All servers of the zone `what` are silent and start anew at the end."""
    ZONE_PARTITION = "cut"
    """The zones `what` do not reach the others."""
    LOST_RESPONSES = "lost answers"
    """A share `size` of the answers is lost."""
    SLOW_ALL = "slow all"
    """All work takes `size` times as long."""
    PLATFORM_CALL_FAILURES = "calls"
    """Calls of the platform fail: 0 silent, 1 refused."""


class Fault(NamedTuple):
    """A fault on the timeline."""

    kind: FaultKind
    begin: Ticks
    end: Ticks
    targets: tuple[int, ...]
    """Whom it strikes: places, instances or zones by number; empty: all."""
    magnitude: float
    """How hard; see FaultKind."""


class Offer(NamedTuple):
    """A build that the platform offers."""

    at: Ticks
    """When."""
    build: int
    good: bool
    """Whether it should be released."""
    failure_ratio: float
    """Share of the attempts that fail while its fault acts."""
    slowdown: float
    """Factor of the work while its fault acts."""
    fault_delay: Ticks
    """From the start of a server until the fault acts."""
    fault_load: float
    """Share of a server's cores that must be busy for the fault to act."""
    shared_slowdown: float = 0.0
    """Factor that slows all servers, by this build's share of the attempts."""


class Day(NamedTuple):
    """All that happens on a day. Servers of different builds stand at a place in turn."""

    seed: int
    duration: Ticks
    """How long new requests come."""
    instances: int
    """Sidecars."""
    pods: int
    """Places of servers."""
    zones: tuple[str, ...]
    cores: int
    """Of each server."""
    speeds: tuple[float, ...]
    """Of each place: the work that a core does in a tick."""
    queue_limit: int
    """Jobs that wait at a server at most."""
    request_rate: float
    """Requests a second, of all instances."""
    instance_shares: tuple[float, ...]
    """Share of the traffic of each instance."""
    traffic: tuple[ClassTraffic, ...]
    keys: int
    """How many keys requests have."""
    zipf_exponent: float
    """Exponent of the popularity of keys."""
    tenants: int
    client_retries: int
    """Attempts of a client after a rejection."""
    retry_after_compliance: float
    """Share of the clients that heed retry-after."""
    network_delay: tuple[float, float]
    """Of the network, one way: mean in ticks, standard deviation over mean."""
    loss_ratio: float
    """Share of the attempts that is lost."""
    mean_list_delay: Ticks
    """Mean time until an instance learns of a changed endpoint."""
    mean_release_update_delay: Ticks
    """Mean time until an instance learns of a release update."""
    min_stage_duration: Ticks
    """How long a stage lasts at least."""
    mean_boot_time: Ticks
    """Mean time until a new server is up."""
    warmup_duration: Ticks
    """How long a server warms up."""
    warmup_initial_fraction: float
    """Share of its capacity at its start."""
    offers: tuple[Offer, ...]
    faults: tuple[Fault, ...]
    settings: Settings
    """What the instances read at start."""
    votes_to_promote: int = 0
    """Votes that promote a build; 0: half of the instances."""
    stage_caps: tuple[float, ...] = (0.08, 0.2, 0.5, 1.0, 1.0)
    """Share of the requests that may go to the build on trial, by stage."""
    list_calls_per_second: float = 0.0
    """Calls a second that discovery answers; 0: it pushes lists."""
    max_connections_per_pod: int = 0
    """That a server holds at most; 0: as many as come."""
    counts_interval: Ticks = 0
    """How often the platform tells what it counted; 0: never."""
    counted_ratio: float = 0.1
    """Of the attempts that ended, which it counts."""
    counts_delay: Ticks = 5_700
    """From the end of a period until its counts are told."""
    stage_waits_for_machines: bool = True
    """Whether a stage's clock starts when its machines run, else with the stage."""
    boot_time_spread: float = 0.3
    """How far boot times differ from their mean, as a share of it."""
    drain_delay: Ticks = 0
    """From a release until the earlier machines drain."""
    drain_duration: Ticks = 4 * TICKS_PER_SECOND
    """From the begin of a drain until the machine is gone."""
    list_batch_interval: Ticks = 0
    """Changes of the list are told together, at most so often; 0: each by itself."""
    mean_handshake_work: int = 0
    """Mean work of a new connection, which costs two round trips besides; 0: it costs none."""


# The classes of small fleets.
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
# Fraction of the machines that runs the build on trial, by stage.
STAGE_FRACTIONS = (0.04, 0.1, 0.25, 0.55, 1.0)
# Jobs that wait at a server at most.
QUEUE_LIMIT = 64
# Share of its capacity that a server has at its start.
WARMUP_INITIAL_FRACTION = 0.31
CORES_PER_POD = 2
# What a small fleet's platform takes of votes, per second.
VOTES_PER_SECOND = 150.0
# One instance in so many is enough to roll a build back.
INSTANCES_PER_REVERT_VOTE = 20
# What a day's faults are drawn from. The order decides what a seed gives.
DRAWN_FAULT_KINDS = (
    FaultKind.SLOW_PODS,
    FaultKind.ERRORS,
    FaultKind.CONNECTION_LOSS,
    FaultKind.LATE_LISTS,
    FaultKind.LATE_RELEASE_UPDATES,
    FaultKind.RESTARTS,
    FaultKind.BURST,
)
# Places, or instances, that a fault strikes: one in so many.
TARGET_DIVISOR = 5


class Defect(StrEnum):
    """How a bad build of a small fleet is bad."""

    ERRORS = "errors"
    SLOW = "slow"
    DELAYED_ERRORS = "errors after a while"
    ERRORS_UNDER_LOAD = "errors where busy"


# The order decides what a seed gives.
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
    """What the instances of a simulated fleet read at start.

    Args:
        traffic: the request classes.
        instances: how many sidecars there are.
        warmup_duration: how long a server warms up.
        warmup_initial_fraction: share of its capacity at its start.
        votes_to_revert: votes that roll a build back; one at least.
        votes_per_second: what the platform takes from all instances together.
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
        seed: what the day is drawn from.
        instances: how many sidecars there are.
        pods: how many servers.
        rate: requests a second, of all instances.
        seconds: how long the day lasts.
        load: share of what all servers can do, by which their speed is set.
        fault_count: how many faults there are.
        offer_count: how many builds are offered.
        traffic: the request classes.
    """
    generator = np.random.Generator(np.random.PCG64(seed))
    duration = seconds * TICKS_PER_SECOND
    warmup_duration = int(generator.uniform(3, 6) * TICKS_PER_SECOND)
    mean_work = sum(entry.share * entry.mean_work for entry in traffic) / TICKS_PER_SECOND
    mean_speed = rate * mean_work / (load * pods * CORES_PER_POD)
    # Few requests a server at a given load mean long ones: what clients bear grows with them.
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
    """The same classes with their latency objectives and limits longer by this factor."""
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
    """A build that is offered at this second, good or bad with equal chance."""
    is_good = bool(generator.random() < 0.5)
    # It is drawn for a good build too.
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
    """A fault of this kind. What any kind needs is drawn for each, in this order."""
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
    """One in TARGET_DIVISOR of so many, one at least, by number."""
    target_count = max(1, count // TARGET_DIVISOR)
    return tuple(int(number) for number in generator.choice(count, target_count, replace=False))
