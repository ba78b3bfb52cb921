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

    __slots__ = (
        "failure_ratio",
        "fault_delay",
        "fleet_slowdown",
        "lane",
        "min_load",
        "number",
        "slowdown",
    )

    def __init__(
        self,
        number: int,
        failure_ratio: float = 0.0,
        *,
        slowdown: float = 1.0,
        fault_delay: Ticks = 0,
        lane: str | None = None,
        min_load: float = 0.0,
        fleet_slowdown: float = 0.0,
    ) -> None:
        """Creates a build.

        Args:
            number: Number of the build.
            failure_ratio: Ratio of attempts that fail while the fault is active.
            slowdown: Factor applied to the work while the fault is active.
            fault_delay: Time from the start of a server until the fault becomes active, in ticks.
            lane: The only request class affected by the fault; None for all classes.
            min_load: Ratio of a server's cores that must be busy for the fault to be active.
            fleet_slowdown: Slowdown of all servers, scaled by this build's share of the attempts.
        """
        self.number = number
        self.failure_ratio = failure_ratio
        self.slowdown = slowdown
        self.fault_delay = fault_delay
        self.lane = lane
        self.min_load = min_load
        self.fleet_slowdown = fleet_slowdown

    def fault_applies(self, pod: "Pod[Any]", now: float, lane: str) -> bool:
        """Returns whether the fault affects an attempt of this request class now."""
        return (
            (self.lane is None or self.lane == lane)
            and now - pod.started >= self.fault_delay
            and pod.busy_cores >= self.min_load * pod.cores
        )


class Pod(Generic[JobT]):
    """A server with its running and queued jobs."""

    __slots__ = (
        "build",
        "busy_cores",
        "busy_ticks",
        "cores",
        "finished_jobs",
        "name",
        "paused_until",
        "queue",
        "queue_limit",
        "queued_work",
        "rejected_jobs",
        "speed",
        "started",
        "state",
        "unresponsive",
        "warmup_duration",
        "warmup_initial_fraction",
        "zone",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        *,
        cores: int,
        speed: float,
        queue_limit: int,
        build: Build,
        started: Ticks,
        warmup_duration: Ticks = 0,
        warmup_initial_fraction: float = 1.0,
    ) -> None:
        """Starts a server with an empty queue.

        Args:
            name: Address of the server.
            zone: Zone of the server.
            cores: Number of jobs that run concurrently.
            speed: Work that a core completes per tick.
            queue_limit: Maximum number of queued jobs.
            build: Build that the server runs.
            started: When the server started.
            warmup_duration: Duration of the warm-up, in ticks.
            warmup_initial_fraction: Ratio of the full capacity that is available at the start.
        """
        self.name = name
        self.zone = zone
        self.cores = cores
        self.speed = speed
        self.queue_limit = queue_limit
        self.build = build
        self.started = started
        self.warmup_duration = warmup_duration
        self.warmup_initial_fraction = warmup_initial_fraction
        self.state = PodState.UP
        self.busy_cores = 0
        """Number of busy cores."""
        self.queue: deque[JobT] = deque()
        self.finished_jobs = 0
        """Number of finished jobs."""
        self.rejected_jobs = 0
        """Number of rejected jobs."""
        self.busy_ticks = 0.0
        """Core time used, in ticks."""
        self.paused_until: Ticks = 0
        """The server makes no progress until this time."""
        self.unresponsive = False
        """Whether the server accepts jobs but never answers."""
        self.queued_work = 0.0
        """Total work of the queued jobs."""

    def capacity_fraction(self, now: float) -> float:
        """Returns the ratio of the full capacity that is available at this time."""
        age = now - self.started
        if not self.warmup_duration or age >= self.warmup_duration:
            return 1.0
        return (
            self.warmup_initial_fraction
            + (1 - self.warmup_initial_fraction) * max(0, age) / self.warmup_duration
        )

    def submit(self, now: float, job: JobT) -> Ticks | Literal[False] | None:
        """Accepts, queues or rejects a job.

        Returns:
            The service time if the job starts at once, None if it is queued, False if it is
            rejected.
        """
        if self.state != PodState.UP or (
            self.busy_cores >= self.cores and len(self.queue) >= self.queue_limit
        ):
            self.rejected_jobs += 1
            return False
        if self.busy_cores < self.cores:
            return self._start_job(now, job)
        self.queue.append(job)
        self.queued_work += job.work
        return None

    def can_start_within(self, now: float, max_wait: float) -> bool:
        """Returns whether a job that arrived now would start within `max_wait` ticks."""
        return (
            self.state == PodState.UP
            and now >= self.paused_until
            and not self.unresponsive
            and self.queued_work <= max_wait * self.cores * self.speed * self.capacity_fraction(now)
        )

    def _start_job(self, now: float, job: JobT) -> Ticks:
        self.busy_cores += 1
        slowdown = self.build.slowdown if self.build.fault_applies(self, now, job.lane) else 1.0
        service_time = job.work * slowdown / (self.speed * self.capacity_fraction(now))
        self.busy_ticks += service_time
        return max(1, round(service_time))

    def finish(self, now: float) -> tuple[JobT, Ticks] | None:
        """Finishes a job and starts the next one from the queue.

        Returns:
            The started job and its service time, or None if the queue is empty.
        """
        self.busy_cores -= 1
        self.finished_jobs += 1
        if self.queue:
            job = self.queue.popleft()
            self.queued_work -= job.work
            return job, self._start_job(now, job)
        return None
