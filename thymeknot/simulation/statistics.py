"""Statistics of experiments: Erlang's formulas, goodness of fit, paired differences with intervals.

It uses numpy and scipy, which the sidecar never loads.
"""

import math
from typing import NamedTuple

import numpy as np
from numpy.typing import ArrayLike
from scipy import stats

# Halvings of the interval in which a quantile is searched: more than a double has bits.
QUANTILE_BISECTIONS = 80
# Upper end of that search, in mean service times.
QUANTILE_SEARCH_LIMIT = 200
# Two exponential rates closer than this are taken as equal, where the general formula divides by 0.
EQUAL_RATES = 1e-12
# The chance with which the least difference would be seen.
POWER = 0.8
# Expected number in a cell of a chi-squared test, below which cells are put together.
MIN_EXPECTED_COUNT = 20


def erlang_c(servers: int, load: float) -> float:
    """The probability of waiting in an M/M/c queue (Erlang's C formula).

    Args:
        servers: how many serve the queue.
        load: mean work in progress, in servers; less than `servers`.
    """
    blocking_probability = 1.0
    for count in range(1, servers + 1):
        blocking_probability = load * blocking_probability / (count + load * blocking_probability)
    share = load / servers
    return blocking_probability / (1 - share * (1 - blocking_probability))


def mmc_mean(servers: int, rate: float, mean: float) -> float:
    """The mean time in an M/M/c queue, service included, in the unit of `mean`.

    Args:
        servers: how many serve the queue.
        rate: arrivals per unit of `mean`.
        mean: mean service time.
    """
    load = rate * mean
    return mean + erlang_c(servers, load) * mean / (servers - load)


def mmc_quantile(servers: int, rate: float, mean: float, share: float) -> float:
    """The time in an M/M/c queue, service included, that this share of arrivals does not exceed.

    Args:
        servers: how many serve the queue.
        rate: arrivals per unit of `mean`.
        mean: mean service time.
        share: between 0 and 1.
    """
    waiting_probability = erlang_c(servers, rate * mean)
    drain_rate = (servers - rate * mean) / mean

    def probability_over(time: float) -> float:
        if abs(drain_rate - 1 / mean) < EQUAL_RATES:
            return math.exp(-time / mean) * (1 + waiting_probability * time / mean)
        factor = waiting_probability * (1 / mean) / (1 / mean - drain_rate)
        return (1 - factor) * math.exp(-time / mean) + factor * math.exp(-drain_rate * time)

    low = 0.0
    high = mean * QUANTILE_SEARCH_LIMIT
    for _ in range(QUANTILE_BISECTIONS):
        middle = (low + high) / 2
        if probability_over(middle) > 1 - share:
            low = middle
        else:
            high = middle
    return (low + high) / 2


class Difference(NamedTuple):
    """The mean difference of paired results, with its confidence interval."""

    mean: float
    low: float
    """Lower end of the interval; -inf for a single pair."""
    high: float
    """Upper end of the interval; inf for a single pair."""
    least: float
    """The smallest true difference that would be seen four times in five."""
    pairs: int


def paired(one: ArrayLike, two: ArrayLike, level: float = 0.95) -> Difference:
    """The mean of one - two over the same seeds, with its interval (Student's t).

    Args:
        one: results by seed.
        two: results of the same seeds in the same order.
        level: the confidence of the interval.
    """
    gaps = np.asarray(one, float) - np.asarray(two, float)
    count = len(gaps)
    mean = float(gaps.mean())
    if count < 2:
        return Difference(mean, -math.inf, math.inf, math.inf, count)
    standard_error = float(gaps.std(ddof=1) / math.sqrt(count))
    half_width = float(stats.t.ppf(0.5 + level / 2, count - 1)) * standard_error
    least = (
        float(stats.t.ppf(0.5 + level / 2, count - 1)) + float(stats.t.ppf(POWER, count - 1))
    ) * standard_error
    return Difference(mean, mean - half_width, mean + half_width, least, count)


def arrivals_p(gaps: ArrayLike) -> float:
    """The p value of these gaps between arrivals, if arrivals are Poisson (Kolmogorov-Smirnov)."""
    gaps = np.asarray(gaps, float)
    return float(stats.kstest(gaps / gaps.mean(), "expon").pvalue)


def zipf_p(ranks: ArrayLike, keys: int, exponent: float) -> float:
    """The p value of these ranks under Zipf's law (chi squared, the rare ranks in one cell).

    Args:
        ranks: of the keys drawn, from 0.
        keys: how many keys there are.
        exponent: of the law.
    """
    ranks = np.asarray(ranks)
    weights = 1 / np.arange(1, keys + 1) ** exponent
    expected = weights / weights.sum() * len(ranks)
    counts = np.bincount(ranks, minlength=keys)
    frequent = int(np.sum(expected >= MIN_EXPECTED_COUNT))
    observed_cells = np.append(counts[:frequent], counts[frequent:].sum())
    expected_cells = np.append(expected[:frequent], expected[frequent:].sum())
    return float(stats.chisquare(observed_cells, expected_cells).pvalue)
