"""Rate limits: what goes out a second, and how many signatures are verified a second."""

from collections.abc import Iterable
from enum import StrEnum
from typing import TypeAlias

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .settings import SendLimitSettings, VerificationLimitSettings

SHARED_BUCKETS = 16  # that addresses which proved nothing share: one flood blocks one lane
RATE_SHARE = 0.8  # of a ceiling; rate and burst together are what was set
BURST_SHARE = 0.2  # of a ceiling
MIN_BURST = 2.0  # tokens, so that a small ceiling lets a question and an answer out

Address: TypeAlias = tuple[str, int]
"""(host, port)."""


class TokenBucket:
    """A rate with a burst: never more than rate x time + burst.

    Attributes:
        rate: Tokens a second.
        burst: Most tokens that it holds.
        left: Tokens that it holds.
        at: When `left` was computed.
    """

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, rate: float, burst: float, now: Ticks) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = float(burst)
        self.updated_at = now

    def has_tokens(self, now: Ticks, amount: float = 1) -> bool:
        """Returns whether it holds so many tokens."""
        self.tokens = min(
            self.burst, self.tokens + (now - self.updated_at) * self.rate / TICKS_PER_SECOND
        )
        self.updated_at = now
        return self.tokens >= amount

    def take(self, now: Ticks, amount: float = 1) -> bool:
        """Takes so many tokens if it holds them, and returns whether it did."""
        if not self.has_tokens(now, amount):
            return False
        self.tokens -= amount
        return True


class SendPurpose(StrEnum):
    """What a datagram is sent for; the more it is needed, the less it leaves for others."""

    ANSWER = "answer"
    PROBE = "probe"
    PROVE = "prove"
    UPDATES = "rumour"


class SendLimits:
    """Limits of bytes and datagrams out.

    What tells living instances from dead ones (answers, probes) may use all of it; what is only
    useful leaves a part of it for them. In any second at most the ceiling goes out.

    Attributes:
        refused: Datagrams that were not sent.
    """

    # Share of the burst that a datagram leaves for those that are needed more.
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
        """Takes a datagram of so many bytes off the limits, and returns whether it may go out."""
        reserved = self.RESERVED_SHARES[purpose]
        for bucket, amount in ((self._bytes, size), (self._datagrams, 1)):
            if not bucket.has_tokens(now, amount + reserved * (bucket.burst - amount)):
                self.refused += 1
                return False
        self._bytes.tokens -= size
        self._datagrams.tokens -= 1
        return True


class VerificationLimits:
    """Limits of signatures verified.

    Each proved address has a bucket of its own, all others share a few lanes. A datagram that holds
    an outstanding nonce of ours is looked at before all of these, since only its answerer knows it.

    Attributes:
        total: The bucket of all verifications.
        peers: Buckets of the proved addresses.
        verified: How many signatures were verified.
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
        """Gives these addresses buckets of their own, and no others."""
        rate = self._settings.peer
        self.peers = {
            address: self.peers.get(address) or TokenBucket(rate, rate / 2, self._started_at)
            for address in addresses
        }

    def bucket_for(self, source: Address) -> TokenBucket:
        """Returns the bucket that a source draws on."""
        return (
            self.peers.get(source)
            or self._shared_buckets[hash((self._salt, source)) % SHARED_BUCKETS]
        )
