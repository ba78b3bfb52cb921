"""Finds the slots of entries by id, key and endpoint. Every index is bounded by the slots."""

from collections.abc import Iterator
from typing import NamedTuple, Optional

from .entry_codec import Entry, endpoints_sent_to

NumberBySlot = dict[int, int]
"""The number of the entry that each slot holds."""

SlotsByName = dict[str, NumberBySlot]
"""The slots under each name."""


class IndexKey(NamedTuple):
    """A name under which a slot is found."""

    slots_by_name: SlotsByName
    name: str


class IndexedSlot(NamedTuple):
    """What is known of a slot in use."""

    index_keys: list[IndexKey]
    number: int


class EntryIndex:
    """The slots in use.

    Attributes:
        slots: Each slot in use.
        by_id: Slots by their entry's id.
        by_key: Slots by their entry's key.
        by_pod: Slots by the endpoints to which their entry was sent.
    """

    def __init__(self) -> None:
        self.slots: dict[int, IndexedSlot] = {}
        self.by_id: SlotsByName = {}
        self.by_key: SlotsByName = {}
        self.by_endpoint: SlotsByName = {}

    def add(self, slot: int, number: int, entry: Entry) -> None:
        """Makes an entry known."""
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
        """Forgets the entry of a slot that is used again."""
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
        """Yields slot and number of the entries with this id, or else this key, the latest last."""
        slots = self.by_id.get(name) or self.by_key.get(name) or {}
        yield from sorted(slots.items(), key=lambda item: item[1])

    def newest_first(self, endpoint: Optional[str]) -> Iterator[tuple[int, int]]:
        """Yields slot and number of all entries, or of those sent to one endpoint."""
        if endpoint:
            slots = self.by_endpoint.get(endpoint, {})
        else:
            slots = {slot: indexed.number for slot, indexed in self.slots.items()}
        yield from sorted(slots.items(), key=lambda item: -item[1])
