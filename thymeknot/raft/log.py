"""The in-memory log: entries after a base index, the last snapshot and the configurations."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..interface.clock import Ticks
from .records import Entry, Members, Snapshot

RAFT_PART = "keepers"
"""The `part` of commands that Raft handles itself: membership changes and no-op entries."""


class MembershipChange(NamedTuple):
    """The configuration that applies from `log_index` on."""

    log_index: int
    members: Members


def members_set_by(entry: Entry) -> Members | None:
    """Returns the configuration that an entry sets, or None for any other entry."""
    command = entry.command
    if command.get("part") != RAFT_PART or "voters" not in command:
        return None
    return Members(dict(command["voters"]), dict(command["learners"]))


def initial_snapshot(names: Iterable[str]) -> Snapshot:
    """Returns the empty snapshot of a new cluster with these voters, all with incarnation 0."""
    return Snapshot(0, 0, 0, Members(dict.fromkeys(names, 0), {}), b"")


class Log:
    """The entries after `base_index`, with the term and agreed time of the entry at the base.

    Attributes:
        snapshot: The last snapshot. The base lies at most `retained_entries` before it.
        entries: The entries after the base.
        base_index: Index of the last entry that was dropped from memory.
        base_term: Term of that entry.
        base_at: Agreed time of that entry.
        membership_changes: The configuration at the base and all later ones.
    """

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self.reset(snapshot)
        for entry in entries:
            self.append(entry)

    def reset(self, snapshot: Snapshot) -> None:
        """Replaces the whole log with a snapshot."""
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self._command_sizes: list[int] = []  # encoded size of each entry's command
        self.base_index = snapshot.log_index
        self.base_term = snapshot.term
        self.base_at = snapshot.at
        self.membership_changes = [MembershipChange(snapshot.log_index, snapshot.members)]

    @property
    def last_index(self) -> int:
        """Index of the last entry, or the base index if there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at `last_index`."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def last_at(self) -> Ticks:
        """Agreed time of the entry at `last_index`."""
        return self.entries[-1].at if self.entries else self.base_at

    @property
    def members(self) -> Members:
        """The latest configuration in the log; it applies even if uncommitted (thesis, 4.1)."""
        return self.membership_changes[-1].members

    def members_at(self, index: int) -> Members:
        """Returns the configuration as of an index."""
        return next(members for at, members in reversed(self.membership_changes) if at <= index)

    def term(self, index: int) -> int | None:
        """Returns the term of an entry; None if it lies before the base or after the last entry."""
        base = self.base_index
        if index == base:
            return self.base_term
        return self.entries[index - base - 1].term if base < index <= self.last_index else None

    def entry(self, index: int) -> Entry:
        """Returns the entry at an index, which must be after the base."""
        return self.entries[index - self.base_index - 1]

    def entries_from(self, start: int, max_count: int, max_bytes: int) -> tuple[Entry, ...]:
        """Returns the entries from `start` on within the limits, but at least one if any exists."""
        first = start - self.base_index - 1
        size = 0
        end = first
        while end < len(self.entries) and end - first < max_count:
            size += self._command_sizes[end]
            if size > max_bytes and end > first:
                break
            end += 1
        return tuple(self.entries[first:end])

    def append(self, entry: Entry) -> None:
        """Appends an entry, and its configuration if it sets one."""
        self.entries.append(entry)
        self._command_sizes.append(len(msgspec.msgpack.encode(entry.command)))
        members = members_set_by(entry)
        if members:
            self.membership_changes.append(MembershipChange(entry.log_index, members))

    def truncate(self, index: int) -> None:
        """Removes the entries from `index` on and the configurations that they set."""
        first = index - self.base_index - 1
        del self.entries[first:]
        del self._command_sizes[first:]
        while self.membership_changes[-1].log_index >= index and len(self.membership_changes) > 1:
            self.membership_changes.pop()

    def compact(self, snapshot: Snapshot, retained_entries: int) -> None:
        """Drops the entries that a snapshot includes except the last `retained_entries` of them."""
        base = max(self.base_index, snapshot.log_index - retained_entries)
        self.snapshot = snapshot
        if base <= self.base_index:
            return
        base_entry = self.entry(base)
        members = self.members_at(base)
        del self.entries[: base - self.base_index]
        del self._command_sizes[: base - self.base_index]
        self.base_index = base
        self.base_term = base_entry.term
        self.base_at = base_entry.at
        later_changes = [change for change in self.membership_changes if change.log_index > base]
        self.membership_changes = [MembershipChange(base, members), *later_changes]

    def conflict_index(self, index: int, term: int) -> int | None:
        """Checks for the entry that precedes the entries of an AppendRequest (Raft, 5.3).

        Returns:
            None if the log has an entry with this index and term, or if the index lies before the
            base. Otherwise the index that the leader should try next: the one after the last
            entry if the log is too short, else the first one of the conflicting term.
        """
        own_term = self.term(index)
        if own_term == term or index < self.base_index:
            return None
        if own_term is None:
            return self.last_index + 1
        while index > self.base_index + 1 and self.term(index - 1) == own_term:
            index -= 1
        return max(index, self.base_index + 1)
