"""A simulated fleet in virtual time.

It runs hundreds of real agents against the real state machine behind a stub of the replicated log.
The network loses, duplicates, delays and partitions messages; clocks drift; processes crash, are
suspended and restart.
"""

from collections.abc import Callable, Iterable
from enum import StrEnum
from heapq import heappop, heappush
from typing import Any, Protocol

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..state.random_source import LinearCongruentialGenerator
from .agent import Action, DisruptionAgent, DrainAction, ProposeAction, ReturnAction
from .agent_transitions import AgentState
from .commands import PART_NAME, CommandName
from .invariant_checker import BudgetGroup, InvariantChecker
from .simulated_service import SERVICE_ADDRESS, SimulatedClient, SimulatedService
from .state_machine import DisruptionStateMachine
from .targets import DisruptionSettings, Labels

# Ticks between two tick commands.
TICK_INTERVAL = TICKS_PER_SECOND // 5
# Mean warm-up time of a unit, in ticks.
MEAN_WARM_UP_TICKS = 2 * TICKS_PER_SECOND
# Mean time to replace a drained unit, in ticks; a drain takes 0.2 to 1.2 times as long.
MEAN_REPLACEMENT_TICKS = 3 * TICKS_PER_SECOND
# Polls of an agent within a bound. An agent needs at least four.
POLLS_PER_BOUND = 8
# Maximum drift of a clock, as a ratio of the allowed drift.
MAX_DRIFT_RATIO = 0.9
# Maximum initial value of a monotonic clock, in ticks.
MAX_CLOCK_OFFSET_TICKS = 1e7
# Minimum delay of a message, in ticks.
MIN_DELAY_TICKS = 20
# Maximum jitter on top of that, in ticks.
MAX_JITTER_TICKS = 80
# Probability that a message is delivered twice.
DUPLICATE_PROBABILITY = 0.01
# Probability that a message is late.
LATE_PROBABILITY = 0.02
# Maximum extra delay of a late message, in seconds.
MAX_LATE_SECONDS = 3
# Virtual time between two checks of a condition, in seconds.
CONDITION_CHECK_SECONDS = 0.5
# Checks of a condition per second of virtual time.
CONDITION_CHECKS_PER_SECOND = 2


class RandomSource(Protocol):
    """The interface that the fleet needs of a random number generator."""

    def draw(self) -> float:
        """Returns a number from 0 up to, but not including, 1."""


new_random_source: Callable[[int], RandomSource] = LinearCongruentialGenerator


class Direction(StrEnum):
    """Which messages between a unit and the service a partition drops.

    Attributes:
        BOTH: All messages.
        TO: Those to the service.
        FROM: Those from the service.
    """

    BOTH = "both"
    TO = "to"
    FROM = "from"


class SimulatedUnit:
    """The actual state of a unit, its process and its clock.

    Attributes:
        name: Name of the unit.
        labels: Labels of the unit.
        clock_rate: Ticks of its monotonic clock per tick of virtual time.
        clock_offset: Value of that clock at virtual time 0.
        is_alive: Whether its process is running.
        is_serving: Whether the process takes new work.
        build: The build it runs.
        start: Number of the process start, counted from 1.
        warm_up: Mean warm-up time in ticks.
        suspended_until: Virtual time until which the process is suspended.
        return_fault: Why it can't return, or None.
        agent: The agent of the current process.
        client: The client of the current process.
    """

    def __init__(self, name: str, labels: Labels, clock_rate: float, clock_offset: Ticks) -> None:
        self.name = name
        self.labels = labels
        self.clock_rate = clock_rate
        self.clock_offset = clock_offset
        self.is_alive = True
        self.is_serving = True
        self.build = "old"
        self.start = 0
        self.warm_up: Ticks = MEAN_WARM_UP_TICKS
        self.suspended_until: Ticks = 0
        self.return_fault: str | None = None
        self.agent: DisruptionAgent
        self.client: SimulatedClient


class SimulatedFleet:
    """Units with their agents and clients, the network and the service, in virtual time.

    Attributes:
        now: Virtual time in ticks.
        settings: Settings of disruption control.
        units: All units, by name.
        service: Stub of the replicated log.
        checker: Checker of the invariants.
        partitions: Pairs of sender and receiver between which all messages are lost.
        rolled_back: Names of units whose rollback was ordered.
        failing_build: A build that never warms up after a crash, or None.
        declare_reply: Reply to the declaration.
    """

    def __init__(
        self,
        seed: int,
        units: dict[str, Labels],
        budgets: list[dict[str, Any]],
        groups: list[BudgetGroup],
        *,
        settings: DisruptionSettings | None = None,
        loss: float = 0.02,
        make_agent: Callable[..., DisruptionAgent] = DisruptionAgent,
        make_machine: Callable[[], DisruptionStateMachine] = DisruptionStateMachine,
    ) -> None:
        """Starts all units and declares them.

        Args:
            seed: Seed of the random number generator.
            units: Labels of the units, by name.
            budgets: The budgets, in the form of a declaration.
            groups: The same budgets, in the form that the checker uses.
            settings: Settings of disruption control; None: defaults.
            loss: Probability that a message is lost.
            make_agent: Creates the agent of a process.
            make_machine: Creates the state machine.
        """
        self._random = new_random_source(seed * 2 + 1)
        self._events: list[tuple[Ticks, int, Callable[[], object]]] = []
        self._event_count = 0
        self._loss = loss
        self._make_agent = make_agent
        self.now: Ticks = 0
        self.settings = settings or DisruptionSettings()
        self.partitions: set[tuple[str, str]] = set()
        drift = self.settings.drift / 1000
        bound = self.settings.halt_bound()
        crash_grace_period = self.settings.silent + bound + TICK_INTERVAL
        self.checker = InvariantChecker(groups, crash_grace_period, bound)
        self.service = SimulatedService(self, make_machine())
        self.units: dict[str, SimulatedUnit] = {}
        self.rolled_back: set[str] = set()
        self.failing_build: str | None = None
        for name, labels in units.items():
            rate = 1 + drift * (2 * self._random.draw() - 1) * MAX_DRIFT_RATIO
            offset = int(self._random.draw() * MAX_CLOCK_OFFSET_TICKS)
            self.units[name] = SimulatedUnit(name, labels, rate, offset)
            self._start_process(self.units[name], True)
        self.declare_reply = self.submit(
            do=CommandName.DECLARE.value,
            epoch=1,
            units=units,
            budgets=budgets,
            terms=self.settings.to_plain(),
        )
        self.schedule(TICK_INTERVAL, self._tick)

    # Time and the network.

    def schedule(self, delay: float, call: Callable[[], object]) -> None:
        """Schedules a call after so many ticks, at least one."""
        self._event_count += 1
        heappush(self._events, (self.now + max(1, int(delay)), self._event_count, call))

    def run(self, seconds: float) -> "SimulatedFleet":
        """Runs for so many seconds of virtual time, and returns the fleet itself."""
        end = self.now + int(seconds * TICKS_PER_SECOND)
        while self._events and self._events[0][0] <= end:
            at, _, call = heappop(self._events)
            self.now = at
            call()
        self.now = end
        return self

    def run_until(self, condition: Callable[[], object], max_seconds: int = 600) -> object:
        """Runs until a condition holds, or until the time is up; returns whether it holds."""
        for _ in range(max_seconds * CONDITION_CHECKS_PER_SECOND):
            if condition():
                return True
            self.run(CONDITION_CHECK_SECONDS)
        return condition()

    def deliver(self, sender: str, receiver: str, call: Callable[[], object]) -> None:
        """Schedules `call` for the delivery of a message, which may be lost or duplicated."""
        random = self._random
        if (sender, receiver) in self.partitions or random.draw() < self._loss:
            return
        for _ in range(2 if random.draw() < DUPLICATE_PROBABILITY else 1):
            delay = (
                MIN_DELAY_TICKS
                + random.draw() * MAX_JITTER_TICKS
                + (random.draw() < LATE_PROBABILITY)
                * random.draw()
                * MAX_LATE_SECONDS
                * TICKS_PER_SECOND
            )
            self.schedule(delay, lambda: self._receive(receiver, call))

    def submit(self, **command: Any) -> dict[str, Any]:
        """Applies an operator's command directly at the service, without the network."""
        return self.service.apply({"part": PART_NAME, **command})

    def partition(self, names: Iterable[str], direction: str = Direction.BOTH) -> None:
        """Partitions units from the service.

        Args:
            names: Names of the units.
            direction: The messages that are lost, as the value of a Direction.
        """
        for name in names:
            if direction != Direction.FROM:
                self.partitions.add((name, SERVICE_ADDRESS))
            if direction != Direction.TO:
                self.partitions.add((SERVICE_ADDRESS, name))

    def heal(self) -> None:
        """Ends all partitions."""
        self.partitions.clear()

    def _receive(self, receiver: str, call: Callable[[], object]) -> None:
        """Handles the arrival of a message; a suspended process receives it when it resumes."""
        unit = self.units.get(receiver)
        if unit and unit.suspended_until > self.now:
            self.schedule(unit.suspended_until - self.now, lambda: self._receive(receiver, call))
        else:
            call()

    def _tick(self) -> None:
        if self.service.is_up:
            self.service.apply({"do": CommandName.TICK.value})
        self.schedule(TICK_INTERVAL, self._tick)

    # Units and their processes.

    def read_clock(self, unit: SimulatedUnit) -> Ticks:
        """Returns the value of a unit's monotonic clock, in ticks."""
        return int(self.now * unit.clock_rate) + unit.clock_offset

    def list_serving(self) -> list[str]:
        """Returns the names of the units that serve."""
        return [name for name, unit in self.units.items() if unit.is_serving and unit.is_alive]

    def list_with_build(self, build: str) -> list[str]:
        """Returns the names of the units that run a build."""
        return [name for name, unit in self.units.items() if unit.build == build]

    def crash(self, name: str, restart_after: float | None = None) -> None:
        """Kills a unit's process.

        Args:
            name: Name of the unit.
            restart_after: Seconds until the process restarts, not warmed up; None: never.
        """
        unit = self.units[name]
        unit.is_alive = False
        unit.is_serving = False
        self.checker.record_crash(self.now, name)
        if restart_after is not None:
            self.schedule(restart_after * TICKS_PER_SECOND, lambda: self.restart(name))

    def restart(self, name: str) -> None:
        """Restarts the process of a crashed unit; it does not warm up if its build is failing."""
        unit = self.units[name]
        if not unit.is_alive:
            self._start_process(unit, False)
            if unit.build != self.failing_build:
                self._schedule_for_process(unit, unit.warm_up, lambda: self._finish_warm_up(unit))

    def suspend(self, name: str, seconds: float) -> None:
        """Suspends a unit's process for so many seconds, as SIGSTOP and SIGCONT do."""
        self.units[name].suspended_until = self.now + int(seconds * TICKS_PER_SECOND)

    def _start_process(self, unit: SimulatedUnit, ready: bool) -> None:
        unit.start += 1
        unit.is_alive = True
        unit.client = SimulatedClient(self, unit.name, unit.start)
        unit.agent = self._make_agent(
            unit.name, unit.start, unit.build, self.settings, self.read_clock(unit), ready
        )
        start = unit.start
        self.schedule(
            self._random.draw() * self.settings.bound / 4, lambda: self._poll(unit, start)
        )

    def _is_running(self, unit: SimulatedUnit, start: int) -> bool:
        return unit.is_alive and unit.start == start

    def _schedule_for_process(
        self, unit: SimulatedUnit, delay: float, call: Callable[[], object]
    ) -> None:
        """Schedules a call unless the process has ended by then; delays it during a suspension."""
        start = unit.start

        def call_if_running() -> None:
            if self._is_running(unit, start):
                if unit.suspended_until > self.now:
                    self.schedule(unit.suspended_until - self.now, call_if_running)
                else:
                    call()

        self.schedule(delay, call_if_running)

    def _poll(self, unit: SimulatedUnit, start: int) -> None:
        """Polls a unit's agent at regular intervals while its process runs."""
        if self._is_running(unit, start):
            if unit.suspended_until <= self.now:
                self.perform(unit, unit.agent.advance_time(self.read_clock(unit)))
            self.schedule(
                max(self.settings.bound / POLLS_PER_BOUND, unit.suspended_until - self.now),
                lambda: self._poll(unit, start),
            )

    # Actions of agents.

    def perform(self, unit: SimulatedUnit, actions: list[Action]) -> None:
        """Performs the actions that a unit's agent returned."""
        for action in actions:
            if isinstance(action, ProposeAction):
                self._send(unit, action)
            elif isinstance(action, DrainAction):
                self._drain(unit, action)
            elif isinstance(action, ReturnAction):
                self._return(unit, action)
            else:
                unit.is_serving = True
                self.checker.record_serving(unit.name)

    def _send(self, unit: SimulatedUnit, action: ProposeAction) -> None:
        start = unit.start

        def handle_reply(reply: dict[str, Any]) -> None:
            if self._is_running(unit, start):
                self.perform(
                    unit, unit.agent.receive_reply(self.read_clock(unit), action.token, reply)
                )

        unit.client.propose(action.command, handle_reply)

    def _drain(self, unit: SimulatedUnit, action: DrainAction) -> None:
        unit.is_serving = False
        is_rollback = unit.name in self.rolled_back
        self.checker.record_disruption(self.now, unit.name, action.fencing_token, is_rollback)
        self._schedule_for_process(
            unit,
            MEAN_REPLACEMENT_TICKS * (0.2 + self._random.draw()),
            lambda: self._finish_drain(unit, action.build),
        )

    def _finish_drain(self, unit: SimulatedUnit, build: str) -> None:
        if unit.agent.state not in (AgentState.DRAINING, AgentState.OUT_OF_SERVICE):
            return
        self.perform(unit, unit.agent.finish_drain(self.read_clock(unit)))
        if build:  # disrupted to be replaced, which takes some time
            self._schedule_for_process(
                unit,
                MEAN_REPLACEMENT_TICKS * (0.5 + self._random.draw()),
                lambda: self.perform(
                    unit, unit.agent.finish_disruption(self.read_clock(unit), build)
                ),
            )

    def _return(self, unit: SimulatedUnit, action: ReturnAction) -> None:
        unit.build = action.build or unit.build
        if unit.return_fault:
            self.perform(unit, unit.agent.fail_return(self.read_clock(unit), unit.return_fault))
        else:
            self._schedule_for_process(
                unit,
                unit.warm_up * (0.5 + self._random.draw()),
                lambda: self._finish_warm_up(unit),
            )

    def _finish_warm_up(self, unit: SimulatedUnit) -> None:
        self.perform(unit, unit.agent.finish_return(self.read_clock(unit), unit.build))
