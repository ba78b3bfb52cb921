"""Ends of clients' connections: real sockets and the loop's own transports, the loop stepped by hand, so that what
waits unread in the machine does so every time."""

import errno
import select
import socket
import unittest

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionLost
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

from tests.support.peers import reserve_port
from tests.support.programs import encode_command
from tests.unit.proxy.test_proxy import VALUE_RESPONSE, Network, endpoint_entry
from thymeknot.interface.events import ClientDisconnected
from thymeknot.protocol.client import (
    COMMAND_TIMEOUT,
    DISCONNECT_CHECK_INTERVAL,
    EVICTION_FLUSH_TIMEOUT,
    LINGER_TIME,
    MAX_PIPELINED_COMMANDS,
    ClientConnection,
)
from thymeknot.proxy.client_listener import CLOSING_ALLOWANCE
from thymeknot.proxy.graceful_shutdown import BACKLOG_ACCEPT_TIMEOUT

PING, PONG = encode_command("PING"), b"+PONG\r\n"


def query(name, left=5000):
    return encode_command("SVC.QUERY", "key", name, f"c=read,d={left}")


class Real(Network):
    """A sidecar whose clients come over real connections; all else is in memory, and so is time."""

    def __init__(self, *entries, **more):
        super().__init__(*entries, **more)
        self.loop, self.listener = EPollReactor(), socket.create_server(("127.0.0.1", 0))

    def step(self, times=3):
        for _ in range(times):
            self.loop.iterate(0)

    def pass_on(self, units):
        """So many tenths of a millisecond; deadlines go once more round the loop."""
        for _ in range(2):
            self.reactor.advance(units / 10_000 / 2)
            self.reactor.advance(0)
        self.step()

    def opens(self):
        """(the client's socket, the sidecar's connection)."""
        near = socket.create_connection(self.listener.getsockname(), timeout=5)
        far, address = self.listener.accept()
        far.setblocking(False)
        connection = ClientConnection(self.proxy.listener)
        transport = Server(far, connection, address, None, 0, self.loop)
        transport.startReading()
        connection.makeConnection(transport)
        return near, connection

    def close(self):
        self.listener.close()
        for client in self.proxy.clients:
            client.transport.abortConnection()
        self.step()
        for reader in self.loop.removeAll():
            reader.connectionLost(None)


def all_of(near):
    """What the client reads up to the end of its connection, or up to a reset, which is told by an ending."""
    got = b""
    try:
        while more := near.recv(65536):
            got += more
    except ConnectionResetError:
        return got + b"RESET"
    return got


class OverSockets(unittest.TestCase):
    def network(self, *entries, **more):
        network = Real(*entries, **more)
        self.addCleanup(network.close)
        return network

    def opens(self, network):
        near, connection = network.opens()
        self.addCleanup(near.close)
        return near, connection

    def test_a_request_that_waits_unread_as_the_last_answer_goes_out_is_answered_before_the_close(
        self,
    ):
        network = self.network()
        near, connection = self.opens(network)
        near.sendall(PING)
        connection.finish = lambda: None  # until it is told
        network.step()
        del connection.finish
        near.sendall(PING)  # in the machine: the loop does not turn before the end is asked for
        connection.finish()
        network.step()
        network.pass_on(2 * LINGER_TIME)
        self.assertEqual(all_of(near), PONG * 2)

    def test_one_that_is_read_in_the_turn_in_which_all_was_answered_is_answered_too(self):
        network = self.network()
        near, connection = self.opens(network)
        connection.finish()
        connection.dataReceived(PING)  # before the loop has come to writing
        network.step()
        network.pass_on(2 * LINGER_TIME)
        self.assertEqual(all_of(near), PONG)

    def test_what_crosses_the_end_is_not_read_and_the_answers_before_it_are_not_reset(self):
        network = self.network()
        near, connection = self.opens(network)
        near.sendall(PING)
        network.step()
        connection.finish()
        network.step()
        near.sendall(PING)  # sending has ended: its client reads that, and asks elsewhere
        network.step()
        self.assertEqual(all_of(near), PONG)
        network.pass_on(2 * LINGER_TIME)
        self.assertEqual(len(network.proxy.clients), 0)

    def test_a_new_connection_is_waited_for_until_its_first_command_has_come(self):
        network = self.network()
        near, connection = self.opens(network)
        connection.finish()
        network.pass_on(4_000)
        near.sendall(PING)
        network.step()
        network.pass_on(2 * LINGER_TIME)
        self.assertEqual(all_of(near), PONG)

    def test_an_error_behind_good_commands_is_told_whatever_comes_behind_it(self):
        for wrong, why in (
            (b"nonsense\r\n", b"neither an array nor a string begins here"),
            (b"*1\r\n*1\r\n", b"an array in a command"),
        ):
            network = self.network()
            near, connection = self.opens(network)
            near.sendall(PING + wrong)
            network.step(1)
            near.sendall(b"more" * 20_000)  # unread as the connection ends
            network.step(9)
            network.pass_on(2 * LINGER_TIME)
            self.assertEqual(all_of(near), PONG + b"-ERR syntax: " + why + b"\r\n")
            self.assertEqual(len(network.proxy.clients), 0)

    def test_a_client_that_shuts_its_sending_side_still_gets_what_is_answered(self):
        network = self.network()
        near, _ = self.opens(network)
        near.sendall(PING)
        near.shutdown(socket.SHUT_WR)  # both are there as the loop turns
        network.step(9)
        self.assertEqual(all_of(near), PONG)
        self.assertEqual(len(network.proxy.clients), 0)

    def test_and_what_it_waits_for_is_sent_on_no_more(self):
        network = self.network(endpoint_entry("s-1"))
        near, _ = self.opens(network)
        near.sendall(query("01"))
        network.step()
        self.assertEqual(network.dialled_ports(), [7001])
        near.shutdown(socket.SHUT_WR)
        network.step(9)
        late = network.connect()
        self.assertEqual((late.transport.value(), len(network.proxy.requests_in_flight)), (b"", 0))

    def test_who_leaves_while_it_is_not_read_from_is_noticed(self):
        """A connection with too much in hand is not read, so its end is not either."""
        for leaves in (lambda near: near.close(), lambda near: near.shutdown(socket.SHUT_WR)):
            network = self.network(*(endpoint_entry(f"s-{at}") for at in range(9)))
            near, connection = self.opens(network)
            near.sendall(b"".join(query(f"{at}") for at in range(MAX_PIPELINED_COMMANDS + 9)))
            network.step()
            near.sendall(PING)  # unread, before the end
            leaves(near)
            network.step()
            self.assertFalse(connection.reading)
            self.assertGreater(len(network.proxy.requests_in_flight), MAX_PIPELINED_COMMANDS // 2)
            network.pass_on(2 * DISCONNECT_CHECK_INTERVAL)
            self.assertEqual(len(network.proxy.requests_in_flight), 0)
            dialled = len(network.dialled_ports())
            self.assertEqual(
                [network.connect(at - dialled).transport.value() for at in range(dialled)],
                [b""] * dialled,
            )

    def test_half_a_command_whose_rest_is_not_read_yet_is_not_ended_for_being_late(self):
        network = self.network(*(endpoint_entry(f"s-{at}") for at in range(9)))
        near, connection = self.opens(network)
        near.sendall(
            b"".join(query(f"{at}") for at in range(MAX_PIPELINED_COMMANDS + 9)) + PING[:5]
        )
        network.step()
        near.sendall(PING[5:])
        network.pass_on(COMMAND_TIMEOUT + 10)
        self.assertEqual(
            (connection.reading, connection.input_valid, connection.parser.held), (False, True, 5)
        )
        for _ in range(9):
            network.pass_on(5_000)  # the time of what is in hand is over
        near.shutdown(socket.SHUT_WR)
        network.pass_on(10)
        answers = all_of(near).split(b"\r\n")
        self.assertEqual(
            (len(answers), answers[-2:]), (MAX_PIPELINED_COMMANDS + 9 + 2, [b"+PONG", b""])
        )

    def test_nor_is_one_whose_rest_has_come_as_its_time_ends(self):
        network = self.network()
        near, connection = self.opens(network)
        near.sendall(PING[:5])
        network.step()
        near.sendall(PING[5:])  # in the machine: the loop does not turn before the deadline
        connection._command_overdue()
        network.step()
        network.pass_on(2 * DISCONNECT_CHECK_INTERVAL)
        self.assertEqual(near.recv(99), PONG)

    def test_one_that_never_spoke_is_closed_without_a_word_or_its_client_takes_that_for_an_answer(
        self,
    ):
        for speaks in (False, True):
            network = self.network()
            near, connection = self.opens(network)
            network.pass_on(COMMAND_TIMEOUT - 100)
            if speaks:
                near.sendall(PING)  # in the machine: the loop does not turn before the deadline
                connection._command_overdue()
            network.pass_on(200)
            network.pass_on(2 * LINGER_TIME)
            self.assertEqual(
                (near.recv(99), len(network.proxy.clients)), (PONG, 1) if speaks else (b"", 0)
            )

    def test_a_copy_that_is_read_before_the_end_of_the_firsts_connection_takes_its_place(self):
        """Its client has closed that connection, and asks on another: the loop may come to this one first, or does not
        read that one at all."""
        network = self.network(endpoint_entry("s-1"))
        first, _ = self.opens(network)
        first.sendall(query("01"))
        network.step()
        pod = network.connect()
        pod.resumeProducing()
        first.close()  # the loop does not turn before the copy is read
        second = network.ask("01")
        self.assertEqual(second.transport.value(), b"")
        network.connect().resumeProducing()
        self.assertEqual([held.connection for held in network.proxy.requests_in_flight], [second])
        network.step()
        self.assertEqual([held.connection for held in network.proxy.requests_in_flight], [second])

    def test_nor_does_a_copy_on_the_same_connection_once_its_client_has_left(self):
        network = self.network(endpoint_entry("s-1"))
        near, _ = self.opens(network)
        near.sendall(query("01"))
        network.step()
        near.sendall(query("01"))
        near.close()
        network.step(1)
        self.assertEqual(
            (len(network.dialled_ports()), len(network.proxy.requests_in_flight)), (1, 0)
        )

    def test_what_is_read_after_its_client_has_left_is_not_sent_on(self):
        """It waited in the machine: for a place, or because the loop was held up. What pods get is in memory here,
        and written at once."""
        for leaves in (lambda near: near.close(), lambda near: near.shutdown(socket.SHUT_WR)):
            network = self.network(endpoint_entry("s-1"))
            network.ask("warm")
            pod = network.connect()
            pod.resumeProducing()
            pod.dataReceived(VALUE_RESPONSE)
            network.pass_on(200)  # it has rested: what is decided is written
            sent = pod.transport.value()
            near, connection = self.opens(network)
            near.sendall(query("01") + query("02") + query("02"))
            leaves(near)
            network.step(1)
            self.assertEqual(
                (pod.transport.value(), len(network.proxy.requests_in_flight)), (sent, 0)
            )
            network.step(9)
            self.assertEqual(
                (len(network.dialled_ports()), network.proxy.engine.requests.open), (1, {})
            )
            self.assertTrue(connection.client_gone)

    def test_an_attempt_after_another_is_not_sent_on_either(self):
        network = self.network(endpoint_entry("s-1"), endpoint_entry("s-2"))
        near, _ = self.opens(network)
        near.sendall(query("01"))
        network.step()
        pod = network.connect()
        pod.resumeProducing()
        near.close()  # the loop has not turned since
        pod.dataReceived(b"-ERR failed\r\n")
        self.assertEqual(
            (len(network.dialled_ports()), len(network.proxy.requests_in_flight)), (1, 0)
        )
        self.assertEqual(network.proxy.engine.requests.open, {})

    def test_an_evicted_connection_frees_its_descriptor_at_once(self):
        network = self.network()
        near, connection = self.opens(network)
        near.sendall(PING)
        network.step()
        connection.evict()
        network.step()
        self.assertEqual((all_of(near), len(network.proxy.clients)), (PONG, 0))

    def test_one_to_be_evicted_that_does_not_read_holds_its_place_for_half_a_second(self):
        for blocked in (False, True):
            network = self.network()
            near, connection = self.opens(network)
            near.sendall(PING)
            network.step()
            if not blocked:
                connection.pauseProducing = lambda: None  # not noticed before
            connection.transport.write(b"x" * (16 << 20))  # an answer, more than the machine holds
            network.step()
            connection.evict()
            network.pass_on(EVICTION_FLUSH_TIMEOUT - 100)
            self.assertEqual(len(network.proxy.clients), 1)
            network.pass_on(200)
            self.assertEqual(len(network.proxy.clients), 0)

    def test_one_to_be_evicted_that_speaks_in_the_same_turn_is_heard(self):
        network = self.network()
        near, connection = self.opens(network)
        near.sendall(PING)
        network.step()
        near.sendall(PING)
        connection.evict()
        network.step()
        self.assertEqual(all_of(near), PONG * 2)

    def listening(self):
        network = self.network(endpoint_entry("s-1"))
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        kept, port = reserve_port()
        self.addCleanup(kept.close)
        proxy.start = proxy.start._replace(listen=("127.0.0.1", port))
        proxy.listener.address = proxy.start.listen
        proxy.serve()

        def takes():
            network.step(9)
            try:
                near = socket.create_connection(proxy.start.listen, timeout=5)
            except ConnectionRefusedError:
                return False
            with near:
                near.sendall(PING)
                network.step(9)
                return near.recv(99) == PONG

        self.assertTrue(takes())
        return network, takes

    def test_a_way_back_that_is_overtaken_by_the_next_drain_does_not_listen(self):
        network, takes = self.listening()
        said = []
        network.proxy.drain(lambda: said.append("empty"))
        network.proxy.undrain(
            lambda: said.append("first back"), said.append
        )  # its listener is closing still
        network.proxy.drain(lambda: said.append("empty again"))
        self.assertFalse(takes())
        network.pass_on(1_000)
        self.assertEqual(said, ["empty again"])
        network.proxy.undrain(lambda: said.append("back"), said.append)
        self.assertTrue(takes())
        self.assertEqual(said, ["empty again", "back"])

    def test_undone_in_the_middle_what_was_in_hand_is_answered_and_new_work_taken(self):
        network, takes = self.listening()
        near = socket.create_connection(network.proxy.start.listen, timeout=5)
        self.addCleanup(near.close)
        near.sendall(query("01"))
        network.step(9)
        said = []
        network.proxy.drain(lambda: said.append("empty"))
        network.pass_on(1_000)
        near.sendall(PING)
        network.proxy.undrain(lambda: said.append("back"), said.append)
        self.assertTrue(takes())
        network.pass_on(60_000)  # its answer is due by now
        network.pass_on(2 * LINGER_TIME)
        self.assertRegex(all_of(near), rb"^-[^\r]*\r\n\+PONG\r\n$")
        self.assertEqual(said, ["back"])

    def test_all_that_the_machine_has_accepted_is_taken_before_the_listener_closes(self):
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
        network.step(9)  # the port has learnt that one comes at a time
        crowd = [socket.create_connection(address, timeout=5) for _ in range(30)]
        for near in crowd:
            self.addCleanup(near.close)
            near.sendall(PING)
        emptied = []
        network.proxy.shut_down(lambda: emptied.append(True))
        self.assertEqual(len(network.proxy.clients), 31)
        network.step(9)
        network.pass_on(400)
        network.pass_on(2 * LINGER_TIME)
        network.step(9)
        self.assertEqual([all_of(near) for near in crowd], [PONG] * 30)
        self.assertEqual(emptied, [])  # the first may be about to say its first word
        network.pass_on(5_000)
        network.pass_on(2 * LINGER_TIME)
        network.step(9)
        self.assertEqual(all_of(first), b"")
        self.assertEqual(emptied, [True])

    def test_who_comes_between_the_last_one_taken_and_the_close_is_not_accepted_and_then_reset(
        self,
    ):
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
        early, late = (socket.socket() for _ in range(2))
        for near in (early, late):
            self.addCleanup(near.close)
            near.settimeout(5)
        early.connect(address)
        early.sendall(PING)
        network.reactor.advance(0)  # the last one is taken
        late.setblocking(False)
        late.connect_ex(address)
        self.assertEqual(select.select([], [late], [], 0.2)[1], [])  # the machine lets nobody in
        network.step(9)  # the listener closes
        self.assertTrue(port.disconnected)
        network.pass_on(400)
        network.pass_on(2 * LINGER_TIME)
        self.assertEqual(all_of(early), PONG)
        late.setblocking(True)
        late.settimeout(5)
        self.assertEqual(
            select.select([], [late], [], 5)[1], [late]
        )  # it asks once more in a second, and is told
        self.assertEqual(late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), errno.ECONNREFUSED)


class Places(unittest.TestCase):
    """A crowd that the machine has accepted, more than there are places for, as the loop comes to it: each is taken
    once there is one, and none is closed for want of a descriptor."""

    def taken(self, finishes):
        network = Real(endpoint_entry("s-1"), sockets=64)
        self.addCleanup(network.close)
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        proxy.listener.address = ("127.0.0.1", 0)
        proxy.serve()
        address, most, said = proxy.listener.port.socket.getsockname(), [], []
        crowd = [socket.create_connection(address, timeout=5) for _ in range(60)]
        for at, near in enumerate(crowd):
            self.addCleanup(near.close)
            near.sendall(query(f"{at}", 300))
        if finishes:
            proxy.shut_down(lambda: said.append("empty"))
        for _ in range(200):
            network.pass_on(100)
            most.append(len(proxy.clients))
        return network, crowd, max(most), said

    def test_by_one_that_serves(self):
        network, crowd, most, _ = self.taken(False)
        self.assertLessEqual(most, network.proxy.listener.max_clients + CLOSING_ALLOWANCE)
        self.assertEqual(
            {near.recv(99)[:1] for near in crowd}, {b"-"}
        )  # its time is over: nothing else is there
        self.assertFalse(network.proxy.listener.accepting_paused)

    def test_by_one_that_ends(self):
        network, crowd, most, said = self.taken(True)
        self.assertLessEqual(most, network.proxy.listener.max_clients + CLOSING_ALLOWANCE)
        self.assertEqual({all_of(near)[:1] for near in crowd}, {b"-"})
        self.assertEqual(
            (said, len(network.proxy.clients), network.proxy.listener_closed.called),
            (["empty"], 0, True),
        )

    def test_one_that_is_new_keeps_its_place_before_one_that_is_idle(self):
        """Its first command is on its way, and a new connection that is closed without an answer counts as refused."""
        for waited, goes in ((0.0, 1), (0.6, 0)):
            network = Network(endpoint_entry("s-1"), sockets=64)
            new, idle = network.client(), network.client()
            idle.dataReceived(PING)
            network.reactor.advance(waited)
            while not (new.closing or idle.closing):
                network.client().pending_responses.append(None)  # in hand
            self.assertEqual([one.closing for one in (new, idle)], [at == goes for at in range(2)])

    def test_nor_does_a_crowd_close_it(self):
        network = Network(endpoint_entry("s-1"))
        clients = [network.client() for _ in range(network.proxy.listener.max_clients // 2)]
        network.reactor.advance(0.3)
        network.client()
        self.assertFalse(any(one.closing for one in clients))
        network.reactor.advance(0.3)
        network.client()
        self.assertTrue(any(one.closing for one in clients))

    def test_by_one_that_comes_back_before_its_drain_is_over(self):
        network = Real(endpoint_entry("s-1"), sockets=64)
        self.addCleanup(network.close)
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        proxy.listener.address, said = ("127.0.0.1", 0), []
        proxy.serve()
        crowd = [
            socket.create_connection(proxy.listener.port.socket.getsockname(), timeout=5)
            for _ in range(60)
        ]
        for at, near in enumerate(crowd):
            self.addCleanup(near.close)
            near.sendall(query(f"{at}", 300))
        proxy.drain(lambda: said.append("empty"))
        network.step()
        proxy.undrain(lambda: said.append("back"), said.append)
        for _ in range(BACKLOG_ACCEPT_TIMEOUT // 100 + 9):
            network.pass_on(100)
        self.assertEqual({near.recv(99)[:1] for near in crowd}, {b"-"})
        self.assertEqual(
            (said, proxy.listener.listening, proxy.listener_closed), (["back"], True, None)
        )

    def test_a_crowd_that_goes_on_coming_does_not_hold_up_the_end(self):
        network = Real(endpoint_entry("s-1"), sockets=64)
        self.addCleanup(network.close)
        proxy, network.reactor.listenTCP = network.proxy, network.loop.listenTCP
        proxy.listener.address = ("127.0.0.1", 0)
        proxy.serve()
        address, rounds = (
            proxy.listener.port.socket.getsockname(),
            BACKLOG_ACCEPT_TIMEOUT // 100 + 2,
        )

        def comes(at):
            near = socket.create_connection(address, timeout=5)
            self.addCleanup(near.close)
            near.sendall(query(f"{at}", 300))

        for at in range(60):
            comes(at)
        proxy.shut_down(lambda: None)
        for at in range(rounds):
            if proxy.listener.listening:
                for _ in range(3):
                    comes(f"{at}.{_}")
            network.pass_on(100)
        self.assertEqual((proxy.listener.listening, proxy.listener_closed.called), (False, True))


class Stopping(unittest.TestCase):
    def test_what_is_taken_after_the_stop_has_its_answer_before_the_kill(self):
        network = Network(endpoint_entry("s-1"))
        client = network.ask("01")
        network.proxy.shutdown.listener_closed = True
        network.proxy.shut_down(lambda: None, network.proxy.clock() + 5_000)
        network.ask("02", connection=client)
        network.reactor.advance(0.6)
        network.reactor.advance(0)
        self.assertEqual([held.id for held in network.proxy.requests_in_flight], ["01"])
        network.ask("03", connection=client)  # the kill may come at any moment
        self.assertEqual([held.id for held in network.proxy.requests_in_flight], ["01"])
        connection = network.connect(network.initial_dials)
        connection.resumeProducing()
        connection.dataReceived(VALUE_RESPONSE)
        self.assertEqual(client.transport.value(), b"$1\r\nv\r\n-BUSY 500\r\n-BUSY\r\n")
        self.assertEqual(network.close_states(client), [(True, True)])

    def test_new_connections_that_were_held_off_are_taken_once_one_rests(self):
        class Port:
            on = True

            def stopReading(self):
                self.on = False

            def startReading(self):
                self.on = True

        network = Network(endpoint_entry("s-1"), sockets=64)
        network.proxy.listener.port = Port()
        clients = [network.ask(f"{at}") for at in range(network.proxy.listener.max_clients)]
        self.assertEqual(
            (len(network.proxy.requests_in_flight) > 2, network.proxy.listener.port.on),
            (True, True),
        )
        busy = [client for client in clients if client.pending_responses]
        for client in clients:
            if client not in busy:
                client.dataReceived(
                    encode_command("SVC.QUERY", "key", f"again{id(client)}", "c=read,d=5000")[:9]
                )
                client.transport.has_unread_data = True
        network.client()
        self.assertFalse(network.proxy.listener.port.on)
        connection = network.connect(network.initial_dials)
        connection.resumeProducing()
        connection.dataReceived(VALUE_RESPONSE)
        self.assertTrue(network.proxy.listener.port.on)


class Repeated(unittest.TestCase):
    """A client whose connection was closed under a request sends the same one once more, under the same id."""

    def left(self, lane, written, recalls):
        network = Network(endpoint_entry("s-1"), endpoint_entry("s-2"))
        network.proxy.settings = network.proxy.engine.context.settings = (
            network.proxy.settings._replace(cancellation_allowed=recalls)
        )
        first = network.ask("01", request_class=lane)
        connection = network.connect(network.initial_dials)
        if written:
            connection.resumeProducing()
        first.connectionLost(None)
        return network, connection, network.ask("01", request_class=lane)

    def test_the_copy_gets_what_the_first_one_brings_and_nothing_runs_twice(self):
        for lane in ("read", "mark", "pay"):
            network, connection, second = self.left(lane, True, False)
            self.assertEqual((second.transport.value(), len(network.dialled_ports())), (b"", 1))
            connection.dataReceived(VALUE_RESPONSE)
            self.assertEqual(second.transport.value(), b"$1\r\nv\r\n")
            self.assertEqual(
                (len(network.proxy.requests_in_flight), network.proxy.requests.by_id), (0, {})
            )

    def test_what_has_not_gone_out_whole_goes_no_further_and_the_copy_is_sent_anew(self):
        """Also where what is out may not be recalled: it is not out."""
        for recalls in (True, False):
            for lane in ("read", "mark", "pay"):
                network, connection, second = self.left(lane, False, recalls)
                self.assertTrue(connection.transport.disconnected)
                self.assertEqual((second.transport.value(), len(network.dialled_ports())), (b"", 2))
                second.connectionLost(None)
                self.assertEqual(
                    (len(network.proxy.requests_in_flight), network.proxy.engine.requests.open),
                    (0, {}),
                )

    def test_or_its_failure(self):
        network, connection, second = self.left("pay", True, False)
        connection.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(second.transport.value(), b"-ERR abandoned\r\n")
        self.assertEqual(
            (len(network.dialled_ports()), len(network.proxy.requests_in_flight)), (1, 0)
        )

    def test_or_an_answer_at_its_own_end(self):
        network, _, second = self.left("pay", True, False)
        network.proxy.requests.find("01").attempts[0].expires_at += 10**6
        network.proxy.timers.cancel(network.proxy.requests.find("01").attempts[0].timer)
        network.reactor.advance(5.1)
        network.reactor.advance(0)
        self.assertEqual(second.transport.value(), b"-ERR abandoned\r\n")

    def test_where_the_first_was_recalled_one_that_may_have_run_is_not_run_again_while_it_may_be_asked_for(
        self,
    ):
        for lane, written, dials in (
            ("read", True, 2),
            ("pay", False, 2),
            ("pay", True, 1),
            ("mark", True, 1),
        ):
            network, _, second = self.left(lane, written, True)
            self.assertEqual(len(network.dialled_ports()), dials, (lane, written))
            self.assertEqual(second.transport.value()[:4], b"-ERR" if dials == 1 else b"")
            if dials == 1:  # and nothing of it is kept
                network.reactor.advance(5.1)
                network.reactor.advance(0)
                self.assertEqual(network.proxy.requests.may_have_run, set())

    def test_a_copy_while_the_first_ones_client_is_there_is_refused(self):
        network = Network(endpoint_entry("s-1"))
        first, second = network.ask("01"), network.ask("01")
        self.assertEqual((first.transport.value(), second.transport.value()[:4]), (b"", b"-ERR"))


class Leaving(unittest.TestCase):
    def test_those_of_one_client_may_be_removed_and_others_sent_while_it_is_told(self):
        """The walk over what it had goes on over what the decisions change at each."""
        network = Network(endpoint_entry("s-1"), endpoint_entry("s-2"))
        client = network.client()
        for at in range(6):
            network.ask(f"{at}", connection=client)
        other, decide = network.ask("other"), network.proxy.engine.handle

        def handle(now, events):
            if (
                type(events[0]) is ClientDisconnected
            ):  # another of its own ends at the same moment, and a new one comes
                last = network.proxy.requests.find("5")
                for attempt in (
                    [attempt for attempt in last.attempts if attempt.in_flight] if last else ()
                ):
                    attempt.give_up()
                network.ask(f"new{events[0].id}")
            return decide(now, events)

        network.proxy.engine.handle = handle
        client.connectionLost(None)
        self.assertEqual(
            {held.id for held in network.proxy.requests_in_flight} & {f"{at}" for at in range(6)},
            set(),
        )
        self.assertIn("other", {held.id for held in network.proxy.requests_in_flight})
        self.assertEqual((network.faults, len(other.pending_responses)), ([], 1))


if __name__ == "__main__":
    unittest.main()
