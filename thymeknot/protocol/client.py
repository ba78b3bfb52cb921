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
from .write_progress import is_receive_buffer_empty, peer_has_closed

MAX_PIPELINED_COMMANDS: Final = 64
"""Commands in flight on one connection; beyond them it is not read on."""
COMMAND_TIMEOUT: Final[Ticks] = 5 * TICKS_PER_SECOND // 2
"""For a first command, and for one that has begun, to be complete."""
WRITE_STALL_TIMEOUT: Final[Ticks] = 10 * TICKS_PER_SECOND
"""For a client that has stopped reading its responses, or does not read the last ones."""
EVICTION_FLUSH_TIMEOUT: Final[Ticks] = TICKS_PER_SECOND // 2
"""The same for one whose place is wanted."""
FIRST_COMMAND_GRACE: Final[Ticks] = TICKS_PER_SECOND // 2
"""A new connection that is to end still has its first command coming."""
LINGER_TIME: Final[Ticks] = TICKS_PER_SECOND // 5
"""From the end of sending to the close: a close over unread bytes resets the connection, which may
destroy the last response on its way."""
LATE_READ_GRACE: Final[Ticks] = TICKS_PER_SECOND // 10
"""For bytes that have come by the end of the time for a command, to be read."""
DISCONNECT_CHECK_INTERVAL: Final[Ticks] = TICKS_PER_SECOND // 20
"""How often one that is not read from is asked whether its client is still there.

No attempt may begin a tenth of a second after its client has left. Half of that is left for the
look itself, which comes after the input and output of its turn of the event loop.
"""


class ConnectionOwner(Protocol):
    """What a connection tells and asks."""

    timers: Any
    accepting_paused: bool

    def connection_opened(self, connection: "ClientConnection") -> None:
        """It is open."""

    def request_received(
        self, connection: "ClientConnection", place: int, command: Command
    ) -> None:
        """A request is complete; its response belongs at this place."""

    def client_gone(self, connection: "ClientConnection") -> None:
        """Its client waits for nothing more."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """It is closed."""

    def connection_became_idle(self) -> None:
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

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.timers = owner.timers
        self.parser = CommandParser()
        self.slot: int | None = None
        self.first_sequence = 0
        """The number of the first place that is not answered."""
        self.pending_responses: deque[bytes | None] = deque()
        """Responses that are not written, in the order of their commands; None is awaited."""
        self.input_valid = True
        """Whether what comes can be read as commands."""
        self.command_received = False
        self.reading = True
        self.blocked = False
        """Whether the client does not read what is written."""
        self.closing = False
        self.ended = False
        """Whether everything is answered and only flushing is left."""
        self.flushing = False
        self.client_gone = False
        """Whether the client waits for nothing more."""
        self.opened_at: Ticks = 0
        self.last_used_at: Ticks = 0
        self.linger = LINGER_TIME
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
        self._expect_command(COMMAND_TIMEOUT)
        self.owner.connection_opened(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.input_valid = False
        self.client_gone = True
        for deadline in (self.due, self.last, self.looking, self.waits):
            self.timers.cancel(deadline)
        self.owner.connection_closed(self)

    def readConnectionLost(self) -> None:  # noqa: N802 (Twisted's name)
        """The client has shut its sending side, so it counts as gone.

        What waits is not forwarded; what is answered already still goes out, since it may be
        reading.
        """
        if self.client_gone:
            return
        self.input_valid = False
        self.client_gone = True
        self.owner.client_gone(self)
        self.first_sequence += len(self.pending_responses)
        self.pending_responses.clear()
        self.finish()

    def writeConnectionLost(self) -> None:  # noqa: N802 (Twisted's name)
        """Sending ends by shutdown alone, not by the transport."""

    def _expect_command(self, within: Ticks) -> None:
        """A complete command has to come within this time; one that is idle later may stay."""
        self.due = self.timers.add(self.timers.clock() + within, self._command_overdue)

    def _command_overdue(self, again: bool = True) -> None:
        """Half a command is answered with an error.

        A connection that said nothing is closed without a word: its client may be about to send,
        and would take that for the response.
        """
        self.due = None
        if not self.input_valid or (self.command_received and not self.parser.held):
            return
        if not self.reading:  # the rest may be there: it is this side that does not read it
            self._expect_command(COMMAND_TIMEOUT)
        elif again and not is_receive_buffer_empty(self.transport):
            self.due = self.timers.add(
                self.timers.clock() + LATE_READ_GRACE, self._command_overdue, False
            )
        elif self.parser.held:
            self.input_valid = False
            self.answer(self._place(), resp.failure("ERR no whole command in time"))
            self.finish()
        else:
            self.finish()

    def pauseProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """The client does not read what is written."""
        self.blocked = True
        self._update_reading()
        self._end_within(WRITE_STALL_TIMEOUT)

    def resumeProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """The client reads again, or nothing is left to write."""
        if self.ended:
            if self.flushing:
                self._shut()
            return
        self.blocked = False
        self._update_reading()
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

    def _update_reading(self) -> None:
        """Reads as long as requests in flight and unread responses are within bounds."""
        if self.ended or self.client_gone:
            return
        reading = not self.blocked and len(self.pending_responses) <= (
            MAX_PIPELINED_COMMANDS if self.reading else MAX_PIPELINED_COMMANDS // 2
        )
        if reading != self.reading:
            self.reading = reading
            (self.transport.resumeProducing if reading else self.transport.pauseProducing)()
            if not reading and self.looking is None:
                self._look()

    def _look(self) -> None:
        """Looks for the client's end, which a connection that is not read from would not notice."""
        self.looking = None
        if self.reading or self.client_gone:
            return
        if peer_has_closed(self.transport):
            self.readConnectionLost()
            return
        self.looking = self.timers.add(self.timers.clock() + DISCONNECT_CHECK_INTERVAL, self._look)

    def is_idle(self) -> bool:
        """Whether no request is in flight and none has begun to come."""
        return not self.pending_responses and not self.parser.held

    def awaits_first_command(self, now: Ticks) -> bool:
        """Whether it is new, and the command that it was opened for is on its way."""
        return not self.command_received and now < self.opened_at + FIRST_COMMAND_GRACE

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        if not self.input_valid:
            return
        if self.flushing:  # it was read in the same turn in which all had been answered
            self._go_on()
        try:
            for message in self.parser.feed(data):
                if self.client_gone:
                    return
                self._command(message)
        except resp.MalformedRespError as error:
            # What follows can't be told apart any more: answer what is owed, then close.
            self.input_valid = False
            self.answer(self._place(), resp.failure(f"ERR syntax: {error}"))
            self.finish()
        except Exception as error:  # a fault here must cost this connection alone
            self.owner.fault("client connection", error)
            self.transport.abortConnection()
        if self.parser.held and self.input_valid and self.due is None:
            self._expect_command(COMMAND_TIMEOUT)
        if self.closing:
            self.finish()
        self._update_reading()

    def _place(self) -> int:
        self.pending_responses.append(None)
        return self.first_sequence + len(self.pending_responses) - 1

    def _command(self, parts: Any) -> None:
        place = self._place()
        self.command_received = True
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
                self.owner.request_received(self, place, command)

    def answer(self, place: int, content: bytes) -> None:
        """Puts a response in its place and writes all that is due; a place is answered once."""
        at = place - self.first_sequence
        if not self.connected or at < 0 or self.pending_responses[at] is not None:
            return
        self.pending_responses[at] = content
        while self.pending_responses and self.pending_responses[0] is not None:
            self.transport.write(self.pending_responses.popleft())
            self.first_sequence += 1
        self.last_used_at = self.timers.clock()
        self._update_reading()
        if self.closing:
            self.finish()
        elif self.owner.accepting_paused and not self.pending_responses:
            self.owner.connection_became_idle()

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
        if self.input_valid and self.linger and self.awaits_first_command(self.timers.clock()):
            if self.waits is None:
                self.waits = self.timers.add(self.opened_at + FIRST_COMMAND_GRACE, self.finish)
            return
        if (
            not self.ended
            and not self.pending_responses
            and (not self.input_valid or self.is_idle())
        ):
            self.ended = True
            self.transport.unregisterProducer()
            # A pull producer is asked for more exactly when nothing is left to write.
            self.transport.registerProducer(self, False)
            self.flushing = True
            self._end_within(WRITE_STALL_TIMEOUT if self.linger else EVICTION_FLUSH_TIMEOUT)
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
        if self.input_valid and not is_receive_buffer_empty(self.transport):
            self._go_on()
            self.reading = False  # also where the client's slow reading had stopped it
            self._update_reading()
            return
        self.flushing = False
        self.transport.unregisterProducer()
        try:
            self.transport.getHandle().shutdown(socket.SHUT_WR)
        except OSError:
            self.transport.abortConnection()
            return
        if self.client_gone or not self.linger:
            self.transport.loseConnection()
            return
        if self.input_valid:
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
