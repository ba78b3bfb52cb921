"""Counts over all requests, whether stored or not, in bounded memory."""

from typing import Any, Final, Optional

from ddsketch import DDSketch

from ..interface.clock import Ticks
from ..interface.reasons import Reason
from .entry_codec import MAX_TEXT_LENGTH
from .heavy_hitters import HeavyHitters
from .regions import MAX_REQUEST_CLASSES

HITTER_COUNTERS: Final = 64
"""Counters for tenants, and as many for keys: enough for accurate estimates of the top ten."""
DURATION_SAMPLING_INTERVAL: Final = 8
"""One in this many durations is added to the sketch, which costs more than a counter."""
RELATIVE_ACCURACY: Final = 0.02
"""The relative error of the sketch's quantiles."""
QUANTILES: Final = (0.5, 0.9, 0.99)
REPORTED_HITTERS: Final = 10
"""The number of tenants and of keys that are reported."""
TICKS_PER_MILLISECOND: Final = 10
REJECTION_REASONS: Final = (Reason.DEFERRED, Reason.ABANDONED)
"""The reasons of final responses that carry no result."""


class Tallies:
    """Counts since the start of the process.

    Attributes:
        reason_counts: The number of occurrences of each reason, by the reason's number.
        end_counts: The number of finished requests by class and final reason (0 for none).
        duration_sketches: A sketch of the durations of each request class, in milliseconds.
        rejected_keys: The keys of rejected and failed requests.
        rejected_tenants: The tenants of rejected and failed requests.
    """

    def __init__(self) -> None:
        self.reason_counts = [0] * (max(Reason) + 1)
        self.end_counts: dict[tuple[str, int], int] = {}
        self.duration_sketches: dict[str, Any] = {}
        self.rejected_keys = HeavyHitters(HITTER_COUNTERS)
        self.rejected_tenants = HeavyHitters(HITTER_COUNTERS)

    def add_request(
        self, request_class: str, final_reason: int, duration: Ticks, is_known_class: bool
    ) -> None:
        """Counts a finished request; only known request classes get a sketch of durations."""
        outcome = request_class, final_reason
        count = self.end_counts[outcome] = self.end_counts.get(outcome, 0) + 1
        if count % DURATION_SAMPLING_INTERVAL == 1 and is_known_class:
            sketch = self.duration_sketches.get(request_class)
            if sketch is None and len(self.duration_sketches) < MAX_REQUEST_CLASSES:
                sketch = self.duration_sketches[request_class] = DDSketch(RELATIVE_ACCURACY)
            if sketch is not None:
                sketch.add(duration / TICKS_PER_MILLISECOND)

    def add_rejection(self, tenant: Optional[str], key: Optional[str]) -> None:
        """Counts the tenant and key of a rejected or failed request."""
        self.rejected_tenants.add((tenant or "")[:MAX_TEXT_LENGTH])
        if key:
            self.rejected_keys.add(key[:MAX_TEXT_LENGTH])

    def report(self) -> dict[str, Any]:
        """Returns the answer to the query `tally`."""
        return {
            "ends": [
                [request_class, Reason(final_reason).name if final_reason else "OPEN", count]
                for (request_class, final_reason), count in sorted(self.end_counts.items())
            ],
            "reasons": {
                Reason(reason).name: count
                for reason, count in enumerate(self.reason_counts)
                if count
            },
            "ms": {
                request_class: {
                    str(quantile): round(sketch.get_quantile_value(quantile), 1)
                    for quantile in QUANTILES
                }
                for request_class, sketch in self.duration_sketches.items()
            },
            "turned away, tenants": [
                list(hitter) for hitter in self.rejected_tenants.top(REPORTED_HITTERS)
            ],
            "turned away, keys": [
                list(hitter) for hitter in self.rejected_keys.top(REPORTED_HITTERS)
            ],
        }
