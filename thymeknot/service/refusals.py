"""Why work is turned away, summed: what is told of each final answer that is no answer of a pod becomes one log line
every few seconds, none where there was nothing. Bounded by the closed table of reasons."""

from ..reasons import Reason

EVERY = 50_000                  # tenths of a millisecond between two lines
FINAL = {Reason.DEFERRED: "deferred", Reason.ABANDONED: "abandoned"}
# What is told along the way and decides nothing by itself.
BESIDE = frozenset((Reason.POSITION, Reason.STAYS, Reason.ASTRAY, Reason.SENT, Reason.VOTED, Reason.SECOND_COPY,
                    Reason.DONE, Reason.LEFT))
# Where no pod will do, the reason before it says what kept the last ones out.
BEHIND = frozenset((Reason.COLD, Reason.UNREACHABLE, Reason.USED, Reason.OUTSIDE))


class Refusals:
    """The decisions' listener. hear(name, reason, *operands) is called as they decide; then: who hears it too."""

    def __init__(self, log):
        self.log, self.then = log, None
        self.last, self.behind, self.sent, self.counts, self.since = None, None, False, {}, None

    def hear(self, name, reason, *operands):
        if reason in FINAL:
            last = self.last.name if self.last else "NOTHING"
            if self.last is Reason.NO_POD and self.behind is not None:
                last = f"{last}/{self.behind.name}"
            key = FINAL[reason], last
            self.counts[key] = self.counts.get(key, 0) + 1
            self.last = self.behind = None
        elif reason not in BESIDE:
            self.behind = self.last if self.last in BEHIND else None
            self.last = reason
        if self.then is not None:
            self.then(name, reason, *operands)

    def due(self, now, **beside):
        """Writes what came together since the last line; gives when it wants to be called again."""
        if self.counts:
            told = {"deferred": {}, "abandoned": {}}
            for (how, why), count in sorted(self.counts.items(), key=lambda one: -one[1]):
                told[how][why] = count
            self.log("turned away", seconds=(now - self.since) / 10_000, **{how: of for how, of in told.items() if of},
                     **beside)
            self.counts = {}
        self.since = now
        return now + EVERY
