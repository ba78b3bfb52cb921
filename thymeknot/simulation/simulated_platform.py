"""The release platform of a simulated day: offers, stages, votes, counts and release updates."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from ..interface.actions import CastVote
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome, ReleasePhase, Verdict
from ..interface.events import FleetCounts, ReleaseUpdate
from .day_results import RolloutEventKind
from .invariants import RolloutPhase
from .random_streams import Stream
from .scenarios import Offer
from .server_fleet import FIRST_BUILD
from .servers import Build
from .simulated_requests import SimulatedAttempt

if TYPE_CHECKING:
    from .simulator import Simulator

ONE_WAY_CALL_DELAY: Ticks = 500  # of a call to the platform, or of its response
# Values of `call_fault`: calls get no response, or are rejected.
SILENT_CALLS = 0.0
REFUSED_CALLS = 1.0
VOTE_BURST_SECONDS = 2  # capacity of the token bucket for votes, in seconds of its rate
WITHDRAWAL_DELAY = 2 * TICKS_PER_SECOND  # ticks from the start of a rollback
# Ticks from the slowest server start until the time of the stage begins to count.
BOOT_MARGIN = TICKS_PER_SECOND
ZONE_RETRY_DELAY = TICKS_PER_SECOND  # ticks until a server start in a lost zone is retried
TRIAL_RATIO_GAIN = 0.002  # weight of an attempt in the moving average of the newest build's share

CHECKER_PHASES = {
    ReleasePhase.ON_TRIAL: RolloutPhase.TRIAL,
    ReleasePhase.ROLLING_BACK: RolloutPhase.ROLLING_BACK,
    ReleasePhase.RELEASED: RolloutPhase.RELEASED,
    ReleasePhase.WITHDRAWN: RolloutPhase.WITHDRAWN,
}
ACTIVE_PHASES = (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED)


class ReleaseState(NamedTuple):
    """State of the newest build's rollout."""

    build: int
    stage: int
    phase: ReleasePhase
    cap: float
    """Maximum ratio of requests that may go to the build."""


class LatestVote(NamedTuple):
    """An instance's latest vote."""

    verdict: Verdict
    at: Ticks


class CountedAttempts:
    """Counted attempts of one build and request class in one period.

    Attributes:
        finished: Number of attempts that ended.
        failed: Number of attempts that failed.
        total_latency: Total latency of the successful attempts, in ticks.
    """

    __slots__ = ("failed", "finished", "total_latency")

    def __init__(self) -> None:
        self.finished = 0
        self.failed = 0
        self.total_latency: Ticks = 0


class CountsRow(NamedTuple):
    """The counts that instances receive for one build and request class."""

    build: int
    lane: str
    attempts: int
    failed: int
    latency: Ticks
    """Mean latency of the successful attempts."""


class SimulatedPlatform:
    """Offers builds and advances or rolls them back according to the instances' votes.

    Attributes:
        simulator: The running simulation.
        state: State of the newest build's rollout.
        builds: All builds, by number.
        trial_attempt_ratio: Moving average of the newest build's share of the attempts.
        update_delay: Additional delay of release updates, in ticks.
        call_fault: SILENT_CALLS or REFUSED_CALLS during a fault of calls, else None.
    """

    def __init__(self, simulator: "Simulator", sample_draws: Stream) -> None:
        """Starts with the first build released.

        Args:
            simulator: The running simulation.
            sample_draws: Random numbers that select the counted attempts and delay the counts.
        """
        day = simulator.day
        self.simulator = simulator
        last_stage = len(day.settings.stage_fractions) - 1
        self.state = ReleaseState(FIRST_BUILD, last_stage, ReleasePhase.RELEASED, 1.0)
        self.builds = {FIRST_BUILD: Build(FIRST_BUILD)}
        self.trial_attempt_ratio = 0.0
        self.update_delay: Ticks = 0
        self.call_fault: float | None = None
        self._sample_draws = sample_draws
        self._votes: dict[int, LatestVote] = {}
        self._stage_started_at: Ticks = 0
        self._vote_tokens: float = VOTE_BURST_SECONDS * day.settings.votes_per_second
        self._tokens_updated_at: Ticks = 0
        self._counted: dict[tuple[int, str], CountedAttempts] = {}

    def _set_phase(self, phase: ReleasePhase, cap: float) -> None:
        self.state = self.state._replace(phase=phase, cap=cap)

    # Release updates.

    def announce(self) -> None:
        """Sends the state to each instance after a random delay."""
        simulator = self.simulator
        for instance in range(simulator.day.instances):
            lag = (
                simulator.day.mean_release_update_delay * (0.5 + simulator.generator.random())
                + self.update_delay
            )
            simulator.schedule_at(
                simulator.now + int(lag), self.deliver_update, instance, self.state
            )

    def deliver_update(
        self,
        instance: int,
        state: ReleaseState,
        answers_vote: bool = False,
        outcome: Outcome = Outcome.DONE,
    ) -> None:
        """Delivers a release update to an instance, unless it is cut off from the platform.

        Args:
            instance: The receiving instance.
            state: The state at the time of sending.
            answers_vote: Whether the update answers a vote.
            outcome: Outcome of the vote call.
        """
        simulator = self.simulator
        if not simulator.is_running(instance) or simulator.is_cut_off(instance):
            return
        if outcome == Outcome.DONE:
            self.record_update(instance, state)
        simulator.deliver_event(instance, _release_update(state, answers_vote, outcome))

    def send_current_state(self, instance: int) -> None:
        """Sends the current state to a starting instance."""
        self.simulator.deliver_event(instance, _release_update(self.state, False, Outcome.DONE))

    def record_update(self, instance: int, state: ReleaseState) -> None:
        """Records with the checker what an instance learns."""
        self.simulator.checker.record_release_state(
            self.simulator.now,
            instance,
            state.build,
            state.cap,
            state.stage,
            phase=CHECKER_PHASES[state.phase],
        )

    # Counts.

    def update_trial_attempt_ratio(self, build: int) -> None:
        """Updates the moving average of the newest build's share with one more attempt."""
        self.trial_attempt_ratio += TRIAL_RATIO_GAIN * (
            (build == self.state.build) - self.trial_attempt_ratio
        )

    def slowdown_factor(self) -> float:
        """Returns the factor by which the newest build slows all servers."""
        fleet_slowdown = 0.0
        if self.state.phase in ACTIVE_PHASES:
            fleet_slowdown = self.builds[self.state.build].fleet_slowdown
        return 1 + fleet_slowdown * self.trial_attempt_ratio

    def sample_attempt(self, attempt: SimulatedAttempt, outcome: Outcome) -> None:
        """Counts an ended attempt if it is selected for the sample."""
        day = self.simulator.day
        if self._sample_draws.next() >= day.counted_ratio:
            return
        counted = self._counted.setdefault((attempt.build, attempt.lane), CountedAttempts())
        counted.finished += 1
        if outcome == Outcome.DONE:
            counted.total_latency += self.simulator.now - attempt.sent_at
        else:
            counted.failed += 1

    def end_period(self) -> None:
        """Ends a counting period and sends its counts to each instance after a delay."""
        simulator = self.simulator
        rows = [
            CountsRow(
                build,
                lane,
                counted.finished,
                counted.failed,
                round(counted.total_latency / max(1, counted.finished - counted.failed)),
            )
            for (build, lane), counted in sorted(self._counted.items())
        ]
        self._counted = {}
        for instance in range(simulator.day.instances):
            lag = int(simulator.day.counts_delay * (0.95 + 0.1 * self._sample_draws.next()))
            simulator.schedule_at(
                simulator.now + lag, self._deliver_counts, instance, rows, simulator.now
            )
        if simulator.now < simulator.day.duration:
            simulator.schedule_at(simulator.now + simulator.day.counts_interval, self.end_period)

    def _deliver_counts(self, instance: int, rows: Sequence[CountsRow], end: Ticks) -> None:
        if self.simulator.is_cut_off(instance) or self.call_fault is not None:
            return  # lost counts are not sent again
        for row in rows:
            self.simulator.deliver_event(instance, FleetCounts(*row, self.simulator.now - end))

    # Offers and stages.

    def offer_build(self, offer: Offer) -> None:
        """Offers a build. A build that is still on trial is rolled back first."""
        simulator = self.simulator
        if self.state.phase == ReleasePhase.ON_TRIAL:
            self._roll_back()
        self.builds[offer.build] = Build(
            offer.build,
            offer.failure_ratio,
            slowdown=offer.slowdown,
            fault_delay=offer.fault_delay,
            min_load=offer.fault_load,
            fleet_slowdown=offer.shared_slowdown,
        )
        self.trial_attempt_ratio = 0.0
        self.state = ReleaseState(
            offer.build, 0, ReleasePhase.ON_TRIAL, simulator.day.stage_caps[0]
        )
        self._votes = {}
        if offer.good:
            simulator.results.newest_good_build = offer.build
        simulator.results.add_rollout_event(simulator.now, offer.build, RolloutEventKind.OFFERED)
        self._start_stage()

    def _start_stage(self) -> None:
        simulator, day = self.simulator, self.simulator.day
        build, stage = self.state.build, self.state.stage
        simulator.results.add_rollout_event(simulator.now, build, RolloutEventKind.STAGE)
        self.announce()
        server_count = max(1, round(day.settings.stage_fractions[stage] * day.pods))
        running_count = sum(pod.build.number == build for pod in simulator.servers.pods.values())
        places = range(running_count, server_count)
        spread = day.boot_time_spread
        boot_delays = [
            int(day.mean_boot_time * (1 - spread + 2 * spread * simulator.generator.random()))
            for _ in places
        ]
        for place, boot_delay in zip(places, boot_delays, strict=True):
            simulator.schedule_at(simulator.now + boot_delay, self._start_server, build, place)
        boot_wait = max(boot_delays, default=0) + BOOT_MARGIN if day.stage_waits_for_machines else 0
        self._stage_started_at = simulator.now + boot_wait
        simulator.schedule_at(
            self._stage_started_at + day.min_stage_duration, self._count_votes, build, stage
        )

    def _start_server(self, build: int, place: int) -> None:
        simulator = self.simulator
        if self.state.build != build or self.state.phase not in ACTIVE_PHASES:
            return
        if simulator.servers.zone_of(place) in simulator.servers.lost_zones:
            simulator.schedule_at(
                simulator.now + ZONE_RETRY_DELAY, self._start_server, build, place
            )
            return
        simulator.servers.start(f"p{place}-{build}", place, self.builds[build])

    def _release(self) -> None:
        simulator, build = self.simulator, self.state.build
        self._set_phase(ReleasePhase.RELEASED, 1.0)
        simulator.results.released.append(build)
        simulator.results.add_rollout_event(simulator.now, build, RolloutEventKind.RELEASED)
        self.announce()
        if simulator.day.drain_delay:
            simulator.schedule_at(
                simulator.now + simulator.day.drain_delay, self._drain_earlier, build
            )
        else:
            self._drain_earlier(build)

    def _drain_earlier(self, build: int) -> None:
        """Drains the servers of earlier builds, unless the build was rolled back meanwhile."""
        if self.state.build > build or self.state.phase == ReleasePhase.RELEASED:
            self.simulator.servers.drain(lambda pod: pod.build.number < build)

    def _roll_back(self) -> None:
        simulator, build = self.simulator, self.state.build
        simulator.results.add_rollout_event(simulator.now, build, RolloutEventKind.ROLLED_BACK)
        self._set_phase(ReleasePhase.ROLLING_BACK, 0.0)
        self.announce()
        # Servers of the earlier build that have already left are started again first.
        earlier = simulator.servers.pods_up(lambda pod: pod.build.number < build)
        previous_build = max(
            (number for number in self.builds if number < build), default=FIRST_BUILD
        )
        for place in range(len(earlier), simulator.day.pods):
            simulator.servers.start(f"p{place}-{build}r", place, self.builds[previous_build])
        simulator.servers.drain(lambda pod: pod.build.number == build)
        simulator.schedule_at(simulator.now + WITHDRAWAL_DELAY, self._withdraw, build)

    def _withdraw(self, build: int) -> None:
        if self.state.build == build and self.state.phase == ReleasePhase.ROLLING_BACK:
            self._set_phase(ReleasePhase.WITHDRAWN, 0.0)
            self.announce()

    # Votes.

    def receive_vote(self, instance: int, incarnation: int, vote: CastVote) -> None:
        """Handles a vote at the platform; the instance learns the outcome later."""
        simulator, vote_calls = self.simulator, self.simulator.results.vote_calls
        cut_off = simulator.incarnations[instance] != incarnation or simulator.is_cut_off(instance)
        if cut_off or self.call_fault == SILENT_CALLS:
            wait = simulator.day.settings.vote_timeout
            simulator.schedule_at(
                simulator.now + wait,
                self._deliver_vote_outcome,
                instance,
                incarnation,
                Outcome.TIMED_OUT,
            )
            return
        vote_calls["asked"] += 1
        if not self._take_vote_token():
            vote_calls["full"] += 1
            simulator.schedule_at(
                simulator.now + ONE_WAY_CALL_DELAY,
                self._deliver_vote_outcome,
                instance,
                incarnation,
                Outcome.REJECTED,
            )
            return
        is_current = self._is_current_vote(vote)
        if is_current:
            self._votes[instance] = LatestVote(vote.verdict, simulator.now)
            self._count_votes(vote.build, self.state.stage)
        else:
            vote_calls["moot"] += 1
        outcome = Outcome.DONE if is_current else Outcome.NOT_SENT
        simulator.schedule_at(
            simulator.now + ONE_WAY_CALL_DELAY,
            self._deliver_vote_outcome,
            instance,
            incarnation,
            outcome,
        )

    def _take_vote_token(self) -> bool:
        """Takes a token for one call; returns False if there is none or calls are refused."""
        simulator = self.simulator
        rate = simulator.day.settings.votes_per_second
        refill = (simulator.now - self._tokens_updated_at) * rate / TICKS_PER_SECOND
        self._vote_tokens = min(VOTE_BURST_SECONDS * rate, self._vote_tokens + refill)
        self._tokens_updated_at = simulator.now
        if self._vote_tokens < 1 or self.call_fault == REFUSED_CALLS:
            return False
        self._vote_tokens -= 1
        return True

    def _is_current_vote(self, vote: CastVote) -> bool:
        state = self.state
        return (
            vote.build == state.build
            and (vote.stage == state.stage or vote.verdict == Verdict.ABORT)
            and state.phase in ACTIVE_PHASES
        )

    def _deliver_vote_outcome(self, instance: int, incarnation: int, outcome: Outcome) -> None:
        if self.simulator.incarnations[instance] == incarnation:
            self.deliver_update(instance, self.state, True, outcome)

    def _count_votes(self, build: int, stage: int) -> None:
        """Advances or rolls back the build if enough votes that have not expired say so."""
        simulator, day, state = self.simulator, self.simulator.day, self.state
        if (build, stage) != (state.build, state.stage) or state.phase not in ACTIVE_PHASES:
            return
        verdicts = [
            vote.verdict
            for vote in self._votes.values()
            if simulator.now - vote.at <= day.settings.vote_lifetime
        ]
        needed = max(1, day.votes_to_promote or day.instances // 2)
        if verdicts.count(Verdict.ABORT) >= day.settings.votes_to_revert:
            simulator.results.rolled_back.append(build)
            self._roll_back()
        elif (
            state.phase == ReleasePhase.ON_TRIAL
            and verdicts.count(Verdict.PROMOTE) >= needed
            and simulator.now >= self._stage_started_at + day.min_stage_duration
        ):
            self._votes = {}
            self._promote()

    def _promote(self) -> None:
        next_stage = self.state.stage + 1
        caps = self.simulator.day.stage_caps
        if next_stage >= len(caps):
            self._release()
            return
        self.state = self.state._replace(stage=next_stage, cap=caps[next_stage])
        self._start_stage()


def _release_update(state: ReleaseState, answers_vote: bool, outcome: Outcome) -> ReleaseUpdate:
    return ReleaseUpdate(state.build, state.stage, state.phase, answers_vote, outcome, state.cap, 0)
