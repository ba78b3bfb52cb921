"""Typed commands of the disruption state machine.

In the log, a command is a mapping of `do` (the command's name), its fields and optionally `part`
(the state machine that it addresses). `command_reader` converts it to one of the records below,
whose fields have the same names.
"""

from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ..interface.clock import Ticks
from .halts import HaltCause

# The value of `part` that addresses this state machine.
PART_NAME = "turns"


class CommandName(StrEnum):
    """The names of the commands; the value is that of the field `do`."""

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
    """The decision module's verdict on a wave of a release.

    CONTINUE allows the next wave, HOLD withdraws that before the next wave begins, and ROLL_BACK
    halts the release and, with automatic rollback, rolls it back.
    """

    CONTINUE = "on"
    HOLD = "hold"
    ROLL_BACK = "back"


class DeclareCommand(NamedTuple):
    """The operator's declaration of units, budgets and settings; None leaves them unchanged.

    Attributes:
        epoch: The declaration's epoch; a declaration older than the newest is rejected.
        units: Labels by name of the units to add or change.
        gone: Names of the units to remove.
        budgets: All budgets; they replace the current ones.
        terms: Settings to change, by name.
    """

    epoch: int
    units: dict[str, Any] | None
    gone: list[Any] | None
    budgets: list[Any] | None
    terms: dict[str, Any] | None


class ReportUnitsCommand(NamedTuple):
    """Status reports of units.

    Attributes:
        as_of: The newest agreed time that the observer knew when it made the observation.
        units: `[status, start, build]` by unit name; `start` is the number of the process's start.
    """

    as_of: Ticks
    units: dict[str, Any]


class RequestPermitCommand(NamedTuple):
    """Requests a permit; see PermitRequest. Without `queue` it is rejected if it has to wait."""

    unit: str
    plan: str
    epoch: int
    urgency: int
    build: str
    queue: bool


class TickCommand(NamedTuple):
    """Advances agreed time and triggers what depends on it."""


class BeginCommand(NamedTuple):
    """An agent's request to confirm that it may begin the permitted disruption.

    Attributes:
        unit: The agent's unit.
        fence: The permit's fencing token.
        epoch: The plan's epoch.
        start: The number of the process's start.
    """

    unit: str
    fence: int
    epoch: int
    start: int


class ReportDrainedCommand(NamedTuple):
    """Reports that a unit has drained, under the permit with the fencing token `fence`."""

    unit: str
    fence: int


class ReturnCommand(NamedTuple):
    """Reports that a unit returns or gives up its permit, or cannot return because of `fault`."""

    unit: str
    fence: int
    fault: str | None


class ReportReadyCommand(NamedTuple):
    """Reports that a unit is ready; see ReportUnitsCommand for the fields."""

    unit: str
    as_of: Ticks
    start: int
    build: str


class HaltCommand(NamedTuple):
    """Halts a release, or the units that the selector `where` matches; see Halt."""

    by: str
    why: str
    where: dict[str, Any] | None
    release: str | None
    cause: HaltCause


class ResumeCommand(NamedTuple):
    """Ends the halt with the number `halt`."""

    halt: int


class RollBackCommand(NamedTuple):
    """Rolls back a release, or calls back one unit or all units of a plan; only one is set."""

    release: str | None
    unit: str | None
    plan: str | None
    epoch: int | None


class StartReleaseCommand(NamedTuple):
    """Starts a release; see Release. Without `wait` it is rejected while another has its units."""

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
    """The decision module's verdict on a wave of a release, with an optional reason."""

    release: str
    epoch: int
    wave: int
    verdict: Verdict
    why: str | None


class CancelCommand(NamedTuple):
    """Withdraws a unit's request or permit; a given plan must match, a given epoch not be older."""

    unit: str
    plan: str | None
    epoch: int | None


class StatusCommand(NamedTuple):
    """Queries the status of one unit, or of the units that a selector matches; changes nothing."""

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
