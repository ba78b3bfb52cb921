"""Codes that events, actions and settings carry. Their values are logged and stored, so they never change."""

from enum import IntEnum, StrEnum


class Outcome(StrEnum):
    """How an attempt ended."""

    DONE = "done"
    ERROR = "error"
    REJECTED = "full"
    TIMED_OUT = "expired"
    CONNECT_FAILED = "unconnected"
    RESET = "reset"
    CANCELLED = "recalled"
    NOT_SENT = "unsent"


class Idempotency(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "retriable"
    KEYED = "fingerprinted"
    """Repeats carry an idempotency key, by which endpoints drop them for a while."""
    NON_IDEMPOTENT = "binding"


class DeduplicationScope(StrEnum):
    """Which endpoints drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class UpdateKind(StrEnum):
    """What an endpoint list is."""

    DELTA = "changes"
    FULL = "whole"
    CACHED = "remembered"
    FETCH_FAILED = "missed"


class EndpointCondition(StrEnum):
    """What an endpoint is listed as."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ReleasePhase(IntEnum):
    """Where the rollout of a build stands."""

    ON_TRIAL = 0
    ROLLING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(IntEnum):
    """What a vote says of the build on trial."""

    ABSTAIN = 0
    PROMOTE = 1
    PAUSE = 2
    ABORT = 3


class PromotionMode(StrEnum):
    """Who moves a build on."""

    FIRST_VOTE = "first voice"
    QUORUM = "by count"
    TIMER = "by clock"


UTILISATION = "utilisation"
"""The value of a load report that tells how busy the cores are."""
