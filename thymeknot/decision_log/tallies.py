"""Sums over all transactions, recorded or not, in bounded memory."""

from typing import Any, Final, Optional

from ddsketch import DDSketch

from ..interface.clock import Ticks
from ..interface.reasons import Reason
from .entry_codec import MAX_TEXT_LENGTH
from .heavy_hitters import HeavyHitters
from .regions import MAX_REQUEST_CLASSES

HITTER_COUNTERS: Final = 64
"""For tenants, and as many for keys: the ten that are shown are exact enough by that."""
TIMED_ONE_IN: Final = 8
"""One end in so many goes into the sketch of durations, which costs more than a count."""
RELATIVE_ACCURACY: Final = 0.02
"""Of the sketch's quantiles."""
QUANTILES: Final = (0.5, 0.9, 0.99)
SHOWN_HITTERS: Final = 10
TICKS_PER_MILLISECOND: Final = 10
REJECTIONS: Final = (Reason.DEFERRED, Reason.ABANDONED)
"""Final answers that are no results."""


class Tallies:
    """Counts since the start.

    Attributes:
        reasons: How often each reason was named, by its number.
        ends: How many transactions of a request class ended with a reason (0: with none).
        durations: The sketch of each request class, in milliseconds.
        keys: Those of rejected transactions.
        tenants: Those of rejected transactions.
    """

    def __init__(self) -> None:
        self.reasons = [0] * (max(Reason) + 1)
        self.ends: dict[tuple[str, int], int] = {}
        self.durations: dict[str, Any] = {}
        self.keys = HeavyHitters(HITTER_COUNTERS)
        self.tenants = HeavyHitters(HITTER_COUNTERS)

    def add_end(self, request_class: str, end: int, took: Ticks, known: bool) -> None:
        """Counts the end of a transaction; durations are kept of known request classes only."""
        group = request_class, end
        count = self.ends[group] = self.ends.get(group, 0) + 1
        if count % TIMED_ONE_IN == 1 and known:
            sketch = self.durations.get(request_class)
            if sketch is None and len(self.durations) < MAX_REQUEST_CLASSES:
                sketch = self.durations[request_class] = DDSketch(RELATIVE_ACCURACY)
            if sketch is not None:
                sketch.add(took / TICKS_PER_MILLISECOND)

    def add_rejection(self, tenant: Optional[str], key: Optional[str]) -> None:
        """Counts whose transaction was rejected."""
        self.tenants.add((tenant or "")[:MAX_TEXT_LENGTH])
        if key:
            self.keys.add(key[:MAX_TEXT_LENGTH])

    def shown(self) -> dict[str, Any]:
        """Returns the answer to `tally`."""
        return {
            "ends": [
                [request_class, Reason(end).name if end else "OPEN", count]
                for (request_class, end), count in sorted(self.ends.items())
            ],
            "reasons": {
                Reason(reason).name: count for reason, count in enumerate(self.reasons) if count
            },
            "ms": {
                request_class: {
                    str(quantile): round(sketch.get_quantile_value(quantile), 1)
                    for quantile in QUANTILES
                }
                for request_class, sketch in self.durations.items()
            },
            "turned away, tenants": [list(hitter) for hitter in self.tenants.top(SHOWN_HITTERS)],
            "turned away, keys": [list(hitter) for hitter in self.keys.top(SHOWN_HITTERS)],
        }
