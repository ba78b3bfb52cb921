"""Input events and output effects of a node, as plain values."""

from collections.abc import Hashable
from typing import Any, Generic, NamedTuple, TypeVar

from ..interface.clock import Ticks
from .messages import Message
from .records import Record

Reply = dict[str, Any]
"""A reply of the state machine, or of Raft itself for membership changes."""


MessageT_co = TypeVar("MessageT_co", bound=Message, covariant=True)


class MessageReceived(NamedTuple, Generic[MessageT_co]):
    """A message from another node was received."""

    sender: str
    message: MessageT_co


class TimerDue(NamedTuple):
    """The time of the last SetTimer has been reached."""


class CommandProposed(NamedTuple):
    """A client proposes a command for the log.

    Attributes:
        token: Chosen by the caller; the effect with the outcome carries it.
        origin: Name of the client session.
        incarnation: Incarnation of the client session.
        number: Sequence number of the command within the session's incarnation.
        command: For the state machine, or a membership change (see `membership`).
    """

    token: Hashable
    origin: str
    incarnation: int
    number: int
    command: dict[str, Any]


class ReadRequested(NamedTuple):
    """A client requests a linearizable read of the state machine."""

    token: Hashable


class RecordsStored(NamedTuple):
    """The records of all Persist effects up to this serial are durable."""

    serial: int


class DiskFailed(NamedTuple):
    """The storage failed and accepts no more writes."""

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
    """Write these records and report RecordsStored once they are durable.

    Attributes:
        records: Records in the order in which they have to be stored.
        sync: Whether the records have to be durable before RecordsStored is reported.
        serial: Increases with each Persist of a node; RecordsStored repeats it.
    """

    records: tuple[Record, ...]
    sync: bool
    serial: int


class Send(NamedTuple):
    """Send a message to another node. Delivery is not guaranteed."""

    peer: str
    message: Message


class CommandCompleted(NamedTuple):
    """A proposed command was applied, now or earlier under the same sequence number.

    Attributes:
        token: Of the CommandProposed event.
        reply: The reply to the command.
    """

    token: Hashable
    reply: Reply | None


class ReadReady(NamedTuple):
    """A requested read may be served from the current state of the state machine.

    Attributes:
        token: Of the ReadRequested event.
        log_index: Index of the last applied entry.
    """

    token: Hashable
    log_index: int


class RequestRejected(NamedTuple):
    """A command or read was rejected, or its outcome is unknown.

    Attributes:
        token: Of the event that is answered.
        reason: If it begins with "unknown", the command may still be committed: it has to be
            retried with the same sequence number.
        retry_after: Time to wait before a retry; None if a retry can't succeed on this node.
        leader: Name of the leader, if known.
    """

    token: Hashable
    reason: str
    retry_after: Ticks | None
    leader: str | None


class EntryApplied(NamedTuple):
    """A committed entry was applied.

    Attributes:
        log_index: Index of the entry.
        at: Agreed time of the entry.
        command: Command of the entry.
        reply: The state machine's reply; None for an entry that Raft itself appended.
    """

    log_index: int
    at: Ticks
    command: dict[str, Any]
    reply: Reply | None


class SetTimer(NamedTuple):
    """Report TimerDue at this time of the clock passed to `handle`; replaces the last timer."""

    at: Ticks


class SteppedDown(NamedTuple):
    """The node is no longer the leader, or it stopped because its disk failed."""

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
"""Effects have to be carried out in the order in which a node returns them."""
