"""Which endpoint of a build gets an attempt: subsets, cost, ejection."""

from collections.abc import Collection

from ..interface.actions import SubscribeToEndpoints
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import UTILISATION, EndpointCondition, Outcome, UpdateKind
from ..interface.events import AttemptEnded, EndpointUpdate, SuspicionReported
from ..interface.reasons import Reason
from ..state.endpoint_state import EndpointState, apply_update, order_by_rank
from ..state.request_state import RequestState
from .context import LARGE_FLEET_RATIO, DecisionContext
from .idempotency import drops_repeats
from .slow_start import SlowStart

MIN_SUBSET_SIZE = 6  # endpoints in use, however little traffic there is
LOOKED_AT_MOST = 24  # endpoints of a subset looked at for one attempt
EXCHANGE_TIME = 4 * TICKS_PER_SECOND  # after which the dearest endpoint of a subset is exchanged
EJECTION_SHORTEST = TICKS_PER_SECOND // 2  # after a connection failed; doubled with each more
EJECTION_LONGEST = 4 * TICKS_PER_SECOND
FAILURES_KEPT = 0.5  # of a failure rate, at each decay
LATENCY_KEPT = 0.5  # of what a latency is off the usual, at each decay
STALE_AFTER = 30 * TICKS_PER_SECOND  # without an outcome
FAILURE_GAIN = 0.1  # of the moving mean of an endpoint's failures
LOSS_GAIN = 0.05  # of the moving mean of attempts lost on the way
LOSS_EXPONENT = 4  # the subset shrinks by this power of what is not lost
FAILURE_COST = 8  # an endpoint that always fails costs so many times more
LOAD_HIGHEST = 2  # an absurd report is none
AVOIDED_COST = 1e6  # above any other cost: such an endpoint is used last
NEAR_BEST = 1.15  # times the best cost, within which endpoints take turns
LATENCY_TIMES_HIGHEST = 4.0  # a single response may count for so much
LATENCY_GAIN_HIGHEST = 0.5
LATENCY_GAIN_LEAST = 0.08
LATENCY_GAIN_PER_SECOND = 0.1  # the older the last response, the more the next one counts
COST_LEAST = 1e-9  # it is divided by


class EndpointSelection:
    """The endpoints, and which one gets an attempt.

    Attributes:
        connection_loss: the moving mean of attempts lost on the way.
        exchange_at: when the dearest endpoints in use are exchanged next.
        poll_at: when the endpoint list is asked for next, if it is polled.
    """

    def __init__(self, context: DecisionContext, slow_start: SlowStart) -> None:
        self.context = context
        self.slow_start = slow_start
        self.connection_loss_rate = 0.0
        self.next_exchange_at = context.now
        self.next_poll_at = context.now
        self._turn = 0

    def update(self, event: EndpointUpdate) -> None:
        """Takes in what discovery has told."""
        context = self.context
        if event.kind == UpdateKind.FETCH_FAILED:
            # The watch may have been dropped; a call that fails at once must not be stormed.
            wait = int((1 + context.rng.draw()) * TICKS_PER_SECOND)
            self.next_poll_at = min(self.next_poll_at, context.now + wait)
            return
        context.endpoints = apply_update(context.endpoints, event, context.settings.overload_window)
        self.group_by_build()

    def group_by_build(self) -> None:
        """Parts the ready endpoints by build, once a change: no attempt looks through them all."""
        context = self.context
        for known in context.by_build[True] + context.by_build[False]:
            known.on_newest_build = None
        build = context.release.build if context.release else 0
        context.by_build = {True: [], False: []}
        for known in context.endpoints.values():
            listed = known.listed
            if listed.condition == EndpointCondition.READY and listed.build <= build:
                known.on_newest_build = listed.build == build
                context.by_build[known.on_newest_build].append(known)
        context.zones = len({known.listed.zone for known in context.by_build[True]})
        self.draw_subset(True)
        self.draw_subset(False)
        self.slow_start.update_capacity()

    def suspect(self, event: SuspicionReported) -> None:
        """Takes in what peers saw: it delays a turn and proves nothing to any other rule."""
        known = self.context.endpoints.get(event.endpoint)
        if known and (known.listed.build, known.listed.started) == (event.build, event.started):
            known.suspected_until = event.until

    def draw_subset(self, newest: bool, drop: Collection[EndpointState] = ()) -> None:
        """Draws the endpoints in use, at random.

        If an instance used all of them, each would be called seldom.

        Args:
            newest: of the newest build, or of earlier ones.
            drop: these go last.
        """
        context = self.context
        # Where many refuse connections, fewer are used.
        size = (
            context.arrivals.total(context.now) * (1 - self.connection_loss_rate) ** LOSS_EXPONENT
        )
        ranked = order_by_rank(context.by_build[newest], drop, context.rng)
        context.subsets[newest] = ranked[: max(MIN_SUBSET_SIZE, int(size))]

    def upkeep(self) -> None:
        """Exchanges endpoints of the subsets and polls the endpoint list, when it is time."""
        context = self.context
        if context.now >= self.next_exchange_at:
            self.next_exchange_at = context.now + EXCHANGE_TIME
            for newest in context.subsets:
                dearest = sorted(context.subsets[newest], key=self.cost)[-1:]
                self.draw_subset(newest, dearest)
            self._decay_stale()
        if context.settings.lists_polled and context.now >= self.next_poll_at:
            self.next_poll_at = context.now + context.settings.poll_within // 2
            context.actions.append(SubscribeToEndpoints(True))

    def _decay_stale(self) -> None:
        """Halves what no outcome corrects: failure rates, and how much slower than usual it was.

        An endpoint that costs several times what the others cost gets no attempt while others
        stand idle, and would never be found to be well again.
        """
        now = self.context.now
        for known in self.context.endpoints.values():
            is_stale = now - known.outcome_at >= STALE_AFTER
            if is_stale or known.ejection_time:
                known.failure_rate *= FAILURES_KEPT
            if is_stale:
                known.relative_latency += (1 - LATENCY_KEPT) * (1 - known.relative_latency)
                known.outcome_at = now

    def choose(self, request: RequestState, newest: bool) -> EndpointState | None:
        """The endpoint of a build for the next attempt; None if none will do.

        Endpoints in use take turns; one that is busier, slower, colder or failing is passed over.
        """
        context = self.context
        found: list[tuple[float, EndpointState]] = []
        avoided: dict[Reason, int] = {}
        self._look(request, context.subsets[newest], found, avoided)
        best = min((cost for cost, _ in found), default=AVOIDED_COST)
        if best >= AVOIDED_COST and len(context.subsets[newest]) != len(context.by_build[newest]):
            # None of those in use will do: others are drawn, once.
            self.draw_subset(newest, context.subsets[newest])
            self._look(request, context.subsets[newest], found, avoided)
            best = min((cost for cost, _ in found), default=AVOIDED_COST)
        for reason, endpoints in avoided.items():
            context.explain(reason, endpoints)
        if not found:
            context.explain(Reason.NO_POD, len(context.by_build[newest]), newest)
            return None
        if context.settings.instances < LARGE_FLEET_RATIO * len(context.by_build[newest]):
            near = [known for cost, known in found if cost <= best * NEAR_BEST]
            return near[self._turn % len(near)]
        # At random, or hundreds of instances meet at the cheapest.
        return found[context.rng.pick([1 / cost for cost, _ in found])][1]

    def _look(
        self,
        request: RequestState,
        subset: list[EndpointState],
        found: list[tuple[float, EndpointState]],
        avoided: dict[Reason, int],
    ) -> None:
        """Adds to `found` the endpoints that will do with their costs; counts the others."""
        context, settings = self.context, self.context.settings
        now, has_room, cost_of = context.now, self.slow_start.has_room, self.cost
        used = {attempt.endpoint.address for attempt in request.attempts}
        large = len(subset) > LOOKED_AT_MOST
        self._turn += LOOKED_AT_MOST if large else 1
        start = self._turn % len(subset) if large else 0
        for known in (subset[start:] + subset[:start])[:LOOKED_AT_MOST]:
            fraction = known.warmup_fraction(now, settings)
            avoid: Reason | None
            if not drops_repeats(request, known.listed):
                avoid = Reason.OUTSIDE
            elif fraction != 1.0 and not has_room(known, fraction):
                avoid = Reason.COLD
            else:
                avoid = _reason_to_avoid(known, now, used)
                cost = cost_of(known) * (known.in_flight + 1) / fraction
                found.append((cost + AVOIDED_COST * (avoid is not None), known))
            if avoid is not None:
                avoided[avoid] = avoided.get(avoid, 0) + 1

    def cost(self, known: EndpointState) -> float:
        """What an attempt there costs, of the size of the endpoint."""
        return (
            max(COST_LEAST, known.relative_latency)
            * (1 + FAILURE_COST * known.failure_rate)
            * (1 + known.load)
            / known.listed.size
        )

    def read_load(self, known: EndpointState, event: AttemptEnded) -> None:
        """Takes in the load that an endpoint reports with a response."""
        metrics = self.context.settings.load_metrics
        if event.load and UTILISATION in metrics:
            load = event.load[metrics.index(UTILISATION)]
            known.load = load if 0 <= load <= LOAD_HIGHEST else known.load

    def count_end(self, known: EndpointState, outcome: Outcome) -> None:
        """Takes in whether an attempt failed, and ejects what can't be connected to."""
        known.failure_rate += FAILURE_GAIN * ((outcome != Outcome.DONE) - known.failure_rate)
        known.outcome_at = self.context.now
        lost = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
        self.connection_loss_rate += LOSS_GAIN * (lost - self.connection_loss_rate)
        if outcome == Outcome.CONNECT_FAILED:
            known.ejection_time = min(
                EJECTION_LONGEST, max(EJECTION_SHORTEST, 2 * known.ejection_time)
            )
            known.ejected_until = self.context.now + known.ejection_time

    def count_response(
        self, known: EndpointState, latency: Ticks, fraction: float, mean: float
    ) -> None:
        """Takes in the response time of a good response.

        Args:
            known: the endpoint.
            latency: the response time.
            fraction: the part of its capacity that the endpoint has.
            mean: the mean response time of the request class.
        """
        now = self.context.now
        gain = min(
            LATENCY_GAIN_HIGHEST,
            LATENCY_GAIN_LEAST
            + LATENCY_GAIN_PER_SECOND * (now - known.last_response_at) / TICKS_PER_SECOND,
        )
        known.relative_latency += gain * (
            min(LATENCY_TIMES_HIGHEST, latency * fraction / mean) - known.relative_latency
        )
        known.last_response_at = now
        known.ejection_time = 0


def _reason_to_avoid(known: EndpointState, now: Ticks, used: set[str]) -> Reason | None:
    if now < known.ejected_until:
        return Reason.UNREACHABLE
    if now < known.suspected_until:
        return Reason.DOUBTED
    return Reason.USED if known.listed.address in used else None
