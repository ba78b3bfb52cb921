"""When one of many asks a service again: each has only its own outcomes to go by, and their sum must come down.

Times are whole tenths of a millisecond. Source: docs/design/vast.md.
"""

from ..interface.clock import TICKS_PER_SECOND

AGAIN = (
    2_000,
    8_000,
)  # after an asking that the service had no part in; by chance, so that a crowd spreads
LONGEST = 8 * TICKS_PER_SECOND  # between two askings at most: what is told late must still be told
LONGEST_FREE = TICKS_PER_SECOND  # of a peer that serves this one alone, at no cost
STEADY = 2 * TICKS_PER_SECOND  # what ends sooner after its asking was refused, though it had begun
# All ask first within it, for each that asks and in all: such a service takes one call of each in 2 to 8 s, and what it
# has counts as told after 6 s.
SPREAD, SPREAD_MOST = 1_000, 6 * TICKS_PER_SECOND

FRESH, WARNED, TURNED_AWAY = "fresh", "warned", "turned away"
REFUSED, LOST, SPOILT, STOOD = "refused", "lost", "spoilt", "stood"
# (state, input) -> next state, what the count of refusals in a row becomes. A refusal says that all ask too much;
# a link that is cut says nothing of that, and changes nothing. An answer that is spoilt may be one of few; the next one
# says that the service makes no sense, and asking it twice a second for ever helps nobody.
PACE = {
    (FRESH, REFUSED): (TURNED_AWAY, 1),
    (FRESH, LOST): (FRESH, 0),
    (FRESH, STOOD): (FRESH, 0),
    (TURNED_AWAY, REFUSED): (TURNED_AWAY, 1),
    (TURNED_AWAY, LOST): (TURNED_AWAY, 0),
    (TURNED_AWAY, STOOD): (FRESH, None),
    (FRESH, SPOILT): (WARNED, 0),
    (WARNED, SPOILT): (TURNED_AWAY, 1),
    (TURNED_AWAY, SPOILT): (TURNED_AWAY, 1),
    (WARNED, REFUSED): (TURNED_AWAY, 1),
    (WARNED, LOST): (WARNED, 0),
    (WARNED, STOOD): (FRESH, None),
}


class AdaptiveInterval:
    """One for each service that is asked. draw() gives chance from 0 to 1, seeded from outside."""

    def __init__(self, draw, longest=LONGEST):
        self.draw, self.longest, self.state, self.refusals = draw, longest, FRESH, 0

    def first(self, asking):
        """How long to wait before the first asking, where so many ask."""
        return int(self.draw() * min(SPREAD_MOST, SPREAD * asking))

    def ended(self, how, age=0):
        """An asking, or what it brought, ended: REFUSED, LOST, SPOILT or STOOD. age: since it was asked for; what was
        refused or spoilt after it had stood for a while was not turned away. Gives how long to wait."""
        if how in (REFUSED, SPOILT) and age >= STEADY:
            how = STOOD
        self.state, step = PACE[self.state, how]
        self.refusals = 0 if step is None else self.refusals + step
        return self.wait()

    def wait(self):
        """Four times what is usual after the first refusal, twice that after each further one, up to the longest."""
        least, most = AGAIN
        wait = least + int(self.draw() * (most - least))
        if self.state != TURNED_AWAY:
            return wait
        return min(wait << min(self.refusals + 1, 10), int(self.longest * (0.5 + self.draw() / 2)))
