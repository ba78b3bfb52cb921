"""A connection to an endpoint, which carries one attempt at a time.

An attempt's result is always a value; failures are not raised.
"""

import socket
from collections.abc import Callable
from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol

from . import resp
from .pod_response import PodResponse, ResponseParser, read_response
from .write_progress import NOT_CONNECTED, BrokenConnection, RequestWriter, is_receive_buffer_empty

MAX_VALUE_BYTES: Final = 512 * 1024
"""Maximum size of a value: the protocol allows 64 KiB, but endpoints sent up to 400,000 bytes."""
MAX_RESPONSE_BYTES: Final = MAX_VALUE_BYTES + 64 * 1024
"""Maximum size of a whole response; a larger one is treated as endless."""


def ignore(*_: Any) -> None:
    """Does nothing: the default callback for the start of a response."""


class PodConnection(RequestWriter, Protocol):
    """One connection to an endpoint.

    It calls its owner with connection_opened(connection), response_received(connection) after a
    response that leaves it reusable, connection_closing(connection), connection_lost(connection),
    exceeds_memory(connection, size) with the size of a partial response, and fault(where, error)
    for an unexpected exception.

    Attributes:
        owner: The connection pools, which are notified as described above.
        connector: The factory that made this connection.
        parser: Parses the responses.
        pending_response: Fires with the result of the current attempt; None if there is none.
        on_response_started: Called when a response has begun to arrive.
        given_up: Whether the attempt has been given up, and the sending side is shut down.
        slot: Set by the owner: the connection's key in its table.
        last_used_at: Set by the owner: when the connection became idle.
        reusable_at: Set by the owner: the earliest time of the next attempt.
        timers: Set by the owner: timers to cancel when the connection is lost.
        attempt: Set by the owner: the current attempt.
    """

    def __init__(self, owner: Any, connector: "PodConnector") -> None:
        self.owner = owner
        self.connector = connector
        self.parser = ResponseParser(MAX_VALUE_BYTES)
        self.pending_response: Deferred[PodResponse | BrokenConnection] | None = None
        self.on_response_started: Callable[[], None] = ignore
        self.given_up = False
        self.slot: Any = None
        self.last_used_at: Any = None
        self.reusable_at: Any = None
        self.timers: list[int] = []
        self.attempt: Any = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.owner.connection_opened(self)

    def is_clean(self) -> bool:
        """Returns whether neither data nor a close has arrived since the last response."""
        return is_receive_buffer_empty(self.transport)

    def is_self_connected(self) -> bool:
        """Returns whether the connection is connected to itself.

        If nothing listens on a port of this machine, the kernel may choose that port as the source
        of the connection (TCP simultaneous open). Whatever is written then comes back, and would be
        read as a response.
        """
        try:
            return bool(self.transport.getHost() == self.transport.getPeer())
        except (OSError, TypeError):  # already closed, or the transport has no addresses
            return False

    def send_command(
        self, words: list[bytes], on_response_started: Callable[[], None] = ignore
    ) -> "Deferred[PodResponse | BrokenConnection]":
        """Sends a command and returns a Deferred of a PodResponse or a BrokenConnection.

        Args:
            words: The words of the command.
            on_response_started: Called before the Deferred fires, once a response has arrived in
                part or is unreadable: the endpoint has begun to write it.
        """
        pending: Deferred[PodResponse | BrokenConnection] = Deferred()
        self.pending_response = pending
        self.on_response_started = on_response_started
        self.write_request(resp.command(words))
        return pending

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        try:
            self._read(data)
        except Exception as error:  # a bug here must only cost this connection
            self.owner.fault("pod connection", error)
            self.drop("fault")

    def _read(self, data: bytes) -> None:
        messages, error = self._parse(data)
        if self.pending_response is None or not self.written:
            self.drop("unsolicited response")
            return
        response = self._first_response(messages, error)
        if response is not None:
            excess_data = error is not None or len(messages) > 1
            self._complete(self.pending_response, response, excess_data)
            return
        if not self.parser.begins_with(b"-"):
            on_response_started = self.on_response_started
            self.on_response_started = ignore
            on_response_started()
        if error or messages:
            self.drop(error or "unreadable response")
        elif self.owner.exceeds_memory(self, self.parser.buffered_bytes):
            self.drop("no memory for the rest of the response")

    def _first_response(self, messages: list[Any], error: str | None) -> PodResponse | None:
        """Returns the response that has arrived; None if it is incomplete or invalid.

        Args:
            messages: The complete messages that have arrived.
            error: The error after them, if any.
        """
        if messages:
            return read_response(messages[0])
        return self.parser.response_before_error() if error else None

    def _parse(self, data: bytes) -> tuple[list[Any], str | None]:
        """Returns the messages that this data completes, and the error after them, if any."""
        messages: list[Any] = []
        error = None
        try:
            messages += self.parser.feed(data)
        except resp.MalformedRespError as malformed:
            error = f"unreadable response: {malformed}"
        if self.parser.buffered_bytes > MAX_RESPONSE_BYTES:
            error = error or f"response larger than {MAX_RESPONSE_BYTES} bytes"
        return messages, error

    def _complete(
        self,
        pending: "Deferred[PodResponse | BrokenConnection]",
        response: PodResponse,
        excess_data: bool,
    ) -> None:
        """Reports the response; the connection can be reused if nothing else has arrived."""
        self.pending_response = None
        # Even a late response is reported, since it proves that the request was executed.
        try:
            if self.given_up or excess_data or self.parser.buffered_bytes or not self.is_clean():
                self.drop("data after the response, or closed by the endpoint")
            else:
                self.on_response_started = (
                    ignore  # an idle connection must not keep the attempt alive
                )
                self.owner.response_received(self)
        finally:  # the response counts, whatever happens to the connection
            pending.callback(response)

    def drop(self, reason: str) -> None:
        """Aborts the connection; an attempt without a response fails."""
        # connectionLost follows a turn of the event loop later; nothing may be written until then.
        self.owner.connection_closing(self)
        self.transport.abortConnection()
        self._fail(reason)
        # Frees buffers and the attempt, since the closed connection may be referenced for longer.
        self.parser = ResponseParser(0)
        self.on_response_started = ignore
        self.attempt = None

    def give_up(self) -> None:
        """Gives up the attempt at once, since another one may be written next.

        An attempt counts as in flight while its connection is open for sending, so the sending side
        is shut down. A response that is on its way is still read, until the owner closes the
        connection.
        """
        self.given_up = True
        if not self.written:
            self.drop("given up")
            return
        try:
            self.transport.getHandle().shutdown(socket.SHUT_WR)
        except OSError:
            self.drop("given up")

    def _fail(self, reason: str) -> None:
        pending = self.pending_response
        self.pending_response = None
        if pending is not None:
            pending.callback(self.broken_connection(reason))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted.

        A response that is not complete by now is a failure of the connection, whatever has arrived
        of it: the end of the value is known only by what follows it.
        """
        self.owner.connection_lost(self)
        self._fail(reason.getErrorMessage())


class PodConnector(ClientFactory):
    """Factory for one connection attempt.

    Attributes:
        owner: The owner of the connection.
        pool: Set by the owner: the pool that the connection is for.
        failed: Fires with a BrokenConnection if the connection can't be established.
        deadline: Set by the owner: the timer of the connect timeout.
    """

    noisy = False

    def __init__(self, owner: Any, pool: Any) -> None:
        self.owner = owner
        self.pool = pool
        self.failed: Deferred[BrokenConnection] = Deferred()
        self.deadline: int | None = None

    def buildProtocol(self, address: Any) -> PodConnection:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.failed = Deferred()  # the callbacks of the former one refer to this factory
        return PodConnection(self.owner, self)

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted.

        Its connector and the transport refer to each other, and would both be kept until the next
        full garbage collection.
        """
        connector.transport = None

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.failed.callback(BrokenConnection(NOT_CONNECTED, reason.getErrorMessage()))
