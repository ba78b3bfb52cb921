"""The record of decisions: reasons, what is kept, what a kill leaves, who asks."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from measure.why import Clocked, flood, kills
from measure.why_cases import NOW, WHY, mix
from tests.support.decisions import REQUEST_CLASSES
from tests.support.peers import SETTINGS, TIMEOUT_SECONDS, FakeEndpoint, reserve_port, wait_until
from tests.support.programs import Program
from thymeknot.cli.decision_log_client import query_results
from thymeknot.decision_log import query_protocol
from thymeknot.decision_log.entry_codec import SLOT_BYTES, Entry, pack_slot, pods, unpack_slot
from thymeknot.decision_log.entry_filter import EntryFilter
from thymeknot.decision_log.explanations import EXPLANATIONS, explain_entry
from thymeknot.decision_log.fair_eviction import FairEviction
from thymeknot.decision_log.heavy_hitters import HeavyHitters
from thymeknot.decision_log.query_protocol import Watch, answer
from thymeknot.decision_log.regions import lay_out_regions
from thymeknot.decision_log.slot_file import HEADER_BYTES, SlotFile, load_slot_file
from thymeknot.interface.reasons import Reason as R

OK = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
READ, PAY = "c=read,t=acme,d=15000", "c=pay,t=acme,d=15000"


class Explains(unittest.TestCase):
    def test_each_case_by_just_its_reasons_and_every_reason_occurs(self):
        right, total, met, wrong = mix(4)
        self.assertEqual(wrong, [])
        self.assertEqual((right, met), (total, set(R)))

    def test_each_reason_has_a_sentence(self):
        self.assertEqual(set(EXPLANATIONS), set(R))
        entry = Entry(
            NOW,
            "a",
            "k",
            "t",
            "pay",
            True,
            int(R.ABANDONED),
            900,
            [
                [int(R.POSITION), 0, 0.1, 0.5, 0.2],
                [int(R.SENT), 0, "s-1", 2, True, 9000, 1.0],
                [int(R.ENDED), 900, "s-1", 0, "reset", 900, False],
                [int(R.MAY_HAVE_RUN), 900, "s-1", 900],
                [int(R.ABANDONED), 900, "s-1"],
            ],
        )
        text = "\n".join(explain_entry(entry))
        for part in (
            "below the ramp at 0.5000",
            "sent to s-1, build 2 (the newest)",
            "it may have run",
            "must not run twice",
            "answered: abandoned",
            "a lane that may run again",
        ):
            self.assertIn(part, text)


class ReadsAnyRecord(unittest.TestCase):
    """A record whose checksum is right may be of another version, or wrong in any field: `thymeknot why` ended in a
    traceback for a reason that it does not know, and for a note without its number."""

    ENTRY = (123, "id1", "k", "t", "read", False, int(R.DONE), 1000)
    NOTES = (
        [int(R.SENT), 0, "p", 41, False, 100, 0.5],
        [int(R.ENDED), 5, "p", 0, "done", 100, False],
        [int(R.VOTED), 5, 41, 1, 3, 0.5, 7],
        [int(R.POSITION), 0, 0.1, 0.5, 0.2],
    )
    EDGES = (-1, 0, 1, 999, 1 << 62, 1.5, float("inf"), True, None, "x", "")

    def read(self, entry):
        slot = pack_slot(entry, 7)
        found = unpack_slot(slot)
        if found is not None:
            explain_entry(found.entry)
            query_protocol.shown(found.entry)
            pods(found.entry)
        return found

    def test_each_element_of_a_note_at_its_edges_of_a_wrong_type_or_left_out(self):
        for note in self.NOTES:
            for at in range(len(note)):
                changed = [[*note[:at], value, *note[at + 1 :]] for value in self.EDGES]
                for one in (*changed, note[:at], [*note, 1]):
                    with self.subTest(one):
                        self.read(Entry(*self.ENTRY, [one]))

    def test_a_reason_of_a_later_version_is_told_by_its_number(self):
        found = self.read(Entry(*self.ENTRY[:6], 998, 1000, [[999, 10, "s-1"]]))
        lines = explain_entry(found.entry)
        self.assertIn("reason_998 after", lines[0])
        self.assertIn("REASON_999, as another version tells it: ['s-1']", lines[1])
        self.assertIsNone(self.read(Entry(*self.ENTRY, [[]])))
        self.assertIsNone(self.read(Entry(*self.ENTRY, [["x", 0]])))


class Keeps(unittest.TestCase):
    def test_a_flood_of_cheap_ones_pushes_out_no_costly_one(self):
        kept = flood(5)
        self.assertEqual(kept["costly_kept"], kept["costly_within"])
        self.assertGreater(kept["costly_within"], 30)

    def test_a_loud_tenant_takes_its_own_slots(self):
        rig = Clocked(1, 1)
        for at in range(20):
            rig.one(f"quiet-{at}", tenant=f"q{at % 4}", end=R.DEFERRED)
        for at in range(20_000):
            rig.now += 1
            rig.one(f"loud-{at}", tenant="loud", key=f"k-{at}", end=R.DEFERRED)
        rig.record.flush(rig.now + SLOT_BYTES)
        self.assertEqual(sum(any(rig.record.find_by_name(f"quiet-{at}")) for at in range(20)), 20)
        self.assertLessEqual(len(rig.record.index.by_key), rig.record.slot_file.slots)

    def test_what_goes_as_usual_is_sampled_evenly(self):
        rig = Clocked(2, 1, span=60)
        for at in range(60 * 100):
            rig.now += 100
            rig.one(f"u-{at}")
        ages = [
            int(entry.id[2:]) // 1500
            for entry in rig.record.find(EntryFilter(request_class="read"))
            if entry
        ]
        slots = rig.record.regions["ordinary"].slots
        self.assertGreater(len(ages), slots * 0.7)
        for quarter in range(1, 4):
            self.assertGreater(ages.count(quarter), slots * 0.1)

    def test_ids_that_come_again_and_a_client_that_tries_again(self):
        rig = Clocked(3)
        rig.one("x", "pay", key="k", end=R.DEFERRED)
        rig.one("x", "pay", key="k", end=R.ABANDONED)
        rig.now += 10_000
        rig.one("y", "pay", key="k")  # the client's retry under a new id, and then it is done
        rig.record.flush(rig.now + 10_000)
        self.assertEqual(
            [entry.end for entry in rig.record.find_by_name("x")], [R.DEFERRED, R.ABANDONED]
        )
        self.assertEqual([entry.id for entry in rig.record.find_by_name("k")], ["x", "x", "y"])
        self.assertEqual(
            [one.id for one in rig.record.find(EntryFilter(reason=int(R.DEFERRED))) if one], ["x"]
        )
        self.assertEqual(rig.record.tally_report()["reasons"]["ABANDONED"], 1)

    def test_an_entry_longer_than_its_slot_keeps_its_beginning_and_end(self):
        notes = [[int(R.SENT), at, "s" * 60, 1, False, 9, 1.0] for at in range(40)]
        content = pack_slot(Entry(1, "i", "k", "t", "pay", False, 23, 5, list(notes)), 9)
        number, entry = unpack_slot(content.ljust(SLOT_BYTES, b"\0"))
        self.assertEqual((number, entry.notes[0], entry.notes[-1]), (9, notes[0], notes[-1]))
        self.assertEqual(entry.cut + len(entry.notes), 40)

    def test_regions_follow_what_lanes_earn_and_fill_the_slots(self):
        found = lay_out_regions(WHY, REQUEST_CLASSES, 1000)
        self.assertLessEqual(sum(count for _, count in found.values()), 1000)
        self.assertGreater(sum(count for _, count in found.values()), 980)
        self.assertGreater(found["pay", True][1], 50)
        ends = sorted((first, first + count) for first, count in found.values())
        self.assertTrue(all(one[1] == two[0] for one, two in zip(ends, ends[1:])))

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 5)), max_size=80))
    def test_shares_give_the_slot_of_who_holds_most(self, steps):
        shares, plain = FairEviction(), {}
        for slot, (give, holder) in enumerate(steps):
            if give and plain:
                slot = shares.evict()
                most = max(map(len, plain.values()))
                owner = next(name for name, held in plain.items() if slot in held)
                self.assertEqual((len(plain[owner]), plain[owner][0]), (most, slot))
                plain[owner].pop(0)
                plain = {name: held for name, held in plain.items() if held}
            else:
                shares.add(holder, slot)
                plain.setdefault(holder, []).append(slot)
            self.assertEqual(len(shares), sum(map(len, plain.values())))

    def test_heavy_hitters_are_found_in_bounded_memory(self):
        heavy = HeavyHitters(20)
        for at in range(30_000):
            heavy.add(f"n{at}" if at % 4 else "loud")
        name, count, over = heavy.top(1)[0]
        self.assertEqual(
            (name, count - over <= 7500 <= count, len(heavy.counts)), ("loud", True, 20)
        )


class Outlives(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path, self.said = os.path.join(self.folder.name, "n1.why"), []

    def say(self, event, **fields):
        self.said.append((event, fields.get("because")))

    def test_a_kill_at_every_byte_of_a_write_leaves_the_others_whole(self):
        arena = SlotFile(3, self.path, self.say)
        before = pack_slot(Entry(1, "before", None, None, "pay", False, 24, 5, []), 1)
        content = pack_slot(
            Entry(2, "torn", "k", None, "pay", False, 24, 5, [[7, 0, "s-1", 1, False, 9, 1.0]]), 4
        )
        arena.write(0, before)
        arena.write(2, before)
        # In the order of the writes: the checksum goes first, then the rest, the new checksum last.
        for cut in range(len(content) + 1):
            arena.write(1, pack_slot(Entry(3, "former", None, None, "pay", False, 24, 5, []), 2))
            at = HEADER_BYTES + SLOT_BYTES
            arena.memory[at : at + 4] = b"\0\0\0\0"
            part = content[4 : 4 + cut]
            arena.memory[at + 4 : at + 4 + len(part)] = part
            if cut == len(content):
                arena.memory[at : at + 4] = content[:4]
            found, torn = SlotFile(3, self.path, self.say).read_all()
            whole = cut == len(content)
            self.assertEqual(
                [entry.id for _, _, entry in found], ["before"] + ["torn"] * whole + ["before"], cut
            )
            self.assertEqual(torn, 1 - whole)
        self.assertEqual(self.said, [])

    def test_killed_writers_leave_what_they_had_told(self):
        self.assertEqual(kills(4, 4)["recovered_after_kill"], 4)

    def test_another_version_size_or_damage_is_set_aside_and_no_disk_means_memory(self):
        SlotFile(3, self.path, self.say).close()
        SlotFile(5, self.path, self.say).close()  # shrunk or grown by a setting
        with open(self.path, "r+b") as target:
            target.write(b"no record at all")
        arena = SlotFile(5, self.path, self.say)
        self.assertEqual([because for _, because in self.said], ["3 slots, 5 are set", "no record"])
        self.assertEqual(arena.read_all(), ([], 0))
        with open(self.path, "r+b") as target:
            target.seek(8)
            target.write(b"\7")
        SlotFile(5, self.path, self.say)
        self.assertEqual(self.said[-1], ("decision log set aside", "damaged head"))
        for bad in (os.path.join(self.path, "below a file"), "/proc/none/n1.why"):
            self.assertIsNone(SlotFile(3, bad, self.say).path)
        self.assertEqual(self.said[-1][0], "decision log in memory")

    def test_a_full_disk_means_memory(self):
        code = (
            "import resource; resource.setrlimit(resource.RLIMIT_FSIZE, (100000, 100000)); import signal; "
            "signal.signal(signal.SIGXFSZ, signal.SIG_IGN); from thymeknot.decision_log.slot_file import SlotFile; "
            f"print(SlotFile(1000, {self.path!r}).path)"
        )
        ended = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=TIMEOUT_SECONDS
        )
        self.assertEqual(ended.stdout.strip(), "None", ended.stderr)
        self.assertFalse(os.path.exists(self.path))

    def test_a_record_goes_on_after_a_start_and_is_read_without_one(self):
        rig = Clocked(1, 1, self.path)
        for at in range(2000):
            rig.now += 100
            rig.one(f"p-{at}", "pay", f"t{at % 3}", end=R.ABANDONED)
        rig.record.flush(rig.now + 10_000)
        kept = len(rig.record.index.slots)
        again = Clocked(1, 1, self.path)
        self.assertEqual((again.record.recovered_entries, again.record.torn_slots), (kept, 0))
        self.assertEqual(
            [entry.end for entry in again.record.find_by_name("p-1999")], [R.ABANDONED]
        )
        again.one("later", "pay", end=R.ABANDONED)
        again.record.flush(again.now + 10_000)
        self.assertEqual(len(again.record.index.slots), kept)
        self.assertEqual(load_slot_file(self.path).read_all()[1], 0)
        lines = list(query_results("", self.path, {"ask": "why", "id": "later"}))
        self.assertEqual((lines[0]["end"], lines[-1]["end"]), ("ABANDONED", 1))


class Asked(unittest.TestCase):
    def answers(self, record, **told):
        return [json.loads(line) for line in answer(json.dumps(told), record, 5) if line]

    def test_faulty_questions_get_an_error_and_answers_are_bounded(self):
        rig = Clocked(1)
        for at in range(30):
            rig.one(f"p-{at}", "pay", end=R.ABANDONED)
        rig.record.flush(rig.now + 10_000)
        for told in (
            {"ask": "what"},
            {"ask": "find", "reason": "no such"},
            {"ask": "find", "since": "x"},
            {"ask": "why", "id": 7},
            {"ask": "find", "lane": "x" * 500},
        ):
            self.assertIn("error", self.answers(rig.record, **told)[0])
        self.assertIn("error", json.loads(next(answer(b"no json", rig.record, 5))))
        found = self.answers(rig.record, ask="find", lane="pay")
        self.assertEqual((len(found), found[-1]), (6, {"end": 5, "more": True}))
        self.assertEqual(self.answers(rig.record, ask="find", pod="nowhere"), [{"end": 0}])

    def test_a_watcher_that_is_slow_is_told_what_it_missed(self):
        watch = Watch(EntryFilter())
        for at in range(300):
            watch(Entry(at, "i", None, None, "pay", False, 24, 5, []))
        lines = watch.take()
        self.assertEqual((len(lines), json.loads(lines[-1])), (257, {"missed": 44}))

    def test_a_live_instance_and_the_commands(self):
        pods = [
            FakeEndpoint(lambda words: OK if words[2] != b"03" else None),
            FakeEndpoint(lambda words: b"-BUSY\r\n"),
        ]
        for pod in pods:
            self.addCleanup(pod.close)
        kept, port = reserve_port()
        self.addCleanup(kept.close)
        place = f"127.0.0.1:{port}"
        running = Program(
            pods[0].entry("s-1"),
            operator=lambda folder: f'why: {{listen: "{place}", directory: "kept", megabytes: 1}}',
        )
        self.addCleanup(running.__exit__)
        running.__enter__()
        with running.client() as client:
            self.assertEqual(client.request("SVC.QUERY", "k1", "01", READ), b"ok")
            self.assertEqual(client.request("SVC.SUBMIT", "k2", "02", PAY, "B"), b"ok")
            self.assertTrue(client.request("SVC.SUBMIT", "k3", "03", PAY, "B").startswith(b"-ERR"))
        unread = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(unread.close)
        unread.sendall(b'{"ask":"find"}\n' * 60)  # never reads an answer
        found = []
        wait_until(
            lambda: found and found[0]["end"] == "ABANDONED",
            lambda: (
                time.sleep(0.05),
                found.__setitem__(
                    slice(None), list(query_results(place, None, {"ask": "why", "id": "03"}))
                ),
            ),
        )
        self.assertEqual(
            [one["reason"] for one in found[0]["reasons"]],
            ["POSITION", "SENT", "ENDED", "MAY_HAVE_RUN", "ABANDONED"],
        )
        self.assertEqual(found[0]["reasons"][2]["operands"][:3], ["s-1", 0, "reset"])

        def command(*words, **more):
            return subprocess.run(
                [sys.executable, "-m", "thymeknot", *words],
                capture_output=True,
                text=True,
                timeout=TIMEOUT_SECONDS,
                env={**os.environ, **more},
            )

        said = command("why", "--at", place, "k3")
        self.assertIn("must not run twice", said.stdout, said.stderr)
        self.assertEqual(command("why", "--at", place, "nothing").returncode, 1)
        # What is over is kept at the next upkeep, up to half a second later: until then `find` knows nothing of it.
        asked = {"ask": "find", "lane": "pay"}
        wait_until(
            lambda: sum("id" in one for one in query_results(place, None, asked)) == 2,
            lambda: time.sleep(0.05),
        )
        said = command("why", "--at", place, "--json", "find", "--lane", "pay", "--since", "1h")
        self.assertEqual(
            {json.loads(line)["id"] for line in said.stdout.splitlines()},
            {"02", "03"},
            (said.returncode, said.stderr),
        )
        self.assertEqual(
            command("why", "--at", place, "find", "--reason", "nonsense").returncode, 2
        )
        self.assertIn("MAY_HAVE_RUN", command("why", "--at", place, "tally").stdout)
        self.assertIn("stays_s", command("why", "--at", place, "kept").stdout)
        with running.client() as client:  # transactions are served while somebody does not read
            self.assertEqual(client.request("SVC.QUERY", "k1", "04", READ), b"ok")
        running.process.kill()
        running.process.wait()
        self.assertEqual(command("why", "--at", place, "03").returncode, 3)
        said = command("why", "--file", os.path.join(running.folder.name, "kept", "n1.why"), "03")
        self.assertIn("answered: abandoned", said.stdout, said.stderr)
        said = command("check", NODE_CONFIG=running.path, THYMEKNOT_OPERATOR=running.operator)
        self.assertEqual(
            (said.returncode, said.stdout), (0, "both files can be used\n"), said.stderr
        )
        said = command("--operator", running.path, "check", NODE_CONFIG="/nowhere")
        self.assertEqual((said.returncode, len(said.stderr.splitlines())), (2, 2), said.stderr)
        self.assertEqual(len(SETTINGS["categories"]), 3)


if __name__ == "__main__":
    unittest.main()
