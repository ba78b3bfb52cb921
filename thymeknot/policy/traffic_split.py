"""Which requests may go to the newest build: its fraction of the keys, raised step by step."""

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import ReleasePhase
from ..interface.events import LateResponseSeen
from ..interface.reasons import Reason
from ..state.key_hash import key_position
from ..state.request_state import RequestState
from .context import BuildState, DecisionContext
from .slow_start import SlowStart

RAISE_TIME = 2 * TICKS_PER_SECOND  # ticks from nothing to the target of a stage
CAP_PART = 0.8  # of the cap that the fraction aims at: the rest is left to pinned keys and retries
HOT_KEY_PART = 0.03  # of all recent requests with keys, from which a key is hot
HOT_KEY_LEAST = 8  # recent requests of a key, below which it is not hot
MAX_REMEMBERED_KEYS = 10_000  # pinned or failing keys that are remembered
RECENT_KEYS_HALVED_AFTER = 2 * TICKS_PER_SECOND  # ticks after which the counts of keys are halved
RECENT_KEY_LEAST = 0.5  # a count that is not more is forgotten


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

    def restart(self) -> None:
        """Begins at nothing, or with all where the newest build is not judged."""
        self.fraction = float(self.context.build_state == BuildState.USUAL)

    def next_stage(self) -> None:
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
        if not context.open_to_newest():
            return
        release = context.release
        assert release is not None
        capacity = self.slow_start.capacity
        part = capacity[True] / (sum(capacity.values()) or 1.0)
        part *= not all_slow or not context.is_large_fleet()
        target = (
            min(CAP_PART * release.cap, part) if release.phase == ReleasePhase.ON_TRIAL else 1.0
        )
        step = target * (context.now - self.fraction_updated_at) / RAISE_TIME
        self.fraction = max(self.fraction, min(target, self.fraction + step))
        self.fraction_updated_at = context.now

    def upkeep(self) -> None:
        """Halves the counts of keys, when it is time."""
        now = self.context.now
        if now >= self._keys_halved_at + RECENT_KEYS_HALVED_AFTER:
            self._keys_halved_at = now
            self.recent_keys = {
                key: count / 2
                for key, count in self.recent_keys.items()
                if count > RECENT_KEY_LEAST
            }

    def builds_for(self, request: RequestState) -> tuple[bool, ...]:
        """Where the request may go, in order: to the newest build (True) or an earlier one."""
        context, key = self.context, request.key
        release = context.release
        assert release is not None
        if not context.open_to_newest():
            return (False, True)
        if (
            key in self.pinned_keys or len(self.pinned_keys) >= MAX_REMEMBERED_KEYS
        ):  # more than it can tell
            context.explain(Reason.STAYS, len(self.pinned_keys))
            return (True,)
        position = key_position(key)
        below = position < self.fraction
        context.explain(Reason.POSITION, position, self.fraction, release.cap)
        if not below or release.phase != ReleasePhase.ON_TRIAL:
            return (True, False) if below else (False, True)
        # A flood of one key, or a loop of retries, must not go to a build on trial.
        hot = self._is_hot(key)
        if not (request.attempts or key in self.failing_keys or hot):
            return (True, False)
        context.explain(Reason.ASTRAY, len(request.attempts), key in self.failing_keys, hot)
        return (False, True)

    def _is_hot(self, key: str) -> bool:
        seen = self.recent_keys.get(key, 0)
        return seen >= HOT_KEY_LEAST and seen >= HOT_KEY_PART * sum(self.recent_keys.values())
