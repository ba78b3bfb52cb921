"""Which requests may go to the newest build: its fraction of the keys, raised step by step."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import ReleasePhase
from ..interface.events import LateResponseSeen
from ..interface.reasons import Reason
from ..state.key_hash import key_position
from ..state.request_state import RequestState
from .context import BuildState, DecisionContext
from .slow_start import SlowStart

RAMP_DURATION = 2 * TICKS_PER_SECOND  # ticks from nothing to the target of a stage
CAP_TARGET_RATIO = (
    0.8  # of the cap that the fraction aims at: the rest is left to pinned keys and retries
)
HOT_KEY_FRACTION = 0.03  # of all recent requests with keys, from which a key is hot
HOT_KEY_MIN_REQUESTS = 8  # recent requests of a key, below which it is not hot
MAX_REMEMBERED_KEYS = 10_000  # pinned or failing keys that are remembered
RECENT_KEYS_HALF_LIFE = 2 * TICKS_PER_SECOND  # ticks after which the counts of keys are halved
MIN_RECENT_KEY_COUNT = 0.5  # a count that is not more is forgotten


class TrafficSplit:
    """The fraction of the keys that the newest build gets, and the keys that are treated apart.

    Attributes:
        fraction: of the keys; it is raised and does not fall during a stage.
        fraction_updated_at: when it was raised last.
        pinned_keys: keys that the newest build answered: they stay with it.
        failing_keys: keys whose requests failed there in this stage.
        recent_keys: requests by key; halved again and again.
    """

    def __init__(self, context: DecisionContext, slow_start: SlowStart) -> None:
        self.context = context
        self.slow_start = slow_start
        self.fraction = 0.0
        self.fraction_updated_at: Ticks = context.now
        self.pinned_keys: set[str] = set()
        self.failing_keys: set[str] = set()
        self.recent_keys: dict[str, float] = {}
        self._keys_halved_at: Ticks = context.now

    def reset(self) -> None:
        """Begins at nothing, or with all where the newest build is not judged."""
        self.fraction = float(self.context.build_state == BuildState.NOT_EVALUATED)

    def start_stage(self) -> None:
        """Lets the fraction rise from now on."""
        self.fraction_updated_at = self.context.now
        self.failing_keys = set()

    def count_key(self, key: str) -> None:
        """Counts a request with a key."""
        self.recent_keys[key] = self.recent_keys.get(key, 0) + 1

    def pin(self, event: LateResponseSeen) -> None:
        """Pins a key to the newest build, if that answered it, also too late or in part."""
        if not self.context.settings.sticky_keys:
            return
        release = self.context.release
        assert release is not None  # nothing is sent before it is told
        if event.build == release.build and len(self.pinned_keys) < MAX_REMEMBERED_KEYS:
            self.pinned_keys.add(event.key)

    def raise_fraction(self, all_slow: bool) -> None:
        """Raises the fraction to what the newest build's ready endpoints can carry.

        Args:
            all_slow: whether all endpoints are slow; in a crowd, the fraction then rises no more.
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
        """Halves the counts of keys, when it is time."""
        now = self.context.now
        if now >= self._keys_halved_at + RECENT_KEYS_HALF_LIFE:
            self._keys_halved_at = now
            self.recent_keys = {
                key: count / 2
                for key, count in self.recent_keys.items()
                if count > MIN_RECENT_KEY_COUNT
            }

    def builds_for(self, request: RequestState) -> tuple[bool, ...]:
        """Where the request may go, in order: to the newest build (True) or an earlier one."""
        context, key = self.context, request.key
        release = context.release
        assert release is not None
        if not context.newest_accepts_requests():
            return (False, True)
        if (
            key in self.pinned_keys or len(self.pinned_keys) >= MAX_REMEMBERED_KEYS
        ):  # more than it can tell
            context.explain(Reason.STAYS, len(self.pinned_keys))
            return (True,)
        position = key_position(key)
        below_fraction = position < self.fraction
        context.explain(Reason.POSITION, position, self.fraction, release.cap)
        if not below_fraction or release.phase != ReleasePhase.ON_TRIAL:
            return (True, False) if below_fraction else (False, True)
        # A flood of one key, or a loop of retries, must not go to a build on trial.
        is_hot = self._is_hot(key)
        if not (request.attempts or key in self.failing_keys or is_hot):
            return (True, False)
        context.explain(Reason.ASTRAY, len(request.attempts), key in self.failing_keys, is_hot)
        return (False, True)

    def _is_hot(self, key: str) -> bool:
        requests = self.recent_keys.get(key, 0)
        return requests >= HOT_KEY_MIN_REQUESTS and requests >= HOT_KEY_FRACTION * sum(
            self.recent_keys.values()
        )
