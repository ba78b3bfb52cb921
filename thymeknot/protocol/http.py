"""HTTP/1.1 as a client reads it: an incremental parser of answers with chunks and event streams. Pure."""

import re
from typing import NamedTuple
from urllib.parse import urlencode

INTERIM = range(100, 200)  # the answer itself is yet to come
NO_BODY = (204, 304)  # whatever their heads say of one
FIELDS = ("", "event", "data", "id", "retry")  # of an event; the nameless one is a comment
MOST_EVENT = 64 * 1024
STATUS, LENGTH = re.compile(r"[0-9]{3}"), re.compile(r"[0-9]{1,10}")
SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}[ \t]*")  # of a chunk; int() would take more than HTTP has
MOST_HEAD, MOST_LINE, MOST_BODY = (
    16 * 1024,
    4 * 1024 * 1024,
    4 * 1024 * 1024,
)  # 5,000 pods, indented by 4: 1.45 MB


class MalformedHttpError(ValueError):
    """What came is not HTTP/1.1, or larger than is taken."""


class Head(NamedTuple):
    status: int
    headers: dict


class Body(NamedTuple):
    content: memoryview


class End(NamedTuple):
    """An answer is whole; the next one may follow on the connection."""


def request(method, path, host, form=None):
    """The bytes of a call; a form goes into its body."""
    body = urlencode(form).encode() if form is not None else b""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if form is not None:
        lines += ["Content-Type: application/x-www-form-urlencoded", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Parser:
    """Answers, one after another: a Head, then Body slices, then an End."""

    def __init__(self):
        self.rest, self.state, self.left = b"", self._head, 0

    def feed(self, data):
        buffer, at = self.rest + data if self.rest else data, 0
        while True:
            found, at = self.state(buffer, at)
            if found is None:
                break
            yield from found
        self.rest = buffer[at:]

    def _line(self, buffer, at, most):
        end = buffer.find(b"\r\n", at, at + most)
        if end < 0 and len(buffer) - at >= most:
            raise MalformedHttpError("a line without an end")
        return (None, at) if end < 0 else (buffer[at:end], end + 2)

    def _head(self, buffer, at):
        end = buffer.find(b"\r\n\r\n", at, at + MOST_HEAD)
        if end < 0:
            if len(buffer) - at >= MOST_HEAD:
                raise MalformedHttpError("a head without an end")
            return None, at
        first, *lines = buffer[at:end].decode("latin-1").split("\r\n")
        words = first.split(" ", 2)
        if len(words) < 2 or not words[0].startswith("HTTP/1.") or not STATUS.fullmatch(words[1]):
            raise MalformedHttpError("no status line")
        headers = {
            name.strip().lower(): text.strip()
            for name, _, text in (line.partition(":") for line in lines)
        }
        status, after = int(words[1]), end + 4
        if status in INTERIM:
            return [], after
        head = Head(status, headers)
        if status not in NO_BODY and headers.get("transfer-encoding", "").lower() == "chunked":
            self.state = self._chunk
            return [head], after
        length = "0" if status in NO_BODY else headers.get("content-length")
        if length is None:
            self.state = self._until_closed
            return [head], after
        if not LENGTH.fullmatch(length) or int(length) > MOST_BODY:
            raise MalformedHttpError("a length that is no number, or too large")
        self.left, self.state = int(length), self._sized
        return [head], after

    def closed(self):
        """What the end of the connection tells: an End for an answer that has no other one."""
        return [End()] if self.state == self._until_closed else []

    def _until_closed(self, buffer, at):
        return ([Body(memoryview(buffer)[at:])], len(buffer)) if at < len(buffer) else (None, at)

    def _sized(self, buffer, at):
        if self.left == 0:
            self.state = self._head
            return [End()], at
        part = memoryview(buffer)[at : at + self.left]
        if not part:
            return None, at
        self.left -= len(part)
        return [Body(part)], at + len(part)

    def _chunk(self, buffer, at):
        line, after = self._line(buffer, at, MOST_HEAD)
        if line is None:
            return None, at
        size = line.partition(b";")[0]
        if not SIZE.fullmatch(size):
            raise MalformedHttpError("a chunk without a size")
        self.left = int(size, 16)
        if self.left > MOST_BODY:
            raise MalformedHttpError("a chunk that is too large")
        self.state = self._in_chunk if self.left else self._trailer
        return [], after

    def _in_chunk(self, buffer, at):
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

    def _trailer(self, buffer, at):
        line, after = self._line(buffer, at, MOST_HEAD)
        if line is None:
            return None, at
        if line:
            return [], after
        self.state = self._head
        return [End()], after


class Lines:
    """The lines of a body that comes in slices."""

    def __init__(self, most=MOST_LINE):
        self.rest, self.most = bytearray(), most

    def feed(self, content):
        first, *others = bytes(content).split(b"\n")
        self.rest += first  # in place: a long line comes in many slices
        if len(self.rest) > self.most:
            raise MalformedHttpError("a line that is too long")
        if not others:
            return []
        whole, self.rest = [bytes(self.rest), *others[:-1]], bytearray(others[-1])
        if max(len(self.rest), *map(len, whole)) > self.most:
            raise MalformedHttpError("a line that is too long")
        return [line.rstrip(b"\r") for line in whole]


class EventStream:
    """The events of a text/event-stream: (event, data) pairs. A line with only a colon is a sign of life."""

    def __init__(self):
        self.lines, self.event, self.data, self.size = Lines(MOST_EVENT), "message", [], 0

    def feed(self, content):
        for line in self.lines.feed(content):
            if not line:
                if self.data:
                    yield self.event, "\n".join(self.data)
                self.event, self.data, self.size = "message", [], 0
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
