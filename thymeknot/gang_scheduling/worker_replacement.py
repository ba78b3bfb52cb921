"""Finds a new placement for a gang that lost workers: in place, or the whole gang elsewhere."""

from collections.abc import Mapping
from typing import NamedTuple

from ..interface.clock import Ticks
from .jobs import Gang, ReplacementMethod
from .placement_score import RackCounts, RackIndex, Scorer, Weights
from .placement_search import Plan, choose_search, plan_of, scored_versions
from .topology import Topology

MAX_REPLACEMENT_RACKS = 8  # racks that are scored for each replaced worker
RESTART_TICKS = 300_000  # 30 s, that a worker takes to load its state
WHOLE_RESTARTS = 2  # restarts that moving the whole gang costs


class Replacement(NamedTuple):
    """A proposal for a gang with failed workers.

    Attributes:
        plan: The whole new placement.
        method: Whether the workers that are left stay.
    """

    plan: Plan
    method: ReplacementMethod


def replace_failed_workers(
    topology: Topology,
    gang: Gang,
    now: Ticks,
    left: Mapping[str, int],
    since_checkpoint: Ticks,
    *,
    weights: Weights | None = None,
    restart: Ticks = RESTART_TICKS,
    remaining: Ticks | None = None,
) -> Replacement | None:
    """Finds a new placement for a gang that lost workers.

    Both methods go back to the checkpoint. What decides is that all workers load their state or
    only a few, and what the two placements are worth in each step of the rest of the run.

    Args:
        topology: Racks, with what other gangs put on the uplinks.
        gang: The gang.
        now: Agreed time.
        left: {machine: workers} that are left.
        since_checkpoint: Time that is lost since the checkpoint.
        weights: Weights of the score's terms.
        restart: Time that a worker takes to load its state.
        remaining: How long the gang still runs; all that it was to run if it is None.

    Returns:
        The cheaper way, or None if the gang fits nowhere now.
    """
    remaining = remaining or gang.lasts
    missing = gang.workers - sum(left.values())
    scorer = Scorer(topology, gang, now, weights)
    index = {name: position for position, name in enumerate(scorer.rack_names)}
    own = {index[name]: workers for name, workers in topology.workers_by_rack(left).items()}
    own_scorer = _scorer_with_own_slots(topology, gang, now, weights, own)
    ways: list[tuple[float, ReplacementMethod, RackCounts]] = []
    patched = _add_workers(scorer, own_scorer, own, missing)
    if patched is not None:
        cost = (
            own_scorer.total(patched) * remaining
            + since_checkpoint
            + restart * max(1, missing) / gang.workers
        )
        ways.append((cost, ReplacementMethod.IN_PLACE, patched))
    moved = choose_search(scorer)
    if moved:
        cost = own_scorer.total(moved) * remaining + since_checkpoint + restart * WHOLE_RESTARTS
        ways.append((cost, ReplacementMethod.WHOLE, moved))
    if not ways:
        return None
    _, method, counts = min(ways, key=lambda way: way[0])
    if method == ReplacementMethod.WHOLE:
        return Replacement(plan_of(scorer, counts), method)
    machines = _add_machines(scorer, left, own, counts)
    versions = scored_versions(scorer, counts)
    return Replacement(Plan(machines, versions, own_scorer.explain(counts)), method)


def _scorer_with_own_slots(
    topology: Topology, gang: Gang, now: Ticks, weights: Weights | None, own: RackCounts
) -> Scorer:
    """Returns a scorer that counts the slots of the gang's own workers as capacity."""
    scorer = Scorer(topology, gang, now, weights)
    for index, workers in own.items():
        scorer.capacity[index] += workers
        scorer.unplanned_capacity[index] += workers
    return scorer


def _add_workers(
    scorer: Scorer, own_scorer: Scorer, own: RackCounts, missing: int
) -> RackCounts | None:
    """Adds the missing workers, one after the other, to where each costs least.

    Returns:
        The whole placement, or None if they do not all fit.
    """
    counts = dict(own)
    for _ in range(missing):
        near = _replacement_racks(scorer, own, counts)
        if not near:
            return None
        trials = ({**counts, index: counts.get(index, 0) + 1} for index in near)
        counts = min(trials, key=own_scorer.total)
    return counts


def _replacement_racks(scorer: Scorer, own: RackCounts, counts: RackCounts) -> list[RackIndex]:
    """Returns the racks that are worth a score for one more worker, nearest first."""
    zones = {scorer.rack_zone[index] for index in counts}
    free = [
        index
        for index, capacity in enumerate(scorer.capacity)
        if capacity > counts.get(index, 0) - own.get(index, 0)
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


def _add_machines(
    scorer: Scorer, left: Mapping[str, int], own: RackCounts, counts: RackCounts
) -> dict[str, int]:
    """Returns {machine: workers}: those that are left, and machines for the others."""
    machines = dict(left)
    for index, workers in counts.items():
        more = workers - own.get(index, 0)
        if more:
            picked = scorer.topology.pick_machines(
                scorer.rack_names[index], scorer.shape, more, scorer.expected_end
            )
            for machine, some in picked.items():
                machines[machine] = machines.get(machine, 0) + some
    return machines
