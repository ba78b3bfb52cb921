"""The unit of time of the whole program: whole tenths of a millisecond."""

from typing import TypeAlias

Ticks: TypeAlias = int
"""A moment or a duration in tenths of a millisecond."""

TICKS_PER_SECOND: Ticks = 10_000
