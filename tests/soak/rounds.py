"""One process over many rounds of drawn clients: descriptors and memory at rest after the last round as after the fifth."""

import asyncio
from dataclasses import dataclass

from tests.soak.clients import Client
from tests.soak.ledger import Observations
from tests.soak.plan import EndpointPlan, draw_plan
from tests.soak.sidecar import STARTUP_TIMEOUT_SECONDS, Sidecar, clock
from tests.soak.stand_ins import AsyncEndpoint

ROUND_SECONDS = 1.0  # seconds of clients
BASELINE_ROUND = 5  # rounds after which it is looked at first
IDLE_SECONDS = 14.0  # seconds: connections to endpoints are retired meanwhile
MEMORY_TOLERANCE_KB = 2_048  # of the allocator
ENDPOINT_COUNT = 4
CLIENT_SHUTDOWN_TIMEOUT_SECONDS = 6.0  # seconds


@dataclass(frozen=True)
class ResourceUsage:
    """What a process holds at rest."""

    open_descriptors: int
    resident_kb: int


@dataclass(frozen=True)
class RoundsResult:
    """What the process held after the fifth and after the last round."""

    baseline: ResourceUsage
    final: ResourceUsage
    request_count: int

    def growth(self):
        """What has grown."""
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
    """Plays a round of each seed against one process."""
    return asyncio.run(_run_rounds(list(seeds), code, idle_seconds))
