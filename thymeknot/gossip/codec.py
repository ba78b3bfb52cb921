"""Datagrams to and from typed records. Nothing here is trusted: it may still be anybody's.

A datagram is one byte of version, 8 of the key's name, a MessagePack array, and 64 of the signature
over all before. An item within it is built alike without the version and is signed by its origin,
so that it passes through relays as it was made. Decoding by msgspec is strict: a wrong type, length
or number of fields is rejected. Records are arrays on the wire, so their fields' names are not.
"""

from enum import StrEnum
from typing import Annotated, NamedTuple, Optional, Union

from msgspec import DecodeError, Meta, Struct, msgpack

from .keyring import KEY_ID_SIZE, SIGNATURE_SIZE, Identity

VERSION = 1
VERSION_SIZE = 1  # bytes
MAX_DATAGRAM = 1400  # bytes: below the usual MTU with all headers
MIN_FRAME = 8  # bytes of the shortest frame, unsigned
MIN_DATAGRAM = VERSION_SIZE + KEY_ID_SIZE + MIN_FRAME + SIGNATURE_SIZE  # bytes
MAX_ITEM = 400  # bytes
MIN_ITEM = MIN_DATAGRAM - VERSION_SIZE  # bytes
MAX_HINTS = 24  # peers in one datagram
MAX_INDIRECT_ANSWER = 480  # bytes of an answer that a relay passes on
# Bytes of a ping that asks one who proved nothing: longer than the answer by far, so that nobody is
# sent more than was sent in its name.
PING_PADDING = 128

Name = Annotated[str, Meta(max_length=32)]
Text = Annotated[str, Meta(max_length=96)]
Host = Annotated[str, Meta(max_length=45)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
SmallCount = Annotated[int, Meta(ge=0, le=1_000_000)]
Nonce = Annotated[bytes, Meta(min_length=8, max_length=8)]


class DropReason(StrEnum):
    """Why a datagram or an item was dropped. The values are logged."""

    SIZE = "size"
    VERSION = "version"
    NETWORK = "network"  # of the source is not allowed
    KEY = "key"  # is nobody's of the ring
    BUDGET = "budget"  # of verifications is used up
    FORM = "form"
    SENDER = "sender"  # is not whose key it is
    RECIPIENT = "recipient"  # is another
    REPLAY = "replay"
    SIGNATURE = "signature"
    UNPROVED = "unproved"  # start of the sender
    LAPSED = "lapsed"  # too old, or about what is not known
    EQUIVOCATION = "lie"  # another content under the same number


class _Record(Struct, array_like=True, forbid_unknown_fields=True, frozen=True, gc=False):
    """What all records have in common on the wire."""


class Alive(_Record, frozen=True, tag="a"):
    """The origin lives.

    Attributes:
        host: Host of its address.
        port: Port of its address.
        incarnation: Its incarnation.
    """

    host: Host
    port: Port
    incarnation: Count


class Left(_Record, frozen=True, tag="l"):
    """The origin leaves."""


class Suspect(_Record, frozen=True, tag="s"):
    """The origin got no answer from a peer.

    Attributes:
        subject: Name of the peer.
        start: The peer's start.
        incarnation: The peer's incarnation.
    """

    subject: Name
    start: Count
    incarnation: Count


class Evidence(_Record, frozen=True, tag="c"):
    """What the origin saw of an endpoint of late.

    Attributes:
        pod: The endpoint's id.
        address: Its address.
        build: Its build.
        started: Its start.
        tried: Attempts that ended.
        failed: Those of them that failed.
    """

    pod: Text
    address: Text
    build: Count
    started: Count
    tried: SmallCount
    failed: SmallCount


ItemBody = Union[Alive, Left, Suspect, Evidence]


class Item(_Record, frozen=True):
    """What an origin says to all, passed on by others.

    Attributes:
        origin: Name of the origin.
        start: Start of the origin.
        number: Number of the item, within the start.
        at: Ticks since the origin's start.
        body: What it says.
    """

    origin: Name
    start: Count
    number: Count
    at: Count
    body: ItemBody


class Ping(_Record, frozen=True, tag="p"):
    """A probe.

    Attributes:
        nonce: To be sent back.
        pad: Makes the ping longer than its answer; where it is not empty, the answer is bare.
    """

    nonce: Nonce
    pad: Annotated[bytes, Meta(max_length=256)]


class Ack(_Record, frozen=True, tag="k"):
    """An answer to a probe.

    Attributes:
        nonce: That of the probe.
        back: A nonce for the asker to answer, so that both have proved themselves in three
            datagrams.
    """

    nonce: Nonce
    back: Optional[Nonce]


class IndirectPing(_Record, frozen=True, tag="q"):
    """A request to a relay: ping a peer with this nonce, and pass its answer on.

    Attributes:
        nonce: The nonce.
        target: Name of the peer.
        host: Host of its address.
        port: Port of its address.
    """

    nonce: Nonce
    target: Name
    host: Host
    port: Port


class IndirectAck(_Record, frozen=True, tag="y"):
    """A relay's answer.

    Attributes:
        nonce: That of the request.
        answer: The whole datagram with which the peer answered, or None: it did not.
    """

    nonce: Nonce
    answer: Optional[Annotated[bytes, Meta(max_length=MAX_INDIRECT_ANSWER)]]


class Push(_Record, frozen=True, tag="i"):
    """Only items."""


class Hints(_Record, frozen=True, tag="h"):
    """Where peers may be: no proof of anything, a ping finds out.

    Attributes:
        asking: Whether the sender asks for hints back.
        peers: (name, host, port) of peers.
    """

    asking: bool
    peers: Annotated[list[tuple[Name, Host, Port]], Meta(max_length=MAX_HINTS)]


Body = Union[Ping, Ack, IndirectPing, IndirectAck, Push, Hints]


class Frame(_Record, frozen=True):
    """What one datagram says.

    Attributes:
        sender: Name of the sender.
        recipient: Whom it is for, so that nobody else can be given it; empty where a seed's name is not
            known yet.
        start: Start of the sender.
        number: Number of the datagram, within the start.
        at: Ticks since the sender's start.
        body: What it is about.
        items: Sealed items that ride on it.
    """

    sender: Name
    recipient: Name
    start: Count
    number: Count
    at: Count
    body: Body
    items: Annotated[list[Annotated[bytes, Meta(max_length=MAX_ITEM)]], Meta(max_length=64)]


class SealedFrame(NamedTuple):
    """A datagram that was read, not verified.

    Attributes:
        key_id: Names the key that should have signed it.
        frame: What it says.
        signed: The bytes that are signed.
        signature: The signature.
    """

    key_id: bytes
    frame: Frame
    signed: bytes
    signature: bytes


class SealedItem(NamedTuple):
    """An item that was read, not verified.

    Attributes:
        key_id: Names the key that should have signed it.
        item: What it says.
        signed: The bytes that are signed.
        signature: The signature.
    """

    key_id: bytes
    item: Item
    signed: bytes
    signature: bytes


_encode = msgpack.Encoder().encode
_frame_decoder = msgpack.Decoder(Frame)
_item_decoder = msgpack.Decoder(Item)


def encode_unsigned_frame(frame: Frame, key_id: bytes) -> bytes:
    """Returns a datagram without its signature."""
    return bytes((VERSION,)) + key_id + _encode(frame)


def seal_frame(frame: Frame, identity: Identity) -> bytes:
    """Returns a signed datagram."""
    body = encode_unsigned_frame(frame, identity.key_id)
    return body + identity.sign(body)


def seal_item(item: Item, identity: Identity) -> bytes:
    """Returns a signed item."""
    body = identity.key_id + _encode(item)
    return body + identity.sign(body)


def datagram_key_id(datagram: bytes) -> bytes:
    """Returns the name of the key that should have signed a datagram, before it is read."""
    return datagram[VERSION_SIZE : VERSION_SIZE + KEY_ID_SIZE]


def read_frame(datagram: bytes) -> SealedFrame | DropReason:
    """Reads a datagram, or says why it can't be."""
    if not MIN_DATAGRAM <= len(datagram) <= MAX_DATAGRAM:
        return DropReason.SIZE
    if datagram[0] != VERSION:
        return DropReason.VERSION
    try:
        frame = _frame_decoder.decode(datagram[VERSION_SIZE + KEY_ID_SIZE : -SIGNATURE_SIZE])
    except (DecodeError, UnicodeDecodeError):
        return DropReason.FORM
    return SealedFrame(
        datagram_key_id(datagram), frame, datagram[:-SIGNATURE_SIZE], datagram[-SIGNATURE_SIZE:]
    )


def read_item(content: bytes) -> SealedItem | DropReason:
    """Reads an item, or says why it can't be."""
    if not MIN_ITEM <= len(content) <= MAX_ITEM:
        return DropReason.SIZE
    try:
        item = _item_decoder.decode(content[KEY_ID_SIZE:-SIGNATURE_SIZE])
    except (DecodeError, UnicodeDecodeError):
        return DropReason.FORM
    return SealedItem(
        content[:KEY_ID_SIZE], item, content[:-SIGNATURE_SIZE], content[-SIGNATURE_SIZE:]
    )
