"""Finds where a gang goes: exact by branch and bound where few racks matter, else greedy by site and improved.

What comes out is a proposal: the state takes it only against the versions that were scored here.
"""

from dataclasses import dataclass
from math import comb

from .placement_score import Score, Scorer

EXACT_MOST = 3_000  # ways to share the workers out, up to which all are gone through
ASKED_MOST = 700  # scores that an improvement may ask for: 30 to 60 us each
STARTS_IMPROVED = 4


@dataclass(frozen=True)
class Plan:
    """places: {machine: workers}. versions: {rack: version scored}. score: why here and not elsewhere."""

    places: dict
    versions: dict
    score: Score


def find(places, gang, at, weights=None, how=None):
    """A Plan for a gang, or None if it fits nowhere now. at: agreed time in tenths of a millisecond."""
    scorer = Scorer(places, gang, at, weights)
    counts = (how or choose)(scorer)
    return made(scorer, counts) if counts else None


def made(scorer, counts):
    places, picked = scorer.places, {}
    for index, many in counts.items():
        picked.update(
            places.pick_machines(scorer.names[index], scorer.shape, many, scorer.expected_end)
        )
    versions = {scorer.names[index]: places.racks[scorer.names[index]].version for index in counts}
    return Plan(picked, versions, scorer.explain(counts))


def choose(scorer):
    """{index of rack: workers} by whichever search fits the size, or None."""
    racks = sum(room > 0 for room in scorer.capacity)
    if racks and comb(scorer.workers + racks - 1, racks - 1) <= EXACT_MOST:
        return exact(scorer)
    return fast(scorer)


def exact(scorer):
    """The best there is over numbers per rack. Bound: what the racks decided so far cost for certain, and the least
    that any way to share out the rest adds to one rack's loss; every part only grows with what is still to come."""
    weights, workers = scorer.weights, scorer.workers
    racks = [at for at, room in enumerate(scorer.capacity) if room > 0]
    after = [0] * (len(racks) + 1)
    for at in range(len(racks) - 1, -1, -1):
        after[at] = after[at + 1] + min(workers, scorer.capacity[racks[at]])
    if after[0] < workers:
        return None
    best = fast(scorer)
    least = scorer.total(best)
    counts = {}

    def down(at, low, step, kept, most):
        """at: the next rack; low: workers placed; kept: weighed fragments and plans; most: the fullest rack's."""
        nonlocal best, least
        if low == workers:
            value = scorer.total(counts)
            if value < least - 1e-12:
                best, least = dict(counts), value
            return
        if low + after[at] < workers:
            return
        index = racks[at]
        for many in range(min(scorer.capacity[index], workers - low), -1, -1):
            if not many:
                down(at + 1, low, step, kept, most)
                continue
            fragments, planned = scorer.rack_terms(index, many)
            more = kept + weights.fragments * fragments + weights.planned * planned
            slow = max(step, scorer.rack_step(index, low, low + many))
            if weights.step * slow + more + weights.loss * max(most, many) / workers >= least:
                continue
            counts[index] = many
            down(at + 1, low + many, slow, more, max(most, many))
            del counts[index]

    down(0, 0, scorer.min_step, 0.0, 0)
    return best


def _filled(scorer, racks, most=None):
    """Fills racks in their order, each with at most so many, until all workers stand; None if they do not."""
    counts, left = {}, scorer.workers
    for at in racks:
        many = min(scorer.capacity[at], left, most or left)
        if many > 0:
            counts[at] = many
            left -= many
            if not left:
                return counts
    return None


def _even(scorer, racks):
    """The same number in each as far as there is room; None if they do not fit."""
    counts, left = {}, scorer.workers
    for done, at in enumerate(sorted(racks, key=lambda at: scorer.capacity[at])):
        many = min(scorer.capacity[at], -(-left // (len(racks) - done)))
        if many > 0:
            counts[at] = many
            left -= many
    return None if left else counts


def _starts(scorer):
    """Ways to begin: each site that is large enough, filled by the fullest, the closest, the quietest and the safest
    racks first, or evenly over some of them. A site is one zone, one cluster or all."""
    workers, room = scorer.workers, scorer.capacity
    usable = [at for at, some in enumerate(room) if some > 0]
    sites = {}
    for at in usable:
        for site in (scorer.zone_site[at], scorer.cluster_site[at], -1):
            sites.setdefault(site, []).append(at)
    for at in usable:
        if room[at] >= workers:
            yield {at: workers}
    quiet = {at: scorer.rack_load[at] + scorer.rack_rate[at] * scorer.gang.bytes for at in usable}
    for racks in sites.values():
        if sum(room[at] for at in racks) < workers:
            continue
        orders = (
            sorted(racks, key=lambda at: (-room[at], quiet[at])),
            sorted(racks, key=lambda at: (-scorer.unplanned_capacity[at], quiet[at])),
            sorted(racks, key=lambda at: (quiet[at], -room[at])),
            sorted(racks, key=lambda at: (scorer.slots[at] - room[at] == 0, -room[at])),
        )
        for order in orders:
            counts = _filled(scorer, order)
            yield counts
            needed, tried = len(counts), set()
            for many in (needed, needed + 1, 2 * needed, 4 * needed, len(order)):
                if many <= len(order) and many not in tried:
                    tried.add(many)
                    counts = _even(scorer, order[:many])
                    if counts:
                        yield counts


def _steps(scorer, counts, near):
    """Changes worth a try: some workers from one rack to another, a rack for another, the fullest ones first."""
    room = scorer.capacity
    for giver in sorted(counts, key=lambda at: -counts[at]):
        have = counts[giver]
        for taker in near:
            free = room[taker] - counts.get(taker, 0)
            if taker == giver or free <= 0:
                continue
            for many in sorted({min(have, free), min(free, (have + 1) // 2), 1}, reverse=True):
                yield giver, taker, many
    for one in counts:  # two that have room for each other's workers change places
        for other in near:
            mine, theirs = counts.get(one, 0), counts.get(other, 0)
            if (
                theirs
                and one < other
                and mine != theirs
                and room[one] >= theirs
                and room[other] >= mine
            ):
                yield one, other, mine - theirs


def _improved(scorer, counts, value, budget):
    """Goes on as long as a step makes it better and the budget of scores lasts. Takes the first better step and goes
    on from there: the best of all steps costs as many scores as there are steps."""
    counts, until, better = dict(counts), scorer.evaluations + budget, True
    usable = sorted(
        (at for at, room in enumerate(scorer.capacity) if room > 0),
        key=lambda at: (
            scorer.rack_load[at]
            + scorer.rack_rate[at] * scorer.gang.bytes
            + 0.1 * (scorer.capacity[at] / scorer.slots[at])
        ),
    )
    while better and scorer.evaluations < until:
        better = False
        zones = {scorer.zone_site[at] for at in counts}
        near = (
            list(counts)
            + [at for at in usable if at not in counts and scorer.zone_site[at] in zones][:12]
        )
        near += [at for at in usable if at not in near][:4]
        for giver, taker, many in list(_steps(scorer, counts, near)):
            if scorer.evaluations >= until:
                break
            have, had = counts.get(giver, 0), counts.get(taker, 0)
            if (
                have < many
                or had + many > scorer.capacity[taker]
                or had + many < 0
                or have - many > scorer.capacity[giver]
            ):
                continue
            trial = dict(counts)
            trial[giver], trial[taker] = have - many, had + many
            trial = {at: some for at, some in trial.items() if some}
            found = scorer.total(trial)
            if found < value - 1e-12:
                counts, value, better = trial, found, True
    return counts, value


def fast(scorer):
    """Good and quick: the best of many starts, improved. None if there is no room."""
    seen, begun = set(), []
    for counts in _starts(scorer):
        key = tuple(sorted(counts.items()))
        if key not in seen:
            seen.add(key)
            begun.append((scorer.total(counts), key))
    if not begun:
        return None
    begun.sort()
    ends = [
        _improved(scorer, dict(key), value, ASKED_MOST // STARTS_IMPROVED)
        for value, key in begun[:STARTS_IMPROVED]
    ]
    return min(ends, key=lambda end: end[1])[0]


def first_fit(scorer):
    """Racks in their order, each filled."""
    return _filled(scorer, range(len(scorer.capacity)))


def random_fit(chance):
    """Racks in any order; chance: of `thymeknot.records`."""

    def fit(scorer):
        return _filled(scorer, sorted(range(len(scorer.capacity)), key=lambda at: chance.draw()))

    return fit


def packing(scorer):
    """The racks that are fullest already, so long as they have room."""
    return _filled(
        scorer, sorted(range(len(scorer.capacity)), key=lambda at: (scorer.capacity[at], at))
    )


def spreading(scorer):
    """Evenly over all racks."""
    return _even(scorer, [at for at, room in enumerate(scorer.capacity) if room > 0])


def mended(places, gang, at, left, since, weights=None, restart=300_000, rest=None):
    """(Plan, "in place" or "whole") for a hurt gang, or (None, None); the Plan's places are the whole new placement.

    left: {machine: workers} that stand. since: what is lost since the checkpoint, restart: what a worker takes to load
    its state, rest: how long it still runs (all it was to, if None), all in tenths of a millisecond. Both ways go back
    to the checkpoint, so what decides is loading by all against by a few, and each step of the rest of the run by what
    the two places are worth.
    """
    shape, own, rest = gang.resource_shape(), places.workers_by_rack(left), rest or gang.lasts
    missing = gang.workers - sum(left.values())
    scorer = Scorer(places, gang, at, weights)
    room = scorer.capacity
    index = {name: place for place, name in enumerate(scorer.names)}
    stay = {index[name]: many for name, many in own.items()}
    patch = Scorer(places, gang, at, weights)  # where it stays, its own slots are room that it has
    for place, many in stay.items():
        patch.capacity[place] += many
        patch.unplanned_capacity[place] += many
    ways = []
    patched, need = dict(stay), missing
    for _ in range(missing):  # one worker after the other to where it costs least
        near = sorted(
            (
                place
                for place in range(len(room))
                if room[place] > patched.get(place, 0) - stay.get(place, 0)
            ),
            key=lambda place: (
                place not in patched,
                scorer.zone_site[place] not in {scorer.zone_site[other] for other in patched},
                scorer.rack_load[place],
                -room[place],
            ),
        )
        if not near:
            break
        chosen = min(
            near[:8], key=lambda place: patch.total({**patched, place: patched.get(place, 0) + 1})
        )
        patched[chosen] = patched.get(chosen, 0) + 1
        need -= 1
    if not need:
        ways.append(
            (
                patch.total(patched) * rest + since + restart * max(1, missing) / gang.workers,
                "in place",
                patched,
            )
        )
    moved = choose(scorer)
    if moved:
        ways.append((patch.total(moved) * rest + since + restart * 2, "whole", moved))
    if not ways:
        return None, None
    _, way, counts = min(ways, key=lambda one: one[0])
    if way == "whole":
        return made(scorer, counts), way
    plan_places = dict(left)
    for place, many in counts.items():
        more = many - stay.get(place, 0)
        if more:
            for machine, some in places.pick_machines(
                scorer.names[place], shape, more, scorer.expected_end
            ).items():
                plan_places[machine] = plan_places.get(machine, 0) + some
    versions = {scorer.names[place]: places.racks[scorer.names[place]].version for place in counts}
    return Plan(plan_places, versions, patch.explain(counts)), way


__all__ = [
    "Plan",
    "choose",
    "exact",
    "fast",
    "find",
    "first_fit",
    "made",
    "mended",
    "packing",
    "random_fit",
    "spreading",
]
