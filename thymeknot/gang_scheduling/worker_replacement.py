"""Finds a new placement for a gang that lost workers: in place, or for the whole gang."""

from collections.abc import Mapping
from typing import NamedTuple

from ..interface.clock import Ticks
from .jobs import Gang, ReplacementMethod
from .placement_score import RackCounts, RackIndex, Scorer, Weights
from .placement_search import Plan, choose_search, make_plan, scored_versions
from .topology import Topology

MAX_REPLACEMENT_RACKS = 8  # racks scored per replaced worker
RESTART_TICKS = 300_000  # 30 s; time a worker takes to load its state
RESTARTS_PER_MOVE = 2  # cost of moving the whole gang, in restarts of a worker


class Replacement(NamedTuple):
    """A proposed replacement of lost workers.

    Attributes:
        plan: The complete new placement.
        method: Whether the surviving workers stay where they are.
    """

    plan: Plan
    method: ReplacementMethod


def replace_failed_workers(
    topology: Topology,
    gang: Gang,
    now: Ticks,
    surviving: Mapping[str, int],
    since_checkpoint: Ticks,
    *,
    weights: Weights | None = None,
    restart: Ticks = RESTART_TICKS,
    remaining_run: Ticks | None = None,
) -> Replacement | None:
    """Finds a new placement for a gang that lost workers.

    With both methods the gang resumes from its checkpoint. They differ in how many workers have to
    load their state, and in the scores of the placements over the rest of the run.

    Args:
        topology: The racks, with the traffic of other gangs.
        gang: The gang.
        now: Agreed time in ticks.
        surviving: {machine: workers} of the surviving workers.
        since_checkpoint: Ticks since the checkpoint; this work is lost.
        weights: Weights of the score's terms; default weights if None.
        restart: Ticks that a worker takes to load its state.
        remaining_run: Ticks that the gang will still run; its expected duration if None.

    Returns:
        The cheaper replacement, or None if the gang does not fit now.
    """
    remaining_run = remaining_run or gang.lasts
    missing = gang.workers - sum(surviving.values())
    scorer = Scorer(topology, gang, now, weights)
    rack_index = {name: position for position, name in enumerate(scorer.rack_names)}
    own_counts = {
        rack_index[name]: workers for name, workers in topology.workers_by_rack(surviving).items()
    }
    own_scorer = _scorer_with_own_slots(topology, gang, now, weights, own_counts)
    options: list[tuple[float, ReplacementMethod, RackCounts]] = []
    in_place = _add_missing_workers(scorer, own_scorer, own_counts, missing)
    if in_place is not None:
        cost = (
            own_scorer.total(in_place) * remaining_run
            + since_checkpoint
            + restart * max(1, missing) / gang.workers
        )
        options.append((cost, ReplacementMethod.IN_PLACE, in_place))
    whole = choose_search(scorer)
    if whole:
        cost = (
            own_scorer.total(whole) * remaining_run + since_checkpoint + restart * RESTARTS_PER_MOVE
        )
        options.append((cost, ReplacementMethod.WHOLE, whole))
    if not options:
        return None
    _, method, counts = min(options, key=lambda option: option[0])
    if method == ReplacementMethod.WHOLE:
        return Replacement(make_plan(scorer, counts), method)
    placement = _place_added_workers(scorer, surviving, own_counts, counts)
    versions = scored_versions(scorer, counts)
    return Replacement(Plan(placement, versions, own_scorer.explain(counts)), method)


def _scorer_with_own_slots(
    topology: Topology, gang: Gang, now: Ticks, weights: Weights | None, own_counts: RackCounts
) -> Scorer:
    """Returns a scorer that counts the slots of the surviving workers as capacity."""
    scorer = Scorer(topology, gang, now, weights)
    for index, workers in own_counts.items():
        scorer.capacity[index] += workers
        scorer.unplanned_capacity[index] += workers
    return scorer


def _add_missing_workers(
    scorer: Scorer, own_scorer: Scorer, own_counts: RackCounts, missing: int
) -> RackCounts | None:
    """Adds the missing workers one by one, each to the rack that gives the lowest score.

    Returns:
        The complete placement, or None if not all workers fit.
    """
    counts = dict(own_counts)
    for _ in range(missing):
        candidates = _replacement_racks(scorer, own_counts, counts)
        if not candidates:
            return None
        trials = ({**counts, index: counts.get(index, 0) + 1} for index in candidates)
        counts = min(trials, key=own_scorer.total)
    return counts


def _replacement_racks(
    scorer: Scorer, own_counts: RackCounts, counts: RackCounts
) -> list[RackIndex]:
    """Returns the racks to score for one more worker, nearest first."""
    zones = {scorer.rack_zone[index] for index in counts}
    free = [
        index
        for index, capacity in enumerate(scorer.capacity)
        if capacity > counts.get(index, 0) - own_counts.get(index, 0)
    ]
    free.sort(
        key=lambda index: (
            index not in counts,
            scorer.rack_zone[index] not in zones,
            scorer.rack_background_load[index],
            -scorer.capacity[index],
        )
    )
    return free[:MAX_REPLACEMENT_RACKS]


def _place_added_workers(
    scorer: Scorer, surviving: Mapping[str, int], own_counts: RackCounts, counts: RackCounts
) -> dict[str, int]:
    """Returns {machine: workers} of the surviving workers and the added ones."""
    placement = dict(surviving)
    for index, workers in counts.items():
        added = workers - own_counts.get(index, 0)
        if added:
            picked = scorer.topology.pick_machines(
                scorer.rack_names[index], scorer.shape, added, scorer.expected_end
            )
            for machine, workers_added in picked.items():
                placement[machine] = placement.get(machine, 0) + workers_added
    return placement
