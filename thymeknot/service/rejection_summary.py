"""Why work is turned away, summed: what is told of each final answer that is no answer of a pod becomes one log line
every few seconds, none where there was nothing. Bounded by the closed table of reasons."""

from ..interface.reasons import Reason

EVERY = 50_000  # tenths of a millisecond between two lines
FINAL = {Reason.DEFERRED: "deferred", Reason.ABANDONED: "abandoned"}
BESIDE, DECIDES, BEHIND, ENDS = range(4)
# What a reason is to a final answer, by its number: nothing, what decided it, what kept the last pods out where none
# will do, or the answer itself. A list, since it is asked several times for every transaction.
ROLE = [DECIDES] * (max(Reason) + 1)
for _some, _role in (
    (
        (
            Reason.POSITION,
            Reason.STAYS,
            Reason.ASTRAY,
            Reason.SENT,
            Reason.VOTED,
            Reason.SECOND_COPY,
            Reason.ENDED,
            Reason.DONE,
            Reason.LEFT,
        ),
        BESIDE,
    ),
    ((Reason.UNREACHABLE, Reason.DOUBTED, Reason.USED, Reason.COLD, Reason.OUTSIDE), BEHIND),
    (FINAL, ENDS),
):
    for _reason in _some:
        ROLE[_reason] = _role


class RejectionSummary:
    """The decisions' listener. hear(name, reason, *operands) is called as they decide; then: who hears it too."""

    def __init__(self, log):
        self.log, self.then, self.counts, self.since = log, None, {}, None
        self.name = self.last = self.behind = None

    def hear(self, name, reason, *operands):
        role = ROLE[reason]
        if role:
            self._count(name, reason, role)
        if self.then is not None:
            self.then(name, reason, *operands)

    def _count(self, name, reason, role):
        if name != self.name:  # what decided another transaction says nothing of this one
            self.name, self.last, self.behind = name, None, None
        if role == BEHIND:
            self.behind = reason
        elif role == DECIDES:
            self.last = reason
        else:
            why = self.last.name if self.last else "NOTHING"
            if self.last is Reason.NO_POD and self.behind is not None:
                why = f"{why}/{self.behind.name}"
            key = FINAL[reason], why
            self.counts[key] = self.counts.get(key, 0) + 1
            self.name = None

    def due(self, now, **beside):
        """Writes what came together since the last line; gives when it wants to be called again."""
        if self.counts:
            told = {"deferred": {}, "abandoned": {}}
            for (how, why), count in sorted(self.counts.items(), key=lambda one: -one[1]):
                told[how][why] = count
            self.log(
                "turned away",
                seconds=(now - self.since) / 10_000,
                **{how: of for how, of in told.items() if of},
                **beside,
            )
            self.counts = {}
        self.since = now
        return now + EVERY
