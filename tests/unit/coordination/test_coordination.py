"""What the fleet's letters refuse, what `check` refuses of its settings, and what is imported where it is off."""

import os
import re
import subprocess
import sys
import tempfile
import unittest

import msgspec
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from tests.unit.operator_config.test_operator_config import FOLDER
from thymeknot.coordination import feature
from thymeknot.gossip import keys
from thymeknot.gossip.keyring import Keyring, new_identity
from thymeknot.gossip.settings import Peer, PeerKey
from thymeknot.raft import client, message_codec
from thymeknot.service import features
from thymeknot.state.random_source import LinearCongruentialGenerator
from thymeknot.state.timer_queue import TimerQueue

SESSION = b"s" * 32


class Letters(unittest.TestCase):
    def setUp(self):
        self.one, self.two, self.other = new_identity("n1"), new_identity("n2"), new_identity("n1")
        self.ring = Keyring(
            [
                Peer(one.name, None, (PeerKey(one.public_key_text(), None),))
                for one in (self.one, self.two)
            ]
        )

    def opened(self, told, session=SESSION, last=0, ring=None):
        try:
            return message_codec.open_message(
                ring or self.ring, 0.0, "n2", session, last, **told
            ).body
        except message_codec.MessageError as bad:
            return bad.kind

    def sealed(self, by=None, to="n2", number=1, body=b"body"):
        return message_codec.sign_message(
            by or self.one, to, SESSION, number, message_codec.PEER, body
        )

    def test_what_is_taken_and_what_is_refused_by_kind(self):
        good = self.sealed()
        self.assertEqual(self.opened(good), b"body")
        self.assertEqual(self.opened(good, last=1), "replayed")
        self.assertEqual(self.opened(good, session=b"t" * 32), "replayed")
        self.assertEqual(self.opened(self.sealed(to="n3")), "misled")
        self.assertEqual(self.opened(self.sealed(self.other)), "unknown")
        self.assertEqual(self.opened({**good, "content": good["content"] + b"\0"}), "forged")
        self.assertEqual(
            self.opened({**good, "content": bytes(message_codec.MAX_SIGNED_MESSAGE_BYTES + 1)}),
            "oversized",
        )
        revoked = Keyring(
            [Peer("n1", None, (PeerKey(self.one.public_key_text(), None),))],
            [self.one.public_key_text()],
        )
        self.assertEqual(self.opened(good, ring=revoked), "unknown")
        content = msgspec.msgpack.encode(["n1", 7])
        self.assertEqual(
            self.opened(
                {
                    "key": self.one.key_id,
                    "content": content,
                    "signature": self.one.sign(message_codec.SIGNATURE_CONTEXT + content),
                }
            ),
            "nonsense",
        )
        self.assertRaises(
            message_codec.MessageError,
            self.sealed,
            body=bytes(message_codec.MAX_SIGNED_MESSAGE_BYTES),
        )


class Ways(unittest.TestCase):
    def test_a_retry_has_its_number_goes_to_the_leader_told_and_ends_by_its_deadline(self):
        clock, asked = Clock(), []

        class Channel:
            def __init__(self, name, told):
                self.name, self.told = name, told

            def send_request(self, kind, body):
                asked.append((self.name, kind, msgspec.msgpack.decode(body).get("number")))
                return Deferred() if self.told is None else succeed(self.told)

        deadlines = TimerQueue(lambda: int(clock.seconds() * 10_000), clock.callLater, self.fail)
        ways = {
            "a": Channel(
                "a", {"why": "does not lead", "again": 0, "leader": "b", "unknown": False}
            ),
            "b": Channel("b", {"reply": {"ok": True}}),
        }
        one = client.RaftClient(
            deadlines, ways, LinearCongruentialGenerator(1), "n1", 5, msgspec.msgpack.encode
        )
        one.next_node, found = 0, []
        one.propose({"do": "x"}).addCallback(found.append)
        clock.pump([0.01] * 20)
        self.assertEqual(found, [{"ok": True}])
        self.assertEqual(asked, [("a", message_codec.PROPOSE, 1), ("b", message_codec.PROPOSE, 1)])
        ways["b"].told = None
        one.propose({"do": "y"}, 20_000).addCallback(found.append)
        one.propose({"do": "z"}, 100_000)
        clock.pump([0.02] * 120)
        self.assertTrue(found[1]["unknown"])
        self.assertEqual({number for _, _, number in asked[2:]}, {2, 3})
        self.assertLess(len(asked), 12)


class Settings(unittest.TestCase):
    def text(self, folder):
        """The example with a key of this test's own."""
        with open(os.path.join(FOLDER, "fleet.cue"), encoding="utf-8") as source:
            text = source.read()
        mine = keys.create_key_file("n1", os.path.join(folder, "n1.key"))
        return text.replace("1AAw0DZ1WlCsgTTdX1mtbDDSR+AlbN1aIBj8BVe+gXE=", mine.public_key_text())

    def said(self, change):
        """What a file like the example, changed so, is refused with."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "fleet.cue")
            with open(path, "w", encoding="utf-8") as target:
                target.write(change(self.text(folder)))
            try:
                features.Features(path)
            except features.FeatureError as error:
                return str(error).replace(path, "F")
        return None

    def test_the_example_is_taken_and_what_cannot_work_is_named_with_line_and_key(self):
        self.assertIsNone(self.said(lambda text: text))
        for change, told in (
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
            self.assertRegex(self.said(change), told)

    def test_starts_grow(self):
        with tempfile.TemporaryDirectory() as folder:
            numbers = [feature.next_incarnation(folder) for _ in range(3)]
            self.assertEqual(sorted(set(numbers)), numbers)

    def test_off_it_is_not_imported(self):
        code = (
            "import sys; from thymeknot.service import features, lifecycle; import thymeknot.proxy.proxy; "
            "features.Features(None); "
            "print([name for name in sys.modules if name.startswith(('thymeknot.coordination', 'thymeknot.raft', "
            "'thymeknot.disruption', 'twisted.protocols.amp', 'msgspec'))])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=30
        )
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)


if __name__ == "__main__":
    unittest.main()
