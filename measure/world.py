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


class PlainIdentity:
    """What an identity is to a node, by a keyed hash. Who holds the key can forge: tests of that use real ones."""

    def __init__(self, name):
        self.name = name
        self.key_id = blake2b(name.encode(), digest_size=8).digest()

    def sign(self, message):
        return blake2b(message, key=self.key_id, digest_size=64).digest()


class PlainRing:
    def __init__(self, names, groups=None):
        self.groups = {name: (groups or {}).get(name, name) for name in names}
        self.names = {PlainIdentity(name).key_id: name for name in names}
        self.revoked = set()

    def owner(self, number, unix):
        name = self.names.get(number)
        return None if name in self.revoked else name

    def active_names(self, unix):
        return self.groups.keys() - self.revoked

    def verifies(self, number, message, signature):
        return blake2b(message, key=number, digest_size=64).digest() == signature


class Instance:
    """A node at an address, with a clock that may be ahead or stand still."""

    def __init__(self, world, name, address, ahead=0, terms=TERMS):
        self.world, self.name, self.address, self.ahead, self.terms = (
            world,
            name,
            address,
            ahead,
            terms,
        )
        self.node, self.stalled_till, self.waiting, self.turn = None, 0, [], 0

    def begin(self, seeds):
        world, self.turn = self.world, self.turn + 1
        start = int(world.chance.draw() * (1 << 50))
        self.node = GossipNode(
            self.terms,
            world.identity(self.name),
            world.ring,
            world.sources,
            announced=self.address,
            seeds=seeds,
            now=self.clock(),
            random_source=LinearCongruentialGenerator(start),
            start=start,
            new_nonce=world.nonce,
            unix=lambda: world.unix,
        )
        world.at(world.now + int(world.chance.draw() * TICK_INTERVAL), self._tick, self.turn)

    def clock(self):
        return self.world.now + self.ahead

    def _tick(self, turn):
        if self.node is None or turn != self.turn:
            return
        if self.world.now >= self.stalled_till:
            waiting, self.waiting = self.waiting, []
            for source, content in waiting:
                self.node.receive_datagram(self.clock(), source, content)
            self.node.tick(self.clock())
            self.flush()
        self.world.at(max(self.world.now, self.stalled_till) + TICK_INTERVAL, self._tick, turn)

    def received(self, source, content):
        if self.node is None:
            return
        if self.world.now < self.stalled_till:
            if len(self.waiting) < 500:
                self.waiting.append((source, content))
            return
        self.node.receive_datagram(self.clock(), source, content)
        self.flush()

    def flush(self):
        out = self.node.take_datagrams()
        for address, content in out:
            self.world.send(self.address, address, content)

    def stall(self, span):
        self.stalled_till = self.world.now + span

    def kill(self):
        self.node, self.waiting, self.turn = None, [], self.turn + 1


class World:
    """Time in tenths of a millisecond. loss, copies: shares of the datagrams; delay: (least, most)."""

    def __init__(self, names, seed, loss=0.0, copies=0.0, delay=(2, 30), groups=None):
        self.now, self.unix, self.chance, self.number = (
            1000 * SECOND,
            1_800_000_000,
            LinearCongruentialGenerator(seed),
            0,
        )
        self.loss, self.copies, self.delay, self.queue = loss, copies, delay, []
        self.ring, self.sources = PlainRing(names, groups), AllowedNetworks(TERMS.from_)
        self.instances, self.by_address, self.side, self.sent, self.taps = {}, {}, {}, 0, []
        for at, name in enumerate(names):
            address = (f"10.{at >> 16 & 255}.{at >> 8 & 255}.{at & 255}", 7946)
            self.instances[name] = self.by_address[address] = Instance(self, name, address)

    def identity(self, name):
        return PlainIdentity(name)

    def nonce(self):
        return int(self.chance.draw() * (1 << 31)).to_bytes(4, "big") + int(
            self.chance.draw() * (1 << 31)
        ).to_bytes(4, "big")

    def at(self, moment, call, *arguments):
        self.number += 1
        heapq.heappush(self.queue, (moment, self.number, call, arguments))

    def send(self, source, address, content):
        self.sent += 1
        for tap in self.taps:
            tap(source, address, content)
        if self.side.get(source, 0) != self.side.get(address, 0):
            return
        for _ in range(1 + (self.chance.draw() < self.copies)):
            if self.chance.draw() >= self.loss:
                least, most = self.delay
                self.at(
                    self.now + least + int(self.chance.draw() * (most - least)),
                    self._arrive,
                    source,
                    address,
                    content,
                )

    def _arrive(self, source, address, content):
        instance = self.by_address.get(address)
        if instance:
            instance.received(source, content)

    def run(self, span, each=None, every=SECOND):
        """On by so much; each() is called at every `every`."""
        end, after = self.now + span, self.now + every
        while self.queue and self.queue[0][0] <= end:
            moment, _, call, arguments = heapq.heappop(self.queue)
            while each and moment >= after:
                self.now, after = after, after + every
                each()
            self.now = moment
            call(*arguments)
        self.now = end

    def begin(self, seeds=2):
        first = [one.address for one in list(self.instances.values())[:seeds]]
        for instance in self.instances.values():
            instance.begin(first)

    def acquaint(self):
        """All have met all, as after some minutes; with hundreds, meeting itself would take most of the time."""
        for one in self.instances.values():
            for other in self.instances.values():
                if one is not other and one.node and other.node:
                    member, node = one.node.members.all[other.name], one.node
                    member.adopt_start(other.node.local.start)
                    member.offset = ClockOffset(
                        one.clock() - (other.clock() - other.node.local.started_at), 30
                    )
                    member.address, member.state = other.address, MemberState.ALIVE
                    node.context.by_address[other.address] = other.name
        for one in self.instances.values():
            one.node.members.update_live()
            one.node.limits.set_validated_addresses(one.node.context.by_address)

    def live(self):
        return [one for one in self.instances.values() if one.node]

    def states(self, name):
        """How the others see this one."""
        return [one.node.members.all[name].state for one in self.live() if one.name != name]
