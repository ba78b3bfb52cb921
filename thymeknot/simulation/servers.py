"""A simulated server: cores, a queue, a warm-up after its start, the faults of its build.

Work is first in, first out over the cores. A server that has just started has a part of its
capacity, rising evenly. Pure; times are ticks (tenths of a millisecond), work is ticks on one core
of speed 1.
"""

from collections import deque
from enum import StrEnum
from typing import Any, Generic, Literal, Protocol, TypeVar

from ..interface.clock import Ticks


class PodState(StrEnum):
    """What discovery says of a server."""

    UP = "up"
    DRAINING = "draining"
    DOWN = "down"


class Job(Protocol):
    """What a server works on."""

    work: float
    """Mean ticks on one core of speed 1."""
    lane: str
    """The name of its request class."""


JobT = TypeVar("JobT", bound=Job)


class Build:
    """What the servers of a build do to an attempt."""

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
        """Describes a build.

        Args:
            number: of the build.
            fails: share of the attempts that fail while the fault acts.
            slow: factor of the work while the fault acts.
            after: from the start of a server until the fault acts.
            lane: the only request class that the fault strikes; None: all.
            load: share of a server's cores that must be busy for the fault to act.
            shared: factor that slows all servers, by this build's share of the attempts.
        """
        self.number = number
        self.fails = fails
        self.slow = slow
        self.after = after
        self.lane = lane
        self.load = load
        self.shared = shared

    def strikes(self, pod: "Pod[Any]", now: float, lane: str) -> bool:
        """Whether its fault acts on an attempt of this request class now."""
        return (
            (self.lane is None or self.lane == lane)
            and now - pod.started >= self.after
            and pod.busy >= self.load * pod.cores
        )


class Pod(Generic[JobT]):
    """A server and what is in it."""

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
            name: its address.
            zone: where it stands.
            cores: jobs that it does at once.
            speed: work that a core does in a tick.
            queue_most: jobs that wait at most.
            build: what it runs.
            started: when it started.
            cold: how long it warms up.
            cold_from: share of its capacity at its start.
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
        """Cores at work."""
        self.queue: deque[JobT] = deque()
        self.done = 0
        """Jobs finished."""
        self.turned_away = 0
        """Jobs rejected."""
        self.worked_ticks = 0.0
        """Ticks of core time spent."""
        self.paused: Ticks = 0
        """Until when everything in it stands still."""
        self.silent = False
        """Whether it takes jobs and never answers."""
        self.waiting_work = 0.0
        """Work in its queue."""

    def warmth(self, now: float) -> float:
        """The share of its capacity that it has."""
        age = now - self.started
        if not self.cold or age >= self.cold:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0, age) / self.cold

    def take(self, now: float, job: JobT) -> Ticks | Literal[False] | None:
        """Takes a job.

        Returns:
            How long it takes if it begins at once, None if it waits, False if it is rejected.
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

    def could_start_within(self, now: float, goal: float) -> bool:
        """Whether a job that came now would begin within this time."""
        return (
            self.state == PodState.UP
            and now >= self.paused
            and not self.silent
            and self.waiting_work <= goal * self.cores * self.speed * self.warmth(now)
        )

    def _start_job(self, now: float, job: JobT) -> Ticks:
        self.busy += 1
        slow = self.build.slow if self.build.strikes(self, now, job.lane) else 1.0
        took = job.work * slow / (self.speed * self.warmth(now))
        self.worked_ticks += took
        return max(1, round(took))

    def finish(self, now: float) -> tuple[JobT, Ticks] | None:
        """Ends a job: the next one from the queue and how long it takes, or None."""
        self.busy -= 1
        self.done += 1
        if self.queue:
            job = self.queue.popleft()
            self.waiting_work -= job.work
            return job, self._start_job(now, job)
        return None
