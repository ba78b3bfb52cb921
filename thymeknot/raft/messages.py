"""The messages between nodes, and their bytes.

Everywhere `term` and `disk_incarnation` are the sender's, but for a granted pre-vote, whose term
is the one that it was asked for. Fields are sent by position: their order must not change.
"""

from typing import NamedTuple

import msgspec

from ..interface.clock import Ticks
from .errors import MessageDecodeError
from .records import Entry, Members


class VoteRequest(NamedTuple):
    """Asks for a vote.

    Attributes:
        term: the term that the vote is for.
        disk_incarnation: the candidate's.
        voter_disk_incarnation: the receiver's, as the candidate's members' list names it.
        pre_vote: ask only whether the vote would be granted (thesis, 9.6).
        last_index: of the candidate's log.
        last_term: of the candidate's log.
        leadership_transfer: the leader wished it, so that its lease is no reason to reject.
    """

    term: int
    disk_incarnation: int
    voter_disk_incarnation: int
    pre_vote: bool
    last_index: int
    last_term: int
    leadership_transfer: bool


class VoteResponse(NamedTuple):
    """The answer to a VoteRequest."""

    term: int
    disk_incarnation: int
    pre_vote: bool
    granted: bool


class AppendRequest(NamedTuple):
    """Entries that follow the one at `previous_index`, or a heartbeat where there are none.

    Attributes:
        term: the leader's.
        disk_incarnation: the leader's.
        previous_index: index of the entry before the first of `entries`.
        previous_term: term of that entry.
        entries: what to append.
        committed: the leader's commit index.
        round: number of the leader's latest round of heartbeats.
    """

    term: int
    disk_incarnation: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    committed: int
    round: int


class AppendResponse(NamedTuple):
    """The answer to an AppendRequest.

    Attributes:
        term: the follower's.
        disk_incarnation: the follower's.
        success: whether the follower's log holds the previous entry.
        match_index: on success, the logs are the same up to there; else the index that the leader
            should try next.
        round: the request's.
    """

    term: int
    disk_incarnation: int
    success: bool
    match_index: int
    round: int


class SnapshotChunk(NamedTuple):
    """A part of a snapshot.

    Attributes:
        term: the leader's.
        disk_incarnation: the leader's.
        log_index: the snapshot's last entry.
        entry_term: that entry's term.
        at: that entry's agreed time.
        members: as of that entry.
        offset: where this part begins, in bytes.
        total: bytes of the whole snapshot.
        content: this part's bytes.
        round: number of the leader's latest round of heartbeats.
    """

    term: int
    disk_incarnation: int
    log_index: int
    entry_term: int
    at: Ticks
    members: Members
    offset: int
    total: int
    content: bytes
    round: int


class SnapshotChunkResponse(NamedTuple):
    """The answer to a SnapshotChunk.

    Attributes:
        term: the follower's.
        disk_incarnation: the follower's.
        log_index: the snapshot's last entry.
        received: bytes of the snapshot that the follower holds so far.
        done: the snapshot is installed.
        round: the chunk's.
    """

    term: int
    disk_incarnation: int
    log_index: int
    received: int
    done: bool
    round: int


class TimeoutNow(NamedTuple):
    """The leader wants the receiver to stand for election at once (thesis, 3.10)."""

    term: int
    disk_incarnation: int


Message = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotChunkResponse
    | TimeoutNow
)

# A message is sent with its place in this table: the order must not change.
MESSAGES: tuple[type[Message], ...] = (
    VoteRequest,
    VoteResponse,
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotChunkResponse,
    TimeoutNow,
)


def encode_message(message: Message) -> bytes:
    """The bytes of a message: msgpack of (kind, fields)."""
    return msgspec.msgpack.encode((MESSAGES.index(type(message)), message))


def decode_message(content: bytes) -> Message:
    """The message of these bytes, whose length is the caller's to bound.

    Raises:
        MessageDecodeError: they are no message.
    """
    try:
        kind, body = msgspec.msgpack.decode(content, type=tuple[int, msgspec.Raw])
        if not 0 <= kind < len(MESSAGES):
            raise MessageDecodeError("no such message")
        return msgspec.msgpack.decode(body, type=MESSAGES[kind])
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise MessageDecodeError(f"not a message: {error}") from error
