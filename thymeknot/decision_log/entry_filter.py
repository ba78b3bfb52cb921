"""Which entries a query asks for."""

from typing import NamedTuple, Optional

from ..interface.clock import Ticks
from .entry_codec import Entry


class EntryFilter(NamedTuple):
    """What an entry must have; None admits anything."""

    request_class: Optional[str] = None
    tenant: Optional[str] = None
    endpoint: Optional[str] = None
    """The endpoint that it was sent to. Found by the index, so that `matches` leaves it out."""
    reason: Optional[int] = None
    """One of its notes names it."""
    since: Optional[Ticks] = None
    """It was taken within this time before the query."""

    def matches(self, entry: Entry, earliest: Optional[Ticks] = None) -> bool:
        """Compares everything but the endpoint.

        Args:
            entry: What is compared.
            earliest: The earliest Unix time at which it may have been taken; stands for `since`.
        """
        return (
            (self.request_class is None or entry.request_class == self.request_class)
            and (self.tenant is None or entry.tenant == self.tenant)
            and (earliest is None or entry.received_at >= earliest)
            and (self.reason is None or any(note[0] == self.reason for note in entry.notes))
        )
