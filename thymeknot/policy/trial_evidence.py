"""What the end of an attempt says of the newest build."""

from ..interface.clock import Ticks
from ..interface.enums import Outcome, ReleasePhase
from ..interface.events import ComplaintReceived
from ..state.endpoint_state import EndpointState
from ..state.request_state import RequestState
from .baseline import BUSIER, MARK_UNKNOWN, Baseline, LatencyMark, lost_on_the_way
from .context import FEW_ENDPOINTS_LOW_RATE, DecisionContext
from .global_slowdown import GlobalSlowdown
from .sequential_test import SequentialTest, Symptom
from .traffic_split import KEYS_MOST, TrafficSplit

WARM_ENOUGH = 0.75  # of its capacity, from which an endpoint's response time says something

NOT_JUDGED = frozenset((Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT))
"""Outcomes that say nothing of a build."""


class TrialEvidence:
    """Books outcomes with the baseline, the sequential test and the slowness of all."""

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

    def add_outcome(
        self, request: RequestState, known: EndpointState, outcome: Outcome, latency: Ticks
    ) -> None:
        """Takes in the end of an attempt at an endpoint of any build."""
        context = self.context
        release = context.release
        if release is None or outcome in NOT_JUDGED:
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
            if self._says_something(request.key, outcome, fraction, compared):
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

    def _says_something(self, key: str, outcome: Outcome, fraction: float, compared: bool) -> bool:
        """Whether the outcome proves anything of the newest build.

        A cold endpoint's time-outs do not, nor does what is lost on the way where the earlier
        build does not show that sound. One key that fails again and again is one failure.
        """
        if outcome == Outcome.TIMED_OUT and (fraction < 1.0 or not compared):
            return False
        if lost_on_the_way(outcome) and not (compared and self.baseline.way_is_sound()):
            return False
        return outcome == Outcome.DONE or key not in self.split.failing_keys

    def _add(self, key: str, known: EndpointState, outcome: Outcome) -> None:
        """Books whether the attempt failed."""
        context, failed = self.context, outcome != Outcome.DONE
        if failed and len(self.split.failing_keys) < KEYS_MOST:
            self.split.failing_keys.add(key)
        self.test.seen += 1
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
