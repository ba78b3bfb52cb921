"""Slowness of all endpoints since the offer: a build can slow the earlier one as well."""

from collections.abc import Sequence

from ..interface.clock import Ticks
from ..interface.enums import Outcome
from ..interface.events import FleetCounts
from ..state.fleet_baseline import FleetBaseline
from .baseline import BUSIER, OUTCOMES_MATURE, Baseline
from .context import BuildState, DecisionContext
from .sequential_test import Symptom
from .traffic_split import TrafficSplit

TIMES_SLOWER = 1.5  # times the usual response time, from which a mean of many counts as slow
TIMES_HIGHEST = 3.0  # times the usual that one outcome or period counts for
MARGIN = 1.3  # times the usual response time that may pass as chance
BLAMED_FROM = 0.15  # of the keys at the newest build, below which it can't have slowed all
LEARNING_GAIN = 0.25  # what a period counts for in what is usual, at the least
USUALLY_REJECTED = 0.05  # of the requests: where so many were, a rejection says nothing
LOWEST_PART = 0.5  # of the bound at which the sum rests, and below which all is well again
HIGHEST_PART = 1.5  # of the bound, so that the end of it is soon noticed


class GlobalSlowdown:
    """The evidence that all endpoints are slower than before the offer.

    Attributes:
        evidence: its sum; above the test's bound for slowness all are slow.
        since: since when all are slow; None if they are not.
    """

    def __init__(self, context: DecisionContext, baseline: Baseline, split: TrafficSplit) -> None:
        self.context = context
        self.baseline = baseline
        self.split = split
        self.evidence = 0.0
        self.since: Ticks | None = None

    def restart(self) -> None:
        """Forgets everything: another release."""
        self.evidence = 0.0
        self.since = None

    def add_outcome(self, cell: tuple[str, str], outcome: Outcome, latency: Ticks) -> None:
        """Takes in an outcome at a warm endpoint, of any build.

        Args:
            cell: its request class and kind of machine.
            outcome: how the attempt ended.
            latency: its response time.
        """
        before = self.baseline.before_offer
        mark = before.marks.get(cell) if before else None
        if mark is None:
            return
        _, seen, mean = mark
        if seen >= OUTCOMES_MATURE:
            self._add_time(outcome, latency, mean, self.baseline.busier())

    def add_rejection(self) -> None:
        """Takes in a rejected request: rejections would hide slowness of all."""
        before, busier = self.baseline.before_offer, self.baseline.busier()
        if before is not None and before.rejected_part <= USUALLY_REJECTED and busier <= BUSIER:
            self._add_time(Outcome.TIMED_OUT, 0, 1, busier)

    def _add_time(self, outcome: Outcome, latency: Ticks, mean: float, busier: float) -> None:
        excused = busier**2 if busier > BUSIER else 1
        times = TIMES_HIGHEST
        if outcome != Outcome.TIMED_OUT:
            times = min(TIMES_HIGHEST, latency / mean / excused)
        self._add(times - MARGIN, self.context.now)

    def add_counts(self, rows: Sequence[FleetCounts], usual: FleetBaseline, began: Ticks) -> None:
        """Takes in the platform's counts: in a crowd each instance sees too little of all.

        Args:
            rows: the counts of a period.
            usual: what is usual of the fleet; it learns from the counts.
            began: when the period began.
        """
        context = self.context
        # After a release half of the machines have left.
        released = context.build_state == BuildState.RELEASED
        margin = TIMES_SLOWER if released else MARGIN
        step = sum(
            count * (min(TIMES_HIGHEST, times / max(1.0, traffic) ** 2) - margin)
            for count, times, traffic in usual.compare(rows)
        )
        if (
            usual.outcomes >= OUTCOMES_MATURE
            and context.judged()
            and self.split.fraction >= BLAMED_FROM
        ):
            if context.by_votes and context.is_large_fleet():
                self._add(step, began)
            if step > 0:
                return
        usual.update(rows, LEARNING_GAIN)

    def _add(self, step: float, since: Ticks) -> None:
        bound = self.baseline.test.abort_bounds[Symptom.SLOW]
        self.evidence = max(-bound * LOWEST_PART, min(HIGHEST_PART * bound, self.evidence + step))
        if self.evidence < bound * LOWEST_PART:
            self.since = None
        elif self.evidence > bound and (self.since is None or self.split.fraction < BLAMED_FROM):
            self.since = since
