"""Search for the highest rate that meets the goal. Free of I/O and clocks."""

import enum
import math

from .verdict import Verdict


class RampState(enum.Enum):
    """State of the search.

    CLIMBING until a rate fails, BISECTING between a held and a failed rate, FINISHED at the end.
    """

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
"""State after a run; the search ends when the load generator is saturated: it measures itself."""

MIN_FAILED_RATE = 1
"""Requests per second. The search ends if a lower rate fails: bisection would go on forever."""


class Ramp:
    """Raises the rate by a factor until a run fails, then bisects until the gap is small enough.

    Rates are in requests per second.

    Attributes:
        rate: Rate of the next run.
        state: State of the search.
        highest_held_rate: The highest rate that met the goal; 0 if none did.
        lowest_failed_rate: The lowest rate that failed; infinite if none did.
        reason: Reason for the last verdict.
    """

    def __init__(
        self,
        start_rate: float,
        growth_factor: float = 1.5,
        relative_gap: float = 0.05,
        max_rate: float = 1e6,
    ) -> None:
        """Starts a search.

        Args:
            start_rate: The first rate.
            growth_factor: Factor by which the rate rises while no run has failed.
            relative_gap: The search ends when the gap between the highest held and the lowest
                failed rate is at most this share of the latter.
            max_rate: The highest rate to try.
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
        """Records the verdict of the run at `rate`; sets the next rate, or finishes the search."""
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
