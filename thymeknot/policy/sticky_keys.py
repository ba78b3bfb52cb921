"""Keys that stay with the newest build, as it has answered them or may have."""

from ..interface.events import LateResponseSeen
from ..state.key_hash import table_key
from .context import DecisionContext

MAX_REMEMBERED_KEYS = 10_000  # maximum number of pinned keys, and of failing keys


class StickyKeys:
    """Tells which keys may go to no earlier build while the newest one accepts requests.

    Attributes:
        pinned_keys: Keys that the newest build has answered and therefore keeps.
        attempts_in_flight: Number of attempts in flight by the build and the key; empty without
            sticky keys.
    """

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.pinned_keys: set[str] = set()
        self.attempts_in_flight: dict[tuple[int, str], int] = {}

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
            self.pinned_keys.add(table_key(event.key))

    def count_sent(self, key: str, build: int) -> None:
        """Counts an attempt that was sent to an endpoint of a build."""
        if self.context.settings.sticky_keys:
            attempt = build, table_key(key)
            self.attempts_in_flight[attempt] = self.attempts_in_flight.get(attempt, 0) + 1

    def count_ended(self, key: str, build: int) -> None:
        """Counts the end of an attempt that was counted as sent to an endpoint of a build."""
        if self.context.settings.sticky_keys:
            attempt = build, table_key(key)
            self.attempts_in_flight[attempt] -= 1
            if not self.attempts_in_flight[attempt]:
                del self.attempts_in_flight[attempt]

    def must_stay(self, key: str) -> bool:
        """Returns whether a request with this key may go to no earlier build.

        An attempt in flight at the newest build may have been answered already: the answer may be
        on its way, or lost. Once the set of pinned keys is full, any key may be one that the newest
        build answered.
        """
        release = self.context.release
        key = table_key(key)
        return (
            key in self.pinned_keys
            or len(self.pinned_keys) >= MAX_REMEMBERED_KEYS
            or (release is not None and (release.build, key) in self.attempts_in_flight)
        )
