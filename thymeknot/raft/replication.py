"""The leader's side of replication: sends entries and snapshots and advances the commit index.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), 5.3
and 5.4.2; Ongaro's thesis (2014), 6.2 (quorum check) and 10.2.1 (the leader sends entries in
parallel to writing them to its disk).
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
    """A snapshot that is being sent to a peer, which has the first `offset` bytes of it."""

    snapshot: Snapshot
    offset: int


class Peer:
    """Replication progress of another node.

    Attributes:
        disk_incarnation: Disk incarnation of its last response.
        next_index: Index of the next entry to send.
        match_index: Index up to which its log is known to match the leader's.
        last_response_at: Time of its last response.
        round: Last round of heartbeats that it answered.
        in_flight_until: Until then, entries or a chunk sent are assumed to be in flight.
        snapshot: The snapshot that is sent instead of entries, or None.
    """

    __slots__ = (
        "disk_incarnation",
        "in_flight_until",
        "last_response_at",
        "match_index",
        "next_index",
        "round",
        "snapshot",
    )

    def __init__(self, disk_incarnation: int, next_index: int, now: Ticks) -> None:
        self.disk_incarnation = disk_incarnation
        self.next_index = next_index
        self.match_index = 0
        self.last_response_at = now
        self.round = 0
        self.in_flight_until: Ticks = 0
        self.snapshot: SnapshotProgress | None = None

    def reset_progress(self, disk_incarnation: int, next_index: int) -> None:
        """Resets the progress of a peer that has another disk: its former log is lost."""
        self.disk_incarnation = disk_incarnation
        self.match_index = 0
        self.next_index = next_index
        self.round = 0
        self.snapshot = None


class Replication:
    """The peers of a leader and their progress. It has no peers while this node doesn't lead."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self._leadership_began_at: Ticks = 0  # when this node became leader, by its own clock
        self._agreed_time_at_start: Ticks = 0  # agreed time of the last entry at that moment
        self.reset()

    def reset(self) -> None:
        """Clears the leader's state: this node is not, or no longer, the leader."""
        self.peers: dict[str, Peer] = {}
        self.round = 0  # number of the latest round of heartbeats
        self.first_index_of_term = 0  # index of the first entry that this leader appended

    def begin_leadership(self, now: Ticks) -> None:
        """Initializes the state of a new leader."""
        log = self.state.log
        self._leadership_began_at = now
        self._agreed_time_at_start = log.last_at
        self._update_peers(now)
        self.first_index_of_term = log.last_index + 1

    def _update_peers(self, now: Ticks) -> None:
        """Sets the peers to the other nodes of the configuration, keeping known progress."""
        log = self.state.log
        incarnations = {**log.members.learners, **log.members.voters}
        incarnations.pop(self.state.name, None)
        self.peers = {
            name: self.peers.get(name) or Peer(disk_incarnation, log.last_index + 1, now)
            for name, disk_incarnation in incarnations.items()
        }

    def agreed_time(self, now: Ticks) -> Ticks:
        """Returns the agreed time of the next entry.

        It never decreases, and within a term it advances at the rate of the leader's clock.
        """
        return max(
            self.state.log.last_at, self._agreed_time_at_start + now - self._leadership_began_at
        )

    def append(
        self, now: Ticks, command: dict[str, Any], origin: str, incarnation: int, number: int
    ) -> int:
        """Appends an entry, starts sending it to the peers and returns its index."""
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
        """Sends each peer an AppendRequest, which may be empty, or a snapshot chunk."""
        for name in self.peers:
            self.send_entries(now, name, heartbeat=True)

    def send_entries(self, now: Ticks, name: str, heartbeat: bool = False) -> None:
        """Sends the entries or the snapshot chunk that a peer is missing.

        Entries are sent only if none are in flight. With `heartbeat` a request is always sent,
        if necessary without entries.
        """
        state = self.state
        peer = self.peers[name]
        nothing_in_flight = now >= peer.in_flight_until
        previous_index = peer.next_index - 1
        previous_term = state.log.term(previous_index)
        if peer.snapshot or previous_term is None:
            if nothing_in_flight or heartbeat:
                self._send_snapshot_chunk(now, name, peer)
            return
        entries: tuple[Entry, ...] = ()
        if nothing_in_flight and peer.next_index <= state.log.last_index:
            settings = state.settings
            entries = state.log.entries_from(
                peer.next_index, settings.max_batch_entries, settings.max_batch_bytes
            )
            peer.in_flight_until = now + settings.heartbeat_interval
        if entries or heartbeat:
            request = AppendRequest(
                term=state.term,
                disk_incarnation=state.disk_incarnation,
                previous_index=previous_index,
                previous_term=previous_term,
                entries=entries,
                commit_index=state.commit_index,
                round=self.round,
            )
            state.outbox.emit(Send(name, request))

    def _send_snapshot_chunk(self, now: Ticks, name: str, peer: Peer) -> None:
        """Sends the next chunk of a snapshot.

        A transfer continues with its snapshot even if there is a newer one by now; otherwise a
        slow peer might never receive a complete snapshot.
        """
        state = self.state
        if peer.snapshot is None:
            peer.snapshot = SnapshotProgress(state.log.snapshot, 0)
        snapshot, offset = peer.snapshot
        peer.in_flight_until = now + state.settings.heartbeat_interval
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

    # Responses.

    def _record_response(
        self, now: Ticks, event: MessageReceived[AppendResponse | SnapshotChunkResponse]
    ) -> Peer | None:
        """Records what every response contains; returns the peer, or None for an unknown sender."""
        sender, response = event
        peer = self.peers.get(sender)
        if peer is None:
            return None
        if peer.disk_incarnation != response.disk_incarnation:
            peer.reset_progress(response.disk_incarnation, self.state.log.last_index + 1)
        peer.last_response_at = now
        peer.round = max(peer.round, response.round)
        return peer

    def handle_append_response(self, now: Ticks, event: MessageReceived[AppendResponse]) -> bool:
        """Updates the progress of a peer; returns False if the sender is not a peer."""
        response = event.message
        peer = self._record_response(now, event)
        if peer is None:
            return False
        last_index = self.state.log.last_index
        if not response.success or response.match_index >= peer.next_index:
            # Not for the response to an empty heartbeat: entries in flight would be sent again.
            peer.in_flight_until = 0
        if response.success:
            peer.match_index = max(peer.match_index, min(response.match_index, last_index))
            after_match = peer.match_index + 1
            peer.next_index = max(peer.next_index, after_match) if peer.snapshot else after_match
        else:
            next_hint = min(response.match_index, peer.next_index - 1, last_index + 1)
            peer.next_index = max(peer.match_index + 1, next_hint, 1)
        return True

    def handle_snapshot_response(
        self, now: Ticks, event: MessageReceived[SnapshotChunkResponse]
    ) -> bool:
        """Updates a snapshot transfer; returns False if the response is not about a current one."""
        response = event.message
        peer = self._record_response(now, event)
        if peer is None or not peer.snapshot:
            return False
        snapshot = peer.snapshot.snapshot
        if snapshot.log_index != response.log_index:
            return False
        peer.in_flight_until = 0
        if response.done:
            peer.match_index = max(peer.match_index, response.log_index)
            peer.snapshot = None
            peer.next_index = peer.match_index + 1
        else:
            peer.snapshot = SnapshotProgress(snapshot, response.received)
        return True

    def send_missing(self, now: Ticks, name: str) -> None:
        """Sends more after a response if the peer is missing entries or a snapshot."""
        peer = self.peers[name]
        if peer.next_index <= self.state.log.last_index or peer.snapshot:
            self.send_entries(now, name)

    # Majorities.

    def has_peer_majority(self, matches: Callable[[Peer], bool]) -> bool:
        """Returns whether this node and the matching peers with listed disks are a majority."""
        return self.state.has_majority(
            lambda name, disk_incarnation: (
                self._has_listed_disk(name, disk_incarnation)
                and (name == self.state.name or matches(self.peers[name]))
            )
        )

    def _has_listed_disk(self, name: str, disk_incarnation: int) -> bool:
        """Returns whether a voter has the disk incarnation that the configuration lists."""
        if name == self.state.name:
            return disk_incarnation == self.state.disk_incarnation
        return self.peers[name].disk_incarnation == disk_incarnation

    def advance_commit(self) -> None:
        """Advances the commit index to the last entry that is durable on a majority of voters."""
        state = self.state
        if state.role != Role.LEADER:
            return
        voters = state.log.members.voters
        durable_indices = sorted(
            (self._durable_index(name, disk) for name, disk in voters.items()), reverse=True
        )
        index = durable_indices[len(voters) // 2]
        if index > state.commit_index and self.may_commit(index):
            state.commit_to(index)

    def _durable_index(self, name: str, disk_incarnation: int) -> int:
        """Returns the index up to which the log is durable on a voter's listed disk."""
        if not self._has_listed_disk(name, disk_incarnation):
            return 0
        if name == self.state.name:
            return self.state.outbox.durable_index
        return self.peers[name].match_index

    def may_commit(self, index: int) -> bool:
        """Returns whether an entry has the current term and may be committed by counting.

        An entry of an earlier term may still be overwritten although a majority has it. Source:
        Raft, 5.4.2.
        """
        return self.state.log.term(index) == self.state.term
