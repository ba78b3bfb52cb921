"""The regular log line on memory and connections."""

import unittest
from unittest import mock

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from tests.support.programs import encode_command
from tests.unit.proxy.test_proxy import Network, endpoint_entry
from thymeknot.proxy import resource_report


class ResourceReportTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.network = Network(endpoint_entry("s-1"))
        self.network.proxy.resources.log = lambda event, **fields: self.lines.append(
            (event, fields)
        )

    def flush(self):
        proxy = self.network.proxy
        proxy.resources.flush(proxy.clients, len(proxy.pools))

    def test_nothing_is_logged_without_clients(self):
        self.flush()
        self.assertEqual(self.lines, [])

    def test_line_tells_memory_by_kind_states_and_reasons(self):
        network = self.network
        network.proxy.memory.set_memory_limit(32)
        network.ask("01")
        partial = network.client()
        partial.dataReceived(encode_command("PING", b"x" * 2_000)[:1_024])
        blocked = network.client()
        blocked.pauseProducing()
        malformed = network.client()
        malformed.dataReceived(b"nonsense\r\n")
        malformed.connectionLost(Failure(ConnectionDone()))
        network.proxy.resources.turn_times.record("Stream", 0.012)
        self.flush()
        ((event, fields),) = self.lines
        self.assertEqual(event, "resource usage")
        self.assertGreaterEqual(fields["resident_mb"], fields["anonymous_mb"])
        self.assertEqual(fields["held"]["open_requests"]["holders"], 1)
        self.assertEqual(fields["held"]["partial_commands"]["largest_kb"], 1)
        self.assertEqual(fields["held"]["partial_commands"]["limit_mb"], 1.0)
        self.assertEqual(
            fields["clients"],
            {
                "open": 3,
                "awaiting response": 1,
                "partial command": 1,
                "reading paused": 1,
                "client not reading": 1,
            },
        )
        self.assertEqual(fields["closed"], {"malformed input": 1})
        self.assertEqual(fields["longest_turns_ms"], {"Stream": 12.0})
        self.flush()
        self.assertEqual(self.lines[1][1]["closed"], {})

    def test_close_reasons_are_told_apart(self):
        network = self.network
        for start, seconds, reason in (
            (lambda client: None, 3.0, "no command"),
            (lambda client: client.dataReceived(b"*1\r\n"), 3.0, "incomplete command"),
            (lambda client: client.evict(), 1.0, "evicted"),
            (lambda client: client.stop_waiting(), 1.0, "shutdown"),
            (lambda client: None, 0.0, "client"),
        ):
            client = network.client()
            start(client)
            for _ in range(int(10 * seconds)):
                network.reactor.advance(0.1)
                network.reactor.advance(0)
            client.connectionLost(Failure(ConnectionDone()))
            closed = network.proxy.resources.counters.closed
            self.assertEqual({key.value: count for key, count in closed.items()}, {reason: 1})
            network.proxy.resources.counters.reset()

    def test_refused_requests_and_discarded_commands_are_counted(self):
        network = self.network
        network.proxy.memory.set_memory_limit(0.001)
        network.ask("01")
        client = network.client()
        client.dataReceived(encode_command("PING", b"x" * 2_000)[:1_900])
        client.dataReceived(encode_command("PING", b"x" * 2_000)[1_900:])
        self.assertEqual(
            dict(network.proxy.resources.counters.events),
            {"request refused: memory": 1, "command discarded": 1},
        )

    def test_unreadable_status_leaves_the_memory_out(self):
        with mock.patch.object(resource_report, "STATUS_PATH", "/nonexistent"):
            self.network.client()
            self.flush()
        self.assertNotIn("resident_mb", self.lines[0][1])


if __name__ == "__main__":
    unittest.main()
