"""What a placement is worth: parts that are weighed by the operator, less is better, each with its sentence.

A placement is a number of workers for each rack. Everything here is outside the agreed state, so it may use floats.
"""

from dataclasses import dataclass
from math import inf

TENTHS = 10_000  # of a millisecond, in a second


@dataclass(frozen=True)
class Weights:
    """step: predicted step over its target. fragments: room left over in racks that were broken into, in racks.
    planned: share of the workers who would be in the way of a drain, wave or move. loss: share that one rack takes.
    harm: by how much links that others use would be over full, summed: the fullest link alone would hide what a gang
    that is too much for any place does to a small one at its side."""

    step: float = 1.0
    harm: float = 0.5
    fragments: float = 0.1
    planned: float = 0.5
    loss: float = 0.2


@dataclass(frozen=True)
class Score:
    """total, and parts: {name: {"value", "weight", "says"}}; total is the sum of value by weight."""

    total: float
    parts: dict

    def sentence(self):
        return " ".join(part["says"] for part in self.parts.values())


def put(places, gang, counts, times=1):
    """Adds what a gang sends to the uplinks, by {rack: workers}; times -1 takes it away again."""
    for link, crossing in crossings(places, gang, counts):
        more = places.carried.get(link, 0.0) + times * crossing * TENTHS / gang.target
        if more > 1e-6:
            places.carried[link] = more
        else:
            places.carried.pop(link, None)


def crossings(places, gang, counts):
    """(link, bytes a step) of each uplink that the gang's traffic crosses."""
    low, runs = 0, {}
    for name in places.rack_order():
        many = counts.get(name, 0)
        if many:
            rack = places.racks[name]
            for link in (
                "rack/" + name,
                f"zone/{rack.cluster}/{rack.zone}",
                "cluster/" + rack.cluster,
            ):
                first, _ = runs.get(link, (low, low))
                runs[link] = first, low + many
            low += many
    return [
        (link, crossing)
        for link, (first, end) in runs.items()
        if (crossing := gang.crossing_bytes(first, end))
    ]


class Scorer:
    """Scores of one gang over the places as they are now; made anew when they change.

    Index i is the rack's place in `places.rack_order()`. Sites are the zones and clusters above, runs of these.
    """

    def __init__(self, places, gang, at, weights=None):
        self.places, self.gang, self.weights = places, gang, weights or Weights()
        self.names, self.shape, self.until = (
            places.rack_order(),
            gang.resource_shape(),
            at + gang.lasts,
        )
        self.target, self.workers = gang.target / TENTHS, gang.workers
        self.room, self.clean, self.slots, self.base, self.rate = [], [], [], [], []
        self.zone, self.cluster, self.sites, known = [], [], [], {}
        self.link = inf
        for name in self.names:
            rack = places.racks[name]
            room = places.rack_capacity(name, self.shape)
            soon = [
                machine for machine, host in rack.hosts.items() if 0 < host.planned < self.until
            ]
            fits = places.machine_capacities(name, self.shape)
            self.room.append(room)
            self.clean.append(room - sum(fits.get(machine, 0) for machine in soon))
            self.slots.append(max(1, rack.slots))
            self.base.append(self._carried("rack/" + name, rack.bandwidth))
            self.rate.append(1 / (max(1, rack.bandwidth) * self.target))
            self.link = min(self.link, rack.link)
            for kind, link in (
                (self.zone, f"zone/{rack.cluster}/{rack.zone}"),
                (self.cluster, "cluster/" + rack.cluster),
            ):
                if link not in known:
                    known[link] = len(self.sites)
                    wide = places.uplinks.get(link, inf)
                    self.sites.append(
                        (link, self._carried(link, wide), 1 / (max(1, wide) * self.target))
                    )
                kind.append(known[link])
        self.floor = (
            gang.busiest_worker_bytes() / max(1, self.link) / self.target if self.names else 0.0
        )
        self._crossed, self.asked = {}, 0

    def _carried(self, link, bandwidth):
        """The share of the link that others fill already."""
        return self.places.carried.get(link, 0.0) / max(1, bandwidth)

    def crossing(self, low, high):
        key = low * 1024 + high
        found = self._crossed.get(key)
        if found is None:
            found = self._crossed[key] = self.gang.crossing_bytes(low, high)
        return found

    def rack_step(self, at, low, high):
        """Predicted step over target by the rack's uplink, for ranks low to high in it."""
        crossing = self.crossing(low, high)
        return self.base[at] + crossing * self.rate[at] if crossing else 0.0

    def site_step(self, site, low, high):
        crossing = self.crossing(low, high)
        return self.sites[site][1] + crossing * self.sites[site][2] if crossing else 0.0

    def rack_parts(self, at, many):
        """(fragments, planned) of so many workers in the rack."""
        return (self.room[at] - many) / self.slots[at], max(0, many - self.clean[at]) / self.workers

    def values(self, counts):
        """((step, link), harm, fragments, planned, (loss, rack)) of {index: workers}."""
        self.asked += 1
        worst, link = self.floor, "machine"
        harm = fragments = planned = 0.0
        most, fullest, low = 0, -1, 0
        zone = cluster = -1
        zone_low = cluster_low = 0
        for at in sorted(counts):
            many = counts[at]
            if self.zone[at] != zone:
                if zone >= 0:
                    step = self.site_step(zone, zone_low, low)
                    if step > 1 and self.sites[zone][1]:
                        harm += step - 1
                    if step > worst:
                        worst, link = step, self.sites[zone][0]
                zone, zone_low = self.zone[at], low
            if self.cluster[at] != cluster:
                if cluster >= 0:
                    step = self.site_step(cluster, cluster_low, low)
                    if step > 1 and self.sites[cluster][1]:
                        harm += step - 1
                    if step > worst:
                        worst, link = step, self.sites[cluster][0]
                cluster, cluster_low = self.cluster[at], low
            step = self.rack_step(at, low, low + many)
            if step > 1 and self.base[at]:
                harm += step - 1
            if step > worst:
                worst, link = step, at
            low += many
            if many > most:
                most, fullest = many, at
            fragments += (self.room[at] - many) / self.slots[at]
            if many > self.clean[at]:
                planned += (many - self.clean[at]) / self.workers
        for site, first in ((zone, zone_low), (cluster, cluster_low)):
            step = self.site_step(site, first, low) if site >= 0 else 0.0
            if step > 1 and self.sites[site][1]:
                harm += step - 1
            if step > worst:
                worst, link = step, self.sites[site][0]
        return (worst, link), harm, fragments, planned, (most / self.workers, fullest)

    def total(self, counts):
        (step, _), harm, fragments, planned, (loss, _) = self.values(counts)
        weights = self.weights
        return (
            weights.step * step
            + weights.harm * harm
            + weights.fragments * fragments
            + weights.planned * planned
            + weights.loss * loss
        )

    def explain(self, counts):
        """The Score of {index: workers}, with its parts."""
        (step, link), harm, fragments, planned, (loss, fullest) = self.values(counts)
        where = (
            f"the uplink of rack {self.names[link]}"
            if isinstance(link, int)
            else ("a worker's own machine" if link == "machine" else f"the uplink of {link}")
        )
        others = (
            self.base[link]
            if isinstance(link, int)
            else next((base for name, base, _ in self.sites if name == link), 0.0)
        )
        values = {
            "step": (
                step,
                f"A step takes {step * self.target:.3f} s of {self.target:.3f} s by {where}, which others "
                f"fill to {others:.0%}.",
            ),
            "harm": (harm, f"Links that others use would be over full by {harm:.0%} together."),
            "fragments": (
                fragments,
                f"It leaves {fragments:.2f} racks' room over in {len(counts)} racks.",
            ),
            "planned": (
                planned,
                f"{planned:.0%} of it stands where a drain, wave or move is planned before its end.",
            ),
            "loss": (
                loss,
                f"The loss of rack {self.names[fullest]} takes {loss:.0%} of it." if counts else "",
            ),
        }
        weights = self.weights
        parts = {
            name: {"value": value, "weight": getattr(weights, name), "says": says}
            for name, (value, says) in values.items()
        }
        return Score(sum(part["value"] * part["weight"] for part in parts.values()), parts)
