"""The state that tests build on, and stand-ins of the systems that the program speaks to."""

import contextlib
import copy
import json
import os
import queue
import re
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from unittest import mock
from urllib.parse import parse_qsl, urlencode

from thymeknot.interface.actions import SendAttempt
from thymeknot.interface.clock import TICKS_PER_SECOND
from thymeknot.interface.enums import (
    DeduplicationScope,
    EndpointCondition,
    Idempotency,
    Outcome,
    PromotionMode,
    ReleasePhase,
    UpdateKind,
)
from thymeknot.interface.events import (
    AttemptEnded,
    Endpoint,
    EndpointUpdate,
    ReleaseUpdate,
    RequestReceived,
)
from thymeknot.interface.settings import RequestClass, Settings
from thymeknot.policy.engine import DecisionEngine

NOW = 1000 * TICKS_PER_SECOND
LANES = {
    "read": RequestClass(
        "read",
        Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL,
        5 * TICKS_PER_SECOND,
        TICKS_PER_SECOND,
        4 * TICKS_PER_SECOND,
        1.0,
        0.0,
    ),
    "mark": RequestClass(
        "mark",
        Idempotency.KEYED,
        DeduplicationScope.ALL,
        2 * TICKS_PER_SECOND,
        TICKS_PER_SECOND,
        4 * TICKS_PER_SECOND,
        5.0,
        0.0,
    ),
    "zoned": RequestClass(
        "zoned",
        Idempotency.KEYED,
        DeduplicationScope.ZONE,
        2 * TICKS_PER_SECOND,
        TICKS_PER_SECOND,
        4 * TICKS_PER_SECOND,
        5.0,
        0.0,
    ),
    "pay": RequestClass(
        "pay",
        Idempotency.NON_IDEMPOTENT,
        DeduplicationScope.ALL,
        5 * TICKS_PER_SECOND,
        TICKS_PER_SECOND,
        4 * TICKS_PER_SECOND,
        5.0,
        0.0,
    ),
}
TERMS = Settings(
    request_classes=LANES,
    instances=2,
    lists_polled=False,
    max_attempts=4,
    max_retry_after=TICKS_PER_SECOND,
    hedging_allowed=True,
    cancellation_allowed=True,
    retry_after_allowed=True,
    load_metrics=(),
    poll_within=10 * TICKS_PER_SECOND,
    warmup_initial_fraction=0.25,
    warmup_duration=4 * TICKS_PER_SECOND,
    overload_factor=2.0,
    overload_window=TICKS_PER_SECOND,
    exposure_window=2 * TICKS_PER_SECOND,
    exposure_allowance=2.0,
    guarded_stages=1,
    stage_fractions=(0.1, 0.5, 0.5, 1.0, 1.0),
    exposure_by_class=False,
    sticky_keys=True,
    replaces_machines=False,
    promotion_mode=PromotionMode.QUORUM,
    votes_to_revert=1,
    vote_lifetime=4 * TICKS_PER_SECOND,
    vote_timeout=TICKS_PER_SECOND,
    votes_per_second=100.0,
)


def pod(address, build=1, started=0, condition=EndpointCondition.READY, zone="a"):
    return Endpoint(address, zone, 1.0, 0, condition, started, "std", build)


def news(stage=1, phase=ReleasePhase.ON_TRIAL, cap=0.5, build=2):
    return ReleaseUpdate(build, stage, phase, False, Outcome.DONE, cap, 0)


def balancer(*pods, told=None, **changes):
    """An instance that knows these pods (two of the earlier build, one of the new) and this news."""
    made = DecisionEngine(TERMS._replace(**changes), 7, NOW - 10 * TICKS_PER_SECOND)
    pods = pods or (pod("old-1"), pod("old-2"), pod("new-1", 2))
    made.handle(
        NOW - 10 * TICKS_PER_SECOND,
        [EndpointUpdate(UpdateKind.CACHED, pods), news(4, ReleasePhase.RELEASED, 1.0, 1)],
    )
    if told:
        made.handle(NOW - 10 * TICKS_PER_SECOND, [told])
    made.context.actions, made.context.now, made.context.first_traffic_at = (
        [],
        NOW,
        NOW - 10 * TICKS_PER_SECOND,
    )
    return made


def pressed(made, times, count=40):
    """Its answers of now took so many times their goal."""
    made.admission.responses.add(made.context.now, count)
    made.admission.times.add(made.context.now, count * times)


def taken(name="t1", lane="read", key=None, left=3 * TICKS_PER_SECOND):
    return RequestReceived(name, lane, None, key, left, None, False, False)


def ended(name="t1", outcome=Outcome.ERROR, address="old-1", number=0, closed=False, latency=100):
    return AttemptEnded(name, outcome, closed, latency, address, number, None)


def kinds(actions):
    return [type(action) for action in actions]


def sent(actions):
    return [action.endpoint for action in actions if isinstance(action, SendAttempt)]


# Stand-ins of the outside systems, on free loopback ports, and the program itself.

PATIENCE = 20  # seconds that a test waits at most; nothing passes by waiting

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


def until(done, act, state=None):
    """Does it again until it is done; never for ever. state() tells how things stood if it did not come about."""
    end = time.monotonic() + PATIENCE
    while not done():
        if time.monotonic() > end:
            stood = f": {state()}" if state else ""
            raise AssertionError(f"it did not come about in {PATIENCE} s{stood}")
        act()


def reserved():
    """(a socket that keeps a free loopback port, the port). Who asks the machine for any port is never given it, and
    who wants this one can listen there, again and again; until somebody does, connections are refused."""
    place = socket.socket()
    place.setsockopt(
        socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
    )  # as the listener does; two that do may share it
    place.bind(("127.0.0.1", 0))
    return place, place.getsockname()[1]


class Peer:
    """A listener on a free loopback port, a thread for each connection; serve(connection, source) is its part."""

    def __init__(self):
        self.place, port = reserved()
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
        with connection, connection.makefile("rb") as source:
            try:
                self.serve(connection, source)
            except OSError:
                pass

    def cut(self):
        """Resets what stands."""
        for connection in self.connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def stop(self):
        """Takes no further connection, and nobody else does at its address."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(
                socket.SHUT_RDWR
            )  # one that is closed alone takes one more: accept() holds it
        self.listener.close()

    def close(self):
        self.stop()
        self.place.close()
        self.cut()


def words_of(source):
    """The next command that comes in, or None."""
    first = source.readline()
    if not first:
        return None
    return [source.read(int(source.readline()[1:]) + 2)[:-2] for _ in range(int(first[1:]))]


class PodPeer(Peer):
    """A pod. answer(words) gives the bytes to write, b"" to say nothing, or None to reset the connection."""

    def __init__(self, answer=None):
        self.heard, self.ended = queue.Queue(), queue.Queue()
        self.answer = answer or (
            lambda words: b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(words[2]), words[2])
        )
        super().__init__()

    def serve(self, connection, source):
        while (words := words_of(source)) is not None:
            self.heard.put(words)
            answer = self.answer(words)
            if answer is None:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return
            connection.sendall(answer)
        self.ended.put(True)

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


class HttpPeer(Peer):
    """What discovery and the platform have in common. Calls go to answer(form). A stream is told at once what it has
    missed, then what is new, and a sign of life as often as PROTOCOL.md has it: what was given to tell is kept, so a
    stream that the sidecar gives up loses nothing. A silent one takes streams and says nothing until it is told to."""

    def __init__(self, answer=None, silent=False):
        self.streams, self.asked, self.calls, self.answer = [], queue.Queue(), queue.Queue(), answer
        self.silent, self.said, self.lock, self.over = (
            silent,
            None,
            threading.Lock(),
            threading.Event(),
        )
        super().__init__()
        threading.Thread(target=self._live, daemon=True).start()

    def serve(self, connection, source):
        while first := source.readline():
            length = 0
            while line := source.readline().strip():
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            if first.startswith(b"GET"):
                return self._stream(connection, source, first.split()[1].decode())
            form = dict(parse_qsl(source.read(length).decode()))
            status, body = (
                self.answer(form)
                if self.answer
                else (400, b"<Error><Code>throttled</Code></Error>")
            )
            if status == 200:
                self.carried_out(body.decode())
            connection.sendall(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
            )
            self.calls.put(form)

    def _stream(self, connection, source, path):
        with self.lock:
            self.streams.append(connection)
            try:
                connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            except OSError:
                pass
            if not self.silent:
                self._tell(self.said or [self.missed(path)], [connection])
        self.asked.put(path)
        try:
            source.read(1)  # it ends, or takes a byte too many: either is its end
        finally:
            with self.lock:
                self.streams.remove(connection)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def _live(self):
        while not self.over.wait(self.EVERY):
            with self.lock:
                if not self.silent:
                    self._tell([self.SIGN])

    def _tell(self, texts, streams=None):
        """Each in a piece of its own. One that has ended is none: who asks instead of it is told what it missed."""
        data = b"".join(
            b"%x\r\n%s\r\n" % (len(text), text) for text in (text.encode() for text in texts)
        )
        for stream in streams or self.streams:
            try:
                stream.sendall(data)
            except OSError:
                pass

    def say(self, *texts):
        """In these pieces and as it is, sound or not: to each stream that stands, and to each that asks, in place of
        what it has missed, until there is something to tell."""
        with self.lock:
            self.silent, self.said = False, texts
            self._tell(texts)

    def told(self, text):
        """Something to tell, which is kept by now; the lock is held."""
        self.silent, self.said = False, None
        self._tell([text])

    def close(self):
        self.over.set()
        super().close()


class DiscoveryPeer(HttpPeer):
    """Keeps the changes and whole lists that it was given, each entry's last under its version."""

    SIGN, EVERY = "\n", 2.0

    def __init__(self, **more):
        self.entries, self.version, self.whole = (
            {},
            0,
            0,
        )  # id -> (version, entry); that of the last whole list
        super().__init__(**more)

    def missed(self, path):
        """The first line: what changed after the version that is asked from, or the whole list."""
        since = int(path.rpartition("index=")[2])
        whole = since < self.whole
        return self._line(
            max(self.version, since),
            whole,
            [
                entry
                for version, entry in self.entries.values()
                if whole and entry["state"] != "Gone" or not whole and version > since
            ],
        )

    @staticmethod
    def _line(version, full, entries):
        return json.dumps({"version": version, "full": full, "servers": entries}) + "\n"

    def push_list(self, version, *entries, full=False):
        with self.lock:
            self.version = version
            if full:
                self.whole, self.entries = version, {}
            self.entries.update((entry["id"], (version, entry)) for entry in entries)
            self.told(self._line(version, full, entries))


class PlatformPeer(HttpPeer):
    """Keeps the state of the newest build, also as a vote that counts changes it."""

    SIGN, EVERY = ":\n", 1.0
    NEWS = {
        "version": 41,
        "step": 1,
        "status": "released",
        "maxWeight": 1.0,
        "observedAgoMs": 60000,
    }

    def __init__(self, answer=None, news=NEWS, **more):
        self._stands(news)
        super().__init__(answer, **more)

    def _stands(self, news):
        self.news, self.since = dict(news), time.monotonic() - float(news["observedAgoMs"]) / 1000

    def missed(self, path):
        self.news["observedAgoMs"] = round(1000 * (time.monotonic() - self.since))
        return f"event: progress\ndata: {urlencode(self.news)}\n\n"

    def carried_out(self, body):
        with self.lock:
            self._stands(dict(re.findall(r"<(\w+)>([^<>]*)</", body)))

    def push_news(self, version=41, step=1, status="released", cap=1.0):
        with self.lock:
            self._stands(
                {
                    "version": version,
                    "step": step,
                    "status": status,
                    "maxWeight": cap,
                    "observedAgoMs": 5,
                }
            )
            self.told(self.missed(None))


def coded(code):
    """Programs that are made meanwhile are started by this code."""
    start = subprocess.Popen
    return mock.patch(
        f"{__name__}.subprocess.Popen", lambda words, **more: start([words[0], "-c", code], **more)
    )


def begun_by(code):
    """They begin with this code, and end with Life's."""
    return coded(f"""import os, signal, sys
from thymeknot.service import lifecycle
{code}
sys.exit(lifecycle.main(os.environ))""")


def patient():
    """Has the program wait for its first list for as long as the test does: what comes before it, comes every time."""
    return begun_by(f"lifecycle.FIRST_LIST = {PATIENCE}")


def stands_still():
    """Has the program stop itself at SIGTERM, its end set, up to SIGCONT: what comes in its last half second, comes
    every time."""
    return begun_by("""stop = lifecycle.Lifecycle._stop
def stands(one):
    first = not one.stopping
    stop(one)
    if first:
        os.kill(os.getpid(), signal.SIGSTOP)
lifecycle.Lifecycle._stop = stands""")


class Program:
    """The program, started on a configuration beside stand-ins of all that it speaks to."""

    def __init__(
        self,
        *entries,
        answer=None,
        news=PlatformPeer.NEWS,
        change=None,
        operator=None,
        silent=False,
    ):
        self.discovery, self.platform = DiscoveryPeer(silent=silent), PlatformPeer(answer, news)
        self.place, self.port = reserved()
        told = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "deployer": {"address": self.platform.address, "news": dict(news)},
            "known": {"version": 7, "full": True, "servers": list(entries)},
            "settings": copy.deepcopy(SETTINGS),
        }
        if change:
            change(told)
        self.folder = tempfile.TemporaryDirectory()
        path = self.path = os.path.join(self.folder.name, "config.json")
        self.told, self.lines, self.readers = told, queue.Queue(), []
        self.write(told)
        words = [sys.executable, "-m", "thymeknot"]
        if operator:  # the text of an operator's file, its folder given
            self.operator = os.path.join(self.folder.name, "operator.cue")
            with open(self.operator, "w", encoding="utf-8") as target:
                target.write(operator(self.folder.name))
            words += ["--operator", self.operator]
        self.process = subprocess.Popen(
            words,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "NODE_CONFIG": path},
        )

    def write(self, told):
        with open(self.path, "w", encoding="utf-8") as target:
            json.dump(told, target)

    def logged(self, event):
        """The next line of this event."""
        until(
            lambda: self.line["event"] == event,
            lambda: setattr(self, "line", json.loads(self.lines.get(timeout=PATIENCE))),
        )
        line, self.line = self.line, {"event": None}
        return line

    def stood_still(self):
        def state():
            with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as source:
                return source.read().rpartition(")")[2].split()[0]

        until(lambda: state() == "T", lambda: time.sleep(0.005))

    def __enter__(self):
        line, self.line = b"", {"event": None}
        while b'"ready"' not in line:
            line = self.process.stdout.readline()
            if not line:
                raise AssertionError(self.process.stderr.read().decode())
        self.read(self.process.stdout)
        self.discovery.asked.get(timeout=PATIENCE)
        self.platform.asked.get(timeout=PATIENCE)
        return self

    def read(self, source):
        """Keeps the lines that are logged there."""
        self.readers.append(
            threading.Thread(target=lambda: [self.lines.put(line) for line in source], daemon=True)
        )
        self.readers[-1].start()

    def __exit__(self, *_):
        self.process.kill()
        for reader in self.readers:
            reader.join()
        self.process.communicate()
        self.discovery.close()
        self.platform.close()
        self.place.close()
        self.folder.cleanup()

    def client(self):
        return Client(self.port)


class Client:
    def __init__(self, port):
        self.connection = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE)
        self.source = self.connection.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.source.close()
        self.connection.close()

    def send(self, *words):
        self.connection.sendall(command(*words))

    def ask(self, *words):
        self.send(*words)
        return self.answer()

    def answer(self):
        line = self.source.readline()
        if line.startswith(b"$"):
            return self.source.read(int(line[1:]) + 2)[:-2]
        return line.strip()


def command(*words):
    words = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(words) + b"".join(
        b"$%d\r\n%s\r\n" % (len(word), word) for word in words
    )
