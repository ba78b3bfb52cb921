"""Drives a plan over sockets: many connections, a transaction at a time on each. Twisted; bounded by its time."""

from collections import deque

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol

from ..interface.clock import TICKS_PER_SECOND
from ..protocol.resp import MalformedRespError
from .latency_histogram import Tally

SLACK = TICKS_PER_SECOND // 2  # beyond a client's time, until a request counts as lost
TICK = 0.001  # seconds between two looks at what is due


class Line(Protocol):
    """One connection; busy while a request is out on it."""

    def __init__(self, driver, again=None):
        self.driver, self.speaker, self.out, self.sent_at = driver, driver.speaker(), None, 0
        self.used, self.again = (
            False,
            again,
        )  # again: a request that was cut off, the first to go here

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.driver.up(self, self.again)

    def send(self, request, now):
        self.out, self.sent_at = request, now
        self.transport.write(
            self.speaker.request(request, self.driver.patience - (now - request.at))
        )

    def dataReceived(self, data):
        try:
            for how in self.speaker.heard(data):
                if self.out is None:
                    raise MalformedRespError("an answer that nothing asked for")
                self.used = True
                self.ended(how)
        except MalformedRespError:
            self.transport.abortConnection()
            return
        if self.out is None:
            self.driver.free(self)

    def ended(self, how):
        request, self.out = self.out, None
        self.driver.ended(request, self.sent_at, how)

    def connectionLost(self, reason):
        self.driver.gone(self)
        if self.out is not None:
            self.driver.cut_off(self)


class _Lines(ClientFactory):
    noisy = False

    def __init__(self, driver, again=None):
        self.driver, self.again = driver, again

    def buildProtocol(self, address):
        return Line(self.driver, self.again)

    def clientConnectionFailed(self, connector, reason):
        self.driver.coming -= 1
        if self.again is not None:
            self.driver.ended(self.again, self.driver.now(), "lost")


class Driver:
    """One stretch: run(plan, span) gives a Deferred of its Tally. clock() in tenths of a millisecond."""

    def __init__(self, reactor, clock, host, port, speaker, lines, patience):
        self.reactor, self.clock, self.host, self.port = reactor, clock, host, port
        self.speaker, self.most, self.patience = speaker, lines, patience
        self.idle, self.lines, self.coming = [], set(), 0

    def run(self, plan, span):
        self.plan, self.waiting, self.tally = iter(plan), deque(), Tally()
        self.begun, self.span, self.out, self.done = self.clock(), span, 0, Deferred()
        self.next = next(self.plan, None)
        self._look()
        return self.done

    def now(self):
        return self.clock() - self.begun

    def _look(self):
        now = self.now()
        while self.next is not None and self.next.at <= now:
            self.tally.looked_at(now, self.next)
            self.waiting.append(self.next)
            self.next = next(self.plan, None)
        self._send(now)
        for line in [
            one for one in self.lines if one.out and now > one.out.at + self.patience + SLACK
        ]:
            line.ended("lost")
            line.transport.abortConnection()
        while (
            self.waiting and now > self.waiting[0].at + self.patience
        ):  # its client has gone: nobody sent it
            self.tally.ended(now, self.waiting.popleft(), now, "lost")
        over = self.next is None and not self.waiting and not self.out
        if over or now > self.span + self.patience + 4 * SLACK:
            return self._finish()
        self.reactor.callLater(TICK, self._look)

    def _send(self, now):
        while self.waiting and self.idle:
            request, line = self.waiting.popleft(), self.idle.pop()
            self.out += 1
            self.tally.sent += 1
            line.send(request, now)
        wanted = min(len(self.waiting), self.most - len(self.lines)) - self.coming
        for _ in range(max(0, wanted)):
            self._dial()

    def _dial(self, again=None):
        self.coming += 1
        self.reactor.connectTCP(self.host, self.port, _Lines(self, again), timeout=2)

    def up(self, line, again):
        self.coming -= 1
        self.lines.add(line)
        if self.done.called:  # it came up when all was over
            line.transport.abortConnection()
        elif again is not None:
            line.send(again, self.now())
        else:
            self.free(line)

    def free(self, line):
        if not self.done.called:
            self.idle.append(line)
            self._send(self.now())

    def gone(self, line):
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)

    def cut_off(self, line):
        """A connection ended under a request. A server may close one between requests: what crossed that on a
        connection that had been used is sent once more on a new one, as the protocol has clients do."""
        request, line.out = line.out, None
        if line.used and not self.done.called:
            self._dial(request)
        else:
            self.ended(request, line.sent_at, "lost")

    def ended(self, request, sent_at, how):
        self.out -= 1
        self.tally.ended(self.now(), request, sent_at, how)

    def _finish(self):
        for line in list(self.lines):
            line.transport.abortConnection()
        done, self.idle = self.done, []
        done.callback(self.tally)
