"""Polling intervals and snapshot validation, and the simulator's model of shared services."""

import os
import shutil
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from tests.unit.proxy.test_proxy import Network, Transport, endpoint_entry
from thymeknot.interface import actions
from thymeknot.interface.actions import SubscribeToEndpoints
from thymeknot.polling.adaptive_interval import (
    ESTABLISHED_AFTER,
    MAX_INITIAL_SPREAD,
    MAX_INTERVAL,
    MIN_REGULAR_INTERVAL,
    AdaptiveInterval,
    CallResult,
    IntervalState,
    dedicated_service_limits,
    shared_service_limits,
)
from thymeknot.polling.snapshot_validation import SnapshotValidator
from thymeknot.protocol.discovery import FIRST_DATA_TIMEOUTS
from thymeknot.protocol.watch_stream import WatchStream
from thymeknot.simulation import earlier_versions
from thymeknot.simulation.earlier_versions import EarlierVersion
from thymeknot.simulation.shared_services import (
    IDLE_TIMEOUT,
    Connections,
    Service,
    poll_interval_of,
)
from thymeknot.state.random_source import LinearCongruentialGenerator
from thymeknot.state.timer_queue import TimerQueue

SMALL_STEP = 0.002  # seconds; shorter than the time between two answers of a service
HEAD = b"HTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"


class AdaptiveIntervalTest(unittest.TestCase):
    def test_refusals_back_off_and_an_established_stream_resets(self):
        interval = AdaptiveInterval(lambda: 0.5)
        for result, age, wait, state in (
            (CallResult.LOST, 0, 5_000, IntervalState.REGULAR),
            (CallResult.REFUSED, ESTABLISHED_AFTER, 5_000, IntervalState.REGULAR),
            (CallResult.REFUSED, ESTABLISHED_AFTER - 1, 20_000, IntervalState.BACKING_OFF),
            (CallResult.REFUSED, 0, 40_000, IntervalState.BACKING_OFF),
            (CallResult.REFUSED, 0, 52_250, IntervalState.BACKING_OFF),
            (CallResult.REFUSED, 0, 52_250, IntervalState.BACKING_OFF),
            (CallResult.LOST, 0, 52_250, IntervalState.BACKING_OFF),
            (CallResult.ESTABLISHED, 0, 5_000, IntervalState.REGULAR),
            (CallResult.REFUSED, 0, 20_000, IntervalState.BACKING_OFF),
            (CallResult.ESTABLISHED, 0, 5_000, IntervalState.REGULAR),
            (CallResult.MALFORMED, 0, 5_000, IntervalState.SUSPECT),
            (CallResult.LOST, 0, 5_000, IntervalState.SUSPECT),
            (CallResult.MALFORMED, ESTABLISHED_AFTER, 5_000, IntervalState.REGULAR),
            (CallResult.MALFORMED, 0, 5_000, IntervalState.SUSPECT),
            (CallResult.ESTABLISHED, 0, 5_000, IntervalState.REGULAR),
            (CallResult.MALFORMED, 0, 5_000, IntervalState.SUSPECT),
            (CallResult.MALFORMED, ESTABLISHED_AFTER - 1, 20_000, IntervalState.BACKING_OFF),
            (CallResult.MALFORMED, 0, 40_000, IntervalState.BACKING_OFF),
            (CallResult.ESTABLISHED, 0, 5_000, IntervalState.REGULAR),
            (CallResult.MALFORMED, 0, 5_000, IntervalState.SUSPECT),
            (CallResult.REFUSED, 0, 20_000, IntervalState.BACKING_OFF),
        ):
            self.assertEqual((interval.record(result, age), interval.state), (wait, state))

    def test_longest_wait_counts_from_the_beginning_of_a_call(self):
        for lasted, longest in ((0, 5.5), (0.3, 5.2), (1.0, 4.5), (2.0, 3.5), (5.4, 0.2), (9, 0.2)):
            for draw, part in ((0.0, 0.9), (1.0, 1.0)):
                interval = AdaptiveInterval(lambda draw=draw: draw)
                for _ in range(9):
                    wait = interval.record(CallResult.REFUSED, lasted=int(lasted * 10_000))
                # The jitter is a part of the time between the beginnings of two calls.
                expected = max(0.2, (longest + lasted) * part - lasted)
                self.assertAlmostEqual(wait / 10_000, expected, places=3, msg=(lasted, draw))

    # Guards against an agent that is dialled again and again while it refuses connections, and
    # against a drain that is followed too late after it: the longest wait follows from the grace.
    def test_lost_calls_to_a_dedicated_service_lengthen_the_wait_in_any_state(self):
        for grace, longest in (
            (0, 100),
            (1_200, 100),
            (2_500, 750),
            (9_000, 7_250),
            (20_000, 7_750),
        ):
            for first, refused in ((CallResult.LOST, False), (CallResult.REFUSED, True)):
                with self.subTest(grace=grace, refused=refused):
                    interval = AdaptiveInterval(lambda: 0.5, dedicated_service_limits(grace))
                    self.assertEqual(interval.record(first), min(375, longest))
                    waits = [interval.record(CallResult.LOST) for _ in range(9)]
                    doubled = [min(375 << count, longest) for count in range(1, 10)]
                    if refused:  # a tenth of the longest wait is drawn, here half of that
                        longest_drawn = max(100, longest - longest // 20)
                        doubled = [min(375 << count, longest_drawn) for count in range(9)]
                    for wait, expected in zip(waits, doubled, strict=True):
                        self.assertAlmostEqual(wait, expected, delta=1)
                    self.assertEqual(interval.record(CallResult.ESTABLISHED), min(375, longest))

    def test_connecting_takes_at_most_half_of_the_bound(self):
        for limits, configured, timeout in (
            (dedicated_service_limits(2_500), 2_500, 500),
            (dedicated_service_limits(2_500), 300, 300),
            (dedicated_service_limits(0), 2_500, 100),
            (shared_service_limits(), 2_500, 2_500),
            (shared_service_limits(), 100_000, 30_000),
        ):
            self.assertEqual(limits.connect_timeout(configured), timeout)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    (
                        CallResult.REFUSED,
                        CallResult.LOST,
                        CallResult.MALFORMED,
                        CallResult.ESTABLISHED,
                    )
                ),
                st.integers(0, 10 * ESTABLISHED_AFTER),
            ),
            max_size=60,
        ),
        st.integers(1, 2**60),
        st.integers(1, 10_000),
    )
    def test_wait_is_always_within_bounds(self, ends, seed, asking):
        pace = AdaptiveInterval(LinearCongruentialGenerator(seed).draw)
        self.assertTrue(0 <= pace.initial_wait(asking) <= MAX_INITIAL_SPREAD)
        for how, age in ends:
            self.assertTrue(MIN_REGULAR_INTERVAL <= pace.record(how, age) <= MAX_INTERVAL)


class FormerInterval:
    """Poll interval with the method and parameter names of revision 969ec70; records its calls."""

    def __init__(self, draw):
        self.draw = draw
        self.calls = []

    def first(self, asking):
        self.calls.append(("first", asking))
        return int(self.draw() * 1_000 * asking)

    def ended(self, how, age=0):
        self.calls.append(("ended", how, age))
        return int(self.draw() * 40_000)


class EarlierRevisionTest(unittest.TestCase):
    def draw(self):
        return 0.5

    def test_interval_of_an_earlier_revision_answers_to_the_current_method_names(self):
        """Renamed methods made simulations with an earlier revision fail with AttributeError."""
        intervals = []

        def create_interval(draw):
            intervals.append(FormerInterval(draw))
            return intervals[-1]

        interval = poll_interval_of(EarlierVersion(actions, None, create_interval), self.draw)
        self.assertEqual(
            (interval.initial_wait(10), interval.record(CallResult.REFUSED), interval.draw()),
            (5_000, 20_000, 0.5),
        )
        self.assertEqual(interval.record(CallResult.LOST, 7), 20_000)
        (former,) = intervals
        self.assertEqual(
            former.calls,
            [("first", 10), ("ended", CallResult.REFUSED, 0), ("ended", CallResult.LOST, 7)],
        )
        self.assertEqual((former.draw, interval.draw), (self.draw, self.draw))

    def test_policy_without_a_poll_interval_gets_the_current_one(self):
        interval = poll_interval_of(object(), self.draw)
        self.assertIs(type(interval), AdaptiveInterval)
        self.assertEqual(
            (interval.initial_wait(10), interval.record(CallResult.REFUSED), interval.draw()),
            (5_000, 20_000, 0.5),
        )

    def test_loaded_version_brings_its_own_poll_interval(self):
        """A copy of the current package stands in for the revision: no git history is needed."""

        def copy_current_package(revision, directory, package):
            shutil.copytree(
                os.path.join(earlier_versions.REPOSITORY_ROOT, "thymeknot"),
                os.path.join(directory, package),
                ignore=shutil.ignore_patterns("__pycache__"),
            )

        with mock.patch.object(earlier_versions, "_unpack", copy_current_package):
            # Not through the cache, which other tests use with revisions from git.
            version = earlier_versions.load_version.__wrapped__("copy of the current package")
        interval = poll_interval_of(version, self.draw)
        package = version.interface.__name__.partition(".")[0]
        self.assertNotEqual(package, "thymeknot")
        self.assertEqual(
            (type(interval).__module__, type(interval).__name__),
            (f"{package}.polling.adaptive_interval", "AdaptiveInterval"),
        )
        self.assertEqual(
            (interval.initial_wait(10), interval.record(CallResult.REFUSED), interval.draw()),
            (5_000, 20_000, 0.5),
        )


class RateLimitedService(Service):
    """The simulator's shared service, dialled by watch streams."""

    def __init__(self, rate, clock):
        self.timers = TimerQueue(
            lambda: int(clock.seconds() * 10_000), clock.callLater, lambda *fault: None
        )
        super().__init__(rate, self.timers.add, self.timers.clock)
        self.host = "discovery"
        self.turns_away = False

    def dial(self, stream, failed, late):
        stream.makeConnection(Transport())
        if self.turns_away:
            self.timers.add(self.timers.clock(), stream.dataReceived, HEAD % 503)
            return
        self.call(
            lambda accepted: stream.closed or stream.dataReceived(HEAD % (200 if accepted else 503))
        )
        stream.transport.abortConnection = lambda: stream.closed or stream.connectionLost(self)

    def getErrorMessage(self):
        return "ended"


class SharedServiceTest(unittest.TestCase):
    def start_stream(self, service, callers, seed):
        stream = WatchStream(
            service,
            LinearCongruentialGenerator(seed << 33),
            10**9,
            lambda: b"",
            lambda: lambda content: True,
            lambda *line, **fields: None,
            FIRST_DATA_TIMEOUTS[True],
        )
        stream.start_spread(callers)
        return stream

    def test_forty_callers_get_a_list_from_a_service_of_eight_calls_per_second(self):
        for callers, seconds, restart_at, max_refused in (
            (40, 20, None, 80),
            (0, 30, None, 120),
            (40, 40, 20.0, 160),
        ):
            clock = Clock()
            service = RateLimitedService(8, clock)
            streams = [self.start_stream(service, callers, seed) for seed in range(1, 41)]
            for step in range(seconds * 20):
                clock.advance(0.05)
                for index in range(28 if step / 20 == restart_at else 0):
                    streams[index].start = lambda: None  # its process was killed
                    streams[index] = self.start_stream(service, callers, step + index + 1)
            self.assertEqual(sum(stream.current is not None for stream in streams), 40)
            self.assertLess(service.rejected_count, max_refused)

    def test_callers_that_start_at_once_all_get_a_list_at_one_call_each_in_eight_seconds(
        self,
    ):
        for callers, rate, seconds, max_refused in ((60, 7.5, 13, 30), (200, 25, 13, 100)):
            clock = Clock()
            service = RateLimitedService(rate, clock)
            streams = [self.start_stream(service, callers, seed) for seed in range(1, callers + 1)]
            for _ in range(int(seconds / SMALL_STEP)):
                clock.advance(SMALL_STEP)
            self.assertEqual(sum(stream.current is not None for stream in streams), callers)
            self.assertLess(service.rejected_count, max_refused)

    # Guards against waits that keep the bound of a single caller and let a crowd's calls hold each
    # other up.
    def test_crowd_that_is_turned_away_at_once_recovers(self):
        for callers, refused_per_caller in ((60, 0.5), (200, 0.5), (540, 0.5)):
            clock = Clock()
            service = RateLimitedService(callers / 8, clock)
            streams = [self.start_stream(service, 1, seed) for seed in range(1, callers + 1)]
            service.turns_away = True
            while clock.seconds() < 12:
                clock.advance(0.02)
            service.turns_away = False
            service.rejected_count = 0
            while clock.seconds() < 12 + 14:
                clock.advance(SMALL_STEP)
            self.assertEqual(sum(stream.current is not None for stream in streams), callers)
            self.assertLess(service.rejected_count, refused_per_caller * callers)

    def test_lost_connection_does_not_back_off_and_adds_no_call_to_the_watch(self):
        network = Network()
        for _ in range(10):
            network.refuse(-1)
            for _ in range(9):
                network.reactor.advance(0.1)
        asked = len(network.reactor.tcpClients)
        self.assertGreaterEqual(asked, 11)
        network.proxy._execute([SubscribeToEndpoints(True)])
        self.assertEqual(len(network.reactor.tcpClients), asked)


class SnapshotValidationTest(unittest.TestCase):
    def test_which_lists_are_accepted(self):
        for lists, accepted in (
            (
                [("a", 7, True, 3), ("a", 7, True, 3), ("a", 9, False, 0), ("a", 8, True, 3)],
                [1, 1, 1, 0],
            ),
            (
                [("a", 7, True, 3), ("a", 6, True, 3), ("a", 6, True, 3), ("a", 7, True, 3)],
                [1, 0, 1, 1],
            ),
            (
                [("a", 7, True, 3), ("a", 7, True, 0), ("a", 7, True, 0), ("a", 6, True, 0)],
                [1, 0, 0, 0],
            ),
            (
                [("a", 7, True, 3), ("a", 8, True, 0), ("a", 9, True, 0), ("a", 9, True, 3)],
                [1, 0, 1, 1],
            ),
            (
                [("a", 7, True, 3), ("a", 8, True, 0), ("a", 8, True, 3), ("a", 9, True, 0)],
                [1, 0, 1, 0],
            ),
            (
                [
                    ("a", 7, True, 3),
                    ("a", 8, True, 0),
                    ("a", 7, True, 0),
                    ("a", 8, False, 0),
                    ("a", 9, True, 0),
                ],
                [1, 0, 0, 1, 0],
            ),
            (
                [
                    ("a", 7, True, 3),
                    ("a", 6, True, 3),
                    ("a", 8, True, 0),
                    ("a", 6, True, 3),
                    ("a", 6, True, 3),
                ],
                [1, 0, 0, 0, 1],
            ),
            (
                [
                    ("a", 7, True, 3),
                    ("b", 9, True, 0),
                    ("b", 9, True, 0),
                    ("b", 10, True, 0),
                    ("b", 10, True, 0),
                ],
                [1, 0, 0, 0, 1],
            ),
            (
                [("a", 7, True, 3), ("a", 6, True, 3), ("a", 8, True, 3), ("a", 7, True, 3)],
                [1, 0, 1, 0],
            ),
            (
                [("a", 7, True, 3), ("b", 2, True, 3), ("b", 1, False, 1), ("a", 7, True, 3)],
                [1, 1, 1, 1],
            ),
        ):
            validator = SnapshotValidator()
            self.assertEqual(
                [validator.validate(*endpoint_list, 3) is None for endpoint_list in lists],
                [bool(endpoint_list) for endpoint_list in accepted],
                lists,
            )
        self.assertIsNone(
            SnapshotValidator().validate("a", 1, True, 0, 0)
        )  # no endpoint was known before

    def test_list_that_would_remove_all_endpoints_only_ends_its_stream(self):
        for content in (
            b'{"version":6,"full":true,"servers":[]}',
            b'{"version":6,"full":true,"servers":[}',
            b"nonsense",
            b'{"version":8,"full":true,"servers":[]}',
            b'{"version":8,"full":true}',
            b"\xff\x00",
            b'{"version":6,"full":true,"servers":[{"id":"s-9","addr":"127.0.0.1:9","state":"Ready"}]}',
        ):
            network = Network(endpoint_entry("s-1"))
            stream, before = (
                network.connect(0),
                (dict(network.proxy.listed_endpoints), network.proxy.endpoints.version),
            )
            stream.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            stream.dataReceived(b"%x\r\n%s\n\r\n" % (len(content) + 1, content))
            self.assertEqual(
                (network.proxy.listed_endpoints, network.proxy.endpoints.version), before, content
            )
            self.assertTrue(stream.transport.disconnected and not network.faults)
            for _ in range(40):
                network.reactor.advance(0.1)
            self.assertEqual([port for _, port, *_ in network.reactor.tcpClients].count(2), 2)


class SimulatedConnectionsTest(unittest.TestCase):
    def test_connections_are_reused_refused_and_expire(self):
        connections, connection, other_connection = Connections(1), (0, 1, "p"), (1, 1, "p")
        for now, requested, accepted, reusable in (
            (0, connection, True, True),
            (20, connection, True, True),
            (40, other_connection, False, None),
            (40 + IDLE_TIMEOUT, other_connection, True, False),
            (60 + IDLE_TIMEOUT, connection, True, None),
        ):
            self.assertEqual(connections.acquire(now, requested, "p"), accepted)
            if reusable is not None:
                connections.release(now + 10, requested, "p", reusable)
        self.assertEqual(
            (connections.opened_count, connections.refused_count, connections.open_counts["p"]),
            (3, 1, 1),
        )
        connections.close_idle(lambda connection: connection[0] == 0)
        connections.release(
            70 + IDLE_TIMEOUT, connection, "p", True
        )  # the connections of the killed process were dropped
        self.assertEqual(connections.open_counts["p"], 0)


if __name__ == "__main__":
    unittest.main()
