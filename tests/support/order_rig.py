"""Test rig that runs a sidecar between fake clients, endpoints, discovery and release platform.

The sidecar uses Twisted's own TCP transports on a stepped clock. Each connection is a real socket
pair, so reads, writes, closes and unread bytes behave as the kernel has them. What a socket pair
can't show of TCP (a reset, a full window, a connect that hangs) is added in
`tests.support.stepped_network`. The checks use the bytes on the clients' and the endpoints' side
and the time; only the checks at the end of a run read the sidecar's internal state.
"""

import copy
import json
import re
import socket
import traceback
from heapq import heappop, heappush
from unittest import mock

from twisted.python import log as twisted_log

from tests.support.peers import SETTINGS
from tests.support.programs import encode_command
from tests.support.stepped_network import CheckFailed, FakeSocket, SteppedReactor
from thymeknot.proxy.proxy import Proxy
from thymeknot.service import configuration, structured_log
from thymeknot.state.timer_queue import TimerQueue

# All times are in ticks of 0.1 ms, as in the sidecar.
TICKS_PER_MS = 10
START_TICKS = 1_000_000

# Tolerances of the checks.
RESPONSE_SLACK = 500 * TICKS_PER_MS  # for a response, after the request's timeout
UPDATE_SLACK = 50 * TICKS_PER_MS  # added to every time limit of the protocol
CAP_UPDATE_SLACK = 150 * TICKS_PER_MS  # until a lower cap must take effect
DISCONNECT_SLACK = 100 * TICKS_PER_MS  # for attempts whose client has disconnected
STALL_TIMEOUT = 9_900 * TICKS_PER_MS  # a client that reads nothing for this long may be cut off
# After shutdown, for closing a connection that waits for no response.
SHUTDOWN_CLOSE_LIMIT = 150 * TICKS_PER_MS
# A new connection stays open at least this long for its first command.
FIRST_COMMAND_WAIT = 500 * TICKS_PER_MS
COMMAND_TIMEOUT = 2_400 * TICKS_PER_MS  # a command still incomplete after this may be refused

REQUEST_CLASSES = ("read", "mark", "pay")
DEADLINES_MS = (300, 1500, 4000)  # the request timeouts that clients use
# As in the settings: the window for keyed requests, and the attempts per request.
DEDUPLICATION_WINDOW, MAX_ATTEMPTS = 5_000 * TICKS_PER_MS, 4
DISCOVERY_PORTS, PLATFORM_PORTS = (2, 8), (3, 9)
REFUSES, HANGS, ACCEPTS = "refuses", "hangs", "accepts"

# Known faults of the sidecar that are not fixed yet can be left out of the drawn orders by setting
# their switch to False. Each switch has a test of its own in test_event_orders.py; once the fault
# is fixed, the switch goes back to True.
DISCONNECTS_WHILE_READING_PAUSED = True  # a client disconnects while the sidecar reads none of it
# An endpoint's duplicate response arrives after the next request on that connection.
DUPLICATE_RESPONSES_REACH_NEXT_REQUEST = True
RESPONSES_WITHOUT_DELAY = True  # an endpoint responds within the same tick
# No byte of an attempt is written before its endpoint is reported as draining.
ENDPOINTS_READ_NOTHING = True
# `drain` or `finish` comes before the listener that an `undrain` waits for has closed.
DRAINS_DURING_UNDRAIN = True


# Idle connections to endpoints are closed early, so that a run ends quickly.
SHORT_IDLE_SETTINGS = copy.deepcopy(SETTINGS)
SHORT_IDLE_SETTINGS["permissions"]["conn_idle"] = 4_000_000_000


class SentCommand:
    """A command that a client sent, and when it was read and answered."""

    def __init__(
        self,
        kind,
        end_offset,
        request_id=None,
        nonce=None,
        request_class=None,
        timeout_ms=0,
        arguments=None,
    ):
        self.kind, self.end_offset, self.request_id, self.nonce, self.request_class = (
            kind,
            end_offset,
            request_id,
            nonce,
            request_class,
        )
        self.timeout_ms, self.arguments, self.read_at, self.answered_at = (
            timeout_ms,
            arguments,
            None,
            None,
        )


class SteppedClient:
    """A client's connection, the commands sent on it and the responses read so far."""

    def __init__(self, rig, number):
        self.rig, self.number, self.connection = rig, number, FakeSocket(rig)
        self.commands, self.sent_bytes, self.buffer, self.answered_count = [], 0, b"", 0
        (
            self.partial,
            self.malformed_at,
            self.disconnected_at,
            self.paused_since,
            self.resumed_at,
        ) = (
            b"",
            None,
            None,
            None,
            0,
        )
        self.exempt, self.eof, self.was_slow = False, False, False
        self.command_started_at, self.opened_at = rig.now, rig.now

    def send(self, data):
        if self.disconnected_at is None and self.connection.send_remote(data):
            self.sent_bytes += len(data)

    @property
    def is_slow(self):
        """Whether the sidecar may refuse it, as a command or the first one takes too long."""
        self.was_slow |= (
            bool(self.partial or not self.commands)
            and self.rig.now >= self.command_started_at + COMMAND_TIMEOUT
        )
        return self.was_slow


class ReceivedAttempt:
    """A request that an endpoint received completely."""

    def __init__(self, endpoint, connection, arguments, first_byte_at, last_byte_at):
        self.endpoint, self.connection, self.arguments, self.first_byte_at, self.last_byte_at = (
            endpoint,
            connection,
            arguments,
            first_byte_at,
            last_byte_at,
        )
        self.build, self.nonce, self.rejected_at, self.end_offset = (
            endpoint.build,
            arguments[4].decode(),
            None,
            0,
        )


class SteppedEndpoint:
    """An endpoint: how it accepts connections and responds, and what the sidecar knows of it."""

    def __init__(self, rig, number, build):
        self.rig, self.name, self.build, self.port = rig, f"s-{number}", build, 7000 + number
        self.state, self.started, self.mode, self.response_delay = (
            "Ready",
            0,
            "good",
            40 * TICKS_PER_MS,
        )
        self.connect_mode, self.write_budget = ACCEPTS, None
        self.known_process = 0, build
        self.builds_known = [(0, build)]  # (time, the build it is listed with from then on)
        # When the sidecar learned that it takes no new attempts, and that its process was replaced:
        # then nothing may be sent on connections opened before.
        self.unavailable_since, self.replaced_at = None, None

    def build_known_at(self, moment):
        """Returns the build that the sidecar knew it to run at this time."""
        return next(build for since, build in reversed(self.builds_known) if since <= moment)

    def entry(self):
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "state": self.state,
            "zone": "a",
            "kind": "m",
            "cell": 0,
            "weight": 1.0,
            "started_ms": self.started,
            "image_id": self.build,
        }


def parse_command(buffer):
    """Returns the first command's arguments and its length; None if it is incomplete."""
    parsed = re.match(rb"\*(\d+)\r\n", buffer)
    if not parsed:
        return None
    at, arguments = parsed.end(), []
    for _ in range(int(parsed[1])):
        size = re.compile(rb"\$(\d+)\r\n").match(buffer, at)
        if not size or len(buffer) < size.end() + int(size[1]) + 2:
            return None
        arguments.append(buffer[size.end() : size.end() + int(size[1])])
        at = size.end() + int(size[1]) + 2
    return arguments, at


def parse_response(buffer):
    """Returns the first response and its length in bytes; None if it is incomplete."""
    end = buffer.find(b"\r\n")
    if end < 0:
        return None
    if buffer[:1] != b"$":
        return buffer[:end], end + 2
    size = int(buffer[1:end])
    return (
        None
        if len(buffer) < end + 4 + size
        else (buffer[:1] + buffer[end + 2 : end + 2 + size], end + 4 + size)
    )


class Rig:
    """Runs a sidecar through a list of orders and checks what its clients and endpoints see.

    An order is a tuple: the name of a method below, its arguments, and the number of event loop
    rounds that follow (-1: until the loop is idle).
    """

    def __init__(self):
        self.now, self.sockets, self.scheduled, self.counter = START_TICKS, [], [], 0
        self.stalls = []  # (start, end) of the times in which the sidecar did not run
        # Whether anything happened in this round, and whether peers did something for the next one.
        self.progressed = self.peer_progressed = False
        self.clients, self.links, self.attempts, self.responses, self.faults = [], [], [], {}, []
        self.ended_links = []
        self.commands_by_nonce, self.streams, self.stream_mode, self.version = {}, [], "live", 7
        self.shutdown_count, self.drains, self.state, self.finished_at = 0, 0, "serving", None
        self.endpoints = [
            SteppedEndpoint(self, 1, 41),
            SteppedEndpoint(self, 2, 41),
            SteppedEndpoint(self, 3, 42),
        ]
        self.release = {
            "version": 42,
            "step": 1,
            "status": "trial",
            "maxWeight": 1.0,
            "observedAgoMs": 0,
        }
        # The release state that the sidecar has read, and since when its cap has been 0.
        self.known_release, self.cap_zero_since = dict(self.release), None
        self.pending_connects, self.config = (
            [],
            {
                "name": "n1",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "seed": "1f",
                "limits": {"sockets": 1024},
                "settings": SHORT_IDLE_SETTINGS,
                "deployer": {"address": "127.0.0.1:3", "news": dict(self.release)},
                "known": {
                    "version": 7,
                    "full": True,
                    "servers": [endpoint.entry() for endpoint in self.endpoints],
                },
            },
        )
        self.reactor = SteppedReactor(self)
        fault = self._fault
        self.patches = [
            mock.patch.object(structured_log, "log_exception", fault),
            mock.patch.object(structured_log, "log", self._logged),
        ]
        for patch in self.patches:
            patch.start()
        twisted_log.addObserver(self._observe)
        self.overdue = []
        self.proxy = Proxy(
            configuration.parse(self.config, 0),
            self.reactor,
            TimerQueue(lambda: self.now, self.reactor.callLater, fault),
            0,
        )
        self.proxy.begin()
        self.proxy.serve()
        self.run_rounds()

    def _fault(self, where, what):
        trace = traceback.extract_tb(what.__traceback__)
        place = f"{trace[-1].filename.rpartition('/')[2]}:{trace[-1].lineno}" if trace else "?"
        self.faults.append(f"{where}: {what!r} at {place}")

    def _logged(self, event, **fields):
        if event == "request overdue":
            self.overdue.append(fields)

    def _observe(self, event):
        if event.get("isError"):
            self.faults.append(f"network library: {event.get('failure') or event.get('message')}")

    def close(self):
        """Stops observing and closes all sockets."""
        for patch in self.patches:
            patch.stop()
        twisted_log.removeObserver(self._observe)
        self.reactor.close()
        for connection in self.sockets:
            connection.local.close()
            connection.remote.close()

    # Event loop and clock.

    def run_round(self):
        """Runs one round of the event loop, and the peers if anything happened in it."""
        self.progressed, self.peer_progressed = self.peer_progressed, False
        while self.scheduled and self.scheduled[0][0] <= self.now:
            self.progressed = True
            heappop(self.scheduled)[2]()
        due = self.reactor.next_call_time()
        self.progressed |= due is not None and due <= self.reactor.seconds()
        self.reactor.runUntilCurrent()
        self.reactor.doIteration(0)
        if self.progressed:
            self.run_peers()

    def run_rounds(self, times=None):
        """Runs this many rounds of the event loop; None: until a round in which nothing happens."""
        quiet = 0
        for _ in range(2000 if times is None else times):
            self.run_round()
            quiet = 0 if self.progressed else quiet + 1
            if quiet == 1 and times is None:
                return
        if times is None:
            raise CheckFailed("the event loop is still busy after 2000 rounds")

    def schedule(self, after, call):
        """Calls `call` this many ticks from now."""
        self.counter += 1
        heappush(self.scheduled, (self.now + after, self.counter, call))

    def advance(self, duration):
        """Advances the clock by this many ticks, stopping at each timer that is due."""
        until = self.now + duration
        while self.now < until:
            due = self.reactor.next_call_time()
            times = [until] + ([self.scheduled[0][0]] if self.scheduled else [])
            if due is not None:
                times.append(int(due * 10_000 + 0.99))
            self.now = max(self.now + 1, min(times))
            self.run_rounds()
            self.check_deadlines()

    # Clients, endpoints, discovery and the release platform.

    def run_peers(self):
        """Lets clients and servers read and handle what the sidecar has written."""
        for client in self.clients:
            self._read_responses(client)
        for link in self.links:
            self._read_connection(link)
        # A closed connection is read to its end; what is left of it matters to the checks alone.
        self.links = [link for link in self.links if not link[0].closed] + [
            link for link in self.links if link[0].closed and self.ended_links.append(link)
        ]

    def on_connect(self, connect):
        """Accepts, refuses or holds back a connection that the sidecar opens."""
        port = connect.addr[1]
        if port in DISCOVERY_PORTS + PLATFORM_PORTS:
            connect.succeed() if self.stream_mode != "ended" else connect.refuse()
            return
        endpoint = next((endpoint for endpoint in self.endpoints if endpoint.port == port), None)
        how = REFUSES if endpoint is None or endpoint.state == "Gone" else endpoint.connect_mode
        connect.connection.endpoint = endpoint
        if how == ACCEPTS:
            connect.succeed()
        elif how == REFUSES:
            connect.refuse()
        else:
            self.pending_connects.append(connect)

    def on_connected(self, connection):
        """Starts to serve a connection that was accepted."""
        if connection.port in DISCOVERY_PORTS + PLATFORM_PORTS:
            self.links.append([connection, b"", self._handle_stream_request])
        else:
            connection.write_budget = connection.endpoint.write_budget
            connection.parsed_bytes, connection.answers = 0, []
            self.links.append([connection, b"", self._handle_commands])

    def _read_connection(self, link):
        connection = link[0]
        data = connection.receive_remote()
        if data:
            link[1] += data
            link[2](link)

    def _handle_stream_request(self, link):
        connection = link[0]
        while b"\r\n\r\n" in link[1]:
            head, _, link[1] = link[1].partition(b"\r\n\r\n")
            if head.startswith(b"POST"):
                body = b"<Error><Code>throttled</Code></Error>"
                connection.send_remote(
                    b"HTTP/1.1 400 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                )
                link[1] = b""
                continue
            connection.send_remote(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            connection.is_discovery = connection.port in DISCOVERY_PORTS
            self.streams.append(connection)
            if self.stream_mode == "live":
                self.push_endpoints(
                    self.endpoints, full=True, receivers=[connection]
                ) if connection.is_discovery else self.push_release(receivers=[connection])
            self._send_heartbeat(connection)

    def _send_heartbeat(self, connection):
        if connection.closed or connection not in self.streams:
            return
        if self.stream_mode == "live":
            connection.send_remote(b"1\r\n\n\r\n" if connection.is_discovery else b"2\r\n:\n\r\n")
        self.schedule(10_000, lambda: self._send_heartbeat(connection))

    def _push_chunk(self, text, to_discovery, on_read, receivers=None):
        """Sends a chunk to watch streams; calls `on_read` once it is read to the end."""
        data = b"%x\r\n%s\r\n" % (len(text), text)
        for connection in receivers or self.streams:
            if (
                connection.is_discovery == to_discovery
                and self.stream_mode == "live"
                and not connection.closed
                and connection.send_remote(data)
            ):
                connection.read_callbacks.append((self._bytes_sent_so_far(connection), on_read))

    def _bytes_sent_so_far(self, connection):
        """Returns the stream offset behind all bytes sent to the sidecar, read or not."""
        waiting = 0
        try:
            waiting = len(connection.local.recv(1 << 24, socket.MSG_PEEK))
        except OSError:
            pass
        return connection.bytes_read + waiting

    def push_endpoints(self, endpoints, full=False, receivers=None):
        """Sends an endpoint list to the discovery streams, or to these receivers alone."""
        self.version += 1
        entries = [
            endpoint.entry() for endpoint in endpoints if not full or endpoint.state != "Gone"
        ]
        states = [
            (endpoint, endpoint.state, endpoint.started, endpoint.build) for endpoint in endpoints
        ]

        def on_read():
            for endpoint, state, started, build in states:
                if endpoint.known_process != (started, build):
                    endpoint.replaced_at = self.now
                endpoint.known_process = started, build
                endpoint.builds_known.append((self.now, build))
                if state == "Ready":
                    endpoint.unavailable_since = None
                elif endpoint.unavailable_since is None:
                    endpoint.unavailable_since = self.now

        self._push_chunk(
            json.dumps({"version": self.version, "full": full, "servers": entries}).encode()
            + b"\n",
            True,
            on_read,
            receivers,
        )

    def push_release(self, receivers=None):
        """Sends the release state to the platform streams, or to these receivers alone."""
        release = dict(self.release)

        def on_read():
            takes_nothing = release["maxWeight"] <= 0
            if (
                self.known_release is None
                or self.known_release["version"] != release["version"]
                or not takes_nothing
            ):
                self.cap_zero_since = None
            if takes_nothing and self.cap_zero_since is None:
                self.cap_zero_since = self.now
            self.known_release = release

        arguments = "&".join(f"{name}={value}" for name, value in release.items())
        self._push_chunk(
            f"event: progress\ndata: {arguments}\n\n".encode(), False, on_read, receivers
        )

    def _handle_commands(self, link):
        """Parses, records and checks the requests that came to an endpoint."""
        connection, endpoint = link[0], link[0].endpoint
        while (parsed := parse_command(link[1])) is not None:
            arguments, length = parsed
            begin, link[1] = connection.parsed_bytes, link[1][length:]
            connection.parsed_bytes += length
            attempt = ReceivedAttempt(
                endpoint,
                connection,
                arguments,
                connection.send_time(begin),
                connection.send_time(connection.parsed_bytes - 1),
            )
            attempt.end_offset = connection.parsed_bytes
            self.attempts.append(attempt)
            self.check_attempt(attempt)
            if endpoint.mode != "silent":
                self.schedule(
                    endpoint.response_delay,
                    lambda attempt=attempt, mode=endpoint.mode: self._respond(attempt, mode),
                )

    def _respond(self, attempt, mode):
        """Sends an endpoint's response in this mode."""
        connection = attempt.connection
        if mode in ("good", "big", "duplicate", "truncated", "malformed"):
            self.counter += 1
            value = f"{attempt.nonce}:{self.counter}".encode() + b"." * (
                60_000 if mode == "big" else 0
            )
            good = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)
            if mode == "truncated":
                connection.send_remote(good[: len(good) // 2])
                return
            if mode == "malformed":
                connection.send_remote(
                    b"*3\r\n$%d\r\n" % (len(value) - 1) + good[good.index(value) :]
                )
                return
            self.responses[value] = attempt.nonce
            connection.send_remote(good)
            if mode == "duplicate":
                self.schedule(5 * TICKS_PER_MS, lambda: self._second_copy(attempt, good))
        elif mode == "error":
            connection.send_remote(b"-ERR failed\r\n")
        elif mode == "busy":
            if connection.send_remote(b"-BUSY\r\n"):
                attempt.rejected_at = self.now
        else:
            connection.end_remote("reset")

    def _second_copy(self, attempt, good):
        if (
            DUPLICATE_RESPONSES_REACH_NEXT_REQUEST
            or attempt.connection.bytes_sent == attempt.end_offset
        ):
            attempt.connection.send_remote(good)

    # Checks during a run.

    def check_attempt(self, attempt):
        """Checks that an attempt is unchanged and was allowed when it was sent."""
        endpoint, nonce = attempt.endpoint, attempt.nonce
        client, command = self.commands_by_nonce[nonce]
        if (
            attempt.arguments[:3] != command.arguments[:3]
            or attempt.arguments[4:] != command.arguments[4:]
        ):
            raise CheckFailed(
                f"an endpoint got {attempt.arguments}, the client sent {command.arguments}"
            )
        earlier = [
            other for other in self.attempts if other.nonce == nonce and other is not attempt
        ]
        if len(earlier) >= MAX_ATTEMPTS:
            raise CheckFailed(
                f"{nonce}: attempt {len(earlier) + 1}, at most {MAX_ATTEMPTS} are allowed"
            )
        may_have_run = [
            other
            for other in earlier
            if other.rejected_at is None or other.rejected_at > attempt.last_byte_at
        ]
        if may_have_run and command.request_class == "pay":
            raise CheckFailed(f"binding {nonce} is sent again while it may have run")
        if (
            may_have_run
            and command.request_class == "mark"
            and attempt.last_byte_at >= may_have_run[0].last_byte_at + DEDUPLICATION_WINDOW
        ):
            raise CheckFailed(f"keyed {nonce} is sent again after the deduplication window")
        self.check_first_byte(
            attempt.connection, attempt.first_byte_at, f"{nonce} to {endpoint.name}"
        )
        if (
            client.disconnected_at is not None
            and attempt.last_byte_at > client.disconnected_at + DISCONNECT_SLACK
        ):
            raise CheckFailed(
                f"{nonce} is sent {(attempt.last_byte_at - client.disconnected_at) / 10_000} s after its client left"
            )

    def check_first_byte(self, connection, first_byte_at, what):
        """Checks that the endpoint could be used when the first byte of a command was sent."""
        endpoint = connection.endpoint
        if (
            endpoint.unavailable_since is not None
            and first_byte_at > endpoint.unavailable_since + UPDATE_SLACK
        ):
            raise CheckFailed(f"{what}: begun after its drain was told")
        if (
            endpoint.replaced_at is not None
            and connection.created_at < endpoint.replaced_at
            and first_byte_at > endpoint.replaced_at + UPDATE_SLACK
        ):
            raise CheckFailed(f"{what}: begun on a connection to the former process")
        if (
            self.cap_zero_since is not None
            and endpoint.build_known_at(first_byte_at) >= self.known_release["version"]
            and first_byte_at > self.cap_zero_since + CAP_UPDATE_SLACK
        ):
            raise CheckFailed(f"{what}: begun though the newest build takes nothing")

    def _read_responses(self, client):
        """Notes which commands the sidecar has read, and handles the responses that came."""
        connection = client.connection
        for command in client.commands:
            if command.read_at is None and command.end_offset <= connection.bytes_read:
                command.read_at = self.now
        if connection.remote_closed:
            return
        client.buffer += connection.receive_remote()
        while (parsed := parse_response(client.buffer)) is not None:
            answer, length = parsed
            client.buffer = client.buffer[length:]
            self._handle_response(client, answer)
        if (connection.closed or connection.write_closed) and not client.eof:
            client.eof = True
            if client.buffer and client.disconnected_at is None and not connection.aborted:
                raise CheckFailed(
                    f"client {client.number}: closed within a response: {client.buffer[:40]}"
                )
            self.check_connection_close(client)

    def _handle_response(self, client, answer):
        """Checks a response against the command that it belongs to."""
        if client.answered_count >= len(client.commands):
            if (
                client.malformed_at is not None
                and answer.startswith(b"-ERR syntax")
                or (
                    client.is_slow
                    and client.partial
                    and answer.startswith(b"-ERR no whole command")
                )
            ):
                client.exempt = True
                return
            raise CheckFailed(f"client {client.number}: unexpected response: {answer[:60]}")
        command = client.commands[client.answered_count]
        if command.read_at is None:
            raise CheckFailed(
                f"client {client.number}: {answer[:60]} came before {command.nonce or command.kind} was read"
            )
        client.answered_count += 1
        command.answered_at = self.now
        if command.kind == "ping" and answer != b"+PONG":
            raise CheckFailed(f"PING is answered with {answer[:60]}")
        if command.kind == "wrong" and not answer.startswith(b"-ERR"):
            raise CheckFailed(f"an unsupported command is answered with {answer[:60]}")
        if command.kind != "request":
            return
        if answer.startswith(b"$"):
            nonce = self.responses.pop(answer[1:], None)
            if nonce != command.nonce:
                raise CheckFailed(
                    f"{command.nonce} is answered with {answer[:60]}, made for {nonce}"
                )
        elif answer.startswith(b"-BUSY"):
            may_have_run = [
                one
                for one in self.attempts
                if one.nonce == command.nonce and one.rejected_at is None
            ]
            if may_have_run and command.request_class == "pay":
                raise CheckFailed(f"binding {command.nonce} is rejected though it may have run")
        elif answer.startswith(b"-ERR this id is in hand"):
            others = [
                (other, one)
                for other, one in self.commands_by_nonce.values()
                if one.request_id == command.request_id and one is not command
            ]
            # Compared with when it was read, as the response may have waited behind others.
            if all(
                (one.answered_at or other.connection.closed_at or command.read_at) < command.read_at
                for other, one in others
            ):
                raise CheckFailed(
                    f"{command.nonce}: rejected for its id, which no other open request has"
                )
        elif not answer.startswith(b"-ERR"):
            raise CheckFailed(f"{command.nonce} is answered with {answer[:60]}")

    def check_deadlines(self):
        """Checks that no request is overdue, and that connections close at shutdown."""
        for client in self.clients:
            if (
                client.disconnected_at is not None
                or client.exempt
                or client.is_slow
                and client.answered_count == len(client.commands)
            ):
                continue
            if client.paused_since is not None:
                client.exempt |= self.now >= client.paused_since + STALL_TIMEOUT
                continue
            self.check_closed_after_shutdown(client)
            due = client.resumed_at
            for command in client.commands[client.answered_count :]:
                if command.read_at is None:
                    break
                due = max(due, command.read_at + command.timeout_ms * TICKS_PER_MS)
                if command.answered_at is None and self.now > due + RESPONSE_SLACK:
                    raise CheckFailed(
                        f"client {client.number}: {command.nonce or command.kind} is not answered by its deadline"
                    )

    def check_closed_after_shutdown(self, client):
        """Checks that after `finish` a connection without open requests is closed in time."""
        if (
            self.finished_at is None
            or client.connection.closed
            or client.eof
            or client.partial
            or client.is_slow
            or client.malformed_at is not None
        ):
            return
        if (
            client.answered_count < len(client.commands)
            or client.connection.bytes_read < client.sent_bytes
        ):
            return
        since = max(
            [self.finished_at, client.opened_at, client.resumed_at]
            + [command.answered_at for command in client.commands[: client.answered_count]]
        )
        if not client.commands:  # its first command may be in flight
            since = max(since, client.opened_at + FIRST_COMMAND_WAIT)
        if self.now > since + SHUTDOWN_CLOSE_LIMIT + self.stalled_time_since(since):
            raise CheckFailed(
                f"client {client.number}: owed nothing and open {(self.now - since) / 10_000} s after the end"
            )

    def stalled_time_since(self, since):
        """Returns for how many ticks since then the sidecar could not run."""
        return sum(max(0, until - max(begin, since)) for begin, until in self.stalls)

    def check_connection_close(self, client):
        """Checks that the sidecar had a reason to close a client's connection."""
        if client.disconnected_at is not None or client.exempt:
            return
        if client.paused_since is not None and self.now >= client.paused_since + STALL_TIMEOUT:
            return
        unanswered = [
            command
            for command in client.commands[client.answered_count :]
            if command.read_at is not None
        ]
        if unanswered:
            raise CheckFailed(
                f"client {client.number}: closed with {unanswered[0].nonce or unanswered[0].kind} owed"
            )
        if (
            client.malformed_at is None
            and not client.is_slow
            and self.state == "serving"
            and not self.drains
        ):
            raise CheckFailed(f"client {client.number}: closed without a reason")

    def check_end(self):
        """Checks that all is answered and closed, and that the sidecar holds no state any more."""
        for client in self.clients:
            unanswered = [
                command
                for command in client.commands[client.answered_count :]
                if command.read_at is not None
            ]
            if client.disconnected_at is None and not client.exempt and unanswered:
                raise CheckFailed(
                    f"client {client.number}: {unanswered[0].nonce or unanswered[0].kind} was never answered"
                )
            if not client.connection.closed:
                raise CheckFailed(
                    f"client {client.number}: its connection is still open at the end"
                )
        for connection, unparsed, _ in self.links + self.ended_links:
            if unparsed and hasattr(connection, "endpoint"):
                self.check_first_byte(
                    connection,
                    connection.send_time(connection.parsed_bytes),
                    f"incomplete command to {connection.endpoint.name}",
                )
        if any(listener.is_open for listener in self.reactor.listeners):
            raise CheckFailed("the sidecar still listens at the end")
        if self.shutdown_count != 1:
            raise CheckFailed(
                f"the shutdown callback was called {self.shutdown_count} times, not once"
            )
        proxy = self.proxy
        remaining = {
            "clients": len(proxy.clients),
            "requests in flight": len(proxy.requests_in_flight),
            "request ids": len(proxy.requests.by_id),
            "unwritten attempts": len(proxy.pools.unwritten_attempts()),
            "connecting": proxy.pools.dialling,
            "connections": len(proxy.pools.connections),
            "open requests in the engine": len(proxy.engine.requests.open),
            "platform and discovery calls": proxy.platform.calls_in_flight
            + proxy.discovery.calls_in_flight,
            "attempts in flight per endpoint": sum(
                known.in_flight for known in proxy.engine.context.endpoints.values()
            ),
            "idle connections": sum(len(pool.idle) for pool in proxy.pools.by_pod.values()),
        }
        remaining = {what: count for what, count in remaining.items() if count}
        if remaining:
            raise CheckFailed(f"left at the end: {remaining}")
        recurring_timers = {
            "Proxy.handle_events",
            "Proxy._log_rejections",
            "WatchStream._check_silence",
            "WatchStream._first_data_overdue",
            "WatchStream._start_if_needed",
            "Stream.connect_overdue",
            "Call.connect_overdue",
        }
        request_timers = [
            call.__qualname__
            for call, _ in proxy.timers.pending.values()
            if call.__qualname__ not in recurring_timers
        ]
        pending_names = [call.__name__ for call, _ in proxy.timers.pending.values()]
        if (
            request_timers
            or pending_names.count("handle_events") != 1
            or pending_names.count("_log_rejections") != 1
            or len(pending_names) > 12
        ):
            raise CheckFailed(f"timers left at the end: {request_timers or pending_names}")
        open_ports = [
            connection.port
            for connection in self.sockets
            if not connection.closed and connection.port not in DISCOVERY_PORTS + PLATFORM_PORTS
        ]
        if open_ports:
            raise CheckFailed(f"connections left open to ports {open_ports}")
        if len([connection for connection in self.sockets if not connection.closed]) > 4:
            raise CheckFailed("more than 4 watch stream sockets are left open")

    def check_faults(self):
        """Checks that neither the sidecar nor Twisted has logged an exception."""
        if self.faults:
            raise CheckFailed(f"logged exception: {self.faults[0]}")

    # Orders. Numbers select a client or an endpoint, modulo how many there are.

    def play(self, orders):
        """Runs the orders, then shuts down and checks the end; raises CheckFailed."""
        for name, *arguments, turns in orders:
            getattr(self, name)(*arguments)
            self.run_rounds(None if turns < 0 else turns)
            self.check_deadlines()
            self.check_faults()
        self.finish_run()
        return self

    def finish_run(self):
        """Lets every peer work again, shuts the sidecar down and checks what is left."""
        self.run_rounds()
        if self.stream_mode != "live":
            self.set_stream_mode("live")
        for client in self.clients:
            self.resume_reading(client.number)
        for endpoint in self.endpoints:
            endpoint.mode, endpoint.response_delay, endpoint.connect_mode = (
                ("good" if endpoint.mode != "silent" else "silent"),
                TICKS_PER_MS,
                ACCEPTS,
            )
            self.limit_endpoint_reads(self.endpoints.index(endpoint), None)
        self.finish_connects(True)
        self.advance(1_000 * TICKS_PER_MS)
        self.advance(5_000 * TICKS_PER_MS)
        if self.state == "drained":
            self.undrain()
            self.run_rounds()
        if self.state == "serving":
            self.finish()
        self.advance(6_500 * TICKS_PER_MS)
        self.check_faults()
        self.check_end()

    def select_client(self, number):
        """Returns the client with this number, modulo their count; None if there is none."""
        return self.clients[number % len(self.clients)] if self.clients else None

    def open_client(self):
        """Connects another client while the sidecar accepts and fewer than 6 are connected."""
        listener = self.reactor.listeners[-1]
        if (
            listener.is_open
            and listener.accepting
            and len([one for one in self.clients if one.disconnected_at is None]) < 6
        ):
            client = SteppedClient(self, len(self.clients))
            self.clients.append(client)
            listener.backlog.append(client.connection)

    def _make_request(self, client, request_class, timeout, key, earlier=None):
        self.counter += 1
        nonce = f"n{self.counter}"
        name = earlier.request_id if earlier else f"id{self.counter}"
        request_class = earlier.request_class if earlier else REQUEST_CLASSES[request_class % 3]
        timeout = DEADLINES_MS[timeout % 3]
        arguments = [
            b"SVC.QUERY" if request_class == "read" else b"SVC.SUBMIT",
            b"k%d" % (key % 3),
            name.encode(),
            f"c={request_class},t=x,d={timeout}".encode(),
            nonce.encode(),
        ]
        return SentCommand(
            "request", 0, name, nonce, request_class, timeout, arguments
        ), encode_command(*arguments)

    def _send_command(self, client, command, data):
        if (
            client is None
            or client.disconnected_at is not None
            or client.partial
            or client.malformed_at is not None
            or client.is_slow
        ):
            return
        client.command_started_at = self.now if client.commands else client.opened_at
        before = client.sent_bytes
        client.send(data)
        if client.sent_bytes > before:
            command.end_offset = client.sent_bytes
            client.commands.append(command)
            if command.nonce:
                self.commands_by_nonce[command.nonce] = client, command

    def send_requests(self, number, request_class, timeout_index, key, count):
        """Sends this many requests of one class, timeout and key."""
        client = self.select_client(number)
        for _ in range(count):
            self._send_command(
                client, *self._make_request(client, request_class, timeout_index, key)
            )

    def flood(self, number, timeout_index):
        """Sends 70 reads, more than the sidecar reads at once from one connection."""
        self.send_requests(number, 0, timeout_index, 0, 70)

    def reuse_id(self, number, earlier_index):
        """Sends a request with the id of an earlier one whose client has disconnected."""
        earlier = [
            command
            for client, command in self.commands_by_nonce.values()
            if client.disconnected_at is not None
        ]
        if earlier:
            client = self.select_client(number)
            self._send_command(
                client, *self._make_request(client, 0, 1, 0, earlier[earlier_index % len(earlier)])
            )

    def ping(self, number):
        """Sends a PING."""
        self._send_command(
            self.select_client(number), SentCommand("ping", 0), encode_command("PING")
        )

    def send_unsupported(self, number):
        """Sends a command that the protocol does not have."""
        self._send_command(
            self.select_client(number), SentCommand("wrong", 0), encode_command("GET", "x")
        )

    def send_partial(self, number, request_class, timeout_index):
        """Sends the first 9 bytes of a request."""
        client = self.select_client(number)
        if (
            client
            and client.disconnected_at is None
            and not client.partial
            and client.malformed_at is None
            and not client.is_slow
        ):
            command, data = self._make_request(client, request_class, timeout_index, 1)
            client.command_started_at = self.now if client.commands else client.opened_at
            client.send(data[:9])
            client.partial = command, data[9:]

    def send_remainder(self, number):
        """Sends the rest of a partial request."""
        client = self.select_client(number)
        if client and client.partial and client.disconnected_at is None and not client.is_slow:
            (command, data), client.partial, started_at = (
                client.partial,
                b"",
                client.command_started_at,
            )
            self._send_command(client, command, data)
            client.command_started_at = started_at  # when its first bytes were sent

    def send_garbage(self, number):
        """Sends bytes that are no command."""
        client = self.select_client(number)
        if (
            client
            and client.disconnected_at is None
            and not client.partial
            and client.malformed_at is None
            and not client.is_slow
        ):
            client.send(b"what is this?\r\n")
            client.malformed_at = self.now

    def pause_reading(self, number, budget):
        """Lets a client read only this many more bytes."""
        client = self.select_client(number)
        if client and client.disconnected_at is None:
            client.connection.write_budget = budget
            if client.paused_since is None:
                client.paused_since = self.now

    def resume_reading(self, number):
        """Lets a client read any number of bytes again."""
        client = self.select_client(number)
        if client:
            if client.paused_since is not None and self.now >= client.paused_since + STALL_TIMEOUT:
                client.exempt = True
            client.connection.write_budget, client.paused_since, client.resumed_at = (
                None,
                None,
                self.now,
            )

    def disconnect(self, number, how):
        """Ends a client's connection: `shut` for writing, `close` or `reset`."""
        client = self.select_client(number)
        if client and not DISCONNECTS_WHILE_READING_PAUSED and self.reading_may_be_paused(client):
            return
        if client and client.disconnected_at is None:
            client.disconnected_at = self.now
            unread = (
                client.connection.write_budget is not None
            )  # a full window holds unread bytes, and closing with unread bytes resets
            try:
                unread |= bool(client.connection.remote.recv(1, socket.MSG_PEEK))
            except OSError:
                pass
            client.connection.end_remote("reset" if unread and how == "close" else how)

    def disconnect_before_read(self, number, request_class, how):
        """Sends a request and disconnects while the process is stalled, so both are read late."""
        self.run_rounds()
        self.send_requests(number, request_class, 2, 0, 1)
        self.disconnect(number, how)
        self.stall_process(150)

    def stall_process(self, milliseconds):
        """Keeps the event loop from running; the specification allows for up to 0.15 s."""
        self.stalls.append((self.now, self.now + milliseconds * TICKS_PER_MS))
        self.now += milliseconds * TICKS_PER_MS

    def writes_first(self, first):
        """Sets whether the reactor handles writable sockets before readable ones."""
        self.reactor.writes_first = first

    def reading_may_be_paused(self, client):
        """Whether the sidecar may have stopped reading from this client."""
        return (
            len(client.commands) - client.answered_count > 60
            or client.connection.write_budget is not None
        )

    def set_connect_mode(self, endpoint, how):
        """Sets how an endpoint treats new connections: accepts, refuses or hangs."""
        self.endpoints[endpoint % 3].connect_mode = how

    def finish_connects(self, up):
        """Accepts (`up`) or refuses the connections that hang."""
        pending, self.pending_connects = self.pending_connects, []
        for connect in pending:
            connect.succeed() if up and connect.connection.endpoint is not None else connect.refuse()

    def set_response_mode(self, endpoint, mode, response_delay_ms):
        """Sets what an endpoint responds, and after how many milliseconds."""
        self.endpoints[endpoint % 3].mode, self.endpoints[endpoint % 3].response_delay = (
            mode,
            max(response_delay_ms * TICKS_PER_MS, not RESPONSES_WITHOUT_DELAY),
        )

    def limit_endpoint_reads(self, endpoint, budget):
        """Sets how many more bytes an endpoint reads per connection; None: any number."""
        endpoint = self.endpoints[endpoint % 3]
        budget = endpoint.write_budget = 1 if budget == 0 and not ENDPOINTS_READ_NOTHING else budget
        for connection, *_ in self.links:
            if getattr(connection, "endpoint", None) is endpoint:
                connection.write_budget = budget

    def close_endpoint_connections(self, endpoint, how):
        """Ends all connections to an endpoint: `shut`, `close` or `reset`."""
        for connection, *_ in self.links:
            if getattr(connection, "endpoint", None) is self.endpoints[endpoint % 3]:
                connection.end_remote(how)

    def change_endpoint(self, endpoint, what):
        """Changes an endpoint's listed state, port, process or build, and sends the change."""
        endpoint = self.endpoints[endpoint % 3]
        if what == "moved":
            endpoint.port += 10
        elif what == "restarted":
            endpoint.started, endpoint.state = self.now // 10, "Ready"
        elif what == "other build":
            endpoint.build, endpoint.started, endpoint.state = (
                83 - endpoint.build if endpoint.build in (41, 42) else 42,
                self.now // 10,
                "Ready",
            )
        else:
            endpoint.state = what
        self.push_endpoints([endpoint])

    def push_full_list(self):
        """Sends the whole endpoint list."""
        if any(endpoint.state != "Gone" for endpoint in self.endpoints):
            self.push_endpoints(self.endpoints, full=True)

    def change_release(self, status, cap):
        """Changes the release state and its cap, and sends it; `next` starts another build."""
        if status == "next":
            self.release = {
                **self.release,
                "version": self.release["version"] + 1,
                "step": 0,
                "status": "trial",
            }
        else:
            self.release = {
                **self.release,
                "status": status,
                "step": 1,
            }  # the last of the two stages in the settings
        self.release["maxWeight"] = {"rolling_back": 0.0, "withdrawn": 0.0, "released": 1.0}.get(
            status, cap
        )
        self.push_release()

    def set_stream_mode(self, mode):
        """Sets whether watch streams are live, silent or ended."""
        self.stream_mode = mode
        if mode == "ended":
            for connection in self.streams:
                connection.end_remote("close")
            self.streams = []

    def change_addresses(self, discovery, platform):
        """Reloads the configuration with other discovery and platform addresses."""
        config = copy.deepcopy(self.config)
        config["discovery"] = f"127.0.0.1:{DISCOVERY_PORTS[discovery % 2]}"
        config["deployer"]["address"] = f"127.0.0.1:{PLATFORM_PORTS[platform % 2]}"
        self.proxy.reconfigure(configuration.parse(config, 0))

    def advance_time(self, milliseconds):
        """Advances the clock."""
        self.advance(milliseconds * TICKS_PER_MS)

    def _on_shut_down(self):
        self.shutdown_count += 1

    def drain(self):
        """Drains the sidecar if it serves."""
        if self.state == "serving":
            self.state, self.drains = "drained", self.drains + 1
            self.proxy.drain(lambda: None)

    def undrain(self):
        """Ends a drain."""
        if self.state == "drained":
            self.state = "serving"
            self.proxy.undrain(lambda: None, lambda why: self.faults.append(f"undrain: {why}"))
            if not DRAINS_DURING_UNDRAIN:
                self.run_rounds()

    def finish(self):
        """Shuts the sidecar down."""
        if self.state != "finishing":
            self.state, self.finished_at = "finishing", self.now
            self.proxy.shut_down(self._on_shut_down)


def play(*orders):
    """Runs these orders on a new sidecar; raises CheckFailed if a check fails."""
    rig = Rig()
    try:
        return rig.play(orders)
    finally:
        rig.close()


def minimize(setup_orders, orders, error, max_runs=150):
    """Returns fewer orders that fail with the same error, as far as `max_runs` runs can find them.

    Errors are the same if they differ in digits alone.
    """

    def shows(candidate):
        try:
            play(*setup_orders, *candidate)
        except Exception as other:
            return re.sub(r"\d+", "", repr(other)) == re.sub(r"\d+", "", repr(error))
        return False

    orders, size = list(orders), max(1, len(orders) // 2)
    while max_runs > 0:
        at, before = 0, len(orders)
        while at < len(orders) and max_runs > 0:
            max_runs -= 1
            candidate = orders[:at] + orders[at + size :]
            if shows(candidate):
                orders = candidate
            else:
                at += size
        if size == 1 and len(orders) == before:
            break
        size = max(1, size // 2)
    return orders
