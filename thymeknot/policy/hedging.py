"""Hedged requests: a second attempt for a request that takes much longer than its class's mean."""

from ..interface.actions import SetTimer
from ..interface.enums import Idempotency
from ..state.request_state import RequestState
from .context import DecisionContext
from .load_shedding import LoadShedder
from .retry_budget import TokenBudget

MAX_HEDGE_TOKENS = 5.0  # burst of hedged requests of one instance in a small fleet
HEDGE_TOKENS_PER_REQUEST = 0.05  # hedged requests add at most this fraction to the traffic
HEDGE_DELAY_LATENCY_RATIO = 3.0  # of the class's mean response time
HEDGE_DELAY_OBJECTIVE_RATIO = 0.4  # of its latency objective; the longer delay applies
OPEN_REQUESTS_HEADROOM = 2  # hedge only if twice the open requests are within the limit


class Hedging:
    """Decides when a request gets a second attempt while its first one is in flight.

    Attributes:
        budget: The token budget for hedged requests.
        timers: Request ids by the token of their hedging timer.
    """

    def __init__(self, context: DecisionContext, admission: LoadShedder) -> None:
        self.context = context
        self.admission = admission
        self.budget = TokenBudget(context.settings, MAX_HEDGE_TOKENS, HEDGE_TOKENS_PER_REQUEST)
        self.timers: dict[int, str] = {}
        self._last_token = 0

    def set_timer(self, request: RequestState) -> None:
        """Schedules the hedging timer after the first attempt, if the request may be hedged."""
        context, request_class = self.context, request.request_class
        if (
            not context.settings.hedging_allowed
            or request_class.idempotency != Idempotency.IDEMPOTENT
        ):
            return
        objective = request_class.latency_objective
        self._last_token += 1
        delay = max(
            HEDGE_DELAY_LATENCY_RATIO
            * self.admission.mean_latencies.get(request_class.name, objective),
            HEDGE_DELAY_OBJECTIVE_RATIO * objective,
        )
        self.timers[self._last_token] = request.id
        context.actions.append(SetTimer(context.now + int(delay), self._last_token))

    def has_room(self, request: RequestState, open_requests: int) -> bool:
        """Returns whether the token budget and the concurrency limit allow a hedged request."""
        context = self.context
        first_traffic_at = context.first_traffic_at or 0
        limit = self.admission.concurrency_limit(
            context.now, request.request_class, context.now - first_traffic_at
        )
        return (
            self.budget.tokens >= 1
            and OPEN_REQUESTS_HEADROOM * open_requests <= limit
            and not request.streaming
            and request.in_flight() == 1
        )
