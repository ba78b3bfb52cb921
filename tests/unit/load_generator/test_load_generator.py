"""The load generator: its own delay, latencies corrected for stalls, the ramp, and the command."""

import json
import subprocess
import sys
import threading
import time
import unittest
from unittest.mock import Mock

from hypothesis import given, settings
from hypothesis import strategies as some
from twisted.internet.defer import succeed

from tests.support.peers import FakeEndpoint, read_command
from tests.support.programs import Program
from thymeknot.load_generator import schedule
from thymeknot.load_generator.codecs import Resp2Codec
from thymeknot.load_generator.driver import Driver, DriverSettings
from thymeknot.load_generator.ramp import Ramp, RampState
from thymeknot.load_generator.schedule import RequestClass, RequestKind
from thymeknot.load_generator.verdict import Goal, RunSummary, Verdict, evaluate
from thymeknot.protocol.resp import MalformedRespError

READ = RequestClass("read", 1.0, RequestKind.READ)
GOAL = Goal(0.99, 500, 0.01)
OK_RESPONSE = b"$2\r\nok\r\n"


class ClosingEndpoint(FakeEndpoint):
    """Answers the first request of a connection, and closes it after reading the second one."""

    def serve(self, connection, source):
        if read_command(source) is not None:
            connection.sendall(OK_RESPONSE)
            read_command(source)


def run_load_command(port, *arguments):
    """Runs `thymeknot load` against this port; returns its report (the last line) and exit code."""
    result = subprocess.run(
        [sys.executable, "-m", "thymeknot", "load", "--at", f"127.0.0.1:{port}", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return json.loads(result.stdout.splitlines()[-1]), result.returncode


class ScheduleAndRampTest(unittest.TestCase):
    def test_schedule_is_deterministic_and_keeps_rate_and_shares(self):
        request_classes = [
            schedule.parse_request_class("read=3"),
            schedule.parse_request_class("pay=1,write"),
        ]
        first, second, other = (
            list(
                schedule.schedule_requests(
                    seed, 500, 10 * schedule.TICKS_PER_SECOND, request_classes
                )
            )
            for seed in (3, 3, 4)
        )
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)
        self.assertTrue(4_700 < len(first) < 5_300)
        self.assertEqual(
            [request.due for request in first], sorted(request.due for request in first)
        )
        self.assertTrue(
            0.2 < sum(request.request_class.name == "pay" for request in first) / len(first) < 0.3
        )

    def test_invalid_request_classes_are_rejected(self):
        for text in (
            "",
            "=1",
            "read=x",
            "read=0",
            "read=-1",
            "read=1,once",
            "read=inf",
            "read=nan",
        ):
            with self.assertRaises(schedule.ScheduleError):
                schedule.parse_request_class(text)

    def test_own_delay_is_checked_before_the_goal(self):
        for changes, verdict in (
            ({"latency": 9_000, "done": 1, "own_delay": 900}, Verdict.SATURATED),
            ({"latency": 9_000}, Verdict.FAILED),
            ({"done": 980}, Verdict.FAILED),
            ({}, Verdict.HELD),
        ):
            self.assertEqual(
                evaluate(
                    RunSummary(
                        **{
                            "rate": 100.0,
                            "latency": 100,
                            "done": 1000,
                            "ended": 1000,
                            "own_delay": 1,
                            "due": 1000,
                            **changes,
                        }
                    ),
                    GOAL,
                )[0],
                verdict,
            )

    @settings(max_examples=100, deadline=None)
    @given(some.floats(20, 20_000))
    def test_a_ramp_ends_and_finds_the_rate(self, truth):
        ramp, steps = Ramp(10), 0
        while ramp.state != RampState.FINISHED:
            ramp.record(Verdict.HELD if ramp.rate <= truth else Verdict.FAILED, "")
            steps += 1
            self.assertLess(steps, 60)
        self.assertTrue(
            0.9 * truth <= ramp.highest_held_rate <= truth, (truth, ramp.highest_held_rate)
        )

    def test_ramp_ends_when_tool_is_saturated_or_no_rate_holds(self):
        for verdicts, held, failed in (
            ([Verdict.HELD, Verdict.SATURATED], 100, float("inf")),
            ([Verdict.FAILED] * 60, 0.0, 0.0),
        ):
            ramp = Ramp(100)
            for verdict in verdicts:
                if ramp.state != RampState.FINISHED:
                    ramp.record(verdict, "")
            self.assertEqual((ramp.state, ramp.highest_held_rate), (RampState.FINISHED, held))
            self.assertGreaterEqual(ramp.lowest_failed_rate, failed)


class CodecTest(unittest.TestCase):
    def test_request_kinds_are_encoded(self):
        request = schedule.Request(0, "a" * 16, "k1", READ, "t1")
        self.assertEqual(Resp2Codec().encode(request, 20_000).count(b"\r\n$"), 4)
        self.assertIn(b"c=read,t=t1,d=2000\r\n", Resp2Codec().encode(request, 20_000))
        marked = Resp2Codec().encode(
            request._replace(request_class=RequestClass("mark", 1, RequestKind.MARKED)), 20_000
        )
        self.assertTrue(
            marked.startswith(b"*5\r\n$10\r\nSVC.SUBMIT") and f"k={'a' * 16}".encode() in marked
        )

    def test_responses_are_decoded_across_any_split(self):
        responses = OK_RESPONSE + b"-BUSY 50\r\n-ERR abandoned\r\n$-1\r\n*2\r\n$1\r\nx\r\n$-1\r\n"
        for split in range(len(responses)):
            codec = Resp2Codec()
            outcomes = [*codec.decode(responses[:split]), *codec.decode(responses[split:])]
            self.assertEqual(
                outcomes, ["done", "deferred", "abandoned", "abandoned", "done"], split
            )
        with self.assertRaises(MalformedRespError):
            list(Resp2Codec().decode(b"HTTP/1.1 200\r\n"))


class LoadCommandTest(unittest.TestCase):
    def test_connection_opened_after_the_end_is_closed(self):
        driver, connection = (
            Driver(None, lambda: 0, DriverSettings("127.0.0.1", 1, Resp2Codec, 4, 100)),
            Mock(),
        )
        driver.finished, driver.connecting = succeed(None), 1
        driver.connection_opened(connection, None)
        connection.transport.abortConnection.assert_called_once()

    def test_corrected_latencies_include_requests_delayed_by_a_stall(self):
        started_at = time.monotonic()
        lock, stalled = threading.Lock(), []

        def answer(arguments):
            with lock:
                if not stalled and time.monotonic() > started_at + 1.2:
                    stalled.append(time.sleep(0.8))
            return OK_RESPONSE

        server = FakeEndpoint(answer)
        port = int(server.address.rpartition(":")[2])
        report, code = run_load_command(
            port,
            "--rate",
            "100",
            "--seconds",
            "4",
            "--lines",
            "1",
            "--patience",
            "3",
            "--goal-ms",
            "500",
        )  # a goal of 50 ms would tolerate less than 13 ms of own delay
        server.close()
        self.assertEqual((code, report["verdict"]), (1, Verdict.FAILED), report)
        # With one connection, one response is slow; some 80 requests become due meanwhile.
        self.assertGreater(report["corrected_ms"]["read"]["p90"], 100, report)
        self.assertLess(report["served_ms"]["read"]["p90"], 50, report)

    def test_outcomes_are_distinguished(self):
        silent, rejecting, resetting = (
            FakeEndpoint(answer)
            for answer in (
                lambda arguments: b"",
                lambda arguments: b"-BUSY 10\r\n" if arguments[1] < b"00000010" else OK_RESPONSE,
                lambda arguments: None,
            )
        )
        closing = ClosingEndpoint()
        for server in (silent, rejecting, resetting, closing):
            self.addCleanup(server.close)
        for server, all_lost, some_rejected, patience in (
            (silent, True, False, 0.4),
            (rejecting, False, True, 9),
            (resetting, True, False, 9),
            (closing, False, False, 9),
            (None, True, False, 9),
        ):  # nothing listens on the last port
            port = int((server or silent).address.rpartition(":")[2])
            report, code = run_load_command(
                port,
                "--rate",
                "60",
                "--seconds",
                "1",
                "--patience",
                str(patience),
                "--lines",
                "4",
                "--goal-ms",
                "5000",
            )  # the verdict depends on outcomes alone: a busy machine may take 50 ms
            ends = report["ends"]
            self.assertEqual(sum(ends.values()), report["due"], report)
            self.assertEqual(
                (ends["lost"] == report["due"], ends["deferred"] > 0),
                (all_lost, some_rejected),
                report,
            )
            self.assertEqual(code, 0 if server is closing else 1, report)
            if server:
                server.stop_listening()

    def test_load_through_a_sidecar(self):
        pods = [
            FakeEndpoint(lambda arguments: b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n") for _ in range(2)
        ]
        with Program(*(pod.entry(f"s-{index}") for index, pod in enumerate(pods))) as program:
            report, _ = run_load_command(
                program.port,
                "--rate",
                "60",
                "--seconds",
                "2",
                "--lane",
                "read=3",
                "--lane",
                "pay=1,write",
            )
        for pod in pods:
            pod.close()
        self.assertEqual(report["ends"]["done"], report["due"], report)
        self.assertEqual(set(report["corrected_ms"]), {"read", "pay"})

    def test_invalid_arguments_exit_with_status_two(self):
        for arguments in (
            ["--at", "nowhere"],
            ["--lane", "x=y"],
            ["--rate", "0"],
            ["--quantile", "2"],
        ):
            result = subprocess.run(
                [sys.executable, "-m", "thymeknot", "load", *arguments],
                capture_output=True,
                text=True,
            )
            self.assertEqual(result.returncode, 2, arguments)
            self.assertNotIn("Traceback", result.stderr)
