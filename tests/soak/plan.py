"""What happens in a play: drawn whole from the number of its seed, before anything starts."""

from dataclasses import dataclass, field, replace
from enum import StrEnum

import numpy

SECONDS = 3.0  # of traffic before the first signal that ends a process
DEADLINES = (0.3, 0.8, 1.5, 3.0)  # seconds that a client waits
LANES = ("read", "mark", "pay")
EARLIER, NEWEST = 41, 42  # builds
BURST_SEED_INTERVAL = 3  # every so many seeds
MOST_RATE = 300.0  # requests a second of an instance, about
ANSWER_TIME = 0.03  # seconds


class Feature(StrEnum):
    """What the instances of a play have in common."""

    NONE = "none"
    GOSSIP = "gossip"
    FLEET = "fleet"


class ClientBehaviour(StrEnum):
    """What a client does again and again."""

    STEADY = "steady"
    PIPELINED = "pipelined"
    HALF = "half a command"
    GARBAGE = "garbage"
    LEAVES = "leaves"
    RESTS = "rests"


class EarlySignal(StrEnum):
    """A signal that comes after the process has asked discovery and before it serves."""

    NONE = "none"
    RELOAD = "reload"
    STOP = "stop"


class Shutdown(StrEnum):
    """How a process ends."""

    STOP = "stop"
    STOP_TWICE = "stop twice"
    RELOADS_AND_STOP = "reloads and stop"
    KILL_AND_RESTART = "kill and restart"


class PeerFault(StrEnum):
    """What befalls discovery or the platform."""

    STALL = "stall"
    CUT = "cut"
    MOVE = "move"


@dataclass(frozen=True)
class PodPlan:
    """An endpoint: shares of attempts that end badly, and what becomes of it."""

    name: str
    build: int
    lag: float  # seconds, mean
    errors: float
    busy: float
    hangs: float
    resets: float
    twice: float
    cuts_idle_at: tuple[float, ...]  # it closes its resting connections
    drained_at: float | None
    back_at: float | None  # as another process, cold
    started_cold: bool


@dataclass(frozen=True)
class ClientPlan:
    """A client: whose it is, when it comes, what it does."""

    instance: int
    starts_at: float
    behaviour: ClientBehaviour
    pause: float  # seconds between requests, mean
    depth: int  # requests in flight, where pipelined
    seed: int


@dataclass(frozen=True)
class TrialPlan:
    """The newest build's caps: when, status, cap."""

    changes: tuple[tuple[float, str, float], ...]


@dataclass(frozen=True)
class Plan:
    """A whole play."""

    seed: int
    instance_count: int
    feature: Feature
    pods: tuple[PodPlan, ...]
    clients: tuple[ClientPlan, ...]
    burst_size: int  # clients that come at once
    crowd_at: float
    early_signal: EarlySignal
    reloads: tuple[float, ...]
    peer_faults: tuple[tuple[float, str, PeerFault], ...]  # when, of whom, what
    trial: TrialPlan
    shutdown: Shutdown
    ends_at: float
    notes: tuple[str, ...] = field(default=())

    def told(self):
        """In a line, what is drawn."""
        habits = {}
        for client in self.clients:
            habits[client.behaviour] = habits.get(client.behaviour, 0) + 1
        parts = [
            f"{self.instance_count} instances",
            f"feature {self.feature}",
            f"{len(self.pods)} pods",
            ", ".join(f"{count} {habit}" for habit, count in sorted(habits.items())),
            f"crowd {self.burst_size}",
            f"early {self.early_signal}",
            f"reloads {len(self.reloads)}",
            "troubles " + ", ".join(f"{whose} {what}" for _, whose, what in self.peer_faults),
            f"ending {self.shutdown}",
        ]
        return "; ".join(parts)


def _share(chance, often, most):
    return float(chance.uniform(0, most)) if chance.random() < often else 0.0


def _pod(chance, number):
    drains = chance.random() < 0.35
    drained_at = float(chance.uniform(0.6, SECONDS - 0.8)) if drains and number else None
    back = chance.random() < 0.5 and drained_at is not None
    return PodPlan(
        name=f"s-{number}",
        build=NEWEST if number % 3 == 2 else EARLIER,
        lag=float(chance.choice((0.002, 0.01, 0.04, 0.15))),
        errors=_share(chance, 0.3, 0.4),
        busy=_share(chance, 0.3, 0.4),
        hangs=_share(chance, 0.3, 0.2),
        resets=_share(chance, 0.3, 0.2),
        twice=_share(chance, 0.2, 0.2),
        cuts_idle_at=tuple(sorted(chance.uniform(0.3, SECONDS, chance.integers(0, 3)).tolist())),
        drained_at=drained_at,
        back_at=drained_at + float(chance.uniform(0.3, 0.7)) if back else None,
        started_cold=bool(chance.random() < 0.2),
    )


def _client(chance, instances):
    habits = list(ClientBehaviour)
    weights = numpy.array((6, 4, 1, 1, 3, 2), float)
    return ClientPlan(
        instance=int(chance.integers(instances)),
        starts_at=float(chance.uniform(0, 0.8)),
        behaviour=habits[int(chance.choice(len(habits), p=weights / weights.sum()))],
        pause=float(chance.choice((0.03, 0.1, 0.3))),
        depth=int(chance.choice((2, 5, 20, 90))),
        seed=int(chance.integers(1 << 32)),
    )


def _eased(clients, instances):
    """These clients, with longer pauses where an instance would get more than a processor of its own can take."""
    rates = [0.0] * instances
    for client in clients:
        in_flight = (
            client.depth
            if client.behaviour in (ClientBehaviour.PIPELINED, ClientBehaviour.LEAVES)
            else 1
        )
        rates[client.instance] += in_flight / (client.pause + ANSWER_TIME)
    factors = [max(1.0, rate / MOST_RATE) for rate in rates]
    return tuple(
        replace(client, pause=client.pause * factors[client.instance]) for client in clients
    )


def _troubles(chance):
    count = int(chance.integers(0, 4))
    whats = list(PeerFault)
    return tuple(
        sorted(
            (
                float(chance.uniform(0.3, SECONDS - 0.5)),
                str(chance.choice(("discovery", "platform"))),
                whats[int(chance.integers(len(whats)))],
            )
            for _ in range(count)
        )
    )


def _trial(chance):
    end = str(chance.choice(("released", "rolling_back", "trial")))
    changes = [
        (0.0, "trial", float(chance.choice((0.1, 0.3)))),
        (float(chance.uniform(0.8, 1.4)), "trial", float(chance.choice((0.1, 0.5)))),
    ]
    if end != "trial":
        changes.append((float(chance.uniform(1.8, 2.4)), end, float(end == "released")))
    return TrialPlan(tuple(changes))


def _feature(chance, seed):
    instances = int(chance.choice((1, 1, 2, 3)))
    if instances == 1:
        return instances, Feature.NONE
    if seed % 5 == 0:
        return 3, Feature.FLEET
    return instances, Feature.GOSSIP if chance.random() < 0.7 else Feature.NONE


def draw_plan(seed):
    """The play of this seed."""
    chance = numpy.random.Generator(numpy.random.PCG64(seed))
    instances, feature = _feature(chance, seed)
    pods = tuple(_pod(chance, number) for number in range(int(chance.integers(3, 8))))
    drawn_clients = [_client(chance, instances) for _ in range(int(chance.integers(4, 24)))]
    crowded = seed % BURST_SEED_INTERVAL == 0
    earlies = list(EarlySignal)
    endings = list(Shutdown)
    return Plan(
        seed=seed,
        instance_count=instances,
        feature=feature,
        pods=pods,
        clients=_eased(drawn_clients, instances),
        burst_size=int(chance.integers(60, 140)) if crowded else 0,
        crowd_at=float(chance.uniform(0.5, SECONDS - 1.0)),
        early_signal=earlies[int(chance.choice(3, p=(0.7, 0.2, 0.1)))],
        reloads=tuple(sorted(chance.uniform(0.2, SECONDS, chance.integers(0, 5)).tolist())),
        peer_faults=_troubles(chance),
        trial=_trial(chance),
        shutdown=endings[int(chance.integers(len(endings)))],
        ends_at=SECONDS + float(chance.uniform(0, 0.5)),
    )
