"""Credibility of origins: raised by evidence that own attempts confirm, lowered otherwise."""

INITIAL_CREDIT = 0.5  # of an origin without any judged evidence
MIN_CREDIT = 0.2  # evidence of an origin with less credit is ignored
CREDIT_GAIN = 0.1  # added for evidence that own attempts confirm
CREDIT_LOSS_FACTOR = 0.5  # multiplies the credit for evidence that own attempts refute
CREDIT_RECOVERY = 0.002  # share of the distance to the initial credit, per call of `recover`


class Credibility:
    """The credit of each origin, from 0 to 1."""

    def __init__(self) -> None:
        self._credits: dict[str, float] = {}

    def credit_of(self, origin: str) -> float:
        """Returns an origin's credit."""
        return self._credits.get(origin, INITIAL_CREDIT)

    def record_confirmation(self, origin: str) -> None:
        """Raises the credit of an origin whose evidence was confirmed."""
        self._credits[origin] = min(1.0, self.credit_of(origin) + CREDIT_GAIN)

    def record_refutation(self, origin: str) -> None:
        """Lowers the credit of an origin whose evidence was refuted."""
        self._credits[origin] = self.credit_of(origin) * CREDIT_LOSS_FACTOR

    def record_equivocation(self, origin: str) -> None:
        """Removes all credit of an origin that signed contradicting items."""
        self._credits[origin] = 0.0

    def recover(self) -> None:
        """Moves each credit a step towards the initial credit, so that no judgement is final."""
        for origin in list(self._credits):
            credit = self._credits[origin]
            self._credits[origin] = credit + CREDIT_RECOVERY * (INITIAL_CREDIT - credit)
            if abs(credit - INITIAL_CREDIT) < CREDIT_RECOVERY:
                del self._credits[origin]
