"""What the parts of a gossip node share."""

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

TICK_INTERVAL = TICKS_PER_SECOND // 10  # between two calls of `GossipNode.tick`
ITEM_SPACE = 1100  # bytes of items in a datagram; the rest is for its frame


class LogEvent(NamedTuple):
    """What a log should hold.

    Attributes:
        event: Name of the event.
        fields: Its fields.
    """

    event: str
    fields: dict[str, Any]


@dataclass
class GossipContext:
    """The state that several parts of a node read. The node alone replaces parts of it.

    Attributes:
        settings: The operator's settings.
        local: This instance.
        ring: The peers' keys.
        sources: Networks that peers may send from.
        members: The peers.
        suspicions: Evidence about endpoints.
        limits: How many signatures may be verified.
        queue: Items that are passed on.
        outbox: What goes out.
        new_nonce: Returns 8 bytes that nobody can guess.
        unix: Returns Unix seconds.
        by_address: Names of the peers that proved an address, by address.
        dropped: How much was dropped, by the value of the `DropReason`.
        log_events: What the caller has not logged yet.
    """

    settings: GossipSettings
    local: LocalInstance
    ring: Keyring
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
        """Returns the name that a key belongs to now, or None."""
        return self.ring.owner(key_id, self.unix())

    def drop(self, reason: DropReason | None) -> None:
        """Counts what was dropped, if there is a reason."""
        if reason is not None:
            self.dropped[reason.value] += 1

    def pick_items(self, receiver: str) -> list[bytes]:
        """Picks items that ride on a datagram."""
        return self.queue.pick(len(self.members.live), ITEM_SPACE, receiver)
