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

LEAST_ASKED = 1e-9  # earnings; keeps divisions by the requested earnings defined
SPARE_SECONDS = 20  # after the span of a day, in which the last answers arrive
WORST_WINDOW_SECONDS = 10
RECOVERY_SECONDS = 2  # almost without rejections, after which a fleet has recovered


class CourseEvent(StrEnum):
    """An event of a rollout."""

    OFFERED = "offered"
    STAGE = "stage"
    RELEASED = "released"
    BACK = "back"


class CourseEntry(NamedTuple):
    """An event in the rollout of a build."""

    at: Ticks
    build: int
    event: CourseEvent


@dataclass(slots=True)
class SecondTotals:
    """Totals of one second.

    Attributes:
        asked: Earnings of the requests that clients first sent in this second.
        earned: Earnings of those requests that were answered, less if they were late.
        tries: Number of requests, including repeated ones.
        rejected: Requests that were rejected without an attempt.
        needless: Requests among the rejected ones for which servers had capacity.
    """

    asked: float = 0.0
    earned: float = 0.0
    tries: int = 0
    rejected: int = 0
    needless: int = 0


class RejectedShares(NamedTuple):
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
        asked: Earnings of all requests that clients sent.
        earned: Earnings of the answered requests; late answers earn less.
        harm: Earnings of requests that are not idempotent and failed at a faulty build.
        behind: Earnings from answers of builds older than the newest good one.
        newest_good: The newest good build that was offered.
        answers: Number of answers, by kind.
        latencies: Latencies of successful answers by class, from the client's first try.
        attempts_by_pod: Number of attempts sent to each server.
        dispatched: Attempts that reached the network.
        votes_asked: Number of vote calls: all (asked), those over the platform's rate limit (full)
            and those that no longer apply (moot).
        released: The builds that were released.
        sent_back: The builds that were rolled back by votes.
        course: The events of all rollouts.
        seconds: The totals of each second.
    """

    def __init__(self, day: Day) -> None:
        self.day = day
        self.asked = 0.0
        self.earned = 0.0
        self.harm = 0.0
        self.behind = 0.0
        self.newest_good = 0
        self.answers: dict[Answer, int] = {}
        self.latencies: dict[str, list[Ticks]] = {}
        self.attempts_by_pod: dict[str, int] = {}
        self.dispatched = 0
        self.votes_asked = {"asked": 0, "full": 0, "moot": 0}
        self.released: list[int] = []
        self.sent_back: list[int] = []
        self.course: list[CourseEntry] = []
        self.seconds = [SecondTotals() for _ in range(day.span // TICKS_PER_SECOND + SPARE_SECONDS)]

    def at(self, moment: Ticks) -> SecondTotals:
        """Returns the totals of the second that contains a moment."""
        return self.seconds[moment // TICKS_PER_SECOND]

    def add_request(self, now: Ticks, worth: float) -> None:
        """Counts a request that a client sends for the first time."""
        self.asked += worth
        self.at(now).asked += worth

    def add_answer(self, answer: Answer) -> None:
        """Counts an answer."""
        self.answers[answer] = self.answers.get(answer, 0) + 1

    def add_done(self, now: Ticks, first: Ticks, lane: RequestClass, build: int) -> None:
        """Counts a successful answer.

        Args:
            now: The time.
            first: When the client first sent the request.
            lane: The request's class.
            build: The build that answered.
        """
        latency = now - first
        is_late = latency > lane.latency_objective
        earned = lane.priority_weight * (lane.late_priority_weight if is_late else 1)
        self.earned += earned
        if build < self.newest_good:
            self.behind += earned
        self.at(first).earned += earned
        self.latencies.setdefault(lane.name, []).append(latency)

    def add_attempt(self, pod: str) -> None:
        """Counts an attempt."""
        self.attempts_by_pod[pod] = self.attempts_by_pod.get(pod, 0) + 1

    def add_course(self, now: Ticks, build: int, event: CourseEvent) -> None:
        """Records an event of a rollout."""
        self.course.append(CourseEntry(now, build, event))

    def service(self) -> float:
        """Returns the ratio of earnings to the earnings of all requests.

        Late answers count with their reduced weight.
        """
        return self.earned / max(LEAST_ASKED, self.asked)

    def worst(self, length: int = WORST_WINDOW_SECONDS) -> float:
        """Returns the lowest ratio of earnings in any window of `length` seconds."""
        worst = 1.0
        day_seconds = self.day.span // TICKS_PER_SECOND
        for begin in range(max(1, day_seconds - length)):
            window = self.seconds[begin : begin + length]
            asked = sum(one.asked for one in window)
            earned = sum(one.earned for one in window)
            worst = min(worst, earned / asked if asked else 1.0)
        return worst

    def needless(self, begin: int = 0, end: int | None = None) -> RejectedShares:
        """Returns the rejected ratios between two seconds of the day."""
        window = self.seconds[begin:end]
        tries = max(1, sum(one.tries for one in window))
        rejected = sum(one.rejected for one in window)
        needless = sum(one.needless for one in window)
        return RejectedShares(rejected / tries, needless / tries)

    def recovered(self, end: Ticks, least: float = 0.05) -> int:
        """Returns how many seconds after a moment the fleet has recovered from rejecting requests.

        Args:
            end: The moment.
            least: Maximum ratio of rejected requests over two successive seconds.
        """
        begin = -(-end // TICKS_PER_SECOND)
        last = self.day.span // TICKS_PER_SECOND
        for second in range(begin, last - 1):
            if self.needless(second, second + RECOVERY_SECONDS).rejected <= least:
                return second - begin
        return last - begin

    def spent(self, build: int, end: Ticks) -> BuildTimes:
        """Returns the durations of a build's rollout.

        A build can do harm from its release, or from the start of its last stage if it was not
        released, until it is rolled back.

        Args:
            build: The build.
            end: Time used for events that have not happened.
        """
        event_times = {entry.event: entry.at for entry in self.course if entry.build == build}
        released = event_times.get(CourseEvent.RELEASED, end)
        begin = event_times.get(CourseEvent.RELEASED, event_times.get(CourseEvent.STAGE, end))
        back = max(begin, event_times.get(CourseEvent.BACK, end))
        return BuildTimes(
            (released - event_times.get(CourseEvent.OFFERED, end)) / TICKS_PER_SECOND,
            (back - begin) / TICKS_PER_SECOND,
        )

    def worth(self, behind: float = 0.5, harm: float = 5.0) -> float:
        """Returns the ratio of earnings minus the cost of outdated builds and of harm.

        Args:
            behind: Cost per unit of earnings from outdated builds.
            harm: Cost per unit of harm.
        """
        asked = max(LEAST_ASKED, self.asked)
        return self.service() - (behind * self.behind + harm * self.harm) / asked

    def figures(self, checker: InvariantChecker) -> dict[str, Any]:
        """Returns the main figures of the day.

        Args:
            checker: Provides the rules that were broken.
        """
        return {
            "service": round(self.service(), 4),
            "worst_10s": round(self.worst(), 4),
            "harm": round(self.harm / max(LEAST_ASKED, self.asked), 4),
            "ends": self.answers,
            "released": self.released,
            "good": [offer.build for offer in self.day.offers if offer.good],
            "rules_broken": checker.violated_rules(),
            "breaches": len(checker.violations),
        }
