"""Validation and parsing of commands: their fields, the allowed values and the defaults."""

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

# Maximum estimated size of a command in msgpack.
MAX_COMMAND_BYTES = 65_536
# Maximum nesting of lists and mappings in a command.
MAX_COMMAND_DEPTH = 8
# Estimated size of the header of a list, mapping or string in msgpack.
HEADER_BYTES = 5
# Estimated size of a number in msgpack.
NUMBER_BYTES = 9
# Maximum characters of a sentence in a command.
MAX_SENTENCE_LENGTH = 512
# Maximum characters of an unknown word that a rejection quotes.
MAX_QUOTED_LENGTH = 40
# Integers in commands stay well within a signed 64-bit integer, wherever they are stored.
MAX_INTEGER_BITS = 62
# Marks a field that has no default.
REQUIRED: Final = object()


class ValueRule(NamedTuple):
    """The values that a field allows.

    Attributes:
        is_valid: Returns whether a value is allowed.
        expected: The allowed values in words, for rejections.
    """

    is_valid: Callable[[Any], bool]
    expected: str


class FieldRule(NamedTuple):
    """A field of a command.

    Attributes:
        value_rule: The allowed values.
        default: The value if the command has none, or REQUIRED.
    """

    value_rule: ValueRule
    default: Any = REQUIRED


def is_non_negative_integer(value: object) -> bool:
    """Returns whether a value is a non-negative integer that fits into MAX_INTEGER_BITS."""
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 <= value < 1 << MAX_INTEGER_BITS
    )


def is_sentence(value: object) -> bool:
    """Returns whether a value is printable text of 1 to MAX_SENTENCE_LENGTH characters."""
    return isinstance(value, str) and 0 < len(value) <= MAX_SENTENCE_LENGTH and value.isprintable()


def is_name_or_empty(value: object) -> bool:
    """Returns whether a value is a name or the empty string."""
    return value == "" or is_valid_name(value)


NAME = ValueRule(is_valid_name, "a name of 1 to 128 characters")
NON_NEGATIVE_INTEGER = ValueRule(is_non_negative_integer, "a whole number, not negative")
SENTENCE = ValueRule(is_sentence, "a sentence of 1 to 512 characters")
NAME_OR_EMPTY = ValueRule(is_name_or_empty, "a name, or empty")
BOOLEAN = ValueRule(lambda value: isinstance(value, bool), "true or false")
MAPPING = ValueRule(lambda value: isinstance(value, dict), "a mapping")
LIST = ValueRule(lambda value: isinstance(value, list), "a list")
URGENCY = ValueRule(lambda value: is_non_negative_integer(value) and value <= 9, "0 to 9")
# Causes that a command may give; the state machine alone sets the others.
CAUSE = ValueRule(
    lambda value: value in (HaltCause.OPERATOR, HaltCause.GANG, HaltCause.REQUEST_CLASS),
    "operator, gang or class",
)
VERDICT = ValueRule(lambda value: value in tuple(Verdict), "on, hold or back")

# The fields of each command, in the order in which they are validated.
COMMAND_FIELDS: dict[CommandName, dict[str, FieldRule]] = {
    CommandName.DECLARE: {
        "epoch": FieldRule(NON_NEGATIVE_INTEGER),
        "units": FieldRule(MAPPING, None),
        "gone": FieldRule(LIST, None),
        "budgets": FieldRule(LIST, None),
        "terms": FieldRule(MAPPING, None),
    },
    CommandName.REPORT_UNITS: {
        "as_of": FieldRule(NON_NEGATIVE_INTEGER),
        "units": FieldRule(MAPPING),
    },
    CommandName.REQUEST_PERMIT: {
        "unit": FieldRule(NAME),
        "plan": FieldRule(NAME),
        "epoch": FieldRule(NON_NEGATIVE_INTEGER),
        "urgency": FieldRule(URGENCY, 0),
        "build": FieldRule(NAME_OR_EMPTY, ""),
        "queue": FieldRule(BOOLEAN, True),
    },
    CommandName.TICK: {},
    CommandName.BEGIN: {
        "unit": FieldRule(NAME),
        "fence": FieldRule(NON_NEGATIVE_INTEGER),
        "epoch": FieldRule(NON_NEGATIVE_INTEGER),
        "start": FieldRule(NON_NEGATIVE_INTEGER),
    },
    CommandName.REPORT_DRAINED: {"unit": FieldRule(NAME), "fence": FieldRule(NON_NEGATIVE_INTEGER)},
    CommandName.RETURN: {
        "unit": FieldRule(NAME),
        "fence": FieldRule(NON_NEGATIVE_INTEGER),
        "fault": FieldRule(SENTENCE, None),
    },
    CommandName.REPORT_READY: {
        "unit": FieldRule(NAME),
        "as_of": FieldRule(NON_NEGATIVE_INTEGER),
        "start": FieldRule(NON_NEGATIVE_INTEGER),
        "build": FieldRule(NAME_OR_EMPTY, ""),
    },
    CommandName.HALT: {
        "by": FieldRule(NAME),
        "why": FieldRule(SENTENCE),
        "where": FieldRule(MAPPING, None),
        "release": FieldRule(NAME, None),
        "cause": FieldRule(CAUSE, HaltCause.OPERATOR),
    },
    CommandName.RESUME: {"halt": FieldRule(NON_NEGATIVE_INTEGER)},
    CommandName.ROLL_BACK: {
        "release": FieldRule(NAME, None),
        "unit": FieldRule(NAME, None),
        "plan": FieldRule(NAME, None),
        "epoch": FieldRule(NON_NEGATIVE_INTEGER, None),
    },
    CommandName.START_RELEASE: {
        "release": FieldRule(NAME),
        "epoch": FieldRule(NON_NEGATIVE_INTEGER),
        "where": FieldRule(MAPPING),
        "build": FieldRule(NAME),
        "earlier": FieldRule(NAME),
        "waves": FieldRule(LIST),
        "gate": FieldRule(BOOLEAN, True),
        "auto": FieldRule(BOOLEAN, True),
        "urgency": FieldRule(URGENCY, 0),
        "wait": FieldRule(BOOLEAN, False),
    },
    CommandName.VOTE: {
        "release": FieldRule(NAME),
        "epoch": FieldRule(NON_NEGATIVE_INTEGER),
        "wave": FieldRule(NON_NEGATIVE_INTEGER),
        "verdict": FieldRule(VERDICT),
        "why": FieldRule(SENTENCE, None),
    },
    CommandName.CANCEL: {
        "unit": FieldRule(NAME),
        "plan": FieldRule(NAME, None),
        "epoch": FieldRule(NON_NEGATIVE_INTEGER, None),
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
# Fields whose plain values are converted to enum members.
FIELD_ENUMS: dict[str, type[StrEnum]] = {"cause": HaltCause, "verdict": Verdict}


def estimate_size(value: list[Any] | dict[Any, Any], depth: int = 0) -> int:
    """Estimates the size in bytes of a list or mapping in msgpack.

    Returns more than MAX_COMMAND_BYTES if the value is nested too deeply or contains anything but
    strings, numbers, booleans, None, lists and mappings.
    """
    size = HEADER_BYTES
    for item in [*value, *value.values()] if type(value) is dict else value:
        item_type = type(item)
        if item_type is str:
            size += HEADER_BYTES + len(item)
        elif item_type in (int, float, bool) or item is None:
            size += NUMBER_BYTES
        elif item_type in (list, dict) and depth < MAX_COMMAND_DEPTH:
            size += estimate_size(item, depth + 1)
        else:
            return MAX_COMMAND_BYTES + 1
    return size


def read_fields(command: Any) -> tuple[CommandName, dict[str, Any]]:
    """Validates a command against COMMAND_FIELDS.

    Returns:
        The command's name, and its fields with defaults filled in.

    Raises:
        CommandRejectedError: The command is malformed.
    """
    if type(command) is not dict or estimate_size(command) > MAX_COMMAND_BYTES:
        raise CommandRejectedError(
            f"a command is a mapping of plain values of at most {MAX_COMMAND_BYTES} bytes"
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
    """Validates a command and converts it.

    Returns:
        The command's name, and its typed record.

    Raises:
        CommandRejectedError: The command is malformed.
    """
    name, fields = read_fields(command)
    for field, enum in FIELD_ENUMS.items():
        if field in fields:
            fields[field] = enum(fields[field])
    return name, COMMAND_TYPES[name](**fields)


def _read_name(command: dict[Any, Any]) -> CommandName:
    requested = command.get("do")
    if isinstance(requested, str):
        try:
            return CommandName(requested)
        except ValueError:
            pass  # rejected below
    raise CommandRejectedError(
        f"no command {str(requested)[:MAX_QUOTED_LENGTH]!r}; there are {', '.join(CommandName)}"
    )


def _read_field(name: CommandName, field: str, rule: FieldRule, value: Any) -> Any:
    if value is None:
        if rule.default is REQUIRED:
            raise CommandRejectedError(f"{name} needs {field}: {rule.value_rule.expected}")
        return rule.default
    if not rule.value_rule.is_valid(value):
        raise CommandRejectedError(f"{name}: {field} is not {rule.value_rule.expected}")
    return value
