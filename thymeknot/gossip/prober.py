"""Probes: outstanding nonces, indirect probes by relays, and failures of probes."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import codec
from .codec import Ack, DropReason, IndirectAck, IndirectPing, Ping, Suspect
from .context import TICK_INTERVAL, GossipContext
from .membership import Member, MemberInput, MemberState
from .rate_limits import Address, SendPurpose

MAX_PROBES = 512  # outstanding nonces
# Failed own probes before the suspicion is published. With datagram loss, publishing it after the
# first one would announce every single loss to the whole group.
MISSES_BEFORE_SUSPECT = 3
STALL_THRESHOLD = TICKS_PER_SECOND // 2  # delay of a tick from which this process had stalled
STALL_HEALTH_PENALTY = 2  # added to the local health score after a stall


class Probe:
    """An outstanding nonce.

    Attributes:
        nonce: The nonce.
        name: Name of the probed peer, or None for a seed whose name is not known yet.
        address: Address that was probed.
        sent_at: When the probe was sent.
        deadline: Until when an answer is accepted.
        pending_answers: Number of relays and repeated pings that have not reported a failure.
        requester: Name of the peer on whose behalf the probe is sent, or None.
        is_period_probe: Whether it is a probe of a protocol period. Only these can make their
            target suspected.
    """

    __slots__ = (
        "address",
        "deadline",
        "is_period_probe",
        "name",
        "nonce",
        "pending_answers",
        "requester",
        "sent_at",
    )

    def __init__(
        self,
        nonce: bytes,
        name: str | None,
        address: Address,
        sent_at: Ticks,
        deadline: Ticks,
        *,
        requester: str | None = None,
        is_period_probe: bool = False,
    ) -> None:
        self.nonce = nonce
        self.name = name
        self.address = address
        self.sent_at = sent_at
        self.deadline = deadline
        self.pending_answers = 0
        self.requester = requester
        self.is_period_probe = is_period_probe


class Prober:
    """Sends probes and evaluates their answers.

    Attributes:
        probes: Outstanding probes by nonce.
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
        requester: str | None = None,
        is_period_probe: bool = False,
        nonce: bytes | None = None,
        max_size: int = codec.MAX_DATAGRAM_SIZE,
    ) -> None:
        """Sends a ping with a nonce.

        Padding asks for an answer without items. It is used for a peer that is not validated, whose
        answer must not be longer than the ping, and for a relayed probe, whose answer is forwarded
        as a whole.

        Args:
            now: Current time.
            address: Destination.
            name: Name of the probed peer, or None if unknown.
            purpose: Determines the share of the send limits that the ping may use.
            requester: Name of the peer on whose behalf it is sent.
            is_period_probe: Whether it is a probe of a protocol period.
            nonce: Nonce of the requester; None for a new one.
            max_size: Largest allowed size of the ping in bytes.
        """
        context = self._context
        nonce = nonce or context.new_nonce()
        if len(self.probes) >= MAX_PROBES or nonce in self.probes:
            return
        member = self._member(name)
        validated = member is not None and member.is_live()
        items = context.pick_items(name) if validated and name is not None and not requester else []
        deadline = now + self._timeout()
        bare_answer = b"\0" if requester else b""
        ping = Ping(nonce, bare_answer if validated else bytes(codec.PING_PADDING_SIZE))
        if context.outbox.send(
            now, address, name or "", ping, purpose, items=items, max_size=max_size
        ):
            self.probes[nonce] = Probe(
                nonce,
                name,
                address,
                now,
                deadline,
                requester=requester,
                is_period_probe=is_period_probe,
            )

    def expect_answer(self, now: Ticks, nonce: bytes, member: Member, source: Address) -> None:
        """Registers a nonce that was sent as the challenge in an answer."""
        deadline = now + self._context.settings.probe_timeout
        self.probes[nonce] = Probe(nonce, member.name, source, now, deadline)

    def is_full(self) -> bool:
        """Returns whether the maximum number of nonces is outstanding."""
        return len(self.probes) >= MAX_PROBES

    def after_stall(self, now: Ticks) -> None:
        """Extends all deadlines after a stall of this process, since answers may wait unread."""
        self._context.members.change_health(STALL_HEALTH_PENALTY)
        for probe in self.probes.values():
            probe.deadline = now + self._timeout()

    def relay(self, now: Ticks, member: Member, request: IndirectPing) -> None:
        """Probes a peer on behalf of another."""
        context = self._context
        if request.target in context.members.all and request.host in context.sources:
            self.probe(
                now,
                (request.host, request.port),
                request.target,
                SendPurpose.PROVE,
                requester=member.name,
                nonce=request.nonce,
            )

    def forward_answer(self, now: Ticks, probe: Probe, answer: bytes | None) -> None:
        """Forwards an answer, or None for a failed probe, to the requester of the probe."""
        requester = self._member(probe.requester)
        if requester and requester.address:
            body = IndirectAck(probe.nonce, answer)
            self._context.outbox.send(
                now, requester.address, requester.name, body, SendPurpose.ANSWER
            )

    def receive_indirect_ack(self, now: Ticks, relay: Member, reply: IndirectAck) -> None:
        """Processes a peer's answer that was forwarded by a relay.

        The answer is signed by the probed peer and has this instance's nonce, so that a relay can
        neither forge nor replay it. It does not prove the peer's address.
        """
        probe = self.probes.get(reply.nonce)
        if probe is None or probe.name is None:
            return
        probe.pending_answers = max(0, probe.pending_answers - 1)
        if reply.answer is None:
            return
        sealed = codec.read_frame(reply.answer)
        if isinstance(sealed, DropReason):
            return
        target = self._member(probe.name)
        if target is None or not self._is_answer(sealed, target, relay, reply.nonce):
            return
        context = self._context
        if not context.limits.total.take(now):
            return
        context.limits.verified += 1
        if context.keyring.verifies(sealed.key_id, sealed.signed_bytes, sealed.signature):
            del self.probes[reply.nonce]
            context.members.apply(target, MemberInput.ANSWERED, now)

    def _is_answer(
        self, sealed: codec.SealedFrame, target: Member, relay: Member, nonce: bytes
    ) -> bool:
        """Returns whether a datagram, if its signature is valid, is the target's answer."""
        frame = sealed.frame
        return (
            frame.sender == target.name
            and self._context.key_owner(sealed.key_id) == target.name
            and frame.recipient == relay.name
            and frame.start == target.start
            and not target.frame_window.seen(frame.number)
            and frame.body == Ack(nonce, None)
        )

    def tick(self, now: Ticks) -> None:
        """Ends probes and suspicions whose deadline has passed."""
        for probe in [probe for probe in self.probes.values() if now >= probe.deadline]:
            member = self._member(probe.name)
            if probe.requester:
                self.forward_answer(now, probe, None)
            elif probe.is_period_probe and member and probe.pending_answers == 0:
                self._probe_indirectly(now, probe, member)
                continue
            del self.probes[probe.nonce]
            if member is not None and not probe.requester:
                self._on_probe_failed(now, probe, member)
        self._context.members.declare_overdue_dead(now)

    def _probe_indirectly(self, now: Ticks, probe: Probe, member: Member) -> None:
        """Asks relays to probe the peer, and pings it once more, as most losses are independent."""
        context = self._context
        relays = context.members.sample(context.settings.relays, (member.name,))
        ping = Ping(probe.nonce, b"")
        context.outbox.send(now, probe.address, member.name, ping, SendPurpose.PROBE)
        for relay in relays:
            request = IndirectPing(probe.nonce, member.name, *probe.address)
            context.outbox.send(now, relay.live_address(), relay.name, request, SendPurpose.PROBE)
        probe.pending_answers = len(relays) + 1
        # Relays have the rest of the period, but at least two probe timeouts.
        period = context.settings.probe_every * (1 + context.members.health)
        probe.deadline = max(
            probe.sent_at + period - TICK_INTERVAL, now + 2 * context.settings.probe_timeout
        )

    def _on_probe_failed(self, now: Ticks, probe: Probe, member: Member) -> None:
        members = self._context.members
        if probe.is_period_probe:
            # If relays report neither success nor failure, this instance itself may be cut off.
            members.change_health(1 if probe.pending_answers > 1 else 0)
            members.apply(member, MemberInput.PROBE_FAILED, now)
            if (
                member.state == MemberState.SUSPECT
                and member.missed_probes == MISSES_BEFORE_SUSPECT
                and member.start is not None
            ):
                body = Suspect(member.name, member.start, member.incarnation)
                self._context.outbox.publish(now, body, ("Suspect", member.name))
        elif not member.is_live():
            members.apply(member, MemberInput.PROBE_FAILED, now)
