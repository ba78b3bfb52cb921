"""Gossip nodes on a simulated network that loses, duplicates, delays and partitions datagrams.

Each node has its own clock and can be started, stalled and killed. Signatures are keyed hashes,
since Ed25519 would take most of the time. Times are in ticks of 0.1 ms.
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
    """A stand-in for an identity that signs with a keyed hash.

    The key is the public key id, so anyone can forge signatures. Tests of forgery use real keys.

    Attributes:
        name: Name of the instance.
        key_id: Key id, derived from the name.
    """

    def __init__(self, name):
        self.name = name
        self.key_id = blake2b(name.encode(), digest_size=8).digest()

    def sign(self, message):
        """Returns the keyed hash of a message."""
        return blake2b(message, key=self.key_id, digest_size=64).digest()


class KeyedHashKeyring:
    """A stand-in for a keyring with the key ids of KeyedHashIdentity.

    Attributes:
        groups: Group by name; peers in a group count as one witness. By default each has its own.
        names: Name by key id.
        revoked: Names whose keys are revoked.
    """

    def __init__(self, names, groups=None):
        self.groups = {name: (groups or {}).get(name, name) for name in names}
        self.names = {KeyedHashIdentity(name).key_id: name for name in names}
        self.revoked = set()

    def owner(self, key_id, unix_time):
        """Returns the name that a key belongs to, or None if it is unknown or revoked."""
        name = self.names.get(key_id)
        return None if name in self.revoked else name

    def active_names(self, unix_time):
        """Returns the names whose keys are not revoked."""
        return self.groups.keys() - self.revoked

    def verifies(self, key_id, message, signature):
        """Returns whether this is the keyed hash of the message."""
        return blake2b(message, key=key_id, digest_size=64).digest() == signature


class Instance:
    """A gossip node at an address that can be started, stalled and killed.

    Attributes:
        world: The simulated network.
        name: Name of the instance.
        address: Its address, (host, port).
        ahead: By how much its clock is ahead of the simulated time.
        settings: Gossip settings.
        node: The gossip node; None while it is not running.
        stalled_until: Until when it processes nothing.
        pending_datagrams: Datagrams received while it is stalled, as (source, content).
        generation: Number of starts and kills, to recognize ticks of an earlier start.
    """

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
        """Starts the node with the addresses of these seeds."""
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
        """Returns the time of its own clock."""
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
        """Processes a datagram; keeps it until the end of a stall, up to 500 of them."""
        if self.node is None:
            return
        if self.world.now < self.stalled_until:
            if len(self.pending_datagrams) < 500:
                self.pending_datagrams.append((source, content))
            return
        self.node.receive_datagram(self.clock(), source, content)
        self.flush()

    def flush(self):
        """Sends the datagrams in the node's outbox."""
        datagrams = self.node.take_datagrams()
        for address, content in datagrams:
            self.world.send(self.address, address, content)

    def stall(self, duration):
        """Stops all processing for this time."""
        self.stalled_until = self.world.now + duration

    def kill(self):
        """Stops the node and discards its state."""
        self.node, self.pending_datagrams, self.generation = None, [], self.generation + 1


class World:
    """A simulated network of instances, and its event queue.

    Attributes:
        now: Simulated time.
        unix_time: Unix time in seconds, constant.
        random_source: Random numbers of the network and of the starts.
        scheduled_events: Number of events scheduled so far; orders events of the same time.
        loss: Share of the datagrams that are lost.
        copies: Share of the datagrams that are duplicated.
        delay: Minimum and maximum delay of a datagram.
        event_queue: Heap of (time, number, callback, arguments).
        ring: Keyring of all instances.
        allowed_networks: Networks that peers may send from.
        instances: Instances by name.
        by_address: Instances by address.
        side: Side of a network partition by address, 0 by default. Datagrams between different
            sides are dropped.
        sent: Number of datagrams sent.
        taps: Functions that are called with the source, address and content of each datagram sent.
    """

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
        """Returns the identity of an instance. Subclasses may return one with a real key."""
        return KeyedHashIdentity(name)

    def new_nonce(self):
        """Returns a nonce of 8 bytes."""
        return int(self.random_source.draw() * (1 << 31)).to_bytes(4, "big") + int(
            self.random_source.draw() * (1 << 31)
        ).to_bytes(4, "big")

    def schedule(self, time, callback, *arguments):
        """Schedules a call at this time."""
        self.scheduled_events += 1
        heapq.heappush(self.event_queue, (time, self.scheduled_events, callback, arguments))

    def send(self, source, address, content):
        """Sends a datagram, which may be lost, duplicated or cut off by a partition."""
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
        """Advances the simulated time by a duration.

        Args:
            duration: How far to advance.
            observe: Called without arguments once per interval.
            interval: Time between the calls of `observe`.
        """
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
        """Starts all instances with the addresses of the first few as seeds."""
        seed_addresses = [seed.address for seed in list(self.instances.values())[:seeds]]
        for instance in self.instances.values():
            instance.begin(seed_addresses)

    def acquaint(self):
        """Makes all running instances know each other, as after some minutes of gossip.

        With hundreds of instances, simulating those minutes would take most of the time.
        """
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
        """Returns the running instances."""
        return [instance for instance in self.instances.values() if instance.node]

    def states(self, name):
        """Returns the states of an instance in the views of the other running instances."""
        return [
            observer.node.members.all[name].state
            for observer in self.live()
            if observer.name != name
        ]
