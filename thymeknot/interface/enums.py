"""Enumerations used by events, actions and settings.

Their values are logged and stored, so they must not change.
"""

from enum import IntEnum, StrEnum


class Outcome(StrEnum):
    """How an attempt ended."""

    DONE = "done"
    ERROR = "error"
    """The endpoint responded with an application error."""
    REJECTED = "full"
    """The endpoint rejected it because of overload, without executing it."""
    TIMED_OUT = "expired"
    CONNECT_FAILED = "unconnected"
    RESET = "reset"
    """The connection was lost before the response was complete."""
    CANCELLED = "recalled"
    NOT_SENT = "unsent"
    """None of its bytes were written."""


class Idempotency(StrEnum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "retriable"
    KEYED = "fingerprinted"
    """Retries carry an idempotency key, by which endpoints deduplicate them for a limited time."""
    NON_IDEMPOTENT = "binding"


class DeduplicationScope(StrEnum):
    """The set of endpoints that deduplicate the retries of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class UpdateKind(StrEnum):
    """The kind of an endpoint list update."""

    DELTA = "changes"
    FULL = "whole"
    CACHED = "remembered"
    """A full list that was stored earlier."""
    FETCH_FAILED = "missed"
    """The fetch failed, so there is no list."""


class EndpointCondition(StrEnum):
    """The state of an endpoint in service discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ReleasePhase(IntEnum):
    """The phase of a build's rollout."""

    ON_TRIAL = 0
    ROLLING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(IntEnum):
    """The verdict of a vote on the build on trial."""

    ABSTAIN = 0
    PROMOTE = 1
    PAUSE = 2
    ABORT = 3


class PromotionMode(StrEnum):
    """The condition that promotes a build to its next stage."""

    FIRST_VOTE = "first voice"
    QUORUM = "by count"
    TIMER = "by clock"


UTILISATION = "utilisation"
"""The name of the load report value for CPU utilisation."""
