"""A request's life: received, sent, perhaps sent again or hedged, and its final answer."""

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
from .traffic_split import TrafficSplit
from .trial_evidence import TrialEvidence


class RequestPhase(StrEnum):
    """Where a request is in its life."""

    NEW = "new"
    OPEN = "open"
    ANSWERED = "answered"
    """It has had its final answer; attempts may be in flight."""


class RequestInput(StrEnum):
    """What happens to a request."""

    RECEIVED = "received"
    GIVEN_UP = "given up"
    CLIENT_LEFT = "client left"
    NOT_RUN = "unrun"
    """An attempt ended, and it is proved that it did not run."""
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
"""What the end of an attempt proves."""

MAY_HAVE_RUN_COST = 1  # tokens for a retry of what may have run; others are free


class RequestLifecycle:
    """The requests in hand.

    Attributes:
        open: requests without a final answer or with attempts in flight, by id.
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
        self.baseline = baseline
        self.slowdown = slowdown
        self.evidence = evidence
        self.retry_budget = RetryBudget(context.settings)
        self.hedging = Hedging(context, admission)
        self.open: dict[str, RequestState] = {}

    def receive(self, event: RequestReceived) -> None:
        """Takes in a request and sends or rejects it."""
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
        self.retry_budget.count_request()
        self.hedging.budget.count_request()
        self._step(request, RequestInput.RECEIVED)

    def end_attempt(self, event: AttemptEnded) -> None:
        """Takes in the end of an attempt."""
        request = self.open.get(event.id)
        if request is None or event.number >= len(request.attempts):
            return
        attempt = request.attempts[event.number]
        if not attempt.in_flight:
            return
        proof = INPUT_BY_OUTCOME[event.outcome]
        not_run = proof == RequestInput.NOT_RUN
        attempt.in_flight = False
        attempt.may_have_run = not not_run
        attempt.endpoint_state.in_flight -= 1
        self.context.explain(
            Reason.ENDED,
            attempt.endpoint.address,
            event.number,
            event.outcome,
            event.latency,
            not_run,
        )
        self.learn(request, attempt.endpoint_state, event)
        if event.outcome == Outcome.DONE:
            self.split.pin(LateResponseSeen(request.key, attempt.endpoint.build))
        self._step(request, RequestInput.ANSWERED if event.closed else proof)

    def end_client(self, event: ClientDisconnected) -> None:
        """The client of a request went away."""
        request = self.open.get(event.id)
        if request is not None:
            self._step(request, RequestInput.CLIENT_LEFT)

    def start_response(self, event: ResponseStarted) -> None:
        """The response is streamed to the client: no other attempt can serve it now."""
        request = self.open.get(event.id)
        if request is not None:
            request.streaming = True

    def fire_timer(self, token: int) -> None:
        """A request's hedging timer is due."""
        context = self.context
        name = self.hedging.timers.pop(token, None)
        request = self.open.get(name) if name is not None else None
        context.request_id = request.id if request else None
        if request:
            self._step(request, RequestInput.SLOW)

    def _step(self, request: RequestState, happened: RequestInput) -> None:
        transition = TRANSITIONS.get((request.state, happened))
        if transition:
            request.state, act = transition
            act(self, request)

    def _admit(self, request: RequestState) -> None:
        context = self.context
        rejection = self.admission.rejection(
            context.now,
            request.request_class,
            self.open.values(),
            context.now - (context.first_traffic_at or 0),
            recent=context.arrivals.total(context.now),
            draw=context.rng.draw,
        )
        if rejection:
            reason = Reason.BY_LOT if rejection.by_chance else Reason.OVER_LIMIT
            context.explain(reason, rejection.measured, rejection.bound)
            self.baseline.rejected.add(context.now)
            self.slowdown.add_rejection()
        if rejection or not self._send(request):
            self._step(request, RequestInput.GIVEN_UP)

    def _send(self, request: RequestState) -> bool:
        """Sends an attempt where one may go; tells whether it did."""
        if not self._may_send(request):
            return False
        for newest in self.split.builds_for(request):
            if newest and not self.exposure.allows(request.request_class, not request.attempts):
                continue
            known = self.selection.choose(request, newest)
            if known:
                self._send_to(request, known, newest)
                return True
        return False

    def _may_send(self, request: RequestState) -> bool:
        """Whether there is a release to send to, and time and attempts are left."""
        context = self.context
        sent, most = len(request.attempts), context.settings.max_attempts
        if context.release is None:
            context.explain(Reason.NO_NEWS)
        elif context.now >= request.deadline:
            context.explain(Reason.TIME_OVER, request.deadline - context.now, 0)
        elif sent >= most:
            context.explain(Reason.MOST_DELIVERIES, sent, most)
        else:
            return True
        return False

    def _send_to(self, request: RequestState, known: EndpointState, newest: bool) -> None:
        context, now = self.context, self.context.now
        self.exposure.count_sent(request.request_class, newest)
        known.in_flight += 1
        known.recent_attempts.add(now)
        request.attempts.append(AttemptState(known, now))
        until = request.deadline
        if request.request_class.late_priority_weight <= 0 and now < request.latency_deadline:
            until = min(until, request.latency_deadline)  # nothing is earned after it
        listed = known.listed
        if context.reason_callback:
            context.explain(
                Reason.SENT,
                listed.address,
                listed.build,
                newest,
                until - now,
                self.selection.cost(known),
            )
        number = len(request.attempts) - 1
        context.actions.append(SendAttempt(request.id, listed.address, max(1, until - now), number))
        if number == 0:
            self.hedging.set_timer(request)

    def _earns_until(self, request: RequestState) -> Ticks:
        return min(request.latency_deadline, request.deadline)

    def _in_time(self, request: RequestState) -> bool:
        """Whether a response after the class's mean time would still earn."""
        mean = self.admission.mean_latencies.get(request.request_class.name, 0)
        return self.context.now + mean < self._earns_until(request)

    def _retry(self, request: RequestState) -> None:
        """An attempt ended without an answer: sends another while it can earn, or answers."""
        if request.in_flight():
            return
        context, now = self.context, self.context.now
        first = request.first_possible_run()
        cost = 0 if first is None else MAY_HAVE_RUN_COST
        if not self._in_time(request):
            mean = self.admission.mean_latencies.get(request.request_class.name, 0)
            context.explain(Reason.TIME_OVER, self._earns_until(request) - now, mean)
        elif self.retry_budget.tokens < cost:
            context.explain(Reason.NO_BUDGET, self.retry_budget.tokens)
        elif first is not None and not idempotency.may_repeat(request, now, by_client=False):
            context.explain(Reason.MAY_HAVE_RUN, first.endpoint.address, now - first.sent_at)
        elif self._send(request):
            self.retry_budget.tokens -= cost
            return
        self._step(request, RequestInput.GIVEN_UP)

    def _hedge(self, request: RequestState) -> None:
        """Sends a hedged request, as long as few need it and there is room."""
        context = self.context
        if (
            self.hedging.has_room(request, len(self.open))
            and self._in_time(request)
            and idempotency.may_repeat(request, context.now, by_client=False)
        ):
            context.explain(Reason.SECOND_COPY, context.now - request.attempts[0].sent_at)
            self.hedging.budget.tokens -= self._send(request)

    def _reject(self, request: RequestState) -> None:
        """The final answer, at once: to wait would only keep the client from trying again."""
        context, settings = self.context, self.context.settings
        first = request.first_possible_run()
        if first is None or idempotency.may_repeat(request, context.now, by_client=True):
            wait = 0
            if settings.retry_after_allowed:
                objective = request.request_class.latency_objective
                wait = min(settings.max_retry_after, objective // 2)
            context.explain(Reason.DEFERRED, wait)
            context.actions.append(Reject(request.id, wait))
        else:
            context.explain(Reason.ABANDONED, first.endpoint.address)
            context.actions.append(Fail(request.id))
        self._close(request)

    def _close(self, request: RequestState) -> None:
        """Cancels what is in flight after the final answer."""
        context = self.context
        if context.settings.cancellation_allowed and not request.streaming:
            context.actions += [
                CancelAttempt(request.id, number)
                for number, attempt in enumerate(request.attempts)
                if attempt.in_flight
            ]
        self._forget(request)

    def _forget(self, request: RequestState) -> None:
        if not request.in_flight():
            self.open.pop(request.id, None)

    def learn(self, request: RequestState, known: EndpointState, event: AttemptEnded) -> None:
        """Takes in what an attempt's end tells of its endpoint, its build and the load."""
        context, outcome, latency = self.context, event.outcome, event.latency
        now, request_class = context.now, request.request_class
        self.evidence.add_outcome(request, known, outcome, latency)
        self.selection.read_load(known, event)
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        fraction = known.warmup_fraction(now, context.settings)
        if not (known.on_newest_build and context.build_state == BuildState.ON_TRIAL):
            # A build's own slowness is no overload.
            self.admission.record_outcome(now, request_class, event, fraction)
        self.selection.count_end(known, outcome)
        if outcome == Outcome.DONE:
            self.admission.record_latency(now, request_class, latency)
            mean = self.admission.mean_latencies[request_class.name]
            self.selection.count_response(known, latency, fraction, mean)
            self.slow_start.count_response(fraction)


class Transition(NamedTuple):
    """The next phase of a request, and what is done as it goes there."""

    phase: RequestPhase
    act: Callable[[RequestLifecycle, RequestState], None]


TRANSITIONS: dict[tuple[str, RequestInput], Transition] = {
    (RequestPhase.NEW, RequestInput.RECEIVED): Transition(
        RequestPhase.OPEN, RequestLifecycle._admit
    ),
    (RequestPhase.OPEN, RequestInput.GIVEN_UP): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._reject
    ),
    (RequestPhase.OPEN, RequestInput.CLIENT_LEFT): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._close
    ),
    (RequestPhase.OPEN, RequestInput.NOT_RUN): Transition(
        RequestPhase.OPEN, RequestLifecycle._retry
    ),
    (RequestPhase.OPEN, RequestInput.MAY_HAVE_RUN): Transition(
        RequestPhase.OPEN, RequestLifecycle._retry
    ),
    (RequestPhase.OPEN, RequestInput.SLOW): Transition(RequestPhase.OPEN, RequestLifecycle._hedge),
    (RequestPhase.OPEN, RequestInput.ANSWERED): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._close
    ),
    (RequestPhase.ANSWERED, RequestInput.ANSWERED): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._forget
    ),
    (RequestPhase.ANSWERED, RequestInput.NOT_RUN): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._forget
    ),
    (RequestPhase.ANSWERED, RequestInput.MAY_HAVE_RUN): Transition(
        RequestPhase.ANSWERED, RequestLifecycle._forget
    ),
}
"""What an input does in a phase. What is missing changes nothing."""
