"""The servers of a simulated day and the endpoint lists that report them."""

from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, TypeAlias

from ..interface.clock import Ticks
from ..interface.enums import EndpointCondition, UpdateKind
from ..interface.events import Endpoint, EndpointUpdate
from .invariants import ListedState
from .servers import Build, Pod, PodState
from .simulated_requests import SimulatedAttempt

if TYPE_CHECKING:
    from .simulator import Simulator

ENDPOINT_WEIGHT = 1.0
ENDPOINT_MACHINE_KIND = "m"
FIRST_BUILD = 1

Server: TypeAlias = Pod[SimulatedAttempt]


def place_index(name: str) -> int:
    """Returns the number of a server's place.

    An address consists of "p", the place, a dash, the build that was newest at the start and, after
    a rollback, "r".
    """
    return int(name[1:].split("-", maxsplit=1)[0])


class ServerFleet:
    """The servers, in the order in which they started.

    Attributes:
        simulator: The running simulation.
        pods: Servers that still exist, by address.
        removed_pods: Servers that are gone, by address.
        extra_failure_ratios: Ratio of attempts that a server fails in addition to its build's
            faults, by address.
        lost_zones: Zones in which no server can start.
        list_delay: Additional delay of endpoint lists, in ticks.
    """

    def __init__(self, simulator: "Simulator", build: Build) -> None:
        """Starts the initial servers.

        Args:
            simulator: The running simulation.
            build: The build that these servers run.
        """
        self.simulator = simulator
        self.pods: dict[str, Server] = {}
        self.removed_pods: dict[str, Server] = {}
        self.extra_failure_ratios: dict[str, float] = {}
        self.lost_zones: set[str] = set()
        self.list_delay: Ticks = 0
        self._pending_changes: dict[str, Endpoint] = {}  # not yet sent, by address
        day = simulator.day
        for place, speed in enumerate(day.speeds):
            name = f"p{place}-{FIRST_BUILD}"
            self.pods[name] = Pod(
                name,
                self.zone_of(place),
                cores=day.cores,
                speed=speed,
                queue_limit=day.queue_limit,
                build=build,
                started=0,
            )

    def zone_of(self, place: int) -> str:
        """Returns the zone of a place."""
        zones = self.simulator.day.zones
        return zones[place % 3]

    def start(self, name: str, place: int, build: Build) -> None:
        """Starts a server, which then warms up, and announces it."""
        day = self.simulator.day
        self._add(
            Pod(
                name,
                self.zone_of(place),
                cores=day.cores,
                speed=day.speeds[place],
                queue_limit=day.queue_limit,
                build=build,
                started=self.simulator.now,
                warmup_duration=day.warmup_duration,
                warmup_initial_fraction=day.warmup_initial_fraction,
            )
        )

    def _add(self, pod: Server) -> None:
        self.pods[pod.name] = pod
        self.announce(self.endpoint_of(pod))

    def pods_up(self, predicate: Callable[[Server], bool]) -> list[Server]:
        """Returns the servers that are up, not draining, and satisfy the predicate."""
        return [pod for pod in self.pods.values() if pod.state == PodState.UP and predicate(pod)]

    def drain(self, predicate: Callable[[Server], bool]) -> None:
        """Starts to drain the servers that satisfy the predicate; they are removed later."""
        simulator = self.simulator
        drained_pods = self.pods_up(predicate)
        for pod in drained_pods:
            pod.state = PodState.DRAINING
            simulator.schedule_at(simulator.now + simulator.day.drain_duration, self._remove, pod)
        if drained_pods:
            self.announce(*(self.endpoint_of(pod) for pod in drained_pods))

    def _remove(self, pod: Server) -> None:
        pod.state = PodState.DOWN
        self._drop_connections(pod.name)
        self.removed_pods[pod.name] = self.pods.pop(pod.name, pod)
        self.announce(self.endpoint_of(pod, EndpointCondition.GONE))

    def lose_zone(self, zone: str) -> None:
        """Makes all servers of a zone unresponsive."""
        self.lost_zones.add(zone)
        for pod in self.pods_up(lambda pod: pod.zone == zone):
            pod.unresponsive = True

    def restore_zone(self, zone: str) -> None:
        """Restarts the servers of a lost zone at the same places, with a new warm-up."""
        self.lost_zones.discard(zone)
        day = self.simulator.day
        for pod in self.pods_up(lambda pod: pod.zone == zone):
            pod.unresponsive = False
            restarted: Server = Pod(
                pod.name,
                pod.zone,
                cores=pod.cores,
                speed=pod.speed,
                queue_limit=pod.queue_limit,
                build=pod.build,
                started=self.simulator.now,
                warmup_duration=day.warmup_duration,
                warmup_initial_fraction=day.warmup_initial_fraction,
            )
            pod.state = PodState.DOWN
            self._drop_connections(pod.name)
            self._add(restarted)

    def _drop_connections(self, name: str) -> None:
        self.simulator.connections.close_idle(lambda key: key[2] == name)

    # Endpoint lists.

    def endpoint_of(self, pod: Server, condition: EndpointCondition | None = None) -> Endpoint:
        """Returns the endpoint entry of a server.

        Args:
            pod: The server.
            condition: Condition to report; None derives it from the server's state.
        """
        if condition is None:
            is_up = pod.state == PodState.UP
            condition = EndpointCondition.READY if is_up else EndpointCondition.DRAINING
        return Endpoint(
            pod.name,
            pod.zone,
            ENDPOINT_WEIGHT,
            0,
            condition,
            pod.started,
            ENDPOINT_MACHINE_KIND,
            pod.build.number,
        )

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Returns the complete endpoint list."""
        listed_states = (PodState.UP, PodState.DRAINING)
        return tuple(
            self.endpoint_of(pod) for pod in self.pods.values() if pod.state in listed_states
        )

    def announce(self, *entries: Endpoint) -> None:
        """Sends changes at once, or batched if the day sets an interval for lists."""
        simulator = self.simulator
        if not simulator.day.list_batch_interval:
            self._send(entries)
            return
        if not self._pending_changes:
            simulator.schedule_at(
                simulator.now + simulator.day.list_batch_interval, self._send_changes
            )
        self._pending_changes.update((entry.address, entry) for entry in entries)

    def _send_changes(self) -> None:
        self._send(tuple(self._pending_changes.values()))
        self._pending_changes = {}

    def _send(self, entries: Sequence[Endpoint]) -> None:
        """Schedules the delivery of changes to each instance after a random delay."""
        simulator = self.simulator
        for instance in range(simulator.day.instances):
            lag = (
                simulator.day.mean_list_delay * (0.5 + simulator.generator.random())
                + self.list_delay
            )
            simulator.schedule_at(simulator.now + int(lag), self._deliver, instance, entries)

    def _deliver(self, instance: int, entries: Sequence[Endpoint]) -> None:
        simulator = self.simulator
        if not simulator.is_running(instance) or not simulator.has_watch(instance):
            return
        delivered = tuple(
            entry
            for entry in entries
            if entry.condition != EndpointCondition.READY or entry.address in self.pods
        )
        self.record_update(instance, delivered)
        simulator.deliver_event(instance, EndpointUpdate(UpdateKind.DELTA, delivered))

    def record_update(self, instance: int, entries: Iterable[Endpoint]) -> None:
        """Records with the checker what an instance learns from endpoint entries."""
        checker = self.simulator.checker
        for entry in entries:
            is_ready = entry.condition == EndpointCondition.READY
            state = ListedState.READY if is_ready else ListedState.GONE
            checker.record_endpoint_state(self.simulator.now, instance, entry.address, state)
            checker.record_server_start(instance, entry.address, entry.started)

    def record_known_pods(self, instance: int) -> None:
        """Records with the checker what a starting instance already knows."""
        checker = self.simulator.checker
        for pod in self.pods.values():
            checker.record_server_start(instance, pod.name, pod.started)
            if pod.state == PodState.DRAINING:
                checker.record_endpoint_state(
                    self.simulator.now, instance, pod.name, ListedState.DRAINING
                )
