"""Sends a plan over sockets: many connections, one request at a time on each, in bounded time."""

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
"""Beyond a client's patience, until a request counts as lost: an answer may be on its way."""

END_GRACE: Ticks = 4 * RESPONSE_GRACE
"""Beyond the last client's patience, until a stretch ends with requests still in flight."""

POLL_INTERVAL_SECONDS = 0.001
"""Between two looks at what is due: below the 2 ms of own delay that any goal allows."""

CONNECT_TIMEOUT_SECONDS = 2
"""How long a connection may take to be made."""


class DriverSettings(NamedTuple):
    """How a plan is sent.

    Attributes:
        host: The server's address.
        port: The server's port.
        codec: Makes the codec of a connection.
        max_connections: Connections at most.
        client_timeout: How long a client waits, counted from when its request was due.
    """

    host: str
    port: int
    codec: Callable[[], Codec]
    max_connections: int
    client_timeout: Ticks


class Connection(Protocol):
    """One connection; busy while a request is in flight on it."""

    transport: Any  # twisted's interfaces can't be checked without a plugin

    def __init__(self, driver: "Driver", request_to_resend: Optional[Request] = None) -> None:
        """Belongs to a driver.

        Args:
            driver: It is notified of all that happens.
            request_to_resend: A request interrupted on another connection, sent first here.
        """
        self.driver = driver
        self.codec = driver.settings.codec()
        self.request_to_resend = request_to_resend
        self.in_flight: Optional[Request] = None
        self.sent_at: Ticks = 0
        self.has_responded = False

    def connectionMade(self) -> None:  # noqa: N802  # twisted's name
        """Twisted: the connection stands."""
        self.transport.setTcpNoDelay(True)
        self.driver.connection_opened(self, self.request_to_resend)

    def send(self, request: Request, now: Ticks) -> None:
        """Sends a request; the connection must be idle."""
        self.in_flight = request
        self.sent_at = now
        remaining = self.driver.settings.client_timeout - (now - request.due)
        self.transport.write(self.codec.encode(request, remaining))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802  # twisted's name
        """Twisted: bytes came; what can't be read, or answers nothing, ends the connection."""
        try:
            for outcome in self.codec.decode(data):
                if self.in_flight is None:
                    raise MalformedRespError("an answer that nothing asked for")
                self.has_responded = True
                self.request_finished(self.in_flight, outcome)
        except MalformedRespError:
            self.transport.abortConnection()
            return
        if self.in_flight is None:
            self.driver.connection_idle(self)

    def request_finished(self, request: Request, outcome: Outcome) -> None:
        """The request in flight has ended."""
        self.in_flight = None
        self.driver.request_ended(request, self.sent_at, outcome)

    def connectionLost(self, reason: Optional[Failure] = None) -> None:  # noqa: N802  # twisted's
        """Twisted: the connection ended."""
        self.driver.connection_closed(self)
        if self.in_flight is not None:
            request = self.in_flight
            self.in_flight = None
            self.driver.request_interrupted(self, request)


class _ConnectionFactory(ClientFactory):
    """Makes one connection; twisted asks for a factory."""

    noisy = False

    def __init__(self, driver: "Driver", request_to_resend: Optional[Request]) -> None:
        self.driver = driver
        self.request_to_resend = request_to_resend

    def buildProtocol(self, addr: Optional[IAddress]) -> Connection:  # noqa: N802  # twisted's name
        """Twisted: the connection stands."""
        return Connection(self.driver, self.request_to_resend)

    def clientConnectionFailed(  # noqa: N802  # twisted's name
        self, connector: IConnector, reason: Failure
    ) -> None:
        """Twisted: no connection came about."""
        self.driver.connection_failed(self.request_to_resend)


class Driver:
    """Sends one stretch."""

    def __init__(self, reactor: Any, clock: Callable[[], Ticks], settings: DriverSettings) -> None:
        """Does nothing until `run`.

        Args:
            reactor: Twisted's event loop.
            clock: Tells the time; it is monotonic.
            settings: How the plan is sent.
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
        """Sends a plan; to be called once.

        Args:
            requests: The requests in order of time.
            duration: The length of the stretch.

        Returns:
            The statistics, once all requests ended or the time is over.
        """
        self.requests = iter(requests)
        self.started_at = self.clock()
        self.duration = duration
        self.next_request = next(self.requests, None)
        self._poll()
        return self.finished

    def now(self) -> Ticks:
        """The time since the beginning of the stretch."""
        return self.clock() - self.started_at

    def _poll(self) -> None:
        """Looks at what is due, what has taken too long, and whether the stretch is over."""
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
        """Gives up requests whose client has gone: in flight with some slack, queued at once."""
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
        """Sends what is queued on idle connections, and makes more of them for the rest."""
        while self.queue and self.idle:
            request = self.queue.popleft()
            connection = self.idle.pop()
            self.in_flight_count += 1
            self.statistics.sent_count += 1
            connection.send(request, now)
        available = self.settings.max_connections - len(self.connections)
        missing = min(len(self.queue), available) - self.connecting
        for _ in range(max(0, missing)):
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
        """A connection stands; one that comes when all is over is closed."""
        self.connecting -= 1
        self.connections.add(connection)
        if self.finished.called:
            connection.transport.abortConnection()
        elif request_to_resend is not None:
            connection.send(request_to_resend, self.now())
        else:
            self.connection_idle(connection)

    def connection_failed(self, request_to_resend: Optional[Request]) -> None:
        """A connection could not be made; what it was to send again is lost."""
        self.connecting -= 1
        if request_to_resend is not None:
            self.request_ended(request_to_resend, self.now(), Outcome.LOST)

    def connection_idle(self, connection: Connection) -> None:
        """A connection has no request in flight."""
        if not self.finished.called:
            self.idle.append(connection)
            self._send(self.now())

    def connection_closed(self, connection: Connection) -> None:
        """A connection ended."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def request_interrupted(self, connection: Connection, request: Request) -> None:
        """A connection ended under a request.

        A server may close one between requests: a request that crossed that on a connection that
        had been used is sent once more on a new one, as the protocol has clients do.
        """
        if connection.has_responded and not self.finished.called:
            self._connect(request)
        else:
            self.request_ended(request, connection.sent_at, Outcome.LOST)

    def request_ended(self, request: Request, sent_at: Ticks, outcome: Outcome) -> None:
        """A request that was sent has ended."""
        self.in_flight_count -= 1
        self.statistics.record_end(self.now(), request, sent_at, outcome)

    def _finish(self) -> None:
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self.idle = []
        self.finished.callback(self.statistics)
