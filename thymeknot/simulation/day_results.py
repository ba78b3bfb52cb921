"""Results of a simulated day: earnings, answers, votes, rollouts and the figures derived from them.

The earnings of a request are its priority weight.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.settings import RequestClass
from .invariants import Answer, InvariantChecker
from .scenarios import Day

MIN_POSSIBLE_EARNINGS = 1e-9  # divisor instead of 0 on a day without requests
TRAILING_SECONDS = 20  # after the span of a day, for the last answers
WORST_WINDOW_SECONDS = 10
RECOVERY_SECONDS = 2  # a fleet has recovered after so many seconds with few rejections


class RolloutEventKind(StrEnum):
    """An event of a rollout."""

    OFFERED = "offered"
    STAGE = "stage"
    RELEASED = "released"
    ROLLED_BACK = "back"


class RolloutEvent(NamedTuple):
    """An event in the rollout of a build."""

    at: Ticks
    build: int
    kind: RolloutEventKind


@dataclass(slots=True)
class SecondTotals:
    """Totals of one second.

    Attributes:
        possible_earnings: Earnings if all requests first sent in this second succeed in time.
        earnings: Earnings of those requests that succeeded; late answers earn less.
        requests: Number of requests, including repeated ones.
        rejections: Requests that were rejected without an attempt.
        needless_rejections: Requests among the rejected ones for which servers had capacity.
    """

    possible_earnings: float = 0.0
    earnings: float = 0.0
    requests: int = 0
    rejections: int = 0
    needless_rejections: int = 0


class RejectionRatios(NamedTuple):
    """Ratios to all requests, including repeated ones."""

    rejected: float
    """Ratio of requests rejected without an attempt."""
    needless: float
    """Ratio of requests rejected without an attempt although servers had capacity."""


class BuildTimes(NamedTuple):
    """Durations of a build's rollout."""

    until_released: float
    """Seconds from the offer of the build to its release."""
    harmful: float
    """Seconds during which the build could do harm."""


class DayResults:
    """The totals of a day.

    Attributes:
        day: The day.
        possible_earnings: Earnings if all requests of the day succeed in time.
        earnings: Earnings of the requests that succeeded; late answers earn less.
        harm: Possible earnings of requests that are not idempotent and failed at a faulty build.
        outdated_earnings: Earnings from builds older than the newest good one.
        newest_good_build: The newest good build that was offered.
        answer_counts: Number of answers, by kind.
        latencies: Latencies of successful answers from the client's first attempt, by class.
        attempts_by_pod: Number of attempts sent to each server.
        dispatched_attempts: Attempts that reached the network.
        vote_calls: Number of vote calls: all (asked), those over the platform's rate limit (full)
            and those that no longer apply (moot).
        released: The builds that were released.
        rolled_back: The builds that were rolled back by votes.
        rollout_events: The events of all rollouts.
        seconds: The totals of each second.
    """

    def __init__(self, day: Day) -> None:
        self.day = day
        self.possible_earnings = 0.0
        self.earnings = 0.0
        self.harm = 0.0
        self.outdated_earnings = 0.0
        self.newest_good_build = 0
        self.answer_counts: dict[Answer, int] = {}
        self.latencies: dict[str, list[Ticks]] = {}
        self.attempts_by_pod: dict[str, int] = {}
        self.dispatched_attempts = 0
        self.vote_calls = {"asked": 0, "full": 0, "moot": 0}
        self.released: list[int] = []
        self.rolled_back: list[int] = []
        self.rollout_events: list[RolloutEvent] = []
        self.seconds = [
            SecondTotals() for _ in range(day.duration // TICKS_PER_SECOND + TRAILING_SECONDS)
        ]

    def second_at(self, moment: Ticks) -> SecondTotals:
        """Returns the totals of the second that contains a moment."""
        return self.seconds[moment // TICKS_PER_SECOND]

    def add_request(self, now: Ticks, priority_weight: float) -> None:
        """Counts a request that a client sends for the first time."""
        self.possible_earnings += priority_weight
        self.second_at(now).possible_earnings += priority_weight

    def add_answer(self, answer: Answer) -> None:
        """Counts an answer."""
        self.answer_counts[answer] = self.answer_counts.get(answer, 0) + 1

    def add_success(
        self, now: Ticks, first_sent_at: Ticks, request_class: RequestClass, build: int
    ) -> None:
        """Counts a successful answer.

        Args:
            now: The time.
            first_sent_at: When the client first sent the request.
            request_class: The request's class.
            build: The build that answered.
        """
        latency = now - first_sent_at
        is_late = latency > request_class.latency_objective
        earned = request_class.priority_weight * (
            request_class.late_priority_weight if is_late else 1
        )
        self.earnings += earned
        if build < self.newest_good_build:
            self.outdated_earnings += earned
        self.second_at(first_sent_at).earnings += earned
        self.latencies.setdefault(request_class.name, []).append(latency)

    def add_attempt(self, pod: str) -> None:
        """Counts an attempt."""
        self.attempts_by_pod[pod] = self.attempts_by_pod.get(pod, 0) + 1

    def add_rollout_event(self, now: Ticks, build: int, kind: RolloutEventKind) -> None:
        """Records an event of a rollout."""
        self.rollout_events.append(RolloutEvent(now, build, kind))

    def earnings_ratio(self) -> float:
        """Returns the ratio of the earnings to the possible earnings.

        Late answers count with their reduced weight.
        """
        return self.earnings / max(MIN_POSSIBLE_EARNINGS, self.possible_earnings)

    def worst_earnings_ratio(self, length: int = WORST_WINDOW_SECONDS) -> float:
        """Returns the lowest ratio of earnings to possible ones in any `length` seconds."""
        worst = 1.0
        day_seconds = self.day.duration // TICKS_PER_SECOND
        for begin in range(max(1, day_seconds - length)):
            window = self.seconds[begin : begin + length]
            possible = sum(second.possible_earnings for second in window)
            earned = sum(second.earnings for second in window)
            worst = min(worst, earned / possible if possible else 1.0)
        return worst

    def rejection_ratios(self, begin: int = 0, end: int | None = None) -> RejectionRatios:
        """Returns the ratios of rejected requests between two seconds of the day."""
        window = self.seconds[begin:end]
        requests = max(1, sum(second.requests for second in window))
        rejected = sum(second.rejections for second in window)
        needless = sum(second.needless_rejections for second in window)
        return RejectionRatios(rejected / requests, needless / requests)

    def recovery_seconds(self, end: Ticks, max_rejected_ratio: float = 0.05) -> int:
        """Returns how many seconds after a moment the fleet has recovered from rejecting requests.

        Args:
            end: The moment, for instance the end of a fault.
            max_rejected_ratio: Maximum ratio of rejected requests over two successive seconds.
        """
        begin = -(-end // TICKS_PER_SECOND)
        last = self.day.duration // TICKS_PER_SECOND
        for second in range(begin, last - 1):
            if (
                self.rejection_ratios(second, second + RECOVERY_SECONDS).rejected
                <= max_rejected_ratio
            ):
                return second - begin
        return last - begin

    def build_times(self, build: int, end: Ticks) -> BuildTimes:
        """Returns the durations of a build's rollout.

        A build can do harm from its release, or from the start of its last stage if it was not
        released, until it is rolled back.

        Args:
            build: The build.
            end: Time used for events that have not happened.
        """
        event_times = {
            event.kind: event.at for event in self.rollout_events if event.build == build
        }
        released_at = event_times.get(RolloutEventKind.RELEASED, end)
        harmful_from = event_times.get(
            RolloutEventKind.RELEASED, event_times.get(RolloutEventKind.STAGE, end)
        )
        rolled_back_at = max(harmful_from, event_times.get(RolloutEventKind.ROLLED_BACK, end))
        return BuildTimes(
            (released_at - event_times.get(RolloutEventKind.OFFERED, end)) / TICKS_PER_SECOND,
            (rolled_back_at - harmful_from) / TICKS_PER_SECOND,
        )

    def net_earnings_ratio(self, outdated_cost: float = 0.5, harm_cost: float = 5.0) -> float:
        """Returns the earnings ratio minus the costs of outdated builds and of harm.

        Args:
            outdated_cost: Cost per unit of earnings from outdated builds.
            harm_cost: Cost per unit of harm.
        """
        possible = max(MIN_POSSIBLE_EARNINGS, self.possible_earnings)
        return (
            self.earnings_ratio()
            - (outdated_cost * self.outdated_earnings + harm_cost * self.harm) / possible
        )

    def figures(self, checker: InvariantChecker) -> dict[str, Any]:
        """Returns the main figures of the day.

        Args:
            checker: Provides the violations of the rules.
        """
        return {
            "service": round(self.earnings_ratio(), 4),
            "worst_10s": round(self.worst_earnings_ratio(), 4),
            "harm": round(self.harm / max(MIN_POSSIBLE_EARNINGS, self.possible_earnings), 4),
            "ends": self.answer_counts,
            "released": self.released,
            "good": [offer.build for offer in self.day.offers if offer.good],
            "rules_broken": checker.violated_rules(),
            "breaches": len(checker.violations),
        }
