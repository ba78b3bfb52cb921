"""Stand-ins and a rig for the cases 6 to 10 of the review. Standard library only.

One event loop has the clients, the pods, discovery and the platform; the sidecars are processes of
their own, started with the command `run` of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import copy
import ctypes
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from urllib.parse import parse_qsl, urlencode

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS = 1_000_000
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
"""How a case's program ends. run.sh makes 1 of 10 and 2 of all that is neither 0 nor 10, so that an error of
the program isn't taken for a broken rule."""
LAST_SECOND = 115  # when all that was started is killed, whatever holds the case up
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Has the kernel kill this process when the case's program ends, also if that is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def category(name, semantics, promise_ms, give_up_ms, window_ms=5000):
    """Returns a class of requests as the settings name it."""
    return {
        "name": name,
        "semantics": semantics,
        "key_scope": "all",
        "window": window_ms * MS,
        "promise": promise_ms * MS,
        "give_up": give_up_ms * MS,
        "stream": False,
        "worth": 1.0,
        "late_worth": 0.0,
    }


SETTINGS = {
    "balancers": 1,
    "discovery": "automatic",
    "stats": {"names": [], "source": "silent"},
    "categories": [
        category("fetch", "idempotent", 800, 2000),
        category("sync", "idempotent", 2500, 7500),
        category("buy", "deduplicated", 800, 2500),
        category("pay", "at_most_once", 1500, 4000),
    ],
    "permissions": {
        "max_attempts": 4,
        "max_retry_after": 500 * MS,
        "second_copies": False,
        "may_cancel": True,
        "retry_after": True,
        "may_probe": False,
        "connect_timeout": 250 * MS,
        "conn_idle": 15000 * MS,
        "max_open": 20000,
        "max_streams": 32,
    },
    "rules": {
        "answer_slack": 20 * MS,
        "ask_within": 10000 * MS,
        "cold_from": 0.31,
        "cold": 4800 * MS,
        "drain_grace": 250 * MS,
        "fall_multiple": 2.0,
        "overload_for": 1500 * MS,
    },
    "extra": {
        "window": 3000 * MS,
        "allowance": 3.0,
        "guarded_stages": 2,
        "waves": [0.04, 0.1, 0.25, 0.55, 1.0],
        "most_shares": [0.08, 0.2, 0.5, 1.0, 1.0],
        "counts": "all",
        "keys_stay": True,
        "swap": "parallel",
        "decided_by": "by_count",
        "to_advance": 2,
        "votes_to_revert": 1,
        "vote_life": 4000 * MS,
        "vote_wait": 1200 * MS,
        "calls_per_s": 150.0,
        "tally_every": 0,
    },
}
"""The settings of a small deployment, after the users' first brief."""


class Record:
    """What was sent, answered and run, by time; written to record.txt of the case's folder."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.began = time.monotonic()
        self.lines = []

    def add(self, *words):
        self.lines.append(f"{time.monotonic() - self.began:9.4f} " + " ".join(map(str, words)))

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


def reserve_port():
    """Returns a socket that reserves a free loopback port, and the port; it does not listen."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation, reservation.getsockname()[1]


class Server:
    """A server at a reserved port, which can end like a process that dies, and start again."""

    def __init__(self, record):
        self.record = record
        self.reservation, self.port = reserve_port()
        self.address = f"127.0.0.1:{self.port}"
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        self.server = await asyncio.start_server(self._run, sock=listener, backlog=512)

    async def _run(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def die(self):
        """Refuses new connections and resets the open ones, as when the process dies."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def close(self):
        await self.die()
        for task in list(self.tasks):
            task.cancel()
        self.reservation.close()


def reset(writer):
    """Resets a connection."""
    handle = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_command(reader):
    """Returns the words of the next command; None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    if line[:1] != b"*":
        raise ValueError("not a command")
    words = []
    for _ in range(int(line[1:])):
        length = int((await reader.readline())[1:])
        if length > 65536:
            raise ValueError(f"a value of {length} bytes")
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


def command(*words):
    """Returns the bytes of a command."""
    encoded = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(encoded) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in encoded)


class Pod(Server):
    """A pod: answers each command with the request's id after `work` seconds.

    `on_command(pod, words, at)` is called with each command, at the moment of its first byte that
    is known to have come.
    """

    def __init__(self, record, name, build=41, zone="a", work=0.005, on_command=None):
        super().__init__(record)
        self.name, self.build, self.zone, self.work = name, build, zone, work
        self.on_command = on_command
        self.ran = []

    def entry(self, state="Ready", **more):
        """Returns its entry in discovery's list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.zone,
            "kind": "std",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
            "image_id": self.build,
            **more,
        }

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while (words := await read_command(reader)) is not None:
            at = time.monotonic()
            name = words[0].upper()
            if name == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            if name not in (b"SVC.QUERY", b"SVC.SUBMIT") or len(words) < 4:
                writer.write(b"-ERR unknown command\r\n")
                continue
            self.ran.append((at, words))
            if self.on_command:
                self.on_command(self, words, at)
            answer = await self.respond(words)
            if answer is None:
                reset(writer)
                return
            writer.write(answer)

    async def respond(self, words):
        """Returns the bytes of the answer, or None to reset the connection."""
        await asyncio.sleep(self.work)
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(words[2]), words[2])


async def read_http(reader):
    """Returns (method, path, body) of the next HTTP request; None at the end of the stream."""
    first = await reader.readline()
    if not first.strip():
        return None
    length = 0
    while (line := (await reader.readline()).strip()):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    method, path, _ = first.decode().split(" ", 2)
    return method, path, (await reader.readexactly(length)).decode()


def chunk(text):
    data = text.encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n"


class Discovery(Server):
    """Discovery: the whole list, and watches with changes and a line every 2 s."""

    def __init__(self, record, entries, version=41):
        super().__init__(record)
        self.version = version
        self.entries = {entry["id"]: entry for entry in entries}
        self.changes = []  # (version, entry)
        self.watches = set()
        self.crowded = False
        self.on_refused = None

    def document(self):
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def change(self, entry):
        """Changes an entry; open watches are told at once."""
        self.version += 1
        self.changes.append((self.version, entry))
        if entry["state"] == "Gone":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        line = json.dumps({"version": self.version, "full": False, "servers": [entry]}) + "\n"
        for writer in self.watches:
            writer.write(chunk(line))
        return time.monotonic()

    async def serve(self, reader, writer):
        while (request := await read_http(reader)) is not None:
            _, path, _ = request
            if self.crowded:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                if self.on_refused:
                    self.on_refused(self)
                return
            query = dict(parse_qsl(path.partition("?")[2]))
            if "stream" not in query:
                body = json.dumps(self.document()).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
                )
                continue
            index = int(query.get("index", 0))
            writer.write(STREAM_HEAD % b"application/json")
            later = [entry for version, entry in self.changes if version > index]
            first = self.document()
            if self.version - len(self.changes) <= index <= self.version:
                first = {"version": self.version, "full": False, "servers": later}
            writer.write(chunk(json.dumps(first) + "\n"))
            self.record.add("discovery", self.address, "watch from", index, "told", first["version"])
            self.watches.add(writer)
            try:
                while True:
                    await asyncio.sleep(2)
                    writer.write(chunk("\n"))
                    await writer.drain()
            finally:
                self.watches.discard(writer)


class Platform(Server):
    """The release platform: a stream with the newest build's state, and votes."""

    def __init__(self, record, version=41, step=0, status="released", cap=1.0):
        super().__init__(record)
        self.state = (version, step, status, cap)
        self.since = time.monotonic() - 60
        self.streams = set()
        self.votes = 0

    def fields(self):
        version, step, status, cap = self.state
        ago = int((time.monotonic() - self.since) * 1000)
        return {
            "version": version,
            "step": step,
            "status": status,
            "maxWeight": cap,
            "observedAgoMs": ago,
        }

    def event(self):
        return f"event: progress\ndata: {urlencode(self.fields())}\n\n"

    def tell(self, version, step, status, cap):
        """Changes the state; open streams are told at once."""
        self.state = (version, step, status, cap)
        self.since = time.monotonic()
        for writer in self.streams:
            writer.write(chunk(self.event()))
        self.record.add("platform told", *self.state)
        return self.since

    async def serve(self, reader, writer):
        while (request := await read_http(reader)) is not None:
            method, _, body = request
            if method == "GET":
                writer.write(STREAM_HEAD % b"text/event-stream" + chunk(self.event()))
                self.streams.add(writer)
                try:
                    while True:
                        await asyncio.sleep(1)
                        writer.write(chunk(":\n"))
                        await writer.drain()
                finally:
                    self.streams.discard(writer)
            form = dict(parse_qsl(body))
            version, step, _, _ = self.state
            self.votes += 1
            if form.get("version") != str(version) or form.get("step") != str(step):
                status, text = 400, "<Error><Code>conflict</Code></Error>"
            else:
                inner = "".join(f"<{k}>{v}</{k}>" for k, v in self.fields().items())
                status = 200
                text = (
                    '<?xml version="1.0"?>\n<Response><entries><item>'
                    f"{inner}</item></entries></Response>"
                )
            data = text.encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(data), data))


class Sidecar:
    """A sidecar process, started by the deploy file's `run`."""

    def __init__(self, rig, name, discovery, platform, settings, known=None, limits=None):
        self.rig, self.name = rig, name
        self.reservation, self.port = reserve_port()
        # Kept, so that nobody else gets the port while the sidecar doesn't listen on it.
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "seed": f"{0x8C1F30D27A5BE964 + sum(name.encode()):x}",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "deployer": {"address": platform.address, "news": platform.fields()},
            "known": known or discovery.document(),
            "settings": settings,
        }
        self.path = rig.folder / f"{name}.json"
        self.log = rig.folder / f"{name}.log"
        self.process = None

    def start(self):
        self.path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"],
            "NODE_CONFIG": str(self.path),
            "TMPDIR": str(self.rig.folder),
        }
        environment.pop("THYMEKNOT_OPERATOR", None)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    async def ready(self, seconds=30):
        """Waits until it answers PING."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command("PING"))
                answer = await asyncio.wait_for(reader.readline(), 5)
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} was not ready")


class Client:
    """A usual client: holds its connections, and opens more when every one is busy."""

    def __init__(self, rig, sidecar):
        self.rig, self.sidecar = rig, sidecar
        self.idle = []
        self.count = 0
        self.results = []

    async def request(self, lane, submit, deadline_ms, key=None, body=b"BODY", extra=""):
        """Sends a request; returns (id, answer), the answer b"" where the connection ended."""
        self.count += 1
        name = f"{self.sidecar.name}-{id(self) & 0xFFFF:x}-{self.count}"
        fields = f"c={lane},d={deadline_ms}{extra}"
        words = ["SVC.SUBMIT" if submit else "SVC.QUERY", key or f"key-{name}", name, fields]
        if submit:
            words.append(body)
        began = time.monotonic()
        answer = b""
        try:
            answer = await asyncio.wait_for(self._exchange(command(*words)), deadline_ms / 1000 + 5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        self.results.append((began, time.monotonic(), name, lane, answer))
        return name, answer

    async def _exchange(self, data):
        for attempt in (0, 1):
            fresh = attempt or not self.idle  # the second time always on a new connection
            if not fresh:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.sidecar.port)
            writer.write(data)
            try:
                line = await reader.readline()
            except OSError:
                line = b""
            if line or attempt:
                break
            writer.close()  # the sidecar closed the connection: once more on a new one
        if not line:
            writer.close()
            return b""
        if line[:1] == b"$" and line != b"$-1\r\n":
            line += await reader.readexactly(int(line[1:]) + 2)
        self.idle.append((reader, writer))
        return line

    def close(self):
        for _, writer in self.idle:
            writer.close()


class Rig:
    """The folder, the record and all that has to end with the case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.servers, self.sidecars, self.clients, self.tasks = [], [], [], []
        self.helpers = []  # processes with stand-ins

    def settings(self, **changes):
        """Returns the settings with changes, as section__name=value."""
        settings = copy.deepcopy(SETTINGS)
        for path, value in changes.items():
            section, _, name = path.partition("__")
            if name:
                settings[section][name] = value
            else:
                settings[section] = value
        return settings

    def helper(self, program, *arguments):
        """Starts a program with stand-ins; it ends when its input does."""
        errors = open(self.folder / "helpers.log", "ab")
        helper = subprocess.Popen(
            [sys.executable, str(ROOT / "review" / program), *map(str, arguments)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=errors,
            cwd=self.folder,
            preexec_fn=end_with_parent,
        )
        errors.close()
        self.helpers.append(helper)
        return helper

    def kill_all(self):
        """Ends all processes that the case started."""
        for process in [sidecar.process for sidecar in self.sidecars] + self.helpers:
            if process and process.poll() is None:
                process.kill()
                process.wait()

    def record_all(self):
        """Adds what usual clients sent and got, and what the pods of this process ran."""
        began = self.record.began
        lines = [
            f"{sent - began:9.4f} client sent {name} {lane}; {ended - began:.4f} got {answer[:40] or 'no answer'}"
            for client in self.clients
            for sent, ended, name, lane, answer in client.results
        ]
        lines += [
            f"{at - began:9.4f} pod {pod.name} got {words[0].decode()} {words[2].decode()} {words[3].decode()}"
            for pod in self.servers
            if isinstance(pod, Pod)
            for at, words in pod.ran
        ]
        self.record.lines += sorted(lines, key=lambda line: float(line.split()[0]))

    async def serve(self, server):
        await server.start()
        self.servers.append(server)
        return server

    async def sidecar(self, *arguments, **named):
        sidecar = Sidecar(self, *arguments, **named)
        self.sidecars.append(sidecar)
        sidecar.start()
        return sidecar

    def client(self, sidecar):
        client = Client(self, sidecar)
        self.clients.append(client)
        return client

    def task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def close(self):
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=1)
        for client in self.clients:
            client.close()
        self.kill_all()
        for sidecar in self.sidecars:
            sidecar.reservation.close()
        for server in self.servers:
            with contextlib.suppress(Exception):
                await asyncio.wait_for(server.close(), 1)
        self.record_all()
        for sidecar in self.sidecars:
            if sidecar.log.exists():
                lines = sidecar.log.read_text(errors="replace").splitlines()
                self.record.lines += [f"log {sidecar.name}: {line}" for line in lines[-400:]]
        self.record.write()
        self.temporary.cleanup()


def main(folder, play, seconds=100):
    """Plays a case and ends the program with HELD, BROKEN or COULD_NOT_RUN."""
    rigs = []

    def give_up():
        for rig in rigs:
            rig.kill_all()
        os._exit(COULD_NOT_RUN)

    last = threading.Timer(LAST_SECOND, give_up)
    last.daemon = True
    last.start()

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)  # connections end in all ways
        rig = Rig(folder)
        rigs.append(rig)
        playing = loop.create_task(asyncio.wait_for(play(rig), seconds))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, playing.cancel)
        try:
            verdict = await playing
        except (Exception, asyncio.CancelledError) as error:  # the case could not run
            rig.record.add("could not run:", type(error).__name__, error)
            print("could not run:", type(error).__name__, error)
            verdict = COULD_NOT_RUN
        rig.record.add("verdict", {HELD: "held", BROKEN: "broken"}.get(verdict, "could not run"))
        await rig.close()
        sys.stdout.flush()
        os._exit(verdict)  # all that was started has ended; the connections' remains do not matter

    try:
        asyncio.run(run())
    finally:
        give_up()
