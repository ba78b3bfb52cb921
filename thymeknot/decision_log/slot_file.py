"""Fixed-size slots in memory, or in a mapped file that outlives the process.

A file consists of a header of one page (magic, version, slot size, number of slots, checksum) and
the slots. A file of another version or size, or with a corrupt header, is renamed: its content is
never trusted, and it never prevents a start.
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
# One page, so that the slots are page-aligned.
HEADER_BYTES = 4096
# Magic, version, size of a slot in bytes, number of slots; a checksum follows.
HEADER_FIELDS = struct.Struct("<8sIIQ")
CHECKED_HEADER_BYTES = HEADER_FIELDS.size + CHECKSUM_BYTES
# Only the owner may read the file, since it contains keys and tenants.
FILE_MODE = 0o600

LogEvent = Callable[..., Any]
"""Logs an event, given its name and its fields as keyword arguments."""


class SlotFileError(ValueError):
    """A file that is not a readable decision log; the message has the path and the reason."""


class StoredEntry(NamedTuple):
    """An entry, its sequence number and its slot."""

    slot: int
    number: int
    entry: Entry


class Contents(NamedTuple):
    """The readable content of a slot file."""

    entries: list[StoredEntry]
    """The entries in the order of their slots."""
    torn_slots: int
    """The number of slots with an incomplete or corrupt entry."""


def _ignore_event(event: str, **fields: Any) -> None:
    pass


class SlotFile:
    """Slots in memory or in a mapped file.

    Attributes:
        slots: The number of slots.
        path: The path of the file, or None if the slots are only in memory.
        memory: The header and the slots.
    """

    def __init__(
        self, slots: int, path: Optional[str] = None, log_event: LogEvent = _ignore_event
    ) -> None:
        """Opens or creates the file.

        Args:
            slots: The number of slots.
            path: The path of the file; None keeps the slots in memory.
            log_event: Logs that a file was renamed or can't be used.
        """
        self.slots = slots
        self.path = path
        self.memory: Union[bytearray, mmap.mmap]
        if path is None:
            self.memory = self._allocate_memory()
            return
        try:
            self.memory = self._map_file(path, log_event)
        except OSError as error:  # the disk is full or the path not writable: use memory instead
            log_event("decision log in memory", error=os.strerror(error.errno or 0), path=path)
            self.path = None
            self.memory = self._allocate_memory()

    def _file_size(self) -> int:
        return HEADER_BYTES + self.slots * SLOT_BYTES

    def _allocate_memory(self) -> bytearray:
        memory = bytearray(self._file_size())
        memory[:CHECKED_HEADER_BYTES] = self._header()
        return memory

    def _header(self) -> bytes:
        fields = HEADER_FIELDS.pack(MAGIC, VERSION, SLOT_BYTES, self.slots)
        return fields + crc32(fields).to_bytes(CHECKSUM_BYTES, "little")

    def _map_file(self, path: str, log_event: LogEvent) -> mmap.mmap:
        size = self._file_size()
        os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
        if os.path.exists(path):
            self._rename_unless_usable(path, log_event)
        is_new = not os.path.exists(path)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            if is_new:
                # Allocates the blocks now: if the disk filled up later, a write to a hole in the
                # mapped file would kill the process with SIGBUS.
                os.posix_fallocate(descriptor, 0, size)
                os.pwrite(descriptor, self._header(), 0)
            return mmap.mmap(descriptor, size)
        except OSError:
            if is_new:
                os.unlink(path)
            raise
        finally:
            os.close(descriptor)

    def _rename_unless_usable(self, path: str, log_event: LogEvent) -> None:
        header = _stored_header(path)
        if header == self._header() and os.path.getsize(path) == self._file_size():
            return
        renamed_path = f"{path}.aside"
        os.replace(path, renamed_path)
        log_event(
            "decision log set aside", path=renamed_path, because=_mismatch_text(header, self.slots)
        )

    def write(self, slot: int, encoded_entry: bytes) -> None:
        """Writes an encoded entry, its checksum last, so that a torn write has a wrong checksum."""
        offset = HEADER_BYTES + slot * SLOT_BYTES
        self.memory[offset : offset + CHECKSUM_BYTES] = bytes(CHECKSUM_BYTES)
        self.memory[offset + CHECKSUM_BYTES : offset + len(encoded_entry)] = encoded_entry[
            CHECKSUM_BYTES:
        ]
        self.memory[offset : offset + CHECKSUM_BYTES] = encoded_entry[:CHECKSUM_BYTES]

    def clear(self, slot: int) -> None:
        """Clears a slot."""
        offset = HEADER_BYTES + slot * SLOT_BYTES
        self.memory[offset : offset + SLOT_BYTES] = bytes(SLOT_BYTES)

    def read(self, slot: int) -> Optional[NumberedEntry]:
        """Reads a slot; returns None if it is empty, torn or corrupt."""
        offset = HEADER_BYTES + slot * SLOT_BYTES
        return unpack_slot(bytes(self.memory[offset : offset + SLOT_BYTES]))

    def read_all(self) -> Contents:
        """Reads all slots."""
        entries = []
        torn_slots = 0
        for slot in range(self.slots):
            numbered_entry = self.read(slot)
            if numbered_entry:
                entries.append(StoredEntry(slot, numbered_entry.number, numbered_entry.entry))
            else:
                offset = HEADER_BYTES + slot * SLOT_BYTES
                torn_slots += any(self.memory[offset : offset + SLOT_HEADER.size])
        return Contents(entries, torn_slots)

    def close(self) -> None:
        """Closes the mapped file, if there is one."""
        if isinstance(self.memory, mmap.mmap):
            self.memory.close()


def _stored_header(path: str) -> bytes:
    with open(path, "rb") as source:
        return source.read(CHECKED_HEADER_BYTES)


def _header_error(header: bytes) -> Optional[str]:
    """Returns why this version can't read a file with this header; None if it can."""
    if len(header) < CHECKED_HEADER_BYTES or header[: len(MAGIC)] != MAGIC:
        return "not a decision log"
    fields = header[: HEADER_FIELDS.size]
    if crc32(fields) != int.from_bytes(header[HEADER_FIELDS.size :], "little"):
        return "corrupt header"
    _, version, slot_bytes, _ = HEADER_FIELDS.unpack(fields)
    if version != VERSION or slot_bytes != SLOT_BYTES:
        return f"format version {version} with slots of {slot_bytes} bytes"
    return None


def _stored_slot_count(header: bytes) -> int:
    count: int = HEADER_FIELDS.unpack(header[: HEADER_FIELDS.size])[3]
    return count


def _mismatch_text(header: bytes, slots: int) -> str:
    """Returns why a file with this header can't be used for this number of slots."""
    error_text = _header_error(header)
    if error_text is not None:
        return error_text
    count = _stored_slot_count(header)
    return (
        f"{count} slots instead of the configured {slots}" if count != slots else "wrong file size"
    )


def load_slot_file(path: str) -> SlotFile:
    """Reads the slot file of another process into memory, with any number of slots.

    Raises:
        SlotFileError: The file is not a decision log of this version.
        OSError: The file can't be read.
    """
    header = _stored_header(path)
    error_text = _header_error(header)
    if error_text is not None:
        raise SlotFileError(f"{path}: {error_text}")
    slot_file = SlotFile(_stored_slot_count(header))
    slot_file.path = path
    with open(path, "rb") as source:
        file_content = source.read(len(slot_file.memory))
    slot_file.memory[: len(file_content)] = file_content
    return slot_file
