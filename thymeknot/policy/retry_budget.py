"""Token budgets for retries and hedged requests, replenished by each request."""

from ..interface.settings import Settings
from .load_shedding import SMALL_FLEET_INSTANCES

MAX_RETRY_TOKENS = 20.0  # burst of retries of one instance in a small fleet
RETRY_TOKENS_PER_REQUEST = 0.15  # a higher ratio would turn a failure into an overload
INITIAL_TOKENS_RATIO = 0.25  # of the maximum, at start


class TokenBudget:
    """A token bucket that each request replenishes and each additional attempt draws from.

    Attributes:
        tokens: The tokens left.
        max_tokens: The bucket's capacity; smaller per instance in a large fleet, because the
            bursts of its instances add up.
        tokens_per_request: Tokens that a request adds.
    """

    def __init__(self, settings: Settings, max_tokens: float, tokens_per_request: float) -> None:
        self.max_tokens = min(
            max_tokens, 1 + max_tokens * SMALL_FLEET_INSTANCES / settings.instances
        )
        self.tokens = self.max_tokens * INITIAL_TOKENS_RATIO
        self.tokens_per_request = tokens_per_request

    def record_request(self) -> None:
        """Replenishes the budget for one received request."""
        self.tokens = min(self.max_tokens, self.tokens + self.tokens_per_request)


class RetryBudget(TokenBudget):
    """The token budget for retries of requests that may have run."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST)
