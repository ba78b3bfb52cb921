"""Days of a large fleet, and what then goes wrong for many instances at once.

Hundreds of instances see a few requests a second each. Days are drawn from ranges by a seed, as
`scenarios` draws those of small fleets; the order of the draws decides what a seed gives. Times are
ticks (tenths of a millisecond).
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
# Some forty instances by sixty servers, three stages, two builds, another fault beside each day's.
# Lists are polled on the first, of a discovery that takes few calls.
VAST_KINDS = ("herd-vast", "zone-vast", "join-vast")
# Some two hundred instances by a hundred servers: stages pass by the platform's clock, and it tells
# what it counted.
MASS_KINDS = ("calm-mass", "roll-mass", "zone-mass", "join-mass")
# Added to the number of a kind, so that no two kinds draw the same day of a seed.
VAST_SEED_OFFSET = 100
MASS_SEED_OFFSET = 200
# The other fault of a vast day. The order decides what a seed gives.
BESIDE = (
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
# Latency objective and outer limit of the classes on mass days.
MASS_GOALS = {
    "fetch": (8_300, 21_000),
    "sync": (26_000, 78_000),
    "buy": (8_300, 26_000),
    "pay": (15_500, 41_000),
}
# Of the instances: votes that promote a build.
ADVANCE = 0.6
# Of the instances: votes that roll a build back.
REVERT = 0.25
ZONES = ("a", "b", "c")
CORES = 2
# Jobs that wait at a server at most.
QUEUE_LIMIT = 32
KEYS = 12_000
# Exponent of the popularity of keys.
ZIPF = 0.75
TENANTS = 4
# Of the network, one way: mean in ticks, standard deviation over mean.
DELAY = (12, 0.5)
# Share of the attempts that is lost.
LOSS = 0.0005
# Share of its capacity that a server has at its start; on mass days the least that it may have.
WARMUP_INITIAL_FRACTION = 0.35
MASS_WARMUP_INITIAL_FRACTION = 0.31
# Of vast and mass days: the machines by stage, and the share of the requests.
THREE_STAGES = (0.08, 0.25, 1.0)
THREE_CAPS = (0.16, 0.5, 1.0)
# Groups of instances that restart one after the other.
ROLLING_GROUPS = 10
# Seconds at which builds are offered on a mass day of MASS_SECONDS.
MASS_OFFERS = (4.75, 23.75)
MASS_SECONDS = 46


class Window(NamedTuple):
    """The worst time of a day."""

    begin: Ticks
    end: Ticks


class DrawnDay(NamedTuple):
    """A day and when the worst of it is."""

    day: Day
    worst: Window


class Trouble(NamedTuple):
    """The faults of a day, and when the worst of them is."""

    faults: tuple[Fault, ...]
    begin: Ticks
    end: Ticks


class Draws(NamedTuple):
    """What the faults of a day are drawn from and for."""

    chance: Generator
    instances: int
    pods: int
    span: Ticks
    """Of the day."""

    def part(self, count: int, share: float) -> tuple[int, ...]:
        """This share of so many, one at least, by number."""
        size = max(1, round(count * share))
        return tuple(int(one) for one in self.chance.choice(count, size, replace=False))

    def between(self, low: float, high: float) -> float:
        """A number between these."""
        return float(self.chance.uniform(low, high))

    def ticks(self, low: float, high: float) -> float:
        """A duration between these, given in seconds."""
        return self.between(low, high) * TICKS_PER_SECOND

    def whole_ticks(self, low: float, high: float) -> Ticks:
        """The same in whole ticks."""
        return int(self.chance.uniform(low, high) * TICKS_PER_SECOND)


def _settings(
    instances: int,
    cold: Ticks,
    cold_from: float,
    votes_per_second: float,
    lanes: tuple[ClassTraffic, ...] = LARGE_FLEET_TRAFFIC,
) -> Settings:
    """What the instances of a large fleet read at start."""
    return make_settings(
        lanes,
        instances,
        warmup_duration=cold,
        warmup_initial_fraction=cold_from,
        votes_to_revert=math.ceil(REVERT * instances),
        votes_per_second=votes_per_second,
    )


def _rolling_restarts(draws: Draws, begin: Ticks, step: Ticks) -> tuple[Fault, ...]:
    """All instances die, a tenth of them at each step."""
    order = [int(one) for one in draws.chance.permutation(draws.instances)]
    part = math.ceil(draws.instances / ROLLING_GROUPS)
    return tuple(
        Fault(
            FaultKind.RESTARTS,
            begin + at * step,
            begin + at * step + 1,
            tuple(order[at * part : (at + 1) * part]),
            draws.ticks(0.3, 1.0),
        )
        for at in range(ROLLING_GROUPS)
    )


def _slow_or_failing(draws: Draws) -> Fault:
    """An eighth of the servers is slow, or fails, all day."""
    slow = draws.chance.random() < 0.5
    kind = FaultKind.SLOW_PODS if slow else FaultKind.ERRORS
    places = draws.part(draws.pods, 1 / 8)
    size = draws.between(1.5, 3) if slow else draws.between(0.3, 0.7)
    return Fault(kind, 0, draws.span, places, size)


def _trouble(kind: str, draws: Draws) -> Trouble:
    """What happens on a day of one of the STANDARD_KINDS."""
    span = draws.span
    begin = int(draws.chance.uniform(0.25, 0.35) * span)
    end = begin + 6 * TICKS_PER_SECOND
    # These are drawn on each day, also where they are not used.
    paused = draws.part(draws.pods, 0.3)
    pauses = Fault(FaultKind.PAUSES, begin // 2, span, paused, draws.ticks(0.5, 1.2))
    failing = draws.part(draws.pods, 1 / 8)
    errors = Fault(FaultKind.ERRORS, 0, span, failing, draws.between(0.3, 0.7))
    zone = int(draws.chance.integers(0, 3))
    if kind in ("calm", "overload"):
        size = 1.5
        if kind == "overload":
            size = 2.6
            end += 4 * TICKS_PER_SECOND
        return Trouble((Fault(FaultKind.BURST, begin, end, (), size),), begin, end)
    if kind == "roll":
        step = (span - begin) // 14
        restarts = _rolling_restarts(draws, begin, step)
        return Trouble((pauses, *restarts), begin, begin + ROLLING_GROUPS * step)
    if kind == "herd":
        killed = draws.part(draws.instances, 0.7)
        kill = Fault(FaultKind.RESTARTS, begin, begin + 1, killed, draws.ticks(0.5, 1.5))
        return Trouble((pauses, errors, kill), begin, begin + 2 * TICKS_PER_SECOND)
    if kind == "zone":
        return _lost_zone(draws, zone, begin, end, errors)
    if kind == "split":
        return _split(draws, zone, begin, end)
    more = pauses._replace(targets=draws.part(draws.pods, 1 / 3))
    lost = Fault(FaultKind.LOST_RESPONSES, 0, span, (), draws.between(0.005, 0.02))
    return Trouble((more, lost), begin, span)


def _lost_zone(draws: Draws, zone: int, begin: Ticks, end: Ticks, errors: Fault) -> Trouble:
    """A zone is lost, and later another one is cut off."""
    later = min(draws.span - 6 * TICKS_PER_SECOND, end + 4 * TICKS_PER_SECOND)
    places = draws.part(draws.pods, 1 / 8)
    slow = Fault(FaultKind.SLOW_PODS, 0, draws.span, places, draws.between(1.5, 3))
    beside = slow if draws.chance.random() < 0.5 else errors
    lost = Fault(FaultKind.ZONE_LOSS, begin, begin + 5 * TICKS_PER_SECOND, (zone,), 0.0)
    cut_end = later + 4 * TICKS_PER_SECOND
    cut = Fault(FaultKind.ZONE_PARTITION, later, cut_end, ((zone + 1) % 3,), 0.0)
    return Trouble((lost, beside, cut), begin, cut_end)


def _split(draws: Draws, zone: int, begin: Ticks, end: Ticks) -> Trouble:
    """A zone is cut off, or some servers are silent, while lists come late."""
    if draws.chance.random() < 0.5:
        silence = Fault(FaultKind.ZONE_PARTITION, begin, end, (zone,), 0.0)
    else:
        silence = Fault(FaultKind.SILENT_PODS, begin, end, draws.part(draws.pods, 1 / 5), 0.0)
    late = Fault(FaultKind.LATE_LISTS, begin, end, (), draws.ticks(1, 3))
    lost = Fault(FaultKind.LOST_RESPONSES, begin // 2, draws.span, (), draws.between(0.005, 0.03))
    return Trouble((silence, late, lost), begin, end)


def _fault_beside(draws: Draws) -> Fault:
    """The other fault of a vast day. The size of each kind is drawn, whichever it is."""
    kind = FaultKind(str(draws.chance.choice(BESIDE)))
    at = int(draws.chance.uniform(0.15, 0.6) * draws.span)
    sizes = {
        FaultKind.SLOW_ALL: draws.between(1.3, 2.5),
        FaultKind.BURST: draws.between(1.2, 1.6),
        FaultKind.PLATFORM_CALL_FAILURES: 0.0,
        FaultKind.SLOW_PODS: draws.between(1.3, 2),
        FaultKind.LATE_LISTS: draws.ticks(1, 3),
        FaultKind.CONNECTION_LOSS: draws.between(0.02, 0.08),
    }
    end = at + draws.whole_ticks(4, 10)
    return Fault(kind, at, end, draws.part(draws.pods, 0.3), sizes[kind])


def _vast_trouble(kind: str, draws: Draws) -> Trouble:
    """What happens on a day of one of the VAST_KINDS kinds."""
    begin = int(draws.chance.uniform(0.3, 0.5) * draws.span)
    bad = _slow_or_failing(draws)
    paused = draws.part(draws.pods, 0.4 if kind == "join-vast" else 0.3)
    pauses = Fault(FaultKind.PAUSES, begin // 2, draws.span, paused, draws.ticks(0.3, 0.9))
    beside = _fault_beside(draws)
    if kind == "herd-vast":
        killed = draws.part(draws.instances, 0.7)
        kill = Fault(FaultKind.RESTARTS, begin, begin + 1, killed, draws.ticks(0.3, 1))
        return Trouble((pauses, kill, beside), begin, begin + 5 * TICKS_PER_SECOND)
    if kind == "zone-vast":
        zone = int(draws.chance.integers(0, 3))
        end = begin + draws.whole_ticks(4, 7)
        there = tuple(one for one in range(draws.instances) if one % 3 == zone)
        lost = Fault(FaultKind.ZONE_LOSS, begin, end, (zone,), 0.0)
        kill = Fault(FaultKind.RESTARTS, begin, begin + 1, there, float(end - begin))
        return Trouble((bad, beside, lost, kill), begin, end)
    return Trouble((pauses, bad, beside), begin, draws.span)


def _mass_trouble(kind: str, draws: Draws) -> Trouble:
    """What happens on a day of one of the MASS_KINDS kinds."""
    span = draws.span
    begin = int(draws.chance.uniform(0.2, 0.6) * span)
    length = draws.ticks(0.3, 0.9)
    paused = draws.part(draws.pods, 1 / 3 if kind == "join-mass" else 0.3)
    pauses = Fault(FaultKind.PAUSES, span // 8, span, paused, length)
    if kind == "calm-mass":
        end = begin + draws.whole_ticks(5, 6)
        return Trouble((Fault(FaultKind.BURST, begin, end, (), 1.5),), begin, end)
    if kind == "roll-mass":
        begin = int(draws.chance.uniform(0.15, 0.4) * span)
        step = span // 22
        restarts = _rolling_restarts(draws, begin, step)
        return Trouble((pauses, *restarts), begin, begin + ROLLING_GROUPS * step)
    if kind == "zone-mass":
        bad = _slow_or_failing(draws)
        zone = int(draws.chance.integers(0, 3))
        end = begin + 5 * TICKS_PER_SECOND
        return Trouble((bad, Fault(FaultKind.ZONE_LOSS, begin, end, (zone,), 0.0)), begin, end)
    lost = Fault(FaultKind.LOST_RESPONSES, 0, span, (), draws.between(0.005, 0.02))
    return Trouble((pauses, lost), span // 8, span)


def _speeds(chance: Generator, pods: int) -> tuple[float, ...]:
    return tuple(float(one) for one in chance.uniform(0.85, 1.1, pods))


def _mean_work(lanes: tuple[ClassTraffic, ...]) -> float:
    """Of a request, in seconds."""
    return sum(one.share * one.mean_work for one in lanes) / TICKS_PER_SECOND


def _vast_lanes(chance: Generator) -> tuple[ClassTraffic, ...]:
    """Work and objectives are of one size: what comes late by half is late."""
    return tuple(
        one._replace(
            mean_work=one.mean_work / 2,
            request_class=one.request_class._replace(
                latency_objective=int(one.mean_work / 2 * float(chance.uniform(5, 9))),
                outer_limit=int(one.mean_work * 10),
            ),
        )
        for one in LARGE_FLEET_TRAFFIC
    )


def _vast_offer(chance: Generator, number: int, seconds: int, good: bool | None) -> Offer:
    """A bad one has errors (0), is slow (1), slows all (2), or errs under load (3) or later (4)."""
    fine = bool(chance.random() < 0.5) if good is None else good
    how = int(chance.integers(0, 5))
    fails = float(chance.uniform(0.1, 0.5))
    slow = float(chance.uniform(2, 3.5))
    shared = float(chance.uniform(1.5, 3.5))
    late = int(chance.uniform(2.5, 6) * TICKS_PER_SECOND) if how == 4 and not fine else 0
    return Offer(
        at=int((chance.uniform(3, 5) + number * seconds * 0.45) * TICKS_PER_SECOND),
        build=2 + number,
        good=fine,
        failure_ratio=fails if not fine and how in (0, 3, 4) else 0.0,
        slowdown=slow if not fine and how in (1, 4) else float(chance.uniform(0.92, 1.1)),
        fault_delay=late,
        fault_load=0.3 if not fine and how == 3 else 0.0,
        shared_slowdown=shared if not fine and how == 2 else 0.0,
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
    """Draws a day of one of the VAST_KINDS kinds; the arguments are those of drawn()."""
    chance = np.random.Generator(np.random.PCG64([seed, VAST_SEED_OFFSET + VAST_KINDS.index(kind)]))
    span = seconds * TICKS_PER_SECOND
    cold = int(chance.uniform(1.9, 4) * TICKS_PER_SECOND)
    speeds = _speeds(chance, pods)
    work = sum(one.share * one.mean_work / 2 for one in LARGE_FLEET_TRAFFIC) / TICKS_PER_SECOND
    rate = load * float(chance.uniform(0.85, 1.1)) * sum(speeds) * CORES / work
    shares = chance.lognormal(0, 0.6, instances)
    calls = instances * float(chance.uniform(0.3, 0.6))
    boot = int(chance.uniform(1.3, 2.0) * TICKS_PER_SECOND)
    lanes = _vast_lanes(chance)
    offers = tuple(_vast_offer(chance, number, seconds, good) for number in range(2))
    trouble = _vast_trouble(kind, Draws(chance, instances, pods, span))
    polled = kind == "herd-vast"
    day = Day(
        seed=seed,
        duration=span,
        instances=instances,
        pods=pods,
        zones=ZONES,
        cores=CORES,
        speeds=speeds,
        queue_limit=QUEUE_LIMIT,
        request_rate=rate,
        instance_shares=tuple(float(one) for one in shares / shares.sum()),
        traffic=lanes,
        keys=KEYS,
        zipf_exponent=ZIPF,
        tenants=TENANTS,
        client_retries=1,
        retry_after_compliance=0.6,
        network_delay=DELAY,
        loss_ratio=LOSS,
        mean_list_delay=2_500,
        mean_release_update_delay=4_000,
        min_stage_duration=int(0.8 * TICKS_PER_SECOND),
        mean_boot_time=boot,
        warmup_duration=cold,
        warmup_initial_fraction=WARMUP_INITIAL_FRACTION,
        offers=offers,
        faults=trouble.faults,
        settings=_settings(instances, cold, WARMUP_INITIAL_FRACTION, calls, lanes)._replace(
            stage_fractions=THREE_STAGES, guarded_stages=1, lists_polled=polled
        ),
        votes_to_promote=math.ceil(ADVANCE * instances),
        stage_caps=THREE_CAPS,
        list_calls_per_second=float(chance.uniform(0.15, 0.3)) * instances if polled else 0.0,
        max_connections_per_pod=int(instances * chance.uniform(1.3, 2.5)),
    )
    return DrawnDay(day, Window(trouble.begin, trouble.end))


def _mass_lanes() -> tuple[ClassTraffic, ...]:
    lanes = []
    for one in LARGE_FLEET_TRAFFIC:
        objective, limit = MASS_GOALS[one.request_class.name]
        lane = one.request_class._replace(latency_objective=objective, outer_limit=limit)
        lanes.append(one._replace(request_class=lane))
    return tuple(lanes)


def _mass_offer(chance: Generator, build: int, at: Ticks, good: bool | None) -> Offer:
    """A bad one has errors, is slow, slows all, errs where busy only, or after a while."""
    fine = bool(chance.random() < 0.5) if good is None else good
    how = int(chance.integers(0, 5))
    fails = float(chance.uniform(0.1, 0.5))
    slow = float(chance.uniform(2, 3.5))
    shared = float(chance.uniform(1.5, 3.5))
    late = int(chance.uniform(2.5, 6) * TICKS_PER_SECOND)
    usual = float(chance.uniform(0.92, 1.1))
    offer = Offer(
        at=at,
        build=build,
        good=fine,
        failure_ratio=0.0,
        slowdown=usual,
        fault_delay=0,
        fault_load=0.0,
    )
    if fine:
        return offer
    return (
        offer._replace(failure_ratio=fails),
        offer._replace(slowdown=slow),
        offer._replace(shared_slowdown=shared),
        offer._replace(failure_ratio=fails, fault_load=0.6),
        offer._replace(failure_ratio=fails, slowdown=slow, fault_delay=late),
    )[how]


def draw_mass_day(
    seed: int,
    kind: str = "calm-mass",
    instances: int = 216,
    pods: int = 108,
    seconds: int = MASS_SECONDS,
    *,
    load: float = 0.58,
    good: bool | None = None,
) -> DrawnDay:
    """Draws a day of one of the MASS_KINDS kinds; the arguments are those of drawn()."""
    chance = np.random.Generator(np.random.PCG64([seed, MASS_SEED_OFFSET + MASS_KINDS.index(kind)]))
    span = seconds * TICKS_PER_SECOND
    cold = int(chance.uniform(1.9, 4.8) * TICKS_PER_SECOND)
    cold_from = float(chance.uniform(0.31, 0.57))
    speeds = _speeds(chance, pods)
    lanes = _mass_lanes()
    work = _mean_work(lanes)
    rate = load * float(chance.uniform(0.95, 1.05)) * sum(speeds) * CORES / work
    shares = chance.lognormal(0, 0.9, instances)
    offers = tuple(
        _mass_offer(chance, 2 + number, int(at * seconds / MASS_SECONDS * TICKS_PER_SECOND), good)
        for number, at in enumerate(MASS_OFFERS)
    )
    trouble = _mass_trouble(kind, Draws(chance, instances, pods, span))
    # What instances read of the warm-up is the least that servers have.
    settings = _settings(instances, cold, MASS_WARMUP_INITIAL_FRACTION, instances * 0.25, lanes)
    day = Day(
        seed=seed,
        duration=span,
        instances=instances,
        pods=pods,
        zones=ZONES,
        cores=CORES,
        speeds=speeds,
        queue_limit=QUEUE_LIMIT,
        request_rate=rate,
        instance_shares=tuple(float(one) for one in shares / shares.sum()),
        traffic=lanes,
        keys=KEYS,
        zipf_exponent=ZIPF,
        tenants=TENANTS,
        client_retries=int(chance.integers(0, 2)),
        retry_after_compliance=0.6,
        network_delay=DELAY,
        loss_ratio=LOSS,
        mean_list_delay=4_000,
        mean_release_update_delay=3_000,
        min_stage_duration=int(3.25 * TICKS_PER_SECOND),
        mean_boot_time=int(1.45 * TICKS_PER_SECOND),
        warmup_duration=cold,
        warmup_initial_fraction=cold_from,
        offers=offers,
        faults=trouble.faults,
        settings=settings._replace(stage_fractions=THREE_STAGES, guarded_stages=1),
        votes_to_promote=math.ceil(ADVANCE * instances),
        stage_caps=THREE_CAPS,
        counts_interval=2 * TICKS_PER_SECOND,
        stage_waits_for_machines=False,
        boot_time_spread=0.17,
        drain_delay=6_700,
        drain_duration=7 * TICKS_PER_SECOND,
        list_batch_interval=TICKS_PER_SECOND // 10,
        mean_handshake_work=int(chance.uniform(5, 16)),
    )
    return DrawnDay(day, Window(trouble.begin, trouble.end))


def draw_day(seed: int, kind: str, **size: int | float | bool | None) -> DrawnDay:
    """Draws a day of any kind; `size` are the arguments of drawn()."""
    draw = (
        draw_vast_day
        if kind in VAST_KINDS
        else draw_mass_day
        if kind in MASS_KINDS
        else draw_standard_day
    )
    return draw(seed, kind, **size)  # type: ignore[arg-type]  # options of the command, by name


def _offer(chance: Generator, good: bool | None) -> Offer:
    """A bad one has errors (0), is slow (1), or errs after a while (2) or where busy only (3)."""
    fine = bool(chance.random() < 0.5) if good is None else good
    how = int(chance.integers(0, 4))
    fails = float(chance.uniform(0.1, 0.6))
    slow = float(chance.uniform(2, 4))
    return Offer(
        at=int(chance.uniform(3, 6) * TICKS_PER_SECOND),
        build=2,
        good=fine,
        failure_ratio=0.0 if fine or how == 1 else fails,
        slowdown=float(chance.uniform(0.92, 1.1)) if fine or how != 1 else slow,
        fault_delay=2 * TICKS_PER_SECOND if how == 2 and not fine else 0,
        fault_load=0.4 if how == 3 and not fine else 0.0,
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
        seed: what the day is drawn from.
        kind: of the day.
        instances: how many sidecars there are.
        pods: how many servers.
        seconds: how long the day lasts.
        load: share of what all servers can do; the rate follows from it.
        good: whether the builds offered are good; None: drawn.
    """
    chance = np.random.Generator(np.random.PCG64([seed, STANDARD_KINDS.index(kind)]))
    span = seconds * TICKS_PER_SECOND
    cold = int(chance.uniform(2, 4.8) * TICKS_PER_SECOND)
    speeds = _speeds(chance, pods)
    rate = (
        load
        * float(chance.uniform(0.85, 1.1))
        * sum(speeds)
        * CORES
        / _mean_work(LARGE_FLEET_TRAFFIC)
    )
    shares = chance.lognormal(0, 0.9, instances)
    offer = _offer(chance, good)
    trouble = _trouble(kind, Draws(chance, instances, pods, span))
    # On a day of joining instances clients are impatient.
    patient = kind != "join"
    calls = instances * float(chance.uniform(0.2, 0.75))
    boot = int(chance.uniform(1.3, 2.0) * TICKS_PER_SECOND)
    day = Day(
        seed=seed,
        duration=span,
        instances=instances,
        pods=pods,
        zones=ZONES,
        cores=CORES,
        speeds=speeds,
        queue_limit=QUEUE_LIMIT,
        request_rate=rate,
        instance_shares=tuple(float(one) for one in shares / shares.sum()),
        traffic=LARGE_FLEET_TRAFFIC,
        keys=KEYS,
        zipf_exponent=ZIPF,
        tenants=TENANTS,
        client_retries=1 if patient else 3,
        retry_after_compliance=0.7 if patient else 0.3,
        network_delay=DELAY,
        loss_ratio=LOSS,
        mean_list_delay=5_000,
        mean_release_update_delay=4_000,
        min_stage_duration=TICKS_PER_SECOND,
        mean_boot_time=boot,
        warmup_duration=cold,
        warmup_initial_fraction=WARMUP_INITIAL_FRACTION,
        offers=(offer,),
        faults=trouble.faults,
        settings=_settings(instances, cold, WARMUP_INITIAL_FRACTION, calls),
        votes_to_promote=math.ceil(ADVANCE * instances),
    )
    return DrawnDay(day, Window(trouble.begin, trouble.end))
