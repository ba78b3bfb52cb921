"""A client's request from its arrival until it is answered and its last attempt has ended."""

from typing import TYPE_CHECKING

from ..interface.clock import Ticks
from ..interface.enums import Idempotency
from ..protocol.client import ClientConnection
from ..protocol.command import Command
from ..state.slot_table import SlotTable
from ..state.timer_queue import TimerQueue

if TYPE_CHECKING:
    from .attempt import Attempt


class InFlightRequest:
    """One request in flight.

    Attributes:
        id: The id that its client gave it.
        slot: Its number in the proxy's table of requests.
        command: The request as received from the client.
        connection: The client's connection that gets its response.
        sequence: The position of its response among those of the connection.
        expires_at: When its client stops waiting.
        attempts: All attempts so far, by number.
        attempts_in_flight: How many attempts have not ended.
        closed: Whether it has had its final response, or its client has disconnected.
        overdue_timer: Fires if the engine has left the request without a response.
        repeated: Whether a repeat of it waits for the result of the first copy's attempts.
    """

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "closed",
        "command",
        "connection",
        "expires_at",
        "id",
        "overdue_timer",
        "repeated",
        "sequence",
        "slot",
    )

    def __init__(
        self,
        name: str,
        command: Command,
        connection: ClientConnection,
        sequence: int,
        expires_at: Ticks,
    ) -> None:
        self.id = name
        self.command = command
        self.connection = connection
        self.sequence = sequence
        self.expires_at = expires_at
        self.slot: int | None = None
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.closed = False
        self.overdue_timer: int | None = None
        self.repeated = False


class RequestTable:
    """The requests in flight, and the ids that may not be used again for a while.

    Attributes:
        timers: All timers of the program.
        by_slot: The requests by their number.
        by_id: The number of each request by its id.
        may_have_run: Ids of requests that may have run and were released without a response.
    """

    def __init__(self, timers: TimerQueue) -> None:
        self.timers = timers
        self.by_slot: SlotTable[InFlightRequest] = SlotTable()
        self.by_id: dict[str, int] = {}
        self.may_have_run: set[str] = set()

    def find(self, name: str) -> InFlightRequest | None:
        """Returns the request of this id, if there is one."""
        slot = self.by_id.get(name)
        return None if slot is None else self.by_slot.get(slot)

    def release(self, request: InFlightRequest) -> None:
        """Releases a closed request that has no attempt in flight."""
        if (
            request.closed
            and not request.attempts_in_flight
            and request.slot is not None
            and self.by_id.get(request.id) == request.slot
        ):
            del self.by_id[request.id]
            self.by_slot.remove(request.slot)
            self.timers.cancel(request.overdue_timer)

    def block_id(self, request: InFlightRequest, idempotency: Idempotency) -> None:
        """Blocks the id of a request that may have run, until its client would have timed out.

        Called for a request released without a response. An idempotent one may run again.
        """
        if (
            idempotency != Idempotency.IDEMPOTENT
            and request.id not in self.may_have_run
            and any(attempt.may_have_run for attempt in request.attempts)
        ):
            self.may_have_run.add(request.id)
            self.timers.add(request.expires_at, self.may_have_run.discard, request.id)
