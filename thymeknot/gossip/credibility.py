"""What an origin's word is worth: more as it proved right before, less as it proved wrong."""

INITIAL_CREDIT = 0.5  # of one that said nothing yet
MIN_CREDIT = 0.2  # below it a word counts for nothing
CREDIT_GAIN = 0.1  # added by a word that proved right
CREDIT_LOSS_FACTOR = 0.5  # times the credit, by a word that proved wrong
CREDIT_RECOVERY = 0.002  # of the way back to the initial credit, each time


class Credibility:
    """The credit of each origin, from 0 to 1."""

    def __init__(self) -> None:
        self._credits: dict[str, float] = {}

    def credit_of(self, origin: str) -> float:
        """Returns an origin's credit."""
        return self._credits.get(origin, INITIAL_CREDIT)

    def record_confirmation(self, origin: str) -> None:
        """Raises an origin's credit."""
        self._credits[origin] = min(1.0, self.credit_of(origin) + CREDIT_GAIN)

    def record_refutation(self, origin: str) -> None:
        """Lowers an origin's credit."""
        self._credits[origin] = self.credit_of(origin) * CREDIT_LOSS_FACTOR

    def record_equivocation(self, origin: str) -> None:
        """Takes all of an origin's credit."""
        self._credits[origin] = 0.0

    def recover(self) -> None:
        """Takes each origin a step back to the initial credit: what one was is not for ever."""
        for origin in list(self._credits):
            credit = self._credits[origin]
            self._credits[origin] = credit + CREDIT_RECOVERY * (INITIAL_CREDIT - credit)
            if abs(credit - INITIAL_CREDIT) < CREDIT_RECOVERY:
                del self._credits[origin]
