"""make measure-gossip SEED=n: what gossip costs, how quickly it spreads, what a hostile peer can do, what it gains.

Ends with one line of JSON. Simulated: spread, messages, false deaths, memory, gain. On loopback with real programs
(own rig): wrongful exclusions, wrong deaths, bytes, rules, latency under a flood.
"""

import argparse
import gc
import json
import multiprocessing
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from measure.hostile import make_endpoint_keys
from measure.shop import Shop
from measure.world import SECOND, TERMS, World

SIZES, LOSSES = (8, 64, 512), (0.0, 0.1, 0.3)
PODS = make_endpoint_keys(12)


def spread(task):
    """One fleet in simulated time: until the last has heard a claim, messages of each, how many were buried."""
    count, loss, seed, span = task
    began = time.monotonic()
    world = World([f"n{at}" for at in range(count)], seed, loss=loss)
    world.begin()
    world.acquaint()
    for one in world.live():
        one.node.suspicions.set_endpoints(PODS)
    buried, reached, sent, lasts = [0], [], [], []

    def watch():
        for one in world.live():
            buried[0] += sum(
                fields.get("now") == "dead" for _, fields in one.node.context.log_events
            )
            one.node.context.log_events.clear()

    world.run(3 * SECOND, watch)
    for at in range(3):
        teller, pod = f"n{(at * 7 + 3) % count}", PODS[at]
        node = world.instances[teller].node
        for _ in range(8):
            node.suspicions.record_attempt(world.instances[teller].clock(), pod.id, True)
        begin, before = world.now, world.sent
        last = [None]

        def heard(pod=pod, teller=teller, last=last):
            if last[0] is None and all(
                teller in one.node.suspicions.evidence.get(pod, {}) or one.name == teller
                for one in world.live()
            ):
                last[0] = world.now

        world.run(span // 3, lambda heard=heard: (heard(), watch()), SECOND // 5)
        reached.append(
            sum(teller in one.node.suspicions.evidence.get(pod, {}) for one in world.live())
            / (count - 1)
        )
        lasts.append((last[0] - begin) / SECOND if last[0] else None)
        sent.append((world.sent - before) / count / (span / 3 / SECOND))
    return {
        "instances": count,
        "loss": loss,
        "spread_s": max(lasts) if None not in lasts else None,
        "reached": round(min(reached), 3),
        "messages_per_instance_s": round(sum(sent) / len(sent), 2),
        "buried": buried[0],
        "simulated_s": (span + 3 * SECOND) / SECOND,
        "took_s": round(time.monotonic() - began, 1),
    }


def _resident_mb():
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * 4096 / 1e6


def hour(task):
    """A simulated hour with loss, an instance that restarts every minute, and pods that fail by turns."""
    seed, span = task
    world, buried = World([f"n{at}" for at in range(8)], seed, loss=0.1), 0
    world.begin()
    memory, minute = [], 60 * SECOND
    for one in world.live():
        one.node.suspicions.set_endpoints(PODS)
    for at in range(span // minute):
        victim = world.instances[f"n{at % 8}"]
        victim.kill()
        world.run(SECOND)
        victim.begin([one.address for one in world.live()][:2])
        victim.node.suspicions.set_endpoints(PODS)

        def traffic(at=at, since=world.now):
            nonlocal buried
            for one in world.live():
                for pod in range(3):
                    one.node.suspicions.record_attempt(one.clock(), PODS[pod].id, pod == at % 3)
                one.node.changed_suspicions.clear()
                one.node.context.log_events.clear()
                buried += sum(
                    member.state == "dead"
                    and world.instances[name].node is not None
                    and world.now - since > 20 * SECOND
                    for name, member in one.node.members.all.items()
                )

        world.run(minute - SECOND, traffic)
        if (at + 1) % max(1, span // minute // 4) == 0:
            memory.append(round(_resident_mb(), 2))
    return {
        "memory_mb_by_quarter": memory[:4],
        "memory_growth": round(memory[-1] / memory[0] - 1, 4),
        "false_dead_per_hour": round(buried * 3600 * SECOND / span, 2),
        "sent": world.sent,
    }


def gain(task):
    """Share of the quiet instances' deliveries that failed, one pod of twelve failing 60%."""
    kind, gossip, seed, span = task
    loud, quiet, liars, terms = {
        "many": (8, 32, 0, TERMS),
        "five": (2, 2, 1, TERMS),
        "crowd": (12, 20, 8, TERMS._replace(hearsay=TERMS.hearsay._replace(liars=8, witnesses=9))),
    }[kind]
    rates = {f"n{at}": 40.0 if at < loud else 1.0 for at in range(loud + quiet + liars)}
    names = list(rates)
    shop = Shop(rates, 12, {"s-5": 0.6}, seed, gossip, names[loud + quiet :], terms)
    shop.world.run(span)
    doubted = sum(
        pod != "s-5" and balancer.context.endpoints[pod].suspected_until > 0
        for name, balancer in shop.balancers.items()
        if name not in names[loud + quiet :]
        for pod in balancer.context.endpoints
    )
    return kind, gossip, shop.share_failed(names[loud : loud + quiet]), doubted


def simulated(seed, short, pool):
    """All figures of simulated time."""
    span, sizes = (6, (8, 64)) if short else (9, SIZES)
    tasks = sorted(
        ((count, loss, seed, span * SECOND) for count in sizes for loss in LOSSES), reverse=True
    )
    spreads = pool.map(spread, tasks)
    hours = pool.map(hour, [(seed, (4 if short else 60) * 60 * SECOND)])
    rounds = 1 if short else 3
    gains = pool.map(
        gain,
        [
            (kind, gossip, seed + at, (20 if short else 40) * SECOND)
            for kind in ("many", "five", "crowd")
            for at in range(rounds)
            for gossip in (True, False)
        ],
    )
    figures = {
        "simulated": sorted(spreads, key=lambda one: (one["instances"], one["loss"])),
        **next(iter(hours)),
    }
    shares, doubted = {}, {}
    for kind, gossip, share, wrong in gains:
        shares.setdefault((kind, gossip), []).append(share)
        doubted[kind] = doubted.get(kind, 0) + wrong
    figures["failed_share_quiet"] = {
        kind: {
            "with": round(sum(shares[kind, True]) / rounds, 4),
            "without": round(sum(shares[kind, False]) / rounds, 4),
        }
        for kind in ("many", "five", "crowd")
    }
    figures["simulated_wrongful_doubts"] = doubted
    figures["spread_s"] = max((one["spread_s"] or 1e9) for one in figures["simulated"])
    return figures


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true", help="a form of some seconds")
    parser.add_argument("--part", choices=("all", "simulated", "loopback"), default="all")
    chosen = parser.parse_args(arguments)
    figures, began = {"seed": chosen.seed}, time.monotonic()
    if chosen.part != "loopback":
        with ProcessPoolExecutor(8, multiprocessing.get_context("spawn")) as pool:
            figures.update(simulated(chosen.seed, chosen.short, pool))
        for one in figures["simulated"]:
            print(json.dumps(one))
    if chosen.part != "simulated":
        from measure.gossip_loopback import measure_loopback

        figures.update(measure_loopback(chosen.seed, chosen.short))
    figures["took_s"] = round(time.monotonic() - began, 1)
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
