"""The usual latency and traffic of the whole fleet, learned from the platform's counts."""

from collections.abc import Iterator, Sequence
from math import inf
from typing import NamedTuple

from ..interface.clock import Ticks
from ..interface.events import FleetCounts


class ClassTotals(NamedTuple):
    """Totals of a request class over all builds."""

    succeeded: int
    mean_latency: float
    failed: int


class ClassBaseline(NamedTuple):
    """The usual latency and traffic of a request class."""

    outcomes: int
    """Successful attempts that it was learned from."""
    latency: float
    traffic: float
    """Attempts per period, over all request classes."""


class RelativeLoad(NamedTuple):
    """Attempts of a request class, with latency and traffic relative to the usual."""

    outcomes: int
    relative_latency: float
    relative_traffic: float


def totals_by_class(rows: Sequence[FleetCounts]) -> tuple[dict[str, ClassTotals], int]:
    """Returns the totals over all builds by request class, and the total number of attempts."""
    sums: dict[str, tuple[int, float, int]] = {}
    for row in rows:
        succeeded, latency_sum, failed = sums.get(row.request_class, (0, 0.0, 0))
        successes = row.attempts - row.failed
        sums[row.request_class] = (
            succeeded + successes,
            latency_sum + successes * row.latency,
            failed + row.failed,
        )
    totals = {
        request_class: ClassTotals(succeeded, latency_sum / max(1, succeeded), failed)
        for request_class, (succeeded, latency_sum, failed) in sums.items()
    }
    return totals, sum(row.attempts for row in rows)


class FleetBaseline:
    """Learns the usual latency and traffic of the fleet from the platform's periodic counts.

    Attributes:
        request_classes: Baselines by request class name.
        outcomes: Successful attempts that all baselines were learned from.
        last_period_end: End of the last reported period; None before the first.
        period: Duration of a period in ticks; 0 if not known yet.
    """

    def __init__(self) -> None:
        self.request_classes: dict[str, ClassBaseline] = {}
        self.outcomes = 0
        self.last_period_end: Ticks | None = None
        self.period: Ticks = 0

    def record_period(self, period_end: Ticks) -> Ticks:
        """Records the end of a period; returns its start, which is the end of the one before."""
        period_start = self.last_period_end if self.last_period_end is not None else period_end
        self.last_period_end = period_end
        # A period may be missed, so the shortest one seen is the duration.
        self.period = (
            min(self.period or period_end - period_start, period_end - period_start) or self.period
        )
        return period_start

    def awaits_counts(self, earliest_end: float, now: Ticks, max_periods: int) -> bool:
        """Returns whether the counts of a period that ends at `earliest_end` or later are expected.

        Args:
            earliest_end: The earliest end of the period to wait for.
            now: The current time.
            max_periods: Number of periods without counts after which none are awaited.
        """
        return (
            self.last_period_end is not None
            and self.last_period_end < earliest_end
            and now < self.last_period_end + max_periods * self.period
        )

    def compare(self, rows: Sequence[FleetCounts]) -> Iterator[RelativeLoad]:
        """Compares counts with the baselines; the ratio is 1 for a class without a baseline.

        Yields two results per request class: one for successful attempts and one for failed
        attempts, whose latency counts as infinite.
        """
        totals, all_attempts = totals_by_class(rows)
        for request_class, (succeeded, mean, failed) in totals.items():
            usual = self.request_classes.get(request_class, ClassBaseline(0, mean, all_attempts))
            relative_traffic = all_attempts / usual.traffic
            yield RelativeLoad(succeeded, mean / max(1.0, usual.latency), relative_traffic)
            yield RelativeLoad(failed, inf, relative_traffic)

    def update(self, rows: Sequence[FleetCounts], gain: float) -> None:
        """Updates the baselines with the counts of a period.

        Args:
            rows: The counts.
            gain: Minimum weight of a period; the first periods are weighted by their outcomes.
        """
        totals, all_attempts = totals_by_class(rows)
        for request_class, (succeeded, mean, _) in totals.items():
            outcomes, usual, traffic = self.request_classes.get(
                request_class, ClassBaseline(0, mean, all_attempts)
            )
            weight = max(gain, succeeded / max(1, outcomes + succeeded))
            self.request_classes[request_class] = ClassBaseline(
                outcomes + succeeded,
                usual + weight * (mean - usual),
                traffic + weight * (all_attempts - traffic),
            )
            self.outcomes += succeeded
