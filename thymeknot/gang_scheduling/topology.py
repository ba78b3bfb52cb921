"""Where workers can run: machines in racks, racks in zones, zones in clusters, and the uplinks.

Bandwidth is in bytes a second each way. A rack's version goes up with whatever changes its capacity
or its prospects. A placement commits only against the versions that were scored, and that alone
keeps two schedulers apart.
"""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from ..interface.clock import Ticks
from .jobs import Name, NonNegativeInt, ResourceShape

DEFAULT_MACHINE_BANDWIDTH = 3_125_000_000  # bytes a second: 25 Gbit/s, where a rack states none
MAX_CACHED_RACK_CAPACITIES = 4096  # entries by rack and shape; the cache is emptied beyond it
MAX_CACHED_TOTALS = 256  # entries by shape; the cache is emptied beyond it


class DuplicateMachineError(ValueError):
    """A new rack names a machine that is in another rack."""


class Host(msgspec.Struct, omit_defaults=True):
    """A machine. Its field names are stored keys.

    Attributes:
        slots: Workers that the machine can take when it is empty.
        free_slots: Slots that are free.
        resources: Amount of each resource of the machine.
        free_resources: Amount of each resource that is free.
        draining_for: Name of the drain that asked for the machine, or empty.
        lost: Whether the machine is lost.
        planned_removal: Agreed time in ticks at which it is to go by plan, 0 if never.
    """

    slots: int
    free_slots: int = msgspec.field(name="free")
    resources: dict[str, int] = msgspec.field(name="has")
    free_resources: dict[str, int] = msgspec.field(name="left")
    draining_for: str = msgspec.field(default="", name="closed")
    lost: bool = msgspec.field(default=False, name="gone")
    planned_removal: int = msgspec.field(default=0, name="planned")

    def capacity(self, shape: ResourceShape) -> int:
        """Returns how many more workers fit; none on a machine that drains or is lost."""
        if self.draining_for or self.lost:
            return 0
        capacity = self.free_slots
        free = self.free_resources
        for name, amount in shape:
            workers = free.get(name, 0) // amount
            if workers < capacity:  # noqa: PLR1730 (a search asks this a million times; a call costs more)
                capacity = workers
        return capacity

    def empty_capacity(self, shape: ResourceShape) -> int:
        """Returns how many workers would fit if nobody else were on the machine."""
        if self.lost:
            return 0
        return min([self.slots, *(self.resources.get(name, 0) // amount for name, amount in shape)])

    def reserve(self, workers: int, shape: ResourceShape) -> None:
        """Takes slots and resources for so many workers; a negative number gives them back."""
        self.free_slots -= workers
        for name, amount in shape:
            self.free_resources[name] = self.free_resources.get(name, 0) - workers * amount


class Rack(msgspec.Struct):
    """A rack. Its field names are stored keys.

    Attributes:
        zone: Name of its zone.
        cluster: Name of its cluster.
        bandwidth: Bytes a second of its uplink.
        machine_bandwidth: Bytes a second of each of its machines' links.
        hosts: Its machines by name.
        version: Goes up with each change of capacity or prospects.
        slots: Sum of the machines' slots.
    """

    zone: str
    cluster: str
    bandwidth: int
    machine_bandwidth: int = msgspec.field(name="link")
    hosts: dict[str, Host]
    version: int = 1
    slots: int = 0


class MachineSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A machine as the operator states it.

    Attributes:
        slots: Workers that the machine can take.
        resources: Amount of each resource.
    """

    slots: NonNegativeInt
    resources: dict[Name, NonNegativeInt] = msgspec.field(default_factory=dict, name="has")


class _RackCapacity(NamedTuple):
    """Cached capacity of a rack for one shape.

    Attributes:
        version: The rack's version that was read.
        by_machine: {machine: workers that fit}, without machines where none fits.
        total: Sum of `by_machine`.
    """

    version: int
    by_machine: dict[str, int]
    total: int


class Topology(msgspec.Struct, dict=True):
    """All racks and the uplinks above them. Its field names are stored keys.

    Attributes:
        racks: Racks by name.
        uplinks: Bytes a second by "zone/CLUSTER/ZONE" or "cluster/CLUSTER"; one that nobody stated
            is no limit.
        rack_by_machine: Name of the rack of each machine.
        capacity_version: Goes up with each change of what could be there at all.
    """

    racks: dict[str, Rack] = {}
    uplinks: dict[str, int] = {}
    rack_by_machine: dict[str, str] = msgspec.field(default_factory=dict, name="where")
    capacity_version: int = msgspec.field(default=0, name="stood")

    def __post_init__(self) -> None:
        """Sets what is derived and not stored."""
        self._capacities: dict[tuple[str, ResourceShape], _RackCapacity] = {}
        self._totals: dict[
            ResourceShape, tuple[int, int]
        ] = {}  # shape: (capacity_version, workers)
        self._rack_order: list[str] | None = None
        # Bytes a second that placed gangs send over each uplink, kept by `placement_score`.
        self.link_traffic: dict[str, float] = {}

    def add_rack(
        self,
        name: str,
        zone: str,
        cluster: str,
        bandwidth: int,
        machines: Mapping[str, MachineSpec],
        *,
        machine_bandwidth: int = DEFAULT_MACHINE_BANDWIDTH,
    ) -> None:
        """Adds a rack of machines by name.

        Raises:
            DuplicateMachineError: A machine is in a rack already.
        """
        for machine in machines:
            if machine in self.rack_by_machine:
                raise DuplicateMachineError(
                    f"Machine {machine} stands in rack {self.rack_by_machine[machine]} already."
                )
        hosts = {
            machine: Host(spec.slots, spec.slots, dict(spec.resources), dict(spec.resources))
            for machine, spec in sorted(machines.items())
        }
        slots = sum(host.slots for host in hosts.values())
        self.racks[name] = Rack(zone, cluster, bandwidth, machine_bandwidth, hosts, 1, slots)
        self.rack_by_machine.update(dict.fromkeys(hosts, name))
        self.capacity_version += 1
        self._rack_order = None

    def host(self, machine: str) -> Host:
        """Returns a machine by name."""
        return self.racks[self.rack_by_machine[machine]].hosts[machine]

    def rack_order(self) -> list[str]:
        """Returns the names of racks in the order in which ranks are assigned.

        Racks that share an uplink are next to each other.
        """
        if self._rack_order is None or len(self._rack_order) != len(self.racks):
            self._rack_order = sorted(
                self.racks, key=lambda name: (self.racks[name].cluster, self.racks[name].zone, name)
            )
        return self._rack_order

    def _cached_capacity(self, name: str, shape: ResourceShape) -> _RackCapacity:
        rack = self.racks[name]
        key = (name, shape)
        cached = self._capacities.get(key)
        if cached is None or cached.version != rack.version:
            if len(self._capacities) > MAX_CACHED_RACK_CAPACITIES:
                self._capacities.clear()
            by_machine = {
                machine: workers
                for machine, host in rack.hosts.items()
                if (workers := host.capacity(shape)) > 0
            }
            cached = _RackCapacity(rack.version, by_machine, sum(by_machine.values()))
            self._capacities[key] = cached
        return cached

    def machine_capacities(self, name: str, shape: ResourceShape) -> dict[str, int]:
        """Returns {machine: workers that fit} of a rack, without machines where none fits."""
        return self._cached_capacity(name, shape).by_machine

    def rack_capacity(self, name: str, shape: ResourceShape) -> int:
        """Returns how many workers fit into a rack."""
        return self._cached_capacity(name, shape).total

    def empty_capacity(self, shape: ResourceShape) -> int:
        """Returns how many workers the machines could take if all were empty."""
        cached = self._totals.get(shape)
        if cached is None or cached[0] != self.capacity_version:
            if len(self._totals) > MAX_CACHED_TOTALS:
                self._totals.clear()
            workers = sum(
                host.empty_capacity(shape)
                for rack in self.racks.values()
                for host in rack.hosts.values()
            )
            cached = self._totals[shape] = (self.capacity_version, workers)
        return cached[1]

    def mark_changed(self, machine: str, empty_capacity_changed: bool = False) -> None:
        """Raises the version of a machine's rack, so that placements scored before are rejected.

        Args:
            machine: The machine that changed.
            empty_capacity_changed: Whether the machine's capacity when empty changed too.
        """
        self.racks[self.rack_by_machine[machine]].version += 1
        self.capacity_version += empty_capacity_changed

    def reserve(self, workers_by_machine: Mapping[str, int], shape: ResourceShape) -> None:
        """Takes {machine: workers}; negative numbers give back. The caller checked that it fits."""
        for machine, workers in workers_by_machine.items():
            if workers:
                self.host(machine).reserve(workers, shape)
        for name in {
            self.rack_by_machine[machine]
            for machine, workers in workers_by_machine.items()
            if workers
        }:
            self.racks[name].version += 1

    def workers_by_rack(self, workers_by_machine: Mapping[str, int]) -> dict[str, int]:
        """Returns {rack: workers} of {machine: workers}."""
        by_rack: dict[str, int] = {}
        for machine, workers in workers_by_machine.items():
            by_rack[self.rack_by_machine[machine]] = (
                by_rack.get(self.rack_by_machine[machine], 0) + workers
            )
        return by_rack

    def pick_machines(
        self, name: str, shape: ResourceShape, workers: int, end: Ticks
    ) -> dict[str, int]:
        """Returns {machine: workers} of a rack for so many workers, which must fit.

        Machines that no plan takes before `end` come first, then the machine that the workers
        fill most closely, so that empty machines stay empty.
        """
        hosts = self.racks[name].hosts
        picked: dict[str, int] = {}
        capacities = self.machine_capacities(name, shape)
        for has_plan in (False, True):
            usable = {
                machine: capacity
                for machine, capacity in capacities.items()
                if (0 < hosts[machine].planned_removal < end) == has_plan
            }
            while workers and usable:
                capacity, machine = _best_fit_machine(usable, workers)
                picked[machine] = min(capacity, workers)
                workers -= picked[machine]
                del usable[machine]
        return picked


def _best_fit_machine(usable: Mapping[str, int], workers: int) -> tuple[int, str]:
    """Returns (capacity, machine) of the smallest that takes all workers, else of the largest."""
    options = [(capacity, machine) for machine, capacity in usable.items()]
    sufficient = [option for option in options if option[0] >= workers]
    return min(sufficient) if sufficient else max(options)
