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


class CommandParser(resp.Parser):
    """Parser of client commands: rejects nested arrays and commands above the maximum size.

    Without these limits a few kilobytes of nested arrays would make the parser visit a million
    elements again for each chunk received, and incomplete strings would fill the memory.
    """

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yields the messages that this chunk completes.

        Raises:
            MalformedRespError: Not RESP2, a nested array, or larger than the maximum.
        """
        yield from super().feed(data)
        if self.buffered_bytes > MAX_COMMAND_BYTES:
            raise resp.MalformedRespError(f"a command of over {MAX_COMMAND_BYTES} bytes")

    def _array(self, buffer: bytes, at: int, length: int, depth: int) -> tuple[Any, int]:
        if depth:
            raise resp.MalformedRespError("an array in a command")
        return super()._array(buffer, at, length, depth)
