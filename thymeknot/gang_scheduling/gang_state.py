"""The replicated state: the states and transitions of a gang, and the snapshot of all gangs."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from .jobs import Gang
from .topology import Topology


class GangState(StrEnum):
    """State of a gang. The values are stored."""

    OFFERED = "offered"  # waiting in the queue
    RESERVED = "held"  # all its slots are reserved, under a lease
    BOUND = "bound"  # its workers are being started, under a lease
    RUNNING = "running"
    DEGRADED = "hurt"  # some workers are missing and must be replaced, under a lease
    MOVING = "moving"  # all its workers are being started elsewhere, under a lease
    DONE = "done"
    REFUSED = "refused"  # withdrawn, or too many of its leases failed


class GangInput(StrEnum):
    """Event that can change a gang's state. The values appear in replies."""

    RESERVE = "hold"
    BIND = "bind"
    START = "start"
    CHECKPOINT = "checkpoint"
    FINISH = "done"
    REPLACE_IN_PLACE = "mend in place"
    REPLACE_WHOLE = "mend whole"
    WITHDRAW = "withdraw"
    PREEMPTED = "preempted"
    LOST = "lost"  # some workers were lost
    DRAINED = "taken"  # some workers were removed by a drain
    EXPIRE = "lapse"  # the lease expired
    EXHAUSTED = "exhausted"  # too many consecutive leases failed


class GangEffect(StrEnum):
    """Action of a transition. The values are stored, as keys of `Snapshot.counters`."""

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
    """Result of an input in a state.

    Attributes:
        state: The next state.
        effect: The action that goes with the transition.
    """

    state: GangState
    effect: GangEffect


_TO_QUEUE = Transition(GangState.OFFERED, GangEffect.REQUEUE)
_TO_REFUSED = Transition(GangState.REFUSED, GangEffect.END)
_TO_RUNNING = Transition(GangState.RUNNING, GangEffect.RUN)
_TO_DEGRADED = Transition(GangState.DEGRADED, GangEffect.REMOVE_WORKERS)
_MORE_DEGRADED = Transition(GangState.DEGRADED, GangEffect.REMOVE_MORE_WORKERS)

# An input is rejected in a state for which it is not listed.
TRANSITIONS: dict[tuple[GangState, GangInput], Transition] = {
    (GangState.OFFERED, GangInput.RESERVE): Transition(
        GangState.RESERVED, GangEffect.RESERVE_SLOTS
    ),
    (GangState.OFFERED, GangInput.EXHAUSTED): _TO_REFUSED,
    (GangState.OFFERED, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.RESERVED, GangInput.BIND): Transition(GangState.BOUND, GangEffect.RENEW_LEASE),
    (GangState.RESERVED, GangInput.EXPIRE): _TO_QUEUE,
    # All or none: a reservation that lost slots is released as a whole.
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
    # A drain removes workers after a checkpoint, or within the gang's disruption budget.
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
    """State of a gang that has not ended.

    The encoded field names are stored. Times are agreed times in ticks.

    Attributes:
        gang: What the gang asks for.
        number: Sequence number, in the order in which gangs were offered.
        waiting_since: Start of the current wait in the queue.
        state: Its state.
        placement: {machine: workers}.
        fence: Fencing token of the latest placement.
        lease_expiry: Time at which the lease expires, 0 for no lease.
        failed_leases: Consecutive leases that expired or were lost.
        backoff_until: End of the backoff.
        last_checkpoint: Time of the latest start or checkpoint.
        preemptions: How often the gang was preempted.
        preemption_beneficiary: Name of the queued gang for which a preemption is pending, or empty.
        preemption_deadline: Time at which a pending preemption takes place at the latest.
        why: Unused; kept because it is stored.
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
    preemption_beneficiary: str = msgspec.field(default="", name="ending")
    preemption_deadline: int = msgspec.field(default=0, name="ends")
    why: str = ""


class Snapshot(msgspec.Struct):
    """The complete replicated state. The encoded field names are stored.

    Attributes:
        now: Agreed time of the latest command, in ticks.
        last_fence: The latest fencing token.
        last_number: The sequence number of the latest gang.
        topology: The racks and uplinks.
        gangs: Gangs that have not ended, by name, in the order of their numbers.
        ended: Outcomes of ended gangs by name, oldest first.
        shares: Shares by publisher, in thousandths of all slots.
        counters: Number of transitions by effect, and of rejections.
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
        """Increments the counter of an event."""
        self.counters[event] = self.counters.get(event, 0) + 1

    def is_offered(self, name: str) -> bool:
        """Returns whether a gang exists and waits in the queue."""
        return name in self.gangs and self.gangs[name].state == GangState.OFFERED

    def remaining_lease(self, record: GangRecord) -> int:
        """Returns the ticks until a gang's lease expires, or 0 if it has no lease."""
        return max(0, record.lease_expiry - self.now) if record.lease_expiry else 0
