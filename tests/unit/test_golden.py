"""Stored data, messages between instances and decisions are what they were: files of tests/golden, read and written."""

import json
import os
import shutil
import tempfile
import unittest

import msgspec

from tests.golden import generate
from thymeknot.decision_log.entry_codec import SLOT_BYTES
from thymeknot.decision_log.recorder import Recorder
from thymeknot.decision_log.slot_file import HEADER_BYTES, SlotFile, load_slot_file
from thymeknot.disruption.state_machine import DisruptionStateMachine as DisruptionMachine
from thymeknot.gang_scheduling.state_machine import GangStateMachine as GangMachine
from thymeknot.gossip import codec
from thymeknot.gossip.keyring import Keyring
from thymeknot.gossip.settings import Peer, PeerKey
from thymeknot.interface.reasons import Reason
from thymeknot.raft import message_codec as letters
from thymeknot.raft.client_sessions import ClientSessions
from thymeknot.raft.messages import decode_message
from thymeknot.raft.records import Recovered, Snapshot
from thymeknot.raft.state_machine import CompositeStateMachine
from thymeknot.raft.storage import RaftStorage
from thymeknot.state.random_source import LinearCongruentialGenerator


def stored(name):
    """The bytes of a golden file."""
    with open(os.path.join(generate.FOLDER, name), "rb") as source:
        return source.read()


def stored_json(name):
    """The content of a golden JSON file."""
    return json.loads(stored(name))


def ring():
    """The public key of the identity that signed the golden messages."""
    return Keyring([Peer("a", None, (PeerKey(generate.identity("a").public_key_text(), None),))])


class WrittenAgain(unittest.TestCase):
    """The program writes the same bytes as the version that made the files."""

    def test_every_file_is_written_to_the_same_bytes(self):
        for name, content in generate.files().items():
            with self.subTest(name):
                self.assertEqual(content, stored(name))

    def test_no_file_is_left_unchecked(self):
        names = {
            os.path.relpath(os.path.join(parent, name), generate.FOLDER)
            for parent, _, names in os.walk(generate.FOLDER)
            for name in names
            if not name.endswith((".py", ".pyc"))
        }
        self.assertEqual(names, {*generate.files(), "simulated_days.json"})


class Decisions(unittest.TestCase):
    """Every action and reason of whole simulated days."""

    def test_simulated_days_are_the_same_action_by_action(self):
        days = stored_json("simulated_days.json")
        self.assertEqual(days.keys(), generate.SIMULATED_DAYS.keys())
        for kind, day in days.items():
            with self.subTest(kind):
                self.assertEqual(generate.simulated_day(kind), day)


class DecisionRecord(unittest.TestCase):
    """The record of decisions on disk."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = os.path.join(self.folder.name, "record.bin")
        with open(self.path, "wb") as target:
            target.write(stored("decision_record.bin"))

    def test_every_slot_is_read_and_packed_to_the_same_bytes(self):
        arena = load_slot_file(self.path)
        whole, torn = arena.read_all()
        self.assertEqual((len(whole), torn), (23, 0))
        for slot, number, entry in whole:
            with self.subTest(slot):
                begin = HEADER_BYTES + slot * SLOT_BYTES
                content = generate.pack_slot(entry, number)
                self.assertEqual(content, bytes(arena.memory[begin : begin + len(content)]))
        self.assertEqual(
            {note[0] for note in whole[-1][2].notes}, {int(reason) for reason in Reason}
        )

    def test_a_start_recovers_what_an_earlier_version_has_written(self):
        arena = SlotFile(generate.RECORD_SLOTS, self.path)
        self.addCleanup(arena.close)
        record = Recorder(
            generate.record_settings(),
            generate.lanes(),
            arena,
            epoch=1_000_000,
            clock=lambda: 0,
            random_source=LinearCongruentialGenerator(5),
        )
        self.assertEqual((record.recovered_entries, record.torn_slots), (22, 0))
        found = list(record.find_by_name("0000000000000019"))
        self.assertEqual(
            [(one.request_class, one.key, one.tenant) for one in found], [("pay", "key25", "acme")]
        )


class RaftFiles(unittest.TestCase):
    """A node's directory and the messages among nodes."""

    def opened(self, case):
        """The directory of a case as the store opens it: what was recovered, and the segment's bytes by then."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        shutil.copytree(
            os.path.join(generate.FOLDER, "raft", case), os.path.join(folder.name, "disk")
        )
        os.rename(
            os.path.join(folder.name, "disk", "lineage"), os.path.join(folder.name, "lineage")
        )
        store = RaftStorage(
            os.path.join(folder.name, "disk"), os.path.join(folder.name, "lineage"), lambda: 99
        )
        self.addCleanup(store.close)
        found = store.open()
        self.assertEqual(found.warnings, ())
        return found.recovered

    def test_a_log_with_a_vote_and_a_truncation_is_read(self):
        entries = (generate.log_entry(1, 1, part="turns", do="tick"),)
        self.assertEqual(
            self.opened("log"), Recovered(generate.DISK_INCARNATION, 2, None, None, entries)
        )

    def test_a_snapshot_with_entries_after_it_is_read(self):
        groups = generate.disk_records()
        snapshot = groups[3][0]._replace(replaces_log=True)
        self.assertIs(type(snapshot), Snapshot)
        entries = (groups[2][1], groups[4][0])
        self.assertEqual(
            self.opened("snapshot"), Recovered(generate.DISK_INCARNATION, 3, "b", snapshot, entries)
        )

    def test_every_message_is_read_and_written_to_the_same_bytes(self):
        wire = stored_json("raft_wire.json")
        for number, message in enumerate(generate.raft_messages()):
            with self.subTest(number):
                read = decode_message(bytes.fromhex(wire[f"message {number}"]))
                self.assertEqual(read, message)
                self.assertIs(type(read), type(message))

    def test_every_signed_letter_is_accepted(self):
        wire = stored_json("raft_wire.json")
        for kind in (letters.PEER, letters.PROPOSE, letters.READ, letters.REPLY):
            with self.subTest(kind):
                sealed = {
                    name: bytes.fromhex(value) for name, value in wire[f"letter {kind}"].items()
                }
                read = letters.open_message(ring(), 0, "b", bytes(range(32)), kind, **sealed)
                self.assertEqual(
                    (read.sender, read.kind, letters.decode_mapping(read.body)),
                    ("a", kind, {"kind": kind}),
                )


class StateMachines(unittest.TestCase):
    """The replicated state machines: replies to stored commands, and stored snapshots."""

    def machines(self):
        return (("disruption", DisruptionMachine), ("gang_scheduling", GangMachine))

    def test_every_stored_command_has_its_stored_reply(self):
        for name, machine in self.machines():
            exchanges = stored_json(f"{name}_exchanges.json")
            replies, _, _ = generate.applied(
                machine(), [(at, command) for at, command, _ in exchanges]
            )
            for (at, command, wanted), reply in zip(exchanges, replies):
                with self.subTest(machine=name, at=at, command=command):
                    self.assertEqual(json.loads(json.dumps(reply)), wanted)

    def test_a_stored_snapshot_is_loaded_and_written_to_the_same_bytes(self):
        for name, machine in self.machines():
            with self.subTest(name):
                content, one = stored(f"{name}_snapshot.msgpack"), machine()
                one.load(msgspec.msgpack.decode(content))
                self.assertEqual(msgspec.msgpack.encode(one.image()), content)

    def test_stored_sessions_are_loaded_and_written_to_the_same_bytes(self):
        for name, machine in self.machines():
            with self.subTest(name):
                content, one = stored(f"{name}_sessions.msgpack"), machine()
                sessions = ClientSessions(CompositeStateMachine({"turns": one, "gangs": one}), 4)
                sessions.load(content)
                self.assertEqual(sessions.image(), content)


class GossipDatagrams(unittest.TestCase):
    """Every kind of datagram and item that instances exchange."""

    def test_every_datagram_is_read_and_its_signature_holds(self):
        for at, text in enumerate(stored_json("gossip.json")["datagrams"]):
            with self.subTest(at):
                key, frame, signed, signature = codec.read_frame(bytes.fromhex(text))
                self.assertTrue(ring().verifies(key, signed, signature))
                self.assertEqual((frame.sender, frame.recipient, frame.number), ("a", "b", at))

    def test_every_item_is_read_and_its_signature_holds(self):
        kinds = (codec.Alive, codec.Left, codec.Suspect, codec.Evidence)
        for kind, text in zip(kinds, stored_json("gossip.json")["items"], strict=True):
            with self.subTest(kind):
                key, item, signed, signature = codec.read_item(bytes.fromhex(text))
                self.assertTrue(ring().verifies(key, signed, signature))
                self.assertIs(type(item.body), kind)


class EventLog(unittest.TestCase):
    """Log lines are stored data: what an earlier version logged is summed alike."""

    def test_a_log_of_all_events_is_summed_as_before(self):
        summed = generate.log_summary(stored("events.log"))
        self.assertEqual(json.loads(json.dumps(summed)), stored_json("events_summary.json"))

    def test_a_log_by_the_current_names_gives_the_same_sums(self):
        former, current = (
            generate.log_summary(stored(name)) for name in ("events.log", "events_current.log")
        )
        faults = former["figures"]["faults"]
        faults["request overdue"] = faults.pop("overdue")
        self.assertEqual(current["figures"], former["figures"])
        self.assertEqual(current["stretches"], former["stretches"])


if __name__ == "__main__":
    unittest.main()
