"""One node of the replicated log, without input or output: events and moments in, effects out.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and
Ongaro's thesis (2014); each part of the node names its chapters.
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
"""What a message of the current term triggers."""

_WITHOUT_TIMER = (Role.LEARNER, Role.STOPPED)


class RaftNode:
    """One node.

    Args:
        name: of this node.
        founders: names of the nodes that found the cluster, or None for one to be taken in.
        settings: what the operator set.
        random_source: draw() in [0, 1), for election timeouts.
        recovered: what the disk gave back.
        machine: what the log is applied to.
        now: of a monotonic clock, which has no relation to other nodes' clocks but its rate
            (`settings.clock_drift`).
    """

    # The parts, which the model checker's broken variants replace.
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
        self._timer: Ticks | None = None  # the last that was asked for
        self._usable_lease = settings.usable_lease()
        self._events: dict[type[Event], Callable[[Ticks, Any], None]] = {
            MessageReceived: self._message_received,
            TimerDue: self._timer_due,
            CommandProposed: self._command_proposed,
            ReadRequested: self._read_requested,
            RecordsStored: self._records_stored,
            DiskFailed: self._disk_failed,
        }
        self.actions = self._action_methods()

    def _action_methods(self) -> dict[Action, Callable[[Ticks, Any], Step | None]]:
        """What carries out each action of the table, given the moment and what it is about."""
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
            Action.YIELD_TO_TERM: self._yield_to_term,
            Action.APPEND_ENTRIES: self.follower.append_entries,
            Action.RECEIVE_SNAPSHOT: self.snapshots.receive_chunk,
            Action.REJECT_STALE: self.follower.reject_stale,
            Action.FOLLOW_UP_APPEND: self._follow_up_append,
            Action.FOLLOW_UP_SNAPSHOT: self._follow_up_snapshot,
            Action.PROPOSE: self.proposals.propose,
            Action.READ: self.reads.request,
            Action.REDIRECT: self._redirect,
            Action.STEP_DOWN: self._step_down,
            Action.RESTART_TIMER: lambda now, _: self.state.restart_election_timer(now),
            Action.STOP: self._stop,
        }

    @property
    def role(self) -> Role:
        """What this node is at the moment."""
        return self.state.role

    @property
    def term(self) -> int:
        """The latest term that it has seen."""
        return self.state.term

    @property
    def leader(self) -> str | None:
        """The leader of this term, if known."""
        return self.state.leader

    @property
    def log(self) -> Log:
        """The log in memory."""
        return self.state.log

    # Events.

    def handle(self, now: Ticks, event: Event) -> list[Effect]:
        """Takes an event; gives effects in the order in which they are to be carried out.

        Args:
            now: the moment; one before an earlier call's counts as that.
            event: what has happened.
        """
        now = max(now, self.last_handled_at)
        elapsed = now - self.last_handled_at
        self.last_handled_at = now
        self.state.outbox.begin()
        if elapsed > self._usable_lease and self.role == Role.LEADER:
            # Others may lead by now: nothing is served on what it believed before.
            self._step(now, Step(Trigger.STOOD_STILL, "stood still for longer than the lease"))
        self._events[type(event)](now, event)
        self._apply(now)
        self._set_timer()
        return self.state.outbox.effects

    def _step(self, now: Ticks, step: Step | None) -> None:
        """Takes a step by the table, and those that follow from it."""
        state = self.state
        while step is not None:
            transition = TRANSITIONS.get((state.role, step.trigger)) or Transition(state.role, None)
            state.role = transition.role
            if transition.action is None:
                return
            step = self.actions[transition.action](now, step.about)

    def _message_received(self, now: Ticks, event: MessageReceived[Message]) -> None:
        sender, message = event
        state = self.state
        if state.role == Role.STOPPED or sender == state.name:
            return
        if message.term > state.term:
            if not self._is_hypothetical(now, message):
                self._step(now, Step(Trigger.NEWER_TERM, message.term))
            elif isinstance(message, VoteRequest) and not message.pre_vote:
                return
        elif message.term < state.term:
            if isinstance(message, (AppendRequest, SnapshotChunk, VoteRequest)):
                self._step(now, Step(Trigger.STALE_REQUEST, event))
            return
        self._step(now, Step(TRIGGERS[type(message)], event))

    def _is_hypothetical(self, now: Ticks, message: Message) -> bool:
        """Whether a message's newer term is not to be adopted.

        A pre-vote names a term that nobody has; and a node that hears a leader lets no other
        disturb it (thesis, 4.2.3).
        """
        if isinstance(message, VoteRequest):
            return message.pre_vote or not self.elections.allows_disruption(now, message)
        return isinstance(message, VoteResponse) and message.pre_vote and message.granted

    def _timer_due(self, now: Ticks, _: TimerDue) -> None:
        self._timer = None
        if self.role not in _WITHOUT_TIMER and now >= self.state.timer_due:
            self._step(now, Step(Trigger.TIMER_EXPIRED))

    def _command_proposed(self, now: Ticks, event: CommandProposed) -> None:
        self._step(now, Step(Trigger.COMMAND, event))

    def _read_requested(self, now: Ticks, event: ReadRequested) -> None:
        self._step(now, Step(Trigger.READ, event))

    def _records_stored(self, now: Ticks, event: RecordsStored) -> None:
        """Lets out what waited for the disk, and counts what this node holds itself."""
        if self.role == Role.STOPPED:
            return
        self.state.outbox.stored(now, event.serial)
        self.replication.advance_commit()

    def _disk_failed(self, now: Ticks, event: DiskFailed) -> None:
        self._step(now, Step(Trigger.DISK_FAILED, event.reason))

    def _count_self_vote(self, now: Ticks, vote: SelfVote) -> None:
        if vote.term == self.term and self.role == Role.CANDIDATE:
            self._step(now, self.elections.add_vote(self.state.name))

    def _set_timer(self) -> None:
        due = self.state.timer_due
        if self.role not in _WITHOUT_TIMER and due != self._timer:
            self._timer = due
            self.state.outbox.emit(SetTimer(due))

    def _apply(self, now: Ticks) -> None:
        """Applies what is committed, and what follows from it."""
        state = self.state
        if state.role == Role.STOPPED:
            return
        self.proposals.apply_committed()
        if state.role == Role.LEADER:
            self.reads.serve()
            if not state.is_voter() and state.log.changes[-1].log_index <= state.applied:
                self._step(now, Step(Trigger.LEADER_REMOVED, "is a voter no longer"))
        self.snapshots.take_if_due()

    # Actions.

    def _become_leader(self, now: Ticks, _: None) -> None:
        self._reset_leadership()
        self.state.leader = self.state.name
        self.replication.begin(now)
        self.reads.begin()
        # Only an entry of its own term lets a leader commit those before it.
        self.replication.append(now, {"part": RAFT_PART, "do": "nothing"}, "", 0, 0)
        self.reads.start_round(now)

    def _reset_leadership(self) -> None:
        self.replication.reset()
        self.reads.reset()
        self.membership.reset()
        self.proposals.reset()

    def _send_heartbeats(self, now: Ticks, _: None) -> Step | None:
        """Checks the quorum, starts a round of heartbeats, and ends what is overdue."""
        settings = self.state.settings
        self.state.timer_due = now + settings.heartbeat_interval
        silence = settings.election_timeout.minimum
        if not self.replication.majority_answers(lambda peer: now - peer.heard_at < silence):
            return Step(Trigger.QUORUM_LOST, "no word of a majority for an election's time")
        self.membership.expire_transfer(now)
        self.reads.start_round(now)
        return None

    def _follow_up_append(self, now: Ticks, event: MessageReceived[AppendResponse]) -> None:
        if self.replication.append_answered(now, event):
            self._follow_up(now, event.sender)

    def _follow_up_snapshot(
        self, now: Ticks, event: MessageReceived[SnapshotChunkResponse]
    ) -> None:
        if self.replication.snapshot_chunk_answered(now, event):
            self._follow_up(now, event.sender)

    def _follow_up(self, now: Ticks, peer: str) -> None:
        """Commits, confirms and sends on, after a peer's answer."""
        self.replication.advance_commit()
        self.reads.confirm_round(now)
        self.membership.continue_transfer()
        self.replication.send_missing(now, peer)

    def _redirect(self, _: Ticks, event: CommandProposed | ReadRequested) -> None:
        """Rejects a command or read: this node doesn't lead."""
        state = self.state
        if state.role == Role.STOPPED:
            rejected = RequestRejected(event.token, "this keeper's disk failed", None, None)
        else:
            retry_after = 0 if state.leader else state.settings.election_timeout.maximum
            rejected = RequestRejected(event.token, "does not lead", retry_after, state.leader)
        state.outbox.emit(rejected)

    def _step_down(self, now: Ticks, reason: str) -> None:
        self.state.outbox.emit(SteppedDown(reason))
        self.proposals.reject_all(reason)
        self.reads.reject_all(reason)
        self.membership.reject_transfer(reason)
        self._reset_leadership()
        self.state.leader = None
        self.state.restart_election_timer(now)

    def _yield_to_term(self, now: Ticks, term: int) -> Step | None:
        self._step_down(now, f"term {term} has begun")
        return self.elections.adopt_term(term)

    def _stop(self, now: Ticks, reason: str) -> None:
        self._step_down(now, "disk: " + reason)
        self.state.outbox.drop_delayed()
        self.snapshots.abort_transfer()
