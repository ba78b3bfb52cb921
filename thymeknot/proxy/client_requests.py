"""Accepts requests from clients and sends the responses."""

from typing import TYPE_CHECKING

from ..interface.actions import Fail, Reject
from ..interface.clock import Ticks
from ..interface.events import ClientDisconnected, RequestReceived
from ..interface.settings import RequestClass
from ..protocol import resp
from ..protocol.client import ClientConnection
from ..protocol.command import Command
from ..protocol.write_progress import peer_has_closed
from ..service import structured_log
from .attempt import BUSY
from .in_flight import OVERDUE_MARGIN, InFlightRequest, RequestTable

if TYPE_CHECKING:
    from .proxy import Proxy

UNKNOWN_CLASS_RESPONSE = resp.failure("ERR no such lane")
"""Response to a request whose class is not in the settings."""

FAILED_RESPONSE = resp.failure("ERR abandoned")
"""Response to a request that has failed and may have run."""


def close_if_client_gone(request: InFlightRequest) -> None:
    """Closes the request's connection if its client has disconnected.

    The reactor may not have reported the close yet, or reading may be paused.
    """
    if not request.closed and peer_has_closed(request.connection.transport):
        request.connection.readConnectionLost()


class ClientRequests:
    """Passes requests from the clients' connections to the decision engine, and responses back.

    Attributes:
        proxy: Passes events to the engine.
        table: The requests in flight.
        timers: All timers of the program.
        clock: Returns the monotonic time, in ticks.
    """

    def __init__(self, proxy: "Proxy", table: RequestTable) -> None:
        self.proxy = proxy
        self.table = table
        self.timers = proxy.timers
        self.clock = proxy.clock

    def client_disconnected(self, connection: ClientConnection) -> None:
        """Ends the requests of a connection whose client has disconnected."""
        proxy = self.proxy
        for request in self.table.by_slot if connection.pending_responses else ():
            if request.connection is connection and not request.closed:
                request.closed = True
                attempts = request.attempts
                if proxy.why is not None:
                    proxy.why.request_answered(request.id, proxy.why.left_reason)
                proxy.handle_events(ClientDisconnected(request.id))
                # Also without permission to cancel, since these were not completely written.
                for attempt in attempts:
                    if attempt.in_flight and not attempt.written():
                        attempt.withdraw()
                request_class = proxy.settings.request_classes[request.command.request_class]
                self.table.block_id(request, attempts, request_class.idempotency)
                self.table.release(request)

    def accept(self, connection: ClientConnection, sequence: int, command: Command) -> None:
        """Accepts a request, or responds at once with the reason for not accepting it."""
        request_id = command.id.decode()
        request_class = self.proxy.settings.request_classes.get(command.request_class)
        if request_class is None:
            connection.answer(sequence, UNKNOWN_CLASS_RESPONSE)
            return
        self._release_if_first_client_gone(request_id)
        if connection.client_gone:  # the earlier request had arrived on this connection
            return
        if request_id in self.table.by_id or self.table.id_may_have_run(request_id):
            self._accept_repeat(request_id, connection, sequence, command)
            return
        time_left = self._time_left(command, request_class)
        has_room = self.table.memory.allows(connection, command.size())
        if self._is_full() or not has_room or time_left <= 0:
            reason = "memory" if not has_room else "time over" if time_left <= 0 else "max_open"
            self.proxy.listener.count_event(f"request refused: {reason}")
            connection.answer(sequence, resp.failure(BUSY))
            return
        self._begin(request_id, connection, sequence, command, time_left)

    def _release_if_first_client_gone(self, request_id: str) -> None:
        """Releases an earlier request with this id if its client has disconnected."""
        earlier = self.table.find(request_id) if request_id in self.table.by_id else None
        if earlier is not None:
            close_if_client_gone(earlier)

    def _is_full(self) -> bool:
        """Returns whether requests in flight and blocked ids have reached `max_open`."""
        occupied = len(self.table.by_slot) + len(self.table.may_have_run)
        return occupied >= self.proxy.connection_limits.max_open

    def _time_left(self, command: Command, request_class: RequestClass) -> Ticks:
        """Returns the ticks left for the request, at most the outer limit of its class."""
        time_left = min(command.timeout_ms * 10, request_class.outer_limit)
        answer_by = self.proxy.shutdown.answer_by
        return time_left if answer_by is None else min(time_left, answer_by - self.clock())

    def _begin(
        self,
        request_id: str,
        connection: ClientConnection,
        sequence: int,
        command: Command,
        time_left: Ticks,
    ) -> None:
        """Registers a request and reports it to the engine."""
        proxy = self.proxy
        now = connection.last_used_at = self.clock()
        request = InFlightRequest(request_id, command, connection, sequence, now + time_left)
        self.table.add(request)
        request.overdue_timer = self.timers.add(
            request.expires_at + OVERDUE_MARGIN, self._overdue, request
        )
        key = command.key.decode() or None
        proxy.exposure.count_received(now, command.request_class)
        if proxy.why is not None:
            proxy.why.request_received(request_id, command)
        proxy.handle_events(
            RequestReceived(
                request_id,
                command.request_class,
                command.tenant,
                key,
                time_left,
                None,
                command.is_retry,
                False,
            )
        )

    def _accept_repeat(
        self, request_id: str, connection: ClientConnection, sequence: int, command: Command
    ) -> None:
        """Handles a request whose id was used before.

        A client sends a request again if its connection closed before the response arrived. If
        attempts of the first copy are still in flight, their result is the response. If the first
        copy may have run, the request is not sent to an endpoint again.
        """
        proxy = self.proxy
        request = self.table.find(request_id)
        if request is None:
            connection.answer(sequence, resp.failure("ERR this id may have run already"))
            return
        if (
            not request.closed
            or not request.connection.client_gone
            or request.command[:3] != command[:3]
        ):
            connection.answer(sequence, resp.failure("ERR this id is in hand already"))
            return
        now = self.clock()
        request.connection = connection
        request.sequence = sequence
        request.closed = False
        request.repeated = True
        request_class = proxy.settings.request_classes[request.command.request_class]
        request.expires_at = now + min(command.timeout_ms * 10, request_class.outer_limit)
        self.timers.cancel(request.overdue_timer)
        request.overdue_timer = self.timers.add(
            request.expires_at + OVERDUE_MARGIN, self._overdue, request
        )

    def _overdue(self, request: InFlightRequest) -> None:
        """Fails a request to which the engine has not responded in time."""
        if not request.closed:
            structured_log.log("request overdue", id=request.id, out=request.attempts_in_flight)
            self._abandon(request)

    def fail_all(self) -> None:
        """Fails all requests in flight, as the process ends before their deadlines."""
        for request in self.table.by_slot:
            if not request.closed:
                self._abandon(request)

    def _abandon(self, request: InFlightRequest) -> None:
        """Fails a request to which the engine has not responded, and tells the engine."""
        proxy = self.proxy
        if proxy.why is not None:
            proxy.why.request_answered(request.id, proxy.why.abandoned_reason)
        self.answer(request, FAILED_RESPONSE)
        proxy.handle_events(ClientDisconnected(request.id))

    def answer(self, request: InFlightRequest | None, content: bytes) -> None:
        """Sends a request its final response, unless it is closed."""
        proxy = self.proxy
        if request and not request.closed:
            request.closed = True
            request.connection.answer(request.sequence, content)
            self.table.release(request)
            if proxy.why is not None and not request.attempts_in_flight:
                proxy.why.request_finished(request.id)

    def reject(self, action: Reject) -> None:
        """Sends the final response of a request that certainly had no effect."""
        milliseconds = -(-action.retry_after // 10)
        content = resp.failure(f"{BUSY} {milliseconds}" if milliseconds else BUSY)
        self.answer(self.table.find(action.id), content)

    def fail(self, action: Fail) -> None:
        """Sends the final response of a request that may have run."""
        self.answer(self.table.find(action.id), FAILED_RESPONSE)
