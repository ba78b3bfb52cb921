"""HTTP calls with one response each, on connections of their own."""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from ..interface.clock import Ticks
from . import http
from .write_progress import NOT_CONNECTED, BrokenConnection, WholeWriter

MAX_REASON_LENGTH: Final = 200
"""Characters of a reason: what could not be read may be long."""


class Reply(NamedTuple):
    """A complete response."""

    status: int
    body: bytes


class Call(WholeWriter, Protocol):
    """One call on a connection.

    `done` fires with a Reply or a BrokenConnection; then the connection ends.
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
        self.write_whole(self.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        try:
            for part in self.parser.feed(data):
                if self.done is None:
                    return
                self._part(part)
        except Exception as error:  # what can't be read ends this connection alone
            self._finish(self.how_far(f"unreadable: {error}"[:MAX_REASON_LENGTH]))

    def _part(self, part: http.Part) -> None:
        if isinstance(part, http.Head):
            self.status = part.status
        elif isinstance(part, http.Body):
            self.body += part.content
            if len(self.body) > http.MOST_BODY:
                raise http.MalformedHttpError("an answer that is too large")
        else:
            self._finish(Reply(self.status, bytes(self.body)))

    def connect_overdue(self) -> None:
        """Gives up a connection that did not come up in time."""
        if self.transport is None and self.done is not None:
            self.connector.stopConnecting()

    def give_up(self, reason: str) -> None:
        """Ends the call without a reply."""
        if self.transport is None:
            self.connector.stopConnecting()
        else:
            self._finish(self.how_far(reason))

    def _finish(self, end: Reply | BrokenConnection) -> None:
        self.transport.abortConnection()
        self.broken(end)

    def broken(self, end: Reply | BrokenConnection) -> None:
        """Tells the end of the call, once."""
        done = self.done
        self.done = None
        if done is not None:
            done.callback(end)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        if reason.check(ConnectionDone):
            for part in self.parser.closed():
                self._part(part)
        self.broken(self.how_far(reason.getErrorMessage()))


class Connector(ClientFactory):
    """One attempt to connect; failed(BrokenConnection) where it does not come up."""

    noisy = False

    def __init__(self, made: Protocol, failed: Callable[[BrokenConnection], None]) -> None:
        self.made = made
        self.failed = failed

    def buildProtocol(self, address: Any) -> Protocol:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        return self.made

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.failed(BrokenConnection(NOT_CONNECTED, reason.getErrorMessage()))


class HttpCaller:
    """Calls to one address, each on a connection of its own: an idle one may be closed under it."""

    MOST = 16
    """Calls at once; the platform holds 32 connections of a sidecar."""

    def __init__(
        self, reactor: Any, timers: Any, address: tuple[str, int], connect_within: Ticks
    ) -> None:
        self.reactor = reactor
        self.timers = timers
        self.address = address
        self.connect_within = connect_within
        self.host = f"{address[0]}:{address[1]}"
        self.calls_in_flight = 0
        """Calls in flight."""

    def dial(
        self,
        protocol: Protocol,
        failed: Callable[[BrokenConnection], None],
        late: Callable[[], None],
    ) -> Any:
        """Connects; late() is to end what has not come up within the connect timeout."""
        connector = self.reactor.connectTCP(
            *self.address, Connector(protocol, failed), timeout=None
        )
        self.timers.add(self.timers.clock() + self.connect_within, late)
        return connector

    def call(self, request: bytes, within: Ticks) -> Deferred[Reply | BrokenConnection]:
        """The Deferred fires with a Reply or a BrokenConnection within the time."""
        if self.calls_in_flight >= self.MOST:
            return succeed(BrokenConnection(NOT_CONNECTED, "too many calls at once"))
        call = Call(request)
        done = call.done
        assert done is not None  # a new call has not ended
        self.calls_in_flight += 1
        call.connector = self.dial(call, call.broken, call.connect_overdue)
        late = self.timers.add(self.timers.clock() + within, call.give_up, "no answer in time")

        def finished(end: Reply | BrokenConnection) -> Reply | BrokenConnection:
            self.calls_in_flight -= 1
            self.timers.cancel(late)
            return end

        return done.addCallback(finished)
