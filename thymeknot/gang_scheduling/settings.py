"""Operator settings of gang scheduling."""

import msgspec

from ..interface.clock import TICKS_PER_SECOND


class GangSettings(msgspec.Struct, frozen=True):
    """Limits of the gang scheduling state machine.

    Durations are in ticks. The encoded field names are the operator's.

    Attributes:
        reservation_lease: Duration of the lease from the reservation to the bind.
        start_lease: Duration of the lease from the bind, or from a replacement of workers, to the
            start.
        replacement_lease: Duration of the lease from the loss of workers to their replacement.
        priority_aging_interval: Waiting time after which the priority of a queued gang rises by 1.
        capacity_hold_wait: Waiting time after which capacity is held for a queued gang.
        starvation_wait: Waiting time after which a gang counts as within its publisher's share.
        max_failed_leases: Consecutive leases of a gang that may expire or be lost before it is
            rejected for good.
        initial_backoff: Backoff after the first failed lease; it doubles with each further one.
            Also the retry delay of rejections for lack of capacity.
        max_backoff: Upper limit of the backoff.
        max_preemptions: How often one gang can be preempted.
        max_pending_preemptions: Preemptions that may be pending at once.
        max_remembered_gangs: Ended gangs whose names and outcomes are remembered.
        max_active_gangs: Gangs that may be queued or placed at once.
    """

    reservation_lease: int = msgspec.field(default=10 * TICKS_PER_SECOND, name="hold")
    start_lease: int = msgspec.field(default=30 * TICKS_PER_SECOND, name="start")
    replacement_lease: int = msgspec.field(default=60 * TICKS_PER_SECOND, name="mend")
    priority_aging_interval: int = msgspec.field(default=60 * TICKS_PER_SECOND, name="age")
    capacity_hold_wait: int = msgspec.field(default=60 * TICKS_PER_SECOND, name="patience")
    starvation_wait: int = msgspec.field(default=1800 * TICKS_PER_SECOND, name="starved")
    max_failed_leases: int = msgspec.field(default=8, name="tries")
    initial_backoff: int = msgspec.field(default=TICKS_PER_SECOND, name="again")
    max_backoff: int = msgspec.field(default=60 * TICKS_PER_SECOND, name="again_most")
    max_preemptions: int = msgspec.field(default=2, name="preempted_most")
    max_pending_preemptions: int = msgspec.field(default=4, name="ending_most")
    max_remembered_gangs: int = msgspec.field(default=1000, name="remembered")
    max_active_gangs: int = msgspec.field(default=2000, name="offered_most")
