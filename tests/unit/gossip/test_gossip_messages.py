"""Tests of gossip datagrams, keys and replay windows, with real signatures."""

import base64
import os
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from measure.world import SECOND, TERMS, World
from tests.support.decisions import (
    NOW,
    action_types,
    attempted_endpoints,
    make_endpoint,
    make_engine,
    make_request,
)
from thymeknot.gossip import codec, keys
from thymeknot.gossip.codec import Ack, Alive, Evidence, Frame, Item, Left, Ping, Push
from thymeknot.gossip.dissemination_queue import LIVENESS, DisseminationQueue
from thymeknot.gossip.keyring import (
    AllowedNetworks,
    Keyring,
    KeyringError,
    new_identity,
    read_identity,
)
from thymeknot.gossip.own_experience import EndpointKey
from thymeknot.gossip.replay_window import ReplayWindow
from thymeknot.gossip.settings import Peer, PeerKey
from thymeknot.interface.actions import CastVote
from thymeknot.interface.events import SuspicionReported
from thymeknot.state.random_source import LinearCongruentialGenerator

KEYS = {name: new_identity(name) for name in ("n0", "n1", "n2")}
KEY_END = "2027-01-31T00:00:00Z"
KEY_END_UNIX = 1801353600


def peer(name, *keys, group=None):
    return Peer(
        name, group, tuple(PeerKey(identity.public_key_text(), until) for identity, until in keys)
    )


class RealWorld(World):
    """A simulated network whose instances sign with real keys."""

    def __init__(self, names, seed):
        super().__init__(names, seed)
        self.ring = Keyring([peer(name, (KEYS[name], None)) for name in names])

    def identity(self, name):
        return KEYS[name]


def converged_world():
    world = RealWorld(["n0", "n1", "n2"], 5)
    world.begin()
    # An item cannot be older than its origin's start, and some tests make lapsed ones.
    world.run(TERMS.hearsay.lapse + 2 * SECOND)
    return world


WORLD = converged_world()
NODE = WORLD.instances["n0"].node


def sealed_frame_from_n1(
    sender="n1", identity=None, body=None, items=(), to="n0", number=None, start=None
):
    """Returns the next datagram from n1 to n0, with the given changes."""
    node = WORLD.instances["n1"].node
    node.local.number += 1
    frame = Frame(
        sender,
        to,
        node.local.start if start is None else start,
        number or node.local.number,
        WORLD.now - node.local.started_at,
        body or Push(),
        list(items),
    )
    return codec.seal_frame(frame, identity or KEYS["n1"])


def sealed_item_from_n1(body, origin="n1", identity=None, start=None, age=0):
    node = WORLD.instances["n1"].node
    node.local.number += 1
    item = Item(
        origin,
        node.local.start if start is None else start,
        node.local.number,
        WORLD.now - node.local.started_at - age,
        body,
    )
    return codec.seal_item(item, identity or KEYS["n1"])


def drop_reason(datagram, source=None):
    """Delivers a datagram to n0, by default from n1's address; returns its drop reason or None."""
    previous, NODE.outbox.datagrams = dict(NODE.dropped), []
    NODE.receive_datagram(WORLD.now, source or WORLD.instances["n1"].address, datagram)
    reasons = [kind for kind, count in NODE.dropped.items() if count != previous[kind]]
    return reasons[0] if reasons else None


class DatagramChecks(unittest.TestCase):
    def setUp(self):
        WORLD.now += SECOND  # refills the verification limits

    def test_valid_datagram_is_accepted_once(self):
        valid_datagram = sealed_frame_from_n1()
        self.assertIsNone(drop_reason(valid_datagram))
        self.assertEqual(drop_reason(valid_datagram), "replay")

    def test_forged_datagrams_are_dropped_with_their_reasons(self):
        stranger_key = new_identity("n1")
        valid_datagram = sealed_frame_from_n1()
        for kind, datagram in (
            ("size", b""),
            ("size", valid_datagram + bytes(1400)),
            ("version", b"\2" + valid_datagram[1:]),
            ("key", sealed_frame_from_n1(identity=stranger_key)),
            ("sender", sealed_frame_from_n1(identity=KEYS["n2"])),
            ("sender", sealed_frame_from_n1(sender="n2")),
            ("recipient", sealed_frame_from_n1(to="n2")),
            ("recipient", sealed_frame_from_n1(to="")),
            ("signature", valid_datagram[:-1] + bytes((valid_datagram[-1] ^ 1,))),
            ("form", valid_datagram[:9] + b"\xc1" + valid_datagram[10:]),
            ("unproved", sealed_frame_from_n1(start=7)),
            ("unproved", sealed_frame_from_n1(body=Ack(bytes(8), None), start=7)),
        ):
            self.assertEqual(drop_reason(datagram), kind)
        self.assertEqual(drop_reason(valid_datagram, ("192.0.2.1", 7946)), "network")

    def test_any_flipped_bit_makes_a_datagram_invalid(self):
        for offset in range(len(sealed_frame_from_n1())):
            WORLD.now += SECOND // 10
            datagram = bytearray(sealed_frame_from_n1(items=[sealed_item_from_n1(Left())]))
            datagram[offset] ^= 1
            self.assertIsNotNone(drop_reason(bytes(datagram)), offset)
        self.assertEqual(NODE.members.all["n1"].state, "alive")

    def test_items_are_accepted_only_from_their_origin(self):
        evidence, endpoint = Evidence("s-1", "", 1, 0, 9, 9), EndpointKey("s-1", "", 1, 0)
        NODE.suspicions.set_endpoints([endpoint])
        signed = sealed_item_from_n1(
            evidence
        )  # flip a bit: the last byte may already have any fixed value
        for kind, item in (
            ("key", sealed_item_from_n1(evidence, origin="n2")),
            ("signature", signed[:-1] + bytes([signed[-1] ^ 1])),
            ("key", sealed_item_from_n1(Left(), "n2")),
            ("unproved", sealed_item_from_n1(Alive("10.0.0.9", 9, 0), start=9)),
            ("lapsed", sealed_item_from_n1(evidence, age=TERMS.hearsay.lapse + SECOND)),
            ("lapsed", sealed_item_from_n1(evidence, age=-3 * SECOND)),
            ("lapsed", sealed_item_from_n1(Evidence("s-9", "", 1, 0, 9, 9))),
            ("size", b"x"),
            ("form", bytes(120)),
        ):
            WORLD.now += SECOND // 10
            self.assertEqual(drop_reason(sealed_frame_from_n1(items=[item])), kind)
        self.assertEqual(NODE.suspicions.evidence, {})
        self.assertIsNone(drop_reason(sealed_frame_from_n1(items=[sealed_item_from_n1(evidence)])))
        self.assertEqual(set(NODE.suspicions.evidence[endpoint]), {"n1"})
        NODE.suspicions.set_endpoints([])

    def test_false_suspicion_is_refuted_with_a_higher_incarnation(self):
        previous = NODE.local.incarnation
        self.assertIsNone(
            drop_reason(
                sealed_frame_from_n1(
                    items=[sealed_item_from_n1(codec.Suspect("n0", NODE.local.start, previous))]
                )
            )
        )
        self.assertEqual(NODE.local.incarnation, previous + 1)
        self.assertIsNone(
            drop_reason(
                sealed_frame_from_n1(
                    items=[
                        sealed_item_from_n1(codec.Suspect("n0", NODE.local.start + 1, previous + 9))
                    ]
                )
            )
        )
        self.assertEqual(NODE.local.incarnation, previous + 1)  # of another start: ignored

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=1500), st.integers(0, 400), st.binary(max_size=30))
    def test_random_datagrams_are_dropped_and_not_amplified(self, noise, offset, patch):
        WORLD.now += SECOND // 10
        for datagram in (
            noise,
            codec.encode_unsigned_frame(Frame("n1", "n0", 1, 1, 1, Push(), []), KEYS["n1"].key_id)
            + noise,
            (valid_datagram := sealed_frame_from_n1())[:offset]
            + patch
            + valid_datagram[offset + len(patch) :],
        ):
            if datagram != valid_datagram:
                self.assertIsNotNone(drop_reason(datagram))
                self.assertLessEqual(
                    sum(len(out.content) for out in NODE.outbox.datagrams), len(datagram)
                )

    def test_size_of_longest_items_fits_a_datagram(self):
        items = [
            sealed_item_from_n1(
                Evidence("p" * 96, "a" * 96, 1 << 53, 1 << 53, 1_000_000, 1_000_000)
            )
            for _ in range(30)
        ]
        self.assertLessEqual(len(items[0]), codec.MAX_ITEM_SIZE)
        NODE.queue.add(codec.read_item(items[0])[1], KEYS["n1"].key_id, items[0], WORLD.now, "x")
        picked = NODE.queue.pick(3, 1100)
        self.assertLessEqual(
            len(sealed_frame_from_n1(body=Ping(bytes(8), b""), items=picked)),
            codec.MAX_DATAGRAM_SIZE,
        )


class ForwardedItems(unittest.TestCase):
    """Guards against an instance that has left being reported alive: its Alive and its Left were queued under
    different topics, and an older item that arrived late replaced a newer one."""

    def liveness_items(self, node):
        return [
            codec.read_item(item.content).item.body
            for (origin, topic), item in node.queue.items.items()
            if origin == "n1" and topic == LIVENESS
        ]

    def test_left_replaces_alive_and_late_alive_is_ignored(self):
        world = converged_world()
        node, origin = world.instances["n0"].node, world.instances["n1"].node
        seal = lambda body: codec.seal_item(  # noqa: E731
            Item(
                "n1", origin.local.start, next(numbers), world.now - origin.local.started_at, body
            ),
            KEYS["n1"],
        )
        numbers = iter(range(1_000, 1_010))
        alive, late_alive, left = (
            seal(Alive("127.0.0.1", 9, 0)),
            seal(Alive("127.0.0.1", 9, 0)),
            seal(Left()),
        )
        forwarder = node.members.all["n2"]
        self.assertIsNone(node.items.receive(world.now, forwarder, alive))
        self.assertIsNone(node.items.receive(world.now, forwarder, left))
        self.assertEqual(self.liveness_items(node), [Left()])
        node.items.receive(world.now, forwarder, late_alive)
        self.assertEqual(self.liveness_items(node), [Left()])

    def test_late_older_item_does_not_replace_a_newer_one(self):
        queue = DisseminationQueue(LinearCongruentialGenerator(1), 10 * SECOND)
        for number, start in ((1, 7), (3, 7), (2, 7), (4, 7), (1, 8)):
            queue.add(Item("n1", start, number, 0, Left()), b"", bytes([number]), 0, "x")
            (queued,) = queue.items.values()
            self.assertEqual(
                queued.content[0], {(2, 7): 3}.get((number, start), number), (number, start)
            )
        self.assertEqual(queue.count_by_origin, {"n1": 1})


class KeyringTest(unittest.TestCase):
    def test_both_keys_are_valid_during_rotation_until_the_old_one_expires(self):
        old, new = new_identity("n1"), new_identity("n1")
        ring = Keyring([peer("n1", (old, KEY_END), (new, None))])
        self.assertEqual(
            [ring.owner(identity.key_id, KEY_END_UNIX - 1) for identity in (old, new)], ["n1", "n1"]
        )
        self.assertEqual(
            [ring.owner(identity.key_id, KEY_END_UNIX) for identity in (old, new)], [None, "n1"]
        )
        self.assertEqual(ring.active_names(KEY_END_UNIX), {"n1"})

    def test_revoked_key_has_no_owner_and_invalid_keyrings_are_rejected(self):
        key = KEYS["n1"]
        self.assertIsNone(
            Keyring([peer("n1", (key, None))], [key.public_key_text()]).owner(key.key_id, 0)
        )
        for peers, expected_error in (
            ([peer("n1", (key, None)), peer("n2", (key, None))], "n1 and n2 have the same key"),
            (
                [peer("n1", (key, None)), peer("n1", (KEYS["n2"], None))],
                "two peers have the same name",
            ),
            ([peer("n1", (key, "tomorrow"))], "not a time"),
        ):
            with self.assertRaisesRegex(KeyringError, expected_error):
                Keyring(peers)

    def test_allowed_networks(self):
        sources = AllowedNetworks(["127.0.0.0/8", "10.1.0.0/16", "::1/128"])
        self.assertEqual(
            [host in sources for host in ("127.9.9.9", "10.1.2.3", "10.2.0.1", "::1", "not one")],
            [True, True, False, True, False],
        )
        with self.assertRaisesRegex(KeyringError, "from"):
            AllowedNetworks(["300.0.0.0/8"])

    def test_command_creates_a_key_file_once_and_shows_it(self):
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, "n7.key")
            self.assertEqual(keys.main(["new", "n7", path]), 0)
            self.assertEqual(os.stat(path).st_mode & 0o777, 0o600)
            self.assertEqual(keys.main(["new", "n7", path]), 2)
            with open(path, "rb") as source:
                identity = read_identity("n7", source.read())
            self.assertEqual(len(base64.b64decode(identity.public_key_text())), 32)
            self.assertEqual(keys.main(["show", "n7", path]), 0)
        with self.assertRaisesRegex(KeyringError, "the private key can't be read"):
            read_identity("n7", b"no key")


class ReplayWindowTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.integers(1, 40), st.lists(st.integers(0, 120), max_size=80))
    def test_matches_a_set_with_a_lower_bound(self, size, numbers):
        window, seen = ReplayWindow(size), set()
        for number in numbers:
            highest = max(seen, default=-1)
            self.assertEqual(window.seen(number), number in seen or number <= highest - size)
            if not window.seen(number):
                window.mark(number)
                seen.add(number)


class SuspicionsInDecisionEngine(unittest.TestCase):
    def test_suspected_endpoint_is_used_last_but_not_excluded(self):
        engine = make_engine(make_endpoint("old-1"), make_endpoint("old-2"))
        engine.handle(NOW, [SuspicionReported("old-1", 1, 0, NOW + SECOND)])
        self.assertEqual(
            {
                *attempted_endpoints(
                    engine.handle(NOW, [make_request(f"t{number}") for number in range(8)])
                )
            },
            {"old-2"},
        )
        engine.handle(NOW, [SuspicionReported("old-2", 1, 0, NOW + SECOND)])
        self.assertEqual(
            len(
                attempted_endpoints(
                    engine.handle(NOW, [make_request(f"u{number}") for number in range(4)])
                )
            ),
            4,
        )
        engine.handle(NOW, [SuspicionReported("old-1", 1, 0, NOW)])
        self.assertEqual(
            {
                *attempted_endpoints(
                    engine.handle(NOW, [make_request(f"v{number}") for number in range(4)])
                )
            },
            {"old-1"},
        )
        engine = make_engine(make_endpoint("old-1"), make_endpoint("old-2"))
        engine.handle(NOW, [SuspicionReported("old-1", 1, 0, NOW + SECOND)])
        actions = engine.handle(
            NOW + 2 * SECOND, [make_request(f"w{number}") for number in range(8)]
        )
        self.assertEqual({*attempted_endpoints(actions)}, {"old-1", "old-2"})

    def test_suspicion_of_another_build_or_start_is_ignored_and_never_votes(self):
        engine = make_engine()
        sums = dict(engine.sequential_test.sums)
        for event in (
            SuspicionReported("old-1", 2, 0, NOW + SECOND),
            SuspicionReported("old-1", 1, 5, NOW + SECOND),
            SuspicionReported("gone", 1, 0, NOW + SECOND),
        ):
            self.assertNotIn(CastVote, action_types(engine.handle(NOW, [event])))
        self.assertEqual(
            [known.suspected_until for known in engine.context.endpoints.values()], [0, 0, 0]
        )
        self.assertEqual(engine.sequential_test.sums, sums)


if __name__ == "__main__":
    unittest.main()
