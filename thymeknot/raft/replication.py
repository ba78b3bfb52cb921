"""A leader's side of replication: entries and snapshots are sent, and committed by a majority.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), 5.3
and 5.4.2; Ongaro's thesis (2014), 6.2 (check of the quorum), 10.2.1 (a leader sends while its disk
still writes).
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..interface.clock import Ticks
from .log import members_set_by
from .messages import AppendRequest, AppendResponse, SnapshotChunk, SnapshotChunkResponse
from .node_interface import MessageReceived, Send
from .node_state import NodeState
from .records import Entry, Snapshot
from .roles import Role


class SnapshotProgress(NamedTuple):
    """A snapshot on its way to a peer, which holds `offset` bytes of it."""

    snapshot: Snapshot
    offset: int


class Peer:
    """Another node as a leader sees it.

    Attributes:
        disk_incarnation: the one under which it spoke last.
        next_index: the entry to send next.
        match_index: the logs are the same up to there.
        heard_at: when it answered last.
        round: the last round of heartbeats that it answered.
        busy_until: what was sent is thought to be on its way until then.
        snapshot: what is sent in place of entries, if anything.
    """

    __slots__ = (
        "busy_until",
        "disk_incarnation",
        "heard_at",
        "match_index",
        "next_index",
        "round",
        "snapshot",
    )

    def __init__(self, disk_incarnation: int, next_index: int, now: Ticks) -> None:
        self.disk_incarnation = disk_incarnation
        self.next_index = next_index
        self.match_index = 0
        self.heard_at = now
        self.round = 0
        self.busy_until: Ticks = 0
        self.snapshot: SnapshotProgress | None = None

    def forget(self, disk_incarnation: int, next_index: int) -> None:
        """It has another disk: what the former one held is gone."""
        self.disk_incarnation = disk_incarnation
        self.match_index = 0
        self.next_index = next_index
        self.round = 0
        self.snapshot = None


class Replication:
    """The peers of a leader, and what they hold. Empty while this node doesn't lead."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self._began_at: Ticks = 0  # when this node began to lead, by its own clock
        self._began_agreed: Ticks = 0  # the agreed time then
        self.reset()

    def reset(self) -> None:
        """This node doesn't lead."""
        self.peers: dict[str, Peer] = {}
        self.round = 0  # of heartbeats: the number of the latest one
        self.first_own_index = 0  # of the first entry that this leader appended

    def begin(self, now: Ticks) -> None:
        """This node begins to lead."""
        log = self.state.log
        self._began_at = now
        self._began_agreed = log.last_at
        self._update_peers(now)
        self.first_own_index = log.last_index + 1

    def _update_peers(self, now: Ticks) -> None:
        """The peers are those that the members' list names."""
        log = self.state.log
        names = {**log.members.learners, **log.members.voters}
        names.pop(self.state.name, None)
        self.peers = {
            name: self.peers.get(name) or Peer(disk_incarnation, log.last_index + 1, now)
            for name, disk_incarnation in names.items()
        }

    def agreed_time(self, now: Ticks) -> Ticks:
        """The next entry's: never back, and no faster than this leader's clock."""
        return max(self.state.log.last_at, self._began_agreed + now - self._began_at)

    def append(
        self, now: Ticks, command: dict[str, Any], origin: str, incarnation: int, number: int
    ) -> int:
        """Appends an entry and sends it; gives its index."""
        state = self.state
        entry = Entry(
            log_index=state.log.last_index + 1,
            term=state.term,
            at=self.agreed_time(now),
            origin=origin,
            incarnation=incarnation,
            number=number,
            command=command,
        )
        state.log.append(entry)
        state.outbox.persist(entry)
        if members_set_by(entry):
            self._update_peers(now)
        for name in self.peers:
            self.send_entries(now, name)
        return entry.log_index

    # Sending.

    def send_heartbeats(self, now: Ticks) -> None:
        """Sends to each peer, be it an empty request."""
        for name in self.peers:
            self.send_entries(now, name, heartbeat=True)

    def send_entries(self, now: Ticks, name: str, heartbeat: bool = False) -> None:
        """Sends what the peer lacks if nothing is on its way to it; a heartbeat in any case."""
        state = self.state
        peer = self.peers[name]
        idle = now >= peer.busy_until
        previous_index = peer.next_index - 1
        previous_term = state.log.term(previous_index)
        if peer.snapshot or previous_term is None:
            if idle or heartbeat:
                self._send_snapshot_chunk(now, name, peer)
            return
        entries: tuple[Entry, ...] = ()
        if idle and peer.next_index <= state.log.last_index:
            settings = state.settings
            entries = state.log.entries_from(
                peer.next_index, settings.max_batch_entries, settings.max_batch_bytes
            )
            peer.busy_until = now + settings.heartbeat_interval
        if entries or heartbeat:
            request = AppendRequest(
                term=state.term,
                disk_incarnation=state.disk_incarnation,
                previous_index=previous_index,
                previous_term=previous_term,
                entries=entries,
                committed=state.committed,
                round=self.round,
            )
            state.outbox.emit(Send(name, request))

    def _send_snapshot_chunk(self, now: Ticks, name: str, peer: Peer) -> None:
        """Sends the next chunk.

        A snapshot that was begun is gone on with, though there may be a later one: else a slow
        peer would never get to its end.
        """
        state = self.state
        if peer.snapshot is None:
            peer.snapshot = SnapshotProgress(state.log.snapshot, 0)
        snapshot, offset = peer.snapshot
        peer.busy_until = now + state.settings.heartbeat_interval
        chunk = SnapshotChunk(
            term=state.term,
            disk_incarnation=state.disk_incarnation,
            log_index=snapshot.log_index,
            entry_term=snapshot.term,
            at=snapshot.at,
            members=snapshot.members,
            offset=offset,
            total=len(snapshot.content),
            content=snapshot.content[offset : offset + state.settings.snapshot_chunk_bytes],
            round=self.round,
        )
        state.outbox.emit(Send(name, chunk))

    # Answers.

    def _heard(
        self, now: Ticks, event: MessageReceived[AppendResponse | SnapshotChunkResponse]
    ) -> Peer | None:
        """The peer, if it is one, with what any answer of this term tells."""
        sender, response = event
        peer = self.peers.get(sender)
        if peer is None:
            return None
        if peer.disk_incarnation != response.disk_incarnation:
            peer.forget(response.disk_incarnation, self.state.log.last_index + 1)
        peer.heard_at = now
        peer.round = max(peer.round, response.round)
        return peer

    def append_answered(self, now: Ticks, event: MessageReceived[AppendResponse]) -> bool:
        """Takes an answer; whether it is one of a peer."""
        response = event.message
        peer = self._heard(now, event)
        if peer is None:
            return False
        last_index = self.state.log.last_index
        if not response.success or response.match_index >= peer.next_index:
            # Not at a mere heartbeat's answer: what is on its way would be sent twice.
            peer.busy_until = 0
        if response.success:
            peer.match_index = max(peer.match_index, min(response.match_index, last_index))
            following = peer.match_index + 1
            peer.next_index = max(peer.next_index, following) if peer.snapshot else following
        else:
            hint = min(response.match_index, peer.next_index - 1, last_index + 1)
            peer.next_index = max(peer.match_index + 1, hint, 1)
        return True

    def snapshot_chunk_answered(
        self, now: Ticks, event: MessageReceived[SnapshotChunkResponse]
    ) -> bool:
        """Takes an answer; whether it is one of a peer about the snapshot that it is sent."""
        response = event.message
        peer = self._heard(now, event)
        if peer is None or not peer.snapshot:
            return False
        snapshot = peer.snapshot.snapshot
        if snapshot.log_index != response.log_index:
            return False
        peer.busy_until = 0
        if response.done:
            peer.match_index = max(peer.match_index, response.log_index)
            peer.snapshot = None
            peer.next_index = peer.match_index + 1
        else:
            peer.snapshot = SnapshotProgress(snapshot, response.received)
        return True

    def send_missing(self, now: Ticks, name: str) -> None:
        """Goes on sending after an answer, if the peer lacks anything."""
        peer = self.peers[name]
        if peer.next_index <= self.state.log.last_index or peer.snapshot:
            self.send_entries(now, name)

    # Majorities.

    def majority_answers(self, answers: Callable[[Peer], bool]) -> bool:
        """Whether this node and peers that answer so, with the disks listed, are a majority."""
        return self.state.has_majority(
            lambda name, disk_incarnation: (
                self._has_listed_disk(name, disk_incarnation)
                and (name == self.state.name or answers(self.peers[name]))
            )
        )

    def _has_listed_disk(self, name: str, disk_incarnation: int) -> bool:
        """Whether a voter has the disk that the members' list names."""
        if name == self.state.name:
            return disk_incarnation == self.state.disk_incarnation
        return self.peers[name].disk_incarnation == disk_incarnation

    def advance_commit(self) -> None:
        """Commits up to the last entry that a majority holds on its disks."""
        state = self.state
        if state.role != Role.LEADER:
            return
        voters = state.log.members.voters
        durable = sorted(
            (self._durable_index(name, disk) for name, disk in voters.items()), reverse=True
        )
        index = durable[len(voters) // 2]
        if index > state.committed and self.may_commit(index):
            state.commit_to(index)

    def _durable_index(self, name: str, disk_incarnation: int) -> int:
        """Up to where a voter's disk holds the log."""
        if not self._has_listed_disk(name, disk_incarnation):
            return 0
        if name == self.state.name:
            return self.state.outbox.durable_index
        return self.peers[name].match_index

    def may_commit(self, index: int) -> bool:
        """Whether an entry is of the own term: another may be replaced though a majority holds it.

        Source: Raft, 5.4.2.
        """
        return self.state.log.term(index) == self.state.term
