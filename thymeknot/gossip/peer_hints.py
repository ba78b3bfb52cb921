"""Where peers may be, as others say: enough to ask them, and proof of nothing."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import codec
from .codec import Hints
from .context import GossipContext
from .membership import Member, MemberState
from .rate_limits import Address, SendPurpose

REQUEST_INTERVAL = 5 * TICKS_PER_SECOND  # between two questions, once nothing new is heard
HINTS_PER_REQUEST = 8  # peers that a question names; an answer names so many more


class PeerHints:
    """Questions and answers about the addresses of peers."""

    def __init__(self, context: GossipContext, now: Ticks) -> None:
        self._context = context
        self._next_request_at = now
        self._has_new_hints = False  # since the last question

    def receive(self, now: Ticks, source: Address, member: Member, hints: Hints) -> None:
        """Takes hints of a proved peer, and answers them if it asks."""
        if hints.wants_reply:
            reply = Hints(False, self._sample_hints(len(hints.peers) + HINTS_PER_REQUEST))
            self._context.outbox.send(now, source, member.name, reply, SendPurpose.PROVE)
        for name, host, port in hints.peers:
            self.learn(now, name, (host, port))

    def learn(self, now: Ticks, name: str, address: Address) -> None:
        """Takes note that a peer may be there: if nobody proved better, it will be probed."""
        context = self._context
        member = context.members.all.get(name)
        if (
            member
            and member.state == MemberState.UNPROVED
            and address[0] in context.sources
            and member.address is None
        ):
            member.address = address
            member.last_probe_at = now - context.settings.probe_every
            self._has_new_hints = True

    def tick(self, now: Ticks) -> None:
        """Asks one peer from time to time, more often while there is something new."""
        context = self._context
        # A question counts once somebody lives: a newcomer would else wait for the next one.
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
