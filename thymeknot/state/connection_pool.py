"""Connection pools, one per pod (endpoint), with the attempts that wait for a connection."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol, cast

from ..interface.clock import Ticks
from ..interface.settings import ConnectionLimits
from ..policy.memory_budget import MemoryBudget
from ..protocol.pod import PodConnector
from ..protocol.write_progress import NOT_CONNECTED, BrokenConnection
from .slot_table import SlotTable
from .timer_queue import TimerQueue

# Fraction of the pod's idle timeout after which a connection is closed, before the pod closes it.
IDLE_RETIREMENT_FRACTION = 0.8
# How long to keep reading after an attempt was given up: its response may be in flight.
LINGER_AFTER_GIVE_UP: Ticks = 5_000
# Interval between checks whether an idle connection is to be closed.
CHECK_INTERVAL: Ticks = 10_000
# Pause after a response before the connection is reused: a duplicate response may arrive some
# milliseconds late, and responses carry no id.
REST_AFTER_RESPONSE: Ticks = 100

# Creates a Connector; its fields are set after construction.
_make_connector: Callable[..., Any] = PodConnector


class Attempt(Protocol):
    """An attempt to send to a pod; a connection carries one at a time."""

    @property
    def endpoint(self) -> Any:
        """The pod as it was listed when the attempt was decided."""

    def may_be_written(self, address: str, /) -> bool:
        """Returns whether the attempt may still be written to this address."""

    def write_to(self, connection: Any, /) -> object:
        """Writes the attempt to a connection."""

    def withdraw(self) -> object:
        """Ends the attempt before any of it was written."""

    def not_connected(self, broken: BrokenConnection, /) -> object:
        """Ends the attempt because no connection could be established for it."""


class PooledConnection(Protocol):
    """The interface of a connection that the pools use.

    Attributes:
        attempt: The current or last attempt; None while idle.
        written: Whether the attempt was written completely.
        slot: Slot number in the table of open connections.
        last_used_at: Time at which it last became idle.
        reusable_at: Time before which no attempt is written to it.
        timers: Numbers of its timers; the first one is the idle check.
        transport: The Twisted transport.
    """

    attempt: Attempt | None
    written: bool
    slot: int
    last_used_at: Ticks
    reusable_at: Ticks
    timers: list[int]
    transport: Any

    @property
    def connector(self) -> "Connector":
        """The connector that established it."""

    @property
    def pending_response(self) -> object:
        """What receives the response; None if no response is awaited."""

    def is_clean(self) -> bool:
        """Returns whether nothing was received since the last response."""

    def is_self_connected(self) -> bool:
        """Returns whether the connection is a TCP self-connect."""

    def drop(self, reason: str, /) -> object:
        """Aborts the connection and fails the attempt on it."""

    def give_up(self) -> object:
        """Gives up its attempt; a response in flight is still read."""


class Connector(Protocol):
    """A connection attempt in progress.

    Attributes:
        pool: The pool that the connection is for.
        deadline: Number of the connect timeout's timer.
        failed: A Deferred that fires with a BrokenConnection if connecting fails.
    """

    pool: "ConnectionPool"
    deadline: int | None
    failed: Any


class UnwrittenAttempt(NamedTuple):
    """An attempt that was not written completely and so has not run."""

    attempt: Attempt
    address: str
    """The address that it is to be sent to."""


class ConnectionPool:
    """The connections of this sidecar to one pod at one address.

    Attributes:
        pod: The pod's identifier.
        address: The pod's address as host:port.
        idle: Idle connections, the most recently used one last.
        waiting: Attempts that wait for a connection, the oldest first.
        dialling: Number of connections being dialled.
        rest_timer: Number of the timer for the next connection to become reusable.
    """

    def __init__(self, pod: str, address: str) -> None:
        self.pod = pod
        self.address = address
        self.idle: list[PooledConnection] = []
        self.waiting: deque[Attempt] = deque()
        self.dialling = 0
        self.rest_timer: int | None = None


class ConnectionPools:
    """Sends attempts to pods over pooled connections, one attempt at a time per connection.

    When an attempt gets a connection, write_to(connection) is called if may_be_written(address)
    still holds, else withdraw(). If no connection comes up, not_connected(broken) is called.

    Attributes:
        timers: The timers of the process.
        connection_limits: Timeouts and limits for connections.
        max_connections: Maximum number of connections open or being dialled.
        partial_responses: The memory that partial responses may take.
        fault: Called as fault(where, error) on an internal error.
        by_pod: Connection pools by pod identifier.
        connections: All open connections.
        dialling: Number of connections being dialled.
    """

    def __init__(
        self,
        reactor: Any,
        timers: TimerQueue,
        connection_limits: ConnectionLimits,
        max_connections: int,
        *,
        partial_responses: MemoryBudget,
        fault: Callable[[str, Exception], object],
    ) -> None:
        self.timers = timers
        self.connection_limits = connection_limits
        self.max_connections = max_connections
        self.partial_responses = partial_responses
        self.fault = fault
        self.by_pod: dict[str, ConnectionPool] = {}
        self.connections: SlotTable[PooledConnection] = SlotTable()
        self.dialling = 0
        self._reactor = reactor

    def __len__(self) -> int:
        return len(self.connections) + self.dialling

    def send(self, pod: str, address: str, attempt: Attempt) -> bool:
        """Writes an attempt to the most recently used reusable connection, or dials a new one.

        Returns:
            False, with nothing done, if this would exceed the maximum number of connections.
        """
        pool = self.by_pod.get(pod)
        if pool is None:
            pool = self.by_pod[pod] = ConnectionPool(pod, address)
        connection = None if pool.waiting else self._take_reusable(pool)
        if connection:
            self._write(attempt, connection)
            return True
        if len(self) >= self.max_connections and not self._close_least_recently_used():
            return False
        pool.waiting.append(attempt)
        self._dial(pool)
        self._serve_waiting(pool)
        return True

    def _take_reusable(self, pool: ConnectionPool) -> PooledConnection | None:
        """Takes the most recently used connection that has rested, if it received nothing since."""
        now = self.timers.clock()
        for connection in pool.idle[::-1]:
            if now < connection.reusable_at:
                continue
            if now >= self._idle_close_at(connection):  # its idle check may run late
                self._close([connection])
            elif connection.is_clean():
                pool.idle.remove(connection)
                return connection
            else:
                connection.drop("unexpected data or end of stream while idle")
        return None

    def _idle_close_at(self, connection: PooledConnection) -> Ticks:
        # Even with a very short idle timeout, a new connection is kept for the attempt that it was
        # dialled for.
        idle_time = int(IDLE_RETIREMENT_FRACTION * self.connection_limits.idle_timeout)
        return connection.last_used_at + max(REST_AFTER_RESPONSE, idle_time)

    def _serve_waiting(self, pool: ConnectionPool) -> None:
        """Writes waiting attempts, the oldest first, while connections are available."""
        while pool.waiting:
            if not pool.waiting[0].may_be_written(pool.address):
                pool.waiting.popleft().withdraw()
            elif connection := self._take_reusable(pool):
                self._write(pool.waiting.popleft(), connection)
            else:
                break
        self.timers.cancel(pool.rest_timer)
        if pool.waiting and pool.idle:
            next_reusable_at = min(connection.reusable_at for connection in pool.idle)
            pool.rest_timer = self.timers.add(next_reusable_at, self._serve_waiting, pool)

    def _write(self, attempt: Attempt, connection: PooledConnection) -> None:
        connection.attempt = attempt
        attempt.write_to(connection)

    def _dial(self, pool: ConnectionPool) -> None:
        pool.dialling += 1
        self.dialling += 1
        connector: Connector = _make_connector(self, pool)
        connector.failed.addCallback(self._dial_failed, connector)
        host, _, port = pool.address.rpartition(":")
        try:
            dialled = self._reactor.connectTCP(host, int(port), connector, timeout=None)
        except Exception:
            self._dial_ended(connector)
            raise
        connector.deadline = self.timers.add(
            self.timers.clock() + self.connection_limits.connect_timeout, dialled.stopConnecting
        )

    def _dial_ended(self, connector: Connector) -> None:
        self.timers.cancel(connector.deadline)
        connector.pool.dialling -= 1
        self.dialling -= 1

    def _dial_failed(self, broken: BrokenConnection, connector: Connector) -> None:
        self._dial_ended(connector)
        self._fail_unserved(connector.pool, broken)

    def _fail_unserved(self, pool: ConnectionPool, broken: BrokenConnection) -> None:
        """Fails the oldest waiting attempt, unless enough dials are in progress for all."""
        if len(pool.waiting) > pool.dialling:
            pool.waiting.popleft().not_connected(broken)

    def connection_opened(self, connection: PooledConnection) -> None:
        """Handles a new connection."""
        self._dial_ended(connection.connector)
        connection.slot = self.connections.add(connection)
        connection.last_used_at = self.timers.clock()
        if connection.is_self_connected():
            connection.drop("TCP self-connect")
        else:
            self._set_idle(connection, 0)
            self._check_idle(connection)
        # A pod that is full or shutting down may send an error before it is sent anything; such a
        # connection cannot serve an attempt.
        self._fail_unserved(
            connection.connector.pool,
            BrokenConnection(NOT_CONNECTED, "no usable connection was established"),
        )

    def exceeds_memory(self, connection: PooledConnection, size: int) -> bool:
        """Counts a partial response of this size; returns whether there is no memory for it."""
        return not self.partial_responses.resize(connection.slot, size)

    def response_received(self, connection: PooledConnection) -> None:
        """Handles a complete response: the connection rests, and any data meanwhile closes it."""
        self.partial_responses.resize(connection.slot, 0)
        self._set_idle(connection, REST_AFTER_RESPONSE)

    def _set_idle(self, connection: PooledConnection, rest_duration: Ticks) -> None:
        """Makes a connection available to attempts after the given rest."""
        connection.last_used_at = self.timers.clock()
        connection.attempt = None
        connection.reusable_at = connection.last_used_at + rest_duration
        pool = connection.connector.pool
        if self.by_pod.get(pool.pod) is not pool:
            connection.drop("the pod was removed or its address changed")
            return
        pool.idle.append(connection)
        self._serve_waiting(pool)

    def connection_closing(self, connection: PooledConnection) -> None:
        """Handles a connection that is being closed: no further attempt is written to it."""
        self.partial_responses.resize(connection.slot, 0)
        if connection in connection.connector.pool.idle:
            connection.connector.pool.idle.remove(connection)

    def connection_lost(self, connection: PooledConnection) -> None:
        """Handles the end of a connection."""
        self.connection_closing(connection)
        self.connections.remove(connection.slot)
        for timer in connection.timers:
            self.timers.cancel(timer)

    def _check_idle(self, connection: PooledConnection) -> None:
        """Closes a connection that has been idle for too long, or schedules the next check."""
        if self.connections.get(connection.slot) is not connection:
            return
        now = self.timers.clock()
        close_at = self._idle_close_at(connection)
        if connection.pending_response is None and now >= close_at:
            self._close([connection])
        else:
            next_check = max(close_at, now + CHECK_INTERVAL)
            connection.timers[:1] = [self.timers.add(next_check, self._check_idle, connection)]

    def give_up(self, attempt: Attempt, connection: PooledConnection | None) -> None:
        """Gives up an attempt at once, whether it is waiting or in flight on `connection`."""
        if connection is not None:
            connection.give_up()
            connection.timers.append(
                self.timers.add(
                    self.timers.clock() + LINGER_AFTER_GIVE_UP, connection.drop, "given up"
                )
            )
            return
        for pool in self.by_pod.values():
            if attempt in pool.waiting:
                pool.waiting.remove(attempt)

    def unwritten_attempts(self) -> list[UnwrittenAttempt]:
        """Returns the attempts that wait for a connection or were not written completely."""
        waiting = [
            UnwrittenAttempt(attempt, pool.address)
            for pool in self.by_pod.values()
            for attempt in pool.waiting
        ]
        partly_written = [
            UnwrittenAttempt(cast(Attempt, connection.attempt), connection.connector.pool.address)
            for connection in self.connections
            if connection.pending_response is not None and not connection.written
        ]
        return waiting + partly_written

    def close_idle(self, pod: str) -> None:
        """Closes the idle connections to a pod."""
        if pod in self.by_pod:
            self._close(list(self.by_pod[pod].idle))

    def close_all_except(self, addresses: dict[str, str]) -> None:
        """Removes the pools of pods that are not in `addresses`, or that have another address.

        Attempts in flight may finish. No attempt waits for such a connection: those were withdrawn
        before.
        """
        for pod in list(self.by_pod):
            self.close_unless_at(pod, addresses.get(pod))

    def close_unless_at(self, pod: str, address: str | None) -> None:
        """Removes the pool of a pod unless it is at this address; see `close_all_except`."""
        if self.by_pod[pod].address != address:
            self.close_idle(pod)
            del self.by_pod[pod]

    def _close(self, connections: Iterable[PooledConnection]) -> None:
        for connection in connections:
            self.connection_closing(connection)
            connection.transport.loseConnection()

    def _close_least_recently_used(self) -> bool:
        """Closes the least recently used idle connection; returns whether there was one."""
        idle = [pool.idle[0] for pool in self.by_pod.values() if pool.idle]
        self._close(sorted(idle, key=lambda connection: connection.last_used_at)[:1])
        return bool(idle)
