"""Makes the golden files: `python -m tests.golden.generate` writes them beside this file, `--check` only compares.

They were made once, with the program as it was before its packages were renamed, and are not made anew for a change of
names or shape: a difference means that stored data, a message between instances or a decision has changed. A file is
made again only where such a change is wanted, in a commit that says so.

Keys are derived from fixed bytes, disks are told their random numbers, and clocks are replaced by counters, so that
every run gives the same bytes.
"""

import hashlib
import json
import os
import sys
import tempfile
from unittest import mock

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from twisted.protocols.amp import AmpBox

from tests.golden.state_machine_commands import DISRUPTION_COMMANDS, GANG_SCHEDULING_COMMANDS
from thymeknot.cli.log_summary import Summary
from thymeknot.decision_log.entry_codec import Entry, pack_slot
from thymeknot.decision_log.recorder import Recorder
from thymeknot.decision_log.regions import lay_out_regions
from thymeknot.decision_log.settings import DecisionLogSettings
from thymeknot.decision_log.slot_file import SlotFile
from thymeknot.disruption.state_machine import DisruptionStateMachine as DisruptionMachine
from thymeknot.gang_scheduling.state_machine import GangStateMachine as GangMachine
from thymeknot.gossip import codec
from thymeknot.gossip.keyring import Identity
from thymeknot.interface.enums import DeduplicationScope, Idempotency
from thymeknot.interface.reasons import Reason
from thymeknot.interface.settings import RequestClass
from thymeknot.policy.engine import DecisionEngine
from thymeknot.raft import message_codec as raft_codec
from thymeknot.raft import messages, records
from thymeknot.raft.client_sessions import ClientSessions
from thymeknot.raft.state_machine import CompositeStateMachine
from thymeknot.raft.storage import RaftStorage
from thymeknot.service import structured_log
from thymeknot.service.log_events import CURRENT_NAMES, LEVELS
from thymeknot.simulation import large_fleet_scenarios, scenarios
from thymeknot.simulation.simulator import Simulator
from thymeknot.simulator_wire.codec import write_action
from thymeknot.state.random_source import LinearCongruentialGenerator

GOLDEN_DIRECTORY = os.path.dirname(os.path.abspath(__file__))
RAFT_DIRECTORY = "raft"
RAFT_INCARNATION = 7
DECISION_LOG_SLOTS = 42
_SMALL_FLEET_SIZE = {"instances": 12, "pods": 9, "seconds": 36, "load": 0.4}
SCENARIOS = {
    "drawn": (1, {"instances": 6, "pods": 8, "rate": 80.0, "seconds": 40}),
    "overload": (4, _SMALL_FLEET_SIZE),
    "split": (5, _SMALL_FLEET_SIZE),
    "herd": (4, _SMALL_FLEET_SIZE),
    "zone": (1, _SMALL_FLEET_SIZE),
    "join-vast": (2, _SMALL_FLEET_SIZE),
    "calm-mass": (2, _SMALL_FLEET_SIZE),
    "roll-mass": (6, _SMALL_FLEET_SIZE),
}


def make_identity(name):
    """An identity whose private key follows from its name."""
    return Identity(
        name, Ed25519PrivateKey.from_private_bytes(hashlib.sha256(name.encode()).digest())
    )


def encode_json(value):
    """Readable JSON, one entry a line for the outermost sequence or mapping."""
    return (json.dumps(value, indent=1) + "\n").encode()


# The record of decisions on disk.


def make_request_classes():
    """Two request classes, one that may be repeated and one that may not."""
    return {
        "read": RequestClass(
            "read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 2000, 6000, 1.0, 0.0
        ),
        "pay": RequestClass(
            "pay", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 4000, 12000, 6.0, 0.2
        ),
    }


def decision_log_settings():
    """Settings of the record of decisions."""
    return DecisionLogSettings(1, None, "127.0.0.1:0", 0.5, 0.2, 600_000, 4)


def write_decision_log(path):
    """Writes a record through its public calls, then one slot by hand, and gives the file's bytes."""
    slot_file = SlotFile(DECISION_LOG_SLOTS, path)
    clock = iter(range(0, 10_000_000, 70)).__next__
    recorder = Recorder(
        decision_log_settings(),
        make_request_classes(),
        slot_file,
        epoch=1_000_000,
        clock=clock,
        random_source=LinearCongruentialGenerator(5),
    )
    for number in range(30):
        name, request_class = f"{number:016x}", "pay" if number % 3 else "read"
        recorder.request_received(
            name, f"key{number}", "acme" if number % 2 else None, request_class, number % 5 == 0
        )
        recorder.record_reason(name, Reason.POSITION, 0.25, 0.5, 0.3)
        recorder.record_reason(name, Reason.SENT, f"s-{number % 4}", 41, True, 1500, 0.75)
        recorder.record_reason(
            name, Reason.ENDED, f"s-{number % 4}", 0, "done" if number % 4 else "reset", 120, False
        )
        if number % 4:
            recorder.request_answered(name, Reason.DONE)
        else:
            recorder.record_reason(name, Reason.ABANDONED, f"s-{number % 4}")
        recorder.request_finished(name)
    recorder.record_reason(None, Reason.VOTED, 41, 2, 3, 1.25, 250)
    recorder.flush(10_000_000)
    notes = [[int(reason), 10, "s-1", 2, 3.5, True, None] for reason in Reason]
    slot_file.write(
        DECISION_LOG_SLOTS - 1,
        pack_slot(Entry(5, "e" * 40, "k", "t", "pay", True, int(Reason.LEFT), 9, notes), 999),
    )
    slot_file.memory.flush()
    slot_file.close()
    with open(path, "rb") as source:
        return source.read()


def decision_log_layout():
    """Where each region of the record lies."""
    regions = lay_out_regions(decision_log_settings(), make_request_classes(), DECISION_LOG_SLOTS)
    return [
        [list(name) if isinstance(name, tuple) else name, *extent]
        for name, extent in regions.items()
    ]


# The replicated log on disk, and its messages.


def raft_entry(index, term=2, **command):
    return records.Entry(index, term, 1000 * index, "op/ann", 3, index, command)


def persisted_groups():
    """What a node persists in turn: votes, entries, a truncation, a snapshot and entries after it."""
    members = records.Members({"a": 0, "b": 0, "c": 7}, {"d": 9})
    return [
        [
            records.VoteRecord(1, "a"),
            raft_entry(1, 1, part="turns", do="tick"),
            raft_entry(2, 1, part="gangs", do="tick"),
        ],
        [records.VoteRecord(2, None), records.TruncationRecord(2)],
        [
            raft_entry(2, part="keepers", voters={"a": 0}, learners={"d": 9}),
            raft_entry(3, part="turns", do="tick"),
        ],
        [records.Snapshot(2, 2, 2000, members, b"\x00state\xff")],
        [
            raft_entry(4, part="turns", do="seen", as_of=1, units={"u": ["ready", 0, "b"]}),
            records.VoteRecord(3, "b"),
        ],
    ]


def write_raft_directory(directory, case_name, record_groups):
    """Writes a node's directory and lineage file; gives bytes by file name."""
    storage = RaftStorage(
        os.path.join(directory, "disk"),
        os.path.join(directory, "lineage"),
        lambda: RAFT_INCARNATION,
    )
    storage.open()
    for group in record_groups:
        failure = storage.persist(group)
        if failure is not None:
            raise RuntimeError(failure.reason)
    storage.close()
    contents = {}
    for parent, _, names in os.walk(directory):
        for name in names:
            with open(os.path.join(parent, name), "rb") as source:
                contents[f"{RAFT_DIRECTORY}/{case_name}/{name}"] = source.read()
    return contents


def sample_raft_messages():
    """One message of each kind among nodes, in the order of their numbers on the wire."""
    members = records.Members({"a": 0, "b": 0, "c": 7}, {"d": 9})
    return [
        messages.VoteRequest(4, 1, 2, True, 10, 3, False),
        messages.VoteResponse(4, 1, True, False),
        messages.AppendRequest(
            4, 1, 9, 3, (raft_entry(10), raft_entry(11, part="turns", do="tick")), 8, 77
        ),
        messages.AppendResponse(4, 1, True, 11, 77),
        messages.SnapshotChunk(4, 1, 9, 3, 9000, members, 64, 128, b"part", 78),
        messages.SnapshotChunkResponse(4, 1, 9, 128, True, 78),
        messages.TimeoutNow(4, 1),
    ]


def encode_raft_messages():
    """Encoded messages, a signed letter of each kind, and the AMP boxes that carry them, in hex."""
    session = bytes(range(32))
    encoded = {
        f"message {number}": messages.encode_message(message).hex()
        for number, message in enumerate(sample_raft_messages())
    }
    for kind in (raft_codec.PEER, raft_codec.PROPOSE, raft_codec.READ, raft_codec.REPLY):
        body = msgspec.msgpack.encode({"kind": kind})
        signed = raft_codec.sign_message(make_identity("a"), "b", session, kind + 1, kind, body)
        encoded[f"letter {kind}"] = {name: value.hex() for name, value in signed.items()}
    for number, (command, arguments) in enumerate(
        (
            (raft_codec.Hello, {"nonce": bytes(16)}),
            (
                raft_codec.DeliverMessage,
                raft_codec.sign_message(
                    make_identity("a"), "b", session, 1, raft_codec.PEER, b"\x80"
                ),
            ),
            (
                raft_codec.ClientRequest,
                raft_codec.sign_message(
                    make_identity("a"), "b", session, 2, raft_codec.PROPOSE, b"\x80"
                ),
            ),
        )
    ):
        box = AmpBox({b"_command": command.commandName, **command.makeArguments(arguments, None)})
        response = AmpBox(command.makeResponse(arguments, None) if command.response else {})
        encoded[f"box {number}"] = [box.serialize().hex(), response.serialize().hex()]
    encoded["error"] = [code.hex() for code in raft_codec.ClientRequest.reverseErrors]
    return encoded


# The replicated state machines.


def apply_commands(machine, commands):
    """(replies, snapshot bytes) of a sequence of commands under the session table that nodes use."""
    sessions = ClientSessions(CompositeStateMachine({"turns": machine, "gangs": machine}), 4)
    replies = []
    for number, (agreed_time, command) in enumerate(commands):

        def apply_command(now, command=command):
            return machine.apply(now, command)

        replies.append(sessions.apply(agreed_time, f"op/{number % 6}", 1, number, apply_command))
    return replies, msgspec.msgpack.encode(machine.image()), sessions.image()


def state_machine_files(name, machine, commands):
    """The files of one state machine."""
    replies, snapshot, sessions = apply_commands(machine, commands)
    exchanges = [
        [agreed_time, command, reply] for (agreed_time, command), reply in zip(commands, replies)
    ]
    exchange_lines = "[\n" + ",\n".join(json.dumps(exchange) for exchange in exchanges) + "\n]\n"
    return {
        f"{name}_exchanges.json": exchange_lines.encode(),
        f"{name}_snapshot.msgpack": snapshot,
        f"{name}_sessions.msgpack": sessions,
    }


# Gossip.


def encode_gossip_messages():
    """One signed datagram of each kind of body and one signed item of each kind, in hex."""
    signer = make_identity("a")
    items = [
        codec.Item("a", 1000, number, 2000 + number, body)
        for number, body in enumerate(
            (
                codec.Alive("127.0.0.1", 7001, 2),
                codec.Left(),
                codec.Suspect("b", 900, 3),
                codec.Evidence("s-1", "10.0.0.1:80", 41, 0, 20, 5),
            )
        )
    ]
    signed_items = [codec.seal_item(item, signer) for item in items]
    bodies = (
        codec.Ping(b"12345678", b"\0" * 128),
        codec.Ack(b"12345678", b"87654321"),
        codec.Ack(b"12345678", None),
        codec.IndirectPing(b"12345678", "c", "127.0.0.1", 7003),
        codec.IndirectAck(b"12345678", b"answer"),
        codec.Push(),
        codec.Hints(True, [("b", "127.0.0.1", 7002)]),
    )
    frames = [
        codec.Frame("a", "b", 1000, sequence, 3000 + sequence, body, signed_items[:2])
        for sequence, body in enumerate(bodies)
    ]
    return {
        "items": [signed_item.hex() for signed_item in signed_items],
        "datagrams": [codec.seal_frame(frame, signer).hex() for frame in frames],
    }


# Logs.

EVENT_FIELDS = {
    "turned away": {
        "deferred": {"over limit": 3, "no pod": 1},
        "abandoned": {"may have run": 2},
        "pressure": 1.2,
    },
    "vote": {"build": 4, "stage": 1, "verdict": 3, "outcome": "done"},
    "stream ended": {"address": "127.0.0.1:1", "reason": "refused", "refusals": 2},
    "stream silent": {"address": "127.0.0.1:1"},
    "fault": {"where": "here", "error": "ValueError: x", "at_line": "x.py:3"},
    "ready": {"name": "n1", "listen": "127.0.0.1:6379"},
}


def render_event_log(event_names):
    """One line of each event, in the order of their declaration, by these names."""
    lines = []
    former_names = {current: name for name, current in CURRENT_NAMES.items()}
    with mock.patch.object(structured_log.time, "time", lambda: 1.5):
        for event, level in LEVELS.items():
            fields = EVENT_FIELDS.get(former_names.get(event, event), {})
            lines.append(
                structured_log._rendered(
                    None, level, {"event": event_names.get(event, event), **fields}
                )
            )
    return b"".join(lines)


def summarize_log(content):
    """What `thymeknot logs` says of these lines."""
    summary = Summary()
    for line in content.splitlines():
        summary.feed("n1", line)
    return {"figures": summary.figures(), "stretches": list(summary.intervals())}


# Decisions.


class DigestingEngine:
    """The decisions of one instance, with a digest over its actions and the reasons that it names."""

    def __init__(self, settings, seed, now, digest):
        self.digest = digest
        self.engine = DecisionEngine(settings, seed, now, self.add_reason)

    def add_reason(self, request_id, reason, *operands):
        """Takes in a reason as it is named."""
        self.digest.update(
            "|".join(
                f"{part}" for part in (request_id, int(reason), *map(_normalize_operand, operands))
            ).encode()
        )

    def handle(self, now, events):
        """The actions of the decisions, unchanged."""
        actions = self.engine.handle(now, events)
        for action in actions:
            self.digest.update(write_action(now, action).encode())
        return actions

    def __getattr__(self, name):
        return getattr(self.engine, name)


def _normalize_operand(operand):
    return float(operand) if isinstance(operand, int | float) else operand


def run_scenario(name):
    """(digest of all actions and reasons, figures) of one day of the project's own simulation."""
    seed, size = SCENARIOS[name]
    scenario = (
        scenarios.draw_day(seed, **size)
        if name == "drawn"
        else large_fleet_scenarios.draw_day(seed, name, **size)[0]
    )
    digest = hashlib.blake2b(digest_size=16)

    def engine(settings, seed, now):
        return DigestingEngine(settings, LinearCongruentialGenerator(seed).state, now, digest)

    figures = Simulator(scenario, engine).play().figures()
    return {"digest": digest.hexdigest(), "figures": json.loads(json.dumps(figures))}


def make_golden_files():
    """All golden files: bytes by name."""
    contents = {}
    with tempfile.TemporaryDirectory() as directory:
        contents["decision_record.bin"] = write_decision_log(os.path.join(directory, "record.bin"))
    contents["decision_record_layout.json"] = encode_json(decision_log_layout())
    for case, groups in (("log", persisted_groups()[:2]), ("snapshot", persisted_groups())):
        with tempfile.TemporaryDirectory() as directory:
            contents.update(write_raft_directory(directory, case, groups))
    contents["raft_wire.json"] = encode_json(encode_raft_messages())
    contents.update(state_machine_files("disruption", DisruptionMachine(), DISRUPTION_COMMANDS))
    contents.update(state_machine_files("gang_scheduling", GangMachine(), GANG_SCHEDULING_COMMANDS))
    contents["gossip.json"] = encode_json(encode_gossip_messages())
    former_names = {current: name for name, current in CURRENT_NAMES.items()}
    contents["events.log"] = render_event_log(former_names)
    contents["events_current.log"] = render_event_log({})
    contents["events_summary.json"] = encode_json(summarize_log(contents["events.log"]))
    return contents


def main(arguments):
    """Writes the files, or with --check names those that differ."""
    contents = {
        **make_golden_files(),
        "simulated_days.json": encode_json(
            {scenario: run_scenario(scenario) for scenario in SCENARIOS}
        ),
    }
    status = 0
    for name, content in contents.items():
        path = os.path.join(GOLDEN_DIRECTORY, name)
        if "--check" not in arguments:
            os.makedirs(os.path.dirname(path), exist_ok=True)
            with open(path, "wb") as target:
                target.write(content)
            continue
        with open(path, "rb") as source:
            if source.read() != content:
                print(f"{name} differs")
                status = 1
    print(f"{len(contents)} files, {sum(map(len, contents.values()))} bytes")
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
