"""One trial: a process, a crowd, a few usual clients, and a monitor of the process's memory."""

import asyncio
import contextlib
import copy
import json
import os
import re
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field

from tests.support.peers import SETTINGS, FakeDiscovery, FakePlatform, reserve_port
from tests.support.programs import encode_command

DEPLOY_FILE = os.path.join(os.path.dirname(__file__), "..", "..", "deploy", "balancer.toml")
ENDPOINT_COUNT = 8
MIN_WORDS = 4  # of a command without a body
USUAL_CLIENT_COUNT = 3
USUAL_PAUSE_SECONDS = 0.07
USUAL_TIMEOUT_MS = 1_000
# An answer is lost once it is half a second late.
LATEST_RESPONSE_SECONDS = USUAL_TIMEOUT_MS / 1000 + 0.5
SAMPLE_INTERVAL_SECONDS = 0.01
START_TIMEOUT_SECONDS = 30
SETTLING_SECONDS = 0.5


@dataclass(frozen=True)
class TrialPlan:
    """A crowd and the limits of the process that it meets.

    Attributes:
        kind: A key of behaviours.KINDS, "mixed", or None for no crowd.
        count: Clients of the crowd.
        seconds: How long they play.
        memory_mb: The process's `limits.memory_mb`.
        sockets: Its `limits.sockets`.
        kills: Seconds after the crowd's start at which the process is killed and started again.
        work_seconds: How long each endpoint works on a request, one after another; 0 for at once.
        reconnects: Whether usual clients open a connection for each request.
        quiet_seconds: How long the process is watched after the crowd has left.
    """

    kind: str | None
    count: int = 400
    seconds: float = 8.0
    memory_mb: int = 32
    sockets: int = 1024
    seed: int = 1
    kills: tuple[float, ...] = ()
    quiet_seconds: float = 0.0
    work_seconds: float = 0.0
    reconnects: bool = False


@dataclass
class TrialResult:
    """What a trial showed; memory in MB (2**20 bytes)."""

    plan: TrialPlan
    rest: dict = field(default_factory=dict)
    peak: dict = field(default_factory=lambda: {"anonymous": 0.0, "resident": 0.0})
    after: dict = field(default_factory=dict)
    sent: int = 0
    served: int = 0
    busy: int = 0
    unanswered: int = 0
    late: int = 0
    worst_seconds: float = 0.0
    crowd: dict = field(default_factory=dict)
    exits: list = field(default_factory=list)
    faults: list = field(default_factory=list)
    log: list = field(default_factory=list)

    def row(self):
        """Returns a row of a table."""
        plan = self.plan
        crowd = self.crowd
        return (
            f"| {plan.kind or 'none'} x{plan.count if plan.kind else 0} | {plan.memory_mb} | "
            f"{plan.sockets} | {self.rest['anonymous']:.1f} / {self.rest['resident']:.1f} | "
            f"{self.peak['anonymous']:.1f} / {self.peak['resident']:.1f} | "
            f"{self.after.get('anonymous', 0):.1f} / {self.after.get('resident', 0):.1f} | "
            f"{self.served} of {self.sent}, {self.busy} busy, {self.unanswered} unanswered | "
            f"{self.worst_seconds:.2f} | {crowd.get('late', 0)} of {crowd.get('ended', 0)}, "
            f"{crowd.get('worst_seconds', 0):.2f} s |"
        )


HEADER = (
    "| crowd | MB | sockets | rest anon / resident | peak | after | usual clients | worst wait s | "
    "crowd late |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def memory_of(pid):
    """Returns the anonymous and resident memory of a process in MB; None if it has ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as source:
            text = source.read()
    except OSError:
        return None
    values = dict(re.findall(r"^(RssAnon|VmRSS):\s+(\d+) kB", text, re.M))
    if len(values) < 2:
        return None
    return {"anonymous": int(values["RssAnon"]) / 1024, "resident": int(values["VmRSS"]) / 1024}


def deployed_arguments():
    """Returns the arguments with which the deploy file has the interpreter run the program."""
    with open(DEPLOY_FILE, "rb") as source:
        run = tomllib.load(source)["run"]
    command, interpreter, *arguments = shlex.split(run)
    assert (command, interpreter) == ("exec", ".venv/bin/python"), run
    return arguments


class Endpoint:
    """Answers each command with its body, or its id, after the work on those before it and on it."""

    def __init__(self, work_seconds):
        self.work_seconds, self.worker = work_seconds, asyncio.Lock()

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = []
                for _ in range(int(line[1:])):
                    length = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(length + 2))[:-2])
                if self.work_seconds:
                    async with self.worker:
                        await asyncio.sleep(self.work_seconds)
                value = words[-1] if len(words) > MIN_WORDS else words[2]
                writer.write(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value))
        writer.close()


class Trial:
    """Plays one plan.

    Args:
        shim: Returns Python code to run in place of the program, given the endpoints' ports.
    """

    def __init__(self, plan, shim=None):
        self.shim, self.arguments = shim, deployed_arguments()
        self.plan, self.result = plan, TrialResult(plan)
        self.discovery, self.platform = FakeDiscovery(), FakePlatform()
        self.reservation, self.port = reserve_port()
        self.folder = tempfile.TemporaryDirectory()
        self.process = None
        self.serving = asyncio.Event()
        self.log_tasks = []
        self.killing = self.stopped = False

    async def run(self):
        """Plays the plan and returns its result."""
        endpoints = [
            await asyncio.start_server(
                Endpoint(self.plan.work_seconds).serve, "127.0.0.1", 0, limit=1 << 18
            )
            for _ in range(ENDPOINT_COUNT)
        ]
        ports = [server.sockets[0].getsockname()[1] for server in endpoints]
        if self.shim is not None:
            self.arguments = ["-c", self.shim(ports)]
        self._write_configuration(ports)
        try:
            await self._start()
            await asyncio.sleep(SETTLING_SECONDS)
            self.result.rest = memory_of(self.process.pid)
            await self._play()
        finally:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            await asyncio.gather(*self.log_tasks)
            for server in endpoints:
                server.close()
            self.discovery.close()
            self.platform.close()
            self.reservation.close()
            self.folder.cleanup()
        return self.result

    def _write_configuration(self, ports):
        servers = [
            {
                "id": f"s-{number}",
                "addr": f"127.0.0.1:{port}",
                "zone": "a",
                "kind": "m",
                "cell": 0,
                "state": "Ready",
                "weight": 1.0,
                "started_ms": 0,
                "image_id": 41,
            }
            for number, port in enumerate(ports)
        ]
        configuration = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.plan.memory_mb,
                "sockets": self.plan.sockets,
            },
            "deployer": {
                "address": self.platform.address,
                "news": dict(FakePlatform.RELEASE_STATE),
            },
            "known": {"version": 7, "full": True, "servers": servers},
            "settings": copy.deepcopy(SETTINGS),
        }
        self.path = os.path.join(self.folder.name, "config.json")
        with open(self.path, "w", encoding="utf-8") as target:
            json.dump(configuration, target)

    async def _start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "NODE_CONFIG": self.path},
        )
        self.log_tasks.append(asyncio.create_task(self._read_log(self.process)))
        await asyncio.wait_for(self.serving.wait(), START_TIMEOUT_SECONDS)

    async def _read_log(self, process):
        async for line in process.stdout:
            if b'"event":"ready"' in line:
                self.serving.set()
            if b'"event":"fault"' in line or b"Traceback" in line:
                self.result.faults.append(line.decode(errors="replace").strip())
            self.result.log.append(line.decode(errors="replace").strip())
        self.serving.clear()
        status = await process.wait()
        if not self.killing and status != -signal.SIGKILL:
            self.result.exits.append(status)

    async def _play(self):
        plan = self.plan
        usual = [asyncio.create_task(self._usual_client(at)) for at in range(USUAL_CLIENT_COUNT)]
        monitor = asyncio.create_task(self._monitor())
        kills = asyncio.create_task(self._kill_in_series())
        if plan.kind:
            self.result.crowd = await self._run_crowd()
        else:
            await asyncio.sleep(plan.seconds)
        await kills
        await asyncio.sleep(plan.quiet_seconds)
        self.stopped = True
        await asyncio.gather(*usual)
        monitor.cancel()
        self.result.after = memory_of(self.process.pid) or {}

    async def _run_crowd(self):
        plan = self.plan
        crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.crowd.behaviours",
            plan.kind,
            str(self.port),
            str(plan.count),
            str(plan.seconds),
            str(plan.seed),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await crowd.communicate()
        return json.loads(output)

    async def _monitor(self):
        peak = self.result.peak
        while True:
            for name, value in (memory_of(self.process.pid) or {}).items():
                peak[name] = max(peak[name], value)
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)

    async def _kill_in_series(self):
        started = time.monotonic()
        for at in self.plan.kills:
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            self.killing = True
            self.process.kill()
            await self.process.wait()
            await self.log_tasks[-1]
            self.killing = False
            await self._start()

    async def _usual_client(self, number):
        """Sends one small request after another until the trial ends.

        A request whose connection ends before its answer is sent once more on a new one.
        """
        connection, count = None, 0
        while not self.stopped:
            count += 1
            name, verb, request_class = (
                (f"u{number}-{count}", "SVC.QUERY", "read")
                if count % 2
                else (f"u{number}-{count}", "SVC.SUBMIT", "pay")
            )
            fields = f"c={request_class},t=usual,d={USUAL_TIMEOUT_MS}"
            content = encode_command(verb, f"k{count % 50}", name, fields)
            sent_at, pid = time.monotonic(), self.process.pid
            for _ in range(2):
                connection = connection or await self._connect()
                reply = await self._request(connection, content)
                if reply:
                    break
                connection[1].transport.abort()
                connection = None
            self._record(reply, time.monotonic() - sent_at, pid)
            if connection and self.plan.reconnects:
                connection[1].close()
                connection = None
            await asyncio.sleep(USUAL_PAUSE_SECONDS)
        if connection:
            connection[1].close()

    async def _connect(self):
        while True:
            with contextlib.suppress(OSError):
                return await asyncio.open_connection("127.0.0.1", self.port)
            await asyncio.sleep(0.02)

    async def _request(self, connection, content):
        """Returns the reply; b"" if the connection ends or nothing comes for very long."""
        reader, writer = connection
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(LATEST_RESPONSE_SECONDS + 8):
                writer.write(content)
                reply = await reader.readline()
                if reply.startswith(b"$"):
                    reply += await reader.readexactly(int(reply[1:]) + 2)
                return reply
        return b""

    def _record(self, reply, seconds, pid):
        """Records the outcome of a request, unless its process was killed meanwhile."""
        if pid != self.process.pid or self.killing:
            return
        result = self.result
        result.sent += 1
        result.worst_seconds = max(result.worst_seconds, seconds)
        result.late += seconds > LATEST_RESPONSE_SECONDS
        result.served += reply.startswith(b"$")
        result.busy += reply.startswith(b"-BUSY")
        result.unanswered += not reply


def run_trial(plan, shim=None):
    """Plays a plan and returns its result; see Trial."""

    async def run():
        return await Trial(plan, shim).run()

    return asyncio.run(run())
