"""Events that the host of a decision engine reports to it."""

from typing import NamedTuple

from .clock import Ticks
from .enums import EndpointCondition, Outcome, ReleasePhase, UpdateKind


class Endpoint(NamedTuple):
    """An endpoint as service discovery lists it."""

    address: str
    """Its identifier; the host maps it to a network address."""
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
    """Service discovery has sent a full list or a delta, or a fetch has failed."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


class RequestReceived(NamedTuple):
    """A complete request has been read from a client."""

    id: str
    request_class: str
    tenant: str | None
    key: str | None
    time_left: Ticks
    """How much longer the client will wait."""
    hint: int | None
    """A rough estimate of the CPU time, in ticks of a standard core."""
    is_retry: bool
    """Whether the client marked the request as a retry."""
    write: bool


class ResponseStarted(NamedTuple):
    """The first byte of a streamed response was sent to the client.

    From now on no other attempt can serve the request.
    """

    id: str
    endpoint: str
    number: int
    latency: Ticks


class AttemptEnded(NamedTuple):
    """An attempt has ended; reported exactly once for each attempt."""

    id: str
    outcome: Outcome
    closed: bool
    """Whether the request has received its final response."""
    latency: Ticks
    endpoint: str
    number: int
    load: tuple[float, ...] | None
    """The load report in the response: the values named by `Settings.load_metrics`, in order."""


class LateResponseSeen(NamedTuple):
    """A successful response arrived late, or in part.

    It makes the key sticky, but does not change the outcome of the attempt.
    """

    key: str
    build: int


class SuspicionReported(NamedTuple):
    """Peers have observed failures at an endpoint's current process."""

    endpoint: str
    build: int
    started: Ticks
    until: Ticks
    """Until then the endpoint is only used as a last resort; a past time ends the suspicion."""


class ClientDisconnected(NamedTuple):
    """The client of a request has disconnected."""

    id: str


class TimerFired(NamedTuple):
    """A timer set by SetTimer is due."""

    token: int


class ProbeEnded(NamedTuple):
    """A health check has ended."""

    endpoint: str
    outcome: Outcome
    latency: Ticks
    load: tuple[float, ...] | None


class PeerMessage(NamedTuple):
    """A message from another instance."""

    sender: int
    content: bytes


class ReleaseUpdate(NamedTuple):
    """The state of the newest build's rollout, pushed by the platform or in response to a vote."""

    build: int
    stage: int | None
    """The index into `Settings.stage_fractions`, from 0."""
    phase: ReleasePhase | None
    answers_vote: bool
    outcome: Outcome
    """If other than DONE, the vote was not counted, or possibly not."""
    cap: float | None
    """The maximum fraction of requests for the build, 0 to 1."""
    age: Ticks | None
    """The time since this state began."""


class FleetCounts(NamedTuple):
    """Fleet-wide counts of one period by the platform, for one build and request class."""

    build: int
    request_class: str
    attempts: int
    failed: int
    latency: Ticks
    age: Ticks


class ComplaintReceived(NamedTuple):
    """A client reports that a response counted as successful was wrong."""

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
