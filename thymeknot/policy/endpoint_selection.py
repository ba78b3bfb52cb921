"""Endpoint selection: subsetting, cost-based load balancing and outlier ejection."""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterable

from ..interface.actions import SubscribeToEndpoints
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import UTILISATION, EndpointCondition, Outcome, UpdateKind
from ..interface.events import AttemptEnded, Endpoint, EndpointUpdate, SuspicionReported
from ..interface.reasons import Reason
from ..state.endpoint_state import EndpointState
from ..state.request_state import RequestState
from ..state.subset_ranking import SubsetRanking
from .context import LARGE_FLEET_RATIO, DecisionContext
from .idempotency import deduplicates_retry
from .slow_start import SlowStart

MIN_SUBSET_SIZE = 6  # endpoints kept in use even without traffic
MAX_CANDIDATES = 24  # endpoints of a subset that are evaluated per attempt
# Between replacements of the most expensive endpoint of each subset.
SUBSET_EXCHANGE_INTERVAL = 4 * TICKS_PER_SECOND
# After a failed connection attempt; doubled with each further failure.
MIN_EJECTION_DURATION = TICKS_PER_SECOND // 2
MAX_EJECTION_DURATION = 4 * TICKS_PER_SECOND
FAILURE_RATE_DECAY = 0.5  # fraction of a failure rate that each decay step retains
LATENCY_DECAY = 0.5  # fraction of the deviation from the mean that each decay step retains
STALE_AFTER = 30 * TICKS_PER_SECOND  # without an outcome, statistics are stale
FAILURE_GAIN = 0.1  # of the moving average of an endpoint's failure rate
CONNECTION_LOSS_GAIN = 0.05  # of the moving average of the connection loss rate
CONNECTION_LOSS_EXPONENT = 4  # the subset size scales with (1 - loss rate) to this power
FAILURE_COST_FACTOR = 8  # an endpoint that always fails costs 1 + 8 times as much
MAX_PLAUSIBLE_LOAD = 2  # reported utilisation beyond this is ignored
AVOIDED_COST = 1e6  # above any regular cost: the endpoint is used as a last resort
NEAR_BEST_COST_RATIO = 1.15  # endpoints within this ratio of the lowest cost take turns
MAX_RELATIVE_LATENCY = 4.0  # caps the influence of a single response
MAX_LATENCY_GAIN = 0.5
MIN_LATENCY_GAIN = 0.08
LATENCY_GAIN_PER_SECOND = 0.1  # the older the last response, the more weight the next one gets
MIN_RELATIVE_LATENCY = 1e-9  # keeps the cost above 0: weights are its reciprocal


class EndpointSelection:
    """Tracks the endpoints and selects one for each attempt.

    Attributes:
        connection_loss_rate: Moving average of the fraction of attempts that fail to connect or
            are reset.
        next_exchange_at: When the most expensive endpoint of each subset is replaced next.
        next_poll_at: When the endpoint list is polled next, if polling is enabled.
    """

    def __init__(self, context: DecisionContext, slow_start: SlowStart) -> None:
        self.context = context
        self.slow_start = slow_start
        self.connection_loss_rate = 0.0
        self.next_exchange_at = context.now
        self.next_poll_at = context.now
        self._round_robin_index = 0
        self._next_listing_number = 0
        self._rankings = {True: SubsetRanking(), False: SubsetRanking()}
        self._zones: Counter[str] = Counter()  # ready endpoints of the newest build, by zone

    def update(self, event: EndpointUpdate) -> None:
        """Applies an update of the endpoint list from service discovery."""
        context = self.context
        if event.kind == UpdateKind.FETCH_FAILED:
            # The watch may have been lost. Jittered, so that a fetch that fails at once is not
            # retried in a tight loop.
            wait = int((1 + context.rng.draw()) * TICKS_PER_SECOND)
            self.next_poll_at = min(self.next_poll_at, context.now + wait)
            return
        if event.kind == UpdateKind.DELTA:
            self._apply_delta(event.endpoints)
        else:
            self._apply_full_list(event.endpoints)

    def _apply_full_list(self, endpoints: Iterable[Endpoint]) -> None:
        """Replaces all endpoints."""
        context = self.context
        listed_addresses = {listed.address for listed in endpoints}
        context.endpoints = {
            address: endpoint
            for address, endpoint in context.endpoints.items()
            if address in listed_addresses
        }
        for listed in endpoints:
            self._list(listed)
        self.group_by_build()

    def _apply_delta(self, endpoints: Iterable[Endpoint]) -> None:
        """Applies changes; the work grows with their number, not with that of the endpoints."""
        known = self.context.endpoints
        for listed in endpoints:
            former = known.get(listed.address)
            if former is not None:
                self._ungroup(former)
            self._list(listed)
        changed = {listed.address for listed in endpoints}
        self._group([known[address] for address in changed if address in known])

    def _list(self, listed: Endpoint) -> None:
        """Updates an endpoint. A restarted or replaced one gets a new state."""
        known = self.context.endpoints
        former = known.get(listed.address)
        if listed.condition == EndpointCondition.GONE:
            known.pop(listed.address, None)
        elif former is not None and former.is_same_process(listed):
            former.listed = listed
        else:
            if former is not None:
                number = former.listing_number
            else:
                number = self._next_listing_number
                self._next_listing_number += 1
            known[listed.address] = EndpointState(
                listed, self.context.settings.overload_window, number
            )

    def group_by_build(self) -> None:
        """Groups all ready endpoints by build and redraws the subsets.

        Done after a full list and for another newest build; `_group` and `_ungroup` keep the groups
        up to date in between, so that no attempt or change has to scan all endpoints.
        """
        context = self.context
        for endpoint in context.by_build[True] + context.by_build[False]:
            endpoint.on_newest_build = None
        context.by_build = {True: [], False: []}
        for endpoint in context.endpoints.values():
            newest = self._build_group(endpoint)
            if newest is not None:
                endpoint.on_newest_build = newest
                context.by_build[newest].append(endpoint)
        self._zones = Counter(endpoint.listed.zone for endpoint in context.by_build[True])
        for newest, endpoints in context.by_build.items():
            self._rankings[newest].rank_all(endpoints, context.rng)
        self._groups_changed()

    def _build_group(self, endpoint: EndpointState) -> bool | None:
        """Returns whether an endpoint runs the newest build; None if it is in neither group."""
        release = self.context.release
        build = release.build if release else 0
        listed = endpoint.listed
        if listed.condition != EndpointCondition.READY or listed.build > build:
            return None
        return listed.build == build

    def _ungroup(self, endpoint: EndpointState) -> None:
        """Removes an endpoint from its group, if it is in one, before its listing changes."""
        newest = endpoint.on_newest_build
        if newest is None:
            return
        endpoint.on_newest_build = None
        group = self.context.by_build[newest]
        del group[bisect_left(group, endpoint.listing_number, key=_listing_number)]
        self._rankings[newest].remove(endpoint)
        if newest:
            zone = endpoint.listed.zone
            self._zones[zone] -= 1
            if not self._zones[zone]:
                del self._zones[zone]

    def _group(self, endpoints: list[EndpointState]) -> None:
        """Adds endpoints that are in no group to theirs, and redraws the subsets."""
        context = self.context
        endpoints.sort(key=_listing_number)
        for newest, group in context.by_build.items():
            added = [endpoint for endpoint in endpoints if self._build_group(endpoint) is newest]
            for endpoint in added:
                endpoint.on_newest_build = newest
                insort(group, endpoint, key=_listing_number)
            self._rankings[newest].add(added, context.rng)
            if newest:
                self._zones.update(endpoint.listed.zone for endpoint in added)
        self._groups_changed()

    def _groups_changed(self) -> None:
        context = self.context
        context.zones = len(self._zones)
        context.record_endpoint_counts()
        self.draw_subset(True)
        self.draw_subset(False)
        self.slow_start.endpoints_changed()

    def apply_suspicion(self, event: SuspicionReported) -> None:
        """Applies a suspicion reported by peers.

        A suspected endpoint is used last; no other rule takes it as evidence.
        """
        endpoint = self.context.endpoints.get(event.endpoint)
        if endpoint and (endpoint.listed.build, endpoint.listed.started) == (
            event.build,
            event.started,
        ):
            endpoint.suspected_until = event.until

    def draw_subset(self, newest: bool, demoted: Iterable[EndpointState] = ()) -> None:
        """Selects a random subset of the ready endpoints to use.

        If an instance used all of them, it would see too few outcomes of each.

        Args:
            newest: Whether to draw from the newest build, or from earlier ones.
            demoted: Endpoints that are ranked last.
        """
        context = self.context
        # The more connections are lost, the fewer endpoints are used.
        subset_size = (
            context.arrivals.total(context.now)
            * (1 - self.connection_loss_rate) ** CONNECTION_LOSS_EXPONENT
        )
        ranking = self._rankings[newest]
        ranking.demote(demoted)
        context.subsets[newest] = ranking.first(max(MIN_SUBSET_SIZE, int(subset_size)))

    def upkeep(self) -> None:
        """Rotates the subsets and polls the endpoint list when due."""
        context = self.context
        if context.now >= self.next_exchange_at:
            self.next_exchange_at = context.now + SUBSET_EXCHANGE_INTERVAL
            for newest in context.subsets:
                most_expensive = sorted(context.subsets[newest], key=self.cost)[-1:]
                self.draw_subset(newest, most_expensive)
            self._decay_stale_statistics()
        if context.settings.lists_polled and context.now >= self.next_poll_at:
            self.next_poll_at = context.now + context.settings.poll_within // 2
            context.actions.append(SubscribeToEndpoints(True))

    def _decay_stale_statistics(self) -> None:
        """Decays the failure rates and latency deviations that no recent outcome updates.

        An endpoint that costs several times as much as the others gets no attempts while others
        are idle, so without decay its recovery would never be noticed.
        """
        now = self.context.now
        for endpoint in self.context.endpoints.values():
            is_stale = now - endpoint.last_outcome_at >= STALE_AFTER
            if is_stale or endpoint.ejection_duration:
                endpoint.failure_rate *= FAILURE_RATE_DECAY
            if is_stale:
                endpoint.relative_latency += (1 - LATENCY_DECAY) * (1 - endpoint.relative_latency)
                endpoint.last_outcome_at = now

    def choose(self, request: RequestState, newest: bool) -> EndpointState | None:
        """Selects the endpoint of a build for the next attempt; None if none is suitable.

        Endpoints in use take turns; those that are busier, slower, warming up or failing are
        skipped.
        """
        context = self.context
        candidates: list[tuple[float, EndpointState]] = []
        avoided: dict[Reason, int] = {}
        self._add_candidates(request, context.subsets[newest], candidates, avoided)
        lowest_cost = min((cost for cost, _ in candidates), default=AVOIDED_COST)
        if lowest_cost >= AVOIDED_COST and len(context.subsets[newest]) != len(
            context.by_build[newest]
        ):
            # No endpoint in use is suitable: draw others, once.
            self.draw_subset(newest, context.subsets[newest])
            self._add_candidates(request, context.subsets[newest], candidates, avoided)
            lowest_cost = min((cost for cost, _ in candidates), default=AVOIDED_COST)
        for reason, count in avoided.items():
            context.explain(reason, count)
        if not candidates:
            context.explain(Reason.NO_POD, len(context.by_build[newest]), newest)
            return None
        if context.settings.instances < LARGE_FLEET_RATIO * len(context.by_build[newest]):
            near_best = [
                endpoint
                for cost, endpoint in candidates
                if cost <= lowest_cost * NEAR_BEST_COST_RATIO
            ]
            return near_best[self._round_robin_index % len(near_best)]
        # Weighted random choice: otherwise hundreds of instances converge on the cheapest.
        return candidates[context.rng.pick([1 / cost for cost, _ in candidates])][1]

    def _add_candidates(
        self,
        request: RequestState,
        subset: list[EndpointState],
        candidates: list[tuple[float, EndpointState]],
        avoided: dict[Reason, int],
    ) -> None:
        """Adds the eligible endpoints of a subset with their costs to `candidates`.

        Endpoints to avoid are counted by reason in `avoided`.
        """
        context, settings = self.context, self.context.settings
        now, has_room, cost_of = context.now, self.slow_start.has_room, self.cost
        used = {attempt.endpoint.address for attempt in request.attempts}
        large = len(subset) > MAX_CANDIDATES
        self._round_robin_index += MAX_CANDIDATES if large else 1
        start = self._round_robin_index % len(subset) if large else 0
        for endpoint in (subset[start:] + subset[:start])[:MAX_CANDIDATES]:
            warmup_fraction = endpoint.warmup_fraction(now, settings)
            avoid: Reason | None
            if not deduplicates_retry(request, endpoint.listed):
                avoid = Reason.OUTSIDE
            elif warmup_fraction != 1.0 and not has_room(endpoint, warmup_fraction):
                avoid = Reason.COLD
            else:
                avoid = _reason_to_avoid(endpoint, now, used)
                cost = cost_of(endpoint) * (endpoint.in_flight + 1) / warmup_fraction
                candidates.append((cost + AVOIDED_COST * (avoid is not None), endpoint))
            if avoid is not None:
                avoided[avoid] = avoided.get(avoid, 0) + 1

    def cost(self, endpoint: EndpointState) -> float:
        """Returns the cost of an attempt at the endpoint, relative to the endpoint's size."""
        return (
            max(MIN_RELATIVE_LATENCY, endpoint.relative_latency)
            * (1 + FAILURE_COST_FACTOR * endpoint.failure_rate)
            * (1 + endpoint.load)
            / endpoint.listed.size
        )

    def record_load(self, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Records the utilisation that an endpoint reported with a response."""
        metrics = self.context.settings.load_metrics
        if event.load and UTILISATION in metrics:
            load = event.load[metrics.index(UTILISATION)]
            endpoint.load = load if 0 <= load <= MAX_PLAUSIBLE_LOAD else endpoint.load

    def record_outcome(self, endpoint: EndpointState, outcome: Outcome) -> None:
        """Updates the failure statistics and ejects an endpoint that refused a connection."""
        endpoint.failure_rate += FAILURE_GAIN * ((outcome != Outcome.DONE) - endpoint.failure_rate)
        endpoint.last_outcome_at = self.context.now
        connection_lost = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
        self.connection_loss_rate += CONNECTION_LOSS_GAIN * (
            connection_lost - self.connection_loss_rate
        )
        if outcome == Outcome.CONNECT_FAILED:
            endpoint.ejection_duration = min(
                MAX_EJECTION_DURATION, max(MIN_EJECTION_DURATION, 2 * endpoint.ejection_duration)
            )
            endpoint.ejected_until = self.context.now + endpoint.ejection_duration

    def record_response(
        self, endpoint: EndpointState, latency: Ticks, warmup_fraction: float, mean: float
    ) -> None:
        """Updates the relative latency from a successful response and ends any ejection backoff.

        Args:
            endpoint: The endpoint that responded.
            latency: The response time.
            warmup_fraction: The warm-up fraction of the endpoint's capacity.
            mean: The mean response time of the request class.
        """
        now = self.context.now
        gain = min(
            MAX_LATENCY_GAIN,
            MIN_LATENCY_GAIN
            + LATENCY_GAIN_PER_SECOND * (now - endpoint.last_response_at) / TICKS_PER_SECOND,
        )
        endpoint.relative_latency += gain * (
            min(MAX_RELATIVE_LATENCY, latency * warmup_fraction / mean) - endpoint.relative_latency
        )
        endpoint.last_response_at = now
        endpoint.ejection_duration = 0


def _listing_number(endpoint: EndpointState) -> int:
    return endpoint.listing_number


def _reason_to_avoid(endpoint: EndpointState, now: Ticks, used: set[str]) -> Reason | None:
    if now < endpoint.ejected_until:
        return Reason.UNREACHABLE
    if now < endpoint.suspected_until:
        return Reason.DOUBTED
    return Reason.USED if endpoint.listed.address in used else None
