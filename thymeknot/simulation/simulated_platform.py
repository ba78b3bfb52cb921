"""The release platform of a simulated day: offers, stages, votes, counts, and news of them."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from ..interface.actions import CastVote
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome, ReleasePhase, Verdict
from ..interface.events import FleetCounts, ReleaseUpdate
from .day_results import CourseEvent
from .invariants import Phase
from .random_streams import Stream
from .scenarios import Offer
from .server_fleet import FIRST_BUILD
from .servers import Build
from .simulated_requests import SimulatedAttempt

if TYPE_CHECKING:
    from .simulator import Simulator

ANSWER_DELAY: Ticks = 500  # one way of a call
SILENT_CALLS = 0.0  # sizes of the fault of calls
REFUSED_CALLS = 1.0
BURST_SECONDS = 2  # of votes, that are taken at once
WITHDRAWN_AFTER = 2 * TICKS_PER_SECOND  # ticks from the begin of a way back
BOOT_MARGIN = TICKS_PER_SECOND  # ticks that a stage's clock waits beyond the slowest start
ZONE_RETRY = TICKS_PER_SECOND  # ticks until a start in a lost zone is tried again
SHARE_GAIN = 0.002  # of the moving mean of the newest build's part of the attempts

PHASES = {
    ReleasePhase.ON_TRIAL: Phase.TRIAL,
    ReleasePhase.ROLLING_BACK: Phase.BACK,
    ReleasePhase.RELEASED: Phase.RELEASED,
    ReleasePhase.WITHDRAWN: Phase.WITHDRAWN,
}
OPEN_PHASES = (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED)


class ReleaseState(NamedTuple):
    """How the newest build stands."""

    build: int
    stage: int
    phase: ReleasePhase
    cap: float
    """Share of the requests that may go to it."""


class StandingVote(NamedTuple):
    """An instance's latest vote."""

    verdict: Verdict
    at: Ticks


class CountedAttempts:
    """Attempts of a build and class in a period.

    Attributes:
        seen: How many ended.
        failed: Those that failed.
        took: Ticks that the others took in all.
    """

    __slots__ = ("failed", "seen", "took")

    def __init__(self) -> None:
        self.seen = 0
        self.failed = 0
        self.took: Ticks = 0


class CountsRow(NamedTuple):
    """What is told of a build and class."""

    build: int
    lane: str
    attempts: int
    failed: int
    latency: Ticks
    """Mean of those that did not fail."""


class SimulatedPlatform:
    """Offers builds and moves them by the instances' votes.

    Attributes:
        world: The day that is played.
        state: How the newest build stands.
        builds: All builds, by number.
        trial_share: A moving mean of the newest build's part of the attempts.
        news_delay: By how much news come later than usual.
        calls_down: The size of the fault of calls; None while there is none.
    """

    def __init__(self, world: "Simulator", samples: Stream) -> None:
        """Begins with a build that is released.

        Args:
            world: The day that is played.
            samples: Draws which attempts are counted, and the lags of counts.
        """
        day = world.day
        self.world = world
        last = len(day.terms.stage_fractions) - 1
        self.state = ReleaseState(FIRST_BUILD, last, ReleasePhase.RELEASED, 1.0)
        self.builds = {FIRST_BUILD: Build(FIRST_BUILD)}
        self.trial_share = 0.0
        self.news_delay: Ticks = 0
        self.calls_down: float | None = None
        self._samples = samples
        self._votes: dict[int, StandingVote] = {}
        self._moved_at: Ticks = 0
        self._calls: float = BURST_SECONDS * day.terms.votes_per_second
        self._calls_at: Ticks = 0
        self._counted: dict[tuple[int, str], CountedAttempts] = {}

    def _turn_to(self, phase: ReleasePhase, cap: float) -> None:
        self.state = self.state._replace(phase=phase, cap=cap)

    # News.

    def announce(self) -> None:
        """Has news of the state reach each instance a while later."""
        world = self.world
        for instance in range(world.day.instances):
            lag = world.day.news_lag * (0.5 + world.misc.random()) + self.news_delay
            world.at(world.now + int(lag), self.told, instance, self.state)

    def told(
        self,
        instance: int,
        state: ReleaseState,
        answers: bool = False,
        outcome: Outcome = Outcome.DONE,
    ) -> None:
        """News reach an instance, unless it is cut off.

        Args:
            instance: Whom.
            state: The state as it was when they were sent.
            answers: Whether they answer a vote.
            outcome: How that call ended.
        """
        world = self.world
        if not world.runs(instance) or world.is_off_platform(instance):
            return
        if outcome == Outcome.DONE:
            self.note_told(instance, state)
        world.tell(instance, _update(state, answers, outcome))

    def give_known(self, instance: int) -> None:
        """Gives an instance that starts the present state."""
        self.world.tell(instance, _update(self.state, False, Outcome.DONE))

    def note_told(self, instance: int, state: ReleaseState) -> None:
        """Has the checker know what an instance is told."""
        self.world.checker.cap(
            self.world.now,
            instance,
            state.build,
            state.cap,
            state.stage,
            phase=PHASES[state.phase],
        )

    # Counts.

    def count_share(self, build: int) -> None:
        """Counts an attempt in the newest build's part of them."""
        self.trial_share += SHARE_GAIN * ((build == self.state.build) - self.trial_share)

    def slowness(self) -> float:
        """Returns the factor by which the newest build slows all servers."""
        shared = 0.0
        if self.state.phase in OPEN_PHASES:
            shared = self.builds[self.state.build].shared
        return 1 + shared * self.trial_share

    def sample(self, attempt: SimulatedAttempt, outcome: Outcome) -> None:
        """Counts a part of the attempts when they end."""
        day = self.world.day
        if self._samples.next() >= day.tally_share:
            return
        counted = self._counted.setdefault((attempt.build, attempt.lane), CountedAttempts())
        counted.seen += 1
        if outcome == Outcome.DONE:
            counted.took += self.world.now - attempt.sent_at
        else:
            counted.failed += 1

    def end_period(self) -> None:
        """Tells each instance a while later what was counted."""
        world = self.world
        rows = [
            CountsRow(
                build,
                lane,
                counted.seen,
                counted.failed,
                round(counted.took / max(1, counted.seen - counted.failed)),
            )
            for (build, lane), counted in sorted(self._counted.items())
        ]
        self._counted = {}
        for instance in range(world.day.instances):
            lag = int(world.day.tally_lag * (0.95 + 0.1 * self._samples.next()))
            world.at(world.now + lag, self._told_counts, instance, rows, world.now)
        if world.now < world.day.span:
            world.at(world.now + world.day.tally_every, self.end_period)

    def _told_counts(self, instance: int, rows: Sequence[CountsRow], end: Ticks) -> None:
        if self.world.is_off_platform(instance) or self.calls_down is not None:
            return  # it is not told again
        for row in rows:
            self.world.tell(instance, FleetCounts(*row, self.world.now - end))

    # Offers and stages.

    def offer(self, offer: Offer) -> None:
        """Offers a build. One that is still on trial is taken off."""
        world = self.world
        if self.state.phase == ReleasePhase.ON_TRIAL:
            self._roll_back()
        self.builds[offer.build] = Build(
            offer.build,
            offer.fails,
            slow=offer.slow,
            after=offer.after,
            load=offer.load,
            shared=offer.shared,
        )
        self.trial_share = 0.0
        self.state = ReleaseState(offer.build, 0, ReleasePhase.ON_TRIAL, world.day.caps[0])
        self._votes = {}
        if offer.good:
            world.results.newest_good = offer.build
        world.results.add_course(world.now, offer.build, CourseEvent.OFFERED)
        self._begin_stage()

    def _begin_stage(self) -> None:
        world, day = self.world, self.world.day
        build, stage = self.state.build, self.state.stage
        world.results.add_course(world.now, build, CourseEvent.STAGE)
        self.announce()
        wanted = max(1, round(day.terms.stage_fractions[stage] * day.pods))
        running = sum(pod.build.number == build for pod in world.servers.pods.values())
        places = range(running, wanted)
        spread = day.boot_spread
        boots = [int(day.boot * (1 - spread + 2 * spread * world.misc.random())) for _ in places]
        for place, boot in zip(places, boots, strict=True):
            world.at(world.now + boot, self._boot, build, place)
        waits = max(boots, default=0) + BOOT_MARGIN if day.machines_first else 0
        self._moved_at = world.now + waits
        world.at(self._moved_at + day.stage_least, self._count_votes, build, stage)

    def _boot(self, build: int, place: int) -> None:
        world = self.world
        if self.state.build != build or self.state.phase not in OPEN_PHASES:
            return
        if world.servers.zone_of(place) in world.servers.lost_zones:
            world.at(world.now + ZONE_RETRY, self._boot, build, place)
            return
        world.servers.start(f"p{place}-{build}", place, self.builds[build])

    def _release(self) -> None:
        world, build = self.world, self.state.build
        self._turn_to(ReleasePhase.RELEASED, 1.0)
        world.results.released.append(build)
        world.results.add_course(world.now, build, CourseEvent.RELEASED)
        self.announce()
        if world.day.drain_after:
            world.at(world.now + world.day.drain_after, self._drain_earlier, build)
        else:
            self._drain_earlier(build)

    def _drain_earlier(self, build: int) -> None:
        """The servers of earlier builds go, unless the released one has been sent back since."""
        if self.state.build > build or self.state.phase == ReleasePhase.RELEASED:
            self.world.servers.drain(lambda pod: pod.build.number < build)

    def _roll_back(self) -> None:
        world, build = self.world, self.state.build
        world.results.add_course(world.now, build, CourseEvent.BACK)
        self._turn_to(ReleasePhase.ROLLING_BACK, 0.0)
        self.announce()
        # Where the earlier servers have left, others of the earlier build start first.
        earlier = world.servers.up(lambda pod: pod.build.number < build)
        last = max((number for number in self.builds if number < build), default=FIRST_BUILD)
        for place in range(len(earlier), world.day.pods):
            world.servers.start(f"p{place}-{build}r", place, self.builds[last])
        world.servers.drain(lambda pod: pod.build.number == build)
        world.at(world.now + WITHDRAWN_AFTER, self._withdraw, build)

    def _withdraw(self, build: int) -> None:
        if self.state.build == build and self.state.phase == ReleasePhase.ROLLING_BACK:
            self._turn_to(ReleasePhase.WITHDRAWN, 0.0)
            self.announce()

    # Votes.

    def vote(self, instance: int, life: int, vote: CastVote) -> None:
        """A vote reaches the platform; the instance is told a while later what came of it."""
        world, asked = self.world, self.world.results.votes_asked
        cut_off = world.lives[instance] != life or world.is_off_platform(instance)
        if cut_off or self.calls_down == SILENT_CALLS:
            wait = world.day.terms.vote_timeout
            world.at(world.now + wait, self._told_vote, instance, life, Outcome.TIMED_OUT)
            return
        asked["asked"] += 1
        if not self._takes_call():
            asked["full"] += 1
            world.at(world.now + ANSWER_DELAY, self._told_vote, instance, life, Outcome.REJECTED)
            return
        fits = self._fits(vote)
        if fits:
            self._votes[instance] = StandingVote(vote.verdict, world.now)
            self._count_votes(vote.build, self.state.stage)
        else:
            asked["moot"] += 1
        outcome = Outcome.DONE if fits else Outcome.NOT_SENT
        world.at(world.now + ANSWER_DELAY, self._told_vote, instance, life, outcome)

    def _takes_call(self) -> bool:
        """Returns whether one more call fits into the platform's rate, and counts it."""
        world = self.world
        rate = world.day.terms.votes_per_second
        earned = (world.now - self._calls_at) * rate / TICKS_PER_SECOND
        self._calls = min(BURST_SECONDS * rate, self._calls + earned)
        self._calls_at = world.now
        if self._calls < 1 or self.calls_down == REFUSED_CALLS:
            return False
        self._calls -= 1
        return True

    def _fits(self, vote: CastVote) -> bool:
        state = self.state
        return (
            vote.build == state.build
            and (vote.stage == state.stage or vote.verdict == Verdict.ABORT)
            and state.phase in OPEN_PHASES
        )

    def _told_vote(self, instance: int, life: int, outcome: Outcome) -> None:
        if self.world.lives[instance] == life:
            self.told(instance, self.state, True, outcome)

    def _count_votes(self, build: int, stage: int) -> None:
        """Moves the build, if the votes that stand say so."""
        world, day, state = self.world, self.world.day, self.state
        if (build, stage) != (state.build, state.stage) or state.phase not in OPEN_PHASES:
            return
        verdicts = [
            vote.verdict
            for vote in self._votes.values()
            if world.now - vote.at <= day.terms.vote_lifetime
        ]
        needed = max(1, day.advance or day.instances // 2)
        if verdicts.count(Verdict.ABORT) >= day.terms.votes_to_revert:
            world.results.sent_back.append(build)
            self._roll_back()
        elif (
            state.phase == ReleasePhase.ON_TRIAL
            and verdicts.count(Verdict.PROMOTE) >= needed
            and world.now >= self._moved_at + day.stage_least
        ):
            self._votes = {}
            self._promote()

    def _promote(self) -> None:
        following = self.state.stage + 1
        caps = self.world.day.caps
        if following >= len(caps):
            self._release()
            return
        self.state = self.state._replace(stage=following, cap=caps[following])
        self._begin_stage()


def _update(state: ReleaseState, answers: bool, outcome: Outcome) -> ReleaseUpdate:
    return ReleaseUpdate(state.build, state.stage, state.phase, answers, outcome, state.cap, 0)
