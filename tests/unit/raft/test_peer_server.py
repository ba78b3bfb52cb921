"""Tests of the peer server over in-memory connections."""

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
    """Runs a cluster of one node `a` and a client `op` that is in its keyring."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        # Instead of in a thread, writes are done when the clock advances.
        self.clock = Clock()
        thread_patch = mock.patch.object(
            peer_server,
            "deferToThread",
            lambda call, *arguments: deferLater(self.clock, 0, call, *arguments),
        )
        thread_patch.start()
        self.addCleanup(thread_patch.stop)
        self.node_identity, self.client_identity = new_identity("a"), new_identity("op")
        peers = [
            SimpleNamespace(
                name=identity.name,
                group=None,
                keys=[
                    SimpleNamespace(key=identity.public_key_text(), until="2999-01-01T00:00:00Z")
                ],
            )
            for identity in (self.node_identity, self.client_identity)
        ]
        self.keyring = Keyring(peers)
        timers = TimerQueue(
            lambda: int(self.clock.seconds() * 10_000), self.clock.callLater, self.fail
        )
        storage = RaftStorage(folder.name + "/log", folder.name + "/lineage", lambda: 1)
        recovered = storage.open(True).recovered
        self.register = Register()
        self.server = peer_server.PeerServer(
            None,
            timers,
            self.node_identity,
            lambda: self.keyring,
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

    def connect(self, handshake=True):
        """Opens a connection to the server and, by default, completes the handshake."""
        client, server, pump = connectedServerAndClient(
            lambda: self.server.accept(ADDRESS), amp.AMP
        )
        nonce, answers = new_nonce(), []
        if handshake:
            client.callRemote(Hello, nonce=nonce).addCallback(answers.append)
            pump.flush()
        session = nonce + (answers[0]["nonce"] if answers else bytes(16))
        return client, server, pump, session

    def sign(self, session, kind, body, number=1, signer=None):
        """Returns the arguments of a message to the node, signed by the client or `signer`."""
        return sign_message(
            signer or self.client_identity, "a", session, number, kind, msgspec.msgpack.encode(body)
        )

    def request(self, connection, kind, body, number=1, **options):
        """Sends a request and returns the body of the verified reply, or the error."""
        client, _, pump, session = connection
        outcomes = []
        client.callRemote(
            ClientRequest, **self.sign(session, kind, body, number, **options)
        ).addBoth(outcomes.append)
        for _ in range(4):  # a write, writes that wait for it, and the reply
            pump.flush()
            self.clock.advance(0)
        if isinstance(outcomes[0], dict):
            reply = open_message(self.keyring, 0, "op", session, number - 1, **outcomes[0])
            self.assertEqual((reply.kind, reply.number), (REPLY, number))
            return decode_mapping(reply.body)
        return outcomes[0].value

    def command_body(self, **changes):
        """Returns the body of a valid command, with changed fields."""
        body = {"command": {"part": "register", "id": "x"}, "origin": "op", "incarnation": 1}
        return {**body, "number": 1, **changes}

    def become_leader(self):
        """Waits until the only node has elected itself."""
        self.clock.pump([0.01] * 80)
        self.assertEqual(self.server.raft_node.role, Role.LEADER)

    def test_command_and_read_are_answered(self):
        self.become_leader()
        connection = self.connect()
        expected = {"reply": {"ok": True, "place": 1}}
        self.assertEqual(self.request(connection, PROPOSE, self.command_body()), expected)
        self.assertEqual(self.request(connection, PROPOSE, self.command_body(), 2), expected)
        self.assertEqual(
            self.request(connection, READ, {"query": {"q": 1}}, 3),
            {"reply": {"writes": 1, "query": {"q": 1}}},
        )
        self.assertEqual(self.server.rejected, {})

    def test_node_that_does_not_lead_rejects_a_command(self):
        response = self.request(self.connect(), PROPOSE, self.command_body())
        self.assertEqual(
            response, {"why": "does not lead", "again": 6_000, "leader": None, "unknown": False}
        )

    def test_invalid_requests_are_counted_and_rejected(self):
        self.become_leader()
        connection = self.connect()
        for number, (body, kind) in enumerate(
            (
                (self.command_body(origin="other"), "forged"),
                (self.command_body(number=1 << 62), "nonsense"),
                (self.command_body(incarnation="1"), "nonsense"),
                ({"query": 1}, "nonsense"),
            ),
            1,
        ):
            before = self.server.rejected[kind]
            answer = self.request(connection, PROPOSE, body, number)
            self.assertIsInstance(answer, RequestRejectedError)
            self.assertEqual(self.server.rejected[kind], before + 1)
        answer = self.request(connection, PROPOSE, self.command_body(), 1)
        self.assertIsInstance(answer, RequestRejectedError)
        self.assertEqual(self.server.rejected["replayed"], 1)
        impostor = new_identity("op")
        answer = self.request(connection, PROPOSE, self.command_body(), 9, signer=impostor)
        self.assertIsInstance(answer, RequestRejectedError)
        self.assertEqual(self.server.rejected["unknown"], 1)
        self.assertEqual(self.register.write_ids, [])

    def test_peer_message_from_a_client_is_counted(self):
        client, _, pump, session = self.connect()
        client.callRemote(DeliverMessage, **self.sign(session, PEER, [6, [1, 0]]))
        pump.flush()
        self.assertEqual(self.server.rejected, {"nonsense": 1})

    def test_missing_and_repeated_handshakes_are_rejected(self):
        answer = self.request(self.connect(handshake=False), PROPOSE, self.command_body())
        self.assertIsInstance(answer, RequestRejectedError)
        client, _, pump, _ = self.connect()
        errors = []
        client.callRemote(Hello, nonce=new_nonce()).addErrback(errors.append)
        pump.flush()
        self.assertEqual((len(errors), self.server.rejected), (1, {"nonsense": 2}))

    def test_invalid_amp_box_closes_the_connection_without_a_traceback(self):
        """Guards against boxes that make AMP log a traceback.

        A second handshake did so because its error was not declared in the command; an unexpected
        answer, a call without its arguments and an empty call because AMP itself raised an error.
        """
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
                client, _, pump, _ = self.connect()
                client.dataReceived = lambda _: None
                client.transport.write(amp.AmpBox(box).serialize())
                pump.flush()
                self.assertEqual(self.server.rejected["nonsense"], before + 1)
                self.assertEqual(len(self.server.connections), 0)
                self.assertEqual([event for event in logged if event["isError"]], [])

    def test_oversized_box_and_host_outside_the_networks_are_rejected(self):
        client, _, pump, _ = self.connect()
        self.assertEqual(len(self.server.connections), 1)
        value = b"\0\1k\xff\xff" + bytes(65_535)
        for _ in range(4):
            client.transport.write(value)
            pump.flush()
        self.assertEqual(self.server.rejected, {"oversized": 1})
        self.assertEqual(len(self.server.connections), 0)
        self.assertIsNone(self.server.accept(SimpleNamespace(host="10.0.0.1")))
        self.assertEqual(self.server.rejected["elsewhere"], 1)


if __name__ == "__main__":
    unittest.main()
