"""What happens in a play: drawn whole from the number of its seed, before anything starts."""

from dataclasses import dataclass, field, replace
from enum import StrEnum

import numpy

TRAFFIC_SECONDS = 3.0  # of traffic before the first signal that ends a process
DEADLINES_SECONDS = (0.3, 0.8, 1.5, 3.0)  # seconds that a client waits
REQUEST_CLASSES = ("read", "mark", "pay")
EARLIER_BUILD, NEWEST_BUILD = 41, 42  # builds
BURST_SEED_INTERVAL = 3  # every so many seeds
MAX_REQUESTS_PER_SECOND = 300.0  # requests a second of an instance, about
TYPICAL_RESPONSE_SECONDS = 0.03  # seconds


class Feature(StrEnum):
    """What the instances of a play have in common."""

    NONE = "none"
    GOSSIP = "gossip"
    FLEET = "fleet"


class ClientBehaviour(StrEnum):
    """What a client does again and again."""

    STEADY = "steady"
    PIPELINED = "pipelined"
    PARTIAL_COMMAND = "half a command"
    GARBAGE = "garbage"
    DISCONNECTS = "leaves"
    IDLES = "rests"


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
    RESET_STREAMS = "cut"
    MOVE = "move"


@dataclass(frozen=True)
class EndpointPlan:
    """An endpoint: shares of attempts that end badly, and what becomes of it."""

    name: str
    build: int
    mean_delay_seconds: float  # seconds, mean
    error_share: float
    reject_share: float
    no_response_share: float
    reset_share: float
    duplicate_share: float
    idle_close_times: tuple[float, ...]  # it closes its resting connections
    drain_at: float | None
    restart_at: float | None  # as another process, cold
    starts_cold: bool


@dataclass(frozen=True)
class ClientPlan:
    """A client: whose it is, when it comes, what it does."""

    instance: int
    start_at: float
    behaviour: ClientBehaviour
    mean_pause_seconds: float  # seconds between requests, mean
    pipeline_depth: int  # requests in flight, where pipelined
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
    endpoints: tuple[EndpointPlan, ...]
    clients: tuple[ClientPlan, ...]
    burst_size: int  # clients that come at once
    burst_at: float
    early_signal: EarlySignal
    reload_times: tuple[float, ...]
    peer_faults: tuple[tuple[float, str, PeerFault], ...]  # when, of whom, what
    trial: TrialPlan
    shutdown: Shutdown
    shutdown_at: float
    notes: tuple[str, ...] = field(default=())

    def summary(self):
        """In a line, what is drawn."""
        client_counts = {}
        for client in self.clients:
            client_counts[client.behaviour] = client_counts.get(client.behaviour, 0) + 1
        parts = [
            f"{self.instance_count} instances",
            f"feature {self.feature}",
            f"{len(self.endpoints)} pods",
            ", ".join(f"{count} {behaviour}" for behaviour, count in sorted(client_counts.items())),
            f"crowd {self.burst_size}",
            f"early {self.early_signal}",
            f"reloads {len(self.reload_times)}",
            "troubles " + ", ".join(f"{peer} {fault}" for _, peer, fault in self.peer_faults),
            f"ending {self.shutdown}",
        ]
        return "; ".join(parts)


def _draw_share(rng, probability, maximum):
    return float(rng.uniform(0, maximum)) if rng.random() < probability else 0.0


def _draw_endpoint(rng, number):
    is_drained = rng.random() < 0.35
    drain_at = float(rng.uniform(0.6, TRAFFIC_SECONDS - 0.8)) if is_drained and number else None
    is_restarted = rng.random() < 0.5 and drain_at is not None
    return EndpointPlan(
        name=f"s-{number}",
        build=NEWEST_BUILD if number % 3 == 2 else EARLIER_BUILD,
        mean_delay_seconds=float(rng.choice((0.002, 0.01, 0.04, 0.15))),
        error_share=_draw_share(rng, 0.3, 0.4),
        reject_share=_draw_share(rng, 0.3, 0.4),
        no_response_share=_draw_share(rng, 0.3, 0.2),
        reset_share=_draw_share(rng, 0.3, 0.2),
        duplicate_share=_draw_share(rng, 0.2, 0.2),
        idle_close_times=tuple(
            sorted(rng.uniform(0.3, TRAFFIC_SECONDS, rng.integers(0, 3)).tolist())
        ),
        drain_at=drain_at,
        restart_at=drain_at + float(rng.uniform(0.3, 0.7)) if is_restarted else None,
        starts_cold=bool(rng.random() < 0.2),
    )


def _draw_client(rng, instance_count):
    behaviours = list(ClientBehaviour)
    weights = numpy.array((6, 4, 1, 1, 3, 2), float)
    return ClientPlan(
        instance=int(rng.integers(instance_count)),
        start_at=float(rng.uniform(0, 0.8)),
        behaviour=behaviours[int(rng.choice(len(behaviours), p=weights / weights.sum()))],
        mean_pause_seconds=float(rng.choice((0.03, 0.1, 0.3))),
        pipeline_depth=int(rng.choice((2, 5, 20, 90))),
        seed=int(rng.integers(1 << 32)),
    )


def _limit_request_rates(clients, instance_count):
    """These clients, with longer pauses where an instance would get more than a processor of its own can take."""
    rates = [0.0] * instance_count
    for client in clients:
        in_flight = (
            client.pipeline_depth
            if client.behaviour in (ClientBehaviour.PIPELINED, ClientBehaviour.DISCONNECTS)
            else 1
        )
        rates[client.instance] += in_flight / (client.mean_pause_seconds + TYPICAL_RESPONSE_SECONDS)
    factors = [max(1.0, rate / MAX_REQUESTS_PER_SECOND) for rate in rates]
    return tuple(
        replace(client, mean_pause_seconds=client.mean_pause_seconds * factors[client.instance])
        for client in clients
    )


def _draw_peer_faults(rng):
    count = int(rng.integers(0, 4))
    faults = list(PeerFault)
    return tuple(
        sorted(
            (
                float(rng.uniform(0.3, TRAFFIC_SECONDS - 0.5)),
                str(rng.choice(("discovery", "platform"))),
                faults[int(rng.integers(len(faults)))],
            )
            for _ in range(count)
        )
    )


def _draw_trial(rng):
    final_status = str(rng.choice(("released", "rolling_back", "trial")))
    changes = [
        (0.0, "trial", float(rng.choice((0.1, 0.3)))),
        (float(rng.uniform(0.8, 1.4)), "trial", float(rng.choice((0.1, 0.5)))),
    ]
    if final_status != "trial":
        changes.append(
            (float(rng.uniform(1.8, 2.4)), final_status, float(final_status == "released"))
        )
    return TrialPlan(tuple(changes))


def _draw_feature(rng, seed):
    instance_count = int(rng.choice((1, 1, 2, 3)))
    if instance_count == 1:
        return instance_count, Feature.NONE
    if seed % 5 == 0:
        return 3, Feature.FLEET
    return instance_count, Feature.GOSSIP if rng.random() < 0.7 else Feature.NONE


def draw_plan(seed):
    """The play of this seed."""
    rng = numpy.random.Generator(numpy.random.PCG64(seed))
    instance_count, feature = _draw_feature(rng, seed)
    endpoints = tuple(_draw_endpoint(rng, number) for number in range(int(rng.integers(3, 8))))
    drawn_clients = [_draw_client(rng, instance_count) for _ in range(int(rng.integers(4, 24)))]
    has_burst = seed % BURST_SEED_INTERVAL == 0
    early_signals = list(EarlySignal)
    shutdowns = list(Shutdown)
    return Plan(
        seed=seed,
        instance_count=instance_count,
        feature=feature,
        endpoints=endpoints,
        clients=_limit_request_rates(drawn_clients, instance_count),
        burst_size=int(rng.integers(60, 140)) if has_burst else 0,
        burst_at=float(rng.uniform(0.5, TRAFFIC_SECONDS - 1.0)),
        early_signal=early_signals[int(rng.choice(3, p=(0.7, 0.2, 0.1)))],
        reload_times=tuple(sorted(rng.uniform(0.2, TRAFFIC_SECONDS, rng.integers(0, 5)).tolist())),
        peer_faults=_draw_peer_faults(rng),
        trial=_draw_trial(rng),
        shutdown=shutdowns[int(rng.integers(len(shutdowns)))],
        shutdown_at=TRAFFIC_SECONDS + float(rng.uniform(0, 0.5)),
    )
