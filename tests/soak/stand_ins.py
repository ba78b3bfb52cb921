"""Endpoints, discovery and the platform, on an asyncio loop and loopback addresses kept for each instance."""

import asyncio
import contextlib
import json
import random
import socket
import struct
import time
from urllib.parse import urlencode

from tests.soak.ledger import Attempt, NewsTold, PodTold
from tests.soak.plan import NEWEST

RESET = struct.pack("ii", 1, 0)
SECOND_COPY_AFTER = 0.005  # seconds
SECOND_COPY_LATEST = (
    0.008  # seconds: "some milliseconds late"; one that this process is late with is left out
)
STALL_LASTS = 0.7  # seconds
SIGN_EVERY = 0.5  # seconds between two signs of life of a stream


def host_of(instance):
    """The loopback address that is kept for what this instance reaches."""
    return f"127.0.0.{instance + 1}"


def reset(transport):
    """Ends a connection with a reset."""
    opened = transport.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport.abort()


def first_command(buffer):
    """(words, length) of the first whole command in the buffer, or None."""
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


class PodConnection(asyncio.Protocol):
    """A connection of an instance to an endpoint."""

    def __init__(self, pod, instance):
        self.pod, self.instance, self.buffer = pod, instance, bytearray()
        self.transport, self.first_at, self.connected_at, self.life = None, None, None, pod.life
        self.out = 0  # commands that are not answered

    def connection_made(self, transport):
        self.transport = transport
        self.connected_at = self.pod.clock()
        self.pod.connections.add(self)

    def connection_lost(self, _):
        self.pod.connections.discard(self)

    def data_received(self, data):
        now = self.pod.clock()
        if self.first_at is None:
            self.first_at = now
        self.buffer += data
        while (found := first_command(self.buffer)) is not None:
            words, length = found
            del self.buffer[:length]
            self.pod.take(self, words, self.first_at, now)
            self.first_at = now
        if not self.buffer:
            self.first_at = None

    def write(self, content):
        """Writes, unless the connection has ended."""
        if not self.transport.is_closing():
            self.transport.write(content)


class Pod:
    """An endpoint. What comes is answered by the shares of its plan."""

    def __init__(self, plan, ledger, seed):
        self.plan, self.ledger, self.clock = plan, ledger, ledger.clock
        self.chance = random.Random(f"{seed} {plan.name}")
        self.connections, self.servers, self.ports = set(), {}, {}
        self.state, self.life, self.count = "Ready", 0, 0
        self.started_ms = int(time.time() * 1000) if plan.started_cold else 0

    async def open(self, instances):
        loop = asyncio.get_running_loop()
        for instance in range(instances):
            self.servers[instance] = await loop.create_server(
                lambda instance=instance: PodConnection(self, instance),
                host_of(instance),
                self.ports.get(instance, 0),
            )
            self.ports[instance] = self.servers[instance].sockets[0].getsockname()[1]

    def close(self):
        for server in self.servers.values():
            server.close()
        for connection in list(self.connections):
            reset(connection.transport)

    def cut_idle(self):
        """Closes the connections on which nothing is out."""
        for connection in list(self.connections):
            if not connection.buffer and not connection.out:
                connection.transport.close()

    def entry(self, instance):
        return {
            "id": self.plan.name,
            "addr": f"{host_of(instance)}:{self.ports[instance]}",
            "zone": "a",
            "kind": "m",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
            "image_id": self.plan.build,
        }

    def take(self, connection, words, begun_at, whole_at):
        """A command is whole: it is kept, and answered after a while."""
        told = dict(pair.partition("=")[::2] for pair in words[3].decode().split(","))
        attempt = Attempt(
            pod=self.plan.name,
            instance=connection.instance,
            build=self.plan.build,
            life=connection.life,
            name=words[2].decode(),
            lane=told["c"],
            key=words[1].decode(),
            timeout=int(told["d"]) / 1000,
            begun_at=begun_at,
            whole_at=whole_at,
            connected_at=connection.connected_at,
        )
        self.ledger.attempts.append(attempt)
        connection.out += 1
        outcome = self._drawn_outcome()
        if outcome != "held":
            lag = self.chance.expovariate(1 / self.plan.lag)
            asyncio.get_running_loop().call_later(lag, self._answer, connection, attempt, outcome)

    def _drawn_outcome(self):
        """How an attempt ends, by the shares of the plan."""
        plan, lot = self.plan, self.chance.random()
        shares = (
            (plan.hangs, "held"),
            (plan.resets, "reset"),
            (plan.errors, "error"),
            (plan.busy, "busy"),
            (plan.twice, "twice"),
        )
        for share, outcome in shares:
            if lot < share:
                return outcome
            lot -= share
        return "good"

    def _answer(self, connection, attempt, outcome):
        if connection.transport.is_closing():
            return
        connection.out -= 1
        attempt.outcome, attempt.answered_at = outcome, self.clock()
        if outcome == "reset":
            reset(connection.transport)
        elif outcome == "error":
            connection.write(b"-ERR failed\r\n")
        elif outcome == "busy":
            connection.write(b"-BUSY\r\n")
        else:
            self.count += 1
            value = f"{attempt.name}:{self.plan.name}:{self.count}".encode()
            good = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)
            connection.write(good)
            if outcome == "twice":
                loop = asyncio.get_running_loop()
                loop.call_later(SECOND_COPY_AFTER, self._answer_again, connection, attempt, good)

    def _answer_again(self, connection, attempt, good):
        if self.clock() > attempt.answered_at + SECOND_COPY_LATEST:
            return
        connection.write(good)
        attempt.copied_at = self.clock()


class HttpStandIn:
    """What discovery and the platform of an instance have in common: streams that stay open, and calls."""

    SIGN = ""

    def __init__(self, instance, ledger):
        self.instance, self.ledger, self.clock = instance, ledger, ledger.clock
        self.server, self.port, self.streams, self.tasks = None, 0, {}, set()
        self.stalled_until, self.asked = 0.0, asyncio.Event()

    @property
    def address(self):
        return f"{host_of(self.instance)}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self._serve, host_of(self.instance), self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks.add(asyncio.create_task(self._live()))

    def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        self.cut()

    def cut(self):
        """Resets the streams that stand."""
        for writer in list(self.streams):
            reset(writer.transport)
        self.streams = {}

    def stall(self, seconds=STALL_LASTS):
        """Says nothing for a while."""
        self.stalled_until = self.clock() + seconds

    async def _live(self):
        while True:
            await asyncio.sleep(SIGN_EVERY)
            if self.clock() >= self.stalled_until:
                self.tell_all()
                for writer in list(self.streams):
                    self.write(writer, self.SIGN)

    async def _serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                words = head.split(b" ", 2)
                if words[0] == b"GET":
                    await self._stream(reader, writer, words[1].decode())
                    return
                length = next(
                    int(line.split(b":")[1])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length:")
                )
                await reader.readexactly(length)
                body = b"<Error><Code>throttled</Code></Error>"
                writer.write(b"HTTP/1.1 400 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.streams.pop(writer, None)
            writer.close()

    async def _stream(self, reader, writer, path):
        if "stream" not in path:
            body = self.whole().encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.streams[writer] = self.begins_at(path)
        self.asked.set()
        if self.clock() >= self.stalled_until:
            self.tell(writer)
        await reader.read(1)

    @staticmethod
    def write(writer, text):
        """Writes a piece of a stream."""
        data = text.encode()
        with contextlib.suppress(OSError):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def tell_all(self):
        """Tells each stream what it has missed, unless stalled."""
        if self.clock() >= self.stalled_until:
            for writer in list(self.streams):
                self.tell(writer)

    def tell(self, writer):
        """Tells a stream what it has missed."""

    def begins_at(self, path):
        """How much the asker of a stream knows."""
        return 0

    def whole(self):
        """The answer to a plain call."""
        return "{}"


class Discovery(HttpStandIn):
    """The agent of one instance: each change has a version, a stream is told what is new to it."""

    SIGN = "\n"

    def __init__(self, instance, ledger, pods):
        super().__init__(instance, ledger)
        self.pods, self.version, self.changes = pods, 7, []

    def change(self, pod):
        """A pod's state has changed."""
        self.version += 1
        self.changes.append((self.version, pod.entry(self.instance), pod.life))
        self.tell_all()

    def listing(self):
        """The whole list as a configuration holds it."""
        entries = [pod.entry(self.instance) for pod in self.pods if pod.state != "Gone"]
        return {"version": self.version, "full": True, "servers": entries}

    def whole(self):
        return json.dumps(self.listing())

    def begins_at(self, path):
        return int(path.rpartition("index=")[2])

    def tell(self, writer):
        known = self.streams[writer]
        if known == 0:
            line = self.listing()
            told = [(pod.entry(self.instance), pod.life) for pod in self.pods]
        else:
            told = [(entry, life) for version, entry, life in self.changes if version > known]
            entries = list({entry["id"]: entry for entry, _ in told}.values())
            line = {"version": max(known, self.version), "full": False, "servers": entries}
        if known == 0 or told:
            self.write(writer, json.dumps(line) + "\n")
        self.streams[writer] = max(known, self.version)
        now = self.clock()
        for entry, life in told:
            state = PodTold(now, self.instance, entry["id"], entry["state"], life)
            self.ledger.pods_told.append(state)


class Platform(HttpStandIn):
    """The platform as one instance reaches it: how the newest build stands. It takes no votes."""

    SIGN = ":\n"

    def __init__(self, instance, ledger, cap):
        super().__init__(instance, ledger)
        self.number, self.since = 1, self.clock()
        self.news = {"version": NEWEST, "step": 0, "status": "trial", "maxWeight": cap}

    def standing(self):
        """The news as a configuration holds it."""
        age = round(1000 * (self.clock() - self.since))
        return {**self.news, "observedAgoMs": age}

    def change(self, status, cap):
        """The newest build stands otherwise."""
        self.number, self.since = self.number + 1, self.clock()
        step = self.news["step"] + (status == "trial")
        self.news = {**self.news, "status": status, "maxWeight": cap, "step": min(step, 1)}
        self.tell_all()

    def tell(self, writer):
        if self.streams[writer] == self.number:
            return
        self.streams[writer] = self.number
        self.write(writer, f"event: progress\ndata: {urlencode(self.standing())}\n\n")
        news = NewsTold(self.clock(), self.instance, self.news["status"], self.news["maxWeight"])
        self.ledger.news_told.append(news)
