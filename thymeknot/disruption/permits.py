"""Units and their permits: states, transitions, requests, and the evidence that a unit is ready.

A permit is a lease with a fencing token. The permit's state records what was permitted. Whether the
unit serves is known only from reports: a unit counts as ready if it is in service (or has requested
a permit), was reported ready within the last `silent` ticks, and that report is newer than the
event that last invalidated its evidence. Every other unit is unavailable: crashed, silent, unknown,
warming up, permitted, or with a lapsed permit.

Reports are dated by `as_of`, the newest agreed time that the observer knew when it made the
observation. The observation is therefore never older than its date, and a report that was delayed
or retried proves nothing about a unit that was disrupted since.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from ..interface.clock import Ticks
from .budgets import BudgetUsage
from .targets import Labels


class PermitState(StrEnum):
    """The state of a unit's permit.

    IN_SERVICE and REQUESTED have no permit; REQUESTED waits for one. GRANTED has an unused permit,
    DRAINING has used it to begin, OUT_OF_SERVICE has drained, and RETURNING waits until the unit
    is ready again.
    """

    IN_SERVICE = "in"
    REQUESTED = "asked"
    GRANTED = "granted"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out"
    RETURNING = "returning"


class PermitInput(StrEnum):
    """Inputs of a unit's permit."""

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
    """What a transition does to the unit besides changing the permit's state."""

    QUEUE_REQUEST = "queue request"
    ISSUE_PERMIT = "issue permit"
    DROP_REQUEST = "drop request"
    END_PERMIT = "end permit"
    REQUEUE = "requeue"
    RESET_LAPSES = "reset lapses"
    NOTHING = "nothing"
    CALL_BACK = "call back"
    RECORD_FAULT = "record fault"
    COMPLETE_RETURN = "complete return"


class UnitStatus(StrEnum):
    """The status that an observer reports for a unit; COLD is not warm yet, GONE does not run."""

    READY = "ready"
    COLD = "cold"
    OUT_OF_SERVICE = "out"
    GONE = "gone"


class PermitTransition(NamedTuple):
    """The result of an input in a state.

    Attributes:
        state: The next state.
        effect: What is done to the unit.
    """

    state: PermitState
    effect: PermitEffect


# States in which the unit has a permit.
PERMITTED_STATES = (
    PermitState.GRANTED,
    PermitState.DRAINING,
    PermitState.OUT_OF_SERVICE,
    PermitState.RETURNING,
)
# States in which the unit has no permit.
IN_SERVICE_STATES = (PermitState.IN_SERVICE, PermitState.REQUESTED)
# For reports: looking up the member here is faster than calling UnitStatus(value).
STATUS_BY_VALUE = {status.value: status for status in UnitStatus}
# An input without a transition changes nothing. Only a confirmed begin leads to draining.
PERMIT_TRANSITIONS = {
    (state, event): PermitTransition(next_state, effect)
    for state, event, next_state, effect in (
        (
            PermitState.IN_SERVICE,
            PermitInput.REQUESTED,
            PermitState.REQUESTED,
            PermitEffect.QUEUE_REQUEST,
        ),
        (
            PermitState.REQUESTED,
            PermitInput.GRANTED,
            PermitState.GRANTED,
            PermitEffect.ISSUE_PERMIT,
        ),
        (
            PermitState.REQUESTED,
            PermitInput.REVOKED,
            PermitState.IN_SERVICE,
            PermitEffect.DROP_REQUEST,
        ),
        (PermitState.GRANTED, PermitInput.BEGAN, PermitState.DRAINING, PermitEffect.RESET_LAPSES),
        (PermitState.GRANTED, PermitInput.LAPSED, PermitState.IN_SERVICE, PermitEffect.END_PERMIT),
        (PermitState.GRANTED, PermitInput.REVOKED, PermitState.IN_SERVICE, PermitEffect.END_PERMIT),
        (
            PermitState.GRANTED,
            PermitInput.RESTARTED,
            PermitState.IN_SERVICE,
            PermitEffect.END_PERMIT,
        ),
        (PermitState.GRANTED, PermitInput.HALTED, PermitState.REQUESTED, PermitEffect.REQUEUE),
        (
            PermitState.DRAINING,
            PermitInput.DRAINED,
            PermitState.OUT_OF_SERVICE,
            PermitEffect.NOTHING,
        ),
        (PermitState.DRAINING, PermitInput.REVOKED, PermitState.RETURNING, PermitEffect.CALL_BACK),
        (PermitState.DRAINING, PermitInput.RETURNED, PermitState.RETURNING, PermitEffect.CALL_BACK),
        (
            PermitState.DRAINING,
            PermitInput.RESTARTED,
            PermitState.RETURNING,
            PermitEffect.CALL_BACK,
        ),
        (
            PermitState.OUT_OF_SERVICE,
            PermitInput.REVOKED,
            PermitState.RETURNING,
            PermitEffect.CALL_BACK,
        ),
        (
            PermitState.OUT_OF_SERVICE,
            PermitInput.RETURNED,
            PermitState.RETURNING,
            PermitEffect.CALL_BACK,
        ),
        (
            PermitState.OUT_OF_SERVICE,
            PermitInput.RESTARTED,
            PermitState.RETURNING,
            PermitEffect.CALL_BACK,
        ),
        (
            PermitState.RETURNING,
            PermitInput.FAILED,
            PermitState.RETURNING,
            PermitEffect.RECORD_FAULT,
        ),
        (
            PermitState.RETURNING,
            PermitInput.READY,
            PermitState.IN_SERVICE,
            PermitEffect.COMPLETE_RETURN,
        ),
    )
}


@dataclass(slots=True)
class PermitRequest:
    """A request for a permit.

    Attributes:
        requested_at: Agreed time of the request.
        urgency: 0 to 9; the setting `step` is the age in ticks that each degree is worth.
        plan: The name of the plan that made the request.
        epoch: The plan's epoch.
        rollback: Whether the unit is to be disrupted for a rollback.
        build: The build to return with, or empty to keep the current one.
    """

    requested_at: Ticks
    urgency: int
    plan: str
    epoch: int
    rollback: bool = False
    build: str = ""

    def to_plain(self) -> list[Any]:
        """Encodes the request for a snapshot as the list of the constructor's arguments."""
        return [self.requested_at, self.urgency, self.plan, self.epoch, self.rollback, self.build]


class Unit:
    """A unit, its permit, and its last reported status.

    Attributes:
        name: The unit's name.
        labels: The unit's labels.
        state: The state of its permit.
        state_entered_at: Agreed time at which that state was entered.
        request: The waiting or granted request; None only in service.
        fencing_token: The fencing token of the newest permit, 0 if there was none.
        permit_until: Agreed time at which the permit lapses unless it is begun.
        lapsed_permits: The number of permits that lapsed since one was last begun.
        reported_at: Date of the last report, -1 if there was none.
        ready_at: Date of the last report with the status READY, -1 if there was none.
        start: Number of the process's start, -1 if the unit was never reported.
        build: The build that the unit runs, empty if unknown.
        status: The last reported status.
        evidence_valid_after: Agreed time; reports dated up to it do not prove that the unit is
            ready. -1 if there is none.
        fault: Why the unit cannot return, or empty.
        usages: The budget usages that cover the unit.
        silence_queued: Whether the unit has an entry in the fleet's `silence_deadlines`.
    """

    __slots__ = (
        "build",
        "evidence_valid_after",
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
        self.evidence_valid_after: Ticks = -1
        self.start = -1
        self.build = ""
        self.status = UnitStatus.GONE
        self.fault = ""
        self.usages: list[BudgetUsage] = []
        self.silence_queued = False

    @property
    def granted_request(self) -> PermitRequest:
        """The request of a unit that waits for a permit or has one.

        Raises:
            ValueError: The unit is in service and has no request.
        """
        if self.request is None:
            raise ValueError(f"unit {self.name} is {self.state} and has no request")
        return self.request

    def is_reported_ready(self, at: Ticks, silent: Ticks) -> bool:
        """Returns whether a recent and valid report has the status READY, in any permit state."""
        return (
            self.status == UnitStatus.READY
            and self.ready_at > self.evidence_valid_after
            and self.ready_at + silent > at
        )

    def is_ready(self, at: Ticks, silent: Ticks) -> bool:
        """Returns whether the unit counts as ready; otherwise it counts as unavailable."""
        return self.state in IN_SERVICE_STATES and self.is_reported_ready(at, silent)

    def is_reported_unavailable(self, at: Ticks, silent: Ticks) -> bool:
        """Returns whether the last report is recent and has a status other than READY.

        A silent unit does not qualify: it may be serving behind a partition, and would be disrupted
        when the partition heals.
        """
        return (
            self.status != UnitStatus.READY
            and self.reported_at >= 0
            and self.reported_at + silent > at
        )

    def describe_unavailability(self, at: Ticks, silent: Ticks) -> str:
        """Returns why the unit counts as unavailable, as a short phrase."""
        if self.state in PERMITTED_STATES:
            return self.state.value
        if self.reported_at < 0:
            return "unknown"
        if self.status != UnitStatus.READY:
            return self.status.value
        return "silent" if self.ready_at + silent <= at else "not seen since its permit ended"

    def to_plain(self) -> list[Any]:
        """Encodes the unit for a snapshot."""
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
                self.evidence_valid_after,
                self.fault,
            ],
        ]

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "Unit":
        """Decodes a unit from a snapshot; its budget usages are still empty."""
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
        unit.evidence_valid_after = stored[10]
        unit.fault = stored[11]
        return unit
