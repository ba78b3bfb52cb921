"""The lineage file, which detects a storage directory that was lost or restored from a backup.

It holds the disk incarnation and the number of records that were ever acknowledged as durable
(including votes) in two slots that are written alternately. It should be on another disk than the
storage directory. A directory with another incarnation or fewer records was lost or rolled back.

Not detected are a rollback of both the directory and the lineage file to the same point in time,
a rollback of the directory that loses only records after the last acknowledged one (nothing
depended on those), and an operator who bootstraps the cluster a second time; therefore a bootstrap
is rejected if either the directory or the lineage file exists. Writing the lineage file costs a
second fsync before each acknowledgement; without it, an old copy can't be recognized.
"""

import os
import struct
import zlib
from typing import NamedTuple

from .file_system import FileSystem

_FIELDS = struct.Struct(">QQ")  # disk incarnation, number of acknowledged records
_CHECKSUM = struct.Struct(">Q")  # CRC-32 of the fields
_SLOT_BYTES = _FIELDS.size + _CHECKSUM.size


class Acknowledged(NamedTuple):
    """The last state of the storage directory that was acknowledged.

    Attributes:
        disk_incarnation: Incarnation of the directory.
        record_count: Number of records that were ever acknowledged.
    """

    disk_incarnation: int
    record_count: int


class Lineage:
    """Reads and writes the lineage file at a path."""

    def __init__(self, path: str, files: FileSystem) -> None:
        self._path = path
        self._folder = os.path.dirname(path) or "."
        self._files = files
        self._slot = 0  # slot that was written last
        self._latest: Acknowledged | None = None  # content of that slot
        self._file: int | None = None

    def create_folder(self) -> None:
        """Creates the directory of the file."""
        self._files.makedirs(self._folder, exist_ok=True)

    def read(self) -> Acknowledged | None:
        """Returns the content of the slot that was written last, or None if no slot is valid."""
        content = self._files.read(self._path) or b""
        valid_slots = []
        for slot in range(2):
            slot_content = content[slot * _SLOT_BYTES : (slot + 1) * _SLOT_BYTES]
            if len(slot_content) == _SLOT_BYTES:
                fields = slot_content[: _FIELDS.size]
                (checksum,) = _CHECKSUM.unpack(slot_content[_FIELDS.size :])
                if zlib.crc32(fields) == checksum:
                    disk_incarnation, record_count = _FIELDS.unpack(fields)
                    valid_slots.append((record_count, slot, disk_incarnation))
        if not valid_slots:
            return None
        record_count, self._slot, disk_incarnation = max(valid_slots)
        self._latest = Acknowledged(disk_incarnation, record_count)
        return self._latest

    def open(self) -> None:
        """Opens the file for writing and creates it if it does not exist."""
        self._file = self._files.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        self._files.sync_folder(self._folder)

    def write(self, acknowledged: Acknowledged) -> None:
        """Writes the slot that is not the last one and flushes it to the disk.

        The slot with more records is taken for the last one, but a new incarnation begins with few:
        its first write goes to both slots. If the process ends in between, the directory is taken
        for lost once more, which is safe.
        """
        is_new_incarnation = (
            self._latest is not None
            and self._latest.disk_incarnation != acknowledged.disk_incarnation
        )
        self._write_next_slot(acknowledged)
        if is_new_incarnation:
            self._write_next_slot(acknowledged)
        self._latest = acknowledged

    def _write_next_slot(self, acknowledged: Acknowledged) -> None:
        if self._file is None:
            raise ValueError(f"lineage file {self._path} is not open")
        self._slot ^= 1
        fields = _FIELDS.pack(*acknowledged)
        checksum = _CHECKSUM.pack(zlib.crc32(fields))
        self._files.pwrite(self._file, fields + checksum, self._slot * _SLOT_BYTES)
        self._files.fsync(self._file)

    def close(self) -> None:
        """Closes the file; does nothing if it is not open."""
        if self._file is not None:
            self._files.close(self._file)
        self._file = None
