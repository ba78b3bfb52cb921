"""What came of a simulated day: earnings, answers, votes, the builds' course, and their figures."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.settings import RequestClass
from .invariants import Answer, InvariantChecker
from .scenarios import Day

LEAST_ASKED = 1e-9  # earnings asked for: it is divided by
SPARE_SECONDS = 20  # beyond the span of a day, in which the last answers come
WORST_WINDOW_SECONDS = 10  # seconds
RECOVERY_SECONDS = 2  # without rejections, after which a fleet has recovered


class CourseEvent(StrEnum):
    """What becomes of a build."""

    OFFERED = "offered"
    STAGE = "stage"
    RELEASED = "released"
    BACK = "back"


class CourseEntry(NamedTuple):
    """A step of a build's course."""

    at: Ticks
    build: int
    event: CourseEvent


@dataclass(slots=True)
class SecondTotals:
    """What was asked in a second.

    Attributes:
        asked: Earnings that were asked for.
        earned: Those of them that were answered in time.
        tries: Requests, with those that were asked again.
        rejected: Those of them that were rejected without an attempt.
        needless: Those of these that a server had room for.
    """

    asked: float = 0.0
    earned: float = 0.0
    tries: int = 0
    rejected: int = 0
    needless: int = 0


class RejectedShares(NamedTuple):
    """Shares of all requests, with those that were asked again."""

    rejected: float
    """Rejected without an attempt."""
    needless: float
    """Of these, those that a server had room for."""


class BuildTimes(NamedTuple):
    """How long a build took."""

    until_released: float
    """Seconds from its offer to its release."""
    harmful: float
    """Seconds in which it could do harm."""


class DayResults:
    """The totals of a day.

    Attributes:
        day: The day.
        asked: Earnings that were asked for.
        earned: Those that were answered in time.
        harm: Earnings of effects that failed at a faulty build.
        behind: Earnings answered by a build older than the newest good one.
        newest_good: The newest good build that was offered.
        answers: How many requests were answered, by how.
        latencies: Times of the good answers by class, from the client's first try.
        attempts_by_pod: How many attempts went to each server.
        dispatched: Attempts that reached the network.
        votes_asked: Calls with votes: all, those over the platform's rate, those that are moot.
        released: The builds that were released.
        sent_back: The builds that were sent back by votes.
        course: What became of the builds.
        seconds: What was asked in each second.
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
        """Returns the second of a moment."""
        return self.seconds[moment // TICKS_PER_SECOND]

    def add_request(self, now: Ticks, worth: float) -> None:
        """Counts a request that a client asks for the first time."""
        self.asked += worth
        self.at(now).asked += worth

    def add_answer(self, answer: Answer) -> None:
        """Counts an answer."""
        self.answers[answer] = self.answers.get(answer, 0) + 1

    def add_done(self, now: Ticks, first: Ticks, lane: RequestClass, build: int) -> None:
        """Counts a good answer.

        Args:
            now: The time.
            first: When the client asked first.
            lane: The request's class.
            build: What has answered.
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
        """Notes what becomes of a build."""
        self.course.append(CourseEntry(now, build, event))

    def service(self) -> float:
        """Returns earnings answered within the objective over earnings asked for."""
        return self.earned / max(LEAST_ASKED, self.asked)

    def worst(self, length: int = WORST_WINDOW_SECONDS) -> float:
        """Returns the same in the worst window of so many seconds."""
        worst = 1.0
        day_seconds = self.day.span // TICKS_PER_SECOND
        for begin in range(max(1, day_seconds - length)):
            window = self.seconds[begin : begin + length]
            asked = sum(one.asked for one in window)
            earned = sum(one.earned for one in window)
            worst = min(worst, earned / asked if asked else 1.0)
        return worst

    def needless(self, begin: int = 0, end: int | None = None) -> RejectedShares:
        """Returns the shares that were rejected, within these seconds."""
        window = self.seconds[begin:end]
        tries = max(1, sum(one.tries for one in window))
        rejected = sum(one.rejected for one in window)
        needless = sum(one.needless for one in window)
        return RejectedShares(rejected / tries, needless / tries)

    def recovered(self, end: Ticks, least: float = 0.05) -> int:
        """Returns how many seconds after a moment hardly any request is rejected any more.

        Args:
            end: The moment.
            least: The share of rejected ones that may stay, for two seconds on end.
        """
        begin = -(-end // TICKS_PER_SECOND)
        last = self.day.span // TICKS_PER_SECOND
        for second in range(begin, last - 1):
            if self.needless(second, second + RECOVERY_SECONDS).rejected <= least:
                return second - begin
        return last - begin

    def spent(self, build: int, end: Ticks) -> BuildTimes:
        """Returns how long a build took.

        It can do harm from its release or, where there was none, from the begin of its last stage,
        until it goes back.

        Args:
            build: The build.
            end: When what is still going on ceases to count.
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
        """Returns the service less what earlier builds and harm cost, each by its price."""
        asked = max(LEAST_ASKED, self.asked)
        return self.service() - (behind * self.behind + harm * self.harm) / asked

    def figures(self, checker: InvariantChecker) -> dict[str, Any]:
        """Returns the day's main figures.

        Args:
            checker: Tells which rules were broken.
        """
        return {
            "service": round(self.service(), 4),
            "worst_10s": round(self.worst(), 4),
            "harm": round(self.harm / max(LEAST_ASKED, self.asked), 4),
            "ends": self.answers,
            "released": self.released,
            "good": [offer.build for offer in self.day.offers if offer.good],
            "rules_broken": checker.rules_broken(),
            "breaches": len(checker.broken),
        }
