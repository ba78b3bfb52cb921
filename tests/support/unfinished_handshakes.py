"""Holds handshakes with a listening socket in the state SYN_RECV, as a busy machine does by chance."""

import socket

from thymeknot.protocol.listening_socket import (
    BPF_AND,
    BPF_JUMP_IF_EQUAL,
    BPF_LOAD_BYTE,
    BPF_RETURN,
    DROP,
    PASS,
    TCP_FLAGS_OFFSET,
    TCP_SYN,
    BpfInstruction,
    attach_filter,
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
    attach_filter(listener, DROP_ALL_BUT_CONNECTION_REQUESTS)
