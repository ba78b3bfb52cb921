"""Processing of received datagrams.

Checks run in the order of their cost, so that an unwanted datagram costs as little as possible:
size, version, network, key id, budget of the source address, encoding, sequence number, signature.
The content of a peer's datagrams is ignored until the peer has answered a nonce of this instance
under its current start; datagrams of another start are treated like those of an unknown sender.
"""

from typing import NamedTuple

from ..interface.clock import Ticks
from . import codec
from .codec import Ack, DropReason, Frame, Hints, IndirectAck, IndirectPing, Ping, SealedFrame
from .context import GossipContext
from .item_exchange import ItemExchange
from .membership import ClockOffset, Member, MemberInput
from .peer_hints import PeerHints
from .prober import Probe, Prober
from .rate_limits import Address, SendPurpose, TokenBucket


class Incoming(NamedTuple):
    """A decoded datagram with its context.

    Attributes:
        now: Time of reception.
        source: Source address.
        datagram: Raw bytes.
        member: Peer that owns the stated key.
        sealed: Decoded datagram, not verified yet.
    """

    now: Ticks
    source: Address
    datagram: bytes
    member: Member
    sealed: SealedFrame


class Receiver:
    """Verifies datagrams and dispatches their content to the other parts."""

    def __init__(
        self, context: GossipContext, prober: Prober, hints: PeerHints, items: ItemExchange
    ) -> None:
        self._context = context
        self._prober = prober
        self._hints = hints
        self._items = items

    def receive(self, now: Ticks, source: Address, datagram: bytes) -> DropReason | None:
        """Processes a datagram.

        Returns:
            The reason if the datagram was dropped, else None.
        """
        reason = self._check_raw(source, datagram)
        if reason is not None:
            return reason
        context = self._context
        sender = context.key_owner(codec.datagram_key_id(datagram))
        if sender is None or sender == context.local.name:
            return DropReason.KEY
        bucket = context.limits.bucket_for(source)
        if not bucket.has_tokens(now) and not any(
            nonce in datagram for nonce in self._prober.probes
        ):
            return DropReason.BUDGET
        sealed = codec.read_frame(datagram)
        if isinstance(sealed, DropReason):
            return sealed
        member = context.members.all.get(sender)
        if member is None or sealed.frame.sender != sender:
            return DropReason.SENDER
        return self._handle_sealed(Incoming(now, source, datagram, member, sealed), bucket)

    def _check_raw(self, source: Address, datagram: bytes) -> DropReason | None:
        if not codec.MIN_DATAGRAM_SIZE <= len(datagram) <= codec.MAX_DATAGRAM_SIZE:
            return DropReason.SIZE
        if datagram[0] != codec.VERSION:
            return DropReason.VERSION
        if source[0] not in self._context.sources:
            return DropReason.NETWORK
        return None

    def _handle_sealed(self, incoming: Incoming, bucket: TokenBucket) -> DropReason | None:
        """Checks a decoded datagram, verifies its signature and processes its content."""
        member = incoming.member
        frame = incoming.sealed.frame
        body = frame.body
        if not self._is_for_us(frame):
            return DropReason.RECIPIENT
        start_proved = member.start == frame.start
        if start_proved and member.frame_window.seen(frame.number):
            return DropReason.REPLAY
        probe = self._prober.probes.get(body.nonce) if isinstance(body, Ack) else None
        if not start_proved and not isinstance(body, Ping) and probe is None:
            self._ask_for_proof(incoming)
            return DropReason.UNPROVED
        # An answer to an outstanding nonce is verified even if the limits are used up.
        reason = self._verify(incoming, bucket if probe is None else None)
        if reason is not None:
            return reason
        if probe is not None and not self._accept_ack(incoming, probe):
            return DropReason.UNPROVED
        self._dispatch(incoming)
        return None

    def _verify(self, incoming: Incoming, bucket: TokenBucket | None) -> DropReason | None:
        """Verifies a signature, within the limits unless `bucket` is None."""
        limits = self._context.limits
        now = incoming.now
        if bucket is not None and not (bucket.take(now) and limits.total.take(now)):
            return DropReason.BUDGET
        limits.verified += 1
        sealed = incoming.sealed
        if not self._context.keyring.verifies(sealed.key_id, sealed.signed_bytes, sealed.signature):
            return DropReason.SIGNATURE
        return None

    def _is_for_us(self, frame: Frame) -> bool:
        """Returns whether a datagram names this instance or is a first ping to it as a seed."""
        if frame.recipient == self._context.local.name:
            return True
        return frame.recipient == "" and isinstance(frame.body, Ping) and not frame.items

    def _ask_for_proof(self, incoming: Incoming) -> None:
        """Pings a sender whose start is not proved, so that it can prove it."""
        now, source, datagram, member, _ = incoming
        if now - member.challenged_at >= self._context.settings.probe_every:
            member.challenged_at = now
            self._prober.probe(now, source, member.name, SendPurpose.PROVE, max_size=len(datagram))

    def _dispatch(self, incoming: Incoming) -> None:
        now, source, _, member, sealed = incoming
        frame = sealed.frame
        body = frame.body
        start_proved = member.start == frame.start
        if start_proved:
            member.frame_window.mark(frame.number)
        if isinstance(body, Ping):
            self._answer_ping(incoming, body, start_proved)
        if not start_proved:
            return
        if isinstance(body, IndirectPing):
            self._prober.relay(now, member, body)
        elif isinstance(body, IndirectAck):
            self._prober.receive_indirect_ack(now, member, body)
        elif isinstance(body, Hints):
            self._hints.receive(now, source, member, body)
        for content in frame.items:
            self._context.drop(self._items.receive(now, member, content))

    def _answer_ping(self, incoming: Incoming, ping: Ping, start_proved: bool) -> None:
        """Answers a ping.

        The answer to a peer that is not validated has no items, is no longer than the ping, and has
        a challenge unless the peer was challenged recently.
        """
        context = self._context
        now, source, datagram, member, _ = incoming
        validated = start_proved and source == member.address and member.is_live()
        items = context.pick_items(member.name) if validated and not ping.padding else []
        challenged_recently = now - member.challenged_at < context.settings.probe_every // 2
        challenge = None if validated or challenged_recently else context.new_nonce()
        sent = context.outbox.send(
            now,
            source,
            member.name,
            Ack(ping.nonce, challenge),
            SendPurpose.ANSWER,
            items=items,
            max_size=codec.MAX_DATAGRAM_SIZE if validated else len(datagram),
        )
        if sent and challenge and not self._prober.is_full():
            member.challenged_at = now
            self._prober.expect_answer(now, challenge, member, source)

    def _accept_ack(self, incoming: Incoming, probe: Probe) -> bool:
        """Processes an answer to an outstanding nonce, which proves the sender's start.

        Returns:
            Whether the answer comes from the probed peer and address.
        """
        now, source, datagram, member, sealed = incoming
        if probe.name not in (None, member.name) or source != probe.address:
            return False
        context = self._context
        del self._prober.probes[probe.nonce]
        body = sealed.frame.body
        if isinstance(body, Ack) and body.challenge:
            context.outbox.send(
                now,
                source,
                member.name,
                Ack(body.challenge, None),
                SendPurpose.ANSWER,
                max_size=len(datagram),
            )
        self._prober.forward_answer(now, probe, datagram[: codec.MAX_INDIRECT_ANSWER_SIZE])
        self._record_proof(now, member, sealed.frame, probe)
        if probe.is_period_probe:
            context.members.change_health(-1)
        return True

    def _record_proof(self, now: Ticks, member: Member, frame: Frame, probe: Probe) -> None:
        """Stores what an answer proved: the peer's start, clock offset and address."""
        context = self._context
        if member.start != frame.start:
            if member.start is not None:
                context.suspicions.forget_origin(member.name)
            member.adopt_start(frame.start)
        # The peer's clock is compared with the middle of the round trip; the measurement with the
        # shortest round trip is kept (Cristian, 1989).
        round_trip = now - probe.sent_at
        if member.offset is None or round_trip <= member.offset.error:
            member.offset = ClockOffset((probe.sent_at + now) // 2 - frame.sent_at, round_trip)
        self._set_address(now, member, probe.address)
        context.members.apply(member, MemberInput.ANSWERED, now)
        self._items.release_pending(now, member)

    def _set_address(self, now: Ticks, member: Member, address: Address) -> None:
        """Stores a peer's validated address; another peer that had this address is dead."""
        context = self._context
        former_name = context.by_address.get(address)
        if member.address == address and former_name == member.name:
            return
        former = context.members.all.get(former_name) if former_name is not None else None
        if former is not None and former is not member:
            context.members.apply(former, MemberInput.ADDRESS_TAKEN, now)
            former.address = None
        if member.address is not None:
            context.by_address.pop(member.address, None)
        member.address = address
        member.candidates.clear()
        context.by_address[address] = member.name
        context.limits.set_validated_addresses(
            [peer.address for peer in context.members.all.values() if peer.address and peer.start]
        )
