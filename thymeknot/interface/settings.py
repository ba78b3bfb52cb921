"""Settings that an instance reads once, at start."""

from typing import NamedTuple

from .clock import TICKS_PER_SECOND, Ticks
from .enums import DeduplicationScope, Idempotency, PromotionMode


class RequestClass(NamedTuple):
    """A request class and its service objectives."""

    name: str
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: Ticks
    """How long retries are deduplicated, from the first attempt that may have been executed."""
    latency_objective: Ticks
    outer_limit: Ticks
    """The longest that any client waits; a later response has no value."""
    priority_weight: float
    """The weight of a response within the latency objective."""
    late_priority_weight: float
    """The weight of a response after the latency objective."""


class Settings(NamedTuple):
    """The decision engine's settings. Durations are in ticks, rates per second."""

    request_classes: dict[str, RequestClass]
    instances: int
    """The number of sidecars that share the endpoints."""
    lists_polled: bool
    """Whether endpoint lists are polled from a shared service, rather than pushed."""
    max_attempts: int
    """The maximum number of attempts per request, hedged ones included."""
    max_retry_after: Ticks
    hedging_allowed: bool
    cancellation_allowed: bool
    retry_after_allowed: bool
    load_metrics: tuple[str, ...]
    """The names of the values in a load report, in order."""
    poll_within: Ticks
    """With polled lists, the time within which a change must be known."""
    warmup_initial_fraction: float
    """The fraction of its capacity that an endpoint has when it starts."""
    warmup_duration: Ticks
    overload_factor: float
    """A warming endpoint fails under a load of this many times its current capacity."""
    overload_window: Ticks
    """How long it withstands that load."""
    exposure_window: Ticks
    """The sliding window of the exposure budget."""
    exposure_allowance: float
    """Attempts at the build on trial allowed in the window beyond the cap's fraction."""
    guarded_stages: int
    """In stages before this one only idempotent requests go to the build on trial."""
    stage_fractions: tuple[float, ...]
    """The fraction of machines that run the build on trial, by stage."""
    exposure_by_class: bool
    """Whether each request class has an exposure budget of its own."""
    sticky_keys: bool
    """Whether a key that the newest build has served stays with it."""
    replaces_machines: bool
    """Whether the new build replaces the earlier one on its machines, rather than adding some."""
    promotion_mode: PromotionMode
    votes_to_revert: int
    """The number of instances whose votes roll a build back."""
    vote_lifetime: Ticks
    """How long a vote is valid."""
    vote_timeout: Ticks
    """The timeout of a vote's response."""
    votes_per_second: float
    """The platform's rate limit for votes of all instances together."""
    drain_grace: Ticks = TICKS_PER_SECOND // 4
    """How long new attempts may still go to an endpoint after it was notified draining or gone."""


class ConnectionLimits(NamedTuple):
    """Limits of a sidecar's connections, which the decision engine does not use."""

    connect_timeout: Ticks
    idle_timeout: Ticks
    """After this time an endpoint closes an idle connection."""
    max_open: int
    """The maximum number of connections to endpoints, including those being established."""
