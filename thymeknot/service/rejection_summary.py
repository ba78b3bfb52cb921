"""Summarizes why requests are rejected or fail, in one log line every few seconds.

It receives the reasons that the decision engine reports. If no request was rejected or failed,
nothing is logged. The number of counters is bounded, since the set of reasons is closed.
"""

from collections.abc import Callable
from enum import IntEnum
from typing import Any, Final

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.reasons import Reason

LOG_INTERVAL: Final[Ticks] = 5 * TICKS_PER_SECOND
"""Ticks between two log lines."""

FINAL_REASONS: Final = {Reason.DEFERRED: "deferred", Reason.ABANDONED: "abandoned"}
"""The reasons that are final responses, with their keys in the log event."""


class Role(IntEnum):
    """How a reason relates to a final response."""

    NONE = 0
    DECIDES = 1
    EXCLUDES_ENDPOINTS = 2
    """Excludes endpoints; it is the cause if no endpoint is left."""
    FINAL_ANSWER = 3


ROLES: Final[dict[Reason, Role]] = {
    **dict.fromkeys(
        (
            Reason.POSITION,
            Reason.STAYS,
            Reason.ASTRAY,
            Reason.SENT,
            Reason.VOTED,
            Reason.SECOND_COPY,
            Reason.ENDED,
            Reason.DONE,
            Reason.LEFT,
        ),
        Role.NONE,
    ),
    **dict.fromkeys(
        (Reason.UNREACHABLE, Reason.DOUBTED, Reason.USED, Reason.COLD, Reason.OUTSIDE),
        Role.EXCLUDES_ENDPOINTS,
    ),
    **dict.fromkeys(FINAL_REASONS, Role.FINAL_ANSWER),
}

ROLE_BY_NUMBER: Final = [
    ROLES.get(Reason(number), Role.DECIDES) if number else Role.DECIDES
    for number in range(max(Reason) + 1)
]
"""A list for speed: it is read several times per request."""


class RejectionSummary:
    """Counts the causes of rejections and failures between two log lines.

    `record` is called for each reason; `next_listener`, if set, is called with the same arguments.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.next_listener: Callable[..., None] | None = None
        self.counts: dict[tuple[str, str], int] = {}
        self.since: Ticks = 0
        self._request: str | None = None
        self._decisive: Reason | None = None
        self._excluding: Reason | None = None

    def record(self, request_id: str | None, reason: Reason, *operands: Any) -> None:
        """Records a reason that the engine reports for a request (None for votes)."""
        role = ROLE_BY_NUMBER[reason]
        if role:
            self._count(request_id, reason, role)
        if self.next_listener is not None:
            self.next_listener(request_id, reason, *operands)

    def _count(self, request_id: str | None, reason: Reason, role: Role) -> None:
        if request_id != self._request:  # reasons of the previous request do not apply
            self._request = request_id
            self._decisive = None
            self._excluding = None
        if role == Role.EXCLUDES_ENDPOINTS:
            self._excluding = reason
        elif role == Role.DECIDES:
            self._decisive = reason
        else:
            key = FINAL_REASONS[reason], self._cause()
            self.counts[key] = self.counts.get(key, 0) + 1
            self._request = None

    def _cause(self) -> str:
        if self._decisive is None:
            return "NOTHING"
        if self._decisive is Reason.NO_POD and self._excluding is not None:
            return f"{self._decisive.name}/{self._excluding.name}"
        return self._decisive.name

    def flush(self, now: Ticks, **fields: Any) -> Ticks:
        """Logs the counts since the last call, with more fields; returns when to call it again."""
        if self.counts:
            sums: dict[str, dict[str, int]] = {"deferred": {}, "abandoned": {}}
            for (answer, cause), count in sorted(self.counts.items(), key=lambda item: -item[1]):
                sums[answer][cause] = count
            self.log(
                "requests rejected",
                seconds=(now - self.since) / TICKS_PER_SECOND,
                **{answer: causes for answer, causes in sums.items() if causes},
                **fields,
            )
            self.counts = {}
        self.since = now
        return now + LOG_INTERVAL
