"""Random orders of events from clients, endpoints, the network and operators.

After each order no request, response, connection or timer may be left over.
"""

import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from tests.support import order_rig
from tests.support.order_rig import ACCEPTS, HANGS, REFUSES, CheckFailed, minimize, play
from thymeknot.policy import idempotency
from thymeknot.protocol.client import ClientConnection
from thymeknot.proxy.attempt import Attempt
from thymeknot.proxy.client_requests import ClientRequests
from thymeknot.proxy.proxy import Proxy

ONE, POD = st.integers(0, 3), st.integers(0, 2)
LANE = LEFT = KEY = st.integers(0, 2)
# Iterations of the event loop after an event; -1: until nothing is left to do.
TURNS = st.sampled_from((-1, -1, -1, 0, 1))


def order(name, *arguments):
    return st.tuples(st.just(name), *arguments, TURNS)


MODES = st.sampled_from(
    (
        "good",
        "good",
        "big",
        "duplicate",
        "truncated",
        "malformed",
        "error",
        "error",
        "busy",
        "reset",
        "silent",
    )
)
LAG = st.sampled_from((0, 3, 30, 100, 600, 2000))
COMMON = (
    order("send_requests", ONE, LANE, LEFT, KEY, st.sampled_from((1, 1, 2, 5))),
    order("set_response_mode", POD, MODES, LAG),
    order("advance_time", st.sampled_from((1, 30, 100, 400))),
    order(
        "change_endpoint",
        POD,
        st.sampled_from(("Ready", "Terminating", "Gone", "restarted", "other build", "moved")),
    ),
    order("disconnect", ONE, st.sampled_from(("close", "shut", "reset"))),
    order("set_connect_mode", POD, st.sampled_from((ACCEPTS, HANGS, HANGS, REFUSES))),
    order("finish_connects", st.booleans()),
)
SELDOM = (
    order("disconnect_before_read", ONE, LANE, st.sampled_from(("close", "shut", "reset"))),
    order("writes_first", st.booleans()),
    order("open_client"),
    order("flood", ONE, LEFT),
    order("reuse_id", ONE, ONE),
    order("ping", ONE),
    order("send_unsupported", ONE),
    order("send_partial", ONE, LANE, LEFT),
    order("send_remainder", ONE),
    order("send_garbage", ONE),
    order("pause_reading", ONE, st.sampled_from((0, 10, 70_000))),
    order("resume_reading", ONE),
    order("limit_endpoint_reads", POD, st.sampled_from((0, 40, None))),
    order("close_endpoint_connections", POD, st.sampled_from(("close", "shut", "reset"))),
    order("push_full_list"),
    order(
        "change_release",
        st.sampled_from(("trial", "rolling_back", "withdrawn", "released", "next")),
        st.sampled_from((0.0, 0.5, 1.0)),
    ),
    order("set_stream_mode", st.sampled_from(("live", "silent", "ended"))),
    order("change_addresses", st.integers(0, 1), st.integers(0, 1)),
    order("advance_time", st.sampled_from((2_600, 11_000))),
    order("drain"),
    order("undrain"),
    order("finish"),
)
ASKS = COMMON[0]
# Three of the five alternatives draw a request or a common event.
ORDERS = st.one_of(ASKS, st.one_of(COMMON), st.one_of(COMMON), st.one_of(SELDOM), st.one_of(SELDOM))
STARTS = ("open_client", -1), ("open_client", -1)
HANG, COME_UP = (
    [("set_connect_mode", pod, how, -1) for pod in range(3)] for how in (HANGS, ACCEPTS)
)
DRAWN = st.lists(ORDERS, min_size=20, max_size=50)
# Without a fixed seed the draws depend on a digest of the test's source, which a formatter changes.
# This is the digest before the first formatted commit.
SEED_HIGH = 0x391C06CA5BE5A373CEBCFFE4FF4AFE851DF38BF072FFC468
SEED_LOW = 0xF03789D4856C1F038CA2B16B767AF3F8E8AD7A7BC8396DDB
SEED = (SEED_HIGH << 192) + SEED_LOW
HOW = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=80,
    suppress_health_check=list(HealthCheck),
)


class RandomOrderTest(unittest.TestCase):
    @settings(
        HOW, phases=[Phase.generate], report_multiple_bugs=False
    )  # smallest() takes less time than shrinking
    @seed(SEED)
    @given(DRAWN)
    def test_nothing_is_owed_at_the_end_of_any_order(self, drawn):
        try:
            play(*STARTS, *drawn)
        except Exception as error:
            self.fail(f"{error!r}; {minimize(STARTS, drawn, error)}")


class RegressionTest(unittest.TestCase):
    """Faults that were found, each as its smallest order of events.

    A fault that is not fixed yet fails here and is excluded above by a switch in order_rig.py.
    """

    def test_client_disconnect_while_reading_is_paused_ends_its_attempts(self):
        with mock.patch.object(order_rig, "DISCONNECTS_WHILE_READING_PAUSED", True):
            for how in ("close", "shut", "reset"):
                with self.subTest(how):
                    play(
                        *STARTS,
                        *HANG,
                        ("flood", 0, 2, -1),
                        ("disconnect", 0, how, -1),
                        ("advance_time", 400, -1),
                        *COME_UP,
                        ("advance_time", 400, -1),
                    )

    def test_request_read_after_disconnect_is_not_forwarded(self):
        for how in ("close", "shut", "reset"):
            with self.subTest(how):
                play(
                    *STARTS,
                    ("writes_first", True, -1),
                    ("send_requests", 0, 0, 2, 0, 3, -1),
                    ("advance_time", 400, -1),
                    ("disconnect_before_read", 1, 0, how, -1),
                    ("advance_time", 400, -1),
                )

    def test_duplicate_response_is_not_used_for_the_next_request(self):
        with mock.patch.object(order_rig, "DUPLICATE_RESPONSES_REACH_NEXT_REQUEST", True):
            play(
                *STARTS,
                ("change_endpoint", 1, "Gone", -1),
                ("change_endpoint", 2, "Gone", -1),
                ("set_response_mode", 0, "duplicate", 30, -1),
                ("send_requests", 0, 0, 2, 0, 1, -1),
                ("advance_time", 31, -1),
                ("send_requests", 1, 0, 2, 0, 1, -1),
                ("advance_time", 100, -1),
            )

    def test_unwritten_attempt_is_not_sent_after_a_drain(self):
        with mock.patch.object(order_rig, "ENDPOINTS_READ_NOTHING", True):
            play(
                *STARTS,
                *(("limit_endpoint_reads", pod, 0, -1) for pod in range(3)),
                ("send_requests", 0, 0, 2, 0, 3, -1),
                *(("change_endpoint", pod, "Terminating", -1) for pod in range(3)),
                ("advance_time", 100, -1),
            )

    def test_attempt_decided_after_disconnect_is_ended_by_its_own_id(self):
        play(
            *STARTS,
            ("limit_endpoint_reads", 1, 0, 0),
            ("flood", 0, 0, 0),
            ("set_response_mode", 1, "busy", 2000, -1),
            ("disconnect", 0, "shut", -1),
            ("change_endpoint", 1, "Terminating", -1),
        )

    def test_disconnect_while_reading_is_paused_is_detected_in_time(self):
        """A client sends more than is read at once and leaves during a partially written attempt.

        Only a timer checks such a connection. The checks used to come every 0.1 s, which is all
        the time in which an attempt may still begin, and after the writes of their iteration, so
        the rest was written 0.1001 s after the client had left: check at 251.0 ms (connected),
        disconnect at 251.0 ms, rest written at 351.1 ms, next check after that.
        """
        play(
            *STARTS,
            ("advance_time", 1, 1),
            ("limit_endpoint_reads", 1, 40, -1),
            ("open_client", -1),
            ("advance_time", 100, -1),
            ("flood", 1, 0, -1),
            ("disconnect_before_read", 3, 0, "close", 1),
            ("writes_first", False, -1),
            ("disconnect", 1, "reset", -1),
        )

    def test_checker_excludes_time_in_which_the_process_was_suspended(self):
        """A connection without pending responses was found open 0.151 s after the end of service.

        The process had no processor for 0.150 s of it, which the specification allows for. One
        iteration of the loop closes the connection. The checker counts only time in which the
        sidecar could run, and still finds a connection that stays open.
        """
        finished = *STARTS, ("ping", 1, -1), ("finish", -1), ("advance_time", 1, 1)
        play(*finished, ("disconnect_before_read", 0, 1, "shut", 0))
        play(*finished, ("stall_process", 150, 0))
        with (
            mock.patch.object(ClientConnection, "finish", lambda self: None),
            self.assertRaises(CheckFailed) as raised,
        ):
            play(*finished, ("stall_process", 150, 0), ("advance_time", 151, -1))
        self.assertRegex(str(raised.exception), "owed nothing and open 0.3.* s after the end")

    def test_checker_uses_the_build_listed_when_a_partial_command_began(self):
        """A pod of the earlier build reads part of a command; 2.6 s later its name has a new build.

        The newest build may receive nothing, and the command was begun before the listing, so
        nothing was sent to the newest build. The checker used to apply the build that was listed
        at the end.
        """
        initial_events = (
            *STARTS,
            ("change_release", "withdrawn", 1.0, 1),
            ("limit_endpoint_reads", 0, 40, 0),
            ("send_requests", 3, 0, 2, 0, 5, 0),
        )
        play(*initial_events, ("advance_time", 2600, -1), ("change_endpoint", 0, "other build", 1))
        with (
            mock.patch.object(order_rig.SteppedEndpoint, "build_known_at", lambda self, moment: 42),
            self.assertRaises(CheckFailed) as raised,
        ):
            play(
                *initial_events,
                ("advance_time", 2600, -1),
                ("change_endpoint", 0, "Terminating", 1),
            )
        self.assertRegex(str(raised.exception), "though the newest build takes nothing")

    def test_immediate_responses_are_allowed(self):
        with mock.patch.object(order_rig, "RESPONSES_WITHOUT_DELAY", True):
            play(
                *STARTS,
                ("set_response_mode", 1, "duplicate", 0, -1),
                ("limit_endpoint_reads", 0, 40, -1),
                ("flood", 1, 2, -1),
                ("advance_time", 11000, -1),
            )

    def test_drain_during_undrain_stops_listening(self):
        with mock.patch.object(order_rig, "DRAINS_DURING_UNDRAIN", True):
            play(*STARTS, ("drain", 0), ("undrain", 0), ("finish", -1), ("advance_time", 100, -1))


class CheckerTest(unittest.TestCase):
    """The checker detects faults that are injected, with the same random orders of events."""

    def assert_detected(self, target, name, replacement, error_pattern):
        @settings(HOW, phases=[Phase.generate], report_multiple_bugs=False)
        @given(DRAWN)
        def run(drawn):
            play(*STARTS, *drawn)

        with mock.patch.object(target, name, replacement), self.assertRaises(CheckFailed) as raised:
            run()
        self.assertRegex(str(raised.exception), error_pattern)

    def test_out_of_order_responses_are_detected(self):
        def answer(self, place, content):
            at = place - self.first_sequence
            if not self.connected or at < 0 or self.pending_responses[at] is not None:
                return
            self.pending_responses[at] = content
            self.transport.write(content)  # immediately, not after earlier responses
            while self.pending_responses and self.pending_responses[0] is not None:
                self.pending_responses.popleft()
                self.first_sequence += 1
            self._update_reading()
            if self.closing:
                self.finish()

        self.assert_detected(ClientConnection, "answer", answer, "is answered with .*, made for")

    def test_attempts_written_after_a_drain_are_detected(self):
        with (
            mock.patch.object(Proxy, "withdraw_unwritten", lambda self, fails: None),
            # may_be_written would prevent the write as well.
            mock.patch.object(Attempt, "may_be_written", lambda self, address: True),
            self.assertRaises(CheckFailed) as raised,
        ):
            play(
                *STARTS,
                *HANG,
                ("send_requests", 0, 0, 2, 0, 3, -1),
                *(("change_endpoint", pod, "Terminating", -1) for pod in range(3)),
                ("advance_time", 100, -1),
                ("finish_connects", True, -1),
            )
        self.assertRegex(str(raised.exception), "after its drain was told")

    def test_abandoned_attempt_that_does_not_end_is_detected(self):
        self.assert_detected(Attempt, "give_up", lambda self, outcome=None: None, "left at the end")

    def test_connection_closed_with_pending_responses_is_detected(self):
        def finish(self):
            self.closing = True
            if not self.ended:
                self.ended = True
                self.transport.unregisterProducer()
                self.transport.loseConnection()

        self.assert_detected(ClientConnection, "finish", finish, "closed with .* owed")

    def test_repeated_non_idempotent_request_is_detected(self):
        with (
            mock.patch.object(idempotency, "may_repeat", lambda request, now, by_client: True),
            self.assertRaises(CheckFailed) as raised,
        ):
            play(
                *STARTS,
                *(("set_response_mode", pod, "error", 3, -1) for pod in range(3)),
                ("send_requests", 0, 2, 2, 0, 1, -1),
            )
        self.assertRegex(str(raised.exception), "binding .* may have run")

    def test_undetected_client_disconnect_is_detected(self):
        with (
            mock.patch.object(ClientRequests, "client_disconnected", lambda self, connection: None),
            self.assertRaises(CheckFailed) as raised,
        ):
            play(
                *STARTS,
                *HANG,
                ("send_requests", 0, 0, 2, 0, 3, -1),
                ("disconnect", 0, "close", -1),
                ("advance_time", 400, -1),
                ("finish_connects", True, -1),
                *COME_UP,
                ("advance_time", 400, -1),
            )
        self.assertRegex(str(raised.exception), "after its client left")


if __name__ == "__main__":
    unittest.main()
