"""The traffic split: the fraction of the keys that the newest build serves, raised gradually."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import ReleasePhase
from ..interface.reasons import Reason
from ..state.key_hash import key_position, table_key
from ..state.request_state import RequestState
from .context import BuildState, DecisionContext
from .slow_start import SlowStart
from .sticky_keys import StickyKeys

RAMP_DURATION = 2 * TICKS_PER_SECOND  # ticks for the ramp from 0 to a stage's target
# Target fraction as a ratio of the cap: the rest is left to pinned keys and retries.
CAP_TARGET_RATIO = 0.8
HOT_KEY_FRACTION = 0.03  # minimum fraction of the recent requests with keys for a hot key
HOT_KEY_MIN_REQUESTS = 8  # minimum number of recent requests for a hot key
RECENT_KEYS_HALF_LIFE = 2 * TICKS_PER_SECOND  # ticks after which the counts of keys are halved
MAX_RECENT_KEYS = 10_000  # maximum number of keys whose recent requests are counted
MIN_RECENT_KEY_COUNT = 0.5  # counts up to this value are discarded when the counts are halved


class TrafficSplit:
    """Decides by key which requests may go to the newest build.

    Attributes:
        fraction: The fraction of the keys that the newest build serves; it never falls during a
            stage.
        fraction_updated_at: When the fraction was last updated.
        failing_keys: Keys whose requests failed on the newest build in this stage.
        recent_keys: Number of requests by key, halved at regular intervals.
    """

    def __init__(
        self, context: DecisionContext, slow_start: SlowStart, sticky_keys: StickyKeys
    ) -> None:
        self.context = context
        self.slow_start = slow_start
        self.sticky_keys = sticky_keys
        self.fraction = 0.0
        self.fraction_updated_at: Ticks = context.now
        self.failing_keys: set[str] = set()
        self.recent_keys: dict[str, float] = {}
        self._keys_halved_at: Ticks = context.now

    def reset(self) -> None:
        """Sets the fraction to 0, or to 1 if the newest build is not evaluated."""
        self.fraction = float(self.context.build_state == BuildState.NOT_EVALUATED)

    def start_stage(self) -> None:
        """Starts a stage: the fraction rises from now on and no key counts as failing."""
        self.fraction_updated_at = self.context.now
        self.failing_keys = set()

    def count_key(self, key: str) -> None:
        """Counts a request with a key."""
        key = table_key(key)
        if len(self.recent_keys) >= MAX_RECENT_KEYS and key not in self.recent_keys:
            self._halve_counts()
            if len(self.recent_keys) >= MAX_RECENT_KEYS:
                return
        self.recent_keys[key] = self.recent_keys.get(key, 0) + 1

    def raise_fraction(self, all_slow: bool) -> None:
        """Raises the fraction towards what the newest build's ready endpoints can carry.

        Args:
            all_slow: Whether there is a global slowdown; in a large fleet the fraction then stays.
        """
        context = self.context
        if not context.newest_accepts_requests():
            return
        release = context.release
        assert release is not None
        capacity = self.slow_start.capacity
        capacity_fraction = capacity[True] / (sum(capacity.values()) or 1.0)
        capacity_fraction *= not all_slow or not context.is_large_fleet()
        target = (
            min(CAP_TARGET_RATIO * release.cap, capacity_fraction)
            if release.phase == ReleasePhase.ON_TRIAL
            else 1.0
        )
        step = target * (context.now - self.fraction_updated_at) / RAMP_DURATION
        self.fraction = max(self.fraction, min(target, self.fraction + step))
        self.fraction_updated_at = context.now

    def upkeep(self) -> None:
        """Halves the counts of recent keys once per half-life and discards the small ones."""
        now = self.context.now
        if now >= self._keys_halved_at + RECENT_KEYS_HALF_LIFE:
            self._keys_halved_at = now
            self._halve_counts()

    def _halve_counts(self) -> None:
        self.recent_keys = {
            key: count / 2
            for key, count in self.recent_keys.items()
            if count > MIN_RECENT_KEY_COUNT
        }

    def builds_for(self, request: RequestState) -> tuple[bool, ...]:
        """Returns where the request may go, in order: the newest build (True), an earlier one."""
        context, key = self.context, request.key
        release = context.release
        assert release is not None
        if not context.newest_accepts_requests():
            return (False, True)
        if self.sticky_keys.must_stay(key):
            context.explain(Reason.STAYS, len(self.sticky_keys.pinned_keys))
            return (True,)
        position = key_position(key)
        key = table_key(key)
        below_fraction = position < self.fraction
        context.explain(Reason.POSITION, position, self.fraction, release.cap)
        if not below_fraction or release.phase != ReleasePhase.ON_TRIAL:
            return (True, False) if below_fraction else (False, True)
        # A flood of requests with one key, or a loop of retries, must not reach a build on trial.
        is_hot = self._is_hot(key)
        if not (request.attempts or key in self.failing_keys or is_hot):
            return (True, False)
        context.explain(Reason.ASTRAY, len(request.attempts), key in self.failing_keys, is_hot)
        return (False, True)

    def _is_hot(self, key: str) -> bool:
        """Returns whether the key has a large fraction of the recent requests."""
        requests = self.recent_keys.get(key, 0)
        return requests >= HOT_KEY_MIN_REQUESTS and requests >= HOT_KEY_FRACTION * sum(
            self.recent_keys.values()
        )
