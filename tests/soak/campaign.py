"""Plays many seeds, and says what broke, with what it takes to see it again: python -m tests.soak --seeds 1-50."""

import argparse
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from tests.soak import orders, planted, rounds
from tests.soak.plan import draw_plan
from tests.soak.player import run_plan

TIMELINE_LINES = 40  # lines of the order of what happened
MAX_VIOLATIONS_SHOWN = 5  # breaches of a play


def parse_numbers(text):
    """1-50 or 1,2,7."""
    parsed = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        parsed += range(int(first), int(last or first) + 1)
    return parsed


def run_seed(seed):
    """(seed, what was drawn, what was seen, the report of what broke or "")."""
    try:
        result = run_plan(seed)
    except Exception as error:  # one play must not end the campaign, and counts as broken
        return seed, draw_plan(seed).summary(), "the play itself failed", f"seed {seed}: {error!r}"
    return seed, result.plan.summary(), result.summary(), report(result)


def report(result):
    """What broke in a play, the command that shows it, and the order of what happened."""
    failures = result.failures
    if not failures:
        return ""
    seed = result.plan.seed
    lines = [f"seed {seed}: {len(failures)} breaches: python -m tests.soak --seeds {seed}"]
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
    """(name, the seeds played, the one that found it or None)."""
    fault = planted.FAULTS[name]
    for count, seed in enumerate(fault.seeds, 1):
        kinds = {violation.kind for violation in run_plan(seed, fault.program).failures}
        if fault.kind in kinds:
            return name, fault.seeds[:count], seed
    return name, fault.seeds, None


def _run_seeds(pool, seeds):
    failed = 0
    for seed, plan, seen, failures in pool.map(run_seed, seeds):
        print(f"{seed}: {plan}\n   {seen}{'' if failures else ': nothing broke'}", flush=True)
        if failures:
            failed += 1
            print(failures, flush=True)
    print(f"{len(seeds) - failed} of {len(seeds)} plays without a breach", flush=True)
    return failed


def _run_injected_faults(pool):
    missed = 0
    for name, seeds, found in pool.map(run_injected_fault, planted.FAULTS):
        missed += found is None
        outcome = f"found by seed {found}" if found is not None else "NOT found"
        print(f"planted, {name}: {outcome} (played {', '.join(map(str, seeds))})", flush=True)
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
        f"rounds: {len(seeds)}, {result.request_count} requests; at rest after {rounds.BASELINE_ROUND}: {result.baseline}, "
        f"after all: {result.final}: {'; '.join(growth) or 'nothing has grown'}",
        flush=True,
    )
    return len(growth)


def main(arguments):
    """Runs what the words of the command line name; gives an exit code."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=parse_numbers, default=[], help="plays, as 1-50 or 1,2,7")
    parser.add_argument("--jobs", type=int, default=3, help="plays at once")
    parser.add_argument("--planted", action="store_true", help="the planted faults, too")
    parser.add_argument("--orders", type=parse_numbers, default=[], help="seeds of the stepped rig")
    parser.add_argument("--lists", type=int, default=80, help="lists of orders a seed")
    parser.add_argument("--rounds", type=parse_numbers, default=[], help="rounds at one process")
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
    return 1 if failures else 0
