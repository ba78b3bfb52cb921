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

OBJECTIVE_PART = 0.5  # of the latency objective: the mean time that the concurrency limit aims at
LIMIT_LEAST = 16  # open requests of an instance, where few instances share the endpoints
LIMIT_LEAST_IN_FLEET = 3.0  # and where many do
CLASS_PART_LOWEST = 0.8  # of the limit and the odds, for the class that earns least for its time
CLASS_PART_HIGHEST = 1.25  # and for the one that earns most
FEW_INSTANCES = 5  # sidecars that share the endpoints
FEW_REQUESTS = 120  # in the traffic window: too few to count, so they are admitted by chance
USUAL_TIME = 0.2  # of the latency objective, if unknown
USUAL_WEIGHT = 4  # outcomes that the usual time counts for
IN_TIME_PART = 0.15  # of the rest up to the objective: a response is still in time
SILENT_PART = 0.75  # of the responses: so many silent or rejected attempts are a few endpoints'
USUAL_RISE = 0.005  # gain of the usual time; small, or an overload becomes the usual
USUAL_FALL = 0.02  # gain of the usual time where it falls
MEAN_GAIN = 0.03  # of a class's mean response time
TIMES_HIGHEST = 2.0  # of the latency objective that one response counts for
TIMED_OUT_PART = 0.99  # of the latency objective, after which a time-out is the class's own
WINDOW = 2 * TICKS_PER_SECOND  # ticks of responses that the limit and the pressure go by
WINDOW_BUCKETS = 8  # a quarter of a second each
LIMIT_UNKNOWN = 1000.0  # until there was a second of traffic: no responses yet are no overload
DEVIATIONS = 3.0  # standard deviations of open requests left to chance, in a fleet that is calm
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
        self.fleet = settings.instances > FEW_INSTANCES
        self.least = max(
            LIMIT_LEAST_IN_FLEET, LIMIT_LEAST * min(1.0, FEW_INSTANCES / settings.instances)
        )
        self.target_latencies = SlidingWindow(WINDOW, WINDOW_BUCKETS)
        self.response_counts = SlidingWindow(WINDOW, WINDOW_BUCKETS)
        self.relative_latencies = SlidingWindow(WINDOW, WINDOW_BUCKETS)
        self.overload_failures = SlidingWindow(WINDOW, WINDOW_BUCKETS)
        self.baseline_latency = USUAL_TIME
        self.mean_latencies: dict[str, float] = {}
        self.request_classes: dict[str, RequestClass] = {}

    def record_outcome(
        self, now: Ticks, request_class: RequestClass, end: AttemptEnded, fraction: float
    ) -> None:
        """Takes in an outcome at an endpoint with this part of its capacity."""
        objective = request_class.latency_objective
        late = end.outcome == Outcome.TIMED_OUT and end.latency >= TIMED_OUT_PART * objective
        if late or end.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            self.overload_failures.add(now)
        elif end.outcome == Outcome.DONE:
            times = min(TIMES_HIGHEST, end.latency * fraction / objective)
            self.response_counts.add(now)
            self.relative_latencies.add(now, times)
            apart = times - self.baseline_latency
            gain = USUAL_RISE if apart > 0 else USUAL_FALL
            self.baseline_latency = min(OBJECTIVE_PART, self.baseline_latency + gain * apart)

    def record_latency(self, now: Ticks, request_class: RequestClass, latency: Ticks) -> None:
        """Takes in the response time of a good response."""
        self.target_latencies.add(now, OBJECTIVE_PART * request_class.latency_objective)
        name = request_class.name
        mean = self.mean_latencies.get(name, latency)
        self.mean_latencies[name] = max(1.0, mean + MEAN_GAIN * (latency - mean))
        self.request_classes[name] = request_class

    def concurrency_limit(self, now: Ticks, request_class: RequestClass, since: Ticks) -> float:
        """How many requests may be open.

        As many as responses come for within part of the objective (Little's law), so no queue
        lasts. Classes that earn least are rejected first.

        Args:
            now: the moment.
            request_class: the request's.
            since: ticks since the first traffic.
        """
        come = (
            self.target_latencies.total(now) / min(WINDOW, since)
            if since > TICKS_PER_SECOND
            else LIMIT_UNKNOWN
        )
        return max(self.least, come) * self.class_part(request_class)

    def class_part(self, request_class: RequestClass) -> float:
        """The class's part of the limit and the odds, by what it earns for its response time."""
        worth = {
            name: self.request_classes[name].priority_weight / mean
            for name, mean in self.mean_latencies.items()
        }
        low = min(worth.values(), default=0)
        high = max(worth.values(), default=0)
        rank = (
            (worth[request_class.name] - low) / (high - low)
            if request_class.name in worth and high > low
            else 0.5
        )
        return CLASS_PART_LOWEST + (CLASS_PART_HIGHEST - CLASS_PART_LOWEST) * rank

    def pressure(self, now: Ticks, open_requests: Collection[RequestState]) -> float:
        """The time that endpoints take over what is still in time: above 1 they queue.

        What is unknown is usual: few outcomes do not bind. Silence and rejections are a few
        endpoints' matter until they near the responses.
        """
        responses = self.response_counts.total(now)
        late = self.overload_failures.total(now)
        seen = responses + USUAL_WEIGHT
        times = self.relative_latencies.total(now) + USUAL_WEIGHT * self.baseline_latency
        bound = SILENT_PART * responses + 0.5
        if late + len(open_requests) > bound:  # else what is open could not tip it
            late += sum(
                now - request.attempts[-1].sent_at
                > OBJECTIVE_PART * request.request_class.latency_objective
                for request in open_requests
                if request.attempts and request.attempts[-1].in_flight
            )
        if late > bound:
            seen += late
            times += late
        return times / seen / (self.baseline_latency + IN_TIME_PART * (1 - self.baseline_latency))

    def rejection(
        self,
        now: Ticks,
        request_class: RequestClass,
        open_requests: Collection[RequestState],
        since: Ticks,
        *,
        recent: float,
        draw: Callable[[], float],
    ) -> Rejection | None:
        """Why the request is rejected; None if it is admitted.

        Args:
            now: the moment.
            request_class: the request's.
            open_requests: those that are open, with this one.
            since: ticks since the first traffic.
            recent: requests in the traffic window.
            draw: gives a random number; asked only where chance decides.
        """
        pressure = self.pressure(now, open_requests)
        limit = self.concurrency_limit(now, request_class, since)
        pressed = pressure > 1
        deviations = DEVIATIONS if self.fleet and not pressed else 0.0
        bound = limit + deviations * limit**0.5
        if len(open_requests) > bound:
            return Rejection(False, len(open_requests), bound)
        if not pressed or recent >= FEW_REQUESTS:
            return None
        odds = self.class_part(request_class) / pressure
        return Rejection(True, pressure, odds) if odds < 1 and draw() > odds else None
