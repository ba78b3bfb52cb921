"""Compares stored data, messages between instances and decisions with the files of tests/golden."""

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
from thymeknot.raft import message_codec as raft_codec
from thymeknot.raft.client_sessions import ClientSessions
from thymeknot.raft.messages import decode_message
from thymeknot.raft.records import Recovered, Snapshot
from thymeknot.raft.state_machine import CompositeStateMachine
from thymeknot.raft.storage import RaftStorage
from thymeknot.state.random_source import LinearCongruentialGenerator


def read_golden(name):
    """Returns the bytes of a golden file."""
    with open(os.path.join(generate.GOLDEN_DIRECTORY, name), "rb") as source:
        return source.read()


def read_golden_json(name):
    """Returns the content of a golden JSON file."""
    return json.loads(read_golden(name))


def make_keyring():
    """Returns a keyring with the public key of the identity that signed the golden messages."""
    return Keyring(
        [Peer("a", None, (PeerKey(generate.make_identity("a").public_key_text(), None),))]
    )


class GoldenFiles(unittest.TestCase):
    """The program writes the same bytes as the version that generated the files."""

    def test_program_writes_the_stored_bytes(self):
        for name, content in generate.make_golden_files().items():
            with self.subTest(name):
                self.assertEqual(content, read_golden(name))

    def test_every_golden_file_is_checked(self):
        names = {
            os.path.relpath(os.path.join(parent, name), generate.GOLDEN_DIRECTORY)
            for parent, _, names in os.walk(generate.GOLDEN_DIRECTORY)
            for name in names
            if not name.endswith((".py", ".pyc"))
        }
        self.assertEqual(names, {*generate.make_golden_files(), "simulated_days.json"})


class Scenarios(unittest.TestCase):
    """The actions and reasons of whole simulated scenarios."""

    def test_scenarios_have_the_stored_actions_and_reasons(self):
        digests = read_golden_json("simulated_days.json")
        self.assertEqual(digests.keys(), generate.SCENARIOS.keys())
        for name, digest in digests.items():
            with self.subTest(name):
                self.assertEqual(generate.run_scenario(name), digest)


class DecisionLogFile(unittest.TestCase):
    """The decision log file."""

    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.path = os.path.join(self.directory.name, "record.bin")
        with open(self.path, "wb") as target:
            target.write(read_golden("decision_record.bin"))

    def test_decoded_slots_encode_to_the_stored_bytes(self):
        slot_file = load_slot_file(self.path)
        entries, torn_slots = slot_file.read_all()
        self.assertEqual((len(entries), torn_slots), (23, 0))
        for slot, number, entry in entries:
            with self.subTest(slot):
                start = HEADER_BYTES + slot * SLOT_BYTES
                content = generate.pack_slot(entry, number)
                self.assertEqual(content, bytes(slot_file.memory[start : start + len(content)]))
        self.assertEqual(
            {note[0] for note in entries[-1][2].notes}, {int(reason) for reason in Reason}
        )

    def test_recorder_recovers_entries_of_an_earlier_version(self):
        slot_file = SlotFile(generate.DECISION_LOG_SLOTS, self.path)
        self.addCleanup(slot_file.close)
        recorder = Recorder(
            generate.decision_log_settings(),
            generate.make_request_classes(),
            slot_file,
            epoch=1_000_000,
            clock=lambda: 0,
            random_source=LinearCongruentialGenerator(5),
        )
        self.assertEqual((recorder.recovered_entries, recorder.torn_slots), (22, 0))
        entries = list(recorder.find_by_name("0000000000000019"))
        self.assertEqual(
            [(entry.request_class, entry.key, entry.tenant) for entry in entries],
            [("pay", "key25", "acme")],
        )


class RaftFiles(unittest.TestCase):
    """A node's raft directory and the messages between nodes."""

    def recover(self, case):
        """Opens a copy of the raft directory of a case; returns what the storage recovers."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        shutil.copytree(
            os.path.join(generate.GOLDEN_DIRECTORY, "raft", case),
            os.path.join(directory.name, "disk"),
        )
        os.rename(
            os.path.join(directory.name, "disk", "lineage"), os.path.join(directory.name, "lineage")
        )
        storage = RaftStorage(
            os.path.join(directory.name, "disk"),
            os.path.join(directory.name, "lineage"),
            lambda: 99,
        )
        self.addCleanup(storage.close)
        opened = storage.open()
        self.assertEqual(opened.warnings, ())
        return opened.recovered

    def test_log_with_a_vote_and_a_truncation_is_recovered(self):
        entries = (generate.raft_entry(1, 1, part="turns", do="tick"),)
        self.assertEqual(
            self.recover("log"), Recovered(generate.RAFT_INCARNATION, 2, None, None, entries)
        )

    def test_snapshot_with_later_entries_is_recovered(self):
        record_groups = generate.persisted_groups()
        snapshot = record_groups[3][0]._replace(replaces_log=True)
        self.assertIs(type(snapshot), Snapshot)
        entries = (record_groups[2][1], record_groups[4][0])
        self.assertEqual(
            self.recover("snapshot"),
            Recovered(generate.RAFT_INCARNATION, 3, "b", snapshot, entries),
        )

    def test_stored_messages_are_decoded(self):
        encoded = read_golden_json("raft_wire.json")
        for number, message in enumerate(generate.sample_raft_messages()):
            with self.subTest(number):
                decoded = decode_message(bytes.fromhex(encoded[f"message {number}"]))
                self.assertEqual(decoded, message)
                self.assertIs(type(decoded), type(message))

    def test_signed_messages_are_accepted(self):
        encoded = read_golden_json("raft_wire.json")
        for kind in (raft_codec.PEER, raft_codec.PROPOSE, raft_codec.READ, raft_codec.REPLY):
            with self.subTest(kind):
                signed = {
                    name: bytes.fromhex(value) for name, value in encoded[f"letter {kind}"].items()
                }
                decoded = raft_codec.open_message(
                    make_keyring(), 0, "b", bytes(range(32)), kind, **signed
                )
                self.assertEqual(
                    (decoded.sender, decoded.kind, raft_codec.decode_mapping(decoded.body)),
                    ("a", kind, {"kind": kind}),
                )


class StateMachines(unittest.TestCase):
    """The replicated state machines: replies to stored commands, stored snapshots and sessions."""

    def state_machines(self):
        return (("disruption", DisruptionMachine), ("gang_scheduling", GangMachine))

    def test_commands_get_the_stored_replies(self):
        for name, machine_class in self.state_machines():
            exchanges = read_golden_json(f"{name}_exchanges.json")
            replies, _, _ = generate.apply_commands(
                machine_class(), [(agreed_time, command) for agreed_time, command, _ in exchanges]
            )
            for (agreed_time, command, expected), reply in zip(exchanges, replies):
                with self.subTest(machine=name, at=agreed_time, command=command):
                    self.assertEqual(json.loads(json.dumps(reply)), expected)

    def test_loaded_snapshots_encode_to_the_stored_bytes(self):
        for name, machine_class in self.state_machines():
            with self.subTest(name):
                content, machine = read_golden(f"{name}_snapshot.msgpack"), machine_class()
                machine.load(msgspec.msgpack.decode(content))
                self.assertEqual(msgspec.msgpack.encode(machine.image()), content)

    def test_loaded_sessions_encode_to_the_stored_bytes(self):
        for name, machine_class in self.state_machines():
            with self.subTest(name):
                content, machine = read_golden(f"{name}_sessions.msgpack"), machine_class()
                sessions = ClientSessions(
                    CompositeStateMachine({"turns": machine, "gangs": machine}), 4
                )
                sessions.load(content)
                self.assertEqual(sessions.image(), content)


class GossipMessages(unittest.TestCase):
    """Datagrams and items of every kind that instances exchange."""

    def test_datagrams_are_decoded_and_verified(self):
        for number, text in enumerate(read_golden_json("gossip.json")["datagrams"]):
            with self.subTest(number):
                key, frame, signed, signature = codec.read_frame(bytes.fromhex(text))
                self.assertTrue(make_keyring().verifies(key, signed, signature))
                self.assertEqual((frame.sender, frame.recipient, frame.number), ("a", "b", number))

    def test_items_are_decoded_and_verified(self):
        kinds = (codec.Alive, codec.Left, codec.Suspect, codec.Evidence)
        for kind, text in zip(kinds, read_golden_json("gossip.json")["items"], strict=True):
            with self.subTest(kind):
                key, item, signed, signature = codec.read_item(bytes.fromhex(text))
                self.assertTrue(make_keyring().verifies(key, signed, signature))
                self.assertIs(type(item.body), kind)


class EventLog(unittest.TestCase):
    """Log lines are stored data: those of an earlier version give the same summary."""

    def test_log_of_all_events_has_the_stored_summary(self):
        summary = generate.summarize_log(read_golden("events.log"))
        self.assertEqual(json.loads(json.dumps(summary)), read_golden_json("events_summary.json"))

    def test_current_event_names_have_the_same_summary(self):
        former_summary, current_summary = (
            generate.summarize_log(read_golden(name))
            for name in ("events.log", "events_current.log")
        )
        former_faults = former_summary["figures"]["faults"]
        former_faults["request overdue"] = former_faults.pop("overdue")
        self.assertEqual(current_summary["figures"], former_summary["figures"])
        self.assertEqual(current_summary["stretches"], former_summary["stretches"])


if __name__ == "__main__":
    unittest.main()
