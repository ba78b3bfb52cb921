"""A keeper on sockets, a clock and a disk: carries out what the core asks for, and hands it what comes in.

Whatever can't be taken (forged, replayed, oversized, nonsense) ends by itself: it is counted in `refused`, by kind,
and never reaches the core."""

import time

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.internet.threads import deferToThread
from twisted.protocols import amp

from ..service import structured_log
from . import message_codec
from . import messages as i

UNREAD_MOST = 4 * 65_536  # bytes of one box: four values of AMP's longest
CONNECTIONS_MOST = 1_024


class Served(amp.AMP):
    """A connection that somebody made to this keeper."""

    def __init__(self, endpoint):
        super().__init__()
        self.endpoint, self.session, self.last, self.unread = endpoint, None, 0, 0

    def connectionMade(self):
        super().connectionMade()
        self.endpoint.lines.add(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):
        self.unread += len(data)
        if self.unread > UNREAD_MOST:
            self.endpoint.refuse("oversized", "a box without an end")
            return self.transport.abortConnection()
        return super().dataReceived(data)

    def ampBoxReceived(self, box):
        self.unread = 0
        return super().ampBoxReceived(box)

    def lengthLimitExceeded(self, length):
        self.endpoint.refuse("nonsense", f"a key of {length} bytes")
        self.transport.abortConnection()

    def connectionLost(self, reason):
        super().connectionLost(reason)
        self.endpoint.lines.discard(self)

    def _opened(self, key, content, signature):
        if self.session is None:
            raise message_codec.MessageError("nonsense", "no greeting came first")
        letter = self.endpoint.opened(self.session, self.last, key, content, signature)
        self.last = letter.number
        return letter

    @message_codec.Hello.responder
    def hello(self, nonce):
        if self.session is not None or len(nonce) != message_codec.NONCE:
            self.endpoint.refuse("nonsense", "a greeting that came twice, or of another length")
            raise message_codec.Refusal("greeted before")
        mine = message_codec.new_nonce()
        self.session = nonce + mine
        return {"nonce": mine}

    @message_codec.Deliver.responder
    def deliver(self, key, content, signature):
        try:
            letter = self._opened(key, content, signature)
            self.endpoint.delivered(letter)
        except message_codec.MessageError as bad:
            self.endpoint.refuse(bad.kind, str(bad))
        return {}

    @message_codec.Ask.responder
    def ask(self, key, content, signature):
        try:
            letter = self._opened(key, content, signature)
            answer = self.endpoint.asked(letter)
        except message_codec.MessageError as bad:
            self.endpoint.refuse(bad.kind, str(bad))
            raise message_codec.Refusal(str(bad)) from None
        session = self.session
        return answer.addCallback(lambda told: self.endpoint.answered(letter, session, told))


class PeerServer:
    """keeper(now): makes the core, with what the store gave back. look(query): a reply of the machine as it stands,
    that changes nothing. ring(): gossip's Ring of now. sources: a set of networks."""

    def __init__(self, reactor, deadlines, identity, ring, sources, channels, keeper, store, look):
        self.reactor, self.deadlines, self.clock = reactor, deadlines, deadlines.clock
        self.identity, self.ring, self.sources, self.channels = identity, ring, sources, channels
        self.store, self.look, self.refused, self.lines = store, look, {}, set()
        self.writing, self.waiting, self.timer, self.tokens, self.token = False, [], None, {}, 0
        self.heard = lambda: None  # called after each event, for those who watch
        self.closed, self.port, self.led = False, None, None
        self.keeper = keeper(self.clock())
        # A core that was just made has told nobody when it wants to be woken.
        self.timer = self.deadlines.add(self.clock() + 1, self._due)

    def listen(self, host, port):
        """Raises twisted's CannotListenError."""
        factory = Factory()
        factory.noisy, factory.buildProtocol = False, self._build
        self.port = self.reactor.listenTCP(port, factory, interface=host)

    def _build(self, address):
        if address.host not in self.sources:
            return self.refuse("elsewhere", f"{address.host} is in none of the networks")
        if len(self.lines) >= CONNECTIONS_MOST:
            return self.refuse("crowded", f"{CONNECTIONS_MOST} connections stand")
        return Served(self)

    # What comes in.

    def refuse(self, kind, why):
        self.refused[kind] = self.refused.get(kind, 0) + 1
        structured_log.seldom("message rejected", kind=kind, why=why, count=self.refused[kind])

    def opened(self, session, last, key, content, signature):
        return message_codec.open_message(
            self.ring(), time.time(), self.identity.name, session, last, key, content, signature
        )

    def delivered(self, letter):
        """Raises wire.Bad."""
        if letter.kind != message_codec.KEEPER or letter.sender not in self.channels:
            raise message_codec.MessageError(
                "nonsense", f"{letter.sender} is no keeper, or that is no keeper's message"
            )
        message = i.from_bytes(letter.body)
        if isinstance(message, str):
            raise message_codec.MessageError("nonsense", message)
        self.tell(i.Received(letter.sender, message))

    def asked(self, letter):
        """A Deferred of what is told. Raises wire.Bad."""
        told = message_codec.decode_mapping(letter.body)
        self.token += 1
        if letter.kind == message_codec.READ and isinstance(told.get("query"), dict):
            event = i.ReadAsked(self.token)
        elif letter.kind == message_codec.PROPOSE and isinstance(told.get("command"), dict):
            origin, incarnation, number = (
                told.get(name) for name in ("origin", "incarnation", "number")
            )
            if not (
                isinstance(origin, str) and isinstance(incarnation, int) and isinstance(number, int)
            ) or not (0 <= incarnation < 1 << 62 and 0 <= number < 1 << 62):
                raise message_codec.MessageError("nonsense", "no origin, incarnation and number")
            if origin != letter.sender and not origin.startswith(letter.sender + "/"):
                raise message_codec.MessageError(
                    "forged", f"{letter.sender} speaks in the name of {origin[:40]}"
                )
            event = i.Proposed(self.token, origin, incarnation, number, told["command"])
        else:
            raise message_codec.MessageError("nonsense", "neither a command nor a query")
        answer = Deferred()
        self.tokens[self.token] = answer, told.get("query")
        self.tell(event)
        return answer

    def answered(self, letter, session, told):
        """The arguments of a signed answer."""
        try:
            return message_codec.sign_message(
                self.identity,
                letter.sender,
                session,
                letter.number,
                message_codec.REPLY,
                msgspec.msgpack.encode(told),
            )
        except message_codec.MessageError as bad:
            return message_codec.sign_message(
                self.identity,
                letter.sender,
                session,
                letter.number,
                message_codec.REPLY,
                msgspec.msgpack.encode(
                    {"reply": {"refused": f"the answer: {bad}; ask for less", "by": [], "again": 0}}
                ),
            )

    # Into the core and out of it.

    def tell(self, event):
        if self.closed:
            return
        for effect in self.keeper.handle(self.clock(), event):
            self.DO[type(effect)](self, effect)
        if self.keeper.role != self.led:
            self.led = self.keeper.role
            structured_log.log("raft role", role=self.led, term=self.keeper.term)
        self.heard()

    def _due(self):
        self.timer = None
        self.tell(i.TimerDue())

    def _set_timer(self, effect):
        if self.timer is not None:
            self.deadlines.cancel(self.timer)
        self.timer = self.deadlines.add(effect.at, self._due)

    def _send(self, effect):
        channel = self.channels.get(effect.peer)
        if channel is not None:
            channel.send(i.to_bytes(effect.message))

    def _persist(self, effect):
        self.waiting.append(effect)
        if not self.writing:
            self._write()

    def _write(self):
        """All that waits is written at once: one sync for many."""
        batch, self.waiting, self.writing = self.waiting, [], True
        records = [record for one in batch for record in one.records]
        written = deferToThread(self.store.persist, records)
        written.addCallbacks(self._written, self._unwritten, (batch[-1].upto,))

    def _written(self, fault, upto):
        self.writing = False
        if self.closed:
            return self.store.close()
        if fault is not None:
            structured_log.log("raft storage failed", error=fault.reason)
            return self.tell(i.DiskFailed(fault.reason))
        if self.waiting:
            self._write()
        return self.tell(i.Stored(upto))

    def _unwritten(self, failure):
        self.writing = False
        structured_log.log("raft storage failed", error=str(failure.value))
        self.tell(i.DiskFailed(str(failure.value)))

    def _end(self, token, told):
        answer, _ = self.tokens.pop(token, (None, None))
        if answer is not None:
            answer.callback(told)

    def _answered(self, effect):
        self._end(effect.token, {"reply": effect.reply})

    def _read_ready(self, effect):
        _, query = self.tokens.get(effect.token, (None, None))
        try:
            told = self.look(query)
        except Exception as error:  # a query must not end the keeper
            structured_log.fault("query", error)
            told = {"refused": "the query can't be answered", "by": [], "again": 0}
        self._end(effect.token, {"reply": told})

    def _refused(self, effect):
        self._end(
            effect.token,
            {
                "why": effect.reason,
                "again": effect.again,
                "leader": effect.leader,
                "unknown": effect.reason.startswith("unknown"),
            },
        )

    def _stood_down(self, effect):
        structured_log.log("raft node stepped down", why=effect.reason)

    def _applied(self, effect):
        pass

    DO = {
        i.Persist: _persist,
        i.Send: _send,
        i.Answered: _answered,
        i.ReadReady: _read_ready,
        i.Refused: _refused,
        i.Applied: _applied,
        i.SetTimer: _set_timer,
        i.StoodDown: _stood_down,
    }

    def close(self):
        """What is being written is finished; nothing more is said."""
        self.closed = True
        if self.port is not None:
            self.port.stopListening()
        for line in list(self.lines):
            line.transport.abortConnection()
        if self.timer is not None:
            self.deadlines.cancel(self.timer)
        if not self.writing:
            self.store.close()
