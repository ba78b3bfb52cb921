"""Rule 4: an endpoint that warms up gets its part of what warm ones are seen to take."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..state.endpoint_state import EndpointState
from ..state.sliding_window import SlidingWindow
from .context import MAX_UPKEEP_INTERVAL, DecisionContext

CAPACITY_PART = 0.5  # of the overload limit, as others send there unseen
ATTEMPTS_LEAST = 4  # attempts of all instances together that an endpoint may get in a window
CROWD_EXPONENT = 3  # in a crowd a warming endpoint's capacity counts by this power of its fraction
RATE_RISE_TIME = 4 * TICKS_PER_SECOND  # over which the rate of warm endpoints follows a rise
RATE_FALL_TIME = 20 * TICKS_PER_SECOND  # and a fall: overload must not pull it down quickly
SERVED_SECONDS = 4  # of responses: a mean, as peaks of hundreds of instances do not add up
SERVED_BUCKETS = 8  # half a second each
NO_CAPACITY = 1e9  # divides the rate to nothing where no endpoint is warm


class SlowStart:
    """The capacity of the ready endpoints, and what warming ones may take.

    Attributes:
        capacity: what the ready endpoints can carry at least, in sizes, of the newest build (True)
            and of earlier ones (False).
        warm_size: the sum of the sizes of warm endpoints.
        warm_rate: attempts a second that one of size 1 is seen to take.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.capacity = {True: 0.0, False: 0.0}
        self.warm_size = 0.0
        self.warm_request_rate = 0.0
        self._measured_until: Ticks = 0
        self._served = SlidingWindow(SERVED_SECONDS * TICKS_PER_SECOND, SERVED_BUCKETS)

    def update_capacity(self) -> None:
        """Adds up what the ready endpoints can carry now."""
        context = self.context
        self.warm_size = 0.0
        self.capacity = {True: 0.0, False: 0.0}
        exponent = CROWD_EXPONENT if context.is_large_fleet() else 1
        settings, now = context.settings, context.now
        for newest, side in context.by_build.items():
            for known in side:
                fraction = known.warmup_fraction(now, settings)
                self.capacity[newest] += known.listed.size * fraction**exponent
                self.warm_size += known.listed.size * (fraction == 1.0)
                self._measured_until = max(
                    self._measured_until,
                    known.listed.started + settings.warmup_duration + MAX_UPKEEP_INTERVAL,
                )

    def count_response(self, fraction: float) -> None:
        """Counts a good response of an endpoint that has this part of its capacity."""
        self._served.add(self.context.now, fraction == 1.0)

    def upkeep(self, passed: Ticks) -> None:
        """Measures again while endpoints warm up, and lets the rate of warm ones follow.

        Args:
            passed: ticks since the last upkeep.
        """
        context = self.context
        if context.now <= self._measured_until:
            self.update_capacity()
        rate = self._served.total(context.now) / SERVED_SECONDS / (self.warm_size or NO_CAPACITY)
        span = min(
            RATE_RISE_TIME if rate > self.warm_request_rate else RATE_FALL_TIME,
            context.traffic_age(),
        )
        self.warm_request_rate += (
            (rate - self.warm_request_rate) * passed / max(TICKS_PER_SECOND, span)
        )

    def has_room(self, known: EndpointState, fraction: float) -> bool:
        """Whether this instance may send one more to an endpoint that warms up.

        The fewer endpoints an instance uses, the fewer others use this one. With a share of less
        than an attempt a window, chance decides once for each endpoint and window.
        """
        context, settings = self.context, self.context.settings
        rate, window = self.warm_request_rate * known.listed.size, settings.overload_window
        share = max(
            CAPACITY_PART * settings.overload_factor * fraction * rate * window / TICKS_PER_SECOND,
            ATTEMPTS_LEAST / settings.instances,
        )
        newest = known.on_newest_build
        if newest is None:
            share = 0.0
        else:
            share *= len(context.by_build[newest]) / (len(context.subsets[newest]) or 1)
        if known.random_share[0] != context.now // window:
            known.random_share = context.now // window, context.rng.draw()
        return known.recent_attempts.total(context.now) + 1 <= share + known.random_share[1]
