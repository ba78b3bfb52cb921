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

SLACK: Ticks = TICKS_PER_SECOND // 2
"""Beyond a client's patience, until a request counts as lost: an answer may be on its way."""

END_SLACK: Ticks = 4 * SLACK
"""Beyond the last client's patience, until a stretch ends with requests still in flight."""

POLL_SECONDS = 0.001
"""Between two looks at what is due: below the 2 ms of own delay that any goal allows."""

CONNECT_SECONDS = 2
"""How long a connection may take to be made."""


class DriverSettings(NamedTuple):
    """How a plan is sent.

    Attributes:
        host: The server's address.
        port: The server's port.
        codec: Makes the codec of a connection.
        max_connections: Connections at most.
        patience: How long a client waits, counted from when its request was due.
    """

    host: str
    port: int
    codec: Callable[[], Codec]
    max_connections: int
    patience: Ticks


class Connection(Protocol):
    """One connection; busy while a request is in flight on it."""

    transport: Any  # twisted's interfaces can't be checked without a plugin

    def __init__(self, driver: "Driver", resend: Optional[Request] = None) -> None:
        """Belongs to a driver.

        Args:
            driver: It is notified of all that happens.
            resend: A request that another connection was closed under; the first to go here.
        """
        self.driver = driver
        self.codec = driver.settings.codec()
        self.resend = resend
        self.in_flight: Optional[Request] = None
        self.sent_at: Ticks = 0
        self.used = False

    def connectionMade(self) -> None:  # noqa: N802  # twisted's name
        """Twisted: the connection stands."""
        self.transport.setTcpNoDelay(True)
        self.driver.connected(self, self.resend)

    def send(self, request: Request, now: Ticks) -> None:
        """Sends a request; the connection must be idle."""
        self.in_flight = request
        self.sent_at = now
        left = self.driver.settings.patience - (now - request.due)
        self.transport.write(self.codec.encode(request, left))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802  # twisted's name
        """Twisted: bytes came; what can't be read, or answers nothing, ends the connection."""
        try:
            for outcome in self.codec.decode(data):
                if self.in_flight is None:
                    raise MalformedRespError("an answer that nothing asked for")
                self.used = True
                self.end(self.in_flight, outcome)
        except MalformedRespError:
            self.transport.abortConnection()
            return
        if self.in_flight is None:
            self.driver.idle_again(self)

    def end(self, request: Request, outcome: Outcome) -> None:
        """The request in flight has ended."""
        self.in_flight = None
        self.driver.ended(request, self.sent_at, outcome)

    def connectionLost(self, reason: Optional[Failure] = None) -> None:  # noqa: N802  # twisted's
        """Twisted: the connection ended."""
        self.driver.disconnected(self)
        if self.in_flight is not None:
            request = self.in_flight
            self.in_flight = None
            self.driver.interrupted(self, request)


class _ConnectionFactory(ClientFactory):
    """Makes one connection; twisted asks for a factory."""

    noisy = False

    def __init__(self, driver: "Driver", resend: Optional[Request]) -> None:
        self.driver = driver
        self.resend = resend

    def buildProtocol(self, addr: Optional[IAddress]) -> Connection:  # noqa: N802  # twisted's name
        """Twisted: the connection stands."""
        return Connection(self.driver, self.resend)

    def clientConnectionFailed(  # noqa: N802  # twisted's name
        self, connector: IConnector, reason: Failure
    ) -> None:
        """Twisted: no connection came about."""
        self.driver.connect_failed(self.resend)


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
        self.plan: Iterator[Request] = iter(())
        self.next: Optional[Request] = None
        self.queue: deque[Request] = deque()
        self.in_flight = 0
        self.statistics = LoadStatistics()
        self.started_at: Ticks = 0
        self.span: Ticks = 0
        self.finished: Deferred[LoadStatistics] = Deferred()

    def run(self, plan: Iterable[Request], span: Ticks) -> Deferred[LoadStatistics]:
        """Sends a plan; to be called once.

        Args:
            plan: The requests in order of time.
            span: The length of the stretch.

        Returns:
            The statistics, once all requests ended or the time is over.
        """
        self.plan = iter(plan)
        self.started_at = self.clock()
        self.span = span
        self.next = next(self.plan, None)
        self._poll()
        return self.finished

    def now(self) -> Ticks:
        """The time since the beginning of the stretch."""
        return self.clock() - self.started_at

    def _poll(self) -> None:
        """Looks at what is due, what has taken too long, and whether the stretch is over."""
        now = self.now()
        while self.next is not None and self.next.due <= now:
            self.statistics.record_due(now, self.next)
            self.queue.append(self.next)
            self.next = next(self.plan, None)
        self._send(now)
        self._expire(now)
        is_done = self.next is None and not self.queue and not self.in_flight
        if is_done or now > self.span + self.settings.patience + END_SLACK:
            self._finish()
        else:
            self.reactor.callLater(POLL_SECONDS, self._poll)

    def _expire(self, now: Ticks) -> None:
        """Gives up requests whose client has gone: in flight with some slack, queued at once."""
        patience = self.settings.patience
        expired = [
            (connection, connection.in_flight)
            for connection in self.connections
            if connection.in_flight and now > connection.in_flight.due + patience + SLACK
        ]
        for connection, request in expired:
            connection.end(request, Outcome.LOST)
            connection.transport.abortConnection()
        while self.queue and now > self.queue[0].due + patience:
            self.statistics.record_end(now, self.queue.popleft(), now, Outcome.LOST)

    def _send(self, now: Ticks) -> None:
        """Sends what is queued on idle connections, and makes more of them for the rest."""
        while self.queue and self.idle:
            request = self.queue.popleft()
            connection = self.idle.pop()
            self.in_flight += 1
            self.statistics.sent += 1
            connection.send(request, now)
        free_places = self.settings.max_connections - len(self.connections)
        wanted = min(len(self.queue), free_places) - self.connecting
        for _ in range(max(0, wanted)):
            self._connect()

    def _connect(self, resend: Optional[Request] = None) -> None:
        self.connecting += 1
        factory = _ConnectionFactory(self, resend)
        self.reactor.connectTCP(
            self.settings.host, self.settings.port, factory, timeout=CONNECT_SECONDS
        )

    def connected(self, connection: Connection, resend: Optional[Request]) -> None:
        """A connection stands; one that comes when all is over is closed."""
        self.connecting -= 1
        self.connections.add(connection)
        if self.finished.called:
            connection.transport.abortConnection()
        elif resend is not None:
            connection.send(resend, self.now())
        else:
            self.idle_again(connection)

    def connect_failed(self, resend: Optional[Request]) -> None:
        """A connection could not be made; what it was to send again is lost."""
        self.connecting -= 1
        if resend is not None:
            self.ended(resend, self.now(), Outcome.LOST)

    def idle_again(self, connection: Connection) -> None:
        """A connection has no request in flight."""
        if not self.finished.called:
            self.idle.append(connection)
            self._send(self.now())

    def disconnected(self, connection: Connection) -> None:
        """A connection ended."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def interrupted(self, connection: Connection, request: Request) -> None:
        """A connection ended under a request.

        A server may close one between requests: a request that crossed that on a connection that
        had been used is sent once more on a new one, as the protocol has clients do.
        """
        if connection.used and not self.finished.called:
            self._connect(request)
        else:
            self.ended(request, connection.sent_at, Outcome.LOST)

    def ended(self, request: Request, sent_at: Ticks, outcome: Outcome) -> None:
        """A request that was sent has ended."""
        self.in_flight -= 1
        self.statistics.record_end(self.now(), request, sent_at, outcome)

    def _finish(self) -> None:
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self.idle = []
        self.finished.callback(self.statistics)
