"""Single-server membership changes and leadership transfer (Ongaro's thesis, 4 and 3.10).

Commands with the part `RAFT_PART`, where "life" is a disk incarnation:

- {"do": "add", "name": n, "life": l} adds a learner; it replaces a voter of that name that had
  another disk incarnation.
- {"do": "promote", "name": n} makes a learner a voter.
- {"do": "remove", "name": n} removes a voter or learner.
- {"do": "transfer", "name": n} transfers leadership to a voter. It is not logged, and its reply
  confirms only that the voter was asked to start an election.
"""

from collections.abc import Callable, Hashable
from typing import Any, NamedTuple

from ..interface.clock import Ticks
from .log import RAFT_PART
from .messages import TimeoutNow
from .node_interface import CommandCompleted, RequestRejected, Send
from .node_state import NodeState
from .reads import Reads
from .records import Members
from .replication import Peer, Replication


class _Transfer(NamedTuple):
    """A leadership transfer, which fails if the voter doesn't catch up before the deadline."""

    token: Hashable
    name: str
    deadline: Ticks


class _Rejection(NamedTuple):
    """Why a membership change or transfer is rejected; None as `retry_after` means never retry."""

    reason: str
    retry_after: Ticks | None = None


class Membership:
    """Checks membership changes before they are appended, and transfers leadership."""

    def __init__(self, state: NodeState, replication: Replication, reads: Reads) -> None:
        self.state = state
        self._replication = replication
        self._reads = reads
        self._change_handlers: dict[
            str, Callable[[Ticks, str, int, Members], _Rejection | None]
        ] = {
            "add": self._add,
            "promote": self._promote,
            "remove": self._remove,
        }
        self.reset()

    def reset(self) -> None:
        """Clears the leader's state: this node is not, or no longer, the leader."""
        self._transfer: _Transfer | None = None

    # Membership changes.

    def may_change(self) -> bool:
        """Returns whether the last change and an entry of this term are committed and applied.

        The condition on the term fixes the bug in single-server changes that Ongaro reported in
        2015.
        """
        state = self.state
        all_applied = (
            state.last_applied == state.commit_index >= self._replication.first_index_of_term
        )
        return state.log.membership_changes[-1].log_index <= state.last_applied and all_applied

    def prepare_change(
        self, now: Ticks, token: Hashable, command: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Checks a membership change and returns the command to append.

        Returns:
            The command that sets the new configuration; None if the change is invalid, in which
            case it is rejected here and never logged, or if it is a leadership transfer.
        """
        checked = self._check_change(now, token, command)
        if isinstance(checked, _Rejection):
            self.state.reject(token, checked.reason, checked.retry_after)
            return None
        if checked is None:
            return None
        return {"part": RAFT_PART, "voters": checked.voters, "learners": checked.learners}

    def _check_change(
        self, now: Ticks, token: Hashable, command: dict[str, Any]
    ) -> Members | _Rejection | None:
        """Returns the configuration after a change; starts a transfer and returns None for it."""
        operation = command.get("do")
        name = command.get("name")
        disk_incarnation = command.get("life", 0)
        if not isinstance(name, str) or not isinstance(disk_incarnation, int):
            return _Rejection("no name, or a life that is no number")
        if not self.may_change():
            return self._retriable_rejection("another change of members is under way")
        current = self.state.log.members
        members = Members(dict(current.voters), dict(current.learners))
        if operation == "transfer":
            return self._start_transfer(now, token, name, members)
        apply_change = self._change_handlers.get(operation) if isinstance(operation, str) else None
        if apply_change is None:
            return _Rejection("keepers know no such command")
        rejection = apply_change(now, name, disk_incarnation, members)
        if rejection is None and not members.voters:
            rejection = _Rejection("nobody would be left to vote")
        return rejection or members

    def _retriable_rejection(self, reason: str) -> _Rejection:
        return _Rejection(reason, self.state.settings.heartbeat_interval)

    def _add(
        self, _: Ticks, name: str, disk_incarnation: int, members: Members
    ) -> _Rejection | None:
        if members.voters.get(name) == disk_incarnation:
            return _Rejection("it is a voter under this life")
        members.voters.pop(name, None)
        members.learners[name] = disk_incarnation
        return None

    def _promote(self, now: Ticks, name: str, _: int, members: Members) -> _Rejection | None:
        peer = self._replication.peers.get(name)
        if name not in members.learners or peer is None:
            return _Rejection("it is no learner")
        if not self._has_caught_up(now, peer, members.learners[name]):
            return self._retriable_rejection("it lags, or is not there under this life")
        members.voters[name] = members.learners.pop(name)
        return None

    def _remove(self, _: Ticks, name: str, __: int, members: Members) -> _Rejection | None:
        if name not in members.voters and name not in members.learners:
            return _Rejection("it is no member")
        members.voters.pop(name, None)
        members.learners.pop(name, None)
        return None

    def _has_caught_up(self, now: Ticks, peer: Peer, disk_incarnation: int) -> bool:
        """Returns whether a learner is up to date and responsive enough to become a voter."""
        settings = self.state.settings
        return (
            peer.disk_incarnation == disk_incarnation
            and now - peer.last_response_at < settings.election_timeout.minimum
            and peer.match_index + settings.max_promotion_lag >= self.state.commit_index
            and peer.match_index > 0
        )

    # Leadership transfer.

    @property
    def is_transferring(self) -> bool:
        """Whether a leadership transfer is in progress."""
        return self._transfer is not None

    def _start_transfer(
        self, now: Ticks, token: Hashable, name: str, members: Members
    ) -> _Rejection | None:
        if name not in members.voters or name == self.state.name:
            return _Rejection("it is no other voter")
        deadline = now + self.state.settings.election_timeout.minimum
        self._transfer = _Transfer(token, name, deadline)
        self.try_complete_transfer()
        return None

    def try_complete_transfer(self) -> None:
        """Tells the target to start an election once its log is as long as the leader's."""
        if self._transfer is None:
            return
        state = self.state
        token, name, _ = self._transfer
        if self._replication.peers[name].match_index != state.log.last_index:
            return
        # TimeoutNow may arrive late, and voters grant votes in its election despite the lease.
        self._reads.end_lease()
        self._transfer = None
        state.outbox.emit(Send(name, TimeoutNow(state.term, state.disk_incarnation)))
        state.outbox.emit(CommandCompleted(token, {"ok": True, "told": name}))

    def expire_transfer(self, now: Ticks) -> None:
        """Aborts a transfer whose deadline has passed."""
        if self._transfer is not None and now >= self._transfer.deadline:
            retry_after = self.state.settings.heartbeat_interval
            self.state.reject(self._transfer.token, "it did not catch up in time", retry_after)
            self._transfer = None

    def reject_transfer(self, reason: str) -> None:
        """Rejects the transfer in progress because this node is no longer the leader."""
        if self._transfer is not None:
            retry_after = self.state.settings.election_timeout.maximum
            self.state.outbox.emit(RequestRejected(self._transfer.token, reason, retry_after, None))
