"""A blocking client of the keepers, for the command line and for tests: it has no loop of its own."""

import socket
import struct
import time

import msgspec
from twisted.protocols.amp import Box

from ..gossip.settings import address
from ..raft import message_codec

STEP = 1.0  # seconds for an answer to one try
PAUSE = 0.05  # between two tries
LENGTH = struct.Struct(">H")


class NoAnswerError(Exception):
    """No keeper answered within the time: what was asked for may have been done, or not."""


class BlockingClient:
    """places: address by keeper's name. word: told apart by it from others of this identity. incarnation: grows with
    each Asker of that word."""

    def __init__(self, identity, ring, places, word, incarnation):
        self.identity, self.ring, self.places = identity, ring, dict(places)
        self.origin, self.incarnation, self.number = f"{identity.name}/{word}", incarnation, 0
        self.leader, self.turn, self.lines = None, 0, {}

    def propose(self, command, within=10.0):
        """The reply. Raises Silent; asked again under the same number by `again`."""
        self.number += 1
        return self.again(command, within)

    def again(self, command, within=10.0):
        return self._asked(
            message_codec.PROPOSE,
            {
                "command": command,
                "origin": self.origin,
                "incarnation": self.incarnation,
                "number": self.number,
            },
            within,
        )

    def read(self, query, within=10.0):
        return self._asked(message_codec.READ, {"query": query}, within)

    def once(self, name, kind, told):
        """What one keeper says: {"reply": r}, or why, again, leader, unknown. Raises OSError, KeyError, wire.Bad."""
        line = self.lines.pop(name, None) or self._connected(name)
        source, connection, session, number = line
        try:
            sealed = message_codec.sign_message(
                self.identity, name, session, number + 1, kind, msgspec.msgpack.encode(told)
            )
            connection.sendall(
                Box(_command=b"Ask", _ask=b"%d" % (number + 1), **sealed).serialize()
            )
            back = _box(source)
            if b"_error_description" in back:
                raise message_codec.MessageError(
                    "refused", back[b"_error_description"].decode("utf-8", "replace")
                )
            letter = message_codec.open_message(
                self.ring,
                time.time(),
                self.identity.name,
                session,
                number,
                back[b"key"],
                back[b"content"],
                back[b"signature"],
            )
            if (
                letter.sender != name
                or letter.kind != message_codec.REPLY
                or letter.number != number + 1
            ):
                raise message_codec.MessageError("misled", "an answer to another question")
            said = message_codec.decode_mapping(letter.body)
        except BaseException:
            _close(source, connection)  # what it may still say would be taken for another answer
            raise
        self.lines[name] = source, connection, session, number + 1
        return said

    def _connected(self, name):
        connection = socket.create_connection(address(self.places[name]), timeout=STEP)
        source, mine = connection.makefile("rb"), message_codec.new_nonce()
        try:
            connection.sendall(Box(_command=b"Hello", _ask=b"0", nonce=mine).serialize())
            return source, connection, mine + _box(source)[b"nonce"], 0
        except BaseException:
            _close(source, connection)
            raise

    def _asked(self, kind, told, within):
        end, names = time.monotonic() + within, sorted(self.places)
        while time.monotonic() < end:
            name = self.leader or names[self.turn % len(names)]
            try:
                said = self.once(name, kind, told)
            except (OSError, KeyError, message_codec.MessageError):
                said = {}
            if "reply" in said:
                self.leader = name
                return said["reply"]
            if (
                said.get("again", 0) is None
                and not said.get("unknown")
                and said.get("leader") == name
            ):
                return {"refused": said["why"], "by": [], "again": 0}
            self.turn += 1
            self.leader = said.get("leader") if said.get("leader") in self.places else None
            time.sleep(PAUSE)
        raise NoAnswerError(f"no keeper answered within {within:g} s")

    def close(self):
        for source, connection, _, _ in self.lines.values():
            _close(source, connection)
        self.lines.clear()


def _close(source, connection):
    source.close()
    connection.close()


def _box(source):
    """The next box as bytes by name; its length in all is bounded by its form: 16 fields at most are taken."""
    found = {}
    try:
        for _ in range(16):
            (length,) = LENGTH.unpack(source.read(2))
            if not length:
                return found
            name = source.read(length)
            (length,) = LENGTH.unpack(source.read(2))
            found[name] = source.read(length)
    except struct.error:
        raise OSError("the connection ended") from None
    raise OSError("a box of too many fields")
