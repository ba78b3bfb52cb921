"""Gossip with the real program on loopback, and the short form of its measurement."""

import signal
import time
import unittest

from measure.gossip import main
from measure.gossip_loopback import HONEST, Fleet, loopback
from tests.support.peers import wait_until
from thymeknot.gossip import keys


class OnLoopback(unittest.TestCase):
    def test_real_programs_beside_a_hostile_peer(self):
        figures = loopback(3, True)
        for name in ("wrongful_exclusions", "wrong_dead", "rules_broken", "faults"):
            self.assertEqual(figures[name], 0, name)
        self.assertLessEqual(
            figures["bytes_per_second_most"], 2 * figures["ceiling"]
        )  # clock seconds, not any second
        self.assertEqual(figures["answers"]["lost"], 0)
        self.assertGreater(figures["answers"]["done"], 500)

    def test_a_ring_is_taken_up_on_reload_and_one_that_ends_says_goodbye(self):
        fleet = Fleet([lambda words: b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"], HONEST[:3], ())
        self.addCleanup(fleet.close)
        said = {name: [] for name in fleet.programs}

        def gather():
            time.sleep(0.05)
            for name in said:
                said[name] += fleet.lines(name)

        def met(name, other, state):
            return any(
                line["event"] == "peer state changed"
                and (line["peer"], line["now"]) == (other, state)
                for line in said[name]
            )

        wait_until(
            lambda: all(
                met(name, other, "alive") for name in said for other in said if name != other
            ),
            gather,
        )
        # n2 is revoked at n0: it is no peer there any more, and n0 is none that it can reach.
        n0 = fleet.programs["n0"]
        with open(n0.operator, "w", encoding="utf-8") as target:
            revoked = f']\nrevoked: ["{fleet.identities["n2"].public_key_text()}"]\nhearsay'
            target.write(fleet.text("n0").replace("]\nhearsay", revoked))
        n0.process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: any(line["event"] == "operator file reloaded" for line in said["n0"]), gather
        )
        # A file that can't be used changes nothing and is named.
        with open(n0.operator, "w", encoding="utf-8") as target:
            target.write("gossip: name: 7")
        n0.process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: any(
                line["event"] == "operator file rejected" and "gossip.name" in line["error"]
                for line in said["n0"]
            ),
            gather,
        )
        fleet.programs["n1"].process.send_signal(signal.SIGTERM)
        wait_until(lambda: met("n0", "n1", "left") and met("n2", "n1", "left"), gather)
        self.assertEqual(keys.peer_record(fleet.identities["n0"])[:13], '{name: "n0", ')


class InShort(unittest.TestCase):
    def test_the_simulated_part_in_its_short_form(self):
        self.assertEqual(main(["--part", "simulated", "--short", "--seed", "2"]), 0)


if __name__ == "__main__":
    unittest.main()
