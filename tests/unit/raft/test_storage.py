"""Storage: recovery, incomplete last records, damage, full disks and restored backups."""

import errno
import itertools
import os
import shutil
import tempfile
import unittest

import msgspec

from thymeknot.raft.errors import DamagedStorageError
from thymeknot.raft.file_system import FileSystem
from thymeknot.raft.record_frames import frame
from thymeknot.raft.records import Entry, Members, Recovered, Snapshot, TruncationRecord, VoteRecord
from thymeknot.raft.storage import RaftStorage

EDGE_VALUES = (
    -1,
    0,
    1,
    1 << 62,
    (1 << 64) - 1,
    1.5,
    True,
    None,
    "x",
    "",
    "../x",
    b"x",
    [],
    {},
    [1],
)


class FaultyFileSystem(FileSystem):
    """Injects write errors.

    Args:
        capacity: Number of bytes after which writes fail; None for no limit.
        max_write_bytes: Largest number of bytes that one call writes; None for no limit.
    """

    def __init__(self, capacity=None, max_write_bytes=None):
        self.capacity, self.max_write_bytes, self.written_bytes = capacity, max_write_bytes, 0

    def write(self, file, content):
        if self.capacity is not None and self.written_bytes + len(content) > self.capacity:
            raise OSError(errno.ENOSPC, "no space left on device")
        self.written_bytes += len(content)
        return os.write(file, content[: self.max_write_bytes])


class FailingLineageWrites(FileSystem):
    """Fails the writes of lineage slots after the first ones.

    Args:
        successful_writes: Number of writes that succeed.
    """

    def __init__(self, successful_writes):
        self.remaining_writes = successful_writes

    def pwrite(self, file, content, offset):
        if not self.remaining_writes:
            raise OSError(errno.EIO, "input/output error")
        self.remaining_writes -= 1
        return super().pwrite(file, content, offset)


class StorageTests(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.folder, self.lineage_path = (
            self.directory.name + "/log",
            self.directory.name + "/second/lineage",
        )
        self.last_incarnation = 10

    def new_incarnation(self):
        self.last_incarnation += 1
        return self.last_incarnation

    def open_storage(self, bootstrap=False, **options):
        storage = RaftStorage(self.folder, self.lineage_path, self.new_incarnation, **options)
        opened = storage.open(bootstrap)
        self.addCleanup(storage.close)
        return storage, opened

    def entries(self, *indices, term=1):
        return [
            Entry(index, term, index, "o", 1, index, {"part": "x", "n": index}) for index in indices
        ]

    def segment_path(self):
        return next(
            f"{self.folder}/{name}" for name in os.listdir(self.folder) if name.endswith(".seg")
        )

    def replace_content(self, name, content):
        """Replaces the content of the directory with this one file."""
        shutil.rmtree(self.folder)
        os.mkdir(self.folder)
        with open(f"{self.folder}/{name}", "wb") as file:
            file.write(content)

    def filled_storage(self):
        storage, _ = self.open_storage(True)
        self.assertIsNone(storage.persist([VoteRecord(1, "a"), *self.entries(1, 2, 3)]))
        self.assertIsNone(storage.persist([TruncationRecord(3), *self.entries(3, 4, term=2)]))
        return storage

    def test_recovers_records_at_each_start(self):
        storage = self.filled_storage()
        for _ in range(2):
            storage.close()
            storage, opened = self.open_storage()
            self.assertEqual(
                opened,
                (
                    Recovered(0, 1, "a", None, (*self.entries(1, 2), *self.entries(3, 4, term=2))),
                    (),
                ),
            )

    def test_snapshot_keeps_only_later_entries(self):
        storage = self.filled_storage()
        snapshot = Snapshot(3, 2, 3, Members({"a": 0}, {}), b"x" * 3_000_000)
        self.assertIsNone(storage.persist([snapshot, *self.entries(5, term=2)]))
        storage.close()
        _, opened = self.open_storage()
        self.assertEqual(opened.recovered.snapshot.content, snapshot.content)
        self.assertEqual([entry.log_index for entry in opened.recovered.entries], [4, 5])
        self.assertEqual(len(os.listdir(self.folder)), 2)

    def test_incomplete_last_record_is_discarded_with_a_warning(self):
        self.filled_storage().close()
        for tail in (b"\0\0\0\x30abcd", bytes(500)):
            with open(self.segment_path(), "ab") as file:
                file.write(tail)
            storage, opened = self.open_storage()
            storage.close()
            self.assertIn("incomplete last record", opened.warnings[0])
            self.assertEqual(len(opened.recovered.entries), 4)

    def test_damage_before_valid_records_is_rejected(self):
        self.filled_storage().close()
        path = self.segment_path()
        with open(path, "r+b") as file:
            file.seek(40)
            byte = file.read(1)
            file.seek(40)
            file.write(bytes([byte[0] ^ 1]))
        with self.assertRaisesRegex(DamagedStorageError, "damage at byte"):
            self.open_storage()

    def test_unknown_record_kind_is_damage(self):
        """Kinds outside the table are damage, and so is a segment whose file name has no number.

        A kind is the index of the record type in a table. Negative kinds used to index from the end
        of the table, so that -1 was read as a snapshot and -4 as an entry.
        """
        self.filled_storage().close()
        with open(self.segment_path(), "rb") as file:
            valid_content = file.read()
        for kind in (-1, -4, -5, 5, 1 << 62):
            body = msgspec.msgpack.encode((kind, self.entries(5, term=2)[0]))
            self.replace_content("000000000001.seg", valid_content + frame(body))
            with self.subTest(kind), self.assertRaises(DamagedStorageError):
                self.open_storage()
        self.replace_content("x.seg", valid_content)
        with self.assertRaises(DamagedStorageError):
            self.open_storage()

    def test_edge_values_and_wrong_types_in_each_record_field(self):
        """Opening either accepts a record with a valid checksum or raises DamagedStorageError."""
        self.filled_storage().close()
        with open(self.segment_path(), "rb") as file:
            valid_content = file.read()
        records = [
            (4, [5, 11]),
            (0, [*self.entries(5, term=2)[0]]),
            (1, [3, "a"]),
            (2, [4]),
            (3, ["000000000009.snap", True]),
        ]
        for kind, fields in records:
            for position, value in itertools.product(range(len(fields)), EDGE_VALUES):
                changed = [*fields[:position], value, *fields[position + 1 :]]
                changed_frame = frame(msgspec.msgpack.encode((kind, changed)))
                self.replace_content(
                    "000000000001.seg",
                    changed_frame if kind == 4 else valid_content + changed_frame,
                )
                storage = RaftStorage(self.folder, self.lineage_path, self.new_incarnation)
                with self.subTest(kind=kind, position=position, value=value):
                    try:
                        storage.open()
                    except DamagedStorageError:
                        pass
                    finally:
                        storage.close()

    def test_write_failure_is_returned_and_permanent(self):
        files = FaultyFileSystem(max_write_bytes=7)
        storage, _ = self.open_storage(True, files=files)
        self.assertIsNone(storage.persist(self.entries(1)))
        files.capacity = files.written_bytes + 10
        self.assertIn("no space", storage.persist(self.entries(2)).reason)
        files.capacity = None
        self.assertIn("no space", storage.persist(self.entries(3)).reason)
        storage.close()
        limited_storage, opened = self.open_storage(max_bytes=1_000)
        self.assertEqual([entry.log_index for entry in opened.recovered.entries], [1])
        self.assertIn(
            "exceed its limit", limited_storage.persist(self.entries(*range(2, 90))).reason
        )

    def test_old_copy_or_lost_disk_gets_a_new_incarnation(self):
        storage = self.filled_storage()
        with open(self.segment_path(), "rb") as file:
            old_content = file.read()
        storage.persist([VoteRecord(7, "b")])
        storage.close()
        path = self.segment_path()
        with open(path, "wb") as file:
            file.write(old_content)
        storage, opened = self.open_storage()
        self.assertEqual((opened.recovered.disk_incarnation, opened.recovered.entries), (11, ()))
        self.assertIn("new incarnation", opened.warnings[0])
        storage.close()
        os.rename(self.folder, self.folder + ".away")
        storage, opened = self.open_storage()
        self.assertEqual(opened.recovered.disk_incarnation, 12)
        storage.close()
        os.unlink(self.lineage_path)
        with self.assertRaisesRegex(DamagedStorageError, "used before"):
            self.open_storage(True)
        self.assertEqual(self.open_storage()[1].recovered.disk_incarnation, 13)

    def test_new_incarnation_is_found_again_before_its_first_record(self):
        """Guards against a start that sets a directory aside since an older slot is read."""
        storage = self.filled_storage()
        storage.close()
        os.rename(self.folder, self.folder + ".away")
        storage, opened = self.open_storage()
        self.assertEqual(opened.recovered.disk_incarnation, 11)
        storage.close()
        _, opened = self.open_storage()
        self.assertEqual((opened.recovered.disk_incarnation, opened.warnings), (11, ()))

    def test_crash_between_the_writes_of_both_slots_is_safe(self):
        """Guards against a half-written lineage file that hides a lost directory."""
        self.filled_storage().close()
        os.rename(self.folder, self.folder + ".away")
        with self.assertRaisesRegex(OSError, "input/output"):
            self.open_storage(files=FailingLineageWrites(1))
        _, opened = self.open_storage()
        self.assertEqual(opened.recovered.disk_incarnation, 12)
        self.assertIn("new incarnation", opened.warnings[0])


if __name__ == "__main__":
    unittest.main()
