"""The states of an agent, and what leads from one to another."""

from enum import StrEnum
from typing import NamedTuple

from .permits import UnitStatus


class AgentState(StrEnum):
    """Where the unit stands by its own account."""

    IN = "in"
    BEGINNING = "beginning"
    DRAINING = "draining"
    OUT = "out"
    RETURNING = "returning"
    LEAVING = "leaving"


class AgentInput(StrEnum):
    """What happens to the agent; orders have the names of OrderName."""

    BEGIN = "begin"
    DRAIN = "drain"
    STAY = "stay"
    RETURN = "return"
    YES = "yes"
    NO = "no"
    LATE = "late"
    EMPTIED = "emptied"
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
        (AgentState.IN, AgentInput.BEGIN, AgentState.BEGINNING, AgentEffect.BEGIN),
        (AgentState.BEGINNING, AgentInput.YES, AgentState.DRAINING, AgentEffect.DRAIN),
        (AgentState.BEGINNING, AgentInput.NO, AgentState.IN, AgentEffect.DROP),
        (AgentState.BEGINNING, AgentInput.LATE, AgentState.IN, AgentEffect.GIVE),
        (AgentState.BEGINNING, AgentInput.RETURN, AgentState.IN, AgentEffect.GIVE),
        (AgentState.BEGINNING, AgentInput.DONE, AgentState.IN, AgentEffect.GIVE),
        (AgentState.DRAINING, AgentInput.EMPTIED, AgentState.OUT, AgentEffect.TELL),
        (AgentState.DRAINING, AgentInput.RETURN, AgentState.IN, AgentEffect.SERVE),
        (AgentState.DRAINING, AgentInput.DONE, AgentState.IN, AgentEffect.SERVE),
        (AgentState.OUT, AgentInput.RETURN, AgentState.RETURNING, AgentEffect.COME),
        (AgentState.OUT, AgentInput.DONE, AgentState.RETURNING, AgentEffect.COME),
        # The state machine did not hear that it is empty.
        (AgentState.OUT, AgentInput.DRAIN, AgentState.OUT, AgentEffect.TELL),
        # Nor that it gave up its permit, or has returned.
        (AgentState.IN, AgentInput.DRAIN, AgentState.IN, AgentEffect.GIVE),
        (AgentState.IN, AgentInput.STAY, AgentState.IN, AgentEffect.GIVE),
        (AgentState.RETURNING, AgentInput.DRAIN, AgentState.RETURNING, AgentEffect.GIVE),
        (AgentState.RETURNING, AgentInput.STAY, AgentState.RETURNING, AgentEffect.GIVE),
        (AgentState.RETURNING, AgentInput.READY, AgentState.IN, AgentEffect.HOME),
        (AgentState.RETURNING, AgentInput.FAILED, AgentState.RETURNING, AgentEffect.FAIL),
        # A build that never gets warm is replaced without having served.
        (AgentState.RETURNING, AgentInput.BEGIN, AgentState.LEAVING, AgentEffect.BEGIN),
        (AgentState.LEAVING, AgentInput.YES, AgentState.OUT, AgentEffect.LEAVE),
        (AgentState.LEAVING, AgentInput.NO, AgentState.RETURNING, AgentEffect.DROP),
        (AgentState.LEAVING, AgentInput.LATE, AgentState.RETURNING, AgentEffect.GIVE),
        (AgentState.LEAVING, AgentInput.RETURN, AgentState.RETURNING, AgentEffect.GIVE),
        (AgentState.LEAVING, AgentInput.READY, AgentState.IN, AgentEffect.HOME),
        (AgentState.LEAVING, AgentInput.FAILED, AgentState.RETURNING, AgentEffect.FAIL),
    )
}
# What the unit is reported as.
REPORTED_STATUS = {
    AgentState.IN: UnitStatus.READY,
    AgentState.BEGINNING: UnitStatus.READY,
    AgentState.DRAINING: UnitStatus.OUT,
    AgentState.OUT: UnitStatus.OUT,
    AgentState.RETURNING: UnitStatus.COLD,
    AgentState.LEAVING: UnitStatus.COLD,
}
