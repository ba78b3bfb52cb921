"""How far a request to a peer was written, as a value, and the writer that knows it."""

import select
import socket
import struct
from array import array
from enum import StrEnum
from typing import Any, Final, NamedTuple

SO_ATTACH_FILTER: Final = 26
"""The socket option that attaches a packet filter; the socket module does not name it."""
BPF_RET: Final = 0x06
"""The filter instruction that returns how many bytes pass."""


class WriteProgress(StrEnum):
    """How far a request was written when its connection ended."""

    NOT_CONNECTED = "not connected"
    NOT_ALL_WRITTEN = "not all written"
    WRITTEN = "written"


NOT_CONNECTED: Final = WriteProgress.NOT_CONNECTED
NOT_ALL_WRITTEN: Final = WriteProgress.NOT_ALL_WRITTEN
WRITTEN: Final = WriteProgress.WRITTEN


class BrokenConnection(NamedTuple):
    """The connection failed. How far the request was written tells whether it may have run."""

    progress: WriteProgress
    reason: str


def is_receive_buffer_empty(transport: Any) -> bool:
    """Whether nothing is left to read: no byte, and not the end.

    The operating system is asked, since the event loop may not have read it yet.
    """
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def peer_has_closed(transport: Any) -> bool:
    """Whether the peer has shut its sending side or is gone, whatever waits unread before that."""
    if transport.disconnected:
        return True
    poll = select.poll()
    poll.register(transport.getHandle(), select.POLLRDHUP)
    return bool(poll.poll(0))


def drop_new_connections(listener: socket.socket) -> None:
    """Makes the operating system drop new connections to this listener.

    Connections accepted between the last one taken and the close would be reset by the close; one
    that is not accepted is refused, and its client asks elsewhere.
    """
    drop_everything = array("B", struct.pack("=HBBI", BPF_RET, 0, 0, 0))
    program = struct.pack("@HP", 1, drop_everything.buffer_info()[0])
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError:
        pass  # without a filter, the close follows as soon as it can


class WholeWriter:
    """For protocols that must know when the last byte of a request has gone to the network.

    It is a pull producer of its transport, which asks for more exactly when nothing is left to
    write.
    """

    transport: Any
    written = False
    _content: bytes | None = None

    def write_whole(self, content: bytes) -> None:
        """Writes the content; `written` becomes true once its last byte has gone."""
        self.written = False
        self._content = content
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """Called by the transport when nothing is left to write."""
        if self._content:
            content = self._content
            self._content = None
            self.transport.write(content)
        else:
            self.written = True
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802 (Twisted's name)
        """The transport says so when it is lost; connectionLost follows."""

    def how_far(self, reason: str) -> BrokenConnection:
        """The end of the connection as a value."""
        return BrokenConnection(WRITTEN if self.written else NOT_ALL_WRITTEN, reason)
