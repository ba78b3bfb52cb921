"""Stand-ins of clients, pods, discovery and the release platform, and a runner of sidecars.

One asyncio process plays all parts on loopback addresses and the real clock. It records what was
sent, answered and run. The sidecars are processes of their own, started by the deploy file's
command.
"""

import asyncio
import contextlib
import copy
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qsl, urlencode

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MS = 1_000_000  # nanoseconds
clock = time.monotonic


def free_port(host="127.0.0.1"):
    """Returns a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def command(*words):
    """Returns a RESP2 command."""
    words = [word if isinstance(word, bytes) else str(word).encode() for word in words]
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


def served(value, report=None):
    """Returns a pod's answer that serves a request: the value, null, the load report or null."""
    text = b"$-1\r\n" if report is None else b"$%d\r\n%s\r\n" % (len(report), report)
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n%s" % (len(value), value, text)


class Record:
    """The record of a run: lines with the time since its start."""

    def __init__(self, path):
        self.path, self.started, self.lines = path, clock(), []

    def now(self):
        return clock() - self.started

    def add(self, text):
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self, *last):
        with open(self.path, "w", encoding="utf-8") as target:
            target.write("\n".join([*self.lines, *last]) + "\n")


class Attempt:
    """One command that came to a pod. It counts once its last byte has come."""

    def __init__(self, pod, connection, words, first_byte_at, at):
        self.pod, self.connection, self.first_byte_at, self.at = pod, connection, first_byte_at, at
        self.verb, self.key, self.id = (word.decode() for word in words[:3])
        pairs = dict(p.partition("=")[::2] for p in words[3].decode().split(","))
        self.cls, self.left, self.mark = pairs.get("c"), int(pairs["d"]) / 1000, pairs.get("k")
        self.body, self.build, self.outcome, self.answered_at = words[4:], pod.build, "out", None
        self.given_up_at = None  # when the sidecar ended its sending or the connection broke


class Pod:
    """A pod. `behave(attempt)` returns (delay, what): see `_act`.

    What is one of `good`, `error`, `busy`, `silent` (it never answers), `lost` (it answers well, and
    the network loses the answer), `reset`, or bytes that are written as they are.
    """

    def __init__(self, name, record, build=41, zone="a", cell=0, host="127.0.0.1", behave=None):
        self.name, self.record, self.build, self.zone, self.cell = name, record, build, zone, cell
        self.host, self.port, self.server = host, 0, None
        self.state, self.started_ms, self.behave = "Ready", 0, behave or (lambda _: (0.01, "good"))
        self.attempts, self.connections = [], set()
        self.paused = asyncio.Event()
        self.paused.set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            reset(writer)

    def entry(self):
        return {
            "id": self.name, "addr": f"{self.host}:{self.port}", "zone": self.zone, "kind": "m2",
            "cell": self.cell, "state": self.state, "weight": 1.0, "started_ms": self.started_ms,
            "image_id": self.build,
        }  # fmt: skip

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        buffer, first, tasks, mine = bytearray(), None, set(), []
        try:
            while data := await reader.read(65536):
                now = clock()
                await self.paused.wait()
                first = now if first is None else first
                buffer += data
                while (found := self._parse(buffer)) is not None:
                    words, size = found
                    del buffer[:size]
                    if words[0].upper() == b"PING":
                        writer.write(b"+PONG\r\n")
                        continue
                    attempt = Attempt(self, writer, words, first, now)
                    self.attempts.append(attempt)
                    mine.append(attempt)
                    self.record.add(
                        f"pod {self.name} build {self.build} got {attempt.verb} {attempt.id} "
                        f"key={attempt.key} c={attempt.cls} d={attempt.left:.3f}"
                    )
                    task = asyncio.create_task(self._act(attempt, writer))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                    first = now
                first = first if buffer else None
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            for attempt in mine:
                attempt.given_up_at = clock()
            with contextlib.suppress(Exception, asyncio.CancelledError):
                # Ends of sending are not ends of reading: what is due may still be written.
                if tasks:
                    await asyncio.wait(tasks, timeout=30)
                writer.close()

    @staticmethod
    def _parse(buffer):
        end = buffer.find(b"\r\n")
        if end < 0:
            return None
        words, at = [], end + 2
        for _ in range(int(buffer[1:end])):
            end = buffer.find(b"\r\n", at)
            if end < 0:
                return None
            size = int(buffer[at + 1 : end])
            at = end + 2 + size + 2
            if len(buffer) < at:
                return None
            words.append(bytes(buffer[end + 2 : end + 2 + size]))
        return words, at

    async def _act(self, attempt, writer):
        delay, what = self.behave(attempt)
        if what == "silent":
            attempt.outcome = "silent"
            return
        if delay:
            await asyncio.sleep(delay)
        await self.paused.wait()
        if writer.is_closing() and what != "reset":
            attempt.outcome = "connection gone"
            return
        attempt.answered_at = clock()
        attempt.outcome = what if isinstance(what, str) else "raw"
        content = {
            "good": served(f"{attempt.id}@{self.name}".encode()),
            "error": b"-ERR failed\r\n",
            "busy": b"-BUSY\r\n",
        }.get(what, what)
        self.record.add(f"pod {self.name} answers {attempt.id}: {attempt.outcome}")
        if what == "lost":
            return
        if what == "reset":
            reset(writer)
            return
        with contextlib.suppress(Exception):
            writer.write(content)


class HttpServer:
    """Common parts of discovery and the platform. `mode`: `up`, `silent`, `refuse` or `cut`.

    While it is silent, nothing is written. With `refuse` a call gets a 503, with `cut` its
    connection is closed unanswered.
    """

    heartbeat_every, heartbeat = 1.0, ":\n"

    def __init__(self, name, record, host="127.0.0.1"):
        self.name, self.record, self.host, self.port = name, record, host, 0
        self.server, self.mode, self.streams, self.calls, self.tasks = None, "up", {}, [], set()
        self.on_call, self.without_head = None, set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks.add(asyncio.create_task(self._beat()))

    def stop_listening(self):
        if self.server:
            self.server.close()
            self.server = None

    def drop_streams(self):
        for writer in list(self.streams):
            reset(writer)
        self.streams.clear()

    def close(self):
        self.stop_listening()
        for task in self.tasks:
            task.cancel()
        self.drop_streams()

    async def _beat(self):
        while True:
            await asyncio.sleep(self.heartbeat_every)
            if self.mode != "silent":
                for writer in list(self.streams):
                    self.update(writer)
                    self.chunk(writer, self.heartbeat)

    def update_all(self):
        if self.mode != "silent":
            for writer in list(self.streams):
                self.update(writer)

    def chunk(self, writer, text):
        data = text.encode()
        with contextlib.suppress(Exception):
            if writer in self.without_head:
                self.without_head.discard(writer)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                )
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                method, path, _ = head.split(b"\r\n")[0].decode().split(" ", 2)
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = await reader.readexactly(length) if length else b""
                self.calls.append((clock(), method, path, self.mode))
                self.record.add(f"{self.name} got {method} {path} {body.decode()} ({self.mode})")
                if self.on_call:
                    self.on_call(method, path)
                if self.mode == "refuse":
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    return
                if self.mode == "cut":
                    return
                if "stream" in path:
                    self.without_head.add(writer)
                    self.streams[writer] = self.begin(path)
                    if self.mode != "silent":
                        self.update(writer)
                    while await reader.read(1):
                        pass
                    return
                await self.answer(method, path, body, writer)
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.streams.pop(writer, None)
            self.without_head.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


class Discovery(HttpServer):
    """Discovery as one sidecar sees it. `written` has (time, id, state, build, started_ms)."""

    heartbeat_every, heartbeat = 2.0, "\n"

    def __init__(self, name, record, pods, version=7):
        super().__init__(name, record)
        self.pods, self.version, self.changes, self.written = pods, version, [], []

    def change(self, pod, state=None):
        """Tells a change of a pod: to the streams at once, and to later calls."""
        if state:
            pod.state = state
        self.version += 1
        self.changes.append((self.version, pod.entry()))
        self.record.add(f"{self.name} has version {self.version}: {pod.name} {pod.state}")
        self.update_all()

    def full(self):
        return {
            "version": self.version, "full": True,
            "servers": [pod.entry() for pod in self.pods if pod.state != "Gone"],
        }  # fmt: skip

    def begin(self, path):
        known = int(dict(parse_qsl(path.partition("?")[2])).get("index", 0))
        return (known, True)

    def update(self, writer):
        known, is_first = self.streams[writer]
        if known >= self.version and known and not is_first:
            return
        if known:
            entries = list({e["id"]: e for v, e in self.changes if v > known}.values())
            message = {"version": self.version, "full": False, "servers": entries}
        else:
            message = self.full()
        self.streams[writer] = (self.version, False)
        self.chunk(writer, json.dumps(message) + "\n")
        now = clock()
        for entry in message["servers"]:
            self.written.append(
                (now, entry["id"], entry["state"], entry["image_id"], entry["started_ms"])
            )
        self.record.add(
            f"{self.name} wrote version {self.version}: "
            + ", ".join(f"{e['id']} {e['state']} build {e['image_id']}" for e in message["servers"])
        )

    async def answer(self, _method, _path, _body, writer):
        text = json.dumps(self.full()).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))


class Platform(HttpServer):
    """The release platform as one sidecar sees it. `told` has (time, status, cap, step, build)."""

    def __init__(self, name, record, state):
        super().__init__(name, record)
        self.state, self.since, self.number, self.votes, self.told = state, clock(), 1, [], []
        self.votes_count = False

    def now_state(self):
        return {**self.state, "observedAgoMs": round(1000 * (clock() - self.since))}

    def set(self, **state):
        self.state = {**self.state, **state}
        self.since, self.number = clock(), self.number + 1
        self.update_all()

    def begin(self, _path):
        return 0

    def _tell(self):
        state = self.state
        self.told.append(
            (clock(), state["status"], state["maxWeight"], state["step"], state["version"])
        )
        self.record.add(f"{self.name} tells {state}")

    def update(self, writer):
        if self.streams[writer] != self.number:
            self.streams[writer] = self.number
            self.chunk(writer, f"event: progress\ndata: {urlencode(self.now_state())}\n\n")
            self._tell()

    async def answer(self, _method, _path, body, writer):
        self.votes.append((clock(), dict(parse_qsl(body.decode()))))
        if self.votes_count:
            item = "".join(f"<{k}>{v}</{k}>" for k, v in self.now_state().items())
            text = (
                '<?xml version="1.0"?>\n<Response><entries><item>'
                f"{item}</item></entries></Response>"
            )
            status = "200 OK"
            self._tell()
        else:
            text, status = "<Error><Code>throttled</Code></Error>", "400 Bad Request"
        writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode())


def settings(**changes):
    """Returns the settings of a small deployment: the figures of `deck-exchange-hn`."""
    told = {
        "balancers": 3, "discovery": "automatic", "zone": "a", "zones": ["a"],
        "stats": {"names": [], "source": "silent"},
        "categories": [
            category("fetch-deck", "idempotent", 800, 2000, 1.0, 0.0),
            category("sync-progress", "idempotent", 2500, 7500, 1.0, 0.2),
            category("buy-licence", "deduplicated", 800, 2500, 5.0, 0.0),
            category("pay-royalty", "at_most_once", 1500, 4000, 5.0, 0.0),
        ],
        "permissions": {
            "max_attempts": 4, "max_retry_after": 500 * MS, "second_copies": False,
            "may_cancel": True, "may_probe": True, "retry_after": True,
            "connect_timeout": 250 * MS, "conn_idle": 15000 * MS, "max_open": 20000,
            "max_streams": 32, "peers": False,
        },
        "rules": {
            "answer_slack": 20 * MS, "ask_within": 10000 * MS, "cold_from": 0.31,
            "cold": 4800 * MS, "drain_grace": 250 * MS, "fall_multiple": 2.0,
            "overload_for": 1500 * MS,
        },
        "extra": {
            "window": 3000 * MS, "allowance": 3.0, "guarded_stages": 2, "counts": "all",
            "waves": [0.04, 0.1, 0.25, 0.55, 1.0], "most_shares": [0.08, 0.2, 0.5, 1.0, 1.0],
            "keys_stay": True, "swap": "parallel", "decided_by": "by_count", "to_advance": 2,
            "votes_to_revert": 1, "vote_life": 4000 * MS, "vote_wait": 1200 * MS,
            "calls_per_s": 150.0, "least_stage": 1000 * MS, "repeat_every": 6000 * MS,
            "tally_every": 2000 * MS, "sample": 0.1,
        },
    }  # fmt: skip
    for path, value in changes.items():
        place, *names = [told, *path.split("__")]
        for name in names[:-1]:
            place = place[name]
        place[names[-1]] = value
    return told


def category(name, semantics, aim_ms, deadline_ms, worth, late, scope="all", window_ms=5000):
    return {
        "name": name, "semantics": semantics, "key_scope": scope, "window": window_ms * MS,
        "promise": aim_ms * MS, "give_up": deadline_ms * MS, "worth": worth, "late_worth": late,
        "stream": False,
    }  # fmt: skip


RELEASED = {"version": 41, "step": 4, "status": "released", "maxWeight": 1.0}
TRIAL = {"version": 42, "step": 2, "status": "trial", "maxWeight": 0.5}


class Sidecar:
    """One sidecar: its configuration and its processes."""

    def __init__(self, name, record, discovery, platform, told, limits=None, operator=None):
        self.name, self.record, self.discovery, self.platform = name, record, discovery, platform
        self.told, self.limits, self.operator = told, limits or {}, operator
        self.host, self.port = "127.0.0.1", free_port()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.path = os.path.join(self.folder, "config.json")
        self.process, self.ready, self.log, self.reader = None, asyncio.Event(), [], None
        self.seed = f"{random.randrange(1 << 64):016x}"
        self.known = None
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as source:
            self.run = tomllib.load(source)["run"]

    def write_config(self):
        config = {
            "name": self.name, "listen": f"{self.host}:{self.port}",
            "discovery": self.discovery.address, "seed": self.seed,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **self.limits},
            "deployer": {"address": self.platform.address, "news": self.platform.now_state()},
            "known": self.known or self.discovery.full(), "settings": copy.deepcopy(self.told),
        }  # fmt: skip
        with open(self.path + ".new", "w", encoding="utf-8") as target:
            json.dump(config, target)
        os.replace(self.path + ".new", self.path)

    async def start(self, wait=True):
        self.write_config()
        self.ready = asyncio.Event()
        scratch = os.path.join(self.folder, "tmp")
        shutil.rmtree(scratch, ignore_errors=True)
        os.mkdir(scratch)
        environment = {
            **os.environ, "NODE_NAME": self.name, "NODE_LISTEN": f"{self.host}:{self.port}",
            "NODE_DISCOVERY": self.discovery.address, "NODE_CONFIG": self.path, "TMPDIR": scratch,
        }  # fmt: skip
        if self.operator:
            environment["THYMEKNOT_OPERATOR"] = self.operator
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        self.record.add(f"{self.name} starts, seed {self.seed}")
        self.reader = asyncio.create_task(self._read(self.process))
        if wait:
            await asyncio.wait_for(self.ready.wait(), 30)

    async def _read(self, process):
        async for line in process.stdout:
            text = line.decode(errors="replace").strip()
            self.log.append((clock(), text))
            self.record.add(f"{self.name} logs {text[:400]}")
            if '"event":"ready"' in text:
                self.ready.set()

    def send(self, number):
        self.record.add(f"{self.name} gets {signal.Signals(number).name}")
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    async def end(self):
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        if self.reader:
            with contextlib.suppress(Exception):
                await asyncio.wait_for(self.reader, 5)
        shutil.rmtree(self.folder, ignore_errors=True)


class Request:
    """One request of a client."""

    def __init__(self, identity, cls, key, patience, sidecar, mark=None):
        self.id, self.cls, self.key, self.patience = identity, cls, key, patience
        self.sidecar, self.mark = sidecar, mark
        self.sent_at = self.answered_at = self.answer = self.left_at = self.ended = None

    def kind(self):
        answer = self.answer
        if answer is None:
            return "none"
        if answer.startswith(b"$"):
            return "served"
        return "refused" if answer.startswith(b"-BUSY") else "failed"


class Client:
    """A client's connection; one request at a time, by `ask`."""

    def __init__(self, sidecar, record):
        self.sidecar, self.record, self.reader, self.writer = sidecar, record, None, None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.sidecar.host, self.sidecar.port
        )

    def send(self, request):
        words = f"c={request.cls},d={round(request.patience * 1000)}"
        if request.mark:
            words += f",k={request.mark}"
        safe = not request.mark and request.cls in ("fetch-deck", "sync-progress")
        request.sent_at = clock()
        self.record.add(
            f"client sends {request.id} key={request.key} {words} to {self.sidecar.name}"
        )
        if safe:
            self.writer.write(command("SVC.QUERY", request.key, request.id, words))
        else:
            self.writer.write(command("SVC.SUBMIT", request.key, request.id, words, "BODY"))

    async def read(self, request, limit=None):
        limit = request.patience + 1.0 if limit is None else limit
        try:
            request.answer = await asyncio.wait_for(read_answer(self.reader), limit)
            request.answered_at = clock()
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            request.ended = type(error).__name__
        except asyncio.TimeoutError:
            request.ended = "no answer"
        self.record.add(f"client has for {request.id}: {request.answer!r:.80} {request.ended or ''}")

    async def ask(self, request):
        if self.writer is None or self.writer.is_closing():
            await self.connect()
        self.send(request)
        await self.read(request)
        if request.answer is None:
            self.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def read_answer(reader):
    """Returns one whole answer."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and line != b"$-1\r\n":
        return line + await reader.readexactly(int(line[1:]) + 2)
    if line[:1] == b"*":
        parts = [line]
        for _ in range(int(line[1:])):
            parts.append(await read_answer(reader))
        return b"".join(parts)
    return line


@contextlib.asynccontextmanager
async def deployment(record, pods, told, count, state=None):
    """Opens pods, and for each of `count` sidecars a discovery, a platform and its process."""
    cars = []
    try:
        for pod in pods:
            await pod.open()
        for number in range(count):
            discovery = Discovery(f"discovery{number}", record, pods)
            platform = Platform(f"platform{number}", record, dict(state or RELEASED))
            await discovery.open()
            await platform.open()
            cars.append(Sidecar(f"n{number}", record, discovery, platform, told))
        await asyncio.gather(*(car.start() for car in cars))
        yield cars
    finally:
        await asyncio.gather(*(car.end() for car in cars))
        for server in [s for car in cars for s in (car.discovery, car.platform)] + pods:
            server.close()


class Traffic:
    """Clients that send one request after another, each on a connection of its own.

    `classes` has (name, patience in seconds, whether it has a mark) of each class to draw from.
    """

    def __init__(self, record, cars, each, pause, classes, seed=1):
        self.record, self.requests, self.stopped = record, [], False
        self.pause, self.classes = pause, classes
        self.tasks = [
            asyncio.create_task(self._run(car, number, random.Random(f"{seed} {car.name} {number}")))
            for car in cars
            for number in range(each)
        ]

    async def _run(self, car, number, rng):
        client, count = Client(car, self.record), 0
        await asyncio.sleep(rng.uniform(0, self.pause))
        while not self.stopped:
            count += 1
            name, patience, marked = rng.choice(self.classes)
            identity = f"{car.name}-{number}-{count}"
            mark = f"m-{identity}" if marked else None
            request = Request(identity, name, f"key{rng.randrange(500)}", patience, car, mark)
            self.requests.append(request)
            try:
                await client.ask(request)
            except OSError as error:
                request.ended = type(error).__name__
                client.close()
            await asyncio.sleep(rng.uniform(0.5, 1.5) * self.pause)
        client.close()

    async def stop(self):
        self.stopped = True
        await asyncio.gather(*self.tasks)


def main(play, folder):
    """Runs `play(record, trouble)`; it returns the breaches found, or None if it could not run.

    The exit status is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.add(f"trouble: {'on' if trouble else 'off'}")
    try:
        breaches = asyncio.run(asyncio.wait_for(play(record, trouble), 110))
    except Exception as error:  # the case could not run
        record.write(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    if breaches is None:
        record.write("could not run")
        return 2
    record.write(f"breaches: {len(breaches)}", *breaches)
    print(f"breaches: {len(breaches)}", *breaches[:8], sep="\n")
    return 1 if breaches else 0
