"""Summarizes the logs of a fleet: rejections, votes, errors and streams, in total and over time.

Memory is bounded by the fixed set of events and by the numbers of intervals and sidecars.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, ClassVar, Final, NamedTuple, Optional

import orjson

from ..service.log_events import CURRENT_NAMES

MAX_BUSIEST_SIDECARS: Final = 5
"""The number of sidecars with the most rejections that are listed."""
MAX_INTERVALS: Final = 10_000
"""The maximum number of intervals; later events are counted in the last one."""
VERDICT_NAMES: Final = ("none", "on", "hold", "back")
"""The verdicts by their number in the event of a vote."""

Event = dict[str, Any]
"""The fields of a log event, with `event` (its name) and `at` (Unix time in seconds)."""


class Interval(NamedTuple):
    """An interval with at least one event."""

    begin: float
    """Start of the interval, in seconds since the first event."""
    counts: dict[str, int]
    """The counts by kind of event, highest first."""


def parse_event(line: bytes) -> Optional[Event]:
    """Returns the event in a log line, ignoring any prefix; None if there is none."""
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
    """Counts the events in log lines.

    Attributes:
        interval_seconds: The length of an interval.
        interval_counts: The counts of each interval, by its number since the Unix epoch.
        unreadable_lines: The number of lines without an event.
    """

    def __init__(self, interval_seconds: float = 5.0) -> None:
        self.interval_seconds = interval_seconds
        self.interval_counts: dict[int, Counter[str]] = {}
        self._first_at: Optional[float] = None
        self.unreadable_lines = 0
        self._start_count = 0
        self._sidecars: set[str] = set()
        self._rejections: Counter[str] = Counter()
        self._rejections_by_sidecar: Counter[str] = Counter()
        self._votes: Counter[str] = Counter()
        self._faults: Counter[str] = Counter()
        self._streams: Counter[str] = Counter()

    def feed(self, sidecar: str, line: bytes) -> None:
        """Counts a line from the log of a sidecar."""
        event = parse_event(line)
        if event is None:
            self.unreadable_lines += 1
            return
        self._sidecars.add(sidecar)
        name = CURRENT_NAMES.get(event["event"], event["event"])
        count = self._COUNTERS.get(name) if name else None
        if count:
            count(self, sidecar, event, self._interval_at(event["at"]))

    def _interval_at(self, time: float) -> Counter[str]:
        """Returns the counts of the interval that contains this time."""
        self._first_at = time if self._first_at is None else min(self._first_at, time)
        number = int(time // self.interval_seconds)
        if number not in self.interval_counts and len(self.interval_counts) >= MAX_INTERVALS:
            number = max(self.interval_counts)
        return self.interval_counts.setdefault(number, Counter())

    def _count_rejections(self, sidecar: str, event: Event, interval: Counter[str]) -> None:
        for answer in ("deferred", "abandoned"):
            counts = event.get(answer)
            for cause, count in counts.items() if isinstance(counts, dict) else ():
                if isinstance(count, int):
                    self._rejections[f"{answer} {cause}"] += count
                    interval[f"{answer} {cause}"] += count
                    self._rejections_by_sidecar[sidecar] += count

    def _count_vote(self, sidecar: str, event: Event, interval: Counter[str]) -> None:
        verdict: Any = event.get("verdict")
        outcome = str(event.get("outcome"))
        # A float or bool may equal an int, but can't index the table or is not a verdict.
        known = type(verdict) is int and 0 <= verdict < len(VERDICT_NAMES)
        name = VERDICT_NAMES[verdict] if known else "unknown"
        self._votes[f"{name} {outcome}"] += 1
        interval[f"vote {name} {outcome}"] += 1

    def _count_stream(self, sidecar: str, event: Event, interval: Counter[str]) -> None:
        """Counts the end of a stream, and whether the peer had refused it."""
        refusals = event.get("refusals")
        end = "refused" if isinstance(refusals, int) and refusals else "ended"
        if event["event"] == "stream silent":
            end = "silent"
        self._streams[end] += 1
        interval[f"stream {end}"] += 1

    def _count_start(self, sidecar: str, event: Event, interval: Counter[str]) -> None:
        self._start_count += 1
        interval["started"] += 1

    def _count_fault(self, sidecar: str, event: Event, interval: Counter[str]) -> None:
        self._faults[f"{event['event']} {event.get('at_line', '')}".strip()] += 1

    _COUNTERS: ClassVar[dict[str, Callable[["Summary", str, Event, Counter[str]], None]]] = {
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
        """Returns the totals over all lines."""
        votes = sum(self._votes.values())
        full = sum(count for name, count in self._votes.items() if name.endswith(" full"))
        return {
            "sidecars": len(self._sidecars),
            "starts": self._start_count,
            "streams": dict(self._streams.most_common()),
            "turned_away": dict(self._rejections.most_common()),
            "busiest": dict(self._rejections_by_sidecar.most_common(MAX_BUSIEST_SIDECARS)),
            "votes": dict(self._votes.most_common()),
            "votes_full_share": round(full / votes, 3) if votes else None,
            "faults": dict(self._faults),
            "unread_lines": self.unreadable_lines,
        }

    def intervals(self) -> Iterator[Interval]:
        """Yields the intervals with events, oldest first."""
        if self._first_at is None:
            return
        for number in sorted(self.interval_counts):
            counts = self.interval_counts[number]
            if counts:
                begin = round(number * self.interval_seconds - self._first_at, 1)
                yield Interval(begin, dict(counts.most_common()))
