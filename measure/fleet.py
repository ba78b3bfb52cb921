"""make measure-fleet SEED=n: compares the decision engine with earlier revisions on simulated days.

Both run on the same days of a large fleet: the standard kinds, with dozens to hundreds of
instances that receive a few requests per second each; the vast kinds, with about forty instances,
sixty pods, three stages and two builds; and the mass kinds, with 216 instances, 108 pods and the
counts of the platform. The last line is JSON; each figure has both means and the difference with
its 95% confidence interval over the same days.
--kinds vast selects the three vast kinds, --kinds mass the four mass kinds; --short is for CI.
"""

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

# The decision engine as it was when the standard, vast and mass kinds were first simulated.
DEFAULT_BASELINE = "at:91b8f20"
DEFAULT_VAST_BASELINE = "at:9db9198"
DEFAULT_MASS_BASELINE = "at:292be0d"


def main(arguments):
    """Runs the measurement with these command-line arguments and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--before",
        help="policy that days of the standard kinds are compared with, "
        f"{DEFAULT_BASELINE} if left out, and of the mass kinds, {DEFAULT_MASS_BASELINE}",
    )
    parser.add_argument("--before-vast", default=DEFAULT_VAST_BASELINE)
    parser.add_argument("--vast-days", type=int, default=7, help="number of days of each vast kind")
    parser.add_argument("--mass-days", type=int, default=4, help="number of days of each mass kind")
    parser.add_argument("--days", type=int, default=4, help="number of days of each standard kind")
    parser.add_argument("--instances", type=int, default=60)
    parser.add_argument("--pods", type=int, default=36)
    parser.add_argument("--workers", type=int, default=os.cpu_count() or 1)
    parser.add_argument(
        "--kinds",
        default=",".join((*large_fleet_scenarios.STANDARD_KINDS, "vast", "mass")),
        help="vast: the three vast kinds, mass: the four mass kinds",
    )
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args(arguments)
    size, vast_size, mass_size = {"instances": options.instances, "pods": options.pods}, {}, {}
    days, vast_days, mass_days, before = (
        options.days,
        options.vast_days,
        options.mass_days,
        options.before or DEFAULT_BASELINE,
    )
    if options.short:
        size, days, vast_days = {"instances": 12, "pods": 9, "seconds": 12, "load": 0.4}, 1, 1
        vast_size, mass_size, mass_days = (
            {**size, "seconds": 16},
            {"instances": 12, "pods": 9, "seconds": 20},
            1,
        )
    started_at, kinds = time.monotonic(), options.kinds.split(",")
    vast_kinds = (
        large_fleet_scenarios.VAST_KINDS
        if "vast" in kinds
        else tuple(
            requested for requested in kinds if requested in large_fleet_scenarios.VAST_KINDS
        )
    )
    mass_kinds = (
        large_fleet_scenarios.MASS_KINDS
        if "mass" in kinds
        else tuple(
            requested for requested in kinds if requested in large_fleet_scenarios.MASS_KINDS
        )
    )
    standard_kinds = [
        requested for requested in kinds if requested in large_fleet_scenarios.STANDARD_KINDS
    ]
    figures = {"seed": options.seed}
    if standard_kinds:
        pairs = simulate_large_fleet_pairs(
            before,
            "now",
            standard_kinds,
            range(options.seed, options.seed + days),
            size,
            options.workers,
        )
        standard_figures = summarize_large_fleet_pairs(pairs)
        for kind, kind_figures in standard_figures.pop("by_kind").items():
            print(
                f"{kind:9}",
                *(
                    f"{name} {means['before']:.3f} -> {means['now']:.3f}"
                    for name, means in kind_figures.items()
                ),
            )
        figures.update(days=len(pairs), **size, before=before, **standard_figures)
    if vast_kinds:
        pairs = simulate_large_fleet_pairs(
            options.before_vast,
            "now",
            vast_kinds,
            range(options.seed, options.seed + vast_days),
            vast_size,
            options.workers,
        )
        figures["vast"] = {
            "days": len(pairs),
            "before": options.before_vast,
            **summarize_vast_pairs(pairs),
            "breaches": [breach for pair in pairs for breach in pair[1]["breaches"]][:5],
        }
        for kind in vast_kinds:
            figures_by_name = figures["vast"][kind]
            print(
                f"{kind:9}",
                *(
                    f"{name} {values['before']} -> {values['now']}"
                    for name, values in figures_by_name.items()
                    if isinstance(values, dict)
                ),
            )
    if mass_kinds:
        before = options.before or DEFAULT_MASS_BASELINE
        pairs = simulate_large_fleet_pairs(
            before,
            "now",
            mass_kinds,
            range(options.seed, options.seed + mass_days),
            mass_size,
            options.workers,
        )
        figures["mass"] = {
            "days": len(pairs),
            "before": before,
            **summarize_mass_pairs(pairs),
            "breaches": [breach for pair in pairs for breach in pair[1]["breaches"]][:5],
        }
        for kind in (*mass_kinds, "all"):
            figures_by_name = figures["mass"][kind]
            print(
                f"{kind:9}",
                *(
                    f"{name} {values['before']} -> {values['now']}"
                    for name, values in figures_by_name.items()
                    if isinstance(values, dict)
                ),
            )
    print(json.dumps({**figures, "took_s": round(time.monotonic() - started_at)}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
