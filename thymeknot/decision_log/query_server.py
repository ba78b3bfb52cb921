"""The decision log as a feature of the proxy: its record, and the server that answers queries."""

import os
import stat
from collections.abc import Callable
from typing import Any, Final, Optional, Protocol

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.reasons import Reason
from ..service import structured_log
from ..state.random_source import LinearCongruentialGenerator
from .entry_codec import SLOT_BYTES
from .query_connection import QueryConnection
from .recorder import Recorder
from .settings import DecisionLogSettings
from .slot_file import SlotFile

MAX_CONNECTIONS: Final = 8
"""Open at one time: queries are for a few operators, and each connection takes descriptors."""
BACKLOG: Final = 8
"""Connections that wait to be accepted."""
SOCKET_MODE: Final = 0o600
"""Of a Unix socket: the record holds keys and tenants."""
UNIX_PREFIX: Final = "unix:"
UPKEEP_INTERVAL: Final[Ticks] = TICKS_PER_SECOND // 2
"""Between two rounds in which transactions that are over are recorded."""
SEED_SALT: Final = 0x77
"""So that the sample's random numbers are not those of the decisions, which have the same seed."""


class QueryServerError(ValueError):
    """Settings that can't be put to use here. The text begins with the faulty key."""


class HostProxy(Protocol):
    """What the feature needs of the proxy."""

    start: Any
    """Its name, seed and configuration."""
    settings: Any
    """Of the decisions, with the request classes."""
    reactor: Any
    """Twisted's."""
    timers: Any
    """The timer queue."""
    clock: Callable[[], Ticks]
    epoch: Ticks
    """Unix time less the clock's."""
    rejections: Any
    """Hears every reason, and passes it on to `then`."""


class ConnectionFactory(Factory):
    """Makes the connections as Twisted asks for them."""

    noisy = False

    def __init__(self, connection: Callable[[], Optional[QueryConnection]]) -> None:
        self._connection = connection

    def buildProtocol(  # noqa: N802 (Twisted's name)
        self, addr: Any
    ) -> Optional[QueryConnection]:
        """Returns a connection, or None to refuse it."""
        return self._connection()


class DecisionLogFeature:
    """What the proxy calls: `request_received`, `request_answered` and `request_finished`.

    The decisions' reasons go to the record.

    Attributes:
        done_reason: The reason of a final answer by an endpoint.
        left_reason: The reason of a client that went away.
        abandoned_reason: The reason of a transaction that was given up.
    """

    def __init__(self, proxy: HostProxy, settings: DecisionLogSettings, folder: str) -> None:
        """Opens the record and listens.

        Raises:
            QueryServerError: It can't listen at the address that is set.
        """
        self.settings = settings
        self.reactor = proxy.reactor
        self.clock = proxy.clock
        self.timers = proxy.timers
        self.connections = 0
        self.last_steps_seconds = 0.0
        path = None
        if settings.directory:
            path = os.path.join(folder, settings.directory, f"{proxy.start.name}.why")
        slots = settings.megabytes * 1_000_000 // SLOT_BYTES
        self.slot_file = SlotFile(slots, path, structured_log.log)
        self.record = Recorder(
            settings,
            proxy.settings.request_classes,
            self.slot_file,
            epoch=proxy.epoch,
            clock=proxy.clock,
            random_source=LinearCongruentialGenerator(proxy.start.seed ^ SEED_SALT),
        )
        self.request_answered = self.record.request_answered
        self.request_finished = self.record.request_finished
        self.done_reason = Reason.DONE
        self.left_reason = Reason.LEFT
        self.abandoned_reason = Reason.ABANDONED
        proxy.rejections.next_listener = self.record.record_reason
        try:
            self.port = self._listen(folder)
        except (CannotListenError, OSError) as error:
            raise QueryServerError(f"why.listen: {error}") from None
        self._log_opened()
        self._upkeep()

    def _listen(self, folder: str) -> Any:
        factory = ConnectionFactory(self._connection)
        address = self.settings.listen
        if address.startswith(UNIX_PREFIX):
            path = os.path.join(folder, address[len(UNIX_PREFIX) :])
            if os.path.exists(path) and stat.S_ISSOCK(os.stat(path).st_mode):
                # A former run's, on which nobody listens: a name belongs to one instance.
                os.unlink(path)
            return self.reactor.listenUNIX(path, factory, backlog=BACKLOG, mode=SOCKET_MODE)
        host, _, port = address.rpartition(":")
        return self.reactor.listenTCP(
            int(port), factory, backlog=BACKLOG, interface=host.strip("[]")
        )

    def _log_opened(self) -> None:
        bound = self.port.getHost()  # port 0 stands for any free one
        listen = f"{bound.host}:{bound.port}" if hasattr(bound, "port") else self.settings.listen
        structured_log.log(
            "decision log opened",
            listen=listen,
            slots=self.slot_file.slots,
            file=self.slot_file.path,
            recovered=self.record.recovered_entries,
            torn=self.record.torn_slots,
        )

    def _connection(self) -> Optional[QueryConnection]:
        if self.connections >= MAX_CONNECTIONS:
            return None
        self.connections += 1
        return QueryConnection(self)

    def _upkeep(self) -> None:
        self.record.flush(self.clock())
        self.timers.add(self.clock() + UPKEEP_INTERVAL, self._upkeep)

    def request_received(self, name: str, command: Any) -> None:
        """The proxy has taken a client's command under this id."""
        self.record.request_received(
            name,
            command.key.decode() or None,
            command.tenant,
            command.request_class,
            command.is_retry,
        )

    def reconfigure(self, settings: DecisionLogSettings, folder: str) -> None:
        """Every setting waits for the next start."""

    def stop(self) -> None:
        """Records what is over at once; other transactions are recorded as they end."""
        self.record.flush(self.clock(), 0)
