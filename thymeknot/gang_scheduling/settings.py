"""What the operator may set for gangs."""

import msgspec

from ..interface.clock import TICKS_PER_SECOND


class GangSettings(msgspec.Struct, frozen=True):
    """Limits of the gangs' state machine. Durations in ticks; the field names are the operator's.

    Attributes:
        hold: Lease from the reservation to the bind.
        start: Lease from the bind, or from a replacement of workers, to the start.
        mend: Lease from the loss of workers to their replacement.
        age: Each such time of waiting is worth one step of priority.
        patience: A gang that waited so long gets capacity kept for it.
        starved: A gang that waited so long counts as within its publisher's share.
        tries: Leases of one gang that may expire in a row.
        again: Backoff after the first; it doubles after each further one.
        again_most: Longest backoff.
        preempted_most: Preemptions in a gang's life.
        ending_most: Gangs that are being preempted at once.
        remembered: Gangs remembered that are done or refused.
        offered_most: Gangs that may be known at once.
    """

    hold: int = 10 * TICKS_PER_SECOND
    start: int = 30 * TICKS_PER_SECOND
    mend: int = 60 * TICKS_PER_SECOND
    age: int = 60 * TICKS_PER_SECOND
    patience: int = 60 * TICKS_PER_SECOND
    starved: int = 1800 * TICKS_PER_SECOND
    tries: int = 8
    again: int = TICKS_PER_SECOND
    again_most: int = 60 * TICKS_PER_SECOND
    preempted_most: int = 2
    ending_most: int = 4
    remembered: int = 1000
    offered_most: int = 2000
