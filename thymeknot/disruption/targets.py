"""Units' labels, selectors over them, and the settings of disruption control.

A unit is a sidecar or a pod. Its labels say where it runs and what it serves; budgets, halts and
releases select units by them. A selector maps labels to a value or a list of values; an empty one
matches all units.
"""

from collections.abc import Iterable
from dataclasses import asdict, dataclass, fields
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ..interface.clock import Ticks

Labels: TypeAlias = dict[str, str]
"""The labels of a unit: values by label name, ordered as in LABEL_NAMES."""

Selector: TypeAlias = list[list[Any]]
"""The stored form of a selector: sorted pairs `[label, sorted values]`, all of which must match."""

LABEL_NAMES = ("kind", "rack", "zone", "cluster", "lane", "service")
# In characters. Names are kept in the log forever, so they must be short.
MAX_NAME_LENGTH = 128


class UnitKind(StrEnum):
    """The kind of a unit: the value of its label `kind`."""

    SIDECAR = "sidecar"
    POD = "pod"


class CommandRejectedError(Exception):
    """A command was rejected, and changed nothing beyond the effects of the passage of time.

    Attributes:
        reason: Why it was rejected, as a sentence.
        by: Names of the units, budgets, plans or releases that are in the way.
        retry_after: Ticks until a retry makes sense; 0 if it never does.
    """

    def __init__(self, reason: str, by: Iterable[str] = (), retry_after: Ticks = 0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.by = list(by)
        self.retry_after = retry_after


class SettingRange(NamedTuple):
    """The default of a setting and its inclusive minimum and maximum."""

    default: int
    minimum: int
    maximum: int


# By setting name, in the order in which settings are stored. In ticks, except `drift`.
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
    """Settings for all units. The field names are the keys of a declaration's `terms`.

    Attributes:
        bound: Ticks without a reply after which an agent begins no disruption.
        silent: Ticks without a ready report after which a unit counts as unavailable.
        permit: Ticks after which an unused permit lapses.
        patience: Ticks of waiting after which budget capacity is reserved for a request.
        step: Ticks of age that each degree of urgency adds to a request.
        home: Ticks after which a returning unit is overdue.
        hold: Ticks after which a draining or drained unit is overdue.
        rest: Ticks for which a budget must be within its limit before its halt ends.
        drift: Maximum rate error of a monotonic clock, in thousandths.
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
        """Restores stored settings; unknown keys are ignored, missing ones get their default."""
        known = {field.name for field in fields(cls)}
        return cls(**{name: value for name, value in plain.items() if name in known})

    def to_plain(self) -> dict[str, int]:
        """Returns the settings in the form in which they are stored and sent."""
        return asdict(self)

    def halt_bound(self) -> Ticks:
        """Returns the ticks after a halt until no agent can begin, even with the slowest clock."""
        return self.bound + self.bound * self.drift // 1000 + 1


def is_valid_name(value: object) -> bool:
    """Returns whether a value may be the name of a unit, budget, plan, release or build."""
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH and value.isprintable()


def parse_labels(name: object, given: Any) -> Labels:
    """Checks the name and labels of a unit, and returns the labels in the order of LABEL_NAMES.

    Raises:
        CommandRejectedError: The name, a label or a value is invalid, or the kind is unknown.
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
    """Checks a selector and returns it in its stored form.

    Raises:
        CommandRejectedError: It is not a mapping, or a label is unknown or has no valid values.
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
    """Returns whether a selector in its stored form matches a unit with these labels."""
    return all(labels.get(label) in values for label, values in selector)


def describe_selector(selector: Selector) -> str:
    """Describes a selector in its stored form, for use in a sentence."""
    return " and ".join(f"{label} {'|'.join(values)}" for label, values in selector) or "all"
