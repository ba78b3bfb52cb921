"""The longest turns of the event loop, by what they were spent on.

While a turn lasts, no other connection is read and no timer runs: a long one delays all requests.
"""

import time
from collections.abc import Callable
from typing import Any, Final

MIN_RECORDED_SECONDS: Final = 0.005
"""Shorter turns delay nobody noticeably and are not recorded."""
TIMERS: Final = "timers"
MILLISECONDS_PER_SECOND: Final = 1000


class TurnTimes:
    """Records the longest turns since the last report.

    Attributes:
        clock: Returns the time in seconds.
        longest: Seconds of the longest turn, by the name of the class that handled it.
    """

    def __init__(self, clock: Callable[[], float] = time.perf_counter) -> None:
        self.clock = clock
        self.longest: dict[str, float] = {}

    def watch(self, reactor: Any) -> None:
        """Records the turns of a Twisted reactor that polls: reads and writes, and due timers."""
        read_or_write, run_timers = reactor._doReadOrWrite, reactor.runUntilCurrent

        def timed_read_or_write(selectable: Any, descriptor: int, event: int) -> None:
            began = self.clock()
            read_or_write(selectable, descriptor, event)
            took = self.clock() - began
            if took >= MIN_RECORDED_SECONDS:
                handler = getattr(selectable, "protocol", None) or selectable
                self.record(type(handler).__name__, took)

        def timed_run_timers() -> None:
            began = self.clock()
            run_timers()
            took = self.clock() - began
            if took >= MIN_RECORDED_SECONDS:
                self.record(TIMERS, took)

        reactor._doReadOrWrite = timed_read_or_write
        reactor.runUntilCurrent = timed_run_timers

    def record(self, name: str, seconds: float) -> None:
        """Records a turn."""
        self.longest[name] = max(seconds, self.longest.get(name, 0.0))

    def take(self) -> dict[str, float]:
        """Returns the longest turns in milliseconds by name, and begins a new interval."""
        taken = {
            name: round(MILLISECONDS_PER_SECOND * seconds, 1)
            for name, seconds in self.longest.items()
        }
        self.longest = {}
        return taken
