"""The lineage file: which disk this is, and how many of its records were acknowledged.

It holds the disk incarnation and the count of records that were ever acknowledged (as being on
the disk, so votes count too), in two slots written in turn. It lies on another disk if the
operator has one. A directory of another incarnation, or with fewer records, was lost or set back.

What this doesn't cover: both places set back together to the same moment; a directory set back by
records written after the last acknowledged one (nothing depended on those); and an operator who
founds the cluster again, which is why that is rejected where either place is found. Writing the
lineage costs a second fsync before each acknowledgement; without it an old copy can't be told.
"""

import os
import struct
import zlib
from typing import NamedTuple

from .file_system import FileSystem

_FIELDS = struct.Struct(">QQ")  # disk incarnation, count of records
_CHECKSUM = struct.Struct(">Q")  # CRC-32 of the fields
_SLOT_BYTES = _FIELDS.size + _CHECKSUM.size


class Acknowledged(NamedTuple):
    """What the lineage says of the storage directory."""

    disk_incarnation: int
    record_count: int


class Lineage:
    """The lineage file at a path."""

    def __init__(self, path: str, files: FileSystem) -> None:
        self._path = path
        self._folder = os.path.dirname(path) or "."
        self._files = files
        self._slot = 0  # the one that was written last
        self._file: int | None = None

    def create_folder(self) -> None:
        """Creates the file's folder."""
        self._files.makedirs(self._folder, exist_ok=True)

    def read(self) -> Acknowledged | None:
        """The slot that was written last, or None if there is none."""
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
        return Acknowledged(disk_incarnation, record_count)

    def open(self) -> None:
        """Opens the file for writing, and creates it if needed."""
        self._file = self._files.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        self._files.sync_folder(self._folder)

    def write(self, acknowledged: Acknowledged) -> None:
        """Writes the other slot and syncs it."""
        if self._file is None:
            raise ValueError(f"{self._path} is not open")
        self._slot ^= 1
        fields = _FIELDS.pack(*acknowledged)
        checksum = _CHECKSUM.pack(zlib.crc32(fields))
        self._files.pwrite(self._file, fields + checksum, self._slot * _SLOT_BYTES)
        self._files.fsync(self._file)

    def close(self) -> None:
        """Closes the file if it is open."""
        if self._file is not None:
            self._files.close(self._file)
        self._file = None
