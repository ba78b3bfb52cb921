"""Whether a request is admitted or rejected at once.

Each bound binds only as far as it is sure. Source: docs/design/admission.md.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome
from ..interface.events import AttemptEnded
from ..interface.settings import RequestClass, Settings
from ..state.request_state import RequestState
from ..state.sliding_window import SlidingWindow

TARGET_LATENCY_RATIO = (
    0.5  # of the latency objective: the mean time that the concurrency limit aims at
)
MIN_LIMIT = 16  # open requests of an instance, where few instances share the endpoints
MIN_LIMIT_LARGE_FLEET = 3.0  # and where many do
MIN_CLASS_FACTOR = 0.8  # of the limit and the odds, for the class that earns least for its time
MAX_CLASS_FACTOR = 1.25  # and for the one that earns most
SMALL_FLEET_INSTANCES = 5  # sidecars that share the endpoints
RANDOM_SHEDDING_MAX_REQUESTS = (
    120  # in the traffic window: too few to count, so they are admitted by chance
)
INITIAL_BASELINE_LATENCY = 0.2  # of the latency objective, if unknown
BASELINE_WEIGHT = 4  # outcomes that the usual time counts for
IN_TIME_MARGIN = 0.15  # of the rest up to the objective: a response is still in time
TOLERATED_FAILURE_RATIO = (
    0.75  # of the responses: so many silent or rejected attempts are a few endpoints'
)
BASELINE_RISE_GAIN = 0.005  # gain of the usual time; small, or an overload becomes the usual
BASELINE_FALL_GAIN = 0.02  # gain of the usual time where it falls
MEAN_LATENCY_GAIN = 0.03  # of a class's mean response time
MAX_RELATIVE_LATENCY = 2.0  # of the latency objective that one response counts for
CLASS_TIMEOUT_RATIO = 0.99  # of the latency objective, after which a time-out is the class's own
LOAD_WINDOW = 2 * TICKS_PER_SECOND  # ticks of responses that the limit and the pressure go by
LOAD_WINDOW_BUCKETS = 8  # a quarter of a second each
INITIAL_LIMIT = 1000.0  # until there was a second of traffic: no responses yet are no overload
LIMIT_MARGIN_DEVIATIONS = (
    3.0  # standard deviations of open requests left to chance, in a fleet that is calm
)
# A quiet instance often has two open where one is the mean: the bare mean rejected a fifth of a
# calm day.


class Rejection(NamedTuple):
    """Why a request is not admitted."""

    by_chance: bool
    """Whether a random number decided, else the limit."""
    measured: float
    bound: float


class LoadShedder:
    """The load of the endpoints, as one instance sees it, and what it admits.

    Attributes:
        means: the moving mean of the response time, in ticks, by the name of the request class.
        usual: the usual response time, of the latency objective.
    """

    def __init__(self, settings: Settings) -> None:
        self.is_large_fleet = settings.instances > SMALL_FLEET_INSTANCES
        self.min_limit = max(
            MIN_LIMIT_LARGE_FLEET, MIN_LIMIT * min(1.0, SMALL_FLEET_INSTANCES / settings.instances)
        )
        self.target_latencies = SlidingWindow(LOAD_WINDOW, LOAD_WINDOW_BUCKETS)
        self.response_counts = SlidingWindow(LOAD_WINDOW, LOAD_WINDOW_BUCKETS)
        self.relative_latencies = SlidingWindow(LOAD_WINDOW, LOAD_WINDOW_BUCKETS)
        self.overload_failures = SlidingWindow(LOAD_WINDOW, LOAD_WINDOW_BUCKETS)
        self.baseline_latency = INITIAL_BASELINE_LATENCY
        self.mean_latencies: dict[str, float] = {}
        self.request_classes: dict[str, RequestClass] = {}

    def record_outcome(
        self, now: Ticks, request_class: RequestClass, event: AttemptEnded, fraction: float
    ) -> None:
        """Takes in an outcome at an endpoint with this part of its capacity."""
        objective = request_class.latency_objective
        timed_out = (
            event.outcome == Outcome.TIMED_OUT and event.latency >= CLASS_TIMEOUT_RATIO * objective
        )
        if timed_out or event.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            self.overload_failures.add(now)
        elif event.outcome == Outcome.DONE:
            relative_latency = min(MAX_RELATIVE_LATENCY, event.latency * fraction / objective)
            self.response_counts.add(now)
            self.relative_latencies.add(now, relative_latency)
            deviation = relative_latency - self.baseline_latency
            gain = BASELINE_RISE_GAIN if deviation > 0 else BASELINE_FALL_GAIN
            self.baseline_latency = min(
                TARGET_LATENCY_RATIO, self.baseline_latency + gain * deviation
            )

    def record_latency(self, now: Ticks, request_class: RequestClass, latency: Ticks) -> None:
        """Takes in the response time of a good response."""
        self.target_latencies.add(now, TARGET_LATENCY_RATIO * request_class.latency_objective)
        name = request_class.name
        mean = self.mean_latencies.get(name, latency)
        self.mean_latencies[name] = max(1.0, mean + MEAN_LATENCY_GAIN * (latency - mean))
        self.request_classes[name] = request_class

    def concurrency_limit(
        self, now: Ticks, request_class: RequestClass, traffic_age: Ticks
    ) -> float:
        """How many requests may be open.

        As many as responses come for within part of the objective (Little's law), so no queue
        lasts. Classes that earn least are rejected first.

        Args:
            now: the moment.
            request_class: the request's.
            traffic_age: ticks since the first traffic.
        """
        throughput_limit = (
            self.target_latencies.total(now) / min(LOAD_WINDOW, traffic_age)
            if traffic_age > TICKS_PER_SECOND
            else INITIAL_LIMIT
        )
        return max(self.min_limit, throughput_limit) * self.class_factor(request_class)

    def class_factor(self, request_class: RequestClass) -> float:
        """The class's part of the limit and the odds, by what it earns for its response time."""
        value_per_tick = {
            name: self.request_classes[name].priority_weight / mean
            for name, mean in self.mean_latencies.items()
        }
        lowest = min(value_per_tick.values(), default=0)
        highest = max(value_per_tick.values(), default=0)
        rank = (
            (value_per_tick[request_class.name] - lowest) / (highest - lowest)
            if request_class.name in value_per_tick and highest > lowest
            else 0.5
        )
        return MIN_CLASS_FACTOR + (MAX_CLASS_FACTOR - MIN_CLASS_FACTOR) * rank

    def pressure(self, now: Ticks, open_requests: Collection[RequestState]) -> float:
        """The time that endpoints take over what is still in time: above 1 they queue.

        What is unknown is usual: few outcomes do not bind. Silence and rejections are a few
        endpoints' matter until they near the responses.
        """
        responses = self.response_counts.total(now)
        failures = self.overload_failures.total(now)
        total_weight = responses + BASELINE_WEIGHT
        latency_sum = self.relative_latencies.total(now) + BASELINE_WEIGHT * self.baseline_latency
        tolerated_failures = TOLERATED_FAILURE_RATIO * responses + 0.5
        if failures + len(open_requests) > tolerated_failures:  # else what is open could not tip it
            failures += sum(
                now - request.attempts[-1].sent_at
                > TARGET_LATENCY_RATIO * request.request_class.latency_objective
                for request in open_requests
                if request.attempts and request.attempts[-1].in_flight
            )
        if failures > tolerated_failures:
            total_weight += failures
            latency_sum += failures
        return (
            latency_sum
            / total_weight
            / (self.baseline_latency + IN_TIME_MARGIN * (1 - self.baseline_latency))
        )

    def rejection(
        self,
        now: Ticks,
        request_class: RequestClass,
        open_requests: Collection[RequestState],
        traffic_age: Ticks,
        *,
        recent_requests: float,
        draw: Callable[[], float],
    ) -> Rejection | None:
        """Why the request is rejected; None if it is admitted.

        Args:
            now: the moment.
            request_class: the request's.
            open_requests: those that are open, with this one.
            traffic_age: ticks since the first traffic.
            recent_requests: requests in the traffic window.
            draw: gives a random number; asked only where chance decides.
        """
        pressure = self.pressure(now, open_requests)
        limit = self.concurrency_limit(now, request_class, traffic_age)
        overloaded = pressure > 1
        deviations = LIMIT_MARGIN_DEVIATIONS if self.is_large_fleet and not overloaded else 0.0
        threshold = limit + deviations * limit**0.5
        if len(open_requests) > threshold:
            return Rejection(False, len(open_requests), threshold)
        if not overloaded or recent_requests >= RANDOM_SHEDDING_MAX_REQUESTS:
            return None
        admission_probability = self.class_factor(request_class) / pressure
        return (
            Rejection(True, pressure, admission_probability)
            if admission_probability < 1 and draw() > admission_probability
            else None
        )
