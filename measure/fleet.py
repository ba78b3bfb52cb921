"""make measure-fleet SEED=n: days of a whole fleet, the decisions as they were at a revision and as they are, paired.

Simulated, in the laboratory: hundreds of instances that see a few transactions a second each. The last line is JSON;
each figure has both means and the difference with its 95% interval over the same days. --short is for CI."""

import argparse
import json
import os
import sys
import time

from thymeknot.laboratory import crowds
from thymeknot.laboratory.experiments import crowd_figures, crowds_compared

BEFORE = "at:91b8f20"           # the decisions as the fleet trial first met them


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--before", default=BEFORE)
    parser.add_argument("--days", type=int, default=4, help="of each kind")
    parser.add_argument("--instances", type=int, default=60)
    parser.add_argument("--pods", type=int, default=36)
    parser.add_argument("--workers", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--kinds", default=",".join(crowds.KINDS))
    parser.add_argument("--short", action="store_true")
    told = parser.parse_args(arguments)
    size, days = {"instances": told.instances, "pods": told.pods}, told.days
    if told.short:
        size, days = {"instances": 12, "pods": 9, "seconds": 12, "load": 0.4}, 1
    begin = time.monotonic()
    pairs = crowds_compared(told.before, "now", told.kinds.split(","), range(told.seed, told.seed + days), size,
                            told.workers)
    figures = crowd_figures(pairs)
    for kind, some in figures.pop("by_kind").items():
        print(f"{kind:9}", *(f"{name} {one['before']:.3f} -> {one['now']:.3f}" for name, one in some.items()))
    print(json.dumps({"seed": told.seed, "days": len(pairs), **size, "before": told.before, **figures,
                      "took_s": round(time.monotonic() - begin)}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
