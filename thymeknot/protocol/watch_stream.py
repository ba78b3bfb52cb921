"""Long-lived response streams, and their supervision: reconnecting and detecting silence."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.protocol import Protocol

from ..interface.clock import Ticks
from ..polling.adaptive_interval import (
    SHARED_SERVICE,
    AdaptiveInterval,
    CallResult,
    IntervalLimits,
)
from . import http
from .http_calls import MAX_REASON_LENGTH, HttpCaller
from .write_progress import BrokenConnection

HTTP_OK: Final = 200


class Stream(Protocol):
    """One stream: sends a request and passes on the response body until the connection ends.

    Attributes:
        request: The bytes of the request.
        read: Handles a slice of the body; returns whether a heartbeat was complete in it. Any byte
            is not enough, since a line may never be completed.
        owner: The supervisor of the stream.
        caller: The address.
        requested_at: When the connection attempt began.
        parser: Parses the response.
        status_ok: Whether the status is 200.
        closed: Whether the connection is lost, or was never established.
        connector: Twisted's connector, set by the owner once it exists.
    """

    transport: Any

    def __init__(
        self, request: bytes, read: Callable[[memoryview], bool], owner: "WatchStream"
    ) -> None:
        self.request = request
        self.read = read
        self.owner = owner
        self.caller = owner.caller
        self.requested_at: Ticks = owner.timers.clock()
        self.parser = http.Parser()
        self.status_ok = False
        self.closed = False
        self.connector: Any = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        if not self.owner.tracks(self):  # given up while connecting
            self.transport.abortConnection()
            return
        self.owner.connected(self)
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        try:
            for part in http.joined_bodies(self.parser.feed(data)):
                if not self._handle_part(part):
                    self.drop()
                    return
        except Exception as error:  # unreadable input must only end this connection
            self.owner.ended(
                self,
                f"unreadable: {error}"[:MAX_REASON_LENGTH],
                result=getattr(error, "call_result", CallResult.MALFORMED),
            )
            self.drop()

    def _handle_part(self, part: http.Part) -> bool:
        """Handles a part of the response; returns whether the stream continues."""
        if not self.owner.tracks(self):
            return False
        if isinstance(part, http.Head):
            self.status_ok = part.status == HTTP_OK
            if not self.status_ok:
                self.owner.ended(self, f"status {part.status}")
            return self.status_ok
        if isinstance(part, http.End):
            self.owner.ended(self, "the response ended")
            return False
        if self.read(part.content):
            self.owner.heartbeat_received(self)
        return True

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.closed = True
        self.owner.ended(self, reason.getErrorMessage())

    def not_connected(self, broken: BrokenConnection) -> None:
        """Called when the connection could not be established."""
        self.closed = True
        self.owner.ended(self, broken.reason, result=CallResult.LOST)

    def connect_overdue(self) -> None:
        """Stops connecting if the connection was not established in time."""
        if self.transport is None:
            self.drop()

    def drop(self) -> None:
        """Aborts the connection or the connection attempt."""
        if self.closed:
            return
        if self.transport is None:
            self.connector.stopConnecting()
        else:
            self.transport.abortConnection()


class WatchStream:
    """Keeps one stream open: requests it again, with jitter, when it ends or falls silent.

    A stream that connects but sends no data within the first-data timeout is given up. The timeout
    doubles with each such stream in a row, up to the silence timeout, so that a slow peer gets
    through in the end. If the peer is dedicated to this sidecar, the next stream is requested at
    once, since no other connection is open that would deliver data when the peer responds again.

    A silent stream, or one to a former address, is kept until its replacement has sent data: a
    broken link may recover, and what the old stream delivers meanwhile may not be repeated.

    The AdaptiveInterval chooses the time between two requests: a shared service with a low rate
    limit would serve nobody if each sidecar retried within a second.

    Attributes:
        caller: The current address.
        timers: The timer queue.
        silence_timeout: A stream without a heartbeat for this long counts as broken.
        first_data_timeout: The initial timeout of a stream's first data.
        dedicated: Whether the peer serves this sidecar alone, so that requests cost nothing.
        make_request: Returns the bytes of the request.
        make_reader: Returns the function that reads a stream's body.
        log: Takes a log event and its fields.
        interval: Chooses the time between two requests.
        silent_attempts: How many streams in a row sent no data.
        current: The stream in use.
        pending: The requested stream that has not sent data yet.
        last_heartbeat: When the current stream sent its last heartbeat.
        first_data_timer: The timer of the pending stream's first data.
        retry_timer: The timer of the next request.
        silence_timer: The timer of the next check for silence.
    """

    MAX_DOUBLINGS = 10
    """Maximum number of times that the first-data timeout is doubled."""

    def __init__(  # noqa: PLR0917 (callers pass them by position)
        self,
        caller: HttpCaller,
        random_source: Any,
        silence_timeout: Ticks,
        make_request: Callable[[], bytes],
        make_reader: Callable[[], Callable[[memoryview], bool]],
        log: Callable[..., None],
        first_data_timeout: Ticks | None = None,
        dedicated: bool = False,
        limits: IntervalLimits = SHARED_SERVICE,
    ) -> None:
        """Sends no request before `start` or `start_spread`.

        Args:
            caller: The address.
            random_source: The source of the jitter.
            silence_timeout: A stream without a heartbeat for this long counts as broken.
            make_request: Returns the bytes of the request.
            make_reader: Returns a function that reads a slice of a stream's body, and returns
                whether a heartbeat was complete in it.
            log: Takes a log event and its fields.
            first_data_timeout: The initial timeout of a stream's first data; `silence_timeout` if
                None.
            dedicated: Whether the peer serves this sidecar alone, so that requests cost nothing.
            limits: The limits of the time between two requests.
        """
        self.caller = caller
        self.timers = caller.timers
        self.silence_timeout = silence_timeout
        self.first_data_timeout: Ticks = first_data_timeout or silence_timeout
        self.dedicated = dedicated
        self.make_request = make_request
        self.make_reader = make_reader
        self.log = log
        self.interval = AdaptiveInterval(random_source.draw, limits)
        self.silent_attempts = 0
        self.current: Stream | None = None
        self.pending: Stream | None = None
        self.last_heartbeat: Ticks = 0
        self.first_data_timer: int | None = None
        self.retry_timer: int | None = None
        self.silence_timer: int | None = None

    def start_spread(self, instances: int) -> None:
        """Schedules the first request, with jitter for so many instances that start at once."""
        self.retry_timer = self.timers.add(
            self.timers.clock() + self.interval.initial_wait(instances), self._start_if_needed
        )

    def start(self) -> None:
        """Requests a stream, which becomes the current one once it has sent data."""
        self.retry_timer = None
        stream = Stream(self.make_request(), self.make_reader(), self)
        self.pending = stream
        stream.connector = self.caller.dial(stream, stream.not_connected, stream.connect_overdue)

    def connected(self, stream: Stream) -> None:
        """Starts the first-data timeout of a stream whose connection is established."""
        doubled = self.first_data_timeout << min(self.silent_attempts, self.MAX_DOUBLINGS)
        timeout = min(doubled, max(self.first_data_timeout, self.silence_timeout))
        self.timers.cancel(self.first_data_timer)
        self.first_data_timer = self.timers.add(
            self.timers.clock() + timeout, self._first_data_overdue, stream
        )

    def move(self, caller: HttpCaller) -> None:
        """Switches to another address, and forgets refusals of the former one."""
        self.interval = AdaptiveInterval(self.interval.draw, self.interval.limits)
        self.caller = caller
        self.silent_attempts = 0
        pending = self.pending
        self.pending = None
        if pending:
            pending.drop()
        if self.retry_timer is not None:
            self.timers.cancel(self.retry_timer)
        self.start()

    def tracks(self, stream: Stream) -> bool:
        """Returns whether this stream is the current or the pending one."""
        return stream is self.current or stream is self.pending

    def _is_healthy(self) -> bool:
        """Returns whether the current stream is at the current address and not silent."""
        return (
            self.current is not None
            and self.current.caller is self.caller
            and self.timers.clock() < self.last_heartbeat + self.silence_timeout
        )

    def heartbeat_received(self, stream: Stream) -> None:
        """Handles a heartbeat, which makes a pending stream the current one."""
        former = self.current
        self.last_heartbeat = self.timers.clock()
        if self.silence_timer is None:  # one timer, however many streams follow each other
            self.silence_timer = self.timers.add(
                self.last_heartbeat + self.silence_timeout, self._check_silence
            )
        if stream.caller is self.caller:
            self.silent_attempts = 0
        pending = self.pending
        if stream is pending:
            self.current = stream
            self.pending = None
            if former:
                former.drop()
        elif stream is former and pending and self._is_healthy():
            self.pending = None
            pending.drop()

    def ended(self, stream: Stream, reason: str, result: CallResult = CallResult.REFUSED) -> None:
        """Schedules the next request after a stream has ended.

        Args:
            stream: The stream that ended.
            reason: The reason for the log.
            result: REFUSED if the peer ended it, MALFORMED if its data was invalid, LOST if there
                was no connection or it fell silent.
        """
        if not self.tracks(stream):
            return
        now = self.timers.clock()
        since_request = now - stream.requested_at
        age, lasted = (since_request, 0) if stream is self.current else (0, since_request)
        wait = (
            self.interval.record(result, age, lasted)
            if stream.caller is self.caller
            else self.interval.next_wait()
        )
        self.log(
            "stream ended",
            address=stream.caller.host,
            reason=reason,
            refusals=self.interval.refusals,
        )
        if stream is self.current:
            self.current = None
        else:
            self.pending = None
        if not self.pending and self.retry_timer is None:
            self.retry_timer = self.timers.add(now + wait, self._start_if_needed)

    def _start_if_needed(self) -> None:
        self.retry_timer = None
        if not self.pending and not self._is_healthy():
            self.start()

    def _check_silence(self) -> None:
        """Requests another stream if the current one is silent; otherwise checks again later."""
        self.silence_timer = None
        silent_at = self.last_heartbeat + self.silence_timeout
        if self.current is None:
            return
        if self.timers.clock() < silent_at:
            self.silence_timer = self.timers.add(silent_at, self._check_silence)
        elif not self.pending and self.retry_timer is None:
            self.log("stream silent", address=self.current.caller.host)
            self.start()

    def _first_data_overdue(self, stream: Stream) -> None:
        if stream is self.pending:
            self.silent_attempts += 1
            self.ended(stream, "no data in time", result=CallResult.LOST)
            stream.drop()
            if self.dedicated:
                self.timers.cancel(self.retry_timer)
                self._start_if_needed()
