"""The platform's counts as evidence, where an instance with little traffic sees too little."""

from collections.abc import Sequence

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.events import FleetCounts
from ..state.fleet_baseline import FleetBaseline
from .baseline import OUTCOMES_LEAST, RATE_HIGHEST
from .context import MAX_UPKEEP_INTERVAL, BuildState, DecisionContext
from .endpoint_selection import EndpointSelection
from .global_slowdown import TIMES_HIGHEST, TIMES_SLOWER, GlobalSlowdown
from .sequential_test import RATE_LEAST, SequentialTest, Symptom, weight
from .trial_evidence import WARM_ENOUGH

FAILED_COLD = 0.3  # of the attempts, that may fail in addition where all endpoints are cold
FAILED_RELEASED = 0.15  # of the attempts, after a release: half of the machines leave
PERIOD_PART = 0.6  # of the abort bound, that one period may add


class FleetEvidence:
    """The counts of a period, weighed together: a period is one piece of evidence.

    Attributes:
        rows: counts that were told and not weighed yet.
        usual: what is usual of the fleet.
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
        self.rows: list[FleetCounts] = []
        self.usual = FleetBaseline()
        self._first_row_at: Ticks = 0

    def add_counts(self, event: FleetCounts) -> None:
        """Keeps counts of a known request class that can be true."""
        if not self.rows:
            self._first_row_at = self.context.now
        if (
            event.request_class in self.context.settings.request_classes
            and event.failed <= event.attempts > 0
        ):
            self.rows.append(event)

    def upkeep(self) -> None:
        """Weighs what was told, after a while: a period's rows do not come all at once."""
        if self.rows and self.context.now >= self._first_row_at + MAX_UPKEEP_INTERVAL:
            self.weigh()

    def weigh(self) -> None:
        """Adds the counts to the tests."""
        context, rows = self.context, self.rows
        self.rows = []
        ended = context.now - rows[0].age
        self.slowdown.add_counts(rows, self.usual, self.usual.record_period(ended))
        release = context.release
        if release is None or not context.judged():
            return
        earlier = {row.request_class: row for row in rows if row.build < release.build}
        seen = sum(row.attempts for row in earlier.values())
        failed = sum(row.failed for row in earlier.values())
        warmth = self._warmth(ended - TICKS_PER_SECOND)
        on_trial = context.build_state == BuildState.ON_TRIAL
        if warmth < WARM_ENOUGH or (seen < 2 * OUTCOMES_LEAST and on_trial):
            return
        null_rate = self._null_rate(seen, failed, warmth)
        newest = [row for row in rows if row.build == release.build]
        steps = {
            Symptom.FAILED: _failure_step(newest, null_rate),
            Symptom.SLOW: _slowness_step(newest, earlier, warmth),
        }
        self.test.outcomes += sum(row.attempts for row in newest)
        for symptom, step in steps.items():
            # Of few endpoints it may all be one that is faulty.
            most = PERIOD_PART * self.test.abort_bounds[symptom] * (not context.few_endpoints())
            self.test.add_step(symptom, min(step, most))

    def _null_rate(self, seen: int, failed: int, warmth: float) -> float:
        """The part of the newest build's attempts that may fail if it is as good as the earlier.

        Cold endpoints fail more. After a release half of the machines leave, and the rest is loaded
        more for a while.

        Args:
            seen: the earlier build's attempts.
            failed: those of them that failed.
            warmth: the mean warm-up fraction at the newest build.
        """
        rate = min(
            RATE_HIGHEST,
            failed / seen if seen >= 2 * OUTCOMES_LEAST else self.selection.connection_loss_rate,
        )
        return (
            max(RATE_LEAST[Symptom.FAILED], rate)
            + FAILED_COLD * (1 - warmth)
            + FAILED_RELEASED * (self.context.build_state == BuildState.RELEASED)
        )

    def _warmth(self, at: Ticks) -> float:
        """The mean warm-up fraction at the newest build; in a crowd, new endpoints got nothing."""
        context = self.context
        crowded = context.is_large_fleet()
        fractions = [
            known.warmup_fraction(at, context.settings)
            for known in context.by_build[True]
            if known.listed.started < at or not crowded
        ]
        return sum(fraction ** (1 + crowded) for fraction in fractions) / (
            sum(fraction**crowded for fraction in fractions) or 1
        )


def _failure_step(newest: Sequence[FleetCounts], null_rate: float) -> float:
    bad = weight(Symptom.FAILED, True, null_rate)
    good = weight(Symptom.FAILED, False, null_rate)
    step = 0.0
    for row in newest:
        step += row.failed * bad + (row.attempts - row.failed) * good
    return step


def _slowness_step(
    newest: Sequence[FleetCounts], earlier: dict[str, FleetCounts], warmth: float
) -> float:
    step = 0.0
    for row in newest:
        done, base = row.attempts - row.failed, earlier.get(row.request_class)
        if base and done and base.latency and base.attempts - base.failed >= OUTCOMES_LEAST:
            count = 1 / (1 / done + 1 / (base.attempts - base.failed))
            times = min(TIMES_HIGHEST, row.latency * warmth / base.latency)
            step += count * (times - TIMES_SLOWER) / 2
    return step
