"""Nodes that are wrong in one thing each: a model checker that doesn't find them finds nothing."""

from collections.abc import Callable
from dataclasses import dataclass

from ..interface.clock import Ticks
from .client_sessions import ClientSessions
from .cluster_faults import Fault
from .elections import Elections
from .follower import Follower
from .membership import Membership
from .messages import AppendRequest, VoteRequest
from .node import RaftNode
from .node_interface import Effect, Event, MessageReceived, Send, TimerDue
from .outbox import Outbox, SelfVote
from .reads import Reads
from .records import Record, VoteRecord
from .replication import Replication
from .roles import Role, Step
from .state_machine import Reply


class _UnsyncedOutbox(Outbox):
    def persist(self, *records: Record) -> None:
        super().persist(*records)
        self.durable_index = self._log.last_index

    def emit_after_sync(self, now: Ticks, item: Send | SelfVote) -> None:
        self.emit_now(now, item)


class Unsynced(RaftNode):
    """Answers before it wrote."""

    outbox_class = _UnsyncedOutbox


class _EarlierTermReplication(Replication):
    def may_commit(self, index: int) -> bool:
        return True


class CommitsEarlierTerms(RaftNode):
    """Commits an earlier term's entries once a majority holds them."""

    replication_class = _EarlierTermReplication


class _ForgetfulSessions(ClientSessions):
    def known_reply(self, origin: str, incarnation: int, number: int) -> Reply | None:
        return None


class AppliesTwice(RaftNode):
    """Applies a repeated number again."""

    sessions_class = _ForgetfulSessions


class _UnconfirmedReads(Reads):
    def holds_lease(self, now: Ticks) -> bool:
        return True


class ReadsUnconfirmed(RaftNode):
    """Serves reads without having asked whether it leads still."""

    reads_class = _UnconfirmedReads


class _TimerReads(Reads):
    checked_at: Ticks = 0

    def holds_lease(self, now: Ticks) -> bool:
        return self.lease_reads and self.checked_at < self.lease_until


class IgnoresStandstill(RaftNode):
    """Its lease lasts while it stands still, since it looks at its clock with its timer only."""

    reads_class = _TimerReads
    reads: _TimerReads

    def handle(self, now: Ticks, event: Event) -> list[Effect]:
        """Takes an event."""
        if isinstance(event, TimerDue):
            self.reads.checked_at = now
        self.last_handled_at = now
        return super().handle(now, event)


class _UncheckedMembership(Membership):
    def may_change(self) -> bool:
        return True


class OverlapsChanges(RaftNode):
    """Takes a change of members before the one before is committed."""

    membership_class = _UncheckedMembership


class _OwnClockReplication(Replication):
    def agreed_time(self, now: Ticks) -> Ticks:
        return now


class TurnsTimeBack(RaftNode):
    """Stamps entries by its own clock, whatever earlier leaders stamped."""

    replication_class = _OwnClockReplication


class _UncheckedElections(Elections):
    def answer_vote_request(self, now: Ticks, event: MessageReceived[VoteRequest]) -> None:
        last_term = self.state.log.last_term + 1
        request = event.message._replace(last_term=last_term)
        super().answer_vote_request(now, MessageReceived(event.sender, request))


class VotesForOlderLogs(RaftNode):
    """Votes for a log that is older than its own."""

    elections_class = _UncheckedElections


class _LearnerReplication(Replication):
    def advance_commit(self) -> None:
        state = self.state
        if state.role != Role.LEADER:
            return
        held = [state.outbox.durable_index, *(peer.match_index for peer in self.peers.values())]
        held.sort(reverse=True)
        index = held[len(state.log.members.voters) // 2]
        if index > state.commit_index and self.may_commit(index):
            state.commit_to(index)


class CountsLearners(RaftNode):
    """A learner's acknowledgement counts as a voter's."""

    replication_class = _LearnerReplication


class _UncheckedFollower(Follower):
    def append_entries(self, now: Ticks, event: MessageReceived[AppendRequest]) -> Step | None:
        sender, request = event
        term = self.state.log.term(request.previous_index)
        if term is not None:
            request = request._replace(previous_term=term)
        return super().append_entries(now, MessageReceived(sender, request))


class OverwritesUnchecked(RaftNode):
    """Takes a leader's entries without a look at what is before them."""

    follower_class = _UncheckedFollower


def _without_votes(records: list[Record]) -> list[Record]:
    return [record for record in records if not isinstance(record, VoteRecord)]


def _unchanged(records: list[Record]) -> list[Record]:
    return records


@dataclass(frozen=True)
class Variant:
    """A cluster of nodes that may be wrong in one thing.

    Attributes:
        node_class: of all nodes.
        records_after_crash: what a disk holds after a crash.
        keeps_disk_incarnation: a founder whose disk was lost comes back as if it were the old one.
    """

    node_class: type[RaftNode] = RaftNode
    records_after_crash: Callable[[list[Record]], list[Record]] = _unchanged
    keeps_disk_incarnation: bool = False


CORRECT = Variant()

BROKEN = {
    "answers before it wrote": Variant(Unsynced),
    "forgets its vote": Variant(records_after_crash=_without_votes),
    "counts an earlier term's": Variant(CommitsEarlierTerms),
    "applies twice": Variant(AppliesTwice),
    "reads alone": Variant(ReadsUnconfirmed),
    "stood still": Variant(IgnoresStandstill),
    "many changes": Variant(OverlapsChanges),
    "lost disk votes": Variant(keeps_disk_incarnation=True),
    "time goes back": Variant(TurnsTimeBack),
    "votes for an older log": Variant(VotesForOlderLogs),
    "learners count": Variant(CountsLearners),
    "takes without a look": Variant(OverwritesUnchecked),
}

FOCUS = {
    "answers before it wrote": (Fault.POWER_LOST,),
    "counts an earlier term's": (Fault.ELECTIONS_STRUCK,),
    "reads alone": (Fault.TRANSFER_AND_PARTITION,),
    "stood still": (Fault.STALL,),
    "many changes": (Fault.CONCURRENT_CHANGES,),
    "learners count": (Fault.CHANGE, Fault.LEADER_HALF_HEARD, Fault.CRASH_LOSING_TAIL),
    "lost disk votes": (Fault.LOSE_DISK, Fault.CHANGE),
    "forgets its vote": (Fault.ELECTIONS_STRUCK,),
}
"""Under which faults a variant shows soon; the others do so under any mix."""
