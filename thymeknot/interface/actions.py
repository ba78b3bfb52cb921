"""Actions that a decision engine asks its host to carry out."""

from typing import NamedTuple

from .clock import Ticks
from .enums import Verdict


class SendAttempt(NamedTuple):
    """Send the request to this endpoint, with this timeout."""

    id: str
    endpoint: str
    timeout: Ticks
    number: int = 0
    """Its number among the attempts of the request: its end is told by it."""


class CancelAttempt(NamedTuple):
    """Cancel the attempt of this number of a request."""

    id: str
    number: int


class Reject(NamedTuple):
    """The final response: rejected, with the promise that the request has had no effect."""

    id: str
    retry_after: Ticks
    """When the client may try again; 0 says nothing about it."""


class Fail(NamedTuple):
    """The final response: failed, and the request may have run."""

    id: str


class SetTimer(NamedTuple):
    """Report TimerFired with this token at this moment."""

    at: Ticks
    token: int


class ProbeEndpoint(NamedTuple):
    """Check the health of an endpoint."""

    endpoint: str


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: str


class SendPeerMessage(NamedTuple):
    """Send a message to another instance."""

    peer: int | None
    """The number of the instance; None for all others."""
    content: bytes


class SubscribeToEndpoints(NamedTuple):
    """Start or end the subscription to the endpoint list."""

    on: bool


class FetchEndpoints(NamedTuple):
    """Fetch a full snapshot of the endpoint list once."""


class CastVote(NamedTuple):
    """Vote on a stage of the rollout of a build."""

    build: int
    stage: int
    verdict: Verdict


class LogNote(NamedTuple):
    """Log a line for the operators."""

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
