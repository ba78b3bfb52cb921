"""Where peers may be, as others say: enough to ask them, and proof of nothing."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import codec
from .codec import Hints
from .context import GossipContext
from .membership import Member, MemberState
from .rate_limits import Address, SendPurpose

HINTS_INTERVAL = 5 * TICKS_PER_SECOND  # between two questions, once nothing new is heard
HINTS_IN_QUESTION = 8  # peers that a question names; an answer names so many more


class PeerHints:
    """Questions and answers about the addresses of peers."""

    def __init__(self, context: GossipContext, now: Ticks) -> None:
        self._context = context
        self._ask_at = now
        self._has_learnt = False  # since the last question

    def received(self, now: Ticks, source: Address, member: Member, hints: Hints) -> None:
        """Takes hints of a proved peer, and answers them if it asks."""
        if hints.asking:
            answer = Hints(False, self._known(len(hints.peers) + HINTS_IN_QUESTION))
            self._context.outbox.send(now, source, member.name, answer, SendPurpose.PROVE)
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
            member.looked = now - context.settings.probe_every
            self._has_learnt = True

    def tick(self, now: Ticks) -> None:
        """Asks one peer from time to time, more often while there is something new."""
        context = self._context
        # A question counts once somebody lives: a newcomer would else wait for the next one.
        if now < self._ask_at or not context.members.live:
            return
        interval = context.settings.probe_every if self._has_learnt else HINTS_INTERVAL
        self._ask_at = now + interval
        self._has_learnt = False
        for member in context.members.sample(1):
            question = Hints(True, self._known(HINTS_IN_QUESTION))
            context.outbox.send(
                now, member.live_address(), member.name, question, SendPurpose.PROVE
            )

    def _known(self, limit: int) -> list[tuple[str, str, int]]:
        return [
            (member.name, *member.address)
            for member in self._context.members.sample(min(limit, codec.MAX_HINTS))
            if member.address
        ]
