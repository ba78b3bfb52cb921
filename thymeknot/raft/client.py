"""The seam to the keepers: `propose(command)` and `read(query)`, each a Deferred of the reply.

A command whose outcome is unknown is asked again under its own number, so that it counts once. Tries are spread by a
seeded Chance and drawn from a budget that all commands share: a fleet that lost its keepers must not meet them with a
storm when they come back."""

from collections import deque

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import HostnameEndpoint, connectProtocol
from twisted.protocols import amp

from . import message_codec

CONNECTS_WITHIN = 1.0  # seconds
FULL_FOR = 2.0  # seconds that a connection may take nothing; then it is thought half open
TRY = 6_000  # tenths of a millisecond for an answer to one try
BASE, LONGEST = 500, 8_000  # of the wait before the next one, that doubles
BUDGET, REFILL = 20, 5  # tries at once, and a second
QUEUE_MOST = 256  # commands that wait for their turn


class Line(amp.AMP):
    """An outgoing connection; what is sent while its buffer is full is lost, as on a network."""

    def __init__(self, lost):
        super().__init__()
        self.full, self.lost = False, lost

    def connectionMade(self):
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def pauseProducing(self):
        self.full = True

    def resumeProducing(self):
        self.full = False

    def stopProducing(self):
        pass

    def connectionLost(self, reason):
        super().connectionLost(reason)
        self.lost(self)


class PeerChannel:
    """The way to one keeper: connected when it is needed, with a session of its own each time."""

    def __init__(self, reactor, name, place, identity, ring, unix):
        self.reactor, self.name, self.place, self.identity, self.ring, self.unix = (
            reactor,
            name,
            place,
            identity,
            ring,
            unix,
        )
        self.line, self.session, self.number, self.connecting, self.full_since = (
            None,
            b"",
            0,
            False,
            None,
        )

    def _connect(self):
        self.connecting = True
        host, port = self.place
        made = connectProtocol(
            HostnameEndpoint(self.reactor, host, port, CONNECTS_WITHIN), Line(self._lost)
        )
        made.addCallbacks(self._greet, self._failed)

    def _greet(self, line):
        mine = message_codec.new_nonce()
        late = self.reactor.callLater(CONNECTS_WITHIN, line.transport.abortConnection)

        def begun(told):
            late.active() and late.cancel()
            self.line, self.session, self.number, self.connecting = (
                line,
                mine + told["nonce"],
                0,
                False,
            )

        def failed(failure):
            late.active() and late.cancel()
            line.transport.abortConnection()
            self._failed(failure)

        line.callRemote(message_codec.Hello, nonce=mine).addCallbacks(begun, failed)

    def _failed(self, _):
        self.connecting = False

    def _lost(self, line):
        if line is self.line:
            self.line = self.full_since = None

    def _sealed(self, kind, body):
        """The arguments, or None where nothing can be sent now."""
        if self.line is None:
            if not self.connecting:
                self._connect()
            return None
        if self.line.full:
            now = self.reactor.seconds()
            self.full_since = self.full_since or now
            if now - self.full_since > FULL_FOR:
                self.line.transport.abortConnection()
            return None
        self.full_since = None
        self.number += 1
        return message_codec.sign_message(
            self.identity, self.name, self.session, self.number, kind, body
        )

    def send(self, body):
        """A keeper's message, or its loss."""
        told = self._sealed(message_codec.KEEPER, body)
        if told:
            self.line.callRemote(message_codec.Deliver, **told)

    def ask(self, kind, body):
        """A Deferred of the reply, or None where nothing can be sent now. It fails with wire.Refusal, wire.Bad or
        what the network says."""
        told = self._sealed(kind, body)
        if not told:
            return None
        session, number = self.session, self.number

        def came(back):
            letter = message_codec.open_message(
                self.ring(), self.unix(), self.identity.name, session, number - 1, **back
            )
            if (
                letter.sender != self.name
                or letter.kind != message_codec.REPLY
                or letter.number != number
            ):
                raise message_codec.MessageError(
                    "misled", f"an answer of {letter.sender} to another question"
                )
            return message_codec.decode_mapping(letter.body)

        return self.line.callRemote(message_codec.Ask, **told).addCallback(came)

    def close(self):
        if self.line:
            self.line.transport.abortConnection()


class Waiting:
    __slots__ = ("kind", "told", "ends", "answer", "tries", "over", "serial")

    def __init__(self, kind, told, ends):
        self.kind, self.told, self.ends, self.answer, self.tries, self.over = (
            kind,
            told,
            ends,
            Deferred(),
            0,
            False,
        )
        self.serial = 0


class RaftClient:
    """channels: by keeper's name. origin: this identity's name, or that and "/" and a word. incarnation: a number that
    grows with each start of the process. One command is out at a time, since a later number ends the earlier ones."""

    def __init__(self, deadlines, channels, chance, origin, incarnation, encode):
        self.deadlines, self.clock, self.channels, self.chance = (
            deadlines,
            deadlines.clock,
            channels,
            chance,
        )
        self.origin, self.incarnation, self.number, self.encode = origin, incarnation, 0, encode
        self.leader, self.names, self.queue, self.out = None, sorted(channels), deque(), None
        self.place = int(chance.draw() * len(self.names))
        self.tokens, self.filled = float(BUDGET), self.clock()
        self.closed = False

    def propose(self, command, within=30_000):
        """A Deferred of the reply; one with "unknown" where none came within so many tenths of a millisecond: then it
        may have been carried out, or may be yet unless a later command of this client is."""
        waiting = Waiting(message_codec.PROPOSE, {"command": command}, self.clock() + within)
        if len(self.queue) >= QUEUE_MOST:
            self._end(
                waiting,
                {
                    "refused": f"{QUEUE_MOST} commands wait here already",
                    "by": [],
                    "again": BASE,
                    "unknown": True,
                },
            )
        else:
            self.queue.append(waiting)
            self._next()
        return waiting.answer

    def read(self, query, within=30_000):
        """As `propose`, but it changes nothing and waits for no other."""
        waiting = Waiting(message_codec.READ, {"query": query}, self.clock() + within)
        self._try(waiting)
        return waiting.answer

    def _next(self):
        while self.queue and self.out is None:
            waiting = self.queue.popleft()
            if self.clock() >= waiting.ends:
                self._unknown(waiting)
                continue
            self.number += 1
            waiting.told.update(
                origin=self.origin, incarnation=self.incarnation, number=self.number
            )
            self.out = waiting
            self._try(waiting)

    def _unknown(self, waiting):
        self._end(
            waiting,
            {
                "refused": "no keeper answered in time: the outcome is unknown",
                "by": [],
                "again": LONGEST,
                "unknown": True,
            },
        )

    def _end(self, waiting, reply):
        if waiting.over:
            return
        waiting.over = True
        if self.out is waiting:
            self.out = None
        waiting.answer.callback(reply)
        self._next()

    def _drawn(self):
        """Whether the budget has one more try."""
        now = self.clock()
        self.tokens = min(BUDGET, self.tokens + (now - self.filled) * REFILL / 10_000)
        self.filled = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _try(self, waiting):
        if waiting.over or self.closed:
            return
        now = self.clock()
        if now >= waiting.ends:
            return self._unknown(waiting)
        if waiting.tries and not self._drawn():
            return self._later(waiting, 10_000 // REFILL)
        waiting.tries += 1
        waiting.serial += 1
        name = (
            self.leader
            if self.leader in self.channels
            else self.names[self.place % len(self.names)]
        )
        asked = self.channels[name].ask(waiting.kind, self.encode(waiting.told))
        if asked is None:
            return self._elsewhere(waiting, name)
        serial = waiting.serial
        late = self.deadlines.add(min(now + TRY, waiting.ends), self._late, waiting, serial, name)
        asked.addCallbacks(
            self._came,
            self._broke,
            (waiting, serial, name, late),
            None,
            (waiting, serial, name, late),
        )
        asked.addErrback(lambda failure: self._broke(failure, waiting, serial, name, late))
        return None

    def _late(self, waiting, serial, name):
        if serial == waiting.serial:
            self._elsewhere(waiting, name)

    def _broke(self, _, waiting, serial, name, late):
        self.deadlines.cancel(late)
        if serial == waiting.serial:
            self._elsewhere(waiting, name)

    def _came(self, told, waiting, serial, name, late):
        """Even an answer to a former try counts: all tries have one number."""
        self.deadlines.cancel(late)
        if waiting.over:
            return
        if "reply" in told:
            self.leader = name
            self._end(waiting, told["reply"])
        elif serial == waiting.serial:
            again = told.get("again")
            if again is None and not told.get("unknown") and told.get("leader") == name:
                self._end(waiting, {"refused": told.get("why", ""), "by": [], "again": 0})
            elif told.get("leader") and told["leader"] != name:
                self.leader = told["leader"]
                self._later(waiting, 100 if waiting.tries < 4 else self._wait(waiting))
            else:
                self._elsewhere(waiting, name, min(again or 0, LONGEST))

    def _elsewhere(self, waiting, name, least=0):
        """That keeper is no help now: the next one, after a while."""
        waiting.serial += 1
        if self.leader == name:
            self.leader = None
        self.place += 1
        self._later(waiting, max(min(least, BASE), self._wait(waiting)))

    def _wait(self, waiting):
        return int(min(LONGEST, BASE << min(waiting.tries, 6)) * (0.5 + self.chance.draw()) / 2)

    def _later(self, waiting, wait):
        self.deadlines.add(min(waiting.ends, self.clock() + max(1, wait)), self._try, waiting)

    def close(self):
        self.closed = True
