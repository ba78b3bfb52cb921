"""Events that an instance is told of."""

from typing import NamedTuple

from .clock import Ticks
from .enums import EndpointCondition, Outcome, ReleasePhase, UpdateKind


class Endpoint(NamedTuple):
    """An endpoint as discovery lists it. `address` names it; where it listens is the network's matter."""

    address: str
    zone: str
    size: float
    cell: int
    condition: EndpointCondition
    started: Ticks
    machine: str
    build: int


class EndpointUpdate(NamedTuple):
    """Discovery has told a list, or what has changed of it."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


class RequestReceived(NamedTuple):
    """A client's request is complete. `time_left` is what its client will still wait."""

    id: str
    request_class: str
    tenant: str | None
    key: str | None
    time_left: Ticks
    hint: int | None
    is_retry: bool
    write: bool


class ResponseStarted(NamedTuple):
    """The first byte of a streamed response went to the client: no other attempt can serve it now."""

    id: str
    endpoint: str
    number: int
    latency: Ticks


class AttemptEnded(NamedTuple):
    """The one end of an attempt. `closed`: the request has had its final answer."""

    id: str
    outcome: Outcome
    closed: bool
    latency: Ticks
    endpoint: str
    number: int
    load: tuple[float, ...] | None


class LateResponseSeen(NamedTuple):
    """A good response came too late or in part: it counts for the key alone, not for the attempt."""

    key: str
    build: int


class SuspicionReported(NamedTuple):
    """Peers saw this very endpoint fail: until then it is used last; an earlier moment takes that back."""

    endpoint: str
    build: int
    started: Ticks
    until: Ticks


class ClientDisconnected(NamedTuple):
    """The client of a request has closed its connection."""

    id: str


class TimerFired(NamedTuple):
    """A timer that was asked for is due."""

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
    """How the newest build stands, told unasked or as the answer to a vote."""

    build: int
    stage: int | None
    phase: ReleasePhase | None
    answers_vote: bool
    outcome: Outcome
    cap: float | None
    age: Ticks | None


class FleetCounts(NamedTuple):
    """What the platform has counted over all instances, for one build and class in one period."""

    build: int
    request_class: str
    attempts: int
    failed: int
    latency: Ticks
    age: Ticks


class ComplaintReceived(NamedTuple):
    """A client found an answer wrong that counted as good."""

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
