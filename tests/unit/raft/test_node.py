"""Raft nodes: elections, replication, membership changes, reads, limits and message encoding."""

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
MIN_ELECTION_TIMEOUT = SETTINGS.election_timeout.minimum


def sent_messages(effects, kind=None):
    return [
        (effect.peer, effect.message)
        for effect in effects
        if type(effect) is Send and (not kind or type(effect.message) is kind)
    ]


def effects_of(effects, kind):
    return [effect for effect in effects if type(effect) is kind]


class Cluster:
    """A cluster that delivers messages and completes writes at once.

    Nodes in `unreachable` neither send nor receive messages, and their timers don't fire.
    """

    def __init__(self, names="abc", settings=SETTINGS, joining=""):
        self.now, self.unreachable, self.all_effects = 0, set(), []
        self.nodes = {
            name: RaftNode(
                name,
                names,
                settings,
                LinearCongruentialGenerator(seed),
                Recovered(0 if name in names else 7),
                Register(),
                0,
            )
            for seed, name in enumerate(names + joining)
        }

    def handle(self, name, event):
        pending_events = [(name, event)]
        effects = []
        while pending_events:
            name, event = pending_events.pop(0)
            for effect in self.nodes[name].handle(self.now, event):
                effects.append(effect)
                if type(effect) is Persist:
                    pending_events.append((name, RecordsStored(effect.serial)))
                elif (
                    type(effect) is Send
                    and not {name, effect.peer} & self.unreachable
                    and effect.peer in self.nodes
                ):
                    pending_events.append((effect.peer, MessageReceived(name, effect.message)))
        self.all_effects += effects
        return effects

    def advance_time(self, duration, step=100):
        for _ in range(duration // step):
            self.now += step
            for name in sorted(self.nodes.keys() - self.unreachable):
                self.handle(name, TimerDue())

    def elect(self, name="a"):
        self.advance_time(MIN_ELECTION_TIMEOUT)
        self.nodes[name].state.timer_due = self.now
        self.handle(name, TimerDue())
        assert self.nodes[name].role == Role.LEADER
        return self.nodes[name]

    def propose(self, name, number, token="t", /, **command):
        command = command or {"part": "register", "id": number}
        return self.handle(name, CommandProposed(token, "client", 1, number, command))


def new_node(name, disk_incarnation):
    """Returns a node of the cluster "abc" with an empty disk."""
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
    def test_every_transition_has_a_method_and_stopped_is_final(self):
        actions = new_node("a", 0).actions
        for (role, trigger), (next_role, action) in TRANSITIONS.items():
            self.assertTrue(action is None or callable(actions[action]), (role, trigger))
            self.assertTrue(role != Role.STOPPED or next_role == Role.STOPPED)

    def test_inconsistent_settings_are_reported(self):
        self.assertIsNone(settings_error(RaftSettings()))
        self.assertIn("lease", settings_error(RaftSettings(lease_duration=2_950)))
        self.assertIn("heartbeat", settings_error(RaftSettings(heartbeat_interval=1_000)))

    def test_command_is_replicated_and_read(self):
        cluster = Cluster()
        cluster.elect()
        effects = cluster.propose("a", 1)
        self.assertEqual(
            effects_of(effects, CommandCompleted), [CommandCompleted("t", {"ok": True, "place": 1})]
        )
        cluster.advance_time(600)
        self.assertEqual([node.machine.write_ids for node in cluster.nodes.values()], [[1]] * 3)
        self.assertEqual(
            effects_of(cluster.handle("a", ReadRequested("r")), ReadReady), [ReadReady("r", 2)]
        )
        self.assertEqual(
            effects_of(cluster.propose("b", 2), RequestRejected),
            [RequestRejected("t", "does not lead", 0, "a")],
        )

    def test_single_node_cluster_recovers_after_restart(self):
        cluster = Cluster("a")
        cluster.elect()
        cluster.propose("a", 1)
        self.assertEqual(
            effects_of(cluster.handle("a", ReadRequested("r")), ReadReady), [ReadReady("r", 2)]
        )
        node = cluster.nodes["a"]
        recovered = Recovered(0, node.term, node.state.vote, None, tuple(node.log.entries))
        cluster.nodes["a"] = RaftNode(
            "a", "a", SETTINGS, LinearCongruentialGenerator(2), recovered, Register(), cluster.now
        )
        cluster.elect()
        self.assertEqual((cluster.nodes["a"].machine.write_ids, cluster.nodes["a"].term), ([1], 2))

    def test_repeated_sequence_number_gets_the_same_reply(self):
        cluster = Cluster()
        cluster.elect()
        first_reply, repeated_reply = (
            effects_of(cluster.propose("a", 1), CommandCompleted) for _ in range(2)
        )
        self.assertEqual(first_reply, repeated_reply)
        self.assertEqual(cluster.nodes["a"].machine.write_ids, [1])

    def test_vote_is_sent_only_once_durable_and_once_per_term(self):
        node = new_node("b", 0)
        effects = node.handle(
            MIN_ELECTION_TIMEOUT, MessageReceived("a", VoteRequest(1, 0, 0, False, 0, 0, False))
        )
        self.assertEqual(sent_messages(effects), [])
        serial = effects_of(effects, Persist)[-1].serial
        self.assertEqual(
            sent_messages(node.handle(MIN_ELECTION_TIMEOUT + 1, RecordsStored(serial))),
            [("a", VoteResponse(1, 0, False, True))],
        )
        effects = node.handle(
            MIN_ELECTION_TIMEOUT + 2, MessageReceived("c", VoteRequest(1, 0, 0, False, 0, 0, False))
        )
        self.assertEqual(sent_messages(effects), [("c", VoteResponse(1, 0, False, False))])

    def test_node_with_another_disk_incarnation_grants_no_vote(self):
        node = new_node("b", 5)
        self.assertEqual(node.role, Role.LEARNER)
        effects = node.handle(
            MIN_ELECTION_TIMEOUT, MessageReceived("a", VoteRequest(1, 0, 0, True, 0, 0, False))
        )
        self.assertEqual(sent_messages(effects, VoteResponse)[0][1].granted, False)

    def test_follower_with_a_leader_ignores_disruptive_candidate(self):
        cluster = Cluster()
        cluster.elect()
        term = cluster.nodes["b"].term
        cluster.handle("b", MessageReceived("c", VoteRequest(term + 5, 0, 0, False, 99, 99, False)))
        self.assertEqual((cluster.nodes["b"].term, cluster.nodes["a"].role), (term, Role.LEADER))

    def test_node_stops_after_disk_failure(self):
        cluster = Cluster()
        cluster.elect()
        effects = cluster.handle("b", DiskFailed("full"))
        self.assertEqual(effects_of(effects, SteppedDown), [SteppedDown("disk: full")])
        for message in (
            VoteRequest(99, 0, 0, False, 99, 99, True),
            AppendRequest(99, 0, 0, 0, (), 0, 1),
        ):
            self.assertEqual(
                cluster.nodes["b"].handle(cluster.now + 9_000, MessageReceived("a", message)), []
            )

    def test_leader_that_stalled_beyond_its_lease_steps_down(self):
        cluster = Cluster()
        cluster.elect()
        cluster.now += SETTINGS.lease_duration + 1
        effects = cluster.handle("a", ReadRequested("r"))
        self.assertEqual(type(effects[0]), SteppedDown)
        self.assertEqual(
            (effects_of(effects, ReadReady), len(effects_of(effects, RequestRejected))), ([], 1)
        )

    def test_leader_without_majority_steps_down(self):
        cluster = Cluster()
        cluster.elect()
        cluster.unreachable = {"b", "c"}
        cluster.propose("a", 1)
        cluster.advance_time(MIN_ELECTION_TIMEOUT + 1_000)
        self.assertNotEqual(cluster.nodes["a"].role, Role.LEADER)
        self.assertTrue(
            any(
                rejection.reason.startswith("unknown")
                for rejection in effects_of(cluster.all_effects, RequestRejected)
            )
        )

    def test_pending_commands_and_command_size_are_limited(self):
        cluster = Cluster()
        cluster.elect()
        cluster.unreachable = {"b", "c"}
        rejections = [
            rejection
            for number in range(1, 9)
            for rejection in effects_of(cluster.propose("a", number), RequestRejected)
        ]
        self.assertEqual(len(rejections), 8 - SETTINGS.max_pending_requests)
        self.assertGreater(rejections[0].retry_after, 0)
        self.assertIsNone(
            effects_of(cluster.propose("a", 9, part="x", much="x" * 70_000), RequestRejected)[
                0
            ].retry_after
        )

    def test_learner_catches_up_by_snapshot_is_promoted_and_becomes_leader(self):
        cluster = Cluster(joining="d")
        leader = cluster.elect()
        for number in range(1, 30):
            cluster.propose("a", number)
        self.assertGreater(leader.log.base_index, 0)
        self.assertIn(
            "no learner",
            effects_of(
                cluster.propose("a", 30, part="keepers", do="promote", name="d"), RequestRejected
            )[0].reason,
        )
        cluster.propose("a", 31, part="keepers", do="add", name="d", life=7)
        self.assertEqual(cluster.nodes["d"].role, Role.LEARNER)
        cluster.advance_time(600)
        self.assertEqual(cluster.nodes["d"].machine.write_ids, leader.machine.write_ids)
        cluster.propose("a", 32, part="keepers", do="promote", name="d")
        self.assertEqual(leader.log.members, Members({"a": 0, "b": 0, "c": 0, "d": 7}, {}))
        cluster.propose("a", 33, part="keepers", do="transfer", name="d")
        self.assertEqual((cluster.nodes["d"].role, leader.leader), (Role.LEADER, "d"))
        cluster.propose("d", 34, part="keepers", do="remove", name="d")
        self.assertNotEqual(cluster.nodes["d"].role, Role.LEADER)

    def test_agreed_time_does_not_decrease_across_leaders(self):
        cluster = Cluster()
        cluster.elect()
        cluster.advance_time(5_000)
        cluster.propose("a", 1)
        agreed_time = cluster.nodes["a"].log.last_at
        self.assertGreaterEqual(agreed_time, 5_000)
        cluster.unreachable = {"a"}
        cluster.elect("b")
        cluster.propose("b", 2)
        self.assertGreaterEqual(cluster.nodes["b"].log.last_at, agreed_time)

    def test_message_encoding_round_trip_and_malformed_bytes(self):
        message = AppendRequest(3, 0, 1, 1, (Entry(2, 3, 4, "o", 1, 1, {"part": "x"}),), 1, 9)
        self.assertEqual(decode_message(encode_message(message)), message)
        for malformed in (b"", b"\x92\x63\x90", b"\x92\x00\x91\xa1x", os.urandom(40)):
            with self.assertRaises(MessageDecodeError):
                decode_message(malformed)


if __name__ == "__main__":
    unittest.main()
