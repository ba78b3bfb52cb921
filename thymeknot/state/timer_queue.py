"""All deadlines of the program, in one ordered structure. Times are whole tenths of a millisecond."""

from heapq import heapify, heappop, heappush

from ..interface.clock import TICKS_PER_SECOND

SWEEP = 256  # cancelled ones that are worth a sweep, if they are the most


class TimerQueue:
    """Calls made at their time, in order of time and then of asking. wake(seconds, call) has the loop call
    back later; clock() is monotonic."""

    def __init__(self, clock, wake, fault):
        self.clock, self.wake, self.fault = clock, wake, fault
        self.heap, self.live, self.number, self.woken_for = [], {}, 0, None

    def add(self, at, call, *arguments):
        self.number += 1
        self.live[self.number] = (call, arguments)
        heappush(self.heap, (at, self.number))
        self._arm()
        return self.number

    def cancel(self, number):
        """Nothing happens where there is none, or none any more."""
        if self.live.pop(number, None) and len(self.heap) > SWEEP + 2 * len(self.live):
            self.heap = [entry for entry in self.heap if entry[1] in self.live]
            heapify(self.heap)

    def _arm(self):
        if self.heap and (self.woken_for is None or self.heap[0][0] < self.woken_for):
            self.woken_for = self.heap[0][0]
            self.wake(
                max(0, self.woken_for - self.clock()) / TICKS_PER_SECOND, self._due, self.woken_for
            )

    def _due(self, woken_for):
        # Once more round the loop: what has come already is read before a deadline says that it has not.
        if woken_for == self.woken_for:
            self.wake(0, self._run, woken_for)

    def _run(self, woken_for):
        if woken_for != self.woken_for:
            return
        now = self.clock()
        while self.heap and self.heap[0][0] <= now:
            called = self.live.pop(heappop(self.heap)[1], None)
            if called:
                try:
                    called[0](*called[1])
                except Exception as error:  # one deadline must not hold up the others
                    self.fault("deadline", error)
        self.woken_for = None
        self._arm()
