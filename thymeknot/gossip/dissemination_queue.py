"""Dissemination queue: items with their origins' signatures, the least often sent first.

Bounded in total and per origin. Follows SWIM (Das, Gupta, Motivala, 2002): updates are piggybacked
on the protocol's own datagrams, each a number of times that is logarithmic in the group size.
"""

from collections.abc import Callable, Hashable
from math import ceil, log2
from typing import Protocol, TypeAlias

from ..interface.clock import Ticks

MAX_ITEMS = 512  # of all origins together
MAX_ITEMS_PER_ORIGIN = 32
RETRANSMIT_MULTIPLIER = 2  # an item is sent this many times log2(members + 1), rounded up
# Items that have reached that limit and are sent again at random in each datagram. They reach
# members that missed an item through datagram loss.
MAX_RESENT_ITEMS = 2
ITEM_OVERHEAD_BYTES = 3  # that the encoding of a list adds to an item

LIVENESS = "alive"
"""Topic of `Alive` and `Left` items, so that a `Left` replaces the origin's earlier `Alive`."""

_ItemKey: TypeAlias = tuple[str, Hashable]
"""(origin, topic)."""


class RandomSource(Protocol):
    """Random numbers for the queue; implemented in `thymeknot.state.random_source`."""

    def draw(self) -> float:
        """Returns a number in [0, 1)."""


class ItemSource(Protocol):
    """The attributes of an item that the queue reads."""

    @property
    def origin(self) -> str:
        """Name of the instance that signed the item."""

    @property
    def start(self) -> int:
        """Id of the origin's start that the item belongs to."""

    @property
    def number(self) -> int:
        """Sequence number within the start; later items have higher numbers."""


class QueuedItem:
    """A signed item in the queue.

    Attributes:
        origin: Name of the instance that signed it.
        start: Id of the origin's start that it belongs to.
        number: Sequence number within the start.
        key_id: Id of the key that signed it.
        content: Encoded item with its signature.
        send_count: How often it was sent.
        made_at: When it was made, by this instance's clock.
        topic: What it is about; the origin's next item on the same topic replaces it.
    """

    __slots__ = ("content", "key_id", "made_at", "number", "origin", "send_count", "start", "topic")

    def __init__(
        self, item: ItemSource, key_id: bytes, content: bytes, made_at: Ticks, topic: Hashable
    ) -> None:
        self.origin = item.origin
        self.start = item.start
        self.number = item.number
        self.key_id = key_id
        self.content = content
        self.send_count = 0
        self.made_at = made_at
        self.topic = topic


class DisseminationQueue:
    """Items to pass on to other members.

    Attributes:
        items: The items by (origin, topic).
        count_by_origin: Number of items of each origin.
    """

    def __init__(self, random_source: RandomSource, lifetime: Ticks) -> None:
        self._random_source = random_source
        self._lifetime = lifetime
        self.items: dict[_ItemKey, QueuedItem] = {}
        self.count_by_origin: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def add(
        self, item: ItemSource, key_id: bytes, content: bytes, made_at: Ticks, topic: Hashable
    ) -> None:
        """Adds an item unless a newer one of the same origin on the same topic is queued.

        An older one is replaced. Datagrams can arrive out of order, so that an older item may come
        after a newer one.
        """
        key = (item.origin, topic)
        existing = self.items.get(key)
        if existing is not None:
            if existing.start == item.start and existing.number > item.number:
                return
            self._drop(key)
        elif self.count_by_origin.get(item.origin, 0) >= MAX_ITEMS_PER_ORIGIN:
            self._drop_oldest(item.origin)
        elif len(self.items) >= MAX_ITEMS:
            # The origin with most items loses its oldest, so that it can't displace the others'.
            self._drop_oldest(
                max(self.count_by_origin, key=lambda origin: self.count_by_origin[origin])
            )
        self.items[key] = QueuedItem(item, key_id, content, made_at, topic)
        self.count_by_origin[item.origin] = self.count_by_origin.get(item.origin, 0) + 1

    def _drop_oldest(self, origin: str) -> None:
        keys = (key for key in self.items if key[0] == origin)
        self._drop(min(keys, key=lambda key: self.items[key].made_at))

    def _drop(self, key: _ItemKey) -> None:
        del self.items[key]
        origin = key[0]
        remaining = self.count_by_origin[origin] - 1
        if remaining:
            self.count_by_origin[origin] = remaining
        else:
            del self.count_by_origin[origin]

    def prune(self, now: Ticks, is_valid: Callable[[QueuedItem], bool]) -> None:
        """Removes items that are older than the lifetime or no longer valid."""
        for key in [
            key
            for key, item in self.items.items()
            if now - item.made_at > self._lifetime or not is_valid(item)
        ]:
            self._drop(key)

    def has_fresh(self, member_count: int) -> bool:
        """Returns whether any item is below its retransmit limit."""
        limit = self._retransmit_limit(member_count)
        return any(item.send_count < limit for item in self.items.values())

    def _retransmit_limit(self, member_count: int) -> int:
        return RETRANSMIT_MULTIPLIER * ceil(log2(member_count + 1))

    def pick(
        self, member_count: int, space: int, excluded_origin: str | None = None
    ) -> list[bytes]:
        """Picks the items for one datagram and counts them as sent.

        Args:
            member_count: Number of live members.
            space: Bytes available for items in the datagram.
            excluded_origin: Origin whose items are left out: the receiver of the datagram.

        Returns:
            Encoded items: those below the retransmit limit, the least often sent first, then up to
            `MAX_RESENT_ITEMS` random others.
        """
        limit = self._retransmit_limit(member_count)
        candidates = [item for item in self.items.values() if item.origin != excluded_origin]
        fresh = [item for item in candidates if item.send_count < limit]
        disseminated = [item for item in candidates if item.send_count >= limit]
        chosen: list[QueuedItem] = []
        for item in sorted(fresh, key=lambda item: item.send_count):
            if len(item.content) + ITEM_OVERHEAD_BYTES <= space:
                chosen.append(item)
                space -= len(item.content) + ITEM_OVERHEAD_BYTES
        for _ in range(min(MAX_RESENT_ITEMS, len(disseminated))):
            item = disseminated[int(self._random_source.draw() * len(disseminated))]
            if item not in chosen and len(item.content) + ITEM_OVERHEAD_BYTES <= space:
                chosen.append(item)
                space -= len(item.content) + ITEM_OVERHEAD_BYTES
        for item in chosen:
            item.send_count += 1
        return [item.content for item in chosen]
