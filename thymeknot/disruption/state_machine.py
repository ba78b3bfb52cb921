"""The machine that the log is applied to: `apply(at, command) -> reply`, `image()`, `load(image)`. Deterministic: it
knows no time but `at`, no chance, and no order but that of names and numbers.

A command is a mapping with `do` and the fields of FIELDS. Every reply has `at`, the agreed time, and either `"ok":
True` or `"refused"` (a sentence), `"by"` (who stands in the way) and `"again"` (tenths of a millisecond to come back
after). Nothing that a command holds makes it raise. A refused one has changed nothing but what time changes, save that
a refused begin ends its permit.
"""

from ..interface.clock import TICKS_PER_SECOND
from . import budgets as budget_words
from . import scheduler
from .halts import Halts
from .permits import ASKED, DRAINING, GRANTED, HELD, OUT, RETURNING, STATUSES, Ask, Fleet
from .rollouts import BACK, ENDED, PLAN, Releases
from .targets import CommandRejectedError, DisruptionSettings, chosen, labels, named, selector

SIZE_MOST = 65_536  # what a command may weigh, about its bytes as msgpack
UNITS_MOST = 65_536
ASKED_MOST = 1_024  # that wait at once; releases feed theirs in
PLANS_MOST = 256
FORGET = (
    24 * 3_600 * TICKS_PER_SECOND
)  # an unused plan's epoch is remembered for so long: no command travels longer
SHOWN_MOST = 512  # units in one status
VERDICTS = ("on", "hold", "back")
REQUIRED = object()


def natural(value):
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << 62


def words(value):
    return isinstance(value, str) and 0 < len(value) <= 512 and value.isprintable()


def tagged(value):
    return value == "" or named(value)


NAME, NATURAL = (named, "a name of 1 to 128 characters"), (natural, "a whole number, not negative")
WORDS, TAG = (words, "a sentence of 1 to 512 characters"), (tagged, "a name, or empty")
FLAG = (lambda value: isinstance(value, bool), "true or false")
MAPPING, LIST = (
    (lambda value: isinstance(value, dict), "a mapping"),
    (lambda value: isinstance(value, list), "a list"),
)
URGENCY = (lambda value: natural(value) and value <= 9, "0 to 9")
# do: {field: ((check, what it has to be), default)}
FIELDS = {
    "declare": {
        "epoch": (NATURAL, REQUIRED),
        "units": (MAPPING, None),
        "gone": (LIST, None),
        "budgets": (LIST, None),
        "terms": (MAPPING, None),
    },
    "seen": {"as_of": (NATURAL, REQUIRED), "units": (MAPPING, REQUIRED)},
    "ask": {
        "unit": (NAME, REQUIRED),
        "plan": (NAME, REQUIRED),
        "epoch": (NATURAL, REQUIRED),
        "urgency": (URGENCY, 0),
        "build": (TAG, ""),
        "queue": (FLAG, True),
    },
    "tick": {},
    "begin": {
        "unit": (NAME, REQUIRED),
        "fence": (NATURAL, REQUIRED),
        "epoch": (NATURAL, REQUIRED),
        "start": (NATURAL, REQUIRED),
    },
    "out": {"unit": (NAME, REQUIRED), "fence": (NATURAL, REQUIRED)},
    "return": {"unit": (NAME, REQUIRED), "fence": (NATURAL, REQUIRED), "fault": (WORDS, None)},
    "ready": {
        "unit": (NAME, REQUIRED),
        "as_of": (NATURAL, REQUIRED),
        "start": (NATURAL, REQUIRED),
        "build": (TAG, ""),
    },
    "halt": {
        "by": (NAME, REQUIRED),
        "why": (WORDS, REQUIRED),
        "where": (MAPPING, None),
        "release": (NAME, None),
        "cause": (
            (lambda value: value in ("operator", "gang", "class"), "operator, gang or class"),
            "operator",
        ),
    },
    "resume": {"halt": (NATURAL, REQUIRED)},
    "back": {
        "release": (NAME, None),
        "unit": (NAME, None),
        "plan": (NAME, None),
        "epoch": (NATURAL, None),
    },
    "release": {
        "release": (NAME, REQUIRED),
        "epoch": (NATURAL, REQUIRED),
        "where": (MAPPING, REQUIRED),
        "build": (NAME, REQUIRED),
        "earlier": (NAME, REQUIRED),
        "waves": (LIST, REQUIRED),
        "gate": (FLAG, True),
        "auto": (FLAG, True),
        "urgency": (URGENCY, 0),
        "wait": (FLAG, False),
    },
    "vote": {
        "release": (NAME, REQUIRED),
        "epoch": (NATURAL, REQUIRED),
        "wave": (NATURAL, REQUIRED),
        "verdict": ((lambda value: value in VERDICTS, "on, hold or back"), REQUIRED),
        "why": (WORDS, None),
    },
    "cancel": {"unit": (NAME, REQUIRED), "plan": (NAME, None), "epoch": (NATURAL, None)},
    "status": {"unit": (NAME, None), "where": (MAPPING, None)},
}
# What a holder is told to do, by state of its unit.
ORDERS = {GRANTED: "begin", DRAINING: "drain", OUT: "stay", RETURNING: "return"}


def weight(value, deep=0):
    """About the bytes of a list or mapping; more than any command may have if it is too deep or holds what is not
    plain."""
    total = 5
    for part in [*value, *value.values()] if type(value) is dict else value:
        kind = type(part)
        if kind is str:
            total += 5 + len(part)
        elif kind in (int, float, bool) or part is None:
            total += 9
        elif kind in (list, dict) and deep < 8:
            total += weight(part, deep + 1)
        else:
            return SIZE_MOST + 1
    return total


class DisruptionStateMachine:
    def __init__(self):
        self.fleet, self.halts = Fleet(), Halts()
        self.releases = Releases(self.fleet, self.halts)
        self.epoch, self.plans = 0, {}  # of the declaration; by plan's name [epoch, last used]

    def apply(self, at, command):
        """Takes a command at agreed time `at`, never earlier than the last; gives its reply."""
        fleet = self.fleet
        if natural(at):
            fleet.pass_time(at)
        try:
            do, fields = self.read(command)
            reply = {"ok": True, **(getattr(self, "_" + do)(**fields) or {})}
        except CommandRejectedError as refusal:
            do = None
            reply = {"refused": refusal.sentence, "by": refusal.by, "again": refusal.again}
        self.settle(do)
        if reply.pop("late", None):
            reply.update(
                self.answer(reply["unit"])
            )  # after settling: a grant at once is told at once
        reply["at"] = fleet.at
        return reply

    def read(self, command):
        """What is to be done, and its fields by FIELDS. Raises Refusal."""
        if type(command) is not dict or weight(command) > SIZE_MOST:
            raise CommandRejectedError(
                f"a command is a mapping of plain values of at most {SIZE_MOST} bytes"
            )
        do = command.get("do")
        fields = FIELDS.get(do) if isinstance(do, str) else None
        if fields is None:
            raise CommandRejectedError(
                f"no command {str(do)[:40]!r}; there are {', '.join(FIELDS)}"
            )
        if command.get("part", "turns") != "turns":
            raise CommandRejectedError("this command is for another part")
        unknown = [
            str(field)[:40]
            for field in command
            if field not in fields and field not in ("do", "part")
        ]
        if unknown:
            raise CommandRejectedError(f"{do} has no field {unknown[0]!r}")
        read = {}
        for field, ((check, words), default) in fields.items():
            value = command.get(field)
            if value is None:
                if default is REQUIRED:
                    raise CommandRejectedError(f"{do} needs {field}: {words}")
                read[field] = default
            elif check(value):
                read[field] = value
            else:
                raise CommandRejectedError(f"{do}: {field} is not {words}")
        return do, read

    def settle(self, do):
        """What follows from any command: broken budgets halt, releases go on, what fits is granted."""
        fleet = self.fleet
        broken, fleet.broken = fleet.broken, []
        for room in sorted(broken, key=lambda one: one.name):
            self.break_(room)
        self.halts.mend(fleet)
        if do in ("tick", "halt", "resume", "back", "release", "vote", "cancel") or broken:
            self.releases.round()
        if fleet.freed or do == "tick":
            scheduler.plan(fleet, self.held)

    def break_(self, room):
        """Those who crashed broke a budget: its place is halted until it is whole, releases there until told."""
        why = scheduler.way(self.fleet, room)
        try:
            self.stop(
                self.halts.add(
                    self.fleet.at, "budget", why, "budget " + room.name, room.where, None, room.name
                )
            )
            for release in list(self.releases.all.values()):
                units = self.releases.mine(release)
                if release.state == "going" and any(
                    chosen(room.where, unit.labels) for unit in units
                ):
                    self.stop(
                        self.halts.add(
                            self.fleet.at,
                            "crashes",
                            why,
                            "budget " + room.name,
                            release=release.name,
                        )
                    )
        except CommandRejectedError:
            pass  # so many halts stand; the budget itself still grants nothing

    def held(self, unit):
        halt = self.halts.holding(unit, self.releases.of(unit.ask))
        return halt.sentence() if halt else None

    def stop(self, halt):
        """What a halt ends at once: permits that nobody began. Holders that don't hear it are stopped by their bound,
        since no begin is answered with yes from here on."""
        for unit in [one for one in self.fleet.held.values() if one.state == GRANTED]:
            if self.held(unit):
                self.fleet.step(unit, "halted")

    def unit(self, name):
        unit = self.fleet.units.get(name)
        if unit is None:
            raise CommandRejectedError(f"no unit {name} was declared", [name])
        return unit

    def newest(self, plan, epoch):
        """Takes a plan's epoch: an older one is refused, a newer one ends what the older asked and was granted."""
        known = self.plans.get(plan)
        if known is None:
            if len(self.plans) >= PLANS_MOST:
                used = {
                    unit.ask.plan
                    for unit in [*self.fleet.asked.values(), *self.fleet.held.values()]
                }
                for name in [
                    name
                    for name, (_, at) in self.plans.items()
                    if name not in used and self.fleet.at - at > FORGET
                ]:
                    del self.plans[name]
            if len(self.plans) >= PLANS_MOST:
                raise CommandRejectedError(f"{PLANS_MOST} plans are known already", again=FORGET)
            known = self.plans[plan] = [epoch, self.fleet.at]
        if epoch < known[0]:
            raise CommandRejectedError(
                f"epoch {epoch} of {plan} is over; it is {known[0]} now", [plan]
            )
        if epoch > known[0]:
            for unit in [*self.fleet.asked.values(), *self.fleet.held.values()]:
                if unit.ask.plan == plan and unit.state in (ASKED, GRANTED):
                    self.fleet.step(unit, "turned")
        known[:] = epoch, self.fleet.at

    # The commands, by name.

    def _declare(self, epoch, units, gone, budgets, terms):
        if epoch < self.epoch:
            raise CommandRejectedError(
                f"a declaration of epoch {epoch} is older than that of epoch {self.epoch}"
            )
        fleet = self.fleet
        wanted = {name: unit.labels for name, unit in fleet.units.items()}
        for name, given in (units or {}).items():
            given = labels(name, given)
            if name in wanted and wanted[name] != given and fleet.units[name].state in HELD:
                raise CommandRejectedError(
                    f"unit {name} is {fleet.units[name].state}: it can't be moved meanwhile", [name]
                )
            wanted[name] = given
        for name in gone or []:
            if not named(name) or name not in wanted:
                raise CommandRejectedError(f"no unit {str(name)[:40]} was declared")
            if name in fleet.units and fleet.units[name].state in HELD:
                raise CommandRejectedError(
                    f"unit {name} is {fleet.units[name].state}: it can't be taken away meanwhile",
                    [name],
                )
            del wanted[name]
        if len(wanted) > UNITS_MOST:
            raise CommandRejectedError(f"more than {UNITS_MOST} units")
        kept = fleet.budgets if budgets is None else [budget_words.budget(one) for one in budgets]
        if len({one["name"] for one in kept}) < len(kept) or len(kept) > budget_words.BUDGETS_MOST:
            raise CommandRejectedError(
                f"budgets have names of their own, and are at most {budget_words.BUDGETS_MOST}"
            )
        made = self.terms(terms or {})
        fleet.declare(wanted, kept)
        self.epoch, fleet.terms = epoch, made
        return {"units": len(wanted), "budgets": len(kept), "terms": made.plain()}

    def terms(self, given):
        now = self.fleet.terms.plain()
        for name, value in given.items():
            _, least, most = DisruptionSettings.RANGES.get(name, (0, 1, 0))
            if not natural(value) or not least <= value <= most:
                raise CommandRejectedError(
                    f"term {str(name)[:40]} is unknown, or not a whole number of {least} to {most}"
                )
            now[name] = value
        if now["permit"] < now["bound"] or now["silent"] < now["bound"]:
            raise CommandRejectedError(
                "permits and silence last at least for the bound: else a holder could begin after both"
            )
        return DisruptionSettings(**now)

    def _seen(self, as_of, units):
        """units: {name: [status, start, build]}. Units that are not declared, or told of in another form, are
        counted in the reply and say nothing; the others are taken."""
        if as_of > self.fleet.at:
            raise CommandRejectedError(f"as_of {as_of} is ahead of agreed time {self.fleet.at}")
        self.fleet.heard = self.fleet.at
        orders, strange = {}, []
        for name, told in sorted(units.items(), key=lambda pair: str(pair[0])):
            unit = self.fleet.units.get(name)
            if (
                unit is None
                or not isinstance(told, list)
                or len(told) != 3
                or told[0] not in STATUSES
                or not natural(told[1])
                or not tagged(told[2])
            ):
                strange.append(str(name)[:40])
                continue
            self.fleet.look(unit, as_of, *told)
            if unit.state in HELD and unit.start == told[1]:
                orders[name] = self.order(unit)
        reply = {"orders": orders}
        if strange:
            reply["strange"] = strange[:8]
        return reply

    def _ready(self, unit, as_of, start, build):
        self.unit(unit)
        return self._seen(as_of, {unit: ["ready", start, build]})

    def order(self, unit):
        """What its holder is to do, and by which permit."""
        return {
            "do": ORDERS[unit.state],
            "fence": unit.fence,
            "plan": unit.ask.plan,
            "epoch": unit.ask.epoch,
            "left": max(0, unit.until - self.fleet.at),
            "build": unit.ask.build,
        }

    def _ask(self, unit, plan, epoch, urgency, build, queue):
        one = self.unit(unit)
        if plan.startswith(PLAN):
            raise CommandRejectedError(
                f"plans that begin with {PLAN} are asked for by releases", [plan]
            )
        self.newest(plan, epoch)
        if one.ask and one.ask.plan != plan:
            raise CommandRejectedError(
                f"unit {unit} is {one.state} by {one.ask.plan} already",
                [one.ask.plan],
                TICKS_PER_SECOND,
            )
        if not one.ask:
            if len(self.fleet.asked) >= ASKED_MOST:
                raise CommandRejectedError(
                    f"{ASKED_MOST} units wait already", again=10 * TICKS_PER_SECOND
                )
            ask = Ask(self.fleet.at, urgency, plan, epoch, False, build)
            if not queue:
                self.at_once(one, ask)
            self.fleet.step(one, "asked", ask)
        elif urgency > one.ask.urgency:
            one.ask.urgency, self.fleet.freed = urgency, True
        return {"unit": unit, "late": True}

    def at_once(self, unit, ask):
        """Refuses what would have to wait, for those who don't want to."""
        unit.ask = ask
        sentence, full = self.held(unit), scheduler.full(self.fleet, unit)
        why, by = scheduler.waits(self.fleet, unit) if full else (sentence, [])
        unit.ask = None
        if sentence or full:
            raise CommandRejectedError(sentence or why, by, TICKS_PER_SECOND)

    def answer(self, name):
        """Where a unit stands: its order, or why it waits."""
        unit, reply = self.fleet.units[name], {}
        reply.update(
            state=unit.state,
            ready=unit.ready(self.fleet.at, self.fleet.terms.silent),
            build=unit.build,
        )
        if unit.state in HELD:
            reply["order"] = self.order(unit)
        if not reply["ready"]:
            reply["out"] = unit.why(self.fleet.at, self.fleet.terms.silent)
        if unit.fault:
            reply["fault"] = unit.fault
        if unit.state == ASKED:
            halted = self.held(unit)
            why, by = (halted, []) if halted else scheduler.waits(self.fleet, unit)
            reply.update(waits=why, by=by, again=TICKS_PER_SECOND)
        return reply

    def _tick(self):
        pass

    def permitted(self, name, fence):
        """The unit, if the fencing number is that of its permit. Raises Refusal."""
        unit = self.unit(name)
        if unit.state not in HELD:
            waits = self.answer(name).get("waits")
            raise CommandRejectedError(
                f"unit {name} has no permit; it is {unit.state}" + (f": {waits}" if waits else ""),
                [name],
            )
        if fence != unit.fence:
            raise CommandRejectedError(
                f"permit {fence} of unit {name} is over; the newest is {unit.fence}", [name]
            )
        return unit

    def _begin(self, unit, fence, epoch, start):
        one, at = self.permitted(unit, fence), self.fleet.at
        if start != one.start:
            raise CommandRejectedError(
                f"permit {fence} was given to another start of unit {unit}", [unit]
            )
        if epoch != one.ask.epoch or self.plans.get(one.ask.plan, [epoch])[0] != epoch:
            raise CommandRejectedError(f"epoch {epoch} of {one.ask.plan} is over", [one.ask.plan])
        if one.state == DRAINING:
            return {"unit": unit, "late": True}  # said twice: an answer was lost
        if one.state != GRANTED:
            raise CommandRejectedError(f"unit {unit} is {one.state}: it has begun already", [unit])
        halted, over = self.held(one), self.fleet.over(one)
        if over and not one.idle(at, self.fleet.terms.silent):
            # Others crashed since it was granted. One that does not serve may go: it may be what mends it.
            self.fleet.step(one, "halted")
            raise CommandRejectedError(
                scheduler.way(self.fleet, over), [over.name, *sorted(over.outs)], TICKS_PER_SECOND
            )
        if halted:
            self.fleet.step(one, "halted")
            raise CommandRejectedError(halted, again=TICKS_PER_SECOND)
        self.fleet.step(one, "began")
        return {"unit": unit, "late": True}

    def _out(self, unit, fence):
        self.fleet.step(self.permitted(unit, fence), "emptied")
        return {"unit": unit, "late": True}

    def _return(self, unit, fence, fault):
        """Its holder brings it back, or gives a permit back that it did not begin, or says why it can't come."""
        one = self.permitted(unit, fence)
        self.fleet.step(one, "turned" if one.state == GRANTED else "returned")
        if fault:
            self.fleet.step(one, "failed", fault)
        return {"unit": unit, "late": True}

    def _halt(self, by, why, where, release, cause):
        if (where is None) == (release is None):
            raise CommandRejectedError(
                "a halt is of a release or of where a selector says: {} is all"
            )
        if release is not None and release not in self.releases.all:
            raise CommandRejectedError(f"no release {release}", [release])
        where = selector(where) if where is not None else None
        halt = self.halts.add(self.fleet.at, cause, why, by, where, release)
        self.stop(halt)
        return {"halt": halt.number, "bound": self.fleet.terms.halt_bound()}

    def _resume(self, halt):
        found = self.halts.all.pop(halt, None)
        if found is None:
            raise CommandRejectedError(
                f"no halt {halt} stands; there are {', '.join(map(str, sorted(self.halts.all))) or 'none'}"
            )
        self.fleet.freed = True
        return {"was": found.sentence(), "stands": sorted(self.halts.all)}

    def _back(self, release, unit, plan, epoch):
        if sum(one is not None for one in (release, unit, plan)) != 1:
            raise CommandRejectedError("back is of one release, unit or plan")
        if release is not None:
            return self.turn(release, epoch)
        if unit is not None:
            units = [self.unit(unit)]
        else:
            units = [
                one
                for one in [*self.fleet.asked.values(), *self.fleet.held.values()]
                if one.ask.plan == plan
            ]
        mine = [one for one in units if one.ask and one.ask.plan.startswith(PLAN)]
        if mine:
            raise CommandRejectedError(
                f"unit {mine[0].name} is {mine[0].state} by {mine[0].ask.plan}: bring the release back",
                [mine[0].ask.plan],
            )
        if plan is not None and epoch is not None:
            self.newest(plan, epoch)
        return {"called": sorted(one.name for one in units if self.fleet.step(one, "turned"))}

    def turn(self, name, epoch):
        release = self.releases.all.get(name)
        if release is None:
            raise CommandRejectedError(f"no release {name}", [name])
        if epoch is not None and epoch < release.epoch:
            raise CommandRejectedError(
                f"epoch {epoch} of release {name} is over; it is {release.epoch} now", [name]
            )
        other = self.releases.before(None, set(release.members)) if release.state in ENDED else None
        if other:
            raise CommandRejectedError(
                f"release {other.name} is {other.state} with units of {name}: it goes first",
                [other.name],
                10 * TICKS_PER_SECOND,
            )
        if not self.releases.step(release, "turned"):
            raise CommandRejectedError(
                f"release {name} is {release.state}: there is nothing to bring back", [name]
            )
        return {"release": name, "state": release.state}

    def _release(self, release, epoch, where, build, earlier, waves, gate, auto, urgency, wait):
        known = self.releases.all.get(release)
        if known and epoch < known.epoch:
            raise CommandRejectedError(
                f"epoch {epoch} of release {release} is over; it is {known.epoch} now", [release]
            )
        if known and epoch == known.epoch:
            if (known.build, known.earlier) != (build, earlier):
                raise CommandRejectedError(
                    f"release {release} of epoch {epoch} is of build {known.build}; a new one needs a "
                    "higher epoch",
                    [release],
                )
            return {"release": release, "state": known.state}  # said twice
        if known and known.state not in ENDED:
            raise CommandRejectedError(
                f"release {release} is {known.state}; its way back goes first",
                [release],
                10 * TICKS_PER_SECOND,
            )
        if build == earlier:
            raise CommandRejectedError(
                f"build {build} is the earlier one too: there is nothing to release", [release]
            )
        kept = selector(where)
        members = [
            name for name, unit in sorted(self.fleet.units.items()) if chosen(kept, unit.labels)
        ]
        if not members:
            raise CommandRejectedError(f"release {release} chooses no unit", [release])
        # Racks in turn: else those that ask at once would stand in few racks, whose budgets let few of them go.
        racks, turn = {}, {}
        for name in members:
            rack = self.fleet.units[name].labels.get("rack")
            turn[name] = racks[rack] = racks.get(rack, 0) + 1
        members.sort(key=lambda name: (turn[name], name))
        ends = self.waves(waves, len(members))
        other = self.releases.before(None, set(members))
        if other and not wait:
            doing = "on its way back" if other.state in BACK else other.state
            raise CommandRejectedError(
                f"release {other.name} is {doing} with the same units; ask again after it, or with wait",
                [other.name],
                10 * TICKS_PER_SECOND,
            )
        if not self.releases.forget():
            raise CommandRejectedError(
                "too many releases are under way", again=60 * TICKS_PER_SECOND
            )
        made = self.releases.add(release, epoch, members, build, earlier, ends, gate, auto, urgency)
        return {
            "release": release,
            "state": made.state,
            "units": len(members),
            "waves": ends,
            **({"waits": f"release {other.name} goes first"} if other else {}),
        }

    def waves(self, given, many):
        """How many units are done after each wave: of rising shares (over 0, the last 1.0) of all."""
        if not 0 < len(given) <= 64 or any(
            isinstance(part, bool) or not isinstance(part, int | float) or not 0 < part <= 1
            for part in given
        ):
            raise CommandRejectedError("waves are 1 to 64 shares over 0, up to 1")
        if sorted(set(given)) != given or given[-1] != 1:
            raise CommandRejectedError("waves are rising shares of all units, and the last is 1")
        return sorted({max(1, int(part * many + 1e-9)) for part in given})

    def _vote(self, release, epoch, wave, verdict, why):
        """The decision module's verdict on the wave that it has seen. `on` lets the next begin, `hold` takes that
        back while it did not begin, `back` halts and, with auto, turns the release."""
        known = self.releases.all.get(release)
        if known is None or epoch != known.epoch:
            raise CommandRejectedError(f"no release {release} of epoch {epoch}", [release])
        if verdict == "back":
            if known.state not in ("going", "halted"):
                raise CommandRejectedError(
                    f"release {release} is {known.state}: there is nothing to turn", [release]
                )
            halt = self.halts.add(
                self.fleet.at,
                "vote",
                why or "the decision module voted back",
                "vote",
                release=release,
            )
            self.stop(halt)
            self.releases.step(known, "halted")
            if known.auto:
                self.releases.step(known, "turned")
            return {
                "state": known.state,
                "halt": halt.number,
                "bound": self.fleet.terms.halt_bound(),
            }
        if wave != known.wave:
            raise CommandRejectedError(
                f"release {release} is in wave {known.wave}, the vote is on wave {wave}", [release]
            )
        known.voted = wave + 1 if verdict == "on" else wave
        return {"state": known.state, "wave": known.wave}

    def _cancel(self, unit, plan, epoch):
        one = self.unit(unit)
        if not one.ask or plan is not None and one.ask.plan != plan:
            raise CommandRejectedError(
                f"unit {unit} is {one.state}" + (f" by {one.ask.plan}" if one.ask else ""), [unit]
            )
        if one.ask.plan.startswith(PLAN):
            raise CommandRejectedError(
                f"unit {unit} is {one.state} by {one.ask.plan}: halt the release or bring it back",
                [one.ask.plan],
            )
        if epoch is not None and epoch < one.ask.epoch:
            raise CommandRejectedError(f"epoch {epoch} of {one.ask.plan} is over", [one.ask.plan])
        self.fleet.step(one, "turned")
        return {"unit": unit, "late": True}

    def _status(self, unit, where):
        """Changes nothing, so it may be answered from a read too."""
        if unit is not None:
            return {"unit": self.unit(unit).name, **self.answer(unit)}
        fleet, kept = self.fleet, selector(where or {})
        found = [one for _, one in sorted(fleet.units.items()) if chosen(kept, one.labels)]
        away = [one for one in found if one.ask or not one.ready(fleet.at, fleet.terms.silent)]
        return {
            "terms": fleet.terms.plain(),
            "units": len(found),
            "out": sum(not one.ready(fleet.at, fleet.terms.silent) for one in found),
            "more": max(0, len(away) - SHOWN_MOST),
            "away": {one.name: self.answer(one.name) for one in away[:SHOWN_MOST]},
            "budgets": {
                name: {"allowed": room.allowed, "out": len(room.outs), "said": room.said()}
                for name, room in sorted(fleet.rooms.items())[:SHOWN_MOST]
            },
            "halts": {
                str(number): halt.sentence() for number, halt in sorted(self.halts.all.items())
            },
            "releases": {
                name: {
                    "state": one.state,
                    "epoch": one.epoch,
                    "wave": one.wave,
                    "waves": len(one.waves),
                    "voted": one.voted,
                    "aside": dict(sorted(one.aside.items())[:SHOWN_MOST]),
                    "home": sum(
                        each.build == one.build and each.ready(fleet.at, fleet.terms.silent)
                        for each in self.releases.mine(one)
                    ),
                    "units": len(one.members),
                }
                for name, one in sorted(self.releases.all.items())
            },
        }

    # As it is set down and taken up again.

    def image(self):
        """Plain values, the same for the same history."""
        return {
            "fleet": self.fleet.image(),
            "halts": self.halts.image(),
            "releases": self.releases.image(),
            "epoch": self.epoch,
            "plans": dict(sorted(self.plans.items())),
        }

    def load(self, image):
        self.fleet.load(image["fleet"])
        self.halts.load(image["halts"])
        self.releases.load(image["releases"])
        self.epoch, self.plans = (
            image["epoch"],
            {name: list(known) for name, known in image["plans"].items()},
        )
