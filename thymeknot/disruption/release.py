"""A release: the units that get a build, its waves, and its states."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from ..interface.clock import Ticks

# What the names of the plans of releases begin with; nobody else may request by such a name.
PLAN_PREFIX = "release:"


class ReleaseState(StrEnum):
    """How far a release is."""

    WAITING = "waiting"
    RUNNING = "going"
    HALTED = "halted"
    DONE = "done"
    ROLLING_BACK = "backing"
    ROLLBACK_HALTED = "held"
    ROLLED_BACK = "backed"
    PARTLY_ROLLED_BACK = "left"


class ReleaseInput(StrEnum):
    """What happens to a release."""

    UNITS_FREE = "units_free"
    ROLLBACK_ORDERED = "rollback_ordered"
    HALTED = "halted"
    RESUMED = "resumed"
    FINISHED = "finished"
    ROLLBACK_FINISHED = "rollback_finished"
    ROLLBACK_BLOCKED = "rollback_blocked"


class ReleaseEffect(StrEnum):
    """What a transition does to the units of a release."""

    REQUEST_PERMITS = "request_permits"
    WITHDRAW_PERMITS = "withdraw_permits"
    ROLL_BACK = "roll_back"
    FINISH = "finish"


class ReleaseTransition(NamedTuple):
    """What an input leads to.

    Attributes:
        state: the next state.
        effect: what is done to the release's units.
    """

    state: ReleaseState
    effect: ReleaseEffect


# An input that has no transition changes nothing.
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
        name: its name.
        epoch: its epoch; a new release of the same name needs a higher one.
        members: names of its units, in the order in which they are disrupted.
        build: the build it gives its units.
        earlier_build: the build that a rollback gives them.
        waves: how many units are done after each wave.
        gated: whether a wave begins only after the verdict `on` for the one before.
        auto_rollback: whether the verdict `back` rolls it back too.
        urgency: the urgency of its requests.
        started_at: agreed time at which it was added.
        number: its number; a later release has a higher one.
        state: how far it is.
        wave: the index of its wave.
        approved_waves: how many waves have the verdict `on`.
        last_known_halt: the number of the newest halt when its rollback was ordered.
        set_aside: by name of a unit the reason why it is not waited for.
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
        """The name of the plan by which it requests permits."""
        return PLAN_PREFIX + self.name

    def to_plain(self) -> dict[str, Any]:
        """The release as a snapshot has it."""
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
        """Reads a release out of a snapshot."""
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
