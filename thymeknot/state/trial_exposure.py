"""The exposure budget of the build on trial, enforced when an attempt is written.

The decision engine has already allowed the attempt, but it may have waited for its connection since
then: connections that come up at the same time would cause a burst.
"""

from typing import TypeGuard

from ..interface.clock import Ticks
from ..interface.enums import Idempotency, ReleasePhase
from ..interface.events import ReleaseUpdate
from ..interface.settings import Settings
from .sliding_window import SlidingWindow, get_or_create_window

WINDOW_BUCKETS = 120  # of the exposure window; the same number as in the decision engine


def _is_on_trial(release: ReleaseUpdate | None, build: int) -> TypeGuard[ReleaseUpdate]:
    """Returns whether the build is on trial, or goes back: until it is released."""
    return release is not None and release.phase != ReleasePhase.RELEASED and release.build == build


class TrialExposure:
    """Counts requests received and attempts written to the build on trial in a sliding window."""

    def __init__(self, settings: Settings) -> None:
        self._request_classes = settings.request_classes
        self._guarded_stages = settings.guarded_stages
        self._by_class = settings.exposure_by_class
        self._window = settings.exposure_window
        self._allowance = settings.exposure_allowance
        self._received: dict[str | bool, SlidingWindow] = {}
        self._written: dict[str | bool, SlidingWindow] = {}
        # The build that the written attempts went to, and its phase then.
        self._counted: tuple[int, ReleasePhase | None] | None = None

    def _window_for(
        self, windows: dict[str | bool, SlidingWindow], request_class: str
    ) -> SlidingWindow:
        return get_or_create_window(
            windows, self._by_class and request_class, self._window, WINDOW_BUCKETS
        )

    def count_received(self, now: Ticks, request_class: str) -> None:
        """Counts a received request."""
        self._window_for(self._received, request_class).add(now)

    def count_written(
        self, now: Ticks, release: ReleaseUpdate | None, build: int, request_class: str
    ) -> None:
        """Counts an attempt that was written to an endpoint of `build`."""
        if _is_on_trial(release, build):
            if self._counted != (build, release.phase):
                self._counted = build, release.phase
                self._written = {}
            self._window_for(self._written, request_class).add(now)

    def allows(
        self, now: Ticks, release: ReleaseUpdate | None, build: int, request_class: str
    ) -> bool:
        """Returns whether one more attempt may be written to an endpoint of `build` now.

        At a cap of 1 the oldest bucket, which is partly outside the window, is included on both
        sides: otherwise requests received and written at the same time would be rejected. One
        bucket is within the tolerance of the protocol.
        """
        if not _is_on_trial(release, build):
            return True
        # A release on trial always has a stage and a cap.
        stage: int = release.stage  # type: ignore[assignment]
        cap: float = release.cap  # type: ignore[assignment]
        idempotency = self._request_classes[request_class].idempotency
        if cap <= 0 or (stage < self._guarded_stages and idempotency != Idempotency.IDEMPOTENT):
            return False
        if self._counted != (build, release.phase):
            return True
        received = self._window_for(self._received, request_class).total(now, cap < 1)
        return (
            self._window_for(self._written, request_class).total(now) + 1
            <= self._allowance + cap * received
        )
