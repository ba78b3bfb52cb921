"""The storage: what comes back after a start, torn tails, damage, full disks, old copies."""

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

EDGES = (-1, 0, 1, 1 << 62, (1 << 64) - 1, 1.5, True, None, "x", "", "../x", b"x", [], {}, [1])


class FaultyFileSystem(FileSystem):
    """full: writes fail once so many bytes were written. short: a write takes so many at most."""

    def __init__(self, full=None, short=None):
        self.full, self.short, self.written = full, short, 0

    def write(self, file, content):
        if self.full is not None and self.written + len(content) > self.full:
            raise OSError(errno.ENOSPC, "no space left on device")
        self.written += len(content)
        return os.write(file, content[: self.short])


class StorageTests(unittest.TestCase):
    def setUp(self):
        self.place = tempfile.TemporaryDirectory()
        self.addCleanup(self.place.cleanup)
        self.folder, self.second = self.place.name + "/log", self.place.name + "/second/lineage"
        self.incarnations = 10

    def fresh(self):
        self.incarnations += 1
        return self.incarnations

    def open(self, found=False, **more):
        store = RaftStorage(self.folder, self.second, self.fresh, **more)
        opened = store.open(found)
        self.addCleanup(store.close)
        return store, opened

    def entries(self, *indices, term=1):
        return [
            Entry(index, term, index, "o", 1, index, {"part": "x", "n": index}) for index in indices
        ]

    def segment(self):
        return next(
            f"{self.folder}/{name}" for name in os.listdir(self.folder) if name.endswith(".seg")
        )

    def lay(self, name, content):
        """Has the directory hold this file alone."""
        shutil.rmtree(self.folder)
        os.mkdir(self.folder)
        with open(f"{self.folder}/{name}", "wb") as file:
            file.write(content)

    def filled(self):
        store, _ = self.open(True)
        self.assertIsNone(store.persist([VoteRecord(1, "a"), *self.entries(1, 2, 3)]))
        self.assertIsNone(store.persist([TruncationRecord(3), *self.entries(3, 4, term=2)]))
        return store

    def test_comes_back(self):
        store = self.filled()
        for _ in range(2):
            store.close()
            store, opened = self.open()
            self.assertEqual(
                opened,
                (
                    Recovered(0, 1, "a", None, (*self.entries(1, 2), *self.entries(3, 4, term=2))),
                    (),
                ),
            )

    def test_snapshot(self):
        store = self.filled()
        snapshot = Snapshot(3, 2, 3, Members({"a": 0}, {}), b"x" * 3_000_000)
        self.assertIsNone(store.persist([snapshot, *self.entries(5, term=2)]))
        store.close()
        _, opened = self.open()
        self.assertEqual(opened.recovered.snapshot.content, snapshot.content)
        self.assertEqual([one.log_index for one in opened.recovered.entries], [4, 5])
        self.assertEqual(len(os.listdir(self.folder)), 2)

    def test_torn_tail_is_cut_and_said(self):
        self.filled().close()
        for tail in (b"\0\0\0\x30abcd", bytes(500)):
            with open(self.segment(), "ab") as file:
                file.write(tail)
            store, opened = self.open()
            store.close()
            self.assertIn("broke off", opened.warnings[0])
            self.assertEqual(len(opened.recovered.entries), 4)

    def test_damage_in_the_middle_is_refused(self):
        self.filled().close()
        path = self.segment()
        with open(path, "r+b") as file:
            file.seek(40)
            byte = file.read(1)
            file.seek(40)
            file.write(bytes([byte[0] ^ 1]))
        with self.assertRaisesRegex(DamagedStorageError, "damage at byte"):
            self.open()

    def test_a_record_of_no_kind_is_damage(self):
        """A record names its kind by its place in a table. A kind below 0 counted from the table's end, so that -1 was
        read as a snapshot and -4 as an entry; any other number is damage, and so is a segment's name without one."""
        self.filled().close()
        with open(self.segment(), "rb") as file:
            whole = file.read()
        for kind in (-1, -4, -5, 5, 1 << 62):
            body = msgspec.msgpack.encode((kind, self.entries(5, term=2)[0]))
            self.lay("000000000001.seg", whole + frame(body))
            with self.subTest(kind), self.assertRaises(DamagedStorageError):
                self.open()
        self.lay("x.seg", whole)
        with self.assertRaises(DamagedStorageError):
            self.open()

    def test_each_field_of_a_record_at_its_edges_and_of_a_wrong_type(self):
        """Whatever a whole record holds, a start reads it or says that the directory is damaged."""
        self.filled().close()
        with open(self.segment(), "rb") as file:
            whole = file.read()
        records = [
            (4, [5, 11]),
            (0, [*self.entries(5, term=2)[0]]),
            (1, [3, "a"]),
            (2, [4]),
            (3, ["000000000009.snap", True]),
        ]
        for kind, fields in records:
            for at, value in itertools.product(range(len(fields)), EDGES):
                changed = [*fields[:at], value, *fields[at + 1 :]]
                added = frame(msgspec.msgpack.encode((kind, changed)))
                self.lay("000000000001.seg", added if kind == 4 else whole + added)
                store = RaftStorage(self.folder, self.second, self.fresh)
                with self.subTest(kind=kind, at=at, value=value):
                    try:
                        store.open()
                    except DamagedStorageError:
                        pass
                    finally:
                        store.close()

    def test_full_disk_is_a_value_and_stays(self):
        files = FaultyFileSystem(short=7)
        store, _ = self.open(True, files=files)
        self.assertIsNone(store.persist(self.entries(1)))
        files.full = files.written + 10
        self.assertIn("no space", store.persist(self.entries(2)).reason)
        files.full = None
        self.assertIn("no space", store.persist(self.entries(3)).reason)
        store.close()
        small, opened = self.open(max_bytes=1_000)
        self.assertEqual([one.log_index for one in opened.recovered.entries], [1])
        self.assertIn("may take", small.persist(self.entries(*range(2, 90))).reason)

    def test_old_copy_or_lost_disk_comes_back_under_another_incarnation(self):
        store = self.filled()
        with open(self.segment(), "rb") as file:
            old = file.read()
        store.persist([VoteRecord(7, "b")])
        store.close()
        path = self.segment()
        with open(path, "wb") as file:
            file.write(old)
        store, opened = self.open()
        self.assertEqual((opened.recovered.disk_incarnation, opened.recovered.entries), (11, ()))
        self.assertIn("newcomer", opened.warnings[0])
        store.close()
        os.rename(self.folder, self.folder + ".away")
        store, opened = self.open()
        self.assertEqual(opened.recovered.disk_incarnation, 12)
        store.close()
        os.unlink(self.second)
        with self.assertRaisesRegex(DamagedStorageError, "used before"):
            self.open(True)
        self.assertEqual(self.open()[1].recovered.disk_incarnation, 13)


if __name__ == "__main__":
    unittest.main()
