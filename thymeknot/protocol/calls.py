"""Twisted protocols for HTTP: one call with one answer, and an answer that stays open."""

from typing import NamedTuple

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from ..polling.adaptive_interval import (
    MAX_DEDICATED_INTERVAL,
    MAX_INTERVAL,
    AdaptiveInterval,
    CallResult,
)
from . import http
from .write_progress import NOT_CONNECTED, BrokenConnection, WholeWriter

MOST_REASON = 200  # characters: what could not be read may be long


class Reply(NamedTuple):
    status: int
    body: bytes


class Call(WholeWriter, Protocol):
    """One call on a connection. done fires with a Reply or a Broken; then the connection ends."""

    def __init__(self, request):
        self.request, self.done, self.connector = request, Deferred(), None
        self.parser, self.status, self.body = http.Parser(), 0, bytearray()

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.write_whole(self.request)

    def dataReceived(self, data):
        try:
            for part in self.parser.feed(data):
                if self.done is None:
                    return
                self._part(part)
        except Exception as error:  # what can't be read ends this connection alone
            self._finish(self.how_far(f"unreadable: {error}"[:MOST_REASON]))

    def _part(self, part):
        if isinstance(part, http.Head):
            self.status = part.status
        elif isinstance(part, http.Body):
            self.body += part.content
            if len(self.body) > http.MOST_BODY:
                raise http.MalformedHttpError("an answer that is too large")
        else:
            self._finish(Reply(self.status, bytes(self.body)))

    def dial_late(self):
        if self.transport is None and self.done is not None:
            self.connector.stopConnecting()

    def give_up(self, reason):
        if self.transport is None:
            self.connector.stopConnecting()
        else:
            self._finish(self.how_far(reason))

    def _finish(self, end):
        self.transport.abortConnection()
        self.broken(end)

    def broken(self, end):
        done, self.done = self.done, None
        if done is not None:
            done.callback(end)

    def connectionLost(self, reason):
        if reason.check(ConnectionDone):
            for part in self.parser.closed():
                self._part(part)
        self.broken(self.how_far(reason.getErrorMessage()))


class Stream(Protocol):
    """Asks once and hands on what comes until the connection ends; writes nothing more. read(content) tells whether a
    sign of life was in it: a byte is none, since half a line may never end."""

    def __init__(self, request, read, owner):
        self.request, self.read, self.owner = request, read, owner
        self.parser, self.good, self.over, self.connector = http.Parser(), False, False, None
        self.caller, self.asked_at = owner.caller, owner.timers.clock()

    def connectionMade(self):
        if not self.owner.has(self):  # given up while it was on its way
            return self.transport.abortConnection()
        self.owner.connected(self)
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.request)

    def dataReceived(self, data):
        try:
            for part in self.parser.feed(data):
                if not self.owner.has(self):
                    return self.drop()
                if isinstance(part, http.Head):
                    self.good = part.status == 200
                if not self.good or isinstance(part, http.End):
                    self.owner.ended(
                        self, "the answer ended" if self.good else f"status {part.status}"
                    )
                    return self.drop()
                if isinstance(part, http.Body) and self.read(part.content):
                    self.owner.heard(self)
        except Exception as error:  # what can't be read ends this connection alone
            self.owner.ended(
                self,
                f"unreadable: {error}"[:MOST_REASON],
                how=getattr(error, "how", CallResult.MALFORMED),
            )
            self.drop()

    def connectionLost(self, reason):
        self.over = True
        self.owner.ended(self, reason.getErrorMessage())

    def not_connected(self, broken):
        self.over = True
        self.owner.ended(self, broken.reason, how=CallResult.LOST)

    def dial_late(self):
        if self.transport is None:
            self.drop()

    def drop(self):
        if self.over:
            return
        if self.transport is None:
            self.connector.stopConnecting()
        else:
            self.transport.abortConnection()


class Connector(ClientFactory):
    """One attempt to connect; failed(Broken) where it does not come up."""

    noisy = False

    def __init__(self, made, failed):
        self.made, self.failed = made, failed

    def buildProtocol(self, address):
        return self.made

    def clientConnectionFailed(self, connector, reason):
        self.failed(BrokenConnection(NOT_CONNECTED, reason.getErrorMessage()))


class HttpCaller:
    """Calls to one address, each on a connection of its own: one that stood idle may be closed under it."""

    MOST = 16  # at once; the platform holds 32 connections of a sidecar

    def __init__(self, reactor, timers, address, connect_within):
        self.reactor, self.timers, self.address, self.out = reactor, timers, address, 0
        self.connect_within, self.host = connect_within, f"{address[0]}:{address[1]}"

    def dial(self, protocol, failed, late):
        """Connects within the time that connections have; late() is to end what has not come up by then."""
        connector = self.reactor.connectTCP(
            *self.address, Connector(protocol, failed), timeout=None
        )
        self.timers.add(self.timers.clock() + self.connect_within, late)
        return connector

    def call(self, request, within):
        """The Deferred fires with a Reply or a Broken, within the time."""
        if self.out >= self.MOST:
            return succeed(BrokenConnection(NOT_CONNECTED, "too many calls at once"))
        call = Call(request)
        self.out += 1
        call.connector = self.dial(call, call.broken, call.dial_late)
        late = self.timers.add(self.timers.clock() + within, call.give_up, "no answer in time")

        def finished(end):
            self.out -= 1
            self.timers.cancel(late)
            return end

        return call.done.addCallback(finished)


class WatchStream:
    """Keeps one stream standing: asks again, spread by chance, when it ends or falls silent.

    One that connects and says nothing for as long as a first word takes (first, or silence) is given up, and the next
    one gets twice as long, up to silence: who is slow is heard in the end. Where asking is free the next one is asked
    for at once: none stands beside it that could bring what comes when the peer speaks again.

    A silent one, or one at a former address, is kept until the one that was asked for beside it speaks: a link that
    was cut may come back, and what is told meanwhile may not be told again. ask() gives the bytes to ask with,
    reader() what reads a stream. How long it waits between two askings is Pace's: a service that takes so many calls
    from all answers nobody while each asks again in a second."""

    def __init__(self, caller, chance, silence, ask, reader, log, first=None, free=False):
        self.first, self.quiet, self.due = (
            first or silence,
            0,
            None,
        )  # quiet: how many in a row said nothing
        self.caller, self.timers, self.silence, self.free = (
            caller,
            caller.timers,
            silence,
            free,
        )
        self.pace = AdaptiveInterval(chance.draw, MAX_DEDICATED_INTERVAL if free else MAX_INTERVAL)
        self.ask, self.reader, self.log = ask, reader, log
        self.stream, self.asked, self.last, self.again, self.look = None, None, 0, None, None

    def start_among(self, asking):
        """Asks for the first time when so many others may do the same."""
        self.again = self.timers.add(self.timers.clock() + self.pace.first(asking), self._ask)

    def start(self):
        """Asks for a stream; until it speaks it is not the one that stands."""
        self.again = None
        asked = self.asked = Stream(self.ask(), self.reader(), self)
        asked.connector = self.caller.dial(asked, asked.not_connected, asked.dial_late)

    def connected(self, asked):
        within = min(self.first << min(self.quiet, 10), max(self.first, self.silence))
        self.timers.cancel(self.due)
        self.due = self.timers.add(self.timers.clock() + within, self._still_asked, asked)

    def move(self, caller):
        """Asks at another address, now and from now on; what was refused at the former one counts no more."""
        self.pace = AdaptiveInterval(self.pace.draw, self.pace.longest)
        self.caller, asked, self.asked, self.quiet = caller, self.asked, None, 0
        if asked:
            asked.drop()
        if self.again is not None:
            self.timers.cancel(self.again)
        self.start()

    def has(self, stream):
        return stream is self.stream or stream is self.asked

    def _stands(self):
        """Whether nothing has to be asked for: the stream is at the present address and speaks."""
        return (
            self.stream is not None
            and self.stream.caller is self.caller
            and self.timers.clock() < self.last + self.silence
        )

    def heard(self, stream):
        former, self.last = self.stream, self.timers.clock()
        if self.look is None:  # one look ahead, whatever streams come and go
            self.look = self.timers.add(self.last + self.silence, self._look)
        self.quiet = 0 if stream.caller is self.caller else self.quiet
        if stream is self.asked:
            self.stream, self.asked = stream, None
            if former:
                former.drop()
        elif stream is former and self.asked and self._stands():
            asked, self.asked = self.asked, None
            asked.drop()

    def ended(self, stream, reason, how=CallResult.REFUSED):
        """how: REFUSED where the peer ended it, MALFORMED where it made no sense; no connection and silence are LOST."""
        if not self.has(stream):
            return
        now = self.timers.clock()
        age = now - stream.asked_at if stream is self.stream else 0
        wait = self.pace.ended(how, age) if stream.caller is self.caller else self.pace.wait()
        self.log(
            "stream ended", address=stream.caller.host, reason=reason, refusals=self.pace.refusals
        )
        if stream is self.stream:
            self.stream = None
        else:
            self.asked = None
        if not self.asked and self.again is None:
            self.again = self.timers.add(now + wait, self._ask)

    def _ask(self):
        self.again = None
        if not self.asked and not self._stands():
            self.start()

    def _look(self):
        """At the moment from which the last word is too long ago; each later word moves it."""
        self.look, ends = None, self.last + self.silence
        if self.stream is None:
            return
        if self.timers.clock() < ends:
            self.look = self.timers.add(ends, self._look)
        elif not self.asked and self.again is None:
            self.log("stream silent", address=self.stream.caller.host)
            self.start()

    def _still_asked(self, asked):
        if asked is self.asked:
            self.quiet += 1
            self.ended(asked, "says nothing", how=CallResult.LOST)
            asked.drop()
            if self.free:
                self.timers.cancel(self.again)
                self._ask()
