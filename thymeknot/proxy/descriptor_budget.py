"""How the file descriptors of the process are shared between clients and endpoints."""

import resource
from typing import NamedTuple

MIN_DESCRIPTORS = 64
"""Counted on even where the machine allows fewer: the configuration takes no lower limit."""

RESERVED_DESCRIPTORS = 40
"""For discovery, the platform, the reactor's own descriptors and the standard streams."""

ENDPOINT_SHARE = 0.4
"""Of what is not reserved: connections to endpoints. The rest is for clients."""


class DescriptorBudget(NamedTuple):
    """How many connections each side may have.

    Attributes:
        clients: Connections of clients.
        endpoints: Connections to endpoints.
    """

    clients: int
    endpoints: int


def allowed_descriptors(limit: int) -> int:
    """Returns how many descriptors the machine allows, at most so many.

    Where the machine refuses one, the network library closes the connection that has come.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return limit
    return min(limit, max(allowed, MIN_DESCRIPTORS))


def descriptor_budget(limit: int) -> DescriptorBudget:
    """Shares out the descriptors that the machine allows, at most so many."""
    available = allowed_descriptors(limit) - RESERVED_DESCRIPTORS
    for_endpoints = int(available * ENDPOINT_SHARE)
    return DescriptorBudget(available - for_endpoints, for_endpoints)
