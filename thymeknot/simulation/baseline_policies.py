"""Baseline policies for comparisons, and policies that break one rule each to test the checker.

All have the interface of the decision engine: `handle(now, events) -> actions`. They vote to
promote after a fixed time, or not at all. Times are in ticks (tenths of a millisecond).
"""

from collections.abc import Iterable, Sequence
from typing import Any, ClassVar, NamedTuple

from ..interface.actions import CastVote, Fail, Reject, SendAttempt, SetTimer
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import (
    EndpointCondition,
    Idempotency,
    Outcome,
    ReleasePhase,
    UpdateKind,
    Verdict,
)
from ..interface.events import (
    AttemptEnded,
    Endpoint,
    EndpointUpdate,
    ReleaseUpdate,
    RequestReceived,
    TimerFired,
)
from ..interface.settings import RequestClass, Settings
from ..state.random_source import LinearCongruentialGenerator

# Time from the start of a stage until the vote to promote.
VOTE_DELAY: Ticks = 5 * TICKS_PER_SECOND
# Interval at which the policy checks whether to vote.
TIMER_INTERVAL: Ticks = TICKS_PER_SECOND // 2
# Maximum number of keys that stay with the newest build.
MAX_STICKY_KEYS = 20_000
# Timeout of the retry that breaks rule 2.
UNSAFE_RETRY_TIMEOUT: Ticks = TICKS_PER_SECOND // 2
# Outcomes of attempts that were not executed.
UNEXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class InFlightRequest(NamedTuple):
    """A request with an attempt in flight."""

    endpoint: Endpoint
    key: str
    request_class: RequestClass


class ReleaseState(NamedTuple):
    """State of the newest build's rollout by the last complete release update."""

    build: int
    stage: int
    phase: ReleasePhase
    cap: float


class BaselinePolicy:
    """Common part of the policies: one attempt per request and a simple count of exposure."""

    # Method for each type of event; other events are ignored.
    EVENT_HANDLERS: ClassVar[dict[type, str]] = {
        EndpointUpdate: "_on_endpoints",
        ReleaseUpdate: "_on_release",
        TimerFired: "_on_timer",
        RequestReceived: "_on_request",
        AttemptEnded: "_on_attempt_ended",
    }

    def __init__(self, settings: Settings, seed: int, now: Ticks, casts_votes: bool = True) -> None:
        """Creates the policy of an instance that knows no endpoints yet.

        Args:
            settings: The settings of the instance.
            seed: Seed of the random choices.
            now: The time.
            casts_votes: Whether the policy votes.
        """
        self.settings = settings
        self.generator = LinearCongruentialGenerator(seed)
        self.casts_votes = casts_votes
        self.endpoints: dict[str, Endpoint] = {}
        self.release: ReleaseState | None = None
        self.in_flight: dict[str, InFlightRequest] = {}
        # Number of attempts in flight, by address of the endpoint.
        self.in_flight_counts: dict[str, int] = {}
        self.stage_began_at = now
        # Times of requests, and of attempts at the build on trial, in the exposure window.
        self.request_times: list[Ticks] = []
        self.trial_times: list[Ticks] = []
        self.actions: list[Any] = []
        self.now = now
        self.timer_is_set = False
        # Keys that the newest build has served.
        self.sticky_keys: set[str] = set()

    def handle(self, now: Ticks, events: Iterable[Any]) -> list[Any]:
        """Handles events and returns the resulting actions."""
        self.now = now
        self.actions = []
        for event in events:
            method = self.EVENT_HANDLERS.get(type(event))
            if method:
                getattr(self, method)(event)
        if not self.timer_is_set:
            self.timer_is_set = True
            self.actions.append(SetTimer(now + TIMER_INTERVAL, 0))
        return self.actions

    def _on_endpoints(self, event: EndpointUpdate) -> None:
        if event.kind not in (UpdateKind.DELTA, UpdateKind.FETCH_FAILED):
            self.endpoints = {}
        for endpoint in event.endpoints:
            if endpoint.condition == EndpointCondition.READY:
                self.endpoints[endpoint.address] = endpoint
            else:
                self.endpoints.pop(endpoint.address, None)

    def _on_release(self, update: ReleaseUpdate) -> None:
        if (
            update.outcome != Outcome.DONE
            or update.stage is None
            or update.phase is None
            or update.cap is None
        ):
            return
        if self.release is None or (update.build, update.stage) != (
            self.release.build,
            self.release.stage,
        ):
            self.stage_began_at = self.now
        if self.release is None or update.build != self.release.build:
            self.trial_times = []
            self.sticky_keys = set()
        self.release = ReleaseState(update.build, update.stage, update.phase, update.cap)

    def _on_timer(self, _event: TimerFired) -> None:
        self.actions.append(SetTimer(self.now + TIMER_INTERVAL, 0))
        release = self.release
        if (
            self.casts_votes
            and release
            and release.phase == ReleasePhase.ON_TRIAL
            and self.now >= self.stage_began_at + VOTE_DELAY
        ):
            self.actions.append(CastVote(release.build, release.stage, Verdict.PROMOTE))

    def _phase(self) -> ReleasePhase | None:
        return self.release.phase if self.release else None

    def _may_use_newest(self, request_class: RequestClass) -> bool:
        """Returns whether the cap and the guarded stages permit a request at the newest build."""
        state = self.release
        if state is None:
            return False
        if state.phase == ReleasePhase.RELEASED:
            return True
        if state.phase != ReleasePhase.ON_TRIAL or (
            state.stage < self.settings.guarded_stages
            and request_class.idempotency != Idempotency.IDEMPOTENT
        ):
            return False
        window_start = self.now - self.settings.exposure_window
        self.request_times = [time for time in self.request_times if time > window_start]
        self.trial_times = [time for time in self.trial_times if time > window_start]
        # Requests leave the window before their attempts do. The cap is therefore applied only to
        # half of the requests, and to no more than arrived in the second half of the window.
        recent = [
            time
            for time in self.request_times
            if time > window_start + self.settings.exposure_window // 2
        ]
        return len(self.trial_times) + 1 <= self.settings.exposure_allowance / 2 + state.cap * min(
            len(recent), len(self.request_times) / 2
        )

    def _on_request(self, event: RequestReceived) -> None:
        request_class = self.settings.request_classes[event.request_class]
        self.request_times.append(self.now)
        key = event.key or event.id
        candidates = self._candidates(key, request_class)
        if not candidates:
            self.actions.append(Reject(event.id, self.settings.max_retry_after))
            return
        endpoint = self.choose(candidates)
        self.in_flight[event.id] = InFlightRequest(endpoint, key, request_class)
        self.in_flight_counts[endpoint.address] = self.in_flight_counts.get(endpoint.address, 0) + 1
        self.actions.append(SendAttempt(event.id, endpoint.address, event.time_left))

    def _candidates(self, key: str, request_class: RequestClass) -> list[Endpoint]:
        """Returns the endpoints that a request may go to: the newest build's or the other ones."""
        newest = self.release.build if self.release else 0
        phase = self._phase()
        newest_endpoints = [
            endpoint for endpoint in self.endpoints.values() if endpoint.build == newest
        ]
        other_endpoints = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.build < newest or phase == ReleasePhase.RELEASED
        ]
        is_sticky = key in self.sticky_keys and phase in (
            ReleasePhase.ON_TRIAL,
            ReleasePhase.RELEASED,
        )
        may_use_newest = bool(newest_endpoints) and self._may_use_newest(request_class)
        newest_share = len(newest_endpoints) / max(1, len(self.endpoints))
        if may_use_newest and (
            is_sticky or not other_endpoints or self.generator.draw() < newest_share
        ):
            if phase == ReleasePhase.ON_TRIAL:
                self.trial_times.append(self.now)
            return newest_endpoints
        return [] if is_sticky else other_endpoints

    def choose(self, candidates: Sequence[Endpoint]) -> Endpoint:
        """Returns a random candidate."""
        return candidates[int(self.generator.draw() * len(candidates))]

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.in_flight.pop(event.id, None)
        if request is None:
            return
        self.in_flight_counts[request.endpoint.address] -= 1
        if event.outcome == Outcome.DONE:
            newest = self.release.build if self.release else 0
            if request.endpoint.build == newest and len(self.sticky_keys) < MAX_STICKY_KEYS:
                self.sticky_keys.add(request.key)
        elif not event.closed:
            idempotent = request.request_class.idempotency == Idempotency.IDEMPOTENT
            if event.outcome in UNEXECUTED_OUTCOMES or idempotent:
                self.actions.append(Reject(event.id, self.settings.max_retry_after))
            else:
                self.actions.append(Fail(event.id))


class RandomChoice(BaselinePolicy):
    """Chooses at random among the endpoints that the cap permits."""


class RoundRobin(BaselinePolicy):
    """Chooses the endpoints in turn."""

    def __init__(self, settings: Settings, seed: int, now: Ticks, casts_votes: bool = True) -> None:
        super().__init__(settings, seed, now, casts_votes)
        self.position = 0

    def choose(self, candidates: Sequence[Endpoint]) -> Endpoint:
        """Returns the next candidate."""
        self.position += 1
        return candidates[self.position % len(candidates)]


class LeastInFlight(BaselinePolicy):
    """Chooses the endpoint with the fewest attempts of this instance in flight."""

    def choose(self, candidates: Sequence[Endpoint]) -> Endpoint:
        """Returns a random one of the candidates with the fewest attempts in flight."""
        fewest = min(self.in_flight_counts.get(endpoint.address, 0) for endpoint in candidates)
        least_loaded = [
            endpoint
            for endpoint in candidates
            if self.in_flight_counts.get(endpoint.address, 0) == fewest
        ]
        return least_loaded[int(self.generator.draw() * len(least_loaded))]


class TwoChoices(BaselinePolicy):
    """Chooses the endpoint with fewer attempts in flight out of two random ones."""

    def choose(self, candidates: Sequence[Endpoint]) -> Endpoint:
        """Returns the better one of two random candidates."""
        pair = [candidates[int(self.generator.draw() * len(candidates))] for _ in range(2)]
        return min(pair, key=lambda endpoint: self.in_flight_counts.get(endpoint.address, 0))


class DropsAnswer(BaselinePolicy):
    """Breaks rule 1: never answers one request."""

    def __init__(self, settings: Settings, seed: int, now: Ticks, casts_votes: bool = True) -> None:
        super().__init__(settings, seed, now, casts_votes)
        self.has_dropped = False

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        if event.outcome != Outcome.DONE and not self.has_dropped:
            self.has_dropped = True
            self.in_flight.pop(event.id, None)
            return
        super()._on_attempt_ended(event)


class RetriesUnsafely(BaselinePolicy):
    """Breaks rule 2: retries a non-idempotent request that may have been executed."""

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.in_flight.get(event.id)
        if (
            request
            and event.outcome == Outcome.ERROR
            and request.request_class.idempotency == Idempotency.NON_IDEMPOTENT
            and not event.closed
            and event.number == 0
        ):
            endpoint = self.choose(list(self.endpoints.values()))
            self.actions.append(SendAttempt(event.id, endpoint.address, UNSAFE_RETRY_TIMEOUT))
            return
        super()._on_attempt_ended(event)


class IgnoresDraining(BaselinePolicy):
    """Breaks rule 3: keeps sending requests to draining endpoints."""

    def _on_endpoints(self, event: EndpointUpdate) -> None:
        endpoints = tuple(
            endpoint._replace(condition=EndpointCondition.READY)
            if endpoint.condition == EndpointCondition.DRAINING
            else endpoint
            for endpoint in event.endpoints
        )
        super()._on_endpoints(event._replace(endpoints=endpoints))


class OverloadsNewestEndpoint(BaselinePolicy):
    """Breaks rule 4: sends all requests to the endpoint that started last."""

    def choose(self, candidates: Sequence[Endpoint]) -> Endpoint:
        """Returns the first of the candidates that started last."""
        latest_start = max(endpoint.started for endpoint in candidates)
        return next(endpoint for endpoint in candidates if endpoint.started == latest_start)


class IgnoresCap(BaselinePolicy):
    """Breaks rule 5: ignores the cap and the guarded stages of the build on trial."""

    def _may_use_newest(self, request_class: RequestClass) -> bool:
        return True


# Baseline policies by the names that the `lab` commands accept.
BASELINE_POLICIES: dict[str, type[BaselinePolicy]] = {
    "random": RandomChoice,
    "turns": RoundRobin,
    "least-out": LeastInFlight,
    "two-choices": TwoChoices,
}
# Policies by the number of the rule that they break.
RULE_BREAKING_POLICIES: dict[int, type[BaselinePolicy]] = {
    1: DropsAnswer,
    2: RetriesUnsafely,
    3: IgnoresDraining,
    4: OverloadsNewestEndpoint,
    5: IgnoresCap,
}
