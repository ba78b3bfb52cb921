"""A simulated server with cores, a queue, a warm-up after its start and the faults of its build.

Jobs are served first in, first out by all cores. The capacity of a server rises linearly during
its warm-up. The module does no I/O. Times are in ticks (tenths of a millisecond); work is in ticks
on one core of speed 1.
"""

from collections import deque
from enum import StrEnum
from typing import Any, Generic, Literal, Protocol, TypeVar

from ..interface.clock import Ticks


class PodState(StrEnum):
    """State of a server as reported by discovery."""

    UP = "up"
    DRAINING = "draining"
    DOWN = "down"


class Job(Protocol):
    """A unit of work for a server."""

    work: float
    """Mean service time in ticks on one core of speed 1."""
    lane: str
    """The name of its request class."""


JobT = TypeVar("JobT", bound=Job)


class Build:
    """A build and the faults that its servers show."""

    __slots__ = ("after", "fails", "lane", "load", "number", "shared", "slow")

    def __init__(
        self,
        number: int,
        fails: float = 0.0,
        *,
        slow: float = 1.0,
        after: Ticks = 0,
        lane: str | None = None,
        load: float = 0.0,
        shared: float = 0.0,
    ) -> None:
        """Creates a build.

        Args:
            number: Number of the build.
            fails: Ratio of attempts that fail while the fault is active.
            slow: Factor applied to the work while the fault is active.
            after: Time from the start of a server until the fault becomes active, in ticks.
            lane: The only request class affected by the fault; None for all classes.
            load: Ratio of a server's cores that must be busy for the fault to be active.
            shared: Slowdown of all servers, scaled by this build's share of the attempts.
        """
        self.number = number
        self.fails = fails
        self.slow = slow
        self.after = after
        self.lane = lane
        self.load = load
        self.shared = shared

    def strikes(self, pod: "Pod[Any]", now: float, lane: str) -> bool:
        """Returns whether the fault affects an attempt of this request class now."""
        return (
            (self.lane is None or self.lane == lane)
            and now - pod.started >= self.after
            and pod.busy >= self.load * pod.cores
        )


class Pod(Generic[JobT]):
    """A server with its running and queued jobs."""

    __slots__ = (
        "build",
        "busy",
        "cold",
        "cold_from",
        "cores",
        "done",
        "name",
        "paused",
        "queue",
        "queue_most",
        "silent",
        "speed",
        "started",
        "state",
        "turned_away",
        "waiting_work",
        "worked_ticks",
        "zone",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        *,
        cores: int,
        speed: float,
        queue_most: int,
        build: Build,
        started: Ticks,
        cold: Ticks = 0,
        cold_from: float = 1.0,
    ) -> None:
        """Starts a server with an empty queue.

        Args:
            name: Address of the server.
            zone: Zone of the server.
            cores: Number of jobs that run concurrently.
            speed: Work that a core completes per tick.
            queue_most: Maximum number of queued jobs.
            build: Build that the server runs.
            started: When the server started.
            cold: Duration of the warm-up, in ticks.
            cold_from: Ratio of the full capacity that is available at the start.
        """
        self.name = name
        self.zone = zone
        self.cores = cores
        self.speed = speed
        self.queue_most = queue_most
        self.build = build
        self.started = started
        self.cold = cold
        self.cold_from = cold_from
        self.state = PodState.UP
        self.busy = 0
        """Number of busy cores."""
        self.queue: deque[JobT] = deque()
        self.done = 0
        """Number of finished jobs."""
        self.turned_away = 0
        """Number of rejected jobs."""
        self.worked_ticks = 0.0
        """Core time used, in ticks."""
        self.paused: Ticks = 0
        """The server makes no progress until this time."""
        self.silent = False
        """Whether the server accepts jobs but never answers."""
        self.waiting_work = 0.0
        """Total work of the queued jobs."""

    def warmth(self, now: float) -> float:
        """Returns the ratio of the full capacity that is available at this time."""
        age = now - self.started
        if not self.cold or age >= self.cold:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0, age) / self.cold

    def take(self, now: float, job: JobT) -> Ticks | Literal[False] | None:
        """Accepts, queues or rejects a job.

        Returns:
            The service time if the job starts at once, None if it is queued, False if it is
            rejected.
        """
        if self.state != PodState.UP or (
            self.busy >= self.cores and len(self.queue) >= self.queue_most
        ):
            self.turned_away += 1
            return False
        if self.busy < self.cores:
            return self._start_job(now, job)
        self.queue.append(job)
        self.waiting_work += job.work
        return None

    def fits(self, now: float, goal: float) -> bool:
        """Returns whether a job that arrived now would start within `goal` ticks."""
        return (
            self.state == PodState.UP
            and now >= self.paused
            and not self.silent
            and self.waiting_work <= goal * self.cores * self.speed * self.warmth(now)
        )

    def _start_job(self, now: float, job: JobT) -> Ticks:
        self.busy += 1
        slowdown = self.build.slow if self.build.strikes(self, now, job.lane) else 1.0
        service_time = job.work * slowdown / (self.speed * self.warmth(now))
        self.worked_ticks += service_time
        return max(1, round(service_time))

    def finish(self, now: float) -> tuple[JobT, Ticks] | None:
        """Finishes a job and starts the next one from the queue.

        Returns:
            The started job and its service time, or None if the queue is empty.
        """
        self.busy -= 1
        self.done += 1
        if self.queue:
            job = self.queue.popleft()
            self.waiting_work -= job.work
            return job, self._start_job(now, job)
        return None
