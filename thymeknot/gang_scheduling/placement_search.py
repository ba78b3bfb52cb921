"""Finds a placement for a gang: by branch and bound for small problems, else by a heuristic.

The result is a proposal; the state machine accepts it only if the racks are still at the versions
that were scored here.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from math import comb
from typing import Protocol, TypeAlias

from ..interface.clock import Ticks
from .jobs import Gang
from .placement_score import RackCounts, RackIndex, Score, Scorer, Weights
from .topology import Topology

MAX_EXACT_DISTRIBUTIONS = 3_000  # distributions of workers up to which the exact search is used
MAX_EVALUATIONS = 700  # scores computed to improve heuristic placements; 30 to 60 us each
MAX_IMPROVED_STARTS = 4  # best starting placements that are improved; they share MAX_EVALUATIONS
MIN_IMPROVEMENT = 1e-12  # of a score; less is a rounding error
MAX_SAME_ZONE_CANDIDATES = 12  # other racks in the placement's zones, per round of moves
MAX_OTHER_CANDIDATES = 4  # additional racks in any zone, per round of moves
SPARE_CAPACITY_WEIGHT = (
    0.1  # weight of a rack's free share relative to its load in the ranking of racks
)


@dataclass(frozen=True)
class Plan:
    """A proposed placement.

    Attributes:
        placement: {machine: workers}.
        versions: {rack: version at which the placement was scored}.
        score: The score, which explains the choice.
    """

    placement: dict[str, int]
    versions: dict[str, int]
    score: Score


class RandomSource(Protocol):
    """Random numbers for `random_fit`; `thymeknot.state.random_source` implements it."""

    def draw(self) -> float:
        """Returns a random number in [0, 1)."""


SearchMethod: TypeAlias = Callable[[Scorer], RackCounts | None]
"""Finds a placement, or returns None if the gang does not fit now."""

_Move: TypeAlias = tuple[RackIndex, RackIndex, int]
"""(source, target, workers); a negative number moves workers from target to source."""


def find_placement(
    topology: Topology,
    gang: Gang,
    now: Ticks,
    weights: Weights | None = None,
    search: SearchMethod | None = None,
) -> Plan | None:
    """Finds a placement for a gang.

    Args:
        topology: The racks, with the traffic of other gangs.
        gang: The gang.
        now: Agreed time in ticks.
        weights: Weights of the score's terms; default weights if None.
        search: The search method; `choose_search` if None.

    Returns:
        A plan, or None if the gang does not fit now.
    """
    scorer = Scorer(topology, gang, now, weights)
    counts = (search or choose_search)(scorer)
    return make_plan(scorer, counts) if counts else None


def scored_versions(scorer: Scorer, counts: RackCounts) -> dict[str, int]:
    """Returns {rack: current version} for the racks of a placement."""
    racks = scorer.topology.racks
    return {scorer.rack_names[index]: racks[scorer.rack_names[index]].version for index in counts}


def make_plan(scorer: Scorer, counts: RackCounts) -> Plan:
    """Returns the plan of a placement, with the workers assigned to machines."""
    placement: dict[str, int] = {}
    for index, workers in counts.items():
        placement.update(
            scorer.topology.pick_machines(
                scorer.rack_names[index], scorer.shape, workers, scorer.expected_end
            )
        )
    return Plan(placement, scored_versions(scorer, counts), scorer.explain(counts))


def _usable_racks(scorer: Scorer) -> list[RackIndex]:
    return [index for index, capacity in enumerate(scorer.capacity) if capacity > 0]


def choose_search(scorer: Scorer) -> RackCounts | None:
    """Finds a placement by the exact search if the problem is small, else by the heuristic."""
    racks = len(_usable_racks(scorer))
    if racks and comb(scorer.workers + racks - 1, racks - 1) <= MAX_EXACT_DISTRIBUTIONS:
        return exact_search(scorer)
    return heuristic_search(scorer)


class _BranchAndBound:
    """Searches all distributions of the workers over racks that may improve on the best one.

    The lower bound of a partial distribution is the cost of the racks decided so far, with the
    `loss` term of their fullest rack. It is valid because no term decreases as workers are added.
    """

    def __init__(self, scorer: Scorer, racks: list[RackIndex], best: RackCounts) -> None:
        self.best = best
        self._best_total = scorer.total(best)
        self._scorer = scorer
        self._racks = racks
        self._counts: RackCounts = {}
        self._capacity_from = [0] * (
            len(racks) + 1
        )  # workers that fit in the racks from this position on
        for position in range(len(racks) - 1, -1, -1):
            capacity = min(scorer.workers, scorer.capacity[racks[position]])
            self._capacity_from[position] = self._capacity_from[position + 1] + capacity

    def search_from(
        self, position: int, placed: int, step: float, cost: float, fullest: int
    ) -> None:
        """Tries all possible numbers of workers for the next rack and searches on from each.

        Args:
            position: Position of the next rack in the list of racks.
            placed: Number of workers placed so far.
            step: Longest step duration so far, as a ratio to the target.
            cost: Weighted sum of the terms `fragments` and `planned` so far.
            fullest: Number of workers in the rack with the most workers so far.
        """
        scorer = self._scorer
        if placed == scorer.workers:
            self._update_best()
            return
        if placed + self._capacity_from[position] < scorer.workers:
            return
        weights = scorer.weights
        index = self._racks[position]
        for workers in range(min(scorer.capacity[index], scorer.workers - placed), -1, -1):
            if not workers:
                self.search_from(position + 1, placed, step, cost, fullest)
                continue
            fragments, planned = scorer.rack_term_values(index, workers)
            new_cost = cost + weights.fragments * fragments + weights.planned * planned
            new_step = max(step, scorer.rack_step(index, placed, placed + workers))
            new_fullest = max(fullest, workers)
            loss = weights.loss * new_fullest / scorer.workers
            if weights.step * new_step + new_cost + loss >= self._best_total:
                continue
            self._counts[index] = workers
            self.search_from(position + 1, placed + workers, new_step, new_cost, new_fullest)
            del self._counts[index]

    def _update_best(self) -> None:
        value = self._scorer.total(self._counts)
        if value < self._best_total - MIN_IMPROVEMENT:
            self.best = dict(self._counts)
            self._best_total = value


def exact_search(scorer: Scorer) -> RackCounts | None:
    """Finds the placement with the lowest score, or returns None if the gang does not fit.

    The time grows with the number of distributions of the workers over the racks.
    """
    racks = _usable_racks(scorer)
    if sum(min(scorer.workers, scorer.capacity[index]) for index in racks) < scorer.workers:
        return None
    start = heuristic_search(scorer)
    if start is None:
        return None
    search = _BranchAndBound(scorer, racks, start)
    search.search_from(0, 0, scorer.min_step, 0.0, 0)
    return search.best


def _fill_in_order(scorer: Scorer, racks: Iterable[RackIndex]) -> RackCounts | None:
    """Fills racks in the given order; returns None if not all workers fit."""
    counts: RackCounts = {}
    unplaced = scorer.workers
    for index in racks:
        workers = min(scorer.capacity[index], unplaced)
        if workers > 0:
            counts[index] = workers
            unplaced -= workers
            if not unplaced:
                return counts
    return None


def _fill_evenly(scorer: Scorer, racks: list[RackIndex]) -> RackCounts | None:
    """Distributes the workers evenly within the capacities; returns None if not all fit."""
    counts: RackCounts = {}
    unplaced = scorer.workers
    for filled_racks, index in enumerate(sorted(racks, key=lambda index: scorer.capacity[index])):
        fair_share = -(-unplaced // (len(racks) - filled_racks))
        workers = min(scorer.capacity[index], fair_share)
        if workers > 0:
            counts[index] = workers
            unplaced -= workers
    return None if unplaced else counts


def _racks_by_site(scorer: Scorer, usable: list[RackIndex]) -> list[list[RackIndex]]:
    """Returns the usable racks of each zone, of each cluster and of all sites."""
    all_sites = -1
    sites: dict[int, list[RackIndex]] = {}
    for index in usable:
        for site in (scorer.rack_zone[index], scorer.rack_cluster[index], all_sites):
            sites.setdefault(site, []).append(index)
    return list(sites.values())


def _load_with_gang(scorer: Scorer, index: RackIndex) -> float:
    """Returns an estimate of the load of a rack's uplink if a part of the gang were in it."""
    return scorer.rack_background_load[index] + scorer.rack_load_per_byte[index] * scorer.gang.bytes


def _rack_orders(scorer: Scorer, racks: list[RackIndex]) -> Iterator[list[RackIndex]]:
    """Yields orders in which to fill racks.

    They are: largest capacity, largest capacity without planned removals, least load, and racks
    that are already in use before empty ones.
    """
    capacity = scorer.capacity
    load = {index: _load_with_gang(scorer, index) for index in racks}
    yield sorted(racks, key=lambda index: (-capacity[index], load[index]))
    yield sorted(racks, key=lambda index: (-scorer.unplanned_capacity[index], load[index]))
    yield sorted(racks, key=lambda index: (load[index], -capacity[index]))
    yield sorted(
        racks, key=lambda index: (scorer.slots[index] - capacity[index] == 0, -capacity[index])
    )


def _starting_placements(scorer: Scorer) -> Iterator[RackCounts]:
    """Yields starting placements for the heuristic search.

    They are: each rack that fits all workers, and each site with enough capacity, filled in several
    orders or evenly over some of its racks.
    """
    usable = _usable_racks(scorer)
    for index in usable:
        if scorer.capacity[index] >= scorer.workers:
            yield {index: scorer.workers}
    for racks in _racks_by_site(scorer, usable):
        if sum(scorer.capacity[index] for index in racks) < scorer.workers:
            continue
        for order in _rack_orders(scorer, racks):
            filled = _fill_in_order(scorer, order)
            if filled is None:
                continue
            yield filled
            needed = len(filled)
            sizes = dict.fromkeys((needed, needed + 1, 2 * needed, 4 * needed, len(order)))
            for size in sizes:
                spread = _fill_evenly(scorer, order[:size]) if size <= len(order) else None
                if spread:
                    yield spread


def _candidate_moves(
    scorer: Scorer, counts: RackCounts, candidates: list[RackIndex]
) -> Iterator[_Move]:
    """Yields moves of workers between racks, from the racks with the most workers first."""
    capacity = scorer.capacity
    for source in sorted(counts, key=lambda index: -counts[index]):
        workers = counts[source]
        for target in candidates:
            free = capacity[target] - counts.get(target, 0)
            if target == source or free <= 0:
                continue
            sizes = {min(workers, free), min(free, (workers + 1) // 2), 1}
            for size in sorted(sizes, reverse=True):
                yield source, target, size
    yield from _candidate_swaps(scorer, counts, candidates)


def _candidate_swaps(
    scorer: Scorer, counts: RackCounts, candidates: list[RackIndex]
) -> Iterator[_Move]:
    """Yields moves that swap the workers of two racks, if both have the capacity."""
    capacity = scorer.capacity
    for rack in counts:
        for other in candidates:
            rack_workers = counts.get(rack, 0)
            other_workers = counts.get(other, 0)
            if not other_workers or rack >= other or rack_workers == other_workers:
                continue
            if capacity[rack] >= other_workers and capacity[other] >= rack_workers:
                yield rack, other, rack_workers - other_workers


def _apply_move(scorer: Scorer, counts: RackCounts, move: _Move) -> RackCounts | None:
    """Returns the placement after a move, or None if an earlier move made it invalid."""
    source, target, workers = move
    source_workers = counts.get(source, 0) - workers
    target_workers = counts.get(target, 0) + workers
    if not (
        0 <= source_workers <= scorer.capacity[source]
        and 0 <= target_workers <= scorer.capacity[target]
    ):
        return None
    trial = dict(counts)
    trial[source] = source_workers
    trial[target] = target_workers
    return {index: count for index, count in trial.items() if count}


def _candidate_racks(
    scorer: Scorer, counts: RackCounts, ranked: list[RackIndex]
) -> list[RackIndex]:
    """Returns the placement's racks, then the best others in its zones, then in any zone."""
    zones = {scorer.rack_zone[index] for index in counts}
    in_zones = [
        index for index in ranked if index not in counts and scorer.rack_zone[index] in zones
    ]
    candidates = list(counts) + in_zones[:MAX_SAME_ZONE_CANDIDATES]
    return (
        candidates + [index for index in ranked if index not in candidates][:MAX_OTHER_CANDIDATES]
    )


def _improve(
    scorer: Scorer, counts: RackCounts, value: float, budget: int
) -> tuple[RackCounts, float]:
    """Improves a placement by local search.

    Each move that lowers the score is applied at once; finding the best of all moves would require
    a score for each of them.

    Args:
        scorer: Scores of the gang.
        counts: The placement.
        value: Score of the placement.
        budget: Number of placements that may be scored.

    Returns:
        The improved placement and its score.
    """
    evaluation_limit = scorer.evaluations + budget
    ranked = sorted(
        _usable_racks(scorer),
        key=lambda index: (
            _load_with_gang(scorer, index)
            + SPARE_CAPACITY_WEIGHT * (scorer.capacity[index] / scorer.slots[index])
        ),
    )
    improved = True
    while improved and scorer.evaluations < evaluation_limit:
        improved = False
        candidates = _candidate_racks(scorer, counts, ranked)
        for move in list(_candidate_moves(scorer, counts, candidates)):
            if scorer.evaluations >= evaluation_limit:
                break
            trial = _apply_move(scorer, counts, move)
            if trial is None:
                continue
            trial_value = scorer.total(trial)
            if trial_value < value - MIN_IMPROVEMENT:
                counts = trial
                value = trial_value
                improved = True
    return counts, value


def heuristic_search(scorer: Scorer) -> RackCounts | None:
    """Finds a good placement quickly, or returns None if the gang does not fit.

    The best of many starting placements are improved by local search.
    """
    seen: set[tuple[tuple[int, int], ...]] = set()
    starts: list[tuple[float, tuple[tuple[int, int], ...]]] = []
    for counts in _starting_placements(scorer):
        key = tuple(sorted(counts.items()))
        if key not in seen:
            seen.add(key)
            starts.append((scorer.total(counts), key))
    if not starts:
        return None
    starts.sort()
    improved = [
        _improve(scorer, dict(key), value, MAX_EVALUATIONS // MAX_IMPROVED_STARTS)
        for value, key in starts[:MAX_IMPROVED_STARTS]
    ]
    return min(improved, key=lambda result: result[1])[0]


def first_fit(scorer: Scorer) -> RackCounts | None:
    """Fills racks in index order; a baseline."""
    return _fill_in_order(scorer, range(len(scorer.capacity)))


def random_fit(random_source: RandomSource) -> SearchMethod:
    """Returns a search that fills racks in random order; a baseline."""

    def fit(scorer: Scorer) -> RackCounts | None:
        racks = range(len(scorer.capacity))
        return _fill_in_order(scorer, sorted(racks, key=lambda index: random_source.draw()))

    return fit


def pack_fullest_first(scorer: Scorer) -> RackCounts | None:
    """Fills racks in the order of their free capacity, least first; a baseline."""
    racks = range(len(scorer.capacity))
    return _fill_in_order(scorer, sorted(racks, key=lambda index: (scorer.capacity[index], index)))


def spread_evenly(scorer: Scorer) -> RackCounts | None:
    """Distributes the workers evenly over all racks; a baseline."""
    return _fill_evenly(scorer, _usable_racks(scorer))
