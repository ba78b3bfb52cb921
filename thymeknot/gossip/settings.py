"""What an operator sets for gossip, as records. Durations are whole tenths of a millisecond. See operator/schema."""

from typing import NamedTuple, Optional


class Ceiling(NamedTuple):
    bytes: int  # a second, out
    datagrams: int  # a second, out


class Verifications(NamedTuple):
    total: int  # a second
    peer: int  # of them, for one peer's address
    unknown: int  # of them, for all addresses that proved nothing


class SuspicionSettings(NamedTuple):
    witnesses: int
    liars: int
    enough: int
    bar: float
    most_share: float
    lapse: int
    doubt: int
    match_address: bool


class PeerKey(NamedTuple):
    key: str
    until: Optional[str]


class Peer(NamedTuple):
    name: str
    group: Optional[str]
    keys: tuple[PeerKey, ...]


class GossipSettings(NamedTuple):
    name: str
    listen: str
    announce: Optional[str]
    key: str
    seeds: tuple
    from_: tuple
    peers: tuple[Peer, ...]
    revoked: tuple
    probe_every: int
    probe_timeout: int
    relays: int
    suspect_times: int
    ceiling: Ceiling
    verifications: Verifications
    hearsay: SuspicionSettings


def address(text):
    """(host, port) of "127.0.0.1:7946" or "[::1]:7946"."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
