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
    HIGH_REQUEST_RATE,
    TRAFFIC_WINDOW_SECONDS,
    DecisionContext,
)


class Symptom(StrEnum):
    """What is tested."""

    FAILED = "failed"
    SLOW = "slow"


ALTERNATIVE_FAILED_RATIO = (
    5.0  # times the earlier build's rate of failures that the test is to find
)
ALTERNATIVE_SLOW_RATIO = (
    5.0  # times the earlier build's rate of slow responses that the test is to find
)
MIN_FAILED_RATE = 0.01  # of outcomes; an earlier build without a failure is no better than that
MIN_SLOW_RATE = 0.1  # of outcomes; by the quantile that marks a slow one
FALSE_ABORT_PROBABILITY = 0.05  # the allowed probability that a good build is aborted
FALSE_PROMOTION_PROBABILITY = 0.2  # the allowed probability that a bad build passes the test
SLOW_ODDS_FACTOR = 10  # times the odds that slowness must reach: it says less than a failure
JOINT_ERROR_FACTOR = (
    0.7  # of the error that several votes together may make (bound of Poisson's tail)
)
PROMOTE_BOUND = log(FALSE_PROMOTION_PROBABILITY / (1 - FALSE_ABORT_PROBABILITY))
SLOW_FLOOR_FACTOR = 3  # times the bound for promotion at which the sum of slowness rests
PAUSE_RATIO = 0.5  # of the abort bound, above which a build is held where it is
MAX_FAILED_RATIO_PER_SECOND_ONE_VOTE = (
    0.75  # of the bound, that a second may add where one vote acts
)
MAX_FAILED_RATIO_PER_SECOND = 9.0  # and where several votes must agree
MAX_SLOW_RATIO_PER_SECOND = 0.5  # of the bound, that a second's slowness may add
MAX_FAILED_RATIO_PER_ENDPOINT = 0.55  # of the bound, that one endpoint may add: never the whole
MAX_SLOW_RATIO_PER_ENDPOINT = 0.45
MAX_RATIO_PER_ZONE = 0.9  # of the bound, that one zone of several may add

ALTERNATIVE_RATIO = {Symptom.FAILED: ALTERNATIVE_FAILED_RATIO, Symptom.SLOW: ALTERNATIVE_SLOW_RATIO}
MIN_NULL_RATE = {Symptom.FAILED: MIN_FAILED_RATE, Symptom.SLOW: MIN_SLOW_RATE}
MAX_RATIO_PER_ENDPOINT = {
    Symptom.FAILED: MAX_FAILED_RATIO_PER_ENDPOINT,
    Symptom.SLOW: MAX_SLOW_RATIO_PER_ENDPOINT,
}
MAX_RATIO_PER_SECOND = {
    (Symptom.FAILED, True): MAX_FAILED_RATIO_PER_SECOND_ONE_VOTE,
    (Symptom.FAILED, False): MAX_FAILED_RATIO_PER_SECOND,
    (Symptom.SLOW, True): MAX_SLOW_RATIO_PER_SECOND,
    (Symptom.SLOW, False): MAX_SLOW_RATIO_PER_SECOND,
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
        self.null_rates = dict(MIN_NULL_RATE)
        self.abort_bounds = abort_bounds(context.settings)
        self.bounds = dict(self.abort_bounds)
        self.sums: dict[Symptom, float] = {}
        self.sums_without_worst_endpoint = self.sums
        self.evidence_ratio = 0.0
        self.below_pause_since: Ticks = context.now
        self.outcomes = 0
        self._sums_by_endpoint: dict[tuple[Symptom, str], float] = {}
        self._sums_by_zone: dict[tuple[Symptom, str], float] = {}
        self._left_in_second: dict[Symptom, tuple[Ticks, float]] = {}

    def reset(self) -> None:
        """Forgets everything: another release."""
        self.sums = {}
        self._sums_by_endpoint = {}
        self._sums_by_zone = {}

    def start_stage(self) -> None:
        """Keeps failures, or an instance with little traffic never sees enough.

        Slowness starts anew: each stage's endpoints are cold.
        """
        self.below_pause_since = self.context.now
        failed = max(0.0, self.sums.get(Symptom.FAILED, 0.0))
        self.sums = self.sums_without_worst_endpoint = {Symptom.FAILED: failed, Symptom.SLOW: 0.0}
        self._sums_by_endpoint = _only_failures(self._sums_by_endpoint)
        self._sums_by_zone = _only_failures(self._sums_by_zone)
        self.outcomes = 0
        self.evidence_ratio = 0.0
        self._left_in_second = {}

    def add(self, symptom: Symptom, has_symptom: bool, endpoint: Endpoint | None = None) -> None:
        """Adds an outcome.

        Args:
            symptom: what is tested.
            has_symptom: whether the outcome shows it.
            endpoint: bounds what it, its zone and a second add; None does not.
        """
        step = log_likelihood_ratio(symptom, has_symptom, self.null_rates[symptom])
        if endpoint is not None:
            step = self._bounded_step(symptom, step, endpoint)
        self.add_step(symptom, step)

    def _bounded_step(self, symptom: Symptom, step: float, endpoint: Endpoint) -> float:
        """The part of the step that this endpoint, its zone and this second may add."""
        abort_bound = self.abort_bounds[symptom]
        endpoint_key = symptom, endpoint.address
        zone_key = symptom, endpoint.zone
        endpoint_sum = self._sums_by_endpoint.get(endpoint_key, 0.0)
        endpoint_bound = MAX_RATIO_PER_ENDPOINT[symptom] * abort_bound
        current_second = self.context.now // TICKS_PER_SECOND
        last_second, remaining = self._left_in_second.get(symptom, (-1, 0.0))
        if last_second != current_second:
            single_vote = self.context.settings.votes_to_revert == 1
            remaining = MAX_RATIO_PER_SECOND[symptom, single_vote] * abort_bound
        zone_sum = self._sums_by_zone.get(zone_key, 0.0)
        multiple_zones = self.context.zones > 1 and not self.context.has_few_endpoints()
        zone_bound = self.bounds[symptom] * (MAX_RATIO_PER_ZONE if multiple_zones else inf)
        step = max(
            min(step, endpoint_bound - endpoint_sum, remaining, max(0.0, zone_bound - zone_sum)),
            -endpoint_bound - endpoint_sum,
        )
        self._sums_by_endpoint[endpoint_key] = endpoint_sum + step
        self._sums_by_zone[zone_key] = max(-zone_bound, zone_sum + step)
        self._left_in_second[symptom] = current_second, remaining - max(0.0, step)
        return step

    def add_step(self, symptom: Symptom, step: float) -> None:
        """Adds a log likelihood ratio to the sum of a symptom."""
        context = self.context
        # The sum rests near the bound for promotion: a build that turns bad late must not have to
        # make up for its past.
        floor = PROMOTE_BOUND * (SLOW_FLOOR_FACTOR if symptom == Symptom.SLOW else 1)
        self.sums[symptom] = max(floor, self.sums[symptom] + step)
        # Of few endpoints a faulty one would be taken for its build: who sees enough waits for a
        # second faulty one, where all instances wait.
        worst = 0.0
        if context.has_few_endpoints():
            for (endpoint_symptom, _), endpoint_sum in self._sums_by_endpoint.items():
                worst = max(worst, endpoint_sum) if endpoint_symptom == Symptom.FAILED else worst
        self.sums_without_worst_endpoint = {
            **self.sums,
            Symptom.FAILED: self.sums[Symptom.FAILED] - worst,
        }
        # A sum at rest tries anew with each chance failure: the more of them, the higher the bound.
        recent_requests = context.arrivals.total(context.now)
        many_endpoints = (
            context.promoted_by_votes
            and len(context.by_build[True]) > FEW_ENDPOINTS_HIGH_RATE
            and recent_requests >= TRAFFIC_WINDOW_SECONDS * HIGH_REQUEST_RATE
        )
        self.bounds[Symptom.FAILED] = self.abort_bounds[Symptom.FAILED] + log(
            max(1, many_endpoints * self.null_rates[Symptom.FAILED] * recent_requests)
        )
        self.evidence_ratio = max(
            self.sums_without_worst_endpoint[symptom] / bound
            for symptom, bound in self.bounds.items()
        )
        if self.evidence_ratio > PAUSE_RATIO:
            self.below_pause_since = context.now


def _only_failures(
    sums_by_source: dict[tuple[Symptom, str], float],
) -> dict[tuple[Symptom, str], float]:
    return {key: value for key, value in sums_by_source.items() if key[0] == Symptom.FAILED}


def log_likelihood_ratio(symptom: Symptom, has_symptom: bool, null_rate: float) -> float:
    """The log likelihood ratio of an outcome.

    Args:
        symptom: what is tested.
        has_symptom: whether the outcome shows it.
        null_rate: the rate of such outcomes if the build is as good as the earlier one.
    """
    worse_rate = min(ALTERNATIVE_RATIO[symptom] * null_rate, (1 + null_rate) / 2)
    return log(worse_rate / null_rate) if has_symptom else log((1 - worse_rate) / (1 - null_rate))


def abort_bounds(settings: Settings) -> dict[Symptom, float]:
    """The bounds above which a build is taken for worse.

    All instances share the allowed error; where many must err together, each may err more.
    """
    votes_needed = settings.votes_to_revert
    joint_error = votes_needed * (
        FALSE_ABORT_PROBABILITY
        if votes_needed == 1
        else JOINT_ERROR_FACTOR * FALSE_ABORT_PROBABILITY ** (1 / votes_needed)
    )
    odds = (1 - FALSE_PROMOTION_PROBABILITY) / min(
        FALSE_ABORT_PROBABILITY, joint_error / settings.instances
    )
    return {Symptom.FAILED: log(odds), Symptom.SLOW: log(odds * SLOW_ODDS_FACTOR)}
