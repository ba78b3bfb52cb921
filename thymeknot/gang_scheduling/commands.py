"""The commands of the gangs' state machine, as they stand in the replicated log.

Tags and field names are stored: a command's field `do` holds its tag.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated, Any, Literal, TypeAlias, Union

import msgspec
from msgspec import Meta

from ..interface.clock import Ticks
from .jobs import MAX_WORKERS, Gang, Name, NonNegativeInt, PositiveInt
from .topology import DEFAULT_MACHINE_BANDWIDTH, MachineSpec

MAX_MACHINES = 512  # machines that one command may name, which bounds an entry of the log
MAX_BLOCKERS_IN_REPLY = 8  # names that a rejection lists, which bounds a reply

Reply: TypeAlias = dict[str, Any]
"""A reply as plain values, which goes back to the client as JSON."""

MachineWorkers = Annotated[
    dict[Name, Annotated[int, Meta(ge=1, le=MAX_WORKERS)]],
    Meta(min_length=1, max_length=MAX_WORKERS),
]
RackVersions = Annotated[dict[Name, NonNegativeInt], Meta(min_length=1, max_length=MAX_WORKERS)]


class CommandRejectedError(Exception):
    """A command was rejected and changed nothing.

    Attributes:
        reply: What the client gets: the sentence, who is in the way, and when to ask again.
    """

    def __init__(self, message: str, blockers: Iterable[str] = (), retry_after: Ticks = 0) -> None:
        super().__init__(message)
        self.reply: Reply = {
            "refused": message,
            "by": sorted(blockers)[:MAX_BLOCKERS_IN_REPLY],
            "again": retry_after,
        }


class Command(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="do"):
    """What all commands have.

    Attributes:
        part: Names the state machine among those that share the log.
    """

    part: Literal["gangs"]


class AddRack(Command, frozen=True, tag="stand"):
    """Adds a rack.

    Attributes:
        rack: Its name.
        zone: Name of its zone.
        cluster: Name of its cluster.
        bandwidth: Bytes a second of its uplink.
        machines: Its machines by name.
        machine_bandwidth: Bytes a second of each machine's link.
    """

    rack: Name
    zone: Name
    cluster: Name
    bandwidth: PositiveInt
    machines: Annotated[dict[Name, MachineSpec], Meta(min_length=1, max_length=MAX_MACHINES)]
    machine_bandwidth: PositiveInt = msgspec.field(default=DEFAULT_MACHINE_BANDWIDTH, name="link")


class SetUplink(Command, frozen=True, tag="uplink"):
    """States the bandwidth of a zone's or cluster's uplink.

    Attributes:
        uplink: "zone/CLUSTER/ZONE" or "cluster/CLUSTER".
        bandwidth: Bytes a second.
    """

    uplink: Annotated[
        str, Meta(pattern=r"\A(zone/[A-Za-z0-9_.:-]+|cluster)/[A-Za-z0-9_.:-]+\Z", max_length=160)
    ] = msgspec.field(name="of")
    bandwidth: PositiveInt


class SetShare(Command, frozen=True, tag="share"):
    """States a publisher's share of all slots.

    Attributes:
        publisher: Its name.
        thousandths: The share.
    """

    publisher: Name
    thousandths: Annotated[int, Meta(ge=0, le=1000)]


class PlanRemoval(Command, frozen=True, tag="planned"):
    """States when machines are to go by plan.

    Attributes:
        machines: Their names.
        removal_time: Agreed time in ticks, 0 for never.
    """

    machines: Annotated[list[Name], Meta(min_length=1, max_length=MAX_MACHINES)]
    removal_time: NonNegativeInt = msgspec.field(name="at")


class OfferGang(Command, frozen=True, tag="offer"):
    """Puts a gang into the queue.

    Attributes:
        gang: Its name, which no gang had before.
        job: What it asks for.
    """

    gang: Name
    job: Gang


class Reserve(Command, frozen=True, tag="hold"):
    """Reserves all slots of a gang, or none.

    Attributes:
        gang: Its name.
        versions: {rack: version that was scored}.
        placement: {machine: workers}.
    """

    gang: Name
    versions: RackVersions
    placement: MachineWorkers = msgspec.field(name="places")


class FencedCommand(Command, frozen=True):
    """A command of who reserved a gang's slots.

    Attributes:
        gang: Its name.
        fence: Fencing token of the reservation.
    """

    gang: Name
    fence: NonNegativeInt


class Bind(FencedCommand, frozen=True, tag="bind"):
    """Binds a reserved gang: its workers are being started."""


class Start(FencedCommand, frozen=True, tag="start"):
    """Reports that all workers of a gang run."""


class Checkpoint(FencedCommand, frozen=True, tag="checkpoint"):
    """Reports that a gang wrote a checkpoint."""


class Finish(FencedCommand, frozen=True, tag="done"):
    """Reports that a gang is done."""


class ReplaceWorkers(FencedCommand, frozen=True, tag="mend"):
    """Replaces the failed workers of a gang.

    Attributes:
        versions: {rack: version that was scored}, of the racks with new workers.
        placement: {machine: workers}, the whole new placement.
    """

    versions: dict[Name, NonNegativeInt]
    placement: MachineWorkers = msgspec.field(name="places")


class Withdraw(Command, frozen=True, tag="withdraw"):
    """Ends a gang whatever it does.

    Attributes:
        gang: Its name.
    """

    gang: Name


class Preempt(Command, frozen=True, tag="preempt"):
    """Asks a running gang to make room after its next checkpoint.

    Attributes:
        gang: The gang that is to make room.
        beneficiary: The gang that it makes room for.
    """

    gang: Name
    beneficiary: Name = msgspec.field(name="by")


class LossKind(StrEnum):
    """What is lost."""

    WORKER = "worker"
    MACHINE = "machine"
    RACK = "rack"


class ReportLoss(Command, frozen=True, tag="lost"):
    """Reports a loss.

    Attributes:
        kind: A worker of `gang` on machine `name`, a machine, or a rack.
        name: The machine or rack.
        gang: For a worker, its gang.
    """

    kind: LossKind
    name: Name
    gang: str = ""


class ReportRecovery(Command, frozen=True, tag="back"):
    """Reports that a machine may be used again.

    Attributes:
        machine: Its name.
    """

    machine: Name


class RequestDrain(Command, frozen=True, tag="drain_asked"):
    """Asks for a machine to be emptied.

    Attributes:
        machine: Its name.
        drain: Name of the drain, which has the machine from now on.
        use_budget: Whether to take the machine at once if no gang on it then misses more
            workers than it can spare.
    """

    machine: Name
    drain: Name
    use_budget: bool = msgspec.field(default=False, name="unit")


class Tick(Command, frozen=True, tag="tick"):
    """Lets time pass: leases expire before any command."""


AnyCommand: TypeAlias = Union[
    AddRack,
    SetUplink,
    SetShare,
    PlanRemoval,
    OfferGang,
    Reserve,
    Bind,
    Start,
    Checkpoint,
    Finish,
    ReplaceWorkers,
    Withdraw,
    Preempt,
    ReportLoss,
    ReportRecovery,
    RequestDrain,
    Tick,
]
