"""A simulated fleet whose instances send requests to endpoints, with or without gossip.

The decisions are those of the real decision engine. Endpoints respond after a random latency; some
fail a share of their attempts. Instances may have different request rates. Figures from it are
simulated.
"""

import random

from measure.hostile import Liar
from measure.world import TERMS, World
from tests.support.decisions import ENGINE_SETTINGS
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
REQUEST_CLASSES = {
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
SHOP_SETTINGS = ENGINE_SETTINGS._replace(
    request_classes=REQUEST_CLASSES,
    instances=1,
    max_attempts=3,
    hedging_allowed=False,
    cancellation_allowed=False,
    stage_fractions=(0.1, 0.5, 1.0),
)


class Shop:
    """A simulated fleet.

    Attributes:
        world: The simulated network of gossip nodes; its event queue also runs the requests.
        random_source: Random numbers of the requests.
        rates: Requests per second, by instance name.
        failure_rates: Share of attempts that fail, by the address of a faulty endpoint.
        gossip: Whether the gossip nodes are started.
        settings: Gossip settings.
        endpoints: The endpoints.
        endpoint_keys: Their keys in gossip.
        liars: Hostile peers by instance name; once a second they send false evidence about all
            endpoints that are not faulty.
        balancers: Decision engines by instance name.
        counts: Counts by instance name: `taken` requests, `deliveries` (attempts), how many of them
            `failed`, were `done` or were sent to a faulty (`ill`) endpoint.
        request_count: Number of requests so far, from which the request ids are derived.
    """

    def __init__(
        self,
        rates,
        endpoint_count,
        failure_rates,
        seed,
        gossip=True,
        liars=(),
        settings=TERMS,
        loss=0.0,
    ):
        self.world, self.random_source = World(list(rates), seed, loss=loss), random.Random(seed)
        self.rates, self.failure_rates, self.gossip, self.settings = (
            rates,
            failure_rates,
            gossip,
            settings,
        )
        self.endpoints = [
            Endpoint(f"s-{index}", "a", 1.0, 0, EndpointCondition.READY, 0, "m", 1)
            for index in range(endpoint_count)
        ]
        self.endpoint_keys = [
            EndpointKey(endpoint.address, "", 1, 0) for endpoint in self.endpoints
        ]
        self.balancers, self.counts, self.request_count = {}, {}, 0
        for instance in self.world.instances.values():
            instance.settings = settings
        if gossip:
            self.world.begin()
            self.world.acquaint()
        self.liars = {
            name: Liar(
                self.world.instances[name].node,
                [
                    endpoint_key
                    for endpoint_key in self.endpoint_keys
                    if endpoint_key.id not in failure_rates
                ],
                spoil=False,
            )
            for name in liars
            if gossip
        }
        for name in rates:
            balancer = DecisionEngine(
                SHOP_SETTINGS._replace(instances=len(rates)),
                self.random_source.getrandbits(60),
                self.world.now,
            )
            self.balancers[name] = balancer
            self.counts[name] = {"deliveries": 0, "failed": 0, "ill": 0, "done": 0, "taken": 0}
            release_update = ReleaseUpdate(1, 2, ReleasePhase.RELEASED, False, Outcome.DONE, 1.0, 0)
            self._execute(
                name,
                balancer.handle(
                    self.world.now,
                    [EndpointUpdate(UpdateKind.CACHED, tuple(self.endpoints)), release_update],
                ),
            )
            if gossip:
                self.world.instances[name].node.suspicions.set_endpoints(self.endpoint_keys)
            self._schedule_request(name)
        self.world.schedule(self.world.now + SECOND, self._send_lies)

    def _send_lies(self):
        for name, liar in self.liars.items():
            liar.lies(self.world.instances[name].clock())
            self.world.instances[name].flush()
        self.world.schedule(self.world.now + SECOND, self._send_lies)

    def _schedule_request(self, name):
        self.world.schedule(
            self.world.now + max(1, int(self.random_source.expovariate(self.rates[name]) * SECOND)),
            self._receive_request,
            name,
        )

    def _receive_request(self, name):
        self.request_count += 1
        self.counts[name]["taken"] += 1
        self._handle_event(
            name,
            RequestReceived(
                f"{self.request_count:x}",
                "read",
                None,
                f"{self.random_source.getrandbits(40):x}",
                2 * SECOND,
                None,
                False,
                False,
            ),
        )
        self._schedule_request(name)

    def _handle_event(self, name, event):
        now = self.world.now
        node = self.world.instances[name].node
        events = []
        if node is not None and node.changed_suspicions:
            suspicions = node.take_suspicions()
            events = [
                SuspicionReported(
                    suspicion.endpoint.id,
                    suspicion.endpoint.build,
                    suspicion.endpoint.started,
                    suspicion.until,
                )
                for suspicion in suspicions
            ]
        self._execute(name, self.balancers[name].handle(now, [*events, event]))

    def _execute(self, name, actions):
        for action in list(actions):
            if type(action) is SetTimer:
                self.world.schedule(action.at, self._handle_event, name, TimerFired(action.token))
            elif type(action) is SendAttempt:
                latency = int(self.random_source.gammavariate(4, 50))
                self.world.schedule(
                    self.world.now + latency,
                    self._end_attempt,
                    name,
                    action,
                    latency,
                    self._attempt_number(name, action),
                )

    def _attempt_number(self, name, action):
        return len(self.balancers[name].requests.open[action.id].attempts) - 1

    def _end_attempt(self, name, action, latency, attempt_number):
        failed = self.random_source.random() < self.failure_rates.get(action.endpoint, 0.002)
        counts = self.counts[name]
        counts["deliveries"] += 1
        counts["failed"] += failed
        counts["ill"] += action.endpoint in self.failure_rates
        counts["done"] += not failed
        node = self.world.instances[name].node
        if node is not None:
            node.suspicions.record_attempt(
                self.world.instances[name].clock(), action.endpoint, failed
            )
        self._handle_event(
            name,
            AttemptEnded(
                action.id,
                Outcome.ERROR if failed else Outcome.DONE,
                not failed,
                latency,
                action.endpoint,
                attempt_number,
                None,
            ),
        )

    def share_failed(self, names):
        """Returns the share of failed attempts of these instances."""
        deliveries = sum(self.counts[name]["deliveries"] for name in names)
        return sum(self.counts[name]["failed"] for name in names) / max(1, deliveries)
