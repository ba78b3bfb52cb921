"""Processes items of other instances: verifies, applies and passes them on, or holds them."""

from collections.abc import Hashable
from hashlib import blake2b
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import codec
from .codec import Alive, DropReason, Evidence, Item, Left, SealedItem, Suspect
from .context import GossipContext, LogEvent
from .dissemination_queue import LIVENESS
from .membership import Member, MemberInput, MemberState
from .peer_hints import PeerHints
from .prober import Prober
from .rate_limits import SendPurpose

MAX_PENDING_ITEMS = 256  # held until their origins prove their current start
MAX_PENDING_ITEMS_PER_ORIGIN = 8
MAX_PENDING_AGE = 5 * TICKS_PER_SECOND
# An item may be dated in the future by this much, beyond the error of the measured clock offset.
MAX_CLOCK_LEAD = TICKS_PER_SECOND
DIGEST_SIZE = 8  # bytes


class PendingItem(NamedTuple):
    """An item that is held until its origin proves its current start.

    Attributes:
        received_at: When it was received.
        origin: Name of the origin.
        content: Encoded item with its signature.
    """

    received_at: Ticks
    origin: str
    content: bytes


class ItemExchange:
    """Processes items of other instances.

    Attributes:
        pending: Items held until their origin proves its current start, the oldest first.
    """

    def __init__(self, context: GossipContext, prober: Prober, hints: PeerHints) -> None:
        self._context = context
        self._prober = prober
        self._hints = hints
        self.pending: list[PendingItem] = []
        self._pending_by_origin: dict[str, int] = {}

    def receive(self, now: Ticks, forwarder: Member, content: bytes) -> DropReason | None:
        """Processes an item from a validated peer.

        Returns:
            The reason if the item was dropped, else None.
        """
        sealed = codec.read_item(content)
        if isinstance(sealed, DropReason):
            return sealed
        context = self._context
        item = sealed.item
        if item.origin == context.local.name:
            return None
        origin = context.members.all.get(item.origin)
        if origin is None or context.key_owner(sealed.key_id) != item.origin:
            return DropReason.KEY
        if origin.start != item.start or not origin.is_live():
            return self._hold_until_proved(now, forwarder, origin, item, content)
        digest = blake2b(content, digest_size=DIGEST_SIZE).digest()
        if origin.item_window.seen(item.number):
            known = origin.digests.get(item.number)
            if known is None or known == digest:
                return None
        return self._verify(now, forwarder, sealed) or self._accept(
            now, origin, sealed, content, digest
        )

    def _verify(self, now: Ticks, forwarder: Member, sealed: SealedItem) -> DropReason | None:
        limits = self._context.limits
        bucket = limits.peers.get(forwarder.address) if forwarder.address else None
        if not (bucket is None or bucket.take(now)) or not limits.total.take(now):
            return DropReason.BUDGET
        limits.verified += 1
        if not self._context.keyring.verifies(sealed.key_id, sealed.signed_bytes, sealed.signature):
            return DropReason.SIGNATURE
        return None

    def _accept(
        self, now: Ticks, origin: Member, sealed: SealedItem, content: bytes, digest: bytes
    ) -> DropReason | None:
        """Applies a verified item and queues it to be passed on."""
        context = self._context
        item = sealed.item
        if origin.item_window.seen(item.number):
            # The origin itself signed two different items with the same number.
            context.suspicions.discredit(origin.name)
            context.log_events.append(LogEvent("equivocation detected", {"peer": origin.name}))
            return DropReason.EQUIVOCATION
        origin.item_window.mark(item.number)
        origin.remember_digest(item.number, digest)
        offset = origin.clock_offset()
        made_at = item.made_at + offset.ticks
        max_age = context.settings.hearsay.lapse
        if now - made_at > max_age or made_at - now > MAX_CLOCK_LEAD + offset.error:
            return DropReason.LAPSED
        topic = self._apply(now, origin, item, made_at)
        if topic is None:
            return DropReason.LAPSED
        context.queue.add(item, sealed.key_id, content, made_at, topic)
        return None

    def _apply(self, now: Ticks, origin: Member, item: Item, made_at: Ticks) -> Hashable | None:
        """Applies an item and returns its topic, or None if its subject is unknown here."""
        body = item.body
        if isinstance(body, Alive):
            self._apply_alive(now, origin, body, made_at)
            return LIVENESS
        if isinstance(body, Left):
            self._context.members.apply(origin, MemberInput.LEFT, now)
            self._context.suspicions.forget_origin(origin.name)
            return LIVENESS
        if isinstance(body, Suspect):
            return ("Suspect", body.subject) if self._apply_suspect(now, origin, body) else None
        return self._apply_evidence(now, origin, body, made_at)

    def _apply_alive(self, now: Ticks, origin: Member, body: Alive, made_at: Ticks) -> None:
        if body.incarnation > origin.incarnation or origin.state == MemberState.ALIVE:
            origin.incarnation = max(origin.incarnation, body.incarnation)
            if now - made_at < self._context.settings.probe_every:
                self._context.members.apply(origin, MemberInput.FRESH_ITEM, now)

    def _apply_evidence(
        self, now: Ticks, origin: Member, body: Evidence, made_at: Ticks
    ) -> Hashable | None:
        used = self._context.suspicions.add_evidence(now, origin.name, body, made_at)
        return ("Evidence", body.endpoint_id) if used else None

    def _apply_suspect(self, now: Ticks, origin: Member, body: Suspect) -> bool:
        """Records a suspicion and returns whether it concerns the subject's current start."""
        context = self._context
        if body.subject == context.local.name:
            self._refute(now, body)
            return True
        subject = context.members.all.get(body.subject)
        if subject is None or subject.start != body.start or body.incarnation < subject.incarnation:
            return False
        group = context.keyring.groups.get(origin.name, origin.name)
        context.members.record_suspicion(subject, group, now)
        return True

    def _refute(self, now: Ticks, body: Suspect) -> None:
        """Refutes a suspicion of the current incarnation by announcing a higher one."""
        context = self._context
        local = context.local
        if body.start == local.start and body.incarnation >= local.incarnation:
            local.incarnation = body.incarnation + 1
            context.members.change_health(1)
            context.outbox.publish(now, Alive(*local.announced, local.incarnation), LIVENESS)

    def _hold_until_proved(
        self, now: Ticks, forwarder: Member, origin: Member, item: Item, content: bytes
    ) -> DropReason | None:
        """Holds an item whose origin has not proved the item's start, and probes the origin."""
        body = item.body
        if isinstance(body, Alive):
            # Not verified yet, so it is the forwarder's word.
            self._hints.learn(now, origin.name, (body.host, body.port), forwarder.name)
        pending = self._pending_by_origin.get(origin.name, 0)
        if (
            isinstance(body, Alive)
            or origin.start == item.start
            or not (origin.address or origin.candidates)
            or len(self.pending) >= MAX_PENDING_ITEMS
            or pending >= MAX_PENDING_ITEMS_PER_ORIGIN
        ):
            return DropReason.UNPROVED
        self._pending_by_origin[origin.name] = pending + 1
        self.pending.append(PendingItem(now, origin.name, content))
        self._probe_origin(now, origin)
        return None

    def _probe_origin(self, now: Ticks, origin: Member) -> None:
        """Probes the origin of a held item, if it was not probed within the last period."""
        period = self._context.settings.probe_every
        if now - origin.last_probe_at < period:
            return
        address = origin.address or origin.candidates.take_next(now, period)
        if address is not None:
            origin.last_probe_at = now
            self._prober.probe(now, address, origin.name, SendPurpose.PROVE)

    def release_pending(self, now: Ticks, member: Member) -> None:
        """Processes the items that were held for a peer which has now been validated."""
        if not self._pending_by_origin.pop(member.name, None):
            return
        pending = self.pending
        self.pending = [item for item in pending if item.origin != member.name]
        for item in pending:
            if item.origin == member.name:
                self._context.drop(self.receive(now, member, item.content))

    def expire(self, now: Ticks) -> None:
        """Drops items that have been held longer than `MAX_PENDING_AGE`."""
        if not self.pending or now - self.pending[0].received_at <= MAX_PENDING_AGE:
            return
        self.pending = [item for item in self.pending if now - item.received_at <= MAX_PENDING_AGE]
        self._pending_by_origin = {}
        for item in self.pending:
            self._pending_by_origin[item.origin] = self._pending_by_origin.get(item.origin, 0) + 1
