"""Discovery turns calls away for a while: is a drain followed within 6 s and the grace after that?"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import BROKEN, HELD, TROUBLE, Discovery, Platform, Pod, main, reset  # noqa: E402

SIDECARS = 6
PODS = 5
TOLD_WITHIN = 6.0  # seconds after discovery had the change and could be reached
GRACE = 1.0 + 0.05  # seconds: the grace of the site that asks for lists, and 50 ms on sockets
CROWDED_FOR = 12.0  # seconds
ROUNDS = 3
RATE = 20  # requests a second of each sidecar


async def play(rig):
    record = rig.record
    pods = [await rig.serve(Pod(record, f"s-{number}")) for number in range(PODS)]
    platform = await rig.serve(Platform(record))
    # Each sidecar reaches discovery at an address that is kept for it.
    services = [
        await rig.serve(Discovery(record, [pod.entry() for pod in pods])) for _ in range(SIDECARS)
    ]
    settings = rig.settings(balancers=SIDECARS, discovery="subscribe", rules__drain_grace=1_000_000_000)
    sidecars = [
        await rig.sidecar(f"n{number}", service, platform, settings)
        for number, service in enumerate(services)
    ]
    for sidecar in sidecars:
        await sidecar.ready()

    async def load(sidecar):
        client = rig.client(sidecar)
        while True:
            rig.task(client.request("fetch", False, 2000))
            await asyncio.sleep(1 / RATE)

    for sidecar in sidecars:
        rig.task(load(sidecar))
    await asyncio.sleep(4)  # all have asked: the first calls are spread over 0.6 s
    late = []
    for number in range(ROUNDS):
        drained = pods[number]
        told = {}
        over_at = time.monotonic() + CROWDED_FOR

        def accept_again(service, drained=drained, told=told, over_at=over_at):
            """Answers again once it has turned away its last call; has the change from then on."""
            record.add("discovery", service.address, "turned a call away")
            if service.crowded and time.monotonic() >= over_at:
                service.crowded = False
                service.change(drained.entry("Terminating"))
                told[f"n{services.index(service)}"] = time.monotonic()
                record.add("discovery", service.address, drained.name, "drains; calls are answered again")

        for service in services:
            if TROUBLE:
                service.on_refused = accept_again
                service.crowded = True
                for writer in list(service.watches):
                    reset(writer)
            else:
                service.change(drained.entry("Terminating"))
                told[f"n{services.index(service)}"] = time.monotonic()
        await asyncio.sleep(CROWDED_FOR + 8 + TOLD_WITHIN + 3 if TROUBLE else 10)
        if len(told) != SIDECARS:
            raise RuntimeError("a sidecar has not called discovery within 8 s")
        for at, words in drained.ran:
            name = words[2].split(b"-")[0].decode()
            after = at - told[name]
            if after > TOLD_WITHIN + GRACE:
                record.add(f"{drained.name} got {words[2].decode()} {after:.3f} s after discovery had its drain BROKEN")
                late.append((number, name, round(after, 2)))
    worst = {(number, name): after for number, name, after in late}
    print(f"sent to a drained pod after {TOLD_WITHIN + GRACE} s in {len(worst)} of {ROUNDS * SIDECARS} cases; the last of each: {worst}")
    return BROKEN if worst else HELD


main(FOLDER, play, 106)
