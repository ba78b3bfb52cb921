"""The cost of a placement: weighted terms, each with an explanation; lower is better.

A placement is scored by its number of workers in each rack. Nothing here is part of the replicated
state, so floats are safe.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import Final, NamedTuple, TypeAlias

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .jobs import Gang
from .topology import Topology

MIN_TRAFFIC = 1e-6  # bytes per second; less is a rounding error of adding and subtracting traffic
RANK_RANGE_KEY_BASE = 1024  # above MAX_WORKERS, so that a pair of ranks maps to one integer
MACHINE_LINK: Final = "machine"  # the bottleneck if a worker's own link is the slowest

RackIndex: TypeAlias = int
"""A rack's position in `Topology.rack_order()`."""

RackCounts: TypeAlias = dict[RackIndex, int]
"""A placement by rack: {rack index: workers}, without zeros."""

Bottleneck: TypeAlias = int | str
"""The slowest link: a rack index (its uplink), the name of a site's uplink, or `MACHINE_LINK`."""


@dataclass(frozen=True)
class Weights:
    """Weight of each term of a score; `ScoreTermValues` defines the terms.

    Attributes:
        step: Weight of the step duration.
        harm: Weight of the overload of shared links. It is a sum, because the most loaded link
            alone would hide the harm that a gang too large for any placement does to a small gang
            next to it.
        fragments: Weight of the fragmentation of racks.
        planned: Weight of the workers on machines with a planned removal.
        loss: Weight of the workers that the loss of one rack would remove.
    """

    step: float = 1.0
    harm: float = 0.5
    fragments: float = 0.1
    planned: float = 0.5
    loss: float = 0.2


class ScoreTermValues(NamedTuple):
    """The unweighted terms of a score.

    Attributes:
        step: Predicted duration of a step, as a ratio to its target.
        bottleneck: The link that determines `step`.
        harm: Sum of the overload of links that other gangs use, each as a ratio to the target.
        fragments: Capacity left over in the racks that the placement uses, in units of racks.
        planned: Share of the workers on machines that are planned to be removed before the gang
            ends (by a drain, wave or move).
        loss: Share of the workers in the rack with the most workers.
        fullest: Index of that rack, -1 if there is none.
    """

    step: float
    bottleneck: Bottleneck
    harm: float
    fragments: float
    planned: float
    loss: float
    fullest: RackIndex


class ScoreTerm(NamedTuple):
    """One term of a score.

    Attributes:
        value: The unweighted value.
        weight: The weight.
        explanation: Human-readable explanation.
    """

    value: float
    weight: float
    explanation: str


@dataclass(frozen=True)
class Score:
    """A score with its explanation.

    Attributes:
        total: Weighted sum of the terms.
        terms: The terms by name; the names are those in `Weights`.
    """

    total: float
    terms: dict[str, ScoreTerm]

    def explanation(self) -> str:
        """Returns the explanations of all terms as one text."""
        return " ".join(term.explanation for term in self.terms.values())


class Site(NamedTuple):
    """A zone or cluster: a contiguous range of racks below one uplink.

    Attributes:
        link: Name of its uplink.
        background_load: Load of the uplink by other gangs, as a ratio to its bandwidth.
        load_per_byte: Load that one byte per step adds, as a ratio to the target of the step.
    """

    link: str
    background_load: float
    load_per_byte: float


LinkLoad: TypeAlias = tuple[float, float, Bottleneck]
"""(step duration as a ratio to the target, background load of the link, link).

A plain tuple, because a search creates thousands of them and creating a named tuple takes several
times as long.
"""


def add_traffic(topology: Topology, gang: Gang, counts: Mapping[str, int], sign: int = 1) -> None:
    """Adds a gang's traffic to `Topology.link_traffic`, or subtracts it.

    Args:
        topology: The topology that is updated.
        gang: The gang.
        counts: {rack name: workers}.
        sign: 1 to add the traffic, -1 to subtract it.
    """
    for link, crossing in uplink_traffic(topology, gang, counts):
        traffic = (
            topology.link_traffic.get(link, 0.0) + sign * crossing * TICKS_PER_SECOND / gang.target
        )
        if traffic > MIN_TRAFFIC:
            topology.link_traffic[link] = traffic
        else:
            topology.link_traffic.pop(link, None)


def _rack_link(name: str) -> str:
    return "rack/" + name


def _site_links(topology: Topology, name: str) -> tuple[str, str]:
    """Returns the names of the uplinks of a rack's zone and cluster."""
    rack = topology.racks[name]
    return f"zone/{rack.cluster}/{rack.zone}", "cluster/" + rack.cluster


def uplink_traffic(
    topology: Topology, gang: Gang, counts: Mapping[str, int]
) -> list[tuple[str, float]]:
    """Returns (link, bytes per step) for each uplink that the gang's traffic crosses."""
    low = 0
    ranges: dict[str, tuple[int, int]] = {}
    for name in topology.rack_order():
        workers = counts.get(name, 0)
        if workers:
            for link in (_rack_link(name), *_site_links(topology, name)):
                first, _ = ranges.get(link, (low, low))
                ranges[link] = (first, low + workers)
            low += workers
    return [
        (link, crossing)
        for link, (first, end) in ranges.items()
        if (crossing := gang.crossing_bytes(first, end))
    ]


class Scorer:
    """Scores placements of one gang on the current topology.

    A scorer becomes invalid when the topology changes. Lists are indexed by rack index.

    Attributes:
        rack_names: Names of the racks.
        capacity: Number of workers that fit.
        unplanned_capacity: Number of workers that fit on machines without a planned removal before
            the expected end of the gang.
        slots: Number of slots, at least 1.
        rack_background_load: Load of the rack's uplink by other gangs, as a ratio to its bandwidth.
        rack_load_per_byte: Load that one byte per step adds to the rack's uplink, as a ratio to the
            target of the step.
        rack_zone: Index into `sites` of the rack's zone.
        rack_cluster: Index into `sites` of the rack's cluster.
        sites: The zones and clusters.
        expected_end: Agreed time in ticks at which the gang is expected to end.
        min_step: Lower bound of the step duration, as a ratio to its target, from the machines'
            own links.
        evaluations: Number of placements scored so far.
    """

    def __init__(
        self, topology: Topology, gang: Gang, now: Ticks, weights: Weights | None = None
    ) -> None:
        self.topology = topology
        self.gang = gang
        self.weights = weights or Weights()
        self.rack_names = topology.rack_order()
        self.shape = gang.resource_shape()
        self.expected_end = now + gang.lasts
        self.target_seconds = gang.target / TICKS_PER_SECOND
        self.workers = gang.workers
        self.evaluations = 0
        self.capacity: list[int] = []
        self.unplanned_capacity: list[int] = []
        self.slots: list[int] = []
        self.rack_background_load: list[float] = []
        self.rack_load_per_byte: list[float] = []
        self.rack_zone: list[int] = []
        self.rack_cluster: list[int] = []
        self.sites: list[Site] = []
        self._crossing_bytes: dict[int, float] = {}
        self._site_index: dict[str, int] = {}
        for name in self.rack_names:
            self._add_rack(name)
        slowest_bandwidth = min(
            (topology.racks[name].machine_bandwidth for name in self.rack_names), default=inf
        )
        self.min_step = (
            gang.busiest_worker_bytes() / max(1, slowest_bandwidth) / self.target_seconds
            if self.rack_names
            else 0.0
        )

    def _add_rack(self, name: str) -> None:
        """Appends a rack to the lists."""
        rack = self.topology.racks[name]
        capacity = self.topology.rack_capacity(name, self.shape)
        by_machine = self.topology.machine_capacities(name, self.shape)
        planned = sum(
            by_machine.get(machine, 0)
            for machine, host in rack.hosts.items()
            if 0 < host.planned_removal < self.expected_end
        )
        self.capacity.append(capacity)
        self.unplanned_capacity.append(capacity - planned)
        self.slots.append(max(1, rack.slots))
        self.rack_background_load.append(self._background_load(_rack_link(name), rack.bandwidth))
        self.rack_load_per_byte.append(1 / (max(1, rack.bandwidth) * self.target_seconds))
        zone_link, cluster_link = _site_links(self.topology, name)
        self.rack_zone.append(self._find_site(zone_link))
        self.rack_cluster.append(self._find_site(cluster_link))

    def _find_site(self, link: str) -> int:
        """Returns the index of a site; a new site is added."""
        if link not in self._site_index:
            self._site_index[link] = len(self.sites)
            bandwidth = self.topology.uplinks.get(link, inf)
            load_per_byte = 1 / (max(1, bandwidth) * self.target_seconds)
            self.sites.append(Site(link, self._background_load(link, bandwidth), load_per_byte))
        return self._site_index[link]

    def _background_load(self, link: str, bandwidth: float) -> float:
        """Returns the load of a link by other gangs, as a ratio to its bandwidth."""
        return self.topology.link_traffic.get(link, 0.0) / max(1, bandwidth)

    def crossing_bytes(self, low: int, high: int) -> float:
        """Returns `Gang.crossing_bytes`, cached."""
        key = low * RANK_RANGE_KEY_BASE + high
        cached = self._crossing_bytes.get(key)
        if cached is None:
            cached = self._crossing_bytes[key] = self.gang.crossing_bytes(low, high)
        return cached

    def rack_step(self, index: RackIndex, low: int, high: int) -> float:
        """Returns the predicted step duration on a rack's uplink, as a ratio to the target.

        Args:
            index: The rack.
            low: First rank in the rack.
            high: End of the ranks in the rack (exclusive).
        """
        crossing = self.crossing_bytes(low, high)
        return (
            self.rack_background_load[index] + crossing * self.rack_load_per_byte[index]
            if crossing
            else 0.0
        )

    def _site_load(self, index: int, low: int, high: int) -> LinkLoad:
        site = self.sites[index]
        crossing = self.crossing_bytes(low, high)
        step = site.background_load + crossing * site.load_per_byte if crossing else 0.0
        return step, site.background_load, site.link

    def rack_term_values(self, index: RackIndex, workers: int) -> tuple[float, float]:
        """Returns (fragments, planned) that a number of workers in a rack contributes."""
        fragments = (self.capacity[index] - workers) / self.slots[index]
        return fragments, max(0, workers - self.unplanned_capacity[index]) / self.workers

    def _link_loads(self, counts: RackCounts, order: list[RackIndex]) -> list[LinkLoad]:
        """Returns the loads of the uplinks that a placement uses.

        A site follows the last of its racks. The order determines in which order floats are summed
        and which of two equally slow links is reported.
        """
        loads: list[LinkLoad] = []
        zone = cluster = -1
        low = zone_low = cluster_low = 0
        for index in order:
            if self.rack_zone[index] != zone:
                if zone >= 0:
                    loads.append(self._site_load(zone, zone_low, low))
                zone = self.rack_zone[index]
                zone_low = low
            if self.rack_cluster[index] != cluster:
                if cluster >= 0:
                    loads.append(self._site_load(cluster, cluster_low, low))
                cluster = self.rack_cluster[index]
                cluster_low = low
            high = low + counts[index]
            loads.append(
                (self.rack_step(index, low, high), self.rack_background_load[index], index)
            )
            low = high
        if zone >= 0:
            loads.append(self._site_load(zone, zone_low, low))
            loads.append(self._site_load(cluster, cluster_low, low))
        return loads

    def term_values(self, counts: RackCounts) -> ScoreTermValues:
        """Returns the unweighted terms of a placement's score."""
        self.evaluations += 1
        order = sorted(counts)
        slowest_step = self.min_step
        bottleneck: Bottleneck = MACHINE_LINK
        harm = 0.0
        for step, background, link in self._link_loads(counts, order):
            if step > 1 and background:
                harm += step - 1
            if step > slowest_step:
                slowest_step = step
                bottleneck = link
        fragments = planned = 0.0
        fullest_workers = 0
        fullest = -1
        for index in order:
            workers = counts[index]
            if workers > fullest_workers:
                fullest_workers = workers
                fullest = index
            fragments += (self.capacity[index] - workers) / self.slots[index]
            if workers > self.unplanned_capacity[index]:
                planned += (workers - self.unplanned_capacity[index]) / self.workers
        return ScoreTermValues(
            slowest_step,
            bottleneck,
            harm,
            fragments,
            planned,
            fullest_workers / self.workers,
            fullest,
        )

    def total(self, counts: RackCounts) -> float:
        """Returns the score of a placement: the weighted sum of its terms."""
        values = self.term_values(counts)
        weights = self.weights
        return (
            weights.step * values.step
            + weights.harm * values.harm
            + weights.fragments * values.fragments
            + weights.planned * values.planned
            + weights.loss * values.loss
        )

    def explain(self, counts: RackCounts) -> Score:
        """Returns the score of a placement with an explanation of each term."""
        values = self.term_values(counts)
        weights = self.weights
        loss = ""
        if counts:
            loss = (
                f"The loss of rack {self.rack_names[values.fullest]} takes {values.loss:.0%} of it."
            )
        terms = {
            "step": ScoreTerm(values.step, weights.step, self._explain_step(values)),
            "harm": ScoreTerm(
                values.harm,
                weights.harm,
                f"Links that other gangs use would be overloaded by {values.harm:.0%} in total.",
            ),
            "fragments": ScoreTerm(
                values.fragments,
                weights.fragments,
                f"It leaves the capacity of {values.fragments:.2f} racks unused "
                f"in {len(counts)} racks.",
            ),
            "planned": ScoreTerm(
                values.planned,
                weights.planned,
                f"{values.planned:.0%} of it is on machines with a drain, wave or move planned "
                "before its end.",
            ),
            "loss": ScoreTerm(values.loss, weights.loss, loss),
        }
        return Score(sum(term.value * term.weight for term in terms.values()), terms)

    def _explain_step(self, values: ScoreTermValues) -> str:
        link = values.bottleneck
        if isinstance(link, int):
            link_name = f"the uplink of rack {self.rack_names[link]}"
            background = self.rack_background_load[link]
        elif link == MACHINE_LINK:
            link_name = "the link of a machine"
            background = 0.0
        else:
            link_name = f"the uplink of {link}"
            background = self.sites[self._site_index[link]].background_load
        return (
            f"A step takes {values.step * self.target_seconds:.3f} s of "
            f"{self.target_seconds:.3f} s over {link_name}, "
            f"which other gangs load to {background:.0%}."
        )
