"""Tests of the decision log: explanations, retention, recovery after a kill, and queries."""

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

from measure.why import RecorderRig, kill_writers, simulate_flood
from measure.why_cases import DECISION_LOG_SETTINGS, NOW, run_case_mix
from tests.support.decisions import REQUEST_CLASSES
from tests.support.peers import SETTINGS, TIMEOUT_SECONDS, FakeEndpoint, reserve_port, wait_until
from tests.support.programs import Program
from thymeknot.cli.decision_log_client import query_results
from thymeknot.decision_log import query_protocol
from thymeknot.decision_log.entry_codec import (
    SLOT_BYTES,
    Entry,
    endpoints_sent_to,
    pack_slot,
    unpack_slot,
)
from thymeknot.decision_log.entry_filter import EntryFilter
from thymeknot.decision_log.explanations import EXPLANATIONS, explain_entry
from thymeknot.decision_log.fair_eviction import FairEviction
from thymeknot.decision_log.heavy_hitters import HeavyHitters
from thymeknot.decision_log.query_protocol import Watch, answer_query
from thymeknot.decision_log.regions import lay_out_regions
from thymeknot.decision_log.slot_file import HEADER_BYTES, SlotFile, load_slot_file
from thymeknot.interface.reasons import Reason as R

OK = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
READ, PAY = "c=read,t=acme,d=15000", "c=pay,t=acme,d=15000"


class Explanations(unittest.TestCase):
    def test_each_case_has_exactly_the_expected_reasons_and_all_reasons_occur(self):
        explained, total, reasons, wrong = run_case_mix(4)
        self.assertEqual(wrong, [])
        self.assertEqual((explained, reasons), (total, set(R)))

    def test_every_reason_has_an_explanation(self):
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


class UnexpectedEntries(unittest.TestCase):
    """An entry with a valid checksum may be of another version or have invalid fields.

    `thymeknot why` ended in a traceback for an unknown reason and for a note without a number.
    """

    ENTRY_FIELDS = (123, "id1", "k", "t", "read", False, int(R.DONE), 1000)
    VALID_NOTES = (
        [int(R.SENT), 0, "p", 41, False, 100, 0.5],
        [int(R.ENDED), 5, "p", 0, "done", 100, False],
        [int(R.VOTED), 5, 41, 1, 3, 0.5, 7],
        [int(R.POSITION), 0, 0.1, 0.5, 0.2],
    )
    EXTREME_VALUES = (-1, 0, 1, 999, 1 << 62, 1.5, float("inf"), True, None, "x", "")

    def read_entry(self, entry):
        slot = pack_slot(entry, 7)
        found = unpack_slot(slot)
        if found is not None:
            explain_entry(found.entry)
            query_protocol.entry_object(found.entry)
            endpoints_sent_to(found.entry)
        return found

    def test_note_elements_that_are_extreme_missing_or_of_a_wrong_type(self):
        for note in self.VALID_NOTES:
            for position in range(len(note)):
                changed = [
                    [*note[:position], value, *note[position + 1 :]]
                    for value in self.EXTREME_VALUES
                ]
                for changed_note in (*changed, note[:position], [*note, 1]):
                    with self.subTest(changed_note):
                        self.read_entry(Entry(*self.ENTRY_FIELDS, [changed_note]))

    def test_a_reason_of_a_later_version_is_shown_by_its_number(self):
        found = self.read_entry(Entry(*self.ENTRY_FIELDS[:6], 998, 1000, [[999, 10, "s-1"]]))
        lines = explain_entry(found.entry)
        self.assertIn("reason_998 after", lines[0])
        self.assertIn("REASON_999, from another version: ['s-1']", lines[1])
        self.assertIsNone(self.read_entry(Entry(*self.ENTRY_FIELDS, [[]])))
        self.assertIsNone(self.read_entry(Entry(*self.ENTRY_FIELDS, [["x", 0]])))


class Retention(unittest.TestCase):
    def test_a_flood_of_idempotent_requests_evicts_no_others(self):
        figures = simulate_flood(5)
        self.assertEqual(figures["costly_kept"], figures["costly_within"])
        self.assertGreater(figures["costly_within"], 30)

    def test_a_busy_tenant_evicts_only_its_own_entries(self):
        rig = RecorderRig(1, 1)
        for number in range(20):
            rig.record_request(f"quiet-{number}", tenant=f"q{number % 4}", final_reason=R.DEFERRED)
        for number in range(20_000):
            rig.now += 1
            rig.record_request(
                f"loud-{number}", tenant="loud", key=f"k-{number}", final_reason=R.DEFERRED
            )
        rig.recorder.flush(rig.now + SLOT_BYTES)
        self.assertEqual(
            sum(any(rig.recorder.find_by_name(f"quiet-{number}")) for number in range(20)), 20
        )
        self.assertLessEqual(len(rig.recorder.index.by_key), rig.recorder.slot_file.slots)

    def test_ordinary_requests_are_sampled_uniformly(self):
        rig = RecorderRig(2, 1, span_seconds=60)
        for number in range(60 * 100):
            rig.now += 100
            rig.record_request(f"u-{number}")
        ages = [
            int(entry.id[2:]) // 1500
            for entry in rig.recorder.find(EntryFilter(request_class="read"))
            if entry
        ]
        slots = rig.recorder.regions["ordinary"].slots
        self.assertGreater(len(ages), slots * 0.7)
        for quarter in range(1, 4):
            self.assertGreater(ages.count(quarter), slots * 0.1)

    def test_repeated_ids_and_client_retries(self):
        rig = RecorderRig(3)
        rig.record_request("x", "pay", key="k", final_reason=R.DEFERRED)
        rig.record_request("x", "pay", key="k", final_reason=R.ABANDONED)
        rig.now += 10_000
        rig.record_request("y", "pay", key="k")  # the client retries with a new id and succeeds
        rig.recorder.flush(rig.now + 10_000)
        self.assertEqual(
            [entry.final_reason for entry in rig.recorder.find_by_name("x")],
            [R.DEFERRED, R.ABANDONED],
        )
        self.assertEqual([entry.id for entry in rig.recorder.find_by_name("k")], ["x", "x", "y"])
        self.assertEqual(
            [match.id for match in rig.recorder.find(EntryFilter(reason=int(R.DEFERRED))) if match],
            ["x"],
        )
        self.assertEqual(rig.recorder.tally_report()["reasons"]["ABANDONED"], 1)

    def test_an_entry_too_long_for_its_slot_keeps_its_first_and_last_notes(self):
        notes = [[int(R.SENT), elapsed, "s" * 60, 1, False, 9, 1.0] for elapsed in range(40)]
        content = pack_slot(Entry(1, "i", "k", "t", "pay", False, 23, 5, list(notes)), 9)
        number, entry = unpack_slot(content.ljust(SLOT_BYTES, b"\0"))
        self.assertEqual((number, entry.notes[0], entry.notes[-1]), (9, notes[0], notes[-1]))
        self.assertEqual(entry.omitted_notes + len(entry.notes), 40)

    def test_regions_follow_priority_weights_and_fill_the_slots(self):
        regions = lay_out_regions(DECISION_LOG_SETTINGS, REQUEST_CLASSES, 1000)
        self.assertLessEqual(sum(count for _, count in regions.values()), 1000)
        self.assertGreater(sum(count for _, count in regions.values()), 980)
        self.assertGreater(regions["pay", True][1], 50)
        bounds = sorted((first, first + count) for first, count in regions.values())
        self.assertTrue(
            all(extent[1] == following[0] for extent, following in zip(bounds, bounds[1:]))
        )

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


class Persistence(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path, self.events = os.path.join(self.folder.name, "n1.why"), []

    def log_event(self, event, **fields):
        self.events.append((event, fields.get("because")))

    def test_a_kill_at_any_byte_of_a_write_leaves_other_entries_intact(self):
        slot_file = SlotFile(3, self.path, self.log_event)
        intact_content = pack_slot(Entry(1, "before", None, None, "pay", False, 24, 5, []), 1)
        content = pack_slot(
            Entry(2, "torn", "k", None, "pay", False, 24, 5, [[7, 0, "s-1", 1, False, 9, 1.0]]), 4
        )
        slot_file.write(0, intact_content)
        slot_file.write(2, intact_content)
        # In the order of the writes: clear the checksum, write the rest, write the new checksum.
        for cut in range(len(content) + 1):
            slot_file.write(
                1, pack_slot(Entry(3, "former", None, None, "pay", False, 24, 5, []), 2)
            )
            at = HEADER_BYTES + SLOT_BYTES
            slot_file.memory[at : at + 4] = b"\0\0\0\0"
            part = content[4 : 4 + cut]
            slot_file.memory[at + 4 : at + 4 + len(part)] = part
            if cut == len(content):
                slot_file.memory[at : at + 4] = content[:4]
            found, torn = SlotFile(3, self.path, self.log_event).read_all()
            whole = cut == len(content)
            self.assertEqual(
                [entry.id for _, _, entry in found], ["before"] + ["torn"] * whole + ["before"], cut
            )
            self.assertEqual(torn, 1 - whole)
        self.assertEqual(self.events, [])

    def test_entries_that_were_written_before_a_kill_are_recovered(self):
        self.assertEqual(kill_writers(4, 4)["recovered_after_kill"], 4)

    def test_an_unusable_file_is_renamed_and_an_unwritable_path_means_memory(self):
        SlotFile(3, self.path, self.log_event).close()
        SlotFile(5, self.path, self.log_event).close()  # the configured size has changed
        with open(self.path, "r+b") as target:
            target.write(b"no record at all")
        slot_file = SlotFile(5, self.path, self.log_event)
        self.assertEqual(
            [because for _, because in self.events],
            ["3 slots instead of the configured 5", "not a decision log"],
        )
        self.assertEqual(slot_file.read_all(), ([], 0))
        with open(self.path, "r+b") as target:
            target.seek(8)
            target.write(b"\7")
        SlotFile(5, self.path, self.log_event)
        self.assertEqual(self.events[-1], ("decision log set aside", "corrupt header"))
        for bad in (os.path.join(self.path, "below a file"), "/proc/none/n1.why"):
            self.assertIsNone(SlotFile(3, bad, self.log_event).path)
        self.assertEqual(self.events[-1][0], "decision log in memory")

    def test_a_full_disk_falls_back_to_memory(self):
        code = (
            "import resource; resource.setrlimit(resource.RLIMIT_FSIZE, (100000, 100000)); import signal; "
            "signal.signal(signal.SIGXFSZ, signal.SIG_IGN); from thymeknot.decision_log.slot_file import SlotFile; "
            f"print(SlotFile(1000, {self.path!r}).path)"
        )
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=TIMEOUT_SECONDS
        )
        self.assertEqual(completed.stdout.strip(), "None", completed.stderr)
        self.assertFalse(os.path.exists(self.path))

    def test_a_log_continues_after_a_restart_and_is_readable_as_a_file(self):
        rig = RecorderRig(1, 1, self.path)
        for at in range(2000):
            rig.now += 100
            rig.record_request(f"p-{at}", "pay", f"t{at % 3}", final_reason=R.ABANDONED)
        rig.recorder.flush(rig.now + 10_000)
        kept = len(rig.recorder.index.slots)
        restarted = RecorderRig(1, 1, self.path)
        self.assertEqual(
            (restarted.recorder.recovered_entries, restarted.recorder.torn_slots), (kept, 0)
        )
        self.assertEqual(
            [entry.final_reason for entry in restarted.recorder.find_by_name("p-1999")],
            [R.ABANDONED],
        )
        restarted.record_request("later", "pay", final_reason=R.ABANDONED)
        restarted.recorder.flush(restarted.now + 10_000)
        self.assertEqual(len(restarted.recorder.index.slots), kept)
        self.assertEqual(load_slot_file(self.path).read_all()[1], 0)
        lines = list(query_results("", self.path, {"ask": "why", "id": "later"}))
        self.assertEqual((lines[0]["end"], lines[-1]["end"]), ("ABANDONED", 1))


class Queries(unittest.TestCase):
    def query(self, record, **fields):
        return [json.loads(line) for line in answer_query(json.dumps(fields), record, 5) if line]

    def test_invalid_queries_get_an_error_and_answers_are_limited(self):
        rig = RecorderRig(1)
        for at in range(30):
            rig.record_request(f"p-{at}", "pay", final_reason=R.ABANDONED)
        rig.recorder.flush(rig.now + 10_000)
        for fields in (
            {"ask": "what"},
            {"ask": "find", "reason": "no such"},
            {"ask": "find", "since": "x"},
            {"ask": "why", "id": 7},
            {"ask": "find", "lane": "x" * 500},
        ):
            self.assertIn("error", self.query(rig.recorder, **fields)[0])
        self.assertIn("error", json.loads(next(answer_query(b"no json", rig.recorder, 5))))
        found = self.query(rig.recorder, ask="find", lane="pay")
        self.assertEqual((len(found), found[-1]), (6, {"end": 5, "more": True}))
        self.assertEqual(self.query(rig.recorder, ask="find", pod="nowhere"), [{"end": 0}])

    def test_a_slow_watcher_gets_the_number_of_missed_entries(self):
        watch = Watch(EntryFilter())
        for at in range(300):
            watch(Entry(at, "i", None, None, "pay", False, 24, 5, []))
        lines = watch.take_lines()
        self.assertEqual((len(lines), json.loads(lines[-1])), (257, {"missed": 44}))

    def test_queries_and_commands_against_a_running_instance(self):
        pods = [
            FakeEndpoint(lambda words: OK if words[2] != b"03" else None),
            FakeEndpoint(lambda words: b"-BUSY\r\n"),
        ]
        for pod in pods:
            self.addCleanup(pod.close)
        reservation, port = reserve_port()
        self.addCleanup(reservation.close)
        address = f"127.0.0.1:{port}"
        sidecar = Program(
            pods[0].entry("s-1"),
            operator=lambda folder: (
                f'why: {{listen: "{address}", directory: "kept", megabytes: 1}}'
            ),
        )
        self.addCleanup(sidecar.__exit__)
        sidecar.__enter__()
        with sidecar.client() as client:
            self.assertEqual(client.request("SVC.QUERY", "k1", "01", READ), b"ok")
            self.assertEqual(client.request("SVC.SUBMIT", "k2", "02", PAY, "B"), b"ok")
            self.assertTrue(client.request("SVC.SUBMIT", "k3", "03", PAY, "B").startswith(b"-ERR"))
        stalled_client = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(stalled_client.close)
        stalled_client.sendall(b'{"ask":"find"}\n' * 60)  # never reads the answers
        found = []
        wait_until(
            lambda: found and found[0]["end"] == "ABANDONED",
            lambda: (
                time.sleep(0.05),
                found.__setitem__(
                    slice(None), list(query_results(address, None, {"ask": "why", "id": "03"}))
                ),
            ),
        )
        self.assertEqual(
            [note["reason"] for note in found[0]["reasons"]],
            ["POSITION", "SENT", "ENDED", "MAY_HAVE_RUN", "ABANDONED"],
        )
        self.assertEqual(found[0]["reasons"][2]["operands"][:3], ["s-1", 0, "reset"])

        def run_command(*words, **variables):
            return subprocess.run(
                [sys.executable, "-m", "thymeknot", *words],
                capture_output=True,
                text=True,
                timeout=TIMEOUT_SECONDS,
                env={**os.environ, **variables},
            )

        completed = run_command("why", "--at", address, "k3")
        self.assertIn("must not run twice", completed.stdout, completed.stderr)
        self.assertEqual(run_command("why", "--at", address, "nothing").returncode, 1)
        # Finished requests are stored up to half a second later; until then `find` does not return
        # them.
        query = {"ask": "find", "lane": "pay"}
        wait_until(
            lambda: sum("id" in line for line in query_results(address, None, query)) == 2,
            lambda: time.sleep(0.05),
        )
        completed = run_command(
            "why", "--at", address, "--json", "find", "--lane", "pay", "--since", "1h"
        )
        self.assertEqual(
            {json.loads(line)["id"] for line in completed.stdout.splitlines()},
            {"02", "03"},
            (completed.returncode, completed.stderr),
        )
        self.assertEqual(
            run_command("why", "--at", address, "find", "--reason", "nonsense").returncode, 2
        )
        self.assertIn("MAY_HAVE_RUN", run_command("why", "--at", address, "tally").stdout)
        self.assertIn("stays_s", run_command("why", "--at", address, "kept").stdout)
        # Requests are served although another client does not read its answers.
        with sidecar.client() as client:
            self.assertEqual(client.request("SVC.QUERY", "k1", "04", READ), b"ok")
        sidecar.process.kill()
        sidecar.process.wait()
        self.assertEqual(run_command("why", "--at", address, "03").returncode, 3)
        completed = run_command(
            "why", "--file", os.path.join(sidecar.folder.name, "kept", "n1.why"), "03"
        )
        self.assertIn("answered: abandoned", completed.stdout, completed.stderr)
        completed = run_command(
            "check", NODE_CONFIG=sidecar.path, THYMEKNOT_OPERATOR=sidecar.operator
        )
        self.assertEqual(
            (completed.returncode, completed.stdout),
            (0, "both files are valid\n"),
            completed.stderr,
        )
        completed = run_command("--operator", sidecar.path, "check", NODE_CONFIG="/nowhere")
        self.assertEqual(
            (completed.returncode, len(completed.stderr.splitlines())), (2, 2), completed.stderr
        )
        self.assertEqual(len(SETTINGS["categories"]), 3)


if __name__ == "__main__":
    unittest.main()
