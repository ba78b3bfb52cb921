"""The states of an agent and the transitions between them."""

from enum import StrEnum
from typing import NamedTuple

from .permits import UnitStatus


class AgentState(StrEnum):
    """The unit's state as its agent knows it.

    CONFIRMING waits for the confirmation to begin; CONFIRMING_COLD does so while the unit is not
    warm yet. OUT_OF_SERVICE has drained.
    """

    IN_SERVICE = "in"
    CONFIRMING = "confirming"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out"
    RETURNING = "returning"
    CONFIRMING_COLD = "confirming cold"


class AgentInput(StrEnum):
    """Inputs of the agent; the values of those that are orders equal the values of OrderName."""

    BEGIN = "begin"
    DRAIN = "drain"
    STAY = "stay"
    RETURN = "return"
    CONFIRMED = "confirmed"
    REJECTED = "rejected"
    EXPIRED = "expired"
    DRAINED = "drained"
    DONE = "done"
    READY = "ready"
    FAILED = "failed"


class AgentEffect(StrEnum):
    """What the agent sends or does on a transition."""

    REQUEST_CONFIRMATION = "request confirmation"
    DRAIN = "drain"
    DRAIN_COLD = "drain cold"
    DISCARD_PERMIT = "discard permit"
    RETURN_PERMIT = "return permit"
    REPORT_DRAINED = "report drained"
    RESUME_SERVICE = "resume service"
    START_RETURN = "start return"
    COMPLETE_RETURN = "complete return"
    REPORT_FAULT = "report fault"


class AgentTransition(NamedTuple):
    """The result of an input in a state.

    Attributes:
        state: The next state.
        effect: What the agent sends or does.
    """

    state: AgentState
    effect: AgentEffect


# An input without a transition changes nothing.
AGENT_TRANSITIONS: dict[tuple[AgentState, str], AgentTransition] = {
    (state, event): AgentTransition(next_state, effect)
    for state, event, next_state, effect in (
        (
            AgentState.IN_SERVICE,
            AgentInput.BEGIN,
            AgentState.CONFIRMING,
            AgentEffect.REQUEST_CONFIRMATION,
        ),
        (AgentState.CONFIRMING, AgentInput.CONFIRMED, AgentState.DRAINING, AgentEffect.DRAIN),
        (
            AgentState.CONFIRMING,
            AgentInput.REJECTED,
            AgentState.IN_SERVICE,
            AgentEffect.DISCARD_PERMIT,
        ),
        (
            AgentState.CONFIRMING,
            AgentInput.EXPIRED,
            AgentState.IN_SERVICE,
            AgentEffect.RETURN_PERMIT,
        ),
        (
            AgentState.CONFIRMING,
            AgentInput.RETURN,
            AgentState.IN_SERVICE,
            AgentEffect.RETURN_PERMIT,
        ),
        (AgentState.CONFIRMING, AgentInput.DONE, AgentState.IN_SERVICE, AgentEffect.RETURN_PERMIT),
        (
            AgentState.DRAINING,
            AgentInput.DRAINED,
            AgentState.OUT_OF_SERVICE,
            AgentEffect.REPORT_DRAINED,
        ),
        (AgentState.DRAINING, AgentInput.RETURN, AgentState.IN_SERVICE, AgentEffect.RESUME_SERVICE),
        (AgentState.DRAINING, AgentInput.DONE, AgentState.IN_SERVICE, AgentEffect.RESUME_SERVICE),
        (
            AgentState.OUT_OF_SERVICE,
            AgentInput.RETURN,
            AgentState.RETURNING,
            AgentEffect.START_RETURN,
        ),
        (
            AgentState.OUT_OF_SERVICE,
            AgentInput.DONE,
            AgentState.RETURNING,
            AgentEffect.START_RETURN,
        ),
        # The state machine did not receive the report that the unit has drained.
        (
            AgentState.OUT_OF_SERVICE,
            AgentInput.DRAIN,
            AgentState.OUT_OF_SERVICE,
            AgentEffect.REPORT_DRAINED,
        ),
        # The state machine did not receive the report that the permit was given up, or that the
        # unit has returned.
        (AgentState.IN_SERVICE, AgentInput.DRAIN, AgentState.IN_SERVICE, AgentEffect.RETURN_PERMIT),
        (AgentState.IN_SERVICE, AgentInput.STAY, AgentState.IN_SERVICE, AgentEffect.RETURN_PERMIT),
        (AgentState.RETURNING, AgentInput.DRAIN, AgentState.RETURNING, AgentEffect.RETURN_PERMIT),
        (AgentState.RETURNING, AgentInput.STAY, AgentState.RETURNING, AgentEffect.RETURN_PERMIT),
        (
            AgentState.RETURNING,
            AgentInput.READY,
            AgentState.IN_SERVICE,
            AgentEffect.COMPLETE_RETURN,
        ),
        (AgentState.RETURNING, AgentInput.FAILED, AgentState.RETURNING, AgentEffect.REPORT_FAULT),
        # A build that never becomes warm can be replaced although it has never served.
        (
            AgentState.RETURNING,
            AgentInput.BEGIN,
            AgentState.CONFIRMING_COLD,
            AgentEffect.REQUEST_CONFIRMATION,
        ),
        (
            AgentState.CONFIRMING_COLD,
            AgentInput.CONFIRMED,
            AgentState.OUT_OF_SERVICE,
            AgentEffect.DRAIN_COLD,
        ),
        (
            AgentState.CONFIRMING_COLD,
            AgentInput.REJECTED,
            AgentState.RETURNING,
            AgentEffect.DISCARD_PERMIT,
        ),
        (
            AgentState.CONFIRMING_COLD,
            AgentInput.EXPIRED,
            AgentState.RETURNING,
            AgentEffect.RETURN_PERMIT,
        ),
        (
            AgentState.CONFIRMING_COLD,
            AgentInput.RETURN,
            AgentState.RETURNING,
            AgentEffect.RETURN_PERMIT,
        ),
        (
            AgentState.CONFIRMING_COLD,
            AgentInput.READY,
            AgentState.IN_SERVICE,
            AgentEffect.COMPLETE_RETURN,
        ),
        (
            AgentState.CONFIRMING_COLD,
            AgentInput.FAILED,
            AgentState.RETURNING,
            AgentEffect.REPORT_FAULT,
        ),
    )
}
# The status that the agent reports in each state.
REPORTED_STATUS = {
    AgentState.IN_SERVICE: UnitStatus.READY,
    AgentState.CONFIRMING: UnitStatus.READY,
    AgentState.DRAINING: UnitStatus.OUT_OF_SERVICE,
    AgentState.OUT_OF_SERVICE: UnitStatus.OUT_OF_SERVICE,
    AgentState.RETURNING: UnitStatus.COLD,
    AgentState.CONFIRMING_COLD: UnitStatus.COLD,
}
