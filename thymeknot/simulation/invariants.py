"""Checks the five rules (invariants) that the instances of a fleet must keep.

The checker is told what each instance learned, received, sent and answered. It shares no code with
what it checks: it keeps plain lists of times instead of sliding windows. Times are in ticks (tenths
of a millisecond).
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import NamedTuple

from ..interface.clock import Ticks
from ..interface.enums import Idempotency
from ..interface.settings import RequestClass

# Tolerance for rounding errors in the exposure bound.
EXPOSURE_ROUNDING = 1e-9
# A warming-up server may get this factor times the work that overloads it, plus this many requests:
# a sender does not know what the other instances have in flight.
OVERLOAD_MARGIN = 1.1
OVERLOAD_SPARE_REQUESTS = 4


class Rule(IntEnum):
    """The rules, with their numbers in reports."""

    ONE_ANSWER = 1
    """Each request gets exactly one answer, in time."""
    NO_UNSAFE_REPEAT = 2
    """A request that may have run is neither repeated nor deferred unless that is safe."""
    DRAINED = 3
    """No attempt goes to a server that is known to be gone."""
    WARMUP = 4
    """A server is not overloaded during its warm-up."""
    EXPOSURE = 5
    """The build on trial gets no more than its cap allows; keys that it answered stay with it."""


class ListedState(StrEnum):
    """State of a server in an endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class RolloutPhase(StrEnum):
    """Phase of a build's rollout."""

    TRIAL = "trial"
    ROLLING_BACK = "back"
    RELEASED = "released"
    WITHDRAWN = "withdrawn"


class Answer(StrEnum):
    """How a request was answered."""

    DONE = "done"
    DEFERRED = "deferred"
    ABANDONED = "abandoned"


class Violation(NamedTuple):
    """A violation of a rule."""

    rule: Rule
    at: Ticks
    description: str


class CapUpdate(NamedTuple):
    """What an instance learned about the newest build."""

    at: Ticks
    build: int
    cap: float
    """Maximum ratio of requests that may go to the build."""
    stage: int
    phase: RolloutPhase


class WarmupWork(NamedTuple):
    """Work sent to a server during its warm-up."""

    at: Ticks
    work: float
    informed: bool
    """Whether the sender knew when the server started."""


@dataclass(slots=True)
class SentAttempt:
    """An attempt that was sent."""

    at: Ticks
    ran: bool | None = None
    """Whether the attempt ran; None if unknown."""


class InvariantChecker:
    """Checks the behaviour of the instances of a fleet against the rules.

    Attributes:
        violations: The violations found.
        open_requests: Class and deadline of the unanswered requests, by instance and name.
        answers: The answers, by instance and name.
        max_warmup_load_ratio: Highest ratio of the work sent to a server during its warm-up to the
            allowed work.
    """

    def __init__(
        self,
        lanes: Mapping[str, RequestClass],
        drain_grace: Ticks,
        exposure_window: Ticks,
        exposure_allowance: float,
        exposure_by_class: bool = False,
        *,
        guarded_stages: int = 0,
        warmup_duration: Ticks = 0,
        warmup_initial_fraction: float = 1.0,
        overload_factor: float = 2.0,
        overload_window: Ticks = 0,
        answer_tolerance: Ticks = 50,
    ) -> None:
        """Creates a checker without history.

        Args:
            lanes: The request classes by name.
            drain_grace: How long a server may get attempts after an instance learned that it is
                gone.
            exposure_window: Length of the window over which exposure is counted.
            exposure_allowance: Number of attempts allowed beyond the cap.
            exposure_by_class: Whether exposure is counted separately for each class.
            guarded_stages: In stages before this one, only idempotent requests may go to the trial.
            warmup_duration: Duration of a server's warm-up; 0 disables the check.
            warmup_initial_fraction: Ratio of the full capacity that is available at the start.
            overload_factor: Load, in multiples of its capacity, that overloads a server in its
                warm-up.
            overload_window: How long a server withstands that load.
            answer_tolerance: How late an answer may be.
        """
        self.lanes = lanes
        self.drain_grace = drain_grace
        self.exposure_window = exposure_window
        self.exposure_allowance = exposure_allowance
        self.exposure_by_class = exposure_by_class
        self.guarded_stages = guarded_stages
        self.warmup_duration = warmup_duration
        self.warmup_initial_fraction = warmup_initial_fraction
        self.overload_factor = overload_factor
        self.overload_window = overload_window
        self.answer_tolerance = answer_tolerance
        self.violations: list[Violation] = []
        self.open_requests: dict[tuple[int, str], tuple[str, Ticks]] = {}
        self.answers: dict[tuple[int, str], Answer] = {}
        # Executions, by request.
        self.execution_times: defaultdict[str, list[Ticks]] = defaultdict(list)
        # Attempts, by instance and request.
        self.attempts_of: defaultdict[tuple[int, str], list[SentAttempt]] = defaultdict(list)
        # When an instance learned that a server is gone, by instance and server.
        self.gone_since: defaultdict[int, dict[str, Ticks]] = defaultdict(dict)
        # Arrival times of requests, by instance and class ("" for all).
        self.received_at: defaultdict[tuple[int, str], list[Ticks]] = defaultdict(list)
        # Times of attempts at a build on trial, by instance, build and class ("" for all).
        self.trial_attempts_at: defaultdict[tuple[int, int, str], list[Ticks]] = defaultdict(list)
        self.cap_updates: defaultdict[int, list[CapUpdate]] = defaultdict(list)
        # The build that last answered a key, by instance and key.
        self.key_builds: defaultdict[int, dict[str, int]] = defaultdict(dict)
        # Work sent during a warm-up, by server and start time.
        self.warmup_work: defaultdict[tuple[str, Ticks], list[WarmupWork]] = defaultdict(list)
        # Start times of the servers, by instance and server, as the instance knows them.
        self.known_starts: defaultdict[int, dict[str, Ticks]] = defaultdict(dict)
        self.max_warmup_load_ratio = 0.0

    def _add_violation(self, rule: Rule, now: Ticks, text: str) -> None:
        self.violations.append(Violation(rule, now, text))

    # What instances learn.

    def record_endpoint_state(
        self, now: Ticks, instance: int, pod: str, state: ListedState
    ) -> None:
        """Records that an instance learned a server's state; READY cancels an earlier state."""
        if state == ListedState.READY:
            self.gone_since[instance].pop(pod, None)
        else:
            self.gone_since[instance].setdefault(pod, now)

    def record_server_start(self, instance: int, pod: str, at: Ticks) -> None:
        """Records that an instance learned when a server started."""
        self.known_starts[instance][pod] = at

    def record_release_state(
        self, now: Ticks, instance: int, build: int, cap: float, stage: int, *, phase: RolloutPhase
    ) -> None:
        """Records that an instance learned the state of the newest build."""
        self.cap_updates[instance].append(CapUpdate(now, build, cap, stage, phase))

    # What instances do.

    def record_request(self, now: Ticks, instance: int, name: str, lane: str, ends: Ticks) -> None:
        """Records the arrival of a request that must be answered by `ends`."""
        self.open_requests[instance, name] = lane, ends
        self.received_at[instance, lane if self.exposure_by_class else ""].append(now)

    def record_answer(self, now: Ticks, instance: int, name: str, how: Answer) -> None:
        """Records and checks the answer to a request."""
        open_request = self.open_requests.pop((instance, name), None)
        if open_request is None:
            answered_before = (instance, name) in self.answers
            self._add_violation(
                Rule.ONE_ANSWER,
                now,
                f"{name}: {'a second answer' if answered_before else 'never taken'}",
            )
            return
        lane, ends = open_request
        self.answers[instance, name] = how
        if now > ends + self.answer_tolerance:
            self._add_violation(Rule.ONE_ANSWER, now, f"{name}: answered {now - ends} late")
        if how == Answer.DEFERRED and self._may_have_run(now, instance, name, lane):
            self._add_violation(
                Rule.NO_UNSAFE_REPEAT, now, f"{name}: deferred though it may have run"
            )

    def _possibly_run(self, instance: int, name: str) -> list[SentAttempt]:
        """Returns the attempts that ran or may have run."""
        return [one for one in self.attempts_of[instance, name] if one.ran is not False]

    def _may_have_run(self, now: Ticks, instance: int, name: str, lane: str) -> bool:
        """Returns whether a retry by the client could make the request run twice."""
        idempotency = self.lanes[lane].idempotency
        if idempotency == Idempotency.IDEMPOTENT:
            return False
        possibly_run = self._possibly_run(instance, name)
        return bool(possibly_run) and (
            idempotency == Idempotency.NON_IDEMPOTENT
            or now > possibly_run[0].at + self.lanes[lane].deduplication_window
        )

    def record_kill(self, now: Ticks, instance: int) -> None:
        """Records that an instance died.

        Its open requests need no answer any more. The instance restarts without history: requests
        received before do not count towards its exposure allowance.
        """
        for request in [key for key in self.open_requests if key[0] == instance]:
            del self.open_requests[request]
        self.gone_since.pop(instance, None)
        self.key_builds.pop(instance, None)
        self.known_starts.pop(instance, None)
        for received in [key for key in self.received_at if key[0] == instance]:
            del self.received_at[received]
        for tried in [key for key in self.trial_attempts_at if key[0] == instance]:
            del self.trial_attempts_at[tried]

    def record_day_end(self, now: Ticks) -> None:
        """Records the end of the day: open requests past their deadline were lost."""
        for (_, name), (_, ends) in self.open_requests.items():
            if now > ends + self.answer_tolerance:
                self._add_violation(Rule.ONE_ANSWER, now, f"{name}: no answer")

    def record_attempt(
        self,
        now: Ticks,
        instance: int,
        name: str,
        pod: str,
        build: int,
        *,
        lane: str,
        key: str | None = None,
        work: float = 1.0,
        started: Ticks = 0,
        capacity: float = 1.0,
    ) -> None:
        """Records and checks an attempt that an instance sends.

        Args:
            now: The time.
            instance: The sending instance.
            name: Name of the request.
            pod: Address of the server.
            build: Build that the server runs.
            lane: The request class.
            key: Sticky key of the request, or None.
            work: Work of the request.
            started: When the server started; 0 for long ago.
            capacity: Work per tick that the server does after its warm-up.
        """
        learned = self.gone_since[instance].get(pod)
        if learned is not None and now > learned + self.drain_grace:
            self._add_violation(
                Rule.DRAINED, now, f"{name}: to {pod} {now - learned} after it was told gone"
            )
        self._check_repeat(now, instance, name, lane)
        self.attempts_of[instance, name].append(SentAttempt(now))
        if (instance, name) in self.answers:
            self._add_violation(Rule.ONE_ANSWER, now, f"{name}: sent after its answer")
        self._check_trial(now, instance, name, build, lane=lane, key=key)
        if started and now < started + self.warmup_duration:
            informed = self.known_starts[instance].get(pod) == started
            sent = self.warmup_work[pod, started]
            sent.append(WarmupWork(now, work, informed))
            self._check_warmup(pod, started, sent, capacity)

    def _check_repeat(self, now: Ticks, instance: int, name: str, lane: str) -> None:
        earlier = self._possibly_run(instance, name)
        if not earlier:
            return
        idempotency = self.lanes[lane].idempotency
        if idempotency == Idempotency.NON_IDEMPOTENT:
            self._add_violation(
                Rule.NO_UNSAFE_REPEAT, now, f"{name}: sent again though it may have run"
            )
        if (
            idempotency == Idempotency.KEYED
            and now > earlier[0].at + self.lanes[lane].deduplication_window
        ):
            self._add_violation(Rule.NO_UNSAFE_REPEAT, now, f"{name}: sent again after its window")

    def _check_trial(
        self, now: Ticks, instance: int, name: str, build: int, *, lane: str, key: str | None
    ) -> None:
        told = self.cap_updates[instance][-1] if self.cap_updates[instance] else None
        if told is None:
            return
        newest = told.build
        if (
            key is not None
            and key in self.key_builds[instance]
            and self.key_builds[instance][key] == newest > build
            and told.phase in (RolloutPhase.TRIAL, RolloutPhase.RELEASED)
        ):
            self._add_violation(
                Rule.EXPOSURE,
                now,
                f"{name}: its key was answered by build {newest} and goes to {build}",
            )
        if build != newest or told.phase != RolloutPhase.TRIAL:
            return
        if (
            told.stage < self.guarded_stages
            and self.lanes[lane].idempotency != Idempotency.IDEMPOTENT
        ):
            self._add_violation(Rule.EXPOSURE, now, f"{name}: {lane} in guarded stage {told.stage}")
        self._check_exposure(now, instance, name, told, lane if self.exposure_by_class else "")

    def _check_exposure(
        self, now: Ticks, instance: int, name: str, told: CapUpdate, counted: str
    ) -> None:
        """Checks an attempt at the build on trial against the highest cap in the window."""
        tried = self.trial_attempts_at[instance, told.build, counted]
        taken = self.received_at[instance, counted]
        tried.append(now)
        within = len(tried) - bisect_left(tried, now - self.exposure_window)
        known = len(taken) - bisect_left(taken, now - self.exposure_window)
        # A lowered cap takes effect only when the window has passed.
        recent = [
            one.cap
            for one in self.cap_updates[instance]
            if one.build == told.build and one.at > now - self.exposure_window
        ]
        highest = max([*recent, told.cap])
        if within > self.exposure_allowance + highest * known + EXPOSURE_ROUNDING:
            self._add_violation(
                Rule.EXPOSURE,
                now,
                f"{name}: {within} deliveries to build {told.build}, {self.exposure_allowance} and "
                f"{highest} of {known} allowed",
            )

    def _check_warmup(
        self, pod: str, started: Ticks, sent: list[WarmupWork], capacity: float
    ) -> None:
        """Compares the work sent by all instances with what overloads a server."""
        now = sent[-1].at
        begin = now - self.overload_window
        share = (
            self.warmup_initial_fraction
            + (1 - self.warmup_initial_fraction) * max(0, begin - started) / self.warmup_duration
        )
        total = sum(one.work for one in sent if one.at > begin)
        known = sum(one.work for one in sent if one.at > begin and one.informed)
        overload_work = self.overload_factor * share * capacity * self.overload_window
        allowed = overload_work * OVERLOAD_MARGIN + OVERLOAD_SPARE_REQUESTS * sent[-1].work
        self.max_warmup_load_ratio = max(self.max_warmup_load_ratio, total / allowed)
        # The instances are at fault if two thirds of the work came from those that knew the start.
        if total > allowed and known >= total * 2 / 3:
            self._add_violation(
                Rule.WARMUP,
                now,
                f"{pod}: {total:.0f} of work in {self.overload_window}, "
                f"{overload_work:.0f} push it over",
            )

    def record_attempt_end(self, instance: int, name: str, number: int, ran: bool | None) -> None:
        """Records whether an ended attempt ran (True), never ran (False) or may have run (None)."""
        self.attempts_of[instance, name][number].ran = ran

    def record_key_answer(self, instance: int, key: str, build: int) -> None:
        """Records that a build answered a request with this key."""
        self.key_builds[instance][key] = build

    def record_execution(self, now: Ticks, name: str, lane: str) -> None:
        """Records and checks that a server executed a request."""
        self.execution_times[name].append(now)
        if (
            self.lanes[lane].idempotency == Idempotency.NON_IDEMPOTENT
            and len(self.execution_times[name]) > 1
        ):
            self._add_violation(
                Rule.NO_UNSAFE_REPEAT, now, f"{name}: ran {len(self.execution_times[name])} times"
            )

    def violated_rules(self) -> list[int]:
        """Returns the numbers of the broken rules, sorted and without duplicates."""
        return sorted({int(rule) for rule, _, _ in self.violations})
