"""Units, their labels, selectors over them, and the settings of the disruption budgets.

A unit is a sidecar or a pod. Its labels say where it stands and what it serves; budgets, halts and
releases choose by them. A selector is a mapping of a label to a value or a list of values; an empty
one matches all units.
"""

from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ..interface.clock import Ticks

Labels: TypeAlias = dict[str, str]
"""The labels of a unit: values by label name, in the order of LABEL_NAMES."""

Selector: TypeAlias = list[list[Any]]
"""A selector as it is stored: sorted pairs `[label, sorted values]`; all pairs must match."""

LABEL_NAMES = ("kind", "rack", "zone", "cluster", "lane", "service")
# Characters of a name. The log keeps names for ever, so they must stay short.
MAX_NAME_LENGTH = 128


class UnitKind(StrEnum):
    """What a unit is; the value of its label `kind`."""

    SIDECAR = "sidecar"
    POD = "pod"


class CommandRejectedError(Exception):
    """A command was rejected and has changed nothing but what time changes.

    Attributes:
        reason: why it was rejected.
        by: names of the units, budgets, plans or releases that stand in the way.
        retry_after: ticks after which a retry makes sense; 0 if none does.
    """

    def __init__(self, reason: str, by: Iterable[str] = (), retry_after: Ticks = 0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.by = list(by)
        self.retry_after = retry_after


class SettingRange(NamedTuple):
    """The default of a setting and its inclusive limits."""

    default: int
    minimum: int
    maximum: int


# By name of the setting, in the order in which settings are stored.
SETTING_RANGES = {
    "bound": SettingRange(20_000, 1_000, 600_000),
    "silent": SettingRange(60_000, 1_000, 6_000_000),
    "permit": SettingRange(100_000, 1_000, 6_000_000),
    "patience": SettingRange(300_000, 0, 36_000_000),
    "step": SettingRange(600_000, 0, 36_000_000),
    "home": SettingRange(600_000, 1_000, 36_000_000),
    "hold": SettingRange(6_000_000, 10_000, 864_000_000),
    "rest": SettingRange(100_000, 0, 36_000_000),
    "drift": SettingRange(10, 0, 100),
}


@dataclass(frozen=True, slots=True)
class DisruptionSettings:
    """What an operator sets for all units; field names are the keys of a declaration's `terms`.

    Attributes:
        bound: ticks without an answer after which an agent begins no disruption.
        silent: ticks without a ready report after which a unit counts as unavailable.
        permit: ticks after which a permit that was not begun expires.
        patience: ticks of waiting after which budget capacity is reserved for a request.
        step: ticks of age that one degree of urgency is worth.
        home: ticks after which a returning unit is named as overdue.
        hold: ticks after which an unavailable unit is named as overdue.
        rest: ticks for which a budget must be within its limit before its halt ends.
        drift: thousandths by which a monotonic clock may be wrong.
    """

    bound: Ticks = SETTING_RANGES["bound"].default
    silent: Ticks = SETTING_RANGES["silent"].default
    permit: Ticks = SETTING_RANGES["permit"].default
    patience: Ticks = SETTING_RANGES["patience"].default
    step: Ticks = SETTING_RANGES["step"].default
    home: Ticks = SETTING_RANGES["home"].default
    hold: Ticks = SETTING_RANGES["hold"].default
    rest: Ticks = SETTING_RANGES["rest"].default
    drift: int = SETTING_RANGES["drift"].default

    @classmethod
    def from_plain(cls, plain: dict[str, int]) -> "DisruptionSettings":
        """Reads stored settings; unknown keys are ignored and missing ones have their default."""
        known = {field.name for field in fields(cls)}
        return cls(**{name: value for name, value in plain.items() if name in known})

    def to_plain(self) -> dict[str, int]:
        """The settings as they are stored and replied."""
        return asdict(self)

    def halt_bound(self) -> Ticks:
        """Ticks after a halt from which nothing begins, by the slowest clock the drift allows."""
        return self.bound + self.bound * self.drift // 1000 + 1


def is_valid_name(value: object) -> bool:
    """Whether a value may be the name of a unit, budget, plan, release or build."""
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH and value.isprintable()


def parse_labels(name: object, given: Any) -> Labels:
    """Checks the labels of the unit `name` and gives them in the order of LABEL_NAMES.

    Raises:
        CommandRejectedError: the name or a label is none, or the kind is unknown.
    """
    if not is_valid_name(name):
        raise CommandRejectedError(f"a unit's name is 1 to {MAX_NAME_LENGTH} printable characters")
    if not isinstance(given, dict) or any(
        label not in LABEL_NAMES or not is_valid_name(value) for label, value in given.items()
    ):
        raise CommandRejectedError(
            f"unit {name} has a label that is unknown or no name; there are "
            f"{', '.join(LABEL_NAMES)}",
            [str(name)],
        )
    if given.get("kind") not in tuple(UnitKind):
        raise CommandRejectedError(f"unit {name} is neither of sidecar and pod", [str(name)])
    return {label: given[label] for label in LABEL_NAMES if label in given}


def parse_selector(given: Any) -> Selector:
    """Checks a selector and gives it as it is stored.

    Raises:
        CommandRejectedError: it is no mapping, or a label is unknown or has no values.
    """
    if not isinstance(given, dict):
        raise CommandRejectedError(
            "a selector is a mapping of labels to a value or a list of values"
        )
    pairs = []
    for label, value_or_values in given.items():
        values = [value_or_values] if isinstance(value_or_values, str) else value_or_values
        if (
            label not in LABEL_NAMES
            or not isinstance(values, list)
            or not values
            or not all(map(is_valid_name, values))
        ):
            raise CommandRejectedError(
                f"a selector has {str(label)[:MAX_NAME_LENGTH]!r} that is no label, "
                "or no values for it"
            )
        pairs.append([label, sorted(set(values))])
    return sorted(pairs)


def matches(selector: Selector, labels: Labels) -> bool:
    """Whether a stored selector chooses a unit with these labels."""
    return all(labels.get(label) in values for label, values in selector)


def describe_selector(selector: Selector) -> str:
    """A stored selector in words."""
    return " and ".join(f"{label} {'|'.join(values)}" for label, values in selector) or "all"
