"""Experiments: days by seed, played with each policy on all cores, and compared.

Results are kept as they come, and an experiment that was interrupted goes on where it was. Every
result holds what it takes to play it again: seed, size, policy, version. Results and comparisons
are maps, as they are written and printed as JSON.
"""

import math
import multiprocessing
import os
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Any

import orjson

from ..interface.enums import ReleasePhase
from . import large_fleet_scenarios, scenarios, statistics
from .baseline_policies import TEXTBOOK
from .earlier_versions import UnknownRevisionError, load_version
from .simulator import Simulator, current_engine

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


Result = dict[str, Any]
"""The figures of one day with one policy."""
Pair = tuple[Result, Result]
"""The results of two policies on one day."""
Size = dict[str, Any]
"""Arguments of what draws the day."""
Progress = Callable[[int, int], object]
"""Called with how many results are done, and of how many."""

# Asked is 0 on a day without requests: the shares of it are then 0.
LEAST_ASKED = 1e-9
# Breaches that a result holds at most.
MAX_BREACHES = 5
# Days that a search gives at most.
MAX_SEARCHED = 3


def no_progress(done: int, count: int) -> None:
    """Ignores the progress."""


class UnknownPolicyError(ValueError):
    """No such policy, version or result."""


def policy(name: str) -> Any:
    """`now` is the present engine, `at:REVISION` an earlier one, else a baseline policy."""
    if name == "now":
        return current_engine
    if name.startswith("at:"):
        try:
            return load_version(name[3:])
        except UnknownRevisionError as error:
            raise UnknownPolicyError(str(error)) from None
    if name not in TEXTBOOK:
        raise UnknownPolicyError(f"{name}: none of now, at:REVISION, {', '.join(TEXTBOOK)}")
    return TEXTBOOK[name]


def played(task: tuple[str, int, Size]) -> Result:
    """One day with one policy: its figures, with what it takes to play it again."""
    name, seed, size = task
    fleet = Simulator(scenarios.drawn(seed, **size), policy(name)).run()
    return {
        "policy": name,
        "seed": seed,
        "size": size,
        "troubles": [one.kind for one in fleet.day.faults],
        "faulty": [list(one) for one in fleet.day.offers],
        **fleet.figures(),
    }


def crowd_played(task: tuple[str, str, int, Size]) -> Result:
    """One day of a large fleet (policy, kind, seed, size): what its decisions are judged by."""
    name, kind, seed, size = task
    day, (_, end) = large_fleet_scenarios.of_kind(seed, kind, **size)
    fleet = Simulator(day, policy(name)).run()
    offer = day.offers[0]
    turned_away, needless = fleet.results.rejection_ratios()
    if kind in large_fleet_scenarios.VAST:
        return {
            "policy": name,
            "kind": kind,
            "seed": seed,
            "turned_away": turned_away,
            "recover_s": fleet.results.recovery_seconds(end),
            **vast_figures(fleet),
        }
    if kind in large_fleet_scenarios.MASS:
        return {
            "policy": name,
            "kind": kind,
            "seed": seed,
            "turned_away": turned_away,
            "recover_s": fleet.results.recovery_seconds(end),
            **mass_figures(fleet),
        }
    back = fleet.platform.state.phase in (ReleasePhase.ROLLING_BACK, ReleasePhase.WITHDRAWN)
    return {
        "policy": name,
        "kind": kind,
        "seed": seed,
        "good": offer.good,
        "worth": fleet.results.net_earnings_ratio(),
        "service": fleet.results.earnings_ratio(),
        "worst_10s": fleet.results.worst_earnings_ratio(),
        "turned_away": turned_away,
        "needless": needless,
        "behind": fleet.results.outdated_earnings
        / max(LEAST_ASKED, fleet.results.possible_earnings),
        "recover_s": fleet.results.recovery_seconds(end),
        "good_back": offer.good and back,
        "bad_released": not offer.good and bool(fleet.results.released),
        "bad_kept": not offer.good
        and fleet.platform.state.phase == ReleasePhase.RELEASED
        and fleet.platform.state.build == offer.build,
        "votes": fleet.results.vote_calls,
        "rules_broken": fleet.checker.violated_rules(),
        "breaches": [list(one) for one in fleet.checker.violations[:MAX_BREACHES]],
    }


VAST_FIGURES = (
    "worth",
    "service",
    "worst_10s",
    "behind",
    "harm",
    "needless_share",
    "handshakes_per_transaction",
    "lists_per_instance",
    "calls_refused_share",
    "cold_overrun",
)


def vast_figures(fleet: Simulator) -> Result:
    """What a day of a vast kind is judged by.

    All are shares, but for lists_per_instance (calls in all) and cold_overrun (the most that a
    server that warms up was sent, over what overloads it).
    """
    asked = max(LEAST_ASKED, fleet.results.possible_earnings)
    good = [one.build for one in fleet.day.offers if one.good]
    bad = [one.build for one in fleet.day.offers if not one.good]
    votes = fleet.results.vote_calls
    return {
        "worth": fleet.results.net_earnings_ratio(),
        "service": fleet.results.earnings_ratio(),
        "worst_10s": fleet.results.worst_earnings_ratio(),
        "needless_share": fleet.results.rejection_ratios()[1],
        "behind": fleet.results.outdated_earnings / asked,
        "harm": fleet.results.harm / asked,
        "handshakes_per_transaction": fleet.connections.opened_count
        / max(1, fleet.results.dispatched_attempts),
        "lists_per_instance": fleet.discovery.call_count / fleet.day.instances
        if fleet.discovery
        else 0.0,
        "calls_refused_share": votes["full"] / max(1, votes["asked"]),
        "cold_overrun": fleet.checker.max_warmup_load_ratio,
        "good_back": sum(build in fleet.results.rolled_back for build in good),
        "good": len(good),
        "bad": len(bad),
        "bad_released": sum(build in fleet.results.released for build in bad),
        "good_released": sum(build in fleet.results.released for build in good),
        "rules_broken": fleet.checker.violated_rules(),
        "breaches": [list(one) for one in fleet.checker.violations[:MAX_BREACHES]],
    }


def vast_compared(pairs: Sequence[Pair]) -> dict[str, Any]:
    """As crowd_figures, by kind, of the vast kinds alone."""
    told: dict[str, Any] = {}
    for kind in sorted({pair[0]["kind"] for pair in pairs}):
        some = [pair for pair in pairs if pair[0]["kind"] == kind]
        told[kind] = {name: gap_of(some, name) for name in VAST_FIGURES}
        for name, of in (("good_back", "good"), ("good_released", "good"), ("bad_released", "bad")):
            told[kind][name] = {
                when: f"{sum(one[at][name] for one in some)} of {sum(one[at][of] for one in some)}"
                for at, when in enumerate(("before", "now"))
            }
        told[kind]["rules_broken"] = broken_by(some)
    return told


MASS_FIGURES = ("service", "worth", "worst_10s", "needless_share")
# Figures of the days alone that offered such builds: the mean by day, and the sum.
MASS_OF = {
    "bad_released": "bad",
    "harm_to_back_s": "bad",
    "good_back": "good",
    "good_release_s": "good",
}


def mass_figures(fleet: Simulator) -> Result:
    """What a day of a mass kind is judged by: vast_figures, and the seconds that builds took.

    Those are sums: from offer to release of the good ones, and for the bad ones from the first harm
    (the begin of the release, or else of the last stage) until it is rolled back. What does not
    come to that is counted until the next offer replaces it, or the day ends.
    """
    day = fleet.day
    figures = vast_figures(fleet)
    ends = [*(one.at for one in day.offers[1:]), day.span]
    spent = {
        one.build: fleet.results.build_times(
            one.build, day.span if one.build in fleet.results.released and not one.good else end
        )
        for one, end in zip(day.offers, ends)
    }
    return {
        **figures,
        "good_release_s": sum(spent[one.build][0] for one in day.offers if one.good),
        "harm_to_back_s": sum(spent[one.build][1] for one in day.offers if not one.good),
    }


def mass_compared(pairs: Sequence[Pair]) -> dict[str, Any]:
    """As vast_compared, of the mass kinds: by kind, and of all."""
    told: dict[str, Any] = {}
    kinds = sorted({pair[0]["kind"] for pair in pairs})
    for kind in (*kinds, "all"):
        some = [pair for pair in pairs if kind in (pair[0]["kind"], "all")]
        told[kind] = {name: gap_of(some, name) for name in MASS_FIGURES}
        for name, of in MASS_OF.items():
            which = [pair for pair in some if pair[0][of]]
            by_build = [
                ({name: one[name] / one[of]}, {name: two[name] / two[of]}) for one, two in which
            ]
            told[kind][name] = None
            if which:
                told[kind][name] = {
                    **(gap_of(by_build, name) or {}),
                    "of": sum(pair[0][of] for pair in which),
                    "sums": [round(sum(pair[at][name] for pair in which), 1) for at in (0, 1)],
                }
        told[kind]["rules_broken"] = broken_by(some)
    return told


def broken_by(pairs: Sequence[Pair]) -> list[list[int]]:
    """The rules broken before, and now."""
    return [sorted({rule for pair in pairs for rule in pair[at]["rules_broken"]}) for at in (0, 1)]


def gap_of(some: Sequence[Pair], name: str) -> dict[str, float | None] | None:
    """Means before and now, and the difference with its 95% interval over the same days.

    The interval is None for a single day, and all is None without a day.
    """
    before = [float(one[name]) for one, _ in some]
    now = [float(two[name]) for _, two in some]
    if not some:
        return None
    gap = statistics.paired(now, before)
    return {
        "before": round(sum(before) / len(before), 4),
        "now": round(sum(now) / len(now), 4),
        "gap": round(gap.mean, 4),
        "low": round(gap.low, 4) if math.isfinite(gap.low) else None,
        "high": round(gap.high, 4) if math.isfinite(gap.high) else None,
    }


def crowds_compared(  # noqa: PLR0917  the commands pass them by position
    one: str,
    two: str,
    kinds: Iterable[str],
    seeds: Sequence[int],
    size: Size,
    workers: int,
    told: Progress = no_progress,
) -> list[Pair]:
    """Plays two policies on the same days of these kinds: their results, in the days' order."""
    tasks = [(name, kind, seed, size) for kind in kinds for seed in seeds for name in (one, two)]
    found: list[Result] = []
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        for result in pool.map(crowd_played, tasks):
            found.append(result)
            told(len(found), len(tasks))
    return list(zip(found[::2], found[1::2]))


def crowd_figures(pairs: Sequence[Pair]) -> dict[str, Any]:
    """What pairs of results say by figure: both means, and the difference with its interval."""
    told = gap_of

    def which(name: str, value: object) -> list[Pair]:
        return [pair for pair in pairs if pair[0].get(name) == value]

    kinds = sorted({pair[0]["kind"] for pair in pairs})
    usual = [pair for pair in pairs if pair[0]["kind"] != "overload"]
    return {
        "needless_share": told(usual, "needless"),
        "overload_served": told(which("kind", "overload"), "service"),
        **{name: told(pairs, name) for name in ("service", "worst_10s", "worth", "recover_s")},
        "good_back": told(which("good", True), "good_back"),
        **{name: told(which("good", False), name) for name in ("bad_released", "bad_kept")},
        "rules_broken": broken_by(pairs),
        "breaches": [one for pair in pairs for one in pair[1]["breaches"]][:MAX_BREACHES],
        "by_kind": {
            kind: {
                name: told(which("kind", kind), name) for name in ("service", "needless", "behind")
            }
            for kind in kinds
        },
    }


def key_of(task: tuple[str, int, Size]) -> str:
    """By which the result of a task is found again."""
    return orjson.dumps([task[0], task[1], sorted(task[2].items())]).decode()


def _kept(path: str) -> dict[str, Result]:
    """The results in a file; a line that a kill cut off is passed over."""
    found = {}
    with open(path, "rb") as source:
        for line in source:
            try:
                one = orjson.loads(line)
                found[key_of((one["policy"], one["seed"], one["size"]))] = one
            except (orjson.JSONDecodeError, KeyError):
                continue
    return found


def run(
    tasks: Sequence[tuple[str, int, Size]],
    workers: int,
    path: str | None = None,
    told: Progress = no_progress,
) -> list[Result]:
    """Plays all tasks.

    Args:
        tasks: policy, seed and size of each.
        workers: processes that play at once.
        path: where each result is kept as it comes; what is there already is not played again.
        told: is told the progress.

    Returns:
        The results in the order of the tasks.
    """
    found = _kept(path) if path and os.path.exists(path) else {}
    missing = [task for task in tasks if key_of(task) not in found]
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        waiting = {pool.submit(played, task): task for task in missing}
        for future in as_completed(waiting):
            one = future.result()
            found[key_of(waiting[future])] = one
            if path:
                with open(path, "ab") as target:
                    target.write(orjson.dumps(one) + b"\n")
            told(len(tasks) - sum(key_of(task) not in found for task in tasks), len(tasks))
    return [found[key_of(task)] for task in tasks]


def compared(  # noqa: PLR0917  the commands pass them by position
    one: str,
    two: str,
    seeds: Iterable[int],
    size: Size,
    workers: int,
    path: str | None = None,
    told: Progress = no_progress,
) -> tuple[dict[str, statistics.Difference], list[int], list[Result]]:
    """Plays two policies on the same days.

    Returns:
        The differences one - two by figure, the rules that either broke, and the results.
    """
    tasks = [(name, seed, size) for seed in seeds for name in (one, two)]
    results = run(tasks, workers, path, told)
    first = results[::2]
    second = results[1::2]
    return (
        {
            figure: statistics.paired(
                [each[figure] for each in first], [each[figure] for each in second]
            )
            for figure in ("service", "worst_10s", "harm")
        },
        sorted({rule for each in results for rule in each["rules_broken"]}),
        results,
    )


def searched(  # noqa: PLR0917  the commands pass them by position
    name: str,
    seeds: Iterable[int],
    size: Size,
    workers: int,
    against: str = "random",
    told: Progress = no_progress,
) -> list[dict[str, Any]]:
    """The days on which a policy does worst beside another, the worst first.

    There is one for each set of faults, reduced to what matters: a fault is left out if the gap
    does not close by over a tenth without it.
    """
    results = compared(name, against, seeds, size, workers, None, told)[2]
    worst: dict[tuple[str, ...], tuple[float, int]] = {}
    for mine, theirs in zip(results[::2], results[1::2]):
        gap = mine["service"] - theirs["service"]
        kind = tuple(sorted(mine["troubles"]))
        if kind not in worst or gap < worst[kind][0]:
            worst[kind] = gap, mine["seed"]
    found = []
    for kind, (gap, seed) in sorted(worst.items(), key=lambda one: one[1][0])[:MAX_SEARCHED]:
        found.append(
            {
                "seed": seed,
                "gap": round(gap, 4),
                "troubles": kind,
                "needed": shrunk(name, against, seed, size, gap),
            }
        )
    return found


def shrunk(name: str, against: str, seed: int, size: Size, gap: float) -> list[scenarios.FaultKind]:
    """The kinds of a day's faults without which the gap would close by over a tenth."""
    day = scenarios.drawn(seed, **size)
    kept = list(day.faults)
    for fault in list(kept):
        fewer = day._replace(faults=tuple(one for one in kept if one is not fault))
        rest = (
            Simulator(fewer, policy(name)).run().results.earnings_ratio()
            - Simulator(fewer, policy(against)).run().results.earnings_ratio()
        )
        if rest <= gap + abs(gap) * 0.1:
            kept.remove(fault)
    return [one.kind for one in kept]
