"""Incoming connections of a node: the handshake, and the signed messages received on them."""

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
"""The AMP commands that the other end may call, by name."""
MAX_UNREAD_BYTES = 4 * 65_536
"""Maximum size of an incomplete AMP box: four values of the maximum length in AMP."""


class MessageReceiver(Protocol):
    """Handles the messages of all incoming connections."""

    connections: "set[IncomingConnection]"

    def accept(self, address: Any) -> "IncomingConnection | None":
        """Returns the protocol for a connection from this address, or None to reject it."""

    def count_rejected(self, kind: str, reason: str) -> None:
        """Counts a rejected connection or message under `kind`."""

    def verify(self, session: bytes, last_number: int, signed: SignedArguments) -> SignedMessage:
        """Verifies and decodes a signed message.

        Args:
            session: Session id of the connection.
            last_number: Sequence number of the last message in this session.
            signed: Arguments of the AMP command.

        Raises:
            MessageError: The message is not valid on this connection.
        """

    def handle_peer_message(self, message: SignedMessage) -> None:
        """Handles a message between nodes."""

    def handle_client_request(self, message: SignedMessage) -> Deferred[dict[str, Any]]:
        """Handles a client's command or query; returns a Deferred of the body of the reply."""

    def sign_reply(
        self, request: SignedMessage, session: bytes, reply_body: dict[str, Any]
    ) -> SignedArguments:
        """Returns the arguments of a signed reply."""


class IncomingConnection(AmpConnection):
    """A connection that a peer or client opened to this node."""

    def __init__(self, server: MessageReceiver) -> None:
        super().__init__()
        self._server = server
        self._session: bytes | None = None
        self._last_number = 0  # highest sequence number received in this session
        self._unread_bytes = 0  # of the box that is being received

    def on_open(self) -> None:
        """Registers this connection with the receiver."""
        self._server.connections.add(self)

    def on_close(self) -> None:
        """Removes this connection from the receiver."""
        self._server.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802  # Twisted's name
        """Parses received bytes; aborts the connection if a box is too long."""
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES:
            self._server.count_rejected("oversized", "an incomplete box exceeds the size limit")
            self.abort()
            return
        super().dataReceived(data)

    def ampBoxReceived(self, box: amp.AmpBox) -> None:  # noqa: N802  # Twisted's name
        """Dispatches a complete box if it is a valid call.

        Other boxes are rejected here, because AMP would log a traceback for them.
        """
        self._unread_bytes = 0
        error = _call_error(box)
        if error is None:
            super().ampBoxReceived(box)
        else:
            self._server.count_rejected("nonsense", error)
            self.abort()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802  # Twisted's name
        """Aborts the connection because a key of a box exceeds AMP's length limit."""
        self._server.count_rejected("nonsense", f"a key of {length} bytes exceeds AMP's limit")
        self.abort()

    def _verify(self, signed: SignedArguments) -> SignedMessage:
        if self._session is None:
            raise MessageError("nonsense", "no greeting came first")  # clients receive this text
        message = self._server.verify(self._session, self._last_number, signed)
        self._last_number = message.number
        return message

    @Hello.responder
    def handle_hello(self, nonce: bytes) -> dict[str, bytes]:
        """Completes the handshake: the session id consists of the nonces of both ends."""
        if self._session is not None or len(nonce) != NONCE_BYTES:
            self._server.count_rejected(
                "nonsense", "a second handshake, or a nonce of the wrong length"
            )
            raise RequestRejectedError("greeted before")  # the other end receives this text
        own_nonce = new_nonce()
        self._session = nonce + own_nonce
        return {"nonce": own_nonce}

    @DeliverMessage.responder
    def handle_deliver(self, key: bytes, content: bytes, signature: bytes) -> dict[str, bytes]:
        """Handles a message between nodes."""
        try:
            message = self._verify({"key": key, "content": content, "signature": signature})
            self._server.handle_peer_message(message)
        except MessageError as error:
            self._server.count_rejected(error.kind, str(error))
        return {}

    @ClientRequest.responder
    def handle_request(
        self, key: bytes, content: bytes, signature: bytes
    ) -> Deferred[SignedArguments]:
        """Handles a client's command or query and returns a Deferred of the signed reply."""
        try:
            message = self._verify({"key": key, "content": content, "signature": signature})
            reply = self._server.handle_client_request(message)
        except MessageError as error:
            self._server.count_rejected(error.kind, str(error))
            raise RequestRejectedError(str(error)) from None
        session = self._session or b""
        return reply.addCallback(lambda body: self._server.sign_reply(message, session, body))


def _call_error(box: amp.AmpBox) -> str | None:
    """Returns why a box is not a valid call of a command, or None if it is one.

    Answers are rejected as well, since this end makes no calls.
    """
    if amp.ANSWER in box or amp.ERROR in box or amp.COMMAND not in box:
        return "the box is not a call"
    command = COMMANDS.get(box[amp.COMMAND])
    if command is None:
        return "the command is unknown"
    if any(name not in box for name, _ in command.arguments):
        return "the call lacks an argument of the command"
    return None


class IncomingFactory(Factory):
    """Creates the protocols of the connections that the server accepts."""

    noisy = False

    def __init__(self, server: MessageReceiver) -> None:
        self._server = server

    def buildProtocol(self, addr: Any) -> IncomingConnection | None:  # noqa: N802  # Twisted's
        """Returns the protocol of a connection, or None to close it."""
        return self._server.accept(addr)
