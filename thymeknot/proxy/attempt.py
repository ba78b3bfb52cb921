"""One attempt to have a request answered by an endpoint, and its one end."""

from typing import TYPE_CHECKING

from ..interface.clock import Ticks
from ..interface.enums import Idempotency, Outcome, ReleasePhase
from ..interface.events import Endpoint, ReleaseUpdate
from ..protocol.pod import PodConnection, PodResponse
from ..protocol.write_progress import WRITTEN, BrokenConnection
from .in_flight import InFlightRequest

if TYPE_CHECKING:
    from .proxy import Proxy

BUSY = "BUSY"
"""The first word of an error that promises no effect, on both sides of the proxy."""


class Attempt:
    """An attempt that waits for a connection or is out on one; the connection pools' delivery.

    Attributes:
        proxy: Who is told of its end.
        held: The request that it is for.
        number: Its number among the request's attempts.
        pod: The endpoint as it was listed when the attempt began; None where it was not.
        at: When it began.
        ends: When it times out.
        out: Whether it has not ended.
        connection: The connection that it was written to; None while it waits for one.
        deadline: The timer of `due`.
        write_by: Until when its last byte may be written.
        newest: The newest build when it began.
        may_have_run: Whether the endpoint may have executed it.
    """

    __slots__ = (
        "at",
        "connection",
        "deadline",
        "ends",
        "held",
        "may_have_run",
        "newest",
        "number",
        "out",
        "pod",
        "proxy",
        "write_by",
    )

    def __init__(
        self, proxy: "Proxy", held: InFlightRequest, pod: Endpoint | None, at: Ticks, ends: Ticks
    ) -> None:
        update = proxy.releases.latest
        self.proxy = proxy
        self.held = held
        self.number = len(held.attempts)
        self.pod = pod
        self.at = at
        self.ends = ends
        self.out = True
        self.connection: PodConnection | None = None
        self.deadline: int | None = None
        self.newest = update and update.build
        self.may_have_run = True
        self.write_by = self._write_by()

    def _write_by(self) -> Ticks:
        """Returns until when its last byte may be written, by what earlier attempts may have done.

        Endpoints drop a repeat with an idempotency key for the deduplication window, counted as
        the decisions count it; a request that is not idempotent may not be repeated at all.
        """
        suspect = next((earlier for earlier in self.held.attempts if earlier.may_have_run), None)
        request_class = self.proxy.settings.request_classes[self.held.command.request_class]
        if suspect is None or request_class.idempotency == Idempotency.IDEMPOTENT:
            return self.ends
        if request_class.idempotency == Idempotency.KEYED:
            return min(self.ends, suspect.at + request_class.deduplication_window)
        return 0

    def may_be_written(self, address: str | None) -> bool:
        """Returns whether the decision still holds at this address.

        The attempt may have waited for a connection since it was decided.
        """
        proxy = self.proxy
        pod = self.pod
        now = proxy.clock()
        endpoints = proxy.endpoints
        update = proxy.releases.latest
        newest = update.build if update else None
        return (
            pod is not None
            and not self.held.over
            and now < self.write_by
            and endpoints.is_ready(pod)
            and endpoints.addresses[pod.address] == address
            and (newest == self.newest or pod.build < newest)
            and not self._key_stays(update)
            and proxy.exposure.allows(now, update, pod.build, self.held.command.request_class)
        )

    def _key_stays(self, update: ReleaseUpdate | None) -> bool:
        """Returns whether its key stays with the newest build, which has answered it since."""
        command = self.held.command
        return (
            update is not None
            and self.pod.build < update.build
            and update.phase in (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED)
            and (command.key or command.id).decode() in self.proxy.engine.pins
        )

    def written(self) -> bool:
        """Returns whether its last byte has gone to the network."""
        return self.connection is not None and self.connection.written

    def withdraw(self) -> None:
        """Ends it as not sent."""
        self.give_up(Outcome.NOT_SENT)

    def due(self) -> None:
        """Ends it when it may not be written any more, and when its time is over."""
        if self.proxy.clock() >= self.ends:
            self.give_up()
        elif not self.written():
            self.withdraw()
        else:
            self.deadline = self.proxy.timers.add(self.ends, self.due)

    def write_to(self, connection: PodConnection) -> None:
        """Writes it to a connection that is free."""
        self.connection = connection
        now = self.proxy.clock()
        self.proxy.exposure.wrote(
            now, self.proxy.releases.latest, self.pod.build, self.held.command.request_class
        )
        left = max(1, (self.ends - now) // 10)
        delivered = connection.deliver(self.held.command.words(left), self._begun)
        delivered.addCallback(self._came_back)

    def not_connected(self, broken: BrokenConnection) -> None:
        """Ends it because no connection has come up for it."""
        self.proxy.ended(self, Outcome.CONNECT_FAILED)

    def _begun(self) -> None:
        self.proxy.response_discarded(self, "in part or unreadable")

    def _came_back(self, end: PodResponse | BrokenConnection) -> None:
        """Ends it by the response, or by how its connection broke."""
        good = isinstance(end, PodResponse) and end.failure is None
        if (good and not self.out) or (
            self.out and isinstance(end, BrokenConnection) and end.reached == WRITTEN
        ):
            self.proxy.response_discarded(self, "late" if good else end.reason)
        if not self.out:
            return
        if isinstance(end, BrokenConnection):
            self.proxy.ended(
                self, Outcome.RESET if end.reached == WRITTEN else Outcome.CONNECT_FAILED
            )
        elif good:
            self.proxy.ended(self, Outcome.DONE, end)
        else:
            self.proxy.ended(
                self, Outcome.REJECTED if end.failure.split(" ")[0] == BUSY else Outcome.ERROR
            )

    def give_up(self, outcome: Outcome | None = None) -> None:
        """Ends it without a response; one to what was written may yet come, and is not read.

        Args:
            outcome: How it ends; None means that its time is over.
        """
        written = self.written()
        self.out = False  # its one end is this: what its connection says of its own is none
        self.proxy.pools.give_up(self, self.connection)
        if written:
            self.proxy.response_discarded(self, "given up")
        self.proxy.ended(
            self, outcome or (Outcome.TIMED_OUT if written else Outcome.CONNECT_FAILED)
        )
        self.may_have_run = written
