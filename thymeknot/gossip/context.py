"""State shared by the parts of a gossip node."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..interface.clock import TICKS_PER_SECOND
from .codec import DropReason
from .dissemination_queue import DisseminationQueue
from .keyring import AllowedNetworks, Keyring
from .membership import Members
from .outbox import LocalInstance, Outbox
from .rate_limits import Address, VerificationLimits
from .settings import GossipSettings
from .suspicion import SuspicionDetector

TICK_INTERVAL = TICKS_PER_SECOND // 10  # between calls of `GossipNode.tick`
ITEM_SPACE = 1100  # bytes of items per datagram; the rest is left for the frame


class LogEvent(NamedTuple):
    """An event for the caller to log.

    Attributes:
        event: Name of the event.
        fields: Keys and values of the event.
    """

    event: str
    fields: dict[str, Any]


@dataclass
class GossipContext:
    """State that several parts of a node read; only the node replaces attributes.

    Attributes:
        settings: The operator's settings.
        local: This instance.
        keyring: Keyring of the peers' public keys.
        sources: Networks that peers may send from.
        members: Membership state of the peers.
        suspicions: Evidence about endpoints and the suspicions derived from it.
        limits: Rate limits of signature verifications.
        queue: Items to pass on.
        outbox: Outgoing datagrams.
        new_nonce: Returns 8 unpredictable bytes.
        unix: Returns the Unix time in seconds.
        by_address: Names of the peers by validated address.
        dropped: Number of dropped datagrams and items by `DropReason` value.
        log_events: Events that the caller has not logged yet.
    """

    settings: GossipSettings
    local: LocalInstance
    keyring: Keyring
    sources: AllowedNetworks
    members: Members
    suspicions: SuspicionDetector
    limits: VerificationLimits
    queue: DisseminationQueue
    outbox: Outbox
    new_nonce: Callable[[], bytes]
    unix: Callable[[], float]
    by_address: dict[Address, str] = field(default_factory=dict)
    dropped: dict[str, int] = field(
        default_factory=lambda: {reason.value: 0 for reason in DropReason}
    )
    log_events: list[LogEvent] = field(default_factory=list)

    def key_owner(self, key_id: bytes) -> str | None:
        """Returns the name of the peer that owns a key now, or None."""
        return self.keyring.owner(key_id, self.unix())

    def drop(self, reason: DropReason | None) -> None:
        """Counts a dropped datagram or item; does nothing if `reason` is None."""
        if reason is not None:
            self.dropped[reason.value] += 1

    def pick_items(self, receiver: str) -> list[bytes]:
        """Picks the items to piggyback on a datagram to `receiver`."""
        return self.queue.pick(len(self.members.live), ITEM_SPACE, receiver)
