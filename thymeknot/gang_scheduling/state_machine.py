"""The agreed state of gangs: which are offered, held, bound, running, hurt, moving, done or refused, and on what.

`Machine.apply(at, command) -> reply` is what the log is applied to: it knows no time but `at` (agreed, whole tenths of
a millisecond), no chance and no floats, so all keepers come to the same. A bad command is refused with a sentence.

Nothing here waits while it holds a part: a hold takes all of a gang's slots or none, so two gangs can't hold half each.
"""

import binascii
from typing import Annotated, Literal, Union

import msgspec
from msgspec import Meta

from ..interface.clock import TICKS_PER_SECOND
from . import jobs, placement_score
from .jobs import Amount, Gang, Name, Span
from .topology import DEFAULT_HOST_LINK, Places, Stated

OFFERED, HELD, BOUND, RUNNING, HURT, MOVING, DONE, REFUSED = (
    "offered",
    "held",
    "bound",
    "running",
    "hurt",
    "moving",
    "done",
    "refused",
)

# (state, input) -> (next, effect). What is not named is refused and changes nothing.
TABLE = {
    (OFFERED, "hold"): (HELD, "take"),
    (OFFERED, "exhausted"): (REFUSED, "end"),
    (OFFERED, "withdraw"): (REFUSED, "end"),
    (HELD, "bind"): (BOUND, "renew"),
    (HELD, "lapse"): (OFFERED, "give_up"),
    (HELD, "lost"): (OFFERED, "give_up"),  # all or none: what is left of it holds nothing
    (HELD, "taken"): (OFFERED, "give_up"),
    (HELD, "withdraw"): (REFUSED, "end"),
    (BOUND, "start"): (RUNNING, "run"),
    (BOUND, "lapse"): (OFFERED, "give_up"),
    (BOUND, "lost"): (OFFERED, "give_up"),
    (BOUND, "withdraw"): (REFUSED, "end"),
    (RUNNING, "checkpoint"): (RUNNING, "note"),
    (RUNNING, "preempted"): (OFFERED, "yield_slots"),
    (RUNNING, "lost"): (HURT, "drop"),
    (RUNNING, "taken"): (HURT, "drop"),  # a drain, after its checkpoint or as a unit of its budget
    (RUNNING, "done"): (DONE, "end"),
    (RUNNING, "withdraw"): (REFUSED, "end"),
    (HURT, "lost"): (HURT, "drop_more"),
    (HURT, "taken"): (HURT, "drop_more"),
    (HURT, "mend in place"): (BOUND, "swap"),
    (HURT, "mend whole"): (MOVING, "swap"),
    (HURT, "lapse"): (OFFERED, "give_up"),
    (HURT, "withdraw"): (REFUSED, "end"),
    (MOVING, "start"): (RUNNING, "run"),
    (MOVING, "lapse"): (OFFERED, "give_up"),
    (MOVING, "lost"): (OFFERED, "give_up"),
    (MOVING, "withdraw"): (REFUSED, "end"),
}
WITH_SLOTS = (HELD, BOUND, RUNNING, HURT, MOVING)
LEASED = (HELD, BOUND, HURT, MOVING)


class GangSettings(msgspec.Struct, frozen=True):
    """What the operator may set. Times in tenths of a millisecond."""

    hold: int = 10 * TICKS_PER_SECOND  # from hold to bind
    start: int = 30 * TICKS_PER_SECOND  # from bind, or from a mend, to start
    mend: int = 60 * TICKS_PER_SECOND  # from the loss to a mend
    age: int = 60 * TICKS_PER_SECOND  # each such time of waiting is worth one step of priority
    patience: int = 60 * TICKS_PER_SECOND  # who waited so long gets room kept
    starved: int = (
        1800 * TICKS_PER_SECOND
    )  # who waited so long counts as within its publisher's share
    tries: int = 8  # leases of one gang that may lapse in a row
    again: int = TICKS_PER_SECOND  # back-off after the first; twice as long after each further one
    again_most: int = 60 * TICKS_PER_SECOND
    preempted_most: int = 2  # times in a gang's life
    ending_most: int = 4  # gangs that end for others at once
    remembered: int = 1000  # gangs that are done or refused
    offered_most: int = 2000


class Life(msgspec.Struct):
    """A gang in the state. since: when its waiting began. lease: when it lapses, 0 for none. ending: who it makes room
    for, and by when (`ends`) at the latest."""

    gang: Gang
    number: int
    since: int
    state: str = OFFERED
    places: dict[str, int] = {}
    fence: int = 0
    lease: int = 0
    tries: int = 0
    again: int = 0
    saved: int = 0  # when it last started or wrote a checkpoint
    preempted: int = 0
    ending: str = ""
    ends: int = 0
    why: str = ""


class Image(msgspec.Struct):
    """All of the state, as it is written down and read back."""

    at: int = 0
    fence: int = 0
    number: int = 0
    places: Places = msgspec.field(default_factory=Places)
    gangs: dict[str, Life] = {}
    ended: dict[str, str] = {}
    shares: dict[str, int] = {}
    counted: dict[str, int] = {}


Places_ = Annotated[
    dict[Name, Annotated[int, Meta(ge=1, le=jobs.MAX_WORKERS)]],
    Meta(min_length=1, max_length=jobs.MAX_WORKERS),
]
Versions = Annotated[dict[Name, Amount], Meta(min_length=1, max_length=jobs.MAX_WORKERS)]


class Command(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="do", tag=str.lower
):
    part: Literal["gangs"]


class Stand(Command):
    rack: Name
    zone: Name
    cluster: Name
    bandwidth: Span
    machines: Annotated[dict[Name, Stated], Meta(min_length=1, max_length=512)]
    link: Span = DEFAULT_HOST_LINK


class Uplink(Command):
    of: Annotated[
        str, Meta(pattern=r"\A(zone/[A-Za-z0-9_.:-]+|cluster)/[A-Za-z0-9_.:-]+\Z", max_length=160)
    ]
    bandwidth: Span


class Share(Command):
    publisher: Name
    thousandths: Annotated[int, Meta(ge=0, le=1000)]


class Planned(Command):
    machines: Annotated[list[Name], Meta(min_length=1, max_length=512)]
    at: Amount


class Offer(Command):
    gang: Name
    job: Gang


class Hold(Command):
    gang: Name
    versions: Versions
    places: Places_


class Bind(Command):
    gang: Name
    fence: Amount


class Start(Bind):
    pass


class Checkpoint(Bind):
    pass


class Done(Bind):
    pass


class Mend(Command):
    gang: Name
    fence: Amount
    versions: dict[Name, Amount]
    places: Places_


class Withdraw(Command):
    gang: Name


class Preempt(Command):
    gang: Name
    by: Name


class Lost(Command):
    """kind: a worker of `gang` on machine `name`, a machine, or a rack."""

    kind: Literal["worker", "machine", "rack"]
    name: Name
    gang: str = ""


class Back(Command):
    machine: Name


class DrainAsked(Command, tag="drain_asked"):
    """unit: take the machine at once if no gang on it misses more workers than it can spare."""

    machine: Name
    drain: Name
    unit: bool = False


class Tick(Command):
    pass


COMMANDS = Union[
    Stand,
    Uplink,
    Share,
    Planned,
    Offer,
    Hold,
    Bind,
    Start,
    Checkpoint,
    Done,
    Mend,
    Withdraw,
    Preempt,
    Lost,
    Back,
    DrainAsked,
    Tick,
]


class CommandRejectedError(Exception):
    """A refusal on its way to the reply."""

    def __init__(self, sentence, by=(), again=0):
        super().__init__(sentence)
        self.reply = {"refused": sentence, "by": sorted(by)[:8], "again": again}


class GangStateMachine:
    """The state and its commands. Not for threads; each keeper has its own, all alike."""

    def __init__(self, terms=None):
        self.terms, self.all = terms or GangSettings(), Image()
        self._used = (
            None  # slots by publisher, counted once for each command: every waiting gang asks
        )

    # -- the seam --

    def apply(self, at, command):
        """A reply to one command at agreed time `at`: {"ok": True, ...} or {"refused", "by", "again"}. Raises nothing.

        Leases lapse by `at` before the command is looked at: it is an entry of the log as a tick is."""
        try:
            self.all.at = max(self.all.at, at)
            self._lapse()
            self._used = None
            asked = msgspec.convert(command, COMMANDS)
            reply = getattr(self, "_" + type(asked).__name__.lower())(asked)
            return {"ok": True, **(reply or {})}
        except msgspec.ValidationError as bad:
            return self._refused(
                CommandRejectedError(f"The command can't be read: {str(bad)[:200]}.")
            )
        except CommandRejectedError as refusal:
            return self._refused(refusal)

    def _refused(self, refusal):
        self._count("refused")
        return refusal.reply

    def image(self):
        """All of the state as plain values, which `load` takes back."""
        return msgspec.to_builtins(self.all)

    def load(self, image):
        """Raises msgspec.ValidationError if that is no image."""
        self.all = msgspec.convert(image, Image)

    # -- for schedulers: read only --

    def view(self):
        """The Places with what each gang that runs or is about to puts on the uplinks; good until the next command."""
        places = self.all.places
        places.carried.clear()
        for life in self.all.gangs.values():
            if life.state in WITH_SLOTS and life.state != HURT:
                placement_score.add_traffic(places, life.gang, places.workers_by_rack(life.places))
        return places

    def queue(self):
        """Names of the offered gangs in the order in which they are due, without those that back off."""
        self._used = None
        return [
            name
            for _, name in sorted(
                (self._key(name), name)
                for name, life in self.all.gangs.items()
                if life.state == OFFERED and life.again <= self.all.at
            )
        ]

    # -- the table's effects --

    def _go(self, name, what, **more):
        life = self._life(name)
        step = TABLE.get((life.state, what))
        if step is None:
            raise CommandRejectedError(
                f"Gang {name} is {life.state}: {what} does not go with that.",
                [name],
                self._left(life),
            )
        life.state = step[0]
        life.lease = 0
        getattr(self, "_do_" + step[1])(name, life, **more)
        self._count(step[1])
        return life

    def _do_take(self, name, life, places):
        self.all.places.reserve(places, life.gang.resource_shape())
        life.places, life.fence = dict(places), self._fence()
        life.lease = self.all.at + self.terms.hold

    def _do_renew(self, name, life):
        life.lease = self.all.at + self.terms.start

    def _do_run(self, name, life):
        life.tries, life.saved = 0, self.all.at

    def _do_note(self, name, life):
        life.saved = self.all.at

    def _do_swap(self, name, life, places):
        # A new fence: workers of before the loss that come back late are not this gang's any more.
        self._swap(life, places)
        life.fence, life.lease = self._fence(), self.all.at + self.terms.start

    def _swap(self, life, places):
        deltas = {
            machine: places.get(machine, 0) - life.places.get(machine, 0)
            for machine in sorted({*places, *life.places})
        }
        self.all.places.reserve(deltas, life.gang.resource_shape())
        life.places = dict(places)

    def _do_drop(self, name, life, dropped):
        self._swap(
            life,
            {
                machine: left
                for machine, many in life.places.items()
                if (left := many - dropped.get(machine, 0)) > 0
            },
        )
        life.ending, life.ends = "", 0
        life.lease = self.all.at + self.terms.mend

    def _do_drop_more(self, name, life, dropped):
        self._do_drop(name, life, dropped)

    def _do_give_up(self, name, life, dropped=None):
        """Back into the queue with its age, after a time that doubles and is spread by name, so that many that
        lapsed together do not come together again."""
        self._swap(life, {})
        life.tries += 1
        wait = min(self.terms.again_most, self.terms.again << min(life.tries - 1, 20))
        life.again = (
            self.all.at
            + wait // 2
            + binascii.crc32(f"{name} {life.tries}".encode()) % (wait // 2 + 1)
        )
        if life.tries >= self.terms.tries:
            self._go(name, "exhausted", why=f"{life.tries} leases in a row lapsed or were lost")

    def _do_yield_slots(self, name, life):
        """Its waiting begins anew: with its old age it would be ahead of whom it made room for."""
        self._swap(life, {})
        life.preempted, life.since, life.ending, life.ends = life.preempted + 1, self.all.at, "", 0

    def _do_end(self, name, life, why=""):
        self._swap(life, {})
        self.all.ended[name] = f"{life.state}: {why}" if why else life.state
        del self.all.gangs[name]
        while len(self.all.ended) > self.terms.remembered:
            del self.all.ended[next(iter(self.all.ended))]

    # -- commands --

    def _stand(self, asked):
        if asked.rack in self.all.places.racks:
            raise CommandRejectedError(f"Rack {asked.rack} stands already.")
        try:
            self.all.places.add_rack(
                asked.rack,
                asked.zone,
                asked.cluster,
                asked.bandwidth,
                asked.machines,
                link=asked.link,
            )
        except ValueError as bad:
            raise CommandRejectedError(str(bad)) from None

    def _uplink(self, asked):
        self.all.places.uplinks[asked.of] = asked.bandwidth

    def _share(self, asked):
        others = sum(
            share for publisher, share in self.all.shares.items() if publisher != asked.publisher
        )
        if others + asked.thousandths > 1000:
            raise CommandRejectedError(
                f"The shares of all publishers would be {others + asked.thousandths} thousandths."
            )
        self.all.shares[asked.publisher] = asked.thousandths

    def _planned(self, asked):
        for machine in asked.machines:
            self._known(machine)
        for machine in asked.machines:
            self.all.places.host(machine).planned = asked.at
            self.all.places.mark_changed(machine)

    def _offer(self, asked):
        name = asked.gang
        if name in self.all.gangs:
            raise CommandRejectedError(
                f"Gang {name} is {self.all.gangs[name].state} already.", [name]
            )
        if name in self.all.ended:
            raise CommandRejectedError(
                f"Gang {name} was {self.all.ended[name]}; a new one needs a new name.", [name]
            )
        if sentence := jobs.validation_error(asked.job):
            raise CommandRejectedError(sentence, [name])
        if len(self.all.gangs) >= self.terms.offered_most:
            raise CommandRejectedError(
                "Too many gangs are here already.", again=self.terms.again_most
            )
        whole = self.all.places.total_capacity(asked.job.resource_shape())
        if whole < asked.job.workers:
            raise CommandRejectedError(
                f"All machines together have room for {whole} of its {asked.job.workers} workers.",
                [name],
            )
        self.all.number += 1
        self.all.gangs[name] = Life(asked.job, self.all.number, self.all.at)

    def _hold(self, asked):
        name, life, places = asked.gang, self._life(asked.gang), asked.places
        if life.state != OFFERED:
            raise CommandRejectedError(
                f"Gang {name} is {life.state}, not offered.", [name], self._left(life)
            )
        if life.again > self.all.at:
            raise CommandRejectedError(
                f"Gang {name} backs off after {life.tries} tries.", [name], life.again - self.all.at
            )
        if sum(places.values()) != life.gang.workers:
            raise CommandRejectedError(
                f"All or none: {sum(places.values())} of {life.gang.workers} workers have a place.",
                [name],
            )
        self._room(life, places, asked.versions)
        self._turn(name, life, places)
        life = self._go(name, "hold", places=places)
        return {"fence": life.fence, "until": life.lease}

    def _bind(self, asked):
        return {"until": self._go(self._fenced(asked), "bind").lease}

    def _start(self, asked):
        self._go(self._fenced(asked), "start")

    def _done(self, asked):
        self._go(self._fenced(asked), "done")

    def _checkpoint(self, asked):
        """Says what the gang has to do next: "go on", "yield" (it is off its places) or "mend"."""
        name = self._fenced(asked)
        life = self._go(name, "checkpoint")
        if life.ending:
            if self._due(life.ending):
                self._go(name, "preempted")
                return {"next": "yield"}
            life.ending, life.ends = "", 0  # whom it was to make room for has found room or is gone
        closed = {
            machine: many
            for machine, many in life.places.items()
            if self.all.places.host(machine).closed
        }
        if closed:
            self._go(name, "taken", dropped=closed)
            return {"next": "mend", "without": sorted(closed), "until": life.lease}
        return {"next": "go on"}

    def _mend(self, asked):
        name = self._fenced(asked)
        life, places = self.all.gangs[name], asked.places
        if life.state != HURT:
            raise CommandRejectedError(f"Gang {name} is {life.state}, not hurt.", [name])
        if sum(places.values()) != life.gang.workers:
            raise CommandRejectedError(
                f"All or none: {sum(places.values())} of {life.gang.workers} workers have a place.",
                [name],
            )
        for machine in places:
            self._known(machine)
        more = {
            machine: many - life.places.get(machine, 0)
            for machine, many in places.items()
            if many > life.places.get(machine, 0)
        }
        self._room(life, more, asked.versions)
        way = (
            "in place"
            if all(places.get(machine, 0) >= many for machine, many in life.places.items())
            else "whole"
        )
        if not life.places:
            way = "whole"
        life = self._go(name, "mend " + way, places=places)
        return {"way": way, "fence": life.fence, "until": life.lease}

    def _withdraw(self, asked):
        self._go(asked.gang, "withdraw", why="withdrawn")

    def _preempt(self, asked):
        """Asks a running gang to make room after its next checkpoint. If it owes that checkpoint by a whole interval,
        it is taken back to the last one it wrote: a gang that hangs is not safe from everybody."""
        victim, by = self._life(asked.gang), self._life(asked.by)
        ending = [name for name, life in self.all.gangs.items() if life.ending]
        back = self._over(victim.gang) and not self._over(by.gang, by.gang.workers)
        for bad, sentence, again in (
            (
                victim.state != RUNNING,
                f"Gang {asked.gang} is {victim.state}, not running.",
                self._left(victim),
            ),
            (by.state != OFFERED, f"Gang {asked.by} is {by.state}, not offered.", 0),
            (victim.ending, f"Gang {asked.gang} makes room for {victim.ending} already.", 0),
            (
                victim.preempted >= self.terms.preempted_most,
                f"Gang {asked.gang} made room {victim.preempted} times, as often as one has to.",
                0,
            ),
            (
                len(ending) >= self.terms.ending_most,
                f"{len(ending)} gangs make room for others already.",
                self.terms.age,
            ),
            (
                any(self.all.gangs[name].ending == asked.by for name in ending)
                and self._promised(asked.by) >= by.gang.workers,
                f"Enough makes room for {asked.by} already.",
                0,
            ),
            (
                not back and self._aged(by) <= victim.gang.priority,
                f"Gang {asked.by} has no higher priority than {asked.gang} yet.",
                (victim.gang.priority + 1 - by.gang.priority) * self.terms.age
                - (self.all.at - by.since),
            ),
        ):
            if bad:
                raise CommandRejectedError(sentence, [asked.gang], max(0, again))
        victim.ending = asked.by
        victim.ends = self.all.at + 2 * victim.gang.checkpoint
        return {"until": victim.ends}

    def _lost(self, asked):
        places = self.all.places
        if asked.kind == "worker":
            life = self._life(asked.gang)
            if not life.places.get(asked.name):
                raise CommandRejectedError(
                    f"Gang {asked.gang} has no worker on {asked.name}.", [asked.gang]
                )
            self._go(asked.gang, "lost", dropped={asked.name: 1})
            return {"gangs": [asked.gang]}
        if asked.kind == "rack" and asked.name not in places.racks:
            raise CommandRejectedError(f"No rack {asked.name} stands here.")
        machines = (
            list(places.racks[asked.name].hosts)
            if asked.kind == "rack"
            else [self._known(asked.name)]
        )
        for machine in machines:
            places.host(machine).gone = True
            places.mark_changed(machine, total_changed=True)
        return {"gangs": self._off(machines, "lost")}

    def _off(self, machines, what):
        """All workers off these machines; names of the gangs that had some there."""
        machines, hit = set(machines), []
        for name, life in list(self.all.gangs.items()):
            dropped = {
                machine: many for machine, many in life.places.items() if machine in machines
            }
            if dropped:
                self._go(name, what, dropped=dropped)
                hit.append(name)
        return hit

    def _back(self, asked):
        host = self.all.places.host(self._known(asked.machine))
        host.gone, host.closed, host.planned = False, "", 0
        self.all.places.mark_changed(asked.machine, total_changed=True)

    def _drainasked(self, asked):
        """ok: the machine is empty and takes nobody. Refused: it takes nobody new, and `again` says when to ask."""
        machine = self._known(asked.machine)
        host = self.all.places.host(machine)
        if host.closed and host.closed != asked.drain:
            raise CommandRejectedError(
                f"Machine {machine} is drain {host.closed}'s already.", [host.closed]
            )
        host.closed = asked.drain
        self.all.places.mark_changed(machine)
        waits, again = [], 0
        here = {name: life for name, life in self.all.gangs.items() if machine in life.places}
        for name, life in here.items():
            if life.state in (HURT, HELD):  # stands still, or was never told of its places
                continue
            out = life.gang.workers - sum(life.places.values()) + life.places[machine]
            if life.state == RUNNING and (
                life.saved == self.all.at or asked.unit and out <= life.gang.spare
            ):
                continue
            waits.append(name)
            again = max(
                again,
                life.saved + life.gang.checkpoint - self.all.at
                if life.state == RUNNING
                else self._left(life),
            )
        if waits:
            raise CommandRejectedError(
                f"Gang {waits[0]} runs on {machine} until its checkpoint.",
                waits,
                max(TICKS_PER_SECOND // 10, again),
            )
        return {"gangs": self._off([machine], "taken")}

    def _tick(self, asked):
        pass

    # -- rules --

    def _lapse(self):
        """What is over by now. Order of the gangs' numbers, so all keepers do the same."""
        for name, life in list(self.all.gangs.items()):
            if life.state in LEASED and life.lease <= self.all.at:
                self._go(name, "lapse")
            elif life.ending and life.ends <= self.all.at:
                if self._due(life.ending):
                    self._go(name, "preempted")
                else:
                    life.ending, life.ends = "", 0

    def _room(self, life, places, versions):
        """Refuses unless the places have room and their racks are as they were when they were scored."""
        known, shape = self.all.places, life.gang.resource_shape()
        for machine in places:
            self._known(machine)
        racks = sorted(known.workers_by_rack(places))
        if unread := [name for name in racks if name not in versions]:
            raise CommandRejectedError(f"No version of rack {unread[0]} was scored.", unread)
        if stale := self._stale(racks, versions):
            raise CommandRejectedError(
                f"Rack {stale[0]} is at version {known.racks[stale[0]].version}, scored at {versions[stale[0]]}.",
                stale,
                TICKS_PER_SECOND // 100,
            )
        if full := [
            machine
            for machine, many in places.items()
            if known.host(machine).capacity(shape) < many
        ]:
            raise CommandRejectedError(
                f"Machine {full[0]} has no room for {places[full[0]]} workers.",
                full,
                self.terms.again,
            )

    def _stale(self, racks, versions):
        return [name for name in racks if versions[name] != self.all.places.racks[name].version]

    def _turn(self, name, life, places):
        """Who waited long, and who is within its share, gets room kept by those who come after. The order is total
        and the first is blocked by nobody, so none waits in a ring."""
        mine = self._key(name)
        first = None
        for other, waiting in self.all.gangs.items():
            if other == name or waiting.state != OFFERED or waiting.again > self.all.at:
                continue
            key = self._key(other)
            ahead = key < mine and (
                key[0] < mine[0] or self.all.at - waiting.since >= self.terms.patience
            )
            if (
                ahead
                and (first is None or key < first[0])
                and self.all.places.total_capacity(waiting.gang.resource_shape())
                >= waiting.gang.workers
            ):
                first = key, other
        if first is None:
            return
        head, known = self.all.gangs[first[1]], self.all.places
        shape = head.gang.resource_shape()
        room = sum(known.rack_capacity(rack, shape) for rack in known.racks)
        for machine, many in places.items():
            host = known.host(machine)
            before = host.capacity(shape)
            host.reserve(many, life.gang.resource_shape())
            room -= before - max(0, host.capacity(shape))
            host.reserve(-many, life.gang.resource_shape())
        if room < head.gang.workers:
            raise CommandRejectedError(
                f"Gang {first[1]} is due before {name} and would find no room.",
                [first[1]],
                self.terms.again,
            )

    def _key(self, name):
        life = self.all.gangs[name]
        borrows = (
            self._over(life.gang, life.gang.workers)
            and self.all.at - life.since < self.terms.starved
        )
        return int(borrows), -self._aged(life), life.number

    def _aged(self, life):
        return life.gang.priority + (self.all.at - life.since) // self.terms.age

    def _over(self, gang, more=0):
        """Is its publisher over its share, with so many workers more? Without any shares nobody is."""
        if not self.all.shares:
            return False
        if self._used is None:
            self._used = {}
            for life in self.all.gangs.values():
                self._used[life.gang.publisher] = self._used.get(life.gang.publisher, 0) + sum(
                    life.places.values()
                )
        used = self._used.get(gang.publisher, 0)
        return (
            used + more
            > self.all.shares.get(gang.publisher, 0) * self.all.places.total_capacity(()) // 1000
        )

    def _promised(self, by):
        return sum(life.gang.workers for life in self.all.gangs.values() if life.ending == by)

    def _due(self, name):
        return name in self.all.gangs and self.all.gangs[name].state == OFFERED

    def _life(self, name):
        if name in self.all.gangs:
            return self.all.gangs[name]
        raise CommandRejectedError(
            f"Gang {name} was {self.all.ended[name]}."
            if name in self.all.ended
            else f"No gang {name} is known.",
            [name],
        )

    def _fenced(self, asked):
        life = self._life(asked.gang)
        if asked.fence != life.fence:
            raise CommandRejectedError(
                f"Gang {asked.gang} is at fence {life.fence}, not {asked.fence}.", [asked.gang]
            )
        return asked.gang

    def _known(self, machine):
        if machine not in self.all.places.where:
            raise CommandRejectedError(f"No machine {machine} stands here.")
        return machine

    def _left(self, life):
        return max(0, life.lease - self.all.at) if life.lease else 0

    def _fence(self):
        self.all.fence += 1
        return self.all.fence

    def _count(self, what):
        self.all.counted[what] = self.all.counted.get(what, 0) + 1
