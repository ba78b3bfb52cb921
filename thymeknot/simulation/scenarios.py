"""What a day holds: the fleet, its traffic, its builds and the faults on a timeline. Drawn from ranges by a seed; the
same seed gives the same day, byte by byte, wherever it is drawn. Times are tenths of a millisecond."""

from typing import NamedTuple

import numpy as np

from ..interface.clock import TICKS_PER_SECOND
from ..interface.enums import DeduplicationScope, Idempotency, PromotionMode
from ..interface.settings import RequestClass, Settings


class LaneMix(NamedTuple):
    lane: RequestClass
    share: float  # of the transactions
    work: float  # mean, in tenths of a millisecond on one core of speed 1
    spread: float  # standard deviation over mean; 1 is exponential


class Fault(NamedTuple):
    """kind: pods, ill, network, discovery, platform, kill, burst; pause, silent, zone, cut, lost answers, slow all,
    calls.
    what: whom it strikes; size: how hard."""

    kind: str
    begin: int
    end: int
    what: tuple
    size: float


class Offer(NamedTuple):
    """A build that the platform offers."""

    at: int
    build: int
    good: bool
    fails: float
    slow: float
    after: int
    load: float
    shared: float = 0.0  # slows all pods, in step with its part of the deliveries


class Day(NamedTuple):
    seed: int
    span: int
    instances: int
    pods: int
    zones: tuple
    cores: int
    speeds: tuple  # of each place
    queue: int
    rate: float  # transactions a second, of all instances
    busy: tuple  # share of the traffic of each instance
    lanes: tuple
    keys: int
    zipf: float
    tenants: int
    retries: int  # tries of a client after a deferral
    heeds: float  # share of clients that heed the time to come back
    delay: tuple  # one way: mean, spread
    loss: float  # of connections
    list_lag: int
    news_lag: int
    stage_least: int
    boot: int
    cold: int
    cold_from: float
    offers: tuple
    faults: tuple
    terms: Settings
    advance: int = 0  # votes that move a build on; half of the instances if 0
    caps: tuple = (0.08, 0.2, 0.5, 1.0, 1.0)  # of the stages
    lists: float = 0.0  # calls a second that discovery answers; 0: it tells all unasked
    connections: int = 0  # that a pod holds at most; 0: as many as come
    tally_every: int = 0  # the platform tells what it counted, once so often; 0: never
    tally_share: float = 0.1  # of the attempts that ended, which it counts
    tally_lag: int = 5_700  # from a period's end until it is told
    machines_first: bool = True  # a stage's clock starts when its machines run, else with the stage
    boot_spread: float = 0.3
    drain_after: int = 0  # a release, by the earlier machines
    gone_after: int = 4 * TICKS_PER_SECOND  # a drain's begin
    list_every: int = (
        0  # changes to the list are told together, so often at most; 0: each by itself
    )
    handshake: int = (
        0  # mean work of a new connection, which costs two round trips besides; 0: it costs none
    )


LANES = (
    LaneMix(
        RequestClass(
            "fetch",
            Idempotency.IDEMPOTENT,
            DeduplicationScope.ALL,
            5 * TICKS_PER_SECOND,
            2000,
            6000,
            1.0,
            0.0,
        ),
        0.7,
        80,
        0.8,
    ),
    LaneMix(
        RequestClass(
            "sync",
            Idempotency.KEYED,
            DeduplicationScope.ALL,
            5 * TICKS_PER_SECOND,
            3000,
            9000,
            2.0,
            0.2,
        ),
        0.2,
        120,
        0.8,
    ),
    LaneMix(
        RequestClass(
            "pay",
            Idempotency.NON_IDEMPOTENT,
            DeduplicationScope.ALL,
            5 * TICKS_PER_SECOND,
            4000,
            12000,
            6.0,
            0.2,
        ),
        0.1,
        150,
        0.6,
    ),
)
WAVES, CAPS = (0.04, 0.1, 0.25, 0.55, 1.0), (0.08, 0.2, 0.5, 1.0, 1.0)
TROUBLES = ("slow pods", "ill pod", "loss", "late list", "late news", "kills", "burst")


def terms(lanes, instances, cold, cold_from):
    return Settings(
        request_classes={one.lane.name: one.lane for one in lanes},
        instances=instances,
        lists_polled=False,
        max_attempts=4,
        max_retry_after=TICKS_PER_SECOND // 2,
        hedging_allowed=False,
        cancellation_allowed=True,
        retry_after_allowed=True,
        load_metrics=(),
        poll_within=10 * TICKS_PER_SECOND,
        warmup_initial_fraction=cold_from,
        warmup_duration=cold,
        overload_factor=2.0,
        overload_window=3 * TICKS_PER_SECOND // 2,
        exposure_window=3 * TICKS_PER_SECOND,
        exposure_allowance=3.0,
        guarded_stages=2,
        stage_fractions=WAVES,
        exposure_by_class=False,
        sticky_keys=True,
        replaces_machines=False,
        promotion_mode=PromotionMode.QUORUM,
        votes_to_revert=max(1, instances // 20),
        vote_lifetime=4 * TICKS_PER_SECOND,
        vote_timeout=12_000,
        votes_per_second=150.0,
    )


def drawn(
    seed, instances=40, pods=24, rate=400.0, seconds=40, load=0.5, troubles=2, offers=1, lanes=LANES
):
    """A day of this size. load: share of what all pods can do, by which their speed is set."""
    chance = np.random.Generator(np.random.PCG64(seed))
    span, cold, cold_from, cores = (
        seconds * TICKS_PER_SECOND,
        int(chance.uniform(3, 6) * TICKS_PER_SECOND),
        0.31,
        2,
    )
    work = sum(one.share * one.work for one in lanes) / TICKS_PER_SECOND
    speed = rate * work / (load * pods * cores)
    # Few transactions a pod at a given load mean long ones: what clients bear grows with them.
    stretch = max(1.0, 1 / speed)
    lanes = tuple(
        one._replace(
            lane=one.lane._replace(
                latency_objective=int(one.lane.latency_objective * stretch),
                outer_limit=int(one.lane.outer_limit * stretch),
            )
        )
        for one in lanes
    )
    speeds = tuple(float(speed * one) for one in chance.uniform(0.8, 1.2, pods))
    shares = chance.lognormal(0, 0.8, instances)
    told = []
    for number in range(offers):
        good = bool(chance.random() < 0.5)
        how = int(chance.integers(0, 4))
        told.append(
            Offer(
                int((4 + number * seconds / max(1, offers)) * TICKS_PER_SECOND),
                2 + number,
                good,
                0.0 if good or how == 1 else float(chance.uniform(0.1, 0.5)),
                float(chance.uniform(0.9, 1.1))
                if good or how != 1
                else float(chance.uniform(2, 4)),
                int(chance.uniform(2, 6) * TICKS_PER_SECOND) if how == 2 and not good else 0,
                float(chance.uniform(0.3, 0.6)) if how == 3 and not good else 0.0,
            )
        )
    faults = []
    for name in chance.choice(TROUBLES, troubles, replace=False):
        begin = int(chance.uniform(0.15, 0.7) * span)
        end = begin + int(chance.uniform(0.1, 0.25) * span)
        some = tuple(int(one) for one in chance.choice(pods, max(1, pods // 5), replace=False))
        faults.append(
            {
                "slow pods": Fault("pods", begin, end, some, float(chance.uniform(1.5, 3))),
                "ill pod": Fault("ill", begin, end, some[:1], float(chance.uniform(0.3, 0.8))),
                "loss": Fault("network", begin, end, (), float(chance.uniform(0.02, 0.15))),
                "late list": Fault(
                    "discovery", begin, end, (), float(chance.uniform(1, 4)) * TICKS_PER_SECOND
                ),
                "late news": Fault(
                    "platform", begin, end, (), float(chance.uniform(1, 5)) * TICKS_PER_SECOND
                ),
                "kills": Fault(
                    "kill",
                    begin,
                    end,
                    tuple(
                        int(one)
                        for one in chance.choice(instances, max(1, instances // 5), replace=False)
                    ),
                    float(chance.uniform(0.3, 2)) * TICKS_PER_SECOND,
                ),
                "burst": Fault("burst", begin, end, (), float(chance.uniform(1.3, 2.0))),
            }[str(name)]
        )
    return Day(
        seed,
        span,
        instances,
        pods,
        ("a", "b", "c"),
        cores,
        speeds,
        64,
        rate,
        tuple(float(one) for one in shares / shares.sum()),
        lanes,
        20_000,
        0.9,
        4,
        2,
        0.7,
        (8, 0.3),
        0.0005,
        3000,
        3000,
        TICKS_PER_SECOND,
        2 * TICKS_PER_SECOND,
        cold,
        cold_from,
        tuple(told),
        tuple(faults),
        terms(lanes, instances, cold, cold_from),
    )
