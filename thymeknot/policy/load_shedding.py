"""Whether a transaction is taken in hand or turned away at once: a part of the decisions, see balance.py.
Each bound binds only as far as it is sure. Source: docs/design/admission.md."""

from ..interface.clock import TICKS_PER_SECOND
from ..interface.enums import Outcome
from ..state.sliding_window import SlidingWindow

GOAL_PART, LIMIT_LEAST = (
    0.5,
    16,
)  # of the latency goal: the mean time that the limit on open work aims at
LANE_PART, CALM, PRESSED = (
    (0.8, 1.25),
    "calm",
    "pressed",
)  # of the limit and the odds, by what the lane earns
FEW, QUIET = 5, 120  # sidecars that share the pods; transactions in 8 s that are too few to count
USUAL, FIRM, ROOM = (
    0.2,
    4,
    0.15,
)  # of the goal, if unknown; outcomes it weighs; of the rest: still in time
LOST, UP, DOWN = (
    0.75,
    0.005,
    0.02,
)  # to an answer; a step up is small, or an overload becomes the usual
# (state, many sidecars) -> standard deviations of open work left to chance, whether a quiet one draws lots.
# A quiet instance often has two open where one is the mean: the bare mean turned away a fifth of a calm day.
ADMITS = {
    (CALM, True): (3.0, False),
    (CALM, False): (0.0, False),
    (PRESSED, True): (0.0, True),
    (PRESSED, False): (0.0, True),
}


class LoadShedder:
    """One for each instance. Asked with every transaction, told of every outcome that says how pods are."""

    def __init__(self, settings):
        self.many, self.least = (
            settings.instances > FEW,
            max(3.0, LIMIT_LEAST * min(1.0, FEW / settings.instances)),
        )
        self.answers, self.heard, self.times, self.unheard = (
            SlidingWindow(2 * TICKS_PER_SECOND, 8) for _ in range(4)
        )
        self.usual, self.means, self.request_classes = USUAL, {}, {}

    def ended(self, now, request_class, end, share):
        """An outcome at a pod with this share of its capacity."""
        times = min(2.0, end.latency * share / request_class.latency_objective)
        late = (
            end.outcome == Outcome.TIMED_OUT
            and end.latency >= 0.99 * request_class.latency_objective
        )
        if late or end.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            self.unheard.add(now)
        elif end.outcome == Outcome.DONE:
            self.heard.add(now)
            self.times.add(now, times)
            apart = times - self.usual
            self.usual = min(GOAL_PART, self.usual + (UP if apart > 0 else DOWN) * apart)

    def answered(self, now, request_class, latency):
        self.answers.add(now, GOAL_PART * request_class.latency_objective)
        mean = self.means.get(request_class.name, latency)
        self.means[request_class.name], self.request_classes[request_class.name] = (
            max(1.0, mean + 0.03 * (latency - mean)),
            request_class,
        )

    def limit(self, now, request_class, since):
        """Open work may be what answers come for within part of the goal (Little's law), so no queue lasts.
        Lanes that earn least go first. No answers yet are no sign of overload. since: its first traffic."""
        come = (
            self.answers.total(now) / min(2 * TICKS_PER_SECOND, since)
            if since > TICKS_PER_SECOND
            else 1000.0
        )
        return max(self.least, come) * self.part(request_class)

    def part(self, request_class):
        worth = {
            name: self.request_classes[name].priority_weight / mean
            for name, mean in self.means.items()
        }
        low, high = min(worth.values(), default=0), max(worth.values(), default=0)
        rank = (
            (worth[request_class.name] - low) / (high - low)
            if request_class.name in worth and high > low
            else 0.5
        )
        return LANE_PART[0] + (LANE_PART[1] - LANE_PART[0]) * rank

    def pressure(self, now, open_):
        """The time that pods take over what is still in time: above 1 they queue. What is unknown is usual:
        few outcomes do not bind. Silence and refusals are a few pods' matter until they near the answers."""
        heard, late = self.heard.total(now), self.unheard.total(now)
        seen, times, bound = (
            heard + FIRM,
            self.times.total(now) + FIRM * self.usual,
            LOST * heard + 0.5,
        )
        if late + len(open_) > bound:  # else what is open could not tip it
            late += sum(
                now - request.attempts[-1].sent_at
                > GOAL_PART * request.request_class.latency_objective
                for request in open_
                if request.attempts and request.attempts[-1].in_flight
            )
        if late > bound:
            seen, times = seen + late, times + late
        return times / seen / (self.usual + ROOM * (1 - self.usual))

    def refused(self, now, request_class, open_, since, recent, draw):
        """None if it is taken, else (whether by the lot, what was looked at, what it was held to)."""
        pressure, limit = self.pressure(now, open_), self.limit(now, request_class, since)
        chance, by_lot = ADMITS[PRESSED if pressure > 1 else CALM, self.many]
        if len(open_) > limit + chance * limit**0.5:
            return False, len(open_), limit + chance * limit**0.5
        odds = self.part(request_class) / pressure if by_lot and recent < QUIET else 1.0
        return (True, pressure, odds) if odds < 1 and draw() > odds else None
