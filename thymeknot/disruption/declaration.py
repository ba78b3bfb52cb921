"""Merges a declaration with the current units, budgets and settings, without changing them."""

from typing import Any, NamedTuple

from .budgets import MAX_BUDGETS, Budget, parse_budget
from .command_reader import MAX_QUOTED_LENGTH, is_non_negative_integer
from .commands import DeclareCommand
from .fleet import Fleet
from .permits import PERMITTED_STATES
from .targets import (
    SETTING_RANGES,
    CommandRejectedError,
    DisruptionSettings,
    Labels,
    SettingRange,
    is_valid_name,
    parse_labels,
)

MAX_UNITS = 65_536
# An empty range, so that an unknown setting is rejected like a value out of range.
UNKNOWN_SETTING_RANGE = SettingRange(0, 1, 0)


class Declaration(NamedTuple):
    """The complete state that a declaration results in.

    Attributes:
        units: Labels of all units, by name.
        budgets: All budgets.
        settings: All settings.
    """

    units: dict[str, Labels]
    budgets: list[Budget]
    settings: DisruptionSettings


def read_declaration(fleet: Fleet, command: DeclareCommand) -> Declaration:
    """Applies a declaration to copies of the fleet's units, budgets and settings.

    Raises:
        CommandRejectedError: A field is malformed, or changes a unit that has a permit.
    """
    units = {name: unit.labels for name, unit in fleet.units.items()}
    for name, declared in (command.units or {}).items():
        labels = parse_labels(name, declared)
        if name in units and units[name] != labels and fleet.units[name].state in PERMITTED_STATES:
            raise CommandRejectedError(
                f"unit {name} is {fleet.units[name].state}: it can't be moved meanwhile", [name]
            )
        units[name] = labels
    for name in command.gone or []:
        _remove_unit(fleet, units, name)
    if len(units) > MAX_UNITS:
        raise CommandRejectedError(f"more than {MAX_UNITS} units")
    budgets = fleet.budgets
    if command.budgets is not None:
        budgets = [parse_budget(declared) for declared in command.budgets]
    if len({budget.name for budget in budgets}) < len(budgets) or len(budgets) > MAX_BUDGETS:
        raise CommandRejectedError(
            f"budgets have names of their own, and are at most {MAX_BUDGETS}"
        )
    return Declaration(units, budgets, _read_settings(fleet.settings, command.terms or {}))


def _remove_unit(fleet: Fleet, units: dict[str, Labels], name: Any) -> None:
    if not is_valid_name(name) or name not in units:
        raise CommandRejectedError(f"no unit {str(name)[:MAX_QUOTED_LENGTH]} was declared")
    if name in fleet.units and fleet.units[name].state in PERMITTED_STATES:
        raise CommandRejectedError(
            f"unit {name} is {fleet.units[name].state}: it can't be taken away meanwhile", [name]
        )
    del units[name]


def _read_settings(current: DisruptionSettings, declared: dict[str, Any]) -> DisruptionSettings:
    settings = current.to_plain()
    for name, value in declared.items():
        _, minimum, maximum = SETTING_RANGES.get(name, UNKNOWN_SETTING_RANGE)
        if not is_non_negative_integer(value) or not minimum <= value <= maximum:
            raise CommandRejectedError(
                f"term {str(name)[:MAX_QUOTED_LENGTH]} is unknown, or not a whole number of "
                f"{minimum} to {maximum}"
            )
        settings[name] = value
    if settings["permit"] < settings["bound"] or settings["silent"] < settings["bound"]:
        raise CommandRejectedError(
            "permits and silence last at least for the bound: else a holder could begin after both"
        )
    return DisruptionSettings.from_plain(settings)
