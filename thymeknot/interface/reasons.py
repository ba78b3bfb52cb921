"""The reasons for decisions, as recorded in the decision log.

Each reason has operands, which its docstring lists in order after the colon. They are numbers,
except endpoints (by address) and outcomes; times are in ticks. The explanations shown to operators
are in decision_log/explanations.py.
"""

from enum import IntEnum


class Reason(IntEnum):
    """The reason for a decision. The values must not change, since stored records contain them."""

    POSITION = 1
    """The key's position chose the side of the traffic split: position, ramp, cap."""
    STAYS = 2
    """The key is sticky, as the newest build has served it or may have: number of sticky keys."""
    ASTRAY = 3
    """Kept off the build on trial: earlier attempts, whether the key failed there, whether hot."""
    GUARDED = 4
    """The stage only accepts idempotent request classes: stage, number of guarded stages."""
    EXPOSURE = 5
    """The exposure budget is exhausted: attempts at that build, requests, cap, allowance."""
    CLOSED = 6
    """The build on trial accepts no requests: phase, cap."""
    SENT = 7
    """An attempt was sent: endpoint, its build, whether that is the newest, timeout, cost."""
    UNREACHABLE = 8
    """Endpoints were skipped because they are ejected: count."""
    DOUBTED = 9
    """Endpoints were skipped because peers suspect them: count."""
    USED = 10
    """Endpoints were skipped because an earlier attempt was sent there: count."""
    COLD = 11
    """Endpoints were skipped because they are warming up and at capacity: count."""
    OUTSIDE = 12
    """Endpoints were skipped because they would not deduplicate a retry: count."""
    NO_POD = 13
    """No endpoint is eligible: number of ready endpoints, whether of the newest build."""
    OVER_LIMIT = 14
    """More requests are in flight than can be served in time: requests in flight, limit."""
    BY_LOT = 15
    """Load was shed at random while responses are slow: pressure, admission probability."""
    NO_NEWS = 16
    """No release update has been received yet."""
    MOST_DELIVERIES = 17
    """The maximum number of attempts is reached: attempts made, limit."""
    TIME_OVER = 18
    """Too little time is left: time left, mean latency of the request class."""
    NO_BUDGET = 19
    """The retry budget is exhausted: retries left."""
    MAY_HAVE_RUN = 20
    """A retry might execute the request twice: endpoint that may have executed it, duration."""
    ENDED = 21
    """An attempt ended: endpoint, number, outcome, latency, whether it provably did not run."""
    DEFERRED = 22
    """The request was rejected: retry-after."""
    ABANDONED = 23
    """The request failed: endpoint that may have executed it."""
    DONE = 24
    """The request succeeded: latency."""
    LEFT = 25
    """The client disconnected."""
    VOTED = 26
    """A vote was cast: build, stage, verdict, evidence ratio, number of outcomes."""
    SECOND_COPY = 27
    """A hedged request was sent in parallel to a slow attempt: wait."""
