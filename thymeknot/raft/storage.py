"""A node's records in a directory: a segment that is only appended to, and a snapshot.

Each record is framed (see `record_frames`); its body is msgpack of (kind, fields). A segment
begins with (count of records ever written before it, disk incarnation) and is complete by itself:
a snapshot and each start begin a new one, put in place in one step, so that of two the later
counts. A snapshot's record in it names the file that holds the snapshot. At that moment the old
files are still there: `max_bytes` must hold twice the snapshot and the log.

A directory that is not what the lineage (see `lineage`) acknowledged is put away, and the node
begins as a newcomer under a new disk incarnation, whose votes count for nothing until the members'
list names it.
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

# A record is stored with its place in this table: the order must not change.
KINDS: tuple[type[Record], ...] = (Entry, VoteRecord, TruncationRecord, Snapshot)
ENTRY_KIND = KINDS.index(Entry)
TRUNCATION_KIND = KINDS.index(TruncationRecord)
SNAPSHOT_KIND = KINDS.index(Snapshot)
SEGMENT_HEAD_KIND = len(KINDS)
"""The kind of a segment's first record."""
MAX_SNAPSHOT_FILE_BYTES = 1 << 32
"""The longest record of a snapshot's file."""
SEGMENT_SUFFIX = ".seg"
SNAPSHOT_SUFFIX = ".snap"
PART_SUFFIX = ".part"
"""Of a file that is being written."""
NUMBER_DIGITS = 12
"""Digits of a file's number, so that the order of names is that of numbers."""


class WriteFault(NamedTuple):
    """An error as a value: why a write failed."""

    reason: str


class Opened(NamedTuple):
    """What opening came to.

    Attributes:
        recovered: what the directory held.
        said: sentences for a log: a torn tail, a directory put away.
    """

    recovered: Recovered
    warnings: tuple[str, ...]


class _Segment(NamedTuple):
    """What a segment held."""

    records: list[Record]
    warnings: list[str]


class RaftStorage:
    """The records of one node.

    Args:
        folder: of this node alone.
        lineage: path of the lineage file, best on another disk.
        new_incarnation: gives a number of 63 bits, not 0, that nobody had.
        max_bytes: what all files in the folder may take.
        files: the operating system.
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
        self._segment: int | None = None  # descriptor of the segment that is written
        self._segment_number = 0
        self._disk_incarnation = 0
        self._record_count = 0  # ever written to this disk
        self._total_bytes = 0  # of all files in the folder
        self._vote = VoteRecord(0, None)
        self._fault: WriteFault | None = None

    def open(self, found: bool = False) -> Opened:
        """Reads the directory and begins a new segment.

        Args:
            found: this node founds the cluster, which is rejected where anything was written.

        Raises:
            DamagedStorageError: the directory can't be trusted or repaired.
            OSError: the directory can't be used.
        """
        self._files.makedirs(self.folder, exist_ok=True)
        self._lineage_file.make_folder()
        acknowledged = self._lineage_file.read()
        names = self._files.listdir(self.folder)
        segments = sorted(name for name in names if name.endswith(SEGMENT_SUFFIX))
        if found and (acknowledged or segments):
            raise DamagedStorageError("this keeper was used before: it can't found a fleet again")
        records: list[Record] = []
        said: list[str] = []
        if segments:
            records, said = self._read_segment(segments[-1])
        distrust = self._distrust(acknowledged, bool(segments))
        if distrust:
            said.append(distrust)
            self._put_away()
            records = []
        if distrust or not segments:
            self._disk_incarnation = 0 if found else self._new_incarnation()
            self._record_count = 0
        try:
            recovered = replay_records(records, self._disk_incarnation)
        except ValueError as error:
            raise DamagedStorageError(f"{self.folder}: {error}") from error
        self._vote = VoteRecord(recovered.term, recovered.vote)
        self._lineage_file.open()
        self._begin_segment(recovered.snapshot, recovered.entries)
        self._acknowledge()
        return Opened(recovered, tuple(said))

    def persist(self, records: Iterable[Record]) -> WriteFault | None:
        """Returns None once all of it would outlast a loss of power.

        After a fault the storage takes nothing more, for what a failed fsync left on the disk
        can't be known.
        """
        if self._fault:
            return self._fault
        try:
            self._write_records(records)
        except (OSError, ValueError, TypeError) as error:
            self._fault = WriteFault(f"{type(error).__name__}: {error}")
        return self._fault

    def close(self) -> None:
        """Closes all files."""
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
        found = read_frames(content)
        warnings = []
        if found.damaged or not found.bodies:
            raise DamagedStorageError(
                f"{path}: damage at byte {found.end}, with later records behind it"
            )
        if found.end < len(content):
            torn = len(content) - found.end
            warnings.append(f"{path}: {torn} bytes of a record that broke off were cut")
        try:
            self._segment_number = int(name.removesuffix(SEGMENT_SUFFIX))
            self._read_head(found.bodies[0])
            records = [self._read_record(body) for body in found.bodies[1:]]
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError, IndexError) as error:
            raise DamagedStorageError(f"{path}: {error}") from error
        return _Segment(records, warnings)

    def _read_head(self, body: bytes) -> None:
        kind, fields = _decode_kind(body)
        if kind != SEGMENT_HEAD_KIND:
            raise ValueError("a segment without its head, or a head within it")
        count, incarnation = msgspec.msgpack.decode(fields, type=tuple[int, int])
        self._record_count = count
        self._disk_incarnation = incarnation

    def _read_record(self, body: bytes) -> Record:
        kind, fields = _decode_kind(body)
        if kind == SEGMENT_HEAD_KIND:
            raise ValueError("a segment without its head, or a head within it")
        self._record_count += 1
        if kind == SNAPSHOT_KIND:
            name, replaces_log = msgspec.msgpack.decode(fields, type=tuple[str, bool])
            return self._read_snapshot(name)._replace(replaces_log=replaces_log)
        if not 0 <= kind < len(KINDS):  # a negative one would count from the table's end
            raise ValueError(f"a record of no kind: {kind}")
        return msgspec.msgpack.decode(fields, type=KINDS[kind])

    def _read_snapshot(self, name: str) -> Snapshot:
        if os.path.basename(name) != name or not name.endswith(SNAPSHOT_SUFFIX):
            raise ValueError(f"no name of a snapshot: {name}")
        content = self._files.read(self._path(name)) or b""
        found = read_frames(content, MAX_SNAPSHOT_FILE_BYTES)
        if len(found.bodies) != 1 or found.end != len(content):
            raise ValueError(f"the snapshot {name} is missing or damaged")
        return msgspec.msgpack.decode(found.bodies[0], type=Snapshot)

    def _distrust(self, acknowledged: Acknowledged | None, has_segment: bool) -> str | None:
        """Why the directory is not to be trusted, or None if it is."""
        if acknowledged:
            same_disk = self._disk_incarnation == acknowledged.disk_incarnation
            if same_disk and self._record_count >= acknowledged.record_count:
                return None
            return (
                f"the disk is not what it was: life {self._disk_incarnation}, {self._record_count}"
                f" records, where life {acknowledged.disk_incarnation}"
                f" with {acknowledged.record_count} was acknowledged; it begins as a newcomer"
            )
        if has_segment:
            return "no lineage was found: the disk may be an old copy, so it begins as a newcomer"
        return None

    def _put_away(self) -> None:
        """Keeps the directory under another name: an operator may want to look at it."""
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
                self._append(bytes(content))
                content.clear()
                self._sync()
                self._write_snapshot(record)
            else:
                content += self._frame(record)
                if isinstance(record, VoteRecord):
                    self._vote = record
        self._append(bytes(content))
        self._sync()
        self._acknowledge()

    def _frame(self, record: Record) -> bytes:
        self._record_count += 1
        return frame(msgspec.msgpack.encode((KINDS.index(type(record)), record)))

    def _append(self, content: bytes) -> None:
        self._check_space(content)
        file = self._open_segment()
        view = memoryview(content)
        while view:
            written = self._files.write(file, view)
            self._total_bytes += written
            view = view[written:]

    def _sync(self) -> None:
        self._files.fsync(self._open_segment())

    def _open_segment(self) -> int:
        if self._segment is None:
            raise ValueError(f"{self.folder} is not open")
        return self._segment

    def _check_space(self, content: bytes) -> None:
        if self._total_bytes + len(content) > self._max_bytes:
            raise OSError(
                errno.ENOSPC, f"more than the {self._max_bytes} bytes that this keeper may take"
            )

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Writes the snapshot as a file, then a segment with its name and the log after it.

        Only then are older files removed.
        """
        entries: list[Entry] = []
        if not snapshot.replaces_log:
            entries = [
                entry for entry in self._stored_entries() if entry.log_index > snapshot.log_index
            ]
        self._begin_segment(snapshot, entries)

    def _stored_entries(self) -> list[Entry]:
        """The segment's entries, read back rather than kept: the log in memory is the node's."""
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

    def _begin_segment(self, snapshot: Snapshot | None, entries: Sequence[Entry]) -> None:
        """Begins a segment that is complete by itself, so that none has to be joined to others."""
        old_names = list(self._files.listdir(self.folder))
        head = (self._record_count, self._disk_incarnation)
        content = [frame(msgspec.msgpack.encode((SEGMENT_HEAD_KIND, head)))]
        content.append(self._frame(self._vote))
        if snapshot:
            name = f"{self._segment_number + 1:0{NUMBER_DIGITS}}{SNAPSHOT_SUFFIX}"
            self._write_file(name, frame(msgspec.msgpack.encode(snapshot)))
            self._record_count += 1
            content.append(frame(msgspec.msgpack.encode((SNAPSHOT_KIND, (name, True)))))
        content += [self._frame(entry) for entry in entries]
        self._segment_number += 1
        name = self._segment_name()
        self._write_file(name, b"".join(content))
        if self._segment is not None:
            self._files.close(self._segment)
        self._segment = self._files.open(self._path(name), os.O_WRONLY | os.O_APPEND)
        for old_name in old_names:
            if old_name.endswith((SEGMENT_SUFFIX, SNAPSHOT_SUFFIX, PART_SUFFIX)):
                self._files.unlink(self._path(old_name))
        self._files.sync_folder(self.folder)
        names = self._files.listdir(self.folder)
        self._total_bytes = sum(os.path.getsize(self._path(one)) for one in names)

    def _write_file(self, name: str, content: bytes) -> None:
        """Writes a file that is there with all of its bytes or not at all."""
        path = self._path(name)
        self._check_space(content)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        file = self._files.open(path + PART_SUFFIX, flags, 0o600)
        try:
            self._files.write_all(file, content)
            self._files.fsync(file)
        finally:
            self._files.close(file)
        self._files.replace(path + PART_SUFFIX, path)
        self._files.sync_folder(self.folder)

    def _acknowledge(self) -> None:
        self._lineage_file.write(Acknowledged(self._disk_incarnation, self._record_count))


def _decode_kind(body: bytes) -> tuple[int, msgspec.Raw]:
    return msgspec.msgpack.decode(body, type=tuple[int, msgspec.Raw])


__all__ = ["DamagedStorageError", "Opened", "RaftStorage", "WriteFault"]
