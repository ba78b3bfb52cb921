"""All decisions of thymeknot: where a transaction goes, when it is answered, how the new build is voted on.

Make one Balancer(terms, seed, now) per sidecar and call handle(now, events) with the events of one moment,
in order; it returns the actions to carry out, in order. The types of terms, events and actions stand in
interface.py. Nothing else reaches the module: no clock, no input or output, nothing shared.
docs/design.md says what comes from the design's source and when each exception to it acts.
"""

from math import log

from .interface import (
    Abandon, BACK, BY_CLOCK, CHANGES, ClientLeft, Complaint, DONE, Defer, Deliver, ERROR,
    EXPIRED, Ended, FINGERPRINTED, FULL, GONE, GOING_BACK, GROUP_ALL, GROUP_CELL, HOLD, MISSED, Message, NO_VOTE,
    News, Note, ON, ON_TRIAL, PodList, Probed, READY, RECALLED, RELEASED, RESET, RETRIABLE, Recall, SetTimer,
    StreamBegan, Subscribe, Taken, Tally, TimerDue, UNCONNECTED, UNSENT, Vote, WITHDRAWN)

SECOND = 10_000
# The ramp and the test, as the design page starts them.
RAMP_TIME, RAMP_SHARE = 2 * SECOND, 0.8
P1_OVER_P0, FALSE_BACK, FALSE_ON = {"failed": 3.0, "slow": 5.0}, 0.05, 0.2
ON_BOUND = log(FALSE_ON / (1 - FALSE_BACK))
ENOUGH_OUTCOMES, AFTER_START, QUIET_FOR = 20, 3 * SECOND, 5 * SECOND // 2
P0_FLOOR = {"failed": 0.01, "slow": 0.1}
HOLD_PART = 0.5                 # of the back bound: more than that against a build holds it
SLOW_STRICTER = 10              # times: machines differ in speed by themselves, in failures they do not
SLOW_QUANTILE = 0.9
ILL_FOR = 8 * SECOND             # how long all builds must be slower than before the offer to blame the new one
BUSIER = 1.3                    # times the traffic before the offer: beyond it slowness has another cause
SETTLED = 3 * SECOND            # age of an instance from which its marks say what is usual
MARGIN = 1.4                    # times the usual mark: a good build may be somewhat slower, and comes cold
WARM_ENOUGH = 0.75              # of its capacity: from here on a pod's slowness may speak of its build
ONE_POD = 0.45                  # of a back bound: what slowness and silence of a single pod can add
BASELINE = 5                    # fewer outcomes of the earlier build than this say nothing of the present
UPKEEP = SECOND // 20
HOT_SHARE, HOT_LEAST = 0.03, 8
SHUN, SHUN_MOST = SECOND // 2, 4 * SECOND
COLD_PART = 0.5                 # of what would push a cold pod over, the part that all instances together use
GOAL_PART, LIMIT_LEAST = 0.5, 16  # of the latency goal: the mean time that the limit on open work aims at
LANE_PART = (0.8, 1.25)         # of the limit on open transactions: for the cheapest lane, for the dearest
SECOND_COPIES, RETRIES = 0.05, 0.15

NEW, OUT, OVER = "new", "out", "over"
# A transaction's life: (state, input) -> next state, effect. What is missing changes nothing.
LIFE = {
    (NEW, "taken"): (OUT, "place"),
    (OUT, "answered"): (OVER, "close"),
    (OUT, "unrun"): (OUT, "again"),
    (OUT, "perhaps run"): (OUT, "again"),
    (OUT, "slow"): (OUT, "second"),
    (OUT, "left"): (OVER, "close"),
}
# What an outcome means for the transaction: the proofs of rule 2.
MEANING = {DONE: "answered", ERROR: "perhaps run", FULL: "unrun", EXPIRED: "perhaps run", UNCONNECTED: "unrun",
           RESET: "perhaps run", RECALLED: "perhaps run", UNSENT: "unrun"}
# The new build's life here: (phase told, what is new about it) -> effect. Rows not named change the cap alone.
TRIAL = {
    (ON_TRIAL, "build"): "offered",
    (ON_TRIAL, "stage"): "moved",
    (ON_TRIAL, "phase"): "moved",
    (GOING_BACK, "build"): "fell",
    (GOING_BACK, "phase"): "fell",
    (RELEASED, "build"): "met",
    (RELEASED, "phase"): "moved",
    (WITHDRAWN, "build"): "met",
    (WITHDRAWN, "phase"): "fell",
}


def position(key):
    """FNV-1a, 32 bits, as a share of its range: where the key lies on the ramp."""
    value = 2166136261
    for byte in key.encode():
        value = (value ^ byte) * 16777619 & 0xFFFFFFFF
    return value / 4294967295


class Ring:
    """Counts over the last span of time, in buckets that are used again."""

    def __init__(self, span, buckets):
        self.width, self.size = max(1, -(-span // buckets)), buckets + 1
        self.counts, self.last = [0] * self.size, 0

    def _turn(self, now):
        bucket = now // self.width
        for step in range(max(self.last + 1, bucket - self.size + 1), bucket + 1):
            self.counts[step % self.size] = 0
        self.last = max(self.last, bucket)

    def add(self, now, amount=1):
        self._turn(now)
        self.counts[self.last % self.size] += amount

    def total(self, now, full_only=False, back=None):
        """The last `back` buckets' sum (all if None), with the partly covered oldest one or without it."""
        self._turn(now)
        back = self.size if back is None else back + 1
        return sum(self.counts[(self.last - step) % self.size] for step in range(back - full_only))


class Transaction:
    def __init__(self, taken, lane, now):
        self.id, self.lane, self.key, self.state = taken.id, lane, taken.key or taken.id, NEW
        self.at, self.ends, self.goal = now, now + taken.left, now + lane.latency_goal
        self.sent = []          # per delivery: its pod, or None once it has an outcome
        self.pods, self.run_by, self.run_at, self.streams = [], None, 0, False

    def out(self):
        return sum(pod is not None for pod in self.sent)


class Known:
    """A pod as this instance knows it."""

    def __init__(self, listed, span):
        self.listed, self.out, self.pace, self.fails = listed, 0, 1.0, 0.0
        self.load, self.shunned, self.shun = 0.0, 0, SHUN
        self.sent = Ring(span, 15)


class Balancer:
    def __init__(self, terms, seed, now):
        self.terms, self.now, self.chance, self.actions = terms, now, seed, []
        self.pods, self.open, self.turn = {}, {}, 0
        self.news, self.pins, self.ramp, self.ramped = None, {}, 0.0, now
        self.taken, self.tried, self.keys = {}, {}, {}
        self.keys_at = self.born = now
        self.p0 = dict(P0_FLOOR)
        self.earlier = {what: Ring(8 * SECOND, 16) for what in ("all", "failed", "slow")}
        self.marks, self.means, self.arrivals = {}, {}, Ring(8 * SECOND, 16)
        # Where few votes send a build back, any instance's error does: they share the allowed one.
        alone = FALSE_BACK * terms.votes_to_revert / terms.balancers
        self.back_at = {"failed": log((1 - FALSE_ON) / alone), "slow": log((1 - FALSE_ON) * SLOW_STRICTER / alone)}
        self.judging, self.usual, self.all_slow, self.ill_since = False, None, 0.0, None
        self._restart_test()
        self.vote, self.vote_at, self.asked, self.ask_at = None, 0, None, now
        self.retries, self.copies, self.answers = 5.0, 2.0, Ring(2 * SECOND, 8)
        self.served, self.warm_rate = Ring(4 * SECOND, 8), 0.0
        self.due, self.watch_at, self.started = {}, now, False

    def handle(self, now, events):
        self.now, self.actions = now, []
        for event in events:
            self.EVENTS[type(event)](self, event)
        if not self.started:
            self.started = True
            self.actions.append(SetTimer(now + UPKEEP, 0))
        return self.actions

    def _random(self):
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return (self.chance >> 33) / 2147483648

    # The list of pods.

    def _listed(self, event):
        if event.kind == MISSED:
            # A watch may have dropped; a call that fails at once must not become a storm of calls.
            self.watch_at = min(self.watch_at, self.now + int((1 + self._random()) * SECOND))
            return
        if event.kind != CHANGES:
            named = {pod.address for pod in event.pods}
            for address in [address for address in self.pods if address not in named]:
                del self.pods[address]
        for pod in event.pods:
            known = self.pods.get(pod.address)
            if pod.condition == GONE:
                self.pods.pop(pod.address, None)
            elif known and (known.listed.started, known.listed.build) == (pod.started, pod.build):
                known.listed = pod
            else:
                self.pods[pod.address] = Known(pod, self.terms.overload_for)

    def _share(self, pod):
        """The part of its capacity that a pod has at least: it gains no slower than evenly."""
        age = self.now - pod.listed.started
        if not pod.listed.started or age >= self.terms.cold:
            return 1.0
        return self.terms.cold_from + (1 - self.terms.cold_from) * max(0, age) / self.terms.cold

    def _cold_room(self, pod, share):
        """Rule 4. Each instance keeps to its part of what warm pods are seen to take, so no sum goes over."""
        span = self.terms.overload_for
        rate = self.warm_rate * pod.listed.size * span / SECOND
        return pod.sent.total(self.now) + 1 <= max(1, COLD_PART * self.terms.fall_multiple * share * rate)

    # The new build.

    def _told(self, news):
        if news.answers_vote:
            self._vote_answered(news)
        if news.outcome != DONE:
            return
        old, self.news = self.news, news
        if old is None or old.build != news.build:
            change = "build"
        elif old.phase != news.phase:
            change = "phase"
        else:
            change = "stage" if old.stage != news.stage else None
        effect = TRIAL.get((news.phase, change))
        if effect:
            getattr(self, "_" + effect)()

    def _offered(self):
        self.ramp, self.tried = 0.0, {}
        # A build that was not seen on trial here is the usual.
        self.judging, self.usual = True, None
        self.all_slow, self.ill_since = 0.0, None
        self._settle()
        self._moved()

    def _settle(self):
        """Keeps what was usual before the build came, to see whether it slows the earlier one with itself. An
        instance that started during the trial takes what it met as usual: the later stages then show."""
        age = self.now - self.born
        if self.judging and self.usual is None and age >= SETTLED:
            rate = self.arrivals.total(self.now) * SECOND / min(8 * SECOND, age)
            self.usual = dict(self.marks), rate

    def _met(self):
        self.ramp, self.judging, self.usual = 1.0, False, None
        self._moved()

    def _moved(self):
        self.ramped = self.now
        self._restart_test()

    def _fell(self):
        self.ramp, self.tried = 0.0, {}
        self.pins = {key: build for key, build in self.pins.items() if build != self.news.build}
        self.judging, self.usual, self.ill_since = False, None, None
        self._restart_test()

    def _climb(self):
        """The ramp of the design: it climbs to what the trial's ready pods can carry, and does not fall."""
        news = self.news
        if news is None or news.phase not in (ON_TRIAL, RELEASED):
            return
        target = 1.0
        if news.phase == ON_TRIAL:
            size = [0.0, 0.0]
            for pod in self.pods.values():
                if pod.listed.condition == READY and pod.listed.build <= news.build:
                    size[pod.listed.build == news.build] += pod.listed.size * self._share(pod)
            target = min(RAMP_SHARE * news.cap, size[1] / (sum(size) or 1.0))
        step = target * (self.now - self.ramped) / RAMP_TIME
        self.ramp, self.ramped = max(self.ramp, min(target, self.ramp + step)), self.now

    def _counts_as(self, lane):
        return lane.name if self.terms.by_lane else ""

    def _ring(self, rings, lane):
        ring = rings.get(self._counts_as(lane))
        if ring is None:
            ring = rings[self._counts_as(lane)] = Ring(self.terms.exposure_window, 120)
        return ring

    def _exposure_left(self, lane):
        """Rule 5, also for windows still to come: later parts of this one must carry themselves."""
        taken, tried = self._ring(self.taken, lane), self._ring(self.tried, lane)
        return all(tried.total(self.now, False, back) + 1 <= self.terms.allowance
                   + self.news.cap * taken.total(self.now, True, back) for back in (120, 90, 60, 30))

    def _may_try(self, lane):
        news = self.news
        if news.phase == RELEASED:
            return True
        if news.phase == ON_TRIAL and news.stage < self.terms.guarded_stages and lane.effect != RETRIABLE:
            return False
        return news.cap > 0 and self._exposure_left(lane)

    def _hot(self, key):
        """A hot key would flood the trial's pods and eat the counter of all others: it stays away."""
        seen = self.keys.get(key, 0)
        return seen >= HOT_LEAST and seen >= HOT_SHARE * sum(self.keys.values())

    # The test.

    def _restart_test(self):
        self.sums, self.by_pod, self.seen = {"failed": 0.0, "slow": 0.0}, {}, 0
        self.clear_since, self.bad_keys, self.saying_back = self.now, set(), False

    def _rates(self):
        """The earlier build's rates; kept as last seen where none of its outcomes are left to see."""
        seen = self.earlier["all"].total(self.now)
        if seen >= BASELINE:
            for what, floor in P0_FLOOR.items():
                self.p0[what] = max(floor, min(0.6, self.earlier[what].total(self.now) / seen))
        return self.earlier["all"].total(self.now, False, 4) >= BASELINE

    def _judge(self, tx, pod, outcome, latency):
        """Books an outcome with the build that it tells of."""
        if self.news is None or outcome in (FULL, RECALLED, UNSENT):
            return
        lane, machine = tx.lane, pod.listed.machine
        share = self._share(pod)
        mark = self.marks.get((lane.name, machine), (None, 0))[0]
        failed, slow = outcome != DONE, outcome == EXPIRED
        if outcome == DONE:
            slow = mark is not None and latency * share > mark
        if share == 1.0 and self.usual and self.news.phase in (ON_TRIAL, RELEASED):
            self._watch_all(lane, machine, outcome, latency)
        if pod.listed.build < self.news.build or not self.judging:
            if share == 1.0 and outcome in (DONE, EXPIRED):
                self._mark(lane.name, machine, latency, slow)
            self.earlier["all"].add(self.now)
            self.earlier["failed"].add(self.now, failed)
            self.earlier["slow"].add(self.now, slow)
        elif pod.listed.build == self.news.build and self.news.phase in (ON_TRIAL, RELEASED):
            compared = self._rates() and self.news.phase == ON_TRIAL
            # A cold pod's time-outs, and those that nothing can be compared with, prove nothing of the build.
            if outcome == EXPIRED and (share < 1.0 or not compared):
                return
            # One key that fails again and again is one failure: its next tries go to the earlier build.
            if failed and tx.key in self.bad_keys:
                return
            if failed:
                self.bad_keys.add(tx.key)
            self.seen += 1
            self._add("failed", failed, None if outcome in (DONE, ERROR) else pod.listed.address)
            # A build may be slow and never fail: answers above the earlier build's mark are tested alike.
            if compared and mark is not None and share >= WARM_ENOUGH:
                self._add("slow", slow, pod.listed.address)

    def _watch_all(self, lane, machine, outcome, latency):
        """A build can slow the earlier one in step with itself, which no comparison of the two shows. So all
        outcomes are tested against what was usual before the offer, unless the traffic has grown since."""
        (marks, arrivals), p0 = self.usual, P0_FLOOR["slow"]
        if (lane.name, machine) not in marks or self.arrivals.total(self.now, False, 4) > 2 * BUSIER * arrivals + 3:
            return
        p1 = min(P1_OVER_P0["failed"] * p0, (1 + p0) / 2)
        slow = outcome == EXPIRED or latency > MARGIN * marks[lane.name, machine][0]
        step = log(p1 / p0) if slow else log((1 - p1) / (1 - p0))
        bound = self.back_at["slow"]
        self.all_slow = max(-bound / 2, min(1.5 * bound, self.all_slow + step))
        if self.all_slow < bound / 2:
            self.ill_since = None
        elif self.all_slow > bound and self.ill_since is None:
            self.ill_since = self.now

    def _mark(self, lane, machine, latency, slow):
        """Follows the latency that only one answer in ten exceeds, quickly at first."""
        mark, seen = self.marks.get((lane, machine), (2.0 * latency, 0))
        shift = SLOW_QUANTILE if slow else SLOW_QUANTILE - 1
        self.marks[lane, machine] = mark * (1 + max(0.05, 1 / (2 + 0.2 * seen)) * shift), seen + 1

    def _add(self, what, bad, pod=None):
        p0 = self.p0[what]
        p1 = min(P1_OVER_P0[what] * p0, (1 + p0) / 2)
        # The sum rests at the bound for 'on': a build that turns bad late must not have to eat up its past.
        step = log(p1 / p0) if bad else log((1 - p1) / (1 - p0))
        if pod:
            # A single machine may be ill by itself: alone it proves nothing of the build.
            bound = ONE_POD * self.back_at[what]
            had = self.by_pod.get((what, pod), 0.0)
            self.by_pod[what, pod] = min(bound, max(-bound, had + step))
            step = self.by_pod[what, pod] - had
        self.sums[what] = max(ON_BOUND * (3 if what == "slow" else 1), self.sums[what] + step)
        if self._doubt() > HOLD_PART:
            self.clear_since = self.now

    def _doubt(self):
        return max(self.sums[what] / self.back_at[what] for what in self.sums)

    def _verdict(self):
        news = self.news
        if news.phase not in (ON_TRIAL, RELEASED):
            return NO_VOTE
        part = self._doubt()
        if self.ill_since is not None:
            # What slows all may pass by itself; until it has, the build does not move on.
            part = max(part, 1.0 if self.now < self.ill_since + ILL_FOR else 1.1)
        self.saying_back = part > 1 or (self.saying_back and part > HOLD_PART)
        if self.saying_back:
            return BACK
        if news.phase == RELEASED:
            return NO_VOTE
        if self.terms.decided_by == BY_CLOCK:
            return HOLD if part > HOLD_PART else NO_VOTE
        newest = max((pod.listed.started for pod in self.pods.values() if pod.listed.build == news.build),
                     default=self.now)
        if self.now < newest + AFTER_START:
            return NO_VOTE
        if max(self.sums.values()) < ON_BOUND and self.seen >= ENOUGH_OUTCOMES:
            return ON
        # A quiet instance never sees enough, and one chance failure would bar it for minutes: with too little
        # against the build to hold it, it says on after a while, sooner if there is nothing at all.
        wait = QUIET_FOR if self.sums["failed"] <= 0 else 2 * QUIET_FOR
        return ON if part <= HOLD_PART and self.now >= self.clear_since + wait else NO_VOTE

    def _cast(self):
        """Casts, renews and withdraws the vote; an unanswered one is asked again, in step with the limit."""
        if self.news is None or self.now < self.ask_at:
            return
        wanted = (self.news.build, self.news.stage, self._verdict())
        stands = self.vote is not None and self.now < self.vote_at + self.terms.vote_life
        if wanted[2] == NO_VOTE:
            if not stands or self.vote[0] != wanted[0] or (self.vote[2] == ON and self.vote[1] != wanted[1]):
                return
        elif stands and self.vote == wanted and self.now < self.vote_at + self.terms.vote_life // 2:
            return
        if self.asked != wanted:
            told = ", ".join(f"{what} {self.sums[what]:+.1f} over {self.p0[what]:.2f}" for what in sorted(self.sums))
            self.actions.append(Note(f"vote {wanted[2]} on build {wanted[0]} stage {wanted[1]}: {told}, {self.seen} seen"))
        self.asked = wanted
        self.ask_at = self.now + self.terms.vote_wait + SECOND // 10
        self.actions.append(Vote(*wanted))

    def _vote_answered(self, news):
        pause = int((1 + self._random()) * self.terms.balancers / self.terms.votes_per_s * SECOND)
        self.ask_at = self.now + max(pause, SECOND // 20)
        if news.outcome == DONE and self.asked:
            self.vote, self.vote_at = (None if self.asked[2] == NO_VOTE else self.asked), self.now
        elif news.outcome != DONE:
            self.ask_at += SECOND // 5

    # A transaction's life.

    def _step(self, tx, what):
        state, effect = LIFE.get((tx.state, what), (tx.state, None))
        tx.state = state
        if effect:
            getattr(self, "_" + effect)(tx)

    def _take(self, event):
        lane = self.terms.lanes[event.lane]
        tx = self.open[event.id] = Transaction(event, lane, self.now)
        self._ring(self.taken, lane).add(self.now)
        self.arrivals.add(self.now)
        if event.key:
            self.keys[event.key] = self.keys.get(event.key, 0) + 1
        self.retries, self.copies = min(20.0, self.retries + RETRIES), min(5.0, self.copies + SECOND_COPIES)
        self._step(tx, "taken")

    def _place(self, tx):
        if len(self.open) > self._limit_for(tx.lane):
            self._give_up(tx)
        elif not self._send(tx):
            self._give_up(tx)

    def _limit_for(self, lane):
        """Open work may be what answers come for within part of the goal (Little's law), so that a queue ends
        before the goal does; beyond it the lanes that earn least for their work are turned away first."""
        # A new instance has seen no answers yet, which is no sign of overload.
        since = min(2 * SECOND, self.now - self.born)
        limit = max(LIMIT_LEAST, self.answers.total(self.now) / since) if since > SECOND else 1000.0
        worth = {name: self.terms.lanes[name].earnings / mean for name, mean in self.means.items()}
        if lane.name not in worth or len(worth) < 2:
            return limit
        low, high = min(worth.values()), max(worth.values())
        return limit * (LANE_PART[0] + (LANE_PART[1] - LANE_PART[0]) * (worth[lane.name] - low)
                             / ((high - low) or 1.0))

    def _groups(self, tx):
        """The builds to try in turn, each as a test on a pod's build, for this transaction."""
        news = self.news
        if news is None:
            return [], 0
        pinned = self.pins.get(tx.key, 0) if self.terms.keys_stay else 0
        allowed = self._may_try(tx.lane)
        below = position(tx.key) < self.ramp and news.phase in (ON_TRIAL, RELEASED)
        astray = news.phase == ON_TRIAL and (tx.sent or tx.key in self.bad_keys or self._hot(tx.key))
        order = ["new", "old"] if below and not astray else ["old", "new"]
        if pinned >= news.build:
            order = ["new"]
        return [group for group in order if group == "old" or allowed], pinned

    def _send(self, tx):
        if self.news is None or len(tx.sent) >= self.terms.max_deliveries or self.now >= tx.ends:
            return False
        groups, pinned = self._groups(tx)
        for group in groups:
            pod = self._choose(tx, group, pinned)
            if pod:
                self._deliver(tx, pod, group)
                return True
        return False

    def _choose(self, tx, group, pinned):
        """Pods of a build take turns; one that is busier, slower, colder or failing is passed over."""
        build, best, found = self.news.build, None, []
        for known in self.pods.values():
            pod = known.listed
            if pod.condition != READY or (pod.build != build if group == "new" else pod.build >= build):
                continue
            if pod.build < pinned or not self._same_group(tx, pod):
                continue
            share = self._share(known)
            if share < 1.0 and not self._cold_room(known, share):
                continue
            score = ((known.out + 1) * known.pace * (1 + 8 * known.fails) * (1 + known.load)
                     / (pod.size * share))
            if self.now < known.shunned or pod.address in tx.pods:
                score += 1e6
            found.append((score, known))
            best = score if best is None or score < best else best
        if not found:
            return None
        self.turn += 1
        near = [known for score, known in found if score <= best * 1.15]
        return near[self.turn % len(near)]

    def _same_group(self, tx, pod):
        """Rule 2: what may have run goes again only to pods that would drop the repeat."""
        if tx.run_by is None or tx.lane.effect == RETRIABLE or tx.lane.group == GROUP_ALL:
            return True
        place = (pod.zone, pod.cell) if tx.lane.group == GROUP_CELL else pod.zone
        was = (tx.run_by.zone, tx.run_by.cell) if tx.lane.group == GROUP_CELL else tx.run_by.zone
        return place == was

    def _deliver(self, tx, known, group):
        pod = known.listed
        if group == "new":
            self._ring(self.tried, tx.lane).add(self.now)
        known.out += 1
        known.sent.add(self.now)
        tx.sent.append(known)
        tx.pods.append(pod.address)
        if tx.run_by is None:
            tx.run_by, tx.run_at = pod, self.now
        left = tx.ends - self.now
        if tx.lane.late_earnings == 0 and self.now < tx.goal:
            left = min(left, tx.goal - self.now)
        self.actions.append(Deliver(tx.id, pod.address, max(1, left)))
        if len(tx.sent) == 1 and self.terms.second_copies and tx.lane.effect == RETRIABLE:
            token = max(self.due, default=0) + 1
            self.due[token] = tx.id
            wait = max(3 * self.means.get(tx.lane.name, tx.lane.latency_goal), 0.4 * tx.lane.latency_goal)
            self.actions.append(SetTimer(self.now + int(wait), token))

    def _may_repeat(self, tx):
        """Rule 2: whether another delivery is allowed after one that may have run or is still out."""
        if tx.run_by is None or tx.lane.effect == RETRIABLE:
            return True
        return tx.lane.effect == FINGERPRINTED and self.now < tx.run_at + tx.lane.window

    def _may_defer(self, tx):
        return (tx.run_by is None or tx.lane.effect == RETRIABLE
                or (tx.lane.effect == FINGERPRINTED and tx.lane.group == GROUP_ALL))

    def _again(self, tx):
        """A delivery ended without an answer: another one while it can still earn, else the answer at once."""
        if tx.out():
            return
        mean = self.means.get(tx.lane.name, 0)
        cost = 0 if tx.run_by is None else 1
        if (self.now + mean < min(tx.goal, tx.ends) and self.retries >= cost and self._may_repeat(tx)
                and self._send(tx)):
            self.retries -= cost
        else:
            self._give_up(tx)

    def _second(self, tx):
        """A second copy for one that is much later than its lane, as long as few need it."""
        mean = self.means.get(tx.lane.name, 0)
        if tx.streams or tx.out() != 1 or self.copies < 1 or 2 * len(self.open) > self._limit_for(tx.lane):
            return
        if self.now + mean < min(tx.goal, tx.ends) and self._may_repeat(tx) and self._send(tx):
            self.copies -= 1

    def _give_up(self, tx):
        """The final answer, at once: sitting on it would only keep the client from trying again."""
        if self._may_defer(tx):
            wait = min(self.terms.max_retry_after, tx.lane.latency_goal // 2) if self.terms.retry_after else 0
            self.actions.append(Defer(tx.id, wait))
        else:
            self.actions.append(Abandon(tx.id))
        tx.state = OVER
        self._close(tx)

    def _close(self, tx):
        if self.terms.may_recall and not tx.streams:
            for number, known in enumerate(tx.sent):
                if known is not None:
                    self.actions.append(Recall(tx.id, number))
        if not tx.out():
            self.open.pop(tx.id, None)

    def _end(self, event):
        tx = self.open.get(event.id)
        if tx is None or event.number >= len(tx.sent) or tx.sent[event.number] is None:
            return
        known, tx.sent[event.number] = tx.sent[event.number], None
        known.out -= 1
        if MEANING[event.outcome] == "unrun" and tx.run_by is known.listed and len(tx.sent) == 1:
            tx.run_by = None
        self._learn(tx, known, event)
        if tx.state != OVER:
            if event.outcome == DONE and self.terms.keys_stay:
                self.pins[tx.key] = max(self.pins.get(tx.key, 0), known.listed.build)
            self._step(tx, "answered" if event.closed else MEANING[event.outcome])
        elif not tx.out():
            self.open.pop(tx.id, None)

    def _learn(self, tx, known, event):
        self._judge(tx, known, event.outcome, event.latency)
        if event.load and "busy" in self.terms.reports:
            known.load = event.load[self.terms.reports.index("busy")]
        if event.outcome in (RECALLED, UNSENT):
            return
        known.fails += 0.1 * ((event.outcome != DONE) - known.fails)
        if event.outcome == UNCONNECTED:
            known.shunned, known.shun = self.now + known.shun, min(SHUN_MOST, 2 * known.shun)
        elif event.outcome == DONE:
            known.shun = SHUN
        if event.outcome == DONE:
            self.answers.add(self.now, GOAL_PART * tx.lane.latency_goal)
            mean = self.means.get(tx.lane.name, event.latency)
            self.means[tx.lane.name] = max(1.0, mean + 0.03 * (event.latency - mean))
            pace = min(4.0, event.latency * self._share(known) / self.means[tx.lane.name])
            known.pace += 0.08 * (pace - known.pace)
            if self._share(known) == 1.0:
                self.served.add(self.now)

    def _left(self, event):
        tx = self.open.get(event.id)
        if tx:
            self._step(tx, "left")

    def _streams(self, event):
        tx = self.open.get(event.id)
        if tx:
            tx.streams = True

    def _complain(self, event):
        """A client found an answer wrong: what was booked as a success is a failure."""
        known = self.pods.get(event.pod)
        if known and self.news and known.listed.build == self.news.build and self.news.phase != WITHDRAWN:
            self._add("failed", True)

    def _tick(self, event):
        if event.token:
            tx = self.open.get(self.due.pop(event.token, None))
            if tx:
                self._step(tx, "slow")
            return
        self.actions.append(SetTimer(self.now + UPKEEP, 0))
        self._settle()
        self._climb()
        self._cast()
        if self.terms.subscribes and self.now >= self.watch_at:
            self.watch_at = self.now + self.terms.ask_within // 2
            self.actions.append(Subscribe(True))
        warm = sum(pod.listed.size for pod in self.pods.values() if self._share(pod) == 1.0)
        if warm:
            self.warm_rate = max(self.warm_rate * 0.995, self.served.total(self.now) / 4 / warm)
        if self.now >= self.keys_at + 2 * SECOND:
            self.keys_at = self.now
            self.keys = {key: count / 2 for key, count in self.keys.items() if count > 0.5}

    def _ignore(self, event):
        """Nothing is sent that this would answer."""

    EVENTS = {PodList: _listed, News: _told, Taken: _take, Ended: _end, ClientLeft: _left, TimerDue: _tick,
              StreamBegan: _streams, Complaint: _complain, Tally: _ignore, Probed: _ignore, Message: _ignore}
