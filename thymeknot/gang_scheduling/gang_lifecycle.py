"""Applies the transition table to gangs: slots, leases, fencing tokens and backoff."""

import binascii
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from .commands import CommandRejectedError
from .gang_state import STATES_WITH_LEASE, TRANSITIONS, GangEffect, GangInput, GangRecord, Snapshot
from .settings import GangSettings

MAX_BACKOFF_DOUBLINGS = 20  # keeps the integer small before the maximum backoff applies


class TransitionDetails(NamedTuple):
    """Parameters of an input.

    Attributes:
        placement: {machine: workers} of the complete new placement.
        removed: {machine: workers} that were lost or drained.
        reason: Human-readable reason why a gang ends.
    """

    placement: Mapping[str, int] = {}
    removed: Mapping[str, int] = {}
    reason: str = ""


class GangLifecycle:
    """Transitions of the gangs of one replicated state."""

    def __init__(self, state: Snapshot, settings: GangSettings) -> None:
        self._state = state
        self._settings = settings
        self._effects: dict[GangEffect, Callable[[str, GangRecord, TransitionDetails], None]] = {
            GangEffect.RESERVE_SLOTS: self._reserve_slots,
            GangEffect.RENEW_LEASE: self._renew_lease,
            GangEffect.RUN: self._mark_running,
            GangEffect.RECORD_CHECKPOINT: self._record_checkpoint,
            GangEffect.YIELD_SLOTS: self._yield_slots,
            GangEffect.REMOVE_WORKERS: self._remove_workers,
            GangEffect.REMOVE_MORE_WORKERS: self._remove_workers,
            GangEffect.CHANGE_PLACEMENT: self._change_placement,
            GangEffect.REQUEUE: self._requeue,
            GangEffect.END: self._end,
        }

    def get(self, name: str) -> GangRecord:
        """Returns a gang that has not ended.

        Raises:
            CommandRejectedError: The gang has ended or was never offered.
        """
        if name in self._state.gangs:
            return self._state.gangs[name]
        if name in self._state.ended:
            raise CommandRejectedError(f"Gang {name} was {self._state.ended[name]}.", [name])
        raise CommandRejectedError(f"No gang {name} is known.", [name])

    def transition(
        self,
        name: str,
        gang_input: GangInput,
        *,
        placement: Mapping[str, int] | None = None,
        removed: Mapping[str, int] | None = None,
        reason: str = "",
    ) -> GangRecord:
        """Applies an input to a gang.

        Args:
            name: Name of the gang.
            gang_input: The input.
            placement: See `TransitionDetails`.
            removed: See `TransitionDetails`.
            reason: See `TransitionDetails`.

        Returns:
            The gang's record.

        Raises:
            CommandRejectedError: No gang of this name exists, or the input is not valid in its
                state.
        """
        record = self.get(name)
        rule = TRANSITIONS.get((record.state, gang_input))
        if rule is None:
            raise CommandRejectedError(
                f"Gang {name} is {record.state}: {gang_input} does not go with that.",
                [name],
                self._state.remaining_lease(record),
            )
        record.state = rule.state
        record.lease_expiry = 0
        self._effects[rule.effect](
            name, record, TransitionDetails(placement or {}, removed or {}, reason)
        )
        self._state.count(rule.effect.value)
        return record

    def expire_leases(self) -> None:
        """Applies expired leases and preemption deadlines.

        Gangs are processed in the order of their numbers, which is the same on all replicas.
        """
        for name, record in list(self._state.gangs.items()):
            if record.state in STATES_WITH_LEASE and record.lease_expiry <= self._state.now:
                self.transition(name, GangInput.EXPIRE)
            elif record.preemption_beneficiary and record.preemption_deadline <= self._state.now:
                self.preempt_or_clear(name, record)

    def preempt_or_clear(self, name: str, record: GangRecord) -> bool:
        """Preempts a gang if the beneficiary is still queued, else cancels the preemption.

        Returns:
            Whether the gang was preempted.
        """
        if self._state.is_offered(record.preemption_beneficiary):
            self.transition(name, GangInput.PREEMPTED)
            return True
        _clear_preemption(record)
        return False

    def remove_workers(self, machines: Iterable[str], gang_input: GangInput) -> list[str]:
        """Removes all workers from machines.

        Args:
            machines: Names of the machines.
            gang_input: The reason, LOST or DRAINED.

        Returns:
            Names of the gangs that had workers on the machines.
        """
        machine_names = set(machines)
        affected = []
        for name, record in list(self._state.gangs.items()):
            removed = {
                machine: workers
                for machine, workers in record.placement.items()
                if machine in machine_names
            }
            if removed:
                self.transition(name, gang_input, removed=removed)
                affected.append(name)
        return affected

    def set_placement(self, record: GangRecord, placement: Mapping[str, int]) -> None:
        """Sets a gang's placement, and reserves or releases the slots that differ."""
        deltas = {
            machine: placement.get(machine, 0) - record.placement.get(machine, 0)
            for machine in sorted({*placement, *record.placement})
        }
        self._state.topology.reserve(deltas, record.gang.resource_shape())
        record.placement = dict(placement)

    def _next_fence(self) -> int:
        self._state.last_fence += 1
        return self._state.last_fence

    def _reserve_slots(self, name: str, record: GangRecord, details: TransitionDetails) -> None:
        self._state.topology.reserve(details.placement, record.gang.resource_shape())
        record.placement = dict(details.placement)
        record.fence = self._next_fence()
        record.lease_expiry = self._state.now + self._settings.reservation_lease

    def _renew_lease(self, name: str, record: GangRecord, details: TransitionDetails) -> None:
        record.lease_expiry = self._state.now + self._settings.start_lease

    def _mark_running(self, name: str, record: GangRecord, details: TransitionDetails) -> None:
        record.failed_leases = 0
        record.last_checkpoint = self._state.now

    def _record_checkpoint(self, name: str, record: GangRecord, details: TransitionDetails) -> None:
        record.last_checkpoint = self._state.now

    def _change_placement(self, name: str, record: GangRecord, details: TransitionDetails) -> None:
        """Sets the new placement under a new fencing token, which fences off earlier workers."""
        self.set_placement(record, details.placement)
        record.fence = self._next_fence()
        record.lease_expiry = self._state.now + self._settings.start_lease

    def _remove_workers(self, name: str, record: GangRecord, details: TransitionDetails) -> None:
        remaining = {
            machine: workers - details.removed.get(machine, 0)
            for machine, workers in record.placement.items()
        }
        self.set_placement(
            record, {machine: workers for machine, workers in remaining.items() if workers > 0}
        )
        _clear_preemption(record)
        record.lease_expiry = self._state.now + self._settings.replacement_lease

    def _requeue(self, name: str, record: GangRecord, details: TransitionDetails) -> None:
        """Returns a gang to the queue after a backoff; its waiting time keeps counting.

        The backoff doubles with each failed lease. Its jitter is derived from the name, so that
        gangs whose leases failed together do not all retry at the same time.
        """
        self.set_placement(record, {})
        record.failed_leases += 1
        doublings = min(record.failed_leases - 1, MAX_BACKOFF_DOUBLINGS)
        backoff = min(self._settings.max_backoff, self._settings.initial_backoff << doublings)
        jitter = binascii.crc32(f"{name} {record.failed_leases}".encode()) % (backoff // 2 + 1)
        record.backoff_until = self._state.now + backoff // 2 + jitter
        if record.failed_leases >= self._settings.max_failed_leases:
            reason = f"{record.failed_leases} leases in a row lapsed or were lost"
            self.transition(name, GangInput.EXHAUSTED, reason=reason)

    def _yield_slots(self, name: str, record: GangRecord, details: TransitionDetails) -> None:
        """Releases the slots of a preempted gang and restarts its waiting time.

        With its earlier waiting time it would be ahead of the gang for which it was preempted.
        """
        self.set_placement(record, {})
        record.preemptions += 1
        record.waiting_since = self._state.now
        _clear_preemption(record)

    def _end(self, name: str, record: GangRecord, details: TransitionDetails) -> None:
        self.set_placement(record, {})
        ended = self._state.ended
        ended[name] = f"{record.state}: {details.reason}" if details.reason else record.state.value
        del self._state.gangs[name]
        while len(ended) > self._settings.max_remembered_gangs:
            del ended[next(iter(ended))]


def _clear_preemption(record: GangRecord) -> None:
    record.preemption_beneficiary = ""
    record.preemption_deadline = 0
