"""What the log consists of and what a node keeps on its disk. Values only.

A disk incarnation is the number that a disk got when it was first used: 0 for the nodes that
founded the cluster, else drawn anew. A node that lost its disk comes back under another one, and
none of its votes or acknowledgements count until the members' list names the new one: it can't
vote as if it knew what it lost.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ..interface.clock import Ticks
from .errors import RecordOrderError


class Members(NamedTuple):
    """Disk incarnations of the voters and the learners, by node name."""

    voters: dict[str, int]
    learners: dict[str, int]


class Entry(NamedTuple):
    """One entry of the log.

    Attributes:
        log_index: its place in the log, from 1.
        term: the term of the leader that appended it.
        at: agreed time, which never goes back along the log.
        origin: the client session's name; "" for the leader's own entries.
        incarnation: of the client session.
        number: of the command within the session's incarnation.
        command: what the state machine applies.
    """

    log_index: int
    term: int
    at: Ticks
    origin: str
    incarnation: int
    number: int
    command: dict[str, Any]


class VoteRecord(NamedTuple):
    """The term a node has seen last, and whom it voted for in it."""

    term: int
    vote: str | None


class TruncationRecord(NamedTuple):
    """Entries from this index on are removed."""

    log_index: int


class Snapshot(NamedTuple):
    """The state after the entry at `log_index`.

    Attributes:
        log_index: the last entry that the snapshot holds.
        term: that entry's term.
        at: that entry's agreed time.
        members: the members as of that entry.
        content: the state machine and the client sessions, as bytes.
        replaces_log: it came from a leader and replaces the log; else the entries after it stay.
    """

    log_index: int
    term: int
    at: Ticks
    members: Members
    content: bytes
    replaces_log: bool = False


Record = Entry | VoteRecord | TruncationRecord | Snapshot
"""What is stored on a disk, in the order in which a node persists it."""


class Recovered(NamedTuple):
    """What a disk gave back at a start."""

    disk_incarnation: int
    term: int = 0
    vote: str | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


def drop_entries_from(entries: list[Entry], index: int) -> None:
    """Removes the entries at `index` and after it from the end of a list."""
    while entries and entries[-1].log_index >= index:
        entries.pop()


def replay_records(records: Iterable[Record], disk_incarnation: int) -> Recovered:
    """What a disk's records come to.

    Raises:
        RecordOrderError: an entry doesn't follow the one before it.
    """
    vote = VoteRecord(0, None)
    snapshot: Snapshot | None = None
    entries: list[Entry] = []
    for record in records:
        if isinstance(record, Entry):
            base = snapshot.log_index if snapshot else 0
            last = entries[-1].log_index if entries else base
            if record.log_index != last + 1:
                raise RecordOrderError(f"entry {record.log_index} after {last}")
            entries.append(record)
        elif isinstance(record, VoteRecord):
            vote = record
        elif isinstance(record, TruncationRecord):
            drop_entries_from(entries, record.log_index)
        else:
            snapshot = record
            kept = [] if record.replaces_log else entries
            entries = [entry for entry in kept if entry.log_index > record.log_index]
    return Recovered(disk_incarnation, vote.term, vote.vote, snapshot, tuple(entries))
