"""Twisted protocols for HTTP: one call with one answer, and an answer that stays open."""

from typing import NamedTuple

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from . import http
from .reached import NOT_CONNECTED, Broken, WholeWriter


class Reply(NamedTuple):
    status: int
    body: bytes


class Call(WholeWriter, Protocol):
    """One call on a connection. done fires with a Reply or a Broken; then the connection ends."""

    def __init__(self, request):
        self.request, self.done = request, Deferred()
        self.parser, self.status, self.body = http.Parser(), 0, []

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.write_whole(self.request)

    def dataReceived(self, data):
        try:
            for part in self.parser.feed(data):
                self._part(part)
        except Exception as error:  # what can't be read ends this connection alone
            self._finish(self.how_far(f"unreadable: {error}"))

    def _part(self, part):
        if isinstance(part, http.Head):
            self.status = part.status
        elif isinstance(part, http.Body):
            self.body.append(bytes(part.content))
        else:
            self._finish(Reply(self.status, b"".join(self.body)))

    def give_up(self, reason, connector):
        if self.transport is None:
            connector.stopConnecting()
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
    """Asks once and hands on what comes until the connection ends; writes nothing more."""

    def __init__(self, request, heard, ended):
        self.request, self.heard, self.ended = request, heard, ended
        self.parser, self.good = http.Parser(), False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.request)

    def dataReceived(self, data):
        try:
            for part in self.parser.feed(data):
                if isinstance(part, http.Head):
                    self.good = part.status == 200
                if not self.good or isinstance(part, http.End):
                    return self.transport.abortConnection()
                self.heard(self, part.content if isinstance(part, http.Body) else b"")
        except Exception as error:  # what can't be read ends this connection alone
            self.ended(self, f"unreadable: {type(error).__name__}: {error}")
            self.transport.abortConnection()

    def connectionLost(self, reason):
        self.ended(self, reason.getErrorMessage())


class Connector(ClientFactory):
    """One attempt to connect; failed(Broken) where it does not come up."""
    noisy = False

    def __init__(self, made, failed):
        self.made, self.failed = made, failed

    def buildProtocol(self, address):
        return self.made

    def clientConnectionFailed(self, connector, reason):
        self.failed(Broken(NOT_CONNECTED, reason.getErrorMessage()))


class Caller:
    """Calls to one address, each on a connection of its own: one that stood idle may be closed under it."""

    MOST = 16                   # at once; the platform holds 32 connections of a sidecar

    def __init__(self, reactor, deadlines, address):
        self.reactor, self.deadlines, self.address, self.out = reactor, deadlines, address, 0
        self.host = f"{address[0]}:{address[1]}"

    def call(self, request, within):
        """The Deferred fires with a Reply or a Broken, within the time."""
        if self.out >= self.MOST:
            return succeed(Broken(NOT_CONNECTED, "too many calls at once"))
        call = Call(request)
        self.out += 1
        connector = self.reactor.connectTCP(*self.address, Connector(call, call.broken), timeout=None)
        due = self.deadlines.clock() + within
        late = self.deadlines.add(due, call.give_up, "no answer in time", connector)

        def finished(end):
            self.out -= 1
            self.deadlines.cancel(late)
            return end
        return call.done.addCallback(finished)


class KeptStream:
    """Keeps one stream standing: asks again, spread by chance, when it ends or falls silent.

    ask() gives the bytes to ask with, fresh() is told of each new stream, heard(content) of what comes."""

    ASK_AGAIN = 2_000, 8_000    # tenths of a millisecond; by chance between them, so that a crowd spreads

    def __init__(self, caller, chance, silence, ask, fresh, heard, log):
        self.caller, self.deadlines, self.chance, self.silence = caller, caller.deadlines, chance, silence
        self.ask, self.fresh, self.hand_on, self.log = ask, fresh, heard, log
        self.stream, self.connector, self.last, self.again = None, None, 0, None

    def start(self):
        self.again, self.last = None, self.deadlines.clock()
        stream = self.stream = Stream(self.ask(), self._heard, self._ended)
        self.fresh()
        connector = Connector(stream, lambda broken: self._ended(stream, broken.reason))
        self.connector = self.caller.reactor.connectTCP(*self.caller.address, connector, timeout=None)
        self._watch(stream)

    def restart(self, reason):
        """Ends the present stream and asks on a new connection."""
        self.log("stream restarted", address=self.caller.host, reason=reason)
        self.stream = None
        self.connector.disconnect()
        self._ask_again()

    def _watch(self, stream):
        if stream is not self.stream:
            return
        due = self.last + self.silence
        if self.deadlines.clock() >= due:
            self.restart("silent")
        else:
            self.deadlines.add(due, self._watch, stream)

    def _ask_again(self):
        if self.again is None:
            least, most = self.ASK_AGAIN
            wait = least + int(self.chance.draw() * (most - least))
            self.again = self.deadlines.add(self.deadlines.clock() + wait, self.start)

    def _heard(self, stream, content):
        if stream is self.stream:
            self.last = self.deadlines.clock()
            if content:
                self.hand_on(content)

    def _ended(self, stream, reason):
        if stream is self.stream:
            self.log("stream ended", address=self.caller.host, reason=reason)
            self.stream = None
            self._ask_again()
