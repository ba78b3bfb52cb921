"""How the earlier build does: the rates and response times that the newest one is held to."""

from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome
from .context import (
    HIGH_RATE,
    LARGE_FLEET_RATIO,
    TRAFFIC_WINDOW_BUCKETS,
    TRAFFIC_WINDOW_SECONDS,
    BuildState,
    DecisionContext,
    traffic_window,
)
from .sequential_test import RATE_LEAST, SequentialTest, Symptom

OUTCOMES_LEAST = 5  # of the earlier build, that say something of its rates
OUTCOMES_MATURE = 20  # that say enough by themselves
RATE_HIGHEST = 0.6  # of the earlier build's outcomes; above it nothing could be found worse
RECENT_BUCKETS = 4  # two seconds: a storm at both builds
LOSS_RATE_SOUND = 0.02  # of its outcomes, lost on the way: below it the way is sound
LOSSES_SOUND = 2  # and so few are sound in any case
SLOW_QUANTILE = 0.9  # of the earlier build's response times: what is above it is slow
MARK_UNKNOWN = 2.0  # times the first response time, as the first mark
MARK_GAIN_LEAST = 0.05
MARK_GAIN_FALL = 0.2  # how fast the gain falls with the outcomes seen
MEAN_GAIN_PART = 0.4  # of the mark's gain
SETTLED_AFTER = 3 * TICKS_PER_SECOND  # ticks of traffic that tell what is usual
CHANCE_TRIES = 3  # requests in two seconds that may come by chance
BUSIER = 1.5  # times the usual traffic, from which slowness may be the load's


class LatencyMark(NamedTuple):
    """The response times of a request class on a kind of machine."""

    slow_above: float
    """The quantile above which a response is slow, in ticks."""
    seen: int
    mean: float


class BeforeOffer(NamedTuple):
    """What was usual before the newest build was offered or, for a later start, at first."""

    marks: dict[tuple[str, str], LatencyMark]
    """By request class and kind of machine."""
    rate: float
    """Requests a second without marked retries."""
    rejected_part: float


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
        self.marks: dict[tuple[str, str], LatencyMark] = {}
        self.outcomes = traffic_window()
        self.failed = traffic_window()
        self.slow = traffic_window()
        self.errors = traffic_window()
        self.losses = traffic_window()
        self.non_retries = traffic_window()
        self.rejected = traffic_window()
        self.before_offer: BeforeOffer | None = None
        self.earlier_endpoints = 0

    def restart(self) -> None:
        """Another release: what was usual before it is to be found anew."""
        self.earlier_endpoints = len(self.context.by_build[False])
        self.before_offer = None

    def learn(
        self,
        cell: tuple[str, str],
        mark: LatencyMark,
        outcome: Outcome,
        latency: Ticks,
        *,
        slow: bool,
        warm: bool,
    ) -> None:
        """Takes in an outcome of the earlier build, or of one that is not judged.

        Args:
            cell: its request class and kind of machine.
            mark: the cell's mark so far.
            outcome: how the attempt ended.
            latency: its response time.
            slow: whether that was slow.
            warm: whether its endpoint has its full capacity.
        """
        now = self.context.now
        if warm and outcome in (Outcome.DONE, Outcome.TIMED_OUT):
            gain = max(MARK_GAIN_LEAST, 1 / (2 + MARK_GAIN_FALL * mark.seen))
            rise = 1 + gain * (SLOW_QUANTILE - 1 + slow)
            self.marks[cell] = LatencyMark(
                mark.slow_above * rise,
                mark.seen + 1,
                mark.mean + MEAN_GAIN_PART * gain * (latency - mark.mean),
            )
        lost = lost_on_the_way(outcome)
        self.outcomes.add(now)
        self.failed.add(now, outcome != Outcome.DONE and not lost)
        self.slow.add(now, slow)
        self.errors.add(now, outcome == Outcome.ERROR)
        self.losses.add(now, lost)

    def compare(self) -> bool:
        """Sets the test's null rates; tells whether enough of the outcomes are recent.

        The recent rates count if they are of many outcomes or higher: a storm at both builds is
        not the newest one's, and one that is over hides nothing.
        """
        now, null_rates = self.context.now, self.test.null_rates
        counts = (Symptom.FAILED, self.failed), (Symptom.SLOW, self.slow)
        for back, least in ((TRAFFIC_WINDOW_BUCKETS, OUTCOMES_LEAST), (RECENT_BUCKETS, 1)):
            seen = self.outcomes.total(now, False, back)
            if seen < least:
                continue
            for symptom, window in counts:
                # In a storm one failure will do. The floor for slowness is the higher one.
                seen = max(seen, 2 * OUTCOMES_LEAST if symptom == Symptom.SLOW else 2)
                rate = max(
                    RATE_LEAST[symptom], min(RATE_HIGHEST, window.total(now, False, back) / seen)
                )
                if back == TRAFFIC_WINDOW_BUCKETS or seen >= OUTCOMES_MATURE:
                    null_rates[symptom] = rate
                else:
                    null_rates[symptom] = max(rate, null_rates[symptom])
        return self.outcomes.total(now, False, RECENT_BUCKETS) >= OUTCOMES_LEAST

    def way_is_sound(self) -> bool:
        """Whether the earlier build loses hardly any attempts on the way."""
        now = self.context.now
        return self.losses.total(now) < max(
            LOSSES_SOUND, LOSS_RATE_SOUND * self.outcomes.total(now)
        )

    def busier(self) -> float:
        """The traffic of two seconds without marked retries, in times of the usual, or 1."""
        if self.before_offer is None:
            return 1.0
        tries, now = self.non_retries, self.context.now
        span = (RECENT_BUCKETS * tries.bucket_width + now % tries.bucket_width) / TICKS_PER_SECOND
        seen = tries.total(now, False, RECENT_BUCKETS) - CHANCE_TRIES
        return seen / (self.before_offer.rate * span + 1)

    def capture_pre_trial(self) -> None:
        """Keeps what is usual before the newest build has an effect, as soon as it is known."""
        context = self.context
        age = context.traffic_age()
        tries = self.non_retries.total(context.now)
        rate = tries * TICKS_PER_SECOND / min(TRAFFIC_WINDOW_SECONDS * TICKS_PER_SECOND, age + 1)
        fit = (
            age >= SETTLED_AFTER
            and rate >= HIGH_RATE
            and context.settings.instances < LARGE_FLEET_RATIO * self.earlier_endpoints
        )
        if context.build_state == BuildState.ON_TRIAL and self.before_offer is None and fit:
            rejected_part = self.rejected.total(context.now) / context.arrivals.total(context.now)
            self.before_offer = BeforeOffer(dict(self.marks), rate, rejected_part)


def lost_on_the_way(outcome: Outcome) -> bool:
    """Whether the network, not the endpoint, may have failed."""
    return outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
