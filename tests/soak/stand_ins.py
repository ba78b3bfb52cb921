"""Stand-ins for endpoints, discovery and the release platform, run by an asyncio event loop.

Each instance reaches them at a loopback address of its own, so they know which one connects.
"""

import asyncio
import contextlib
import json
import random
import socket
import struct
import time
from urllib.parse import urlencode

from tests.soak.ledger import Attempt, EndpointStateSent, ReleaseStateSent
from tests.soak.plan import NEWEST_BUILD

LINGER_ZERO = struct.pack("ii", 1, 0)  # a close with this option resets the connection
DUPLICATE_DELAY_SECONDS = 0.005
# Duplicates arrive some milliseconds late by the specification; one that this process would send
# later than this is left out.
MAX_DUPLICATE_DELAY_SECONDS = 0.008
STALL_SECONDS = 0.7
HANGING_BODY = b"hang"  # of a request that is never answered
HEARTBEAT_INTERVAL_SECONDS = 0.5
LENGTH_ERRORS = tuple(error for error in range(-5, 21) if error)  # bytes that a length is off by
REPORTS = None, b"q=1", b"q=3,busy=0.52,rate=41"  # load reports of endpoints


def instance_host(instance):
    """Returns the loopback address of the stand-ins that this instance uses."""
    return f"127.0.0.{instance + 1}"


def reset_connection(transport):
    """Resets a connection."""
    connection_socket = transport.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    transport.abort()


def parse_command(buffer):
    """Returns the first command's arguments and its length; None if it is incomplete."""
    end = buffer.find(b"\r\n")
    if end < 0:
        return None
    arguments, position = [], end + 2
    for _ in range(int(buffer[1:end])):
        end = buffer.find(b"\r\n", position)
        if end < 0:
            return None
        size = int(buffer[position + 1 : end])
        position = end + 2 + size + 2
        if len(buffer) < position:
            return None
        arguments.append(bytes(buffer[end + 2 : end + 2 + size]))
    return arguments, position


class EndpointConnection(asyncio.Protocol):
    """A connection of an instance to an endpoint.

    Attributes:
        first_byte_at: When the first byte of the command being received arrived.
        generation: Generation of the endpoint when the connection was made.
        pending_count: Commands without a response.
    """

    def __init__(self, endpoint, instance):
        self.endpoint, self.instance, self.buffer = endpoint, instance, bytearray()
        self.transport, self.first_byte_at, self.connected_at, self.generation = (
            None,
            None,
            None,
            endpoint.generation,
        )
        self.pending_count = 0

    def connection_made(self, transport):
        self.transport = transport
        self.connected_at = self.endpoint.clock()
        self.endpoint.connections.add(self)

    def connection_lost(self, _):
        self.endpoint.connections.discard(self)

    def data_received(self, data):
        now = self.endpoint.clock()
        if self.first_byte_at is None:
            self.first_byte_at = now
        self.buffer += data
        while (found := parse_command(self.buffer)) is not None:
            arguments, length = found
            del self.buffer[:length]
            self.endpoint.receive_command(self, arguments, self.first_byte_at, now)
            self.first_byte_at = now
        if not self.buffer:
            self.first_byte_at = None

    def write(self, content):
        """Writes unless the connection is closed."""
        if not self.transport.is_closing():
            self.transport.write(content)


class AsyncEndpoint:
    """An endpoint that answers requests by the shares of its plan.

    Attributes:
        generation: How often it was restarted.
        started_ms: Start time of its process in the endpoint list; 0 for long ago.
    """

    def __init__(self, plan, observations, seed):
        self.plan, self.observations, self.clock = plan, observations, observations.clock
        self.rng = random.Random(f"{seed} {plan.name}")
        self.form_rng = random.Random(f"{seed} {plan.name} forms")  # draws what responses look like
        self.connections, self.servers, self.ports = set(), {}, {}
        self.state, self.generation, self.response_count = "Ready", 0, 0
        self.started_ms = int(time.time() * 1000) if plan.starts_cold else 0

    async def open(self, instances):
        loop = asyncio.get_running_loop()
        for instance in range(instances):
            self.servers[instance] = await loop.create_server(
                lambda instance=instance: EndpointConnection(self, instance),
                instance_host(instance),
                self.ports.get(instance, 0),
            )
            self.ports[instance] = self.servers[instance].sockets[0].getsockname()[1]

    def close(self):
        for server in self.servers.values():
            server.close()
        for connection in list(self.connections):
            reset_connection(connection.transport)

    def close_idle_connections(self):
        """Closes the connections without a pending command."""
        for connection in list(self.connections):
            if not connection.buffer and not connection.pending_count:
                connection.transport.close()

    def entry(self, instance):
        return {
            "id": self.plan.name,
            "addr": f"{instance_host(instance)}:{self.ports[instance]}",
            "zone": "a",
            "kind": "m",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
            "image_id": self.plan.build,
        }

    def receive_command(self, connection, arguments, first_byte_at, last_byte_at):
        """Records a complete command and schedules its response."""
        metadata = dict(pair.partition("=")[::2] for pair in arguments[3].decode().split(","))
        attempt = Attempt(
            endpoint=self.plan.name,
            instance=connection.instance,
            build=self.plan.build,
            generation=connection.generation,
            request_id=arguments[2].decode(),
            request_class=metadata["c"],
            key=arguments[1].decode(),
            timeout=int(metadata["d"]) / 1000,
            first_byte_at=first_byte_at,
            last_byte_at=last_byte_at,
            connected_at=connection.connected_at,
        )
        self.observations.attempts.append(attempt)
        connection.pending_count += 1
        outcome = "silent" if arguments[4:] == [HANGING_BODY] else self._draw_outcome()
        if outcome != "silent":
            delay = self.rng.expovariate(1 / self.plan.mean_delay_seconds)
            asyncio.get_running_loop().call_later(
                delay, self._respond, connection, attempt, outcome
            )

    def _draw_outcome(self):
        """Draws the outcome of an attempt by the shares of the plan."""
        plan, draw = self.plan, self.rng.random()
        shares = (
            (plan.no_response_share, "silent"),
            (plan.reset_share, "reset"),
            (plan.error_share, "error"),
            (plan.reject_share, "busy"),
            (plan.duplicate_share, "duplicate"),
            (plan.lost_share, "lost"),
            (plan.false_length_share, "false length"),
        )
        for share, outcome in shares:
            if draw < share:
                return outcome
            draw -= share
        return "good"

    def _respond(self, connection, attempt, outcome):
        if connection.transport.is_closing():
            return
        connection.pending_count -= 1
        attempt.outcome, attempt.responded_at = outcome, self.clock()
        if outcome == "reset":
            reset_connection(connection.transport)
        elif outcome == "error":
            connection.write(b"-ERR failed\r\n")
        elif outcome == "busy":
            connection.write(b"-BUSY\r\n")
        elif outcome != "lost":
            self.response_count += 1
            value = f"{attempt.request_id}:{self.plan.name}:{self.response_count}".encode()
            length_error = self.form_rng.choice(LENGTH_ERRORS) if outcome == "false length" else 0
            response = self._serialize(value, len(value) + length_error)
            if not length_error:
                attempt.value = value
            connection.write(response)
            if outcome == "duplicate":
                loop = asyncio.get_running_loop()
                loop.call_later(
                    DUPLICATE_DELAY_SECONDS, self._send_duplicate, connection, attempt, response
                )

    def _serialize(self, value, length):
        """Returns a response that declares this length of its value, with a load report or null."""
        report = self.form_rng.choice(REPORTS)
        tail = b"$-1\r\n" if report is None else b"$%d\r\n%s\r\n" % (len(report), report)
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n%s" % (length, value, tail)

    def _send_duplicate(self, connection, attempt, response):
        if self.clock() > attempt.responded_at + MAX_DUPLICATE_DELAY_SECONDS:
            return
        connection.write(response)
        attempt.duplicate_sent_at = self.clock()


class AsyncHttpServer:
    """The common part of discovery and the release platform: watch streams and HTTP calls.

    There is one for each instance. Calls with a body are answered as throttled.

    Attributes:
        streams: The open streams, each with the version that it was last sent.
        stalled_until: Time before which the streams are sent nothing.
        stream_opened: Set once a stream was opened.
    """

    HEARTBEAT = ""

    def __init__(self, instance, observations):
        self.instance, self.observations, self.clock = instance, observations, observations.clock
        self.server, self.port, self.streams, self.tasks = None, 0, {}, set()
        self.stalled_until, self.stream_opened = 0.0, asyncio.Event()

    @property
    def address(self):
        return f"{instance_host(self.instance)}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, instance_host(self.instance), self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.tasks.add(asyncio.create_task(self._send_heartbeats()))

    def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        self.reset_streams()

    def reset_streams(self):
        """Resets all open streams."""
        for writer in list(self.streams):
            reset_connection(writer.transport)
        self.streams = {}

    def stall(self, seconds=STALL_SECONDS):
        """Sends nothing on the streams for this long."""
        self.stalled_until = self.clock() + seconds

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            if self.clock() >= self.stalled_until:
                self.push_updates()
                for writer in list(self.streams):
                    self.write_chunk(writer, self.HEARTBEAT)

    async def _serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                request_line = head.split(b" ", 2)
                if request_line[0] == b"GET":
                    await self._stream(reader, writer, request_line[1].decode())
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
            body = self.full_response().encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.streams[writer] = self.known_version(path)
        self.stream_opened.set()
        if self.clock() >= self.stalled_until:
            self.push_update(writer)
        await reader.read(1)

    @staticmethod
    def write_chunk(writer, text):
        """Writes a chunk to a stream."""
        data = text.encode()
        with contextlib.suppress(OSError):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def push_updates(self):
        """Sends each stream the changes that it lacks, unless stalled."""
        if self.clock() >= self.stalled_until:
            for writer in list(self.streams):
                self.push_update(writer)

    def push_update(self, writer):
        """Sends a stream the changes that it lacks."""

    def known_version(self, path):
        """Returns the version that the client of a new stream already has."""
        return 0

    def full_response(self):
        """Returns the response to a call that opens no stream."""
        return "{}"


class AsyncDiscovery(AsyncHttpServer):
    """The discovery agent of one instance; each change of an endpoint has a version."""

    HEARTBEAT = "\n"

    def __init__(self, instance, observations, endpoints):
        super().__init__(instance, observations)
        self.endpoints, self.version, self.changes = endpoints, 7, []

    def update_endpoint(self, endpoint):
        """Publishes the present state of an endpoint."""
        self.version += 1
        self.changes.append((self.version, endpoint.entry(self.instance), endpoint.generation))
        self.push_updates()

    def full_list(self):
        """Returns the complete endpoint list, in the form of the configuration file."""
        entries = [
            endpoint.entry(self.instance) for endpoint in self.endpoints if endpoint.state != "Gone"
        ]
        return {"version": self.version, "full": True, "servers": entries}

    def full_response(self):
        return json.dumps(self.full_list())

    def known_version(self, path):
        return int(path.rpartition("index=")[2])

    def push_update(self, writer):
        known = self.streams[writer]
        if known == 0:
            message = self.full_list()
            sent = [
                (endpoint.entry(self.instance), endpoint.generation) for endpoint in self.endpoints
            ]
        else:
            sent = [
                (entry, generation)
                for version, entry, generation in self.changes
                if version > known
            ]
            entries = list({entry["id"]: entry for entry, _ in sent}.values())
            message = {"version": max(known, self.version), "full": False, "servers": entries}
        if known == 0 or sent:
            self.write_chunk(writer, json.dumps(message) + "\n")
        self.streams[writer] = max(known, self.version)
        now = self.clock()
        for entry, generation in sent:
            state = EndpointStateSent(now, self.instance, entry["id"], entry["state"], generation)
            self.observations.endpoint_states_sent.append(state)


class AsyncPlatform(AsyncHttpServer):
    """The release platform of one instance. It sends the release state and accepts no votes."""

    HEARTBEAT = ":\n"

    def __init__(self, instance, observations, cap):
        super().__init__(instance, observations)
        self.update_number, self.updated_at = 1, self.clock()
        self.release_state = {
            "version": NEWEST_BUILD,
            "step": 0,
            "status": "trial",
            "maxWeight": cap,
        }

    def current_state(self):
        """Returns the release state, in the form of the configuration file."""
        age = round(1000 * (self.clock() - self.updated_at))
        return {**self.release_state, "observedAgoMs": age}

    def update_release_state(self, status, cap):
        """Publishes another status and cap of the newest build."""
        self.update_number, self.updated_at = self.update_number + 1, self.clock()
        step = self.release_state["step"] + (status == "trial")
        self.release_state = {
            **self.release_state,
            "status": status,
            "maxWeight": cap,
            "step": min(step, 1),
        }
        self.push_updates()

    def push_update(self, writer):
        if self.streams[writer] == self.update_number:
            return
        self.streams[writer] = self.update_number
        self.write_chunk(writer, f"event: progress\ndata: {urlencode(self.current_state())}\n\n")
        sent = ReleaseStateSent(
            self.clock(),
            self.instance,
            self.release_state["status"],
            self.release_state["maxWeight"],
        )
        self.observations.release_states_sent.append(sent)
