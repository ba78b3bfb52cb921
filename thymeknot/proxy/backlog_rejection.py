"""Rejects connections that waited for a place in vain until their listener closes."""

import contextlib
import socket

from ..protocol import resp
from ..protocol.command import QUERY, SUBMIT, CommandParser
from .attempt import BUSY

READ_BYTES = 65_536
"""Most that is read of one connection; a client sends its first commands right away."""

RESPONSE_TO_PING = resp.status("PONG")
RESPONSE_TO_REQUEST = resp.failure(BUSY)
RESPONSE_TO_INVALID_COMMAND = resp.failure("ERR unknown command")


def reject_backlog(listener: socket.socket, max_connections: int) -> None:
    """Accepts what waits in the backlog, answers what has been sent, and closes.

    The close of the listener would reset these connections, and their clients could not tell
    whether their requests had been read. Nothing is forwarded, so a rejected request had no effect.
    One connection is open at a time.

    Args:
        listener: The listening socket, not blocking.
        max_connections: Maximum number of connections to reject.
    """
    for _ in range(max_connections):
        try:
            connection, _ = listener.accept()
        except OSError:  # none is left, or no descriptor is
            return
        with connection, contextlib.suppress(OSError):
            connection.setblocking(False)
            connection.send(_responses(connection))
            connection.shutdown(socket.SHUT_WR)


def _responses(connection: socket.socket) -> bytes:
    """Returns the responses to the whole commands that a connection has sent."""
    responses = []
    try:
        for message in CommandParser().feed(connection.recv(READ_BYTES)):
            responses.append(_response(message))  # noqa: PERF401 (those before an error count)
    except BlockingIOError:
        pass  # nothing has been sent yet: its client sees the end and asks elsewhere
    except resp.MalformedRespError as error:
        responses.append(resp.failure(f"ERR syntax: {error}"))
    return b"".join(responses)


def _response(message: object) -> bytes:
    name = bytes(message[0]).upper() if isinstance(message, list) and message else b""
    if name == b"PING":
        return RESPONSE_TO_PING
    return RESPONSE_TO_REQUEST if name in (QUERY, SUBMIT) else RESPONSE_TO_INVALID_COMMAND
