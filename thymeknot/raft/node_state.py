"""What all parts of a node share: its place in the cluster, its log, its timer."""

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
        """A number in [0, 1)."""


class NodeState:
    """Shared by the parts of one node.

    Args:
        name: of this node.
        founders: names of the nodes that found the cluster; none if this one is to be taken in.
        settings: what the operator set.
        random_source: for election timeouts.
        recovered: what the disk gave back.
        now: of the node's clock.
        outbox_class: of the outbox.
        count_self_vote: called with a vote for oneself that is on the disk.
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
        # One whose disk is new may not found a cluster again: it waits for a leader's list.
        founds = bool(founders) and recovered.disk_incarnation == 0
        first = initial_snapshot((founders or ()) if founds else ())
        self.log = Log(recovered.snapshot or first, recovered.entries)
        self.committed = self.log.snapshot.log_index
        self.applied = self.committed
        self.outbox = outbox_class(self.log, settings.max_delayed_messages, count_self_vote)
        self.leader: str | None = None
        # As if it had heard a leader just now: what it promised to one before a restart holds.
        self.leader_heard_at = now
        self.role = Role.FOLLOWER if self.is_voter() else Role.LEARNER
        self._random_source = random_source
        self.timer_due = now  # when an election, or a leader's round of heartbeats, is due
        self.restart_election_timer(now)

    def is_voter(self) -> bool:
        """Whether the members' list names this node, with this disk, as a voter."""
        return self.log.members.voters.get(self.name) == self.disk_incarnation

    def has_majority(self, counts: Callable[[str, int], bool]) -> bool:
        """Whether counts(name, disk incarnation) holds for more than half of the voters."""
        voters = self.log.members.voters
        return sum(1 for name, disk in voters.items() if counts(name, disk)) * 2 > len(voters)

    def restart_election_timer(self, now: Ticks) -> None:
        """Draws a new election timeout, from now."""
        minimum, maximum = self.settings.election_timeout
        self.timer_due = now + minimum + int(self._random_source.draw() * (maximum - minimum))

    def heard_leader(self, now: Ticks, leader: str) -> None:
        """A message of this term's leader has come."""
        self.leader = leader
        self.leader_heard_at = now
        self.restart_election_timer(now)

    def membership_step(self) -> Step:
        """Whether this node votes, for the table."""
        return Step(Trigger.MADE_VOTER if self.is_voter() else Trigger.NOT_A_VOTER)

    def commit_to(self, index: int) -> None:
        """Entries up to `index` are committed, as far as they are here."""
        self.committed = max(self.committed, min(index, self.log.last_index))

    def reject(self, token: Hashable, reason: str, retry_after: Ticks | None) -> None:
        """A leader rejects a command or read."""
        self.outbox.emit(RequestRejected(token, reason, retry_after, self.name))
