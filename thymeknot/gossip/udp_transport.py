"""The gossip's socket, and its way to and from the sidecar. Reads a bounded number of datagrams in a round of the
loop, so that a flood delays no transaction; what the socket can't send at once is lost, as the network may lose it."""

import os
import secrets
import socket
import time

from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from ..interface.enums import EndpointCondition, Outcome
from ..interface.events import SuspicionReported
from ..service import structured_log
from ..state.random_source import LinearCongruentialGenerator
from . import keyring as identities
from . import settings as t
from .node import TICK, GossipNode
from .own_experience import EndpointKey

READ_AT_ONCE = 24  # datagrams a round; what stays comes in the next one
READ_BUFFER = 1 << 20  # asked of the system, so that a flood leaves room between two rounds
TELL_EVERY = 100_000  # of counts of what was dropped
FAILED = {Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED}


def built(terms, folder):
    """(identity, ring, sources) of the settings. Raises identity.Unusable, whose text begins with the faulty key."""
    try:
        with open(os.path.join(folder, terms.key), "rb") as source:
            mine = identities.read_identity(terms.name, source.read())
        ring = identities.Keyring(terms.peers, terms.revoked)
        sources = identities.AllowedNetworks(terms.from_)
    except OSError as error:
        raise identities.KeyringError(
            f"gossip.key: can't be read: {os.strerror(error.errno)}"
        ) from None
    if ring.owner(mine.key_id, time.time()) not in (None, terms.name):
        raise identities.KeyringError("gossip.key: belongs to another name in the ring")
    return mine, ring, sources


@implementer(IReadDescriptor)
class GossipFeature:
    """Joins a Node to a socket and a Sidecar. The sidecar calls `ended` and `listed`; doubts come to it as events."""

    def __init__(self, proxy, terms, folder):
        self.proxy, self.reactor, self.terms = proxy, proxy.reactor, terms
        self.clock, self.timers = proxy.clock, proxy.timers
        mine, ring, sources = built(terms, folder)
        announced = t.address(terms.announce or terms.listen)
        start = time.time_ns() // 1_000_000
        self.node = GossipNode(
            terms,
            mine,
            ring,
            sources,
            announced,
            [t.address(one) for one in terms.seeds],
            self.clock(),
            LinearCongruentialGenerator(secrets.randbits(64)),
            start,
            lambda: secrets.token_bytes(8),
            time.time,
        )
        host, port = t.address(terms.listen)
        self.socket = socket.socket(
            socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM
        )
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER)
        try:
            self.socket.bind((host, port))
        except OSError as error:
            self.socket.close()
            raise identities.KeyringError(
                f"gossip.listen: {os.strerror(error.errno)}: {terms.listen}"
            ) from None
        self.buffer = bytearray(2048)
        self.view = memoryview(self.buffer)
        self.told_at, self.told, self.ticking = self.clock(), {}, None
        self.second, self.sent, self.most, self.verified = 0, [0, 0], [0, 0], 0
        self.listed()
        self.reactor.addReader(self)
        self._tick()

    # The reactor's reader.

    def fileno(self):
        return self.socket.fileno()

    def logPrefix(self):
        return "gossip"

    def connectionLost(self, reason):
        self.close()

    def doRead(self):
        now, received = self.clock(), self.node.received
        for _ in range(READ_AT_ONCE):
            try:
                length, source = self.socket.recvfrom_into(self.buffer)
            except OSError:  # nothing more, or an earlier datagram of ours met nobody
                break
            received(now, source[:2], bytes(self.view[:length]))
        self._flush()

    def _flush(self):
        out, self.node.out = self.node.out, []
        if out:
            self._count(out)
        for address, content in out:
            try:
                self.socket.sendto(content, address)
            except OSError:
                pass  # as lost on the way
        doubts, self.node.doubts = self.node.doubts, []
        if doubts:
            for doubt in doubts:
                structured_log.log(
                    "endpoint suspected",
                    pod=doubt.endpoint.id,
                    build=doubt.endpoint.build,
                    span=(doubt.until - self.clock()) / 10_000,
                )
            epoch = self.proxy.epoch
            self.proxy.tell(
                *(
                    SuspicionReported(
                        one.endpoint.id,
                        one.endpoint.build,
                        one.endpoint.started - epoch if one.endpoint.started else 0,
                        one.until,
                    )
                    for one in doubts
                )
            )
        said, self.node.said = self.node.said, []
        for event, fields in said:
            structured_log.log(event, **fields)

    def _count(self, out):
        """What went out in the busiest second, for the log."""
        second = self.clock() // 10_000
        if second != self.second:
            self.second, self.sent = second, [0, 0]
        self.sent[0] += sum(len(content) for _, content in out)
        self.sent[1] += len(out)
        self.most = [max(pair) for pair in zip(self.most, self.sent)]

    def _tick(self):
        self.ticking = self.timers.add(self.clock() + TICK, self._tick)
        now = self.clock()
        self.node.tick(now)
        self._flush()
        if now - self.told_at >= TELL_EVERY:
            span, self.told_at = (now - self.told_at) / 10_000, now
            node = self.node
            structured_log.log(
                "gossip",
                span=span,
                live=len(node.members.live),
                health=node.members.health,
                bytes_most=self.most[0],
                datagrams_most=self.most[1],
                refused=node.sending.refused,
                verified=node.verified - self.verified,
                rumours=len(node.rumours),
            )
            self.most, self.verified = [0, 0], node.verified
            dropped = {
                kind: count
                for kind, count in self.node.dropped.items()
                if count != self.told.get(kind, 0)
            }
            if dropped:
                self.told = dict(self.node.dropped)
                structured_log.log("gossip dropped", **dropped)

    # From the sidecar.

    def ended(self, attempt, outcome):
        """An end of an attempt, where it says something of the pod: not what was recalled or turned away, nor a
        time-out that only the client's short patience made."""
        if outcome == Outcome.DONE or outcome in FAILED:
            self.node.suspicions.record_attempt(
                self.clock(), attempt.endpoint.address, outcome != Outcome.DONE
            )
        elif outcome == Outcome.TIMED_OUT:
            lane = self.proxy.settings.request_classes[attempt.request.command.request_class]
            if attempt.expires_at - attempt.started_at >= 0.99 * lane.latency_objective:
                self.node.suspicions.record_attempt(self.clock(), attempt.endpoint.address, True)

    def listed(self):
        ready = [
            pod for pod in self.proxy.listed.values() if pod.condition == EndpointCondition.READY
        ]
        places = self.proxy.addresses if self.terms.hearsay.match_address else {}
        # A pod's start is told in Unix time: each instance counts from a start of its own.
        self.node.suspicions.set_endpoints(
            [
                EndpointKey(
                    pod.address,
                    str(places.get(pod.address, "")),
                    max(0, pod.build),
                    pod.started + self.proxy.epoch if pod.started else 0,
                )
                for pod in ready
            ]
        )

    def reconfigure(self, terms, folder):
        """Takes up another ring; other settings take a new start. Raises identity.Unusable, and keeps what it has."""
        _, ring, sources = built(terms, folder)
        self.node.sources = sources
        self.node.rekey(ring, self.clock())

    def leave(self):
        self.node.leave(self.clock())
        self._flush()

    def close(self):
        self.reactor.removeReader(self)
        self.timers.cancel(self.ticking)
        self.socket.close()
