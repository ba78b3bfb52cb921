"""Tests of signed Raft messages, the Raft client's retries, the fleet settings and lazy imports."""

import os
import re
import subprocess
import sys
import tempfile
import unittest

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from tests.unit.operator_config.test_operator_config import DEPLOY_FOLDER
from thymeknot.coordination import feature
from thymeknot.gossip import keys
from thymeknot.gossip.keyring import Keyring, new_identity
from thymeknot.gossip.settings import Peer, PeerKey
from thymeknot.raft import client, message_codec
from thymeknot.service import features
from thymeknot.state.random_source import LinearCongruentialGenerator
from thymeknot.state.timer_queue import TimerQueue

SESSION = b"s" * 32


class MessageSignatures(unittest.TestCase):
    def setUp(self):
        self.sender, self.recipient, self.impostor = (
            new_identity("n1"),
            new_identity("n2"),
            new_identity("n1"),
        )
        self.ring = Keyring(
            [
                Peer(identity.name, None, (PeerKey(identity.public_key_text(), None),))
                for identity in (self.sender, self.recipient)
            ]
        )

    def open(self, message, session=SESSION, last_number=0, ring=None):
        """The body of a message, or the kind of the error that rejects it."""
        try:
            return message_codec.open_message(
                ring or self.ring, 0.0, "n2", session, last_number, **message
            ).body
        except message_codec.MessageError as error:
            return error.kind

    def sign(self, identity=None, recipient="n2", number=1, body=b"body"):
        return message_codec.sign_message(
            identity or self.sender, recipient, SESSION, number, message_codec.PEER, body
        )

    def test_valid_message_is_accepted_and_invalid_ones_are_rejected_by_kind(self):
        valid = self.sign()
        self.assertEqual(self.open(valid), b"body")
        self.assertEqual(self.open(valid, last_number=1), "replayed")
        self.assertEqual(self.open(valid, session=b"t" * 32), "replayed")
        self.assertEqual(self.open(self.sign(recipient="n3")), "misled")
        self.assertEqual(self.open(self.sign(self.impostor)), "unknown")
        self.assertEqual(self.open({**valid, "content": valid["content"] + b"\0"}), "forged")
        self.assertEqual(
            self.open({**valid, "content": bytes(message_codec.MAX_SIGNED_MESSAGE_BYTES + 1)}),
            "oversized",
        )
        revoked = Keyring(
            [Peer("n1", None, (PeerKey(self.sender.public_key_text(), None),))],
            [self.sender.public_key_text()],
        )
        self.assertEqual(self.open(valid, ring=revoked), "unknown")
        content = msgspec.msgpack.encode(["n1", 7])
        self.assertEqual(
            self.open(
                {
                    "key": self.sender.key_id,
                    "content": content,
                    "signature": self.sender.sign(message_codec.SIGNATURE_CONTEXT + content),
                }
            ),
            "nonsense",
        )
        self.assertRaises(
            message_codec.MessageError,
            self.sign,
            body=bytes(message_codec.MAX_SIGNED_MESSAGE_BYTES),
        )


class RaftClientRetries(unittest.TestCase):
    def test_retry_keeps_its_number_follows_the_leader_hint_and_ends_at_its_deadline(self):
        clock, requests = Clock(), []

        class FakeChannel:
            def __init__(self, name, response):
                self.name, self.response = name, response

            def send_request(self, kind, body):
                requests.append((self.name, kind, msgspec.msgpack.decode(body).get("number")))
                return Deferred() if self.response is None else succeed(self.response)

        timers = TimerQueue(lambda: int(clock.seconds() * 10_000), clock.callLater, self.fail)
        channels = {
            "a": FakeChannel(
                "a", {"why": "does not lead", "again": 0, "leader": "b", "unknown": False}
            ),
            "b": FakeChannel("b", {"reply": {"ok": True}}),
        }
        raft_client = client.RaftClient(
            timers, channels, LinearCongruentialGenerator(1), "n1", 5, msgspec.msgpack.encode
        )
        raft_client.next_node, replies = 0, []
        raft_client.propose({"do": "x"}).addCallback(replies.append)
        clock.pump([0.01] * 20)
        self.assertEqual(replies, [{"ok": True}])
        self.assertEqual(
            requests, [("a", message_codec.PROPOSE, 1), ("b", message_codec.PROPOSE, 1)]
        )
        channels["b"].response = None
        raft_client.propose({"do": "y"}, 20_000).addCallback(replies.append)
        raft_client.propose({"do": "z"}, 100_000)
        clock.pump([0.02] * 120)
        self.assertTrue(replies[1]["unknown"])
        self.assertEqual({number for _, _, number in requests[2:]}, {2, 3})
        self.assertLess(len(requests), 12)


class FleetSettings(unittest.TestCase):
    def example_text(self, folder):
        """The example operator file with a newly generated key, stored in the folder."""
        with open(os.path.join(DEPLOY_FOLDER, "fleet.cue"), encoding="utf-8") as source:
            text = source.read()
        identity = keys.create_key_file("n1", os.path.join(folder, "n1.key"))
        return text.replace(
            "1AAw0DZ1WlCsgTTdX1mtbDDSR+AlbN1aIBj8BVe+gXE=", identity.public_key_text()
        )

    def load_error(self, change):
        """The error for the example file after a change, or None if it is accepted."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "fleet.cue")
            with open(path, "w", encoding="utf-8") as target:
                target.write(change(self.example_text(folder)))
            try:
                features.Features(path)
            except features.FeatureError as error:
                return str(error).replace(path, "F")
        return None

    def test_example_is_accepted_and_invalid_settings_are_reported_with_line_and_key(self):
        self.assertIsNone(self.load_error(lambda text: text))
        for change, error_pattern in (
            (
                lambda text: re.sub(r'\n.*name: "n3", address.*', "", text),
                r"F:11: fleet\.keepers: 2 keepers",
            ),
            (
                lambda text: text.replace("least: 2", "least: 3"),
                r"F:\d+: fleet\.budgets: .*all is impossible",
            ),
            (
                lambda text: text.replace('each: "zone"', 'where: {rack: "c9"}'),
                r"fleet\.budgets: .*no unit",
            ),
            (lambda text: text.replace('unit: "n1"', 'unit: "n9"'), r"F:\d+: fleet\.unit: n9"),
            (
                lambda text: text.replace('"n1.key"', '"none.key"'),
                r"F:\d+: fleet\.key: can't be read",
            ),
            (lambda text: text.replace('rack: "a1"', 'shelf: "a1"'), r"shelf: no such field"),
        ):
            self.assertRegex(self.load_error(change), error_pattern)

    def test_incarnations_grow_with_each_start(self):
        with tempfile.TemporaryDirectory() as folder:
            incarnations = [feature.next_incarnation(folder) for _ in range(3)]
            self.assertEqual(sorted(set(incarnations)), incarnations)

    def test_disabled_feature_is_not_imported(self):
        code = (
            "import sys; from thymeknot.service import features, lifecycle; import thymeknot.proxy.proxy; "
            "features.Features(None); "
            "print([name for name in sys.modules if name.startswith(('thymeknot.coordination', 'thymeknot.raft', "
            "'thymeknot.disruption', 'twisted.protocols.amp', 'msgspec'))])"
        )
        result = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=30
        )
        self.assertEqual(result.stdout.strip(), "[]", result.stderr)


if __name__ == "__main__":
    unittest.main()
