"""A blocking client of the Raft nodes for the command line and for tests, without an event loop."""

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

ATTEMPT_SECONDS = 1.0
"""How long an answer to one attempt is waited for."""

PAUSE_SECONDS = 0.05
"""Between two attempts, so that an election under way is not met with a storm of them."""

PATIENCE_SECONDS = 10.0
"""How long a command or a read is tried unless the caller says otherwise."""

BOX_FIELDS = 16
"""Fields that are read of one box; those of the protocol have four at most."""

BOX_LENGTH = struct.Struct(">H")
"""The length before each key and value of an AMP box, in bytes."""


class NoAnswerError(Exception):
    """No node answered within the time: the command may have been carried out, or not."""


class _Connection(NamedTuple):
    """An open connection to one node.

    Attributes:
        reader: What comes in, buffered.
        sock: The socket.
        session: Both ends' shares of the session, which each message is signed for.
        number: The number of the last message on it.
    """

    reader: BinaryIO
    sock: socket.socket
    session: bytes
    number: int

    def close(self) -> None:
        self.reader.close()
        self.sock.close()


class BlockingClient:
    """Sends one command or read at a time, and retries it at the other nodes."""

    def __init__(
        self,
        identity: Identity,
        ring: Keyring,
        addresses: Mapping[str, str],
        word: str,
        incarnation: int,
    ) -> None:
        """Connects to nobody yet.

        Args:
            identity: The name and private key that the client signs with.
            ring: The public keys of the nodes.
            addresses: HOST:PORT by node's name.
            word: Tells this client apart from others of the same identity.
            incarnation: A number that grows with each client of that word.
        """
        self.identity = identity
        self.ring = ring
        self.addresses = dict(addresses)
        self.origin = f"{identity.name}/{word}"
        self.incarnation = incarnation
        self.number = 0
        self.leader: Optional[str] = None
        self.turn = 0
        self.connections: dict[str, _Connection] = {}

    def propose(self, command: dict[str, Any], within: float = PATIENCE_SECONDS) -> dict[str, Any]:
        """Has a command carried out, and returns the reply.

        Args:
            command: The command, a mapping of plain values.
            within: Seconds until it is given up.

        Raises:
            NoAnswerError: No node answered in time; `retry` asks once more under the same number.
        """
        self.number += 1
        return self.retry(command, within)

    def retry(self, command: dict[str, Any], within: float = PATIENCE_SECONDS) -> dict[str, Any]:
        """Retries the last command under its number, so that it counts once.

        Args:
            command: The command that was proposed last.
            within: Seconds until it is given up.

        Raises:
            NoAnswerError: No node answered in time.
        """
        return self._ask(
            message_codec.PROPOSE,
            {
                "command": command,
                "origin": self.origin,
                "incarnation": self.incarnation,
                "number": self.number,
            },
            within,
        )

    def read(self, query: dict[str, Any], within: float = PATIENCE_SECONDS) -> dict[str, Any]:
        """Returns the reply to a query, which changes nothing.

        Args:
            query: The query, a mapping of plain values.
            within: Seconds until it is given up.

        Raises:
            NoAnswerError: No node answered in time.
        """
        return self._ask(message_codec.READ, {"query": query}, within)

    def ask_node(self, name: str, kind: int, question: dict[str, Any]) -> dict[str, Any]:
        """Asks one node once, and returns its answer.

        Args:
            name: The node's name.
            kind: PROPOSE or READ.
            question: What is sent, before it is encoded and signed.

        Returns:
            {"reply": reply}, or `why`, `again`, `leader` and `unknown` where it gave none.

        Raises:
            OSError: The connection can't be made, or ended.
            KeyError: The answer lacks a field.
            MessageError: The node rejected the message, or its answer can't be trusted.
        """
        connection = self.connections.pop(name, None) or self._connect(name)
        number = connection.number + 1
        try:
            signed = message_codec.sign_message(
                self.identity,
                name,
                connection.session,
                number,
                kind,
                msgspec.msgpack.encode(question),
            )
            connection.sock.sendall(_box_bytes(_command=b"Ask", _ask=b"%d" % number, **signed))
            answer = self._open(name, connection, _read_box(connection.reader))
        except BaseException:
            connection.close()  # an answer that still comes would be taken for the next one's
            raise
        self.connections[name] = connection._replace(number=number)
        return answer

    def _open(self, name: str, connection: _Connection, box: dict[bytes, bytes]) -> dict[str, Any]:
        """The answer in a box, once it is proven to be the node's, to the message sent last."""
        if b"_error_description" in box:
            raise message_codec.MessageError(
                "refused", box[b"_error_description"].decode("utf-8", "replace")
            )
        message = message_codec.open_message(
            self.ring,
            time.time(),
            self.identity.name,
            connection.session,
            connection.number,
            box[b"key"],
            box[b"content"],
            box[b"signature"],
        )
        expected = (name, message_codec.REPLY, connection.number + 1)
        if (message.sender, message.kind, message.number) != expected:
            raise message_codec.MessageError("misled", "an answer to another question")
        return message_codec.decode_mapping(message.body)

    def _connect(self, name: str) -> _Connection:
        """Connects, and agrees on a session."""
        sock = socket.create_connection(
            parse_address(self.addresses[name]), timeout=ATTEMPT_SECONDS
        )
        reader = sock.makefile("rb")
        nonce = message_codec.new_nonce()
        try:
            sock.sendall(_box_bytes(_command=b"Hello", _ask=b"0", nonce=nonce))
            return _Connection(reader, sock, nonce + _read_box(reader)[b"nonce"], 0)
        except BaseException:
            reader.close()
            sock.close()
            raise

    def _ask(self, kind: int, question: dict[str, Any], within: float) -> dict[str, Any]:
        """Asks the leader, or the nodes in turn, until one gives a reply."""
        deadline = time.monotonic() + within
        names = sorted(self.addresses)
        while time.monotonic() < deadline:
            name = self.leader or names[self.turn % len(names)]
            try:
                answer = self.ask_node(name, kind, question)
            except (OSError, KeyError, message_codec.MessageError):
                answer = {}
            if "reply" in answer:
                self.leader = name
                reply: dict[str, Any] = answer["reply"]
                return reply
            if _is_final(answer, name):
                return {"refused": answer["why"], "by": [], "again": 0}
            self.turn += 1
            leader = answer.get("leader")
            self.leader = leader if leader in self.addresses else None
            time.sleep(PAUSE_SECONDS)
        raise NoAnswerError(f"no keeper answered within {within:g} s")

    def close(self) -> None:
        """Closes all connections."""
        for connection in self.connections.values():
            connection.close()
        self.connections.clear()


def _is_final(answer: dict[str, Any], name: str) -> bool:
    """Whether the leader itself rejected the question, so that no retry would be taken."""
    return (
        answer.get("again", 0) is None
        and not answer.get("unknown")
        and answer.get("leader") == name
    )


def _box_bytes(**fields: bytes) -> bytes:
    """An AMP box of these fields as it is sent."""
    content: bytes = Box(**fields).serialize()  # type: ignore[no-untyped-call]  # twisted's
    return content


def _read_box(reader: BinaryIO) -> dict[bytes, bytes]:
    """The next AMP box: its values by key. The lengths of its form bound its size.

    Raises:
        OSError: The connection ended, or the box has too many fields.
    """
    box: dict[bytes, bytes] = {}
    try:
        for _ in range(BOX_FIELDS):
            (length,) = BOX_LENGTH.unpack(reader.read(2))
            if not length:
                return box
            key = reader.read(length)
            (length,) = BOX_LENGTH.unpack(reader.read(2))
            box[key] = reader.read(length)
    except struct.error:
        raise OSError("the connection ended") from None
    raise OSError("a box of too many fields")
