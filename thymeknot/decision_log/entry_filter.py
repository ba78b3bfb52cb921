"""The filter of a query."""

from typing import NamedTuple, Optional

from ..interface.clock import Ticks
from .entry_codec import Entry


class EntryFilter(NamedTuple):
    """The conditions that an entry must meet; None matches anything."""

    request_class: Optional[str] = None
    tenant: Optional[str] = None
    endpoint: Optional[str] = None
    """An endpoint to which the request was sent; the index selects by it, not `matches`."""
    reason: Optional[int] = None
    """The number of a reason that must be among the notes."""
    since: Optional[Ticks] = None
    """The maximum age of the request at the time of the query."""

    def matches(self, entry: Entry, earliest: Optional[Ticks] = None) -> bool:
        """Returns whether an entry meets the conditions, except for that on the endpoint.

        Args:
            entry: The entry to check.
            earliest: The earliest time of receipt, in Unix time, computed from `since`.
        """
        return (
            (self.request_class is None or entry.request_class == self.request_class)
            and (self.tenant is None or entry.tenant == self.tenant)
            and (earliest is None or entry.received_at >= earliest)
            and (self.reason is None or any(note[0] == self.reason for note in entry.notes))
        )
