"""Clients that use an instance while it closes its listener and its connections after SIGTERM."""

import asyncio
import contextlib

from tests.soak.clients import Client, encode_command
from tests.soak.ledger import LostConnection
from tests.soak.plan import ClientBehaviour, ClientPlan
from tests.soak.stand_ins import HANGING_BODY

RACE_SECONDS = 1.2  # after SIGTERM; the listener closes before
RACE_PAUSE_SECONDS = 0.002
POLL_SECONDS = 0.005
RESPONSE_WAIT_SECONDS = 2.0
HANGING_TIMEOUT_SECONDS = 3.0
HALF_COMMAND_DELAY_SECONDS = 0.05  # behind the request that hangs
FIRST_CLIENT_NUMBER = 2000
RESET = "reset"


async def wait_for_sigterm(sidecar):
    """Waits until the instance's current process has been sent SIGTERM."""
    while sidecar.process.sigterm_at is None:
        await asyncio.sleep(POLL_SECONDS)


async def race_with_close(sidecar, observations):
    """Connects again and again from SIGTERM on, each time with one PING.

    A connection that was established and ended without an answer is recorded.
    """
    await wait_for_sigterm(sidecar)
    process = sidecar.process
    while observations.clock() < process.sigterm_at + RACE_SECONDS:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
        except OSError:
            await asyncio.sleep(RACE_PAUSE_SECONDS)
            continue
        connected_at = observations.clock()
        ending = await _ask_for_pong(reader, writer)
        if ending is not None:
            seconds = observations.clock() - connected_at
            observations.lost_connections.append(LostConnection(process.number, ending, seconds))
        await asyncio.sleep(RACE_PAUSE_SECONDS)


async def _ask_for_pong(reader, writer):
    """Returns how the connection ended without an answer; None if it was answered."""
    try:
        writer.write(encode_command("PING"))
        answer = await asyncio.wait_for(reader.read(100), RESPONSE_WAIT_SECONDS)
        return None if answer else "end of stream"
    except TimeoutError:
        return "no answer"
    except OSError:
        return RESET
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


class HalfCommandClient(Client):
    """Sends a request that hangs, and behind it half a command, at a moment after SIGTERM."""

    def __init__(self, number, sidecar, observations, begin_at, seed):
        plan = ClientPlan(sidecar.instance, 0.0, ClientBehaviour.PARTIAL_COMMAND, 1.0, 1, seed)
        super().__init__(number, plan, sidecar, observations, asyncio.Event())
        self.begin_at = begin_at

    async def run(self):
        """Keeps a connection open from before SIGTERM until the process ends it."""
        if not await self.ensure_connected():
            return
        connection = self.connection
        connection.expects_responses = False
        request = self._new_request()
        request.request_class, request.body = "read", HANGING_BODY.decode()
        request.timeout = HANGING_TIMEOUT_SECONDS
        self._send(connection, request)
        await wait_for_sigterm(self.sidecar)
        elapsed = self.observations.clock() - self.sidecar.process.sigterm_at
        await asyncio.sleep(max(0.0, self.begin_at - elapsed))
        if connection.is_open:
            half = encode_command("SVC.QUERY", "k0", "half", "c=read,t=x,d=300")[:20]
            connection.transport.write(half)
        while connection.is_open:
            await connection.wait_for_change(RESPONSE_WAIT_SECONDS)


def start_clients(plan, sidecar, observations):
    """Starts the clients of the plan's shutdown; returns their tasks."""
    runs = [race_with_close(sidecar, observations) for _ in range(plan.racing_clients)]
    runs += [
        HalfCommandClient(
            FIRST_CLIENT_NUMBER + index, sidecar, observations, begin_at, plan.seed
        ).run()
        for index, begin_at in enumerate(plan.half_command_times)
    ]
    return [asyncio.create_task(run) for run in runs]
