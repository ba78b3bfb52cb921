"""Actions that a decision engine requests from its host."""

from typing import NamedTuple

from .clock import Ticks
from .enums import Verdict


class SendAttempt(NamedTuple):
    """Send an attempt of a request to an endpoint, with a timeout."""

    id: str
    endpoint: str
    timeout: Ticks
    number: int = 0
    """Its index among the attempts of the request; AttemptEnded refers to it."""


class CancelAttempt(NamedTuple):
    """Cancel the attempt with this number."""

    id: str
    number: int


class Reject(NamedTuple):
    """Answer the request with a rejection, which guarantees that it had no effect."""

    id: str
    retry_after: Ticks
    """How long the client should wait before a retry; 0 leaves it open."""


class Fail(NamedTuple):
    """Answer the request with a failure: it may have been executed."""

    id: str


class SetTimer(NamedTuple):
    """Report TimerFired with this token at this time."""

    at: Ticks
    token: int


class ProbeEndpoint(NamedTuple):
    """Check the health of an endpoint."""

    endpoint: str


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: str


class SendPeerMessage(NamedTuple):
    """Send a message to another instance, or to all."""

    peer: int | None
    """The number of the instance; None for all other instances."""
    content: bytes


class SubscribeToEndpoints(NamedTuple):
    """Start or end the subscription to endpoint list updates."""

    on: bool


class FetchEndpoints(NamedTuple):
    """Fetch one full snapshot of the endpoint list."""


class CastVote(NamedTuple):
    """Cast a vote on a stage of a build's rollout."""

    build: int
    stage: int
    verdict: Verdict


class LogNote(NamedTuple):
    """Write a line to the operators' log."""

    text: str


Action = (
    SendAttempt
    | CancelAttempt
    | Reject
    | Fail
    | SetTimer
    | ProbeEndpoint
    | CloseIdleConnections
    | SendPeerMessage
    | SubscribeToEndpoints
    | FetchEndpoints
    | CastVote
    | LogNote
)
