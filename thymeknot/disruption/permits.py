"""A unit's permit: its states and transitions, the request for it, and the evidence of readiness.

A permit is a lease with a fencing token. The state says what was permitted; whether a unit serves
is another matter, and only evidence tells: a unit counts as ready if it is in service (or requested
a permit) and was seen ready, not longer ago than `silent`, and after the last doubt. Every other
unit is unavailable: crashed, silent, unknown, warming up, permitted, or with a lapsed permit.

Evidence is dated by `as_of`, the last agreed time that the observer had heard when it looked. So it
can't be younger than it says: a report that was delayed, or is retried, proves nothing about a unit
that was disrupted since.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from ..interface.clock import Ticks
from .budgets import BudgetUsage
from .targets import Labels


class PermitState(StrEnum):
    """Where a unit stands with its permit."""

    IN_SERVICE = "in"
    REQUESTED = "asked"
    GRANTED = "granted"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out"
    RETURNING = "returning"


class PermitInput(StrEnum):
    """What happens to a unit's permit."""

    REQUESTED = "requested"
    GRANTED = "granted"
    REVOKED = "revoked"
    BEGAN = "began"
    LAPSED = "lapsed"
    RESTARTED = "restarted"
    HALTED = "halted"
    DRAINED = "drained"
    RETURNED = "returned"
    FAILED = "failed"
    READY = "ready"


class PermitEffect(StrEnum):
    """What a transition does to the unit beside its state."""

    QUEUE = "queue"
    PERMIT = "permit"
    FORGET = "forget"
    DOUBT = "doubt"
    WAIT = "wait"
    DRAIN = "drain"
    REST = "rest"
    CALL = "call"
    NAME = "name"
    HOME = "home"


class UnitStatus(StrEnum):
    """What an observer reports of a unit."""

    READY = "ready"
    COLD = "cold"
    OUT_OF_SERVICE = "out"
    GONE = "gone"


class PermitTransition(NamedTuple):
    """What an input leads to.

    Attributes:
        state: the next state.
        effect: what is done to the unit.
    """

    state: PermitState
    effect: PermitEffect


# States in which a unit has a permit.
PERMITTED_STATES = (
    PermitState.GRANTED,
    PermitState.DRAINING,
    PermitState.OUT_OF_SERVICE,
    PermitState.RETURNING,
)
# States of a unit that is not disrupted, nor permitted to be.
IN_SERVICE_STATES = (PermitState.IN_SERVICE, PermitState.REQUESTED)
# By value, for reports: looking them up here is faster than making the member.
STATUS_BY_VALUE = {status.value: status for status in UnitStatus}
# An input that has no transition changes nothing. Only a checked begin leads to draining.
PERMIT_TRANSITIONS = {
    (state, event): PermitTransition(next_state, effect)
    for state, event, next_state, effect in (
        (PermitState.IN_SERVICE, PermitInput.REQUESTED, PermitState.REQUESTED, PermitEffect.QUEUE),
        (PermitState.REQUESTED, PermitInput.GRANTED, PermitState.GRANTED, PermitEffect.PERMIT),
        (PermitState.REQUESTED, PermitInput.REVOKED, PermitState.IN_SERVICE, PermitEffect.FORGET),
        (PermitState.GRANTED, PermitInput.BEGAN, PermitState.DRAINING, PermitEffect.DRAIN),
        (PermitState.GRANTED, PermitInput.LAPSED, PermitState.IN_SERVICE, PermitEffect.DOUBT),
        (PermitState.GRANTED, PermitInput.REVOKED, PermitState.IN_SERVICE, PermitEffect.DOUBT),
        (PermitState.GRANTED, PermitInput.RESTARTED, PermitState.IN_SERVICE, PermitEffect.DOUBT),
        (PermitState.GRANTED, PermitInput.HALTED, PermitState.REQUESTED, PermitEffect.WAIT),
        (PermitState.DRAINING, PermitInput.DRAINED, PermitState.OUT_OF_SERVICE, PermitEffect.REST),
        (PermitState.DRAINING, PermitInput.REVOKED, PermitState.RETURNING, PermitEffect.CALL),
        (PermitState.DRAINING, PermitInput.RETURNED, PermitState.RETURNING, PermitEffect.CALL),
        (PermitState.DRAINING, PermitInput.RESTARTED, PermitState.RETURNING, PermitEffect.CALL),
        (PermitState.OUT_OF_SERVICE, PermitInput.REVOKED, PermitState.RETURNING, PermitEffect.CALL),
        (
            PermitState.OUT_OF_SERVICE,
            PermitInput.RETURNED,
            PermitState.RETURNING,
            PermitEffect.CALL,
        ),
        (
            PermitState.OUT_OF_SERVICE,
            PermitInput.RESTARTED,
            PermitState.RETURNING,
            PermitEffect.CALL,
        ),
        (PermitState.RETURNING, PermitInput.FAILED, PermitState.RETURNING, PermitEffect.NAME),
        (PermitState.RETURNING, PermitInput.READY, PermitState.IN_SERVICE, PermitEffect.HOME),
    )
}


@dataclass(slots=True)
class PermitRequest:
    """A request for a permit.

    Attributes:
        requested_at: agreed time of the request.
        urgency: 0 to 9; each degree counts as some age.
        plan: the plan that requests.
        epoch: the plan's epoch.
        rollback: whether the unit is to be disrupted for a rollback.
        build: the build it is to return with, or empty.
    """

    requested_at: Ticks
    urgency: int
    plan: str
    epoch: int
    rollback: bool = False
    build: str = ""

    def to_plain(self) -> list[Any]:
        """The request as a snapshot has it; its parts are the constructor's arguments."""
        return [self.requested_at, self.urgency, self.plan, self.epoch, self.rollback, self.build]


class Unit:
    """A unit, its permit, and what was reported of it.

    Attributes:
        name: its name.
        labels: its labels.
        state: where it stands with its permit.
        state_entered_at: agreed time at which it came to that state.
        request: the request it has or was granted; None only in service.
        fencing_token: the token of its newest permit, 0 if it never had one.
        permit_until: agreed time at which the permit lapses if it was not begun.
        lapsed_permits: how many permits lapsed since one was begun.
        reported_at: date of the last report, -1 if there was none.
        ready_at: date of the last report of it as ready, -1 if there was none.
        start: number of its process' start, -1 if it was never reported.
        build: the build it runs, empty if it never said so.
        status: what was reported last.
        doubted_at: agreed time up to which reports prove nothing, -1 if there is none.
        fault: why it can't return, or empty.
        usages: the budget usages it belongs to.
        silence_queued: whether its silence is awaited in the fleet's queue.
    """

    __slots__ = (
        "build",
        "doubted_at",
        "fault",
        "fencing_token",
        "labels",
        "lapsed_permits",
        "name",
        "permit_until",
        "ready_at",
        "reported_at",
        "request",
        "silence_queued",
        "start",
        "state",
        "state_entered_at",
        "status",
        "usages",
    )

    def __init__(self, name: str, labels: Labels) -> None:
        self.name = name
        self.labels = labels
        self.state = PermitState.IN_SERVICE
        self.state_entered_at: Ticks = 0
        self.request: PermitRequest | None = None
        self.fencing_token = 0
        self.permit_until: Ticks = 0
        self.lapsed_permits = 0
        self.reported_at: Ticks = -1
        self.ready_at: Ticks = -1
        self.doubted_at: Ticks = -1
        self.start = -1
        self.build = ""
        self.status = UnitStatus.GONE
        self.fault = ""
        self.usages: list[BudgetUsage] = []
        self.silence_queued = False

    @property
    def granted_request(self) -> PermitRequest:
        """The request of a unit that is not in service without one."""
        if self.request is None:
            raise ValueError(f"unit {self.name} is {self.state} and has no request")
        return self.request

    def is_reported_ready(self, at: Ticks, silent: Ticks) -> bool:
        """Whether it was seen ready lately and since the last doubt, whatever was permitted."""
        return (
            self.status == UnitStatus.READY
            and self.ready_at > self.doubted_at
            and self.ready_at + silent > at
        )

    def is_ready(self, at: Ticks, silent: Ticks) -> bool:
        """Whether it counts as ready; every other unit is unavailable."""
        return self.state in IN_SERVICE_STATES and self.is_reported_ready(at, silent)

    def is_reported_unavailable(self, at: Ticks, silent: Ticks) -> bool:
        """Whether it was reported lately not to serve.

        Silence proves no such thing: behind a partition it may serve, and would be disrupted when
        the partition heals.
        """
        return (
            self.status != UnitStatus.READY
            and self.reported_at >= 0
            and self.reported_at + silent > at
        )

    def describe_unavailability(self, at: Ticks, silent: Ticks) -> str:
        """Why it counts as unavailable, in a word or a few."""
        if self.state in PERMITTED_STATES:
            return self.state.value
        if self.reported_at < 0:
            return "unknown"
        if self.status != UnitStatus.READY:
            return self.status.value
        return "silent" if self.ready_at + silent <= at else "not seen since its permit ended"

    def to_plain(self) -> list[Any]:
        """The unit as a snapshot has it."""
        return [
            self.name,
            self.labels,
            self.request.to_plain() if self.request else None,
            [
                self.state.value,
                self.state_entered_at,
                self.fencing_token,
                self.permit_until,
                self.lapsed_permits,
                self.reported_at,
                self.ready_at,
                self.start,
                self.build,
                self.status.value,
                self.doubted_at,
                self.fault,
            ],
        ]

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "Unit":
        """Reads a unit out of a snapshot; it belongs to no budget yet."""
        name, labels, request, stored = plain
        unit = cls(name, labels)
        unit.request = PermitRequest(*request) if request else None
        unit.state = PermitState(stored[0])
        unit.state_entered_at = stored[1]
        unit.fencing_token = stored[2]
        unit.permit_until = stored[3]
        unit.lapsed_permits = stored[4]
        unit.reported_at = stored[5]
        unit.ready_at = stored[6]
        unit.start = stored[7]
        unit.build = stored[8]
        unit.status = UnitStatus(stored[9])
        unit.doubted_at = stored[10]
        unit.fault = stored[11]
        return unit
