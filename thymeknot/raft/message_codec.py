"""Signed messages between nodes and their clients, and the AMP commands that carry them.

A signed message names its sender, its receiver, the session and a sequence number. Each end of a
new connection draws 16 bytes of the session id, so that a message recorded on another connection or
before a restart is not valid on this one; within a session sequence numbers must increase. Replies
are signed too, because a forged confirmation of a drain would do as much harm as a forged command.
Keys, names and revocation come from gossip's keyring.
"""

import secrets
from enum import IntEnum
from typing import Any, ClassVar, NamedTuple, Protocol, TypedDict

import msgspec
from twisted.protocols import amp

from .errors import MessageError, RequestRejectedError

NONCE_BYTES = 16
"""Size of each end's part of the session id."""
MAX_MESSAGE_BYTES = 60_000
"""Maximum size of the signed content; AMP limits a value to 65,535 bytes."""
MAX_SIGNED_MESSAGE_BYTES = MAX_MESSAGE_BYTES
"""Alias of `MAX_MESSAGE_BYTES` for the tests of `coordination`."""
SIGNATURE_CONTEXT = b"thymeknot fleet 1\0"
"""Signed before the content, so that a message can't pass for one of gossip's datagrams."""


class MessageKind(IntEnum):
    """Kind of the body of a signed message. The values are sent."""

    PEER = 0
    """A Raft message between nodes."""
    PROPOSE = 1
    """A client's command."""
    READ = 2
    """A client's query."""
    REPLY = 3
    """The reply to a command or a query."""


PEER = MessageKind.PEER
PROPOSE = MessageKind.PROPOSE
READ = MessageKind.READ
REPLY = MessageKind.REPLY


class SignedMessage(NamedTuple):
    """The content that is signed. Fields are sent by position, so their order must not change.

    Attributes:
        sender: Name of the node or client that signed the message.
        to: Name of the receiver.
        session: Session id of the connection.
        number: Sequence number, which increases with each message of a session.
        kind: A MessageKind.
        body: The encoded body; its format depends on `kind`.
    """

    sender: str
    to: str
    session: bytes
    number: int
    kind: int
    body: bytes


class SignedArguments(TypedDict):
    """Arguments of the AMP commands that carry a signed message.

    Attributes:
        key: Id of the signing key.
        content: The encoded SignedMessage.
        signature: Signature of `SIGNATURE_CONTEXT` followed by `content`.
    """

    key: bytes
    content: bytes
    signature: bytes


class Signer(Protocol):
    """The signing identity of this process, such as gossip's."""

    name: str
    key_id: bytes

    def sign(self, message: bytes) -> bytes:
        """Returns the signature of a message."""


class Verifier(Protocol):
    """The keyring that signatures are verified with, such as gossip's."""

    def owner(self, key_id: bytes, unix_time: float) -> str | None:
        """Returns the name that a key belongs to at this Unix time, or None."""

    def verifies(self, key_id: bytes, message: bytes, signature: bytes) -> bool:
        """Returns whether the signature of the message was made with the key."""


_STRING = amp.String()  # type: ignore[no-untyped-call]  # Twisted annotates it only in part


class Hello(amp.Command):
    """Handshake in which both ends exchange their parts of the session id."""

    commandName = b"Hello"  # noqa: N815  # Twisted's name; the value is sent
    arguments: ClassVar = [(b"nonce", _STRING)]
    response: ClassVar = [(b"nonce", _STRING)]
    # AMP logs undeclared exceptions with a traceback. A fatal error closes the connection.
    fatalErrors: ClassVar = {RequestRejectedError: b"REFUSED"}  # noqa: N815  # Twisted's name


class DeliverMessage(amp.Command):
    """Delivers a message between nodes. AMP sends no answer: responses are messages too."""

    commandName = b"Deliver"  # noqa: N815  # Twisted's name; the value is sent
    arguments: ClassVar = [
        (b"key", _STRING),
        (b"content", _STRING),
        (b"signature", _STRING),
    ]
    requiresAnswer = False  # noqa: N815  # Twisted's name


class ClientRequest(amp.Command):
    """Sends a client's command or query and returns the signed reply."""

    commandName = b"Ask"  # noqa: N815  # Twisted's name; the value is sent
    arguments: ClassVar = [
        (b"key", _STRING),
        (b"content", _STRING),
        (b"signature", _STRING),
    ]
    response: ClassVar = arguments
    errors: ClassVar = {RequestRejectedError: b"REFUSED"}


def new_nonce() -> bytes:
    """Draws one end's part of a session id."""
    return secrets.token_bytes(NONCE_BYTES)


def sign_message(  # noqa: PLR0917  # other packages pass them by position
    identity: Signer, receiver: str, session: bytes, number: int, kind: int, body: bytes
) -> SignedArguments:
    """Signs a message and returns the arguments of a DeliverMessage or ClientRequest.

    Raises:
        MessageError: The message is too long.
    """
    message = SignedMessage(identity.name, receiver, session, number, kind, body)
    content = msgspec.msgpack.encode(message)
    _check_length(content)
    return {
        "key": identity.key_id,
        "content": content,
        "signature": identity.sign(SIGNATURE_CONTEXT + content),
    }


def open_message(  # noqa: PLR0917  # other packages pass them by position
    keyring: Verifier,
    unix_time: float,
    receiver: str,
    session: bytes,
    last_number: int,
    key: bytes,
    content: bytes,
    signature: bytes,
) -> SignedMessage:
    """Verifies the signature, receiver, session and sequence number of a message.

    Args:
        keyring: The current keyring.
        unix_time: Unix time in seconds.
        receiver: Name of this node or client.
        session: Session id of the connection.
        last_number: Highest sequence number that was received on this connection.
        key: Id of the signing key.
        content: The signed content.
        signature: Signature of the content.

    Returns:
        The decoded message.

    Raises:
        MessageError: The message is oversized, forged, malformed, misaddressed or replayed.
    """
    _check_length(content)
    # The texts of these errors are sent to the peer in an AMP error, so they stay as they are.
    owner = keyring.owner(key, unix_time)
    if owner is None:
        raise MessageError("unknown", "the key is none of the ring's, or was revoked")
    if not keyring.verifies(key, SIGNATURE_CONTEXT + content, signature):
        raise MessageError("forged", f"not signed by {owner}")
    try:
        message = msgspec.msgpack.decode(content, type=SignedMessage)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MessageError("nonsense", f"no letter: {error}") from None
    if message.sender != owner:
        raise MessageError("forged", f"signed by {owner}, and says that it is of {message.sender}")
    if message.to != receiver:
        raise MessageError("misled", f"it is for {message.to}")
    if message.session != session or message.number <= last_number:
        raise MessageError("replayed", "it is of another connection, or came before")
    return message


def _check_length(content: bytes) -> None:
    if len(content) > MAX_MESSAGE_BYTES:
        raise MessageError(
            "oversized", f"{len(content)} bytes are more than the {MAX_MESSAGE_BYTES} of a letter"
        )


def decode_mapping(content: bytes) -> dict[str, Any]:
    """Decodes a body that is a mapping.

    Raises:
        MessageError: The body is malformed or not a mapping with string keys.
    """
    try:
        return msgspec.msgpack.decode(content, type=dict[str, Any])
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise MessageError("nonsense", f"no mapping: {error}") from None


__all__ = [
    "MAX_MESSAGE_BYTES",
    "MAX_SIGNED_MESSAGE_BYTES",
    "NONCE_BYTES",
    "PEER",
    "PROPOSE",
    "READ",
    "REPLY",
    "SIGNATURE_CONTEXT",
    "ClientRequest",
    "DeliverMessage",
    "Hello",
    "MessageError",
    "MessageKind",
    "RequestRejectedError",
    "SignedArguments",
    "SignedMessage",
    "Signer",
    "Verifier",
    "decode_mapping",
    "new_nonce",
    "open_message",
    "sign_message",
]
