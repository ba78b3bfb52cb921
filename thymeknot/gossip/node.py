"""The gossip node of one instance, without a network.

Its inputs are datagrams and ticks; its outputs are datagrams, suspicions and log events.
"""

from collections.abc import Callable, Sequence

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .codec import Evidence, Left, Push
from .context import ITEM_SPACE, TICK_INTERVAL, GossipContext, LogEvent
from .dissemination_queue import LIVENESS, DisseminationQueue, QueuedItem, RandomSource
from .item_exchange import ItemExchange
from .keyring import AllowedNetworks, Identity, Keyring
from .membership import Members, MemberState
from .outbox import Datagram, LocalInstance, Outbox
from .peer_hints import PeerHints
from .prober import STALL_THRESHOLD, Prober
from .rate_limits import Address, SendLimits, SendPurpose, VerificationLimits
from .receiver import Receiver
from .settings import GossipSettings
from .suspicion import Suspicion, SuspicionDetector

PUSHES_PER_PERIOD = 5  # rounds of pushed items per protocol period
PUSH_FANOUT = 2  # peers that receive the items of a round
VALIDATIONS_PER_PERIOD = 4  # addresses of peers that are not live, probed per period
EVALUATIONS_PER_PERIOD = 2  # rounds of evidence and suspicions per period
LEAVE_FANOUT = 4  # peers that are notified when this instance leaves
SEED_PROBE_INTERVAL = 5 * TICKS_PER_SECOND  # while any member is live


class GossipNode:
    """Combines the parts of gossip and schedules their work.

    A new instance does not announce itself: it pings seeds and peers, and both sides validate each
    other by nonces. Otherwise hundreds of instances that start at once would each announce to all
    others what only a ping can prove.

    Attributes:
        context: State shared by the parts.
        local: This instance.
        members: Membership state of the peers.
        suspicions: Evidence about endpoints and the suspicions derived from it.
        queue: Items to pass on.
        outbox: Outgoing datagrams.
        limits: Rate limits of signature verifications.
        prober: Outstanding probes.
        items: Processes items of other instances.
        changed_suspicions: Suspicions that the caller has not taken yet.
    """

    def __init__(
        self,
        settings: GossipSettings,
        identity: Identity,
        keyring: Keyring,
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
        """Creates a node that knows no address of a peer.

        Args:
            settings: The operator's settings.
            identity: Name and private key of this instance.
            keyring: Keyring of the peers' public keys.
            sources: Networks that peers may send from.
            announced: Address at which peers reach this instance.
            seeds: Addresses that are probed first.
            now: Current time.
            random_source: Random numbers for probe order, fanout and the queue.
            start: Id of this start, unique among the starts of this instance.
            new_nonce: Returns 8 unpredictable bytes.
            unix: Returns the Unix time in seconds.
        """
        self.local = LocalInstance(identity, announced, start, now)
        others = [name for name in keyring.groups if name != identity.name]
        self.members = Members(others, settings, random_source)
        self.suspicions = SuspicionDetector(settings.hearsay, self._group_of)
        self.queue = DisseminationQueue(random_source, settings.hearsay.lapse)
        self.outbox = Outbox(self.local, SendLimits(settings.ceiling, now), self.queue)
        self.limits = VerificationLimits(settings.verifications, start, now)
        self.context = GossipContext(
            settings=settings,
            local=self.local,
            keyring=keyring,
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
        self._seed_index = 0
        self._next_seed_probe_at = now
        self._next_tick_at = now
        self._next_probe_at = now
        self._next_push_at = now
        self._next_evaluation_at = now
        self._has_left = False

    def _group_of(self, name: str) -> str:
        return self.context.keyring.groups.get(name, name)

    @property
    def dropped(self) -> dict[str, int]:
        """Number of dropped datagrams and items by reason."""
        return self.context.dropped

    def take_datagrams(self) -> list[Datagram]:
        """Returns and clears the outgoing datagrams."""
        taken = self.outbox.datagrams
        self.outbox.datagrams = []
        return taken

    def take_suspicions(self) -> list[Suspicion]:
        """Returns and clears the suspicions that began or ended."""
        taken = self.changed_suspicions
        self.changed_suspicions = []
        return taken

    def take_log_events(self) -> list[LogEvent]:
        """Returns and clears the events to log."""
        taken = self.context.log_events
        self.context.log_events = []
        return taken

    def receive_datagram(self, now: Ticks, source: Address, datagram: bytes) -> None:
        """Processes a datagram. A dropped one is only counted by its reason."""
        if not self._has_left:
            self.context.drop(self._receiver.receive(now, source, datagram))

    def tick(self, now: Ticks) -> None:
        """Runs the work that is due. Must be called every `TICK_INTERVAL`.

        After a stall of this process, outstanding probes get more time and the local health score
        rises.
        """
        if now - self._next_tick_at > STALL_THRESHOLD:
            self.prober.after_stall(now)
        self._next_tick_at = now + TICK_INTERVAL
        self.prober.tick(now)
        period = self.context.settings.probe_every
        if now >= self._next_probe_at:
            self._next_probe_at = now + period
            self._begin_period(now)
        if now >= self._next_push_at:
            self._next_push_at = now + period // PUSHES_PER_PERIOD
            self._push(now)
        self._hints.tick(now)
        if now >= self._next_evaluation_at:
            self._next_evaluation_at = now + period // EVALUATIONS_PER_PERIOD
            self._evaluate_endpoints(now)

    def _push(self, now: Ticks) -> None:
        """Pushes items to random peers if any is below its retransmit limit."""
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
        for name, before, after in self.members.state_changes:
            fields = {"peer": name, "before": before.value, "now": after.value}
            self.context.log_events.append(LogEvent("peer state changed", fields))
            if after == MemberState.DEAD:
                self.suspicions.forget_origin(name)
        self.members.state_changes = []

    def _probe(self, now: Ticks) -> None:
        """Sends the probes of a protocol period."""
        outstanding = {probe.name for probe in self.prober.probes.values() if probe.is_period_probe}
        for member in self.members.next_probes(now):
            if member.name not in outstanding:
                self.prober.probe(
                    now, member.live_address(), member.name, SendPurpose.PROBE, is_period_probe=True
                )
        for member, address in self.members.addresses_to_validate(now, VALIDATIONS_PER_PERIOD):
            self.prober.probe(now, address, member.name, SendPurpose.PROVE)
        for seed in self._seeds_to_probe(now):
            self.prober.probe(now, seed, None, SendPurpose.PROVE)

    def _seeds_to_probe(self, now: Ticks) -> Sequence[Address]:
        """Returns the seeds to probe: all while no member is live, otherwise one per interval.

        A live member does not mean that all peers are known. If instances stopped probing seeds,
        parts of a fleet that started during a network partition would never find each other.
        """
        if not self.members.live:
            return self._seeds
        unknown_seeds = [seed for seed in self._seeds if not self._is_seed_known(seed)]
        if now < self._next_seed_probe_at or not unknown_seeds:
            return ()
        self._next_seed_probe_at = now + SEED_PROBE_INTERVAL
        self._seed_index += 1
        return (unknown_seeds[self._seed_index % len(unknown_seeds)],)

    def _is_seed_known(self, seed: Address) -> bool:
        name = self.context.by_address.get(seed)
        return name is not None and self._is_alive(name)

    def _is_current(self, item: QueuedItem, unix: float) -> bool:
        """Returns whether an item's key is valid and it belongs to its origin's current start."""
        if self.context.keyring.owner(item.key_id, unix) != item.origin:
            return False
        member = self.members.all.get(item.origin)
        is_own = item.origin == self.local.name
        return is_own or (member is not None and member.start == item.start)

    def _is_alive(self, name: str) -> bool:
        member = self.members.all.get(name)
        return member is not None and member.is_live()

    def _evaluate_endpoints(self, now: Ticks) -> None:
        for key, counts in self.suspicions.evidence_to_send(now):
            self.outbox.publish(now, Evidence(*key, *counts), ("Evidence", key.id))
        self.changed_suspicions += self.suspicions.update(now, self._is_alive)

    def set_sources(self, sources: AllowedNetworks) -> None:
        """Replaces the networks that peers may send from."""
        self.context.sources = sources

    def set_keyring(self, keyring: Keyring, now: Ticks) -> None:
        """Replaces the keyring.

        Removes peers without a valid key, items signed with invalid keys, and the evidence of their
        origins.
        """
        context = self.context
        unix = context.unix()
        context.keyring = keyring
        active_names = keyring.active_names(unix)
        for name in [name for name in self.members.all if name not in active_names]:
            self.suspicions.forget_origin(name)
        orphaned = {
            item.origin
            for item in self.queue.items.values()
            if keyring.owner(item.key_id, unix) != item.origin
        }
        for name in orphaned:
            self.suspicions.forget_origin(name)
        self.queue.prune(now, lambda item: keyring.owner(item.key_id, unix) == item.origin)
        self.members.set_names([name for name in active_names if name != self.local.name])
        context.by_address = {
            member.address: member.name
            for member in self.members.all.values()
            if member.address and member.start
        }
        self.limits.set_validated_addresses(context.by_address)

    def leave(self, now: Ticks) -> None:
        """Announces to a few peers that this instance leaves; they pass it on."""
        self._has_left = True
        self.outbox.publish(now, Left(), LIVENESS)
        for member in self.members.sample(LEAVE_FANOUT):
            items = self.queue.pick(len(self.members.live), ITEM_SPACE, member.name)
            self.outbox.send(
                now, member.live_address(), member.name, Push(), SendPurpose.ANSWER, items=items
            )
