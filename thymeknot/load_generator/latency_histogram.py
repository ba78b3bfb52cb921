"""Latencies and outcomes of a stretch, in HDR histograms."""

import enum
from typing import Any

from hdrh.histogram import HdrHistogram

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .schedule import Request

MAX_LATENCY: Ticks = 10 * 60 * TICKS_PER_SECOND
"""Ten minutes, far beyond a client's patience; a longer latency counts as this one."""

SIGNIFICANT_DIGITS = 3
"""Of a latency: the histograms are exact to 0.1 %."""

PERCENTILES = {"p50": 50, "p90": 90, "p99": 99, "p999": 99.9, "max": 100}
"""The percentiles that are reported, by their keys."""


class Outcome(enum.StrEnum):
    """How a request ended: answered, rejected, failed, or without an answer in time."""

    DONE = "done"
    DEFERRED = "deferred"
    ABANDONED = "abandoned"
    LOST = "lost"


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)


def _record(histogram: HdrHistogram, ticks: Ticks) -> None:
    histogram.record_value(max(1, min(MAX_LATENCY, ticks)))


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """The reported percentiles in milliseconds."""
    return {
        name: round(histogram.get_value_at_percentile(percentile) / 10, 2)
        for name, percentile in PERCENTILES.items()
    }


class LoadStatistics:
    """What one stretch came to.

    Attributes:
        corrected: Latencies by class, from when a request was due, so that a stall counts for all
            requests that it held up.
        served: Latencies by class, from when a request was sent.
        all: Corrected latencies of all classes.
        late: The load tool's own delay in looking at requests that were due.
        outcomes: Requests by how they ended.
        due: Requests that were due.
        sent: Requests that were sent.
    """

    def __init__(self) -> None:
        self.corrected: dict[str, HdrHistogram] = {}
        self.served: dict[str, HdrHistogram] = {}
        self.all = _histogram()
        self.late = _histogram()
        self.outcomes = dict.fromkeys(Outcome, 0)
        self.due = 0
        self.sent = 0

    def record_due(self, now: Ticks, request: Request) -> None:
        """Counts a request that was due, and how late it is looked at."""
        self.due += 1
        _record(self.late, now - request.due)

    def record_end(self, now: Ticks, request: Request, sent_at: Ticks, outcome: Outcome) -> None:
        """Counts how a request ended; latencies are those of requests that were done."""
        self.outcomes[outcome] += 1
        if outcome is not Outcome.DONE:
            return
        name = request.request_class.name
        if name not in self.corrected:
            self.corrected[name] = _histogram()
            self.served[name] = _histogram()
        _record(self.corrected[name], now - request.due)
        _record(self.served[name], now - sent_at)
        _record(self.all, now - request.due)

    def to_report(self, seconds: float) -> dict[str, Any]:
        """The figures for people and programs; latencies are milliseconds.

        Args:
            seconds: The length of the stretch.
        """
        return {
            "seconds": seconds,
            "due": self.due,
            "sent": self.sent,
            "ends": {outcome.value: count for outcome, count in self.outcomes.items()},
            "done_per_s": round(self.outcomes[Outcome.DONE] / seconds, 1),
            "corrected_ms": _by_class(self.corrected),
            "served_ms": _by_class(self.served),
            "own_lateness_ms": _percentiles(self.late),
        }


def _by_class(histograms: dict[str, HdrHistogram]) -> dict[str, dict[str, float]]:
    return {name: _percentiles(histogram) for name, histogram in sorted(histograms.items())}
