"""The units and budgets of a simulated fleet."""

from typing import Any, NamedTuple

from .budgets import ROUNDING_TOLERANCE
from .invariant_checker import BudgetGroup
from .targets import Labels, UnitKind

# Number of units of a rack and of a zone that may be unavailable.
MAX_UNAVAILABLE_PER_RACK = 1
MAX_UNAVAILABLE_PER_ZONE = 3
# Share of the units of each kind that may be unavailable.
MAX_UNAVAILABLE_SHARE_PER_KIND = 0.2


class FleetLayout(NamedTuple):
    """The units and budgets of a simulated fleet.

    Attributes:
        units: Labels of the units, by name.
        budgets: The budgets, in the form of a declaration.
        groups: The same budgets, in the form that the invariant checker uses.
    """

    units: dict[str, Labels]
    budgets: list[dict[str, Any]]
    groups: list[BudgetGroup]


def make_layout(zones: int = 3, racks: int = 4, units_per_rack: int = 5) -> FleetLayout:
    """Returns a fleet of `zones` zones with `racks` racks each and `units_per_rack` units per rack.

    One unit of each rack may be unavailable, three of each zone, and a fifth of each kind.
    """
    units = {}
    for number in range(zones * racks * units_per_rack):
        zone = number % zones
        rack = number // zones % racks
        units[f"unit-{number:03}"] = {
            "kind": (UnitKind.POD if number % 2 else UnitKind.SIDECAR).value,
            "zone": f"z{zone}",
            "rack": f"z{zone}r{rack}",
            "cluster": "east",
            "lane": "pay",
        }
    groups = []
    for label, limit in (("rack", MAX_UNAVAILABLE_PER_RACK), ("zone", MAX_UNAVAILABLE_PER_ZONE)):
        for value in sorted({labels[label] for labels in units.values()}):
            names = {name for name, labels in units.items() if labels[label] == value}
            groups.append(BudgetGroup(f"{label} {value}", names, limit))
    for kind in (UnitKind.POD, UnitKind.SIDECAR):
        names = {name for name, labels in units.items() if labels["kind"] == kind}
        limit = int(len(names) * MAX_UNAVAILABLE_SHARE_PER_KIND + ROUNDING_TOLERANCE)
        groups.append(BudgetGroup(kind.value, names, limit))
    budgets: list[dict[str, Any]] = [
        {"name": "racks", "each": "rack", "most": MAX_UNAVAILABLE_PER_RACK},
        {"name": "zones", "each": "zone", "most": MAX_UNAVAILABLE_PER_ZONE},
        {"name": "kinds", "each": "kind", "share": MAX_UNAVAILABLE_SHARE_PER_KIND},
    ]
    return FleetLayout(units, budgets, groups)
