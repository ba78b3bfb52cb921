"""The faults of a simulated day: what begins and ends with each."""

from typing import TYPE_CHECKING

from ..interface.clock import TICKS_PER_SECOND
from .scenarios import Fault, FaultKind
from .server_fleet import FIRST_BUILD, place_of

if TYPE_CHECKING:
    from .simulator import Simulator

PAUSED_SHARE = 0.3  # of the servers concerned, at each moment of pauses
PAUSES_EVERY = TICKS_PER_SECOND  # ticks


class FaultInjector:
    """Has faults begin and end."""

    def __init__(self, world: "Simulator") -> None:
        self._world = world
        self._acts = {
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
            FaultKind.ZONE_CUT: self._zone_cut,
            FaultKind.LOST_ANSWERS: self._lost_answers,
            FaultKind.SLOW_ALL: self._slow_all,
            FaultKind.CALLS_DOWN: self._calls_down,
        }

    def schedule(self, fault: Fault) -> None:
        """Has a fault begin and end at its moments."""
        act = self._acts[fault.kind]
        self._world.at(fault.begin, act, fault, True)
        self._world.at(fault.end, act, fault, False)

    def _slow_pods(self, fault: Fault, begins: bool) -> None:
        for pod in self._world.servers.pods.values():
            if place_of(pod.name) in fault.what:
                pod.speed *= 1 / fault.size if begins else fault.size

    def _errors(self, fault: Fault, begins: bool) -> None:
        failing = self._world.servers.failing
        for place in fault.what:
            name = f"p{place}-{FIRST_BUILD}"
            if begins:
                failing[name] = fault.size
            else:
                failing.pop(name, None)

    def _connection_loss(self, fault: Fault, begins: bool) -> None:
        self._world.loss = fault.size if begins else self._world.day.loss

    def _late_lists(self, fault: Fault, begins: bool) -> None:
        self._world.servers.list_delay = int(fault.size) if begins else 0

    def _late_release_updates(self, fault: Fault, begins: bool) -> None:
        self._world.platform.news_delay = int(fault.size) if begins else 0

    def _burst(self, fault: Fault, begins: bool) -> None:
        self._world.burst = fault.size if begins else 1.0

    def _slow_all(self, fault: Fault, begins: bool) -> None:
        self._world.slow_all = fault.size if begins else 1.0

    def _calls_down(self, fault: Fault, begins: bool) -> None:
        self._world.platform.calls_down = fault.size if begins else None

    def _lost_answers(self, fault: Fault, begins: bool) -> None:
        self._world.lost_answers = fault.size if begins else 0.0

    def _zone_cut(self, fault: Fault, begins: bool) -> None:
        world = self._world
        zones = {world.day.zones[number] for number in fault.what}
        if begins:
            world.cut_zones = world.cut_zones | zones
        else:
            world.cut_zones = world.cut_zones - zones
            world.platform.announce()  # it comes again and again: what was missed is told then

    def _silent_pods(self, fault: Fault, begins: bool) -> None:
        for pod in self._world.servers.pods.values():
            pod.silent = begins and place_of(pod.name) in fault.what

    def _zone_loss(self, fault: Fault, begins: bool) -> None:
        zone = self._world.day.zones[fault.what[0]]
        if begins:
            self._world.servers.lose_zone(zone)
        else:
            self._world.servers.restore_zone(zone)

    def _restarts(self, fault: Fault, begins: bool) -> None:
        if begins:
            for instance in fault.what:
                self._world.restart(instance, fault.size)

    def _pauses(self, fault: Fault, begins: bool) -> None:
        """Servers stand still again and again, for a while each time."""
        if not begins:
            return
        world = self._world
        for pod in world.servers.pods.values():
            if place_of(pod.name) in fault.what and world.misc.random() < PAUSED_SHARE:
                pod.paused = world.now + int(fault.size * (0.5 + world.misc.random()))
        if world.now + PAUSES_EVERY < fault.end:
            world.at(world.now + PAUSES_EVERY, self._pauses, fault, True)
