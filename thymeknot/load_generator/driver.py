"""Sends the requests of a run over TCP: many connections, each with one request at a time.

A run ends in bounded time, even if the server never responds.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple, Optional

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..protocol.resp import MalformedRespError
from .codecs import Codec
from .latency_histogram import LoadStatistics, Outcome
from .schedule import Request

RESPONSE_GRACE: Ticks = TICKS_PER_SECOND // 2
"""Time after the client timeout until a sent request is lost: its response may be on its way."""

END_GRACE: Ticks = 4 * RESPONSE_GRACE
"""Time after the last client timeout at which a run ends even with requests in flight."""

POLL_INTERVAL_SECONDS = 0.001
"""Interval between checks for due requests: below the own delay of 2 ms that any goal tolerates."""

CONNECT_TIMEOUT_SECONDS = 2
"""Timeout for establishing a connection."""


class DriverSettings(NamedTuple):
    """How requests are sent.

    Attributes:
        host: Host of the server.
        port: Port of the server.
        codec: Creates the codec of a connection.
        max_connections: Maximum number of connections.
        client_timeout: How long a client waits, from when its request is due.
    """

    host: str
    port: int
    codec: Callable[[], Codec]
    max_connections: int
    client_timeout: Ticks


class Connection(Protocol):
    """A connection with at most one request in flight."""

    transport: Any  # mypy can't check Twisted's interfaces without a plugin

    def __init__(self, driver: "Driver", request_to_resend: Optional[Request] = None) -> None:
        """Creates the protocol of a new connection.

        Args:
            driver: The driver, which is notified of all events.
            request_to_resend: A request that was interrupted on another connection; it is sent
                first on this one.
        """
        self.driver = driver
        self.codec = driver.settings.codec()
        self.request_to_resend = request_to_resend
        self.in_flight: Optional[Request] = None
        self.sent_at: Ticks = 0
        self.has_responded = False

    def connectionMade(self) -> None:  # noqa: N802  # Twisted's name
        """Called by Twisted when the connection is established."""
        self.transport.setTcpNoDelay(True)
        self.driver.connection_opened(self, self.request_to_resend)

    def send(self, request: Request, now: Ticks) -> None:
        """Sends a request; the connection must be idle."""
        self.in_flight = request
        self.sent_at = now
        remaining = self.driver.settings.client_timeout - (now - request.due)
        self.transport.write(self.codec.encode(request, remaining))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802  # Twisted's name
        """Called by Twisted; a malformed or unsolicited response aborts the connection."""
        try:
            for outcome in self.codec.decode(data):
                if self.in_flight is None:
                    raise MalformedRespError("response without a request")
                self.has_responded = True
                self.request_finished(self.in_flight, outcome)
        except MalformedRespError:
            self.transport.abortConnection()
            return
        if self.in_flight is None:
            self.driver.connection_idle(self)

    def request_finished(self, request: Request, outcome: Outcome) -> None:
        """Handles the end of the request in flight."""
        self.in_flight = None
        self.driver.request_ended(request, self.sent_at, outcome)

    def connectionLost(self, reason: Optional[Failure] = None) -> None:  # noqa: N802  # Twisted's
        """Called by Twisted when the connection was closed."""
        self.driver.connection_closed(self)
        if self.in_flight is not None:
            request = self.in_flight
            self.in_flight = None
            self.driver.request_interrupted(self, request)


class _ConnectionFactory(ClientFactory):
    """Creates the protocol of one connection, as Twisted requires."""

    noisy = False

    def __init__(self, driver: "Driver", request_to_resend: Optional[Request]) -> None:
        self.driver = driver
        self.request_to_resend = request_to_resend

    def buildProtocol(self, addr: Optional[IAddress]) -> Connection:  # noqa: N802  # Twisted's name
        """Called by Twisted when the connection is established."""
        return Connection(self.driver, self.request_to_resend)

    def clientConnectionFailed(  # noqa: N802  # Twisted's name
        self, connector: IConnector, reason: Failure
    ) -> None:
        """Called by Twisted when the connection could not be established."""
        self.driver.connection_failed(self.request_to_resend)


class Driver:
    """Sends the requests of one run."""

    def __init__(self, reactor: Any, clock: Callable[[], Ticks], settings: DriverSettings) -> None:
        """Creates a driver; `run` starts it.

        Args:
            reactor: Twisted's event loop.
            clock: Monotonic clock in ticks.
            settings: How requests are sent.
        """
        self.reactor = reactor
        self.clock = clock
        self.settings = settings
        self.connections: set[Connection] = set()
        self.idle: list[Connection] = []
        self.connecting = 0
        self.requests: Iterator[Request] = iter(())
        self.next_request: Optional[Request] = None
        self.queue: deque[Request] = deque()
        self.in_flight_count = 0
        self.statistics = LoadStatistics()
        self.started_at: Ticks = 0
        self.duration: Ticks = 0
        self.finished: Deferred[LoadStatistics] = Deferred()

    def run(self, requests: Iterable[Request], duration: Ticks) -> Deferred[LoadStatistics]:
        """Sends the requests; may be called only once.

        Args:
            requests: The requests in order of time.
            duration: Duration of the run.

        Returns:
            A Deferred of the statistics; fires when all requests have ended or the time is up.
        """
        self.requests = iter(requests)
        self.started_at = self.clock()
        self.duration = duration
        self.next_request = next(self.requests, None)
        self._poll()
        return self.finished

    def now(self) -> Ticks:
        """Returns the time since the start of the run."""
        return self.clock() - self.started_at

    def _poll(self) -> None:
        """Queues due requests, sends and expires requests, and finishes the run at its end."""
        now = self.now()
        while self.next_request is not None and self.next_request.due <= now:
            self.statistics.record_due(now, self.next_request)
            self.queue.append(self.next_request)
            self.next_request = next(self.requests, None)
        self._send(now)
        self._expire(now)
        all_ended = self.next_request is None and not self.queue and not self.in_flight_count
        if all_ended or now > self.duration + self.settings.client_timeout + END_GRACE:
            self._finish()
        else:
            self.reactor.callLater(POLL_INTERVAL_SECONDS, self._poll)

    def _expire(self, now: Ticks) -> None:
        """Marks requests as lost after the client timeout; those in flight have a grace period."""
        client_timeout = self.settings.client_timeout
        expired = [
            (connection, connection.in_flight)
            for connection in self.connections
            if connection.in_flight
            and now > connection.in_flight.due + client_timeout + RESPONSE_GRACE
        ]
        for connection, request in expired:
            connection.request_finished(request, Outcome.LOST)
            connection.transport.abortConnection()
        while self.queue and now > self.queue[0].due + client_timeout:
            self.statistics.record_end(now, self.queue.popleft(), now, Outcome.LOST)

    def _send(self, now: Ticks) -> None:
        """Sends queued requests on idle connections, and opens more connections for the rest."""
        while self.queue and self.idle:
            request = self.queue.popleft()
            connection = self.idle.pop()
            self.in_flight_count += 1
            self.statistics.sent_count += 1
            connection.send(request, now)
        available = self.settings.max_connections - len(self.connections)
        needed = min(len(self.queue), available) - self.connecting
        for _ in range(max(0, needed)):
            self._connect()

    def _connect(self, request_to_resend: Optional[Request] = None) -> None:
        self.connecting += 1
        factory = _ConnectionFactory(self, request_to_resend)
        self.reactor.connectTCP(
            self.settings.host, self.settings.port, factory, timeout=CONNECT_TIMEOUT_SECONDS
        )

    def connection_opened(
        self, connection: Connection, request_to_resend: Optional[Request]
    ) -> None:
        """Handles an established connection; after the end of the run it is aborted."""
        self.connecting -= 1
        self.connections.add(connection)
        if self.finished.called:
            connection.transport.abortConnection()
        elif request_to_resend is not None:
            connection.send(request_to_resend, self.now())
        else:
            self.connection_idle(connection)

    def connection_failed(self, request_to_resend: Optional[Request]) -> None:
        """Handles a failed connection attempt; a request to be resent on it is lost."""
        self.connecting -= 1
        if request_to_resend is not None:
            self.request_ended(request_to_resend, self.now(), Outcome.LOST)

    def connection_idle(self, connection: Connection) -> None:
        """Handles a connection without a request in flight."""
        if not self.finished.called:
            self.idle.append(connection)
            self._send(self.now())

    def connection_closed(self, connection: Connection) -> None:
        """Handles a closed connection."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def request_interrupted(self, connection: Connection, request: Request) -> None:
        """Handles a request whose connection was closed before the response.

        A server may close a connection between two requests, and a request may be sent just then.
        The protocol lets clients resend it: if the connection had already received a response, the
        request is sent once more on a new connection. Otherwise it is lost.
        """
        if connection.has_responded and not self.finished.called:
            self._connect(request)
        else:
            self.request_ended(request, connection.sent_at, Outcome.LOST)

    def request_ended(self, request: Request, sent_at: Ticks, outcome: Outcome) -> None:
        """Records the outcome of a request that was sent."""
        self.in_flight_count -= 1
        self.statistics.record_end(self.now(), request, sent_at, outcome)

    def _finish(self) -> None:
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self.idle = []
        self.finished.callback(self.statistics)
