"""make measure-gossip SEED=n: the cost, speed, robustness and benefit of gossip.

In simulated time: how fast evidence spreads, messages, false deaths, memory, and the benefit of
gossip. With real programs on loopback: endpoints and instances that are wrongly excluded because of
a hostile peer, bytes sent, broken rules, and latency under a flood. The last line is JSON.
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

FLEET_SIZES, LOSS_RATES = (8, 64, 512), (0.0, 0.1, 0.3)
ENDPOINTS = make_endpoint_keys(12)


def measure_spread(task):
    """Simulates a fleet and measures how fast evidence reaches all instances.

    One instance after another, three in total, has eight failed attempts at an endpoint.

    Args:
        task: (number of instances, share of datagrams that are lost, seed, total duration for the
            three endpoints in ticks).

    Returns:
        The figures by name. `spread_s` is the longest time until all instances have the evidence,
        or None if some did not get it; `reached` is the smallest share of the other instances that
        have it at the end; `buried` is how often an instance declared another dead, although all
        are alive.
    """
    instance_count, loss, seed, duration = task
    started_at = time.monotonic()
    world = World([f"n{index}" for index in range(instance_count)], seed, loss=loss)
    world.begin()
    world.acquaint()
    for instance in world.live():
        instance.node.suspicions.set_endpoints(ENDPOINTS)
    death_count, reached_shares, message_rates, spread_times = [0], [], [], []

    def count_deaths():
        for instance in world.live():
            death_count[0] += sum(
                fields.get("now") == "dead" for _, fields in instance.node.context.log_events
            )
            instance.node.context.log_events.clear()

    world.run(3 * SECOND, count_deaths)
    for claim_index in range(3):
        reporter, endpoint = f"n{(claim_index * 7 + 3) % instance_count}", ENDPOINTS[claim_index]
        node = world.instances[reporter].node
        for _ in range(8):
            node.suspicions.record_attempt(world.instances[reporter].clock(), endpoint.id, True)
        reported_at, sent_before = world.now, world.sent
        reached_all_at = [None]

        def check_spread(endpoint=endpoint, reporter=reporter, reached_all_at=reached_all_at):
            if reached_all_at[0] is None and all(
                reporter in instance.node.suspicions.evidence.get(endpoint, {})
                or instance.name == reporter
                for instance in world.live()
            ):
                reached_all_at[0] = world.now

        world.run(
            duration // 3,
            lambda check_spread=check_spread: (check_spread(), count_deaths()),
            SECOND // 5,
        )
        reached_shares.append(
            sum(
                reporter in instance.node.suspicions.evidence.get(endpoint, {})
                for instance in world.live()
            )
            / (instance_count - 1)
        )
        spread_times.append(
            (reached_all_at[0] - reported_at) / SECOND if reached_all_at[0] else None
        )
        message_rates.append((world.sent - sent_before) / instance_count / (duration / 3 / SECOND))
    return {
        "instances": instance_count,
        "loss": loss,
        "spread_s": max(spread_times) if None not in spread_times else None,
        "reached": round(min(reached_shares), 3),
        "messages_per_instance_s": round(sum(message_rates) / len(message_rates), 2),
        "buried": death_count[0],
        "simulated_s": (duration + 3 * SECOND) / SECOND,
        "took_s": round(time.monotonic() - started_at, 1),
    }


def _resident_mb():
    """Returns the resident memory of this process in megabytes, after a garbage collection."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * 4096 / 1e6


def simulate_hour(task):
    """Simulates eight instances with 10% loss for an hour and measures memory and false deaths.

    Each minute one instance restarts, and one of three endpoints fails for all instances in turn.

    Args:
        task: (seed, duration in ticks).

    Returns:
        The figures by name. `false_dead_per_hour` counts, once per second and pair of instances,
        that one considers the other dead although it runs; the first 20 s after a restart are not
        counted.
    """
    seed, duration = task
    world, false_death_count = World([f"n{index}" for index in range(8)], seed, loss=0.1), 0
    world.begin()
    memory_samples, minute = [], 60 * SECOND
    for instance in world.live():
        instance.node.suspicions.set_endpoints(ENDPOINTS)
    for minute_index in range(duration // minute):
        restarted = world.instances[f"n{minute_index % 8}"]
        restarted.kill()
        world.run(SECOND)
        restarted.begin([instance.address for instance in world.live()][:2])
        restarted.node.suspicions.set_endpoints(ENDPOINTS)

        def record_traffic(minute_index=minute_index, restarted_at=world.now):
            nonlocal false_death_count
            for instance in world.live():
                for endpoint_index in range(3):
                    instance.node.suspicions.record_attempt(
                        instance.clock(),
                        ENDPOINTS[endpoint_index].id,
                        endpoint_index == minute_index % 3,
                    )
                instance.node.changed_suspicions.clear()
                instance.node.context.log_events.clear()
                false_death_count += sum(
                    member.state == "dead"
                    and world.instances[name].node is not None
                    and world.now - restarted_at > 20 * SECOND
                    for name, member in instance.node.members.all.items()
                )

        world.run(minute - SECOND, record_traffic)
        if (minute_index + 1) % max(1, duration // minute // 4) == 0:
            memory_samples.append(round(_resident_mb(), 2))
    return {
        "memory_mb_by_quarter": memory_samples[:4],
        "memory_growth": round(memory_samples[-1] / memory_samples[0] - 1, 4),
        "false_dead_per_hour": round(false_death_count * 3600 * SECOND / duration, 2),
        "sent": world.sent,
    }


def measure_gain(task):
    """Simulates a fleet that serves requests, in which one endpoint of twelve fails 60% of them.

    Quiet instances see too few requests to notice the failing endpoint soon; busy ones can warn
    them.

    Args:
        task: (kind of fleet, whether the instances gossip, seed, duration in ticks).

    Returns:
        A tuple of the kind, whether the instances gossip, the share of the attempts of quiet
        instances that failed, and how many healthy endpoints have been suspected, summed over the
        instances that do not lie.
    """
    kind, gossip, seed, duration = task
    # The busy instances send 40 requests per second each, all others 1.
    busy_count, quiet_count, liar_count, settings = {
        "many": (8, 32, 0, TERMS),
        "five": (2, 2, 1, TERMS),
        "crowd": (12, 20, 8, TERMS._replace(hearsay=TERMS.hearsay._replace(liars=8, witnesses=9))),
    }[kind]
    request_rates = {
        f"n{index}": 40.0 if index < busy_count else 1.0
        for index in range(busy_count + quiet_count + liar_count)
    }
    names = list(request_rates)
    shop = Shop(
        request_rates, 12, {"s-5": 0.6}, seed, gossip, names[busy_count + quiet_count :], settings
    )
    shop.world.run(duration)
    wrongful_suspicions = sum(
        endpoint != "s-5" and engine.context.endpoints[endpoint].suspected_until > 0
        for name, engine in shop.balancers.items()
        if name not in names[busy_count + quiet_count :]
        for endpoint in engine.context.endpoints
    )
    return (
        kind,
        gossip,
        shop.share_failed(names[busy_count : busy_count + quiet_count]),
        wrongful_suspicions,
    )


def measure_simulated(seed, short, pool):
    """Returns all figures that are measured in simulated time.

    Args:
        seed: Seed of the simulations.
        short: Whether to run fewer, smaller and shorter simulations.
        pool: Executor that runs the simulations.
    """
    spread_seconds, fleet_sizes = (6, (8, 64)) if short else (9, FLEET_SIZES)
    tasks = sorted(
        (
            (count, loss, seed, spread_seconds * SECOND)
            for count in fleet_sizes
            for loss in LOSS_RATES
        ),
        reverse=True,
    )
    spread_results = pool.map(measure_spread, tasks)
    hour_results = pool.map(simulate_hour, [(seed, (4 if short else 60) * 60 * SECOND)])
    repetitions = 1 if short else 3
    gain_results = pool.map(
        measure_gain,
        [
            (kind, gossip, seed + repetition, (20 if short else 40) * SECOND)
            for kind in ("many", "five", "crowd")
            for repetition in range(repetitions)
            for gossip in (True, False)
        ],
    )
    figures = {
        "simulated": sorted(
            spread_results, key=lambda result: (result["instances"], result["loss"])
        ),
        **next(iter(hour_results)),
    }
    failed_shares, wrongful_suspicions = {}, {}
    for kind, gossip, share, suspicion_count in gain_results:
        failed_shares.setdefault((kind, gossip), []).append(share)
        wrongful_suspicions[kind] = wrongful_suspicions.get(kind, 0) + suspicion_count
    figures["failed_share_quiet"] = {
        kind: {
            "with": round(sum(failed_shares[kind, True]) / repetitions, 4),
            "without": round(sum(failed_shares[kind, False]) / repetitions, 4),
        }
        for kind in ("many", "five", "crowd")
    }
    figures["simulated_wrongful_doubts"] = wrongful_suspicions
    figures["spread_s"] = max((result["spread_s"] or 1e9) for result in figures["simulated"])
    return figures


def main(arguments):
    """Runs the measurement with these command-line arguments and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--short",
        action="store_true",
        help="a short form of the measurement that takes some seconds",
    )
    parser.add_argument("--part", choices=("all", "simulated", "loopback"), default="all")
    options = parser.parse_args(arguments)
    figures, started_at = {"seed": options.seed}, time.monotonic()
    if options.part != "loopback":
        with ProcessPoolExecutor(8, multiprocessing.get_context("spawn")) as pool:
            figures.update(measure_simulated(options.seed, options.short, pool))
        for result in figures["simulated"]:
            print(json.dumps(result))
    if options.part != "simulated":
        from measure.gossip_loopback import measure_loopback

        figures.update(measure_loopback(options.seed, options.short))
    figures["took_s"] = round(time.monotonic() - started_at, 1)
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
