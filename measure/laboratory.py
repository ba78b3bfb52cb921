"""make measure-laboratory SEED=n: whether the laboratory's own figures can be trusted, and what it costs.

Ends with one line of JSON. All simulated but held_per_core, which is the real program on loopback (own rig)."""

import argparse
import json
import sys
import time

import numpy as np

from measure.load import drive, quantile
from tests.support.peers import FakeEndpoint
from tests.support.programs import Program
from thymeknot.simulation import scenarios, statistics
from thymeknot.simulation.baseline_policies import BREAKERS
from thymeknot.simulation.calibration import broken_by, queue
from thymeknot.simulation.experiments import run
from thymeknot.simulation.random_streams import gamma, zipf_keys
from thymeknot.simulation.simulator import Simulator, current_engine


def held_per_core(seed, start=200):
    """The highest rate, in steps of a quarter, that one sidecar answers with p99 under 50 ms and that the load tool
    could offer: where it falls short of its own rate by 3%, it is the one that is saturated."""
    from concurrent.futures import ProcessPoolExecutor
    from multiprocessing import get_context

    pods = [FakeEndpoint(lambda words: b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n") for _ in range(3)]
    held, rate, why = 0, start, "none failed"
    with (
        Program(*(pod.entry(f"s-{at}") for at, pod in enumerate(pods))) as program,
        ProcessPoolExecutor(2, get_context("spawn")) as pool,
    ):
        while rate < 4000:
            results = pool.submit(drive, program.port, rate, 2, seed, "read", 32).result()
            last = max(at + took for at, took, _, _ in results)
            p99 = quantile([took for _, took, _, _ in results], 0.99)
            if last > 2.1 and p99 < 0.05:
                why = f"the load tool is saturated at {rate}"
                break
            if p99 >= 0.05 or any(how != "done" for _, _, how, _ in results):
                why = f"p99 {1000 * p99:.0f} ms at {rate}"
                break
            held, rate = rate, int(rate * 1.25)
    for pod in pods:
        pod.close()
    return held, why


def queue_error(seed, loads=(0.3, 0.6, 0.85), runs=8, count=600_000):
    """The largest relative error of mean and 95th percentile against Erlang's formulas, over the means of several runs:
    at 85% load one run of this length wanders by some percent, as busy spells last thousands of arrivals."""
    from concurrent.futures import ProcessPoolExecutor
    from multiprocessing import get_context

    errors = []
    with ProcessPoolExecutor(runs, get_context("spawn")) as pool:
        waiting = {
            load: [pool.submit(queue, 4, load, count, seed * 1000 + at) for at in range(runs)]
            for load in loads
        }
        for some in waiting.values():
            found = np.mean([one.result() for one in some], axis=0)
            errors += [abs(found[0] / found[2] - 1), abs(found[1] / found[3] - 1)]
    return float(max(errors))


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(arguments).seed
    figures = {"seed": seed, "queue_error": round(queue_error(seed), 4)}
    chance = np.random.Generator(np.random.PCG64(seed))
    gaps, keys = gamma(chance, 1.0, 1.0), zipf_keys(chance, 20_000, 0.9)
    figures["arrivals_p"] = round(statistics.arrivals_p([gaps.next() for _ in range(50_000)]), 4)
    figures["zipf_p"] = round(
        statistics.zipf_p([keys.next() for _ in range(50_000)], 20_000, 0.9), 4
    )
    figures["rules_found"] = sum(
        rule in broken_by(breaker, seed) for rule, breaker in BREAKERS.items()
    )
    figures["rules_false"] = len(broken_by(current_engine, seed))
    day = scenarios.drawn(seed, instances=400, pods=80, rate=400.0, seconds=60)
    begin = time.monotonic()
    big = Simulator(day, current_engine).run()
    figures["sim_seconds"] = round(time.monotonic() - begin, 1)
    figures["big_day"] = big.figures()
    size, took = {"instances": 20, "pods": 12, "rate": 200.0, "seconds": 30}, {}
    tasks = [("now", seed + at, size) for at in range(16)]
    for workers in (1, 8):
        begin = time.monotonic()
        took[workers] = run(tasks, workers), time.monotonic() - begin
    figures["same_in_one_and_eight"] = took[1][0] == took[8][0]
    figures["cores_speedup"] = round(took[1][1] / took[8][1], 2)
    figures["held_per_core"], figures["held_until"] = held_per_core(seed)
    figures["sim_live_gap"] = None  # days are not played with real programs yet
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
