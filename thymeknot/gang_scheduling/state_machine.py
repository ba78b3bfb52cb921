"""The replicated state machine for gang scheduling: applies commands of the log and replies.

`GangStateMachine.apply(now, command)` applies one entry of the log. It uses only the agreed time,
draws no random numbers and makes no decision by floats, so all replicas reach the same state. An
invalid command is rejected with a reason.

A reservation takes all slots of a gang or none, so two gangs cannot each hold a part of their slots
and wait for the rest.
"""

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .commands import (
    AddRack,
    AnyCommand,
    Bind,
    Checkpoint,
    Command,
    CommandRejectedError,
    FencedCommand,
    Finish,
    LossKind,
    OfferGang,
    PlanRemoval,
    Preempt,
    ReplaceWorkers,
    Reply,
    ReportLoss,
    ReportRecovery,
    RequestDrain,
    Reserve,
    SetShare,
    SetUplink,
    Start,
    Tick,
    Withdraw,
)
from .fairness import SHARE_UNITS, Fairness
from .gang_lifecycle import GangLifecycle
from .gang_state import STATES_WITH_SLOTS, GangInput, GangRecord, GangState, Snapshot
from .jobs import ReplacementMethod, validation_error
from .placement_score import add_traffic
from .settings import GangSettings
from .topology import DuplicateMachineError, Topology

MAX_PARSE_ERROR_LENGTH = 200  # characters of a validation error that a reply contains
STALE_RETRY_TICKS = TICKS_PER_SECOND // 100  # scoring again is quick
MIN_DRAIN_RETRY_TICKS = TICKS_PER_SECOND // 10  # minimum retry delay of a waiting drain

_INPUT_OF_METHOD = {
    ReplacementMethod.IN_PLACE: GangInput.REPLACE_IN_PLACE,
    ReplacementMethod.WHOLE: GangInput.REPLACE_WHOLE,
}


class GangStateMachine:
    """The replicated state and its commands. Not thread-safe; each replica has its own instance."""

    def __init__(self, settings: GangSettings | None = None) -> None:
        self.settings = settings or GangSettings()
        self._attach(Snapshot())
        self._handlers: dict[type[Command], Callable[[Any], Reply | None]] = {
            AddRack: self._add_rack,
            SetUplink: self._set_uplink,
            SetShare: self._set_share,
            PlanRemoval: self._plan_removal,
            OfferGang: self._offer_gang,
            Reserve: self._reserve,
            Bind: self._bind,
            Start: self._start,
            Checkpoint: self._checkpoint,
            Finish: self._finish,
            ReplaceWorkers: self._replace_workers,
            Withdraw: self._withdraw,
            Preempt: self._preempt,
            ReportLoss: self._report_loss,
            ReportRecovery: self._report_recovery,
            RequestDrain: self._request_drain,
            Tick: self._tick,
        }

    def _attach(self, state: Snapshot) -> None:
        self.state = state
        self.lifecycle = GangLifecycle(state, self.settings)
        self._fairness = Fairness(state, self.settings)

    # Interface to the replicated log.

    def apply(self, now: Ticks, command: Any) -> Reply:
        """Applies one command; never raises, even for a malformed one.

        Leases expire before the command is parsed, because even an invalid command is an entry of
        the log that advances the agreed time.

        Args:
            now: Agreed time in ticks.
            command: Plain values, normally of one of `AnyCommand`.

        Returns:
            {"ok": True, ...}, or {"refused", "by", "again"}: the reason, the names of what blocks
            the command, and the ticks to wait before a retry.
        """
        try:
            self.state.now = max(self.state.now, now)
            self._expire_leases()
            self._fairness.invalidate()
            parsed: Command = msgspec.convert(command, AnyCommand)
            reply = self._handlers[type(parsed)](parsed)
            return {"ok": True, **(reply or {})}
        except msgspec.ValidationError as error:
            message = str(error)[:MAX_PARSE_ERROR_LENGTH]
            return self._count_rejection(
                CommandRejectedError(f"The command can't be read: {message}.")
            )
        except CommandRejectedError as error:
            return self._count_rejection(error)

    def _count_rejection(self, error: CommandRejectedError) -> Reply:
        self.state.count("refused")
        return error.reply

    def image(self) -> Any:
        """Returns the complete state as plain values, for `load`."""
        return msgspec.to_builtins(self.state)

    def load(self, image: Any) -> None:
        """Replaces the state with one that `image` returned.

        Raises:
            msgspec.ValidationError: The image is not a valid state.
        """
        self._attach(msgspec.convert(image, Snapshot))

    # Queries by schedulers.

    def topology_with_traffic(self) -> Topology:
        """Returns the topology with the traffic of all gangs that run or are being started.

        The result is valid until the next command.
        """
        topology = self.state.topology
        topology.link_traffic.clear()
        for record in self.state.gangs.values():
            if record.state in STATES_WITH_SLOTS and record.state != GangState.DEGRADED:
                add_traffic(topology, record.gang, topology.workers_by_rack(record.placement))
        return topology

    def queue(self) -> list[str]:
        """Returns the queued gangs in scheduling order, without those in backoff."""
        self._fairness.invalidate()
        return self._fairness.queue()

    # Commands for racks and machines.

    def _add_rack(self, command: AddRack) -> None:
        if command.rack in self.state.topology.racks:
            raise CommandRejectedError(f"Rack {command.rack} stands already.")
        try:
            self.state.topology.add_rack(
                command.rack,
                command.zone,
                command.cluster,
                command.bandwidth,
                command.machines,
                machine_bandwidth=command.machine_bandwidth,
            )
        except DuplicateMachineError as error:
            raise CommandRejectedError(str(error)) from None

    def _set_uplink(self, command: SetUplink) -> None:
        self.state.topology.uplinks[command.uplink] = command.bandwidth

    def _set_share(self, command: SetShare) -> None:
        shares = self.state.shares
        others = sum(share for name, share in shares.items() if name != command.publisher)
        total = others + command.thousandths
        if total > SHARE_UNITS:
            raise CommandRejectedError(
                f"The shares of all publishers would be {total} thousandths."
            )
        shares[command.publisher] = command.thousandths

    def _plan_removal(self, command: PlanRemoval) -> None:
        for machine in command.machines:
            self._check_machine(machine)
        for machine in command.machines:
            self.state.topology.host(machine).planned_removal = command.removal_time
            self.state.topology.mark_changed(machine)

    def _report_loss(self, command: ReportLoss) -> Reply:
        if command.kind == LossKind.WORKER:
            return self._report_worker_loss(command)
        topology = self.state.topology
        if command.kind == LossKind.RACK:
            if command.name not in topology.racks:
                raise CommandRejectedError(f"No rack {command.name} stands here.")
            machines = list(topology.racks[command.name].hosts)
        else:
            self._check_machine(command.name)
            machines = [command.name]
        for machine in machines:
            topology.host(machine).lost = True
            topology.mark_changed(machine, empty_capacity_changed=True)
        return {"gangs": self.lifecycle.remove_workers(machines, GangInput.LOST)}

    def _report_worker_loss(self, command: ReportLoss) -> Reply:
        record = self.lifecycle.get(command.gang)
        if not record.placement.get(command.name):
            raise CommandRejectedError(
                f"Gang {command.gang} has no worker on {command.name}.", [command.gang]
            )
        self.lifecycle.transition(command.gang, GangInput.LOST, removed={command.name: 1})
        return {"gangs": [command.gang]}

    def _report_recovery(self, command: ReportRecovery) -> None:
        self._check_machine(command.machine)
        host = self.state.topology.host(command.machine)
        host.lost = False
        host.draining_for = ""
        host.planned_removal = 0
        self.state.topology.mark_changed(command.machine, empty_capacity_changed=True)

    def _request_drain(self, command: RequestDrain) -> Reply:
        """Drains a machine; it accepts no new workers from now on.

        If a gang has to reach its checkpoint first, the command is rejected with a retry time, and
        the machine stays closed to new workers.
        """
        machine = command.machine
        self._check_machine(machine)
        host = self.state.topology.host(machine)
        if host.draining_for and host.draining_for != command.drain:
            raise CommandRejectedError(
                f"Machine {machine} is drain {host.draining_for}'s already.", [host.draining_for]
            )
        host.draining_for = command.drain
        self.state.topology.mark_changed(machine)
        wait_by_gang = {
            name: self._drain_wait(record)
            for name, record in self.state.gangs.items()
            if machine in record.placement and not self._can_drain_now(record, command)
        }
        if wait_by_gang:
            raise CommandRejectedError(
                f"Gang {next(iter(wait_by_gang))} runs on {machine} until its checkpoint.",
                wait_by_gang,
                max(MIN_DRAIN_RETRY_TICKS, *wait_by_gang.values()),
            )
        return {"gangs": self.lifecycle.remove_workers([machine], GangInput.DRAINED)}

    def _can_drain_now(self, record: GangRecord, command: RequestDrain) -> bool:
        """Returns whether a drain may remove a gang's workers from a machine now."""
        if record.state in (GangState.DEGRADED, GangState.RESERVED):
            return True  # it makes no progress, or its workers were not started yet
        if record.state != GangState.RUNNING:
            return False
        placed = sum(record.placement.values())
        missing = record.gang.workers - placed + record.placement[command.machine]
        return record.last_checkpoint == self.state.now or (
            command.use_budget and missing <= record.gang.spare
        )

    def _drain_wait(self, record: GangRecord) -> Ticks:
        """Returns the ticks until a gang's next checkpoint or the expiry of its lease."""
        if record.state == GangState.RUNNING:
            return record.last_checkpoint + record.gang.checkpoint - self.state.now
        return self.state.remaining_lease(record)

    # Commands for gangs.

    def _offer_gang(self, command: OfferGang) -> None:
        name = command.gang
        state = self.state
        if name in state.gangs:
            raise CommandRejectedError(f"Gang {name} is {state.gangs[name].state} already.", [name])
        if name in state.ended:
            raise CommandRejectedError(
                f"Gang {name} was {state.ended[name]}; a new one needs a new name.", [name]
            )
        if message := validation_error(command.job):
            raise CommandRejectedError(message, [name])
        if len(state.gangs) >= self.settings.max_active_gangs:
            raise CommandRejectedError(
                "Too many gangs are here already.", retry_after=self.settings.max_backoff
            )
        capacity = state.topology.empty_capacity(command.job.resource_shape())
        if capacity < command.job.workers:
            raise CommandRejectedError(
                f"All machines together have room for {capacity} of its "
                f"{command.job.workers} workers.",
                [name],
            )
        state.last_number += 1
        state.gangs[name] = GangRecord(command.job, state.last_number, state.now)

    def _reserve(self, command: Reserve) -> Reply:
        name = command.gang
        record = self.lifecycle.get(name)
        if record.state != GangState.OFFERED:
            raise CommandRejectedError(
                f"Gang {name} is {record.state}, not offered.",
                [name],
                self.state.remaining_lease(record),
            )
        if record.backoff_until > self.state.now:
            raise CommandRejectedError(
                f"Gang {name} backs off after {record.failed_leases} tries.",
                [name],
                record.backoff_until - self.state.now,
            )
        _check_complete(name, record, command.placement)
        self._check_capacity(record, command.placement, command.versions)
        self._fairness.check_queue_order(name, record, command.placement)
        record = self.lifecycle.transition(name, GangInput.RESERVE, placement=command.placement)
        return {"fence": record.fence, "until": record.lease_expiry}

    def _bind(self, command: Bind) -> Reply:
        self._check_fence(command)
        return {"until": self.lifecycle.transition(command.gang, GangInput.BIND).lease_expiry}

    def _start(self, command: Start) -> None:
        self._check_fence(command)
        self.lifecycle.transition(command.gang, GangInput.START)

    def _finish(self, command: Finish) -> None:
        self._check_fence(command)
        self.lifecycle.transition(command.gang, GangInput.FINISH)

    def _checkpoint(self, command: Checkpoint) -> Reply:
        """Records a checkpoint and replies what the gang must do next.

        "go on" continues the run, "yield" stops it because the gang was preempted and has lost its
        slots, and "mend" requires that the workers removed by a drain be replaced.
        """
        name = command.gang
        self._check_fence(command)
        record = self.lifecycle.transition(name, GangInput.CHECKPOINT)
        if record.preemption_beneficiary and self.lifecycle.preempt_or_clear(name, record):
            return {"next": "yield"}
        draining = {
            machine: workers
            for machine, workers in record.placement.items()
            if self.state.topology.host(machine).draining_for
        }
        if draining:
            self.lifecycle.transition(name, GangInput.DRAINED, removed=draining)
            return {"next": "mend", "without": sorted(draining), "until": record.lease_expiry}
        return {"next": "go on"}

    def _replace_workers(self, command: ReplaceWorkers) -> Reply:
        name = command.gang
        placement = command.placement
        record = self._check_fence(command)
        if record.state != GangState.DEGRADED:
            raise CommandRejectedError(f"Gang {name} is {record.state}, not hurt.", [name])
        _check_complete(name, record, placement)
        for machine in placement:
            self._check_machine(machine)
        added = {
            machine: workers - record.placement.get(machine, 0)
            for machine, workers in placement.items()
            if workers > record.placement.get(machine, 0)
        }
        self._check_capacity(record, added, command.versions)
        all_stay = all(
            placement.get(machine, 0) >= workers for machine, workers in record.placement.items()
        )
        method = (
            ReplacementMethod.IN_PLACE if record.placement and all_stay else ReplacementMethod.WHOLE
        )
        record = self.lifecycle.transition(name, _INPUT_OF_METHOD[method], placement=placement)
        return {"way": method.value, "fence": record.fence, "until": record.lease_expiry}

    def _withdraw(self, command: Withdraw) -> None:
        self.lifecycle.transition(command.gang, GangInput.WITHDRAW, reason="withdrawn")

    def _preempt(self, command: Preempt) -> Reply:
        """Marks a running gang to be preempted after its next checkpoint.

        A gang that is overdue with this checkpoint by a whole interval is preempted anyway and
        resumes from its last one; otherwise a gang that hangs could never be preempted.
        """
        victim = self.lifecycle.get(command.gang)
        beneficiary = self.lifecycle.get(command.beneficiary)
        self._fairness.check_preemption(command, victim, beneficiary)
        victim.preemption_beneficiary = command.beneficiary
        victim.preemption_deadline = self.state.now + 2 * victim.gang.checkpoint
        return {"until": victim.preemption_deadline}

    def _tick(self, command: Tick) -> None:
        """Does nothing; `apply` has already expired the leases."""

    # Shared rules.

    def _expire_leases(self) -> None:
        self.lifecycle.expire_leases()

    def _check_capacity(
        self, record: GangRecord, placement: Mapping[str, int], versions: Mapping[str, int]
    ) -> None:
        """Checks that a placement fits and that its racks are at the versions that were scored."""
        topology = self.state.topology
        for machine in placement:
            self._check_machine(machine)
        racks = sorted(topology.workers_by_rack(placement))
        if unscored := [name for name in racks if name not in versions]:
            raise CommandRejectedError(f"No version of rack {unscored[0]} was scored.", unscored)
        if stale := [name for name in racks if versions[name] != topology.racks[name].version]:
            raise CommandRejectedError(
                f"Rack {stale[0]} is at version {topology.racks[stale[0]].version}, "
                f"scored at {versions[stale[0]]}.",
                stale,
                STALE_RETRY_TICKS,
            )
        shape = record.gang.resource_shape()
        if full_machines := [
            machine
            for machine, workers in placement.items()
            if topology.host(machine).capacity(shape) < workers
        ]:
            raise CommandRejectedError(
                f"Machine {full_machines[0]} has no room for "
                f"{placement[full_machines[0]]} workers.",
                full_machines,
                self.settings.initial_backoff,
            )

    def _check_fence(self, command: FencedCommand) -> GangRecord:
        """Returns the gang if the command has the fencing token of its latest placement."""
        record = self.lifecycle.get(command.gang)
        if command.fence != record.fence:
            raise CommandRejectedError(
                f"Gang {command.gang} is at fence {record.fence}, not {command.fence}.",
                [command.gang],
            )
        return record

    def _check_machine(self, machine: str) -> None:
        if machine not in self.state.topology.rack_by_machine:
            raise CommandRejectedError(f"No machine {machine} stands here.")


def _check_complete(name: str, record: GangRecord, placement: Mapping[str, int]) -> None:
    placed = sum(placement.values())
    if placed != record.gang.workers:
        raise CommandRejectedError(
            f"All or none: {placed} of {record.gang.workers} workers have a place.", [name]
        )
