"""Statistics for experiments: Erlang's formulas, goodness of fit and paired differences.

This module needs numpy and scipy, which the sidecar never imports.
"""

import math
from typing import NamedTuple

import numpy as np
from numpy.typing import ArrayLike
from scipy import stats

# Bisection steps of the quantile search: more than a double has bits.
QUANTILE_BISECTIONS = 80
# Upper bound of the quantile search, in mean service times.
QUANTILE_SEARCH_LIMIT = 200
# Exponential rates closer than this are treated as equal, because the general formula would divide
# by zero.
EQUAL_RATES = 1e-12
# Statistical power at which the least detectable difference is computed.
POWER = 0.8
# Cells of a chi-squared test with a lower expected count are merged into one.
MIN_EXPECTED_COUNT = 20


def erlang_c(servers: int, load: float) -> float:
    """Returns the probability of waiting in an M/M/c queue (Erlang's C formula).

    Args:
        servers: Number of servers.
        load: Offered load in erlangs, less than `servers`.
    """
    blocking_probability = 1.0
    for count in range(1, servers + 1):
        blocking_probability = load * blocking_probability / (count + load * blocking_probability)
    utilization = load / servers
    return blocking_probability / (1 - utilization * (1 - blocking_probability))


def mmc_mean(servers: int, rate: float, mean: float) -> float:
    """Returns the mean sojourn time (waiting and service) in an M/M/c queue, in the unit of `mean`.

    Args:
        servers: Number of servers.
        rate: Arrivals per unit of `mean`.
        mean: Mean service time.
    """
    load = rate * mean
    return mean + erlang_c(servers, load) * mean / (servers - load)


def mmc_quantile(servers: int, rate: float, mean: float, quantile: float) -> float:
    """Returns a quantile of the sojourn time (waiting and service) in an M/M/c queue.

    Args:
        servers: Number of servers.
        rate: Arrivals per unit of `mean`.
        mean: Mean service time.
        quantile: The quantile, between 0 and 1.
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
        if probability_over(middle) > 1 - quantile:
            low = middle
        else:
            high = middle
    return (low + high) / 2


class Difference(NamedTuple):
    """The mean difference of paired results and its confidence interval."""

    mean: float
    low: float
    """Lower bound of the interval; -inf for a single pair."""
    high: float
    """Upper bound of the interval; inf for a single pair."""
    smallest_detectable: float
    """The smallest true difference that would be detected with 80% probability."""
    pair_count: int


def paired_difference(first: ArrayLike, second: ArrayLike, level: float = 0.95) -> Difference:
    """Returns the mean of `first - second` over the same seeds with its interval (Student's t).

    Args:
        first: One result per seed.
        second: Results for the same seeds, in the same order.
        level: Confidence level of the interval.
    """
    differences = np.asarray(first, float) - np.asarray(second, float)
    count = len(differences)
    mean = float(differences.mean())
    if count < 2:
        return Difference(mean, -math.inf, math.inf, math.inf, count)
    standard_error = float(differences.std(ddof=1) / math.sqrt(count))
    half_width = float(stats.t.ppf(0.5 + level / 2, count - 1)) * standard_error
    smallest_detectable = (
        float(stats.t.ppf(0.5 + level / 2, count - 1)) + float(stats.t.ppf(POWER, count - 1))
    ) * standard_error
    return Difference(mean, mean - half_width, mean + half_width, smallest_detectable, count)


def poisson_p_value(interarrival_times: ArrayLike) -> float:
    """Returns the p value of a Kolmogorov-Smirnov test that the arrivals are a Poisson process.

    Args:
        interarrival_times: Times between successive arrivals.
    """
    interarrival_times = np.asarray(interarrival_times, float)
    return float(stats.kstest(interarrival_times / interarrival_times.mean(), "expon").pvalue)


def zipf_p_value(ranks: ArrayLike, keys: int, exponent: float) -> float:
    """Returns the p value of a chi-squared test that key ranks follow Zipf's law.

    The rare ranks are merged into one cell.

    Args:
        ranks: Ranks of the drawn keys, starting at 0.
        keys: Number of keys.
        exponent: Exponent of Zipf's law.
    """
    ranks = np.asarray(ranks)
    weights = 1 / np.arange(1, keys + 1) ** exponent
    expected = weights / weights.sum() * len(ranks)
    counts = np.bincount(ranks, minlength=keys)
    frequent = int(np.sum(expected >= MIN_EXPECTED_COUNT))
    observed_cells = np.append(counts[:frequent], counts[frequent:].sum())
    expected_cells = np.append(expected[:frequent], expected[frequent:].sum())
    return float(stats.chisquare(observed_cells, expected_cells).pvalue)
