"""Events that the host of a decision engine reports to it."""

from typing import NamedTuple

from .clock import Ticks
from .enums import EndpointCondition, Outcome, ReleasePhase, UpdateKind


class Endpoint(NamedTuple):
    """An endpoint as service discovery lists it."""

    address: str
    """Its identifier; the host knows where it listens."""
    zone: str
    size: float
    """Its relative capacity."""
    cell: int
    condition: EndpointCondition
    started: Ticks
    """When its process started."""
    machine: str
    build: int


class EndpointUpdate(NamedTuple):
    """Service discovery has sent a list, or what has changed in it."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


class RequestReceived(NamedTuple):
    """A client's request has been read completely."""

    id: str
    request_class: str
    tenant: str | None
    key: str | None
    time_left: Ticks
    """How long its client will still wait."""
    hint: int | None
    """The expected work in ticks of a standard core; rough."""
    is_retry: bool
    """Whether the client says that it has sent the request before."""
    write: bool


class ResponseStarted(NamedTuple):
    """The first byte of a streamed response went to the client.

    No other attempt can serve the request from now on.
    """

    id: str
    endpoint: str
    number: int
    latency: Ticks


class AttemptEnded(NamedTuple):
    """An attempt has ended; each ends once."""

    id: str
    outcome: Outcome
    closed: bool
    """Whether the request has had its final response."""
    latency: Ticks
    endpoint: str
    number: int
    load: tuple[float, ...] | None
    """The load report in the response, with the values that `Settings.load_metrics` names."""


class LateResponseSeen(NamedTuple):
    """A good response came too late or in part.

    It counts for the stickiness of the key alone, not for the attempt.
    """

    key: str
    build: int


class SuspicionReported(NamedTuple):
    """Peers saw this instance of an endpoint fail."""

    endpoint: str
    build: int
    started: Ticks
    until: Ticks
    """Until then it is used last; a moment in the past withdraws the suspicion."""


class ClientDisconnected(NamedTuple):
    """The client of a request has closed its connection."""

    id: str


class TimerFired(NamedTuple):
    """A timer that SetTimer asked for is due."""

    token: int


class ProbeEnded(NamedTuple):
    """A health check has ended."""

    endpoint: str
    outcome: Outcome
    latency: Ticks
    load: tuple[float, ...] | None


class PeerMessage(NamedTuple):
    """Another instance has sent a message."""

    sender: int
    content: bytes


class ReleaseUpdate(NamedTuple):
    """Where the rollout of the newest build stands, pushed or in response to a vote."""

    build: int
    stage: int | None
    """Counted from 0: the index into `Settings.stage_fractions`."""
    phase: ReleasePhase | None
    answers_vote: bool
    outcome: Outcome
    """Other than DONE: the vote did not count, or may not have."""
    cap: float | None
    """The fraction of the requests that the build may be sent, 0 to 1."""
    age: Ticks | None
    """The time since this state began."""


class FleetCounts(NamedTuple):
    """What the platform counted over all instances for one build and class in one period."""

    build: int
    request_class: str
    attempts: int
    failed: int
    latency: Ticks
    age: Ticks


class ComplaintReceived(NamedTuple):
    """A client has found a response wrong that had counted as good."""

    age: Ticks
    endpoint: str
    request_class: str


Event = (
    EndpointUpdate
    | RequestReceived
    | ResponseStarted
    | AttemptEnded
    | LateResponseSeen
    | SuspicionReported
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | ReleaseUpdate
    | FleetCounts
    | ComplaintReceived
)
