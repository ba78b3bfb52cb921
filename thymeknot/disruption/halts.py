"""Halts: their scope, their cause and the conditions that end them.

A halt blocks permit requests, ends unused permits, and stops releases. It never prevents an
unavailable unit from returning.
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
    """The effects that depend on a halt's cause.

    Attributes:
        holds_rollback_requests: Whether the halt also blocks permit requests of rollbacks.
        stops_rollbacks: Whether the halt also stops the rollbacks of releases.
        ends_with_budget: Whether the halt ends once its budget is within its limit again.
    """

    holds_rollback_requests: bool
    stops_rollbacks: bool
    ends_with_budget: bool


# A budget that is exceeded during a rollback must not stop it: the unavailable units may be the
# ones that have to be rolled back.
CAUSE_RULES = {
    HaltCause.OPERATOR: CauseRules(True, True, False),
    HaltCause.VOTE: CauseRules(True, True, False),
    HaltCause.BUDGET: CauseRules(False, False, True),
    HaltCause.CRASHES: CauseRules(False, False, False),
    HaltCause.GANG: CauseRules(True, True, False),
    HaltCause.REQUEST_CLASS: CauseRules(True, True, False),
}


class Halt(NamedTuple):
    """A halt in force; snapshots store the fields in this order.

    Attributes:
        number: The halt's number; later halts have higher numbers.
        selector: The units it applies to, or None if it applies to a release.
        release: The name of the release it applies to, or None.
        budget: The name of the exceeded budget usage that caused it, or None.
        cause: The kind of cause.
        reason: The reason as a sentence.
        ordered_by: Who ordered it.
        ordered_at: Agreed time of the order.
    """

    number: int
    selector: Selector | None
    release: str | None
    budget: str | None
    cause: HaltCause
    reason: str
    ordered_by: str
    ordered_at: Ticks

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "Halt":
        """Decodes a halt from a snapshot."""
        number, selector, release, budget, cause, reason, ordered_by, ordered_at = plain
        return cls(
            number, selector, release, budget, HaltCause(cause), reason, ordered_by, ordered_at
        )

    def to_plain(self) -> list[Any]:
        """Encodes the halt for a snapshot."""
        return list(self._replace(cause=self.cause.value))  # type: ignore[arg-type]  # plain text

    def describe(self) -> str:
        """Describes the halt in a sentence."""
        scope = (
            f"release {self.release}" if self.release else describe_selector(self.selector or [])
        )
        return f"halt {self.number} by {self.ordered_by} of {scope}: {self.reason}"


class Halts:
    """All halts in force.

    Attributes:
        last_number: The number of the newest halt.
        by_number: The halts by number, in the order in which they were ordered.
    """

    def __init__(self) -> None:
        self.last_number = 0
        self.by_number: dict[int, Halt] = {}

    def add(
        self,
        ordered_at: Ticks,
        cause: HaltCause,
        reason: str,
        ordered_by: str,
        *,
        selector: Selector | None = None,
        release: str | None = None,
        budget: str | None = None,
    ) -> Halt:
        """Adds a halt; replaces an earlier one with the same cause, scope, budget and origin.

        Raises:
            CommandRejectedError: Too many halts are in force.
        """
        for halt in self.by_number.values():
            if (halt.cause, halt.selector, halt.release, halt.budget, halt.ordered_by) == (
                cause,
                selector,
                release,
                budget,
                ordered_by,
            ):
                # The repeated halt gets a new number, so it also stops a rollback that was ordered
                # after the earlier one.
                del self.by_number[halt.number]
                break
        else:
            if len(self.by_number) >= MAX_HALTS:
                raise CommandRejectedError(
                    f"{MAX_HALTS} halts stand already; one of all units needs no more beside it"
                )
        self.last_number += 1
        halt = Halt(
            self.last_number, selector, release, budget, cause, reason, ordered_by, ordered_at
        )
        self.by_number[self.last_number] = halt
        return halt

    def find_halt_of_request(self, unit: "Unit", release: "Release | None") -> Halt | None:
        """Returns the first halt that blocks a unit's request, or None.

        Args:
            unit: A unit with a request.
            release: The release that made the request, or None. Halts up to its `last_known_halt`
                were known when its rollback was ordered, so they do not block the rollback.
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
        self, release: "Release", unit_labels: list[Labels], is_rollback: bool
    ) -> Halt | None:
        """Returns the first halt that stops a release with units of these labels, or None."""
        for halt in self.by_number.values():
            rules = CAUSE_RULES[halt.cause]
            if rules.ends_with_budget or (
                is_rollback
                and (not rules.stops_rollbacks or halt.number <= release.last_known_halt)
            ):
                continue
            if halt.release == release.name or (
                halt.release is None
                and any(matches(halt.selector or [], labels) for labels in unit_labels)
            ):
                return halt
        return None

    def end_halts_of_restored_budgets(self, fleet: "Fleet") -> None:
        """Ends halts whose budget was within its limit for long enough or is no longer declared."""
        expirable = [
            halt for halt in self.by_number.values() if CAUSE_RULES[halt.cause].ends_with_budget
        ]
        for halt in expirable:
            usage = fleet.usages.get(halt.budget or "")
            if usage is None or (
                usage.within_limit and fleet.at - usage.restored_at >= fleet.settings.rest
            ):
                del self.by_number[halt.number]
                fleet.capacity_freed = True

    def to_plain(self) -> list[Any]:
        """Encodes the halts for a snapshot."""
        halts = [halt.to_plain() for _, halt in sorted(self.by_number.items())]
        return [self.last_number, halts]

    def load(self, plain: list[Any]) -> None:
        """Replaces the halts by those of a snapshot."""
        self.last_number = plain[0]
        self.by_number = {halt[0]: Halt.from_plain(halt) for halt in plain[1]}
