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

from tests.golden.state_machine_commands import DISRUPTION, GANG_SCHEDULING
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
from thymeknot.raft import message_codec as letters
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

FOLDER = os.path.dirname(os.path.abspath(__file__))
RAFT_FOLDER = "raft"
DISK_INCARNATION = 7
RECORD_SLOTS = 42
_SMALL_FLEET = {"instances": 12, "pods": 9, "seconds": 36, "load": 0.4}
SIMULATED_DAYS = {
    "drawn": (1, {"instances": 6, "pods": 8, "rate": 80.0, "seconds": 40}),
    "overload": (4, _SMALL_FLEET),
    "split": (5, _SMALL_FLEET),
    "herd": (4, _SMALL_FLEET),
    "zone": (1, _SMALL_FLEET),
    "join-vast": (2, _SMALL_FLEET),
    "calm-mass": (2, _SMALL_FLEET),
    "roll-mass": (6, _SMALL_FLEET),
}


def identity(name):
    """An identity whose private key follows from its name."""
    return Identity(
        name, Ed25519PrivateKey.from_private_bytes(hashlib.sha256(name.encode()).digest())
    )


def as_json(value):
    """Readable JSON, one entry a line for the outermost sequence or mapping."""
    return (json.dumps(value, indent=1) + "\n").encode()


# The record of decisions on disk.


def lanes():
    """Two request classes, one that may be repeated and one that may not."""
    return {
        "read": RequestClass(
            "read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 2000, 6000, 1.0, 0.0
        ),
        "pay": RequestClass(
            "pay", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 4000, 12000, 6.0, 0.2
        ),
    }


def record_settings():
    """Settings of the record of decisions."""
    return DecisionLogSettings(1, None, "127.0.0.1:0", 0.5, 0.2, 600_000, 4)


def decision_record(path):
    """Writes a record through its public calls, then one slot by hand, and gives the file's bytes."""
    arena = SlotFile(RECORD_SLOTS, path)
    clock = iter(range(0, 10_000_000, 70)).__next__
    record = Recorder(
        record_settings(),
        lanes(),
        arena,
        epoch=1_000_000,
        clock=clock,
        random_source=LinearCongruentialGenerator(5),
    )
    for number in range(30):
        name, lane = f"{number:016x}", "pay" if number % 3 else "read"
        record.request_received(
            name, f"key{number}", "acme" if number % 2 else None, lane, number % 5 == 0
        )
        record.record_reason(name, Reason.POSITION, 0.25, 0.5, 0.3)
        record.record_reason(name, Reason.SENT, f"s-{number % 4}", 41, True, 1500, 0.75)
        record.record_reason(
            name, Reason.ENDED, f"s-{number % 4}", 0, "done" if number % 4 else "reset", 120, False
        )
        if number % 4:
            record.request_answered(name, Reason.DONE)
        else:
            record.record_reason(name, Reason.ABANDONED, f"s-{number % 4}")
        record.request_finished(name)
    record.record_reason(None, Reason.VOTED, 41, 2, 3, 1.25, 250)
    record.flush(10_000_000)
    notes = [[int(reason), 10, "s-1", 2, 3.5, True, None] for reason in Reason]
    arena.write(
        RECORD_SLOTS - 1,
        pack_slot(Entry(5, "e" * 40, "k", "t", "pay", True, int(Reason.LEFT), 9, notes), 999),
    )
    arena.memory.flush()
    arena.close()
    with open(path, "rb") as source:
        return source.read()


def record_layout():
    """Where each region of the record lies."""
    regions = lay_out_regions(record_settings(), lanes(), RECORD_SLOTS)
    return [
        [list(name) if isinstance(name, tuple) else name, *where] for name, where in regions.items()
    ]


# The replicated log on disk, and its messages.


def log_entry(index, term=2, **command):
    return records.Entry(index, term, 1000 * index, "op/ann", 3, index, command)


def disk_records():
    """What a node persists in turn: votes, entries, a truncation, a snapshot and entries after it."""
    members = records.Members({"a": 0, "b": 0, "c": 7}, {"d": 9})
    return [
        [
            records.VoteRecord(1, "a"),
            log_entry(1, 1, part="turns", do="tick"),
            log_entry(2, 1, part="gangs", do="tick"),
        ],
        [records.VoteRecord(2, None), records.TruncationRecord(2)],
        [
            log_entry(2, part="keepers", voters={"a": 0}, learners={"d": 9}),
            log_entry(3, part="turns", do="tick"),
        ],
        [records.Snapshot(2, 2, 2000, members, b"\x00state\xff")],
        [
            log_entry(4, part="turns", do="seen", as_of=1, units={"u": ["ready", 0, "b"]}),
            records.VoteRecord(3, "b"),
        ],
    ]


def raft_directory(folder, case, groups):
    """Writes a node's directory and lineage file; gives bytes by file name."""
    store = RaftStorage(
        os.path.join(folder, "disk"), os.path.join(folder, "lineage"), lambda: DISK_INCARNATION
    )
    store.open()
    for group in groups:
        fault = store.persist(group)
        if fault is not None:
            raise RuntimeError(fault.reason)
    store.close()
    found = {}
    for parent, _, names in os.walk(folder):
        for name in names:
            with open(os.path.join(parent, name), "rb") as source:
                found[f"{RAFT_FOLDER}/{case}/{name}"] = source.read()
    return found


def raft_messages():
    """One message of each kind among nodes, in the order of their numbers on the wire."""
    members = records.Members({"a": 0, "b": 0, "c": 7}, {"d": 9})
    return [
        messages.VoteRequest(4, 1, 2, True, 10, 3, False),
        messages.VoteResponse(4, 1, True, False),
        messages.AppendRequest(
            4, 1, 9, 3, (log_entry(10), log_entry(11, part="turns", do="tick")), 8, 77
        ),
        messages.AppendResponse(4, 1, True, 11, 77),
        messages.SnapshotChunk(4, 1, 9, 3, 9000, members, 64, 128, b"part", 78),
        messages.SnapshotChunkResponse(4, 1, 9, 128, True, 78),
        messages.TimeoutNow(4, 1),
    ]


def raft_wire():
    """Encoded messages, a signed letter of each kind, and the AMP boxes that carry them, in hex."""
    session = bytes(range(32))
    found = {
        f"message {number}": messages.encode_message(one).hex()
        for number, one in enumerate(raft_messages())
    }
    for kind in (letters.PEER, letters.PROPOSE, letters.READ, letters.REPLY):
        body = msgspec.msgpack.encode({"kind": kind})
        sealed = letters.sign_message(identity("a"), "b", session, kind + 1, kind, body)
        found[f"letter {kind}"] = {name: value.hex() for name, value in sealed.items()}
    for number, (command, arguments) in enumerate(
        (
            (letters.Hello, {"nonce": bytes(16)}),
            (
                letters.DeliverMessage,
                letters.sign_message(identity("a"), "b", session, 1, letters.PEER, b"\x80"),
            ),
            (
                letters.ClientRequest,
                letters.sign_message(identity("a"), "b", session, 2, letters.PROPOSE, b"\x80"),
            ),
        )
    ):
        box = AmpBox({b"_command": command.commandName, **command.makeArguments(arguments, None)})
        answer = AmpBox(command.makeResponse(arguments, None) if command.response else {})
        found[f"box {number}"] = [box.serialize().hex(), answer.serialize().hex()]
    found["error"] = [code.hex() for code in letters.ClientRequest.reverseErrors]
    return found


# The replicated state machines.


def applied(machine, commands):
    """(replies, snapshot bytes) of a sequence of commands under the session table that nodes use."""
    sessions = ClientSessions(CompositeStateMachine({"turns": machine, "gangs": machine}), 4)
    replies = []
    for number, (at, command) in enumerate(commands):

        def work(now, command=command):
            return machine.apply(now, command)

        replies.append(sessions.apply(at, f"op/{number % 6}", 1, number, work))
    return replies, msgspec.msgpack.encode(machine.image()), sessions.image()


def state_machine(name, machine, commands):
    """The files of one state machine."""
    replies, image, sessions = applied(machine, commands)
    exchanges = [[at, command, reply] for (at, command), reply in zip(commands, replies)]
    text = "[\n" + ",\n".join(json.dumps(one) for one in exchanges) + "\n]\n"
    return {
        f"{name}_exchanges.json": text.encode(),
        f"{name}_snapshot.msgpack": image,
        f"{name}_sessions.msgpack": sessions,
    }


# Gossip.


def gossip_datagrams():
    """One signed datagram of each kind of body and one signed item of each kind, in hex."""
    signer = identity("a")
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
    sealed = [codec.seal_item(item, signer) for item in items]
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
        codec.Frame("a", "b", 1000, at, 3000 + at, body, sealed[:2])
        for at, body in enumerate(bodies)
    ]
    return {
        "items": [one.hex() for one in sealed],
        "datagrams": [codec.seal_frame(frame, signer).hex() for frame in frames],
    }


# Logs.

LOG_FIELDS = {
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


def event_log(names):
    """One line of each event, in the order of their declaration, by these names."""
    lines = []
    former = {current: name for name, current in CURRENT_NAMES.items()}
    with mock.patch.object(structured_log.time, "time", lambda: 1.5):
        for event, level in LEVELS.items():
            fields = LOG_FIELDS.get(former.get(event, event), {})
            lines.append(
                structured_log._rendered(None, level, {"event": names.get(event, event), **fields})
            )
    return b"".join(lines)


def log_summary(content):
    """What `thymeknot logs` says of these lines."""
    summary = Summary()
    for one in content.splitlines():
        summary.feed("n1", one)
    return {"figures": summary.figures(), "stretches": list(summary.intervals())}


# Decisions.


class DigestingEngine:
    """The decisions of one instance, with a digest over its actions and the reasons that it names."""

    def __init__(self, settings, seed, now, digest):
        self.digest = digest
        self.engine = DecisionEngine(settings, seed, now, self.hear)

    def hear(self, name, reason, *operands):
        """Takes in a reason as it is named."""
        self.digest.update(
            "|".join(f"{one}" for one in (name, int(reason), *map(_plain, operands))).encode()
        )

    def handle(self, now, events):
        """The actions of the decisions, unchanged."""
        actions = self.engine.handle(now, events)
        for action in actions:
            self.digest.update(write_action(now, action).encode())
        return actions

    def __getattr__(self, name):
        return getattr(self.engine, name)


def _plain(operand):
    return float(operand) if isinstance(operand, int | float) else operand


def simulated_day(kind):
    """(digest of all actions and reasons, figures) of one day of the project's own simulation."""
    seed, size = SIMULATED_DAYS[kind]
    day = (
        scenarios.draw_day(seed, **size)
        if kind == "drawn"
        else large_fleet_scenarios.draw_day(seed, kind, **size)[0]
    )
    digest = hashlib.blake2b(digest_size=16)

    def engine(settings, seed, now):
        return DigestingEngine(settings, LinearCongruentialGenerator(seed).state, now, digest)

    figures = Simulator(day, engine).run().figures()
    return {"digest": digest.hexdigest(), "figures": json.loads(json.dumps(figures))}


def files():
    """All golden files: bytes by name."""
    found = {}
    with tempfile.TemporaryDirectory() as folder:
        found["decision_record.bin"] = decision_record(os.path.join(folder, "record.bin"))
    found["decision_record_layout.json"] = as_json(record_layout())
    for case, groups in (("log", disk_records()[:2]), ("snapshot", disk_records())):
        with tempfile.TemporaryDirectory() as folder:
            found.update(raft_directory(folder, case, groups))
    found["raft_wire.json"] = as_json(raft_wire())
    found.update(state_machine("disruption", DisruptionMachine(), DISRUPTION))
    found.update(state_machine("gang_scheduling", GangMachine(), GANG_SCHEDULING))
    found["gossip.json"] = as_json(gossip_datagrams())
    former = {current: name for name, current in CURRENT_NAMES.items()}
    found["events.log"] = event_log(former)
    found["events_current.log"] = event_log({})
    found["events_summary.json"] = as_json(log_summary(found["events.log"]))
    return found


def main(words):
    """Writes the files, or with --check names those that differ."""
    found = {
        **files(),
        "simulated_days.json": as_json({kind: simulated_day(kind) for kind in SIMULATED_DAYS}),
    }
    status = 0
    for name, content in found.items():
        path = os.path.join(FOLDER, name)
        if "--check" not in words:
            os.makedirs(os.path.dirname(path), exist_ok=True)
            with open(path, "wb") as target:
                target.write(content)
            continue
        with open(path, "rb") as source:
            if source.read() != content:
                print(f"{name} differs")
                status = 1
    print(f"{len(found)} files, {sum(map(len, found.values()))} bytes")
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
