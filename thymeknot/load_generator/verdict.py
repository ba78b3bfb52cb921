"""Evaluates whether a run met its goal, or the load generator itself was too slow to tell."""

import enum
from typing import NamedTuple

from ..interface.clock import Ticks

MAX_OWN_DELAY_RATIO = 0.25
"""Maximum own delay relative to the goal's latency: beyond it a run does not measure the server."""

MIN_OWN_DELAY_LIMIT: Ticks = 20
"""Own delay tolerated for any goal, 2 ms: the machine's scheduling alone can cause it."""


class Verdict(enum.StrEnum):
    """Result of a run.

    HELD met the goal, FAILED did not; SATURATED means that the load generator was too slow itself.
    """

    HELD = "held"
    FAILED = "failed"
    SATURATED = "saturated"


HELD = Verdict.HELD
"""The verdict of a run that met its goal, as a constant for the `load` command."""


class Goal(NamedTuple):
    """What a run has to meet.

    Attributes:
        quantile: The quantile of the corrected latencies to compare.
        max_latency: Maximum of that quantile.
        max_not_done_share: Maximum share of requests with an outcome other than DONE.
    """

    quantile: float = 0.99
    max_latency: Ticks = 500
    max_not_done_share: float = 0.01


class RunSummary(NamedTuple):
    """Summary of one run.

    Attributes:
        rate: Scheduled requests per second.
        latency: The goal's quantile of the corrected latencies.
        done: Number of requests with the outcome DONE.
        ended: Number of requests that ended with any outcome.
        own_delay: 99th percentile of the load generator's own delay, from when a request is due
            until it is taken up. Time spent waiting for a connection after that is attributed to
            the server.
        due: Number of requests that became due.
    """

    rate: float
    latency: Ticks
    done: int
    ended: int
    own_delay: Ticks
    due: int


class Evaluation(NamedTuple):
    """A verdict with its reason.

    Attributes:
        verdict: The verdict.
        reason: The measurement that decided, as text.
    """

    verdict: Verdict
    reason: str


def evaluate(summary: RunSummary, goal: Goal) -> Evaluation:
    """Compares a run with the goal; the load generator's own delay is checked first."""
    if summary.own_delay > max(MIN_OWN_DELAY_LIMIT, MAX_OWN_DELAY_RATIO * goal.max_latency):
        reason = f"the load generator itself was {summary.own_delay / 10:.1f} ms late"
        return Evaluation(Verdict.SATURATED, reason)
    not_done = summary.ended - summary.done
    if not_done > goal.max_not_done_share * max(1, summary.ended):
        return Evaluation(Verdict.FAILED, f"{not_done} of {summary.ended} not done")
    verdict = Verdict.FAILED if summary.latency > goal.max_latency else Verdict.HELD
    return Evaluation(verdict, f"{goal.quantile:.1%} within {summary.latency / 10:.1f} ms")
