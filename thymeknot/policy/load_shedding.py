"""Load shedding: whether a request is admitted or rejected immediately.

Each bound applies only as far as the observations behind it are certain.
Source: docs/design/admission.md.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome
from ..interface.events import AttemptEnded
from ..interface.settings import RequestClass, Settings
from ..state.request_state import RequestState
from ..state.sliding_window import SlidingWindow

# Mean latency that the concurrency limit aims at, as a fraction of the latency objective.
TARGET_LATENCY_RATIO = 0.5
MIN_LIMIT = 16  # open requests per instance in a small fleet
MIN_LIMIT_LARGE_FLEET = 3.0  # open requests per instance in a large fleet
# Scale the limit and the admission probability of the classes with the lowest and the highest
# priority weight per unit of latency.
MIN_CLASS_FACTOR = 0.8
MAX_CLASS_FACTOR = 1.25
SMALL_FLEET_INSTANCES = 5  # sidecars that share the endpoints, at most
# Requests in the traffic window below which load is shed at random: too few for counting.
RANDOM_SHEDDING_MAX_REQUESTS = 120
INITIAL_BASELINE_LATENCY = 0.2  # of the latency objective, before any response
BASELINE_WEIGHT = 4  # responses that the baseline latency is weighted as
IN_TIME_MARGIN = 0.15  # of the distance from the baseline to the objective; slower is overload
# Ratio of failed attempts to responses up to which the failures are attributed to few endpoints.
TOLERATED_FAILURE_RATIO = 0.75
BASELINE_RISE_GAIN = 0.005  # small, so that an overload does not become the baseline
BASELINE_FALL_GAIN = 0.02
MEAN_LATENCY_GAIN = 0.03  # of a class's moving average of the response time
MAX_RELATIVE_LATENCY = 2.0  # caps the influence of one response, relative to the objective
# A timeout counts as overload from this fraction of the latency objective on; a shorter one was
# set by the client.
CLASS_TIMEOUT_RATIO = 0.99
LOAD_WINDOW = 2 * TICKS_PER_SECOND  # ticks over which the limit and the pressure are measured
LOAD_WINDOW_BUCKETS = 8  # a quarter of a second each
INITIAL_LIMIT = 1000.0  # for the first second of traffic: no responses yet is not an overload
# Standard deviations of the open requests that a large fleet without overload tolerates above the
# limit. A quiet instance often has two requests open where the mean is one: without this margin a
# fifth of the requests in the simulator's calm scenario were rejected.
LIMIT_MARGIN_DEVIATIONS = 3.0


class Rejection(NamedTuple):
    """Why a request was rejected."""

    by_chance: bool
    """Whether it was shed at random; otherwise the concurrency limit was exceeded."""
    measured: float
    """The pressure if shed at random, otherwise the number of open requests."""
    bound: float
    """The admission probability if shed at random, otherwise the limit with its margin."""


class LoadShedder:
    """Estimates the load of the endpoints from one instance's view, and admits or rejects.

    Attributes:
        is_large_fleet: Whether more than SMALL_FLEET_INSTANCES share the endpoints.
        min_limit: Lower bound of the concurrency limit before the class factor.
        target_latencies: Window of the target latency of each response, in ticks.
        response_counts: Window of the number of successful responses.
        relative_latencies: Window of their latencies, relative to the latency objective.
        overload_failures: Window of the attempts that timed out, were rejected or could not
            connect.
        baseline_latency: Usual response time, relative to the latency objective.
        mean_latencies: Moving average of the response time in ticks, by request class name.
        request_classes: The request classes with responses, by name.
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
        self, now: Ticks, request_class: RequestClass, event: AttemptEnded, warmup_fraction: float
    ) -> None:
        """Records the outcome of an attempt.

        Args:
            now: The current time.
            request_class: The request's class.
            event: The end of the attempt.
            warmup_fraction: The warm-up fraction of the endpoint's capacity.
        """
        objective = request_class.latency_objective
        timed_out = (
            event.outcome == Outcome.TIMED_OUT and event.latency >= CLASS_TIMEOUT_RATIO * objective
        )
        if timed_out or event.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            self.overload_failures.add(now)
        elif event.outcome == Outcome.DONE:
            relative_latency = min(
                MAX_RELATIVE_LATENCY, event.latency * warmup_fraction / objective
            )
            self.response_counts.add(now)
            self.relative_latencies.add(now, relative_latency)
            deviation = relative_latency - self.baseline_latency
            gain = BASELINE_RISE_GAIN if deviation > 0 else BASELINE_FALL_GAIN
            self.baseline_latency = min(
                TARGET_LATENCY_RATIO, self.baseline_latency + gain * deviation
            )

    def record_latency(self, now: Ticks, request_class: RequestClass, latency: Ticks) -> None:
        """Records the response time of a successful response."""
        self.target_latencies.add(now, TARGET_LATENCY_RATIO * request_class.latency_objective)
        name = request_class.name
        mean = self.mean_latencies.get(name, latency)
        self.mean_latencies[name] = max(1.0, mean + MEAN_LATENCY_GAIN * (latency - mean))
        self.request_classes[name] = request_class

    def concurrency_limit(
        self, now: Ticks, request_class: RequestClass, traffic_age: Ticks
    ) -> float:
        """Returns how many requests may be open.

        By Little's law: the response rate times the target latency, so that no queue persists.
        Classes with the lowest priority weight per unit of latency are rejected first.

        Args:
            now: The current time.
            request_class: The request's class.
            traffic_age: Ticks since the first traffic.
        """
        throughput_limit = (
            self.target_latencies.total(now) / min(LOAD_WINDOW, traffic_age)
            if traffic_age > TICKS_PER_SECOND
            else INITIAL_LIMIT
        )
        return max(self.min_limit, throughput_limit) * self.class_factor(request_class)

    def class_factor(self, request_class: RequestClass) -> float:
        """Returns the class's factor by its priority weight per unit of response time."""
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
        """Returns the observed latency relative to what is still in time; above 1, endpoints queue.

        The baseline latency enters as BASELINE_WEIGHT responses, so that few outcomes do not
        shed load. Timeouts and rejections count only once they approach the number of responses;
        below that, a few endpoints may cause them.
        """
        responses = self.response_counts.total(now)
        failures = self.overload_failures.total(now)
        total_weight = responses + BASELINE_WEIGHT
        latency_sum = self.relative_latencies.total(now) + BASELINE_WEIGHT * self.baseline_latency
        tolerated_failures = TOLERATED_FAILURE_RATIO * responses + 0.5
        if failures + len(open_requests) > tolerated_failures:  # otherwise they cannot matter
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
        """Returns why the request is rejected; None if it is admitted.

        Args:
            now: The current time.
            request_class: The request's class.
            open_requests: The open requests, including this one.
            traffic_age: Ticks since the first traffic.
            recent_requests: Requests in the traffic window.
            draw: Returns a random number; called only if load is shed at random.
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
