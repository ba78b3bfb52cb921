"""Linearizable reads by read index and leader lease (Ongaro's thesis, 6.4).

A round of heartbeats that a majority answers proves that the node was leader when the round
started. It confirms the reads that wait for the round and extends the lease for later reads.
"""

from collections.abc import Hashable
from typing import NamedTuple

from ..interface.clock import Ticks
from .node_interface import ReadReady, ReadRequested, RequestRejected
from .node_state import NodeState
from .replication import Replication
from .roles import Role


class _PendingRead(NamedTuple):
    """A read that is not served yet.

    Attributes:
        token: Of the ReadRequested event.
        log_index: The read index, which must be applied before the read is served.
        round: The round of heartbeats that must be confirmed before; None if it has not started.
    """

    token: Hashable
    log_index: int
    round: int | None


class Reads:
    """A leader's rounds of heartbeats, its lease and its pending reads."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        self.state = state
        self.replication = replication
        self._usable_lease = state.settings.usable_lease()
        self.reset()

    def reset(self) -> None:
        """Clears the leader's state: this node is not, or no longer, the leader."""
        self._pending: list[_PendingRead] = []
        self._confirmed_round = 0
        self._round_started_at: Ticks = 0
        self.lease_until: Ticks = 0
        self.lease_reads = False

    def begin_leadership(self) -> None:
        """Initializes the state of a new leader."""
        self.lease_reads = self.state.settings.lease_reads

    def end_lease(self) -> None:
        """Stops serving reads under the lease for the rest of this term."""
        self.lease_reads = False

    def start_round(self, now: Ticks) -> None:
        """Starts a round of heartbeats, or repeats the current one if it is not confirmed.

        A repeated round keeps its start time, so that the lease counts from the first heartbeat.
        """
        replication = self.replication
        if self._confirmed_round == replication.round:
            replication.round += 1
            self._round_started_at = now
            self._pending = [
                read._replace(round=replication.round) if read.round is None else read
                for read in self._pending
            ]
        self.state.timer_due = now + self.state.settings.heartbeat_interval
        replication.send_heartbeats(now)
        self.confirm_round(now)

    def confirm_round(self, now: Ticks) -> None:
        """Confirms the round if a majority answered it, extends the lease and serves reads."""
        replication = self.replication
        while (
            self.state.role == Role.LEADER
            and self._confirmed_round < replication.round
            and replication.has_peer_majority(lambda peer: peer.round >= replication.round)
        ):
            self._confirmed_round = replication.round
            self.lease_until = self._round_started_at + self._usable_lease
            if any(read.round is None for read in self._pending):
                self.start_round(now)
        self.serve_ready()

    def handle_read(self, now: Ticks, event: ReadRequested) -> None:
        """Serves a read under the lease, or queues it for a round of heartbeats."""
        state = self.state
        if len(self._pending) >= state.settings.max_pending_requests:
            state.reject(event.token, "too many reads wait", state.settings.heartbeat_interval)
            return
        index = max(state.commit_index, self.replication.first_index_of_term)
        if self.holds_lease(now):
            self._pending.append(_PendingRead(event.token, index, 0))
            self.serve_ready()
            return
        self._pending.append(_PendingRead(event.token, index, None))
        if self._confirmed_round == self.replication.round:  # otherwise it waits for the next round
            self.start_round(now)

    def holds_lease(self, now: Ticks) -> bool:
        """Returns whether the lease is valid, so that no other node can be leader."""
        return self.lease_reads and now < self.lease_until

    def serve_ready(self) -> None:
        """Serves the reads whose round is confirmed and whose read index is applied."""
        if not self._pending:
            return
        still_pending = []
        for read in self._pending:
            confirmed = read.round is not None and read.round <= self._confirmed_round
            if confirmed and read.log_index <= self.state.last_applied:
                self.state.outbox.emit(ReadReady(read.token, self.state.last_applied))
            else:
                still_pending.append(read)
        self._pending = still_pending

    def reject_all(self, reason: str) -> None:
        """Rejects all pending reads because this node is no longer the leader."""
        retry_after = self.state.settings.election_timeout.maximum
        for read in self._pending:
            self.state.outbox.emit(RequestRejected(read.token, reason, retry_after, None))
