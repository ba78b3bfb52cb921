"""Finds heavy hitters in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi 2005)."""

from typing import NamedTuple


class Hitter(NamedTuple):
    """A frequent name."""

    name: str
    estimate: int
    """The number of occurrences; it may be too high, by `overcount` at most."""
    overcount: int


class HeavyHitters:
    """Estimates the most frequent names with a fixed number of counters.

    Attributes:
        size: The number of counters.
        counts: The estimated count of each name that has a counter.
        overcounts: The maximum error of each estimate.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.counts: dict[str, int] = {}
        self.overcounts: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Counts one occurrence of a name."""
        counts = self.counts
        if name in counts:
            counts[name] += 1
        elif len(counts) < self.size:
            counts[name] = 1
            self.overcounts[name] = 0
        else:
            rarest = min(counts, key=counts.__getitem__)
            rarest_count = counts.pop(rarest)
            del self.overcounts[rarest]
            counts[name] = rarest_count + 1
            self.overcounts[name] = rarest_count

    def top(self, count: int) -> list[Hitter]:
        """Returns the most frequent names, highest estimate first."""
        names = sorted(self.counts, key=self.counts.__getitem__, reverse=True)[:count]
        return [Hitter(name, self.counts[name], self.overcounts[name]) for name in names]
