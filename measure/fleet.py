"""make measure-fleet SEED=n: days of a whole fleet, the decisions as they were at a revision and as they are, paired.

Simulated, in the laboratory: hundreds of instances that see a few transactions a second each. The last line is JSON;
each figure has both means and the difference with its 95% interval over the same days."""

import argparse
import json
import os
import sys
import time

from thymeknot.laboratory import crowds
from thymeknot.laboratory.experiments import crowds_compared
from thymeknot.laboratory.numbers import paired

BEFORE = "at:91b8f20"           # the decisions as the fleet trial first met them


def told(pairs, name):
    """Means of both, and now - before with its interval."""
    before, now = ([float(one[at][name]) for one in pairs] for at in (0, 1))
    gap = paired(now, before)
    return {"before": round(sum(before) / len(before), 4), "now": round(sum(now) / len(now), 4),
            "gap": round(gap.mean, 4), "low": round(gap.low, 4), "high": round(gap.high, 4)}


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--before", default=BEFORE)
    parser.add_argument("--days", type=int, default=4, help="of each kind")
    parser.add_argument("--instances", type=int, default=60)
    parser.add_argument("--pods", type=int, default=36)
    parser.add_argument("--workers", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--kinds", default=",".join(crowds.KINDS))
    told_to = parser.parse_args(arguments)
    seeds = range(told_to.seed, told_to.seed + told_to.days)
    size, begin = {"instances": told_to.instances, "pods": told_to.pods}, time.monotonic()
    pairs = crowds_compared(told_to.before, "now", told_to.kinds.split(","), seeds, size, told_to.workers)
    for kind in told_to.kinds.split(","):
        some = [pair for pair in pairs if pair[0]["kind"] == kind]
        print(f"{kind:9}", *(f"{name} {told(some, name)['before']:.3f} -> {told(some, name)['now']:.3f}" for name in (
            "service", "worst_10s", "needless", "behind", "recover_s")))
    usual, over = ([pair for pair in pairs if (pair[0]["kind"] == "overload") is so] for so in (False, True))
    good, bad = ([pair for pair in pairs if pair[0]["good"] is so] for so in (True, False))
    print(json.dumps({
        "seed": told_to.seed, "days": len(pairs), **size, "before": told_to.before,
        "needless_share": told(usual, "needless") if usual else None,
        "overload_served": told(over, "service") if over else None,
        "service": told(pairs, "service"), "worst_10s": told(pairs, "worst_10s"), "worth": told(pairs, "worth"),
        "recover_s": told(pairs, "recover_s"),
        "good_back": told(good, "good_back") if good else None,
        "bad_released": told(bad, "bad_released") if bad else None,
        "rules_broken": [sorted({rule for pair in pairs for rule in pair[at]["rules_broken"]}) for at in (0, 1)],
        "breaches": [one for pair in pairs for one in pair[1]["breaches"]][:5],
        "took_s": round(time.monotonic() - begin)}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
