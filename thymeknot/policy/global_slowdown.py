"""Detects a slowdown of all endpoints since the trial began.

A build on trial can slow down the earlier build as well.
"""

from collections.abc import Sequence

from ..interface.clock import Ticks
from ..interface.enums import Outcome
from ..interface.events import FleetCounts
from ..state.fleet_baseline import FleetBaseline
from .baseline import HIGH_TRAFFIC_RATIO, RELIABLE_OUTCOMES, Baseline
from .context import BuildState, DecisionContext
from .sequential_test import Symptom
from .traffic_split import TrafficSplit

SLOW_LATENCY_RATIO = 1.5  # multiple of the usual latency above which a mean of many is slow
MAX_LATENCY_RATIO = 3.0  # an outcome or a period counts as at most this multiple
CHANCE_LATENCY_RATIO = 1.3  # multiple of the usual latency that may be due to chance
# Below this fraction of the keys the newest build cannot have slowed down all endpoints.
MIN_BLAMED_FRACTION = 0.15
MIN_LEARNING_GAIN = 0.25  # minimum weight of a period in the fleet's baseline
# If a larger fraction was rejected before the trial, rejections do not count as evidence.
MAX_USUAL_REJECTED_FRACTION = 0.05
# Ratio of the abort bound below which the slowdown is over; its negative is the sum's floor.
EVIDENCE_FLOOR_RATIO = 0.5
# Ceiling of the sum as a ratio of the abort bound, so that the end is noticed soon.
EVIDENCE_CEILING_RATIO = 1.5


class GlobalSlowdown:
    """Sums the evidence that all endpoints are slower than before the trial.

    Attributes:
        evidence: The sum; above the test's abort bound for slowness, all endpoints are slow.
        since: When the slowdown began; None if there is none.
    """

    def __init__(self, context: DecisionContext, baseline: Baseline, split: TrafficSplit) -> None:
        self.context = context
        self.baseline = baseline
        self.split = split
        self.evidence = 0.0
        self.since: Ticks | None = None

    def reset(self) -> None:
        """Discards the evidence, for another release."""
        self.evidence = 0.0
        self.since = None

    def add_outcome(self, latency_key: tuple[str, str], outcome: Outcome, latency: Ticks) -> None:
        """Adds an outcome at a warm endpoint of any build.

        Args:
            latency_key: Request class and machine type of the attempt.
            outcome: How the attempt ended.
            latency: Latency of the attempt, in ticks.
        """
        pre_trial = self.baseline.pre_trial
        stats = pre_trial.latency_stats.get(latency_key) if pre_trial else None
        if stats is None:
            return
        _, outcomes, mean = stats
        if outcomes >= RELIABLE_OUTCOMES:
            self._add_latency(outcome, latency, mean, self.baseline.traffic_ratio())

    def add_rejection(self) -> None:
        """Adds a rejected request as a timeout: load shedding would otherwise hide a slowdown."""
        pre_trial, traffic_ratio = self.baseline.pre_trial, self.baseline.traffic_ratio()
        if (
            pre_trial is not None
            and pre_trial.rejected_fraction <= MAX_USUAL_REJECTED_FRACTION
            and traffic_ratio <= HIGH_TRAFFIC_RATIO
        ):
            self._add_latency(Outcome.TIMED_OUT, 0, 1, traffic_ratio)

    def _add_latency(
        self, outcome: Outcome, latency: Ticks, mean: float, traffic_ratio: float
    ) -> None:
        """Adds a latency relative to the usual one; high traffic explains its square."""
        expected_ratio = traffic_ratio**2 if traffic_ratio > HIGH_TRAFFIC_RATIO else 1
        ratio = MAX_LATENCY_RATIO
        if outcome != Outcome.TIMED_OUT:
            ratio = min(MAX_LATENCY_RATIO, latency / mean / expected_ratio)
        self._add_evidence(ratio - CHANCE_LATENCY_RATIO, self.context.now)

    def add_counts(
        self, rows: Sequence[FleetCounts], fleet_baseline: FleetBaseline, period_start: Ticks
    ) -> None:
        """Adds the platform's counts: in a large fleet each instance has too little traffic.

        Args:
            rows: The counts of a period.
            fleet_baseline: The usual latency and traffic of the fleet; it learns from the counts
                unless they are evidence of a slowdown.
            period_start: When the period began.
        """
        context = self.context
        # After a release half of the machines have left, so more slowness is tolerated.
        is_released = context.build_state == BuildState.RELEASED
        margin = SLOW_LATENCY_RATIO if is_released else CHANCE_LATENCY_RATIO
        step = sum(
            outcomes * (min(MAX_LATENCY_RATIO, ratio / max(1.0, traffic) ** 2) - margin)
            for outcomes, ratio, traffic in fleet_baseline.compare(rows)
        )
        if (
            fleet_baseline.outcomes >= RELIABLE_OUTCOMES
            and context.is_evaluating()
            and self.split.fraction >= MIN_BLAMED_FRACTION
        ):
            if context.promoted_by_votes and context.is_large_fleet():
                self._add_evidence(step, period_start)
            if step > 0:
                return
        fleet_baseline.update(rows, MIN_LEARNING_GAIN)

    def _add_evidence(self, step: float, since: Ticks) -> None:
        """Adds to the sum and updates when the slowdown began.

        While the newest build has too few keys to be blamed, the start moves along, so that the
        tolerated time begins only when it has enough.
        """
        bound = self.baseline.test.abort_bounds[Symptom.SLOW]
        self.evidence = max(
            -bound * EVIDENCE_FLOOR_RATIO, min(EVIDENCE_CEILING_RATIO * bound, self.evidence + step)
        )
        if self.evidence < bound * EVIDENCE_FLOOR_RATIO:
            self.since = None
        elif self.evidence > bound and (
            self.since is None or self.split.fraction < MIN_BLAMED_FRACTION
        ):
            self.since = since
