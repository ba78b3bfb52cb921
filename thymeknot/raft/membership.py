"""Changes of members, one at a time, and transfers of leadership (Ongaro's thesis, 4 and 3.10).

Commands of the nodes' own part: {"do": "add", "name": n, "life": l} takes in a learner (a voter
of that name with another disk is one no longer), {"do": "promote", "name": n} makes it a voter,
{"do": "remove", "name": n} removes it, {"do": "transfer", "name": n} hands leadership over, which
the log doesn't hold: its reply says that it was tried.
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
    """Leadership is being handed to a voter that must catch up in time."""

    token: Hashable
    name: str
    deadline: Ticks


class _Rejection(NamedTuple):
    """An error as a value: why a change is rejected."""

    reason: str
    retry_after: Ticks | None = None


class Membership:
    """Checks changes of members before they are appended, and hands leadership over."""

    def __init__(self, state: NodeState, replication: Replication, reads: Reads) -> None:
        self.state = state
        self._replication = replication
        self._reads = reads
        self._changes: dict[str, Callable[[Ticks, str, int, Members], _Rejection | None]] = {
            "add": self._add,
            "promote": self._promote,
            "remove": self._remove,
        }
        self.reset()

    def reset(self) -> None:
        """This node doesn't lead."""
        self._transfer: _Transfer | None = None

    # Changes.

    def may_change(self) -> bool:
        """Whether the last change and an entry of this term are committed and applied.

        The latter is from Ongaro's note of 2015 on changes of one member.
        """
        state = self.state
        all_applied = state.applied == state.committed >= self._replication.first_own_index
        return state.log.changes[-1].log_index <= state.applied and all_applied

    def prepare_change(
        self, now: Ticks, token: Hashable, command: dict[str, Any]
    ) -> dict[str, Any] | None:
        """The command to append for an operator's change; None if there is nothing to append.

        An operator's mistake is rejected before it gets into the log.
        """
        checked = self._checked_change(now, token, command)
        if isinstance(checked, _Rejection):
            self.state.reject(token, checked.reason, checked.retry_after)
            return None
        if checked is None:
            return None
        return {"part": RAFT_PART, "voters": checked.voters, "learners": checked.learners}

    def _checked_change(
        self, now: Ticks, token: Hashable, command: dict[str, Any]
    ) -> Members | _Rejection | None:
        """The members after a change; None if it is a transfer of leadership, which is begun."""
        kind = command.get("do")
        name = command.get("name")
        disk_incarnation = command.get("life", 0)
        if not isinstance(name, str) or not isinstance(disk_incarnation, int):
            return _Rejection("no name, or a life that is no number")
        if not self.may_change():
            return self._retry("another change of members is under way")
        listed = self.state.log.members
        members = Members(dict(listed.voters), dict(listed.learners))
        if kind == "transfer":
            return self._begin_transfer(now, token, name, members)
        change = self._changes.get(kind) if isinstance(kind, str) else None
        if change is None:
            return _Rejection("keepers know no such command")
        rejected = change(now, name, disk_incarnation, members)
        if rejected is None and not members.voters:
            rejected = _Rejection("nobody would be left to vote")
        return rejected or members

    def _retry(self, reason: str) -> _Rejection:
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
        if not self._caught_up(now, peer, members.learners[name]):
            return self._retry("it lags, or is not there under this life")
        members.voters[name] = members.learners.pop(name)
        return None

    def _remove(self, _: Ticks, name: str, __: int, members: Members) -> _Rejection | None:
        if name not in members.voters and name not in members.learners:
            return _Rejection("it is no member")
        members.voters.pop(name, None)
        members.learners.pop(name, None)
        return None

    def _caught_up(self, now: Ticks, peer: Peer, disk_incarnation: int) -> bool:
        """Whether a learner may become a voter."""
        settings = self.state.settings
        return (
            peer.disk_incarnation == disk_incarnation
            and now - peer.heard_at < settings.election_timeout.minimum
            and peer.match_index + settings.max_promotion_lag >= self.state.committed
            and peer.match_index > 0
        )

    # Transfer of leadership.

    @property
    def transferring(self) -> bool:
        """Whether leadership is being handed over."""
        return self._transfer is not None

    def _begin_transfer(
        self, now: Ticks, token: Hashable, name: str, members: Members
    ) -> _Rejection | None:
        if name not in members.voters or name == self.state.name:
            return _Rejection("it is no other voter")
        deadline = now + self.state.settings.election_timeout.minimum
        self._transfer = _Transfer(token, name, deadline)
        self.continue_transfer()
        return None

    def continue_transfer(self) -> None:
        """Hands over once the other voter has all of the log."""
        if self._transfer is None:
            return
        state = self.state
        token, name, _ = self._transfer
        if self._replication.peers[name].match_index != state.log.last_index:
            return
        # The message may arrive late, and the election that it brings about heeds no lease.
        self._reads.end_lease()
        self._transfer = None
        state.outbox.emit(Send(name, TimeoutNow(state.term, state.disk_incarnation)))
        state.outbox.emit(CommandCompleted(token, {"ok": True, "told": name}))

    def expire_transfer(self, now: Ticks) -> None:
        """Gives up on a voter that didn't catch up in time."""
        if self._transfer is not None and now >= self._transfer.deadline:
            retry_after = self.state.settings.heartbeat_interval
            self.state.reject(self._transfer.token, "it did not catch up in time", retry_after)
            self._transfer = None

    def reject_transfer(self, reason: str) -> None:
        """Rejects a transfer under way: this node leads no longer."""
        if self._transfer is not None:
            retry_after = self.state.settings.election_timeout.maximum
            self.state.outbox.emit(RequestRejected(self._transfer.token, reason, retry_after, None))
