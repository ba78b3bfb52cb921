"""Which gang is next: priority, age, publishers' shares and preemption."""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from ..interface.clock import Ticks
from .commands import CommandRejectedError, Preempt
from .gang_state import GangRecord, GangState, Snapshot
from .jobs import Gang
from .settings import GangSettings

SHARE_UNITS = 1000  # shares are in thousandths of all slots

QueueKey: TypeAlias = tuple[int, int, int]
"""(1 if it would borrow from other publishers else 0, -priority with age, number): least first."""


class _Obstacle(NamedTuple):
    """A reason against a preemption.

    Attributes:
        holds: Whether it holds.
        sentence: The reason.
        again: Ticks until it makes sense to ask again, 0 if not known.
    """

    holds: bool
    sentence: str
    again: Ticks


class Fairness:
    """The order of the queue and the rules of preemption, over one state."""

    def __init__(self, state: Snapshot, settings: GangSettings) -> None:
        self._state = state
        self._settings = settings
        # Slots by publisher, summed once for each command, since each waiting gang asks.
        self._used_slots: dict[str, int] | None = None

    def invalidate(self) -> None:
        """Forgets what was summed up before the state changed."""
        self._used_slots = None

    def queue(self) -> list[str]:
        """Returns the offered gangs in the order in which they are due, without backoffs."""
        waiting = [
            (self._key(name), name)
            for name, life in self._state.gangs.items()
            if life.state == GangState.OFFERED and life.again <= self._state.at
        ]
        return [name for _, name in sorted(waiting)]

    def check_turn(self, name: str, life: GangRecord, places: Mapping[str, int]) -> None:
        """Keeps capacity for a gang that is due before another.

        A gang that waited long, and one within its publisher's share, gets capacity kept by those
        who come after. The order is total and nobody blocks the first, so none waits in a ring.

        Raises:
            CommandRejectedError: A gang that is due first would find no capacity after this one.
        """
        head_name = self._first_ahead_of(name)
        if head_name is None:
            return
        head = self._state.gangs[head_name]
        if self._capacity_after(life, places, head.gang) < head.gang.workers:
            raise CommandRejectedError(
                f"Gang {head_name} is due before {name} and would find no room.",
                [head_name],
                self._settings.again,
            )

    def _first_ahead_of(self, name: str) -> str | None:
        """Returns the first gang for which capacity is kept against the named one."""
        state = self._state
        own_key = self._key(name)
        first: tuple[QueueKey, str] | None = None
        for other, waiting in state.gangs.items():
            if other == name or waiting.state != GangState.OFFERED or waiting.again > state.at:
                continue
            key = self._key(other)
            if key >= own_key or (first is not None and key >= first[0]):
                continue
            patient = state.at - waiting.since >= self._settings.patience
            shape = waiting.gang.resource_shape()
            if (key[0] < own_key[0] or patient) and (
                state.topology.total_capacity(shape) >= waiting.gang.workers
            ):
                first = (key, other)
        return first[1] if first else None

    def _capacity_after(self, life: GangRecord, places: Mapping[str, int], head: Gang) -> int:
        """Returns how many of the head's workers fit once a gang has its places."""
        known = self._state.topology
        head_shape = head.resource_shape()
        shape = life.gang.resource_shape()
        capacity = sum(known.rack_capacity(rack, head_shape) for rack in known.racks)
        for machine, workers in places.items():
            host = known.host(machine)
            before = host.capacity(head_shape)
            host.reserve(workers, shape)
            capacity -= before - max(0, host.capacity(head_shape))
            host.reserve(-workers, shape)
        return capacity

    def check_preemption(self, command: Preempt, victim: GangRecord, by: GangRecord) -> None:
        """Checks whether a gang may be asked to make room for another.

        Raises:
            CommandRejectedError: It may not.
        """
        for obstacle in self._obstacles(command, victim, by):
            if obstacle.holds:
                raise CommandRejectedError(
                    obstacle.sentence, [command.gang], max(0, obstacle.again)
                )

    def _obstacles(self, command: Preempt, victim: GangRecord, by: GangRecord) -> list[_Obstacle]:
        """Returns all reasons that can speak against a preemption, the first one first."""
        settings = self._settings
        ending = [life for life in self._state.gangs.values() if life.ending]
        promised = sum(life.gang.workers for life in ending if life.ending == command.by)
        gives_back = self._is_over_share(victim.gang) and not self._is_over_share(
            by.gang, by.gang.workers
        )
        priority_missing = victim.gang.priority + 1 - by.gang.priority
        waited = self._state.at - by.since
        return [
            _Obstacle(
                victim.state != GangState.RUNNING,
                f"Gang {command.gang} is {victim.state}, not running.",
                self._state.lease_left(victim),
            ),
            _Obstacle(
                by.state != GangState.OFFERED, f"Gang {command.by} is {by.state}, not offered.", 0
            ),
            _Obstacle(
                bool(victim.ending),
                f"Gang {command.gang} makes room for {victim.ending} already.",
                0,
            ),
            _Obstacle(
                victim.preempted >= settings.preempted_most,
                f"Gang {command.gang} made room {victim.preempted} times, as often as one has to.",
                0,
            ),
            _Obstacle(
                len(ending) >= settings.ending_most,
                f"{len(ending)} gangs make room for others already.",
                settings.age,
            ),
            _Obstacle(
                promised > 0 and promised >= by.gang.workers,
                f"Enough makes room for {command.by} already.",
                0,
            ),
            _Obstacle(
                not gives_back and self._aged_priority(by) <= victim.gang.priority,
                f"Gang {command.by} has no higher priority than {command.gang} yet.",
                priority_missing * settings.age - waited,
            ),
        ]

    def _key(self, name: str) -> QueueKey:
        life = self._state.gangs[name]
        borrows = (
            self._is_over_share(life.gang, life.gang.workers)
            and self._state.at - life.since < self._settings.starved
        )
        return int(borrows), -self._aged_priority(life), life.number

    def _aged_priority(self, life: GangRecord) -> int:
        return life.gang.priority + (self._state.at - life.since) // self._settings.age

    def _is_over_share(self, gang: Gang, more: int = 0) -> bool:
        """Returns whether a gang's publisher is over its share, with so many workers more.

        Without any shares nobody is.
        """
        state = self._state
        if not state.shares:
            return False
        if self._used_slots is None:
            self._used_slots = {}
            for life in state.gangs.values():
                publisher = life.gang.publisher
                used = self._used_slots.get(publisher, 0)
                self._used_slots[publisher] = used + sum(life.placement.values())
        share = state.shares.get(gang.publisher, 0)
        allowed = share * state.topology.total_capacity(()) // SHARE_UNITS
        return self._used_slots.get(gang.publisher, 0) + more > allowed
