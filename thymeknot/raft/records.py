"""Log entries and the records that a node persists, as plain values.

A disk incarnation is a number that identifies a node's storage. It is 0 for the founders of the
cluster and drawn at random otherwise. A node that lost its disk restarts with a new incarnation,
and its votes and acknowledgements don't count until the configuration lists that incarnation:
it no longer knows the votes and entries that it had acknowledged before.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from ..interface.clock import Ticks
from .errors import RecordOrderError


class Members(NamedTuple):
    """The cluster configuration: disk incarnations of voters and learners by node name."""

    voters: dict[str, int]
    learners: dict[str, int]


class Entry(NamedTuple):
    """One entry of the log.

    Attributes:
        log_index: Position in the log; the first entry has 1.
        term: Term of the leader that appended the entry.
        at: Agreed time, which never decreases along the log.
        origin: Name of the client session; "" for entries that the leader adds itself.
        incarnation: Incarnation of the client session.
        number: Sequence number of the command within the session's incarnation.
        command: The command that is applied to the state machine.
    """

    log_index: int
    term: int
    at: Ticks
    origin: str
    incarnation: int
    number: int
    command: dict[str, Any]


class VoteRecord(NamedTuple):
    """The latest term that a node has seen and the candidate that it voted for in that term."""

    term: int
    vote: str | None


class TruncationRecord(NamedTuple):
    """Removes the entries from `log_index` on."""

    log_index: int


class Snapshot(NamedTuple):
    """The state after the entry at `log_index`.

    Attributes:
        log_index: Index of the last entry that the snapshot includes.
        term: Term of that entry.
        at: Agreed time of that entry.
        members: Configuration as of that entry.
        content: The encoded state machine and client sessions.
        replaces_log: The snapshot was sent by a leader and replaces the whole log; otherwise the
            entries after `log_index` are kept.
    """

    log_index: int
    term: int
    at: Ticks
    members: Members
    content: bytes
    replaces_log: bool = False


Record = Entry | VoteRecord | TruncationRecord | Snapshot
"""A record on the disk. Records are stored in the order in which a node persists them."""


class Recovered(NamedTuple):
    """State that a node recovered from its disk at startup.

    Attributes:
        disk_incarnation: Incarnation of the disk.
        term: Latest term that the node had seen.
        vote: Candidate that the node voted for in that term, or None.
        snapshot: The last snapshot, or None.
        entries: Log entries after the snapshot.
    """

    disk_incarnation: int
    term: int = 0
    vote: str | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


def drop_entries_from(entries: list[Entry], index: int) -> None:
    """Removes the entries from `index` on from a list that is sorted by index."""
    while entries and entries[-1].log_index >= index:
        entries.pop()


def replay_records(records: Iterable[Record], disk_incarnation: int) -> Recovered:
    """Replays the records of a disk in order and returns the resulting state.

    Raises:
        RecordOrderError: The index of an entry doesn't follow that of the entry before it.
    """
    vote = VoteRecord(0, None)
    snapshot: Snapshot | None = None
    entries: list[Entry] = []
    for record in records:
        if isinstance(record, Entry):
            base = snapshot.log_index if snapshot else 0
            last = entries[-1].log_index if entries else base
            if record.log_index != last + 1:
                raise RecordOrderError(f"log entry {record.log_index} follows entry {last}")
            entries.append(record)
        elif isinstance(record, VoteRecord):
            vote = record
        elif isinstance(record, TruncationRecord):
            drop_entries_from(entries, record.log_index)
        else:
            snapshot = record
            kept_entries = [] if record.replaces_log else entries
            entries = [entry for entry in kept_entries if entry.log_index > record.log_index]
    return Recovered(disk_incarnation, vote.term, vote.vote, snapshot, tuple(entries))
