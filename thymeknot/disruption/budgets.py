"""Disruption budgets: how many units may be unavailable at once, and where.

Budgets nest and hold together: a unit may be disrupted only if every budget that chooses it has
capacity. A budget states one of `most` (a number), `share` (of the units it chooses, rounded down)
or `least` (so many stay ready). With `each` it holds for every value of that label by itself:
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
# Places of all budgets together, one for each value of the label in `each`.
MAX_BUDGET_USAGES = 16_384
# Units that a sentence names; a status has them all.
MAX_UNITS_NAMED = 8
# The largest number that `most` and `least` take.
MAX_AMOUNT = 1_000_000
# Added before a share is rounded down, so that 0.1 of 30 is 3 in floating point too.
ROUNDING_TOLERANCE = 1e-9


class BudgetKind(StrEnum):
    """How a budget states its limit; the value is the key that states it."""

    MOST = "most"
    SHARE = "share"
    LEAST = "least"


@dataclass(frozen=True, slots=True)
class Budget:
    """A declared budget.

    Attributes:
        name: its name.
        selector: the units it chooses.
        each: the label for each value of which it holds by itself, or None.
        kind: how the limit is stated.
        amount: the limit: a number of units, or a fraction for a share.
    """

    name: str
    selector: Selector
    each: str | None
    kind: BudgetKind
    amount: float

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> "Budget":
        """Reads a budget out of a snapshot."""
        return cls(
            plain["name"],
            plain["where"],
            plain["each"],
            BudgetKind(plain["kind"]),
            plain["amount"],
        )

    def to_plain(self) -> dict[str, Any]:
        """The budget as a snapshot has it."""
        return {
            "name": self.name,
            "where": self.selector,
            "each": self.each,
            "kind": self.kind.value,
            "amount": self.amount,
        }


class BudgetUsage:
    """A budget at one place: how many units belong to it, which are unavailable, how many may be.

    Attributes:
        name: the budget's name, with the label's value behind a slash if the budget has `each`.
        selector: the units that belong to it.
        kind: how the limit is stated.
        amount: the limit as stated.
        size: how many units belong to it.
        allowed: how many of them may be unavailable.
        unavailable: names of those that are, in the order in which they became so.
        reserved: capacity kept for the request that waited longest: 0 or 1.
        within_limit: whether no more are unavailable than may be. False at first: no unit was seen
            yet, which is no crash and exceeds nothing.
        restored_at: agreed time from which it was within its limit.
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
        """Whether more units are unavailable than may be."""
        return len(self.unavailable) > self.allowed

    def would_exceed(self, name: str) -> bool:
        """Whether the limit is exceeded with this unit and the reserved capacity counted too."""
        unavailable = self.unavailable
        return len(unavailable) + self.reserved + (name not in unavailable) > self.allowed

    def compute_allowed(self) -> float:
        """How many of its units may be unavailable."""
        if self.kind == BudgetKind.MOST:
            return self.amount
        if self.kind == BudgetKind.SHARE:
            return int(self.amount * self.size + ROUNDING_TOLERANCE)
        return self.size - self.amount

    def describe_limit(self) -> str:
        """The limit in words."""
        if self.kind == BudgetKind.MOST:
            return f"lets {self.amount} be out"
        if self.kind == BudgetKind.SHARE:
            return f"lets {self.amount:g} of {self.size} be out"
        return f"keeps {self.amount} of {self.size} ready"


class BudgetUsages(NamedTuple):
    """The usage of all budgets.

    Attributes:
        by_name: every usage by its name.
        by_unit: by unit's name the usages it belongs to, in the order of the budgets.
    """

    by_name: dict[str, BudgetUsage]
    by_unit: dict[str, list[BudgetUsage]]


def parse_budget(given: Any) -> Budget:
    """Reads a declared budget.

    Raises:
        CommandRejectedError: the budget is malformed; the sentence names it.
    """
    name = given.get("name") if isinstance(given, dict) else None
    if not isinstance(name, str) or not is_valid_name(name):
        raise CommandRejectedError("a budget is a mapping with a name")
    kinds = [kind for kind in BudgetKind if kind in given]
    if len(kinds) != 1 or set(given) - {"name", "where", "each", *kinds}:
        raise CommandRejectedError(
            f"budget {name} needs exactly one of {', '.join(BudgetKind)}, "
            "and may have where and each",
            [name],
        )
    kind = kinds[0]
    amount = given[kind]
    each = given.get("each")
    _check_amount(name, kind, amount)
    if each is not None and each not in LABEL_NAMES:
        raise CommandRejectedError(
            f"budget {name}: each is one of {', '.join(LABEL_NAMES)}", [name]
        )
    return Budget(name, parse_selector(given.get("where", {})), each, kind, amount)


def _check_amount(name: str, kind: BudgetKind, amount: object) -> None:
    if kind == BudgetKind.SHARE:
        # A whole number is most often a percentage that was meant: 10 would be ten times all.
        if not isinstance(amount, float) or not 0 < amount < 1:
            raise CommandRejectedError(
                f"budget {name}: a share is a fraction over 0 and under 1", [name]
            )
    elif isinstance(amount, bool) or not isinstance(amount, int) or not 0 <= amount <= MAX_AMOUNT:
        raise CommandRejectedError(f"budget {name}: {kind} is a whole number", [name])


def build_usages(budgets: list[Budget], units: dict[str, Labels]) -> BudgetUsages:
    """Makes the usages of all budgets over units, given as labels by name; nobody is unavailable.

    Raises:
        CommandRejectedError: a budget chooses no unit, there are too many places, or a budget
            would never let a unit be disrupted, so that a release would wait for it for ever.
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
    """Adds the places of one budget and enters the units that belong to them."""
    found = False
    for name in sorted(units):
        labels = units[name]
        if not matches(budget.selector, labels) or (budget.each and budget.each not in labels):
            continue
        found = True
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
    if not found:
        raise CommandRejectedError(
            f"budget {budget.name} chooses no unit: {describe_selector(budget.selector)}",
            [budget.name],
        )
