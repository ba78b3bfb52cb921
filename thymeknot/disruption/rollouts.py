"""Releases as waves of permits, and the way back.

A release gives its units a build, wave by wave. It asks for permits as anybody does and has no room of its own, so no
wave can raise a cap. A wave is over when each of its units is home with the build or set aside with a reason; with
`gate` the next begins only after the decision module's verdict `on` for it. Its verdict `back` halts the release, and
with `auto` turns it too.

The way back is from every state: who asked or was granted stays in, who drains or is out is called back with the
earlier build, who is home with the new build goes out once more by a permit within the same budgets. Who can't come
back is named with the reason and not waited for; ordered again, the way back tries them again.
"""

from . import scheduler
from .permits import ASKED, DRAINING, GRANTED, IN, OUT, RETURNING, Ask

RELEASES_MOST = 64
PLAN = "release:"  # the plans of releases; nobody else may ask by such a name
FEED = 256  # units of a release that ask at once: the queue is for others too
TRIES = 5  # permits that one lets lapse before it is set aside
# (state, input) -> next state, effect. What is missing changes nothing.
COURSE = {
    ("waiting", "free"): ("going", "ask"),
    ("waiting", "turned"): ("backed", "end"),
    ("going", "halted"): ("halted", "stop"),
    ("going", "turned"): ("backing", "turn"),
    ("going", "finished"): ("done", "end"),
    ("halted", "resumed"): ("going", "ask"),
    ("halted", "turned"): ("backing", "turn"),
    ("backing", "halted"): ("held", "stop"),
    ("backing", "turned"): ("backing", "turn"),
    ("backing", "home"): ("backed", "end"),
    ("backing", "stuck"): ("left", "end"),
    ("held", "resumed"): ("backing", "turn"),
    ("held", "turned"): ("backing", "turn"),
    ("left", "turned"): ("backing", "turn"),
    ("done", "turned"): ("backing", "turn"),
}
ENDED = ("done", "backed", "left")
BACK = ("backing", "held", "left")


class Release:
    KEPT = (
        "name",
        "epoch",
        "members",
        "build",
        "earlier",
        "waves",
        "gate",
        "auto",
        "urgency",
        "state",
        "wave",
        "voted",
        "knows",
        "aside",
        "at",
        "number",
    )

    def __init__(
        self, name, epoch, members, build, earlier, waves, gate, auto, urgency, at, number
    ):
        self.name, self.epoch, self.members, self.build, self.earlier = (
            name,
            epoch,
            members,
            build,
            earlier,
        )
        self.waves, self.gate, self.auto, self.urgency, self.at, self.number = (
            waves,
            gate,
            auto,
            urgency,
            at,
            number,
        )
        self.state, self.wave, self.voted, self.knows, self.aside = "waiting", 0, 0, 0, {}
        self.plan = PLAN + name

    def plain(self):
        return {name: getattr(self, name) for name in self.KEPT}

    @classmethod
    def of(cls, plain):
        made = cls(
            *(
                plain[name]
                for name in (
                    "name",
                    "epoch",
                    "members",
                    "build",
                    "earlier",
                    "waves",
                    "gate",
                    "auto",
                    "urgency",
                    "at",
                    "number",
                )
            )
        )
        for name in cls.KEPT:
            setattr(made, name, plain[name])
        return made


class Releases:
    def __init__(self, fleet, halts):
        self.fleet, self.halts, self.all, self.number = fleet, halts, {}, 0

    def mine(self, release):
        """Its units that are still declared, in its order."""
        units = self.fleet.units
        return [units[name] for name in release.members if name in units]

    def add(self, *facts):
        self.number += 1
        release = Release(*facts, self.fleet.at, self.number)
        self.all.pop(release.name, None)
        self.all[release.name] = release
        return release

    def forget(self):
        """Makes place for one more by dropping the release that ended first; gives whether there is place."""
        if len(self.all) >= RELEASES_MOST:
            ended = min(
                (one for one in self.all.values() if one.state in ("done", "backed")),
                key=lambda one: one.number,
                default=None,
            )
            if ended is None:
                return False
            del self.all[ended.name]
        return True

    def before(self, release, members):
        """The first release that has one of these units and is not over, or None."""
        return next(
            (
                one
                for one in sorted(self.all.values(), key=lambda one: one.number)
                if one is not release
                and one.name != (release and release.name)
                and one.state not in ENDED
                and (release is None or one.number < release.number)
                and not members.isdisjoint(one.members)
            ),
            None,
        )

    def step(self, release, what):
        state, effect = COURSE.get((release.state, what), (release.state, None))
        if effect is None:
            return False
        release.state = state
        getattr(self, "_" + effect)(release)
        return True

    def _ask(self, release):
        pass  # the next round asks

    def _stop(self, release):
        """Nothing more of it goes out: what it asked for is taken back, permits that nobody began are worth nothing."""
        for unit in self.mine(release):
            if unit.ask and unit.ask.plan == release.plan:
                self.withdraw(unit)

    def _turn(self, release):
        release.knows, release.aside = self.halts.number, {}
        for unit in self.mine(release):
            unit.tries = 0
            if unit.ask and unit.ask.plan == release.plan:
                self.withdraw(unit)
                if unit.state in (DRAINING, OUT, RETURNING):
                    # One that drains on its way back goes on with that; its build is the earlier one already.
                    self.call(unit, release)

    def _end(self, release):
        self._stop(release)

    def withdraw(self, unit):
        if unit.state in (ASKED, GRANTED):
            self.fleet.step(unit, "turned")

    def call(self, unit, release):
        """Has a unit that is out come back with the earlier build."""
        if not unit.ask.back:
            unit.ask.build = release.earlier
            unit.fault = ""
            self.fleet.step(unit, "turned")

    # A round: what each release does next. At ticks and after commands that touch releases.

    def round(self):
        for release in sorted(self.all.values(), key=lambda one: one.number):
            if release.state == "waiting" and not self.before(release, set(release.members)):
                self.step(release, "free")
            self.judge(release)
            if release.state == "going":
                self.forth(release)
            elif release.state == "backing":
                self.back(release)

    def judge(self, release):
        """Halts it, or takes it up again, by the halts that stand."""
        labels = [unit.labels for unit in self.mine(release)]
        halt = self.halts.stopping(release, labels, release.state in BACK)
        self.step(release, "halted" if halt else "resumed")

    def want(self, release, unit, back):
        build = release.earlier if back else release.build
        self.fleet.step(
            unit,
            "asked",
            Ask(self.fleet.at, release.urgency, release.plan, release.epoch, back, build),
        )

    def room(self, release):
        """How many more of it may ask."""
        return FEED - sum(unit.ask.plan == release.plan for unit in self.fleet.asked.values())

    def forth(self, release):
        fleet, terms, free, waits = self.fleet, self.fleet.terms, self.room(release), False
        members = self.mine(release)
        for unit in members[: release.waves[release.wave]]:
            ready = unit.ready(fleet.at, terms.silent)
            if unit.state != IN or ready and unit.build != release.build:
                if unit.state == IN and unit.tries >= TRIES:
                    release.aside[unit.name] = f"was granted {unit.tries} times and did not begin"
                    continue
                overdue = self.overdue(unit)
                if overdue:
                    release.aside[unit.name] = overdue
                    continue
                release.aside.pop(unit.name, None)
                waits = True
                if unit.state == IN and free > 0:
                    self.want(release, unit, False)
                    free -= 1
            elif ready:
                release.aside.pop(unit.name, None)
            elif fleet.at - max(unit.since, unit.seen, release.at) > terms.home:
                release.aside[unit.name] = "is " + unit.why(fleet.at, terms.silent)
            else:
                waits = True  # not seen ready since it came back, or silent for a moment
        if waits:
            return
        if release.waves[release.wave] >= len(release.members):
            self.step(release, "finished")
        elif not release.gate or release.voted > release.wave:
            release.wave += 1

    def overdue(self, unit):
        """The reason why one that is on its way is not waited for, or None."""
        terms, age = self.fleet.terms, self.fleet.at - unit.since
        if unit.state == RETURNING and (unit.fault or age > terms.home):
            return unit.fault or f"was called back {age // 10_000} s ago and was not seen ready"
        if unit.state in (DRAINING, OUT) and age > terms.hold:
            return f"is {unit.state} for {age // 10_000} s"
        return None

    def back(self, release):
        fleet, free, waits, aside = self.fleet, self.room(release), False, {}
        for unit in self.mine(release):
            mine = unit.ask and unit.ask.plan == release.plan
            if unit.state == IN and unit.build == release.build:
                if unit.tries >= TRIES:
                    aside[unit.name] = (
                        f"was granted {unit.tries} times and did not begin; it is "
                        + (
                            "ready"
                            if unit.ready(fleet.at, fleet.terms.silent)
                            else unit.why(fleet.at, fleet.terms.silent)
                        )
                    )
                    continue
                waits = True
                if free > 0:
                    self.want(release, unit, True)
                    free -= 1
                continue
            if not mine:
                if unit.state != IN and unit.build == release.build:
                    aside[unit.name] = f"is {unit.state} by {unit.ask.plan}"
                    waits |= fleet.at - unit.since <= fleet.terms.home
                continue
            reason = self.overdue(unit)
            if unit.state == ASKED:
                # Named at once, and waited for no longer than one that is on its way: who crashed may start again.
                reason = scheduler.stuck(fleet, unit)
                waits |= bool(reason) and fleet.at - unit.ask.at <= fleet.terms.home
            if reason:
                aside[unit.name] = reason
            elif unit.state != IN:
                waits = True
        release.aside = aside
        if not waits:
            self.step(release, "stuck" if aside else "home")

    def of(self, ask):
        """The release that asks, or None."""
        return self.all.get(ask.plan[len(PLAN) :]) if ask.plan.startswith(PLAN) else None

    def image(self):
        return [
            self.number,
            [one.plain() for one in sorted(self.all.values(), key=lambda one: one.number)],
        ]

    def load(self, image):
        self.number = image[0]
        self.all = {
            plain["name"]: Release.of({**plain, "aside": dict(plain["aside"])})
            for plain in image[1]
        }
