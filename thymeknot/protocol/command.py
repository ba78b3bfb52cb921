"""A client's command: its words, read and checked. Pure."""

from collections.abc import Iterator, Sequence
from typing import Any, Final, NamedTuple

from . import resp

QUERY: Final = b"SVC.QUERY"
SUBMIT: Final = b"SVC.SUBMIT"
MOST_COMMAND: Final = 2 * resp.MOST_BULK
"""Bytes of all its words: a body, and room for what stands before it."""
FEWEST_WORDS: Final = 4
"""Name, key, id, and the list of names and values."""
MOST_TIME_DIGITS: Final = 9
"""Digits of the time that a client waits, in milliseconds."""


class Command(NamedTuple):
    """A request as a client words it. Its bytes outlive the buffer that they were read into."""

    name: bytes
    key: bytes
    id: bytes
    pairs: tuple[tuple[bytes, bytes], ...]
    """Names and values, in the client's order."""
    body: tuple[bytes, ...]
    """The words after the names and values."""
    request_class: str
    tenant: str | None
    timeout_ms: int
    """Milliseconds that the client waits."""
    is_retry: bool

    def forwarded_words(self, left: int) -> list[bytes]:
        """The command as an endpoint gets it, with the milliseconds that the sidecar will wait."""
        told = [(name, b"%d" % left if name == b"d" else value) for name, value in self.pairs]
        return [
            self.name,
            self.key,
            self.id,
            b",".join(b"%s=%s" % pair for pair in told),
            *self.body,
        ]


class CommandFault(NamedTuple):
    """What is wrong with a command, as a value: its client gets it as an error line."""

    reason: str


def read_command(parts: Sequence[Any]) -> Command | CommandFault:
    """The command of these words, or what is wrong with it."""
    words = [bytes(part) for part in parts]
    if len(words) < FEWEST_WORDS:
        return CommandFault("a command takes a key, an id and a list of names and values")
    name, key, identifier, listed, *body = words
    pairs = tuple(_pair(word) for word in listed.split(b","))
    told = dict(pairs)
    if not identifier:
        return CommandFault("the id is missing")
    if not told.get(b"c"):
        return CommandFault("c, the lane, is missing")
    left = told.get(b"d", b"")
    if not left.isdigit() or len(left) > MOST_TIME_DIGITS or int(left) <= 0:
        return CommandFault("d, the time in milliseconds, is missing or no number")
    try:
        request_class = told[b"c"].decode()
        tenant = told.get(b"t", b"").decode() or None
        key.decode()
        identifier.decode()
    except UnicodeDecodeError:
        return CommandFault("a name is not UTF-8")
    return Command(
        name,
        key,
        identifier,
        pairs,
        tuple(body),
        request_class,
        tenant,
        int(left),
        told.get(b"r") == b"1",
    )


def _pair(word: bytes) -> tuple[bytes, bytes]:
    name, _, value = word.partition(b"=")
    return name, value


class CommandParser(resp.Parser):
    """For commands: no arrays within the array, and a bound on all of it.

    Otherwise a few kilobytes would have the parser go through a million parts again with each
    piece, and many strings that are never complete would fill the memory.
    """

    def feed(self, data: bytes) -> Iterator[Any]:
        """The complete messages up to and with this chunk."""
        yield from super().feed(data)
        if self.held > MOST_COMMAND:
            raise resp.MalformedRespError(f"a command of over {MOST_COMMAND} bytes")

    def _array(self, buffer: bytes, at: int, length: int, depth: int) -> tuple[Any, int]:
        if depth:
            raise resp.MalformedRespError("an array in a command")
        return super()._array(buffer, at, length, depth)
