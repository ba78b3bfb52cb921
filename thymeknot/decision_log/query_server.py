"""The decision log as a feature of the proxy: the recorder and the query server."""

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
"""Maximum open connections: there are few operators, and each connection needs descriptors."""
ACCEPT_BACKLOG: Final = 8
"""The maximum number of connections that wait to be accepted."""
SOCKET_MODE: Final = 0o600
"""The mode of a Unix socket: only the owner, since the log contains keys and tenants."""
UNIX_PREFIX: Final = "unix:"
FLUSH_INTERVAL: Final[Ticks] = TICKS_PER_SECOND // 2
"""The interval at which finished requests are stored."""
SEED_SALT: Final = 0x77
"""Makes the random numbers for sampling differ from the engine's, which has the same seed."""


class QueryServerError(ValueError):
    """Settings that can't be applied on this host. The message begins with the key."""


class HostProxy(Protocol):
    """The part of the proxy that the feature uses."""

    start: Any
    """The start configuration, with the instance's name and seed."""
    settings: Any
    """The settings of the decision engine, with the request classes."""
    reactor: Any
    """The Twisted reactor."""
    timers: Any
    """The timer queue."""
    clock: Callable[[], Ticks]
    epoch: Ticks
    """Unix time minus the clock's time."""
    rejections: Any
    """Receives every reason and passes it to `next_listener`."""


class ConnectionFactory(Factory):
    """Creates the connections for Twisted."""

    noisy = False

    def __init__(self, create_connection: Callable[[], Optional[QueryConnection]]) -> None:
        self._create_connection = create_connection

    def buildProtocol(  # noqa: N802 (Twisted's name)
        self, addr: Any
    ) -> Optional[QueryConnection]:
        """Returns a new connection, or None to refuse it."""
        return self._create_connection()


class DecisionLogFeature:
    """The feature as the proxy uses it.

    The proxy calls `request_received`, `request_answered` and `request_finished`; the decision
    engine passes its reasons to the recorder.

    Attributes:
        settings: The settings of the decision log.
        connections: The number of open connections.
        last_steps_seconds: The duration of the last steps of a query.
        slot_file: Stores the entries.
        recorder: Collects reasons and finds entries.
        request_answered: Records the final response to a request.
        request_finished: Records that no attempt of a request is in flight any more.
        done_reason: The reason of a response from an endpoint.
        left_reason: The reason of a request whose client disconnected.
        abandoned_reason: The reason of a request that failed.
        port: The listening port.
    """

    def __init__(self, proxy: HostProxy, settings: DecisionLogSettings, folder: str) -> None:
        """Opens the log and starts to listen.

        Args:
            proxy: The proxy that uses the feature.
            settings: The settings of the decision log.
            folder: The directory of the operator file, to which paths are relative.

        Raises:
            QueryServerError: The server can't listen on the configured address.
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
        self.recorder = Recorder(
            settings,
            proxy.settings.request_classes,
            self.slot_file,
            epoch=proxy.epoch,
            clock=proxy.clock,
            random_source=LinearCongruentialGenerator(proxy.start.seed ^ SEED_SALT),
        )
        self.request_answered = self.recorder.request_answered
        self.request_finished = self.recorder.request_finished
        self.done_reason = Reason.DONE
        self.left_reason = Reason.LEFT
        self.abandoned_reason = Reason.ABANDONED
        proxy.rejections.next_listener = self.recorder.record_reason
        try:
            self.port = self._listen(folder)
        except (CannotListenError, OSError) as error:
            raise QueryServerError(f"why.listen: {error}") from None
        self._log_opened()
        self._flush_periodically()

    def _listen(self, folder: str) -> Any:
        factory = ConnectionFactory(self._create_connection)
        address = self.settings.listen
        if address.startswith(UNIX_PREFIX):
            path = os.path.join(folder, address[len(UNIX_PREFIX) :])
            if os.path.exists(path) and stat.S_ISSOCK(os.stat(path).st_mode):
                # The socket of an earlier process: names are unique, so no other instance uses it.
                os.unlink(path)
            return self.reactor.listenUNIX(path, factory, backlog=ACCEPT_BACKLOG, mode=SOCKET_MODE)
        host, _, port = address.rpartition(":")
        return self.reactor.listenTCP(
            int(port), factory, backlog=ACCEPT_BACKLOG, interface=host.strip("[]")
        )

    def _log_opened(self) -> None:
        bound_address = self.port.getHost()  # the port may be configured as 0, for any free port
        listen = (
            f"{bound_address.host}:{bound_address.port}"
            if hasattr(bound_address, "port")
            else self.settings.listen
        )
        structured_log.log(
            "decision log opened",
            listen=listen,
            slots=self.slot_file.slots,
            file=self.slot_file.path,
            recovered=self.recorder.recovered_entries,
            torn=self.recorder.torn_slots,
        )

    def _create_connection(self) -> Optional[QueryConnection]:
        if self.connections >= MAX_CONNECTIONS:
            return None
        self.connections += 1
        return QueryConnection(self)

    def _flush_periodically(self) -> None:
        self.recorder.flush(self.clock())
        self.timers.add(self.clock() + FLUSH_INTERVAL, self._flush_periodically)

    def request_received(self, request_id: str, command: Any) -> None:
        """Called when the proxy has received a client's command."""
        self.recorder.request_received(
            request_id,
            command.key.decode() or None,
            command.tenant,
            command.request_class,
            command.is_retry,
        )

    def reconfigure(self, settings: DecisionLogSettings, folder: str) -> None:
        """Does nothing: changed settings take effect at the next start."""

    def stop(self) -> None:
        """Stores finished requests now; those still open are stored as they finish."""
        self.recorder.flush(self.clock(), 0)
