"""Twisted's AMP protocol with types. Twisted annotates it by half: what it leaves out is here."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import connectionDone
from twisted.protocols import amp
from twisted.python.failure import Failure


class AmpConnection(amp.AMP):
    """A connection that carries AMP commands. Subclasses override `opened` and `closed`."""

    transport: Any

    def __init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]  # Twisted's

    def opened(self) -> None:
        """The connection stands."""

    def closed(self) -> None:
        """The connection is lost."""

    def connectionMade(self) -> None:  # noqa: N802  # Twisted's name
        """Sends small messages at once."""
        super().connectionMade()  # type: ignore[no-untyped-call]  # Twisted's
        self.transport.setTcpNoDelay(True)
        self.opened()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802  # Twisted's
        """Fails the calls that wait for an answer."""
        super().connectionLost(reason)  # type: ignore[no-untyped-call]  # Twisted's
        self.closed()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802  # Twisted's name
        """Takes bytes."""
        super().dataReceived(data)  # type: ignore[no-untyped-call]  # Twisted's

    def ampBoxReceived(self, box: amp.AmpBox) -> None:  # noqa: N802  # Twisted's name
        """Takes a box that is complete."""
        super().ampBoxReceived(box)  # type: ignore[no-untyped-call]  # Twisted's

    def call(self, command: type[amp.Command], **arguments: Any) -> Deferred[Any]:
        """Calls the other end; gives a Deferred of its answer, or None where it sends none."""
        answer: Deferred[Any] = self.callRemote(  # type: ignore[no-untyped-call]  # Twisted's
            command, **arguments
        )
        return answer

    def abort(self) -> None:
        """Closes the connection at once."""
        self.transport.abortConnection()
