"""Who lives. SWIM's probes and suspicion, with this difference: what others say of a peer makes an instance look for
itself and never moves the peer, so that no number of liars can bury one who answers. Pure.

Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2018): local health.
"""

from math import log

from ..interface.clock import TICKS_PER_SECOND
from .replay_window import ReplayWindow

UNPROVED, ALIVE, SUSPECT, DEAD, LEFT = "unproved", "alive", "suspect", "dead", "left"
LOOKERS = 16  # of all instances, in a period, that look at one who was accused: it must answer them
LOOKS_LEAST = 4  # own probes that must fail before one is dead, however long that takes
LOOKS_MOST = 64  # accused at once that are looked at out of turn
HEALTH_MOST = 8  # Lifeguard's multiplier goes up to this plus one
FRAMES, ITEMS, DIGESTS = 128, 1024, 64  # windows of numbers; items remembered by their bytes
# (state, input) -> next state, effect. What is missing changes nothing.
LIFE = {
    (UNPROVED, "answered"): (ALIVE, "met"),
    (UNPROVED, "missed"): (UNPROVED, "rest"),
    (ALIVE, "missed"): (SUSPECT, "doubt"),
    (ALIVE, "accused"): (ALIVE, "look"),
    (ALIVE, "left"): (LEFT, "parted"),
    (ALIVE, "replaced"): (DEAD, "buried"),
    (SUSPECT, "answered"): (ALIVE, "cleared"),
    (SUSPECT, "spoke"): (ALIVE, "cleared"),
    (SUSPECT, "missed"): (SUSPECT, "again"),
    (SUSPECT, "accused"): (SUSPECT, "look"),
    (SUSPECT, "overdue"): (DEAD, "buried"),
    (SUSPECT, "left"): (LEFT, "parted"),
    (SUSPECT, "replaced"): (DEAD, "buried"),
    (DEAD, "answered"): (ALIVE, "met"),
    (DEAD, "missed"): (DEAD, "rest"),
    (LEFT, "answered"): (ALIVE, "met"),
    (LEFT, "missed"): (LEFT, "rest"),
}


class Member:
    """A peer of the ring as this instance knows it. Nothing of it counts before it has proved its present start by
    answering a nonce of ours."""

    __slots__ = (
        "name",
        "address",
        "state",
        "start",
        "incarnation",
        "offset",
        "since",
        "misses",
        "accusers",
        "looked",
        "frames",
        "items",
        "digests",
        "rested",
        "told_at",
    )

    def __init__(self, name):
        self.name, self.address, self.state, self.since, self.rested = name, None, UNPROVED, 0, 0
        self.looked, self.told_at = -TICKS_PER_SECOND, 0
        self.begin(None)

    def begin(self, start):
        """Another start of the same name: nothing said under the former one counts."""
        self.start, self.incarnation, self.offset, self.misses, self.accusers = (
            start,
            0,
            None,
            0,
            {},
        )
        self.frames, self.items, self.digests = ReplayWindow(FRAMES), ReplayWindow(ITEMS), {}

    def remember(self, number, digest):
        """Keeps what an item's bytes were, for a while: another content under its number is a lie in two tongues."""
        if len(self.digests) >= DIGESTS:
            del self.digests[next(iter(self.digests))]
        self.digests[number] = digest


class Members:
    def __init__(self, names, terms, chance):
        self.terms, self.chance, self.health = terms, chance, 0
        self.all = {name: Member(name) for name in names}
        self.live, self.order, self.looks, self.events = [], [], {}, []

    def rekey(self, names):
        """Another ring: names that left it are gone, new ones wait to be met."""
        for name in [name for name in self.all if name not in names]:
            del self.all[name]
        for name in names:
            self.all.setdefault(name, Member(name))
        self._count()
        self.order, self.looks = (
            [],
            {name: at for name, at in self.looks.items() if name in self.all},
        )

    def _count(self):
        self.live = [one for one in self.all.values() if one.state in (ALIVE, SUSPECT)]

    def step(self, member, what, now):
        """Takes an input into the table; effects are those named below."""
        before = member.state
        member.state, effect = LIFE.get((before, what), (before, None))
        if effect:
            getattr(self, "_" + effect)(member, now)
        if before != member.state:
            member.since = now
            self._count()
            self.events.append((member.name, before, member.state))

    def _met(self, member, now):
        member.misses, member.accusers, member.rested = 0, {}, 0

    _cleared = _met

    def _doubt(self, member, now):
        member.misses = 1

    def _again(self, member, now):
        member.misses += 1

    def _rest(self, member, now):
        """One that does not answer is asked again ever more seldom."""
        member.rested = min(member.rested + 1, 6)

    def _look(self, member, now):
        if member.name in self.looks or now - member.looked < self.terms.probe_every:
            return
        # Hundreds that looked at once would be more than it can answer, and be told so by each other.
        periods = int(self.chance.draw() * len(self.live) / LOOKERS)
        if len(self.looks) < LOOKS_MOST:
            self.looks[member.name] = now + periods * self.terms.probe_every

    def _parted(self, member, now):
        member.accusers = {}

    _buried = _parted

    def accused(self, member, group, now):
        """Somebody got no answer from it: the next probe is for it, and agreement of others shortens the doubt."""
        if len(member.accusers) < 16:
            member.accusers[group] = now
        self.step(member, "accused", now)

    def suspicion(self, member):
        """How long a doubt lasts, in tenths of a millisecond: long at first, shorter with each that agrees, and
        longer for one that finds itself unwell. Never shorter than a third."""
        full = self.terms.suspect_times * self.terms.probe_every * max(1.0, log(len(self.live) + 1))
        agreed = min(3, sum(1 for at in member.accusers.values() if at))
        return int(full * (1 - agreed * 2 / 9) * (1 + self.health / 2))

    def lapse(self, now):
        """Buries the suspects whose time is over, after probes of one's own that failed."""
        for member in self.live:
            if (
                member.state == SUSPECT
                and member.misses >= LOOKS_LEAST
                and now - member.since > self.suspicion(member)
            ):
                self.step(member, "overdue", now)

    def heal(self, change):
        """Local health: up with signs that it is this instance that is slow, down with probes answered."""
        self.health = max(0, min(HEALTH_MOST, self.health + change))

    def next_probes(self, now):
        """Whom to probe in this period: one by a shuffled round, then those to be looked at, suspects first."""
        if not self.order:
            self.order = [one.name for one in self.live]
            for at in range(
                len(self.order) - 1, 0, -1
            ):  # a round in random order, so that none waits two rounds
                other = int(self.chance.draw() * (at + 1))
                self.order[at], self.order[other] = self.order[other], self.order[at]
        chosen = []
        while self.order and not chosen:
            member = self.all.get(self.order.pop())
            if member and member.state in (ALIVE, SUSPECT):
                chosen.append(member)
        suspects = [one for one in self.live if one.state == SUSPECT]
        suspects.sort(key=lambda one: one.looked)
        due = [name for name, at in self.looks.items() if at <= now or name not in self.all][:2]
        looks = [self.all[name] for name in due if name in self.all]
        for name in due:
            del self.looks[name]
        for member in looks + suspects[:2]:
            if member not in chosen and member.state in (ALIVE, SUSPECT):
                chosen.append(member)
        for member in chosen:
            member.looked = now
        return chosen

    def to_prove(self, now, most):
        """Peers with an address who proved nothing yet, or are dead or gone: those whose rest is over."""
        found = [
            one
            for one in self.all.values()
            if one.address
            and one.state in (UNPROVED, DEAD, LEFT)
            and now - one.looked >= self.terms.probe_every * (1 << one.rested)
        ]
        found.sort(key=lambda one: one.looked)
        for member in found[:most]:
            member.looked = now
        return found[:most]

    def some(self, count, but=()):
        """So many live ones by lot."""
        pool = [one for one in self.live if one.state == ALIVE and one.name not in but]
        chosen = []
        while pool and len(chosen) < count:
            at = int(self.chance.draw() * len(pool))
            pool[at], pool[-1] = pool[-1], pool[at]
            chosen.append(pool.pop())
        return chosen
