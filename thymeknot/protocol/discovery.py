"""Discovery's endpoint lists and changes, translated to events."""

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
HEARTBEAT: Final[Ticks] = 2 * TICKS_PER_SECOND
"""An empty line comes as often while nothing changes."""
SILENCE_TIMEOUT: Final[Ticks] = 2 * HEARTBEAT + HEARTBEAT // 4
"""What a silent watch misses counts as told 6 s after it fell silent, which may be just after its
last word. Two missed heartbeats, and a quarter of one for a late one, leave 1.5 s for a connection
that does not come up (some 0.25 s), the wait after it (0.8 s at most) and the next one with its
response."""
FIRST_DATA_TIMEOUTS: Final[dict[bool, Ticks]] = {
    False: TICKS_PER_SECOND // 2,
    True: 3 * TICKS_PER_SECOND,
}
"""Until the first word, by whether lists are polled. An agent on the same machine answers at once;
a service that all ask may have a call wait for some 2 s before it answers or refuses, and one given
up sooner was paid for in vain."""
WEIGHTS: Final = (1e-6, 1e6)
"""Weights are divided by and added up: one endpoint must not hide all others."""
LATEST: Final = 10**14
"""Unix time in milliseconds."""
MOST_VERSION: Final = 2**63 - 1
ADDRESS: Final = re.compile(r"\S+:([0-9]{1,5})")
MOST_PORT: Final = 65_535
TICKS_PER_MILLISECOND: Final = 10
CONDITIONS: Final = {
    "Ready": EndpointCondition.READY,
    "Terminating": EndpointCondition.DRAINING,
    "Gone": EndpointCondition.GONE,
}

STRINGS: Final = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')
"""The strings of a line of JSON."""
BRACKETS: Final = re.compile(rb"[][{}]")
NO_JSON: Final = re.compile(rb"[^][{}\s\d:,.+eEtrufalsn-]")
"""What stands outside of strings in no JSON."""
CLOSERS: Final = {b"{": b"}", b"[": b"]"}
KEYS: Final = re.compile(rb'"(version|servers)"\s*:')
"""Keys that a list has once each, and no entry has."""
SHOWN: Final = 50
"""Bytes of a line that an error repeats."""


class UnreadableListError(ValueError):
    """Discovery's message is no list. The text names the faulty key."""


class StaleSnapshotError(UnreadableListError):
    """A list that reads well and would take away all that is known.

    Where such a list is never believed, the peer is polled with backoff. Where it is believed when
    it comes again, all that it tells counts as told meanwhile, so the peer is polled as if its
    stream had stood.
    """

    def __init__(self, reason: str, again: bool) -> None:
        super().__init__(reason)
        self.how = CallResult.ESTABLISHED if again else CallResult.REFUSED


class EndpointListing(NamedTuple):
    """A list or its changes, with the addresses of the endpoints that are listed with one."""

    version: int
    update: EndpointUpdate
    addresses: dict[str, str]


def watch_request(host: str, version: int) -> bytes:
    """The call that opens a watch for what changes after a version."""
    return http.request("GET", f"{PATH}?stream=1&index={version}", host)


def fetch_request(host: str) -> bytes:
    """The call for the whole list."""
    return http.request("GET", PATH, host)


class _EntryReader:
    """Reads the fields of an entry. Raises UnreadableListError, which names the faulty key."""

    def __init__(self, value: Any, key: str) -> None:
        if not isinstance(value, dict):
            raise UnreadableListError(f"{key} is no object")
        self._value = value
        self._key = key

    def read(self, name: str, kinds: Any, default: Any = None) -> Any:
        """A field of these types."""
        found = self._value.get(name, default)
        if not isinstance(found, kinds) or isinstance(found, bool):
            raise UnreadableListError(f"{self._key}.{name} is missing or of a wrong type")
        return found

    def number(self, name: str, kinds: Any, least: float, most: float, default: float = 0) -> Any:
        """A number within bounds."""
        found = self.read(name, kinds, default)
        if not least <= found <= most:
            raise UnreadableListError(f"{self._key}.{name} is not from {least} to {most}")
        return found

    def condition(self) -> EndpointCondition:
        """The endpoint's condition."""
        state = self.read("state", str)
        if state not in CONDITIONS:
            raise UnreadableListError(f"{self._key}.state is not known: {state!r}")
        return CONDITIONS[state]

    def address(self, condition: EndpointCondition) -> str:
        """Where the endpoint listens; one that is gone need not say so."""
        gone = condition == EndpointCondition.GONE
        address: str = self.read("addr", str, "" if gone else None)
        found = ADDRESS.fullmatch(address)
        if not gone and not (found and 0 < int(found[1]) <= MOST_PORT):
            raise UnreadableListError(f"{self._key}.addr is no address with a port")
        return address


def _entry(value: Any, at: int, epoch: Ticks) -> tuple[Endpoint, str]:
    """An endpoint and where it listens."""
    entry = _EntryReader(value, f"servers.{at}")
    condition = entry.condition()
    address = entry.address(condition)
    started = entry.number("started_ms", (int, float), 0, LATEST)
    endpoint = Endpoint(
        address=entry.read("id", str),
        zone=entry.read("zone", str, ""),
        size=float(entry.number("weight", (int, float), *WEIGHTS, 1.0)),
        cell=entry.read("cell", int, 0),
        condition=condition,
        started=int(started * TICKS_PER_MILLISECOND) - epoch if started else 0,
        machine=entry.read("kind", str, ""),
        build=entry.number("image_id", int, 0, MOST_VERSION),
    )
    return endpoint, address


def read_list(value: Any, epoch: Ticks, kind: UpdateKind | None = None) -> EndpointListing:
    """The listing of a list's object.

    Args:
        value: the object.
        epoch: Unix time less the monotonic clock.
        kind: what the list is, if it does not say so itself.

    Raises:
        UnreadableListError: it is no list.
    """
    if not isinstance(value, dict) or not isinstance(value.get("servers"), list):
        raise UnreadableListError("servers is missing or no list")
    version = value.get("version")
    full = value.get("full", False)
    if type(version) is not int or not 0 <= version <= MOST_VERSION:
        raise UnreadableListError("version is missing or no whole number from 0 on")
    if type(full) is not bool:
        raise UnreadableListError("full is neither true nor false")
    entries = [_entry(entry, at, epoch) for at, entry in enumerate(value["servers"])]
    kind = kind or (UpdateKind.FULL if full else UpdateKind.DELTA)
    return EndpointListing(
        version,
        EndpointUpdate(kind, tuple(endpoint for endpoint, _ in entries)),
        {endpoint.address: address for endpoint, address in entries if address},
    )


def merge_deltas(listings: Iterable[EndpointListing]) -> Iterator[EndpointListing]:
    """Changes that came together as one.

    What follows from a list is worked out once, not for each of hundreds. What is wrong behind them
    takes none of them back.
    """
    held: list[EndpointListing] = []
    wrong: Exception | None = None
    try:
        for listing in listings:
            if held and not listing.update.kind == held[-1].update.kind == UpdateKind.DELTA:
                yield _one(held)
                held = []
            held.append(listing)
    except Exception as error:
        wrong = error
    if held:
        yield _one(held)
    if wrong:
        raise wrong


def _one(listings: list[EndpointListing]) -> EndpointListing:
    first = listings[0]
    last = listings[-1]
    if first is last:
        return first
    endpoints = tuple(one for listing in listings for one in listing.update.endpoints)
    addresses: dict[str, str] = {}
    for listing in listings:
        addresses.update(listing.addresses)
    return EndpointListing(last.version, EndpointUpdate(first.update.kind, endpoints), addresses)


class ListParser:
    """The lists of a watch's body: a JSON object on a line, or indented, on several.

    A line that is JSON is read once. Of one that is not, the brackets outside of strings tell
    whether the object goes on, since no string of JSON spans lines. Each line is looked at once,
    and the whole object once it is there. One that was cut and goes on with another list is none:
    what follows would count as its part for ever.
    """

    def __init__(self) -> None:
        self.lines = http.Lines()
        self.begun: bytearray | None = None
        """An object that goes on."""
        self.closers = bytearray()
        """The brackets that have to come, the next one last."""
        self.keys: list[bytes] = []

    def feed(self, content: Any) -> Iterator[Any]:
        """The objects that are complete now, and None for each heartbeat, an empty line."""
        for line in self.lines.feed(content):
            if self.begun is not None:
                yield from self._go_on(line)
            elif not line.strip():
                yield None
            else:
                try:
                    yield orjson.loads(line)
                except orjson.JSONDecodeError as error:
                    if not line.lstrip().startswith(b"{"):
                        raise UnreadableListError(f"no JSON: {error}") from None
                    yield from self._go_on(line)

    def _go_on(self, line: bytes) -> Iterator[Any]:
        self.begun = bytearray() if self.begun is None else self.begun
        self.begun += line + b"\n"
        if len(self.begun) > http.MOST_LINE:
            raise UnreadableListError("a list that is too long")
        self.keys += KEYS.findall(line)
        if len(self.keys) > len(set(self.keys)):
            raise UnreadableListError("a list within another, which was cut")
        plain = STRINGS.sub(b"", line)
        if NO_JSON.search(plain):
            raise UnreadableListError(f"no JSON: {bytes(line[:SHOWN])!r}")
        for at, bracket in enumerate(BRACKETS.findall(plain)):
            if bracket in CLOSERS and (self.closers or not at):
                self.closers += CLOSERS[bracket]
            elif self.closers[-1:] == bracket:
                self.closers.pop()
            else:
                raise UnreadableListError(
                    f"no JSON: {bytes(line[:SHOWN])!r} closes what is not open"
                )
        if not self.closers:
            text = bytes(self.begun)
            self.begun = None
            self.keys = []
            yield parse(text)


def parse(text: bytes) -> Any:
    """The value of a JSON text. Raises UnreadableListError."""
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise UnreadableListError(f"no JSON: {error}") from None


def read_json(text: bytes, epoch: Ticks) -> EndpointListing:
    """The listing of a JSON text. Raises UnreadableListError."""
    return read_list(parse(text), epoch)
