"""What is seen from outside in a play: requests of clients, attempts at endpoints, what was told, how processes ended.

Times are seconds of one monotonic clock. Nothing here is taken from the program's own books.
"""

from dataclasses import dataclass, field


@dataclass
class Request:
    """A request as its client sent it.

    Attributes:
        responses: whole answers that came, with their moments.
        closed_at: when the client's connection ended under it, from the other side.
        left_at: when the client itself closed.
        refused: its connection was refused, or it could not be sent.
        again: it was sent once more after a close that it had crossed.
        pipeline_deadline_at: the end of those before it on its connection.
        previous: the request before it on its connection that was not answered as it was sent.
        read_after: the request before it with whose answer its connection is read on; None where it always is.
    """

    name: str
    instance: int
    lane: str
    key: str
    body: str
    deadline: float
    sent_at: float
    process: int
    repeated_key: str | None = None
    responses: list = field(default_factory=list)
    closed_at: float | None = None
    left_at: float | None = None
    refused: bool = False
    again: bool = False
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
        return max(self.pipeline_deadline_at, self.read_after.responses[0][0] + self.deadline)

    def response_deadline_at(self):
        """When its answer is due. Answers come in the order of the requests: not before those of the ones before it."""
        return max(
            self.deadline_at(), self.previous.response_deadline_at() if self.previous else 0.0
        )


@dataclass
class Attempt:
    """A command that came to an endpoint.

    Attributes:
        begun_at: its first byte.
        whole_at: its last byte.
        outcome: how the endpoint answered; "held" where it never did.
        life: number of the endpoint's process.
        copied_at: when a second copy of the answer had been written.
    """

    pod: str
    instance: int
    build: int
    life: int
    name: str
    lane: str
    key: str
    timeout: float
    begun_at: float
    whole_at: float
    connected_at: float
    outcome: str = "held"
    answered_at: float | None = None
    copied_at: float | None = None


@dataclass
class PodTold:
    """A change of an endpoint's state, as its instance was told."""

    at: float
    instance: int
    pod: str
    state: str
    life: int


@dataclass
class NewsTold:
    """How the newest build stands, as an instance was told."""

    at: float
    instance: int
    status: str
    cap: float


@dataclass
class BadClient:
    """Half a command, or what is none: what came of it.

    Attributes:
        ended_at: when an error or the end came; None if neither did.
        left_at: when the client gave up itself.
    """

    what: str
    instance: int
    since: float
    process: int
    ended_at: float | None = None
    left_at: float | None = None


@dataclass
class Process:
    """A process of the program.

    Attributes:
        stop_at: the first SIGTERM.
        kill_at: the SIGKILL.
        ended_at: when it had ended.
        status: its exit status.
        served: whether it had said that it is ready before it was told to stop.
    """

    number: int
    instance: int
    started_at: float
    ready_at: float | None = None
    stop_at: float | None = None
    kill_at: float | None = None
    killed: bool = False
    ended_at: float | None = None
    status: int | None = None
    faults: list = field(default_factory=list)
    descriptors: int | None = None


class Observations:
    """All of it, in the order in which it was seen."""

    def __init__(self, clock):
        self.clock = clock
        self.requests = {}
        self.attempts = []
        self.pods_told = []
        self.news_told = []
        self.bad_clients = []
        self.processes = []
        self.odd = []
        self.events = []

    def note(self, text):
        """Keeps a line for the order of what happened."""
        self.events.append((self.clock(), text))

    def attempts_of(self, name):
        """The attempts of a request, in their order."""
        return [attempt for attempt in self.attempts if attempt.name == name]

    def chronology(self, name=None, most=60):
        """What happened, in order: all that was noted, with a request's own moments."""
        lines = [(at, text) for at, text in self.events]
        request = self.requests.get(name)
        if request is not None:
            lines.append((request.sent_at, f"client sends {name} ({request.lane})"))
            lines += [
                (at, f"client gets {answer[:40]!r} for {name}") for at, answer in request.responses
            ]
            if request.closed_at is not None:
                lines.append((request.closed_at, f"connection under {name} ends"))
            if request.left_at is not None:
                lines.append((request.left_at, f"client of {name} leaves"))
            for attempt in self.attempts_of(name):
                where = f"{attempt.pod} build {attempt.build} at instance {attempt.instance}"
                lines.append((attempt.whole_at, f"{name} comes to {where}: {attempt.outcome}"))
        start = self.processes[0].started_at if self.processes else 0.0
        return [f"{at - start:8.4f} {text}" for at, text in sorted(lines)][-most:]
