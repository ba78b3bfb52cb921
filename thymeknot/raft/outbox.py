"""The effects that a node asks for, and what must wait until its disk has synced."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..interface.clock import Ticks
from .log import Log
from .node_interface import Effect, Persist, Send
from .records import Entry, Record, Snapshot, TruncationRecord


class SelfVote(NamedTuple):
    """A vote for oneself, which counts once it is on the disk."""

    term: int


class _DurableMark(NamedTuple):
    """Once this serial is stored, the log is on the disk up to this index."""

    serial: int
    last_index: int


class _Delayed(NamedTuple):
    """An item that goes out once this serial is stored."""

    serial: int
    item: Send | SelfVote


class Outbox:
    """Collects effects in order. A message that acknowledges something waits for the disk.

    Args:
        log: the node's.
        max_delayed: items that wait; the oldest beyond them is dropped.
        count_self_vote: called with a vote for oneself that is on the disk.
    """

    def __init__(
        self, log: Log, max_delayed: int, count_self_vote: Callable[[Ticks, SelfVote], None]
    ) -> None:
        self._log = log
        self._max_delayed = max_delayed
        self._count_self_vote = count_self_vote
        self.effects: list[Effect] = []
        self._serial = 0  # of the last Persist
        self._stored_serial = 0  # of the last Persist that is on the disk
        self.durable_index = log.last_index  # the log is on the disk up to there
        self._marks: deque[_DurableMark] = deque()
        self._delayed: deque[_Delayed] = deque()

    def begin(self) -> None:
        """Begins a new list of effects."""
        self.effects = []

    def emit(self, effect: Effect) -> None:
        """Asks for an effect."""
        self.effects.append(effect)

    def persist(self, *records: Record) -> None:
        """Asks for records to be written."""
        self._serial += 1
        self.effects.append(Persist(records, True, self._serial))
        if any(isinstance(record, (Entry, TruncationRecord, Snapshot)) for record in records):
            self._marks.append(_DurableMark(self._serial, self._log.last_index))

    def emit_after_sync(self, now: Ticks, item: Send | SelfVote) -> None:
        """Lets an item out once all that was persisted so far is on the disk."""
        if self._stored_serial >= self._serial:
            self.emit_now(now, item)
            return
        self._delayed.append(_Delayed(self._serial, item))
        if len(self._delayed) > self._max_delayed:
            self._delayed.popleft()  # the oldest says the least by now

    def emit_now(self, now: Ticks, item: Send | SelfVote) -> None:
        """Lets an item out."""
        if isinstance(item, SelfVote):
            self._count_self_vote(now, item)
        else:
            self.effects.append(item)

    def stored(self, now: Ticks, serial: int) -> None:
        """All of Persist up to this serial is on the disk: what waited for it goes out."""
        self._stored_serial = max(self._stored_serial, serial)
        while self._marks and self._marks[0].serial <= self._stored_serial:
            self.durable_index = max(self.durable_index, self._marks.popleft().last_index)
        while self._delayed and self._delayed[0].serial <= self._stored_serial:
            self.emit_now(now, self._delayed.popleft().item)

    def log_truncated(self, index: int) -> None:
        """The log's entries from `index` on are no longer durable."""
        self.durable_index = min(self.durable_index, index - 1)
        self._marks = deque(
            _DurableMark(serial, min(last_index, index - 1)) for serial, last_index in self._marks
        )

    def log_replaced(self, index: int) -> None:
        """The log was replaced by a snapshot that ends at `index`."""
        self.durable_index = index
        self._marks.clear()

    def drop_delayed(self) -> None:
        """Nothing that waits for the disk goes out any more."""
        self._delayed.clear()
        self._marks.clear()
