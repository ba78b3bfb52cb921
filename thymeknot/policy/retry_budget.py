"""Tokens for what is sent beside first attempts, gained with each request."""

from ..interface.settings import Settings
from .load_shedding import SMALL_FLEET_INSTANCES

MAX_RETRY_TOKENS = 20.0  # retries of one instance at once, where few share the endpoints
RETRY_TOKENS_PER_REQUEST = 0.15  # more would turn a failure into an overload
INITIAL_TOKENS_RATIO = 0.25  # of the most tokens, at start


class TokenBudget:
    """Tokens that are gained with each request and spent by what is sent in addition.

    Attributes:
        tokens: what is left.
        most: more are not kept. Many instances keep fewer each, as their bursts add up.
        per_request: what a request gains.
    """

    def __init__(self, settings: Settings, max_tokens: float, tokens_per_request: float) -> None:
        self.max_tokens = min(
            max_tokens, 1 + max_tokens * SMALL_FLEET_INSTANCES / settings.instances
        )
        self.tokens = self.max_tokens * INITIAL_TOKENS_RATIO
        self.tokens_per_request = tokens_per_request

    def record_request(self) -> None:
        """Gains what a request gains."""
        self.tokens = min(self.max_tokens, self.tokens + self.tokens_per_request)


class RetryBudget(TokenBudget):
    """The tokens for retries of what may have run."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST)
