"""Stand-ins for endpoints, discovery and the release platform, on free loopback ports.

Each stand-in listens at `address` and serves each connection in a thread of its own.
"""

import contextlib
import json
import queue
import re
import socket
import struct
import threading
import time
from urllib.parse import parse_qsl, urlencode

TIMEOUT_SECONDS = 20  # longest wait of a test; no test passes by a timeout


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
    """Calls `act` until `done` returns true.

    Raises:
        AssertionError: after TIMEOUT_SECONDS; the message has what `state` returns.
    """
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not done():
        if time.monotonic() > deadline:
            description = f": {state()}" if state else ""
            raise AssertionError(
                f"the condition did not hold within {TIMEOUT_SECONDS} s{description}"
            )
        act()


def reserve_port():
    """Returns a socket that reserves a free loopback port, and the port.

    The kernel gives the port to nobody who binds to port 0, but servers can listen on it, one
    after another. While none does, connections are refused.
    """
    reservation = socket.socket()
    # The listener sets it as well; sockets that both do may share the port.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation, reservation.getsockname()[1]


class FakeServer:
    """A server on a free loopback port with a thread per connection.

    Subclasses implement `serve(connection, reader)`.
    """

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
        """Resets all open connections."""
        for connection in self.connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def stop_listening(self):
        """Stops accepting connections; the port stays reserved, so nobody else listens on it."""
        with contextlib.suppress(OSError):
            # Without shutdown, the accept() in progress would still accept one connection.
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def close(self):
        """Stops listening, frees the port and resets all connections."""
        self.stop_listening()
        self.reservation.close()
        self.reset_connections()


def read_command(reader):
    """Returns the arguments of the next command, or None at the end of the stream."""
    first = reader.readline()
    if not first:
        return None
    return [reader.read(int(reader.readline()[1:]) + 2)[:-2] for _ in range(int(first[1:]))]


class FakeEndpoint(FakeServer):
    """An endpoint.

    `answer(arguments)` returns the bytes to write, b"" to send nothing, or None to reset the
    connection. The default answers with the request's id.
    """

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
        """Returns this endpoint's entry in an endpoint list."""
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
    """The common part of discovery and the release platform: watch streams and form calls.

    A new stream gets the current state at once, then each change, and heartbeats at the interval
    of PROTOCOL.md. The state is kept, so nothing is lost when the sidecar gives up a stream and
    opens another. Calls are answered by `answer(form)`, which returns (status, body).

    Args:
        answer: answers calls; by default they are throttled.
        silent: accept streams but send nothing until something is pushed.
    """

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
            # Returns when the sidecar closes the stream, or sends a byte, which ends it as well.
            reader.read(1)
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
        """Sends each text as a chunk of its own, by default to all streams.

        Streams that have ended are skipped: their successors start with the current state.
        """
        data = b"".join(
            b"%x\r\n%s\r\n" % (len(text), text) for text in (text.encode() for text in texts)
        )
        for stream in streams or self.streams:
            try:
                stream.sendall(data)
            except OSError:
                pass

    def push_raw(self, *texts):
        """Sends these chunks as they are, valid or not, to all streams.

        Streams that open later get them in place of the current state, until the next push.
        """
        with self.lock:
            self.silent, self.raw_chunks = False, texts
            self._send(texts)

    def push(self, text):
        """Sends a change that is part of the state already; the caller holds the lock."""
        self.silent, self.raw_chunks = False, None
        self._send([text])

    def close(self):
        self.stopped.set()
        super().close()


class FakeDiscovery(FakeHttpServer):
    """Discovery: keeps the latest entry of each endpoint and the version that changed it."""

    HEARTBEAT, HEARTBEAT_SECONDS = "\n", 2.0

    def __init__(self, **more):
        # Endpoint id -> (version, entry); the latest version; the version of the last full list.
        self.entries, self.version, self.full_list_version = {}, 0, 0
        super().__init__(**more)

    def initial_message(self, path):
        """Returns a stream's first line: the changes since its version, or the full list."""
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
        """Sends a full list or a change of these entries, and keeps it."""
        with self.lock:
            self.version = version
            if full:
                self.full_list_version, self.entries = version, {}
            self.entries.update((entry["id"], (version, entry)) for entry in entries)
            self.push(self._line(version, full, entries))


class FakePlatform(FakeHttpServer):
    """The release platform: keeps the latest release state, which accepted votes change as well."""

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
        """Sends a release state and keeps it."""
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
