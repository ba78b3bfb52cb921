"""Actions that an instance asks for."""

from typing import NamedTuple

from .clock import Ticks
from .enums import Verdict


class SendAttempt(NamedTuple):
    """Send the request to this endpoint, with this time-out."""

    id: str
    endpoint: str
    timeout: Ticks


class CancelAttempt(NamedTuple):
    """Give up the attempt of this number."""

    id: str
    number: int


class Reject(NamedTuple):
    """The final answer: refused, with the promise of no effect. `retry_after`: 0 says nothing of when."""

    id: str
    retry_after: Ticks


class Fail(NamedTuple):
    """The final answer: failed, and it may have run."""

    id: str


class SetTimer(NamedTuple):
    """Tell TimerFired with this token at this moment."""

    at: Ticks
    token: int


class ProbeEndpoint(NamedTuple):
    """Check the health of an endpoint."""

    endpoint: str


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: str


class SendPeerMessage(NamedTuple):
    """Send a message to another instance, or to all if `peer` is None."""

    peer: int | None
    content: bytes


class SubscribeToEndpoints(NamedTuple):
    """Ask for the endpoint list, or no longer."""

    on: bool


class FetchEndpoints(NamedTuple):
    """Ask for the whole endpoint list once."""


class CastVote(NamedTuple):
    """Vote on a stage of a build."""

    build: int
    stage: int
    verdict: Verdict


class LogNote(NamedTuple):
    """Log a line for those on call."""

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
