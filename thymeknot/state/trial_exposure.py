"""Rule 5 as it stands when an attempt is written: it may have waited for its connection since it was decided, and what
comes up at once would bunch."""

from ..interface.enums import ReleasePhase
from .sliding_window import window_of

BUCKETS = 120  # of the window, as the decisions count it


class TrialExposure:
    """What was taken and what was written to the newest build on trial, over the settings' window."""

    def __init__(self, settings):
        self.settings, self.taken, self.written, self.build = settings, {}, {}, None

    def _ring(self, rings, request_class):
        return window_of(
            rings,
            self.settings.exposure_by_class and request_class,
            self.settings.exposure_window,
            BUCKETS,
        )

    @staticmethod
    def _counts(news, build):
        return news is not None and news.phase == ReleasePhase.ON_TRIAL and news.build == build

    def took(self, now, request_class):
        self._ring(self.taken, request_class).add(now)

    def wrote(self, now, news, build, request_class):
        if self._counts(news, build):
            if build != self.build:
                self.build, self.written = build, {}
            self._ring(self.written, request_class).add(now)

    def allows(self, now, news, build, request_class):
        """Whether one more may be written there now. Where all may go there the window's edge counts on both sides, or
        what is taken and written at once would be turned away for it: a bucket is within the protocol's slack."""
        if not self._counts(news, build) or build != self.build:
            return True
        taken = self._ring(self.taken, request_class).total(now, news.cap < 1)
        return (
            self._ring(self.written, request_class).total(now) + 1
            <= self.settings.exposure_allowance + news.cap * taken
        )
