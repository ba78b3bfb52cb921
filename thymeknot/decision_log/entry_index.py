"""Finds the slots of entries by id, key and endpoint. Every index is bounded by the slots."""

from collections.abc import Iterator
from typing import NamedTuple, Optional

from .entry_codec import Entry, pods

Slots = dict[int, int]
"""The number of the entry that each slot holds."""

Index = dict[str, Slots]
"""The slots under each name."""


class Place(NamedTuple):
    """A name under which a slot is found."""

    names: Index
    name: str


class IndexedSlot(NamedTuple):
    """What is known of a slot in use."""

    places: list[Place]
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
        self.by_id: Index = {}
        self.by_key: Index = {}
        self.by_pod: Index = {}

    def add(self, slot: int, number: int, entry: Entry) -> None:
        """Makes an entry known."""
        places = [Place(self.by_id, entry.id)]
        if entry.key:
            places.append(Place(self.by_key, entry.key))
        places += [Place(self.by_pod, pod) for pod in pods(entry)]
        for names, name in places:
            names.setdefault(name, {})[slot] = number
        self.slots[slot] = IndexedSlot(places, number)

    def remove(self, slot: int) -> None:
        """Forgets the entry of a slot that is used again."""
        indexed = self.slots.pop(slot, None)
        if indexed is None:
            return
        for names, name in indexed.places:
            slots = names.get(name)
            if slots:
                slots.pop(slot, None)
                if not slots:
                    del names[name]

    def named(self, name: str) -> Iterator[tuple[int, int]]:
        """Yields slot and number of the entries with this id, or else this key, the latest last."""
        slots = self.by_id.get(name) or self.by_key.get(name) or {}
        yield from sorted(slots.items(), key=lambda item: item[1])

    def latest_first(self, pod: Optional[str]) -> Iterator[tuple[int, int]]:
        """Yields slot and number of all entries, or of those sent to one endpoint."""
        if pod:
            slots = self.by_pod.get(pod, {})
        else:
            slots = {slot: indexed.number for slot, indexed in self.slots.items()}
        yield from sorted(slots.items(), key=lambda item: -item[1])
