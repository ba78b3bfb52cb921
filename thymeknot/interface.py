"""What goes into and comes out of a Balancer: events, actions, and the Terms read at start.

All times are whole tenths of a millisecond; ids are strings, passed back exactly as they came.
"""

from typing import NamedTuple, Optional, Union

# How a delivery ended.
DONE, ERROR, FULL, EXPIRED, UNCONNECTED, RESET, RECALLED, UNSENT = (
    "done",
    "error",
    "full",
    "expired",
    "unconnected",
    "reset",
    "recalled",
    "unsent",
)
# Whether a transaction may run again.
RETRIABLE, FINGERPRINTED, BINDING = "retriable", "fingerprinted", "binding"
# Which pods drop the repeats of a fingerprinted transaction.
GROUP_ALL, GROUP_ZONE, GROUP_CELL = "all", "zone", "cell"
# What a pod list is.
CHANGES, WHOLE, REMEMBERED, MISSED = "changes", "whole", "remembered", "missed"
# What a pod is listed as.
READY, DRAINING, GONE = "ready", "draining", "gone"
# Where a build stands.
ON_TRIAL, GOING_BACK, RELEASED, WITHDRAWN = range(4)
# What a vote says.
NO_VOTE, ON, HOLD, BACK = range(4)
# The value of a load report that tells how busy the cores are.
UTILISATION = "utilisation"
# Who moves a build on.
FIRST_VOICE, BY_COUNT, BY_CLOCK = "first voice", "by count", "by clock"


class Lane(NamedTuple):
    name: str
    effect: str
    group: str
    window: int
    latency_goal: int
    outer_limit: int
    earnings: float
    late_earnings: float


class Terms(NamedTuple):
    lanes: dict
    balancers: int
    subscribes: bool
    max_deliveries: int
    max_retry_after: int
    second_copies: bool
    may_recall: bool
    retry_after: bool
    reports: tuple
    ask_within: int
    cold_from: float
    cold: int
    fall_multiple: float
    overload_for: int
    exposure_window: int
    allowance: float
    guarded_stages: int
    waves: tuple
    by_lane: bool
    keys_stay: bool
    replaces: bool
    decided_by: str
    votes_to_revert: int
    vote_life: int
    vote_wait: int
    votes_per_s: float


class Reach(NamedTuple):
    """What bounds the connections of a sidecar; the decisions do not read it."""

    connect_within: int
    idle: int
    most_open: int


class Pod(NamedTuple):
    address: str
    zone: str
    size: float
    cell: int
    condition: str
    started: int
    machine: str
    build: int


class PodList(NamedTuple):
    kind: str
    pods: tuple


class Taken(NamedTuple):
    id: str
    lane: str
    tenant: Optional[str]
    key: Optional[str]
    left: int
    hint: Optional[int]
    repeat: bool
    write: bool


class StreamBegan(NamedTuple):
    id: str
    pod: str
    number: int
    latency: int


class Ended(NamedTuple):
    id: str
    outcome: str
    closed: bool
    latency: int
    pod: str
    number: int
    load: Optional[tuple]


class AnsweredUnheard(NamedTuple):
    """A pod's good answer that came too late or in part: it counts for the key alone, not for the delivery."""

    key: str
    build: int


class Doubted(NamedTuple):
    """Others saw this very pod fail: until then it is turned to later; an earlier moment takes that back."""

    pod: str
    build: int
    started: int
    until: int


class ClientLeft(NamedTuple):
    id: str


class TimerDue(NamedTuple):
    token: int


class Probed(NamedTuple):
    pod: str
    outcome: str
    latency: int
    load: Optional[tuple]


class Message(NamedTuple):
    sender: int
    content: bytes


class News(NamedTuple):
    build: int
    stage: Optional[int]
    phase: Optional[int]
    answers_vote: bool
    outcome: str
    cap: Optional[float]
    age: Optional[int]


class Tally(NamedTuple):
    build: int
    lane: str
    deliveries: int
    failed: int
    latency: int
    age: int


class Complaint(NamedTuple):
    age: int
    pod: str
    lane: str


class Deliver(NamedTuple):
    id: str
    pod: str
    time_out: int


class Recall(NamedTuple):
    id: str
    number: int


class Defer(NamedTuple):
    id: str
    wait: int


class Abandon(NamedTuple):
    id: str


class SetTimer(NamedTuple):
    at: int
    token: int


class Probe(NamedTuple):
    pod: str


class CloseIdle(NamedTuple):
    pod: str


class Tell(NamedTuple):
    peer: Optional[int]
    content: bytes


class Subscribe(NamedTuple):
    on: bool


class FetchList(NamedTuple):
    pass


class Vote(NamedTuple):
    build: int
    stage: int
    verdict: int


class Note(NamedTuple):
    text: str


Event = Union[
    PodList,
    Taken,
    StreamBegan,
    Ended,
    AnsweredUnheard,
    Doubted,
    ClientLeft,
    TimerDue,
    Probed,
    Message,
    News,
    Tally,
    Complaint,
]
Action = Union[
    Deliver,
    Recall,
    Defer,
    Abandon,
    SetTimer,
    Probe,
    CloseIdle,
    Tell,
    Subscribe,
    FetchList,
    Vote,
    Note,
]
