"""Days of a whole fleet: hundreds of instances that see a few transactions a second each, and what then goes wrong for
many at once. Drawn from ranges by a seed, as days.py draws the smaller ones. Times are tenths of a millisecond."""

import math

import numpy as np

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import DeduplicationScope, Idempotency
from ..interface.settings import RequestClass, Settings
from .scenarios import Day, Fault, LaneMix, Offer, settings_for

KINDS = ("calm", "roll", "herd", "zone", "split", "join", "overload")
# Some forty instances by sixty pods, three stages, two builds, a trouble of its own beside each day's. Lists are asked
# for on the first, of a discovery that takes few calls.
VAST = ("herd-vast", "zone-vast", "join-vast")
# Some two hundred instances by a hundred pods: stages pass by the platform's clock, and it tells what it counted.
MASS = ("calm-mass", "roll-mass", "zone-mass", "join-mass")
BESIDE = ("slow all", "burst", "calls", "discovery", "network", "pods")
LANES = (
    LaneMix(
        RequestClass(
            "fetch",
            Idempotency.IDEMPOTENT,
            DeduplicationScope.ALL,
            5 * TICKS_PER_SECOND,
            8_000,
            20_000,
            1.0,
            0.0,
        ),
        0.55,
        1_200,
        0.8,
    ),
    LaneMix(
        RequestClass(
            "sync",
            Idempotency.IDEMPOTENT,
            DeduplicationScope.ALL,
            5 * TICKS_PER_SECOND,
            25_000,
            75_000,
            1.0,
            0.2,
        ),
        0.22,
        2_900,
        0.8,
    ),
    LaneMix(
        RequestClass(
            "buy",
            Idempotency.KEYED,
            DeduplicationScope.ALL,
            5 * TICKS_PER_SECOND,
            8_000,
            25_000,
            5.0,
            0.0,
        ),
        0.12,
        1_200,
        0.7,
    ),
    LaneMix(
        RequestClass(
            "pay",
            Idempotency.NON_IDEMPOTENT,
            DeduplicationScope.ALL,
            5 * TICKS_PER_SECOND,
            15_000,
            40_000,
            5.0,
            0.0,
        ),
        0.11,
        2_900,
        0.8,
    ),
)
MASS_GOALS = {
    "fetch": (8_300, 21_000),
    "sync": (26_000, 78_000),
    "buy": (8_300, 26_000),
    "pay": (15_500, 41_000),
}
ADVANCE, REVERT = 0.6, 0.25  # of the instances: votes that move a build on, and back


def _settings(
    instances: int,
    cold: Ticks,
    cold_from: float,
    votes_per_second: float,
    lanes: tuple[LaneMix, ...] = LANES,
) -> Settings:
    """What the instances of a large fleet read at start."""
    return settings_for(
        lanes,
        instances,
        warmup_duration=cold,
        warmup_initial_fraction=cold_from,
        votes_to_revert=math.ceil(REVERT * instances),
        votes_per_second=votes_per_second,
    )


def _some(chance, count, share):
    return tuple(
        int(one) for one in chance.choice(count, max(1, round(count * share)), replace=False)
    )


def _faults(kind, chance, instances, pods, span):
    """What happens on a day of this kind: (faults, begin of the worst of it, its end)."""
    begin = int(chance.uniform(0.25, 0.35) * span)
    end = begin + 6 * TICKS_PER_SECOND
    pauses = Fault(
        "pause",
        begin // 2,
        span,
        _some(chance, pods, 0.3),
        float(chance.uniform(0.5, 1.2)) * TICKS_PER_SECOND,
    )
    ill = Fault("ill", 0, span, _some(chance, pods, 1 / 8), float(chance.uniform(0.3, 0.7)))
    zone = int(chance.integers(0, 3))
    if kind == "calm":
        return (Fault("burst", begin, end, (), 1.5),), begin, end
    if kind == "roll":
        order = [int(one) for one in chance.permutation(instances)]
        part, step = math.ceil(instances / 10), (span - begin) // 14
        turns = tuple(
            Fault(
                "kill",
                begin + at * step,
                begin + at * step + 1,
                tuple(order[at * part : (at + 1) * part]),
                float(chance.uniform(0.3, 1.0)) * TICKS_PER_SECOND,
            )
            for at in range(10)
        )
        return (pauses, *turns), begin, begin + 10 * step
    if kind == "herd":
        return (
            (
                pauses,
                ill,
                Fault(
                    "kill",
                    begin,
                    begin + 1,
                    _some(chance, instances, 0.7),
                    float(chance.uniform(0.5, 1.5)) * TICKS_PER_SECOND,
                ),
            ),
            begin,
            begin + 2 * TICKS_PER_SECOND,
        )
    if kind == "zone":
        later = min(span - 6 * TICKS_PER_SECOND, end + 4 * TICKS_PER_SECOND)
        slow = Fault("pods", 0, span, _some(chance, pods, 1 / 8), float(chance.uniform(1.5, 3)))
        return (
            (
                Fault("zone", begin, begin + 5 * TICKS_PER_SECOND, (zone,), 0.0),
                slow if chance.random() < 0.5 else ill,
                Fault("cut", later, later + 4 * TICKS_PER_SECOND, ((zone + 1) % 3,), 0.0),
            ),
            begin,
            later + 4 * TICKS_PER_SECOND,
        )
    if kind == "split":
        how = (
            Fault("cut", begin, end, (zone,), 0.0)
            if chance.random() < 0.5
            else Fault("silent", begin, end, _some(chance, pods, 1 / 5), 0.0)
        )
        return (
            (
                how,
                Fault("discovery", begin, end, (), float(chance.uniform(1, 3)) * TICKS_PER_SECOND),
                Fault("lost answers", begin // 2, span, (), float(chance.uniform(0.005, 0.03))),
            ),
            begin,
            end,
        )
    if kind == "join":
        return (
            (
                pauses._replace(what=_some(chance, pods, 1 / 3)),
                Fault("lost answers", 0, span, (), float(chance.uniform(0.005, 0.02))),
            ),
            begin,
            span,
        )
    return (
        (Fault("burst", begin, end + 4 * TICKS_PER_SECOND, (), 2.6),),
        begin,
        end + 4 * TICKS_PER_SECOND,
    )


def _vast_faults(kind, chance, instances, pods, span):
    """As _faults, for the vast kinds."""
    begin = int(chance.uniform(0.3, 0.5) * span)
    slow = chance.random() < 0.5
    bad = Fault(
        "pods" if slow else "ill",
        0,
        span,
        _some(chance, pods, 1 / 8),
        float(chance.uniform(1.5, 3)) if slow else float(chance.uniform(0.3, 0.7)),
    )
    pauses = Fault(
        "pause",
        begin // 2,
        span,
        _some(chance, pods, 0.4 if kind == "join-vast" else 0.3),
        float(chance.uniform(0.3, 0.9)) * TICKS_PER_SECOND,
    )
    name, at = str(chance.choice(BESIDE)), int(chance.uniform(0.15, 0.6) * span)
    sizes = {
        "slow all": chance.uniform(1.3, 2.5),
        "burst": chance.uniform(1.2, 1.6),
        "calls": 0.0,
        "pods": chance.uniform(1.3, 2),
        "discovery": chance.uniform(1, 3) * TICKS_PER_SECOND,
        "network": chance.uniform(0.02, 0.08),
    }
    beside = Fault(
        name,
        at,
        at + int(chance.uniform(4, 10) * TICKS_PER_SECOND),
        _some(chance, pods, 0.3),
        float(sizes[name]),
    )
    if kind == "herd-vast":
        kill = Fault(
            "kill",
            begin,
            begin + 1,
            _some(chance, instances, 0.7),
            float(chance.uniform(0.3, 1)) * TICKS_PER_SECOND,
        )
        return (pauses, kill, beside), begin, begin + 5 * TICKS_PER_SECOND
    if kind == "zone-vast":
        zone, end = int(chance.integers(0, 3)), begin + int(chance.uniform(4, 7) * TICKS_PER_SECOND)
        there = tuple(one for one in range(instances) if one % 3 == zone)
        return (
            (
                bad,
                beside,
                Fault("zone", begin, end, (zone,), 0.0),
                Fault("kill", begin, begin + 1, there, float(end - begin)),
            ),
            begin,
            end,
        )
    return (pauses, bad, beside), begin, span


def vast(seed, kind="herd-vast", instances=40, pods=60, seconds=44, load=0.55, good=None):
    """A day of one of the VAST kinds, as drawn(): (day, (begin, end) of the worst of it). good: of both builds."""
    chance = np.random.Generator(np.random.PCG64([seed, 100 + VAST.index(kind)]))
    span, cold, cold_from, cores = (
        seconds * TICKS_PER_SECOND,
        int(chance.uniform(1.9, 4) * TICKS_PER_SECOND),
        0.35,
        2,
    )
    speeds = tuple(float(one) for one in chance.uniform(0.85, 1.1, pods))
    work = sum(one.share * one.work / 2 for one in LANES) / TICKS_PER_SECOND
    rate = load * float(chance.uniform(0.85, 1.1)) * sum(speeds) * cores / work
    shares = chance.lognormal(0, 0.6, instances)
    calls, boot = (
        instances * float(chance.uniform(0.3, 0.6)),
        int(chance.uniform(1.3, 2.0) * TICKS_PER_SECOND),
    )
    # Work and goals are of one size: what comes late by half is late.
    lanes = tuple(
        one._replace(
            work=one.work / 2,
            lane=one.lane._replace(
                latency_objective=int(one.work / 2 * float(chance.uniform(5, 9))),
                outer_limit=int(one.work * 10),
            ),
        )
        for one in LANES
    )
    offers = []
    for number in range(2):
        fine, how = (
            bool(chance.random() < 0.5) if good is None else good,
            int(chance.integers(0, 5)),
        )
        fails, slow, shared = (
            chance.uniform(0.1, 0.5),
            chance.uniform(2, 3.5),
            chance.uniform(1.5, 3.5),
        )
        late = int(chance.uniform(2.5, 6) * TICKS_PER_SECOND) if how == 4 and not fine else 0
        at = int((chance.uniform(3, 5) + number * seconds * 0.45) * TICKS_PER_SECOND)
        offers.append(
            Offer(
                at,
                2 + number,
                fine,
                float(fails) if not fine and how in (0, 3, 4) else 0.0,
                float(slow) if not fine and how in (1, 4) else float(chance.uniform(0.92, 1.1)),
                late,
                0.3 if not fine and how == 3 else 0.0,
                float(shared) if not fine and how == 2 else 0.0,
            )
        )
    faults, begin, end = _vast_faults(kind, chance, instances, pods, span)
    held = _settings(instances, cold, cold_from, calls, lanes)._replace(
        stage_fractions=(0.08, 0.25, 1.0), guarded_stages=1, lists_polled=kind == "herd-vast"
    )
    return Day(
        seed,
        span,
        instances,
        pods,
        ("a", "b", "c"),
        cores,
        speeds,
        32,
        rate,
        tuple(float(one) for one in shares / shares.sum()),
        lanes,
        12_000,
        0.75,
        4,
        1,
        0.6,
        (12, 0.5),
        0.0005,
        2_500,
        4_000,
        int(0.8 * TICKS_PER_SECOND),
        boot,
        cold,
        cold_from,
        tuple(offers),
        faults,
        held,
        advance=math.ceil(ADVANCE * instances),
        caps=(0.16, 0.5, 1.0),
        lists=float(chance.uniform(0.15, 0.3)) * instances if kind == "herd-vast" else 0.0,
        connections=int(instances * chance.uniform(1.3, 2.5)),
    ), (begin, end)


def _mass_faults(kind, chance, instances, pods, span):
    """As _faults, for the mass kinds."""
    begin = int(chance.uniform(0.2, 0.6) * span)
    paused, each = (
        1 / 3 if kind == "join-mass" else 0.3,
        float(chance.uniform(0.3, 0.9)) * TICKS_PER_SECOND,
    )
    pauses = Fault("pause", span // 8, span, _some(chance, pods, paused), each)
    if kind == "calm-mass":
        end = begin + int(chance.uniform(5, 6) * TICKS_PER_SECOND)
        return (Fault("burst", begin, end, (), 1.5),), begin, end
    if kind == "roll-mass":
        begin = int(chance.uniform(0.15, 0.4) * span)
        part, step, order = (
            math.ceil(instances / 10),
            span // 22,
            [int(one) for one in chance.permutation(instances)],
        )
        turns = tuple(
            Fault(
                "kill",
                begin + at * step,
                begin + at * step + 1,
                tuple(order[at * part : (at + 1) * part]),
                float(chance.uniform(0.3, 1.0)) * TICKS_PER_SECOND,
            )
            for at in range(10)
        )
        return (pauses, *turns), begin, begin + 10 * step
    if kind == "zone-mass":
        slow = chance.random() < 0.5
        bad = Fault(
            "pods" if slow else "ill",
            0,
            span,
            _some(chance, pods, 1 / 8),
            float(chance.uniform(1.5, 3)) if slow else float(chance.uniform(0.3, 0.7)),
        )
        return (
            (
                bad,
                Fault(
                    "zone", begin, begin + 5 * TICKS_PER_SECOND, (int(chance.integers(0, 3)),), 0.0
                ),
            ),
            begin,
            (begin + 5 * TICKS_PER_SECOND),
        )
    return (
        (pauses, Fault("lost answers", 0, span, (), float(chance.uniform(0.005, 0.02)))),
        span // 8,
        span,
    )


def mass(seed, kind="calm-mass", instances=216, pods=108, seconds=46, load=0.58, good=None):
    """A day of one of the MASS kinds, as drawn(): (day, (begin, end) of the worst of it). good: of both builds."""
    chance = np.random.Generator(np.random.PCG64([seed, 200 + MASS.index(kind)]))
    span, cores = seconds * TICKS_PER_SECOND, 2
    cold, cold_from = (
        int(chance.uniform(1.9, 4.8) * TICKS_PER_SECOND),
        float(chance.uniform(0.31, 0.57)),
    )
    speeds = tuple(float(one) for one in chance.uniform(0.85, 1.1, pods))
    lanes = tuple(
        one._replace(
            lane=one.lane._replace(
                latency_objective=MASS_GOALS[one.lane.name][0],
                outer_limit=MASS_GOALS[one.lane.name][1],
            )
        )
        for one in LANES
    )
    work = sum(one.share * one.work for one in lanes) / TICKS_PER_SECOND
    rate = load * float(chance.uniform(0.95, 1.05)) * sum(speeds) * cores / work
    shares = chance.lognormal(0, 0.9, instances)
    offers = []
    for number, at in enumerate((4.75, 23.75)):
        fine, how = (
            bool(chance.random() < 0.5) if good is None else good,
            int(chance.integers(0, 5)),
        )
        fails, slow, shared = (
            chance.uniform(0.1, 0.5),
            chance.uniform(2, 3.5),
            chance.uniform(1.5, 3.5),
        )
        late, usual = (
            int(chance.uniform(2.5, 6) * TICKS_PER_SECOND),
            float(chance.uniform(0.92, 1.1)),
        )
        # Each its own way to be bad: errors, slow, slowing all, only where busy, after a while.
        one = Offer(int(at * seconds / 46 * TICKS_PER_SECOND), 2 + number, fine, 0.0, usual, 0, 0.0)
        offers.append(
            one
            if fine
            else (
                one._replace(fails=float(fails)),
                one._replace(slow=float(slow)),
                one._replace(shared=float(shared)),
                one._replace(fails=float(fails), load=0.6),
                one._replace(fails=float(fails), slow=float(slow), after=late),
            )[how]
        )
    faults, begin, end = _mass_faults(kind, chance, instances, pods, span)
    # What clients are told of cold pods is the least of what those have.
    held = _settings(instances, cold, 0.31, instances * 0.25, lanes)._replace(
        stage_fractions=(0.08, 0.25, 1.0), guarded_stages=1
    )
    return Day(
        seed,
        span,
        instances,
        pods,
        ("a", "b", "c"),
        cores,
        speeds,
        32,
        rate,
        tuple(float(one) for one in shares / shares.sum()),
        lanes,
        12_000,
        0.75,
        4,
        int(chance.integers(0, 2)),
        0.6,
        (12, 0.5),
        0.0005,
        4_000,
        3_000,
        int(3.25 * TICKS_PER_SECOND),
        int(1.45 * TICKS_PER_SECOND),
        cold,
        cold_from,
        tuple(offers),
        faults,
        held,
        advance=math.ceil(ADVANCE * instances),
        caps=(0.16, 0.5, 1.0),
        tally_every=2 * TICKS_PER_SECOND,
        machines_first=False,
        boot_spread=0.17,
        drain_after=6_700,
        gone_after=7 * TICKS_PER_SECOND,
        list_every=TICKS_PER_SECOND // 10,
        handshake=int(chance.uniform(5, 16)),
    ), (begin, end)


def of_kind(seed, kind, **size):
    """A day of any kind."""
    return (vast if kind in VAST else mass if kind in MASS else drawn)(seed, kind, **size)


def drawn(seed, kind="herd", instances=200, pods=100, seconds=40, load=0.5, good=None):
    """A day of one of the KINDS; rate follows from load, the share of what all pods can do. good: of the build
    offered; drawn with a half if None. Gives (day, (begin, end) of the worst of it)."""
    chance = np.random.Generator(np.random.PCG64([seed, KINDS.index(kind)]))
    span, cold, cold_from, cores = (
        seconds * TICKS_PER_SECOND,
        int(chance.uniform(2, 4.8) * TICKS_PER_SECOND),
        0.35,
        2,
    )
    speeds = tuple(float(one) for one in chance.uniform(0.85, 1.1, pods))
    work = sum(one.share * one.work for one in LANES) / TICKS_PER_SECOND
    rate = load * float(chance.uniform(0.85, 1.1)) * sum(speeds) * cores / work
    shares = chance.lognormal(0, 0.9, instances)
    fine, how = bool(chance.random() < 0.5) if good is None else good, int(chance.integers(0, 4))
    fails, slow = float(chance.uniform(0.1, 0.6)), float(chance.uniform(2, 4))
    offer = Offer(
        int(chance.uniform(3, 6) * TICKS_PER_SECOND),
        2,
        fine,
        0.0 if fine or how == 1 else fails,
        float(chance.uniform(0.92, 1.1)) if fine or how != 1 else slow,
        2 * TICKS_PER_SECOND if how == 2 and not fine else 0,
        0.4 if how == 3 and not fine else 0.0,
    )
    faults, begin, end = _faults(kind, chance, instances, pods, span)
    patient = kind != "join"
    calls, boot = (
        instances * float(chance.uniform(0.2, 0.75)),
        int(chance.uniform(1.3, 2.0) * TICKS_PER_SECOND),
    )
    return Day(
        seed,
        span,
        instances,
        pods,
        ("a", "b", "c"),
        cores,
        speeds,
        32,
        rate,
        tuple(float(one) for one in shares / shares.sum()),
        LANES,
        12_000,
        0.75,
        4,
        1 if patient else 3,
        0.7 if patient else 0.3,
        (12, 0.5),
        0.0005,
        5_000,
        4_000,
        TICKS_PER_SECOND,
        boot,
        cold,
        cold_from,
        (offer,),
        faults,
        _settings(instances, cold, cold_from, calls),
        advance=math.ceil(ADVANCE * instances),
    ), (begin, end)
