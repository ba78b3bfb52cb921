"""Slots of fixed size in one block of memory, or in a mapped file that outlives the process.

A file is a page of header (magic, version, slot size, number of slots, checksum), then the slots.
A file of another version or size, or with a damaged header, is renamed aside: it is never trusted,
and it never prevents a start.
"""

import mmap
import os
import struct
from collections.abc import Callable
from typing import Any, NamedTuple, Optional, Union
from zlib import crc32

from .entry_codec import CHECKSUM_BYTES, SLOT_BYTES, SLOT_HEADER, Entry, NumberedEntry, unpack_slot

MAGIC = b"tkwhy\0\0\0"
VERSION = 1
# One page of memory, so that the slots begin at a page's begin.
HEADER_BYTES = 4096
# Magic, version, bytes of a slot, number of slots; a checksum follows.
HEADER_FIELDS = struct.Struct("<8sIIQ")
STORED_HEADER_BYTES = HEADER_FIELDS.size + CHECKSUM_BYTES
# The file is readable by its owner alone: it holds keys and tenants.
FILE_MODE = 0o600

LogEvent = Callable[..., Any]
"""Called with an event's name and its fields as keywords."""


class SlotFileError(ValueError):
    """A file that is no readable record; the text names the file and the fault."""


class StoredEntry(NamedTuple):
    """An entry and where it lies."""

    slot: int
    number: int
    entry: Entry


class Contents(NamedTuple):
    """All that can be read of a slot file."""

    entries: list[StoredEntry]
    """In the order of the slots."""
    torn: int
    """How many slots hold something that is not a complete entry."""


def _log_nothing(event: str, **fields: Any) -> None:
    pass


class SlotFile:
    """Slots in memory or in a mapped file.

    Attributes:
        slots: How many there are.
        path: The file, or None if they are in memory alone.
        memory: The header and the slots.
    """

    def __init__(
        self, slots: int, path: Optional[str] = None, say: LogEvent = _log_nothing
    ) -> None:
        """Opens or makes the file.

        Args:
            slots: How many slots it has.
            path: The file; None keeps the slots in memory.
            say: Is told of a file that was renamed aside or can't be used.
        """
        self.slots = slots
        self.path = path
        self.memory: Union[bytearray, mmap.mmap]
        if path is None:
            self.memory = self._in_memory()
            return
        try:
            self.memory = self._mapped(path, say)
        except OSError as error:  # a full disk or a path that can't be written: kept in memory
            say("decision log in memory", error=os.strerror(error.errno or 0), path=path)
            self.path = None
            self.memory = self._in_memory()

    def _size(self) -> int:
        return HEADER_BYTES + self.slots * SLOT_BYTES

    def _in_memory(self) -> bytearray:
        memory = bytearray(self._size())
        memory[:STORED_HEADER_BYTES] = self._header()
        return memory

    def _header(self) -> bytes:
        fields = HEADER_FIELDS.pack(MAGIC, VERSION, SLOT_BYTES, self.slots)
        return fields + crc32(fields).to_bytes(CHECKSUM_BYTES, "little")

    def _mapped(self, path: str, say: LogEvent) -> mmap.mmap:
        size = self._size()
        os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
        if os.path.exists(path):
            self._set_aside_unless_usable(path, say)
        fresh = not os.path.exists(path)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            if fresh:
                # Its blocks are allocated now: with a disk that fills later, writing to a mapped
                # hole would end the process by a signal.
                os.posix_fallocate(descriptor, 0, size)
                os.pwrite(descriptor, self._header(), 0)
            return mmap.mmap(descriptor, size)
        except OSError:
            if fresh:
                os.unlink(path)
            raise
        finally:
            os.close(descriptor)

    def _set_aside_unless_usable(self, path: str, say: LogEvent) -> None:
        header = _stored_header(path)
        if header == self._header() and os.path.getsize(path) == self._size():
            return
        aside = f"{path}.aside"
        os.replace(path, aside)
        say("decision log set aside", path=aside, because=_mismatch(header, self.slots))

    def write(self, slot: int, content: bytes) -> None:
        """Writes a packed entry, its checksum last: that of a torn write does not fit."""
        begin = HEADER_BYTES + slot * SLOT_BYTES
        self.memory[begin : begin + CHECKSUM_BYTES] = bytes(CHECKSUM_BYTES)
        self.memory[begin + CHECKSUM_BYTES : begin + len(content)] = content[CHECKSUM_BYTES:]
        self.memory[begin : begin + CHECKSUM_BYTES] = content[:CHECKSUM_BYTES]

    def clear(self, slot: int) -> None:
        """Empties a slot."""
        begin = HEADER_BYTES + slot * SLOT_BYTES
        self.memory[begin : begin + SLOT_BYTES] = bytes(SLOT_BYTES)

    def read(self, slot: int) -> Optional[NumberedEntry]:
        """Reads a slot; None for one that is empty, torn or damaged."""
        begin = HEADER_BYTES + slot * SLOT_BYTES
        return unpack_slot(bytes(self.memory[begin : begin + SLOT_BYTES]))

    def read_all(self) -> Contents:
        """Reads all slots."""
        entries = []
        torn = 0
        for slot in range(self.slots):
            stored = self.read(slot)
            if stored:
                entries.append(StoredEntry(slot, stored.number, stored.entry))
            else:
                begin = HEADER_BYTES + slot * SLOT_BYTES
                torn += any(self.memory[begin : begin + SLOT_HEADER.size])
        return Contents(entries, torn)

    def close(self) -> None:
        """Closes the mapping, if there is one."""
        if isinstance(self.memory, mmap.mmap):
            self.memory.close()


def _stored_header(path: str) -> bytes:
    with open(path, "rb") as source:
        return source.read(STORED_HEADER_BYTES)


def _header_fault(header: bytes) -> Optional[str]:
    """Says why a stored header can't be read by this version; None if it can."""
    if len(header) < STORED_HEADER_BYTES or header[: len(MAGIC)] != MAGIC:
        return "no record"
    fields = header[: HEADER_FIELDS.size]
    if crc32(fields) != int.from_bytes(header[HEADER_FIELDS.size :], "little"):
        return "damaged head"
    _, version, slot_bytes, _ = HEADER_FIELDS.unpack(fields)
    if version != VERSION or slot_bytes != SLOT_BYTES:
        return f"version {version}, slots of {slot_bytes}"
    return None


def _slot_count(header: bytes) -> int:
    count: int = HEADER_FIELDS.unpack(header[: HEADER_FIELDS.size])[3]
    return count


def _mismatch(header: bytes, slots: int) -> str:
    """Says why a file with this header is not one of so many slots."""
    fault = _header_fault(header)
    if fault is not None:
        return fault
    count = _slot_count(header)
    return f"{count} slots, {slots} are set" if count != slots else "another size"


def load_slot_file(path: str) -> SlotFile:
    """Reads into memory the file that some process has left, whatever its size.

    Raises:
        SlotFileError: It is no record of this version.
        OSError: It can't be read.
    """
    header = _stored_header(path)
    fault = _header_fault(header)
    if fault is not None:
        raise SlotFileError(f"{path}: {fault}")
    slot_file = SlotFile(_slot_count(header))
    slot_file.path = path
    with open(path, "rb") as source:
        content = source.read(len(slot_file.memory))
    slot_file.memory[: len(content)] = content
    return slot_file
