"""An entry of the record: one transaction or vote with its reasons, packed into a slot of fixed size. Pure.

A slot: 4 bytes of checksum over the rest, 2 of length, 8 of number, then a MessagePack array. What was torn by a kill
has a checksum that does not fit, or a number that is not its slot's; it is found, and never taken for whole.
"""

import struct
from typing import Optional, Union
from zlib import crc32

from msgspec import DecodeError, Struct, msgpack

from ..interface.reasons import Reason

SLOT = 768  # bytes; a transaction of four deliveries with all its reasons takes some 400
HEAD = struct.Struct("<IHQ")
NOTES_MOST = 40
TEXT_MOST = 64  # of an id, key, tenant: longer ones are cut, and so found by their first part alone


class Entry(Struct, array_like=True, gc=False):
    """at: Unix time in tenths of a millisecond when it was taken. notes: (reason, time since, operands ...)."""

    at: int
    id: str
    key: Optional[str]
    tenant: Optional[str]
    lane: str
    repeat: bool
    end: int
    took: int
    notes: list[list[Union[int, float, str, bool, None]]]
    cut: int = 0  # notes left out for want of room


_encode, _decode = msgpack.Encoder().encode, msgpack.Decoder(Entry).decode


def packed(entry, number):
    """The bytes of a slot. Notes that do not fit are left out from the middle: how it began and ended is kept."""
    content = _encode(entry)
    while len(content) > SLOT - HEAD.size:
        if not entry.notes:
            entry = Entry(
                entry.at,
                entry.id[:16],
                None,
                None,
                entry.lane[:16],
                entry.repeat,
                entry.end,
                entry.took,
                [],
                entry.cut,
            )
        else:
            del entry.notes[len(entry.notes) // 2]
            entry.cut += 1
        content = _encode(entry)
    rest = struct.pack("<HQ", len(content), number) + content
    return crc32(rest).to_bytes(4, "little") + rest


def unpacked(slot):
    """(number, Entry), or None for what is empty, torn or damaged."""
    check, length, number = HEAD.unpack_from(slot)
    if not 0 < length <= len(slot) - HEAD.size:
        return None
    if crc32(slot[4 : HEAD.size + length]) != check:
        return None
    try:
        return number, _decode(slot[HEAD.size : HEAD.size + length])
    except (DecodeError, UnicodeDecodeError):
        return None


def reasons(entry):
    return {note[0] for note in entry.notes}


def pods(entry):
    """Pods that it was sent to."""
    return {
        note[2] for note in entry.notes if note[0] in (Reason.SENT, Reason.ENDED) and len(note) > 2
    }
