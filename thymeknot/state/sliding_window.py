"""Counts over the last span of time."""


class SlidingWindow:
    """Counts over the last span of time, in buckets that are used again: as many as cover the span, at most as told. In
    a short span more of them, of a moment at least, would count what is older."""

    def __init__(self, span, buckets):
        self.span, self.width = span, max(1, -(-span // buckets))
        self.size = -(-span // self.width) + 1
        self.counts, self.last = [0] * self.size, 0

    def _turn(self, now):
        bucket = now // self.width
        if bucket <= self.last:
            return
        for step in range(max(self.last + 1, bucket - self.size + 1), bucket + 1):
            self.counts[step % self.size] = 0
        self.last = bucket

    def add(self, now, amount=1):
        self._turn(now)
        self.counts[self.last % self.size] += amount

    def total(self, now, full_only=False, back=None):
        """The last `back` buckets' sum (all if None), with the partly covered oldest one or without it."""
        self._turn(now)
        wanted = (self.size if back is None else min(self.size, back + 1)) - full_only
        begin = (self.last + 1 - wanted) % self.size
        end = begin + wanted  # slices: every transaction asks for a dozen of these sums
        if end <= self.size:
            return sum(self.counts[begin:end])
        return sum(self.counts[begin:]) + sum(self.counts[: end - self.size])


def window_of(rings, key, span, buckets):
    """The ring of this key. Every transaction asks for several: none is made that is not kept."""
    return rings.get(key) or rings.setdefault(key, SlidingWindow(span, buckets))
