"""The agent of a unit: reports its status, follows orders, begins only confirmed disruptions.

The agent does no I/O. It communicates with the state machine through commands and replies, and
dates each reply by the time at which its command was sent, on the agent's own monotonic clock.

A confirmation to begin is valid only if it arrives within `bound` of the request, reduced by the
possible clock drift. So once the state machine has accepted a halt, no agent begins a disruption
after the bound, whether it is notified, slow, suspended or partitioned, and a delayed reply has no
effect. When the state machine is unreachable, the agent is frozen: a serving unit keeps serving, an
unavailable one may return by itself, and no disruption begins.
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
    """What the unit's process has to do; the first field of each action."""

    PROPOSE = "propose"
    DRAIN = "drain"
    RETURN = "return"
    SERVE = "serve"


class ProposeAction(NamedTuple):
    """Propose a command; pass its reply to `receive_reply` with the same token."""

    kind: ActionKind
    token: int
    command: dict[str, Any]


class DrainAction(NamedTuple):
    """Accept no new work; `build` is the build to return with, or empty to keep the current one."""

    kind: ActionKind
    fencing_token: int
    build: str


class ReturnAction(NamedTuple):
    """Return to service with `build`, or with the current build if it is empty."""

    kind: ActionKind
    build: str


class ServeAction(NamedTuple):
    """Accept new work again immediately."""

    kind: ActionKind


Action: TypeAlias = ProposeAction | DrainAction | ReturnAction | ServeAction


class PendingCommand(NamedTuple):
    """A command that was sent and has no reply yet.

    Attributes:
        sent_at: When it was sent, on the agent's clock.
        name: The command's name.
        fencing_token: The permit's fencing token for a begin command, otherwise 0.
    """

    sent_at: Ticks
    name: CommandName
    fencing_token: int


# Beyond this number of commands without a reply, the oldest is forgotten.
MAX_PENDING_COMMANDS = 64
# Beyond this number of plans, the least recently updated epoch is forgotten.
MAX_PLAN_EPOCHS = 64
# Status reports sent per `bound`.
REPORTS_PER_BOUND = 4


class DisruptionAgent:
    """The agent of one unit.

    Times are ticks of the process's monotonic clock, except `last_agreed_time`.

    Attributes:
        unit: The unit's name.
        incarnation: Increases with each start of the process.
        build: The build that the unit runs.
        settings: The operator's settings.
        state: The agent's state.
        fault: Why the unit cannot return to service, or None.
        last_agreed_time: The newest agreed time received.
        last_contact_at: When the newest command that has a reply was sent, or None.
        last_command_token: The token of the newest command.
        pending_commands: Commands without a reply, by token.
        next_report_at: When the next status report is due.
        fencing_token: The fencing token of the current or last permit.
        permit_until: When the permit lapses.
        epoch: The epoch of the plan that requested the permit.
        target_build: The build to return with, or empty.
        last_spent_token: Permits with a fencing token up to this one are no longer valid.
        plan_epochs: The highest epoch seen for each plan, from orders to begin.
        actions: Actions to be returned by the current call.
    """

    def __init__(  # noqa: PLR0917 (callers pass them by position)
        self,
        unit: str,
        incarnation: int,
        build: str,
        settings: DisruptionSettings | None = None,
        now: Ticks = 0,
        is_ready: bool = True,
    ) -> None:
        self.unit = unit
        self.incarnation = incarnation
        self.build = build
        self.settings = settings or DisruptionSettings()
        self.state = AgentState.IN_SERVICE if is_ready else AgentState.RETURNING
        self.fault: str | None = None
        self.last_agreed_time: Ticks = 0
        self.last_contact_at: Ticks | None = None
        self.last_command_token = 0
        self.pending_commands: dict[int, PendingCommand] = {}
        self.next_report_at = now
        self.fencing_token = 0
        self.permit_until: Ticks = 0
        self.epoch = 0
        self.target_build = ""
        self.last_spent_token = 0
        self.plan_epochs: dict[str, int] = {}
        self.actions: list[Action] = []
        self._effects: dict[AgentEffect, Callable[[Ticks], None]] = {
            AgentEffect.REQUEST_CONFIRMATION: self._request_confirmation,
            AgentEffect.DRAIN: self._drain_and_report,
            AgentEffect.DRAIN_COLD: self._drain_cold,
            AgentEffect.DISCARD_PERMIT: self._discard_permit,
            AgentEffect.RETURN_PERMIT: self._return_permit,
            AgentEffect.REPORT_DRAINED: self._report_drained,
            AgentEffect.RESUME_SERVICE: self._resume_service,
            AgentEffect.START_RETURN: self._start_return,
            AgentEffect.COMPLETE_RETURN: self._complete_return,
            AgentEffect.REPORT_FAULT: self._return_permit,
        }

    def local_bound(self) -> Ticks:
        """Returns the bound in ticks of the agent's clock, reduced by its possible drift."""
        return self.settings.bound - self.settings.bound * self.settings.drift // 1000

    def is_frozen(self, now: Ticks) -> bool:
        """Returns whether no command sent within the bound has a reply.

        No disruption may begin then.
        """
        return self.last_contact_at is None or now - self.last_contact_at > self.local_bound()

    # Inputs; each returns the actions that the process has to carry out.

    def advance_time(self, now: Ticks) -> list[Action]:
        """Handles the passing of time; call it at least every quarter of the bound."""
        if self._awaits_confirmation() and now > self.permit_until:
            self._transition(AgentInput.EXPIRED, now)
        if now >= self.next_report_at:
            self.next_report_at = now + self.settings.bound // REPORTS_PER_BOUND
            if self._awaits_confirmation():
                # The reply may be lost; the state machine accepts repeated commands.
                self._request_confirmation(now)
            if self.state == AgentState.RETURNING and self.fault:
                # Repeated until the fault is repaired: only this agent knows the reason.
                self._return_permit(now)
            else:
                self._report(now)
        return self._pop_actions()

    def receive_reply(self, now: Ticks, token: int, reply: Any) -> list[Action]:
        """Handles a reply; ignores it if its token is unknown or repeated, or it is malformed."""
        pending = self.pending_commands.pop(token, None)
        if pending is None or not isinstance(reply, dict):
            return self._pop_actions()
        self.last_agreed_time = max(self.last_agreed_time, reply.get("at", 0))
        if self.last_contact_at is None or pending.sent_at > self.last_contact_at:
            self.last_contact_at = pending.sent_at
        is_late = now - pending.sent_at > self.local_bound()
        if pending.name == CommandName.BEGIN:
            self._handle_confirmation(pending, bool(reply.get("ok")), is_late, now)
        elif reply.get("ok"):
            order = reply.get("orders", {}).get(self.unit) or reply.get("order")
            if order:
                self._handle_order(order, pending.sent_at, is_late, now)
        return self._pop_actions()

    def finish_drain(self, now: Ticks) -> list[Action]:
        """Records that the last request in flight has its response."""
        self._transition(AgentInput.DRAINED, now)
        return self._pop_actions()

    def finish_disruption(self, now: Ticks, build: str = "") -> list[Action]:
        """Records that the work that needed the disruption is done or abandoned; the unit returns.

        Args:
            now: The agent's monotonic clock.
            build: The build to return with, or empty to keep the current one.
        """
        self.target_build = build
        self._transition(AgentInput.DONE, now)
        return self._pop_actions()

    def finish_return(self, now: Ticks, build: str) -> list[Action]:
        """Records that the unit is warm and serves again, with `build`."""
        self.build = build
        self._transition(AgentInput.READY, now)
        return self._pop_actions()

    def fail_return(self, now: Ticks, reason: str) -> list[Action]:
        """Records that the unit cannot return to service; `reason` is a sentence."""
        self.fault = reason
        self._transition(AgentInput.FAILED, now)
        return self._pop_actions()

    # Internal steps.

    def _awaits_confirmation(self) -> bool:
        return self.state in (AgentState.CONFIRMING, AgentState.CONFIRMING_COLD)

    def _pop_actions(self) -> list[Action]:
        actions = self.actions
        self.actions = []
        return actions

    def _handle_confirmation(
        self, pending: PendingCommand, confirmed: bool, is_late: bool, now: Ticks
    ) -> None:
        """Handles the reply to a begin command."""
        if not self._awaits_confirmation() or pending.fencing_token != self.fencing_token:
            return
        # If the process was suspended, the reply may have expired meanwhile: check the clock.
        if is_late or now > self.permit_until:
            self._transition(AgentInput.EXPIRED, now)
        else:
            self._transition(AgentInput.CONFIRMED if confirmed else AgentInput.REJECTED, now)

    def _handle_order(
        self, order: dict[str, Any], sent_at: Ticks, is_late: bool, now: Ticks
    ) -> None:
        """Handles an order from the reply to a command that was sent at `sent_at`."""
        name = order["do"]
        fencing_token = order["fence"]
        if name == OrderName.BEGIN:
            self._handle_permit(order, sent_at, is_late, now)
        elif fencing_token == self.fencing_token or (
            fencing_token > self.fencing_token
            and self.state in (AgentState.IN_SERVICE, AgentState.RETURNING)
        ):
            self.fencing_token = fencing_token
            if name == OrderName.RETURN:
                self.target_build = order["build"]
            self._transition(name, now)

    def _handle_permit(
        self, order: dict[str, Any], sent_at: Ticks, is_late: bool, now: Ticks
    ) -> None:
        """Requests confirmation to begin, unless the order is late or its token or epoch is old."""
        fencing_token = order["fence"]
        plan = order["plan"]
        epoch = order["epoch"]
        if (
            self.state not in (AgentState.IN_SERVICE, AgentState.RETURNING)
            or is_late
            or fencing_token <= self.last_spent_token
            or epoch < self.plan_epochs.get(plan, 0)
        ):
            return
        self.plan_epochs.pop(plan, None)
        if len(self.plan_epochs) >= MAX_PLAN_EPOCHS:
            del self.plan_epochs[next(iter(self.plan_epochs))]
        self.plan_epochs[plan] = epoch
        self.fencing_token = fencing_token
        self.epoch = epoch
        self.target_build = order["build"]
        # The remaining time counts from when the command was sent: the reply was written later, so
        # the permit cannot be overestimated.
        remaining = order["left"] - order["left"] * self.settings.drift // 1000
        self.permit_until = sent_at + min(remaining, 2 * self.local_bound())
        self._transition(AgentInput.BEGIN, now)

    def _transition(self, event: str, now: Ticks) -> None:
        """Applies an AgentInput or an order's name; one without a transition changes nothing."""
        transition = AGENT_TRANSITIONS.get((self.state, event))
        if transition is not None:
            self.state = transition.state
            self._effects[transition.effect](now)

    def _propose(
        self, now: Ticks, name: CommandName, fields: dict[str, Any], fencing_token: int = 0
    ) -> None:
        self.last_command_token += 1
        if len(self.pending_commands) >= MAX_PENDING_COMMANDS:
            del self.pending_commands[next(iter(self.pending_commands))]
        self.pending_commands[self.last_command_token] = PendingCommand(now, name, fencing_token)
        command = {"part": PART_NAME, "do": name.value, **fields}
        self.actions.append(ProposeAction(ActionKind.PROPOSE, self.last_command_token, command))

    def _report(self, now: Ticks) -> None:
        report = [REPORTED_STATUS[self.state].value, self.incarnation, self.build]
        self._propose(
            now,
            CommandName.REPORT_UNITS,
            {"as_of": self.last_agreed_time, "units": {self.unit: report}},
        )

    def _request_confirmation(self, now: Ticks) -> None:
        self._propose(
            now,
            CommandName.BEGIN,
            {
                "unit": self.unit,
                "fence": self.fencing_token,
                "epoch": self.epoch,
                "start": self.incarnation,
            },
            self.fencing_token,
        )

    def _start_drain(self) -> None:
        self.last_spent_token = self.fencing_token
        self.actions.append(DrainAction(ActionKind.DRAIN, self.fencing_token, self.target_build))

    def _drain_and_report(self, now: Ticks) -> None:
        self._start_drain()
        self._report(now)

    def _drain_cold(self, now: Ticks) -> None:
        self._start_drain()
        self._report_drained(now)

    def _discard_permit(self, _now: Ticks) -> None:
        self.last_spent_token = self.fencing_token

    def _return_permit(self, now: Ticks) -> None:
        """Reports that the unit did not begin or returns; it may be recorded as unavailable."""
        self.last_spent_token = max(self.last_spent_token, self.fencing_token)
        fields: dict[str, Any] = {"unit": self.unit, "fence": self.fencing_token}
        if self.fault:
            fields["fault"] = self.fault
        self._propose(now, CommandName.RETURN, fields)
        self._report(now)

    def _report_drained(self, now: Ticks) -> None:
        self._propose(
            now, CommandName.REPORT_DRAINED, {"unit": self.unit, "fence": self.fencing_token}
        )

    def _resume_service(self, now: Ticks) -> None:
        self.actions.append(ServeAction(ActionKind.SERVE))
        self._return_permit(now)

    def _start_return(self, now: Ticks) -> None:
        self.actions.append(ReturnAction(ActionKind.RETURN, self.target_build))
        self.fault = None
        self._return_permit(now)

    def _complete_return(self, now: Ticks) -> None:
        self.actions.append(ServeAction(ActionKind.SERVE))
        self._report(now)
