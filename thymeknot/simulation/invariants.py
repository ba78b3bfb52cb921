"""Checkers of the five rules.

They see what an instance learned, received, sent and answered, and share no code with what they
check: plain lists of moments, no sliding windows. Times are ticks (tenths of a millisecond).
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

# Rounding of the exposure's bound.
EXPOSURE_ROUNDING = 1e-9
# Work beyond what overloads a server by this factor, and this many requests, is not blamed: what
# is in flight is not known to who sends.
OVERLOAD_MARGIN = 1.1
OVERLOAD_SPARE_REQUESTS = 4


class Rule(IntEnum):
    """The rules, by their numbers in the reports."""

    ONE_ANSWER = 1
    """Each request gets one answer, in time."""
    NO_UNSAFE_REPEAT = 2
    """What may have run is not sent again, nor called rejected, unless that is safe."""
    DRAINED = 3
    """Nothing goes to a server that is known to be gone."""
    WARMUP = 4
    """A server that warms up is not overloaded."""
    EXPOSURE = 5
    """The build on trial gets no more than its cap allows, and keys stay with it."""


class Listed(StrEnum):
    """What a list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Phase(StrEnum):
    """Where the rollout of a build stands."""

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
    """A rule that was broken."""

    rule: Rule
    now: Ticks
    text: str


class CapUpdate(NamedTuple):
    """What an instance learned of the newest build."""

    at: Ticks
    build: int
    cap: float
    """Share of the requests that may go to it."""
    stage: int
    phase: Phase


class WarmupWork(NamedTuple):
    """Work sent to a server that warms up."""

    at: Ticks
    work: float
    informed: bool
    """Whether the sender knew when the server started."""


@dataclass(slots=True)
class Sent:
    """An attempt."""

    at: Ticks
    ran: bool | None = None
    """Whether it ran; None: it may have."""


class InvariantChecker:
    """Checks what the instances of a fleet do.

    Attributes:
        broken: What was found.
        open: Class and latest end of the requests without an answer, by instance and name.
        over: The answers, by instance and name.
        overrun: The highest work sent to a server that warms up, over what is allowed.
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
        """Starts with nothing seen.

        Args:
            lanes: the request classes by name.
            grace: how long a server may get attempts after an instance learned that it is gone.
            window: over which exposure is counted.
            allowance: attempts allowed beyond the cap's share.
            by_lane: whether exposure is counted for each class alone.
            guarded: in the stages before this one only idempotent requests go to the trial.
            cold: how long a server warms up; 0: it is not checked.
            cold_from: share of its capacity at its start.
            multiple: a server that warms up fails under this many times its capacity.
            overload: how long it takes that.
            slack: how late an answer may be.
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
        # When an instance learned that a server is gone.
        self.gone_since: defaultdict[int, dict[str, Ticks]] = defaultdict(dict)
        # Requests that came, by instance and class ("" for all).
        self.received_at: defaultdict[tuple[int, str], list[Ticks]] = defaultdict(list)
        # Attempts at a build on trial, by instance, build and class ("" for all).
        self.trial_attempts_at: defaultdict[tuple[int, int, str], list[Ticks]] = defaultdict(list)
        self.caps: defaultdict[int, list[CapUpdate]] = defaultdict(list)
        # The build that last answered a key, by instance and key.
        self.key_builds: defaultdict[int, dict[str, int]] = defaultdict(dict)
        # By server and its start.
        self.warmup_work: defaultdict[tuple[str, Ticks], list[WarmupWork]] = defaultdict(list)
        # When the servers that an instance knows started.
        self.known_starts: defaultdict[int, dict[str, Ticks]] = defaultdict(dict)
        self.overrun = 0.0

    def _record_breach(self, rule: Rule, now: Ticks, text: str) -> None:
        self.broken.append(Breach(rule, now, text))

    # What an instance learns.

    def listed(self, now: Ticks, instance: int, pod: str, state: Listed) -> None:
        """An instance learned the state of a server; READY takes back an earlier one."""
        if state == Listed.READY:
            self.gone_since[instance].pop(pod, None)
        else:
            self.gone_since[instance].setdefault(pod, now)

    def started(self, instance: int, pod: str, at: Ticks) -> None:
        """An instance learned when a server started."""
        self.known_starts[instance][pod] = at

    def cap(
        self, now: Ticks, instance: int, build: int, cap: float, stage: int, *, phase: Phase
    ) -> None:
        """An instance learned where the newest build stands."""
        self.caps[instance].append(CapUpdate(now, build, cap, stage, phase))

    # What it does.

    def taken(self, now: Ticks, instance: int, name: str, lane: str, ends: Ticks) -> None:
        """A request came, whose answer must come by `ends`."""
        self.open[instance, name] = lane, ends
        self.received_at[instance, lane if self.by_lane else ""].append(now)

    def answered(self, now: Ticks, instance: int, name: str, how: Answer) -> None:
        """A request was answered."""
        held = self.open.pop((instance, name), None)
        if held is None:
            again = (instance, name) in self.over
            self._record_breach(
                Rule.ONE_ANSWER, now, f"{name}: {'a second answer' if again else 'never taken'}"
            )
            return
        lane, ends = held
        self.over[instance, name] = how
        if now > ends + self.slack:
            self._record_breach(Rule.ONE_ANSWER, now, f"{name}: answered {now - ends} late")
        if how == Answer.DEFERRED and self._may_have_run(now, instance, name, lane):
            self._record_breach(
                Rule.NO_UNSAFE_REPEAT, now, f"{name}: deferred though it may have run"
            )

    def _possibly_run(self, instance: int, name: str) -> list[Sent]:
        """The attempts that may have run."""
        return [one for one in self.attempts_of[instance, name] if one.ran is not False]

    def _may_have_run(self, now: Ticks, instance: int, name: str, lane: str) -> bool:
        """Whether a client that tries again could make the request run twice."""
        idempotency = self.lanes[lane].idempotency
        if idempotency == Idempotency.IDEMPOTENT:
            return False
        possibly_run = self._possibly_run(instance, name)
        return bool(possibly_run) and (
            idempotency == Idempotency.NON_IDEMPOTENT
            or now > possibly_run[0].at + self.lanes[lane].deduplication_window
        )

    def killed(self, now: Ticks, instance: int) -> None:
        """An instance died.

        What it held is no longer its duty, and the next one starts with nothing: what an earlier
        life received is no allowance of it.
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
        """The day has ended: whatever is open past its time was lost."""
        for (_, name), (_, ends) in self.open.items():
            if now > ends + self.slack:
                self._record_breach(Rule.ONE_ANSWER, now, f"{name}: no answer")

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
        """An attempt goes out.

        Args:
            now: the time.
            instance: who sends it.
            name: the request.
            pod: the server.
            build: of the server.
            lane: the request class.
            key: by which later requests stay with a build.
            work: of the request.
            started: when the server started; 0: long ago.
            capacity: work that the server does in a tick when it is warm.
        """
        learned = self.gone_since[instance].get(pod)
        if learned is not None and now > learned + self.grace:
            self._record_breach(
                Rule.DRAINED, now, f"{name}: to {pod} {now - learned} after it was told gone"
            )
        self._check_repeat(now, instance, name, lane)
        self.attempts_of[instance, name].append(Sent(now))
        if (instance, name) in self.over:
            self._record_breach(Rule.ONE_ANSWER, now, f"{name}: sent after its answer")
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
            self._record_breach(
                Rule.NO_UNSAFE_REPEAT, now, f"{name}: sent again though it may have run"
            )
        if (
            idempotency == Idempotency.KEYED
            and now > earlier[0].at + self.lanes[lane].deduplication_window
        ):
            self._record_breach(Rule.NO_UNSAFE_REPEAT, now, f"{name}: sent again after its window")

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
            self._record_breach(
                Rule.EXPOSURE,
                now,
                f"{name}: its key was answered by build {newest} and goes to {build}",
            )
        if build != newest or told.phase != Phase.TRIAL:
            return
        if told.stage < self.guarded and self.lanes[lane].idempotency != Idempotency.IDEMPOTENT:
            self._record_breach(Rule.EXPOSURE, now, f"{name}: {lane} in guarded stage {told.stage}")
        self._check_exposure(now, instance, name, told, lane if self.by_lane else "")

    def _check_exposure(
        self, now: Ticks, instance: int, name: str, told: CapUpdate, counted: str
    ) -> None:
        """Counts an attempt at the build on trial against the highest cap of the window."""
        tried = self.trial_attempts_at[instance, told.build, counted]
        taken = self.received_at[instance, counted]
        tried.append(now)
        within = len(tried) - bisect_left(tried, now - self.window)
        known = len(taken) - bisect_left(taken, now - self.window)
        # A lower cap binds once the window has passed.
        recent = [
            one.cap
            for one in self.caps[instance]
            if one.build == told.build and one.at > now - self.window
        ]
        highest = max([*recent, told.cap])
        if within > self.allowance + highest * known + EXPOSURE_ROUNDING:
            self._record_breach(
                Rule.EXPOSURE,
                now,
                f"{name}: {within} deliveries to build {told.build}, {self.allowance} and "
                f"{highest} of {known} allowed",
            )

    def _check_warmup(
        self, pod: str, started: Ticks, sent: list[WarmupWork], capacity: float
    ) -> None:
        """Compares what all instances together sent with what overloads a server."""
        now = sent[-1].at
        begin = now - self.overload
        share = self.cold_from + (1 - self.cold_from) * max(0, begin - started) / self.cold
        total = sum(one.work for one in sent if one.at > begin)
        known = sum(one.work for one in sent if one.at > begin and one.informed)
        overload_work = self.multiple * share * capacity * self.overload
        allowed = overload_work * OVERLOAD_MARGIN + OVERLOAD_SPARE_REQUESTS * sent[-1].work
        self.overrun = max(self.overrun, total / allowed)
        # It is the instances' fault if two thirds came from such as knew of the start.
        if total > allowed and known >= total * 2 / 3:
            self._record_breach(
                Rule.WARMUP,
                now,
                f"{pod}: {total:.0f} of work in {self.overload}, {overload_work:.0f} push it over",
            )

    def proved(self, instance: int, name: str, number: int, ran: bool | None) -> None:
        """An attempt ended: it ran, never ran, or may have run (None)."""
        self.attempts_of[instance, name][number].ran = ran

    def key_answered(self, instance: int, key: str, build: int) -> None:
        """A request with this key was answered by this build."""
        self.key_builds[instance][key] = build

    def ran(self, now: Ticks, name: str, lane: str) -> None:
        """A server carried out a request."""
        self.executions[name].append(now)
        if (
            self.lanes[lane].idempotency == Idempotency.NON_IDEMPOTENT
            and len(self.executions[name]) > 1
        ):
            self._record_breach(
                Rule.NO_UNSAFE_REPEAT, now, f"{name}: ran {len(self.executions[name])} times"
            )

    def rules_broken(self) -> list[int]:
        """The rules that were broken, each once, in their order."""
        return sorted({int(rule) for rule, _, _ in self.broken})
