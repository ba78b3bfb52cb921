"""What a declaration makes of the units, budgets and settings there are; it changes nothing."""

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
# No value is within it: an unknown setting is rejected like one out of its range.
UNKNOWN_SETTING = SettingRange(0, 1, 0)


class Declaration(NamedTuple):
    """All that is declared.

    Attributes:
        units: labels of all units by name.
        budgets: all budgets.
        settings: all settings.
    """

    units: dict[str, Labels]
    budgets: list[Budget]
    settings: DisruptionSettings


def read_declaration(fleet: Fleet, command: DeclareCommand) -> Declaration:
    """Adds what a command declares to what the fleet has.

    Raises:
        CommandRejectedError: a part is malformed, or changes a unit that has a permit.
    """
    units = {name: unit.labels for name, unit in fleet.units.items()}
    for name, given in (command.units or {}).items():
        labels = parse_labels(name, given)
        if name in units and units[name] != labels and fleet.units[name].state in PERMITTED_STATES:
            raise CommandRejectedError(
                f"unit {name} is {fleet.units[name].state}: it can't be moved meanwhile", [name]
            )
        units[name] = labels
    for name in command.gone or []:
        _take_away(fleet, units, name)
    if len(units) > MAX_UNITS:
        raise CommandRejectedError(f"more than {MAX_UNITS} units")
    budgets = fleet.budgets
    if command.budgets is not None:
        budgets = [parse_budget(given) for given in command.budgets]
    if len({budget.name for budget in budgets}) < len(budgets) or len(budgets) > MAX_BUDGETS:
        raise CommandRejectedError(
            f"budgets have names of their own, and are at most {MAX_BUDGETS}"
        )
    return Declaration(units, budgets, _read_settings(fleet.settings, command.terms or {}))


def _take_away(fleet: Fleet, units: dict[str, Labels], name: Any) -> None:
    if not is_valid_name(name) or name not in units:
        raise CommandRejectedError(f"no unit {str(name)[:MAX_QUOTED_LENGTH]} was declared")
    if name in fleet.units and fleet.units[name].state in PERMITTED_STATES:
        raise CommandRejectedError(
            f"unit {name} is {fleet.units[name].state}: it can't be taken away meanwhile", [name]
        )
    del units[name]


def _read_settings(current: DisruptionSettings, given: dict[str, Any]) -> DisruptionSettings:
    plain = current.to_plain()
    for name, value in given.items():
        _, least, most = SETTING_RANGES.get(name, UNKNOWN_SETTING)
        if not is_non_negative_integer(value) or not least <= value <= most:
            raise CommandRejectedError(
                f"term {str(name)[:MAX_QUOTED_LENGTH]} is unknown, or not a whole number of "
                f"{least} to {most}"
            )
        plain[name] = value
    if plain["permit"] < plain["bound"] or plain["silent"] < plain["bound"]:
        raise CommandRejectedError(
            "permits and silence last at least for the bound: else a holder could begin after both"
        )
    return DisruptionSettings.from_plain(plain)
