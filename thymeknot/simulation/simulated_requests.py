"""Requests of a simulated day and the attempts to deliver them."""

from dataclasses import dataclass, field

from ..interface.clock import Ticks


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """One attempt to deliver a request to a server.

    Attributes:
        instance: Number of the instance that sends the attempt.
        incarnation: The start of the instance to which the attempt belongs.
        request_id: Identifies the request at that instance.
        number: Index of the attempt among the request's attempts.
        lane: The request's class.
        key: The request's key.
        work: Mean service time in ticks on one core of speed 1.
        sent_at: When the attempt was sent.
        pod_name: The server's address.
        build: Build that the server ran at that time; 0 if there was no such server.
        has_ended: Whether the attempt has ended.
        has_connection: Whether the attempt holds a connection.
    """

    instance: int
    incarnation: int
    request_id: str
    number: int
    lane: str
    key: str
    work: float
    sent_at: Ticks
    pod_name: str
    build: int
    has_ended: bool = False
    has_connection: bool = False


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A request that an instance has accepted.

    Attributes:
        lane: The request's class.
        key: The request's key.
        tenant: Number of the tenant.
        first_sent_at: When the client first sent the request.
        deadline: When the client stops waiting.
        client_retries: How often the client sent the request before.
        work: Mean service time in ticks on one core of speed 1.
        attempts: The request's attempts, indexed by number.
    """

    lane: str
    key: str
    tenant: int
    first_sent_at: Ticks
    deadline: Ticks
    client_retries: int
    work: float
    attempts: list[SimulatedAttempt] = field(default_factory=list)

    def all_attempts_ended(self) -> bool:
        """Returns whether all attempts of the request have ended."""
        return all(attempt.has_ended for attempt in self.attempts)
