"""One Raft node as a deterministic state machine: events and the time in, effects out, no I/O.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
Ongaro's thesis (2014); each component of the node cites its chapters.
"""

from collections.abc import Callable, Collection
from typing import Any

from ..interface.clock import Ticks
from .client_sessions import ClientSessions
from .elections import Elections
from .follower import Follower
from .log import RAFT_PART, Log
from .membership import Membership
from .messages import (
    AppendRequest,
    AppendResponse,
    Message,
    SnapshotChunk,
    SnapshotChunkResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from .node_interface import (
    CommandProposed,
    DiskFailed,
    Effect,
    Event,
    MessageReceived,
    ReadRequested,
    RecordsStored,
    RequestRejected,
    SetTimer,
    SteppedDown,
    TimerDue,
)
from .node_state import NodeState, RandomSource
from .outbox import Outbox, SelfVote
from .proposals import Proposals
from .reads import Reads
from .records import Recovered
from .replication import Replication
from .roles import TRANSITIONS, Action, Role, Step, Transition, Trigger
from .settings import RaftSettings
from .snapshots import Snapshots
from .state_machine import StateMachine

LEADER = Role.LEADER

TRIGGERS: dict[type[Message], Trigger] = {
    VoteRequest: Trigger.VOTE_REQUEST,
    VoteResponse: Trigger.VOTE_RESPONSE,
    AppendRequest: Trigger.APPEND_REQUEST,
    AppendResponse: Trigger.APPEND_RESPONSE,
    SnapshotChunk: Trigger.SNAPSHOT_CHUNK,
    SnapshotChunkResponse: Trigger.SNAPSHOT_CHUNK_RESPONSE,
    TimeoutNow: Trigger.TIMEOUT_NOW,
}
"""The trigger of each message of the current term."""

_ROLES_WITHOUT_TIMER = (Role.LEARNER, Role.STOPPED)


class RaftNode:
    """One Raft node.

    Args:
        name: Name of this node.
        founders: Names of the nodes that bootstrap the cluster; None if this node joins it.
        settings: Timing and limits.
        random_source: Source of randomness for election timeouts.
        recovered: State that was recovered from the disk.
        machine: The state machine that committed commands are applied to.
        now: Current time of a monotonic clock. Clocks of different nodes need only run at the
            same rate up to `settings.clock_drift`.
    """

    # The classes of the components; the model checker's broken variants override them.
    outbox_class: type[Outbox] = Outbox
    sessions_class: type[ClientSessions] = ClientSessions
    elections_class: type[Elections] = Elections
    follower_class: type[Follower] = Follower
    replication_class: type[Replication] = Replication
    reads_class: type[Reads] = Reads
    membership_class: type[Membership] = Membership

    def __init__(  # noqa: PLR0917  # other packages pass them by position
        self,
        name: str,
        founders: Collection[str] | None,
        settings: RaftSettings,
        random_source: RandomSource,
        recovered: Recovered,
        machine: StateMachine,
        now: Ticks,
    ) -> None:
        self.machine = machine
        self.state = NodeState(
            name,
            founders,
            settings=settings,
            random_source=random_source,
            recovered=recovered,
            now=now,
            outbox_class=self.outbox_class,
            count_self_vote=self._count_self_vote,
        )
        self.sessions = self.sessions_class(machine, settings.max_sessions)
        if self.log.snapshot.content:
            self.sessions.load(self.log.snapshot.content)
        self.elections = self.elections_class(self.state)
        self.follower = self.follower_class(self.state)
        self.snapshots = Snapshots(self.state, self.sessions)
        self.replication = self.replication_class(self.state)
        self.reads = self.reads_class(self.state, self.replication)
        self.membership = self.membership_class(self.state, self.replication, self.reads)
        self.proposals = Proposals(self.state, self.sessions, self.replication, self.membership)
        self.last_handled_at = now
        self._requested_timer: Ticks | None = None  # time of the last SetTimer
        self._usable_lease = settings.usable_lease()
        self._event_handlers: dict[type[Event], Callable[[Ticks, Any], None]] = {
            MessageReceived: self._handle_message,
            TimerDue: self._handle_timer,
            CommandProposed: self._handle_command,
            ReadRequested: self._handle_read,
            RecordsStored: self._handle_records_stored,
            DiskFailed: self._handle_disk_failure,
        }
        self.actions = self._action_methods()

    def _action_methods(self) -> dict[Action, Callable[[Ticks, Any], Step | None]]:
        """Returns the method of each action; it is called with the time and the step's argument."""
        return {
            Action.START_PRE_VOTE: lambda now, _: self.elections.start_pre_vote(now),
            Action.START_ELECTION: lambda now, _: self.elections.start_election(now),
            Action.START_TRANSFER_ELECTION: lambda now, event: (
                self.elections.start_transfer_election(now, event.sender)
            ),
            Action.COUNT_VOTE: lambda _, event: self.elections.count_vote(event),
            Action.ANSWER_VOTE_REQUEST: self.elections.answer_vote_request,
            Action.BECOME_LEADER: self._become_leader,
            Action.SEND_HEARTBEATS: self._send_heartbeats,
            Action.ADOPT_TERM: lambda _, term: self.elections.adopt_term(term),
            Action.STEP_DOWN_FOR_TERM: self._step_down_for_term,
            Action.APPEND_ENTRIES: self.follower.append_entries,
            Action.RECEIVE_SNAPSHOT: self.snapshots.receive_chunk,
            Action.REJECT_STALE: self.follower.reject_stale,
            Action.HANDLE_APPEND_RESPONSE: self._handle_append_response,
            Action.HANDLE_SNAPSHOT_RESPONSE: self._handle_snapshot_response,
            Action.PROPOSE: self.proposals.propose,
            Action.READ: self.reads.handle_read,
            Action.REJECT_NOT_LEADER: self._reject_not_leader,
            Action.STEP_DOWN: self._step_down,
            Action.RESTART_TIMER: lambda now, _: self.state.restart_election_timer(now),
            Action.STOP: self._stop_node,
        }

    @property
    def role(self) -> Role:
        """The current role."""
        return self.state.role

    @property
    def term(self) -> int:
        """The latest term that this node has seen."""
        return self.state.term

    @property
    def leader(self) -> str | None:
        """Name of the leader of the current term, if known."""
        return self.state.leader

    @property
    def log(self) -> Log:
        """The in-memory log."""
        return self.state.log

    # Events.

    def handle(self, now: Ticks, event: Event) -> list[Effect]:
        """Handles an event.

        Args:
            now: Current time. A time before that of an earlier call is replaced with the latter.
            event: The event.

        Returns:
            The effects in the order in which they have to be carried out.
        """
        now = max(now, self.last_handled_at)
        elapsed = now - self.last_handled_at
        self.last_handled_at = now
        self.state.outbox.clear_effects()
        if elapsed > self._usable_lease and self.role == Role.LEADER:
            # Another node may be leader by now, so reads must not rely on the old lease.
            self._take_step(now, Step(Trigger.STALLED, "stood still for longer than the lease"))
        self._event_handlers[type(event)](now, event)
        self._apply_committed(now)
        self._set_timer()
        return self.state.outbox.effects

    def _take_step(self, now: Ticks, step: Step | None) -> None:
        """Takes a step of the transition table and the steps that its actions return."""
        state = self.state
        while step is not None:
            transition = TRANSITIONS.get((state.role, step.trigger)) or Transition(state.role, None)
            state.role = transition.role
            if transition.action is None:
                return
            step = self.actions[transition.action](now, step.argument)

    def _handle_message(self, now: Ticks, event: MessageReceived[Message]) -> None:
        sender, message = event
        state = self.state
        if state.role == Role.STOPPED or sender == state.name:
            return
        if message.term > state.term:
            if not self._must_not_adopt_term(now, message):
                self._take_step(now, Step(Trigger.NEWER_TERM, message.term))
            elif isinstance(message, VoteRequest) and not message.pre_vote:
                return
        elif message.term < state.term:
            if isinstance(message, (AppendRequest, SnapshotChunk, VoteRequest)):
                self._take_step(now, Step(Trigger.STALE_REQUEST, event))
            return
        self._take_step(now, Step(TRIGGERS[type(message)], event))

    def _must_not_adopt_term(self, now: Ticks, message: Message) -> bool:
        """Returns whether the newer term of a message must not be adopted.

        The term of a pre-vote is only proposed, and a node that heard from a leader recently
        ignores elections that would disrupt it (thesis, 4.2.3).
        """
        if isinstance(message, VoteRequest):
            return message.pre_vote or not self.elections.allows_disruption(now, message)
        return isinstance(message, VoteResponse) and message.pre_vote and message.granted

    def _handle_timer(self, now: Ticks, _: TimerDue) -> None:
        self._requested_timer = None
        if self.role not in _ROLES_WITHOUT_TIMER and now >= self.state.timer_due:
            self._take_step(now, Step(Trigger.TIMER_EXPIRED))

    def _handle_command(self, now: Ticks, event: CommandProposed) -> None:
        self._take_step(now, Step(Trigger.COMMAND, event))

    def _handle_read(self, now: Ticks, event: ReadRequested) -> None:
        self._take_step(now, Step(Trigger.READ, event))

    def _handle_records_stored(self, now: Ticks, event: RecordsStored) -> None:
        """Emits what waited for the disk and counts this node's own durable entries."""
        if self.role == Role.STOPPED:
            return
        self.state.outbox.mark_stored(now, event.serial)
        self.replication.advance_commit()

    def _handle_disk_failure(self, now: Ticks, event: DiskFailed) -> None:
        self._take_step(now, Step(Trigger.DISK_FAILED, event.reason))

    def _count_self_vote(self, now: Ticks, vote: SelfVote) -> None:
        if vote.term == self.term and self.role == Role.CANDIDATE:
            self._take_step(now, self.elections.add_vote(self.state.name))

    def _set_timer(self) -> None:
        timer_due = self.state.timer_due
        if self.role not in _ROLES_WITHOUT_TIMER and timer_due != self._requested_timer:
            self._requested_timer = timer_due
            self.state.outbox.emit(SetTimer(timer_due))

    def _apply_committed(self, now: Ticks) -> None:
        """Applies committed entries, serves reads that waited for them, and takes snapshots."""
        state = self.state
        if state.role == Role.STOPPED:
            return
        self.proposals.apply_committed()
        if state.role == Role.LEADER:
            self.reads.serve_ready()
            if (
                not state.is_voter()
                and state.log.membership_changes[-1].log_index <= state.last_applied
            ):
                self._take_step(now, Step(Trigger.LEADER_REMOVED, "is a voter no longer"))
        self.snapshots.take_if_due()

    # Actions.

    def _become_leader(self, now: Ticks, _: None) -> None:
        self._reset_leader_state()
        self.state.leader = self.state.name
        self.replication.begin_leadership(now)
        self.reads.begin_leadership()
        # A leader commits entries of earlier terms only with an entry of its own (Raft, 5.4.2).
        self.replication.append(now, {"part": RAFT_PART, "do": "nothing"}, "", 0, 0)
        self.reads.start_round(now)

    def _reset_leader_state(self) -> None:
        self.replication.reset()
        self.reads.reset()
        self.membership.reset()
        self.proposals.reset()

    def _send_heartbeats(self, now: Ticks, _: None) -> Step | None:
        """Checks the quorum, expires an overdue transfer and starts a round of heartbeats."""
        settings = self.state.settings
        self.state.timer_due = now + settings.heartbeat_interval
        quorum_timeout = settings.election_timeout.minimum
        if not self.replication.has_peer_majority(
            lambda peer: now - peer.last_response_at < quorum_timeout
        ):
            return Step(Trigger.QUORUM_LOST, "no word of a majority for an election's time")
        self.membership.expire_transfer(now)
        self.reads.start_round(now)
        return None

    def _handle_append_response(self, now: Ticks, event: MessageReceived[AppendResponse]) -> None:
        if self.replication.handle_append_response(now, event):
            self._after_response(now, event.sender)

    def _handle_snapshot_response(
        self, now: Ticks, event: MessageReceived[SnapshotChunkResponse]
    ) -> None:
        if self.replication.handle_snapshot_response(now, event):
            self._after_response(now, event.sender)

    def _after_response(self, now: Ticks, peer: str) -> None:
        """Advances commits, reads, transfers and replication after a response of a peer."""
        self.replication.advance_commit()
        self.reads.confirm_round(now)
        self.membership.try_complete_transfer()
        self.replication.send_missing(now, peer)

    def _reject_not_leader(self, _: Ticks, event: CommandProposed | ReadRequested) -> None:
        """Rejects a command or read because this node is not the leader, naming it if known."""
        state = self.state
        if state.role == Role.STOPPED:
            rejection = RequestRejected(event.token, "this keeper's disk failed", None, None)
        else:
            retry_after = 0 if state.leader else state.settings.election_timeout.maximum
            rejection = RequestRejected(event.token, "does not lead", retry_after, state.leader)
        state.outbox.emit(rejection)

    def _step_down(self, now: Ticks, reason: str) -> None:
        self.state.outbox.emit(SteppedDown(reason))
        self.proposals.reject_all(reason)
        self.reads.reject_all(reason)
        self.membership.reject_transfer(reason)
        self._reset_leader_state()
        self.state.leader = None
        self.state.restart_election_timer(now)

    def _step_down_for_term(self, now: Ticks, term: int) -> Step | None:
        self._step_down(now, f"term {term} has begun")
        return self.elections.adopt_term(term)

    def _stop_node(self, now: Ticks, reason: str) -> None:
        self._step_down(now, "disk: " + reason)
        self.state.outbox.drop_delayed()
        self.snapshots.abort_transfer()
