"""A simulator that records time series of a day for reports, one point every half second."""

from typing import Any, NamedTuple, Self

import numpy as np
from numpy.typing import NDArray

from ..interface.actions import CastVote, SendAttempt
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import ReleasePhase, Verdict
from .invariants import Answer
from .scenarios import Day
from .servers import PodState
from .simulator import Simulator

# Interval between snapshots; events in between are counted in one period.
RECORDING_PERIOD: Ticks = TICKS_PER_SECOND // 2
# Periods after the end of the day, for the requests that are still open.
TRAILING_PERIODS = 8


class PeriodSnapshot(NamedTuple):
    """State at the start of a period."""

    at: float
    """Time in seconds."""
    build: int
    """The newest build."""
    stage: int
    phase: ReleasePhase
    cap: float
    """Maximum ratio of requests that may go to the newest build."""
    running: dict[int, int]
    """Number of servers that are up, by build."""


class RecordingSimulator(Simulator):
    """Runs a day like Simulator and records time series.

    Attributes:
        builds: Numbers of the day's builds, sorted.
        attempt_counts: Number of attempts per period, by build.
        answer_counts: Number of answers per period, by kind (done, deferred or abandoned).
        vote_counts: Number of votes per period, by verdict.
        relative_latencies: Latencies of the successful answers of each period, divided by the
            latency objective.
        snapshots: The state at the start of each period.
        queued_seconds: Seconds of queued work at each place, at the start of each period.
    """

    def __init__(self, day: Day, policy: Any) -> None:
        super().__init__(day, policy)
        size = day.duration // RECORDING_PERIOD + TRAILING_PERIODS
        self.builds = sorted({1, *(offer.build for offer in day.offers)})
        self.attempt_counts = {build: np.zeros(size) for build in self.builds}
        self.answer_counts = {answer: np.zeros(size) for answer in Answer}
        self.vote_counts = {verdict: np.zeros(size) for verdict in Verdict}
        self.relative_latencies: list[list[float]] = [[] for _ in range(size)]
        self.snapshots: list[PeriodSnapshot] = []
        self.queued_seconds: list[NDArray[np.float64]] = []

    def run(self) -> Self:
        """Runs the whole day and returns itself."""
        self.schedule_at(0, self._record_snapshot)
        return super().run()

    def _period(self) -> int:
        return min(self.now // RECORDING_PERIOD, len(self.relative_latencies) - 1)

    def _record_snapshot(self) -> None:
        build, stage, phase, cap = self.platform.state
        running = [pod.build.number for pod in self.servers.pods_up(lambda _: True)]
        counts = {build_number: running.count(build_number) for build_number in self.builds}
        self.snapshots.append(
            PeriodSnapshot(self.now / TICKS_PER_SECOND, build, stage, phase, cap, counts)
        )
        self.queued_seconds.append(self._queued_seconds())
        if self.now < self.day.duration:
            self.schedule_at(self.now + RECORDING_PERIOD, self._record_snapshot)

    def _queued_seconds(self) -> NDArray[np.float64]:
        by_place = np.zeros(self.day.pods)
        for pod in self.servers.pods.values():
            if pod.state == PodState.UP:
                place = int(pod.name[1:].split("-")[0])
                by_place[place] = max(
                    by_place[place], pod.queued_work / (pod.cores * pod.speed * TICKS_PER_SECOND)
                )
        return by_place

    def _send(self, instance: int, incarnation: int, action: SendAttempt) -> None:
        pod = self.servers.pods.get(action.endpoint)
        if pod:
            self.attempt_counts[pod.build.number][self._period()] += 1
        super()._send(instance, incarnation, action)

    def _answer(self, instance: int, request_id: str, answer: Answer, retry_after: Ticks) -> None:
        request = self.requests.get((instance, request_id))
        if request is not None:
            self.answer_counts[answer][self._period()] += 1
            if answer == Answer.DONE:
                self.relative_latencies[self._period()].append(
                    (self.now - request.first_sent_at)
                    / self.lanes[request.lane].request_class.latency_objective
                )
        super()._answer(instance, request_id, answer, retry_after)

    def _vote(self, instance: int, incarnation: int, vote: CastVote) -> None:
        self.vote_counts[vote.verdict][self._period()] += 1
        super()._vote(instance, incarnation, vote)

    def latency_quantiles(self, quantile: float = 0.95) -> NDArray[np.float64]:
        """Returns a quantile of the latencies in each period.

        Latencies are in multiples of the latency objective; a period without answers gives 0.

        Args:
            quantile: The quantile, between 0 and 1.
        """
        return np.array(
            [
                np.quantile(latencies, quantile) if latencies else 0.0
                for latencies in self.relative_latencies
            ]
        )
