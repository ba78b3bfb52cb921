"""A keeper's records on a directory: a segment that is only added to, a snapshot, and a lineage in a second place.

A record is its length and the CRC-32 of its body (4 bytes each, big-endian), then the body, msgpack of (kind, fields).
A segment begins with (count of records ever written before it, life) and says all by itself; a snapshot and each start
begin a new one, put in its place whole, so that of two the later counts. A snapshot's record in it names the file that
holds it. For that moment both are there: `most` must hold twice the image and the log.

Lineage: `life` of the disk and the count of records that were ever acknowledged (as on the disk, so votes count too),
in two slots written in turn, on another disk if the operator has one. A directory whose life differs, or that holds
fewer records than were acknowledged, was lost or set back: all of it is put away and the keeper begins as a newcomer
under a new life, whose votes count for nothing until the members' list names it. What this doesn't cover: both
places set back together to the same moment; a directory set back by records written after the last acknowledged
one (nothing depended on those); and an operator who founds again, which is why that is refused where either is found.
Writing the lineage costs a second fsync before each acknowledgement; without it an old copy can't be told."""

import os
import struct
import zlib
from typing import NamedTuple

import msgspec

from .log import replayed
from .messages import Cut, Entry, Recovered, Snapshot, Voted

HEAD, SLOT = struct.Struct(">II"), struct.Struct(">QQQ")
KINDS = (Entry, Voted, Cut, Snapshot)
BEGIN = len(KINDS)  # the kind of a segment's first record
RECORD_MOST = 1 << 20  # no record is longer: a length beyond it is damage


class DamagedStorageError(Exception):
    """The directory can't be trusted and can't be mended: an operator must look. Names the file and the place."""


class WriteFault(NamedTuple):
    """An error as a value: what a write came to."""

    reason: str


class Opened(NamedTuple):
    recovered: Recovered
    said: tuple  # sentences for a log: a torn tail, a directory put away


class Files:
    """What the store needs of an operating system; tests put faults in its place."""

    open, close, fsync, pwrite = map(staticmethod, (os.open, os.close, os.fsync, os.pwrite))
    replace, unlink, listdir, write = map(
        staticmethod, (os.replace, os.unlink, os.listdir, os.write)
    )
    makedirs = staticmethod(os.makedirs)

    def read(self, path):
        """The bytes, or None if there is no such file."""
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None


def framed(body):
    return HEAD.pack(len(body), zlib.crc32(body)) + body


def bodies(content, longest=RECORD_MOST):
    """(bodies of the whole records, where they end, whether what follows them is damage). A tail that breaks off is
    what a loss of power leaves; a record that is wrong with whole ones after it is not."""
    found, at = [], 0
    while at < len(content):
        if at + HEAD.size > len(content):
            return found, at, False
        length, crc = HEAD.unpack_from(content, at)
        end = at + HEAD.size + length
        body = content[at + HEAD.size : end]
        # A length of nought is what a file that grew before its bytes came is full of.
        if not 0 < length <= longest or len(body) < length or zlib.crc32(body) != crc:
            return found, at, _whole_after(content, at + 1)
        found.append(body)
        at = end
    return found, at, False


def _whole_after(content, start):
    """Whether a whole record stands somewhere after a broken one: then it wasn't the last that was written."""
    for at in range(start, len(content) - HEAD.size):
        length, crc = HEAD.unpack_from(content, at)
        end = at + HEAD.size + length
        if (
            0 < length <= RECORD_MOST
            and end <= len(content)
            and zlib.crc32(content[at + HEAD.size : end]) == crc
        ):
            return True
    return False


class RaftStorage:
    """folder: of this keeper alone. lineage: a file's path, best on another disk. fresh(): a number of 63 bits, not 0,
    that nobody had. most: bytes that all files may take. files: an operating system, see Files."""

    def __init__(self, folder, lineage, fresh, most=1 << 30, files=None):
        self.folder, self.lineage, self.fresh, self.most = folder, lineage, fresh, most
        self.files = files or Files()
        self.file = self.second = None
        self.life = self.count = self.total = self.number = self.slot = 0
        self.voted = self.failed = None

    # Opening.

    def open(self, found=False):
        """Opened. found: this keeper founds the fleet, which is refused where anything was written before. Raises
        Damaged, and OSError where the folder can't be used."""
        files = self.files
        files.makedirs(self.folder, exist_ok=True)
        files.makedirs(os.path.dirname(self.lineage) or ".", exist_ok=True)
        known = self._lineage()
        segments = sorted(name for name in files.listdir(self.folder) if name.endswith(".seg"))
        if found and (known or segments):
            raise DamagedStorageError("this keeper was used before: it can't found a fleet again")
        said, records = [], []
        if segments:
            records, said = self._read(segments[-1])
        if known and (self.life, self.count >= known[1]) != (known[0], True):
            said.append(
                f"the disk is not what it was: life {self.life}, {self.count} records, where life {known[0]}"
                f" with {known[1]} was acknowledged; it begins as a newcomer"
            )
            self._put_away()
            segments, records = [], []
        elif segments and not known:
            said.append(
                "no lineage was found: the disk may be an old copy, so it begins as a newcomer"
            )
            self._put_away()
            segments, records = [], []
        if not segments:
            self.life, self.count = 0 if found else self.fresh(), 0
        try:
            recovered = replayed(records, self.life)
        except ValueError as wrong:
            raise DamagedStorageError(f"{self.folder}: {wrong}") from wrong
        self.voted = Voted(recovered.term, recovered.vote)
        self._begin_second()
        self._begin_segment(recovered.snapshot, recovered.entries)
        self._acknowledge()
        return Opened(recovered, tuple(said))

    def _path(self, name):
        return os.path.join(self.folder, name)

    def _lineage(self):
        """(life, count) of the slot that was written last, or None."""
        content = self.files.read(self.lineage) or b""
        found = []
        for slot in range(2):
            part = content[slot * SLOT.size : (slot + 1) * SLOT.size]
            if len(part) == SLOT.size:
                life, count, crc = SLOT.unpack(part)
                if zlib.crc32(part[:16]) == crc:
                    found.append((count, slot, life))
        if not found:
            return None
        count, self.slot, life = max(found)
        return life, count

    def _read(self, name):
        path, records, said = self._path(name), [], []
        content = self.files.read(path)
        found, end, damage = bodies(content)
        if damage or not found:
            raise DamagedStorageError(f"{path}: damage at byte {end}, with later records behind it")
        if end < len(content):
            said.append(f"{path}: {len(content) - end} bytes of a record that broke off were cut")
        self.number = int(name[:-4])
        try:
            for place, body in enumerate(found):
                self._take(place, body, records)
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError, IndexError) as wrong:
            raise DamagedStorageError(f"{path}: {wrong}") from wrong
        return records, said

    def _take(self, place, body, records):
        kind, rest = msgspec.msgpack.decode(body, type=tuple[int, msgspec.Raw])
        if (kind == BEGIN) != (place == 0):
            raise ValueError("a segment without its head, or a head within it")
        if kind == BEGIN:
            self.count, self.life = msgspec.msgpack.decode(rest, type=tuple[int, int])
            return
        self.count += 1
        if kind == KINDS.index(Snapshot):
            name, whole = msgspec.msgpack.decode(rest, type=tuple[str, bool])
            records.append(self._snapshot(name)._replace(whole=whole))
        else:
            records.append(msgspec.msgpack.decode(rest, type=KINDS[kind]))

    def _snapshot(self, name):
        content = self.files.read(self._path(name))
        found, end, _ = bodies(content or b"", 1 << 32)
        if len(found) != 1 or end != len(content):
            raise ValueError(f"the snapshot {name} is missing or damaged")
        return msgspec.msgpack.decode(found[0], type=Snapshot)

    def _put_away(self):
        """What was there is kept under another name: an operator may want to look at it."""
        at = 0
        while os.path.exists(f"{self.folder}.lost-{at}"):
            at += 1
        self.files.replace(self.folder, f"{self.folder}.lost-{at}")
        self.files.makedirs(self.folder)
        self._sync_folder(os.path.dirname(self.folder) or ".")

    # Writing.

    def persist(self, records):
        """None once all of it would outlast a loss of power, or a Fault; after one the store takes nothing more, for
        what a failed fsync left on the disk can't be known."""
        if self.failed:
            return self.failed
        try:
            return self._persisted(records)
        except (OSError, ValueError, TypeError) as wrong:
            self.failed = WriteFault(f"{type(wrong).__name__}: {wrong}")
            return self.failed

    def _persisted(self, records):
        content = bytearray()
        for record in records:
            if type(record) is Snapshot:
                self._write(bytes(content))
                content.clear()
                self.files.fsync(self.file)
                self._write_snapshot(record)
            else:
                content += self._framed(record)
                if type(record) is Voted:
                    self.voted = record
        self._write(bytes(content))
        self.files.fsync(self.file)
        self._acknowledge()

    def _framed(self, record):
        self.count += 1
        return framed(msgspec.msgpack.encode((KINDS.index(type(record)), record)))

    def _write(self, content):
        if self.total + len(content) > self.most:
            raise OSError(28, f"more than the {self.most} bytes that this keeper may take")
        view = memoryview(content)
        while view:
            written = self.files.write(self.file, view)
            self.total += written
            view = view[written:]

    def _write_snapshot(self, snapshot):
        """The snapshot as a file of its own, then a segment that begins with its name and what of the log follows it;
        only then are older files gone."""
        entries = (
            () if snapshot.whole else [one for one in self._entries() if one.index > snapshot.index]
        )
        self._begin_segment(snapshot, entries)

    def _entries(self):
        """Those that the segment holds. Read back rather than kept: the log in memory is the keeper's."""
        records = []
        for body in bodies(self.files.read(self._path(f"{self.number:012}.seg")))[0]:
            kind, rest = msgspec.msgpack.decode(body, type=tuple[int, msgspec.Raw])
            if kind in (KINDS.index(Entry), KINDS.index(Cut)):
                records.append(msgspec.msgpack.decode(rest, type=KINDS[kind]))
        found = []
        for record in records:
            if type(record) is Cut:
                while found and found[-1].index >= record.index:
                    found.pop()
            else:
                found.append(record)
        return found

    def _begin_segment(self, snapshot, entries):
        """One new segment that says all by itself: so neither opening nor a snapshot has to join several. Written
        under another name and put in its place whole."""
        files, old = self.files, list(self.files.listdir(self.folder))
        body = [
            framed(msgspec.msgpack.encode((BEGIN, (self.count, self.life)))),
            self._framed(self.voted),
        ]
        if snapshot:
            name = f"{self.number + 1:012}.snap"
            self._whole(name, framed(msgspec.msgpack.encode(snapshot)))
            self.count += 1
            body.append(framed(msgspec.msgpack.encode((KINDS.index(Snapshot), (name, True)))))
        body += [self._framed(entry) for entry in entries]
        self.number += 1
        name = f"{self.number:012}.seg"
        self._whole(name, b"".join(body))
        if self.file is not None:
            files.close(self.file)
        self.file = files.open(self._path(name), os.O_WRONLY | os.O_APPEND)
        for other in old:
            if other.endswith((".seg", ".snap", ".part")):
                files.unlink(self._path(other))
        self._sync_folder(self.folder)
        self.total = sum(os.path.getsize(self._path(one)) for one in files.listdir(self.folder))

    def _whole(self, name, content):
        """A file that is there with all of its bytes or not at all."""
        files, path = self.files, self._path(name)
        if self.total + len(content) > self.most:
            raise OSError(28, f"more than the {self.most} bytes that this keeper may take")
        file = files.open(path + ".part", os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(content)
            while view:
                view = view[files.write(file, view) :]
            files.fsync(file)
        finally:
            files.close(file)
        files.replace(path + ".part", path)
        self._sync_folder(self.folder)

    def _sync_folder(self, folder):
        """A name is on the disk only once its folder is."""
        file = self.files.open(folder, os.O_RDONLY)
        try:
            self.files.fsync(file)
        finally:
            self.files.close(file)

    def _begin_second(self):
        self.second = self.files.open(self.lineage, os.O_RDWR | os.O_CREAT, 0o600)
        self._sync_folder(os.path.dirname(self.lineage) or ".")

    def _acknowledge(self):
        self.slot ^= 1
        head = struct.pack(">QQ", self.life, self.count)
        self.files.pwrite(
            self.second, head + struct.pack(">Q", zlib.crc32(head)), self.slot * SLOT.size
        )
        self.files.fsync(self.second)

    def close(self):
        for file in (self.file, self.second):
            if file is not None:
                self.files.close(file)
        self.file = self.second = None
