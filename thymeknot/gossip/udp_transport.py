"""The gossip's socket, and its way to and from the proxy.

It reads a bounded number of datagrams in a round of the event loop, so that a flood delays no
request. What the socket can't send at once is lost, as the network may lose it.
"""

import os
import secrets
import socket
import time
from typing import Any, NamedTuple

from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from ..interface.clock import TICKS_PER_SECOND
from ..interface.enums import EndpointCondition, Outcome
from ..interface.events import SuspicionReported
from ..service import structured_log
from ..state.random_source import LinearCongruentialGenerator
from .context import TICK_INTERVAL
from .keyring import AllowedNetworks, Identity, Keyring, KeyringError, read_identity
from .node import GossipNode
from .outbox import Datagram
from .own_experience import EndpointKey
from .settings import GossipSettings, parse_address
from .suspicion import Suspicion

DATAGRAMS_AT_ONCE = 24  # in a round of the event loop; what stays comes in the next one
RECEIVE_BUFFER = 1 << 20  # bytes asked of the system, so that a flood leaves room between rounds
READ_SIZE = 2048  # bytes, more than a valid datagram has
REPORT_INTERVAL = 10 * TICKS_PER_SECOND  # between two log lines of counts
NONCE_SIZE = 8  # bytes
RANDOM_SEED_BITS = 64
FAILED_OUTCOMES = {Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED}
# Share of a request class's latency objective that a timed-out attempt must have had to count.
FULL_ATTEMPT = 0.99


class Credentials(NamedTuple):
    """What a node is made of beside its settings.

    Attributes:
        identity: What it signs with.
        ring: The peers' keys.
        sources: Networks that peers may send from.
    """

    identity: Identity
    ring: Keyring
    sources: AllowedNetworks


def load_credentials(settings: GossipSettings, folder: str) -> Credentials:
    """Returns the credentials that the settings name.

    Args:
        settings: The operator's settings.
        folder: Where the file of the key is looked for.

    Raises:
        KeyringError: They can't be used; the text begins with the faulty key of the settings.
    """
    try:
        with open(os.path.join(folder, settings.key), "rb") as source:
            identity = read_identity(settings.name, source.read())
        ring = Keyring(settings.peers, settings.revoked)
        sources = AllowedNetworks(settings.from_)
    except OSError as error:
        raise KeyringError(f"gossip.key: can't be read: {_reason(error)}") from None
    if ring.owner(identity.key_id, time.time()) not in (None, settings.name):
        raise KeyringError("gossip.key: belongs to another name in the ring")
    return Credentials(identity, ring, sources)


def _reason(error: OSError) -> str:
    return os.strerror(error.errno or 0)


def _bound_socket(listen: str) -> socket.socket:
    """Returns a non-blocking socket for datagrams.

    Raises:
        KeyringError: The address can't be bound.
    """
    host, port = parse_address(listen)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    try:
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise KeyringError(f"gossip.listen: {_reason(error)}: {listen}") from None
    return bound


class BusiestSecond:
    """What went out in the busiest second, for the log.

    Attributes:
        bytes_most: Bytes.
        datagrams_most: Datagrams.
    """

    def __init__(self) -> None:
        self._second = 0
        self._bytes = 0
        self._datagrams = 0
        self.bytes_most = 0
        self.datagrams_most = 0

    def count(self, now: int, datagrams: list[Datagram]) -> None:
        """Counts datagrams that go out."""
        second = now // TICKS_PER_SECOND
        if second != self._second:
            self._second = second
            self._bytes = 0
            self._datagrams = 0
        self._bytes += sum(len(datagram.content) for datagram in datagrams)
        self._datagrams += len(datagrams)
        self.bytes_most = max(self.bytes_most, self._bytes)
        self.datagrams_most = max(self.datagrams_most, self._datagrams)

    def reset(self) -> None:
        """Forgets the busiest second; the present one goes on."""
        self.bytes_most = 0
        self.datagrams_most = 0


@implementer(IReadDescriptor)
class GossipFeature:
    """Joins a node to a socket and the proxy.

    The proxy calls `on_attempt_ended` and `on_endpoints_changed`; suspicions come to it as events.

    Attributes:
        node: The node.
    """

    def __init__(self, proxy: Any, settings: GossipSettings, folder: str) -> None:
        """Opens the socket and begins.

        Args:
            proxy: The proxy.
            settings: The operator's settings.
            folder: Where the file of the key is looked for.

        Raises:
            KeyringError: The settings can't be used.
        """
        self._proxy = proxy
        self._settings = settings
        self._clock = proxy.clock
        credentials = load_credentials(settings, folder)
        self.node = GossipNode(
            settings,
            credentials.identity,
            credentials.ring,
            credentials.sources,
            announced=parse_address(settings.announce or settings.listen),
            seeds=[parse_address(seed) for seed in settings.seeds],
            now=self._clock(),
            random_source=LinearCongruentialGenerator(secrets.randbits(RANDOM_SEED_BITS)),
            start=time.time_ns() // 1_000_000,
            new_nonce=lambda: secrets.token_bytes(NONCE_SIZE),
            unix=time.time,
        )
        self._socket = _bound_socket(settings.listen)
        self._buffer = bytearray(READ_SIZE)
        self._view = memoryview(self._buffer)
        self._busiest = BusiestSecond()
        self._reported_at = self._clock()
        self._reported_drops: dict[str, int] = {}
        self._reported_verified = 0
        self._timer: Any = None
        self.on_endpoints_changed()
        proxy.reactor.addReader(self)
        self._tick()

    # The reactor's reader.

    def fileno(self) -> int:
        """Returns the socket's descriptor."""
        return self._socket.fileno()

    def logPrefix(self) -> str:  # noqa: N802 - Twisted's name
        """Returns what Twisted's log calls it."""
        return "gossip"

    def connectionLost(self, reason: Any) -> None:  # noqa: N802 - Twisted's name
        """Closes the socket as the reactor stops."""
        self.close()

    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Reads some datagrams."""
        now = self._clock()
        received = self.node.receive_datagram
        for _ in range(DATAGRAMS_AT_ONCE):
            try:
                length, source = self._socket.recvfrom_into(self._buffer)
            except OSError:  # nothing more, or an earlier datagram of ours met nobody
                break
            received(now, source[:2], bytes(self._view[:length]))
        self._flush()

    def _flush(self) -> None:
        """Sends, tells the proxy and logs what the node has for them."""
        datagrams = self.node.take_datagrams()
        if datagrams:
            self._busiest.count(self._clock(), datagrams)
        for datagram in datagrams:
            try:
                self._socket.sendto(datagram.content, datagram.address)
            except OSError:
                pass  # as lost on the way
        suspicions = self.node.take_suspicions()
        if suspicions:
            self._report_suspicions(suspicions)
        for event, fields in self.node.take_log_events():
            structured_log.log(event, **fields)

    def _report_suspicions(self, suspicions: list[Suspicion]) -> None:
        for endpoint, until in suspicions:
            structured_log.log(
                "endpoint suspected",
                pod=endpoint.id,
                build=endpoint.build,
                span=(until - self._clock()) / TICKS_PER_SECOND,
            )
        epoch = self._proxy.epoch
        self._proxy.handle_events(
            *(
                SuspicionReported(
                    endpoint.id,
                    endpoint.build,
                    endpoint.started - epoch if endpoint.started else 0,
                    until,
                )
                for endpoint, until in suspicions
            )
        )

    def _tick(self) -> None:
        self._timer = self._proxy.timers.add(self._clock() + TICK_INTERVAL, self._tick)
        now = self._clock()
        self.node.tick(now)
        self._flush()
        if now - self._reported_at >= REPORT_INTERVAL:
            self._report_counts(now)

    def _report_counts(self, now: int) -> None:
        node = self.node
        structured_log.log(
            "gossip",
            span=(now - self._reported_at) / TICKS_PER_SECOND,
            live=len(node.members.live),
            health=node.members.health,
            bytes_most=self._busiest.bytes_most,
            datagrams_most=self._busiest.datagrams_most,
            refused=node.outbox.limits.refused,
            verified=node.limits.verified - self._reported_verified,
            rumours=len(node.queue),
        )
        self._reported_at = now
        self._busiest.reset()
        self._reported_verified = node.limits.verified
        dropped = {
            reason: count
            for reason, count in node.dropped.items()
            if count != self._reported_drops.get(reason, 0)
        }
        if dropped:
            self._reported_drops = dict(node.dropped)
            structured_log.log("gossip dropped", **dropped)

    # From the proxy.

    def on_attempt_ended(self, attempt: Any, outcome: Outcome) -> None:
        """Counts an attempt that ended, where it says something of the endpoint.

        One that was cancelled or rejected does not, nor a timeout that only the client's short
        patience made.
        """
        if outcome == Outcome.DONE or outcome in FAILED_OUTCOMES:
            failed = outcome != Outcome.DONE
        elif outcome == Outcome.TIMED_OUT and self._had_full_time(attempt):
            failed = True
        else:
            return
        self.node.suspicions.record_attempt(self._clock(), attempt.endpoint.address, failed)

    def _had_full_time(self, attempt: Any) -> bool:
        """Returns whether an attempt had the time that its request class should take."""
        classes = self._proxy.settings.request_classes
        request_class = classes[attempt.request.command.request_class]
        return bool(
            attempt.expires_at - attempt.started_at
            >= FULL_ATTEMPT * request_class.latency_objective
        )

    def on_endpoints_changed(self) -> None:
        """Takes up the ready endpoints that the proxy has now."""
        proxy = self._proxy
        addresses = proxy.addresses if self._settings.hearsay.match_address else {}
        # An endpoint's start is told in Unix time: each instance counts from a start of its own.
        self.node.suspicions.set_endpoints(
            [
                EndpointKey(
                    endpoint.address,
                    str(addresses.get(endpoint.address, "")),
                    max(0, endpoint.build),
                    endpoint.started + proxy.epoch if endpoint.started else 0,
                )
                for endpoint in proxy.listed_endpoints.values()
                if endpoint.condition == EndpointCondition.READY
            ]
        )

    def reconfigure(self, settings: GossipSettings, folder: str) -> None:
        """Takes up another ring; other settings take a new start.

        Raises:
            KeyringError: The settings can't be used; what was there stays.
        """
        credentials = load_credentials(settings, folder)
        self.node.set_sources(credentials.sources)
        self.node.rekey(credentials.ring, self._clock())

    def stop(self) -> None:
        """Says goodbye to the peers."""
        self.node.leave(self._clock())
        self._flush()

    def close(self) -> None:
        """Closes the socket."""
        self._proxy.reactor.removeReader(self)
        self._proxy.timers.cancel(self._timer)
        self._socket.close()
