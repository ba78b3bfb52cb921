"""Decides which vote the instance casts on the build on trial, and when to cast or renew it."""

from collections.abc import Mapping
from typing import NamedTuple

from ..interface.actions import CastVote, LogNote
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome, PromotionMode, ReleasePhase, Verdict
from ..interface.events import ReleaseUpdate
from ..interface.reasons import Reason
from ..state.endpoint_state import age_at_fraction
from .baseline import MIN_OUTCOMES, Baseline
from .context import MIN_UPKEEP_INTERVAL, DecisionContext, Release
from .fleet_evidence import FleetEvidence
from .global_slowdown import GlobalSlowdown
from .sequential_test import (
    ALTERNATIVE_FAILED_RATIO,
    MIN_FAILED_RATE,
    PAUSE_RATIO,
    PROMOTE_BOUND,
    SequentialTest,
    Symptom,
)
from .trial_evidence import MIN_WARMUP_FRACTION

# Minimum fraction of a stage's endpoints that must be listed before a vote for promotion.
MIN_LISTED_FRACTION = 0.75
# With fewer outcomes of the newest build in a stage, it is promoted after a quiet period only.
MIN_PROMOTE_OUTCOMES = 20
# Maximum wait for an endpoint to warm up, in ticks after its start.
MAX_WARMUP_WAIT = 3 * TICKS_PER_SECOND
# Ticks without evidence against a build after which little evidence is enough to promote it.
QUIET_PERIOD = 5 * TICKS_PER_SECOND // 2
QUIET_PERIODS_AFTER_FAILURES = 2  # quiet periods required if failures were seen
# Votes that the platform accepts in one burst, as ticks of its voting rate.
VOTE_BURST_SPAN = 2 * TICKS_PER_SECOND
# Ticks that a global slowdown may last before the newest build is blamed: it may be transient.
SLOWDOWN_TOLERANCE = 5 * TICKS_PER_SECOND
# The same if machines are replaced in place, which reduces the capacity meanwhile.
SLOWDOWN_TOLERANCE_IN_PLACE = 12 * TICKS_PER_SECOND
# Counting periods without counts from the platform after which none are awaited.
MAX_AWAITED_PERIODS = 3
# Evidence ratio (1 aborts) assigned when the newest build is blamed for a global slowdown.
SLOWDOWN_ABORT_RATIO = 1.1
MAX_RENEWAL_AGE_RATIO = 0.8  # of a vote's lifetime: the latest age at which it is renewed
MIN_RETRY_DELAY = TICKS_PER_SECOND // 5  # ticks before a rejected vote is cast again
RESPONSE_GRACE = TICKS_PER_SECOND // 10  # ticks to wait for a response beyond the vote timeout


class VoteEvidence(NamedTuple):
    """The evidence behind a vote, for the log.

    The fields have the names of the log event's keys.
    """

    attempts: int
    """Attempts to the newest build that ended on this instance."""
    failed: int
    """Attempts that failed and count as evidence."""
    excluded: Mapping[str, int]
    """Attempts that do not count as evidence, by reason."""
    judged: int
    """Outcomes of this stage in the sequential test, including those the platform counted."""
    sums: Mapping[Symptom, float]
    """Log likelihood ratios."""
    bounds: Mapping[Symptom, float]
    """Sums above which the build is aborted."""
    null_rates: Mapping[Symptom, float]
    """Expected rates if the build is as good as the earlier one."""
    all_slow: float
    """Evidence of a global slowdown."""


class Voting:
    """Casts, renews and withdraws this instance's vote on the newest build.

    Attributes:
        vote: The vote that the platform has accepted; None if there is none.
        vote_cast_at: When the platform accepted it.
        last_cast: The vote cast last, whether or not the platform responded.
        next_check_at: When to check again whether a vote is due.
        turn_offset: Ticks by which this instance's vote for promotion is staggered; negative for
            the first votes, which may come before the endpoints have warmed up.
        first_started: The start time under which each endpoint of the newest build was first
            listed, by address.
        warmup_wait: Ticks after its start until an endpoint is warm enough to be evaluated.
        fleet_vote_span: Ticks that the platform needs to take one vote of every instance.
        staggered_span: The part of it over which votes beyond the burst are spread.
        renewal_age: Age at which an accepted vote is renewed, in ticks.
    """

    def __init__(
        self,
        context: DecisionContext,
        test: SequentialTest,
        baseline: Baseline,
        slowdown: GlobalSlowdown,
        fleet: FleetEvidence,
    ) -> None:
        self.context = context
        self.test = test
        self.baseline = baseline
        self.slowdown = slowdown
        self.fleet = fleet
        settings = context.settings
        self.warmup_wait = age_at_fraction(MIN_WARMUP_FRACTION, settings, MAX_WARMUP_WAIT)
        self.fleet_vote_span = int(
            settings.instances / settings.votes_per_second * TICKS_PER_SECOND
        )
        self.staggered_span = max(0, self.fleet_vote_span - VOTE_BURST_SPAN)
        self.renewal_age = min(
            MAX_RENEWAL_AGE_RATIO * settings.vote_lifetime,
            max(settings.vote_lifetime // 2, self.fleet_vote_span),
        )
        self.vote: CastVote | None = None
        self.vote_cast_at: Ticks = 0
        self.last_cast: CastVote | None = None
        self.next_check_at: Ticks = context.now
        self.turn_offset = 0.0
        self.first_started: dict[str, Ticks] = {}
        self._aborting = False

    def start_stage(self) -> None:
        """Draws this instance's turn at random; the first turns fit into the platform's burst."""
        turn = max(0.0, self.context.rng.draw() * self.fleet_vote_span - VOTE_BURST_SPAN)
        self.turn_offset = turn - min(self.staggered_span, self.warmup_wait) / 2
        self._aborting = False

    def verdict(self) -> Verdict:
        """Returns the instance's current verdict on the newest build.

        Once above the abort bound, the verdict stays ABORT until the evidence ratio falls to
        PAUSE_RATIO or below.
        """
        context = self.context
        release = context.release
        assert release is not None
        ratio = self._evidence_ratio()
        self._aborting = ratio > 1 or (self._aborting and ratio > PAUSE_RATIO)
        if self._aborting:
            return Verdict.ABORT if context.newest_accepts_requests() else Verdict.ABSTAIN
        if release.phase != ReleasePhase.ON_TRIAL:
            return Verdict.ABSTAIN
        if context.settings.promotion_mode == PromotionMode.TIMER:
            return Verdict.PAUSE if ratio > PAUSE_RATIO else Verdict.ABSTAIN
        if ratio > PAUSE_RATIO or not self._stage_is_ready(release):
            return Verdict.ABSTAIN
        return Verdict.PROMOTE if self._passes_test() else Verdict.ABSTAIN

    def _evidence_ratio(self) -> float:
        """Returns the test's evidence ratio, raised while a global slowdown lasts.

        A slowdown holds the build (ratio 1) until it has lasted for the tolerated time, as it may
        be transient or caused by the load. It does not count if the earlier build fails by itself
        and nothing speaks against the newest one.
        """
        now, test, baseline = self.context.now, self.test, self.baseline
        ratio, since = test.evidence_ratio, self.slowdown.since
        errors = baseline.errors.total(now)
        outcomes = baseline.outcomes.total(now)
        earlier_build_fails = errors >= max(
            MIN_OUTCOMES, ALTERNATIVE_FAILED_RATIO * MIN_FAILED_RATE * outcomes
        )
        if since is None or (earlier_build_fails and test.sums[Symptom.FAILED] <= 0):
            return ratio
        in_place = self.context.settings.replaces_machines
        tolerance_passed = now >= since + (
            SLOWDOWN_TOLERANCE_IN_PLACE if in_place else SLOWDOWN_TOLERANCE
        )
        is_slow = self.slowdown.evidence > test.abort_bounds[Symptom.SLOW]
        return max(ratio, SLOWDOWN_ABORT_RATIO if tolerance_passed and is_slow else 1.0)

    def _stage_is_ready(self, release: Release) -> bool:
        """Returns whether the stage's endpoints are listed and warm and this instance may vote.

        A lagging endpoint list hides endpoints that must be evaluated. An endpoint that restarts,
        for example after a zone was lost, keeps the start time under which it was first listed.
        """
        context, settings = self.context, self.context.settings
        newest_endpoints = [known.listed for known in context.by_build[True]]
        start_times = [
            self.first_started.setdefault(listed.address, listed.started)
            for listed in newest_endpoints
        ]
        # In-place replacement removes the earlier build's endpoints late, so their current number
        # does not tell how many there were.
        expected_endpoints = (
            self.baseline.earlier_endpoint_count
            if settings.replaces_machines
            else len(context.by_build[False])
        )
        # After the last stage the earlier build's endpoints leave, so the newest build's must be
        # fully warm and the platform must have counted them.
        is_last_stage = release.stage + 1 >= len(settings.stage_fractions)
        fraction = settings.stage_fractions[-1 if is_last_stage else release.stage]
        enough_listed = len(start_times) >= max(
            1, int(MIN_LISTED_FRACTION * fraction * expected_endpoints)
        )
        warm_at = max(start_times, default=0) + (
            settings.warmup_duration if is_last_stage else self.warmup_wait
        )
        counts_missing = (
            is_last_stage
            and context.is_large_fleet()
            and self.fleet.fleet_baseline.awaits_counts(warm_at, context.now, MAX_AWAITED_PERIODS)
        )
        return enough_listed and not counts_missing and context.now >= warm_at + self.turn_offset

    def _passes_test(self) -> bool:
        """Returns whether the test accepts the build, or found nothing during the quiet period.

        The quiet period serves instances with little traffic, which never see enough outcomes.
        """
        remaining_sums, test = self.test.sums_without_worst_endpoint, self.test
        if max(remaining_sums.values()) < PROMOTE_BOUND and test.outcomes >= MIN_PROMOTE_OUTCOMES:
            return True
        quiet_periods = 1 if remaining_sums[Symptom.FAILED] <= 0 else QUIET_PERIODS_AFTER_FAILURES
        return self.context.now >= test.below_pause_since + (
            self.turn_offset + QUIET_PERIOD * quiet_periods
        )

    def upkeep(self) -> None:
        """Casts a vote if one is due."""
        if self.context.release and self.context.now >= self.next_check_at:
            self.cast()

    def cast(self) -> None:
        """Casts, renews or withdraws the vote; a vote without a response is cast again."""
        context, test = self.context, self.test
        release = context.release
        assert release is not None
        new_vote = CastVote(release.build, release.stage, self.verdict())
        if not self._is_due(new_vote, release):
            return
        if self.last_cast != new_vote and new_vote.verdict in (Verdict.PAUSE, Verdict.ABORT):
            text = describe_vote(
                new_vote, test.sums, test.null_rates, self.slowdown.evidence, test.outcomes
            )
            context.actions.append(LogNote(text))
        context.explain(Reason.VOTED, *new_vote, test.evidence_ratio, test.outcomes)
        self.last_cast = new_vote
        self.next_check_at = context.now + context.settings.vote_timeout + RESPONSE_GRACE
        context.actions.append(new_vote)

    def _is_due(self, new_vote: CastVote, release: Release) -> bool:
        """Returns whether to cast: the vote changed, is about to expire, or must be withdrawn."""
        age, vote = self.context.now - self.vote_cast_at, self.vote
        is_standing = vote is not None and age < self.context.settings.vote_lifetime
        if new_vote.verdict != Verdict.ABSTAIN:
            return not (is_standing and vote == new_vote and age < self.renewal_age)
        if vote is None or not is_standing or vote.build != new_vote.build:
            return False
        stage_changed = vote.stage != new_vote.stage or release.phase != ReleasePhase.ON_TRIAL
        # An accepted vote for promotion has no effect once the stage or phase has changed.
        return not (vote.verdict == Verdict.PROMOTE and stage_changed)

    def handle_response(self, update: ReleaseUpdate) -> None:
        """Records an accepted vote, or schedules the retry of one that was rejected or lost.

        The retry delay is random, so that the instances do not retry in step.
        """
        context = self.context
        delay = MIN_RETRY_DELAY + int(
            context.rng.draw() * max(TICKS_PER_SECOND, self.staggered_span)
        )
        if update.outcome != Outcome.DONE:
            self.next_check_at = context.now + max(delay, TICKS_PER_SECOND)
            return
        self.next_check_at = context.now + MIN_UPKEEP_INTERVAL
        if self.last_cast:
            self.vote = None if self.last_cast.verdict == Verdict.ABSTAIN else self.last_cast
            self.vote_cast_at = context.now


def describe_vote(
    vote: CastVote,
    sums: Mapping[Symptom, float],
    null_rates: Mapping[Symptom, float],
    all_slow: float,
    outcomes: int,
) -> str:
    """Returns the log line that describes a vote to the operators on call."""
    tests = "".join(
        f"{symptom} {sums[symptom]:+.1f} over {null_rates[symptom]:.2f}, " for symptom in sums
    )
    return (
        f"vote {vote.verdict} on build {vote.build} stage {vote.stage}: "
        f"{tests}all slow {all_slow:+.1f}, {outcomes} seen"
    )
