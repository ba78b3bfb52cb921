"""Requests of a simulated day, and their attempts on the way to a server or at it."""

from dataclasses import dataclass, field

from ..interface.clock import Ticks


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """An attempt of a request.

    Attributes:
        instance: Whose it is.
        life: Counts the starts of the instance.
        name: The request's name at that instance.
        number: Its number among the request's attempts.
        lane: The request's class.
        key: The request's key.
        work: Mean ticks on one core of speed 1.
        sent_at: When it was sent.
        pod: The server's address.
        build: What the server ran then; 0 where there is none.
        over: Whether it has ended.
        has_connection: Whether it has a connection.
    """

    instance: int
    life: int
    name: str
    number: int
    lane: str
    key: str
    work: float
    sent_at: Ticks
    pod: str
    build: int
    has_ended: bool = False
    has_connection: bool = False


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A request that an instance has taken.

    Attributes:
        lane: Its class.
        key: Its key.
        tenant: Number of its tenant.
        first: When its client asked first.
        ends: When its client waits no longer.
        tries: How often its client asked before.
        work: Mean ticks on one core of speed 1.
        attempts: Its attempts, by their numbers.
    """

    lane: str
    key: str
    tenant: int
    first_asked_at: Ticks
    deadline: Ticks
    earlier_tries: int
    work: float
    attempts: list[SimulatedAttempt] = field(default_factory=list)

    def is_over(self) -> bool:
        """Returns whether all of its attempts have ended."""
        return all(attempt.has_ended for attempt in self.attempts)
