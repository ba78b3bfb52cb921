"""What is passed on: origins' items as they were signed, the least sent first.

Bounded in all, and by origin. The queue of SWIM (Das, Gupta, Motivala, 2002): updates ride on the
protocol's own datagrams a number of times that is logarithmic in the members.
"""

from collections.abc import Callable, Hashable
from math import ceil, log2
from typing import Protocol, TypeAlias

from ..interface.clock import Ticks

MAX_ITEMS = 512  # items, of all origins
MAX_ITEMS_OF_ORIGIN = 32  # items
SENDS_BY_LOG_MEMBERS = 2  # times the logarithm of the members: how often an item is sent
RESTING_ITEMS = 2  # of those sent so often, beside what is new: heals what loss has left out
ITEM_OVERHEAD = 3  # bytes that the encoding of a list adds to an item

LIFE = "alive"
"""What `Alive` and `Left` items are about: an origin that has left is not called alive any more."""

_Key: TypeAlias = tuple[str, Hashable]
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

    __slots__ = ("about", "content", "key_id", "made", "number", "origin", "sent", "start")

    def __init__(
        self, item: ItemSource, key_id: bytes, content: bytes, made: Ticks, about: Hashable
    ) -> None:
        self.origin = item.origin
        self.start = item.start
        self.number = item.number
        self.key_id = key_id
        self.content = content
        self.sent = 0
        self.made = made
        self.about = about


class DisseminationQueue:
    """The items that are passed on.

    Attributes:
        items: They, by origin and what they are about.
        count_by_origin: How many there are of each origin.
    """

    def __init__(self, random_source: RandomSource, lifetime: Ticks) -> None:
        self._random_source = random_source
        self._lifetime = lifetime
        self.items: dict[_Key, QueuedItem] = {}
        self.count_by_origin: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def add(
        self, item: ItemSource, key_id: bytes, content: bytes, made: Ticks, about: Hashable
    ) -> None:
        """Adds an item, unless a newer one of the same origin about the same is there.

        It replaces an older one. Datagrams overtake each other, so an older one may come later.
        """
        key = (item.origin, about)
        known = self.items.get(key)
        if known is not None:
            if known.start == item.start and known.number > item.number:
                return
            self._drop(key)
        elif self.count_by_origin.get(item.origin, 0) >= MAX_ITEMS_OF_ORIGIN:
            self._drop_oldest(item.origin)
        elif len(self.items) >= MAX_ITEMS:
            # The origin with most gives up its oldest: a loud one crowds out itself.
            self._drop_oldest(
                max(self.count_by_origin, key=lambda origin: self.count_by_origin[origin])
            )
        self.items[key] = QueuedItem(item, key_id, content, made, about)
        self.count_by_origin[item.origin] = self.count_by_origin.get(item.origin, 0) + 1

    def _drop_oldest(self, origin: str) -> None:
        keys = (key for key in self.items if key[0] == origin)
        self._drop(min(keys, key=lambda key: self.items[key].made))

    def _drop(self, key: _Key) -> None:
        del self.items[key]
        origin = key[0]
        left = self.count_by_origin[origin] - 1
        if left:
            self.count_by_origin[origin] = left
        else:
            del self.count_by_origin[origin]

    def prune(self, now: Ticks, is_valid: Callable[[QueuedItem], bool]) -> None:
        """Drops items that are too old or no longer valid."""
        for key in [
            key
            for key, item in self.items.items()
            if now - item.made > self._lifetime or not is_valid(item)
        ]:
            self._drop(key)

    def has_fresh(self, members: int) -> bool:
        """Returns whether an item still has to be passed on."""
        limit = self._send_limit(members)
        return any(item.sent < limit for item in self.items.values())

    def _send_limit(self, members: int) -> int:
        return SENDS_BY_LOG_MEMBERS * ceil(log2(members + 1))

    def pick(self, members: int, space: int, skip: str | None = None) -> list[bytes]:
        """Picks the contents for one datagram and counts them as sent.

        Args:
            members: How many members live.
            space: Bytes that the datagram has for them.
            skip: The receiver, whose own items are not sent back to it.

        Returns:
            The least sent first, then a few at random of those that were sent often enough.
        """
        limit = self._send_limit(members)
        ready = [item for item in self.items.values() if item.origin != skip]
        fresh = [item for item in ready if item.sent < limit]
        resting = [item for item in ready if item.sent >= limit]
        chosen: list[QueuedItem] = []
        for item in sorted(fresh, key=lambda item: item.sent):
            if len(item.content) + ITEM_OVERHEAD <= space:
                chosen.append(item)
                space -= len(item.content) + ITEM_OVERHEAD
        for _ in range(min(RESTING_ITEMS, len(resting))):
            item = resting[int(self._random_source.draw() * len(resting))]
            if item not in chosen and len(item.content) + ITEM_OVERHEAD <= space:
                chosen.append(item)
                space -= len(item.content) + ITEM_OVERHEAD
        for item in chosen:
            item.sent += 1
        return [item.content for item in chosen]
