"""Slots of fixed size in one piece of memory, or in a mapped file that outlives the program.

A file: a page of head (magic, version, slot size, count, checksum), then the slots. One of another version or size, or
damaged in its head is set aside under another name; it is never trusted and never stops the start.
"""

import mmap
import os
import struct
from zlib import crc32

from .entry_codec import SLOT_BYTES, unpacked

MAGIC, VERSION, HEAD = b"tkwhy\0\0\0", 1, 4096
_head = struct.Struct("<8sIIQ")


class SlotFile:
    def __init__(self, slots, path=None, say=lambda event, **fields: None):
        """slots: how many. path: of the file, or None. say(event, **fields) hears of what was set aside."""
        self.slots, self.path, self.file = slots, path, None
        if path is None:
            self.memory = bytearray(HEAD + slots * SLOT_BYTES)
        else:
            try:
                self.memory = self._mapped(path, say)
            except (
                OSError
            ) as error:  # a full disk or a path that can't be written: kept in memory instead
                say("decision log in memory", error=os.strerror(error.errno or 0), path=path)
                self.path, self.memory = None, bytearray(HEAD + slots * SLOT_BYTES)
        if self.path is None:
            self.memory[: _head.size + 4] = self._header()

    def _header(self):
        told = _head.pack(MAGIC, VERSION, SLOT_BYTES, self.slots)
        return told + crc32(told).to_bytes(4, "little")

    def _mapped(self, path, say):
        size = HEAD + self.slots * SLOT_BYTES
        os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
        if os.path.exists(path):
            with open(path, "rb") as source:
                head = source.read(_head.size + 4)
            if head != self._header() or os.path.getsize(path) != size:
                aside = f"{path}.aside"
                os.replace(path, aside)
                say("decision log set aside", path=aside, because=told_of(head, self.slots))
        fresh = not os.path.exists(path)
        number = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            if fresh:  # its blocks are taken now: a disk that fills later must not end the program by a signal
                os.posix_fallocate(number, 0, size)
                os.pwrite(number, self._header(), 0)
            return mmap.mmap(number, size)
        except OSError:
            if fresh:
                os.unlink(path)
            raise
        finally:
            os.close(number)

    def write(self, slot, content):
        """The content first, its checksum last: what is torn in between does not fit."""
        at = HEAD + slot * SLOT_BYTES
        self.memory[at : at + 4] = b"\0\0\0\0"
        self.memory[at + 4 : at + len(content)] = content[4:]
        self.memory[at : at + 4] = content[:4]

    def clear(self, slot):
        at = HEAD + slot * SLOT_BYTES
        self.memory[at : at + SLOT_BYTES] = bytes(SLOT_BYTES)

    def read(self, slot):
        """(number, Entry) or None."""
        at = HEAD + slot * SLOT_BYTES
        return unpacked(bytes(self.memory[at : at + SLOT_BYTES]))

    def whole(self):
        """(slot, number, Entry) of all that is whole; how many slots hold something that is not."""
        found, torn = [], 0
        for slot in range(self.slots):
            read = self.read(slot)
            if read:
                found.append((slot, *read))
            else:
                at = HEAD + slot * SLOT_BYTES
                torn += any(self.memory[at : at + 14])
        return found, torn

    def close(self):
        if isinstance(self.memory, mmap.mmap):
            self.memory.close()


def told_of(head, slots):
    """Why a head is not ours."""
    if len(head) < _head.size + 4 or head[:8] != MAGIC:
        return "no record"
    if crc32(head[: _head.size]) != int.from_bytes(head[_head.size :], "little"):
        return "damaged head"
    _, version, size, count = _head.unpack(head[: _head.size])
    if version != VERSION or size != SLOT_BYTES:
        return f"version {version}, slots of {size}"
    return f"{count} slots, {slots} are set" if count != slots else "another size"


def left_over(path):
    """An arena of a file that some program has left, whatever its size. Raises ValueError where it is none."""
    with open(path, "rb") as source:
        head = source.read(_head.size + 4)
    said = told_of(head, -1)
    if not said.endswith("are set"):
        raise ValueError(f"{path}: {said}")
    arena = SlotFile.__new__(SlotFile)
    arena.slots, arena.path = _head.unpack(head[: _head.size])[3], path
    with open(path, "rb") as source:
        arena.memory = source.read(HEAD + arena.slots * SLOT_BYTES).ljust(
            HEAD + arena.slots * SLOT_BYTES, b"\0"
        )
    return arena
