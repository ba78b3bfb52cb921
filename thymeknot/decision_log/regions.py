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
VOTES_SHARE: Final = 0.05
"""Part of all slots for votes: they are few, and explain a whole release."""
UNUSUAL_SHARE: Final = 0.6
"""Part of a class's slots for its unusual transactions: these are asked for more often."""
MIN_REGION_SLOTS: Final = 8
"""Of every region, however little its class is worth."""
MAX_REQUEST_CLASSES: Final = 64
"""That have regions of their own, so that these stay large enough to be of use."""
RATE_WINDOW: Final[Ticks] = 60 * TICKS_PER_SECOND
"""The time over which the rate of new entries is counted."""
RATE_BUCKETS: Final = 12
"""Of five seconds each."""


class Extent(NamedTuple):
    """Where a region lies."""

    first_slot: int
    """Its first slot."""
    slots: int


def lay_out_regions(
    settings: DecisionLogSettings, request_classes: Mapping[str, RequestClass], slots: int
) -> dict[RegionKey, Extent]:
    """Parts the slots into regions, in the order in which they lie.

    Request classes beyond MAX_REQUEST_CLASSES get no region of their own.
    """
    with_regions = list(request_classes.values())[:MAX_REQUEST_CLASSES]
    shares = _region_shares(
        settings,
        [
            request_class
            for request_class in with_regions
            if request_class.idempotency != Idempotency.IDEMPOTENT
        ],
        [
            request_class
            for request_class in with_regions
            if request_class.idempotency == Idempotency.IDEMPOTENT
        ],
    )
    divisible_slots = slots - MIN_REGION_SLOTS * len(shares)
    first_slot = 0
    extents = {}
    for key, share in shares.items():
        count = MIN_REGION_SLOTS + int(divisible_slots * share)
        extents[key] = Extent(first_slot, count)
        first_slot += count
    return extents


def _region_shares(
    settings: DecisionLogSettings,
    non_idempotent: Sequence[RequestClass],
    idempotent: Sequence[RequestClass],
) -> dict[RegionKey, float]:
    """Returns the part of the slots for each region.

    Args:
        settings: The operator's.
        costly: Classes that are not idempotent.
        cheap: Idempotent classes.
    """
    shares: dict[RegionKey, float] = {
        VOTES: VOTES_SHARE,
        ORDINARY: settings.ordinary if idempotent else 0.0,
    }
    remaining = 1.0 - sum(shares.values())
    if not non_idempotent:
        non_idempotent_share = 0.0
    elif not idempotent:
        non_idempotent_share = remaining
    else:
        non_idempotent_share = min(remaining, settings.costly)
    for request_class, weight in _normalized_weights(non_idempotent):
        share = non_idempotent_share * weight
        shares[request_class, True] = share * UNUSUAL_SHARE
        shares[request_class, False] = share * (1 - UNUSUAL_SHARE)
    for request_class, weight in _normalized_weights(idempotent):
        shares[request_class, True] = (remaining - non_idempotent_share) * weight
    return shares


def _normalized_weights(request_classes: Sequence[RequestClass]) -> list[tuple[str, float]]:
    """Returns each class's name and its part of what all of them are worth."""
    total = sum(request_class.priority_weight for request_class in request_classes)
    return [
        (
            request_class.name,
            request_class.priority_weight / total if total else 1 / len(request_classes),
        )
        for request_class in request_classes
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

    def __init__(self, key: RegionKey, first_slot: int, slots: int) -> None:
        self.key = key
        self.first_slot = first_slot
        self.slots = slots
        self.used_slots = 0
        self.eviction = FairEviction()
        self.rate = SlidingWindow(RATE_WINDOW, RATE_BUCKETS)

    def take_slot(self, holder: Holder) -> tuple[int, bool]:
        """Returns a slot for one more entry of this holder, and whether it was in use."""
        is_full = self.used_slots == self.slots
        if is_full:
            slot = self.eviction.evict()
        else:
            slot = self.first_slot + self.used_slots
            self.used_slots += 1
        self.eviction.add(holder, slot)
        return slot, is_full

    def display_name(self) -> str:
        """Returns its name for a person."""
        if isinstance(self.key, str):
            return self.key
        request_class, unusual = self.key
        return f"{request_class}, {'unusual' if unusual else 'as usual'}"
