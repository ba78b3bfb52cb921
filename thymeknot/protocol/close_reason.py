"""Why a client's connection was closed."""

from enum import StrEnum


class CloseReason(StrEnum):
    """Why a client's connection was closed, as logged."""

    CLIENT = "client"
    """The client closed it, or the network broke it."""
    INCOMPLETE_COMMAND = "incomplete command"
    NO_COMMAND = "no command"
    MALFORMED_INPUT = "malformed input"
    CLIENT_NOT_READING = "client not reading"
    EVICTED = "evicted"
    SHUTDOWN = "shutdown"
    FAULT = "fault"
