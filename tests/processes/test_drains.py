"""A drain under load, the leader killed in its middle, and the smaller side of a cut: by real processes on loopback."""

import socket
import subprocess
import sys
import threading
import time
import unittest
from unittest.mock import patch

from tests.support.process_rig import PAY_METADATA, AvailabilityMonitor, Fleet, send_request
from thymeknot.raft import message_codec

LONG = PAY_METADATA.replace("d=6000", "d=15000")  # its time must not end before the test lets it go
WITHIN = 15  # seconds that a condition has to come about


class Plays(unittest.TestCase):
    def fleet(self, most=1):
        made = Fleet(3, most)
        self.addCleanup(made.close)
        self.op = made.make_client()
        self.until(
            lambda: self.status()["units"] == 3 and self.status()["out"] == 0, "the fleet stands"
        )
        self.until(
            lambda: not made.monitor.unavailable() and made.clients.answered_count() > 20,
            "all serve",
        )
        return made

    def until(self, holds, what):
        end = time.monotonic() + WITHIN
        while not holds():
            if time.monotonic() > end:
                self.fail(f"{what}: not within {WITHIN} s; {self.status()}")
            time.sleep(0.03)

    def status(self):
        return self.op.read({"do": "status", "where": {"kind": ["sidecar"]}})

    def state(self, unit):
        return self.op.read({"do": "status", "unit": unit}).get("state")

    def ask(self, unit, epoch=1):
        return self.op.propose(
            {"part": "turns", "do": "ask", "unit": unit, "plan": f"op-{unit}", "epoch": epoch}
        )

    def back(self, unit):
        return self.op.propose({"part": "turns", "do": "back", "unit": unit})

    def kept(self, fleet, killed=()):
        """What holds in every play."""
        fleet.clients.close()
        self.assertEqual(fleet.repeated_submissions(), [])
        self.assertEqual([one for one in fleet.clients.unanswered() if one[1] not in killed], [])
        self.assertGreater(fleet.clients.answered_count(), 100)


class Looks(unittest.TestCase):
    def test_those_are_out_together_who_were_so_at_one_moment(self):
        """In the order of a look: each "a" or "b" that answers, or not, at its turn."""
        for turns, out in (
            (("a", "b"), ""),
            (("!a", "b"), "a"),
            (("a", "!b"), "b"),
            (("!a", "!b", "!a", "!b"), "ab"),
            (("!a", "!b", "a", "!b"), "b"),
        ):  # a came back before b went, or as the look went on
            checker, said = AvailabilityMonitor.__new__(AvailabilityMonitor), list(turns)
            checker.ports = {"a": "a", "b": "b"}

            def serves(port, said=said):
                self.assertEqual(said[0].strip("!"), port)
                return not said.pop(0).startswith("!")

            checker.is_serving = serves
            self.assertEqual((checker._check(), said), (frozenset(out), []))


class Drained(Plays):
    def test_one_goes_out_under_load_the_next_only_when_it_is_back(self):
        fleet = self.fleet()
        self.assertTrue(self.ask("n0")["ok"])
        self.until(lambda: fleet.monitor.unavailable() == {"n0"}, "n0 goes out")
        self.until(lambda: self.state("n0") == "out", "it says that it is empty")
        told = self.ask("n1")
        self.assertEqual(told["state"], "asked")
        self.assertIn("n0", told["by"])
        done = fleet.clients.answered_count()
        self.until(lambda: fleet.clients.answered_count() > done + 100, "the others serve")
        self.assertEqual(fleet.monitor.unavailable(), {"n0"})
        self.assertTrue(self.back("n0")["ok"])
        self.until(lambda: fleet.monitor.unavailable() == {"n1"}, "n0 is back, and n1 goes out")
        self.until(lambda: self.state("n1") == "out", "n1 is empty")
        self.back("n1")
        self.until(
            lambda: not fleet.monitor.unavailable() and self.status()["out"] == 0, "all are home"
        )
        self.assertEqual(fleet.monitor.max_unavailable(), 1)
        self.kept(fleet)


class Asked(Plays):
    def test_by_commands_and_by_those_who_may_not(self):
        fleet = self.fleet()
        self.by_commands(fleet)
        self.refused(fleet)
        self.kept(fleet)

    def refused(self, fleet):
        """What is forged, replayed or nonsense ends by itself, and is counted in the log."""
        good, taken = fleet.make_client("n0", word="x"), []
        seal = message_codec.sign_message

        def kept(*told):
            taken.append(seal(*told))
            return taken[-1]

        with patch.object(message_codec, "sign_message", kept):
            good.ask_node("n0", message_codec.READ, {"query": {"do": "status"}})
        for kind, why in (
            ("replayed", "came before"),
            ("replayed", "another connection"),
            ("forged", "not signed"),
        ):
            if why == "another connection":
                good.close()
            told = (
                taken[0]
                if kind == "replayed"
                else {**taken[0], "content": taken[0]["content"] + b"x"}
            )
            with patch.object(message_codec, "sign_message", lambda *_, told=told: told):
                self.assertRaisesRegex(
                    message_codec.MessageError, why, good.ask_node, "n0", message_codec.READ, {}
                )
            line = fleet.programs["n0"].wait_for_log("message rejected")
            self.assertEqual(line["kind"], kind)
            time.sleep(1.05)  # such a line is written once a second at most
        with self.assertRaisesRegex(message_codec.MessageError, "in the name of n1"):
            good.ask_node(
                "n0",
                message_codec.PROPOSE,
                {"origin": "n1", "incarnation": 1, "number": 1, "command": {}},
            )
        with socket.create_connection(("127.0.0.1", fleet.ports["n0"]), timeout=5) as one:
            one.sendall(b"GET / HTTP/1.1\r\n\r\n")
            try:
                self.assertEqual(one.recv(100), b"")
            except ConnectionResetError:
                pass

    def command(self, fleet, *words):
        """(exit code, what it says)."""
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "thymeknot",
                "--operator",
                fleet.programs["n2"].operator,
                "fleet",
                *words,
            ],
            capture_output=True,
            text=True,
            timeout=WITHIN,
        )
        return done.returncode, done.stdout + done.stderr

    def by_commands(self, fleet):
        code, said = self.command(fleet, "halt", "the network is worked at")
        self.assertEqual(code, 0, said)
        number = said.split()[1]
        code, said = self.command(fleet, "drain", "n1")
        self.assertEqual(code, 0)
        self.assertRegex(said, "n1: asked, halt [0-9]+ by .*: the network is worked at")
        self.assertEqual(self.command(fleet, "drain", "n9"), (1, "no unit n9 was declared\n"))
        self.assertRegex(self.command(fleet, "--json", "status")[1], '"out":1')
        self.assertEqual(self.command(fleet, "back", "n1"), (0, "called back: n1\n"))
        self.assertEqual(self.command(fleet, "resume", number)[0], 0)
        self.assertEqual(fleet.monitor.unavailable(), frozenset())


class LeaderKilled(Plays):
    def test_in_the_middle_of_a_drain_and_back_with_its_disk(self):
        fleet = self.fleet()
        leader = self.op.leader
        gone, third = (name for name in fleet.names if name != leader)
        slow, answer = (
            socket.create_connection(("127.0.0.1", fleet.programs[gone].port), timeout=20),
            [],
        )
        self.addCleanup(slow.close)
        taken = threading.Thread(
            target=lambda: answer.append(send_request(slow, "slow-1", LONG)), daemon=True
        )
        taken.start()
        self.until(
            lambda: (b"SVC.SUBMIT", b"slow-1") in list(fleet.executed), "a slow one is taken"
        )
        self.assertTrue(self.ask(gone)["ok"])
        self.until(lambda: fleet.monitor.unavailable() == {gone}, "it takes no more")
        self.assertEqual(answer, [])
        fleet.kill(leader)
        killed_at = time.monotonic()
        self.assertEqual(self.ask("p0")["state"], "granted")
        stall = time.monotonic() - killed_at
        self.assertLess(stall, 3)
        self.assertEqual(self.ask(third)["state"], "asked")
        fleet.release_slow.set()
        self.until(lambda: self.state(gone) == "out", "the drain ends under another leader")
        taken.join(WITHIN)
        self.assertEqual(answer, [b"$6\r\nslow-1\r\n+PONG\r\n"])
        self.assertEqual(self.state(third), "asked")
        fleet.restart(leader)
        self.until(lambda: fleet.monitor.unavailable() == {gone}, "the killed one serves again")
        self.assertTrue(self.back(gone)["ok"])
        self.until(lambda: fleet.monitor.unavailable() == {third}, "only then the third goes out")
        self.assertEqual(fleet.monitor.max_unavailable(but=[leader]), 1)
        self.back(third)
        self.until(
            lambda: not fleet.monitor.unavailable() and self.status()["out"] == 0, "all are home"
        )
        print(f"\nfrom the leader's kill to the next grant: {stall:.2f} s")
        self.kept(fleet, {leader})


class Cut(Plays):
    def test_the_smaller_side_with_the_former_leader_grants_nothing(self):
        fleet = self.fleet(2)
        alone = self.op.leader
        one, other = (name for name in fleet.names if name != alone)
        small = fleet.make_client(alone, word="small")
        fleet.isolate(alone)
        said = []
        asking = threading.Thread(
            target=lambda: said.append(self.small_ask(small, alone)), daemon=True
        )
        asking.start()
        self.op = fleet.make_client(one, other, word="large")
        self.until(lambda: alone in self.status().get("away", {}), "the cut one counts as out")
        self.assertTrue(self.ask(one)["ok"])
        self.until(lambda: fleet.monitor.unavailable() == {one}, "the larger side goes on")
        self.assertEqual(self.ask(other)["state"], "asked")
        asking.join(WITHIN)
        self.assertEqual(said, ["silent"])
        self.assertEqual(fleet.monitor.max_unavailable(), 1)
        fleet.heal()
        self.back(one)
        self.until(
            lambda: fleet.monitor.unavailable() == {other} or self.state(other) == "out",
            "healed: room for the other",
        )
        self.back(other)
        self.until(
            lambda: not fleet.monitor.unavailable() and self.status()["out"] == 0, "all are home"
        )
        self.assertLessEqual(fleet.monitor.max_unavailable(), 2)
        self.kept(fleet)

    def small_ask(self, small, unit):
        from thymeknot.coordination.blocking_client import NoAnswerError

        try:
            return small.propose(
                {"part": "turns", "do": "ask", "unit": unit, "plan": "small", "epoch": 1}, 4.0
            )
        except NoAnswerError:
            return "silent"


if __name__ == "__main__":
    unittest.main()
