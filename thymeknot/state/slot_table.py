"""Records in numbered slots."""

from collections.abc import Iterator
from typing import Generic, TypeVar

Record = TypeVar("Record")


class SlotTable(Generic[Record]):
    """Records by number; the number of a removed record is given out again.

    Attributes:
        used: How many slots hold a record.
        peak: How many held one at once at most.
    """

    def __init__(self) -> None:
        self.used = 0
        self.peak = 0
        self._records: list[Record | None] = []
        self._free: list[int] = []

    def add(self, record: Record) -> int:
        """Keeps a record and returns its number."""
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
        """Returns the record of this number, or None."""
        return self._records[number] if 0 <= number < len(self._records) else None

    def remove(self, number: int) -> None:
        """Removes the record of this number; does nothing where there is none."""
        if self.get(number) is not None:
            self._records[number] = None
            self._free.append(number)
            self.used -= 1

    def __iter__(self) -> Iterator[Record]:
        return (record for record in list(self._records) if record is not None)

    def __len__(self) -> int:
        return self.used
