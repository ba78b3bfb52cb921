"""Letters among keepers and their clients: who wrote it, to whom, on which connection, the how many-th; signed.

A session is drawn by both ends of a connection when it opens (16 bytes each), so that a letter of another connection,
be it of before a restart, proves nothing on this one; on one connection numbers only rise. Answers are signed as well:
a yes to "may I begin" is worth as much as a command. Source of keys, names and revocation: gossip's ring.
"""

import secrets
from typing import Any, NamedTuple

import msgspec
from twisted.protocols import amp

NONCE = 16  # bytes, of each end
LETTER_MOST = 60_000  # bytes; AMP's own limit of a value is 65,535
MARK = b"thymeknot fleet 1\0"  # what is signed here can't be taken for gossip's datagrams
KEEPER, PROPOSE, READ, REPLY = range(4)


class MessageError(ValueError):
    """A letter that can't be taken. kind: the word that it is counted under."""

    def __init__(self, kind, text):
        super().__init__(text)
        self.kind = kind


class SignedMessage(NamedTuple):
    sender: str
    to: str
    session: bytes
    number: int
    kind: int
    body: bytes


class Hello(amp.Command):
    """Each end's share of the session."""

    arguments = [(b"nonce", amp.String())]
    response = [(b"nonce", amp.String())]


class Refusal(Exception):
    """An ask that was not taken; the text says why."""


class Deliver(amp.Command):
    """A keeper's message. Nothing is answered: what answers there are, are messages themselves."""

    arguments = [(b"key", amp.String()), (b"content", amp.String()), (b"signature", amp.String())]
    requiresAnswer = False


class Ask(amp.Command):
    """A client's command or read, and its signed reply."""

    arguments = response = [
        (b"key", amp.String()),
        (b"content", amp.String()),
        (b"signature", amp.String()),
    ]
    errors = {Refusal: b"REFUSED"}


def new_nonce():
    return secrets.token_bytes(NONCE)


def sign_message(identity, to, session, number, kind, body):
    """The arguments of a Deliver or Ask. Raises Bad where it is too long."""
    content = msgspec.msgpack.encode(SignedMessage(identity.name, to, session, number, kind, body))
    if len(content) > LETTER_MOST:
        raise MessageError(
            "oversized", f"{len(content)} bytes are more than the {LETTER_MOST} of a letter"
        )
    return {"key": identity.key_id, "content": content, "signature": identity.sign(MARK + content)}


def open_message(ring, unix, me, session, last, key, content, signature):
    """The Letter. last: the highest number that this connection brought. Raises Bad."""
    if len(content) > LETTER_MOST:
        raise MessageError(
            "oversized", f"{len(content)} bytes are more than the {LETTER_MOST} of a letter"
        )
    owner = ring.owner(key, unix)
    if owner is None:
        raise MessageError("unknown", "the key is none of the ring's, or was revoked")
    if not ring.holds(key, MARK + content, signature):
        raise MessageError("forged", f"not signed by {owner}")
    try:
        letter = msgspec.msgpack.decode(content, type=SignedMessage)
    except (msgspec.DecodeError, msgspec.ValidationError) as wrong:
        raise MessageError("nonsense", f"no letter: {wrong}") from None
    if letter.sender != owner:
        raise MessageError("forged", f"signed by {owner}, and says that it is of {letter.sender}")
    if letter.to != me:
        raise MessageError("misled", f"it is for {letter.to}")
    if letter.session != session or letter.number <= last:
        raise MessageError("replayed", "it is of another connection, or came before")
    return letter


def decode_mapping(content) -> dict[str, Any]:
    """The mapping of a body. Raises Bad."""
    try:
        return msgspec.msgpack.decode(content, type=dict[str, Any])
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as wrong:
        raise MessageError("nonsense", f"no mapping: {wrong}") from None
