"""Runs the soak test over many seeds: python -m tests.soak --seeds 1-50.

Each violation is printed with the command that reproduces it.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from tests.soak import orders, planted, returns, rounds
from tests.soak.plan import draw_plan
from tests.soak.player import run_plan

TIMELINE_LINES = 40  # printed for each seed with violations
MAX_VIOLATIONS_SHOWN = 5  # printed for each seed


def parse_numbers(text):
    """Returns the numbers of a text such as 1-50 or 1,2,7."""
    parsed = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        parsed += range(int(first), int(last or first) + 1)
    return parsed


def run_seed(seed):
    """Returns (seed, summary of the plan, summary of the run, report of the violations or "")."""
    try:
        result = run_plan(seed)
    except Exception as error:  # counts as a failure and must not end the other runs
        return seed, draw_plan(seed).summary(), "the run itself failed", f"seed {seed}: {error!r}"
    return seed, result.plan.summary(), result.summary(), report(result)


def report(result):
    """Returns the violations, the command that reproduces them and the timeline; "" if none."""
    failures = result.failures
    if not failures:
        return ""
    seed = result.plan.seed
    lines = [f"seed {seed}: {len(failures)} violations: python -m tests.soak --seeds {seed}"]
    lines += [
        f"  {failure.kind}: {failure.request_id or ''} {failure.text}"
        for failure in failures[:MAX_VIOLATIONS_SHOWN]
    ]
    request_id = next(
        (violation.request_id for violation in failures if violation.request_id), None
    )
    lines += [f"    {line}" for line in result.observations.timeline(request_id, TIMELINE_LINES)]
    return "\n".join(lines)


def run_injected_fault(name):
    """Returns (name, the seeds that were run, the one that found the fault or None)."""
    fault = planted.FAULTS[name]
    for count, seed in enumerate(fault.seeds, 1):
        kinds = {violation.kind for violation in run_plan(seed, fault.program).failures}
        if fault.kind in kinds:
            return name, fault.seeds[:count], seed
    return name, fault.seeds, None


def _run_seeds(pool, seeds):
    failed = 0
    for seed, plan, seen, failures in pool.map(run_seed, seeds):
        print(f"{seed}: {plan}\n   {seen}{'' if failures else ': no violations'}", flush=True)
        if failures:
            failed += 1
            print(failures, flush=True)
    print(f"{len(seeds) - failed} of {len(seeds)} runs without a violation", flush=True)
    return failed


def _run_injected_faults(pool):
    missed = 0
    for name, seeds, found in pool.map(run_injected_fault, planted.FAULTS):
        missed += found is None
        outcome = f"found by seed {found}" if found is not None else "NOT found"
        print(f"injected fault, {name}: {outcome} (ran {', '.join(map(str, seeds))})", flush=True)
    return missed


def _run_orders(pool, seeds, examples):
    failed = 0
    for seed, found in zip(
        seeds, pool.map(orders.find_failing_orders, seeds, [examples] * len(seeds))
    ):
        if found is not None:
            failed += 1
            print(f"orders of seed {seed} ({examples} lists): {found[1]}; {found[0]}", flush=True)
    print(f"orders: {len(seeds) - failed} of {len(seeds)} seeds without a fault", flush=True)
    return failed


def _run_rounds(seeds):
    result = rounds.run_rounds(seeds)
    growth = result.growth()
    print(
        f"rounds: {len(seeds)}, {result.request_count} requests; idle after {rounds.BASELINE_ROUND}: {result.baseline}, "
        f"after all: {result.final}: {'; '.join(growth) or 'no growth'}",
        flush=True,
    )
    return len(growth)


def _run_returns(seconds):
    result = returns.run_returns(seconds)
    print(
        f"returns: {result.drains} drains, {result.answered} connections answered, "
        f"not answered: {'; '.join(result.lost) or 'none'}",
        flush=True,
    )
    return len(result.lost)


def main(arguments):
    """Runs what the command line asks for and returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument(
        "--seeds", type=parse_numbers, default=[], help="seeds of plans to run, as 1-50 or 1,2,7"
    )
    parser.add_argument("--jobs", type=int, default=3, help="parallel runs")
    parser.add_argument(
        "--planted", action="store_true", help="check that the injected faults are found"
    )
    parser.add_argument(
        "--orders", type=parse_numbers, default=[], help="seeds of event orders for the stepped rig"
    )
    parser.add_argument("--lists", type=int, default=80, help="lists of orders for each seed")
    parser.add_argument(
        "--rounds",
        type=parse_numbers,
        default=[],
        help="seeds of rounds against one process, to find leaks",
    )
    parser.add_argument(
        "--returns", type=float, default=0.0, help="seconds of drains and returns in series"
    )
    options = parser.parse_args(arguments)
    failures = 0
    with ProcessPoolExecutor(options.jobs, mp_context=get_context("spawn")) as pool:
        if options.seeds:
            failures += _run_seeds(pool, options.seeds)
        if options.planted:
            failures += _run_injected_faults(pool)
        if options.orders:
            failures += _run_orders(pool, options.orders, options.lists)
    if options.rounds:
        failures += _run_rounds(options.rounds)
    if options.returns:
        failures += _run_returns(options.returns)
    return 1 if failures else 0
