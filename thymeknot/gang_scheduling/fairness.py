"""Queue order and preemption: priority, waiting time and publishers' shares."""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from ..interface.clock import Ticks
from .commands import CommandRejectedError, Preempt
from .gang_state import GangRecord, GangState, Snapshot
from .jobs import Gang
from .settings import GangSettings

SHARE_UNITS = 1000  # shares are in thousandths of all slots

QueueKey: TypeAlias = tuple[int, int, int]
"""(1 if the gang would exceed its publisher's share else 0, -effective priority, number).

The gang with the smallest key is first.
"""


class _Objection(NamedTuple):
    """A possible reason to reject a preemption.

    Attributes:
        applies: Whether the reason applies.
        reason: Text of the rejection.
        retry_after: Ticks to wait before a retry, 0 if unknown.
    """

    applies: bool
    reason: str
    retry_after: Ticks


class Fairness:
    """Queue order and preemption rules of one replicated state."""

    def __init__(self, state: Snapshot, settings: GangSettings) -> None:
        self._state = state
        self._settings = settings
        # Used slots by publisher; computed once per command, because every queued gang needs them.
        self._used_slots: dict[str, int] | None = None

    def invalidate(self) -> None:
        """Discards the cached sums; call it whenever the state has changed."""
        self._used_slots = None

    def queue(self) -> list[str]:
        """Returns the queued gangs in scheduling order, without those in backoff."""
        waiting = [
            (self._queue_key(name), name)
            for name, record in self._state.gangs.items()
            if record.state == GangState.OFFERED and record.backoff_until <= self._state.now
        ]
        return [name for _, name in sorted(waiting)]

    def check_queue_order(
        self, name: str, record: GangRecord, placement: Mapping[str, int]
    ) -> None:
        """Holds capacity for a gang that is ahead in the queue.

        Capacity is held for a gang that has waited long and for a gang within its publisher's
        share, against the gangs behind it. The order is total and the first gang is never blocked,
        so gangs cannot wait for each other in a cycle.

        Raises:
            CommandRejectedError: A gang ahead would not fit any more once this one is placed.
        """
        head_name = self._protected_head(name)
        if head_name is None:
            return
        head = self._state.gangs[head_name]
        if self._head_capacity_after(record, placement, head.gang) < head.gang.workers:
            raise CommandRejectedError(
                f"Gang {head_name} is due before {name} and would find no room.",
                [head_name],
                self._settings.initial_backoff,
            )

    def _protected_head(self, name: str) -> str | None:
        """Returns the first gang in the queue for which capacity is held against the named gang."""
        state = self._state
        own_key = self._queue_key(name)
        head: tuple[QueueKey, str] | None = None
        for other_name, waiting in state.gangs.items():
            if (
                other_name == name
                or waiting.state != GangState.OFFERED
                or waiting.backoff_until > state.now
            ):
                continue
            key = self._queue_key(other_name)
            if key >= own_key or (head is not None and key >= head[0]):
                continue
            waited_long = state.now - waiting.waiting_since >= self._settings.capacity_hold_wait
            shape = waiting.gang.resource_shape()
            if (key[0] < own_key[0] or waited_long) and (
                state.topology.empty_capacity(shape) >= waiting.gang.workers
            ):
                head = (key, other_name)
        return head[1] if head else None

    def _head_capacity_after(
        self, record: GangRecord, placement: Mapping[str, int], head: Gang
    ) -> int:
        """Returns how many workers of the head gang fit once a gang has its placement."""
        topology = self._state.topology
        head_shape = head.resource_shape()
        shape = record.gang.resource_shape()
        capacity = sum(topology.rack_capacity(rack, head_shape) for rack in topology.racks)
        for machine, workers in placement.items():
            host = topology.host(machine)
            capacity_before = host.capacity(head_shape)
            host.reserve(workers, shape)
            capacity -= capacity_before - max(0, host.capacity(head_shape))
            host.reserve(-workers, shape)
        return capacity

    def check_preemption(
        self, command: Preempt, victim: GangRecord, beneficiary: GangRecord
    ) -> None:
        """Checks whether a gang may be preempted in favour of another.

        Raises:
            CommandRejectedError: The preemption is not allowed.
        """
        for objection in self._objections(command, victim, beneficiary):
            if objection.applies:
                raise CommandRejectedError(
                    objection.reason, [command.gang], max(0, objection.retry_after)
                )

    def _objections(
        self, command: Preempt, victim: GangRecord, beneficiary: GangRecord
    ) -> list[_Objection]:
        """Returns the possible rejections of a preemption; the first that applies is reported."""
        settings = self._settings
        pending = [record for record in self._state.gangs.values() if record.preemption_beneficiary]
        promised_workers = sum(
            record.gang.workers
            for record in pending
            if record.preemption_beneficiary == command.beneficiary
        )
        restores_shares = self._is_over_share(victim.gang) and not self._is_over_share(
            beneficiary.gang, beneficiary.gang.workers
        )
        priority_gap = victim.gang.priority + 1 - beneficiary.gang.priority
        waited = self._state.now - beneficiary.waiting_since
        return [
            _Objection(
                victim.state != GangState.RUNNING,
                f"Gang {command.gang} is {victim.state}, not running.",
                self._state.remaining_lease(victim),
            ),
            _Objection(
                beneficiary.state != GangState.OFFERED,
                f"Gang {command.beneficiary} is {beneficiary.state}, not offered.",
                0,
            ),
            _Objection(
                bool(victim.preemption_beneficiary),
                f"Gang {command.gang} makes room for {victim.preemption_beneficiary} already.",
                0,
            ),
            _Objection(
                victim.preemptions >= settings.max_preemptions,
                f"Gang {command.gang} made room {victim.preemptions} times, "
                "as often as one has to.",
                0,
            ),
            _Objection(
                len(pending) >= settings.max_pending_preemptions,
                f"{len(pending)} gangs make room for others already.",
                settings.priority_aging_interval,
            ),
            _Objection(
                promised_workers > 0 and promised_workers >= beneficiary.gang.workers,
                f"Enough makes room for {command.beneficiary} already.",
                0,
            ),
            _Objection(
                not restores_shares
                and self._effective_priority(beneficiary) <= victim.gang.priority,
                f"Gang {command.beneficiary} has no higher priority than {command.gang} yet.",
                priority_gap * settings.priority_aging_interval - waited,
            ),
        ]

    def _queue_key(self, name: str) -> QueueKey:
        record = self._state.gangs[name]
        exceeds_share = (
            self._is_over_share(record.gang, record.gang.workers)
            and self._state.now - record.waiting_since < self._settings.starvation_wait
        )
        return int(exceeds_share), -self._effective_priority(record), record.number

    def _effective_priority(self, record: GangRecord) -> int:
        return (
            record.gang.priority
            + (self._state.now - record.waiting_since) // self._settings.priority_aging_interval
        )

    def _is_over_share(self, gang: Gang, extra_workers: int = 0) -> bool:
        """Returns whether a gang's publisher exceeds its share, given additional workers.

        If no shares are set, no publisher exceeds its share.
        """
        state = self._state
        if not state.shares:
            return False
        if self._used_slots is None:
            self._used_slots = {}
            for record in state.gangs.values():
                publisher = record.gang.publisher
                used = self._used_slots.get(publisher, 0)
                self._used_slots[publisher] = used + sum(record.placement.values())
        share = state.shares.get(gang.publisher, 0)
        allowed = share * state.topology.empty_capacity(()) // SHARE_UNITS
        return self._used_slots.get(gang.publisher, 0) + extra_workers > allowed
