"""Who gives way in a full region: the eldest of whoever holds the most. Every step takes the same time, however many
holders there are; measured against looking through all of them in measure/why.py."""

from collections import OrderedDict, deque


class FairEviction:
    """Slots by holder. Counts of slots are themselves counted: holders by how many slots they hold."""

    def __init__(self):
        self.held, self.by_count, self.most = {}, {0: OrderedDict()}, 0

    def __len__(self):
        return sum(map(len, self.held.values()))

    def add(self, holder, slot):
        slots = self.held.get(holder)
        if slots is None:
            slots = self.held[holder] = deque()
        self._move(holder, len(slots), len(slots) + 1)
        slots.append(slot)

    def _move(self, holder, before, after):
        if before:
            holders = self.by_count[before]
            del holders[holder]
            if not holders:
                del self.by_count[before]
        if after:
            self.by_count.setdefault(after, OrderedDict())[holder] = None
        if after > self.most or before == self.most and before not in self.by_count:
            self.most = after

    def give(self):
        """The slot to be used again: the eldest of the one that holds the most, of these the one that grew first."""
        holder = next(iter(self.by_count[self.most]))
        slots = self.held[holder]
        slot = slots.popleft()
        self._move(holder, len(slots) + 1, len(slots))
        if not slots:
            del self.held[holder]
        return slot
