"""Heavy hitters in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi 2005)."""


class HeavyHitters:
    """The names seen most often, of any number of names, in so many counters. A count is too high by `over` at most."""

    def __init__(self, size):
        self.size, self.counts, self.over = size, {}, {}

    def add(self, name):
        counts = self.counts
        if name in counts:
            counts[name] += 1
        elif len(counts) < self.size:
            counts[name], self.over[name] = 1, 0
        else:
            least = min(counts, key=counts.get)
            low = counts.pop(least)
            del self.over[least]
            counts[name], self.over[name] = low + 1, low

    def top(self, count):
        """(name, count, by how much it may be too high), the highest first."""
        names = sorted(self.counts, key=self.counts.get, reverse=True)[:count]
        return [(name, self.counts[name], self.over[name]) for name in names]
