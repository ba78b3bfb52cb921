"""The replicated state machine of disruptions, to which the entries of the log are applied.

It is deterministic: its only time is `at`, it uses no randomness, and it iterates in the order of
names and numbers. Commands are mappings as decoded by `command_reader`, replies are mappings as
encoded by `replies`. No content of a command makes it raise. A rejected command changes nothing
beyond the effects of the passage of time, except that a rejected begin ends its permit.
"""

from collections.abc import Callable
from typing import Any

from . import scheduler
from .budgets import BudgetUsage
from .command_reader import (
    MAX_QUOTED_LENGTH,
    is_name_or_empty,
    is_non_negative_integer,
    parse_command,
    read_fields,
)
from .commands import (
    BeginCommand,
    CancelCommand,
    Command,
    CommandName,
    DeclareCommand,
    HaltCommand,
    ReportDrainedCommand,
    ReportReadyCommand,
    ReportUnitsCommand,
    RequestPermitCommand,
    ResumeCommand,
    ReturnCommand,
    RollBackCommand,
    StartReleaseCommand,
    StatusCommand,
    TickCommand,
    VoteCommand,
)
from .declaration import read_declaration
from .fleet import Fleet
from .halts import Halt, HaltCause, Halts
from .permit_commands import PermitCommands
from .permits import (
    PERMITTED_STATES,
    STATUS_BY_VALUE,
    PermitInput,
    PermitState,
    Unit,
    UnitStatus,
)
from .plan_epochs import PlanEpochs
from .release import PLAN_PREFIX, ReleaseState
from .release_commands import apply_vote, roll_back_release, start_release
from .replies import (
    AcceptedReply,
    CalledBackReply,
    DeclareReply,
    HaltReply,
    ReleaseReply,
    Reply,
    ReportReply,
    ResumeReply,
    StatusReply,
    UnitReply,
    UnitStatusReply,
    VotedBackReply,
    VoteReply,
    encode_fields,
    encode_rejection,
)
from .rollouts import Rollouts
from .status import describe_unit, make_order, report_status
from .targets import CommandRejectedError, matches, parse_selector

# Names of unknown or malformed reports that a reply lists.
MAX_INVALID_NAMES_SHOWN = 8
# Commands after which each release takes its next step.
RELEASE_ROUND_COMMANDS = (
    CommandName.TICK,
    CommandName.HALT,
    CommandName.RESUME,
    CommandName.ROLL_BACK,
    CommandName.START_RELEASE,
    CommandName.VOTE,
    CommandName.CANCEL,
)


class DisruptionStateMachine:
    """Units, budgets, permits, halts and releases, which only commands change.

    Attributes:
        fleet: Units and budgets.
        halts: The halts in force.
        releases: All releases.
        plans: The epochs of plans.
        permit_commands: Applies the commands on the permit of one unit.
        epoch: Epoch of the newest declaration.
    """

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.halts = Halts()
        self.releases = Rollouts(self.fleet, self.halts)
        self.plans = PlanEpochs(self.fleet)
        self.permit_commands = PermitCommands(self.fleet, self.plans, self.explain_hold)
        self.epoch = 0
        self._handlers: dict[type[Command], Callable[[Any], Reply]] = {
            DeclareCommand: self._declare,
            ReportUnitsCommand: self._report_units,
            RequestPermitCommand: self._request_permit,
            TickCommand: self._tick,
            BeginCommand: self._begin,
            ReportDrainedCommand: self._report_drained,
            ReturnCommand: self._return,
            ReportReadyCommand: self._report_ready,
            HaltCommand: self._halt,
            ResumeCommand: self._resume,
            RollBackCommand: self._roll_back,
            StartReleaseCommand: self._start_release,
            VoteCommand: self._vote,
            CancelCommand: self._cancel,
            StatusCommand: self._status,
        }

    def apply(self, at: Any, command: Any) -> dict[str, Any]:
        """Applies a command and returns its reply.

        Args:
            at: Agreed time of the command; time does not go back if it is earlier than the last.
            command: The command as a mapping.
        """
        fleet = self.fleet
        if is_non_negative_integer(at):
            fleet.advance_time(at)
        name = None
        reply: Reply | None = None
        try:
            parsed_name, parsed = parse_command(command)
            reply = self._handlers[type(parsed)](parsed)
            name = parsed_name
            encoded = {"ok": True, **encode_fields(reply)}
        except CommandRejectedError as rejection:
            encoded = encode_rejection(rejection)
        self._apply_consequences(name)
        if isinstance(reply, UnitReply):
            encoded.update(
                encode_fields(describe_unit(fleet, fleet.units[reply.unit], self.explain_hold))
            )
        encoded["at"] = fleet.at
        return encoded

    def read(self, command: Any) -> tuple[CommandName, dict[str, Any]]:
        """Checks a command without applying it, and returns its name and fields.

        Raises:
            CommandRejectedError: The command is malformed.
        """
        return read_fields(command)

    def explain_hold(self, unit: Unit) -> str | None:
        """Returns the description of a halt that holds a unit's request, or None."""
        halt = self.halts.find_halt_of_request(unit, self.releases.find_requester(unit.request))
        return halt.describe() if halt else None

    # Consequences of every command.

    def _apply_consequences(self, name: CommandName | None) -> None:
        """Halts where a budget was exceeded, advances releases and grants permits that fit."""
        fleet = self.fleet
        exceeded = fleet.newly_exceeded
        fleet.newly_exceeded = []
        for usage in sorted(exceeded, key=lambda usage: usage.name):
            self._halt_exceeded_budget(usage)
        self.halts.end_halts_of_restored_budgets(fleet)
        if name in RELEASE_ROUND_COMMANDS or exceeded:
            self.releases.advance_releases()
        if fleet.capacity_freed or name == CommandName.TICK:
            scheduler.grant_permits(fleet, self.explain_hold)

    def _halt_exceeded_budget(self, usage: BudgetUsage) -> None:
        """Halts the units of a budget that crashes exceeded, until the budget is restored.

        Running releases with units in the budget are halted until an operator resumes them.
        """
        reason = scheduler.describe_usage(self.fleet, usage)
        ordered_by = "budget " + usage.name
        try:
            self._enforce_halt(
                self.halts.add(
                    self.fleet.at,
                    HaltCause.BUDGET,
                    reason,
                    ordered_by,
                    selector=usage.selector,
                    budget=usage.name,
                )
            )
            for release in list(self.releases.by_name.values()):
                units = self.releases.get_units(release)
                if release.state == ReleaseState.RUNNING and any(
                    matches(usage.selector, unit.labels) for unit in units
                ):
                    self._enforce_halt(
                        self.halts.add(
                            self.fleet.at,
                            HaltCause.CRASHES,
                            reason,
                            ordered_by,
                            release=release.name,
                        )
                    )
        except CommandRejectedError:
            pass  # too many halts are in force, but an exceeded budget grants nothing anyway

    def _enforce_halt(self, _halt: Halt) -> None:
        """Ends the unused permits that a new halt blocks.

        Agents that don't learn of the halt stop after their bound, since no begin is confirmed.
        """
        for unit in [
            unit for unit in self.fleet.permitted.values() if unit.state == PermitState.GRANTED
        ]:
            if self.explain_hold(unit):
                self.fleet.transition(unit, PermitInput.HALTED)

    # Command handlers.

    def _declare(self, command: DeclareCommand) -> DeclareReply:
        if command.epoch < self.epoch:
            raise CommandRejectedError(
                f"a declaration of epoch {command.epoch} is older than that of epoch {self.epoch}"
            )
        declaration = read_declaration(self.fleet, command)
        self.fleet.declare(declaration.units, declaration.budgets)
        self.epoch = command.epoch
        self.fleet.settings = declaration.settings
        return DeclareReply(
            len(declaration.units), len(declaration.budgets), declaration.settings.to_plain()
        )

    def _report_units(self, command: ReportUnitsCommand) -> ReportReply:
        """Records reports. The reply names those of undeclared units and those in another form."""
        if command.as_of > self.fleet.at:
            raise CommandRejectedError(
                f"as_of {command.as_of} is ahead of agreed time {self.fleet.at}"
            )
        self.fleet.last_report_at = self.fleet.at
        orders: dict[str, Any] = {}
        invalid_names = []
        for name, report in sorted(command.units.items(), key=lambda pair: str(pair[0])):
            unit = self.fleet.units.get(name)
            if unit is None or not _is_report(report):
                invalid_names.append(str(name)[:MAX_QUOTED_LENGTH])
                continue
            status, start, build = report
            self.fleet.record_report(unit, command.as_of, STATUS_BY_VALUE[status], start, build)
            if unit.state in PERMITTED_STATES and unit.start == start:
                orders[name] = make_order(self.fleet, unit).to_plain()
        return ReportReply(orders, invalid_names[:MAX_INVALID_NAMES_SHOWN] or None)

    def _report_ready(self, command: ReportReadyCommand) -> ReportReply:
        self.fleet.get_unit(command.unit)
        report = [UnitStatus.READY.value, command.start, command.build]
        return self._report_units(ReportUnitsCommand(command.as_of, {command.unit: report}))

    def _request_permit(self, command: RequestPermitCommand) -> UnitReply:
        return self.permit_commands.request(command)

    def _begin(self, command: BeginCommand) -> UnitReply:
        return self.permit_commands.begin(command)

    def _report_drained(self, command: ReportDrainedCommand) -> UnitReply:
        return self.permit_commands.record_drained(command)

    def _return(self, command: ReturnCommand) -> UnitReply:
        return self.permit_commands.record_return(command)

    def _cancel(self, command: CancelCommand) -> UnitReply:
        return self.permit_commands.cancel(command)

    def _tick(self, _command: TickCommand) -> AcceptedReply:
        return AcceptedReply()

    def _halt(self, command: HaltCommand) -> HaltReply:
        if (command.where is None) == (command.release is None):
            raise CommandRejectedError(
                "a halt is of a release or of where a selector says: {} is all"
            )
        if command.release is not None and command.release not in self.releases.by_name:
            raise CommandRejectedError(f"no release {command.release}", [command.release])
        selector = parse_selector(command.where) if command.where is not None else None
        halt = self.halts.add(
            self.fleet.at,
            command.cause,
            command.why,
            command.by,
            selector=selector,
            release=command.release,
        )
        self._enforce_halt(halt)
        return HaltReply(halt.number, self.fleet.settings.halt_bound())

    def _resume(self, command: ResumeCommand) -> ResumeReply:
        halt = self.halts.by_number.pop(command.halt, None)
        if halt is None:
            numbers = ", ".join(map(str, sorted(self.halts.by_number)))
            raise CommandRejectedError(
                f"no halt {command.halt} stands; there are {numbers or 'none'}"
            )
        self.fleet.capacity_freed = True
        return ResumeReply(halt.describe(), sorted(self.halts.by_number))

    def _roll_back(self, command: RollBackCommand) -> ReleaseReply | CalledBackReply:
        targets = (command.release, command.unit, command.plan)
        if sum(name is not None for name in targets) != 1:
            raise CommandRejectedError("back is of one release, unit or plan")
        if command.release is not None:
            return roll_back_release(self.releases, command.release, command.epoch)
        if command.unit is not None:
            units = [self.fleet.get_unit(command.unit)]
        else:
            units = [
                unit
                for unit in [*self.fleet.requesting.values(), *self.fleet.permitted.values()]
                if unit.granted_request.plan == command.plan
            ]
        for unit in units:
            if unit.request and unit.request.plan.startswith(PLAN_PREFIX):
                raise CommandRejectedError(
                    f"unit {unit.name} is {unit.state} by {unit.request.plan}: "
                    "bring the release back",
                    [unit.request.plan],
                )
        if command.plan is not None and command.epoch is not None:
            self.plans.accept_epoch(command.plan, command.epoch)
        return CalledBackReply(
            sorted(unit.name for unit in units if self.fleet.transition(unit, PermitInput.REVOKED))
        )

    def _start_release(self, command: StartReleaseCommand) -> ReleaseReply:
        return start_release(self.releases, command)

    def _vote(self, command: VoteCommand) -> VoteReply | VotedBackReply:
        return apply_vote(self.releases, command, self._enforce_halt)

    def _status(self, command: StatusCommand) -> StatusReply | UnitStatusReply:
        if command.unit is not None:
            unit = self.fleet.get_unit(command.unit)
            return UnitStatusReply(unit.name, describe_unit(self.fleet, unit, self.explain_hold))
        selector = parse_selector(command.where or {})
        return report_status(self.fleet, self.halts, self.releases, selector, self.explain_hold)

    def read_status(self, unit: str | None, where: dict[str, Any] | None) -> dict[str, Any]:
        """Returns the fields of a status reply. Changes nothing, so it can answer a read."""
        return encode_fields(self._status(StatusCommand(unit, where)))

    # Snapshots.

    def image(self) -> dict[str, Any]:
        """Returns a snapshot of plain values, which is the same for the same history."""
        return {
            "fleet": self.fleet.to_plain(),
            "halts": self.halts.to_plain(),
            "releases": self.releases.to_plain(),
            "epoch": self.epoch,
            "plans": self.plans.to_plain(),
        }

    def load(self, image: dict[str, Any]) -> None:
        """Replaces the state by that of a snapshot."""
        self.fleet.load(image["fleet"])
        self.halts.load(image["halts"])
        self.releases.load(image["releases"])
        self.epoch = image["epoch"]
        self.plans.load(image["plans"])


def _is_report(report: Any) -> bool:
    """Returns whether a unit's report has the form `[status, start, build]`."""
    return (
        isinstance(report, list)
        and len(report) == 3
        and isinstance(report[0], str)
        and report[0] in STATUS_BY_VALUE
        and is_non_negative_integer(report[1])
        and is_name_or_empty(report[2])
    )
