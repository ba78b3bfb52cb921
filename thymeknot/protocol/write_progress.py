"""Tracks how much of a request has been written to the network, and inspects sockets."""

import select
import socket
from enum import StrEnum
from typing import Any, Final, NamedTuple


class WriteProgress(StrEnum):
    """How much of a request had been written when its connection ended."""

    NOT_CONNECTED = "not connected"
    NOT_ALL_WRITTEN = "not all written"
    WRITTEN = "written"


NOT_CONNECTED: Final = WriteProgress.NOT_CONNECTED
NOT_ALL_WRITTEN: Final = WriteProgress.NOT_ALL_WRITTEN
WRITTEN: Final = WriteProgress.WRITTEN


class BrokenConnection(NamedTuple):
    """A failed connection.

    The write progress tells whether the peer may have executed the request.
    """

    progress: WriteProgress
    reason: str


def is_receive_buffer_empty(transport: Any) -> bool:
    """Returns whether neither data nor an end of stream is waiting to be read.

    Peeks at the socket, since the event loop may not have read what the kernel has received.
    """
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def peer_has_closed(transport: Any) -> bool:
    """Returns whether the peer has shut down its sending side, with or without unread data."""
    if transport.disconnected:
        return True
    poll = select.poll()
    poll.register(transport.getHandle(), select.POLLRDHUP)
    return bool(poll.poll(0))


class RequestWriter:
    """Mixin for protocols that must know when the last byte of a request was written.

    It registers as a pull producer of its transport, which asks for more data exactly when its
    write buffer is empty.

    Attributes:
        transport: Twisted's transport of the connection.
        written: Whether all bytes of the latest request were passed to the kernel.
    """

    transport: Any
    written = False
    _content: bytes | None = None

    def write_request(self, content: bytes) -> None:
        """Writes the content; `written` becomes true once the kernel has taken its last byte."""
        self.written = False
        self._content = content
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by the transport when its write buffer is empty."""
        if self._content:
            content = self._content
            self._content = None
            self.transport.write(content)
        else:
            self.written = True
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by the transport when the connection is lost; connectionLost follows."""

    def broken_connection(self, reason: str) -> BrokenConnection:
        """Returns the failure of this connection, with the write progress of its request."""
        return BrokenConnection(WRITTEN if self.written else NOT_ALL_WRITTEN, reason)
