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
        self.draw = draw
        self.values = draw(BLOCK_SIZE).tolist()
        self.at = 0

    def next(self) -> float:
        """The next number; a whole one where the distribution gives whole ones."""
        if self.at >= BLOCK_SIZE:
            self.values = self.draw(BLOCK_SIZE).tolist()
            self.at = 0
        self.at += 1
        value: float = self.values[self.at - 1]
        return value


def gamma(chance: Generator, mean: float, spread: float) -> Stream:
    """Gamma-distributed numbers.

    Args:
        chance: what they are drawn from.
        mean: of the distribution.
        spread: standard deviation over mean; 1 is exponential, 0 always gives the mean.
    """
    if spread <= 0:
        return Stream(lambda count: np.full(count, mean))
    shape = 1 / spread**2
    return Stream(lambda count: chance.gamma(shape, mean / shape, count))


def zipf_keys(chance: Generator, count: int, exponent: float) -> Stream:
    """Ranks of keys, from 0, by Zipf's law over a bounded number of them.

    Args:
        chance: what they are drawn from.
        count: how many keys there are.
        exponent: of the law.
    """
    weights = 1 / np.arange(1, count + 1) ** exponent
    steps = np.cumsum(weights) / weights.sum()
    return Stream(lambda size: np.searchsorted(steps, chance.random(size)))
