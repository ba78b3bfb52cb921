"""A sidecar between clients, pods, discovery and the platform, on Twisted's own TCP transports and a stepped clock.

Each connection is a pair of sockets of the machine's: what is read, written, closed and left unread is real. What a
pair can't show of TCP (a reset, a window that is full, a dial that hangs) is added in Wire, as tcp.py meets it. The
checker sees the bytes on the clients' side and the pods' side and the time, not the sidecar's books, but at the end.
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

TICKS_PER_MS = 10  # times are whole tenths of a millisecond, as the sidecar's
START_TICKS = 1_000_000
RESPONSE_SLACK = 500 * TICKS_PER_MS  # beyond a request's time, for its answer
UPDATE_SLACK = 50 * TICKS_PER_MS  # every time limit of the protocol is longer by this
CAP_UPDATE_SLACK = 150 * TICKS_PER_MS  # a lower cap binds then
DISCONNECT_SLACK = 100 * TICKS_PER_MS  # attempts for a client that has gone
STALL_TIMEOUT = 9_900 * TICKS_PER_MS  # a client that reads nothing for so long may be cut off
SHUTDOWN_CLOSE_LIMIT = (
    150 * TICKS_PER_MS
)  # after SIGTERM's end of service, for a connection that is owed nothing
FIRST_COMMAND_WAIT = (
    500 * TICKS_PER_MS
)  # a new connection is waited for so long, for the command that it was opened for
COMMAND_TIMEOUT = 2_400 * TICKS_PER_MS  # a command that takes so long to come may be turned away
REQUEST_CLASSES = ("read", "mark", "pay")
DEADLINES_MS = (300, 1500, 4000)  # milliseconds that a client waits
DEDUPLICATION_WINDOW, MAX_ATTEMPTS = (
    5_000 * TICKS_PER_MS,
    4,
)  # of the settings: how long a fingerprint holds, attempts
DISCOVERY_PORTS, PLATFORM_PORTS = (2, 8), (3, 9)
REFUSES, HANGS, ACCEPTS = "refuses", "hangs", "comes up"

# Faults of the program that are known and not mended yet are left out of the drawn orders by these switches; each has
# a test of its own in test_orders.py. Once one is mended, True draws it again.
DISCONNECTS_WHILE_READING_PAUSED = True  # a client leaves while the sidecar does not read from it
DUPLICATE_RESPONSES_REACH_NEXT_REQUEST = (
    True  # a pod's second copy of an answer comes after the connection's next request
)
RESPONSES_WITHOUT_DELAY = True  # a pod answers within the same tenth of a millisecond
ENDPOINTS_READ_NOTHING = True  # not one byte of an attempt goes out before its pod is told draining
DRAINS_DURING_UNDRAIN = (
    True  # `drain` or `finish` before the listener that an `undrain` waits for has closed
)


SHORT_IDLE_SETTINGS = copy.deepcopy(
    SETTINGS
)  # idle connections to pods are retired soon, or the ends take long
SHORT_IDLE_SETTINGS["permissions"]["conn_idle"] = 4_000_000_000


class SentCommand:
    """A command as its client sent it."""

    def __init__(self, kind, end, name=None, nonce=None, lane=None, left=0, wants=None):
        self.kind, self.end, self.name, self.nonce, self.lane = kind, end, name, nonce, lane
        self.left, self.wants, self.read_at, self.answered = left, wants, None, None


class SteppedClient:
    def __init__(self, rig, number):
        self.rig, self.number, self.wire = rig, number, FakeSocket(rig)
        self.asked, self.out, self.buffer, self.got = [], 0, b"", 0
        self.half, self.spoilt_at, self.gone_at, self.stalled_since, self.freed_at = (
            b"",
            None,
            None,
            None,
            0,
        )
        self.excused, self.eof, self.was_slow = False, False, False
        self.begun_at, self.opened_at = rig.now, rig.now

    def send(self, data):
        if self.gone_at is None and self.wire.put(data):
            self.out += len(data)

    @property
    def slow(self):
        """It may be turned away: its first command, or half of one, is too long in coming."""
        self.was_slow |= (
            bool(self.half or not self.asked) and self.rig.now >= self.begun_at + COMMAND_TIMEOUT
        )
        return self.was_slow


class ReceivedAttempt:
    """A command that came whole to a pod."""

    def __init__(self, pod, wire, words, begun, whole):
        self.pod, self.wire, self.words, self.begun, self.whole = pod, wire, words, begun, whole
        self.build, self.nonce, self.turned_away, self.end = pod.build, words[4].decode(), None, 0


class SteppedEndpoint:
    def __init__(self, rig, number, build):
        self.rig, self.name, self.build, self.port = rig, f"s-{number}", build, 7000 + number
        self.state, self.started, self.mode, self.lag = "Ready", 0, "good", 40 * TICKS_PER_MS
        self.dials, self.budget = ACCEPTS, None
        self.known = 0, build
        self.builds_known = [(0, build)]  # (from when, the build that it was listed with)
        self.barred_at, self.stale_at = (
            None,
            None,
        )  # told: nothing new; nothing on what was dialled before

    def build_known_at(self, moment):
        """The build that it was listed with then."""
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
    """The words of the first command in the buffer and its length, or None."""
    found = re.match(rb"\*(\d+)\r\n", buffer)
    if not found:
        return None
    at, words = found.end(), []
    for _ in range(int(found[1])):
        size = re.compile(rb"\$(\d+)\r\n").match(buffer, at)
        if not size or len(buffer) < size.end() + int(size[1]) + 2:
            return None
        words.append(buffer[size.end() : size.end() + int(size[1])])
        at = size.end() + int(size[1]) + 2
    return words, at


def parse_response(buffer):
    """The first answer in the buffer and its length, or None."""
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
    """play(orders) gives them one after another, lets all run to an end and checks it."""

    def __init__(self):
        self.now, self.wires, self.soon, self.count = START_TICKS, [], [], 0
        self.hold_ups = []  # (from, until): the sidecar did not run
        self.stirred = self.touched = False  # in this round; by the others, for the next one
        self.clients, self.links, self.attempts, self.made, self.faults = [], [], [], {}, []
        self.ended_links = []
        self.by_nonce, self.streams, self.stream_mode, self.version = {}, [], "live", 7
        self.emptied, self.drains, self.state, self.finished_at = 0, 0, "serving", None
        self.pods = [
            SteppedEndpoint(self, 1, 41),
            SteppedEndpoint(self, 2, 41),
            SteppedEndpoint(self, 3, 42),
        ]
        self.news = {
            "version": 42,
            "step": 1,
            "status": "trial",
            "maxWeight": 1.0,
            "observedAgoMs": 0,
        }
        self.told_news, self.closed_at = (
            dict(self.news),
            None,
        )  # the newest build takes nothing: from when
        self.waits, self.told = (
            [],
            {
                "name": "n1",
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "seed": "1f",
                "limits": {"sockets": 1024},
                "settings": SHORT_IDLE_SETTINGS,
                "deployer": {"address": "127.0.0.1:3", "news": dict(self.news)},
                "known": {"version": 7, "full": True, "servers": [p.entry() for p in self.pods]},
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
            configuration.parse(self.told, 0),
            self.reactor,
            TimerQueue(lambda: self.now, self.reactor.callLater, fault),
            0,
        )
        self.proxy.begin()
        self.proxy.serve()
        self.turn()

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

    def over(self):
        for patch in self.patches:
            patch.stop()
        twisted_log.removeObserver(self._observe)
        self.reactor.over()
        for wire in self.wires:
            wire.real.close()
            wire.far.close()

    # The loop and the clock.

    def once(self):
        self.stirred, self.touched = self.touched, False
        while self.soon and self.soon[0][0] <= self.now:
            self.stirred = True
            heappop(self.soon)[2]()
        due = self.reactor.next_due()
        self.stirred |= due is not None and due <= self.reactor.seconds()
        self.reactor.runUntilCurrent()
        self.reactor.doIteration(0)
        if self.stirred:
            self.others()

    def turn(self, times=None):
        """So many rounds of the loop; else until nothing stirs."""
        quiet = 0
        for _ in range(2000 if times is None else times):
            self.once()
            quiet = 0 if self.stirred else quiet + 1
            if quiet == 1 and times is None:
                return
        if times is None:
            raise CheckFailed("the loop does not come to rest")

    def later(self, after, call):
        self.count += 1
        heappush(self.soon, (self.now + after, self.count, call))

    def wait(self, span):
        """Passes time, from one thing that is due to the next."""
        until = self.now + span
        while self.now < until:
            due = self.reactor.next_due()
            times = [until] + ([self.soon[0][0]] if self.soon else [])
            if due is not None:
                times.append(int(due * 10_000 + 0.99))
            self.now = max(self.now + 1, min(times))
            self.turn()
            self.check_times()

    # The others' parts.

    def others(self):
        for client in self.clients:
            self._hear(client)
        for link in self.links:
            self._serve(link)
        # Read to the end: the rest is for the checker alone.
        self.links = [link for link in self.links if not link[0].closed] + [
            link for link in self.links if link[0].closed and self.ended_links.append(link)
        ]

    def dialled(self, dial):
        port = dial.addr[1]
        if port in DISCOVERY_PORTS + PLATFORM_PORTS:
            dial.come_up() if self.stream_mode != "ended" else dial.refuse()
            return
        pod = next((pod for pod in self.pods if pod.port == port), None)
        how = REFUSES if pod is None or pod.state == "Gone" else pod.dials
        dial.wire.pod = pod
        if how == ACCEPTS:
            dial.come_up()
        elif how == REFUSES:
            dial.refuse()
        else:
            self.waits.append(dial)

    def came_up(self, wire):
        if wire.port in DISCOVERY_PORTS + PLATFORM_PORTS:
            self.links.append([wire, b"", self._stream])
        else:
            wire.budget = wire.pod.budget
            wire.parsed, wire.answers = 0, []
            self.links.append([wire, b"", self._requests])

    def _serve(self, link):
        wire = link[0]
        data = wire.pull()
        if data:
            link[1] += data
            link[2](link)

    def _stream(self, link):
        wire = link[0]
        while b"\r\n\r\n" in link[1]:
            head, _, link[1] = link[1].partition(b"\r\n\r\n")
            if head.startswith(b"POST"):
                body = b"<Error><Code>throttled</Code></Error>"
                wire.put(b"HTTP/1.1 400 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                link[1] = b""
                continue
            wire.put(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            wire.lists = wire.port in DISCOVERY_PORTS
            self.streams.append(wire)
            if self.stream_mode == "live":
                self.tell_pods(self.pods, full=True, to=[wire]) if wire.lists else self.tell_news(
                    to=[wire]
                )
            self._life(wire)

    def _life(self, wire):
        if wire.closed or wire not in self.streams:
            return
        if self.stream_mode == "live":
            wire.put(b"1\r\n\n\r\n" if wire.lists else b"2\r\n:\n\r\n")
        self.later(10_000, lambda: self._life(wire))

    def _push(self, text, lists, told, to=None):
        """told() is called as the sidecar reads the last byte."""
        data = b"%x\r\n%s\r\n" % (len(text), text)
        for wire in to or self.streams:
            if (
                wire.lists == lists
                and self.stream_mode == "live"
                and not wire.closed
                and wire.put(data)
            ):
                wire.marks.append((self._put_so_far(wire), told))

    def _put_so_far(self, wire):
        waiting = 0
        try:
            waiting = len(wire.real.recv(1 << 24, socket.MSG_PEEK))
        except OSError:
            pass
        return wire.read + waiting

    def tell_pods(self, pods, full=False, to=None):
        self.version += 1
        entries = [pod.entry() for pod in pods if not full or pod.state != "Gone"]
        states = [(pod, pod.state, pod.started, pod.build) for pod in pods]

        def told():
            for pod, state, started, build in states:
                if pod.known != (started, build):
                    pod.stale_at = self.now
                pod.known = started, build
                pod.builds_known.append((self.now, build))
                if state == "Ready":
                    pod.barred_at = None
                elif pod.barred_at is None:
                    pod.barred_at = self.now

        self._push(
            json.dumps({"version": self.version, "full": full, "servers": entries}).encode()
            + b"\n",
            True,
            told,
            to,
        )

    def tell_news(self, to=None):
        news = dict(self.news)

        def told():
            shut = news["maxWeight"] <= 0
            if self.told_news is None or self.told_news["version"] != news["version"] or not shut:
                self.closed_at = None
            if shut and self.closed_at is None:
                self.closed_at = self.now
            self.told_news = news

        words = "&".join(f"{name}={value}" for name, value in news.items())
        self._push(f"event: progress\ndata: {words}\n\n".encode(), False, told, to)

    def _requests(self, link):
        wire, pod = link[0], link[0].pod
        while (found := parse_command(link[1])) is not None:
            words, length = found
            begin, link[1] = wire.parsed, link[1][length:]
            wire.parsed += length
            attempt = ReceivedAttempt(
                pod, wire, words, wire.written_at(begin), wire.written_at(wire.parsed - 1)
            )
            attempt.end = wire.parsed
            self.attempts.append(attempt)
            self.check_attempt(attempt)
            if pod.mode != "silent":
                self.later(
                    pod.lag, lambda attempt=attempt, mode=pod.mode: self._answer(attempt, mode)
                )

    def _answer(self, attempt, mode):
        wire = attempt.wire
        if mode in ("good", "big", "duplicate", "truncated", "malformed"):
            self.count += 1
            value = f"{attempt.nonce}:{self.count}".encode() + b"." * (
                60_000 if mode == "big" else 0
            )
            good = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)
            if mode == "truncated":
                wire.put(good[: len(good) // 2])
                return
            if mode == "malformed":
                wire.put(b"*3\r\n$%d\r\n" % (len(value) - 1) + good[good.index(value) :])
                return
            self.made[value] = attempt.nonce
            wire.put(good)
            if mode == "duplicate":
                self.later(5 * TICKS_PER_MS, lambda: self._second_copy(attempt, good))
        elif mode == "error":
            wire.put(b"-ERR failed\r\n")
        elif mode == "busy":
            if wire.put(b"-BUSY\r\n"):
                attempt.turned_away = self.now
        else:
            wire.end("reset")

    def _second_copy(self, attempt, good):
        if DUPLICATE_RESPONSES_REACH_NEXT_REQUEST or attempt.wire.sent == attempt.end:
            attempt.wire.put(good)

    # The checker.

    def check_attempt(self, attempt):
        pod, nonce = attempt.pod, attempt.nonce
        client, asked = self.by_nonce[nonce]
        if attempt.words[:3] != asked.wants[:3] or attempt.words[4:] != asked.wants[4:]:
            raise CheckFailed(f"a pod got {attempt.words}, its client sent {asked.wants}")
        earlier = [
            other for other in self.attempts if other.nonce == nonce and other is not attempt
        ]
        if len(earlier) >= MAX_ATTEMPTS:
            raise CheckFailed(f"{nonce} is sent for the {len(earlier) + 1}th time")
        perhaps = [
            other
            for other in earlier
            if other.turned_away is None or other.turned_away > attempt.whole
        ]
        if perhaps and asked.lane == "pay":
            raise CheckFailed(f"binding {nonce} is sent again while it may have run")
        if (
            perhaps
            and asked.lane == "mark"
            and attempt.whole >= perhaps[0].whole + DEDUPLICATION_WINDOW
        ):
            raise CheckFailed(f"fingerprinted {nonce} is sent again after its window")
        self.check_begun(attempt.wire, attempt.begun, f"{nonce} to {pod.name}")
        if client.gone_at is not None and attempt.whole > client.gone_at + DISCONNECT_SLACK:
            raise CheckFailed(
                f"{nonce} is sent {(attempt.whole - client.gone_at) / 10_000} s after its client left"
            )

    def check_begun(self, wire, begun, what):
        pod = wire.pod
        if pod.barred_at is not None and begun > pod.barred_at + UPDATE_SLACK:
            raise CheckFailed(f"{what}: begun after its drain was told")
        if (
            pod.stale_at is not None
            and wire.made_at < pod.stale_at
            and begun > pod.stale_at + UPDATE_SLACK
        ):
            raise CheckFailed(f"{what}: begun on a connection to the process before")
        if (
            self.closed_at is not None
            and pod.build_known_at(begun) >= self.told_news["version"]
            and begun > self.closed_at + CAP_UPDATE_SLACK
        ):
            raise CheckFailed(f"{what}: begun though the newest build takes nothing")

    def _hear(self, client):
        wire = client.wire
        for asked in client.asked:
            if asked.read_at is None and asked.end <= wire.read:
                asked.read_at = self.now
        if wire.far_gone:
            return
        client.buffer += wire.pull()
        while (found := parse_response(client.buffer)) is not None:
            answer, length = found
            client.buffer = client.buffer[length:]
            self._answered(client, answer)
        if (wire.closed or wire.shut) and not client.eof:
            client.eof = True
            if client.buffer and client.gone_at is None and not wire.aborted:
                raise CheckFailed(
                    f"client {client.number}: closed within an answer: {client.buffer[:40]}"
                )
            self.check_closed(client)

    def _answered(self, client, answer):
        if client.got >= len(client.asked):
            if (
                client.spoilt_at is not None
                and answer.startswith(b"-ERR syntax")
                or (client.slow and client.half and answer.startswith(b"-ERR no whole command"))
            ):
                client.excused = True
                return
            raise CheckFailed(
                f"client {client.number}: an answer that nothing asked for: {answer[:60]}"
            )
        asked = client.asked[client.got]
        if asked.read_at is None:
            raise CheckFailed(
                f"client {client.number}: {answer[:60]} before {asked.nonce or asked.kind} was read"
            )
        client.got += 1
        asked.answered = self.now
        if asked.kind == "ping" and answer != b"+PONG":
            raise CheckFailed(f"PING is answered with {answer[:60]}")
        if asked.kind == "wrong" and not answer.startswith(b"-ERR"):
            raise CheckFailed(f"what is no request is answered with {answer[:60]}")
        if asked.kind != "request":
            return
        if answer.startswith(b"$"):
            nonce = self.made.pop(answer[1:], None)
            if nonce != asked.nonce:
                raise CheckFailed(f"{asked.nonce} is answered with {answer[:60]}, made for {nonce}")
        elif answer.startswith(b"-BUSY"):
            perhaps = [
                one for one in self.attempts if one.nonce == asked.nonce and one.turned_away is None
            ]
            if perhaps and asked.lane == "pay":
                raise CheckFailed(f"binding {asked.nonce} is refused though it may have run")
        elif answer.startswith(b"-ERR this id is in hand"):
            others = [
                (other, one)
                for other, one in self.by_nonce.values()
                if one.name == asked.name and one is not asked
            ]
            # As it was read: the answer may have waited behind others.
            if all(
                (one.answered or other.wire.closed_at or asked.read_at) < asked.read_at
                for other, one in others
            ):
                raise CheckFailed(
                    f"{asked.nonce}: no other holds its id, and it is turned away for it"
                )
        elif not answer.startswith(b"-ERR"):
            raise CheckFailed(f"{asked.nonce} is answered with {answer[:60]}")

    def check_times(self):
        for client in self.clients:
            if (
                client.gone_at is not None
                or client.excused
                or client.slow
                and client.got == len(client.asked)
            ):
                continue
            if client.stalled_since is not None:
                client.excused |= self.now >= client.stalled_since + STALL_TIMEOUT
                continue
            self.check_finished(client)
            due = client.freed_at
            for asked in client.asked[client.got :]:
                if asked.read_at is None:
                    break
                due = max(due, asked.read_at + asked.left * TICKS_PER_MS)
                if asked.answered is None and self.now > due + RESPONSE_SLACK:
                    raise CheckFailed(
                        f"client {client.number}: {asked.nonce or asked.kind} is not answered in time"
                    )

    def check_finished(self, client):
        """After `finish` one that is owed nothing closes."""
        if (
            self.finished_at is None
            or client.wire.closed
            or client.eof
            or client.half
            or client.slow
            or client.spoilt_at is not None
        ):
            return
        if client.got < len(client.asked) or client.wire.read < client.out:
            return
        since = max(
            [self.finished_at, client.opened_at, client.freed_at]
            + [asked.answered for asked in client.asked[: client.got]]
        )
        if not client.asked:  # its first command may be on its way
            since = max(since, client.opened_at + FIRST_COMMAND_WAIT)
        if self.now > since + SHUTDOWN_CLOSE_LIMIT + self.held_since(since):
            raise CheckFailed(
                f"client {client.number}: owed nothing and open {(self.now - since) / 10_000} s after the end"
            )

    def held_since(self, since):
        """For how long the sidecar has been held up since this moment: it can't close anything then."""
        return sum(max(0, until - max(begin, since)) for begin, until in self.hold_ups)

    def check_closed(self, client):
        if client.gone_at is not None or client.excused:
            return
        if client.stalled_since is not None and self.now >= client.stalled_since + STALL_TIMEOUT:
            return
        owed = [asked for asked in client.asked[client.got :] if asked.read_at is not None]
        if owed:
            raise CheckFailed(
                f"client {client.number}: closed with {owed[0].nonce or owed[0].kind} owed"
            )
        if (
            client.spoilt_at is None
            and not client.slow
            and self.state == "serving"
            and not self.drains
        ):
            raise CheckFailed(f"client {client.number}: closed for no reason")

    def check_end(self):
        for client in self.clients:
            owed = [asked for asked in client.asked[client.got :] if asked.read_at is not None]
            if client.gone_at is None and not client.excused and owed:
                raise CheckFailed(
                    f"client {client.number}: {owed[0].nonce or owed[0].kind} was never answered"
                )
            if not client.wire.closed:
                raise CheckFailed(f"client {client.number}: its connection is open at the end")
        for wire, rest, _ in self.links + self.ended_links:
            if rest and hasattr(wire, "pod"):
                self.check_begun(
                    wire, wire.written_at(wire.parsed), f"half a command to {wire.pod.name}"
                )
        if any(door.open for door in self.reactor.doors):
            raise CheckFailed("it listens at the end")
        if self.emptied != 1:
            raise CheckFailed(f"emptied was called {self.emptied} times")
        proxy = self.proxy
        left = {
            "clients": len(proxy.clients),
            "transactions": len(proxy.requests_in_flight),
            "ids": len(proxy.requests.by_id),
            "waiting": len(proxy.pools.unwritten_attempts()),
            "dialling": proxy.pools.dialling,
            "connections": len(proxy.pools.connections),
            "open to decide": len(proxy.engine.requests.open),
            "calls": proxy.platform.calls_in_flight + proxy.discovery.calls_in_flight,
            "counted out": sum(
                known.in_flight for known in proxy.engine.context.endpoints.values()
            ),
            "idle": sum(len(pool.idle) for pool in proxy.pools.by_pod.values()),
        }
        left = {what: count for what, count in left.items() if count}
        if left:
            raise CheckFailed(f"left at the end: {left}")
        standing = {
            "Proxy.handle_events",
            "Proxy._log_rejections",
            "WatchStream._check_silence",
            "WatchStream._first_data_overdue",
            "WatchStream._start_if_needed",
            "Stream.connect_overdue",
            "Call.connect_overdue",
        }
        live = [
            call.__qualname__
            for call, _ in proxy.timers.pending.values()
            if call.__qualname__ not in standing
        ]
        periodic = [call.__name__ for call, _ in proxy.timers.pending.values()]
        if (
            live
            or periodic.count("handle_events") != 1
            or periodic.count("_log_rejections") != 1
            or len(periodic) > 12
        ):
            raise CheckFailed(f"deadlines left: {live or periodic}")
        open_ = [
            wire.port
            for wire in self.wires
            if not wire.closed and wire.port not in DISCOVERY_PORTS + PLATFORM_PORTS
        ]
        if open_:
            raise CheckFailed(f"descriptors left open: {open_}")
        if len([wire for wire in self.wires if not wire.closed]) > 4:
            raise CheckFailed("streams left open")

    def check_faults(self):
        if self.faults:
            raise CheckFailed(f"a fault: {self.faults[0]}")

    # The orders. Numbers choose among what is there.

    def play(self, orders):
        for name, *arguments, turns in orders:
            getattr(self, name)(*arguments)
            self.turn(None if turns < 0 else turns)
            self.check_times()
            self.check_faults()
        self.end()
        return self

    def end(self):
        self.turn()
        if self.stream_mode != "live":
            self.set_stream_mode("live")
        for client in self.clients:
            self.resume_reading(client.number)
        for pod in self.pods:
            pod.mode, pod.lag, pod.dials = (
                ("good" if pod.mode != "silent" else "silent"),
                TICKS_PER_MS,
                ACCEPTS,
            )
            self.limit_endpoint_reads(self.pods.index(pod), None)
        self.finish_connects(True)
        self.wait(1_000 * TICKS_PER_MS)
        self.wait(5_000 * TICKS_PER_MS)
        if self.state == "drained":
            self.undrain()
            self.turn()
        if self.state == "serving":
            self.finish()
        self.wait(6_500 * TICKS_PER_MS)
        self.check_faults()
        self.check_end()

    def client(self, number):
        return self.clients[number % len(self.clients)] if self.clients else None

    def open_client(self):
        door = self.reactor.doors[-1]
        if (
            door.open
            and door.lets_in
            and len([one for one in self.clients if one.gone_at is None]) < 6
        ):
            client = SteppedClient(self, len(self.clients))
            self.clients.append(client)
            door.queue.append(client.wire)

    def _request(self, client, lane, left, key, of=None):
        self.count += 1
        nonce = f"n{self.count}"
        name = of.name if of else f"id{self.count}"
        lane = of.lane if of else REQUEST_CLASSES[lane % 3]
        left = DEADLINES_MS[left % 3]
        words = [
            b"SVC.QUERY" if lane == "read" else b"SVC.SUBMIT",
            b"k%d" % (key % 3),
            name.encode(),
            f"c={lane},t=x,d={left}".encode(),
            nonce.encode(),
        ]
        return SentCommand("request", 0, name, nonce, lane, left, words), encode_command(*words)

    def _put(self, client, asked, data):
        if (
            client is None
            or client.gone_at is not None
            or client.half
            or client.spoilt_at is not None
            or client.slow
        ):
            return
        client.begun_at = self.now if client.asked else client.opened_at
        before = client.out
        client.send(data)
        if client.out > before:
            asked.end = client.out
            client.asked.append(asked)
            if asked.nonce:
                self.by_nonce[asked.nonce] = client, asked

    def send_requests(self, number, lane, left, key, count):
        client = self.client(number)
        for _ in range(count):
            self._put(client, *self._request(client, lane, left, key))

    def flood(self, number, left):
        self.send_requests(number, 0, left, 0, 70)

    def reuse_id(self, number, of):
        """With the id of an earlier one, after that one's connection was closed."""
        earlier = [asked for client, asked in self.by_nonce.values() if client.gone_at is not None]
        if earlier:
            client = self.client(number)
            self._put(client, *self._request(client, 0, 1, 0, earlier[of % len(earlier)]))

    def ping(self, number):
        self._put(self.client(number), SentCommand("ping", 0), encode_command("PING"))

    def send_unsupported(self, number):
        self._put(self.client(number), SentCommand("wrong", 0), encode_command("GET", "x"))

    def send_partial(self, number, lane, left):
        client = self.client(number)
        if (
            client
            and client.gone_at is None
            and not client.half
            and client.spoilt_at is None
            and not client.slow
        ):
            asked, data = self._request(client, lane, left, 1)
            client.begun_at = self.now if client.asked else client.opened_at
            client.send(data[:9])
            client.half = asked, data[9:]

    def send_remainder(self, number):
        client = self.client(number)
        if client and client.half and client.gone_at is None and not client.slow:
            (asked, data), client.half, begun_at = client.half, b"", client.begun_at
            self._put(client, asked, data)
            client.begun_at = begun_at  # the command began to come then

    def send_garbage(self, number):
        client = self.client(number)
        if (
            client
            and client.gone_at is None
            and not client.half
            and client.spoilt_at is None
            and not client.slow
        ):
            client.send(b"what is this?\r\n")
            client.spoilt_at = self.now

    def pause_reading(self, number, budget):
        client = self.client(number)
        if client and client.gone_at is None:
            client.wire.budget = budget
            if client.stalled_since is None:
                client.stalled_since = self.now

    def resume_reading(self, number):
        client = self.client(number)
        if client:
            if (
                client.stalled_since is not None
                and self.now >= client.stalled_since + STALL_TIMEOUT
            ):
                client.excused = True
            client.wire.budget, client.stalled_since, client.freed_at = None, None, self.now

    def disconnect(self, number, how):
        client = self.client(number)
        if client and not DISCONNECTS_WHILE_READING_PAUSED and self.may_not_be_read(client):
            return
        if client and client.gone_at is None:
            client.gone_at = self.now
            unread = (
                client.wire.budget is not None
            )  # a window that is full is of bytes not read: closing resets
            try:
                unread |= bool(client.wire.far.recv(1, socket.MSG_PEEK))
            except OSError:
                pass
            client.wire.end("reset" if unread and how == "close" else how)

    def disconnect_before_read(self, number, lane, how):
        """Asks and leaves while the loop is held up: by the time that it reads what was asked, all is long over."""
        self.turn()
        self.send_requests(number, lane, 2, 0, 1)
        self.disconnect(number, how)
        self.stall_process(150)

    def stall_process(self, milliseconds):
        """The process gets no processor for so long: the page allows for up to 0.15 s. Its loop does not run."""
        self.hold_ups.append((self.now, self.now + milliseconds * TICKS_PER_MS))
        self.now += milliseconds * TICKS_PER_MS

    def writes_first(self, first):
        self.reactor.writes_first = first

    def may_not_be_read(self, client):
        return len(client.asked) - client.got > 60 or client.wire.budget is not None

    def set_connect_mode(self, pod, how):
        self.pods[pod % 3].dials = how

    def finish_connects(self, up):
        """What hangs comes up late, or is refused."""
        waits, self.waits = self.waits, []
        for dial in waits:
            dial.come_up() if up and dial.wire.pod is not None else dial.refuse()

    def set_response_mode(self, pod, mode, lag):
        self.pods[pod % 3].mode, self.pods[pod % 3].lag = (
            mode,
            max(lag * TICKS_PER_MS, not RESPONSES_WITHOUT_DELAY),
        )

    def limit_endpoint_reads(self, pod, budget):
        pod = self.pods[pod % 3]
        budget = pod.budget = 1 if budget == 0 and not ENDPOINTS_READ_NOTHING else budget
        for wire, *_ in self.links:
            if getattr(wire, "pod", None) is pod:
                wire.budget = budget

    def close_endpoint_connections(self, pod, how):
        for wire, *_ in self.links:
            if getattr(wire, "pod", None) is self.pods[pod % 3]:
                wire.end(how)

    def change_endpoint(self, pod, what):
        pod = self.pods[pod % 3]
        if what == "moved":
            pod.port += 10
        elif what == "restarted":
            pod.started, pod.state = self.now // 10, "Ready"
        elif what == "other build":
            pod.build, pod.started, pod.state = (
                83 - pod.build if pod.build in (41, 42) else 42,
                self.now // 10,
                "Ready",
            )
        else:
            pod.state = what
        self.tell_pods([pod])

    def push_full_list(self):
        if any(pod.state != "Gone" for pod in self.pods):
            self.tell_pods(self.pods, full=True)

    def change_release(self, status, cap):
        if status == "next":
            self.news = {
                **self.news,
                "version": self.news["version"] + 1,
                "step": 0,
                "status": "trial",
            }
        else:
            self.news = {
                **self.news,
                "status": status,
                "step": 1,
            }  # of two stages, as the settings have it
        self.news["maxWeight"] = {"rolling_back": 0.0, "withdrawn": 0.0, "released": 1.0}.get(
            status, cap
        )
        self.tell_news()

    def set_stream_mode(self, mode):
        self.stream_mode = mode
        if mode == "ended":
            for wire in self.streams:
                wire.end("close")
            self.streams = []

    def change_addresses(self, discovery, platform):
        told = copy.deepcopy(self.told)
        told["discovery"] = f"127.0.0.1:{DISCOVERY_PORTS[discovery % 2]}"
        told["deployer"]["address"] = f"127.0.0.1:{PLATFORM_PORTS[platform % 2]}"
        self.proxy.reconfigure(configuration.parse(told, 0))

    def advance_time(self, milliseconds):
        self.wait(milliseconds * TICKS_PER_MS)

    def _emptied(self):
        self.emptied += 1

    def drain(self):
        if self.state == "serving":
            self.state, self.drains = "drained", self.drains + 1
            self.proxy.drain(lambda: None)

    def undrain(self):
        if self.state == "drained":
            self.state = "serving"
            self.proxy.undrain(lambda: None, lambda why: self.faults.append(f"undrain: {why}"))
            if not DRAINS_DURING_UNDRAIN:
                self.turn()

    def finish(self):
        if self.state != "finishing":
            self.state, self.finished_at = "finishing", self.now
            self.proxy.shut_down(self._emptied)


def play(*orders):
    """Gives these orders to a sidecar of their own, and raises CheckFailed where the checker finds something."""
    rig = Rig()
    try:
        return rig.play(orders)
    finally:
        rig.over()


def minimize(starts, orders, error, tries=150):
    """Fewer of the orders that show the same; what a bounded search finds."""

    def shows(fewer):
        try:
            play(*starts, *fewer)
        except Exception as other:
            return re.sub(r"\d+", "", repr(other)) == re.sub(r"\d+", "", repr(error))
        return False

    orders, size = list(orders), max(1, len(orders) // 2)
    while tries > 0:
        at, before = 0, len(orders)
        while at < len(orders) and tries > 0:
            tries -= 1
            fewer = orders[:at] + orders[at + size :]
            if shows(fewer):
                orders = fewer
            else:
                at += size
        if size == 1 and len(orders) == before:
            break
        size = max(1, size // 2)
    return orders
