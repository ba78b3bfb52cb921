"""Statistics of experiments: Erlang's formulas, goodness of fit, paired differences with intervals. On scipy."""

import math
from typing import NamedTuple

import numpy as np
from scipy import stats


def erlang_c(servers, load):
    """The chance to wait in M/M/c. load: mean work in progress, in servers."""
    blocked = 1.0
    for count in range(1, servers + 1):
        blocked = load * blocked / (count + load * blocked)
    share = load / servers
    return blocked / (1 - share * (1 - blocked))


def mmc_mean(servers, rate, mean):
    """Mean time in an M/M/c queue with its service, in the unit of `mean`; rate in arrivals per that unit."""
    load = rate * mean
    return mean + erlang_c(servers, load) * mean / (servers - load)


def mmc_quantile(servers, rate, mean, share):
    """The time in an M/M/c queue with its service that this share of the arrivals does not exceed."""
    wait, drained = erlang_c(servers, rate * mean), (servers - rate * mean) / mean

    def over(time):
        if abs(drained - 1 / mean) < 1e-12:
            return math.exp(-time / mean) * (1 + wait * time / mean)
        factor = wait * (1 / mean) / (1 / mean - drained)
        return (1 - factor) * math.exp(-time / mean) + factor * math.exp(-drained * time)

    low, high = 0.0, mean * 200
    for _ in range(80):
        middle = (low + high) / 2
        low, high = (middle, high) if over(middle) > 1 - share else (low, middle)
    return (low + high) / 2


class Difference(NamedTuple):
    """Of paired results. least: the smallest true difference that would be seen four times in five."""

    mean: float
    low: float
    high: float
    least: float
    pairs: int


def paired(one, two, level=0.95):
    """The mean of one - two over the same seeds with its interval (Student's t)."""
    gaps = np.asarray(one, float) - np.asarray(two, float)
    count = len(gaps)
    mean = float(gaps.mean())
    if count < 2:
        return Difference(mean, -math.inf, math.inf, math.inf, count)
    error = float(gaps.std(ddof=1) / math.sqrt(count))
    width = float(stats.t.ppf(0.5 + level / 2, count - 1)) * error
    least = (
        float(stats.t.ppf(0.5 + level / 2, count - 1)) + float(stats.t.ppf(0.8, count - 1))
    ) * error
    return Difference(mean, mean - width, mean + width, least, count)


def arrivals_p(gaps):
    """How likely gaps as these are if arrivals are Poisson's (Kolmogorov and Smirnov)."""
    gaps = np.asarray(gaps, float)
    return float(stats.kstest(gaps / gaps.mean(), "expon").pvalue)


def zipf_p(ranks, keys, exponent):
    """How likely ranks as these are under Zipf's law over so many keys (chi squared, the rare ones together)."""
    weights = 1 / np.arange(1, keys + 1) ** exponent
    expected = weights / weights.sum() * len(ranks)
    seen = np.bincount(np.asarray(ranks), minlength=keys)
    often = int(np.sum(expected >= 20))
    told = np.append(seen[:often], seen[often:].sum())
    wanted = np.append(expected[:often], expected[often:].sum())
    return float(stats.chisquare(told, wanted).pvalue)
