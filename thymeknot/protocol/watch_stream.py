"""Responses that stay open: a stream, and what keeps one standing."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.protocol import Protocol

from ..interface.clock import Ticks
from ..polling.adaptive_interval import (
    MAX_DEDICATED_INTERVAL,
    MAX_INTERVAL,
    AdaptiveInterval,
    CallResult,
)
from . import http
from .http_calls import MAX_REASON_LENGTH, HttpCaller
from .write_progress import BrokenConnection

HTTP_OK: Final = 200


class Stream(Protocol):
    """Asks once and hands on what comes until the connection ends; writes nothing more.

    read(content) tells whether there was a heartbeat in it: a byte alone is none, since half a line
    may never end.
    """

    transport: Any

    def __init__(
        self, request: bytes, read: Callable[[memoryview], bool], owner: "WatchStream"
    ) -> None:
        self.request = request
        self.read = read
        self.owner = owner
        self.caller = owner.caller
        self.asked_at: Ticks = owner.timers.clock()
        self.parser = http.Parser()
        self.good = False
        """Whether the status is 200."""
        self.over = False
        self.connector: Any = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        if not self.owner.has(self):  # given up while it was on its way
            self.transport.abortConnection()
            return
        self.owner.connected(self)
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        try:
            for part in self.parser.feed(data):
                if not self._take(part):
                    self.drop()
                    return
        except Exception as error:  # what can't be read ends this connection alone
            self.owner.ended(
                self,
                f"unreadable: {error}"[:MAX_REASON_LENGTH],
                how=getattr(error, "how", CallResult.MALFORMED),
            )
            self.drop()

    def _take(self, part: http.Part) -> bool:
        """Whether the stream goes on after this part."""
        if not self.owner.has(self):
            return False
        if isinstance(part, http.Head):
            self.good = part.status == HTTP_OK
            if not self.good:
                self.owner.ended(self, f"status {part.status}")
            return self.good
        if isinstance(part, http.End):
            self.owner.ended(self, "the answer ended")
            return False
        if self.read(part.content):
            self.owner.heard(self)
        return True

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.over = True
        self.owner.ended(self, reason.getErrorMessage())

    def not_connected(self, broken: BrokenConnection) -> None:
        """The connection did not come up."""
        self.over = True
        self.owner.ended(self, broken.reason, how=CallResult.LOST)

    def connect_overdue(self) -> None:
        """Gives up a connection that did not come up in time."""
        if self.transport is None:
            self.drop()

    def drop(self) -> None:
        """Ends the connection, whatever it is doing."""
        if self.over:
            return
        if self.transport is None:
            self.connector.stopConnecting()
        else:
            self.transport.abortConnection()


class WatchStream:
    """Keeps one stream standing: asks again, spread by chance, when it ends or falls silent.

    One that connects and says nothing for as long as a first word takes is given up, and the next
    one gets twice as long, up to the time of silence: a slow peer is heard in the end. Where asking
    is free the next one is asked for at once, since none stands beside it that could bring what
    comes when the peer speaks again.

    A silent stream, or one at a former address, is kept until the one that was asked for beside it
    speaks: a link that was cut may come back, and what is told meanwhile may not be told again.

    How long it waits between two requests is the AdaptiveInterval's decision: a service that takes
    few calls from all answers nobody while each asks again within a second.
    """

    MAX_DOUBLINGS = 10
    """Of the time for a first word."""

    def __init__(  # noqa: PLR0917 (callers pass them by position)
        self,
        caller: HttpCaller,
        random_source: Any,
        silence: Ticks,
        ask: Callable[[], bytes],
        make_reader: Callable[[], Callable[[memoryview], bool]],
        log: Callable[..., None],
        first: Ticks | None = None,
        dedicated: bool = False,
    ) -> None:
        """Nothing is asked until `start`.

        Args:
            caller: the address.
            random_source: spreads the requests.
            silence: after so long without a heartbeat the stream is broken.
            ask: gives the bytes to ask with.
            make_reader: gives what reads a stream: content to whether a heartbeat was in it.
            log: takes an event and its fields.
            first: within so long a first word has come; `silence` if None.
            dedicated: whether the peer serves this sidecar alone, at no cost.
        """
        self.caller = caller
        self.timers = caller.timers
        self.silence = silence
        self.first: Ticks = first or silence
        self.dedicated = dedicated
        self.ask = ask
        self.make_reader = make_reader
        self.log = log
        longest = MAX_DEDICATED_INTERVAL if dedicated else MAX_INTERVAL
        self.pace = AdaptiveInterval(random_source.draw, longest)
        self.quiet = 0
        """How many streams in a row said nothing."""
        self.current: Stream | None = None
        """The one that stands."""
        self.asked: Stream | None = None
        """The one that was asked for and has not spoken."""
        self.last: Ticks = 0
        """When the stream spoke last."""
        self.due: int | None = None
        """The timer of a first word."""
        self.again: int | None = None
        """The timer of the next request."""
        self.look: int | None = None
        """The timer of the next look for silence."""

    def start_spread(self, asking: int) -> None:
        """Asks for the first time while so many others may do the same."""
        self.again = self.timers.add(
            self.timers.clock() + self.pace.initial_wait(asking), self._start_if_needed
        )

    def start(self) -> None:
        """Asks for a stream; until it speaks it is not the one that stands."""
        self.again = None
        asked = Stream(self.ask(), self.make_reader(), self)
        self.asked = asked
        asked.connector = self.caller.dial(asked, asked.not_connected, asked.connect_overdue)

    def connected(self, asked: Stream) -> None:
        """A stream's connection is up: its first word is awaited from now on."""
        patient = self.first << min(self.quiet, self.MAX_DOUBLINGS)
        within = min(patient, max(self.first, self.silence))
        self.timers.cancel(self.due)
        self.due = self.timers.add(self.timers.clock() + within, self._first_data_overdue, asked)

    def move(self, caller: HttpCaller) -> None:
        """Asks at another address from now on; refusals at the former one count no more."""
        self.pace = AdaptiveInterval(self.pace.draw, self.pace.max_interval)
        self.caller = caller
        self.quiet = 0
        asked = self.asked
        self.asked = None
        if asked:
            asked.drop()
        if self.again is not None:
            self.timers.cancel(self.again)
        self.start()

    def has(self, stream: Stream) -> bool:
        """Whether this stream counts still."""
        return stream is self.current or stream is self.asked

    def _stands(self) -> bool:
        """Whether the stream is at the present address and speaks: nothing has to be asked for."""
        return (
            self.current is not None
            and self.current.caller is self.caller
            and self.timers.clock() < self.last + self.silence
        )

    def heard(self, stream: Stream) -> None:
        """A heartbeat came on this stream."""
        former = self.current
        self.last = self.timers.clock()
        if self.look is None:  # one look ahead, whatever streams come and go
            self.look = self.timers.add(self.last + self.silence, self._check_silence)
        if stream.caller is self.caller:
            self.quiet = 0
        asked = self.asked
        if stream is asked:
            self.current = stream
            self.asked = None
            if former:
                former.drop()
        elif stream is former and asked and self._stands():
            self.asked = None
            asked.drop()

    def ended(self, stream: Stream, reason: str, how: CallResult = CallResult.REFUSED) -> None:
        """A stream has ended: it is asked for again after a while.

        Args:
            stream: the one that ended.
            reason: for the log.
            how: REFUSED where the peer ended it, MALFORMED where it made no sense, LOST where there
                was no connection or it fell silent.
        """
        if not self.has(stream):
            return
        now = self.timers.clock()
        age = now - stream.asked_at if stream is self.current else 0
        wait = self.pace.record(how, age) if stream.caller is self.caller else self.pace.next_wait()
        self.log(
            "stream ended", address=stream.caller.host, reason=reason, refusals=self.pace.refusals
        )
        if stream is self.current:
            self.current = None
        else:
            self.asked = None
        if not self.asked and self.again is None:
            self.again = self.timers.add(now + wait, self._start_if_needed)

    def _start_if_needed(self) -> None:
        self.again = None
        if not self.asked and not self._stands():
            self.start()

    def _check_silence(self) -> None:
        """Looks for silence when the last word is too long ago; each later word moves that."""
        self.look = None
        ends = self.last + self.silence
        if self.current is None:
            return
        if self.timers.clock() < ends:
            self.look = self.timers.add(ends, self._check_silence)
        elif not self.asked and self.again is None:
            self.log("stream silent", address=self.current.caller.host)
            self.start()

    def _first_data_overdue(self, asked: Stream) -> None:
        if asked is self.asked:
            self.quiet += 1
            self.ended(asked, "says nothing", how=CallResult.LOST)
            asked.drop()
            if self.dedicated:
                self.timers.cancel(self.again)
                self._start_if_needed()
