"""The errors of the package, under one base."""


class RaftError(Exception):
    """Base of every error that this package raises."""


class MessageDecodeError(RaftError):
    """Bytes that are no message between nodes; the text says why."""


class MessageError(RaftError, ValueError):
    """A signed message that can't be accepted.

    Attributes:
        kind: the word that rejected messages are counted under.
    """

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


class RequestRejectedError(RaftError):
    """A client's request that was not accepted; the text says why."""


class DamagedStorageError(RaftError):
    """The directory can't be trusted or repaired: an operator must look. Names file and place."""


class RecordOrderError(RaftError, ValueError):
    """Records on a disk that don't follow one another."""
