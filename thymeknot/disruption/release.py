"""The record of a release: its units, build and waves, and its state transitions."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from ..interface.clock import Ticks

# Prefix of the plan names of releases. Permit requests from clients may not use it.
PLAN_PREFIX = "release:"


class ReleaseState(StrEnum):
    """The state of a release. The values are stored and sent.

    Attributes:
        WAITING: An earlier release has some of its units.
        RUNNING: It requests permits, wave by wave.
        HALTED: A halt stops it.
        DONE: All waves are finished.
        ROLLING_BACK: Its units are given the earlier build.
        ROLLBACK_HALTED: A halt stops its rollback.
        ROLLED_BACK: The rollback is finished.
        PARTLY_ROLLED_BACK: The rollback has ended, but some units could not be rolled back.
    """

    WAITING = "waiting"
    RUNNING = "going"
    HALTED = "halted"
    DONE = "done"
    ROLLING_BACK = "backing"
    ROLLBACK_HALTED = "held"
    ROLLED_BACK = "backed"
    PARTLY_ROLLED_BACK = "left"


class ReleaseInput(StrEnum):
    """An event that may change the state of a release.

    Attributes:
        UNITS_FREE: No earlier release has its units any more.
        ROLLBACK_ORDERED: An operator or a vote ordered its rollback.
        HALTED: A halt stops it.
        RESUMED: No halt stops it any more.
        FINISHED: The last wave is finished.
        ROLLBACK_FINISHED: No unit has its build any more.
        ROLLBACK_BLOCKED: The remaining units can't be rolled back.
    """

    UNITS_FREE = "units_free"
    ROLLBACK_ORDERED = "rollback_ordered"
    HALTED = "halted"
    RESUMED = "resumed"
    FINISHED = "finished"
    ROLLBACK_FINISHED = "rollback_finished"
    ROLLBACK_BLOCKED = "rollback_blocked"


class ReleaseEffect(StrEnum):
    """What a transition does to the units of a release.

    Attributes:
        REQUEST_PERMITS: Permits are requested in the next round.
        WITHDRAW_PERMITS: Requests and unused permits are withdrawn.
        ROLL_BACK: As WITHDRAW_PERMITS, and disrupted units are recalled.
        FINISH: As WITHDRAW_PERMITS.
    """

    REQUEST_PERMITS = "request_permits"
    WITHDRAW_PERMITS = "withdraw_permits"
    ROLL_BACK = "roll_back"
    FINISH = "finish"


class ReleaseTransition(NamedTuple):
    """The result of an input in some state.

    Attributes:
        state: The next state.
        effect: The effect on the units of the release.
    """

    state: ReleaseState
    effect: ReleaseEffect


# By state and input. An input without an entry for the current state is ignored.
RELEASE_TRANSITIONS = {
    (state, event): ReleaseTransition(next_state, effect)
    for state, event, next_state, effect in (
        (
            ReleaseState.WAITING,
            ReleaseInput.UNITS_FREE,
            ReleaseState.RUNNING,
            ReleaseEffect.REQUEST_PERMITS,
        ),
        (
            ReleaseState.WAITING,
            ReleaseInput.ROLLBACK_ORDERED,
            ReleaseState.ROLLED_BACK,
            ReleaseEffect.FINISH,
        ),
        (
            ReleaseState.RUNNING,
            ReleaseInput.HALTED,
            ReleaseState.HALTED,
            ReleaseEffect.WITHDRAW_PERMITS,
        ),
        (
            ReleaseState.RUNNING,
            ReleaseInput.ROLLBACK_ORDERED,
            ReleaseState.ROLLING_BACK,
            ReleaseEffect.ROLL_BACK,
        ),
        (ReleaseState.RUNNING, ReleaseInput.FINISHED, ReleaseState.DONE, ReleaseEffect.FINISH),
        (
            ReleaseState.HALTED,
            ReleaseInput.RESUMED,
            ReleaseState.RUNNING,
            ReleaseEffect.REQUEST_PERMITS,
        ),
        (
            ReleaseState.HALTED,
            ReleaseInput.ROLLBACK_ORDERED,
            ReleaseState.ROLLING_BACK,
            ReleaseEffect.ROLL_BACK,
        ),
        (
            ReleaseState.ROLLING_BACK,
            ReleaseInput.HALTED,
            ReleaseState.ROLLBACK_HALTED,
            ReleaseEffect.WITHDRAW_PERMITS,
        ),
        (
            ReleaseState.ROLLING_BACK,
            ReleaseInput.ROLLBACK_ORDERED,
            ReleaseState.ROLLING_BACK,
            ReleaseEffect.ROLL_BACK,
        ),
        (
            ReleaseState.ROLLING_BACK,
            ReleaseInput.ROLLBACK_FINISHED,
            ReleaseState.ROLLED_BACK,
            ReleaseEffect.FINISH,
        ),
        (
            ReleaseState.ROLLING_BACK,
            ReleaseInput.ROLLBACK_BLOCKED,
            ReleaseState.PARTLY_ROLLED_BACK,
            ReleaseEffect.FINISH,
        ),
        (
            ReleaseState.ROLLBACK_HALTED,
            ReleaseInput.RESUMED,
            ReleaseState.ROLLING_BACK,
            ReleaseEffect.ROLL_BACK,
        ),
        (
            ReleaseState.ROLLBACK_HALTED,
            ReleaseInput.ROLLBACK_ORDERED,
            ReleaseState.ROLLING_BACK,
            ReleaseEffect.ROLL_BACK,
        ),
        (
            ReleaseState.PARTLY_ROLLED_BACK,
            ReleaseInput.ROLLBACK_ORDERED,
            ReleaseState.ROLLING_BACK,
            ReleaseEffect.ROLL_BACK,
        ),
        (
            ReleaseState.DONE,
            ReleaseInput.ROLLBACK_ORDERED,
            ReleaseState.ROLLING_BACK,
            ReleaseEffect.ROLL_BACK,
        ),
    )
}
ENDED_STATES = (ReleaseState.DONE, ReleaseState.ROLLED_BACK, ReleaseState.PARTLY_ROLLED_BACK)
ROLLBACK_STATES = (
    ReleaseState.ROLLING_BACK,
    ReleaseState.ROLLBACK_HALTED,
    ReleaseState.PARTLY_ROLLED_BACK,
)


@dataclass(slots=True)
class Release:
    """A release and its progress.

    Attributes:
        name: Name of the release.
        epoch: Epoch of the release; a new release of the same name needs a higher one.
        members: Names of the units, in the order in which they are disrupted.
        build: The build that is released.
        earlier_build: The build that a rollback restores.
        waves: Cumulative number of units at the end of each wave.
        gated: Whether a wave waits for the verdict `on` for the previous wave.
        auto_rollback: Whether the verdict `back` also starts the rollback.
        urgency: Urgency of its permit requests, from 0 to 9.
        started_at: Agreed time at which the release was added.
        number: Sequence number; later releases have higher numbers.
        state: Current state.
        wave: Index of the current wave.
        approved_waves: Number of waves that have the verdict `on`.
        last_known_halt: Number of the newest halt when the rollback was ordered; halts up to it
            do not stop the rollback.
        set_aside: Reasons why units are not waited for, by unit name.
    """

    name: str
    epoch: int
    members: list[str]
    build: str
    earlier_build: str
    waves: list[int]
    gated: bool
    auto_rollback: bool
    urgency: int
    started_at: Ticks
    number: int
    state: ReleaseState = ReleaseState.WAITING
    wave: int = 0
    approved_waves: int = 0
    last_known_halt: int = 0
    set_aside: dict[str, str] = field(default_factory=dict)

    @property
    def plan(self) -> str:
        """Name of the plan under which it requests permits."""
        return PLAN_PREFIX + self.name

    def to_plain(self) -> dict[str, Any]:
        """Returns the release in its snapshot form."""
        return {
            "name": self.name,
            "epoch": self.epoch,
            "members": self.members,
            "build": self.build,
            "earlier": self.earlier_build,
            "waves": self.waves,
            "gate": self.gated,
            "auto": self.auto_rollback,
            "urgency": self.urgency,
            "state": self.state.value,
            "wave": self.wave,
            "voted": self.approved_waves,
            "knows": self.last_known_halt,
            "aside": self.set_aside,
            "at": self.started_at,
            "number": self.number,
        }

    @classmethod
    def from_plain(cls, plain: dict[str, Any]) -> "Release":
        """Restores a release from its snapshot form."""
        return cls(
            name=plain["name"],
            epoch=plain["epoch"],
            members=plain["members"],
            build=plain["build"],
            earlier_build=plain["earlier"],
            waves=plain["waves"],
            gated=plain["gate"],
            auto_rollback=plain["auto"],
            urgency=plain["urgency"],
            started_at=plain["at"],
            number=plain["number"],
            state=ReleaseState(plain["state"]),
            wave=plain["wave"],
            approved_waves=plain["voted"],
            last_known_halt=plain["knows"],
            set_aside=dict(plain["aside"]),
        )
