"""Drains under load, a crash of the leader and a network partition, with real processes."""

import socket
import subprocess
import sys
import threading
import time
import unittest
from unittest.mock import patch

from tests.support.process_rig import PAY_METADATA, AvailabilityMonitor, Fleet, send_request
from thymeknot.raft import message_codec

# The deadline must not pass before the test releases the request.
LONG_REQUEST = PAY_METADATA.replace("d=6000", "d=15000")
TIMEOUT_SECONDS = 15  # for a condition to become true


class FleetTestCase(unittest.TestCase):
    def start_fleet(self, max_out=1):
        fleet = Fleet(3, max_out)
        self.addCleanup(fleet.close)
        self.operator = fleet.make_client()
        self.wait_until(
            lambda: self.status()["units"] == 3 and self.status()["out"] == 0,
            "all units are declared and in service",
        )
        self.wait_until(
            lambda: not fleet.monitor.unavailable() and fleet.clients.answered_count() > 20,
            "all units serve requests",
        )
        return fleet

    def wait_until(self, condition, description):
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                self.fail(f"{description}: not within {TIMEOUT_SECONDS} s; status {self.status()}")
            time.sleep(0.03)

    def status(self):
        return self.operator.read({"do": "status", "where": {"kind": ["sidecar"]}})

    def state(self, unit):
        return self.operator.read({"do": "status", "unit": unit}).get("state")

    def request_drain(self, unit, epoch=1):
        return self.operator.propose(
            {"part": "turns", "do": "ask", "unit": unit, "plan": f"op-{unit}", "epoch": epoch}
        )

    def request_return(self, unit):
        return self.operator.propose({"part": "turns", "do": "back", "unit": unit})

    def check_invariants(self, fleet, killed=()):
        """Checks what holds in every test, after the clients have stopped."""
        fleet.clients.close()
        self.assertEqual(fleet.repeated_submissions(), [])
        self.assertEqual(
            [request for request in fleet.clients.unanswered() if request[1] not in killed], []
        )
        self.assertGreater(fleet.clients.answered_count(), 100)


class AvailabilityMonitorTest(unittest.TestCase):
    def test_units_count_as_out_together_only_if_out_at_the_same_time(self):
        """Each entry is one PING in order: the unit, with a "!" in front if it does not answer."""
        # In the last case "a" came back before "b" went out, or between the two checks.
        for answers, expected in (
            (("a", "b"), ""),
            (("!a", "b"), "a"),
            (("a", "!b"), "b"),
            (("!a", "!b", "!a", "!b"), "ab"),
            (("!a", "!b", "a", "!b"), "b"),
        ):
            monitor, remaining = AvailabilityMonitor.__new__(AvailabilityMonitor), list(answers)
            monitor.ports = {"a": "a", "b": "b"}

            def serves(port, remaining=remaining):
                self.assertEqual(remaining[0].strip("!"), port)
                return not remaining.pop(0).startswith("!")

            monitor.is_serving = serves
            self.assertEqual((monitor._check(), remaining), (frozenset(expected), []))


class DrainTest(FleetTestCase):
    def test_next_unit_drains_only_after_the_previous_one_returns(self):
        fleet = self.start_fleet()
        self.assertTrue(self.request_drain("n0")["ok"])
        self.wait_until(lambda: fleet.monitor.unavailable() == {"n0"}, "n0 goes out of service")
        self.wait_until(lambda: self.state("n0") == "out", "n0 reports that it is drained")
        reply = self.request_drain("n1")
        self.assertEqual(reply["state"], "asked")
        self.assertIn("n0", reply["by"])
        done = fleet.clients.answered_count()
        self.wait_until(
            lambda: fleet.clients.answered_count() > done + 100, "the other units serve requests"
        )
        self.assertEqual(fleet.monitor.unavailable(), {"n0"})
        self.assertTrue(self.request_return("n0")["ok"])
        self.wait_until(
            lambda: fleet.monitor.unavailable() == {"n1"}, "n0 is back in service and n1 goes out"
        )
        self.wait_until(lambda: self.state("n1") == "out", "n1 reports that it is drained")
        self.request_return("n1")
        self.wait_until(
            lambda: not fleet.monitor.unavailable() and self.status()["out"] == 0,
            "all units are back in service",
        )
        self.assertEqual(fleet.monitor.max_unavailable(), 1)
        self.check_invariants(fleet)


class CommandTest(FleetTestCase):
    def test_fleet_commands_and_rejected_messages(self):
        fleet = self.start_fleet()
        self.check_commands(fleet)
        self.check_rejected_messages(fleet)
        self.check_invariants(fleet)

    def check_rejected_messages(self, fleet):
        """Forged, replayed and malformed messages are rejected and logged."""
        client, captured = fleet.make_client("n0", word="x"), []
        sign_message = message_codec.sign_message

        def record_signed(*arguments):
            captured.append(sign_message(*arguments))
            return captured[-1]

        with patch.object(message_codec, "sign_message", record_signed):
            client.ask_node("n0", message_codec.READ, {"query": {"do": "status"}})
        for kind, reason in (
            ("replayed", "came before"),
            ("replayed", "another connection"),
            ("forged", "not signed"),
        ):
            if reason == "another connection":
                client.close()
            message = (
                captured[0]
                if kind == "replayed"
                else {**captured[0], "content": captured[0]["content"] + b"x"}
            )
            with patch.object(message_codec, "sign_message", lambda *_, message=message: message):
                self.assertRaisesRegex(
                    message_codec.MessageError,
                    reason,
                    client.ask_node,
                    "n0",
                    message_codec.READ,
                    {},
                )
            line = fleet.programs["n0"].wait_for_log("message rejected")
            self.assertEqual(line["kind"], kind)
            time.sleep(1.05)  # rejections are logged at most once a second
        with self.assertRaisesRegex(message_codec.MessageError, "in the name of n1"):
            client.ask_node(
                "n0",
                message_codec.PROPOSE,
                {"origin": "n1", "incarnation": 1, "number": 1, "command": {}},
            )
        with socket.create_connection(("127.0.0.1", fleet.ports["n0"]), timeout=5) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\n\r\n")
            try:
                self.assertEqual(connection.recv(100), b"")
            except ConnectionResetError:
                pass

    def run_command(self, fleet, *words):
        """Runs a `fleet` command and returns its exit status and its output."""
        result = subprocess.run(
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
            timeout=TIMEOUT_SECONDS,
        )
        return result.returncode, result.stdout + result.stderr

    def check_commands(self, fleet):
        exit_status, output = self.run_command(fleet, "halt", "network maintenance")
        self.assertEqual(exit_status, 0, output)
        halt_number = output.split()[1]
        exit_status, output = self.run_command(fleet, "drain", "n1")
        self.assertEqual(exit_status, 0)
        self.assertRegex(output, "n1: asked, halt [0-9]+ by .*: network maintenance")
        self.assertEqual(self.run_command(fleet, "drain", "n9"), (1, "no unit n9 was declared\n"))
        self.assertRegex(self.run_command(fleet, "--json", "status")[1], '"out":1')
        self.assertEqual(self.run_command(fleet, "back", "n1"), (0, "called back: n1\n"))
        self.assertEqual(self.run_command(fleet, "resume", halt_number)[0], 0)
        self.assertEqual(fleet.monitor.unavailable(), frozenset())


class LeaderCrashTest(FleetTestCase):
    def test_leader_killed_during_a_drain_restarts_with_its_disk(self):
        fleet = self.start_fleet()
        leader = self.operator.leader
        drained_unit, other_unit = (name for name in fleet.names if name != leader)
        slow_socket, slow_answers = (
            socket.create_connection(("127.0.0.1", fleet.programs[drained_unit].port), timeout=20),
            [],
        )
        self.addCleanup(slow_socket.close)
        request_thread = threading.Thread(
            target=lambda: slow_answers.append(send_request(slow_socket, "slow-1", LONG_REQUEST)),
            daemon=True,
        )
        request_thread.start()
        self.wait_until(
            lambda: (b"SVC.SUBMIT", b"slow-1") in list(fleet.executed),
            "the slow request is accepted",
        )
        self.assertTrue(self.request_drain(drained_unit)["ok"])
        self.wait_until(
            lambda: fleet.monitor.unavailable() == {drained_unit},
            "the unit accepts no more requests",
        )
        self.assertEqual(slow_answers, [])
        fleet.kill(leader)
        killed_at = time.monotonic()
        self.assertEqual(self.request_drain("p0")["state"], "granted")
        failover_seconds = time.monotonic() - killed_at
        self.assertLess(failover_seconds, 3)
        self.assertEqual(self.request_drain(other_unit)["state"], "asked")
        fleet.release_slow.set()
        self.wait_until(
            lambda: self.state(drained_unit) == "out", "the drain ends under the new leader"
        )
        request_thread.join(TIMEOUT_SECONDS)
        self.assertEqual(slow_answers, [b"$6\r\nslow-1\r\n+PONG\r\n"])
        self.assertEqual(self.state(other_unit), "asked")
        fleet.restart(leader)
        self.wait_until(
            lambda: fleet.monitor.unavailable() == {drained_unit}, "the killed leader serves again"
        )
        self.assertTrue(self.request_return(drained_unit)["ok"])
        self.wait_until(
            lambda: fleet.monitor.unavailable() == {other_unit},
            "the third unit goes out of service",
        )
        self.assertEqual(fleet.monitor.max_unavailable(but=[leader]), 1)
        self.request_return(other_unit)
        self.wait_until(
            lambda: not fleet.monitor.unavailable() and self.status()["out"] == 0,
            "all units are back in service",
        )
        print(f"\ntime from the kill of the leader to the next grant: {failover_seconds:.2f} s")
        self.check_invariants(fleet, {leader})


class NetworkPartitionTest(FleetTestCase):
    def test_minority_with_the_former_leader_grants_nothing(self):
        fleet = self.start_fleet(2)
        former_leader = self.operator.leader
        first, second = (name for name in fleet.names if name != former_leader)
        minority_client = fleet.make_client(former_leader, word="small")
        fleet.isolate(former_leader)
        replies = []
        request_thread = threading.Thread(
            target=lambda: replies.append(
                self.request_on_minority_side(minority_client, former_leader)
            ),
            daemon=True,
        )
        request_thread.start()
        self.operator = fleet.make_client(first, second, word="large")
        self.wait_until(
            lambda: former_leader in self.status().get("away", {}),
            "the partitioned unit counts as out",
        )
        self.assertTrue(self.request_drain(first)["ok"])
        self.wait_until(
            lambda: fleet.monitor.unavailable() == {first}, "the majority grants a drain"
        )
        self.assertEqual(self.request_drain(second)["state"], "asked")
        request_thread.join(TIMEOUT_SECONDS)
        self.assertEqual(replies, ["silent"])
        self.assertEqual(fleet.monitor.max_unavailable(), 1)
        fleet.heal()
        self.request_return(first)
        self.wait_until(
            lambda: fleet.monitor.unavailable() == {second} or self.state(second) == "out",
            "the second unit goes out after the partition heals",
        )
        self.request_return(second)
        self.wait_until(
            lambda: not fleet.monitor.unavailable() and self.status()["out"] == 0,
            "all units are back in service",
        )
        self.assertLessEqual(fleet.monitor.max_unavailable(), 2)
        self.check_invariants(fleet)

    def request_on_minority_side(self, minority_client, unit):
        from thymeknot.coordination.blocking_client import NoAnswerError

        try:
            return minority_client.propose(
                {"part": "turns", "do": "ask", "unit": unit, "plan": "small", "epoch": 1}, 4.0
            )
        except NoAnswerError:
            return "silent"


if __name__ == "__main__":
    unittest.main()
