"""Sums up the logs of a fleet: why requests were rejected, how votes fared, what faulted, and when.

Lines come in, counts go out. Memory is bounded by the events' closed tables and by the numbers of
stretches of time and of sidecars.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, ClassVar, Final, NamedTuple, Optional

import orjson

from ..service.log_events import CURRENT_NAMES

BUSIEST: Final = 5
"""Sidecars that are named."""
MAX_STRETCHES: Final = 10_000
"""Stretches of time that are kept; what is later counts in the last one."""
VERDICTS: Final = ("none", "on", "hold", "back")
"""By the number that a vote's event carries."""

Event = dict[str, Any]
"""A logged event's fields, with `event` (its name) and `at` (Unix time in seconds)."""


class Stretch(NamedTuple):
    """A stretch of time in which something happened."""

    begin: float
    """Seconds since the first event."""
    counts: dict[str, int]
    """The most frequent first."""


def event_of(line: bytes) -> Optional[Event]:
    """Returns the event of a log line, whatever stands before it; None if there is none."""
    begin = line.find(b"{")
    if begin < 0:
        return None
    try:
        event = orjson.loads(line[begin:])
    except orjson.JSONDecodeError:
        return None
    if (
        isinstance(event, dict)
        and isinstance(event.get("event"), str)
        and isinstance(event.get("at"), (int, float))
    ):
        return event
    return None


class Summary:
    """Counts over the lines that it is fed.

    Attributes:
        stretch_seconds: How long a stretch of time is.
        stretch_counts: The counts of each stretch, by its place in time.
        unread: Lines that hold no event.
    """

    def __init__(self, stretch_seconds: float = 5.0) -> None:
        self.stretch_seconds = stretch_seconds
        self.stretch_counts: dict[int, Counter[str]] = {}
        self._first_at: Optional[float] = None
        self.unread = 0
        self._starts = 0
        self._sidecars: set[str] = set()
        self._rejections: Counter[str] = Counter()
        self._rejections_by_sidecar: Counter[str] = Counter()
        self._votes: Counter[str] = Counter()
        self._faults: Counter[str] = Counter()
        self._streams: Counter[str] = Counter()

    def feed(self, sidecar: str, line: bytes) -> None:
        """Counts a line of a sidecar's log."""
        event = event_of(line)
        if event is None:
            self.unread += 1
            return
        self._sidecars.add(sidecar)
        name = CURRENT_NAMES.get(event["event"], event["event"])
        count = self._COUNTED.get(name) if name else None
        if count:
            count(self, sidecar, event, self._stretch(event["at"]))

    def _stretch(self, at: float) -> Counter[str]:
        """Returns the counts of the stretch in which this was."""
        self._first_at = at if self._first_at is None else min(self._first_at, at)
        place = int(at // self.stretch_seconds)
        if place not in self.stretch_counts and len(self.stretch_counts) >= MAX_STRETCHES:
            place = max(self.stretch_counts)
        return self.stretch_counts.setdefault(place, Counter())

    def _count_rejections(self, sidecar: str, event: Event, stretch: Counter[str]) -> None:
        for answer in ("deferred", "abandoned"):
            counts = event.get(answer)
            for cause, count in counts.items() if isinstance(counts, dict) else ():
                if isinstance(count, int):
                    self._rejections[f"{answer} {cause}"] += count
                    stretch[f"{answer} {cause}"] += count
                    self._rejections_by_sidecar[sidecar] += count

    def _count_vote(self, sidecar: str, event: Event, stretch: Counter[str]) -> None:
        verdict: Any = event.get("verdict")
        outcome = str(event.get("outcome"))
        # A float or a bool equals a number of the table and is none.
        known = type(verdict) is int and 0 <= verdict < len(VERDICTS)
        name = VERDICTS[verdict] if known else "unknown"
        self._votes[f"{name} {outcome}"] += 1
        stretch[f"vote {name} {outcome}"] += 1

    def _count_stream(self, sidecar: str, event: Event, stretch: Counter[str]) -> None:
        """Counts the end of a stream, and whether the peer had refused the request for it."""
        refusals = event.get("refusals")
        end = "refused" if isinstance(refusals, int) and refusals else "ended"
        if event["event"] == "stream silent":
            end = "silent"
        self._streams[end] += 1
        stretch[f"stream {end}"] += 1

    def _count_start(self, sidecar: str, event: Event, stretch: Counter[str]) -> None:
        self._starts += 1
        stretch["started"] += 1

    def _count_fault(self, sidecar: str, event: Event, stretch: Counter[str]) -> None:
        self._faults[f"{event['event']} {event.get('at_line', '')}".strip()] += 1

    _COUNTED: ClassVar[dict[str, Callable[["Summary", str, Event, Counter[str]], None]]] = {
        "requests rejected": _count_rejections,
        "vote": _count_vote,
        "fault": _count_fault,
        "request overdue": _count_fault,
        "stream ended": _count_stream,
        "stream silent": _count_stream,
        "endpoint list not fetched": _count_stream,
        "ready": _count_start,
    }

    def figures(self) -> dict[str, Any]:
        """Returns the sums over all lines."""
        votes = sum(self._votes.values())
        full = sum(count for name, count in self._votes.items() if name.endswith(" full"))
        return {
            "sidecars": len(self._sidecars),
            "starts": self._starts,
            "streams": dict(self._streams.most_common()),
            "turned_away": dict(self._rejections.most_common()),
            "busiest": dict(self._rejections_by_sidecar.most_common(BUSIEST)),
            "votes": dict(self._votes.most_common()),
            "votes_full_share": round(full / votes, 3) if votes else None,
            "faults": dict(self._faults),
            "unread_lines": self.unread,
        }

    def stretches(self) -> Iterator[Stretch]:
        """Yields each stretch in which something happened, the first one first."""
        if self._first_at is None:
            return
        for place in sorted(self.stretch_counts):
            counts = self.stretch_counts[place]
            if counts:
                begin = round(place * self.stretch_seconds - self._first_at, 1)
                yield Stretch(begin, dict(counts.most_common()))
