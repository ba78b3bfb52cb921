"""What this instance saw of endpoints itself."""

from collections.abc import Callable
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..state.sliding_window import SlidingWindow

WINDOW_BUCKETS = 10  # of the time that evidence counts
FRESH_BUCKETS = 3  # the latest of them are fresh
EVIDENCE_INTERVAL = 2 * TICKS_PER_SECOND  # between two words about one endpoint
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


class AttemptCounts(NamedTuple):
    """Attempts of late.

    Attributes:
        tried: Attempts that ended.
        failed: Those of them that failed.
    """

    attempts: int
    failures: int


class ObservedEndpoint:
    """An endpoint as this instance saw it.

    Attributes:
        key: The endpoint.
        count_tried: Counts an attempt that ended. Bound once, since each attempt comes here.
        count_failed: Counts one that failed.
        failed_at: When an attempt failed last.
        sent_at: When evidence about it was sent last.
        sent: The counts that were sent last.
        until: Until when it is suspected.
        times: How often it was suspected of late.
    """

    __slots__ = (
        "_attempts",
        "_failures",
        "count_attempt",
        "count_failure",
        "evidence_sent_at",
        "key",
        "last_failure_at",
        "sent_counts",
        "suspected_until",
        "suspicion_count",
    )

    def __init__(self, key: EndpointKey, span: Ticks) -> None:
        self.key = key
        self._attempts = SlidingWindow(span, WINDOW_BUCKETS)
        self._failures = SlidingWindow(span, WINDOW_BUCKETS)
        self.count_attempt: Callable[[Ticks], None] = self._attempts.add
        self.count_failure: Callable[[Ticks], None] = self._failures.add
        self.last_failure_at: Ticks = 0
        self.evidence_sent_at: Ticks = -EVIDENCE_INTERVAL
        self.sent_counts: AttemptCounts | None = None
        self.suspected_until: Ticks = 0
        self.suspicion_count = 0

    def counts(self, now: Ticks) -> AttemptCounts:
        """Returns the counts of all the time that evidence counts."""
        return AttemptCounts(int(self._attempts.total(now)), int(self._failures.total(now)))

    def fresh_counts(self, now: Ticks) -> AttemptCounts:
        """Returns the fresh counts."""
        attempts = self._attempts.total(now, False, FRESH_BUCKETS)
        return AttemptCounts(int(attempts), int(self._failures.total(now, False, FRESH_BUCKETS)))


class EndpointTotals:
    """The attempts at all endpoints together.

    Attributes:
        count_tried: Counts an attempt that ended. Bound once, since each attempt comes here.
        count_failed: Counts one that failed.
    """

    def __init__(self, span: Ticks) -> None:
        self._attempts = SlidingWindow(span, WINDOW_BUCKETS)
        self._failures = SlidingWindow(span, WINDOW_BUCKETS)
        self.count_attempt: Callable[[Ticks], None] = self._attempts.add
        self.count_failure: Callable[[Ticks], None] = self._failures.add

    def failure_rate_without(self, now: Ticks, observed: ObservedEndpoint) -> float | None:
        """Returns the rate of failures at the other endpoints, None after too few attempts."""
        own = observed.counts(now)
        attempts = int(self._attempts.total(now)) - own.attempts
        failures = int(self._failures.total(now)) - own.failures
        return (
            max(MIN_FAILURE_RATE, failures / attempts)
            if attempts >= MIN_ATTEMPTS_TO_COMPARE
            else None
        )
