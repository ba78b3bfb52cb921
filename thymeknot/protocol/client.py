"""A client's connection: reads pipelined commands and writes responses in the same order."""

import socket
import sys
from collections import deque
from collections.abc import Iterator
from itertools import chain
from typing import Any, Final, Protocol

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol as TwistedProtocol
from zope.interface import implementer

from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..policy.memory_budget import ClientMemory
from . import resp
from .close_reason import CloseReason
from .command import (
    DISCARDED,
    QUERY,
    SUBMIT,
    Command,
    CommandParser,
    InvalidCommand,
    read_command,
)
from .write_progress import is_receive_buffer_empty, peer_has_closed

MAX_PIPELINED_COMMANDS: Final = 64
"""Maximum commands in flight on one connection; above it, reading is paused."""
COMMANDS_PER_TURN: Final = 1
"""Maximum commands of one connection that are handled in a turn of the event loop.

With hundreds of connections that send without a pause, a turn is as many times longer.
"""
COMMAND_TIMEOUT: Final[Ticks] = 5 * TICKS_PER_SECOND // 2
"""Timeout for a first command, or one that has begun to arrive, to be complete."""
WRITE_STALL_TIMEOUT: Final[Ticks] = 10 * TICKS_PER_SECOND
"""Timeout of a client that does not read its responses."""
EVICTION_FLUSH_TIMEOUT: Final[Ticks] = TICKS_PER_SECOND // 2
"""The same for a connection that is evicted because its descriptor is needed."""
FIRST_COMMAND_GRACE: Final[Ticks] = TICKS_PER_SECOND // 2
"""How long a new connection that should close is kept for its first command to arrive."""
LINGER_TIME: Final[Ticks] = TICKS_PER_SECOND // 5
"""Time from the shutdown of the sending side to the close.

Closing a socket with unread data resets the connection, and a reset may destroy a response that is
still in transit.
"""
LATE_READ_GRACE: Final[Ticks] = TICKS_PER_SECOND // 10
"""Extra time to read data that had arrived in the kernel when the command timeout expired."""
DISCONNECT_CHECK_INTERVAL: Final[Ticks] = TICKS_PER_SECOND // 20
"""How often a connection with paused reading is checked for a disconnected client.

No attempt may begin more than 0.1 s after its client has disconnected. The other half of that time
is left for the check itself, which runs after the input and output of its event loop turn.
"""
NO_MEMORY_RESPONSE: Final = resp.failure("BUSY")
"""Response to a command that was not kept, as all memory for partial commands was in use."""
FAULT_RESPONSE: Final = resp.failure("ERR internal error")
"""Response to a command whose handling failed."""
RESPONSE_DROPPED: Final = resp.failure("ERR abandoned")
"""Response in place of one that could not be kept until the earlier ones were sent."""


class ConnectionOwner(Protocol):
    """The owner of client connections: receives their events.

    Attributes:
        timers: The timer queue.
        accepting_paused: Whether new connections have to wait for one that is idle or closed.
        memory: The memory that connections may make the process hold.
    """

    timers: Any
    accepting_paused: bool
    memory: ClientMemory

    def connection_opened(self, connection: "ClientConnection") -> None:
        """Called when a connection has been accepted."""

    def request_received(
        self, connection: "ClientConnection", sequence: int, command: Command
    ) -> None:
        """Called when a request has been read; its response belongs to this sequence number."""

    def client_gone(self, connection: "ClientConnection") -> None:
        """Called when the client has disconnected, or no longer waits for responses."""

    def connection_closed(self, connection: "ClientConnection") -> None:
        """Called when the connection is closed."""

    def connection_became_idle(self) -> None:
        """Called when all requests of a connection are answered while accepting is paused."""

    def handle_in_next_turn(self, connection: "ClientConnection") -> None:
        """Has `handle_next_messages` called in one of the next turns of the event loop."""

    def count_event(self, event: str) -> None:
        """Called when something happened that reports count."""

    def fault(self, where: str, error: Exception) -> None:
        """Called when an unexpected exception was caught."""


@implementer(IHalfCloseableProtocol)
class ClientConnection(TwistedProtocol):
    """One client's connection.

    It is a push producer of its transport: while a client does not read its responses, no commands
    are read from it (backpressure).

    It may be closed between requests, but each request that was read must get its response.
    Closing therefore has three steps: all responses are flushed; the kernel is asked whether an
    unread request has arrived; if not, the sending side is shut down in the same turn. Nothing is
    read after that, and a client whose request was in transit retries it on another connection.

    Attributes:
        owner: Receives the events of the connection.
        timers: The timer queue.
        parser: Parses the commands.
        slot: Set by the owner: the connection's key in its table.
        first_sequence: The sequence number of the first command without a written response.
        pending_responses: Responses that are not written, in command order; None where the response
            is not known yet.
        held_response_bytes: The size of the responses in `pending_responses`.
        unflushed_bytes: The size of the responses that were written while the client did not read.
        waiting_messages: The rest of the input, whose commands are handled in the next turn of the
            event loop; None if there is none.
        handled_sequence: The sequence number of the command that is being handled; None if none is.
        close_reason: Why it closes, or has closed.
        input_valid: Whether further input can be parsed as commands.
        command_received: Whether a complete command has arrived.
        reading: Whether the transport reads from the client.
        write_blocked: Whether the client does not read what is written.
        closing: Whether the connection is to close once all requests are answered.
        ended: Whether all requests are answered and only the flush and the close are left.
        flushing: Whether the last responses are being flushed.
        client_gone: Whether the client no longer waits for responses.
        opened_at: When the connection was accepted.
        last_used_at: When a request was last accepted, or a response set.
        linger: The time between the shutdown of the sending side and the close.
        command_timer: The timer of a command that must be complete.
        close_timer: The timer that aborts or closes the connection.
        disconnect_check_timer: The timer of the next check for a disconnected client.
        first_command_timer: The timer until which a first command is awaited.
    """

    transport: Any  # Twisted's interfaces lack the methods of a TCP transport

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.timers = owner.timers
        self.parser = CommandParser()
        self.slot: int | None = None
        self.first_sequence = 0
        self.pending_responses: deque[bytes | None] = deque()
        self.held_response_bytes = 0
        self.unflushed_bytes = 0
        self.waiting_messages: Iterator[Any] | None = None
        self.handled_sequence: int | None = None
        self.close_reason = CloseReason.CLIENT
        self.input_valid = True
        self.command_received = False
        self.reading = True
        self.write_blocked = False
        self.closing = False
        self.ended = False
        self.flushing = False
        self.client_gone = False
        self.opened_at: Ticks = 0
        self.last_used_at: Ticks = 0
        self.linger = LINGER_TIME
        self.command_timer: int | None = None
        self.close_timer: int | None = None
        self.disconnect_check_timer: int | None = None
        self.first_command_timer: int | None = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.opened_at = self.timers.clock()
        self.transport.setTcpNoDelay(True)
        # Both how much is read at once, and how much is written before the client has to read.
        self.transport.bufferSize = self.owner.memory.receive_buffer_bytes
        self.transport.registerProducer(self, True)
        self._expect_command(COMMAND_TIMEOUT)
        self.owner.connection_opened(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self._stop_parsing()
        self.client_gone = True
        self.held_response_bytes = self.unflushed_bytes = 0
        self.owner.memory.responses.resize(self, 0)
        for timer in (
            self.command_timer,
            self.close_timer,
            self.disconnect_check_timer,
            self.first_command_timer,
        ):
            self.timers.cancel(timer)
        self.owner.connection_closed(self)

    def readConnectionLost(self) -> None:  # noqa: N802 (Twisted's name)
        """Called when the client has shut down its sending side, so it counts as disconnected.

        Pending requests are not forwarded. Responses that are already written are still flushed,
        since the client may be reading them.
        """
        if self.client_gone:
            return
        self._stop_parsing()
        self.client_gone = True
        self.owner.client_gone(self)
        self.first_sequence += len(self.pending_responses)
        self.pending_responses.clear()
        self.held_response_bytes = 0
        self._count_response_bytes()
        self.finish()

    def writeConnectionLost(self) -> None:  # noqa: N802 (Twisted's name)
        """Does nothing: the sending side is only shut down by `_shut_down_sending`."""

    def _expect_command(self, timeout: Ticks) -> None:
        """Starts the timeout for a complete command; a connection that is idle later may stay."""
        self.command_timer = self.timers.add(self.timers.clock() + timeout, self._command_overdue)

    def _command_overdue(self, allow_grace: bool = True) -> None:
        """Handles a command timeout: an incomplete command is answered with an error.

        A connection without any data is closed without an error reply, since its client may be
        about to send a request and would take the error for its response.

        Args:
            allow_grace: Whether unread data extends the timeout once.
        """
        self.command_timer = None
        if not self.input_valid or (
            self.command_received and not self.parser.has_partial_command()
        ):
            return
        if not self.reading:  # the rest may have arrived: it is this side that has paused reading
            self._expect_command(COMMAND_TIMEOUT)
        elif allow_grace and not is_receive_buffer_empty(self.transport):
            self.command_timer = self.timers.add(
                self.timers.clock() + LATE_READ_GRACE, self._command_overdue, False
            )
        elif self.parser.has_partial_command():
            self._fail_incomplete_command()
        else:
            self.close_reason = CloseReason.NO_COMMAND
            self.finish()

    def _stop_parsing(self) -> None:
        """Frees the partial command; no further input is parsed."""
        self.input_valid = False
        self.waiting_messages = None
        self.parser = CommandParser()
        self.owner.memory.partial_commands.resize(self, 0)

    def _fail_incomplete_command(self) -> None:
        self._stop_parsing()
        self.close_reason = CloseReason.INCOMPLETE_COMMAND
        self.answer(self._reserve_response(), resp.failure("ERR no whole command in time"))
        self.finish()

    def pauseProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by the transport when its write buffer is full: the client does not read."""
        self.write_blocked = True
        self._update_reading()
        self._abort_after(WRITE_STALL_TIMEOUT)

    def resumeProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by the transport when the client reads again, or its write buffer is empty."""
        self.unflushed_bytes = 0
        self._count_response_bytes()
        if self.ended:
            if self.flushing:
                self._shut_down_sending()
            return
        self.write_blocked = False
        self._update_reading()
        if not self.closing:
            self.timers.cancel(self.close_timer)
            self.close_timer = None

    def stopProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by the transport when the connection is lost; connectionLost follows."""

    def _abort_after(self, delay: Ticks) -> None:
        if self.close_timer is None:
            self.close_timer = self.timers.add(self.timers.clock() + delay, self._abort_unread)

    def _abort_unread(self) -> None:
        """Aborts a connection whose client does not read its responses."""
        if self.close_reason == CloseReason.CLIENT:
            self.close_reason = CloseReason.CLIENT_NOT_READING
        self.transport.abortConnection()

    def _update_reading(self) -> None:
        """Pauses or resumes reading by the requests in flight and the unread responses."""
        if self.ended or self.client_gone:
            return
        reading = not self.write_blocked and self.waiting_messages is None
        reading = reading and len(self.pending_responses) <= (
            MAX_PIPELINED_COMMANDS if self.reading else MAX_PIPELINED_COMMANDS // 2
        )
        if reading != self.reading:
            self.reading = reading
            (self.transport.resumeProducing if reading else self.transport.pauseProducing)()
            if not reading and self.disconnect_check_timer is None:
                self._check_disconnect()

    def _check_disconnect(self) -> None:
        """Checks for a disconnect, which goes unnoticed while reading is paused."""
        self.disconnect_check_timer = None
        if self.reading or self.client_gone:
            return
        if peer_has_closed(self.transport):
            self.readConnectionLost()
            return
        self.disconnect_check_timer = self.timers.add(
            self.timers.clock() + DISCONNECT_CHECK_INTERVAL, self._check_disconnect
        )

    def is_idle(self) -> bool:
        """Returns whether no request is in flight and none has begun to arrive."""
        return not self.pending_responses and not self.parser.has_partial_command()

    def awaits_first_command(self, now: Ticks) -> bool:
        """Returns whether the connection is new, and its first command probably in transit."""
        return not self.command_received and now < self.opened_at + FIRST_COMMAND_GRACE

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        if not self.input_valid:
            return
        if self.flushing:  # read in the same event loop turn as the last response
            self._cancel_close()
        self._handle_messages(self.parser.feed(data))

    def handle_next_messages(self) -> None:
        """Handles commands that were read in an earlier turn of the event loop."""
        messages = self.waiting_messages
        self.waiting_messages = None
        if messages is None or not self.input_valid:
            return
        if peer_has_closed(self.transport):
            self.readConnectionLost()
            return
        self._handle_messages(messages)

    def _handle_messages(
        self, messages: Iterator[Any], max_commands: int = COMMANDS_PER_TURN
    ) -> None:
        """Handles the commands of the input; those beyond the maximum wait for the next turn.

        A connection that sends at full speed thus leaves the others their turns.
        """
        try:
            for message in messages:
                if self.client_gone:
                    return
                if not max_commands:
                    self.waiting_messages = chain((message,), messages)
                    self.owner.handle_in_next_turn(self)
                    break
                self._handle_command(message)
                max_commands -= 1
            else:
                self._count_partial_command()
        except resp.MalformedRespError as error:
            # The start of the next command is unknown: answer the pending requests, then close.
            self._stop_parsing()
            self.close_reason = CloseReason.MALFORMED_INPUT
            self.answer(self._reserve_response(), resp.failure(f"ERR syntax: {error}"))
            self.finish()
        except Exception as error:  # a bug here must only cost this connection
            self.owner.fault("client connection", error)
            self._close_after_fault()
        if self.parser.has_partial_command() and self.input_valid and self.command_timer is None:
            self._expect_command(COMMAND_TIMEOUT)
        if self.closing:
            self.finish()
        self._update_reading()

    def _close_after_fault(self) -> None:
        """Fails the command whose handling raised, and closes once the others are answered."""
        self.close_reason = CloseReason.FAULT
        sequence = self.handled_sequence
        try:
            self._stop_parsing()
            self.answer(self._reserve_response() if sequence is None else sequence, FAULT_RESPONSE)
            self.finish()
        except Exception as error:  # the connection itself cannot be used
            self.owner.fault("client connection", error)
            self.transport.abortConnection()

    def _count_partial_command(self) -> None:
        """Counts the partial command; over the budget it is discarded and will be rejected."""
        budget = self.owner.memory.partial_commands
        if not budget.resize(self, self.parser.held_bytes()):
            self.parser.discard_partial_command()
            budget.resize(self, 0)

    def _reserve_response(self) -> int:
        self.pending_responses.append(None)
        return self.first_sequence + len(self.pending_responses) - 1

    def _handle_command(self, parts: Any) -> None:
        sequence = self.handled_sequence = self._reserve_response()
        self._answer_or_forward(sequence, parts)
        self.handled_sequence = None

    def _answer_or_forward(self, sequence: int, parts: Any) -> None:
        self.command_received = True
        self.timers.cancel(self.command_timer)
        self.command_timer = None
        if parts is DISCARDED:
            self.owner.count_event("command discarded")
            self.answer(sequence, NO_MEMORY_RESPONSE)
            return
        if not _is_array_of_strings(parts):
            self.answer(sequence, resp.failure("ERR a command is an array of strings"))
            return
        name = bytes(parts[0]).upper()
        if name == b"PING":
            self.answer(sequence, resp.status("PONG"))
        elif name not in (QUERY, SUBMIT):
            self.answer(sequence, resp.failure("ERR unknown command"))
        else:
            command = read_command(parts)
            if isinstance(command, InvalidCommand):
                self.answer(sequence, resp.failure(f"ERR {command.reason}"))
            else:
                self.owner.request_received(self, sequence, command)

    def answer(self, sequence: int, content: bytes) -> None:
        """Sets a command's response, and writes all responses that are next in order.

        Does nothing if the command has a response already, or the connection is closed.
        """
        index = sequence - self.first_sequence
        if not self.connected or index < 0 or self.pending_responses[index] is not None:
            return
        if (index or self.write_blocked) and not self._may_hold(content):
            content = min(content, RESPONSE_DROPPED, key=len)
            self.owner.count_event("response dropped")
        self.pending_responses[index] = content
        self.held_response_bytes += len(content)
        self._write_responses()
        self._count_response_bytes()
        self.last_used_at = self.timers.clock()
        self._update_reading()
        if self.closing:
            self.finish()
        elif self.owner.accepting_paused and not self.pending_responses:
            self.owner.connection_became_idle()

    def _write_responses(self) -> None:
        """Writes all responses that are next in order."""
        while self.pending_responses and (content := self.pending_responses[0]) is not None:
            self.pending_responses.popleft()
            self.first_sequence += 1
            self.held_response_bytes -= len(content)
            self.transport.write(content)
            if self.write_blocked:
                self.unflushed_bytes += len(content)

    def _may_hold(self, content: bytes) -> bool:
        """Returns whether the budget allows another response that cannot be sent at once."""
        held_bytes = self.held_response_bytes + self.unflushed_bytes + len(content)
        return self.owner.memory.responses.resize(self, held_bytes)

    def _count_response_bytes(self) -> None:
        """Counts the responses that are not sent."""
        held_bytes = self.held_response_bytes + self.unflushed_bytes
        self.owner.memory.responses.hold(self, held_bytes)

    def evict(self) -> None:
        """Closes at once to free its descriptor; an incomplete first command is not awaited."""
        self.linger = 0
        self.close_reason = CloseReason.EVICTED
        self.timers.cancel(self.close_timer)
        self.close_timer = None
        self.finish()
        if not self.ended:
            self.transport.abortConnection()

    def stop_waiting(self) -> None:
        """Ends all waits for the client; what was read is still answered, and then it closes.

        The process exits soon. A command that has begun to arrive gets its error, a first command
        and the client's close are not awaited, and there is no other lingering after responses that
        are still to be sent.
        """
        self.linger = 0
        self.close_reason = CloseReason.SHUTDOWN
        if self.waiting_messages is not None:
            messages, self.waiting_messages = self.waiting_messages, None
            self._handle_messages(messages, sys.maxsize)
        if self.input_valid and self.parser.has_partial_command():
            self._fail_incomplete_command()
        elif self.ended and not self.flushing:
            self.transport.loseConnection()
        else:
            self.finish()

    def abort(self) -> None:
        """Closes at once, whatever has not been sent."""
        self.transport.abortConnection()

    def finish(self) -> None:
        """Closes the connection once all requests are answered.

        A command that has begun to arrive is awaited, and on a new connection the first command.
        """
        self.closing = True
        if self.input_valid and self.linger and self.awaits_first_command(self.timers.clock()):
            if self.first_command_timer is None:
                self.first_command_timer = self.timers.add(
                    self.opened_at + FIRST_COMMAND_GRACE, self.finish
                )
            return
        if (
            not self.ended
            and not self.pending_responses
            and (not self.input_valid or self.is_idle())
        ):
            self.ended = True
            self.transport.unregisterProducer()
            # The transport asks a pull producer for more exactly when its write buffer is empty.
            self.transport.registerProducer(self, False)
            self.flushing = True
            self._abort_after(WRITE_STALL_TIMEOUT if self.linger else EVICTION_FLUSH_TIMEOUT)
            self.transport.startWriting()

    def _cancel_close(self) -> None:
        """Cancels the close, since a request has arrived that must be answered first."""
        self.ended = self.flushing = self.write_blocked = False
        self.timers.cancel(self.close_timer)
        self.close_timer = None
        self.transport.unregisterProducer()
        self.transport.registerProducer(self, True)

    def _shut_down_sending(self) -> None:
        """Shuts down the sending side, unless an unread request has arrived."""
        if self.input_valid and not is_receive_buffer_empty(self.transport):
            self._cancel_close()
            self.reading = False  # also if reading was paused because the client read slowly
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
        self.timers.cancel(self.close_timer)
        self.close_timer = self.timers.add(
            self.timers.clock() + self.linger, self.transport.loseConnection
        )


def _is_array_of_strings(parts: Any) -> bool:
    return (
        isinstance(parts, list)
        and bool(parts)
        and all(isinstance(part, memoryview) for part in parts)
    )
