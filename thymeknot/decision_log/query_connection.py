"""A client's connection to the query server.

Queries are processed a few entries at a time, between other events of the reactor. A client that
does not read its answers only blocks itself, and is disconnected after a timeout.
"""

import time
from collections.abc import Callable, Iterator
from typing import Any, Final, Optional, Protocol

from twisted.internet import protocol
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .query_protocol import MAX_LINE_BYTES, Watch, answer_query, parse_watch
from .recorder import Recorder
from .settings import DecisionLogSettings

STEPS_PER_TURN: Final = 4
"""Steps (entries examined) per call: a step takes tens of microseconds."""
PAUSE_FACTOR: Final = 30
"""The pause before the next steps, as a multiple of the duration of the last ones, so that queries
use only a small share of the core."""
IDLE_TIMEOUT: Final[Ticks] = 10 * TICKS_PER_SECOND
"""The time after which a client that neither sends nor reads is disconnected."""
WATCH_POLL_INTERVAL: Final[Ticks] = TICKS_PER_SECOND // 10
"""The interval between checks for entries that wait to be sent to a watcher."""


class QueryServer(Protocol):
    """The part of the server that a connection uses."""

    recorder: Recorder
    settings: DecisionLogSettings
    clock: Callable[[], Ticks]
    timers: Any
    """The timer queue."""
    reactor: Any
    """The Twisted reactor."""
    last_steps_seconds: float
    """The duration of the last steps, for any client."""
    connections: int
    """The number of open connections."""


@implementer(IPullProducer)
class QueryConnection(protocol.Protocol):
    """Answers the queries of a client one after another."""

    transport: Any
    """The Twisted transport of a stream socket."""

    def __init__(self, server: QueryServer) -> None:
        self._server = server
        self._received = b""
        self._results: Optional[Iterator[Optional[bytes]]] = None
        self._watch: Optional[Watch] = None
        self._idle_timer: Optional[int] = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Starts the idle timer."""
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        """Called whenever something was read or written."""
        server = self._server
        if self._idle_timer is not None:
            server.timers.cancel(self._idle_timer)
        self._idle_timer = server.timers.add(
            server.clock() + IDLE_TIMEOUT, self.transport.abortConnection
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Buffers the received data and starts the next query."""
        self._restart_idle_timer()
        self._received += data
        if len(self._received) > MAX_LINE_BYTES:
            self.transport.write(b'{"error":"a line of 4096 bytes at most"}\n')
            self.transport.loseConnection()
        elif self._results is None and self._watch is None:
            self._start_next_query()

    def _start_next_query(self) -> None:
        line, newline, remainder = self._received.partition(b"\n")
        if not newline:
            return
        self._received = remainder
        try:
            self._watch = parse_watch(line)
        except ValueError as error:
            self.transport.write(b'{"error":"%s"}\n' % str(error).replace('"', "'").encode())
            return
        if self._watch is not None:
            self._server.recorder.watchers.append(self._watch)
            self._send_watched()
            return
        self._results = answer_query(line, self._server.recorder, self._server.settings.answers)
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Schedules further steps after a pause; called when the transport can accept more data."""
        server = self._server
        server.reactor.callLater(PAUSE_FACTOR * server.last_steps_seconds, self._run_steps)

    def _run_steps(self) -> None:
        """Runs a few steps, or starts the next query if there are no more."""
        if self._results is None:
            return
        started_at = time.perf_counter()
        lines = []
        finished = False
        for _ in range(STEPS_PER_TURN):
            try:
                line = next(self._results)
            except StopIteration:
                finished = True
                break
            if line is not None:
                lines.append(line)
        self._server.last_steps_seconds = time.perf_counter() - started_at
        if lines:
            self._restart_idle_timer()
            self.transport.write(b"".join(lines))
        elif finished:  # all lines have been written: the next query may start
            self._results = None
            self.transport.unregisterProducer()
            self._start_next_query()
        else:
            self.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Stops the query; called when the connection is lost."""
        self._results = None

    def _send_watched(self) -> None:
        if self._watch is None or not self.connected:
            return
        # While earlier lines are unsent, new entries wait in the watch, up to its limit.
        unsent = self.transport.dataBuffer or getattr(self.transport, "_tempDataBuffer", None)
        if not unsent:
            lines = self._watch.take_lines()
            if lines:
                self._restart_idle_timer()
                self.transport.write(b"".join(lines))
        server = self._server
        server.timers.add(server.clock() + WATCH_POLL_INTERVAL, self._send_watched)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Releases the resources of the connection."""
        server = self._server
        server.timers.cancel(self._idle_timer)
        server.connections -= 1
        self._results = None
        if self._watch is not None:
            server.recorder.watchers.remove(self._watch)
            self._watch = None
