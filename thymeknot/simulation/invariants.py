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


class Listed(StrEnum):
    """State of a server in an endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Phase(StrEnum):
    """Phase of a build's rollout."""

    TRIAL = "trial"
    BACK = "back"
    RELEASED = "released"
    WITHDRAWN = "withdrawn"


class Answer(StrEnum):
    """How a request was answered."""

    DONE = "done"
    DEFERRED = "deferred"
    ABANDONED = "abandoned"


class Breach(NamedTuple):
    """A violation of a rule."""

    rule: Rule
    now: Ticks
    text: str


class CapUpdate(NamedTuple):
    """What an instance learned about the newest build."""

    at: Ticks
    build: int
    cap: float
    """Maximum ratio of requests that may go to the build."""
    stage: int
    phase: Phase


class WarmupWork(NamedTuple):
    """Work sent to a server during its warm-up."""

    at: Ticks
    work: float
    informed: bool
    """Whether the sender knew when the server started."""


@dataclass(slots=True)
class Sent:
    """An attempt that was sent."""

    at: Ticks
    ran: bool | None = None
    """Whether the attempt ran; None if unknown."""


class InvariantChecker:
    """Checks the behaviour of the instances of a fleet against the rules.

    Attributes:
        broken: The violations found.
        open: Class and deadline of the unanswered requests, by instance and name.
        over: The answers, by instance and name.
        overrun: Highest ratio of the work sent to a server during its warm-up to the allowed work.
    """

    def __init__(
        self,
        lanes: Mapping[str, RequestClass],
        grace: Ticks,
        window: Ticks,
        allowance: float,
        by_lane: bool = False,
        *,
        guarded: int = 0,
        cold: Ticks = 0,
        cold_from: float = 1.0,
        multiple: float = 2.0,
        overload: Ticks = 0,
        slack: Ticks = 50,
    ) -> None:
        """Creates a checker without history.

        Args:
            lanes: The request classes by name.
            grace: How long a server may get attempts after an instance learned that it is gone.
            window: Length of the window over which exposure is counted.
            allowance: Number of attempts allowed beyond the cap.
            by_lane: Whether exposure is counted separately for each class.
            guarded: In stages before this one, only idempotent requests may go to the trial.
            cold: Duration of a server's warm-up; 0 disables the check.
            cold_from: Ratio of the full capacity that is available at the start.
            multiple: Load, in multiples of its capacity, that overloads a server in its warm-up.
            overload: How long a server withstands that load.
            slack: How late an answer may be.
        """
        self.lanes = lanes
        self.grace = grace
        self.window = window
        self.allowance = allowance
        self.by_lane = by_lane
        self.guarded = guarded
        self.cold = cold
        self.cold_from = cold_from
        self.multiple = multiple
        self.overload = overload
        self.slack = slack
        self.broken: list[Breach] = []
        self.open: dict[tuple[int, str], tuple[str, Ticks]] = {}
        self.over: dict[tuple[int, str], Answer] = {}
        # Executions, by request.
        self.executions: defaultdict[str, list[Ticks]] = defaultdict(list)
        # Attempts, by instance and request.
        self.attempts_of: defaultdict[tuple[int, str], list[Sent]] = defaultdict(list)
        # When an instance learned that a server is gone, by instance and server.
        self.gone_since: defaultdict[int, dict[str, Ticks]] = defaultdict(dict)
        # Arrival times of requests, by instance and class ("" for all).
        self.received_at: defaultdict[tuple[int, str], list[Ticks]] = defaultdict(list)
        # Times of attempts at a build on trial, by instance, build and class ("" for all).
        self.trial_attempts_at: defaultdict[tuple[int, int, str], list[Ticks]] = defaultdict(list)
        self.caps: defaultdict[int, list[CapUpdate]] = defaultdict(list)
        # The build that last answered a key, by instance and key.
        self.key_builds: defaultdict[int, dict[str, int]] = defaultdict(dict)
        # Work sent during a warm-up, by server and start time.
        self.warmup_work: defaultdict[tuple[str, Ticks], list[WarmupWork]] = defaultdict(list)
        # Start times of the servers, by instance and server, as the instance knows them.
        self.known_starts: defaultdict[int, dict[str, Ticks]] = defaultdict(dict)
        self.overrun = 0.0

    def _broke(self, rule: Rule, now: Ticks, text: str) -> None:
        self.broken.append(Breach(rule, now, text))

    # What instances learn.

    def listed(self, now: Ticks, instance: int, pod: str, state: Listed) -> None:
        """Records that an instance learned a server's state; READY cancels an earlier state."""
        if state == Listed.READY:
            self.gone_since[instance].pop(pod, None)
        else:
            self.gone_since[instance].setdefault(pod, now)

    def started(self, instance: int, pod: str, at: Ticks) -> None:
        """Records that an instance learned when a server started."""
        self.known_starts[instance][pod] = at

    def cap(
        self, now: Ticks, instance: int, build: int, cap: float, stage: int, *, phase: Phase
    ) -> None:
        """Records that an instance learned the state of the newest build."""
        self.caps[instance].append(CapUpdate(now, build, cap, stage, phase))

    # What instances do.

    def taken(self, now: Ticks, instance: int, name: str, lane: str, ends: Ticks) -> None:
        """Records the arrival of a request that must be answered by `ends`."""
        self.open[instance, name] = lane, ends
        self.received_at[instance, lane if self.by_lane else ""].append(now)

    def answered(self, now: Ticks, instance: int, name: str, how: Answer) -> None:
        """Records and checks the answer to a request."""
        open_request = self.open.pop((instance, name), None)
        if open_request is None:
            answered_before = (instance, name) in self.over
            self._broke(
                Rule.ONE_ANSWER,
                now,
                f"{name}: {'a second answer' if answered_before else 'never taken'}",
            )
            return
        lane, ends = open_request
        self.over[instance, name] = how
        if now > ends + self.slack:
            self._broke(Rule.ONE_ANSWER, now, f"{name}: answered {now - ends} late")
        if how == Answer.DEFERRED and self._may_have_run(now, instance, name, lane):
            self._broke(Rule.NO_UNSAFE_REPEAT, now, f"{name}: deferred though it may have run")

    def _possibly_run(self, instance: int, name: str) -> list[Sent]:
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

    def killed(self, now: Ticks, instance: int) -> None:
        """Records that an instance died.

        Its open requests need no answer any more. The instance restarts without history: requests
        received before do not count towards its exposure allowance.
        """
        for request in [key for key in self.open if key[0] == instance]:
            del self.open[request]
        self.gone_since.pop(instance, None)
        self.key_builds.pop(instance, None)
        self.known_starts.pop(instance, None)
        for received in [key for key in self.received_at if key[0] == instance]:
            del self.received_at[received]
        for tried in [key for key in self.trial_attempts_at if key[0] == instance]:
            del self.trial_attempts_at[tried]

    def ended(self, now: Ticks) -> None:
        """Records the end of the day: open requests past their deadline were lost."""
        for (_, name), (_, ends) in self.open.items():
            if now > ends + self.slack:
                self._broke(Rule.ONE_ANSWER, now, f"{name}: no answer")

    def sent(
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
        if learned is not None and now > learned + self.grace:
            self._broke(
                Rule.DRAINED, now, f"{name}: to {pod} {now - learned} after it was told gone"
            )
        self._check_repeat(now, instance, name, lane)
        self.attempts_of[instance, name].append(Sent(now))
        if (instance, name) in self.over:
            self._broke(Rule.ONE_ANSWER, now, f"{name}: sent after its answer")
        self._check_trial(now, instance, name, build, lane=lane, key=key)
        if started and now < started + self.cold:
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
            self._broke(Rule.NO_UNSAFE_REPEAT, now, f"{name}: sent again though it may have run")
        if (
            idempotency == Idempotency.KEYED
            and now > earlier[0].at + self.lanes[lane].deduplication_window
        ):
            self._broke(Rule.NO_UNSAFE_REPEAT, now, f"{name}: sent again after its window")

    def _check_trial(
        self, now: Ticks, instance: int, name: str, build: int, *, lane: str, key: str | None
    ) -> None:
        told = self.caps[instance][-1] if self.caps[instance] else None
        if told is None:
            return
        newest = told.build
        if (
            key is not None
            and key in self.key_builds[instance]
            and self.key_builds[instance][key] == newest > build
            and told.phase in (Phase.TRIAL, Phase.RELEASED)
        ):
            self._broke(
                Rule.EXPOSURE,
                now,
                f"{name}: its key was answered by build {newest} and goes to {build}",
            )
        if build != newest or told.phase != Phase.TRIAL:
            return
        if told.stage < self.guarded and self.lanes[lane].idempotency != Idempotency.IDEMPOTENT:
            self._broke(Rule.EXPOSURE, now, f"{name}: {lane} in guarded stage {told.stage}")
        self._check_exposure(now, instance, name, told, lane if self.by_lane else "")

    def _check_exposure(
        self, now: Ticks, instance: int, name: str, told: CapUpdate, counted: str
    ) -> None:
        """Checks an attempt at the build on trial against the highest cap in the window."""
        tried = self.trial_attempts_at[instance, told.build, counted]
        taken = self.received_at[instance, counted]
        tried.append(now)
        within = len(tried) - bisect_left(tried, now - self.window)
        known = len(taken) - bisect_left(taken, now - self.window)
        # A lowered cap takes effect only when the window has passed.
        recent = [
            one.cap
            for one in self.caps[instance]
            if one.build == told.build and one.at > now - self.window
        ]
        highest = max([*recent, told.cap])
        if within > self.allowance + highest * known + EXPOSURE_ROUNDING:
            self._broke(
                Rule.EXPOSURE,
                now,
                f"{name}: {within} deliveries to build {told.build}, {self.allowance} and "
                f"{highest} of {known} allowed",
            )

    def _check_warmup(
        self, pod: str, started: Ticks, sent: list[WarmupWork], capacity: float
    ) -> None:
        """Compares the work sent by all instances with what overloads a server."""
        now = sent[-1].at
        begin = now - self.overload
        share = self.cold_from + (1 - self.cold_from) * max(0, begin - started) / self.cold
        total = sum(one.work for one in sent if one.at > begin)
        known = sum(one.work for one in sent if one.at > begin and one.informed)
        overload_work = self.multiple * share * capacity * self.overload
        allowed = overload_work * OVERLOAD_MARGIN + OVERLOAD_SPARE_REQUESTS * sent[-1].work
        self.overrun = max(self.overrun, total / allowed)
        # The instances are at fault if two thirds of the work came from those that knew the start.
        if total > allowed and known >= total * 2 / 3:
            self._broke(
                Rule.WARMUP,
                now,
                f"{pod}: {total:.0f} of work in {self.overload}, {overload_work:.0f} push it over",
            )

    def proved(self, instance: int, name: str, number: int, ran: bool | None) -> None:
        """Records whether an ended attempt ran (True), never ran (False) or may have run (None)."""
        self.attempts_of[instance, name][number].ran = ran

    def key_answered(self, instance: int, key: str, build: int) -> None:
        """Records that a build answered a request with this key."""
        self.key_builds[instance][key] = build

    def ran(self, now: Ticks, name: str, lane: str) -> None:
        """Records and checks that a server executed a request."""
        self.executions[name].append(now)
        if (
            self.lanes[lane].idempotency == Idempotency.NON_IDEMPOTENT
            and len(self.executions[name]) > 1
        ):
            self._broke(
                Rule.NO_UNSAFE_REPEAT, now, f"{name}: ran {len(self.executions[name])} times"
            )

    def rules_broken(self) -> list[int]:
        """Returns the numbers of the broken rules, sorted and without duplicates."""
        return sorted({int(rule) for rule, _, _ in self.broken})
