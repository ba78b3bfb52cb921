"""State that the parts of the decision engine share.

The engine writes it, except where an attribute names the part that does.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from ..interface.actions import Action
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import PromotionMode, ReleasePhase
from ..interface.reasons import Reason
from ..interface.settings import Settings
from ..state.endpoint_state import EndpointState
from ..state.random_source import LinearCongruentialGenerator
from ..state.sliding_window import SlidingWindow

MIN_UPKEEP_INTERVAL = TICKS_PER_SECOND // 20  # ticks between upkeeps under heavy traffic
MAX_UPKEEP_INTERVAL = TICKS_PER_SECOND // 4  # ticks between upkeeps with hardly any traffic
TRAFFIC_WINDOW_SECONDS = 8  # long enough for a mean rate, short enough to follow changes
TRAFFIC_WINDOW_BUCKETS = 16  # half a second each
# Requests per second from which an instance sees enough outcomes by itself.
HIGH_REQUEST_RATE = 15
# Instances per endpoint from which each instance sees too little of every endpoint.
LARGE_FLEET_RATIO = 0.75
# At a low request rate the evidence of so few endpoints of the newest build is not capped: if the
# build is faulty, they all are.
FEW_ENDPOINTS_LOW_RATE = 3
# At a high request rate one faulty endpoint among so few could be mistaken for a faulty build.
FEW_ENDPOINTS_HIGH_RATE = 5

ReasonCallback = Callable[..., Any]
"""Called for each decision with the request's id (None for votes), the reason and its operands."""


class BuildState(Enum):
    """How this instance treats the newest build."""

    NOT_EVALUATED = "not evaluated"
    """Not seen on trial by this instance, which therefore does not evaluate it."""
    ON_TRIAL = "on trial"
    RELEASED = "released"
    """Released after a trial, and still evaluated."""
    WITHDRAWN = "withdrawn"


class Release(NamedTuple):
    """The rollout state of the newest build."""

    build: int
    stage: int
    phase: ReleasePhase
    cap: float
    """Maximum fraction of the requests that may go to the build on trial."""


class DecisionContext:
    """State that the parts of the decision engine share.

    Attributes:
        settings: The settings, read once at start.
        now: The time of the events that are being handled.
        rng: Draws all random numbers, in the order of the decisions.
        actions: The actions decided on so far at this time.
        reason_callback: Receives the reason of each decision; None if they are not recorded.
        request_id: The request that is being decided on; None for votes.
        first_traffic_at: When the first request was received; None before.
        release: The rollout state of the newest build, written by `ReleaseLifecycle`; None before
            the first update.
        build_state: How the newest build is treated, written by `ReleaseLifecycle`.
        endpoints: All endpoints by address, written by `EndpointSelection`.
        by_build: The ready endpoints of the newest build (True) and of earlier ones (False),
            written by `EndpointSelection`.
        subsets: The endpoints in use, by the same keys, written by `EndpointSelection`.
        zones: How many zones the endpoints of the newest build are in, written by
            `EndpointSelection`.
        arrivals: Window of the requests received.
        promoted_by_votes: Whether votes, rather than a timer, promote a build.
    """

    def __init__(
        self, settings: Settings, seed: int, now: Ticks, reason_callback: ReasonCallback | None
    ) -> None:
        self.settings = settings
        self.now = now
        self.rng = LinearCongruentialGenerator(seed)
        self.actions: list[Action] = []
        self.reason_callback = reason_callback
        self.request_id: str | None = None
        self.first_traffic_at: Ticks | None = None
        self.release: Release | None = None
        self.build_state = BuildState.NOT_EVALUATED
        self.endpoints: dict[str, EndpointState] = {}
        self.by_build: dict[bool, list[EndpointState]] = {True: [], False: []}
        self.subsets: dict[bool, list[EndpointState]] = {True: [], False: []}
        self.zones = 0
        self.arrivals = new_traffic_window()
        self.promoted_by_votes = settings.promotion_mode != PromotionMode.TIMER
        self._max_endpoints_per_build = 1

    def explain(self, reason: Reason, *operands: object) -> None:
        """Reports the reason of a decision on the current request, if reasons are recorded."""
        if self.reason_callback:
            self.reason_callback(self.request_id, reason, *operands)

    def newest_accepts_requests(self) -> bool:
        """Returns whether the newest build may take requests."""
        release = self.release
        return release is not None and release.phase in (
            ReleasePhase.ON_TRIAL,
            ReleasePhase.RELEASED,
        )

    def is_evaluating(self) -> bool:
        """Returns whether the newest build is evaluated: on trial, or released after one."""
        return self.build_state in (BuildState.ON_TRIAL, BuildState.RELEASED)

    def record_endpoint_counts(self) -> None:
        """Records how many endpoints each build has; called after each change of `by_build`."""
        self._max_endpoints_per_build = max(
            self._max_endpoints_per_build, *map(len, self.by_build.values())
        )

    def is_large_fleet(self) -> bool:
        """Returns whether there are so many instances that each sees little of every endpoint.

        The ratio uses the maximum number of endpoints seen so far, so that losing a zone does not
        make the fleet a large one.
        """
        self.record_endpoint_counts()
        return self.settings.instances >= LARGE_FLEET_RATIO * self._max_endpoints_per_build

    def has_few_endpoints(self) -> bool:
        """Returns whether one faulty endpoint could be mistaken for a faulty build.

        This is so if few endpoints run the newest build, votes promote it and traffic is high.
        """
        few = self.promoted_by_votes and 1 < len(self.by_build[True]) <= FEW_ENDPOINTS_HIGH_RATE
        return few and self.arrivals.total(self.now) >= TRAFFIC_WINDOW_SECONDS * HIGH_REQUEST_RATE

    def traffic_age(self) -> Ticks:
        """Returns the ticks since the first request was received; 0 before."""
        return self.now - (self.first_traffic_at or self.now)


def new_traffic_window() -> SlidingWindow:
    """Returns an empty window for counts of recent requests or outcomes."""
    return SlidingWindow(TRAFFIC_WINDOW_SECONDS * TICKS_PER_SECOND, TRAFFIC_WINDOW_BUCKETS)
