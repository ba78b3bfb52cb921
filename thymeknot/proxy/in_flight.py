"""A client's request from its arrival until it is answered and its last attempt has ended."""

from typing import TYPE_CHECKING

from ..interface.clock import Ticks
from ..protocol.client import ClientConnection, Command

if TYPE_CHECKING:
    from .attempt import Attempt


class InFlightRequest:
    """One request in flight.

    Attributes:
        id: The id that its client gave it.
        slot: Its number in the proxy's table of requests.
        command: The request as its client worded it.
        connection: The client's connection that its answer belongs to.
        place: The place of its answer among those of the connection.
        ends: When its client stops waiting.
        attempts: All attempts so far, by number.
        out: How many attempts have not ended.
        over: Whether it has had its final answer, or its client has left.
        deadline: The timer for a request that the decisions have missed.
        heir: Whether a repeat of it waits for the outcome of the original's attempts.
    """

    __slots__ = (
        "attempts",
        "command",
        "connection",
        "deadline",
        "ends",
        "heir",
        "id",
        "out",
        "over",
        "place",
        "slot",
    )

    def __init__(
        self, name: str, command: Command, connection: ClientConnection, place: int, ends: Ticks
    ) -> None:
        self.id = name
        self.command = command
        self.connection = connection
        self.place = place
        self.ends = ends
        self.slot: int | None = None
        self.attempts: list[Attempt] = []
        self.out = 0
        self.over = False
        self.deadline: int | None = None
        self.heir = False
