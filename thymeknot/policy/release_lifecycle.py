"""The newest build's life: offered, moved from stage to stage, released or withdrawn."""

from enum import Enum

from ..interface.enums import Outcome, ReleasePhase
from ..interface.events import ReleaseUpdate
from .baseline import Baseline
from .context import BuildState, DecisionContext, Release
from .endpoint_selection import EndpointSelection
from .exposure_budget import ExposureBudget
from .global_slowdown import GlobalSlowdown
from .sequential_test import SequentialTest
from .traffic_split import TrafficSplit
from .voting import Voting


class ReleaseChange(Enum):
    """What an update changes."""

    OFFERED = "offered"
    MET = "met"
    """Another build that is not on trial."""
    STAGE_CHANGED = "stage changed"
    WITHDRAWN = "withdrawn"
    RELEASED = "released"


class Effect(Enum):
    """What a change has the parts do."""

    RESTART = "restart"
    NEXT_STAGE = "next stage"
    NONE = "none"


FROM_ANY_STATE = {
    ReleaseChange.OFFERED: (BuildState.ON_TRIAL, Effect.RESTART),
    ReleaseChange.MET: (BuildState.USUAL, Effect.RESTART),
    ReleaseChange.WITHDRAWN: (BuildState.WITHDRAWN, Effect.RESTART),
}
"""Change -> next state and effect, where TRANSITIONS says nothing else."""

TRANSITIONS = {
    (BuildState.ON_TRIAL, ReleaseChange.STAGE_CHANGED): (BuildState.ON_TRIAL, Effect.NEXT_STAGE),
    (BuildState.ON_TRIAL, ReleaseChange.RELEASED): (BuildState.RELEASED, Effect.NEXT_STAGE),
    (BuildState.WITHDRAWN, ReleaseChange.WITHDRAWN): (BuildState.WITHDRAWN, Effect.NONE),
}
"""(State, change) -> next state and effect. What is in neither table changes nothing."""

CHANGE_OF_PHASE = {
    ReleasePhase.ON_TRIAL: ReleaseChange.OFFERED,
    ReleasePhase.RELEASED: ReleaseChange.RELEASED,
}
"""What another phase of the same build means; the phases that are not here withdraw it."""


class ReleaseLifecycle:
    """Takes in how the newest build stands and has the other parts follow."""

    def __init__(
        self,
        context: DecisionContext,
        *,
        selection: EndpointSelection,
        exposure: ExposureBudget,
        split: TrafficSplit,
        test: SequentialTest,
        baseline: Baseline,
        slowdown: GlobalSlowdown,
        voting: Voting,
    ) -> None:
        self.context = context
        self.selection = selection
        self.exposure = exposure
        self.split = split
        self.test = test
        self.baseline = baseline
        self.slowdown = slowdown
        self.voting = voting
        self.restart()

    def update(self, event: ReleaseUpdate) -> None:
        """Takes in an update, or the answer to a vote."""
        context = self.context
        if event.answers_vote:
            self.voting.handle_response(event)
        if event.outcome != Outcome.DONE:
            return
        # An update of this outcome has all fields.
        new = Release(event.build, event.stage, event.phase, event.cap)  # type: ignore[arg-type]
        old = context.release
        context.release = new
        if old is None or old.build != new.build:
            self.split.pinned_keys = set()
            self.voting.met = {}
            self.selection.group_by_build()
        change = _change_between(old, new)
        if change is None:
            return
        transition = TRANSITIONS.get(
            (context.build_state, change),
            FROM_ANY_STATE.get(change, (context.build_state, Effect.NONE)),
        )
        context.build_state, effect = transition
        if effect == Effect.RESTART:
            self.restart()
        elif effect == Effect.NEXT_STAGE:
            self.next_stage()

    def restart(self) -> None:
        """Begins with another build, or with one that is withdrawn."""
        self.baseline.restart()
        self.split.restart()
        self.exposure.restart()
        self.slowdown.restart()
        self.test.restart()
        self.next_stage()

    def next_stage(self) -> None:
        """Begins with another stage."""
        self.split.next_stage()
        self.voting.next_stage()
        self.test.next_stage()


def _change_between(old: Release | None, new: Release) -> ReleaseChange | None:
    if old is None or old.build != new.build:
        on_trial = new.phase == ReleasePhase.ON_TRIAL
        return ReleaseChange.OFFERED if on_trial else ReleaseChange.MET
    if old.phase != new.phase:
        return CHANGE_OF_PHASE.get(new.phase, ReleaseChange.WITHDRAWN)
    return ReleaseChange.STAGE_CHANGED if old.stage != new.stage else None
