"""Accepts clients' connections up to a limit, and evicts idle ones to make room."""

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Factory

from ..interface.clock import Ticks
from ..policy.memory_budget import ClientMemory
from ..protocol.client import ClientConnection
from ..protocol.command import Command
from ..protocol.write_progress import is_receive_buffer_empty
from ..service import structured_log
from ..state.slot_table import SlotTable
from ..state.timer_queue import TimerQueue
from .resource_report import ConnectionCounters

if TYPE_CHECKING:
    from .graceful_shutdown import GracefulShutdown

LISTEN_BACKLOG = 512
"""Length of the kernel's queue of connections that wait to be accepted."""

EVICTION_CANDIDATES = 16
"""Number of idle connections, oldest first, considered for eviction per new connection."""

CLOSING_ALLOWANCE = 8
"""Connections allowed beyond the limit while evicted ones close."""

MAX_WAITING_PER_TURN = 8
"""Connections whose waiting commands are handled in one turn of the event loop.

In between the port and all other connections have their turns, however many send at full speed.
"""

EVICTION_RATIO = 1 / 3
"""Fraction of the limit from which a new connection causes idle ones to be evicted."""

EVICTION_RETRY_INTERVAL: Ticks = 500
"""Ticks between two searches for a connection to evict while accepting is paused."""

MIN_IDLE_TIME = 2_000
"""Ticks; a connection that has been idle for less is evicted only if the limit is reached."""


class ClientFactory(Factory):
    """Creates the protocol of each accepted connection."""

    noisy = False

    def __init__(self, listener: "ClientListener") -> None:
        self.listener = listener

    def buildProtocol(self, address: object) -> ClientConnection:  # noqa: N802 -- Twisted's name
        """Returns the protocol for an accepted connection."""
        return ClientConnection(self.listener)


class ClientListener:
    """The listening port and the clients' connections, for which it is the owner.

    Attributes:
        reactor: Twisted's reactor; it has no static type.
        timers: All timers of the program.
        clock: Returns the monotonic time, in ticks.
        address: The host and port to listen on.
        sockets: The configured limit of descriptors; also the maximum number of accept calls in a
            row.
        max_clients: The maximum number of client connections.
        memory: The memory that connections may make the process hold.
        counters: Counts what happens to the connections.
        request_received: Called with each request: its connection, response position and command.
        client_gone: Called with each connection whose client has disconnected.
        clients: The open connections.
        accepting_paused: Whether no connection is accepted until one becomes idle or closes.
        listening: Whether the port is open, or will be closed once the backlog is accepted.
        port: The listening port.
        shutdown: Drains the listener; set by GracefulShutdown.
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
        memory: ClientMemory,
        counters: ConnectionCounters,
        request_received: Callable[[ClientConnection, int, Command], None],
        client_gone: Callable[[ClientConnection], None],
    ) -> None:
        self.reactor = reactor
        self.timers = timers
        self.clock: Callable[[], Ticks] = timers.clock
        self.address = address
        self.sockets = sockets
        self.max_clients = max_clients
        self.memory = memory
        self.counters = counters
        self.request_received = request_received
        self.client_gone = client_gone
        self.clients: SlotTable[ClientConnection] = SlotTable()
        self.accepting_paused = False
        self.listening = False
        self.port: Any = None
        self._waiting: deque[ClientConnection] = deque()
        self._waiting_scheduled = False

    def serve(self) -> None:
        """Opens the port.

        Raises:
            CannotListenError: The address is in use or does not belong to this machine.
        """
        host, port = self.address
        self.port = self.reactor.listenTCP(
            port, ClientFactory(self), backlog=LISTEN_BACKLOG, interface=host
        )
        self.port.doRead = partial(self._accept, self.port, self.port.doRead)
        self.listening = True

    def _accept(self, port: Any, accept: Callable[[], None]) -> None:
        """Accepts as many connections in a row as the limit allows while evicted ones close.

        Those that say nothing must not hold up the ones behind them in the kernel's queue. Twisted
        closes an accepted connection if no descriptor is left for it.
        """
        for _ in range(CLOSING_ALLOWANCE):
            previous_session = port.sessionno
            room = self.max_clients - len(self.clients)
            port.numberAccepts = max(1, min(port.numberAccepts, room))
            accept()
            if port.sessionno == previous_session or room > 0 or self.accepting_paused:
                return

    def accept_all(self) -> None:
        """Accepts the whole backlog; the reactor accepts only some at a time."""
        for _ in range(self.sockets):
            previous_session = self.port.sessionno
            self.port.doRead()
            if self.port.sessionno == previous_session or self.accepting_paused:
                return

    # Callbacks of the connections.

    def handle_in_next_turn(self, connection: ClientConnection) -> None:
        """Has a connection's waiting commands handled in one of the next turns, in order."""
        self._waiting.append(connection)
        self._schedule_waiting()

    def _schedule_waiting(self) -> None:
        if self._waiting and not self._waiting_scheduled:
            self._waiting_scheduled = True
            # A timer that is due now would still run in this turn.
            self.timers.add(self.clock() + 1, self._handle_waiting)

    def _handle_waiting(self) -> None:
        """Handles one command of each of the connections that have waited longest."""
        self._waiting_scheduled = False
        try:
            for _ in range(min(len(self._waiting), MAX_WAITING_PER_TURN)):
                self._waiting.popleft().handle_next_messages()
        finally:
            self._schedule_waiting()

    def count_event(self, event: str) -> None:
        """Counts an event for the next report."""
        self.counters.events[event] += 1

    def fault(self, where: str, error: Exception) -> None:
        """Logs an exception that closed a connection."""
        structured_log.log_exception(where, error)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Registers a new connection, and evicts idle ones to make room for further ones.

        Without eviction, many clients that send one request and stay connected would block new
        ones. A connection may be evicted between requests, but not while it has unread data; one
        that has not sent a complete request yet may be evicted only after half a second.
        """
        connection.slot = self.clients.add(connection)
        connection.last_used_at = self.clock()
        full = len(self.clients) >= self.max_clients
        now = self.clock()
        if self.shutdown.clients_finishing():  # accepted during a drain
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
            self.count_event("accepting paused")
            self.accepting_paused = True  # at least until the evicted connections have closed
            self.port.stopReading()
            self.timers.add(now + EVICTION_RETRY_INTERVAL, self._evict_while_paused)
            if not idle:
                structured_log.log_rate_limited("accepting paused", connections=len(self.clients))

    def _evict_while_paused(self) -> None:
        """Evicts a connection that has become idle, or fallen silent, since accepting was paused.

        Otherwise clients that all fall silent within a command would hold up the others until
        their timeouts.
        """
        if not self.accepting_paused or self.shutdown.is_draining():
            return
        now = self.clock()
        for client in self._connections_to_evict(self._eviction_candidates(None, now), True, now):
            client.evict()
        self.timers.add(now + EVICTION_RETRY_INTERVAL, self._evict_while_paused)

    def _eviction_candidates(
        self, new: ClientConnection | None, now: Ticks
    ) -> list[ClientConnection]:
        """Returns idle connections without unread data, in the order of eviction."""
        idle = sorted(
            (
                client
                for client in self.clients
                if client is not new
                and not client.closing
                and not client.pending_responses
                and client.waiting_messages is None
            ),
            key=lambda client: (
                client.awaits_first_command(now),
                client.command_received,
                client.last_used_at,
            ),
        )[:EVICTION_CANDIDATES]
        return [client for client in idle if is_receive_buffer_empty(client.transport)]

    def _connections_to_evict(
        self, idle: list[ClientConnection], full: bool, now: Ticks
    ) -> list[ClientConnection]:
        """Returns the connections idle for long that exceed the eviction ratio.

        If there are none and the limit is reached, the first of the idle ones is returned.
        """
        long_idle = [
            client
            for client in idle
            if client.is_idle()
            and now >= client.last_used_at + MIN_IDLE_TIME
            and not client.awaits_first_command(now)
        ]
        chosen = long_idle[: int(len(self.clients) - self.max_clients * EVICTION_RATIO)]
        return chosen or (idle[:1] if full else [])

    def connection_became_idle(self) -> None:
        """Resumes accepting, since the idle connection can be evicted for the next client."""
        if self.accepting_paused and not self.shutdown.is_draining():
            self.accepting_paused = False
            if self.shutdown.listener_closed is None:  # else the port is about to be replaced
                self.port.startReading()
        elif self.accepting_paused and self.listening:
            self.shutdown.accept_rest()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Removes a closed connection."""
        if connection.slot is not None:  # it was registered
            self.clients.remove(connection.slot)
            self.counters.closed[connection.close_reason] += 1
        self.client_gone(connection)
        self.connection_became_idle()
        self.shutdown.notify_if_drained()
