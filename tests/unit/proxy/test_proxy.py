"""The proxy on an in-memory network: pending attempts, limits, exceptions and deadlines."""

import copy
import gc
import socket
import time
import unittest
from unittest import mock

import orjson
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from tests.support.peers import SETTINGS
from tests.support.programs import encode_command
from thymeknot.interface.actions import CastVote
from thymeknot.interface.enums import Outcome, ReleasePhase, Verdict
from thymeknot.interface.events import ReleaseUpdate
from thymeknot.protocol.client import ClientConnection
from thymeknot.proxy.in_flight import InFlightRequest
from thymeknot.proxy.proxy import Proxy
from thymeknot.service import configuration, structured_log
from thymeknot.service import lifecycle as life
from thymeknot.state.slot_table import SlotTable
from thymeknot.state.timer_queue import TimerQueue

VALUE_RESPONSE = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"


def endpoint_entry(name, build=41, state="Ready", **fields):
    return {
        "id": name,
        "addr": f"127.0.0.1:{int(name[2:]) + 7000}",
        "state": state,
        "image_id": build,
        **fields,
    }


def configuration_object(*entries, **release):
    """Returns the JSON object of a configuration; build 41 is released unless overridden."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "1f",
        "limits": {"sockets": 1024},
        "settings": copy.deepcopy(SETTINGS),
        "deployer": {
            "address": "127.0.0.1:3",
            "news": {
                "version": 41,
                "step": 1,
                "status": "released",
                "maxWeight": 1.0,
                "observedAgoMs": 60000,
                **release,
            },
        },
        "known": {"version": 7, "full": True, "servers": list(entries)},
    }


OPEN_SOCKETS = socket.socketpair()  # a connection whose peer is open


class Transport(StringTransport):
    ended = disconnected = has_unread_data = False

    def abortConnection(self):
        self.disconnected = True

    def getHandle(self):
        return self

    def recv(self, size, flags):
        if not self.has_unread_data:
            raise BlockingIOError
        return b"*"

    def shutdown(self, how):
        self.ended = True

    def setTcpNoDelay(self, enabled):
        pass

    def fileno(self):
        return OPEN_SOCKETS[0].fileno()

    def startWriting(self):
        """As Twisted's transport: once all is written, a pull producer is asked for more."""
        if self.producer and not self.streaming:
            self.producer.resumeProducing()

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        if not streaming:  # as in Twisted: a pull producer is asked at once
            producer.resumeProducing()


class Network:
    """A sidecar on an in-memory network."""

    def __init__(self, *entries, sockets=1024, polled=False, **release):
        self.reactor, self.faults = MemoryReactorClock(), []
        timers = TimerQueue(
            lambda: 1_000_000 + int(self.reactor.seconds() * 10_000),
            self.reactor.callLater,
            lambda *fault: self.faults.append(fault),
        )
        start = configuration.parse(configuration_object(*entries, **release), 0)._replace(
            sockets=sockets
        )
        start = start._replace(settings=start.settings._replace(lists_polled=polled))
        self.proxy = Proxy(start, self.reactor, timers, 0)
        self.proxy.begin()
        self.initial_dials = len(self.reactor.tcpClients)

    def client(self):
        connection = ClientConnection(self.proxy.listener)
        connection.makeConnection(Transport())
        return connection

    def ask(self, name="01", request_class="read", timeout_ms=5000, connection=None):
        connection = connection or self.client()
        connection.dataReceived(
            encode_command("SVC.QUERY", "key", name, f"c={request_class},d={timeout_ms}")
        )
        return connection

    def close_states(self, *clients):
        """Returns per client whether sending has ended, and whether the connection closes 0.2 s later."""
        half_closed = [client.transport.ended for client in clients]
        self.reactor.advance(0.2)
        self.reactor.advance(0)
        return [
            (sent_end, client.transport.disconnecting)
            for sent_end, client in zip(half_closed, clients)
        ]

    def dialled_ports(self):
        """Returns the ports of endpoints that were dialled, in order."""
        return [port for _, port, *_ in self.reactor.tcpClients[self.initial_dials :]]

    def connect(self, at=-1):
        connection = self.reactor.tcpClients[at][2].buildProtocol(None)
        connection.makeConnection(Transport())
        return connection

    def refuse(self, at=-1):
        self.reactor.tcpClients[at][2].clientConnectionFailed(
            None, Failure(ConnectionRefusedError())
        )

    def update_endpoints(self, *entries):
        self.proxy.endpoints.apply(
            configuration.discovery.read_list({"version": 9, "servers": list(entries)}, 0), "again"
        )


class PendingAttemptsTest(unittest.TestCase):
    def test_pending_attempt_is_withdrawn_when_its_endpoint_drains(self):
        network = Network(endpoint_entry("s-1"))
        network.ask()
        network.update_endpoints(endpoint_entry("s-2"), endpoint_entry("s-1", state="Terminating"))
        self.assertEqual(network.dialled_ports(), [7001, 7002])
        connection = network.connect(-2)
        self.assertEqual(connection.transport.value(), b"")

    def test_pending_attempt_is_not_sent_to_a_replacement_process_of_the_same_name(self):
        network = Network(endpoint_entry("s-1"))
        network.ask()
        network.update_endpoints(endpoint_entry("s-1", build=40))
        self.assertTrue(network.connect(-2).transport.disconnected)
        self.assertEqual(network.connect(-1).transport.value()[:3], b"*4\r")
        self.assertEqual(len(network.proxy.requests.by_id), 1)

    def test_pending_attempt_is_withdrawn_when_the_cap_is_lowered(self):
        network = Network(
            endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
        )
        client = network.ask()
        network.proxy.handle_events(
            ReleaseUpdate(42, 0, ReleasePhase.ROLLING_BACK, False, Outcome.DONE, 0.0, 0)
        )
        self.assertRegex(client.transport.value(), b"^-BUSY")
        self.assertEqual(network.connect().transport.value(), b"")

    def test_attempt_with_connect_timeout_is_retried_as_not_run(self):
        network = Network(endpoint_entry("s-1"))
        network.ask(request_class="pay")
        network.reactor.advance(0.3)
        network.reactor.advance(0)
        self.assertTrue(network.reactor.connectors[-1].stoppedConnecting)
        network.refuse()
        self.assertEqual(network.dialled_ports(), [7001, 7001])

    def test_freed_connection_serves_the_waiting_attempt_after_its_rest(self):
        network = Network(endpoint_entry("s-1"))
        network.ask("01")
        first = network.connect()
        network.ask("02")
        first.resumeProducing()
        first.dataReceived(VALUE_RESPONSE)
        network.reactor.advance(0.009)
        self.assertNotIn(b"$2\r\n02\r\n", first.transport.value())
        network.reactor.advance(0.002)
        self.assertIn(b"$2\r\n02\r\n", first.transport.value())

    def test_partially_written_attempt_is_retried_as_not_run(self):
        network = Network(endpoint_entry("s-1"))
        network.ask(request_class="pay")
        network.connect().connectionLost(Failure(ConnectionRefusedError()))
        self.assertEqual(network.dialled_ports(), [7001, 7001])

    def test_moved_endpoint_is_dialled_at_its_new_address(self):
        network = Network(endpoint_entry("s-1"))
        network.ask("01")
        idle = network.connect()
        idle.resumeProducing()
        idle.dataReceived(VALUE_RESPONSE)
        network.update_endpoints(endpoint_entry("s-1", addr="127.0.0.1:9"))
        network.ask("02")
        self.assertEqual((idle.transport.disconnecting, network.dialled_ports()), (True, [7001, 9]))

    def test_key_is_sticky_after_a_written_attempt_is_abandoned(self):
        for end in ("time-out", "client", "reset"):
            network = Network(
                endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
            )
            client = network.ask(timeout_ms=200)
            connection = network.connect()
            connection.resumeProducing()
            if end == "time-out":
                network.reactor.advance(0.2)
                network.reactor.advance(0)
            else:
                (client if end == "client" else connection).connectionLost(
                    Failure(ConnectionRefusedError())
                )
            self.assertEqual(network.proxy.engine.pinned_keys, {"key"})

    def test_closed_connection_leaves_no_timers_or_buffered_data(self):
        network = Network(endpoint_entry("s-1"))
        network.ask()
        connection = network.connect()
        connection.resumeProducing()
        connection.dataReceived(b"*3\r\n$600000\r\n" + b"x" * 9000)
        self.assertTrue(connection.transport.disconnected)
        connection.connectionLost(Failure(ConnectionRefusedError()))
        live = network.proxy.timers.pending.values()
        self.assertEqual([call for call, arguments in live if connection in arguments], [])
        self.assertEqual(connection.parser.chunks, [])

    def test_late_response_makes_the_key_sticky(self):
        network = Network(
            endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
        )
        network.ask(timeout_ms=200)
        connection = network.connect()
        connection.resumeProducing()
        network.reactor.advance(0.2)
        network.reactor.advance(0)
        self.assertTrue(connection.transport.ended)
        network.proxy.engine.pinned_keys.clear()
        connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual(network.proxy.engine.pinned_keys, {"key"})

    def test_partial_or_malformed_late_response_makes_the_key_sticky(self):
        for answer in (
            VALUE_RESPONSE[:9],
            b"noise",
            b"*3\r\n$9\r\nv\r\n$-1\r\n$-1\r\n",
            b"*1\r\n$-1\r\n",
        ):
            network = Network(
                endpoint_entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0
            )
            network.ask()
            connection = network.connect()
            connection.resumeProducing()
            connection.dataReceived(answer)
            self.assertEqual(network.proxy.engine.pinned_keys, {"key"})
            self.assertEqual(connection.transport.disconnected, answer != VALUE_RESPONSE[:9])


class OpenRequestMemoryTest(unittest.TestCase):
    """Ended requests are freed at once, and open ones take a bounded part of the memory."""

    BODY = b"x" * 60_000

    def submit(self, network, name, connection=None, body=BODY):
        connection = connection or network.client()
        words = ("SVC.SUBMIT", "key", name, "c=pay,d=5000", body)
        connection.dataReceived(encode_command(*words))
        return connection

    def count_requests(self, network):
        """Returns how many requests of this network exist, whether or not they have ended."""
        requests = [found for found in gc.get_objects() if type(found) is InFlightRequest]
        return sum(request.connection.owner is network.proxy.listener for request in requests)

    # Guards against ended requests that were kept until the next full garbage collection.
    def test_ended_request_is_freed_without_garbage_collection(self):
        for end in ("response", "rejection", "client gone", "time-out"):
            with self.subTest(end):
                network = Network(endpoint_entry("s-1"))
                client = self.submit(network, "01")
                gc.disable()
                self.addCleanup(gc.enable)
                self.assertEqual(self.count_requests(network), 1)
                connection = network.connect()
                connection.resumeProducing()
                if end == "response":
                    connection.dataReceived(VALUE_RESPONSE)
                elif end == "rejection":
                    connection.dataReceived(b"-BUSY\r\n")
                elif end == "client gone":
                    client.connectionLost(Failure(ConnectionRefusedError()))
                else:
                    network.reactor.advance(5)
                    network.reactor.advance(0)
                for _ in range(60):  # until the connection is closed, or idle
                    network.reactor.advance(0.1)
                    network.reactor.advance(0)
                self.assertEqual(self.count_requests(network), 0)
                memory = network.proxy.requests.memory
                self.assertEqual((memory.used, memory.held), (0, {}))
                gc.enable()

    # Guards against a process over its memory limit because of few clients with large requests.
    def test_requests_over_the_budget_are_rejected_and_those_of_other_clients_are_not(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.requests.memory.set_memory_limit(64)
        limit = network.proxy.requests.memory.limit
        heavy_clients = [network.client() for _ in range(24)]
        for number in range(40):
            for index, client in enumerate(heavy_clients):
                self.submit(network, f"{index}-{number}", client)
        used = network.proxy.requests.memory.used
        self.assertTrue(limit / 2 < used <= limit, used)
        for client in heavy_clients:
            held = network.proxy.requests.memory.held[client]
            self.assertTrue(0 < held < 2 * limit / len(heavy_clients), held)
        usual = self.submit(network, "usual", body=b"BODY")
        self.assertIsNotNone(network.proxy.requests.find("usual"))
        self.assertEqual(usual.transport.value(), b"")
        heavy_clients[0].connectionLost(Failure(ConnectionRefusedError()))
        self.assertNotIn(heavy_clients[0], network.proxy.requests.memory.held)
        self.assertLess(network.proxy.requests.memory.used, used)

    def test_request_over_the_budget_gets_the_usual_rejection(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.requests.memory.set_memory_limit(0.25)
        client = self.submit(network, "01")
        self.assertEqual(client.transport.value(), b"-BUSY\r\n")
        self.assertEqual(network.dialled_ports(), [])


class UnexpectedBytesTest(unittest.TestCase):
    def network_with_response(self, response, stale=False):
        """Returns a network whose first request got this response, and the connection."""
        network = Network(endpoint_entry("s-1"))
        client = network.ask("01", timeout_ms=900)
        connection = network.connect()
        connection.resumeProducing()
        connection.transport.has_unread_data = stale
        connection.dataReceived(response)
        self.assertEqual(client.transport.value(), b"$1\r\nv\r\n")
        return network, connection

    def test_surplus_response_bytes_close_the_connection_and_answer_no_other_request(self):
        for more in (VALUE_RESPONSE, b"noise", b"$5\r\n"):
            network, connection = self.network_with_response(VALUE_RESPONSE + more)
            network.ask("02")
            self.assertTrue(connection.transport.disconnected)
            self.assertEqual(network.dialled_ports(), [7001, 7001])

    def test_malformed_bytes_after_a_complete_value_only_close_the_connection(self):
        network, connection = self.network_with_response(VALUE_RESPONSE[:-5] + b"$x1\r\n")
        self.assertTrue(connection.transport.disconnected)

    def test_unread_bytes_do_not_answer_the_next_request(self):
        network, connection = self.network_with_response(VALUE_RESPONSE, stale=True)
        self.assertTrue(connection.transport.disconnected)
        network, connection = self.network_with_response(VALUE_RESPONSE)
        network.reactor.advance(
            0.02
        )  # otherwise it rests, and the next request uses another one anyway
        connection.transport.has_unread_data = True
        network.ask("02")
        self.assertEqual(
            (connection.transport.disconnected, network.dialled_ports()), (True, [7001, 7001])
        )

    def test_any_bytes_on_an_idle_connection_close_it(self):
        network, connection = self.network_with_response(VALUE_RESPONSE)
        connection.dataReceived(b"$5\r\nab")
        self.assertTrue(connection.transport.disconnected)


class LimitsTest(unittest.TestCase):
    def test_request_is_rejected_without_descriptors_for_endpoints(self):
        network = Network(endpoint_entry("s-1"), sockets=64)
        clients = [network.ask(f"{number}") for number in range(20)]
        self.assertEqual(len(network.dialled_ports()), network.proxy.pools.max_connections)
        self.assertRegex(clients[-1].transport.value(), b"^-BUSY")

    def test_silent_client_or_partial_command_is_answered_and_closed_in_time(self):
        network = Network(endpoint_entry("s-1"))
        silent, partial, idle = network.client(), network.client(), network.client()
        partial.dataReceived(encode_command("PING")[:5])
        idle.dataReceived(encode_command("PING"))
        for _ in range(2):
            network.reactor.advance(2.5)
            network.reactor.advance(0)
        self.assertEqual(
            network.close_states(silent, partial, idle),
            [(True, True), (True, True), (False, False)],
        )
        self.assertRegex(partial.transport.value(), b"^-ERR")
        idle.dataReceived(encode_command("PING")[:5])
        network.reactor.advance(2.5)
        network.reactor.advance(0)
        self.assertEqual(network.close_states(idle), [(True, True)])

    def test_client_that_does_not_read_is_paused_and_closed_in_time(self):
        network = Network(endpoint_entry("s-1"))
        slow, stuck = network.client(), network.client()
        for connection in (slow, stuck):
            connection.dataReceived(encode_command("PING"))
            connection.pauseProducing()
            self.assertEqual(connection.transport.producerState, "paused")
        slow.resumeProducing()
        for _ in range(2):
            network.reactor.advance(10)
            network.reactor.advance(0)
        self.assertEqual(
            [
                (connection.transport.disconnected, connection.transport.producerState)
                for connection in (slow, stuck)
            ],
            [(False, "producing"), (True, "paused")],
        )

    def test_client_that_sent_nothing_is_evicted_before_one_that_did(self):
        network = Network(endpoint_entry("s-1"), sockets=64)
        active = network.ask("01")
        clients = [network.client() for _ in range(network.proxy.listener.max_clients - 2)]
        clients[0].dataReceived(b"*2")
        clients[1].transport.has_unread_data = True  # its command has arrived, but is not read yet
        newest = [network.client() for _ in range(2)]
        self.assertTrue(clients[0].transport.disconnected)
        self.assertEqual(
            [
                connection.transport.disconnecting
                for connection in (active, clients[1], clients[2], *newest)
            ],
            [False, False, True, False, False],
        )

    def test_many_idle_clients_leave_room_for_new_ones(self):
        network = Network()
        clients = []
        for _ in range(3 * network.proxy.listener.max_clients):
            clients.append(network.client())
            clients[-1].dataReceived(encode_command("PING"))
            network.reactor.advance(0.05)
            if clients[0].transport.disconnecting:
                clients.pop(0).connectionLost(Failure(ConnectionRefusedError()))
        self.assertLess(len(network.proxy.clients), network.proxy.listener.max_clients / 2)
        self.assertGreater(len(network.proxy.clients), network.proxy.listener.max_clients / 4)

    def test_no_request_is_held_beyond_the_outer_limit_of_its_class(self):
        network = Network()
        network.proxy.engine.handle = lambda *_: []
        client = network.ask(timeout_ms=999_999_999)
        network.reactor.advance(20.1)
        network.reactor.advance(0)
        self.assertRegex(client.transport.value(), b"^-ERR")

    def test_endpoint_that_returns_with_another_build_gets_new_connections(self):
        network = Network(endpoint_entry("s-1"))
        network.ask("01")
        busy = network.connect()
        busy.resumeProducing()
        network.update_endpoints(endpoint_entry("s-1", build=40, addr="127.0.0.1:9"))
        busy.dataReceived(VALUE_RESPONSE)
        self.assertTrue(busy.transport.disconnected)
        network.update_endpoints(endpoint_entry("s-1", state="Gone"))
        self.assertEqual((network.proxy.addresses, network.proxy.pools.by_pod), ({}, {}))

    def test_idle_client_is_evicted_for_a_new_one(self):
        network = Network(endpoint_entry("s-1"), sockets=64)
        clients = [network.client() for _ in range(network.proxy.listener.max_clients)]
        self.assertEqual(
            [client.transport.disconnecting for client in clients],
            [True] + [False] * (len(clients) - 1),
        )

    def test_closing_connection_answers_a_partially_received_command(self):
        network, ping = Network(), encode_command("PING")
        client = network.client()
        client.dataReceived(ping[:5])
        client.finish()
        self.assertEqual(network.close_states(client), [(False, False)])
        client.dataReceived(ping[5:])
        self.assertEqual(
            (client.transport.value(), network.close_states(client)), (b"+PONG\r\n", [(True, True)])
        )

    def test_idle_connection_is_closed_before_the_endpoint_closes_it(self):
        network = Network(endpoint_entry("s-1"))
        network.ask()
        connection = network.connect()
        connection.resumeProducing()
        connection.dataReceived(VALUE_RESPONSE)
        for _ in range(14):
            network.reactor.advance(1)
            network.reactor.advance(0)
        self.assertTrue(connection.transport.disconnecting)

    def test_engine_exception_fails_its_request_and_the_next_one_is_served(self):
        network = Network(endpoint_entry("s-1"))
        handle, network.proxy.engine.handle = network.proxy.engine.handle, lambda *_: 1 / 0
        client = network.ask("01")
        self.assertRegex(client.transport.value(), b"^-ERR")
        network.proxy.engine.handle = handle
        network.ask("02")
        self.assertEqual(network.dialled_ports(), [7001])

    def test_request_missed_by_the_engine_is_answered_at_its_deadline(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.engine.handle = lambda *_: []
        client = network.ask(timeout_ms=200)
        network.reactor.advance(0.21)
        network.reactor.advance(0)
        self.assertRegex(client.transport.value(), b"^-ERR")
        self.assertEqual(len(network.proxy.requests_in_flight), 0)

    def test_completed_requests_are_released(self):
        network = Network(endpoint_entry("s-1"))
        client, other = network.ask("01"), network.ask("02")
        other.connectionLost(Failure(ConnectionRefusedError()))
        connection = network.connect(network.initial_dials)
        connection.resumeProducing()
        connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual(client.transport.value(), b"$1\r\nv\r\n")
        self.assertEqual(
            (len(network.proxy.requests_in_flight), network.proxy.requests.by_id), (0, {})
        )


class PlatformAndDiscoveryCallsTest(unittest.TestCase):
    def cast_vote(self, network):
        """Casts a vote; returns the list of events that the engine receives from then on."""
        handled_events = []
        network.proxy.releases.cast_vote(CastVote(41, 1, Verdict.ABORT))
        network.proxy.engine.handle = lambda now, events: handled_events.extend(events) or []
        return handled_events

    def advance(self, network, seconds):
        network.reactor.advance(seconds)
        network.reactor.advance(0)

    def test_written_vote_without_response_may_have_counted(self):
        network = Network()
        handled_events = self.cast_vote(network)
        call = network.connect()
        call.resumeProducing()
        self.advance(network, 1.3)
        self.assertEqual(
            [event.outcome for event in handled_events if type(event) is ReleaseUpdate],
            [Outcome.TIMED_OUT],
        )

    def test_vote_log_line_has_its_evidence(self):
        network = Network()
        with mock.patch.object(structured_log, "log") as logged:
            self.cast_vote(network)
            network.connect().resumeProducing()
            self.advance(network, 1.3)
        (line,) = [call.kwargs for call in logged.call_args_list if call.args == ("vote",)]
        orjson.dumps(line)
        self.assertEqual(
            {name: line[name] for name in ("verdict", "attempts", "failed", "excluded", "judged")},
            {"verdict": Verdict.ABORT, "attempts": 0, "failed": 0, "excluded": {}, "judged": 0},
        )
        self.assertEqual(set(line["bounds"]), {"failed", "slow"})

    def test_partially_written_or_unconnected_vote_did_not_count(self):
        network = Network()
        handled_events = self.cast_vote(network)
        network.connect()
        self.advance(network, 1.3)
        network.proxy.releases.cast_vote(CastVote(41, 1, Verdict.ABORT))
        self.advance(network, 1.3)
        self.assertTrue(network.reactor.connectors[-1].stoppedConnecting)
        network.refuse()
        self.assertEqual(
            [event.outcome for event in handled_events if type(event) is ReleaseUpdate],
            [Outcome.ERROR, Outcome.ERROR],
        )

    def test_silent_stream_is_reopened(self):
        network = Network()
        stream = network.connect(1)
        stream.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(6):  # a keep-alive each second
            self.advance(network, 1)
            stream.dataReceived(b"2\r\n:\n\r\n")
        dialled = [port for _, port, *_ in network.reactor.tcpClients]
        for _ in range(6):
            self.advance(network, 1)
        now = [port for _, port, *_ in network.reactor.tcpClients]
        self.assertEqual((dialled.count(3), now.count(3)), (1, 2))

    def test_silent_stream_is_kept_until_its_replacement_sends_data(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for old_sends in (True, False):
            network = Network()
            old = network.connect(1)
            old.dataReceived(head + b"2\r\n:\n\r\n")
            for _ in range(9):
                self.advance(network, 0.5)
            new = network.connect()
            self.assertEqual(
                (old.transport.disconnected, network.reactor.tcpClients[-1][1]), (False, 3)
            )
            if old_sends:
                old.dataReceived(b"2\r\n:\n\r\n")
            else:
                new.dataReceived(head + b"2\r\n:\n\r\n")
            self.assertEqual(
                (old.transport.disconnected, new.transport.disconnected),
                (not old_sends, old_sends),
            )

    def test_old_stream_is_kept_until_the_new_address_sends_data(self):
        network, keep_alive = Network(), b"2\r\n:\n\r\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        old = network.connect(1)
        old.dataReceived(head + keep_alive)
        for port in (8, 9):  # twice in a row
            changed = configuration_object()
            changed["deployer"]["address"] = f"127.0.0.1:{port}"
            self.assertEqual(network.proxy.reconfigure(configuration.parse(changed, 0)), [])
        network.refuse()
        old.dataReceived(keep_alive)  # does not stop the retries, since it is from the old address
        for _ in range(9):
            self.advance(network, 0.1)
        new = network.connect()
        self.assertEqual([port for _, port, *_ in network.reactor.tcpClients], [2, 3, 8, 9, 9])
        new.dataReceived(head)
        self.assertFalse(old.transport.disconnected)
        new.dataReceived(keep_alive)
        self.assertEqual(
            (old.transport.disconnected, network.proxy.releases.stream.current), (True, new)
        )
        network.proxy.releases.cast_vote(CastVote(41, 1, Verdict.ABORT))
        self.assertEqual(network.reactor.tcpClients[-1][1], 9)

    def test_reload_names_the_keys_that_need_a_restart(self):
        network = Network()
        later = configuration.parse(
            {**configuration_object(), "listen": "127.0.0.1:7", "limits": {"sockets": 99}}, 0
        )
        self.assertEqual(network.proxy.reconfigure(later), ["limits.sockets", "listen"])

    def test_malformed_stream_is_reopened_and_the_state_kept(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for malformed in (
            b"event: progress\ndata: version=x&step=1\n\n",
            b"event: progress\ndata: version=42&step=1"
            b"&status=trial&maxWeight=1&observedAgoMs=inf\n\n",
            b"\x00noise\n",
        ):
            network = Network()
            stream, state_before = network.connect(1), network.proxy.releases.latest
            stream.dataReceived(head + b"%x\r\n%s\r\n" % (len(malformed), malformed))
            self.assertTrue(stream.transport.disconnected)
            for _ in range(9):
                self.advance(network, 0.1)
            self.assertEqual([port for _, port, *_ in network.reactor.tcpClients].count(3), 2)
            self.assertEqual((network.proxy.releases.latest, network.faults), (state_before, []))

    def test_endless_response_is_not_buffered(self):
        network = Network()
        handled_events = self.cast_vote(network)
        call = network.connect()
        call.resumeProducing()
        call.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(70):
            call.dataReceived(b"x" * 65536)
        self.assertTrue(call.transport.disconnected)
        self.assertEqual(
            [event.outcome for event in handled_events if type(event) is ReleaseUpdate],
            [Outcome.TIMED_OUT],
        )

    def test_refused_stream_is_reopened_without_an_exception(self):
        network = Network()
        network.refuse(1)
        for _ in range(9):
            self.advance(network, 0.1)
        self.assertEqual([port for _, port, *_ in network.reactor.tcpClients].count(3), 2)
        self.assertEqual(network.faults, [])


class InternalStructuresTest(unittest.TestCase):
    def test_reactor_clock_is_monotonic(self):
        self.assertLess(abs(life.monotonic_reactor().seconds() - time.monotonic()), 60)

    def test_slots_are_numbered_and_reused(self):
        slots = SlotTable()
        first, second = slots.add("a"), slots.add("b")
        slots.remove(first)
        slots.remove(first)
        self.assertEqual(
            (slots.add("c"), slots.get(second), len(slots), slots.peak), (first, "b", 2, 2)
        )

    def test_timers_fire_in_order_of_time_then_of_registration(self):
        reactor, called, faults = MemoryReactorClock(), [], []
        timers = TimerQueue(
            lambda: int(reactor.seconds() * 10_000),
            reactor.callLater,
            lambda *fault: faults.append(fault),
        )
        timers.add(200, called.append, "late")
        timers.add(100, called.append, "first")
        timers.add(100, called.index, "none")
        timers.add(100, called.append, "second")
        timers.cancel(timers.add(100, called.append, "cancelled"))
        for _ in range(4):
            reactor.advance(0.01)
            reactor.advance(0)
        self.assertEqual((called, len(faults)), (["first", "second", "late"], 1))


class ConfigurationTest(unittest.TestCase):
    def test_error_names_the_faulty_key(self):
        cases = {
            "listen": 5,
            "discovery": "nowhere",
            "deployer": {"address": "h:1"},
            "seed": "xyz",
            "known": {},
            "settings": [],
            "limits": {"sockets": 3},
        }
        for key, faulty in cases.items():
            with self.assertRaisesRegex(configuration.ConfigurationError, f"^{key}"):
                configuration.parse({**configuration_object(), key: faulty}, 0)
        settings = copy.deepcopy(SETTINGS)
        settings["categories"][1]["worth"] = "much"
        with self.assertRaisesRegex(
            configuration.ConfigurationError, "settings: .*categories.1.worth"
        ):
            configuration.parse({**configuration_object(), "settings": settings}, 0)

    def test_defaults_and_unknown_keys(self):
        start = configuration.parse(
            {**configuration_object(), "limits": None, "name": None, "weather": 1}, 0
        )
        self.assertEqual(
            (start.name, start.sockets, start.seed), ("sidecar", configuration.DEFAULT_SOCKETS, 31)
        )
        self.assertEqual(
            (start.settings.stage_fractions, start.connection_limits.connect_timeout),
            ((0.5, 1.0), 2500),
        )
