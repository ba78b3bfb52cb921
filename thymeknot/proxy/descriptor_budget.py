"""Divides the file descriptors of the process between clients and endpoints."""

import resource
from typing import NamedTuple

MIN_DESCRIPTORS = 64
"""Assumed even if the system allows fewer, as the configuration accepts no lower limit."""

RESERVED_DESCRIPTORS = 40
"""Reserved for discovery, the platform, the reactor's descriptors and standard streams."""

ENDPOINT_SHARE = 0.4
"""Fraction of the unreserved descriptors for endpoints; the rest is for clients."""


class DescriptorBudget(NamedTuple):
    """Maximum numbers of connections.

    Attributes:
        clients: Maximum number of connections from clients.
        endpoints: Maximum number of connections to endpoints.
    """

    clients: int
    endpoints: int


def allowed_descriptors(limit: int) -> int:
    """Returns how many descriptors the system allows, up to the limit.

    Beyond the system's limit, Twisted closes incoming connections.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return limit
    return min(limit, max(allowed, MIN_DESCRIPTORS))


def descriptor_budget(limit: int) -> DescriptorBudget:
    """Divides the descriptors that the system allows, up to the limit."""
    available = allowed_descriptors(limit) - RESERVED_DESCRIPTORS
    for_endpoints = int(available * ENDPOINT_SHARE)
    return DescriptorBudget(available - for_endpoints, for_endpoints)
