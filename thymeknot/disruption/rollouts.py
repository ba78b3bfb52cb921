"""Releases in waves, and their rollbacks.

A release gives its units a build, wave by wave. It requests permits like any other plan and has no
capacity of its own, so a wave can't exceed a budget. A wave is finished when each of its units is
ready with the build or set aside with a reason. In a gated release the next wave begins only after
the decision module's verdict `on` for the finished one. The verdict `back` halts the release and,
with automatic rollback, starts its rollback.

A rollback can be ordered in every state except ROLLED_BACK. Units that have only requested or been
granted a permit stay in service. Units that are draining or out are recalled with
the earlier build. Units that are ready with the new build are disrupted once more, with a permit
and within the same budgets. Units that can't return are set aside with the reason and not waited
for; ordering the rollback again retries them.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..interface.clock import TICKS_PER_SECOND
from .fleet import Fleet
from .halts import Halts
from .permits import PermitInput, PermitRequest, PermitState, Unit
from .release import (
    ENDED_STATES,
    PLAN_PREFIX,
    RELEASE_TRANSITIONS,
    ROLLBACK_STATES,
    Release,
    ReleaseEffect,
    ReleaseInput,
    ReleaseState,
)
from .scheduler import explain_blocked

MAX_RELEASES = 64
# Pending permit requests per release, so that it leaves room in the queue for other plans.
MAX_PENDING_REQUESTS = 256
# A unit is set aside after it has let this many permits lapse.
MAX_LAPSED_PERMITS = 5


class UnitProgress(NamedTuple):
    """The progress of a unit in a release or its rollback.

    Attributes:
        is_awaited: Whether the wave or rollback waits for the unit.
        reason: Why the unit is set aside, or None.
        needs_permit: Whether a permit is to be requested for the unit.
        is_recovered: Whether an earlier reason for setting the unit aside no longer applies.
    """

    is_awaited: bool
    reason: str | None = None
    needs_permit: bool = False
    is_recovered: bool = False


class Rollouts:
    """All releases, and the steps that they take in each round."""

    def __init__(self, fleet: Fleet, halts: Halts) -> None:
        self.fleet = fleet
        self.halts = halts
        self.by_name: dict[str, Release] = {}
        self.last_number = 0
        self._effects: dict[ReleaseEffect, Callable[[Release], None]] = {
            ReleaseEffect.REQUEST_PERMITS: self._wait_for_next_round,
            ReleaseEffect.WITHDRAW_PERMITS: self._withdraw_permits,
            ReleaseEffect.ROLL_BACK: self._begin_rollback,
            ReleaseEffect.FINISH: self._withdraw_permits,
        }

    def get_units(self, release: Release) -> list[Unit]:
        """Returns the units of a release that are still declared, in the order of the release."""
        units = self.fleet.units
        return [units[name] for name in release.members if name in units]

    def sorted_by_number(self) -> list[Release]:
        """Returns all releases, ordered by number."""
        return sorted(self.by_name.values(), key=lambda release: release.number)

    def add(
        self,
        *,
        name: str,
        epoch: int,
        members: list[str],
        build: str,
        earlier_build: str,
        waves: list[int],
        gated: bool,
        auto_rollback: bool,
        urgency: int,
    ) -> Release:
        """Adds a release, replacing an ended one of the same name; it starts in the next round."""
        self.last_number += 1
        release = Release(
            name=name,
            epoch=epoch,
            members=members,
            build=build,
            earlier_build=earlier_build,
            waves=waves,
            gated=gated,
            auto_rollback=auto_rollback,
            urgency=urgency,
            started_at=self.fleet.at,
            number=self.last_number,
        )
        self.by_name.pop(release.name, None)
        self.by_name[release.name] = release
        return release

    def make_room(self) -> bool:
        """Drops the oldest ended release if there are too many.

        Returns whether there is room for one more.
        """
        if len(self.by_name) >= MAX_RELEASES:
            oldest_ended = min(
                (
                    release
                    for release in self.by_name.values()
                    if release.state in (ReleaseState.DONE, ReleaseState.ROLLED_BACK)
                ),
                key=lambda release: release.number,
                default=None,
            )
            if oldest_ended is None:
                return False
            del self.by_name[oldest_ended.name]
        return True

    def find_conflicting(self, release: Release | None, members: set[str]) -> Release | None:
        """Returns the first unfinished release that has one of these units, or None.

        Args:
            release: Only releases before this one are considered; None: all are.
            members: Names of units.
        """
        for other in self.sorted_by_number():
            if (
                other is not release
                and other.name != (release and release.name)
                and other.state not in ENDED_STATES
                and (release is None or other.number < release.number)
                and not members.isdisjoint(other.members)
            ):
                return other
        return None

    def find_requester(self, request: PermitRequest | None) -> Release | None:
        """Returns the release that made a request, or None."""
        if request is None or not request.plan.startswith(PLAN_PREFIX):
            return None
        return self.by_name.get(request.plan[len(PLAN_PREFIX) :])

    def transition(self, release: Release, event: ReleaseInput) -> bool:
        """Applies an input by RELEASE_TRANSITIONS; returns False if it has no transition."""
        transition = RELEASE_TRANSITIONS.get((release.state, event))
        if transition is None:
            return False
        release.state = transition.state
        self._effects[transition.effect](release)
        return True

    def _wait_for_next_round(self, release: Release) -> None:
        """Does nothing now: permits are requested in the next round."""

    def _withdraw_permits(self, release: Release) -> None:
        """Withdraws the release's requests and its unused permits."""
        for unit in self.get_units(release):
            if unit.request and unit.request.plan == release.plan:
                self._withdraw_unit(unit)

    def _begin_rollback(self, release: Release) -> None:
        release.last_known_halt = self.halts.last_number
        release.set_aside = {}
        for unit in self.get_units(release):
            unit.lapsed_permits = 0
            if unit.request and unit.request.plan == release.plan:
                self._withdraw_unit(unit)
                if unit.state in (
                    PermitState.DRAINING,
                    PermitState.OUT_OF_SERVICE,
                    PermitState.RETURNING,
                ):
                    self._recall_unit(unit, release)

    def _withdraw_unit(self, unit: Unit) -> None:
        if unit.state in (PermitState.REQUESTED, PermitState.GRANTED):
            self.fleet.transition(unit, PermitInput.REVOKED)

    def _recall_unit(self, unit: Unit, release: Release) -> None:
        """Recalls a disrupted unit with the earlier build.

        A unit that is already disrupted for a rollback continues, since it returns with that build.
        """
        request = unit.granted_request
        if not request.rollback:
            request.build = release.earlier_build
            unit.fault = ""
            self.fleet.transition(unit, PermitInput.REVOKED)

    def advance_releases(self) -> None:
        """Takes the next step of each release, at ticks and after commands that affect releases."""
        for release in self.sorted_by_number():
            if release.state == ReleaseState.WAITING and not self.find_conflicting(
                release, set(release.members)
            ):
                self.transition(release, ReleaseInput.UNITS_FREE)
            self._apply_halts(release)
            if release.state == ReleaseState.RUNNING:
                self._advance_rollout(release)
            elif release.state == ReleaseState.ROLLING_BACK:
                self._advance_rollback(release)

    def _apply_halts(self, release: Release) -> None:
        """Halts or resumes a release according to the halts in force."""
        labels = [unit.labels for unit in self.get_units(release)]
        halt = self.halts.find_halt_of_release(release, labels, release.state in ROLLBACK_STATES)
        self.transition(release, ReleaseInput.HALTED if halt else ReleaseInput.RESUMED)

    def _request_permit(self, release: Release, unit: Unit, rollback: bool) -> None:
        build = release.earlier_build if rollback else release.build
        request = PermitRequest(
            self.fleet.at, release.urgency, release.plan, release.epoch, rollback, build
        )
        self.fleet.transition(unit, PermitInput.REQUESTED, request)

    def _count_available_requests(self, release: Release) -> int:
        """Returns how many more permits a release may request now."""
        plan = release.plan
        return MAX_PENDING_REQUESTS - sum(
            unit.granted_request.plan == plan for unit in self.fleet.requesting.values()
        )

    def _advance_rollout(self, release: Release) -> None:
        available_requests = self._count_available_requests(release)
        is_waiting = False
        for unit in self.get_units(release)[: release.waves[release.wave]]:
            progress = self._assess_unit(release, unit)
            if progress.reason:
                release.set_aside[unit.name] = progress.reason
            elif progress.is_recovered:
                release.set_aside.pop(unit.name, None)
            is_waiting = is_waiting or progress.is_awaited
            if progress.needs_permit and available_requests > 0:
                self._request_permit(release, unit, False)
                available_requests -= 1
        if is_waiting:
            return
        if release.waves[release.wave] >= len(release.members):
            self.transition(release, ReleaseInput.FINISHED)
        elif not release.gated or release.approved_waves > release.wave:
            release.wave += 1

    def _assess_unit(self, release: Release, unit: Unit) -> UnitProgress:
        """Returns the progress of a unit in a running release."""
        at = self.fleet.at
        settings = self.fleet.settings
        is_in_service = unit.state == PermitState.IN_SERVICE
        is_ready = unit.is_ready(at, settings.silent)
        if not is_in_service or (is_ready and unit.build != release.build):
            if is_in_service and unit.lapsed_permits >= MAX_LAPSED_PERMITS:
                return UnitProgress(False, _describe_lapses(unit))
            overdue = self._explain_overdue(unit)
            if overdue:
                return UnitProgress(False, overdue)
            return UnitProgress(True, needs_permit=is_in_service, is_recovered=True)
        if is_ready:
            return UnitProgress(False, is_recovered=True)
        if at - max(unit.state_entered_at, unit.ready_at, release.started_at) > settings.home:
            return UnitProgress(False, "is " + unit.describe_unavailability(at, settings.silent))
        # Not yet seen ready since its return, or silent for a short time.
        return UnitProgress(True)

    def _explain_overdue(self, unit: Unit) -> str | None:
        """Returns why a disrupted unit is no longer waited for, or None."""
        settings = self.fleet.settings
        age = self.fleet.at - unit.state_entered_at
        seconds = age // TICKS_PER_SECOND
        if unit.state == PermitState.RETURNING and (unit.fault or age > settings.home):
            return unit.fault or f"was called back {seconds} s ago and was not seen ready"
        if unit.state in (PermitState.DRAINING, PermitState.OUT_OF_SERVICE) and age > settings.hold:
            return f"is {unit.state} for {seconds} s"
        return None

    def _advance_rollback(self, release: Release) -> None:
        available_requests = self._count_available_requests(release)
        is_waiting = False
        set_aside: dict[str, str] = {}
        for unit in self.get_units(release):
            progress = self._assess_rollback(release, unit)
            if progress.reason:
                set_aside[unit.name] = progress.reason
            is_waiting = is_waiting or progress.is_awaited
            if progress.needs_permit and available_requests > 0:
                self._request_permit(release, unit, True)
                available_requests -= 1
        release.set_aside = set_aside
        if not is_waiting:
            self.transition(
                release,
                ReleaseInput.ROLLBACK_BLOCKED if set_aside else ReleaseInput.ROLLBACK_FINISHED,
            )

    def _assess_rollback(self, release: Release, unit: Unit) -> UnitProgress:
        """Returns the progress of a unit in the rollback of a release."""
        at = self.fleet.at
        settings = self.fleet.settings
        has_build = unit.build == release.build
        if unit.state == PermitState.IN_SERVICE and has_build:
            if unit.lapsed_permits >= MAX_LAPSED_PERMITS:
                is_ready = unit.is_ready(at, settings.silent)
                readiness = (
                    "ready" if is_ready else unit.describe_unavailability(at, settings.silent)
                )
                return UnitProgress(False, f"{_describe_lapses(unit)}; it is {readiness}")
            return UnitProgress(True, needs_permit=True)
        request = unit.request
        if request is None or request.plan != release.plan:
            if unit.state == PermitState.IN_SERVICE or not has_build:
                return UnitProgress(False)
            reason = f"is {unit.state} by {unit.granted_request.plan}"
            return UnitProgress(at - unit.state_entered_at <= settings.home, reason)
        if unit.state == PermitState.REQUESTED:
            # A crashed unit may start again. So the reason is reported at once, but the unit is
            # still waited for, as long as a returning one.
            blocked_reason = explain_blocked(self.fleet, unit)
            return UnitProgress(
                not blocked_reason or at - request.requested_at <= settings.home, blocked_reason
            )
        overdue = self._explain_overdue(unit)
        return UnitProgress(not overdue and unit.state != PermitState.IN_SERVICE, overdue)

    def to_plain(self) -> list[Any]:
        """Returns the releases in their snapshot form."""
        return [self.last_number, [release.to_plain() for release in self.sorted_by_number()]]

    def load(self, plain: list[Any]) -> None:
        """Replaces all releases by those of a snapshot."""
        self.last_number = plain[0]
        self.by_name = {release["name"]: Release.from_plain(release) for release in plain[1]}


def _describe_lapses(unit: Unit) -> str:
    return f"was granted {unit.lapsed_permits} times and did not begin"
