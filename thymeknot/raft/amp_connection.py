"""A typed base class for Twisted's AMP protocol, which Twisted annotates only in part."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import connectionDone
from twisted.protocols import amp
from twisted.python.failure import Failure


class AmpConnection(amp.AMP):
    """A connection that carries AMP commands. Subclasses override `on_open` and `on_close`."""

    transport: Any

    def __init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]  # Twisted's

    def on_open(self) -> None:
        """Called when the connection is established."""

    def on_close(self) -> None:
        """Called when the connection is lost."""

    def connectionMade(self) -> None:  # noqa: N802  # Twisted's name
        """Disables Nagle's algorithm, so that small messages are sent at once."""
        super().connectionMade()  # type: ignore[no-untyped-call]  # Twisted's
        self.transport.setTcpNoDelay(True)
        self.on_open()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802  # Twisted's
        """Fails the calls that wait for an answer."""
        super().connectionLost(reason)  # type: ignore[no-untyped-call]  # Twisted's
        self.on_close()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802  # Twisted's name
        """Parses received bytes."""
        super().dataReceived(data)  # type: ignore[no-untyped-call]  # Twisted's

    def ampBoxReceived(self, box: amp.AmpBox) -> None:  # noqa: N802  # Twisted's name
        """Dispatches a complete box."""
        super().ampBoxReceived(box)  # type: ignore[no-untyped-call]  # Twisted's

    def call(self, command: type[amp.Command], **arguments: Any) -> Deferred[Any]:
        """Calls a command of the other end.

        Returns:
            A Deferred of the answer, or None for a command without an answer.
        """
        answer: Deferred[Any] = self.callRemote(  # type: ignore[no-untyped-call]  # Twisted's
            command, **arguments
        )
        return answer

    def abort(self) -> None:
        """Closes the connection at once and discards unsent data."""
        self.transport.abortConnection()
