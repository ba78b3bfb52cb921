"""Exceptions of the package, which share one base class."""


class RaftError(Exception):
    """Base class of all exceptions that this package defines."""


class MessageDecodeError(RaftError):
    """Bytes that can't be decoded as a message between nodes; the text gives the reason."""


class MessageError(RaftError, ValueError):
    """A signed message that is too long, forged, replayed, misaddressed or malformed.

    Attributes:
        kind: The category that rejected messages are counted under, such as "forged".
    """

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


class RequestRejectedError(RaftError):
    """A request or handshake that the other end rejected; the text gives the reason."""


class DamagedStorageError(RaftError):
    """The storage directory is damaged and an operator has to intervene.

    The text names the file or directory and, where known, the position of the damage.
    """


class RecordOrderError(RaftError, ValueError):
    """Stored log entries whose indices are not consecutive."""
