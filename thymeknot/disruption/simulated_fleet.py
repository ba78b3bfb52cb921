"""A fleet in memory, in virtual time: holders by the hundreds, a network that loses, doubles, delays and cuts, clocks
that drift, processes that crash, stop and start again, and keepers behind a seam. The same pure code as everywhere.

`Keepers` is a stub of the agreement: one machine that takes commands in the order they arrive. What holders use of it
is `propose(command, then)` alone, so the real core can stand in its place.
"""

from heapq import heappop, heappush

from ..interface.clock import TICKS_PER_SECOND
from ..state.random_source import LinearCongruentialGenerator
from .agent import DisruptionAgent
from .invariant_checker import Outside
from .state_machine import DisruptionStateMachine
from .targets import DisruptionSettings

TICK = TICKS_PER_SECOND // 5
COLD, WORK = 2 * TICKS_PER_SECOND, 3 * TICKS_PER_SECOND


class Client:
    """What a process has of the keepers: `propose(command, then)`, and `then(reply)` at most once, or never."""

    def __init__(self, world, origin, incarnation):
        self.world, self.origin, self.incarnation, self.number = world, origin, incarnation, 0

    def propose(self, command, then):
        self.number += 1
        key = self.origin, self.incarnation, self.number
        self.world.carry(
            self.origin, "keepers", lambda: self.world.keepers.take(key, command, then)
        )


class Keepers:
    """The stub: up or not, one machine, each number of an origin applied once, and its last reply remembered."""

    def __init__(self, world, machine):
        self.world, self.machine, self.up, self.last, self.stamped = world, machine, True, {}, 0

    def take(self, key, command, then):
        if not self.up:
            return
        origin, *number = key
        known, reply = self.last.get(origin, ([-1, 0], None))
        if number > known:
            reply = self.apply(command)
            self.last[origin] = number, reply
        elif number < known:
            return
        self.world.carry("keepers", origin, lambda: then(reply))

    def apply(self, command):
        self.stamped = max(self.stamped, self.world.now)
        reply = self.machine.apply(self.stamped, command)
        if command.get("do") == "begin" and "ok" in reply:
            self.world.outside.answered(self.world.now, command["unit"], command["fence"])
        return reply

    def restart(self):
        """All killed and started again from what was set down."""
        image, self.machine = self.machine.image(), type(self.machine)()
        self.machine.load(image)
        self.up = True
        self.world.outside.darkened(None)

    def lose(self):
        self.up = False
        self.world.outside.darkened(self.world.now)


class Seat:
    """A unit in truth: whether its process lives and serves, and its clock."""

    def __init__(self, name, labels, rate, offset):
        self.name, self.labels, self.rate, self.offset = name, labels, rate, offset
        self.alive, self.serving, self.build, self.start, self.life, self.cold = (
            True,
            True,
            "old",
            0,
            0,
            COLD,
        )
        self.stopped_until, self.lame, self.holder, self.client = 0, None, None, None


class World:
    def __init__(
        self,
        seed,
        units,
        budgets,
        groups,
        terms=None,
        loss=0.02,
        holder=DisruptionAgent,
        machine=DisruptionStateMachine,
    ):
        """units: labels by name. groups: the budgets again for the checker outside. loss: of each message."""
        self.chance, self.now, self.events, self.count = (
            LinearCongruentialGenerator(seed * 2 + 1),
            0,
            [],
            0,
        )
        self.terms, self.loss, self.cuts, self.made = (
            terms or DisruptionSettings(),
            loss,
            set(),
            holder,
        )
        drift = self.terms.drift / 1000
        bound = self.terms.halt_bound()
        self.outside = Outside(groups, self.terms.silent + bound + TICK, bound)
        self.keepers, self.seats, self.backs = Keepers(self, machine()), {}, set()
        self.sick = None  # a build that never gets warm once it crashed
        for name, labels in units.items():
            rate = 1 + drift * (2 * self.chance.draw() - 1) * 0.9
            self.seats[name] = Seat(name, labels, rate, int(self.chance.draw() * 1e7))
            self.begin(self.seats[name], True)
        self.declared = self.order(
            do="declare", epoch=1, units=units, budgets=budgets, terms=self.terms.to_plain()
        )
        self.after(TICK, self.tick)

    # Time and the network.

    def after(self, wait, call):
        self.count += 1
        heappush(self.events, (self.now + max(1, int(wait)), self.count, call))

    def run(self, seconds):
        end = self.now + int(seconds * TICKS_PER_SECOND)
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heappop(self.events)
            call()
        self.now = end
        return self

    def until(self, what, most=600):
        """Runs until `what()` holds, at most so many seconds; gives whether it does."""
        for _ in range(most * 2):
            if what():
                return True
            self.run(0.5)
        return what()

    def tick(self):
        if self.keepers.up:
            self.keepers.apply({"do": "tick"})
        self.after(TICK, self.tick)

    def carry(self, sender, to, call):
        """Brings a message there, or loses it, or brings it twice."""
        if (sender, to) in self.cuts or self.chance.draw() < self.loss:
            return
        for _ in range(2 if self.chance.draw() < 0.01 else 1):
            wait = (
                20
                + self.chance.draw() * 80
                + (self.chance.draw() < 0.02) * self.chance.draw() * 3 * TICKS_PER_SECOND
            )
            self.after(wait, lambda: self.reach(to, call))

    def reach(self, to, call):
        """A stopped process takes what came when it wakes."""
        seat = self.seats.get(to)
        if seat and seat.stopped_until > self.now:
            self.after(seat.stopped_until - self.now, lambda: self.reach(to, call))
        else:
            call()

    def order(self, **command):
        """An operator's command, at the keepers' own place: nothing is lost on its way."""
        return self.keepers.apply({"part": "turns", **command})

    # What happens to units.

    def clock(self, seat):
        return int(self.now * seat.rate) + seat.offset

    def begin(self, seat, ready):
        """Another start of its process."""
        seat.start += 1
        seat.life += 1
        seat.alive, seat.client = True, Client(self, seat.name, seat.start)
        seat.holder = self.made(
            seat.name, seat.start, seat.build, self.terms, self.clock(seat), ready
        )
        self.after(
            self.chance.draw() * self.terms.bound / 4, lambda life=seat.life: self.beat(seat, life)
        )

    def mine(self, seat, life, wait, call):
        """Calls back after so long if this start of it still lives then, and when it is not stopped."""

        def due():
            if seat.alive and seat.life == life:
                if seat.stopped_until > self.now:
                    self.after(seat.stopped_until - self.now, due)
                else:
                    call()

        self.after(wait, due)

    def beat(self, seat, life):
        if seat.alive and seat.life == life:
            if seat.stopped_until <= self.now:
                self.act(seat, seat.holder.due(self.clock(seat)))
            self.after(
                max(self.terms.bound / 8, seat.stopped_until - self.now),
                lambda: self.beat(seat, life),
            )

    def act(self, seat, effects):
        """Does what a holder wants."""
        life = seat.life
        for what, *facts in effects:
            if what == "say":
                token, command = facts
                seat.client.propose(
                    command,
                    lambda reply, token=token: (
                        seat.alive
                        and seat.life == life
                        and self.act(seat, seat.holder.told(self.clock(seat), token, reply))
                    ),
                )
            elif what == "drain":
                fence, build = facts
                seat.serving = False
                self.outside.went(self.now, seat.name, fence, seat.name in self.backs)
                self.mine(
                    seat,
                    life,
                    WORK * (0.2 + self.chance.draw()),
                    lambda build=build: self.empty(seat, build),
                )
            elif what == "come":
                (build,) = facts
                seat.build = build or seat.build
                if seat.lame:
                    self.act(seat, seat.holder.failed(self.clock(seat), seat.lame))
                else:
                    self.mine(
                        seat,
                        life,
                        seat.cold * (0.5 + self.chance.draw()),
                        lambda: self.act(seat, seat.holder.ready(self.clock(seat), seat.build)),
                    )
            else:
                seat.serving = True
                self.outside.serves(self.now, seat.name)

    def empty(self, seat, build):
        if seat.holder.state not in ("draining", "out"):
            return
        life = seat.life
        self.act(seat, seat.holder.emptied(self.clock(seat)))
        if build:  # it went out to be replaced: that is done after a while
            self.mine(
                seat,
                life,
                WORK * (0.5 + self.chance.draw()),
                lambda: self.act(seat, seat.holder.done(self.clock(seat), build)),
            )

    def crash(self, name, back_after=None):
        """Kills it; back_after: seconds until it starts again, cold."""
        seat = self.seats[name]
        seat.alive, seat.serving = False, False
        self.outside.crashed(self.now, name)
        if back_after is not None:
            self.after(back_after * TICKS_PER_SECOND, lambda: self.restart(name))

    def restart(self, name):
        seat = self.seats[name]
        if not seat.alive:
            self.begin(seat, False)
            life = seat.life
            if seat.build == self.sick:
                return
            self.mine(
                seat,
                life,
                seat.cold,
                lambda: self.act(seat, seat.holder.ready(self.clock(seat), seat.build)),
            )

    def stop(self, name, seconds):
        """SIGSTOP, and SIGCONT after so long."""
        seat = self.seats[name]
        seat.stopped_until = self.now + int(seconds * TICKS_PER_SECOND)

    def cut(self, names, way="both"):
        for name in names:
            self.cuts |= {(name, "keepers")} if way != "from" else set()
            self.cuts |= {("keepers", name)} if way != "to" else set()

    def heal(self):
        self.cuts.clear()

    def serving(self):
        return [name for name, seat in self.seats.items() if seat.serving and seat.alive]

    def builds(self, build):
        return [name for name, seat in self.seats.items() if seat.build == build]


def fleet(zones=3, racks=4, each=5):
    """(units, budgets, groups for the checker): so many zones of so many racks of so many units; one of each rack may
    be out, three of each zone, and four fifths of each kind stay ready."""
    units, groups = {}, []
    for number in range(zones * racks * each):
        zone, rack = number % zones, number // zones % racks
        units[f"unit-{number:03}"] = {
            "kind": "pod" if number % 2 else "sidecar",
            "zone": f"z{zone}",
            "rack": f"z{zone}r{rack}",
            "cluster": "east",
            "lane": "pay",
        }
    for label, most in (("rack", 1), ("zone", 3)):
        groups += [
            (f"{label} {value}", {name for name, one in units.items() if one[label] == value}, most)
            for value in sorted({one[label] for one in units.values()})
        ]
    for kind in ("pod", "sidecar"):
        names = {name for name, one in units.items() if one["kind"] == kind}
        groups.append((kind, names, int(len(names) * 0.2 + 1e-9)))
    return (
        units,
        [
            {"name": "racks", "each": "rack", "most": 1},
            {"name": "zones", "each": "zone", "most": 3},
            {"name": "kinds", "each": "kind", "share": 0.2},
        ],
        groups,
    )
