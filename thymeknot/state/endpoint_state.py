"""Per-endpoint state of an instance."""

from ..interface.clock import Ticks
from ..interface.events import Endpoint
from ..interface.settings import Settings
from .sliding_window import SlidingWindow

ATTEMPT_WINDOW_BUCKETS = 15  # of the window of recent attempts


class EndpointState:
    """The state of an endpoint as this instance sees it.

    Attributes:
        listed: The endpoint as service discovery lists it.
        listing_number: Its position among the endpoints in the order of their first listing; an
            endpoint that takes the place of another one of the same address keeps that one's.
        in_flight: Number of attempts of this instance that have not ended.
        relative_latency: Moving average of the response time, relative to the request class's mean.
        failure_rate: Moving average of the fraction of attempts that failed.
        last_outcome_at: Time of the last outcome, or of the last decay for lack of outcomes.
        load: The last reported utilisation.
        recent_attempts: Attempts of this instance within the overload window.
        last_response_at: Time of the last successful response.
        ejected_until: Until then it is used last, because connecting to it failed.
        ejection_duration: Duration of the last ejection; 0 after a successful response.
        suspected_until: Until then it is used last, because peers saw it fail.
        random_share: Index of an overload window, and the random addition, from 0 to 1, to this
            instance's share of the endpoint's warm-up capacity in that window.
        subset_rank: Rank by which the subset in use is chosen; None before the first draw.
        on_newest_build: Whether it runs the newest build; None if it is not ready.
    """

    def __init__(self, listed: Endpoint, overload_window: Ticks, listing_number: int = 0) -> None:
        self.listed = listed
        self.listing_number = listing_number
        self.in_flight = 0
        self.relative_latency = 1.0
        self.failure_rate = 0.0
        self.last_outcome_at: Ticks = 0
        self.load = 0.0
        self.recent_attempts = SlidingWindow(overload_window, ATTEMPT_WINDOW_BUCKETS)
        self.last_response_at: Ticks = 0
        self.ejected_until: Ticks = 0
        self.ejection_duration: Ticks = 0
        self.suspected_until: Ticks = 0
        self.random_share: tuple[int, float] = (-1, 0.0)
        self.subset_rank: float | None = None
        self.on_newest_build: bool | None = None

    def warmup_fraction(self, now: Ticks, settings: Settings) -> float:
        """Returns the minimum fraction of its capacity: warm-up is at least linear.

        Never 0, because costs are divided by it: the age is at least one tick, even at the moment
        of the start or with a local clock that is behind.
        """
        started = self.listed.started
        if not started:  # the common case, on a hot path: a dozen calls per request
            return 1.0
        age = max(1, now - started)
        if age >= settings.warmup_duration:
            return 1.0
        return (
            settings.warmup_initial_fraction
            + (1 - settings.warmup_initial_fraction) * age / settings.warmup_duration
        )

    def is_same_process(self, listed: Endpoint) -> bool:
        """Returns whether a listing of this address is of the same process of the same build."""
        return (self.listed.started, self.listed.build) == (listed.started, listed.build)


def age_at_fraction(fraction: float, settings: Settings, max_age: Ticks) -> float:
    """Returns the age at which an endpoint has reached a fraction of its capacity.

    Args:
        fraction: The fraction of the capacity, from 0 to 1.
        settings: The warm-up's duration and initial fraction.
        max_age: Upper bound of the result, in ticks.
    """
    return min(
        max_age,
        settings.warmup_duration
        * max(0.0, fraction - settings.warmup_initial_fraction)
        / max(1e-9, 1 - settings.warmup_initial_fraction),
    )
