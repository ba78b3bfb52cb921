"""Client sessions: each command once, bounded, kept in a snapshot."""

import unittest

from thymeknot.raft.client_sessions import ClientSessions
from thymeknot.raft.simulated_host import Register
from thymeknot.raft.state_machine import CompositeStateMachine


class SessionsTests(unittest.TestCase):
    def setUp(self):
        self.sessions = ClientSessions(CompositeStateMachine({"register": Register()}), 2)

    def do(self, origin, incarnation, number):
        command = {"part": "register", "id": f"{origin}{incarnation}{number}"}
        return self.sessions.apply(
            0, origin, incarnation, number, lambda at: self.sessions.machine.apply(at, command)
        )

    def test_once(self):
        self.assertEqual(self.do("a", 1, 5), self.do("a", 1, 5))
        self.assertIn("later number", self.do("a", 1, 4)["refused"])
        self.assertEqual(self.do("a", 2, 1)["place"], 2)
        self.assertIn("older incarnation", self.do("a", 1, 6)["refused"])

    def test_bounded_and_kept(self):
        for origin in "abc":
            self.do(origin, 1, 1)
        self.assertEqual(list(self.sessions.by_origin), ["b", "c"])
        other = ClientSessions(CompositeStateMachine({"register": Register()}), 2)
        other.load(self.sessions.image())
        self.assertEqual(other.image(), self.sessions.image())
        self.assertIn("no part", CompositeStateMachine({}).apply(0, {"part": [1]})["refused"])


if __name__ == "__main__":
    unittest.main()
