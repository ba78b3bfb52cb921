"""Ready endpoints of one build by subset rank, in an order that a change updates without a scan."""

from bisect import bisect_left, insort
from collections.abc import Iterable

from .endpoint_state import EndpointState
from .random_source import LinearCongruentialGenerator


class SubsetRanking:
    """Endpoints in the order of their subset ranks; the first ones are those in use.

    Endpoints of equal rank are in the order in which they were listed. An endpoint's rank and
    listing number change only through this class while it is ranked.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, EndpointState]] = []

    def rank_all(
        self, endpoints: Iterable[EndpointState], random_source: LinearCongruentialGenerator
    ) -> None:
        """Replaces all endpoints; see `add`."""
        known = [endpoint for endpoint in endpoints if endpoint.subset_rank is not None]
        new = [endpoint for endpoint in endpoints if endpoint.subset_rank is None]
        self._entries = sorted(_entry(endpoint) for endpoint in known)
        self._draw_ranks(new, random_source)
        self._entries = sorted([*self._entries, *(_entry(endpoint) for endpoint in new)])

    def add(
        self, endpoints: Iterable[EndpointState], random_source: LinearCongruentialGenerator
    ) -> None:
        """Adds endpoints; those without a rank get a random one among the lowest existing ranks.

        Args:
            endpoints: Endpoints that are not ranked here, in the order in which they were listed.
            random_source: Draws the ranks.
        """
        new = []
        for endpoint in endpoints:
            if endpoint.subset_rank is None:
                new.append(endpoint)
            else:
                insort(self._entries, _entry(endpoint))
        self._draw_ranks(new, random_source)
        for endpoint in new:
            insort(self._entries, _entry(endpoint))

    def _draw_ranks(
        self, endpoints: list[EndpointState], random_source: LinearCongruentialGenerator
    ) -> None:
        lowest_rank = int(self._entries[0][0]) if self._entries else 0
        for endpoint in endpoints:
            endpoint.subset_rank = lowest_rank + random_source.draw()

    def remove(self, endpoint: EndpointState) -> None:
        """Removes a ranked endpoint, which keeps its rank."""
        entry = _entry(endpoint)
        del self._entries[bisect_left(self._entries, entry[:2])]

    def demote(self, endpoints: Iterable[EndpointState]) -> None:
        """Moves ranked endpoints behind those whose ranks have the same integer part."""
        for endpoint in endpoints:
            self.remove(endpoint)
            rank, listing_number, _ = _entry(endpoint)
            endpoint.subset_rank = rank + 1
            insort(self._entries, (endpoint.subset_rank, listing_number, endpoint))

    def first(self, count: int) -> list[EndpointState]:
        """Returns the endpoints of the lowest ranks, at most `count`."""
        return [endpoint for _, _, endpoint in self._entries[:count]]


def _entry(endpoint: EndpointState) -> tuple[float, int, EndpointState]:
    assert endpoint.subset_rank is not None  # it is ranked
    return endpoint.subset_rank, endpoint.listing_number, endpoint
