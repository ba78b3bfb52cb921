"""Counts of this instance's own attempts at endpoints."""

from collections.abc import Callable
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..state.sliding_window import SlidingWindow

WINDOW_BUCKETS = 10  # of the window, which is as long as evidence is valid
FRESH_BUCKETS = 3  # the latest buckets, whose counts are fresh
EVIDENCE_INTERVAL = 2 * TICKS_PER_SECOND  # between evidence about the same endpoint
MIN_ATTEMPTS_TO_COMPARE = 4  # at the other endpoints, for a failure rate
MIN_FAILURE_RATE = 0.01  # assumed of the other endpoints, so that a ratio to it is defined


class EndpointKey(NamedTuple):
    """Identifies an endpoint. After a restart or a new build it is a different endpoint.

    Attributes:
        id: Endpoint id.
        address: Address, empty if addresses are not matched.
        build: Build.
        started: Unix time of its start, in ticks, or 0 if unknown.
    """

    id: str
    address: str
    build: int
    started: int


class AttemptCounts(NamedTuple):
    """Recent attempts.

    Attributes:
        attempts: Number of attempts that ended.
        failures: Number of those attempts that failed.
    """

    attempts: int
    failures: int


class ObservedEndpoint:
    """An endpoint with the counts of this instance's attempts and its suspicion.

    Attributes:
        key: Identifies the endpoint.
        count_attempt: Counts an attempt that ended. A bound method, looked up once because it is
            called for each attempt.
        count_failure: Counts an attempt that failed.
        last_failure_at: When an attempt last failed.
        evidence_sent_at: When evidence about it was last sent.
        sent_counts: Counts in the evidence that was last sent.
        suspected_until: When its latest suspicion ends.
        suspicion_count: Number of recent suspicions.
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
        """Returns the counts over the whole window."""
        return AttemptCounts(int(self._attempts.total(now)), int(self._failures.total(now)))

    def fresh_counts(self, now: Ticks) -> AttemptCounts:
        """Returns the counts in the latest `FRESH_BUCKETS`."""
        attempts = self._attempts.total(now, False, FRESH_BUCKETS)
        return AttemptCounts(int(attempts), int(self._failures.total(now, False, FRESH_BUCKETS)))


class EndpointTotals:
    """Counts of this instance's attempts at all endpoints together.

    Attributes:
        count_attempt: Counts an attempt that ended. A bound method, looked up once because it is
            called for each attempt.
        count_failure: Counts an attempt that failed.
    """

    def __init__(self, span: Ticks) -> None:
        self._attempts = SlidingWindow(span, WINDOW_BUCKETS)
        self._failures = SlidingWindow(span, WINDOW_BUCKETS)
        self.count_attempt: Callable[[Ticks], None] = self._attempts.add
        self.count_failure: Callable[[Ticks], None] = self._failures.add

    def failure_rate_without(self, now: Ticks, observed: ObservedEndpoint) -> float | None:
        """Returns the failure rate of the other endpoints, or None after too few attempts."""
        own_counts = observed.counts(now)
        attempts = int(self._attempts.total(now)) - own_counts.attempts
        failures = int(self._failures.total(now)) - own_counts.failures
        return (
            max(MIN_FAILURE_RATE, failures / attempts)
            if attempts >= MIN_ATTEMPTS_TO_COMPARE
            else None
        )
