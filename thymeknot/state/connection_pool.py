"""Connections to pods (endpoints), pooled by pod, and the attempts that wait for one."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol, cast

from ..interface.clock import Ticks
from ..interface.settings import ConnectionLimits
from ..protocol.pod import PodConnector
from ..protocol.write_progress import NOT_CONNECTED, BrokenConnection
from .slot_table import SlotTable
from .timer_queue import TimerQueue

# Part of the pod's idle timeout after which a connection is retired, before the pod closes it.
RETIRED_IDLE_FRACTION = 0.8
# How long a connection is read from after its attempt was given up: a response may be on its way.
LINGER_AFTER_GIVE_UP: Ticks = 5_000
# Between two looks at whether a connection is to be retired.
CHECK_INTERVAL: Ticks = 10_000
# After a response: a second one may come some milliseconds late, and responses carry no id.
REST_AFTER_RESPONSE: Ticks = 100

# It makes a Connector, whose fields are filled in after it was made.
_make_connector: Callable[..., Any] = PodConnector


class Attempt(Protocol):
    """What is carried to a pod, one at a time on a connection."""

    @property
    def endpoint(self) -> Any:
        """The pod as it was listed when the attempt was decided on."""

    def may_be_written(self, address: str, /) -> bool:
        """Returns whether it still may be written to this address."""

    def write_to(self, connection: Any, /) -> object:
        """Writes it to a connection."""

    def withdraw(self) -> object:
        """Ends it before anything of it was written."""

    def not_connected(self, broken: BrokenConnection, /) -> object:
        """Ends it: no connection came up for it."""


class PooledConnection(Protocol):
    """A connection as the pools use it.

    Attributes:
        attempt: The attempt that it carries or carried last; None while it is idle.
        written: Whether the attempt is written completely.
        slot: Its number among the open connections.
        last_used_at: When it was last made idle.
        reusable_at: No attempt is written to it before.
        timers: The numbers of its timers; the first one checks whether it is to be retired.
        transport: Twisted's transport.
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
        """What it came up by."""

    @property
    def pending_response(self) -> object:
        """What is told of the response; None where none is awaited."""

    def is_clean(self) -> bool:
        """Returns whether nothing has come since the last response."""

    def is_self_connected(self) -> bool:
        """Returns whether both of its ends are this process."""

    def drop(self, reason: str, /) -> object:
        """Ends it, and the attempt on it."""

    def give_up(self) -> object:
        """Ends its attempt; what is on its way back is still read."""


class Connector(Protocol):
    """One attempt to connect.

    Attributes:
        pool: Where the connection belongs.
        deadline: The number of the timer that stops it.
        failed: A Deferred that fires with a BrokenConnection where it fails.
    """

    pool: "ConnectionPool"
    deadline: int | None
    failed: Any


class UnwrittenAttempt(NamedTuple):
    """An attempt that is not written completely: it has not run."""

    attempt: Attempt
    address: str
    """Where it is meant to go."""


class ConnectionPool:
    """The connections of this sidecar to one pod at one address.

    Attributes:
        pod: The pod's identifier.
        address: Where it listens: host:port.
        idle: Its idle connections, the one used last at the end.
        waiting: The attempts that wait for a connection, the eldest first.
        dialling: How many connections are being dialled.
        due: The number of the timer at which a connection has rested.
    """

    def __init__(self, pod: str, address: str) -> None:
        self.pod = pod
        self.address = address
        self.idle: list[PooledConnection] = []
        self.waiting: deque[Attempt] = deque()
        self.dialling = 0
        self.due: int | None = None


class ConnectionPools:
    """Carries attempts to pods, one at a time on a connection.

    An attempt is asked to write_to(connection) when it has one and may_be_written(address) still
    holds, else to withdraw(). It is told not_connected(broken) where no connection comes up.

    Attributes:
        timers: The timers of the program.
        connection_limits: The settings that bound connections.
        max_connections: How many connections may be open or dialled at once.
        fault: fault(where, error) is told of errors of the program.
        by_pod: The pool of each pod.
        connections: All open connections.
        dialling: How many connections are being dialled.
    """

    def __init__(
        self,
        reactor: Any,
        timers: TimerQueue,
        connection_limits: ConnectionLimits,
        most: int,
        fault: Callable[[str, Exception], object],
    ) -> None:
        self.timers = timers
        self.connection_limits = connection_limits
        self.max_connections = most
        self.fault = fault
        self.by_pod: dict[str, ConnectionPool] = {}
        self.connections: SlotTable[PooledConnection] = SlotTable()
        self.dialling = 0
        self._reactor = reactor

    def __len__(self) -> int:
        return len(self.connections) + self.dialling

    def send(self, pod: str, address: str, attempt: Attempt) -> bool:
        """Writes an attempt to the idle connection used last that has rested, or dials for it.

        Returns:
            False where one more connection would be too many; nothing was done then.
        """
        pool = self.by_pod.get(pod)
        if pool is None:
            pool = self.by_pod[pod] = ConnectionPool(pod, address)
        connection = None if pool.waiting else self._take_rested(pool)
        if connection:
            self._write(attempt, connection)
            return True
        if len(self) >= self.max_connections and not self._close_least_recently_used():
            return False
        pool.waiting.append(attempt)
        self._dial(pool)
        self._serve_waiting(pool)
        return True

    def _take_rested(self, pool: ConnectionPool) -> PooledConnection | None:
        """Takes the idle connection used last on which nothing came while it rested, if any."""
        now = self.timers.clock()
        for connection in pool.idle[::-1]:
            if now < connection.reusable_at:
                continue
            if now >= self._retires_at(connection):  # its timer may be a little late
                self._close([connection])
            elif connection.is_clean():
                pool.idle.remove(connection)
                return connection
            else:
                connection.drop("more came than was asked for, or the end")
        return None

    def _retires_at(self, connection: PooledConnection) -> Ticks:
        # A new connection is kept for the attempt that it was dialled for, however short the
        # idle timeout is.
        idle_time = int(RETIRED_IDLE_FRACTION * self.connection_limits.idle_timeout)
        return connection.last_used_at + max(REST_AFTER_RESPONSE, idle_time)

    def _serve_waiting(self, pool: ConnectionPool) -> None:
        """Writes the attempts that wait, the eldest first, while connections have rested."""
        while pool.waiting:
            if not pool.waiting[0].may_be_written(pool.address):
                pool.waiting.popleft().withdraw()
            elif connection := self._take_rested(pool):
                self._write(pool.waiting.popleft(), connection)
            else:
                break
        self.timers.cancel(pool.due)
        if pool.waiting and pool.idle:
            rested_at = min(connection.reusable_at for connection in pool.idle)
            pool.due = self.timers.add(rested_at, self._serve_waiting, pool)

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
        """Fails the eldest waiting attempt, unless another dial serves it."""
        if len(pool.waiting) > pool.dialling:
            pool.waiting.popleft().not_connected(broken)

    def connection_opened(self, connection: PooledConnection) -> None:
        """A connection has come up."""
        self._dial_ended(connection.connector)
        connection.slot = self.connections.add(connection)
        connection.last_used_at = self.timers.clock()
        if connection.is_self_connected():
            connection.drop("a dial that has reached itself")
        else:
            self._set_idle(connection, 0)
            self._check_idle(connection)
        # A pod that is full, or ending, may say so before anything is asked: such a connection
        # carries nothing.
        self._fail_unserved(
            connection.connector.pool,
            BrokenConnection(NOT_CONNECTED, "nothing to carry an attempt came up"),
        )

    def response_received(self, connection: PooledConnection) -> None:
        """Its attempt has its response: it rests, and whatever comes meanwhile ends it."""
        self._set_idle(connection, REST_AFTER_RESPONSE)

    def _set_idle(self, connection: PooledConnection, rest: Ticks) -> None:
        """Has a connection serve the attempts that wait or will come, after this rest."""
        connection.last_used_at = self.timers.clock()
        connection.attempt = None
        connection.reusable_at = connection.last_used_at + rest
        pool = connection.connector.pool
        if self.by_pod.get(pool.pod) is not pool:
            connection.drop("its pod has gone or moved")
            return
        pool.idle.append(connection)
        self._serve_waiting(pool)

    def connection_closing(self, connection: PooledConnection) -> None:
        """A connection ends: no attempt is written to it any more."""
        if connection in connection.connector.pool.idle:
            connection.connector.pool.idle.remove(connection)

    def connection_lost(self, connection: PooledConnection) -> None:
        """A connection has ended."""
        self.connection_closing(connection)
        self.connections.remove(connection.slot)
        for timer in connection.timers:
            self.timers.cancel(timer)

    def _check_idle(self, connection: PooledConnection) -> None:
        """Retires a connection that has been idle for too long, or checks again later."""
        if self.connections.get(connection.slot) is not connection:
            return
        now = self.timers.clock()
        retires_at = self._retires_at(connection)
        if connection.pending_response is None and now >= retires_at:
            self._close([connection])
        else:
            next_check = max(retires_at, now + CHECK_INTERVAL)
            connection.timers[:1] = [self.timers.add(next_check, self._check_idle, connection)]

    def give_up(self, attempt: Attempt, connection: PooledConnection | None) -> None:
        """Ends an attempt at once, whether it waits or is out on this connection."""
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
        """Returns the attempts that wait for a connection or are not written completely."""
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
        """Closes what is held to other pods than these, or to other addresses of them.

        An attempt that is out on a connection there may end. None waits for such a connection: it
        was withdrawn before.
        """
        for pod in [pod for pod, pool in self.by_pod.items() if addresses.get(pod) != pool.address]:
            self.close_idle(pod)
            del self.by_pod[pod]

    def _close(self, connections: Iterable[PooledConnection]) -> None:
        for connection in connections:
            self.connection_closing(connection)
            connection.transport.loseConnection()

    def _close_least_recently_used(self) -> bool:
        """Closes the idle connection that was used longest ago; returns whether there is one."""
        idle = [pool.idle[0] for pool in self.by_pod.values() if pool.idle]
        self._close(sorted(idle, key=lambda connection: connection.last_used_at)[:1])
        return bool(idle)
