"""Fault injection: what happens when each fault of a simulated day begins and ends."""

from typing import TYPE_CHECKING

from ..interface.clock import TICKS_PER_SECOND
from .scenarios import Fault, FaultKind
from .server_fleet import FIRST_BUILD, place_index

if TYPE_CHECKING:
    from .simulator import Simulator

PAUSED_RATIO = 0.3  # of the affected servers, in each round of pauses
PAUSE_INTERVAL = TICKS_PER_SECOND  # ticks between rounds of pauses


class FaultInjector:
    """Begins and ends the faults of a day."""

    def __init__(self, simulator: "Simulator") -> None:
        self._simulator = simulator
        self._handlers = {
            FaultKind.SLOW_PODS: self._slow_pods,
            FaultKind.ERRORS: self._errors,
            FaultKind.CONNECTION_LOSS: self._connection_loss,
            FaultKind.LATE_LISTS: self._late_lists,
            FaultKind.LATE_RELEASE_UPDATES: self._late_release_updates,
            FaultKind.RESTARTS: self._restarts,
            FaultKind.BURST: self._burst,
            FaultKind.PAUSES: self._pauses,
            FaultKind.SILENT_PODS: self._silent_pods,
            FaultKind.ZONE_LOSS: self._zone_loss,
            FaultKind.ZONE_PARTITION: self._zone_cut,
            FaultKind.LOST_RESPONSES: self._lost_answers,
            FaultKind.SLOW_ALL: self._slow_all,
            FaultKind.PLATFORM_CALL_FAILURES: self._calls_down,
        }

    def schedule(self, fault: Fault) -> None:
        """Schedules the begin and the end of a fault."""
        handler = self._handlers[fault.kind]
        self._simulator.schedule_at(fault.begin, handler, fault, True)
        self._simulator.schedule_at(fault.end, handler, fault, False)

    def _slow_pods(self, fault: Fault, begins: bool) -> None:
        for pod in self._simulator.servers.pods.values():
            if place_index(pod.name) in fault.targets:
                pod.speed *= 1 / fault.magnitude if begins else fault.magnitude

    def _errors(self, fault: Fault, begins: bool) -> None:
        failure_ratios = self._simulator.servers.extra_failure_ratios
        for place in fault.targets:
            address = f"p{place}-{FIRST_BUILD}"
            if begins:
                failure_ratios[address] = fault.magnitude
            else:
                failure_ratios.pop(address, None)

    def _connection_loss(self, fault: Fault, begins: bool) -> None:
        self._simulator.attempt_loss_ratio = (
            fault.magnitude if begins else self._simulator.day.loss_ratio
        )

    def _late_lists(self, fault: Fault, begins: bool) -> None:
        self._simulator.servers.list_delay = int(fault.magnitude) if begins else 0

    def _late_release_updates(self, fault: Fault, begins: bool) -> None:
        self._simulator.platform.update_delay = int(fault.magnitude) if begins else 0

    def _burst(self, fault: Fault, begins: bool) -> None:
        self._simulator.request_rate_factor = fault.magnitude if begins else 1.0

    def _slow_all(self, fault: Fault, begins: bool) -> None:
        self._simulator.work_factor = fault.magnitude if begins else 1.0

    def _calls_down(self, fault: Fault, begins: bool) -> None:
        self._simulator.platform.call_fault = fault.magnitude if begins else None

    def _lost_answers(self, fault: Fault, begins: bool) -> None:
        self._simulator.answer_loss_ratio = fault.magnitude if begins else 0.0

    def _zone_cut(self, fault: Fault, begins: bool) -> None:
        simulator = self._simulator
        zones = {simulator.day.zones[number] for number in fault.targets}
        if begins:
            simulator.partitioned_zones = simulator.partitioned_zones | zones
        else:
            simulator.partitioned_zones = simulator.partitioned_zones - zones
            simulator.platform.announce()  # the zones have missed updates

    def _silent_pods(self, fault: Fault, begins: bool) -> None:
        for pod in self._simulator.servers.pods.values():
            pod.unresponsive = begins and place_index(pod.name) in fault.targets

    def _zone_loss(self, fault: Fault, begins: bool) -> None:
        zone = self._simulator.day.zones[fault.targets[0]]
        if begins:
            self._simulator.servers.lose_zone(zone)
        else:
            self._simulator.servers.restore_zone(zone)

    def _restarts(self, fault: Fault, begins: bool) -> None:
        if begins:
            for instance in fault.targets:
                self._simulator.restart(instance, fault.magnitude)

    def _pauses(self, fault: Fault, begins: bool) -> None:
        """Repeatedly pauses a random part of the affected servers for a random time."""
        if not begins:
            return
        simulator = self._simulator
        for pod in simulator.servers.pods.values():
            if (
                place_index(pod.name) in fault.targets
                and simulator.generator.random() < PAUSED_RATIO
            ):
                pod.paused_until = simulator.now + int(
                    fault.magnitude * (0.5 + simulator.generator.random())
                )
        if simulator.now + PAUSE_INTERVAL < fault.end:
            simulator.schedule_at(simulator.now + PAUSE_INTERVAL, self._pauses, fault, True)
