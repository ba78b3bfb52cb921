"""Pods spoil some answers, as the users' page says; no client may get what no pod made for it."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import rig  # noqa: E402

SEED = 7
SECONDS = 55
SPOILT_SHARE = 0.1
# The classes and figures of the site lalitpur-saves, whose pods report their load in every answer.
CLASSES = [("load-save", 3.0, False), ("write-save", 2.5, False), ("item-change", 2.5, True)]
TOLD = rig.settings(
    categories=[
        rig.category("load-save", "idempotent", 1500, 6000, 2.0, 0.0),
        rig.category("write-save", "idempotent", 1200, 5000, 3.0, 0.0),
        rig.category("item-change", "deduplicated", 1200, 5000, 3.0, 0.2, window_ms=10000),
    ],
    stats__names=["q", "busy", "rate"],
    stats__source="piggyback",
    permissions__second_copies=True,
    permissions__max_attempts=5,
)


def spoil(rng, value, report):
    """Returns a spoilt answer of one of the page's four kinds."""
    kind = rng.choice(["noise", "line without end", "length", "length", "length", "huge"])
    if kind == "noise":
        return kind, rng.randbytes(40) + b"\r\n"
    if kind == "line without end":
        return kind, b"*3\r\n$1" + b"1" * 60
    if kind == "huge":
        return kind, b"*3\r\n$3000000000\r\n" + value * 20
    off = rng.choice([n for n in range(-5, 21) if n])
    return f"length off by {off}", (
        b"*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n" % (len(value) + off, value, len(report), report)
    )


async def play(record, trouble):
    rng, made = random.Random(SEED), {}

    def behave(attempt):
        value = f"value of {attempt.id} by {attempt.pod.name}".encode()
        report = f"q={rng.randrange(9)},busy={rng.random():.2f},rate={rng.randrange(10, 99)}".encode()
        made.setdefault(attempt.id, set()).add(value)
        delay = rng.uniform(0.01, 0.05)
        if trouble and rng.random() < SPOILT_SHARE:
            kind, content = spoil(rng, value, report)
            record.add(f"pod {attempt.pod.name} will spoil its answer to {attempt.id}: {kind}")
            return delay, content
        return delay, rig.served(value, report)

    pods = [rig.Pod(f"p{number}", record, behave=behave) for number in range(9)]
    async with rig.deployment(record, pods, TOLD, 3) as cars:
        traffic = rig.Traffic(record, cars, each=4, pause=0.08, classes=CLASSES, seed=SEED)
        await asyncio.sleep(SECONDS)
        await traffic.stop()
    served = [request for request in traffic.requests if request.kind() == "served"]
    if len(served) < 1000:
        return None
    record.add(f"{len(traffic.requests)} requests, {len(served)} served")
    breaches = []
    for request in served:
        value = request.answer.partition(b"\r\n")[2][:-2]
        if value not in made.get(request.id, ()):
            breaches.append(f"{request.id} ({request.cls}) was served {value!r}, which no pod made")
    return breaches


if __name__ == "__main__":
    sys.exit(rig.main(play, FOLDER))
