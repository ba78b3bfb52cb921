"""A node on sockets, a clock and a disk: carries out its effects, and gives it what comes in.

What can't be accepted (forged, replayed, oversized, nonsense) is counted in `rejected`, by kind,
and never reaches the node.
"""

import time
from collections import Counter
from collections.abc import Callable, Container, Hashable, Mapping
from typing import Any, NamedTuple

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure

from ..interface.clock import Ticks
from ..service import structured_log
from .client import Timers
from .errors import MessageDecodeError, MessageError
from .incoming_connection import IncomingConnection, IncomingFactory
from .message_codec import (
    PEER,
    PROPOSE,
    READ,
    REPLY,
    SignedArguments,
    SignedMessage,
    Signer,
    Verifier,
    decode_mapping,
    open_message,
    sign_message,
)
from .messages import decode_message, encode_message
from .node import RaftNode
from .node_interface import (
    CommandCompleted,
    CommandProposed,
    DiskFailed,
    Effect,
    EntryApplied,
    Event,
    MessageReceived,
    Persist,
    ReadReady,
    ReadRequested,
    RecordsStored,
    RequestRejected,
    Send,
    SetTimer,
    SteppedDown,
    TimerDue,
)
from .peer_channel import PeerChannel
from .roles import Role
from .state_machine import rejection
from .storage import RaftStorage, WriteFault

_structured_log: Any = structured_log  # its functions have no annotations yet

MAX_CONNECTIONS = 1_024
"""Incoming ones; each costs a descriptor and buffers."""
MAX_NUMBER = 1 << 62
"""Bound of clients' incarnations and numbers, well within msgpack's integers of 64 bits."""
MAX_LOGGED_ORIGIN = 40
"""Characters of a forged origin that are logged."""


class _PendingRequest(NamedTuple):
    """A client's request that the node has.

    Attributes:
        answer: what the client is told.
        query: of a read.
    """

    answer: Deferred[dict[str, Any]]
    query: dict[str, Any] | None


class PeerServer:
    """One node's sockets, timer and disk.

    Args:
        reactor: Twisted's.
        timers: of the process.
        identity: what this node signs with.
        ring: gives the keyring of now.
        allowed_hosts: the hosts that may connect.
        channels: the ways to the other nodes, by name.
        make_node: makes the node, given the moment, with what the storage gave back.
        storage: this node's.
        look: answers a query of the state machine as it stands, and changes nothing.
    """

    def __init__(  # noqa: PLR0917  # other packages pass them by position
        self,
        reactor: Any,
        timers: Timers,
        identity: Signer,
        ring: Callable[[], Verifier],
        allowed_hosts: Container[str],
        channels: Mapping[str, PeerChannel],
        make_node: Callable[[Ticks], RaftNode],
        storage: RaftStorage,
        look: Callable[[dict[str, Any] | None], Any],
    ) -> None:
        self.allowed_hosts = allowed_hosts
        self.rejected: Counter[str] = Counter()
        self.connections: set[IncomingConnection] = set()
        self._reactor = reactor
        self._timers = timers
        self._clock = timers.clock
        self._identity = identity
        self._ring = ring
        self._channels = channels
        self._storage = storage
        self._look = look
        self._writing = False
        self._unwritten: list[Persist] = []
        self._pending: dict[Hashable, _PendingRequest] = {}  # by token
        self._token = 0  # of the last request
        self._closed = False
        self._port: Any = None  # Twisted's, that listens
        self._logged_role: Role | None = None
        self._carry_out: dict[type[Effect], Callable[[Any], None]] = {
            Persist: self._persist,
            Send: self._send,
            CommandCompleted: self._command_completed,
            ReadReady: self._read_ready,
            RequestRejected: self._request_rejected,
            EntryApplied: lambda _: None,
            SetTimer: self._set_timer,
            SteppedDown: self._stepped_down,
        }
        self.raft_node = make_node(self._clock())
        # A node that was just made has not said yet when it wants to be woken.
        self._timer: int | None = timers.add(self._clock() + 1, self._timer_due)

    def listen(self, host: str, port: int) -> None:
        """Begins to listen.

        Raises:
            CannotListenError: Twisted's.
        """
        factory = IncomingFactory(self)
        self._port = self._reactor.listenTCP(port, factory, interface=host)

    def close(self) -> None:
        """Finishes what is being written; nothing more is sent."""
        self._closed = True
        if self._port is not None:
            self._port.stopListening()
        for connection in list(self.connections):
            connection.abort()
        if self._timer is not None:
            self._timers.cancel(self._timer)
        if not self._writing:
            self._storage.close()

    # What comes in.

    def accept(self, address: Any) -> IncomingConnection | None:
        """A connection from this address, or None if it is rejected."""
        if address.host not in self.allowed_hosts:
            self.reject("elsewhere", f"{address.host} is in none of the networks")
            return None
        if len(self.connections) >= MAX_CONNECTIONS:
            self.reject("crowded", f"{MAX_CONNECTIONS} connections stand")
            return None
        return IncomingConnection(self)

    def reject(self, kind: str, reason: str) -> None:
        """Counts and logs what can't be accepted."""
        self.rejected[kind] += 1
        _structured_log.log_rate_limited(
            "message rejected", kind=kind, why=reason, count=self.rejected[kind]
        )

    def open(self, session: bytes, last: int, signed: SignedArguments) -> SignedMessage:
        """Opens a message of a connection.

        Raises:
            MessageError: it can't be accepted.
        """
        return open_message(self._ring(), time.time(), self._identity.name, session, last, **signed)

    def deliver(self, message: SignedMessage) -> None:
        """Gives the node another node's message.

        Raises:
            MessageError: it is none.
        """
        if message.kind != PEER or message.sender not in self._channels:
            raise MessageError(
                "nonsense", f"{message.sender} is no keeper, or that is no keeper's message"
            )
        try:
            decoded = decode_message(message.body)
        except MessageDecodeError as error:
            raise MessageError("nonsense", str(error)) from error
        self.tell(MessageReceived(message.sender, decoded))

    def ask(self, message: SignedMessage) -> Deferred[dict[str, Any]]:
        """Gives the node a client's command or query.

        Returns:
            A Deferred of what the client is told.

        Raises:
            MessageError: it is neither.
        """
        body = decode_mapping(message.body)
        self._token += 1
        event: CommandProposed | ReadRequested
        if message.kind == READ and isinstance(body.get("query"), dict):
            event = ReadRequested(self._token)
        elif message.kind == PROPOSE and isinstance(body.get("command"), dict):
            event = self._proposal(message.sender, body)
        else:
            raise MessageError("nonsense", "neither a command nor a query")
        answer: Deferred[dict[str, Any]] = Deferred()
        self._pending[self._token] = _PendingRequest(answer, body.get("query"))
        self.tell(event)
        return answer

    def _proposal(self, sender: str, body: dict[str, Any]) -> CommandProposed:
        origin = body.get("origin")
        incarnation = body.get("incarnation")
        number = body.get("number")
        if (
            not isinstance(origin, str)
            or not isinstance(incarnation, int)
            or not isinstance(number, int)
            or not 0 <= incarnation < MAX_NUMBER
            or not 0 <= number < MAX_NUMBER
        ):
            raise MessageError("nonsense", "no origin, incarnation and number")
        if origin != sender and not origin.startswith(sender + "/"):
            raise MessageError(
                "forged", f"{sender} speaks in the name of {origin[:MAX_LOGGED_ORIGIN]}"
            )
        return CommandProposed(self._token, origin, incarnation, number, body["command"])

    def sign_answer(
        self, request: SignedMessage, session: bytes, told: dict[str, Any]
    ) -> SignedArguments:
        """The arguments of a signed answer."""
        try:
            return self._sign_reply(request, session, told)
        except MessageError as error:
            reason = f"the answer: {error}; ask for less"
            return self._sign_reply(request, session, {"reply": rejection(reason)})

    def _sign_reply(
        self, request: SignedMessage, session: bytes, told: dict[str, Any]
    ) -> SignedArguments:
        body = msgspec.msgpack.encode(told)
        return sign_message(self._identity, request.sender, session, request.number, REPLY, body)

    # Into the node and out of it.

    def tell(self, event: Event) -> None:
        """Gives the node an event and carries out the effects."""
        if self._closed:
            return
        node = self.raft_node
        for effect in node.handle(self._clock(), event):
            self._carry_out[type(effect)](effect)
        if node.role != self._logged_role:
            self._logged_role = node.role
            _structured_log.log("raft role", role=node.role, term=node.term)

    def _timer_due(self) -> None:
        self._timer = None
        self.tell(TimerDue())

    def _set_timer(self, effect: SetTimer) -> None:
        if self._timer is not None:
            self._timers.cancel(self._timer)
        self._timer = self._timers.add(effect.at, self._timer_due)

    def _send(self, effect: Send) -> None:
        channel = self._channels.get(effect.peer)
        if channel is not None:
            channel.send(encode_message(effect.message))

    def _persist(self, effect: Persist) -> None:
        self._unwritten.append(effect)
        if not self._writing:
            self._write()

    def _write(self) -> None:
        """Writes all that waits at once: one sync for many."""
        batch = self._unwritten
        self._unwritten = []
        self._writing = True
        records = [record for effect in batch for record in effect.records]
        written = deferToThread(self._storage.persist, records)
        written.addCallbacks(self._written, self._write_failed, (batch[-1].serial,))

    def _written(self, fault: WriteFault | None, serial: int) -> None:
        self._writing = False
        if self._closed:
            self._storage.close()
            return
        if fault is not None:
            _structured_log.log("raft storage failed", error=fault.reason)
            self.tell(DiskFailed(fault.reason))
            return
        if self._unwritten:
            self._write()
        self.tell(RecordsStored(serial))

    def _write_failed(self, failure: Failure) -> None:
        self._writing = False
        _structured_log.log("raft storage failed", error=str(failure.value))
        self.tell(DiskFailed(str(failure.value)))

    def _answer(self, token: Hashable, told: dict[str, Any]) -> None:
        pending = self._pending.pop(token, None)
        if pending is not None:
            pending.answer.callback(told)

    def _command_completed(self, effect: CommandCompleted) -> None:
        self._answer(effect.token, {"reply": effect.reply})

    def _read_ready(self, effect: ReadReady) -> None:
        pending = self._pending.get(effect.token)
        try:
            reply = self._look(pending.query if pending else None)
        except Exception as error:  # a query must not end the node
            _structured_log.log_exception("query", error)
            reply = rejection("the query can't be answered")
        self._answer(effect.token, {"reply": reply})

    def _request_rejected(self, effect: RequestRejected) -> None:
        told = {
            "why": effect.reason,
            "again": effect.retry_after,
            "leader": effect.leader,
            "unknown": effect.reason.startswith("unknown"),
        }
        self._answer(effect.token, told)

    def _stepped_down(self, effect: SteppedDown) -> None:
        _structured_log.log("raft node stepped down", why=effect.reason)
