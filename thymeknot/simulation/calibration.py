"""Small simulation runs with known results, used to validate the simulator itself."""

import heapq
from dataclasses import dataclass
from typing import Any, NamedTuple

import numpy as np

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import statistics
from .random_streams import Stream, gamma
from .scenarios import Day, Offer, draw_day
from .servers import Build, Pod
from .simulator import Simulator

# Mean service time of a job, in ticks.
MEAN_WORK = 2000.0
# Never reached; the formulas assume an unlimited queue.
UNLIMITED_QUEUE = 10**9
# The first 1/20 of the jobs is left out: they arrive before the queue has reached its steady state.
WARMUP_DIVISOR = 20


class QueueTimes(NamedTuple):
    """Sojourn times (waiting and service) in a queue, in ticks."""

    mean: float
    p95: float
    """The 95th percentile."""
    expected_mean: float
    """Mean by Erlang's formulas."""
    expected_p95: float
    """95th percentile by Erlang's formulas."""


@dataclass(slots=True)
class QueueJob:
    """A job of the simulated queue."""

    work: float
    lane: str
    arrived_at: float
    """Arrival time in ticks."""


def simulate_queue(cores: int, load: float, job_count: int, seed: int) -> QueueTimes:
    """Simulates one server with Poisson arrivals and exponential service times (an M/M/c queue).

    Args:
        cores: Number of cores of the server.
        load: Utilization of the cores.
        job_count: Number of jobs that arrive.
        seed: Seed of arrivals and service times.
    """
    streams = [
        np.random.Generator(np.random.PCG64(stream_seed))
        for stream_seed in np.random.SeedSequence(seed).spawn(2)
    ]
    rate = load * cores / MEAN_WORK
    interarrival_times = gamma(streams[0], 1 / rate, 1.0)
    service_times = gamma(streams[1], MEAN_WORK, 1.0)
    sojourn_times = np.array(
        _simulate_sojourn_times(cores, job_count, interarrival_times, service_times)[
            job_count // WARMUP_DIVISOR :
        ]
    )
    return QueueTimes(
        float(sojourn_times.mean()),
        float(np.quantile(sojourn_times, 0.95)),
        statistics.mmc_mean(cores, rate, MEAN_WORK),
        statistics.mmc_quantile(cores, rate, MEAN_WORK, 0.95),
    )


def _simulate_sojourn_times(
    cores: int, job_count: int, interarrival_times: Stream, service_times: Stream
) -> list[float]:
    """Returns the sojourn times of the jobs that end before the last arrival, ordered by end."""
    pod: Pod[QueueJob] = Pod(
        "p", "a", cores=cores, speed=1.0, queue_limit=UNLIMITED_QUEUE, build=Build(1), started=0
    )
    running: list[tuple[float, int, QueueJob]] = []
    sojourn_times: list[float] = []
    sequence = 0
    now = 0.0

    def start_job(moment: float, job: QueueJob, duration: Ticks) -> None:
        nonlocal sequence
        sequence += 1
        heapq.heappush(running, (moment + duration, sequence, job))

    for _ in range(job_count):
        now += interarrival_times.next()
        while running and running[0][0] <= now:
            moment, _, ended_job = heapq.heappop(running)
            sojourn_times.append(moment - ended_job.arrived_at)
            next_start = pod.finish(moment)
            if next_start:
                start_job(moment, *next_start)
        job = QueueJob(service_times.next(), "x", now)
        duration = pod.submit(now, job)
        if duration is not None:
            start_job(now, job, duration)
    return sojourn_times


def rule_check_day(seed: int) -> Day:
    """Returns a day on which a policy that breaks any of the five rules is detected.

    A release drains the earlier servers, some attempts fail, and servers warm up.
    """
    day = draw_day(seed, instances=6, pods=8, rate=100.0, seconds=60, load=0.3, fault_count=0)
    offer = Offer(
        at=3 * TICKS_PER_SECOND,
        build=2,
        good=True,
        failure_ratio=0.03,
        slowdown=1.0,
        fault_delay=0,
        fault_load=0.0,
    )
    return day._replace(offers=(offer,))


def find_broken_rules(policy: Any, seed: int) -> list[int]:
    """Returns the numbers of the rules that a policy breaks on the day of `rule_check_day`.

    Args:
        policy: Creates the decision engines.
        seed: Seed of the day.
    """
    broken: list[int] = Simulator(rule_check_day(seed), policy).run().checker.violated_rules()
    return broken
