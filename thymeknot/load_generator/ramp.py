"""Which rate comes next: a search for the highest rate that holds. Pure."""

import enum
import math

from .verdict import Verdict


class RampState(enum.Enum):
    """Where the search is: no rate failed yet, between two rates, or at its end."""

    CLIMB = "climb"
    NARROW = "narrow"
    OVER = "over"


TRANSITIONS = {
    (RampState.CLIMB, Verdict.HELD): RampState.CLIMB,
    (RampState.CLIMB, Verdict.FAILED): RampState.NARROW,
    (RampState.CLIMB, Verdict.SATURATED): RampState.OVER,
    (RampState.NARROW, Verdict.HELD): RampState.NARROW,
    (RampState.NARROW, Verdict.FAILED): RampState.NARROW,
    (RampState.NARROW, Verdict.SATURATED): RampState.OVER,
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
        self, start: float, factor: float = 1.5, within: float = 0.05, most: float = 1e6
    ) -> None:
        """Begins a search.

        Args:
            start: The first rate.
            factor: By which the rate climbs.
            within: The gap that is narrow enough, as a share of the lowest rate that failed.
            most: The highest rate that is tried.
        """
        self.rate = float(start)
        self.factor = factor
        self.within = within
        self.most = most
        self.state = RampState.CLIMB
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
        if self.state == RampState.CLIMB:
            self._climb()
        elif self.state == RampState.NARROW:
            self._narrow()

    def _climb(self) -> None:
        self.rate = min(self.most, self.rate * self.factor)
        if self.highest_held_rate >= self.most:
            self.state = RampState.OVER

    def _narrow(self) -> None:
        gap = self.lowest_failed_rate - self.highest_held_rate
        if (
            gap <= self.within * self.lowest_failed_rate
            or self.lowest_failed_rate < MIN_FAILED_RATE
        ):
            self.state = RampState.OVER
        self.rate = (self.highest_held_rate + self.lowest_failed_rate) / 2
