"""The unit's own side of a permit: it reports, takes orders, and begins only what it may. Pure.

It says and hears everything as commands and replies; each reply is dated by when it was asked for,
on the agent's own monotonic clock. A begin counts only if its confirmation came within `bound` of
asking, less what the clock may drift: so a halt that the state machine took stops it after the
bound, whether it is notified, slow, stopped or partitioned, and a reply that was delayed is worth
nothing. Without the state machine it freezes: a unit that serves goes on serving, one that is
unavailable may return by itself, and nothing begins.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from ..interface.clock import Ticks
from .agent_transitions import (
    AGENT_TRANSITIONS,
    REPORTED_STATUS,
    AgentEffect,
    AgentInput,
    AgentState,
)
from .commands import PART_NAME, CommandName
from .replies import OrderName
from .targets import DisruptionSettings


class ActionKind(StrEnum):
    """What the process of the unit is to do; the first field of an action."""

    PROPOSE = "propose"
    DRAIN = "drain"
    RETURN = "return"
    SERVE = "serve"


class ProposeAction(NamedTuple):
    """Propose a command; its reply comes back with the token."""

    kind: ActionKind
    token: int
    command: dict[str, Any]


class DrainAction(NamedTuple):
    """Take no new work from here on; `build` is the one to return with, or empty."""

    kind: ActionKind
    fencing_token: int
    build: str


class ReturnAction(NamedTuple):
    """Return with that build, or with the one there is if it is empty."""

    kind: ActionKind
    build: str


class ServeAction(NamedTuple):
    """Take new work again at once."""

    kind: ActionKind


Action: TypeAlias = ProposeAction | DrainAction | ReturnAction | ServeAction


class SaidCommand(NamedTuple):
    """A command without a reply.

    Attributes:
        at: when it was said, on the agent's clock.
        name: which command it was.
        fencing_token: the token of a begin, else 0.
    """

    at: Ticks
    name: CommandName
    fencing_token: int


# Commands without a reply that are remembered.
MAX_WAITING = 64
# Plans whose epochs are remembered.
MAX_EPOCHS = 64
# Reports within a bound.
REPORTS_PER_BOUND = 4


class DisruptionAgent:
    """The unit's own side of its permit.

    Times are ticks of its own monotonic clock, save `heard_at`.

    Attributes:
        unit: the unit's name.
        start: a number that grows with each start of the process.
        build: the build it runs.
        settings: what the operator set.
        state: where it stands.
        fault: why it can't return, or None.
        heard_at: the last agreed time it heard.
        fresh_at: when the newest command was said that has a reply, or None.
        last_token: the token of the newest command.
        waiting: commands without a reply by token.
        next_report_at: when it reports next.
        fencing_token: the token of the permit it has or had.
        permit_until: when the permit lapses.
        epoch: the epoch of the plan that requested the permit.
        target_build: the build to return with, or empty.
        spent_token: fencing tokens up to this one are worth nothing here.
        epochs: the highest epochs of plans by which it was to begin.
        actions: what the process is to do, not yet given back.
    """

    def __init__(  # noqa: PLR0917 (callers pass them by position)
        self,
        unit: str,
        start: int,
        build: str,
        settings: DisruptionSettings | None = None,
        now: Ticks = 0,
        ready: bool = True,
    ) -> None:
        self.unit = unit
        self.start = start
        self.build = build
        self.settings = settings or DisruptionSettings()
        self.state = AgentState.IN_SERVICE if ready else AgentState.RETURNING
        self.fault: str | None = None
        self.heard_at: Ticks = 0
        self.fresh_at: Ticks | None = None
        self.last_token = 0
        self.waiting: dict[int, SaidCommand] = {}
        self.next_report_at = now
        self.fencing_token = 0
        self.permit_until: Ticks = 0
        self.epoch = 0
        self.target_build = ""
        self.spent_token = 0
        self.epochs: dict[str, int] = {}
        self.actions: list[Action] = []
        self._effects: dict[AgentEffect, Callable[[Ticks], None]] = {
            AgentEffect.BEGIN: self._ask_to_begin,
            AgentEffect.DRAIN: self._drain,
            AgentEffect.LEAVE: self._leave,
            AgentEffect.DROP: self._drop_permit,
            AgentEffect.GIVE: self._give_up_permit,
            AgentEffect.TELL: self._report_drained,
            AgentEffect.SERVE: self._serve,
            AgentEffect.COME: self._come,
            AgentEffect.HOME: self._finish_return,
            AgentEffect.FAIL: self._give_up_permit,
        }

    def local_bound(self) -> Ticks:
        """The bound on its own clock, less what that may be wrong by."""
        return self.settings.bound - self.settings.bound * self.settings.drift // 1000

    def is_frozen(self, now: Ticks) -> bool:
        """Whether it heard no reply for its bound: it begins nothing."""
        return self.fresh_at is None or now - self.fresh_at > self.local_bound()

    # What happens to it; each gives what the process is to do.

    def advance_time(self, now: Ticks) -> list[Action]:
        """Time goes on; to be called at least every quarter of the bound."""
        if self._awaits_confirmation() and now > self.permit_until:
            self._transition(AgentInput.EXPIRED, now)
        if now >= self.next_report_at:
            self.next_report_at = now + self.settings.bound // REPORTS_PER_BOUND
            if self._awaits_confirmation():
                # The reply may be lost; the state machine takes a repeat.
                self._ask_to_begin(now)
            if self.state == AgentState.RETURNING and self.fault:
                # Until somebody comes: nobody else can tell why.
                self._give_up_permit(now)
            else:
                self._report(now)
        return self._take_actions()

    def receive_reply(self, now: Ticks, token: int, reply: Any) -> list[Action]:
        """A reply came; unknown and repeated ones, and those of another form, say nothing."""
        said = self.waiting.pop(token, None)
        if said is None or not isinstance(reply, dict):
            return self._take_actions()
        self.heard_at = max(self.heard_at, reply.get("at", 0))
        if self.fresh_at is None or said.at > self.fresh_at:
            self.fresh_at = said.at
        is_late = now - said.at > self.local_bound()
        if said.name == CommandName.BEGIN:
            self._take_confirmation(said, bool(reply.get("ok")), is_late, now)
        elif reply.get("ok"):
            order = reply.get("orders", {}).get(self.unit) or reply.get("order")
            if order:
                self._take_order(order, said.at, is_late, now)
        return self._take_actions()

    def finish_drain(self, now: Ticks) -> list[Action]:
        """The last request that it had taken has its response."""
        self._transition(AgentInput.DRAINED, now)
        return self._take_actions()

    def finish_disruption(self, now: Ticks, build: str = "") -> list[Action]:
        """What it was disrupted for is done, or given up: it returns in any case."""
        self.target_build = build
        self._transition(AgentInput.DONE, now)
        return self._take_actions()

    def finish_return(self, now: Ticks, build: str) -> list[Action]:
        """It serves again, warm."""
        self.build = build
        self._transition(AgentInput.READY, now)
        return self._take_actions()

    def fail_return(self, now: Ticks, why: str) -> list[Action]:
        """It can't return, for a reason in a sentence."""
        self.fault = why
        self._transition(AgentInput.FAILED, now)
        return self._take_actions()

    # Its parts.

    def _awaits_confirmation(self) -> bool:
        return self.state in (AgentState.CONFIRMING, AgentState.CONFIRMING_COLD)

    def _take_actions(self) -> list[Action]:
        actions = self.actions
        self.actions = []
        return actions

    def _take_confirmation(
        self, said: SaidCommand, confirmed: bool, is_late: bool, now: Ticks
    ) -> None:
        """The reply to a begin came."""
        if not self._awaits_confirmation() or said.fencing_token != self.fencing_token:
            return
        # A reply may have been held by a stop of this process, and be over: the clock decides.
        if is_late or now > self.permit_until:
            self._transition(AgentInput.EXPIRED, now)
        else:
            self._transition(AgentInput.CONFIRMED if confirmed else AgentInput.REJECTED, now)

    def _take_order(self, order: dict[str, Any], at: Ticks, is_late: bool, now: Ticks) -> None:
        """Takes an order that was asked for `at`."""
        name = order["do"]
        fencing_token = order["fence"]
        if name == OrderName.BEGIN:
            self._take_permit(order, at, is_late, now)
        elif fencing_token == self.fencing_token or (
            fencing_token > self.fencing_token
            and self.state in (AgentState.IN_SERVICE, AgentState.RETURNING)
        ):
            self.fencing_token = fencing_token
            if name == OrderName.RETURN:
                self.target_build = order["build"]
            self._transition(name, now)

    def _take_permit(self, order: dict[str, Any], at: Ticks, is_late: bool, now: Ticks) -> None:
        """Asks whether it may begin, unless the order's fencing token or epoch is over."""
        fencing_token = order["fence"]
        plan = order["plan"]
        epoch = order["epoch"]
        if (
            self.state not in (AgentState.IN_SERVICE, AgentState.RETURNING)
            or is_late
            or fencing_token <= self.spent_token
            or epoch < self.epochs.get(plan, 0)
        ):
            return
        self.epochs.pop(plan, None)
        if len(self.epochs) >= MAX_EPOCHS:
            del self.epochs[next(iter(self.epochs))]
        self.epochs[plan] = epoch
        self.fencing_token = fencing_token
        self.epoch = epoch
        self.target_build = order["build"]
        # What is left of the permit counts from when it was asked for: the reply is not older.
        left = order["left"] - order["left"] * self.settings.drift // 1000
        self.permit_until = at + min(left, 2 * self.local_bound())
        self._transition(AgentInput.BEGIN, now)

    def _transition(self, event: str, now: Ticks) -> None:
        """Takes an AgentInput, or the name of an order; an unknown name changes nothing."""
        step = AGENT_TRANSITIONS.get((self.state, event))
        if step is not None:
            self.state = step.state
            self._effects[step.effect](now)

    def _say(
        self, now: Ticks, name: CommandName, fields: dict[str, Any], fencing_token: int = 0
    ) -> None:
        self.last_token += 1
        if len(self.waiting) >= MAX_WAITING:
            del self.waiting[next(iter(self.waiting))]
        self.waiting[self.last_token] = SaidCommand(now, name, fencing_token)
        command = {"part": PART_NAME, "do": name.value, **fields}
        self.actions.append(ProposeAction(ActionKind.PROPOSE, self.last_token, command))

    def _report(self, now: Ticks) -> None:
        report = [REPORTED_STATUS[self.state].value, self.start, self.build]
        self._say(
            now, CommandName.REPORT_UNITS, {"as_of": self.heard_at, "units": {self.unit: report}}
        )

    def _ask_to_begin(self, now: Ticks) -> None:
        self._say(
            now,
            CommandName.BEGIN,
            {
                "unit": self.unit,
                "fence": self.fencing_token,
                "epoch": self.epoch,
                "start": self.start,
            },
            self.fencing_token,
        )

    def _add_drain(self) -> None:
        self.spent_token = self.fencing_token
        self.actions.append(DrainAction(ActionKind.DRAIN, self.fencing_token, self.target_build))

    def _drain(self, now: Ticks) -> None:
        self._add_drain()
        self._report(now)

    def _leave(self, now: Ticks) -> None:
        self._add_drain()
        self._report_drained(now)

    def _drop_permit(self, _now: Ticks) -> None:
        self.spent_token = self.fencing_token

    def _give_up_permit(self, now: Ticks) -> None:
        """It did not begin, or returns: the state machine may think that it is unavailable."""
        self.spent_token = max(self.spent_token, self.fencing_token)
        fields: dict[str, Any] = {"unit": self.unit, "fence": self.fencing_token}
        if self.fault:
            fields["fault"] = self.fault
        self._say(now, CommandName.RETURN, fields)
        self._report(now)

    def _report_drained(self, now: Ticks) -> None:
        self._say(now, CommandName.REPORT_DRAINED, {"unit": self.unit, "fence": self.fencing_token})

    def _serve(self, now: Ticks) -> None:
        self.actions.append(ServeAction(ActionKind.SERVE))
        self._give_up_permit(now)

    def _come(self, now: Ticks) -> None:
        self.actions.append(ReturnAction(ActionKind.RETURN, self.target_build))
        self.fault = None
        self._give_up_permit(now)

    def _finish_return(self, now: Ticks) -> None:
        self.actions.append(ServeAction(ActionKind.SERVE))
        self._report(now)
