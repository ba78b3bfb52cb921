"""The status of units, budgets, halts and releases, as replies report it. Changes nothing."""

from collections.abc import Callable
from typing import Any

from ..interface.clock import TICKS_PER_SECOND
from .fleet import Fleet
from .halts import Halts
from .permits import PERMITTED_STATES, PermitState, Unit
from .release import Release
from .replies import ORDER_BY_STATE, Order, StatusReply, UnitDetails, encode_fields
from .rollouts import Rollouts
from .scheduler import explain_wait
from .targets import Selector, matches

# Units, budgets and set-aside units that one status lists at most, each.
MAX_ENTRIES_SHOWN = 512
# Ticks until a unit that waits for a permit should retry its request.
PERMIT_RETRY_TICKS = TICKS_PER_SECOND


def make_order(fleet: Fleet, unit: Unit) -> Order:
    """Returns the order to the agent of a unit that has a permit."""
    request = unit.granted_request
    return Order(
        do=ORDER_BY_STATE[unit.state],
        fence=unit.fencing_token,
        plan=request.plan,
        epoch=request.epoch,
        left=max(0, unit.permit_until - fleet.at),
        build=request.build,
    )


def describe_unit(
    fleet: Fleet, unit: Unit, explain_hold: Callable[[Unit], str | None]
) -> UnitDetails:
    """Returns the current state of a unit.

    Args:
        fleet: The fleet that the unit belongs to.
        unit: The unit.
        explain_hold: Returns the description of a halt that holds a unit's request, or None.
    """
    silent = fleet.settings.silent
    is_ready = unit.is_ready(fleet.at, silent)
    waits: str | None = None
    blockers: list[str] | None = None
    if unit.state == PermitState.REQUESTED:
        blockers = []
        waits = explain_hold(unit)
        if not waits:
            waits, blockers = explain_wait(fleet, unit)
    has_permit = unit.state in PERMITTED_STATES
    return UnitDetails(
        state=unit.state.value,
        ready=is_ready,
        build=unit.build,
        order=make_order(fleet, unit).to_plain() if has_permit else None,
        out=None if is_ready else unit.describe_unavailability(fleet.at, silent),
        fault=unit.fault or None,
        waits=waits,
        by=blockers,
        again=None if blockers is None else PERMIT_RETRY_TICKS,
    )


def report_status(
    fleet: Fleet,
    halts: Halts,
    rollouts: Rollouts,
    selector: Selector,
    explain_hold: Callable[[Unit], str | None],
) -> StatusReply:
    """Returns the status of budgets, halts, releases and the units that a selector matches."""
    silent = fleet.settings.silent
    units = [unit for _, unit in sorted(fleet.units.items()) if matches(selector, unit.labels)]
    listed = [unit for unit in units if unit.request or not unit.is_ready(fleet.at, silent)]
    return StatusReply(
        terms=fleet.settings.to_plain(),
        units=len(units),
        out=sum(not unit.is_ready(fleet.at, silent) for unit in units),
        more=max(0, len(listed) - MAX_ENTRIES_SHOWN),
        away={
            unit.name: encode_fields(describe_unit(fleet, unit, explain_hold))
            for unit in listed[:MAX_ENTRIES_SHOWN]
        },
        budgets={
            name: {
                "allowed": usage.allowed,
                "out": len(usage.unavailable),
                "said": usage.describe_limit(),
            }
            for name, usage in sorted(fleet.usages.items())[:MAX_ENTRIES_SHOWN]
        },
        halts={str(number): halt.describe() for number, halt in sorted(halts.by_number.items())},
        releases={
            name: _describe_release(fleet, rollouts, release)
            for name, release in sorted(rollouts.by_name.items())
        },
    )


def _describe_release(fleet: Fleet, rollouts: Rollouts, release: Release) -> dict[str, Any]:
    return {
        "state": release.state.value,
        "epoch": release.epoch,
        "wave": release.wave,
        "waves": len(release.waves),
        "voted": release.approved_waves,
        "aside": dict(sorted(release.set_aside.items())[:MAX_ENTRIES_SHOWN]),
        "home": sum(
            unit.build == release.build and unit.is_ready(fleet.at, fleet.settings.silent)
            for unit in rollouts.get_units(release)
        ),
        "units": len(release.members),
    }
