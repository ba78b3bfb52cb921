"""The log in memory: entries after a base, the snapshot behind it, who were members at which index."""

import msgspec

from .messages import Cut, Entry, Members, Recovered, Snapshot, Voted

KEEPERS = "keepers"  # the part of commands that concern the keepers themselves


def named_members(entry):
    """The members that an entry sets, or None."""
    command = entry.command
    if entry.command.get("part") != KEEPERS or "voters" not in command:
        return None
    return Members(dict(command["voters"]), dict(command["learners"]))


class Log:
    def __init__(self, snapshot, entries=()):
        self.reset(snapshot)
        for entry in entries:
            self.append(entry)

    def reset(self, snapshot):
        """All that is known is this snapshot."""
        self.snapshot, self.entries, self.sizes = snapshot, [], []
        self.base, self.base_term, self.base_at = snapshot.index, snapshot.term, snapshot.at
        self.changes = [(snapshot.index, snapshot.members)]

    @property
    def last(self):
        return self.base + len(self.entries)

    @property
    def last_term(self):
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def last_at(self):
        return self.entries[-1].at if self.entries else self.base_at

    @property
    def members(self):
        """The latest ones, agreed or not: a change counts from where it stands in the log (thesis, 4.1)."""
        return self.changes[-1][1]

    def members_at(self, index):
        return next(members for at, members in reversed(self.changes) if at <= index)

    def term(self, index):
        """None for what is behind the base or was never here."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last else None

    def entry(self, index):
        return self.entries[index - self.base - 1]

    def some(self, start, most, most_bytes):
        """Entries from `start` on, within the limits, but at least one if there is one."""
        first = start - self.base - 1
        size, end = 0, first
        while end < len(self.entries) and end - first < most:
            size += self.sizes[end]
            if size > most_bytes and end > first:
                break
            end += 1
        return tuple(self.entries[first:end])

    def append(self, entry):
        self.entries.append(entry)
        self.sizes.append(len(msgspec.msgpack.encode(entry.command)))
        members = named_members(entry)
        if members:
            self.changes.append((entry.index, members))

    def cut(self, index):
        """Takes away the entries from `index` on, and what they said of the members."""
        del self.entries[index - self.base - 1 :], self.sizes[index - self.base - 1 :]
        while self.changes[-1][0] >= index and len(self.changes) > 1:
            self.changes.pop()

    def compact(self, snapshot, keep):
        """Forgets what the snapshot holds, but for the last `keep` entries of it."""
        base = max(self.base, snapshot.index - keep)
        self.snapshot = snapshot
        if base > self.base:
            last = self.entry(base)
            members = self.members_at(base)
            del self.entries[: base - self.base], self.sizes[: base - self.base]
            self.base, self.base_term, self.base_at = base, last.term, last.at
            self.changes = [(base, members)] + [
                change for change in self.changes if change[0] > base
            ]

    def conflict(self, index, term):
        """None if the log holds that entry; else the index a leader should try as the next one: behind a log that is
        too short, or the first of the term that differs (Raft, 5.3)."""
        mine = self.term(index)
        if mine == term or index < self.base:
            return None
        if mine is None:
            return self.last + 1
        while index > self.base + 1 and self.term(index - 1) == mine:
            index -= 1
        return max(index, self.base + 1)


def founded(names):
    """The snapshot before the first entry."""
    return Snapshot(0, 0, 0, Members(dict.fromkeys(names, 0), {}), b"")


def replayed(records, life):
    """What a disk's records, in their order, come to. Raises ValueError where they don't follow each other."""
    term, vote, snapshot, entries = 0, None, None, []
    for record in records:
        if type(record) is Entry:
            last = entries[-1].index if entries else snapshot.index if snapshot else 0
            if record.index != last + 1:
                raise ValueError(f"entry {record.index} after {last}")
            entries.append(record)
        elif type(record) is Voted:
            term, vote = record
        elif type(record) is Cut:
            while entries and entries[-1].index >= record.index:
                entries.pop()
        elif type(record) is Snapshot:
            snapshot = record
            entries = [] if record.whole else [one for one in entries if one.index > record.index]
    return Recovered(life, term, vote, snapshot, tuple(entries))
