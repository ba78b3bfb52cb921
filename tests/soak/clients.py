"""Clients: each goes on by its habit, on connections of its own, until the play is over.

A client that finds its connection ended between requests opens another. A request that crosses the end of a connection
is sent once more on a new one, as the users' page has it.
"""

import asyncio
import contextlib
import random

from tests.soak.ledger import BadClient, Request
from tests.soak.plan import DEADLINES, LANES, ClientBehaviour
from tests.soak.stand_ins import reset

KEYS = 40
GIVES_UP_AFTER = 5.0  # seconds: more than any answer may take
BAD_STAYS = 4.0  # seconds that a bad client waits for its end
READ_AHEAD = 32  # in hand: a connection with over 64 is not read on until so few are left (docs/design/ends.md)
CONNECTS_WITHIN = 2.0  # seconds


def command(*words):
    """A command as bytes."""
    return b"*%d\r\n" % len(words) + b"".join(
        b"$%d\r\n%s\r\n" % (len(word), word) for word in map(str.encode, words)
    )


class Connection(asyncio.Protocol):
    """A client's connection. Answers go to the requests in their order."""

    def __init__(self, ledger):
        self.ledger, self.buffer, self.out = ledger, bytearray(), []
        self.transport, self.ended_at, self.wake = None, None, asyncio.Event()
        self.expects, self.answered = True, 0

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        while (length := self._answer_length()) is not None:
            answer = bytes(self.buffer[:length])
            del self.buffer[:length]
            if self.out:
                self.out.pop(0).responses.append((self.ledger.clock(), answer))
            elif self.expects:
                self.ledger.odd.append(f"an answer that nothing asked for: {answer[:60]!r}")
            self.answered += 1
            self.wake.set()

    def _answer_length(self):
        end = self.buffer.find(b"\r\n")
        if end < 0:
            return None
        if self.buffer[:1] != b"$":
            return end + 2
        length = end + 2 + int(self.buffer[1:end]) + 2
        return length if len(self.buffer) >= length else None

    def eof_received(self):
        self._end()

    def connection_lost(self, _):
        self._end()

    def _end(self):
        if self.ended_at is None:
            self.ended_at = self.ledger.clock()
            for request in self.out:
                if request.left_at is None:
                    request.closed_at = self.ended_at
        self.wake.set()

    @property
    def open(self):
        """Whether requests can be sent on it."""
        return self.ended_at is None and not self.transport.is_closing()

    async def news(self, seconds):
        """Waits until something comes, or so long."""
        self.wake.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.wake.wait(), seconds)


class Client:
    """One client of an instance."""

    def __init__(self, number, plan, sidecar, ledger, over):
        self.number, self.plan, self.sidecar, self.ledger = number, plan, sidecar, ledger
        self.over, self.chance, self.count = over, random.Random(plan.seed), 0
        self.connection = None

    async def run(self):
        """Goes on until the play is over."""
        await asyncio.sleep(self.plan.starts_at)
        act = {
            ClientBehaviour.STEADY: self._ask_one,
            ClientBehaviour.PIPELINED: self._ask_many,
            ClientBehaviour.HALF: self._half,
            ClientBehaviour.GARBAGE: self._garbage,
            ClientBehaviour.LEAVES: self._leave,
            ClientBehaviour.RESTS: self._rest,
        }[self.plan.behaviour]
        while not self.over.is_set():
            if not await self._connected():
                await asyncio.sleep(0.05)
                continue
            await act()
            await asyncio.sleep(self.chance.expovariate(1 / self.plan.pause))
        if self.connection is not None:
            self.connection.transport.close()

    async def _connected(self):
        if self.connection is None or not self.connection.open:
            self.connection = await self._connect()
        return self.connection is not None

    async def _connect(self):
        loop = asyncio.get_running_loop()
        try:
            _, connection = await asyncio.wait_for(
                loop.create_connection(
                    lambda: Connection(self.ledger), "127.0.0.1", self.sidecar.port
                ),
                CONNECTS_WITHIN,
            )
        except (OSError, TimeoutError):
            return None
        return connection

    def _send(self, connection, request):
        request.sent_at = self.ledger.clock()
        request.process = self.sidecar.process.number
        request.previous = connection.out[-1] if connection.out else None
        if len(connection.out) >= READ_AHEAD:
            request.read_after = connection.out[-READ_AHEAD]
        request.pipeline_deadline_at = max(
            (one.pipeline_deadline_at for one in connection.out), default=0.0
        )
        request.pipeline_deadline_at = max(
            request.pipeline_deadline_at, request.sent_at + request.deadline
        )
        if not connection.open:  # it ended between requests, just before this one
            request.closed_at = request.sent_at
            return
        connection.out.append(request)
        connection.transport.write(self._words(request))

    @staticmethod
    def _words(request):
        verb = "SVC.QUERY" if request.lane == "read" else "SVC.SUBMIT"
        told = f"c={request.lane},t=x,d={int(request.deadline * 1000)}"
        if request.lane == "mark":
            told += f",k={request.name}"
        return command(verb, request.key, request.name, told, request.body)

    def _request(self):
        self.count += 1
        name = f"r{self.number}-{self.count}"
        request = Request(
            name=name,
            instance=self.sidecar.instance,
            lane=self.chance.choice(LANES),
            key=f"k{self.chance.randrange(KEYS)}",
            body=f"body of {name}",
            deadline=self.chance.choice(DEADLINES),
            sent_at=0.0,
            process=0,
        )
        self.ledger.requests[name] = request
        return request

    async def _answered(self, connection, requests):
        """Waits for all of these; what a connection's end has crossed is sent once more."""
        until = self.ledger.clock() + GIVES_UP_AFTER
        while any(not one.responses for one in requests) and connection.open:
            left = until - self.ledger.clock()
            if left <= 0:
                return
            await connection.news(left)
        while (
            not connection.open and connection.ended_at is None
        ):  # a write has failed: its end comes next
            await connection.news(CONNECTS_WITHIN)
        crossed = [one for one in requests if not one.responses and one.closed_at is not None]
        for request in (
            crossed if connection.answered or self.plan.behaviour != ClientBehaviour.LEAVES else ()
        ):
            await self._send_again(request)

    async def _send_again(self, request):
        request.again = True
        self.ledger.note(f"{request.name} crossed the end of its connection, is sent once more")
        connection = await self._connect()
        if connection is None:
            request.refused = True
            return
        self.connection = connection
        request.closed_at = None
        self._send(connection, request)
        until = self.ledger.clock() + GIVES_UP_AFTER
        while not request.responses and connection.open and self.ledger.clock() < until:
            await connection.news(until - self.ledger.clock())

    async def _ask_one(self):
        request = self._request()
        self._send(self.connection, request)
        await self._answered(self.connection, [request])

    async def _ask_many(self):
        requests = [self._request() for _ in range(self.plan.depth)]
        for request in requests:
            self._send(self.connection, request)
        await self._answered(self.connection, requests)

    async def _leave(self):
        """Asks, and is gone after a moment: by a close, a reset, or the end of its sending."""
        connection, requests = self.connection, []
        for _ in range(self.chance.choice((1, 3, self.plan.depth))):
            requests.append(self._request())
            self._send(connection, requests[-1])
        await asyncio.sleep(self.chance.choice((0.0, 0.01, 0.05, 0.3)))
        if not connection.open:
            return
        now = self.ledger.clock()
        for request in requests:
            if not request.responses:
                request.left_at = now
        connection.expects = False
        how = self.chance.choice(("close", "reset", "shut"))
        if how == "close":
            connection.transport.close()
        elif how == "reset":
            reset(connection.transport)
        else:
            connection.transport.write_eof()
        self.connection = None

    async def _rest(self):
        """Asks seldom; its connection rests meanwhile."""
        await self._ask_one()
        await asyncio.sleep(0.4)

    async def _half(self):
        """Sends a part of a command, and the rest or nothing more."""
        connection = self.connection
        await self._ask_one()
        if not connection.open:
            return
        request = self._request()
        words = self._words(request)
        cut = self.chance.randrange(1, len(words) - 1)
        stays = self.chance.random() < 0.5
        connection.transport.write(words[:cut])
        if not stays:
            del self.ledger.requests[request.name]
            await self._bad(connection, "half a command")
            return
        await asyncio.sleep(self.chance.choice((0.01, 0.2)))
        if connection.open:
            request.sent_at = self.ledger.clock()
            request.process = self.sidecar.process.number
            request.pipeline_deadline_at = request.sent_at + request.deadline
            connection.out.append(request)
            connection.transport.write(words[cut:])
            await self._answered(connection, [request])
        else:
            del self.ledger.requests[request.name]

    async def _garbage(self):
        connection = self.connection
        connection.transport.write(b"what is this?\r\n")
        await self._bad(connection, "no command")

    async def _bad(self, connection, what):
        connection.expects = False
        bad = BadClient(
            what, self.sidecar.instance, self.ledger.clock(), self.sidecar.process.number
        )
        self.ledger.bad_clients.append(bad)
        before = connection.answered
        until = bad.since + BAD_STAYS
        while connection.open and connection.answered == before:
            left = until - self.ledger.clock()
            if left <= 0 or self.over.is_set():
                break
            await connection.news(left)
        if not connection.open or connection.answered > before:
            bad.ended_at = self.ledger.clock()
        else:
            bad.left_at = self.ledger.clock()
        connection.transport.close()
        self.connection = None


async def crowd(count, sidecar, ledger, first_number, plan):
    """So many clients at once, each with a connection and one request of its own."""
    over = asyncio.Event()
    clients = [Client(first_number + at, plan, sidecar, ledger, over) for at in range(count)]

    async def one(client):
        if await client._connected():
            await client._ask_one()
            client.connection.transport.close() if client.connection else None

    ledger.note(f"{count} clients come at once to instance {sidecar.instance}")
    await asyncio.gather(*(one(client) for client in clients))
