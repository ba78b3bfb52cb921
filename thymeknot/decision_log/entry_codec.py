"""The stored form of an entry: one transaction or vote with its reasons, in a slot of fixed size.

A slot holds a checksum of the rest (4 bytes), the content's length (2), the entry's number (8),
then a MessagePack array; integers are little-endian. A write torn by a kill has a checksum that
does not fit, so that it is detected and never read as an entry.
"""

import struct
from typing import NamedTuple, Optional, Union, cast
from zlib import crc32

from msgspec import DecodeError, Struct, msgpack

from ..interface.clock import Ticks
from ..interface.reasons import Reason

# In bytes; a transaction of four attempts with all its reasons takes some 400.
SLOT_BYTES = 768
# Checksum, length, number.
SLOT_HEADER = struct.Struct("<IHQ")
# What the checksum covers of the header: length, number.
CHECKED_HEADER = struct.Struct("<HQ")
CHECKSUM_BYTES = 4
# Notes of one entry; with more of them the middle is left out.
MAX_NOTES = 40
# Elements that each note begins with: the reason's number and the time.
NOTE_HEAD = 2
# Characters of an id, key or tenant: longer ones are cut, and found by this prefix alone.
MAX_TEXT_LENGTH = 64
# Characters of an id or request class where even an entry without notes does not fit its slot.
SHORTENED_LENGTH = 16

Note = list[Union[int, float, str, bool, None]]
"""A reason's number, the time since the transaction was taken, the reason's operands."""


class Entry(Struct, array_like=True, gc=False):
    """One entry of the record. The order of the fields is stored."""

    at: Ticks
    """Unix time at which it was taken."""
    id: str
    key: Optional[str]
    tenant: Optional[str]
    request_class: str
    repeat: bool
    """Whether its client said that it repeats an earlier one."""
    end: int
    """The reason that names its final answer, or 0 while it is open."""
    took: Ticks
    notes: list[Note]
    cut: int = 0
    """Notes that were left out for want of room."""


class NumberedEntry(NamedTuple):
    """An entry as its slot holds it."""

    number: int
    """Numbers rise with every entry written."""
    entry: Entry


_encode = msgpack.Encoder().encode
_decode = msgpack.Decoder(Entry).decode


def pack_slot(entry: Entry, number: int) -> bytes:
    """Returns the bytes of a slot.

    Notes that do not fit are left out from the middle, so that beginning and end are kept.
    """
    content = _encode(entry)
    while len(content) > SLOT_BYTES - SLOT_HEADER.size:
        if not entry.notes:
            entry = _shortened(entry)
        else:
            del entry.notes[len(entry.notes) // 2]
            entry.cut += 1
        content = _encode(entry)
    rest = CHECKED_HEADER.pack(len(content), number) + content
    return crc32(rest).to_bytes(CHECKSUM_BYTES, "little") + rest


def _shortened(entry: Entry) -> Entry:
    return Entry(
        at=entry.at,
        id=entry.id[:SHORTENED_LENGTH],
        key=None,
        tenant=None,
        request_class=entry.request_class[:SHORTENED_LENGTH],
        repeat=entry.repeat,
        end=entry.end,
        took=entry.took,
        notes=[],
        cut=entry.cut,
    )


def unpack_slot(slot: bytes) -> Optional[NumberedEntry]:
    """Reads a slot; None for what is empty, torn or damaged."""
    checksum, length, number = SLOT_HEADER.unpack_from(slot)
    if not 0 < length <= len(slot) - SLOT_HEADER.size:
        return None
    if crc32(slot[CHECKSUM_BYTES : SLOT_HEADER.size + length]) != checksum:
        return None
    try:
        entry = _decode(slot[SLOT_HEADER.size : SLOT_HEADER.size + length])
    except (DecodeError, UnicodeDecodeError):
        return None
    return NumberedEntry(number, entry) if _is_sound(entry) else None


def _is_sound(entry: Entry) -> bool:
    """Whether each note begins with a reason's number and a time, as readers take for granted."""
    return all(
        len(note) >= NOTE_HEAD and type(note[0]) is int and type(note[1]) is int
        for note in entry.notes
    )


def pods(entry: Entry) -> set[str]:
    """Returns the endpoints that it was sent to."""
    return {
        str(note[2])
        for note in entry.notes
        if note[0] in (Reason.SENT, Reason.ENDED) and len(note) > 2
    }


def reason_name(number: int) -> str:
    """Returns the name of a reason, also of one that a later version has written."""
    try:
        return Reason(number).name
    except ValueError:
        return f"REASON_{number}"


def note_reason(note: Note) -> int:
    """Returns the number of the reason that a note names; a later version may have others."""
    return cast(int, note[0])


def note_delay(note: Note) -> Ticks:
    """Returns how long after the transaction was taken the note was made."""
    return cast(Ticks, note[1])
