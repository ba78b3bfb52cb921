"""A deterministic random number generator: the same seed gives the same numbers everywhere."""

from collections.abc import Sequence

# The multiplier and increment of Knuth's MMIX generator.
MULTIPLIER = 6364136223846793005
INCREMENT = 1442695040888963407
STATE_MASK = 0xFFFFFFFFFFFFFFFF  # the state has 64 bits
DISCARDED_BITS = 33  # the low bits of the state have short periods
DRAW_RANGE = 2147483648  # 2^31: the range of the remaining bits


class LinearCongruentialGenerator:
    """A 64-bit linear congruential generator that outputs the high bits of its state.

    Attributes:
        state: The current 64-bit state; initially the seed.
    """

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        """Returns the next random number in [0, 1)."""
        self.state = (self.state * MULTIPLIER + INCREMENT) & STATE_MASK
        return (self.state >> DISCARDED_BITS) / DRAW_RANGE

    def pick(self, weights: Sequence[float]) -> int:
        """Returns a random index with a probability proportional to its weight."""
        remaining = self.draw() * sum(weights)
        for index, weight in enumerate(weights):
            remaining -= weight
            if remaining <= 0:
                return index
        return len(weights) - 1
