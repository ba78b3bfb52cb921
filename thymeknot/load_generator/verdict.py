"""Whether a stretch met its goal, or the load tool itself was too slow to say. Pure."""

import enum
from typing import NamedTuple

from ..interface.clock import Ticks

MAX_OWN_DELAY_SHARE = 0.25
"""Of the goal's latency: a load tool that is later than this itself says nothing of the server."""

MIN_OWN_DELAY_LIMIT: Ticks = 20
"""The least delay that is too much, 2 ms: below it the machine's scheduling alone would decide."""


class Verdict(enum.StrEnum):
    """What a stretch showed."""

    HELD = "held"
    FAILED = "failed"
    SATURATED = "saturated"


HELD = Verdict.HELD
"""The verdict of a stretch that met its goal, under the name that the command line asks for."""


class Goal(NamedTuple):
    """What a stretch has to meet.

    Attributes:
        quantile: The quantile of the corrected latencies that counts.
        latency: How long that quantile may be.
        max_not_done_share: The share of requests that may end otherwise than done.
    """

    quantile: float = 0.99
    latency: Ticks = 500
    max_not_done_share: float = 0.01


class RunSummary(NamedTuple):
    """What one stretch at one rate came to.

    Attributes:
        rate: Requests a second that were due.
        latency: The goal's quantile of the corrected latencies.
        done: Requests that ended well.
        ended: Requests that ended in any way.
        late: The load tool's own delay, 99th percentile, from when a request was due to when it
            was looked at; what then waits for a connection waits for the server.
        due: Requests that were due.
    """

    rate: float
    latency: Ticks
    done: int
    ended: int
    late: Ticks
    due: int


class Judgement(NamedTuple):
    """A verdict with its reason.

    Attributes:
        verdict: What the stretch showed.
        reason: The figure that decided, in words.
    """

    verdict: Verdict
    reason: str


def judge(stretch: RunSummary, goal: Goal) -> Judgement:
    """Compares a stretch with the goal; the load tool's own delay is looked at first."""
    if stretch.late > max(MIN_OWN_DELAY_LIMIT, MAX_OWN_DELAY_SHARE * goal.latency):
        reason = f"the load tool itself was {stretch.late / 10:.1f} ms late"
        return Judgement(Verdict.SATURATED, reason)
    not_done = stretch.ended - stretch.done
    if not_done > goal.max_not_done_share * max(1, stretch.ended):
        return Judgement(Verdict.FAILED, f"{not_done} of {stretch.ended} not done")
    verdict = Verdict.FAILED if stretch.latency > goal.latency else Verdict.HELD
    return Judgement(verdict, f"{goal.quantile:.1%} within {stretch.latency / 10:.1f} ms")
