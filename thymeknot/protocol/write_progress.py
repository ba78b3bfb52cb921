"""How far an attempt came, as a value, and the writing that knows it."""

import select
import socket
import struct
from array import array
from typing import NamedTuple

ATTACH_FILTER, RETURN = 26, 0x06  # SO_ATTACH_FILTER and BPF_RET, which the library does not name
NOT_CONNECTED, NOT_ALL_WRITTEN, WRITTEN = "not connected", "not all written", "written"


class BrokenConnection(NamedTuple):
    """The way to the peer failed; how far the attempt had come decides whether it may have been carried out."""

    reached: str
    reason: str


def nothing_waits(transport):
    """Whether nothing has come that was not read: no byte, and not the end. The machine is asked, since the loop may
    not have got to it yet."""
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def has_left(transport):
    """Whether the peer has shut its sending side or is gone, whatever waits unread before that."""
    if transport.disconnected:
        return True
    poll = select.poll()
    poll.register(transport.getHandle(), select.POLLRDHUP)
    return bool(poll.poll(0))


def take_no_more(listener):
    """Has the machine drop what comes for this listener from here on. What it accepted between the last one taken and
    the close would be reset by that; who is not accepted is refused, and asks elsewhere."""
    nothing = array(
        "B", struct.pack("=HBBI", RETURN, 0, 0, 0)
    )  # a filter of one word: no byte passes
    try:
        listener.setsockopt(
            socket.SOL_SOCKET, ATTACH_FILTER, struct.pack("@HP", 1, nothing.buffer_info()[0])
        )
    except OSError:
        pass  # the close is as close behind as it can be


class WholeWriter:
    """For protocols that must know when the last byte of what they write has gone to the network.

    It is a pull producer of its transport: one is asked for more exactly when nothing is left to write."""

    written, _content = False, None

    def write_whole(self, content):
        self.written, self._content = False, content
        self.transport.registerProducer(self, False)

    def resumeProducing(self):
        if self._content:
            content, self._content = self._content, None
            self.transport.write(content)
        else:
            self.written = True
            self.transport.unregisterProducer()

    def stopProducing(self):
        """The transport says so when it is lost; connectionLost follows."""

    def how_far(self, reason):
        return BrokenConnection(WRITTEN if self.written else NOT_ALL_WRITTEN, reason)
