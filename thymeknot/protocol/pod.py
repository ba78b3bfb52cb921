"""A connection to a pod: one delivery at a time. How it ended is a value, by a Deferred, and never raised."""

import socket
from typing import NamedTuple, Optional

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol

from . import resp
from .write_progress import NOT_CONNECTED, BrokenConnection, WholeWriter, nothing_waits

MOST_VALUE = (
    512 * 1024
)  # a value is 64 KiB at most, by the protocol; pods were seen to send up to 400,000 bytes
MOST_ANSWER = MOST_VALUE + 64 * 1024  # all its parts: what goes on beyond that has no end
MOST_REPORT = 4 * 1024  # a longer load report is none: to read it would hold up all others
PARTS = 3  # of a good answer: the value, null, the load report or null


class PodResponse(NamedTuple):
    """What a pod answered: its value and its load report, or the text of its failure."""

    value: Optional[memoryview]
    report: Optional[bytes]
    failure: Optional[str]


def read_answer(message):
    """An Answer, or None where the message is none that a pod gives."""
    if isinstance(message, resp.Failure):
        return PodResponse(None, None, message.text)
    if isinstance(message, list) and message and isinstance(message[0], memoryview):
        report = message[2] if len(message) == PARTS else None
        told = isinstance(report, memoryview) and len(report) <= MOST_REPORT
        return PodResponse(message[0], bytes(report) if told else None, None)
    return None


def nothing(*_):
    """For a delivery of which nobody asks to hear when its answer begins."""


class AnswerParser(resp.Parser):
    """For answers: an array has no arrays in it, or few bytes would make a parser go through many parts again and
    again."""

    def _array(self, buffer, at, length, depth):
        if depth:
            raise resp.MalformedRespError("an array in an answer")
        return super()._array(buffer, at, length, depth)


class PodConnection(WholeWriter, Protocol):
    """Its owner is told of made(connection), ready(connection), ending(connection) and lost(connection)."""

    def __init__(self, owner, connector):
        self.owner, self.connector, self.parser = owner, connector, AnswerParser(MOST_VALUE)
        self.waiting, self.given_up, self.slot, self.used_at, self.rests_until = (
            None,
            False,
            None,
            None,
            None,
        )
        self.begun, self.timers, self.delivery = nothing, [], None

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.owner.made(self)

    def clean(self):
        """Whether nothing has come since the last answer: not its second copy, and not the end."""
        return nothing_waits(self.transport)

    def is_to_itself(self):
        """Whether both ends are this one: a machine may dial from the very port that it dials where nobody listens
        there, and what is written comes back, which reads as an answer."""
        try:
            return self.transport.getHost() == self.transport.getPeer()
        except (OSError, TypeError):  # it has gone already, or has no address of its own
            return False

    def deliver(self, words, begun=nothing):
        """Sends a command. The Deferred fires with an Answer or a Broken; begun() is called before, where an answer
        comes in part or can't be read: the pod has written it."""
        self.waiting, self.begun = Deferred(), begun
        self.write_whole(resp.command(words))
        return self.waiting

    def dataReceived(self, data):
        try:
            self._read(data)
        except Exception as error:  # a fault here must cost this connection alone
            self.owner.fault("pod connection", error)
            self.drop("fault")

    def _read(self, data):
        messages, wrong = [], None
        try:
            messages += self.parser.feed(data)
        except resp.MalformedRespError as error:
            wrong = f"unreadable answer: {error}"
        if self.parser.held > MOST_ANSWER:
            wrong = wrong or f"an answer of over {MOST_ANSWER} bytes"
        if wrong:  # what is wrong behind a whole value does not make it another one
            messages = messages or [[value] for value in self.parser.first_part()]
        if self.waiting is None or not self.written:
            return self.drop("an answer that nothing asked for")
        answer = read_answer(messages[0]) if messages else None
        if answer is None:
            if not self.parser.begins_with(b"-"):
                begun, self.begun = self.begun, nothing
                begun()
            return self.drop(wrong or "unreadable answer") if wrong or messages else None
        waiting, self.waiting = self.waiting, None
        # Too late for the client, but it tells that the transaction ran; or with more than belongs to it.
        try:
            if self.given_up or wrong or len(messages) > 1 or self.parser.held or not self.clean():
                self.drop("more came than was asked for, or the end")
            else:
                self.begun = (
                    nothing  # nor is what was answered kept by a connection that stands idle
                )
                self.owner.ready(self)
        finally:  # whatever befalls the connection, this was answered
            waiting.callback(answer)

    def drop(self, reason):
        """Ends the connection; a delivery still waiting on it has failed."""
        self.owner.ending(
            self
        )  # it is lost a turn of the loop later: nothing is written to it until then
        self.transport.abortConnection()
        self._broken(reason)
        # What was read and carried is not kept for as long as a closed connection is known.
        self.parser, self.begun, self.delivery = resp.Parser(0), nothing, None

    def give_up(self):
        """Ends the delivery at once, for another may be written next: one is out while its connection is open
        for sending. What is on its way back is still read, for as long as the owner lets it."""
        self.given_up = True
        if not self.written:
            return self.drop("given up")
        try:
            self.transport.getHandle().shutdown(socket.SHUT_WR)
        except OSError:
            self.drop("given up")

    def _broken(self, reason):
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.callback(self.how_far(reason))

    def connectionLost(self, reason):
        self.owner.lost(self)
        if self.waiting is not None and self.written:
            for value in (
                self.parser.first_part()
            ):  # whole, and cut behind it: as where something wrong follows
                waiting, self.waiting = self.waiting, None
                waiting.callback(PodResponse(value, None, None))
        self._broken(reason.getErrorMessage())


class PodConnector(ClientFactory):
    """One attempt to connect; where it fails, the Deferred fires with a Broken."""

    noisy = False

    def __init__(self, owner, pool):
        self.owner, self.pool, self.failed, self.deadline = owner, pool, Deferred(), None

    def buildProtocol(self, address):
        return PodConnection(self.owner, self)

    def clientConnectionFailed(self, connector, reason):
        self.failed.callback(BrokenConnection(NOT_CONNECTED, reason.getErrorMessage()))
