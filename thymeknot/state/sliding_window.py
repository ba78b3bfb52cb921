"""Sums over the latest span of time."""

from collections.abc import Hashable
from typing import TypeVar

from ..interface.clock import Ticks

Key = TypeVar("Key", bound=Hashable)


class SlidingWindow:
    """A sum over the latest span of time, in a ring of buckets that are used again.

    The buckets are as many as cover the span, and as many as asked for at most: in a short span
    more of them, each a tick long at least, would count what is older.

    Attributes:
        span: What the window covers, in ticks.
        width: What one bucket covers, in ticks.
    """

    def __init__(self, span: Ticks, buckets: int) -> None:
        self.span = span
        self.bucket_width = max(1, -(-span // buckets))
        # One more than covers the span: the oldest bucket is partly outside.
        self._size = -(-span // self.bucket_width) + 1
        self._sums: list[float] = [0] * self._size
        self._last = 0  # the number of the newest bucket, counted since time 0

    def _advance(self, now: Ticks) -> None:
        bucket = now // self.bucket_width
        if bucket <= self._last:
            return
        for step in range(max(self._last + 1, bucket - self._size + 1), bucket + 1):
            self._sums[step % self._size] = 0
        self._last = bucket

    def add(self, now: Ticks, amount: float = 1) -> None:
        """Adds an amount at this moment."""
        self._advance(now)
        self._sums[self._last % self._size] += amount

    def total(self, now: Ticks, exclude_oldest: bool = False, back: int | None = None) -> float:
        """Returns the sum over the window; whole amounts give a whole sum.

        Args:
            now: The end of the window.
            exclude_oldest: Whether the oldest bucket, which is partly outside, is left out.
            back: How many buckets count before the newest; None for all.
        """
        self._advance(now)
        size = self._size
        wanted = (size if back is None else min(size, back + 1)) - exclude_oldest
        begin = (self._last + 1 - wanted) % size
        end = begin + wanted  # slices: every request asks for a dozen of these sums
        if end <= size:
            return sum(self._sums[begin:end])
        return sum(self._sums[begin:]) + sum(self._sums[: end - size])


def get_or_create_window(
    windows: dict[Key, SlidingWindow], key: Key, span: Ticks, buckets: int
) -> SlidingWindow:
    """Returns the window of this key, which is made and kept where there is none yet.

    Every request asks for several: none is made that is not kept.
    """
    return windows.get(key) or windows.setdefault(key, SlidingWindow(span, buckets))
