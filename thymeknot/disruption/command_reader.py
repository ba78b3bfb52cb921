"""How commands are checked and read: the fields of each, what their values have to be, defaults."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final, NamedTuple

from .commands import (
    PART_NAME,
    BeginCommand,
    CancelCommand,
    Command,
    CommandName,
    DeclareCommand,
    HaltCommand,
    ReportDrainedCommand,
    ReportReadyCommand,
    ReportUnitsCommand,
    RequestPermitCommand,
    ResumeCommand,
    ReturnCommand,
    RollBackCommand,
    StartReleaseCommand,
    StatusCommand,
    TickCommand,
    Verdict,
    VoteCommand,
)
from .halts import HaltCause
from .targets import CommandRejectedError, is_valid_name

# About the bytes of a command as msgpack.
MAX_COMMAND_SIZE = 65_536
# Lists and mappings within each other that a command may have.
MAX_COMMAND_DEPTH = 8
# About the bytes of a list's, mapping's or string's head as msgpack.
SIZE_OF_HEAD = 5
# About the bytes of a number as msgpack.
SIZE_OF_NUMBER = 9
# Characters of a sentence in a command.
MAX_SENTENCE_LENGTH = 512
# Characters of an unknown word that a rejection repeats.
MAX_QUOTED_LENGTH = 40
# Bits of a whole number: it has to fit a signed one of 64 bits wherever it is stored.
MAX_NUMBER_BITS = 62
REQUIRED: Final = object()


class ValueRule(NamedTuple):
    """What a field's value has to be.

    Attributes:
        is_valid: whether a value is that.
        expected: what it has to be, in words.
    """

    is_valid: Callable[[Any], bool]
    expected: str


class FieldRule(NamedTuple):
    """A field of a command.

    Attributes:
        value: what its value has to be.
        default: its value if the command has none, or REQUIRED.
    """

    value: ValueRule
    default: Any = REQUIRED


def is_non_negative_integer(value: object) -> bool:
    """Whether a value is a whole number, not negative, that can be stored."""
    return (
        isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << MAX_NUMBER_BITS
    )


def is_sentence(value: object) -> bool:
    """Whether a value is a sentence."""
    return isinstance(value, str) and 0 < len(value) <= MAX_SENTENCE_LENGTH and value.isprintable()


def is_name_or_empty(value: object) -> bool:
    """Whether a value is a name, or the empty text."""
    return value == "" or is_valid_name(value)


NAME = ValueRule(is_valid_name, "a name of 1 to 128 characters")
NATURAL = ValueRule(is_non_negative_integer, "a whole number, not negative")
SENTENCE = ValueRule(is_sentence, "a sentence of 1 to 512 characters")
NAME_OR_EMPTY = ValueRule(is_name_or_empty, "a name, or empty")
FLAG = ValueRule(lambda value: isinstance(value, bool), "true or false")
MAPPING = ValueRule(lambda value: isinstance(value, dict), "a mapping")
LIST = ValueRule(lambda value: isinstance(value, list), "a list")
URGENCY = ValueRule(lambda value: is_non_negative_integer(value) and value <= 9, "0 to 9")
# Causes that a command may state; the others are the machine's own.
CAUSE = ValueRule(
    lambda value: value in (HaltCause.OPERATOR, HaltCause.GANG, HaltCause.REQUEST_CLASS),
    "operator, gang or class",
)
VERDICT = ValueRule(lambda value: value in tuple(Verdict), "on, hold or back")

# The fields of each command, in the order in which they are checked.
COMMAND_FIELDS: dict[CommandName, dict[str, FieldRule]] = {
    CommandName.DECLARE: {
        "epoch": FieldRule(NATURAL),
        "units": FieldRule(MAPPING, None),
        "gone": FieldRule(LIST, None),
        "budgets": FieldRule(LIST, None),
        "terms": FieldRule(MAPPING, None),
    },
    CommandName.REPORT_UNITS: {"as_of": FieldRule(NATURAL), "units": FieldRule(MAPPING)},
    CommandName.REQUEST_PERMIT: {
        "unit": FieldRule(NAME),
        "plan": FieldRule(NAME),
        "epoch": FieldRule(NATURAL),
        "urgency": FieldRule(URGENCY, 0),
        "build": FieldRule(NAME_OR_EMPTY, ""),
        "queue": FieldRule(FLAG, True),
    },
    CommandName.TICK: {},
    CommandName.BEGIN: {
        "unit": FieldRule(NAME),
        "fence": FieldRule(NATURAL),
        "epoch": FieldRule(NATURAL),
        "start": FieldRule(NATURAL),
    },
    CommandName.REPORT_DRAINED: {"unit": FieldRule(NAME), "fence": FieldRule(NATURAL)},
    CommandName.RETURN: {
        "unit": FieldRule(NAME),
        "fence": FieldRule(NATURAL),
        "fault": FieldRule(SENTENCE, None),
    },
    CommandName.REPORT_READY: {
        "unit": FieldRule(NAME),
        "as_of": FieldRule(NATURAL),
        "start": FieldRule(NATURAL),
        "build": FieldRule(NAME_OR_EMPTY, ""),
    },
    CommandName.HALT: {
        "by": FieldRule(NAME),
        "why": FieldRule(SENTENCE),
        "where": FieldRule(MAPPING, None),
        "release": FieldRule(NAME, None),
        "cause": FieldRule(CAUSE, HaltCause.OPERATOR),
    },
    CommandName.RESUME: {"halt": FieldRule(NATURAL)},
    CommandName.ROLL_BACK: {
        "release": FieldRule(NAME, None),
        "unit": FieldRule(NAME, None),
        "plan": FieldRule(NAME, None),
        "epoch": FieldRule(NATURAL, None),
    },
    CommandName.START_RELEASE: {
        "release": FieldRule(NAME),
        "epoch": FieldRule(NATURAL),
        "where": FieldRule(MAPPING),
        "build": FieldRule(NAME),
        "earlier": FieldRule(NAME),
        "waves": FieldRule(LIST),
        "gate": FieldRule(FLAG, True),
        "auto": FieldRule(FLAG, True),
        "urgency": FieldRule(URGENCY, 0),
        "wait": FieldRule(FLAG, False),
    },
    CommandName.VOTE: {
        "release": FieldRule(NAME),
        "epoch": FieldRule(NATURAL),
        "wave": FieldRule(NATURAL),
        "verdict": FieldRule(VERDICT),
        "why": FieldRule(SENTENCE, None),
    },
    CommandName.CANCEL: {
        "unit": FieldRule(NAME),
        "plan": FieldRule(NAME, None),
        "epoch": FieldRule(NATURAL, None),
    },
    CommandName.STATUS: {"unit": FieldRule(NAME, None), "where": FieldRule(MAPPING, None)},
}
COMMAND_TYPES: dict[CommandName, type[Command]] = {
    CommandName.DECLARE: DeclareCommand,
    CommandName.REPORT_UNITS: ReportUnitsCommand,
    CommandName.REQUEST_PERMIT: RequestPermitCommand,
    CommandName.TICK: TickCommand,
    CommandName.BEGIN: BeginCommand,
    CommandName.REPORT_DRAINED: ReportDrainedCommand,
    CommandName.RETURN: ReturnCommand,
    CommandName.REPORT_READY: ReportReadyCommand,
    CommandName.HALT: HaltCommand,
    CommandName.RESUME: ResumeCommand,
    CommandName.ROLL_BACK: RollBackCommand,
    CommandName.START_RELEASE: StartReleaseCommand,
    CommandName.VOTE: VoteCommand,
    CommandName.CANCEL: CancelCommand,
    CommandName.STATUS: StatusCommand,
}
# Fields whose plain values become members of an enum.
FIELD_ENUMS: dict[str, type[StrEnum]] = {"cause": HaltCause, "verdict": Verdict}


def estimate_size(value: list[Any] | dict[Any, Any], depth: int = 0) -> int:
    """About the bytes of a list or mapping.

    Gives more than any command may have if it is nested too deep or holds what is not plain.
    """
    total = SIZE_OF_HEAD
    for part in [*value, *value.values()] if type(value) is dict else value:
        kind = type(part)
        if kind is str:
            total += SIZE_OF_HEAD + len(part)
        elif kind in (int, float, bool) or part is None:
            total += SIZE_OF_NUMBER
        elif kind in (list, dict) and depth < MAX_COMMAND_DEPTH:
            total += estimate_size(part, depth + 1)
        else:
            return MAX_COMMAND_SIZE + 1
    return total


def read_fields(command: Any) -> tuple[CommandName, dict[str, Any]]:
    """Checks a command; gives its name and its fields by COMMAND_FIELDS, with defaults.

    Raises:
        CommandRejectedError: it is malformed.
    """
    if type(command) is not dict or estimate_size(command) > MAX_COMMAND_SIZE:
        raise CommandRejectedError(
            f"a command is a mapping of plain values of at most {MAX_COMMAND_SIZE} bytes"
        )
    name = _read_name(command)
    rules = COMMAND_FIELDS[name]
    if command.get("part", PART_NAME) != PART_NAME:
        raise CommandRejectedError("this command is for another part")
    for field in command:
        if field not in rules and field not in ("do", "part"):
            raise CommandRejectedError(f"{name} has no field {str(field)[:MAX_QUOTED_LENGTH]!r}")
    return name, {
        field: _read_field(name, field, rule, command.get(field)) for field, rule in rules.items()
    }


def parse_command(command: Any) -> tuple[CommandName, Command]:
    """Checks a command; gives its name and its typed form.

    Raises:
        CommandRejectedError: it is malformed.
    """
    name, fields = read_fields(command)
    for field, enum in FIELD_ENUMS.items():
        if field in fields:
            fields[field] = enum(fields[field])
    return name, COMMAND_TYPES[name](**fields)


def _read_name(command: dict[Any, Any]) -> CommandName:
    do = command.get("do")
    if isinstance(do, str):
        try:
            return CommandName(do)
        except ValueError:
            pass  # the rejection below names it
    raise CommandRejectedError(
        f"no command {str(do)[:MAX_QUOTED_LENGTH]!r}; there are {', '.join(CommandName)}"
    )


def _read_field(name: CommandName, field: str, rule: FieldRule, value: Any) -> Any:
    if value is None:
        if rule.default is REQUIRED:
            raise CommandRejectedError(f"{name} needs {field}: {rule.value.expected}")
        return rule.default
    if not rule.value.is_valid(value):
        raise CommandRejectedError(f"{name}: {field} is not {rule.value.expected}")
    return value
