"""Policies to compare with, and such as break one rule each, by which the checkers are checked. All have the Balancer's
face: handle(now, events) -> actions. They vote by the clock, on after a while, or not at all."""

from ..interface.actions import CastVote, Fail, Reject, SendAttempt, SetTimer
from ..interface.enums import (
    EndpointCondition,
    Idempotency,
    Outcome,
    ReleasePhase,
    UpdateKind,
    Verdict,
)
from ..interface.events import (
    AttemptEnded,
    EndpointUpdate,
    ReleaseUpdate,
    RequestReceived,
    TimerFired,
)
from ..state.random_source import LinearCongruentialGenerator

VOTE_AFTER = 50_000


class Plain:
    """What the policies share: the list, the news, open transactions, the cap's budget; one delivery, no other."""

    def __init__(self, terms, seed, now, votes=True):
        self.terms, self.chance, self.votes = terms, LinearCongruentialGenerator(seed), votes
        self.pods, self.news, self.open, self.out, self.staged_at = {}, None, {}, {}, now
        self.taken, self.tried, self.actions, self.now, self.set = [], [], [], now, False
        self.pins, self.turn = set(), 0

    def handle(self, now, events):
        self.now, self.actions = now, []
        for event in events:
            one = self.EVENTS.get(type(event))
            if one:
                one(self, event)
        if not self.set:
            self.set = True
            self.actions.append(SetTimer(now + 5000, 0))
        return self.actions

    def _listed(self, event):
        if event.kind not in (UpdateKind.DELTA, UpdateKind.FETCH_FAILED):
            self.pods = {}
        for pod in event.endpoints:
            if pod.condition == EndpointCondition.READY:
                self.pods[pod.address] = pod
            else:
                self.pods.pop(pod.address, None)

    def _told(self, news):
        if news.outcome != Outcome.DONE:
            return
        if self.news is None or (news.build, news.stage) != (self.news.build, self.news.stage):
            self.staged_at = self.now
        if self.news is None or news.build != self.news.build:
            self.tried, self.pins = [], set()
        self.news = news

    def _tick(self, event):
        self.actions.append(SetTimer(self.now + 5000, 0))
        news = self.news
        if (
            self.votes
            and news
            and news.phase == ReleasePhase.ON_TRIAL
            and self.now >= self.staged_at + VOTE_AFTER
        ):
            self.actions.append(CastVote(news.build, news.stage, Verdict.PROMOTE))

    def _may_try(self, lane):
        """The cap, counted plainly; the trial's guarded stages; its own part alone."""
        news, since = self.news, self.now - self.terms.exposure_window
        if news.phase == ReleasePhase.RELEASED:
            return True
        if news.phase != ReleasePhase.ON_TRIAL or (
            news.stage < self.terms.guarded_stages and lane.idempotency != Idempotency.IDEMPOTENT
        ):
            return False
        self.taken, self.tried = (
            [at for at in one if at > since] for one in (self.taken, self.tried)
        )
        # Of those taken, the oldest leave the window before the deliveries do: half of them must carry it.
        late = [at for at in self.taken if at > since + self.terms.exposure_window // 2]
        return len(self.tried) + 1 <= self.terms.exposure_allowance / 2 + news.cap * min(
            len(late), len(self.taken) / 2
        )

    def _take(self, event):
        lane = self.terms.request_classes[event.request_class]
        self.taken.append(self.now)
        newest = self.news.build if self.news else 0
        trial = [pod for pod in self.pods.values() if pod.build == newest]
        usual = [
            pod
            for pod in self.pods.values()
            if pod.build < newest or self.news.phase == ReleasePhase.RELEASED
        ]
        key = event.key or event.id
        stays = key in self.pins and self.news.phase in (
            ReleasePhase.ON_TRIAL,
            ReleasePhase.RELEASED,
        )
        may = bool(trial) and self._may_try(lane)
        part = len(trial) / max(1, len(self.pods))
        if may and (stays or not usual or self.chance.draw() < part):
            pool = trial
            if self.news.phase == ReleasePhase.ON_TRIAL:
                self.tried.append(self.now)
        else:
            pool = [] if stays else usual
        if not pool:
            self.actions.append(Reject(event.id, self.terms.max_retry_after))
            return
        pod = self.choose(pool)
        self.open[event.id] = pod, key, lane
        self.out[pod.address] = self.out.get(pod.address, 0) + 1
        self.actions.append(SendAttempt(event.id, pod.address, event.time_left))

    def choose(self, pool):
        return pool[int(self.chance.draw() * len(pool))]

    def _ended(self, event):
        held = self.open.pop(event.id, None)
        if held is None:
            return
        pod, key, lane = held
        self.out[pod.address] -= 1
        if event.outcome == Outcome.DONE:
            if pod.build == self.news.build and len(self.pins) < 20_000:
                self.pins.add(key)
        elif not event.closed:
            unrun = event.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
            if unrun or lane.idempotency == Idempotency.IDEMPOTENT:
                self.actions.append(Reject(event.id, self.terms.max_retry_after))
            else:
                self.actions.append(Fail(event.id))

    EVENTS = {
        EndpointUpdate: _listed,
        ReleaseUpdate: _told,
        TimerFired: _tick,
        RequestReceived: _take,
        AttemptEnded: _ended,
    }


class Random(Plain):
    """By chance among the pods of the side that the cap lets."""


class Turns(Plain):
    def choose(self, pool):
        self.turn += 1
        return pool[self.turn % len(pool)]


class LeastOut(Plain):
    """The pod with the fewest deliveries of one's own out."""

    def choose(self, pool):
        least = min(self.out.get(pod.address, 0) for pod in pool)
        some = [pod for pod in pool if self.out.get(pod.address, 0) == least]
        return some[int(self.chance.draw() * len(some))]


class TwoChoices(Plain):
    """The one with fewer out of two drawn by chance."""

    def choose(self, pool):
        two = [pool[int(self.chance.draw() * len(pool))] for _ in range(2)]
        return min(two, key=lambda pod: self.out.get(pod.address, 0))


class Answerless(Plain):
    """Breaks rule 1: of one transaction it never says anything."""

    def _ended(self, event):
        if event.outcome != Outcome.DONE and not hasattr(self, "dropped"):
            self.dropped = self.open.pop(event.id, None)
            return
        Plain._ended(self, event)

    EVENTS = {**Plain.EVENTS, AttemptEnded: _ended}


class Repeats(Plain):
    """Breaks rule 2: sends a binding transaction again that may have run."""

    def _ended(self, event):
        held = self.open.get(event.id)
        if (
            held
            and event.outcome == Outcome.ERROR
            and held[2].idempotency == Idempotency.NON_IDEMPOTENT
            and not event.closed
            and event.number == 0
        ):
            self.actions.append(
                SendAttempt(event.id, self.choose(list(self.pods.values())).address, 5000)
            )
            return
        Plain._ended(self, event)

    EVENTS = {**Plain.EVENTS, AttemptEnded: _ended}


class Undrained(Plain):
    """Breaks rule 3: goes on sending to what drains."""

    def _listed(self, event):
        Plain._listed(
            self,
            event._replace(
                endpoints=tuple(
                    pod._replace(condition=EndpointCondition.READY)
                    if pod.condition == EndpointCondition.DRAINING
                    else pod
                    for pod in event.endpoints
                )
            ),
        )

    EVENTS = {**Plain.EVENTS, EndpointUpdate: _listed}


class Pushes(Plain):
    """Breaks rule 4: whatever has started last gets all of its side."""

    def choose(self, pool):
        last = max(pod.started for pod in pool)
        return next(pod for pod in pool if pod.started == last)


class Exposes(Plain):
    """Breaks rule 5: sends to the trial whatever it likes."""

    def _may_try(self, lane):
        return True


TEXTBOOK = {"random": Random, "turns": Turns, "least-out": LeastOut, "two-choices": TwoChoices}
BREAKERS = {1: Answerless, 2: Repeats, 3: Undrained, 4: Pushes, 5: Exposes}
