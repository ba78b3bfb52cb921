"""A client's connection: commands in, answers out in the order of the commands."""

from collections import deque
from typing import NamedTuple, Optional

from twisted.internet.protocol import Protocol

from . import resp

QUERY, SUBMIT = b"SVC.QUERY", b"SVC.SUBMIT"
MOST_WAITING = 64           # commands in hand on one connection; beyond it, it is not read on
SPEAKS_WITHIN = 25_000      # tenths of a millisecond: for a first command, and for one that has begun
READS_WITHIN = 100_000      # for a client that has stopped reading its answers, or does not read the last ones


class Command(NamedTuple):
    """A transaction as a client words it. What is kept as bytes outlives the buffer that it was read into."""
    name: bytes
    key: bytes
    id: bytes
    pairs: tuple            # name and value, in the client's order
    body: tuple             # the words after the pairs
    lane: str
    tenant: Optional[str]
    left: int               # milliseconds
    repeat: bool

    def words(self, left):
        """The command as a pod gets it: unchanged but for the time that the sidecar will wait."""
        told = [(name, b"%d" % left if name == b"d" else value) for name, value in self.pairs]
        return [self.name, self.key, self.id, b",".join(b"%s=%s" % pair for pair in told), *self.body]


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
        lane, tenant = told[b"c"].decode(), told.get(b"t", b"").decode() or None
        words[1].decode(), words[2].decode()
    except UnicodeDecodeError:
        return "a name is not UTF-8"
    return Command(words[0], words[1], words[2], pairs, tuple(words[4:]), lane, tenant, int(left),
                   told.get(b"r") == b"1")


class ClientConnection(Protocol):
    """Its owner is asked to take(connection, place, command) and told of left(connection).

    It is a producer of its transport: a client that does not read its answers is not read from either."""

    def __init__(self, owner):
        self.owner, self.parser, self.deadlines = owner, resp.Parser(), owner.deadlines
        self.slot, self.first, self.places = None, 0, deque()
        self.sound, self.closing, self.reading, self.used_at = True, False, True, 0
        self.spoke, self.blocked, self.ended, self.due, self.last = False, False, False, None, None

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._expect(SPEAKS_WITHIN)
        self.owner.opened(self)

    def connectionLost(self, reason):
        self.sound = False
        for deadline in (self.due, self.last):
            self.deadlines.cancel(deadline)
        self.owner.left(self)

    def _expect(self, within):
        """A whole command within this time, or the connection is closed; one that stands idle later is not."""
        self.due = self.deadlines.add(self.deadlines.clock() + within, self._says_nothing)

    def _says_nothing(self):
        self.due = None
        if self.sound and (self.parser.held or not self.spoke):
            self.sound = False
            self.answer(self._place(), resp.failure("ERR no whole command in time"))
            self.finish()

    def pauseProducing(self):
        """The client does not read what is written."""
        self.blocked = True
        self._read_on()
        self._end_within(READS_WITHIN)

    def resumeProducing(self):
        self.blocked = False
        self._read_on()
        if not self.closing:
            self.deadlines.cancel(self.last)
            self.last = None

    def stopProducing(self):
        """The transport says so when it is lost; connectionLost follows."""

    def _end_within(self, within):
        if self.last is None:
            self.last = self.deadlines.add(self.deadlines.clock() + within, self.transport.abortConnection)

    def _read_on(self):
        """Reads as long as what is in hand and what is not read are within bounds."""
        reading = not self.blocked and len(self.places) <= (MOST_WAITING if self.reading else MOST_WAITING // 2)
        if reading != self.reading:
            self.reading = reading
            (self.transport.resumeProducing if reading else self.transport.pauseProducing)()

    def idle(self):
        return not self.places and not self.parser.held

    def dataReceived(self, data):
        if not self.sound:
            return
        try:
            for message in self.parser.feed(data):
                self._command(message)
        except resp.Malformed as error:
            self.sound = False  # what follows can't be told apart any more: answer what is owed, then close
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
        self.deadlines.cancel(self.due)
        self.due = None
        if not (isinstance(parts, list) and parts and all(isinstance(part, memoryview) for part in parts)):
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
        self.used_at = self.deadlines.clock()
        self._read_on()
        if self.closing:
            self.finish()

    def give_way(self):
        """Closes for want of places: half a first command is not waited for."""
        self.finish()
        if not self.ended:
            self.transport.abortConnection()

    def finish(self):
        """Closes once everything owed is answered; a command that has begun to come is waited for."""
        self.closing = True
        if not self.ended and (self.idle() or (not self.sound and not self.places)):
            self.ended = True
            self.transport.unregisterProducer()  # else a transport that waits for more never closes
            self.transport.loseConnection()
            self._end_within(READS_WITHIN)
