"""Connects the network to the decision engine.

Network input becomes events for the engine, and the actions that it returns are executed. The
proxy decides nothing itself: whether, when and where a request is sent is up to the engine.
"""

from collections.abc import Callable, Iterable
from math import isfinite
from typing import Any

from ..interface.actions import (
    Action,
    CancelAttempt,
    CastVote,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    LogNote,
    ProbeEndpoint,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    SubscribeToEndpoints,
)
from ..interface.clock import Ticks
from ..interface.enums import Outcome
from ..interface.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    Event,
    LateResponseSeen,
    ReleaseUpdate,
    TimerFired,
)
from ..policy.engine import INPUT_BY_OUTCOME, DecisionEngine
from ..policy.memory_budget import ClientMemory
from ..protocol import resp
from ..protocol.http_calls import HttpCaller
from ..protocol.pod_response import PodResponse
from ..service import structured_log
from ..service.configuration import StartConfiguration
from ..service.rejection_summary import RejectionSummary
from ..service.turn_times import TurnTimes
from ..state.connection_pool import ConnectionPools
from ..state.random_source import LinearCongruentialGenerator
from ..state.slot_table import SlotTable
from ..state.start_times import StartTimes
from ..state.timer_queue import TimerQueue
from ..state.trial_exposure import TrialExposure
from .attempt import Attempt
from .client_listener import ClientListener
from .client_requests import FAILED_RESPONSE, ClientRequests, close_if_client_gone
from .descriptor_budget import descriptor_budget
from .endpoint_updates import Address, EndpointUpdates
from .graceful_shutdown import GracefulShutdown
from .in_flight import RequestTable
from .release_channel import ReleaseChannel
from .resource_report import ResourceReport

KEYS_READ_AT_START = {
    "name": "name",
    "listen": "listen",
    "seed": "seed",
    "sockets": "limits.sockets",
    "settings": "settings",
    "connection_limits": "settings",
}
"""Fields of StartConfiguration that take effect only at start, with their configuration keys."""


class Proxy:
    """A sidecar instance: its connections, its requests and its decision engine.

    Attributes:
        start: The configuration at start.
        reactor: Twisted's reactor; it has no static type.
        timers: All timers of the program.
        epoch: Unix time minus the monotonic clock, in ticks.
        clock: Returns the monotonic time, in ticks.
        settings: The settings of the decision engine.
        connection_limits: The limits of the connections.
        pools: The connections to endpoints.
        listener: The listening port and the clients' connections.
        shutdown: Drains the listener.
        memory: The memory that clients' connections may make the process hold.
        resources: Reports memory and connections.
        requests: The requests in flight.
        requests_in_flight: The requests in flight by slot, `requests.by_slot`.
        client_requests: Accepts and answers requests.
        exposure: Counts requests received and attempts written to the build on trial.
        pending_events: Events that the engine has not handled yet.
        handling_events: Whether the engine is handling events; new ones are then queued in
            `pending_events`.
        gossip: Gossip, notified of ended attempts and endpoint lists; None without the feature.
        why: The decision log, notified when requests start and end; None without the feature.
        fleet: Coordination, which drains this instance on command; None without the feature.
        rejections: Summarizes why requests are rejected.
        engine: The decision engine.
        endpoints: The endpoint list.
        releases: Votes and release updates.
    """

    def __init__(
        self,
        start: StartConfiguration,
        reactor: Any,
        timers: TimerQueue,
        epoch: Ticks,
        current_epoch: Callable[[], Ticks] | None = None,
        *,
        turn_times: TurnTimes | None = None,
    ) -> None:
        """Creates an instance that does not serve yet.

        Args:
            start: The configuration.
            reactor: Twisted's reactor.
            timers: All timers of the program.
            epoch: Unix time minus the monotonic clock, in ticks, when the process started.
            current_epoch: Returns that difference as it is now; None if it does not change.
            turn_times: The longest turns of the event loop; None if they are not recorded.
        """
        self.start = start
        self.reactor = reactor
        self.timers = timers
        self.epoch = epoch
        self.clock: Callable[[], Ticks] = timers.clock
        self.settings = start.settings
        self.connection_limits = start.connection_limits
        budget = descriptor_budget(start.sockets)
        self.memory = ClientMemory(start.memory_mb, budget.clients)
        self.pools = ConnectionPools(
            reactor,
            timers,
            self.connection_limits,
            budget.endpoints,
            partial_responses=self.memory.partial_responses,
            fault=structured_log.log_exception,
        )
        self.resources = ResourceReport(structured_log.log, self.memory, turn_times or TurnTimes())
        self.requests = RequestTable(
            timers, self.memory.open_requests, start.settings.request_classes
        )
        self.requests_in_flight = self.requests.by_slot
        self.client_requests = ClientRequests(self, self.requests)
        self.listener = ClientListener(
            reactor,
            timers,
            start.listen,
            sockets=start.sockets,
            max_clients=budget.clients,
            memory=self.memory,
            counters=self.resources.counters,
            request_received=self.client_requests.accept,
            client_gone=self.client_requests.client_disconnected,
        )
        self.shutdown = GracefulShutdown(self.listener, self.client_requests.fail_all)
        self.exposure = TrialExposure(start.settings)
        self.pending_events: list[Event] = []
        self.handling_events = False
        self.gossip: Any = None
        self.why: Any = None
        self.fleet: Any = None
        self.rejections = RejectionSummary(structured_log.log)
        self.engine = DecisionEngine(
            self.settings, start.seed, self.clock(), self.rejections.record
        )
        random_source = LinearCongruentialGenerator(~start.seed)
        start_times = StartTimes(epoch, current_epoch or (lambda: epoch), self.clock)
        self.endpoints = EndpointUpdates(self, random_source, start_times)
        self.releases = ReleaseChannel(self, random_source)
        self._action_handlers = self._handlers_by_action_type()

    def _handlers_by_action_type(self) -> dict[type[Action], Callable[[Any], None]]:
        return {
            SendAttempt: self._send,
            CancelAttempt: self._cancel,
            Reject: self.client_requests.reject,
            Fail: self.client_requests.fail,
            SetTimer: self._set_timer,
            CloseIdleConnections: self._close_idle,
            SubscribeToEndpoints: self.endpoints.subscribe,
            FetchEndpoints: self.endpoints.fetch,
            CastVote: self.releases.cast_vote,
            LogNote: self._log_note,
            ProbeEndpoint: self._not_supported,
            SendPeerMessage: self._not_supported,
        }

    def caller(self, address: Address, connect_timeout: Ticks | None = None) -> HttpCaller:
        """Returns an HTTP client for this address; the default timeout is the configured one."""
        timeout = connect_timeout or self.connection_limits.connect_timeout
        return HttpCaller(self.reactor, self.timers, address, timeout)

    def reconfigure(self, start: StartConfiguration) -> list[str]:
        """Applies the addresses and the memory limit of a new configuration.

        Calls in progress finish at the previous addresses. The endpoints and the release state of
        the configuration are ignored, since the streams have reported newer ones.

        Returns:
            The changed keys that need a restart to take effect. `known` and `deployer.news` are
            never among them, since they only describe the state at start.
        """
        self.endpoints.change_address(start.discovery)
        self.releases.change_address(start.platform)
        self.memory.set_memory_limit(start.memory_mb)
        return sorted(
            {
                key
                for field, key in KEYS_READ_AT_START.items()
                if getattr(start, field) != getattr(self.start, field)
            }
        )

    def begin(self, on_data: Callable[[], None] | None = None) -> None:
        """Reports the configured state to the engine, and subscribes to updates.

        Args:
            on_data: Called whenever the endpoint watch stream has received data.
        """
        if on_data is not None:
            self.endpoints.notify_on_data(on_data)
        self.endpoints.apply(self.start.known, self.endpoints.discovery.address)
        self.handle_events(self.start.news)
        self.endpoints.start()
        self.releases.start()
        self._log_rejections()

    def _log_rejections(self) -> None:
        self.resources.flush(self.clients, len(self.pools))
        pressure = round(self.engine.admission.pressure(self.clock(), ()), 2)
        self.timers.add(
            self.rejections.flush(self.clock(), pressure=pressure), self._log_rejections
        )

    # Accessors for other packages.

    @property
    def clients(self) -> SlotTable[Any]:
        """The clients' open connections."""
        return self.listener.clients

    @property
    def listener_closed(self) -> Any:
        """The closing of the listening port, a Deferred; None while it serves."""
        return self.shutdown.listener_closed

    @property
    def listed_endpoints(self) -> dict[str, Endpoint]:
        """Each listed endpoint by its name."""
        return self.endpoints.listed_endpoints

    @property
    def addresses(self) -> dict[str, str]:
        """The address of each listed endpoint, by its name."""
        return self.endpoints.addresses

    @property
    def discovery(self) -> HttpCaller:
        """The HTTP client of the discovery service."""
        return self.endpoints.discovery

    @property
    def platform(self) -> HttpCaller:
        """The HTTP client of the release platform."""
        return self.releases.platform

    def serve(self) -> None:
        """Opens the listening port.

        Raises:
            CannotListenError: The address is in use or does not belong to this machine.
        """
        self.listener.serve()

    def limit_responses(self, answer_by: Ticks) -> None:
        """Has each request answered by then; see GracefulShutdown.limit_responses."""
        self.shutdown.limit_responses(answer_by)

    def shut_down(self, on_drained: Callable[[], None], answer_by: Ticks | None = None) -> None:
        """Drains before the process ends; see GracefulShutdown.drain."""
        self.shutdown.drain(on_drained, answer_by)

    def drain(self, on_drained: Callable[[], None]) -> None:
        """Drains temporarily, under a permit; `undrain` resumes service."""
        self.shutdown.drain(on_drained)

    def undrain(self, on_listening: Callable[[], None], on_failure: Callable[[str], None]) -> None:
        """Accepts new work again; see GracefulShutdown.undrain."""
        self.shutdown.undrain(on_listening, on_failure)

    # Passing events to the engine and executing its actions.

    def handle_events(self, *events: Event) -> None:
        """Passes events to the engine in order, followed by those that its actions cause."""
        self.pending_events += events
        if self.handling_events:
            return
        self.handling_events = True
        try:
            while self.pending_events:
                self._handle_event(self.pending_events.pop(0))
        finally:
            self.handling_events = False

    def _handle_event(self, event: Event) -> None:
        if type(event) is ReleaseUpdate:
            self.releases.apply(event)
        try:
            actions = self.engine.handle(self.clock(), [event])
        except Exception as error:  # only the request of this event fails, not the process
            structured_log.log_exception("decisions", error)
            self._execute(self.engine.actions)
            name = getattr(event, "id", None)
            request = None if name is None else self.requests.find(name)
            if request and not request.closed and not request.attempts_in_flight:
                self.client_requests.answer(request, FAILED_RESPONSE)
                self.pending_events.append(ClientDisconnected(request.id))
        else:
            self._execute(actions)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in list(actions):
            try:
                self._action_handlers[type(action)](action)
            except Exception as error:  # the remaining actions are still executed
                structured_log.log_exception(type(action).__name__, error)

    def _set_timer(self, action: SetTimer) -> None:
        self.timers.add(action.at, self.handle_events, TimerFired(action.token))

    def _log_note(self, action: LogNote) -> None:
        structured_log.log("note", text=action.text)

    def _not_supported(self, action: ProbeEndpoint | SendPeerMessage) -> None:
        structured_log.log("action not supported", action=type(action).__name__)

    def _close_idle(self, action: CloseIdleConnections) -> None:
        self.pools.close_idle(action.endpoint)

    def withdraw_unwritten(self, is_obsolete: Callable[[Endpoint, str], bool]) -> None:
        """Withdraws attempts that are not completely written and whose endpoint and address fail.

        An attempt that was decided before an update must not be written if the update forbids it.
        The engine handles the ends of the attempts together with the update.
        """
        was_handling = self.handling_events
        self.handling_events = True
        try:
            for attempt, address in self.pools.unwritten_attempts():
                if is_obsolete(attempt.endpoint, address):
                    attempt.withdraw()
        finally:
            self.handling_events = was_handling

    # Attempts.

    def _send(self, action: SendAttempt) -> None:
        now = self.clock()
        request = self.requests.find(action.id)
        endpoint = action.endpoint
        if request is None:
            self._end_without_request(action)
            return
        close_if_client_gone(request)
        if self.requests.find(action.id) is not request:  # released, as its client has left
            self._end_without_request(action)
            return
        endpoints = self.endpoints
        attempt = Attempt(
            self,
            request,
            endpoints.listed_endpoints.get(endpoint),
            now,
            min(now + action.timeout, request.expires_at),
        )
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if attempt.number >= self.settings.max_attempts or not attempt.may_be_written(
            endpoints.addresses.get(endpoint)
        ):
            self.attempt_ended(attempt, Outcome.NOT_SENT)
            return
        attempt.timer = self.timers.add(attempt.write_by, attempt.timer_due)
        try:
            sent = self.pools.send(endpoint, endpoints.addresses[endpoint], attempt)
        except Exception as error:  # the end of every attempt must be reported to the engine
            structured_log.log_exception("connection pools", error)
            attempt.give_up()
            return
        if not sent:
            structured_log.log_rate_limited(
                "no descriptor for an endpoint", connections=len(self.pools)
            )
            self.attempt_ended(attempt, Outcome.NOT_SENT)

    def _end_without_request(self, action: SendAttempt) -> None:
        """Ends an attempt whose request was released meanwhile, as the client had disconnected.

        The engine keeps an attempt in flight until an end with its number is reported; with
        another number it would keep the request forever.
        """
        self.pending_events.append(
            AttemptEnded(action.id, Outcome.NOT_SENT, True, 0, action.endpoint, action.number, None)
        )

    def _cancel(self, action: CancelAttempt) -> None:
        request = self.requests.find(action.id)
        if request is None or action.number >= len(request.attempts):
            return
        attempt = request.attempts[action.number]
        if attempt.in_flight:
            attempt.give_up(Outcome.CANCELLED)

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, answer: PodResponse | None = None
    ) -> None:
        """Handles the end of an attempt; the first good response goes to the client at once."""
        request = attempt.request
        attempt.in_flight = False
        attempt.may_have_run = INPUT_BY_OUTCOME[outcome] != "unrun"
        request.attempts_in_flight -= 1
        if attempt.timer is not None:
            self.timers.cancel(attempt.timer)
        if outcome == Outcome.DONE and answer is not None and not request.closed:
            request.closed = True
            if self.why is not None:
                self.why.request_answered(request.id, self.why.done_reason)
            request.connection.answer(request.sequence, resp.value(answer.value))
        load = self._load(answer.report) if answer and answer.report else None
        endpoint = attempt.endpoint.address if attempt.endpoint else ""
        latency = self.clock() - attempt.started_at
        event = AttemptEnded(
            request.id, outcome, request.closed, latency, endpoint, attempt.number, load
        )
        if self.gossip is not None and attempt.endpoint:
            self.gossip.on_attempt_ended(attempt, outcome)
        if request.repeated and not request.attempts_in_flight:  # the engine has already closed it
            self.client_requests.answer(request, FAILED_RESPONSE)
        self.requests.release(request)
        self.handle_events(event)
        if self.why is not None and request.closed and not request.attempts_in_flight:
            self.why.request_finished(request.id)

    def response_discarded(self, attempt: Attempt, reason: str) -> None:
        """Counts a key as answered by a build whose response is discarded.

        It was late, partial or malformed, or may still arrive.
        """
        command = attempt.request.command
        assert attempt.endpoint is not None  # it was written
        structured_log.log_rate_limited(
            "late response discarded",
            id=attempt.request.id,
            pod=attempt.endpoint.address,
            after=self.clock() - attempt.started_at,
            reason=reason,
        )
        self.handle_events(
            LateResponseSeen((command.key or command.id).decode(), attempt.endpoint.build)
        )

    def _load(self, report: bytes) -> tuple[float, ...] | None:
        """Returns the values of a load report in the order of the settings; None if malformed."""
        values = dict(
            pair.partition("=")[::2] for pair in report.decode("utf-8", "replace").split(",")
        )
        try:
            load = tuple(float(values[name]) for name in self.settings.load_metrics)
        except (KeyError, ValueError):
            return None
        return load if all(map(isfinite, load)) else None
