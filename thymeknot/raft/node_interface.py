"""What a node is told (events) and what it wants done (effects). Values only."""

from collections.abc import Hashable
from typing import Any, Generic, NamedTuple, TypeVar

from ..interface.clock import Ticks
from .messages import Message
from .records import Record

Reply = dict[str, Any]
"""A reply of the state machine, or of the nodes themselves."""


MessageT_co = TypeVar("MessageT_co", bound=Message, covariant=True)


class MessageReceived(NamedTuple, Generic[MessageT_co]):
    """Another node's message has come."""

    sender: str
    message: MessageT_co


class TimerDue(NamedTuple):
    """The moment of the last SetTimer has come."""


class CommandProposed(NamedTuple):
    """A client wants a command in the log.

    Attributes:
        token: the caller's, given back with the outcome.
        origin: the client session's name.
        incarnation: of the client session.
        number: of the command within the session's incarnation.
        command: for the state machine, or a change of members (see `membership`).
    """

    token: Hashable
    origin: str
    incarnation: int
    number: int
    command: dict[str, Any]


class ReadRequested(NamedTuple):
    """A client wants to read the state machine."""

    token: Hashable


class RecordsStored(NamedTuple):
    """All of Persist up to this serial is on the disk."""

    serial: int


class DiskFailed(NamedTuple):
    """The disk takes nothing more."""

    reason: str


Event = (
    MessageReceived[Message]
    | TimerDue
    | CommandProposed
    | ReadRequested
    | RecordsStored
    | DiskFailed
)


class Persist(NamedTuple):
    """Write these records, and tell RecordsStored once they would outlast a loss of power."""

    records: tuple[Record, ...]
    sync: bool
    serial: int


class Send(NamedTuple):
    """Send a message to another node. It may get lost."""

    peer: str
    message: Message


class CommandCompleted(NamedTuple):
    """The reply to a proposed command."""

    token: Hashable
    reply: Reply | None


class ReadReady(NamedTuple):
    """The state machine, as it stands now, may be read for this token.

    Attributes:
        token: the caller's.
        log_index: the last entry that was applied.
    """

    token: Hashable
    log_index: int


class RequestRejected(NamedTuple):
    """A command or read that was not accepted, or whose outcome is unknown.

    Attributes:
        token: the caller's.
        reason: where it begins with "unknown" the outcome is open: retry under the same number.
        retry_after: until a retry is worth while; None if it never is.
        leader: whom to ask, if known.
    """

    token: Hashable
    reason: str
    retry_after: Ticks | None
    leader: str | None


class EntryApplied(NamedTuple):
    """An entry was committed and applied."""

    log_index: int
    at: Ticks
    command: dict[str, Any]
    reply: Reply | None


class SetTimer(NamedTuple):
    """Tell TimerDue at this moment of `handle`'s clock; the timer before it is void."""

    at: Ticks


class SteppedDown(NamedTuple):
    """The node leads no longer, or its disk failed."""

    reason: str


Effect = (
    Persist
    | Send
    | CommandCompleted
    | ReadReady
    | RequestRejected
    | EntryApplied
    | SetTimer
    | SteppedDown
)
"""Effects are carried out in the order in which a node gives them."""
