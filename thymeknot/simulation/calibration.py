"""Small simulation runs with known results, used to validate the simulator itself."""

import heapq
from dataclasses import dataclass
from typing import Any, NamedTuple

import numpy as np

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import statistics
from .random_streams import Stream, gamma
from .scenarios import Day, Offer, drawn
from .servers import Build, Pod
from .simulator import Simulator

# Mean work of a queued job, in ticks.
MEAN_WORK = 2000.0
# Never reached; the formulas assume an unlimited queue.
UNLIMITED_QUEUE = 10**9
# The first 1/20 of the jobs is left out: they arrive before the queue has reached its steady state.
WARMUP_DIVISOR = 20


class QueueTimes(NamedTuple):
    """Sojourn times (waiting and service) in a queue, in ticks."""

    mean: float
    late: float
    """The 95th percentile."""
    expected_mean: float
    """Mean by Erlang's formulas."""
    expected_late: float
    """95th percentile by Erlang's formulas."""


@dataclass(slots=True)
class QueueJob:
    """A job of the simulated queue."""

    work: float
    lane: str
    at: float
    """Arrival time in ticks."""


def queue(servers: int, load: float, count: int, seed: int) -> QueueTimes:
    """Simulates one server with Poisson arrivals and exponential work.

    Args:
        servers: Number of cores of the server.
        load: Utilization of the cores.
        count: Number of jobs that arrive.
        seed: Seed of arrivals and work.
    """
    streams = [
        np.random.Generator(np.random.PCG64(one)) for one in np.random.SeedSequence(seed).spawn(2)
    ]
    rate = load * servers / MEAN_WORK
    gaps = gamma(streams[0], 1 / rate, 1.0)
    works = gamma(streams[1], MEAN_WORK, 1.0)
    times = np.array(_times_in_queue(servers, count, gaps, works)[count // WARMUP_DIVISOR :])
    return QueueTimes(
        float(times.mean()),
        float(np.quantile(times, 0.95)),
        statistics.mmc_mean(servers, rate, MEAN_WORK),
        statistics.mmc_quantile(servers, rate, MEAN_WORK, 0.95),
    )


def _times_in_queue(servers: int, count: int, gaps: Stream, works: Stream) -> list[float]:
    """Returns the sojourn times of jobs that end before the last arrival, in order of ends."""
    pod: Pod[QueueJob] = Pod(
        "p", "a", cores=servers, speed=1.0, queue_limit=UNLIMITED_QUEUE, build=Build(1), started=0
    )
    running: list[tuple[float, int, QueueJob]] = []
    times: list[float] = []
    number = 0
    now = 0.0

    def begin(moment: float, job: QueueJob, took: Ticks) -> None:
        nonlocal number
        number += 1
        heapq.heappush(running, (moment + took, number, job))

    for _ in range(count):
        now += gaps.next()
        while running and running[0][0] <= now:
            moment, _, done = heapq.heappop(running)
            times.append(moment - done.at)
            following = pod.finish(moment)
            if following:
                begin(moment, *following)
        job = QueueJob(works.next(), "x", now)
        took = pod.submit(now, job)
        if took is not None:
            begin(now, job, took)
    return times


def hard_day(seed: int) -> Day:
    """Returns a day on which a policy that breaks any one of the rules is detected.

    A release drains the earlier servers, some attempts fail, and servers warm up.
    """
    day = drawn(seed, instances=6, pods=8, rate=100.0, seconds=60, load=0.3, troubles=0)
    offer = Offer(
        at=3 * TICKS_PER_SECOND, build=2, good=True, fails=0.03, slow=1.0, after=0, load=0.0
    )
    return day._replace(offers=(offer,))


def broken_by(policy: Any, seed: int) -> list[int]:
    """Returns the rules that a policy breaks on the hard day of this seed."""
    broken: list[int] = Simulator(hard_day(seed), policy).run().checker.violated_rules()
    return broken
