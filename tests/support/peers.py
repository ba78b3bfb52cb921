"""Stand-ins of the systems that the program speaks to, on loopback: endpoints, discovery and the platform."""

import contextlib
import json
import queue
import re
import socket
import struct
import threading
import time
from urllib.parse import parse_qsl, urlencode

# Stand-ins of the outside systems, on free loopback ports, and the program itself.

TIMEOUT_SECONDS = 20  # seconds that a test waits at most; nothing passes by waiting


SETTINGS = {
    "balancers": 1,
    "discovery": "automatic",
    "stats": {"names": [], "source": "silent"},
    "categories": [
        {
            "name": name,
            "semantics": effect,
            "key_scope": "all",
            "window": 5_000_000_000,
            "promise": 3_000_000_000,
            "give_up": 20_000_000_000,
            "worth": 1.0,
            "late_worth": 0.5,
        }
        for name, effect in (
            ("read", "idempotent"),
            ("mark", "deduplicated"),
            ("pay", "at_most_once"),
        )
    ],
    "permissions": {
        "max_attempts": 4,
        "max_retry_after": 500_000_000,
        "second_copies": False,
        "may_cancel": True,
        "retry_after": True,
        "connect_timeout": 250_000_000,
        "conn_idle": 15_000_000_000,
        "max_open": 20000,
    },
    "rules": {
        "ask_within": 10_000_000_000,
        "cold_from": 0.31,
        "cold": 4_800_000_000,
        "fall_multiple": 2.0,
        "overload_for": 1_500_000_000,
    },
    "extra": {
        "window": 3_000_000_000,
        "allowance": 3.0,
        "guarded_stages": 0,
        "waves": [0.5, 1.0],
        "counts": "all",
        "keys_stay": True,
        "swap": "parallel",
        "decided_by": "by_count",
        "votes_to_revert": 1,
        "vote_life": 4_000_000_000,
        "vote_wait": 1_200_000_000,
        "calls_per_s": 150.0,
    },
}


def wait_until(done, act, state=None):
    """Does it again until it is done; never for ever. state() tells how things stood if it did not come about."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not done():
        if time.monotonic() > deadline:
            description = f": {state()}" if state else ""
            raise AssertionError(f"it did not come about in {TIMEOUT_SECONDS} s{description}")
        act()


def reserve_port():
    """(a socket that keeps a free loopback port, the port). Who asks the machine for any port is never given it, and
    who wants this one can listen there, again and again; until somebody does, connections are refused."""
    reservation = socket.socket()
    reservation.setsockopt(
        socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
    )  # as the listener does; two that do may share it
    reservation.bind(("127.0.0.1", 0))
    return reservation, reservation.getsockname()[1]


class FakeServer:
    """A listener on a free loopback port, a thread for each connection; serve(connection, source) is its part."""

    def __init__(self):
        self.reservation, port = reserve_port()
        self.listener = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{port}"
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        with connection, connection.makefile("rb") as reader:
            try:
                self.serve(connection, reader)
            except OSError:
                pass

    def reset_connections(self):
        """Resets what stands."""
        for connection in self.connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def stop_listening(self):
        """Takes no further connection, and nobody else does at its address."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(
                socket.SHUT_RDWR
            )  # one that is closed alone takes one more: accept() holds it
        self.listener.close()

    def close(self):
        self.stop_listening()
        self.reservation.close()
        self.reset_connections()


def read_command(reader):
    """The next command that comes in, or None."""
    first = reader.readline()
    if not first:
        return None
    return [reader.read(int(reader.readline()[1:]) + 2)[:-2] for _ in range(int(first[1:]))]


class FakeEndpoint(FakeServer):
    """A pod. answer(words) gives the bytes to write, b"" to say nothing, or None to reset the connection."""

    def __init__(self, answer=None):
        self.received_commands, self.closed_connections = queue.Queue(), queue.Queue()
        self.answer = answer or (
            lambda arguments: (
                b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(arguments[2]), arguments[2])
            )
        )
        super().__init__()

    def serve(self, connection, reader):
        while (arguments := read_command(reader)) is not None:
            self.received_commands.put(arguments)
            answer = self.answer(arguments)
            if answer is None:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return
            connection.sendall(answer)
        self.closed_connections.put(True)

    def entry(self, name, build=41, state="Ready", **more):
        return {
            "id": name,
            "addr": self.address,
            "zone": "a",
            "kind": "m",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
            "image_id": build,
            **more,
        }


class FakeHttpServer(FakeServer):
    """What discovery and the platform have in common. Calls go to answer(form). A stream is told at once what it has
    missed, then what is new, and a sign of life as often as PROTOCOL.md has it: what was given to tell is kept, so a
    stream that the sidecar gives up loses nothing. A silent one takes streams and says nothing until it is told to."""

    def __init__(self, answer=None, silent=False):
        self.streams, self.stream_requests, self.calls, self.answer = (
            [],
            queue.Queue(),
            queue.Queue(),
            answer,
        )
        self.silent, self.raw_chunks, self.lock, self.stopped = (
            silent,
            None,
            threading.Lock(),
            threading.Event(),
        )
        super().__init__()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def serve(self, connection, reader):
        while first := reader.readline():
            length = 0
            while line := reader.readline().strip():
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            if first.startswith(b"GET"):
                return self._stream(connection, reader, first.split()[1].decode())
            form = dict(parse_qsl(reader.read(length).decode()))
            status, body = (
                self.answer(form)
                if self.answer
                else (400, b"<Error><Code>throttled</Code></Error>")
            )
            if status == 200:
                self.apply_response(body.decode())
            connection.sendall(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
            )
            self.calls.put(form)

    def _stream(self, connection, reader, path):
        with self.lock:
            self.streams.append(connection)
            try:
                connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            except OSError:
                pass
            if not self.silent:
                self._send(self.raw_chunks or [self.initial_message(path)], [connection])
        self.stream_requests.put(path)
        try:
            reader.read(1)  # it ends, or takes a byte too many: either is its end
        finally:
            with self.lock:
                self.streams.remove(connection)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def _send_heartbeats(self):
        while not self.stopped.wait(self.HEARTBEAT_SECONDS):
            with self.lock:
                if not self.silent:
                    self._send([self.HEARTBEAT])

    def _send(self, texts, streams=None):
        """Each in a piece of its own. One that has ended is none: who asks instead of it is told what it missed."""
        data = b"".join(
            b"%x\r\n%s\r\n" % (len(text), text) for text in (text.encode() for text in texts)
        )
        for stream in streams or self.streams:
            try:
                stream.sendall(data)
            except OSError:
                pass

    def push_raw(self, *texts):
        """In these pieces and as it is, sound or not: to each stream that stands, and to each that asks, in place of
        what it has missed, until there is something to tell."""
        with self.lock:
            self.silent, self.raw_chunks = False, texts
            self._send(texts)

    def push(self, text):
        """Something to tell, which is kept by now; the lock is held."""
        self.silent, self.raw_chunks = False, None
        self._send([text])

    def close(self):
        self.stopped.set()
        super().close()


class FakeDiscovery(FakeHttpServer):
    """Keeps the changes and whole lists that it was given, each entry's last under its version."""

    HEARTBEAT, HEARTBEAT_SECONDS = "\n", 2.0

    def __init__(self, **more):
        self.entries, self.version, self.full_list_version = (
            {},
            0,
            0,
        )  # id -> (version, entry); that of the last whole list
        super().__init__(**more)

    def initial_message(self, path):
        """The first line: what changed after the version that is asked from, or the whole list."""
        since = int(path.rpartition("index=")[2])
        full = since < self.full_list_version
        return self._line(
            max(self.version, since),
            full,
            [
                entry
                for version, entry in self.entries.values()
                if full and entry["state"] != "Gone" or not full and version > since
            ],
        )

    @staticmethod
    def _line(version, full, entries):
        return json.dumps({"version": version, "full": full, "servers": entries}) + "\n"

    def push_list(self, version, *entries, full=False):
        with self.lock:
            self.version = version
            if full:
                self.full_list_version, self.entries = version, {}
            self.entries.update((entry["id"], (version, entry)) for entry in entries)
            self.push(self._line(version, full, entries))


class FakePlatform(FakeHttpServer):
    """Keeps the state of the newest build, also as a vote that counts changes it."""

    HEARTBEAT, HEARTBEAT_SECONDS = ":\n", 1.0
    RELEASE_STATE = {
        "version": 41,
        "step": 1,
        "status": "released",
        "maxWeight": 1.0,
        "observedAgoMs": 60000,
    }

    def __init__(self, answer=None, release_state=RELEASE_STATE, **more):
        self._set_release_state(release_state)
        super().__init__(answer, **more)

    def _set_release_state(self, release_state):
        self.release_state, self.observed_at = (
            dict(release_state),
            time.monotonic() - float(release_state["observedAgoMs"]) / 1000,
        )

    def initial_message(self, path):
        self.release_state["observedAgoMs"] = round(1000 * (time.monotonic() - self.observed_at))
        return f"event: progress\ndata: {urlencode(self.release_state)}\n\n"

    def apply_response(self, body):
        with self.lock:
            self._set_release_state(dict(re.findall(r"<(\w+)>([^<>]*)</", body)))

    def push_release_state(self, version=41, step=1, status="released", cap=1.0):
        with self.lock:
            self._set_release_state(
                {
                    "version": version,
                    "step": step,
                    "status": status,
                    "maxWeight": cap,
                    "observedAgoMs": 5,
                }
            )
            self.push(self.initial_message(None))
