"""Requests in flight: from their arrival until the response is sent and all attempts ended."""

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from ..interface.clock import Ticks
from ..interface.enums import Idempotency
from ..interface.settings import RequestClass
from ..policy.memory_budget import MemoryBudget
from ..protocol.client import ClientConnection
from ..protocol.command import Command
from ..state.key_hash import table_key
from ..state.slot_table import SlotTable
from ..state.timer_queue import TimerQueue
from .ended_ids import EndedIds

if TYPE_CHECKING:
    from .attempt import Attempt

OVERDUE_MARGIN: Ticks = 50
"""Ticks after its deadline when a request fails if the engine has not responded to it."""


class InFlightRequest:
    """One request in flight.

    Attributes:
        id: The id that the client gave it.
        slot: Its slot in the table of requests; None before it is added.
        command: The request as received from the client.
        connection: The client's connection, to which the response is sent.
        sequence: The position of its response among those of the connection.
        size: The size of the command in bytes.
        opened_by: The connection on which it was first received, to which its memory is charged.
        expires_at: When the client stops waiting, in ticks.
        attempts: All attempts so far, by number.
        attempts_in_flight: How many attempts have not ended.
        closed: Whether the final response was sent, or the client has disconnected.
        overdue_timer: The timer that fails the request if the engine has not responded.
        repeated: Whether the client sent it again and waits for the first copy's attempts.
    """

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "closed",
        "command",
        "connection",
        "expires_at",
        "id",
        "opened_by",
        "overdue_timer",
        "repeated",
        "sequence",
        "size",
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
        self.opened_by = connection
        self.size = command.size()
        self.sequence = sequence
        self.expires_at = expires_at
        self.slot: int | None = None
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.closed = False
        self.overdue_timer: int | None = None
        self.repeated = False


class RequestTable:
    """The requests in flight, and the ids that must not be used again for a while.

    Attributes:
        timers: All timers of the program.
        by_slot: The requests by slot.
        by_id: The slot of each request by its id.
        memory: The memory that the requests take.
        may_have_run: Ids, as `table_key` gives them, of requests that may have run and were
            released without a response.
        ended_ids: Ids of requests that may have run and were answered.
    """

    def __init__(
        self,
        timers: TimerQueue,
        memory: MemoryBudget,
        request_classes: Mapping[str, RequestClass],
    ) -> None:
        self._request_classes = request_classes
        self.timers = timers
        self.memory = memory
        self.by_slot: SlotTable[InFlightRequest] = SlotTable()
        self.by_id: dict[str, int] = {}
        self.may_have_run: set[str] = set()
        self.ended_ids = EndedIds()

    def find(self, name: str) -> InFlightRequest | None:
        """Returns the request in flight with this id, if any."""
        slot = self.by_id.get(name)
        return None if slot is None else self.by_slot.get(slot)

    def id_may_have_run(self, name: str) -> bool:
        """Returns whether a request with this id may have run and was released."""
        if not self.may_have_run and not self.ended_ids:
            return False
        return table_key(name) in self.may_have_run or self.ended_ids.contains(
            name, self.timers.clock()
        )

    def add(self, request: InFlightRequest) -> None:
        """Adds a request."""
        request.slot = self.by_id[request.id] = self.by_slot.add(request)
        self.memory.charge(request.opened_by, request.size)

    def release(self, request: InFlightRequest) -> None:
        """Removes a request if it is closed and has no attempt in flight.

        It lets go of its attempts, which refer to it: otherwise both would be kept until the next
        full garbage collection.
        """
        if (
            request.closed
            and not request.attempts_in_flight
            and request.slot is not None
            and self.by_id.get(request.id) == request.slot
        ):
            del self.by_id[request.id]
            self.by_slot.remove(request.slot)
            self.timers.cancel(request.overdue_timer)
            self.memory.release(request.opened_by, request.size)
            self._remember_id(request)
            request.attempts = []

    def _remember_id(self, request: InFlightRequest) -> None:
        """Remembers the id of an answered request that may have run and must not run again.

        Another copy of it may wait to be read, for as long as its client would wait at most.
        `block_id` does this for a request whose client has left.
        """
        request_class = self._request_classes[request.command.request_class]
        if (
            not request.connection.client_gone
            and request_class.idempotency != Idempotency.IDEMPOTENT
            and any(attempt.may_have_run for attempt in request.attempts)
        ):
            until = request.expires_at + request_class.outer_limit
            self.ended_ids.add(request.id, self.timers.clock(), until)

    def block_id(
        self, request: InFlightRequest, attempts: Iterable["Attempt"], idempotency: Idempotency
    ) -> None:
        """Blocks the id of a request that may have run, until the client would have timed out.

        Called if the client disconnected before the response; idempotent requests may run again.

        Args:
            request: The request, which may have been released.
            attempts: Its attempts.
            idempotency: That of its class.
        """
        if (
            idempotency != Idempotency.IDEMPOTENT
            and not self.id_may_have_run(request.id)
            and any(attempt.may_have_run for attempt in attempts)
        ):
            blocked = table_key(request.id)
            self.may_have_run.add(blocked)
            self.timers.add(request.expires_at, self.may_have_run.discard, blocked)
