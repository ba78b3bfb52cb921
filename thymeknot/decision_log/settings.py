"""Settings of the decision log. Their schema is operator_config/schema/why.cue."""

from typing import NamedTuple, Optional

from ..interface.clock import Ticks


class DecisionLogSettings(NamedTuple):
    """The `why` section of an operator file. The field names are its keys."""

    megabytes: int
    """The size of the decision log, in units of 10^6 bytes."""
    directory: Optional[str]
    """Directory of the log file, relative to the operator file; None keeps the log in memory."""
    listen: str
    """The address of the query server: `host:port` or `unix:path`."""
    costly: float
    """The share of slots for request classes that are not idempotent, if there are also others."""
    ordinary: float
    """The share of slots for ordinary requests of idempotent request classes."""
    span: Ticks
    """The time that the sample of ordinary requests should cover."""
    answers: int
    """The maximum number of entries in the answer to a query."""
