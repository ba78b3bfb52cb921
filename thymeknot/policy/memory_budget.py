"""How much memory clients' connections may make the process hold, and how they share it.

Source: dynamic thresholds for shared buffers (Choudhury and Hahne, 1998).
"""

from collections.abc import Hashable

BYTES_PER_MEGABYTE = 1 << 20
# Fractions of the memory limit for commands that have not arrived completely, for responses that
# wait for an earlier one or for a client that does not read, and for all receive buffers.
PARTIAL_COMMANDS_FRACTION = 1 / 32
RESPONSES_FRACTION = 1 / 32
# Fraction for responses that have not arrived completely from endpoints.
PARTIAL_RESPONSES_FRACTION = 1 / 8
RECEIVE_BUFFERS_FRACTION = 1 / 32
MIN_RECEIVE_BUFFER_BYTES = 2 << 10
MAX_RECEIVE_BUFFER_BYTES = 16 << 10
# Fraction of the memory limit for what clients have sent of open requests. Each of these bytes may
# be held twice more, by the parser and in an attempt's write buffer.
OPEN_REQUESTS_FRACTION = 1 / 8
REQUEST_OVERHEAD_BYTES = 8192  # of the objects of an open request, its attempts and connection


class MemoryBudget:
    """Bounds the memory of one kind, shared by dynamic thresholds.

    A connection may hold as much as is free. Few connections can thus use most of the budget, and
    with n connections that send all they can, each gets 1/(n + 1) of it: a part always stays free
    for the others.

    Attributes:
        limit: The maximum size of all that is held, in bytes.
        used: The size of what is held, in bytes.
        held: What each owner holds, in bytes; owners that hold nothing are absent.
    """

    def __init__(self, memory_limit: float, fraction: float = OPEN_REQUESTS_FRACTION) -> None:
        """Creates an empty budget.

        Args:
            memory_limit: The memory that the process may take, in megabytes.
            fraction: The part of it that this budget is.
        """
        self.limit = 0.0
        self.used = 0
        self.held: dict[Hashable, int] = {}
        self._fraction = fraction
        self.set_memory_limit(memory_limit)

    def set_memory_limit(self, megabytes: float) -> None:
        """Changes the memory that the process may take; what is held is kept."""
        self.limit = megabytes * BYTES_PER_MEGABYTE * self._fraction

    def allows(self, owner: Hashable, size: int) -> bool:
        """Returns whether a request of this size in bytes may be opened for an owner."""
        free = self.limit - self.used
        return self.held.get(owner, 0) + size + REQUEST_OVERHEAD_BYTES <= free

    def charge(self, owner: Hashable, size: int) -> None:
        """Counts a request that was opened for an owner."""
        self.hold(owner, self.held.get(owner, 0) + size + REQUEST_OVERHEAD_BYTES)

    def release(self, owner: Hashable, size: int) -> None:
        """Counts the end of a request that was charged to an owner."""
        self.hold(owner, self.held[owner] - size - REQUEST_OVERHEAD_BYTES)

    def resize(self, owner: Hashable, size: int) -> bool:
        """Changes what an owner holds to this size in bytes.

        Returns:
            Whether it was changed; a larger size that is not allowed leaves it as it was.
        """
        if size > self.held.get(owner, 0) and size > self.limit - self.used:
            return False
        self.hold(owner, size)
        return True

    def hold(self, owner: Hashable, size: int) -> None:
        """Counts that an owner holds this size in bytes, whether or not the budget allows it."""
        previous = self.held.get(owner, 0)
        if size == previous:
            return
        self.used += size - previous
        if size:
            self.held[owner] = size
        else:
            self.held.pop(owner, None)


class ClientMemory:
    """The memory that peers may make the process hold, by kind.

    Attributes:
        open_requests: Requests from their arrival to their end.
        partial_commands: Commands that have not arrived completely.
        responses: Responses that wait for an earlier one, or for a client that does not read.
        partial_responses: Responses that have not arrived completely from endpoints.
        receive_buffer_bytes: How much is read from a connection at once.
    """

    def __init__(self, memory_limit: float, max_clients: int) -> None:
        """Creates an empty account.

        Args:
            memory_limit: The memory that the process may take, in megabytes.
            max_clients: The maximum number of clients' connections.
        """
        self.open_requests = MemoryBudget(memory_limit)
        self.partial_commands = MemoryBudget(memory_limit, PARTIAL_COMMANDS_FRACTION)
        self.responses = MemoryBudget(memory_limit, RESPONSES_FRACTION)
        self.partial_responses = MemoryBudget(memory_limit, PARTIAL_RESPONSES_FRACTION)
        self.receive_buffer_bytes = 0
        self._max_clients = max_clients
        self.set_memory_limit(memory_limit)

    def set_memory_limit(self, megabytes: float) -> None:
        """Changes the memory that the process may take; what is held is kept."""
        for budget in (
            self.open_requests,
            self.partial_commands,
            self.responses,
            self.partial_responses,
        ):
            budget.set_memory_limit(megabytes)
        share = megabytes * BYTES_PER_MEGABYTE * RECEIVE_BUFFERS_FRACTION / self._max_clients
        self.receive_buffer_bytes = int(
            min(max(share, MIN_RECEIVE_BUFFER_BYTES), MAX_RECEIVE_BUFFER_BYTES)
        )
