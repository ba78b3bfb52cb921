"""Where workers can stand: machines in racks, racks in zones, zones in clusters, and the uplink of each.

Bandwidth is in bytes a second each way. A rack's version goes up with whatever changes its room or its prospects; a
placement commits only against the versions that were scored, which is all that keeps two schedulers apart.
"""

import msgspec

from .jobs import Amount, Name

HOST_LINK = 3_125_000_000  # 25 Gbit/s, where a rack states none


class Host(msgspec.Struct, omit_defaults=True):
    """A machine. left: resources that are free. planned: when it is to go by plan, 0 if never."""

    slots: int
    free: int
    has: dict[str, int]
    left: dict[str, int]
    closed: str = ""  # the drain that asked for it
    gone: bool = False
    planned: int = 0

    def fits(self, shape):
        """How many more workers of that shape; none where a drain waits or that is lost."""
        if self.closed or self.gone:
            return 0
        most, left = self.free, self.left
        for name, much in shape:
            many = left.get(name, 0) // much
            if many < most:
                most = many
        return most

    def whole(self, shape):
        """How many if nobody else were on it."""
        return (
            0
            if self.gone
            else min([self.slots] + [self.has.get(name, 0) // much for name, much in shape])
        )

    def take(self, many, shape):
        """many below 0 gives back."""
        self.free -= many
        for name, much in shape:
            self.left[name] = self.left.get(name, 0) - many * much


class Rack(msgspec.Struct):
    zone: str
    cluster: str
    bandwidth: int
    link: int
    hosts: dict[str, Host]
    version: int = 1
    slots: int = 0


class Stated(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A machine as the operator states it."""

    slots: Amount
    has: dict[Name, Amount] = {}


class Places(msgspec.Struct, dict=True):
    """All racks, and the uplinks above them by ("zone" or "cluster")/name; an uplink nobody stated is no limit."""

    racks: dict[str, Rack] = {}
    uplinks: dict[str, int] = {}
    where: dict[str, str] = {}  # a machine's rack
    stood: int = 0  # goes up with what could be there at all

    def __post_init__(self):
        self._rooms, self._wholes, self._order = {}, {}, None
        self.carried = {}  # bytes a second that placed gangs put on each uplink, kept by `score.put`

    def stand(self, name, zone, cluster, bandwidth, machines, link=HOST_LINK):
        """A new rack, of machines by name. Raises ValueError, in a sentence, if one stands elsewhere already."""
        for machine in machines:
            if machine in self.where:
                raise ValueError(f"Machine {machine} stands in rack {self.where[machine]} already.")
        hosts = {
            machine: Host(one.slots, one.slots, dict(one.has), dict(one.has))
            for machine, one in sorted(machines.items())
        }
        self.racks[name] = Rack(
            zone, cluster, bandwidth, link, hosts, 1, sum(one.slots for one in hosts.values())
        )
        self.where.update(dict.fromkeys(hosts, name))
        self.stood, self._order = self.stood + 1, None

    def host(self, machine):
        return self.racks[self.where[machine]].hosts[machine]

    def order(self):
        """Names of racks such that what shares an uplink is next to each other: ranks are given in this order."""
        if self._order is None or len(self._order) != len(self.racks):
            self._order = sorted(
                self.racks, key=lambda name: (self.racks[name].cluster, self.racks[name].zone, name)
            )
        return self._order

    def fits(self, name, shape):
        """{machine: how many workers of that shape fit} of a rack, without those where none does."""
        rack, key = self.racks[name], (name, shape)
        known = self._rooms.get(key)
        if known is None or known[0] != rack.version:
            if len(self._rooms) > 4096:
                self._rooms.clear()
            fits = {
                machine: many
                for machine, host in rack.hosts.items()
                if (many := host.fits(shape)) > 0
            }
            known = self._rooms[key] = rack.version, fits, sum(fits.values())
        return known[1]

    def room(self, name, shape):
        self.fits(name, shape)
        return self._rooms[name, shape][2]

    def whole(self, shape):
        """How many workers of that shape the standing machines could take if all were empty."""
        known = self._wholes.get(shape)
        if known is None or known[0] != self.stood:
            if len(self._wholes) > 256:
                self._wholes.clear()
            known = self._wholes[shape] = (
                self.stood,
                sum(
                    host.whole(shape)
                    for rack in self.racks.values()
                    for host in rack.hosts.values()
                ),
            )
        return known[1]

    def changed(self, machine, stood=False):
        self.racks[self.where[machine]].version += 1
        self.stood += stood

    def take(self, placed, shape):
        """Takes {machine: workers}; negative numbers give back. The caller has seen that it fits."""
        for machine, many in placed.items():
            if many:
                self.host(machine).take(many, shape)
        for name in {self.where[machine] for machine, many in placed.items() if many}:
            self.racks[name].version += 1

    def counts(self, placed):
        """{rack: workers} of {machine: workers}."""
        found = {}
        for machine, many in placed.items():
            found[self.where[machine]] = found.get(self.where[machine], 0) + many
        return found

    def pick(self, name, shape, many, until):
        """Machines of a rack for so many workers: those with no plan before `until` first, then the machine that
        they fill most closely, so that whole machines stay whole. Takes for granted that they fit."""
        hosts, picked = self.racks[name].hosts, {}
        left = dict(self.fits(name, shape))
        for planned in (False, True):
            some = {
                machine: fit
                for machine, fit in left.items()
                if (0 < hosts[machine].planned < until) == planned
            }
            while many and some:
                close = [(fit, machine) for machine, fit in some.items() if fit >= many]
                fit, machine = (
                    min(close) if close else max((fit, machine) for machine, fit in some.items())
                )
                picked[machine] = min(fit, many)
                many -= picked[machine]
                del some[machine]
        return picked
