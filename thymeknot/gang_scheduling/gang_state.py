"""The replicated state of gangs: a gang's states and transitions, and the snapshot of all of it."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from .jobs import Gang
from .topology import Topology


class GangState(StrEnum):
    """Where a gang is in its life. The values are stored."""

    OFFERED = "offered"  # in the queue
    RESERVED = "held"  # has all its slots, by a lease
    BOUND = "bound"  # its workers are being started, by a lease
    RUNNING = "running"
    DEGRADED = "hurt"  # lost workers that are to be replaced, by a lease
    MOVING = "moving"  # all its workers are being started elsewhere, by a lease
    DONE = "done"
    REFUSED = "refused"


class GangInput(StrEnum):
    """What can happen to a gang. The values appear in replies."""

    RESERVE = "hold"
    BIND = "bind"
    START = "start"
    CHECKPOINT = "checkpoint"
    FINISH = "done"
    REPLACE_IN_PLACE = "mend in place"
    REPLACE_WHOLE = "mend whole"
    WITHDRAW = "withdraw"
    PREEMPTED = "preempted"
    LOST = "lost"
    DRAINED = "taken"  # by a drain
    EXPIRE = "lapse"  # of the lease
    EXHAUSTED = "exhausted"  # too many leases expired in a row


class GangEffect(StrEnum):
    """What a transition does. The values are stored, as keys of counters."""

    RESERVE_SLOTS = "take"
    RENEW_LEASE = "renew"
    RUN = "run"
    RECORD_CHECKPOINT = "note"
    YIELD_SLOTS = "yield_slots"
    REMOVE_WORKERS = "drop"
    REMOVE_MORE_WORKERS = "drop_more"
    CHANGE_PLACEMENT = "swap"
    REQUEUE = "give_up"
    END = "end"


class Transition(NamedTuple):
    """What an input does in a state.

    Attributes:
        state: The next state.
        effect: What is done on the way.
    """

    state: GangState
    effect: GangEffect


_TO_QUEUE = Transition(GangState.OFFERED, GangEffect.REQUEUE)
_TO_REFUSED = Transition(GangState.REFUSED, GangEffect.END)
_TO_RUNNING = Transition(GangState.RUNNING, GangEffect.RUN)
_TO_DEGRADED = Transition(GangState.DEGRADED, GangEffect.REMOVE_WORKERS)
_MORE_DEGRADED = Transition(GangState.DEGRADED, GangEffect.REMOVE_MORE_WORKERS)

# A pair that is not here is rejected and changes nothing.
TRANSITIONS: dict[tuple[GangState, GangInput], Transition] = {
    (GangState.OFFERED, GangInput.RESERVE): Transition(
        GangState.RESERVED, GangEffect.RESERVE_SLOTS
    ),
    (GangState.OFFERED, GangInput.EXHAUSTED): _TO_REFUSED,
    (GangState.OFFERED, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.RESERVED, GangInput.BIND): Transition(GangState.BOUND, GangEffect.RENEW_LEASE),
    (GangState.RESERVED, GangInput.EXPIRE): _TO_QUEUE,
    # All or none: what is left of a reservation reserves nothing.
    (GangState.RESERVED, GangInput.LOST): _TO_QUEUE,
    (GangState.RESERVED, GangInput.DRAINED): _TO_QUEUE,
    (GangState.RESERVED, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.BOUND, GangInput.START): _TO_RUNNING,
    (GangState.BOUND, GangInput.EXPIRE): _TO_QUEUE,
    (GangState.BOUND, GangInput.LOST): _TO_QUEUE,
    (GangState.BOUND, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.RUNNING, GangInput.CHECKPOINT): Transition(
        GangState.RUNNING, GangEffect.RECORD_CHECKPOINT
    ),
    (GangState.RUNNING, GangInput.PREEMPTED): Transition(GangState.OFFERED, GangEffect.YIELD_SLOTS),
    (GangState.RUNNING, GangInput.LOST): _TO_DEGRADED,
    # A drain takes workers after a checkpoint, or as a unit of the gang's budget.
    (GangState.RUNNING, GangInput.DRAINED): _TO_DEGRADED,
    (GangState.RUNNING, GangInput.FINISH): Transition(GangState.DONE, GangEffect.END),
    (GangState.RUNNING, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.DEGRADED, GangInput.LOST): _MORE_DEGRADED,
    (GangState.DEGRADED, GangInput.DRAINED): _MORE_DEGRADED,
    (GangState.DEGRADED, GangInput.REPLACE_IN_PLACE): Transition(
        GangState.BOUND, GangEffect.CHANGE_PLACEMENT
    ),
    (GangState.DEGRADED, GangInput.REPLACE_WHOLE): Transition(
        GangState.MOVING, GangEffect.CHANGE_PLACEMENT
    ),
    (GangState.DEGRADED, GangInput.EXPIRE): _TO_QUEUE,
    (GangState.DEGRADED, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.MOVING, GangInput.START): _TO_RUNNING,
    (GangState.MOVING, GangInput.EXPIRE): _TO_QUEUE,
    (GangState.MOVING, GangInput.LOST): _TO_QUEUE,
    (GangState.MOVING, GangInput.WITHDRAW): _TO_REFUSED,
}

STATES_WITH_SLOTS = (
    GangState.RESERVED,
    GangState.BOUND,
    GangState.RUNNING,
    GangState.DEGRADED,
    GangState.MOVING,
)

STATES_WITH_LEASE = (
    GangState.RESERVED,
    GangState.BOUND,
    GangState.DEGRADED,
    GangState.MOVING,
)


class GangRecord(msgspec.Struct):
    """A gang and where it is in its life. Field names are stored keys; times are agreed, in ticks.

    Attributes:
        gang: What it asks for.
        number: Its number, in the order of offers.
        waiting_since: When its waiting began.
        state: Its state.
        placement: {machine: workers}.
        fence: Fencing token of its latest placement.
        lease_expiry: When its lease expires, 0 for none.
        failed_leases: Leases that expired or were lost in a row.
        backoff_until: When its backoff ends.
        last_checkpoint: When it last started or wrote a checkpoint.
        preemptions: How often it was preempted.
        preempted_by: Name of the gang that it is to make room for, or empty.
        preemption_deadline: When it makes room at the latest.
        why: Stored and not used.
    """

    gang: Gang
    number: int
    waiting_since: int = msgspec.field(name="since")
    state: GangState = GangState.OFFERED
    placement: dict[str, int] = msgspec.field(default_factory=dict, name="places")
    fence: int = 0
    lease_expiry: int = msgspec.field(default=0, name="lease")
    failed_leases: int = msgspec.field(default=0, name="tries")
    backoff_until: int = msgspec.field(default=0, name="again")
    last_checkpoint: int = msgspec.field(default=0, name="saved")
    preemptions: int = msgspec.field(default=0, name="preempted")
    preempted_by: str = msgspec.field(default="", name="ending")
    preemption_deadline: int = msgspec.field(default=0, name="ends")
    why: str = ""


class Snapshot(msgspec.Struct):
    """All of the state, as it is written down and read back. Field names are stored keys.

    Attributes:
        now: Agreed time of the latest command, in ticks.
        last_fence: The latest fencing token.
        last_number: The latest gang's number.
        topology: The racks.
        gangs: Gangs that are not over, by name, in the order of their numbers.
        ended: How gangs ended, by name, the oldest first.
        shares: Thousandths of all slots by publisher.
        counters: How often each effect and rejection happened.
    """

    now: int = msgspec.field(default=0, name="at")
    last_fence: int = msgspec.field(default=0, name="fence")
    last_number: int = msgspec.field(default=0, name="number")
    topology: Topology = msgspec.field(default_factory=Topology, name="places")
    gangs: dict[str, GangRecord] = {}
    ended: dict[str, str] = {}
    shares: dict[str, int] = {}
    counters: dict[str, int] = msgspec.field(default_factory=dict, name="counted")

    def count(self, event: str) -> None:
        """Counts one event."""
        self.counters[event] = self.counters.get(event, 0) + 1

    def is_offered(self, name: str) -> bool:
        """Returns whether the gang is known and waits in the queue."""
        return name in self.gangs and self.gangs[name].state == GangState.OFFERED

    def remaining_lease(self, record: GangRecord) -> int:
        """Returns the ticks until a gang's lease expires, 0 if it has none."""
        return max(0, record.lease_expiry - self.now) if record.lease_expiry else 0
