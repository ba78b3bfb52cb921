"""A connection to an endpoint: one attempt at a time, whose end is a value and never raised."""

import socket
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol

from . import resp
from .write_progress import NOT_CONNECTED, BrokenConnection, WholeWriter, is_receive_buffer_empty

MOST_VALUE: Final = 512 * 1024
"""Bytes of a value: 64 KiB by the protocol; endpoints were seen to send up to 400,000."""
MOST_ANSWER: Final = MOST_VALUE + 64 * 1024
"""Bytes of all parts of a response: what goes on beyond that has no end."""
MOST_REPORT: Final = 4 * 1024
"""Bytes of a load report: to read a longer one would hold up all others."""
PARTS: Final = 3
"""Of a good response: the value, null, the load report or null."""


class PodResponse(NamedTuple):
    """What an endpoint answered: its value and its load report, or the text of its failure."""

    value: memoryview | None
    report: bytes | None
    failure: str | None


def read_answer(message: Any) -> PodResponse | None:
    """The response, or None where the message is none that an endpoint gives."""
    if isinstance(message, resp.Failure):
        return PodResponse(None, None, message.text)
    if isinstance(message, list) and message and isinstance(message[0], memoryview):
        report = message[2] if len(message) == PARTS else None
        if isinstance(report, memoryview) and len(report) <= MOST_REPORT:
            return PodResponse(message[0], bytes(report), None)
        return PodResponse(message[0], None, None)
    return None


def nothing(*_: Any) -> None:
    """For an attempt of which nobody asks to hear when its response begins."""


class AnswerParser(resp.Parser):
    """For responses: an array has no arrays in it.

    Otherwise few bytes would have the parser go through many parts again and again.
    """

    def _array(self, buffer: bytes, at: int, length: int, depth: int) -> tuple[Any, int]:
        if depth:
            raise resp.MalformedRespError("an array in an answer")
        return super()._array(buffer, at, length, depth)


class PodConnection(WholeWriter, Protocol):
    """One connection to an endpoint.

    Its owner is told of connection_opened, response_received, connection_closing and
    connection_lost, each with the connection, and of fault(where, error).
    """

    def __init__(self, owner: Any, connector: "PodConnector") -> None:
        self.owner = owner
        self.connector = connector
        self.parser: resp.Parser = AnswerParser(MOST_VALUE)
        self.pending_response: Deferred[PodResponse | BrokenConnection] | None = None
        """Fires with the end of the attempt that is out."""
        self.begun: Callable[[], None] = nothing
        self.given_up = False
        self.slot: Any = None
        self.last_used_at: Any = None
        self.reusable_at: Any = None
        self.timers: list[int] = []
        self.attempt: Any = None

    def connectionMade(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.transport.setTcpNoDelay(True)
        self.owner.connection_opened(self)

    def is_clean(self) -> bool:
        """Whether nothing has come since the last response: no second copy of it, and no end."""
        return is_receive_buffer_empty(self.transport)

    def is_self_connected(self) -> bool:
        """Whether both ends are this one.

        Where nobody listens, the operating system may dial from the very port that it dials; what
        is written comes back then, and reads as a response.
        """
        try:
            return bool(self.transport.getHost() == self.transport.getPeer())
        except (OSError, TypeError):  # it has gone already, or has no address of its own
            return False

    def send_command(
        self, words: list[bytes], begun: Callable[[], None] = nothing
    ) -> "Deferred[PodResponse | BrokenConnection]":
        """Sends a command. The Deferred fires with a PodResponse or a BrokenConnection.

        begun() is called before that, where a response comes in part or can't be read: the endpoint
        has written it.
        """
        waiting: Deferred[PodResponse | BrokenConnection] = Deferred()
        self.pending_response = waiting
        self.begun = begun
        self.write_whole(resp.command(words))
        return waiting

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        try:
            self._read(data)
        except Exception as error:  # a fault here must cost this connection alone
            self.owner.fault("pod connection", error)
            self.drop("fault")

    def _read(self, data: bytes) -> None:
        messages, fault = self._parse(data)
        if self.pending_response is None or not self.written:
            self.drop("an answer that nothing asked for")
            return
        answer = read_answer(messages[0]) if messages else None
        if answer is not None:
            more = fault is not None or len(messages) > 1
            self._answered(self.pending_response, answer, more)
            return
        if not self.parser.begins_with(b"-"):
            begun = self.begun
            self.begun = nothing
            begun()
        if fault or messages:
            self.drop(fault or "unreadable answer")

    def _parse(self, data: bytes) -> tuple[list[Any], str | None]:
        """The messages that are complete now, and what is wrong behind them."""
        messages: list[Any] = []
        fault = None
        try:
            messages += self.parser.feed(data)
        except resp.MalformedRespError as error:
            fault = f"unreadable answer: {error}"
        if self.parser.held > MOST_ANSWER:
            fault = fault or f"an answer of over {MOST_ANSWER} bytes"
        if fault:  # what is wrong behind a complete value does not make it another one
            messages = messages or [[value] for value in self.parser.first_part()]
        return messages, fault

    def _answered(
        self,
        waiting: "Deferred[PodResponse | BrokenConnection]",
        answer: PodResponse,
        more: bool,
    ) -> None:
        """Tells the response; the connection is used again if nothing else came."""
        self.pending_response = None
        # A late response tells nevertheless that the request ran.
        try:
            if self.given_up or more or self.parser.held or not self.is_clean():
                self.drop("more came than was asked for, or the end")
            else:
                self.begun = nothing  # an idle connection keeps nothing of what was answered
                self.owner.response_received(self)
        finally:  # whatever befalls the connection, this was answered
            waiting.callback(answer)

    def drop(self, reason: str) -> None:
        """Ends the connection; an attempt still waiting on it has failed."""
        # It is lost a turn of the event loop later: nothing is written to it until then.
        self.owner.connection_closing(self)
        self.transport.abortConnection()
        self._broken(reason)
        # What was read and carried is not kept for as long as a closed connection is known.
        self.parser = resp.Parser(0)
        self.begun = nothing
        self.attempt = None

    def give_up(self) -> None:
        """Ends the attempt at once, since another may be written next.

        An attempt is out while its connection is open for sending. What is on its way back is still
        read, for as long as the owner lets it.
        """
        self.given_up = True
        if not self.written:
            self.drop("given up")
            return
        try:
            self.transport.getHandle().shutdown(socket.SHUT_WR)
        except OSError:
            self.drop("given up")

    def _broken(self, reason: str) -> None:
        waiting = self.pending_response
        self.pending_response = None
        if waiting is not None:
            waiting.callback(self.how_far(reason))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.owner.connection_lost(self)
        waiting = self.pending_response
        if waiting is not None and self.written:
            # Complete, and cut behind it: as where something wrong follows.
            for value in self.parser.first_part():
                self.pending_response = None
                waiting.callback(PodResponse(value, None, None))
        self._broken(reason.getErrorMessage())


class PodConnector(ClientFactory):
    """One attempt to connect; where it fails, the Deferred fires with a BrokenConnection."""

    noisy = False

    def __init__(self, owner: Any, pool: Any) -> None:
        self.owner = owner
        self.pool = pool
        self.failed: Deferred[BrokenConnection] = Deferred()
        self.deadline: int | None = None

    def buildProtocol(self, address: Any) -> PodConnection:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        return PodConnection(self.owner, self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802 (Twisted's name)
        """Called by Twisted."""
        self.failed.callback(BrokenConnection(NOT_CONNECTED, reason.getErrorMessage()))
