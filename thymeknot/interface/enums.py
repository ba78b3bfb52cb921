"""Codes that events, actions and settings carry.

Their values are logged and stored, so they never change.
"""

from enum import IntEnum, StrEnum


class Outcome(StrEnum):
    """How an attempt ended."""

    DONE = "done"
    ERROR = "error"
    """The endpoint answered with an error of the application."""
    REJECTED = "full"
    """The endpoint rejected it because of overload, and did not run it."""
    TIMED_OUT = "expired"
    CONNECT_FAILED = "unconnected"
    RESET = "reset"
    """The connection was lost before the response was complete."""
    CANCELLED = "recalled"
    NOT_SENT = "unsent"
    """Nothing of it was written."""


class Idempotency(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "retriable"
    KEYED = "fingerprinted"
    """Retries carry an idempotency key, by which endpoints drop them for a while."""
    NON_IDEMPOTENT = "binding"


class DeduplicationScope(StrEnum):
    """Which endpoints recognise the retries of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class UpdateKind(StrEnum):
    """What an update of the endpoint list is."""

    DELTA = "changes"
    FULL = "whole"
    CACHED = "remembered"
    """A full list that was stored earlier."""
    FETCH_FAILED = "missed"
    """No list: the fetch failed."""


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
    """What a vote says about the build on trial."""

    ABSTAIN = 0
    PROMOTE = 1
    PAUSE = 2
    ABORT = 3


class PromotionMode(StrEnum):
    """What promotes a build to its next stage."""

    FIRST_VOTE = "first voice"
    QUORUM = "by count"
    TIMER = "by clock"


UTILISATION = "utilisation"
"""The name of the value of a load report that says how busy the cores are."""
