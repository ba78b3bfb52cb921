"""A connection that somebody made to this node: the greeting, and signed messages."""

from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.protocols import amp

from .amp_connection import AmpConnection
from .errors import MessageError, RequestRejectedError
from .message_codec import (
    NONCE_BYTES,
    ClientRequest,
    DeliverMessage,
    Hello,
    SignedArguments,
    SignedMessage,
    new_nonce,
)

COMMANDS: dict[bytes, type[amp.Command]] = {
    command.commandName: command for command in (Hello, DeliverMessage, ClientRequest)
}
"""What the other end may call."""
MAX_UNREAD_BYTES = 4 * 65_536
"""Of one AMP box: four values of the longest that AMP has."""


class MessageReceiver(Protocol):
    """What takes the messages of all connections."""

    connections: "set[IncomingConnection]"

    def accept(self, address: Any) -> "IncomingConnection | None":
        """A connection from this address, or None if it is rejected."""

    def reject(self, kind: str, reason: str) -> None:
        """Counts what can't be accepted."""

    def open(self, session: bytes, last: int, signed: SignedArguments) -> SignedMessage:
        """Opens a message of a connection."""

    def deliver(self, message: SignedMessage) -> None:
        """Takes a message between nodes."""

    def ask(self, message: SignedMessage) -> Deferred[dict[str, Any]]:
        """Takes a client's command or query; gives what it is told."""

    def sign_answer(
        self, request: SignedMessage, session: bytes, told: dict[str, Any]
    ) -> SignedArguments:
        """The arguments of a signed answer."""


class IncomingConnection(AmpConnection):
    """A connection that somebody made to this node."""

    def __init__(self, server: MessageReceiver) -> None:
        super().__init__()
        self._server = server
        self._session: bytes | None = None
        self._last_number = 0  # the highest that this connection brought
        self._unread_bytes = 0  # of the box that is being received

    def opened(self) -> None:
        """Registers this connection with the receiver."""
        self._server.connections.add(self)

    def closed(self) -> None:
        """Removes this connection from the receiver."""
        self._server.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802  # Twisted's name
        """Takes bytes, unless a box has too many of them."""
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES:
            self._server.reject("oversized", "a box without an end")
            self.abort()
            return
        super().dataReceived(data)

    def ampBoxReceived(self, box: amp.AmpBox) -> None:  # noqa: N802  # Twisted's name
        """Takes a box that is complete.

        One that AMP can't take would end in a traceback of its own.
        """
        self._unread_bytes = 0
        fault = _fault_of(box)
        if fault is None:
            super().ampBoxReceived(box)
        else:
            self._server.reject("nonsense", fault)
            self.abort()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802  # Twisted's name
        """Ends the connection."""
        self._server.reject("nonsense", f"a key of {length} bytes")
        self.abort()

    def _open(self, signed: SignedArguments) -> SignedMessage:
        if self._session is None:
            raise MessageError("nonsense", "no greeting came first")
        message = self._server.open(self._session, self._last_number, signed)
        self._last_number = message.number
        return message

    @Hello.responder
    def hello(self, nonce: bytes) -> dict[str, bytes]:
        """Agrees on the session."""
        if self._session is not None or len(nonce) != NONCE_BYTES:
            self._server.reject("nonsense", "a greeting that came twice, or of another length")
            raise RequestRejectedError("greeted before")
        own_nonce = new_nonce()
        self._session = nonce + own_nonce
        return {"nonce": own_nonce}

    @DeliverMessage.responder
    def deliver(self, key: bytes, content: bytes, signature: bytes) -> dict[str, bytes]:
        """Takes a message between nodes."""
        try:
            message = self._open({"key": key, "content": content, "signature": signature})
            self._server.deliver(message)
        except MessageError as error:
            self._server.reject(error.kind, str(error))
        return {}

    @ClientRequest.responder
    def ask(self, key: bytes, content: bytes, signature: bytes) -> Deferred[SignedArguments]:
        """Takes a client's command or query."""
        try:
            message = self._open({"key": key, "content": content, "signature": signature})
            answer = self._server.ask(message)
        except MessageError as error:
            self._server.reject(error.kind, str(error))
            raise RequestRejectedError(str(error)) from None
        session = self._session or b""
        return answer.addCallback(lambda told: self._server.sign_answer(message, session, told))


def _fault_of(box: amp.AmpBox) -> str | None:
    """Why a box is no call of a command; None if it is one.

    This end makes no calls, so it is owed no answers.
    """
    if amp.ANSWER in box or amp.ERROR in box or amp.COMMAND not in box:
        return "a box that is no call"
    command = COMMANDS.get(box[amp.COMMAND])
    if command is None:
        return "an unknown command"
    if any(name not in box for name, _ in command.arguments):
        return "a call without all its arguments"
    return None


class IncomingFactory(Factory):
    """Makes the connections that the server accepts."""

    noisy = False

    def __init__(self, server: MessageReceiver) -> None:
        self._server = server

    def buildProtocol(self, addr: Any) -> IncomingConnection | None:  # noqa: N802  # Twisted's
        """The protocol of a connection, or None to close it."""
        return self._server.accept(addr)
