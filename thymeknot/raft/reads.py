"""Reads of the state machine: read index and lease (Ongaro's thesis, 6.4).

A round of heartbeats that a majority answers proves that the node led when the round began. It
confirms the reads that wait for it, and gives a lease for those to come.
"""

from collections.abc import Hashable
from typing import NamedTuple

from ..interface.clock import Ticks
from .node_interface import ReadReady, ReadRequested, RequestRejected
from .node_state import NodeState
from .replication import Replication
from .roles import Role


class _PendingRead(NamedTuple):
    """A read that waits.

    Attributes:
        token: the caller's.
        log_index: to be applied before the read is served.
        round: of heartbeats, to be confirmed before; None if it waits for the next one.
    """

    token: Hashable
    log_index: int
    round: int | None


class Reads:
    """The rounds of heartbeats of a leader, and the reads that wait for them."""

    def __init__(self, state: NodeState, replication: Replication) -> None:
        self.state = state
        self.replication = replication
        self._usable_lease = state.settings.usable_lease()
        self.reset()

    def reset(self) -> None:
        """This node doesn't lead."""
        self._pending: list[_PendingRead] = []
        self._confirmed_round = 0
        self._round_began_at: Ticks = 0
        self.lease_until: Ticks = 0
        self.lease_reads = False

    def begin(self) -> None:
        """This node begins to lead."""
        self.lease_reads = self.state.settings.lease_reads

    def end_lease(self) -> None:
        """The lease is not relied on any more in this term."""
        self.lease_reads = False

    def start_round(self, now: Ticks) -> None:
        """Starts a round of heartbeats once the one before is confirmed, else repeats that.

        A repeated round keeps its beginning.
        """
        replication = self.replication
        if self._confirmed_round == replication.round:
            replication.round += 1
            self._round_began_at = now
            self._pending = [
                read._replace(round=replication.round) if read.round is None else read
                for read in self._pending
            ]
        self.state.timer_due = now + self.state.settings.heartbeat_interval
        replication.send_heartbeats(now)
        self.confirm_round(now)

    def confirm_round(self, now: Ticks) -> None:
        """Confirms the round if a majority answered it, and serves what waited for it."""
        replication = self.replication
        while (
            self.state.role == Role.LEADER
            and self._confirmed_round < replication.round
            and replication.majority_answers(lambda peer: peer.round >= replication.round)
        ):
            self._confirmed_round = replication.round
            self.lease_until = self._round_began_at + self._usable_lease
            if any(read.round is None for read in self._pending):
                self.start_round(now)
        self.serve()

    def request(self, now: Ticks, event: ReadRequested) -> None:
        """Serves a read by the lease, or lets it wait for a round of heartbeats."""
        state = self.state
        if len(self._pending) >= state.settings.max_pending_requests:
            state.reject(event.token, "too many reads wait", state.settings.heartbeat_interval)
            return
        index = max(state.committed, self.replication.first_own_index)
        if self.holds_lease(now):
            self._pending.append(_PendingRead(event.token, index, 0))
            self.serve()
            return
        self._pending.append(_PendingRead(event.token, index, None))
        if self._confirmed_round == self.replication.round:  # else it joins the next round
            self.start_round(now)

    def holds_lease(self, now: Ticks) -> bool:
        """Whether no other node can lead."""
        return self.lease_reads and now < self.lease_until

    def serve(self) -> None:
        """Serves the reads whose round is confirmed and whose entry is applied."""
        if not self._pending:
            return
        waiting = []
        for read in self._pending:
            confirmed = read.round is not None and read.round <= self._confirmed_round
            if confirmed and read.log_index <= self.state.applied:
                self.state.outbox.emit(ReadReady(read.token, self.state.applied))
            else:
                waiting.append(read)
        self._pending = waiting

    def reject_all(self, reason: str) -> None:
        """Rejects all reads that wait: this node leads no longer."""
        retry_after = self.state.settings.election_timeout.maximum
        for read in self._pending:
            self.state.outbox.emit(RequestRejected(read.token, reason, retry_after, None))
