"""Tests of the stand-ins: they lose no change, and nobody else gets their ports."""

import contextlib
import json
import socket
import struct
import unittest

from tests.support.peers import (
    TIMEOUT_SECONDS,
    FakeDiscovery,
    FakePlatform,
    FakeServer,
    reserve_port,
    wait_until,
)
from thymeknot.protocol import deployer

RELEASE_STATE = {"version": 42, "step": 0, "status": "trial", "maxWeight": 0.5, "observedAgoMs": 5}
ROLLING_BACK_RESPONSE = (
    b"<Response><entries><item><version>42</version><step>0</step><status>rolling_back</status>"
    b"<maxWeight>0</maxWeight><observedAgoMs>3</observedAgoMs></item></entries></Response>"
)


def entry(name, state="Ready"):
    return {"id": name, "state": state}


class WatchStreamTest(unittest.TestCase):
    def close_later(self, server):
        self.addCleanup(server.close)
        return server

    def open_stream(self, server, path):
        """Opens a stream; returns its connection and a function that reads the next chunk."""
        host, _, port = server.address.partition(":")
        connection = socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS)
        self.addCleanup(connection.close)
        connection.sendall(f"GET {path} HTTP/1.1\r\n\r\n".encode())
        reader = connection.makefile("rb")
        self.addCleanup(reader.close)
        server.stream_requests.get(timeout=TIMEOUT_SECONDS)
        for _ in range(3):
            reader.readline()
        return connection, lambda: reader.read(int(reader.readline(), 16) + 2)[:-2].decode()

    def watch_endpoints(self, server, since):
        return self.open_stream(server, f"/v1/servers?stream=1&index={since}")

    def test_first_line_has_the_changes_since_the_version_or_the_full_list(self):
        server = self.close_later(FakeDiscovery())
        one, two, gone = entry("1"), entry("2"), entry("1", "Gone")
        cases = [
            ((), ((7, (7, False, [])), (0, (0, False, [])))),
            ((8, one), ((7, (8, False, [one])), (8, (8, False, [])), (9, (9, False, [])))),
            ((9, two), ((7, (9, False, [one, two])), (8, (9, False, [two])))),
            ((10, gone), ((7, (10, False, [gone, two])), (9, (10, False, [gone])))),
            ((11, two), ((10, (11, True, [two])), (7, (11, True, [two])))),
        ]
        for (version, *entries), expected_by_version in [
            (pushed or (0,), expected_by_version) for pushed, expected_by_version in cases
        ]:
            if entries:
                server.push_list(version, *entries, full=version == 11)
            for since, (latest, full, servers) in expected_by_version:
                first = json.loads(self.watch_endpoints(server, since)[1]())
                self.assertEqual(
                    (first["version"], first["full"]), (latest, full), (version, since)
                )
                self.assertCountEqual(first["servers"], servers, (version, since))

    def test_change_pushed_while_a_stream_ends_reaches_its_successor(self):
        """Pushes both before and after the stand-in has noticed the end."""
        for noticed in (False, True):
            server = self.close_later(FakeDiscovery(silent=True))
            former, _ = self.watch_endpoints(server, 7)
            with server.lock:  # until it is released, the stand-in can't notice the end
                former.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                socket.close(former.detach())
                server._send(["\n"])
            if noticed:
                wait_until(lambda server=server: not server.streams, lambda: None)
            server.push_list(8, entry("1"))
            for since, servers in ((7, [entry("1")]), (8, [])):
                self.assertEqual(
                    json.loads(self.watch_endpoints(server, since)[1]())["servers"], servers
                )

    def test_silent_server_sends_once_something_is_pushed_also_to_later_streams(self):
        server = self.close_later(FakeDiscovery(silent=True))
        connection, first = self.watch_endpoints(server, 7)
        connection.settimeout(0)
        with self.assertRaises(BlockingIOError):
            connection.recv(1, socket.MSG_PEEK)
        connection.settimeout(TIMEOUT_SECONDS)
        server.push_raw("odd", "\n")
        _, second = self.watch_endpoints(server, 7)
        self.assertEqual([first(), first(), second(), second()], ["odd", "\n"] * 2)
        server.push_list(8)
        self.assertEqual([json.loads(each())["version"] for each in (first, second)], [8, 8])

    def test_heartbeats_come_at_the_interval_of_the_protocol(self):
        for server, path, heartbeat in (
            (FakeDiscovery(), "/v1/servers?stream=1&index=7", "\n"),
            (FakePlatform(), "/v2/projects/main/stream", ":\n"),
        ):
            _, next_chunk = self.open_stream(self.close_later(server), path)
            self.assertEqual([next_chunk(), next_chunk(), next_chunk()][1:], [heartbeat] * 2)

    def test_platform_sends_the_latest_state_first_also_one_set_by_a_vote(self):
        server = self.close_later(
            FakePlatform(lambda form: (200, ROLLING_BACK_RESPONSE), release_state=RELEASE_STATE)
        )

        def state():
            received = self.open_stream(server, "/v2/projects/main/stream")[1]()
            data = received.partition("data: ")[2].strip()
            update = deployer.read_event("progress", data)
            return update.build, update.phase, update.cap

        self.assertEqual(state(), (42, deployer.PHASES["trial"], 0.5))
        with contextlib.closing(
            socket.create_connection(("127.0.0.1", int(server.address[10:])))
        ) as call:
            call.sendall(b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n=")
            server.calls.get(timeout=TIMEOUT_SECONDS)
        self.assertEqual(state(), (42, deployer.PHASES["rolling_back"], 0.0))
        server.push_release_state(43, cap=0.25)
        self.assertEqual(state(), (43, deployer.PHASES["released"], 0.25))


class PortReservationTest(unittest.TestCase):
    def test_reserved_port_refuses_connections_while_nobody_listens(self):
        reservation, port = reserve_port()
        self.addCleanup(reservation.close)
        for _ in range(2):
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", port))
            with (
                socket.create_server(("127.0.0.1", port)) as listener,
                socket.create_connection(("127.0.0.1", port)),
            ):
                listener.accept()[0].close()

    def test_reserved_port_is_not_given_to_others(self):
        reservation, port = reserve_port()
        self.addCleanup(reservation.close)
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(("127.0.0.1", port))
        with contextlib.ExitStack() as others:
            other_ports = [
                others.enter_context(socket.create_server(("127.0.0.1", 0))).getsockname()[1]
                for _ in range(500)
            ]
        self.assertNotIn(port, other_ports)

    def test_stopped_server_accepts_no_further_connection(self):
        for _ in range(20):
            server = FakeServer()
            self.addCleanup(server.close)
            server.stop_listening()
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", int(server.address[10:])))


if __name__ == "__main__":
    unittest.main()
