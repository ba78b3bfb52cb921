"""Policies to compare with, and such as break one rule each, by which the checkers are checked.

All have the interface of the decision engine: handle(now, events) -> actions. They vote to promote
after a fixed time, or not at all. Times are ticks (tenths of a millisecond).
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

# From the begin of a stage until a vote to promote.
VOTE_AFTER: Ticks = 5 * TICKS_PER_SECOND
# How often the vote is looked at.
TIMER_INTERVAL: Ticks = TICKS_PER_SECOND // 2
# Keys that are kept with the newest build at most.
MAX_STICKY_KEYS = 20_000
# Timeout of the attempt that breaks rule 2.
REPEAT_TIMEOUT: Ticks = TICKS_PER_SECOND // 2
# An attempt that ended like this did not run.
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class InFlight(NamedTuple):
    """A request whose attempt is under way."""

    endpoint: Endpoint
    key: str
    request_class: RequestClass


class Release(NamedTuple):
    """Where the newest build stands, by the last update that came whole."""

    build: int
    stage: int
    phase: ReleasePhase
    cap: float


class BaselinePolicy:
    """What the policies share: one attempt a request, and the cap's budget, counted plainly."""

    # The method for each event; others are ignored.
    EVENTS: ClassVar[dict[type, str]] = {
        EndpointUpdate: "_on_endpoints",
        ReleaseUpdate: "_on_release",
        TimerFired: "_on_timer",
        RequestReceived: "_on_request",
        AttemptEnded: "_on_attempt_ended",
    }

    def __init__(self, terms: Settings, seed: int, now: Ticks, votes: bool = True) -> None:
        """Starts without endpoints.

        Args:
            terms: the settings.
            seed: of its random choices.
            now: the time.
            votes: whether it votes.
        """
        self.terms = terms
        self.chance = LinearCongruentialGenerator(seed)
        self.votes = votes
        self.pods: dict[str, Endpoint] = {}
        self.news: Release | None = None
        self.open: dict[str, InFlight] = {}
        # Attempts in flight, by endpoint.
        self.out: dict[str, int] = {}
        self.staged_at = now
        # Requests that came and attempts at the build on trial, in the exposure window.
        self.taken: list[Ticks] = []
        self.tried: list[Ticks] = []
        self.actions: list[Any] = []
        self.now = now
        # Whether the timer was set.
        self.set = False
        # Keys that the newest build has answered.
        self.pins: set[str] = set()

    def handle(self, now: Ticks, events: Iterable[Any]) -> list[Any]:
        """The actions that follow from these events."""
        self.now = now
        self.actions = []
        for event in events:
            method = self.EVENTS.get(type(event))
            if method:
                getattr(self, method)(event)
        if not self.set:
            self.set = True
            self.actions.append(SetTimer(now + TIMER_INTERVAL, 0))
        return self.actions

    def _on_endpoints(self, event: EndpointUpdate) -> None:
        if event.kind not in (UpdateKind.DELTA, UpdateKind.FETCH_FAILED):
            self.pods = {}
        for pod in event.endpoints:
            if pod.condition == EndpointCondition.READY:
                self.pods[pod.address] = pod
            else:
                self.pods.pop(pod.address, None)

    def _on_release(self, news: ReleaseUpdate) -> None:
        if (
            news.outcome != Outcome.DONE
            or news.stage is None
            or news.phase is None
            or news.cap is None
        ):
            return
        if self.news is None or (news.build, news.stage) != (self.news.build, self.news.stage):
            self.staged_at = self.now
        if self.news is None or news.build != self.news.build:
            self.tried = []
            self.pins = set()
        self.news = Release(news.build, news.stage, news.phase, news.cap)

    def _on_timer(self, _event: TimerFired) -> None:
        self.actions.append(SetTimer(self.now + TIMER_INTERVAL, 0))
        news = self.news
        if (
            self.votes
            and news
            and news.phase == ReleasePhase.ON_TRIAL
            and self.now >= self.staged_at + VOTE_AFTER
        ):
            self.actions.append(CastVote(news.build, news.stage, Verdict.PROMOTE))

    def _phase(self) -> ReleasePhase | None:
        return self.news.phase if self.news else None

    def _may_try(self, request_class: RequestClass) -> bool:
        """Whether the cap and the guarded stages let a request go to the newest build."""
        news = self.news
        if news is None:
            return False
        if news.phase == ReleasePhase.RELEASED:
            return True
        if news.phase != ReleasePhase.ON_TRIAL or (
            news.stage < self.terms.guarded_stages
            and request_class.idempotency != Idempotency.IDEMPOTENT
        ):
            return False
        since = self.now - self.terms.exposure_window
        self.taken = [at for at in self.taken if at > since]
        self.tried = [at for at in self.tried if at > since]
        # Of the requests, the oldest leave the window before the attempts do: half of them must
        # carry it.
        late = [at for at in self.taken if at > since + self.terms.exposure_window // 2]
        return len(self.tried) + 1 <= self.terms.exposure_allowance / 2 + news.cap * min(
            len(late), len(self.taken) / 2
        )

    def _on_request(self, event: RequestReceived) -> None:
        request_class = self.terms.request_classes[event.request_class]
        self.taken.append(self.now)
        key = event.key or event.id
        pool = self._pool(key, request_class)
        if not pool:
            self.actions.append(Reject(event.id, self.terms.max_retry_after))
            return
        pod = self.choose(pool)
        self.open[event.id] = InFlight(pod, key, request_class)
        self.out[pod.address] = self.out.get(pod.address, 0) + 1
        self.actions.append(SendAttempt(event.id, pod.address, event.time_left))

    def _pool(self, key: str, request_class: RequestClass) -> list[Endpoint]:
        """The endpoints, of the newest build or of the others, that a request may go to."""
        newest = self.news.build if self.news else 0
        phase = self._phase()
        trial = [pod for pod in self.pods.values() if pod.build == newest]
        usual = [
            pod
            for pod in self.pods.values()
            if pod.build < newest or phase == ReleasePhase.RELEASED
        ]
        stays = key in self.pins and phase in (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED)
        may = bool(trial) and self._may_try(request_class)
        part = len(trial) / max(1, len(self.pods))
        if may and (stays or not usual or self.chance.draw() < part):
            if phase == ReleasePhase.ON_TRIAL:
                self.tried.append(self.now)
            return trial
        return [] if stays else usual

    def choose(self, pool: Sequence[Endpoint]) -> Endpoint:
        """One of these endpoints, at random."""
        return pool[int(self.chance.draw() * len(pool))]

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        held = self.open.pop(event.id, None)
        if held is None:
            return
        self.out[held.endpoint.address] -= 1
        if event.outcome == Outcome.DONE:
            newest = self.news.build if self.news else 0
            if held.endpoint.build == newest and len(self.pins) < MAX_STICKY_KEYS:
                self.pins.add(held.key)
        elif not event.closed:
            idempotent = held.request_class.idempotency == Idempotency.IDEMPOTENT
            if event.outcome in NEVER_RAN or idempotent:
                self.actions.append(Reject(event.id, self.terms.max_retry_after))
            else:
                self.actions.append(Fail(event.id))


class RandomChoice(BaselinePolicy):
    """At random among the endpoints that the cap lets."""


class RoundRobin(BaselinePolicy):
    """Each endpoint in turn."""

    def __init__(self, terms: Settings, seed: int, now: Ticks, votes: bool = True) -> None:
        super().__init__(terms, seed, now, votes)
        self.turn = 0

    def choose(self, pool: Sequence[Endpoint]) -> Endpoint:
        """The next endpoint."""
        self.turn += 1
        return pool[self.turn % len(pool)]


class LeastInFlight(BaselinePolicy):
    """The endpoint with the fewest attempts of one's own in flight."""

    def choose(self, pool: Sequence[Endpoint]) -> Endpoint:
        """One of the endpoints with the fewest, at random."""
        least = min(self.out.get(pod.address, 0) for pod in pool)
        some = [pod for pod in pool if self.out.get(pod.address, 0) == least]
        return some[int(self.chance.draw() * len(some))]


class TwoChoices(BaselinePolicy):
    """The one with fewer attempts in flight out of two drawn at random."""

    def choose(self, pool: Sequence[Endpoint]) -> Endpoint:
        """The better one of two."""
        two = [pool[int(self.chance.draw() * len(pool))] for _ in range(2)]
        return min(two, key=lambda pod: self.out.get(pod.address, 0))


class DropsAnswer(BaselinePolicy):
    """Breaks rule 1: one request never gets an answer."""

    def __init__(self, terms: Settings, seed: int, now: Ticks, votes: bool = True) -> None:
        super().__init__(terms, seed, now, votes)
        self.has_dropped = False

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        if event.outcome != Outcome.DONE and not self.has_dropped:
            self.has_dropped = True
            self.open.pop(event.id, None)
            return
        super()._on_attempt_ended(event)


class RepeatsUnsafely(BaselinePolicy):
    """Breaks rule 2: sends a request again that may have run and must not run twice."""

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        held = self.open.get(event.id)
        if (
            held
            and event.outcome == Outcome.ERROR
            and held.request_class.idempotency == Idempotency.NON_IDEMPOTENT
            and not event.closed
            and event.number == 0
        ):
            endpoint = self.choose(list(self.pods.values()))
            self.actions.append(SendAttempt(event.id, endpoint.address, REPEAT_TIMEOUT))
            return
        super()._on_attempt_ended(event)


class IgnoresDraining(BaselinePolicy):
    """Breaks rule 3: goes on sending to what drains."""

    def _on_endpoints(self, event: EndpointUpdate) -> None:
        endpoints = tuple(
            pod._replace(condition=EndpointCondition.READY)
            if pod.condition == EndpointCondition.DRAINING
            else pod
            for pod in event.endpoints
        )
        super()._on_endpoints(event._replace(endpoints=endpoints))


class OverloadsNewest(BaselinePolicy):
    """Breaks rule 4: whatever has started last gets everything."""

    def choose(self, pool: Sequence[Endpoint]) -> Endpoint:
        """The first of those that started last."""
        last = max(pod.started for pod in pool)
        return next(pod for pod in pool if pod.started == last)


class IgnoresCap(BaselinePolicy):
    """Breaks rule 5: sends to the build on trial whatever it likes."""

    def _may_try(self, request_class: RequestClass) -> bool:
        return True


# By the words of the command.
BASELINE_POLICIES: dict[str, type[BaselinePolicy]] = {
    "random": RandomChoice,
    "turns": RoundRobin,
    "least-out": LeastInFlight,
    "two-choices": TwoChoices,
}
# By the number of the rule that they break.
RULE_BREAKING_POLICIES: dict[int, type[BaselinePolicy]] = {
    1: DropsAnswer,
    2: RepeatsUnsafely,
    3: IgnoresDraining,
    4: OverloadsNewest,
    5: IgnoresCap,
}
