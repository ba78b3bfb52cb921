"""The storage format of entries: one request or vote with its reasons, in a slot of fixed size.

A slot holds a checksum of everything after it (4 bytes), the length of the content (2), the
sequence number of the entry (8) and the content, a MessagePack array. Integers are little-endian.
If the process is killed during a write, the checksum does not match, so a torn entry is detected
and never read.
"""

import struct
from typing import NamedTuple, Optional, Union, cast
from zlib import crc32

from msgspec import DecodeError, Struct, msgpack

from ..interface.clock import Ticks
from ..interface.reasons import Reason

# A request with four attempts and all its reasons takes about 400 bytes.
SLOT_BYTES = 768
# Checksum, length of the content, sequence number.
SLOT_HEADER = struct.Struct("<IHQ")
# The part of the header that the checksum covers: length and sequence number.
CHECKSUMMED_HEADER = struct.Struct("<HQ")
CHECKSUM_BYTES = 4
# The maximum number of notes in an entry; further ones displace those in the middle.
MAX_NOTES = 40
# The elements of a note before the operands: the reason's number and the elapsed time.
NOTE_HEADER_LENGTH = 2
# The maximum length of an id, key or tenant, in characters. Longer ones are truncated, and are
# found only by this prefix.
MAX_TEXT_LENGTH = 64
# The length to which an id and request class are truncated, in characters, if an entry does not fit
# its slot even without notes.
SHORTENED_TEXT_LENGTH = 16

Note = list[Union[int, float, str, bool, None]]
"""The number of a reason, the time since the request was received, and the reason's operands."""


class Entry(Struct, array_like=True, gc=False):
    """An entry of the log. It is stored as an array, so the order of the fields is fixed."""

    received_at: Ticks
    """When the request was received, in Unix time."""
    id: str
    key: Optional[str]
    tenant: Optional[str]
    request_class: str
    is_retry: bool
    """Whether the client marked it as a retry."""
    final_reason: int
    """The reason of the final response, or 0 if there is none yet."""
    duration: Ticks
    notes: list[Note]
    omitted_notes: int = 0
    """The number of notes that were omitted for lack of space."""


class NumberedEntry(NamedTuple):
    """An entry with its sequence number."""

    number: int
    """The sequence number; it increases with every stored entry."""
    entry: Entry


_encode = msgpack.Encoder().encode
_decode = msgpack.Decoder(Entry).decode


def pack_slot(entry: Entry, number: int) -> bytes:
    """Encodes an entry as the content of a slot.

    If it does not fit, notes are removed from the middle, so that the first and last ones are kept.

    Args:
        entry: The entry; its notes are removed in place.
        number: Its sequence number.
    """
    content = _encode(entry)
    while len(content) > SLOT_BYTES - SLOT_HEADER.size:
        if not entry.notes:
            entry = _shortened(entry)
        else:
            del entry.notes[len(entry.notes) // 2]
            entry.omitted_notes += 1
        content = _encode(entry)
    checksummed = CHECKSUMMED_HEADER.pack(len(content), number) + content
    return crc32(checksummed).to_bytes(CHECKSUM_BYTES, "little") + checksummed


def _shortened(entry: Entry) -> Entry:
    return Entry(
        received_at=entry.received_at,
        id=entry.id[:SHORTENED_TEXT_LENGTH],
        key=None,
        tenant=None,
        request_class=entry.request_class[:SHORTENED_TEXT_LENGTH],
        is_retry=entry.is_retry,
        final_reason=entry.final_reason,
        duration=entry.duration,
        notes=[],
        omitted_notes=entry.omitted_notes,
    )


def unpack_slot(slot: bytes) -> Optional[NumberedEntry]:
    """Decodes a slot; returns None if it is empty, torn or corrupt."""
    checksum, length, number = SLOT_HEADER.unpack_from(slot)
    if not 0 < length <= len(slot) - SLOT_HEADER.size:
        return None
    if crc32(slot[CHECKSUM_BYTES : SLOT_HEADER.size + length]) != checksum:
        return None
    try:
        entry = _decode(slot[SLOT_HEADER.size : SLOT_HEADER.size + length])
    except (DecodeError, UnicodeDecodeError):
        return None
    return NumberedEntry(number, entry) if _has_valid_notes(entry) else None


def _has_valid_notes(entry: Entry) -> bool:
    """Returns whether each note begins with integers for reason and time, as readers assume."""
    return all(
        len(note) >= NOTE_HEADER_LENGTH and type(note[0]) is int and type(note[1]) is int
        for note in entry.notes
    )


def endpoints_sent_to(entry: Entry) -> set[str]:
    """Returns the endpoints to which the request was sent."""
    return {
        str(note[2])
        for note in entry.notes
        if note[0] in (Reason.SENT, Reason.ENDED) and len(note) > 2
    }


def reason_name(number: int) -> str:
    """Returns the name of a reason, or `REASON_<number>` for one of a later version."""
    try:
        return Reason(number).name
    except ValueError:
        return f"REASON_{number}"


def note_reason(note: Note) -> int:
    """Returns the reason's number, which may be unknown to this version."""
    return cast(int, note[0])


def note_elapsed(note: Note) -> Ticks:
    """Returns the time from the receipt of the request to the note."""
    return cast(Ticks, note[1])
