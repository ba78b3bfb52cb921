"""Halts: what stops, why, and what ends it.

A halt holds requests, ends permits that were not begun, and stops releases. It never holds a unit
that is unavailable from returning.
"""

from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from ..interface.clock import Ticks
from .targets import CommandRejectedError, Labels, Selector, describe_selector, matches

if TYPE_CHECKING:
    from .fleet import Fleet
    from .permits import Unit
    from .release import Release

MAX_HALTS = 256


class HaltCause(StrEnum):
    """Why a halt was ordered."""

    OPERATOR = "operator"
    VOTE = "vote"
    BUDGET = "budget"
    CRASHES = "crashes"
    GANG = "gang"
    REQUEST_CLASS = "class"


class CauseRules(NamedTuple):
    """What a halt of a cause does.

    Attributes:
        holds_rollback_requests: whether it holds the requests of rollbacks too.
        stops_rollbacks: whether it stops the rollbacks of releases too.
        ends_with_budget: whether it ends when its budget is within its limit again.
    """

    holds_rollback_requests: bool
    stops_rollbacks: bool
    ends_with_budget: bool


# A budget that is exceeded in the middle of a rollback must not stop it: the units that exceed it
# may be the very ones that have to be rolled back.
CAUSE_RULES = {
    HaltCause.OPERATOR: CauseRules(True, True, False),
    HaltCause.VOTE: CauseRules(True, True, False),
    HaltCause.BUDGET: CauseRules(False, False, True),
    HaltCause.CRASHES: CauseRules(False, False, False),
    HaltCause.GANG: CauseRules(True, True, False),
    HaltCause.REQUEST_CLASS: CauseRules(True, True, False),
}


class Halt(NamedTuple):
    """A halt that stands; the fields are in the order in which a snapshot has them.

    Attributes:
        number: its number; a later halt has a higher one.
        selector: the units it holds, or None if it is of a release.
        release: the release it holds, or None.
        budget: the name of the budget usage whose excess caused it, or None.
        cause: why it was ordered.
        why: the reason in words.
        by: who ordered it.
        at: agreed time at which it was ordered.
    """

    number: int
    selector: Selector | None
    release: str | None
    budget: str | None
    cause: HaltCause
    why: str
    by: str
    at: Ticks

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "Halt":
        """Reads a halt out of a snapshot."""
        number, selector, release, budget, cause, why, by, at = plain
        return cls(number, selector, release, budget, HaltCause(cause), why, by, at)

    def to_plain(self) -> list[Any]:
        """The halt as a snapshot has it."""
        return list(self._replace(cause=self.cause.value))  # type: ignore[arg-type]  # plain text

    def describe(self) -> str:
        """The halt in a sentence."""
        where = (
            f"release {self.release}" if self.release else describe_selector(self.selector or [])
        )
        return f"halt {self.number} by {self.by} of {where}: {self.why}"


class Halts:
    """All halts that stand, by number, in the order in which they were ordered."""

    def __init__(self) -> None:
        self.last_number = 0
        self.by_number: dict[int, Halt] = {}

    def add(
        self,
        at: Ticks,
        cause: HaltCause,
        why: str,
        by: str,
        *,
        selector: Selector | None = None,
        release: str | None = None,
        budget: str | None = None,
    ) -> Halt:
        """Adds a halt. One that says the same takes the place of the earlier one.

        Raises:
            CommandRejectedError: too many halts stand.
        """
        for halt in self.by_number.values():
            if (halt.cause, halt.selector, halt.release, halt.budget, halt.by) == (
                cause,
                selector,
                release,
                budget,
                by,
            ):
                # Repeated it is newer: a rollback that was ordered before it stops too.
                del self.by_number[halt.number]
                break
        else:
            if len(self.by_number) >= MAX_HALTS:
                raise CommandRejectedError(
                    f"{MAX_HALTS} halts stand already; one of all units needs no more beside it"
                )
        self.last_number += 1
        halt = Halt(self.last_number, selector, release, budget, cause, why, by, at)
        self.by_number[self.last_number] = halt
        return halt

    def find_halt_of_request(self, unit: "Unit", release: "Release | None") -> Halt | None:
        """The first halt that holds a unit's request, or None.

        Args:
            unit: a unit with a request.
            release: the release that requests, or None. Its rollback was ordered in knowledge of
                all halts up to its `last_known_halt`.
        """
        request = unit.request
        for halt in self.by_number.values():
            if (
                request is not None
                and request.rollback
                and (
                    not CAUSE_RULES[halt.cause].holds_rollback_requests
                    or (release and halt.number <= release.last_known_halt)
                )
            ):
                continue
            if halt.release is not None:
                if release and halt.release == release.name:
                    return halt
            elif matches(halt.selector or [], unit.labels):
                return halt
        return None

    def find_halt_of_release(
        self, release: "Release", unit_labels: list[Labels], rollback: bool
    ) -> Halt | None:
        """The first halt that stops a release with units of these labels, or None."""
        for halt in self.by_number.values():
            rules = CAUSE_RULES[halt.cause]
            if rules.ends_with_budget or (
                rollback and (not rules.stops_rollbacks or halt.number <= release.last_known_halt)
            ):
                continue
            if halt.release == release.name or (
                halt.release is None
                and any(matches(halt.selector or [], labels) for labels in unit_labels)
            ):
                return halt
        return None

    def end_halts_of_restored_budgets(self, fleet: "Fleet") -> None:
        """Ends the halts of budgets that are restored for long enough, or are no more."""
        ending = [
            halt for halt in self.by_number.values() if CAUSE_RULES[halt.cause].ends_with_budget
        ]
        for halt in ending:
            usage = fleet.usages.get(halt.budget or "")
            if usage is None or (
                usage.within_limit and fleet.at - usage.restored_at >= fleet.settings.rest
            ):
                del self.by_number[halt.number]
                fleet.capacity_freed = True

    def to_plain(self) -> list[Any]:
        """The halts as a snapshot has them."""
        halts = [halt.to_plain() for _, halt in sorted(self.by_number.items())]
        return [self.last_number, halts]

    def load(self, plain: list[Any]) -> None:
        """Takes the halts of a snapshot in place of its own."""
        self.last_number = plain[0]
        self.by_number = {halt[0]: Halt.from_plain(halt) for halt in plain[1]}
