"""Datagrams to and from typed records. Nothing here is trusted: what decodes may still be anybody's.

A datagram is one byte of version, 8 of the key's name, a MessagePack array, and 64 of the signature over all before.
An item within it is built alike without the version and is signed by its origin, so that it passes through relays
as it was made. Strict decoding by msgspec: a wrong type, length or number of fields is refused.
"""

from typing import Annotated, Optional, Union

from msgspec import DecodeError, Meta, Struct, msgpack

from .keyring import KEY_ID_SIZE, SIGNATURE_SIZE

VERSION, MOST, LEAST = 1, 1400, 1 + KEY_ID_SIZE + 8 + SIGNATURE_SIZE
ITEM_MOST = 400
HINTS_MOST = 24
PADDING = 128  # of a ping that asks one who proved nothing: longer than the answer by far
PASSED_MOST = 480
Name = Annotated[str, Meta(max_length=32)]
Text = Annotated[str, Meta(max_length=96)]
Host = Annotated[str, Meta(max_length=45)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Few = Annotated[int, Meta(ge=0, le=1_000_000)]
Nonce = Annotated[bytes, Meta(min_length=8, max_length=8)]
CLOSED = {"array_like": True, "forbid_unknown_fields": True, "frozen": True, "gc": False}


class Alive(Struct, tag="a", **CLOSED):
    """The origin lives, at this address."""

    host: Host
    port: Port
    incarnation: Count


class Left(Struct, tag="l", **CLOSED):
    """The origin leaves."""


class Accuse(Struct, tag="s", **CLOSED):
    """The origin got no answer from this peer in this incarnation."""

    subject: Name
    start: Count
    incarnation: Count


class Claim(Struct, tag="c", **CLOSED):
    """What the origin saw of a pod: deliveries ended of late, and those of them that failed."""

    pod: Text
    address: Text
    build: Count
    started: Count
    tried: Few
    failed: Few


class Item(Struct, **CLOSED):
    """at: tenths of a millisecond since the origin's start."""

    origin: Name
    start: Count
    number: Count
    at: Count
    body: Union[Alive, Left, Accuse, Claim]


class Ping(Struct, tag="p", **CLOSED):
    nonce: Nonce
    pad: Annotated[bytes, Meta(max_length=256)]


class Ack(Struct, tag="k", **CLOSED):
    """back: a nonce for the asker to answer, so that both have proved themselves in three datagrams."""

    nonce: Nonce
    back: Optional[Nonce]


class Ask(Struct, tag="q", **CLOSED):
    """Please ping this peer with this nonce, and pass its answer on."""

    nonce: Nonce
    target: Name
    host: Host
    port: Port


class Passed(Struct, tag="y", **CLOSED):
    """The whole datagram with which a peer answered, or None: it did not."""

    nonce: Nonce
    answer: Optional[Annotated[bytes, Meta(max_length=PASSED_MOST)]]


class Push(Struct, tag="i", **CLOSED):
    """Only items."""


class Hints(Struct, tag="h", **CLOSED):
    """Where peers may be: no proof of anything, a ping finds out."""

    asking: bool
    peers: Annotated[list[tuple[Name, Host, Port]], Meta(max_length=HINTS_MOST)]


class Frame(Struct, **CLOSED):
    """to: whom it is for, so that nobody else can be given it; empty where a seed's name is not known yet."""

    sender: Name
    to: Name
    start: Count
    number: Count
    at: Count
    body: Union[Ping, Ack, Ask, Passed, Push, Hints]
    items: Annotated[list[Annotated[bytes, Meta(max_length=ITEM_MOST)]], Meta(max_length=64)]


_encode = msgpack.Encoder().encode
_frame, _item = msgpack.Decoder(Frame), msgpack.Decoder(Item)


def frame_bytes(frame, key_id):
    """All but the signature."""
    return bytes((VERSION,)) + key_id + _encode(frame)


def sealed_frame(frame, identity):
    body = frame_bytes(frame, identity.key_id)
    return body + identity.sign(body)


def sealed_item(item, identity):
    body = identity.key_id + _encode(item)
    return body + identity.sign(body)


def read_frame(datagram):
    """(key's name, Frame, signed bytes, signature), or the reason why not."""
    if not LEAST <= len(datagram) <= MOST:
        return "size"
    if datagram[0] != VERSION:
        return "version"
    try:
        frame = _frame.decode(datagram[1 + KEY_ID_SIZE : -SIGNATURE_SIZE])
    except (DecodeError, UnicodeDecodeError):
        return "form"
    return (
        datagram[1 : 1 + KEY_ID_SIZE],
        frame,
        datagram[:-SIGNATURE_SIZE],
        datagram[-SIGNATURE_SIZE:],
    )


def read_item(content):
    """(key's name, Item, signed bytes, signature), or the reason why not."""
    if not LEAST - 1 <= len(content) <= ITEM_MOST:
        return "size"
    try:
        item = _item.decode(content[KEY_ID_SIZE:-SIGNATURE_SIZE])
    except (DecodeError, UnicodeDecodeError):
        return "form"
    return content[:KEY_ID_SIZE], item, content[:-SIGNATURE_SIZE], content[-SIGNATURE_SIZE:]
