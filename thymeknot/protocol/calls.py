"""Twisted protocols for HTTP: one call with one answer, and an answer that stays open."""

from typing import NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol

from . import http
from .pod import NOT_ALL_WRITTEN, NOT_CONNECTED, WRITTEN, Broken


class Reply(NamedTuple):
    status: int
    body: bytes


class Call(Protocol):
    """A connection for calls, one at a time, that can be used again."""

    def __init__(self, lost=None):
        self.lost, self.waiting, self.written, self.parser = lost, None, True, http.Parser()
        self.usable, self.used_at = True, None

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)

    def call(self, request):
        """The Deferred fires with a Reply or a Broken."""
        self.waiting, self.written, self._request, self._body = Deferred(), False, request, []
        self.transport.registerProducer(self, False)
        return self.waiting

    def resumeProducing(self):
        if self._request:
            request, self._request = self._request, None
            self.transport.write(request)
        else:
            self.written = True
            self.transport.unregisterProducer()

    def stopProducing(self):
        """The transport says so when it is lost; connectionLost follows."""

    def dataReceived(self, data):
        try:
            for part in self.parser.feed(data):
                if isinstance(part, http.Head):
                    self._status = part.status
                elif isinstance(part, http.Body):
                    self._body.append(bytes(part.content))
                else:
                    self._answered()
        except Exception as error:  # what can't be read ends this connection alone
            self.give_up(f"unreadable: {error}")

    def _answered(self):
        waiting, self.waiting = self.waiting, None
        if waiting is None:
            return self.give_up("an answer that nothing asked for")
        waiting.callback(Reply(self._status, b"".join(self._body)))

    def give_up(self, reason):
        self.usable = False
        if self.transport is not None:
            self.transport.abortConnection()
        self._broken(reason)

    def _broken(self, reason):
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.callback(Broken(WRITTEN if self.written else NOT_ALL_WRITTEN, reason))

    def connectionLost(self, reason):
        self.usable = False
        self._broken(reason.getErrorMessage())
        if self.lost:
            self.lost(self)


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


class KeptStream:
    """Keeps one stream standing: asks again, spread by chance, when it ends or falls silent.

    ask() gives the bytes to ask with, fresh(stream) is told of each new one, heard(content) of what comes."""

    RECONNECT = 2_000, 8_000    # tenths of a millisecond; by chance between them, so that a crowd spreads

    def __init__(self, reactor, deadlines, chance, address, silence, ask, fresh, heard, log):
        self.reactor, self.deadlines, self.chance, self.address = reactor, deadlines, chance, address
        self.silence, self.ask, self.fresh, self.hand_on, self.log = silence, ask, fresh, heard, log
        self.stream, self.connector, self.last, self.again = None, None, 0, None

    def start(self):
        self.again = None
        self.last = self.deadlines.clock()
        self.stream = Stream(self.ask(), self._heard, self._ended)
        self.fresh()
        self.connector = self.reactor.connectTCP(*self.address, Connector(self.stream, self._failed),
                                                 timeout=None)
        self._watch(self.stream)

    def restart(self, reason):
        """Ends the present stream and asks on a new connection."""
        self.log("stream restarted", address=self.address, reason=reason)
        self.stream, connector = None, self.connector
        connector.disconnect()
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
            least, most = self.RECONNECT
            wait = least + int(self.chance.draw() * (most - least))
            self.again = self.deadlines.add(self.deadlines.clock() + wait, self.start)

    def _heard(self, stream, content):
        if stream is self.stream:
            self.last = self.deadlines.clock()
            if content:
                self.hand_on(content)

    def _ended(self, stream, reason):
        if stream is self.stream:
            self.log("stream ended", address=self.address, reason=reason)
            self.stream = None
            self._ask_again()

    def _failed(self, broken):
        self._ended(self.stream, broken.reason)
