"""One process over many rounds of drawn clients: descriptors and memory at rest after the last round as after the fifth."""

import asyncio
from dataclasses import dataclass

from tests.soak.clients import Client
from tests.soak.ledger import Observations
from tests.soak.plan import PodPlan, draw_plan
from tests.soak.sidecar import READY_WITHIN, Sidecar, clock
from tests.soak.stand_ins import Pod

ROUND = 1.0  # seconds of clients
FIRST = 5  # rounds after which it is looked at first
RESTS = 14.0  # seconds: connections to endpoints are retired meanwhile
MEMORY_NOISE_KB = 2_048  # of the allocator
PODS = 4
CLIENTS_END_WITHIN = 6.0  # seconds


@dataclass(frozen=True)
class AtRest:
    """What a process holds at rest."""

    descriptors: int
    resident_kb: int


@dataclass(frozen=True)
class Rounds:
    """What the process held after the fifth and after the last round."""

    early: AtRest
    late: AtRest
    requests: int

    def faults(self):
        """What has grown."""
        faults = []
        if self.late.descriptors > self.early.descriptors:
            faults.append(f"descriptors {self.early.descriptors} -> {self.late.descriptors}")
        if self.late.resident_kb > self.early.resident_kb + MEMORY_NOISE_KB:
            faults.append(f"memory {self.early.resident_kb} -> {self.late.resident_kb} kB")
        return faults


def _pod(number):
    return PodPlan(
        name=f"s-{number}",
        build=41,
        lag=0.01,
        errors=0.1,
        busy=0.05,
        hangs=0.02,
        resets=0.05,
        twice=0.05,
        cuts_idle_at=(),
        drained_at=None,
        back_at=None,
        started_cold=False,
    )


async def _play(seeds, code, rests):
    ledger = Observations(clock)
    pods = [Pod(_pod(number), ledger, 0) for number in range(PODS)]
    for pod in pods:
        await pod.open(1)
    sidecar = Sidecar(0, 1, ledger, pods, 0.3, code=code)
    held, requests = [], 0
    try:
        await sidecar.open()
        await sidecar.start()
        await asyncio.wait_for(sidecar.ready.wait(), READY_WITHIN)
        for count, seed in enumerate(seeds, 1):
            await _round(seed, sidecar, ledger)
            requests += len(ledger.requests)
            ledger.requests.clear()
            ledger.attempts.clear()
            if count in (FIRST, len(seeds)):
                await asyncio.sleep(rests)
                held.append(AtRest(sidecar.descriptors(), sidecar.resident_kb()))
        sidecar.stop()
        await sidecar.ended()
    finally:
        await sidecar.close()
        for pod in pods:
            pod.close()
    return Rounds(held[0], held[-1], requests)


async def _round(seed, sidecar, ledger):
    over = asyncio.Event()
    clients = [
        Client(number, one, sidecar, ledger, over)
        for number, one in enumerate(draw_plan(seed).clients)
        if one.instance == 0
    ]
    running = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(ROUND)
    over.set()
    if running:
        _, late = await asyncio.wait(running, timeout=CLIENTS_END_WITHIN)
        for task in late:
            task.cancel()
    for client in clients:
        if client.connection is not None:
            client.connection.transport.close()


def play(seeds, code=None, rests=RESTS):
    """Plays a round of each seed against one process."""
    return asyncio.run(_play(list(seeds), code, rests))
