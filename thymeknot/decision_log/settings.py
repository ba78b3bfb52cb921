"""What an operator sets for the record. Durations are whole tenths of a millisecond. See operator/schema/why.cue."""

from typing import NamedTuple, Optional


class DecisionLogSettings(NamedTuple):
    megabytes: int
    directory: Optional[str]
    listen: str
    costly: float
    ordinary: float
    span: int
    answers: int
