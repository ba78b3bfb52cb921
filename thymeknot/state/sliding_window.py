"""Sums over a sliding time window."""

from collections.abc import Hashable
from typing import TypeVar

from ..interface.clock import Ticks

Key = TypeVar("Key", bound=Hashable)


class SlidingWindow:
    """A sum over a sliding time window, kept in a ring buffer of time buckets.

    A bucket covers at least one tick, so a short span has fewer buckets than requested: further
    buckets would include amounts older than the span.

    Attributes:
        span: Duration of the window, in ticks.
        bucket_width: Duration of a bucket, in ticks.
    """

    def __init__(self, span: Ticks, buckets: int) -> None:
        self.span = span
        self.bucket_width = max(1, -(-span // buckets))
        # One bucket more than the span, because the oldest bucket is partly outside of it.
        self._size = -(-span // self.bucket_width) + 1
        self._sums: list[float] = [0] * self._size
        self._newest = 0  # index of the newest bucket, counted from time 0

    def _advance(self, now: Ticks) -> None:
        bucket = now // self.bucket_width
        if bucket <= self._newest:
            return
        for step in range(max(self._newest + 1, bucket - self._size + 1), bucket + 1):
            self._sums[step % self._size] = 0
        self._newest = bucket

    def add(self, now: Ticks, amount: float = 1) -> None:
        """Adds an amount at time `now`."""
        self._advance(now)
        self._sums[self._newest % self._size] += amount

    def total(
        self, now: Ticks, exclude_oldest: bool = False, buckets_back: int | None = None
    ) -> float:
        """Returns the sum over the window; it is an integer if all amounts are.

        Args:
            now: The end of the window.
            exclude_oldest: Whether to skip the oldest bucket, which is partly outside the window.
            buckets_back: How many buckets before the newest to include; None for all.
        """
        self._advance(now)
        size = self._size
        bucket_count = (
            size if buckets_back is None else min(size, buckets_back + 1)
        ) - exclude_oldest
        begin = (self._newest + 1 - bucket_count) % size
        end = begin + bucket_count  # slices, because each request computes a dozen sums
        if end <= size:
            return sum(self._sums[begin:end])
        return sum(self._sums[begin:]) + sum(self._sums[: end - size])


def get_or_create_window(
    windows: dict[Key, SlidingWindow], key: Key, span: Ticks, buckets: int
) -> SlidingWindow:
    """Returns the window of a key, and creates it if it does not exist.

    On the hot path: a window is only constructed when it is stored.
    """
    return windows.get(key) or windows.setdefault(key, SlidingWindow(span, buckets))
