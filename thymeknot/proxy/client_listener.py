"""Accepts clients' connections, within the places for them, and evicts idle ones to make room."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Factory

from ..interface.clock import Ticks
from ..protocol.client import ClientConnection
from ..protocol.command import Command
from ..protocol.write_progress import nothing_waits
from ..service import structured_log
from ..state.slot_table import SlotTable
from ..state.timer_queue import TimerQueue

if TYPE_CHECKING:
    from .graceful_shutdown import GracefulShutdown

LISTEN_BACKLOG = 512
"""Connections that the machine accepts ahead of the reactor."""

EVICTION_CANDIDATES = 16
"""Idle connections that are looked at for eviction when one comes; the eldest."""

CLOSING_ALLOWANCE = 8
"""Connections beyond the places for clients, while those that were evicted for them close."""

EVICTION_RATIO = 1 / 3
"""Of the places for clients: from there on, idle connections are evicted when one comes."""

MIN_IDLE_TIME = 2_000
"""Ticks: a connection that has been idle for less is evicted only when no place is left."""


class ClientFactory(Factory):
    """Makes the connections of a listener."""

    noisy = False

    def __init__(self, listener: "ClientListener") -> None:
        self.listener = listener

    def buildProtocol(self, address: object) -> ClientConnection:  # noqa: N802 -- Twisted's name
        """Returns the protocol of a connection that was accepted."""
        return ClientConnection(self.listener)


class ClientListener:
    """The listening port and the clients' connections; the owner that these report to.

    Attributes:
        reactor: Twisted's reactor; it has no static type.
        timers: All timers of the program.
        clock: The time, in ticks.
        address: The host and port to listen on.
        sockets: The configured limit of descriptors, which also bounds what is accepted in one go.
        max_clients: The places for clients.
        take: Called with each request: its connection, the place of its answer, its command.
        gone: Called with a connection whose client waits for nothing more.
        clients: The open connections.
        accepting_paused: Whether new connections wait until one of the others is idle or closed.
        listening: Whether the port is open, or is to be closed once the rest has been accepted.
        port: The listening port.
        shutdown: What drains and ends the listener; it sets this itself.
    """

    shutdown: "GracefulShutdown"

    def __init__(
        self,
        reactor: Any,
        timers: TimerQueue,
        address: tuple[str, int],
        *,
        sockets: int,
        max_clients: int,
        take: Callable[[ClientConnection, int, Command], None],
        gone: Callable[[ClientConnection], None],
    ) -> None:
        self.reactor = reactor
        self.timers = timers
        self.clock: Callable[[], Ticks] = timers.clock
        self.address = address
        self.sockets = sockets
        self.max_clients = max_clients
        self.take = take
        self.gone = gone
        self.clients: SlotTable[ClientConnection] = SlotTable()
        self.accepting_paused = False
        self.listening = False
        self.port: Any = None

    def serve(self) -> None:
        """Opens the port.

        Raises:
            CannotListenError: The address is in use, or is none of this machine's.
        """
        host, port = self.address
        self.port = self.reactor.listenTCP(
            port, ClientFactory(self), backlog=LISTEN_BACKLOG, interface=host
        )
        self.port.doRead = partial(self._accept, self.port, self.port.doRead)
        self.listening = True

    def _accept(self, port: Any, accept: Callable[[], None]) -> None:
        """Accepts no more at once than there are places for.

        The network library closes a connection that finds no descriptor.
        """
        port.numberAccepts = max(1, min(port.numberAccepts, self.max_clients - len(self.clients)))
        accept()

    def accept_all(self) -> None:
        """Accepts all that the machine has accepted; the reactor takes but some at a time."""
        for _ in range(self.sockets):
            before = self.port.sessionno
            self.port.doRead()
            if self.port.sessionno == before or self.accepting_paused:
                return

    # What the connections report.

    def fault(self, where: str, error: Exception) -> None:
        """Logs a fault that has cost a connection."""
        structured_log.log_exception(where, error)

    def opened(self, connection: ClientConnection) -> None:
        """Takes up a new connection, and makes room for those to come.

        Between requests a connection may be closed, but none for which something waits unread, and
        one that has said nothing whole only after half a second. A crowd of clients that ask once
        and stay would hold the places that those to come need.
        """
        connection.slot = self.clients.add(connection)
        connection.used_at = self.clock()
        full = len(self.clients) >= self.max_clients
        now = self.clock()
        if self.shutdown.clients_finishing():  # it had to wait for a place
            connection.finish()
        if not full and len(self.clients) < self.max_clients * EVICTION_RATIO:
            return
        idle = self._eviction_candidates(connection, now)
        for client in self._connections_to_evict(idle, full, now):
            client.evict()
        if (
            full
            and (not idle or len(self.clients) >= self.max_clients + CLOSING_ALLOWANCE)
            and not self.accepting_paused
        ):
            self.accepting_paused = True  # also until those that make room have closed
            self.port.stopReading()
            if not idle:
                structured_log.log_rate_limited("accepting paused", connections=len(self.clients))

    def _eviction_candidates(self, new: ClientConnection, now: Ticks) -> list[ClientConnection]:
        """Returns idle connections for which nothing waits unread, the first to go first."""
        idle = sorted(
            (
                client
                for client in self.clients
                if client is not new and not client.closing and not client.places
            ),
            key=lambda client: (client.awaited(now), client.spoke, client.used_at),
        )[:EVICTION_CANDIDATES]
        return [client for client in idle if nothing_waits(client.transport)]

    def _connections_to_evict(
        self, idle: list[ClientConnection], full: bool, now: Ticks
    ) -> list[ClientConnection]:
        """Returns those idle for long, beyond the crowded share; else one, if it is full."""
        long_idle = [
            client
            for client in idle
            if client.idle() and now >= client.used_at + MIN_IDLE_TIME and not client.awaited(now)
        ]
        chosen = long_idle[: int(len(self.clients) - self.max_clients * EVICTION_RATIO)]
        return chosen or (idle[:1] if full else [])

    def became_idle(self) -> None:
        """Accepts again if that is paused: the next connection finds one to take the place of."""
        if self.accepting_paused and not self.shutdown.began():
            self.accepting_paused = False
            self.port.startReading()
        elif self.accepting_paused and self.listening:
            self.shutdown.accept_rest()

    def left(self, connection: ClientConnection) -> None:
        """Lets go of a connection that is closed."""
        if connection.slot is not None:  # it was taken up
            self.clients.remove(connection.slot)
        self.gone(connection)
        self.became_idle()
        self.shutdown.end_if_empty()
