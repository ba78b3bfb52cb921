"""Grants requests for permits.

Rollbacks are considered first, then requests by age, to which each degree of urgency adds `step`.
Urgency is bounded, so age decides in the end.

Capacity is reserved in all budgets of a request that has waited for at least `patience` and does
not fit, provided that the units in its way are expected to return. Otherwise a unit whose rack and
cluster are never free at the same time would starve while younger requests overtake it. At most one
unit of capacity per budget is reserved, and none for a request that can't be granted: a crashed
rack must not block a cluster.
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
        sentence: The reason as a sentence.
        by: Names of the blocking budgets, then of the unavailable units in them.
    """

    sentence: str
    by: list[str]


def order_requests(requesting: Iterable[Unit], urgency_step: Ticks) -> list[Unit]:
    """Returns the units that requested a permit in the order in which they are considered."""

    def rank(unit: Unit) -> tuple[bool, Ticks, str]:
        request = unit.granted_request
        return (
            not request.rollback,
            request.requested_at - request.urgency * urgency_step,
            unit.name,
        )

    return sorted(requesting, key=rank)


def find_blocking_budgets(fleet: Fleet, unit: Unit) -> list[BudgetUsage]:
    """Returns the budgets that have no capacity for a unit, ordered by name.

    A unit that is known not to serve needs no capacity: otherwise the rollback of a crashing build
    would wait for the very units that it repairs.
    """
    if unit.is_reported_unavailable(fleet.at, fleet.settings.silent):
        return []
    blocking = (usage for usage in unit.usages if usage.would_exceed(unit.name))
    return sorted(blocking, key=lambda usage: usage.name)


def will_free_capacity(fleet: Fleet, usage: BudgetUsage) -> bool:
    """Returns whether enough capacity for a grant will be freed.

    Unavailable units that hold permits are expected to return.
    """
    settings = fleet.settings
    at = fleet.at
    expected = 0
    for name in usage.unavailable:
        unit = fleet.units[name]
        limit = settings.home if unit.state == PermitState.RETURNING else settings.hold
        expected += (
            unit.state in PERMITTED_STATES
            and not unit.fault
            and at - unit.state_entered_at <= limit
        )
    return expected >= len(usage.unavailable) + 1 - usage.allowed


def grant_permits(fleet: Fleet, explain_hold: Callable[[Unit], str | None]) -> None:
    """Grants every request that fits into its budgets.

    Args:
        fleet: The units and budgets.
        explain_hold: Returns the description of a halt that holds a unit's request, or None.
    """
    for usage in fleet.usages.values():
        usage.reserved = 0
    for unit in order_requests(list(fleet.requesting.values()), fleet.settings.step):
        if explain_hold(unit):
            continue
        blocking = find_blocking_budgets(fleet, unit)
        if not blocking:
            fleet.transition(unit, PermitInput.GRANTED)
        elif fleet.at - unit.granted_request.requested_at >= fleet.settings.patience and all(
            will_free_capacity(fleet, usage)
            for usage in blocking
            if len(usage.unavailable) >= usage.allowed
        ):
            for usage in unit.usages:
                usage.reserved = 1
    fleet.capacity_freed = False


def explain_blocked(fleet: Fleet, unit: Unit) -> str | None:
    """Returns why waiting can't get a unit its permit, as a sentence; None if it can."""
    for usage in find_blocking_budgets(fleet, unit):
        if len(usage.unavailable) >= usage.allowed and not will_free_capacity(fleet, usage):
            return describe_usage(fleet, usage)
    return None


def describe_usage(fleet: Fleet, usage: BudgetUsage) -> str:
    """Describes a budget and the units that are unavailable in it, as a sentence."""
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
    """Returns why a unit's request was not granted."""
    blocking = find_blocking_budgets(fleet, unit)
    if not blocking:
        return WaitReason("others that waited longer go first", [])
    units = sorted({name for usage in blocking for name in usage.unavailable})
    sentence = "; ".join(describe_usage(fleet, usage) for usage in blocking)
    return WaitReason(sentence, [usage.name for usage in blocking] + units)
