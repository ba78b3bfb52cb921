"""Wald's sequential probability ratio test of the newest build against the earlier one.

Each outcome adds its log likelihood ratio to the sum of a symptom. A sum above the abort bound
means that the build is worse than the earlier one, a sum below the promotion bound that it is as
good. Source: A. Wald, Sequential Tests of Statistical Hypotheses, 1945.
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
    """A way in which a build can be worse: each has a sum of its own."""

    FAILED = "failed"
    SLOW = "slow"


# Alternative hypothesis: multiples of the earlier build's rates that the test must detect.
ALTERNATIVE_FAILED_RATIO = 5.0
ALTERNATIVE_SLOW_RATIO = 5.0
# Minimum rate of failures under the null hypothesis, even if the earlier build has none.
MIN_FAILED_RATE = 0.01
MIN_SLOW_RATE = 0.1  # follows from the latency quantile above which a response is slow
FALSE_ABORT_PROBABILITY = 0.05  # that a good build is aborted
FALSE_PROMOTION_PROBABILITY = 0.2  # that a bad build passes the test
# Slowness must reach odds this many times higher: it says less about a build than a failure.
SLOW_ODDS_FACTOR = 10
# Scales the error probability of several votes that must agree (a bound on the Poisson tail).
JOINT_ERROR_FACTOR = 0.7
PROMOTE_BOUND = log(FALSE_PROMOTION_PROBABILITY / (1 - FALSE_ABORT_PROBABILITY))
SLOW_FLOOR_FACTOR = 3  # the sum for slowness has its floor at this multiple of PROMOTE_BOUND
PAUSE_RATIO = 0.5  # evidence ratio above which a build stays at its stage
# Maximum contributions of one second, as ratios of the abort bound. If a single vote aborts a
# release, no second of failures may do so alone; if several votes must agree, it may.
MAX_FAILED_RATIO_PER_SECOND_ONE_VOTE = 0.75
MAX_FAILED_RATIO_PER_SECOND = 9.0
MAX_SLOW_RATIO_PER_SECOND = 0.5
# Maximum contributions of one endpoint: a single faulty endpoint never aborts a build.
MAX_FAILED_RATIO_PER_ENDPOINT = 0.55
MAX_SLOW_RATIO_PER_ENDPOINT = 0.45
MAX_RATIO_PER_ZONE = 0.9  # maximum contribution of one zone, if there are several

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
"""Maximum contribution of a second by symptom and by whether one vote aborts a release."""


class SequentialTest:
    """The sums of the test: failures since the trial began, slowness since the stage began.

    Attributes:
        null_rates: The earlier build's rates, by symptom.
        abort_bounds: The sums above which a build is worse, by symptom.
        bounds: The same bounds, raised where a sum at its floor has many chances to rise.
        sums: The sums of log likelihood ratios, by symptom.
        sums_without_worst_endpoint: The same sums without the failures of the endpoint with the
            most evidence, if few endpoints serve the newest build.
        evidence_ratio: The maximum of these sums divided by their bounds; above 1 the build is
            worse than the earlier one.
        below_pause_since: Since when the evidence ratio has not exceeded PAUSE_RATIO.
        outcomes: How many outcomes were counted in this stage.
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
        self._remaining_in_second: dict[Symptom, tuple[Ticks, float]] = {}

    def reset(self) -> None:
        """Discards all sums, for another release."""
        self.sums = {}
        self._sums_by_endpoint = {}
        self._sums_by_zone = {}

    def start_stage(self) -> None:
        """Starts a stage: keeps the evidence from failures and discards that from slowness.

        Without the failures of earlier stages an instance with little traffic would never see
        enough. Slowness starts at zero because the endpoints of each stage start cold.
        """
        self.below_pause_since = self.context.now
        failed = max(0.0, self.sums.get(Symptom.FAILED, 0.0))
        self.sums = self.sums_without_worst_endpoint = {Symptom.FAILED: failed, Symptom.SLOW: 0.0}
        self._sums_by_endpoint = _only_failures(self._sums_by_endpoint)
        self._sums_by_zone = _only_failures(self._sums_by_zone)
        self.outcomes = 0
        self.evidence_ratio = 0.0
        self._remaining_in_second = {}

    def add(self, symptom: Symptom, has_symptom: bool, endpoint: Endpoint | None = None) -> None:
        """Adds an outcome.

        Args:
            symptom: The symptom that is tested.
            has_symptom: Whether the outcome shows the symptom.
            endpoint: The endpoint that the outcome came from; its contribution, its zone's and
                that of each second are capped. None applies no cap.
        """
        step = log_likelihood_ratio(symptom, has_symptom, self.null_rates[symptom])
        if endpoint is not None:
            step = self._bounded_step(symptom, step, endpoint)
        self.add_step(symptom, step)

    def _bounded_step(self, symptom: Symptom, step: float, endpoint: Endpoint) -> float:
        """Returns the step, capped to what the endpoint, its zone and this second may still add."""
        abort_bound = self.abort_bounds[symptom]
        endpoint_key = symptom, endpoint.address
        zone_key = symptom, endpoint.zone
        endpoint_sum = self._sums_by_endpoint.get(endpoint_key, 0.0)
        endpoint_bound = MAX_RATIO_PER_ENDPOINT[symptom] * abort_bound
        current_second = self.context.now // TICKS_PER_SECOND
        last_second, remaining = self._remaining_in_second.get(symptom, (-1, 0.0))
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
        self._remaining_in_second[symptom] = current_second, remaining - max(0.0, step)
        return step

    def add_step(self, symptom: Symptom, step: float) -> None:
        """Adds a log likelihood ratio to the sum of a symptom."""
        context = self.context
        # The floor keeps the sum near the promotion bound: a build that turns bad late must be
        # found as soon as one that was bad from the start.
        floor = PROMOTE_BOUND * (SLOW_FLOOR_FACTOR if symptom == Symptom.SLOW else 1)
        self.sums[symptom] = max(floor, self.sums[symptom] + step)
        # Among few endpoints one faulty endpoint could be mistaken for a faulty build. At a
        # high request rate every instance therefore waits for a second faulty endpoint.
        worst = 0.0
        if context.has_few_endpoints():
            for (endpoint_symptom, _), endpoint_sum in self._sums_by_endpoint.items():
                worst = max(worst, endpoint_sum) if endpoint_symptom == Symptom.FAILED else worst
        self.sums_without_worst_endpoint = {
            **self.sums,
            Symptom.FAILED: self.sums[Symptom.FAILED] - worst,
        }
        # Each chance failure is a new attempt of a sum at its floor to reach the bound, so the
        # bound rises with the expected number of chance failures.
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
    """Returns the log likelihood ratio of an outcome.

    Args:
        symptom: The symptom that is tested.
        has_symptom: Whether the outcome shows the symptom.
        null_rate: The rate of the symptom if the build is as good as the earlier one.
    """
    worse_rate = min(ALTERNATIVE_RATIO[symptom] * null_rate, (1 + null_rate) / 2)
    return log(worse_rate / null_rate) if has_symptom else log((1 - worse_rate) / (1 - null_rate))


def abort_bounds(settings: Settings) -> dict[Symptom, float]:
    """Returns the sums above which a build is worse than the earlier one, by symptom.

    The instances share the allowed error probability. If several votes are needed to abort, several
    instances must err at once, so each may err more often.
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
