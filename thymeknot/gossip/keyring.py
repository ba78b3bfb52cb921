"""Who signs: an instance's own Ed25519 key, and the ring of its peers' keys.

Keys are rotated by two keys of one name at a time, and revoked by name.
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
MAX_CACHED_HOSTS = 4096  # whose answer of the address set is remembered
TIME_FORMAT = "%Y-%m-%dT%H:%M:%SZ"


class KeyringError(ValueError):
    """A key, ring or network that can't be used; the text says which."""


def key_id(public: bytes) -> bytes:
    """Returns the 8 bytes that name a public key of 32."""
    return blake2b(public, digest_size=KEY_ID_SIZE).digest()


class Identity:
    """A private key: what this instance signs with.

    Attributes:
        name: Its name in the ring.
        public: The public key, raw.
        key_id: Names the public key.
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
        """Returns the public key as a ring holds it."""
        return base64.b64encode(self.public).decode()


def new_identity(name: str) -> Identity:
    """Returns an identity with a new key."""
    return Identity(name, Ed25519PrivateKey.generate())


def read_identity(name: str, content: bytes) -> Identity:
    """Returns the identity of a PEM file's bytes.

    Raises:
        KeyringError: That is no private key of Ed25519.
    """
    try:
        private = serialization.load_pem_private_key(content, None)
    except (ValueError, TypeError) as error:
        raise KeyringError(f"no private key that can be read: {error}") from None
    if not isinstance(private, Ed25519PrivateKey):
        raise KeyringError("the private key is none of Ed25519")
    return Identity(name, private)


class Entry(NamedTuple):
    """A key of the ring.

    Attributes:
        name: Whose it is.
        verifier: The public key.
        until: When it ends, in Unix seconds.
    """

    name: str
    verifier: Ed25519PublicKey
    until: float


class Keyring:
    """The peers' public keys.

    A key counts from when the ring holds it until its stated end or its revocation.

    Attributes:
        entries: The keys by the bytes that name them.
        groups: The group of each peer.
    """

    def __init__(self, peers: Collection[Peer], revoked: Iterable[str] = ()) -> None:
        """Builds a ring.

        Raises:
            KeyringError: A key or name is there twice, or an end is no time.
        """
        self.entries: dict[bytes, Entry] = {}
        self.groups: dict[str, str] = {}
        revoked_ids = {key_id(base64.b64decode(text)) for text in revoked}
        for peer in peers:
            self.groups[peer.name] = peer.group or peer.name
            self._add_keys(peer, revoked_ids)
        if len(self.groups) != len(peers):
            raise KeyringError("a name stands twice among the peers")

    def _add_keys(self, peer: Peer, revoked_ids: set[bytes]) -> None:
        for stated in peer.keys:
            public = base64.b64decode(stated.key)
            number = key_id(public)
            if number in revoked_ids:
                continue
            holder = self.entries.get(number)
            if holder and holder.name != peer.name:
                raise KeyringError(f"the same key stands for {holder.name} and for {peer.name}")
            verifier = Ed25519PublicKey.from_public_bytes(public)
            self.entries[number] = Entry(peer.name, verifier, _unix(stated.until))

    def owner(self, number: bytes, unix: float) -> str | None:
        """Returns the name that a key belongs to at a time, or None."""
        entry = self.entries.get(number)
        return entry.name if entry and unix < entry.until else None

    def active_names(self, unix: float) -> set[str]:
        """Returns the names that hold a key at a time."""
        return {entry.name for entry in self.entries.values() if unix < entry.until}

    def verifies(self, number: bytes, message: bytes, signature: bytes) -> bool:
        """Returns whether the key made this signature over these very bytes."""
        try:
            self.entries[number].verifier.verify(signature, message)
        except (InvalidSignature, KeyError):
            return False
        return True


def _unix(text: str | None) -> float:
    if text is None:
        return float("inf")
    try:
        return calendar.timegm(time.strptime(text, TIME_FORMAT))
    except ValueError:
        raise KeyringError(f"{text} is no time such as 2027-01-31T00:00:00Z") from None


class AllowedNetworks:
    """The set of networks that peers may send from."""

    def __init__(self, networks: Iterable[str]) -> None:
        """Builds the set.

        Raises:
            KeyringError: One of them is no network.
        """
        try:
            self._networks = IPSet([IPNetwork(network) for network in networks])
        except (AddrFormatError, ValueError) as error:
            raise KeyringError(f"from: {error}") from None
        self._known: dict[str, bool] = {}

    def __contains__(self, address: object) -> bool:
        host = str(address)
        inside = self._known.get(host)
        if inside is None:
            if len(self._known) >= MAX_CACHED_HOSTS:
                self._known.clear()
            try:
                inside = IPAddress(host) in self._networks
            except (AddrFormatError, ValueError):
                inside = False
            self._known[host] = inside
        return inside
