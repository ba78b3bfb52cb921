"""Streams of random numbers of one distribution, drawn in blocks."""

from collections.abc import Callable

import numpy as np
from numpy.random import Generator
from numpy.typing import NDArray

# Numbers drawn at once. It decides which numbers a seed gives where streams share a generator.
BLOCK_SIZE = 4096


class Stream:
    """Numbers of one distribution; a numpy call for each would take most of the time.

    Attributes:
        draw: Draws so many numbers.
        values: The present block.
        at: How many of the block are used.
    """

    def __init__(self, draw: Callable[[int], NDArray[np.generic]]) -> None:
        self.draw_block = draw
        self.block = draw(BLOCK_SIZE).tolist()
        self.position = 0

    def next(self) -> float:
        """The next number; a whole one where the distribution gives whole ones."""
        if self.position >= BLOCK_SIZE:
            self.block = self.draw_block(BLOCK_SIZE).tolist()
            self.position = 0
        self.position += 1
        value: float = self.block[self.position - 1]
        return value


def gamma(generator: Generator, mean: float, spread: float) -> Stream:
    """Gamma-distributed numbers.

    Args:
        generator: what they are drawn from.
        mean: of the distribution.
        spread: standard deviation over mean; 1 is exponential, 0 always gives the mean.
    """
    if spread <= 0:
        return Stream(lambda count: np.full(count, mean))
    shape = 1 / spread**2
    return Stream(lambda count: generator.gamma(shape, mean / shape, count))


def zipf_keys(generator: Generator, count: int, exponent: float) -> Stream:
    """Ranks of keys, from 0, by Zipf's law over a bounded number of them.

    Args:
        generator: what they are drawn from.
        count: how many keys there are.
        exponent: of the law.
    """
    weights = 1 / np.arange(1, count + 1) ** exponent
    cumulative = np.cumsum(weights) / weights.sum()
    return Stream(lambda size: np.searchsorted(cumulative, generator.random(size)))
