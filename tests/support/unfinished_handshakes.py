"""Holds handshakes with a listening socket in the state SYN_RECV, as a busy machine does by chance."""

import socket
import struct
from array import array

from thymeknot.protocol.listening_socket import (
    BPF_AND,
    BPF_JUMP_IF_EQUAL,
    BPF_LOAD_BYTE,
    BPF_RETURN,
    DROP,
    PASS,
    SO_ATTACH_FILTER,
    TCP_FLAGS_OFFSET,
    TCP_SYN,
    BpfInstruction,
)

DROP_ALL_BUT_CONNECTION_REQUESTS = (
    BpfInstruction(BPF_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    BpfInstruction(BPF_AND, 0, 0, TCP_SYN),
    BpfInstruction(BPF_JUMP_IF_EQUAL, 0, 1, TCP_SYN),
    BpfInstruction(BPF_RETURN, 0, 0, PASS),
    BpfInstruction(BPF_RETURN, 0, 0, DROP),
)


def hold_handshakes(listener: socket.socket) -> None:
    """Drops the last segment of each handshake: connect() succeeds, accept() has nothing.

    The client's kernel repeats it with the first data, 0.2 s after that was sent; whoever attaches
    another filter until then lets the handshake complete.
    """
    content = b"".join(
        struct.pack("=HBBI", *instruction) for instruction in DROP_ALL_BUT_CONNECTION_REQUESTS
    )
    instructions = array("B", content)
    program = struct.pack(
        "@HP", len(DROP_ALL_BUT_CONNECTION_REQUESTS), instructions.buffer_info()[0]
    )
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
