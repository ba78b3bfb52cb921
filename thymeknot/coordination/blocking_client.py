"""A blocking client of the Raft nodes, without an event loop, for the command line and tests."""

import socket
import struct
import time
from collections.abc import Mapping
from typing import Any, BinaryIO, NamedTuple, Optional

import msgspec
from twisted.protocols.amp import Box

from ..gossip.keyring import Identity, Keyring
from ..gossip.settings import parse_address
from ..raft import message_codec

ATTEMPT_TIMEOUT_SECONDS = 1.0
"""Socket timeout of one attempt at one node."""

RETRY_INTERVAL_SECONDS = 0.05
"""Pause between two attempts, so that retries do not flood the nodes during an election."""

DEFAULT_TIMEOUT_SECONDS = 10.0
"""Default time after which a command or a read is given up."""

MAX_BOX_FIELDS = 16
"""Maximum number of fields in a received box; the protocol's boxes have at most four."""

LENGTH_PREFIX = struct.Struct(">H")
"""The length in bytes that precedes each key and value of an AMP box."""


class NoAnswerError(Exception):
    """No node replied within the timeout. The command may or may not have been applied."""


class _Connection(NamedTuple):
    """An open connection to one node.

    Attributes:
        reader: Buffered reader of the socket.
        sock: The socket.
        session: The nonces of both ends, which the signature of each message covers.
        last_number: The number of the last message on the connection.
    """

    reader: BinaryIO
    sock: socket.socket
    session: bytes
    last_number: int

    def close(self) -> None:
        self.reader.close()
        self.sock.close()


class BlockingClient:
    """Sends one command or read at a time, and retries it at the other nodes if necessary."""

    def __init__(
        self,
        identity: Identity,
        keyring: Keyring,
        addresses: Mapping[str, str],
        client_name: str,
        incarnation: int,
    ) -> None:
        """Creates the client; connections are opened when they are needed.

        Args:
            identity: The name and private key that the client signs with.
            keyring: The keyring with the public keys of the nodes.
            addresses: HOST:PORT of each node, by name.
            client_name: Distinguishes this client from others of the same identity.
            incarnation: A number that grows with each client of the same name.
        """
        self.identity = identity
        self.keyring = keyring
        self.addresses = dict(addresses)
        self.origin = f"{identity.name}/{client_name}"
        self.incarnation = incarnation
        self.last_command_number = 0
        self.leader: Optional[str] = None
        self.next_node = 0
        self.connections: dict[str, _Connection] = {}

    def propose(
        self, command: dict[str, Any], timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> dict[str, Any]:
        """Submits a command and returns the reply.

        Args:
            command: The command, a mapping of plain values.
            timeout_seconds: Seconds after which to give up.

        Raises:
            NoAnswerError: No node replied in time; `retry` sends the same command again.
        """
        self.last_command_number += 1
        return self.retry(command, timeout_seconds)

    def retry(
        self, command: dict[str, Any], timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> dict[str, Any]:
        """Sends the last command again under the same number, so that it is applied only once.

        Args:
            command: The command that was passed to the last call of `propose`.
            timeout_seconds: Seconds after which to give up.

        Raises:
            NoAnswerError: No node answered in time.
        """
        return self._request_until_reply(
            message_codec.PROPOSE,
            {
                "command": command,
                "origin": self.origin,
                "incarnation": self.incarnation,
                "number": self.last_command_number,
            },
            timeout_seconds,
        )

    def read(
        self, query: dict[str, Any], timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> dict[str, Any]:
        """Returns the reply to a query, which changes nothing.

        Args:
            query: The query, a mapping of plain values.
            timeout_seconds: Seconds after which to give up.

        Raises:
            NoAnswerError: No node answered in time.
        """
        return self._request_until_reply(message_codec.READ, {"query": query}, timeout_seconds)

    def ask_node(self, name: str, kind: int, request: dict[str, Any]) -> dict[str, Any]:
        """Sends one request to one node, without a retry, and returns the response.

        Args:
            name: Name of the node.
            kind: PROPOSE or READ.
            request: The request as a mapping, before it is encoded and signed.

        Returns:
            `{"reply": reply}`, or a mapping with `why`, `again`, `leader` and `unknown` if the node
            has no reply.

        Raises:
            OSError: The connection failed or was closed.
            KeyError: The response lacks a field.
            MessageError: The node rejected the message, or its response is not authentic.
        """
        connection = self.connections.pop(name, None) or self._connect(name)
        number = connection.last_number + 1
        try:
            signed = message_codec.sign_message(
                self.identity,
                name,
                connection.session,
                number,
                kind,
                msgspec.msgpack.encode(request),
            )
            connection.sock.sendall(_encode_box(_command=b"Ask", _ask=b"%d" % number, **signed))
            response = self._verify_response(name, connection, _read_box(connection.reader))
        except BaseException:
            connection.close()  # a late response would be taken for that to the next request
            raise
        self.connections[name] = connection._replace(last_number=number)
        return response

    def _verify_response(
        self, name: str, connection: _Connection, box: dict[bytes, bytes]
    ) -> dict[str, Any]:
        """Returns the response in a box, after verifying that the node sent it for this request."""
        if b"_error_description" in box:
            raise message_codec.MessageError(
                "refused", box[b"_error_description"].decode("utf-8", "replace")
            )
        message = message_codec.open_message(
            self.keyring,
            time.time(),
            self.identity.name,
            connection.session,
            connection.last_number,
            box[b"key"],
            box[b"content"],
            box[b"signature"],
        )
        expected = (name, message_codec.REPLY, connection.last_number + 1)
        if (message.sender, message.kind, message.number) != expected:
            raise message_codec.MessageError("misled", "the response belongs to another request")
        return message_codec.decode_mapping(message.body)

    def _connect(self, name: str) -> _Connection:
        """Connects to a node and exchanges the nonces of the session."""
        sock = socket.create_connection(
            parse_address(self.addresses[name]), timeout=ATTEMPT_TIMEOUT_SECONDS
        )
        reader = sock.makefile("rb")
        nonce = message_codec.new_nonce()
        try:
            sock.sendall(_encode_box(_command=b"Hello", _ask=b"0", nonce=nonce))
            return _Connection(reader, sock, nonce + _read_box(reader)[b"nonce"], 0)
        except BaseException:
            reader.close()
            sock.close()
            raise

    def _request_until_reply(
        self, kind: int, request: dict[str, Any], timeout_seconds: float
    ) -> dict[str, Any]:
        """Sends a request to the leader, or to the nodes in turn, until one gives a reply."""
        deadline = time.monotonic() + timeout_seconds
        names = sorted(self.addresses)
        while time.monotonic() < deadline:
            name = self.leader or names[self.next_node % len(names)]
            try:
                response = self.ask_node(name, kind, request)
            except (OSError, KeyError, message_codec.MessageError):
                response = {}
            if "reply" in response:
                self.leader = name
                reply: dict[str, Any] = response["reply"]
                return reply
            if _is_final(response, name):
                return {"refused": response["why"], "by": [], "again": 0}
            self.next_node += 1
            leader = response.get("leader")
            self.leader = leader if leader in self.addresses else None
            time.sleep(RETRY_INTERVAL_SECONDS)
        raise NoAnswerError(f"no keeper answered within {timeout_seconds:g} s")

    def close(self) -> None:
        """Closes all connections."""
        for connection in self.connections.values():
            connection.close()
        self.connections.clear()


def _is_final(response: dict[str, Any], name: str) -> bool:
    """Returns whether the leader itself rejected the request, so that a retry is useless."""
    return (
        response.get("again", 0) is None
        and not response.get("unknown")
        and response.get("leader") == name
    )


def _encode_box(**fields: bytes) -> bytes:
    """Encodes the fields as an AMP box."""
    content: bytes = Box(**fields).serialize()  # type: ignore[no-untyped-call]  # twisted's
    return content


def _read_box(reader: BinaryIO) -> dict[bytes, bytes]:
    """Reads the next AMP box and returns its values by key.

    The number of fields and their two-byte lengths limit its size.

    Raises:
        OSError: The connection was closed, or the box has more than MAX_BOX_FIELDS fields.
    """
    box: dict[bytes, bytes] = {}
    try:
        for _ in range(MAX_BOX_FIELDS):
            (length,) = LENGTH_PREFIX.unpack(reader.read(2))
            if not length:
                return box
            key = reader.read(length)
            (length,) = LENGTH_PREFIX.unpack(reader.read(2))
            box[key] = reader.read(length)
    except struct.error:
        raise OSError("connection closed while reading a box") from None
    raise OSError("a box has too many fields")
