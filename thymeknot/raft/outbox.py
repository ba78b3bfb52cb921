"""The effects that a node emits, and those that wait until its records are durable."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..interface.clock import Ticks
from .log import Log
from .node_interface import Effect, Persist, Send
from .records import Entry, Record, Snapshot, TruncationRecord


class SelfVote(NamedTuple):
    """A candidate's vote for itself, which counts once it is durable."""

    term: int


class _DurableMark(NamedTuple):
    """Once the Persist with this serial is stored, the log is durable up to `last_index`."""

    serial: int
    last_index: int


class _Delayed(NamedTuple):
    """An item that is released once the Persist with this serial is stored."""

    serial: int
    item: Send | SelfVote


class Outbox:
    """Collects effects in order and delays messages until the records before them are durable.

    Args:
        log: Log of the node.
        max_delayed: Maximum number of delayed items; beyond it the oldest is dropped.
        count_self_vote: Called with a candidate's vote for itself once it is durable.

    Attributes:
        effects: Effects emitted since the last `clear_effects`.
        durable_index: Index up to which the log is durable on this node's disk.
    """

    def __init__(
        self, log: Log, max_delayed: int, count_self_vote: Callable[[Ticks, SelfVote], None]
    ) -> None:
        self._log = log
        self._max_delayed = max_delayed
        self._count_self_vote = count_self_vote
        self.effects: list[Effect] = []
        self._serial = 0  # serial of the last Persist
        self._stored_serial = 0  # serial of the last Persist that is durable
        self.durable_index = log.last_index
        self._durable_marks: deque[_DurableMark] = deque()
        self._delayed: deque[_Delayed] = deque()

    def clear_effects(self) -> None:
        """Starts a new list of effects."""
        self.effects = []

    def emit(self, effect: Effect) -> None:
        """Adds an effect to the list."""
        self.effects.append(effect)

    def persist(self, *records: Record) -> None:
        """Emits a Persist with these records."""
        self._serial += 1
        self.effects.append(Persist(records, True, self._serial))
        if any(isinstance(record, (Entry, TruncationRecord, Snapshot)) for record in records):
            self._durable_marks.append(_DurableMark(self._serial, self._log.last_index))

    def emit_after_sync(self, now: Ticks, item: Send | SelfVote) -> None:
        """Emits an item once all records persisted so far are durable."""
        if self._stored_serial >= self._serial:
            self.emit_now(now, item)
            return
        self._delayed.append(_Delayed(self._serial, item))
        if len(self._delayed) > self._max_delayed:
            self._delayed.popleft()  # the oldest is the most outdated

    def emit_now(self, now: Ticks, item: Send | SelfVote) -> None:
        """Emits a message, or counts a vote for this node, without waiting for the disk."""
        if isinstance(item, SelfVote):
            self._count_self_vote(now, item)
        else:
            self.effects.append(item)

    def mark_stored(self, now: Ticks, serial: int) -> None:
        """Records that all Persists up to this serial are durable; emits what waited for them."""
        self._stored_serial = max(self._stored_serial, serial)
        while self._durable_marks and self._durable_marks[0].serial <= self._stored_serial:
            self.durable_index = max(self.durable_index, self._durable_marks.popleft().last_index)
        while self._delayed and self._delayed[0].serial <= self._stored_serial:
            self.emit_now(now, self._delayed.popleft().item)

    def log_truncated(self, index: int) -> None:
        """Records that the log was truncated: entries from `index` on are no longer durable."""
        self.durable_index = min(self.durable_index, index - 1)
        self._durable_marks = deque(
            _DurableMark(serial, min(last_index, index - 1))
            for serial, last_index in self._durable_marks
        )

    def log_replaced(self, index: int) -> None:
        """Records that the log was replaced with a snapshot up to `index`."""
        self.durable_index = index
        self._durable_marks.clear()

    def drop_delayed(self) -> None:
        """Drops all items that wait for the disk."""
        self._delayed.clear()
        self._durable_marks.clear()
