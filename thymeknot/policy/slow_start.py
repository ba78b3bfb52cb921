"""Rule 4: an endpoint that warms up gets its part of what warm ones are seen to take."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..state.endpoint_state import EndpointState
from ..state.sliding_window import SlidingWindow
from .context import UPKEEP_LONGEST, DecisionContext

OVERLOAD_LIMIT_RATIO = 0.5  # of the overload limit, as others send there unseen
MIN_FLEET_ATTEMPTS = 4  # attempts of all instances together that an endpoint may get in a window
CROWDED_FLEET_EXPONENT = (
    3  # in a crowd a warming endpoint's capacity counts by this power of its fraction
)
RATE_RISE_TIME_CONSTANT = (
    4 * TICKS_PER_SECOND
)  # over which the rate of warm endpoints follows a rise
RATE_FALL_TIME_CONSTANT = (
    20 * TICKS_PER_SECOND
)  # and a fall: overload must not pull it down quickly
RESPONSE_WINDOW_SECONDS = 4  # of responses: a mean, as peaks of hundreds of instances do not add up
RESPONSE_WINDOW_BUCKETS = 8  # half a second each
NO_WARM_CAPACITY = 1e9  # divides the rate to nothing where no endpoint is warm


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
        self.warm_capacity = 0.0
        self.warm_request_rate = 0.0
        self._warming_until: Ticks = 0
        self._warm_responses = SlidingWindow(
            RESPONSE_WINDOW_SECONDS * TICKS_PER_SECOND, RESPONSE_WINDOW_BUCKETS
        )

    def update_capacity(self) -> None:
        """Adds up what the ready endpoints can carry now."""
        context = self.context
        self.warm_capacity = 0.0
        self.capacity = {True: 0.0, False: 0.0}
        exponent = CROWDED_FLEET_EXPONENT if context.crowded() else 1
        settings, now = context.settings, context.now
        for newest, endpoints in context.by_build.items():
            for endpoint in endpoints:
                fraction = endpoint.warmup_fraction(now, settings)
                self.capacity[newest] += endpoint.listed.size * fraction**exponent
                self.warm_capacity += endpoint.listed.size * (fraction == 1.0)
                self._warming_until = max(
                    self._warming_until,
                    endpoint.listed.started + settings.warmup_duration + UPKEEP_LONGEST,
                )

    def record_response(self, fraction: float) -> None:
        """Counts a good response of an endpoint that has this part of its capacity."""
        self._warm_responses.add(self.context.now, fraction == 1.0)

    def upkeep(self, elapsed: Ticks) -> None:
        """Measures again while endpoints warm up, and lets the rate of warm ones follow.

        Args:
            elapsed: ticks since the last upkeep.
        """
        context = self.context
        if context.now <= self._warming_until:
            self.update_capacity()
        rate = (
            self._warm_responses.total(context.now)
            / RESPONSE_WINDOW_SECONDS
            / (self.warm_capacity or NO_WARM_CAPACITY)
        )
        time_constant = min(
            RATE_RISE_TIME_CONSTANT if rate > self.warm_request_rate else RATE_FALL_TIME_CONSTANT,
            context.age(),
        )
        self.warm_request_rate += (
            (rate - self.warm_request_rate) * elapsed / max(TICKS_PER_SECOND, time_constant)
        )

    def has_room(self, endpoint: EndpointState, fraction: float) -> bool:
        """Whether this instance may send one more to an endpoint that warms up.

        The fewer endpoints an instance uses, the fewer others use this one. With a share of less
        than an attempt a window, chance decides once for each endpoint and window.
        """
        context, settings = self.context, self.context.settings
        rate, window = self.warm_request_rate * endpoint.listed.size, settings.overload_window
        share = max(
            OVERLOAD_LIMIT_RATIO
            * settings.overload_factor
            * fraction
            * rate
            * window
            / TICKS_PER_SECOND,
            MIN_FLEET_ATTEMPTS / settings.instances,
        )
        newest = endpoint.on_newest_build
        if newest is None:
            share = 0.0
        else:
            share *= len(context.by_build[newest]) / (len(context.subsets[newest]) or 1)
        if endpoint.random_share[0] != context.now // window:
            endpoint.random_share = context.now // window, context.chance.draw()
        return endpoint.recent_attempts.total(context.now) + 1 <= share + endpoint.random_share[1]
