"""Numbers, signs and rate-limits the datagrams and items of this instance."""

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
        identity: Name and private key.
        announced: Address at which peers reach it.
        start: Id of this start, unique among the starts of this instance.
        started_at: When it started, by its clock.
        number: Latest sequence number of a datagram or item.
        incarnation: Incremented to refute a suspicion.
    """

    identity: Identity
    announced: Address
    start: int
    started_at: Ticks
    number: int = 0
    incarnation: int = 0

    @property
    def name(self) -> str:
        """Name in the keyring."""
        return self.identity.name


class Datagram(NamedTuple):
    """An outgoing datagram.

    Attributes:
        address: Destination.
        content: Encoded datagram with its signature.
    """

    address: Address
    content: bytes


class Outbox:
    """Outgoing datagrams.

    Attributes:
        datagrams: Datagrams that the caller has not taken yet.
        limits: Rate limits of outgoing traffic.
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
        recipient: str,
        body: Body,
        purpose: SendPurpose,
        *,
        items: Iterable[bytes] = (),
        max_size: int = codec.MAX_DATAGRAM_SIZE,
    ) -> bool:
        """Sends a datagram if the limits allow it.

        Args:
            now: Current time.
            address: Destination.
            recipient: Name of the receiver, or empty if unknown.
            body: Message.
            purpose: Determines the share of the limits that the datagram may use.
            items: Sealed items to piggyback.
            max_size: Largest allowed size in bytes.

        Returns:
            Whether the datagram is sent.
        """
        local = self._local
        local.number += 1
        frame = Frame(
            local.name,
            recipient,
            local.start,
            local.number,
            now - local.started_at,
            body,
            list(items),
        )
        unsigned = codec.encode_unsigned_frame(frame, local.identity.key_id)
        size = len(unsigned) + SIGNATURE_SIZE
        if size > max_size or not self.limits.try_send(now, size, purpose):
            return False
        self.datagrams.append(Datagram(address, unsigned + local.identity.sign(unsigned)))
        return True

    def publish(self, now: Ticks, body: codec.ItemBody, topic: Hashable) -> None:
        """Signs an item of this instance and queues it to be passed on."""
        local = self._local
        local.number += 1
        item = Item(local.name, local.start, local.number, now - local.started_at, body)
        content = codec.seal_item(item, local.identity)
        self._queue.add(item, local.identity.key_id, content, now, topic)
