"""Rule 5: the exposure budget, which limits the attempts sent to a build on trial."""

from collections.abc import Hashable

from ..interface.enums import Idempotency, ReleasePhase
from ..interface.reasons import Reason
from ..interface.settings import RequestClass
from ..state.sliding_window import SlidingWindow, get_or_create_window
from .context import DecisionContext

WINDOW_BUCKETS = 120  # of the exposure window: fine enough that the oldest one matters little
# Numbers of latest buckets over which the budget must hold.
CHECKED_BUCKETS = (120, 90, 60, 30)


class ExposureBudget:
    """Counts requests received and attempts sent to the newest build in the exposure window.

    Attributes:
        received: Windows of requests by class name, or a single one for all classes.
        sent: Windows of attempts to the newest build, by the same keys.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.received: dict[Hashable, SlidingWindow] = {}
        self.sent: dict[Hashable, SlidingWindow] = {}

    def reset(self) -> None:
        """Discards the attempts counted so far, for another build on trial."""
        self.sent = {}

    def count_received(self, request_class: RequestClass) -> None:
        """Counts a request that was received."""
        self.window(self.received, request_class).add(self.context.now)

    def count_sent(self, request_class: RequestClass, newest: bool) -> None:
        """Counts an attempt if it goes to the newest build."""
        self.window(self.sent, request_class).add(self.context.now, int(newest))

    def window(
        self, windows: dict[Hashable, SlidingWindow], request_class: RequestClass
    ) -> SlidingWindow:
        """Returns the window of a request class, or the one for all classes."""
        settings = self.context.settings
        key = settings.exposure_by_class and request_class.name
        return get_or_create_window(windows, key, settings.exposure_window, WINDOW_BUCKETS)

    def allows(self, request_class: RequestClass, first: bool = False) -> bool:
        """Returns whether the budget allows one more attempt to the newest build.

        The budget must also hold over the later parts of the window, as later windows will start
        there.

        Args:
            request_class: The class of the request.
            first: Whether it is the request's first attempt, so that the request counts as
                received at the same time.
        """
        context, settings = self.context, self.context.settings
        release = context.release
        assert release is not None
        if release.phase == ReleasePhase.RELEASED:
            return True
        # A build on its way back is still on trial, and keeps its stage.
        guarded = release.stage < settings.guarded_stages
        if guarded and request_class.idempotency != Idempotency.IDEMPOTENT:
            context.explain(Reason.GUARDED, release.stage, settings.guarded_stages)
            return False
        received = self.window(self.received, request_class)
        sent = self.window(self.sent, request_class)
        now, cap, allowance = context.now, release.cap, settings.exposure_allowance
        if cap <= 0:
            context.explain(Reason.CLOSED, release.phase, cap)
            return False
        # If all requests may go to the newest build, a first attempt never exceeds the budget:
        # each window that contains the attempt contains its request as well.
        allowed = (first and cap >= 1) or all(
            sent.total(now, False, buckets) + 1
            <= allowance + cap * received.total(now, True, buckets)
            for buckets in CHECKED_BUCKETS
        )
        if not allowed:
            context.explain(
                Reason.EXPOSURE, sent.total(now), received.total(now, True), cap, allowance
            )
        return allowed
