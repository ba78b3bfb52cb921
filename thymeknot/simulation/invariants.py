"""Checks the five rules (invariants) that the instances of a fleet must keep.

The methods record what each instance learned, received, sent and answered. The checker shares no
code with the program that it checks: it keeps plain lists of times instead of sliding windows.
Times are in ticks (tenths of a millisecond).
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
# A server in its warm-up may get this factor times the work that overloads it, plus this many
# requests, because a sender does not know what the other instances have in flight.
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
    sender_knew_start: bool
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
        open_requests: Class and deadline of the unanswered requests, by instance and request id.
        answers: The answers, by instance and request id.
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
            exposure_allowance: Number of attempts at a build on trial allowed beyond its cap.
            exposure_by_class: Whether exposure is counted separately for each class.
            guarded_stages: Number of first stages in which only idempotent requests may go to a
                build on trial.
            warmup_duration: Duration of a server's warm-up; 0 disables the check.
            warmup_initial_fraction: Ratio of the full capacity that is available at the start.
            overload_factor: Load, in multiples of its capacity, that overloads a server in its
                warm-up.
            overload_window: How long a server withstands that load.
            answer_tolerance: How long after its deadline a request may be answered.
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
        # Times of executions, by request.
        self.execution_times: defaultdict[str, list[Ticks]] = defaultdict(list)
        # Attempts, by instance and request.
        self.attempts: defaultdict[tuple[int, str], list[SentAttempt]] = defaultdict(list)
        # When an instance learned that a server is gone, by instance and server.
        self.gone_learned_at: defaultdict[int, dict[str, Ticks]] = defaultdict(dict)
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

    def _add_violation(self, rule: Rule, at: Ticks, description: str) -> None:
        self.violations.append(Violation(rule, at, description))

    # What instances learn.

    def record_endpoint_state(
        self, now: Ticks, instance: int, pod: str, state: ListedState
    ) -> None:
        """Records that an instance learned a server's state; READY replaces an earlier state."""
        if state == ListedState.READY:
            self.gone_learned_at[instance].pop(pod, None)
        else:
            self.gone_learned_at[instance].setdefault(pod, now)

    def record_server_start(self, instance: int, pod: str, at: Ticks) -> None:
        """Records that an instance learned when a server started."""
        self.known_starts[instance][pod] = at

    def record_release_state(
        self, now: Ticks, instance: int, build: int, cap: float, stage: int, *, phase: RolloutPhase
    ) -> None:
        """Records that an instance learned the state of the newest build."""
        self.cap_updates[instance].append(CapUpdate(now, build, cap, stage, phase))

    # What instances do.

    def record_request(
        self, now: Ticks, instance: int, request_id: str, lane: str, deadline: Ticks
    ) -> None:
        """Records the arrival of a request that must be answered by `deadline`."""
        self.open_requests[instance, request_id] = lane, deadline
        self.received_at[instance, lane if self.exposure_by_class else ""].append(now)

    def record_answer(self, now: Ticks, instance: int, request_id: str, answer: Answer) -> None:
        """Records and checks the answer to a request."""
        open_request = self.open_requests.pop((instance, request_id), None)
        if open_request is None:
            answered_before = (instance, request_id) in self.answers
            self._add_violation(
                Rule.ONE_ANSWER,
                now,
                f"{request_id}: {'a second answer' if answered_before else 'never received'}",
            )
            return
        lane, deadline = open_request
        self.answers[instance, request_id] = answer
        if now > deadline + self.answer_tolerance:
            self._add_violation(
                Rule.ONE_ANSWER, now, f"{request_id}: answered {now - deadline} late"
            )
        if answer == Answer.DEFERRED and self._may_have_run(now, instance, request_id, lane):
            self._add_violation(
                Rule.NO_UNSAFE_REPEAT, now, f"{request_id}: deferred though it may have run"
            )

    def _possibly_run(self, instance: int, request_id: str) -> list[SentAttempt]:
        """Returns the attempts that ran or may have run."""
        return [
            attempt for attempt in self.attempts[instance, request_id] if attempt.ran is not False
        ]

    def _may_have_run(self, now: Ticks, instance: int, request_id: str, lane: str) -> bool:
        """Returns whether a retry by the client could make the request run twice."""
        idempotency = self.lanes[lane].idempotency
        if idempotency == Idempotency.IDEMPOTENT:
            return False
        possibly_run = self._possibly_run(instance, request_id)
        return bool(possibly_run) and (
            idempotency == Idempotency.NON_IDEMPOTENT
            or now > possibly_run[0].at + self.lanes[lane].deduplication_window
        )

    def record_kill(self, now: Ticks, instance: int) -> None:
        """Records that an instance was killed.

        Its open requests no longer need an answer. The instance restarts without history: requests
        received before do not count towards its exposure allowance.
        """
        for request_key in [key for key in self.open_requests if key[0] == instance]:
            del self.open_requests[request_key]
        self.gone_learned_at.pop(instance, None)
        self.key_builds.pop(instance, None)
        self.known_starts.pop(instance, None)
        for window_key in [key for key in self.received_at if key[0] == instance]:
            del self.received_at[window_key]
        for trial_key in [key for key in self.trial_attempts_at if key[0] == instance]:
            del self.trial_attempts_at[trial_key]

    def record_day_end(self, now: Ticks) -> None:
        """Records the end of the day: open requests past their deadline were lost."""
        for (_, request_id), (_, deadline) in self.open_requests.items():
            if now > deadline + self.answer_tolerance:
                self._add_violation(Rule.ONE_ANSWER, now, f"{request_id}: no answer")

    def record_attempt(
        self,
        now: Ticks,
        instance: int,
        request_id: str,
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
            request_id: Identifies the request at the instance.
            pod: Address of the server.
            build: Build that the server runs.
            lane: The request class.
            key: Sticky key of the request, or None.
            work: Work of the request.
            started: When the server started; 0 for long ago.
            capacity: Work per tick that the server does after its warm-up.
        """
        gone_learned_at = self.gone_learned_at[instance].get(pod)
        if gone_learned_at is not None and now > gone_learned_at + self.drain_grace:
            self._add_violation(
                Rule.DRAINED,
                now,
                f"{request_id}: to {pod} {now - gone_learned_at} after it was reported gone",
            )
        self._check_repeat(now, instance, request_id, lane)
        self.attempts[instance, request_id].append(SentAttempt(now))
        if (instance, request_id) in self.answers:
            self._add_violation(Rule.ONE_ANSWER, now, f"{request_id}: sent after its answer")
        self._check_trial(now, instance, request_id, build, lane=lane, key=key)
        if started and now < started + self.warmup_duration:
            knew_start = self.known_starts[instance].get(pod) == started
            warmup_work = self.warmup_work[pod, started]
            warmup_work.append(WarmupWork(now, work, knew_start))
            self._check_warmup(pod, started, warmup_work, capacity)

    def _check_repeat(self, now: Ticks, instance: int, request_id: str, lane: str) -> None:
        earlier_attempts = self._possibly_run(instance, request_id)
        if not earlier_attempts:
            return
        idempotency = self.lanes[lane].idempotency
        if idempotency == Idempotency.NON_IDEMPOTENT:
            self._add_violation(
                Rule.NO_UNSAFE_REPEAT, now, f"{request_id}: sent again though it may have run"
            )
        if (
            idempotency == Idempotency.KEYED
            and now > earlier_attempts[0].at + self.lanes[lane].deduplication_window
        ):
            self._add_violation(
                Rule.NO_UNSAFE_REPEAT, now, f"{request_id}: sent again after its window"
            )

    def _check_trial(
        self, now: Ticks, instance: int, request_id: str, build: int, *, lane: str, key: str | None
    ) -> None:
        newest_update = self.cap_updates[instance][-1] if self.cap_updates[instance] else None
        if newest_update is None:
            return
        newest_build = newest_update.build
        if (
            key is not None
            and key in self.key_builds[instance]
            and self.key_builds[instance][key] == newest_build > build
            and newest_update.phase in (RolloutPhase.TRIAL, RolloutPhase.RELEASED)
        ):
            self._add_violation(
                Rule.EXPOSURE,
                now,
                f"{request_id}: its key was answered by build {newest_build} and goes to {build}",
            )
        if build != newest_build or newest_update.phase != RolloutPhase.TRIAL:
            return
        if (
            newest_update.stage < self.guarded_stages
            and self.lanes[lane].idempotency != Idempotency.IDEMPOTENT
        ):
            self._add_violation(
                Rule.EXPOSURE, now, f"{request_id}: {lane} in guarded stage {newest_update.stage}"
            )
        self._check_exposure(
            now, instance, request_id, newest_update, lane if self.exposure_by_class else ""
        )

    def _check_exposure(
        self,
        now: Ticks,
        instance: int,
        request_id: str,
        newest_update: CapUpdate,
        counted_class: str,
    ) -> None:
        """Checks an attempt at the build on trial against the highest cap in the window."""
        attempt_times = self.trial_attempts_at[instance, newest_update.build, counted_class]
        request_times = self.received_at[instance, counted_class]
        attempt_times.append(now)
        attempt_count = len(attempt_times) - bisect_left(attempt_times, now - self.exposure_window)
        request_count = len(request_times) - bisect_left(request_times, now - self.exposure_window)
        # A lowered cap takes full effect only after the window has passed.
        recent_caps = [
            update.cap
            for update in self.cap_updates[instance]
            if update.build == newest_update.build and update.at > now - self.exposure_window
        ]
        max_cap = max([*recent_caps, newest_update.cap])
        if attempt_count > self.exposure_allowance + max_cap * request_count + EXPOSURE_ROUNDING:
            self._add_violation(
                Rule.EXPOSURE,
                now,
                f"{request_id}: {attempt_count} attempts at build {newest_update.build}, "
                f"allowed {self.exposure_allowance} and {max_cap} of {request_count} requests",
            )

    def _check_warmup(
        self, pod: str, started: Ticks, warmup_work: list[WarmupWork], capacity: float
    ) -> None:
        """Compares the work sent by all instances with the work that overloads a server."""
        now = warmup_work[-1].at
        window_start = now - self.overload_window
        capacity_fraction = (
            self.warmup_initial_fraction
            + (1 - self.warmup_initial_fraction)
            * max(0, window_start - started)
            / self.warmup_duration
        )
        total_work = sum(sent.work for sent in warmup_work if sent.at > window_start)
        informed_work = sum(
            sent.work for sent in warmup_work if sent.at > window_start and sent.sender_knew_start
        )
        overload_work = self.overload_factor * capacity_fraction * capacity * self.overload_window
        allowed_work = (
            overload_work * OVERLOAD_MARGIN + OVERLOAD_SPARE_REQUESTS * warmup_work[-1].work
        )
        self.max_warmup_load_ratio = max(self.max_warmup_load_ratio, total_work / allowed_work)
        # It is a violation if two thirds of the work came from instances that knew the start.
        if total_work > allowed_work and informed_work >= total_work * 2 / 3:
            self._add_violation(
                Rule.WARMUP,
                now,
                f"{pod}: {total_work:.0f} ticks of work in {self.overload_window}, "
                f"{overload_work:.0f} overload it",
            )

    def record_attempt_end(
        self, instance: int, request_id: str, number: int, ran: bool | None
    ) -> None:
        """Records whether an ended attempt ran (True), never ran (False) or may have run (None)."""
        self.attempts[instance, request_id][number].ran = ran

    def record_key_answer(self, instance: int, key: str, build: int) -> None:
        """Records that a build answered a request with this key."""
        self.key_builds[instance][key] = build

    def record_execution(self, now: Ticks, request_id: str, lane: str) -> None:
        """Records and checks that a server executed a request."""
        self.execution_times[request_id].append(now)
        if (
            self.lanes[lane].idempotency == Idempotency.NON_IDEMPOTENT
            and len(self.execution_times[request_id]) > 1
        ):
            self._add_violation(
                Rule.NO_UNSAFE_REPEAT,
                now,
                f"{request_id}: ran {len(self.execution_times[request_id])} times",
            )

    def violated_rules(self) -> list[int]:
        """Returns the numbers of the broken rules, sorted and without duplicates."""
        return sorted({int(rule) for rule, _, _ in self.violations})
