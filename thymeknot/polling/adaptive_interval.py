"""The interval between the calls of one of many callers to a shared service.

A caller knows only the results of its own calls, but the total rate of all callers must fall if
the service is overloaded. On the other hand a caller must know of a change within a bound. The
waits are derived from it here, in one place: `IntervalLimits.longest_wait`. Times are ticks (tenths
of a millisecond). Sources: docs/design/vast.md, docs/design/late-lists.md.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks

# The regular interval is drawn between these two, so that callers do not synchronize.
MIN_REGULAR_INTERVAL: Ticks = 2_000
MAX_REGULAR_INTERVAL: Ticks = 8_000
# A change must be known this long after a shared service has it and can be reached.
SHARED_UPDATE_BOUND: Ticks = 6 * TICKS_PER_SECOND
# What a call to a shared service takes until its answer is applied.
SHARED_CALL_DURATION: Ticks = TICKS_PER_SECOND // 2
# Longest wait between calls to a shared service, so that updates arrive in time.
MAX_INTERVAL: Ticks = SHARED_UPDATE_BOUND - SHARED_CALL_DURATION
# After a failed call, what was listed this many poll times ago counts as known.
POLL_TIMES_AFTER_FAILED_CALL = 4
# A stream that is refused or malformed this long after its call, or later, was established.
ESTABLISHED_AFTER: Ticks = 2 * TICKS_PER_SECOND
# The first calls are spread over this time per caller: a shared service accepts one call from each
# caller in 2 to 8 s.
INITIAL_SPREAD_PER_CALLER: Ticks = 1_000
# All first calls are made within this time, as the list of the configuration may be old.
MAX_INITIAL_SPREAD: Ticks = MAX_INTERVAL
# Maximum doublings of the regular interval. It bounds the shift; the longest wait comes before it.
MAX_DOUBLINGS = 10
# Part of the longest wait that is drawn at random. Where most callers wait for the longest time, a
# larger part would raise the total rate of their calls.
LONGEST_WAIT_JITTER = 0.1
# The process may be held up this long between two steps.
MAX_STALL: Ticks = 1_500
# What a call to a service on the same machine takes, until its answer is applied.
DEDICATED_CALL_DURATION: Ticks = 250
# Shortest wait between calls to a dedicated service, however short the bound is.
MIN_DEDICATED_INTERVAL: Ticks = 100
# The bound is at most this: after silence, an attempt that fails and the next one must fit into the
# rest of the time.
MAX_DEDICATED_BOUND: Ticks = TICKS_PER_SECOND * 4 // 5


class IntervalLimits(NamedTuple):
    """The limits of the waits between the calls of one caller to one service, in ticks."""

    min_wait: Ticks
    """The shortest wait, whatever the bound is."""
    min_regular: Ticks
    """The shortest regular interval."""
    max_regular: Ticks
    """The longest regular interval."""
    update_bound: Ticks
    """How long after the service has a change, and can be reached, the change must be known."""
    call_duration: Ticks
    """What a call takes until its answer is applied."""
    established_after: Ticks
    """The age from which a stream that has delivered data counts as established."""
    first_refusal_doublings: int
    """How often the regular interval is doubled after the first refusal."""
    max_lost_doublings: int
    """How often it is doubled at most while calls are lost one after another."""

    def longest_wait(self, lasted: Ticks) -> Ticks:
        """Returns the longest wait after a call with which the update bound is kept.

        The service may have become reachable just after the call began, so the wait counts from
        then, and the next call still has to be answered within the bound. One that was held for
        long before it was refused leaves as much time for an answer that is held for as long.

        Args:
            lasted: Ticks from the beginning of the call to its end.
        """
        return max(self.min_wait, self.update_bound - self.call_duration - lasted)

    def connect_timeout(self, configured: Ticks) -> Ticks:
        """Returns the timeout of connecting: the configured one, or less if the bound is short.

        Half of the bound is left for the next call.
        """
        return min(configured, max(self.min_wait, self.update_bound // 2))


def shared_service_limits(poll_within: Ticks = 0) -> IntervalLimits:
    """Returns the limits for a service that all callers share.

    Args:
        poll_within: The time within which a caller must poll; 0 if there is none.
    """
    bound = SHARED_UPDATE_BOUND
    if poll_within:
        bound = min(bound, POLL_TIMES_AFTER_FAILED_CALL * poll_within)
    return IntervalLimits(
        min_wait=MIN_REGULAR_INTERVAL,
        min_regular=MIN_REGULAR_INTERVAL,
        max_regular=MAX_REGULAR_INTERVAL,
        update_bound=bound,
        call_duration=SHARED_CALL_DURATION,
        established_after=ESTABLISHED_AFTER,
        first_refusal_doublings=2,
        max_lost_doublings=0,
    )


def dedicated_service_limits(drain_grace: Ticks) -> IntervalLimits:
    """Returns the limits for a service that serves this caller alone; no other one is delayed.

    What such a service has counts as notified whether or not a stream is open, so the next stream
    must deliver it within the grace for a drain.

    Args:
        drain_grace: The grace, in ticks.
    """
    return IntervalLimits(
        min_wait=MIN_DEDICATED_INTERVAL,
        min_regular=TICKS_PER_SECOND // 40,
        max_regular=TICKS_PER_SECOND // 20,
        update_bound=max(0, min(MAX_DEDICATED_BOUND, drain_grace - MAX_STALL)),
        call_duration=DEDICATED_CALL_DURATION,
        established_after=TICKS_PER_SECOND // 2,
        first_refusal_doublings=0,
        max_lost_doublings=MAX_DOUBLINGS,
    )


SHARED_SERVICE = shared_service_limits()


class IntervalState(StrEnum):
    """The state of the service, as inferred from the last calls."""

    REGULAR = "regular"
    SUSPECT = "suspect"
    """One response was malformed."""
    BACKING_OFF = "backing off"


class CallResult(StrEnum):
    """How a call, or the stream that it opened, ended."""

    REFUSED = "refused"
    """The service ended or rejected it."""
    LOST = "lost"
    """No connection, or a silent one; no sign of overload."""
    MALFORMED = "malformed"
    ESTABLISHED = "established"
    """It had delivered data before it ended."""


# (state, result) -> next state, and the increment of the consecutive refusals (None resets them to
# 0). A refusal means that all callers together call too often; a lost connection does not, and
# changes nothing. One malformed response may be an exception; after a second one, two calls per
# second are too many for the service.
TRANSITIONS: dict[tuple[IntervalState, CallResult], tuple[IntervalState, int | None]] = {
    (IntervalState.REGULAR, CallResult.REFUSED): (IntervalState.BACKING_OFF, 1),
    (IntervalState.REGULAR, CallResult.LOST): (IntervalState.REGULAR, 0),
    (IntervalState.REGULAR, CallResult.ESTABLISHED): (IntervalState.REGULAR, 0),
    (IntervalState.BACKING_OFF, CallResult.REFUSED): (IntervalState.BACKING_OFF, 1),
    (IntervalState.BACKING_OFF, CallResult.LOST): (IntervalState.BACKING_OFF, 0),
    (IntervalState.BACKING_OFF, CallResult.ESTABLISHED): (IntervalState.REGULAR, None),
    (IntervalState.REGULAR, CallResult.MALFORMED): (IntervalState.SUSPECT, 0),
    (IntervalState.SUSPECT, CallResult.MALFORMED): (IntervalState.BACKING_OFF, 1),
    (IntervalState.BACKING_OFF, CallResult.MALFORMED): (IntervalState.BACKING_OFF, 1),
    (IntervalState.SUSPECT, CallResult.REFUSED): (IntervalState.BACKING_OFF, 1),
    (IntervalState.SUSPECT, CallResult.LOST): (IntervalState.SUSPECT, 0),
    (IntervalState.SUSPECT, CallResult.ESTABLISHED): (IntervalState.REGULAR, None),
}


class AdaptiveInterval:
    """The interval between one caller's calls to one service.

    Attributes:
        draw: Returns a random number between 0 and 1; seeded by the caller.
        limits: The limits of the waits.
        state: The state of the service, as inferred from the last calls.
        refusals: The number of consecutive refused calls.
        lost: The number of calls that were lost one after another.
    """

    def __init__(self, draw: Callable[[], float], limits: IntervalLimits = SHARED_SERVICE) -> None:
        self.draw = draw
        self.limits = limits
        self.state = IntervalState.REGULAR
        self.refusals = 0
        self.lost = 0

    def initial_wait(self, callers: int) -> Ticks:
        """Returns the wait in ticks before the first call, if `callers` start at once."""
        longest = self.limits.longest_wait(0)
        return int(self.draw() * min(longest, INITIAL_SPREAD_PER_CALLER * callers))

    def record(self, result: CallResult, age: Ticks = 0, lasted: Ticks = 0) -> Ticks:
        """Records how a call, or the stream that it opened, ended.

        Args:
            result: How it ended.
            age: Ticks since the call of a stream that has delivered data. A refusal or malformed
                data of an established stream is not a sign of overload.
            lasted: Ticks since the call if it has delivered no data.

        Returns:
            The wait in ticks before the next call.
        """
        is_established = age >= self.limits.established_after
        if result in (CallResult.REFUSED, CallResult.MALFORMED) and is_established:
            result = CallResult.ESTABLISHED
        self.state, increment = TRANSITIONS[self.state, result]
        self.refusals = 0 if increment is None else self.refusals + increment
        self.lost = self.lost + 1 if result == CallResult.LOST else 0
        return self.next_wait(lasted)

    def next_wait(self, lasted: Ticks = 0) -> Ticks:
        """Returns the wait in ticks before the next call: exponential backoff with jitter.

        The regular interval is doubled as often as the limits say after the first refusal, and once
        more with each further one, up to the longest wait. Lost calls in a row lengthen it less.

        Args:
            lasted: Ticks since the last call if it has delivered no data.
        """
        limits = self.limits
        wait = limits.min_regular + int(self.draw() * (limits.max_regular - limits.min_regular))
        lost_doublings = min(max(0, self.lost - 1), limits.max_lost_doublings)
        longest = limits.longest_wait(lasted)
        if self.state != IntervalState.BACKING_OFF:
            return min(wait << lost_doublings, longest)
        refusal_doublings = min(self.refusals - 1 + limits.first_refusal_doublings, MAX_DOUBLINGS)
        jitter = int(LONGEST_WAIT_JITTER * (longest + lasted) * (1 - self.draw()))
        return min(
            wait << max(lost_doublings, refusal_doublings), max(limits.min_wait, longest - jitter)
        )
