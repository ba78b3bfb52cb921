"""A fleet in simulated time that serves transactions by the real decisions, with or without gossip: pods that answer
after a while, some of which fail; instances of which few are loud. Figures from it are simulated.
"""

import random

from measure.hostile import Liar
from measure.world import TERMS, World
from tests.support.decisions import ENGINE_SETTINGS as SETTINGS
from thymeknot.gossip.own_experience import EndpointKey
from thymeknot.interface.actions import SendAttempt, SetTimer
from thymeknot.interface.enums import (
    DeduplicationScope,
    EndpointCondition,
    Idempotency,
    Outcome,
    ReleasePhase,
    UpdateKind,
)
from thymeknot.interface.events import (
    AttemptEnded,
    Endpoint,
    EndpointUpdate,
    ReleaseUpdate,
    RequestReceived,
    SuspicionReported,
    TimerFired,
)
from thymeknot.interface.settings import RequestClass
from thymeknot.policy.engine import DecisionEngine

SECOND = 10_000
LANES = {
    "read": RequestClass(
        "read",
        Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL,
        5 * SECOND,
        SECOND // 2,
        2 * SECOND,
        1.0,
        0.0,
    )
}
SHOP = SETTINGS._replace(
    request_classes=LANES,
    instances=1,
    max_attempts=3,
    hedging_allowed=False,
    cancellation_allowed=False,
    stage_fractions=(0.1, 0.5, 1.0),
)


class Shop:
    """names: rates of transactions a second by instance. ill: {pod: share of its deliveries that fail}. liars: names
    that lie about all other pods each second. gossip: whether the nodes speak at all."""

    def __init__(self, rates, pods, ill, seed, gossip=True, liars=(), terms=TERMS, loss=0.0):
        self.world, self.chance = World(list(rates), seed, loss=loss), random.Random(seed)
        self.rates, self.ill, self.gossip, self.terms = rates, ill, gossip, terms
        self.pods = [
            Endpoint(f"s-{at}", "a", 1.0, 0, EndpointCondition.READY, 0, "m", 1)
            for at in range(pods)
        ]
        self.said = [EndpointKey(pod.address, "", 1, 0) for pod in self.pods]
        self.balancers, self.counts, self.numbers = {}, {}, 0
        for instance in self.world.instances.values():
            instance.terms = terms
        if gossip:
            self.world.begin()
            self.world.acquaint()
        self.liars = {
            name: Liar(
                self.world.instances[name].node,
                [one for one in self.said if one.id not in ill],
                spoil=False,
            )
            for name in liars
            if gossip
        }
        for name in rates:
            balancer = DecisionEngine(
                SHOP._replace(instances=len(rates)), self.chance.getrandbits(60), self.world.now
            )
            self.balancers[name] = balancer
            self.counts[name] = {"deliveries": 0, "failed": 0, "ill": 0, "done": 0, "taken": 0}
            news = ReleaseUpdate(1, 2, ReleasePhase.RELEASED, False, Outcome.DONE, 1.0, 0)
            self._act(
                name,
                balancer.handle(
                    self.world.now, [EndpointUpdate(UpdateKind.CACHED, tuple(self.pods)), news]
                ),
            )
            if gossip:
                self.world.instances[name].node.suspicions.set_endpoints(self.said)
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
            RequestReceived(
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
        if node is not None and node.changed_suspicions:
            doubts = node.take_suspicions()
            events = [
                SuspicionReported(
                    one.endpoint.id, one.endpoint.build, one.endpoint.started, one.until
                )
                for one in doubts
            ]
        self._act(name, self.balancers[name].handle(now, [*events, event]))

    def _act(self, name, actions):
        for action in list(actions):
            if type(action) is SetTimer:
                self.world.at(action.at, self._tell, name, TimerFired(action.token))
            elif type(action) is SendAttempt:
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
        return len(self.balancers[name].requests.open[action.id].attempts) - 1

    def _ended(self, name, action, latency, number):
        failed = self.chance.random() < self.ill.get(action.endpoint, 0.002)
        counts = self.counts[name]
        counts["deliveries"] += 1
        counts["failed"] += failed
        counts["ill"] += action.endpoint in self.ill
        counts["done"] += not failed
        node = self.world.instances[name].node
        if node is not None:
            node.suspicions.record_attempt(
                self.world.instances[name].clock(), action.endpoint, failed
            )
        self._tell(
            name,
            AttemptEnded(
                action.id,
                Outcome.ERROR if failed else Outcome.DONE,
                not failed,
                latency,
                action.endpoint,
                number,
                None,
            ),
        )

    def share_failed(self, names):
        deliveries = sum(self.counts[name]["deliveries"] for name in names)
        return sum(self.counts[name]["failed"] for name in names) / max(1, deliveries)
