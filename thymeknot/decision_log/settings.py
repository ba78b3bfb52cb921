"""What an operator sets for the decision log. See operator_config/schema/why.cue."""

from typing import NamedTuple, Optional

from ..interface.clock import Ticks


class DecisionLogSettings(NamedTuple):
    """The `why` section of an operator file; the field names are its keys."""

    megabytes: int
    """Size of the record."""
    directory: Optional[str]
    """Of the record's file, relative to the operator file; None keeps the record in memory."""
    listen: str
    """Address of the query server: `host:port` or `unix:path`."""
    costly: float
    """Part of the slots for request classes that are not idempotent, where there are others."""
    ordinary: float
    """Part of the slots for ordinary transactions of idempotent request classes."""
    span: Ticks
    """How long the sample of ordinary transactions is meant to reach back."""
    answers: int
    """Most entries in the answer to one query."""
