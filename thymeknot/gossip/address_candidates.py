"""Addresses that other peers have told for a peer which has not proved one yet.

Anyone may lie about an address, so none of them is preferred: each group of peers holds at most one
place, and the addresses are probed in turn until the peer answers from one of them. What a liar
says takes the place of its own former word at most, or of an address that was probed in vain.
"""

from ..interface.clock import Ticks
from .rate_limits import Address

MAX_BACKOFF_DOUBLINGS = 6  # of the interval between probes of an address that does not answer


class AddressCandidate:
    """An address that one group of peers has told.

    Attributes:
        address: The address.
        last_probe_at: When it, or the former address in its place, was last probed; None for never.
        failed_probes: Number of its probes, up to `MAX_BACKOFF_DOUBLINGS`.
    """

    __slots__ = ("address", "failed_probes", "last_probe_at")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.last_probe_at: Ticks | None = None
        self.failed_probes = 0

    def due_at(self, period: Ticks) -> Ticks:
        """Returns when it may be probed again, in ticks; 0 if it was never probed."""
        if self.last_probe_at is None:
            return 0
        return self.last_probe_at + period * (1 << self.failed_probes)


class AddressCandidates:
    """The candidates for the address of one peer, at most one for each group that told one."""

    def __init__(self) -> None:
        self._by_group: dict[str, AddressCandidate] = {}

    def __bool__(self) -> bool:
        return bool(self._by_group)

    def add(self, group: str, address: Address, capacity: int) -> bool:
        """Stores an address that a peer of this group has told.

        Args:
            group: Group of the peer that told it.
            address: The told address.
            capacity: Maximum number of candidates; with more of them than groups that lie, there is
                always room for an honest group's.

        Returns:
            Whether the group had no candidate before and has one now.
        """
        candidate = self._by_group.get(group)
        if candidate is not None:
            if candidate.address != address:
                candidate.address = address
                candidate.failed_probes = 0
            return False
        if len(self._by_group) >= capacity and not self._remove_least_likely():
            return False
        self._by_group[group] = AddressCandidate(address)
        return True

    def _remove_least_likely(self) -> bool:
        """Removes the candidate that was probed in vain most often, if any was."""
        group = max(self._by_group, key=lambda name: self._by_group[name].failed_probes)
        if not self._by_group[group].failed_probes:
            return False
        del self._by_group[group]
        return True

    def next_due_at(self, period: Ticks) -> Ticks | None:
        """Returns when the next candidate may be probed, in ticks; None without candidates."""
        return min((each.due_at(period) for each in self._by_group.values()), default=None)

    def take_next(self, now: Ticks, period: Ticks) -> Address | None:
        """Returns the address to probe now, the one that has waited longest; None if none is due.

        Args:
            now: Current time.
            period: Interval between the first two probes of an address, which doubles with each.
        """
        due = [each for each in self._by_group.values() if each.due_at(period) <= now]
        if not due:
            return None
        address = min(due, key=lambda each: each.due_at(period)).address
        for candidate in self._by_group.values():
            if candidate.address == address:
                candidate.last_probe_at = now
                candidate.failed_probes = min(candidate.failed_probes + 1, MAX_BACKOFF_DOUBLINGS)
        return address

    def clear(self) -> None:
        """Removes all candidates, since the peer has proved an address."""
        self._by_group = {}
