"""What this instance saw of endpoints itself."""

from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..state.sliding_window import SlidingWindow

BUCKETS = 10  # of the time that evidence counts
FRESH_BUCKETS = 3  # the latest of them are fresh
SEND_INTERVAL = 2 * TICKS_PER_SECOND  # between two words about one endpoint
MIN_ATTEMPTS_TO_COMPARE = 4  # at the other endpoints, for their rate of failures to say something
MIN_FAILURE_RATE = 0.01  # of the other endpoints, so that a ratio to it makes sense


class EndpointKey(NamedTuple):
    """An endpoint. One that came back with another start or build is another.

    Attributes:
        id: Its id.
        address: Its address, or empty if addresses are not matched.
        build: Its build.
        started: Its start in Unix time, in ticks, 0 if not known.
    """

    id: str
    address: str
    build: int
    started: int


class Counts(NamedTuple):
    """Attempts of late.

    Attributes:
        tried: Attempts that ended.
        failed: Those of them that failed.
    """

    tried: int
    failed: int


class Observed:
    """An endpoint as this instance saw it.

    Attributes:
        key: The endpoint.
        failed_at: When an attempt failed last.
        sent_at: When evidence about it was sent last.
        sent: The counts that were sent last.
        until: Until when it is suspected.
        times: How often it was suspected of late.
    """

    __slots__ = ("_failed", "_tried", "failed_at", "key", "sent", "sent_at", "times", "until")

    def __init__(self, key: EndpointKey, span: Ticks) -> None:
        self.key = key
        self._tried = SlidingWindow(span, BUCKETS)
        self._failed = SlidingWindow(span, BUCKETS)
        self.failed_at: Ticks = 0
        self.sent_at: Ticks = -SEND_INTERVAL
        self.sent: Counts | None = None
        self.until: Ticks = 0
        self.times = 0

    def add(self, now: Ticks, failed: bool) -> None:
        """Counts an attempt that ended."""
        self._tried.add(now)
        if failed:
            self._failed.add(now)
            self.failed_at = now

    def counts(self, now: Ticks) -> Counts:
        """Returns the counts of all the time that evidence counts."""
        return Counts(int(self._tried.total(now)), int(self._failed.total(now)))

    def fresh_counts(self, now: Ticks) -> Counts:
        """Returns the fresh counts."""
        tried = self._tried.total(now, False, FRESH_BUCKETS)
        return Counts(int(tried), int(self._failed.total(now, False, FRESH_BUCKETS)))


class AllEndpoints:
    """The attempts at all endpoints together."""

    def __init__(self, span: Ticks) -> None:
        self._tried = SlidingWindow(span, BUCKETS)
        self._failed = SlidingWindow(span, BUCKETS)

    def add(self, now: Ticks, failed: bool) -> None:
        """Counts an attempt that ended."""
        self._tried.add(now)
        if failed:
            self._failed.add(now)

    def failure_rate_without(self, now: Ticks, observed: Observed) -> float | None:
        """Returns the rate of failures at the other endpoints, None after too few attempts."""
        own = observed.counts(now)
        tried = int(self._tried.total(now)) - own.tried
        failed = int(self._failed.total(now)) - own.failed
        return max(MIN_FAILURE_RATE, failed / tried) if tried >= MIN_ATTEMPTS_TO_COMPARE else None
