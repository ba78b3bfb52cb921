"""State of a request and of its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..interface.clock import Ticks
from ..interface.events import RequestReceived
from ..interface.settings import RequestClass

if TYPE_CHECKING:
    from .endpoint_state import EndpointState


class RequestState:
    """A request without a final response, or with attempts still in flight.

    Attributes:
        id: Identifier of the request, as the engine's host knows it.
        key: The request's key, or its id if it has none.
        state: Its phase, one of `policy.request_lifecycle.RequestPhase`.
        deadline: Time until which the client waits.
        latency_deadline: Time until which a response meets the latency objective.
        streaming: Whether the first byte of its response was sent to the client.
        attempts: In order of sending; an attempt's number is its index.
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
        """Returns the number of attempts that have not ended."""
        return sum(attempt.in_flight for attempt in self.attempts)

    def first_possible_run(self) -> AttemptState | None:
        """Returns the first attempt that may have run; deduplication windows start with it."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class AttemptState:
    """An attempt, with the endpoint as listed at the time of sending.

    Attributes:
        endpoint_state: The current state of the endpoint.
        endpoint: The endpoint as it was listed when the attempt was sent.
        sent_at: Time of sending.
        in_flight: Whether the attempt has not ended.
        may_have_run: Whether the attempt has not been proved not to have run.
    """

    def __init__(self, endpoint_state: EndpointState, now: Ticks) -> None:
        self.endpoint_state = endpoint_state
        self.endpoint = endpoint_state.listed
        self.sent_at = now
        self.in_flight = True
        self.may_have_run = True
