"""Evidence from the platform's counts, for instances whose own traffic is too low to decide."""

from collections.abc import Sequence

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.events import FleetCounts
from ..state.fleet_baseline import FleetBaseline
from .baseline import MAX_NULL_RATE, MIN_OUTCOMES
from .context import MAX_UPKEEP_INTERVAL, BuildState, DecisionContext
from .endpoint_selection import EndpointSelection
from .global_slowdown import MAX_LATENCY_RATIO, SLOW_LATENCY_RATIO, GlobalSlowdown
from .sequential_test import MIN_NULL_RATE, SequentialTest, Symptom, log_likelihood_ratio
from .trial_evidence import MIN_WARMUP_FRACTION

# Additional failure rate that is tolerated if all endpoints are cold.
COLD_FAILURE_ALLOWANCE = 0.3
# Additional failure rate that is tolerated after a release, when half of the machines leave.
RELEASE_FAILURE_ALLOWANCE = 0.15
MAX_RATIO_PER_PERIOD = 0.6  # maximum contribution of a period, as a ratio of the abort bound


class FleetEvidence:
    """Collects the platform's counts and adds those of a period to the tests at once.

    Attributes:
        pending: Counts that were received and not yet processed.
        fleet_baseline: The usual latency and traffic of the whole fleet.
    """

    def __init__(
        self,
        context: DecisionContext,
        test: SequentialTest,
        selection: EndpointSelection,
        slowdown: GlobalSlowdown,
    ) -> None:
        self.context = context
        self.test = test
        self.selection = selection
        self.slowdown = slowdown
        self.pending: list[FleetCounts] = []
        self.fleet_baseline = FleetBaseline()
        self._pending_since: Ticks = 0

    def add_counts(self, event: FleetCounts) -> None:
        """Keeps plausible counts of a known request class until the period is processed."""
        if not self.pending:
            self._pending_since = self.context.now
        if (
            event.request_class in self.context.settings.request_classes
            and event.failed <= event.attempts > 0
        ):
            self.pending.append(event)

    def upkeep(self) -> None:
        """Processes the pending counts after a delay, as a period's rows arrive one by one."""
        if self.pending and self.context.now >= self._pending_since + MAX_UPKEEP_INTERVAL:
            self.process_pending()

    def process_pending(self) -> None:
        """Adds the pending counts to the sequential test and to the global slowdown."""
        context, rows = self.context, self.pending
        self.pending = []
        ended = context.now - rows[0].age
        self.slowdown.add_counts(
            rows, self.fleet_baseline, self.fleet_baseline.record_period(ended)
        )
        release = context.release
        if release is None or not context.is_evaluating():
            return
        earlier = {row.request_class: row for row in rows if row.build < release.build}
        earlier_attempts = sum(row.attempts for row in earlier.values())
        earlier_failed = sum(row.failed for row in earlier.values())
        mean_warmup = self._mean_warmup_fraction(ended - TICKS_PER_SECOND)
        on_trial = context.build_state == BuildState.ON_TRIAL
        if mean_warmup < MIN_WARMUP_FRACTION or (earlier_attempts < 2 * MIN_OUTCOMES and on_trial):
            return
        null_rate = self._null_rate(earlier_attempts, earlier_failed, mean_warmup)
        newest = [row for row in rows if row.build == release.build]
        steps = {
            Symptom.FAILED: _failure_step(newest, null_rate),
            Symptom.SLOW: _slowness_step(newest, earlier, mean_warmup),
        }
        self.test.outcomes += sum(row.attempts for row in newest)
        for symptom, step in steps.items():
            # Among few endpoints a single faulty one may have caused all failures.
            max_step = (
                MAX_RATIO_PER_PERIOD
                * self.test.abort_bounds[symptom]
                * (not context.has_few_endpoints())
            )
            self.test.add_step(symptom, min(step, max_step))

    def _null_rate(self, earlier_attempts: int, earlier_failed: int, mean_warmup: float) -> float:
        """Returns the newest build's expected failure rate if it is as good as the earlier one.

        Cold endpoints fail more often. After a release half of the machines leave, so the others
        carry more load for a while.

        Args:
            earlier_attempts: The earlier build's attempts.
            earlier_failed: How many of them failed.
            mean_warmup: Mean warm-up fraction of the newest build's endpoints.
        """
        rate = min(
            MAX_NULL_RATE,
            earlier_failed / earlier_attempts
            if earlier_attempts >= 2 * MIN_OUTCOMES
            else self.selection.connection_loss_rate,
        )
        return (
            max(MIN_NULL_RATE[Symptom.FAILED], rate)
            + COLD_FAILURE_ALLOWANCE * (1 - mean_warmup)
            + RELEASE_FAILURE_ALLOWANCE * (self.context.build_state == BuildState.RELEASED)
        )

    def _mean_warmup_fraction(self, at: Ticks) -> float:
        """Returns the mean warm-up fraction of the newest build's endpoints at a moment.

        In a large fleet each endpoint weighs as much as its warm-up fraction, and endpoints that
        started later do not count: they had no traffic.
        """
        context = self.context
        large_fleet = context.is_large_fleet()
        fractions = [
            endpoint.warmup_fraction(at, context.settings)
            for endpoint in context.by_build[True]
            if endpoint.listed.started < at or not large_fleet
        ]
        return sum(fraction ** (1 + large_fleet) for fraction in fractions) / (
            sum(fraction**large_fleet for fraction in fractions) or 1
        )


def _failure_step(newest: Sequence[FleetCounts], null_rate: float) -> float:
    """Returns the log likelihood ratio of the newest build's failures and successes."""
    failure_weight = log_likelihood_ratio(Symptom.FAILED, True, null_rate)
    success_weight = log_likelihood_ratio(Symptom.FAILED, False, null_rate)
    step = 0.0
    for row in newest:
        step += row.failed * failure_weight + (row.attempts - row.failed) * success_weight
    return step


def _slowness_step(
    newest: Sequence[FleetCounts], earlier: dict[str, FleetCounts], mean_warmup: float
) -> float:
    """Returns the evidence from the mean latencies of request classes that both builds serve."""
    step = 0.0
    for row in newest:
        successes, earlier_row = row.attempts - row.failed, earlier.get(row.request_class)
        if (
            earlier_row
            and successes
            and earlier_row.latency
            and earlier_row.attempts - earlier_row.failed >= MIN_OUTCOMES
        ):
            weight = 1 / (1 / successes + 1 / (earlier_row.attempts - earlier_row.failed))
            latency_ratio = min(MAX_LATENCY_RATIO, row.latency * mean_warmup / earlier_row.latency)
            step += weight * (latency_ratio - SLOW_LATENCY_RATIO) / 2
    return step
