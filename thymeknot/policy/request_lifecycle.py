"""The life cycle of a request: admission, attempts, retries, hedging and the final response."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from ..interface.actions import CancelAttempt, Fail, Reject, SendAttempt
from ..interface.clock import Ticks
from ..interface.enums import Outcome
from ..interface.events import (
    AttemptEnded,
    ClientDisconnected,
    LateResponseSeen,
    RequestReceived,
    ResponseStarted,
)
from ..interface.reasons import Reason
from ..state.endpoint_state import EndpointState
from ..state.request_state import AttemptState, RequestState
from . import idempotency
from .baseline import Baseline
from .context import BuildState, DecisionContext
from .endpoint_selection import EndpointSelection
from .exposure_budget import ExposureBudget
from .global_slowdown import GlobalSlowdown
from .hedging import Hedging
from .load_shedding import LoadShedder
from .retry_budget import RetryBudget
from .slow_start import SlowStart
from .sticky_keys import StickyKeys
from .traffic_split import TrafficSplit
from .trial_evidence import TrialEvidence


class RequestPhase(StrEnum):
    """The phases of a request's life cycle."""

    NEW = "new"
    OPEN = "open"
    ANSWERED = "answered"
    """The final response was sent; attempts may still be in flight."""


class RequestInput(StrEnum):
    """The inputs of a request's state machine."""

    RECEIVED = "received"
    GIVEN_UP = "given up"
    CLIENT_LEFT = "client left"
    NOT_RUN = "unrun"
    """An attempt ended that provably did not run."""
    MAY_HAVE_RUN = "perhaps run"
    SLOW = "slow"
    ANSWERED = "answered"


INPUT_BY_OUTCOME = {
    Outcome.DONE: RequestInput.ANSWERED,
    Outcome.ERROR: RequestInput.MAY_HAVE_RUN,
    Outcome.TIMED_OUT: RequestInput.MAY_HAVE_RUN,
    Outcome.RESET: RequestInput.MAY_HAVE_RUN,
    Outcome.CANCELLED: RequestInput.MAY_HAVE_RUN,
    Outcome.REJECTED: RequestInput.NOT_RUN,
    Outcome.CONNECT_FAILED: RequestInput.NOT_RUN,
    Outcome.NOT_SENT: RequestInput.NOT_RUN,
}
"""The input that an attempt's outcome amounts to: whether the request may have run."""

UNSAFE_RETRY_COST = 1  # retry tokens if the request may have run; other retries are free


class RequestLifecycle:
    """Runs the state machine of each open request.

    Attributes:
        open: Requests without a final response or with attempts in flight, by id.
    """

    def __init__(
        self,
        context: DecisionContext,
        *,
        admission: LoadShedder,
        selection: EndpointSelection,
        slow_start: SlowStart,
        exposure: ExposureBudget,
        split: TrafficSplit,
        sticky_keys: StickyKeys,
        baseline: Baseline,
        slowdown: GlobalSlowdown,
        evidence: TrialEvidence,
    ) -> None:
        self.context = context
        self.admission = admission
        self.selection = selection
        self.slow_start = slow_start
        self.exposure = exposure
        self.split = split
        self.sticky_keys = sticky_keys
        self.baseline = baseline
        self.slowdown = slowdown
        self.evidence = evidence
        self.retry_budget = RetryBudget(context.settings)
        self.hedging = Hedging(context, admission)
        self.open: dict[str, RequestState] = {}

    def receive(self, event: RequestReceived) -> None:
        """Registers a new request and sends or rejects it."""
        context = self.context
        now = context.now
        request_class = context.settings.request_classes[event.request_class]
        request = RequestState(event, request_class, now, RequestPhase.NEW)
        self.open[event.id] = request
        if context.first_traffic_at is None:
            context.first_traffic_at = now
        self.exposure.count_received(request_class)
        context.arrivals.add(now)
        self.baseline.non_retries.add(now, not event.is_retry)
        if event.key:
            self.split.count_key(event.key)
        self.retry_budget.record_request()
        self.hedging.budget.record_request()
        self._apply_input(request, RequestInput.RECEIVED)

    def end_attempt(self, event: AttemptEnded) -> None:
        """Handles the end of an attempt."""
        request = self.open.get(event.id)
        if request is None or event.number >= len(request.attempts):
            return
        attempt = request.attempts[event.number]
        if not attempt.in_flight:
            return
        request_input = INPUT_BY_OUTCOME[event.outcome]
        not_run = request_input == RequestInput.NOT_RUN
        attempt.in_flight = False
        attempt.may_have_run = not not_run
        attempt.endpoint_state.in_flight -= 1
        self.sticky_keys.count_ended(request.key, attempt.endpoint.build)
        self.context.explain(
            Reason.ENDED,
            attempt.endpoint.address,
            event.number,
            event.outcome,
            event.latency,
            not_run,
        )
        self.record_outcome(request, attempt.endpoint_state, event)
        if event.outcome == Outcome.DONE:
            self.sticky_keys.pin(LateResponseSeen(request.key, attempt.endpoint.build))
        self._apply_input(request, RequestInput.ANSWERED if event.closed else request_input)

    def disconnect_client(self, event: ClientDisconnected) -> None:
        """Handles the disconnection of a request's client."""
        request = self.open.get(event.id)
        if request is not None:
            self._apply_input(request, RequestInput.CLIENT_LEFT)

    def start_response(self, event: ResponseStarted) -> None:
        """Marks the response as streaming: no other attempt can serve the request now."""
        request = self.open.get(event.id)
        if request is not None:
            request.streaming = True

    def fire_timer(self, token: int) -> None:
        """Handles a hedging timer that is due."""
        context = self.context
        request_id = self.hedging.timers.pop(token, None)
        request = self.open.get(request_id) if request_id is not None else None
        context.request_id = request.id if request else None
        if request:
            self._apply_input(request, RequestInput.SLOW)

    def _apply_input(self, request: RequestState, request_input: RequestInput) -> None:
        transition = TRANSITIONS.get((request.state, request_input))
        if transition:
            request.state, action = transition
            action(self, request)

    def _admit(self, request: RequestState) -> None:
        context = self.context
        rejection = self.admission.rejection(
            context.now,
            request.request_class,
            self.open.values(),
            context.now - (context.first_traffic_at or 0),
            recent_requests=context.arrivals.total(context.now),
            draw=context.rng.draw,
        )
        if rejection:
            reason = Reason.BY_LOT if rejection.by_chance else Reason.OVER_LIMIT
            context.explain(reason, rejection.measured, rejection.bound)
            self.baseline.rejected.add(context.now)
            self.slowdown.add_rejection()
        if rejection or not self._send(request):
            self._apply_input(request, RequestInput.GIVEN_UP)

    def _send(self, request: RequestState) -> bool:
        """Sends an attempt if possible; returns whether it did."""
        if not self._can_send(request):
            return False
        for newest in self.split.builds_for(request):
            if newest and not self.exposure.allows(request.request_class, not request.attempts):
                continue
            endpoint = self.selection.choose(request, newest)
            if endpoint:
                self._send_to(request, endpoint, newest)
                return True
        return False

    def _can_send(self, request: RequestState) -> bool:
        """Returns whether a release is known, and time and attempts are left."""
        context = self.context
        sent, max_attempts = len(request.attempts), context.settings.max_attempts
        if context.release is None:
            context.explain(Reason.NO_NEWS)
        elif context.now >= request.deadline:
            context.explain(Reason.TIME_OVER, request.deadline - context.now, 0)
        elif sent >= max_attempts:
            context.explain(Reason.MOST_DELIVERIES, sent, max_attempts)
        else:
            return True
        return False

    def _send_to(self, request: RequestState, endpoint: EndpointState, newest: bool) -> None:
        context, now = self.context, self.context.now
        self.exposure.count_sent(request.request_class, newest)
        endpoint.in_flight += 1
        self.sticky_keys.count_sent(request.key, endpoint.listed.build)
        endpoint.recent_attempts.add(now)
        request.attempts.append(AttemptState(endpoint, now))
        attempt_deadline = request.deadline
        if request.request_class.late_priority_weight <= 0 and now < request.latency_deadline:
            # A response after the latency objective has no value.
            attempt_deadline = min(attempt_deadline, request.latency_deadline)
        listed = endpoint.listed
        if context.reason_callback:
            context.explain(
                Reason.SENT,
                listed.address,
                listed.build,
                newest,
                attempt_deadline - now,
                self.selection.cost(endpoint),
            )
        number = len(request.attempts) - 1
        context.actions.append(
            SendAttempt(request.id, listed.address, max(1, attempt_deadline - now), number)
        )
        if number == 0:
            self.hedging.set_timer(request)

    def _value_deadline(self, request: RequestState) -> Ticks:
        return min(request.latency_deadline, request.deadline)

    def _can_meet_objective(self, request: RequestState) -> bool:
        """Returns whether a response after the class's mean latency would still have value."""
        mean = self.admission.mean_latencies.get(request.request_class.name, 0)
        return self.context.now + mean < self._value_deadline(request)

    def _retry(self, request: RequestState) -> None:
        """Retries after an attempt without a response, or gives up with a final response."""
        if request.in_flight():
            return
        context, now = self.context, self.context.now
        first_run = request.first_possible_run()
        token_cost = 0 if first_run is None else UNSAFE_RETRY_COST
        if not self._can_meet_objective(request):
            mean = self.admission.mean_latencies.get(request.request_class.name, 0)
            context.explain(Reason.TIME_OVER, self._value_deadline(request) - now, mean)
        elif self.retry_budget.tokens < token_cost:
            context.explain(Reason.NO_BUDGET, self.retry_budget.tokens)
        elif first_run is not None and not idempotency.may_repeat(request, now, by_client=False):
            context.explain(
                Reason.MAY_HAVE_RUN, first_run.endpoint.address, now - first_run.sent_at
            )
        elif self._send(request):
            self.retry_budget.tokens -= token_cost
            return
        self._apply_input(request, RequestInput.GIVEN_UP)

    def _hedge(self, request: RequestState) -> None:
        """Sends a hedged request if the budget, the limit and the time left allow it."""
        context = self.context
        if (
            self.hedging.has_room(request, len(self.open))
            and self._can_meet_objective(request)
            and idempotency.may_repeat(request, context.now, by_client=False)
        ):
            context.explain(Reason.SECOND_COPY, context.now - request.attempts[0].sent_at)
            self.hedging.budget.tokens -= self._send(request)

    def _reject(self, request: RequestState) -> None:
        """Sends the final response at once: waiting would only delay the client's own retry."""
        context, settings = self.context, self.context.settings
        first_run = request.first_possible_run()
        if first_run is None or idempotency.may_repeat(request, context.now, by_client=True):
            retry_after = 0
            if settings.retry_after_allowed:
                objective = request.request_class.latency_objective
                retry_after = min(settings.max_retry_after, objective // 2)
            context.explain(Reason.DEFERRED, retry_after)
            context.actions.append(Reject(request.id, retry_after))
        else:
            context.explain(Reason.ABANDONED, first_run.endpoint.address)
            context.actions.append(Fail(request.id))
        self._finish(request)

    def _finish(self, request: RequestState) -> None:
        """Cancels the attempts that are in flight after the final response."""
        context = self.context
        if context.settings.cancellation_allowed and not request.streaming:
            context.actions += [
                CancelAttempt(request.id, number)
                for number, attempt in enumerate(request.attempts)
                if attempt.in_flight
            ]
        self._remove_if_idle(request)

    def _remove_if_idle(self, request: RequestState) -> None:
        if not request.in_flight():
            self.open.pop(request.id, None)

    def record_outcome(
        self, request: RequestState, endpoint: EndpointState, event: AttemptEnded
    ) -> None:
        """Updates the statistics of the endpoint, the build and the load from an attempt's end."""
        context, outcome, latency = self.context, event.outcome, event.latency
        now, request_class = context.now, request.request_class
        self.evidence.add_outcome(request, endpoint, outcome, latency)
        self.selection.record_load(endpoint, event)
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        warmup_fraction = endpoint.warmup_fraction(now, context.settings)
        if not (endpoint.on_newest_build and context.build_state == BuildState.ON_TRIAL):
            # Slowness of the build on trial itself must not count as overload.
            self.admission.record_outcome(now, request_class, event, warmup_fraction)
        self.selection.record_outcome(endpoint, outcome)
        if outcome == Outcome.DONE:
            self.admission.record_latency(now, request_class, latency)
            mean = self.admission.mean_latencies[request_class.name]
            self.selection.record_response(endpoint, latency, warmup_fraction, mean)
            self.slow_start.record_response(warmup_fraction)


class Transition(NamedTuple):
    """The next phase of a request, and the action on entering it."""

    phase: RequestPhase
    action: Callable[[RequestLifecycle, RequestState], None]


TRANSITIONS: dict[tuple[str, RequestInput], Transition] = {
    (RequestPhase.NEW, RequestInput.RECEIVED): Transition(
        RequestPhase.OPEN, RequestLifecycle._admit
    ),
    (RequestPhase.OPEN, RequestInput.GIVEN_UP): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._reject
    ),
    (RequestPhase.OPEN, RequestInput.CLIENT_LEFT): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._finish
    ),
    (RequestPhase.OPEN, RequestInput.NOT_RUN): Transition(
        RequestPhase.OPEN, RequestLifecycle._retry
    ),
    (RequestPhase.OPEN, RequestInput.MAY_HAVE_RUN): Transition(
        RequestPhase.OPEN, RequestLifecycle._retry
    ),
    (RequestPhase.OPEN, RequestInput.SLOW): Transition(RequestPhase.OPEN, RequestLifecycle._hedge),
    (RequestPhase.OPEN, RequestInput.ANSWERED): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._finish
    ),
    (RequestPhase.ANSWERED, RequestInput.ANSWERED): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._remove_if_idle
    ),
    (RequestPhase.ANSWERED, RequestInput.NOT_RUN): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._remove_if_idle
    ),
    (RequestPhase.ANSWERED, RequestInput.MAY_HAVE_RUN): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._remove_if_idle
    ),
}
"""Transitions by phase and input. Inputs that are not listed for a phase are ignored."""
