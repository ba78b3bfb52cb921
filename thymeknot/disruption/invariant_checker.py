"""Checks the invariants of disruption control on a simulated fleet, from the outside.

The checker is told which units serve, which were disrupted and which crashed, and which begins were
confirmed. It shares no code or state with the state machine: a budget is a set of unit names and a
number.
"""

from typing import NamedTuple

from ..interface.clock import Ticks


class BudgetGroup(NamedTuple):
    """A budget in the form that the checker uses.

    Attributes:
        name: Name that violations use for it.
        units: Names of the units that belong to it.
        max_unavailable: How many of them may be unavailable.
    """

    name: str
    units: set[str]
    max_unavailable: int


class RecordedHalt(NamedTuple):
    """A halt in force.

    Attributes:
        at: Virtual time at which it was confirmed.
        units: Names of the units that it holds.
    """

    at: Ticks
    units: set[str]


class Disruption(NamedTuple):
    """A unit stopped taking new work, other than by a crash.

    Attributes:
        at: Virtual time at which it did.
        unit: Name of the unit.
    """

    at: Ticks
    unit: str


class InvariantChecker:
    """Checks every disruption of a unit when it begins.

    The invariants:

    - A1: no more units of a group are unavailable than the group allows.
    - A2: the begin was confirmed within the bound, and each permit is used at most once, in the
      order of fencing tokens.
    - A3: no disruption begins under a halt once the bound has passed, except for a rollback.
    - A6: no disruption begins once the state machine has been unreachable for the bound.

    Attributes:
        groups: The budgets.
        crash_grace_period: Ticks after a crash during which the fleet need not know of it.
        bound: Ticks after which a halt, or the loss of the state machine, must take effect.
        disrupted_at: Time of the disruption of each disrupted unit, by name.
        crashed_at: Time of the crash of each unit that has not served since, by name.
        confirmations: Time of the last confirmation of a begin, by name and fencing token.
        highest_used_tokens: Highest fencing token that each unit was disrupted with, by name.
        halts: Halts in force, by number.
        service_lost_at: Time since when the state machine is unreachable, or None.
        violations: Sentences that begin with the name of the violated invariant.
        disruptions: All disruptions, in order.
    """

    def __init__(self, groups: list[BudgetGroup], crash_grace_period: Ticks, bound: Ticks) -> None:
        self.groups = groups
        self.crash_grace_period = crash_grace_period
        self.bound = bound
        self.disrupted_at: dict[str, Ticks] = {}
        self.crashed_at: dict[str, Ticks] = {}
        self.confirmations: dict[str, dict[int, Ticks]] = {}
        self.highest_used_tokens: dict[str, int] = {}
        self.halts: dict[int, RecordedHalt] = {}
        self.service_lost_at: Ticks | None = None
        self.violations: list[str] = []
        self.disruptions: list[Disruption] = []

    def record_confirmation(self, now: Ticks, name: str, fencing_token: int) -> None:
        """Records that the state machine confirmed a begin."""
        self.confirmations.setdefault(name, {})[fencing_token] = now

    def record_halt(self, number: int, now: Ticks, units: set[str]) -> None:
        """Records that a halt of these units was confirmed."""
        self.halts[number] = RecordedHalt(now, units)

    def record_resume(self, number: int) -> None:
        """Records that a halt ended."""
        self.halts.pop(number, None)

    def record_service_lost(self, now: Ticks) -> None:
        """Records that the state machine is unreachable from now on."""
        self.service_lost_at = now

    def record_service_restored(self) -> None:
        """Records that the state machine is reachable again."""
        self.service_lost_at = None

    def record_disruption(
        self, now: Ticks, name: str, fencing_token: int, is_rollback: bool = False
    ) -> None:
        """Records that a unit stopped taking new work without a crash, and checks the invariants.

        Args:
            now: Virtual time.
            name: Name of the unit.
            fencing_token: Fencing token of the permit that it used.
            is_rollback: Whether it is disrupted for a rollback that was ordered.
        """
        self.disruptions.append(Disruption(now, name))
        self.disrupted_at[name] = now
        self._check_budgets(now, name)
        self._check_permit(now, name, fencing_token)
        for number, halt in self.halts.items():
            if name in halt.units and not is_rollback and now - halt.at > self.bound:
                self._report_violation(
                    now, "A3", f"{name} was disrupted {now - halt.at} ticks after halt {number}"
                )
        lost_at = self.service_lost_at
        if lost_at is not None and now - lost_at > self.bound:
            self._report_violation(
                now, "A6", f"{name} was disrupted {now - lost_at} ticks after the service was lost"
            )

    def record_crash(self, now: Ticks, name: str) -> None:
        """Records that a unit crashed."""
        self.crashed_at.setdefault(name, now)
        self.disrupted_at.pop(name, None)

    def record_serving(self, name: str) -> None:
        """Records that a unit has warmed up and takes new work."""
        self.disrupted_at.pop(name, None)
        self.crashed_at.pop(name, None)

    def _check_budgets(self, now: Ticks, name: str) -> None:
        for group in self.groups:
            unavailable = {
                unit
                for unit in group.units
                if unit in self.disrupted_at
                or now - self.crashed_at.get(unit, now) > self.crash_grace_period
            }
            # Disrupting a unit that has not served since its crash takes no capacity away.
            if (
                name in group.units
                and name not in self.crashed_at
                and len(unavailable) > group.max_unavailable
            ):
                self._report_violation(
                    now,
                    "A1",
                    f"{name} was disrupted, {len(unavailable)} of {group.name} are unavailable "
                    f"and at most {group.max_unavailable} may be: {sorted(unavailable)}",
                )

    def _check_permit(self, now: Ticks, name: str, fencing_token: int) -> None:
        confirmed_at = self.confirmations.get(name, {}).get(fencing_token)
        highest_used = self.highest_used_tokens.get(name)
        if (
            confirmed_at is None
            or now - confirmed_at > self.bound
            or fencing_token <= (highest_used or 0)
        ):
            self._report_violation(
                now,
                "A2",
                f"{name} was disrupted with permit {fencing_token}, confirmed at {confirmed_at}; "
                f"the highest token used before is {highest_used}",
            )
        self.highest_used_tokens[name] = max(fencing_token, highest_used or 0)

    def _report_violation(self, now: Ticks, invariant: str, sentence: str) -> None:
        self.violations.append(f"{invariant} at {now}: {sentence}")
