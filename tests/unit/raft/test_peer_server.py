"""A node's server on connections in memory: what it accepts, answers and rejects."""

import tempfile
import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec
from twisted.internet.task import Clock, deferLater
from twisted.protocols import amp
from twisted.python import log as twisted_log
from twisted.test.iosim import connectedServerAndClient

from thymeknot.gossip.keyring import Keyring, new_identity
from thymeknot.raft import peer_server
from thymeknot.raft.errors import RequestRejectedError
from thymeknot.raft.message_codec import (
    PEER,
    PROPOSE,
    READ,
    REPLY,
    ClientRequest,
    DeliverMessage,
    Hello,
    decode_mapping,
    new_nonce,
    open_message,
    sign_message,
)
from thymeknot.raft.node import RaftNode
from thymeknot.raft.roles import Role
from thymeknot.raft.settings import RaftSettings
from thymeknot.raft.simulated_host import Register
from thymeknot.raft.state_machine import CompositeStateMachine
from thymeknot.raft.storage import RaftStorage
from thymeknot.state.random_source import LinearCongruentialGenerator
from thymeknot.state.timer_queue import TimerQueue

ADDRESS = SimpleNamespace(host="127.0.0.1")


class PeerServerTests(unittest.TestCase):
    """A cluster of one node, and a client `op` of its ring."""

    def setUp(self):
        place = tempfile.TemporaryDirectory()
        self.addCleanup(place.cleanup)
        # No thread: what is to be written is on the disk at the clock's next step.
        self.clock = Clock()
        later = mock.patch.object(
            peer_server,
            "deferToThread",
            lambda call, *arguments: deferLater(self.clock, 0, call, *arguments),
        )
        later.start()
        self.addCleanup(later.stop)
        self.node, self.client = new_identity("a"), new_identity("op")
        peers = [
            SimpleNamespace(
                name=one.name,
                group=None,
                keys=[SimpleNamespace(key=one.text(), until="2999-01-01T00:00:00Z")],
            )
            for one in (self.node, self.client)
        ]
        self.ring = Keyring(peers)
        timers = TimerQueue(
            lambda: int(self.clock.seconds() * 10_000), self.clock.callLater, self.fail
        )
        storage = RaftStorage(place.name + "/log", place.name + "/lineage", lambda: 1)
        recovered = storage.open(True).recovered
        self.register = Register()
        self.server = peer_server.PeerServer(
            None,
            timers,
            self.node,
            lambda: self.ring,
            {"127.0.0.1"},
            {},
            lambda now: RaftNode(
                "a",
                ["a"],
                RaftSettings(),
                LinearCongruentialGenerator(1),
                recovered,
                CompositeStateMachine({"register": self.register}),
                now,
            ),
            storage,
            lambda query: {"writes": len(self.register.write_ids), "query": query},
        )
        self.addCleanup(self.server.close)

    def connect(self, greeted=True):
        """A line to the server, with a session if it is greeted."""
        line, served, pump = connectedServerAndClient(lambda: self.server.accept(ADDRESS), amp.AMP)
        nonce, found = new_nonce(), []
        if greeted:
            line.callRemote(Hello, nonce=nonce).addCallback(found.append)
            pump.flush()
        session = nonce + (found[0]["nonce"] if found else bytes(16))
        return line, served, pump, session

    def signed(self, session, kind, body, number=1, by=None):
        return sign_message(
            by or self.client, "a", session, number, kind, msgspec.msgpack.encode(body)
        )

    def asked(self, connection, kind, body, number=1, **more):
        """What the server's answer says, or the error that came in its place."""
        line, _, pump, session = connection
        found = []
        line.callRemote(ClientRequest, **self.signed(session, kind, body, number, **more)).addBoth(
            found.append
        )
        for _ in range(4):  # what is being written, what waits for that, and the answer
            pump.flush()
            self.clock.advance(0)
        if isinstance(found[0], dict):
            reply = open_message(self.ring, 0, "op", session, number - 1, **found[0])
            self.assertEqual((reply.kind, reply.number), (REPLY, number))
            return decode_mapping(reply.body)
        return found[0].value

    def command(self, **more):
        told = {"command": {"part": "register", "id": "x"}, "origin": "op", "incarnation": 1}
        return {**told, "number": 1, **more}

    def lead(self):
        self.clock.pump([0.01] * 80)
        self.assertEqual(self.server.raft_node.role, Role.LEADER)

    def test_command_and_read_are_answered(self):
        self.lead()
        connection = self.connect()
        place = {"reply": {"ok": True, "place": 1}}
        self.assertEqual(self.asked(connection, PROPOSE, self.command()), place)
        self.assertEqual(self.asked(connection, PROPOSE, self.command(), 2), place)
        self.assertEqual(
            self.asked(connection, READ, {"query": {"q": 1}}, 3),
            {"reply": {"writes": 1, "query": {"q": 1}}},
        )
        self.assertEqual(self.server.rejected, {})

    def test_who_does_not_lead_says_so(self):
        told = self.asked(self.connect(), PROPOSE, self.command())
        self.assertEqual(
            told, {"why": "does not lead", "again": 6_000, "leader": None, "unknown": False}
        )

    def test_what_can_not_be_accepted_is_counted_and_answered(self):
        self.lead()
        connection = self.connect()
        for number, (told, kind) in enumerate(
            (
                (self.command(origin="other"), "forged"),
                (self.command(number=1 << 62), "nonsense"),
                (self.command(incarnation="1"), "nonsense"),
                ({"query": 1}, "nonsense"),
            ),
            1,
        ):
            before = self.server.rejected[kind]
            answer = self.asked(connection, PROPOSE, told, number)
            self.assertIsInstance(answer, RequestRejectedError)
            self.assertEqual(self.server.rejected[kind], before + 1)
        answer = self.asked(connection, PROPOSE, self.command(), 1)
        self.assertIsInstance(answer, RequestRejectedError)
        self.assertEqual(self.server.rejected["replayed"], 1)
        stranger = new_identity("op")
        answer = self.asked(connection, PROPOSE, self.command(), 9, by=stranger)
        self.assertIsInstance(answer, RequestRejectedError)
        self.assertEqual(self.server.rejected["unknown"], 1)
        self.assertEqual(self.register.write_ids, [])

    def test_message_of_no_node_is_counted(self):
        line, _, pump, session = self.connect()
        line.callRemote(DeliverMessage, **self.signed(session, PEER, [6, [1, 0]]))
        pump.flush()
        self.assertEqual(self.server.rejected, {"nonsense": 1})

    def test_no_greeting_or_two(self):
        answer = self.asked(self.connect(greeted=False), PROPOSE, self.command())
        self.assertIsInstance(answer, RequestRejectedError)
        line, _, pump, _ = self.connect()
        found = []
        line.callRemote(Hello, nonce=new_nonce()).addErrback(found.append)
        pump.flush()
        self.assertEqual((len(found), self.server.rejected), (1, {"nonsense": 2}))

    def test_what_amp_can_not_take_ends_its_connection_without_a_traceback(self):
        """A second greeting, an answer to nothing, a call without its arguments and an empty one each had AMP log a
        traceback: the error of the first was not declared, and the others were raised within AMP itself."""
        logged = []
        twisted_log.addObserver(logged.append)
        self.addCleanup(twisted_log.removeObserver, logged.append)
        for box in (
            {b"_ask": b"9", b"_command": b"Hello", b"nonce": new_nonce()},
            {b"_ask": b"9", b"_command": b"Hello"},
            {b"_ask": b"9", b"_command": b"Ask", b"key": b"k"},
            {b"_command": b"Deliver"},
            {b"_ask": b"9", b"_command": b"Nothing"},
            {b"_answer": b"9"},
            {b"_error": b"9"},
            {b"key": b"k"},
        ):
            with self.subTest(box):
                before = self.server.rejected["nonsense"]
                line, _, pump, _ = self.connect()
                line.dataReceived = lambda _: None
                line.transport.write(amp.AmpBox(box).serialize())
                pump.flush()
                self.assertEqual(self.server.rejected["nonsense"], before + 1)
                self.assertEqual(len(self.server.connections), 0)
                self.assertEqual([event for event in logged if event["isError"]], [])

    def test_box_without_an_end_and_foreign_host(self):
        line, _, pump, _ = self.connect()
        self.assertEqual(len(self.server.connections), 1)
        value = b"\0\1k\xff\xff" + bytes(65_535)
        for _ in range(4):
            line.transport.write(value)
            pump.flush()
        self.assertEqual(self.server.rejected, {"oversized": 1})
        self.assertEqual(len(self.server.connections), 0)
        self.assertIsNone(self.server.accept(SimpleNamespace(host="10.0.0.1")))
        self.assertEqual(self.server.rejected["elsewhere"], 1)


if __name__ == "__main__":
    unittest.main()
