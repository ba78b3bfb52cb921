"""What gossip reads and believes word by word: keys, datagrams, windows; with real signatures."""

import base64
import os
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from measure.world import SECOND, TERMS, World
from tests.support.decisions import NOW, balancer, kinds, pod, sent, taken
from thymeknot.gossip import codec, keys
from thymeknot.gossip.codec import Ack, Alive, Evidence, Frame, Item, Left, Ping, Push
from thymeknot.gossip.dissemination_queue import LIFE, DisseminationQueue
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
UNTIL = "2027-01-31T00:00:00Z"
ENDS = 1801353600


def peer(name, *told, group=None):
    return Peer(name, group, tuple(PeerKey(one.public_key_text(), until) for one, until in told))


class RealWorld(World):
    """A world whose instances sign with real keys."""

    def __init__(self, names, seed):
        super().__init__(names, seed)
        self.ring = Keyring([peer(name, (KEYS[name], None)) for name in names])

    def identity(self, name):
        return KEYS[name]


def two():
    world = RealWorld(["n0", "n1", "n2"], 5)
    world.begin()
    world.run(8 * SECOND)
    return world


WORLD = two()
NODE = WORLD.instances["n0"].node


def frame_of(sender="n1", identity=None, body=None, items=(), to="n0", number=None, start=None):
    """A frame as n1 would send it next to n0, changed as told."""
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


def item_of(body, origin="n1", identity=None, start=None, age=0):
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


def dropped(datagram, source=None):
    """What a datagram from n1's address was dropped for, or None; how many went out for it."""
    before, NODE.outbox.datagrams = dict(NODE.dropped), []
    NODE.receive_datagram(WORLD.now, source or WORLD.instances["n1"].address, datagram)
    found = [kind for kind, count in NODE.dropped.items() if count != before[kind]]
    return found[0] if found else None


class Datagrams(unittest.TestCase):
    def setUp(self):
        WORLD.now += SECOND  # budgets are full again

    def test_what_is_well_formed_is_taken_once(self):
        good = frame_of()
        self.assertIsNone(dropped(good))
        self.assertEqual(dropped(good), "replay")

    def test_forged_ones_are_refused_each_for_its_reason(self):
        stranger = new_identity("n1")
        good = frame_of()
        for kind, datagram in (
            ("size", b""),
            ("size", good + bytes(1400)),
            ("version", b"\2" + good[1:]),
            ("key", frame_of(identity=stranger)),
            ("sender", frame_of(identity=KEYS["n2"])),
            ("sender", frame_of(sender="n2")),
            ("recipient", frame_of(to="n2")),
            ("recipient", frame_of(to="")),
            ("signature", good[:-1] + bytes((good[-1] ^ 1,))),
            ("form", good[:9] + b"\xc1" + good[10:]),
            ("unproved", frame_of(start=7)),
            ("unproved", frame_of(body=Ack(bytes(8), None), start=7)),
        ):
            self.assertEqual(dropped(datagram), kind)
        self.assertEqual(dropped(good, ("192.0.2.1", 7946)), "network")

    def test_a_flipped_bit_anywhere_is_refused(self):
        for at in range(len(frame_of())):
            WORLD.now += SECOND // 10
            datagram = bytearray(frame_of(items=[item_of(Left())]))
            datagram[at] ^= 1
            self.assertIsNotNone(dropped(bytes(datagram)), at)
        self.assertEqual(NODE.members.all["n1"].state, "alive")

    def test_items_count_for_their_origin_alone(self):
        claim, pod = Evidence("s-1", "", 1, 0, 9, 9), EndpointKey("s-1", "", 1, 0)
        NODE.suspicions.set_endpoints([pod])
        signed = item_of(claim)  # its last byte is zero in one of sixteen: it is turned, not set
        for kind, item in (
            ("key", item_of(claim, origin="n2")),
            ("signature", signed[:-1] + bytes([signed[-1] ^ 1])),
            ("key", item_of(Left(), "n2")),
            ("unproved", item_of(Alive("10.0.0.9", 9, 0), start=9)),
            ("lapsed", item_of(claim, age=TERMS.hearsay.lapse + SECOND)),
            ("lapsed", item_of(claim, age=-3 * SECOND)),
            ("lapsed", item_of(Evidence("s-9", "", 1, 0, 9, 9))),
            ("size", b"x"),
            ("form", bytes(120)),
        ):
            WORLD.now += SECOND // 10
            self.assertEqual(dropped(frame_of(items=[item])), kind)
        self.assertEqual(NODE.suspicions.evidence, {})
        self.assertIsNone(dropped(frame_of(items=[item_of(claim)])))
        self.assertEqual(set(NODE.suspicions.evidence[pod]), {"n1"})
        NODE.suspicions.set_endpoints([])

    def test_an_instance_called_dead_says_that_it_lives(self):
        before = NODE.local.incarnation
        self.assertIsNone(
            dropped(frame_of(items=[item_of(codec.Suspect("n0", NODE.local.start, before))]))
        )
        self.assertEqual(NODE.local.incarnation, before + 1)
        self.assertIsNone(
            dropped(
                frame_of(items=[item_of(codec.Suspect("n0", NODE.local.start + 1, before + 9))])
            )
        )
        self.assertEqual(NODE.local.incarnation, before + 1)  # of another start: old news

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=1500), st.integers(0, 400), st.binary(max_size=30))
    def test_noise_of_any_form_is_dropped_and_never_answered_with_more(self, noise, at, patch):
        WORLD.now += SECOND // 10
        for datagram in (
            noise,
            codec.encode_unsigned_frame(Frame("n1", "n0", 1, 1, 1, Push(), []), KEYS["n1"].key_id)
            + noise,
            (good := frame_of())[:at] + patch + good[at + len(patch) :],
        ):
            if datagram != good:
                self.assertIsNotNone(dropped(datagram))
                self.assertLessEqual(
                    sum(len(out.content) for out in NODE.outbox.datagrams), len(datagram)
                )

    def test_the_longest_frames_fit(self):
        claims = [
            item_of(Evidence("p" * 96, "a" * 96, 1 << 53, 1 << 53, 1_000_000, 1_000_000))
            for _ in range(30)
        ]
        self.assertLessEqual(len(claims[0]), codec.MAX_ITEM)
        NODE.queue.add(codec.read_item(claims[0])[1], KEYS["n1"].key_id, claims[0], WORLD.now, "x")
        picked = NODE.queue.pick(3, 1100)
        self.assertLessEqual(
            len(frame_of(body=Ping(bytes(8), b""), items=picked)), codec.MAX_DATAGRAM
        )


class PassedOn(unittest.TestCase):
    """An instance that had left went on being called alive by those who passed on its items: its Alive and its Left
    stood in the queue under keys of their own, and an older item that came late took the place of a newer one."""

    def queued(self, world):
        return [
            codec.read_item(item.content).item.body
            for (origin, about), item in world.queue.items.items()
            if origin == "n1" and about == LIFE
        ]

    def test_an_instance_that_has_left_is_not_called_alive_any_more(self):
        world = two()
        node, origin = world.instances["n0"].node, world.instances["n1"].node
        say = lambda body: codec.seal_item(  # noqa: E731
            Item(
                "n1", origin.local.start, next(numbers), world.now - origin.local.started_at, body
            ),
            KEYS["n1"],
        )
        numbers = iter(range(1_000, 1_010))
        alive, late, left = (
            say(Alive("127.0.0.1", 9, 0)),
            say(Alive("127.0.0.1", 9, 0)),
            say(Left()),
        )
        bringer = node.members.all["n2"]
        self.assertIsNone(node.items.receive(world.now, bringer, alive))
        self.assertIsNone(node.items.receive(world.now, bringer, left))
        self.assertEqual(self.queued(node), [Left()])
        node.items.receive(world.now, bringer, late)
        self.assertEqual(self.queued(node), [Left()])

    def test_an_older_item_that_comes_late_replaces_no_newer_one(self):
        queue = DisseminationQueue(LinearCongruentialGenerator(1), 10 * SECOND)
        for number, start in ((1, 7), (3, 7), (2, 7), (4, 7), (1, 8)):
            queue.add(Item("n1", start, number, 0, Left()), b"", bytes([number]), 0, "x")
            (queued,) = queue.items.values()
            self.assertEqual(
                queued.content[0], {(2, 7): 3}.get((number, start), number), (number, start)
            )
        self.assertEqual(queue.count_by_origin, {"n1": 1})


class KeysOfTheRing(unittest.TestCase):
    def test_a_rotation_has_both_keys_until_the_old_ones_end(self):
        old, new = new_identity("n1"), new_identity("n1")
        ring = Keyring([peer("n1", (old, UNTIL), (new, None))])
        self.assertEqual([ring.owner(one.key_id, ENDS - 1) for one in (old, new)], ["n1", "n1"])
        self.assertEqual([ring.owner(one.key_id, ENDS) for one in (old, new)], [None, "n1"])
        self.assertEqual(ring.active_names(ENDS), {"n1"})

    def test_a_revoked_key_is_nobodys_and_faulty_rings_are_refused(self):
        mine = KEYS["n1"]
        self.assertIsNone(
            Keyring([peer("n1", (mine, None))], [mine.public_key_text()]).owner(mine.key_id, 0)
        )
        for peers, said in (
            ([peer("n1", (mine, None)), peer("n2", (mine, None))], "the same key"),
            ([peer("n1", (mine, None)), peer("n1", (KEYS["n2"], None))], "twice"),
            ([peer("n1", (mine, "tomorrow"))], "no time"),
        ):
            with self.assertRaisesRegex(KeyringError, said):
                Keyring(peers)

    def test_networks(self):
        sources = AllowedNetworks(["127.0.0.0/8", "10.1.0.0/16", "::1/128"])
        self.assertEqual(
            [host in sources for host in ("127.9.9.9", "10.1.2.3", "10.2.0.1", "::1", "not one")],
            [True, True, False, True, False],
        )
        with self.assertRaisesRegex(KeyringError, "from"):
            AllowedNetworks(["300.0.0.0/8"])

    def test_the_command_makes_a_key_once_and_shows_it(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "n7.key")
            self.assertEqual(keys.main(["new", "n7", path]), 0)
            self.assertEqual(os.stat(path).st_mode & 0o777, 0o600)
            self.assertEqual(keys.main(["new", "n7", path]), 2)
            with open(path, "rb") as source:
                identity = read_identity("n7", source.read())
            self.assertEqual(len(base64.b64decode(identity.public_key_text())), 32)
            self.assertEqual(keys.main(["show", "n7", path]), 0)
        with self.assertRaisesRegex(KeyringError, "can be read"):
            read_identity("n7", b"no key")


class Windows(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.integers(1, 40), st.lists(st.integers(0, 120), max_size=80))
    def test_like_a_set_that_forgets_what_is_old(self, size, numbers):
        window, seen = ReplayWindow(size), set()
        for number in numbers:
            highest = max(seen, default=-1)
            self.assertEqual(window.seen(number), number in seen or number <= highest - size)
            if not window.seen(number):
                window.mark(number)
                seen.add(number)


class InTheDecisions(unittest.TestCase):
    def test_a_doubted_pod_is_turned_to_later_and_never_excluded(self):
        made_ = balancer(pod("old-1"), pod("old-2"))
        made_.handle(NOW, [SuspicionReported("old-1", 1, 0, NOW + SECOND)])
        self.assertEqual(
            {*sent(made_.handle(NOW, [taken(f"t{at}") for at in range(8)]))}, {"old-2"}
        )
        made_.handle(NOW, [SuspicionReported("old-2", 1, 0, NOW + SECOND)])
        self.assertEqual(len(sent(made_.handle(NOW, [taken(f"u{at}") for at in range(4)]))), 4)
        made_.handle(NOW, [SuspicionReported("old-1", 1, 0, NOW)])
        self.assertEqual(
            {*sent(made_.handle(NOW, [taken(f"v{at}") for at in range(4)]))}, {"old-1"}
        )
        made_ = balancer(pod("old-1"), pod("old-2"))
        made_.handle(NOW, [SuspicionReported("old-1", 1, 0, NOW + SECOND)])
        later = made_.handle(NOW + 2 * SECOND, [taken(f"w{at}") for at in range(8)])
        self.assertEqual({*sent(later)}, {"old-1", "old-2"})

    def test_of_another_build_or_start_it_changes_nothing_and_never_a_vote(self):
        made_ = balancer()
        sums = dict(made_.sequential_test.sums)
        for event in (
            SuspicionReported("old-1", 2, 0, NOW + SECOND),
            SuspicionReported("old-1", 1, 5, NOW + SECOND),
            SuspicionReported("gone", 1, 0, NOW + SECOND),
        ):
            self.assertNotIn(CastVote, kinds(made_.handle(NOW, [event])))
        self.assertEqual(
            [known.suspected_until for known in made_.context.endpoints.values()], [0, 0, 0]
        )
        self.assertEqual(made_.sequential_test.sums, sums)


if __name__ == "__main__":
    unittest.main()
