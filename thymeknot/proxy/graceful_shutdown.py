"""Drains the clients' connections, permanently or temporarily, and resumes service."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import CannotListenError

from ..interface.clock import Ticks
from .client_listener import ClientListener
from .in_flight import OVERDUE_MARGIN
from .listener_closer import ListenerCloser

READ_GRACE_PERIOD = 300
"""Ticks between the last accept and the first close, in which received data is still read."""

CLOSE_AFTER_LAST_RESPONSE = 500
"""Ticks after the deadline of the last response when nothing more is awaited from clients."""

MIN_TIME_TO_ANSWER = 400
"""Ticks after the last accept in which connections are not closed early, at the least."""

MAX_CLOSE_TIME = 500
"""Ticks after that in which connections may close; those that are still open are aborted."""

BACKLOG_ACCEPT_TIMEOUT = 10_000
"""Ticks after the start of a drain in which connections beyond the limit are still accepted.

They wait in the kernel's backlog until another client's connection closes."""


def _noop() -> None:
    """Does nothing; replaces a callback that has been called."""


class GracefulShutdown:
    """Stops a listener without refusing or disconnecting a client or leaving it unanswered.

    Attributes:
        listener: The listener to drain.
        on_drained: Called once the port and all connections are closed; None while it serves.
        answer_by: When the process may be killed after a stop signal, in ticks; None without one.
        listener_closed: A Deferred that fires once the port is closed; None while it serves.
    """

    def __init__(self, listener: ClientListener, fail_requests: Callable[[], None]) -> None:
        """Creates it for a listener that serves.

        Args:
            listener: The listener to drain.
            fail_requests: Gives all requests in flight their final response.
        """
        self.listener = listener
        self._fail_requests = fail_requests
        self.reactor = listener.reactor
        self.timers = listener.timers
        self.clock = listener.clock
        self.on_drained: Callable[[], None] | None = None
        self.answer_by: Ticks | None = None
        self.listener_closed: Deferred[Any] | None = None
        self._stop_waiting_at: Ticks | None = None  # when nothing more is awaited from clients
        self._limit_timer: int | None = None
        self._port_closing = False  # from the decision to close the port until it is closed
        self._close_timer: int | None = None
        self._finish_timer: int | None = None
        self._undrain_token: object | None = None  # the latest undrain, until a drain
        listener.shutdown = self

    def is_draining(self) -> bool:
        """Returns whether a drain has begun and was not undone."""
        return self.on_drained is not None

    def clients_finishing(self) -> bool:
        """Returns whether connections close as soon as their responses are sent."""
        return self.on_drained is not None and self._finish_timer is None

    def limit_responses(self, answer_by: Ticks) -> None:
        """Has each request answered by then, in ticks: the process is to end."""
        self.answer_by = answer_by
        # A request that has been accepted already may have a later deadline.
        self.timers.add(answer_by + OVERDUE_MARGIN, self._fail_requests)

    def drain(self, on_drained: Callable[[], None], answer_by: Ticks | None = None) -> None:
        """Stops accepting new work, and closes each client's connection after its responses.

        Args:
            on_drained: Called once the port and all connections are closed.
            answer_by: When the process may be killed, in ticks; requests that are still accepted
                get their response before.
        """
        self.on_drained = on_drained
        self.answer_by = answer_by
        self._undrain_token = None
        if answer_by is not None:
            self._limit_waits(answer_by)
        if not self.listener_closed:
            self.listener_closed = Deferred()
            close_at = self.clock() + BACKLOG_ACCEPT_TIMEOUT
            if self._stop_waiting_at is not None:
                close_at = min(close_at, self._stop_waiting_at)
            self._close_timer = self.timers.add(close_at, self._close_listener)
            self.accept_rest()
        self.timers.cancel(self._finish_timer)
        self._finish_timer = self.timers.add(self.clock() + READ_GRACE_PERIOD, self._finish_clients)

    def _limit_waits(self, answer_by: Ticks) -> None:
        """Schedules the end of all connections, which no timer of a connection can postpone."""
        # Late enough for what has just been accepted to be read and answered.
        self._stop_waiting_at = max(
            answer_by + CLOSE_AFTER_LAST_RESPONSE, self.clock() + MIN_TIME_TO_ANSWER
        )
        self.timers.cancel(self._limit_timer)
        self._limit_timer = self.timers.add(self._stop_waiting_at, self._stop_waiting)

    def accept_rest(self) -> None:
        """Closes the port once the backlog is accepted; at the connection limit the rest waits."""
        self.listener.accepting_paused = False
        self.listener.accept_all()
        if not self.listener.accepting_paused:
            self._close_listener()

    def _close_listener(self) -> None:
        """Closes the port, even if some connections still wait to be accepted.

        Otherwise a continuous stream of new clients would delay the shutdown forever.
        """
        self.timers.cancel(self._close_timer)
        self.listener.listening = False
        self._port_closing = True
        closed = self.listener_closed
        assert closed is not None  # created when the drain began
        closer = ListenerCloser(self.listener, self._port_closed, self._stop_waiting_at)
        closer.closed.chainDeferred(closed)

    def _port_closed(self) -> None:
        self._port_closing = False
        self.notify_if_drained()

    def undrain(self, on_listening: Callable[[], None], on_failure: Callable[[str], None]) -> None:
        """Accepts new work again; connections that were closing still close.

        If it is drained again before the port is open, it stays drained and neither callback is
        called.

        Args:
            on_listening: Called once the port is open.
            on_failure: Called with the reason if the port cannot be opened.
        """
        self.timers.cancel(self._finish_timer)
        self.timers.cancel(self._limit_timer)
        self._stop_waiting_at = None
        self.on_drained = None
        self.answer_by = None
        self.listener.accepting_paused = False
        token = self._undrain_token = object()
        if self.listener.listening:  # connections still wait to be accepted
            self.timers.cancel(self._close_timer)
            self.listener_closed = None
            self.listener.port.startReading()
            on_listening()
            return
        assert self.listener_closed is not None  # set by the drain, which has closed the port
        self.listener_closed.addCallback(self._reopen_listener, token, on_listening, on_failure)

    def _reopen_listener(
        self,
        _: object,
        token: object,
        on_listening: Callable[[], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Opens the closed port again, unless another drain has begun since."""
        if self._undrain_token is not token:
            return
        self.listener_closed = None
        try:
            self.listener.serve()
        except CannotListenError as error:
            self.listener_closed = succeed(None)
            on_failure(str(error))
            return
        on_listening()

    def _finish_clients(self) -> None:
        self._finish_timer = None
        for connection in self.listener.clients:
            connection.finish()
        self.notify_if_drained()

    def _stop_waiting(self) -> None:
        """Closes the port and the connections without waiting for clients; the process exits."""
        if self.listener.listening:
            self._close_listener()
        for connection in self.listener.clients:
            connection.stop_waiting()
        # Counted from now, so that a delay until here does not take the time to send the responses.
        self._limit_timer = self.timers.add(self.clock() + MAX_CLOSE_TIME, self._abort_connections)

    def _abort_connections(self) -> None:
        """Aborts the connections that are still open, so that the process exits in time."""
        for connection in self.listener.clients:
            connection.abort()

    def notify_if_drained(self) -> None:
        """Calls `on_drained`, once, if the port and all connections are closed."""
        port_open = self.listener.listening or self._port_closing
        if self.on_drained and not self.listener.clients and not port_open:
            on_drained = self.on_drained
            self.on_drained = _noop
            on_drained()
