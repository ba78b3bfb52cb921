"""The interval between the calls of one of many callers to a shared service.

A caller knows only the results of its own calls, but the total rate of all callers must fall if
the service is overloaded. Times are ticks (tenths of a millisecond). Source: docs/design/vast.md.
"""

from collections.abc import Callable
from enum import StrEnum

from ..interface.clock import TICKS_PER_SECOND, Ticks

# The regular interval is drawn between these two, so that callers do not synchronize.
MIN_REGULAR_INTERVAL: Ticks = 2_000
MAX_REGULAR_INTERVAL: Ticks = 8_000
# Longest wait between calls to a shared service, so that updates still arrive.
MAX_INTERVAL: Ticks = 8 * TICKS_PER_SECOND
# The same for a service that serves this caller alone, so that a call delays no other caller.
MAX_DEDICATED_INTERVAL: Ticks = TICKS_PER_SECOND
# A stream that is refused or malformed this long after its call, or later, was established.
ESTABLISHED_AFTER: Ticks = 2 * TICKS_PER_SECOND
# The first calls are spread over this time per caller: a shared service accepts one call from each
# caller in 2 to 8 s.
INITIAL_SPREAD_PER_CALLER: Ticks = 1_000
# All first calls are made within this time: the service sends its counts after 6 s.
MAX_INITIAL_SPREAD: Ticks = 6 * TICKS_PER_SECOND
# Maximum doublings of the regular interval. It bounds the shift; MAX_INTERVAL is reached before.
MAX_DOUBLINGS = 10


class IntervalState(StrEnum):
    """The state of the service, as inferred from the last calls."""

    REGULAR = "fresh"
    SUSPECT = "warned"
    """One response was malformed."""
    BACKING_OFF = "turned away"


class CallResult(StrEnum):
    """How a call, or the stream that it opened, ended."""

    REFUSED = "refused"
    """The service ended or rejected it."""
    LOST = "lost"
    """No connection, or a silent one; no sign of overload."""
    MALFORMED = "spoilt"
    ESTABLISHED = "stood"
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
        max_interval: The longest interval while backing off, in ticks.
        state: The state of the service, as inferred from the last calls.
        refusals: The number of consecutive refused calls.
    """

    def __init__(self, draw: Callable[[], float], max_interval: Ticks = MAX_INTERVAL) -> None:
        self.draw = draw
        self.max_interval = max_interval
        self.state = IntervalState.REGULAR
        self.refusals = 0

    def initial_wait(self, callers: int) -> Ticks:
        """Returns the wait in ticks before the first call, if `callers` start at once."""
        return int(self.draw() * min(MAX_INITIAL_SPREAD, INITIAL_SPREAD_PER_CALLER * callers))

    def record(self, result: CallResult, age: Ticks = 0) -> Ticks:
        """Records how a call, or the stream that it opened, ended.

        Args:
            result: How it ended.
            age: Ticks since the call. A refusal or malformed data after ESTABLISHED_AFTER is
                not a sign of overload.

        Returns:
            The wait in ticks before the next call.
        """
        if result in (CallResult.REFUSED, CallResult.MALFORMED) and age >= ESTABLISHED_AFTER:
            result = CallResult.ESTABLISHED
        self.state, increment = TRANSITIONS[self.state, result]
        self.refusals = 0 if increment is None else self.refusals + increment
        return self.next_wait()

    def next_wait(self) -> Ticks:
        """Returns the wait in ticks before the next call: exponential backoff with jitter.

        It is four times the regular interval after the first refusal and doubles with each further
        one, up to `max_interval`.
        """
        wait = MIN_REGULAR_INTERVAL + int(
            self.draw() * (MAX_REGULAR_INTERVAL - MIN_REGULAR_INTERVAL)
        )
        if self.state != IntervalState.BACKING_OFF:
            return wait
        return min(
            wait << min(self.refusals + 1, MAX_DOUBLINGS),
            int(self.max_interval * (0.5 + self.draw() / 2)),
        )
