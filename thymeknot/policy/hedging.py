"""Hedged requests: a second copy of a request whose answer is much later than its class's."""

from ..interface.actions import SetTimer
from ..interface.enums import Idempotency
from ..state.request_state import RequestState
from .context import DecisionContext
from .load_shedding import LoadShedder
from .retry_budget import TokenBudget

HEDGE_TOKENS_MOST = 5.0  # hedged requests of one instance at once, where few share the endpoints
HEDGES_PER_REQUEST = 0.05  # hedged requests may add so much to the traffic
HEDGE_AFTER_MEANS = 3.0  # times the class's mean response time; the later of the two counts
HEDGE_AFTER_OBJECTIVE = 0.4  # of the class's latency objective; the later of the two counts
OPEN_FACTOR = 2  # room: so many times the open requests must be within the limit


class Hedging:
    """When a request is sent a second time while its first attempt is in flight.

    Attributes:
        budget: its tokens.
        timers: the id of the request, by the token of the timer that is set for it.
    """

    def __init__(self, context: DecisionContext, admission: LoadShedder) -> None:
        self.context = context
        self.admission = admission
        self.budget = TokenBudget(context.settings, HEDGE_TOKENS_MOST, HEDGES_PER_REQUEST)
        self.timers: dict[int, str] = {}
        self._last_token = 0

    def set_timer(self, request: RequestState) -> None:
        """Sets the timer for a request whose first attempt is sent, if it may be hedged."""
        context, request_class = self.context, request.request_class
        if (
            not context.settings.hedging_allowed
            or request_class.idempotency != Idempotency.IDEMPOTENT
        ):
            return
        objective = request_class.latency_objective
        self._last_token += 1
        wait = max(
            HEDGE_AFTER_MEANS * self.admission.mean_latencies.get(request_class.name, objective),
            HEDGE_AFTER_OBJECTIVE * objective,
        )
        self.timers[self._last_token] = request.id
        context.actions.append(SetTimer(context.now + int(wait), self._last_token))

    def has_room(self, request: RequestState, open_requests: int) -> bool:
        """Whether few requests need it and there is room for one more attempt."""
        context = self.context
        first_traffic_at = context.first_traffic_at or 0
        limit = self.admission.concurrency_limit(
            context.now, request.request_class, context.now - first_traffic_at
        )
        return (
            self.budget.tokens >= 1
            and OPEN_FACTOR * open_requests <= limit
            and not request.streaming
            and request.in_flight() == 1
        )
