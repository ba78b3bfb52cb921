"""The fleet: all units, their permits, and the budget usages that follow from their state."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

from ..interface.clock import Ticks
from .budgets import Budget, BudgetUsage, build_usages
from .permits import (
    PERMIT_TRANSITIONS,
    PERMITTED_STATES,
    PermitEffect,
    PermitInput,
    PermitRequest,
    PermitState,
    Unit,
    UnitStatus,
)
from .targets import CommandRejectedError, DisruptionSettings, Labels


class Fleet:
    """All units and budget usages; issues permits with strictly increasing fencing tokens.

    Attributes:
        at: The current agreed time.
        last_fencing_token: The fencing token of the newest permit.
        settings: The operator's settings.
        units: All units by name.
        budgets: The declared budgets.
        usages: The usages of all budgets by name.
        requesting: Units with a waiting permit request, by name.
        permitted: Units that have a permit, by name.
        silence_deadlines: Heap of (agreed time, unit name): when a ready unit becomes silent unless
            it is reported ready again.
        capacity_freed: Whether a request that did not fit before may fit now.
        newly_exceeded: Usages that exceeded their limit and have not caused a halt yet.
        last_report_at: Agreed time of the last report of any unit.
    """

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self.at: Ticks = 0
        self.last_fencing_token = 0
        self.settings = DisruptionSettings()
        self.units: dict[str, Unit] = {}
        self.budgets: list[Budget] = []
        self.usages: dict[str, BudgetUsage] = {}
        self.requesting: dict[str, Unit] = {}
        self.permitted: dict[str, Unit] = {}
        self.silence_deadlines: list[tuple[Ticks, str]] = []
        self.capacity_freed = True
        self.newly_exceeded: list[BudgetUsage] = []
        self.last_report_at: Ticks = -1
        self._effects: dict[PermitEffect, Callable[..., None]] = {
            PermitEffect.QUEUE_REQUEST: self._queue_request,
            PermitEffect.ISSUE_PERMIT: self._issue_permit,
            PermitEffect.DROP_REQUEST: self._drop_request,
            PermitEffect.END_PERMIT: self._end_permit,
            PermitEffect.REQUEUE: self._discard_evidence,
            PermitEffect.RESET_LAPSES: self._reset_lapsed_permits,
            PermitEffect.NOTHING: self._do_nothing,
            PermitEffect.CALL_BACK: self._discard_evidence,
            PermitEffect.RECORD_FAULT: self._record_fault,
            PermitEffect.COMPLETE_RETURN: self._complete_return,
        }

    def get_unit(self, name: str) -> Unit:
        """Returns the unit with a name.

        Raises:
            CommandRejectedError: No unit of this name was declared.
        """
        unit = self.units.get(name)
        if unit is None:
            raise CommandRejectedError(f"no unit {name} was declared", [name])
        return unit

    def declare(self, units: dict[str, Labels], budgets: list[Budget]) -> None:
        """Replaces all units and budgets; units that stay declared keep their state.

        Args:
            units: Labels by unit name.
            budgets: The budgets.

        Raises:
            CommandRejectedError: A budget cannot be applied to the units; nothing was changed.
        """
        usages = build_usages(budgets, units)
        for name in [name for name in self.units if name not in units]:
            unit = self.units.pop(name)
            self.requesting.pop(unit.name, None)
        for name, labels in units.items():
            unit = self.units.get(name) or self.units.setdefault(name, Unit(name, labels))
            unit.labels = labels
            unit.usages = usages.by_unit[name]
        self.budgets = budgets
        self.usages = usages.by_name
        self.capacity_freed = True
        for unit in self.units.values():
            self.update_usages(unit)
        for usage in self.usages.values():
            usage.within_limit = not usage.is_exceeded()
            usage.restored_at = self.at
        self.newly_exceeded = []

    def update_usages(self, unit: Unit) -> None:
        """Updates the budget usages of a unit after its availability may have changed."""
        unavailable = not unit.is_ready(self.at, self.settings.silent)
        for usage in unit.usages:
            if unavailable and unit.name not in usage.unavailable:
                usage.unavailable[unit.name] = True
                if usage.within_limit and usage.is_exceeded():
                    usage.within_limit = False
                    self.newly_exceeded.append(usage)
            elif not unavailable and unit.name in usage.unavailable:
                del usage.unavailable[unit.name]
                self.capacity_freed = True
                if not usage.within_limit and not usage.is_exceeded():
                    usage.within_limit = True
                    usage.restored_at = self.at
        if not unavailable and not unit.silence_queued:
            unit.silence_queued = True
            heappush(self.silence_deadlines, (unit.ready_at + self.settings.silent, unit.name))

    def find_exceeded_budget(self, unit: Unit) -> BudgetUsage | None:
        """Returns the first exceeded budget usage of a unit, or None."""
        return next((usage for usage in unit.usages if usage.is_exceeded()), None)

    def advance_time(self, at: Ticks) -> None:
        """Advances agreed time to `at`, if that is later.

        Units that have been silent for too long count as unavailable. Unused permits lapse; their
        capacity stays in use, since the unit may be draining behind a partition.
        """
        self.at = max(self.at, at)
        while self.silence_deadlines and self.silence_deadlines[0][0] <= self.at:
            silent_unit = self.units.get(heappop(self.silence_deadlines)[1])
            if silent_unit is None:
                continue
            silent_unit.silence_queued = False
            self.update_usages(silent_unit)
        if self.at - self.last_report_at >= self.settings.silent:
            # No unit was reported at all, so the observers must be lost. All units count as
            # unavailable, but that is not a crash and must not halt the budgets.
            self.newly_exceeded = []
        for unit in [
            unit
            for unit in self.permitted.values()
            if unit.state == PermitState.GRANTED and unit.permit_until <= self.at
        ]:
            unit.lapsed_permits += 1
            self.transition(unit, PermitInput.LAPSED)

    def record_report(
        self, unit: Unit, as_of: Ticks, status: UnitStatus, start: int, build: str
    ) -> None:
        """Records a status report.

        Ignores a report that is older than the last one or from an earlier start of the process.

        Args:
            unit: The reported unit.
            as_of: The newest agreed time that the observer knew when it made the observation.
            status: The observed status.
            start: The number of the process's start.
            build: The build that the unit runs, or empty if unknown.
        """
        if start < unit.start or as_of < unit.reported_at:
            return
        if start > unit.start:
            restarted = unit.start >= 0
            unit.start = start
            if restarted:
                # Earlier reports say nothing about the new process.
                unit.ready_at = -1
                unit.status = UnitStatus.COLD
                self.transition(unit, PermitInput.RESTARTED)
        unit.reported_at = as_of
        unit.status = status
        if build:
            unit.build = build
        elif status == UnitStatus.READY and unit.state == PermitState.RETURNING:
            # Without a reported build, assume the build that the unit was disrupted for.
            unit.build = unit.granted_request.build or unit.build
        if status == UnitStatus.READY:
            unit.ready_at = as_of
            if unit.is_reported_ready(self.at, self.settings.silent):
                self.transition(unit, PermitInput.READY)
        self.update_usages(unit)

    def transition(self, unit: Unit, event: PermitInput, *details: Any) -> bool:
        """Applies an input to a unit's permit according to PERMIT_TRANSITIONS.

        Args:
            unit: The unit.
            event: The input.
            details: The PermitRequest for REQUESTED, the fault's sentence for FAILED, otherwise
                empty.

        Returns:
            Whether the input has a transition in the current state.
        """
        transition = PERMIT_TRANSITIONS.get((unit.state, event))
        if transition is None:
            return False
        if transition.state != unit.state:
            unit.state = transition.state
            unit.state_entered_at = self.at
        self._effects[transition.effect](unit, *details)
        _update_group(self.requesting, unit, unit.state == PermitState.REQUESTED)
        _update_group(self.permitted, unit, unit.state in PERMITTED_STATES)
        self.update_usages(unit)
        return True

    def _queue_request(self, unit: Unit, request: PermitRequest) -> None:
        unit.request = request
        unit.fault = ""
        self.capacity_freed = True

    def _issue_permit(self, unit: Unit) -> None:
        self.last_fencing_token += 1
        unit.fencing_token = self.last_fencing_token
        unit.permit_until = self.at + self.settings.permit

    def _drop_request(self, unit: Unit) -> None:
        unit.request = None

    def _end_permit(self, unit: Unit) -> None:
        unit.request = None
        unit.evidence_valid_after = self.at

    def _discard_evidence(self, unit: Unit) -> None:
        # Reports from before a halt or a call back no longer prove that the unit is ready. The
        # request keeps its age.
        unit.evidence_valid_after = self.at

    def _reset_lapsed_permits(self, unit: Unit) -> None:
        unit.lapsed_permits = 0

    def _do_nothing(self, unit: Unit) -> None:
        pass

    def _record_fault(self, unit: Unit, fault: str) -> None:
        unit.fault = fault

    def _complete_return(self, unit: Unit) -> None:
        unit.fault = ""
        unit.request = None

    def to_plain(self) -> dict[str, Any]:
        """Encodes the fleet for a snapshot."""
        return {
            "at": self.at,
            "fence": self.last_fencing_token,
            "heard": self.last_report_at,
            "terms": self.settings.to_plain(),
            "budgets": [budget.to_plain() for budget in self.budgets],
            "rooms": {
                usage.name: [usage.within_limit, usage.restored_at]
                for usage in self.usages.values()
            },
            "units": [unit.to_plain() for _, unit in sorted(self.units.items())],
        }

    def load(self, plain: dict[str, Any]) -> None:
        """Replaces the state by that of a snapshot."""
        self._reset()
        self.at = plain["at"]
        self.last_fencing_token = plain["fence"]
        self.last_report_at = plain["heard"]
        self.settings = DisruptionSettings.from_plain(plain["terms"])
        self.budgets = [Budget.from_plain(budget) for budget in plain["budgets"]]
        for plain_unit in plain["units"]:
            unit = Unit.from_plain(plain_unit)
            self.units[unit.name] = unit
            if unit.state == PermitState.REQUESTED:
                self.requesting[unit.name] = unit
            elif unit.state in PERMITTED_STATES:
                self.permitted[unit.name] = unit
        usages = build_usages(
            self.budgets, {name: unit.labels for name, unit in self.units.items()}
        )
        self.usages = usages.by_name
        for unit in self.units.values():
            unit.usages = usages.by_unit[unit.name]
            self.update_usages(unit)
        for usage in self.usages.values():
            within_limit, restored_at = plain["rooms"][usage.name]
            usage.within_limit = within_limit
            usage.restored_at = restored_at
        self.newly_exceeded = []
        self.capacity_freed = True
        heapify(self.silence_deadlines)


def _update_group(group: dict[str, Unit], unit: Unit, is_member: bool) -> None:
    """Adds a unit to a group or removes it; a unit that is already in keeps its position."""
    if is_member:
        group[unit.name] = unit
    else:
        group.pop(unit.name, None)
