"""The ends of attempts, connections and dials to endpoints, with each order of events set explicitly."""

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
from tests.support.peers import PATIENCE, PodPeer, until, words_of
from tests.support.programs import command
from tests.unit.proxy.test_proxy import VALUE_RESPONSE, Network, Transport, endpoint_entry
from thymeknot.interface.actions import SendAttempt
from thymeknot.interface.enums import Outcome, ReleasePhase
from thymeknot.interface.events import LateResponseSeen, ReleaseUpdate
from thymeknot.protocol import discovery
from thymeknot.protocol.pod import PodConnection
from thymeknot.service import structured_log
from thymeknot.simulation.invariants import InvariantChecker
from thymeknot.state import connection_pool
from thymeknot.state.trial_exposure import TrialExposure


class Broken(Transport):
    """A transport whose other side has reset it, which the loop has not got to yet."""

    def shutdown(self, how):
        raise OSError


def counted(network):
    """Has each attempt's end counted, beside what is done with it."""
    ends, ended = [], network.proxy.attempt_ended

    def count(attempt, outcome, answer=None):
        ends.append((attempt.request.id, attempt.number, outcome))
        return ended(attempt, outcome, answer)

    network.proxy.attempt_ended = count
    return ends


def pass_on(network, seconds):
    network.reactor.advance(seconds)
    network.reactor.advance(0)


def pods_dialled(network):
    return [port for port in network.dialled_ports() if port > 7000]


class AttemptEndTest(unittest.TestCase):
    def test_partially_written_attempt_ends_once(self):
        for end, outcome in (("time", Outcome.CONNECT_FAILED), ("client", Outcome.CANCELLED)):
            network = Network(endpoint_entry("s-1"))
            ends, client = counted(network), network.ask(timeout_ms=200)
            connection = network.connect()
            if end == "time":
                pass_on(network, 0.2)
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
            ends, client = counted(network), network.ask(timeout_ms=200)
            connection = network.connect()
            connection.resumeProducing()
            connection.transport.__class__ = Broken
            if end == "time":
                pass_on(network, 0.2)
            else:
                client.connectionLost(Failure(ConnectionLost()))
            connection.connectionLost(Failure(ConnectionLost()))
            self.assertEqual(ends, [("01", 0, outcome)])
            self.assertEqual(
                (len(network.proxy.requests_in_flight), len(network.proxy.pools)), (0, 0)
            )

    def test_received_response_wins_over_a_deadline_of_the_same_reactor_turn(self):
        network, turns = Network(endpoint_entry("s-1")), []
        deadlines, wake = network.proxy.timers, network.proxy.timers.wake
        # A loop reads its sockets between two calls that are due: what is due at once comes a turn later.
        deadlines.wake = lambda seconds, *call: (
            turns.append(call) if not seconds else wake(seconds, *call)
        )
        client = network.ask(timeout_ms=200)
        connection = network.connect()
        connection.resumeProducing()
        network.reactor.advance(0.2)
        self.assertEqual((len(turns), client.transport.value()), (1, b""))
        connection.dataReceived(VALUE_RESPONSE)
        turns[0][0](*turns[0][1:])
        self.assertEqual(client.transport.value(), b"$1\r\nv\r\n")

    def test_abandoned_attempt_makes_its_key_sticky_once_and_later_bytes_answer_nothing(self):
        network = Network(
            endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
        )
        client = network.ask(timeout_ms=200)
        connection = network.connect()
        connection.resumeProducing()
        pass_on(network, 0.2)
        network.proxy.engine.pinned_keys.clear()
        connection.dataReceived(VALUE_RESPONSE + VALUE_RESPONSE)
        self.assertEqual(network.proxy.engine.pinned_keys, {"key"})
        self.assertTrue(connection.transport.disconnected)
        self.assertEqual(client.transport.value().count(b"\r\n"), 1)
        connection.connectionLost(Failure(ConnectionLost()))
        pass_on(network, 6)
        self.assertEqual((network.faults, len(network.proxy.pools)), ([], 0))


class IdleConnectionEndTest(unittest.TestCase):
    """A connection is lost a turn of the loop after its end was settled."""

    def idle(self):
        network = Network(endpoint_entry("s-1"))
        network.ask("01")
        connection = network.connect()
        connection.resumeProducing()
        connection.dataReceived(VALUE_RESPONSE)
        pass_on(network, 0.1)
        connection.transport.clear()
        return network, connection

    def test_attempt_during_the_close_of_an_idle_connection_uses_another(self):
        for end in ("more", "told idle time", "pod gone"):
            network, connection = self.idle()
            if end == "more":
                connection.dataReceived(VALUE_RESPONSE)
            elif end == "pod gone":
                network.proxy.pools.close_idle("s-1")
            else:
                for _ in range(13):
                    pass_on(network, 1)
            self.assertTrue(connection.transport.disconnecting or connection.transport.disconnected)
            network.ask("02")
            self.assertEqual(
                (connection.transport.value(), pods_dialled(network)), (b"", [7001, 7001]), end
            )
            connection.connectionLost(Failure(ConnectionLost()))
            self.assertEqual(network.faults, [])

    def test_unread_end_of_stream_is_detected(self):
        network, connection = self.idle()
        connection.transport.recv = lambda most, flags: b""
        network.ask("02")
        self.assertEqual((connection.transport.value(), pods_dialled(network)), (b"", [7001, 7001]))

    def test_idle_connection_keeps_nothing_of_answered_requests(self):
        network = Network(endpoint_entry("s-1"))
        network.ask("01")
        connection = network.connect()
        connection.resumeProducing()
        attempt = connection.begun.__self__
        connection.dataReceived(VALUE_RESPONSE)
        self.assertIs(attempt.in_flight, False)
        self.assertNotIn(
            attempt, [getattr(held, "__self__", held) for held in vars(connection).values()]
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
    """Answers carry no id: a second one, some milliseconds late, must not meet the next request."""

    def answered(self, *more):
        """A network whose first request was answered, while these others were asked or wait for a dial."""
        network = Network(endpoint_entry("s-1"))
        clients = [network.ask("01")]
        connection = network.connect()
        connection.resumeProducing()
        clients += [network.ask(name) for name in more]
        connection.dataReceived(VALUE_RESPONSE)
        connection.transport.clear()
        return network, connection, clients

    def test_second_response_during_the_rest_answers_nothing(self):
        spoilt = b"*", b"\r\n", b"\xff" * 70_000, b"-BUSY\r\n", b"*3\r\n$1\r\nw\r\n$x"
        for waits, late in itertools.product(
            (True, False), (VALUE_RESPONSE.replace(b"v", b"w"), *spoilt)
        ):
            network, connection, clients = self.answered(*["02"] * waits)
            network.reactor.advance(0.009)
            clients += [network.ask("02")] * (not waits)
            connection.dataReceived(late)
            network.reactor.advance(0.02)
            self.assertTrue(connection.transport.disconnected)
            self.assertEqual(
                (connection.transport.value(), clients[1].transport.value()), (b"", b"")
            )
            other = network.connect()
            other.resumeProducing()
            other.dataReceived(VALUE_RESPONSE.replace(b"v", b"2"))
            self.assertEqual(clients[1].transport.value(), b"$1\r\n2\r\n")
            self.assertEqual(pods_dialled(network), [7001, 7001])

    def test_connection_is_reused_after_its_rest(self):
        network, connection, _ = self.answered()
        network.reactor.advance(0.02)
        network.ask("02")
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())
        self.assertEqual(pods_dialled(network), [7001])

    def test_longest_waiting_attempt_gets_the_rested_connection(self):
        network, connection, _ = self.answered("02", "03")
        network.reactor.advance(0.02)
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())
        self.assertIn(b"$2\r\n03\r\n", network.connect().transport.value())
        self.assertEqual(network.connect(-2).transport.value(), b"")  # its dial is spare

    def test_new_attempt_does_not_overtake_a_waiting_one(self):
        network, connection, _ = self.answered("02")
        network.proxy.timers.clock = lambda: (
            1_000_200
        )  # its rest is over, and its deadline has not come
        network.ask("03")
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())
        self.assertIn(b"$2\r\n03\r\n", network.connect().transport.value())

    def test_dial_of_a_waiting_attempt_may_fail_while_a_connection_rests(self):
        network, connection, clients = self.answered("02")
        network.refuse()
        self.assertEqual(pods_dialled(network), [7001, 7001, 7001])  # never ran: asked for again
        network.reactor.advance(0.02)
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())

    def test_resting_connection_is_closed_at_the_connection_limit(self):
        network, connection, _ = self.answered()
        network.proxy.pools.max_connections = 1
        network.ask("02")
        self.assertTrue(connection.transport.disconnecting)
        self.assertEqual(pods_dialled(network), [7001, 7001])

    def test_response_before_the_last_byte_was_written_does_not_count(self):
        network = Network(endpoint_entry("s-1"))
        client = network.ask("01", request_class="pay")
        connection = network.connect()
        connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual((client.transport.value(), connection.transport.disconnected), (b"", True))
        self.assertEqual(
            pods_dialled(network), [7001, 7001]
        )  # it never ran, so a binding one may go again


class RestartedEndpointTest(unittest.TestCase):
    def test_replacement_process_gets_nothing_on_earlier_connections(
        self,
    ):
        for change in ({"build": 40}, {"started_ms": 9}):
            network = Network(endpoint_entry("s-1"))
            clients = [network.ask(name) for name in ("01", "02")]
            idle, out = (
                network.connect(network.initial_dials),
                network.connect(network.initial_dials + 1),
            )
            for connection in (idle, out):
                connection.resumeProducing()
            idle.dataReceived(VALUE_RESPONSE)
            clients.append(network.ask("03"))  # the idle one rests: it is dialled for
            network.proxy.engine.pinned_keys.clear()  # else the key stays with the former build
            network.update_endpoints(endpoint_entry("s-1", **change))
            self.assertTrue(idle.transport.disconnecting)
            self.assertEqual(network.connect(network.initial_dials + 2).transport.value(), b"")
            self.assertEqual(pods_dialled(network), [7001] * 4)
            new = network.connect()
            self.assertIn(b"$2\r\n03\r\n", new.transport.value())
            new.resumeProducing()
            for connection in (out, new):  # what was out may end, and its connection ends with it
                connection.dataReceived(VALUE_RESPONSE)
            self.assertEqual(
                (out.transport.disconnected, new.transport.disconnected), (True, False)
            )
            self.assertEqual([client.transport.value() for client in clients], [b"$1\r\nv\r\n"] * 3)


class ConnectionRestCostTest(unittest.TestCase):
    def dials(self, rest, a_second, pods, took):
        """Connections dialled in half a minute, of pods that take so many steps of 5 ms for an answer."""
        network, chance, due, connected = (
            Network(*(endpoint_entry(f"s-{at}") for at in range(1, pods + 1))),
            random.Random(11),
            [],
            0,
        )
        client = network.client()
        with mock.patch.object(connection_pool, "REST_AFTER_RESPONSE", rest):
            for step in range(6000):
                if chance.random() < a_second / 200:
                    network.ask(f"{step}", connection=client)
                clients = [
                    one
                    for one in network.reactor.tcpClients[network.initial_dials :]
                    if one[1] > 7000
                ]
                for dialled in clients[connected:]:
                    connection = dialled[2].buildProtocol(None)
                    connection.makeConnection(Transport())
                    connection.resumeProducing()
                    due.append(connection)
                connected = len(clients)
                for connection in due:
                    if connection.transport.disconnecting and not connection.transport.disconnected:
                        connection.transport.disconnected = True
                        connection.connectionLost(Failure(ConnectionLost()))
                    elif connection.pending_response is not None:
                        if connection.transport.value():
                            connection.transport.clear()
                            connection.resumeProducing() if not connection.written else None
                            connection.ends = step + took
                        elif step >= connection.ends:
                            connection.dataReceived(VALUE_RESPONSE)
                network.reactor.advance(0.005)
        self.assertEqual(network.faults, [])
        return connected

    def test_rest_costs_few_connections_with_requests_spread_over_endpoints(self):
        before, after = (
            self.dials(rest, 20, 60, 20) for rest in (0, connection_pool.REST_AFTER_RESPONSE)
        )
        self.assertLessEqual(after, 1.05 * before + 2, (before, after))


class Twice(PodPeer):
    """Answers a request; the next one that comes on another connection has it answer the first again, there, and
    wait until that connection has been ended for it."""

    def __init__(self):
        self.last, self.copies, self.over = None, 0, queue.Queue()
        super().__init__()

    def serve(self, connection, source):
        try:
            while (words := words_of(source)) is not None:
                last, self.last = self.last, connection
                if last not in (None, connection):
                    last.sendall(value(b"a second answer"))
                    self.copies += 1
                    while self.over.get(timeout=PATIENCE) is not last:
                        pass
                connection.sendall(value(words[2]))
        finally:
            self.over.put(connection)


class LateResponseOverSocketsTest(WithPods):
    def test_second_response_does_not_answer_the_next_request(self):
        pod = Twice()
        self.addCleanup(pod.close)
        with self.program(pod.entry("s-1")).client() as client:
            names = iter(range(10, 100_000))

            def two():
                for name in (f"{next(names)}", f"{next(names)}"):
                    self.assertEqual(client.ask("SVC.QUERY", "a", name, READ), name.encode())

            # A pair that the machine held apart for longer than the rest goes on one connection, and is no case.
            until(lambda: pod.copies, two)


class EndsBehind(PodPeer):
    """Ends the connection behind its whole answer, and the program reads neither until both have come."""

    def __init__(self, reset):
        self.reset, self.process = reset, None
        super().__init__()

    def stand_still(self):
        self.process.send_signal(signal.SIGSTOP)
        until(
            lambda: (
                Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(") ")[2][0] == "T"
            ),
            lambda: time.sleep(0.001),
        )

    def serve(self, connection, source):
        words = words_of(source)
        self.heard.put(words)
        self.stand_still()
        connection.sendall(value(words[2] * 1000))
        unread = array.array("i", [1])
        until(lambda: unread[0] == 0, lambda: fcntl.ioctl(connection, termios.TIOCOUTQ, unread))
        if self.reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        source.close()
        connection.close()
        self.process.send_signal(signal.SIGCONT)


class BytesOverSockets(PodPeer):
    """Its answers come byte by byte."""

    def serve(self, connection, source):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while (words := words_of(source)) is not None:
            for byte in value(words[2]):
                connection.sendall(bytes((byte,)))


class ResponsesOverSocketsTest(WithPods):
    def test_complete_response_counts_if_the_connection_then_closes_or_resets(self):
        for reset in (False, True):
            pod = EndsBehind(reset)
            self.addCleanup(pod.close)
            running = self.program(pod.entry("s-1"))
            pod.process = running.process
            with running.client() as client:
                for name in (b"1", b"2"):
                    self.assertEqual(client.ask("SVC.SUBMIT", "a", name, PAY, "B"), name * 1000)
            self.assertEqual(pod.heard.qsize(), 2)

    def test_response_in_single_bytes_is_assembled(self):
        pod = BytesOverSockets()
        self.addCleanup(pod.close)
        with self.program(pod.entry("s-1")).client() as client:
            for name in (b"11", b"12"):
                self.assertEqual(client.ask("SVC.SUBMIT", "a", name, PAY, "B"), name)


class TruncatedResponseTest(unittest.TestCase):
    def test_complete_value_is_served_wherever_the_connection_then_ends(self):
        value_ends = VALUE_RESPONSE.index(b"v\r\n") + 3
        for at, why in itertools.product(
            range(len(VALUE_RESPONSE)), (ConnectionLost, ConnectionDone)
        ):
            network = Network(
                endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
            )
            ends, client = counted(network), network.ask("01", request_class="pay")
            connection = network.connect()
            connection.resumeProducing()
            connection.dataReceived(VALUE_RESPONSE[:at])
            connection.connectionLost(Failure(why()))
            whole = at >= value_ends
            self.assertEqual(ends, [("01", 0, Outcome.DONE if whole else Outcome.RESET)], at)
            self.assertRegex(client.transport.value(), rb"^\$1\r\nv\r\n$" if whole else b"^-ERR")
            self.assertEqual(
                (network.proxy.engine.pinned_keys, len(network.proxy.requests_in_flight)),
                ({"key"}, 0),
            )
            self.assertEqual((len(network.proxy.pools), network.faults), (0, []))


class DialExceptionTest(unittest.TestCase):
    def test_attempt_whose_dial_raises_ends_and_is_not_counted_in_flight(self):
        """Where the network library raises as a connection is dialled, the attempt stood in the pool's queue, out for the
        proxy and in flight for the decisions, for good: its client was answered as overdue, and nothing let go of it."""
        network = Network(endpoint_entry("s-1"))
        network.reactor.connectTCP = mock.Mock(side_effect=OverflowError("no such port"))
        client = network.ask("01")
        self.assertRegex(client.transport.value(), b"^-BUSY")
        proxy = network.proxy
        known = proxy.engine.context.endpoints.values()
        self.assertEqual([one.in_flight for one in known], [0])
        self.assertEqual((len(proxy.engine.requests.open), len(proxy.requests_in_flight)), (0, 0))
        self.assertEqual((len(proxy.pools), proxy.pools.unwritten_attempts()), (0, []))


class HeldAttemptTest(unittest.TestCase):
    """What waits for a connection, or is not written whole, is held to all terms up to its last byte."""

    def again(self, lane="mark", window=10_000):
        """A network whose request may have run once, 0.9 s ago, and is asked for again: it waits for its dial."""
        network = Network(endpoint_entry("s-1"))
        lanes = network.proxy.settings.request_classes
        lanes[lane] = lanes[lane]._replace(deduplication_window=window)
        client = network.ask("01", request_class=lane)
        connection = network.connect()
        connection.resumeProducing()
        pass_on(network, 0.9)
        connection.connectionLost(Failure(ConnectionLost()))
        return network, client

    def test_retry_is_not_written_after_the_deduplication_window(self):
        network, client = self.again()
        self.assertEqual(pods_dialled(network), [7001, 7001])
        pass_on(network, 0.09)
        self.assertEqual(client.transport.value(), b"")
        pass_on(network, 0.02)
        self.assertRegex(client.transport.value(), b"^-ERR")  # and not -BUSY: it may have run
        self.assertEqual(network.connect().transport.value(), b"")
        self.assertEqual((len(network.proxy.requests_in_flight), network.faults), (0, []))

    def test_retry_is_not_written_if_connected_before_the_window_timer_fires(self):
        network, client = self.again()
        network.proxy.timers.clock = network.proxy.clock = lambda: 1_010_000
        self.assertEqual(network.connect().transport.value(), b"")
        self.assertRegex(client.transport.value(), b"^-ERR")

    def test_last_byte_of_a_retry_is_not_written_after_the_window(self):
        network, client = self.again()
        connection = network.connect()
        self.assertNotEqual(connection.transport.value(), b"")
        pass_on(network, 0.11)
        self.assertTrue(connection.transport.disconnected)
        self.assertRegex(client.transport.value(), b"^-ERR")

    def test_retry_within_the_window_keeps_its_full_response_time(self):
        network, client = self.again()
        connection = network.connect()
        connection.resumeProducing()
        pass_on(network, 0.5)
        connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual(client.transport.value(), b"$1\r\nv\r\n")

    def test_non_idempotent_request_that_may_have_run_is_never_written_again(
        self,
    ):
        for reached in ("written", "in part", "not connected"):
            network = Network(endpoint_entry("s-1"))
            network.proxy.engine.handle = lambda *_: []
            network.ask("01", request_class="pay")
            network.proxy._execute([SendAttempt("01", "s-1", 20_000)])
            if reached == "not connected":
                network.refuse()
            else:
                connection = network.connect()
                if reached == "written":
                    connection.resumeProducing()
                connection.connectionLost(Failure(ConnectionLost()))
            ends = counted(network)
            network.proxy._execute([SendAttempt("01", "s-1", 20_000)])
            if reached == "written":
                self.assertEqual(
                    (pods_dialled(network), ends), ([7001], [("01", 1, Outcome.NOT_SENT)])
                )
            else:
                self.assertIn(b"$2\r\n01\r\n", network.connect().transport.value())

    def changed(self, change, written):
        """(what waited or was written in part, as a pod saw it; whether its request is in hand still)."""
        network = Network(
            endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
        )
        network.ask("01")
        connection = network.connect() if written else None
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
            "gone from a whole list": lambda network: network.proxy.endpoints.apply(
                discovery.read_list(
                    {"version": 9, "full": True, "servers": [endpoint_entry("s-2", build=42)]}, 0
                ),
                "again",
            ),
            "gone": lambda network: network.update_endpoints(
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
            "going back": lambda network: network.proxy.handle_events(
                ReleaseUpdate(42, 0, ReleasePhase.ROLLING_BACK, False, Outcome.DONE, 0.0, 0)
            ),
            "withdrawn": lambda network: network.proxy.handle_events(
                ReleaseUpdate(42, 0, ReleasePhase.WITHDRAWN, False, Outcome.DONE, 0.0, 0)
            ),
        }
        for written in (False, True):
            for name, change in changes.items():
                self.assertEqual(self.changed(change, written), b"", (name, written))

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
        for written in (False, True):
            for name, change in changes.items():
                self.assertNotEqual(self.changed(change, written), b"", (name, written))

    def test_attempt_for_a_moved_endpoint_goes_to_the_new_address(self):
        network = Network(endpoint_entry("s-1"))
        network.ask("01")
        network.update_endpoints(endpoint_entry("s-1", addr="127.0.0.1:8001"))
        self.assertEqual(
            pods_dialled(network), [7001, 8001]
        )  # at once, not when the former dial ends
        self.assertEqual(network.connect(network.initial_dials).transport.value(), b"")
        self.assertIn(b"$2\r\n01\r\n", network.connect().transport.value())
        self.assertEqual(
            len(network.proxy.pools), 2
        )  # the former is ended, and the loop has not told of it yet

    def test_key_answered_by_the_newest_build_meanwhile_goes_to_no_earlier_build(self):
        for keys_stay, goes_to in ((True, 7002), (False, 7001)):
            network = Network(
                endpoint_entry("s-1"),
                endpoint_entry("s-2", build=42),
                version=42,
                step=0,
                status="trial",
                maxWeight=0.5,
            )
            network.proxy.engine.context.settings = network.proxy.settings._replace(
                sticky_keys=keys_stay
            )
            network.ask("01", request_class="pay")
            self.assertEqual(pods_dialled(network), [7001])
            network.proxy.handle_events(
                LateResponseSeen("key", 42)
            )  # by an attempt of another request with this key
            self.assertEqual(bool(network.connect().transport.value()), not keys_stay)
            self.assertEqual(pods_dialled(network)[-1], goes_to)
            if keys_stay:
                self.assertIn(b"$2\r\n01\r\n", network.connect().transport.value())

    def test_update_for_an_earlier_build_withdraws_attempts_at_the_later_one(self):
        back = ReleaseUpdate(41, 0, ReleasePhase.RELEASED, False, Outcome.DONE, 1.0, 0)
        self.assertEqual(
            self.changed(lambda network: network.proxy.handle_events(back), False), b""
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
        """The pod closes it by then, and what is written to it ends as a reset: a binding one would be lost."""
        for idle, waits, dialled in (
            (4_000, 0.2, 1),
            (4_000, 0.35, 2),
            (1, 0.02, 2),
        ):  # less than between two looks
            network = Network(endpoint_entry("s-1"))
            network.proxy.pools.connection_limits = network.proxy.connection_limits._replace(
                idle_timeout=idle
            )
            network.ask("01", request_class="pay")
            connection = network.connect()
            connection.resumeProducing()
            connection.dataReceived(VALUE_RESPONSE)
            network.reactor.advance(waits)
            network.ask("02", request_class="pay")
            self.assertEqual(len(pods_dialled(network)), dialled, (idle, waits))
            self.assertEqual(connection.transport.disconnecting, dialled == 2)


class ExposureWindowTest(unittest.TestCase):
    """Dials that hang for nearly the told time and come up at once: all that waited is written in one moment."""

    HANG, RATE = 1.0, 20

    def test_window_edge_rejects_nothing_at_full_cap(self):
        terms = Network(endpoint_entry("s-1")).proxy.settings
        for cap, may in ((1.0, True), (0.9, False)):
            exposure, news = (
                TrialExposure(terms),
                ReleaseUpdate(42, 1, ReleasePhase.ON_TRIAL, False, Outcome.DONE, cap, 0),
            )
            for at in (
                0,
                terms.exposure_window,
            ):  # ten at once, and a window later: its edge lies within their bucket
                allowed = [
                    exposure.count_received(at, "read")
                    or exposure.allows(at, news, 42, "read")
                    and not exposure.count_written(at, news, 42, "read")
                    for _ in range(10)
                ]
            self.assertEqual(all(allowed), may, cap)

    def test_exposure_budget_is_checked_when_the_attempt_is_written(self):
        for seed, cap in ((0, 0.5), (1, 0.5), (2, 0.5), (3, 1.0)):
            network, chance = (
                Network(
                    *(endpoint_entry(f"s-{at}", 41 + at // 5) for at in range(1, 9)),
                    version=42,
                    step=0,
                    status="trial",
                    maxWeight=cap,
                ),
                random.Random(seed),
            )
            proxy, client, live, seen, trial = (
                network.proxy,
                network.client(),
                [],
                network.initial_dials,
                0,
            )
            proxy.pools.connection_limits = proxy.connection_limits._replace(
                connect_timeout=int(self.HANG * 10_000) + 100
            )
            terms, dials = proxy.settings, []
            checker = InvariantChecker(
                terms.request_classes, 0, terms.exposure_window, terms.exposure_allowance + 2
            )  # as the protocol has it
            checker.cap(0, "", 42, cap * 1.04, 0, phase="trial")
            for step in range(2000):
                now, hangs = step * 100, step >= 800 and step % 400 < self.HANG * 100
                network.reactor.advance(0.01)
                network.reactor.advance(0)
                if chance.random() < self.RATE / 100:
                    checker.taken(now, "", f"{step}", "read", now + 50_000)
                    client.dataReceived(
                        command("SVC.QUERY", f"{chance.random()}", f"{step}", "c=read,d=5000")
                    )
                dials += [dial for dial in network.reactor.tcpClients[seen:] if dial[1] > 7000]
                seen = len(network.reactor.tcpClients)
                for dial in [dial for dial in dials if dial[1] <= 7004 or not hangs]:
                    dials.remove(dial)
                    live.append(dial[2].buildProtocol(None))
                    live[-1].makeConnection(Transport())
                for connection in list(live):
                    pod = connection.connector.pool.pod
                    if connection.transport.value():
                        name, build = (
                            connection.transport.value().split(b"\r\n")[6].decode(),
                            proxy.listed_endpoints[pod].build,
                        )
                        checker.sent(now, "", name, pod, build, lane="read")
                        connection.transport.clear()
                        connection.resumeProducing()
                        trial += build == 42
                    elif connection.pending_response is not None:
                        connection.dataReceived(VALUE_RESPONSE)
                    elif connection.transport.disconnecting or (
                        hangs and int(pod[2:]) > 4
                    ):  # the pod pauses
                        live.remove(connection)
                        connection.connectionLost(Failure(ConnectionLost()))
            self.assertEqual([text for rule, _, text in checker.broken if rule == 5], [])
            self.assertGreater(trial, 80)


class HeldPod:
    """A pod that takes connections only when it is told to: until then they do not come up."""

    def __init__(self):
        self.listener, self.fill, self.heard = socket.socket(), [], []
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]

    def hold(self):
        """Fills the queue of those that are to be accepted: the machine answers no further one."""
        while not self.fill or select.select([], self.fill[-1:], [], 0.2)[1]:
            self.fill.append(socket.socket())
            self.fill[-1].setblocking(False)
            self.fill[-1].connect_ex(self.listener.getsockname())

    def take_one(self):
        """The next connection, and the first command on it."""
        connection, _ = self.listener.accept()
        with connection.makefile("rb") as source:
            words = words_of(source)
        self.heard.append(words[2])
        return connection

    def release(self):
        def serve(connection):
            with connection, connection.makefile("rb") as source:
                while (words := words_of(source)) is not None:
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
        for one in self.fill:
            one.close()

    entry = PodPeer.entry


class HeldAttemptOverSocketsTest(WithPods):
    def held_pod(self):
        pod = HeldPod()
        self.addCleanup(pod.close)
        return pod

    def test_retry_connected_after_the_window_is_not_written(self):
        pod, window = self.held_pod(), 0.3

        def change(told):
            told["settings"]["categories"][1]["window"] = int(window * 1e9)
            told["settings"]["permissions"]["connect_timeout"] = 9_000_000_000

        with self.program(pod.entry("s-1"), change=change).client() as client:
            client.send("SVC.SUBMIT", "a", "01", MARK, "B")
            connection = pod.take_one()
            pod.hold()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()  # reset: it may have run
            time.sleep(
                window + 0.1
            )  # it was decided before it was heard: its window is over, however long this takes
            pod.release()
            # The next one waits for the same dials, so where the repeat is written it is heard before the answer.
            with self.subTest("answered"):
                self.assertRegex(client.answer(), b"^-ERR")
            self.assertEqual(client.ask("SVC.QUERY", "a", "02", READ), b"02")
        self.assertEqual(pod.heard, [b"01", b"02"])

    def test_non_idempotent_request_is_written_at_most_once_with_slow_dials_and_resets(
        self,
    ):
        held, pod = self.held_pod(), self.pod(lambda words: None)
        held.hold()
        names = [b"%d" % at for at in range(10, 18)]
        with self.program(held.entry("s-1", weight=9.0), pod.entry("s-2")).client() as client:
            for name in names:
                self.assertRegex(client.ask("SVC.SUBMIT", "a", name, PAY, "B"), b"^-")
            written = [pod.heard.get()[2] for _ in range(pod.heard.qsize())]
            held.release()
            until(
                lambda: held.heard,
                lambda: client.ask("SVC.QUERY", "b", f"{time.monotonic_ns()}", READ),
            )
        self.assertEqual(sorted(set(written)), sorted(written))
        self.assertNotEqual(written, [])
        self.assertEqual([name for name in held.heard if name in names], [])


class UnusableConnectionTest(unittest.TestCase):
    def test_new_connection_with_unread_data_fails_its_attempt(self):
        network = Network(endpoint_entry("s-1"))
        ends = counted(network)
        network.ask("01", request_class="pay")
        connection = network.reactor.tcpClients[-1][2].buildProtocol(None)
        connection.makeConnection(Stale())
        self.assertEqual(
            (connection.transport.value(), connection.transport.disconnected), (b"", True)
        )
        self.assertEqual(
            (ends, pods_dialled(network)), ([("01", 0, Outcome.CONNECT_FAILED)], [7001, 7001])
        )

    def test_self_connected_dial_is_not_used(self):
        """At a port of this machine that nobody listens at: what is written comes back, and reads as an answer."""
        network = Network(endpoint_entry("s-1"))
        ends, client = counted(network), network.ask("01", request_class="pay")
        connection, transport = network.reactor.tcpClients[-1][2].buildProtocol(None), Transport()
        transport.peerAddr = transport.getHost()
        connection.makeConnection(transport)
        if asked := transport.value():
            connection.resumeProducing()
            connection.dataReceived(asked)
        self.assertEqual(
            (client.transport.value(), transport.value(), transport.disconnected), (b"", b"", True)
        )
        self.assertEqual(
            (ends, pods_dialled(network)), ([("01", 0, Outcome.CONNECT_FAILED)], [7001, 7001])
        )
        connection.connectionLost(Failure(ConnectionLost()))
        self.assertEqual((len(network.proxy.pools), network.faults), (1, []))


class MalformedResponseTest(unittest.TestCase):
    """What a pod sends without sense or end costs its own connection, and is let go."""

    BULK = b"$%d\r\n%s\r\n" % (500_000, b"x" * 500_000)

    def ended(self, content):
        """(how the attempt ended, how much was read) of one that gets this in pieces, beside another request."""
        network, read = Network(endpoint_entry("s-1")), 0
        ends, client, other = (
            counted(network),
            network.ask("01", request_class="pay"),
            network.ask("02"),
        )
        connection, beside = (
            network.connect(network.initial_dials),
            network.connect(network.initial_dials + 1),
        )
        for one in (connection, beside):
            one.resumeProducing()
        with mock.patch.object(structured_log, "log_rate_limited") as told:
            for at in range(0, len(content), 65536):
                if not connection.transport.disconnected:
                    connection.dataReceived(content[at : at + 65536])
                    read += len(content[at : at + 65536])
        self.assertTrue(connection.transport.disconnected, content[:20])
        self.assertEqual(connection.parser.held, 0)
        if not client.transport.value().startswith(b"$"):
            lines = [
                call.kwargs["reason"]
                for call in told.call_args_list
                if call.args[0] == "late response discarded"
            ]
            self.assertRegex(lines[-1], "answer")  # what was wrong with it
        beside.dataReceived(VALUE_RESPONSE)
        self.assertEqual(other.transport.value(), b"$1\r\nv\r\n")
        connection.connectionLost(Failure(ConnectionLost()))
        self.assertEqual((len(network.proxy.requests_in_flight), network.faults), (0, []))
        self.assertEqual([name for name, *_ in ends], ["01", "02"])
        return ends[0][2], read

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
            self.assertEqual(self.ended(content)[0], Outcome.RESET, content[:20])

    def test_endless_response_is_cut_off(self):
        for content in (b"*64\r\n" + self.BULK * 8, b"*64\r\n$1\r\nv\r\n" + self.BULK * 8):
            outcome, read = self.ended(content)
            self.assertEqual((outcome, read < 800_000), (Outcome.DONE, True))  # its value was whole

    def test_nested_array_ends_the_response_but_a_complete_value_counts(self):
        self.assertEqual(self.ended(b"*3\r\n$1\r\nv\r\n" + b"*64\r\n" * 3)[0], Outcome.DONE)

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
            heard = []
            network.ask(f"{report[:30]}")
            connection = network.connect()
            connection.resumeProducing()
            handle = network.proxy.engine.handle
            network.proxy.engine.handle = lambda now, events, handle=handle, heard=heard: (
                heard.extend(events) or handle(now, events)
            )
            connection.dataReceived(
                b"*3\r\n$1\r\nv\r\n$-1\r\n$%d\r\n%s\r\n" % (len(report), report)
            )
            network.proxy.engine.handle = handle
            self.assertEqual(
                [(event.outcome, event.load) for event in heard],
                [(Outcome.DONE, load)],
                report[:30],
            )


ANSWERS = {
    "good": VALUE_RESPONSE,
    "busy": b"-BUSY\r\n",
    "error": b"-ERR failed\r\n",
    "part": VALUE_RESPONSE[:9],
    "twice": VALUE_RESPONSE * 2,
    "spoilt": VALUE_RESPONSE[:-5] + b"$x1\r\n",
    "noise": b"noise\r\n",
    "null": b"*1\r\n$-1\r\n",
}
LISTED = {
    "ready": {},
    "draining": {"state": "Terminating"},
    "gone": {"state": "Gone"},
    "moved": {},
    "restarted": {"started_ms": 7000},
    "other build": {"build": 40},
}
# What comes, how often among all that comes, and its choices; a number chooses, or says which of what there is.
WHAT = {
    "ask": (6, [("read", 200), ("read", 5000), ("mark", 5000), ("pay", 200), ("pay", 5000)]),
    "exchange": (5, [("read", 5000), ("mark", 5000), ("pay", 5000)]),
    "up": (6, None),
    "up_full": (1, None),
    "flush": (6, None),
    "served": (8, None),
    "answered": (2, None),
    "fail": (2, None),
    "reset": (1, None),
    "leave": (1, None),
    "turn": (3, [()]),
    "moment": (6, [(0.005,), (0.02,), (0.1,)]),
    "later": (1, [(0.3,), (1.0,)]),
    "news": (1, [(0.0,), (1.0,), (1.0,)]),
    "back": (1, [("s-1",), ("s-2",)]),
    "list": (2, [(name, how) for name in ("s-1", "s-2") for how in sorted(LISTED)]),
    "move": (1, [("s-1",), ("s-2",)]),
}
STEPS = st.lists(
    st.tuples(
        st.sampled_from([what for what, (often, _) in WHAT.items() for _ in range(often)]),
        st.integers(0, 63),
    ),
    min_size=50,
    max_size=90,
)


class Stale(Transport):
    has_unread_data = True


class World:
    """A network of two pods on which all that can come in any order does: each step is one thing that comes."""

    def __init__(self, test):
        self.test, self.faults = test, []
        structured_log.log_exception = lambda *fault: self.faults.append(fault)
        self.network = Network(endpoint_entry("s-1"), endpoint_entry("s-2"))
        self.proxy, self.pools = self.network.proxy, self.network.proxy.pools
        self.clients, self.dials, self.connections, self.may_have_run, self.seen = {}, [], [], {}, 0
        self.pools.max_connections = 9

    def pending_dials(self):
        """Takes up dials that are new, ends those that were stopped; gives those that are under way."""
        while self.seen < len(self.network.reactor.tcpClients):
            _, port, factory, *_ = self.network.reactor.tcpClients[self.seen]
            if port > 7000:
                self.dials.append((factory, self.network.reactor.connectors[self.seen]))
            self.seen += 1
        stopped = [dial for dial in self.dials if dial[1].stoppedConnecting]
        self.dials = [dial for dial in self.dials if dial not in stopped]
        for factory, _ in stopped:
            factory.clientConnectionFailed(None, Failure(ConnectionLost()))
        return self.pending_dials() if stopped else self.dials

    def pick(self, some, place):
        return some[place % len(some)] if some else None

    def open(self):
        return [one for one in self.connections if not one.transport.disconnected]

    def ask(self, lane, left):
        name = f"{lane}-{len(self.clients)}"
        self.clients[name] = self.network.ask(name, request_class=lane, timeout_ms=left)

    def up(self, place, transport=Transport):
        if dial := self.pick(self.pending_dials(), place):
            self.dials.remove(dial)
            connection = dial[0].buildProtocol(None)
            self.connections.append(connection)
            connection.makeConnection(transport())

    def up_full(self, place):
        """The pod answers, or closes, before anything was asked."""
        self.up(place, Stale)

    def exchange(self, lane, left):
        """One is asked, and written at once."""
        self.ask(lane, left)
        self.up(-1)
        self.flush(-1)

    def fail(self, place):
        if dial := self.pick(self.pending_dials(), place):
            self.dials.remove(dial)
            dial[0].clientConnectionFailed(None, Failure(ConnectionLost()))

    def flush(self, place):
        if connection := self.pick([one for one in self.open() if one.transport.producer], place):
            name = connection.transport.value().split(b"\r\n")[6].decode()
            connection.transport.clear()
            pod, news = connection.attempt.endpoint, self.proxy.releases.latest
            self.test.assertTrue(
                self.proxy.endpoints.is_ready(pod) and (news.cap or pod.build < news.build), name
            )
            if name.startswith("pay"):
                self.test.assertFalse(self.may_have_run.get(name), name)
            self.may_have_run[name] = True
            connection.resumeProducing()

    def answer(self, place, kind):
        if connection := self.pick(self.connections, place):
            if connection.transport.disconnected:
                return
            name = connection.attempt and connection.attempt.request.id
            if kind == "busy" and name and connection.written:
                self.may_have_run[name] = False
            connection.dataReceived(ANSWERS[kind])

    def reset(self, place):
        if connection := self.pick(self.connections, place):
            self.connections.remove(connection)
            connection.connectionLost(Failure(ConnectionLost()))

    def leave(self, place):
        if name := self.pick(list(self.clients), place):
            self.clients.pop(name).connectionLost(Failure(ConnectionLost()))

    def list(self, name, how):
        told = dict(LISTED[how])
        if how == "moved":
            told["addr"] = "127.0.0.1:%d" % (8000 + len(self.clients))
        self.network.update_endpoints(endpoint_entry(name, told.pop("build", 41), **told))

    def news(self, cap):
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

    def turn(self):
        """The loop tells of the connections that were ended."""
        ended = [
            one
            for one in self.connections
            if one.transport.disconnecting or one.transport.disconnected
        ]
        for connection in ended:
            self.connections.remove(connection)
            connection.connectionLost(Failure(ConnectionLost()))

    def served(self, place):
        """One that waits for its answer gets a good one."""
        if connection := self.pick(
            [one for one in self.open() if one.written and one.pending_response], place
        ):
            self.answer(self.connections.index(connection), "good")

    def answered(self, number):
        """Whatever may come, on any connection."""
        self.answer(number // len(ANSWERS), sorted(ANSWERS)[number % len(ANSWERS)])

    def back(self, name):
        self.list(name, "ready")

    def move(self, name):
        self.list(name, "moved")

    def moment(self, seconds):
        pass_on(self.network, seconds)
        self.pending_dials()

    later = moment

    def step(self, what, number):
        choices = WHAT[what][1]
        getattr(self, what)(*(choices[number % len(choices)] if choices else (number,)))
        self.check()

    def check(self):
        same, dials, by_pod = self.test.assertEqual, self.pending_dials(), self.pools.by_pod
        same((self.faults, self.network.faults), ([], []))
        same(self.pools.dialling, len(dials))
        same({id(one) for one in self.pools.connections}, {id(one) for one in self.connections})
        live = self.proxy.timers.pending
        for call, arguments in live.values():
            for one in (getattr(call, "__self__", None), *arguments):
                self.test.assertFalse(
                    type(one) is PodConnection and one not in self.connections, call
                )
        for pool in by_pod.values():
            same(pool.dialling, sum(dial.pool is pool for dial, _ in dials))
            self.test.assertLessEqual(len(pool.waiting), pool.dialling)
            for connection in pool.idle:
                same(
                    (connection.pending_response, connection.attempt, connection.connector.pool),
                    (None, None, pool),
                )
                same(
                    (connection.transport.disconnecting, connection.transport.disconnected),
                    (False, False),
                )
            for attempt in pool.waiting:
                same(
                    (attempt.in_flight, attempt.connection, attempt.timer in live),
                    (True, None, True),
                )
        for connection in self.connections:
            if connection.transport.disconnecting or connection.transport.disconnected:
                self.test.assertIsNone(connection.pending_response)
        for held in self.proxy.requests_in_flight:
            same(held.attempts_in_flight, sum(attempt.in_flight for attempt in held.attempts))
            self.test.assertTrue(held.attempts_in_flight or not held.closed, held.id)
            for attempt in held.attempts:
                where = sum(attempt in pool.waiting for pool in by_pod.values()) + any(
                    one.attempt is attempt and one.pending_response is not None
                    for one in self.connections
                )
                same(where, 1) if attempt.in_flight else None

    def end(self):
        """Nothing more comes from outside: each request has its one answer, and nothing is kept."""
        for _ in range(40):
            while self.pending_dials():
                self.fail(0)
            self.turn()
            self.moment(1.0)
            self.turn()
            self.check()
        self.test.assertEqual(
            (
                len(self.proxy.requests_in_flight),
                self.proxy.requests.by_id,
                self.pools.unwritten_attempts(),
            ),
            (0, {}, []),
        )
        for name, client in self.clients.items():
            self.test.assertRegex(client.transport.value(), rb"^(\$1\r\nv|-[^\r]*)\r\n$", name)
        self.test.assertEqual((len(self.pools), self.connections), (0, []))
        kept = [
            call
            for call, arguments in self.proxy.timers.pending.values()
            for one in (getattr(call, "__self__", None), *arguments)
            if type(one).__name__
            in ("Attempt", "InFlightRequest", "ConnectionPool", "PodConnection")
        ]
        self.test.assertEqual(kept, [])


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
