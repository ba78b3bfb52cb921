"""RESP2: an incremental parser that hands out slices of what was read, and writers. Pure.

Source: the RESP2 specification; the limits are those of the users' protocol.
"""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

MOST_BULK: Final = 64 * 1024
"""Bytes of a value, by the protocol."""
MOST_PARTS: Final = 64
"""Elements of an array."""
MOST_DEPTH: Final = 4
"""Arrays within arrays."""
MOST_LINE: Final = 4 * 1024
"""Bytes of a line."""
MOST_DIGITS: Final = 18
"""Digits of a length or an integer: more would not fit into 63 bits."""
STATUS: Final = ord("+")
FAILURE: Final = ord("-")
INTEGER: Final = ord(":")
BULK_STRING: Final = ord("$")
NULL_LENGTH: Final = -1
INCOMPLETE: Final = object()
"""Stands for a message of which more has to come."""


class MalformedRespError(ValueError):
    """Not RESP2, or larger than the protocol allows: where the next message begins is unknown."""


class Status(NamedTuple):
    """A simple string."""

    text: str


class Failure(NamedTuple):
    """An error line."""

    text: str


class Parser:
    """Takes what was read and gives complete messages.

    A message is a memoryview for a bulk string, None for a null, an int, a Status, a Failure, or a
    list of these. Each slice keeps the chunk that it lies in.
    """

    def __init__(self, most: int = MOST_BULK) -> None:
        self.chunks: list[bytes] = []
        self.held = 0
        self.needed = 0
        self.most = most

    def feed(self, data: bytes) -> Iterator[Any]:
        """The complete messages up to and with this chunk.

        A generator: MalformedRespError comes after the messages before the fault.
        """
        self.chunks.append(data)
        self.held += len(data)
        if self.held < self.needed:  # a long value is not joined again with each piece of it
            return
        buffer = data if len(self.chunks) == 1 else b"".join(self.chunks)
        at = 0
        while at < len(buffer):
            message, end = self._message(buffer, at, 0)
            if message is INCOMPLETE:
                self.needed = end - at
                break
            at = end
            yield message
        else:
            self.needed = 0
        self.chunks = [buffer[at:]] if at < len(buffer) else []
        self.held = len(buffer) - at

    def begins_with(self, kind: bytes) -> bool:
        """Whether a message of this kind has come in part."""
        return bool(self.chunks) and self.chunks[0][:1] == kind

    def first_part(self) -> Iterator[memoryview]:
        """The first string of an array that is wrong behind it; none where it is not complete."""
        buffer = b"".join(self.chunks)
        if buffer[:1] == b"*":
            try:
                part, _ = self._message(buffer, self._line(buffer, 0)[1], 1)
            except MalformedRespError:
                return
            if isinstance(part, memoryview):
                yield part

    def _line(self, buffer: bytes, at: int) -> tuple[bytes | None, int]:
        found = buffer.find(b"\r\n", at, at + MOST_LINE)
        if found < 0:
            if len(buffer) - at >= MOST_LINE:
                raise MalformedRespError("a line without an end")
            return None, len(buffer) + 1
        return buffer[at + 1 : found], found + 2

    def _message(self, buffer: bytes, at: int, depth: int) -> tuple[Any, int]:
        """The message here and where it ends, or INCOMPLETE and how far it goes at least."""
        if at >= len(buffer):
            return INCOMPLETE, at + 1
        kind = buffer[at]
        if kind not in b"*$+-:":
            raise MalformedRespError("neither an array nor a string begins here")
        line, end = self._line(buffer, at)
        if line is None:
            return INCOMPLETE, end
        if kind in (STATUS, FAILURE):
            text = line.decode("utf-8", "replace")
            return (Status(text) if kind == STATUS else Failure(text)), end
        return self._counted(buffer, end, kind, self._number(line), depth)

    def _counted(
        self, buffer: bytes, end: int, kind: int, number: int, depth: int
    ) -> tuple[Any, int]:
        """What begins with a number: an integer, a null, a bulk string or an array."""
        if kind == INTEGER:
            return number, end
        if number == NULL_LENGTH:
            return None, end
        if number < 0:
            raise MalformedRespError("a negative length")
        if kind == BULK_STRING:
            return self._bulk(buffer, end, number)
        return self._array(buffer, end, number, depth)

    def _number(self, line: bytes) -> int:
        digits = line[1:] if line[:1] == b"-" else line
        if not digits.isdigit() or len(digits) > MOST_DIGITS:
            raise MalformedRespError("a length that is no number")
        return int(line)

    def _bulk(self, buffer: bytes, at: int, length: int) -> tuple[Any, int]:
        if length > self.most:
            raise MalformedRespError(f"a value of {length} bytes, over {self.most}")
        end = at + length + 2
        if len(buffer) < end:
            return INCOMPLETE, end
        if buffer[end - 2 : end] != b"\r\n":
            raise MalformedRespError("a value longer than it says")
        return memoryview(buffer)[at : end - 2], end

    def _array(self, buffer: bytes, at: int, length: int, depth: int) -> tuple[Any, int]:
        if length > MOST_PARTS or depth >= MOST_DEPTH:
            raise MalformedRespError("an array of too many parts")
        parts = []
        for _ in range(length):
            part, at = self._message(buffer, at, depth + 1)
            if part is INCOMPLETE:
                return INCOMPLETE, at
            parts.append(part)
        return parts, at


def command(words: Any) -> bytes:
    """An array of bulk strings."""
    pieces = [b"*%d\r\n" % len(words)]
    for word in words:
        pieces += (b"$%d\r\n" % len(word), word, b"\r\n")
    return b"".join(pieces)


def value(content: Any) -> bytes:
    """A bulk string: the one copy of a slice, since the transport takes bytes alone."""
    return b"".join((b"$%d\r\n" % len(content), content, b"\r\n"))


def status(text: str) -> bytes:
    """A simple string."""
    return b"+%s\r\n" % text.encode()


def failure(text: str) -> bytes:
    """An error line."""
    return b"-%s\r\n" % " ".join(text.split()).encode()
