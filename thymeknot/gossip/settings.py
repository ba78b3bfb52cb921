"""Gossip settings as records. Durations are in ticks.

Field names are the keys of the operator file; see operator_config/schema/gossip.cue.
"""

from typing import NamedTuple, Optional


class SendLimitSettings(NamedTuple):
    """Limits of outgoing traffic.

    Attributes:
        bytes: Bytes per second.
        datagrams: Datagrams per second.
    """

    bytes: int
    datagrams: int


class VerificationLimitSettings(NamedTuple):
    """Limits of signature verifications.

    Attributes:
        total: Verifications per second.
        peer: Verifications per second for the validated address of one peer.
        unknown: Verifications per second for all addresses that are not validated.
    """

    total: int
    peer: int
    unknown: int


class SuspicionSettings(NamedTuple):
    """When evidence of other instances makes an endpoint suspected.

    Attributes:
        witnesses: Minimum number of independent instances that must agree.
        liars: Number of lying instances that must have no effect.
        enough: Minimum number of attempts that the evidence must cover.
        bar: Minimum share of failed attempts for a suspicion.
        most_share: Maximum share of a build's endpoints that are suspected at once.
        lapse: How long evidence is valid.
        doubt: Duration of a first suspicion.
        match_address: Whether evidence must also match the endpoint's address.
    """

    witnesses: int
    liars: int
    enough: int
    bar: float
    most_share: float
    lapse: int
    doubt: int
    match_address: bool


class PeerKey(NamedTuple):
    """A public key of a peer.

    Attributes:
        key: The key in base64.
        until: When it expires, such as 2027-01-31T00:00:00Z, or None for never.
    """

    key: str
    until: Optional[str]


class Peer(NamedTuple):
    """A peer in the keyring.

    Attributes:
        name: Name.
        group: Group; peers in a group count as one witness. None for a group of its own.
        keys: Public keys.
    """

    name: str
    group: Optional[str]
    keys: tuple[PeerKey, ...]


class GossipSettings(NamedTuple):
    """All gossip settings.

    Attributes:
        name: This instance's name in the keyring.
        listen: Address of its socket.
        announce: Address at which peers reach it; `listen` if None.
        key: File with its private key.
        seeds: Addresses of peers that are probed first.
        from_: Networks that peers may send from.
        peers: Peers and their public keys.
        revoked: Revoked public keys in base64.
        probe_every: Length of a protocol period.
        probe_timeout: How long an answer to a probe may take.
        relays: Number of peers that are asked to probe a peer that did not answer.
        suspect_times: SWIM's suspicion multiplier: a suspicion lasts this many protocol periods
            times the natural logarithm of the group size.
        ceiling: Limits of outgoing traffic.
        verifications: Limits of signature verifications.
        hearsay: When evidence of other instances makes an endpoint suspected.
    """

    name: str
    listen: str
    announce: Optional[str]
    key: str
    seeds: tuple[str, ...]
    from_: tuple[str, ...]
    peers: tuple[Peer, ...]
    revoked: tuple[str, ...]
    probe_every: int
    probe_timeout: int
    relays: int
    suspect_times: int
    ceiling: SendLimitSettings
    verifications: VerificationLimitSettings
    hearsay: SuspicionSettings


def parse_address(text: str) -> tuple[str, int]:
    """Parses "127.0.0.1:7946" or "[::1]:7946" into (host, port)."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
