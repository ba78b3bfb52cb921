"""Commands of the gang scheduling state machine, as stored in the replicated log.

Tags and encoded field names are stored; a command's field `do` holds its tag.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated, Any, Literal, TypeAlias, Union

import msgspec
from msgspec import Meta

from ..interface.clock import Ticks
from .jobs import MAX_WORKERS, Gang, Name, NonNegativeInt, PositiveInt
from .topology import DEFAULT_MACHINE_BANDWIDTH, MachineSpec

MAX_MACHINES = 512  # machines in one command; bounds the size of a log entry
MAX_BLOCKERS_IN_REPLY = 8  # names listed in a rejection; bounds the size of a reply

Reply: TypeAlias = dict[str, Any]
"""A reply as plain values; the client receives it as JSON."""

MachineWorkers = Annotated[
    dict[Name, Annotated[int, Meta(ge=1, le=MAX_WORKERS)]],
    Meta(min_length=1, max_length=MAX_WORKERS),
]
RackVersions = Annotated[dict[Name, NonNegativeInt], Meta(min_length=1, max_length=MAX_WORKERS)]


class CommandRejectedError(Exception):
    """Raised when a command is rejected.

    Attributes:
        reply: The reply to the client: the reason, the names of the gangs, racks, machines or
            drains that block the command, and the ticks to wait before a retry.
    """

    def __init__(self, message: str, blockers: Iterable[str] = (), retry_after: Ticks = 0) -> None:
        super().__init__(message)
        self.reply: Reply = {
            "refused": message,
            "by": sorted(blockers)[:MAX_BLOCKERS_IN_REPLY],
            "again": retry_after,
        }


class Command(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="do"):
    """Base of all commands.

    Attributes:
        part: Selects this state machine among those that share the log.
    """

    part: Literal["gangs"]


class AddRack(Command, frozen=True, tag="stand"):
    """Adds a rack.

    Attributes:
        rack: Name of the rack.
        zone: Name of its zone.
        cluster: Name of its cluster.
        bandwidth: Bandwidth of the rack's uplink, in bytes per second.
        machines: The rack's machines by name.
        machine_bandwidth: Bandwidth of each machine's link, in bytes per second.
    """

    rack: Name
    zone: Name
    cluster: Name
    bandwidth: PositiveInt
    machines: Annotated[dict[Name, MachineSpec], Meta(min_length=1, max_length=MAX_MACHINES)]
    machine_bandwidth: PositiveInt = msgspec.field(default=DEFAULT_MACHINE_BANDWIDTH, name="link")


class SetUplink(Command, frozen=True, tag="uplink"):
    """Sets the bandwidth of a zone's or cluster's uplink.

    Attributes:
        uplink: "zone/CLUSTER/ZONE" or "cluster/CLUSTER".
        bandwidth: Bandwidth in bytes per second.
    """

    uplink: Annotated[
        str, Meta(pattern=r"\A(zone/[A-Za-z0-9_.:-]+|cluster)/[A-Za-z0-9_.:-]+\Z", max_length=160)
    ] = msgspec.field(name="of")
    bandwidth: PositiveInt


class SetShare(Command, frozen=True, tag="share"):
    """Sets a publisher's share of all slots.

    Attributes:
        publisher: Name of the publisher.
        thousandths: The share, in thousandths of all slots.
    """

    publisher: Name
    thousandths: Annotated[int, Meta(ge=0, le=1000)]


class PlanRemoval(Command, frozen=True, tag="planned"):
    """Sets when machines will be removed as planned.

    Attributes:
        machines: Names of the machines.
        removal_time: Agreed time of the removal in ticks, 0 for none.
    """

    machines: Annotated[list[Name], Meta(min_length=1, max_length=MAX_MACHINES)]
    removal_time: NonNegativeInt = msgspec.field(name="at")


class OfferGang(Command, frozen=True, tag="offer"):
    """Adds a gang to the queue.

    Attributes:
        gang: Name of the gang; it must not have been used before.
        job: What the gang asks for.
    """

    gang: Name
    job: Gang


class Reserve(Command, frozen=True, tag="hold"):
    """Reserves slots for all workers of a gang, or for none.

    Attributes:
        gang: Name of the gang.
        versions: {rack: version at which the placement was scored}.
        placement: {machine: workers}.
    """

    gang: Name
    versions: RackVersions
    placement: MachineWorkers = msgspec.field(name="places")


class FencedCommand(Command, frozen=True):
    """Base of the commands that only the holder of a gang's reservation may send.

    Attributes:
        gang: Name of the gang.
        fence: Fencing token of the gang's latest placement.
    """

    gang: Name
    fence: NonNegativeInt


class Bind(FencedCommand, frozen=True, tag="bind"):
    """Binds a reserved gang: its workers are about to be started."""


class Start(FencedCommand, frozen=True, tag="start"):
    """Reports that all workers of a gang are running."""


class Checkpoint(FencedCommand, frozen=True, tag="checkpoint"):
    """Reports that a gang wrote a checkpoint."""


class Finish(FencedCommand, frozen=True, tag="done"):
    """Reports that a gang has finished."""


class ReplaceWorkers(FencedCommand, frozen=True, tag="mend"):
    """Replaces the failed workers of a gang.

    Attributes:
        versions: {rack: version at which the placement was scored}, for the racks that get
            additional workers.
        placement: {machine: workers} of the complete new placement.
    """

    versions: dict[Name, NonNegativeInt]
    placement: MachineWorkers = msgspec.field(name="places")


class Withdraw(Command, frozen=True, tag="withdraw"):
    """Ends a gang, whatever its state.

    Attributes:
        gang: Name of the gang.
    """

    gang: Name


class Preempt(Command, frozen=True, tag="preempt"):
    """Preempts a running gang after its next checkpoint.

    Attributes:
        gang: Name of the gang to preempt.
        beneficiary: Name of the queued gang that needs the slots.
    """

    gang: Name
    beneficiary: Name = msgspec.field(name="by")


class LossKind(StrEnum):
    """Kind of a loss."""

    WORKER = "worker"
    MACHINE = "machine"
    RACK = "rack"


class ReportLoss(Command, frozen=True, tag="lost"):
    """Reports the loss of a worker, a machine or a rack.

    Attributes:
        kind: What was lost; a lost worker is one of `gang` on machine `name`.
        name: Name of the machine or rack.
        gang: Name of the gang, for the loss of a worker only.
    """

    kind: LossKind
    name: Name
    gang: str = ""


class ReportRecovery(Command, frozen=True, tag="back"):
    """Reports that a machine can be used again.

    Attributes:
        machine: Name of the machine.
    """

    machine: Name


class RequestDrain(Command, frozen=True, tag="drain_asked"):
    """Requests that a machine be drained of its workers.

    Attributes:
        machine: Name of the machine.
        drain: Name of the drain, which owns the machine from now on.
        use_budget: Whether to drain the machine at once if every gang on it can then spare its
            missing workers.
    """

    machine: Name
    drain: Name
    use_budget: bool = msgspec.field(default=False, name="unit")


class Tick(Command, frozen=True, tag="tick"):
    """Advances the agreed time; expired leases are processed before every command."""


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
