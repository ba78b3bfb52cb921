"""Streams of random numbers from one distribution, drawn in blocks."""

from collections.abc import Callable

import numpy as np
from numpy.random import Generator
from numpy.typing import NDArray

# Numbers drawn per block. Where streams share a generator, changing this changes the numbers that
# each stream gets from a seed.
BLOCK_SIZE = 4096


class Stream:
    """Random numbers from one distribution.

    They are drawn in blocks because a numpy call per number would dominate the running time.

    Attributes:
        draw_block: Draws the given number of values.
        block: The current block of values.
        position: How many values of the block have been returned.
    """

    def __init__(self, draw: Callable[[int], NDArray[np.generic]]) -> None:
        self.draw_block = draw
        self.block = draw(BLOCK_SIZE).tolist()
        self.position = 0

    def next(self) -> float:
        """Returns the next number; it is an integer if the distribution is discrete."""
        if self.position >= BLOCK_SIZE:
            self.block = self.draw_block(BLOCK_SIZE).tolist()
            self.position = 0
        self.position += 1
        value: float = self.block[self.position - 1]
        return value


def gamma(generator: Generator, mean: float, spread: float) -> Stream:
    """Returns a stream of gamma-distributed numbers.

    Args:
        generator: Source of randomness.
        mean: Mean of the distribution.
        spread: Coefficient of variation (standard deviation divided by the mean): 1 gives the
            exponential distribution, 0 always gives the mean.
    """
    if spread <= 0:
        return Stream(lambda count: np.full(count, mean))
    shape = 1 / spread**2
    return Stream(lambda count: generator.gamma(shape, mean / shape, count))


def zipf_keys(generator: Generator, count: int, exponent: float) -> Stream:
    """Returns a stream of key ranks, starting at 0, that follow Zipf's law over a finite set.

    Args:
        generator: Source of randomness.
        count: Number of keys.
        exponent: Exponent of Zipf's law.
    """
    weights = 1 / np.arange(1, count + 1) ** exponent
    cumulative = np.cumsum(weights) / weights.sum()
    return Stream(lambda size: np.searchsorted(cumulative, generator.random(size)))
