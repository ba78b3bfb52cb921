"""All decisions of thymeknot: where a transaction goes, when it is answered, how the new build is voted on.

Make one Balancer(terms, seed, now) per sidecar and call handle(now, events) with the events of one moment, in
order; it returns the actions. Types: interface.py; records: records.py; sources: docs/design.md."""

from math import inf, log

from ..interface.actions import (
    CancelAttempt,
    CastVote,
    Fail,
    LogNote,
    Reject,
    SendAttempt,
    SetTimer,
    SubscribeToEndpoints,
)
from ..interface.clock import TICKS_PER_SECOND
from ..interface.enums import (
    UTILISATION,
    DeduplicationScope,
    EndpointCondition,
    Idempotency,
    Outcome,
    PromotionMode,
    ReleasePhase,
    UpdateKind,
    Verdict,
)
from ..interface.events import (
    AttemptEnded,
    ClientDisconnected,
    ComplaintReceived,
    EndpointUpdate,
    FleetCounts,
    LateResponseSeen,
    ReleaseUpdate,
    RequestReceived,
    ResponseStarted,
    SuspicionReported,
    TimerFired,
)
from ..interface.reasons import Reason as R
from ..state.endpoint_state import age_at_fraction, apply_update, order_by_rank
from ..state.fleet_baseline import FleetBaseline
from ..state.key_hash import key_position
from ..state.random_source import LinearCongruentialGenerator
from ..state.request_state import AttemptState, RequestState
from ..state.sliding_window import SlidingWindow, window_of
from .load_shedding import FEW, LoadShedder
from .voting import describe_vote

# The ramp and the test, as the design page starts them; slowness is tested like failure, more strictly.
RAMP_TIME, RAMP_SHARE, LISTED = (
    2 * TICKS_PER_SECOND,
    0.8,
    0.75,
)  # of a stage's pods: listed, for a vote for on
P1_OVER_P0, P0_FLOOR = {"failed": 5.0, "slow": 5.0}, {"failed": 0.01, "slow": 0.1}
FALSE_BACK, FALSE_ON, SLOW_STRICTER = 0.05, 0.2, 10
ON_BOUND = log(FALSE_ON / (1 - FALSE_BACK))
ENOUGH_OUTCOMES, AFTER_START, QUIET_FOR, AT_ONCE = (
    20,
    3 * TICKS_PER_SECOND,
    5 * TICKS_PER_SECOND // 2,
    2 * TICKS_PER_SECOND,
)
HOLD_PART, ONE_PERIOD = (
    0.5,
    0.6,
)  # of the back bound: holds; a period's tallies; a second's, one vote acts:
ONE_SECOND = {
    ("failed", True): 0.75,
    ("failed", False): 9.0,
    ("slow", True): 0.5,
    ("slow", False): 0.5,
}
ONE_POD, ONE_ZONE = {"failed": 0.55, "slow": 0.45}, 0.9  # one of them adds so much: never the whole
COLD_FAILS, FREED_FAILS, TIMES, TIMES_MOST = (
    0.3,
    0.15,
    1.5,
    3.0,
)  # in tallies: may fail cold, freed; slow
BASELINE, WARM_ENOUGH, SLOW_QUANTILE = 5, 0.75, 0.9  # outcomes, and warmth, that say something
ILL_FOR = {
    False: 5 * TICKS_PER_SECOND,
    True: 12 * TICKS_PER_SECOND,
}  # slowness of all may pass; True: machines replaced
BUSIER, MARGIN, BLAMED_FROM, LEARNT, PERIODS = (
    1.5,
    1.3,
    0.15,
    0.25,
    3,
)  # excuses; slow; ramp; of one; awaited
LOUD, SETTLED, MATURE, USUAL_SHED = (
    15,
    3 * TICKS_PER_SECOND,
    20,
    0.05,
)  # rate, age, outcomes, deferrals: the usual
EARLIER, WAY_FAILS = (
    ("all", "failed", "slow", "error", "way"),
    0.02,
)  # of its outcomes: an unsound way
HOT_SHARE, HOT_LEAST, KEYS_MOST = (
    0.03,
    8,
    10_000,
)  # of all with keys; lately; answered or failed, remembered
SHUN, SHUN_MOST, FORGOTTEN = (
    TICKS_PER_SECOND // 2,
    4 * TICKS_PER_SECOND,
    0.5,
)  # an unreachable pod; of failures, at each exchange
UPKEEP, UPKEEP_MOST, EXCHANGE = (
    TICKS_PER_SECOND // 20,
    TICKS_PER_SECOND // 4,
    4 * TICKS_PER_SECOND,
)  # the second with hardly any traffic
DRAWN, LOOK, CROWD, FEW_PODS = (
    6,
    24,
    0.75,
    (3, 5),
)  # pods in use; looked at; sidecars a pod; to quiet, loud
COLD_PART, COLD_LEAST, COLD_LOTS, RATE_UP, RATE_DOWN = (
    0.5,
    4,
    3,
    4 * TICKS_PER_SECOND,
    20 * TICKS_PER_SECOND,
)  # of a fall; spans
SECOND_COPIES, RETRIES, COPY_AFTER = (
    0.05,
    0.15,
    (3.0, 0.4),
)  # of all; times mean, goal of its lane: the later

NEW, OUT, OVER, ANY, USUAL, TRIAL, FREED, FALLEN = (
    "new out over any usual trial freed fallen".split()
)
# A transaction's life: (state, input) -> next state, effect. What is missing changes nothing.
LIFE = {
    (NEW, "taken"): (OUT, "place"),
    (OUT, "given up"): (OVER, "turn_away"),
    (OUT, "left"): (OVER, "close"),
    (OUT, "unrun"): (OUT, "again"),
    (OUT, "perhaps run"): (OUT, "again"),
    (OUT, "slow"): (OUT, "second"),
    (OUT, "answered"): (OVER, "close"),
    (OVER, "answered"): (OVER, "forget"),
    (OVER, "unrun"): (OVER, "forget"),
    (OVER, "perhaps run"): (OVER, "forget"),
}
PROOF = {
    Outcome.DONE: "answered",
    Outcome.ERROR: "perhaps run",
    Outcome.TIMED_OUT: "perhaps run",
    Outcome.RESET: "perhaps run",
    Outcome.CANCELLED: "perhaps run",
    Outcome.REJECTED: "unrun",
    Outcome.CONNECT_FAILED: "unrun",
    Outcome.NOT_SENT: "unrun",
}


# The newest build's life here: (state, input) -> next state, effect. A build not met on trial is usual.
BUILD = {
    (ANY, "offered"): (TRIAL, "begin"),
    (ANY, "met"): (USUAL, "begin"),
    (TRIAL, "moved"): (TRIAL, "go_on"),
    (ANY, "fell"): (FALLEN, "begin"),
    (FALLEN, "fell"): (FALLEN, None),
    (TRIAL, "released"): (FREED, "go_on"),
}


class DecisionEngine:
    """say(id, reason, *operands): is told why, where and when it is decided; id is None for votes."""

    def __init__(self, settings, seed, now, say=None):
        self.say, self.subject = say, None
        self.settings, self.now, self.chance, self.actions, self.born = (
            settings,
            now,
            LinearCongruentialGenerator(seed),
            [],
            None,
        )
        self.pods, self.turn, self.watch_at, self.upkeep, self.fleet = {}, 0, now, 0, 1
        self.sides, self.drawn, self.exchange_at = {True: [], False: []}, {True: [], False: []}, now
        self.room, self.warm, self.warm_at = {True: 0.0, False: 0.0}, 0.0, 0
        self.open, self.due, self.tokens, self.keys, self.keys_at = {}, {}, 0, {}, now
        self.most = [
            min(most, 1 + most * FEW / settings.instances) for most in (20.0, 5.0)
        ]  # it adds up
        self.retries, self.copies, self.admission = (
            self.most[0] / 4,
            self.most[1] / 4,
            LoadShedder(settings),
        )
        self.arrivals, self.fresh, self.shed, self.served = (
            SlidingWindow(s * TICKS_PER_SECOND, 2 * s) for s in (8, 8, 8, 4)
        )
        self.lost, self.warm_rate, self.means, self.crowd = (
            0.0,
            0.0,
            self.admission.means,
            FleetBaseline(),
        )
        self.marks, self.taken, self.p0, self.pins, self.met = {}, {}, dict(P0_FLOOR), set(), {}
        self.earlier = {what: SlidingWindow(8 * TICKS_PER_SECOND, 16) for what in EARLIER}
        # All share the allowed error; where many must err together, each may err more (Poisson tail's bound).
        needed, self.warm_by = (
            settings.votes_to_revert,
            age_at_fraction(WARM_ENOUGH, settings, AFTER_START),
        )
        together = needed * (FALSE_BACK if needed == 1 else 0.7 * FALSE_BACK ** (1 / needed))
        odds = (1 - FALSE_ON) / min(FALSE_BACK, together / settings.instances)
        self.back_at = {"failed": log(odds), "slow": log(odds * SLOW_STRICTER)}
        self.bounds = dict(self.back_at)
        self.turn_of_all = int(settings.instances / settings.votes_per_second * TICKS_PER_SECOND)
        self.in_turns = max(0, self.turn_of_all - AT_ONCE)
        self.renew = min(
            0.8 * settings.vote_lifetime, max(settings.vote_lifetime // 2, self.turn_of_all)
        )
        self.vote, self.vote_at, self.asked, self.ask_at, self.rows, self.rows_at = (
            None,
            0,
            None,
            now,
            [],
            0,
        )
        self.news, self.build, self.by_votes = (
            None,
            USUAL,
            settings.promotion_mode != PromotionMode.TIMER,
        )
        self._begin()

    def handle(self, now, events):
        self.now, self.actions = now, []
        for event in events:
            self.subject = getattr(event, "id", None)
            self.EVENTS.get(type(event), lambda *_: None)(self, event)
        return self.actions if self.upkeep else self._tick(TimerFired(0)) or self.actions

    def _why(self, reason, *operands):
        if self.say:
            self.say(self.subject, reason, *operands)

    def _listed(self, event):
        if (
            event.kind == UpdateKind.FETCH_FAILED
        ):  # the watch may have dropped; a call that fails at once must not storm
            self.watch_at = min(
                self.watch_at, self.now + int((1 + self.chance.draw()) * TICKS_PER_SECOND)
            )
            return
        self.pods = apply_update(self.pods, event, self.settings.overload_window)
        self._sort()

    def _sort(self):
        """Parts the ready pods by build, once for each change: no attempt looks through the whole list."""
        for known in self.sides[True] + self.sides[False]:
            known.on_newest_build = None
        build, self.sides = self.news.build if self.news else 0, {True: [], False: []}
        for known in self.pods.values():
            if known.listed.condition == EndpointCondition.READY and known.listed.build <= build:
                known.on_newest_build = known.listed.build == build
                self.sides[known.on_newest_build].append(known)
        self.zones = len({known.listed.zone for known in self.sides[True]})
        self._draw(True)
        self._draw(False)
        self._measure()

    def _crowd(self):
        self.fleet = max(self.fleet, *map(len, self.sides.values()))  # a lost zone makes no crowd
        return self.settings.instances >= CROWD * self.fleet

    def _measure(self):
        """What the ready pods of each side can carry at least, and the sum of the warm ones' sizes."""
        self.warm, self.room, lots = 0.0, {True: 0.0, False: 0.0}, COLD_LOTS if self._crowd() else 1
        for known in self.sides[True] + self.sides[False]:
            share = known.warmup_fraction(self.now, self.settings)
            self.room[known.on_newest_build] += known.listed.size * share**lots
            self.warm += known.listed.size * (share == 1.0)
            self.warm_at = max(
                self.warm_at, known.listed.started + self.settings.warmup_duration + UPKEEP_MOST
            )

    def _draw(self, new, drop=()):
        """Draws the pods in use, by lots: with all, the quiet dial each time. drop: these go last."""
        side, fit = (
            self.sides[new],
            self.arrivals.total(self.now) * (1 - self.lost) ** 4,
        )  # who refuse: fewer
        self.drawn[new] = order_by_rank(side, drop, self.chance)[: max(DRAWN, int(fit))]

    def _cold_room(self, known, share):
        """Rule 4. Each keeps to its part of what warm pods are seen to take; the fewer pods it uses, the less
        others use this one. With a part of less than a attempt each pod and span is drawn for."""
        rate, span = self.warm_rate * known.listed.size, self.settings.overload_window
        part = max(
            COLD_PART * self.settings.overload_factor * share * rate * span / TICKS_PER_SECOND,
            COLD_LEAST / self.settings.instances,
        )
        part *= len(self.sides.get(known.on_newest_build, ())) / (
            len(self.drawn.get(known.on_newest_build, ())) or 1
        )
        if known.random_share[0] != self.now // span:
            known.random_share = self.now // span, self.chance.draw()
        return known.recent_attempts.total(self.now) + 1 <= part + known.random_share[1]

    def _told(self, news):
        if news.answers_vote:
            self._vote_answered(news)
        if news.outcome != Outcome.DONE:
            return
        old, self.news = self.news, news
        if old is None or old.build != news.build:
            self.pins, self.met = set(), {}
            self._sort()
            change = "offered" if news.phase == ReleasePhase.ON_TRIAL else "met"
        elif old.phase != news.phase:
            change = {ReleasePhase.ON_TRIAL: "offered", ReleasePhase.RELEASED: "released"}.get(
                news.phase, "fell"
            )
        else:
            change = "moved" if old.stage != news.stage else None
        self.build, effect = BUILD.get(
            (self.build, change), BUILD.get((ANY, change), (self.build, None))
        )
        if effect:
            getattr(self, "_" + effect)()

    def _begin(self):
        self.places, self.ramp, self.tried = len(self.sides[False]), float(self.build == USUAL), {}
        self.usual, self.all_slow, self.ill_since, self.sums, self.by_pod = None, 0.0, None, {}, {}
        self._go_on()

    def _go_on(
        self,
    ):  # failures are kept, or the quiet never have enough; each stage's cold pods are slow
        self.ramped, self.clear_since = self.now, self.now
        # Each has its place: the first fit into what the platform takes at once, the others come one by one.
        turn = max(0.0, self.chance.draw() * self.turn_of_all - AT_ONCE)
        self.offset = turn - min(self.in_turns, self.warm_by) / 2
        self.sums = self.left = {"failed": max(0.0, self.sums.get("failed", 0.0)), "slow": 0.0}
        self.by_pod = {key: had for key, had in self.by_pod.items() if "failed" in key[0]}
        self.seen, self.doubt, self.swarm, self.bad_keys, self.saying_back = (
            0,
            0.0,
            {},
            set(),
            False,
        )

    def _climb(self):
        """The design's: it climbs to what the trial's ready pods can carry, and does not fall."""
        if self.news and self.news.phase in (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED):
            part = self.room[True] / (sum(self.room.values()) or 1.0)
            part *= (
                self.ill_since is None or not self._crowd()
            )  # what slows all in step gets no more
            target = (
                min(RAMP_SHARE * self.news.cap, part)
                if self.news.phase == ReleasePhase.ON_TRIAL
                else 1.0
            )
            step = target * (self.now - self.ramped) / RAMP_TIME
            self.ramp, self.ramped = max(self.ramp, min(target, self.ramp + step)), self.now

    def _ring(self, rings, request_class):
        return window_of(
            rings,
            self.settings.exposure_by_class and request_class.name,
            self.settings.exposure_window,
            120,
        )

    def _may_try(self, request_class, first=False):
        """Rule 5, also for windows still to come: this one's later parts must carry themselves. first: taken now."""
        news = self.news
        guarded = news.phase == ReleasePhase.ON_TRIAL and news.stage < self.settings.guarded_stages
        if news.phase == ReleasePhase.RELEASED:
            return True
        if guarded and request_class.idempotency != Idempotency.IDEMPOTENT:
            return self._why(R.GUARDED, news.stage, self.settings.guarded_stages) or False
        taken, tried, free = (
            self._ring(self.taken, request_class),
            self._ring(self.tried, request_class),
            self.settings.exposure_allowance,
        )
        if news.cap <= 0:
            return self._why(R.CLOSED, news.phase, news.cap) or False
        may = (
            first and news.cap >= 1
        ) or all(  # each window with the one attempt has the one taken, too
            tried.total(self.now, False, back) + 1
            <= free + news.cap * taken.total(self.now, True, back)
            for back in (120, 90, 60, 30)
        )
        if not may:
            self._why(
                R.EXPOSURE, tried.total(self.now), taken.total(self.now, True), news.cap, free
            )
        return may

    def _judge(self, request, known, outcome, latency):
        if self.news is None or outcome in (Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        share, build, failed = (
            known.warmup_fraction(self.now, self.settings),
            known.listed.build,
            outcome != Outcome.DONE,
        )
        cell = request.request_class.name, known.listed.machine
        mark, settled, mean = self.marks.get(cell, (2.0 * latency, 0, max(1, latency)))
        way, judging = (
            outcome in (Outcome.RESET, Outcome.CONNECT_FAILED),
            self.build in (TRIAL, FREED),
        )
        slow = outcome == Outcome.TIMED_OUT or (not failed and latency * share > mark)
        if judging and share == 1.0:
            self._judge_all(cell, outcome, latency)
        if build < self.news.build or not judging:
            if share == 1.0 and outcome in (Outcome.DONE, Outcome.TIMED_OUT):
                gain = max(0.05, 1 / (2 + 0.2 * settled))
                rise = 1 + gain * (SLOW_QUANTILE - 1 + slow)
                self.marks[cell] = mark * rise, settled + 1, mean + 0.4 * gain * (latency - mean)
            for what, one in zip(
                EARLIER, (1, failed and not way, slow, outcome == Outcome.ERROR, way)
            ):
                self.earlier[what].add(self.now, one)
        elif build == self.news.build:
            compared = self._compare() and self.news.phase == ReleasePhase.ON_TRIAL
            # A cold pod's time-outs prove nothing of the build, nor does what is lost on the way where the
            # earlier build does not show that sound. One key that fails again and again is one failure.
            seen, lost = (self.earlier[what].total(self.now) for what in ("all", "way"))
            sound = compared and lost < max(2, WAY_FAILS * seen)
            if (
                (outcome == Outcome.TIMED_OUT and (share < 1.0 or not compared))
                or (way and not sound)
                or (failed and request.key in self.bad_keys)
            ):
                return
            self.bad_keys.update([request.key] if failed and len(self.bad_keys) < KEYS_MOST else [])
            self.seen += 1
            alone = (
                outcome in (Outcome.DONE, Outcome.ERROR)
                and len(self.sides[True]) <= FEW_PODS[0]
                and not self._few()
            )
            self._add("failed", failed, None if alone else known.listed)
            # A build may be slow and never fail. In a burst a pod's time hangs on the load more than on it.
            if compared and settled and share >= WARM_ENOUGH and self._busier() <= BUSIER:
                self._add("slow", slow, known.listed)

    def _compare(self):
        """Takes the earlier build's rates, the recent ones if many or higher: a storm at both builds is not
        the new one's, and one that is over hides nothing. Tells whether enough of the outcomes are recent."""
        for back, least in ((16, BASELINE), (4, 1)):
            seen = self.earlier["all"].total(self.now, False, back)
            for what, floor in P0_FLOOR.items() if seen >= least else ():
                seen = max(
                    seen, 2 * BASELINE if what == "slow" else 2
                )  # in a storm one failure will do
                rate = max(floor, min(0.6, self.earlier[what].total(self.now, False, back) / seen))
                self.p0[what] = rate if back == 16 or seen >= MATURE else max(rate, self.p0[what])
        return self.earlier["all"].total(self.now, False, 4) >= BASELINE

    def _weight(self, what, bad, p0):
        p1 = min(P1_OVER_P0[what] * p0, (1 + p0) / 2)
        return log(p1 / p0) if bad else log((1 - p1) / (1 - p0))

    def _add(self, what, bad, pod=None):
        step = self._weight(what, bad, self.p0[what])
        if pod:
            had, zone = self.by_pod.get((what, pod.address), 0.0), (what + " in", pod.zone)
            bound, (last, room) = (
                ONE_POD[what] * self.back_at[what],
                self.swarm.get(what, (None, 0.0)),
            )
            if last != self.now // TICKS_PER_SECOND:
                room = ONE_SECOND[what, self.settings.votes_to_revert == 1] * self.back_at[what]
            there = self.by_pod.get(zone, 0.0)
            top = self.bounds[what] * (ONE_ZONE if self.zones > 1 and not self._few() else inf)
            step = max(min(step, bound - had, room, max(0.0, top - there)), -bound - had)
            self.by_pod[what, pod.address], self.by_pod[zone] = had + step, max(-top, there + step)
            self.swarm[what] = self.now // TICKS_PER_SECOND, room - max(0.0, step)
        self._book(what, step)

    def _book(self, what, step):
        # The sum rests near the bound for 'on': a build that turns bad late must not have to eat up its past.
        self.sums[what] = max(ON_BOUND * (3 if what == "slow" else 1), self.sums[what] + step)
        # Of few an ill pod would be taken for its build: who sees enough waits for a second, where all wait.
        worst = max(
            [had for (of, _), had in self.by_pod.items() if of == "failed" and self._few()] + [0.0]
        )
        self.left = {**self.sums, "failed": self.sums["failed"] - worst}
        # A sum that rests tries anew with each chance failure: the more of them, the higher the bound.
        seen, pods = self.arrivals.total(self.now), len(self.sides[True])
        many = self.by_votes and pods > FEW_PODS[1] and seen >= 8 * LOUD
        self.bounds["failed"] = self.back_at["failed"] + log(
            max(1, many * self.p0["failed"] * seen)
        )
        self.doubt = max(self.left[what] / bound for what, bound in self.bounds.items())
        self.clear_since = self.now if self.doubt > HOLD_PART else self.clear_since

    def _tallied(self, event):
        self.rows_at = self.rows_at if self.rows else self.now
        if (
            event.request_class in self.settings.request_classes
            and event.failed <= event.attempts > 0
        ):
            self.rows.append(event)

    def _weigh_tallies(self):
        """What the platform counted is evidence where the quiet see too little; a period is one piece."""
        rows, self.rows = self.rows, []
        self._weigh_all(rows, self.crowd.told(self.now - rows[0].age))
        if self.build not in (TRIAL, FREED):
            return
        earlier = {row.request_class: row for row in rows if row.build < self.news.build}
        seen, failed = (
            sum(getattr(row, it) for row in earlier.values()) for it in ("attempts", "failed")
        )
        at, crowd = (
            self.now - rows[0].age - TICKS_PER_SECOND,
            self._crowd(),
        )  # then new pods got nothing
        had = [
            one.warmup_fraction(at, self.settings)
            for one in self.sides[True]
            if one.listed.started < at or not crowd
        ]
        warmth = sum(share ** (1 + crowd) for share in had) / (
            sum(share**crowd for share in had) or 1
        )
        if warmth < WARM_ENOUGH or (seen < 2 * BASELINE and self.build == TRIAL):
            return
        # Cold pods fail more. After a release half of the machines leave, and the rest is pushed for a while.
        rate = min(0.6, failed / seen if seen >= 2 * BASELINE else self.lost)
        p0 = (
            max(P0_FLOOR["failed"], rate)
            + COLD_FAILS * (1 - warmth)
            + FREED_FAILS * (self.build == FREED)
        )
        steps = {"failed": 0.0, "slow": 0.0}
        bad, good = (self._weight("failed", ill, p0) for ill in (True, False))
        for row in rows:
            done, base = row.attempts - row.failed, earlier.get(row.request_class)
            if row.build == self.news.build:
                self.seen += row.attempts
                steps["failed"] += row.failed * bad + done * good
                if base and done and base.latency and base.attempts - base.failed >= BASELINE:
                    count = 1 / (1 / done + 1 / (base.attempts - base.failed))
                    times = min(TIMES_MOST, row.latency * warmth / base.latency)
                    steps["slow"] += count * (times - TIMES) / 2
        for what, step in steps.items():
            self._book(
                what, min(step, ONE_PERIOD * self.back_at[what] * (not self._few()))
            )  # of one ill pod

    def _weigh_all(self, rows, began):
        """Of a crowd each sees too little of all: there the platform's means tell, of a period since then."""
        margin = TIMES if self.build == FREED else MARGIN  # half of the machines have left since
        step = sum(
            count * (min(TIMES_MOST, times / max(1.0, traffic) ** 2) - margin)
            for count, times, traffic in self.crowd.compared(rows)
        )
        if self.crowd.seen >= MATURE and self.build in (TRIAL, FREED) and self.ramp >= BLAMED_FROM:
            if self.by_votes and self._crowd():
                self._ail(step, began)
            if step > 0:
                return
        self.crowd.learn(rows, LEARNT)

    def _judge_all(self, cell, outcome, latency):
        """Mean times of all against those before the offer: a build can slow the earlier one as well."""
        _, seen, mean = self.usual[0].get(cell, (0, 0, 1)) if self.usual else (0, 0, 1)
        busier, deferred = self._busier(), cell is None and self.usual
        if (self.usual[2] > USUAL_SHED or busier > BUSIER) if deferred else seen < MATURE:
            return
        excused = busier**2 if busier > BUSIER else 1
        step = (
            TIMES_MOST
            if outcome == Outcome.TIMED_OUT
            else min(TIMES_MOST, latency / mean / excused)
        ) - MARGIN
        self._ail(step, self.now)

    def _ail(self, step, since):
        bound = self.back_at["slow"]
        self.all_slow = max(-bound / 2, min(1.5 * bound, self.all_slow + step))
        if self.all_slow < bound / 2:
            self.ill_since = None
        elif self.all_slow > bound and (self.ill_since is None or self.ramp < BLAMED_FROM):
            self.ill_since = since

    def _few(self):
        few = self.by_votes and 1 < len(self.sides[True]) <= FEW_PODS[1]
        return few and self.arrivals.total(self.now) >= 8 * LOUD

    def _busier(self):  # the traffic of two seconds without marked repeats, against the usual
        span = (4 * self.fresh.width + self.now % self.fresh.width) / TICKS_PER_SECOND
        return (
            (self.fresh.total(self.now, False, 4) - 3) / (self.usual[1] * span + 1)
            if self.usual
            else 1.0
        )

    def _settle(
        self,
    ):  # what was usual before the build came or, for one that started later, at first
        age, taken = self.now - (self.born or self.now), self.fresh.total(self.now)
        rate = taken * TICKS_PER_SECOND / min(self.arrivals.span, age + 1)
        fit = age >= SETTLED and rate >= LOUD and self.settings.instances < CROWD * self.places
        if self.build == TRIAL and self.usual is None and fit:
            self.usual = (
                dict(self.marks),
                rate,
                self.shed.total(self.now) / self.arrivals.total(self.now),
            )

    def _verdict(self):
        news, part = self.news, self.doubt
        errs, seen = (self.earlier[what].total(self.now) for what in ("error", "all"))
        worse = errs >= max(BASELINE, P1_OVER_P0["failed"] * P0_FLOOR["failed"] * seen)
        if self.ill_since is not None and not (worse and self.sums["failed"] <= 0):
            blamed = (
                self.now >= self.ill_since + ILL_FOR[self.settings.replaces_machines]
            )  # till then it may pass
            part = max(part, 1.1 if blamed and self.all_slow > self.back_at["slow"] else 1.0)
        self.saying_back = part > 1 or (self.saying_back and part > HOLD_PART)
        if self.saying_back or news.phase != ReleasePhase.ON_TRIAL:
            return (
                Verdict.ABORT
                if self.saying_back and news.phase in (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED)
                else Verdict.ABSTAIN
            )
        if self.settings.promotion_mode == PromotionMode.TIMER or part > HOLD_PART:
            return (
                Verdict.PAUSE
                if self.settings.promotion_mode == PromotionMode.TIMER and part > HOLD_PART
                else Verdict.ABSTAIN
            )
        # A list that lags hides the pods to judge. One that starts again, as after a lost zone, was met.
        started = [
            self.met.setdefault(one.listed.address, one.listed.started) for one in self.sides[True]
        ]
        places = (
            self.places if self.settings.replaces_machines else len(self.sides[False])
        )  # others leave late
        last = news.stage + 1 >= len(
            self.settings.stage_fractions
        )  # the earlier ones leave: warm, and seen
        listed = len(started) >= max(
            1, int(LISTED * self.settings.stage_fractions[-1 if last else news.stage] * places)
        )
        warm = max(started, default=0) + (self.settings.warmup_duration if last else self.warm_by)
        uncounted = last and self._crowd() and self.crowd.lacks(warm, self.now, PERIODS)
        if not listed or uncounted or self.now < warm + self.offset:
            return Verdict.ABSTAIN
        # A quiet instance never sees enough: with too little to hold the build it says on after a while.
        wait = self.offset + QUIET_FOR * (1 if self.left["failed"] <= 0 else 2)
        enough = max(self.left.values()) < ON_BOUND and self.seen >= ENOUGH_OUTCOMES
        return Verdict.PROMOTE if enough or self.now >= self.clear_since + wait else Verdict.ABSTAIN

    def _cast(self):
        """Casts, renews and withdraws the vote; an unanswered one is asked again."""
        wanted, age = (self.news.build, self.news.stage, self._verdict()), self.now - self.vote_at
        vote, stands = self.vote, self.vote is not None and age < self.settings.vote_lifetime
        if wanted[2] == Verdict.ABSTAIN:
            moved = vote and (vote[1] != wanted[1] or self.news.phase != ReleasePhase.ON_TRIAL)
            if (
                not stands or vote[0] != wanted[0] or (vote[2] == Verdict.PROMOTE and moved)
            ):  # it binds nothing then
                return
        elif stands and vote == wanted and age < self.renew:
            return
        if self.asked != wanted and wanted[2] in (Verdict.PAUSE, Verdict.ABORT):
            self.actions.append(
                LogNote(describe_vote(wanted, self.sums, self.p0, self.all_slow, self.seen))
            )
        self._why(R.VOTED, *wanted, self.doubt, self.seen)
        self.asked, self.ask_at = (
            wanted,
            self.now + self.settings.vote_timeout + TICKS_PER_SECOND // 10,
        )
        self.actions.append(CastVote(*wanted))

    def _vote_answered(
        self, news
    ):  # what was turned away, or unanswered, is asked again, not in step
        pause = TICKS_PER_SECOND // 5 + int(
            self.chance.draw() * max(TICKS_PER_SECOND, self.in_turns)
        )
        self.ask_at = self.now + (
            UPKEEP if news.outcome == Outcome.DONE else max(pause, TICKS_PER_SECOND)
        )
        if news.outcome == Outcome.DONE and self.asked:
            self.vote, self.vote_at = (
                (None if self.asked[2] == Verdict.ABSTAIN else self.asked),
                self.now,
            )

    def _step(self, request, what):
        request.state, effect = LIFE.get((request.state, what), (request.state, None))
        if effect:
            getattr(self, "_" + effect)(request)

    def _take(self, event):
        request_class = self.settings.request_classes[event.request_class]
        request = self.open[event.id] = RequestState(event, request_class, self.now, NEW)
        self.born = self.now if self.born is None else self.born  # with its first traffic
        self._ring(self.taken, request_class).add(self.now)
        self.arrivals.add(self.now)
        self.fresh.add(self.now, not event.is_retry)
        if event.key:
            self.keys[event.key] = self.keys.get(event.key, 0) + 1
        self.retries = min(self.most[0], self.retries + RETRIES)
        self.copies = min(self.most[1], self.copies + SECOND_COPIES)
        self._step(request, "taken")

    def _place(self, request):
        refused = self.admission.refused(
            self.now,
            request.request_class,
            self.open.values(),
            self.now - self.born,
            self.arrivals.total(self.now),
            self.chance.draw,
        )
        if refused:
            self._why(R.BY_LOT if refused[0] else R.OVER_LIMIT, *refused[1:])
            self.shed.add(self.now)
            self._judge_all(None, Outcome.TIMED_OUT, 0)  # limits would hide slowness of all
        if refused or not self._send(request):
            self._step(request, "given up")

    def _send(self, request):
        news = self.news
        if (
            news is None
            or len(request.attempts) >= self.settings.max_attempts
            or self.now >= request.deadline
        ):
            most = (R.MOST_DELIVERIES, len(request.attempts), self.settings.max_attempts)
            late = (R.TIME_OVER, request.deadline - self.now, 0)
            return (
                self._why(
                    *((R.NO_NEWS,) if not news else late if self.now >= request.deadline else most)
                )
                or False
            )
        at, open_ = (
            key_position(request.key),
            news.phase in (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED),
        )
        stays = open_ and (
            request.key in self.pins or len(self.pins) >= KEYS_MOST
        )  # more than it can tell: all
        below = at < self.ramp and open_
        seen = self.keys.get(request.key, 0)
        hot = seen >= HOT_LEAST and seen >= HOT_SHARE * sum(self.keys.values())
        astray = news.phase == ReleasePhase.ON_TRIAL and (
            request.attempts or request.key in self.bad_keys or hot
        )  # no flood, no loop
        order = (True, False) if below and not astray else (False, True)
        if stays:
            self._why(R.STAYS, len(self.pins))
        elif open_:
            self._why(R.POSITION, at, self.ramp, news.cap)
            if astray and below:
                self._why(R.ASTRAY, len(request.attempts), request.key in self.bad_keys, hot)
        for new in (True,) if stays else order:
            known = (
                self._choose(request, new)
                if not new or self._may_try(request.request_class, not request.attempts)
                else None
            )
            if known:
                return self._deliver(request, known, new)
        return False

    def _choose(self, request, new):
        """Pods in use take turns; one that is busier, slower, colder or failing is passed over."""
        found, best, used, why = (
            [],
            1e6,
            {attempt.endpoint.address for attempt in request.attempts},
            {},
        )
        for again in (False, True):
            if again:  # None of the pods in use will do: others are drawn, once.
                self._draw(new, self.drawn[new])
            pool = self.drawn[new]
            self.turn += LOOK if len(pool) > LOOK else 1
            start = self.turn % len(pool) if len(pool) > LOOK else 0
            for known in (pool[start:] + pool[:start])[:LOOK]:
                share, pod = known.warmup_fraction(self.now, self.settings), known.listed
                if self._same_group(request, pod) and (
                    share == 1.0 or self._cold_room(known, share)
                ):
                    avoid = (
                        R.UNREACHABLE
                        if self.now < known.ejected_until
                        else R.DOUBTED
                        if self.now < known.suspected_until
                        else R.USED
                        if pod.address in used
                        else None
                    )
                    cost = self._cost(known) * (known.in_flight + 1) / share
                    found.append((cost + 1e6 * (avoid is not None), known))
                else:
                    avoid = R.COLD if self._same_group(request, pod) else R.OUTSIDE
                if avoid is not None:
                    why[avoid] = why.get(avoid, 0) + 1
            best = min((cost for cost, _ in found), default=1e6)
            if best < 1e6 or len(pool) == len(self.sides[new]):
                break
        for reason, pods in why.items():
            self._why(reason, pods)
        if not found:
            return self._why(R.NO_POD, len(self.sides[new]), new)
        if self.settings.instances < CROWD * len(self.sides[new]):
            near = [known for cost, known in found if cost <= best * 1.15]
            return near[self.turn % len(near)]
        return found[self.chance.pick([1 / cost for cost, _ in found])][
            1
        ]  # or hundreds meet at the cheapest

    def _cost(self, known):
        return (
            max(1e-9, known.relative_latency)
            * (1 + 8 * known.failure_rate)
            * (1 + known.load)
            / known.listed.size
        )

    def _same_group(self, request, pod):
        """Rule 2: what may have run goes again only to pods that would drop the repeat."""
        suspect, group = request.first_possible_run(), request.request_class.deduplication_scope
        if (
            suspect is None
            or request.request_class.idempotency == Idempotency.IDEMPOTENT
            or group == DeduplicationScope.ALL
        ):
            return True
        return pod.zone == suspect.endpoint.zone and (
            group != DeduplicationScope.CELL or pod.cell == suspect.endpoint.cell
        )

    def _deliver(self, request, known, new):
        self._ring(self.tried, request.request_class).add(self.now, int(new))
        known.in_flight += 1
        known.recent_attempts.add(self.now)
        request.attempts.append(AttemptState(known, self.now))
        ends = (
            request.deadline
            if request.request_class.late_priority_weight > 0
            or self.now >= request.latency_deadline
            else min(request.deadline, request.latency_deadline)
        )
        if self.say:
            pod = known.listed
            self._why(R.SENT, pod.address, pod.build, new, ends - self.now, self._cost(known))
        self.actions.append(SendAttempt(request.id, known.listed.address, max(1, ends - self.now)))
        if (
            len(request.attempts) == 1
            and self.settings.hedging_allowed
            and request.request_class.idempotency == Idempotency.IDEMPOTENT
        ):
            goal, self.tokens = request.request_class.latency_objective, self.tokens + 1
            wait = max(
                COPY_AFTER[0] * self.means.get(request.request_class.name, goal),
                COPY_AFTER[1] * goal,
            )
            self.due[self.tokens] = request.id
            self.actions.append(SetTimer(self.now + int(wait), self.tokens))
        return True

    def _may(self, request, defer):
        """Rule 2: whether a deferral, or else another attempt, is allowed now."""
        suspect = request.first_possible_run()
        return (
            suspect is None
            or request.request_class.idempotency == Idempotency.IDEMPOTENT
            or (
                request.request_class.idempotency == Idempotency.KEYED
                and self.now < suspect.sent_at + request.request_class.deduplication_window
                and (
                    request.request_class.deduplication_scope == DeduplicationScope.ALL or not defer
                )
            )
        )

    def _in_time(self, request):
        return self.now + self.means.get(request.request_class.name, 0) < min(
            request.latency_deadline, request.deadline
        )

    def _again(self, request):
        """A attempt ended without an answer: another while it can still earn, else the answer at once."""
        if request.in_flight():
            return
        cost = 0 if request.first_possible_run() is None else 1
        if not self._in_time(request):
            self._why(
                R.TIME_OVER,
                min(request.latency_deadline, request.deadline) - self.now,
                self.means.get(request.request_class.name, 0),
            )
        elif self.retries < cost:
            self._why(R.NO_BUDGET, self.retries)
        elif not self._may(request, False):
            self._why(
                R.MAY_HAVE_RUN,
                request.first_possible_run().endpoint.address,
                self.now - request.first_possible_run().sent_at,
            )
        elif self._send(request):
            self.retries -= cost
            return
        self._step(request, "given up")

    def _second(self, request):
        """A second copy for one much later than its lane, as long as few need it and there is room."""
        limit = self.admission.limit(self.now, request.request_class, self.now - self.born)
        room = (
            self.copies >= 1
            and 2 * len(self.open) <= limit
            and not request.streaming
            and request.in_flight() == 1
        )
        if room and self._in_time(request) and self._may(request, False):
            self._why(R.SECOND_COPY, self.now - request.attempts[0].sent_at)
            self.copies -= self._send(request)

    def _turn_away(self, request):
        """The final answer, at once: sitting on it would only keep the client from trying again."""
        wait = (
            min(self.settings.max_retry_after, request.request_class.latency_objective // 2)
            if self.settings.retry_after_allowed
            else 0
        )
        may = self._may(request, True)
        self._why(
            *(
                (R.DEFERRED, wait)
                if may
                else (R.ABANDONED, request.first_possible_run().endpoint.address)
            )
        )
        self.actions.append(Reject(request.id, wait) if may else Fail(request.id))
        self._close(request)

    def _close(self, request):
        if self.settings.cancellation_allowed and not request.streaming:
            self.actions += [
                CancelAttempt(request.id, at)
                for at, attempt in enumerate(request.attempts)
                if attempt.in_flight
            ]
        self._forget(request)

    def _forget(self, request):
        return request.in_flight() or self.open.pop(request.id, None)

    def _end(self, event):
        request = self.open.get(event.id)
        if (
            request is None
            or event.number >= len(request.attempts)
            or not request.attempts[event.number].in_flight
        ):
            return
        attempt, proof = request.attempts[event.number], PROOF[event.outcome]
        attempt.in_flight, attempt.may_have_run = False, proof != "unrun"
        attempt.endpoint_state.in_flight -= 1
        self._why(
            R.ENDED,
            attempt.endpoint.address,
            event.number,
            event.outcome,
            event.latency,
            proof == "unrun",
        )
        self._learn(request, attempt.endpoint_state, event)
        if event.outcome == Outcome.DONE:
            self._pin(LateResponseSeen(request.key, attempt.endpoint.build))
        self._step(request, "answered" if event.closed else proof)

    def _pin(self, event):  # on sockets also by an answer that came too late, in part or spoilt
        if (
            self.settings.sticky_keys
            and event.build == self.news.build
            and len(self.pins) < KEYS_MOST
        ):
            self.pins.add(event.key)

    def _learn(self, request, known, event):
        self._judge(request, known, event.outcome, event.latency)
        if event.load and UTILISATION in self.settings.load_metrics:
            load = event.load[
                self.settings.load_metrics.index(UTILISATION)
            ]  # an absurd report is none
            known.load = load if 0 <= load <= 2 else known.load
        if event.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        if not (
            known.on_newest_build and self.build == TRIAL
        ):  # a build's own slowness is no overload
            self.admission.ended(
                self.now,
                request.request_class,
                event,
                known.warmup_fraction(self.now, self.settings),
            )
        known.failure_rate += 0.1 * ((event.outcome != Outcome.DONE) - known.failure_rate)
        self.lost += 0.05 * (
            (event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)) - self.lost
        )  # on the way
        if event.outcome == Outcome.CONNECT_FAILED:
            known.ejection_time = min(SHUN_MOST, max(SHUN, 2 * known.ejection_time))
            known.ejected_until = self.now + known.ejection_time
        if event.outcome == Outcome.DONE:
            request_class, share = (
                request.request_class,
                known.warmup_fraction(self.now, self.settings),
            )
            self.admission.answered(self.now, request_class, event.latency)
            gain = min(0.5, 0.08 + 0.1 * (self.now - known.last_response_at) / TICKS_PER_SECOND)
            known.relative_latency += gain * (
                min(4.0, event.latency * share / self.means[request_class.name])
                - known.relative_latency
            )
            known.last_response_at, known.ejection_time = self.now, 0
            self.served.add(self.now, share == 1.0)

    def _follow(self, event):
        if event.id in self.open:
            self.open[event.id].streaming |= type(event) is ResponseStarted
            self._step(
                self.open[event.id], "left" if type(event) is ClientDisconnected else "streams"
            )

    def _complain(
        self, event
    ):  # a client found an answer wrong: what was booked as a success is a failure
        if (
            event.endpoint in self.pods
            and self.pods[event.endpoint].on_newest_build
            and self.build in (TRIAL, FREED)
        ):
            self._add("failed", True)

    def _doubt(
        self, event
    ):  # hearsay delays a turn and proves nothing: no vote, limit or rule looks at it
        known = self.pods.get(event.endpoint)
        if known and (known.listed.build, known.listed.started) == (event.build, event.started):
            known.suspected_until = event.until

    def _tick(self, event):
        if event.token:
            request = self.open.get(self.due.pop(event.token, None))
            self.subject = request and request.id
            return request and self._step(request, "slow")
        passed, often = self.upkeep, self.arrivals.span // (self.arrivals.total(self.now) + 1)
        self.upkeep = max(UPKEEP, min(UPKEEP_MOST, often))  # once for a transaction
        self.actions.append(SetTimer(self.now + self.upkeep, 0))
        self._settle()
        self._climb()
        if (
            self.rows and self.now >= self.rows_at + UPKEEP_MOST
        ):  # a period's rows do not come all at once
            self._weigh_tallies()
        if self.news and self.now >= self.ask_at:
            self._cast()
        if self.now >= self.exchange_at:
            self.exchange_at = self.now + EXCHANGE
            for new in self.drawn:
                self._draw(new, sorted(self.drawn[new], key=self._cost)[-1:])
            for known in (
                self.pods.values()
            ):  # else one that failed is not met again while others stand idle
                known.failure_rate *= FORGOTTEN if known.ejection_time else 1.0
        if self.settings.lists_polled and self.now >= self.watch_at:
            self.watch_at = self.now + self.settings.poll_within // 2
            self.actions.append(SubscribeToEndpoints(True))
        if self.now <= self.warm_at:
            self._measure()
        # A mean, as peaks of hundreds do not add up; one that overload does not pull down quickly.
        rate = self.served.total(self.now) / 4 / (self.warm or 1e9)
        span = min(
            RATE_UP if rate > self.warm_rate else RATE_DOWN, self.now - (self.born or self.now)
        )
        self.warm_rate += (rate - self.warm_rate) * passed / max(TICKS_PER_SECOND, span)
        if self.now >= self.keys_at + 2 * TICKS_PER_SECOND:
            self.keys_at, self.keys = (
                self.now,
                {key: n / 2 for key, n in self.keys.items() if n > 0.5},
            )

    EVENTS = {
        EndpointUpdate: _listed,
        ReleaseUpdate: _told,
        RequestReceived: _take,
        AttemptEnded: _end,
        ClientDisconnected: _follow,
        ResponseStarted: _follow,
        TimerFired: _tick,
        ComplaintReceived: _complain,
        FleetCounts: _tallied,
        LateResponseSeen: _pin,
        SuspicionReported: _doubt,
    }
