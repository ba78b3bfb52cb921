"""The typed replies of the disruption state machine, and their encoding as mappings.

Every encoded reply has `at`, the agreed time. An accepted command adds `"ok": True` and the fields
of one of the records below; fields that are None are omitted. A rejected command adds `"refused"`
(the reason as a sentence), `"by"` (names of whatever is in the way) and `"again"` (ticks until a
retry makes sense). The fields of the records are the keys on the wire.
"""

from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ..interface.clock import Ticks
from .permits import PermitState
from .targets import CommandRejectedError


class OrderName(StrEnum):
    """Name of an order to an agent."""

    BEGIN = "begin"
    DRAIN = "drain"
    STAY = "stay"
    RETURN = "return"


# The order to the agent, by the state of its unit's permit.
ORDER_BY_STATE = {
    PermitState.GRANTED: OrderName.BEGIN,
    PermitState.DRAINING: OrderName.DRAIN,
    PermitState.OUT_OF_SERVICE: OrderName.STAY,
    PermitState.RETURNING: OrderName.RETURN,
}


class Order(NamedTuple):
    """An order to the agent of a unit that has a permit.

    Attributes:
        do: The order.
        fence: Fencing token of the permit.
        plan: The plan that requested the permit.
        epoch: Epoch of the plan.
        left: Ticks until the permit lapses.
        build: The build with which the unit is to return, or empty.
    """

    do: OrderName
    fence: int
    plan: str
    epoch: int
    left: Ticks
    build: str

    def to_plain(self) -> dict[str, Any]:
        """Returns the order in its encoded form."""
        return {**self._asdict(), "do": self.do.value}


class AcceptedReply(NamedTuple):
    """Reply to a command that has no result."""


class UnitReply(NamedTuple):
    """Reply to a command on one unit.

    The state machine adds the unit's UnitDetails after the consequences of the command have been
    applied, so that the reply already shows a permit that was granted at once.
    """

    unit: str


class DeclareReply(NamedTuple):
    """Numbers of units and budgets after a declaration, and the settings in force."""

    units: int
    budgets: int
    terms: dict[str, int]


class ReportReply(NamedTuple):
    """Orders by unit name, and the names of some reports that were unknown or malformed."""

    orders: dict[str, Any]
    strange: list[str] | None


class HaltReply(NamedTuple):
    """The number of a halt, and the ticks after which no agent begins a disruption under it."""

    halt: int
    bound: Ticks


class ResumeReply(NamedTuple):
    """Description of the halt that ended, and the numbers of the remaining halts."""

    was: str
    stands: list[int]


class CalledBackReply(NamedTuple):
    """Names of the units whose requests or permits were withdrawn, or that were recalled."""

    called: list[str]


class ReleaseReply(NamedTuple):
    """A release and its state; a new one also has its number of units, waves and wait reason."""

    release: str
    state: str
    units: int | None = None
    waves: list[int] | None = None
    waits: str | None = None


class VoteReply(NamedTuple):
    """The state of a release and the index of its current wave."""

    state: str
    wave: int


class VotedBackReply(NamedTuple):
    """The state of a release after the verdict `back`, and its halt; see HaltReply."""

    state: str
    halt: int
    bound: Ticks


class UnitDetails(NamedTuple):
    """The current state of a unit.

    Attributes:
        state: State of its permit.
        ready: Whether it counts as ready.
        build: The build it runs.
        order: The order to its agent; None without a permit.
        out: Why it counts as unavailable; None if it is ready.
        fault: Why it can't return, or None.
        waits: Why its request has not been granted, or None.
        by: Names of the budgets and units that block its request.
        again: Ticks until a retry of its request makes sense.
    """

    state: str
    ready: bool
    build: str
    order: dict[str, Any] | None
    out: str | None
    fault: str | None
    waits: str | None
    by: list[str] | None
    again: Ticks | None


class StatusReply(NamedTuple):
    """The status of units, budgets, halts and releases.

    Attributes:
        terms: The settings.
        units: Number of units that the selector matches.
        out: Number of those that are unavailable.
        more: Number of units with a request or unavailable that are omitted from `away`.
        away: Details of the units that have a request or are unavailable, by name.
        budgets: Usages of the budgets, by name.
        halts: Descriptions of the halts in force, by number.
        releases: Summaries of the releases, by name.
    """

    terms: dict[str, int]
    units: int
    out: int
    more: int
    away: dict[str, Any]
    budgets: dict[str, Any]
    halts: dict[str, str]
    releases: dict[str, Any]


class UnitStatusReply(NamedTuple):
    """The status of one unit."""

    unit: str
    details: UnitDetails


Reply: TypeAlias = (
    AcceptedReply
    | UnitReply
    | DeclareReply
    | ReportReply
    | HaltReply
    | ResumeReply
    | CalledBackReply
    | ReleaseReply
    | VoteReply
    | VotedBackReply
    | StatusReply
    | UnitStatusReply
)


def encode_fields(reply: Reply | UnitDetails) -> dict[str, Any]:
    """Encodes the fields of a reply, without those that are None."""
    if isinstance(reply, UnitStatusReply):
        return {"unit": reply.unit, **encode_fields(reply.details)}
    return {name: value for name, value in reply._asdict().items() if value is not None}


def encode_rejection(rejection: CommandRejectedError) -> dict[str, Any]:
    """Encodes a rejection, without the agreed time."""
    return {"refused": rejection.reason, "by": rejection.by, "again": rejection.retry_after}
