"""Keys that stay with the newest build, as it has answered them."""

from ..interface.events import LateResponseSeen
from .context import DecisionContext

MAX_REMEMBERED_KEYS = 10_000  # maximum number of pinned keys, and of failing keys


class StickyKeys:
    """Tells which keys may go to no earlier build while the newest one accepts requests.

    Attributes:
        pinned_keys: Keys that the newest build has answered and therefore keeps.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.pinned_keys: set[str] = set()

    def reset(self) -> None:
        """Discards the pinned keys, for another newest build."""
        self.pinned_keys = set()

    def pin(self, event: LateResponseSeen) -> None:
        """Pins a key to the newest build if that build answered it, even late or partially."""
        if not self.context.settings.sticky_keys:
            return
        release = self.context.release
        assert release is not None  # nothing is sent before the first update
        if event.build == release.build and len(self.pinned_keys) < MAX_REMEMBERED_KEYS:
            self.pinned_keys.add(event.key)

    def must_stay(self, key: str) -> bool:
        """Returns whether a request with this key may go to no earlier build.

        Once the set of pinned keys is full, any key may be one that the newest build answered.
        """
        return key in self.pinned_keys or len(self.pinned_keys) >= MAX_REMEMBERED_KEYS
