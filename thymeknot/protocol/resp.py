"""RESP2: an incremental zero-copy parser, and serializers. No I/O.

Source: the RESP2 specification; the limits are those of the client protocol.
"""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

MAX_BULK_BYTES: Final = 64 * 1024
"""Maximum size of a bulk string in the client protocol."""
MAX_ARRAY_LENGTH: Final = 64
"""Maximum number of elements of an array."""
MAX_ARRAY_DEPTH: Final = 4
"""Maximum nesting of arrays."""
MAX_LINE_BYTES: Final = 4 * 1024
"""Maximum size of a line."""
MAX_DIGITS: Final = 18
"""Maximum digits of a length or an integer; any such number fits into 63 bits."""
STATUS: Final = ord("+")
FAILURE: Final = ord("-")
INTEGER: Final = ord(":")
BULK_STRING: Final = ord("$")
NULL_LENGTH: Final = -1
INCOMPLETE: Final = object()
"""Marks a message that needs more input."""


class MalformedRespError(ValueError):
    """The input is not RESP2, or exceeds a limit.

    The start of the next message is unknown, so parsing can't continue.
    """


class Status(NamedTuple):
    """A simple string, such as +OK."""

    text: str


class Failure(NamedTuple):
    """An error reply."""

    text: str


class Parser:
    """Incremental parser of messages.

    A message is a memoryview for a bulk string, None for a null, an int, a Status, a Failure, or a
    list of these. A memoryview keeps the received chunk that it refers to alive.

    Attributes:
        chunks: Received data that is not parsed yet.
        buffered_bytes: The total size of `chunks`.
        needed: The minimum size that `chunks` must reach before the next message can be complete.
        max_bulk_bytes: The maximum size of a bulk string.
    """

    def __init__(self, max_bulk_bytes: int = MAX_BULK_BYTES) -> None:
        self.chunks: list[bytes] = []
        self.buffered_bytes = 0
        self.needed = 0
        self.max_bulk_bytes = max_bulk_bytes

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yields the messages that this chunk completes.

        Raises:
            MalformedRespError: Invalid input; the valid messages before it have been yielded.
        """
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes < self.needed:  # avoids joining a long value again for each chunk
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
        self.buffered_bytes = len(buffer) - at

    def begins_with(self, kind: bytes) -> bool:
        """Returns whether an incomplete message of this type, given by its first byte, is held."""
        return bool(self.chunks) and self.chunks[0][:1] == kind

    def elements_before_error(self) -> tuple[int, list[Any]]:
        """Returns the declared length of a malformed array, and the elements before its error.

        The length is 0 if the malformed message is not an array.
        """
        buffer = b"".join(self.chunks)
        elements: list[Any] = []
        if buffer[:1] != b"*":
            return 0, elements
        length = 0
        try:
            line, at = self._line(buffer, 0)
            length = self._number(line or b"")
            for _ in range(min(length, MAX_ARRAY_LENGTH)):
                element, at = self._message(buffer, at, 1)
                if element is INCOMPLETE:
                    break
                elements.append(element)
        except MalformedRespError:
            pass
        return length, elements

    def _line(self, buffer: bytes, at: int) -> tuple[bytes | None, int]:
        line_end = buffer.find(b"\r\n", at, at + MAX_LINE_BYTES)
        if line_end < 0:
            if len(buffer) - at >= MAX_LINE_BYTES:
                raise MalformedRespError("a line without an end")
            return None, len(buffer) + 1
        return buffer[at + 1 : line_end], line_end + 2

    def _message(self, buffer: bytes, at: int, depth: int) -> tuple[Any, int]:
        """Returns the message at an offset and its end, or INCOMPLETE and its minimum end."""
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
        return self._numbered(buffer, end, kind, self._number(line), depth)

    def _numbered(
        self, buffer: bytes, end: int, kind: int, number: int, depth: int
    ) -> tuple[Any, int]:
        """Returns a message that starts with a number: integer, null, bulk string or array."""
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
        if not digits.isdigit() or len(digits) > MAX_DIGITS:
            raise MalformedRespError("a length that is no number")
        return int(line)

    def _bulk(self, buffer: bytes, at: int, length: int) -> tuple[Any, int]:
        if length > self.max_bulk_bytes:
            raise MalformedRespError(f"a value of {length} bytes, over {self.max_bulk_bytes}")
        end = at + length + 2
        if len(buffer) < end:
            return INCOMPLETE, end
        if buffer[end - 2 : end] != b"\r\n":
            raise MalformedRespError("a value longer than it says")
        return memoryview(buffer)[at : end - 2], end

    def _array(self, buffer: bytes, at: int, length: int, depth: int) -> tuple[Any, int]:
        if length > MAX_ARRAY_LENGTH or depth >= MAX_ARRAY_DEPTH:
            raise MalformedRespError("an array of too many parts")
        elements = []
        for _ in range(length):
            element, at = self._message(buffer, at, depth + 1)
            if element is INCOMPLETE:
                return INCOMPLETE, at
            elements.append(element)
        return elements, at


def command(words: Any) -> bytes:
    """Serializes a command: an array of bulk strings."""
    pieces = [b"*%d\r\n" % len(words)]
    for word in words:
        pieces += (b"$%d\r\n" % len(word), word, b"\r\n")
    return b"".join(pieces)


def value(content: Any) -> bytes:
    """Serializes a bulk string; copies the content once, since the transport only takes bytes."""
    return b"".join((b"$%d\r\n" % len(content), content, b"\r\n"))


def status(text: str) -> bytes:
    """Serializes a simple string."""
    return b"+%s\r\n" % text.encode()


def failure(text: str) -> bytes:
    """Serializes an error; line breaks in its text become spaces."""
    return b"-%s\r\n" % " ".join(text.split()).encode()
