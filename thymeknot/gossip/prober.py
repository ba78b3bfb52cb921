"""Probes: nonces that are outstanding, answers by relays, and what follows where none comes."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import codec
from .codec import Ack, DropReason, IndirectAck, IndirectPing, Ping, Suspect
from .context import TICK_INTERVAL, GossipContext
from .membership import Member, MemberInput, MemberState
from .rate_limits import Address, SendPurpose

MAX_PROBES = 512  # nonces that are outstanding
# Own probes that failed before others are told: with loss, each first one would be told to all.
MISSES_BEFORE_SUSPECT = 3
STALL = TICKS_PER_SECOND // 2  # a tick late by so much: it is this instance that stood still
STALL_HEALTH = 2  # what a stall adds to the local health


class Probe:
    """A nonce that is outstanding.

    Attributes:
        nonce: The nonce.
        name: Name of the one that is asked, None where a seed's name is not known yet.
        address: Where it is asked.
        at: When it was asked.
        ends: Until when an answer counts.
        asked: Relays and repeated pings that have not said no.
        asker: Name of the peer on whose behalf it is asked, or None.
        period: Whether it is the probe of a protocol period, that may make its target suspected.
    """

    __slots__ = ("address", "asked", "asker", "at", "ends", "name", "nonce", "period")

    def __init__(
        self,
        nonce: bytes,
        name: str | None,
        address: Address,
        at: Ticks,
        ends: Ticks,
        *,
        asker: str | None = None,
        period: bool = False,
    ) -> None:
        self.nonce = nonce
        self.name = name
        self.address = address
        self.at = at
        self.ends = ends
        self.asked = 0
        self.asker = asker
        self.period = period


class Prober:
    """The probes of a node.

    Attributes:
        probes: Those that are outstanding, by nonce.
    """

    def __init__(self, context: GossipContext) -> None:
        self._context = context
        self.probes: dict[bytes, Probe] = {}

    def _member(self, name: str | None) -> Member | None:
        return self._context.members.all.get(name) if name is not None else None

    def _timeout(self) -> Ticks:
        context = self._context
        return context.settings.probe_timeout * (1 + context.members.health)

    def probe(
        self,
        now: Ticks,
        address: Address,
        name: str | None,
        purpose: SendPurpose,
        *,
        asker: str | None = None,
        period: bool = False,
        nonce: bytes | None = None,
        max_size: int = codec.MAX_DATAGRAM,
    ) -> None:
        """Sends a ping with a nonce.

        With padding it asks for a bare answer: from one that proved nothing, which may not answer
        with more than it was sent, or for another, to whom the answer is passed on whole.

        Args:
            now: The time.
            address: Where to.
            name: Whom to, None if that is not known.
            purpose: What it is for.
            asker: Name of the peer on whose behalf it is sent.
            period: Whether it is the probe of a protocol period.
            nonce: The asker's nonce; a new one if None.
            max_size: Most bytes that it may have.
        """
        context = self._context
        nonce = nonce or context.new_nonce()
        if len(self.probes) >= MAX_PROBES or nonce in self.probes:
            return
        member = self._member(name)
        proved = member is not None and member.is_live()
        items = context.pick_items(name) if proved and name is not None and not asker else []
        ends = now + self._timeout()
        bare_answer = b"\0" if asker else b""
        ping = Ping(nonce, bare_answer if proved else bytes(codec.PING_PADDING))
        if context.outbox.send(
            now, address, name or "", ping, purpose, items=items, max_size=max_size
        ):
            self.probes[nonce] = Probe(nonce, name, address, now, ends, asker=asker, period=period)

    def expect_answer(self, now: Ticks, nonce: bytes, member: Member, source: Address) -> None:
        """Takes note of a nonce that went out with an answer."""
        ends = now + self._context.settings.probe_timeout
        self.probes[nonce] = Probe(nonce, member.name, source, now, ends)

    def is_full(self) -> bool:
        """Returns whether no more nonces may be outstanding."""
        return len(self.probes) >= MAX_PROBES

    def after_stall(self, now: Ticks) -> None:
        """Gives answers more time after this instance stood still: they wait unread, or came."""
        self._context.members.change_health(STALL_HEALTH)
        for probe in self.probes.values():
            probe.ends = now + self._timeout()

    def relay(self, now: Ticks, member: Member, request: IndirectPing) -> None:
        """Probes a peer on behalf of another."""
        context = self._context
        if request.target in context.members.all and request.host in context.sources:
            self.probe(
                now,
                (request.host, request.port),
                request.target,
                SendPurpose.PROVE,
                asker=member.name,
                nonce=request.nonce,
            )

    def pass_on(self, now: Ticks, probe: Probe, answer: bytes | None) -> None:
        """Passes an answer, or that there was none, on to the asker of a probe."""
        asker = self._member(probe.asker)
        if asker and asker.address:
            body = IndirectAck(probe.nonce, answer)
            self._context.outbox.send(now, asker.address, asker.name, body, SendPurpose.ANSWER)

    def relayed(self, now: Ticks, relay: Member, reply: IndirectAck) -> None:
        """Takes a peer's answer by way of a relay.

        It is signed by the one who lives and holds our own nonce, so that no relay can make one up
        or keep one for later; it proves no address.
        """
        probe = self.probes.get(reply.nonce)
        if probe is None or probe.name is None:
            return
        probe.asked = max(0, probe.asked - 1)
        if reply.answer is None:
            return
        read = codec.read_frame(reply.answer)
        if isinstance(read, DropReason):
            return
        target = self._member(probe.name)
        if target is None or not self._is_answer(read, target, relay, reply.nonce):
            return
        context = self._context
        if not context.limits.total.take(now):
            return
        context.limits.verified += 1
        if context.ring.verifies(read.key_id, read.signed, read.signature):
            del self.probes[reply.nonce]
            context.members.step(target, MemberInput.ANSWERED, now)

    def _is_answer(
        self, read: codec.SealedFrame, target: Member, relay: Member, nonce: bytes
    ) -> bool:
        """Returns whether a datagram is the target's answer to a relay, but for its signature."""
        frame = read.frame
        return (
            frame.sender == target.name
            and self._context.key_owner(read.key_id) == target.name
            and frame.recipient == relay.name
            and frame.start == target.start
            and not target.frames.seen(frame.number)
            and frame.body == Ack(nonce, None)
        )

    def tick(self, now: Ticks) -> None:
        """Ends the probes whose time is over, and the suspicions that follow."""
        for probe in [probe for probe in self.probes.values() if now >= probe.ends]:
            member = self._member(probe.name)
            if probe.asker:
                self.pass_on(now, probe, None)
            elif probe.period and member and probe.asked == 0:
                self._ask_relays(now, probe, member)
                continue
            del self.probes[probe.nonce]
            if member is not None and not probe.asker:
                self._missed(now, probe, member)
        self._context.members.bury_overdue(now)

    def _ask_relays(self, now: Ticks, probe: Probe, member: Member) -> None:
        """Asks relays, and once more itself: of lost datagrams most are lost on their own."""
        context = self._context
        relays = context.members.sample(context.settings.relays, (member.name,))
        ping = Ping(probe.nonce, b"")
        context.outbox.send(now, probe.address, member.name, ping, SendPurpose.PROBE)
        for relay in relays:
            request = IndirectPing(probe.nonce, member.name, *probe.address)
            context.outbox.send(now, relay.live_address(), relay.name, request, SendPurpose.PROBE)
        probe.asked = len(relays) + 1
        # The rest of the period is for the relays, or as long again where there is little left.
        period = context.settings.probe_every * (1 + context.members.health)
        probe.ends = max(
            probe.at + period - TICK_INTERVAL, now + 2 * context.settings.probe_timeout
        )

    def _missed(self, now: Ticks, probe: Probe, member: Member) -> None:
        members = self._context.members
        if probe.period:
            # Relays that say neither yes nor no: it is rather this instance that is cut off.
            members.change_health(1 if probe.asked > 1 else 0)
            members.step(member, MemberInput.MISSED, now)
            if (
                member.state == MemberState.SUSPECT
                and member.misses == MISSES_BEFORE_SUSPECT
                and member.start is not None
            ):
                body = Suspect(member.name, member.start, member.incarnation)
                self._context.outbox.say(now, body, ("Suspect", member.name))
        elif not member.is_live():
            members.step(member, MemberInput.MISSED, now)
