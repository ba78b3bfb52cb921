"""Plays many seeds, and says what broke, with what it takes to see it again: python -m tests.soak --seeds 1-50."""

import argparse
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from tests.soak import orders, planted, rounds
from tests.soak.plan import draw_plan
from tests.soak.player import play

CHRONOLOGY = 40  # lines of the order of what happened
SHOWN = 5  # breaches of a play


def numbers(text):
    """1-50 or 1,2,7."""
    found = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def run_seed(seed):
    """(seed, what was drawn, what was seen, the report of what broke or "")."""
    try:
        played = play(seed)
    except Exception as error:  # one play must not end the campaign, and counts as broken
        return seed, draw_plan(seed).told(), "the play itself failed", f"seed {seed}: {error!r}"
    return seed, played.plan.told(), played.told(), report(played)


def report(played):
    """What broke in a play, the command that shows it, and the order of what happened."""
    failures = played.failures
    if not failures:
        return ""
    seed = played.plan.seed
    lines = [f"seed {seed}: {len(failures)} breaches: python -m tests.soak --seeds {seed}"]
    lines += [f"  {one.kind}: {one.name or ''} {one.text}" for one in failures[:SHOWN]]
    name = next((breach.name for breach in failures if breach.name), None)
    lines += [f"    {line}" for line in played.ledger.chronology(name, CHRONOLOGY)]
    return "\n".join(lines)


def run_injected_fault(name):
    """(name, the seeds played, the one that found it or None)."""
    fault = planted.FAULTS[name]
    for count, seed in enumerate(fault.seeds, 1):
        kinds = {breach.kind for breach in play(seed, fault.code).failures}
        if fault.kind in kinds:
            return name, fault.seeds[:count], seed
    return name, fault.seeds, None


def _seeds(pool, seeds):
    broken = 0
    for seed, plan, seen, text in pool.map(run_seed, seeds):
        print(f"{seed}: {plan}\n   {seen}{'' if text else ': nothing broke'}", flush=True)
        if text:
            broken += 1
            print(text, flush=True)
    print(f"{len(seeds) - broken} of {len(seeds)} plays without a breach", flush=True)
    return broken


def _planted(pool):
    missed = 0
    for name, seeds, found in pool.map(run_injected_fault, planted.FAULTS):
        missed += found is None
        outcome = f"found by seed {found}" if found is not None else "NOT found"
        print(f"planted, {name}: {outcome} (played {', '.join(map(str, seeds))})", flush=True)
    return missed


def _orders(pool, seeds, examples):
    broken = 0
    for seed, found in zip(
        seeds, pool.map(orders.find_failing_orders, seeds, [examples] * len(seeds))
    ):
        if found is not None:
            broken += 1
            print(f"orders of seed {seed} ({examples} lists): {found[1]}; {found[0]}", flush=True)
    print(f"orders: {len(seeds) - broken} of {len(seeds)} seeds without a fault", flush=True)
    return broken


def _rounds(seeds):
    held = rounds.play(seeds)
    faults = held.faults()
    print(
        f"rounds: {len(seeds)}, {held.requests} requests; at rest after {rounds.FIRST}: {held.early}, "
        f"after all: {held.late}: {'; '.join(faults) or 'nothing has grown'}",
        flush=True,
    )
    return len(faults)


def main(words):
    """Runs what the words of the command line name; gives an exit code."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=numbers, default=[], help="plays, as 1-50 or 1,2,7")
    parser.add_argument("--jobs", type=int, default=3, help="plays at once")
    parser.add_argument("--planted", action="store_true", help="the planted faults, too")
    parser.add_argument("--orders", type=numbers, default=[], help="seeds of the stepped rig")
    parser.add_argument("--lists", type=int, default=80, help="lists of orders a seed")
    parser.add_argument("--rounds", type=numbers, default=[], help="rounds at one process")
    given = parser.parse_args(words)
    broken = 0
    with ProcessPoolExecutor(given.jobs, mp_context=get_context("spawn")) as pool:
        if given.seeds:
            broken += _seeds(pool, given.seeds)
        if given.planted:
            broken += _planted(pool)
        if given.orders:
            broken += _orders(pool, given.orders, given.lists)
    if given.rounds:
        broken += _rounds(given.rounds)
    return 1 if broken else 0
