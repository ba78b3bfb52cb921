"""All units of the fleet: the permits they have, and which of them are unavailable by budget."""

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
    """All units, which of them are unavailable, and the fencing token that never comes twice.

    Attributes:
        at: agreed time.
        last_fencing_token: the token of the newest permit.
        settings: what the operator set.
        units: all units by name.
        budgets: the declared budgets.
        usages: the usages of all budgets by name.
        requesting: units that requested a permit and wait, by name.
        permitted: units that have a permit, by name.
        silences: heap of (agreed time, name): when a ready unit may have become silent.
        capacity_freed: whether a request may fit that did not fit before.
        newly_exceeded: budget usages that became exceeded and caused no halt yet.
        last_report_at: agreed time of the last report of any observer.
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
        self.silences: list[tuple[Ticks, str]] = []
        self.capacity_freed = True
        self.newly_exceeded: list[BudgetUsage] = []
        self.last_report_at: Ticks = -1
        self._effects: dict[PermitEffect, Callable[..., None]] = {
            PermitEffect.QUEUE: self._take_request,
            PermitEffect.PERMIT: self._issue_permit,
            PermitEffect.FORGET: self._drop_request,
            PermitEffect.DOUBT: self._end_permit,
            PermitEffect.WAIT: self._doubt_evidence,
            PermitEffect.DRAIN: self._reset_lapsed_permits,
            PermitEffect.REST: self._change_nothing,
            PermitEffect.CALL: self._doubt_evidence,
            PermitEffect.NAME: self._record_fault,
            PermitEffect.HOME: self._finish_return,
        }

    def get_unit(self, name: str) -> Unit:
        """The unit of a name.

        Raises:
            CommandRejectedError: none was declared.
        """
        unit = self.units.get(name)
        if unit is None:
            raise CommandRejectedError(f"no unit {name} was declared", [name])
        return unit

    def declare(self, units: dict[str, Labels], budgets: list[Budget]) -> None:
        """Takes all units (labels by name) and budgets in place of those before.

        Raises:
            CommandRejectedError: a budget is impossible; nothing was changed.
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
        """Brings the budget usages of a unit up to what it now counts as."""
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
            heappush(self.silences, (unit.ready_at + self.settings.silent, unit.name))

    def find_exceeded_budget(self, unit: Unit) -> BudgetUsage | None:
        """The first budget usage of a unit that is exceeded, or None."""
        return next((usage for usage in unit.usages if usage.is_exceeded()), None)

    def advance_time(self, at: Ticks) -> None:
        """Lets agreed time go on to `at`, if that is later.

        Units that were silent too long count as unavailable. Permits that nobody began lapse; their
        capacity stays taken, since the holder may be draining behind a partition.
        """
        self.at = max(self.at, at)
        while self.silences and self.silences[0][0] <= self.at:
            silent_unit = self.units.get(heappop(self.silences)[1])
            if silent_unit is None:
                continue
            silent_unit.silence_queued = False
            self.update_usages(silent_unit)
        if self.at - self.last_report_at >= self.settings.silent:
            # No unit at all was reported: it is the observers that are lost. All units count as
            # unavailable, but no crash exceeded a budget.
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
        """Takes what an observer saw.

        Reports that are older than the last, or of an earlier start, don't count.

        Args:
            unit: the unit that was seen.
            as_of: the last agreed time that the observer had heard when it looked.
            status: what it saw.
            start: the number of the process' start.
            build: the build it runs, or empty if it does not say so.
        """
        if start < unit.start or as_of < unit.reported_at:
            return
        if start > unit.start:
            restarted = unit.start >= 0
            unit.start = start
            if restarted:
                # What was seen of the former start proves nothing of this one.
                unit.ready_at = -1
                unit.status = UnitStatus.COLD
                self.transition(unit, PermitInput.RESTARTED)
        unit.reported_at = as_of
        unit.status = status
        if build:
            unit.build = build
        elif status == UnitStatus.READY and unit.state == PermitState.RETURNING:
            # One that does not tell its build has the one it was disrupted for.
            unit.build = unit.granted_request.build or unit.build
        if status == UnitStatus.READY:
            unit.ready_at = as_of
            if unit.is_reported_ready(self.at, self.settings.silent):
                self.transition(unit, PermitInput.READY)
        self.update_usages(unit)

    def transition(self, unit: Unit, event: PermitInput, *details: Any) -> bool:
        """Takes an input of a unit's permit by PERMIT_TRANSITIONS; gives whether it did anything.

        Args:
            unit: the unit.
            event: what happened.
            details: the PermitRequest with ASKED, the fault's sentence with FAILED, else nothing.
        """
        step = PERMIT_TRANSITIONS.get((unit.state, event))
        if step is None:
            return False
        if step.state != unit.state:
            unit.state = step.state
            unit.state_entered_at = self.at
        self._effects[step.effect](unit, *details)
        _keep_while(self.requesting, unit, unit.state == PermitState.REQUESTED)
        _keep_while(self.permitted, unit, unit.state in PERMITTED_STATES)
        self.update_usages(unit)
        return True

    def _take_request(self, unit: Unit, request: PermitRequest) -> None:
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
        unit.doubted_at = self.at

    def _doubt_evidence(self, unit: Unit) -> None:
        # What was seen before a halt or a call back proves nothing. The request keeps its age.
        unit.doubted_at = self.at

    def _reset_lapsed_permits(self, unit: Unit) -> None:
        unit.lapsed_permits = 0

    def _change_nothing(self, unit: Unit) -> None:
        pass

    def _record_fault(self, unit: Unit, fault: str) -> None:
        unit.fault = fault

    def _finish_return(self, unit: Unit) -> None:
        unit.fault = ""
        unit.request = None

    def to_plain(self) -> dict[str, Any]:
        """The fleet as a snapshot has it."""
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
        """Takes the fleet of a snapshot in place of its own."""
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
        heapify(self.silences)


def _keep_while(group: dict[str, Unit], unit: Unit, belongs: bool) -> None:
    """Has a unit in a group exactly while it belongs there; it keeps its place in the order."""
    if belongs:
        group[unit.name] = unit
    else:
        group.pop(unit.name, None)
