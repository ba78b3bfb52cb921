"""Frames around stored records: the length and CRC-32 of a body (4 bytes each, big-endian)."""

import struct
import zlib
from typing import NamedTuple

_HEADER = struct.Struct(">II")
MAX_RECORD_BYTES = 1 << 20
"""No record is longer: a length beyond it is damage."""


class Frames(NamedTuple):
    """What was read of a file.

    Attributes:
        bodies: of the whole records.
        end: where they end, in bytes.
        damaged: what follows them was damaged. A tail that breaks off is what a loss of power
            leaves; a record that is wrong with whole ones after it is not.
    """

    bodies: list[bytes]
    end: int
    damaged: bool


def frame(body: bytes) -> bytes:
    """A record as it is stored."""
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


def read_frames(content: bytes, max_bytes: int = MAX_RECORD_BYTES) -> Frames:
    """The records of a file, up to the first one that is broken."""
    bodies: list[bytes] = []
    offset = 0
    while offset < len(content):
        if offset + _HEADER.size > len(content):
            return Frames(bodies, offset, False)
        length, checksum = _HEADER.unpack_from(content, offset)
        end = offset + _HEADER.size + length
        body = content[offset + _HEADER.size : end]
        # A file that grew before its bytes came is full of zero lengths.
        length_fits = 0 < length <= max_bytes and len(body) == length
        if not length_fits or zlib.crc32(body) != checksum:
            return Frames(bodies, offset, _whole_record_after(content, offset + 1))
        bodies.append(body)
        offset = end
    return Frames(bodies, offset, False)


def _whole_record_after(content: bytes, start: int) -> bool:
    """Whether a whole record follows a broken one, which then wasn't the last to be written."""
    for offset in range(start, len(content) - _HEADER.size):
        length, checksum = _HEADER.unpack_from(content, offset)
        end = offset + _HEADER.size + length
        if (
            0 < length <= MAX_RECORD_BYTES
            and end <= len(content)
            and zlib.crc32(content[offset + _HEADER.size : end]) == checksum
        ):
            return True
    return False
