"""How much memory the open requests may take, and how clients' connections share it.

Source: dynamic thresholds for shared buffers (Choudhury and Hahne, 1998).
"""

from collections.abc import Hashable

BYTES_PER_MEGABYTE = 1 << 20
# Fraction of the memory limit for what clients have sent of open requests. Each of these bytes may
# be held twice more, by the parser and in an attempt's write buffer.
OPEN_REQUESTS_FRACTION = 1 / 8
REQUEST_OVERHEAD_BYTES = 2048  # of the objects of an open request and its attempts


class MemoryBudget:
    """Bounds the memory of the open requests.

    A connection may hold as much as is free. Few connections can thus use most of the budget, and
    with n connections that send all they can, each gets 1/(n + 1) of it: a part always stays free
    for the others.

    Attributes:
        limit: The maximum size of all open requests, in bytes.
        used: Their size, in bytes.
        held: The size of the open requests of each owner, in bytes; owners without one are absent.
    """

    def __init__(self, memory_limit: float) -> None:
        """Creates an empty budget.

        Args:
            memory_limit: The memory that the process may take, in megabytes.
        """
        self.limit = 0.0
        self.used = 0
        self.held: dict[Hashable, int] = {}
        self.set_memory_limit(memory_limit)

    def set_memory_limit(self, megabytes: float) -> None:
        """Changes the memory that the process may take; open requests are kept."""
        self.limit = megabytes * BYTES_PER_MEGABYTE * OPEN_REQUESTS_FRACTION

    def allows(self, owner: Hashable, size: int) -> bool:
        """Returns whether a request of this size in bytes may be opened for an owner."""
        free = self.limit - self.used
        return self.held.get(owner, 0) + size + REQUEST_OVERHEAD_BYTES <= free

    def charge(self, owner: Hashable, size: int) -> None:
        """Counts a request that was opened for an owner."""
        charged = size + REQUEST_OVERHEAD_BYTES
        self.used += charged
        self.held[owner] = self.held.get(owner, 0) + charged

    def release(self, owner: Hashable, size: int) -> None:
        """Counts the end of a request that was charged to an owner."""
        charged = size + REQUEST_OVERHEAD_BYTES
        self.used -= charged
        self.held[owner] -= charged
        if not self.held[owner]:
            del self.held[owner]
