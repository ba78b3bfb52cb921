"""RESP2: an incremental parser that hands out slices of what was read, and writers. Pure."""

from typing import NamedTuple

MOST_BULK = 64 * 1024  # a value holds no more, by the protocol
MOST_PARTS, MOST_DEPTH = 64, 4
MOST_LINE = 4 * 1024
INCOMPLETE = object()


class MalformedRespError(ValueError):
    """Not RESP2, or larger than the protocol allows: where the next message begins is unknown."""


class Status(NamedTuple):
    text: str


class Failure(NamedTuple):
    text: str


class Parser:
    """Takes what was read and gives whole messages: a memoryview for a bulk string, None for a null, an int,
    a Status, a Failure, or a list of these. Each slice keeps the chunk that it lies in."""

    def __init__(self, most=MOST_BULK):
        self.chunks, self.held, self.needed, self.most = [], 0, 0, most

    def feed(self, data):
        """The whole messages up to and with this chunk. A generator: Malformed comes after what was sound."""
        self.chunks.append(data)
        self.held += len(data)
        if self.held < self.needed:  # a long value is not joined again with each piece of it
            return
        buffer, at = data if len(self.chunks) == 1 else b"".join(self.chunks), 0
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

    def begins_with(self, kind):
        """Whether a message of this kind has come in part."""
        return bool(self.chunks) and self.chunks[0][:1] == kind

    def first_part(self):
        """The first string of an array that is wrong behind it; none where it is not whole."""
        buffer = b"".join(self.chunks)
        if buffer[:1] == b"*":
            try:
                part, _ = self._message(buffer, self._line(buffer, 0)[1], 1)
            except MalformedRespError:
                return
            if isinstance(part, memoryview):
                yield part

    def _line(self, buffer, at):
        found = buffer.find(b"\r\n", at, at + MOST_LINE)
        if found < 0:
            if len(buffer) - at >= MOST_LINE:
                raise MalformedRespError("a line without an end")
            return None, len(buffer) + 1
        return buffer[at + 1 : found], found + 2

    def _message(self, buffer, at, depth):
        """The message that begins here and where it ends; or INCOMPLETE and how far it goes at least."""
        if at >= len(buffer):
            return INCOMPLETE, at + 1
        kind = buffer[at]
        if kind not in b"*$+-:":
            raise MalformedRespError("neither an array nor a string begins here")
        line, end = self._line(buffer, at)
        if line is None:
            return INCOMPLETE, end
        if kind == 0x2B:
            return Status(line.decode("utf-8", "replace")), end
        if kind == 0x2D:
            return Failure(line.decode("utf-8", "replace")), end
        number = self._number(line)
        if kind == 0x3A:
            return number, end
        if number == -1:
            return None, end
        if number < 0:
            raise MalformedRespError("a negative length")
        if kind == 0x24:
            return self._bulk(buffer, end, number)
        return self._array(buffer, end, number, depth)

    def _number(self, line):
        digits = line[1:] if line[:1] == b"-" else line
        if not digits.isdigit() or len(digits) > 18:
            raise MalformedRespError("a length that is no number")
        return int(line)

    def _bulk(self, buffer, at, length):
        if length > self.most:
            raise MalformedRespError(f"a value of {length} bytes, over {self.most}")
        end = at + length + 2
        if len(buffer) < end:
            return INCOMPLETE, end
        if buffer[end - 2 : end] != b"\r\n":
            raise MalformedRespError("a value longer than it says")
        return memoryview(buffer)[at : end - 2], end

    def _array(self, buffer, at, length, depth):
        if length > MOST_PARTS or depth >= MOST_DEPTH:
            raise MalformedRespError("an array of too many parts")
        parts = []
        for _ in range(length):
            part, at = self._message(buffer, at, depth + 1)
            if part is INCOMPLETE:
                return INCOMPLETE, at
            parts.append(part)
        return parts, at


def command(words):
    pieces = [b"*%d\r\n" % len(words)]
    for word in words:
        pieces += (b"$%d\r\n" % len(word), word, b"\r\n")
    return b"".join(pieces)


def value(content):
    """A value. The transport takes bytes alone: this is the one copy of a slice, made to outlive it."""
    return b"".join((b"$%d\r\n" % len(content), content, b"\r\n"))


def status(text):
    return b"+%s\r\n" % text.encode()


def failure(text):
    return b"-%s\r\n" % " ".join(text.split()).encode()
