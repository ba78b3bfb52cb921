"""One instance's part in the gossip, without a network.

Datagrams and moments come in; datagrams, suspicions and log events go out.
"""

from collections.abc import Callable, Sequence

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .codec import Evidence, Left, Push
from .context import ITEM_SPACE, TICK_INTERVAL, GossipContext, LogEvent
from .dissemination_queue import LIFE, DisseminationQueue, QueuedItem, RandomSource
from .item_exchange import ItemExchange
from .keyring import AllowedNetworks, Identity, Keyring
from .membership import Members, MemberState
from .outbox import Datagram, LocalInstance, Outbox
from .peer_hints import PeerHints
from .prober import STALL, Prober
from .rate_limits import Address, SendLimits, SendPurpose, VerificationLimits
from .receiver import Receiver
from .settings import GossipSettings
from .suspicion import Suspicion, SuspicionDetector

PUSHES_IN_PERIOD = 5  # rounds of items in a protocol period
PUSH_FANOUT = 2  # peers that a round goes to
PROOFS_AT_ONCE = 4  # peers that are asked to prove themselves in a period
DECISIONS_IN_PERIOD = 2  # rounds of evidence and suspicions in a period
GOODBYE_FANOUT = 4  # peers that are told that this instance leaves
SEED_INTERVAL = 5 * TICKS_PER_SECOND  # between two questions to seeds, once a member lives


class GossipNode:
    """The parts of the gossip and their moments.

    A newcomer says nothing of itself: it asks, and proof comes by nonces. Hundreds that start at
    once would otherwise each tell all others what only a ping can prove.

    Attributes:
        context: What the parts share.
        local: This instance.
        members: The peers.
        suspicions: Evidence about endpoints.
        queue: Items that are passed on.
        outbox: What goes out.
        limits: How many signatures may be verified.
        prober: Probes.
        items: Items of others.
        changed_suspicions: Suspicions that the caller has not taken yet.
    """

    def __init__(
        self,
        settings: GossipSettings,
        identity: Identity,
        ring: Keyring,
        sources: AllowedNetworks,
        *,
        announced: Address,
        seeds: Sequence[Address],
        now: Ticks,
        random_source: RandomSource,
        start: int,
        new_nonce: Callable[[], bytes],
        unix: Callable[[], float],
    ) -> None:
        """Makes a node that has met nobody.

        Args:
            settings: The operator's settings.
            identity: What this instance signs with.
            ring: The peers' keys.
            sources: Networks that peers may send from.
            announced: Where others reach this instance.
            seeds: Addresses that are asked first.
            now: The time.
            random_source: What it draws from.
            start: Names this start.
            new_nonce: Returns 8 bytes that nobody can guess.
            unix: Returns Unix seconds.
        """
        self.local = LocalInstance(identity, announced, start, now)
        others = [name for name in ring.groups if name != identity.name]
        self.members = Members(others, settings, random_source)
        self.suspicions = SuspicionDetector(settings.hearsay, self._group_of)
        self.queue = DisseminationQueue(random_source, settings.hearsay.lapse)
        self.outbox = Outbox(self.local, SendLimits(settings.ceiling, now), self.queue)
        self.limits = VerificationLimits(settings.verifications, start, now)
        self.context = GossipContext(
            settings=settings,
            local=self.local,
            ring=ring,
            sources=sources,
            members=self.members,
            suspicions=self.suspicions,
            limits=self.limits,
            queue=self.queue,
            outbox=self.outbox,
            new_nonce=new_nonce,
            unix=unix,
        )
        self.changed_suspicions: list[Suspicion] = []
        self.prober = Prober(self.context)
        self._hints = PeerHints(self.context, now)
        self.items = ItemExchange(self.context, self.prober, self._hints)
        self._receiver = Receiver(self.context, self.prober, self._hints, self.items)
        self._seeds = [seed for seed in seeds if seed != announced]
        self._seed_turn = 0
        self._ask_seed_at = now
        self._tick_due = now
        self._probe_at = now
        self._push_at = now
        self._decide_at = now
        self._has_left = False

    def _group_of(self, name: str) -> str:
        return self.context.ring.groups.get(name, name)

    @property
    def dropped(self) -> dict[str, int]:
        """How much was dropped, by reason."""
        return self.context.dropped

    def take_datagrams(self) -> list[Datagram]:
        """Returns the datagrams that are to go out, once."""
        taken = self.outbox.datagrams
        self.outbox.datagrams = []
        return taken

    def take_suspicions(self) -> list[Suspicion]:
        """Returns the suspicions that began, grew or ended, once."""
        taken = self.changed_suspicions
        self.changed_suspicions = []
        return taken

    def take_log_events(self) -> list[LogEvent]:
        """Returns what a log should hold, once."""
        taken = self.context.log_events
        self.context.log_events = []
        return taken

    def receive_datagram(self, now: Ticks, source: Address, datagram: bytes) -> None:
        """Takes a datagram. What is wrong with it is counted by its reason and no more."""
        if not self._has_left:
            self.context.drop(self._receiver.receive(now, source, datagram))

    def tick(self, now: Ticks) -> None:
        """Does what is due; to be called every TICK_INTERVAL.

        A node that stood still for a while doubts itself first.
        """
        if now - self._tick_due > STALL:
            self.prober.after_stall(now)
        self._tick_due = now + TICK_INTERVAL
        self.prober.tick(now)
        period = self.context.settings.probe_every
        if now >= self._probe_at:
            self._probe_at = now + period
            self._begin_period(now)
        if now >= self._push_at:
            self._push_at = now + period // PUSHES_IN_PERIOD
            self._push(now)
        self._hints.tick(now)
        if now >= self._decide_at:
            self._decide_at = now + period // DECISIONS_IN_PERIOD
            self._decide(now)

    def _push(self, now: Ticks) -> None:
        """Passes items on, if there are fresh ones."""
        if not self.queue.has_fresh(len(self.members.live)):
            return
        for member in self.members.sample(PUSH_FANOUT):
            items = self.context.pick_items(member.name)
            if items:
                self.outbox.send(
                    now,
                    member.live_address(),
                    member.name,
                    Push(),
                    SendPurpose.UPDATES,
                    items=items,
                )

    def _begin_period(self, now: Ticks) -> None:
        if self._has_left:
            return
        self._probe(now)
        self.items.expire(now)
        unix = self.context.unix()
        self.queue.prune(now, lambda item: self._is_current(item, unix))
        for name, before, after in self.members.events:
            fields = {"peer": name, "before": before.value, "now": after.value}
            self.context.log_events.append(LogEvent("peer state changed", fields))
            if after == MemberState.DEAD:
                self.suspicions.forget_origin(name)
        self.members.events = []

    def _probe(self, now: Ticks) -> None:
        """Sends the probes of a period."""
        out = {probe.name for probe in self.prober.probes.values() if probe.period}
        for member in self.members.next_probes(now):
            if member.name not in out:
                self.prober.probe(
                    now, member.live_address(), member.name, SendPurpose.PROBE, period=True
                )
        for member in self.members.to_prove(now, PROOFS_AT_ONCE):
            if member.address is not None:
                self.prober.probe(now, member.address, member.name, SendPurpose.PROVE)
        for seed in self._seeds_to_ask(now):
            self.prober.probe(now, seed, None, SendPurpose.PROVE)

    def _seeds_to_ask(self, now: Ticks) -> Sequence[Address]:
        """Returns the seeds to ask in this period: all while no member lives, else one at times.

        A living member does not mean that all are met: parts of a fleet that began without each
        other would else stay apart for good.
        """
        if not self.members.live:
            return self._seeds
        unmet = [seed for seed in self._seeds if not self._is_met(seed)]
        if now < self._ask_seed_at or not unmet:
            return ()
        self._ask_seed_at = now + SEED_INTERVAL
        self._seed_turn += 1
        return (unmet[self._seed_turn % len(unmet)],)

    def _is_met(self, seed: Address) -> bool:
        name = self.context.by_address.get(seed)
        return name is not None and self._is_alive(name)

    def _is_current(self, item: QueuedItem, unix: float) -> bool:
        """Returns whether an item's key counts, and its origin's start is the present one."""
        if self.context.ring.owner(item.key_id, unix) != item.origin:
            return False
        member = self.members.all.get(item.origin)
        is_own = item.origin == self.local.name
        return is_own or (member is not None and member.start == item.start)

    def _is_alive(self, name: str) -> bool:
        member = self.members.all.get(name)
        return member is not None and member.is_live()

    def _decide(self, now: Ticks) -> None:
        for key, counts in self.suspicions.evidence_to_send(now):
            self.outbox.say(now, Evidence(*key, *counts), ("Evidence", key.id))
        self.changed_suspicions += self.suspicions.update(now, self._is_alive)

    def set_sources(self, sources: AllowedNetworks) -> None:
        """Takes up other networks that peers may send from."""
        self.context.sources = sources

    def rekey(self, ring: Keyring, now: Ticks) -> None:
        """Takes up another ring.

        Words signed with keys that no longer count are forgotten, and so are those who said them.
        """
        context = self.context
        unix = context.unix()
        context.ring = ring
        held = ring.active_names(unix)
        for name in [name for name in self.members.all if name not in held]:
            self.suspicions.forget_origin(name)
        orphaned = {
            item.origin
            for item in self.queue.items.values()
            if ring.owner(item.key_id, unix) != item.origin
        }
        for name in orphaned:
            self.suspicions.forget_origin(name)
        self.queue.prune(now, lambda item: ring.owner(item.key_id, unix) == item.origin)
        self.members.rekey([name for name in held if name != self.local.name])
        context.by_address = {
            member.address: member.name
            for member in self.members.all.values()
            if member.address and member.start
        }
        self.limits.set_validated_addresses(context.by_address)

    def leave(self, now: Ticks) -> None:
        """Says goodbye to a few: the others hear of it."""
        self._has_left = True
        self.outbox.say(now, Left(), LIFE)
        for member in self.members.sample(GOODBYE_FANOUT):
            items = self.queue.pick(len(self.members.live), ITEM_SPACE, member.name)
            self.outbox.send(
                now, member.live_address(), member.name, Push(), SendPurpose.ANSWER, items=items
            )
