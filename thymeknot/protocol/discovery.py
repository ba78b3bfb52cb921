"""The discovery service's protocol: requests, and parsers of endpoint lists and deltas."""

import re
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

import orjson

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import EndpointCondition, UpdateKind
from ..interface.events import Endpoint, EndpointUpdate
from ..polling.adaptive_interval import CallResult
from . import http

PATH: Final = "/v1/servers"
HEARTBEAT_INTERVAL: Final[Ticks] = 2 * TICKS_PER_SECOND
"""Time between two empty lines that discovery sends while nothing changes."""
SILENCE_TIMEOUT: Final[Ticks] = 2 * HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL // 4
"""A watch stream without a heartbeat for this long counts as broken.

A change must be known within 6 s of the moment at which the stream fell silent, which may be just
after its last heartbeat. Two missed heartbeats, and a quarter of one for a late one, leave 1.5 s
for a connection attempt that fails (about 0.25 s), the wait after it (at most 0.8 s), and the next
attempt with its response.
"""
FIRST_DATA_TIMEOUTS: Final[dict[bool, Ticks]] = {
    False: TICKS_PER_SECOND // 2,
    True: 3 * TICKS_PER_SECOND,
}
"""Timeout of a stream's first data, by whether lists are polled.

An agent on the same machine responds at once. A shared service may queue a call for about 2 s
before it responds or refuses; a call given up earlier would have wasted a part of the rate limit.
"""
WEIGHT_RANGE: Final = (1e-6, 1e6)
"""Minimum and maximum weight.

Weights are summed and divided by, so an extreme one would hide all other endpoints.
"""
MAX_UNIX_MILLISECONDS: Final = 10**14
"""Maximum start time, as Unix time in milliseconds."""
MAX_VERSION: Final = 2**63 - 1
ADDRESS: Final = re.compile(r"\S+:([0-9]{1,5})")
MAX_PORT: Final = 65_535
TICKS_PER_MILLISECOND: Final = 10
CONDITIONS: Final = {
    "Ready": EndpointCondition.READY,
    "Terminating": EndpointCondition.DRAINING,
    "Gone": EndpointCondition.GONE,
}

JSON_STRING: Final = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')
"""A string literal in a line of JSON."""
JSON_BRACKET: Final = re.compile(rb"[][{}]")
NON_JSON_CHARACTER: Final = re.compile(rb"[^][{}\s\d:,.+eEtrufalsn-]")
"""A character that JSON does not allow outside of strings."""
CLOSING_BRACKETS: Final = {b"{": b"}", b"[": b"]"}
LIST_KEY: Final = re.compile(rb'"(version|servers)"\s*:')
"""Keys that each list has once, and that no entry has."""
MAX_QUOTED_BYTES: Final = 50
"""Maximum bytes of a line that an error message quotes."""


class UnreadableListError(ValueError):
    """A message of discovery is not a valid list. The text names the faulty key."""


class StaleSnapshotError(UnreadableListError):
    """A valid list that is rejected because it would discard all that is known.

    If such a list is never accepted, the peer is polled with backoff. If it is accepted once it is
    repeated, its content has to be known soon, so the next call follows as after an established
    stream.

    Attributes:
        call_result: How the call counts for the interval of the next one.
    """

    def __init__(self, reason: str, accepted_if_repeated: bool) -> None:
        super().__init__(reason)
        self.call_result = CallResult.ESTABLISHED if accepted_if_repeated else CallResult.REFUSED


class EndpointListing(NamedTuple):
    """A full list or a delta, and the addresses of its endpoints that have one, by endpoint id."""

    version: int
    update: EndpointUpdate
    addresses: dict[str, str]


def watch_request(host: str, version: int) -> bytes:
    """Returns the bytes of the request that watches for changes after a version."""
    return http.request("GET", f"{PATH}?stream=1&index={version}", host)


def fetch_request(host: str) -> bytes:
    """Returns the bytes of the request for the full list."""
    return http.request("GET", PATH, host)


class _EntryReader:
    """Reads and validates the fields of a list entry.

    Its methods raise UnreadableListError, which names the faulty key.
    """

    def __init__(self, value: Any, key: str) -> None:
        if not isinstance(value, dict):
            raise UnreadableListError(f"{key} is not an object")
        self._value = value
        self._key = key

    def read(self, name: str, types: Any, default: Any = None) -> Any:
        """Returns a field, which must have one of these types."""
        value = self._value.get(name, default)
        if not isinstance(value, types) or isinstance(value, bool):
            raise UnreadableListError(f"{self._key}.{name} is missing or has the wrong type")
        return value

    def number(
        self, name: str, types: Any, minimum: float, maximum: float, default: float = 0
    ) -> Any:
        """Returns a number, which must be within these limits."""
        number = self.read(name, types, default)
        if not minimum <= number <= maximum:
            raise UnreadableListError(f"{self._key}.{name} is not between {minimum} and {maximum}")
        return number

    def condition(self) -> EndpointCondition:
        """Returns the endpoint's condition."""
        state = self.read("state", str)
        if state not in CONDITIONS:
            raise UnreadableListError(f"{self._key}.state is unknown: {state!r}")
        return CONDITIONS[state]

    def address(self, condition: EndpointCondition) -> str:
        """Returns where the endpoint listens; empty for one that is gone and has no address."""
        gone = condition == EndpointCondition.GONE
        address: str = self.read("addr", str, "" if gone else None)
        match = ADDRESS.fullmatch(address)
        if not gone and not (match and 0 < int(match[1]) <= MAX_PORT):
            raise UnreadableListError(f"{self._key}.addr is not an address with a port")
        return address


def _entry(value: Any, index: int, epoch: Ticks) -> tuple[Endpoint, str]:
    """Returns an endpoint and the address where it listens."""
    entry = _EntryReader(value, f"servers.{index}")
    condition = entry.condition()
    address = entry.address(condition)
    started = entry.number("started_ms", (int, float), 0, MAX_UNIX_MILLISECONDS)
    endpoint = Endpoint(
        address=entry.read("id", str),
        zone=entry.read("zone", str, ""),
        size=float(entry.number("weight", (int, float), *WEIGHT_RANGE, 1.0)),
        cell=entry.read("cell", int, 0),
        condition=condition,
        started=int(started * TICKS_PER_MILLISECOND) - epoch if started else 0,
        machine=entry.read("kind", str, ""),
        build=entry.number("image_id", int, 0, MAX_VERSION),
    )
    return endpoint, address


def read_list(value: Any, epoch: Ticks, kind: UpdateKind | None = None) -> EndpointListing:
    """Returns the listing in a decoded JSON object.

    Args:
        value: The object.
        epoch: The Unix time at the zero of the monotonic clock.
        kind: The kind of the update; None to read it from the object.

    Raises:
        UnreadableListError: The object is not a valid list.
    """
    if not isinstance(value, dict) or not isinstance(value.get("servers"), list):
        raise UnreadableListError("servers is missing or not a list")
    version = value.get("version")
    full = value.get("full", False)
    if type(version) is not int or not 0 <= version <= MAX_VERSION:
        raise UnreadableListError("version is missing or not an integer from 0 to 2^63 - 1")
    if type(full) is not bool:
        raise UnreadableListError("full is not a boolean")
    entries = [_entry(entry, index, epoch) for index, entry in enumerate(value["servers"])]
    kind = kind or (UpdateKind.FULL if full else UpdateKind.DELTA)
    return EndpointListing(
        version,
        EndpointUpdate(kind, tuple(endpoint for endpoint, _ in entries)),
        {endpoint.address: address for endpoint, address in entries if address},
    )


def merge_deltas(listings: Iterable[EndpointListing]) -> Iterator[EndpointListing]:
    """Merges consecutive deltas into one listing each.

    The work that follows an update is then done once, not for each of hundreds of deltas. An error
    in the input is raised after the listings before it have been yielded.
    """
    batch: list[EndpointListing] = []
    failure: Exception | None = None
    try:
        for listing in listings:
            if batch and not listing.update.kind == batch[-1].update.kind == UpdateKind.DELTA:
                yield _merged(batch)
                batch = []
            batch.append(listing)
    except Exception as error:
        failure = error
    if batch:
        yield _merged(batch)
    if failure:
        raise failure


def _merged(listings: list[EndpointListing]) -> EndpointListing:
    first = listings[0]
    last = listings[-1]
    if first is last:
        return first
    endpoints = tuple(endpoint for listing in listings for endpoint in listing.update.endpoints)
    addresses: dict[str, str] = {}
    for listing in listings:
        addresses.update(listing.addresses)
    return EndpointListing(last.version, EndpointUpdate(first.update.kind, endpoints), addresses)


class ListParser:
    """Incremental parser of a watch's body: JSON objects on one line, or indented over several.

    A line that is complete JSON is parsed directly. Otherwise the brackets outside of strings tell
    whether the object continues, since a JSON string can't span lines. Each line is scanned once,
    and the object is parsed when it is complete. An object that was cut off and is followed by
    another list is an error, as all later data would count as part of it.

    Attributes:
        lines: Splits the body into lines.
        partial: The lines of an incomplete object; None if there is none.
        open_brackets: The closing brackets still to come, the next one last.
        keys: The list keys of the incomplete object so far, to detect a second list.
    """

    def __init__(self) -> None:
        self.lines = http.LineSplitter()
        self.partial: bytearray | None = None
        self.open_brackets = bytearray()
        self.keys: list[bytes] = []

    def feed(self, content: Any) -> Iterator[Any]:
        """Yields the objects that this slice completes, and None for each empty line (heartbeat).

        Raises:
            UnreadableListError: The body is not JSON, or an object is too large or cut off.
            MalformedHttpError: A line is too long.
        """
        for line in self.lines.feed(content):
            if self.partial is not None:
                yield from self._continue_object(line)
            elif not line.strip():
                yield None
            else:
                try:
                    yield orjson.loads(line)
                except orjson.JSONDecodeError as error:
                    if not line.lstrip().startswith(b"{"):
                        raise UnreadableListError(f"invalid JSON: {error}") from None
                    yield from self._continue_object(line)

    def _continue_object(self, line: bytes) -> Iterator[Any]:
        self.partial = bytearray() if self.partial is None else self.partial
        self.partial += line + b"\n"
        if len(self.partial) > http.MAX_LINE_BYTES:
            raise UnreadableListError("list too long")
        self.keys += LIST_KEY.findall(line)
        if len(self.keys) > len(set(self.keys)):
            raise UnreadableListError("a list was cut off and followed by another one")
        outside_strings = JSON_STRING.sub(b"", line)
        if NON_JSON_CHARACTER.search(outside_strings):
            raise UnreadableListError(f"invalid JSON: {bytes(line[:MAX_QUOTED_BYTES])!r}")
        for index, bracket in enumerate(JSON_BRACKET.findall(outside_strings)):
            if bracket in CLOSING_BRACKETS and (self.open_brackets or not index):
                self.open_brackets += CLOSING_BRACKETS[bracket]
            elif self.open_brackets[-1:] == bracket:
                self.open_brackets.pop()
            else:
                raise UnreadableListError(
                    f"invalid JSON: {bytes(line[:MAX_QUOTED_BYTES])!r} has an unmatched bracket"
                )
        if not self.open_brackets:
            text = bytes(self.partial)
            self.partial = None
            self.keys = []
            yield parse(text)


def parse(text: bytes) -> Any:
    """Parses a JSON text.

    Raises:
        UnreadableListError: The text is not JSON.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise UnreadableListError(f"invalid JSON: {error}") from None


def read_json(text: bytes, epoch: Ticks) -> EndpointListing:
    """Returns the listing in a JSON text.

    Raises:
        UnreadableListError: The text is not a valid list.
    """
    return read_list(parse(text), epoch)
