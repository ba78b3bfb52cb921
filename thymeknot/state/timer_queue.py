"""A priority queue for all timers of the process. Times are in ticks."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

from ..interface.clock import TICKS_PER_SECOND, Ticks

# Cancelled timers that are tolerated before the heap is rebuilt, which takes linear time.
SWEEP_THRESHOLD = 256


class TimerQueue:
    """Runs callbacks when they are due, ordered by time and then by insertion.

    Attributes:
        clock: Returns the monotonic time in ticks.
        wake: Schedules a call on the event loop: wake(seconds, call, *arguments).
        fault: Called as fault(where, error) if a callback raises.
        pending: Callback and arguments of each pending timer, by timer number.
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
        self._heap: list[tuple[Ticks, int]] = []  # (time, number), cancelled timers included
        self._number = 0  # number of the newest timer
        self._woken_for: Ticks | None = None  # time of the scheduled wake-up

    def add(self, at: Ticks, call: Callable[..., object], *arguments: Any) -> int:
        """Schedules a callback at time `at`; returns the timer's number."""
        self._number += 1
        self.pending[self._number] = (call, arguments)
        heappush(self._heap, (at, self._number))
        self._schedule_wake()
        return self._number

    def cancel(self, number: int | None) -> None:
        """Cancels a timer; does nothing for None, or if the timer has fired or was cancelled."""
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
                self._on_wake,
                self._woken_for,
            )

    def _on_wake(self, woken_for: Ticks) -> None:
        # Wait for one more event loop iteration, so that data that has arrived is read before a
        # timeout for it fires.
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
                except Exception as error:  # one failing timer must not block the others
                    self.fault("deadline", error)
        self._woken_for = None
        self._schedule_wake()
