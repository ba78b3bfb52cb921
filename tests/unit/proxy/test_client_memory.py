"""Partial commands and responses that wait take a bounded part of the memory."""

import gc
import time
import unittest
import weakref
from unittest import mock

from twisted.internet.epollreactor import EPollReactor
from twisted.python.failure import Failure

from tests.support.peers import FakeEndpoint
from tests.support.programs import encode_command
from tests.unit.proxy.test_proxy import Network, endpoint_entry
from thymeknot.protocol.command import DISCARDED, MAX_COMMAND_BYTES, CommandParser
from thymeknot.protocol.pod import PodConnector
from thymeknot.protocol.resp import MalformedRespError
from thymeknot.proxy.client_listener import MAX_WAITING_PER_TURN

MEMORY_MB = 32
BODY = b"v" * 60_000
LARGE_COMMAND = encode_command("SVC.SUBMIT", "k", "large", "c=pay,d=5000", BODY)
PING = encode_command("PING")


class DiscardedCommandTest(unittest.TestCase):
    def test_end_of_a_discarded_command_is_found_at_any_cut(self):
        command = encode_command("SVC.QUERY", "", "\r\n$3\r\n*", "c=a,d=5", b"x" * 30)
        for cut in range(1, len(command)):
            for end in (cut + 1, cut + 7, len(command), len(command) + 3):
                parser = CommandParser()
                self.assertEqual(list(parser.feed(command[:cut])), [])
                parser.discard_partial_command()
                self.assertEqual(parser.held_bytes(), 0)
                self.assertTrue(parser.has_partial_command())
                content = command + PING
                found = [*parser.feed(content[cut:end]), *parser.feed(content[end:])]
                self.assertIs(found[0], DISCARDED)
                self.assertEqual([bytes(word) for word in found[1]], [b"PING"])
                self.assertFalse(parser.has_partial_command())

    def test_malformed_rest_of_a_discarded_command_ends_the_input(self):
        for rest in (b"*1\r\n", b"$-1\r\n", b"$65537\r\n", b"$" + b"1" * 40, b":1\r\n"):
            parser = CommandParser()
            list(parser.feed(b"*9\r\n$1\r\nx\r\n"))
            parser.discard_partial_command()
            with self.assertRaises(MalformedRespError, msg=rest):
                list(parser.feed(rest))

    def test_discarded_command_is_bounded_in_size(self):
        parser = CommandParser()
        list(parser.feed(b"*9\r\n"))
        parser.discard_partial_command()
        with self.assertRaises(MalformedRespError):
            for _ in range(2 + MAX_COMMAND_BYTES // len(BODY)):
                list(parser.feed(b"$%d\r\n%s\r\n" % (len(BODY), BODY)))

    def test_chunks_of_one_byte_take_the_memory_that_is_counted(self):
        parser = CommandParser()
        for at in range(5_000):
            list(parser.feed(LARGE_COMMAND[at : at + 1]))
        self.assertLess(len(parser.chunks), 100)
        self.assertGreater(parser.held_bytes(), 5_000)


class PartialCommandMemoryTest(unittest.TestCase):
    def network(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.memory.set_memory_limit(MEMORY_MB)
        return network

    # Guards against a process over its memory limit because of clients that send half a request.
    def test_partial_commands_of_many_clients_stay_within_their_budget(self):
        network = self.network()
        clients = [network.client() for _ in range(400)]
        half = len(LARGE_COMMAND) // 2
        for at in range(0, half, 2_000):
            for client in clients:
                client.dataReceived(LARGE_COMMAND[at : min(at + 2_000, half)])
        budget = network.proxy.memory.partial_commands
        held = sum(len(chunk) for client in clients for chunk in client.parser.chunks)
        self.assertLessEqual(budget.used, budget.limit)
        self.assertLessEqual(held, budget.used)
        usual = network.client()
        small = encode_command("SVC.QUERY", "k", "usual", "c=read,d=5000")
        usual.dataReceived(small[:40])
        usual.dataReceived(small[40:])
        self.assertIsNotNone(network.proxy.requests.find("usual"))
        for client in clients:
            client.dataReceived(LARGE_COMMAND[half:] + PING)
        # The second commands are handled in the next turns, some of them in each.
        for _ in range(len(clients) // MAX_WAITING_PER_TURN):
            network.reactor.advance(0.0001)
            network.reactor.advance(0)
        replies = {client.transport.value() for client in clients}
        self.assertIn(b"-BUSY\r\n+PONG\r\n", replies)
        self.assertEqual((budget.used, budget.held), (0, {}))

    def test_discarded_command_that_stops_half_way_gets_its_error(self):
        network = self.network()
        network.proxy.memory.set_memory_limit(0.01)
        client = network.client()
        client.dataReceived(LARGE_COMMAND[:30_000])
        for _ in range(30):
            network.reactor.advance(0.1)
            network.reactor.advance(0)
        self.assertEqual(client.transport.value(), b"-ERR no whole command in time\r\n")

    def test_ended_connection_frees_its_partial_command(self):
        network = self.network()
        for end in ("lost", "half closed", "malformed"):
            client = network.client()
            client.dataReceived(LARGE_COMMAND[:30_000])
            self.assertGreater(network.proxy.memory.partial_commands.used, 30_000)
            if end == "lost":
                client.connectionLost(Failure(ConnectionResetError()))
            elif end == "half closed":
                client.readConnectionLost()
            else:
                client.dataReceived(BODY + BODY[:33_000])
                self.assertIn(b"-ERR", client.transport.value(), end)
            self.assertEqual(network.proxy.memory.partial_commands.used, 0, end)


class ResponseMemoryTest(unittest.TestCase):
    # Guards against responses behind a slow one that took any amount of memory.
    def test_responses_behind_a_slow_one_stay_within_their_budget(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.memory.set_memory_limit(MEMORY_MB)
        budget = network.proxy.memory.responses
        value = b"$60000\r\n" + BODY + b"\r\n"
        clients = [network.client() for _ in range(50)]
        for client in clients:
            first = client._reserve_response()
            for _ in range(20):
                client.answer(client._reserve_response(), value)
            held = sum(len(content or b"") for content in client.pending_responses)
            self.assertEqual(held, client.held_response_bytes)
            self.assertEqual(first, 0)
        self.assertLessEqual(budget.used, budget.limit)
        held = sum(client.held_response_bytes for client in clients)
        self.assertLessEqual(held, budget.limit + 50 * 20 * len(b"-ERR abandoned\r\n"))
        for client in clients:
            client.answer(0, b"+FIRST\r\n")
            replies = client.transport.value()
            self.assertEqual(replies.count(value) + replies.count(b"-ERR abandoned\r\n"), 20)
        self.assertEqual((budget.used, budget.held), (0, {}))

    def test_response_that_was_written_and_not_read_counts_against_later_ones(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.memory.set_memory_limit(1)  # 32 KiB for responses
        budget = network.proxy.memory.responses
        client = network.client()
        client.transport.write = lambda content: client.pauseProducing()
        client.answer(client._reserve_response(), b"$60000\r\n" + BODY + b"\r\n")
        self.assertGreater(budget.used, len(BODY))
        other = network.client()
        first = other._reserve_response()
        other.answer(other._reserve_response(), b"$20\r\n" + b"v" * 20 + b"\r\n")
        self.assertEqual(list(other.pending_responses)[1], b"-ERR abandoned\r\n")
        self.assertEqual(first, 0)
        client.resumeProducing()
        self.assertLess(budget.used, 100)

    def test_responses_to_a_client_that_does_not_read_are_counted(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.memory.set_memory_limit(MEMORY_MB)
        budget = network.proxy.memory.responses
        client = network.client()
        client.pauseProducing()
        for _ in range(40):
            client.answer(client._reserve_response(), b"$60000\r\n" + BODY + b"\r\n")
        self.assertTrue(0 < budget.used <= budget.limit)
        self.assertLess(len(client.transport.value()), budget.limit)
        client.resumeProducing()
        self.assertEqual((budget.used, budget.held), (0, {}))


class PartialResponseMemoryTest(unittest.TestCase):
    # Guards against a process over its memory limit because of many large responses at once.
    def test_partial_responses_stay_within_their_budget(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.memory.set_memory_limit(MEMORY_MB)
        budget = network.proxy.memory.partial_responses
        clients = [network.ask(f"{number}", "pay") for number in range(100)]
        dialled = len(network.dialled_ports())
        self.assertGreater(dialled, 50)
        pods = [network.connect(at - dialled) for at in range(dialled)]
        for pod in pods:
            pod.resumeProducing()
        for at in range(0, 400_000, 50_000):
            for pod in pods:
                if not pod.transport.disconnected:
                    pod.dataReceived(b"*3\r\n$400000\r\n" * (not at) + BODY[:50_000])
            held = sum(len(chunk) for pod in pods for chunk in pod.parser.chunks)
            self.assertLessEqual(held, budget.limit)
            self.assertLessEqual(held, budget.used)
        failed = [client for client in clients if client.transport.value() == b"-ERR abandoned\r\n"]
        self.assertGreater(len(failed), 0)
        for pod in pods:
            pod.connectionLost(Failure(ConnectionResetError()))
        self.assertEqual((budget.used, budget.held), (0, {}))

    def test_large_response_of_one_endpoint_is_served(self):
        network = Network(endpoint_entry("s-1"))
        network.proxy.memory.set_memory_limit(MEMORY_MB)
        client = network.ask("01")
        pod = network.connect(network.initial_dials)
        pod.resumeProducing()
        response = b"*3\r\n$400000\r\n" + b"v" * 400_000 + b"\r\n$-1\r\n$-1\r\n"
        for at in range(0, len(response), 65_536):
            pod.dataReceived(response[at : at + 65_536])
        self.assertEqual(len(client.transport.value()), len(b"$400000\r\n") + 400_002)
        budget = network.proxy.memory.partial_responses
        self.assertEqual((budget.used, budget.held), (0, {}))


class EndedConnectionTest(unittest.TestCase):
    # Guards against ended connections to endpoints that were kept until a full garbage collection.
    def test_ended_connection_is_freed_without_garbage_collection(self):
        server = FakeEndpoint(answer=lambda _: None)
        self.addCleanup(server.close)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        loop = EPollReactor()
        lost = []
        owner = mock.Mock(connection_lost=lambda connection: lost.append(True))
        factory = PodConnector(owner, None)
        factory.failed.addCallback(lambda _, connector: None, factory)
        port = int(server.address.rpartition(":")[2])
        connector = loop.connectTCP("127.0.0.1", port, factory, timeout=None)
        deadline = time.monotonic() + 10
        transport = None
        while not lost and time.monotonic() < deadline:
            loop.iterate(0.01)
            if owner.connection_opened.called and transport is None:
                protocol = owner.connection_opened.call_args[0][0]
                transport = weakref.ref(protocol.transport)
                protocol.transport.write(encode_command("PING"))
                owner.reset_mock()
                protocol = None
        factory_reference = weakref.ref(factory)
        connector = factory = owner = None
        for reader in [*loop.removeAll(), loop.waker]:
            reader.connectionLost(None)
        loop._poller.close()
        self.assertEqual(lost, [True])
        self.assertEqual((transport(), factory_reference(), connector), (None, None, None))


if __name__ == "__main__":
    unittest.main()
