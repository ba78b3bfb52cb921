"""The epochs of plans: a client that takes a plan over raises its epoch.

Commands of an older epoch are rejected.
"""

from typing import Any

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .fleet import Fleet
from .permits import PermitInput, PermitState
from .targets import CommandRejectedError

MAX_PLANS = 256
# An unused plan's epoch is remembered for a day: no command is delayed longer.
PLAN_MEMORY_TICKS = 24 * 3_600 * TICKS_PER_SECOND


class PlanEpoch:
    """The epoch of a plan.

    Attributes:
        epoch: the highest epoch that was heard.
        last_used: agreed time at which it was used last.
    """

    __slots__ = ("epoch", "last_used")

    def __init__(self, epoch: int, last_used: Ticks) -> None:
        self.epoch = epoch
        self.last_used = last_used


class PlanEpochs:
    """The epochs of all plans that are remembered, by the plan's name."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.by_name: dict[str, PlanEpoch] = {}

    def has_other_epoch(self, plan: str, epoch: int) -> bool:
        """Whether a plan is known by another epoch."""
        known = self.by_name.get(plan)
        return known is not None and known.epoch != epoch

    def accept_epoch(self, plan: str, epoch: int) -> None:
        """Takes a plan's epoch; a newer one ends what the older requested and was granted.

        Raises:
            CommandRejectedError: the epoch is older than the known one, or too many are known.
        """
        known = self.by_name.get(plan)
        if known is None:
            known = self._remember(plan, epoch)
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

    def _remember(self, plan: str, epoch: int) -> PlanEpoch:
        if len(self.by_name) >= MAX_PLANS:
            self._forget_unused()
        if len(self.by_name) >= MAX_PLANS:
            raise CommandRejectedError(
                f"{MAX_PLANS} plans are known already", retry_after=PLAN_MEMORY_TICKS
            )
        known = PlanEpoch(epoch, self.fleet.at)
        self.by_name[plan] = known
        return known

    def _forget_unused(self) -> None:
        units = [*self.fleet.requesting.values(), *self.fleet.permitted.values()]
        used = {unit.granted_request.plan for unit in units}
        for name, known in list(self.by_name.items()):
            if name not in used and self.fleet.at - known.last_used > PLAN_MEMORY_TICKS:
                del self.by_name[name]

    def to_plain(self) -> dict[str, list[Any]]:
        """The epochs as a snapshot has them."""
        return {
            name: [known.epoch, known.last_used] for name, known in sorted(self.by_name.items())
        }

    def load(self, plain: dict[str, list[Any]]) -> None:
        """Takes the epochs of a snapshot in place of its own."""
        self.by_name = {name: PlanEpoch(*known) for name, known in plain.items()}
