"""What the log is applied to."""

from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from ..interface.clock import Ticks

Command = dict[str, Any]
Reply = dict[str, Any]


class StateMachine(Protocol):
    """A pure machine: the same commands at the same agreed times give the same replies."""

    def apply(self, at: Ticks, command: Command) -> Reply:
        """Applies a command.

        It raises for no command, however ill formed, since it would on all nodes.
        """

    def image(self) -> Any:
        """All of its state, as a plain value that msgpack can write."""

    def load(self, image: Any) -> None:
        """Replaces its state by an image's."""


def rejection(reason: str, by: Iterable[str] = (), retry_after: Ticks = 0) -> Reply:
    """A reply that rejects a command."""
    return {"refused": reason, "by": list(by), "again": retry_after}


class CompositeStateMachine:
    """Several machines, told apart by a command's `part`."""

    def __init__(self, machines: Mapping[str, StateMachine]) -> None:
        self.machines = machines

    def apply(self, at: Ticks, command: Command) -> Reply:
        """Applies a command to the machine of its part."""
        part = command.get("part")
        machine = self.machines.get(part) if isinstance(part, str) else None
        return rejection(f"no part {part!r}") if machine is None else machine.apply(at, command)

    def image(self) -> dict[str, Any]:
        """The machines' images, by part."""
        return {name: machine.image() for name, machine in self.machines.items()}

    def load(self, image: Mapping[str, Any]) -> None:
        """Loads each machine; one that the image lacks (an older program wrote it) stays."""
        for name, machine in self.machines.items():
            if name in image:
                machine.load(image[name])
