"""What a keeper is told and what it asks for, the messages among keepers, the records on a disk. Values only.

`life` is the number a disk got when it was first used: 0 for those that founded the fleet, else drawn anew. A keeper
that lost its disk comes back under another life, and no vote or acknowledgement of it counts until the members' list
names that one: it can't vote as if it knew what it lost.
"""

from typing import Any, NamedTuple, Optional

import msgspec


class Members(NamedTuple):
    voters: dict[str, int]  # name -> life
    learners: dict[str, int]


class Entry(NamedTuple):
    """origin "": the leader's own. at: agreed time, tenths of a millisecond."""

    index: int
    term: int
    at: int
    origin: str
    incarnation: int
    number: int
    command: dict[str, Any]


# Records on a disk, in the order of their Persist; an Entry is one as well.


class Voted(NamedTuple):
    term: int
    vote: Optional[str]


class Cut(NamedTuple):
    """Entries from this index on are gone."""

    index: int


class Snapshot(NamedTuple):
    """whole: it came from a leader and replaces the log; else the entries after it stay."""

    index: int
    term: int
    at: int
    members: Members
    content: bytes
    whole: bool = False


class Recovered(NamedTuple):
    """What a disk gave back. See `log.replayed`."""

    life: int
    term: int = 0
    vote: Optional[str] = None
    snapshot: Optional[Snapshot] = None
    entries: tuple = ()


# Messages. term, life: the sender's, but for a granted pre-vote, which names the term it was asked for.


class Ask(NamedTuple):
    """A vote is asked for. you: the life that the asker's members' list names. pre: only whether it would be granted.
    forced: the leader itself wished it, so that its lease is no reason to refuse."""

    term: int
    life: int
    you: int
    pre: bool
    last_index: int
    last_term: int
    forced: bool


class Vote(NamedTuple):
    term: int
    life: int
    pre: bool
    granted: bool


class Append(NamedTuple):
    term: int
    life: int
    previous: int
    previous_term: int
    entries: tuple[Entry, ...]
    committed: int
    round: int


class Appended(NamedTuple):
    """match: the sender's log is the leader's up to there, if ok; else where the leader should try next."""

    term: int
    life: int
    ok: bool
    match: int
    round: int


class Image(NamedTuple):
    """A part of a snapshot; total in bytes."""

    term: int
    life: int
    index: int
    entry_term: int
    at: int
    members: Members
    offset: int
    total: int
    part: bytes
    round: int


class Imaged(NamedTuple):
    """upto: bytes held so far. done: the snapshot is taken in."""

    term: int
    life: int
    index: int
    upto: int
    done: bool
    round: int


class Hurry(NamedTuple):
    """The leader wants its place taken."""

    term: int
    life: int


MESSAGES = (Ask, Vote, Append, Appended, Image, Imaged, Hurry)


def to_bytes(message):
    return msgspec.msgpack.encode((MESSAGES.index(type(message)), message))


def from_bytes(content):
    """The message, or one sentence on what is wrong with the bytes. Their length is the caller's to bound."""
    try:
        kind, body = msgspec.msgpack.decode(content, type=tuple[int, msgspec.Raw])
        if not 0 <= kind < len(MESSAGES):
            return "no such message"
        return msgspec.msgpack.decode(body, type=MESSAGES[kind])
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as wrong:
        return f"not a message: {wrong}"


# Events.


class Received(NamedTuple):
    sender: str
    message: Any


class TimerDue(NamedTuple):
    pass


class Proposed(NamedTuple):
    """token: the caller's, hashable, given back with the outcome. command: see core for part "keepers"."""

    token: Any
    origin: str
    incarnation: int
    number: int
    command: dict


class ReadAsked(NamedTuple):
    token: Any


class Stored(NamedTuple):
    """All of Persist up to this `upto` is on the disk."""

    upto: int


class DiskFailed(NamedTuple):
    reason: str


# Effects, to be carried out in their order.


class Persist(NamedTuple):
    """sync: tell Stored(upto) only once it would outlast a loss of power."""

    records: tuple
    sync: bool
    upto: int


class Send(NamedTuple):
    peer: str
    message: Any


class Answered(NamedTuple):
    token: Any
    reply: dict


class ReadReady(NamedTuple):
    """The machine, as it stands now (index: how far it is applied), may be read for this token."""

    token: Any
    index: int


class Refused(NamedTuple):
    """again: tenths of a millisecond until it is worth while, None if never. leader: whom to ask, if known. A reason
    that begins with "unknown" leaves the outcome open: ask again under the same number."""

    token: Any
    reason: str
    again: Optional[int]
    leader: Optional[str]


class Applied(NamedTuple):
    index: int
    at: int
    command: dict
    reply: Optional[dict]


class SetTimer(NamedTuple):
    """Wants TimerDue then, by the clock of `handle`; the one before it is void."""

    at: int


class StoodDown(NamedTuple):
    reason: str
