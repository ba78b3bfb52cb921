"""Rate limits: what goes out a second, and how many signatures are verified a second."""

from collections.abc import Iterable
from enum import StrEnum
from typing import TypeAlias

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .settings import SendLimitSettings, VerificationLimitSettings

UNKNOWN_LANES = 16  # that addresses which proved nothing share: one flood blocks one lane
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

    __slots__ = ("at", "burst", "left", "rate")

    def __init__(self, rate: float, burst: float, now: Ticks) -> None:
        self.rate = rate
        self.burst = burst
        self.left = float(burst)
        self.at = now

    def holds(self, now: Ticks, amount: float = 1) -> bool:
        """Returns whether it holds so many tokens."""
        self.left = min(self.burst, self.left + (now - self.at) * self.rate / TICKS_PER_SECOND)
        self.at = now
        return self.left >= amount

    def take(self, now: Ticks, amount: float = 1) -> bool:
        """Takes so many tokens if it holds them, and returns whether it did."""
        if not self.holds(now, amount):
            return False
        self.left -= amount
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
    RESERVED = {  # noqa: RUF012 - never changed
        SendPurpose.ANSWER: 0.0,
        SendPurpose.PROBE: 0.05,
        SendPurpose.PROVE: 0.4,
        SendPurpose.UPDATES: 0.5,
    }

    def __init__(self, ceiling: SendLimitSettings, now: Ticks) -> None:
        datagram_burst = max(MIN_BURST, ceiling.datagrams * BURST_SHARE)
        self._bytes = TokenBucket(ceiling.bytes * RATE_SHARE, ceiling.bytes * BURST_SHARE, now)
        self._datagrams = TokenBucket(ceiling.datagrams * RATE_SHARE, datagram_burst, now)
        self.refused = 0

    def may(self, now: Ticks, size: int, purpose: SendPurpose) -> bool:
        """Takes a datagram of so many bytes off the limits, and returns whether it may go out."""
        reserved = self.RESERVED[purpose]
        for bucket, amount in ((self._bytes, size), (self._datagrams, 1)):
            if not bucket.holds(now, amount + reserved * (bucket.burst - amount)):
                self.refused += 1
                return False
        self._bytes.left -= size
        self._datagrams.left -= 1
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
        self._start = now
        self.total = TokenBucket(settings.total, settings.total / 2, now)
        rate = settings.unknown / UNKNOWN_LANES
        self._lanes = [TokenBucket(rate, max(MIN_BURST, rate), now) for _ in range(UNKNOWN_LANES)]
        self.peers: dict[Address, TokenBucket] = {}
        self.verified = 0

    def set_validated_addresses(self, addresses: Iterable[Address]) -> None:
        """Gives these addresses buckets of their own, and no others."""
        rate = self._settings.peer
        self.peers = {
            address: self.peers.get(address) or TokenBucket(rate, rate / 2, self._start)
            for address in addresses
        }

    def bucket_of(self, source: Address) -> TokenBucket:
        """Returns the bucket that a source draws on."""
        return self.peers.get(source) or self._lanes[hash((self._salt, source)) % UNKNOWN_LANES]
