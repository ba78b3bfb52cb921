"""Watches a fleet from outside and notes where an invariant is violated.

It knows which units serve, which stopped serving on their own and which by a crash, and which
begins were confirmed. It shares nothing with the state machine: budgets are plain sets of names and
a number.
"""

from typing import NamedTuple

from ..interface.clock import Ticks


class BudgetGroup(NamedTuple):
    """A budget as the checker knows it.

    Attributes:
        name: its name in a violation.
        units: names of the units that belong to it.
        most: how many of them may be unavailable.
    """

    name: str
    units: set[str]
    max_unavailable: int


class WatchedHalt(NamedTuple):
    """A halt that stands.

    Attributes:
        at: when it was confirmed.
        units: names of the units it holds.
    """

    at: Ticks
    units: set[str]


class Disruption(NamedTuple):
    """A unit that stopped taking new work, and not by a crash.

    Attributes:
        at: when it did.
        unit: its name.
    """

    at: Ticks
    unit: str


class InvariantChecker:
    """Checks every disruption of a unit when it begins.

    The invariants: A1, no more units of a group are unavailable than may be. A2, a permit was
    confirmed within the bound and is used once, in the order of fencing tokens. A3, nothing begins
    under a halt after the bound. A6, nothing begins after the bound without the state machine.

    Attributes:
        groups: the budgets.
        notice: ticks after a crash within which nobody needs to know of it.
        bound: ticks after which a halt, or the loss of the state machine, binds.
        disrupted_at: by name since when a unit is disrupted.
        crashed_at: by name since when a unit is crashed, and did not serve since.
        confirmations: by name and fencing token when a begin was confirmed last.
        used_tokens: by name the highest fencing token it was disrupted by.
        halts: halts that stand, by number.
        service_lost_at: since when the state machine can't be reached, or None.
        violations: what was found, in sentences that begin with the invariant's name.
        disruptions: all disruptions.
    """

    def __init__(self, groups: list[BudgetGroup], crash_grace_period: Ticks, bound: Ticks) -> None:
        self.groups = groups
        self.crash_grace_period = crash_grace_period
        self.bound = bound
        self.disrupted_at: dict[str, Ticks] = {}
        self.crashed_at: dict[str, Ticks] = {}
        self.confirmations: dict[str, dict[int, Ticks]] = {}
        self.highest_used_tokens: dict[str, int] = {}
        self.halts: dict[int, WatchedHalt] = {}
        self.service_lost_at: Ticks | None = None
        self.violations: list[str] = []
        self.disruptions: list[Disruption] = []

    def record_confirmation(self, now: Ticks, name: str, fencing_token: int) -> None:
        """The state machine confirmed a begin."""
        self.confirmations.setdefault(name, {})[fencing_token] = now

    def record_halt(self, number: int, now: Ticks, units: set[str]) -> None:
        """A halt of these units was confirmed."""
        self.halts[number] = WatchedHalt(now, units)

    def record_resume(self, number: int) -> None:
        """A halt ended."""
        self.halts.pop(number, None)

    def record_service_lost(self, now: Ticks) -> None:
        """The state machine can't be reached from now on."""
        self.service_lost_at = now

    def record_service_back(self) -> None:
        """The state machine can be reached again."""
        self.service_lost_at = None

    def record_disruption(
        self, now: Ticks, name: str, fencing_token: int, is_rollback: bool = False
    ) -> None:
        """A unit takes no new work from now on, and did not crash.

        Args:
            now: when it stopped.
            name: its name.
            fencing_token: the token of the permit it used.
            is_rollback: whether it is disrupted for a rollback that was ordered.
        """
        self.disruptions.append(Disruption(now, name))
        self.disrupted_at[name] = now
        self._check_budgets(now, name)
        self._check_permit(now, name, fencing_token)
        for number, halt in self.halts.items():
            if name in halt.units and not is_rollback and now - halt.at > self.bound:
                self._report_violation(
                    now, "A3", f"{name} went {now - halt.at} after halt {number}"
                )
        lost_at = self.service_lost_at
        if lost_at is not None and now - lost_at > self.bound:
            self._report_violation(
                now, "A6", f"{name} went {now - lost_at} after the keepers were lost"
            )

    def record_crash(self, now: Ticks, name: str) -> None:
        """A unit crashed."""
        self.crashed_at.setdefault(name, now)
        self.disrupted_at.pop(name, None)

    def record_serving(self, name: str) -> None:
        """A unit takes new work, warm."""
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
            # A unit that crashed and did not serve since takes nothing away by being disrupted.
            if (
                name in group.units
                and name not in self.crashed_at
                and len(unavailable) > group.max_unavailable
            ):
                self._report_violation(
                    now,
                    "A1",
                    f"{name} went, {len(unavailable)} of {group.name} are out "
                    f"and {group.max_unavailable} may be: {sorted(unavailable)}",
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
                f"{name} went by permit {fencing_token}, which was confirmed {confirmed_at} "
                f"and used {highest_used}",
            )
        self.highest_used_tokens[name] = max(fencing_token, highest_used or 0)

    def _report_violation(self, now: Ticks, invariant: str, sentence: str) -> None:
        self.violations.append(f"{invariant} at {now}: {sentence}")
