"""The commands of the disruption state machine in their typed form.

In the log a command is a mapping with `do`, its name, and its fields; `part` may say that it is for
this machine. `command_reader` makes one of the records below of it; they have the same names for
their fields.
"""

from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ..interface.clock import Ticks
from .halts import HaltCause

# What the field `part` says of a command that is for this machine.
PART_NAME = "turns"


class CommandName(StrEnum):
    """The names of the commands; the value is what the field `do` has."""

    DECLARE = "declare"
    REPORT_UNITS = "seen"
    REQUEST_PERMIT = "ask"
    TICK = "tick"
    BEGIN = "begin"
    REPORT_DRAINED = "out"
    RETURN = "return"
    REPORT_READY = "ready"
    HALT = "halt"
    RESUME = "resume"
    ROLL_BACK = "back"
    START_RELEASE = "release"
    VOTE = "vote"
    CANCEL = "cancel"
    STATUS = "status"


class Verdict(StrEnum):
    """The decision module's verdict on a wave of a release."""

    CONTINUE = "on"
    HOLD = "hold"
    ROLL_BACK = "back"


class DeclareCommand(NamedTuple):
    """The operator's declaration. None leaves a part as it is.

    Attributes:
        epoch: the declaration's epoch; older ones are rejected.
        units: labels by name of units to add or change.
        gone: names of units to take away.
        budgets: all budgets.
        terms: settings to change, by name.
    """

    epoch: int
    units: dict[str, Any] | None
    gone: list[Any] | None
    budgets: list[Any] | None
    terms: dict[str, Any] | None


class ReportUnitsCommand(NamedTuple):
    """What an observer saw.

    Attributes:
        as_of: the last agreed time that it had heard when it looked.
        units: `[status, start, build]` by name.
    """

    as_of: Ticks
    units: dict[str, Any]


class RequestPermitCommand(NamedTuple):
    """A request for a permit; see PermitRequest. `queue` says whether it may wait."""

    unit: str
    plan: str
    epoch: int
    urgency: int
    build: str
    queue: bool


class TickCommand(NamedTuple):
    """Time goes on."""


class BeginCommand(NamedTuple):
    """An agent asks whether it may begin by the permit it has.

    Attributes:
        unit: its unit.
        fence: the permit's fencing token.
        epoch: the plan's epoch.
        start: the number of the process' start.
    """

    unit: str
    fence: int
    epoch: int
    start: int


class ReportDrainedCommand(NamedTuple):
    """A unit has drained, by the permit with the fencing token `fence`."""

    unit: str
    fence: int


class ReturnCommand(NamedTuple):
    """A unit returns, or gives up a permit it did not begin; `fault` says why it can't return."""

    unit: str
    fence: int
    fault: str | None


class ReportReadyCommand(NamedTuple):
    """A unit was seen ready; see ReportUnitsCommand."""

    unit: str
    as_of: Ticks
    start: int
    build: str


class HaltCommand(NamedTuple):
    """Halts a release, or the units that a selector chooses; see Halt."""

    by: str
    why: str
    where: dict[str, Any] | None
    release: str | None
    cause: HaltCause


class ResumeCommand(NamedTuple):
    """Ends the halt with the number `halt`."""

    halt: int


class RollBackCommand(NamedTuple):
    """Rolls back a release, or calls back a unit or the units of a plan; just one is given."""

    release: str | None
    unit: str | None
    plan: str | None
    epoch: int | None


class StartReleaseCommand(NamedTuple):
    """Starts a release; see Release. `wait` says whether it may wait for another release."""

    release: str
    epoch: int
    where: dict[str, Any]
    build: str
    earlier: str
    waves: list[Any]
    gate: bool
    auto: bool
    urgency: int
    wait: bool


class VoteCommand(NamedTuple):
    """The decision module's verdict on a wave of a release, and why."""

    release: str
    epoch: int
    wave: int
    verdict: Verdict
    why: str | None


class CancelCommand(NamedTuple):
    """Takes back the request or permit of a unit, if it is of this plan and epoch."""

    unit: str
    plan: str | None
    epoch: int | None


class StatusCommand(NamedTuple):
    """Asks how a unit, or the units that a selector chooses, stand; changes nothing."""

    unit: str | None
    where: dict[str, Any] | None


Command: TypeAlias = (
    DeclareCommand
    | ReportUnitsCommand
    | RequestPermitCommand
    | TickCommand
    | BeginCommand
    | ReportDrainedCommand
    | ReturnCommand
    | ReportReadyCommand
    | HaltCommand
    | ResumeCommand
    | RollBackCommand
    | StartReleaseCommand
    | VoteCommand
    | CancelCommand
    | StatusCommand
)
