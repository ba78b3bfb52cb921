"""A unit's life, and what counts as out.

The life is a table; a short loop reads it. Where a unit stands in it says what was permitted; whether it serves is
another matter, and only evidence tells: a unit counts as ready if it is in (or asked), was seen ready, not longer ago
than `silent`, and after the last doubt. Everybody else is out: crashed, silent, unknown, cold, permitted, lapsed.

Evidence is dated by `as_of`, the last agreed time that the observer had heard when it looked. So it can't be younger
than it says: a report that was long on its way, or waits in a retry, proves nothing about a unit that went out since.
"""

from heapq import heapify, heappop, heappush

from .budgets import rooms
from .targets import DisruptionSettings

IN, ASKED, GRANTED, DRAINING, OUT, RETURNING = (
    "in",
    "asked",
    "granted",
    "draining",
    "out",
    "returning",
)
HELD = (GRANTED, DRAINING, OUT, RETURNING)  # states with a permit
STATUSES = ("ready", "cold", "out", "gone")
# (state, input) -> next state, effect. What is missing changes nothing. Nothing leads to draining but a checked begin.
LIFE = {
    (IN, "asked"): (ASKED, "queue"),
    (ASKED, "granted"): (GRANTED, "permit"),
    (ASKED, "turned"): (IN, "forget"),
    (GRANTED, "began"): (DRAINING, "drain"),
    (GRANTED, "lapsed"): (IN, "doubt"),
    (GRANTED, "turned"): (IN, "doubt"),
    (GRANTED, "restarted"): (IN, "doubt"),
    (GRANTED, "halted"): (ASKED, "wait"),
    (DRAINING, "emptied"): (OUT, "rest"),
    (DRAINING, "turned"): (RETURNING, "call"),
    (DRAINING, "returned"): (RETURNING, "call"),
    (DRAINING, "restarted"): (RETURNING, "call"),
    (OUT, "turned"): (RETURNING, "call"),
    (OUT, "returned"): (RETURNING, "call"),
    (OUT, "restarted"): (RETURNING, "call"),
    (RETURNING, "failed"): (RETURNING, "name"),
    (RETURNING, "ready"): (IN, "home"),
}


class Ask:
    """Somebody wants it out: since when, how urgently (0 to 9), for which plan and epoch, whether on a way back."""

    __slots__ = ("at", "urgency", "plan", "epoch", "back", "build")

    def __init__(self, at, urgency, plan, epoch, back=False, build=""):
        self.at, self.urgency, self.plan, self.epoch, self.back, self.build = (
            at,
            urgency,
            plan,
            epoch,
            back,
            build,
        )

    def plain(self):
        return [self.at, self.urgency, self.plan, self.epoch, self.back, self.build]


class Unit:
    __slots__ = (
        "name",
        "labels",
        "state",
        "since",
        "ask",
        "fence",
        "until",
        "tries",
        "told",
        "seen",
        "start",
        "build",
        "status",
        "doubt",
        "fault",
        "rooms",
        "queued",
    )
    KEPT = (
        "state",
        "since",
        "fence",
        "until",
        "tries",
        "told",
        "seen",
        "start",
        "build",
        "status",
        "doubt",
        "fault",
    )

    def __init__(self, name, labels):
        self.name, self.labels, self.state, self.since = name, labels, IN, 0
        self.ask, self.fence, self.until, self.tries = None, 0, 0, 0
        self.told = self.seen = (
            self.doubt
        ) = -1  # dates of the last report, of the last as ready, of the last doubt
        self.start, self.build, self.status, self.fault = -1, "", "gone", ""
        self.rooms, self.queued = [], False

    def evident(self, at, silent):
        """Seen ready, lately and since the last doubt, whatever was permitted."""
        return self.status == "ready" and self.seen > self.doubt and self.seen + silent > at

    def ready(self, at, silent):
        return self.state in (IN, ASKED) and self.evident(at, silent)

    def idle(self, at, silent):
        """Told lately not to serve. Silence is not that: behind a cut it may serve, and would go when it ends."""
        return self.status != "ready" and self.told >= 0 and self.told + silent > at

    def why(self, at, silent):
        """In a word why it counts as out."""
        if self.state in HELD:
            return self.state
        if self.told < 0:
            return "unknown"
        if self.status != "ready":
            return self.status
        return "silent" if self.seen + silent <= at else "not seen since its permit ended"


class Fleet:
    """All units, who of them is out by room, and the fencing number that never comes twice."""

    def __init__(self):
        self.at, self.fence, self.terms = 0, 0, DisruptionSettings()
        self.units, self.budgets, self.rooms = {}, [], {}
        self.asked, self.held, self.silences = {}, {}, []
        self.freed, self.broken, self.heard = True, [], -1

    # What the operator declares.

    def declare(self, units, budgets):
        """Takes units (labels by name, all of them) and budgets in kept form. Raises Refusal and changes nothing."""
        made, of = rooms(budgets, units)
        for name in [name for name in self.units if name not in units]:
            unit = self.units.pop(name)
            self.asked.pop(unit.name, None)
        for name, given in units.items():
            unit = self.units.get(name) or self.units.setdefault(name, Unit(name, given))
            unit.labels, unit.rooms = given, of[name]
        self.budgets, self.rooms, self.freed = budgets, made, True
        for unit in self.units.values():
            self.count(unit)
        for room in made.values():
            room.whole, room.mended = not room.over(), self.at
        self.broken = []

    # What counts as out.

    def count(self, unit):
        """Brings its rooms up to what it now counts as."""
        out = not unit.ready(self.at, self.terms.silent)
        for room in unit.rooms:
            if out and unit.name not in room.outs:
                room.outs[unit.name] = True
                if room.whole and room.over():
                    room.whole = False
                    self.broken.append(room)
            elif not out and unit.name in room.outs:
                del room.outs[unit.name]
                self.freed = True
                if not room.whole and not room.over():
                    room.whole, room.mended = True, self.at
        if not out and not unit.queued:
            unit.queued = True
            heappush(self.silences, (unit.seen + self.terms.silent, unit.name))

    def over(self, unit):
        """The first budget of a unit that is broken, or None."""
        return next((room for room in unit.rooms if room.over()), None)

    def pass_time(self, at):
        """Agreed time goes on: who was silent too long counts as out, permits that nobody began lapse. Their room
        stays taken: the holder may be draining behind a cut."""
        self.at = max(self.at, at)
        while self.silences and self.silences[0][0] <= self.at:
            unit = self.units.get(heappop(self.silences)[1])
            if unit is None:
                continue
            unit.queued = False
            self.count(unit)
        if self.at - self.heard >= self.terms.silent:
            # Nobody at all was heard: it is the observers that are lost. All count as out; no crash broke a budget.
            self.broken = []
        for unit in [
            one for one in self.held.values() if one.state == GRANTED and one.until <= self.at
        ]:
            unit.tries += 1
            self.step(unit, "lapsed")

    def look(self, unit, as_of, status, start, build):
        """Takes what an observer saw. Older reports than the last, or of an earlier start, say nothing."""
        if start < unit.start or as_of < unit.told:
            return
        if start > unit.start:
            restarted, unit.start = unit.start >= 0, start
            if restarted:
                # What was seen of the former start says nothing of this one.
                unit.seen, unit.status = -1, "cold"
                self.step(unit, "restarted")
        unit.told, unit.status = as_of, status
        if build:
            unit.build = build
        elif status == "ready" and unit.state == RETURNING and unit.ask.build:
            unit.build = (
                unit.ask.build
            )  # one that does not tell its build has the one it went out for
        if status == "ready":
            unit.seen = as_of
            if unit.evident(self.at, self.terms.silent):
                self.step(unit, "ready")
        self.count(unit)

    # The life.

    def step(self, unit, what, *facts):
        """Takes an input into the table; effects are those named below. Gives whether it changed anything."""
        state, effect = LIFE.get((unit.state, what), (unit.state, None))
        if effect is None:
            return False
        if state != unit.state:
            unit.state, unit.since = state, self.at
        getattr(self, "_" + effect)(unit, *facts)
        for group, states in ((self.asked, (ASKED,)), (self.held, HELD)):
            if unit.state in states:
                group[unit.name] = unit
            else:
                group.pop(unit.name, None)
        self.count(unit)
        return True

    def _queue(self, unit, ask):
        unit.ask, unit.fault = ask, ""
        self.freed = True

    def _permit(self, unit):
        self.fence += 1
        unit.fence, unit.until = self.fence, self.at + self.terms.permit

    def _forget(self, unit):
        unit.ask = None

    def _doubt(self, unit):
        unit.ask, unit.doubt = None, self.at

    def _wait(self, unit):
        unit.doubt = self.at  # it keeps its age, and its permit is worth nothing

    def _drain(self, unit):
        unit.tries = 0

    def _rest(self, unit):
        pass

    def _call(self, unit):
        unit.doubt = self.at  # what was seen before it was called proves nothing

    def _name(self, unit, fault):
        unit.fault = fault

    def _home(self, unit):
        unit.fault, unit.ask = "", None

    # As it is set down and taken up again.

    def image(self):
        return {
            "at": self.at,
            "fence": self.fence,
            "heard": self.heard,
            "terms": self.terms.plain(),
            "budgets": self.budgets,
            "rooms": {room.name: [room.whole, room.mended] for room in self.rooms.values()},
            "units": [
                [
                    unit.name,
                    unit.labels,
                    unit.ask.plain() if unit.ask else None,
                    [getattr(unit, name) for name in Unit.KEPT],
                ]
                for _, unit in sorted(self.units.items())
            ],
        }

    def load(self, image):
        self.__init__()
        self.at, self.fence, self.heard = image["at"], image["fence"], image["heard"]
        self.terms, self.budgets = DisruptionSettings(**image["terms"]), image["budgets"]
        for name, labels, ask, kept in image["units"]:
            unit = self.units[name] = Unit(name, labels)
            unit.ask = Ask(*ask) if ask else None
            for field, value in zip(Unit.KEPT, kept):
                setattr(unit, field, value)
            if unit.state == ASKED:
                self.asked[name] = unit
            elif unit.state in HELD:
                self.held[name] = unit
        self.rooms, of = rooms(
            self.budgets, {name: unit.labels for name, unit in self.units.items()}
        )
        for unit in self.units.values():
            unit.rooms = of[unit.name]
            self.count(unit)
        for room in self.rooms.values():
            room.whole, room.mended = image["rooms"][room.name]
        self.broken, self.freed = [], True
        heapify(self.silences)
