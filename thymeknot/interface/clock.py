"""The program's unit of time: one tick is a tenth of a millisecond."""

from typing import TypeAlias

Ticks: TypeAlias = int
"""A point in time or a duration, as an integer number of tenths of a millisecond."""

TICKS_PER_SECOND: Ticks = 10_000
