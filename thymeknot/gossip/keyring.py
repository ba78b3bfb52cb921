"""Who signs: an instance's own Ed25519 key, and the ring of its peers' keys, with rotation and revocation."""

import base64
import calendar
import time
from hashlib import blake2b
from typing import NamedTuple

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

KEY_ID, SIGNATURE = 8, 64  # bytes
MOST_HOSTS = 4096  # whose answer of the address set is remembered


class KeyringError(ValueError):
    """A key, ring or network that can't be used; the text says which."""


def key_id(public):
    """8 bytes that name a public key of 32."""
    return blake2b(public, digest_size=KEY_ID).digest()


class Identity:
    """A private key: what this instance signs with."""

    def __init__(self, name, private):
        self.name, self._private = name, private
        self.public = private.public_key().public_bytes_raw()
        self.key_id = key_id(self.public)

    def sign(self, message):
        return self._private.sign(message)

    def text(self):
        """The public key as a ring holds it."""
        return base64.b64encode(self.public).decode()


def new_identity(name):
    return Identity(name, Ed25519PrivateKey.generate())


def read_identity(name, content):
    """The identity of a PEM file's bytes. Raises Unusable."""
    try:
        private = serialization.load_pem_private_key(content, None)
    except (ValueError, TypeError) as error:
        raise KeyringError(f"no private key that can be read: {error}") from None
    if not isinstance(private, Ed25519PrivateKey):
        raise KeyringError("the private key is none of Ed25519")
    return Identity(name, private)


class Entry(NamedTuple):
    name: str
    verifier: Ed25519PublicKey
    until: float  # Unix seconds; after it the key is nobody's


class Keyring:
    """The peers' public keys. A key counts from when the ring holds it until its stated end or its revocation."""

    def __init__(self, peers, revoked=()):
        self.entries, self.groups, gone = {}, {}, set()
        for text in revoked:
            gone.add(key_id(base64.b64decode(text)))
        for peer in peers:
            self.groups[peer.name] = peer.group or peer.name
            for told in peer.keys:
                public = base64.b64decode(told.key)
                number = key_id(public)
                if number in gone:
                    continue
                holder = self.entries.get(number)
                if holder and holder.name != peer.name:
                    raise KeyringError(f"the same key stands for {holder.name} and for {peer.name}")
                self.entries[number] = Entry(
                    peer.name, Ed25519PublicKey.from_public_bytes(public), _unix(told.until)
                )
        if len(self.groups) != len(peers):
            raise KeyringError("a name stands twice among the peers")

    def owner(self, number, unix):
        """The name that a key belongs to now, or None."""
        entry = self.entries.get(number)
        return entry.name if entry and unix < entry.until else None

    def held(self, unix):
        """The names that hold a key now."""
        return {entry.name for entry in self.entries.values() if unix < entry.until}

    def holds(self, number, message, signature):
        """Whether the key made this signature over these very bytes."""
        try:
            self.entries[number].verifier.verify(signature, message)
        except (InvalidSignature, KeyError):
            return False
        return True


def _unix(text):
    if text is None:
        return float("inf")
    try:
        return calendar.timegm(time.strptime(text, "%Y-%m-%dT%H:%M:%SZ"))
    except ValueError:
        raise KeyringError(f"{text} is no time such as 2027-01-31T00:00:00Z") from None


class AllowedNetworks:
    """The set of networks that peers may speak from."""

    def __init__(self, networks):
        try:
            self.set = IPSet([IPNetwork(one) for one in networks])
        except (AddrFormatError, ValueError) as error:
            raise KeyringError(f"from: {error}") from None
        self.known = {}

    def __contains__(self, host):
        inside = self.known.get(host)
        if inside is None:
            if len(self.known) >= MOST_HOSTS:
                self.known.clear()
            try:
                inside = IPAddress(host) in self.set
            except (AddrFormatError, ValueError):
                inside = False
            self.known[host] = inside
        return inside
