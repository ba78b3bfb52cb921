"""Gossip between real programs on loopback, and the short form of its measurement."""

import signal
import time
import unittest

from measure.gossip import main
from measure.gossip_loopback import HONEST, Fleet, measure_loopback
from tests.support.peers import wait_until
from thymeknot.gossip import keys


class LoopbackTest(unittest.TestCase):
    def test_real_programs_withstand_a_hostile_peer(self):
        measurements = measure_loopback(3, True)
        for name in ("wrongful_exclusions", "wrong_dead", "rules_broken", "faults"):
            self.assertEqual(measurements[name], 0, name)
        # The ceiling holds per clock second; any window of a second overlaps two of them.
        self.assertLessEqual(measurements["bytes_per_second_most"], 2 * measurements["ceiling"])
        self.assertEqual(measurements["answers"]["lost"], 0)
        self.assertGreater(measurements["answers"]["done"], 500)

    def test_reload_applies_the_keyring_and_shutdown_announces_departure(self):
        fleet = Fleet([lambda words: b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"], HONEST[:3], ())
        self.addCleanup(fleet.close)
        log_lines = {name: [] for name in fleet.programs}

        def collect_log_lines():
            time.sleep(0.05)
            for name in log_lines:
                log_lines[name] += fleet.take_log_lines(name)

        def peer_became(name, other, state):
            return any(
                line["event"] == "peer state changed"
                and (line["peer"], line["now"]) == (other, state)
                for line in log_lines[name]
            )

        wait_until(
            lambda: all(
                peer_became(name, other, "alive")
                for name in log_lines
                for other in log_lines
                if name != other
            ),
            collect_log_lines,
        )
        # n0 revokes n2: neither is a peer of the other from here on.
        n0 = fleet.programs["n0"]
        with open(n0.operator, "w", encoding="utf-8") as output:
            revoked = f']\nrevoked: ["{fleet.identities["n2"].public_key_text()}"]\nhearsay'
            output.write(fleet.operator_file_text("n0").replace("]\nhearsay", revoked))
        n0.process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: any(line["event"] == "operator file reloaded" for line in log_lines["n0"]),
            collect_log_lines,
        )
        # An invalid file changes nothing, and the error names the field.
        with open(n0.operator, "w", encoding="utf-8") as output:
            output.write("gossip: name: 7")
        n0.process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: any(
                line["event"] == "operator file rejected" and "gossip.name" in line["error"]
                for line in log_lines["n0"]
            ),
            collect_log_lines,
        )
        fleet.programs["n1"].process.send_signal(signal.SIGTERM)
        wait_until(
            lambda: peer_became("n0", "n1", "left") and peer_became("n2", "n1", "left"),
            collect_log_lines,
        )
        self.assertEqual(keys.peer_record(fleet.identities["n0"])[:13], '{name: "n0", ')


class SimulatedMeasurementTest(unittest.TestCase):
    def test_short_simulation(self):
        self.assertEqual(main(["--part", "simulated", "--short", "--seed", "2"]), 0)


if __name__ == "__main__":
    unittest.main()
