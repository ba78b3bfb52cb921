"""Closes the clients' listening port without resetting connections that are being established."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, maybeDeferred

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..protocol.listening_socket import count_unfinished_handshakes, drop_connection_requests
from .backlog_rejection import reject_backlog
from .client_listener import LISTEN_BACKLOG, ClientListener

HANDSHAKE_CHECK_INTERVAL: Ticks = 50
"""Ticks between two checks whether the handshakes that have begun are complete."""

MAX_HANDSHAKE_TIME: Ticks = TICKS_PER_SECOND // 4
"""Ticks in which a handshake that has begun may complete.

A client's kernel repeats a lost segment after 0.2 s."""

ASSUMED_HANDSHAKE_TIME: Ticks = 30
"""Ticks given to all handshakes together where the kernel does not tell which are unfinished."""


class ListenerCloser:
    """Closes a listener's port once, without resetting connections that are being established.

    New connection requests are dropped; the handshakes that have begun complete, and their
    connections are accepted; then the port closes. The clients of these handshakes may see their
    connections established and send requests, which the close of the port would reset.

    Attributes:
        listener: The listener whose port is closed.
        closed: Fires with None once the port is closed.
    """

    def __init__(
        self, listener: ClientListener, on_closed: Callable[[], None], deadline: Ticks | None
    ) -> None:
        """Closes the port in the next event loop turn if no handshake is unfinished by then.

        Args:
            listener: The listener whose port is closed.
            on_closed: Called just before `closed` fires.
            deadline: When the port closes whatever is unfinished, in ticks; None without one.
        """
        self.listener = listener
        self.timers = listener.timers
        self.clock = listener.clock
        self.closed: Deferred[None] = Deferred()
        self._on_closed = on_closed
        self._deadline = deadline
        self._give_up_at: Ticks = 0
        # Runs before the port closes, which Twisted schedules for the same turn.
        listener.reactor.callLater(0, self._await_handshakes)
        self._closing = self._close_port()

    def _close_port(self) -> Deferred[Any]:
        """Returns the scheduled close of the port, which can be cancelled."""
        closing = maybeDeferred(self.listener.port.stopListening)
        closing.addCallbacks(self._finish, lambda failure: failure.trap(CancelledError))
        return closing

    def _finish(self, _: object) -> None:
        self._on_closed()
        self.closed.callback(None)

    def _await_handshakes(self) -> None:
        """Drops new requests, and postpones the close if a handshake is unfinished."""
        if self.closed.called:
            return
        drop_connection_requests(self.listener.port.socket)
        unfinished = self._accept_finished()
        if unfinished == 0:
            return
        self._closing.cancel()
        patience = ASSUMED_HANDSHAKE_TIME if unfinished is None else MAX_HANDSHAKE_TIME
        self._give_up_at = self.clock() + patience
        if self._deadline is not None:
            self._give_up_at = min(self._give_up_at, self._deadline)
        self._check_later()

    def _accept_finished(self) -> int | None:
        """Accepts the whole backlog; what finds no place is rejected.

        Returns:
            How many handshakes were unfinished before that; None if the kernel does not tell. If
            none was, no further connection can come.
        """
        unfinished = count_unfinished_handshakes(self.listener.port.socket)
        if not self.listener.accepting_paused:
            self.listener.accept_all()
        if self.listener.accepting_paused:
            reject_backlog(self.listener.port.socket, LISTEN_BACKLOG)
        return unfinished

    def _check_later(self) -> None:
        check_at = min(self.clock() + HANDSHAKE_CHECK_INTERVAL, self._give_up_at)
        self.timers.add(check_at, self._check_handshakes)

    def _check_handshakes(self) -> None:
        unfinished = self._accept_finished()
        if unfinished != 0 and self.clock() < self._give_up_at:
            self._check_later()
            return
        self._closing = self._close_port()
