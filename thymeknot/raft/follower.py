"""A follower's side of replication: entries are taken from the leader (Raft, 5.3)."""

from ..interface.clock import Ticks
from .messages import AppendRequest, AppendResponse, Message, VoteRequest, VoteResponse
from .node_interface import MessageReceived, Send
from .node_state import NodeState
from .records import Entry, Record, TruncationRecord
from .roles import Step


class Follower:
    """Takes what a leader sends."""

    def __init__(self, state: NodeState) -> None:
        self.state = state

    def append_entries(self, now: Ticks, event: MessageReceived[AppendRequest]) -> Step | None:
        """Appends entries after the previous one, if the log holds that."""
        sender, request = event
        state = self.state
        state.heard_leader(now, sender)
        next_index = state.log.conflict(request.previous_index, request.previous_term)
        if next_index is not None:
            self._respond(now, sender, False, next_index, request.round)
            return None
        records: list[Record] = []
        for entry in request.entries:
            records += self._append(entry)
        if records:
            state.outbox.persist(*records)
        match_index = request.previous_index + len(request.entries)
        state.commit_to(min(request.committed, match_index))
        self._respond(now, sender, True, match_index, request.round)
        return state.membership_step() if records else None

    def _append(self, entry: Entry) -> list[Record]:
        """Appends one entry, in place of another term's; gives the records of it."""
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
        """Tells a sender of an earlier term of this one, so that it doesn't wait in vain."""
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
