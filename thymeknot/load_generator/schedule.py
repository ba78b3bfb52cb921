"""What is sent when, what a stretch showed, and which rate comes next. Pure; times are tenths of a millisecond."""

import math
from itertools import accumulate
from random import Random
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND

HELD, FAILED, SATURATED = "held", "failed", "saturated"
CLIMB, NARROW, OVER = "climb", "narrow", "over"
# (state, what a stretch showed) -> next state, effect. A generator that is saturated says nothing of the server.
RAMP = {
    (CLIMB, HELD): (CLIMB, "climb"),
    (CLIMB, FAILED): (NARROW, "narrow"),
    (CLIMB, SATURATED): (OVER, None),
    (NARROW, HELD): (NARROW, "narrow"),
    (NARROW, FAILED): (NARROW, "narrow"),
    (NARROW, SATURATED): (OVER, None),
}
LATE_PART, LATE_LEAST = (
    0.25,
    20,
)  # of the goal: lateness of one's own that is too much; and two milliseconds


class Lane(NamedTuple):
    """kind: read (may run again), write, or marked (a write with a mark by which a repeat is known)."""

    name: str
    share: float
    kind: str


class Request(NamedTuple):
    at: int
    id: str
    key: str
    lane: Lane
    tenant: str


class Goal(NamedTuple):
    """quantile of the corrected latencies, how long it may be, and the share that may end otherwise than done."""

    quantile: float = 0.99
    latency: int = 500
    not_done: float = 0.01


class Stretch(NamedTuple):
    """What one stretch at one rate came to. latency: the goal's quantile; late: the generator's own, 99th percentile,
    from when a request was due to when it was looked at; what then waits for a connection waits for the server."""

    rate: float
    latency: int
    done: int
    ended: int
    late: int
    due: int


class ScheduleError(ValueError):
    """Words that can't be used, with what would do."""


def lane(text):
    """NAME=SHARE, NAME=SHARE,write or NAME=SHARE,marked."""
    name, _, rest = text.partition("=")
    share, _, kind = (rest or "1").partition(",")
    try:
        made = Lane(name, float(share), kind or "read")
    except ValueError:
        raise ScheduleError(f"{text}: the share is no number") from None
    if (
        not name
        or "," in name
        or not 0 < made.share < math.inf
        or made.kind not in ("read", "write", "marked")
    ):
        raise ScheduleError(f"{text}: NAME=SHARE, and behind it read, write or marked")
    return made


def schedule(seed, rate, span, lanes, keys=10_000, exponent=0.8, tenants=4):
    """Requests in order of time: Poisson arrivals, keys by Zipf's law. The same seed gives the same ones."""
    chance, at = Random(seed), 0.0
    steps = list(accumulate(1 / place**exponent for place in range(1, keys + 1)))
    while True:
        at += chance.expovariate(rate / TICKS_PER_SECOND)
        if at >= span:
            return
        (key,), (one,) = (
            chance.choices(range(keys), cum_weights=steps),
            chance.choices(lanes, [one.share for one in lanes]),
        )
        yield Request(
            int(at), f"{chance.getrandbits(64):016x}", f"{key:08x}", one, f"t{key % tenants}"
        )


def judged(stretch, goal):
    """(HELD, FAILED or SATURATED, why). What the generator did itself is looked at first."""
    if stretch.late > max(LATE_LEAST, LATE_PART * goal.latency):
        return SATURATED, f"the load tool itself was {stretch.late / 10:.1f} ms late"
    if stretch.ended - stretch.done > goal.not_done * max(1, stretch.ended):
        return FAILED, f"{stretch.ended - stretch.done} of {stretch.ended} not done"
    if stretch.latency > goal.latency:
        return FAILED, f"{goal.quantile:.1%} within {stretch.latency / 10:.1f} ms"
    return HELD, f"{goal.quantile:.1%} within {stretch.latency / 10:.1f} ms"


class Ramp:
    """Climbs by a factor until a goal fails, then halves the gap until it is narrow enough."""

    def __init__(self, start, factor=1.5, within=0.05, most=1e6):
        self.rate, self.factor, self.within, self.most = float(start), factor, within, most
        self.state, self.held, self.failed, self.why = CLIMB, 0.0, math.inf, "not begun"

    def told(self, verdict, why):
        """What the stretch at `rate` showed; sets the next rate, or the state OVER."""
        self.why = why
        if verdict == HELD:
            self.held = max(self.held, self.rate)
        elif verdict == FAILED:
            self.failed = min(self.failed, self.rate)
        self.state, effect = RAMP[self.state, verdict]
        if effect == "climb":
            self.rate = min(self.most, self.rate * self.factor)
            if self.held >= self.most:
                self.state = OVER
        elif effect == "narrow":
            if self.failed - self.held <= self.within * self.failed or self.failed < 1:
                self.state = OVER
            self.rate = (self.held + self.failed) / 2
