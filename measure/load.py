"""A steady load on one sidecar over its own protocol: sends at its times whatever the answers do, notes each answer."""

import random
import socket
import threading
import time


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(
        b"$%d\r\n%s\r\n" % (len(word), word) for word in words
    )


class Line:
    """One client connection that carries a transaction at a time."""

    def __init__(self, port):
        self.port = port
        self._connect()

    def _connect(self):
        self.connection = socket.create_connection(("127.0.0.1", self.port), timeout=10)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.source = self.connection.makefile("rb")

    def ask(self, *words):
        """ "done", "deferred" or "abandoned"; "lost" where there is no answer. Between transactions a sidecar may close
        a connection: then it is sent once more on a new one, as the protocol has it."""
        line = b""
        for _ in range(2):
            try:
                self.connection.sendall(command(*words))
                line = self.source.readline()
                if line.startswith(b"$"):
                    self.source.read(int(line[1:]) + 2)
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


def drive(port, rate, seconds, seed, lane="read", lines=16, left=2000):
    """[(second of the sending, seconds it took, how it ended, its id)] of transactions at this rate, in whole over
    so many connections. Bounded by its time."""
    chance, results, lock = random.Random(seed), [], threading.Lock()
    due, begin = [], time.monotonic() + 0.05
    at = 0.0
    while at < seconds:
        due.append((at, f"{chance.getrandbits(64):016x}", f"{chance.getrandbits(32):08x}"))
        at += chance.expovariate(rate)
    due.reverse()
    word = b"SVC.QUERY" if lane == "read" else b"SVC.SUBMIT"

    def work():
        line = Line(port)
        while True:
            with lock:
                if not due:
                    return
                at, name, key = due.pop()
            time.sleep(max(0.0, begin + at - time.monotonic()))
            sent = time.monotonic()
            words = (
                word,
                key.encode(),
                name.encode(),
                f"c={lane},t=t{int(key[0], 16) % 4},d={left}".encode(),
            )
            how = line.ask(*(words if lane == "read" else (*words, b"BODY")))
            results.append((at, time.monotonic() - sent, how, name))

    threads = [threading.Thread(target=work, daemon=True) for _ in range(lines)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(seconds + 30)
    return results


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * share))] if values else 0.0
