"""Snapshots: taken of the applied state, or received from a leader in chunks (Raft, 7)."""

from typing import NamedTuple

from ..interface.clock import Ticks
from .client_sessions import ClientSessions
from .messages import SnapshotChunk, SnapshotChunkResponse
from .node_interface import MessageReceived, Send
from .node_state import NodeState
from .records import Snapshot
from .roles import Step


class _TransferKey(NamedTuple):
    """Identifies a transfer: the chunks of one snapshot from one leader have the same key."""

    sender: str
    term: int
    log_index: int
    total: int


class _Transfer(NamedTuple):
    """A snapshot that is being received and its content so far."""

    key: _TransferKey
    content: bytearray


class Snapshots:
    """Takes and installs the snapshots of one node."""

    def __init__(self, state: NodeState, sessions: ClientSessions) -> None:
        self._state = state
        self._sessions = sessions
        self._transfer: _Transfer | None = None

    def take_if_due(self) -> None:
        """Takes a snapshot if `snapshot_threshold` entries were applied since the last one."""
        state = self._state
        log = state.log
        if state.last_applied - log.snapshot.log_index < state.settings.snapshot_threshold:
            return
        last_entry = log.entry(state.last_applied)
        members = log.members_at(last_entry.log_index)
        snapshot = Snapshot(
            last_entry.log_index, last_entry.term, last_entry.at, members, self._sessions.image()
        )
        log.compact(snapshot, state.settings.retained_entries)
        state.outbox.persist(snapshot)

    def receive_chunk(self, now: Ticks, event: MessageReceived[SnapshotChunk]) -> Step | None:
        """Handles a chunk from the leader; installs the snapshot once it is complete."""
        sender, chunk = event
        state = self._state
        state.heard_leader(now, sender)
        already_held = state.log.term(chunk.log_index) == chunk.entry_term
        if state.commit_index >= chunk.log_index or already_held:
            state.commit_to(chunk.log_index)
            self._respond(now, sender, chunk, received=chunk.total, done=True)
            return None
        content = self._add_chunk(sender, chunk)
        done = len(content) == chunk.total
        if done:
            self._transfer = None
            self._install(chunk, bytes(content))
        self._respond(now, sender, chunk, received=len(content), done=done)
        return state.membership_step() if done else None

    def abort_transfer(self) -> None:
        """Discards an incomplete transfer."""
        self._transfer = None

    def _add_chunk(self, sender: str, chunk: SnapshotChunk) -> bytearray:
        """Appends a chunk if it is the next one; returns the content received so far."""
        key = _TransferKey(sender, chunk.term, chunk.log_index, chunk.total)
        if self._transfer is None or self._transfer.key != key:
            self._transfer = _Transfer(key, bytearray())
        content = self._transfer.content
        limit = min(chunk.total, self._state.settings.max_snapshot_bytes)
        if chunk.offset == len(content) and len(content) + len(chunk.content) <= limit:
            content += chunk.content
        return content

    def _install(self, chunk: SnapshotChunk, content: bytes) -> None:
        state = self._state
        snapshot = Snapshot(
            chunk.log_index, chunk.entry_term, chunk.at, chunk.members, content, replaces_log=True
        )
        state.log.reset(snapshot)
        self._sessions.load(snapshot.content)
        state.commit_index = chunk.log_index
        state.last_applied = chunk.log_index
        state.outbox.log_replaced(chunk.log_index)
        state.outbox.persist(snapshot)

    def _respond(
        self, now: Ticks, leader: str, chunk: SnapshotChunk, *, received: int, done: bool
    ) -> None:
        state = self._state
        response = SnapshotChunkResponse(
            state.term, state.disk_incarnation, chunk.log_index, received, done, chunk.round
        )
        state.outbox.emit_after_sync(now, Send(leader, response))
