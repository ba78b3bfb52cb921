"""Commands on releases: start a release, roll it back, vote on a wave."""

from collections.abc import Callable
from typing import Any

from ..interface.clock import TICKS_PER_SECOND
from .budgets import ROUNDING_TOLERANCE
from .commands import StartReleaseCommand, Verdict, VoteCommand
from .fleet import Fleet
from .halts import Halt, HaltCause
from .release import ENDED_STATES, ROLLBACK_STATES, Release, ReleaseInput, ReleaseState
from .replies import ReleaseReply, VotedBackReply, VoteReply
from .rollouts import Rollouts
from .targets import CommandRejectedError, matches, parse_selector

MAX_WAVES = 64
# Ticks until a retry makes sense while another release has the same units.
RELEASE_RETRY_TICKS = 10 * TICKS_PER_SECOND
# Ticks until a retry makes sense while there is no room for another release.
CAPACITY_RETRY_TICKS = 60 * TICKS_PER_SECOND


def start_release(rollouts: Rollouts, command: StartReleaseCommand) -> ReleaseReply:
    """Adds a release, or returns the state of the release if the command is a repeat.

    Raises:
        CommandRejectedError: The release can't be started, or can't be started now.
    """
    name = command.release
    existing = rollouts.by_name.get(name)
    if existing:
        _check_successor(existing, command)
        if command.epoch == existing.epoch:
            return ReleaseReply(name, existing.state.value)
    if command.build == command.earlier:
        raise CommandRejectedError(
            f"build {command.build} is the earlier one too: there is nothing to release", [name]
        )
    members = _select_members(rollouts.fleet, command)
    waves = _parse_waves(command.waves, len(members))
    other = rollouts.find_conflicting(None, set(members))
    if other and not command.wait:
        raise _make_conflict_error(other)
    if not rollouts.make_room():
        raise CommandRejectedError(
            "too many releases are under way", retry_after=CAPACITY_RETRY_TICKS
        )
    release = rollouts.add(
        name=name,
        epoch=command.epoch,
        members=members,
        build=command.build,
        earlier_build=command.earlier,
        waves=waves,
        gated=command.gate,
        auto_rollback=command.auto,
        urgency=command.urgency,
    )
    return ReleaseReply(
        release=name,
        state=release.state.value,
        units=len(members),
        waves=waves,
        waits=f"release {other.name} goes first" if other else None,
    )


def _make_conflict_error(other: Release) -> CommandRejectedError:
    """Returns the rejection for a release whose units another release has."""
    activity = "on its way back" if other.state in ROLLBACK_STATES else other.state
    return CommandRejectedError(
        f"release {other.name} is {activity} with the same units; ask again after it, or with wait",
        [other.name],
        RELEASE_RETRY_TICKS,
    )


def _check_successor(existing: Release, command: StartReleaseCommand) -> None:
    """Checks that a command repeats the release of the same name or may replace it.

    Raises:
        CommandRejectedError: It does neither.
    """
    name = command.release
    if command.epoch < existing.epoch:
        raise CommandRejectedError(
            f"epoch {command.epoch} of release {name} is over; it is {existing.epoch} now", [name]
        )
    if command.epoch == existing.epoch:
        if (existing.build, existing.earlier_build) != (command.build, command.earlier):
            raise CommandRejectedError(
                f"release {name} of epoch {command.epoch} is of build {existing.build}; "
                "a new one needs a higher epoch",
                [name],
            )
    elif existing.state not in ENDED_STATES:
        raise CommandRejectedError(
            f"release {name} is {existing.state}; its way back goes first",
            [name],
            RELEASE_RETRY_TICKS,
        )


def _select_members(fleet: Fleet, command: StartReleaseCommand) -> list[str]:
    """Returns the names of a release's units, in the order in which they are disrupted.

    The order interleaves racks. Otherwise the units that request permits at the same time would be
    in a few racks, whose budgets allow only a few disruptions at once.
    """
    selector = parse_selector(command.where)
    members = [name for name, unit in sorted(fleet.units.items()) if matches(selector, unit.labels)]
    if not members:
        raise CommandRejectedError(f"release {command.release} chooses no unit", [command.release])
    units_by_rack: dict[str | None, int] = {}
    position_in_rack: dict[str, int] = {}
    for name in members:
        rack = fleet.units[name].labels.get("rack")
        units_by_rack[rack] = units_by_rack.get(rack, 0) + 1
        position_in_rack[name] = units_by_rack[rack]
    members.sort(key=lambda name: (position_in_rack[name], name))
    return members


def _parse_waves(shares: list[Any], count: int) -> list[int]:
    """Converts rising shares up to 1 into the cumulative number of `count` units per wave.

    Raises:
        CommandRejectedError: The shares do not rise, or the last one is not 1.
    """
    if not 0 < len(shares) <= MAX_WAVES or any(
        isinstance(share, bool) or not isinstance(share, int | float) or not 0 < share <= 1
        for share in shares
    ):
        raise CommandRejectedError("waves are 1 to 64 shares over 0, up to 1")
    if sorted(set(shares)) != shares or shares[-1] != 1:
        raise CommandRejectedError("waves are rising shares of all units, and the last is 1")
    return sorted({max(1, int(share * count + ROUNDING_TOLERANCE)) for share in shares})


def roll_back_release(rollouts: Rollouts, name: str, epoch: int | None) -> ReleaseReply:
    """Rolls a release back.

    Raises:
        CommandRejectedError: There is no such release, nothing to roll back, or another release
            has some of the units.
    """
    release = rollouts.by_name.get(name)
    if release is None:
        raise CommandRejectedError(f"no release {name}", [name])
    if epoch is not None and epoch < release.epoch:
        raise CommandRejectedError(
            f"epoch {epoch} of release {name} is over; it is {release.epoch} now", [name]
        )
    if release.state in ENDED_STATES:
        other = rollouts.find_conflicting(None, set(release.members))
        if other:
            raise CommandRejectedError(
                f"release {other.name} is {other.state} with units of {name}: it goes first",
                [other.name],
                RELEASE_RETRY_TICKS,
            )
    if not rollouts.transition(release, ReleaseInput.ROLLBACK_ORDERED):
        raise CommandRejectedError(
            f"release {name} is {release.state}: there is nothing to bring back", [name]
        )
    return ReleaseReply(name, release.state.value)


def apply_vote(
    rollouts: Rollouts, command: VoteCommand, enforce_halt: Callable[[Halt], None]
) -> VoteReply | VotedBackReply:
    """Applies the decision module's verdict on a wave of a release.

    `on` approves the next wave. `hold` withdraws that approval if the wave has not begun. `back`
    halts the release and, with automatic rollback, rolls it back.

    Args:
        rollouts: All releases.
        command: The verdict.
        enforce_halt: Withdraws the unused permits that a new halt holds.

    Raises:
        CommandRejectedError: The release, its epoch or its wave is not the current one, or the
            release is in a state in which it can't be voted back.
    """
    release = rollouts.by_name.get(command.release)
    if release is None or command.epoch != release.epoch:
        raise CommandRejectedError(
            f"no release {command.release} of epoch {command.epoch}", [command.release]
        )
    if command.verdict == Verdict.ROLL_BACK:
        return _apply_rollback_vote(rollouts, release, command.why, enforce_halt)
    if command.wave != release.wave:
        raise CommandRejectedError(
            f"release {release.name} is in wave {release.wave}, the vote is on wave {command.wave}",
            [release.name],
        )
    approved = command.verdict == Verdict.CONTINUE
    release.approved_waves = command.wave + 1 if approved else command.wave
    return VoteReply(release.state.value, release.wave)


def _apply_rollback_vote(
    rollouts: Rollouts, release: Release, reason: str | None, enforce_halt: Callable[[Halt], None]
) -> VotedBackReply:
    if release.state not in (ReleaseState.RUNNING, ReleaseState.HALTED):
        raise CommandRejectedError(
            f"release {release.name} is {release.state}: there is nothing to turn", [release.name]
        )
    halt = rollouts.halts.add(
        rollouts.fleet.at,
        HaltCause.VOTE,
        reason or "the decision module voted back",
        "vote",
        release=release.name,
    )
    enforce_halt(halt)
    rollouts.transition(release, ReleaseInput.HALTED)
    if release.auto_rollback:
        rollouts.transition(release, ReleaseInput.ROLLBACK_ORDERED)
    bound = rollouts.fleet.settings.halt_bound()
    return VotedBackReply(release.state.value, halt.number, bound)
