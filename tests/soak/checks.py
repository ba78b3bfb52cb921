"""Checks the observations of a run against the specification.

Only what clients, endpoints, discovery and the platform saw is used, no internal state. Each limit
is that of the specification, plus the time for which it lets a sidecar be stalled between reading
its clock and writing.
"""

from dataclasses import dataclass

from tests.soak.closing import RESET
from tests.soak.plan import NEWEST_BUILD
from tests.soak.sidecar import KILL_AFTER_SECONDS, STARTUP_TIMEOUT_SECONDS

# The limits of the specification.
STALL_TOLERANCE_SECONDS = 0.15  # a sidecar may be stalled for this long
TIME_LIMIT_SLACK_SECONDS = 0.05  # added to every time limit
# A response up to this late has no value, but is no violation.
LATE_RESPONSE_SECONDS = 0.5
DISCONNECT_SLACK_SECONDS = 0.1  # an attempt may begin this long after its client disconnected
CAP_UPDATE_SLACK_SECONDS = 0.15  # from sending a lower cap until it must take effect
# From the newest build's first response to a key until the key must stay with that build.
STICKY_KEY_DELAY_SECONDS = 0.15
INVALID_COMMAND_LIMIT_SECONDS = 3.0  # until an invalid command gets an error or is cut off
EXPOSURE_WINDOW_SECONDS = 3.0  # as in the settings
EXPOSURE_ALLOWANCE = 3.0  # in attempts, as in the settings
# 2 attempts and 4% above the cap are allowed.
CAP_SLACK_ATTEMPTS = 2
CAP_SLACK_FACTOR = 1.04
DEDUPLICATION_WINDOW_SECONDS = 5.0  # as in the settings
# The timeout that an attempt sends to its endpoint may exceed the time left by this much.
TIMEOUT_SLACK_SECONDS = 0.15
# Outcomes by which an endpoint has answered, whether or not its response can be read.
ANSWERED_OUTCOMES = ("good", "duplicate", "lost")
TIMING_INDEPENDENT_KINDS = frozenset(
    (
        "lost response",
        "reset connection",
        "wrong response",
        "duplicate execution",
        "logged fault",
        "exit status",
        "memory",
    )
)
"""Kinds of violations that count even if the machine was too busy for the time limits."""
# From sending the entry of a restarted endpoint until its former process must get nothing.
RESTART_UPDATE_SLACK_SECONDS = 0.3


@dataclass(frozen=True)
class Violation:
    """A violation of the specification.

    Attributes:
        kind: Short name of the violated rule.
        request_id: The request that it concerns; None if it concerns no single one.
    """

    kind: str
    text: str
    request_id: str | None = None


class Checks:
    """All checks of one run."""

    def __init__(self, plan, observations):
        self.plan, self.observations, self.violations = plan, observations, []
        self.attempts_by_request = {}
        for attempt in observations.attempts:
            self.attempts_by_request.setdefault(attempt.request_id, []).append(attempt)

    def add_violation(self, kind, text, request_id=None):
        self.violations.append(Violation(kind, text, request_id))

    def run(self):
        """Returns all violations of the run."""
        for request in self.observations.requests.values():
            if request.sent_at:
                self._check_response(request)
                self._check_retries(request)
                self._check_disconnect(request)
                self._check_timeouts(request)
        self._check_drains()
        self._check_exposure()
        self._check_sticky_keys()
        self._check_invalid_commands()
        self._check_lost_connections()
        self._check_processes()
        for text in self.observations.unexpected_responses:
            self.add_violation("wrong response", text)
        return self.violations

    # Each request gets one response, in time.

    def _check_response(self, request):
        if len(request.responses) > 1:
            self.add_violation(
                "wrong response", f"{len(request.responses)} responses", request.request_id
            )
        if request.responses:
            self._check_content(request)
            responded_at = request.responses[0][0]
            latest = (
                request.response_deadline_at() + LATE_RESPONSE_SECONDS + STALL_TOLERANCE_SECONDS
            )
            if responded_at > latest and request.disconnected_at is None:
                self.add_violation(
                    "late response",
                    f"answered {responded_at - latest:.3f} s after its latest time",
                    request.request_id,
                )
            return
        if request.disconnected_at is not None:  # a client that disconnected is owed no response
            return
        # A sidecar accepts new connections only for 0.2 to 0.4 s after SIGTERM.
        if request.connection_refused:
            return
        process = self.observations.processes[request.process_number]
        if process.killed and process.sigterm_at is None:  # killed without SIGTERM
            return
        if process.ended_at is not None and process.sigterm_at is None:
            self.add_violation(
                "lost response", "its process ended without a signal", request.request_id
            )
            return
        if process.killed and request.sent_at > process.sigkill_at - STALL_TOLERANCE_SECONDS:
            return
        self.add_violation("lost response", "never answered", request.request_id)

    def _check_content(self, request):
        response = request.responses[0][1]
        if response.startswith(b"$"):
            value = response.split(b"\r\n")[1].decode()
            if value.split(":")[0] != request.request_id:
                text = f"answered with {value}, {self._describe_duplicate(value)}"
                self.add_violation("wrong response", text, request.request_id)
            values = [
                attempt.value
                for attempt in self.attempts_by_request.get(request.request_id, ())
                if attempt.value is not None
            ]
            if response not in [b"$%d\r\n%s\r\n" % (len(sent), sent) for sent in values]:
                self.add_violation(
                    "wrong response",
                    "answered with a response that no endpoint sent",
                    request.request_id,
                )
        elif response.startswith(b"-BUSY"):
            maybe_executed = [
                attempt
                for attempt in self.attempts_by_request.get(request.request_id, ())
                if attempt.outcome != "busy" and attempt.request_class == "pay"
            ]
            if maybe_executed:
                self.add_violation(
                    "duplicate execution", "rejected though it may have run", request.request_id
                )
        elif not response.startswith(b"-ERR"):
            self.add_violation(
                "wrong response", f"answered with {response[:60]!r}", request.request_id
            )

    def _describe_duplicate(self, value):
        """Returns a text that says when a duplicate of the response with this value was written."""
        request_id, endpoint, _ = value.split(":")
        for attempt in self.attempts_by_request.get(request_id, ()):
            if attempt.endpoint == endpoint and attempt.duplicate_sent_at is not None:
                return f"duplicated {1000 * (attempt.duplicate_sent_at - attempt.responded_at):.1f} ms later"
        return "never duplicated"

    # No request runs twice, and none runs for a client that has disconnected.

    def _check_retries(self, request):
        attempts = self.attempts_by_request.get(request.request_id, [])
        first_maybe_executed = None
        for attempt in attempts:
            if first_maybe_executed is not None and request.request_class == "pay":
                self.add_violation(
                    "duplicate execution", "sent again while it may have run", request.request_id
                )
            if (
                first_maybe_executed is not None
                and request.request_class == "mark"
                and attempt.last_byte_at
                > first_maybe_executed.last_byte_at
                + DEDUPLICATION_WINDOW_SECONDS
                + TIME_LIMIT_SLACK_SECONDS
            ):
                self.add_violation(
                    "duplicate execution",
                    "sent again after the deduplication window",
                    request.request_id,
                )
            was_rejected = attempt.outcome == "busy" and attempt.responded_at is not None
            if first_maybe_executed is None and not was_rejected:
                first_maybe_executed = attempt

    def _check_disconnect(self, request):
        if request.disconnected_at is None:
            return
        for attempt in self.attempts_by_request.get(request.request_id, ()):
            delay = attempt.last_byte_at - request.disconnected_at
            if delay > DISCONNECT_SLACK_SECONDS + STALL_TOLERANCE_SECONDS:
                self.add_violation(
                    "client gone",
                    f"attempt {delay:.3f} s after its client disconnected",
                    request.request_id,
                )

    def _check_timeouts(self, request):
        for attempt in self.attempts_by_request.get(request.request_id, ()):
            time_left = request.deadline_at() - attempt.last_byte_at
            if (
                not request.resent
                and attempt.timeout
                > max(time_left, 0) + TIMEOUT_SLACK_SECONDS + TIME_LIMIT_SLACK_SECONDS
            ):
                text = f"timeout of {attempt.timeout:.3f} s with {time_left:.3f} s left"
                self.add_violation("timeout", text, request.request_id)

    # A draining endpoint gets no new requests.

    def _check_drains(self):
        states_by_endpoint = {}
        for state in self.observations.endpoint_states_sent:
            states_by_endpoint.setdefault((state.instance, state.endpoint), []).append(state)
        for attempt in self.observations.attempts:
            states = states_by_endpoint.get((attempt.instance, attempt.endpoint), ())
            earlier = [state for state in states if state.sent_at <= attempt.first_byte_at]
            if not earlier:
                continue
            # When the sidecar was first told that the endpoint is not ready; None if it is ready.
            unready_since = None
            for state in earlier:
                if state.state == "Ready":
                    unready_since = None
                elif unready_since is None:
                    unready_since = state.sent_at
            if (
                unready_since is not None
                and attempt.first_byte_at
                > unready_since + TIME_LIMIT_SLACK_SECONDS + STALL_TOLERANCE_SECONDS
            ):
                delay = attempt.first_byte_at - unready_since
                text = f"sent to {attempt.endpoint} {delay:.3f} s after its drain was announced"
                self.add_violation("drain", text, attempt.request_id)
            latest = earlier[-1]
            if (
                attempt.generation < latest.generation
                and attempt.first_byte_at
                > latest.sent_at + RESTART_UPDATE_SLACK_SECONDS + STALL_TOLERANCE_SECONDS
            ):
                self.add_violation(
                    "drain", f"sent to the former process of {attempt.endpoint}", attempt.request_id
                )

    # The newest build gets its share of requests, and keeps the keys that it answered.

    def _release_states_for(self, instance):
        return [
            state for state in self.observations.release_states_sent if state.instance == instance
        ]

    def _check_exposure(self):
        for instance in range(self.plan.instance_count):
            release_states = self._release_states_for(instance)
            attempts = [
                attempt
                for attempt in self.observations.attempts
                if attempt.instance == instance and attempt.build == NEWEST_BUILD
            ]
            request_times = sorted(
                request.sent_at
                for request in self.observations.requests.values()
                if request.instance == instance and request.sent_at
            )
            initial_cap = self.plan.trial.changes[0][2]
            for attempt in attempts:
                self._check_exposure_window(
                    attempt, attempts, request_times, release_states, initial_cap
                )

    def _check_exposure_window(self, attempt, attempts, request_times, release_states, initial_cap):
        end = attempt.last_byte_at
        begin = end - EXPOSURE_WINDOW_SECONDS
        history = [(float("-inf"), "trial", initial_cap)]
        history += [(state.sent_at, state.status, state.cap) for state in release_states]
        current = [entry for entry in history if entry[0] <= end][-1]
        current_since = max(at for at, *_ in history if at <= end)
        if (
            current[1] in ("rolling_back", "withdrawn")
            and end > current_since + CAP_UPDATE_SLACK_SECONDS + STALL_TOLERANCE_SECONDS
        ):
            self.add_violation(
                "exposure", "sent to a build that takes no more requests", attempt.request_id
            )
        recent = [
            entry
            for entry in history
            if entry[0] <= end and entry[0] > begin - CAP_UPDATE_SLACK_SECONDS
        ]
        previous = [entry for entry in history if entry[0] <= begin - CAP_UPDATE_SLACK_SECONDS][-1]
        in_effect = [previous, *recent]
        if any(status != "trial" for _, status, _ in in_effect):
            return
        cap = max(entry[2] for entry in in_effect)
        count = sum(begin < other.last_byte_at <= end for other in attempts)
        requests = sum(begin - STALL_TOLERANCE_SECONDS < at <= end for at in request_times)
        allowed = (EXPOSURE_ALLOWANCE + cap * requests) * CAP_SLACK_FACTOR + CAP_SLACK_ATTEMPTS
        if count > allowed:
            text = f"{count} attempts in {EXPOSURE_WINDOW_SECONDS} s, {allowed:.1f} allowed of {requests} requests"
            self.add_violation("exposure", text, attempt.request_id)

    def _check_sticky_keys(self):
        """Checks that keys answered by the newest build stay with it while it takes requests."""
        for instance in range(self.plan.instance_count):
            release_states = self._release_states_for(instance)
            revoked_at = min(
                (
                    state.sent_at
                    for state in release_states
                    if state.status in ("rolling_back", "withdrawn")
                ),
                default=float("inf"),
            )
            process_starts = [
                process.started_at
                for process in self.observations.processes
                if process.instance == instance
            ]
            answered_at_by_key = {}
            for attempt in sorted(
                (other for other in self.observations.attempts if other.instance == instance),
                key=lambda other: other.last_byte_at,
            ):
                answered_at = answered_at_by_key.get(attempt.key)
                # A restarted sidecar does not know the keys of the former process.
                is_sticky = answered_at is not None and not any(
                    answered_at < start <= attempt.last_byte_at for start in process_starts
                )
                if (
                    is_sticky
                    and attempt.build < NEWEST_BUILD
                    and answered_at + STICKY_KEY_DELAY_SECONDS + STALL_TOLERANCE_SECONDS
                    < attempt.first_byte_at
                    < revoked_at
                ):
                    text = f"build {NEWEST_BUILD} answered its key {attempt.first_byte_at - answered_at:.3f} s ago"
                    self.add_violation("sticky key", text, attempt.request_id)
                if attempt.build == NEWEST_BUILD and attempt.outcome in ANSWERED_OUTCOMES:
                    answered_at_by_key.setdefault(attempt.key, attempt.responded_at)

    # Invalid commands are rejected in time, and processes start and end as they should.

    def _check_invalid_commands(self):
        for command in self.observations.invalid_commands:
            process = self.observations.processes[command.process_number]
            if process.killed:
                continue
            ended = command.ended_at if command.ended_at is not None else command.gave_up_at
            gave_up_early = (
                command.ended_at is None
                and (ended or 0) - command.sent_at < INVALID_COMMAND_LIMIT_SECONDS
            )
            if not gave_up_early and (
                ended is None
                or ended
                > command.sent_at
                + INVALID_COMMAND_LIMIT_SECONDS
                + STALL_TOLERANCE_SECONDS
                + TIME_LIMIT_SLACK_SECONDS
            ):
                self.add_violation(
                    "invalid command",
                    f"{command.description} is not rejected after {INVALID_COMMAND_LIMIT_SECONDS} s",
                )

    def _check_lost_connections(self):
        """Checks that each connection that was established got an answer to its first command."""
        for lost in self.observations.lost_connections:
            if self.observations.processes[lost.process_number].killed:
                continue
            # A client that is held up itself may find its connection closed, but never reset.
            kind = "reset connection" if lost.ending == RESET else "lost connection"
            text = f"process {lost.process_number}: {lost.ending} after {lost.seconds:.4f} s"
            self.add_violation(kind, text)

    def _check_processes(self):
        for process in self.observations.processes:
            label = f"process {process.number}"
            if process.peak_memory_mb > self.plan.memory_mb:
                self.add_violation(
                    "memory",
                    f"{label} took {process.peak_memory_mb:.1f} MB of {self.plan.memory_mb}",
                )
            for line in process.fault_lines[:3]:
                self.add_violation("logged fault", f"{label}: {line[:200]}")
            if process.killed and process.sigterm_at is not None:
                self.add_violation(
                    "shutdown", f"{label} had not ended {KILL_AFTER_SECONDS:.1f} s after SIGTERM"
                )
            elif not process.killed and process.exit_status != 0:
                stopped_at_startup = process.ready_at is None and process.exit_status == -15
                if not stopped_at_startup:
                    self.add_violation(
                        "exit status", f"{label} ended with status {process.exit_status}"
                    )
            ready_at = process.ready_at
            if ready_at is None and process.sigterm_at is None and not process.killed:
                self.add_violation("startup", f"{label} was never ready")
            elif ready_at is not None and ready_at > process.started_at + STARTUP_TIMEOUT_SECONDS:
                self.add_violation(
                    "startup", f"{label} was ready after {ready_at - process.started_at:.1f} s"
                )
