"""Rate limits of outgoing datagrams and of signature verifications."""

from collections.abc import Iterable
from enum import StrEnum
from typing import TypeAlias

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .settings import SendLimitSettings, VerificationLimitSettings

SHARED_BUCKETS = 16  # for all unvalidated addresses; a flood from one address blocks one bucket
RATE_SHARE = 0.8  # of the configured limit; rate and burst add up to it
BURST_SHARE = 0.2  # of the configured limit
MIN_BURST = 2.0  # tokens, so that even a small limit allows a ping and an answer

Address: TypeAlias = tuple[str, int]
"""(host, port)."""


class TokenBucket:
    """Token bucket: allows at most rate x time + burst.

    Attributes:
        rate: Tokens per second.
        burst: Capacity in tokens.
        tokens: Available tokens.
        updated_at: When `tokens` was last updated.
    """

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, rate: float, burst: float, now: Ticks) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = float(burst)
        self.updated_at = now

    def has_tokens(self, now: Ticks, amount: float = 1) -> bool:
        """Refills the bucket and returns whether it has at least `amount` tokens."""
        self.tokens = min(
            self.burst, self.tokens + (now - self.updated_at) * self.rate / TICKS_PER_SECOND
        )
        self.updated_at = now
        return self.tokens >= amount

    def take(self, now: Ticks, amount: float = 1) -> bool:
        """Takes `amount` tokens if available, and returns whether they were."""
        if not self.has_tokens(now, amount):
            return False
        self.tokens -= amount
        return True


class SendPurpose(StrEnum):
    """Purpose of a datagram, which decides how much of the send limits it may use."""

    ANSWER = "answer"
    PROBE = "probe"
    PROVE = "prove"
    UPDATES = "rumour"


class SendLimits:
    """Limits of outgoing bytes and datagrams.

    Datagrams for failure detection (answers, probes) may use nearly all of the limits; those for
    other purposes leave a reserve for them. In no second more than the configured limits is sent.

    Attributes:
        refused: Number of datagrams that were not sent.
    """

    # Share of the burst that a datagram leaves for more important purposes.
    RESERVED_SHARES = {  # noqa: RUF012 - never changed
        SendPurpose.ANSWER: 0.0,
        SendPurpose.PROBE: 0.05,
        SendPurpose.PROVE: 0.4,
        SendPurpose.UPDATES: 0.5,
    }

    def __init__(self, settings: SendLimitSettings, now: Ticks) -> None:
        datagram_burst = max(MIN_BURST, settings.datagrams * BURST_SHARE)
        self._bytes = TokenBucket(settings.bytes * RATE_SHARE, settings.bytes * BURST_SHARE, now)
        self._datagrams = TokenBucket(settings.datagrams * RATE_SHARE, datagram_burst, now)
        self.refused = 0

    def try_send(self, now: Ticks, size: int, purpose: SendPurpose) -> bool:
        """Counts a datagram of `size` bytes if the limits allow it; returns whether they do."""
        reserved = self.RESERVED_SHARES[purpose]
        for bucket, amount in ((self._bytes, size), (self._datagrams, 1)):
            if not bucket.has_tokens(now, amount + reserved * (bucket.burst - amount)):
                self.refused += 1
                return False
        self._bytes.tokens -= size
        self._datagrams.tokens -= 1
        return True


class VerificationLimits:
    """Limits of signature verifications.

    Each validated address has its own bucket; all others share a few buckets. A datagram with an
    outstanding nonce of this instance is verified regardless of them, since only the probed peer
    knows the nonce.

    Attributes:
        total: Bucket of all verifications.
        peers: Buckets by validated address.
        verified: Number of signatures that were verified.
    """

    def __init__(self, settings: VerificationLimitSettings, salt: int, now: Ticks) -> None:
        self._settings = settings
        self._salt = salt
        self._started_at = now
        self.total = TokenBucket(settings.total, settings.total / 2, now)
        rate = settings.unknown / SHARED_BUCKETS
        self._shared_buckets = [
            TokenBucket(rate, max(MIN_BURST, rate), now) for _ in range(SHARED_BUCKETS)
        ]
        self.peers: dict[Address, TokenBucket] = {}
        self.verified = 0

    def set_validated_addresses(self, addresses: Iterable[Address]) -> None:
        """Sets the addresses that have their own buckets."""
        rate = self._settings.peer
        self.peers = {
            address: self.peers.get(address) or TokenBucket(rate, rate / 2, self._started_at)
            for address in addresses
        }

    def bucket_for(self, source: Address) -> TokenBucket:
        """Returns the bucket of a source address."""
        return (
            self.peers.get(source)
            or self._shared_buckets[hash((self._salt, source)) % SHARED_BUCKETS]
        )
