"""How the earlier build does: the rates and response times that the newest one is held to."""

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

MIN_OUTCOMES = 5  # of the earlier build, that say something of its rates
RELIABLE_OUTCOMES = 20  # that say enough by themselves
MAX_NULL_RATE = 0.6  # of the earlier build's outcomes; above it nothing could be found worse
RECENT_BUCKETS = 4  # two seconds: a storm at both builds
TOLERATED_LOSS_RATE = 0.02  # of its outcomes, lost on the way: below it the way is sound
TOLERATED_LOSSES = 2  # and so few are sound in any case
SLOW_QUANTILE = 0.9  # of the earlier build's response times: what is above it is slow
INITIAL_THRESHOLD_RATIO = 2.0  # times the first response time, as the first mark
MIN_THRESHOLD_GAIN = 0.05
THRESHOLD_GAIN_DECAY = 0.2  # how fast the gain falls with the outcomes seen
MEAN_GAIN_RATIO = 0.4  # of the mark's gain
MIN_TRAFFIC_AGE = 3 * TICKS_PER_SECOND  # ticks of traffic that tell what is usual
CHANCE_REQUESTS = 3  # requests in two seconds that may come by chance
HIGH_TRAFFIC_RATIO = 1.5  # times the usual traffic, from which slowness may be the load's


class LatencyStats(NamedTuple):
    """The response times of a request class on a kind of machine."""

    slow_threshold: float
    """The quantile above which a response is slow, in ticks."""
    outcomes: int
    mean: float


class PreTrialBaseline(NamedTuple):
    """What was usual before the newest build was offered or, for a later start, at first."""

    latency_stats: dict[tuple[str, str], LatencyStats]
    """By request class and kind of machine."""
    rate: float
    """Requests a second without marked retries."""
    rejected_fraction: float


class Baseline:
    """The earlier build's outcomes lately, and what was usual before the offer.

    Attributes:
        marks: response times by request class and kind of machine.
        outcomes: the earlier build's outcomes.
        failed: those that failed, but for losses on the way.
        slow: those that were slow.
        errors: those that ended with an error.
        losses: those that were lost on the way.
        non_retries: requests that are not marked as retries.
        rejected: requests that were rejected.
        before_offer: None until it is known.
        earlier_endpoints: how many endpoints the earlier build had at the offer.
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
        """Another release: what was usual before it is to be found anew."""
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
        """Takes in an outcome of the earlier build, or of one that is not judged.

        Args:
            latency_key: its request class and kind of machine.
            stats: the latencies of that key so far.
            outcome: how the attempt ended.
            latency: its response time.
            slow: whether that was slow.
            warm: whether its endpoint has its full capacity.
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
        """Sets the test's null rates; tells whether enough of the outcomes are recent.

        The recent rates count if they are of many outcomes or higher: a storm at both builds is
        not the newest one's, and one that is over hides nothing.
        """
        now, null_rates = self.context.now, self.test.null_rates
        counts = (Symptom.FAILED, self.failed), (Symptom.SLOW, self.slow)
        for buckets, min_outcomes in ((TRAFFIC_WINDOW_BUCKETS, MIN_OUTCOMES), (RECENT_BUCKETS, 1)):
            total = self.outcomes.total(now, False, buckets)
            if total < min_outcomes:
                continue
            for symptom, window in counts:
                # In a storm one failure will do. The floor for slowness is the higher one.
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
        """Whether the earlier build loses hardly any attempts on the way."""
        now = self.context.now
        return self.losses.total(now) < max(
            TOLERATED_LOSSES, TOLERATED_LOSS_RATE * self.outcomes.total(now)
        )

    def traffic_ratio(self) -> float:
        """The traffic of two seconds without marked retries, in times of the usual, or 1."""
        if self.pre_trial is None:
            return 1.0
        requests, now = self.non_retries, self.context.now
        span = (RECENT_BUCKETS * requests.width + now % requests.width) / TICKS_PER_SECOND
        total = requests.total(now, False, RECENT_BUCKETS) - CHANCE_REQUESTS
        return total / (self.pre_trial.rate * span + 1)

    def capture_pre_trial(self) -> None:
        """Keeps what is usual before the newest build has an effect, as soon as it is known."""
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
    """Whether the network, not the endpoint, may have failed."""
    return outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
