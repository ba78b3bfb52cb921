"""State that all components of a node share: term, vote, role, log, commit index and timer."""

from collections.abc import Callable, Collection, Hashable
from typing import Protocol

from ..interface.clock import Ticks
from .log import Log, initial_snapshot
from .node_interface import RequestRejected
from .outbox import Outbox, SelfVote
from .records import Recovered
from .roles import Role, Step, Trigger
from .settings import RaftSettings


class RandomSource(Protocol):
    """A source of random numbers."""

    def draw(self) -> float:
        """Returns a number in [0, 1)."""


class NodeState:
    """State that the components of one node share.

    Args:
        name: Name of this node.
        founders: Names of the nodes that bootstrap the cluster; None if this node joins it.
        settings: Timing and limits.
        random_source: Source of randomness for election timeouts.
        recovered: State that was recovered from the disk.
        now: Current time of the node's clock.
        outbox_class: Class of the outbox.
        count_self_vote: Called with a vote for this node itself once it is durable.
    """

    def __init__(
        self,
        name: str,
        founders: Collection[str] | None,
        *,
        settings: RaftSettings,
        random_source: RandomSource,
        recovered: Recovered,
        now: Ticks,
        outbox_class: type[Outbox],
        count_self_vote: Callable[[Ticks, SelfVote], None],
    ) -> None:
        self.name = name
        self.settings = settings
        self.disk_incarnation = recovered.disk_incarnation
        self.term = recovered.term
        self.vote = recovered.vote
        # A founder that lost its disk must not bootstrap again: it waits for a leader to add it.
        is_founder = bool(founders) and recovered.disk_incarnation == 0
        first_snapshot = initial_snapshot((founders or ()) if is_founder else ())
        self.log = Log(recovered.snapshot or first_snapshot, recovered.entries)
        self.commit_index = self.log.snapshot.log_index
        self.last_applied = self.commit_index
        self.outbox = outbox_class(self.log, settings.max_delayed_messages, count_self_vote)
        self.leader: str | None = None
        # Assume recent contact with a leader, so that a lease granted before a restart is kept.
        self.leader_heard_at = now
        self.role = Role.FOLLOWER if self.is_voter() else Role.LEARNER
        self._random_source = random_source
        self.timer_due = now  # next election, or next round of heartbeats of a leader
        self.restart_election_timer(now)

    def is_voter(self) -> bool:
        """Returns whether the configuration lists this node with this disk as a voter."""
        return self.log.members.voters.get(self.name) == self.disk_incarnation

    def has_majority(self, predicate: Callable[[str, int], bool]) -> bool:
        """Returns whether `predicate(name, disk_incarnation)` holds for a majority of voters."""
        voters = self.log.members.voters
        return sum(1 for name, disk in voters.items() if predicate(name, disk)) * 2 > len(voters)

    def restart_election_timer(self, now: Ticks) -> None:
        """Restarts the election timer with a new random timeout."""
        minimum, maximum = self.settings.election_timeout
        self.timer_due = now + minimum + int(self._random_source.draw() * (maximum - minimum))

    def heard_leader(self, now: Ticks, leader: str) -> None:
        """Records a message from the leader of the current term."""
        self.leader = leader
        self.leader_heard_at = now
        self.restart_election_timer(now)

    def membership_step(self) -> Step:
        """Returns the step that makes this node a voter or learner as the configuration says."""
        return Step(Trigger.MADE_VOTER if self.is_voter() else Trigger.NOT_A_VOTER)

    def commit_to(self, index: int) -> None:
        """Advances the commit index to `index`, but not beyond the last entry of the log."""
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))

    def reject(self, token: Hashable, reason: str, retry_after: Ticks | None) -> None:
        """Rejects a command or read as the leader."""
        self.outbox.emit(RequestRejected(token, reason, retry_after, self.name))
