"""The way to one node: a connection that is opened when it is needed, and signed messages on it."""

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
"""For connecting, and again for the greeting."""
STALL_TIMEOUT_SECONDS = 2.0
"""How long a connection may take nothing; then it is thought half open."""


class Address(NamedTuple):
    """Where a node listens."""

    host: str
    port: int


class _Connection(AmpConnection):
    """An outgoing connection; what is sent while its buffer is full is lost, as on a network."""

    def __init__(self, lost: Callable[["_Connection"], None]) -> None:
        super().__init__()
        self.full = False
        self._lost = lost

    def opened(self) -> None:
        """Has the transport say when its buffer is full."""
        self.transport.registerProducer(self, True)

    def closed(self) -> None:
        """Tells the channel."""
        self._lost(self)

    def pauseProducing(self) -> None:  # noqa: N802  # Twisted's name
        """The buffer is full."""
        self.full = True

    def resumeProducing(self) -> None:  # noqa: N802  # Twisted's name
        """The buffer has room again."""
        self.full = False

    def stopProducing(self) -> None:  # noqa: N802  # Twisted's name
        """The connection is lost."""


class PeerChannel:
    """The way to one node, with a session of its own for each connection.

    Args:
        reactor: Twisted's.
        name: of the node.
        address: host and port.
        identity: what this instance signs with.
        ring: gives the keyring of now.
        unix: gives the Unix time in seconds.
    """

    def __init__(  # noqa: PLR0917  # other packages pass them by position
        self,
        reactor: Any,
        name: str,
        address: tuple[str, int],
        identity: Signer,
        ring: Callable[[], Verifier],
        unix: Callable[[], float],
    ) -> None:
        self.name = name
        self._reactor = reactor
        self._address = Address(*address)
        self._identity = identity
        self._ring = ring
        self._unix = unix
        self._connection: _Connection | None = None
        self._connecting = False
        self._session = b""
        self._number = 0  # of the last message in this session
        self._full_since: float | None = None

    def send(self, body: bytes) -> None:
        """Sends a message between nodes, or loses it."""
        signed = self._sign(PEER, body)
        if signed and self._connection:
            self._connection.call(DeliverMessage, **signed)

    def send_request(self, kind: int, body: bytes) -> Deferred[dict[str, Any]] | None:
        """Sends a command or query.

        Returns:
            A Deferred of the reply's mapping, or None where nothing can be sent now. It fails
            with RequestRejectedError, MessageError or what the network says.
        """
        signed = self._sign(kind, body)
        if not signed or not self._connection:
            return None
        session = self._session
        number = self._number

        def opened(reply: SignedArguments) -> dict[str, Any]:
            return self._open_reply(session, number, reply)

        sent: Deferred[SignedArguments] = self._connection.call(ClientRequest, **signed)
        return sent.addCallback(opened)

    def close(self) -> None:
        """Aborts the connection, if there is one."""
        if self._connection:
            self._connection.abort()

    def _open_reply(self, session: bytes, number: int, reply: SignedArguments) -> dict[str, Any]:
        name = self._identity.name
        message = open_message(self._ring(), self._unix(), name, session, number - 1, **reply)
        if message.sender != self.name or message.kind != REPLY or message.number != number:
            raise MessageError("misled", f"an answer of {message.sender} to another question")
        return decode_mapping(message.body)

    def _sign(self, kind: int, body: bytes) -> SignedArguments | None:
        """The arguments to send, or None where nothing can be sent now."""
        connection = self._connection
        if connection is None:
            if not self._connecting:
                self._connect()
            return None
        if connection.full:
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
            endpoint, _Connection(self._lost)
        )
        connected.addCallbacks(self._greet, self._failed)

    def _greet(self, connection: _Connection) -> None:
        """Agrees with the other end on the session."""
        nonce = new_nonce()
        timeout = self._reactor.callLater(CONNECT_TIMEOUT_SECONDS, connection.abort)

        def greeted(answer: dict[str, bytes]) -> None:
            if timeout.active():
                timeout.cancel()
            self._connection = connection
            self._session = nonce + answer["nonce"]
            self._number = 0
            self._connecting = False

        def failed(failure: Failure) -> None:
            if timeout.active():
                timeout.cancel()
            connection.abort()
            self._failed(failure)

        connection.call(Hello, nonce=nonce).addCallbacks(greeted, failed)

    def _failed(self, _: Failure) -> None:
        self._connecting = False

    def _lost(self, connection: _Connection) -> None:
        if connection is self._connection:
            self._connection = None
            self._full_since = None
