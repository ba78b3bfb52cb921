"""Rule 4: slow start limits an endpoint that warms up to its share of the load of warm ones."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..state.endpoint_state import EndpointState
from ..state.sliding_window import SlidingWindow
from .context import MAX_UPKEEP_INTERVAL, DecisionContext

OVERLOAD_LIMIT_RATIO = 0.5  # of the overload limit: other instances send there as well
MIN_FLEET_ATTEMPTS = 4  # attempts per window that all instances together may always send
# With many instances per endpoint, a warming endpoint counts by this power of its warm-up fraction.
LARGE_FLEET_EXPONENT = 3
RATE_RISE_TIME_CONSTANT = 4 * TICKS_PER_SECOND  # of the smoothed rate of warm endpoints
RATE_FALL_TIME_CONSTANT = 20 * TICKS_PER_SECOND  # long: an overload must not lower the rate quickly
RESPONSE_WINDOW_SECONDS = 4  # a mean suffices: peaks of hundreds of instances do not add up
RESPONSE_WINDOW_BUCKETS = 8  # half a second each
NO_WARM_CAPACITY = 1e9  # divisor that makes the rate negligible if no endpoint is warm


class SlowStart:
    """Tracks the capacity of the ready endpoints and limits attempts at those that warm up.

    Attributes:
        warm_request_rate: Observed responses per second of a warm endpoint of size 1.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.warm_request_rate = 0.0
        self._capacity = {True: 0.0, False: 0.0}
        self._warm_capacity = 0.0
        self._changed_at: Ticks | None = None
        self._warming_until: Ticks = 0
        self._warm_responses = SlidingWindow(
            RESPONSE_WINDOW_SECONDS * TICKS_PER_SECOND, RESPONSE_WINDOW_BUCKETS
        )

    @property
    def capacity(self) -> dict[bool, float]:
        """Minimum capacity of the ready endpoints, by whether they run the newest build.

        It is a sum of their sizes.
        """
        self._recompute_if_changed()
        return self._capacity

    @capacity.setter
    def capacity(self, capacity: dict[bool, float]) -> None:
        self._recompute_if_changed()
        self._capacity = capacity

    @property
    def warm_capacity(self) -> float:
        """Sum of the sizes of the warm endpoints."""
        self._recompute_if_changed()
        return self._warm_capacity

    def endpoints_changed(self) -> None:
        """Has the capacity recomputed before its next use, as of now.

        The sum takes a time that grows with the number of endpoints, so it is not computed for
        each of many changes.
        """
        self._changed_at = self.context.now

    def _recompute_if_changed(self) -> None:
        if self._changed_at is not None:
            self._compute_capacity(self._changed_at)

    def update_capacity(self) -> None:
        """Recomputes the capacity of the ready endpoints."""
        self._compute_capacity(self.context.now)

    def _compute_capacity(self, now: Ticks) -> None:
        """Computes the capacity of the ready endpoints at a moment."""
        context = self.context
        self._changed_at = None
        self._warm_capacity = 0.0
        self._capacity = {True: 0.0, False: 0.0}
        exponent = LARGE_FLEET_EXPONENT if context.is_large_fleet() else 1
        settings = context.settings
        for newest, endpoints in context.by_build.items():
            for endpoint in endpoints:
                warmup_fraction = endpoint.warmup_fraction(now, settings)
                self._capacity[newest] += endpoint.listed.size * warmup_fraction**exponent
                self._warm_capacity += endpoint.listed.size * (warmup_fraction == 1.0)
                self._warming_until = max(
                    self._warming_until,
                    endpoint.listed.started + settings.warmup_duration + MAX_UPKEEP_INTERVAL,
                )

    def record_response(self, warmup_fraction: float) -> None:
        """Counts a successful response if its endpoint is warm (warm-up fraction 1)."""
        self._warm_responses.add(self.context.now, warmup_fraction == 1.0)

    def upkeep(self, elapsed: Ticks) -> None:
        """Updates the capacity while endpoints warm up, and the rate of warm endpoints.

        Args:
            elapsed: Ticks since the previous upkeep.
        """
        context = self.context
        self._recompute_if_changed()
        if context.now <= self._warming_until:
            self.update_capacity()
        rate = (
            self._warm_responses.total(context.now)
            / RESPONSE_WINDOW_SECONDS
            / (self.warm_capacity or NO_WARM_CAPACITY)
        )
        time_constant = min(
            RATE_RISE_TIME_CONSTANT if rate > self.warm_request_rate else RATE_FALL_TIME_CONSTANT,
            context.traffic_age(),
        )
        self.warm_request_rate += (
            (rate - self.warm_request_rate) * elapsed / max(TICKS_PER_SECOND, time_constant)
        )

    def has_room(self, endpoint: EndpointState, warmup_fraction: float) -> bool:
        """Returns whether this instance may send one more attempt to an endpoint that warms up.

        The smaller the subsets, the fewer instances share this endpoint. The fractional part of a
        share is decided at random, once per endpoint and window.
        """
        context, settings = self.context, self.context.settings
        rate, window = self.warm_request_rate * endpoint.listed.size, settings.overload_window
        share = max(
            OVERLOAD_LIMIT_RATIO
            * settings.overload_factor
            * warmup_fraction
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
            endpoint.random_share = context.now // window, context.rng.draw()
        return endpoint.recent_attempts.total(context.now) + 1 <= share + endpoint.random_share[1]
