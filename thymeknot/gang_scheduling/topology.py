"""The topology that gangs run on: machines in racks, racks in zones, zones in clusters, uplinks.

Bandwidth is in bytes per second in each direction. A rack's version increases with each change of
its capacity or planned removals. A placement is accepted only if its racks are still at the
versions that were scored; this check alone resolves conflicts between concurrent schedulers.
"""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from ..interface.clock import Ticks
from .jobs import Name, NonNegativeInt, ResourceShape

DEFAULT_MACHINE_BANDWIDTH = 3_125_000_000  # bytes per second (25 Gbit/s), for a rack that sets none
MAX_CACHED_RACK_CAPACITIES = 4096  # entries by rack and shape; a fuller cache is cleared
MAX_CACHED_TOTALS = 256  # entries by shape; a fuller cache is cleared


class DuplicateMachineError(ValueError):
    """Raised when a new rack contains a machine that is already in another rack."""


class Host(msgspec.Struct, omit_defaults=True):
    """A machine and its free capacity. The encoded field names are stored.

    Attributes:
        slots: Number of workers that the empty machine can run.
        free_slots: Number of free slots.
        resources: Total amount of each resource.
        free_resources: Free amount of each resource.
        draining_for: Name of the drain that owns the machine, or empty.
        lost: Whether the machine was reported lost.
        planned_removal: Agreed time in ticks at which the machine will be removed, 0 for none.
    """

    slots: int
    free_slots: int = msgspec.field(name="free")
    resources: dict[str, int] = msgspec.field(name="has")
    free_resources: dict[str, int] = msgspec.field(name="left")
    draining_for: str = msgspec.field(default="", name="closed")
    lost: bool = msgspec.field(default=False, name="gone")
    planned_removal: int = msgspec.field(default=0, name="planned")

    def capacity(self, shape: ResourceShape) -> int:
        """Returns how many more workers fit; 0 on a machine that drains or is lost."""
        if self.draining_for or self.lost:
            return 0
        capacity = self.free_slots
        free = self.free_resources
        for name, amount in shape:
            workers = free.get(name, 0) // amount
            if workers < capacity:  # noqa: PLR1730 (called a million times per search; min() is slower)
                capacity = workers
        return capacity

    def empty_capacity(self, shape: ResourceShape) -> int:
        """Returns how many workers would fit if the machine were empty; 0 if it is lost."""
        if self.lost:
            return 0
        return min([self.slots, *(self.resources.get(name, 0) // amount for name, amount in shape)])

    def reserve(self, workers: int, shape: ResourceShape) -> None:
        """Reserves slots and resources for workers; a negative number releases them."""
        self.free_slots -= workers
        for name, amount in shape:
            self.free_resources[name] = self.free_resources.get(name, 0) - workers * amount


class Rack(msgspec.Struct):
    """A rack of machines. The encoded field names are stored.

    Attributes:
        zone: Name of its zone.
        cluster: Name of its cluster.
        bandwidth: Bandwidth of its uplink, in bytes per second.
        machine_bandwidth: Bandwidth of each machine's link, in bytes per second.
        hosts: The rack's machines by name.
        version: Increases with each change of capacity or planned removals.
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
    """A machine as described in the command that adds its rack.

    Attributes:
        slots: Number of workers that the machine can run.
        resources: Amount of each resource.
    """

    slots: NonNegativeInt
    resources: dict[Name, NonNegativeInt] = msgspec.field(default_factory=dict, name="has")


class _RackCapacity(NamedTuple):
    """Cached capacity of a rack for one resource shape.

    Attributes:
        version: The rack's version at which the capacity was computed.
        by_machine: {machine: workers that fit}, without machines on which none fits.
        total: Sum of `by_machine`.
    """

    version: int
    by_machine: dict[str, int]
    total: int


class Topology(msgspec.Struct, dict=True):
    """All racks and the uplinks above them. The encoded field names are stored.

    Attributes:
        racks: Racks by name.
        uplinks: Bandwidth in bytes per second of "zone/CLUSTER/ZONE" and "cluster/CLUSTER"; an
            uplink that is not listed has unlimited bandwidth.
        rack_by_machine: Name of the rack of each machine.
        capacity_version: Increases with each change of the machines' capacity when empty.
        link_traffic: Traffic of placed gangs in bytes per second by uplink; derived, not stored.
    """

    racks: dict[str, Rack] = {}
    uplinks: dict[str, int] = {}
    rack_by_machine: dict[str, str] = msgspec.field(default_factory=dict, name="where")
    capacity_version: int = msgspec.field(default=0, name="stood")

    def __post_init__(self) -> None:
        """Initializes the caches and other derived attributes, which are not stored."""
        self._capacities: dict[tuple[str, ResourceShape], _RackCapacity] = {}
        # By shape: (capacity_version, workers).
        self._totals: dict[ResourceShape, tuple[int, int]] = {}
        self._rack_order: list[str] | None = None
        # Maintained by `placement_score.add_traffic`.
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
        """Adds a rack with its machines, given by name.

        Raises:
            DuplicateMachineError: A machine is already in a rack.
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
        """Returns the machine of a name."""
        return self.racks[self.rack_by_machine[machine]].hosts[machine]

    def rack_order(self) -> list[str]:
        """Returns the names of the racks in the order in which ranks are assigned to them.

        Racks below the same uplink are adjacent.
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
        """Returns {machine: workers that fit} of a rack, without machines on which none fits."""
        return self._cached_capacity(name, shape).by_machine

    def rack_capacity(self, name: str, shape: ResourceShape) -> int:
        """Returns how many workers fit into a rack."""
        return self._cached_capacity(name, shape).total

    def empty_capacity(self, shape: ResourceShape) -> int:
        """Returns how many workers would fit if all machines were empty."""
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
        """Increments the version of a machine's rack, which invalidates earlier scores.

        Args:
            machine: Name of the machine that changed.
            empty_capacity_changed: Whether the machine's capacity when empty changed as well.
        """
        self.racks[self.rack_by_machine[machine]].version += 1
        self.capacity_version += empty_capacity_changed

    def reserve(self, workers_by_machine: Mapping[str, int], shape: ResourceShape) -> None:
        """Reserves capacity for workers on machines; negative numbers release it.

        The caller must have checked that the workers fit.

        Args:
            workers_by_machine: {machine: workers}.
            shape: Resources that each worker needs.
        """
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
        """Returns {rack: workers} for a placement given as {machine: workers}."""
        by_rack: dict[str, int] = {}
        for machine, workers in workers_by_machine.items():
            by_rack[self.rack_by_machine[machine]] = (
                by_rack.get(self.rack_by_machine[machine], 0) + workers
            )
        return by_rack

    def pick_machines(
        self, name: str, shape: ResourceShape, workers: int, end: Ticks
    ) -> dict[str, int]:
        """Selects machines of a rack for a number of workers, which must fit.

        Machines without a planned removal before `end` are used first. Among these, the best fit is
        used, so that empty machines stay empty.

        Args:
            name: Name of the rack.
            shape: Resources that each worker needs.
            workers: Number of workers.
            end: Agreed time in ticks at which the gang is expected to end.

        Returns:
            {machine: workers}.
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
    """Returns (capacity, machine): the smallest that fits all workers, else the largest."""
    options = [(capacity, machine) for machine, capacity in usable.items()]
    sufficient = [option for option in options if option[0] >= workers]
    return min(sufficient) if sufficient else max(options)
