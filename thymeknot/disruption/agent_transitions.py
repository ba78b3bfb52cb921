"""The states of an agent, and what leads from one to another."""

from enum import StrEnum
from typing import NamedTuple

from .permits import UnitStatus


class AgentState(StrEnum):
    """Where the unit stands by its own account."""

    IN_SERVICE = "in"
    CONFIRMING = "confirming"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out"
    RETURNING = "returning"
    CONFIRMING_COLD = "confirming cold"


class AgentInput(StrEnum):
    """What happens to the agent; orders have the names of OrderName."""

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
    """What a transition has the agent say or do."""

    BEGIN = "begin"
    DRAIN = "drain"
    LEAVE = "leave"
    DROP = "drop"
    GIVE = "give"
    TELL = "tell"
    SERVE = "serve"
    COME = "come"
    HOME = "home"
    FAIL = "fail"


class AgentTransition(NamedTuple):
    """What an input leads to.

    Attributes:
        state: the next state.
        effect: what the agent says or does.
    """

    state: AgentState
    effect: AgentEffect


# An input that has no transition changes nothing.
AGENT_TRANSITIONS: dict[tuple[AgentState, str], AgentTransition] = {
    (state, event): AgentTransition(next_state, effect)
    for state, event, next_state, effect in (
        (AgentState.IN_SERVICE, AgentInput.BEGIN, AgentState.CONFIRMING, AgentEffect.BEGIN),
        (AgentState.CONFIRMING, AgentInput.CONFIRMED, AgentState.DRAINING, AgentEffect.DRAIN),
        (AgentState.CONFIRMING, AgentInput.REJECTED, AgentState.IN_SERVICE, AgentEffect.DROP),
        (AgentState.CONFIRMING, AgentInput.EXPIRED, AgentState.IN_SERVICE, AgentEffect.GIVE),
        (AgentState.CONFIRMING, AgentInput.RETURN, AgentState.IN_SERVICE, AgentEffect.GIVE),
        (AgentState.CONFIRMING, AgentInput.DONE, AgentState.IN_SERVICE, AgentEffect.GIVE),
        (AgentState.DRAINING, AgentInput.DRAINED, AgentState.OUT_OF_SERVICE, AgentEffect.TELL),
        (AgentState.DRAINING, AgentInput.RETURN, AgentState.IN_SERVICE, AgentEffect.SERVE),
        (AgentState.DRAINING, AgentInput.DONE, AgentState.IN_SERVICE, AgentEffect.SERVE),
        (AgentState.OUT_OF_SERVICE, AgentInput.RETURN, AgentState.RETURNING, AgentEffect.COME),
        (AgentState.OUT_OF_SERVICE, AgentInput.DONE, AgentState.RETURNING, AgentEffect.COME),
        # The state machine did not hear that it is empty.
        (AgentState.OUT_OF_SERVICE, AgentInput.DRAIN, AgentState.OUT_OF_SERVICE, AgentEffect.TELL),
        # Nor that it gave up its permit, or has returned.
        (AgentState.IN_SERVICE, AgentInput.DRAIN, AgentState.IN_SERVICE, AgentEffect.GIVE),
        (AgentState.IN_SERVICE, AgentInput.STAY, AgentState.IN_SERVICE, AgentEffect.GIVE),
        (AgentState.RETURNING, AgentInput.DRAIN, AgentState.RETURNING, AgentEffect.GIVE),
        (AgentState.RETURNING, AgentInput.STAY, AgentState.RETURNING, AgentEffect.GIVE),
        (AgentState.RETURNING, AgentInput.READY, AgentState.IN_SERVICE, AgentEffect.HOME),
        (AgentState.RETURNING, AgentInput.FAILED, AgentState.RETURNING, AgentEffect.FAIL),
        # A build that never gets warm is replaced without having served.
        (AgentState.RETURNING, AgentInput.BEGIN, AgentState.CONFIRMING_COLD, AgentEffect.BEGIN),
        (
            AgentState.CONFIRMING_COLD,
            AgentInput.CONFIRMED,
            AgentState.OUT_OF_SERVICE,
            AgentEffect.LEAVE,
        ),
        (AgentState.CONFIRMING_COLD, AgentInput.REJECTED, AgentState.RETURNING, AgentEffect.DROP),
        (AgentState.CONFIRMING_COLD, AgentInput.EXPIRED, AgentState.RETURNING, AgentEffect.GIVE),
        (AgentState.CONFIRMING_COLD, AgentInput.RETURN, AgentState.RETURNING, AgentEffect.GIVE),
        (AgentState.CONFIRMING_COLD, AgentInput.READY, AgentState.IN_SERVICE, AgentEffect.HOME),
        (AgentState.CONFIRMING_COLD, AgentInput.FAILED, AgentState.RETURNING, AgentEffect.FAIL),
    )
}
# What the unit is reported as.
REPORTED_STATUS = {
    AgentState.IN_SERVICE: UnitStatus.READY,
    AgentState.CONFIRMING: UnitStatus.READY,
    AgentState.DRAINING: UnitStatus.OUT_OF_SERVICE,
    AgentState.OUT_OF_SERVICE: UnitStatus.OUT_OF_SERVICE,
    AgentState.RETURNING: UnitStatus.COLD,
    AgentState.CONFIRMING_COLD: UnitStatus.COLD,
}
