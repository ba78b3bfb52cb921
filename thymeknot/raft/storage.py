"""Persistent storage of a node: a directory with an append-only segment and a snapshot file.

Each record is framed (see `record_frames`); its body is msgpack of (kind, fields). The first record
of a segment is its header: the number of records ever written before it and the disk incarnation.
A segment is self-contained. Each snapshot and each start write a new segment and rename it into
place atomically; if there are two, the one with the higher number is valid. The snapshot record of
a segment names the file with the snapshot. The old files are deleted only after the new segment
exists, so `max_bytes` must have room for two snapshots and two copies of the log.

A directory that doesn't match the acknowledged state in the lineage file (see `lineage`) is moved
aside, and the node starts empty with a new disk incarnation; its votes don't count until the
configuration lists that incarnation.
"""

import errno
import os
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import msgspec

from .errors import DamagedStorageError
from .file_system import FileSystem
from .lineage import Acknowledged, Lineage
from .record_frames import frame, read_frames
from .records import (
    Entry,
    Record,
    Recovered,
    Snapshot,
    TruncationRecord,
    VoteRecord,
    drop_entries_from,
    replay_records,
)

# Records are stored with their position in this table, so its order must not change.
RECORD_KINDS: tuple[type[Record], ...] = (Entry, VoteRecord, TruncationRecord, Snapshot)
ENTRY_KIND = RECORD_KINDS.index(Entry)
TRUNCATION_KIND = RECORD_KINDS.index(TruncationRecord)
SNAPSHOT_KIND = RECORD_KINDS.index(Snapshot)
SEGMENT_HEADER_KIND = len(RECORD_KINDS)
"""Kind of the header, the first record of a segment."""
MAX_SNAPSHOT_FILE_BYTES = 1 << 32
"""Maximum size of the record in a snapshot file."""
SEGMENT_SUFFIX = ".seg"
SNAPSHOT_SUFFIX = ".snap"
TEMPORARY_SUFFIX = ".part"
"""Suffix of a file that is not completely written yet."""
NUMBER_DIGITS = 12
"""Digits of the number in a file name, so that names sort in the order of the numbers."""


class WriteFault(NamedTuple):
    """Why a write failed. It is returned, not raised, from the thread that writes."""

    reason: str


class Opened(NamedTuple):
    """Result of opening the storage.

    Attributes:
        recovered: The state that was read from the directory.
        warnings: Messages for the log, about a truncated last record or a directory moved aside.
    """

    recovered: Recovered
    warnings: tuple[str, ...]


class _Segment(NamedTuple):
    """Content of a segment: its records after the header, and warnings for the log."""

    records: list[Record]
    warnings: list[str]


class RaftStorage:
    """Stores the records of one node.

    Args:
        folder: Directory that only this node uses.
        lineage_path: Path of the lineage file, preferably on another disk.
        new_incarnation: Returns a disk incarnation that no other disk has, from 1 to 2**63 - 1.
        max_bytes: Maximum total size of the files in the directory.
        files: The file system; by default that of the operating system.
    """

    def __init__(
        self,
        folder: str,
        lineage_path: str,
        new_incarnation: Callable[[], int],
        max_bytes: int = 1 << 30,
        files: FileSystem | None = None,
    ) -> None:
        self.folder = folder
        self.lineage_path = lineage_path
        self._new_incarnation = new_incarnation
        self._max_bytes = max_bytes
        self._files = files or FileSystem()
        self._lineage_file = Lineage(lineage_path, self._files)
        self._segment: int | None = None  # file descriptor of the current segment
        self._segment_number = 0
        self._disk_incarnation = 0
        self._record_count = 0  # records ever written under this disk incarnation
        self._total_bytes = 0  # size of all files in the directory
        self._vote = VoteRecord(0, None)
        self._fault: WriteFault | None = None

    def open(self, bootstrap: bool = False) -> Opened:
        """Reads the directory and starts a new segment.

        Args:
            bootstrap: This node bootstraps a new cluster, which requires unused storage.

        Returns:
            The recovered state, and warnings for the log.

        Raises:
            DamagedStorageError: The directory is damaged, or `bootstrap` is set for used storage.
            OSError: The directory can't be read or written.
        """
        self._files.makedirs(self.folder, exist_ok=True)
        self._lineage_file.create_folder()
        acknowledged = self._lineage_file.read()
        names = self._files.listdir(self.folder)
        segments = sorted(name for name in names if name.endswith(SEGMENT_SUFFIX))
        if bootstrap and (acknowledged or segments):
            raise DamagedStorageError(
                f"{self.folder} or {self.lineage_path} was used before:"
                " can't bootstrap a new cluster"
            )
        records: list[Record] = []
        warnings: list[str] = []
        if segments:
            records, warnings = self._read_segment(segments[-1])
        distrust_reason = self._distrust_reason(acknowledged, bool(segments))
        if distrust_reason:
            warnings.append(distrust_reason)
            self._move_aside()
            records = []
        if distrust_reason or not segments:
            self._disk_incarnation = 0 if bootstrap else self._new_incarnation()
            self._record_count = 0
        try:
            recovered = replay_records(records, self._disk_incarnation)
        except ValueError as error:
            raise DamagedStorageError(f"{self.folder}: {error}") from error
        self._vote = VoteRecord(recovered.term, recovered.vote)
        self._lineage_file.open()
        self._start_segment(recovered.snapshot, recovered.entries)
        self._acknowledge()
        return Opened(recovered, tuple(warnings))

    def persist(self, records: Iterable[Record]) -> WriteFault | None:
        """Writes records; returns None once they are durable, or why they could not be written.

        After a failure every call returns the same failure, because it is unknown what a failed
        fsync left on the disk.
        """
        if self._fault:
            return self._fault
        try:
            self._write_records(records)
        except (OSError, ValueError, TypeError) as error:
            self._fault = WriteFault(f"{type(error).__name__}: {error}")
        return self._fault

    def close(self) -> None:
        """Closes the segment and the lineage file."""
        if self._segment is not None:
            self._files.close(self._segment)
        self._segment = None
        self._lineage_file.close()

    # Reading.

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _read_segment(self, name: str) -> _Segment:
        path = self._path(name)
        content = self._files.read(path) or b""
        frames = read_frames(content)
        warnings = []
        if frames.damaged or not frames.bodies:
            raise DamagedStorageError(
                f"{path}: damage at byte {frames.end}; only the last record may be incomplete"
            )
        if frames.end < len(content):
            incomplete_bytes = len(content) - frames.end
            warnings.append(
                f"{path}: discarded an incomplete last record of {incomplete_bytes} bytes"
            )
        try:
            self._segment_number = int(name.removesuffix(SEGMENT_SUFFIX))
            self._read_header(frames.bodies[0])
            records = [self._read_record(body) for body in frames.bodies[1:]]
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError, IndexError) as error:
            raise DamagedStorageError(f"{path}: {error}") from error
        return _Segment(records, warnings)

    def _read_header(self, body: bytes) -> None:
        kind, fields = _decode_kind(body)
        if kind != SEGMENT_HEADER_KIND:
            raise ValueError("the first record is not a segment header")
        count, incarnation = msgspec.msgpack.decode(fields, type=tuple[int, int])
        self._record_count = count
        self._disk_incarnation = incarnation

    def _read_record(self, body: bytes) -> Record:
        kind, fields = _decode_kind(body)
        if kind == SEGMENT_HEADER_KIND:
            raise ValueError("unexpected segment header after the first record")
        self._record_count += 1
        if kind == SNAPSHOT_KIND:
            name, replaces_log = msgspec.msgpack.decode(fields, type=tuple[str, bool])
            return self._read_snapshot(name)._replace(replaces_log=replaces_log)
        if not 0 <= kind < len(RECORD_KINDS):  # a negative index would wrap
            raise ValueError(f"unknown record kind {kind}")
        return msgspec.msgpack.decode(fields, type=RECORD_KINDS[kind])

    def _read_snapshot(self, name: str) -> Snapshot:
        if os.path.basename(name) != name or not name.endswith(SNAPSHOT_SUFFIX):
            raise ValueError(f"invalid name of a snapshot file: {name!r}")
        content = self._files.read(self._path(name)) or b""
        frames = read_frames(content, MAX_SNAPSHOT_FILE_BYTES)
        if len(frames.bodies) != 1 or frames.end != len(content):
            raise ValueError(f"snapshot file {name} is missing or damaged")
        return msgspec.msgpack.decode(frames.bodies[0], type=Snapshot)

    def _distrust_reason(self, acknowledged: Acknowledged | None, has_segment: bool) -> str | None:
        """Returns why the directory may be an old copy or was lost, or None if it is up to date."""
        if acknowledged:
            same_disk = self._disk_incarnation == acknowledged.disk_incarnation
            if same_disk and self._record_count >= acknowledged.record_count:
                return None
            return (
                f"{self.folder} was lost or rolled back: found disk incarnation"
                f" {self._disk_incarnation} with {self._record_count} records, acknowledged were"
                f" incarnation {acknowledged.disk_incarnation} with {acknowledged.record_count}"
                " records; starting with a new incarnation"
            )
        if has_segment:
            return (
                "there is no lineage file, so the directory may be an old copy;"
                " starting with a new incarnation"
            )
        return None

    def _move_aside(self) -> None:
        """Renames the directory, so that an operator can inspect it, and creates an empty one."""
        number = 0
        while os.path.exists(f"{self.folder}.lost-{number}"):
            number += 1
        self._files.replace(self.folder, f"{self.folder}.lost-{number}")
        self._files.makedirs(self.folder)
        self._files.sync_folder(os.path.dirname(self.folder) or ".")

    # Writing.

    def _write_records(self, records: Iterable[Record]) -> None:
        content = bytearray()
        for record in records:
            if isinstance(record, Snapshot):
                self._append_to_segment(bytes(content))
                content.clear()
                self._sync_segment()
                self._write_snapshot(record)
            else:
                content += self._frame_record(record)
                if isinstance(record, VoteRecord):
                    self._vote = record
        self._append_to_segment(bytes(content))
        self._sync_segment()
        self._acknowledge()

    def _frame_record(self, record: Record) -> bytes:
        self._record_count += 1
        return frame(msgspec.msgpack.encode((RECORD_KINDS.index(type(record)), record)))

    def _append_to_segment(self, content: bytes) -> None:
        self._check_space(content)
        file = self._segment_descriptor()
        view = memoryview(content)
        while view:
            written = self._files.write(file, view)
            self._total_bytes += written
            view = view[written:]

    def _sync_segment(self) -> None:
        self._files.fsync(self._segment_descriptor())

    def _segment_descriptor(self) -> int:
        if self._segment is None:
            raise ValueError(f"storage directory {self.folder} is not open")
        return self._segment

    def _check_space(self, content: bytes) -> None:
        if self._total_bytes + len(content) > self._max_bytes:
            raise OSError(
                errno.ENOSPC, f"{self.folder} would exceed its limit of {self._max_bytes} bytes"
            )

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Writes a snapshot file, then a segment that names it and holds the later entries.

        Older files are deleted only after that.
        """
        entries: list[Entry] = []
        if not snapshot.replaces_log:
            entries = [
                entry for entry in self._stored_entries() if entry.log_index > snapshot.log_index
            ]
        self._start_segment(snapshot, entries)

    def _stored_entries(self) -> list[Entry]:
        """Reads the entries of the current segment; only the node keeps the log in memory."""
        path = self._path(self._segment_name())
        entries: list[Entry] = []
        for body in read_frames(self._files.read(path) or b"").bodies:
            kind, fields = _decode_kind(body)
            if kind == ENTRY_KIND:
                entries.append(msgspec.msgpack.decode(fields, type=Entry))
            elif kind == TRUNCATION_KIND:
                truncation = msgspec.msgpack.decode(fields, type=TruncationRecord)
                drop_entries_from(entries, truncation.log_index)
        return entries

    def _segment_name(self) -> str:
        return f"{self._segment_number:0{NUMBER_DIGITS}}{SEGMENT_SUFFIX}"

    def _start_segment(self, snapshot: Snapshot | None, entries: Sequence[Entry]) -> None:
        """Starts a self-contained segment, so that recovery reads only one; deletes old files."""
        old_names = list(self._files.listdir(self.folder))
        header = (self._record_count, self._disk_incarnation)
        content = [frame(msgspec.msgpack.encode((SEGMENT_HEADER_KIND, header)))]
        content.append(self._frame_record(self._vote))
        if snapshot:
            name = f"{self._segment_number + 1:0{NUMBER_DIGITS}}{SNAPSHOT_SUFFIX}"
            self._write_file(name, frame(msgspec.msgpack.encode(snapshot)))
            self._record_count += 1
            content.append(frame(msgspec.msgpack.encode((SNAPSHOT_KIND, (name, True)))))
        content += [self._frame_record(entry) for entry in entries]
        self._segment_number += 1
        name = self._segment_name()
        self._write_file(name, b"".join(content))
        if self._segment is not None:
            self._files.close(self._segment)
        self._segment = self._files.open(self._path(name), os.O_WRONLY | os.O_APPEND)
        for old_name in old_names:
            if old_name.endswith((SEGMENT_SUFFIX, SNAPSHOT_SUFFIX, TEMPORARY_SUFFIX)):
                self._files.unlink(self._path(old_name))
        self._files.sync_folder(self.folder)
        names = self._files.listdir(self.folder)
        self._total_bytes = sum(os.path.getsize(self._path(file_name)) for file_name in names)

    def _write_file(self, name: str, content: bytes) -> None:
        """Writes a file atomically: it exists with its whole content or not at all."""
        path = self._path(name)
        self._check_space(content)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        file = self._files.open(path + TEMPORARY_SUFFIX, flags, 0o600)
        try:
            self._files.write_all(file, content)
            self._files.fsync(file)
        finally:
            self._files.close(file)
        self._files.replace(path + TEMPORARY_SUFFIX, path)
        self._files.sync_folder(self.folder)

    def _acknowledge(self) -> None:
        self._lineage_file.write(Acknowledged(self._disk_incarnation, self._record_count))


def _decode_kind(body: bytes) -> tuple[int, msgspec.Raw]:
    return msgspec.msgpack.decode(body, type=tuple[int, msgspec.Raw])


__all__ = ["DamagedStorageError", "Opened", "RaftStorage", "WriteFault"]
