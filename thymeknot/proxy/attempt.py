"""One attempt to get a response to a request from an endpoint."""

from typing import TYPE_CHECKING

from ..interface.clock import Ticks
from ..interface.enums import Idempotency, Outcome, ReleasePhase
from ..interface.events import Endpoint, ReleaseUpdate
from ..protocol.pod import PodConnection
from ..protocol.pod_response import PodResponse
from ..protocol.write_progress import WRITTEN, BrokenConnection
from .in_flight import InFlightRequest

if TYPE_CHECKING:
    from .proxy import Proxy

BUSY = "BUSY"
"""First word of an error response to a request that had no effect.

Endpoints send it to the sidecar, and the sidecar to its clients."""


class Attempt:
    """An attempt that waits for a connection or was written to one; see ConnectionPools.

    Attributes:
        proxy: Notified when the attempt ends.
        request: The request that the attempt serves.
        number: Index among the request's attempts.
        endpoint: The endpoint as listed when the attempt began; None if it was not listed.
        started_at: When the attempt began, in ticks.
        expires_at: When it times out, in ticks.
        in_flight: Whether it has not ended yet.
        connection: The connection that it was written to; None while it waits for one.
        timer: The timer that calls `timer_due`.
        write_by: When its last byte must be written, in ticks.
        newest_build: The newest build when the attempt began; None if unknown.
        may_have_run: Whether the endpoint may have executed it.
    """

    __slots__ = (
        "connection",
        "endpoint",
        "expires_at",
        "in_flight",
        "may_have_run",
        "newest_build",
        "number",
        "proxy",
        "request",
        "started_at",
        "timer",
        "write_by",
    )

    def __init__(
        self,
        proxy: "Proxy",
        request: InFlightRequest,
        endpoint: Endpoint | None,
        started_at: Ticks,
        expires_at: Ticks,
    ) -> None:
        update = proxy.releases.latest
        self.proxy = proxy
        self.request = request
        self.number = len(request.attempts)
        self.endpoint = endpoint
        self.started_at = started_at
        self.expires_at = expires_at
        self.in_flight = True
        self.connection: PodConnection | None = None
        self.timer: int | None = None
        self.newest_build = update and update.build
        self.may_have_run = True
        self.write_by = self._write_by()

    def _write_by(self) -> Ticks:
        """Returns the deadline for its last byte, given the earlier attempts that may have run.

        Endpoints discard a retry with an idempotency key within the deduplication window, which
        is measured as in the engine; a request that is not idempotent must not be retried at all.
        """
        uncertain = next(
            (earlier for earlier in self.request.attempts if earlier.may_have_run), None
        )
        request_class = self.proxy.settings.request_classes[self.request.command.request_class]
        if uncertain is None or request_class.idempotency == Idempotency.IDEMPOTENT:
            return self.expires_at
        if request_class.idempotency == Idempotency.KEYED:
            return min(self.expires_at, uncertain.started_at + request_class.deduplication_window)
        return 0

    def may_be_written(self, address: str | None) -> bool:
        """Returns whether the decision to send it to this address is still valid.

        The state may have changed while the attempt waited for a connection.
        """
        proxy = self.proxy
        endpoint = self.endpoint
        now = proxy.clock()
        endpoints = proxy.endpoints
        update = proxy.releases.latest
        newest = update.build if update else None
        return (
            endpoint is not None
            and not self.request.closed
            and now < self.write_by
            and endpoints.is_ready(endpoint)
            and endpoints.addresses[endpoint.address] == address
            and (newest == self.newest_build or (newest is not None and endpoint.build < newest))
            and not self._key_is_sticky(update, endpoint)
            and proxy.exposure.allows(
                now, update, endpoint.build, self.request.command.request_class
            )
        )

    def _key_is_sticky(self, update: ReleaseUpdate | None, endpoint: Endpoint) -> bool:
        """Returns whether the newest build has answered the key meanwhile, or may have."""
        command = self.request.command
        return (
            update is not None
            and endpoint.build < update.build
            and update.phase in (ReleasePhase.ON_TRIAL, ReleasePhase.RELEASED)
            and self.proxy.engine.key_must_stay((command.key or command.id).decode())
        )

    def written(self) -> bool:
        """Returns whether its last byte has been written to the network."""
        return self.connection is not None and self.connection.written

    def withdraw(self) -> None:
        """Ends the attempt as not sent."""
        self.give_up(Outcome.NOT_SENT)

    def timer_due(self) -> None:
        """Ends the attempt if it can no longer be written in time, or has timed out."""
        if self.proxy.clock() >= self.expires_at:
            self.give_up()
        elif not self.written():
            self.withdraw()
        else:
            self.timer = self.proxy.timers.add(self.expires_at, self.timer_due)

    def write_to(self, connection: PodConnection) -> None:
        """Writes the request to a free connection."""
        assert self.endpoint is not None  # otherwise it has ended as not sent
        self.connection = connection
        now = self.proxy.clock()
        self.proxy.exposure.count_written(
            now, self.proxy.releases.latest, self.endpoint.build, self.request.command.request_class
        )
        remaining_ms = max(1, (self.expires_at - now) // 10)
        delivered = connection.send_command(
            self.request.command.forwarded_words(remaining_ms), self._response_started
        )
        delivered.addCallback(self._response_ended)

    def not_connected(self, failure: BrokenConnection) -> None:
        """Ends the attempt because no connection could be opened."""
        self.proxy.attempt_ended(self, Outcome.CONNECT_FAILED)

    def _response_started(self) -> None:
        self.proxy.response_discarded(self, "partial or malformed")

    def _response_ended(self, result: PodResponse | BrokenConnection) -> None:
        """Ends the attempt with its response or with the failure of its connection."""
        proxy = self.proxy
        if isinstance(result, BrokenConnection):
            written = result.progress == WRITTEN
            if self.in_flight and written:
                proxy.response_discarded(self, result.reason)
            if self.in_flight:  # checked again: the engine may have cancelled it
                proxy.attempt_ended(self, Outcome.RESET if written else Outcome.CONNECT_FAILED)
        elif result.failure is None:
            if self.in_flight:
                proxy.attempt_ended(self, Outcome.DONE, result)
            else:
                proxy.response_discarded(self, "late")
        elif self.in_flight:
            rejected = result.failure.split(" ")[0] == BUSY
            proxy.attempt_ended(self, Outcome.REJECTED if rejected else Outcome.ERROR)

    def give_up(self, outcome: Outcome | None = None) -> None:
        """Ends the attempt without a response; one that still arrives is not read.

        Args:
            outcome: The outcome; None if the attempt timed out.
        """
        written = self.written()
        self.in_flight = False  # otherwise closing the connection would end it a second time
        self.proxy.pools.give_up(self, self.connection)
        if written:
            self.proxy.response_discarded(self, "given up")
        self.proxy.attempt_ended(
            self, outcome or (Outcome.TIMED_OUT if written else Outcome.CONNECT_FAILED)
        )
        self.may_have_run = written
