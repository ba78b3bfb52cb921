"""Which requests for permits are granted.

The order is rollbacks first, then age, to which each degree of urgency adds `step`: urgency is
bounded, so age wins in the end. For a request that has waited longer than `patience` and does not
fit, while the units in its way are returning, capacity is reserved in all its budgets: else a unit
whose rack is busy when its cluster is not, and the other way round, would starve while younger
requests slip past. At most one place of each budget is reserved, and none for a grant that can't
come: a crashed rack must not stop a cluster.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..interface.clock import Ticks
from .budgets import MAX_UNITS_NAMED, BudgetUsage
from .fleet import Fleet
from .permits import PERMITTED_STATES, PermitInput, PermitState, Unit


class WaitReason(NamedTuple):
    """Why a request was not granted.

    Attributes:
        sentence: the reason in words.
        by: names of the budgets, then of the units in the way.
    """

    sentence: str
    by: list[str]


def order_requests(requesting: Iterable[Unit], urgency_step: Ticks) -> list[Unit]:
    """Units that requested a permit, in the order in which they are considered."""

    def rank(unit: Unit) -> tuple[bool, Ticks, str]:
        request = unit.granted_request
        return (not request.rollback, request.at - request.urgency * urgency_step, unit.name)

    return sorted(requesting, key=rank)


def find_blocking_budgets(fleet: Fleet, unit: Unit) -> list[BudgetUsage]:
    """The budgets that have no capacity for a unit, by name.

    A unit that is known not to serve takes no capacity: the rollback of a build that crashes must
    not wait for itself.
    """
    if unit.is_idle(fleet.at, fleet.settings.silent):
        return []
    blocking = (usage for usage in unit.usages if usage.would_exceed(unit.name))
    return sorted(blocking, key=lambda usage: usage.name)


def will_free_capacity(fleet: Fleet, usage: BudgetUsage) -> bool:
    """Whether enough of the unavailable units have permits, and so can be expected to return."""
    settings = fleet.settings
    at = fleet.at
    expected = 0
    for name in usage.unavailable:
        unit = fleet.units[name]
        limit = settings.home if unit.state == PermitState.RETURNING else settings.hold
        expected += unit.state in PERMITTED_STATES and not unit.fault and at - unit.since <= limit
    return expected >= len(usage.unavailable) + 1 - usage.allowed


def grant_permits(fleet: Fleet, explain_hold: Callable[[Unit], str | None]) -> None:
    """Grants every request that fits.

    Args:
        fleet: the units and budgets.
        explain_hold: gives the sentence of a halt that holds a unit's request, or None.
    """
    for usage in fleet.usages.values():
        usage.reserved = 0
    for unit in order_requests(list(fleet.requesting.values()), fleet.settings.step):
        if explain_hold(unit):
            continue
        blocking = find_blocking_budgets(fleet, unit)
        if not blocking:
            fleet.transition(unit, PermitInput.GRANTED)
        elif fleet.at - unit.granted_request.at >= fleet.settings.patience and all(
            will_free_capacity(fleet, usage)
            for usage in blocking
            if len(usage.unavailable) >= usage.allowed
        ):
            for usage in unit.usages:
                usage.reserved = 1
    fleet.capacity_freed = False


def explain_blocked(fleet: Fleet, unit: Unit) -> str | None:
    """Why a unit's grant can't come whatever is waited for, in a sentence; None if it can."""
    for usage in find_blocking_budgets(fleet, unit):
        if len(usage.unavailable) >= usage.allowed and not will_free_capacity(fleet, usage):
            return describe_usage(fleet, usage)
    return None


def describe_usage(fleet: Fleet, usage: BudgetUsage) -> str:
    """A sentence that names a budget and the units that are unavailable in it."""
    names = sorted(usage.unavailable)
    units = ", ".join(
        f"{name} ({fleet.units[name].describe_unavailability(fleet.at, fleet.settings.silent)})"
        for name in names[:MAX_UNITS_NAMED]
    )
    more = f" and {len(names) - MAX_UNITS_NAMED} more" if len(names) > MAX_UNITS_NAMED else ""
    reserved = " and one place is kept for who waits longest" if usage.reserved else ""
    return (
        f"budget {usage.name} {usage.describe_limit()}, {len(names)} are: {units}{more}{reserved}"
    )


def explain_wait(fleet: Fleet, unit: Unit) -> WaitReason:
    """Why a unit's request was not granted."""
    blocking = find_blocking_budgets(fleet, unit)
    if not blocking:
        return WaitReason("others that waited longer go first", [])
    units = sorted({name for usage in blocking for name in usage.unavailable})
    sentence = "; ".join(describe_usage(fleet, usage) for usage in blocking)
    return WaitReason(sentence, [usage.name for usage in blocking] + units)
