"""What an instance remembers of a request and of its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..interface.clock import Ticks
from ..interface.events import RequestReceived
from ..interface.settings import RequestClass

if TYPE_CHECKING:
    from .endpoint_state import EndpointState


class RequestState:
    """A request that was received and has not had its final answer, or has attempts in flight.

    Attributes:
        id: names the request to the caller of the engine.
        key: the request's key or, where it has none, its id.
        state: where it is in its life, as `policy.request_lifecycle` counts.
        deadline: after this its client waits no longer.
        latency_deadline: until this an answer meets the latency objective.
        streaming: whether the first byte of its response went to the client.
        attempts: in the order in which they were sent; an attempt's number is its index.
    """

    def __init__(
        self, received: RequestReceived, request_class: RequestClass, now: Ticks, state: str
    ) -> None:
        self.id = received.id
        self.request_class = request_class
        self.key = received.key or received.id
        self.state = state
        self.deadline = now + received.time_left
        self.latency_deadline = now + request_class.latency_objective
        self.streaming = False
        self.attempts: list[AttemptState] = []

    def in_flight(self) -> int:
        """How many of its attempts have not ended."""
        return sum(attempt.in_flight for attempt in self.attempts)

    def first_possible_run(self) -> AttemptState | None:
        """The first attempt that is not proved not to have run: idempotency counts from it."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class AttemptState:
    """An attempt, with the endpoint as it was listed when the attempt was sent."""

    def __init__(self, endpoint_state: EndpointState, now: Ticks) -> None:
        self.endpoint_state = endpoint_state
        self.endpoint = endpoint_state.listed
        self.sent_at = now
        self.in_flight = True
        self.may_have_run = True
