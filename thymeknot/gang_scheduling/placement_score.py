"""What a placement is worth: terms that the operator weighs, less is better, each with a sentence.

A placement is a number of workers for each rack. Everything here is outside the replicated state,
so it may use floats.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import Final, NamedTuple, TypeAlias

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .jobs import Gang
from .topology import Topology

MIN_TRAFFIC = 1e-6  # bytes a second; less is a rounding error of adding and taking away
RANK_RANGE_KEY_BASE = 1024  # above MAX_WORKERS, so that two ranks make one integer key
MACHINE_LINK: Final = "machine"  # the bottleneck where a worker's own link is slowest

RackIndex: TypeAlias = int
"""A rack's position in `Topology.rack_order()`."""

RackCounts: TypeAlias = dict[RackIndex, int]
"""A placement: {rack index: workers}, without zeros."""

Bottleneck: TypeAlias = int | str
"""The slowest link: a rack index, the name of a site's uplink, or `MACHINE_LINK`."""


@dataclass(frozen=True)
class Weights:
    """How much each term of a score counts.

    Attributes:
        step: Predicted duration of a step over its target.
        harm: By how much links that others use would be overloaded, summed: the fullest link alone
            would hide what a gang that is too much for any place does to a small one at its side.
        fragments: Capacity left over in racks that were broken into, in racks.
        planned: Share of the workers that are in the way of a planned drain, wave or move.
        loss: Share of the workers that the loss of one rack takes.
    """

    step: float = 1.0
    harm: float = 0.5
    fragments: float = 0.1
    planned: float = 0.5
    loss: float = 0.2


class ScoreTermValues(NamedTuple):
    """The unweighted terms of a score.

    Attributes:
        step: Predicted duration of a step over its target.
        bottleneck: The link that decides `step`.
        harm: Overload of links that others use, summed.
        fragments: Capacity left over in racks that were broken into, in racks.
        planned: Share of the workers in the way of a planned drain, wave or move.
        loss: Share of the workers in the fullest rack.
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
        value: The term.
        weight: What it is multiplied by.
        explanation: What it means, for people.
    """

    value: float
    weight: float
    explanation: str


@dataclass(frozen=True)
class Score:
    """A score with its explanation.

    Attributes:
        total: Sum of value by weight.
        terms: The terms by name, as in `Weights`.
    """

    total: float
    terms: dict[str, ScoreTerm]

    def explanation(self) -> str:
        """Returns the sentences of all terms."""
        return " ".join(term.explanation for term in self.terms.values())


class Site(NamedTuple):
    """A zone or cluster: a contiguous range of racks below one uplink.

    Attributes:
        link: Name of its uplink.
        background_load: Share of the uplink that others use already.
        load_per_byte: Steps over target that one byte a step adds to the uplink.
    """

    link: str
    background_load: float
    load_per_byte: float


LinkLoad: TypeAlias = tuple[float, float, Bottleneck]
"""(predicted step over target by an uplink, share of it that others use already, the uplink).

A plain tuple, since a search makes thousands: a named one takes several times as long to make.
"""


def add_traffic(topology: Topology, gang: Gang, counts: Mapping[str, int], sign: int = 1) -> None:
    """Adds a gang's traffic to the uplinks.

    Args:
        topology: Where the traffic is kept, in `link_traffic`.
        gang: Who sends.
        counts: {rack name: workers}.
        sign: 1 to add, -1 to take away.
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
    """Returns (link, bytes a step) of each uplink that the gang's traffic crosses."""
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
    """Scores of one gang over the places as they are now; made anew when they change.

    Lists are by rack index.

    Attributes:
        rack_names: Names of the racks.
        capacity: Workers that fit.
        unplanned_capacity: Workers that fit on machines that no plan takes before the gang's end.
        slots: Slots, at least 1.
        rack_background_load: Share of the uplink that others use already.
        rack_load_per_byte: Steps over target that one byte a step adds to the uplink.
        rack_zone: Index into `sites` of the rack's zone.
        rack_cluster: Index into `sites` of the rack's cluster.
        sites: The zones and clusters.
        expected_end: Agreed time in ticks at which the gang should end.
        min_step: Least duration of a step over its target, by the machines' own links.
        evaluations: How many placements were scored.
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
        """Appends one rack to the lists."""
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
        self.rack_zone.append(self._site(zone_link))
        self.rack_cluster.append(self._site(cluster_link))

    def _site(self, link: str) -> int:
        """Returns the index of a site, which is added if it is new."""
        if link not in self._site_index:
            self._site_index[link] = len(self.sites)
            bandwidth = self.topology.uplinks.get(link, inf)
            rate = 1 / (max(1, bandwidth) * self.target_seconds)
            self.sites.append(Site(link, self._background_load(link, bandwidth), rate))
        return self._site_index[link]

    def _background_load(self, link: str, bandwidth: float) -> float:
        """Returns the share of the link that others use already."""
        return self.topology.link_traffic.get(link, 0.0) / max(1, bandwidth)

    def crossing_bytes(self, low: int, high: int) -> float:
        """Returns `Gang.crossing_bytes`, from a cache."""
        key = low * RANK_RANGE_KEY_BASE + high
        cached = self._crossing_bytes.get(key)
        if cached is None:
            cached = self._crossing_bytes[key] = self.gang.crossing_bytes(low, high)
        return cached

    def rack_step(self, index: RackIndex, low: int, high: int) -> float:
        """Returns the predicted step over target by the rack's uplink, for ranks low to high."""
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
        """Returns the terms (fragments, planned) of so many workers in the rack."""
        fragments = (self.capacity[index] - workers) / self.slots[index]
        return fragments, max(0, workers - self.unplanned_capacity[index]) / self.workers

    def _link_loads(self, counts: RackCounts, order: list[RackIndex]) -> list[LinkLoad]:
        """Returns the loads of the uplinks that the placement uses.

        A site comes after the last of its racks. The order decides how floats are summed and which
        of two equal links is named.
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
        """Returns the unweighted terms of a placement."""
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
        """Returns the weighted sum of a placement's terms."""
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
        """Returns the score of a placement with its sentences."""
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
                f"Links that others use would be over full by {values.harm:.0%} together.",
            ),
            "fragments": ScoreTerm(
                values.fragments,
                weights.fragments,
                f"It leaves {values.fragments:.2f} racks' room over in {len(counts)} racks.",
            ),
            "planned": ScoreTerm(
                values.planned,
                weights.planned,
                f"{values.planned:.0%} of it stands where a drain, wave or move is planned "
                "before its end.",
            ),
            "loss": ScoreTerm(values.loss, weights.loss, loss),
        }
        return Score(sum(term.value * term.weight for term in terms.values()), terms)

    def _explain_step(self, values: ScoreTermValues) -> str:
        link = values.bottleneck
        if isinstance(link, int):
            where = f"the uplink of rack {self.rack_names[link]}"
            background = self.rack_background_load[link]
        elif link == MACHINE_LINK:
            where = "a worker's own machine"
            background = 0.0
        else:
            where = f"the uplink of {link}"
            background = self.sites[self._site_index[link]].background_load
        return (
            f"A step takes {values.step * self.target_seconds:.3f} s of "
            f"{self.target_seconds:.3f} s by {where}, which others fill to {background:.0%}."
        )
