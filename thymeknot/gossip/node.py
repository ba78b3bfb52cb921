"""One instance's part in the gossip, without a network: datagrams and moments in, datagrams and doubts out.

What a stranger sends costs the least that tells so, in the order of cost: size, version, network, key's name, budget
of its address, form, number, signature. Nothing a peer says counts before it has answered a nonce of ours under its
present start; what it said under another start is as good as a stranger's.
"""

from hashlib import blake2b
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND
from . import codec
from .codec import (
    Ack,
    Alive,
    Evidence,
    Frame,
    Hints,
    IndirectAck,
    IndirectPing,
    Item,
    Left,
    Ping,
    Push,
    Suspect,
)
from .dissemination_queue import DisseminationQueue
from .keyring import SIGNATURE_SIZE
from .membership import LIVE_STATES, ClockOffset, MemberInput, Members, MemberState
from .rate_limits import SendLimits, SendPurpose, VerificationLimits
from .suspicion import SuspicionDetector

TICK = TICKS_PER_SECOND // 10
PUSHES = 5  # rounds of rumours in a period
FANOUT = 2
HINTS_EVERY, PROVE_AT_ONCE = 5 * TICKS_PER_SECOND, 4
ROOM = 1100  # bytes of items in a datagram
STALLED = TICKS_PER_SECOND // 2  # late by so much, it is this instance that stood still
ASIDE_MOST, ASIDE_OF_ONE, ASIDE_FOR = 256, 8, 5 * TICKS_PER_SECOND
OUT_MOST = 512  # nonces that are out
ACCUSED_AFTER = (
    3  # own probes that failed: with loss, each first one would be told to all, and by all
)
FUTURE = (
    TICKS_PER_SECOND  # an item may seem to come from so much later than its origin's clock allows
)
COUNTED = (
    "size",
    "version",
    "network",
    "key",
    "budget",
    "form",
    "sender",
    "recipient",
    "replay",
    "signature",
    "unproved",
    "lapsed",
    "lie",
)


class Probe:
    """A nonce that is out. asker: the name of the one on whose behalf. period: one of SWIM's, that may accuse."""

    __slots__ = ("nonce", "name", "address", "at", "ends", "asked", "asker", "period")

    def __init__(self, nonce, name, address, at, ends, asker=None, period=False):
        self.nonce, self.name, self.address, self.at, self.ends = nonce, name, address, at, ends
        self.asked, self.asker, self.period = 0, asker, period


class Out(NamedTuple):
    address: tuple
    content: bytes


class GossipNode:
    """identity, ring, sources: see identity.py. nonce() gives 8 bytes nobody can guess; unix() seconds.
    announced: (host, port) where others reach this one. Effects are gathered in `out` (datagrams), `doubts`, `said`
    (what a log should hold) and are the caller's to take."""

    def __init__(
        self, terms, identity, ring, sources, announced, seeds, now, chance, start, nonce, unix
    ):
        self.terms, self.identity, self.ring, self.sources = terms, identity, ring, sources
        self.announced, self.seeds, self.chance, self.nonce, self.unix = (
            announced,
            seeds,
            chance,
            nonce,
            unix,
        )
        self.name, self.began, self.start, self.number, self.incarnation = (
            identity.name,
            now,
            start,
            0,
            0,
        )
        self.members = Members([name for name in ring.groups if name != self.name], terms, chance)
        self.sending = SendLimits(terms.ceiling, now)
        self.checking = VerificationLimits(terms.verifications, start, now)
        self.rumours = DisseminationQueue(chance, terms.hearsay.lapse)
        self.suspicions = SuspicionDetector(
            terms.hearsay, lambda name: self.ring.groups.get(name, name)
        )
        self.probes, self.aside, self.aside_of = {}, [], {}
        self.by_address, self.out, self.doubts, self.said = {}, [], [], []
        self.dropped = dict.fromkeys(COUNTED, 0)
        self.due, self.push_at, self.probe_at, self.hints_at, self.decide_at = (
            now,
            now,
            now,
            now,
            now,
        )
        self.sent_bytes = self.sent_datagrams = self.verified = 0
        # A newcomer says nothing of itself: it asks, and proof comes by nonces. Hundreds that start at once would
        # otherwise each tell all others what only a ping can prove.
        self.gone = self.learnt = False

    # What goes out.

    def _send(self, now, address, to, body, kind, items=(), most=codec.MAX_DATAGRAM):
        """Whether it went out: within the ceilings, and no longer than `most` bytes."""
        self.number += 1
        frame = Frame(self.name, to, self.start, self.number, now - self.began, body, list(items))
        unsigned = codec.frame_bytes(frame, self.identity.key_id)
        size = len(unsigned) + SIGNATURE_SIZE
        if size > most or not self.sending.may(now, size, kind):
            return False
        self.sent_bytes += size
        self.sent_datagrams += 1
        self.out.append(Out(address, unsigned + self.identity.sign(unsigned)))
        return True

    def _say(self, now, body, about):
        """Makes an item of one's own, signs it and passes it on."""
        self.number += 1
        item = Item(self.name, self.start, self.number, now - self.began, body)
        self.rumours.add(
            item, self.identity.key_id, codec.sealed_item(item, self.identity), now, about
        )

    def _probe(
        self,
        now,
        address,
        name,
        kind,
        asker=None,
        period=False,
        nonce=None,
        most=codec.MAX_DATAGRAM,
    ):
        """A ping with a nonce. With padding it asks for a bare answer: from one that proved nothing, which may not
        answer with more than it was sent, or for another, to whom the answer is passed on whole."""
        nonce = nonce or self.nonce()
        if len(self.probes) >= OUT_MOST or nonce in self.probes:
            return
        member = self.members.all.get(name)
        proved = member is not None and member.state in LIVE_STATES
        items = (
            self.rumours.pick(len(self.members.live), ROOM, name) if proved and not asker else ()
        )
        wait = self.terms.probe_timeout * (1 + self.members.health)
        ping = Ping(nonce, bytes(codec.PING_PADDING) if not proved else b"\0" if asker else b"")
        if self._send(now, address, name or "", ping, kind, items, most):
            self.probes[nonce] = Probe(nonce, name, address, now, now + wait, asker, period)

    # What comes in.

    def received(self, now, source, datagram):
        """A datagram from an address (host, port). What is wrong with it is counted by its kind and no more."""
        if self.gone:
            return
        wrong = self._take(now, source, datagram)
        if wrong:
            self.dropped[wrong] += 1

    def _take(self, now, source, datagram):
        if not codec.MIN_DATAGRAM <= len(datagram) <= codec.MAX_DATAGRAM:
            return "size"
        if datagram[0] != codec.VERSION:
            return "version"
        if source[0] not in self.sources:
            return "network"
        number = datagram[1:9]
        sender = self.ring.owner(number, self.unix())
        if sender is None or sender == self.name:
            return "key"
        lane = self.checking.bucket_of(source)
        if not lane.holds(now) and not any(nonce in datagram for nonce in self.probes):
            return "budget"
        read = codec.read_frame(datagram)
        if isinstance(read, codec.DropReason):
            return read
        _, frame, signed, signature = read
        if frame.sender != sender or sender not in self.members.all:
            return "sender"
        asks = type(frame.body) is Ping
        if frame.to != self.name and not (frame.to == "" and asks and not frame.items):
            return "recipient"
        member = self.members.all[sender]
        proved = member.start == frame.start
        if proved and member.frames.seen(frame.number):
            return "replay"
        answers = self.probes.get(frame.body.nonce) if type(frame.body) is Ack else None
        if not proved and not asks and answers is None:
            if now - member.told_at >= self.terms.probe_every:  # a ping finds out who that is
                member.told_at = now
                self._probe(now, source, sender, SendPurpose.PROVE, most=len(datagram))
            return "unproved"
        # What an awaited nonce brings in is checked whatever others have used up.
        if answers is None and not (lane.take(now) and self.checking.total.take(now)):
            return "budget"
        self.verified += 1
        if not self.ring.holds(number, signed, signature):
            return "signature"
        return self._verified(now, source, member, frame, answers, datagram)

    def _verified(self, now, source, member, frame, answers, datagram):
        if answers is not None and not self._answered(
            now, source, member, frame, answers, datagram
        ):
            return "unproved"
        proved = member.start == frame.start
        if proved:
            member.frames.mark(frame.number)
        if type(frame.body) is Ping:
            # An answer to one that proved nothing carries no items: it is no longer than what it answers.
            known = proved and source == member.address and member.state in LIVE_STATES
            bare = not known or frame.body.pad
            items = () if bare else self.rumours.pick(len(self.members.live), ROOM, member.name)
            # One that proved nothing gets one answer, no longer than what it sent, that asks it to do so.
            back = (
                None
                if known or now - member.told_at < self.terms.probe_every // 2
                else self.nonce()
            )
            if (
                self._send(
                    now,
                    source,
                    member.name,
                    Ack(frame.body.nonce, back),
                    SendPurpose.ANSWER,
                    items,
                    codec.MAX_DATAGRAM if known else len(datagram),
                )
                and back
                and len(self.probes) < OUT_MOST
            ):
                member.told_at = now
                self.probes[back] = Probe(
                    back, member.name, source, now, now + self.terms.probe_timeout
                )
        if not proved:
            return None
        body = type(frame.body)
        if body is IndirectPing:
            self._asked(now, member, frame.body)
        elif body is IndirectAck:
            self._passed(now, member, frame.body)
        elif body is Hints:
            self._hinted(now, source, member, frame.body)
        for content in frame.items:
            wrong = self._item(now, member, content)
            if wrong:
                self.dropped[wrong] += 1
        return None

    def _answered(self, now, source, member, frame, probe, datagram):
        """An answer with a nonce of ours: proof of the start it names, if it is the one asked."""
        if probe.name not in (None, member.name) or source != probe.address:
            return False
        del self.probes[probe.nonce]
        if frame.body.back:
            self._send(
                now,
                source,
                member.name,
                Ack(frame.body.back, None),
                SendPurpose.ANSWER,
                most=len(datagram),
            )
        asker = self.members.all.get(probe.asker)
        if asker and asker.address:
            self._send(
                now,
                asker.address,
                asker.name,
                IndirectAck(probe.nonce, datagram[: codec.MAX_INDIRECT_ANSWER]),
                SendPurpose.ANSWER,
            )
        self._proved(now, member, frame, probe.address, probe.at)
        if probe.period:
            self.members.change_health(-1)
        return True

    def _proved(self, now, member, frame, address, sent):
        if member.start != frame.start:
            if member.start is not None:
                self.suspicions.forget_origin(member.name)
            member.begin(frame.start)
        # The origin's clock against ours, by the middle of the way there and back; the quickest answer counts.
        offset, rtt = (sent + now) // 2 - frame.at, now - sent
        if member.offset is None or rtt <= member.offset.error:
            member.offset = ClockOffset(offset, rtt)
        if member.address != address or self.by_address.get(address) != member.name:
            other = self.by_address.get(address)
            if other != member.name and other in self.members.all:  # another name lives there now
                self.members.step(self.members.all[other], MemberInput.REPLACED, now)
                self.members.all[other].address = None
            self.by_address.pop(member.address, None)
            member.address = address
            self.by_address[address] = member.name
            self.checking.set_proved(
                [one.address for one in self.members.all.values() if one.address and one.start]
            )
        self.members.step(member, MemberInput.ANSWERED, now)
        mine = self.aside_of.pop(member.name, None)
        if mine:  # what waited for this proof
            waiting, self.aside = self.aside, [one for one in self.aside if one[1] != member.name]
            for _, name, content in waiting:
                if name == member.name:
                    wrong = self._item(now, member, content)
                    if wrong:
                        self.dropped[wrong] += 1

    def _asked(self, now, member, ask):
        target = self.members.all.get(ask.target)
        if target is not None and ask.host in self.sources:
            self._probe(
                now,
                (ask.host, ask.port),
                ask.target,
                SendPurpose.PROVE,
                member.name,
                nonce=ask.nonce,
            )

    def _passed(self, now, member, passed):
        """Another's answer by way of a relay. It is signed by the one who lives and holds our own nonce, so that no
        relay can make one up or keep one for later; it proves no address."""
        probe = self.probes.get(passed.nonce)
        if probe is None or probe.name is None:
            return
        probe.asked = max(0, probe.asked - 1)
        if passed.answer is None:
            return
        read = codec.read_frame(passed.answer)
        if isinstance(read, codec.DropReason):
            return
        number, frame, signed, signature = read
        target = self.members.all.get(probe.name)
        if (
            target is None
            or frame.sender != target.name
            or self.ring.owner(number, self.unix()) != target.name
            or frame.to != member.name
            or frame.start != target.start
            or target.frames.seen(frame.number)
            or frame.body != Ack(passed.nonce, None)
            or not self.checking.total.take(now)
        ):
            return
        self.verified += 1
        if self.ring.holds(number, signed, signature):
            del self.probes[passed.nonce]
            self.members.step(target, MemberInput.ANSWERED, now)

    def _hinted(self, now, source, member, hints):
        if hints.asking:
            self._send(
                now,
                source,
                member.name,
                Hints(False, self._hints(len(hints.peers) + 8)),
                SendPurpose.PROVE,
            )
        for name, host, port in hints.peers:
            self._learn(now, name, (host, port))

    def _learn(self, now, name, address):
        """Somebody says that a peer is there: if nobody proved better, it will be asked."""
        member = self.members.all.get(name)
        if (
            member
            and member.state == MemberState.UNPROVED
            and address[0] in self.sources
            and member.address is None
        ):
            member.address, member.looked = address, now - self.terms.probe_every
            self.learnt = True

    def _hints(self, most):
        return [
            (one.name, *one.address)
            for one in self.members.sample(min(most, codec.MAX_HINTS))
            if one.address
        ]

    # Items.

    def _item(self, now, bringer, content):
        read = codec.read_item(content)
        if isinstance(read, codec.DropReason):
            return read
        number, item, signed, signature = read
        if item.origin == self.name:
            return None
        origin = self.members.all.get(item.origin)
        if origin is None or self.ring.owner(number, self.unix()) != item.origin:
            return "key"
        if origin.start != item.start or origin.state not in LIVE_STATES:
            return self._set_aside(now, origin, item, content)
        digest = blake2b(content, digest_size=8).digest()
        if origin.items.seen(item.number):
            had = origin.digests.get(item.number)
            if had is None or had == digest:
                return None
        bucket = self.checking.peers.get(bringer.address)
        if not (bucket is None or bucket.take(now)) or not self.checking.total.take(now):
            return "budget"
        self.verified += 1
        if not self.ring.holds(number, signed, signature):
            return "signature"
        if origin.items.seen(
            item.number
        ):  # another content under the same number, and the origin's own signature
            self.suspicions.discredit(origin.name)
            self.said.append(("equivocation detected", {"peer": origin.name}))
            return "lie"
        origin.items.mark(item.number)
        origin.remember(item.number, digest)
        made = item.at + origin.offset.ticks
        if now - made > self.terms.hearsay.lapse or made - now > FUTURE + origin.offset.error:
            return "lapsed"
        return self._heard(now, origin, item, number, content, made)

    def _set_aside(self, now, origin, item, content):
        """An origin that has not proved this start: its word waits, a short while, for that proof."""
        if type(item.body) is Alive and origin.state == MemberState.UNPROVED:
            self._learn(now, origin.name, (item.body.host, item.body.port))
        if (
            type(item.body) is Alive
            or origin.start == item.start
            or origin.address is None
            or len(self.aside) >= ASIDE_MOST
            or self.aside_of.get(origin.name, 0) >= ASIDE_OF_ONE
        ):
            return "unproved"
        self.aside_of[origin.name] = self.aside_of.get(origin.name, 0) + 1
        self.aside.append((now, origin.name, content))
        if now - origin.looked >= self.terms.probe_every:
            origin.looked = now
            self._probe(now, origin.address, origin.name, SendPurpose.PROVE)
        return None

    def _heard(self, now, origin, item, number, content, made):
        body, kind = item.body, type(item.body)
        about = kind.__name__
        if kind is Alive:
            if body.incarnation > origin.incarnation or origin.state == MemberState.ALIVE:
                origin.incarnation = max(origin.incarnation, body.incarnation)
                if now - made < self.terms.probe_every:
                    self.members.step(origin, MemberInput.SPOKE, now)
        elif kind is Left:
            self.members.step(origin, MemberInput.LEFT, now)
            self.suspicions.forget_origin(origin.name)
        elif kind is Suspect:
            about = "Accuse", body.subject
            if body.subject == self.name:
                if body.start == self.start and body.incarnation >= self.incarnation:
                    self.incarnation = body.incarnation + 1
                    self.members.change_health(1)
                    self._say(now, Alive(*self.announced, self.incarnation), "alive")
            else:
                subject = self.members.all.get(body.subject)
                if (
                    subject is None
                    or subject.start != body.start
                    or body.incarnation < subject.incarnation
                ):
                    return "lapsed"
                self.members.suspected(subject, self.ring.groups.get(origin.name, origin.name), now)
        else:
            about = "Claim", body.pod
            if not self.suspicions.add_evidence(now, origin.name, body, made):
                return "lapsed"
        self.rumours.add(item, number, content, made, about)
        return None

    # Moments.

    def tick(self, now):
        """To be called every TICK. What stands still for a while doubts itself first."""
        if now - self.due > STALLED:
            self.members.change_health(2)
            for (
                probe
            ) in self.probes.values():  # their answers wait unread, or came while nobody looked
                probe.ends = now + self.terms.probe_timeout * (1 + self.members.health)
        self.due = now + TICK
        self._overdue(now)
        if now >= self.probe_at:
            self.probe_at = now + self.terms.probe_every
            self._period(now)
        if now >= self.push_at:
            self.push_at = now + self.terms.probe_every // PUSHES
            if self.rumours.has_fresh(len(self.members.live)):
                for member in self.members.sample(FANOUT):
                    items = self.rumours.pick(len(self.members.live), ROOM, member.name)
                    if items:
                        self._send(
                            now, member.address, member.name, Push(), SendPurpose.UPDATES, items
                        )
        if now >= self.hints_at:
            # One that still hears of new names asks on.
            self.hints_at, self.learnt = (
                now + (self.terms.probe_every if self.learnt else HINTS_EVERY),
                False,
            )
            for member in self.members.sample(1):
                self._send(
                    now, member.address, member.name, Hints(True, self._hints(8)), SendPurpose.PROVE
                )
        if now >= self.decide_at:
            self.decide_at = now + self.terms.probe_every // 2
            self._consider(now)

    def _overdue(self, now):
        for probe in [one for one in self.probes.values() if now >= one.ends]:
            member = self.members.all.get(probe.name)
            if probe.asker:
                asker = self.members.all.get(probe.asker)
                if asker and asker.address:
                    self._send(
                        now,
                        asker.address,
                        asker.name,
                        IndirectAck(probe.nonce, None),
                        SendPurpose.ANSWER,
                    )
            elif probe.period and member and probe.asked == 0:
                # Asked once more by itself, too: of lost datagrams most are lost on their own.
                relays = self.members.sample(self.terms.relays, (member.name,))
                self._send(
                    now, probe.address, member.name, Ping(probe.nonce, b""), SendPurpose.PROBE
                )
                for relay in relays:
                    self._send(
                        now,
                        relay.address,
                        relay.name,
                        IndirectPing(probe.nonce, member.name, *probe.address),
                        SendPurpose.PROBE,
                    )
                probe.asked, probe.ends = len(relays) + 1, self._second_end(now, probe)
                continue
            del self.probes[probe.nonce]
            if member is None or probe.asker:
                continue
            if probe.period:
                # Relays that say neither yes nor no: it is rather this instance that is cut off or slow.
                self.members.change_health(1 if probe.asked > 1 else 0)
                self.members.step(member, MemberInput.MISSED, now)
                if member.state == MemberState.SUSPECT and member.misses == ACCUSED_AFTER:
                    self._say(
                        now,
                        Suspect(member.name, member.start, member.incarnation),
                        ("Accuse", member.name),
                    )
            elif member.state not in LIVE_STATES:
                self.members.step(member, MemberInput.MISSED, now)
        self.members.bury_overdue(now)

    def _second_end(self, now, probe):
        """The rest of the period is for the relays, or as long again where there is little left."""
        return max(
            probe.at + self.terms.probe_every * (1 + self.members.health) - TICK,
            now + 2 * self.terms.probe_timeout,
        )

    def _period(self, now):
        if self.gone:
            return
        out = {probe.name for probe in self.probes.values() if probe.period}
        for member in self.members.next_probes(now):
            if member.name not in out:
                self._probe(now, member.address, member.name, SendPurpose.PROBE, period=True)
        for member in self.members.to_prove(now, PROVE_AT_ONCE):
            self._probe(now, member.address, member.name, SendPurpose.PROVE)
        if not self.members.live:
            for seed in self.seeds:
                if seed != self.announced:
                    self._probe(now, seed, None, SendPurpose.PROVE)
        if self.aside and now - self.aside[0][0] > ASIDE_FOR:
            kept = [one for one in self.aside if now - one[0] <= ASIDE_FOR]
            self.aside, self.aside_of = kept, {}
            for _, name, _ in kept:
                self.aside_of[name] = self.aside_of.get(name, 0) + 1
        unix = self.unix()
        self.rumours.prune(
            now,
            lambda one: (
                self.ring.owner(one.key_id, unix) == one.origin
                and (one.origin == self.name or self._stands(one))
            ),
        )
        for name, before, after in self.members.events:
            self.said.append(
                ("peer state changed", {"peer": name, "before": before.value, "now": after.value})
            )
            if after == MemberState.DEAD:
                self.suspicions.forget_origin(name)
        self.members.events = []

    def _stands(self, rumour):
        member = self.members.all.get(rumour.origin)
        return member is not None and member.start == rumour.start

    def _alive(self, name):
        member = self.members.all.get(name)
        return member is not None and member.state in LIVE_STATES

    def _consider(self, now):
        for key, counts in self.suspicions.evidence_to_send(now):
            self._say(now, Evidence(*key, *counts), ("Claim", key.id))
        self.doubts += self.suspicions.update(now, self._alive)

    # From the sidecar.

    def rekey(self, ring, now):
        """Another ring: words signed with keys that no longer count are forgotten, and so are those who said them."""
        unix = self.unix()
        self.ring = ring
        held = ring.held(unix)
        for name in [one.name for one in self.members.all.values() if one.name not in held]:
            self.suspicions.forget_origin(name)
        gone = {
            one.origin
            for one in self.rumours.items.values()
            if ring.owner(one.key_id, unix) != one.origin
        }
        for name in gone:
            self.suspicions.forget_origin(name)
        self.rumours.prune(now, lambda one: ring.owner(one.key_id, unix) == one.origin)
        self.members.rekey([name for name in held if name != self.name])
        self.by_address = {
            one.address: one.name for one in self.members.all.values() if one.address and one.start
        }
        self.checking.set_proved(self.by_address)

    def leave(self, now):
        """Says goodbye to a few: the others hear of it."""
        self.gone = True
        self._say(now, Left(), "alive")
        for member in self.members.sample(4):
            items = self.rumours.pick(len(self.members.live), ROOM, member.name)
            self._send(now, member.address, member.name, Push(), SendPurpose.ANSWER, items)
