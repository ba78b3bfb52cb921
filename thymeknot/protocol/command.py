"""Parses and validates client commands. Pure functions without input or output."""

import re
from collections.abc import Iterator, Sequence
from typing import Any, Final, NamedTuple

from . import resp

QUERY: Final = b"SVC.QUERY"
SUBMIT: Final = b"SVC.SUBMIT"
MAX_COMMAND_BYTES: Final = 2 * resp.MAX_BULK_BYTES
"""Maximum size of a whole command: a body of the maximum size, and as much for the other words."""
MIN_WORDS: Final = 4
"""Command name, key, id, and the list of name=value pairs."""
MAX_TIMEOUT_DIGITS: Final = 9
"""Maximum number of digits of a client's timeout in milliseconds."""
MAX_LENGTH_LINE_BYTES: Final = 32
"""Maximum size of a line with a length, in a command that is not kept."""
MAX_CHUNKS: Final = 64
"""Received chunks of a partial command above which they are joined."""
CHUNK_OVERHEAD_BYTES: Final = 64
"""Memory that a chunk takes beside its content."""
_TIMEOUT_FIELD: Final = re.compile(rb",d(?:=[^,]*)?(?=,)")
"""A field with the client's timeout, and the comma before it."""


class Command(NamedTuple):
    """A client's request. Its words are copies, independent of the receive buffer."""

    name: bytes
    key: bytes
    id: bytes
    fields: bytes
    """The list of name=value fields, as the client sent it."""
    body: tuple[bytes, ...]
    """The words after the fields."""
    request_class: str
    tenant: str | None
    timeout_ms: int
    """How long the client will wait, in milliseconds."""
    is_retry: bool
    """Whether the client says that it has sent this request before."""

    def size(self) -> int:
        """Returns the memory in bytes of the command's words and of the texts made from them."""
        texts = len(self.key) + len(self.id) + len(self.tenant or "")
        return 2 * texts + len(self.fields) + sum(map(len, self.body))

    def forwarded_words(self, timeout_ms: int) -> list[bytes]:
        """Returns the command's words for an endpoint, with the timeout that the sidecar grants."""
        timeout_field = b",d=%d" % timeout_ms
        fields = _TIMEOUT_FIELD.sub(timeout_field, b",%b," % self.fields)[1:-1]
        return [self.name, self.key, self.id, fields, *self.body]


class InvalidCommand(NamedTuple):
    """Why a command is invalid; the client receives the reason in an error reply."""

    reason: str


def read_command(parts: Sequence[Any]) -> Command | InvalidCommand:
    """Parses the words of a command; returns the reason where they are invalid."""
    words = [bytes(part) for part in parts]
    if len(words) < MIN_WORDS:
        return InvalidCommand("a command takes a key, an id and a list of names and values")
    name, key, identifier, fields, *body = words
    delimited = b",%b," % fields
    class_name = _last_value(delimited, b"c")
    if not identifier:
        return InvalidCommand("the id is missing")
    if not class_name:
        return InvalidCommand("c, the lane, is missing")
    timeout = _last_value(delimited, b"d")
    if not timeout.isdigit() or len(timeout) > MAX_TIMEOUT_DIGITS or int(timeout) <= 0:
        return InvalidCommand("d, the time in milliseconds, is missing or no number")
    try:
        request_class = class_name.decode()
        tenant = _last_value(delimited, b"t").decode() or None
        key.decode()
        identifier.decode()
    except UnicodeDecodeError:
        return InvalidCommand("a name is not UTF-8")
    return Command(
        name,
        key,
        identifier,
        fields,
        tuple(body),
        request_class,
        tenant,
        int(timeout),
        _last_value(delimited, b"r") == b"1",
    )


def _last_value(delimited_fields: bytes, name: bytes) -> bytes:
    """Returns the value of the last field with this name; empty if there is none.

    Searches the bytes, since tens of thousands of short fields would make as many objects.

    Args:
        delimited_fields: The fields, with a comma before the first and behind the last one.
        name: The name of the field.
    """
    start = delimited_fields.rfind(b",%b=" % name)
    if start < 0 or start < delimited_fields.rfind(b",%b," % name):
        return b""
    value_start = start + len(name) + len(b",=")
    return delimited_fields[value_start : delimited_fields.index(b",", value_start)]


class DiscardedCommand:
    """A command that arrives but is not kept: finds its end.

    Attributes:
        ended: Whether its last byte has arrived.
    """

    def __init__(self) -> None:
        self.ended = False
        self._line = b""  # the beginning of a line whose end has not arrived
        self._size = 0
        self._bytes_to_skip = 0
        self._words_left: int | None = None  # None before the command's first line

    def feed(self, data: bytes) -> int:
        """Reads the command's next bytes; returns how many belong to it.

        Raises:
            MalformedRespError: Not a command, or larger than the maximum.
        """
        at = 0
        while at < len(data) and not self.ended:
            if self._bytes_to_skip:
                skipped = min(self._bytes_to_skip, len(data) - at)
                self._bytes_to_skip -= skipped
                at += skipped
                self.ended = not self._bytes_to_skip and not self._words_left
            else:
                at = self._read_line(data, at)
        self._size += at
        if self._size > MAX_COMMAND_BYTES:
            raise resp.MalformedRespError(f"a command of over {MAX_COMMAND_BYTES} bytes")
        return at

    def _read_line(self, data: bytes, at: int) -> int:
        """Reads up to the end of a line, and that line if its end has arrived."""
        line_end = data.find(b"\n", at) + 1 or len(data)
        self._line += data[at:line_end]
        if len(self._line) > MAX_LENGTH_LINE_BYTES:
            raise resp.MalformedRespError("a line without an end")
        if self._line.endswith(b"\n"):
            line, self._line = self._line, b""
            self._read_length(line[:1], line[1:].strip())
        return line_end

    def _read_length(self, kind: bytes, digits: bytes) -> None:
        if not digits.isdigit():
            raise resp.MalformedRespError("a length that is no number")
        length = int(digits)
        if self._words_left is None and kind == b"*" and length <= resp.MAX_ARRAY_LENGTH:
            self._words_left = length
            self.ended = not length
        elif self._words_left and kind == b"$" and length <= resp.MAX_BULK_BYTES:
            self._words_left -= 1
            self._bytes_to_skip = length + len(b"\r\n")
        else:
            raise resp.MalformedRespError("neither a command nor a string begins here")


DISCARDED: Final = object()
"""Stands for a command that was not kept."""


class CommandParser(resp.Parser):
    """Parser of client commands: rejects nested arrays and commands above the maximum size.

    Without these limits a few kilobytes of nested arrays would make the parser visit a million
    elements again for each chunk received, and incomplete strings would fill the memory.

    Attributes:
        discarded: The command that arrives and is not kept; None if there is none.
    """

    def __init__(self) -> None:
        super().__init__()
        self.discarded: DiscardedCommand | None = None

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yields the messages that this chunk completes; DISCARDED for one that was not kept.

        Raises:
            MalformedRespError: Not RESP2, a nested array, or larger than the maximum.
        """
        if self.discarded is not None:
            discarded_bytes = self.discarded.feed(data)
            if not self.discarded.ended:
                return
            self.discarded = None
            yield DISCARDED
            data = data[discarded_bytes:]
        if not data:
            return
        yield from super().feed(data)
        if self.buffered_bytes > MAX_COMMAND_BYTES:
            raise resp.MalformedRespError(f"a command of over {MAX_COMMAND_BYTES} bytes")
        if len(self.chunks) > MAX_CHUNKS:
            self.chunks = [b"".join(self.chunks)]

    def has_partial_command(self) -> bool:
        """Returns whether a command has arrived in part."""
        return self.discarded is not None or self.buffered_bytes > 0

    def held_bytes(self) -> int:
        """Returns the memory that a partial command takes, in bytes."""
        return self.buffered_bytes + CHUNK_OVERHEAD_BYTES * len(self.chunks)

    def discard_partial_command(self) -> None:
        """Frees what has arrived of a partial command; the rest of it is read and not kept.

        Raises:
            MalformedRespError: What has arrived is not the beginning of a command.
        """
        content = b"".join(self.chunks)
        self.chunks = []
        self.buffered_bytes = self.needed = 0
        self.discarded = DiscardedCommand()
        self.discarded.feed(content)

    def _array(self, buffer: bytes, at: int, length: int, depth: int) -> tuple[Any, int]:
        if depth:
            raise resp.MalformedRespError("an array in a command")
        return super()._array(buffer, at, length, depth)
