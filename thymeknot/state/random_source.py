"""Random numbers that are the same for the same seed, wherever they are drawn."""


class LinearCongruentialGenerator:
    """A linear congruential generator, of which the high bits are used."""

    def __init__(self, seed):
        self.state = seed

    def draw(self):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return (self.state >> 33) / 2147483648

    def pick(self, weights):
        """A place in the weights, each as likely as it weighs."""
        lot = self.draw() * sum(weights)
        for place, weight in enumerate(weights):
            lot -= weight
            if lot <= 0:
                return place
        return len(weights) - 1
