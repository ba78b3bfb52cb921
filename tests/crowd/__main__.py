"""Plays crowds by hand and prints a table.

python -m tests.crowd [--kind KIND ...] [--memory 32 64 192] [--sockets 1024] [--seconds 8]
"""

import argparse

from tests.crowd.behaviours import KINDS, MIXED
from tests.crowd.trial import HEADER, TrialPlan, run_trial

SINGLE_CLIENT_KINDS = ("new names", "unknown class")
FEW_CLIENTS_KINDS = {"send and close": 21, "many requests": 24}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", nargs="*", default=[*KINDS, MIXED, "none"])
    parser.add_argument("--count", type=int)
    parser.add_argument("--memory", type=int, nargs="*", default=[32])
    parser.add_argument("--sockets", type=int, nargs="*", default=[1024])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kills", type=float, nargs="*", default=[])
    parser.add_argument("--quiet", type=float, default=0.0)
    parser.add_argument("--work", type=float, default=0.0, help="seconds that endpoints work")
    parser.add_argument("--logs", action="store_true", help="print the process's log")
    options = parser.parse_args()
    print(HEADER, flush=True)
    for memory_mb in options.memory:
        for sockets in options.sockets:
            for kind in options.kind:
                count = 1 if kind in SINGLE_CLIENT_KINDS else FEW_CLIENTS_KINDS.get(kind, 400)
                plan = TrialPlan(
                    None if kind == "none" else kind,
                    options.count or count,
                    options.seconds,
                    memory_mb,
                    sockets,
                    options.seed,
                    tuple(options.kills),
                    options.quiet,
                    options.work,
                )
                result = run_trial(plan)
                print(result.row(), *result.exits, *result.faults[:3], flush=True)
                if options.logs:
                    print("\n".join(result.log[-60:]))


if __name__ == "__main__":
    main()
