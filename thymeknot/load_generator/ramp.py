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
        held: The highest rate that held.
        failed: The lowest rate that failed.
        why: The reason of the last verdict.
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
        self.held = 0.0
        self.failed = math.inf
        self.why = "not begun"

    def record(self, verdict: Verdict, why: str) -> None:
        """Takes what the stretch at `rate` showed, and sets the next rate or the end."""
        self.why = why
        if verdict == Verdict.HELD:
            self.held = max(self.held, self.rate)
        elif verdict == Verdict.FAILED:
            self.failed = min(self.failed, self.rate)
        self.state = TRANSITIONS[self.state, verdict]
        if self.state == RampState.CLIMB:
            self._climb()
        elif self.state == RampState.NARROW:
            self._narrow()

    def _climb(self) -> None:
        self.rate = min(self.most, self.rate * self.factor)
        if self.held >= self.most:
            self.state = RampState.OVER

    def _narrow(self) -> None:
        gap = self.failed - self.held
        if gap <= self.within * self.failed or self.failed < MIN_FAILED_RATE:
            self.state = RampState.OVER
        self.rate = (self.held + self.failed) / 2
