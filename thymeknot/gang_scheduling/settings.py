"""What the operator may set for gangs."""

import msgspec

from ..interface.clock import TICKS_PER_SECOND


class GangSettings(msgspec.Struct, frozen=True):
    """Limits of the gangs' state machine. Durations in ticks; the field names are the operator's.

    Attributes:
        reservation_lease: Lease from the reservation to the bind.
        start_lease: Lease from the bind, or from a replacement of workers, to the start.
        replacement_lease: Lease from the loss of workers to their replacement.
        priority_aging_interval: Each such time of waiting is worth one step of priority.
        capacity_hold_wait: A gang that waited so long gets capacity kept for it.
        starvation_wait: A gang that waited so long counts as within its publisher's share.
        max_failed_leases: Leases of one gang that may expire in a row.
        initial_backoff: Backoff after the first; it doubles after each further one.
        max_backoff: Longest backoff.
        max_preemptions: Preemptions in a gang's life.
        max_pending_preemptions: Gangs that are being preempted at once.
        max_remembered_gangs: Gangs remembered that are done or refused.
        max_active_gangs: Gangs that may be known at once.
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
