"""Ends of attempts, connections and dials to endpoints, with the order of events controlled."""

import array
import fcntl
import itertools
import queue
import random
import select
import signal
import socket
import struct
import termios
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from tests.integration.test_sockets import MARK, PAY, READ, WithPods, value
from tests.support.peers import TIMEOUT_SECONDS, FakeEndpoint, read_command, wait_until
from tests.support.programs import encode_command
from tests.unit.proxy.test_proxy import VALUE_RESPONSE, Network, Transport, endpoint_entry
from thymeknot.interface.actions import SendAttempt
from thymeknot.interface.enums import Outcome, ReleasePhase
from thymeknot.interface.events import LateResponseSeen, ReleaseUpdate
from thymeknot.policy.sticky_keys import MAX_REMEMBERED_KEYS
from thymeknot.protocol import discovery
from thymeknot.protocol.pod import PodConnection
from thymeknot.service import structured_log
from thymeknot.simulation.invariants import InvariantChecker
from thymeknot.state import connection_pool
from thymeknot.state.trial_exposure import TrialExposure


class ResetTransport(Transport):
    """A transport reset by the peer, before the reactor has reported it."""

    def shutdown(self, how):
        raise OSError


def record_attempt_ends(network):
    """Returns a list to which the end of each attempt is added."""
    ends, attempt_ended = [], network.proxy.attempt_ended

    def record(attempt, outcome, response=None):
        ends.append((attempt.request.id, attempt.number, outcome))
        return attempt_ended(attempt, outcome, response)

    network.proxy.attempt_ended = record
    return ends


def advance(network, seconds):
    network.reactor.advance(seconds)
    network.reactor.advance(0)


def dialled_endpoint_ports(network):
    return [port for port in network.dialled_ports() if port > 7000]


class AttemptEndTest(unittest.TestCase):
    def test_partially_written_attempt_ends_once(self):
        for end, outcome in (("time", Outcome.CONNECT_FAILED), ("client", Outcome.CANCELLED)):
            network = Network(endpoint_entry("s-1"))
            ends, client = record_attempt_ends(network), network.ask(timeout_ms=200)
            connection = network.connect()
            if end == "time":
                advance(network, 0.2)
            else:
                client.connectionLost(Failure(ConnectionLost()))
            self.assertTrue(connection.transport.disconnected)
            self.assertEqual(ends, [("01", 0, outcome)])
            self.assertEqual(
                (len(network.proxy.requests_in_flight), network.proxy.requests.by_id), (0, {})
            )

    def test_attempt_abandoned_while_the_endpoint_closes_ends_once(self):
        for end, outcome in (("time", Outcome.TIMED_OUT), ("client", Outcome.CANCELLED)):
            network = Network(endpoint_entry("s-1"))
            ends, client = record_attempt_ends(network), network.ask(timeout_ms=200)
            connection = network.connect()
            connection.resumeProducing()
            connection.transport.__class__ = ResetTransport
            if end == "time":
                advance(network, 0.2)
            else:
                client.connectionLost(Failure(ConnectionLost()))
            connection.connectionLost(Failure(ConnectionLost()))
            self.assertEqual(ends, [("01", 0, outcome)])
            self.assertEqual(
                (len(network.proxy.requests_in_flight), len(network.proxy.pools)), (0, 0)
            )

    def test_received_response_wins_over_a_deadline_of_the_same_reactor_turn(self):
        network, deferred_calls = Network(endpoint_entry("s-1")), []
        timers, wake = network.proxy.timers, network.proxy.timers.wake
        # The reactor reads its sockets between timer calls, so a call without delay runs a turn later.
        timers.wake = lambda seconds, *call: (
            deferred_calls.append(call) if not seconds else wake(seconds, *call)
        )
        client = network.ask(timeout_ms=200)
        connection = network.connect()
        connection.resumeProducing()
        network.reactor.advance(0.2)
        self.assertEqual((len(deferred_calls), client.transport.value()), (1, b""))
        connection.dataReceived(VALUE_RESPONSE)
        deferred_calls[0][0](*deferred_calls[0][1:])
        self.assertEqual(client.transport.value(), b"$1\r\nv\r\n")

    def test_abandoned_attempt_makes_its_key_sticky_once_and_later_bytes_answer_nothing(self):
        network = Network(
            endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
        )
        client = network.ask(timeout_ms=200)
        connection = network.connect()
        connection.resumeProducing()
        advance(network, 0.2)
        network.proxy.engine.pinned_keys.clear()
        connection.dataReceived(VALUE_RESPONSE + VALUE_RESPONSE)
        self.assertEqual(network.proxy.engine.pinned_keys, {"key"})
        self.assertTrue(connection.transport.disconnected)
        self.assertEqual(client.transport.value().count(b"\r\n"), 1)
        connection.connectionLost(Failure(ConnectionLost()))
        advance(network, 6)
        self.assertEqual((network.faults, len(network.proxy.pools)), ([], 0))


class IdleConnectionEndTest(unittest.TestCase):
    """The reactor reports a lost connection one turn after it was closed."""

    def network_with_idle_connection(self):
        network = Network(endpoint_entry("s-1"))
        network.ask("01")
        connection = network.connect()
        connection.resumeProducing()
        connection.dataReceived(VALUE_RESPONSE)
        advance(network, 0.1)
        connection.transport.clear()
        return network, connection

    def test_attempt_during_the_close_of_an_idle_connection_uses_another(self):
        for end in ("surplus response", "idle timeout", "endpoint removed"):
            network, connection = self.network_with_idle_connection()
            if end == "surplus response":
                connection.dataReceived(VALUE_RESPONSE)
            elif end == "endpoint removed":
                network.proxy.pools.close_idle("s-1")
            else:
                for _ in range(13):
                    advance(network, 1)
            self.assertTrue(connection.transport.disconnecting or connection.transport.disconnected)
            network.ask("02")
            self.assertEqual(
                (connection.transport.value(), dialled_endpoint_ports(network)),
                (b"", [7001, 7001]),
                end,
            )
            connection.connectionLost(Failure(ConnectionLost()))
            self.assertEqual(network.faults, [])

    def test_unread_end_of_stream_is_detected(self):
        network, connection = self.network_with_idle_connection()
        connection.transport.recv = lambda size, flags: b""
        network.ask("02")
        self.assertEqual(
            (connection.transport.value(), dialled_endpoint_ports(network)), (b"", [7001, 7001])
        )

    def test_idle_connection_keeps_nothing_of_answered_requests(self):
        network = Network(endpoint_entry("s-1"))
        network.ask("01")
        connection = network.connect()
        connection.resumeProducing()
        attempt = connection.on_response_started.__self__
        connection.dataReceived(VALUE_RESPONSE)
        self.assertIs(attempt.in_flight, False)
        self.assertNotIn(
            attempt,
            [getattr(attribute, "__self__", attribute) for attribute in vars(connection).values()],
        )

    def test_exception_after_a_response_loses_no_response(self):
        network = Network(endpoint_entry("s-1"))
        client = network.ask("01")
        connection = network.connect()
        connection.resumeProducing()
        network.proxy.pools.response_received = lambda _: 1 / 0
        faults, network.proxy.pools.fault = [], lambda *fault: faults.append(fault)
        connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual(
            (client.transport.value(), connection.transport.disconnected, len(faults)),
            (b"$1\r\nv\r\n", True, 1),
        )
        self.assertEqual(len(network.proxy.requests_in_flight), 0)


class LateResponseTest(unittest.TestCase):
    """Responses carry no id: a duplicate a few milliseconds late must not answer the next request."""

    def network_with_answered_request(self, *other_ids):
        """Returns a network whose first request was answered while the others wait for a connection."""
        network = Network(endpoint_entry("s-1"))
        clients = [network.ask("01")]
        connection = network.connect()
        connection.resumeProducing()
        clients += [network.ask(request_id) for request_id in other_ids]
        connection.dataReceived(VALUE_RESPONSE)
        connection.transport.clear()
        return network, connection, clients

    def test_second_response_during_the_rest_answers_nothing(self):
        malformed = b"*", b"\r\n", b"\xff" * 70_000, b"-BUSY\r\n", b"*3\r\n$1\r\nw\r\n$x"
        for request_waits, second_response in itertools.product(
            (True, False), (VALUE_RESPONSE.replace(b"v", b"w"), *malformed)
        ):
            network, connection, clients = self.network_with_answered_request(
                *["02"] * request_waits
            )
            network.reactor.advance(0.009)
            clients += [network.ask("02")] * (not request_waits)
            connection.dataReceived(second_response)
            network.reactor.advance(0.02)
            self.assertTrue(connection.transport.disconnected)
            self.assertEqual(
                (connection.transport.value(), clients[1].transport.value()), (b"", b"")
            )
            second_connection = network.connect()
            second_connection.resumeProducing()
            second_connection.dataReceived(VALUE_RESPONSE.replace(b"v", b"2"))
            self.assertEqual(clients[1].transport.value(), b"$1\r\n2\r\n")
            self.assertEqual(dialled_endpoint_ports(network), [7001, 7001])

    def test_connection_is_reused_after_its_rest(self):
        network, connection, _ = self.network_with_answered_request()
        network.reactor.advance(0.02)
        network.ask("02")
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())
        self.assertEqual(dialled_endpoint_ports(network), [7001])

    def test_longest_waiting_attempt_gets_the_rested_connection(self):
        network, connection, _ = self.network_with_answered_request("02", "03")
        network.reactor.advance(0.02)
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())
        self.assertIn(b"$2\r\n03\r\n", network.connect().transport.value())
        self.assertEqual(
            network.connect(-2).transport.value(), b""
        )  # no attempt is left for this dial

    def test_new_attempt_does_not_overtake_a_waiting_one(self):
        network, connection, _ = self.network_with_answered_request("02")
        network.proxy.timers.clock = lambda: 1_000_200  # after the rest, before its timer has fired
        network.ask("03")
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())
        self.assertIn(b"$2\r\n03\r\n", network.connect().transport.value())

    def test_dial_of_a_waiting_attempt_may_fail_while_a_connection_rests(self):
        network, connection, clients = self.network_with_answered_request("02")
        network.refuse()
        self.assertEqual(
            dialled_endpoint_ports(network), [7001, 7001, 7001]
        )  # not run, so it is dialled again
        network.reactor.advance(0.02)
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())

    def test_resting_connection_is_closed_at_the_connection_limit(self):
        network, connection, _ = self.network_with_answered_request()
        network.proxy.pools.max_connections = 1
        network.ask("02")
        self.assertTrue(connection.transport.disconnecting)
        self.assertEqual(dialled_endpoint_ports(network), [7001, 7001])

    def test_response_before_the_last_byte_was_written_does_not_count(self):
        network = Network(endpoint_entry("s-1"))
        client = network.ask("01", request_class="pay")
        connection = network.connect()
        connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual((client.transport.value(), connection.transport.disconnected), (b"", True))
        self.assertEqual(
            dialled_endpoint_ports(network), [7001, 7001]
        )  # not run, so even a non-idempotent request is retried


class RestartedEndpointTest(unittest.TestCase):
    def test_replacement_process_gets_nothing_on_earlier_connections(
        self,
    ):
        for changes in ({"build": 40}, {"started_ms": 9}):
            network = Network(endpoint_entry("s-1"))
            # Otherwise the key stays with the previous build, which has it in flight.
            network.proxy.engine.context.settings = network.proxy.settings._replace(
                sticky_keys=False
            )
            clients = [network.ask(request_id) for request_id in ("01", "02")]
            idle, in_use = (
                network.connect(network.initial_dials),
                network.connect(network.initial_dials + 1),
            )
            for connection in (idle, in_use):
                connection.resumeProducing()
            idle.dataReceived(VALUE_RESPONSE)
            clients.append(network.ask("03"))  # the idle connection rests, so a new one is dialled
            network.update_endpoints(endpoint_entry("s-1", **changes))
            self.assertTrue(idle.transport.disconnecting)
            self.assertEqual(network.connect(network.initial_dials + 2).transport.value(), b"")
            self.assertEqual(dialled_endpoint_ports(network), [7001] * 4)
            replacement = network.connect()
            self.assertIn(b"$2\r\n03\r\n", replacement.transport.value())
            replacement.resumeProducing()
            for connection in (
                in_use,
                replacement,
            ):  # attempts in flight may complete; the old connection then closes
                connection.dataReceived(VALUE_RESPONSE)
            self.assertEqual(
                (in_use.transport.disconnected, replacement.transport.disconnected), (True, False)
            )
            self.assertEqual([client.transport.value() for client in clients], [b"$1\r\nv\r\n"] * 3)


class ConnectionRestCostTest(unittest.TestCase):
    def count_dials(self, rest, requests_per_second, endpoint_count, response_steps):
        """Returns the dials in 30 s to endpoints that respond after `response_steps` steps of 5 ms."""
        network, random_source, connections, connected = (
            Network(*(endpoint_entry(f"s-{at}") for at in range(1, endpoint_count + 1))),
            random.Random(11),
            [],
            0,
        )
        client = network.client()
        with mock.patch.object(connection_pool, "REST_AFTER_RESPONSE", rest):
            for step in range(6000):
                if random_source.random() < requests_per_second / 200:
                    network.ask(f"{step}", connection=client)
                dials = [
                    client_dial
                    for client_dial in network.reactor.tcpClients[network.initial_dials :]
                    if client_dial[1] > 7000
                ]
                for dial in dials[connected:]:
                    connection = dial[2].buildProtocol(None)
                    connection.makeConnection(Transport())
                    connection.resumeProducing()
                    connections.append(connection)
                connected = len(dials)
                for connection in connections:
                    if connection.transport.disconnecting and not connection.transport.disconnected:
                        connection.transport.disconnected = True
                        connection.connectionLost(Failure(ConnectionLost()))
                    elif connection.pending_response is not None:
                        if connection.transport.value():
                            connection.transport.clear()
                            connection.resumeProducing() if not connection.written else None
                            connection.ends = step + response_steps
                        elif step >= connection.ends:
                            connection.dataReceived(VALUE_RESPONSE)
                network.reactor.advance(0.005)
        self.assertEqual(network.faults, [])
        return connected

    def test_rest_costs_few_connections_with_requests_spread_over_endpoints(self):
        before, after = (
            self.count_dials(rest, 20, 60, 20) for rest in (0, connection_pool.REST_AFTER_RESPONSE)
        )
        self.assertLessEqual(after, 1.05 * before + 2, (before, after))


class DuplicateResponsePeer(FakeEndpoint):
    """Responds a second time on the previous connection when a request arrives on another one.

    It then waits until the previous connection is closed, before it responds to the new request.
    """

    def __init__(self):
        self.previous, self.duplicates, self.closed_connections = None, 0, queue.Queue()
        super().__init__()

    def serve(self, connection, stream):
        try:
            while (words := read_command(stream)) is not None:
                previous, self.previous = self.previous, connection
                if previous not in (None, connection):
                    previous.sendall(value(b"a second answer"))
                    self.duplicates += 1
                    while self.closed_connections.get(timeout=TIMEOUT_SECONDS) is not previous:
                        pass
                connection.sendall(value(words[2]))
        finally:
            self.closed_connections.put(connection)


class LateResponseOverSocketsTest(WithPods):
    def test_second_response_does_not_answer_the_next_request(self):
        endpoint = DuplicateResponsePeer()
        self.addCleanup(endpoint.close)
        with self.program(endpoint.entry("s-1")).client() as client:
            request_ids = iter(range(10, 100_000))

            def send_two_requests():
                for request_id in (f"{next(request_ids)}", f"{next(request_ids)}"):
                    self.assertEqual(
                        client.request("SVC.QUERY", "a", request_id, READ), request_id.encode()
                    )

            # If the machine delays the second request beyond the rest, both use one connection: try again.
            wait_until(lambda: endpoint.duplicates, send_two_requests)


class CloseAfterResponsePeer(FakeEndpoint):
    """Closes the connection right after a response; the sidecar is stopped until both have arrived."""

    def __init__(self, reset):
        self.reset, self.process = reset, None
        super().__init__()

    def stop_process(self):
        self.process.send_signal(signal.SIGSTOP)
        wait_until(
            lambda: (
                Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(") ")[2][0] == "T"
            ),
            lambda: time.sleep(0.001),
        )

    def serve(self, connection, stream):
        words = read_command(stream)
        self.received_commands.put(words)
        self.stop_process()
        connection.sendall(value(words[2] * 1000))
        unread = array.array("i", [1])
        wait_until(
            lambda: unread[0] == 0, lambda: fcntl.ioctl(connection, termios.TIOCOUTQ, unread)
        )
        if self.reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.close()
        connection.close()
        self.process.send_signal(signal.SIGCONT)


class BytewiseResponsePeer(FakeEndpoint):
    """Sends its responses byte by byte."""

    def serve(self, connection, stream):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while (words := read_command(stream)) is not None:
            for byte in value(words[2]):
                connection.sendall(bytes((byte,)))


class ResponsesOverSocketsTest(WithPods):
    def test_complete_response_counts_if_the_connection_then_closes_or_resets(self):
        for reset in (False, True):
            endpoint = CloseAfterResponsePeer(reset)
            self.addCleanup(endpoint.close)
            running = self.program(endpoint.entry("s-1"))
            endpoint.process = running.process
            with running.client() as client:
                for request_id in (b"1", b"2"):
                    self.assertEqual(
                        client.request("SVC.SUBMIT", "a", request_id, PAY, "B"), request_id * 1000
                    )
            self.assertEqual(endpoint.received_commands.qsize(), 2)

    def test_response_in_single_bytes_is_assembled(self):
        endpoint = BytewiseResponsePeer()
        self.addCleanup(endpoint.close)
        with self.program(endpoint.entry("s-1")).client() as client:
            for request_id in (b"11", b"12"):
                self.assertEqual(
                    client.request("SVC.SUBMIT", "a", request_id, PAY, "B"), request_id
                )


class TruncatedResponseTest(unittest.TestCase):
    """A response that its connection cuts short is a reset, whatever has arrived of it.

    A declared length that is too large ends before a line break of the same response now and then;
    only what follows the value shows that.
    """

    def test_only_a_whole_response_is_served_where_the_connection_then_ends(self):
        for length, error_type in itertools.product(
            range(len(VALUE_RESPONSE) + 1), (ConnectionLost, ConnectionDone)
        ):
            network = Network(
                endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
            )
            ends, client = record_attempt_ends(network), network.ask("01", request_class="pay")
            connection = network.connect()
            connection.resumeProducing()
            connection.dataReceived(VALUE_RESPONSE[:length])
            connection.connectionLost(Failure(error_type()))
            whole = length == len(VALUE_RESPONSE)
            self.assertEqual(ends, [("01", 0, Outcome.DONE if whole else Outcome.RESET)], length)
            self.assertRegex(client.transport.value(), rb"^\$1\r\nv\r\n$" if whole else b"^-ERR")
            self.assertEqual(
                (network.proxy.engine.pinned_keys, len(network.proxy.requests_in_flight)),
                ({"key"}, 0),
            )
            self.assertEqual((len(network.proxy.pools), network.faults), (0, []))


class DialExceptionTest(unittest.TestCase):
    def test_attempt_whose_dial_raises_ends_and_is_not_counted_in_flight(self):
        """An exception of the network library while dialling must end the attempt.

        It used to stay in the queue of the pool, and in flight for proxy and engine, for ever; its
        client was answered only as overdue.
        """
        network = Network(endpoint_entry("s-1"))
        network.reactor.connectTCP = mock.Mock(side_effect=OverflowError("no such port"))
        client = network.ask("01")
        self.assertRegex(client.transport.value(), b"^-BUSY")
        proxy = network.proxy
        endpoints = proxy.engine.context.endpoints.values()
        self.assertEqual([endpoint.in_flight for endpoint in endpoints], [0])
        self.assertEqual((len(proxy.engine.requests.open), len(proxy.requests_in_flight)), (0, 0))
        self.assertEqual((len(proxy.pools), proxy.pools.unwritten_attempts()), (0, []))


class HeldAttemptTest(unittest.TestCase):
    """Attempts that are not completely written must meet all conditions until their last byte."""

    def network_with_waiting_retry(self, class_name="mark", deduplication_window=10_000):
        """Returns a network in which a retry waits for its dial, 0.9 s after the first attempt."""
        network = Network(endpoint_entry("s-1"))
        request_classes = network.proxy.settings.request_classes
        request_classes[class_name] = request_classes[class_name]._replace(
            deduplication_window=deduplication_window
        )
        client = network.ask("01", request_class=class_name)
        connection = network.connect()
        connection.resumeProducing()
        advance(network, 0.9)
        connection.connectionLost(Failure(ConnectionLost()))
        return network, client

    def test_retry_is_not_written_after_the_deduplication_window(self):
        network, client = self.network_with_waiting_retry()
        self.assertEqual(dialled_endpoint_ports(network), [7001, 7001])
        advance(network, 0.09)
        self.assertEqual(client.transport.value(), b"")
        advance(network, 0.02)
        self.assertRegex(client.transport.value(), b"^-ERR")  # not -BUSY, since it may have run
        self.assertEqual(network.connect().transport.value(), b"")
        self.assertEqual((len(network.proxy.requests_in_flight), network.faults), (0, []))

    def test_retry_is_not_written_if_connected_before_the_window_timer_fires(self):
        network, client = self.network_with_waiting_retry()
        network.proxy.timers.clock = network.proxy.clock = lambda: 1_010_000
        self.assertEqual(network.connect().transport.value(), b"")
        self.assertRegex(client.transport.value(), b"^-ERR")

    def test_last_byte_of_a_retry_is_not_written_after_the_window(self):
        network, client = self.network_with_waiting_retry()
        connection = network.connect()
        self.assertNotEqual(connection.transport.value(), b"")
        advance(network, 0.11)
        self.assertTrue(connection.transport.disconnected)
        self.assertRegex(client.transport.value(), b"^-ERR")

    def test_retry_within_the_window_keeps_its_full_response_time(self):
        network, client = self.network_with_waiting_retry()
        connection = network.connect()
        connection.resumeProducing()
        advance(network, 0.5)
        connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual(client.transport.value(), b"$1\r\nv\r\n")

    def test_non_idempotent_request_that_may_have_run_is_never_written_again(
        self,
    ):
        for progress in ("written", "partly written", "not connected"):
            network = Network(endpoint_entry("s-1"))
            network.proxy.engine.handle = lambda *_: []
            network.ask("01", request_class="pay")
            network.proxy._execute([SendAttempt("01", "s-1", 20_000)])
            if progress == "not connected":
                network.refuse()
            else:
                connection = network.connect()
                if progress == "written":
                    connection.resumeProducing()
                connection.connectionLost(Failure(ConnectionLost()))
            ends = record_attempt_ends(network)
            network.proxy._execute([SendAttempt("01", "s-1", 20_000)])
            if progress == "written":
                self.assertEqual(
                    (dialled_endpoint_ports(network), ends), ([7001], [("01", 1, Outcome.NOT_SENT)])
                )
            else:
                self.assertIn(b"$2\r\n01\r\n", network.connect().transport.value())

    def bytes_after_change(self, change, partly_written):
        """Returns what the endpoint received of an attempt that waited or was partly written."""
        network = Network(
            endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
        )
        network.ask("01")
        connection = network.connect() if partly_written else None
        change(network)
        if connection is None:
            return network.connect(network.initial_dials).transport.value()
        self.assertNotEqual(connection.transport.value(), b"")
        return b"" if connection.transport.disconnected else connection.transport.value()

    def test_updates_withdraw_waiting_and_partially_written_attempts(self):
        changes = {
            "drain": lambda network: network.update_endpoints(
                endpoint_entry("s-1", build=42, state="Terminating")
            ),
            "missing from a snapshot": lambda network: network.proxy.endpoints.apply(
                discovery.read_list(
                    {"version": 9, "full": True, "servers": [endpoint_entry("s-2", build=42)]}, 0
                ),
                "again",
            ),
            "removed": lambda network: network.update_endpoints(
                endpoint_entry("s-1", build=42, state="Gone")
            ),
            "restart": lambda network: network.update_endpoints(
                endpoint_entry("s-1", build=42, started_ms=5000)
            ),
            "other build": lambda network: network.update_endpoints(
                endpoint_entry("s-1", build=41)
            ),
            "moved": lambda network: network.update_endpoints(
                endpoint_entry("s-1", build=42, addr="127.0.0.1:8001")
            ),
            "lower cap": lambda network: network.proxy.handle_events(
                ReleaseUpdate(42, 0, ReleasePhase.ON_TRIAL, False, Outcome.DONE, 0.0, 0)
            ),
            "rolling back": lambda network: network.proxy.handle_events(
                ReleaseUpdate(42, 0, ReleasePhase.ROLLING_BACK, False, Outcome.DONE, 0.0, 0)
            ),
            "withdrawn": lambda network: network.proxy.handle_events(
                ReleaseUpdate(42, 0, ReleasePhase.WITHDRAWN, False, Outcome.DONE, 0.0, 0)
            ),
        }
        for partly_written in (False, True):
            for description, change in changes.items():
                self.assertEqual(
                    self.bytes_after_change(change, partly_written),
                    b"",
                    (description, partly_written),
                )

    def test_unrelated_updates_withdraw_nothing(self):
        changes = {
            "the same list": lambda network: network.update_endpoints(
                endpoint_entry("s-1", build=42), endpoint_entry("s-2", build=42)
            ),
            "higher stage": lambda network: network.proxy.handle_events(
                ReleaseUpdate(42, 1, ReleasePhase.ON_TRIAL, False, Outcome.DONE, 1.0, 0)
            ),
            "newer build": lambda network: network.proxy.handle_events(
                ReleaseUpdate(43, 0, ReleasePhase.ON_TRIAL, False, Outcome.DONE, 0.5, 0)
            ),
        }
        for partly_written in (False, True):
            for description, change in changes.items():
                self.assertNotEqual(
                    self.bytes_after_change(change, partly_written),
                    b"",
                    (description, partly_written),
                )

    def test_attempt_for_a_moved_endpoint_goes_to_the_new_address(self):
        network = Network(endpoint_entry("s-1"))
        network.ask("01")
        network.update_endpoints(endpoint_entry("s-1", addr="127.0.0.1:8001"))
        self.assertEqual(
            dialled_endpoint_ports(network), [7001, 8001]
        )  # at once, without waiting for the previous dial
        self.assertEqual(network.connect(network.initial_dials).transport.value(), b"")
        self.assertIn(b"$2\r\n01\r\n", network.connect().transport.value())
        self.assertEqual(
            len(network.proxy.pools), 2
        )  # the previous one is closed, but the reactor has not reported it yet

    def network_with_trial(self, stage, cap):
        """Returns a network with s-1 of build 41, and s-2 of build 42, which is on trial."""
        return Network(
            endpoint_entry("s-1"),
            endpoint_entry("s-2", build=42),
            version=42,
            step=stage,
            status="trial",
            maxWeight=cap,
        )

    def test_key_answered_by_the_newest_build_meanwhile_goes_to_no_earlier_build(self):
        for sticky, expected_port in ((True, 7002), (False, 7001)):
            network = self.network_with_trial(stage=0, cap=0.5)
            network.proxy.engine.context.settings = network.proxy.settings._replace(
                sticky_keys=sticky
            )
            network.ask("01", request_class="pay")
            self.assertEqual(dialled_endpoint_ports(network), [7001])
            network.proxy.handle_events(
                LateResponseSeen("key", 42)
            )  # from an attempt of another request with this key
            self.assertEqual(bool(network.connect().transport.value()), not sticky)
            self.assertEqual(dialled_endpoint_ports(network)[-1], expected_port)
            if sticky:
                self.assertIn(b"$2\r\n01\r\n", network.connect().transport.value())

    # Guards against a waiting attempt that is written at an earlier build while the newest build
    # may have answered its key for another request.
    def test_waiting_attempt_is_not_written_while_the_newest_build_may_have_answered(self):
        for response, is_written in ((None, False), (b"-BUSY\r\n", True)):
            network = self.network_with_trial(stage=2, cap=1.0)
            network.ask("01")
            network.proxy.engine.split.fraction = 1.0
            network.ask("02", request_class="pay")
            self.assertEqual(dialled_endpoint_ports(network), [7001, 7002])
            newest = network.connect()
            newest.resumeProducing()
            if response is not None:
                newest.dataReceived(response)
            earlier = network.connect(network.initial_dials)
            self.assertEqual(b"$2\r\n01\r\n" in earlier.transport.value(), is_written)

    def test_waiting_attempt_is_not_written_if_its_key_may_be_a_forgotten_one(self):
        network = self.network_with_trial(stage=2, cap=1.0)
        network.ask("01")
        network.proxy.engine.pinned_keys.update(f"other-{n}" for n in range(MAX_REMEMBERED_KEYS))
        earlier = network.connect(network.initial_dials)
        self.assertEqual(earlier.transport.value(), b"")

    def test_update_for_an_earlier_build_withdraws_attempts_at_the_later_one(self):
        update = ReleaseUpdate(41, 0, ReleasePhase.RELEASED, False, Outcome.DONE, 1.0, 0)
        self.assertEqual(
            self.bytes_after_change(lambda network: network.proxy.handle_events(update), False), b""
        )

    def test_waiting_attempt_of_a_gone_client_is_not_written_without_cancellation(
        self,
    ):
        network = Network(endpoint_entry("s-1"))
        network.proxy.engine.context.settings = network.proxy.settings._replace(
            cancellation_allowed=False
        )
        network.ask("01").connectionLost(Failure(ConnectionLost()))
        self.assertEqual(network.connect().transport.value(), b"")
        self.assertEqual(
            (len(network.proxy.requests_in_flight), network.proxy.requests.by_id), (0, {})
        )


class IdleTimeoutTest(unittest.TestCase):
    def test_no_connection_is_used_past_a_short_idle_timeout(self):
        """The endpoint would close it, and a non-idempotent request written to it would fail."""
        for idle_timeout, wait_seconds, expected_dials in (
            (4_000, 0.2, 1),
            (4_000, 0.35, 2),
            (1, 0.02, 2),
        ):  # shorter than the interval between two checks
            network = Network(endpoint_entry("s-1"))
            network.proxy.pools.connection_limits = network.proxy.connection_limits._replace(
                idle_timeout=idle_timeout
            )
            network.ask("01", request_class="pay")
            connection = network.connect()
            connection.resumeProducing()
            connection.dataReceived(VALUE_RESPONSE)
            network.reactor.advance(wait_seconds)
            network.ask("02", request_class="pay")
            self.assertEqual(
                len(dialled_endpoint_ports(network)), expected_dials, (idle_timeout, wait_seconds)
            )
            self.assertEqual(connection.transport.disconnecting, expected_dials == 2)


class ExposureWindowTest(unittest.TestCase):
    """Dials hang almost until their timeout; then all waiting attempts are written at once."""

    HANG_SECONDS, REQUESTS_PER_SECOND = 1.0, 20

    def test_window_edge_rejects_nothing_at_full_cap(self):
        engine_settings = Network(endpoint_entry("s-1")).proxy.settings
        for cap, all_allowed in ((1.0, True), (0.9, False)):
            exposure, update = (
                TrialExposure(engine_settings),
                ReleaseUpdate(42, 1, ReleasePhase.ON_TRIAL, False, Outcome.DONE, cap, 0),
            )
            for at in (
                0,
                engine_settings.exposure_window,
            ):  # ten at once, then ten a window later, whose edge lies within the bucket of the first
                allowed = [
                    exposure.count_received(at, "read")
                    or exposure.allows(at, update, 42, "read")
                    and not exposure.count_written(at, update, 42, "read")
                    for _ in range(10)
                ]
            self.assertEqual(all(allowed), all_allowed, cap)

    # Guards against attempts that waited for a connection while the build's stage stepped down, and
    # against ones beyond the cap while it goes back.
    def test_guard_and_budget_hold_at_the_write_until_the_build_is_released(self):
        settings = Network(endpoint_entry("s-1")).proxy.settings._replace(
            guarded_stages=1, exposure_allowance=2.0
        )
        for phase, stage, cap, request_class, allowed in (
            (ReleasePhase.ON_TRIAL, 0, 0.5, "pay", 0),
            (ReleasePhase.ON_TRIAL, 1, 0.5, "pay", 7),
            (ReleasePhase.ON_TRIAL, 0, 0.5, "read", 7),
            (ReleasePhase.ON_TRIAL, 0, 0.0, "read", 0),
            (ReleasePhase.ROLLING_BACK, 0, 0.5, "pay", 0),
            (ReleasePhase.ROLLING_BACK, 1, 0.5, "pay", 7),
            (ReleasePhase.ROLLING_BACK, 0, 0.1, "read", 3),
            (ReleasePhase.ROLLING_BACK, 1, 0.0, "read", 0),
            (ReleasePhase.WITHDRAWN, 1, 0.0, "read", 0),
            (ReleasePhase.RELEASED, 0, 1.0, "pay", 10),
        ):
            exposure = TrialExposure(settings)
            update = ReleaseUpdate(42, stage, phase, False, Outcome.DONE, cap, 0)
            for _ in range(10):
                exposure.count_received(0, request_class)
            written = 0
            while written < 10 and exposure.allows(0, update, 42, request_class):
                exposure.count_written(0, update, 42, request_class)
                written += 1
            with self.subTest(phase=phase, stage=stage, cap=cap, request_class=request_class):
                self.assertEqual(written, allowed)

    def test_exposure_budget_is_checked_when_the_attempt_is_written(self):
        for seed, cap in ((0, 0.5), (1, 0.5), (2, 0.5), (3, 1.0)):
            network, random_source = (
                Network(
                    *(endpoint_entry(f"s-{at}", 41 + at // 5) for at in range(1, 9)),
                    version=42,
                    step=0,
                    status="trial",
                    maxWeight=cap,
                ),
                random.Random(seed),
            )
            proxy, client, connections, dials_seen, trial_requests = (
                network.proxy,
                network.client(),
                [],
                network.initial_dials,
                0,
            )
            proxy.pools.connection_limits = proxy.connection_limits._replace(
                connect_timeout=int(self.HANG_SECONDS * 10_000) + 100
            )
            engine_settings, dials = proxy.settings, []
            checker = InvariantChecker(
                engine_settings.request_classes,
                0,
                engine_settings.exposure_window,
                engine_settings.exposure_allowance + 2,
            )  # the tolerance of the protocol
            checker.record_release_state(0, "", 42, cap * 1.04, 0, phase="trial")
            for step in range(2000):
                now, dials_hang = step * 100, step >= 800 and step % 400 < self.HANG_SECONDS * 100
                network.reactor.advance(0.01)
                network.reactor.advance(0)
                if random_source.random() < self.REQUESTS_PER_SECOND / 100:
                    checker.record_request(now, "", f"{step}", "read", now + 50_000)
                    client.dataReceived(
                        encode_command(
                            "SVC.QUERY", f"{random_source.random()}", f"{step}", "c=read,d=5000"
                        )
                    )
                dials += [
                    dial for dial in network.reactor.tcpClients[dials_seen:] if dial[1] > 7000
                ]
                dials_seen = len(network.reactor.tcpClients)
                for dial in [dial for dial in dials if dial[1] <= 7004 or not dials_hang]:
                    dials.remove(dial)
                    connections.append(dial[2].buildProtocol(None))
                    connections[-1].makeConnection(Transport())
                for connection in list(connections):
                    endpoint = connection.connector.pool.pod
                    if connection.transport.value():
                        request_id, build = (
                            connection.transport.value().split(b"\r\n")[6].decode(),
                            proxy.listed_endpoints[endpoint].build,
                        )
                        checker.record_attempt(now, "", request_id, endpoint, build, lane="read")
                        connection.transport.clear()
                        connection.resumeProducing()
                        trial_requests += build == 42
                    elif connection.pending_response is not None:
                        connection.dataReceived(VALUE_RESPONSE)
                    elif connection.transport.disconnecting or (
                        dials_hang and int(endpoint[2:]) > 4
                    ):  # the endpoint pauses
                        connections.remove(connection)
                        connection.connectionLost(Failure(ConnectionLost()))
            self.assertEqual([text for rule, _, text in checker.violations if rule == 5], [])
            self.assertGreater(trial_requests, 80)


class HeldEndpointPeer:
    """An endpoint that accepts connections only on demand; until then they are not established."""

    def __init__(self):
        self.listener, self.backlog_sockets, self.heard = socket.socket(), [], []
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]

    def fill_backlog(self):
        """Fills the backlog, so that the kernel completes no further connection."""
        while not self.backlog_sockets or select.select([], self.backlog_sockets[-1:], [], 0.2)[1]:
            self.backlog_sockets.append(socket.socket())
            self.backlog_sockets[-1].setblocking(False)
            self.backlog_sockets[-1].connect_ex(self.listener.getsockname())

    def accept_one(self):
        """Accepts the next connection, and reads the first command."""
        connection, _ = self.listener.accept()
        with connection.makefile("rb") as stream:
            words = read_command(stream)
        self.heard.append(words[2])
        return connection

    def accept_all(self):
        def serve(connection):
            with connection, connection.makefile("rb") as stream:
                while (words := read_command(stream)) is not None:
                    self.heard.append(words[2])
                    connection.sendall(value(words[2]))

        def accept():
            while True:
                try:
                    connection, _ = self.listener.accept()
                except OSError:
                    return
                threading.Thread(target=serve, args=(connection,), daemon=True).start()

        threading.Thread(target=accept, daemon=True).start()

    def close(self):
        self.listener.close()
        for backlog_socket in self.backlog_sockets:
            backlog_socket.close()

    entry = FakeEndpoint.entry


class HeldAttemptOverSocketsTest(WithPods):
    def held_endpoint(self):
        endpoint = HeldEndpointPeer()
        self.addCleanup(endpoint.close)
        return endpoint

    def test_retry_connected_after_the_window_is_not_written(self):
        endpoint, window_seconds = self.held_endpoint(), 0.3

        def change(configuration):
            configuration["settings"]["categories"][1]["window"] = int(window_seconds * 1e9)
            configuration["settings"]["permissions"]["connect_timeout"] = 9_000_000_000

        with self.program(endpoint.entry("s-1"), change=change).client() as client:
            client.send("SVC.SUBMIT", "a", "01", MARK, "B")
            connection = endpoint.accept_one()
            endpoint.fill_backlog()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()  # reset: it may have run
            time.sleep(
                window_seconds + 0.1
            )  # the window started before the command was received, so it is over now
            endpoint.accept_all()
            # The next request waits for the same dials, so a retry would be received before its response.
            with self.subTest("answered"):
                self.assertRegex(client.read_response(), b"^-ERR")
            self.assertEqual(client.request("SVC.QUERY", "a", "02", READ), b"02")
        self.assertEqual(endpoint.heard, [b"01", b"02"])

    def test_non_idempotent_request_is_written_at_most_once_with_slow_dials_and_resets(
        self,
    ):
        held_endpoint, endpoint = self.held_endpoint(), self.pod(lambda words: None)
        held_endpoint.fill_backlog()
        request_ids = [b"%d" % number for number in range(10, 18)]
        with self.program(
            held_endpoint.entry("s-1", weight=9.0), endpoint.entry("s-2")
        ).client() as client:
            for request_id in request_ids:
                self.assertRegex(client.request("SVC.SUBMIT", "a", request_id, PAY, "B"), b"^-")
            written = [
                endpoint.received_commands.get()[2]
                for _ in range(endpoint.received_commands.qsize())
            ]
            held_endpoint.accept_all()
            wait_until(
                lambda: held_endpoint.heard,
                lambda: client.request("SVC.QUERY", "b", f"{time.monotonic_ns()}", READ),
            )
        self.assertEqual(sorted(set(written)), sorted(written))
        self.assertNotEqual(written, [])
        self.assertEqual(
            [request_id for request_id in held_endpoint.heard if request_id in request_ids], []
        )


class UnusableConnectionTest(unittest.TestCase):
    def test_new_connection_with_unread_data_fails_its_attempt(self):
        network = Network(endpoint_entry("s-1"))
        ends = record_attempt_ends(network)
        network.ask("01", request_class="pay")
        connection = network.reactor.tcpClients[-1][2].buildProtocol(None)
        connection.makeConnection(UnreadDataTransport())
        self.assertEqual(
            (connection.transport.value(), connection.transport.disconnected), (b"", True)
        )
        self.assertEqual(
            (ends, dialled_endpoint_ports(network)),
            ([("01", 0, Outcome.CONNECT_FAILED)], [7001, 7001]),
        )

    def test_self_connected_dial_is_not_used(self):
        """A dial to a local port without a listener may connect to itself and read its own request."""
        network = Network(endpoint_entry("s-1"))
        ends, client = record_attempt_ends(network), network.ask("01", request_class="pay")
        connection, transport = network.reactor.tcpClients[-1][2].buildProtocol(None), Transport()
        transport.peerAddr = transport.getHost()
        connection.makeConnection(transport)
        if written := transport.value():
            connection.resumeProducing()
            connection.dataReceived(written)
        self.assertEqual(
            (client.transport.value(), transport.value(), transport.disconnected), (b"", b"", True)
        )
        self.assertEqual(
            (ends, dialled_endpoint_ports(network)),
            ([("01", 0, Outcome.CONNECT_FAILED)], [7001, 7001]),
        )
        connection.connectionLost(Failure(ConnectionLost()))
        self.assertEqual((len(network.proxy.pools), network.faults), (1, []))


class MalformedResponseTest(unittest.TestCase):
    """A malformed or endless response closes its own connection only, and is not buffered."""

    BULK = b"$%d\r\n%s\r\n" % (500_000, b"x" * 500_000)

    def outcome_of(self, content):
        """Returns the outcome of an attempt that receives this content, and the bytes read.

        Another request runs on a second connection, which must not be affected.
        """
        network, bytes_read = Network(endpoint_entry("s-1")), 0
        ends, client, other = (
            record_attempt_ends(network),
            network.ask("01", request_class="pay"),
            network.ask("02"),
        )
        connection, other_connection = (
            network.connect(network.initial_dials),
            network.connect(network.initial_dials + 1),
        )
        for new_connection in (connection, other_connection):
            new_connection.resumeProducing()
        with mock.patch.object(structured_log, "log_rate_limited") as log:
            for offset in range(0, len(content), 65536):
                if not connection.transport.disconnected:
                    connection.dataReceived(content[offset : offset + 65536])
                    bytes_read += len(content[offset : offset + 65536])
        self.assertTrue(connection.transport.disconnected, content[:20])
        self.assertEqual(connection.parser.buffered_bytes, 0)
        if not client.transport.value().startswith(b"$"):
            lines = [
                call.kwargs["reason"]
                for call in log.call_args_list
                if call.args[0] == "late response discarded"
            ]
            # Says what was malformed.
            self.assertRegex(lines[-1], "^(unreadable response|response larger than)")
        other_connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual(other.transport.value(), b"$1\r\nv\r\n")
        connection.connectionLost(Failure(ConnectionLost()))
        self.assertEqual((len(network.proxy.requests_in_flight), network.faults), (0, []))
        self.assertEqual([request_id for request_id, *_ in ends], ["01", "02"])
        return ends[0][2], bytes_read

    def test_malformed_response_ends_as_may_have_run(self):
        for content in (
            b"$999999999999999999\r\n",
            b"*3\r\n$999999\r\n",
            b"*64\r\n" * 2,
            b"*1\r\n*1\r\n*1\r\n",
            b"*999999999\r\n",
            b"*-5\r\n",
            b"+" + b"x" * 9000,
            b"-" + b"x" * 9000,
            b":" + b"9" * 9000,
            b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
            b"\x00" * 70_000,
            b"+OK\r\n" * 20_000,
        ):
            self.assertEqual(self.outcome_of(content)[0], Outcome.RESET, content[:20])

    def test_endless_response_is_cut_off(self):
        for content in (b"*64\r\n" + self.BULK * 8, b"*64\r\n$1\r\nv\r\n" + self.BULK * 8):
            outcome, bytes_read = self.outcome_of(content)
            self.assertEqual((outcome, bytes_read < 800_000), (Outcome.RESET, True))

    def test_nested_array_ends_the_response_and_counts_only_as_an_unreadable_report(self):
        for elements, outcome in ((b"", Outcome.RESET), (b"$-1\r\n", Outcome.DONE)):
            content = b"*3\r\n$1\r\nv\r\n" + elements + b"*64\r\n" * 3
            self.assertEqual(self.outcome_of(content)[0], outcome, content)

    def test_malformed_load_report_is_dropped_and_the_value_counts(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.settings = network.proxy.settings._replace(load_metrics=("load", "queue"))
        for report, load in (
            (b"load=0.5,queue=3", (0.5, 3.0)),
            (b"queue=3,load=0.5,more=9", (0.5, 3.0)),
            (b"load=nan,queue=3", None),
            (b"load=0.5,queue=inf", None),
            (b"load=1e999,queue=1", None),
            (b"load=-inf,queue=3", None),
            (b"load=0.5", None),
            (b"load,queue=3", None),
            (b"\xff\xfe", None),
            (b",=,,", None),
            (b"load=0.5,queue=3," + b"a=1," * 99_000, None),
        ):
            handled_events = []
            network.ask(f"{report[:30]}")
            connection = network.connect()
            connection.resumeProducing()
            handle = network.proxy.engine.handle
            network.proxy.engine.handle = (
                lambda now, events, handle=handle, handled_events=handled_events: (
                    handled_events.extend(events) or handle(now, events)
                )
            )
            connection.dataReceived(
                b"*3\r\n$1\r\nv\r\n$-1\r\n$%d\r\n%s\r\n" % (len(report), report)
            )
            network.proxy.engine.handle = handle
            self.assertEqual(
                [(event.outcome, event.load) for event in handled_events],
                [(Outcome.DONE, load)],
                report[:30],
            )


RESPONSES = {
    "good": VALUE_RESPONSE,
    "busy": b"-BUSY\r\n",
    "error": b"-ERR failed\r\n",
    "partial": VALUE_RESPONSE[:9],
    "twice": VALUE_RESPONSE * 2,
    "syntax error": VALUE_RESPONSE[:-5] + b"$x1\r\n",
    "noise": b"noise\r\n",
    "null": b"*1\r\n$-1\r\n",
}
LISTING_CHANGES = {
    "ready": {},
    "draining": {"state": "Terminating"},
    "gone": {"state": "Gone"},
    "moved": {},
    "restarted": {"started_ms": 7000},
    "other build": {"build": 40},
}
# Step -> (weight, arguments to choose from by a number). Without arguments the number is passed.
STEP_TYPES = {
    "send_request": (
        6,
        [("read", 200), ("read", 5000), ("mark", 5000), ("pay", 200), ("pay", 5000)],
    ),
    "send_and_write_request": (5, [("read", 5000), ("mark", 5000), ("pay", 5000)]),
    "connect": (6, None),
    "connect_with_unread_data": (1, None),
    "write": (6, None),
    "receive_good": (8, None),
    "receive_any": (2, None),
    "refuse": (2, None),
    "reset": (1, None),
    "disconnect_client": (1, None),
    "deliver_closes": (3, [()]),
    "advance_time": (6, [(0.005,), (0.02,), (0.1,)]),
    "advance_longer": (1, [(0.3,), (1.0,)]),
    "update_release": (1, [(0.0,), (1.0,), (1.0,)]),
    "list_ready": (1, [("s-1",), ("s-2",)]),
    "list": (2, [(name, change) for name in ("s-1", "s-2") for change in sorted(LISTING_CHANGES)]),
    "change_address": (1, [("s-1",), ("s-2",)]),
}
STEPS = st.lists(
    st.tuples(
        st.sampled_from([step for step, (weight, _) in STEP_TYPES.items() for _ in range(weight)]),
        st.integers(0, 63),
    ),
    min_size=50,
    max_size=90,
)


class UnreadDataTransport(Transport):
    has_unread_data = True


class World:
    """A network of two endpoints, on which events happen in any order: each step is one event."""

    def __init__(self, test):
        self.test, self.faults = test, []
        structured_log.log_exception = lambda *fault: self.faults.append(fault)
        self.network = Network(endpoint_entry("s-1"), endpoint_entry("s-2"))
        self.proxy, self.pools = self.network.proxy, self.network.proxy.pools
        self.clients, self.dials, self.connections, self.may_have_run, self.dials_seen = (
            {},
            [],
            [],
            {},
            0,
        )
        self.pools.max_connections = 9
        self.request_count = 0

    def pending_dials(self):
        """Registers new dials, ends stopped ones, and returns the pending ones."""
        while self.dials_seen < len(self.network.reactor.tcpClients):
            _, port, factory, *_ = self.network.reactor.tcpClients[self.dials_seen]
            if port > 7000:
                self.dials.append((factory, self.network.reactor.connectors[self.dials_seen]))
            self.dials_seen += 1
        stopped = [dial for dial in self.dials if dial[1].stoppedConnecting]
        self.dials = [dial for dial in self.dials if dial not in stopped]
        for factory, _ in stopped:
            factory.clientConnectionFailed(None, Failure(ConnectionLost()))
        return self.pending_dials() if stopped else self.dials

    def pick(self, items, index):
        return items[index % len(items)] if items else None

    def open_connections(self):
        return [candidate for candidate in self.connections if not candidate.transport.disconnected]

    def send_request(self, class_name, timeout_ms):
        self.request_count += 1
        request_id = f"{class_name}-{self.request_count}"  # an id is never used again
        self.clients[request_id] = self.network.ask(
            request_id, request_class=class_name, timeout_ms=timeout_ms
        )

    def connect(self, index, transport=Transport):
        if dial := self.pick(self.pending_dials(), index):
            self.dials.remove(dial)
            connection = dial[0].buildProtocol(None)
            self.connections.append(connection)
            connection.makeConnection(transport())

    def connect_with_unread_data(self, index):
        """Connects; the endpoint has sent data, or closed, before any request."""
        self.connect(index, UnreadDataTransport)

    def send_and_write_request(self, class_name, timeout_ms):
        """Sends a request that is written at once."""
        self.send_request(class_name, timeout_ms)
        self.connect(-1)
        self.write(-1)

    def refuse(self, index):
        if dial := self.pick(self.pending_dials(), index):
            self.dials.remove(dial)
            dial[0].clientConnectionFailed(None, Failure(ConnectionLost()))

    def write(self, index):
        if connection := self.pick(
            [candidate for candidate in self.open_connections() if candidate.transport.producer],
            index,
        ):
            request_id = connection.transport.value().split(b"\r\n")[6].decode()
            connection.transport.clear()
            endpoint, update = connection.attempt.endpoint, self.proxy.releases.latest
            self.test.assertTrue(
                self.proxy.endpoints.is_ready(endpoint)
                and (update.cap or endpoint.build < update.build),
                request_id,
            )
            if request_id.startswith("pay"):
                self.test.assertFalse(self.may_have_run.get(request_id), request_id)
            self.may_have_run[request_id] = True
            connection.resumeProducing()

    def receive(self, index, response_type):
        if connection := self.pick(self.connections, index):
            if connection.transport.disconnected:
                return
            request_id = connection.attempt and connection.attempt.request.id
            if response_type == "busy" and request_id and connection.written:
                self.may_have_run[request_id] = False
            connection.dataReceived(RESPONSES[response_type])

    def reset(self, index):
        if connection := self.pick(self.connections, index):
            self.connections.remove(connection)
            connection.connectionLost(Failure(ConnectionLost()))

    def disconnect_client(self, index):
        if request_id := self.pick(list(self.clients), index):
            self.clients.pop(request_id).connectionLost(Failure(ConnectionLost()))

    def list(self, name, change):
        fields = dict(LISTING_CHANGES[change])
        if change == "moved":
            fields["addr"] = "127.0.0.1:%d" % (8000 + len(self.clients))
        self.network.update_endpoints(endpoint_entry(name, fields.pop("build", 41), **fields))

    def update_release(self, cap):
        self.proxy.handle_events(
            ReleaseUpdate(
                41,
                1,
                ReleasePhase.RELEASED if cap == 1.0 else ReleasePhase.ON_TRIAL,
                False,
                Outcome.DONE,
                cap,
                0,
            )
        )

    def deliver_closes(self):
        """Reports the closed connections as lost, as the reactor does in its next turn."""
        closed = [
            candidate
            for candidate in self.connections
            if candidate.transport.disconnecting or candidate.transport.disconnected
        ]
        for connection in closed:
            self.connections.remove(connection)
            connection.connectionLost(Failure(ConnectionLost()))

    def receive_good(self, index):
        """An attempt that waits for its response gets a good one."""
        if connection := self.pick(
            [
                candidate
                for candidate in self.open_connections()
                if candidate.written and candidate.pending_response
            ],
            index,
        ):
            self.receive(self.connections.index(connection), "good")

    def receive_any(self, number):
        """Any response arrives on any connection."""
        self.receive(number // len(RESPONSES), sorted(RESPONSES)[number % len(RESPONSES)])

    def list_ready(self, name):
        self.list(name, "ready")

    def change_address(self, name):
        self.list(name, "moved")

    def advance_time(self, seconds):
        advance(self.network, seconds)
        self.pending_dials()

    advance_longer = advance_time

    def step(self, step_type, number):
        choices = STEP_TYPES[step_type][1]
        getattr(self, step_type)(*(choices[number % len(choices)] if choices else (number,)))
        self.check()

    def check(self):
        assert_equal, dials, by_pod = self.test.assertEqual, self.pending_dials(), self.pools.by_pod
        assert_equal((self.faults, self.network.faults), ([], []))
        assert_equal(self.pools.dialling, len(dials))
        assert_equal(
            {id(known) for known in self.pools.connections},
            {id(known) for known in self.connections},
        )
        pending_timers = self.proxy.timers.pending
        for call, arguments in pending_timers.values():
            for owner in (getattr(call, "__self__", None), *arguments):
                self.test.assertFalse(
                    type(owner) is PodConnection and owner not in self.connections, call
                )
        for pool in by_pod.values():
            assert_equal(pool.dialling, sum(dial.pool is pool for dial, _ in dials))
            self.test.assertLessEqual(len(pool.waiting), pool.dialling)
            for connection in pool.idle:
                assert_equal(
                    (connection.pending_response, connection.attempt, connection.connector.pool),
                    (None, None, pool),
                )
                assert_equal(
                    (connection.transport.disconnecting, connection.transport.disconnected),
                    (False, False),
                )
            for attempt in pool.waiting:
                assert_equal(
                    (attempt.in_flight, attempt.connection, attempt.timer in pending_timers),
                    (True, None, True),
                )
        for connection in self.connections:
            if connection.transport.disconnecting or connection.transport.disconnected:
                self.test.assertIsNone(connection.pending_response)
        for request in self.proxy.requests_in_flight:
            assert_equal(
                request.attempts_in_flight, sum(attempt.in_flight for attempt in request.attempts)
            )
            self.test.assertTrue(request.attempts_in_flight or not request.closed, request.id)
            for attempt in request.attempts:
                locations = sum(attempt in pool.waiting for pool in by_pod.values()) + any(
                    known.attempt is attempt and known.pending_response is not None
                    for known in self.connections
                )
                assert_equal(locations, 1) if attempt.in_flight else None

    def end(self):
        """Ends all input: each request must have exactly one response, and nothing may be retained."""
        for _ in range(40):
            while self.pending_dials():
                self.refuse(0)
            self.deliver_closes()
            self.advance_time(1.0)
            self.deliver_closes()
            self.check()
        self.test.assertEqual(
            (
                len(self.proxy.requests_in_flight),
                self.proxy.requests.by_id,
                self.pools.unwritten_attempts(),
            ),
            (0, {}, []),
        )
        for request_id, client in self.clients.items():
            self.test.assertRegex(
                client.transport.value(), rb"^(\$1\r\nv|-[^\r]*)\r\n$", request_id
            )
        self.test.assertEqual((len(self.pools), self.connections), (0, []))
        retained = [
            call
            for call, arguments in self.proxy.timers.pending.values()
            for owner in (getattr(call, "__self__", None), *arguments)
            if type(owner).__name__
            in ("Attempt", "InFlightRequest", "ConnectionPool", "PodConnection")
        ]
        self.test.assertEqual(retained, [])


class AnyOrder(unittest.TestCase):
    @settings(derandomize=True, max_examples=120, deadline=None, database=None)
    @given(STEPS)
    def test_whatever_the_order_counts_agree_and_nothing_is_left(self, steps):
        with (
            mock.patch.object(structured_log, "log_exception"),
            mock.patch.object(structured_log, "log"),
        ):
            world = World(self)
            for step in steps:
                world.step(*step)
            world.end()
