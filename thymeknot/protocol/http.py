"""HTTP/1.1 as a client reads it: an incremental parser of responses and event streams. Pure.

Sources: RFC 9112 (messages and chunks), the HTML standard (server-sent events).
"""

import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

INTERIM: Final = range(100, 200)
"""Status codes of interim responses: the final one is yet to come."""
NO_BODY: Final = (204, 304)
"""Status codes without a body, whatever their heads say of one."""
FIELDS: Final = ("", "event", "data", "id", "retry")
"""Fields of an event; the nameless one is a comment."""
STATUS: Final = re.compile(r"[0-9]{3}")
LENGTH: Final = re.compile(r"[0-9]{1,10}")
CHUNK_SIZE: Final = re.compile(rb"[0-9A-Fa-f]{1,8}[ \t]*")
"""int() would take more than HTTP allows."""
MOST_EVENT: Final = 64 * 1024
"""Bytes of an event."""
MOST_HEAD: Final = 16 * 1024
"""Bytes of a head, of a chunk's size line and of a trailer line."""
MOST_LINE: Final = 4 * 1024 * 1024
"""Bytes of a line of a body: 5,000 endpoints, indented by 4, take 1.45 MB."""
MOST_BODY: Final = 4 * 1024 * 1024
"""Bytes of a body or a chunk."""


class MalformedHttpError(ValueError):
    """What came is not HTTP/1.1, or larger than is taken."""


class Head(NamedTuple):
    """The status line and the headers, by lower-case name."""

    status: int
    headers: dict[str, str]


class Body(NamedTuple):
    """A slice of a body."""

    content: memoryview


class End(NamedTuple):
    """A response is complete; the next one may follow on the connection."""


Part = Head | Body | End
Parsed = tuple[list[Part] | None, int]
"""Parts found (None if more has to come), and where the rest begins."""


def request(method: str, path: str, host: str, form: Mapping[str, Any] | None = None) -> bytes:
    """The bytes of a call; a form goes into its body."""
    body = urlencode(form).encode() if form is not None else b""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if form is not None:
        lines += ["Content-Type: application/x-www-form-urlencoded", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Parser:
    """Responses, one after another: a Head, then Body slices, then an End."""

    def __init__(self) -> None:
        self.rest = b""
        self.left = 0
        self.state: Callable[[bytes, int], Parsed] = self._head

    def feed(self, data: bytes) -> Iterator[Part]:
        """The parts up to and with this chunk. Raises MalformedHttpError after what was sound."""
        buffer = self.rest + data if self.rest else data
        at = 0
        while True:
            found, at = self.state(buffer, at)
            if found is None:
                break
            yield from found
        self.rest = buffer[at:]

    def _line(self, buffer: bytes, at: int, most: int) -> tuple[bytes | None, int]:
        end = buffer.find(b"\r\n", at, at + most)
        if end < 0 and len(buffer) - at >= most:
            raise MalformedHttpError("a line without an end")
        return (None, at) if end < 0 else (buffer[at:end], end + 2)

    def _head(self, buffer: bytes, at: int) -> Parsed:
        end = buffer.find(b"\r\n\r\n", at, at + MOST_HEAD)
        if end < 0:
            if len(buffer) - at >= MOST_HEAD:
                raise MalformedHttpError("a head without an end")
            return None, at
        head = _read_head(buffer[at:end].decode("latin-1"))
        after = end + len(b"\r\n\r\n")
        if head.status in INTERIM:
            return [], after
        self._expect_body(head)
        return [head], after

    def _expect_body(self, head: Head) -> None:
        """Sets what is read next, by what the head says of the body."""
        has_body = head.status not in NO_BODY
        if has_body and head.headers.get("transfer-encoding", "").lower() == "chunked":
            self.state = self._chunk
            return
        length = head.headers.get("content-length") if has_body else "0"
        if length is None:
            self.state = self._until_closed
            return
        if not LENGTH.fullmatch(length) or int(length) > MOST_BODY:
            raise MalformedHttpError("a length that is no number, or too large")
        self.left = int(length)
        self.state = self._sized

    def closed(self) -> list[Part]:
        """What the connection's end tells: an End for a response that has no other one."""
        return [End()] if self.state == self._until_closed else []

    def _until_closed(self, buffer: bytes, at: int) -> Parsed:
        return ([Body(memoryview(buffer)[at:])], len(buffer)) if at < len(buffer) else (None, at)

    def _sized(self, buffer: bytes, at: int) -> Parsed:
        if self.left == 0:
            self.state = self._head
            return [End()], at
        part = memoryview(buffer)[at : at + self.left]
        if not part:
            return None, at
        self.left -= len(part)
        return [Body(part)], at + len(part)

    def _chunk(self, buffer: bytes, at: int) -> Parsed:
        line, after = self._line(buffer, at, MOST_HEAD)
        if line is None:
            return None, at
        size = line.partition(b";")[0]
        if not CHUNK_SIZE.fullmatch(size):
            raise MalformedHttpError("a chunk without a size")
        self.left = int(size, 16)
        if self.left > MOST_BODY:
            raise MalformedHttpError("a chunk that is too large")
        self.state = self._in_chunk if self.left else self._trailer
        return [], after

    def _in_chunk(self, buffer: bytes, at: int) -> Parsed:
        if self.left == 0:
            if len(buffer) - at < 2:
                return None, at
            if buffer[at : at + 2] != b"\r\n":
                raise MalformedHttpError("a chunk longer than it says")
            self.state = self._chunk
            return [], at + 2
        part = memoryview(buffer)[at : at + self.left]
        if not part:
            return None, at
        self.left -= len(part)
        return [Body(part)], at + len(part)

    def _trailer(self, buffer: bytes, at: int) -> Parsed:
        line, after = self._line(buffer, at, MOST_HEAD)
        if line is None:
            return None, at
        if line:
            return [], after
        self.state = self._head
        return [End()], after


def _read_head(text: str) -> Head:
    first, *lines = text.split("\r\n")
    words = first.split(" ", 2)
    if len(words) < 2 or not words[0].startswith("HTTP/1.") or not STATUS.fullmatch(words[1]):
        raise MalformedHttpError("no status line")
    fields = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    return Head(int(words[1]), headers)


class Lines:
    """The lines of a body that comes in slices."""

    def __init__(self, most: int = MOST_LINE) -> None:
        self.rest = bytearray()
        self.most = most

    def feed(self, content: Any) -> list[bytes]:
        """The complete lines up to and with this slice. Raises MalformedHttpError."""
        first, *others = bytes(content).split(b"\n")
        self.rest += first  # in place: a long line comes in many slices
        if len(self.rest) > self.most:
            raise MalformedHttpError("a line that is too long")
        if not others:
            return []
        complete = [bytes(self.rest), *others[:-1]]
        self.rest = bytearray(others[-1])
        if max(len(self.rest), *map(len, complete)) > self.most:
            raise MalformedHttpError("a line that is too long")
        return [line.rstrip(b"\r") for line in complete]


class EventStream:
    """The events of a text/event-stream. A line with only a colon is a heartbeat."""

    DEFAULT_EVENT = "message"

    def __init__(self) -> None:
        self.lines = Lines(MOST_EVENT)
        self._begin()

    def _begin(self) -> None:
        self.event = self.DEFAULT_EVENT
        self.data: list[str] = []
        self.size = 0

    def feed(self, content: Any) -> Iterator[tuple[str, str]]:
        """The complete events, as (event, data). Raises MalformedHttpError."""
        for line in self.lines.feed(content):
            if not line:
                if self.data:
                    yield self.event, "\n".join(self.data)
                self._begin()
                continue
            self.size += len(line) + 1
            if self.size > MOST_EVENT:
                raise MalformedHttpError("an event without an end")
            name, _, text = line.decode("utf-8", "replace").partition(":")
            if name not in FIELDS:
                raise MalformedHttpError("a line that is no field of an event")
            text = text[1:] if text.startswith(" ") else text
            if name == "event":
                self.event = text
            elif name == "data":
                self.data.append(text)
