"""What the clients of a crowd do. Each function plays one client until it is cancelled.

A crowd runs as a process of its own (`python -m tests.crowd.behaviours KIND PORT COUNT SECONDS SEED`)
and prints a report as JSON, so that its work does not delay the usual clients.
"""

import asyncio
import contextlib
import json
import logging
import os
import random
import resource
import sys
import time

from tests.support.programs import encode_command

BULK_BYTES = 64 * 1024  # the largest bulk string of the protocol
FIRST_REPLY_LIMIT_SECONDS = 3.0  # by which a bad client is owed an error or a close
SLOW_CHUNK_BYTES = 7_000
SLOW_PAUSE_SECONDS = 0.12
CONNECT_PAUSE_SECONDS = 0.02
GIVE_UP_SECONDS = 8.0


class Report:
    """What the clients of a crowd got."""

    def __init__(self):
        self.connections = self.ended = self.late = self.replies = 0
        self.worst_seconds = 0.0
        self.sent_ids = 0

    def record_end(self, seconds):
        """Records the first reply to, or the end of, a connection that is owed one."""
        self.ended += 1
        self.worst_seconds = max(self.worst_seconds, seconds)
        self.late += seconds > FIRST_REPLY_LIMIT_SECONDS


class Crowd:
    """The clients of one kind.

    Attributes:
        report: What they got.
        random: Their random generator.
    """

    def __init__(self, port, seed):
        self.port, self.random, self.report, self.counter = port, random.Random(seed), Report(), 0

    def new_id(self):
        self.counter += 1
        return f"x{self.random.getrandbits(40):010x}{self.counter:06x}"

    async def connect(self):
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                connecting = asyncio.open_connection("127.0.0.1", self.port)
                reader, writer = await asyncio.wait_for(connecting, 2)
                self.report.connections += 1
                return reader, writer
            await asyncio.sleep(CONNECT_PAUSE_SECONDS)

    async def await_reply(self, reader, since):
        """Waits for the first reply or the end, which this connection is owed."""
        with contextlib.suppress(OSError, TimeoutError):
            reply = await asyncio.wait_for(reader.read(4096), GIVE_UP_SECONDS)
            self.report.replies += bool(reply)
        self.report.record_end(time.monotonic() - since)

    async def repeat(self, play):
        """Plays a connection of this client again and again."""
        while True:
            reader, writer = await self.connect()
            try:
                await play(reader, writer, time.monotonic())
            except OSError:
                pass
            finally:
                writer.transport.abort()
            await asyncio.sleep(CONNECT_PAUSE_SECONDS)

    # Kinds of clients.

    async def half_request(self, reader, writer, since):
        """Sends half of a large request and falls silent."""
        command = self.command("c=pay,t=x,d=2000", b"v" * BULK_BYTES)
        writer.write(command[: len(command) // 2])
        await self.await_reply(reader, since)

    async def slow_request(self, reader, writer, since):
        """Sends a request of two large words slowly."""
        fields = b"c=pay,t=x,d=2000,z=" + b"z" * (BULK_BYTES - 8_000)
        command = self.command(fields, b"v" * BULK_BYTES)
        for at in range(0, len(command), SLOW_CHUNK_BYTES):
            writer.write(command[at : at + SLOW_CHUNK_BYTES])
            await writer.drain()
            await asyncio.sleep(SLOW_PAUSE_SECONDS)
        await self.await_reply(reader, time.monotonic())

    async def incomplete_slow_request(self, reader, writer, since):
        """Sends a large request slowly and never its last part."""
        command = self.command("c=pay,t=x,d=2000", b"v" * BULK_BYTES)
        for at in range(0, len(command) - SLOW_CHUNK_BYTES, SLOW_CHUNK_BYTES):
            writer.write(command[at : at + SLOW_CHUNK_BYTES])
            await writer.drain()
            await asyncio.sleep(SLOW_PAUSE_SECONDS)
        await self.await_reply(reader, since)

    async def many_fields(self, reader, writer, since):
        """Sends a request with 10,000 fields of two letters."""
        await self._send_fields(reader, writer, b"ab," * 10_000)

    async def empty_fields(self, reader, writer, since):
        """Sends a request with 65,000 empty fields."""
        await self._send_fields(reader, writer, b"," * 65_000)

    async def _send_fields(self, reader, writer, fields):
        for _ in range(20):
            writer.write(self.command(fields + b"c=pay,t=x,d=2000"))
            await writer.drain()
            await self.await_reply(reader, time.monotonic())

    async def one_byte_at_a_time(self, reader, writer, since):
        """Sends a small request one byte at a time."""
        for byte in self.command("c=read,t=x,d=2000", b"body"):
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(SLOW_PAUSE_SECONDS / 4)
            if reader.at_eof():
                break
        await self.await_reply(reader, since)

    async def unread_responses(self, reader, writer, since):
        """Sends requests without a pause and reads no response for some time."""
        writer.transport.pause_reading()
        for _ in range(300):
            writer.write(self.command("c=read,t=x,d=2000", b"v" * 2_000))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(writer.drain(), 4)

    async def large_unread_responses(self, reader, writer, since):
        """Sends requests with large responses, one after another, and reads none."""
        writer.transport.pause_reading()
        for _ in range(100):
            writer.write(self.command("c=read,t=x,d=2000", b"v" * 60_000))
            await writer.drain()
            await asyncio.sleep(SLOW_PAUSE_SECONDS / 2)

    async def many_requests(self, reader, writer, since):
        """Sends hundreds of large requests at once, then reads the responses."""
        writer.write(
            b"".join(self.command("c=pay,t=x,d=1500", b"v" * BULK_BYTES) for _ in range(100))
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(4):
                while await reader.read(65_536):
                    pass

    async def send_and_close(self, reader, writer, since):
        """Sends many requests and closes at once."""
        writer.write(b"".join(self.command("c=pay,t=x,d=1500", b"b" * 400) for _ in range(40)))
        await asyncio.sleep(self.random.random() * 0.02)

    async def new_names(self, reader, writer, since):
        """Sends small valid requests under ever new names without a pause."""
        await self._flood(reader, writer, lambda: f"c=read,t={self.new_id()},d=500")

    async def unknown_class(self, reader, writer, since):
        """Sends requests of unknown classes without a pause."""
        await self._flood(reader, writer, lambda: f"c={self.new_id()},t=x,d=500")

    async def _flood(self, reader, writer, make_fields):
        async def discard():
            while await reader.read(65_536):
                self.report.replies += 1

        discarding = asyncio.create_task(discard())
        try:
            while not discarding.done():
                writer.write(b"".join(self.command(make_fields()) for _ in range(50)))
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            discarding.cancel()

    def command(self, fields, *body):
        self.report.sent_ids += 1
        name = self.new_id()
        word = fields if isinstance(fields, bytes) else fields.encode()
        verb = "SVC.SUBMIT" if b"c=pay" in word[:8] or b"c=pay" in word[-20:] else "SVC.QUERY"
        return encode_command(verb, name, name, word, *body)


KINDS = {
    "half requests": Crowd.half_request,
    "slow large requests": Crowd.slow_request,
    "incomplete slow requests": Crowd.incomplete_slow_request,
    "many fields": Crowd.many_fields,
    "empty fields": Crowd.empty_fields,
    "one byte at a time": Crowd.one_byte_at_a_time,
    "unread responses": Crowd.unread_responses,
    "large unread responses": Crowd.large_unread_responses,
    "many requests": Crowd.many_requests,
    "send and close": Crowd.send_and_close,
    "new names": Crowd.new_names,
    "unknown class": Crowd.unknown_class,
}
"""The behaviours by name; a mixed crowd has all of them in turn."""
MIXED = "mixed"


async def play(kind, port, count, seconds, seed):
    """Plays a crowd and returns its report."""
    crowd = Crowd(port, seed)
    behaviours = list(KINDS.values()) if kind == MIXED else [KINDS[kind]]
    tasks = []
    for number in range(count):
        behaviour = behaviours[number % len(behaviours)]
        tasks.append(asyncio.create_task(crowd.repeat(behaviour.__get__(crowd))))
        if number % 20 == 19:
            await asyncio.sleep(0.005)
    await asyncio.sleep(seconds)
    return crowd.report


def main(arguments):
    """Plays the crowd that the arguments name and prints its report."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    logging.getLogger("asyncio").disabled = True  # it warns of writes to closed connections
    kind, port, count, seconds, seed = arguments

    async def run():
        report = await play(kind, int(port), int(count), float(seconds), int(seed))
        print(json.dumps(vars(report)), flush=True)
        os._exit(0)  # the kernel ends all clients at once

    asyncio.run(run())


if __name__ == "__main__":
    main(sys.argv[1:])
