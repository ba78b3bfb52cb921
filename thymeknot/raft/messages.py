"""Messages between nodes and their encoding.

`term` and `disk_incarnation` are the sender's, except that a granted pre-vote carries the term
that was asked for. Fields are sent by position, so their order must not change.
"""

from typing import NamedTuple

import msgspec

from ..interface.clock import Ticks
from .errors import MessageDecodeError
from .records import Entry, Members


class VoteRequest(NamedTuple):
    """A candidate's RequestVote.

    Attributes:
        term: Term that the vote is for.
        disk_incarnation: The candidate's.
        voter_disk_incarnation: The receiver's, as listed in the candidate's configuration.
        pre_vote: Only asks whether the vote would be granted (thesis, 9.6).
        last_index: Index of the last entry of the candidate's log.
        last_term: Term of that entry.
        leadership_transfer: The leader asked for this election, so voters don't reject it
            because they heard from a leader recently.
    """

    term: int
    disk_incarnation: int
    voter_disk_incarnation: int
    pre_vote: bool
    last_index: int
    last_term: int
    leadership_transfer: bool


class VoteResponse(NamedTuple):
    """Response to a VoteRequest."""

    term: int
    disk_incarnation: int
    pre_vote: bool
    granted: bool


class AppendRequest(NamedTuple):
    """A leader's AppendEntries; a heartbeat if it has no entries.

    Attributes:
        term: The leader's.
        disk_incarnation: The leader's.
        previous_index: Index of the entry that precedes `entries`.
        previous_term: Term of that entry.
        entries: Entries to append.
        commit_index: The leader's commit index.
        round: Number of the leader's latest round of heartbeats.
    """

    term: int
    disk_incarnation: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


class AppendResponse(NamedTuple):
    """Response to an AppendRequest.

    Attributes:
        term: The follower's.
        disk_incarnation: The follower's.
        success: Whether the follower's log holds the previous entry.
        match_index: On success, the index up to which the logs match; otherwise the next index
            that the leader should try.
        round: Heartbeat round of the request.
    """

    term: int
    disk_incarnation: int
    success: bool
    match_index: int
    round: int


class SnapshotChunk(NamedTuple):
    """One chunk of a snapshot (InstallSnapshot).

    Attributes:
        term: The leader's.
        disk_incarnation: The leader's.
        log_index: Index of the last entry that the snapshot includes.
        entry_term: Term of that entry.
        at: Agreed time of that entry.
        members: Configuration as of that entry.
        offset: Byte offset of this chunk in the snapshot.
        total: Size of the whole snapshot in bytes.
        content: Bytes of this chunk.
        round: Number of the leader's latest round of heartbeats.
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
    """Response to a SnapshotChunk.

    Attributes:
        term: The follower's.
        disk_incarnation: The follower's.
        log_index: Index of the last entry that the snapshot includes.
        received: Number of bytes of the snapshot that the follower has received so far.
        done: The snapshot is installed, or the follower already has its entries.
        round: Heartbeat round of the chunk.
    """

    term: int
    disk_incarnation: int
    log_index: int
    received: int
    done: bool
    round: int


class TimeoutNow(NamedTuple):
    """Tells the receiver to start an election at once, to transfer leadership (thesis, 3.10)."""

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

# Messages are sent with their position in this table, so its order must not change.
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
    """Encodes a message as msgpack of (kind, fields)."""
    return msgspec.msgpack.encode((MESSAGES.index(type(message)), message))


def decode_message(content: bytes) -> Message:
    """Decodes a message. The caller has to limit the length of `content`.

    Raises:
        MessageDecodeError: The bytes are not a valid message.
    """
    try:
        kind, body = msgspec.msgpack.decode(content, type=tuple[int, msgspec.Raw])
        if not 0 <= kind < len(MESSAGES):
            raise MessageDecodeError(f"unknown message kind {kind}")
        return msgspec.msgpack.decode(body, type=MESSAGES[kind])
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise MessageDecodeError(f"malformed message: {error}") from error
