"""Exchange of address hints. A hint only makes an instance ping a peer; it proves nothing."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import codec
from .codec import Hints
from .context import GossipContext
from .membership import Member
from .rate_limits import Address, SendPurpose

REQUEST_INTERVAL = 5 * TICKS_PER_SECOND  # between requests while no new hint arrives
HINTS_PER_REQUEST = 8  # peers in a request; a reply has up to this many more
HONEST_CANDIDATES = 2  # for the address of a peer, beside one for each group that may lie


class PeerHints:
    """Requests and replies with the addresses of peers."""

    def __init__(self, context: GossipContext, now: Ticks) -> None:
        self._context = context
        self._next_request_at = now
        self._has_new_hints = False  # since the last request

    def receive(self, now: Ticks, source: Address, member: Member, hints: Hints) -> None:
        """Processes hints of a validated peer and replies if it asks for hints."""
        if hints.wants_reply:
            reply = Hints(False, self._sample_hints(len(hints.peers) + HINTS_PER_REQUEST))
            self._context.outbox.send(now, source, member.name, reply, SendPurpose.PROVE)
        for name, host, port in hints.peers:
            self.learn(now, name, (host, port), member.name)

    def learn(self, now: Ticks, name: str, address: Address, teller: str = "") -> None:
        """Stores a possible address of a peer, to be probed, unless the peer has a validated one.

        Args:
            now: Current time.
            name: Name of the peer.
            address: Its possible address.
            teller: Name of the peer that told it, whether or not it made the claim; empty for an
                unknown one.
        """
        context = self._context
        member = context.members.all.get(name)
        if member is None or member.is_live() or member.address is not None:
            return
        if address[0] not in context.sources:
            return
        group = context.keyring.groups.get(teller, teller)
        capacity = context.settings.hearsay.liars + HONEST_CANDIDATES
        if member.candidates.add(group, address, capacity):
            self._has_new_hints = True

    def tick(self, now: Ticks) -> None:
        """Asks a random peer for hints periodically, more often while new ones arrive."""
        context = self._context
        # The interval starts only once a peer is live. Otherwise a new instance would use its first
        # turn without a peer to ask and wait for the next one.
        if now < self._next_request_at or not context.members.live:
            return
        interval = context.settings.probe_every if self._has_new_hints else REQUEST_INTERVAL
        self._next_request_at = now + interval
        self._has_new_hints = False
        for member in context.members.sample(1):
            request = Hints(True, self._sample_hints(HINTS_PER_REQUEST))
            context.outbox.send(now, member.live_address(), member.name, request, SendPurpose.PROVE)

    def _sample_hints(self, limit: int) -> list[tuple[str, str, int]]:
        return [
            (member.name, *member.address)
            for member in self._context.members.sample(min(limit, codec.MAX_HINTS))
            if member.address
        ]
