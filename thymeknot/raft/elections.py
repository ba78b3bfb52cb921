"""Leader election: pre-votes, elections and votes for other candidates.

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
    """Starts and counts the elections of one node, and votes in those of other nodes."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self._votes: set[str] = set()  # voters that granted the current pre-vote or vote

    def start_pre_vote(self, now: Ticks) -> Step | None:
        """Asks the other voters whether they would vote for this node."""
        state = self.state
        state.leader = None
        state.restart_election_timer(now)
        if not state.is_voter():
            return Step(Trigger.NOT_A_VOTER)
        self._request_votes(now, pre_vote=True, leadership_transfer=False)
        return self.add_vote(state.name)

    def start_election(self, now: Ticks, leadership_transfer: bool = False) -> None:
        """Increments the term, votes for itself and requests the other votes."""
        state = self.state
        state.term += 1
        state.vote = state.name
        state.leader = None
        state.restart_election_timer(now)
        state.outbox.persist(VoteRecord(state.term, state.vote))
        self._request_votes(now, pre_vote=False, leadership_transfer=leadership_transfer)
        state.outbox.emit_after_sync(now, SelfVote(state.term))

    def start_transfer_election(self, now: Ticks, sender: str) -> Step | None:
        """Starts an election at once because the leader transfers leadership to this node."""
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
        """Adds a granted vote; returns the ELECTION_WON step if the votes are a majority."""
        self._votes.add(name)
        has_majority = self.state.has_majority(lambda voter, _: voter in self._votes)
        return Step(Trigger.ELECTION_WON) if has_majority else None

    def count_vote(self, event: MessageReceived[VoteResponse]) -> Step | None:
        """Counts a response to the current pre-vote or vote from a disk that is listed."""
        sender, response = event
        state = self.state
        asked_term = state.term + 1 if response.pre_vote else state.term
        is_valid_vote = (
            response.granted
            and response.pre_vote == (state.role == Role.PRE_CANDIDATE)
            and response.term == asked_term
            and state.log.members.voters.get(sender) == response.disk_incarnation
        )
        return self.add_vote(sender) if is_valid_vote else None

    def allows_disruption(self, now: Ticks, request: VoteRequest) -> bool:
        """Returns whether an election may disrupt this node.

        That is so if the leader asked for it, or if this node doesn't lead and has not heard from
        a leader for the minimum election timeout (thesis, 4.2.3).
        """
        state = self.state
        leader_silent = now - state.leader_heard_at >= state.settings.election_timeout.minimum
        return request.leadership_transfer or (state.role != Role.LEADER and leader_silent)

    def answer_vote_request(self, now: Ticks, event: MessageReceived[VoteRequest]) -> None:
        """Grants or denies a vote or pre-vote.

        The candidate need not be a voter in this node's configuration, which may be older than the
        candidate's. The vote is denied if the request names another disk incarnation of this node,
        the candidate's log is less up to date, or this node heard from a leader recently.
        """
        sender, request = event
        state = self.state
        log = state.log
        up_to_date = (request.last_term, request.last_index) >= (log.last_term, log.last_index)
        eligible = (
            request.voter_disk_incarnation == state.disk_incarnation
            and up_to_date
            and self.allows_disruption(now, request)
        )
        if request.pre_vote:
            granted = eligible and request.term > state.term
        else:
            granted = eligible and state.vote in (None, sender) and state.role != Role.LEADER
            if granted and state.vote is None:
                state.vote = sender
                state.outbox.persist(VoteRecord(state.term, sender))
                state.restart_election_timer(now)
        term = request.term if granted else state.term
        response = VoteResponse(term, state.disk_incarnation, request.pre_vote, granted)
        state.outbox.emit_after_sync(now, Send(sender, response))

    def adopt_term(self, term: int) -> Step | None:
        """Adopts a newer term and clears the vote."""
        state = self.state
        if term > state.term:
            state.term = term
            state.vote = None
            state.leader = None
            state.outbox.persist(VoteRecord(term, None))
        return None if state.is_voter() else Step(Trigger.NOT_A_VOTER)
