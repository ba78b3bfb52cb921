"""HTTP calls that each use a connection of their own for one request and one response."""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from ..interface.clock import Ticks
from . import http
from .write_progress import NOT_CONNECTED, BrokenConnection, RequestWriter

MAX_REASON_LENGTH: Final = 200
"""Maximum characters of a logged reason, which may quote unreadable input of any length."""


class Reply(NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes


class Call(RequestWriter, Protocol):
    """The protocol of one call.

    Attributes:
        done: Fires once with a Reply or a BrokenConnection; None from then on, when the connection
            is closed.
        connector: Twisted's connector, set by the caller once it exists.
    """

    def __init__(self, request: bytes) -> None:
        self.request = request
        self.done: Deferred[Reply | BrokenConnection] | None = Deferred()
        self.connector: Any = None
        self.parser = http.Parser()
        self.status = 0
        self.body = bytearray()

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.write_request(self.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        try:
            for part in self.parser.feed(data):
                if self.done is None:
                    return
                self._handle_part(part)
        except Exception as error:  # unreadable input must only end this connection
            self._finish(self.broken_connection(f"unreadable: {error}"[:MAX_REASON_LENGTH]))

    def _handle_part(self, part: http.Part) -> None:
        if isinstance(part, http.Head):
            self.status = part.status
        elif isinstance(part, http.Body):
            self.body += part.content
            if len(self.body) > http.MAX_BODY_BYTES:
                raise http.MalformedHttpError("response body too large")
        else:
            self._finish(Reply(self.status, bytes(self.body)))

    def connect_overdue(self) -> None:
        """Stops connecting if the connection was not established in time."""
        if self.transport is None and self.done is not None:
            self.connector.stopConnecting()

    def give_up(self, reason: str) -> None:
        """Ends the call without a reply, for this reason."""
        if self.transport is None:
            self.connector.stopConnecting()
        else:
            self._finish(self.broken_connection(reason))

    def _finish(self, result: Reply | BrokenConnection) -> None:
        self.transport.abortConnection()
        self.complete(result)

    def complete(self, result: Reply | BrokenConnection) -> None:
        """Fires `done` with the result of the call, unless it has fired."""
        done = self.done
        self.done = None
        if done is not None:
            done.callback(result)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        if reason.check(ConnectionDone):
            for part in self.parser.end_of_stream():
                self._handle_part(part)
        self.complete(self.broken_connection(reason.getErrorMessage()))


class Connector(ClientFactory):
    """Factory for one connection attempt.

    Calls on_failure with a BrokenConnection if the connection can't be established.
    """

    noisy = False

    def __init__(self, protocol: Protocol, on_failure: Callable[[BrokenConnection], None]) -> None:
        self.protocol_instance = protocol
        self.on_failure = on_failure

    def buildProtocol(self, address: Any) -> Protocol:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        return self.protocol_instance

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.on_failure(BrokenConnection(NOT_CONNECTED, reason.getErrorMessage()))


class HttpCaller:
    """Makes calls to one address, each on a new connection: a reused idle one might be closed.

    Attributes:
        address: The host and port.
        host: The value of the Host header.
        calls_in_flight: The number of calls without a result.
    """

    MAX_CALLS_IN_FLIGHT = 16
    """The platform accepts 32 connections from a sidecar."""

    def __init__(
        self, reactor: Any, timers: Any, address: tuple[str, int], connect_timeout: Ticks
    ) -> None:
        self.reactor = reactor
        self.timers = timers
        self.address = address
        self.connect_timeout = connect_timeout
        self.host = f"{address[0]}:{address[1]}"
        self.calls_in_flight = 0

    def dial(
        self,
        protocol: Protocol,
        on_failure: Callable[[BrokenConnection], None],
        on_timeout: Callable[[], None],
    ) -> Any:
        """Connects; calls on_timeout once the connect timeout is over, connected or not."""
        connector = self.reactor.connectTCP(
            *self.address, Connector(protocol, on_failure), timeout=None
        )
        self.timers.add(self.timers.clock() + self.connect_timeout, on_timeout)
        return connector

    def call(self, request: bytes, timeout: Ticks) -> Deferred[Reply | BrokenConnection]:
        """Returns a Deferred that fires with a Reply or a BrokenConnection within the timeout."""
        if self.calls_in_flight >= self.MAX_CALLS_IN_FLIGHT:
            return succeed(BrokenConnection(NOT_CONNECTED, "too many calls at once"))
        call = Call(request)
        done = call.done
        assert done is not None  # a new call has not ended
        self.calls_in_flight += 1
        call.connector = self.dial(call, call.complete, call.connect_overdue)
        timeout_timer = self.timers.add(
            self.timers.clock() + timeout, call.give_up, "no response in time"
        )

        def finished(result: Reply | BrokenConnection) -> Reply | BrokenConnection:
            self.calls_in_flight -= 1
            self.timers.cancel(timeout_timer)
            return result

        return done.addCallback(finished)
