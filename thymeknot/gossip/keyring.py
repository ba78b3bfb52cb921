"""Signing identity of this instance (an Ed25519 key) and keyring of its peers' public keys.

To rotate a key, a peer has two keys in the keyring for a while. Single keys can be revoked.
"""

import base64
import calendar
import time
from collections.abc import Collection, Iterable
from hashlib import blake2b
from typing import NamedTuple

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from .settings import Peer

KEY_ID_SIZE = 8  # bytes
SIGNATURE_SIZE = 64  # bytes, of Ed25519
MAX_CACHED_HOSTS = 4096  # hosts whose membership in the networks is cached
TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"


class KeyringError(ValueError):
    """An unusable key, keyring or network; the message states which."""


def key_id(public: bytes) -> bytes:
    """Returns the 8-byte id of a 32-byte public key."""
    return blake2b(public, digest_size=KEY_ID_SIZE).digest()


class Identity:
    """An instance's name and private key.

    Attributes:
        name: Name in the keyring.
        public: Raw public key.
        key_id: Id of the public key.
    """

    def __init__(self, name: str, private: Ed25519PrivateKey) -> None:
        self.name = name
        self._private = private
        self.public = private.public_key().public_bytes_raw()
        self.key_id = key_id(self.public)

    def sign(self, message: bytes) -> bytes:
        """Returns the signature of a message."""
        return self._private.sign(message)

    def public_key_text(self) -> str:
        """Returns the public key in base64, as in `PeerKey.key`."""
        return base64.b64encode(self.public).decode()


def new_identity(name: str) -> Identity:
    """Returns an identity with a new key."""
    return Identity(name, Ed25519PrivateKey.generate())


def read_identity(name: str, content: bytes) -> Identity:
    """Returns the identity with the private key from the content of a PEM file.

    Raises:
        KeyringError: The content is not an Ed25519 private key.
    """
    try:
        private = serialization.load_pem_private_key(content, None)
    except (ValueError, TypeError) as error:
        raise KeyringError(f"the private key can't be read: {error}") from None
    if not isinstance(private, Ed25519PrivateKey):
        raise KeyringError("the private key is not an Ed25519 key")
    return Identity(name, private)


class KeyringEntry(NamedTuple):
    """A public key in the keyring.

    Attributes:
        name: Name of the peer that owns it.
        verifier: The public key.
        until: When it expires, in Unix seconds.
    """

    name: str
    verifier: Ed25519PublicKey
    until: float


class Keyring:
    """Public keys of the peers.

    A key is valid as soon as the keyring has it, until it expires or is revoked.

    Attributes:
        entries: Entries by key id.
        groups: Group of each peer by name.
    """

    def __init__(self, peers: Collection[Peer], revoked: Iterable[str] = ()) -> None:
        """Builds a keyring.

        Raises:
            KeyringError: Two peers have the same key or name, or an expiry is not a valid time.
        """
        self.entries: dict[bytes, KeyringEntry] = {}
        self.groups: dict[str, str] = {}
        revoked_ids = {key_id(base64.b64decode(text)) for text in revoked}
        for peer in peers:
            self.groups[peer.name] = peer.group or peer.name
            self._add_keys(peer, revoked_ids)
        if len(self.groups) != len(peers):
            raise KeyringError("two peers have the same name")

    def _add_keys(self, peer: Peer, revoked_ids: set[bytes]) -> None:
        for peer_key in peer.keys:
            public = base64.b64decode(peer_key.key)
            identifier = key_id(public)
            if identifier in revoked_ids:
                continue
            entry = self.entries.get(identifier)
            if entry and entry.name != peer.name:
                raise KeyringError(f"{entry.name} and {peer.name} have the same key")
            verifier = Ed25519PublicKey.from_public_bytes(public)
            self.entries[identifier] = KeyringEntry(
                peer.name, verifier, _parse_key_end(peer_key.until)
            )

    def owner(self, identifier: bytes, unix_time: float) -> str | None:
        """Returns the name of the peer that owns a key at a time, or None."""
        entry = self.entries.get(identifier)
        return entry.name if entry and unix_time < entry.until else None

    def active_names(self, unix_time: float) -> set[str]:
        """Returns the names of the peers that have a valid key at a time."""
        return {entry.name for entry in self.entries.values() if unix_time < entry.until}

    def verifies(self, identifier: bytes, message: bytes, signature: bytes) -> bool:
        """Returns whether the key made this signature over this message."""
        try:
            self.entries[identifier].verifier.verify(signature, message)
        except (InvalidSignature, KeyError):
            return False
        return True


def _parse_key_end(text: str | None) -> float:
    if text is None:
        return float("inf")
    try:
        return calendar.timegm(time.strptime(text, TIME_FORMAT))
    except ValueError:
        raise KeyringError(f"{text} is not a time such as 2027-01-31T00:00:00Z") from None


class AllowedNetworks:
    """Set of networks that peers may send from."""

    def __init__(self, networks: Iterable[str]) -> None:
        """Builds the set.

        Raises:
            KeyringError: One of `networks` is not a valid network.
        """
        try:
            self._networks = IPSet([IPNetwork(network) for network in networks])
        except (AddrFormatError, ValueError) as error:
            raise KeyringError(f"from: {error}") from None
        self._cache: dict[str, bool] = {}

    def __contains__(self, address: object) -> bool:
        host = str(address)
        allowed = self._cache.get(host)
        if allowed is None:
            if len(self._cache) >= MAX_CACHED_HOSTS:
                self._cache.clear()
            try:
                allowed = IPAddress(host) in self._networks
            except (AddrFormatError, ValueError):
                allowed = False
            self._cache[host] = allowed
        return allowed
