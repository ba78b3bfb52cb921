"""Chooses the slot to reuse in a full region: the oldest slot of the holder with the most slots.

Each operation takes constant time, regardless of the number of holders; measure/why.py compares
this with a linear search.
"""

from collections import OrderedDict, deque
from typing import Optional

Holder = Optional[str]
"""A tenant, or None for entries without a tenant."""


class FairEviction:
    """Slots by holder, and holders by their number of slots.

    Attributes:
        slots_by_holder: The slots of each holder, oldest first.
        holders_by_count: The holders by number of slots, in the order in which they reached it.
        max_count: The highest number of slots of any holder.
    """

    def __init__(self) -> None:
        self.slots_by_holder: dict[Holder, deque[int]] = {}
        self.holders_by_count: dict[int, OrderedDict[Holder, None]] = {0: OrderedDict()}
        self.max_count = 0

    def __len__(self) -> int:
        return sum(map(len, self.slots_by_holder.values()))

    def add(self, holder: Holder, slot: int) -> None:
        """Adds a slot to a holder."""
        slots = self.slots_by_holder.get(holder)
        if slots is None:
            slots = self.slots_by_holder[holder] = deque()
        self._update_count(holder, len(slots), len(slots) + 1)
        slots.append(slot)

    def _update_count(self, holder: Holder, before: int, after: int) -> None:
        if before:
            holders = self.holders_by_count[before]
            del holders[holder]
            if not holders:
                del self.holders_by_count[before]
        if after:
            self.holders_by_count.setdefault(after, OrderedDict())[holder] = None
        if after > self.max_count or (
            before == self.max_count and before not in self.holders_by_count
        ):
            self.max_count = after

    def evict(self) -> int:
        """Removes and returns the slot to reuse.

        Returns:
            The oldest slot of the holder with the most slots. Among holders with equally many, the
            first to reach that number is chosen.
        """
        holder = next(iter(self.holders_by_count[self.max_count]))
        slots = self.slots_by_holder[holder]
        slot = slots.popleft()
        self._update_count(holder, len(slots) + 1, len(slots))
        if not slots:
            del self.slots_by_holder[holder]
        return slot
