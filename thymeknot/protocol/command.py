"""Parses and validates client commands. Pure functions without input or output."""

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


class Command(NamedTuple):
    """A client's request. Its fields are copies, independent of the receive buffer."""

    name: bytes
    key: bytes
    id: bytes
    pairs: tuple[tuple[bytes, bytes], ...]
    """The name=value pairs, in the client's order."""
    body: tuple[bytes, ...]
    """The words after the name=value pairs."""
    request_class: str
    tenant: str | None
    timeout_ms: int
    """How long the client will wait, in milliseconds."""
    is_retry: bool
    """Whether the client says that it has sent this request before."""

    def size(self) -> int:
        """Returns the size of the command's words in bytes."""
        pair_bytes = sum(len(name) + len(value) for name, value in self.pairs)
        return len(self.key) + len(self.id) + pair_bytes + sum(map(len, self.body))

    def forwarded_words(self, timeout_ms: int) -> list[bytes]:
        """Returns the command's words for an endpoint, with the timeout that the sidecar grants."""
        forwarded = [
            (name, b"%d" % timeout_ms if name == b"d" else value) for name, value in self.pairs
        ]
        return [
            self.name,
            self.key,
            self.id,
            b",".join(b"%s=%s" % pair for pair in forwarded),
            *self.body,
        ]


class InvalidCommand(NamedTuple):
    """Why a command is invalid; the client receives the reason in an error reply."""

    reason: str


def read_command(parts: Sequence[Any]) -> Command | InvalidCommand:
    """Parses the words of a command; returns the reason where they are invalid."""
    words = [bytes(part) for part in parts]
    if len(words) < MIN_WORDS:
        return InvalidCommand("a command takes a key, an id and a list of names and values")
    name, key, identifier, pairs_word, *body = words
    pairs = tuple(_pair(word) for word in pairs_word.split(b","))
    values = dict(pairs)
    if not identifier:
        return InvalidCommand("the id is missing")
    if not values.get(b"c"):
        return InvalidCommand("c, the lane, is missing")
    timeout = values.get(b"d", b"")
    if not timeout.isdigit() or len(timeout) > MAX_TIMEOUT_DIGITS or int(timeout) <= 0:
        return InvalidCommand("d, the time in milliseconds, is missing or no number")
    try:
        request_class = values[b"c"].decode()
        tenant = values.get(b"t", b"").decode() or None
        key.decode()
        identifier.decode()
    except UnicodeDecodeError:
        return InvalidCommand("a name is not UTF-8")
    return Command(
        name,
        key,
        identifier,
        pairs,
        tuple(body),
        request_class,
        tenant,
        int(timeout),
        values.get(b"r") == b"1",
    )


def _pair(word: bytes) -> tuple[bytes, bytes]:
    name, _, value = word.partition(b"=")
    return name, value


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
