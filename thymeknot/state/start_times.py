"""When endpoints started, on the monotonic clock, whatever the wall clock does."""

from collections.abc import Callable, Container
from typing import Final

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.events import Endpoint

MAX_CLOCK_SLEW: Final[Ticks] = TICKS_PER_SECOND // 10
"""A difference of the wall clock up to this is no step: machines adjust their clocks gradually."""


class StartTimes:
    """Converts the start times of endpoints, which discovery tells as times of the wall clock.

    Lists are read with the difference of the two clocks as it was when the process started. If the
    wall clock was stepped since, the start of an endpoint that appears now may be a time before or
    after the step; one that was seen before keeps its start, so that it does not count as another
    process.

    Attributes:
        epoch: The difference of the clocks with which lists are read, in ticks.
        current_epoch: Returns that difference as it is now.
        clock: Returns the monotonic time, in ticks.
    """

    def __init__(
        self, epoch: Ticks, current_epoch: Callable[[], Ticks], clock: Callable[[], Ticks]
    ) -> None:
        self.epoch = epoch
        self.current_epoch = current_epoch
        self.clock = clock
        self._corrected: dict[str, tuple[Ticks, Ticks]] = {}  # by name: as read, and as corrected

    def correct(self, endpoints: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Returns the endpoints of a list with their starts on the monotonic clock."""
        step = self.current_epoch() - self.epoch
        if abs(step) <= MAX_CLOCK_SLEW:
            step = 0
        return tuple(self._correct_one(endpoint, step) for endpoint in endpoints)

    def _correct_one(self, endpoint: Endpoint, step: Ticks) -> Endpoint:
        as_read = endpoint.started
        if not as_read:  # it started long ago
            return endpoint
        earlier, corrected = self._corrected.get(endpoint.address, (None, as_read))
        if earlier != as_read:
            corrected = self._latest_possible_start(as_read, step) if step else as_read
            self._corrected[endpoint.address] = as_read, corrected
        return endpoint if corrected == as_read else endpoint._replace(started=corrected)

    def _latest_possible_start(self, as_read: Ticks, step: Ticks) -> Ticks:
        """Returns the later of a start before and one after the step that is not in the future.

        An endpoint that counts as older than it is would get more than a cold one can take.
        """
        now = self.clock()
        starts = (as_read, as_read - step)
        return max((start for start in starts if start <= now + MAX_CLOCK_SLEW), default=now)

    def forget(self, name: str) -> None:
        """Forgets an endpoint that is not listed any more."""
        self._corrected.pop(name, None)

    def forget_except(self, names: Container[str]) -> None:
        """Forgets the endpoints that are not listed any more."""
        self._corrected = {
            name: starts for name, starts in self._corrected.items() if name in names
        }
