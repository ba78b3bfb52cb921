"""Latencies and outcomes of a run, in HDR histograms."""

import enum
from typing import Any

from hdrh.histogram import HdrHistogram

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .schedule import Request

MAX_LATENCY: Ticks = 10 * 60 * TICKS_PER_SECOND
"""Ten minutes, far above any client timeout; longer latencies are recorded as this value."""

SIGNIFICANT_DIGITS = 3
"""Significant decimal digits of a latency: the histograms have a relative error of 0.1 %."""

PERCENTILES = {"p50": 50, "p90": 90, "p99": 99, "p999": 99.9, "max": 100}
"""The reported percentiles by their keys in the report."""


class Outcome(enum.StrEnum):
    """How a request ended.

    DONE is a success, DEFERRED a rejection (BUSY), ABANDONED a failure, LOST no response in time.
    """

    DONE = "done"
    DEFERRED = "deferred"
    ABANDONED = "abandoned"
    LOST = "lost"


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)


def _record_latency(histogram: HdrHistogram, ticks: Ticks) -> None:
    histogram.record_value(max(1, min(MAX_LATENCY, ticks)))


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Returns the reported percentiles in milliseconds."""
    return {
        name: round(histogram.get_value_at_percentile(percentile) / 10, 2)
        for name, percentile in PERCENTILES.items()
    }


class LoadStatistics:
    """Latencies and counts of one run.

    Attributes:
        corrected_by_class: Latencies by request class, measured from when a request was due, so
            that a stall counts for every request that it delayed (no coordinated omission).
        served_by_class: Latencies by request class, measured from when a request was sent.
        corrected_all: Corrected latencies of all request classes.
        own_delay: How late the load generator took up requests that were due.
        outcomes: Number of requests by outcome.
        due_count: Number of requests that became due.
        sent_count: Number of requests sent.
    """

    def __init__(self) -> None:
        self.corrected_by_class: dict[str, HdrHistogram] = {}
        self.served_by_class: dict[str, HdrHistogram] = {}
        self.corrected_all = _histogram()
        self.own_delay = _histogram()
        self.outcomes = dict.fromkeys(Outcome, 0)
        self.due_count = 0
        self.sent_count = 0

    def record_due(self, now: Ticks, request: Request) -> None:
        """Counts a request that became due, and records how late it is taken up."""
        self.due_count += 1
        _record_latency(self.own_delay, now - request.due)

    def record_end(self, now: Ticks, request: Request, sent_at: Ticks, outcome: Outcome) -> None:
        """Counts the outcome of a request; records its latencies only if it is DONE."""
        self.outcomes[outcome] += 1
        if outcome is not Outcome.DONE:
            return
        name = request.request_class.name
        if name not in self.corrected_by_class:
            self.corrected_by_class[name] = _histogram()
            self.served_by_class[name] = _histogram()
        _record_latency(self.corrected_by_class[name], now - request.due)
        _record_latency(self.served_by_class[name], now - sent_at)
        _record_latency(self.corrected_all, now - request.due)

    def to_report(self, seconds: float) -> dict[str, Any]:
        """Returns the report as JSON-compatible values; latencies are in milliseconds.

        Args:
            seconds: Duration of the run.
        """
        return {
            "seconds": seconds,
            "due": self.due_count,
            "sent": self.sent_count,
            "ends": {outcome.value: count for outcome, count in self.outcomes.items()},
            "done_per_s": round(self.outcomes[Outcome.DONE] / seconds, 1),
            "corrected_ms": _by_class(self.corrected_by_class),
            "served_ms": _by_class(self.served_by_class),
            "own_lateness_ms": _percentiles(self.own_delay),
        }


def _by_class(histograms: dict[str, HdrHistogram]) -> dict[str, dict[str, float]]:
    return {name: _percentiles(histogram) for name, histogram in sorted(histograms.items())}
