"""One keeper of the log, without input or output: events and moments in, effects out.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Ongaro's thesis (2014) for
pre-vote (9.6), read index and lease (6.4), transfer of leadership (3.10), one change of members at a time (4), check
of the quorum (6.2), snapshots (5), a leader that sends while its disk still writes (10.2.1); his note of 2015 that a
change of members must wait for an entry of the leader's own term.

Commands of part "keepers" are for the keepers: {"do": "add", "name": n, "life": l} takes in a learner (a voter of
that name under another life is one no longer), {"do": "promote", "name": n} makes it a voter, {"do": "remove", "name":
n}, {"do": "transfer", "name": n} hands leadership over (which no log holds: its reply says that it was tried).
"""

from collections import deque
from typing import NamedTuple

import msgspec

from .log import KEEPERS, Log, founded, named_members
from .messages import (
    Answered,
    Append,
    Appended,
    Applied,
    Ask,
    Cut,
    DiskFailed,
    Entry,
    Hurry,
    Image,
    Imaged,
    Members,
    Persist,
    Proposed,
    ReadAsked,
    ReadReady,
    Received,
    Refused,
    Send,
    SetTimer,
    Snapshot,
    StoodDown,
    Stored,
    TimerDue,
    Vote,
    Voted,
)
from .state_machine import Sessions, refused

FOLLOWER, PREVOTE, CANDIDATE = "follower", "prevote", "candidate"
LEADER, LEARNER, STOPPED = "leader", "learner", "stopped"

# (role, input) -> next role, effect. What is missing changes nothing and is answered by nothing. An effect may give a
# further input, which is taken before anything else.
STEPS = {
    (FOLLOWER, "overdue"): (PREVOTE, "sound_out"),
    (PREVOTE, "overdue"): (PREVOTE, "sound_out"),
    (CANDIDATE, "overdue"): (PREVOTE, "sound_out"),
    (LEADER, "overdue"): (LEADER, "beat"),
    (FOLLOWER, "hurried"): (CANDIDATE, "stand_forced"),
    (PREVOTE, "voted"): (PREVOTE, "count"),
    (CANDIDATE, "voted"): (CANDIDATE, "count"),
    (PREVOTE, "carried"): (CANDIDATE, "stand"),
    (CANDIDATE, "carried"): (LEADER, "lead"),
    (FOLLOWER, "newer"): (FOLLOWER, "adopt"),
    (PREVOTE, "newer"): (FOLLOWER, "adopt"),
    (CANDIDATE, "newer"): (FOLLOWER, "adopt"),
    (LEARNER, "newer"): (LEARNER, "adopt"),
    (LEADER, "newer"): (FOLLOWER, "give_way"),
    (FOLLOWER, "asked"): (FOLLOWER, "judge"),
    (PREVOTE, "asked"): (PREVOTE, "judge"),
    (CANDIDATE, "asked"): (CANDIDATE, "judge"),
    (LEADER, "asked"): (LEADER, "judge"),
    (LEARNER, "asked"): (LEARNER, "judge"),
    (FOLLOWER, "append"): (FOLLOWER, "take"),
    (PREVOTE, "append"): (FOLLOWER, "take"),
    (CANDIDATE, "append"): (FOLLOWER, "take"),
    (LEARNER, "append"): (LEARNER, "take"),
    (FOLLOWER, "image"): (FOLLOWER, "gather"),
    (PREVOTE, "image"): (FOLLOWER, "gather"),
    (CANDIDATE, "image"): (FOLLOWER, "gather"),
    (LEARNER, "image"): (LEARNER, "gather"),
    (FOLLOWER, "stale"): (FOLLOWER, "correct"),
    (PREVOTE, "stale"): (PREVOTE, "correct"),
    (CANDIDATE, "stale"): (CANDIDATE, "correct"),
    (LEADER, "stale"): (LEADER, "correct"),
    (LEARNER, "stale"): (LEARNER, "correct"),
    (LEADER, "appended"): (LEADER, "follow_up"),
    (LEADER, "imaged"): (LEADER, "follow_image"),
    (LEADER, "proposed"): (LEADER, "propose"),
    (LEADER, "read"): (LEADER, "read"),
    (FOLLOWER, "proposed"): (FOLLOWER, "send_on"),
    (FOLLOWER, "read"): (FOLLOWER, "send_on"),
    (PREVOTE, "proposed"): (PREVOTE, "send_on"),
    (PREVOTE, "read"): (PREVOTE, "send_on"),
    (CANDIDATE, "proposed"): (CANDIDATE, "send_on"),
    (CANDIDATE, "read"): (CANDIDATE, "send_on"),
    (LEARNER, "proposed"): (LEARNER, "send_on"),
    (LEARNER, "read"): (LEARNER, "send_on"),
    (STOPPED, "proposed"): (STOPPED, "send_on"),
    (STOPPED, "read"): (STOPPED, "send_on"),
    (LEADER, "stood still"): (FOLLOWER, "step_down"),
    (LEADER, "unheard"): (FOLLOWER, "step_down"),
    (LEADER, "left"): (LEARNER, "step_down"),
    (FOLLOWER, "unlisted"): (LEARNER, None),
    (PREVOTE, "unlisted"): (LEARNER, None),
    (CANDIDATE, "unlisted"): (LEARNER, None),
    (LEARNER, "listed"): (FOLLOWER, "rest"),
    (FOLLOWER, "disk failed"): (STOPPED, "stop"),
    (PREVOTE, "disk failed"): (STOPPED, "stop"),
    (CANDIDATE, "disk failed"): (STOPPED, "stop"),
    (LEADER, "disk failed"): (STOPPED, "stop"),
    (LEARNER, "disk failed"): (STOPPED, "stop"),
}
WORDS = {
    Ask: "asked",
    Vote: "voted",
    Append: "append",
    Appended: "appended",
    Image: "image",
    Imaged: "imaged",
    Hurry: "hurried",
}
HANDLED = {
    Received: "_received",
    TimerDue: "_timed",
    Proposed: "_proposed",
    ReadAsked: "_asked_read",
    Stored: "_is_stored",
    DiskFailed: "_disk_failed",
}


class Peer:
    """Another keeper as a leader sees it. life: the one it spoke under last."""

    __slots__ = ("life", "next", "match", "heard", "round", "busy", "image")

    def __init__(self, life, following, now):
        self.life, self.next, self.match, self.heard, self.round = life, following, 0, now, 0
        self.busy, self.image = 0, None  # entries are out until then; (snapshot, bytes sent)


class Waiting(NamedTuple):
    token: object
    size: int


class Own:
    """A vote for oneself, which counts once it is on the disk."""

    def __init__(self, term):
        self.term = term


class RaftNode:
    """members: the names of those that found the fleet, or None for one that is to be taken in. stored: an
    interface.Recovered. chance: draw() in [0, 1). now: tenths of a millisecond of a monotonic clock that stands in no
    relation to other keepers' clocks but its rate (`terms.drift`)."""

    def __init__(self, name, members, terms, chance, stored, machine, now):
        self.name, self.terms, self.chance, self.life = name, terms, chance, stored.life
        self.term, self.vote, self.machine = stored.term, stored.vote, machine
        # One whose disk is new may not found a fleet a second time: it knows nobody until a leader tells it.
        first = founded(members if members and stored.life == 0 else ())
        self.log = Log(stored.snapshot or first, stored.entries)
        self.sessions = self._sessions(machine)
        if self.log.snapshot.content:
            self.sessions.load(self.log.snapshot.content)
        self.committed = self.applied = self.log.snapshot.index
        self.serial = self.stored = 0  # of what was given to Persist, of what is on the disk
        self.safe, self.marks, self.held = self.log.last, deque(), deque()  # last index on the disk
        self.out, self.before, self.timer = [], now, None
        self.leader, self.votes, self.peers, self.gathered = None, set(), {}, None
        self.heard = now  # as if of a leader: what was promised to one before a restart still holds
        self.forced = False
        self._idle()
        self.role = FOLLOWER if self._votes() else LEARNER
        self._rest(now)

    # What can be taken in.

    def handle(self, now, event):
        """Effects, in the order in which they are to be carried out. now: never before an earlier call's."""
        now, self.out = max(now, self.before), []
        late, self.before = now - self.before, now
        if late > self._span() and self.role == LEADER:
            # It stood still: others may lead by now. Nothing is served on what it believed before.
            self._step(now, "stood still", "stood still for longer than the lease")
        getattr(self, HANDLED[type(event)])(now, event)
        self._apply(now)
        self._set_timer()
        return self.out

    def _step(self, now, what, about=None):
        """Takes an input, and those that follow from it, into the table."""
        follows = what, about
        while follows:
            what, about = follows
            self.role, effect = STEPS.get((self.role, what), (self.role, None))
            follows = getattr(self, "_" + effect)(now, about) if effect else None

    def _received(self, now, event):
        sender, message = event
        kind = type(message)
        if self.role == STOPPED or sender == self.name:
            return
        asks = kind is Ask
        # A pre-vote names a term that nobody has; and who hears a leader lets no other disturb it (thesis, 4.2.3).
        hypothetical = (asks and (message.pre or not self._welcome(now, message))) or (
            kind is Vote and message.pre and message.granted
        )
        if message.term > self.term:
            if not hypothetical:
                self._step(now, "newer", message.term)
            elif asks and not message.pre:
                return
        elif message.term < self.term:
            if kind in (Append, Image) or asks:
                self._step(now, "stale", event)
            return
        self._step(now, WORDS[kind], event)

    def _timed(self, now, _):
        self.timer = None
        if self.role not in (LEARNER, STOPPED) and now >= self.due:
            self._step(now, "overdue")

    def _proposed(self, now, event):
        self._step(now, "proposed", event)

    def _asked_read(self, now, event):
        self._step(now, "read", event)

    def _is_stored(self, now, event):
        """What waited for the disk goes out; what this keeper acknowledges to itself counts."""
        if self.role == STOPPED:
            return
        self.stored = max(self.stored, event.upto)
        while self.marks and self.marks[0][0] <= self.stored:
            self.safe = max(self.safe, self.marks.popleft()[1])
        while self.held and self.held[0][0] <= self.stored:
            self._release(now, self.held.popleft()[1])
        self._commit(now)

    def _release(self, now, thing):
        if type(thing) is Own:
            if thing.term == self.term and self.role == CANDIDATE:
                self._counted(now, self.name)
        else:
            self.out.append(thing)

    def _disk_failed(self, now, event):
        self._step(now, "disk failed", event.reason)

    # What goes out.

    def _persist(self, *records):
        self.serial += 1
        self.out.append(Persist(records, True, self.serial))
        if any(type(record) in (Entry, Cut, Snapshot) for record in records):
            self.marks.append((self.serial, self.log.last))

    def _hold(self, now, thing):
        """Goes out once all that was given to Persist so far is on the disk."""
        if self.stored >= self.serial:
            self._release(now, thing)
        else:
            self.held.append((self.serial, thing))
            if len(self.held) > self.terms.held_most:
                self.held.popleft()  # the oldest says the least by now

    def _set_timer(self):
        if self.role not in (LEARNER, STOPPED) and self.due != self.timer:
            self.timer = self.due
            self.out.append(SetTimer(self.due))

    def _rest(self, now, _=None):
        least, most = self.terms.election
        self.due = now + least + int(self.chance.draw() * (most - least))

    # Who counts.

    def _span(self):
        return self.terms.lease_span()

    def _sessions(self, machine):
        return Sessions(machine, self.terms.sessions_most)

    def _votes(self):
        return self.log.members.voters.get(self.name) == self.life

    def _majority(self, counts):
        """Whether counts(name, life) holds for more than half of the voters."""
        voters = self.log.members.voters
        return sum(1 for name, life in voters.items() if counts(name, life)) * 2 > len(voters)

    def _welcome(self, now, ask):
        """Whether an asker may disturb: nobody leads here, or the leader wishes it so."""
        return ask.forced or (self.role != LEADER and now - self.heard >= self.terms.election.least)

    # Elections.

    def _ask(self, now, pre, forced):
        self.votes, self.forced = set(), forced
        message = Ask(self.term + pre, self.life, 0, pre, self.log.last, self.log.last_term, forced)
        for name, life in self.log.members.voters.items():
            if name != self.name:
                self._hold(now, Send(name, message._replace(you=life)))

    def _sound_out(self, now, _):
        self.leader = None
        self._rest(now)
        if not self._votes():
            return "unlisted", None
        self._ask(now, True, False)
        return self._add(self.name)

    def _add(self, name):
        self.votes.add(name)
        return ("carried", None) if self._majority(lambda one, _: one in self.votes) else None

    def _counted(self, now, name):
        follows = self._add(name)
        if follows:
            self._step(now, *follows)

    def _stand(self, now, _, forced=False):
        self.term, self.vote, self.leader = self.term + 1, self.name, None
        self._rest(now)
        self._persist(Voted(self.term, self.vote))
        self._ask(now, False, forced)
        self._hold(now, Own(self.term))

    def _stand_forced(self, now, event):
        if event.sender != self.leader or not self._votes():
            return "newer", self.term
        return self._stand(now, None, True)

    def _count(self, now, event):
        """A vote counts for what is being asked now, and under the life that the members' list names."""
        sender, vote = event
        asked = self.term + 1 if vote.pre else self.term
        if (
            vote.granted
            and vote.pre == (self.role == PREVOTE)
            and vote.term == asked
            and self.log.members.voters.get(sender) == vote.life
        ):
            return self._add(sender)
        return None

    def _judge(self, now, event):
        """A vote is given for what this life of the disk remembers, whether the asker is a voter here or not: this
        keeper's list may be older. What it isn't given on: another life's name, an older log, a leader that lives."""
        sender, ask = event
        fresh = (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last)
        able = ask.you == self.life and fresh and self._welcome(now, ask)
        if ask.pre:
            granted = able and ask.term > self.term
        else:
            granted = able and self.vote in (None, sender) and self.role != LEADER
            if granted and self.vote is None:
                self.vote = sender
                self._persist(Voted(self.term, sender))
                self._rest(now)
        self._hold(
            now, Send(sender, Vote(ask.term if granted else self.term, self.life, ask.pre, granted))
        )

    def _adopt(self, now, term):
        if term > self.term:
            self.term, self.vote, self.leader = term, None, None
            self._persist(Voted(term, None))
        return None if self._votes() else ("unlisted", None)

    def _give_way(self, now, term):
        self._step_down(now, f"term {term} has begun")
        return self._adopt(now, term)

    def _step_down(self, now, reason):
        """Those that wait are told that their outcome is unknown: another leader may carry it through."""
        self.out.append(StoodDown(reason))
        for waiting in self.waiting.values():
            self.out.append(
                Refused(waiting.token, "unknown: " + reason, self.terms.election.most, None)
            )
        for token, _, _ in self.reads:
            self.out.append(Refused(token, reason, self.terms.election.most, None))
        if self.handing:
            self.out.append(Refused(self.handing[0], reason, self.terms.election.most, None))
        self._idle()
        self.leader = None
        self._rest(now)

    def _idle(self):
        """Nothing of a leader's."""
        self.peers, self.waiting, self.reads, self.bytes = {}, {}, [], 0
        self.round = self.confirmed = self.round_at = self.lease_until = self.own = 0
        self.handing, self.leases = None, False

    def _stop(self, now, reason):
        self._step_down(now, "disk: " + reason)
        self.held.clear()
        self.marks.clear()
        self.gathered = None

    def _correct(self, now, event):
        """One of an earlier term is told of this one, so that it doesn't wait for what can't come."""
        sender, message = event
        if type(message) is Ask:
            self._hold(now, Send(sender, Vote(self.term, self.life, message.pre, False)))
        else:
            self._hold(
                now, Send(sender, Appended(self.term, self.life, False, self.log.last + 1, 0))
            )

    # Following.

    def _heed(self, now, sender):
        self.leader, self.heard = sender, now
        self._rest(now)

    def _take(self, now, event):
        sender, message = event
        self._heed(now, sender)
        hint = self.log.conflict(message.previous, message.previous_term)
        if hint is not None:
            self._hold(
                now, Send(sender, Appended(self.term, self.life, False, hint, message.round))
            )
            return None
        fresh = []
        for entry in message.entries:
            mine = self.log.term(entry.index)
            if entry.index <= self.log.base or mine == entry.term:
                continue
            if mine is not None:
                self._cut(entry.index)
                fresh.append(Cut(entry.index))
            self.log.append(entry)
            fresh.append(entry)
        if fresh:
            self._persist(*fresh)
        match = message.previous + len(message.entries)
        self._commit_to(min(message.committed, match))
        self._hold(now, Send(sender, Appended(self.term, self.life, True, match, message.round)))
        return self._listed() if fresh else None

    def _cut(self, index):
        self.log.cut(index)
        self.safe = min(self.safe, index - 1)
        self.marks = deque((serial, min(last, index - 1)) for serial, last in self.marks)

    def _listed(self):
        return ("listed", None) if self._votes() else ("unlisted", None)

    def _gather(self, now, event):
        sender, part = event
        self._heed(now, sender)
        if self.committed >= part.index or self.log.term(part.index) == part.entry_term:
            self._commit_to(part.index)
            self._imaged(now, sender, part, part.total, True)
            return None
        key = sender, part.term, part.index, part.total
        if self.gathered is None or self.gathered[0] != key:
            self.gathered = key, bytearray()
        content = self.gathered[1]
        if part.offset == len(content) and len(content) + len(part.part) <= min(
            part.total, self.terms.image_bytes
        ):
            content += part.part
        done = len(content) == part.total
        if done:
            self.gathered = None
            snapshot = Snapshot(
                part.index, part.entry_term, part.at, part.members, bytes(content), True
            )
            self.log.reset(snapshot)
            self.sessions.load(snapshot.content)
            self.committed = self.applied = self.safe = part.index
            self.marks.clear()
            self._persist(snapshot)
        self._imaged(now, sender, part, len(content), done)
        return self._listed() if done else None

    def _imaged(self, now, sender, part, upto, done):
        self._hold(
            now, Send(sender, Imaged(self.term, self.life, part.index, upto, done, part.round))
        )

    # Leading.

    def _lead(self, now, _):
        self._idle()
        self.leader = self.name
        self.began, self.began_at = now, self.log.last_at
        self._meet(now)
        self.leases = self.terms.leased_reads
        self.own = self.log.last + 1  # nothing before it was agreed can be told from what was not
        self._append(now, "", 0, 0, {"part": KEEPERS, "do": "nothing"})
        self._start_round(now)

    def _meet(self, now):
        """The peers that the members' list names."""
        voters, learners = self.log.members
        names = {**learners, **voters}
        names.pop(self.name, None)
        self.peers = {
            name: self.peers.get(name) or Peer(life, self.log.last + 1, now)
            for name, life in names.items()
        }

    def _agreed_time(self, now):
        """Never back, and no faster than this leader's clock since it began to lead."""
        return max(self.log.last_at, self.began_at + now - self.began)

    def _append(self, now, origin, incarnation, number, command):
        entry = Entry(
            self.log.last + 1,
            self.term,
            self._agreed_time(now),
            origin,
            incarnation,
            number,
            command,
        )
        self.log.append(entry)
        self._persist(entry)
        if named_members(entry):
            self._meet(now)
        for name in self.peers:
            self._feed(now, name, False)
        return entry.index

    def _feed(self, now, name, beat):
        """Sends what the peer lacks, if nothing is out to it; a beat goes out in any case."""
        peer = self.peers[name]
        idle = now >= peer.busy
        previous = peer.next - 1
        term = self.log.term(previous)
        if peer.image or term is None:
            if idle or beat:
                self._send_image(now, name, peer)
            return
        entries = ()
        if idle and peer.next <= self.log.last:
            entries = self.log.some(peer.next, self.terms.batch, self.terms.batch_bytes)
            peer.busy = now + self.terms.heartbeat
        if entries or beat:
            self.out.append(
                Send(
                    name,
                    Append(
                        self.term, self.life, previous, term, entries, self.committed, self.round
                    ),
                )
            )

    def _send_image(self, now, name, peer):
        # The one that was begun is gone on with, though there may be a later one: else a slow peer never ends.
        snapshot, offset = peer.image or (self.log.snapshot, 0)
        peer.image, peer.busy = (snapshot, offset), now + self.terms.heartbeat
        self.out.append(
            Send(
                name,
                Image(
                    self.term,
                    self.life,
                    snapshot.index,
                    snapshot.term,
                    snapshot.at,
                    snapshot.members,
                    offset,
                    len(snapshot.content),
                    snapshot.content[offset : offset + self.terms.chunk],
                    self.round,
                ),
            )
        )

    def _beat(self, now, _):
        """Check of the quorum, a round of heartbeats, and what is overdue with them."""
        self.due = now + self.terms.heartbeat
        least = self.terms.election.least
        if not self._majority(
            lambda name, life: (
                self._answers(name, life)
                and (name == self.name or now - self.peers[name].heard < least)
            )
        ):
            return "unheard", "no word of a majority for an election's time"
        if self.handing and now >= self.handing[2]:
            self.out.append(
                Refused(
                    self.handing[0], "it did not catch up in time", self.terms.heartbeat, self.name
                )
            )
            self.handing = None
        self._start_round(now)
        return None

    def _answers(self, name, life):
        """Whether a voter of the list is there under the life that the list names."""
        return life == self.life if name == self.name else self.peers[name].life == life

    def _start_round(self, now):
        """One round at a time: a later one begins when a majority answered. A repeated one keeps its beginning."""
        if self.confirmed == self.round:
            self.round, self.round_at = self.round + 1, now
            self.reads = [
                (token, index, self.round if at is None else at) for token, index, at in self.reads
            ]
        self.due = now + self.terms.heartbeat
        for name in self.peers:
            self._feed(now, name, True)
        self._confirm(now)

    def _confirm(self, now):
        while self.role == LEADER and self.confirmed < self.round and self._round_heard():
            self.confirmed = self.round
            self.lease_until = self.round_at + self._span()
            if any(at is None for _, _, at in self.reads):
                self._start_round(now)
        self._serve()

    def _round_heard(self):
        return self._majority(
            lambda name, life: (
                self._answers(name, life)
                and (name == self.name or self.peers[name].round >= self.round)
            )
        )

    def _spoke(self, now, sender, message):
        """The peer, if it is one, with what any answer of this term tells."""
        peer = self.peers.get(sender)
        if peer is None:
            return None
        if peer.life != message.life:  # another disk: what the former one held is gone
            peer.life, peer.match, peer.next, peer.round, peer.image = (
                message.life,
                0,
                self.log.last + 1,
                0,
                None,
            )
        peer.heard, peer.round = now, max(peer.round, message.round)
        return peer

    def _follow_up(self, now, event):
        sender, message = event
        peer = self._spoke(now, sender, message)
        if peer is None:
            return None
        if not message.ok or message.match >= peer.next:
            peer.busy = 0  # not at a mere beat's answer: what is out would be sent twice
        if message.ok:
            peer.match = max(peer.match, min(message.match, self.log.last))
            peer.next = max(peer.next, peer.match + 1) if peer.image else peer.match + 1
        else:
            peer.next = max(peer.match + 1, min(message.match, peer.next - 1, self.log.last + 1), 1)
        return self._go_on(now, sender, peer)

    def _follow_image(self, now, event):
        sender, message = event
        peer = self._spoke(now, sender, message)
        if peer is None or not peer.image or peer.image[0].index != message.index:
            return None
        peer.busy = 0
        if message.done:
            peer.match, peer.image = max(peer.match, message.index), None
            peer.next = peer.match + 1
        else:
            peer.image = peer.image[0], message.upto
        return self._go_on(now, sender, peer)

    def _go_on(self, now, sender, peer):
        self._commit(now)
        if self.role == LEADER and sender in self.peers:
            self._confirm(now)
            self._hand_over(now)
            if peer.next <= self.log.last or peer.image:
                self._feed(now, sender, False)

    def _commit(self, now):
        """The last entry that a majority holds on its disks; of the own term, for an earlier term's may still be
        replaced though it is counted (Raft, 5.4.2)."""
        if self.role != LEADER:
            return
        voters = self.log.members.voters
        held = sorted(
            (
                0
                if not self._answers(name, life)
                else self.safe
                if name == self.name
                else self.peers[name].match
                for name, life in voters.items()
            ),
            reverse=True,
        )
        index = held[len(voters) // 2]
        if index > self.committed and self._countable(index):
            self._commit_to(index)

    def _countable(self, index):
        return self.log.term(index) == self.term

    def _commit_to(self, index):
        self.committed = max(self.committed, min(index, self.log.last))

    # Commands and reads.

    def _send_on(self, now, event):
        if self.role == STOPPED:
            self.out.append(Refused(event.token, "this keeper's disk failed", None, None))
        else:
            again = 0 if self.leader else self.terms.election.most
            self.out.append(Refused(event.token, "does not lead", again, self.leader))

    def _refuse(self, token, reason, again):
        self.out.append(Refused(token, reason, again, self.name))

    def _propose(self, now, event):
        token, origin, incarnation, number, command = event
        terms = self.terms
        known = self.sessions.known(origin, incarnation, number)
        if known is not None:  # agreed before: its reply can't change any more
            self.out.append(Answered(token, known))
            return None
        try:
            size = len(msgspec.msgpack.encode(command))
        except (TypeError, ValueError, OverflowError, RecursionError) as wrong:
            return self._refuse(token, f"can't be written: {wrong}", None)
        if size > terms.command_bytes or not origin:
            return self._refuse(
                token, "larger than a command may be" if origin else "has no origin", None
            )
        if len(self.waiting) >= terms.most_waiting or self.bytes + size > terms.most_bytes:
            # What waits takes a round, or as many as its messages need.
            rounds = 1 + len(self.waiting) // terms.batch
            return self._refuse(token, "too many commands wait", rounds * terms.heartbeat)
        if self.handing:
            return self._refuse(token, "leadership is being handed over", terms.heartbeat)
        if command.get("part") == KEEPERS:
            command = self._changed(now, token, command)
            if command is None:
                return None
        index = self._append(now, origin, incarnation, number, command)
        self.waiting[index] = Waiting(token, size)
        self.bytes += size
        self._commit(now)
        return None

    def _alone(self):
        """One change of members at a time, and none before an entry of this term is agreed and applied."""
        return (
            self.log.changes[-1][0] <= self.applied and self.applied == self.committed >= self.own
        )

    def _changed(self, now, token, command):
        """The entry's command for a change of members, or None with the reason told. Pure checks: an operator's slip
        is turned away before it stands in a log."""
        do, name, life = command.get("do"), command.get("name"), command.get("life", 0)
        voters, learners = (dict(side) for side in self.log.members)
        if not isinstance(name, str) or not isinstance(life, int):
            return self._refuse(token, "no name, or a life that is no number", None)
        if not self._alone():
            return self._refuse(
                token, "another change of members is under way", self.terms.heartbeat
            )
        if do == "add":
            if voters.get(name) == life:
                return self._refuse(token, "it is a voter under this life", None)
            voters.pop(name, None)
            learners[name] = life
        elif do == "promote":
            peer = self.peers.get(name)
            if name not in learners or peer is None:
                return self._refuse(token, "it is no learner", None)
            if not self._ready(now, peer, learners[name]):
                return self._refuse(
                    token, "it lags, or is not there under this life", self.terms.heartbeat
                )
            voters[name] = learners.pop(name)
        elif do == "remove":
            if name not in voters and name not in learners:
                return self._refuse(token, "it is no member", None)
            voters.pop(name, None)
            learners.pop(name, None)
        elif do == "transfer":
            if name not in voters or name == self.name:
                return self._refuse(token, "it is no other voter", None)
            self.handing = token, name, now + self.terms.election.least
            self._hand_over(now)
            return None
        else:
            return self._refuse(token, "keepers know no such command", None)
        if not voters:
            return self._refuse(token, "nobody would be left to vote", None)
        return {"part": KEEPERS, "voters": voters, "learners": learners}

    def _ready(self, now, peer, life):
        return (
            peer.life == life
            and now - peer.heard < self.terms.election.least
            and peer.match + self.terms.caught_up >= self.committed
            and peer.match > 0
        )

    def _hand_over(self, now):
        if self.handing and self.peers[self.handing[1]].match == self.log.last:
            token, name, _ = self.handing
            # The word may arrive late, and what it brings about asks nobody's lease: none is relied on in this term.
            self.leases, self.handing = False, None
            self.out.append(Send(name, Hurry(self.term, self.life)))
            self.out.append(Answered(token, {"ok": True, "told": name}))

    def _read(self, now, event):
        if len(self.reads) >= self.terms.most_waiting:
            return self._refuse(event.token, "too many reads wait", self.terms.heartbeat)
        index = max(self.committed, self.own)
        if self._leased(now):
            self.reads.append((event.token, index, 0))
            self._serve()
            return None
        self.reads.append((event.token, index, None))
        if self.confirmed == self.round:  # else it joins the next one
            self._start_round(now)
        return None

    def _leased(self, now):
        return self.leases and now < self.lease_until

    def _serve(self):
        if not self.reads:
            return
        later = []
        for read in self.reads:
            token, index, at = read
            if at is not None and at <= self.confirmed and index <= self.applied:
                self.out.append(ReadReady(token, self.applied))
            else:
                later.append(read)
        self.reads = later

    # What is agreed.

    def _apply(self, now):
        if self.role == STOPPED:
            return
        while self.applied < self.committed:
            entry = self.log.entry(self.applied + 1)
            self.applied += 1
            reply = self._applied_one(entry)
            self.out.append(Applied(entry.index, entry.at, entry.command, reply))
            waiting = self.waiting.pop(entry.index, None)
            if waiting:
                self.bytes -= waiting.size
                self.out.append(Answered(waiting.token, reply))
        if self.role == LEADER:
            self._serve()
            if not self._votes() and self.log.changes[-1][0] <= self.applied:
                self._step(now, "left", "is a voter no longer")
        if self.applied - self.log.snapshot.index >= self.terms.snapshot_after:
            last = self.log.entry(self.applied)
            snapshot = Snapshot(
                last.index,
                last.term,
                last.at,
                self.log.members_at(last.index),
                self.sessions.image(),
            )
            self.log.compact(snapshot, self.terms.keep)
            self._persist(snapshot)

    def _applied_one(self, entry):
        if not entry.origin:
            return None
        members = named_members(entry)
        if members:
            return self.sessions.apply(
                entry.at,
                entry.origin,
                entry.incarnation,
                entry.number,
                lambda at: {"ok": True, "voters": members.voters, "learners": members.learners},
            )
        if entry.command.get("part") == KEEPERS:
            return refused("keepers know no such command")
        return self.sessions.apply(
            entry.at,
            entry.origin,
            entry.incarnation,
            entry.number,
            lambda at: self.machine.apply(at, entry.command),
        )


__all__ = ["RaftNode", "Members", "STEPS"]
