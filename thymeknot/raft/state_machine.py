"""The interface of replicated state machines."""

from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from ..interface.clock import Ticks

Command = dict[str, Any]
Reply = dict[str, Any]


class StateMachine(Protocol):
    """A deterministic state machine.

    The same commands at the same agreed times give the same state and replies on all nodes.
    """

    def apply(self, at: Ticks, command: Command) -> Reply:
        """Applies a command and returns the reply.

        It must not raise, even for a malformed command: the exception would stop all nodes.
        """

    def image(self) -> Any:
        """Returns the complete state for a snapshot, as a value that msgpack can encode."""

    def load(self, image: Any) -> None:
        """Replaces the state with one that `image` returned."""


def rejection(reason: str, by: Iterable[str] = (), retry_after: Ticks = 0) -> Reply:
    """Returns the reply that rejects a command.

    Args:
        reason: Why the command is rejected.
        by: Names of what the rejection is due to.
        retry_after: Time to wait before a retry.
    """
    return {"refused": reason, "by": list(by), "again": retry_after}


class CompositeStateMachine:
    """Several state machines in one; a command's `part` selects the one that applies it."""

    def __init__(self, machines: Mapping[str, StateMachine]) -> None:
        self.machines = machines

    def apply(self, at: Ticks, command: Command) -> Reply:
        """Applies a command to the state machine that its `part` names."""
        part = command.get("part")
        machine = self.machines.get(part) if isinstance(part, str) else None
        return rejection(f"no part {part!r}") if machine is None else machine.apply(at, command)

    def image(self) -> dict[str, Any]:
        """Returns the states of all state machines by part."""
        return {name: machine.image() for name, machine in self.machines.items()}

    def load(self, image: Mapping[str, Any]) -> None:
        """Replaces the states; a part that an older version's image lacks keeps its state."""
        for name, machine in self.machines.items():
            if name in image:
                machine.load(image[name])
