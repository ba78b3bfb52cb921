"""The channel to one node: an outgoing connection, opened on demand, for signed messages."""

from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import HostnameEndpoint, connectProtocol
from twisted.python.failure import Failure

from .amp_connection import AmpConnection
from .errors import MessageError
from .message_codec import (
    PEER,
    REPLY,
    ClientRequest,
    DeliverMessage,
    Hello,
    SignedArguments,
    Signer,
    Verifier,
    decode_mapping,
    new_nonce,
    open_message,
    sign_message,
)

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout for establishing the TCP connection, and again for the handshake."""
STALL_TIMEOUT_SECONDS = 2.0
"""How long the send buffer may stay full before the connection is considered half-open."""


class Address(NamedTuple):
    """The address that a node listens on."""

    host: str
    port: int


class _Connection(AmpConnection):
    """An outgoing connection. Messages are dropped while its send buffer is full."""

    def __init__(self, on_lost: Callable[["_Connection"], None]) -> None:
        super().__init__()
        self.buffer_full = False
        self._on_lost = on_lost

    def on_open(self) -> None:
        """Registers as a producer, so that the transport reports when its buffer is full."""
        self.transport.registerProducer(self, True)

    def on_close(self) -> None:
        """Notifies the channel."""
        self._on_lost(self)

    def pauseProducing(self) -> None:  # noqa: N802  # Twisted's name
        """Called when the send buffer is full."""
        self.buffer_full = True

    def resumeProducing(self) -> None:  # noqa: N802  # Twisted's name
        """Called when the send buffer has room again."""
        self.buffer_full = False

    def stopProducing(self) -> None:  # noqa: N802  # Twisted's name
        """Called when the connection is lost."""


class PeerChannel:
    """The channel to one node. Each connection has its own session.

    Args:
        reactor: Twisted's event loop.
        name: Name of the node.
        address: Host and port of the node.
        identity: The identity that this instance signs with.
        keyring: Returns the current keyring.
        unix_time: Returns the Unix time in seconds.
    """

    def __init__(  # noqa: PLR0917  # other packages pass them by position
        self,
        reactor: Any,
        name: str,
        address: tuple[str, int],
        identity: Signer,
        keyring: Callable[[], Verifier],
        unix_time: Callable[[], float],
    ) -> None:
        self.name = name
        self._reactor = reactor
        self._address = Address(*address)
        self._identity = identity
        self._keyring = keyring
        self._unix_time = unix_time
        self._connection: _Connection | None = None
        self._connecting = False
        self._session = b""
        self._number = 0  # sequence number of the last message in this session
        self._full_since: float | None = None

    def send(self, body: bytes) -> None:
        """Sends a message between nodes, or drops it if nothing can be sent now."""
        signed = self._sign(PEER, body)
        if signed and self._connection:
            self._connection.call(DeliverMessage, **signed)

    def send_request(self, kind: int, body: bytes) -> Deferred[dict[str, Any]] | None:
        """Sends a command or query.

        Returns:
            A Deferred of the body of the reply, or None if nothing can be sent now. It fails with
            RequestRejectedError, MessageError or an error of the connection.
        """
        signed = self._sign(kind, body)
        if not signed or not self._connection:
            return None
        session = self._session
        number = self._number

        def verify(reply: SignedArguments) -> dict[str, Any]:
            return self._verify_reply(session, number, reply)

        answer: Deferred[SignedArguments] = self._connection.call(ClientRequest, **signed)
        return answer.addCallback(verify)

    def close(self) -> None:
        """Aborts the connection, if there is one."""
        if self._connection:
            self._connection.abort()

    def _verify_reply(self, session: bytes, number: int, reply: SignedArguments) -> dict[str, Any]:
        """Returns the body of a reply after checking that it belongs to the request `number`."""
        name = self._identity.name
        message = open_message(
            self._keyring(), self._unix_time(), name, session, number - 1, **reply
        )
        if message.sender != self.name or message.kind != REPLY or message.number != number:
            raise MessageError(
                "misled", f"the reply of {message.sender} does not belong to the request"
            )
        return decode_mapping(message.body)

    def _sign(self, kind: int, body: bytes) -> SignedArguments | None:
        """Returns the signed arguments to send, or None if nothing can be sent now."""
        connection = self._connection
        if connection is None:
            if not self._connecting:
                self._connect()
            return None
        if connection.buffer_full:
            now: float = self._reactor.seconds()
            self._full_since = self._full_since or now
            if now - self._full_since > STALL_TIMEOUT_SECONDS:
                connection.abort()
            return None
        self._full_since = None
        self._number += 1
        return sign_message(self._identity, self.name, self._session, self._number, kind, body)

    def _connect(self) -> None:
        self._connecting = True
        endpoint = HostnameEndpoint(
            self._reactor, self._address.host, self._address.port, CONNECT_TIMEOUT_SECONDS
        )
        connected: Deferred[_Connection] = connectProtocol(  # type: ignore[no-untyped-call]  # Twisted's
            endpoint, _Connection(self._connection_lost)
        )
        connected.addCallbacks(self._start_handshake, self._connect_failed)

    def _start_handshake(self, connection: _Connection) -> None:
        """Exchanges nonces with the other end; both together are the session id."""
        nonce = new_nonce()
        timeout = self._reactor.callLater(CONNECT_TIMEOUT_SECONDS, connection.abort)

        def handshake_completed(answer: dict[str, bytes]) -> None:
            if timeout.active():
                timeout.cancel()
            self._connection = connection
            self._session = nonce + answer["nonce"]
            self._number = 0
            self._connecting = False

        def handshake_failed(failure: Failure) -> None:
            if timeout.active():
                timeout.cancel()
            connection.abort()
            self._connect_failed(failure)

        connection.call(Hello, nonce=nonce).addCallbacks(handshake_completed, handshake_failed)

    def _connect_failed(self, _: Failure) -> None:
        self._connecting = False

    def _connection_lost(self, connection: _Connection) -> None:
        if connection is self._connection:
            self._connection = None
            self._full_since = None
