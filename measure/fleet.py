"""make measure-fleet SEED=n: days of a whole fleet, the decisions as they were at a revision and as they are, paired.

Simulated, in the laboratory: hundreds of instances that see a few transactions a second each, and the vast kinds, some
forty by sixty pods with three stages and two builds, and the mass kinds, 216 by 108 pods with the platform's counts.
The last line is JSON; each figure has both means and the difference with its 95% interval over the same days. --kinds
vast is for those three alone, --kinds mass for those four, --short is for CI."""

import argparse
import json
import os
import sys
import time

from thymeknot.simulation import large_fleet_scenarios
from thymeknot.simulation.experiments import (
    simulate_large_fleet_pairs,
    summarize_large_fleet_pairs,
    summarize_mass_pairs,
    summarize_vast_pairs,
)

BEFORE = "at:91b8f20"  # the decisions as the fleet trial first met them
BEFORE_VAST = "at:9db9198"  # and as the vast days did
BEFORE_MASS = "at:292be0d"  # and as the mass days did


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--before", help=f"of the usual kinds, {BEFORE} if left out, and of mass, {BEFORE_MASS}"
    )
    parser.add_argument("--before-vast", default=BEFORE_VAST)
    parser.add_argument("--vast-days", type=int, default=7, help="of each vast kind")
    parser.add_argument("--mass-days", type=int, default=4, help="of each mass kind")
    parser.add_argument("--days", type=int, default=4, help="of each kind")
    parser.add_argument("--instances", type=int, default=60)
    parser.add_argument("--pods", type=int, default=36)
    parser.add_argument("--workers", type=int, default=os.cpu_count() or 1)
    parser.add_argument(
        "--kinds",
        default=",".join((*large_fleet_scenarios.KINDS, "vast", "mass")),
        help="vast: the three vast ones, mass: the four mass ones",
    )
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args(arguments)
    size, vast_size, mass_size = {"instances": told.instances, "pods": told.pods}, {}, {}
    days, vast_days, mass_days, before = (
        told.days,
        told.vast_days,
        told.mass_days,
        told.before or BEFORE,
    )
    if told.short:
        size, days, vast_days = {"instances": 12, "pods": 9, "seconds": 12, "load": 0.4}, 1, 1
        vast_size, mass_size, mass_days = (
            {**size, "seconds": 16},
            {"instances": 12, "pods": 9, "seconds": 20},
            1,
        )
    begin, kinds = time.monotonic(), told.kinds.split(",")
    vast = (
        large_fleet_scenarios.VAST
        if "vast" in kinds
        else tuple(one for one in kinds if one in large_fleet_scenarios.VAST)
    )
    mass = (
        large_fleet_scenarios.MASS
        if "mass" in kinds
        else tuple(one for one in kinds if one in large_fleet_scenarios.MASS)
    )
    usual = [one for one in kinds if one in large_fleet_scenarios.KINDS]
    figures = {"seed": told.seed}
    if usual:
        pairs = simulate_large_fleet_pairs(
            before, "now", usual, range(told.seed, told.seed + days), size, told.workers
        )
        some = summarize_large_fleet_pairs(pairs)
        for kind, one in some.pop("by_kind").items():
            print(
                f"{kind:9}",
                *(f"{name} {of['before']:.3f} -> {of['now']:.3f}" for name, of in one.items()),
            )
        figures.update(days=len(pairs), **size, before=before, **some)
    if vast:
        pairs = simulate_large_fleet_pairs(
            told.before_vast,
            "now",
            vast,
            range(told.seed, told.seed + vast_days),
            vast_size,
            told.workers,
        )
        figures["vast"] = {
            "days": len(pairs),
            "before": told.before_vast,
            **summarize_vast_pairs(pairs),
            "breaches": [one for pair in pairs for one in pair[1]["breaches"]][:5],
        }
        for kind in vast:
            told_of = figures["vast"][kind]
            print(
                f"{kind:9}",
                *(
                    f"{name} {one['before']} -> {one['now']}"
                    for name, one in told_of.items()
                    if isinstance(one, dict)
                ),
            )
    if mass:
        before = told.before or BEFORE_MASS
        pairs = simulate_large_fleet_pairs(
            before, "now", mass, range(told.seed, told.seed + mass_days), mass_size, told.workers
        )
        figures["mass"] = {
            "days": len(pairs),
            "before": before,
            **summarize_mass_pairs(pairs),
            "breaches": [one for pair in pairs for one in pair[1]["breaches"]][:5],
        }
        for kind in (*mass, "all"):
            told_of = figures["mass"][kind]
            print(
                f"{kind:9}",
                *(
                    f"{name} {one['before']} -> {one['now']}"
                    for name, one in told_of.items()
                    if isinstance(one, dict)
                ),
            )
    print(json.dumps({**figures, "took_s": round(time.monotonic() - begin)}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
