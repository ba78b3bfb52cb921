"""Closing of client connections over real sockets, with the event loop stepped by hand.

Stepping the loop makes data that waits unread in the kernel do so in every run.
"""

import contextlib
import errno
import select
import socket
import time
import unittest
from unittest import mock

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionLost
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

from tests.support.peers import reserve_port
from tests.support.programs import encode_command
from tests.support.unfinished_handshakes import hold_handshakes
from tests.unit.proxy.test_proxy import VALUE_RESPONSE, Network, endpoint_entry
from thymeknot.interface.events import ClientDisconnected
from thymeknot.protocol.client import (
    COMMAND_TIMEOUT,
    COMMANDS_PER_TURN,
    DISCONNECT_CHECK_INTERVAL,
    EVICTION_FLUSH_TIMEOUT,
    LINGER_TIME,
    MAX_PIPELINED_COMMANDS,
    ClientConnection,
)
from thymeknot.protocol.listening_socket import count_unfinished_handshakes
from thymeknot.proxy import listener_closer
from thymeknot.proxy.client_listener import CLOSING_ALLOWANCE, MAX_WAITING_PER_TURN
from thymeknot.proxy.ended_ids import MAX_ENDED_IDS
from thymeknot.proxy.graceful_shutdown import BACKLOG_ACCEPT_TIMEOUT
from thymeknot.proxy.listener_closer import MAX_HANDSHAKE_TIME

READ_AT_ONCE_BYTES = 65_536
PING, PONG = encode_command("PING"), b"+PONG\r\n"


def query(name, timeout_ms=5000):
    return encode_command("SVC.QUERY", "key", name, f"c=read,d={timeout_ms}")


class SocketNetwork(Network):
    """A sidecar with real client connections; endpoint connections and time are simulated."""

    def __init__(self, *entries, **options):
        super().__init__(*entries, **options)
        self.loop, self.listener = EPollReactor(), socket.create_server(("127.0.0.1", 0))

    def step(self, times=3):
        for _ in range(times):
            self.loop.iterate(0)

    def advance_time(self, ticks):
        """Advances time by ticks of 0.1 ms. Timers need a second iteration of the loop."""
        for _ in range(2):
            self.reactor.advance(ticks / 10_000 / 2)
            self.reactor.advance(0)
        self.step()

    def handle_all_commands(self, connection):
        """Runs the loop until the commands that it reads at once have had their turns."""
        self.step()
        while connection.waiting_messages is not None:
            self.advance_time(1)

    def open_connection(self):
        """Returns the client's socket and the sidecar's connection."""
        client_socket = socket.create_connection(self.listener.getsockname(), timeout=5)
        server_socket, address = self.listener.accept()
        server_socket.setblocking(False)
        connection = ClientConnection(self.proxy.listener)
        transport = Server(server_socket, connection, address, None, 0, self.loop)
        transport.startReading()
        connection.makeConnection(transport)
        return client_socket, connection

    def close(self):
        self.listener.close()
        for client in self.proxy.clients:
            client.transport.abortConnection()
        self.step()
        for reader in [*self.loop.removeAll(), self.loop.waker]:
            reader.connectionLost(None)
        self.loop._poller.close()  # Twisted leaves it to the garbage collector


def read_to_end(client_socket):
    """Reads until the connection ends. A reset is indicated by the suffix RESET."""
    received = b""
    try:
        while chunk := client_socket.recv(65536):
            received += chunk
    except ConnectionResetError:
        return received + b"RESET"
    return received


class CrowdTurnsTest(unittest.TestCase):
    """Usual requests come to their turn beside clients that say nothing, or much at once."""

    # Guards against usual requests that wait for seconds in the kernel's queue behind connections
    # that say nothing: one was accepted in a turn while all places were taken.
    def test_request_behind_silent_connections_is_reached_in_few_turns(self):
        silent_count = 60
        network = SocketNetwork(endpoint_entry("s-1"), sockets=64)
        self.addCleanup(network.close)
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        proxy.listener.address = ("127.0.0.1", 0)
        proxy.serve()
        address = proxy.listener.port.socket.getsockname()
        for _ in range(silent_count):
            self.addCleanup(socket.create_connection(address, timeout=5).close)
        usual = socket.create_connection(address, timeout=5)
        self.addCleanup(usual.close)
        usual.sendall(PING)
        usual.setblocking(False)
        turns, answer, most_open = 0, b"", 0
        while not answer:
            network.reactor.advance(0.0001)
            network.step(1)
            most_open = max(most_open, len(proxy.clients))
            turns += 1
            self.assertLess(turns, silent_count / 2)
            with contextlib.suppress(BlockingIOError):
                answer = usual.recv(100)
        self.assertEqual(answer, b"+PONG\r\n")
        self.assertLessEqual(most_open, proxy.listener.max_clients + CLOSING_ALLOWANCE)

    # Guards against turns of the event loop that grow with the number of clients that send many
    # commands at once.
    def test_one_turn_handles_the_waiting_commands_of_few_connections(self):
        clients_count, commands = 30, 4
        network = Network(endpoint_entry("s-1"))
        clients = [network.client() for _ in range(clients_count)]
        for client in clients:
            client.dataReceived(PING * commands)

        def handled():
            return [client.transport.value().count(b"PONG") for client in clients]

        self.assertEqual(handled(), [1] * clients_count)
        before = clients_count
        while sum(handled()) < clients_count * commands:
            network.reactor.advance(0.0001)
            network.reactor.advance(0)
            counts = handled()
            self.assertTrue(0 < sum(counts) - before <= MAX_WAITING_PER_TURN, counts)
            self.assertLessEqual(max(counts) - min(counts), 1)  # in order, so that none waits long
            before = sum(counts)

    def test_connection_that_ends_while_it_waits_holds_up_nobody(self):
        network = Network(endpoint_entry("s-1"))
        first, second = network.client(), network.client()
        for client in (first, second):
            client.dataReceived(PING * 3)
        first.connectionLost(Failure(ConnectionLost()))
        for _ in range(12):
            network.reactor.advance(0.0001)
            network.reactor.advance(0)
        self.assertEqual(
            [client.transport.value().count(b"PONG") for client in (first, second)], [1, 3]
        )


class ClientConnectionSocketTest(unittest.TestCase):
    def network(self, *entries, **options):
        network = SocketNetwork(*entries, **options)
        self.addCleanup(network.close)
        return network

    def open_connection(self, network):
        client_socket, connection = network.open_connection()
        self.addCleanup(client_socket.close)
        return client_socket, connection

    def test_request_unread_when_last_response_is_sent_is_answered_before_close(self):
        network = self.network()
        client_socket, connection = self.open_connection(network)
        client_socket.sendall(PING)
        connection.finish = lambda: None  # until the test asks for it
        network.step()
        del connection.finish
        client_socket.sendall(PING)  # unread in the kernel: the loop does not run before finish()
        connection.finish()
        network.step()
        network.advance_time(2 * LINGER_TIME)
        self.assertEqual(read_to_end(client_socket), PONG * 2)

    def test_request_read_in_same_iteration_as_finish_is_answered(self):
        network = self.network()
        client_socket, connection = self.open_connection(network)
        connection.finish()
        connection.dataReceived(PING)  # before the loop has written the response
        network.step()
        network.advance_time(2 * LINGER_TIME)
        self.assertEqual(read_to_end(client_socket), PONG)

    def test_request_sent_after_end_of_stream_is_not_read_and_responses_are_not_reset(self):
        network = self.network()
        client_socket, connection = self.open_connection(network)
        client_socket.sendall(PING)
        network.step()
        connection.finish()
        network.step()
        client_socket.sendall(PING)  # the client sees the end of stream and repeats it elsewhere
        network.step()
        self.assertEqual(read_to_end(client_socket), PONG)
        network.advance_time(2 * LINGER_TIME)
        self.assertEqual(len(network.proxy.clients), 0)

    def test_finish_waits_for_first_command_of_new_connection(self):
        network = self.network()
        client_socket, connection = self.open_connection(network)
        connection.finish()
        network.advance_time(4_000)
        client_socket.sendall(PING)
        network.step()
        network.advance_time(2 * LINGER_TIME)
        self.assertEqual(read_to_end(client_socket), PONG)

    def test_syntax_error_after_valid_commands_is_reported_despite_trailing_data(self):
        for malformed, reason in (
            (b"nonsense\r\n", b"neither an array nor a string begins here"),
            (b"*1\r\n*1\r\n", b"an array in a command"),
        ):
            network = self.network()
            client_socket, connection = self.open_connection(network)
            client_socket.sendall(PING + malformed)
            network.step(1)
            client_socket.sendall(b"more" * 20_000)  # unread when the connection closes
            network.step(9)
            network.advance_time(2 * LINGER_TIME)
            self.assertEqual(read_to_end(client_socket), PONG + b"-ERR syntax: " + reason + b"\r\n")
            self.assertEqual(len(network.proxy.clients), 0)

    def test_half_closed_client_still_receives_responses(self):
        network = self.network()
        client_socket, _ = self.open_connection(network)
        client_socket.sendall(PING)
        client_socket.shutdown(socket.SHUT_WR)  # the command and the end of stream arrive together
        network.step(9)
        self.assertEqual(read_to_end(client_socket), PONG)
        self.assertEqual(len(network.proxy.clients), 0)

    def test_pending_requests_of_half_closed_client_are_not_forwarded(self):
        network = self.network(endpoint_entry("s-1"))
        client_socket, _ = self.open_connection(network)
        client_socket.sendall(query("01"))
        network.step()
        self.assertEqual(network.dialled_ports(), [7001])
        client_socket.shutdown(socket.SHUT_WR)
        network.step(9)
        late_connection = network.connect()
        self.assertEqual(
            (late_connection.transport.value(), len(network.proxy.requests_in_flight)), (b"", 0)
        )

    def test_disconnect_is_detected_while_reading_is_paused(self):
        """A connection with too many pending commands is not read, so no read sees its end."""
        for disconnect in (
            lambda client_socket: client_socket.close(),
            lambda client_socket: client_socket.shutdown(socket.SHUT_WR),
        ):
            network = self.network(*(endpoint_entry(f"s-{at}") for at in range(9)))
            network.proxy.memory.receive_buffer_bytes = READ_AT_ONCE_BYTES
            client_socket, connection = self.open_connection(network)
            client_socket.sendall(
                b"".join(query(f"{at}") for at in range(MAX_PIPELINED_COMMANDS + 9))
            )
            network.handle_all_commands(connection)
            client_socket.sendall(PING)  # unread, ahead of the end of stream
            disconnect(client_socket)
            network.step()
            self.assertFalse(connection.reading)
            self.assertGreater(len(network.proxy.requests_in_flight), MAX_PIPELINED_COMMANDS // 2)
            network.advance_time(2 * DISCONNECT_CHECK_INTERVAL)
            self.assertEqual(len(network.proxy.requests_in_flight), 0)
            dialled = len(network.dialled_ports())
            self.assertEqual(
                [network.connect(at - dialled).transport.value() for at in range(dialled)],
                [b""] * dialled,
            )

    # Guards against requests that were read and lost with their connection, by a fault of one.
    def test_fault_in_one_command_frees_no_other_request_of_its_answer(self):
        for faulty_part in ("command", "parser"):
            network = Network(endpoint_entry("s-1"))
            accept = network.proxy.listener.request_received

            def fail_some(connection, sequence, command, accept=accept):
                if command.id == b"bad":
                    raise RuntimeError("injected")
                accept(connection, sequence, command)

            network.proxy.listener.request_received = fail_some
            client = network.ask("01")
            if faulty_part == "parser":
                client.parser.feed = lambda data: (1 // 0 for _ in data)
                client.dataReceived(PING)
            else:
                client.dataReceived(query("bad") + query("02"))
            self.assertEqual(client.transport.value(), b"")
            self.assertFalse(client.transport.disconnected)
            pod = network.connect(network.initial_dials)
            pod.resumeProducing()
            pod.dataReceived(VALUE_RESPONSE)
            answers = client.transport.value().split(b"\r\n")
            self.assertEqual((answers[:2], len(answers)), ([b"$1", b"v"], 4))
            self.assertEqual(answers[2][:4], b"-ERR")
            self.assertEqual(network.close_states(client), [(True, True)])

    # Guards against one connection at full speed that delays the requests of all others.
    def test_commands_of_one_connection_leave_turns_to_the_others(self):
        network = self.network()
        network.proxy.memory.receive_buffer_bytes = READ_AT_ONCE_BYTES
        flood, connection = self.open_connection(network)
        usual, _ = self.open_connection(network)
        flood.sendall(PING * 300)
        usual.sendall(PING)
        network.step()
        self.assertEqual(usual.recv(99), PONG)
        self.assertEqual(connection.first_sequence, COMMANDS_PER_TURN)
        self.assertFalse(connection.reading)
        network.handle_all_commands(connection)
        self.assertTrue(connection.reading)
        flood.shutdown(socket.SHUT_WR)
        network.advance_time(10)
        self.assertEqual(read_to_end(flood), PONG * 300)

    def test_waiting_commands_are_answered_when_the_process_ends_and_dropped_with_their_client(
        self,
    ):
        for end in ("stop", "close", "evict"):
            network = self.network(endpoint_entry("s-1"))
            network.proxy.memory.receive_buffer_bytes = READ_AT_ONCE_BYTES
            client_socket, connection = self.open_connection(network)
            client_socket.sendall(b"".join(query(f"{at}") for at in range(20)))
            network.step()
            self.assertEqual(len(network.proxy.requests_in_flight), COMMANDS_PER_TURN)
            if end == "stop":
                connection.stop_waiting()
                self.assertEqual(len(network.proxy.requests_in_flight), 20)
            elif end == "close":
                client_socket.close()
                network.advance_time(1)
                self.assertEqual(len(network.proxy.requests_in_flight), 0)
                self.assertIsNone(connection.waiting_messages)
            else:
                connection.pending_responses.clear()  # as if all had been answered at once
                candidates = network.proxy.listener._eviction_candidates(None, 0)
                self.assertNotIn(connection, candidates)

    def test_partial_command_does_not_time_out_while_reading_is_paused(self):
        network = self.network(*(endpoint_entry(f"s-{at}") for at in range(9)))
        network.proxy.memory.receive_buffer_bytes = READ_AT_ONCE_BYTES
        client_socket, connection = self.open_connection(network)
        client_socket.sendall(
            b"".join(query(f"{at}") for at in range(MAX_PIPELINED_COMMANDS + 9)) + PING[:5]
        )
        network.handle_all_commands(connection)
        client_socket.sendall(PING[5:])
        network.advance_time(COMMAND_TIMEOUT + 10)
        self.assertEqual(
            (connection.reading, connection.input_valid, connection.parser.buffered_bytes),
            (False, True, 5),
        )
        for _ in range(9):
            network.advance_time(5_000)  # the deadlines of the pending requests pass
        client_socket.shutdown(socket.SHUT_WR)
        network.advance_time(10)
        answers = read_to_end(client_socket).split(b"\r\n")
        self.assertEqual(
            (len(answers), answers[-2:]), (MAX_PIPELINED_COMMANDS + 9 + 2, [b"+PONG", b""])
        )

    def test_partial_command_completed_at_its_deadline_does_not_time_out(self):
        network = self.network()
        client_socket, connection = self.open_connection(network)
        client_socket.sendall(PING[:5])
        network.step()
        # Unread in the kernel: the loop does not run before the deadline.
        client_socket.sendall(PING[5:])
        connection._command_overdue()
        network.step()
        network.advance_time(2 * DISCONNECT_CHECK_INTERVAL)
        self.assertEqual(client_socket.recv(99), PONG)

    def test_connection_without_commands_is_closed_without_response(self):
        for sends_command in (False, True):
            network = self.network()
            client_socket, connection = self.open_connection(network)
            network.advance_time(COMMAND_TIMEOUT - 100)
            if sends_command:
                # Unread in the kernel: the loop does not run before the deadline.
                client_socket.sendall(PING)
                connection._command_overdue()
            network.advance_time(200)
            network.advance_time(2 * LINGER_TIME)
            self.assertEqual(
                (client_socket.recv(99), len(network.proxy.clients)),
                (PONG, 1) if sends_command else (b"", 0),
            )

    def test_repeat_read_before_disconnect_of_first_connection_replaces_it(self):
        """The client closes its first connection and repeats the request on another.

        The loop may read the second connection first, or not read the first one at all.
        """
        network = self.network(endpoint_entry("s-1"))
        first, _ = self.open_connection(network)
        first.sendall(query("01"))
        network.step()
        pod = network.connect()
        pod.resumeProducing()
        first.close()  # the loop does not run before the repeat is read
        second = network.ask("01")
        self.assertEqual(second.transport.value(), b"")
        network.connect().resumeProducing()
        self.assertEqual([held.connection for held in network.proxy.requests_in_flight], [second])
        network.step()
        self.assertEqual([held.connection for held in network.proxy.requests_in_flight], [second])

    def test_repeat_on_same_connection_is_not_forwarded_after_disconnect(self):
        network = self.network(endpoint_entry("s-1"))
        client_socket, _ = self.open_connection(network)
        client_socket.sendall(query("01"))
        network.step()
        client_socket.sendall(query("01"))
        client_socket.close()
        network.step(1)
        self.assertEqual(
            (len(network.dialled_ports()), len(network.proxy.requests_in_flight)), (1, 0)
        )

    def test_request_read_after_disconnect_is_not_forwarded(self):
        """The request waited in the kernel, for a free slot or because the loop was delayed.

        Endpoint connections are in memory here and are written to at once.
        """
        for disconnect in (
            lambda client_socket: client_socket.close(),
            lambda client_socket: client_socket.shutdown(socket.SHUT_WR),
        ):
            network = self.network(endpoint_entry("s-1"))
            network.ask("warm")
            pod = network.connect()
            pod.resumeProducing()
            pod.dataReceived(VALUE_RESPONSE)
            network.advance_time(200)  # the connection has been idle long enough to be used again
            sent = pod.transport.value()
            client_socket, connection = self.open_connection(network)
            client_socket.sendall(query("01") + query("02") + query("02"))
            disconnect(client_socket)
            network.step(1)
            self.assertEqual(
                (pod.transport.value(), len(network.proxy.requests_in_flight)), (sent, 0)
            )
            network.step(9)
            self.assertEqual(
                (len(network.dialled_ports()), network.proxy.engine.requests.open), (1, {})
            )
            self.assertTrue(connection.client_gone)

    def test_retry_is_not_sent_after_disconnect(self):
        network = self.network(endpoint_entry("s-1"), endpoint_entry("s-2"))
        client_socket, _ = self.open_connection(network)
        client_socket.sendall(query("01"))
        network.step()
        pod = network.connect()
        pod.resumeProducing()
        client_socket.close()  # the loop has not run since
        pod.dataReceived(b"-ERR failed\r\n")
        self.assertEqual(
            (len(network.dialled_ports()), len(network.proxy.requests_in_flight)), (1, 0)
        )
        self.assertEqual(network.proxy.engine.requests.open, {})

    def test_evicted_connection_frees_its_descriptor_at_once(self):
        network = self.network()
        client_socket, connection = self.open_connection(network)
        client_socket.sendall(PING)
        network.step()
        connection.evict()
        network.step()
        self.assertEqual((read_to_end(client_socket), len(network.proxy.clients)), (PONG, 0))

    def test_evicted_connection_with_unread_response_closes_after_half_a_second(self):
        for blocked in (False, True):
            network = self.network()
            client_socket, connection = self.open_connection(network)
            client_socket.sendall(PING)
            network.step()
            if not blocked:
                # The blocked write goes unnoticed until the eviction.
                connection.pauseProducing = lambda: None
            connection.transport.write(b"x" * (16 << 20))  # more than the socket buffers hold
            network.step()
            connection.evict()
            network.advance_time(EVICTION_FLUSH_TIMEOUT - 100)
            self.assertEqual(len(network.proxy.clients), 1)
            network.advance_time(200)
            self.assertEqual(len(network.proxy.clients), 0)

    def test_command_received_in_same_iteration_as_eviction_is_answered(self):
        network = self.network()
        client_socket, connection = self.open_connection(network)
        client_socket.sendall(PING)
        network.step()
        client_socket.sendall(PING)
        connection.evict()
        network.step()
        self.assertEqual(read_to_end(client_socket), PONG * 2)

    def listen_on_reserved_port(self):
        network = self.network(endpoint_entry("s-1"))
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        reserved_socket, port = reserve_port()
        self.addCleanup(reserved_socket.close)
        proxy.start = proxy.start._replace(listen=("127.0.0.1", port))
        proxy.listener.address = proxy.start.listen
        proxy.serve()

        def accepts_connections():
            network.step(9)
            try:
                client_socket = socket.create_connection(proxy.start.listen, timeout=5)
            except ConnectionRefusedError:
                return False
            with client_socket:
                client_socket.sendall(PING)
                network.step(9)
                return client_socket.recv(99) == PONG

        self.assertTrue(accepts_connections())
        return network, accepts_connections

    def test_undrain_superseded_by_another_drain_does_not_listen(self):
        network, accepts_connections = self.listen_on_reserved_port()
        callbacks = []
        network.proxy.drain(lambda: callbacks.append("drained"))
        # The listener is still closing.
        network.proxy.undrain(lambda: callbacks.append("first undrain"), callbacks.append)
        network.proxy.drain(lambda: callbacks.append("drained again"))
        self.assertFalse(accepts_connections())
        network.advance_time(1_000)
        self.assertEqual(callbacks, ["drained again"])
        network.proxy.undrain(lambda: callbacks.append("undrained"), callbacks.append)
        self.assertTrue(accepts_connections())
        self.assertEqual(callbacks, ["drained again", "undrained"])

    def test_undrain_during_drain_answers_requests_in_flight_and_accepts_new_ones(self):
        network, accepts_connections = self.listen_on_reserved_port()
        client_socket = socket.create_connection(network.proxy.start.listen, timeout=5)
        self.addCleanup(client_socket.close)
        client_socket.sendall(query("01"))
        network.step(9)
        callbacks = []
        network.proxy.drain(lambda: callbacks.append("drained"))
        network.advance_time(1_000)
        client_socket.sendall(PING)
        network.proxy.undrain(lambda: callbacks.append("undrained"), callbacks.append)
        self.assertTrue(accepts_connections())
        network.advance_time(60_000)  # past the deadline of the request
        network.advance_time(2 * LINGER_TIME)
        self.assertRegex(read_to_end(client_socket), rb"^-[^\r]*\r\n\+PONG\r\n$")
        self.assertEqual(callbacks, ["undrained"])

    def test_listener_backlog_is_accepted_before_listener_closes(self):
        network, factory = self.network(), Factory()
        factory.noisy, factory.buildProtocol = (
            False,
            lambda address: ClientConnection(network.proxy.listener),
        )
        port = network.proxy.listener.port = network.loop.listenTCP(
            0, factory, interface="127.0.0.1"
        )
        address = "127.0.0.1", port.getHost().port
        first = socket.create_connection(address)
        self.addCleanup(first.close)
        network.step(9)  # the port now accepts one connection at a time
        client_sockets = [socket.create_connection(address, timeout=5) for _ in range(30)]
        for client_socket in client_sockets:
            self.addCleanup(client_socket.close)
            client_socket.sendall(PING)
        shutdown_callbacks = []
        network.proxy.shut_down(lambda: shutdown_callbacks.append(True))
        self.assertEqual(len(network.proxy.clients), 31)
        network.step(9)
        network.advance_time(400)
        network.advance_time(2 * LINGER_TIME)
        network.step(9)
        self.assertEqual(
            [read_to_end(client_socket) for client_socket in client_sockets], [PONG] * 30
        )
        # The first client may still send its first command.
        self.assertEqual(shutdown_callbacks, [])
        network.advance_time(5_000)
        network.advance_time(2 * LINGER_TIME)
        network.step(9)
        self.assertEqual(read_to_end(first), b"")
        self.assertEqual(shutdown_callbacks, [True])

    def test_connection_between_last_accept_and_close_is_refused_not_reset(self):
        network, factory = self.network(), Factory()
        factory.noisy, factory.buildProtocol = (
            False,
            lambda address: ClientConnection(network.proxy.listener),
        )
        port = network.proxy.listener.port = network.loop.listenTCP(
            0, factory, interface="127.0.0.1"
        )
        address = "127.0.0.1", port.getHost().port
        network.proxy.shut_down(lambda: None)
        early, late_connection = (socket.socket() for _ in range(2))
        for client_socket in (early, late_connection):
            self.addCleanup(client_socket.close)
            client_socket.settimeout(5)
        early.connect(address)
        early.sendall(PING)
        network.reactor.advance(0)  # the last connection is accepted
        late_connection.setblocking(False)
        late_connection.connect_ex(address)
        # The kernel accepts no connection.
        self.assertEqual(select.select([], [late_connection], [], 0.2)[1], [])
        network.step(9)  # the listener closes
        self.assertTrue(port.disconnected)
        network.advance_time(400)
        network.advance_time(2 * LINGER_TIME)
        self.assertEqual(read_to_end(early), PONG)
        late_connection.setblocking(True)
        late_connection.settimeout(5)
        # The kernel repeats the SYN after a second and is refused.
        self.assertEqual(select.select([], [late_connection], [], 5)[1], [late_connection])
        self.assertEqual(
            late_connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), errno.ECONNREFUSED
        )

    def unfinished_connection(self):
        """Returns a network, its port, and a client whose handshake is held in progress."""
        network, factory = self.network(), Factory()
        factory.noisy, factory.buildProtocol = (
            False,
            lambda address: ClientConnection(network.proxy.listener),
        )
        port = network.proxy.listener.port = network.loop.listenTCP(
            0, factory, interface="127.0.0.1"
        )
        hold_handshakes(port.socket)
        client_socket = socket.create_connection(("127.0.0.1", port.getHost().port), timeout=5)
        self.addCleanup(client_socket.close)
        return network, port, client_socket

    def test_handshake_in_progress_at_close_completes_and_its_request_is_answered(self):
        """Guards against a reset of a client whose connect() succeeded as the listener closed."""
        network, port, client_socket = self.unfinished_connection()
        client_socket.sendall(PING)
        drained = []
        network.proxy.shut_down(lambda: drained.append(True))
        network.reactor.advance(0)
        self.assertEqual((len(network.proxy.clients), port.disconnected), (0, False))
        for _ in range(40):  # the client's kernel repeats the data 0.2 s after it was sent
            time.sleep(0.01)
            network.advance_time(50)
        network.advance_time(2 * LINGER_TIME)
        self.assertEqual(read_to_end(client_socket), PONG)
        network.step(9)
        self.assertEqual((port.disconnected, drained), (True, [True]))

    def test_handshake_that_completes_while_the_kernel_is_asked_is_accepted(self):
        """Guards against a close over a connection that came between the accept and the check."""
        network, port, client_socket = self.unfinished_connection()
        client_socket.sendall(PING)

        def count_slowly(listener):
            time.sleep(0.3)  # the client's kernel repeats the data after 0.2 s
            return count_unfinished_handshakes(listener)

        network.proxy.shut_down(lambda: None)
        with mock.patch.object(listener_closer, "count_unfinished_handshakes", count_slowly):
            network.reactor.advance(0)
        network.step(9)
        self.assertTrue(port.disconnected)
        network.advance_time(400)
        network.advance_time(2 * LINGER_TIME)
        self.assertEqual(read_to_end(client_socket), PONG)

    def test_handshake_that_never_completes_does_not_hold_up_the_close(self):
        """Guards against a listener that stays open for a client that has vanished."""
        network, port, _ = self.unfinished_connection()  # its client sends nothing
        drained = []
        network.proxy.shut_down(lambda: drained.append(True))
        network.reactor.advance(0)
        network.advance_time(MAX_HANDSHAKE_TIME - 100)
        self.assertEqual((port.disconnected, drained), (False, []))
        network.advance_time(200)
        network.step(9)
        self.assertEqual((port.disconnected, drained), (True, [True]))


class ConnectionLimitTest(unittest.TestCase):
    """More connections in the kernel's backlog than the sidecar may hold open.

    Each is accepted once a slot is free, and none is closed for lack of a descriptor.
    """

    def flood_and_run(self, shuts_down):
        network = SocketNetwork(endpoint_entry("s-1"), sockets=64)
        self.addCleanup(network.close)
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        proxy.listener.address = ("127.0.0.1", 0)
        proxy.serve()
        address, client_counts, callbacks = proxy.listener.port.socket.getsockname(), [], []
        client_sockets = [socket.create_connection(address, timeout=5) for _ in range(60)]
        for at, client_socket in enumerate(client_sockets):
            self.addCleanup(client_socket.close)
            client_socket.sendall(query(f"{at}", 300))
        if shuts_down:
            proxy.shut_down(lambda: callbacks.append("drained"))
        for _ in range(200):
            network.advance_time(100)
            client_counts.append(len(proxy.clients))
        return network, client_sockets, max(client_counts), callbacks

    def test_limit_holds_while_serving(self):
        network, client_sockets, max_seen, _ = self.flood_and_run(False)
        self.assertLessEqual(max_seen, network.proxy.listener.max_clients + CLOSING_ALLOWANCE)
        # Past its deadline: there is no endpoint that responds.
        self.assertEqual({client_socket.recv(99)[:1] for client_socket in client_sockets}, {b"-"})
        self.assertFalse(network.proxy.listener.accepting_paused)

    def test_limit_holds_during_shutdown(self):
        network, client_sockets, max_seen, callbacks = self.flood_and_run(True)
        self.assertLessEqual(max_seen, network.proxy.listener.max_clients + CLOSING_ALLOWANCE)
        self.assertEqual(
            {read_to_end(client_socket)[:1] for client_socket in client_sockets}, {b"-"}
        )
        self.assertEqual(
            (callbacks, len(network.proxy.clients), network.proxy.listener_closed.called),
            (["drained"], 0, True),
        )

    def test_idle_connection_is_evicted_before_new_connection(self):
        """A new connection's first command is on its way: closing it would count as refused."""
        for elapsed, evicted_index in ((0.0, 1), (0.6, 0)):
            network = Network(endpoint_entry("s-1"), sockets=64)
            new, idle = network.client(), network.client()
            idle.dataReceived(PING)
            network.reactor.advance(elapsed)
            while not (new.closing or idle.closing):
                network.client().pending_responses.append(None)  # a pending command
            self.assertEqual(
                [client.closing for client in (new, idle)], [at == evicted_index for at in range(2)]
            )

    def test_burst_of_connections_does_not_evict_new_connections(self):
        network = Network(endpoint_entry("s-1"))
        clients = [network.client() for _ in range(network.proxy.listener.max_clients // 2)]
        network.reactor.advance(0.3)
        network.client()
        self.assertFalse(any(client.closing for client in clients))
        network.reactor.advance(0.3)
        network.client()
        self.assertTrue(any(client.closing for client in clients))

    def test_backlog_is_served_after_undrain_during_drain(self):
        network = SocketNetwork(endpoint_entry("s-1"), sockets=64)
        self.addCleanup(network.close)
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        proxy.listener.address, callbacks = ("127.0.0.1", 0), []
        proxy.serve()
        client_sockets = [
            socket.create_connection(proxy.listener.port.socket.getsockname(), timeout=5)
            for _ in range(60)
        ]
        for at, client_socket in enumerate(client_sockets):
            self.addCleanup(client_socket.close)
            client_socket.sendall(query(f"{at}", 300))
        proxy.drain(lambda: callbacks.append("drained"))
        network.step()
        proxy.undrain(lambda: callbacks.append("undrained"), callbacks.append)
        for _ in range(BACKLOG_ACCEPT_TIMEOUT // 100 + 9):
            network.advance_time(100)
        self.assertEqual({client_socket.recv(99)[:1] for client_socket in client_sockets}, {b"-"})
        self.assertEqual(
            (callbacks, proxy.listener.listening, proxy.listener_closed),
            (["undrained"], True, None),
        )

    def test_continuous_new_connections_do_not_delay_shutdown(self):
        network = SocketNetwork(endpoint_entry("s-1"), sockets=64)
        self.addCleanup(network.close)
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        proxy.listener.address = ("127.0.0.1", 0)
        proxy.serve()
        address, steps = (
            proxy.listener.port.socket.getsockname(),
            BACKLOG_ACCEPT_TIMEOUT // 100 + 2,
        )

        def connect_client(at):
            client_socket = socket.create_connection(address, timeout=5)
            self.addCleanup(client_socket.close)
            client_socket.sendall(query(f"{at}", 300))

        for at in range(60):
            connect_client(at)
        proxy.shut_down(lambda: None)
        for at in range(steps):
            if proxy.listener.listening:
                for _ in range(3):
                    connect_client(f"{at}.{_}")
            network.advance_time(100)
        self.assertEqual((proxy.listener.listening, proxy.listener_closed.called), (False, True))

    def test_connections_without_a_place_are_answered_before_the_listener_closes(self):
        """Guards against a reset of clients whose connections waited in the backlog in vain."""
        network = SocketNetwork(endpoint_entry("s-1"), sockets=64)
        self.addCleanup(network.close)
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        proxy.listener.address = ("127.0.0.1", 0)
        proxy.serve()
        address, clients = proxy.listener.port.socket.getsockname(), []
        for number in range(60):
            client_socket = socket.create_connection(address, timeout=5)
            self.addCleanup(client_socket.close)
            if number % 3:
                client_socket.sendall(query(f"{number}", 20_000) + PING)
            clients.append((client_socket, bool(number % 3)))
        proxy.shut_down(lambda: None, proxy.clock() + 5 * BACKLOG_ACCEPT_TIMEOUT)
        for _ in range(BACKLOG_ACCEPT_TIMEOUT // 100 + 2):
            network.advance_time(100)
        self.assertTrue(proxy.listener_closed.called)
        for _ in range(500):
            network.advance_time(100)
        received = [(read_to_end(client_socket), sent) for client_socket, sent in clients]
        self.assertEqual([data for data, sent in received if not sent and data], [])
        answers = [data for data, sent in received if sent]
        self.assertEqual([data for data in answers if b"RESET" in data or not data], [])
        self.assertEqual({data[:1] + data[-7:] for data in answers}, {b"-" + PONG})


class ShutdownTest(unittest.TestCase):
    def test_request_accepted_during_shutdown_is_answered_before_kill(self):
        network = Network(endpoint_entry("s-1"))
        client = network.ask("01")
        network.proxy.shutdown.listener_closed = True
        network.proxy.shut_down(lambda: None, network.proxy.clock() + 5_000)
        network.ask("02", connection=client)
        network.reactor.advance(0.6)
        network.reactor.advance(0)
        self.assertEqual([held.id for held in network.proxy.requests_in_flight], ["01"])
        network.ask("03", connection=client)  # too late: the kill may come at any moment
        self.assertEqual([held.id for held in network.proxy.requests_in_flight], ["01"])
        connection = network.connect(network.initial_dials)
        connection.resumeProducing()
        connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual(client.transport.value(), b"$1\r\nv\r\n-BUSY 500\r\n-BUSY\r\n")
        self.assertEqual(network.close_states(client), [(True, True)])

    def test_accepting_resumes_once_a_connection_is_idle(self):
        class Port:
            reading = True

            def stopReading(self):
                self.reading = False

            def startReading(self):
                self.reading = True

        network = Network(endpoint_entry("s-1"), sockets=64)
        network.proxy.listener.port = Port()
        clients = [network.ask(f"{at}") for at in range(network.proxy.listener.max_clients)]
        self.assertEqual(
            (len(network.proxy.requests_in_flight) > 2, network.proxy.listener.port.reading),
            (True, True),
        )
        busy_clients = [client for client in clients if client.pending_responses]
        for client in clients:
            if client not in busy_clients:
                client.dataReceived(
                    encode_command("SVC.QUERY", "key", f"again{id(client)}", "c=read,d=5000")[:9]
                )
                client.transport.has_unread_data = True
        network.client()
        self.assertFalse(network.proxy.listener.port.reading)
        connection = network.connect(network.initial_dials)
        connection.resumeProducing()
        connection.dataReceived(VALUE_RESPONSE)
        self.assertTrue(network.proxy.listener.port.reading)

    # Guards against usual clients that wait for the timeouts of a crowd that has fallen silent.
    def test_accepting_resumes_once_a_connection_falls_silent_within_a_command(self):
        network = Network(endpoint_entry("s-1"), sockets=64)
        port = network.proxy.listener.port = mock.Mock()
        clients = [network.client() for _ in range(network.proxy.listener.max_clients)]
        for client in clients:
            client.dataReceived(b"*4\r\n$9\r\n")
            client.transport.has_unread_data = True
        new = network.client()
        self.assertTrue(network.proxy.listener.accepting_paused)
        network.reactor.advance(0.1)
        network.reactor.advance(0)
        self.assertFalse(any(client.transport.disconnected for client in clients))
        for client in clients:
            client.transport.has_unread_data = False
        network.reactor.advance(0.1)
        network.reactor.advance(0)
        evicted = [client for client in [*clients, new] if client.transport.disconnected]
        self.assertGreater(len(evicted), 0)
        evicted[0].connectionLost(Failure(ConnectionLost()))
        self.assertFalse(network.proxy.listener.accepting_paused)
        port.startReading.assert_called()


class RepeatedRequestTest(unittest.TestCase):
    """A client that loses its connection during a request repeats it under the same id."""

    def repeat_after_disconnect(self, request_class, written, cancellation_allowed):
        network = Network(endpoint_entry("s-1"), endpoint_entry("s-2"))
        network.proxy.settings = network.proxy.engine.context.settings = (
            network.proxy.settings._replace(cancellation_allowed=cancellation_allowed)
        )
        first = network.ask("01", request_class=request_class)
        connection = network.connect(network.initial_dials)
        if written:
            connection.resumeProducing()
        first.connectionLost(None)
        return network, connection, network.ask("01", request_class=request_class)

    def test_repeat_receives_response_of_first_request_and_nothing_runs_twice(self):
        for request_class in ("read", "mark", "pay"):
            network, connection, second = self.repeat_after_disconnect(request_class, True, False)
            self.assertEqual((second.transport.value(), len(network.dialled_ports())), (b"", 1))
            connection.dataReceived(VALUE_RESPONSE)
            self.assertEqual(second.transport.value(), b"$1\r\nv\r\n")
            self.assertEqual(
                (len(network.proxy.requests_in_flight), network.proxy.requests.by_id), (0, {})
            )

    def test_partially_written_request_is_cancelled_and_repeat_is_sent(self):
        """This holds without permission to cancel, too: the request was never sent in full."""
        for cancellation_allowed in (True, False):
            for request_class in ("read", "mark", "pay"):
                network, connection, second = self.repeat_after_disconnect(
                    request_class, False, cancellation_allowed
                )
                self.assertTrue(connection.transport.disconnected)
                self.assertEqual((second.transport.value(), len(network.dialled_ports())), (b"", 2))
                second.connectionLost(None)
                self.assertEqual(
                    (len(network.proxy.requests_in_flight), network.proxy.engine.requests.open),
                    (0, {}),
                )

    # Guards against an id that runs twice: its other copy was read late, behind other commands.
    def test_copy_that_is_read_after_the_answer_of_another_one_does_not_run(self):
        for request_class, response, runs in (
            ("read", VALUE_RESPONSE, 2),
            ("mark", VALUE_RESPONSE, 1),
            ("pay", VALUE_RESPONSE, 1),
            ("pay", b"-ERR failed\r\n", 1),
            ("pay", b"-BUSY\r\n", 2),
        ):
            with self.subTest(request_class=request_class, response=response):
                network = Network(endpoint_entry("s-1"))
                first = network.client()
                second = network.ask("01", request_class=request_class)
                pod = network.connect(network.initial_dials)
                pod.resumeProducing()
                pod.dataReceived(response)
                while not second.transport.value():
                    network.reactor.advance(0.1)
                    network.reactor.advance(0)
                dials = len(network.dialled_ports())
                network.ask("01", request_class=request_class, connection=first)
                sent = len(network.proxy.requests_in_flight)
                self.assertEqual(sent, runs - 1)
                if runs == 1:
                    self.assertEqual(
                        first.transport.value(), b"-ERR this id may have run already\r\n"
                    )
                    self.assertEqual(len(network.dialled_ports()), dials)

    def test_ids_of_ended_requests_are_forgotten_in_time_and_bounded_in_number(self):
        network = Network(endpoint_entry("s-1"))
        ended = network.proxy.requests.ended_ids
        for number in range(MAX_ENDED_IDS + 50):
            ended.add(f"{number}", now=0, until=100)
        self.assertEqual(len(ended), MAX_ENDED_IDS)
        self.assertFalse(ended.contains("0", now=50))
        self.assertTrue(ended.contains("60", now=50))
        self.assertFalse(ended.contains("60", now=100))
        ended.add("x" * 60_000, now=101, until=200)
        self.assertEqual(len(ended), 1)
        self.assertTrue(ended.contains("x" * 60_000, now=150))

    def test_repeat_receives_failure_of_first_request(self):
        network, connection, second = self.repeat_after_disconnect("pay", True, False)
        connection.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(second.transport.value(), b"-ERR abandoned\r\n")
        self.assertEqual(
            (len(network.dialled_ports()), len(network.proxy.requests_in_flight)), (1, 0)
        )

    def test_repeat_is_answered_at_its_own_deadline(self):
        network, _, second = self.repeat_after_disconnect("pay", True, False)
        network.proxy.requests.find("01").attempts[0].expires_at += 10**6
        network.proxy.timers.cancel(network.proxy.requests.find("01").attempts[0].timer)
        network.reactor.advance(5.1)
        network.reactor.advance(0)
        self.assertEqual(second.transport.value(), b"-ERR abandoned\r\n")

    def test_request_that_may_have_run_is_not_repeated_after_cancellation(self):
        for request_class, written, dials in (
            ("read", True, 2),
            ("pay", False, 2),
            ("pay", True, 1),
            ("mark", True, 1),
        ):
            network, _, second = self.repeat_after_disconnect(request_class, written, True)
            self.assertEqual(len(network.dialled_ports()), dials, (request_class, written))
            self.assertEqual(second.transport.value()[:4], b"-ERR" if dials == 1 else b"")
            if dials == 1:  # and no state of it is kept
                network.reactor.advance(5.1)
                network.reactor.advance(0)
                self.assertEqual(network.proxy.requests.may_have_run, set())

    def test_repeat_is_rejected_while_first_client_is_connected(self):
        network = Network(endpoint_entry("s-1"))
        first, second = network.ask("01"), network.ask("01")
        self.assertEqual((first.transport.value(), second.transport.value()[:4]), (b"", b"-ERR"))


class ClientDisconnectTest(unittest.TestCase):
    def test_requests_may_be_added_and_removed_while_disconnect_is_handled(self):
        """The loop over a client's requests tolerates changes that each decision makes to them."""
        network = Network(endpoint_entry("s-1"), endpoint_entry("s-2"))
        client = network.client()
        for at in range(6):
            network.ask(f"{at}", connection=client)
        other_client, handle_events = network.ask("other"), network.proxy.engine.handle

        def handle(now, events):
            # Another request of the client ends meanwhile, and a new one arrives.
            if type(events[0]) is ClientDisconnected:
                last_request = network.proxy.requests.find("5")
                for attempt in (
                    [attempt for attempt in last_request.attempts if attempt.in_flight]
                    if last_request
                    else ()
                ):
                    attempt.give_up()
                network.ask(f"new{events[0].id}")
            return handle_events(now, events)

        network.proxy.engine.handle = handle
        client.connectionLost(None)
        self.assertEqual(
            {held.id for held in network.proxy.requests_in_flight} & {f"{at}" for at in range(6)},
            set(),
        )
        self.assertIn("other", {held.id for held in network.proxy.requests_in_flight})
        self.assertEqual((network.faults, len(other_client.pending_responses)), ([], 1))


if __name__ == "__main__":
    unittest.main()
