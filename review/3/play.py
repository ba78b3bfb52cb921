"""Answers of the build on trial get lost; a key that it has answered goes to no earlier build."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import rig  # noqa: E402

SEED = 11
SECONDS = 16
LOST_FROM, LOST_SECONDS = 4.0, 6.0  # after the start of traffic; the page's 6 s
LOST_SHARE = 0.1
# An answered key counts from 150 ms after the answer; time limits are longer by 50 ms.
COUNTS_AFTER, SLACK = 0.15, 0.05
CLASSES = [("load-save", 5.0, False), ("write-save", 4.0, False), ("item-change", 4.0, True)]
TOLD = rig.settings(
    categories=[
        rig.category("load-save", "idempotent", 1500, 6000, 2.0, 0.0),
        rig.category("write-save", "idempotent", 1200, 5000, 3.0, 0.0),
        rig.category("item-change", "deduplicated", 1200, 5000, 3.0, 0.2, window_ms=10000),
    ],
    permissions__second_copies=True,
    permissions__max_attempts=5,
    extra__allowance=2.0,
    extra__counts="each_class",
    extra__guarded_stages=0,
    extra__keys_stay=True,
)


async def play(record, trouble):
    rng, begin = random.Random(SEED), None

    def behave(attempt):
        in_time = begin and LOST_FROM <= rig.clock() - begin < LOST_FROM + LOST_SECONDS
        if trouble and in_time and rng.random() < LOST_SHARE:
            return rng.uniform(0.03, 0.09), "lost"
        return rng.uniform(0.03, 0.09), "good"

    pods = [
        rig.Pod(f"p{n}", record, build=42 if n % 2 else 41, behave=behave) for n in range(10)
    ]
    state = {"version": 42, "step": 2, "status": "trial", "maxWeight": 0.5}
    async with rig.deployment(record, pods, TOLD, 3, state) as cars:
        traffic = rig.Traffic(record, cars, each=4, pause=0.06, classes=CLASSES, seed=SEED)
        begin = rig.clock()
        await asyncio.sleep(SECONDS)
        await traffic.stop()
    attempts = sorted((a for pod in pods for a in pod.attempts), key=lambda a: a.at)
    if sum(a.build == 42 for a in attempts) < 100:
        return None
    breaches = []
    for attempt in attempts:
        car = attempt.id.split("-")[0]
        if attempt.build != 41:
            continue
        before = [
            a for a in attempts
            if a.build == 42 and a.key == attempt.key and a.id.split("-")[0] == car
            and a.answered_at is not None
            and attempt.first_byte_at - a.answered_at > COUNTS_AFTER + SLACK
        ]  # fmt: skip
        if before:
            first = min(before, key=lambda a: a.answered_at)
            breaches.append(
                f"{car} sent {attempt.id} with {attempt.key} to {attempt.pod.name} (build 41) "
                f"{attempt.first_byte_at - first.answered_at:.3f} s after build 42 had answered "
                f"that key for {first.id} ({first.outcome})"
            )
    return breaches


if __name__ == "__main__":
    sys.exit(rig.main(play, FOLDER))
