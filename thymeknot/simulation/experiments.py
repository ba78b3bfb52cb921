"""Experiments: days by seed, played with each policy on all cores, kept as they come; one that was ended half-way goes
on where it was. Every result holds what it takes to play it again: seed, size, policy, version."""

import math
import multiprocessing
import os
from concurrent.futures import ProcessPoolExecutor, as_completed

import orjson

from ..interface.enums import ReleasePhase
from . import large_fleet_scenarios, scenarios, statistics
from .baseline_policies import TEXTBOOK
from .earlier_versions import UnknownRevisionError, load_version
from .simulator import Simulator, current_engine

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class UnknownPolicyError(ValueError):
    """No such policy, version or result."""


def policy(name):
    """`now` is today's module, `at:REVISION` an earlier one, else one of the textbook's."""
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


def played(task):
    """One day with one policy: its figures, with what it takes to play it again."""
    name, seed, size = task
    fleet = Simulator(scenarios.drawn(seed, **size), policy(name)).play()
    return {
        "policy": name,
        "seed": seed,
        "size": size,
        "troubles": [one.kind for one in fleet.day.faults],
        "faulty": [list(one) for one in fleet.day.offers],
        **fleet.figures(),
    }


def crowd_played(task):
    """One day of a whole fleet (policy, kind, seed, size of crowds.drawn): what its decisions are judged by."""
    name, kind, seed, size = task
    day, (_, end) = large_fleet_scenarios.of_kind(seed, kind, **size)
    fleet, offer = Simulator(day, policy(name)).play(), day.offers[0]
    turned_away, needless = fleet.needless()
    if kind in large_fleet_scenarios.VAST:
        return {
            "policy": name,
            "kind": kind,
            "seed": seed,
            "turned_away": turned_away,
            "recover_s": fleet.recovered(end),
            **vast_figures(fleet),
        }
    if kind in large_fleet_scenarios.MASS:
        return {
            "policy": name,
            "kind": kind,
            "seed": seed,
            "turned_away": turned_away,
            "recover_s": fleet.recovered(end),
            **mass_figures(fleet),
        }
    back = fleet.news[2] in (ReleasePhase.ROLLING_BACK, ReleasePhase.WITHDRAWN)
    return {
        "policy": name,
        "kind": kind,
        "seed": seed,
        "good": offer.good,
        "worth": fleet.worth(),
        "service": fleet.service(),
        "worst_10s": fleet.worst(),
        "turned_away": turned_away,
        "needless": needless,
        "behind": fleet.scores["behind"] / max(1e-9, fleet.scores["asked"]),
        "recover_s": fleet.recovered(end),
        "good_back": offer.good and back,
        "bad_released": not offer.good and bool(fleet.released),
        "bad_kept": not offer.good
        and fleet.news[2] == ReleasePhase.RELEASED
        and fleet.news[0] == offer.build,
        "votes": fleet.votes_asked,
        "rules_broken": fleet.checker.rules_broken(),
        "breaches": [list(one) for one in fleet.checker.broken[:5]],
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


def vast_figures(fleet):
    """What a day of a vast kind is judged by. Shares, but for lists_per_instance (calls in all) and cold_overrun (the
    most that a cold pod was sent, over what pushes it over)."""
    asked, good = (
        max(1e-9, fleet.scores["asked"]),
        [one.build for one in fleet.day.offers if one.good],
    )
    bad, votes = [one.build for one in fleet.day.offers if not one.good], fleet.votes_asked
    return {
        "worth": fleet.worth(),
        "service": fleet.service(),
        "worst_10s": fleet.worst(),
        "needless_share": fleet.needless()[1],
        "behind": fleet.scores["behind"] / asked,
        "harm": fleet.scores["harm"] / asked,
        "handshakes_per_transaction": fleet.connections.made / max(1, fleet.dispatched),
        "lists_per_instance": fleet.discovery.calls / fleet.day.instances
        if fleet.discovery
        else 0.0,
        "calls_refused_share": votes["full"] / max(1, votes["asked"]),
        "cold_overrun": fleet.checker.overrun,
        "good_back": sum(build in fleet.sent_back for build in good),
        "good": len(good),
        "bad": len(bad),
        "bad_released": sum(build in fleet.released for build in bad),
        "good_released": sum(build in fleet.released for build in good),
        "rules_broken": fleet.checker.rules_broken(),
        "breaches": [list(one) for one in fleet.checker.broken[:5]],
    }


def vast_compared(pairs):
    """As crowd_figures, by kind, of the vast kinds alone."""
    told = {}
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


# Each of the second row is of days that offered such builds alone: mean by day, and the sum over what it is of.
MASS_FIGURES = ("service", "worth", "worst_10s", "needless_share")
MASS_OF = {
    "bad_released": "bad",
    "harm_to_back_s": "bad",
    "good_back": "good",
    "good_release_s": "good",
}


def mass_figures(fleet):
    """What a day of a mass kind is judged by: as vast_figures, and the seconds that builds took, in sum: from offer to
    release of the good ones, from the first harm (the begin of the release or else of the last stage) until it goes
    back for the bad ones. What does not come to that is counted until the next offer takes it off, or the day ends."""
    day, figures = fleet.day, vast_figures(fleet)
    ends = [*(one.at for one in day.offers[1:]), day.span]
    spent = {
        one.build: fleet.spent(
            one.build, day.span if one.build in fleet.released and not one.good else end
        )
        for one, end in zip(day.offers, ends)
    }
    return {
        **figures,
        "good_release_s": sum(spent[one.build][0] for one in day.offers if one.good),
        "harm_to_back_s": sum(spent[one.build][1] for one in day.offers if not one.good),
    }


def mass_compared(pairs):
    """As vast_compared, of the mass kinds: by kind, and of all."""
    told, kinds = {}, sorted({pair[0]["kind"] for pair in pairs})
    for kind in (*kinds, "all"):
        some = [pair for pair in pairs if kind in (pair[0]["kind"], "all")]
        told[kind] = {name: gap_of(some, name) for name in MASS_FIGURES}
        for name, of in MASS_OF.items():
            which = [pair for pair in some if pair[0][of]]
            by_build = [tuple({name: one[name] / one[of]} for one in pair) for pair in which]
            told[kind][name] = (
                which
                and {
                    **gap_of(by_build, name),
                    "of": sum(pair[0][of] for pair in which),
                    "sums": [round(sum(pair[at][name] for pair in which), 1) for at in (0, 1)],
                }
                or None
            )
        told[kind]["rules_broken"] = broken_by(some)
    return told


def broken_by(pairs):
    """The rules broken before, and now."""
    return [sorted({rule for pair in pairs for rule in pair[at]["rules_broken"]}) for at in (0, 1)]


def gap_of(some, name):
    """Means before and now, and the difference with its 95% interval over the same days (None: one day)."""
    before, now = ([float(one[at][name]) for one in some] for at in (0, 1))
    if not some:
        return None
    gap = statistics.paired(now, before)
    low, high = (round(one, 4) if math.isfinite(one) else None for one in (gap.low, gap.high))
    return {
        "before": round(sum(before) / len(before), 4),
        "now": round(sum(now) / len(now), 4),
        "gap": round(gap.mean, 4),
        "low": low,
        "high": high,
    }


def crowds_compared(one, two, kinds, seeds, size, workers, told=lambda done, count: None):
    """Two policies on the same days of these kinds: a list of pairs of results, in the order of the days."""
    tasks = [(name, kind, seed, size) for kind in kinds for seed in seeds for name in (one, two)]
    found = []
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        for result in pool.map(crowd_played, tasks):
            found.append(result)
            told(len(found), len(tasks))
    return list(zip(found[::2], found[1::2]))


def crowd_figures(pairs):
    """What pairs of results say: means of both, and the second less the first with its 95% interval, by figure."""
    told = gap_of

    def which(name, value):
        return [pair for pair in pairs if pair[0].get(name) == value]

    kinds, usual = (
        sorted({pair[0]["kind"] for pair in pairs}),
        [pair for pair in pairs if pair[0]["kind"] != "overload"],
    )
    return {
        "needless_share": told(usual, "needless"),
        "overload_served": told(which("kind", "overload"), "service"),
        **{name: told(pairs, name) for name in ("service", "worst_10s", "worth", "recover_s")},
        "good_back": told(which("good", True), "good_back"),
        **{name: told(which("good", False), name) for name in ("bad_released", "bad_kept")},
        "rules_broken": broken_by(pairs),
        "breaches": [one for pair in pairs for one in pair[1]["breaches"]][:5],
        "by_kind": {
            kind: {
                name: told(which("kind", kind), name) for name in ("service", "needless", "behind")
            }
            for kind in kinds
        },
    }


def key_of(task):
    return orjson.dumps([task[0], task[1], sorted(task[2].items())]).decode()


def run(tasks, workers, path=None, told=lambda done, count: None):
    """The results of all tasks (policy, seed, size), in their order. path: where each is kept as it comes; those that
    stand there already are not played again, and a line cut off by a kill is passed over."""
    found = {}
    if path and os.path.exists(path):
        with open(path, "rb") as source:
            for line in source:
                try:
                    one = orjson.loads(line)
                    found[key_of((one["policy"], one["seed"], one["size"]))] = one
                except (orjson.JSONDecodeError, KeyError):
                    continue
    missing = [task for task in tasks if key_of(task) not in found]
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        waiting = {pool.submit(played, task): task for task in missing}
        for future in as_completed(waiting):
            one = found[key_of(waiting[future])] = future.result()
            if path:
                with open(path, "ab") as target:
                    target.write(orjson.dumps(one) + b"\n")
            told(len(tasks) - sum(key_of(task) not in found for task in tasks), len(tasks))
    return [found[key_of(task)] for task in tasks]


def compared(one, two, seeds, size, workers, path=None, told=lambda done, count: None):
    """Two policies on the same days: {"service": Difference, "worst_10s": ..., "harm": ...} of one - two, the rules
    that either broke, and the results."""
    tasks = [(name, seed, size) for seed in seeds for name in (one, two)]
    results = run(tasks, workers, path, told)
    first, second = results[::2], results[1::2]
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


def searched(name, seeds, size, workers, against="random", told=lambda done, count: None):
    """The days on which a policy does worst beside another, one for each set of troubles, the worst first; each then
    shrunk to what matters: troubles that can be left out without it getting better by a tenth of the gap are."""
    results = compared(name, against, seeds, size, workers, None, told)[2]
    worst = {}
    for mine, theirs in zip(results[::2], results[1::2]):
        gap, kind = mine["service"] - theirs["service"], tuple(sorted(mine["troubles"]))
        if kind not in worst or gap < worst[kind][0]:
            worst[kind] = gap, mine["seed"]
    found = []
    for kind, (gap, seed) in sorted(worst.items(), key=lambda one: one[1][0])[:3]:
        found.append(
            {
                "seed": seed,
                "gap": round(gap, 4),
                "troubles": kind,
                "needed": shrunk(name, against, seed, size, gap),
            }
        )
    return found


def shrunk(name, against, seed, size, gap):
    """The kinds of a day's troubles without which the gap would close by over a tenth."""
    day, kept = scenarios.drawn(seed, **size), list(scenarios.drawn(seed, **size).faults)
    for fault in list(kept):
        fewer = day._replace(faults=tuple(one for one in kept if one is not fault))
        rest = (
            Simulator(fewer, policy(name)).play().service()
            - Simulator(fewer, policy(against)).play().service()
        )
        if rest <= gap + abs(gap) * 0.1:
            kept.remove(fault)
    return [one.kind for one in kept]
