"""Looks for leaks: runs many rounds of clients against one sidecar process.

Its open descriptors and memory while idle may not grow between the fifth and the last round.
"""

import asyncio
from dataclasses import dataclass

from tests.soak.clients import Client
from tests.soak.ledger import Observations
from tests.soak.plan import EndpointPlan, draw_plan
from tests.soak.sidecar import STARTUP_TIMEOUT_SECONDS, Sidecar, clock
from tests.soak.stand_ins import AsyncEndpoint

ROUND_SECONDS = 1.0
BASELINE_ROUND = 5  # the resources used after this round are the baseline
IDLE_SECONDS = 14.0  # in this time the sidecar closes its idle connections to endpoints
MEMORY_TOLERANCE_KB = 2_048  # variation due to the allocator
ENDPOINT_COUNT = 4
CLIENT_SHUTDOWN_TIMEOUT_SECONDS = 6.0


@dataclass(frozen=True)
class ResourceUsage:
    """What a process uses while idle."""

    open_descriptors: int
    resident_kb: int


@dataclass(frozen=True)
class RoundsResult:
    """What the process used after the baseline round and after the last one."""

    baseline: ResourceUsage
    final: ResourceUsage
    request_count: int

    def growth(self):
        """Returns a text for each resource that has grown."""
        growth = []
        if self.final.open_descriptors > self.baseline.open_descriptors:
            growth.append(
                f"descriptors {self.baseline.open_descriptors} -> {self.final.open_descriptors}"
            )
        if self.final.resident_kb > self.baseline.resident_kb + MEMORY_TOLERANCE_KB:
            growth.append(f"memory {self.baseline.resident_kb} -> {self.final.resident_kb} kB")
        return growth


def _endpoint_plan(number):
    return EndpointPlan(
        name=f"s-{number}",
        build=41,
        mean_delay_seconds=0.01,
        error_share=0.1,
        reject_share=0.05,
        no_response_share=0.02,
        reset_share=0.05,
        duplicate_share=0.05,
        idle_close_times=(),
        drain_at=None,
        restart_at=None,
        starts_cold=False,
    )


async def _run_rounds(seeds, code, idle_seconds):
    observations = Observations(clock)
    endpoints = [
        AsyncEndpoint(_endpoint_plan(number), observations, 0) for number in range(ENDPOINT_COUNT)
    ]
    for endpoint in endpoints:
        await endpoint.open(1)
    sidecar = Sidecar(0, 1, observations, endpoints, 0.3, code=code)
    usage, request_count = [], 0
    try:
        await sidecar.open()
        await sidecar.start()
        await asyncio.wait_for(sidecar.ready.wait(), STARTUP_TIMEOUT_SECONDS)
        for round_number, seed in enumerate(seeds, 1):
            await _run_round(seed, sidecar, observations)
            request_count += len(observations.requests)
            observations.requests.clear()
            observations.attempts.clear()
            if round_number in (BASELINE_ROUND, len(seeds)):
                await asyncio.sleep(idle_seconds)
                usage.append(ResourceUsage(sidecar.open_descriptors(), sidecar.resident_kb()))
        sidecar.stop()
        await sidecar.wait_until_ended()
    finally:
        await sidecar.close()
        for endpoint in endpoints:
            endpoint.close()
    return RoundsResult(usage[0], usage[-1], request_count)


async def _run_round(seed, sidecar, observations):
    stop_event = asyncio.Event()
    clients = [
        Client(number, client_plan, sidecar, observations, stop_event)
        for number, client_plan in enumerate(draw_plan(seed).clients)
        if client_plan.instance == 0
    ]
    running = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(ROUND_SECONDS)
    stop_event.set()
    if running:
        _, unfinished = await asyncio.wait(running, timeout=CLIENT_SHUTDOWN_TIMEOUT_SECONDS)
        for task in unfinished:
            task.cancel()
    for client in clients:
        if client.connection is not None:
            client.connection.transport.close()


def run_rounds(seeds, code=None, idle_seconds=IDLE_SECONDS):
    """Runs a round of each seed's clients against one process and returns the RoundsResult."""
    return asyncio.run(_run_rounds(list(seeds), code, idle_seconds))
