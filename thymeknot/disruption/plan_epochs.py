"""The epochs of plans: a client that takes over a plan raises its epoch.

Commands with an older epoch are rejected.
"""

from typing import Any

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .fleet import Fleet
from .permits import PermitInput, PermitState
from .targets import CommandRejectedError

MAX_PLANS = 256
# The epoch of an unused plan is kept for a day: no command is delayed for longer.
UNUSED_PLAN_RETENTION_TICKS = 24 * 3_600 * TICKS_PER_SECOND


class PlanEpoch:
    """The epoch of a plan.

    Attributes:
        epoch: The highest accepted epoch.
        last_used: Agreed time of its last use.
    """

    __slots__ = ("epoch", "last_used")

    def __init__(self, epoch: int, last_used: Ticks) -> None:
        self.epoch = epoch
        self.last_used = last_used


class PlanEpochs:
    """The epochs of all known plans.

    Attributes:
        fleet: The fleet whose permits the plans request.
        by_name: The epochs by the plan's name.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.by_name: dict[str, PlanEpoch] = {}

    def has_other_epoch(self, plan: str, epoch: int) -> bool:
        """Returns whether a plan is known with an epoch other than this one."""
        known = self.by_name.get(plan)
        return known is not None and known.epoch != epoch

    def accept_epoch(self, plan: str, epoch: int) -> None:
        """Records the use of a plan's epoch.

        A newer epoch withdraws the requests and the unused permits of the older one.

        Raises:
            CommandRejectedError: The epoch is older than the known one, or there are too many
                plans.
        """
        known = self.by_name.get(plan)
        if known is None:
            known = self._add_plan(plan, epoch)
        if epoch < known.epoch:
            raise CommandRejectedError(
                f"epoch {epoch} of {plan} is over; it is {known.epoch} now", [plan]
            )
        if epoch > known.epoch:
            for unit in [*self.fleet.requesting.values(), *self.fleet.permitted.values()]:
                if unit.granted_request.plan == plan and unit.state in (
                    PermitState.REQUESTED,
                    PermitState.GRANTED,
                ):
                    self.fleet.transition(unit, PermitInput.REVOKED)
        known.epoch = epoch
        known.last_used = self.fleet.at

    def _add_plan(self, plan: str, epoch: int) -> PlanEpoch:
        if len(self.by_name) >= MAX_PLANS:
            self._remove_unused_plans()
        if len(self.by_name) >= MAX_PLANS:
            raise CommandRejectedError(
                f"{MAX_PLANS} plans are known already", retry_after=UNUSED_PLAN_RETENTION_TICKS
            )
        known = PlanEpoch(epoch, self.fleet.at)
        self.by_name[plan] = known
        return known

    def _remove_unused_plans(self) -> None:
        units = [*self.fleet.requesting.values(), *self.fleet.permitted.values()]
        used_plans = {unit.granted_request.plan for unit in units}
        for name, known in list(self.by_name.items()):
            if (
                name not in used_plans
                and self.fleet.at - known.last_used > UNUSED_PLAN_RETENTION_TICKS
            ):
                del self.by_name[name]

    def to_plain(self) -> dict[str, list[Any]]:
        """Encodes the epochs for a snapshot."""
        return {
            name: [known.epoch, known.last_used] for name, known in sorted(self.by_name.items())
        }

    def load(self, plain: dict[str, list[Any]]) -> None:
        """Replaces the epochs by those of a snapshot."""
        self.by_name = {name: PlanEpoch(*known) for name, known in plain.items()}
