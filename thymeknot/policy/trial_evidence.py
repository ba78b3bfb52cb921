"""Turns the ends of attempts into evidence for or against the newest build."""

from collections import Counter
from enum import StrEnum

from ..interface.clock import Ticks
from ..interface.enums import Outcome, ReleasePhase
from ..interface.events import ComplaintReceived
from ..state.endpoint_state import EndpointState
from ..state.key_hash import table_key
from ..state.request_state import RequestState
from .baseline import (
    HIGH_TRAFFIC_RATIO,
    INITIAL_THRESHOLD_RATIO,
    Baseline,
    LatencyStats,
    is_network_loss,
)
from .context import FEW_ENDPOINTS_LOW_RATE, DecisionContext
from .global_slowdown import GlobalSlowdown
from .sequential_test import SequentialTest, Symptom
from .sticky_keys import MAX_REMEMBERED_KEYS
from .traffic_split import TrafficSplit

# Minimum fraction of its capacity at which an endpoint's latency counts as evidence.
MIN_WARMUP_FRACTION = 0.75

NEUTRAL_OUTCOMES = frozenset((Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT))
"""Outcomes that do not count as evidence about a build."""


class Exclusion(StrEnum):
    """Why an outcome of the newest build does not count as evidence."""

    NEUTRAL_OUTCOME = "not_judged"
    COLD_TIMEOUT = "cold_timeout"
    """A timeout of a cold endpoint, or without recent outcomes of the earlier build to compare."""
    NETWORK_LOSS = "lost"
    """Lost in the network, which is not known to be reliable."""
    FAILING_KEY = "failing_key"
    """Requests with the same key have failed on the newest build before."""


class TrialEvidence:
    """Passes outcomes on to the baseline, the sequential test and the global slowdown.

    Attributes:
        attempts: Attempts to the newest build that ended, for the log.
        failed: How many of them failed and count as evidence.
        excluded: How many of them do not count as evidence, by reason.
    """

    def __init__(
        self,
        context: DecisionContext,
        test: SequentialTest,
        baseline: Baseline,
        split: TrafficSplit,
        slowdown: GlobalSlowdown,
    ) -> None:
        self.context = context
        self.test = test
        self.baseline = baseline
        self.split = split
        self.slowdown = slowdown
        self.attempts = 0
        self.failed = 0
        self.excluded: Counter[Exclusion] = Counter()
        # The build that the three counts above refer to.
        self._counted_build: int | None = None

    def reset_for_build(self, build: int) -> None:
        """Resets the counts if another build has become the newest."""
        if build != self._counted_build:
            self._counted_build = build
            self.attempts = self.failed = 0
            self.excluded.clear()

    def add_outcome(
        self, request: RequestState, endpoint: EndpointState, outcome: Outcome, latency: Ticks
    ) -> None:
        """Adds the end of an attempt at an endpoint of any build."""
        context = self.context
        release = context.release
        if release is None:
            return
        on_newest = endpoint.listed.build == release.build
        if on_newest:
            self.reset_for_build(release.build)
            self.attempts += 1
        if outcome in NEUTRAL_OUTCOMES:
            self.excluded[Exclusion.NEUTRAL_OUTCOME] += on_newest
            return
        warmup_fraction, build = (
            endpoint.warmup_fraction(context.now, context.settings),
            endpoint.listed.build,
        )
        latency_key = request.request_class.name, endpoint.listed.machine
        stats = self.baseline.latency_stats.get(latency_key)
        if stats is None:
            stats = LatencyStats(INITIAL_THRESHOLD_RATIO * latency, 0, max(1, latency))
        slow = outcome == Outcome.TIMED_OUT or (
            outcome == Outcome.DONE and latency * warmup_fraction > stats.slow_threshold
        )
        evaluating = context.is_evaluating()
        if evaluating and warmup_fraction == 1.0:
            self.slowdown.add_outcome(latency_key, outcome, latency)
        if build < release.build or not evaluating:
            self.baseline.add_outcome(
                latency_key, stats, outcome, latency, slow=slow, warm=warmup_fraction == 1.0
            )
        elif build == release.build:
            comparable = (
                self.baseline.update_null_rates() and release.phase == ReleasePhase.ON_TRIAL
            )
            excluded = self._exclusion(request.key, outcome, warmup_fraction, comparable)
            if excluded is not None:
                self.excluded[excluded] += 1
            else:
                self._add_result(request.key, endpoint, outcome)
                # A build may be slow without failing. During a burst, latency depends on the load
                # more than on the build.
                if (
                    comparable
                    and stats.outcomes
                    and warmup_fraction >= MIN_WARMUP_FRACTION
                    and self.baseline.traffic_ratio() <= HIGH_TRAFFIC_RATIO
                ):
                    self.test.add(Symptom.SLOW, slow, endpoint.listed)

    def _exclusion(
        self, key: str, outcome: Outcome, warmup_fraction: float, comparable: bool
    ) -> Exclusion | None:
        """Returns why the outcome is not evidence about the newest build; None if it is.

        Timeouts of cold endpoints are excluded, and network losses unless the earlier build shows
        that the network is reliable. A key that fails repeatedly counts as one failure.
        """
        if outcome == Outcome.TIMED_OUT and (warmup_fraction < 1.0 or not comparable):
            return Exclusion.COLD_TIMEOUT
        if is_network_loss(outcome) and not (comparable and self.baseline.network_is_reliable()):
            return Exclusion.NETWORK_LOSS
        if outcome != Outcome.DONE and table_key(key) in self.split.failing_keys:
            return Exclusion.FAILING_KEY
        return None

    def _add_result(self, key: str, endpoint: EndpointState, outcome: Outcome) -> None:
        """Adds the success or failure of an attempt to the sequential test."""
        context, failed = self.context, outcome != Outcome.DONE
        if failed and len(self.split.failing_keys) < MAX_REMEMBERED_KEYS:
            self.split.failing_keys.add(table_key(key))
        self.test.outcomes += 1
        self.failed += failed
        uncapped = (
            outcome in (Outcome.DONE, Outcome.ERROR)
            and len(context.by_build[True]) <= FEW_ENDPOINTS_LOW_RATE
            and not context.has_few_endpoints()
        )
        self.test.add(Symptom.FAILED, failed, None if uncapped else endpoint.listed)

    def add_complaint(self, event: ComplaintReceived) -> None:
        """Adds a failure for a response that a client found wrong after it counted as good."""
        endpoint = self.context.endpoints.get(event.endpoint)
        if endpoint and endpoint.on_newest_build and self.context.is_evaluating():
            self.test.add(Symptom.FAILED, True)
