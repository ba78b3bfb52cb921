"""Clients that repeat their planned behaviour on connections of their own until they are stopped.

A client whose connection was closed between requests opens another. As the specification asks of
clients, a request that crosses the close of its connection is sent once more on a new one.
"""

import asyncio
import contextlib
import random

from tests.soak.ledger import InvalidCommand, Request
from tests.soak.plan import REQUEST_CLASSES, TIMEOUTS_SECONDS, ClientBehaviour
from tests.soak.stand_ins import reset_connection

KEY_COUNT = 40
RESPONSE_WAIT_SECONDS = 5.0  # longer than any response may take
INVALID_COMMAND_WAIT_SECONDS = 4.0  # wait for the rejection of an invalid command
# The sidecar stops reading a connection with more than 64 open requests until this many are left
# (docs/design/ends.md).
READ_RESUME_THRESHOLD = 32
CONNECT_TIMEOUT_SECONDS = 2.0


def encode_command(*arguments):
    """Returns a command as an array of bulk strings."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in map(str.encode, arguments)
    )


class ClientConnection(asyncio.Protocol):
    """A client's connection. Responses are assigned to its requests in the order of sending.

    Attributes:
        pending: Requests without a response.
        ended_at: When its end was seen; None while it is open.
        changed: Set when data arrives or the connection ends.
        expects_responses: Whether an unexpected response is recorded as one.
        response_count: Responses and errors received.
    """

    def __init__(self, observations):
        self.observations, self.buffer, self.pending = observations, bytearray(), []
        self.transport, self.ended_at, self.changed = None, None, asyncio.Event()
        self.expects_responses, self.response_count = True, 0

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        while (length := self._response_length()) is not None:
            response = bytes(self.buffer[:length])
            del self.buffer[:length]
            if self.pending:
                self.pending.pop(0).responses.append((self.observations.clock(), response))
            elif self.expects_responses:
                self.observations.unexpected_responses.append(
                    f"unexpected response: {response[:60]!r}"
                )
            self.response_count += 1
            self.changed.set()

    def _response_length(self):
        end = self.buffer.find(b"\r\n")
        if end < 0:
            return None
        if self.buffer[:1] != b"$":
            return end + 2
        length = end + 2 + int(self.buffer[1:end]) + 2
        return length if len(self.buffer) >= length else None

    def eof_received(self):
        self._mark_ended()

    def connection_lost(self, _):
        self._mark_ended()

    def _mark_ended(self):
        if self.ended_at is None:
            self.ended_at = self.observations.clock()
            for request in self.pending:
                if request.disconnected_at is None:
                    request.connection_closed_at = self.ended_at
        self.changed.set()

    @property
    def is_open(self):
        """Whether requests can be sent on it."""
        return self.ended_at is None and not self.transport.is_closing()

    async def wait_for_change(self, timeout):
        """Waits until data arrives or the connection ends, but no longer than `timeout` seconds."""
        self.changed.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.changed.wait(), timeout)


class Client:
    """One client of an instance.

    Args:
        stop_event: Set when the client is to stop.
    """

    def __init__(self, number, plan, sidecar, observations, stop_event):
        self.number, self.plan, self.sidecar, self.observations = (
            number,
            plan,
            sidecar,
            observations,
        )
        self.stop_event, self.rng, self.request_count = stop_event, random.Random(plan.seed), 0
        self.connection = None

    async def run(self):
        """Repeats the planned behaviour until the client is stopped."""
        await asyncio.sleep(self.plan.start_at)
        action = {
            ClientBehaviour.STEADY: self.send_one,
            ClientBehaviour.PIPELINED: self._send_pipelined,
            ClientBehaviour.PARTIAL_COMMAND: self._send_partial_command,
            ClientBehaviour.GARBAGE: self._send_garbage,
            ClientBehaviour.DISCONNECTS: self._send_and_disconnect,
            ClientBehaviour.IDLES: self._send_and_idle,
        }[self.plan.behaviour]
        while not self.stop_event.is_set():
            if not await self.ensure_connected():
                await asyncio.sleep(0.05)
                continue
            await action()
            await asyncio.sleep(self.rng.expovariate(1 / self.plan.mean_pause_seconds))
        if self.connection is not None:
            self.connection.transport.close()

    async def ensure_connected(self):
        if self.connection is None or not self.connection.is_open:
            self.connection = await self._connect()
        return self.connection is not None

    async def _connect(self):
        loop = asyncio.get_running_loop()
        try:
            _, connection = await asyncio.wait_for(
                loop.create_connection(
                    lambda: ClientConnection(self.observations), "127.0.0.1", self.sidecar.port
                ),
                CONNECT_TIMEOUT_SECONDS,
            )
        except (OSError, TimeoutError):
            return None
        return connection

    def _send(self, connection, request):
        request.sent_at = self.observations.clock()
        request.process_number = self.sidecar.process.number
        request.previous = connection.pending[-1] if connection.pending else None
        if len(connection.pending) >= READ_RESUME_THRESHOLD:
            request.read_after = connection.pending[-READ_RESUME_THRESHOLD]
        request.pipeline_deadline_at = max(
            (earlier.pipeline_deadline_at for earlier in connection.pending), default=0.0
        )
        request.pipeline_deadline_at = max(
            request.pipeline_deadline_at, request.sent_at + request.timeout
        )
        if not connection.is_open:  # it was closed just before this request
            request.connection_closed_at = request.sent_at
            return
        connection.pending.append(request)
        connection.transport.write(self._encode(request))

    @staticmethod
    def _encode(request):
        command_name = "SVC.QUERY" if request.request_class == "read" else "SVC.SUBMIT"
        metadata = f"c={request.request_class},t=x,d={int(request.timeout * 1000)}"
        if request.request_class == "mark":
            metadata += f",k={request.request_id}"
        return encode_command(command_name, request.key, request.request_id, metadata, request.body)

    def _new_request(self):
        self.request_count += 1
        request_id = f"r{self.number}-{self.request_count}"
        request = Request(
            request_id=request_id,
            instance=self.sidecar.instance,
            request_class=self.rng.choice(REQUEST_CLASSES),
            key=f"k{self.rng.randrange(KEY_COUNT)}",
            body=f"body of {request_id}",
            timeout=self.rng.choice(TIMEOUTS_SECONDS),
            sent_at=0.0,
            process_number=0,
        )
        self.observations.requests[request_id] = request
        return request

    async def _wait_for_responses(self, connection, requests):
        """Waits for all responses; resends requests that crossed the close of the connection."""
        give_up_at = self.observations.clock() + RESPONSE_WAIT_SECONDS
        while any(not sent.responses for sent in requests) and connection.is_open:
            time_left = give_up_at - self.observations.clock()
            if time_left <= 0:
                return
            await connection.wait_for_change(time_left)
        # After a failed write the transport is closing; connection_lost follows.
        while not connection.is_open and connection.ended_at is None:
            await connection.wait_for_change(CONNECT_TIMEOUT_SECONDS)
        unanswered = [
            sent
            for sent in requests
            if not sent.responses and sent.connection_closed_at is not None
        ]
        for request in (
            unanswered
            if connection.response_count or self.plan.behaviour != ClientBehaviour.DISCONNECTS
            else ()
        ):
            await self._resend(request)

    async def _resend(self, request):
        request.resent = True
        self.observations.add_event(
            f"{request.request_id} crossed the close of its connection and is resent"
        )
        connection = await self._connect()
        if connection is None:
            request.connection_refused = True
            return
        self.connection = connection
        request.connection_closed_at = None
        self._send(connection, request)
        give_up_at = self.observations.clock() + RESPONSE_WAIT_SECONDS
        while (
            not request.responses and connection.is_open and self.observations.clock() < give_up_at
        ):
            await connection.wait_for_change(give_up_at - self.observations.clock())

    async def send_one(self):
        request = self._new_request()
        self._send(self.connection, request)
        await self._wait_for_responses(self.connection, [request])

    async def _send_pipelined(self):
        requests = [self._new_request() for _ in range(self.plan.pipeline_depth)]
        for request in requests:
            self._send(self.connection, request)
        await self._wait_for_responses(self.connection, requests)

    async def _send_and_disconnect(self):
        """Sends requests and soon disconnects, by a close, a reset or a half-close."""
        connection, requests = self.connection, []
        for _ in range(self.rng.choice((1, 3, self.plan.pipeline_depth))):
            requests.append(self._new_request())
            self._send(connection, requests[-1])
        await asyncio.sleep(self.rng.choice((0.0, 0.01, 0.05, 0.3)))
        if not connection.is_open:
            return
        now = self.observations.clock()
        for request in requests:
            if not request.responses:
                request.disconnected_at = now
        connection.expects_responses = False
        method = self.rng.choice(("close", "reset", "shut"))
        if method == "close":
            connection.transport.close()
        elif method == "reset":
            reset_connection(connection.transport)
        else:
            connection.transport.write_eof()
        self.connection = None

    async def _send_and_idle(self):
        """Sends a request and leaves the connection idle for a while."""
        await self.send_one()
        await asyncio.sleep(0.4)

    async def _send_partial_command(self):
        """Sends a part of a command, and then the rest or nothing more."""
        connection = self.connection
        await self.send_one()
        if not connection.is_open:
            return
        request = self._new_request()
        data = self._encode(request)
        split_at = self.rng.randrange(1, len(data) - 1)
        completes = self.rng.random() < 0.5
        connection.transport.write(data[:split_at])
        if not completes:
            del self.observations.requests[request.request_id]
            await self._wait_for_rejection(connection, "incomplete command")
            return
        await asyncio.sleep(self.rng.choice((0.01, 0.2)))
        if connection.is_open:
            request.sent_at = self.observations.clock()
            request.process_number = self.sidecar.process.number
            request.pipeline_deadline_at = request.sent_at + request.timeout
            connection.pending.append(request)
            connection.transport.write(data[split_at:])
            await self._wait_for_responses(connection, [request])
        else:
            del self.observations.requests[request.request_id]

    async def _send_garbage(self):
        connection = self.connection
        connection.transport.write(b"what is this?\r\n")
        await self._wait_for_rejection(connection, "malformed command")

    async def _wait_for_rejection(self, connection, description):
        connection.expects_responses = False
        invalid_command = InvalidCommand(
            description,
            self.sidecar.instance,
            self.observations.clock(),
            self.sidecar.process.number,
        )
        self.observations.invalid_commands.append(invalid_command)
        responses_before = connection.response_count
        give_up_at = invalid_command.sent_at + INVALID_COMMAND_WAIT_SECONDS
        while connection.is_open and connection.response_count == responses_before:
            time_left = give_up_at - self.observations.clock()
            if time_left <= 0 or self.stop_event.is_set():
                break
            await connection.wait_for_change(time_left)
        if not connection.is_open or connection.response_count > responses_before:
            invalid_command.ended_at = self.observations.clock()
        else:
            invalid_command.gave_up_at = self.observations.clock()
        connection.transport.close()
        self.connection = None


async def send_burst(count, sidecar, observations, first_number, plan):
    """Starts `count` clients at the same time, each with a connection and one request."""
    stop_event = asyncio.Event()
    clients = [
        Client(first_number + index, plan, sidecar, observations, stop_event)
        for index in range(count)
    ]

    async def send_request(client):
        if await client.ensure_connected():
            await client.send_one()
            client.connection.transport.close() if client.connection else None

    observations.add_event(f"{count} clients connect at once to instance {sidecar.instance}")
    await asyncio.gather(*(send_request(client) for client in clients))
