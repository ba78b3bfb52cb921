"""What is still owed when an attempt, a connection or a dial to a pod ends: each order is stepped by hand."""

import queue
import random
import unittest
from unittest import mock

from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from tests.helpers import PATIENCE, PodPeer, until, words_of
from tests.test_sidecar import ANSWER, Network, Transport, entry
from tests.test_sockets import READ, WithPods, value
from thymeknot import interface as i
from thymeknot.memory import pools


class Broken(Transport):
    """A transport whose other side has reset it, which the loop has not got to yet."""

    def shutdown(self, how):
        raise OSError


def counted(network):
    """Has each attempt's end counted, beside what is done with it."""
    ends, ended = [], network.sidecar.ended

    def count(attempt, outcome, answer=None):
        ends.append((attempt.held.id, attempt.number, outcome))
        return ended(attempt, outcome, answer)
    network.sidecar.ended = count
    return ends


def pass_on(network, seconds):
    network.reactor.advance(seconds)
    network.reactor.advance(0)


def pods_dialled(network):
    return [port for port in network.dialled() if port > 7000]


class OneEnd(unittest.TestCase):
    def test_what_is_written_in_part_ends_once_whoever_ends_it(self):
        for end, outcome in (("time", i.UNCONNECTED), ("client", i.RECALLED)):
            network = Network(entry("s-1"))
            ends, client = counted(network), network.ask(left=200)
            connection = network.connect()
            if end == "time":
                pass_on(network, 0.2)
            else:
                client.connectionLost(Failure(ConnectionLost()))
            self.assertTrue(connection.transport.disconnected)
            self.assertEqual(ends, [("01", 0, outcome)])
            self.assertEqual((len(network.sidecar.transactions), network.sidecar.by_id), (0, {}))

    def test_what_is_given_up_as_the_other_side_closes_ends_once(self):
        for end, outcome in (("time", i.EXPIRED), ("client", i.RECALLED)):
            network = Network(entry("s-1"))
            ends, client = counted(network), network.ask(left=200)
            connection = network.connect()
            connection.resumeProducing()
            connection.transport.__class__ = Broken
            if end == "time":
                pass_on(network, 0.2)
            else:
                client.connectionLost(Failure(ConnectionLost()))
            connection.connectionLost(Failure(ConnectionLost()))
            self.assertEqual(ends, [("01", 0, outcome)])
            self.assertEqual((len(network.sidecar.transactions), len(network.sidecar.pools)), (0, 0))

    def test_an_answer_that_has_come_goes_before_a_deadline_of_the_same_turn(self):
        network, turns = Network(entry("s-1")), []
        deadlines, wake = network.sidecar.deadlines, network.sidecar.deadlines.wake
        # A loop reads its sockets between two calls that are due: what is due at once comes a turn later.
        deadlines.wake = lambda seconds, *call: (turns.append(call) if not seconds else wake(seconds, *call))
        client = network.ask(left=200)
        connection = network.connect()
        connection.resumeProducing()
        network.reactor.advance(0.2)
        self.assertEqual((len(turns), client.transport.value()), (1, b""))
        connection.dataReceived(ANSWER)
        turns[0][0](*turns[0][1:])
        self.assertEqual(client.transport.value(), b"$1\r\nv\r\n")

    def test_what_was_given_up_binds_its_key_once_and_what_follows_answers_nobody(self):
        network = Network(entry("s-1", build=42), version=42, step=0, status="trial", maxWeight=1.0)
        client = network.ask(left=200)
        connection = network.connect()
        connection.resumeProducing()
        pass_on(network, 0.2)
        network.sidecar.balancer.pins.clear()
        connection.dataReceived(ANSWER + ANSWER)
        self.assertEqual(network.sidecar.balancer.pins, {"key"})
        self.assertTrue(connection.transport.disconnected)
        self.assertEqual(client.transport.value().count(b"\r\n"), 1)
        connection.connectionLost(Failure(ConnectionLost()))
        pass_on(network, 6)
        self.assertEqual((network.faults, len(network.sidecar.pools)), ([], 0))


class Ending(unittest.TestCase):
    """A connection is lost a turn of the loop after its end was settled."""

    def idle(self):
        network = Network(entry("s-1"))
        network.ask("01")
        connection = network.connect()
        connection.resumeProducing()
        connection.dataReceived(ANSWER)
        pass_on(network, 0.1)
        connection.transport.clear()
        return network, connection

    def test_what_is_sent_while_an_idle_connection_ends_goes_on_another(self):
        for end in ("more", "told idle time", "pod gone"):
            network, connection = self.idle()
            if end == "more":
                connection.dataReceived(ANSWER)
            elif end == "pod gone":
                network.sidecar.pools.retire("s-1")
            else:
                for _ in range(13):
                    pass_on(network, 1)
            self.assertTrue(connection.transport.disconnecting or connection.transport.disconnected)
            network.ask("02")
            self.assertEqual((connection.transport.value(), pods_dialled(network)), (b"", [7001, 7001]), end)
            connection.connectionLost(Failure(ConnectionLost()))
            self.assertEqual(network.faults, [])

    def test_an_end_that_the_loop_has_not_read_is_seen(self):
        network, connection = self.idle()
        connection.transport.recv = lambda most, flags: b""
        network.ask("02")
        self.assertEqual((connection.transport.value(), pods_dialled(network)), (b"", [7001, 7001]))

    def test_a_connection_that_stands_idle_keeps_nothing_of_what_was_answered(self):
        network = Network(entry("s-1"))
        network.ask("01")
        connection = network.connect()
        connection.resumeProducing()
        attempt = connection.begun.__self__
        connection.dataReceived(ANSWER)
        self.assertIs(attempt.out, False)
        self.assertNotIn(attempt, [getattr(held, "__self__", held) for held in vars(connection).values()])

    def test_a_fault_in_what_comes_after_an_answer_costs_no_answer(self):
        network = Network(entry("s-1"))
        client = network.ask("01")
        connection = network.connect()
        connection.resumeProducing()
        network.sidecar.pools.ready = lambda _: 1 / 0
        faults, network.sidecar.pools.fault = [], lambda *fault: faults.append(fault)
        connection.dataReceived(ANSWER)
        self.assertEqual((client.transport.value(), connection.transport.disconnected, len(faults)),
                         (b"$1\r\nv\r\n", True, 1))
        self.assertEqual(len(network.sidecar.transactions), 0)


class Late(unittest.TestCase):
    """Answers carry no id: a second one, some milliseconds late, must not meet the next request."""

    def answered(self, *more):
        """A network whose first request was answered, while these others were asked or wait for a dial."""
        network = Network(entry("s-1"))
        clients = [network.ask("01")]
        connection = network.connect()
        connection.resumeProducing()
        clients += [network.ask(name) for name in more]
        connection.dataReceived(ANSWER)
        connection.transport.clear()
        return network, connection, clients

    def test_a_second_answer_within_the_rest_answers_nobody(self):
        for waits in (True, False):
            network, connection, clients = self.answered(*["02"] * waits)
            network.reactor.advance(0.01)
            clients += [network.ask("02")] * (not waits)
            connection.dataReceived(ANSWER.replace(b"v", b"w"))
            network.reactor.advance(0.02)
            self.assertTrue(connection.transport.disconnected)
            self.assertEqual((connection.transport.value(), clients[1].transport.value()), (b"", b""))
            other = network.connect()
            other.resumeProducing()
            other.dataReceived(ANSWER.replace(b"v", b"2"))
            self.assertEqual(clients[1].transport.value(), b"$1\r\n2\r\n")
            self.assertEqual(pods_dialled(network), [7001, 7001])

    def test_after_its_rest_a_connection_is_used_again_and_none_is_dialled(self):
        network, connection, _ = self.answered()
        network.reactor.advance(0.02)
        network.ask("02")
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())
        self.assertEqual(pods_dialled(network), [7001])

    def test_who_has_waited_longest_gets_the_one_that_has_rested(self):
        network, connection, _ = self.answered("02", "03")
        network.reactor.advance(0.02)
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())
        self.assertIn(b"$2\r\n03\r\n", network.connect().transport.value())
        self.assertEqual(network.connect(-2).transport.value(), b"")  # its dial is spare

    def test_nobody_overtakes_who_waits(self):
        network, connection, _ = self.answered("02")
        network.sidecar.deadlines.clock = lambda: 1_000_200  # its rest is over, and its deadline has not come
        network.ask("03")
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())
        self.assertIn(b"$2\r\n03\r\n", network.connect().transport.value())

    def test_the_dial_of_one_that_waits_may_fail_while_another_rests(self):
        network, connection, clients = self.answered("02")
        network.refuse()
        self.assertEqual(pods_dialled(network), [7001, 7001, 7001])  # never ran: asked for again
        network.reactor.advance(0.02)
        self.assertIn(b"$2\r\n02\r\n", connection.transport.value())

    def test_one_that_rests_is_retired_where_no_more_may_be_opened(self):
        network, connection, _ = self.answered()
        network.sidecar.pools.most = 1
        network.ask("02")
        self.assertTrue(connection.transport.disconnecting)
        self.assertEqual(pods_dialled(network), [7001, 7001])

    def test_an_answer_before_the_last_byte_was_written_is_none(self):
        network = Network(entry("s-1"))
        client = network.ask("01", lane="pay")
        connection = network.connect()
        connection.dataReceived(ANSWER)
        self.assertEqual((client.transport.value(), connection.transport.disconnected), (b"", True))
        self.assertEqual(pods_dialled(network), [7001, 7001])  # it never ran, so a binding one may go again


class Cost(unittest.TestCase):
    def dials(self, rest, a_second, pods, took):
        """Connections dialled in half a minute, of pods that take so many steps of 5 ms for an answer."""
        network, chance, due, connected = Network(*(entry(f"s-{at}") for at in range(1, pods + 1))), \
            random.Random(11), [], 0
        client = network.client()
        with mock.patch.object(pools, "REST", rest):
            for step in range(6000):
                if chance.random() < a_second / 200:
                    network.ask(f"{step}", connection=client)
                clients = [one for one in network.reactor.tcpClients[network.streams:] if one[1] > 7000]
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
                    elif connection.waiting is not None:
                        if connection.transport.value():
                            connection.transport.clear()
                            connection.resumeProducing() if not connection.written else None
                            connection.ends = step + took
                        elif step >= connection.ends:
                            connection.dataReceived(ANSWER)
                network.reactor.advance(0.005)
        self.assertEqual(network.faults, [])
        return connected

    def test_the_rest_costs_few_connections_where_requests_are_spread_over_pods(self):
        before, after = (self.dials(rest, 20, 60, 20) for rest in (0, pools.REST))
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


class LateOverSockets(WithPods):
    def test_a_second_answer_goes_to_nobody_where_the_next_request_is_out(self):
        pod = Twice()
        self.addCleanup(pod.close)
        with self.program(pod.entry("s-1")).client() as client:
            names = iter(range(10, 100_000))

            def two():
                for name in (f"{next(names)}", f"{next(names)}"):
                    self.assertEqual(client.ask("SVC.QUERY", "a", name, READ), name.encode())
            # A pair that the machine held apart for longer than the rest goes on one connection, and is no case.
            until(lambda: pod.copies, two)
