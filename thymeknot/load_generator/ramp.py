"""Which rate comes next: a search for the highest rate that holds. Pure."""

import enum
import math

from .verdict import Verdict


class RampState(enum.Enum):
    """Where the search is: no rate failed yet, between two rates, or at its end."""

    CLIMBING = "climb"
    BISECTING = "narrow"
    FINISHED = "over"


TRANSITIONS = {
    (RampState.CLIMBING, Verdict.HELD): RampState.CLIMBING,
    (RampState.CLIMBING, Verdict.FAILED): RampState.BISECTING,
    (RampState.CLIMBING, Verdict.SATURATED): RampState.FINISHED,
    (RampState.BISECTING, Verdict.HELD): RampState.BISECTING,
    (RampState.BISECTING, Verdict.FAILED): RampState.BISECTING,
    (RampState.BISECTING, Verdict.SATURATED): RampState.FINISHED,
}
"""The next state; a load tool that is saturated says nothing of the server, so the search ends."""

MIN_FAILED_RATE = 1
"""Requests a second: a search that fails below this rate ends, since halving would never do."""


class Ramp:
    """Climbs by a factor until a goal fails, then halves the gap until it is narrow enough.

    Attributes:
        rate: The rate of the next stretch, in requests a second.
        state: Where the search is.
        highest_held_rate: The highest rate that held.
        lowest_failed_rate: The lowest rate that failed.
        reason: The reason of the last verdict.
    """

    def __init__(
        self,
        start_rate: float,
        growth_factor: float = 1.5,
        relative_gap: float = 0.05,
        max_rate: float = 1e6,
    ) -> None:
        """Begins a search.

        Args:
            start_rate: The first rate.
            growth_factor: By which the rate climbs.
            relative_gap: The gap that is narrow enough, as a share of the lowest rate that failed.
            max_rate: The highest rate that is tried.
        """
        self.rate = float(start_rate)
        self.growth_factor = growth_factor
        self.relative_gap = relative_gap
        self.max_rate = max_rate
        self.state = RampState.CLIMBING
        self.highest_held_rate = 0.0
        self.lowest_failed_rate = math.inf
        self.reason = "not begun"

    def record(self, verdict: Verdict, reason: str) -> None:
        """Takes what the stretch at `rate` showed, and sets the next rate or the end."""
        self.reason = reason
        if verdict == Verdict.HELD:
            self.highest_held_rate = max(self.highest_held_rate, self.rate)
        elif verdict == Verdict.FAILED:
            self.lowest_failed_rate = min(self.lowest_failed_rate, self.rate)
        self.state = TRANSITIONS[self.state, verdict]
        if self.state == RampState.CLIMBING:
            self._raise_rate()
        elif self.state == RampState.BISECTING:
            self._bisect()

    def _raise_rate(self) -> None:
        self.rate = min(self.max_rate, self.rate * self.growth_factor)
        if self.highest_held_rate >= self.max_rate:
            self.state = RampState.FINISHED

    def _bisect(self) -> None:
        gap = self.lowest_failed_rate - self.highest_held_rate
        if (
            gap <= self.relative_gap * self.lowest_failed_rate
            or self.lowest_failed_rate < MIN_FAILED_RATE
        ):
            self.state = RampState.FINISHED
        self.rate = (self.highest_held_rate + self.lowest_failed_rate) / 2
