"""make measure-endpoint_updates: what endpoint lists cost a sidecar, by fleet size and by framing.

A third of a fleet is lost and returns cold, one delta for each endpoint. The same deltas arrive as
a chunk and a read each, as a chunk each in reads of 64 KiB, as one chunk for each read, and in
segments that end in the middle of lines. The last line is JSON: CPU time per change, the longest
turn of the event loop (a read that is decoded and applied, or due timers), and the time of a full list.
"""

import argparse
import copy
import json
import pathlib
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from twisted.internet.testing import MemoryReactorClock, StringTransport

from thymeknot.proxy.proxy import Proxy
from thymeknot.service import configuration, structured_log
from thymeknot.state.timer_queue import TimerQueue

EXAMPLE = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "example.json"
FLEET_SIZES = (200, 800, 3_200, 12_800)
ZONES = ("a", "b", "c")
READ_BYTES = 65_536  # of one read of a stream
SEGMENT_BYTES = 1_447  # of a segment that ends in the middle of lines
PACED_MILLISECONDS = 0.36  # between two changes of a zone of a thousand endpoints
FRAMINGS = ("chunk and read", "chunk", "read", "segment")
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Transport(StringTransport):
    """A transport that accepts Twisted's calls on TCP connections."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 (Twisted's name)
        """Does nothing."""

    def abortConnection(self) -> None:  # noqa: N802 (Twisted's name)
        """Does nothing."""


def entry(number: int, state: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
    """Returns an entry of an endpoint list."""
    return {
        "id": f"s-{number:08x}",
        "addr": f"127.0.0.1:{number % 60_000 + 1_024}",
        "zone": ZONES[number % len(ZONES)],
        "kind": "std",
        "cell": number // 8,
        "state": state,
        "weight": 1.0,
        "started_ms": started_ms,
        "image_id": 41,
    }


def line(version: int, full: bool, entries: list[dict[str, Any]]) -> bytes:
    """Returns one line of a watch stream."""
    return json.dumps({"version": version, "full": full, "servers": entries}).encode() + b"\n"


def chunk(content: bytes) -> bytes:
    """Returns the content as one chunk of HTTP's chunked coding."""
    return b"%x\r\n%b\r\n" % (len(content), content)


def slices(content: bytes, size: int) -> Iterator[bytes]:
    """Yields the content in slices of this size."""
    for start in range(0, len(content), size):
        yield content[start : start + size]


def framed(lines: list[bytes], framing: str) -> Iterable[bytes]:
    """Returns the reads of a stream that carries these lines."""
    chunked = [chunk(one) for one in lines]
    if framing == "chunk and read":
        return chunked
    if framing == "chunk":
        return slices(b"".join(chunked), READ_BYTES)
    if framing == "read":
        return [chunk(part) for part in slices(b"".join(lines), READ_BYTES)]
    return slices(b"".join(chunked), SEGMENT_BYTES)


class Sidecar:
    """A sidecar on an in-memory network, with one watch stream.

    Attributes:
        proxy: The instance.
        longest: The longest turn since `reset`, in seconds of CPU time.
        total: All turns since then.
    """

    def __init__(self) -> None:
        document = json.loads(EXAMPLE.read_text(encoding="utf-8"))
        document = copy.deepcopy(document)
        self.reactor = MemoryReactorClock()
        timers = TimerQueue(
            lambda: 1_000_000 + int(self.reactor.seconds() * 10_000),
            self.reactor.callLater,
            lambda where, error: sys.exit(f"{where}: {error!r}"),
        )
        self.proxy = Proxy(configuration.parse(document, 0), self.reactor, timers, 0)
        self.proxy.begin()
        port = document["discovery"].rpartition(":")[2]
        factory = next(call[2] for call in self.reactor.tcpClients if call[1] == int(port))
        self.stream = factory.buildProtocol(None)
        self.stream.makeConnection(Transport())
        self.version = 7
        self.reset()
        self.receive(HEAD)

    def reset(self) -> None:
        """Begins a new measurement."""
        self.longest = self.total = 0.0

    def receive(self, data: bytes) -> None:
        """Handles one read of the stream."""
        self._time(lambda: self.stream.dataReceived(data))

    def _time(self, turn: Callable[[], None]) -> None:
        began = time.process_time()
        turn()
        took = time.process_time() - began
        self.total += took
        self.longest = max(self.longest, took)

    def receive_changes(self, entries: list[dict[str, Any]], framing: str) -> None:
        """Handles a delta for each of these entries."""
        lines = []
        for changed in entries:
            self.version += 1
            lines.append(line(self.version, False, [changed]))
        for data in framed(lines, framing):
            self.receive(data)
            self._time(lambda: self.reactor.advance(PACED_MILLISECONDS / 1_000))

    def receive_list(self, entries: list[dict[str, Any]]) -> None:
        """Handles a full list in one read after another."""
        self.version += 1
        for data in slices(chunk(line(self.version, True, entries)), READ_BYTES):
            self.receive(data)


def measure(size: int, framing: str) -> dict[str, float]:
    """Returns the figures of one fleet size and framing."""
    structured_log.log = structured_log.log_rate_limited = lambda *_, **__: None
    sidecar = Sidecar()
    fleet = [entry(number) for number in range(size)]
    sidecar.receive_list(fleet)
    full = sidecar.longest
    lost = [listed for listed in fleet if listed["zone"] == ZONES[0]]
    figures = {"full_list_ms": round(1_000 * full, 2)}
    started = int(sidecar.proxy.clock() / 10)
    for name, entries in (
        ("lost", [{**listed, "state": "Gone"} for listed in lost]),
        ("returned", [{**listed, "started_ms": started} for listed in lost]),
    ):
        sidecar.reset()
        sidecar.receive_changes(entries, framing)
        figures[f"{name}_ms_per_change"] = round(1_000 * sidecar.total / len(entries), 4)
        figures[f"{name}_longest_turn_ms"] = round(1_000 * sidecar.longest, 2)
    if len(sidecar.proxy.listed_endpoints) != size:
        sys.exit(f"{len(sidecar.proxy.listed_endpoints)} endpoints are listed, not {size}")
    return figures


def main(arguments: list[str]) -> int:
    """Prints a table, then the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="not used: nothing is drawn")
    parser.add_argument("--sizes", default=",".join(map(str, FLEET_SIZES)))
    options = parser.parse_args(arguments)
    table = {}
    for size in map(int, options.sizes.split(",")):
        for framing in FRAMINGS:
            figures = measure(size, framing)
            table[f"{size} {framing}"] = figures
            print(f"{size:>6} {framing:<15}", figures, flush=True)
    print(json.dumps(table))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
