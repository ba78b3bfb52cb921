"""A table of records in numbered, reusable slots."""

from collections.abc import Iterator
from typing import Generic, TypeVar

Record = TypeVar("Record")


class SlotTable(Generic[Record]):
    """Stores records by slot number; the numbers of removed records are reused.

    Attributes:
        used: Number of slots in use.
        peak: Highest number of slots in use at the same time.
    """

    def __init__(self) -> None:
        self.used = 0
        self.peak = 0
        self._records: list[Record | None] = []
        self._free: list[int] = []

    def add(self, record: Record) -> int:
        """Stores a record and returns its slot number."""
        if self._free:
            number = self._free.pop()
            self._records[number] = record
        else:
            number = len(self._records)
            self._records.append(record)
        self.used += 1
        self.peak = max(self.peak, self.used)
        return number

    def get(self, number: int) -> Record | None:
        """Returns the record in a slot, or None."""
        return self._records[number] if 0 <= number < len(self._records) else None

    def remove(self, number: int) -> None:
        """Removes the record in a slot; does nothing if the slot is empty."""
        if self.get(number) is not None:
            self._records[number] = None
            self._free.append(number)
            self.used -= 1

    def __iter__(self) -> Iterator[Record]:
        return (record for record in list(self._records) if record is not None)

    def __len__(self) -> int:
        return self.used
