"""What several parts of the decisions read; the engine and the part that is named here write it."""

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

MIN_UPKEEP_INTERVAL = TICKS_PER_SECOND // 20  # ticks between two upkeeps in heavy traffic
MAX_UPKEEP_INTERVAL = TICKS_PER_SECOND // 4  # ticks between two upkeeps with hardly any traffic
TRAFFIC_WINDOW_SECONDS = 8  # long enough for a mean rate, short enough to follow a change
TRAFFIC_WINDOW_BUCKETS = 16  # half a second each
HIGH_RATE = 15  # requests a second from which one instance sees enough by itself
LARGE_FLEET_RATIO = 0.75  # instances an endpoint from which each sees too little of every endpoint
FEW_ENDPOINTS_LOW_RATE = 3  # so few of the newest build may all carry one faulty build
FEW_ENDPOINTS_HIGH_RATE = 5  # of so few one faulty endpoint would be taken for its build

ReasonCallback = Callable[..., Any]
"""Called with (request id or None, reason, *operands), when and where something is decided."""


class BuildState(Enum):
    """How this instance treats the newest build."""

    USUAL = "usual"
    """Not met on trial: it is not judged."""
    ON_TRIAL = "on trial"
    RELEASED = "released"
    """Released after a trial: it is still judged."""
    WITHDRAWN = "withdrawn"


class Release(NamedTuple):
    """How the newest build stands."""

    build: int
    stage: int
    phase: ReleasePhase
    cap: float
    """The most of the requests that may go to the build on trial."""


class DecisionContext:
    """What several parts of the decisions read.

    Attributes:
        settings: read once, at start.
        now: the moment of the events that are handled.
        rng: draws all random numbers, in the order of the decisions.
        actions: the actions decided on so far at this moment.
        reason_callback: is told the reasons; None if nobody asks.
        request_id: the id of the request that is decided on; None for votes.
        first_traffic_at: when the first request came; None before.
        release: how the newest build stands; None before it is told.
        build_state: how the newest build is treated; written by the release's life cycle.
        endpoints: by address; written by the endpoint selection.
        by_build: the ready endpoints of the newest build (True) and of earlier ones (False);
            written by the endpoint selection.
        subsets: those of them in use; written by the endpoint selection.
        zones: how many zones the endpoints of the newest build are in.
        arrivals: the requests received lately.
        by_votes: whether votes, not a timer, move a build on.
    """

    def __init__(
        self, settings: Settings, seed: int, now: Ticks, say: ReasonCallback | None
    ) -> None:
        self.settings = settings
        self.now = now
        self.rng = LinearCongruentialGenerator(seed)
        self.actions: list[Action] = []
        self.reason_callback = say
        self.request_id: str | None = None
        self.first_traffic_at: Ticks | None = None
        self.release: Release | None = None
        self.build_state = BuildState.USUAL
        self.endpoints: dict[str, EndpointState] = {}
        self.by_build: dict[bool, list[EndpointState]] = {True: [], False: []}
        self.subsets: dict[bool, list[EndpointState]] = {True: [], False: []}
        self.zones = 0
        self.arrivals = traffic_window()
        self.by_votes = settings.promotion_mode != PromotionMode.TIMER
        self._largest_side = 1

    def explain(self, reason: Reason, *operands: object) -> None:
        """Tells why something is decided about the subject."""
        if self.reason_callback:
            self.reason_callback(self.request_id, reason, *operands)

    def open_to_newest(self) -> bool:
        """Whether the newest build may take requests."""
        release = self.release
        return release is not None and release.phase in (
            ReleasePhase.ON_TRIAL,
            ReleasePhase.RELEASED,
        )

    def judged(self) -> bool:
        """Whether the newest build is judged."""
        return self.build_state in (BuildState.ON_TRIAL, BuildState.RELEASED)

    def is_large_fleet(self) -> bool:
        """Whether there are so many instances that each sees little of an endpoint.

        It goes by the most endpoints that were ever seen: a lost zone makes no crowd.
        """
        self._largest_side = max(self._largest_side, *map(len, self.by_build.values()))
        return self.settings.instances >= LARGE_FLEET_RATIO * self._largest_side

    def few_endpoints(self) -> bool:
        """Whether one faulty endpoint could be taken for a faulty build, and traffic is high."""
        few = self.by_votes and 1 < len(self.by_build[True]) <= FEW_ENDPOINTS_HIGH_RATE
        return few and self.arrivals.total(self.now) >= TRAFFIC_WINDOW_SECONDS * HIGH_RATE

    def traffic_age(self) -> Ticks:
        """Ticks since the first traffic; 0 before."""
        return self.now - (self.first_traffic_at or self.now)


def traffic_window() -> SlidingWindow:
    """A window that counts requests lately."""
    return SlidingWindow(TRAFFIC_WINDOW_SECONDS * TICKS_PER_SECOND, TRAFFIC_WINDOW_BUCKETS)
