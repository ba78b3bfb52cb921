"""The stand-ins themselves: what they were given to tell is never lost, and what they stand for is theirs alone."""

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
BACK = (
    b"<Response><entries><item><version>42</version><step>0</step><status>rolling_back</status>"
    b"<maxWeight>0</maxWeight><observedAgoMs>3</observedAgoMs></item></entries></Response>"
)


def entry(name, state="Ready"):
    return {"id": name, "state": state}


class Streams(unittest.TestCase):
    def peer(self, made):
        self.addCleanup(made.close)
        return made

    def asks(self, peer, path):
        """(the connection, what reads its chunks): a stream that is heard by the peer."""
        host, _, port = peer.address.partition(":")
        connection = socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS)
        self.addCleanup(connection.close)
        connection.sendall(f"GET {path} HTTP/1.1\r\n\r\n".encode())
        source = connection.makefile("rb")
        self.addCleanup(source.close)
        peer.stream_requests.get(timeout=TIMEOUT_SECONDS)
        for _ in range(3):
            source.readline()
        return connection, lambda: source.read(int(source.readline(), 16) + 2)[:-2].decode()

    def watch(self, peer, since):
        return self.asks(peer, f"/v1/servers?stream=1&index={since}")

    def test_the_first_line_is_what_changed_after_the_version_or_the_whole_list(self):
        peer = self.peer(FakeDiscovery())
        one, two, gone = entry("1"), entry("2"), entry("1", "Gone")
        cases = [
            ((), ((7, (7, False, [])), (0, (0, False, [])))),
            ((8, one), ((7, (8, False, [one])), (8, (8, False, [])), (9, (9, False, [])))),
            ((9, two), ((7, (9, False, [one, two])), (8, (9, False, [two])))),
            ((10, gone), ((7, (10, False, [gone, two])), (9, (10, False, [gone])))),
            ((11, two), ((10, (11, True, [two])), (7, (11, True, [two])))),
        ]
        for (version, *entries), asked in [(given or (0,), asked) for given, asked in cases]:
            if entries:
                peer.push_list(version, *entries, full=version == 11)
            for since, (told, full, servers) in asked:
                first = json.loads(self.watch(peer, since)[1]())
                self.assertEqual((first["version"], first["full"]), (told, full), (version, since))
                self.assertCountEqual(first["servers"], servers, (version, since))

    def test_what_is_pushed_while_a_watch_ends_is_told_to_the_next(self):
        """In each order: before the peer has seen the end, and after."""
        for seen in (False, True):
            peer = self.peer(FakeDiscovery(silent=True))
            former, _ = self.watch(peer, 7)
            with peer.lock:  # it does not see the end before this is let go
                former.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                socket.close(former.detach())
                peer._send(["\n"])
            if seen:
                wait_until(lambda peer=peer: not peer.streams, lambda: None)
            peer.push_list(8, entry("1"))
            for since, servers in ((7, [entry("1")]), (8, [])):
                self.assertEqual(json.loads(self.watch(peer, since)[1]())["servers"], servers)

    def test_a_silent_one_speaks_once_it_is_told_to_and_to_each_that_asks(self):
        peer = self.peer(FakeDiscovery(silent=True))
        connection, first = self.watch(peer, 7)
        connection.settimeout(0)
        with self.assertRaises(BlockingIOError):
            connection.recv(1, socket.MSG_PEEK)
        connection.settimeout(TIMEOUT_SECONDS)
        peer.push_raw("odd", "\n")
        _, second = self.watch(peer, 7)
        self.assertEqual([first(), first(), second(), second()], ["odd", "\n"] * 2)
        peer.push_list(8)
        self.assertEqual([json.loads(each())["version"] for each in (first, second)], [8, 8])

    def test_signs_of_life_come_as_often_as_the_page_has_them(self):
        for peer, path, sign in (
            (FakeDiscovery(), "/v1/servers?stream=1&index=7", "\n"),
            (FakePlatform(), "/v2/projects/main/stream", ":\n"),
        ):
            _, told = self.asks(self.peer(peer), path)
            self.assertEqual([told(), told(), told()][1:], [sign] * 2)

    def test_the_platform_tells_the_newest_state_at_once_also_one_that_a_vote_brought(self):
        peer = self.peer(FakePlatform(lambda form: (200, BACK), release_state=RELEASE_STATE))

        def state():
            told = self.asks(peer, "/v2/projects/main/stream")[1]()
            data = told.partition("data: ")[2].strip()
            news = deployer.read_event("progress", data)
            return news.build, news.phase, news.cap

        self.assertEqual(state(), (42, deployer.PHASES["trial"], 0.5))
        with contextlib.closing(
            socket.create_connection(("127.0.0.1", int(peer.address[10:])))
        ) as call:
            call.sendall(b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n=")
            peer.calls.get(timeout=TIMEOUT_SECONDS)
        self.assertEqual(state(), (42, deployer.PHASES["rolling_back"], 0.0))
        peer.push_release_state(43, cap=0.25)
        self.assertEqual(state(), (43, deployer.PHASES["released"], 0.25))


class Ports(unittest.TestCase):
    def test_a_reserved_port_refuses_until_somebody_listens_there_and_again_after(self):
        place, port = reserve_port()
        self.addCleanup(place.close)
        for _ in range(2):
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", port))
            with (
                socket.create_server(("127.0.0.1", port)) as listener,
                socket.create_connection(("127.0.0.1", port)),
            ):
                listener.accept()[0].close()

    def test_one_that_asks_for_any_port_is_not_given_it(self):
        place, port = reserve_port()
        self.addCleanup(place.close)
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(("127.0.0.1", port))
        with contextlib.ExitStack() as others:
            given = [
                others.enter_context(socket.create_server(("127.0.0.1", 0))).getsockname()[1]
                for _ in range(500)
            ]
        self.assertNotIn(port, given)

    def test_a_peer_that_stops_takes_not_one_connection_more(self):
        for _ in range(20):
            peer = FakeServer()
            self.addCleanup(peer.close)
            peer.stop_listening()
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", int(peer.address[10:])))


if __name__ == "__main__":
    unittest.main()
