"""The follower's side of replication: appends the leader's entries (Raft, 5.3)."""

from ..interface.clock import Ticks
from .messages import AppendRequest, AppendResponse, Message, VoteRequest, VoteResponse
from .node_interface import MessageReceived, Send
from .node_state import NodeState
from .records import Entry, Record, TruncationRecord
from .roles import Step


class Follower:
    """Handles the AppendEntries requests of the leader, and requests of stale terms."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    def append_entries(self, now: Ticks, event: MessageReceived[AppendRequest]) -> Step | None:
        """Appends the entries of a request if the log matches at `previous_index`."""
        sender, request = event
        state = self.state
        state.heard_leader(now, sender)
        next_index = state.log.conflict_index(request.previous_index, request.previous_term)
        if next_index is not None:
            self._respond(now, sender, False, next_index, request.round)
            return None
        records: list[Record] = []
        for entry in request.entries:
            records += self._append(entry)
        if records:
            state.outbox.persist(*records)
        match_index = request.previous_index + len(request.entries)
        state.commit_to(min(request.commit_index, match_index))
        self._respond(now, sender, True, match_index, request.round)
        return state.membership_step() if records else None

    def _append(self, entry: Entry) -> list[Record]:
        """Appends one entry, truncating conflicting ones; returns the records to persist."""
        log = self.state.log
        own_term = log.term(entry.log_index)
        if entry.log_index <= log.base_index or own_term == entry.term:
            return []
        records: list[Record] = []
        if own_term is not None:
            log.truncate(entry.log_index)
            self.state.outbox.log_truncated(entry.log_index)
            records.append(TruncationRecord(entry.log_index))
        log.append(entry)
        records.append(entry)
        return records

    def reject_stale(self, now: Ticks, event: MessageReceived[Message]) -> None:
        """Rejects a request with an earlier term, so that the sender learns the current one."""
        sender, request = event
        state = self.state
        if isinstance(request, VoteRequest):
            response = VoteResponse(state.term, state.disk_incarnation, request.pre_vote, False)
            state.outbox.emit_after_sync(now, Send(sender, response))
        else:
            self._respond(now, sender, False, state.log.last_index + 1, 0)

    def _respond(
        self, now: Ticks, leader: str, success: bool, match_index: int, heartbeat_round: int
    ) -> None:
        state = self.state
        response = AppendResponse(
            state.term, state.disk_incarnation, success, match_index, heartbeat_round
        )
        state.outbox.emit_after_sync(now, Send(leader, response))
