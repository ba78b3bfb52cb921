"""A simulated host: a real node with a simulated disk and clock, and a register as its machine."""

from collections import Counter

from ..interface.clock import Ticks
from .node import RaftNode
from .node_interface import Event
from .records import Record
from .roles import Role
from .state_machine import Command, Reply


class Register:
    """A state machine of writes in their order. Each names itself: one applied twice is seen."""

    def __init__(self) -> None:
        self.write_ids: list[str] = []
        self.times: Counter[str] = Counter()

    def apply(self, at: Ticks, command: Command) -> Reply:
        """Adds a write; its place is the reply."""
        self.write_ids.append(command["id"])
        self.times[command["id"]] += 1
        return {"ok": True, "place": len(self.write_ids)}

    def image(self) -> list[str]:
        """The writes."""
        return self.write_ids

    def load(self, image: list[str]) -> None:
        """Replaces the writes."""
        self.write_ids = list(image)
        self.times = Counter(image)


class Disk:
    """Records given to Persist.

    The first `synced` of them outlast a crash, of the others as many as the random source keeps.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.records: list[Record] = []
        self.synced = 0


class Host:
    """A node with its disk and its clock.

    Attributes:
        name: the node's.
        clock_rate: of its clock to the simulated time.
        clock_offset: of its clock at the beginning.
        disk: what outlasts a crash.
        register: the node's state machine.
        node: None while it is down.
        boots: starts and crashes; what was planned before one is void.
        stalled_until: it stands still until then.
        delayed: events that came while it stood still.
        timer: the moment of its last SetTimer, by its own clock.
    """

    def __init__(self, name: str, incarnation: int, clock_rate: float, clock_offset: Ticks) -> None:
        self.name = name
        self.clock_rate = clock_rate
        self.clock_offset = clock_offset
        self.disk = Disk(incarnation)
        self.register = Register()
        self.node: RaftNode | None = None
        self.boots = 0
        self.stalled_until: Ticks = 0
        self.delayed: list[Event] = []
        self.timer: Ticks | None = None

    def leads(self) -> bool:
        """Whether its node is up and thinks that it leads."""
        return self.node is not None and self.node.role == Role.LEADER
