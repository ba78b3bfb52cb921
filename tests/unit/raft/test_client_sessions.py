"""Client sessions: commands applied once, bounded number of sessions, snapshots."""

import unittest

from thymeknot.raft.client_sessions import ClientSessions
from thymeknot.raft.simulated_host import Register
from thymeknot.raft.state_machine import CompositeStateMachine


class ClientSessionsTests(unittest.TestCase):
    def setUp(self):
        self.sessions = ClientSessions(CompositeStateMachine({"register": Register()}), 2)

    def apply(self, origin, incarnation, number):
        command = {"part": "register", "id": f"{origin}{incarnation}{number}"}
        return self.sessions.apply(
            0, origin, incarnation, number, lambda at: self.sessions.machine.apply(at, command)
        )

    def test_each_command_is_applied_once(self):
        self.assertEqual(self.apply("a", 1, 5), self.apply("a", 1, 5))
        self.assertIn("later number", self.apply("a", 1, 4)["refused"])
        self.assertEqual(self.apply("a", 2, 1)["place"], 2)
        self.assertIn("older incarnation", self.apply("a", 1, 6)["refused"])

    def test_least_recently_used_session_is_evicted_and_snapshot_restores_the_rest(self):
        for origin in "abc":
            self.apply(origin, 1, 1)
        self.assertEqual(list(self.sessions.by_origin), ["b", "c"])
        restored = ClientSessions(CompositeStateMachine({"register": Register()}), 2)
        restored.load(self.sessions.image())
        self.assertEqual(restored.image(), self.sessions.image())
        self.assertIn("no part", CompositeStateMachine({}).apply(0, {"part": [1]})["refused"])


if __name__ == "__main__":
    unittest.main()
