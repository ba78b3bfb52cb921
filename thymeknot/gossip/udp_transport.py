"""UDP transport of gossip and its connection to the proxy.

A bounded number of datagrams is read per iteration of the event loop, so that a flood does not
delay requests. Datagrams that the socket can't send immediately are dropped, as the network may
lose datagrams as well.
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

DATAGRAMS_PER_READ = 24  # per iteration of the event loop; the rest waits for the next one
RECEIVE_BUFFER_SIZE = 1 << 20  # bytes requested from the kernel, to absorb a flood between reads
READ_BUFFER_SIZE = 2048  # bytes, more than the longest valid datagram
REPORT_INTERVAL = 10 * TICKS_PER_SECOND  # between log events with counts
NONCE_SIZE = 8  # bytes
RANDOM_SEED_BITS = 64
FAILED_OUTCOMES = {Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED}
# Share of the request class's latency objective that a timed-out attempt must have had to count
# as a failure.
MIN_SHARE_OF_OBJECTIVE = 0.99


class Credentials(NamedTuple):
    """Keys and networks loaded according to the settings.

    Attributes:
        identity: Name and private key of this instance.
        keyring: Keyring of the peers' public keys.
        sources: Networks that peers may send from.
    """

    identity: Identity
    keyring: Keyring
    sources: AllowedNetworks


def load_credentials(settings: GossipSettings, folder: str) -> Credentials:
    """Loads the credentials that the settings name.

    Args:
        settings: The operator's settings.
        folder: Directory of the key file.

    Raises:
        KeyringError: They are not usable; the message begins with the key of the faulty setting.
    """
    try:
        with open(os.path.join(folder, settings.key), "rb") as source:
            identity = read_identity(settings.name, source.read())
        keyring = Keyring(settings.peers, settings.revoked)
        sources = AllowedNetworks(settings.from_)
    except OSError as error:
        raise KeyringError(f"gossip.key: can't be read: {_error_text(error)}") from None
    if keyring.owner(identity.key_id, time.time()) not in (None, settings.name):
        raise KeyringError("gossip.key: gossip.peers lists this key under another name")
    return Credentials(identity, keyring, sources)


def _error_text(error: OSError) -> str:
    return os.strerror(error.errno or 0)


def _bind_socket(listen: str) -> socket.socket:
    """Returns a non-blocking UDP socket that is bound to `listen`.

    Raises:
        KeyringError: The address can't be bound.
    """
    host, port = parse_address(listen)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE)
    try:
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise KeyringError(f"gossip.listen: {_error_text(error)}: {listen}") from None
    return sock


class TrafficPeaks:
    """Peaks of outgoing traffic per second, for the log.

    Attributes:
        max_bytes: Most bytes in a second.
        max_datagrams: Most datagrams in a second.
    """

    def __init__(self) -> None:
        self._second = 0
        self._bytes = 0
        self._datagrams = 0
        self.max_bytes = 0
        self.max_datagrams = 0

    def count(self, now: int, datagrams: list[Datagram]) -> None:
        """Counts outgoing datagrams."""
        second = now // TICKS_PER_SECOND
        if second != self._second:
            self._second = second
            self._bytes = 0
            self._datagrams = 0
        self._bytes += sum(len(datagram.content) for datagram in datagrams)
        self._datagrams += len(datagrams)
        self.max_bytes = max(self.max_bytes, self._bytes)
        self.max_datagrams = max(self.max_datagrams, self._datagrams)

    def reset(self) -> None:
        """Resets the peaks; counting of the current second continues."""
        self.max_bytes = 0
        self.max_datagrams = 0


@implementer(IReadDescriptor)
class GossipFeature:
    """Connects a gossip node with a UDP socket and the proxy.

    The proxy calls `on_attempt_ended` and `on_endpoints_changed`, and receives suspicions as
    events.

    Attributes:
        node: The gossip node.
    """

    def __init__(self, proxy: Any, settings: GossipSettings, folder: str) -> None:
        """Opens the socket and starts gossip.

        Args:
            proxy: The proxy.
            settings: The operator's settings.
            folder: Directory of the key file.

        Raises:
            KeyringError: The settings are not usable.
        """
        self._proxy = proxy
        self._settings = settings
        self._clock = proxy.clock
        credentials = load_credentials(settings, folder)
        self.node = GossipNode(
            settings,
            credentials.identity,
            credentials.keyring,
            credentials.sources,
            announced=parse_address(settings.announce or settings.listen),
            seeds=[parse_address(seed) for seed in settings.seeds],
            now=self._clock(),
            random_source=LinearCongruentialGenerator(secrets.randbits(RANDOM_SEED_BITS)),
            start=time.time_ns() // 1_000_000,
            new_nonce=lambda: secrets.token_bytes(NONCE_SIZE),
            unix=time.time,
        )
        self._socket = _bind_socket(settings.listen)
        self._buffer = bytearray(READ_BUFFER_SIZE)
        self._view = memoryview(self._buffer)
        self._traffic_peaks = TrafficPeaks()
        self._reported_at = self._clock()
        self._reported_drops: dict[str, int] = {}
        self._reported_verified = 0
        self._timer: Any = None
        self._endpoints_changed = True
        proxy.reactor.addReader(self)
        self._tick()

    # Methods of Twisted's `IReadDescriptor`.

    def fileno(self) -> int:
        """Returns the file descriptor of the socket."""
        return self._socket.fileno()

    def logPrefix(self) -> str:  # noqa: N802 - Twisted's name
        """Returns the prefix for Twisted's log."""
        return "gossip"

    def connectionLost(self, reason: Any) -> None:  # noqa: N802 - Twisted's name
        """Closes the socket when the reactor stops."""
        self.close()

    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Reads and processes up to `DATAGRAMS_PER_READ` datagrams."""
        now = self._clock()
        received = self.node.receive_datagram
        for _ in range(DATAGRAMS_PER_READ):
            try:
                length, source = self._socket.recvfrom_into(self._buffer)
            except OSError:  # no more datagrams, or an ICMP error for one that was sent before
                break
            received(now, source[:2], bytes(self._view[:length]))
        self._flush()

    def _flush(self) -> None:
        """Sends datagrams, reports suspicions to the proxy and logs events of the node."""
        datagrams = self.node.take_datagrams()
        if datagrams:
            self._traffic_peaks.count(self._clock(), datagrams)
        for datagram in datagrams:
            try:
                self._socket.sendto(datagram.content, datagram.address)
            except OSError:
                pass  # equivalent to a loss in the network
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
        if self._endpoints_changed:
            self._endpoints_changed = False
            self._pass_endpoints()
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
            bytes_most=self._traffic_peaks.max_bytes,
            datagrams_most=self._traffic_peaks.max_datagrams,
            refused=node.outbox.limits.refused,
            verified=node.limits.verified - self._reported_verified,
            rumours=len(node.queue),
        )
        self._reported_at = now
        self._traffic_peaks.reset()
        self._reported_verified = node.limits.verified
        dropped = {
            reason: count
            for reason, count in node.dropped.items()
            if count != self._reported_drops.get(reason, 0)
        }
        if dropped:
            self._reported_drops = dict(node.dropped)
            structured_log.log("gossip dropped", **dropped)

    # Called by the proxy.

    def on_attempt_ended(self, attempt: Any, outcome: Outcome) -> None:
        """Counts an attempt that ended, if its outcome is informative about the endpoint.

        A cancelled or rejected attempt is not, nor is a timeout that was only due to a short
        deadline of the client.
        """
        if outcome == Outcome.DONE or outcome in FAILED_OUTCOMES:
            failed = outcome != Outcome.DONE
        elif outcome == Outcome.TIMED_OUT and self._used_latency_objective(attempt):
            failed = True
        else:
            return
        self.node.suspicions.record_attempt(self._clock(), attempt.endpoint.address, failed)

    def _used_latency_objective(self, attempt: Any) -> bool:
        """Returns whether an attempt had about as much time as its latency objective."""
        classes = self._proxy.settings.request_classes
        request_class = classes[attempt.request.command.request_class]
        return bool(
            attempt.expires_at - attempt.started_at
            >= MIN_SHARE_OF_OBJECTIVE * request_class.latency_objective
        )

    def on_endpoints_changed(self) -> None:
        """Has the proxy's ready endpoints passed to the node at the next tick.

        That takes a time that grows with their number, so it is not done for each of many changes.
        The engine takes no suspicion of a process that is not listed any more.
        """
        self._endpoints_changed = True

    def _pass_endpoints(self) -> None:
        """Passes the proxy's ready endpoints to the node."""
        proxy = self._proxy
        addresses = proxy.addresses if self._settings.hearsay.match_address else {}
        # Starts of endpoints are sent in Unix time, since each instance's clock has its own epoch.
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
        """Replaces the keyring and the allowed networks; other settings need a restart.

        Raises:
            KeyringError: The settings are not usable; the former ones stay in effect.
        """
        credentials = load_credentials(settings, folder)
        self.node.set_sources(credentials.sources)
        self.node.set_keyring(credentials.keyring, self._clock())

    def stop(self) -> None:
        """Announces to the peers that this instance leaves."""
        self.node.leave(self._clock())
        self._flush()

    def close(self) -> None:
        """Closes the socket."""
        self._proxy.reactor.removeReader(self)
        self._proxy.timers.cancel(self._timer)
        self._socket.close()
