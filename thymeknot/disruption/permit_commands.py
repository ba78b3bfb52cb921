"""Handlers of the commands that concern the permit of one unit."""

from collections.abc import Callable

from ..interface.clock import TICKS_PER_SECOND
from . import scheduler
from .commands import (
    BeginCommand,
    CancelCommand,
    ReportDrainedCommand,
    RequestPermitCommand,
    ReturnCommand,
)
from .fleet import Fleet
from .permits import PERMITTED_STATES, PermitInput, PermitRequest, PermitState, Unit
from .plan_epochs import PlanEpochs
from .release import PLAN_PREFIX
from .replies import UnitReply
from .status import PERMIT_RETRY_TICKS, describe_unit
from .targets import CommandRejectedError

# Maximum waiting requests; releases limit the number of their own.
MAX_WAITING_REQUESTS = 1_024
# Ticks after which a request that was rejected for a full queue may be retried.
FULL_QUEUE_RETRY_TICKS = 10 * TICKS_PER_SECOND


class PermitCommands:
    """Handles permit commands; each handler raises CommandRejectedError to reject its command.

    Attributes:
        fleet: The units.
        plans: The epochs of plans.
        explain_hold: Returns the sentence of a halt that blocks a unit's request, or None.
    """

    def __init__(
        self, fleet: Fleet, plans: PlanEpochs, explain_hold: Callable[[Unit], str | None]
    ) -> None:
        self.fleet = fleet
        self.plans = plans
        self.explain_hold = explain_hold

    def request(self, command: RequestPermitCommand) -> UnitReply:
        """Adds a permit request, or raises the urgency of the plan's existing one."""
        unit = self.fleet.get_unit(command.unit)
        plan = command.plan
        if plan.startswith(PLAN_PREFIX):
            raise CommandRejectedError(
                f"plans that begin with {PLAN_PREFIX} are asked for by releases", [plan]
            )
        self.plans.accept_epoch(plan, command.epoch)
        if unit.request and unit.request.plan != plan:
            raise CommandRejectedError(
                f"unit {unit.name} is {unit.state} by {unit.request.plan} already",
                [unit.request.plan],
                PERMIT_RETRY_TICKS,
            )
        if not unit.request:
            if len(self.fleet.requesting) >= MAX_WAITING_REQUESTS:
                raise CommandRejectedError(
                    f"{MAX_WAITING_REQUESTS} units wait already", retry_after=FULL_QUEUE_RETRY_TICKS
                )
            request = PermitRequest(
                self.fleet.at, command.urgency, plan, command.epoch, False, command.build
            )
            if not command.queue:
                self._check_capacity(unit, request)
            self.fleet.transition(unit, PermitInput.REQUESTED, request)
        elif command.urgency > unit.request.urgency:
            unit.request.urgency = command.urgency
            self.fleet.capacity_freed = True
        return UnitReply(command.unit)

    def _check_capacity(self, unit: Unit, request: PermitRequest) -> None:
        """Rejects a request that cannot be granted immediately.

        Raises:
            CommandRejectedError: A halt or a budget blocks the request.
        """
        unit.request = request
        hold = self.explain_hold(unit)
        blocking = scheduler.find_blocking_budgets(self.fleet, unit)
        wait = scheduler.explain_wait(self.fleet, unit) if blocking else None
        unit.request = None
        if hold or wait:
            sentence = hold or (wait.sentence if wait else "")
            raise CommandRejectedError(sentence, wait.by if wait else [], PERMIT_RETRY_TICKS)

    def _get_permitted(self, name: str, fencing_token: int) -> Unit:
        """Returns the unit, if its permit has this fencing token.

        Raises:
            CommandRejectedError: The unit has no permit, or one with another fencing token.
        """
        unit = self.fleet.get_unit(name)
        if unit.state not in PERMITTED_STATES:
            waits = describe_unit(self.fleet, unit, self.explain_hold).waits
            raise CommandRejectedError(
                f"unit {name} has no permit; it is {unit.state}" + (f": {waits}" if waits else ""),
                [name],
            )
        if fencing_token != unit.fencing_token:
            raise CommandRejectedError(
                f"permit {fencing_token} of unit {name} is over; "
                f"the newest is {unit.fencing_token}",
                [name],
            )
        return unit

    def begin(self, command: BeginCommand) -> UnitReply:
        """Confirms that a unit may begin its disruption."""
        unit = self._get_permitted(command.unit, command.fence)
        plan = unit.granted_request.plan
        if command.start != unit.start:
            raise CommandRejectedError(
                f"permit {command.fence} was given to another start of unit {unit.name}",
                [unit.name],
            )
        if command.epoch != unit.granted_request.epoch or self.plans.has_other_epoch(
            plan, command.epoch
        ):
            raise CommandRejectedError(f"epoch {command.epoch} of {plan} is over", [plan])
        if unit.state == PermitState.DRAINING:
            return UnitReply(unit.name)  # repeated command: the earlier reply was lost
        if unit.state != PermitState.GRANTED:
            raise CommandRejectedError(
                f"unit {unit.name} is {unit.state}: it has begun already", [unit.name]
            )
        self._check_may_begin(unit)
        self.fleet.transition(unit, PermitInput.BEGAN)
        return UnitReply(unit.name)

    def _check_may_begin(self, unit: Unit) -> None:
        """Ends the permit of a unit that may no longer begin.

        Raises:
            CommandRejectedError: A budget is exceeded, or a halt blocks the unit.
        """
        hold = self.explain_hold(unit)
        exceeded = self.fleet.find_exceeded_budget(unit)
        if exceeded and not unit.is_reported_unavailable(self.fleet.at, self.fleet.settings.silent):
            # Other units became unavailable after the grant. A unit that does not serve may still
            # be disrupted, since that may be what restores the budget.
            self.fleet.transition(unit, PermitInput.HALTED)
            raise CommandRejectedError(
                scheduler.describe_usage(self.fleet, exceeded),
                [exceeded.name, *sorted(exceeded.unavailable)],
                PERMIT_RETRY_TICKS,
            )
        if hold:
            self.fleet.transition(unit, PermitInput.HALTED)
            raise CommandRejectedError(hold, retry_after=PERMIT_RETRY_TICKS)

    def record_drained(self, command: ReportDrainedCommand) -> UnitReply:
        """Records that a unit has drained."""
        unit = self._get_permitted(command.unit, command.fence)
        self.fleet.transition(unit, PermitInput.DRAINED)
        return UnitReply(command.unit)

    def record_return(self, command: ReturnCommand) -> UnitReply:
        """Records that a unit returns, gives up a permit not yet begun, or cannot return."""
        unit = self._get_permitted(command.unit, command.fence)
        was_granted = unit.state == PermitState.GRANTED
        self.fleet.transition(unit, PermitInput.REVOKED if was_granted else PermitInput.RETURNED)
        if command.fault:
            self.fleet.transition(unit, PermitInput.FAILED, command.fault)
        return UnitReply(command.unit)

    def cancel(self, command: CancelCommand) -> UnitReply:
        """Withdraws the request or permit of a unit, unless a release made the request."""
        unit = self.fleet.get_unit(command.unit)
        request = unit.request
        if not request or (command.plan is not None and request.plan != command.plan):
            raise CommandRejectedError(
                f"unit {unit.name} is {unit.state}" + (f" by {request.plan}" if request else ""),
                [unit.name],
            )
        if request.plan.startswith(PLAN_PREFIX):
            raise CommandRejectedError(
                f"unit {unit.name} is {unit.state} by {request.plan}: "
                "halt the release or bring it back",
                [request.plan],
            )
        if command.epoch is not None and command.epoch < request.epoch:
            raise CommandRejectedError(
                f"epoch {command.epoch} of {request.plan} is over", [request.plan]
            )
        self.fleet.transition(unit, PermitInput.REVOKED)
        return UnitReply(command.unit)
