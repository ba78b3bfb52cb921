"""What an operator sets for gossip, as records. Durations are in ticks. See operator/schema.

Field names are the keys of the operator's file.
"""

from typing import NamedTuple, Optional


class SendLimitSettings(NamedTuple):
    """What may go out.

    Attributes:
        bytes: A second.
        datagrams: A second.
    """

    bytes: int
    datagrams: int


class VerificationLimitSettings(NamedTuple):
    """How many signatures may be verified.

    Attributes:
        total: A second.
        peer: A second, of them, for one peer's address.
        unknown: A second, of them, for all addresses that proved nothing.
    """

    total: int
    peer: int
    unknown: int


class SuspicionSettings(NamedTuple):
    """What of others' evidence about endpoints is believed.

    Attributes:
        witnesses: Independent instances that must agree.
        liars: Instances that may lie without effect.
        enough: Attempts that the evidence must cover.
        bar: Share of failed attempts from which an endpoint may be suspected.
        most_share: Largest share of a build's endpoints that may be suspected at once.
        lapse: How long evidence counts.
        doubt: How long a first suspicion lasts.
        match_address: Whether evidence must name the endpoint's address too.
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
        until: When it ends, as 2027-01-31T00:00:00Z; None for never.
    """

    key: str
    until: Optional[str]


class Peer(NamedTuple):
    """A peer of the ring.

    Attributes:
        name: Its name.
        group: Peers of one group count as one witness; its own name if None.
        keys: Its public keys.
    """

    name: str
    group: Optional[str]
    keys: tuple[PeerKey, ...]


class GossipSettings(NamedTuple):
    """All settings of gossip.

    Attributes:
        name: This instance's name in the ring.
        listen: Address of its socket.
        announce: Address where others reach it; `listen` if None.
        key: File of its private key.
        seeds: Addresses that are asked first.
        from_: Networks that peers may send from.
        peers: The ring.
        revoked: Public keys in base64 that count no more.
        probe_every: Length of a protocol period.
        probe_timeout: How long an answer to a probe may take.
        relays: Peers that are asked to probe one that did not answer.
        suspect_times: Times of the period, by the logarithm of the members, that a suspicion lasts.
        ceiling: What may go out.
        verifications: How many signatures may be verified.
        hearsay: What of others' evidence is believed.
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
    """Returns (host, port) of "127.0.0.1:7946" or "[::1]:7946"."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
