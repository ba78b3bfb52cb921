"""Moves gangs along the table of transitions: slots, leases, fencing tokens and backoff."""

import binascii
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from .commands import CommandRejectedError
from .gang_state import STATES_WITH_LEASE, TRANSITIONS, GangEffect, GangInput, GangRecord, Snapshot
from .settings import GangSettings

MAX_BACKOFF_DOUBLINGS = 20  # so that the backoff stays a small integer before its limit applies


class TransitionDetails(NamedTuple):
    """What comes with an input.

    Attributes:
        placement: {machine: workers}, the whole new placement.
        dropped: {machine: workers} that are lost or taken.
        why: Reason of an end, for people.
    """

    placement: Mapping[str, int] = {}
    dropped: Mapping[str, int] = {}
    why: str = ""


class GangLifecycle:
    """The transitions of all gangs of one state."""

    def __init__(self, state: Snapshot, settings: GangSettings) -> None:
        self._state = state
        self._settings = settings
        self._effects: dict[GangEffect, Callable[[str, GangRecord, TransitionDetails], None]] = {
            GangEffect.TAKE_SLOTS: self._take_slots,
            GangEffect.RENEW_LEASE: self._renew_lease,
            GangEffect.RUN: self._run,
            GangEffect.NOTE_CHECKPOINT: self._note_checkpoint,
            GangEffect.YIELD_SLOTS: self._yield_slots,
            GangEffect.DROP_WORKERS: self._drop_workers,
            GangEffect.DROP_MORE_WORKERS: self._drop_workers,
            GangEffect.CHANGE_PLACES: self._change_places,
            GangEffect.GIVE_UP: self._give_up,
            GangEffect.END: self._end,
        }

    def find(self, name: str) -> GangRecord:
        """Returns a gang that is not over.

        Raises:
            CommandRejectedError: It is over or was never offered.
        """
        if name in self._state.gangs:
            return self._state.gangs[name]
        if name in self._state.ended:
            raise CommandRejectedError(f"Gang {name} was {self._state.ended[name]}.", [name])
        raise CommandRejectedError(f"No gang {name} is known.", [name])

    def transition(
        self,
        name: str,
        what: GangInput,
        *,
        placement: Mapping[str, int] | None = None,
        dropped: Mapping[str, int] | None = None,
        why: str = "",
    ) -> GangRecord:
        """Applies an input to a gang.

        Args:
            name: The gang.
            what: The input.
            placement: See `TransitionDetails`; so are the others.
            dropped: See there.
            why: See there.

        Returns:
            The gang.

        Raises:
            CommandRejectedError: The gang is not known, or its state does not take the input.
        """
        life = self.find(name)
        step = TRANSITIONS.get((life.state, what))
        if step is None:
            raise CommandRejectedError(
                f"Gang {name} is {life.state}: {what} does not go with that.",
                [name],
                self._state.lease_left(life),
            )
        life.state = step.state
        life.lease = 0
        self._effects[step.effect](
            name, life, TransitionDetails(placement or {}, dropped or {}, why)
        )
        self._state.count(step.effect.value)
        return life

    def expire_leases(self) -> None:
        """Applies what is due by now, in the order of the gangs' numbers on each replica."""
        for name, life in list(self._state.gangs.items()):
            if life.state in STATES_WITH_LEASE and life.lease <= self._state.at:
                self.transition(name, GangInput.EXPIRE)
            elif life.ending and life.ends <= self._state.at:
                self.preempt_if_needed(name, life)

    def preempt_if_needed(self, name: str, life: GangRecord) -> bool:
        """Preempts a gang if the one that it makes room for still waits; forgets it otherwise.

        Returns:
            Whether it was preempted.
        """
        if self._state.is_offered(life.ending):
            self.transition(name, GangInput.PREEMPTED)
            return True
        _forget_preemption(life)
        return False

    def take_off(self, machines: Iterable[str], what: GangInput) -> list[str]:
        """Takes all workers off machines.

        Args:
            machines: Names of the machines.
            what: LOST or TAKEN.

        Returns:
            Names of the gangs that had workers there.
        """
        cleared = set(machines)
        hit = []
        for name, life in list(self._state.gangs.items()):
            dropped = {
                machine: workers
                for machine, workers in life.placement.items()
                if machine in cleared
            }
            if dropped:
                self.transition(name, what, dropped=dropped)
                hit.append(name)
        return hit

    def set_placement(self, life: GangRecord, places: Mapping[str, int]) -> None:
        """Reserves and gives back what differs between a gang's placement and a new one."""
        deltas = {
            machine: places.get(machine, 0) - life.placement.get(machine, 0)
            for machine in sorted({*places, *life.placement})
        }
        self._state.topology.reserve(deltas, life.gang.resource_shape())
        life.placement = dict(places)

    def _next_fence(self) -> int:
        self._state.fence += 1
        return self._state.fence

    def _take_slots(self, name: str, life: GangRecord, details: TransitionDetails) -> None:
        self._state.topology.reserve(details.placement, life.gang.resource_shape())
        life.placement = dict(details.placement)
        life.fence = self._next_fence()
        life.lease = self._state.at + self._settings.hold

    def _renew_lease(self, name: str, life: GangRecord, details: TransitionDetails) -> None:
        life.lease = self._state.at + self._settings.start

    def _run(self, name: str, life: GangRecord, details: TransitionDetails) -> None:
        life.tries = 0
        life.saved = self._state.at

    def _note_checkpoint(self, name: str, life: GangRecord, details: TransitionDetails) -> None:
        life.saved = self._state.at

    def _change_places(self, name: str, life: GangRecord, details: TransitionDetails) -> None:
        """Gives a new fencing token, so that workers of before the loss are fenced off."""
        self.set_placement(life, details.placement)
        life.fence = self._next_fence()
        life.lease = self._state.at + self._settings.start

    def _drop_workers(self, name: str, life: GangRecord, details: TransitionDetails) -> None:
        left = {
            machine: workers - details.dropped.get(machine, 0)
            for machine, workers in life.placement.items()
        }
        self.set_placement(
            life, {machine: workers for machine, workers in left.items() if workers > 0}
        )
        _forget_preemption(life)
        life.lease = self._state.at + self._settings.mend

    def _give_up(self, name: str, life: GangRecord, details: TransitionDetails) -> None:
        """Puts a gang back into the queue with its age, after a backoff.

        The backoff doubles and has jitter by name, so that many gangs that lost their leases
        together do not come together again.
        """
        self.set_placement(life, {})
        life.tries += 1
        doublings = min(life.tries - 1, MAX_BACKOFF_DOUBLINGS)
        backoff = min(self._settings.again_most, self._settings.again << doublings)
        jitter = binascii.crc32(f"{name} {life.tries}".encode()) % (backoff // 2 + 1)
        life.again = self._state.at + backoff // 2 + jitter
        if life.tries >= self._settings.tries:
            why = f"{life.tries} leases in a row lapsed or were lost"
            self.transition(name, GangInput.EXHAUSTED, why=why)

    def _yield_slots(self, name: str, life: GangRecord, details: TransitionDetails) -> None:
        """Starts the waiting anew: by its old age it would be ahead of whom it made room for."""
        self.set_placement(life, {})
        life.preempted += 1
        life.since = self._state.at
        _forget_preemption(life)

    def _end(self, name: str, life: GangRecord, details: TransitionDetails) -> None:
        self.set_placement(life, {})
        ended = self._state.ended
        ended[name] = f"{life.state}: {details.why}" if details.why else life.state.value
        del self._state.gangs[name]
        while len(ended) > self._settings.remembered:
            del ended[next(iter(ended))]


def _forget_preemption(life: GangRecord) -> None:
    life.ending = ""
    life.ends = 0
