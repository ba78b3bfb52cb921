"""The roles of a node and its state machine as a transition table."""

from collections.abc import Iterable
from enum import Enum, StrEnum, auto
from typing import Any, NamedTuple


class Role(StrEnum):
    """Role of a node. The values are logged."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "prevote"
    """Asks whether it would win an election, before it increments its term (thesis, 9.6)."""
    CANDIDATE = "candidate"
    LEADER = "leader"
    LEARNER = "learner"
    """Receives the log but has no vote."""
    STOPPED = "stopped"
    """Handles no more events because its disk failed."""


class Trigger(Enum):
    """Input of the state machine."""

    TIMER_EXPIRED = auto()
    TIMEOUT_NOW = auto()
    VOTE_RESPONSE = auto()
    ELECTION_WON = auto()
    """A majority granted its vote or pre-vote."""
    NEWER_TERM = auto()
    VOTE_REQUEST = auto()
    APPEND_REQUEST = auto()
    SNAPSHOT_CHUNK = auto()
    STALE_REQUEST = auto()
    """A request with an earlier term."""
    APPEND_RESPONSE = auto()
    SNAPSHOT_CHUNK_RESPONSE = auto()
    COMMAND = auto()
    READ = auto()
    STALLED = auto()
    """A leader handled no event for longer than its lease, for example because it was paused."""
    QUORUM_LOST = auto()
    """A leader got no responses from a majority for an election timeout (thesis, 6.2)."""
    LEADER_REMOVED = auto()
    """A committed configuration no longer lists the leader as a voter."""
    NOT_A_VOTER = auto()
    """The configuration doesn't list this node as a voter."""
    MADE_VOTER = auto()
    """The configuration lists this node as a voter."""
    DISK_FAILED = auto()


class Action(Enum):
    """Action of a transition."""

    START_PRE_VOTE = auto()
    START_ELECTION = auto()
    START_TRANSFER_ELECTION = auto()
    COUNT_VOTE = auto()
    ANSWER_VOTE_REQUEST = auto()
    BECOME_LEADER = auto()
    SEND_HEARTBEATS = auto()
    ADOPT_TERM = auto()
    STEP_DOWN_FOR_TERM = auto()
    APPEND_ENTRIES = auto()
    RECEIVE_SNAPSHOT = auto()
    REJECT_STALE = auto()
    HANDLE_APPEND_RESPONSE = auto()
    HANDLE_SNAPSHOT_RESPONSE = auto()
    PROPOSE = auto()
    READ = auto()
    REJECT_NOT_LEADER = auto()
    STEP_DOWN = auto()
    RESTART_TIMER = auto()
    STOP = auto()


class Transition(NamedTuple):
    """The next role, which is entered before the action runs, and the action."""

    role: Role
    action: Action | None


class Step(NamedTuple):
    """A trigger with its argument. An action may return one, which is handled immediately.

    Attributes:
        trigger: Selects the transition.
        argument: Passed to the action: the event, the newer term or the reason.
    """

    trigger: Trigger
    argument: Any = None


Table = dict[tuple[Role, Trigger], Transition]

_NON_LEADER_VOTERS = (Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE)
_RUNNING_ROLES = (*_NON_LEADER_VOTERS, Role.LEADER, Role.LEARNER)
_NON_LEADER_ROLES = (*_NON_LEADER_VOTERS, Role.LEARNER, Role.STOPPED)


def _transitions_to(
    roles: Iterable[Role], trigger: Trigger, role: Role, action: Action | None
) -> Table:
    """Returns transitions from any of the roles to one role."""
    return {(from_role, trigger): Transition(role, action) for from_role in roles}


def _transitions_within(roles: Iterable[Role], trigger: Trigger, action: Action) -> Table:
    """Returns transitions that keep the role."""
    return {(role, trigger): Transition(role, action) for role in roles}


# A trigger without a transition is ignored.
TRANSITIONS: Table = {
    **_transitions_to(
        _NON_LEADER_VOTERS, Trigger.TIMER_EXPIRED, Role.PRE_CANDIDATE, Action.START_PRE_VOTE
    ),
    **_transitions_within([Role.LEADER], Trigger.TIMER_EXPIRED, Action.SEND_HEARTBEATS),
    **_transitions_to(
        [Role.FOLLOWER], Trigger.TIMEOUT_NOW, Role.CANDIDATE, Action.START_TRANSFER_ELECTION
    ),
    **_transitions_within(
        [Role.PRE_CANDIDATE, Role.CANDIDATE], Trigger.VOTE_RESPONSE, Action.COUNT_VOTE
    ),
    **_transitions_to(
        [Role.PRE_CANDIDATE], Trigger.ELECTION_WON, Role.CANDIDATE, Action.START_ELECTION
    ),
    **_transitions_to([Role.CANDIDATE], Trigger.ELECTION_WON, Role.LEADER, Action.BECOME_LEADER),
    **_transitions_to(_NON_LEADER_VOTERS, Trigger.NEWER_TERM, Role.FOLLOWER, Action.ADOPT_TERM),
    **_transitions_within([Role.LEARNER], Trigger.NEWER_TERM, Action.ADOPT_TERM),
    **_transitions_to([Role.LEADER], Trigger.NEWER_TERM, Role.FOLLOWER, Action.STEP_DOWN_FOR_TERM),
    **_transitions_within(_RUNNING_ROLES, Trigger.VOTE_REQUEST, Action.ANSWER_VOTE_REQUEST),
    **_transitions_to(
        _NON_LEADER_VOTERS, Trigger.APPEND_REQUEST, Role.FOLLOWER, Action.APPEND_ENTRIES
    ),
    **_transitions_within([Role.LEARNER], Trigger.APPEND_REQUEST, Action.APPEND_ENTRIES),
    **_transitions_to(
        _NON_LEADER_VOTERS, Trigger.SNAPSHOT_CHUNK, Role.FOLLOWER, Action.RECEIVE_SNAPSHOT
    ),
    **_transitions_within([Role.LEARNER], Trigger.SNAPSHOT_CHUNK, Action.RECEIVE_SNAPSHOT),
    **_transitions_within(_RUNNING_ROLES, Trigger.STALE_REQUEST, Action.REJECT_STALE),
    **_transitions_within([Role.LEADER], Trigger.APPEND_RESPONSE, Action.HANDLE_APPEND_RESPONSE),
    **_transitions_within(
        [Role.LEADER], Trigger.SNAPSHOT_CHUNK_RESPONSE, Action.HANDLE_SNAPSHOT_RESPONSE
    ),
    **_transitions_within([Role.LEADER], Trigger.COMMAND, Action.PROPOSE),
    **_transitions_within([Role.LEADER], Trigger.READ, Action.READ),
    **_transitions_within(_NON_LEADER_ROLES, Trigger.COMMAND, Action.REJECT_NOT_LEADER),
    **_transitions_within(_NON_LEADER_ROLES, Trigger.READ, Action.REJECT_NOT_LEADER),
    **_transitions_to([Role.LEADER], Trigger.STALLED, Role.FOLLOWER, Action.STEP_DOWN),
    **_transitions_to([Role.LEADER], Trigger.QUORUM_LOST, Role.FOLLOWER, Action.STEP_DOWN),
    **_transitions_to([Role.LEADER], Trigger.LEADER_REMOVED, Role.LEARNER, Action.STEP_DOWN),
    **_transitions_to(_NON_LEADER_VOTERS, Trigger.NOT_A_VOTER, Role.LEARNER, None),
    **_transitions_to([Role.LEARNER], Trigger.MADE_VOTER, Role.FOLLOWER, Action.RESTART_TIMER),
    **_transitions_to(_RUNNING_ROLES, Trigger.DISK_FAILED, Role.STOPPED, Action.STOP),
}
