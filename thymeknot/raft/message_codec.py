"""Signed messages between nodes and their clients, and the AMP commands that carry them.

A signed message says who sent it, to whom, on which connection and as the how many-th. A session
id is drawn by both ends when a connection opens (16 bytes each), so that a message of another
connection, or of before a restart, proves nothing on this one; on one connection numbers only
rise. Answers are signed too: a yes to "may I begin" is worth as much as a command. Keys, names
and revocation come from gossip's keyring.
"""

import secrets
from enum import IntEnum
from typing import Any, ClassVar, NamedTuple, Protocol, TypedDict

import msgspec
from twisted.protocols import amp

from .errors import MessageError, RequestRejectedError

NONCE_BYTES = 16
"""What each end of a connection draws of its session id."""
MAX_MESSAGE_BYTES = 60_000
"""Bytes of a signed message; AMP's own limit of a value is 65,535."""
MAX_SIGNED_MESSAGE_BYTES = MAX_MESSAGE_BYTES
"""The earlier name, which the tests of `coordination` use."""
SIGNATURE_CONTEXT = b"thymeknot fleet 1\0"
"""Signed with each message, so that it can't be taken for one of gossip's datagrams."""


class MessageKind(IntEnum):
    """What a signed message carries. The values are sent."""

    PEER = 0
    """A message between nodes."""
    PROPOSE = 1
    """A client's command."""
    READ = 2
    """A client's query."""
    REPLY = 3
    """The answer to a command or a query."""


PEER = MessageKind.PEER
PROPOSE = MessageKind.PROPOSE
READ = MessageKind.READ
REPLY = MessageKind.REPLY


class SignedMessage(NamedTuple):
    """What is signed. Fields are sent by position: their order must not change.

    Attributes:
        sender: name of the node or client that signed it.
        to: name of the receiver.
        session: id of the connection's session.
        number: rises with each message of a session.
        kind: a MessageKind.
        body: what the kind says.
    """

    sender: str
    to: str
    session: bytes
    number: int
    kind: int
    body: bytes


class SignedArguments(TypedDict):
    """Arguments of the AMP commands that carry a signed message."""

    key: bytes
    content: bytes
    signature: bytes


class Signer(Protocol):
    """An identity of gossip's keyring."""

    name: str
    key_id: bytes

    def sign(self, message: bytes) -> bytes:
        """The signature of these bytes."""


class Verifier(Protocol):
    """Gossip's keyring."""

    def owner(self, number: bytes, unix: float) -> str | None:
        """The name that a key belongs to at this Unix time, or None."""

    def holds(self, number: bytes, message: bytes, signature: bytes) -> bool:
        """Whether the key made this signature over these bytes."""


_STRING = amp.String()  # type: ignore[no-untyped-call]  # Twisted annotates it by half


class Hello(amp.Command):
    """Each end's share of the session id."""

    commandName = b"Hello"  # noqa: N815  # Twisted's name; the value is sent
    arguments: ClassVar = [(b"nonce", _STRING)]
    response: ClassVar = [(b"nonce", _STRING)]
    # What is raised and not declared, AMP logs as a traceback. A fatal one closes the connection.
    fatalErrors: ClassVar = {RequestRejectedError: b"REFUSED"}  # noqa: N815  # Twisted's name


class DeliverMessage(amp.Command):
    """A message between nodes. It has no answer: answers are messages themselves."""

    commandName = b"Deliver"  # noqa: N815  # Twisted's name; the value is sent
    arguments: ClassVar = [
        (b"key", _STRING),
        (b"content", _STRING),
        (b"signature", _STRING),
    ]
    requiresAnswer = False  # noqa: N815  # Twisted's name


class ClientRequest(amp.Command):
    """A client's command or query, and its signed reply."""

    commandName = b"Ask"  # noqa: N815  # Twisted's name; the value is sent
    arguments: ClassVar = [
        (b"key", _STRING),
        (b"content", _STRING),
        (b"signature", _STRING),
    ]
    response: ClassVar = arguments
    errors: ClassVar = {RequestRejectedError: b"REFUSED"}


def new_nonce() -> bytes:
    """One end's share of a session id."""
    return secrets.token_bytes(NONCE_BYTES)


def sign_message(  # noqa: PLR0917  # other packages pass them by position
    identity: Signer, to: str, session: bytes, number: int, kind: int, body: bytes
) -> SignedArguments:
    """The arguments of a DeliverMessage or ClientRequest.

    Raises:
        MessageError: the message is too long.
    """
    message = SignedMessage(identity.name, to, session, number, kind, body)
    content = msgspec.msgpack.encode(message)
    _check_length(content)
    return {
        "key": identity.key_id,
        "content": content,
        "signature": identity.sign(SIGNATURE_CONTEXT + content),
    }


def open_message(  # noqa: PLR0917  # other packages pass them by position
    ring: Verifier,
    unix: float,
    me: str,
    session: bytes,
    last: int,
    key: bytes,
    content: bytes,
    signature: bytes,
) -> SignedMessage:
    """The message, once its signature and its place in the session are checked.

    Args:
        ring: the keys of now.
        unix: Unix time in seconds.
        me: the receiver's name.
        session: id of the connection's session.
        last: the highest number that this connection brought.
        key: id of the key that signed.
        content: what was signed.
        signature: of the content.

    Raises:
        MessageError: it can't be accepted.
    """
    _check_length(content)
    owner = ring.owner(key, unix)
    if owner is None:
        raise MessageError("unknown", "the key is none of the ring's, or was revoked")
    if not ring.holds(key, SIGNATURE_CONTEXT + content, signature):
        raise MessageError("forged", f"not signed by {owner}")
    try:
        message = msgspec.msgpack.decode(content, type=SignedMessage)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise MessageError("nonsense", f"no letter: {error}") from None
    if message.sender != owner:
        raise MessageError("forged", f"signed by {owner}, and says that it is of {message.sender}")
    if message.to != me:
        raise MessageError("misled", f"it is for {message.to}")
    if message.session != session or message.number <= last:
        raise MessageError("replayed", "it is of another connection, or came before")
    return message


def _check_length(content: bytes) -> None:
    if len(content) > MAX_MESSAGE_BYTES:
        raise MessageError(
            "oversized", f"{len(content)} bytes are more than the {MAX_MESSAGE_BYTES} of a letter"
        )


def decode_mapping(content: bytes) -> dict[str, Any]:
    """The mapping that a body holds.

    Raises:
        MessageError: it holds none.
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
