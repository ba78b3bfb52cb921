"""Wald's sequential probability ratio test of the newest build against the earlier one.

Each outcome adds a log likelihood ratio to the sum of a symptom: above its bound the build is taken
for worse, below the other bound for as good. Source: A. Wald, Sequential Tests of Statistical
Hypotheses, 1945.
"""

from enum import StrEnum
from math import inf, log

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.events import Endpoint
from ..interface.settings import Settings
from .context import (
    FEW_ENDPOINTS_HIGH_RATE,
    HIGH_RATE,
    TRAFFIC_WINDOW_SECONDS,
    DecisionContext,
)


class Symptom(StrEnum):
    """What is tested."""

    FAILED = "failed"
    SLOW = "slow"


WORSE_FAILED = 5.0  # times the earlier build's rate of failures that the test is to find
WORSE_SLOW = 5.0  # times the earlier build's rate of slow responses that the test is to find
FAILED_RATE_LEAST = 0.01  # of outcomes; an earlier build without a failure is no better than that
SLOW_RATE_LEAST = 0.1  # of outcomes; by the quantile that marks a slow one
FALSE_ABORT = 0.05  # the allowed probability that a good build is aborted
FALSE_PROMOTION = 0.2  # the allowed probability that a bad build passes the test
SLOW_STRICTER = 10  # times the odds that slowness must reach: it says less than a failure
TOGETHER_PART = 0.7  # of the error that several votes together may make (bound of Poisson's tail)
PROMOTE_BOUND = log(FALSE_PROMOTION / (1 - FALSE_ABORT))
SLOW_REST = 3  # times the bound for promotion at which the sum of slowness rests
PAUSE_PART = 0.5  # of the abort bound, above which a build is held where it is
SECOND_FAILED_ONE_VOTE = 0.75  # of the bound, that a second may add where one vote acts
SECOND_FAILED = 9.0  # and where several votes must agree
SECOND_SLOW = 0.5  # of the bound, that a second's slowness may add
ENDPOINT_FAILED = 0.55  # of the bound, that one endpoint may add: never the whole
ENDPOINT_SLOW = 0.45
ZONE_PART = 0.9  # of the bound, that one zone of several may add

WORSE = {Symptom.FAILED: WORSE_FAILED, Symptom.SLOW: WORSE_SLOW}
RATE_LEAST = {Symptom.FAILED: FAILED_RATE_LEAST, Symptom.SLOW: SLOW_RATE_LEAST}
ENDPOINT_PART = {Symptom.FAILED: ENDPOINT_FAILED, Symptom.SLOW: ENDPOINT_SLOW}
SECOND_PART = {
    (Symptom.FAILED, True): SECOND_FAILED_ONE_VOTE,
    (Symptom.FAILED, False): SECOND_FAILED,
    (Symptom.SLOW, True): SECOND_SLOW,
    (Symptom.SLOW, False): SECOND_SLOW,
}
"""By symptom, and whether one vote aborts a release."""


class SequentialTest:
    """The test's sums since the offer (failures) or since the stage began (slowness).

    Attributes:
        null_rates: the earlier build's rates.
        abort_bounds: by symptom, where a build is taken for worse.
        bounds: the same, raised where a sum at rest has many chances.
        sums: by symptom, the log likelihood ratios.
        sums_without_worst: the same without the endpoint that adds most, where few serve.
        evidence_ratio: the greatest of these sums, of its bound; above 1 the build is worse.
        clear_since: since when the doubt does not hold the build.
        outcomes: outcomes in this stage.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.null_rates = dict(RATE_LEAST)
        self.abort_bounds = abort_bounds(context.settings)
        self.bounds = dict(self.abort_bounds)
        self.sums: dict[Symptom, float] = {}
        self.sums_without_worst = self.sums
        self.evidence_ratio = 0.0
        self.clear_since: Ticks = context.now
        self.outcomes = 0
        self._by_endpoint: dict[tuple[Symptom, str], float] = {}
        self._by_zone: dict[tuple[Symptom, str], float] = {}
        self._left_of_second: dict[Symptom, tuple[Ticks, float]] = {}

    def restart(self) -> None:
        """Forgets everything: another release."""
        self.sums = {}
        self._by_endpoint = {}
        self._by_zone = {}

    def next_stage(self) -> None:
        """Keeps failures, or an instance with little traffic never sees enough.

        Slowness starts anew: each stage's endpoints are cold.
        """
        self.clear_since = self.context.now
        failed = max(0.0, self.sums.get(Symptom.FAILED, 0.0))
        self.sums = self.sums_without_worst = {Symptom.FAILED: failed, Symptom.SLOW: 0.0}
        self._by_endpoint = _of_failures(self._by_endpoint)
        self._by_zone = _of_failures(self._by_zone)
        self.outcomes = 0
        self.evidence_ratio = 0.0
        self._left_of_second = {}

    def add(self, symptom: Symptom, bad: bool, endpoint: Endpoint | None = None) -> None:
        """Adds an outcome.

        Args:
            symptom: what is tested.
            bad: whether the outcome shows it.
            endpoint: bounds what it, its zone and a second add; None does not.
        """
        step = weight(symptom, bad, self.null_rates[symptom])
        if endpoint is not None:
            step = self._bounded(symptom, step, endpoint)
        self.add_step(symptom, step)

    def _bounded(self, symptom: Symptom, step: float, endpoint: Endpoint) -> float:
        """The part of the step that this endpoint, its zone and this second may add."""
        abort_bound = self.abort_bounds[symptom]
        of_endpoint = symptom, endpoint.address
        of_zone = symptom, endpoint.zone
        had = self._by_endpoint.get(of_endpoint, 0.0)
        bound = ENDPOINT_PART[symptom] * abort_bound
        second = self.context.now // TICKS_PER_SECOND
        last, left = self._left_of_second.get(symptom, (-1, 0.0))
        if last != second:
            one_vote = self.context.settings.votes_to_revert == 1
            left = SECOND_PART[symptom, one_vote] * abort_bound
        zone_had = self._by_zone.get(of_zone, 0.0)
        several = self.context.zones > 1 and not self.context.few_endpoints()
        zone_bound = self.bounds[symptom] * (ZONE_PART if several else inf)
        step = max(min(step, bound - had, left, max(0.0, zone_bound - zone_had)), -bound - had)
        self._by_endpoint[of_endpoint] = had + step
        self._by_zone[of_zone] = max(-zone_bound, zone_had + step)
        self._left_of_second[symptom] = second, left - max(0.0, step)
        return step

    def add_step(self, symptom: Symptom, step: float) -> None:
        """Adds a log likelihood ratio to the sum of a symptom."""
        context = self.context
        # The sum rests near the bound for promotion: a build that turns bad late must not have to
        # make up for its past.
        rest = PROMOTE_BOUND * (SLOW_REST if symptom == Symptom.SLOW else 1)
        self.sums[symptom] = max(rest, self.sums[symptom] + step)
        # Of few endpoints a faulty one would be taken for its build: who sees enough waits for a
        # second faulty one, where all instances wait.
        worst = 0.0
        if context.few_endpoints():
            for (of, _), had in self._by_endpoint.items():
                worst = max(worst, had) if of == Symptom.FAILED else worst
        self.sums_without_worst = {
            **self.sums,
            Symptom.FAILED: self.sums[Symptom.FAILED] - worst,
        }
        # A sum at rest tries anew with each chance failure: the more of them, the higher the bound.
        seen = context.arrivals.total(context.now)
        many = (
            context.by_votes
            and len(context.by_build[True]) > FEW_ENDPOINTS_HIGH_RATE
            and seen >= TRAFFIC_WINDOW_SECONDS * HIGH_RATE
        )
        self.bounds[Symptom.FAILED] = self.abort_bounds[Symptom.FAILED] + log(
            max(1, many * self.null_rates[Symptom.FAILED] * seen)
        )
        self.evidence_ratio = max(
            self.sums_without_worst[symptom] / bound for symptom, bound in self.bounds.items()
        )
        if self.evidence_ratio > PAUSE_PART:
            self.clear_since = context.now


def _of_failures(parts: dict[tuple[Symptom, str], float]) -> dict[tuple[Symptom, str], float]:
    return {key: part for key, part in parts.items() if key[0] == Symptom.FAILED}


def weight(symptom: Symptom, bad: bool, null_rate: float) -> float:
    """The log likelihood ratio of an outcome.

    Args:
        symptom: what is tested.
        bad: whether the outcome shows it.
        null_rate: the rate of such outcomes if the build is as good as the earlier one.
    """
    worse_rate = min(WORSE[symptom] * null_rate, (1 + null_rate) / 2)
    return log(worse_rate / null_rate) if bad else log((1 - worse_rate) / (1 - null_rate))


def abort_bounds(settings: Settings) -> dict[Symptom, float]:
    """The bounds above which a build is taken for worse.

    All instances share the allowed error; where many must err together, each may err more.
    """
    needed = settings.votes_to_revert
    together = needed * (
        FALSE_ABORT if needed == 1 else TOGETHER_PART * FALSE_ABORT ** (1 / needed)
    )
    odds = (1 - FALSE_PROMOTION) / min(FALSE_ABORT, together / settings.instances)
    return {Symptom.FAILED: log(odds), Symptom.SLOW: log(odds * SLOW_STRICTER)}
