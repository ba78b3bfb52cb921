"""Client commands: proposed to the leader, applied on all nodes, answered by the leader."""

from collections.abc import Hashable
from typing import Any, NamedTuple

import msgspec

from ..interface.clock import Ticks
from .client_sessions import ClientSessions
from .log import RAFT_PART, members_set_by
from .membership import Membership
from .node_interface import (
    CommandCompleted,
    CommandProposed,
    EntryApplied,
    Reply,
    RequestRejected,
)
from .node_state import NodeState
from .records import Entry
from .replication import Replication
from .state_machine import rejection


class _PendingCommand(NamedTuple):
    """A command in the leader's log that is not applied yet.

    Attributes:
        token: Of the CommandProposed event.
        size: Size of the encoded command in bytes.
    """

    token: Hashable
    size: int


class Proposals:
    """Appends proposed commands, applies committed entries and emits the replies."""

    def __init__(
        self,
        state: NodeState,
        sessions: ClientSessions,
        replication: Replication,
        membership: Membership,
    ) -> None:
        self._state = state
        self._sessions = sessions
        self._replication = replication
        self._membership = membership
        self.reset()

    def reset(self) -> None:
        """Forgets the pending commands: this node is not, or no longer, the leader."""
        self._pending: dict[int, _PendingCommand] = {}  # by index of the entry
        self._pending_bytes = 0

    def propose(self, now: Ticks, event: CommandProposed) -> None:
        """Appends a command, rejects it, or repeats the reply if it was applied before."""
        token, origin, incarnation, number, command = event
        state = self._state
        earlier_reply = self._sessions.known_reply(origin, incarnation, number)
        if earlier_reply is not None:  # already applied, so the reply is final
            state.outbox.emit(CommandCompleted(token, earlier_reply))
            return
        try:
            size = len(msgspec.msgpack.encode(command))
        except (TypeError, ValueError, OverflowError, RecursionError) as error:
            state.reject(token, f"can't be written: {error}", None)
            return
        if not self._admits(token, origin, size):
            return
        logged_command: dict[str, Any] | None = command
        if command.get("part") == RAFT_PART:
            logged_command = self._membership.prepare_change(now, token, command)
        if logged_command is None:
            return
        index = self._replication.append(now, logged_command, origin, incarnation, number)
        self._pending[index] = _PendingCommand(token, size)
        self._pending_bytes += size
        self._replication.advance_commit()

    def _admits(self, token: Hashable, origin: str, size: int) -> bool:
        """Returns whether a command is within the limits; rejects it otherwise."""
        state = self._state
        settings = state.settings
        pending = len(self._pending)
        if size > settings.max_command_bytes or not origin:
            reason = "larger than a command may be" if origin else "has no origin"
            state.reject(token, reason, None)
        elif (
            pending >= settings.max_pending_requests
            or self._pending_bytes + size > settings.max_pending_bytes
        ):
            # Estimate: one heartbeat interval per batch that the pending commands fill.
            rounds = 1 + pending // settings.max_batch_entries
            state.reject(token, "too many commands wait", rounds * settings.heartbeat_interval)
        elif self._membership.is_transferring:
            state.reject(token, "leadership is being handed over", settings.heartbeat_interval)
        else:
            return True
        return False

    def apply_committed(self) -> None:
        """Applies the committed entries that are not applied yet, and answers their clients."""
        state = self._state
        while state.last_applied < state.commit_index:
            entry = state.log.entry(state.last_applied + 1)
            state.last_applied += 1
            reply = self._apply(entry)
            state.outbox.emit(EntryApplied(entry.log_index, entry.at, entry.command, reply))
            pending = self._pending.pop(entry.log_index, None)
            if pending:
                self._pending_bytes -= pending.size
                state.outbox.emit(CommandCompleted(pending.token, reply))

    def _apply(self, entry: Entry) -> Reply | None:
        if not entry.origin:
            return None
        members = members_set_by(entry)
        if members is None and entry.command.get("part") == RAFT_PART:
            return rejection("keepers know no such command")

        def apply_command(at: Ticks) -> Reply:
            if members is not None:
                return {"ok": True, "voters": members.voters, "learners": members.learners}
            return self._sessions.machine.apply(at, entry.command)

        return self._sessions.apply(
            entry.at, entry.origin, entry.incarnation, entry.number, apply_command
        )

    def reject_all(self, reason: str) -> None:
        """Rejects the pending commands with an unknown outcome: a new leader may commit them."""
        retry_after = self._state.settings.election_timeout.maximum
        for pending in self._pending.values():
            self._state.outbox.emit(
                RequestRejected(pending.token, "unknown: " + reason, retry_after, None)
            )
