"""How the slots are parted into regions, and which slot of a region an entry takes.

There is a region for votes, one for ordinary transactions of idempotent request classes, and for
other transactions regions by request class and by whether the transaction was unusual. Their sizes
follow the classes' priority weights. So no class can take another one's slots.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple, Union

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Idempotency
from ..interface.settings import RequestClass
from ..state.sliding_window import SlidingWindow
from .fair_eviction import FairEviction, Holder
from .settings import DecisionLogSettings

RegionKey = Union[str, tuple[str, bool]]
"""VOTES, ORDINARY, or a request class and whether the region is for its unusual transactions."""

VOTES: Final = "votes"
ORDINARY: Final = "ordinary"
VOTES_PART: Final = 0.05
"""Part of all slots for votes: they are few, and explain a whole release."""
UNUSUAL_PART: Final = 0.6
"""Part of a class's slots for its unusual transactions: these are asked for more often."""
MIN_REGION_SLOTS: Final = 8
"""Of every region, however little its class is worth."""
MAX_REQUEST_CLASSES: Final = 64
"""That have regions of their own, so that these stay large enough to be of use."""
RATE_SPAN: Final[Ticks] = 60 * TICKS_PER_SECOND
"""The time over which the rate of new entries is counted."""
RATE_BUCKETS: Final = 12
"""Of five seconds each."""


class Extent(NamedTuple):
    """Where a region lies."""

    first: int
    """Its first slot."""
    slots: int


def lay_out_regions(
    settings: DecisionLogSettings, request_classes: Mapping[str, RequestClass], slots: int
) -> dict[RegionKey, Extent]:
    """Parts the slots into regions, in the order in which they lie.

    Request classes beyond MAX_REQUEST_CLASSES get no region of their own.
    """
    known = list(request_classes.values())[:MAX_REQUEST_CLASSES]
    parts = _parts(
        settings,
        [one for one in known if one.idempotency != Idempotency.IDEMPOTENT],
        [one for one in known if one.idempotency == Idempotency.IDEMPOTENT],
    )
    free = slots - MIN_REGION_SLOTS * len(parts)
    first = 0
    found = {}
    for key, part in parts.items():
        count = MIN_REGION_SLOTS + int(free * part)
        found[key] = Extent(first, count)
        first += count
    return found


def _parts(
    settings: DecisionLogSettings, costly: Sequence[RequestClass], cheap: Sequence[RequestClass]
) -> dict[RegionKey, float]:
    """Returns the part of the slots for each region.

    Args:
        settings: The operator's.
        costly: Classes that are not idempotent.
        cheap: Idempotent classes.
    """
    parts: dict[RegionKey, float] = {
        VOTES: VOTES_PART,
        ORDINARY: settings.ordinary if cheap else 0.0,
    }
    rest = 1.0 - sum(parts.values())
    if not costly:
        costly_part = 0.0
    elif not cheap:
        costly_part = rest
    else:
        costly_part = min(rest, settings.costly)
    for request_class, weight in _weights(costly):
        part = costly_part * weight
        parts[request_class, True] = part * UNUSUAL_PART
        parts[request_class, False] = part * (1 - UNUSUAL_PART)
    for request_class, weight in _weights(cheap):
        parts[request_class, True] = (rest - costly_part) * weight
    return parts


def _weights(request_classes: Sequence[RequestClass]) -> list[tuple[str, float]]:
    """Returns each class's name and its part of what all of them are worth."""
    total = sum(one.priority_weight for one in request_classes)
    return [
        (one.name, one.priority_weight / total if total else 1 / len(request_classes))
        for one in request_classes
    ]


class Region:
    """A run of slots in which the largest holder gives way first.

    Attributes:
        key: Its name.
        first: Its first slot.
        slots: How many it has.
        used: How many of them, from the first on, were ever used.
        eviction: Who holds them.
        rate: New entries over the last RATE_SPAN.
    """

    def __init__(self, key: RegionKey, first: int, slots: int) -> None:
        self.key = key
        self.first = first
        self.slots = slots
        self.used = 0
        self.eviction = FairEviction()
        self.rate = SlidingWindow(RATE_SPAN, RATE_BUCKETS)

    def place(self, holder: Holder) -> tuple[int, bool]:
        """Returns a slot for one more entry of this holder, and whether it was in use."""
        full = self.used == self.slots
        if full:
            slot = self.eviction.evict()
        else:
            slot = self.first + self.used
            self.used += 1
        self.eviction.add(holder, slot)
        return slot, full

    def title(self) -> str:
        """Returns its name for a person."""
        if isinstance(self.key, str):
            return self.key
        request_class, unusual = self.key
        return f"{request_class}, {'unusual' if unusual else 'as usual'}"
