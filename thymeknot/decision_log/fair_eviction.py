"""Which slot of a full region is used again: the oldest of the holder that holds the most.

Every step takes constant time, however many holders there are; measure/why.py compares it with a
search through all holders.
"""

from collections import OrderedDict, deque
from typing import Optional

Holder = Optional[str]
"""A tenant, or None for entries without one."""


class FairEviction:
    """Slots by holder, and holders by how many slots they hold.

    Attributes:
        held: The slots of each holder, the oldest first.
        by_count: The holders of each number of slots, in the order in which they came to hold it.
        most: The highest number of slots that any holder holds.
    """

    def __init__(self) -> None:
        self.held: dict[Holder, deque[int]] = {}
        self.by_count: dict[int, OrderedDict[Holder, None]] = {0: OrderedDict()}
        self.most = 0

    def __len__(self) -> int:
        return sum(map(len, self.held.values()))

    def add(self, holder: Holder, slot: int) -> None:
        """Records that a holder holds one more slot."""
        slots = self.held.get(holder)
        if slots is None:
            slots = self.held[holder] = deque()
        self._move(holder, len(slots), len(slots) + 1)
        slots.append(slot)

    def _move(self, holder: Holder, before: int, after: int) -> None:
        if before:
            holders = self.by_count[before]
            del holders[holder]
            if not holders:
                del self.by_count[before]
        if after:
            self.by_count.setdefault(after, OrderedDict())[holder] = None
        if after > self.most or (before == self.most and before not in self.by_count):
            self.most = after

    def evict(self) -> int:
        """Releases the slot to use again.

        Returns:
            The oldest slot of the holder with the most; of equals, the first to grow so large.
        """
        holder = next(iter(self.by_count[self.most]))
        slots = self.held[holder]
        slot = slots.popleft()
        self._move(holder, len(slots) + 1, len(slots))
        if not slots:
            del self.held[holder]
        return slot
