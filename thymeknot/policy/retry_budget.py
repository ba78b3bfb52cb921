"""Tokens for what is sent beside first attempts, gained with each request."""

from ..interface.settings import Settings
from .load_shedding import FEW_INSTANCES

RETRY_TOKENS_MOST = 20.0  # retries of one instance at once, where few share the endpoints
RETRIES_PER_REQUEST = 0.15  # more would turn a failure into an overload
INITIAL_PART = 0.25  # of the most tokens, at start


class TokenBudget:
    """Tokens that are gained with each request and spent by what is sent in addition.

    Attributes:
        tokens: what is left.
        most: more are not kept. Many instances keep fewer each, as their bursts add up.
        per_request: what a request gains.
    """

    def __init__(self, settings: Settings, most: float, per_request: float) -> None:
        self.most = min(most, 1 + most * FEW_INSTANCES / settings.instances)
        self.tokens = self.most * INITIAL_PART
        self.per_request = per_request

    def count_request(self) -> None:
        """Gains what a request gains."""
        self.tokens = min(self.most, self.tokens + self.per_request)


class RetryBudget(TokenBudget):
    """The tokens for retries of what may have run."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, RETRY_TOKENS_MOST, RETRIES_PER_REQUEST)
