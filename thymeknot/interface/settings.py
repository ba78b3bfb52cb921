"""Settings that an instance reads once, when it starts."""

from typing import NamedTuple

from .clock import Ticks
from .enums import DeduplicationScope, Idempotency, PromotionMode


class RequestClass(NamedTuple):
    """A class of requests with its objectives."""

    name: str
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: Ticks
    """How long retries are recognised, from the first attempt that may have run."""
    latency_objective: Ticks
    outer_limit: Ticks
    """A later response is worth nothing: no client waits longer."""
    priority_weight: float
    """What a response within the latency objective is worth."""
    late_priority_weight: float
    """What a response after the latency objective is worth."""


class Settings(NamedTuple):
    """What the decision engine reads at start. Durations are in ticks, rates per second."""

    request_classes: dict[str, RequestClass]
    instances: int
    """How many sidecars share the endpoints."""
    lists_polled: bool
    """Whether the endpoint lists are polled, rather than pushed."""
    max_attempts: int
    """Attempts of one request at most, hedged ones included."""
    max_retry_after: Ticks
    hedging_allowed: bool
    cancellation_allowed: bool
    retry_after_allowed: bool
    load_metrics: tuple[str, ...]
    """Names of the values of a load report, in their order."""
    poll_within: Ticks
    """Polled lists: a change counts as known after this."""
    warmup_initial_fraction: float
    """Fraction of its capacity that an endpoint has at its start."""
    warmup_duration: Ticks
    overload_factor: float
    """An endpoint that warms up fails under this many times its present capacity."""
    overload_window: Ticks
    """How long it takes that load before it fails."""
    exposure_window: Ticks
    """Over which the attempts at the build on trial are bounded."""
    exposure_allowance: float
    """Attempts there that are allowed beyond the cap's fraction of the requests."""
    guarded_stages: int
    """In the stages before this one only idempotent requests go to the build on trial."""
    stage_fractions: tuple[float, ...]
    """Fraction of the machines that runs the build on trial, by stage."""
    exposure_by_class: bool
    """Whether the exposure is bounded for each request class alone."""
    sticky_keys: bool
    """Whether a key that the newest build has answered stays with it."""
    replaces_machines: bool
    """Whether the new build takes the place of the earlier one's machines, not one beside them."""
    promotion_mode: PromotionMode
    votes_to_revert: int
    """Instances whose votes roll the build back."""
    vote_lifetime: Ticks
    """How long a vote stands."""
    vote_timeout: Ticks
    """The longest wait for the response to a vote."""
    votes_per_second: float
    """What the platform takes from all instances together."""


class ConnectionLimits(NamedTuple):
    """Limits of a sidecar's connections; the decision engine does not read them."""

    connect_timeout: Ticks
    idle_timeout: Ticks
    """After this an endpoint closes an idle connection."""
    max_open: int
    """Connections to endpoints at once, those being dialled included."""
