"""This instance's own datagrams and items: numbered, signed and within the limits."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ..interface.clock import Ticks
from . import codec
from .codec import Body, Frame, Item
from .dissemination_queue import DisseminationQueue
from .keyring import SIGNATURE_SIZE, Identity
from .rate_limits import Address, SendLimits, SendPurpose


@dataclass
class LocalInstance:
    """This instance as its peers see it.

    Attributes:
        identity: What it signs with.
        announced: Where others reach it.
        start: Names this start; no other start of the name has it.
        started_at: When it started, by its clock.
        number: The latest number of a datagram or item.
        incarnation: Goes up each time that it refutes a suspicion.
    """

    identity: Identity
    announced: Address
    start: int
    started_at: Ticks
    number: int = 0
    incarnation: int = 0

    @property
    def name(self) -> str:
        """Its name in the ring."""
        return self.identity.name


class Datagram(NamedTuple):
    """A datagram that is to go out.

    Attributes:
        address: Where to.
        content: Its bytes.
    """

    address: Address
    content: bytes


class Outbox:
    """What goes out.

    Attributes:
        datagrams: Those that the caller has not taken yet.
        limits: How much may go out.
    """

    def __init__(self, local: LocalInstance, limits: SendLimits, queue: DisseminationQueue) -> None:
        self.datagrams: list[Datagram] = []
        self.limits = limits
        self._local = local
        self._queue = queue

    def send(
        self,
        now: Ticks,
        address: Address,
        to: str,
        body: Body,
        purpose: SendPurpose,
        *,
        items: Iterable[bytes] = (),
        max_size: int = codec.MAX_DATAGRAM,
    ) -> bool:
        """Sends a datagram if the limits allow it.

        Args:
            now: The time.
            address: Where to.
            to: Name of the receiver, or empty.
            body: What it says.
            purpose: What it is for.
            items: Sealed items that ride on it.
            max_size: Most bytes that it may have.

        Returns:
            Whether it goes out.
        """
        local = self._local
        local.number += 1
        frame = Frame(
            local.name, to, local.start, local.number, now - local.started_at, body, list(items)
        )
        unsigned = codec.encode_unsigned_frame(frame, local.identity.key_id)
        size = len(unsigned) + SIGNATURE_SIZE
        if size > max_size or not self.limits.may(now, size, purpose):
            return False
        self.datagrams.append(Datagram(address, unsigned + local.identity.sign(unsigned)))
        return True

    def say(self, now: Ticks, body: codec.ItemBody, about: Hashable) -> None:
        """Signs an item of this instance's own, and has it passed on."""
        local = self._local
        local.number += 1
        item = Item(local.name, local.start, local.number, now - local.started_at, body)
        content = codec.seal_item(item, local.identity)
        self._queue.add(item, local.identity.key_id, content, now, about)
