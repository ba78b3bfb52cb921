"""Inspects and filters a listening socket, so that closing it resets no connection (Linux only)."""

import socket
import struct
from array import array
from collections.abc import Sequence
from typing import Final, NamedTuple

SO_ATTACH_FILTER: Final = 26
"""Socket option that attaches a BPF packet filter; the socket module does not define it."""


class BpfInstruction(NamedTuple):
    """An instruction of a classic BPF program, in the layout of `struct sock_filter`."""

    opcode: int
    jump_if_true: int
    jump_if_false: int
    operand: int


BPF_LOAD_BYTE: Final = 0x30
BPF_AND: Final = 0x54
BPF_JUMP_IF_EQUAL: Final = 0x15
BPF_RETURN: Final = 0x06
TCP_FLAGS_OFFSET: Final = 13
"""Offset of the flags in the TCP header, with which a TCP socket's packets begin."""
TCP_SYN: Final = 0x02
TCP_ACK: Final = 0x10
DROP: Final = 0
PASS: Final = 0xFFFF_FFFF
DROP_CONNECTION_REQUESTS: Final = (
    BpfInstruction(BPF_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    BpfInstruction(BPF_AND, 0, 0, TCP_SYN | TCP_ACK),
    BpfInstruction(BPF_JUMP_IF_EQUAL, 0, 1, TCP_SYN),
    BpfInstruction(BPF_RETURN, 0, 0, DROP),
    BpfInstruction(BPF_RETURN, 0, 0, PASS),
)
"""Drops segments with SYN but without ACK: the first of each handshake."""

NETLINK_SOCK_DIAG: Final = 4
SOCK_DIAG_BY_FAMILY: Final = 20
NLM_F_REQUEST: Final = 0x001
NLM_F_DUMP: Final = 0x300
NLMSG_ERROR: Final = 2
NLMSG_DONE: Final = 3
NLMSG_HEADER: Final = struct.Struct("=IHHII")
"""`struct nlmsghdr`: length, type, flags, sequence number and port id."""
INET_DIAG_REQUEST: Final = struct.Struct("=BBBxI2s46x")
"""`struct inet_diag_req_v2`: family, protocol, extensions, states and the local port."""
TCP_SYN_RECEIVED_STATE: Final = 1 << 3
NETLINK_REPLY_SIZE: Final = 65_536
NETLINK_TIMEOUT_SECONDS: Final = 0.05


def attach_filter(listener: socket.socket, instructions: Sequence[BpfInstruction]) -> None:
    """Attaches a packet filter, which replaces a former one.

    Raises:
        OSError: The kernel does not take it.
    """
    content = b"".join(struct.pack("=HBBI", *instruction) for instruction in instructions)
    buffer = array("B", content)
    program = struct.pack("@HP", len(instructions), buffer.buffer_info()[0])
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def drop_connection_requests(listener: socket.socket) -> None:
    """Makes the kernel drop new connection requests to this listener, by a packet filter.

    Handshakes that have begun still complete, and their connections can be accepted: their clients
    may have seen the connection established, so dropping their packets as well would make the close
    of the listener reset them. A client whose request is dropped repeats it after a second and is
    refused, so it can try another instance.
    """
    try:
        attach_filter(listener, DROP_CONNECTION_REQUESTS)
    except OSError:
        pass  # without the filter the caller can only close the listener as soon as possible


def count_unfinished_handshakes(listener: socket.socket) -> int | None:
    """Returns how many connections to this listener the kernel is still establishing.

    Returns:
        The number of connections of this port in the state SYN_RECV, or None if the kernel does not
        tell.
    """
    try:
        port = listener.getsockname()[1]
        with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as connection:
            connection.settimeout(NETLINK_TIMEOUT_SECONDS)
            connection.send(_diagnosis_request(listener.family, port))
            return _count_replies(connection)
    except OSError:
        return None


def _diagnosis_request(family: int, port: int) -> bytes:
    """Returns a request for all TCP sockets in the state SYN_RECV with this local port."""
    body = INET_DIAG_REQUEST.pack(
        family, socket.IPPROTO_TCP, 0, TCP_SYN_RECEIVED_STATE, struct.pack("!H", port)
    )
    size = NLMSG_HEADER.size + len(body)
    header = NLMSG_HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST | NLM_F_DUMP, 1, 0)
    return header + body


def _count_replies(connection: socket.socket) -> int | None:
    """Reads a dump to its end and returns the number of sockets in it, or None on an error."""
    count = 0
    while True:
        content = connection.recv(NETLINK_REPLY_SIZE)
        offset = 0
        while offset + NLMSG_HEADER.size <= len(content):
            size, kind, *_ = NLMSG_HEADER.unpack_from(content, offset)
            if kind == NLMSG_DONE:
                return count
            if kind == NLMSG_ERROR or size < NLMSG_HEADER.size:
                return None
            count += 1
            offset += size + -size % 4
        if not content:
            return None
