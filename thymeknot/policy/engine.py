"""The decision engine: routing, retries, load shedding and votes on the newest build.

Create one DecisionEngine(settings, seed, now) per instance and call handle(now, events) with the
events of one moment, in order; it returns the actions to carry out. The engine is deterministic
and does no I/O. Sources of the methods: docs/design.md.
"""

from collections.abc import Callable, Iterable
from typing import Any

from ..interface.actions import Action, SetTimer
from ..interface.clock import Ticks
from ..interface.events import (
    AttemptEnded,
    ClientDisconnected,
    ComplaintReceived,
    EndpointUpdate,
    Event,
    FleetCounts,
    LateResponseSeen,
    ReleaseUpdate,
    RequestReceived,
    ResponseStarted,
    SuspicionReported,
    TimerFired,
)
from ..interface.settings import Settings
from .baseline import Baseline
from .context import MAX_UPKEEP_INTERVAL, MIN_UPKEEP_INTERVAL, DecisionContext, ReasonCallback
from .endpoint_selection import EndpointSelection
from .exposure_budget import ExposureBudget
from .fleet_evidence import FleetEvidence
from .global_slowdown import GlobalSlowdown
from .load_shedding import LoadShedder
from .release_lifecycle import ReleaseLifecycle
from .request_lifecycle import INPUT_BY_OUTCOME, RequestLifecycle
from .sequential_test import SequentialTest
from .slow_start import SlowStart
from .sticky_keys import StickyKeys
from .traffic_split import TrafficSplit
from .trial_evidence import TrialEvidence
from .voting import VoteEvidence, Voting

__all__ = ["INPUT_BY_OUTCOME", "DecisionEngine"]

UPKEEP_TOKEN = 0  # token of the upkeep timer; all other tokens belong to hedging timers


class DecisionEngine:
    """Dispatches events to the policies and runs their periodic upkeep.

    It contains no policy of its own.

    Attributes:
        context: The state that several policies share.
        upkeep_interval: Ticks between the previous upkeep and the next; 0 before the first.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        now: Ticks,
        reason_callback: ReasonCallback | None = None,
    ) -> None:
        self.context = context = DecisionContext(settings, seed, now, reason_callback)
        self.admission = LoadShedder(settings)
        self.slow_start = SlowStart(context)
        self.selection = EndpointSelection(context, self.slow_start)
        self.exposure = ExposureBudget(context)
        self.sticky_keys = StickyKeys(context)
        self.split = TrafficSplit(context, self.slow_start, self.sticky_keys)
        self.sequential_test = SequentialTest(context)
        self.baseline = Baseline(context, self.sequential_test)
        self.slowdown = GlobalSlowdown(context, self.baseline, self.split)
        self.evidence = TrialEvidence(
            context, self.sequential_test, self.baseline, self.split, self.slowdown
        )
        self.fleet = FleetEvidence(context, self.sequential_test, self.selection, self.slowdown)
        self.voting = Voting(
            context, self.sequential_test, self.baseline, self.slowdown, self.fleet
        )
        self.release = ReleaseLifecycle(
            context,
            selection=self.selection,
            exposure=self.exposure,
            split=self.split,
            sticky_keys=self.sticky_keys,
            test=self.sequential_test,
            baseline=self.baseline,
            slowdown=self.slowdown,
            voting=self.voting,
        )
        self.requests = RequestLifecycle(
            context,
            admission=self.admission,
            selection=self.selection,
            slow_start=self.slow_start,
            exposure=self.exposure,
            split=self.split,
            sticky_keys=self.sticky_keys,
            baseline=self.baseline,
            slowdown=self.slowdown,
            evidence=self.evidence,
        )
        self.upkeep_interval: Ticks = 0
        self._handlers = self._handlers_by_event()

    def _handlers_by_event(self) -> dict[type, Callable[[Any], None]]:
        return {
            EndpointUpdate: self.selection.update,
            ReleaseUpdate: self.release.update,
            RequestReceived: self.requests.receive,
            AttemptEnded: self.requests.end_attempt,
            ClientDisconnected: self.requests.disconnect_client,
            ResponseStarted: self.requests.start_response,
            TimerFired: self._fire_timer,
            ComplaintReceived: self.evidence.add_complaint,
            FleetCounts: self.fleet.add_counts,
            LateResponseSeen: self.sticky_keys.pin,
            SuspicionReported: self.selection.apply_suspicion,
        }

    @property
    def actions(self) -> list[Action]:
        """The actions decided so far at this moment, also if handling an event raised an error."""
        return self.context.actions

    @property
    def pinned_keys(self) -> set[str]:
        """The sticky keys: those that stay with the newest build."""
        return self.sticky_keys.pinned_keys

    def key_must_stay(self, key: str) -> bool:
        """Returns whether a request with this key may go to no earlier build."""
        return self.sticky_keys.must_stay(key)

    def vote_evidence(self) -> VoteEvidence:
        """Returns the current evidence on the newest build, for the log."""
        test, evidence = self.sequential_test, self.evidence
        release = self.context.release
        if release is not None:
            evidence.reset_for_build(release.build)
        return VoteEvidence(
            attempts=evidence.attempts,
            failed=evidence.failed,
            excluded={str(reason): count for reason, count in evidence.excluded.items() if count},
            judged=test.outcomes,
            sums=dict(test.sums),
            bounds=dict(test.bounds),
            null_rates=dict(test.null_rates),
            all_slow=self.slowdown.evidence,
        )

    def handle(self, now: Ticks, events: Iterable[Event]) -> list[Action]:
        """Handles the events of one moment in order; returns the actions."""
        context, handlers = self.context, self._handlers
        context.now = now
        context.actions = []
        for event in events:
            context.request_id = getattr(event, "id", None)
            handler = handlers.get(type(event))
            if handler:
                handler(event)
        if not self.upkeep_interval:
            self.upkeep()
        return context.actions

    def _fire_timer(self, event: TimerFired) -> None:
        if event.token == UPKEEP_TOKEN:
            self.upkeep()
        else:
            self.requests.fire_timer(event.token)

    def upkeep(self) -> None:
        """Runs the periodic work of all policies and schedules the next run.

        The interval is the mean time between requests, within bounds.
        """
        context = self.context
        elapsed, arrivals = self.upkeep_interval, context.arrivals
        interval = arrivals.span // (arrivals.total(context.now) + 1)
        self.upkeep_interval = int(max(MIN_UPKEEP_INTERVAL, min(MAX_UPKEEP_INTERVAL, interval)))
        context.actions.append(SetTimer(context.now + self.upkeep_interval, UPKEEP_TOKEN))
        self.baseline.capture_pre_trial()
        self.raise_split()
        self.fleet.upkeep()
        self.voting.upkeep()
        self.selection.upkeep()
        self.slow_start.upkeep(elapsed)
        self.split.upkeep()

    def raise_split(self) -> None:
        """Raises the newest build's traffic fraction, if it may rise."""
        self.split.raise_fraction(self.slowdown.since is not None)
