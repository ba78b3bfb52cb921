"""Discovery's lists and changes, its words to ours."""

import re
from typing import NamedTuple

import orjson

from ..interface.enums import EndpointCondition, UpdateKind
from ..interface.events import Endpoint, EndpointUpdate
from ..polling.adaptive_interval import CallResult
from . import http

PATH = "/v1/servers"
SIGN_OF_LIFE = 20_000  # tenths of a millisecond: an empty line comes as often while nothing changes
# What a silent watch misses counts as told 6 s after it fell silent, which may be just after its last word. Two missed
# signs, and a quarter of one for a sign that comes late, leave 1.5 s for a dial that does not come up (some 0.25 s),
# the wait after it (0.8 s at most) and the next dial and its answer.
SILENCE = 2 * SIGN_OF_LIFE + SIGN_OF_LIFE // 4
# Until the first word, by whether lists are asked for: an agent on the same machine answers at once; a service that all
# ask may have a call wait for some 2 s before it answers or refuses, and one given up sooner was paid for in vain.
FIRST_WORD = {False: 5_000, True: 30_000}
# Weights are divided by and added up: one pod must not hide all others. Times are Unix time in milliseconds.
WEIGHTS, LATEST, MOST_VERSION = (1e-6, 1e6), 10**14, 2**63 - 1
ADDRESS, MOST_PORT = re.compile(r"\S+:([0-9]{1,5})"), 65_535
CONDITIONS = {
    "Ready": EndpointCondition.READY,
    "Terminating": EndpointCondition.DRAINING,
    "Gone": EndpointCondition.GONE,
}

# Of a line of JSON: its strings; what stands outside of them in no JSON; what opens and closes.
STRINGS, BRACKETS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"'), re.compile(rb"[][{}]")
NO_JSON = re.compile(rb"[^][{}\s\d:,.+eEtrufalsn-]")
CLOSERS = {b"{": b"}", b"[": b"]"}
KEYS = re.compile(rb'"(version|servers)"\s*:')  # that a list has once each, and no entry has


class UnreadableListError(ValueError):
    """What came is no list. The text names the faulty key."""


class StaleSnapshotError(UnreadableListError):
    """A list that reads well and would take all that is known. Where it is never believed, the peer is asked again less
    and less often. Where it is if it comes again, all that it tells counts as told meanwhile: the peer is asked as if
    its stream had stood."""

    def __init__(self, reason, again):
        super().__init__(reason)
        self.how = CallResult.ESTABLISHED if again else CallResult.REFUSED


class EndpointListing(NamedTuple):
    version: int
    update: EndpointUpdate
    addresses: dict  # of the pods that are listed with one


def watch(host, version):
    return http.request("GET", f"{PATH}?stream=1&index={version}", host)


def fetch(host):
    return http.request("GET", PATH, host)


def _entry(value, at, epoch):
    key = f"servers.{at}"
    if not isinstance(value, dict):
        raise UnreadableListError(f"{key} is no object")

    def read(name, kinds, default=None):
        found = value.get(name, default)
        if not isinstance(found, kinds) or isinstance(found, bool):
            raise UnreadableListError(f"{key}.{name} is missing or of a wrong type")
        return found

    if read("state", str) not in CONDITIONS:
        raise UnreadableListError(f"{key}.state is not known: {value['state']!r}")
    condition = CONDITIONS[value["state"]]
    address = read("addr", str, "" if condition == EndpointCondition.GONE else None)
    found = ADDRESS.fullmatch(address)
    if condition != EndpointCondition.GONE and not (found and 0 < int(found[1]) <= MOST_PORT):
        raise UnreadableListError(f"{key}.addr is no address with a port")

    def number(name, kinds, least, most, default=0):
        found = read(name, kinds, default)
        if not least <= found <= most:
            raise UnreadableListError(f"{key}.{name} is not from {least} to {most}")
        return found

    started = number("started_ms", (int, float), 0, LATEST)
    pod = Endpoint(
        read("id", str),
        read("zone", str, ""),
        float(number("weight", (int, float), *WEIGHTS, 1.0)),
        read("cell", int, 0),
        condition,
        int(started * 10) - epoch if started else 0,
        read("kind", str, ""),
        number("image_id", int, 0, MOST_VERSION),
    )
    return pod, address


def read_list(value, epoch, kind=None):
    """A Listing of a list's object. epoch: Unix time less the sidecar's clock, in tenths of a millisecond."""
    if not isinstance(value, dict) or not isinstance(value.get("servers"), list):
        raise UnreadableListError("servers is missing or no list")
    version, whole = value.get("version"), value.get("full", False)
    if type(version) is not int or not 0 <= version <= MOST_VERSION:
        raise UnreadableListError("version is missing or no whole number from 0 on")
    if type(whole) is not bool:
        raise UnreadableListError("full is neither true nor false")
    entries = [_entry(entry, at, epoch) for at, entry in enumerate(value["servers"])]
    kind = kind or (UpdateKind.FULL if whole else UpdateKind.DELTA)
    return EndpointListing(
        version,
        EndpointUpdate(kind, tuple(pod for pod, _ in entries)),
        {pod.address: address for pod, address in entries if address},
    )


def folded(listings):
    """Changes that came together as one: what follows from a list is worked out once, not for each of hundreds. What is
    wrong behind them takes none of them back."""
    held, wrong = [], None
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


def _one(listings):
    first, last = listings[0], listings[-1]
    if first is last:
        return first
    pods = tuple(pod for listing in listings for pod in listing.update.endpoints)
    return EndpointListing(
        last.version,
        EndpointUpdate(first.update.kind, pods),
        {pod: address for listing in listings for pod, address in listing.addresses.items()},
    )


class Lists:
    """The lists of a watch's body, which comes in slices: one JSON object on a line, or indented, on several.

    A line that is JSON costs one reading. Of one that is not, the brackets outside of strings tell whether the object
    goes on: no string of JSON spans lines. Each line is looked at once, and the whole once it is there. One that was
    cut and goes on with another list is none: what follows would count as its part for ever."""

    def __init__(self):
        self.lines, self.begun, self.closers, self.keys = http.Lines(), None, bytearray(), []

    def feed(self, content):
        """The objects that are whole now, and None for each sign of life, an empty line between them."""
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

    def _go_on(self, line):
        self.begun = bytearray() if self.begun is None else self.begun
        self.begun += line + b"\n"
        if len(self.begun) > http.MOST_LINE:
            raise UnreadableListError("a list that is too long")
        self.keys += KEYS.findall(line)
        if len(self.keys) > len(set(self.keys)):
            raise UnreadableListError("a list within another, which was cut")
        plain = STRINGS.sub(b"", line)
        if NO_JSON.search(plain):
            raise UnreadableListError(f"no JSON: {bytes(line[:50])!r}")
        for at, bracket in enumerate(BRACKETS.findall(plain)):
            if bracket in CLOSERS and (self.closers or not at):
                self.closers += CLOSERS[bracket]
            elif self.closers[-1:] == bracket:
                self.closers.pop()
            else:
                raise UnreadableListError(f"no JSON: {bytes(line[:50])!r} closes what is not open")
        if not self.closers:
            text, self.begun, self.keys = self.begun, None, []
            yield parse(text)


def parse(text):
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise UnreadableListError(f"no JSON: {error}") from None


def read_json(text, epoch):
    return read_list(parse(text), epoch)
