"""Why something was decided: the closed table of reasons that the decision log records.

Each reason has operands, in the order given beside it. They are numbers, except endpoints (their
addresses) and outcomes; times are ticks. The sentences that explain them to operators are in
decision_log/explanations.py.
"""

from enum import IntEnum


class Reason(IntEnum):
    """Why something was decided. The numbers never change: records on disk hold them."""

    POSITION = 1
    """The key's position chose the side of the traffic split: position, ramp, cap."""
    STAYS = 2
    """Sticky: the newest build has answered this key. Operand: how many keys are sticky."""
    ASTRAY = 3
    """Kept off the build on trial: attempts before, whether the key failed there, whether hot."""
    GUARDED = 4
    """The stage is open to idempotent request classes alone: stage, guarded stages."""
    EXPOSURE = 5
    """The exposure budget is used up: attempts there, requests taken, cap, allowance."""
    CLOSED = 6
    """The build on trial takes no requests now: phase, cap."""
    SENT = 7
    """An attempt: endpoint, its build, whether it is the newest, timeout, the endpoint's cost."""
    UNREACHABLE = 8
    """Endpoints passed over because they are ejected: how many."""
    DOUBTED = 9
    """Endpoints passed over because peers suspect them: how many."""
    USED = 10
    """Endpoints passed over because this request was sent there before: how many."""
    COLD = 11
    """Endpoints passed over because they are warming up and have no room: how many."""
    OUTSIDE = 12
    """Endpoints passed over because they would not deduplicate a retry: how many."""
    NO_POD = 13
    """No endpoint is suitable: ready endpoints, whether of the newest build."""
    OVER_LIMIT = 14
    """More requests are in flight than are answered in time: in flight, limit."""
    BY_LOT = 15
    """Load shedding at random, where an instance has slow responses: pressure, random share."""
    NO_NEWS = 16
    """No release update has come yet."""
    MOST_DELIVERIES = 17
    """The limit of attempts is reached: attempts made, limit."""
    TIME_OVER = 18
    """No time is left: time left, the request class's mean latency."""
    NO_BUDGET = 19
    """The retry budget is used up: retries left."""
    MAY_HAVE_RUN = 20
    """A retry might run the request twice: the endpoint where it may have run, for how long."""
    ENDED = 21
    """An attempt's end: endpoint, number, outcome, latency, whether it provably did not run."""
    DEFERRED = 22
    """The final response, rejected: retry-after."""
    ABANDONED = 23
    """The final response, failed: the endpoint where it may have run."""
    DONE = 24
    """The final response, good: latency."""
    LEFT = 25
    """The client has disconnected."""
    VOTED = 26
    """A vote: build, stage, verdict, doubt, seen."""
    SECOND_COPY = 27
    """A hedged request beside a slow attempt: wait."""
