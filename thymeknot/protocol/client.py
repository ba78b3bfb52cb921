"""A client's connection: commands in, responses out in the order of the commands."""

import socket
from collections import deque
from typing import Any, Final, Protocol

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol as TwistedProtocol
from zope.interface import implementer

from ..interface.clock import TICKS_PER_SECOND, Ticks
from . import resp
from .command import QUERY, SUBMIT, Command, CommandFault, CommandParser, read_command
from .write_progress import has_left, nothing_waits

MOST_WAITING: Final = 64
"""Commands in flight on one connection; beyond them it is not read on."""
SPEAKS_WITHIN: Final[Ticks] = 5 * TICKS_PER_SECOND // 2
"""For a first command, and for one that has begun, to be complete."""
READS_WITHIN: Final[Ticks] = 10 * TICKS_PER_SECOND
"""For a client that has stopped reading its responses, or does not read the last ones."""
MAKES_ROOM: Final[Ticks] = TICKS_PER_SECOND // 2
"""The same for one whose place is wanted."""
SPEAKS_FIRST: Final[Ticks] = TICKS_PER_SECOND // 2
"""A new connection that is to end still has its first command coming."""
LINGERS: Final[Ticks] = TICKS_PER_SECOND // 5
"""From the end of sending to the close: a close over unread bytes resets the connection, which may
destroy the last response on its way."""
SPEAKS_LATE: Final[Ticks] = TICKS_PER_SECOND // 10
"""For bytes that have come by the end of the time for a command, to be read."""
LOOKS: Final[Ticks] = TICKS_PER_SECOND // 20
"""How often one that is not read from is asked whether its client is still there.

No attempt may begin a tenth of a second after its client has left. Half of that is left for the
look itself, which comes after the input and output of its turn of the event loop.
"""


class Owner(Protocol):
    """What a connection tells and asks."""

    timers: Any
    accepting_paused: bool

    def opened(self, connection: "ClientConnection") -> None:
        """It is open."""

    def take(self, connection: "ClientConnection", place: int, command: Command) -> None:
        """A request is complete; its response belongs at this place."""

    def gone(self, connection: "ClientConnection") -> None:
        """Its client waits for nothing more."""

    def left(self, connection: "ClientConnection") -> None:
        """It is closed."""

    def became_idle(self) -> None:
        """All its requests are answered while accepting is paused."""

    def fault(self, where: str, error: Exception) -> None:
        """An exception was stopped."""


@implementer(IHalfCloseableProtocol)
class ClientConnection(TwistedProtocol):
    """One client's connection.

    It is a producer of its transport: a client that does not read its responses is not read from
    either.

    Between requests it may be closed, but a request that was read is owed its response. So the end
    goes in steps: everything is written, then the operating system is asked whether a request waits
    unread, and in the same moment sending ends. Nothing is read from there on; a request that
    crosses the end is sent once more by its client.
    """

    transport: Any  # Twisted's interfaces lack the calls of a TCP transport

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.timers = owner.timers
        self.parser = CommandParser()
        self.slot: int | None = None
        self.first = 0
        """The number of the first place that is not answered."""
        self.places: deque[bytes | None] = deque()
        """Responses that are not written, in the order of their commands; None is awaited."""
        self.sound = True
        """Whether what comes can be read as commands."""
        self.spoke = False
        self.reading = True
        self.blocked = False
        """Whether the client does not read what is written."""
        self.closing = False
        self.ended = False
        """Whether everything is answered and only flushing is left."""
        self.flushing = False
        self.gone = False
        """Whether the client waits for nothing more."""
        self.opened_at: Ticks = 0
        self.used_at: Ticks = 0
        self.linger = LINGERS
        self.due: int | None = None
        """The timer of a command that has to be complete."""
        self.last: int | None = None
        """The timer by which the connection is aborted or closed."""
        self.looking: int | None = None
        """The timer of the next look for a client that is not read from."""
        self.waits: int | None = None
        """The timer until which a first command is waited for."""

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.opened_at = self.timers.clock()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._expect(SPEAKS_WITHIN)
        self.owner.opened(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.sound = False
        self.gone = True
        for deadline in (self.due, self.last, self.looking, self.waits):
            self.timers.cancel(deadline)
        self.owner.left(self)

    def readConnectionLost(self) -> None:  # noqa: N802 (Twisted's name)
        """The client has shut its sending side, so it counts as gone.

        What waits is not forwarded; what is answered already still goes out, since it may be
        reading.
        """
        if self.gone:
            return
        self.sound = False
        self.gone = True
        self.owner.gone(self)
        self.first += len(self.places)
        self.places.clear()
        self.finish()

    def writeConnectionLost(self) -> None:  # noqa: N802 (Twisted's name)
        """Sending ends by shutdown alone, not by the transport."""

    def _expect(self, within: Ticks) -> None:
        """A complete command has to come within this time; one that is idle later may stay."""
        self.due = self.timers.add(self.timers.clock() + within, self._says_nothing)

    def _says_nothing(self, again: bool = True) -> None:
        """Half a command is answered with an error.

        A connection that said nothing is closed without a word: its client may be about to send,
        and would take that for the response.
        """
        self.due = None
        if not self.sound or (self.spoke and not self.parser.held):
            return
        if not self.reading:  # the rest may be there: it is this side that does not read it
            self._expect(SPEAKS_WITHIN)
        elif again and not nothing_waits(self.transport):
            self.due = self.timers.add(self.timers.clock() + SPEAKS_LATE, self._says_nothing, False)
        elif self.parser.held:
            self.sound = False
            self.answer(self._place(), resp.failure("ERR no whole command in time"))
            self.finish()
        else:
            self.finish()

    def pauseProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """The client does not read what is written."""
        self.blocked = True
        self._read_on()
        self._end_within(READS_WITHIN)

    def resumeProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """The client reads again, or nothing is left to write."""
        if self.ended:
            if self.flushing:
                self._shut()
            return
        self.blocked = False
        self._read_on()
        if not self.closing:
            self.timers.cancel(self.last)
            self.last = None

    def stopProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """The transport says so when it is lost; connectionLost follows."""

    def _end_within(self, within: Ticks) -> None:
        if self.last is None:
            self.last = self.timers.add(
                self.timers.clock() + within, self.transport.abortConnection
            )

    def _read_on(self) -> None:
        """Reads as long as requests in flight and unread responses are within bounds."""
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

    def _look(self) -> None:
        """Looks for the client's end, which a connection that is not read from would not notice."""
        self.looking = None
        if self.reading or self.gone:
            return
        if has_left(self.transport):
            self.readConnectionLost()
            return
        self.looking = self.timers.add(self.timers.clock() + LOOKS, self._look)

    def idle(self) -> bool:
        """Whether no request is in flight and none has begun to come."""
        return not self.places and not self.parser.held

    def awaited(self, now: Ticks) -> bool:
        """Whether it is new, and the command that it was opened for is on its way."""
        return not self.spoke and now < self.opened_at + SPEAKS_FIRST

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
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
            # What follows can't be told apart any more: answer what is owed, then close.
            self.sound = False
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

    def _place(self) -> int:
        self.places.append(None)
        return self.first + len(self.places) - 1

    def _command(self, parts: Any) -> None:
        place = self._place()
        self.spoke = True
        self.timers.cancel(self.due)
        self.due = None
        if not _is_array_of_strings(parts):
            self.answer(place, resp.failure("ERR a command is an array of strings"))
            return
        name = bytes(parts[0]).upper()
        if name == b"PING":
            self.answer(place, resp.status("PONG"))
        elif name not in (QUERY, SUBMIT):
            self.answer(place, resp.failure("ERR unknown command"))
        else:
            command = read_command(parts)
            if isinstance(command, CommandFault):
                self.answer(place, resp.failure(f"ERR {command.reason}"))
            else:
                self.owner.take(self, place, command)

    def answer(self, place: int, content: bytes) -> None:
        """Puts a response in its place and writes all that is due; a place is answered once."""
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

    def evict(self) -> None:
        """Closes at once for want of places: half a first command is not waited for."""
        self.linger = 0
        self.timers.cancel(self.last)
        self.last = None
        self.finish()
        if not self.ended:
            self.transport.abortConnection()

    def stop_lingering(self) -> None:
        """Waits for the client's close no more, also once what is still owed has been sent.

        Requests that are read at the last moment are answered after it; another wait would last
        until the process is killed.
        """
        self.linger = 0
        if self.ended and not self.flushing:
            self.transport.loseConnection()

    def finish(self) -> None:
        """Closes once everything owed is answered.

        A command that has begun to come is waited for, and on a new connection the first one.
        """
        self.closing = True
        if self.sound and self.linger and self.awaited(self.timers.clock()):
            if self.waits is None:
                self.waits = self.timers.add(self.opened_at + SPEAKS_FIRST, self.finish)
            return
        if not self.ended and not self.places and (not self.sound or self.idle()):
            self.ended = True
            self.transport.unregisterProducer()
            # A pull producer is asked for more exactly when nothing is left to write.
            self.transport.registerProducer(self, False)
            self.flushing = True
            self._end_within(READS_WITHIN if self.linger else MAKES_ROOM)
            self.transport.startWriting()

    def _go_on(self) -> None:
        """A request has come before the end: it is read and answered first."""
        self.ended = self.flushing = self.blocked = False
        self.timers.cancel(self.last)
        self.last = None
        self.transport.unregisterProducer()
        self.transport.registerProducer(self, True)

    def _shut(self) -> None:
        """Ends sending if nothing waits unread, in one moment."""
        if self.sound and not nothing_waits(self.transport):
            self._go_on()
            self.reading = False  # also where the client's slow reading had stopped it
            self._read_on()
            return
        self.flushing = False
        self.transport.unregisterProducer()
        try:
            self.transport.getHandle().shutdown(socket.SHUT_WR)
        except OSError:
            self.transport.abortConnection()
            return
        if self.gone or not self.linger:
            self.transport.loseConnection()
            return
        if self.sound:
            self.transport.pauseProducing()
        self.timers.cancel(self.last)
        self.last = self.timers.add(
            self.timers.clock() + self.linger, self.transport.loseConnection
        )


def _is_array_of_strings(parts: Any) -> bool:
    return (
        isinstance(parts, list)
        and bool(parts)
        and all(isinstance(part, memoryview) for part in parts)
    )
