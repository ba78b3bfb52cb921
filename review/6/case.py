"""A zone of a large fleet is lost for 5 s: is each usual client's request answered in time?"""

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import BROKEN, HELD, TROUBLE, Discovery, Platform, main  # noqa: E402

PODS = 3200
HOSTS = 8  # processes with 400 pods each
ZONES = ("a", "b", "c")
NOTICED_WITHIN = 0.38  # seconds in which discovery notices all pods of the zone (the site: spread_ms up to 380)
LOST_FOR = 5.0
LATE = 0.5 + 0.05  # seconds after its time from which a request is lost
DEADLINE_MS = 800
RATE = 20  # requests a second of the sidecar


async def play(rig):
    record = rig.record
    hosts = [rig.helper("pods_2.py", PODS // HOSTS, 20) for _ in range(HOSTS)]
    try:
        return await play_with(rig, record, hosts)
    finally:
        for host in hosts:
            host.stdin.close()
            text = await asyncio.wait_for(asyncio.to_thread(host.stdout.readline), 5)
            for at, port, name, request in json.loads(text or b"[]"):
                record.lines.append(f"{at - record.began:9.4f} pod at {port} got {name} {request}")


async def play_with(rig, record, hosts):
    ports = [port for host in hosts for port in json.loads(host.stdout.readline())]
    draw = random.Random(6)
    entries = [
        {
            "id": f"s-{draw.getrandbits(32):08x}-{index}",
            "addr": f"127.0.0.1:{port}",
            "zone": ZONES[index % len(ZONES)],
            "kind": "std",
            "cell": index // 8,
            "state": "Ready",
            "weight": 1.0,
            "started_ms": 0,
            "image_id": 41,
        }
        for index, port in enumerate(ports)
    ]
    platform = await rig.serve(Platform(record))
    discovery = await rig.serve(Discovery(record, entries))
    settings = rig.settings(balancers=200, zones=list(ZONES))
    sidecar = await rig.sidecar("n0", discovery, platform, settings)
    await sidecar.ready()
    client = rig.client(sidecar)

    async def load(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            rig.task(client.request("fetch", False, DEADLINE_MS))
            await asyncio.sleep(1 / RATE)

    async def tell(changes):
        """Each change is a line of its own, as discovery notices it."""
        began = time.monotonic()
        for number, entry in enumerate(changes):
            due = began + NOTICED_WITHIN * number / len(changes)
            if due > time.monotonic():
                await asyncio.sleep(due - time.monotonic())
            discovery.change(entry)
        record.add("discovery told", len(changes), "changes in", round(time.monotonic() - began, 2), "s")

    loading = rig.task(load(25))
    await asyncio.sleep(4)
    if TROUBLE:
        lost = [entry for entry in entries if entry["zone"] == "a"]
        record.add("zone a is lost:", len(lost), "of", len(entries), "pods")
        began = time.monotonic()
        await tell([{**entry, "state": "Gone"} for entry in lost])
        await asyncio.sleep(max(0, began + LOST_FOR - time.monotonic()))
        record.add("zone a is back, cold")
        started = int(time.time() * 1000)
        await tell([{**entry, "started_ms": started} for entry in lost])
    await loading
    await asyncio.sleep(DEADLINE_MS / 1000 + 6)
    broken = 0
    for began, ended, name, _, answer in client.results:
        seconds = ended - began
        late = not answer or seconds > DEADLINE_MS / 1000 + LATE
        broken += late
        record.add(name, f"sent {began - record.began:.3f}", f"took {seconds:.3f}", answer[:20] or "NO ANSWER",
                   "LOST" if late else "")
    worst = max(ended - began for began, ended, *_ in client.results)
    print(f"{broken} of {len(client.results)} requests lost; the longest wait was {worst:.2f} s of {DEADLINE_MS / 1000} s")
    return BROKEN if broken else HELD


main(FOLDER, play)
