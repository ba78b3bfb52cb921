"""Variants of the node that each violate one rule of Raft.

They test the model checker: it must find a counterexample for each of them, or its passing runs
prove nothing.
"""

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


class RespondsBeforeSync(RaftNode):
    """Responds before its records are durable."""

    outbox_class = _UnsyncedOutbox


class _EarlierTermReplication(Replication):
    def may_commit(self, index: int) -> bool:
        return True


class CommitsEarlierTerms(RaftNode):
    """Commits entries of earlier terms by counting replicas, against 5.4.2 of the Raft paper."""

    replication_class = _EarlierTermReplication


class _ForgetfulSessions(ClientSessions):
    def known_reply(self, origin: str, incarnation: int, number: int) -> Reply | None:
        return None


class AppliesTwice(RaftNode):
    """Applies a command again when its sequence number is repeated."""

    sessions_class = _ForgetfulSessions


class _UnconfirmedReads(Reads):
    def holds_lease(self, now: Ticks) -> bool:
        return True


class ReadsWithoutQuorum(RaftNode):
    """Serves reads without confirming its leadership with a quorum."""

    reads_class = _UnconfirmedReads


class _TimerReads(Reads):
    checked_at: Ticks = 0

    def holds_lease(self, now: Ticks) -> bool:
        return self.lease_reads and self.checked_at < self.lease_until


class IgnoresStalls(RaftNode):
    """Checks its lease against the time of its last timer only, so that a stall extends it."""

    reads_class = _TimerReads
    reads: _TimerReads

    def handle(self, now: Ticks, event: Event) -> list[Effect]:
        """Handles an event, records the time of timers and hides stalls from the node."""
        if isinstance(event, TimerDue):
            self.reads.checked_at = now
        self.last_handled_at = now
        return super().handle(now, event)


class _UncheckedMembership(Membership):
    def may_change(self) -> bool:
        return True


class AllowsConcurrentChanges(RaftNode):
    """Accepts a membership change before the previous one is committed."""

    membership_class = _UncheckedMembership


class _OwnClockReplication(Replication):
    def agreed_time(self, now: Ticks) -> Ticks:
        return now


class StampsLocalTime(RaftNode):
    """Stamps entries with its own clock, even if earlier entries have a later time."""

    replication_class = _OwnClockReplication


class _UncheckedElections(Elections):
    def answer_vote_request(self, now: Ticks, event: MessageReceived[VoteRequest]) -> None:
        last_term = self.state.log.last_term + 1
        request = event.message._replace(last_term=last_term)
        super().answer_vote_request(now, MessageReceived(event.sender, request))


class VotesForOlderLogs(RaftNode):
    """Grants its vote to a candidate whose log is less up-to-date than its own."""

    elections_class = _UncheckedElections


class _LearnerReplication(Replication):
    def advance_commit(self) -> None:
        state = self.state
        if state.role != Role.LEADER:
            return
        match_indices = [
            state.outbox.durable_index,
            *(peer.match_index for peer in self.peers.values()),
        ]
        match_indices.sort(reverse=True)
        index = match_indices[len(state.log.members.voters) // 2]
        if index > state.commit_index and self.may_commit(index):
            state.commit_to(index)


class CountsLearners(RaftNode):
    """Counts acknowledgements of learners towards the quorum."""

    replication_class = _LearnerReplication


class _UncheckedFollower(Follower):
    def append_entries(self, now: Ticks, event: MessageReceived[AppendRequest]) -> Step | None:
        sender, request = event
        term = self.state.log.term(request.previous_index)
        if term is not None:
            request = request._replace(previous_term=term)
        return super().append_entries(now, MessageReceived(sender, request))


class SkipsLogMatching(RaftNode):
    """Appends a leader's entries without checking that the preceding entry matches."""

    follower_class = _UncheckedFollower


def _records_without_votes(records: list[Record]) -> list[Record]:
    return [record for record in records if not isinstance(record, VoteRecord)]


def _all_records(records: list[Record]) -> list[Record]:
    return records


@dataclass(frozen=True)
class Variant:
    """A variant of the nodes of a cluster, which may violate one rule.

    Attributes:
        node_class: Class of all nodes.
        records_after_crash: Returns the records that a disk holds after a crash, given those that
            it held before.
        keeps_disk_incarnation: Whether a founder that lost its disk rejoins under its former disk
            incarnation.
    """

    node_class: type[RaftNode] = RaftNode
    records_after_crash: Callable[[list[Record]], list[Record]] = _all_records
    keeps_disk_incarnation: bool = False


CORRECT_VARIANT = Variant()

BROKEN_VARIANTS = {
    "responds before sync": Variant(RespondsBeforeSync),
    "forgets votes in a crash": Variant(records_after_crash=_records_without_votes),
    "commits earlier terms": Variant(CommitsEarlierTerms),
    "applies commands twice": Variant(AppliesTwice),
    "reads without a quorum": Variant(ReadsWithoutQuorum),
    "ignores stalls": Variant(IgnoresStalls),
    "allows concurrent membership changes": Variant(AllowsConcurrentChanges),
    "votes after losing its disk": Variant(keeps_disk_incarnation=True),
    "agreed time decreases": Variant(StampsLocalTime),
    "votes for older logs": Variant(VotesForOlderLogs),
    "counts learners": Variant(CountsLearners),
    "skips the log matching check": Variant(SkipsLogMatching),
}

REVEALING_FAULTS = {
    "responds before sync": (Fault.POWER_FAILURE,),
    "commits earlier terms": (Fault.ELECTION_DISRUPTION,),
    "reads without a quorum": (Fault.TRANSFER_AND_ISOLATE_LEADER,),
    "ignores stalls": (Fault.STALL,),
    "allows concurrent membership changes": (Fault.CONCURRENT_MEMBERSHIP_CHANGES,),
    "counts learners": (Fault.MEMBERSHIP_CHANGE, Fault.LEADER_REACHES_ONE, Fault.CRASH_LOSING_TAIL),
    "votes after losing its disk": (Fault.LOSE_DISK, Fault.MEMBERSHIP_CHANGE),
    "forgets votes in a crash": (Fault.ELECTION_DISRUPTION,),
}
"""Faults that reveal a variant quickly; variants not listed are found under any mix."""
