"""Experiments: simulates the same days with several policies in parallel and compares the results.

Each result is written to a file as soon as it is available, so that an interrupted experiment can
be continued. A result contains what is needed to reproduce it: the seed, the size of the fleet and
the policy with its revision, if it is one of an earlier revision. Results and comparisons are
dictionaries that are written and printed as JSON.
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
from .baseline_policies import BASELINE_POLICIES
from .earlier_versions import UnknownRevisionError, load_version
from .simulator import Simulator, current_engine

Result = dict[str, Any]
"""The figures of one day simulated with one policy, by name."""
ResultPair = tuple[Result, Result]
"""The results of two policies for the same day."""
DaySize = dict[str, Any]
"""Keyword arguments of the function that draws the day, such as `instances` and `pods`."""
ProgressCallback = Callable[[int, int], object]
"""Called with the number of available results and the total number."""

# Least divisor for ratios to the earnings of all requests, which are 0 on a day without requests;
# the ratios are then 0.
MIN_REQUESTED = 1e-9
# Maximum number of rule violations in a result.
MAX_BREACHES = 5
# Maximum number of days that a search returns.
MAX_SEARCH_RESULTS = 3


def ignore_progress(done: int, count: int) -> None:
    """Does nothing; the default progress callback."""


class UnknownPolicyError(ValueError):
    """There is no policy or revision of this name."""


def load_policy(name: str) -> Any:
    """Returns the policy of a name.

    Args:
        name: `now` for the current decision engine, `at:REVISION` for the engine of an earlier git
            revision, or the name of a baseline policy.

    Raises:
        UnknownPolicyError: There is no such policy or revision.
    """
    if name == "now":
        return current_engine
    if name.startswith("at:"):
        try:
            return load_version(name[3:])
        except UnknownRevisionError as error:
            raise UnknownPolicyError(str(error)) from None
    if name not in BASELINE_POLICIES:
        raise UnknownPolicyError(
            f"unknown policy {name}, must be one of now, at:REVISION, "
            f"{', '.join(BASELINE_POLICIES)}"
        )
    return BASELINE_POLICIES[name]


def simulate_day(task: tuple[str, int, DaySize]) -> Result:
    """Simulates a day of a small fleet.

    Args:
        task: Policy name, seed and size.

    Returns:
        The figures of the day and the arguments that reproduce it.
    """
    policy_name, seed, size = task
    simulator = Simulator(scenarios.draw_day(seed, **size), load_policy(policy_name)).run()
    return {
        "policy": policy_name,
        "seed": seed,
        "size": size,
        "troubles": [fault.kind for fault in simulator.day.faults],
        "faulty": [list(offer) for offer in simulator.day.offers],
        **simulator.figures(),
    }


def simulate_large_fleet_day(task: tuple[str, str, int, DaySize]) -> Result:
    """Simulates a day of a large fleet.

    Args:
        task: Policy name, scenario kind, seed and size.

    Returns:
        The figures by which the policy is judged; which they are depends on the kind.
    """
    policy_name, kind, seed, size = task
    day, (_, worst_end) = large_fleet_scenarios.draw_day(seed, kind, **size)
    simulator = Simulator(day, load_policy(policy_name)).run()
    offer = day.offers[0]
    rejected, needless = simulator.results.rejection_ratios()
    if kind in large_fleet_scenarios.VAST_KINDS:
        return {
            "policy": policy_name,
            "kind": kind,
            "seed": seed,
            "turned_away": rejected,
            "recover_s": simulator.results.recovery_seconds(worst_end),
            **vast_figures(simulator),
        }
    if kind in large_fleet_scenarios.MASS_KINDS:
        return {
            "policy": policy_name,
            "kind": kind,
            "seed": seed,
            "turned_away": rejected,
            "recover_s": simulator.results.recovery_seconds(worst_end),
            **mass_figures(simulator),
        }
    rolled_back = simulator.platform.state.phase in (
        ReleasePhase.ROLLING_BACK,
        ReleasePhase.WITHDRAWN,
    )
    return {
        "policy": policy_name,
        "kind": kind,
        "seed": seed,
        "good": offer.good,
        "worth": simulator.results.net_earnings_ratio(),
        "service": simulator.results.earnings_ratio(),
        "worst_10s": simulator.results.worst_earnings_ratio(),
        "turned_away": rejected,
        "needless": needless,
        "behind": simulator.results.outdated_earnings
        / max(MIN_REQUESTED, simulator.results.possible_earnings),
        "recover_s": simulator.results.recovery_seconds(worst_end),
        "good_back": offer.good and rolled_back,
        "bad_released": not offer.good and bool(simulator.results.released),
        "bad_kept": not offer.good
        and simulator.platform.state.phase == ReleasePhase.RELEASED
        and simulator.platform.state.build == offer.build,
        "votes": simulator.results.vote_calls,
        "rules_broken": simulator.checker.violated_rules(),
        "breaches": [list(breach) for breach in simulator.checker.violations[:MAX_BREACHES]],
    }


VAST_FIGURE_NAMES = (
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


def vast_figures(simulator: Simulator) -> Result:
    """Returns the figures by which a policy is judged on a day of a vast kind.

    Most are ratios. `lists_per_instance` is the number of calls for endpoint lists per instance.
    `cold_overrun` is the highest ratio of the work sent to a server during its warm-up to the work
    that overloads it. The figures of builds, such as `good_back`, are numbers of builds.
    """
    requested = max(MIN_REQUESTED, simulator.results.possible_earnings)
    good_builds = [offer.build for offer in simulator.day.offers if offer.good]
    bad_builds = [offer.build for offer in simulator.day.offers if not offer.good]
    vote_calls = simulator.results.vote_calls
    return {
        "worth": simulator.results.net_earnings_ratio(),
        "service": simulator.results.earnings_ratio(),
        "worst_10s": simulator.results.worst_earnings_ratio(),
        "needless_share": simulator.results.rejection_ratios()[1],
        "behind": simulator.results.outdated_earnings / requested,
        "harm": simulator.results.harm / requested,
        "handshakes_per_transaction": simulator.connections.opened_count
        / max(1, simulator.results.dispatched_attempts),
        "lists_per_instance": simulator.discovery.call_count / simulator.day.instances
        if simulator.discovery
        else 0.0,
        "calls_refused_share": vote_calls["full"] / max(1, vote_calls["asked"]),
        "cold_overrun": simulator.checker.max_warmup_load_ratio,
        "good_back": sum(build in simulator.results.rolled_back for build in good_builds),
        "good": len(good_builds),
        "bad": len(bad_builds),
        "bad_released": sum(build in simulator.results.released for build in bad_builds),
        "good_released": sum(build in simulator.results.released for build in good_builds),
        "rules_broken": simulator.checker.violated_rules(),
        "breaches": [list(breach) for breach in simulator.checker.violations[:MAX_BREACHES]],
    }


def summarize_vast_pairs(pairs: Sequence[ResultPair]) -> dict[str, Any]:
    """Returns a comparison of each figure by kind, for results of vast kinds.

    Like `summarize_large_fleet_pairs`, but with the figures of `vast_figures`.
    """
    summary: dict[str, Any] = {}
    for kind in sorted({pair[0]["kind"] for pair in pairs}):
        kind_pairs = [pair for pair in pairs if pair[0]["kind"] == kind]
        summary[kind] = {name: compare_figure(kind_pairs, name) for name in VAST_FIGURE_NAMES}
        for name, total in (
            ("good_back", "good"),
            ("good_released", "good"),
            ("bad_released", "bad"),
        ):
            summary[kind][name] = {
                label: f"{sum(results[index][name] for results in kind_pairs)}"
                f" of {sum(results[index][total] for results in kind_pairs)}"
                for index, label in enumerate(("before", "now"))
            }
        summary[kind]["rules_broken"] = broken_rules_of_pairs(kind_pairs)
    return summary


MASS_FIGURE_NAMES = ("service", "worth", "worst_10s", "needless_share")
# Figures that are divided by the number of good or bad builds of the day. Only days that offered
# such builds count.
MASS_BUILD_FIGURES = {
    "bad_released": "bad",
    "harm_to_back_s": "bad",
    "good_back": "good",
    "good_release_s": "good",
}


def mass_figures(simulator: Simulator) -> Result:
    """Returns the figures by which a policy is judged on a day of a mass kind.

    In addition to `vast_figures` these are two sums of seconds: for good builds the time from offer
    to release, for bad builds the time during which they could do harm, from the release (or else
    the start of the last stage) until they were rolled back. If the release or rollback did not
    happen, the time ends when the next offer replaces the build. It ends with the day for the last
    build and for a bad build that was released.
    """
    day = simulator.day
    figures = vast_figures(simulator)
    time_limits = [*(offer.at for offer in day.offers[1:]), day.duration]
    build_times = {
        offer.build: simulator.results.build_times(
            offer.build,
            day.duration
            if offer.build in simulator.results.released and not offer.good
            else time_limit,
        )
        for offer, time_limit in zip(day.offers, time_limits)
    }
    return {
        **figures,
        "good_release_s": sum(build_times[offer.build][0] for offer in day.offers if offer.good),
        "harm_to_back_s": sum(
            build_times[offer.build][1] for offer in day.offers if not offer.good
        ),
    }


def summarize_mass_pairs(pairs: Sequence[ResultPair]) -> dict[str, Any]:
    """Returns a comparison of each figure by kind and over all kinds, for results of mass kinds.

    `of` is the number of builds that a figure refers to, and `sums` holds its totals before and
    now.
    """
    summary: dict[str, Any] = {}
    kinds = sorted({pair[0]["kind"] for pair in pairs})
    for kind in (*kinds, "all"):
        kind_pairs = [pair for pair in pairs if kind in (pair[0]["kind"], "all")]
        summary[kind] = {name: compare_figure(kind_pairs, name) for name in MASS_FIGURE_NAMES}
        for name, count_name in MASS_BUILD_FIGURES.items():
            pairs_with_builds = [pair for pair in kind_pairs if pair[0][count_name]]
            means_by_build = [
                ({name: first[name] / first[count_name]}, {name: second[name] / second[count_name]})
                for first, second in pairs_with_builds
            ]
            summary[kind][name] = None
            if pairs_with_builds:
                summary[kind][name] = {
                    **(compare_figure(means_by_build, name) or {}),
                    "of": sum(pair[0][count_name] for pair in pairs_with_builds),
                    "sums": [
                        round(sum(pair[index][name] for pair in pairs_with_builds), 1)
                        for index in (0, 1)
                    ],
                }
        summary[kind]["rules_broken"] = broken_rules_of_pairs(kind_pairs)
    return summary


def broken_rules_of_pairs(pairs: Sequence[ResultPair]) -> list[list[int]]:
    """Returns the numbers of the rules that were broken before and now."""
    return [
        sorted({rule for pair in pairs for rule in pair[index]["rules_broken"]}) for index in (0, 1)
    ]


def compare_figure(pairs: Sequence[ResultPair], name: str) -> dict[str, float | None] | None:
    """Returns the means of a figure before and now and their difference with its 95% interval.

    The bounds of the interval are None for a single day; without days the result is None.

    Args:
        pairs: The results before and now of each day.
        name: The key of the figure.
    """
    before = [float(first[name]) for first, _ in pairs]
    now = [float(second[name]) for _, second in pairs]
    if not pairs:
        return None
    difference = statistics.paired_difference(now, before)
    return {
        "before": round(sum(before) / len(before), 4),
        "now": round(sum(now) / len(now), 4),
        "gap": round(difference.mean, 4),
        "low": round(difference.low, 4) if math.isfinite(difference.low) else None,
        "high": round(difference.high, 4) if math.isfinite(difference.high) else None,
    }


def simulate_large_fleet_pairs(  # noqa: PLR0917  commands pass these by position
    first_policy: str,
    second_policy: str,
    kinds: Iterable[str],
    seeds: Sequence[int],
    size: DaySize,
    workers: int,
    on_progress: ProgressCallback = ignore_progress,
) -> list[ResultPair]:
    """Simulates the same days of a large fleet with two policies.

    Args:
        first_policy: Name of the policy that comes first in each pair.
        second_policy: Name of the policy that comes second.
        kinds: Scenario kinds.
        seeds: Seeds of the days of each kind.
        size: Size of the fleet.
        workers: Number of processes.
        on_progress: Called after each result.

    Returns:
        The results, in the order of kinds and seeds.
    """
    tasks = [
        (policy_name, kind, seed, size)
        for kind in kinds
        for seed in seeds
        for policy_name in (first_policy, second_policy)
    ]
    results: list[Result] = []
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        for result in pool.map(simulate_large_fleet_day, tasks):
            results.append(result)
            on_progress(len(results), len(tasks))
    return list(zip(results[::2], results[1::2]))


def summarize_large_fleet_pairs(pairs: Sequence[ResultPair]) -> dict[str, Any]:
    """Returns a comparison of each figure of the results of two policies.

    See `compare_figure`. Some figures are compared only on the days that they apply to, such as
    those with a good build; `by_kind` compares three figures by scenario kind.
    """
    compare = compare_figure

    def select(name: str, value: object) -> list[ResultPair]:
        return [pair for pair in pairs if pair[0].get(name) == value]

    kinds = sorted({pair[0]["kind"] for pair in pairs})
    pairs_without_overload = [pair for pair in pairs if pair[0]["kind"] != "overload"]
    return {
        "needless_share": compare(pairs_without_overload, "needless"),
        "overload_served": compare(select("kind", "overload"), "service"),
        **{name: compare(pairs, name) for name in ("service", "worst_10s", "worth", "recover_s")},
        "good_back": compare(select("good", True), "good_back"),
        **{name: compare(select("good", False), name) for name in ("bad_released", "bad_kept")},
        "rules_broken": broken_rules_of_pairs(pairs),
        "breaches": [breach for pair in pairs for breach in pair[1]["breaches"]][:MAX_BREACHES],
        "by_kind": {
            kind: {
                name: compare(select("kind", kind), name)
                for name in ("service", "needless", "behind")
            }
            for kind in kinds
        },
    }


def task_key(task: tuple[str, int, DaySize]) -> str:
    """Returns the key of a task's result."""
    return orjson.dumps([task[0], task[1], sorted(task[2].items())]).decode()


def _read_results(path: str) -> dict[str, Result]:
    """Returns the results in a file by the keys of their tasks.

    Lines that can't be parsed are skipped: a process that is killed may leave an incomplete line.
    """
    results = {}
    with open(path, "rb") as source:
        for line in source:
            try:
                result = orjson.loads(line)
                results[task_key((result["policy"], result["seed"], result["size"]))] = result
            except (orjson.JSONDecodeError, KeyError):
                continue
    return results


def simulate_days(
    tasks: Sequence[tuple[str, int, DaySize]],
    workers: int,
    results_path: str | None = None,
    on_progress: ProgressCallback = ignore_progress,
) -> list[Result]:
    """Simulates days of a small fleet in parallel.

    Args:
        tasks: Policy name, seed and size of each day.
        workers: Number of processes.
        results_path: File to which each result is appended as soon as it is available. Days whose
            results it already contains are not simulated again.
        on_progress: Called after each result.

    Returns:
        The results in the order of the tasks.
    """
    results = _read_results(results_path) if results_path and os.path.exists(results_path) else {}
    missing_tasks = [task for task in tasks if task_key(task) not in results]
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        task_by_future = {pool.submit(simulate_day, task): task for task in missing_tasks}
        for future in as_completed(task_by_future):
            result = future.result()
            results[task_key(task_by_future[future])] = result
            if results_path:
                with open(results_path, "ab") as target:
                    # The numbers of answers have enum members as keys.
                    target.write(orjson.dumps(result, option=orjson.OPT_NON_STR_KEYS) + b"\n")
            on_progress(
                len(tasks) - sum(task_key(task) not in results for task in tasks), len(tasks)
            )
    return [results[task_key(task)] for task in tasks]


def compare_policies(  # noqa: PLR0917  commands pass these by position
    first_policy: str,
    second_policy: str,
    seeds: Iterable[int],
    size: DaySize,
    workers: int,
    results_path: str | None = None,
    on_progress: ProgressCallback = ignore_progress,
) -> tuple[dict[str, statistics.Difference], list[int], list[Result]]:
    """Compares two policies on the same days of a small fleet.

    Args:
        first_policy: Name of a policy.
        second_policy: Name of the policy whose figures are subtracted.
        seeds: Seeds of the days.
        size: Size of the fleet.
        workers: Number of processes.
        results_path: See `simulate_days`.
        on_progress: Called after each result.

    Returns:
        The differences by figure, the rules that either policy broke, and the results of both
        policies in alternation.
    """
    tasks = [
        (policy_name, seed, size) for seed in seeds for policy_name in (first_policy, second_policy)
    ]
    results = simulate_days(tasks, workers, results_path, on_progress)
    first_results = results[::2]
    second_results = results[1::2]
    return (
        {
            figure: statistics.paired_difference(
                [result[figure] for result in first_results],
                [result[figure] for result in second_results],
            )
            for figure in ("service", "worst_10s", "harm")
        },
        sorted({rule for result in results for rule in result["rules_broken"]}),
        results,
    )


def find_worst_days(  # noqa: PLR0917  commands pass these by position
    policy_name: str,
    seeds: Iterable[int],
    size: DaySize,
    workers: int,
    baseline: str = "random",
    on_progress: ProgressCallback = ignore_progress,
) -> list[dict[str, Any]]:
    """Returns the days with the lowest service of a policy relative to another, worst first.

    At most one day is returned for each combination of fault kinds. `needed` contains those of its
    faults that contribute to the difference.

    Args:
        policy_name: Name of the policy to examine.
        seeds: Seeds of the days that are searched.
        size: Size of the fleet.
        workers: Number of processes.
        baseline: Name of the policy to compare with.
        on_progress: Called after each result.
    """
    results = compare_policies(policy_name, baseline, seeds, size, workers, None, on_progress)[2]
    worst: dict[tuple[str, ...], tuple[float, int]] = {}
    for result, baseline_result in zip(results[::2], results[1::2]):
        difference = result["service"] - baseline_result["service"]
        fault_kinds = tuple(sorted(result["troubles"]))
        if fault_kinds not in worst or difference < worst[fault_kinds][0]:
            worst[fault_kinds] = difference, result["seed"]
    worst_days = []
    for fault_kinds, (difference, seed) in sorted(worst.items(), key=lambda item: item[1][0])[
        :MAX_SEARCH_RESULTS
    ]:
        worst_days.append(
            {
                "seed": seed,
                "gap": round(difference, 4),
                "troubles": fault_kinds,
                "needed": find_needed_fault_kinds(policy_name, baseline, seed, size, difference),
            }
        )
    return worst_days


def find_needed_fault_kinds(
    policy_name: str, baseline: str, seed: int, size: DaySize, difference: float
) -> list[scenarios.FaultKind]:
    """Returns the kinds of those faults of a day that contribute to the difference in service.

    Faults are removed one by one; a fault stays removed if the difference does not rise by more
    than a tenth of its size without it.

    Args:
        policy_name: Name of the policy to examine.
        baseline: Name of the policy to compare with.
        seed: Seed of the day.
        size: Size of the fleet.
        difference: The service of the policy minus that of the baseline, with all faults.
    """
    day = scenarios.draw_day(seed, **size)
    needed_faults = list(day.faults)
    for fault in list(needed_faults):
        reduced_day = day._replace(
            faults=tuple(other for other in needed_faults if other is not fault)
        )
        remaining_difference = (
            Simulator(reduced_day, load_policy(policy_name)).run().results.earnings_ratio()
            - Simulator(reduced_day, load_policy(baseline)).run().results.earnings_ratio()
        )
        if remaining_difference <= difference + abs(difference) * 0.1:
            needed_faults.remove(fault)
    return [needed.kind for needed in needed_faults]
