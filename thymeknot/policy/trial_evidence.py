"""What the end of an attempt says of the newest build."""

from collections import Counter
from enum import StrEnum

from ..interface.clock import Ticks
from ..interface.enums import Outcome, ReleasePhase
from ..interface.events import ComplaintReceived
from ..state.endpoint_state import EndpointState
from ..state.request_state import RequestState
from .baseline import BUSIER, MARK_UNKNOWN, Baseline, LatencyMark, lost_on_the_way
from .context import FEW_ENDPOINTS_LOW_RATE, DecisionContext
from .global_slowdown import GlobalSlowdown
from .sequential_test import SequentialTest, Symptom
from .traffic_split import MAX_REMEMBERED_KEYS, TrafficSplit

WARM_ENOUGH = 0.75  # of its capacity, from which an endpoint's response time says something

NOT_JUDGED = frozenset((Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT))
"""Outcomes that say nothing of a build."""


class Exclusion(StrEnum):
    """Why an outcome of the newest build is no evidence."""

    NOT_JUDGED = "not_judged"
    COLD_TIMEOUT = "cold_timeout"
    """A time-out of a cold endpoint, or one that nothing of the earlier build compares with."""
    LOST = "lost"
    """Lost on the way, which is not known to be sound."""
    FAILING_KEY = "failing_key"
    """Its key has failed there before."""


class TrialEvidence:
    """Books outcomes with the baseline, the sequential test and the slowness of all.

    Attributes:
        attempts: ended attempts to the newest build, for the log.
        failed: those of them that failed and are evidence.
        excluded: those of them that are no evidence, by reason.
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
        self._build: int | None = None  # whose outcomes are counted

    def reset_for_build(self, build: int) -> None:
        """Counts anew where another build is the newest."""
        if build != self._build:
            self._build = build
            self.attempts = self.failed = 0
            self.excluded.clear()

    def add_outcome(
        self, request: RequestState, known: EndpointState, outcome: Outcome, latency: Ticks
    ) -> None:
        """Takes in the end of an attempt at an endpoint of any build."""
        context = self.context
        release = context.release
        if release is None:
            return
        on_newest = known.listed.build == release.build
        if on_newest:
            self.reset_for_build(release.build)
            self.attempts += 1
        if outcome in NOT_JUDGED:
            self.excluded[Exclusion.NOT_JUDGED] += on_newest
            return
        fraction, build = known.warmup_fraction(context.now, context.settings), known.listed.build
        cell = request.request_class.name, known.listed.machine
        mark = self.baseline.marks.get(cell)
        if mark is None:
            mark = LatencyMark(MARK_UNKNOWN * latency, 0, max(1, latency))
        slow = outcome == Outcome.TIMED_OUT or (
            outcome == Outcome.DONE and latency * fraction > mark.slow_above
        )
        judged = context.judged()
        if judged and fraction == 1.0:
            self.slowdown.add_outcome(cell, outcome, latency)
        if build < release.build or not judged:
            self.baseline.learn(cell, mark, outcome, latency, slow=slow, warm=fraction == 1.0)
        elif build == release.build:
            compared = self.baseline.compare() and release.phase == ReleasePhase.ON_TRIAL
            excluded = self._exclusion(request.key, outcome, fraction, compared)
            if excluded is not None:
                self.excluded[excluded] += 1
            else:
                self._add(request.key, known, outcome)
                # A build may be slow and never fail. In a burst an endpoint's response time hangs
                # on the load more than on the build.
                if (
                    compared
                    and mark.seen
                    and fraction >= WARM_ENOUGH
                    and self.baseline.busier() <= BUSIER
                ):
                    self.test.add(Symptom.SLOW, slow, known.listed)

    def _exclusion(
        self, key: str, outcome: Outcome, fraction: float, compared: bool
    ) -> Exclusion | None:
        """Why the outcome proves nothing of the newest build; None if it does.

        A cold endpoint's time-outs do not, nor does what is lost on the way where the earlier
        build does not show that sound. One key that fails again and again is one failure.
        """
        if outcome == Outcome.TIMED_OUT and (fraction < 1.0 or not compared):
            return Exclusion.COLD_TIMEOUT
        if lost_on_the_way(outcome) and not (compared and self.baseline.way_is_sound()):
            return Exclusion.LOST
        if outcome != Outcome.DONE and key in self.split.failing_keys:
            return Exclusion.FAILING_KEY
        return None

    def _add(self, key: str, known: EndpointState, outcome: Outcome) -> None:
        """Books whether the attempt failed."""
        context, failed = self.context, outcome != Outcome.DONE
        if failed and len(self.split.failing_keys) < MAX_REMEMBERED_KEYS:
            self.split.failing_keys.add(key)
        self.test.outcomes += 1
        self.failed += failed
        unbounded = (
            outcome in (Outcome.DONE, Outcome.ERROR)
            and len(context.by_build[True]) <= FEW_ENDPOINTS_LOW_RATE
            and not context.few_endpoints()
        )
        self.test.add(Symptom.FAILED, failed, None if unbounded else known.listed)

    def add_complaint(self, event: ComplaintReceived) -> None:
        """A client found an answer wrong: what was booked as a success is a failure."""
        known = self.context.endpoints.get(event.endpoint)
        if known and known.on_newest_build and self.context.judged():
            self.test.add(Symptom.FAILED, True)
