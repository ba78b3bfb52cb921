"""A steady load on one sidecar over its own protocol.

Requests become due at scheduled times, whatever the responses are; each outcome is recorded.
"""

import random
import socket
import threading
import time


def encode_command(*arguments):
    """Encodes a command as an array of bulk strings."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments
    )


class ClientConnection:
    """A client connection that carries one request at a time."""

    def __init__(self, port):
        self.port = port
        self._connect()

    def _connect(self):
        self.connection = socket.create_connection(("127.0.0.1", self.port), timeout=10)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.connection.makefile("rb")

    def request(self, *arguments):
        """Sends a request and waits for its response.

        Between requests, the sidecar may close the connection. The request is then sent once more
        on a new connection, as the protocol specifies.

        Returns:
            The outcome: "done", "deferred", "abandoned", or "lost" without a complete response.
        """
        line = b""
        for _ in range(2):
            try:
                self.connection.sendall(encode_command(*arguments))
                line = self.reader.readline()
                if line.startswith(b"$"):
                    self.reader.read(int(line[1:]) + 2)
                    return "done"
            except OSError:
                pass
            if line:
                break
            self._connect()
        return (
            "lost"
            if not line.endswith(b"\r\n")
            else "deferred"
            if line.startswith(b"-BUSY")
            else "abandoned"
        )


def drive(port, rate, seconds, seed, request_class="read", connections=16, timeout_ms=2000):
    """Sends requests to a sidecar at a given rate and returns their outcomes.

    The times between requests are exponentially distributed. A request that is due while all
    connections are busy is sent late. The run ends in bounded time, even without responses.

    Args:
        port: Port of the sidecar on loopback.
        rate: Requests per second, in total over all connections.
        seconds: Duration of the load in seconds.
        seed: Seed of the times, ids and keys of the requests.
        request_class: Request class; all but "read" send SVC.SUBMIT instead of SVC.QUERY.
        connections: Number of connections.
        timeout_ms: Timeout that each request states, in milliseconds.

    Returns:
        A list of (when the request was due, in seconds since the start; seconds from when it was
        sent to its outcome; outcome; request id).
    """
    random_source, results, lock = random.Random(seed), [], threading.Lock()
    schedule, started_at = [], time.monotonic() + 0.05
    due_at = 0.0
    while due_at < seconds:
        schedule.append(
            (
                due_at,
                f"{random_source.getrandbits(64):016x}",
                f"{random_source.getrandbits(32):08x}",
            )
        )
        due_at += random_source.expovariate(rate)
    schedule.reverse()
    command = b"SVC.QUERY" if request_class == "read" else b"SVC.SUBMIT"

    def send_requests():
        client = ClientConnection(port)
        while True:
            with lock:
                if not schedule:
                    return
                due_at, request_id, key = schedule.pop()
            time.sleep(max(0.0, started_at + due_at - time.monotonic()))
            sent_at = time.monotonic()
            arguments = (
                command,
                key.encode(),
                request_id.encode(),
                f"c={request_class},t=t{int(key[0], 16) % 4},d={timeout_ms}".encode(),
            )
            outcome = client.request(
                *(arguments if request_class == "read" else (*arguments, b"BODY"))
            )
            results.append((due_at, time.monotonic() - sent_at, outcome, request_id))

    threads = [threading.Thread(target=send_requests, daemon=True) for _ in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(seconds + 30)
    return results


def quantile(values, fraction):
    """Returns the quantile of unsorted values at a fraction from 0 to 1, 0.0 without values."""
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * fraction))] if values else 0.0
