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
    TAKEN = "taken"  # by a drain
    EXPIRE = "lapse"  # of the lease
    EXHAUSTED = "exhausted"  # too many leases expired in a row


class GangEffect(StrEnum):
    """What a transition does. The values are stored, as keys of counters."""

    TAKE_SLOTS = "take"
    RENEW_LEASE = "renew"
    RUN = "run"
    NOTE_CHECKPOINT = "note"
    YIELD_SLOTS = "yield_slots"
    DROP_WORKERS = "drop"
    DROP_MORE_WORKERS = "drop_more"
    CHANGE_PLACES = "swap"
    GIVE_UP = "give_up"
    END = "end"


class Transition(NamedTuple):
    """What an input does in a state.

    Attributes:
        state: The next state.
        effect: What is done on the way.
    """

    state: GangState
    effect: GangEffect


_TO_QUEUE = Transition(GangState.OFFERED, GangEffect.GIVE_UP)
_TO_REFUSED = Transition(GangState.REFUSED, GangEffect.END)
_TO_RUNNING = Transition(GangState.RUNNING, GangEffect.RUN)
_TO_DEGRADED = Transition(GangState.DEGRADED, GangEffect.DROP_WORKERS)
_MORE_DEGRADED = Transition(GangState.DEGRADED, GangEffect.DROP_MORE_WORKERS)

# A pair that is not here is rejected and changes nothing.
TRANSITIONS: dict[tuple[GangState, GangInput], Transition] = {
    (GangState.OFFERED, GangInput.RESERVE): Transition(GangState.RESERVED, GangEffect.TAKE_SLOTS),
    (GangState.OFFERED, GangInput.EXHAUSTED): _TO_REFUSED,
    (GangState.OFFERED, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.RESERVED, GangInput.BIND): Transition(GangState.BOUND, GangEffect.RENEW_LEASE),
    (GangState.RESERVED, GangInput.EXPIRE): _TO_QUEUE,
    # All or none: what is left of a reservation reserves nothing.
    (GangState.RESERVED, GangInput.LOST): _TO_QUEUE,
    (GangState.RESERVED, GangInput.TAKEN): _TO_QUEUE,
    (GangState.RESERVED, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.BOUND, GangInput.START): _TO_RUNNING,
    (GangState.BOUND, GangInput.EXPIRE): _TO_QUEUE,
    (GangState.BOUND, GangInput.LOST): _TO_QUEUE,
    (GangState.BOUND, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.RUNNING, GangInput.CHECKPOINT): Transition(
        GangState.RUNNING, GangEffect.NOTE_CHECKPOINT
    ),
    (GangState.RUNNING, GangInput.PREEMPTED): Transition(GangState.OFFERED, GangEffect.YIELD_SLOTS),
    (GangState.RUNNING, GangInput.LOST): _TO_DEGRADED,
    # A drain takes workers after a checkpoint, or as a unit of the gang's budget.
    (GangState.RUNNING, GangInput.TAKEN): _TO_DEGRADED,
    (GangState.RUNNING, GangInput.FINISH): Transition(GangState.DONE, GangEffect.END),
    (GangState.RUNNING, GangInput.WITHDRAW): _TO_REFUSED,
    (GangState.DEGRADED, GangInput.LOST): _MORE_DEGRADED,
    (GangState.DEGRADED, GangInput.TAKEN): _MORE_DEGRADED,
    (GangState.DEGRADED, GangInput.REPLACE_IN_PLACE): Transition(
        GangState.BOUND, GangEffect.CHANGE_PLACES
    ),
    (GangState.DEGRADED, GangInput.REPLACE_WHOLE): Transition(
        GangState.MOVING, GangEffect.CHANGE_PLACES
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
        since: When its waiting began.
        state: Its state.
        placement: {machine: workers}.
        fence: Fencing token of its latest placement.
        lease: When its lease expires, 0 for none.
        tries: Leases that expired or were lost in a row.
        again: When its backoff ends.
        saved: When it last started or wrote a checkpoint.
        preempted: How often it was preempted.
        ending: Name of the gang that it is to make room for, or empty.
        ends: When it makes room at the latest.
        why: Stored and not used.
    """

    gang: Gang
    number: int
    since: int
    state: GangState = GangState.OFFERED
    placement: dict[str, int] = msgspec.field(default_factory=dict, name="places")
    fence: int = 0
    lease: int = 0
    tries: int = 0
    again: int = 0
    saved: int = 0
    preempted: int = 0
    ending: str = ""
    ends: int = 0
    why: str = ""


class Snapshot(msgspec.Struct):
    """All of the state, as it is written down and read back. Field names are stored keys.

    Attributes:
        at: Agreed time of the latest command, in ticks.
        fence: The latest fencing token.
        number: The latest gang's number.
        topology: The racks.
        gangs: Gangs that are not over, by name, in the order of their numbers.
        ended: How gangs ended, by name, the oldest first.
        shares: Thousandths of all slots by publisher.
        counted: How often each effect and rejection happened.
    """

    at: int = 0
    fence: int = 0
    number: int = 0
    topology: Topology = msgspec.field(default_factory=Topology, name="places")
    gangs: dict[str, GangRecord] = {}
    ended: dict[str, str] = {}
    shares: dict[str, int] = {}
    counted: dict[str, int] = {}

    def count(self, what: str) -> None:
        """Counts one event."""
        self.counted[what] = self.counted.get(what, 0) + 1

    def is_offered(self, name: str) -> bool:
        """Returns whether the gang is known and waits in the queue."""
        return name in self.gangs and self.gangs[name].state == GangState.OFFERED

    def lease_left(self, life: GangRecord) -> int:
        """Returns the ticks until a gang's lease expires, 0 if it has none."""
        return max(0, life.lease - self.at) if life.lease else 0
