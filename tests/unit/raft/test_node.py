"""One node, and several of them: elections, replication, membership, reads, bounds; messages as bytes."""

import os
import unittest

from thymeknot.raft.errors import MessageDecodeError
from thymeknot.raft.messages import (
    AppendRequest,
    VoteRequest,
    VoteResponse,
    decode_message,
    encode_message,
)
from thymeknot.raft.node import RaftNode
from thymeknot.raft.node_interface import (
    CommandCompleted,
    CommandProposed,
    DiskFailed,
    MessageReceived,
    Persist,
    ReadReady,
    ReadRequested,
    RecordsStored,
    RequestRejected,
    Send,
    SteppedDown,
    TimerDue,
)
from thymeknot.raft.records import Entry, Members, Recovered
from thymeknot.raft.roles import TRANSITIONS, Role
from thymeknot.raft.settings import RaftSettings, settings_error
from thymeknot.raft.simulated_host import Register
from thymeknot.state.random_source import LinearCongruentialGenerator

SETTINGS = RaftSettings(
    snapshot_threshold=10,
    retained_entries=2,
    snapshot_chunk_bytes=64,
    max_pending_requests=4,
    lease_reads=True,
)
LEAST = SETTINGS.election_timeout.minimum


def sent(effects, kind=None):
    return [
        (one.peer, one.message)
        for one in effects
        if type(one) is Send and (not kind or type(one.message) is kind)
    ]


def of(effects, kind):
    return [one for one in effects if type(one) is kind]


class Cluster:
    """Nodes whose messages and disks do at once what they are asked, but for those in `gone`."""

    def __init__(self, names="abc", settings=SETTINGS, more=""):
        self.now, self.gone, self.told = 0, set(), []
        self.all = {
            name: RaftNode(
                name,
                names,
                settings,
                LinearCongruentialGenerator(at),
                Recovered(0 if name in names else 7),
                Register(),
                0,
            )
            for at, name in enumerate(names + more)
        }

    def tell(self, name, event):
        waiting = [(name, event)]
        effects = []
        while waiting:
            name, event = waiting.pop(0)
            for one in self.all[name].handle(self.now, event):
                effects.append(one)
                if type(one) is Persist:
                    waiting.append((name, RecordsStored(one.serial)))
                elif (
                    type(one) is Send and not {name, one.peer} & self.gone and one.peer in self.all
                ):
                    waiting.append((one.peer, MessageReceived(name, one.message)))
        self.told += effects
        return effects

    def pass_time(self, span, step=100):
        for _ in range(span // step):
            self.now += step
            for name in sorted(self.all.keys() - self.gone):
                self.tell(name, TimerDue())

    def lead(self, name="a"):
        self.pass_time(LEAST)
        self.all[name].state.timer_due = self.now
        self.tell(name, TimerDue())
        assert self.all[name].role == Role.LEADER
        return self.all[name]

    def propose(self, name, number, token="t", /, **command):
        command = command or {"part": "register", "id": number}
        return self.tell(name, CommandProposed(token, "client", 1, number, command))


def new_node(name, disk_incarnation):
    """A node of the cluster "abc" with a disk that holds nothing."""
    return RaftNode(
        name,
        "abc",
        SETTINGS,
        LinearCongruentialGenerator(1),
        Recovered(disk_incarnation),
        Register(),
        0,
    )


class NodeTests(unittest.TestCase):
    def test_table(self):
        actions = new_node("a", 0).actions
        for (role, trigger), (following, action) in TRANSITIONS.items():
            self.assertTrue(action is None or callable(actions[action]), (role, trigger))
            self.assertTrue(role != Role.STOPPED or following == Role.STOPPED)

    def test_settings(self):
        self.assertIsNone(settings_error(RaftSettings()))
        self.assertIn("lease", settings_error(RaftSettings(lease_duration=2_950)))
        self.assertIn("heartbeat", settings_error(RaftSettings(heartbeat_interval=1_000)))

    def test_agrees_and_reads(self):
        cluster = Cluster()
        cluster.lead()
        effects = cluster.propose("a", 1)
        self.assertEqual(
            of(effects, CommandCompleted), [CommandCompleted("t", {"ok": True, "place": 1})]
        )
        cluster.pass_time(600)
        self.assertEqual([one.machine.order for one in cluster.all.values()], [[1]] * 3)
        self.assertEqual(of(cluster.tell("a", ReadRequested("r")), ReadReady), [ReadReady("r", 2)])
        self.assertEqual(
            of(cluster.propose("b", 2), RequestRejected),
            [RequestRejected("t", "does not lead", 0, "a")],
        )

    def test_one_node_alone_starts_again(self):
        cluster = Cluster("a")
        cluster.lead()
        cluster.propose("a", 1)
        self.assertEqual(of(cluster.tell("a", ReadRequested("r")), ReadReady), [ReadReady("r", 2)])
        node = cluster.all["a"]
        stored = Recovered(0, node.term, node.state.vote, None, tuple(node.log.entries))
        cluster.all["a"] = RaftNode(
            "a", "a", SETTINGS, LinearCongruentialGenerator(2), stored, Register(), cluster.now
        )
        cluster.lead()
        self.assertEqual((cluster.all["a"].machine.order, cluster.all["a"].term), ([1], 2))

    def test_repeated_number_gets_the_same_reply(self):
        cluster = Cluster()
        cluster.lead()
        first, again = (of(cluster.propose("a", 1), CommandCompleted) for _ in range(2))
        self.assertEqual(first, again)
        self.assertEqual(cluster.all["a"].machine.order, [1])

    def test_votes_only_once_stored(self):
        node = new_node("b", 0)
        effects = node.handle(LEAST, MessageReceived("a", VoteRequest(1, 0, 0, False, 0, 0, False)))
        self.assertEqual(sent(effects), [])
        serial = of(effects, Persist)[-1].serial
        self.assertEqual(
            sent(node.handle(LEAST + 1, RecordsStored(serial))),
            [("a", VoteResponse(1, 0, False, True))],
        )
        effects = node.handle(
            LEAST + 2, MessageReceived("c", VoteRequest(1, 0, 0, False, 0, 0, False))
        )
        self.assertEqual(sent(effects), [("c", VoteResponse(1, 0, False, False))])

    def test_votes_under_its_own_disk_incarnation_only(self):
        node = new_node("b", 5)
        self.assertEqual(node.role, Role.LEARNER)
        effects = node.handle(LEAST, MessageReceived("a", VoteRequest(1, 0, 0, True, 0, 0, False)))
        self.assertEqual(sent(effects, VoteResponse)[0][1].granted, False)

    def test_who_hears_a_leader_is_not_disturbed(self):
        cluster = Cluster()
        cluster.lead()
        term = cluster.all["b"].term
        cluster.tell("b", MessageReceived("c", VoteRequest(term + 5, 0, 0, False, 99, 99, False)))
        self.assertEqual((cluster.all["b"].term, cluster.all["a"].role), (term, Role.LEADER))

    def test_disk_failed(self):
        cluster = Cluster()
        cluster.lead()
        effects = cluster.tell("b", DiskFailed("full"))
        self.assertEqual(of(effects, SteppedDown), [SteppedDown("disk: full")])
        for message in (
            VoteRequest(99, 0, 0, False, 99, 99, True),
            AppendRequest(99, 0, 0, 0, (), 0, 1),
        ):
            self.assertEqual(
                cluster.all["b"].handle(cluster.now + 9_000, MessageReceived("a", message)), []
            )

    def test_stood_still(self):
        cluster = Cluster()
        cluster.lead()
        cluster.now += SETTINGS.lease_duration + 1
        effects = cluster.tell("a", ReadRequested("r"))
        self.assertEqual(type(effects[0]), SteppedDown)
        self.assertEqual((of(effects, ReadReady), len(of(effects, RequestRejected))), ([], 1))

    def test_leader_without_majority_steps_down(self):
        cluster = Cluster()
        cluster.lead()
        cluster.gone = {"b", "c"}
        cluster.propose("a", 1)
        cluster.pass_time(LEAST + 1_000)
        self.assertNotEqual(cluster.all["a"].role, Role.LEADER)
        self.assertTrue(
            any(one.reason.startswith("unknown") for one in of(cluster.told, RequestRejected))
        )

    def test_bounded(self):
        cluster = Cluster()
        cluster.lead()
        cluster.gone = {"b", "c"}
        refused = [
            one
            for number in range(1, 9)
            for one in of(cluster.propose("a", number), RequestRejected)
        ]
        self.assertEqual(len(refused), 8 - SETTINGS.max_pending_requests)
        self.assertGreater(refused[0].retry_after, 0)
        self.assertIsNone(
            of(cluster.propose("a", 9, part="x", much="x" * 70_000), RequestRejected)[0].retry_after
        )

    def test_learner_by_snapshot_then_voter_and_transfer(self):
        cluster = Cluster(more="d")
        leader = cluster.lead()
        for number in range(1, 30):
            cluster.propose("a", number)
        self.assertGreater(leader.log.base_index, 0)
        self.assertIn(
            "no learner",
            of(cluster.propose("a", 30, part="keepers", do="promote", name="d"), RequestRejected)[
                0
            ].reason,
        )
        cluster.propose("a", 31, part="keepers", do="add", name="d", life=7)
        self.assertEqual(cluster.all["d"].role, Role.LEARNER)
        cluster.pass_time(600)
        self.assertEqual(cluster.all["d"].machine.order, leader.machine.order)
        cluster.propose("a", 32, part="keepers", do="promote", name="d")
        self.assertEqual(leader.log.members, Members({"a": 0, "b": 0, "c": 0, "d": 7}, {}))
        cluster.propose("a", 33, part="keepers", do="transfer", name="d")
        self.assertEqual((cluster.all["d"].role, leader.leader), (Role.LEADER, "d"))
        cluster.propose("d", 34, part="keepers", do="remove", name="d")
        self.assertNotEqual(cluster.all["d"].role, Role.LEADER)

    def test_agreed_time_goes_on_across_leaders(self):
        cluster = Cluster()
        cluster.lead()
        cluster.pass_time(5_000)
        cluster.propose("a", 1)
        before = cluster.all["a"].log.last_at
        self.assertGreaterEqual(before, 5_000)
        cluster.gone = {"a"}
        cluster.lead("b")
        cluster.propose("b", 2)
        self.assertGreaterEqual(cluster.all["b"].log.last_at, before)

    def test_messages_as_bytes(self):
        message = AppendRequest(3, 0, 1, 1, (Entry(2, 3, 4, "o", 1, 1, {"part": "x"}),), 1, 9)
        self.assertEqual(decode_message(encode_message(message)), message)
        for bad in (b"", b"\x92\x63\x90", b"\x92\x00\x91\xa1x", os.urandom(40)):
            with self.assertRaises(MessageDecodeError):
                decode_message(bad)


if __name__ == "__main__":
    unittest.main()
