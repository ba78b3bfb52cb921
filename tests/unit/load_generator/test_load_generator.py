"""The load tool: its own lateness is never the server's, a stall counts for all it held up, a ramp finds the rate."""

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
from thymeknot.load_generator.verdict import Goal, RunSummary, Verdict, judge
from thymeknot.protocol.resp import MalformedRespError

READ = RequestClass("read", 1.0, RequestKind.READ)
GOAL = Goal(0.99, 500, 0.01)
GOOD = b"$2\r\nok\r\n"


class Once(FakeEndpoint):
    """Answers the first request of a connection; the second crosses its end."""

    def serve(self, connection, source):
        if read_command(source) is not None:
            connection.sendall(GOOD)
            read_command(source)


def loaded(port, *words):
    """The last line of `thymeknot load` against this port, and its exit code."""
    told = subprocess.run(
        [sys.executable, "-m", "thymeknot", "load", "--at", f"127.0.0.1:{port}", *words],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return json.loads(told.stdout.splitlines()[-1]), told.returncode


class Plan(unittest.TestCase):
    def test_the_same_seed_is_the_same_plan_and_arrivals_and_lanes_keep_their_rate(self):
        lanes = [
            schedule.parse_request_class("read=3"),
            schedule.parse_request_class("pay=1,write"),
        ]
        one, two, other = (
            list(schedule.schedule_requests(seed, 500, 10 * schedule.TICKS_PER_SECOND, lanes))
            for seed in (3, 3, 4)
        )
        self.assertEqual(one, two)
        self.assertNotEqual(one, other)
        self.assertTrue(4_700 < len(one) < 5_300)
        self.assertEqual([each.due for each in one], sorted(each.due for each in one))
        self.assertTrue(
            0.2 < sum(each.request_class.name == "pay" for each in one) / len(one) < 0.3
        )

    def test_wrong_lanes_are_refused(self):
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

    def test_what_the_tool_did_itself_is_looked_at_first(self):
        for more, verdict in (
            ({"latency": 9_000, "done": 1, "late": 900}, Verdict.SATURATED),
            ({"latency": 9_000}, Verdict.FAILED),
            ({"done": 980}, Verdict.FAILED),
            ({}, Verdict.HELD),
        ):
            self.assertEqual(
                judge(
                    RunSummary(
                        **{
                            "rate": 100.0,
                            "latency": 100,
                            "done": 1000,
                            "ended": 1000,
                            "late": 1,
                            "due": 1000,
                            **more,
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
        while ramp.state != RampState.OVER:
            ramp.record(Verdict.HELD if ramp.rate <= truth else Verdict.FAILED, "")
            steps += 1
            self.assertLess(steps, 60)
        self.assertTrue(
            0.9 * truth <= ramp.highest_held_rate <= truth, (truth, ramp.highest_held_rate)
        )

    def test_a_saturated_tool_blames_nobody_and_nothing_held_ends_too(self):
        for shown, held, failed in (
            ([Verdict.HELD, Verdict.SATURATED], 100, float("inf")),
            ([Verdict.FAILED] * 60, 0.0, 0.0),
        ):
            ramp = Ramp(100)
            for one in shown:
                if ramp.state != RampState.OVER:
                    ramp.record(one, "")
            self.assertEqual((ramp.state, ramp.highest_held_rate), (RampState.OVER, held))
            self.assertGreaterEqual(ramp.lowest_failed_rate, failed)


class Speaks(unittest.TestCase):
    def test_each_kind_as_the_protocol_has_it(self):
        told = schedule.Request(0, "a" * 16, "k1", READ, "t1")
        self.assertEqual(Resp2Codec().encode(told, 20_000).count(b"\r\n$"), 4)
        self.assertIn(b"c=read,t=t1,d=2000\r\n", Resp2Codec().encode(told, 20_000))
        marked = Resp2Codec().encode(
            told._replace(request_class=RequestClass("mark", 1, RequestKind.MARKED)), 20_000
        )
        self.assertTrue(
            marked.startswith(b"*5\r\n$10\r\nSVC.SUBMIT") and f"k={'a' * 16}".encode() in marked
        )

    def test_answers_over_any_cut(self):
        told = GOOD + b"-BUSY 50\r\n-ERR abandoned\r\n$-1\r\n*2\r\n$1\r\nx\r\n$-1\r\n"
        for cut in range(len(told)):
            speaker = Resp2Codec()
            found = [*speaker.decode(told[:cut]), *speaker.decode(told[cut:])]
            self.assertEqual(found, ["done", "deferred", "abandoned", "abandoned", "done"], cut)
        with self.assertRaises(MalformedRespError):
            list(Resp2Codec().decode(b"HTTP/1.1 200\r\n"))


class OnSockets(unittest.TestCase):
    def test_a_connection_that_comes_up_when_all_is_over_is_closed(self):
        driver, line = (
            Driver(None, lambda: 0, DriverSettings("127.0.0.1", 1, Resp2Codec, 4, 100)),
            Mock(),
        )
        driver.finished, driver.connecting = succeed(None), 1
        driver.connected(line, None)
        line.transport.abortConnection.assert_called_once()

    def test_a_stall_counts_for_all_that_it_held_up(self):
        begun = time.monotonic()
        gate, stalled = threading.Lock(), []

        def answer(words):
            with gate:
                if not stalled and time.monotonic() > begun + 1.2:
                    stalled.append(time.sleep(0.8))
            return GOOD

        server = FakeEndpoint(answer)
        port = int(server.address.rpartition(":")[2])
        told, code = loaded(
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
        )  # of 50 ms, 13 of the tool's own would be too much
        server.close()
        self.assertEqual((code, told["verdict"]), (1, Verdict.FAILED), told)
        # On one line one answer was slow as it was served; some 80 were due while it was.
        self.assertGreater(told["corrected_ms"]["read"]["p90"], 100, told)
        self.assertLess(told["served_ms"]["read"]["p90"], 50, told)

    def test_each_end_is_told_apart(self):
        silent, deferring, resetting = (
            FakeEndpoint(answer)
            for answer in (
                lambda words: b"",
                lambda words: b"-BUSY 10\r\n" if words[1] < b"00000010" else GOOD,
                lambda words: None,
            )
        )
        once = Once()
        for server in (silent, deferring, resetting, once):
            self.addCleanup(server.close)
        for server, lost, deferred, patience in (
            (silent, True, False, 0.4),
            (deferring, False, True, 9),
            (resetting, True, False, 9),
            (once, False, False, 9),
            (None, True, False, 9),
        ):  # nobody listens at the last
            port = int((server or silent).address.rpartition(":")[2])
            told, code = loaded(
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
            )  # by its ends alone: a busy machine takes 50 ms now and then
            ends = told["ends"]
            self.assertEqual(sum(ends.values()), told["due"], told)
            self.assertEqual(
                (ends["lost"] == told["due"], ends["deferred"] > 0), (lost, deferred), told
            )
            self.assertEqual(code, 0 if server is once else 1, told)
            if server:
                server.stop_listening()

    def test_a_sidecar_beside_its_pods(self):
        pods = [FakeEndpoint(lambda words: b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n") for _ in range(2)]
        with Program(*(pod.entry(f"s-{at}") for at, pod in enumerate(pods))) as program:
            told, _ = loaded(
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
        self.assertEqual(told["ends"]["done"], told["due"], told)
        self.assertEqual(set(told["corrected_ms"]), {"read", "pay"})

    def test_wrong_words_are_one_line_and_status_two(self):
        for words in (["--at", "nowhere"], ["--lane", "x=y"], ["--rate", "0"], ["--quantile", "2"]):
            told = subprocess.run(
                [sys.executable, "-m", "thymeknot", "load", *words], capture_output=True, text=True
            )
            self.assertEqual(told.returncode, 2, words)
            self.assertNotIn("Traceback", told.stderr)
