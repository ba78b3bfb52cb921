"""A client's connection: commands in, answers out in the order of the commands."""

import socket
from collections import deque
from typing import NamedTuple, Optional

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from . import resp
from .write_progress import has_left, nothing_waits

QUERY, SUBMIT = b"SVC.QUERY", b"SVC.SUBMIT"
MOST_WAITING = 64  # commands in hand on one connection; beyond it, it is not read on
MOST_COMMAND = 2 * resp.MOST_BULK  # all its words: a body, and room for what stands before it
SPEAKS_WITHIN = 25_000  # tenths of a millisecond: for a first command, and for one that has begun
READS_WITHIN = (
    100_000  # for a client that has stopped reading its answers, or does not read the last ones
)
MAKES_ROOM = 5_000  # the same for one whose place is wanted
SPEAKS_FIRST = 5_000  # a new connection that is to end still has its first command coming
LINGERS = 2_000  # from the end of sending to the close: a close over unread bytes resets, which may
# destroy the last answer on its way
LOOKS = 1_000  # how often one that is not read from is asked whether its client is still there


class Command(NamedTuple):
    """A transaction as a client words it. What is kept as bytes outlives the buffer that it was read into."""

    name: bytes
    key: bytes
    id: bytes
    pairs: tuple  # name and value, in the client's order
    body: tuple  # the words after the pairs
    request_class: str
    tenant: Optional[str]
    left: int  # milliseconds
    repeat: bool

    def words(self, left):
        """The command as a pod gets it: unchanged but for the time that the sidecar will wait."""
        told = [(name, b"%d" % left if name == b"d" else value) for name, value in self.pairs]
        return [
            self.name,
            self.key,
            self.id,
            b",".join(b"%s=%s" % pair for pair in told),
            *self.body,
        ]


def read_command(parts):
    """A Command of the words of one, or a text that says what is wrong with it."""
    words = [bytes(part) for part in parts]
    if len(words) < 4:
        return "a command takes a key, an id and a list of names and values"
    pairs = tuple(pair.partition(b"=")[::2] for pair in words[3].split(b","))
    told = dict(pairs)
    if not words[2]:
        return "the id is missing"
    if not told.get(b"c"):
        return "c, the lane, is missing"
    left = told.get(b"d", b"")
    if not left.isdigit() or len(left) > 9 or int(left) <= 0:
        return "d, the time in milliseconds, is missing or no number"
    try:
        request_class, tenant = told[b"c"].decode(), told.get(b"t", b"").decode() or None
        words[1].decode(), words[2].decode()
    except UnicodeDecodeError:
        return "a name is not UTF-8"
    return Command(
        words[0],
        words[1],
        words[2],
        pairs,
        tuple(words[4:]),
        request_class,
        tenant,
        int(left),
        told.get(b"r") == b"1",
    )


class CommandParser(resp.Parser):
    """For commands: no arrays in the array, and a bound on all of it. Else a few kilobytes would have the parser go
    through a million parts again with each piece, and many strings that are never whole would fill the memory."""

    def feed(self, data):
        yield from super().feed(data)
        if self.held > MOST_COMMAND:
            raise resp.MalformedRespError(f"a command of over {MOST_COMMAND} bytes")

    def _array(self, buffer, at, length, depth):
        if depth:
            raise resp.MalformedRespError("an array in a command")
        return super()._array(buffer, at, length, depth)


@implementer(IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """Its owner is asked to take(connection, place, command), told of gone(connection), once its client waits for
    nothing more, and of left(connection).

    It is a producer of its transport: a client that does not read its answers is not read from either.

    Between requests it may be closed, but a request that was read is owed its answer. So the end goes in steps: all
    is written, then the machine is asked whether a request waits unread, and in the same moment sending ends; nothing
    is read from there on, and what crosses that is sent once more by its client."""

    def __init__(self, owner):
        self.owner, self.parser, self.timers = owner, CommandParser(), owner.timers
        self.slot, self.first, self.places = None, 0, deque()
        self.sound, self.closing, self.reading, self.used_at, self.opened_at = (
            True,
            False,
            True,
            0,
            0,
        )
        self.spoke, self.blocked, self.ended, self.flushing, self.gone = (
            False,
            False,
            False,
            False,
            False,
        )
        self.due, self.last, self.looking, self.waits, self.linger = None, None, None, None, LINGERS

    def connectionMade(self):
        self.opened_at = self.timers.clock()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._expect(SPEAKS_WITHIN)
        self.owner.opened(self)

    def connectionLost(self, reason):
        self.sound, self.gone = False, True
        for deadline in (self.due, self.last, self.looking, self.waits):
            self.timers.cancel(deadline)
        self.owner.left(self)

    def readConnectionLost(self):
        """The client has shut its sending side. It has gone as far as can be told, and what waits is not sent on;
        what is answered already still goes out, for it may be reading."""
        if self.gone:
            return
        self.sound, self.gone = False, True
        self.owner.gone(self)
        self.first += len(self.places)
        self.places.clear()
        self.finish()

    def writeConnectionLost(self):
        """Sending ends by shutdown alone, not by the transport."""

    def _expect(self, within):
        """A whole command within this time, or the connection is closed; one that stands idle later is not."""
        self.due = self.timers.add(self.timers.clock() + within, self._says_nothing)

    def _says_nothing(self, again=True):
        """Half a command is answered with an error. One that said nothing is closed without a word: its client may be
        about to speak, and would take that for the answer."""
        self.due = None
        if not self.sound or (self.spoke and not self.parser.held):
            return
        if not self.reading:  # the rest may be there: it is we who do not read it
            return self._expect(SPEAKS_WITHIN)
        if again and not nothing_waits(self.transport):
            self.due = self.timers.add(self.timers.clock() + LOOKS, self._says_nothing, False)
        elif self.parser.held:
            self.sound = False
            self.answer(self._place(), resp.failure("ERR no whole command in time"))
            self.finish()
        else:
            self.finish()

    def pauseProducing(self):
        """The client does not read what is written."""
        self.blocked = True
        self._read_on()
        self._end_within(READS_WITHIN)

    def resumeProducing(self):
        if self.ended:  # nothing is left to write
            return self._shut() if self.flushing else None
        self.blocked = False
        self._read_on()
        if not self.closing:
            self.timers.cancel(self.last)
            self.last = None

    def stopProducing(self):
        """The transport says so when it is lost; connectionLost follows."""

    def _end_within(self, within):
        if self.last is None:
            self.last = self.timers.add(
                self.timers.clock() + within, self.transport.abortConnection
            )

    def _read_on(self):
        """Reads as long as what is in hand and what is not read are within bounds."""
        if self.ended or self.gone:
            return
        reading = not self.blocked and len(self.places) <= (
            MOST_WAITING if self.reading else MOST_WAITING // 2
        )
        if reading != self.reading:
            self.reading = reading
            (self.transport.resumeProducing if reading else self.transport.pauseProducing)()
            if not reading and self.looking is None:
                self._look()

    def _look(self):
        """One that is not read from would not notice that its client has left."""
        self.looking = None
        if self.reading or self.gone:
            return
        if has_left(self.transport):
            return self.readConnectionLost()
        self.looking = self.timers.add(self.timers.clock() + LOOKS, self._look)

    def idle(self):
        return not self.places and not self.parser.held

    def awaited(self, now):
        """Whether it is new, and the command that it was opened for is on its way."""
        return not self.spoke and now < self.opened_at + SPEAKS_FIRST

    def dataReceived(self, data):
        if not self.sound:
            return
        if self.flushing:  # it was read in the same turn in which all had been answered
            self._go_on()
        try:
            for message in self.parser.feed(data):
                if self.gone:
                    return
                self._command(message)
        except resp.MalformedRespError as error:
            self.sound = (
                False  # what follows can't be told apart any more: answer what is owed, then close
            )
            self.answer(self._place(), resp.failure(f"ERR syntax: {error}"))
            self.finish()
        except Exception as error:  # a fault here must cost this connection alone
            self.owner.fault("client connection", error)
            self.transport.abortConnection()
        if self.parser.held and self.sound and self.due is None:
            self._expect(SPEAKS_WITHIN)
        if self.closing:
            self.finish()
        self._read_on()

    def _place(self):
        self.places.append(None)
        return self.first + len(self.places) - 1

    def _command(self, parts):
        place, self.spoke = self._place(), True
        self.timers.cancel(self.due)
        self.due = None
        if not (
            isinstance(parts, list)
            and parts
            and all(isinstance(part, memoryview) for part in parts)
        ):
            return self.answer(place, resp.failure("ERR a command is an array of strings"))
        name = bytes(parts[0]).upper()
        if name == b"PING":
            return self.answer(place, resp.status("PONG"))
        if name not in (QUERY, SUBMIT):
            return self.answer(place, resp.failure("ERR unknown command"))
        command = read_command(parts)
        if isinstance(command, str):
            return self.answer(place, resp.failure(f"ERR {command}"))
        self.owner.take(self, place, command)

    def answer(self, place, content):
        """Puts an answer in its place and writes all that is due; a place is answered once."""
        at = place - self.first
        if not self.connected or at < 0 or self.places[at] is not None:
            return
        self.places[at] = content
        while self.places and self.places[0] is not None:
            self.transport.write(self.places.popleft())
            self.first += 1
        self.used_at = self.timers.clock()
        self._read_on()
        if self.closing:
            self.finish()
        elif self.owner.accepting_paused and not self.places:
            self.owner.became_idle()

    def evict(self):
        """Closes for want of places, at once: half a first command is not waited for."""
        self.linger = 0
        self.timers.cancel(self.last)
        self.last = None
        self.finish()
        if not self.ended:
            self.transport.abortConnection()

    def finish(self):
        """Closes once everything owed is answered; a command that has begun to come is waited for, and on a new
        connection the first one."""
        self.closing = True
        if self.sound and self.linger and self.awaited(self.timers.clock()):
            speaks = self.opened_at + SPEAKS_FIRST
            self.waits = self.timers.add(speaks, self.finish) if self.waits is None else self.waits
            return
        if not self.ended and not self.places and (not self.sound or self.idle()):
            self.ended = True
            self.transport.unregisterProducer()
            self.transport.registerProducer(
                self, False
            )  # asked for more exactly when nothing is left to write
            self.flushing = True
            self._end_within(READS_WITHIN if self.linger else MAKES_ROOM)
            self.transport.startWriting()

    def _go_on(self):
        """A request has come before the end: it is read and answered first."""
        self.ended = self.flushing = self.blocked = False
        self.timers.cancel(self.last)
        self.last = None
        self.transport.unregisterProducer()
        self.transport.registerProducer(self, True)

    def _shut(self):
        """Ends sending if nothing waits unread, in one moment; what is not sound is read on, unheard."""
        if self.sound and not nothing_waits(self.transport):
            self._go_on()
            self.reading = False  # also where the client's slow reading had stopped it
            return self._read_on()
        self.flushing = False
        self.transport.unregisterProducer()
        try:
            self.transport.getHandle().shutdown(socket.SHUT_WR)
        except OSError:
            return self.transport.abortConnection()
        if self.gone or not self.linger:
            return self.transport.loseConnection()
        if self.sound:
            self.transport.pauseProducing()
        self.timers.cancel(self.last)
        self.last = self.timers.add(
            self.timers.clock() + self.linger, self.transport.loseConnection
        )
