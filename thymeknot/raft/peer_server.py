"""Connects a Raft node to sockets, timers and its disk.

The server passes incoming events to the node and carries out the effects that it returns. Messages
that are not valid (forged, replayed, oversized, nonsense) are counted in `rejected`, by kind, and
never reach the node.
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
"""Maximum number of incoming connections; each uses a file descriptor and buffers."""
MAX_NUMBER = 1 << 62
"""Exclusive limit of incarnations and sequence numbers, well within msgpack's 64-bit integers."""
MAX_LOGGED_ORIGIN = 40
"""Maximum number of characters of a forged origin that are logged."""


class _PendingRequest(NamedTuple):
    """A client's request that the node has not answered yet.

    Attributes:
        answer: Fires with the body of the reply to the client.
        query: The query of a read; None for a command.
    """

    answer: Deferred[dict[str, Any]]
    query: dict[str, Any] | None


class PeerServer:
    """Runs one Raft node: its connections, its timer and its storage.

    Args:
        reactor: Twisted's event loop.
        timers: Timers of the process.
        identity: The identity that this node signs with.
        keyring: Returns the current keyring.
        allowed_hosts: The hosts that may connect.
        channels: Channels to the other nodes, by name.
        make_node: Creates the node from the state that the storage recovered, given the time.
        storage: Storage of this node.
        answer_query: Answers a query from the current state of the state machine without changing
            it.
    """

    def __init__(  # noqa: PLR0917  # other packages pass them by position
        self,
        reactor: Any,
        timers: Timers,
        identity: Signer,
        keyring: Callable[[], Verifier],
        allowed_hosts: Container[str],
        channels: Mapping[str, PeerChannel],
        make_node: Callable[[Ticks], RaftNode],
        storage: RaftStorage,
        answer_query: Callable[[dict[str, Any] | None], Any],
    ) -> None:
        self.allowed_hosts = allowed_hosts
        self.rejected: Counter[str] = Counter()
        self.connections: set[IncomingConnection] = set()
        self._reactor = reactor
        self._timers = timers
        self._clock = timers.clock
        self._identity = identity
        self._keyring = keyring
        self._channels = channels
        self._storage = storage
        self._answer_query = answer_query
        self._write_in_progress = False
        self._waiting_writes: list[Persist] = []
        self._pending_requests: dict[Hashable, _PendingRequest] = {}  # by token
        self._token = 0  # token of the last request
        self._closed = False
        self._port: Any = None  # Twisted's listening port
        self._logged_role: Role | None = None
        self._effect_handlers: dict[type[Effect], Callable[[Any], None]] = {
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
        # A new node has not set its timer yet, so it is started by an early TimerDue.
        self._timer: int | None = timers.add(self._clock() + 1, self._timer_expired)

    def listen(self, host: str, port: int) -> None:
        """Starts to accept connections.

        Raises:
            CannotListenError: The port can't be listened on.
        """
        factory = IncomingFactory(self)
        self._port = self._reactor.listenTCP(port, factory, interface=host)

    def close(self) -> None:
        """Closes all connections; the storage is closed once a write in progress has finished."""
        self._closed = True
        if self._port is not None:
            self._port.stopListening()
        for connection in list(self.connections):
            connection.abort()
        if self._timer is not None:
            self._timers.cancel(self._timer)
        if not self._write_in_progress:
            self._storage.close()

    # Incoming messages.

    def accept(self, address: Any) -> IncomingConnection | None:
        """Returns the protocol for a connection from this address, or None to reject it."""
        if address.host not in self.allowed_hosts:
            self.count_rejected("elsewhere", f"{address.host} is not in the allowed networks")
            return None
        if len(self.connections) >= MAX_CONNECTIONS:
            self.count_rejected("crowded", f"the maximum of {MAX_CONNECTIONS} connections is open")
            return None
        return IncomingConnection(self)

    def count_rejected(self, kind: str, reason: str) -> None:
        """Counts and logs a rejected connection or message."""
        self.rejected[kind] += 1
        _structured_log.log_rate_limited(
            "message rejected", kind=kind, why=reason, count=self.rejected[kind]
        )

    def verify(self, session: bytes, last_number: int, signed: SignedArguments) -> SignedMessage:
        """Verifies and decodes a signed message.

        Args:
            session: Session id of the connection.
            last_number: Sequence number of the last message in this session.
            signed: Arguments of the AMP command.

        Raises:
            MessageError: The message is not valid on this connection.
        """
        return open_message(
            self._keyring(), time.time(), self._identity.name, session, last_number, **signed
        )

    def handle_peer_message(self, message: SignedMessage) -> None:
        """Passes another node's message to the node.

        Raises:
            MessageError: The message is malformed or not from another node.
        """
        if message.kind != PEER or message.sender not in self._channels:
            raise MessageError(
                "nonsense", f"{message.sender} is not another node, or this is no Raft message"
            )
        try:
            decoded = decode_message(message.body)
        except MessageDecodeError as error:
            raise MessageError("nonsense", str(error)) from error
        self.handle_event(MessageReceived(message.sender, decoded))

    def handle_client_request(self, message: SignedMessage) -> Deferred[dict[str, Any]]:
        """Passes a client's command or query to the node.

        Returns:
            A Deferred of the body of the reply.

        Raises:
            MessageError: The message is neither a valid command nor a valid query. The client
                receives the text, so it is part of the protocol.
        """
        body = decode_mapping(message.body)
        self._token += 1
        event: CommandProposed | ReadRequested
        if message.kind == READ and isinstance(body.get("query"), dict):
            event = ReadRequested(self._token)
        elif message.kind == PROPOSE and isinstance(body.get("command"), dict):
            event = self._decode_proposal(message.sender, body)
        else:
            raise MessageError("nonsense", "neither a command nor a query")
        answer: Deferred[dict[str, Any]] = Deferred()
        self._pending_requests[self._token] = _PendingRequest(answer, body.get("query"))
        self.handle_event(event)
        return answer

    def _decode_proposal(self, sender: str, body: dict[str, Any]) -> CommandProposed:
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

    def sign_reply(
        self, request: SignedMessage, session: bytes, reply_body: dict[str, Any]
    ) -> SignedArguments:
        """Returns the arguments of a signed reply, or of a rejection if the reply is too long."""
        try:
            return self._sign_reply_body(request, session, reply_body)
        except MessageError as error:
            reason = f"the answer: {error}; ask for less"
            return self._sign_reply_body(request, session, {"reply": rejection(reason)})

    def _sign_reply_body(
        self, request: SignedMessage, session: bytes, reply_body: dict[str, Any]
    ) -> SignedArguments:
        encoded = msgspec.msgpack.encode(reply_body)
        return sign_message(self._identity, request.sender, session, request.number, REPLY, encoded)

    # Events and effects of the node.

    def handle_event(self, event: Event) -> None:
        """Passes an event to the node and carries out the effects."""
        if self._closed:
            return
        node = self.raft_node
        for effect in node.handle(self._clock(), event):
            self._effect_handlers[type(effect)](effect)
        if node.role != self._logged_role:
            self._logged_role = node.role
            _structured_log.log("raft role", role=node.role, term=node.term)

    def _timer_expired(self) -> None:
        self._timer = None
        self.handle_event(TimerDue())

    def _set_timer(self, effect: SetTimer) -> None:
        if self._timer is not None:
            self._timers.cancel(self._timer)
        self._timer = self._timers.add(effect.at, self._timer_expired)

    def _send(self, effect: Send) -> None:
        channel = self._channels.get(effect.peer)
        if channel is not None:
            channel.send(encode_message(effect.message))

    def _persist(self, effect: Persist) -> None:
        self._waiting_writes.append(effect)
        if not self._write_in_progress:
            self._write_waiting()

    def _write_waiting(self) -> None:
        """Writes all waiting records as one batch, so that they share one sync."""
        batch = self._waiting_writes
        self._waiting_writes = []
        self._write_in_progress = True
        records = [record for effect in batch for record in effect.records]
        write_result = deferToThread(self._storage.persist, records)
        write_result.addCallbacks(self._write_finished, self._write_failed, (batch[-1].serial,))

    def _write_finished(self, error: WriteFault | None, serial: int) -> None:
        self._write_in_progress = False
        if self._closed:
            self._storage.close()
            return
        if error is not None:
            _structured_log.log("raft storage failed", error=error.reason)
            self.handle_event(DiskFailed(error.reason))
            return
        if self._waiting_writes:
            self._write_waiting()
        self.handle_event(RecordsStored(serial))

    def _write_failed(self, failure: Failure) -> None:
        self._write_in_progress = False
        _structured_log.log("raft storage failed", error=str(failure.value))
        self.handle_event(DiskFailed(str(failure.value)))

    def _answer_request(self, token: Hashable, reply_body: dict[str, Any]) -> None:
        pending = self._pending_requests.pop(token, None)
        if pending is not None:
            pending.answer.callback(reply_body)

    def _command_completed(self, effect: CommandCompleted) -> None:
        self._answer_request(effect.token, {"reply": effect.reply})

    def _read_ready(self, effect: ReadReady) -> None:
        pending = self._pending_requests.get(effect.token)
        try:
            reply = self._answer_query(pending.query if pending else None)
        except Exception as error:  # a failing query must not stop the node
            _structured_log.log_exception("query", error)
            reply = rejection("the query can't be answered")
        self._answer_request(effect.token, {"reply": reply})

    def _request_rejected(self, effect: RequestRejected) -> None:
        reply_body = {
            "why": effect.reason,
            "again": effect.retry_after,
            "leader": effect.leader,
            "unknown": effect.reason.startswith("unknown"),
        }
        self._answer_request(effect.token, reply_body)

    def _stepped_down(self, effect: SteppedDown) -> None:
        _structured_log.log("raft node stepped down", why=effect.reason)
