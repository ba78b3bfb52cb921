"""Datagrams that come in.

What a stranger sends costs the least that tells so, in the order of cost: size, version, network,
key's name, budget of its address, form, number, signature. Nothing a peer says counts before it has
answered a nonce of ours under its present start; what it said under another start is as good as a
stranger's.
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
    """A datagram that was read.

    Attributes:
        now: The time.
        source: Where it came from.
        datagram: Its bytes.
        member: The peer whose key it names.
        read: What it says.
    """

    now: Ticks
    source: Address
    datagram: bytes
    member: Member
    read: SealedFrame


class Receiver:
    """Verifies datagrams and hands what they say to the other parts."""

    def __init__(
        self, context: GossipContext, prober: Prober, hints: PeerHints, items: ItemExchange
    ) -> None:
        self._context = context
        self._prober = prober
        self._hints = hints
        self._items = items

    def receive(self, now: Ticks, source: Address, datagram: bytes) -> DropReason | None:
        """Takes a datagram, and returns why it was dropped, if it was."""
        reason = self._check_unread(source, datagram)
        if reason is not None:
            return reason
        context = self._context
        sender = context.key_owner(codec.datagram_key_id(datagram))
        if sender is None or sender == context.local.name:
            return DropReason.KEY
        bucket = context.limits.bucket_of(source)
        if not bucket.holds(now) and not any(nonce in datagram for nonce in self._prober.probes):
            return DropReason.BUDGET
        read = codec.read_frame(datagram)
        if isinstance(read, DropReason):
            return read
        member = context.members.all.get(sender)
        if member is None or read.frame.sender != sender:
            return DropReason.SENDER
        return self._take_read(Incoming(now, source, datagram, member, read), bucket)

    def _check_unread(self, source: Address, datagram: bytes) -> DropReason | None:
        if not codec.MIN_DATAGRAM <= len(datagram) <= codec.MAX_DATAGRAM:
            return DropReason.SIZE
        if datagram[0] != codec.VERSION:
            return DropReason.VERSION
        if source[0] not in self._context.sources:
            return DropReason.NETWORK
        return None

    def _take_read(self, incoming: Incoming, bucket: TokenBucket) -> DropReason | None:
        """Takes a datagram that is not verified."""
        member = incoming.member
        frame = incoming.read.frame
        body = frame.body
        if not self._is_for_us(frame):
            return DropReason.RECIPIENT
        proved = member.start == frame.start
        if proved and member.frames.seen(frame.number):
            return DropReason.REPLAY
        probe = self._prober.probes.get(body.nonce) if isinstance(body, Ack) else None
        if not proved and not isinstance(body, Ping) and probe is None:
            self._ask_for_proof(incoming)
            return DropReason.UNPROVED
        # What an awaited nonce brings in is verified whatever others have used up.
        reason = self._verify(incoming, bucket if probe is None else None)
        if reason is not None:
            return reason
        if probe is not None and not self._answered(incoming, probe):
            return DropReason.UNPROVED
        self._take_verified(incoming)
        return None

    def _verify(self, incoming: Incoming, bucket: TokenBucket | None) -> DropReason | None:
        """Verifies a signature, within the limits if there is a bucket."""
        limits = self._context.limits
        now = incoming.now
        if bucket is not None and not (bucket.take(now) and limits.total.take(now)):
            return DropReason.BUDGET
        limits.verified += 1
        read = incoming.read
        if not self._context.ring.verifies(read.key_id, read.signed, read.signature):
            return DropReason.SIGNATURE
        return None

    def _is_for_us(self, frame: Frame) -> bool:
        """Returns whether a datagram is for this instance, by name or as a seed's first ping."""
        if frame.recipient == self._context.local.name:
            return True
        return frame.recipient == "" and isinstance(frame.body, Ping) and not frame.items

    def _ask_for_proof(self, incoming: Incoming) -> None:
        """Pings a sender of another start than it proved, to find out who that is."""
        now, source, datagram, member, _ = incoming
        if now - member.told_at >= self._context.settings.probe_every:
            member.told_at = now
            self._prober.probe(now, source, member.name, SendPurpose.PROVE, max_size=len(datagram))

    def _take_verified(self, incoming: Incoming) -> None:
        now, source, _, member, read = incoming
        frame = read.frame
        body = frame.body
        proved = member.start == frame.start
        if proved:
            member.frames.mark(frame.number)
        if isinstance(body, Ping):
            self._answer(incoming, body, proved)
        if not proved:
            return
        if isinstance(body, IndirectPing):
            self._prober.relay(now, member, body)
        elif isinstance(body, IndirectAck):
            self._prober.relayed(now, member, body)
        elif isinstance(body, Hints):
            self._hints.received(now, source, member, body)
        for content in frame.items:
            self._context.drop(self._items.receive(now, member, content))

    def _answer(self, incoming: Incoming, ping: Ping, proved: bool) -> None:
        """Answers a ping.

        One that proved nothing gets no items and one answer no longer than what it sent, that asks
        it to prove itself.
        """
        context = self._context
        now, source, datagram, member, _ = incoming
        known = proved and source == member.address and member.is_live()
        items = context.pick_items(member.name) if known and not ping.pad else []
        recently = now - member.told_at < context.settings.probe_every // 2
        back = None if known or recently else context.new_nonce()
        sent = context.outbox.send(
            now,
            source,
            member.name,
            Ack(ping.nonce, back),
            SendPurpose.ANSWER,
            items=items,
            max_size=codec.MAX_DATAGRAM if known else len(datagram),
        )
        if sent and back and not self._prober.is_full():
            member.told_at = now
            self._prober.expect_answer(now, back, member, source)

    def _answered(self, incoming: Incoming, probe: Probe) -> bool:
        """Takes an answer with a nonce of ours: proof of the start it names.

        Returns:
            Whether it is from the one that was asked.
        """
        now, source, datagram, member, read = incoming
        if probe.name not in (None, member.name) or source != probe.address:
            return False
        context = self._context
        del self._prober.probes[probe.nonce]
        body = read.frame.body
        if isinstance(body, Ack) and body.back:
            context.outbox.send(
                now,
                source,
                member.name,
                Ack(body.back, None),
                SendPurpose.ANSWER,
                max_size=len(datagram),
            )
        self._prober.pass_on(now, probe, datagram[: codec.MAX_INDIRECT_ANSWER])
        self._proved(now, member, read.frame, probe)
        if probe.period:
            context.members.change_health(-1)
        return True

    def _proved(self, now: Ticks, member: Member, frame: Frame, probe: Probe) -> None:
        """Takes up what an answer proved: a peer's start, clock and address."""
        context = self._context
        if member.start != frame.start:
            if member.start is not None:
                context.suspicions.forget_origin(member.name)
            member.adopt_start(frame.start)
        # The peer's clock against ours, by the middle of the way there and back; the quickest
        # answer counts (Cristian, 1989).
        round_trip = now - probe.at
        if member.offset is None or round_trip <= member.offset.error:
            member.offset = ClockOffset((probe.at + now) // 2 - frame.at, round_trip)
        self._set_address(now, member, probe.address)
        context.members.step(member, MemberInput.ANSWERED, now)
        self._items.release(now, member)

    def _set_address(self, now: Ticks, member: Member, address: Address) -> None:
        """Takes up an address that a peer proved; another name there is gone."""
        context = self._context
        former_name = context.by_address.get(address)
        if member.address == address and former_name == member.name:
            return
        former = context.members.all.get(former_name) if former_name is not None else None
        if former is not None and former is not member:
            context.members.step(former, MemberInput.REPLACED, now)
            former.address = None
        if member.address is not None:
            context.by_address.pop(member.address, None)
        member.address = address
        context.by_address[address] = member.name
        context.limits.set_validated_addresses(
            [one.address for one in context.members.all.values() if one.address and one.start]
        )
