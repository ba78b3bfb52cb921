"""What the instance votes on the stage of a build, when, and how often."""

from collections.abc import Mapping
from typing import NamedTuple

from ..interface.actions import CastVote, LogNote
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome, PromotionMode, ReleasePhase, Verdict
from ..interface.events import ReleaseUpdate
from ..interface.reasons import Reason
from ..state.endpoint_state import age_at_fraction
from .baseline import OUTCOMES_LEAST, Baseline
from .context import MIN_UPKEEP_INTERVAL, DecisionContext, Release
from .fleet_evidence import FleetEvidence
from .global_slowdown import GlobalSlowdown
from .sequential_test import (
    FAILED_RATE_LEAST,
    PAUSE_PART,
    PROMOTE_BOUND,
    WORSE_FAILED,
    SequentialTest,
    Symptom,
)
from .trial_evidence import WARM_ENOUGH

LISTED_PART = 0.75  # of a stage's endpoints that must be listed before a vote for promotion
ENOUGH_OUTCOMES = 20  # of the newest build in a stage, without which only time promotes
AFTER_START = 3 * TICKS_PER_SECOND  # ticks after an endpoint's start that are waited for at most
QUIET_FOR = 5 * TICKS_PER_SECOND // 2  # ticks without doubt, after which little evidence promotes
QUIET_TIMES_IN_DOUBT = 2  # times that, where failures were seen
AT_ONCE = 2 * TICKS_PER_SECOND  # ticks of votes that the platform takes at once
TOLERATED_SHARED = 5 * TICKS_PER_SECOND  # ticks: slowness of all may pass
TOLERATED_REPLACED = 12 * TICKS_PER_SECOND  # ticks, where machines are replaced meanwhile
PERIODS_AWAITED = 3  # periods of the platform's counts, after which no more are waited for
SLOW_DOUBT = 1.1  # of the bound: all are slow, and the newest build is blamed for it
RENEWAL_PART = 0.8  # of a vote's lifetime, after which it is renewed at the latest
RETRY_LEAST = TICKS_PER_SECOND // 5  # ticks before a vote that was turned away is cast again
ANSWER_GRACE = TICKS_PER_SECOND // 10  # ticks beyond the time-out that an answer is waited for


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
        self.warm_by = age_at_fraction(WARM_ENOUGH, settings, AFTER_START)
        self.turn_of_all = int(settings.instances / settings.votes_per_second * TICKS_PER_SECOND)
        self.in_turns = max(0, self.turn_of_all - AT_ONCE)
        self.renew_after = min(
            RENEWAL_PART * settings.vote_lifetime,
            max(settings.vote_lifetime // 2, self.turn_of_all),
        )
        self.vote: CastVote | None = None
        self.vote_cast_at: Ticks = 0
        self.asked: CastVote | None = None
        self.next_check_at: Ticks = context.now
        self.offset = 0.0
        self.met: dict[str, Ticks] = {}
        self._aborting = False

    def next_stage(self) -> None:
        """Draws the instance's turn: the first fit into what the platform takes at once."""
        turn = max(0.0, self.context.rng.draw() * self.turn_of_all - AT_ONCE)
        self.offset = turn - min(self.in_turns, self.warm_by) / 2
        self._aborting = False

    def verdict(self) -> Verdict:
        """What the instance says of the newest build now."""
        context = self.context
        release = context.release
        assert release is not None
        doubt = self._doubt()
        self._aborting = doubt > 1 or (self._aborting and doubt > PAUSE_PART)
        if self._aborting:
            return Verdict.ABORT if context.open_to_newest() else Verdict.ABSTAIN
        if release.phase != ReleasePhase.ON_TRIAL:
            return Verdict.ABSTAIN
        if context.settings.promotion_mode == PromotionMode.TIMER:
            return Verdict.PAUSE if doubt > PAUSE_PART else Verdict.ABSTAIN
        if doubt > PAUSE_PART or not self._stage_is_seen(release):
            return Verdict.ABSTAIN
        return Verdict.PROMOTE if self._is_clear() else Verdict.ABSTAIN

    def _doubt(self) -> float:
        """The test's doubt, or that from slowness of all, which may pass or be the load's."""
        now, test, baseline = self.context.now, self.test, self.baseline
        doubt, since = test.evidence_ratio, self.slowdown.since
        errors = baseline.errors.total(now)
        seen = baseline.outcomes.total(now)
        earlier_fails = errors >= max(OUTCOMES_LEAST, WORSE_FAILED * FAILED_RATE_LEAST * seen)
        if since is None or (earlier_fails and test.sums[Symptom.FAILED] <= 0):
            return doubt
        replaced = self.context.settings.replaces_machines
        blamed = now >= since + (TOLERATED_REPLACED if replaced else TOLERATED_SHARED)
        slow = self.slowdown.evidence > test.abort_bounds[Symptom.SLOW]
        return max(doubt, SLOW_DOUBT if blamed and slow else 1.0)

    def _stage_is_seen(self, release: Release) -> bool:
        """Whether the stage's endpoints are listed and warm, and it is this instance's turn.

        A list that lags hides the endpoints to judge. One that starts again, as after a lost zone,
        was met before.
        """
        context, settings = self.context, self.context.settings
        newest = [known.listed for known in context.by_build[True]]
        started = [self.met.setdefault(listed.address, listed.started) for listed in newest]
        # Where machines are replaced the earlier build's leave late.
        places = (
            self.baseline.earlier_endpoints
            if settings.replaces_machines
            else len(context.by_build[False])
        )
        # In the last stage the earlier build's leave: endpoints must be warm, and counted.
        last = release.stage + 1 >= len(settings.stage_fractions)
        fraction = settings.stage_fractions[-1 if last else release.stage]
        listed_enough = len(started) >= max(1, int(LISTED_PART * fraction * places))
        warm_at = max(started, default=0) + (settings.warmup_duration if last else self.warm_by)
        uncounted = (
            last
            and context.is_large_fleet()
            and self.fleet.usual.awaits_counts(warm_at, context.now, PERIODS_AWAITED)
        )
        return listed_enough and not uncounted and context.now >= warm_at + self.offset

    def _is_clear(self) -> bool:
        """Whether the test is passed, or nothing was found for a while.

        An instance with little traffic never sees enough.
        """
        left, test = self.test.sums_without_worst, self.test
        if max(left.values()) < PROMOTE_BOUND and test.outcomes >= ENOUGH_OUTCOMES:
            return True
        times = 1 if left[Symptom.FAILED] <= 0 else QUIET_TIMES_IN_DOUBT
        return self.context.now >= test.clear_since + (self.offset + QUIET_FOR * times)

    def upkeep(self) -> None:
        """Votes, when it is time to look."""
        if self.context.release and self.context.now >= self.next_check_at:
            self.cast()

    def cast(self) -> None:
        """Casts, renews and withdraws the vote; an unanswered one is cast again."""
        context, test = self.context, self.test
        release = context.release
        assert release is not None
        wanted = CastVote(release.build, release.stage, self.verdict())
        if not self._is_due(wanted, release):
            return
        if self.asked != wanted and wanted.verdict in (Verdict.PAUSE, Verdict.ABORT):
            text = describe_vote(
                wanted, test.sums, test.null_rates, self.slowdown.evidence, test.outcomes
            )
            context.actions.append(LogNote(text))
        context.explain(Reason.VOTED, *wanted, test.evidence_ratio, test.outcomes)
        self.asked = wanted
        self.next_check_at = context.now + context.settings.vote_timeout + ANSWER_GRACE
        context.actions.append(wanted)

    def _is_due(self, wanted: CastVote, release: Release) -> bool:
        """Whether the platform is to be told: the vote changed, lapses, or is to be withdrawn."""
        age, vote = self.context.now - self.vote_cast_at, self.vote
        stands = vote is not None and age < self.context.settings.vote_lifetime
        if wanted.verdict != Verdict.ABSTAIN:
            return not (stands and vote == wanted and age < self.renew_after)
        if vote is None or not stands or vote.build != wanted.build:
            return False
        moved = vote.stage != wanted.stage or release.phase != ReleasePhase.ON_TRIAL
        return not (vote.verdict == Verdict.PROMOTE and moved)  # then it binds nothing

    def handle_response(self, update: ReleaseUpdate) -> None:
        """What was turned away, or unanswered, is cast again, not in step with other instances."""
        context = self.context
        pause = RETRY_LEAST + int(context.rng.draw() * max(TICKS_PER_SECOND, self.in_turns))
        if update.outcome != Outcome.DONE:
            self.next_check_at = context.now + max(pause, TICKS_PER_SECOND)
            return
        self.next_check_at = context.now + MIN_UPKEEP_INTERVAL
        if self.asked:
            self.vote = None if self.asked.verdict == Verdict.ABSTAIN else self.asked
            self.vote_cast_at = context.now


def describe_vote(
    vote: CastVote,
    sums: Mapping[Symptom, float],
    rates: Mapping[Symptom, float],
    all_slow: float,
    seen: int,
) -> str:
    """A vote's line for those on call."""
    tests = "".join(f"{what} {sums[what]:+.1f} over {rates[what]:.2f}, " for what in sums)
    return (
        f"vote {vote.verdict} on build {vote.build} stage {vote.stage}: "
        f"{tests}all slow {all_slow:+.1f}, {seen} seen"
    )
