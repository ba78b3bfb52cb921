"""Encodes and decodes datagrams as typed records. Signatures are not verified here.

A datagram consists of one version byte, an 8-byte key id, a MessagePack array and a 64-byte
signature over everything before it. An item inside a datagram has the same layout without the
version byte. Its origin signs it, so that other instances can forward it unchanged. Decoding with
msgspec is strict: a wrong type, length or number of fields is rejected. Records are encoded as
arrays, so field names do not appear on the wire.

A start is one run of an instance's process; its id tells it from earlier runs under the same name.
"""

from enum import StrEnum
from typing import Annotated, NamedTuple, Optional, Union

from msgspec import DecodeError, Meta, Struct, msgpack

from .keyring import KEY_ID_SIZE, SIGNATURE_SIZE, Identity

VERSION = 1
VERSION_SIZE = 1  # bytes
MAX_DATAGRAM_SIZE = 1400  # bytes; fits the usual MTU together with all headers
MIN_FRAME_SIZE = 8  # bytes of the shortest encoded frame, without signature
MIN_DATAGRAM_SIZE = VERSION_SIZE + KEY_ID_SIZE + MIN_FRAME_SIZE + SIGNATURE_SIZE  # bytes
MAX_ITEM_SIZE = 400  # bytes
MIN_ITEM_SIZE = MIN_DATAGRAM_SIZE - VERSION_SIZE  # bytes
MAX_HINTS = 24  # peers in one datagram
MAX_INDIRECT_ANSWER_SIZE = 480  # bytes of an answer that a relay forwards
# Bytes that are added to a ping to a peer that is not validated. They make the ping much longer
# than its answer, so that a spoofed source address can't be used for an amplification attack.
PING_PADDING_SIZE = 128

Name = Annotated[str, Meta(max_length=32)]
Text = Annotated[str, Meta(max_length=96)]
Host = Annotated[str, Meta(max_length=45)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
SmallCount = Annotated[int, Meta(ge=0, le=1_000_000)]
Nonce = Annotated[bytes, Meta(min_length=8, max_length=8)]


class DropReason(StrEnum):
    """Reason for dropping a datagram or an item. The values are logged."""

    SIZE = "size"
    VERSION = "version"
    NETWORK = "network"  # the source address is not in an allowed network
    KEY = "key"  # no peer in the keyring owns the key
    BUDGET = "budget"  # the limit of signature verifications is reached
    FORM = "form"
    SENDER = "sender"  # the stated sender does not own the key
    RECIPIENT = "recipient"  # addressed to another instance
    REPLAY = "replay"
    SIGNATURE = "signature"
    UNPROVED = "unproved"  # the sender has not proved its current start
    LAPSED = "lapsed"  # too old, or about something unknown here
    EQUIVOCATION = "lie"  # two items with the same number and different content


class _Record(Struct, array_like=True, forbid_unknown_fields=True, frozen=True, gc=False):
    """Base of all records: encoded as an array, unknown fields rejected."""


class Alive(_Record, frozen=True, tag="a"):
    """The origin is alive.

    Attributes:
        host: Host of the origin's address.
        port: Port of the origin's address.
        incarnation: The origin's incarnation.
    """

    host: Host
    port: Port
    incarnation: Count


class Left(_Record, frozen=True, tag="l"):
    """The origin leaves the group."""


class Suspect(_Record, frozen=True, tag="s"):
    """The origin suspects a peer that did not answer its probes.

    Attributes:
        subject: Name of the peer.
        start: Id of the peer's start.
        incarnation: The peer's incarnation.
    """

    subject: Name
    start: Count
    incarnation: Count


class Evidence(_Record, frozen=True, tag="c"):
    """The origin's recent attempts at an endpoint.

    Attributes:
        endpoint_id: The endpoint's id.
        address: The endpoint's address, empty if addresses are not matched.
        build: The endpoint's build.
        endpoint_started_at: Unix time of the endpoint's start, in ticks, or 0 if unknown.
        attempts: Number of attempts that ended.
        failures: Number of those attempts that failed.
    """

    endpoint_id: Text
    address: Text
    build: Count
    endpoint_started_at: Count
    attempts: SmallCount
    failures: SmallCount


ItemBody = Union[Alive, Left, Suspect, Evidence]


class Item(_Record, frozen=True):
    """A message from its origin to all instances, forwarded by others.

    Attributes:
        origin: Name of the origin.
        start: Id of the origin's start.
        number: Sequence number, unique within the start.
        made_at: Ticks since the origin's start when the item was made.
        body: Content.
    """

    origin: Name
    start: Count
    number: Count
    made_at: Count
    body: ItemBody


class Ping(_Record, frozen=True, tag="p"):
    """A probe.

    Attributes:
        nonce: Sent back in the answer.
        padding: Makes the ping longer than its answer. Unless it is empty, the answer has no items.
    """

    nonce: Nonce
    padding: Annotated[bytes, Meta(max_length=256)]


class Ack(_Record, frozen=True, tag="k"):
    """An answer to a probe.

    Attributes:
        nonce: Nonce of the probe.
        challenge: A nonce that the prober answers in turn, so that three datagrams validate both
            sides.
    """

    nonce: Nonce
    challenge: Optional[Nonce]


class IndirectPing(_Record, frozen=True, tag="q"):
    """SWIM's ping-req: asks a relay to ping a peer with this nonce and to forward the answer.

    Attributes:
        nonce: Nonce of the probe.
        target: Name of the peer.
        host: Host of the peer's address.
        port: Port of the peer's address.
    """

    nonce: Nonce
    target: Name
    host: Host
    port: Port


class IndirectAck(_Record, frozen=True, tag="y"):
    """A relay's answer to an `IndirectPing`.

    Attributes:
        nonce: Nonce of the request.
        answer: The complete datagram of the peer's answer, or None if the peer did not answer.
    """

    nonce: Nonce
    answer: Optional[Annotated[bytes, Meta(max_length=MAX_INDIRECT_ANSWER_SIZE)]]


class Push(_Record, frozen=True, tag="i"):
    """A frame that carries items only."""


class Hints(_Record, frozen=True, tag="h"):
    """Possible addresses of peers. They are not trusted until a ping confirms them.

    Attributes:
        wants_reply: Whether the sender asks for hints in return.
        peers: (name, host, port) of each peer.
    """

    wants_reply: bool
    peers: Annotated[list[tuple[Name, Host, Port]], Meta(max_length=MAX_HINTS)]


Body = Union[Ping, Ack, IndirectPing, IndirectAck, Push, Hints]


class Frame(_Record, frozen=True):
    """Content of a datagram.

    Attributes:
        sender: Name of the sender.
        recipient: Name of the intended receiver, so that the datagram can't be replayed to another
            one; empty in the first ping to a seed, whose name is not known yet.
        start: Id of the sender's start.
        number: Sequence number, unique within the start.
        sent_at: Ticks since the sender's start when the datagram was sent.
        body: The message itself.
        items: Sealed items piggybacked on the datagram.
    """

    sender: Name
    recipient: Name
    start: Count
    number: Count
    sent_at: Count
    body: Body
    items: Annotated[list[Annotated[bytes, Meta(max_length=MAX_ITEM_SIZE)]], Meta(max_length=64)]


class SealedFrame(NamedTuple):
    """A decoded datagram whose signature is not verified yet.

    Attributes:
        key_id: Id of the key that should have signed it.
        frame: Its content.
        signed_bytes: The bytes that the signature covers.
        signature: The signature.
    """

    key_id: bytes
    frame: Frame
    signed_bytes: bytes
    signature: bytes


class SealedItem(NamedTuple):
    """A decoded item whose signature is not verified yet.

    Attributes:
        key_id: Id of the key that should have signed it.
        item: Its content.
        signed_bytes: The bytes that the signature covers.
        signature: The signature.
    """

    key_id: bytes
    item: Item
    signed_bytes: bytes
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
    """Returns the id of the key that should have signed an undecoded datagram."""
    return datagram[VERSION_SIZE : VERSION_SIZE + KEY_ID_SIZE]


def read_frame(datagram: bytes) -> SealedFrame | DropReason:
    """Decodes a datagram; returns the reason if it is malformed."""
    if not MIN_DATAGRAM_SIZE <= len(datagram) <= MAX_DATAGRAM_SIZE:
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
    """Decodes an item; returns the reason if it is malformed."""
    if not MIN_ITEM_SIZE <= len(content) <= MAX_ITEM_SIZE:
        return DropReason.SIZE
    try:
        item = _item_decoder.decode(content[KEY_ID_SIZE:-SIGNATURE_SIZE])
    except (DecodeError, UnicodeDecodeError):
        return DropReason.FORM
    return SealedItem(
        content[:KEY_ID_SIZE], item, content[:-SIGNATURE_SIZE], content[-SIGNATURE_SIZE:]
    )
