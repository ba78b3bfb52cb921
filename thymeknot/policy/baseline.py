"""The earlier build's rates and latencies, against which the newest build is compared."""

from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome
from .context import (
    HIGH_REQUEST_RATE,
    LARGE_FLEET_RATIO,
    TRAFFIC_WINDOW_BUCKETS,
    TRAFFIC_WINDOW_SECONDS,
    BuildState,
    DecisionContext,
    new_traffic_window,
)
from .sequential_test import MIN_NULL_RATE, SequentialTest, Symptom

MIN_OUTCOMES = 5  # of the earlier build, for an estimate of its rates
RELIABLE_OUTCOMES = 20  # outcomes whose estimate needs no other support
MAX_NULL_RATE = 0.6  # above this rate no build could be found worse
RECENT_BUCKETS = 4  # two seconds: short enough to notice a storm of failures at both builds
# The network is reliable if less than this fraction of the earlier build's attempts was lost,
# or fewer than this number.
TOLERATED_LOSS_RATE = 0.02
TOLERATED_LOSSES = 2
SLOW_QUANTILE = 0.9  # of the earlier build's latencies: responses above it are slow
INITIAL_THRESHOLD_RATIO = 2.0  # initial slow threshold, as a multiple of the first latency
MIN_THRESHOLD_GAIN = 0.05  # minimum step of the slow threshold, relative to its value
THRESHOLD_GAIN_DECAY = 0.2  # how fast that step falls with the number of outcomes
MEAN_GAIN_RATIO = 0.4  # gain of the mean latency, as a ratio of the threshold's gain
MIN_TRAFFIC_AGE = 3 * TICKS_PER_SECOND  # ticks of traffic before a baseline is captured
CHANCE_REQUESTS = 3  # requests in two seconds that chance may add
HIGH_TRAFFIC_RATIO = 1.5  # multiple of the usual traffic above which load may explain slowness


class LatencyStats(NamedTuple):
    """Latencies of a request class on a machine type."""

    slow_threshold: float
    """Estimate of SLOW_QUANTILE, in ticks: a response above it is slow."""
    outcomes: int
    """How many outcomes the estimates are based on."""
    mean: float
    """Moving mean of the latency, in ticks."""


class PreTrialBaseline(NamedTuple):
    """Traffic and latencies before the newest build could affect them.

    An instance that starts during a trial captures its first seconds of traffic instead.
    """

    latency_stats: dict[tuple[str, str], LatencyStats]
    """By request class and machine type."""
    rate: float
    """Requests per second, without those that clients marked as retries."""
    rejected_fraction: float
    """Fraction of the requests that this instance rejected."""


class Baseline:
    """The earlier build's recent outcomes, and the baseline captured before the trial.

    Attributes:
        latency_stats: Latencies by request class and machine type.
        outcomes: Window of the earlier build's outcomes.
        failed: Window of those that failed, without network losses.
        slow: Window of those that were slow.
        errors: Window of those that ended with an application error.
        losses: Window of those that were lost in the network.
        non_retries: Window of requests that clients did not mark as retries.
        rejected: Window of requests that were rejected.
        pre_trial: The captured baseline; None until there is enough traffic for one.
        earlier_endpoint_count: How many endpoints the earlier build had when the trial began.
    """

    def __init__(self, context: DecisionContext, test: SequentialTest) -> None:
        self.context = context
        self.test = test
        self.latency_stats: dict[tuple[str, str], LatencyStats] = {}
        self.outcomes = new_traffic_window()
        self.failed = new_traffic_window()
        self.slow = new_traffic_window()
        self.errors = new_traffic_window()
        self.losses = new_traffic_window()
        self.non_retries = new_traffic_window()
        self.rejected = new_traffic_window()
        self.pre_trial: PreTrialBaseline | None = None
        self.earlier_endpoint_count = 0

    def reset(self) -> None:
        """Discards the captured baseline, for another release."""
        self.earlier_endpoint_count = len(self.context.by_build[False])
        self.pre_trial = None

    def add_outcome(
        self,
        latency_key: tuple[str, str],
        stats: LatencyStats,
        outcome: Outcome,
        latency: Ticks,
        *,
        slow: bool,
        warm: bool,
    ) -> None:
        """Adds an outcome of the earlier build, or of a build that is not evaluated.

        Args:
            latency_key: Request class and machine type of the attempt.
            stats: The latencies of that key so far.
            outcome: How the attempt ended.
            latency: Latency of the attempt, in ticks.
            slow: Whether the attempt was slow.
            warm: Whether its endpoint has warmed up completely.
        """
        now = self.context.now
        if warm and outcome in (Outcome.DONE, Outcome.TIMED_OUT):
            gain = max(MIN_THRESHOLD_GAIN, 1 / (2 + THRESHOLD_GAIN_DECAY * stats.outcomes))
            scale = 1 + gain * (SLOW_QUANTILE - 1 + slow)
            self.latency_stats[latency_key] = LatencyStats(
                stats.slow_threshold * scale,
                stats.outcomes + 1,
                stats.mean + MEAN_GAIN_RATIO * gain * (latency - stats.mean),
            )
        lost = is_network_loss(outcome)
        self.outcomes.add(now)
        self.failed.add(now, outcome != Outcome.DONE and not lost)
        self.slow.add(now, slow)
        self.errors.add(now, outcome == Outcome.ERROR)
        self.losses.add(now, lost)

    def update_null_rates(self) -> bool:
        """Sets the test's null rates; returns whether enough outcomes are recent.

        Rates of the last two seconds are used if they are reliable or higher than those of the
        whole window: a storm of failures at both builds must not be blamed on the newest one, and
        a storm that is over must not hide a bad build.
        """
        now, null_rates = self.context.now, self.test.null_rates
        counts = (Symptom.FAILED, self.failed), (Symptom.SLOW, self.slow)
        for buckets, min_outcomes in ((TRAFFIC_WINDOW_BUCKETS, MIN_OUTCOMES), (RECENT_BUCKETS, 1)):
            total = self.outcomes.total(now, False, buckets)
            if total < min_outcomes:
                continue
            for symptom, window in counts:
                # A single failure is enough to recognize a storm of failures; the rate of slow
                # responses needs more outcomes.
                total = max(total, 2 * MIN_OUTCOMES if symptom == Symptom.SLOW else 2)
                rate = max(
                    MIN_NULL_RATE[symptom],
                    min(MAX_NULL_RATE, window.total(now, False, buckets) / total),
                )
                if buckets == TRAFFIC_WINDOW_BUCKETS or total >= RELIABLE_OUTCOMES:
                    null_rates[symptom] = rate
                else:
                    null_rates[symptom] = max(rate, null_rates[symptom])
        return self.outcomes.total(now, False, RECENT_BUCKETS) >= MIN_OUTCOMES

    def network_is_reliable(self) -> bool:
        """Returns whether the earlier build loses hardly any attempts in the network."""
        now = self.context.now
        return self.losses.total(now) < max(
            TOLERATED_LOSSES, TOLERATED_LOSS_RATE * self.outcomes.total(now)
        )

    def traffic_ratio(self) -> float:
        """Returns the traffic of the last two seconds as a multiple of that before the trial.

        Requests marked as retries do not count. Without a captured baseline the ratio is 1.
        """
        if self.pre_trial is None:
            return 1.0
        requests, now = self.non_retries, self.context.now
        span = (
            RECENT_BUCKETS * requests.bucket_width + now % requests.bucket_width
        ) / TICKS_PER_SECOND
        total = requests.total(now, False, RECENT_BUCKETS) - CHANCE_REQUESTS
        return total / (self.pre_trial.rate * span + 1)

    def capture_pre_trial(self) -> None:
        """Captures the baseline once per trial, as soon as there is enough traffic for it.

        Instances with little traffic and those of a large fleet capture none.
        """
        context = self.context
        age = context.traffic_age()
        requests = self.non_retries.total(context.now)
        rate = requests * TICKS_PER_SECOND / min(TRAFFIC_WINDOW_SECONDS * TICKS_PER_SECOND, age + 1)
        ready = (
            age >= MIN_TRAFFIC_AGE
            and rate >= HIGH_REQUEST_RATE
            and context.settings.instances < LARGE_FLEET_RATIO * self.earlier_endpoint_count
        )
        if context.build_state == BuildState.ON_TRIAL and self.pre_trial is None and ready:
            rejected_fraction = self.rejected.total(context.now) / context.arrivals.total(
                context.now
            )
            self.pre_trial = PreTrialBaseline(dict(self.latency_stats), rate, rejected_fraction)


def is_network_loss(outcome: Outcome) -> bool:
    """Returns whether the network, rather than the endpoint, may have caused the outcome."""
    return outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
