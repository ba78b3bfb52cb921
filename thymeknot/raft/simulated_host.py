"""A simulated host: a real node with a simulated disk, clock and state machine."""

from collections import Counter

from ..interface.clock import Ticks
from .node import RaftNode
from .node_interface import Event
from .records import Record
from .roles import Role
from .state_machine import Command, Reply


class Register:
    """A state machine that records writes in order.

    Each write has an id, so that a write that is applied twice is detected.
    """

    def __init__(self) -> None:
        self.write_ids: list[str] = []
        self.apply_counts: Counter[str] = Counter()

    def apply(self, at: Ticks, command: Command) -> Reply:
        """Appends a write and replies with its position, which starts at 1."""
        self.write_ids.append(command["id"])
        self.apply_counts[command["id"]] += 1
        return {"ok": True, "place": len(self.write_ids)}

    def image(self) -> list[str]:
        """Returns the ids of all writes."""
        return self.write_ids

    def load(self, image: list[str]) -> None:
        """Replaces the writes with those of an image."""
        self.write_ids = list(image)
        self.apply_counts = Counter(image)


class Disk:
    """A simulated disk that holds the records of Persist effects.

    The first `synced` records survive a crash; the random source decides how many others do.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.records: list[Record] = []
        self.synced = 0


class Host:
    """A node with its disk and clock.

    Attributes:
        name: Name of the node.
        clock_rate: Rate of the host's clock relative to simulated time.
        clock_offset: Offset of the host's clock at the start of the simulation.
        disk: The disk, which survives crashes.
        register: State machine of the node.
        node: The node; None while the host is down.
        generation: Increases with each start and crash; calls scheduled in an earlier generation
            are ignored.
        stalled_until: Simulated time until which the host stalls.
        delayed_events: Events that arrived while the host stalled.
        timer_at: Time of the last SetTimer effect by the host's own clock.
    """

    def __init__(self, name: str, incarnation: int, clock_rate: float, clock_offset: Ticks) -> None:
        self.name = name
        self.clock_rate = clock_rate
        self.clock_offset = clock_offset
        self.disk = Disk(incarnation)
        self.register = Register()
        self.node: RaftNode | None = None
        self.generation = 0
        self.stalled_until: Ticks = 0
        self.delayed_events: list[Event] = []
        self.timer_at: Ticks | None = None

    def is_leader(self) -> bool:
        """Returns whether the node is up and considers itself leader."""
        return self.node is not None and self.node.role == Role.LEADER
