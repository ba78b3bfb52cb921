"""Halts: what stops, why, and what ends it. A halt holds asks, ends permits that were not begun, and stops releases.
It never holds one that is out from coming back."""

from .targets import CommandRejectedError, chosen, spoken

HALTS_MOST = 256
# cause: (holds the asks of ways back, stops ways back of releases, ends when its budget is whole again). A budget that
# is broken in the middle of a way back must not stop it: those who broke it may be the very ones that have to go back.
CAUSES = {
    "operator": (True, True, False),
    "vote": (True, True, False),
    "budget": (False, False, True),
    "crashes": (False, False, False),
    "gang": (True, True, False),
    "class": (True, True, False),
}


class Halt:
    __slots__ = ("number", "where", "release", "room", "cause", "why", "by", "at")

    def __init__(self, number, where, release, room, cause, why, by, at):
        self.number, self.where, self.release, self.room = number, where, release, room
        self.cause, self.why, self.by, self.at = cause, why, by, at

    def plain(self):
        return [getattr(self, name) for name in self.__slots__]

    def sentence(self):
        where = f"release {self.release}" if self.release else spoken(self.where)
        return f"halt {self.number} by {self.by} of {where}: {self.why}"


class Halts:
    def __init__(self):
        self.number, self.all = 0, {}

    def add(self, at, cause, why, by, where=None, release=None, room=None):
        """One more, or the one that already says the same. Raises Refusal if there are too many to keep."""
        for halt in self.all.values():
            if (halt.cause, halt.where, halt.release, halt.room, halt.by) == (
                cause,
                where,
                release,
                room,
                by,
            ):
                # Said again it is newer: a way back that was ordered before it stops too.
                del self.all[halt.number]
                break
        else:
            if len(self.all) >= HALTS_MOST:
                raise CommandRejectedError(
                    f"{HALTS_MOST} halts stand already; one of all units needs no more beside it"
                )
        self.number += 1
        halt = self.all[self.number] = Halt(self.number, where, release, room, cause, why, by, at)
        return halt

    def holding(self, unit, release):
        """The halt that holds a unit's ask, or None. `release`: the one that asks, whose way back was ordered in
        knowledge of all halts up to its `knows`."""
        ask = unit.ask
        for halt in self.all.values():
            if ask.back and (not CAUSES[halt.cause][0] or release and halt.number <= release.knows):
                continue
            if halt.release is not None:
                if release and halt.release == release.name:
                    return halt
            elif chosen(halt.where, unit.labels):
                return halt
        return None

    def stopping(self, release, labels, back):
        """The halt that stops a release with units of these labels, or None."""
        for halt in self.all.values():
            if (
                CAUSES[halt.cause][2]
                or back
                and (not CAUSES[halt.cause][1] or halt.number <= release.knows)
            ):
                continue
            if (
                halt.release == release.name
                or halt.release is None
                and any(chosen(halt.where, one) for one in labels)
            ):
                return halt
        return None

    def mend(self, fleet):
        """Ends the halts of budgets that are whole again for long enough, or are no more."""
        for halt in [one for one in self.all.values() if CAUSES[one.cause][2]]:
            room = fleet.rooms.get(halt.room)
            if room is None or room.whole and fleet.at - room.mended >= fleet.terms.rest:
                del self.all[halt.number]
                fleet.freed = True

    def image(self):
        return [self.number, [halt.plain() for _, halt in sorted(self.all.items())]]

    def load(self, image):
        self.number, self.all = image[0], {plain[0]: Halt(*plain) for plain in image[1]}
