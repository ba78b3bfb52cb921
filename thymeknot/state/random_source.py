"""Random numbers that are the same for the same seed, wherever they are drawn."""

from collections.abc import Sequence

# The multiplier and increment that Knuth chose for MMIX.
MULTIPLIER = 6364136223846793005
INCREMENT = 1442695040888963407
STATE_MASK = 0xFFFFFFFFFFFFFFFF  # the state has 64 bits
DISCARDED_BITS = 33  # the low bits of the state repeat soon
DRAW_RANGE = 2147483648  # 2^31: what is left of 64 bits without the dropped ones


class LinearCongruentialGenerator:
    """A linear congruential generator of which the high bits are used.

    Attributes:
        state: Its 64 bits; the seed at first.
    """

    def __init__(self, seed: int) -> None:
        self.state = seed

    def draw(self) -> float:
        """Returns the next random number, from 0 to below 1."""
        self.state = (self.state * MULTIPLIER + INCREMENT) & STATE_MASK
        return (self.state >> DISCARDED_BITS) / DRAW_RANGE

    def pick(self, weights: Sequence[float]) -> int:
        """Returns an index into the weights; each is as likely as it weighs."""
        remaining = self.draw() * sum(weights)
        for index, weight in enumerate(weights):
            remaining -= weight
            if remaining <= 0:
                return index
        return len(weights) - 1
