"""Ceilings: what goes out a second, and what is looked at a second. Times are tenths of a millisecond."""

from ..interface.clock import TICKS_PER_SECOND

LANES = 16  # in which addresses that proved nothing share: one flood blocks one lane


class Bucket:
    """A rate with a burst; never more than rate x time + burst."""

    __slots__ = ("rate", "burst", "left", "at")

    def __init__(self, rate, burst, now):
        self.rate, self.burst, self.left, self.at = rate, burst, float(burst), now

    def holds(self, now, amount=1):
        self.left = min(self.burst, self.left + (now - self.at) * self.rate / TICKS_PER_SECOND)
        self.at = now
        return self.left >= amount

    def take(self, now, amount=1):
        if not self.holds(now, amount):
            return False
        self.left -= amount
        return True


class Sending:
    """Bytes and datagrams out. What keeps instances apart alive and dead (answers, probes) may use all of it; what
    is only useful leaves a part of it for them. In any second at most the ceiling and its burst, a fifth, go out."""

    SPARED = {"answer": 0.0, "probe": 0.05, "prove": 0.4, "rumour": 0.5}

    def __init__(self, ceiling, now):
        # The burst is within the ceiling: rate and burst together are what was set.
        self.buckets = (
            Bucket(ceiling.bytes * 0.8, ceiling.bytes * 0.2, now),
            Bucket(ceiling.datagrams * 0.8, max(2.0, ceiling.datagrams * 0.2), now),
        )
        self.refused = 0

    def may(self, now, size, kind):
        spare, amounts = self.SPARED[kind], (size, 1)
        fits = all(
            bucket.holds(now, amount + spare * (bucket.burst - amount))
            for bucket, amount in zip(self.buckets, amounts)
        )
        if not fits:
            self.refused += 1
            return False
        for bucket, amount in zip(self.buckets, amounts):
            bucket.left -= amount
        return True


class Checking:
    """Signatures checked. Each proved address has a bucket of its own, all others share a few lanes; a datagram
    that holds a nonce of ours which is out is looked at before all of these, since only its answerer knows it."""

    def __init__(self, terms, salt, now):
        self.terms, self.salt, self.now = terms, salt, now
        self.total = Bucket(terms.total, terms.total / 2, now)
        rate = terms.unknown / LANES
        self.lanes = [Bucket(rate, max(2.0, rate), now) for _ in range(LANES)]
        self.peers = {}

    def proved(self, addresses):
        """The addresses with buckets of their own, no others."""
        self.peers = {
            one: self.peers.get(one) or Bucket(self.terms.peer, self.terms.peer / 2, self.now)
            for one in addresses
        }

    def lane(self, source):
        """The bucket that a source draws on."""
        return self.peers.get(source) or self.lanes[hash((self.salt, source)) % LANES]
