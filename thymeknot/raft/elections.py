"""Elections: pre-votes, votes, and the votes given to others.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), 5.2
and 5.4.1; Ongaro's thesis (2014), 4.2.3 (disruptive servers) and 9.6 (pre-vote).
"""

from ..interface.clock import Ticks
from .messages import VoteRequest, VoteResponse
from .node_interface import MessageReceived, Send
from .node_state import NodeState
from .outbox import SelfVote
from .records import VoteRecord
from .roles import Role, Step, Trigger


class Elections:
    """One node's elections, and its votes in others'."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self._votes: set[str] = set()  # who voted, or would, for what is being asked now

    def start_pre_vote(self, now: Ticks) -> Step | None:
        """Asks the others whether they would vote for this node."""
        state = self.state
        state.leader = None
        state.restart_election_timer(now)
        if not state.is_voter():
            return Step(Trigger.NOT_A_VOTER)
        self._request_votes(now, pre_vote=True, leadership_transfer=False)
        return self.add_vote(state.name)

    def start_election(self, now: Ticks, leadership_transfer: bool = False) -> None:
        """Begins a new term and asks for votes in it."""
        state = self.state
        state.term += 1
        state.vote = state.name
        state.leader = None
        state.restart_election_timer(now)
        state.outbox.persist(VoteRecord(state.term, state.vote))
        self._request_votes(now, pre_vote=False, leadership_transfer=leadership_transfer)
        state.outbox.emit_after_sync(now, SelfVote(state.term))

    def start_transfer_election(self, now: Ticks, sender: str) -> Step | None:
        """Begins a new term at the leader's wish."""
        if sender != self.state.leader or not self.state.is_voter():
            return Step(Trigger.NEWER_TERM, self.state.term)
        self.start_election(now, leadership_transfer=True)
        return None

    def _request_votes(self, now: Ticks, *, pre_vote: bool, leadership_transfer: bool) -> None:
        state = self.state
        self._votes = set()
        for name, disk_incarnation in state.log.members.voters.items():
            if name != state.name:
                request = VoteRequest(
                    term=state.term + pre_vote,
                    disk_incarnation=state.disk_incarnation,
                    voter_disk_incarnation=disk_incarnation,
                    pre_vote=pre_vote,
                    last_index=state.log.last_index,
                    last_term=state.log.last_term,
                    leadership_transfer=leadership_transfer,
                )
                state.outbox.emit_after_sync(now, Send(name, request))

    def add_vote(self, name: str) -> Step | None:
        """Counts a vote; the step that follows if it makes a majority."""
        self._votes.add(name)
        won = self.state.has_majority(lambda voter, _: voter in self._votes)
        return Step(Trigger.ELECTION_WON) if won else None

    def count_vote(self, event: MessageReceived[VoteResponse]) -> Step | None:
        """Counts a vote for what is being asked now, if the members' list names its disk."""
        sender, response = event
        state = self.state
        asked_term = state.term + 1 if response.pre_vote else state.term
        counts = (
            response.granted
            and response.pre_vote == (state.role == Role.PRE_CANDIDATE)
            and response.term == asked_term
            and state.log.members.voters.get(sender) == response.disk_incarnation
        )
        return self.add_vote(sender) if counts else None

    def allows_disruption(self, now: Ticks, request: VoteRequest) -> bool:
        """Whether an election may begin: nobody leads here, or the leader wishes it."""
        state = self.state
        leader_silent = now - state.leader_heard_at >= state.settings.election_timeout.minimum
        return request.leadership_transfer or (state.role != Role.LEADER and leader_silent)

    def answer_vote_request(self, now: Ticks, event: MessageReceived[VoteRequest]) -> None:
        """Gives or denies a vote, whether the candidate is a voter here or not.

        This node's members' list may be older than the candidate's. It denies the vote if the
        request names another of its disks, the candidate's log is older, or a leader is alive.
        """
        sender, request = event
        state = self.state
        log = state.log
        up_to_date = (request.last_term, request.last_index) >= (log.last_term, log.last_index)
        able = (
            request.voter_disk_incarnation == state.disk_incarnation
            and up_to_date
            and self.allows_disruption(now, request)
        )
        if request.pre_vote:
            granted = able and request.term > state.term
        else:
            granted = able and state.vote in (None, sender) and state.role != Role.LEADER
            if granted and state.vote is None:
                state.vote = sender
                state.outbox.persist(VoteRecord(state.term, sender))
                state.restart_election_timer(now)
        term = request.term if granted else state.term
        response = VoteResponse(term, state.disk_incarnation, request.pre_vote, granted)
        state.outbox.emit_after_sync(now, Send(sender, response))

    def adopt_term(self, term: int) -> Step | None:
        """Takes over a term that others have begun."""
        state = self.state
        if term > state.term:
            state.term = term
            state.vote = None
            state.leader = None
            state.outbox.persist(VoteRecord(term, None))
        return None if state.is_voter() else Step(Trigger.NOT_A_VOTER)
