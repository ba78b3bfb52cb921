"""Small runs with a known result, by which the simulation itself is checked."""

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

# Mean work of a job of the queue, in ticks.
MEAN_WORK = 2000.0
# More than ever wait: the queue of the formulas is unlimited.
UNLIMITED_QUEUE = 10**9
# This part of the jobs, one in so many, finds the queue emptier than it is later and is left out.
WARMUP_DIVISOR = 20


class QueueTimes(NamedTuple):
    """Times in a queue, service included, in ticks."""

    mean: float
    late: float
    """The 95th percentile."""
    expected_mean: float
    """By Erlang's formulas."""
    expected_late: float
    """By Erlang's formulas."""


@dataclass(slots=True)
class QueueJob:
    """A job of the simulated queue."""

    work: float
    lane: str
    at: float
    """When it arrived."""


def queue(servers: int, load: float, count: int, seed: int) -> QueueTimes:
    """Times in one simulated server with Poisson arrivals and exponential work.

    Args:
        servers: cores of the server.
        load: share of the cores at work.
        count: how many jobs arrive.
        seed: of arrivals and work.
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
    """The times of the jobs that are done before the last one arrives, in the order of ends."""
    pod: Pod[QueueJob] = Pod(
        "p", "a", cores=servers, speed=1.0, queue_most=UNLIMITED_QUEUE, build=Build(1), started=0
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
        took = pod.take(now, job)
        if took is not None:
            begin(now, job, took)
    return times


def hard_day(seed: int) -> Day:
    """A day on which each breaker of a rule has its occasion.

    A release drains the earlier servers, there are errors, and servers that warm up.
    """
    day = drawn(seed, instances=6, pods=8, rate=100.0, seconds=60, load=0.3, troubles=0)
    offer = Offer(
        at=3 * TICKS_PER_SECOND, build=2, good=True, fails=0.03, slow=1.0, after=0, load=0.0
    )
    return day._replace(offers=(offer,))


def broken_by(policy: Any, seed: int) -> list[int]:
    """The rules that the checkers find broken by a policy on the hard day of this seed."""
    broken: list[int] = Simulator(hard_day(seed), policy).play().checker.rules_broken()
    return broken
