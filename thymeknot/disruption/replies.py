"""The replies of the disruption state machine: their typed form, and how they are written.

Every written reply has `at`, the agreed time, and either `"ok": True` with the fields of one of the
records below or `"refused"` (a sentence), `"by"` (who stands in the way) and `"again"` (ticks after
which a retry makes sense). A field that is None is left out.
"""

from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ..interface.clock import Ticks
from .permits import PermitState
from .targets import CommandRejectedError


class OrderName(StrEnum):
    """What an agent is to do."""

    BEGIN = "begin"
    DRAIN = "drain"
    STAY = "stay"
    RETURN = "return"


# What an agent is told to do, by the state of its unit's permit.
ORDER_BY_STATE = {
    PermitState.GRANTED: OrderName.BEGIN,
    PermitState.DRAINING: OrderName.DRAIN,
    PermitState.OUT: OrderName.STAY,
    PermitState.RETURNING: OrderName.RETURN,
}


class Order(NamedTuple):
    """What an agent is to do, and by which permit.

    Attributes:
        do: what it is to do.
        fence: the permit's fencing token.
        plan: the plan that requested the permit.
        epoch: the plan's epoch.
        left: ticks until the permit lapses.
        build: the build to return with, or empty.
    """

    do: OrderName
    fence: int
    plan: str
    epoch: int
    left: Ticks
    build: str

    def to_plain(self) -> dict[str, Any]:
        """The order as a reply has it."""
        return {**self._asdict(), "do": self.do.value}


class AcceptedReply(NamedTuple):
    """A command was taken that says nothing more."""


class UnitReply(NamedTuple):
    """A command was taken that is about a unit; how the unit stands is added after settling.

    A permit that is granted at once is so told at once.
    """

    unit: str


class DeclareReply(NamedTuple):
    """How many units and budgets there are now, and the settings."""

    units: int
    budgets: int
    terms: dict[str, int]


class SeenReply(NamedTuple):
    """Orders by unit's name, and names of some reports that were not understood."""

    orders: dict[str, Any]
    strange: list[str] | None


class HaltReply(NamedTuple):
    """The number of a halt, and the ticks after which it binds every agent."""

    halt: int
    bound: Ticks


class ResumeReply(NamedTuple):
    """The halt that ended in a sentence, and the numbers of those that stand."""

    was: str
    stands: list[int]


class CalledBackReply(NamedTuple):
    """Names of the units that were called back."""

    called: list[str]


class ReleaseReply(NamedTuple):
    """A release and its state; for a new one how many units it has, its waves and its wait."""

    release: str
    state: str
    units: int | None = None
    waves: list[int] | None = None
    waits: str | None = None


class VoteReply(NamedTuple):
    """The state of a release and its wave."""

    state: str
    wave: int


class VotedBackReply(NamedTuple):
    """The state of a release that was voted back, and its halt; see HaltReply."""

    state: str
    halt: int
    bound: Ticks


class UnitDetails(NamedTuple):
    """Where a unit stands.

    Attributes:
        state: where it stands with its permit.
        ready: whether it counts as ready.
        build: the build it runs.
        order: what its agent is to do, if it has a permit.
        out: why it counts as unavailable, if it does.
        fault: why it can't return.
        waits: why its request was not granted.
        by: who stands in the way of its request.
        again: ticks after which to ask again.
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
    """How units, budgets, halts and releases stand.

    Attributes:
        terms: the settings.
        units: how many units were asked for.
        out: how many of them are unavailable.
        more: how many more than those in `away` have a request or are unavailable.
        away: by name how these stand.
        budgets: by name the usages of the budgets.
        halts: by number the halts that stand, in sentences.
        releases: by name the releases.
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
    """How one unit stands."""

    unit: str
    details: UnitDetails


Reply: TypeAlias = (
    AcceptedReply
    | UnitReply
    | DeclareReply
    | SeenReply
    | HaltReply
    | ResumeReply
    | CalledBackReply
    | ReleaseReply
    | VoteReply
    | VotedBackReply
    | StatusReply
    | UnitStatusReply
)


def write_fields(reply: Reply | UnitDetails) -> dict[str, Any]:
    """The fields of a reply as they are written."""
    if isinstance(reply, UnitStatusReply):
        return {"unit": reply.unit, **write_fields(reply.details)}
    return {name: value for name, value in reply._asdict().items() if value is not None}


def write_rejection(rejection: CommandRejectedError) -> dict[str, Any]:
    """A rejection as it is written, without the agreed time."""
    return {"refused": rejection.reason, "by": rejection.by, "again": rejection.retry_after}
