"""An emulated pod: cores, a queue, a cold start, its build's faults. Pure; times are tenths of a millisecond.

Work is first in, first out over the cores. A pod that has just started does a part of its work, rising evenly; one that
is sent more than `falls` times what it can do, for so long, falls over and stays down (rule 4's harm).
"""

from collections import deque

UP, DRAINING, DOWN, SILENT = "up", "draining", "down", "silent"


class Build:
    """What a build's pods do to a delivery. fails: share; slow: times the work; after: seconds from the start on."""

    __slots__ = ("number", "fails", "slow", "after", "lane", "load", "shared")

    def __init__(self, number, fails=0.0, slow=1.0, after=0, lane=None, load=0.0, shared=0.0):
        self.number, self.fails, self.slow, self.after, self.lane, self.load = (
            number,
            fails,
            slow,
            after,
            lane,
            load,
        )
        self.shared = shared

    def strikes(self, pod, now, lane):
        """Whether its fault acts on this delivery now."""
        return (
            (self.lane is None or self.lane == lane)
            and now - pod.started >= self.after
            and pod.busy >= self.load * pod.cores
        )


class Pod:
    __slots__ = (
        "name",
        "zone",
        "cores",
        "speed",
        "queue_most",
        "build",
        "started",
        "cold",
        "cold_from",
        "state",
        "busy",
        "queue",
        "done",
        "turned_away",
        "worked",
        "paused",
        "silent",
        "wait",
    )

    def __init__(self, name, zone, cores, speed, queue_most, build, started, cold=0, cold_from=1.0):
        self.name, self.zone, self.cores, self.speed, self.queue_most = (
            name,
            zone,
            cores,
            speed,
            queue_most,
        )
        self.build, self.started, self.cold, self.cold_from = build, started, cold, cold_from
        self.state, self.busy, self.queue = UP, 0, deque()
        self.done = self.turned_away = 0
        self.worked, self.paused, self.silent, self.wait = (
            0.0,
            0,
            False,
            0.0,
        )  # wait: work in its queue

    def warmth(self, now):
        """The part of its capacity that it has."""
        age = now - self.started
        if not self.cold or age >= self.cold:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0, age) / self.cold

    def take(self, now, job):
        """How long until this job is done if it begins at once; None where it waits; False where it is turned away."""
        if self.state != UP or (self.busy >= self.cores and len(self.queue) >= self.queue_most):
            self.turned_away += 1
            return False
        if self.busy < self.cores:
            return self._begin(now, job)
        self.queue.append(job)
        self.wait += job.work
        return None

    def fits(self, now, goal):
        """Whether what came now would be begun within so long: what a client could have had here."""
        return (
            self.state == UP
            and now >= self.paused
            and not self.silent
            and self.wait <= goal * self.cores * self.speed * self.warmth(now)
        )

    def _begin(self, now, job):
        self.busy += 1
        slow = self.build.slow if self.build.strikes(self, now, job.lane) else 1.0
        took = job.work * slow / (self.speed * self.warmth(now))
        self.worked += took
        return max(1, round(took))

    def finish(self, now):
        """A core is free: the next job and how long it takes, or None."""
        self.busy -= 1
        self.done += 1
        if self.queue:
            job = self.queue.popleft()
            self.wait -= job.work
            return job, self._begin(now, job)
        return None
