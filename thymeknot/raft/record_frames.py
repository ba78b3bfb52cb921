"""Framing of stored records: length and CRC-32 of the body (4 bytes each, big-endian), body."""

import struct
import zlib
from typing import NamedTuple

_HEADER = struct.Struct(">II")
MAX_RECORD_BYTES = 1 << 20
"""Maximum size of a record body; a greater length means that the frame is damaged."""


class Frames(NamedTuple):
    """The intact records at the beginning of a file.

    Attributes:
        bodies: Bodies of the intact records.
        end: Byte offset at which the last of them ends.
        damaged: An invalid record is followed by a valid one. A power failure can leave an
            incomplete last record, but it can't explain an invalid record before a valid one.
    """

    bodies: list[bytes]
    end: int
    damaged: bool


def frame(body: bytes) -> bytes:
    """Returns the frame of a record body, as it is stored."""
    return _HEADER.pack(len(body), zlib.crc32(body)) + body


def read_frames(content: bytes, max_bytes: int = MAX_RECORD_BYTES) -> Frames:
    """Reads the records of a file up to the first invalid one."""
    bodies: list[bytes] = []
    offset = 0
    while offset < len(content):
        if offset + _HEADER.size > len(content):
            return Frames(bodies, offset, False)
        length, checksum = _HEADER.unpack_from(content, offset)
        end = offset + _HEADER.size + length
        body = content[offset + _HEADER.size : end]
        # After a power failure a file may have grown but hold zeros, so a length of 0 is invalid.
        length_fits = 0 < length <= max_bytes and len(body) == length
        if not length_fits or zlib.crc32(body) != checksum:
            return Frames(bodies, offset, _has_valid_record_after(content, offset + 1))
        bodies.append(body)
        offset = end
    return Frames(bodies, offset, False)


def _has_valid_record_after(content: bytes, start: int) -> bool:
    """Returns whether a valid record begins at `start` or later, after an invalid one."""
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
