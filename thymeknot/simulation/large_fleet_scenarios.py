"""Scenarios of a large fleet, with faults that affect many instances at once.

Hundreds of instances receive a few requests per second each. As in `scenarios`, the parameters of a
day are drawn from ranges with a seeded generator; the order of the draws determines which day a
seed gives. Times are in ticks (tenths of a millisecond).
"""

import math
from typing import NamedTuple

import numpy as np
from numpy.random import Generator

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import DeduplicationScope, Idempotency
from ..interface.settings import RequestClass, Settings
from .scenarios import ClassTraffic, Day, Fault, FaultKind, Offer, make_settings

STANDARD_KINDS = ("calm", "roll", "herd", "zone", "split", "join", "overload")
# By default 40 instances and 60 servers, with three stages, two builds and an additional fault. On
# herd-vast days instances poll endpoint lists from a discovery that answers few calls.
VAST_KINDS = ("herd-vast", "zone-vast", "join-vast")
# By default 216 instances and 108 servers. The clock of a stage starts with the stage, and the
# platform sends counts of attempts.
MASS_KINDS = ("calm-mass", "roll-mass", "zone-mass", "join-mass")
# Added to the index of a kind, so that no two kinds draw the same day from a seed.
VAST_SEED_OFFSET = 100
MASS_SEED_OFFSET = 200
# Kinds from which the additional fault of a vast day is drawn. The order determines which day a
# seed gives.
ADDITIONAL_FAULT_KINDS = (
    FaultKind.SLOW_ALL,
    FaultKind.BURST,
    FaultKind.PLATFORM_CALL_FAILURES,
    FaultKind.LATE_LISTS,
    FaultKind.CONNECTION_LOSS,
    FaultKind.SLOW_PODS,
)
LARGE_FLEET_TRAFFIC = (
    ClassTraffic(
        RequestClass(
            name="fetch",
            idempotency=Idempotency.IDEMPOTENT,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window=5 * TICKS_PER_SECOND,
            latency_objective=8_000,
            outer_limit=20_000,
            priority_weight=1.0,
            late_priority_weight=0.0,
        ),
        share=0.55,
        mean_work=1_200,
        work_variation=0.8,
    ),
    ClassTraffic(
        RequestClass(
            name="sync",
            idempotency=Idempotency.IDEMPOTENT,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window=5 * TICKS_PER_SECOND,
            latency_objective=25_000,
            outer_limit=75_000,
            priority_weight=1.0,
            late_priority_weight=0.2,
        ),
        share=0.22,
        mean_work=2_900,
        work_variation=0.8,
    ),
    ClassTraffic(
        RequestClass(
            name="buy",
            idempotency=Idempotency.KEYED,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window=5 * TICKS_PER_SECOND,
            latency_objective=8_000,
            outer_limit=25_000,
            priority_weight=5.0,
            late_priority_weight=0.0,
        ),
        share=0.12,
        mean_work=1_200,
        work_variation=0.7,
    ),
    ClassTraffic(
        RequestClass(
            name="pay",
            idempotency=Idempotency.NON_IDEMPOTENT,
            deduplication_scope=DeduplicationScope.ALL,
            deduplication_window=5 * TICKS_PER_SECOND,
            latency_objective=15_000,
            outer_limit=40_000,
            priority_weight=5.0,
            late_priority_weight=0.0,
        ),
        share=0.11,
        mean_work=2_900,
        work_variation=0.8,
    ),
)
# Latency objective and outer limit of each request class on mass days.
MASS_LATENCY_LIMITS = {
    "fetch": (8_300, 21_000),
    "sync": (26_000, 78_000),
    "buy": (8_300, 26_000),
    "pay": (15_500, 41_000),
}
# Ratio of the instances whose votes promote a build.
VOTES_TO_PROMOTE_RATIO = 0.6
# Ratio of the instances whose votes roll a build back.
VOTES_TO_REVERT_RATIO = 0.25
ZONES = ("a", "b", "c")
CORES_PER_POD = 2
# Maximum number of queued jobs per server.
QUEUE_LIMIT = 32
KEYS = 12_000
# Exponent of the Zipf distribution of the keys' popularity.
ZIPF_EXPONENT = 0.75
TENANTS = 4
# One-way delay: mean in ticks, and standard deviation divided by the mean.
NETWORK_DELAY = (12, 0.5)
# Ratio of attempts that are lost without any fault.
LOSS_RATIO = 0.0005
# Ratio of its full capacity that a server has at its start.
WARMUP_INITIAL_FRACTION = 0.35
# The lower bound of that ratio on mass days, on which it is drawn.
MASS_WARMUP_INITIAL_FRACTION = 0.31
# By stage of vast and mass days: the fraction of the machines that run the build on trial, and the
# maximum ratio of requests that may go to it.
THREE_STAGE_FRACTIONS = (0.08, 0.25, 1.0)
THREE_STAGE_CAPS = (0.16, 0.5, 1.0)
# Number of groups of instances in a rolling restart.
RESTART_GROUPS = 10
# Seconds at which builds are offered on a mass day that lasts MASS_DAY_SECONDS.
MASS_OFFER_SECONDS = (4.75, 23.75)
MASS_DAY_SECONDS = 46


class TimeWindow(NamedTuple):
    """A time window of a day."""

    begin: Ticks
    end: Ticks


class DrawnDay(NamedTuple):
    """A day and the window in which its faults are worst."""

    day: Day
    worst_window: TimeWindow


class FaultPlan(NamedTuple):
    """The faults of a day and the begin and end of the window in which they are worst."""

    faults: tuple[Fault, ...]
    begin: Ticks
    end: Ticks


class FaultSampler(NamedTuple):
    """Draws the parameters of a day's faults."""

    generator: Generator
    instances: int
    pods: int
    duration: Ticks
    """Duration of the day."""

    def sample(self, count: int, ratio: float) -> tuple[int, ...]:
        """Draws this ratio of `count` numbers, starting at 0; at least one is drawn."""
        sample_size = max(1, round(count * ratio))
        return tuple(
            int(number) for number in self.generator.choice(count, sample_size, replace=False)
        )

    def uniform(self, low: float, high: float) -> float:
        """Draws a number between `low` and `high`."""
        return float(self.generator.uniform(low, high))

    def uniform_ticks(self, low: float, high: float) -> float:
        """Draws a duration in ticks between `low` and `high` seconds."""
        return self.uniform(low, high) * TICKS_PER_SECOND

    def uniform_whole_ticks(self, low: float, high: float) -> Ticks:
        """Draws a duration in whole ticks between `low` and `high` seconds."""
        return int(self.generator.uniform(low, high) * TICKS_PER_SECOND)


def _settings(
    instances: int,
    warmup_duration: Ticks,
    warmup_initial_fraction: float,
    votes_per_second: float,
    traffic: tuple[ClassTraffic, ...] = LARGE_FLEET_TRAFFIC,
) -> Settings:
    """Returns the settings that the instances of a large fleet read at start."""
    return make_settings(
        traffic,
        instances,
        warmup_duration=warmup_duration,
        warmup_initial_fraction=warmup_initial_fraction,
        votes_to_revert=math.ceil(VOTES_TO_REVERT_RATIO * instances),
        votes_per_second=votes_per_second,
    )


def _rolling_restarts(sampler: FaultSampler, begin: Ticks, interval: Ticks) -> tuple[Fault, ...]:
    """Plans a rolling restart: one tenth of the instances is restarted at each interval."""
    order = [int(number) for number in sampler.generator.permutation(sampler.instances)]
    group_size = math.ceil(sampler.instances / RESTART_GROUPS)
    return tuple(
        Fault(
            FaultKind.RESTARTS,
            begin + group * interval,
            begin + group * interval + 1,
            tuple(order[group * group_size : (group + 1) * group_size]),
            sampler.uniform_ticks(0.3, 1.0),
        )
        for group in range(RESTART_GROUPS)
    )


def _slow_or_failing_pods(sampler: FaultSampler) -> Fault:
    """Draws a fault by which one eighth of the servers is slow, or fails requests, all day."""
    is_slow = sampler.generator.random() < 0.5
    kind = FaultKind.SLOW_PODS if is_slow else FaultKind.ERRORS
    places = sampler.sample(sampler.pods, 1 / 8)
    magnitude = sampler.uniform(1.5, 3) if is_slow else sampler.uniform(0.3, 0.7)
    return Fault(kind, 0, sampler.duration, places, magnitude)


def _standard_faults(kind: str, sampler: FaultSampler) -> FaultPlan:
    """Plans the faults of a day of one of the STANDARD_KINDS.

    Calm and overload days have a burst of requests. On roll days all instances restart group by
    group, on herd days 70% of them at once. Zone days lose a zone, split days make part of the
    servers unreachable, and join days have pauses of many servers and lost responses.
    """
    duration = sampler.duration
    begin = int(sampler.generator.uniform(0.25, 0.35) * duration)
    end = begin + 6 * TICKS_PER_SECOND
    # Drawn for every kind, even if unused, so that all kinds make the same draws up to here.
    paused = sampler.sample(sampler.pods, 0.3)
    pauses = Fault(FaultKind.PAUSES, begin // 2, duration, paused, sampler.uniform_ticks(0.5, 1.2))
    failing = sampler.sample(sampler.pods, 1 / 8)
    errors = Fault(FaultKind.ERRORS, 0, duration, failing, sampler.uniform(0.3, 0.7))
    zone = int(sampler.generator.integers(0, 3))
    if kind in ("calm", "overload"):
        rate_factor = 1.5
        if kind == "overload":
            rate_factor = 2.6
            end += 4 * TICKS_PER_SECOND
        return FaultPlan((Fault(FaultKind.BURST, begin, end, (), rate_factor),), begin, end)
    if kind == "roll":
        interval = (duration - begin) // 14
        restarts = _rolling_restarts(sampler, begin, interval)
        return FaultPlan((pauses, *restarts), begin, begin + RESTART_GROUPS * interval)
    if kind == "herd":
        restarted = sampler.sample(sampler.instances, 0.7)
        mass_restart = Fault(
            FaultKind.RESTARTS, begin, begin + 1, restarted, sampler.uniform_ticks(0.5, 1.5)
        )
        return FaultPlan((pauses, errors, mass_restart), begin, begin + 2 * TICKS_PER_SECOND)
    if kind == "zone":
        return _zone_faults(sampler, zone, begin, end, errors)
    if kind == "split":
        return _split_faults(sampler, zone, begin, end)
    more_pauses = pauses._replace(targets=sampler.sample(sampler.pods, 1 / 3))
    lost_responses = Fault(FaultKind.LOST_RESPONSES, 0, duration, (), sampler.uniform(0.005, 0.02))
    return FaultPlan((more_pauses, lost_responses), begin, duration)


def _zone_faults(
    sampler: FaultSampler, zone: int, begin: Ticks, end: Ticks, errors: Fault
) -> FaultPlan:
    """Plans the loss of a zone and, later, a partition of another one."""
    partition_begin = min(sampler.duration - 6 * TICKS_PER_SECOND, end + 4 * TICKS_PER_SECOND)
    places = sampler.sample(sampler.pods, 1 / 8)
    slow_pods = Fault(FaultKind.SLOW_PODS, 0, sampler.duration, places, sampler.uniform(1.5, 3))
    other_fault = slow_pods if sampler.generator.random() < 0.5 else errors
    zone_loss = Fault(FaultKind.ZONE_LOSS, begin, begin + 5 * TICKS_PER_SECOND, (zone,), 0.0)
    partition_end = partition_begin + 4 * TICKS_PER_SECOND
    partition = Fault(
        FaultKind.ZONE_PARTITION, partition_begin, partition_end, ((zone + 1) % 3,), 0.0
    )
    return FaultPlan((zone_loss, other_fault, partition), begin, partition_end)


def _split_faults(sampler: FaultSampler, zone: int, begin: Ticks, end: Ticks) -> FaultPlan:
    """Plans a partition of a zone, or unresponsive servers, together with late endpoint lists."""
    if sampler.generator.random() < 0.5:
        unreachable = Fault(FaultKind.ZONE_PARTITION, begin, end, (zone,), 0.0)
    else:
        unreachable = Fault(
            FaultKind.SILENT_PODS, begin, end, sampler.sample(sampler.pods, 1 / 5), 0.0
        )
    late_lists = Fault(FaultKind.LATE_LISTS, begin, end, (), sampler.uniform_ticks(1, 3))
    lost_responses = Fault(
        FaultKind.LOST_RESPONSES, begin // 2, sampler.duration, (), sampler.uniform(0.005, 0.03)
    )
    return FaultPlan((unreachable, late_lists, lost_responses), begin, end)


def _additional_fault(sampler: FaultSampler) -> Fault:
    """Draws the additional fault of a vast day.

    The magnitudes of all kinds are drawn, so that the number of draws does not depend on the kind.
    """
    kind = FaultKind(str(sampler.generator.choice(ADDITIONAL_FAULT_KINDS)))
    begin = int(sampler.generator.uniform(0.15, 0.6) * sampler.duration)
    magnitudes = {
        FaultKind.SLOW_ALL: sampler.uniform(1.3, 2.5),
        FaultKind.BURST: sampler.uniform(1.2, 1.6),
        FaultKind.PLATFORM_CALL_FAILURES: 0.0,
        FaultKind.SLOW_PODS: sampler.uniform(1.3, 2),
        FaultKind.LATE_LISTS: sampler.uniform_ticks(1, 3),
        FaultKind.CONNECTION_LOSS: sampler.uniform(0.02, 0.08),
    }
    end = begin + sampler.uniform_whole_ticks(4, 10)
    return Fault(kind, begin, end, sampler.sample(sampler.pods, 0.3), magnitudes[kind])


def _vast_faults(kind: str, sampler: FaultSampler) -> FaultPlan:
    """Plans the faults of a day of one of the VAST_KINDS."""
    begin = int(sampler.generator.uniform(0.3, 0.5) * sampler.duration)
    faulty_pods = _slow_or_failing_pods(sampler)
    paused = sampler.sample(sampler.pods, 0.4 if kind == "join-vast" else 0.3)
    pauses = Fault(
        FaultKind.PAUSES, begin // 2, sampler.duration, paused, sampler.uniform_ticks(0.3, 0.9)
    )
    additional_fault = _additional_fault(sampler)
    if kind == "herd-vast":
        restarted = sampler.sample(sampler.instances, 0.7)
        restarts = Fault(
            FaultKind.RESTARTS, begin, begin + 1, restarted, sampler.uniform_ticks(0.3, 1)
        )
        return FaultPlan((pauses, restarts, additional_fault), begin, begin + 5 * TICKS_PER_SECOND)
    if kind == "zone-vast":
        zone = int(sampler.generator.integers(0, 3))
        end = begin + sampler.uniform_whole_ticks(4, 7)
        zone_instances = tuple(
            instance for instance in range(sampler.instances) if instance % 3 == zone
        )
        zone_loss = Fault(FaultKind.ZONE_LOSS, begin, end, (zone,), 0.0)
        restarts = Fault(FaultKind.RESTARTS, begin, begin + 1, zone_instances, float(end - begin))
        return FaultPlan((faulty_pods, additional_fault, zone_loss, restarts), begin, end)
    return FaultPlan((pauses, faulty_pods, additional_fault), begin, sampler.duration)


def _mass_faults(kind: str, sampler: FaultSampler) -> FaultPlan:
    """Plans the faults of a day of one of the MASS_KINDS."""
    duration = sampler.duration
    begin = int(sampler.generator.uniform(0.2, 0.6) * duration)
    pause_duration = sampler.uniform_ticks(0.3, 0.9)
    paused = sampler.sample(sampler.pods, 1 / 3 if kind == "join-mass" else 0.3)
    pauses = Fault(FaultKind.PAUSES, duration // 8, duration, paused, pause_duration)
    if kind == "calm-mass":
        end = begin + sampler.uniform_whole_ticks(5, 6)
        return FaultPlan((Fault(FaultKind.BURST, begin, end, (), 1.5),), begin, end)
    if kind == "roll-mass":
        begin = int(sampler.generator.uniform(0.15, 0.4) * duration)
        interval = duration // 22
        restarts = _rolling_restarts(sampler, begin, interval)
        return FaultPlan((pauses, *restarts), begin, begin + RESTART_GROUPS * interval)
    if kind == "zone-mass":
        faulty_pods = _slow_or_failing_pods(sampler)
        zone = int(sampler.generator.integers(0, 3))
        end = begin + 5 * TICKS_PER_SECOND
        return FaultPlan(
            (faulty_pods, Fault(FaultKind.ZONE_LOSS, begin, end, (zone,), 0.0)), begin, end
        )
    lost_responses = Fault(FaultKind.LOST_RESPONSES, 0, duration, (), sampler.uniform(0.005, 0.02))
    return FaultPlan((pauses, lost_responses), duration // 8, duration)


def _draw_speeds(generator: Generator, pods: int) -> tuple[float, ...]:
    return tuple(float(speed) for speed in generator.uniform(0.85, 1.1, pods))


def _mean_work(traffic: tuple[ClassTraffic, ...]) -> float:
    """Returns the mean work of a request, in seconds on one core of speed 1."""
    return sum(entry.share * entry.mean_work for entry in traffic) / TICKS_PER_SECOND


def _vast_traffic(generator: Generator) -> tuple[ClassTraffic, ...]:
    """Draws the traffic of a vast day.

    The mean work is halved, and latency objectives and outer limits are small multiples of it: a
    response that takes half as long again is late.
    """
    return tuple(
        entry._replace(
            mean_work=entry.mean_work / 2,
            request_class=entry.request_class._replace(
                latency_objective=int(entry.mean_work / 2 * float(generator.uniform(5, 9))),
                outer_limit=int(entry.mean_work * 10),
            ),
        )
        for entry in LARGE_FLEET_TRAFFIC
    )


def _draw_vast_offer(generator: Generator, index: int, seconds: int, good: bool | None) -> Offer:
    """Draws a build that is offered on a vast day.

    The defects of a bad build are: errors (0), slow (1), slows down all servers (2), errors under
    load (3), and slow with errors after a delay (4).
    """
    is_good = bool(generator.random() < 0.5) if good is None else good
    defect = int(generator.integers(0, 5))
    failure_ratio = float(generator.uniform(0.1, 0.5))
    slowdown = float(generator.uniform(2, 3.5))
    shared_slowdown = float(generator.uniform(1.5, 3.5))
    fault_delay = (
        int(generator.uniform(2.5, 6) * TICKS_PER_SECOND) if defect == 4 and not is_good else 0
    )
    return Offer(
        at=int((generator.uniform(3, 5) + index * seconds * 0.45) * TICKS_PER_SECOND),
        build=2 + index,
        good=is_good,
        failure_ratio=failure_ratio if not is_good and defect in (0, 3, 4) else 0.0,
        slowdown=slowdown
        if not is_good and defect in (1, 4)
        else float(generator.uniform(0.92, 1.1)),
        fault_delay=fault_delay,
        fault_load=0.3 if not is_good and defect == 3 else 0.0,
        shared_slowdown=shared_slowdown if not is_good and defect == 2 else 0.0,
    )


def draw_vast_day(
    seed: int,
    kind: str = "herd-vast",
    instances: int = 40,
    pods: int = 60,
    seconds: int = 44,
    *,
    load: float = 0.55,
    good: bool | None = None,
) -> DrawnDay:
    """Draws a day of one of the VAST_KINDS; the arguments are those of `draw_standard_day`."""
    generator = np.random.Generator(
        np.random.PCG64([seed, VAST_SEED_OFFSET + VAST_KINDS.index(kind)])
    )
    duration = seconds * TICKS_PER_SECOND
    warmup_duration = int(generator.uniform(1.9, 4) * TICKS_PER_SECOND)
    speeds = _draw_speeds(generator, pods)
    mean_work = (
        sum(entry.share * entry.mean_work / 2 for entry in LARGE_FLEET_TRAFFIC) / TICKS_PER_SECOND
    )
    rate = load * float(generator.uniform(0.85, 1.1)) * sum(speeds) * CORES_PER_POD / mean_work
    instance_weights = generator.lognormal(0, 0.6, instances)
    votes_per_second = instances * float(generator.uniform(0.3, 0.6))
    boot_time = int(generator.uniform(1.3, 2.0) * TICKS_PER_SECOND)
    traffic = _vast_traffic(generator)
    offers = tuple(_draw_vast_offer(generator, index, seconds, good) for index in range(2))
    fault_plan = _vast_faults(kind, FaultSampler(generator, instances, pods, duration))
    lists_polled = kind == "herd-vast"
    day = Day(
        seed=seed,
        duration=duration,
        instances=instances,
        pods=pods,
        zones=ZONES,
        cores=CORES_PER_POD,
        speeds=speeds,
        queue_limit=QUEUE_LIMIT,
        request_rate=rate,
        instance_shares=tuple(
            float(weight) for weight in instance_weights / instance_weights.sum()
        ),
        traffic=traffic,
        keys=KEYS,
        zipf_exponent=ZIPF_EXPONENT,
        tenants=TENANTS,
        client_retries=1,
        retry_after_compliance=0.6,
        network_delay=NETWORK_DELAY,
        loss_ratio=LOSS_RATIO,
        mean_list_delay=2_500,
        mean_release_update_delay=4_000,
        min_stage_duration=int(0.8 * TICKS_PER_SECOND),
        mean_boot_time=boot_time,
        warmup_duration=warmup_duration,
        warmup_initial_fraction=WARMUP_INITIAL_FRACTION,
        offers=offers,
        faults=fault_plan.faults,
        settings=_settings(
            instances, warmup_duration, WARMUP_INITIAL_FRACTION, votes_per_second, traffic
        )._replace(
            stage_fractions=THREE_STAGE_FRACTIONS, guarded_stages=1, lists_polled=lists_polled
        ),
        votes_to_promote=math.ceil(VOTES_TO_PROMOTE_RATIO * instances),
        stage_caps=THREE_STAGE_CAPS,
        list_calls_per_second=float(generator.uniform(0.15, 0.3)) * instances
        if lists_polled
        else 0.0,
        max_connections_per_pod=int(instances * generator.uniform(1.3, 2.5)),
    )
    return DrawnDay(day, TimeWindow(fault_plan.begin, fault_plan.end))


def _mass_traffic() -> tuple[ClassTraffic, ...]:
    traffic = []
    for entry in LARGE_FLEET_TRAFFIC:
        objective, limit = MASS_LATENCY_LIMITS[entry.request_class.name]
        request_class = entry.request_class._replace(latency_objective=objective, outer_limit=limit)
        traffic.append(entry._replace(request_class=request_class))
    return tuple(traffic)


def _draw_mass_offer(generator: Generator, build: int, at: Ticks, good: bool | None) -> Offer:
    """Draws a build that is offered on a mass day.

    The defects of a bad build are those of `_draw_vast_offer`.
    """
    is_good = bool(generator.random() < 0.5) if good is None else good
    defect = int(generator.integers(0, 5))
    failure_ratio = float(generator.uniform(0.1, 0.5))
    slowdown = float(generator.uniform(2, 3.5))
    shared_slowdown = float(generator.uniform(1.5, 3.5))
    fault_delay = int(generator.uniform(2.5, 6) * TICKS_PER_SECOND)
    normal_slowdown = float(generator.uniform(0.92, 1.1))
    offer = Offer(
        at=at,
        build=build,
        good=is_good,
        failure_ratio=0.0,
        slowdown=normal_slowdown,
        fault_delay=0,
        fault_load=0.0,
    )
    if is_good:
        return offer
    return (
        offer._replace(failure_ratio=failure_ratio),
        offer._replace(slowdown=slowdown),
        offer._replace(shared_slowdown=shared_slowdown),
        offer._replace(failure_ratio=failure_ratio, fault_load=0.6),
        offer._replace(failure_ratio=failure_ratio, slowdown=slowdown, fault_delay=fault_delay),
    )[defect]


def draw_mass_day(
    seed: int,
    kind: str = "calm-mass",
    instances: int = 216,
    pods: int = 108,
    seconds: int = MASS_DAY_SECONDS,
    *,
    load: float = 0.58,
    good: bool | None = None,
) -> DrawnDay:
    """Draws a day of one of the MASS_KINDS; the arguments are those of `draw_standard_day`."""
    generator = np.random.Generator(
        np.random.PCG64([seed, MASS_SEED_OFFSET + MASS_KINDS.index(kind)])
    )
    duration = seconds * TICKS_PER_SECOND
    warmup_duration = int(generator.uniform(1.9, 4.8) * TICKS_PER_SECOND)
    warmup_initial_fraction = float(generator.uniform(0.31, 0.57))
    speeds = _draw_speeds(generator, pods)
    traffic = _mass_traffic()
    mean_work = _mean_work(traffic)
    rate = load * float(generator.uniform(0.95, 1.05)) * sum(speeds) * CORES_PER_POD / mean_work
    instance_weights = generator.lognormal(0, 0.9, instances)
    offers = tuple(
        _draw_mass_offer(
            generator,
            2 + index,
            int(offer_second * seconds / MASS_DAY_SECONDS * TICKS_PER_SECOND),
            good,
        )
        for index, offer_second in enumerate(MASS_OFFER_SECONDS)
    )
    fault_plan = _mass_faults(kind, FaultSampler(generator, instances, pods, duration))
    # The settings hold the lower bound of the initial fraction, not the one that the servers have.
    settings = _settings(
        instances, warmup_duration, MASS_WARMUP_INITIAL_FRACTION, instances * 0.25, traffic
    )
    day = Day(
        seed=seed,
        duration=duration,
        instances=instances,
        pods=pods,
        zones=ZONES,
        cores=CORES_PER_POD,
        speeds=speeds,
        queue_limit=QUEUE_LIMIT,
        request_rate=rate,
        instance_shares=tuple(
            float(weight) for weight in instance_weights / instance_weights.sum()
        ),
        traffic=traffic,
        keys=KEYS,
        zipf_exponent=ZIPF_EXPONENT,
        tenants=TENANTS,
        client_retries=int(generator.integers(0, 2)),
        retry_after_compliance=0.6,
        network_delay=NETWORK_DELAY,
        loss_ratio=LOSS_RATIO,
        mean_list_delay=4_000,
        mean_release_update_delay=3_000,
        min_stage_duration=int(3.25 * TICKS_PER_SECOND),
        mean_boot_time=int(1.45 * TICKS_PER_SECOND),
        warmup_duration=warmup_duration,
        warmup_initial_fraction=warmup_initial_fraction,
        offers=offers,
        faults=fault_plan.faults,
        settings=settings._replace(stage_fractions=THREE_STAGE_FRACTIONS, guarded_stages=1),
        votes_to_promote=math.ceil(VOTES_TO_PROMOTE_RATIO * instances),
        stage_caps=THREE_STAGE_CAPS,
        counts_interval=2 * TICKS_PER_SECOND,
        stage_waits_for_machines=False,
        boot_time_spread=0.17,
        drain_delay=6_700,
        drain_duration=7 * TICKS_PER_SECOND,
        list_batch_interval=TICKS_PER_SECOND // 10,
        mean_handshake_work=int(generator.uniform(5, 16)),
    )
    return DrawnDay(day, TimeWindow(fault_plan.begin, fault_plan.end))


def draw_day(seed: int, kind: str, **arguments: int | float | bool | None) -> DrawnDay:
    """Draws a day of any kind; `arguments` are passed on as those of `draw_standard_day`."""
    draw = (
        draw_vast_day
        if kind in VAST_KINDS
        else draw_mass_day
        if kind in MASS_KINDS
        else draw_standard_day
    )
    return draw(seed, kind, **arguments)  # type: ignore[arg-type]  # options of a command, by name


def _draw_standard_offer(generator: Generator, good: bool | None) -> Offer:
    """Draws the build that is offered on a day of one of the STANDARD_KINDS.

    The defects of a bad build are: errors (0), slow (1), errors after a delay (2), and errors under
    load (3).
    """
    is_good = bool(generator.random() < 0.5) if good is None else good
    defect = int(generator.integers(0, 4))
    failure_ratio = float(generator.uniform(0.1, 0.6))
    slowdown = float(generator.uniform(2, 4))
    return Offer(
        at=int(generator.uniform(3, 6) * TICKS_PER_SECOND),
        build=2,
        good=is_good,
        failure_ratio=0.0 if is_good or defect == 1 else failure_ratio,
        slowdown=float(generator.uniform(0.92, 1.1)) if is_good or defect != 1 else slowdown,
        fault_delay=2 * TICKS_PER_SECOND if defect == 2 and not is_good else 0,
        fault_load=0.4 if defect == 3 and not is_good else 0.0,
    )


def draw_standard_day(
    seed: int,
    kind: str = "herd",
    instances: int = 200,
    pods: int = 100,
    seconds: int = 40,
    *,
    load: float = 0.5,
    good: bool | None = None,
) -> DrawnDay:
    """Draws a day of one of the STANDARD_KINDS.

    Args:
        seed: Seed of the random numbers.
        kind: Kind of the day.
        instances: Number of sidecars.
        pods: Number of servers.
        seconds: Duration of the day.
        load: Utilization of all servers together; it determines the request rate.
        good: Whether the offered builds are good; None draws it for each.
    """
    generator = np.random.Generator(np.random.PCG64([seed, STANDARD_KINDS.index(kind)]))
    duration = seconds * TICKS_PER_SECOND
    warmup_duration = int(generator.uniform(2, 4.8) * TICKS_PER_SECOND)
    speeds = _draw_speeds(generator, pods)
    rate = (
        load
        * float(generator.uniform(0.85, 1.1))
        * sum(speeds)
        * CORES_PER_POD
        / _mean_work(LARGE_FLEET_TRAFFIC)
    )
    instance_weights = generator.lognormal(0, 0.9, instances)
    offer = _draw_standard_offer(generator, good)
    fault_plan = _standard_faults(kind, FaultSampler(generator, instances, pods, duration))
    # On join days clients are impatient: they retry more often and rarely observe retry-after.
    is_patient = kind != "join"
    votes_per_second = instances * float(generator.uniform(0.2, 0.75))
    boot_time = int(generator.uniform(1.3, 2.0) * TICKS_PER_SECOND)
    day = Day(
        seed=seed,
        duration=duration,
        instances=instances,
        pods=pods,
        zones=ZONES,
        cores=CORES_PER_POD,
        speeds=speeds,
        queue_limit=QUEUE_LIMIT,
        request_rate=rate,
        instance_shares=tuple(
            float(weight) for weight in instance_weights / instance_weights.sum()
        ),
        traffic=LARGE_FLEET_TRAFFIC,
        keys=KEYS,
        zipf_exponent=ZIPF_EXPONENT,
        tenants=TENANTS,
        client_retries=1 if is_patient else 3,
        retry_after_compliance=0.7 if is_patient else 0.3,
        network_delay=NETWORK_DELAY,
        loss_ratio=LOSS_RATIO,
        mean_list_delay=5_000,
        mean_release_update_delay=4_000,
        min_stage_duration=TICKS_PER_SECOND,
        mean_boot_time=boot_time,
        warmup_duration=warmup_duration,
        warmup_initial_fraction=WARMUP_INITIAL_FRACTION,
        offers=(offer,),
        faults=fault_plan.faults,
        settings=_settings(instances, warmup_duration, WARMUP_INITIAL_FRACTION, votes_per_second),
        votes_to_promote=math.ceil(VOTES_TO_PROMOTE_RATIO * instances),
    )
    return DrawnDay(day, TimeWindow(fault_plan.begin, fault_plan.end))
