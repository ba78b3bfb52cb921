"""What is seen from outside in a play: requests of clients, attempts at endpoints, what was told, how processes ended.

Times are seconds of one monotonic clock. Nothing here is taken from the program's own books.
"""

from dataclasses import dataclass, field


@dataclass
class Request:
    """A request as its client sent it.

    Attributes:
        responses: whole answers that came, with their moments.
        connection_closed_at: when the client's connection ended under it, from the other side.
        disconnected_at: when the client itself closed.
        connection_refused: its connection was refused, or it could not be sent.
        resent: it was sent once more after a close that it had crossed.
        pipeline_deadline_at: the end of those before it on its connection.
        previous: the request before it on its connection that was not answered as it was sent.
        read_after: the request before it with whose answer its connection is read on; None where it always is.
    """

    request_id: str
    instance: int
    request_class: str
    key: str
    body: str
    timeout: float
    sent_at: float
    process_number: int
    repeated_key: str | None = None
    responses: list = field(default_factory=list)
    connection_closed_at: float | None = None
    disconnected_at: float | None = None
    connection_refused: bool = False
    resent: bool = False
    pipeline_deadline_at: float = 0.0
    previous: "Request | None" = None
    read_after: "Request | None" = None

    def deadline_at(self):
        """When its time is over. The time spent waiting for the ones before does not count: a connection that has many
        in hand is not read on until the answer of `read_after`, or later."""
        if self.read_after is None:
            return self.pipeline_deadline_at
        if not self.read_after.responses:
            return float("inf")
        return max(self.pipeline_deadline_at, self.read_after.responses[0][0] + self.timeout)

    def response_deadline_at(self):
        """When its answer is due. Answers come in the order of the requests: not before those of the ones before it."""
        return max(
            self.deadline_at(), self.previous.response_deadline_at() if self.previous else 0.0
        )


@dataclass
class Attempt:
    """A command that came to an endpoint.

    Attributes:
        first_byte_at: its first byte.
        last_byte_at: its last byte.
        outcome: how the endpoint answered; "silent" where it never did.
        generation: number of the endpoint's process.
        duplicate_sent_at: when a second copy of the answer had been written.
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


@dataclass
class EndpointStateSent:
    """A change of an endpoint's state, as its instance was told."""

    sent_at: float
    instance: int
    endpoint: str
    state: str
    generation: int


@dataclass
class ReleaseStateSent:
    """How the newest build stands, as an instance was told."""

    sent_at: float
    instance: int
    status: str
    cap: float


@dataclass
class InvalidCommand:
    """Half a command, or what is none: what came of it.

    Attributes:
        ended_at: when an error or the end came; None if neither did.
        gave_up_at: when the client gave up itself.
    """

    description: str
    instance: int
    sent_at: float
    process_number: int
    ended_at: float | None = None
    gave_up_at: float | None = None


@dataclass
class SidecarProcess:
    """A process of the program.

    Attributes:
        sigterm_at: the first SIGTERM.
        sigkill_at: the SIGKILL.
        ended_at: when it had ended.
        exit_status: its exit status.
        served: whether it had said that it is ready before it was told to stop.
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
    fault_lines: list = field(default_factory=list)
    open_descriptors: int | None = None


class Observations:
    """All of it, in the order in which it was seen."""

    def __init__(self, clock):
        self.clock = clock
        self.requests = {}
        self.attempts = []
        self.endpoint_states_sent = []
        self.release_states_sent = []
        self.invalid_commands = []
        self.processes = []
        self.unexpected_responses = []
        self.events = []

    def add_event(self, text):
        """Keeps a line for the order of what happened."""
        self.events.append((self.clock(), text))

    def attempts_for(self, request_id):
        """The attempts of a request, in their order."""
        return [attempt for attempt in self.attempts if attempt.request_id == request_id]

    def timeline(self, request_id=None, max_lines=60):
        """What happened, in order: all that was noted, with a request's own moments."""
        lines = [(at, text) for at, text in self.events]
        request = self.requests.get(request_id)
        if request is not None:
            lines.append((request.sent_at, f"client sends {request_id} ({request.request_class})"))
            lines += [
                (at, f"client gets {response[:40]!r} for {request_id}")
                for at, response in request.responses
            ]
            if request.connection_closed_at is not None:
                lines.append((request.connection_closed_at, f"connection under {request_id} ends"))
            if request.disconnected_at is not None:
                lines.append((request.disconnected_at, f"client of {request_id} leaves"))
            for attempt in self.attempts_for(request_id):
                destination = (
                    f"{attempt.endpoint} build {attempt.build} at instance {attempt.instance}"
                )
                lines.append(
                    (
                        attempt.last_byte_at,
                        f"{request_id} comes to {destination}: {attempt.outcome}",
                    )
                )
        start = self.processes[0].started_at if self.processes else 0.0
        return [f"{at - start:8.4f} {text}" for at, text in sorted(lines)][-max_lines:]
