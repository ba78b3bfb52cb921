"""A fleet in simulated time that serves transactions by the real decisions, with or without gossip: pods that answer
after a while, some of which fail; instances of which few are loud. Figures from it are simulated.
"""

import random

from measure.hostile import Liar
from measure.world import TERMS, World
from thymeknot import interface as i
from thymeknot.balance import Balancer
from thymeknot.gossip.suspicion import Pod

SECOND = 10_000
LANES = {
    "read": i.Lane("read", i.RETRIABLE, i.GROUP_ALL, 5 * SECOND, SECOND // 2, 2 * SECOND, 1.0, 0.0)
}
SHOP = i.Terms(
    lanes=LANES,
    balancers=1,
    subscribes=False,
    max_deliveries=3,
    max_retry_after=SECOND,
    second_copies=False,
    may_recall=False,
    retry_after=True,
    reports=(),
    ask_within=10 * SECOND,
    cold_from=0.25,
    cold=4 * SECOND,
    fall_multiple=2.0,
    overload_for=SECOND,
    exposure_window=2 * SECOND,
    allowance=2.0,
    guarded_stages=1,
    waves=(0.1, 0.5, 1.0),
    by_lane=False,
    keys_stay=True,
    replaces=False,
    decided_by=i.BY_COUNT,
    votes_to_revert=1,
    vote_life=4 * SECOND,
    vote_wait=SECOND,
    votes_per_s=100.0,
)


class Shop:
    """names: rates of transactions a second by instance. ill: {pod: share of its deliveries that fail}. liars: names
    that lie about all other pods each second. gossip: whether the nodes speak at all."""

    def __init__(self, rates, pods, ill, seed, gossip=True, liars=(), terms=TERMS, loss=0.0):
        self.world, self.chance = World(list(rates), seed, loss=loss), random.Random(seed)
        self.rates, self.ill, self.gossip, self.terms = rates, ill, gossip, terms
        self.pods = [i.Pod(f"s-{at}", "a", 1.0, 0, i.READY, 0, "m", 1) for at in range(pods)]
        self.said = [Pod(pod.address, "", 1, 0) for pod in self.pods]
        self.balancers, self.counts, self.numbers = {}, {}, 0
        for instance in self.world.instances.values():
            instance.terms = terms
        if gossip:
            self.world.begin()
            self.world.acquaint()
        self.liars = {
            name: Liar(
                self.world.instances[name].node,
                [one for one in self.said if one.pod not in ill],
                spoil=False,
            )
            for name in liars
            if gossip
        }
        for name in rates:
            balancer = Balancer(
                SHOP._replace(balancers=len(rates)), self.chance.getrandbits(60), self.world.now
            )
            self.balancers[name] = balancer
            self.counts[name] = {"deliveries": 0, "failed": 0, "ill": 0, "done": 0, "taken": 0}
            news = i.News(1, 2, i.RELEASED, False, i.DONE, 1.0, 0)
            self._act(
                name,
                balancer.handle(self.world.now, [i.PodList(i.REMEMBERED, tuple(self.pods)), news]),
            )
            if gossip:
                self.world.instances[name].node.belief.listed(self.said)
            self._next(name)
        self.world.at(self.world.now + SECOND, self._lie)

    def _lie(self):
        for name, liar in self.liars.items():
            liar.lies(self.world.instances[name].clock())
            self.world.instances[name].flush()
        self.world.at(self.world.now + SECOND, self._lie)

    def _next(self, name):
        self.world.at(
            self.world.now + max(1, int(self.chance.expovariate(self.rates[name]) * SECOND)),
            self._arrive,
            name,
        )

    def _arrive(self, name):
        self.numbers += 1
        self.counts[name]["taken"] += 1
        self._tell(
            name,
            i.Taken(
                f"{self.numbers:x}",
                "read",
                None,
                f"{self.chance.getrandbits(40):x}",
                2 * SECOND,
                None,
                False,
                False,
            ),
        )
        self._next(name)

    def _tell(self, name, event):
        now = self.world.now
        node = self.world.instances[name].node
        events = []
        if node is not None and node.doubts:
            doubts, node.doubts = node.doubts, []
            events = [
                i.Doubted(one.pod.pod, one.pod.build, one.pod.started, one.until) for one in doubts
            ]
        self._act(name, self.balancers[name].handle(now, [*events, event]))

    def _act(self, name, actions):
        for action in list(actions):
            if type(action) is i.SetTimer:
                self.world.at(action.at, self._tell, name, i.TimerDue(action.token))
            elif type(action) is i.Deliver:
                latency = int(self.chance.gammavariate(4, 50))
                self.world.at(
                    self.world.now + latency,
                    self._ended,
                    name,
                    action,
                    latency,
                    self._number(name, action),
                )

    def _number(self, name, action):
        return len(self.balancers[name].open[action.id].sent) - 1

    def _ended(self, name, action, latency, number):
        failed = self.chance.random() < self.ill.get(action.pod, 0.002)
        counts = self.counts[name]
        counts["deliveries"] += 1
        counts["failed"] += failed
        counts["ill"] += action.pod in self.ill
        counts["done"] += not failed
        node = self.world.instances[name].node
        if node is not None:
            node.belief.ended(self.world.instances[name].clock(), action.pod, failed)
        self._tell(
            name,
            i.Ended(
                action.id,
                i.ERROR if failed else i.DONE,
                not failed,
                latency,
                action.pod,
                number,
                None,
            ),
        )

    def share_failed(self, names):
        deliveries = sum(self.counts[name]["deliveries"] for name in names)
        return sum(self.counts[name]["failed"] for name in names) / max(1, deliveries)
