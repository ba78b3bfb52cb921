"""A stub of the replicated log in virtual time, for a simulated fleet.

A single state machine applies commands in the order in which they arrive. Agents use only
`SimulatedClient.propose`, so a real client of the log can replace it.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, TypeAlias

from ..interface.clock import Ticks
from .commands import CommandName
from .invariant_checker import InvariantChecker
from .state_machine import DisruptionStateMachine

# Address of the service in the simulated network.
SERVICE_ADDRESS = "keepers"

ReplyCallback: TypeAlias = Callable[[dict[str, Any]], object]
"""Called with a reply."""


class SimulatedNetwork(Protocol):
    """The interface of the simulated fleet that the service and its clients use.

    Attributes:
        now: Virtual time in ticks.
        checker: Checker of the invariants.
        service: The service.
    """

    now: Ticks
    checker: InvariantChecker
    service: "SimulatedService"

    def deliver(self, sender: str, receiver: str, call: Callable[[], object]) -> None:
        """Schedules `call` for the delivery of a message, which may be lost or duplicated."""


class CommandKey(NamedTuple):
    """Identifies a command, so that its repeats are recognized.

    Attributes:
        origin: Name of the client.
        incarnation: Number of the client's process start.
        number: Number of the command within the incarnation.
    """

    origin: str
    incarnation: int
    number: int


class AppliedCommand(NamedTuple):
    """The last applied command of an origin, and its reply."""

    key: CommandKey
    reply: dict[str, Any]


class SimulatedClient:
    """The client that a process uses to send commands to the service."""

    def __init__(self, network: SimulatedNetwork, origin: str, incarnation: int) -> None:
        self.network = network
        self.origin = origin
        self.incarnation = incarnation
        self.last_number = 0

    def propose(self, command: dict[str, Any], on_reply: ReplyCallback) -> None:
        """Sends a command; `on_reply` is called with each reply that arrives, if any."""
        self.last_number += 1
        key = CommandKey(self.origin, self.incarnation, self.last_number)
        self.network.deliver(
            self.origin,
            SERVICE_ADDRESS,
            lambda: self.network.service.receive(key, command, on_reply),
        )


class SimulatedService:
    """The service: one state machine, which is reachable or not.

    Each command is applied once. The reply to the last command of each origin is kept, and is sent
    again for a repeat.
    """

    def __init__(self, network: SimulatedNetwork, machine: DisruptionStateMachine) -> None:
        self.network = network
        self.machine = machine
        self.is_up = True
        self.last_applied: dict[str, AppliedCommand] = {}
        self.agreed_time: Ticks = 0

    def receive(self, key: CommandKey, command: dict[str, Any], on_reply: ReplyCallback) -> None:
        """Handles a command; it is ignored if it is older than the origin's last applied one."""
        if not self.is_up:
            return
        last = self.last_applied.get(key.origin)
        if last is None or key > last.key:
            last = AppliedCommand(key, self.apply(command))
            self.last_applied[key.origin] = last
        elif key < last.key:
            return
        reply = last.reply
        self.network.deliver(SERVICE_ADDRESS, key.origin, lambda: on_reply(reply))

    def apply(self, command: dict[str, Any]) -> dict[str, Any]:
        """Applies a command at once and returns its reply."""
        self.agreed_time = max(self.agreed_time, self.network.now)
        reply = self.machine.apply(self.agreed_time, command)
        if command.get("do") == CommandName.BEGIN and "ok" in reply:
            self.network.checker.record_confirmation(
                self.network.now, command["unit"], command["fence"]
            )
        return reply

    def restart(self) -> None:
        """Simulates a restart of all replicas from their snapshot."""
        image = self.machine.image()
        self.machine = type(self.machine)()
        self.machine.load(image)
        self.is_up = True
        self.network.checker.record_service_restored()

    def fail(self) -> None:
        """Simulates the loss of all replicas."""
        self.is_up = False
        self.network.checker.record_service_lost(self.network.now)
