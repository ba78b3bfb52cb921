"""The life cycle of the newest build: on trial, from stage to stage, released or withdrawn."""

from enum import Enum

from ..interface.enums import Outcome, ReleasePhase
from ..interface.events import ReleaseUpdate
from .baseline import Baseline
from .context import BuildState, DecisionContext, Release
from .endpoint_selection import EndpointSelection
from .exposure_budget import ExposureBudget
from .global_slowdown import GlobalSlowdown
from .sequential_test import SequentialTest
from .sticky_keys import StickyKeys
from .traffic_split import TrafficSplit
from .voting import Voting


class ReleaseChange(Enum):
    """What an update changes about the newest build."""

    OFFERED = "offered"
    FOUND_AFTER_TRIAL = "found after trial"
    """A new build that is no longer on trial in the first update about it."""
    STAGE_CHANGED = "stage changed"
    WITHDRAWN = "withdrawn"
    RELEASED = "released"


class Effect(Enum):
    """What a change makes the other parts of the engine do."""

    RESET = "reset"
    NEXT_STAGE = "next stage"
    NONE = "none"


DEFAULT_TRANSITIONS = {
    ReleaseChange.OFFERED: (BuildState.ON_TRIAL, Effect.RESET),
    ReleaseChange.FOUND_AFTER_TRIAL: (BuildState.NOT_EVALUATED, Effect.RESET),
    ReleaseChange.WITHDRAWN: (BuildState.WITHDRAWN, Effect.RESET),
}
"""Next state and effect by change, for pairs that TRANSITIONS does not contain."""

TRANSITIONS = {
    (BuildState.ON_TRIAL, ReleaseChange.STAGE_CHANGED): (BuildState.ON_TRIAL, Effect.NEXT_STAGE),
    (BuildState.ON_TRIAL, ReleaseChange.RELEASED): (BuildState.RELEASED, Effect.NEXT_STAGE),
    (BuildState.WITHDRAWN, ReleaseChange.WITHDRAWN): (BuildState.WITHDRAWN, Effect.NONE),
}
"""Next state and effect by state and change. Pairs in neither table change nothing."""

CHANGE_BY_PHASE = {
    ReleasePhase.ON_TRIAL: ReleaseChange.OFFERED,
    ReleasePhase.RELEASED: ReleaseChange.RELEASED,
}
"""The change that a new phase of the same build makes; phases not listed here withdraw it."""


class ReleaseLifecycle:
    """Tracks the rollout state of the newest build and resets the other parts as it changes."""

    def __init__(
        self,
        context: DecisionContext,
        *,
        selection: EndpointSelection,
        exposure: ExposureBudget,
        split: TrafficSplit,
        sticky_keys: StickyKeys,
        test: SequentialTest,
        baseline: Baseline,
        slowdown: GlobalSlowdown,
        voting: Voting,
    ) -> None:
        self.context = context
        self.selection = selection
        self.exposure = exposure
        self.split = split
        self.sticky_keys = sticky_keys
        self.test = test
        self.baseline = baseline
        self.slowdown = slowdown
        self.voting = voting
        self.reset()

    def update(self, event: ReleaseUpdate) -> None:
        """Handles a release update, which may be the response to a vote."""
        context = self.context
        if event.answers_vote:
            self.voting.handle_response(event)
        if event.outcome != Outcome.DONE:
            return
        # Updates with the outcome DONE have all fields set.
        current = Release(event.build, event.stage, event.phase, event.cap)  # type: ignore[arg-type]
        previous = context.release
        context.release = current
        if previous is None or previous.build != current.build:
            self.sticky_keys.reset()
            self.voting.first_started = {}
            self.selection.group_by_build()
        change = _change_between(previous, current)
        if change is None:
            return
        transition = TRANSITIONS.get(
            (context.build_state, change),
            DEFAULT_TRANSITIONS.get(change, (context.build_state, Effect.NONE)),
        )
        context.build_state, effect = transition
        if effect == Effect.RESET:
            self.reset()
        elif effect == Effect.NEXT_STAGE:
            self.start_stage()

    def reset(self) -> None:
        """Resets all parts, for another build or one that was withdrawn."""
        self.baseline.reset()
        self.split.reset()
        self.exposure.reset()
        self.slowdown.reset()
        self.test.reset()
        self.start_stage()

    def start_stage(self) -> None:
        """Starts another stage in all parts that depend on it."""
        self.split.start_stage()
        self.voting.start_stage()
        self.test.start_stage()


def _change_between(previous: Release | None, current: Release) -> ReleaseChange | None:
    """Returns what changed from one rollout state to the next; None if nothing did."""
    if previous is None or previous.build != current.build:
        on_trial = current.phase == ReleasePhase.ON_TRIAL
        return ReleaseChange.OFFERED if on_trial else ReleaseChange.FOUND_AFTER_TRIAL
    if previous.phase != current.phase:
        return CHANGE_BY_PHASE.get(current.phase, ReleaseChange.WITHDRAWN)
    return ReleaseChange.STAGE_CHANGED if previous.stage != current.stage else None
