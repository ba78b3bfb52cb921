"""A stub of the replicated log in virtual time, for a simulated fleet.

One state machine takes commands in the order in which they arrive. What agents use of it is
`SimulatedClient.propose` alone, so a real client of the log can stand in its place.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, TypeAlias

from ..interface.clock import Ticks
from .commands import CommandName
from .invariant_checker import InvariantChecker
from .state_machine import DisruptionStateMachine

# Where the network has the service.
SERVICE_ADDRESS = "keepers"

ReplyCallback: TypeAlias = Callable[[dict[str, Any]], object]
"""Takes a reply."""


class SimulatedNetwork(Protocol):
    """What the service and its clients need of the simulated fleet.

    Attributes:
        now: virtual time.
        checker: checks from outside.
        service: the service.
    """

    now: Ticks
    checker: InvariantChecker
    service: "SimulatedService"

    def deliver(self, sender: str, receiver: str, call: Callable[[], object]) -> None:
        """Calls `call` when a message arrives: once, twice or never."""


class CommandKey(NamedTuple):
    """Tells a command from its repeats.

    Attributes:
        origin: the client's name.
        incarnation: the number of its process' start.
        number: the number of the command in that.
    """

    origin: str
    incarnation: int
    number: int


class AppliedCommand(NamedTuple):
    """The last command of an origin that was applied, and its reply."""

    key: CommandKey
    reply: dict[str, Any]


class SimulatedClient:
    """What a process has of the service."""

    def __init__(self, network: SimulatedNetwork, origin: str, incarnation: int) -> None:
        self.network = network
        self.origin = origin
        self.incarnation = incarnation
        self.last_number = 0

    def propose(self, command: dict[str, Any], then: ReplyCallback) -> None:
        """Sends a command; `then` takes its reply, or is never called."""
        self.last_number += 1
        key = CommandKey(self.origin, self.incarnation, self.last_number)
        self.network.deliver(
            self.origin,
            SERVICE_ADDRESS,
            lambda: self.network.service.take(key, command, then),
        )


class SimulatedService:
    """The stub: reachable or not, with one state machine.

    Each command of an origin is applied once; the reply of its last one is remembered.
    """

    def __init__(self, network: SimulatedNetwork, machine: DisruptionStateMachine) -> None:
        self.network = network
        self.machine = machine
        self.is_up = True
        self.last_applied: dict[str, AppliedCommand] = {}
        self.agreed_time: Ticks = 0

    def take(self, key: CommandKey, command: dict[str, Any], then: ReplyCallback) -> None:
        """A command arrived; its reply is sent back unless it is older than the last applied."""
        if not self.is_up:
            return
        last = self.last_applied.get(key.origin)
        if last is None or key > last.key:
            last = AppliedCommand(key, self.apply(command))
            self.last_applied[key.origin] = last
        elif key < last.key:
            return
        reply = last.reply
        self.network.deliver(SERVICE_ADDRESS, key.origin, lambda: then(reply))

    def apply(self, command: dict[str, Any]) -> dict[str, Any]:
        """Applies a command now."""
        self.agreed_time = max(self.agreed_time, self.network.now)
        reply = self.machine.apply(self.agreed_time, command)
        if command.get("do") == CommandName.BEGIN and "ok" in reply:
            self.network.checker.record_confirmation(
                self.network.now, command["unit"], command["fence"]
            )
        return reply

    def restart(self) -> None:
        """All replicas were killed and start again from their snapshot."""
        image = self.machine.image()
        self.machine = type(self.machine)()
        self.machine.load(image)
        self.is_up = True
        self.network.checker.record_service_back()

    def fail(self) -> None:
        """All replicas are lost."""
        self.is_up = False
        self.network.checker.record_service_lost(self.network.now)
