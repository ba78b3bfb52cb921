"""Plays a day in simulated time with any policy: clients, network, pods, discovery, platform, instances.

One heap of moments; all chance comes from the day's seed, in streams of its own for traffic, work and network, so that
two policies meet the same arrivals. Figures from it are simulated.
"""

import heapq
from bisect import bisect_right
from collections.abc import Callable
from itertools import accumulate
from typing import Any, Self

import numpy as np

from ..interface.actions import CancelAttempt, CastVote, Fail, Reject, SendAttempt, SetTimer
from ..interface.clock import TICKS_PER_SECOND, Ticks
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
    Endpoint,
    EndpointUpdate,
    FleetCounts,
    ReleaseUpdate,
    RequestReceived,
    TimerFired,
)
from ..interface.settings import Settings
from ..state.random_source import LinearCongruentialGenerator
from .invariants import InvariantChecker, Listed, Phase
from .random_streams import Stream, gamma, zipf_keys
from .scenarios import Day, FaultKind
from .servers import Build, Pod, PodState
from .shared_services import Connections, Discovery, pace_of

GRACE = 2500  # of drains
CONNECTING = 2500  # a new connection that does not come up
SILENT_CALLS, REFUSED_CALLS = 0.0, 1.0  # sizes of the fault of calls
ROOM, ROOMY = (
    0.25,
    0.25,
)  # of the goal: a wait that is no cause to turn away; of the pods that have no more
PHASES = {
    ReleasePhase.ON_TRIAL: Phase.TRIAL,
    ReleasePhase.ROLLING_BACK: Phase.BACK,
    ReleasePhase.RELEASED: Phase.RELEASED,
    ReleasePhase.WITHDRAWN: Phase.WITHDRAWN,
}


class Job:
    """A delivery on its way or at a pod."""

    __slots__ = (
        "instance",
        "turn",
        "name",
        "number",
        "lane",
        "key",
        "work",
        "sent_at",
        "pod",
        "over",
        "build",
        "linked",
    )

    def __init__(self, instance, turn, name, number, lane, key, work, sent_at, pod, build):
        self.instance, self.turn, self.name, self.number, self.lane, self.key = (
            instance,
            turn,
            name,
            number,
            lane,
            key,
        )
        self.work, self.sent_at, self.pod, self.over, self.build = work, sent_at, pod, False, build
        self.linked = False  # whether it has a connection


class Transaction:
    __slots__ = (
        "name",
        "instance",
        "lane",
        "key",
        "tenant",
        "at",
        "ends",
        "tries",
        "first",
        "work",
        "sent",
    )

    def __init__(self, name, instance, lane, key, tenant, at, ends, tries, first, work):
        self.name, self.instance, self.lane, self.key, self.tenant = (
            name,
            instance,
            lane,
            key,
            tenant,
        )
        self.at, self.ends, self.tries, self.first, self.work, self.sent = (
            at,
            ends,
            tries,
            first,
            work,
            [],
        )


class Simulator:
    """day: see days.py. policy(terms, seed, now): has handle(now, events) -> actions, as the Balancer has."""

    def __init__(self, day: Day, policy: Any) -> None:
        self.day, self.policy, self.now, self.count, self.heap = day, policy, 0, 0, []
        streams = [
            np.random.Generator(np.random.PCG64(one))
            for one in np.random.SeedSequence(day.seed).spawn(6)
        ]
        arrivals, works, network, keys, clients, self.misc = streams
        self.gaps, self.uniform = (
            Stream(lambda n: arrivals.exponential(1.0, n)),
            Stream(arrivals.random),
        )
        self.works = {one.lane.name: gamma(works, one.work, one.spread) for one in day.lanes}
        self.delays, self.losses = gamma(network, *day.delay), Stream(network.random)
        self.keys, self.clients = zipf_keys(keys, day.keys, day.zipf), Stream(clients.random)
        self.strikes = Stream(works.random)
        self.lanes = {one.lane.name: one for one in day.lanes}
        self.builds = {1: Build(1)}
        self.pods = {
            f"p{at}-1": Pod(
                f"p{at}-1",
                day.zones[at % 3],
                cores=day.cores,
                speed=speed,
                queue_most=day.queue,
                build=self.builds[1],
                started=0,
            )
            for at, speed in enumerate(day.speeds)
        }
        self.listed, self.former = {}, {}
        self.checker = InvariantChecker(
            {one.lane.name: one.lane for one in day.lanes},
            GRACE,
            3 * TICKS_PER_SECOND,
            3.0,
            guarded=day.terms.guarded_stages,
            cold=day.cold,
            cold_from=day.cold_from,
            overload=day.terms.overload_window,
        )
        self.news: list[Any] = [1, len(day.terms.stage_fractions) - 1, ReleasePhase.RELEASED, 1.0]
        self.votes, self.moved_at, self.trial = {}, 0, None
        self.transactions, self.balancers, self.turns = {}, {}, [0] * day.instances
        self.scores = {"asked": 0.0, "earned": 0.0, "harm": 0.0, "behind": 0.0}
        self.shares = list(accumulate(day.busy))
        self.tries = [
            [0, 0, 0] for _ in range(day.span // TICKS_PER_SECOND + 20)
        ]  # asked, turned away unsent, of these needless
        self.votes_asked = {"asked": 0, "full": 0, "moot": 0}
        self.calls, self.calls_at, self.newest_good = 2 * day.terms.votes_per_second, 0, 0
        self.lost, self.votes_wait = set(), day.terms.vote_timeout
        self.lost_answers, self.cuts, self.up_to = 0.0, set(), {}
        self.spans = [[0.0, 0.0] for _ in range(day.span // TICKS_PER_SECOND + 20)]
        self.ends, self.latencies, self.by_pod, self.released, self.sent_back = {}, {}, {}, [], []
        self.slow_news = self.slow_list = 0
        self.loss, self.burst = day.loss, 1.0
        self.connections, self.dispatched, self.trial_share, self.slow_all = (
            Connections(day.connections),
            0,
            0.0,
            1.0,
        )
        self.calls_down = None
        self.discovery = (
            Discovery(day.lists, self.at, lambda: self.now, self._watch) if day.lists else None
        )
        self.changes = {}  # to the list, not yet told
        self.course = []  # of the builds: (moment, build, offered, stage, released or back)
        # What is sampled and what a connection costs is drawn beside all other chance: other days stay as they were.
        beside = np.random.Generator(np.random.PCG64([day.seed, 17]))
        self.samples, self.counted = (
            Stream(beside.random),
            {},
        )  # (build, lane): deliveries, failed, time of those done

    def at(self, moment: Ticks, call: Callable[..., Any], *arguments: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (moment, self.count, call, arguments))

    def play(self) -> Self:
        """The whole day; gives itself."""
        day = self.day
        for instance in range(day.instances):
            self._start(instance)
        for fault in day.faults:
            self.at(fault.begin, self._fault, fault, True)
            self.at(fault.end, self._fault, fault, False)
        for offer in day.offers:
            self.at(offer.at, self._offer, offer)
        self.at(0, self._arrive)
        if day.tally_every:
            self.at(day.tally_every, self._tally)
        last = day.span + 2 * TICKS_PER_SECOND
        while self.heap and self.heap[0][0] <= last:
            self.now, _, call, arguments = heapq.heappop(self.heap)
            call(*arguments)
        self.now = last
        self.checker.ended(last)
        return self

    # Instances.

    def _start(self, instance):
        self.turns[instance] += 1
        policy = self.policy(
            self.day.terms, self.day.seed * 1000 + instance * 7 + self.turns[instance], self.now
        )
        self.balancers[instance] = policy
        listed = tuple(
            self._entry(pod)
            for pod in self.pods.values()
            if pod.state in (PodState.UP, PodState.DRAINING)
        )
        for pod in self.pods.values():
            self.checker.started(instance, pod.name, pod.started)
            if pod.state == PodState.DRAINING:
                self.checker.listed(self.now, instance, pod.name, Listed.DRAINING)
        build, stage, phase, cap = self.news
        self.checker.cap(self.now, instance, build, cap, stage, phase=PHASES[phase])
        if self.discovery:  # what it knows is of before, until it gets the list
            chance = LinearCongruentialGenerator(
                self.day.seed * 77 + instance * 13 + self.turns[instance] << 33
            )
            pace = pace_of(self.policy, chance.draw)
            self.discovery.begin(instance, self.turns[instance], pace, self.day.instances)
        self._tell(instance, EndpointUpdate(UpdateKind.CACHED, listed))
        self._tell(instance, ReleaseUpdate(build, stage, phase, False, Outcome.DONE, cap, 0))

    def _watch(self, instance, turn, whole):
        """Whether this life of it is still there; whole: it gets the list."""
        there = self.turns[instance] == turn and self.balancers.get(instance) is not None
        if there and whole:
            entries = [
                self._entry(pod)
                for pod in self.pods.values()
                if pod.state in (PodState.UP, PodState.DRAINING)
            ]
            self._note_list(instance, entries)
            self._tell(instance, EndpointUpdate(UpdateKind.FULL, tuple(entries)))
        return there

    def _note_list(self, instance, entries):
        for entry in entries:
            self.checker.listed(
                self.now,
                instance,
                entry.address,
                Listed.READY if entry.condition == EndpointCondition.READY else Listed.GONE,
            )
            self.checker.started(instance, entry.address, entry.started)

    def _entry(self, pod, condition=None):
        condition = condition or (
            EndpointCondition.READY if pod.state == PodState.UP else EndpointCondition.DRAINING
        )
        return Endpoint(pod.name, pod.zone, 1.0, 0, condition, pod.started, "m", pod.build.number)

    def _tell(self, instance, event):
        policy = self.balancers.get(instance)
        if policy is None:
            return
        turn = self.turns[instance]
        for action in list(policy.handle(self.now, [event])):
            kind = type(action)
            if kind is SetTimer:
                self.at(max(self.now, action.at), self._timer, instance, turn, action.token)
            elif kind is SendAttempt:
                self._deliver(instance, turn, action)
            elif kind is CancelAttempt:
                held = self.transactions.get((instance, action.id))
                if held and action.number < len(held.sent):
                    self.at(self.now, self._end, held.sent[action.number], Outcome.CANCELLED, None)
            elif kind is Reject:
                self._answered(instance, action.id, "deferred", action.retry_after)
            elif kind is Fail:
                self._answered(instance, action.id, "abandoned", 0)
            elif kind is CastVote:
                self.at(self.now + 500, self._vote, instance, turn, action)

    def _timer(self, instance, turn, token):
        if self.turns[instance] == turn:
            self._tell(instance, TimerFired(token))

    # Clients.

    def _arrive(self):
        day = self.day
        if self.now >= day.span:
            return
        self.at(
            self.now + max(1, round(self.gaps.next() * TICKS_PER_SECOND / (day.rate * self.burst))),
            self._arrive,
        )
        instance = min(day.instances - 1, bisect_right(self.shares, self.uniform.next()))
        lot, lane = self.uniform.next(), day.lanes[-1]
        for one in day.lanes:
            lot -= one.share
            if lot < 0:
                lane = one
                break
        key = (
            f"k{self.keys.next()}"
            if lane.lane.idempotency != Idempotency.NON_IDEMPOTENT
            else f"b{self.count}"
        )
        self.scores["asked"] += lane.lane.priority_weight
        self.spans[self.now // TICKS_PER_SECOND][0] += lane.lane.priority_weight
        self._ask(
            instance,
            lane.lane.name,
            key,
            int(self.clients.next() * day.tenants),
            self.now,
            0,
            self.works[lane.lane.name].next(),
        )

    def _ask(self, instance, lane, key, tenant, first, tries, work):
        if self.balancers.get(instance) is None:
            return
        limit = self.lanes[lane].lane.outer_limit
        left = limit - (self.now - first)
        if left <= 0:
            return
        self.count += 1
        name = f"t{self.count}"
        self.transactions[instance, name] = Transaction(
            name, instance, lane, key, tenant, self.now, self.now + left, tries, first, work
        )
        self.checker.taken(self.now, instance, name, lane, self.now + left)
        self.tries[self.now // TICKS_PER_SECOND][0] += 1
        self._tell(
            instance, RequestReceived(name, lane, f"t{tenant}", key, left, None, tries > 0, False)
        )

    def _answered(self, instance: int, name: str, how: str, wait: Ticks) -> None:
        self.checker.answered(self.now, instance, name, how)
        held = self.transactions.get((instance, name))
        if held is None:
            return
        self.ends[how] = self.ends.get(how, 0) + 1
        lane = self.lanes[held.lane].lane
        if how == "done":
            took = self.now - held.first
            earned = (
                lane.priority_weight
                if took <= lane.latency_objective
                else lane.priority_weight * lane.late_priority_weight
            )
            self.scores["earned"] += earned
            self.scores["behind"] += earned * (held.sent[-1].build < self.newest_good)
            self.spans[held.first // TICKS_PER_SECOND][1] += earned
            self.latencies.setdefault(held.lane, []).append(took)
            return self._done_with(instance, name, held)
        if not held.sent:
            some = self.tries[self.now // TICKS_PER_SECOND]
            some[1] += 1
            some[2] += self._needless(instance, lane.latency_objective)
        if how == "deferred" and held.tries < self.day.retries:
            pause = wait if self.clients.next() < self.day.heeds else 50
            self.at(
                self.now + max(1, pause),
                self._ask,
                instance,
                held.lane,
                held.key,
                held.tenant,
                held.first,
                held.tries + 1,
                held.work,
            )
        self._done_with(instance, name, held)

    def _done_with(self, instance, name, held):
        if all(job.over for job in held.sent):
            del self.transactions[instance, name]

    def _needless(self, instance, goal):
        """Whether a part of the pods of the usual builds that this instance can reach had room at this moment."""
        usual = [
            pod
            for pod in self.pods.values()
            if pod.state == PodState.UP
            and self._reached(instance, pod)
            and (pod.build.number < self.news[0] or self.news[2] == ReleasePhase.RELEASED)
        ]
        return sum(pod.fits(self.now, ROOM * goal) for pod in usual) > ROOMY * len(usual)

    def _reached(self, instance, pod):
        """A zone that is cut off reaches itself alone."""
        if not self.cuts:
            return True
        here = self.day.zones[instance % len(self.day.zones)]
        return here == pod.zone or not self.cuts & {here, pod.zone}

    # Deliveries.

    def _deliver(self, instance: int, turn: int, action: SendAttempt) -> None:
        # Where lists do not come, what has gone is sent to: nobody answers there.
        pod = self.pods.get(action.endpoint) or self.former.get(action.endpoint)
        held = self.transactions.get((instance, action.id))
        build = pod.build.number if pod else 0
        number = len(held.sent) if held else action.number
        job = Job(
            instance,
            turn,
            action.id,
            number,
            held.lane if held else "",
            held.key if held else "",
            held.work if held else 1.0,
            self.now,
            action.endpoint,
            build,
        )
        if held is None or pod is None:
            self.at(self.now, self._end, job, Outcome.NOT_SENT, False)
            return
        held.sent.append(job)
        self.by_pod[action.endpoint] = self.by_pod.get(action.endpoint, 0) + 1
        self.checker.sent(
            self.now,
            instance,
            action.id,
            action.endpoint,
            build,
            lane=held.lane,
            key=held.key,
            work=held.work,
            started=pod.started,
            capacity=pod.cores * pod.speed,
        )
        ends, line = min(self.now + action.timeout, held.ends), (instance, turn, action.endpoint)
        if pod.silent or not self._reached(instance, pod):
            # Nothing is said: what stands open takes the delivery, a new connection never comes up.
            if self.now - self.up_to.pop(line, -(10**9)) > 15 * TICKS_PER_SECOND:
                self.at(
                    min(ends, self.now + CONNECTING), self._end, job, Outcome.CONNECT_FAILED, False
                )
            else:
                self.at(ends, self._end, job, Outcome.TIMED_OUT, None)
            return
        made = self.connections.made
        job.linked = self.connections.take(self.now, line, action.endpoint)
        fresh = self.day.handshake and self.connections.made > made
        self.dispatched += 1
        self.trial_share += 0.002 * ((build == self.news[0]) - self.trial_share)
        if not job.linked:
            self.at(min(ends, self.now + 10), self._end, job, Outcome.CONNECT_FAILED, False)
            return
        if self.losses.next() < self.loss or pod.state == PodState.DOWN:
            self.at(min(ends, self.now + 2500), self._end, job, Outcome.CONNECT_FAILED, False)
            return
        self.at(ends, self._end, job, Outcome.TIMED_OUT, None)
        way = self.delays.next()
        if fresh:  # its two round trips, and what the pod's cores do for it
            way, job.work = 5 * way, job.work + self.day.handshake * (0.5 + self.samples.next())
        self.at(self.now + max(1, round(way)), self._reach, job)

    def _reach(self, job):
        pod = self.pods.get(job.pod)
        shared = (
            self.builds[self.news[0]].shared
            if self.news[2] in (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED)
            else 0.0
        )
        job.work *= self.slow_all * (1 + shared * self.trial_share)
        took = pod.take(self.now, job) if pod else False
        if took is False:
            self.at(
                self.now + max(1, round(self.delays.next())),
                self._end,
                job,
                Outcome.REJECTED,
                False,
            )
        elif took is not None:
            self.at(self.now + took, self._served, pod, job)

    def _served(self, pod, job):
        if self.now < pod.paused:  # everything in it stands still
            return self.at(pod.paused + 1, self._served, pod, job)
        following = pod.finish(self.now)
        if following:
            self.at(self.now + following[1], self._served, pod, following[0])
        if pod.state == PodState.DOWN:
            return
        self.checker.ran(self.now, job.name, job.lane)
        build = pod.build
        fails = self.strikes.next() < (
            build.fails if build.strikes(pod, self.now, job.lane) else 0.001
        )
        fails = fails or (pod.name in self.listed and self.strikes.next() < self.listed[pod.name])
        if (
            fails
            and self.lanes[job.lane].lane.idempotency != Idempotency.IDEMPOTENT
            and build.fails
        ):
            self.scores["harm"] += self.lanes[job.lane].lane.priority_weight
        if pod.silent or not self._reached(job.instance, pod):
            return
        if self.lost_answers and self.strikes.next() < self.lost_answers:
            self.at(
                self.now + max(1, round(self.delays.next())), self._end, job, Outcome.RESET, None
            )
            return
        self.up_to[job.instance, job.turn, job.pod] = self.now
        self.at(
            self.now + max(1, round(self.delays.next())),
            self._end,
            job,
            Outcome.ERROR if fails else Outcome.DONE,
            None if fails else True,
        )

    def _end(self, job, outcome, ran):
        if job.over:
            return
        job.over = True
        if job.linked:
            self.connections.give(
                self.now,
                (job.instance, job.turn, job.pod),
                job.pod,
                outcome in (Outcome.DONE, Outcome.ERROR, Outcome.REJECTED),
            )
        instance = job.instance
        if self.turns[instance] != job.turn or self.balancers.get(instance) is None:
            return
        if self.day.tally_every and outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self._sample(job, outcome)
        held = self.transactions.get((instance, job.name))
        over = (instance, job.name) in self.checker.over
        if held is not None and job in held.sent:
            self.checker.proved(instance, job.name, job.number, ran)
        if outcome == Outcome.DONE:
            self.checker.key_answered(instance, job.key, job.build)
            if not over:
                self._answered(instance, job.name, "done", 0)
        self._tell(
            instance,
            AttemptEnded(
                job.name,
                outcome,
                over or outcome == Outcome.DONE,
                self.now - job.sent_at,
                job.pod,
                job.number,
                None,
            ),
        )
        if (
            held is not None
            and (instance, job.name) in self.checker.over
            and all(one.over for one in held.sent)
        ):
            self.transactions.pop((instance, job.name), None)

    # Discovery and the platform.

    def _list(self, *entries):
        """Changes go out at once, or with all others of the moment: for hundreds each list is work."""
        if not self.day.list_every:
            return self._send_list(entries)
        if not self.changes:
            self.at(self.now + self.day.list_every, self._send_changes)
        self.changes.update((entry.address, entry) for entry in entries)

    def _send_changes(self):
        self._send_list(tuple(self.changes.values()))
        self.changes = {}

    def _send_list(self, entries):
        """Changes reach each instance a while later."""
        for instance in range(self.day.instances):
            lag = self.day.list_lag * (0.5 + self.misc.random()) + self.slow_list
            self.at(self.now + int(lag), self._told_list, instance, entries)

    def _told_list(self, instance, entries):
        if self.balancers.get(instance) is None:
            return
        if self.discovery and self.discovery.standing.get(instance) != self.turns[instance]:
            return  # nothing is told to those without a watch; they get the whole list with the next one
        entries = [
            entry
            for entry in entries
            if entry.condition != EndpointCondition.READY or entry.address in self.pods
        ]
        self._note_list(instance, entries)
        self._tell(instance, EndpointUpdate(UpdateKind.DELTA, entries))

    def _announce(self):
        news = tuple(self.news)
        for instance in range(self.day.instances):
            lag = self.day.news_lag * (0.5 + self.misc.random()) + self.slow_news
            self.at(self.now + int(lag), self._told_news, instance, news)

    def _told_news(self, instance, news, answers=False, outcome=Outcome.DONE):
        if self.balancers.get(instance) is None or self._off(instance):
            return
        build, stage, phase, cap = news
        if outcome == Outcome.DONE:
            self.checker.cap(self.now, instance, build, cap, stage, phase=PHASES[phase])
        self._tell(instance, ReleaseUpdate(build, stage, phase, answers, outcome, cap, 0))

    def _sample(self, job, outcome):
        """The platform counts a part of the attempts when they end."""
        if self.samples.next() < self.day.tally_share:
            some = self.counted.setdefault((job.build, job.lane), [0, 0, 0])
            some[0] += 1
            some[1] += outcome != Outcome.DONE
            some[2] += (self.now - job.sent_at) * (outcome == Outcome.DONE)

    def _tally(self):
        """A period is over: what was counted is told to each instance a while later."""
        rows = [
            (build, lane, seen, failed, round(took / max(1, seen - failed)))
            for (build, lane), (seen, failed, took) in sorted(self.counted.items())
        ]
        self.counted = {}
        for instance in range(self.day.instances):
            lag = int(self.day.tally_lag * (0.95 + 0.1 * self.samples.next()))
            self.at(self.now + lag, self._told_tally, instance, rows, self.now)
        if self.now < self.day.span:
            self.at(self.now + self.day.tally_every, self._tally)

    def _told_tally(self, instance, rows, end):
        if self._off(instance) or self.calls_down is not None:
            return  # it is not told again
        for row in rows:
            self._tell(instance, FleetCounts(*row, self.now - end))

    def _offer(self, offer):
        if self.news[2] == ReleasePhase.ON_TRIAL:  # it takes off what is still on trial
            self._back()
            self.sent_back.pop()  # not by votes
        self.builds[offer.build] = Build(
            offer.build,
            offer.fails,
            slow=offer.slow,
            after=offer.after,
            load=offer.load,
            shared=offer.shared,
        )
        self.trial_share = 0.0
        self.news = [offer.build, 0, ReleasePhase.ON_TRIAL, self.day.caps[0]]
        self.votes, self.trial = {}, offer
        self.newest_good = offer.build if offer.good else self.newest_good
        self.course.append((self.now, offer.build, "offered"))
        self._stage()

    def _stage(self):
        build, stage = self.news[0], self.news[1]
        self.course.append((self.now, build, "stage"))
        self._announce()
        wanted = max(1, round(self.day.terms.stage_fractions[stage] * self.day.pods))
        running = sum(pod.build.number == build for pod in self.pods.values())
        spread = self.day.boot_spread
        boots = [
            int(self.day.boot * (1 - spread + 2 * spread * self.misc.random()))
            for _ in range(running, wanted)
        ]
        for at, boot in zip(range(running, wanted), boots):
            self.at(self.now + boot, self._boot, build, at)
        self.moved_at = (
            self.now + (max(boots, default=0) + TICKS_PER_SECOND) * self.day.machines_first
        )
        self.at(self.moved_at + self.day.stage_least, self._count_votes, build, stage)

    def _boot(self, build, at):
        if self.news[0] != build or self.news[2] not in (
            ReleasePhase.ON_TRIAL,
            ReleasePhase.RELEASED,
        ):
            return
        name = f"p{at}-{build}"
        if any(self.day.zones[at % 3] == zone for zone in self.lost):
            return self.at(self.now + TICKS_PER_SECOND, self._boot, build, at)
        pod = Pod(
            name,
            self.day.zones[at % 3],
            cores=self.day.cores,
            speed=self.day.speeds[at],
            queue_most=self.day.queue,
            build=self.builds[build],
            started=self.now,
            cold=self.day.cold,
            cold_from=self.day.cold_from,
        )
        self.pods[name] = pod
        self._list(self._entry(pod))

    def _vote(self, instance: int, turn: int, vote: CastVote) -> None:
        if self.turns[instance] != turn or self._off(instance) or self.calls_down == SILENT_CALLS:
            self.at(self.now + self.votes_wait, self._told_vote, instance, turn, Outcome.TIMED_OUT)
            return
        self.votes_asked["asked"] += 1
        self.calls = min(
            2 * self.day.terms.votes_per_second,
            self.calls
            + (self.now - self.calls_at) * self.day.terms.votes_per_second / TICKS_PER_SECOND,
        )
        self.calls_at = self.now
        if self.calls < 1 or self.calls_down == REFUSED_CALLS:
            self.votes_asked["full"] += 1
            self.at(self.now + 500, self._told_vote, instance, turn, Outcome.REJECTED)
            return
        self.calls -= 1
        build, stage, phase, _ = self.news
        fits = (
            vote.build == build
            and (vote.stage == stage or vote.verdict == Verdict.ABORT)
            and phase in (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED)
        )
        if fits:
            self.votes[instance] = vote.verdict, self.now
            self._count_votes(build, stage)
        self.votes_asked["moot"] += not fits
        self.at(
            self.now + 500,
            self._told_vote,
            instance,
            turn,
            Outcome.DONE if fits else Outcome.NOT_SENT,
        )

    def _told_vote(self, instance, turn, outcome):
        if self.turns[instance] == turn:
            self._told_news(instance, tuple(self.news), True, outcome)

    def _off(self, instance):
        """Cut off from the platform, which stands in the first zone."""
        here, there = self.day.zones[instance % len(self.day.zones)], self.day.zones[0]
        return bool(self.cuts) and here != there and bool(self.cuts & {here, there})

    def _count_votes(self, build, stage):
        if (build, stage) != tuple(self.news[:2]) or self.news[2] not in (
            ReleasePhase.ON_TRIAL,
            ReleasePhase.RELEASED,
        ):
            return
        live = [
            verdict
            for verdict, at in self.votes.values()
            if self.now - at <= self.day.terms.vote_lifetime
        ]
        if live.count(Verdict.ABORT) >= self.day.terms.votes_to_revert:
            self._back()
        elif (
            self.news[2] == ReleasePhase.ON_TRIAL
            and live.count(Verdict.PROMOTE) >= max(1, self.day.advance or self.day.instances // 2)
            and self.now >= self.moved_at + self.day.stage_least
        ):
            self.votes = {}
            if stage + 1 < len(self.day.caps):
                self.news[1:] = [stage + 1, ReleasePhase.ON_TRIAL, self.day.caps[stage + 1]]
                self._stage()
            else:
                self.news[2:] = [ReleasePhase.RELEASED, 1.0]
                self.released.append(build)
                self.course.append((self.now, build, "released"))
                self._announce()
                if self.day.drain_after:
                    self.at(self.now + self.day.drain_after, self._leave, build)
                else:
                    self._leave(build)

    def _leave(self, build):
        """The machines of earlier builds go, unless the released one has been taken back since."""
        if self.news[0] > build or self.news[2] == ReleasePhase.RELEASED:
            self._drain(lambda pod: pod.build.number < build)

    def _back(self):
        build = self.news[0]
        self.sent_back.append(build)
        self.course.append((self.now, build, "back"))
        self.news[2:] = [ReleasePhase.ROLLING_BACK, 0.0]
        self._announce()
        earlier = [
            pod
            for pod in self.pods.values()
            if pod.build.number < build and pod.state == PodState.UP
        ]
        if (
            len(earlier) < self.day.pods
        ):  # the earlier machines have left: others of the earlier build start first
            last = max((number for number in self.builds if number < build), default=1)
            for at in range(len(earlier), self.day.pods):
                pod = Pod(
                    f"p{at}-{build}r",
                    self.day.zones[at % 3],
                    cores=self.day.cores,
                    speed=self.day.speeds[at],
                    queue_most=self.day.queue,
                    build=self.builds[last],
                    started=self.now,
                    cold=self.day.cold,
                    cold_from=self.day.cold_from,
                )
                self.pods[pod.name] = pod
                self._list(self._entry(pod))
        self._drain(lambda pod: pod.build.number == build)
        self.at(self.now + 2 * TICKS_PER_SECOND, self._withdrawn, build)

    def _withdrawn(self, build):
        if self.news[0] == build and self.news[2] == ReleasePhase.ROLLING_BACK:
            self.news[2:] = [ReleasePhase.WITHDRAWN, 0.0]
            self._announce()

    def _drain(self, which):
        leaving = [pod for pod in self.pods.values() if pod.state == PodState.UP and which(pod)]
        for pod in leaving:
            pod.state = PodState.DRAINING
            self.at(self.now + self.day.gone_after, self._gone, pod)
        if leaving:
            self._list(*(self._entry(pod) for pod in leaving))

    def _gone(self, pod):
        pod.state = PodState.DOWN
        self.connections.drop(lambda line: line[2] == pod.name)
        self.former[pod.name] = self.pods.pop(pod.name, pod)
        self._list(self._entry(pod, EndpointCondition.GONE))

    # Faults.

    def _fault(self, fault, begins):
        if fault.kind == FaultKind.SLOW_PODS:
            for pod in self.pods.values():
                if int(pod.name[1:].split("-")[0]) in fault.what:
                    pod.speed *= 1 / fault.size if begins else fault.size
        elif fault.kind == FaultKind.ERRORS:
            for at in fault.what:
                if begins:
                    self.listed[f"p{at}-1"] = fault.size
                else:
                    self.listed.pop(f"p{at}-1", None)
        elif fault.kind == FaultKind.CONNECTION_LOSS:
            self.loss = fault.size if begins else self.day.loss
        elif fault.kind == FaultKind.LATE_LISTS:
            self.slow_list = int(fault.size) if begins else 0
        elif fault.kind == FaultKind.LATE_RELEASE_UPDATES:
            self.slow_news = int(fault.size) if begins else 0
        elif fault.kind == FaultKind.BURST:
            self.burst = fault.size if begins else 1.0
        elif fault.kind == FaultKind.SLOW_ALL:
            self.slow_all = fault.size if begins else 1.0
        elif fault.kind == FaultKind.CALLS_DOWN:
            self.calls_down = fault.size if begins else None
        elif fault.kind == FaultKind.LOST_ANSWERS:
            self.lost_answers = fault.size if begins else 0.0
        elif fault.kind == FaultKind.ZONE_CUT:
            zones = {self.day.zones[at] for at in fault.what}
            self.cuts = self.cuts | zones if begins else self.cuts - zones
            if not begins:
                self._announce()  # news comes again and again: what was missed is told then
        elif fault.kind == FaultKind.SILENT_PODS:
            for pod in self.pods.values():
                pod.silent = begins and int(pod.name[1:].split("-")[0]) in fault.what
        elif fault.kind == FaultKind.PAUSES and begins:
            self._pause(fault)
        elif fault.kind == FaultKind.ZONE_LOSS:
            self._zone(self.day.zones[fault.what[0]], begins)
        elif fault.kind == FaultKind.RESTARTS and begins:
            for instance in fault.what:
                self.balancers[instance] = None
                self.turns[instance] += 1
                self.checker.killed(self.now, instance)
                self.connections.drop(lambda line, one=instance: line[0] == one)
                for key in [key for key in self.transactions if key[0] == instance]:
                    del self.transactions[key]
                self.at(
                    self.now + int(fault.size * (0.5 + self.misc.random())), self._start, instance
                )

    def _pause(self, fault):
        """The machines at these places stand still again and again, for so long each time."""
        for pod in self.pods.values():
            if int(pod.name[1:].split("-")[0]) in fault.what and self.misc.random() < 0.3:
                pod.paused = self.now + int(fault.size * (0.5 + self.misc.random()))
        if self.now + TICKS_PER_SECOND < fault.end:
            self.at(self.now + TICKS_PER_SECOND, self._pause, fault)

    def _zone(self, zone, begins):
        """All that runs in a zone is lost at once and says nothing; it comes back cold, at the same places."""
        if begins:
            self.lost.add(zone)
        else:
            self.lost.discard(zone)
        for pod in [
            one for one in self.pods.values() if one.zone == zone and one.state == PodState.UP
        ]:
            pod.silent = begins
            if not begins:
                fresh = Pod(
                    pod.name,
                    pod.zone,
                    cores=pod.cores,
                    speed=pod.speed,
                    queue_most=pod.queue_most,
                    build=pod.build,
                    started=self.now,
                    cold=self.day.cold,
                    cold_from=self.day.cold_from,
                )
                pod.state = PodState.DOWN
                self.connections.drop(lambda line, one=pod.name: line[2] == one)
                self.pods[pod.name] = fresh
                self._list(self._entry(fresh))

    # What came of it.

    def disagreements(self) -> list[tuple[int, int, int]]:
        """Instances that count other attempts in flight than there are: (instance, its count, the world's)."""
        out = dict.fromkeys(range(self.day.instances), 0)
        for (instance, _), held in self.transactions.items():
            out[instance] += sum(not job.over for job in held.sent)
        found = []
        for instance, engine in self.balancers.items():
            if engine is None:
                continue
            counted = sum(
                attempt.in_flight
                for request in engine.requests.open.values()
                for attempt in request.attempts
            )
            if counted != out[instance]:
                found.append((instance, counted, out[instance]))
        return found

    def service(self) -> float:
        """Earnings answered within the goal over earnings asked for."""
        return self.scores["earned"] / max(1e-9, self.scores["asked"])

    def worst(self, seconds: int = 10) -> float:
        """The same in the worst stretch."""
        best = 1.0
        whole = self.day.span // TICKS_PER_SECOND
        for begin in range(max(1, whole - seconds)):
            asked = sum(one[0] for one in self.spans[begin : begin + seconds])
            earned = sum(one[1] for one in self.spans[begin : begin + seconds])
            best = min(best, earned / asked if asked else 1.0)
        return best

    def needless(self, begin: int = 0, end: int | None = None) -> tuple[float, float]:
        """(turned away unsent, of these needlessly) as shares of all tries within these seconds."""
        some = self.tries[begin:end]
        asked = max(1, sum(one[0] for one in some))
        return sum(one[1] for one in some) / asked, sum(one[2] for one in some) / asked

    def recovered(self, end: Ticks, least: float = 0.05) -> int:
        """Seconds from this moment until no more than this share is turned away for two seconds on end."""
        begin = -(-end // TICKS_PER_SECOND)
        for at in range(begin, self.day.span // TICKS_PER_SECOND - 1):
            if self.needless(at, at + 2)[0] <= least:
                return at - begin
        return self.day.span // TICKS_PER_SECOND - begin

    def spent(self, build: int, end: Ticks) -> tuple[float, float]:
        """(seconds from its offer to its release or, if it was not released, until end; seconds that it could hurt:
        from its release or, if it was not, from the begin of its last stage, until it went back, or end). end: when
        what is still going on ceases to count."""
        told = {what: at for at, one, what in self.course if one == build}
        begin = told.get("released", told.get("stage", end))
        return (
            (told.get("released", end) - told.get("offered", end)) / TICKS_PER_SECOND,
            (max(begin, told.get("back", end)) - begin) / TICKS_PER_SECOND,
        )

    def worth(self, behind: float = 0.5, harm: float = 5.0) -> float:
        """Service less what old builds and harm cost, each by its price."""
        asked = max(1e-9, self.scores["asked"])
        return (
            self.service() - (behind * self.scores["behind"] + harm * self.scores["harm"]) / asked
        )

    def figures(self) -> dict[str, Any]:
        return {
            "service": round(self.service(), 4),
            "worst_10s": round(self.worst(), 4),
            "harm": round(self.scores["harm"] / max(1e-9, self.scores["asked"]), 4),
            "ends": self.ends,
            "released": self.released,
            "good": [one.build for one in self.day.offers if one.good],
            "rules_broken": self.checker.rules_broken(),
            "breaches": len(self.checker.broken),
        }


def current_engine(terms: Settings, seed: int, now: Ticks) -> Any:
    """The project's own decisions."""
    from ..policy.engine import DecisionEngine

    return DecisionEngine(terms, LinearCongruentialGenerator(seed).state, now)
