"""What is passed on: origins' items as they were signed, the least sent first.

Bounded in all, and by origin. The queue of SWIM (Das, Gupta, Motivala, 2002): updates ride on the
protocol's own datagrams a number of times that is logarithmic in the members.
"""

from collections.abc import Callable, Hashable
from math import ceil, log2
from typing import Protocol, TypeAlias

from ..interface.clock import Ticks

MAX_ITEMS = 512  # items, of all origins
MAX_ITEMS_PER_ORIGIN = 32  # items
RETRANSMIT_MULTIPLIER = 2  # times the logarithm of the members: how often an item is sent
MAX_RESENT_ITEMS = 2  # of those sent so often, beside what is new: heals what loss has left out
ITEM_OVERHEAD_BYTES = 3  # bytes that the encoding of a list adds to an item

LIVENESS = "alive"
"""What `Alive` and `Left` items are about: an origin that has left is not called alive any more."""

_ItemKey: TypeAlias = tuple[str, Hashable]
"""(origin, what it is about)."""


class RandomSource(Protocol):
    """What the queue draws from; `thymeknot.state.random_source` has one."""

    def draw(self) -> float:
        """Returns a number from 0 to below 1."""


class ItemSource(Protocol):
    """What the queue reads of an item."""

    @property
    def origin(self) -> str:
        """Name of who signed it."""

    @property
    def start(self) -> int:
        """The origin's start that it belongs to."""

    @property
    def number(self) -> int:
        """Its number within the start; a later one has a higher number."""


class QueuedItem:
    """An item as its origin signed it.

    Attributes:
        origin: Name of who signed it.
        start: The origin's start that it belongs to.
        number: Its number within the start.
        key_id: Names the key that signed it.
        content: Its bytes.
        sent: How often it was sent.
        made: When it was made, by this instance's clock.
        about: What it is about; a newer one of the origin about the same replaces it.
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
    """The items that are passed on.

    Attributes:
        items: They, by origin and what they are about.
        count_by_origin: How many there are of each origin.
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
        """Adds an item, unless a newer one of the same origin about the same is there.

        It replaces an older one. Datagrams overtake each other, so an older one may come later.
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
            # The origin with most gives up its oldest: a loud one crowds out itself.
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
        """Drops items that are too old or no longer valid."""
        for key in [
            key
            for key, item in self.items.items()
            if now - item.made_at > self._lifetime or not is_valid(item)
        ]:
            self._drop(key)

    def has_fresh(self, member_count: int) -> bool:
        """Returns whether an item still has to be passed on."""
        limit = self._retransmit_limit(member_count)
        return any(item.send_count < limit for item in self.items.values())

    def _retransmit_limit(self, member_count: int) -> int:
        return RETRANSMIT_MULTIPLIER * ceil(log2(member_count + 1))

    def pick(
        self, member_count: int, space: int, excluded_origin: str | None = None
    ) -> list[bytes]:
        """Picks the contents for one datagram and counts them as sent.

        Args:
            member_count: How many members live.
            space: Bytes that the datagram has for them.
            excluded_origin: The receiver, whose own items are not sent back to it.

        Returns:
            The least sent first, then a few at random of those that were sent often enough.
        """
        limit = self._retransmit_limit(member_count)
        ready = [item for item in self.items.values() if item.origin != excluded_origin]
        fresh = [item for item in ready if item.send_count < limit]
        disseminated = [item for item in ready if item.send_count >= limit]
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
