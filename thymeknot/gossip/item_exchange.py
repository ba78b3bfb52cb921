"""Items of others: verified, applied and passed on, or kept until their origin proves itself."""

from collections.abc import Hashable
from hashlib import blake2b
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import codec
from .codec import Alive, DropReason, Evidence, Item, Left, SealedItem, Suspect
from .context import GossipContext, LogEvent
from .dissemination_queue import LIFE
from .membership import Member, MemberInput, MemberState
from .peer_hints import PeerHints
from .prober import Prober
from .rate_limits import SendPurpose

MAX_WAITING = 256  # items that wait for their origin's proof
MAX_WAITING_OF_ORIGIN = 8  # items
MAX_WAIT = 5 * TICKS_PER_SECOND
# An item may seem to come from so much later than its origin's clock allows.
MAX_AHEAD = TICKS_PER_SECOND
DIGEST_SIZE = 8  # bytes


class WaitingItem(NamedTuple):
    """An item that waits for its origin's proof.

    Attributes:
        since: When it came.
        origin: Name of the origin.
        content: Its bytes.
    """

    since: Ticks
    origin: str
    content: bytes


class ItemExchange:
    """Takes items of others.

    Attributes:
        waiting: Items that wait for their origin's proof, the oldest first.
    """

    def __init__(self, context: GossipContext, prober: Prober, hints: PeerHints) -> None:
        self._context = context
        self._prober = prober
        self._hints = hints
        self.waiting: list[WaitingItem] = []
        self._waiting_by_origin: dict[str, int] = {}

    def receive(self, now: Ticks, bringer: Member, content: bytes) -> DropReason | None:
        """Takes an item that a proved peer brought, and returns why it was dropped, if it was."""
        read = codec.read_item(content)
        if isinstance(read, DropReason):
            return read
        context = self._context
        item = read.item
        if item.origin == context.local.name:
            return None
        origin = context.members.all.get(item.origin)
        if origin is None or context.key_owner(read.key_id) != item.origin:
            return DropReason.KEY
        if origin.start != item.start or not origin.is_live():
            return self._set_aside(now, origin, item, content)
        digest = blake2b(content, digest_size=DIGEST_SIZE).digest()
        if origin.items.seen(item.number):
            known = origin.digests.get(item.number)
            if known is None or known == digest:
                return None
        return self._verify(now, bringer, read) or self._take(now, origin, read, content, digest)

    def _verify(self, now: Ticks, bringer: Member, read: SealedItem) -> DropReason | None:
        limits = self._context.limits
        bucket = limits.peers.get(bringer.address) if bringer.address else None
        if not (bucket is None or bucket.take(now)) or not limits.total.take(now):
            return DropReason.BUDGET
        limits.verified += 1
        if not self._context.ring.verifies(read.key_id, read.signed, read.signature):
            return DropReason.SIGNATURE
        return None

    def _take(
        self, now: Ticks, origin: Member, read: SealedItem, content: bytes, digest: bytes
    ) -> DropReason | None:
        """Takes a verified item."""
        context = self._context
        item = read.item
        if origin.items.seen(item.number):
            # Another content under the same number, and the origin's own signature.
            context.suspicions.discredit(origin.name)
            context.log_events.append(LogEvent("equivocation detected", {"peer": origin.name}))
            return DropReason.EQUIVOCATION
        origin.items.mark(item.number)
        origin.remember(item.number, digest)
        offset = origin.clock_offset()
        made = item.at + offset.ticks
        lapse = context.settings.hearsay.lapse
        if now - made > lapse or made - now > MAX_AHEAD + offset.error:
            return DropReason.LAPSED
        about = self._apply(now, origin, item, made)
        if about is None:
            return DropReason.LAPSED
        context.queue.add(item, read.key_id, content, made, about)
        return None

    def _apply(self, now: Ticks, origin: Member, item: Item, made: Ticks) -> Hashable | None:
        """Applies an item, and returns what it is about; None if that is not known here."""
        body = item.body
        if isinstance(body, Alive):
            self._alive(now, origin, body, made)
            return LIFE
        if isinstance(body, Left):
            self._context.members.step(origin, MemberInput.LEFT, now)
            self._context.suspicions.forget_origin(origin.name)
            return LIFE
        if isinstance(body, Suspect):
            return ("Suspect", body.subject) if self._suspect(now, origin, body) else None
        return self._evidence(now, origin, body, made)

    def _alive(self, now: Ticks, origin: Member, body: Alive, made: Ticks) -> None:
        if body.incarnation > origin.incarnation or origin.state == MemberState.ALIVE:
            origin.incarnation = max(origin.incarnation, body.incarnation)
            if now - made < self._context.settings.probe_every:
                self._context.members.step(origin, MemberInput.SPOKE, now)

    def _evidence(self, now: Ticks, origin: Member, body: Evidence, made: Ticks) -> Hashable | None:
        used = self._context.suspicions.add_evidence(now, origin.name, body, made)
        return ("Evidence", body.pod) if used else None

    def _suspect(self, now: Ticks, origin: Member, body: Suspect) -> bool:
        """Takes note that a peer is suspected, and returns whether that is of its present start."""
        context = self._context
        if body.subject == context.local.name:
            self._refute(now, body)
            return True
        subject = context.members.all.get(body.subject)
        if subject is None or subject.start != body.start or body.incarnation < subject.incarnation:
            return False
        group = context.ring.groups.get(origin.name, origin.name)
        context.members.suspected(subject, group, now)
        return True

    def _refute(self, now: Ticks, body: Suspect) -> None:
        """Says that this instance lives, if its present incarnation is suspected."""
        context = self._context
        local = context.local
        if body.start == local.start and body.incarnation >= local.incarnation:
            local.incarnation = body.incarnation + 1
            context.members.change_health(1)
            context.outbox.say(now, Alive(*local.announced, local.incarnation), LIFE)

    def _set_aside(
        self, now: Ticks, origin: Member, item: Item, content: bytes
    ) -> DropReason | None:
        """Has an item of an origin that has not proved this start wait a short while."""
        body = item.body
        if isinstance(body, Alive) and origin.state == MemberState.UNPROVED:
            self._hints.learn(now, origin.name, (body.host, body.port))
        waiting = self._waiting_by_origin.get(origin.name, 0)
        if (
            isinstance(body, Alive)
            or origin.start == item.start
            or origin.address is None
            or len(self.waiting) >= MAX_WAITING
            or waiting >= MAX_WAITING_OF_ORIGIN
        ):
            return DropReason.UNPROVED
        self._waiting_by_origin[origin.name] = waiting + 1
        self.waiting.append(WaitingItem(now, origin.name, content))
        if now - origin.looked >= self._context.settings.probe_every:
            origin.looked = now
            self._prober.probe(now, origin.address, origin.name, SendPurpose.PROVE)
        return None

    def release(self, now: Ticks, member: Member) -> None:
        """Takes the items that waited for a peer's proof."""
        if not self._waiting_by_origin.pop(member.name, None):
            return
        waiting = self.waiting
        self.waiting = [one for one in waiting if one.origin != member.name]
        for one in waiting:
            if one.origin == member.name:
                self._context.drop(self.receive(now, member, one.content))

    def expire(self, now: Ticks) -> None:
        """Drops the items that waited too long."""
        if not self.waiting or now - self.waiting[0].since <= MAX_WAIT:
            return
        self.waiting = [one for one in self.waiting if now - one.since <= MAX_WAIT]
        self._waiting_by_origin = {}
        for one in self.waiting:
            self._waiting_by_origin[one.origin] = self._waiting_by_origin.get(one.origin, 0) + 1
