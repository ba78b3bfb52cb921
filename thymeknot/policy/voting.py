"""What the instance votes on the stage of a build, when, and how often."""

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

MIN_LISTED_FRACTION = 0.75  # of a stage's endpoints that must be listed before a vote for promotion
MIN_PROMOTE_OUTCOMES = 20  # of the newest build in a stage, without which only time promotes
MAX_WARMUP_WAIT = (
    3 * TICKS_PER_SECOND
)  # ticks after an endpoint's start that are waited for at most
QUIET_PERIOD = (
    5 * TICKS_PER_SECOND // 2
)  # ticks without doubt, after which little evidence promotes
QUIET_PERIODS_AFTER_FAILURES = 2  # times that, where failures were seen
VOTE_BURST_SPAN = 2 * TICKS_PER_SECOND  # ticks of votes that the platform takes at once
SLOWDOWN_TOLERANCE = 5 * TICKS_PER_SECOND  # ticks: slowness of all may pass
SLOWDOWN_TOLERANCE_IN_PLACE = 12 * TICKS_PER_SECOND  # ticks, where machines are replaced meanwhile
MAX_AWAITED_PERIODS = 3  # periods of the platform's counts, after which no more are waited for
SLOWDOWN_ABORT_RATIO = 1.1  # of the bound: all are slow, and the newest build is blamed for it
MAX_RENEWAL_AGE_RATIO = 0.8  # of a vote's lifetime, after which it is renewed at the latest
MIN_RETRY_DELAY = TICKS_PER_SECOND // 5  # ticks before a vote that was turned away is cast again
RESPONSE_GRACE = TICKS_PER_SECOND // 10  # ticks beyond the time-out that an answer is waited for


class VoteEvidence(NamedTuple):
    """What a vote goes by, for the log."""

    attempts: int
    """Ended attempts to the newest build, as this instance saw them."""
    failed: int
    """Those of them that failed and count."""
    excluded: Mapping[str, int]
    """Those of them that are no evidence, by reason."""
    judged: int
    """Outcomes of this stage in the test, with the platform's counts."""
    sums: Mapping[Symptom, float]
    bounds: Mapping[Symptom, float]
    null_rates: Mapping[Symptom, float]
    all_slow: float


class Voting:
    """The vote of this instance.

    Attributes:
        vote: the vote that stands; None if none does.
        vote_cast_at: when it was cast.
        asked: the vote that was cast last, answered or not.
        next_check_at: when to look again whether to vote.
        offset: ticks after the others' first votes at which this instance's turn is.
        met: when the endpoints of the newest build were first seen to have started, by address.
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
        """Draws the instance's turn: the first fit into what the platform takes at once."""
        turn = max(0.0, self.context.rng.draw() * self.fleet_vote_span - VOTE_BURST_SPAN)
        self.turn_offset = turn - min(self.staggered_span, self.warmup_wait) / 2
        self._aborting = False

    def verdict(self) -> Verdict:
        """What the instance says of the newest build now."""
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
        """The test's doubt, or that from slowness of all, which may pass or be the load's."""
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
        """Whether the stage's endpoints are listed and warm, and it is this instance's turn.

        A list that lags hides the endpoints to judge. One that starts again, as after a lost zone,
        was met before.
        """
        context, settings = self.context, self.context.settings
        newest_endpoints = [known.listed for known in context.by_build[True]]
        start_times = [
            self.first_started.setdefault(listed.address, listed.started)
            for listed in newest_endpoints
        ]
        # Where machines are replaced the earlier build's leave late.
        expected_endpoints = (
            self.baseline.earlier_endpoint_count
            if settings.replaces_machines
            else len(context.by_build[False])
        )
        # In the last stage the earlier build's leave: endpoints must be warm, and counted.
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
            and self.fleet.fleet_baseline.lacks(warm_at, context.now, MAX_AWAITED_PERIODS)
        )
        return enough_listed and not counts_missing and context.now >= warm_at + self.turn_offset

    def _passes_test(self) -> bool:
        """Whether the test is passed, or nothing was found for a while.

        An instance with little traffic never sees enough.
        """
        remaining_sums, test = self.test.sums_without_worst_endpoint, self.test
        if max(remaining_sums.values()) < PROMOTE_BOUND and test.outcomes >= MIN_PROMOTE_OUTCOMES:
            return True
        quiet_periods = 1 if remaining_sums[Symptom.FAILED] <= 0 else QUIET_PERIODS_AFTER_FAILURES
        return self.context.now >= test.below_pause_since + (
            self.turn_offset + QUIET_PERIOD * quiet_periods
        )

    def upkeep(self) -> None:
        """Votes, when it is time to look."""
        if self.context.release and self.context.now >= self.next_check_at:
            self.cast()

    def cast(self) -> None:
        """Casts, renews and withdraws the vote; an unanswered one is cast again."""
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
        """Whether the platform is to be told: the vote changed, lapses, or is to be withdrawn."""
        age, vote = self.context.now - self.vote_cast_at, self.vote
        is_standing = vote is not None and age < self.context.settings.vote_lifetime
        if new_vote.verdict != Verdict.ABSTAIN:
            return not (is_standing and vote == new_vote and age < self.renewal_age)
        if vote is None or not is_standing or vote.build != new_vote.build:
            return False
        stage_changed = vote.stage != new_vote.stage or release.phase != ReleasePhase.ON_TRIAL
        return not (vote.verdict == Verdict.PROMOTE and stage_changed)  # then it binds nothing

    def handle_response(self, update: ReleaseUpdate) -> None:
        """What was turned away, or unanswered, is cast again, not in step with other instances."""
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
    """A vote's line for those on call."""
    tests = "".join(
        f"{symptom} {sums[symptom]:+.1f} over {null_rates[symptom]:.2f}, " for symptom in sums
    )
    return (
        f"vote {vote.verdict} on build {vote.build} stage {vote.stage}: "
        f"{tests}all slow {all_slow:+.1f}, {outcomes} seen"
    )
