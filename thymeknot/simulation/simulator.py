"""Discrete-event simulation of one day: clients, network, servers and instances.

Scheduled calls are kept in one heap, ordered by time. All random numbers derive from the day's
seed, with separate streams for traffic, work and network, so that two policies receive the same
arrivals. Figures from this module are simulated, not measured.
"""

import heapq
from bisect import bisect_right
from collections.abc import Callable, Iterable
from itertools import accumulate
from typing import Any, NamedTuple, Self, TypeAlias

import numpy as np

from ..interface.actions import (
    Action,
    CancelAttempt,
    CastVote,
    Fail,
    Reject,
    SendAttempt,
    SetTimer,
)
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Idempotency, Outcome, ReleasePhase, UpdateKind
from ..interface.events import AttemptEnded, EndpointUpdate, Event, RequestReceived, TimerFired
from ..interface.settings import Settings
from ..state.random_source import LinearCongruentialGenerator
from .day_results import DayResults
from .fault_injection import FaultInjector
from .invariants import Answer, InvariantChecker
from .random_streams import Stream, gamma, zipf_keys
from .scenarios import ClassTraffic, Day
from .server_fleet import Server, ServerFleet
from .servers import PodState
from .shared_services import IDLE_TIMEOUT, ConnectionKey, Connections, Discovery, poll_interval_of
from .simulated_platform import ONE_WAY_CALL_DELAY, SimulatedPlatform
from .simulated_requests import SimulatedAttempt, SimulatedRequest

DRAIN_GRACE: Ticks = 2_500  # a server may still get attempts this long after it is listed as gone
CONNECT_TIMEOUT: Ticks = 2_500  # until an attempt to connect fails
REFUSAL_DELAY: Ticks = 10  # until a connection over the limit is refused
RETRY_DELAY: Ticks = 50  # before the retry of a client that ignores retry-after
FINAL_ANSWERS_DURATION = 2 * TICKS_PER_SECOND  # ticks simulated after the end of the day
EXPOSURE_WINDOW = 3 * TICKS_PER_SECOND  # ticks
EXPOSURE_ALLOWANCE = 3.0  # attempts
NEVER: Ticks = -(10**9)  # a time before any event of the day
NEW_CONNECTION_TRIPS = 5  # one-way delays: the request and two round trips to connect
BASE_FAILURE_RATIO = 0.001  # ratio of attempts that fail without any fault
MAX_START_WAIT_RATIO = 0.25  # of the latency objective; a server with a longer wait is busy
MIN_AVAILABLE_RATIO = 0.25  # a rejection is needless if more than this ratio is not busy
# Seeds a separate generator for draws that were added later, so that the other streams give the
# same numbers as before.
EXTRA_STREAM_SEED = 17

Policy: TypeAlias = Callable[[Settings, int, Ticks], Any]
"""`policy(settings, seed, now)` returns an engine with `handle(now, events) -> actions`, like
`DecisionEngine`."""


class InFlightMismatch(NamedTuple):
    """An instance whose engine counts a wrong number of attempts in flight.

    Attributes:
        instance: Number of the instance.
        counted: Attempts in flight as the engine counts them.
        in_flight: Attempts in flight in the simulation.
    """

    instance: int
    counted: int
    in_flight: int


class Simulator:
    """Simulates one day with one policy.

    Attributes:
        day: The scenario of the day.
        now: The simulated time.
        lanes: The request classes by name.
        generator: Source of random numbers for delays, server starts, pauses and restarts.
        checker: Checks the invariants.
        results: The totals of the day.
        connections: The connections of all instances to all servers.
        platform: The release platform.
        servers: The servers.
        discovery: Answers calls for endpoint lists; None if lists are pushed.
        requests: The open requests, by instance and request id.
        engines: The decision engine of each instance; None while the instance is down.
        incarnations: Number of each instance's current start; kills count too, so that what was
            scheduled for an earlier start is recognised.
        attempt_loss_ratio: Ratio of attempts whose connection fails.
        request_rate_factor: Factor applied to the request rate.
        work_factor: Factor applied to all work.
        answer_loss_ratio: Ratio of answers that are lost.
        partitioned_zones: Zones that have no network connection to the others.
    """

    def __init__(self, day: Day, policy: Policy) -> None:
        """Prepares the simulation.

        Args:
            day: The scenario of the day.
            policy: Creates the decision engine of each instance.
        """
        self.day = day
        self.now: Ticks = 0
        self.lanes: dict[str, ClassTraffic] = {mix.request_class.name: mix for mix in day.traffic}
        self.results = DayResults(day)
        self.connections = Connections(day.max_connections_per_pod)
        self.requests: dict[tuple[int, str], SimulatedRequest] = {}
        self.engines: dict[int, Any] = {}
        self.incarnations = [0] * day.instances
        self.attempt_loss_ratio = day.loss_ratio
        self.request_rate_factor = 1.0
        self.work_factor = 1.0
        self.answer_loss_ratio = 0.0
        self.partitioned_zones: set[str] = set()
        self._policy = policy
        self._scheduled_calls: list[tuple[Ticks, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._last_number = 0  # of a scheduled call or request
        self._cumulative_traffic = list(accumulate(day.instance_shares))
        # Time of the last answer, by connection key.
        self._last_answered_at: dict[ConnectionKey, Ticks] = {}
        self._create_streams()
        self.checker = self._create_checker()
        self.platform = SimulatedPlatform(self, self._sample_draws)
        self.servers = ServerFleet(self, self.platform.builds[1])
        self._faults = FaultInjector(self)
        self.discovery = self._create_discovery()

    def _create_streams(self) -> None:
        day = self.day
        generators = [
            np.random.Generator(np.random.PCG64(seed))
            for seed in np.random.SeedSequence(day.seed).spawn(6)
        ]
        arrivals, works, network, keys, clients, self.generator = generators
        self._interval_stream = Stream(lambda count: arrivals.exponential(1.0, count))
        self._arrival_draws = Stream(arrivals.random)
        self._work_streams = {
            mix.request_class.name: gamma(works, mix.mean_work, mix.work_variation)
            for mix in day.traffic
        }
        self._delay_stream = gamma(network, *day.network_delay)
        self._loss_draws = Stream(network.random)
        self._key_stream = zipf_keys(keys, day.keys, day.zipf_exponent)
        self._client_draws = Stream(clients.random)
        self._failure_draws = Stream(works.random)
        extra = np.random.Generator(np.random.PCG64([day.seed, EXTRA_STREAM_SEED]))
        self._sample_draws = Stream(extra.random)

    def _create_checker(self) -> InvariantChecker:
        day = self.day
        return InvariantChecker(
            {name: mix.request_class for name, mix in self.lanes.items()},
            DRAIN_GRACE,
            EXPOSURE_WINDOW,
            EXPOSURE_ALLOWANCE,
            guarded_stages=day.settings.guarded_stages,
            warmup_duration=day.warmup_duration,
            warmup_initial_fraction=day.warmup_initial_fraction,
            overload_window=day.settings.overload_window,
        )

    def _create_discovery(self) -> Discovery | None:
        if not self.day.list_calls_per_second:
            return None
        return Discovery(
            self.day.list_calls_per_second, self.schedule_at, lambda: self.now, self._deliver_list
        )

    def schedule_at(self, moment: Ticks, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedules a call; calls at the same moment run in the order of their scheduling."""
        self._last_number += 1
        heapq.heappush(self._scheduled_calls, (moment, self._last_number, call, arguments))

    def run(self) -> Self:
        """Runs the whole day and returns itself."""
        day = self.day
        for instance in range(day.instances):
            self._start(instance)
        for fault in day.faults:
            self._faults.schedule(fault)
        for offer in day.offers:
            self.schedule_at(offer.at, self.platform.offer_build, offer)
        self.schedule_at(0, self._generate_request)
        if day.counts_interval:
            self.schedule_at(day.counts_interval, self.platform.end_period)
        last = day.duration + FINAL_ANSWERS_DURATION
        while self._scheduled_calls and self._scheduled_calls[0][0] <= last:
            self.now, _, call, arguments = heapq.heappop(self._scheduled_calls)
            call(*arguments)
        self.now = last
        self.checker.record_day_end(last)
        return self

    # Instances.

    def _start(self, instance: int) -> None:
        self.incarnations[instance] += 1
        incarnation = self.incarnations[instance]
        seed = self.day.seed * 1000 + instance * 7 + incarnation
        self.engines[instance] = self._policy(self.day.settings, seed, self.now)
        endpoints = self.servers.endpoints()
        self.servers.record_known_pods(instance)
        self.platform.record_update(instance, self.platform.state)
        if self.discovery:  # until it answers, the instance has only the cached list
            generator = LinearCongruentialGenerator(
                self.day.seed * 77 + instance * 13 + incarnation << 33
            )
            poll_interval = poll_interval_of(self._policy, generator.draw)
            self.discovery.start_polling(instance, incarnation, poll_interval, self.day.instances)
        self.deliver_event(instance, EndpointUpdate(UpdateKind.CACHED, endpoints))
        self.platform.send_current_state(instance)

    def restart(self, instance: int, wait: float) -> None:
        """Kills an instance and starts it again after `wait` ticks, plus or minus up to half."""
        self.engines[instance] = None
        self.incarnations[instance] += 1
        self.checker.record_kill(self.now, instance)
        self.connections.close_idle(lambda key: key[0] == instance)
        for key in [key for key in self.requests if key[0] == instance]:
            del self.requests[key]
        self.schedule_at(
            self.now + int(wait * (0.5 + self.generator.random())), self._start, instance
        )

    def is_running(self, instance: int) -> bool:
        """Returns whether an instance is running."""
        return self.engines.get(instance) is not None

    def has_watch(self, instance: int) -> bool:
        """Returns whether an instance receives changes of the endpoint list."""
        if self.discovery is None:
            return True
        return self.discovery.watch_streams.get(instance) == self.incarnations[instance]

    def _deliver_list(self, instance: int, incarnation: int, deliver: bool) -> bool:
        """Delivers the list if `deliver`; returns whether this incarnation is still running."""
        is_current = self.incarnations[instance] == incarnation and self.is_running(instance)
        if is_current and deliver:
            endpoints = self.servers.endpoints()
            self.servers.record_update(instance, endpoints)
            self.deliver_event(instance, EndpointUpdate(UpdateKind.FULL, endpoints))
        return is_current

    def deliver_event(self, instance: int, event: Event) -> None:
        """Passes an event to an instance and carries out the resulting actions."""
        engine = self.engines.get(instance)
        if engine is None:
            return
        incarnation = self.incarnations[instance]
        for action in list(engine.handle(self.now, [event])):
            self._carry_out(instance, incarnation, action)

    def _carry_out(self, instance: int, incarnation: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule_at(
                max(self.now, action.at), self._fire_timer, instance, incarnation, action.token
            )
        elif isinstance(action, SendAttempt):
            self._send(instance, incarnation, action)
        elif isinstance(action, CancelAttempt):
            self._cancel(instance, action)
        elif isinstance(action, Reject):
            self._answer(instance, action.id, Answer.DEFERRED, action.retry_after)
        elif isinstance(action, Fail):
            self._answer(instance, action.id, Answer.ABANDONED, 0)
        elif isinstance(action, CastVote):
            self.schedule_at(
                self.now + ONE_WAY_CALL_DELAY, self._vote, instance, incarnation, action
            )

    def _fire_timer(self, instance: int, incarnation: int, token: int) -> None:
        if self.incarnations[instance] == incarnation:
            self.deliver_event(instance, TimerFired(token))

    def _cancel(self, instance: int, action: CancelAttempt) -> None:
        request = self.requests.get((instance, action.id))
        if request is not None and action.number < len(request.attempts):
            attempt = request.attempts[action.number]
            self.schedule_at(self.now, self._end_attempt, attempt, Outcome.CANCELLED, None)

    def _vote(self, instance: int, incarnation: int, vote: CastVote) -> None:
        self.platform.receive_vote(instance, incarnation, vote)

    # Clients.

    def _generate_request(self) -> None:
        day = self.day
        if self.now >= day.duration:
            return
        interval = (
            self._interval_stream.next()
            * TICKS_PER_SECOND
            / (day.request_rate * self.request_rate_factor)
        )
        self.schedule_at(self.now + max(1, round(interval)), self._generate_request)
        instance = min(
            day.instances - 1, bisect_right(self._cumulative_traffic, self._arrival_draws.next())
        )
        request_class = self._draw_request_mix().request_class
        if request_class.idempotency == Idempotency.NON_IDEMPOTENT:
            key = f"b{self._last_number}"
        else:
            key = f"k{self._key_stream.next()}"
        self.results.add_request(self.now, request_class.priority_weight)
        tenant = int(self._client_draws.next() * day.tenants)
        work = self._work_streams[request_class.name].next()
        deadline = self.now + request_class.outer_limit
        request = SimulatedRequest(request_class.name, key, tenant, self.now, deadline, 0, work)
        self._send_request(instance, request)

    def _draw_request_mix(self) -> ClassTraffic:
        remaining = self._arrival_draws.next()
        for mix in self.day.traffic:
            remaining -= mix.share
            if remaining < 0:
                return mix
        return self.day.traffic[-1]

    def _send_request(self, instance: int, request: SimulatedRequest) -> None:
        """Sends a client's request to an instance, unless its deadline has passed."""
        if not self.is_running(instance) or request.deadline <= self.now:
            return
        self._last_number += 1
        request_id = f"t{self._last_number}"
        self.requests[instance, request_id] = request
        self.checker.record_request(self.now, instance, request_id, request.lane, request.deadline)
        self.results.second_at(self.now).requests += 1
        received = RequestReceived(
            request_id,
            request.lane,
            f"t{request.tenant}",
            request.key,
            request.deadline - self.now,
            None,
            request.client_retries > 0,
            False,
        )
        self.deliver_event(instance, received)

    def _answer(self, instance: int, request_id: str, answer: Answer, retry_after: Ticks) -> None:
        """Answers a request.

        Args:
            instance: The instance that holds the request.
            request_id: Identifies the request at that instance.
            answer: How the request is answered.
            retry_after: Time after which the client may retry, in ticks.
        """
        self.checker.record_answer(self.now, instance, request_id, answer)
        request = self.requests.get((instance, request_id))
        if request is None:
            return
        self.results.add_answer(answer)
        request_class = self.lanes[request.lane].request_class
        if answer == Answer.DONE:
            self.results.add_success(
                self.now, request.first_sent_at, request_class, request.attempts[-1].build
            )
        else:
            self._handle_unserved(instance, request, answer, retry_after)
        if request.all_attempts_ended():
            del self.requests[instance, request_id]

    def _handle_unserved(
        self, instance: int, request: SimulatedRequest, answer: Answer, retry_after: Ticks
    ) -> None:
        if not request.attempts:
            second_totals = self.results.second_at(self.now)
            second_totals.rejections += 1
            objective = self.lanes[request.lane].request_class.latency_objective
            second_totals.needless_rejections += self._had_capacity(instance, objective)
        if answer == Answer.DEFERRED and request.client_retries < self.day.client_retries:
            delay = (
                retry_after
                if self._client_draws.next() < self.day.retry_after_compliance
                else RETRY_DELAY
            )
            retry = SimulatedRequest(
                request.lane,
                request.key,
                request.tenant,
                request.first_sent_at,
                request.deadline,
                request.client_retries + 1,
                request.work,
            )
            self.schedule_at(self.now + max(1, delay), self._send_request, instance, retry)

    def _had_capacity(self, instance: int, objective: Ticks) -> bool:
        """Returns whether enough reachable servers of earlier or released builds had capacity."""
        state = self.platform.state
        eligible = self.servers.pods_up(
            lambda pod: (
                self._reaches(instance, pod)
                and (pod.build.number < state.build or state.phase == ReleasePhase.RELEASED)
            )
        )
        available_count = sum(
            pod.can_start_within(self.now, MAX_START_WAIT_RATIO * objective) for pod in eligible
        )
        return available_count > MIN_AVAILABLE_RATIO * len(eligible)

    # The network.

    def _zone_of(self, instance: int) -> str:
        return self.day.zones[instance % len(self.day.zones)]

    def _reaches(self, instance: int, pod: Server) -> bool:
        """Returns whether an instance reaches a server; a partitioned zone reaches only itself."""
        if not self.partitioned_zones:
            return True
        own_zone = self._zone_of(instance)
        return own_zone == pod.zone or not self.partitioned_zones & {own_zone, pod.zone}

    def is_cut_off(self, instance: int) -> bool:
        """Returns whether a partition separates an instance from the platform in the first zone."""
        own_zone, platform_zone = self._zone_of(instance), self.day.zones[0]
        return (
            bool(self.partitioned_zones)
            and own_zone != platform_zone
            and bool(self.partitioned_zones & {own_zone, platform_zone})
        )

    def _draw_one_way_delay(self) -> Ticks:
        """Draws the one-way delay of a message."""
        return max(1, round(self._delay_stream.next()))

    # Attempts.

    def _send(self, instance: int, incarnation: int, action: SendAttempt) -> None:
        # An instance with an outdated list may send to a removed server, which never answers.
        servers = self.servers
        pod = servers.pods.get(action.endpoint) or servers.removed_pods.get(action.endpoint)
        request = self.requests.get((instance, action.id))
        attempt = self._create_attempt(instance, incarnation, action, request, pod)
        if request is None or pod is None:
            self.schedule_at(self.now, self._end_attempt, attempt, Outcome.NOT_SENT, False)
            return
        request.attempts.append(attempt)
        self.results.add_attempt(pod.name)
        self.checker.record_attempt(
            self.now,
            instance,
            action.id,
            pod.name,
            attempt.build,
            lane=request.lane,
            key=request.key,
            work=request.work,
            started=pod.started,
            capacity=pod.cores * pod.speed,
        )
        timeout_at = min(self.now + action.timeout, request.deadline)
        if pod.unresponsive or not self._reaches(instance, pod):
            self._send_unanswered(attempt, timeout_at)
        else:
            self._connect(attempt, pod, timeout_at)

    def _create_attempt(
        self,
        instance: int,
        incarnation: int,
        action: SendAttempt,
        request: SimulatedRequest | None,
        pod: Server | None,
    ) -> SimulatedAttempt:
        return SimulatedAttempt(
            instance,
            incarnation,
            action.id,
            len(request.attempts) if request else action.number,
            request.lane if request else "",
            request.key if request else "",
            request.work if request else 1.0,
            self.now,
            action.endpoint,
            pod.build.number if pod else 0,
        )

    def _send_unanswered(self, attempt: SimulatedAttempt, timeout_at: Ticks) -> None:
        """Sends an attempt to an unresponsive server.

        On an open connection it times out; a new connection is never established.
        """
        if self.now - self._last_answered_at.pop(_connection_key(attempt), NEVER) > IDLE_TIMEOUT:
            failed_at = min(timeout_at, self.now + CONNECT_TIMEOUT)
            self.schedule_at(failed_at, self._end_attempt, attempt, Outcome.CONNECT_FAILED, False)
        else:
            self.schedule_at(timeout_at, self._end_attempt, attempt, Outcome.TIMED_OUT, None)

    def _connect(self, attempt: SimulatedAttempt, pod: Server, timeout_at: Ticks) -> None:
        opened_before = self.connections.opened_count
        attempt.has_connection = self.connections.acquire(
            self.now, _connection_key(attempt), pod.name
        )
        is_new = self.connections.opened_count > opened_before
        self.results.dispatched_attempts += 1
        self.platform.update_trial_attempt_ratio(attempt.build)
        if not attempt.has_connection:
            refused_at = min(timeout_at, self.now + REFUSAL_DELAY)
            self.schedule_at(refused_at, self._end_attempt, attempt, Outcome.CONNECT_FAILED, False)
            return
        if self._loss_draws.next() < self.attempt_loss_ratio or pod.state == PodState.DOWN:
            failed_at = min(timeout_at, self.now + CONNECT_TIMEOUT)
            self.schedule_at(failed_at, self._end_attempt, attempt, Outcome.CONNECT_FAILED, False)
            return
        self.schedule_at(timeout_at, self._end_attempt, attempt, Outcome.TIMED_OUT, None)
        one_way_delay = self._delay_stream.next()
        if self.day.mean_handshake_work and is_new:
            one_way_delay *= NEW_CONNECTION_TRIPS
            attempt.work += self.day.mean_handshake_work * (0.5 + self._sample_draws.next())
        self.schedule_at(self.now + max(1, round(one_way_delay)), self._arrive_at_server, attempt)

    def _arrive_at_server(self, attempt: SimulatedAttempt) -> None:
        """Handles the arrival of an attempt at its server."""
        pod = self.servers.pods.get(attempt.pod_name)
        attempt.work *= self.work_factor * self.platform.slowdown_factor()
        service_time = pod.submit(self.now, attempt) if pod else False
        if service_time is False:
            self.schedule_at(
                self.now + self._draw_one_way_delay(),
                self._end_attempt,
                attempt,
                Outcome.REJECTED,
                False,
            )
        elif service_time is not None:
            self.schedule_at(self.now + service_time, self._finish_job, pod, attempt)

    def _finish_job(self, pod: Server, attempt: SimulatedAttempt) -> None:
        """Finishes the work of an attempt at its server."""
        if self.now < pod.paused_until:  # a paused server makes no progress
            self.schedule_at(pod.paused_until + 1, self._finish_job, pod, attempt)
            return
        next_job = pod.finish(self.now)
        if next_job:
            self.schedule_at(self.now + next_job[1], self._finish_job, pod, next_job[0])
        if pod.state == PodState.DOWN:
            return
        self.checker.record_execution(self.now, attempt.request_id, attempt.lane)
        fails = self._draw_failure(pod, attempt)
        if pod.unresponsive or not self._reaches(attempt.instance, pod):
            return
        if self.answer_loss_ratio and self._failure_draws.next() < self.answer_loss_ratio:
            self.schedule_at(
                self.now + self._draw_one_way_delay(),
                self._end_attempt,
                attempt,
                Outcome.RESET,
                None,
            )
            return
        self._last_answered_at[_connection_key(attempt)] = self.now
        outcome = Outcome.ERROR if fails else Outcome.DONE
        self.schedule_at(
            self.now + self._draw_one_way_delay(),
            self._end_attempt,
            attempt,
            outcome,
            None if fails else True,
        )

    def _draw_failure(self, pod: Server, attempt: SimulatedAttempt) -> bool:
        """Draws whether an attempt fails at its server, and counts the harm of a faulty build."""
        build, request_class = pod.build, self.lanes[attempt.lane].request_class
        fault_applies = build.fault_applies(pod, self.now, attempt.lane)
        fails = self._failure_draws.next() < (
            build.failure_ratio if fault_applies else BASE_FAILURE_RATIO
        )
        extra_failure_ratio = self.servers.extra_failure_ratios.get(pod.name)
        fails = fails or (
            extra_failure_ratio is not None and self._failure_draws.next() < extra_failure_ratio
        )
        if fails and build.failure_ratio and request_class.idempotency != Idempotency.IDEMPOTENT:
            self.results.harm += request_class.priority_weight
        return fails

    def _end_attempt(self, attempt: SimulatedAttempt, outcome: Outcome, ran: bool | None) -> None:
        """Ends an attempt; only the first call for an attempt has an effect.

        Args:
            attempt: The attempt.
            outcome: Outcome of the attempt.
            ran: Whether the attempt was executed; None if unknown.
        """
        if attempt.has_ended:
            return
        attempt.has_ended = True
        instance = attempt.instance
        if attempt.has_connection:
            reusable = outcome in (Outcome.DONE, Outcome.ERROR, Outcome.REJECTED)
            self.connections.release(self.now, _connection_key(attempt), attempt.pod_name, reusable)
        if self.incarnations[instance] != attempt.incarnation or not self.is_running(instance):
            return
        if self.day.counts_interval and outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self.platform.sample_attempt(attempt, outcome)
        request = self.requests.get((instance, attempt.request_id))
        is_answered = self._is_answered(attempt)
        if request is not None and attempt in request.attempts:
            self.checker.record_attempt_end(instance, attempt.request_id, attempt.number, ran)
        if outcome == Outcome.DONE:
            self.checker.record_key_answer(instance, attempt.key, attempt.build)
            if not is_answered:
                self._answer(instance, attempt.request_id, Answer.DONE, 0)
        event = AttemptEnded(
            attempt.request_id,
            outcome,
            is_answered or outcome == Outcome.DONE,
            self.now - attempt.sent_at,
            attempt.pod_name,
            attempt.number,
            None,
        )
        self.deliver_event(instance, event)
        if request is not None and self._is_answered(attempt) and request.all_attempts_ended():
            self.requests.pop((instance, attempt.request_id), None)

    def _is_answered(self, attempt: SimulatedAttempt) -> bool:
        return (attempt.instance, attempt.request_id) in self.checker.answers

    # Results.

    def in_flight_mismatches(self) -> list[InFlightMismatch]:
        """Returns the instances whose engine counts a wrong number of attempts in flight."""
        in_flight = dict.fromkeys(range(self.day.instances), 0)
        for (instance, _), request in self.requests.items():
            in_flight[instance] += sum(not attempt.has_ended for attempt in request.attempts)
        mismatches = []
        for instance, engine in self.engines.items():
            if engine is None:
                continue
            counted = _counted_in_flight(engine.requests.open.values())
            if counted != in_flight[instance]:
                mismatches.append(InFlightMismatch(instance, counted, in_flight[instance]))
        return mismatches

    def figures(self) -> dict[str, Any]:
        """Returns the main figures of the day."""
        return self.results.figures(self.checker)


def _connection_key(attempt: SimulatedAttempt) -> ConnectionKey:
    return attempt.instance, attempt.incarnation, attempt.pod_name


def _counted_in_flight(requests: Iterable[Any]) -> int:
    return sum(attempt.in_flight for request in requests for attempt in request.attempts)


def current_engine(settings: Settings, seed: int, now: Ticks) -> Any:
    """Returns an engine with the project's own policy."""
    from ..policy.engine import DecisionEngine  # noqa: PLC0415 (other policies do not need it)

    return DecisionEngine(settings, LinearCongruentialGenerator(seed).state, now)
