"""Streams and calls under silence, late connects, address changes and invalid input."""

import contextlib
import itertools
import json
import random
import signal
import socket
import threading
import tracemalloc
import unittest

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from tests.support.peers import TIMEOUT_SECONDS, FakeEndpoint, wait_until
from tests.support.programs import Program, without_first_list_timeout
from tests.unit.proxy.test_proxy import (
    VALUE_RESPONSE,
    Network,
    configuration_object,
    endpoint_entry,
)
from thymeknot.interface.actions import CastVote, FetchEndpoints
from thymeknot.interface.enums import Outcome, UpdateKind, Verdict
from thymeknot.interface.events import EndpointUpdate, FleetCounts, ReleaseUpdate
from thymeknot.protocol import deployer as platform
from thymeknot.protocol import discovery, http
from thymeknot.service import configuration

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = {
    2: b"\n",
    3: b":\n",
}  # by port: 2 is discovery, 3 is the release platform


def encode_chunk(content):
    return b"%x\r\n%s\r\n" % (len(content), content)


def list_message(version, *names, indent=None, full=True):
    return (
        json.dumps(
            {"version": version, "full": full, "servers": [endpoint_entry(name) for name in names]},
            indent=indent,
        ).encode()
        + b"\n"
    )


class NetworkTestCase(unittest.TestCase):
    def setUp(self):
        self.network = Network(endpoint_entry("s-1"))
        self.watch_streams = {
            2: self.network.proxy.endpoints.watch,
            3: self.network.proxy.releases.stream,
        }

    def advance(self, seconds):
        """Advances the clock in steps of 10 ms, with two event loop turns each.

        An expired timer first checks for data that has arrived, and acts on the next turn.
        """
        for _ in range(round(seconds * 100)):
            self.network.reactor.advance(0.01)
            self.network.reactor.advance(0)

    def connect_count(self, port):
        return [to for _, to, *_ in self.network.reactor.tcpClients].count(port)

    def last_connect(self, port):
        """Returns the index of the last connection attempt to this port."""
        return max(
            at for at, (_, to, *_) in enumerate(self.network.reactor.tcpClients) if to == port
        )

    def connect(self, port, *chunks):
        stream = self.network.connect(self.last_connect(port))
        if chunks:
            stream.dataReceived(HEAD + b"".join(map(encode_chunk, chunks)))
        return stream

    def advance_until_requested(self, port, limit):
        """Advances until the next connection attempt to this port; returns the seconds taken.

        Fails after `limit` seconds.
        """
        before, now = self.connect_count(port), self.network.reactor.seconds
        started_at = now()
        while self.connect_count(port) == before:
            self.assertLess(now() - started_at, limit, "no new connection attempt")
            self.advance(0.01)
        return now() - started_at


class HeartbeatTest(NetworkTestCase):
    def test_endless_incomplete_line_is_no_heartbeat(self):
        for port in (2, 3):
            stream, started_at = self.connect(port, HEARTBEAT[port]), self.network.reactor.seconds()
            while (
                self.connect_count(port) == 1 and self.network.reactor.seconds() < started_at + 12
            ):
                stream.dataReceived(encode_chunk(b" " if port == 2 else b":"))
                self.advance(0.5)
            self.assertLess(self.network.reactor.seconds() - started_at, 5.1, port)

    def test_lines_of_an_endless_object_are_no_heartbeat(self):
        for line in (
            b'{"id":"s-2"},\n',
            HEARTBEAT[2],
        ):  # an empty line within an incomplete object is whitespace, not a heartbeat
            self.network = Network(endpoint_entry("s-1"))
            stream, elapsed = (
                self.connect(2, HEARTBEAT[2], b'{"version":9,"full":true,"servers":[\n'),
                0,
            )
            while self.connect_count(2) == 1 and elapsed < 12:
                stream.dataReceived(encode_chunk(line))
                self.advance(0.5)
                elapsed += 0.5
            self.assertLess(elapsed, 5.1)

    def test_complete_lines_are_heartbeats(self):
        streams = {port: self.connect(port, HEARTBEAT[port]) for port in (2, 3)}
        for _ in range(15):
            self.advance(1)
            for port, stream in streams.items():
                stream.dataReceived(encode_chunk(HEARTBEAT[port]))
        self.assertEqual((self.connect_count(2), self.connect_count(3)), (1, 1))

    def test_stream_with_invalid_first_data_does_not_replace_the_current_one(self):
        for port in (2, 3):
            old = self.connect(port, HEARTBEAT[port])
            self.advance_until_requested(port, 10)
            new = self.connect(port, b"noise\n")
            self.assertEqual(
                (new.transport.disconnected, old.transport.disconnected), (True, False)
            )
            self.assertIs(self.watch_streams[port].current, old)

    def test_data_of_a_replaced_stream_is_ignored(self):
        old = self.connect(2, HEARTBEAT[2])
        self.advance_until_requested(2, 10)
        new = self.connect(2, list_message(9, "s-2"))
        self.assertTrue(old.transport.disconnected)
        self.advance(2)
        last_heartbeat = self.watch_streams[2].last_heartbeat
        old.dataReceived(encode_chunk(list_message(10, "s-3")))
        self.assertEqual(
            (self.watch_streams[2].current, self.watch_streams[2].last_heartbeat),
            (new, last_heartbeat),
        )
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_connection_established_after_give_up_is_closed_without_a_request(self):
        for port in (2, 3):
            first = self.last_connect(port)
            self.advance(0.3)
            self.assertTrue(self.network.reactor.connectors[first].stoppedConnecting)
            self.network.refuse(first)
            late = self.network.connect(first)
            self.assertEqual((late.transport.disconnected, late.transport.value()), (True, b""))

    def test_reason_of_a_stream_end_is_logged(self):
        for received, reason in (
            (HEAD.replace(b"200", b"503"), "status 503"),
            (HEAD + b"0\r\n\r\n", "the response ended"),
            (HEAD + encode_chunk(b"noise\n"), "unreadable: invalid JSON"),
            (b"noise\r\n\r\n", "not an HTTP/1.x status line"),
        ):
            network, lines = Network(endpoint_entry("s-1")), []
            network.proxy.endpoints.watch.log = lambda event, lines=lines, **fields: lines.append(
                (event, fields["reason"])
            )
            stream = network.connect(0)
            stream.dataReceived(received)
            self.assertTrue(stream.transport.disconnected)
            self.assertEqual(len(lines), 1)
            self.assertIn(reason, lines[0][1])


class SilenceTest(NetworkTestCase):
    def test_silence_is_detected_in_time_for_any_phase_of_the_check_timer(self):
        for port, silence, limit in (
            (2, discovery.SILENCE_TIMEOUT, 4.51),
            (3, platform.SILENCE_TIMEOUT, 4.01),
        ):
            for words in range(40):  # varies the time of the last heartbeat against the check timer
                self.network = Network(endpoint_entry("s-1"))
                stream = self.connect(port, HEARTBEAT[port])
                for _ in range(words):
                    self.advance(0.13)
                    stream.dataReceived(encode_chunk(HEARTBEAT[port]))
                self.assertAlmostEqual(
                    self.advance_until_requested(port, limit + 0.02), silence / 10_000, delta=0.03
                )

    def test_silence_one_failed_connect_and_the_response_fit_in_the_limit(self):
        for draw in (0.0, 0.5, 0.999):
            network = self.network = Network(endpoint_entry("s-1"))
            network.proxy.endpoints.watch.interval.draw = lambda draw=draw: draw
            self.connect(2, list_message(8, "s-1"))
            started_at = network.reactor.seconds()
            self.advance_until_requested(2, 6)
            failed = self.last_connect(2)
            self.advance(0.26)
            self.assertTrue(network.reactor.connectors[failed].stoppedConnecting)
            network.refuse(failed)
            self.advance_until_requested(2, 1)
            self.connect(2, list_message(9, "s-2"))
            self.assertEqual(list(network.proxy.listed_endpoints), ["s-2"])
            self.assertLess(network.reactor.seconds() - started_at, 5.75)

    def test_one_silence_timer_remains_after_many_streams(self):
        for _ in range(50):
            for port in (2, 3):
                self.connect(port, HEARTBEAT[port], b"noise\n")
                self.advance_until_requested(port, 9)
        pending_timers = self.network.proxy.timers.pending.values()
        self.assertLessEqual(
            len(
                [
                    call
                    for call, _ in pending_timers
                    if call.__name__ in ("_check_silence", "_watch")
                ]
            ),
            2,
        )


class FirstDataTest(NetworkTestCase):
    def test_stream_without_data_is_replaced_in_time(self):
        for draw in (0.0, 0.999):
            self.network = Network(endpoint_entry("s-1"))
            self.network.proxy.endpoints.watch.interval.draw = lambda draw=draw: draw
            self.connect(2, list_message(8, "s-1"))
            started_at = self.network.reactor.seconds()
            self.advance_until_requested(2, 6)
            silent = self.connect(2)
            self.advance_until_requested(2, 6)
            self.assertTrue(silent.transport.disconnected)
            self.connect(2, list_message(9, "s-2"))
            self.assertLess(self.network.reactor.seconds() - started_at, 5.9)
            self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_first_data_timeout_doubles_and_resets_on_data(self):
        for port, waits in ((2, (0.5, 1, 2, 4, 4.5, 4.5)), (3, (2, 4, 4, 4))):
            for wait in waits:
                stream = self.connect(port)
                self.advance(wait - 0.02)
                self.assertFalse(stream.transport.disconnected, (port, wait))
                self.advance_until_requested(port, 1)
                self.assertTrue(stream.transport.disconnected)
            self.connect(port, HEARTBEAT[port])
            self.assertEqual(self.watch_streams[port].silent_attempts, 0)

    def test_shared_service_has_a_longer_first_data_timeout(self):
        self.network = Network(endpoint_entry("s-1"), polled=True)
        self.advance(1)
        stream = self.connect(2)
        self.advance(2.9)
        self.assertFalse(stream.transport.disconnected)
        self.advance(0.2)
        self.assertTrue(stream.transport.disconnected)

    def test_first_data_just_in_time_cancels_the_timeout(self):
        stream = self.connect(2)
        self.advance(0.49)
        stream.dataReceived(HEAD + encode_chunk(HEARTBEAT[2]))
        self.advance(4.4)
        self.assertEqual((stream.transport.disconnected, self.connect_count(2)), (False, 1))


class AddressChangeTest(NetworkTestCase):
    def move(self, network, discovery=2, platform=3):
        """Applies a configuration with these ports."""
        changed = configuration_object(endpoint_entry("s-1"))
        changed["discovery"], changed["deployer"]["address"] = (
            f"127.0.0.1:{discovery}",
            f"127.0.0.1:{platform}",
        )
        network.proxy.reconfigure(configuration.parse(changed, 0))

    def test_refusals_at_the_former_address_do_not_delay_requests_at_the_new_one(self):
        for polled in (False, True):
            self.network = Network(endpoint_entry("s-1"), polled=polled)
            for port in (2, 3):
                for _ in range(4):
                    self.advance_until_requested(port, 9) if self.is_without_pending_stream(
                        port
                    ) else self.advance(0.1)
                    self.connect(port).dataReceived(HEAD.replace(b"200", b"503"))
            self.move(self.network, 8, 9)
            for port in (8, 9):
                for _ in range(3):  # nothing listens there yet
                    self.network.refuse(self.last_connect(port))
                    self.assertLess(self.advance_until_requested(port, 4), 0.85)

    def test_former_stream_that_ends_after_the_change_does_not_delay_requests(self):
        self.network = Network(endpoint_entry("s-1"), polled=True)
        self.advance(0.1)
        for _ in range(
            2
        ):  # a close right after the start counts as a refusal only at the present address
            discovery, platform = self.connect(2, HEARTBEAT[2]), self.connect(3, HEARTBEAT[3])
            self.move(self.network, 8, 9)
            for former in (discovery, platform):
                former.connectionLost(Failure(ConnectionDone()))
            for port in (8, 9):
                for _ in range(3):
                    self.network.refuse(self.last_connect(port))
                    self.assertLess(self.advance_until_requested(port, 9), 0.85)
            self.move(self.network)

    def is_without_pending_stream(self, port):
        watch_stream = {
            2: self.network.proxy.endpoints.watch,
            3: self.network.proxy.releases.stream,
        }[port]
        return watch_stream.pending is None

    def test_new_address_that_is_silent_and_then_refuses_is_connected_within_three_seconds(self):
        for draw in (0.0, 0.999):
            self.network = Network(endpoint_entry("s-1"))
            self.network.proxy.endpoints.watch.interval.draw = lambda draw=draw: draw
            old = self.connect(2, list_message(8, "s-1"))
            self.move(self.network, 8)
            started_at = self.network.reactor.seconds()
            silent = self.connect(8)
            self.advance_until_requested(8, 2)
            self.assertTrue(silent.transport.disconnected)
            self.network.refuse(self.last_connect(8))
            self.advance_until_requested(8, 2)
            self.assertFalse(old.transport.disconnected)
            old.dataReceived(encode_chunk(HEARTBEAT[2]))
            self.connect(8, list_message(3, "s-2"))
            self.assertEqual(
                (list(self.network.proxy.listed_endpoints), old.transport.disconnected),
                (["s-2"], True),
            )
            self.assertLess(self.network.reactor.seconds() - started_at, 3)

    def test_list_of_a_new_address_is_accepted_with_any_version(self):
        for received, names in (
            (list_message(3, "s-2"), ["s-2"]),
            (list_message(12, "s-2"), ["s-2"]),
            (list_message(3, "s-2", full=False), ["s-1", "s-2"]),
            (list_message(3, full=False), ["s-1"]),
        ):
            self.network = Network(endpoint_entry("s-1"))
            old = self.connect(2, list_message(8, "s-1"))
            self.move(self.network, 8)
            old.dataReceived(
                encode_chunk(list_message(9, "s-1"))
            )  # versions of the two addresses are not comparable
            self.network.refuse(self.last_connect(8))
            self.advance_until_requested(8, 1)
            new = self.connect(8, received)
            self.assertIn(b"index=0 ", new.transport.value())
            self.assertEqual(
                (list(self.network.proxy.listed_endpoints), old.transport.disconnected),
                (names, True),
            )
            new.dataReceived(encode_chunk(list_message(4, "s-3", full=False)))
            self.assertEqual(list(self.network.proxy.listed_endpoints), [*names, "s-3"])
            new.connectionLost(Failure(ConnectionDone()))
            self.advance_until_requested(8, 4)
            self.assertIn(b"index=4 ", self.connect(8).transport.value())

    def test_full_list_is_requested_until_one_of_the_new_address_is_accepted(self):
        self.connect(2, list_message(8, "s-1"))
        self.move(self.network, 8)
        for _ in range(3):
            empty = self.connect(8, list_message(12))
            self.assertIn(b"index=0 ", empty.transport.value())
            self.advance_until_requested(8, 2)
        self.connect(8, list_message(12, "s-2"))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_pending_request_at_the_former_address_is_closed(self):
        self.advance(0.05)
        pending = self.connect(2)
        self.move(self.network, 8)
        self.assertTrue(pending.transport.disconnected)
        pending.dataReceived(HEAD + encode_chunk(list_message(9, "s-9")))
        pending.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(
            (list(self.network.proxy.listed_endpoints), self.connect_count(8)), (["s-1"], 1)
        )

    def test_request_is_always_pending_while_the_agent_is_silent(self):
        for _ in range(200):  # for 20 s discovery accepts connections but sends nothing
            if self.watch_streams[2].pending.transport is None:
                stream = self.connect(2)
            self.advance(0.1)
            self.assertIsNotNone(self.watch_streams[2].pending)
        self.assertLess(self.connect_count(2), 9)
        stream = self.connect(2) if self.watch_streams[2].pending.transport is None else stream
        stream.dataReceived(HEAD + encode_chunk(list_message(9, "s-2")))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])


class StaleListTest(NetworkTestCase):
    def test_repeated_older_list_is_accepted_soon_after_refusals(self):
        for polled, limit in ((False, 1.1), (True, 0.85)):
            self.network = Network(endpoint_entry("s-1"), polled=polled)
            self.advance(0.1)
            for _ in range(5):
                self.connect(2).dataReceived(HEAD.replace(b"200", b"503"))
                self.advance_until_requested(2, 9)
            stream = self.connect(2, list_message(3, "s-2"))
            self.assertEqual(
                (list(self.network.proxy.listed_endpoints), stream.transport.disconnected),
                (["s-1"], True),
            )
            self.assertLess(self.advance_until_requested(2, 9), limit)
            self.connect(2, list_message(3, "s-2"))
            self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_repeated_older_list_is_accepted_after_a_failed_connect(self):
        stream, started_at = self.connect(2, list_message(3, "s-2")), self.network.reactor.seconds()
        self.assertTrue(stream.transport.disconnected)
        self.advance_until_requested(2, 2)
        self.network.refuse(self.last_connect(2))
        self.advance_until_requested(2, 2)
        self.connect(2, list_message(3, "s-2"))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])
        self.assertLess(self.network.reactor.seconds() - started_at, 2.1)

    def test_empty_list_is_requested_less_often_from_a_shared_service(self):
        alternating = list_message(9), list_message(3, "s-2")  # alternately empty and outdated
        # What an agent has counts as notified, so within 20 s it is asked every 0.07 s, not oftener.
        for polled, limit, received in (
            (False, 300, [list_message(7)]),
            (True, 8, [list_message(7)]),
            (False, 300, alternating),
            (True, 8, alternating),
        ):
            self.network, received = (
                Network(endpoint_entry("s-1"), polled=polled),
                itertools.cycle(received),
            )
            self.advance(0.1)
            for _ in range(2_000):
                if (
                    self.network.proxy.endpoints.watch.pending
                    and self.network.proxy.endpoints.watch.pending.transport is None
                ):
                    self.connect(2, next(received))
                self.advance(0.01)
            self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-1"])
            self.assertLess(self.connect_count(2), limit)

    def test_repeated_empty_list_of_a_new_version_is_accepted_in_time(self):
        for polled in (False, True):
            self.network = Network(endpoint_entry("s-1"), polled=polled)
            self.advance(0.1)
            self.connect(2, list_message(8, "s-1"), list_message(9))
            self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-1"])
            self.assertLess(self.advance_until_requested(2, 9), 0.85)
            self.connect(2, list_message(9))
            self.assertEqual(
                (list(self.network.proxy.listed_endpoints), self.network.proxy.addresses), ([], {})
            )
            self.assertRegex(self.network.ask().transport.value(), b"^-BUSY")


class BackoffTest(NetworkTestCase):
    def test_requests_back_off_after_repeated_refusals_or_invalid_data(self):
        news = b"event: progress\ndata: version=41&step=1&status=released&maxWeight=1&observedAgoMs=5\n\n"
        # An agent is asked every 0.07 s within 60 s, not oftener; see the grace below.
        for port, polled, limit in ((2, False, 900), (2, True, 20), (3, False, 20)):
            good = encode_chunk(list_message(8, "s-1") if port == 2 else news)
            for received in (
                *(HEAD.replace(b"200", status) for status in (b"301", b"500", b"503")),
                b"noise\r\n\r\n",
                HEAD + encode_chunk(b"noise\n"),
                HEAD + good + encode_chunk(b"noise\n"),
                HEAD + good + b"0\r\n\r\n",
            ):
                self.network = Network(endpoint_entry("s-1"), polled=polled)
                watch_stream = {
                    2: self.network.proxy.endpoints.watch,
                    3: self.network.proxy.releases.stream,
                }[port]
                self.advance(0.1)
                for _ in range(6_000):
                    if watch_stream.pending and watch_stream.pending.transport is None:
                        self.connect(port).dataReceived(received)
                    self.advance(0.01)
                self.assertLess(self.connect_count(port), limit, (port, polled, received))


class DedicatedWatchEndTest(NetworkTestCase):
    """What the agent has counts as notified whether or not a watch is open.

    An endpoint's drain has a grace of 0.25 s in the settings of most deployments.
    """

    GRACE_SECONDS = 0.25

    def end_watch(self, ending):
        """Ends the watch, which has delivered a list, in this way."""
        watch = self.network.proxy.endpoints.watch.current
        if ending == "reset":
            watch.connectionLost(Failure(ConnectionLost()))
        elif ending == "closed":
            watch.connectionLost(Failure(ConnectionDone()))
        elif ending == "response ended":
            watch.dataReceived(b"0\r\n\r\n")
        else:
            watch.dataReceived(encode_chunk(b"noise\n"))

    # Guards against requests to an endpoint that drained while no watch was open.
    def test_drain_after_the_end_of_a_watch_is_noticed_within_the_grace(self):
        for ending, seconds_open in itertools.product(
            ("reset", "closed", "response ended", "malformed"), (0.05, 0.3, 1.0, 3.0)
        ):
            with self.subTest(ending, seconds_open=seconds_open):
                self.network = Network(endpoint_entry("s-1"))
                self.advance(0.1)
                self.connect(2, list_message(8, "s-1"))
                self.advance(seconds_open)
                self.end_watch(ending)
                self.advance_until_requested(2, self.GRACE_SECONDS / 2)
                draining = endpoint_entry("s-1", state="Terminating")
                message = {"version": 9, "full": True, "servers": [draining]}
                self.connect(2, json.dumps(message).encode() + b"\n")
                self.assertRegex(self.network.ask().transport.value(), b"^-BUSY")

    def test_watch_is_requested_again_soon_after_several_ends(self):
        for _ in range(4):
            self.connect(2, list_message(8, "s-1"))
            self.advance(0.6)
            self.end_watch("reset")
            self.advance_until_requested(2, self.GRACE_SECONDS / 2)

    # Guards against a drain that is followed too late after the agent was down for some seconds.
    def test_agent_that_refuses_connections_is_asked_again_soon(self):
        for _ in range(100):
            self.network.refuse(self.last_connect(2))
            self.advance_until_requested(2, self.GRACE_SECONDS / 2)

    def test_agent_that_resets_or_turns_away_is_asked_again_soon(self):
        for ending in ("reset", "turned away", "never connected"):
            self.network = Network(endpoint_entry("s-1"))
            for _ in range(100):
                began = self.network.reactor.seconds()
                last = self.last_connect(2)
                if ending == "turned away":
                    self.network.connect(last).dataReceived(HEAD.replace(b"200", b"503"))
                elif ending == "reset":
                    self.network.connect(last).connectionLost(Failure(ConnectionLost()))
                else:
                    while not self.network.reactor.connectors[last].stoppedConnecting:
                        self.advance(0.01)
                    self.network.refuse(last)
                self.advance_until_requested(2, self.GRACE_SECONDS / 2)
                self.assertLess(self.network.reactor.seconds() - began, self.GRACE_SECONDS / 2)


class InvalidInputTest(NetworkTestCase):
    def assert_input_ends_stream(self, port, *received):
        """Checks that this input ends its stream and nothing else; returns the logged reason.

        The length of the reason is bounded.
        """
        network = self.network = Network(endpoint_entry("s-1"))
        watch_stream, lines = (
            {2: network.proxy.endpoints.watch, 3: network.proxy.releases.stream}[port],
            [],
        )
        watch_stream.log = lambda event, **fields: lines.append((event, fields["reason"]))
        stream, state_before = (
            self.connect(port, HEARTBEAT[port]),
            (network.proxy.listed_endpoints, network.proxy.releases.latest),
        )
        other = self.connect(5 - port, HEARTBEAT[5 - port])
        for data in received:
            if not stream.transport.disconnected:
                stream.dataReceived(data)
        self.assertTrue(stream.transport.disconnected, received[0][:200])
        self.assertEqual([event for event, _ in lines], ["stream ended"])
        self.assertRegex(lines[0][1], "^unreadable: .{5,}")
        self.assertLessEqual(len(lines[0][1]), 200)
        self.assertEqual(
            ((network.proxy.listed_endpoints, network.proxy.releases.latest), network.faults),
            (state_before, []),
        )
        self.assertFalse(other.transport.disconnected)
        return lines[0][1]

    def test_oversized_input_ends_its_stream(self):
        for port in (2, 3):
            for flood, times in (
                (encode_chunk(b"x" * 65536), 70),
                (b"1" * 4096, 5),
                (b"1;" + b"x" * 4096, 5),
                (encode_chunk(b"data: " + b"x" * 60_000 + b"\n"), 3),
            ):
                self.assert_input_ends_stream(port, *[flood] * times)

    def test_endless_trailers_are_treated_as_silence(self):
        for port in (2, 3):
            self.network, elapsed = Network(endpoint_entry("s-1")), 0
            stream = self.connect(port, HEARTBEAT[port])
            stream.dataReceived(b"0\r\n")
            while self.connect_count(port) == 1 and elapsed < 9:
                stream.dataReceived(b"X: y\r\n" * 99)
                self.advance(0.5)
                elapsed += 0.5
            self.assertLess(elapsed, 5.1)

    def test_invalid_chunk_sizes_end_the_stream(self):
        for size in (
            b"",
            b"-1",
            b"+1",
            b"0x1",
            b"1_0",
            b"zz",
            b" 1",
            b"fffffff",
            b"f" * 9,
            b"\xb2",
            b"1;"[1:],
        ):
            self.assert_input_ends_stream(2, size + b"\r\n")

    def test_invalid_heads_are_malformed(self):
        for head in (
            b"HTTP/1.1 \xb2\xb2\xb2 X",
            b"HTTP/1.1 " + b"9" * 5000 + b" X",
            b"HTTP/1.1 200 OK\r\nContent-Length: \xb2",
            b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 1_0",
            b"x" * 20_000,
        ):
            with self.assertRaises(http.MalformedHttpError, msg=head[:60]):
                list(http.Parser().feed(head + b"\r\n\r\n"))

    def test_invalid_numbers_in_a_list_end_its_stream(self):
        for key, values in (
            ("weight", ("1e300", "5e-324", "-1", "0", "1e999", "NaN", "true", '"1"', "null")),
            ("started_ms", ("-1", "1e300", "1e999", "true", '"0"', "999999999999999999")),
            ("image_id", ("-1", "1.5", "true", "99999999999999999999")),
            ("cell", ("1.5", "true", '"3"')),
            ("addr", ('"127.0.0.1:0"', '"127.0.0.1:65536"', '"127.0.0.1:\u00b2"', '":7"', "5")),
        ):
            for value in values:
                one = (
                    '{"id":"s-2","addr":"127.0.0.1:7","state":"Ready"}'.replace(
                        '"addr":"127.0.0.1:7",', ""
                    )
                    if key == "addr"
                    else '{"id":"s-2","addr":"127.0.0.1:7","state":"Ready"}'
                )
                text = '{"version":9,"full":true,"servers":[%s]}\n' % one.replace(
                    "}", f',"{key}":{value}}}'
                )
                reason = self.assert_input_ends_stream(2, encode_chunk(text.encode()))
                self.assertTrue(
                    f"servers.0.{key}" in reason or "invalid JSON" in reason, (key, value, reason)
                )
        for version in ("true", "-1", "1.5", "null", "99999999999999999999"):
            self.assert_input_ends_stream(
                2, encode_chunk(b'{"version":%s,"full":true,"servers":[]}\n' % version.encode())
            )
        for full in ("1", '"yes"', "null"):
            self.assert_input_ends_stream(
                2, encode_chunk(b'{"version":9,"full":%s,"servers":[]}\n' % full.encode())
            )
        self.assert_input_ends_stream(
            2, encode_chunk(b'{"version":9,"servers":[{"state":"%s"}]}\n' % (b"x" * 99_999))
        )

    def test_invalid_numbers_in_release_events_end_their_stream(self):
        good = {
            "progress": {
                "version": 42,
                "step": 1,
                "status": "trial",
                "maxWeight": 0.5,
                "observedAgoMs": 5,
            },
            "metrics": {
                "version": 41,
                "kind": "read",
                "requests": 9,
                "failures": 1,
                "avgMs": 2,
                "observedAgoMs": 5,
            },
        }
        odd = ("-1", "nan", "inf", "-inf", "1e300", "", "x", "9" * 5000)
        for event, fields in good.items():
            for name in fields.keys() - {"status", "kind"}:
                for value in odd:
                    data = "&".join(
                        f"{key}={value if key == name else one}" for key, one in fields.items()
                    )
                    reason = self.assert_input_ends_stream(
                        3, encode_chunk(f"event: {event}\ndata: {data}\n\n".encode())
                    )
                    self.assertIn(name, reason)
            self.assert_input_ends_stream(
                3, encode_chunk(f"event: {event}\ndata: {'a=1&' * 200}\n\n".encode())
            )

    def test_counts_without_successes_have_no_mean_latency(self):
        form = "version=42&kind=read&requests=3&failures=3&avgMs=nan&observedAgoMs=5"
        self.assertEqual(platform.read_event("metrics", form), FleetCounts(42, "read", 3, 3, 0, 50))

    def test_endless_event_is_bounded(self):
        events, fed = http.EventStream(), 0
        with self.assertRaisesRegex(http.MalformedHttpError, "event exceeds the size limit"):
            while fed < 10 * http.MAX_EVENT_BYTES:
                list(events.feed(b"data: x\n"))
                fed += 8
        self.assertLessEqual(fed, http.MAX_EVENT_BYTES + 16)


class HttpCallTest(NetworkTestCase):
    ROLLOUT_STATE_XML = (
        b'<?xml version="1.0"?><Response><entries><item><version>41</version><step>1</step><status>released'
        b"</status><maxWeight>1</maxWeight><observedAgoMs>310</observedAgoMs></item></entries></Response>"
    )

    def setUp(self):
        super().setUp()
        self.events, proxy = [], self.network.proxy
        proxy.engine.handle = lambda now, events: self.events.extend(events) or []

    def vote(self):
        self.network.proxy.releases.cast_vote(CastVote(41, 1, Verdict.ABORT))

    def outcomes(self):
        return [
            event.outcome
            for event in self.events
            if type(event) is ReleaseUpdate and event.answers_vote
        ]

    def connect_and_write(self, port=3):
        call = self.connect(port)
        call.resumeProducing()
        return call

    def response_with_length(self, body, status=200):
        return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)

    def test_vote_in_flight_during_an_address_change_ends_once(self):
        for end, outcome in (
            ("answer", Outcome.DONE),
            ("reset", Outcome.TIMED_OUT),
            ("nothing", Outcome.TIMED_OUT),
            ("no dial", Outcome.ERROR),
        ):
            self.setUp()
            former = self.network.proxy.platform
            self.vote()
            dialled = self.last_connect(3)
            call = None if end == "no dial" else self.connect_and_write()
            AddressChangeTest.move(self, self.network, platform=9)
            self.vote()
            self.assertEqual(
                (
                    former.calls_in_flight,
                    self.network.proxy.platform.calls_in_flight,
                    self.connect_count(9),
                ),
                (1, 1, 2),
            )
            if end == "answer":
                call.dataReceived(self.response_with_length(self.ROLLOUT_STATE_XML))
                self.assertTrue(call.transport.disconnected)
            elif end == "reset":
                call.connectionLost(Failure(ConnectionLost()))
            elif end == "no dial":
                self.network.refuse(dialled)
            else:
                self.advance(1.3)
                self.assertTrue(call.transport.disconnected)
                call.dataReceived(self.response_with_length(self.ROLLOUT_STATE_XML))
            self.assertEqual((self.outcomes()[0], former.calls_in_flight), (outcome, 0), end)
            self.assertEqual(len(self.outcomes()), 1)

    def test_data_after_a_call_timeout_is_ignored(self):
        for before, after in (
            (b"", self.response_with_length(self.ROLLOUT_STATE_XML)),
            (
                self.response_with_length(self.ROLLOUT_STATE_XML)[:60],
                self.response_with_length(self.ROLLOUT_STATE_XML)[60:],
            ),
        ):
            self.setUp()
            self.vote()
            call = self.connect_and_write()
            call.dataReceived(before)
            self.advance(1.3)
            self.assertEqual(self.outcomes(), [Outcome.TIMED_OUT])
            call.dataReceived(after)
            call.connectionLost(Failure(ConnectionDone()))
            self.assertEqual(
                (self.outcomes(), self.network.proxy.platform.calls_in_flight),
                ([Outcome.TIMED_OUT], 0),
            )

    def test_second_response_in_one_read_is_ignored(self):
        self.vote()
        call = self.connect_and_write()
        call.dataReceived(
            self.response_with_length(b"<Error><Code>throttled</Code></Error>", 400)
            + self.response_with_length(self.ROLLOUT_STATE_XML)
        )
        self.assertEqual(self.outcomes(), [Outcome.REJECTED])

    def test_interim_responses_are_skipped_and_bodiless_ones_end(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n"
        for received, outcomes in (
            (interim + self.response_with_length(self.ROLLOUT_STATE_XML), [Outcome.DONE]),
            (interim, []),
            (b"HTTP/1.1 204 X\r\nContent-Length: 9\r\n\r\n", [Outcome.TIMED_OUT]),
            (b"HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n", [Outcome.TIMED_OUT]),
        ):
            for step in (1, len(received)):
                self.setUp()
                self.vote()
                call = self.connect_and_write()
                for at in range(0, len(received), step):
                    call.dataReceived(received[at : at + step])
                self.assertEqual(self.outcomes(), outcomes, received)
        stream = self.connect(2)
        stream.dataReceived(interim + HEAD + encode_chunk(list_message(9, "s-2")))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])

    def test_unusual_framing_has_one_outcome_in_time(self):
        size = b"%x" % len(self.ROLLOUT_STATE_XML)
        whole = HEAD + size + b' ;a="b;c"\r\n' + self.ROLLOUT_STATE_XML + b"\r\n00;x\r\nX: y\r\n"
        for received, outcome, at_once in (
            (whole + b"\r\n", Outcome.DONE, True),
            (whole + b"X: y\r\n" * 9000, Outcome.TIMED_OUT, False),
            (HEAD + size + b"\n" + self.ROLLOUT_STATE_XML + b"\n0\n\n", Outcome.TIMED_OUT, False),
            (HEAD + b"\r\n", Outcome.TIMED_OUT, True),
            (HEAD + size + b";" + b"x" * 17_000, Outcome.TIMED_OUT, True),
            (whole + b"x" * 17_000, Outcome.TIMED_OUT, True),
            (HEAD + b"0\r\n\r\n", Outcome.TIMED_OUT, True),
            (self.response_with_length(b""), Outcome.TIMED_OUT, True),
            (self.response_with_length(b"", 500), Outcome.TIMED_OUT, True),
            (self.response_with_length(b"", 301), Outcome.TIMED_OUT, True),
        ):
            self.setUp()
            self.vote()
            call = self.connect_and_write()
            call.dataReceived(received)
            self.assertEqual(
                (self.outcomes(), call.transport.disconnected),
                ([outcome] * at_once, at_once),
                received[:90],
            )
            self.assertLess(len(call.parser.rest), 20_000)
            self.advance(1.3)
            self.assertEqual(
                (self.outcomes(), self.network.proxy.platform.calls_in_flight),
                ([outcome], 0),
                received[:90],
            )

    def test_response_without_length_is_complete_only_after_a_clean_close(self):
        for end, cut, outcome in (
            (ConnectionDone, 0, Outcome.DONE),
            (ConnectionLost, 0, Outcome.TIMED_OUT),
            (ConnectionDone, 60, Outcome.TIMED_OUT),
        ):
            self.setUp()
            self.vote()
            call = self.connect_and_write()
            call.dataReceived(
                b"HTTP/1.1 200 OK\r\n\r\n"
                + self.ROLLOUT_STATE_XML[: len(self.ROLLOUT_STATE_XML) - cut]
            )
            self.assertEqual(self.outcomes(), [])
            call.connectionLost(Failure(end()))
            self.assertEqual((self.outcomes(), self.network.faults), ([outcome], []))

    def test_vote_may_count_after_a_close_only_if_completely_written(
        self,
    ):
        for whole, end in itertools.product((False, True), (ConnectionDone, ConnectionLost)):
            self.setUp()
            self.vote()
            call = self.connect(3)
            call.resumeProducing() if whole else None
            call.connectionLost(Failure(end()))
            self.assertEqual(
                (self.outcomes(), self.network.proxy.platform.calls_in_flight),
                ([Outcome.TIMED_OUT if whole else Outcome.ERROR], 0),
            )

    def test_vote_may_count_after_a_truncated_response(self):
        self.vote()
        call = self.connect_and_write()
        call.dataReceived(self.response_with_length(self.ROLLOUT_STATE_XML)[:-9])
        call.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.outcomes(), [Outcome.TIMED_OUT])

    def test_timers_of_completed_calls_and_connects_have_no_effect(self):
        self.vote()
        call, stream = self.connect_and_write(), self.connect(2, HEARTBEAT[2])
        connect_indices = self.last_connect(3), self.last_connect(2)
        call.dataReceived(self.response_with_length(self.ROLLOUT_STATE_XML))
        self.advance(0.3)
        pending_timers = self.network.proxy.timers.pending.values()
        self.assertEqual(
            [due for due, _ in pending_timers if getattr(due, "__self__", None) in (call, stream)],
            [],
        )
        self.assertEqual(
            [self.network.reactor.connectors[at].stoppedConnecting for at in connect_indices],
            [False, False],
        )
        self.assertFalse(stream.transport.disconnected)

    def test_calls_above_the_maximum_fail_and_slots_are_released(self):
        for _ in range(20):
            self.vote()
        self.assertEqual(self.outcomes(), [Outcome.ERROR] * 4)
        self.advance(0.3)
        for at, connector in enumerate(self.network.reactor.connectors):
            if connector.stoppedConnecting and self.network.reactor.tcpClients[at][1] == 3:
                self.network.refuse(at)
        self.assertEqual(
            (self.outcomes(), self.network.proxy.platform.calls_in_flight),
            ([Outcome.ERROR] * 20, 0),
        )

    def test_body_in_single_bytes_uses_memory_of_its_length(self):
        self.vote()
        call = self.connect_and_write()
        call.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n")
        tracemalloc.start()
        for _ in range(10_000):
            call.dataReceived(b"x")
        traced_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(traced_bytes, 100_000)

    def test_each_fetch_has_one_result(self):
        for received, kind in (
            (self.response_with_length(list_message(9, "s-2")), UpdateKind.FULL),
            (self.response_with_length(list_message(3, "s-2")), UpdateKind.FETCH_FAILED),
            (self.response_with_length(b"noise"), UpdateKind.FETCH_FAILED),
            (self.response_with_length(b"", 503), UpdateKind.FETCH_FAILED),
            (
                self.response_with_length(
                    list_message(9, "s-2").replace(b"}]", b',"started_ms":1e300}]')
                ),
                UpdateKind.FETCH_FAILED,
            ),
            (b"noise\r\n\r\n", UpdateKind.FETCH_FAILED),
        ):
            self.setUp()
            self.network.proxy.endpoints.fetch(FetchEndpoints())
            self.connect_and_write(2).dataReceived(received)
            self.assertEqual(
                [event.kind for event in self.events if type(event) is EndpointUpdate],
                [kind],
                received[:60],
            )

    def test_list_fetched_from_the_former_address_is_ignored(self):
        self.network.proxy.endpoints.fetch(FetchEndpoints())
        call = self.connect_and_write(2)
        AddressChangeTest.move(self, self.network, discovery=8)
        stream = self.connect(8, list_message(3, "s-2"))
        call.dataReceived(self.response_with_length(list_message(9, "s-3")))
        self.assertEqual(list(self.network.proxy.listed_endpoints), ["s-2"])
        stream.dataReceived(encode_chunk(list_message(4, "s-4")))
        self.assertEqual(
            (list(self.network.proxy.listed_endpoints), stream.transport.disconnected),
            (["s-4"], False),
        )
        self.assertEqual(
            [event.kind for event in self.events if type(event) is EndpointUpdate],
            [UpdateKind.FULL, UpdateKind.FETCH_FAILED, UpdateKind.FULL],
        )


class MergedDeltasTest(NetworkTestCase):
    """Deltas that arrive in one chunk are merged, with the same result as one by one."""

    def feed(self, chunks):
        network, lists = Network(endpoint_entry("s-1"), endpoint_entry("s-2", 42)), []
        handle = network.proxy.engine.handle
        network.proxy.engine.handle = lambda now, events: (
            lists.extend(event for event in events if type(event) is EndpointUpdate)
            or handle(now, events)
        )
        stream = network.connect(0)
        stream.dataReceived(HEAD)
        for content in chunks:
            stream.dataReceived(encode_chunk(content))
        proxy = network.proxy
        known = {name: known.listed for name, known in proxy.engine.context.endpoints.items()}
        self.assertEqual(
            (known, proxy.addresses.keys()), (proxy.listed_endpoints, proxy.listed_endpoints.keys())
        )
        return (
            known,
            proxy.addresses,
            proxy.endpoints.version,
            stream.transport.disconnected,
        ), len(lists)

    def test_deltas_in_one_chunk_have_the_same_result_as_one_by_one(self):
        rng = random.Random(5)
        for _ in range(200):
            texts = []
            for version in range(8, 8 + rng.randint(1, 12)):
                servers = [
                    endpoint_entry(
                        f"s-{rng.randint(1, 4)}",
                        rng.choice((41, 42)),
                        rng.choice(("Ready", "Terminating", "Gone")),
                        addr=f"h:{rng.randint(1, 9)}",
                        started_ms=rng.choice((0, 9)),
                    )
                    for _ in range(rng.randint(0, 3))
                ]
                whole = bool(servers) and rng.random() < 0.1
                texts.append(
                    json.dumps({"version": version, "full": whole, "servers": servers}).encode()
                    + b"\n"
                )
            texts.insert(rng.randint(0, len(texts)), rng.choice((b"\n", b"noise\n", b"\n")))
            self.assertEqual(self.feed([b"".join(texts)])[0], self.feed(texts)[0], texts)

    def test_hundreds_of_deltas_in_one_chunk_are_one_update(self):
        _, lists = self.feed(
            [b"".join(list_message(8 + at, f"s-{at}", full=False) for at in range(1, 400))]
        )
        self.assertEqual(lists, 1)

    # Guards against connections and attempts that outlive an endpoint told as gone, if it is told as
    # back in the same chunk.
    def test_endpoint_that_goes_and_comes_back_is_replaced_at_any_chunk_border(self):
        for started in (0, 9):  # the same start time, and another one
            gone, back = (
                json.dumps({"version": version, "servers": [entry]}).encode() + b"\n"
                for version, entry in (
                    (8, endpoint_entry("s-1", state="Gone")),
                    (9, endpoint_entry("s-1", started_ms=started)),
                )
            )
            for contents in ((gone + back,), (gone, back)):
                with self.subTest(started=started, chunks=len(contents)):
                    network = Network(endpoint_entry("s-1"))
                    network.ask("01")
                    idle = network.connect()
                    idle.resumeProducing()
                    idle.dataReceived(VALUE_RESPONSE)
                    stream = network.connect(0)
                    stream.dataReceived(HEAD)
                    network.ask("02")  # waits for a connection, as the first one rests
                    for content in contents:
                        stream.dataReceived(encode_chunk(content))
                    self.assertTrue(idle.transport.disconnecting)
                    self.assertEqual(
                        network.connect(network.initial_dials + 1).transport.value(), b""
                    )
                    if len(contents) == 1:  # otherwise no endpoint is left in between
                        self.assertEqual(network.dialled_ports(), [7001] * 3)
                        current = network.connect()
                        self.assertIn(b"$2\r\n02\r\n", current.transport.value())


class IndentedListTest(NetworkTestCase):
    def test_multi_line_list_is_used_once_complete_at_any_chunk_boundary(self):
        for indent in (None, 0, 1, 4):
            for step in (1, 7, 100_000):
                network = Network(endpoint_entry("s-1", zone='a"}[\\'))
                stream, body = network.connect(0), list_message(9, "s-2", "s-3", indent=indent)
                stream.dataReceived(HEAD)
                for at in range(0, len(body), step):
                    self.assertEqual(list(network.proxy.listed_endpoints), ["s-1"])
                    stream.dataReceived(encode_chunk(body[at : at + step]))
                self.assertEqual(list(network.proxy.listed_endpoints), ["s-2", "s-3"])
                stream.dataReceived(
                    encode_chunk(
                        b"\n"
                        + list_message(10, "s-4", indent=2)
                        + b"\n\n"
                        + list_message(11, "s-5")
                    )
                )
                self.assertEqual(
                    (list(network.proxy.listed_endpoints), network.proxy.endpoints.version),
                    (["s-5"], 11),
                )
                self.assertFalse(stream.transport.disconnected)

    def test_brackets_and_quotes_in_strings_and_other_layouts(self):
        odd = {
            "version": 9,
            "full": True,
            "servers": [endpoint_entry("s-2", zone='}]"{[\\', kind='\\"')],
        }
        for text in (
            json.dumps(odd, indent=2),
            '{"version":9,"full":true,"servers":[\n  {"id":"s-2","addr":"h:7",'
            '"state":"Ready","weight":1.5e0,"cell":-1}]}',
            '{\n\n"version":9,"full":true,"servers":[]}',
        ):
            lists = discovery.ListParser()
            found = list(lists.feed(text.encode() + b"\r\n\n"))
            self.assertEqual(found, [json.loads(text), None])

    def test_invalid_line_raises_at_once(self):
        for text in (
            b"noise\n",
            b'{"version":9]\n',
            b'{"version":9,\n"servers":[}\n',
            b"{\nnoise\n",
            b'{"a\n',
            b"}\n",
            b'{"version":\n}\n',
            b"[\n",
            b"{\n}}\n",
            b'{"a":1}{"b":2}\n',
            b'{\n"a":1\n}{\n',
        ):
            with self.assertRaises(discovery.UnreadableListError, msg=text):
                list(discovery.ListParser().feed(text))

    def test_truncated_list_raises_once_another_begins(self):
        for whole in (
            list_message(9, "s-2", "s-3"),
            list_message(9, "s-2", "s-3", indent=0),
            list_message(9, "s-2", "s-3", indent=2),
        ):
            ends = range(
                whole.index(b"version") + 9, len(whole) - 2
            )  # a list cut before its version is only noticed by its silence
            for at, indent, sign in itertools.product(ends, (None, 2), (b"", b"\n", b"\n\n\n")):
                lists, another = (
                    discovery.ListParser(),
                    list_message(10, "s-4", "s-5", indent=indent),
                )
                with self.assertRaises(discovery.UnreadableListError, msg=whole[:at] + sign):
                    list(lists.feed(whole[:at] + sign + another))
        keys = list_message(9, "s-2", indent=2).replace(b'"s-2"', b'"\\"servers\\": ["')
        self.assertEqual(len(list(discovery.ListParser().feed(keys * 3))), 3)

    def test_endless_list_is_bounded(self):
        lists, line, fed = discovery.ListParser(), b'"' + b"x" * 60_000 + b'":1,\n', 0
        list(lists.feed(b"{\n"))
        with self.assertRaisesRegex(discovery.UnreadableListError, "too long"):
            while fed < 2 * http.MAX_LINE_BYTES:
                list(lists.feed(line))
                fed += len(line)
        self.assertLessEqual(fed, http.MAX_LINE_BYTES)

    def test_list_of_five_thousand_endpoints_on_one_line_or_indented(self):
        names = [f"s-{at}" for at in range(5000)]
        for indent in (None, 4):
            body, lists, found = list_message(9, *names, indent=indent), discovery.ListParser(), []
            for at in range(0, len(body), 65536):
                found += lists.feed(body[at : at + 65536])
            self.assertEqual([len(one["servers"]) for one in found], [5000])


class SocketTest(unittest.TestCase):
    def setUp(self):
        self.old, self.new = FakeEndpoint(), FakeEndpoint()
        with (
            without_first_list_timeout()
        ):  # the sidecar only serves once a watch stream is established
            self.running = Program(self.old.entry("s-1"))
        self.running.__enter__()
        for last in (self.running.__exit__, self.old.close, self.new.close):
            self.addCleanup(last)

    def wait_until_new_endpoint_is_used(self):
        with self.running.client() as client:
            number = itertools.count()
            wait_until(
                lambda: not self.new.received_commands.empty(),
                lambda: client.request("SVC.QUERY", "a", f"{next(number)}", "c=read,d=4000"),
            )

    def full_list(self, version, **more):
        return (
            json.dumps(
                {"version": version, "full": True, "servers": [self.new.entry("s-2")]}, **more
            )
            + "\n"
        )

    def test_indented_list_in_pieces_between_heartbeats(self):
        streams_before, text = list(self.running.discovery.streams), self.full_list(9, indent=4)
        self.running.discovery.push_raw(
            "\n", *(text[at : at + 50] for at in range(0, len(text), 50)), "\n"
        )
        self.wait_until_new_endpoint_is_used()
        self.assertTrue(
            [one for one in streams_before if one in self.running.discovery.streams]
        )  # the stream was not replaced

    def test_invalid_line_in_an_indented_list_ends_only_the_watch_and_is_logged(self):
        self.running.discovery.push_raw('{"version": 9,\n"full": true,\nnoise\n')
        wait_until(
            lambda: "noise" in self.running.wait_for_log("stream ended")["reason"], lambda: None
        )
        self.running.discovery.stream_requests.get(timeout=TIMEOUT_SECONDS)
        self.running.discovery.push_raw(self.full_list(10))
        self.wait_until_new_endpoint_is_used()

    def test_connects_that_never_complete_at_a_new_address_are_given_up(self):
        """The listener's backlog is full, so the kernel drops new connections until it accepts some."""
        with socket.socket() as listener, contextlib.ExitStack() as fillers:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            at = listener.getsockname()
            for _ in range(3):
                filler = fillers.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(at)
            self.running.write_config({**self.running.config, "discovery": "%s:%d" % at})
            self.running.process.send_signal(signal.SIGHUP)
            for _ in range(2):  # a stream at the former address may have ended before
                while self.running.wait_for_log("stream ended")["address"] != "%s:%d" % at:
                    pass
            body = HEAD + encode_chunk(self.full_list(3).encode())

            def answers():
                """Answers the watch requests.

                The filler connections send nothing. A connection that was given up may have sent a
                request before.
                """
                with contextlib.suppress(OSError):
                    while True:
                        connection = fillers.enter_context(listener.accept()[0])
                        connection.settimeout(0.3)
                        with contextlib.suppress(OSError):
                            if connection.recv(4096).startswith(b"GET"):
                                connection.sendall(body)

            answering = threading.Thread(target=answers, daemon=True)
            answering.start()
            fillers.callback(answering.join)
            fillers.callback(listener.shutdown, socket.SHUT_RDWR)
            self.wait_until_new_endpoint_is_used()


if __name__ == "__main__":
    unittest.main()
