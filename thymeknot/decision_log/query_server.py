"""The query's listener, and the record's way to and from the sidecar. What is asked is worked on a few entries at a
time, between rounds of the loop; a client that does not read holds up itself alone, and is ended after a while."""

import os
import stat
import time

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from ..interface.reasons import Reason
from ..service import structured_log
from ..state.random_source import LinearCongruentialGenerator
from .entry_codec import SLOT_BYTES
from .query_protocol import LINE_MOST, answer, watched
from .recorder import Recorder
from .slot_file import SlotFile

STEPS = 4  # entries looked at in a round of the loop
REST = 30  # times as long as they took, before the next ones: askers get a small part of the core
CONNECTIONS = 8
IDLE = 100_000  # an asker that neither asks nor reads is ended
UPKEEP = 5_000


class Unusable(ValueError):
    """Settings that can't be put to use here. The text begins with the faulty key."""


@implementer(IPullProducer)
class Asker(Protocol):
    def __init__(self, owner):
        self.owner, self.received, self.steps, self.watch, self.deadline = (
            owner,
            b"",
            None,
            None,
            None,
        )

    def connectionMade(self):
        self._live()

    def _live(self):
        """Something was read or written: the time to the end starts anew."""
        if self.deadline is not None:
            self.owner.timers.cancel(self.deadline)
        self.deadline = self.owner.timers.add(
            self.owner.clock() + IDLE, self.transport.abortConnection
        )

    def dataReceived(self, data):
        self._live()
        self.received += data
        if len(self.received) > LINE_MOST:
            self.transport.write(b'{"error":"a line of 4096 bytes at most"}\n')
            self.transport.loseConnection()
        elif self.steps is None and self.watch is None:
            self._next()

    def _next(self):
        line, found, rest = self.received.partition(b"\n")
        if not found:
            return
        self.received = rest
        try:
            self.watch = watched(line)
        except ValueError as error:
            self.transport.write(b'{"error":"%s"}\n' % str(error).replace('"', "'").encode())
            return
        if self.watch is not None:
            self.owner.record.watchers.append(self.watch)
            self._look()
            return
        self.steps = answer(line, self.owner.record, self.owner.terms.answers)
        self.transport.registerProducer(self, False)

    def resumeProducing(self):
        """The socket has taken what was written: a few more steps, after a rest."""
        self.owner.reactor.callLater(REST * self.owner.took, self._work)

    def _work(self):
        """A few more steps, or the next question."""
        if self.steps is None:
            return
        began, out, line = time.perf_counter(), [], None
        for _ in range(STEPS):
            line = next(self.steps, False)
            if line is False:
                break
            if line is not None:
                out.append(line)
        self.owner.took = time.perf_counter() - began
        if out:
            self._live()
            self.transport.write(b"".join(out))
        elif line is False:  # all of it has been taken, too: what is asked next waits for that
            self.steps = None
            self.transport.unregisterProducer()
            self._next()
        else:
            self.resumeProducing()

    def stopProducing(self):
        self.steps = None

    def _look(self):
        if self.watch is None or not self.connected:
            return
        # What its socket has not taken yet keeps new lines waiting, in a bounded number.
        if not self.transport.dataBuffer and not getattr(self.transport, "_tempDataBuffer", None):
            lines = self.watch.take()
            if lines:
                self._live()
                self.transport.write(b"".join(lines))
        self.owner.timers.add(self.owner.clock() + UPKEEP // 5, self._look)

    def connectionLost(self, reason):
        self.owner.timers.cancel(self.deadline)
        self.owner.askers -= 1
        self.steps = None
        if self.watch is not None:
            self.owner.record.watchers.remove(self.watch)
            self.watch = None


class DecisionLogFeature:
    """The feature as the sidecar knows it: `taken`, `ended`, `over` and the decisions' `say`."""

    def __init__(self, proxy, terms, folder):
        self.proxy, self.terms, self.reactor = proxy, terms, proxy.reactor
        self.clock, self.timers, self.askers = proxy.clock, proxy.timers, 0
        self.took = 0.0  # seconds that an asker's last steps took
        path = None
        if terms.directory:
            path = os.path.join(folder, terms.directory, f"{proxy.start.name}.why")
        self.arena = SlotFile(terms.megabytes * 1_000_000 // SLOT_BYTES, path, structured_log.log)
        self.record = Recorder(
            terms,
            proxy.settings.request_classes,
            self.arena,
            proxy.epoch,
            proxy.clock,
            LinearCongruentialGenerator(proxy.start.seed ^ 0x77),
        )
        self.ended, self.over = self.record.ended, self.record.over
        self.done, self.left, self.abandoned = Reason.DONE, Reason.LEFT, Reason.ABANDONED
        proxy.rejections.then = self.record.say
        factory = Factory()
        factory.noisy, factory.buildProtocol = False, self._asker
        try:
            if terms.listen.startswith("unix:"):
                place = os.path.join(folder, terms.listen[5:])
                if os.path.exists(place) and stat.S_ISSOCK(os.stat(place).st_mode):
                    os.unlink(
                        place
                    )  # a former run's, which nobody listens on: names belong to one instance
                self.port = self.reactor.listenUNIX(place, factory, backlog=8, mode=0o600)
            else:
                host, _, port = terms.listen.rpartition(":")
                self.port = self.reactor.listenTCP(
                    int(port), factory, backlog=8, interface=host.strip("[]")
                )
        except (CannotListenError, OSError) as error:
            raise Unusable(f"why.listen: {error}") from None
        at = self.port.getHost()  # port 0 was any free one
        structured_log.log(
            "decision log opened",
            listen=f"{at.host}:{at.port}" if hasattr(at, "port") else terms.listen,
            slots=self.arena.slots,
            file=self.arena.path,
            recovered=self.record.recovered,
            torn=self.record.torn,
        )
        self._upkeep()

    def _asker(self, address):
        if self.askers >= CONNECTIONS:
            return None
        self.askers += 1
        return Asker(self)

    def _upkeep(self):
        self.record.flush(self.clock())
        self.timers.add(self.clock() + UPKEEP, self._upkeep)

    def taken(self, name, command):
        self.record.taken(
            name,
            command.key.decode() or None,
            command.tenant,
            command.request_class,
            command.repeat,
        )

    def reconfigure(self, terms, folder):
        """All of it takes a new start."""

    def leave(self):
        """What is over is written; the rest is written when it is."""
        self.record.flush(self.clock(), 0)
