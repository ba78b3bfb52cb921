"""Records what clients, endpoints, discovery and the platform see of the sidecars in a run.

Times are seconds of one monotonic clock. Nothing is taken from the sidecars' own counters.
"""

from dataclasses import dataclass, field


@dataclass
class Request:
    """A request that a client sent.

    Attributes:
        timeout: Seconds that the client waits for the response.
        sent_at: When it was sent; 0 while it is not.
        process_number: Number of the sidecar process that it was sent to.
        responses: (time, bytes) of each complete response.
        connection_closed_at: When the sidecar closed the connection before responding.
        disconnected_at: When the client closed the connection before the response.
        connection_refused: Whether it could not be resent as no connection was established.
        resent: Whether it was sent a second time because the sidecar closed the connection.
        pipeline_deadline_at: The latest deadline among it and the unanswered requests before it
            on the connection.
        previous: The last unanswered request before it on the connection when it was sent.
        read_after: The earlier request whose response makes the sidecar resume reading the
            connection; None if it is not paused.
    """

    request_id: str
    instance: int
    request_class: str
    key: str
    body: str
    timeout: float
    sent_at: float
    process_number: int
    responses: list = field(default_factory=list)
    connection_closed_at: float | None = None
    disconnected_at: float | None = None
    connection_refused: bool = False
    resent: bool = False
    pipeline_deadline_at: float = 0.0
    previous: "Request | None" = None
    read_after: "Request | None" = None

    def deadline_at(self):
        """Returns when the request's time is over; infinity while it cannot have been read.

        The wait for earlier requests does not count: the sidecar does not read a connection with
        many open requests until `read_after` is answered, or later.
        """
        if self.read_after is None:
            return self.pipeline_deadline_at
        if not self.read_after.responses:
            return float("inf")
        return max(self.pipeline_deadline_at, self.read_after.responses[0][0] + self.timeout)

    def response_deadline_at(self):
        """Returns when the response is due.

        Responses are sent in the order of the requests, so it is not due before the earlier ones.
        """
        return max(
            self.deadline_at(), self.previous.response_deadline_at() if self.previous else 0.0
        )


@dataclass
class Attempt:
    """A request that an endpoint received.

    Attributes:
        generation: How often the endpoint had been restarted when the connection was made.
        timeout: Seconds that the sidecar says are left for the request.
        first_byte_at: When its first byte arrived.
        last_byte_at: When its last byte arrived.
        outcome: How the endpoint responded; "silent" if it did not.
        duplicate_sent_at: When a duplicate of the response was written.
        value: The value of its response; None if it sent none, or declared a false length.
    """

    endpoint: str
    instance: int
    build: int
    generation: int
    request_id: str
    request_class: str
    key: str
    timeout: float
    first_byte_at: float
    last_byte_at: float
    connected_at: float
    outcome: str = "silent"
    responded_at: float | None = None
    duplicate_sent_at: float | None = None
    value: bytes | None = None


@dataclass
class EndpointStateSent:
    """A change of an endpoint's state that discovery sent to an instance."""

    sent_at: float
    instance: int
    endpoint: str
    state: str
    generation: int


@dataclass
class ReleaseStateSent:
    """The release state of the newest build that the platform sent to an instance."""

    sent_at: float
    instance: int
    status: str
    cap: float


@dataclass
class InvalidCommand:
    """An incomplete or malformed command that a client sent.

    Attributes:
        ended_at: When the sidecar sent an error or closed the connection; None if it did neither.
        gave_up_at: When the client closed the connection.
    """

    description: str
    instance: int
    sent_at: float
    process_number: int
    ended_at: float | None = None
    gave_up_at: float | None = None


@dataclass
class LostConnection:
    """A connection that was established and ended before its first command was answered.

    Attributes:
        ending: How it ended.
        seconds: Time from its establishment to its end.
    """

    process_number: int
    ending: str
    seconds: float


@dataclass
class SidecarProcess:
    """A sidecar process.

    Attributes:
        ready_at: When it logged that it is ready; None if it did not.
        sigterm_at: When the first SIGTERM was sent.
        sigkill_at: When SIGKILL was sent.
        peak_memory_mb: The most anonymous memory that it was seen with.
        fault_lines: Lines of its log that report an unexpected exception.
    """

    number: int
    instance: int
    started_at: float
    ready_at: float | None = None
    sigterm_at: float | None = None
    sigkill_at: float | None = None
    killed: bool = False
    ended_at: float | None = None
    exit_status: int | None = None
    peak_memory_mb: float = 0.0
    fault_lines: list = field(default_factory=list)


class Observations:
    """Everything observed in a run, each list in the order of time."""

    def __init__(self, clock):
        self.clock = clock
        self.requests = {}
        self.attempts = []
        self.endpoint_states_sent = []
        self.release_states_sent = []
        self.invalid_commands = []
        self.lost_connections = []
        self.processes = []
        self.unexpected_responses = []
        self.events = []

    def add_event(self, text):
        """Adds a line to the timeline."""
        self.events.append((self.clock(), text))

    def attempts_for(self, request_id):
        """Returns the attempts of a request, in the order in which they arrived."""
        return [attempt for attempt in self.attempts if attempt.request_id == request_id]

    def timeline(self, request_id=None, max_lines=60):
        """Returns the last `max_lines` events in order, including those of the given request."""
        lines = [(at, text) for at, text in self.events]
        request = self.requests.get(request_id)
        if request is not None:
            lines.append((request.sent_at, f"client sends {request_id} ({request.request_class})"))
            lines += [
                (at, f"client gets {response[:40]!r} for {request_id}")
                for at, response in request.responses
            ]
            if request.connection_closed_at is not None:
                lines.append((request.connection_closed_at, f"connection of {request_id} ends"))
            if request.disconnected_at is not None:
                lines.append((request.disconnected_at, f"client of {request_id} disconnects"))
            for attempt in self.attempts_for(request_id):
                destination = (
                    f"{attempt.endpoint} build {attempt.build} at instance {attempt.instance}"
                )
                lines.append(
                    (
                        attempt.last_byte_at,
                        f"{request_id} arrives at {destination}: {attempt.outcome}",
                    )
                )
        start = self.processes[0].started_at if self.processes else 0.0
        return [f"{at - start:8.4f} {text}" for at, text in sorted(lines)][-max_lines:]
