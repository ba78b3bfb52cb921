"""A fleet's day with what a person wants to see of it noted down: a few numbers every half second."""

import numpy as np

from ..interface.clock import TICKS_PER_SECOND
from .servers import PodState
from .simulator import Simulator

LOOK = TICKS_PER_SECOND // 2


class Watched(Simulator):
    """Plays as a Fleet does; looks: what was seen every half second, counts: what happened in each of those."""

    def __init__(self, day, policy):
        super().__init__(day, policy)
        size = day.span // LOOK + 8
        self.names = sorted({1, *(offer.build for offer in day.offers)})
        self.sent = {build: np.zeros(size) for build in self.names}
        self.how = {how: np.zeros(size) for how in ("done", "deferred", "abandoned")}
        self.cast = {verdict: np.zeros(size) for verdict in range(4)}
        self.took = [[] for _ in range(size)]
        self.looks, self.load = [], []

    def play(self):
        self.at(0, self._look)
        return super().play()

    def _place(self):
        return min(self.now // LOOK, len(self.took) - 1)

    def _look(self):
        build, stage, phase, cap = self.news
        running = [pod.build.number for pod in self.pods.values() if pod.state == PodState.UP]
        self.looks.append(
            (
                self.now / TICKS_PER_SECOND,
                build,
                stage,
                phase,
                cap,
                {name: running.count(name) for name in self.names},
            )
        )
        by_place = np.zeros(self.day.pods)
        for pod in self.pods.values():
            if pod.state == PodState.UP:
                place = int(pod.name[1:].split("-")[0])
                by_place[place] = max(
                    by_place[place], pod.wait / (pod.cores * pod.speed * TICKS_PER_SECOND)
                )
        self.load.append(by_place)
        if self.now < self.day.span:
            self.at(self.now + LOOK, self._look)

    def _deliver(self, instance, turn, action):
        pod = self.pods.get(action.endpoint)
        if pod:
            self.sent[pod.build.number][self._place()] += 1
        super()._deliver(instance, turn, action)

    def _answered(self, instance, name, how, wait):
        held = self.transactions.get((instance, name))
        if held is not None:
            self.how[how][self._place()] += 1
            if how == "done":
                self.took[self._place()].append(
                    (self.now - held.first) / self.lanes[held.lane].lane.latency_objective
                )
        super()._answered(instance, name, how, wait)

    def _vote(self, instance, turn, vote):
        self.cast[vote.verdict][self._place()] += 1
        super()._vote(instance, turn, vote)

    def late(self, share=0.95):
        """The time, in goals, that this share of the answers of each half second stayed under; 0 where none came."""
        return np.array([np.quantile(one, share) if one else 0.0 for one in self.took])
