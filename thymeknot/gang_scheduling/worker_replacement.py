"""Finds a new placement for a gang that lost workers: in place, or the whole gang elsewhere."""

from collections.abc import Mapping
from typing import NamedTuple

from ..interface.clock import Ticks
from .jobs import Gang, ReplacementMethod
from .placement_score import RackCounts, RackIndex, Scorer, Weights
from .placement_search import Plan, choose_search, make_plan, scored_versions
from .topology import Topology

MAX_REPLACEMENT_RACKS = 8  # racks that are scored for each replaced worker
RESTART_TICKS = 300_000  # 30 s, that a worker takes to load its state
RESTARTS_PER_MOVE = 2  # restarts that moving the whole gang costs


class Replacement(NamedTuple):
    """A proposal for a gang with failed workers.

    Attributes:
        plan: The whole new placement.
        method: Whether the workers that are surviving stay.
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

    Both methods go back to the checkpoint. What decides is that all workers load their state or
    only a few, and what the two placements are worth in each step of the rest of the run.

    Args:
        topology: Racks, with what other gangs put on the uplinks.
        gang: The gang.
        now: Agreed time.
        surviving: {machine: workers} that are surviving.
        since_checkpoint: Time that is lost since the checkpoint.
        weights: Weights of the score's terms.
        restart: Time that a worker takes to load its state.
        remaining_run: How long the gang still runs; all that it was to run if it is None.

    Returns:
        The cheaper option, or None if the gang fits nowhere now.
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
    """Returns a scorer that counts the slots of the gang's own workers as capacity."""
    scorer = Scorer(topology, gang, now, weights)
    for index, workers in own_counts.items():
        scorer.capacity[index] += workers
        scorer.unplanned_capacity[index] += workers
    return scorer


def _add_missing_workers(
    scorer: Scorer, own_scorer: Scorer, own_counts: RackCounts, missing: int
) -> RackCounts | None:
    """Adds the missing workers, one after the other, to where each costs least.

    Returns:
        The whole placement, or None if they do not all fit.
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
    """Returns the racks that are worth a score for one more worker, nearest first."""
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
    """Returns {machine: workers}: those that are surviving, and machines for the others."""
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
