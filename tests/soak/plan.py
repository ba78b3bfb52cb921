"""Draws the plan of a soak run from a seed, before any process starts.

Times are seconds after the start of traffic unless noted otherwise.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

import numpy

TRAFFIC_SECONDS = 3.0  # traffic before the first process is shut down
TIMEOUTS_SECONDS = (0.3, 0.8, 1.5, 3.0)  # the timeouts that clients send with their requests
REQUEST_CLASSES = ("read", "mark", "pay")
EARLIER_BUILD, NEWEST_BUILD = 41, 42
BURST_SEED_INTERVAL = 3  # plans of every third seed have a burst of clients
MAX_HALF_COMMAND_SECONDS = 2.6  # after SIGTERM; the request in front of it ends at 3 s at most
MAX_REQUESTS_PER_SECOND = 300.0  # approximate limit for one instance
MEMORY_LIMITS_MB = (32, 64, 192)
CROWD_PROBABILITY = 0.4
FLOOD_KIND = "unknown class"
# Of tests.crowd.behaviours; none of these requests reaches an endpoint, whose attempts are checked.
CROWD_KINDS = ("half requests", "incomplete slow requests", FLOOD_KIND)
TYPICAL_RESPONSE_SECONDS = 0.03  # assumed response time when request rates are estimated


class Feature(StrEnum):
    """An optional coordination feature that all instances of a run are configured with."""

    NONE = "none"
    GOSSIP = "gossip"
    FLEET = "fleet"


class ClientBehaviour(StrEnum):
    """What a client does repeatedly; see `tests.soak.clients.Client`."""

    STEADY = "steady"
    PIPELINED = "pipelined"
    PARTIAL_COMMAND = "partial command"
    GARBAGE = "garbage"
    DISCONNECTS = "disconnects"
    IDLES = "idles"


class EarlySignal(StrEnum):
    """A signal sent after the process has contacted discovery and before it serves clients."""

    NONE = "none"
    RELOAD = "reload"
    STOP = "stop"


class Shutdown(StrEnum):
    """How a process is shut down."""

    STOP = "stop"
    STOP_TWICE = "stop twice"
    RELOADS_AND_STOP = "reloads and stop"
    KILL_AND_RESTART = "kill and restart"


class PeerFault(StrEnum):
    """A fault of discovery or of the release platform.

    MOVE is a change of discovery's address; for the platform it resets the streams as well.
    """

    STALL = "stall"
    RESET_STREAMS = "reset streams"
    MOVE = "move"


@dataclass(frozen=True)
class EndpointPlan:
    """An endpoint: how its attempts end, and when it drains and restarts.

    Attributes:
        mean_delay_seconds: Mean time between a request and its response.
        error_share: Share of attempts that are answered with an error.
        reject_share: Share of attempts that are rejected with BUSY.
        no_response_share: Share of attempts that are never answered.
        reset_share: Share of attempts whose connection is reset.
        duplicate_share: Share of attempts whose response is sent twice.
        idle_close_times: When it closes its idle connections.
        drain_at: When it begins to drain; None if it does not.
        restart_at: When a new process, which is cold, takes its place; None if none does.
        starts_cold: Whether its first process is listed as just started, and so is cold.
        lost_share: Share of attempts that are answered, but whose response never arrives.
        false_length_share: Share of attempts whose response declares a false length.
    """

    name: str
    build: int
    mean_delay_seconds: float
    error_share: float
    reject_share: float
    no_response_share: float
    reset_share: float
    duplicate_share: float
    idle_close_times: tuple[float, ...]
    drain_at: float | None
    restart_at: float | None
    starts_cold: bool
    lost_share: float = 0.0
    false_length_share: float = 0.0


@dataclass(frozen=True)
class ClientPlan:
    """A client: which instance it uses, when it starts and what it does.

    Attributes:
        instance: Number of the instance that it connects to.
        mean_pause_seconds: Mean pause between two requests or pipelines.
        pipeline_depth: Requests in flight, for clients that pipeline.
        seed: Seed of the client's random generator.
    """

    instance: int
    start_at: float
    behaviour: ClientBehaviour
    mean_pause_seconds: float
    pipeline_depth: int
    seed: int


@dataclass(frozen=True)
class TrialPlan:
    """The trial of the newest build.

    Attributes:
        changes: (time, release status, cap) of the initial release state and of each change.
    """

    changes: tuple[tuple[float, str, float], ...]


@dataclass(frozen=True)
class Plan:
    """Everything that happens in a run.

    Attributes:
        burst_size: Clients that connect at the same time; 0 for no burst.
        burst_at: When they connect.
        reload_times: When one of the instances is sent SIGHUP.
        peer_faults: (time, "discovery" or "platform", fault) of each fault.
        shutdown: How one of the instances is shut down; the others get a SIGTERM.
        racing_clients: Clients that connect to it again and again from SIGTERM on.
        half_command_times: Seconds after its SIGTERM at which a client sends half a command.
        second_copies: Whether the settings allow hedged requests.
        crowd_kind: What a crowd of bad clients does to one of the instances; None without a crowd.
        crowd_size: How many they are.
        memory_mb: The memory that each process may take.
        second_kill: Whether a process that starts after a kill is killed once more.
    """

    seed: int
    instance_count: int
    feature: Feature
    endpoints: tuple[EndpointPlan, ...]
    clients: tuple[ClientPlan, ...]
    burst_size: int
    burst_at: float
    early_signal: EarlySignal
    reload_times: tuple[float, ...]
    peer_faults: tuple[tuple[float, str, PeerFault], ...]
    trial: TrialPlan
    shutdown: Shutdown
    shutdown_at: float
    racing_clients: int
    half_command_times: tuple[float, ...]
    second_copies: bool = False
    crowd_kind: str | None = None
    crowd_size: int = 0
    memory_mb: int = MEMORY_LIMITS_MB[-1]
    second_kill: bool = False

    def summary(self):
        """Returns the plan in one line."""
        client_counts = {}
        for client in self.clients:
            client_counts[client.behaviour] = client_counts.get(client.behaviour, 0) + 1
        parts = [
            f"{self.instance_count} instances",
            f"feature {self.feature}",
            f"{len(self.endpoints)} pods",
            ", ".join(f"{count} {behaviour}" for behaviour, count in sorted(client_counts.items())),
            f"burst {self.burst_size}",
            f"early signal {self.early_signal}",
            f"reloads {len(self.reload_times)}",
            "peer faults " + ", ".join(f"{peer} {fault}" for _, peer, fault in self.peer_faults),
            f"shutdown {self.shutdown}",
            f"{self.racing_clients} racing connects",
            "half commands at " + ", ".join(f"{at:.1f}" for at in self.half_command_times),
            f"second copies {self.second_copies}",
            f"crowd {self.crowd_size} {self.crowd_kind}",
            f"memory {self.memory_mb}",
            f"second kill {self.second_kill}",
            f"{sum(bool(endpoint.lost_share) for endpoint in self.endpoints)} pods lose responses",
            f"{sum(bool(endpoint.false_length_share) for endpoint in self.endpoints)} pods spoil lengths",
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
    """Lengthens pauses so that no instance gets more requests than one processor can handle."""
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


def _with_faulty_responses(plan, rng):
    """Returns the plan with lost responses, false lengths and hedged requests, drawn last."""
    return replace(
        plan,
        second_copies=bool(rng.random() < 0.5),
        endpoints=tuple(
            replace(
                endpoint,
                lost_share=_draw_share(rng, 0.3, 0.2),
                false_length_share=_draw_share(rng, 0.3, 0.2),
            )
            for endpoint in plan.endpoints
        ),
    )


def _with_crowd(plan, rng):
    """Returns the plan with a crowd, a memory limit and a second kill, drawn last.

    The libraries of a feature alone take more than the smallest limit.
    """
    has_crowd = bool(rng.random() < CROWD_PROBABILITY)
    kind = str(rng.choice(CROWD_KINDS))
    size = int(rng.integers(20, 100)) if kind != FLOOD_KIND else 1
    memory_mb = int(rng.choice(MEMORY_LIMITS_MB))
    return replace(
        plan,
        crowd_kind=kind if has_crowd else None,
        crowd_size=size if has_crowd else 0,
        memory_mb=memory_mb if plan.feature == Feature.NONE else MEMORY_LIMITS_MB[-1],
        second_kill=bool(rng.random() < 0.5),
    )


def draw_plan(seed):
    """Returns the plan of this seed.

    The order of the draws, of the enums' members and of the tables drawn from determines the plan:
    a change of any of them gives each seed another plan.
    """
    rng = numpy.random.Generator(numpy.random.PCG64(seed))
    instance_count, feature = _draw_feature(rng, seed)
    endpoints = tuple(_draw_endpoint(rng, number) for number in range(int(rng.integers(3, 8))))
    drawn_clients = [_draw_client(rng, instance_count) for _ in range(int(rng.integers(4, 24)))]
    has_burst = seed % BURST_SEED_INTERVAL == 0
    early_signals = list(EarlySignal)
    shutdowns = list(Shutdown)
    plan = Plan(
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
        racing_clients=int(rng.integers(2, 6)),
        half_command_times=tuple(
            sorted(rng.uniform(0.0, MAX_HALF_COMMAND_SECONDS, rng.integers(1, 4)).tolist())
        ),
    )
    return _with_crowd(_with_faulty_responses(plan, rng), rng)
