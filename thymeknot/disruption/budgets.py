"""Disruption budgets: how many of the selected units may be unavailable at once.

Budgets may overlap: a unit may be disrupted only if every budget that selects it has capacity. A
budget has exactly one of `most` (units that may be unavailable), `share` (the fraction of the
selected units that may be unavailable, rounded down) and `least` (units that must stay ready). With
`each`, the limit applies separately to each value of that label:
`{"name": "racks", "each": "rack", "most": 1}`.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from ..interface.clock import Ticks
from .targets import (
    LABEL_NAMES,
    CommandRejectedError,
    Labels,
    Selector,
    describe_selector,
    is_valid_name,
    matches,
    parse_selector,
)

MAX_BUDGETS = 64
# Maximum usages of all budgets together; a budget with `each` has one per value of the label.
MAX_BUDGET_USAGES = 16_384
# Maximum units that a sentence names; a status reply lists them.
MAX_UNITS_NAMED = 8
# Maximum value of `most` and `least`.
MAX_UNIT_COUNT = 1_000_000
# Added before a share is rounded down, so that floating-point error cannot turn 0.1 of 30 into 2.
ROUNDING_TOLERANCE = 1e-9


class BudgetKind(StrEnum):
    """The kind of limit that a budget has; the value is its key in the declaration."""

    MOST = "most"
    SHARE = "share"
    LEAST = "least"


@dataclass(frozen=True, slots=True)
class Budget:
    """A declared budget.

    Attributes:
        name: The budget's name.
        selector: The units that it covers.
        each: The label to whose values the limit applies separately, or None.
        kind: The kind of limit.
        amount: The limit: a fraction for SHARE, otherwise a number of units.
    """

    name: str
    selector: Selector
    each: str | None
    kind: BudgetKind
    amount: float

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> "Budget":
        """Decodes a budget from a snapshot."""
        return cls(
            plain["name"],
            plain["where"],
            plain["each"],
            BudgetKind(plain["kind"]),
            plain["amount"],
        )

    def to_plain(self) -> dict[str, Any]:
        """Encodes the budget for a snapshot."""
        return {
            "name": self.name,
            "where": self.selector,
            "each": self.each,
            "kind": self.kind.value,
            "amount": self.amount,
        }


class BudgetUsage:
    """The usage of a budget, or of a budget with `each` for one value of the label.

    Attributes:
        name: The budget's name, followed by a slash and the label's value if the budget has `each`.
        selector: The units that it covers.
        kind: The kind of limit.
        amount: The limit as declared.
        size: The number of units that it covers.
        allowed: How many of them may be unavailable.
        unavailable: Names of the unavailable units, in the order in which they became unavailable.
        reserved: Capacity reserved for the request that has waited longest: 0 or 1.
        within_limit: Whether at most `allowed` units are unavailable. Initially False: units that
            were never reported count as unavailable, but must not be taken for a crash.
        restored_at: Agreed time since which the usage is within its limit.
    """

    __slots__ = (
        "allowed",
        "amount",
        "kind",
        "name",
        "reserved",
        "restored_at",
        "selector",
        "size",
        "unavailable",
        "within_limit",
    )

    def __init__(self, name: str, selector: Selector, kind: BudgetKind, amount: float) -> None:
        self.name = name
        self.selector = selector
        self.kind = kind
        self.amount = amount
        self.size = 0
        self.allowed: float = 0
        self.unavailable: dict[str, bool] = {}
        self.reserved = 0
        self.within_limit = False
        self.restored_at: Ticks = 0

    def is_exceeded(self) -> bool:
        """Returns whether more than `allowed` units are unavailable."""
        return len(self.unavailable) > self.allowed

    def would_exceed(self, name: str) -> bool:
        """Returns whether disrupting this unit would exceed the limit, with reserved capacity."""
        unavailable = self.unavailable
        return len(unavailable) + self.reserved + (name not in unavailable) > self.allowed

    def compute_allowed(self) -> float:
        """Computes how many of the covered units may be unavailable."""
        if self.kind == BudgetKind.MOST:
            return self.amount
        if self.kind == BudgetKind.SHARE:
            return int(self.amount * self.size + ROUNDING_TOLERANCE)
        return self.size - self.amount

    def describe_limit(self) -> str:
        """Describes the limit as a verb phrase for a sentence about the budget."""
        if self.kind == BudgetKind.MOST:
            return f"lets {self.amount} be out"
        if self.kind == BudgetKind.SHARE:
            return f"lets {self.amount:g} of {self.size} be out"
        return f"keeps {self.amount} of {self.size} ready"


class BudgetUsages(NamedTuple):
    """The usages of all budgets.

    Attributes:
        by_name: All usages by name.
        by_unit: For each unit's name, the usages that cover it, in the order of the budgets.
    """

    by_name: dict[str, BudgetUsage]
    by_unit: dict[str, list[BudgetUsage]]


def parse_budget(declared: Any) -> Budget:
    """Parses a declared budget.

    Raises:
        CommandRejectedError: The budget is malformed; the sentence names the budget.
    """
    name = declared.get("name") if isinstance(declared, dict) else None
    if not isinstance(name, str) or not is_valid_name(name):
        raise CommandRejectedError("a budget is a mapping with a name")
    limit_kinds = [kind for kind in BudgetKind if kind in declared]
    if len(limit_kinds) != 1 or set(declared) - {"name", "where", "each", *limit_kinds}:
        raise CommandRejectedError(
            f"budget {name} needs exactly one of {', '.join(BudgetKind)}, "
            "and may have where and each",
            [name],
        )
    kind = limit_kinds[0]
    amount = declared[kind]
    each = declared.get("each")
    _check_amount(name, kind, amount)
    if each is not None and each not in LABEL_NAMES:
        raise CommandRejectedError(
            f"budget {name}: each is one of {', '.join(LABEL_NAMES)}", [name]
        )
    return Budget(name, parse_selector(declared.get("where", {})), each, kind, amount)


def _check_amount(name: str, kind: BudgetKind, amount: object) -> None:
    if kind == BudgetKind.SHARE:
        # An integer is most likely meant as a percentage; as a share, 10 would be ten times all
        # units.
        if not isinstance(amount, float) or not 0 < amount < 1:
            raise CommandRejectedError(
                f"budget {name}: a share is a fraction over 0 and under 1", [name]
            )
    elif (
        isinstance(amount, bool) or not isinstance(amount, int) or not 0 <= amount <= MAX_UNIT_COUNT
    ):
        raise CommandRejectedError(f"budget {name}: {kind} is a whole number", [name])


def build_usages(budgets: list[Budget], units: dict[str, Labels]) -> BudgetUsages:
    """Creates the usages of all budgets; all units count as available.

    Args:
        budgets: The budgets.
        units: Labels by unit name.

    Raises:
        CommandRejectedError: A budget selects no unit, there are too many usages, or a budget
            never allows a disruption, so that a release would wait for it forever.
    """
    usages = BudgetUsages({}, {name: [] for name in units})
    for budget in budgets:
        _add_usages(budget, units, usages)
    if len(usages.by_name) > MAX_BUDGET_USAGES:
        raise CommandRejectedError(
            f"the budgets make {len(usages.by_name)} places of their own; "
            f"at most {MAX_BUDGET_USAGES}"
        )
    for usage in usages.by_name.values():
        usage.allowed = usage.compute_allowed()
        if usage.allowed < 1:
            raise CommandRejectedError(
                f"budget {usage.name} is impossible: it {usage.describe_limit()}, and it has "
                f"{usage.size}, so nobody could ever go out; to stop all, halt",
                [usage.name],
            )
    return usages


def _add_usages(budget: Budget, units: dict[str, Labels], usages: BudgetUsages) -> None:
    """Adds the usages of one budget and assigns the units that they cover."""
    matched = False
    for name in sorted(units):
        labels = units[name]
        if not matches(budget.selector, labels) or (budget.each and budget.each not in labels):
            continue
        matched = True
        selector = budget.selector
        usage_name = budget.name
        if budget.each:
            value = labels[budget.each]
            selector = [*selector, [budget.each, [value]]]
            usage_name = f"{usage_name}/{value}"
        usage = usages.by_name.setdefault(
            usage_name, BudgetUsage(usage_name, selector, budget.kind, budget.amount)
        )
        usage.size += 1
        usages.by_unit[name].append(usage)
    if not matched:
        raise CommandRejectedError(
            f"budget {budget.name} chooses no unit: {describe_selector(budget.selector)}",
            [budget.name],
        )
