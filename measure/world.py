"""Instances in simulated time: gossip nodes on a network that loses, copies, delays and cuts, each with a clock of its
own, started and killed at will. Signatures are keyed hashes here, since Ed25519 would take most of the time.
"""

import heapq
from hashlib import blake2b

from thymeknot.gossip.context import TICK_INTERVAL
from thymeknot.gossip.keyring import AllowedNetworks
from thymeknot.gossip.membership import ClockOffset, MemberState
from thymeknot.gossip.node import GossipNode
from thymeknot.gossip.settings import (
    GossipSettings,
    SendLimitSettings,
    SuspicionSettings,
    VerificationLimitSettings,
)
from thymeknot.state.random_source import LinearCongruentialGenerator

SECOND = 10_000
HEARSAY = SuspicionSettings(3, 1, 3, 0.35, 0.25, 20 * SECOND, 4 * SECOND, True)
TERMS = GossipSettings(
    "",
    "",
    None,
    "",
    (),
    ("10.0.0.0/8",),
    (),
    (),
    SECOND,
    3 * SECOND // 10,
    3,
    5,
    SendLimitSettings(32_000, 60),
    VerificationLimitSettings(600, 120, 20),
    HEARSAY,
)


class KeyedHashIdentity:
    """What an identity is to a node, by a keyed hash. Who holds the key can forge: tests of that use real ones."""

    def __init__(self, name):
        self.name = name
        self.key_id = blake2b(name.encode(), digest_size=8).digest()

    def sign(self, message):
        return blake2b(message, key=self.key_id, digest_size=64).digest()


class KeyedHashKeyring:
    def __init__(self, names, groups=None):
        self.groups = {name: (groups or {}).get(name, name) for name in names}
        self.names = {KeyedHashIdentity(name).key_id: name for name in names}
        self.revoked = set()

    def owner(self, key_id, unix_time):
        name = self.names.get(key_id)
        return None if name in self.revoked else name

    def active_names(self, unix_time):
        return self.groups.keys() - self.revoked

    def verifies(self, key_id, message, signature):
        return blake2b(message, key=key_id, digest_size=64).digest() == signature


class Instance:
    """A node at an address, with a clock that may be ahead or stand still."""

    def __init__(self, world, name, address, ahead=0, settings=TERMS):
        self.world, self.name, self.address, self.ahead, self.settings = (
            world,
            name,
            address,
            ahead,
            settings,
        )
        self.node, self.stalled_until, self.pending_datagrams, self.generation = None, 0, [], 0

    def begin(self, seeds):
        world, self.generation = self.world, self.generation + 1
        start_id = int(world.random_source.draw() * (1 << 50))
        self.node = GossipNode(
            self.settings,
            world.identity(self.name),
            world.ring,
            world.allowed_networks,
            announced=self.address,
            seeds=seeds,
            now=self.clock(),
            random_source=LinearCongruentialGenerator(start_id),
            start=start_id,
            new_nonce=world.new_nonce,
            unix=lambda: world.unix_time,
        )
        world.schedule(
            world.now + int(world.random_source.draw() * TICK_INTERVAL), self._tick, self.generation
        )

    def clock(self):
        return self.world.now + self.ahead

    def _tick(self, generation):
        if self.node is None or generation != self.generation:
            return
        if self.world.now >= self.stalled_until:
            pending, self.pending_datagrams = self.pending_datagrams, []
            for source, content in pending:
                self.node.receive_datagram(self.clock(), source, content)
            self.node.tick(self.clock())
            self.flush()
        self.world.schedule(
            max(self.world.now, self.stalled_until) + TICK_INTERVAL, self._tick, generation
        )

    def received(self, source, content):
        if self.node is None:
            return
        if self.world.now < self.stalled_until:
            if len(self.pending_datagrams) < 500:
                self.pending_datagrams.append((source, content))
            return
        self.node.receive_datagram(self.clock(), source, content)
        self.flush()

    def flush(self):
        datagrams = self.node.take_datagrams()
        for address, content in datagrams:
            self.world.send(self.address, address, content)

    def stall(self, duration):
        self.stalled_until = self.world.now + duration

    def kill(self):
        self.node, self.pending_datagrams, self.generation = None, [], self.generation + 1


class World:
    """Time in tenths of a millisecond. loss, copies: shares of the datagrams; delay: (least, most)."""

    def __init__(self, names, seed, loss=0.0, copies=0.0, delay=(2, 30), groups=None):
        self.now, self.unix_time, self.random_source, self.scheduled_events = (
            1000 * SECOND,
            1_800_000_000,
            LinearCongruentialGenerator(seed),
            0,
        )
        self.loss, self.copies, self.delay, self.event_queue = loss, copies, delay, []
        self.ring, self.allowed_networks = (
            KeyedHashKeyring(names, groups),
            AllowedNetworks(TERMS.from_),
        )
        self.instances, self.by_address, self.side, self.sent, self.taps = {}, {}, {}, 0, []
        for index, name in enumerate(names):
            address = (f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}", 7946)
            self.instances[name] = self.by_address[address] = Instance(self, name, address)

    def identity(self, name):
        return KeyedHashIdentity(name)

    def new_nonce(self):
        return int(self.random_source.draw() * (1 << 31)).to_bytes(4, "big") + int(
            self.random_source.draw() * (1 << 31)
        ).to_bytes(4, "big")

    def schedule(self, time, callback, *arguments):
        self.scheduled_events += 1
        heapq.heappush(self.event_queue, (time, self.scheduled_events, callback, arguments))

    def send(self, source, address, content):
        self.sent += 1
        for tap in self.taps:
            tap(source, address, content)
        if self.side.get(source, 0) != self.side.get(address, 0):
            return
        for _ in range(1 + (self.random_source.draw() < self.copies)):
            if self.random_source.draw() >= self.loss:
                min_delay, max_delay = self.delay
                self.schedule(
                    self.now + min_delay + int(self.random_source.draw() * (max_delay - min_delay)),
                    self._deliver,
                    source,
                    address,
                    content,
                )

    def _deliver(self, source, address, content):
        instance = self.by_address.get(address)
        if instance:
            instance.received(source, content)

    def run(self, duration, observe=None, interval=SECOND):
        """On by so much; each() is called at every `every`."""
        end, next_call = self.now + duration, self.now + interval
        while self.event_queue and self.event_queue[0][0] <= end:
            time, _, callback, arguments = heapq.heappop(self.event_queue)
            while observe and time >= next_call:
                self.now, next_call = next_call, next_call + interval
                observe()
            self.now = time
            callback(*arguments)
        self.now = end

    def begin(self, seeds=2):
        seed_addresses = [seed.address for seed in list(self.instances.values())[:seeds]]
        for instance in self.instances.values():
            instance.begin(seed_addresses)

    def acquaint(self):
        """All have met all, as after some minutes; with hundreds, meeting itself would take most of the time."""
        for instance in self.instances.values():
            for other in self.instances.values():
                if instance is not other and instance.node and other.node:
                    member, node = instance.node.members.all[other.name], instance.node
                    member.adopt_start(other.node.local.start)
                    member.offset = ClockOffset(
                        instance.clock() - (other.clock() - other.node.local.started_at), 30
                    )
                    member.address, member.state = other.address, MemberState.ALIVE
                    node.context.by_address[other.address] = other.name
        for instance in self.instances.values():
            instance.node.members.update_live()
            instance.node.limits.set_validated_addresses(instance.node.context.by_address)

    def live(self):
        return [instance for instance in self.instances.values() if instance.node]

    def states(self, name):
        """How the others see this one."""
        return [
            observer.node.members.all[name].state
            for observer in self.live()
            if observer.name != name
        ]
