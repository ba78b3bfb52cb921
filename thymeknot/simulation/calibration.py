"""Small runs with a known result, by which the laboratory itself is checked."""

import heapq

import numpy as np

from ..interface.clock import TICKS_PER_SECOND
from . import statistics
from .scenarios import Offer, drawn
from .servers import Build, Pod
from .simulator import Simulator, gamma


def queue(servers, load, count, seed):
    """(mean, 95th percentile, and both by Erlang's formulas) of the time in one emulated pod with Poisson arrivals and
    exponential work, in tenths of a millisecond."""
    streams = [
        np.random.Generator(np.random.PCG64(one)) for one in np.random.SeedSequence(seed).spawn(2)
    ]
    mean = 2000.0
    pod = Pod("p", "a", cores=servers, speed=1.0, queue_most=10**9, build=Build(1), started=0)
    rate = load * servers / mean
    gaps, works = gamma(streams[0], 1 / rate, 1.0), gamma(streams[1], mean, 1.0)

    class Job:
        __slots__ = ("work", "lane", "at")

    heap, now, times, number = [], 0.0, [], 0

    def begin(job, took):
        nonlocal number
        number += 1
        heapq.heappush(heap, (moment + took, number, job))

    for _ in range(count):
        now += gaps.next()
        while heap and heap[0][0] <= now:
            moment, _, job = heapq.heappop(heap)
            times.append(moment - job.at)
            following = pod.finish(moment)
            if following:
                begin(*following)
        job = Job()
        job.work, job.lane, job.at = works.next(), "x", now
        moment, took = now, pod.take(now, job)
        if took is not None:
            begin(job, took)
    times = np.array(times[count // 20 :])
    return (
        float(times.mean()),
        float(np.quantile(times, 0.95)),
        statistics.mmc_mean(servers, rate, mean),
        statistics.mmc_quantile(servers, rate, mean, 0.95),
    )


def hard_day(seed):
    """A day on which each breaker has its occasion: a release that drains the earlier pods, errors, cold pods."""
    day = drawn(seed, instances=6, pods=8, rate=100.0, seconds=60, load=0.3, troubles=0)
    return day._replace(offers=(Offer(3 * TICKS_PER_SECOND, 2, True, 0.03, 1.0, 0, 0.0),))


def broken_by(policy, seed):
    """The rules that the checkers find broken on that day."""
    return Simulator(hard_day(seed), policy).play().checker.rules_broken()
