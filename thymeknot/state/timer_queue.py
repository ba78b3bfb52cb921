"""All timers of the program, in one priority queue. Times are ticks."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

from ..interface.clock import TICKS_PER_SECOND, Ticks

# Cancelled timers that stay in the queue at least before it is swept, which costs its whole length.
SWEEP_THRESHOLD = 256


class TimerQueue:
    """Makes calls at their time, in the order of time and then of being asked for.

    Attributes:
        clock: Gives the time in ticks; it is monotonic.
        wake: wake(seconds, call, *arguments) has the event loop make a call later.
        fault: fault(where, error) is told of an error that a call raises.
        pending: The call and its arguments of each timer that waits, by the timer's number.
    """

    def __init__(
        self,
        clock: Callable[[], Ticks],
        wake: Callable[..., object],
        fault: Callable[[str, Exception], object],
    ) -> None:
        self.clock = clock
        self.wake = wake
        self.fault = fault
        self.pending: dict[int, tuple[Callable[..., object], tuple[Any, ...]]] = {}
        self._heap: list[tuple[Ticks, int]] = []  # the time and number of each, cancelled ones too
        self._number = 0  # of the newest timer
        self._woken_for: Ticks | None = None  # the time for which the event loop was asked to wake

    def add(self, at: Ticks, call: Callable[..., object], *arguments: Any) -> int:
        """Has a call made at this time; returns the timer's number."""
        self._number += 1
        self.pending[self._number] = (call, arguments)
        heappush(self._heap, (at, self._number))
        self._schedule_wake()
        return self._number

    def cancel(self, number: int | None) -> None:
        """Cancels a timer; does nothing where there is none, or none any more."""
        if number is None or not self.pending.pop(number, None):
            return
        if len(self._heap) > SWEEP_THRESHOLD + 2 * len(self.pending):
            self._heap = [entry for entry in self._heap if entry[1] in self.pending]
            heapify(self._heap)

    def _schedule_wake(self) -> None:
        if self._heap and (self._woken_for is None or self._heap[0][0] < self._woken_for):
            self._woken_for = self._heap[0][0]
            self.wake(
                max(0, self._woken_for - self.clock()) / TICKS_PER_SECOND,
                self._woken,
                self._woken_for,
            )

    def _woken(self, woken_for: Ticks) -> None:
        # Once more round the event loop: data that has come is read before a timer says that it
        # has not.
        if woken_for == self._woken_for:
            self.wake(0, self._run_due, woken_for)

    def _run_due(self, woken_for: Ticks) -> None:
        if woken_for != self._woken_for:
            return
        now = self.clock()
        while self._heap and self._heap[0][0] <= now:
            timer = self.pending.pop(heappop(self._heap)[1], None)
            if timer:
                call, arguments = timer
                try:
                    call(*arguments)
                except Exception as error:  # one timer must not hold up the others
                    self.fault("deadline", error)
        self._woken_for = None
        self._schedule_wake()
