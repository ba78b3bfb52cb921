"""Divides the slots into regions and assigns entries to slots.

There is a region for votes, one for ordinary requests of idempotent request classes, and regions
for the other requests by request class and by whether the request was unusual. Their sizes are
proportional to the priority weights of the classes. So no class can take another class's slots.
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
"""VOTES, ORDINARY, or a request class and whether the region is for its unusual requests."""

VOTES: Final = "votes"
ORDINARY: Final = "ordinary"
VOTES_SHARE: Final = 0.05
"""The share of slots for votes: they are few, and each concerns a whole release."""
UNUSUAL_SHARE: Final = 0.6
"""The share of a class's slots for its unusual requests, which are queried more often."""
MIN_REGION_SLOTS: Final = 8
"""The minimum size of a region, however low the priority weight of its class."""
MAX_REQUEST_CLASSES: Final = 64
"""The maximum number of classes with their own regions, so that these stay large enough."""
RATE_WINDOW: Final[Ticks] = 60 * TICKS_PER_SECOND
"""The window over which the rate of new entries is measured."""
RATE_BUCKETS: Final = 12
"""The buckets of the window, five seconds each."""


class Extent(NamedTuple):
    """The slots of a region."""

    first_slot: int
    slots: int


def lay_out_regions(
    settings: DecisionLogSettings, request_classes: Mapping[str, RequestClass], slots: int
) -> dict[RegionKey, Extent]:
    """Divides the slots into regions and returns these in the order of their slots.

    Only the first MAX_REQUEST_CLASSES request classes get their own regions.

    Args:
        settings: The settings of the decision log.
        request_classes: The request classes by name.
        slots: The total number of slots.
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
    """Returns each region's share of the slots.

    Args:
        settings: The settings of the decision log.
        non_idempotent: The request classes that are not idempotent.
        idempotent: The idempotent request classes.
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
    """Returns the name of each class and its share of the total priority weight."""
    total_weight = sum(request_class.priority_weight for request_class in request_classes)
    return [
        (
            request_class.name,
            request_class.priority_weight / total_weight
            if total_weight
            else 1 / len(request_classes),
        )
        for request_class in request_classes
    ]


class Region:
    """Consecutive slots; when all are in use, the holder with the most slots loses its oldest.

    Attributes:
        key: The key of the region.
        first_slot: The first slot.
        slots: The number of slots.
        used_slots: The number of slots that have been used; they are the first ones.
        eviction: The holders of the slots.
        rate: The new entries within RATE_WINDOW.
    """

    def __init__(self, key: RegionKey, first_slot: int, slots: int) -> None:
        self.key = key
        self.first_slot = first_slot
        self.slots = slots
        self.used_slots = 0
        self.eviction = FairEviction()
        self.rate = SlidingWindow(RATE_WINDOW, RATE_BUCKETS)

    def take_slot(self, holder: Holder) -> tuple[int, bool]:
        """Returns a slot for a new entry of a holder, and whether the slot was in use."""
        is_full = self.used_slots == self.slots
        if is_full:
            slot = self.eviction.evict()
        else:
            slot = self.first_slot + self.used_slots
            self.used_slots += 1
        self.eviction.add(holder, slot)
        return slot, is_full

    def display_name(self) -> str:
        """Returns the name that is reported to operators."""
        if isinstance(self.key, str):
            return self.key
        request_class, unusual = self.key
        return f"{request_class}, {'unusual' if unusual else 'as usual'}"
