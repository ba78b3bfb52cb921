"""Client side of HTTP/1.1: incremental parsers of responses and of event streams, without I/O.

Sources: RFC 9112 (messages and chunked coding), the HTML standard (server-sent events).
"""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

INTERIM_STATUSES: Final = range(100, 200)
"""Status codes of interim responses, which precede the final one."""
BODILESS_STATUSES: Final = (204, 304)
"""Status codes of responses without a body, whatever their headers say."""
EVENT_FIELDS: Final = ("", "event", "data", "id", "retry")
"""Field names of an event; the empty name marks a comment."""
STATUS_CODE: Final = re.compile(r"[0-9]{3}")
CONTENT_LENGTH: Final = re.compile(r"[0-9]{1,10}")
CHUNK_SIZE: Final = re.compile(rb"[0-9A-Fa-f]{1,8}[ \t]*")
"""Checked before int(), which accepts more than HTTP allows (signs, underscores, 0x)."""
MAX_EVENT_BYTES: Final = 64 * 1024
"""Maximum size of a server-sent event."""
MAX_HEAD_BYTES: Final = 16 * 1024
"""Maximum size of a response head, of a chunk size line and of a trailer line."""
MAX_LINE_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of a line of a body: a list of 5,000 endpoints, indented by 4, takes 1.45 MB."""
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of a body with a length, or of a chunk."""


class MalformedHttpError(ValueError):
    """The input is not valid HTTP/1.1, or exceeds a size limit."""


class Head(NamedTuple):
    """The status code, and the headers by lower-case name."""

    status: int
    headers: dict[str, str]


class Body(NamedTuple):
    """A slice of a response body."""

    content: memoryview


class End(NamedTuple):
    """The end of a response; another one may follow on the connection."""


Part = Head | Body | End
Parsed = tuple[list[Part] | None, int]
"""The parts found (None if more input is needed), and the offset of the unparsed rest."""


def request(method: str, path: str, host: str, form: Mapping[str, Any] | None = None) -> bytes:
    """Returns the bytes of a request; a form is URL-encoded into its body."""
    body = urlencode(form).encode() if form is not None else b""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if form is not None:
        lines += ["Content-Type: application/x-www-form-urlencoded", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Parser:
    """Incremental parser of consecutive responses: for each a Head, Body slices and an End.

    Attributes:
        rest: Received bytes that are not parsed yet.
        remaining: Bytes of the current body or chunk that are still to come.
        state: The method that parses the next part.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.remaining = 0
        self.state: Callable[[bytes, int], Parsed] = self._head

    def feed(self, data: bytes) -> Iterator[Part]:
        """Yields the parts that this data completes.

        Raises:
            MalformedHttpError: Invalid input; the valid parts before it have been yielded.
        """
        buffer = self.rest + data if self.rest else data
        at = 0
        while True:
            parts, at = self.state(buffer, at)
            if parts is None:
                break
            yield from parts
        self.rest = buffer[at:]

    def _line(self, buffer: bytes, at: int, max_bytes: int) -> tuple[bytes | None, int]:
        end = buffer.find(b"\r\n", at, at + max_bytes)
        if end < 0 and len(buffer) - at >= max_bytes:
            raise MalformedHttpError("line exceeds the size limit")
        return (None, at) if end < 0 else (buffer[at:end], end + 2)

    def _head(self, buffer: bytes, at: int) -> Parsed:
        end = buffer.find(b"\r\n\r\n", at, at + MAX_HEAD_BYTES)
        if end < 0:
            if len(buffer) - at >= MAX_HEAD_BYTES:
                raise MalformedHttpError("response head exceeds the size limit")
            return None, at
        head = _read_head(buffer[at:end].decode("latin-1"))
        after = end + len(b"\r\n\r\n")
        if head.status in INTERIM_STATUSES:
            return [], after
        self._expect_body(head)
        return [head], after

    def _expect_body(self, head: Head) -> None:
        """Selects the next state by how the head delimits the body."""
        has_body = head.status not in BODILESS_STATUSES
        if has_body and head.headers.get("transfer-encoding", "").lower() == "chunked":
            self.state = self._chunk
            return
        length = head.headers.get("content-length") if has_body else "0"
        if length is None:
            self.state = self._until_closed
            return
        if not CONTENT_LENGTH.fullmatch(length) or int(length) > MAX_BODY_BYTES:
            raise MalformedHttpError("Content-Length is not a number or is too large")
        self.remaining = int(length)
        self.state = self._sized

    def end_of_stream(self) -> list[Part]:
        """Returns the End of a response that only the close of the connection delimits, if any."""
        return [End()] if self.state == self._until_closed else []

    def _until_closed(self, buffer: bytes, at: int) -> Parsed:
        return ([Body(memoryview(buffer)[at:])], len(buffer)) if at < len(buffer) else (None, at)

    def _sized(self, buffer: bytes, at: int) -> Parsed:
        if self.remaining == 0:
            self.state = self._head
            return [End()], at
        part = memoryview(buffer)[at : at + self.remaining]
        if not part:
            return None, at
        self.remaining -= len(part)
        return [Body(part)], at + len(part)

    def _chunk(self, buffer: bytes, at: int) -> Parsed:
        line, after = self._line(buffer, at, MAX_HEAD_BYTES)
        if line is None:
            return None, at
        size = line.partition(b";")[0]
        if not CHUNK_SIZE.fullmatch(size):
            raise MalformedHttpError("invalid chunk size")
        self.remaining = int(size, 16)
        if self.remaining > MAX_BODY_BYTES:
            raise MalformedHttpError("chunk too large")
        self.state = self._in_chunk if self.remaining else self._trailer
        return [], after

    def _in_chunk(self, buffer: bytes, at: int) -> Parsed:
        if self.remaining == 0:
            if len(buffer) - at < 2:
                return None, at
            if buffer[at : at + 2] != b"\r\n":
                raise MalformedHttpError("chunk data not terminated by CRLF")
            self.state = self._chunk
            return [], at + 2
        part = memoryview(buffer)[at : at + self.remaining]
        if not part:
            return None, at
        self.remaining -= len(part)
        return [Body(part)], at + len(part)

    def _trailer(self, buffer: bytes, at: int) -> Parsed:
        line, after = self._line(buffer, at, MAX_HEAD_BYTES)
        if line is None:
            return None, at
        if line:
            return [], after
        self.state = self._head
        return [End()], after


def joined_bodies(parts: Iterable[Part]) -> Iterator[Part]:
    """Joins consecutive body slices, so that the borders of chunks mean nothing to the reader.

    An error in the input is raised after the parts before it have been yielded.
    """
    slices: list[memoryview] = []
    failure: Exception | None = None
    try:
        for part in parts:
            if isinstance(part, Body):
                slices.append(part.content)
                continue
            if slices:
                yield Body(_joined(slices))
                slices = []
            yield part
    except MalformedHttpError as error:
        failure = error
    if slices:
        yield Body(_joined(slices))
    if failure:
        raise failure


def _joined(slices: list[memoryview]) -> memoryview:
    return slices[0] if len(slices) == 1 else memoryview(b"".join(slices))


def _read_head(text: str) -> Head:
    first, *lines = text.split("\r\n")
    words = first.split(" ", 2)
    if len(words) < 2 or not words[0].startswith("HTTP/1.") or not STATUS_CODE.fullmatch(words[1]):
        raise MalformedHttpError("not an HTTP/1.x status line")
    fields = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    return Head(int(words[1]), headers)


class LineSplitter:
    """Splits a body that arrives in slices into lines.

    Attributes:
        rest: The incomplete last line.
        max_bytes: The maximum size of a line.
    """

    def __init__(self, max_bytes: int = MAX_LINE_BYTES) -> None:
        self.rest = bytearray()
        self.max_bytes = max_bytes

    def feed(self, content: Any) -> list[bytes]:
        """Returns the lines that this slice completes.

        Raises:
            MalformedHttpError: A line exceeds the maximum size.
        """
        first, *others = bytes(content).split(b"\n")
        self.rest += first  # in place, since a long line arrives in many slices
        if len(self.rest) > self.max_bytes:
            raise MalformedHttpError("line too long")
        if not others:
            return []
        complete = [bytes(self.rest), *others[:-1]]
        self.rest = bytearray(others[-1])
        if max(len(self.rest), *map(len, complete)) > self.max_bytes:
            raise MalformedHttpError("line too long")
        return [line.rstrip(b"\r") for line in complete]


class EventStream:
    """Incremental parser of a text/event-stream.

    A line that holds only a colon is a comment, which the platform sends as a heartbeat.

    Attributes:
        event: The type of the event that is being read.
        data: The data lines of that event.
        size: The bytes of that event so far.
    """

    DEFAULT_EVENT_TYPE = "message"

    def __init__(self) -> None:
        self.lines = LineSplitter(MAX_EVENT_BYTES)
        self._reset_event()

    def _reset_event(self) -> None:
        self.event = self.DEFAULT_EVENT_TYPE
        self.data: list[str] = []
        self.size = 0

    def feed(self, content: Any) -> Iterator[tuple[str, str]]:
        """Yields the events that this slice completes, as (type, data).

        Raises:
            MalformedHttpError: An event is too large, or a line is not a field of an event.
        """
        for line in self.lines.feed(content):
            if not line:
                if self.data:
                    yield self.event, "\n".join(self.data)
                self._reset_event()
                continue
            self.size += len(line) + 1
            if self.size > MAX_EVENT_BYTES:
                raise MalformedHttpError("event exceeds the size limit")
            name, _, text = line.decode("utf-8", "replace").partition(":")
            if name not in EVENT_FIELDS:
                raise MalformedHttpError("unknown field in an event")
            text = text[1:] if text.startswith(" ") else text
            if name == "event":
                self.event = text
            elif name == "data":
                self.data.append(text)
