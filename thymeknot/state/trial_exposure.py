"""The exposure budget of the build on trial, as it stands when an attempt is written.

The attempt may have waited for its connection since the decision engine allowed it, and connections
that come up together would make a burst.
"""

from typing import TypeGuard

from ..interface.clock import Ticks
from ..interface.enums import ReleasePhase
from ..interface.events import ReleaseUpdate
from ..interface.settings import Settings
from .sliding_window import SlidingWindow, get_or_create_window

BUCKETS = 120  # of the exposure window, as in the decision engine


def _is_on_trial(news: ReleaseUpdate | None, build: int) -> TypeGuard[ReleaseUpdate]:
    return news is not None and news.phase == ReleasePhase.ON_TRIAL and news.build == build


class TrialExposure:
    """The requests taken and the attempts written to the build on trial, over a sliding window."""

    def __init__(self, settings: Settings) -> None:
        self._by_class = settings.exposure_by_class
        self._window = settings.exposure_window
        self._allowance = settings.exposure_allowance
        self._taken: dict[str | bool, SlidingWindow] = {}
        self._written: dict[str | bool, SlidingWindow] = {}
        self._build: int | None = None  # which the written attempts went to

    def _window_of(
        self, windows: dict[str | bool, SlidingWindow], request_class: str
    ) -> SlidingWindow:
        return get_or_create_window(
            windows, self._by_class and request_class, self._window, BUCKETS
        )

    def count_received(self, now: Ticks, request_class: str) -> None:
        """Counts a request that was taken."""
        self._window_of(self._taken, request_class).add(now)

    def count_written(
        self, now: Ticks, news: ReleaseUpdate | None, build: int, request_class: str
    ) -> None:
        """Counts an attempt that was written to an endpoint of this build."""
        if _is_on_trial(news, build):
            if build != self._build:
                self._build = build
                self._written = {}
            self._window_of(self._written, request_class).add(now)

    def allows(
        self, now: Ticks, news: ReleaseUpdate | None, build: int, request_class: str
    ) -> bool:
        """Returns whether one more attempt may be written to an endpoint of this build now.

        At a cap of 1 the partly covered oldest bucket counts on both sides: without it, what is
        taken and written at once would be rejected. A bucket is within the protocol's slack.
        """
        if not _is_on_trial(news, build) or build != self._build:
            return True
        cap: float = news.cap  # type: ignore[assignment]  # a release on trial always has a cap
        taken = self._window_of(self._taken, request_class).total(now, cap < 1)
        return (
            self._window_of(self._written, request_class).total(now) + 1
            <= self._allowance + cap * taken
        )
