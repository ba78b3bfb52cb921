"""Remembers for a while the ids of ended requests that may have run."""

from typing import Final

from ..interface.clock import Ticks
from ..state.key_hash import table_key

MAX_ENDED_IDS: Final = 10_000
"""Maximum number of ids; beyond it the oldest is forgotten."""


class EndedIds:
    """The ids of requests that were answered and may have run.

    A client that sends a request again after its connection broke uses the same id. The copy on the
    broken connection may be read only after the other one was answered: it must not run again.
    """

    def __init__(self) -> None:
        self._until: dict[str, Ticks] = {}  # in the order of insertion

    def __len__(self) -> int:
        return len(self._until)

    def add(self, name: str, now: Ticks, until: Ticks) -> None:
        """Remembers an id until a point in time; forgets those whose time has passed."""
        key = table_key(name)
        self._until.pop(key, None)
        self._until[key] = until
        while len(self._until) > MAX_ENDED_IDS or self._until[next(iter(self._until))] <= now:
            del self._until[next(iter(self._until))]

    def contains(self, name: str, now: Ticks) -> bool:
        """Returns whether a request with this id has ended and may have run."""
        return self._until.get(table_key(name), now) > now
