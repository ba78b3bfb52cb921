"""Finds slots by id, key and endpoint. The number of slots bounds the size of each index."""

from collections.abc import Iterator
from typing import NamedTuple, Optional

from .entry_codec import Entry, endpoints_sent_to

NumberBySlot = dict[int, int]
"""The sequence number of the entry in each slot."""

SlotsByName = dict[str, NumberBySlot]
"""The slots that are indexed under each name."""


class IndexKey(NamedTuple):
    """A name under which a slot is indexed."""

    slots_by_name: SlotsByName
    name: str


class IndexedSlot(NamedTuple):
    """A slot in use."""

    index_keys: list[IndexKey]
    number: int


class EntryIndex:
    """An index of the slots in use.

    Attributes:
        slots: The slots in use.
        by_id: Slots by the id of the entry.
        by_key: Slots by the key of the entry.
        by_endpoint: Slots by the endpoints to which the request was sent.
    """

    def __init__(self) -> None:
        self.slots: dict[int, IndexedSlot] = {}
        self.by_id: SlotsByName = {}
        self.by_key: SlotsByName = {}
        self.by_endpoint: SlotsByName = {}

    def add(self, slot: int, number: int, entry: Entry) -> None:
        """Adds an entry to the index."""
        index_keys = [IndexKey(self.by_id, entry.id)]
        if entry.key:
            index_keys.append(IndexKey(self.by_key, entry.key))
        index_keys += [
            IndexKey(self.by_endpoint, endpoint) for endpoint in endpoints_sent_to(entry)
        ]
        for slots_by_name, name in index_keys:
            slots_by_name.setdefault(name, {})[slot] = number
        self.slots[slot] = IndexedSlot(index_keys, number)

    def remove(self, slot: int) -> None:
        """Removes the entry of a slot that is about to be reused."""
        indexed = self.slots.pop(slot, None)
        if indexed is None:
            return
        for slots_by_name, name in indexed.index_keys:
            slots = slots_by_name.get(name)
            if slots:
                slots.pop(slot, None)
                if not slots:
                    del slots_by_name[name]

    def find_by_name(self, name: str) -> Iterator[tuple[int, int]]:
        """Yields slot and sequence number of entries by id, or else by key, newest last."""
        slots = self.by_id.get(name) or self.by_key.get(name) or {}
        yield from sorted(slots.items(), key=lambda item: item[1])

    def newest_first(self, endpoint: Optional[str]) -> Iterator[tuple[int, int]]:
        """Yields slot and sequence number of all entries or of those sent to an endpoint."""
        if endpoint:
            slots = self.by_endpoint.get(endpoint, {})
        else:
            slots = {slot: indexed.number for slot, indexed in self.slots.items()}
        yield from sorted(slots.items(), key=lambda item: -item[1])
