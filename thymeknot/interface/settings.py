"""What an instance reads once, when it starts."""

from typing import NamedTuple

from .clock import Ticks
from .enums import DeduplicationScope, Idempotency, PromotionMode


class RequestClass(NamedTuple):
    """A class of requests with its objectives."""

    name: str
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: Ticks
    latency_objective: Ticks
    outer_limit: Ticks
    """After this nothing is earned: no client waits longer."""
    priority_weight: float
    """What an answer within the latency objective is worth."""
    late_priority_weight: float
    """What an answer after the latency objective is worth."""


class Settings(NamedTuple):
    """What the decisions read at start. Durations are in ticks, rates a second."""

    request_classes: dict[str, RequestClass]
    instances: int
    """How many sidecars share the endpoints."""
    lists_polled: bool
    """Whether endpoint lists are asked for, rather than pushed."""
    max_attempts: int
    max_retry_after: Ticks
    hedging_allowed: bool
    cancellation_allowed: bool
    retry_after_allowed: bool
    load_metrics: tuple[str, ...]
    """Names of the values of a load report, in their order."""
    poll_within: Ticks
    warmup_initial_fraction: float
    """Part of its capacity that an endpoint has at its start."""
    warmup_duration: Ticks
    overload_factor: float
    overload_window: Ticks
    exposure_window: Ticks
    exposure_allowance: float
    guarded_stages: int
    stage_fractions: tuple[float, ...]
    """Part of the machines that runs the build on trial, by stage."""
    exposure_by_class: bool
    sticky_keys: bool
    replaces_machines: bool
    promotion_mode: PromotionMode
    votes_to_revert: int
    vote_lifetime: Ticks
    vote_timeout: Ticks
    votes_per_second: float


class ConnectionLimits(NamedTuple):
    """What bounds the connections of a sidecar; the decisions do not read it."""

    connect_timeout: Ticks
    idle_timeout: Ticks
    max_open: int
