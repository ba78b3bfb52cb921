"""What is still owed when an attempt, a connection or a dial to a pod ends: each order is stepped by hand."""

import unittest

from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from tests.test_sidecar import ANSWER, Network, Transport, entry
from thymeknot import interface as i


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
