"""The protocols that the load tool speaks; a codec belongs to one connection."""

from collections.abc import Callable, Iterator
from typing import Protocol

from ..interface.clock import Ticks
from ..protocol import resp
from .latency_histogram import Outcome
from .schedule import Request, RequestKind

TICKS_PER_MILLISECOND = 10


class Codec(Protocol):
    """What a protocol's class does."""

    def encode(self, request: Request, remaining: Ticks) -> bytes:
        """The bytes of a request whose client waits for so long yet."""

    def decode(self, data: bytes) -> Iterator[Outcome]:
        """How requests ended, in their order.

        Raises:
            MalformedRespError: The bytes are none of the protocol.
        """


class Resp2Codec:
    """The sidecar's own protocol, with one request at a time."""

    def __init__(self) -> None:
        self.parser = resp.Parser()

    def encode(self, request: Request, remaining: Ticks) -> bytes:
        """The bytes of a request; its deadline is at least a millisecond."""
        kind = request.request_class.kind
        milliseconds = max(1, remaining // TICKS_PER_MILLISECOND)
        options = f"c={request.request_class.name},t={request.tenant},d={milliseconds}"
        if kind == RequestKind.MARKED:
            options += f",k={request.id}"
        is_read = kind == RequestKind.READ
        arguments = [
            b"SVC.QUERY" if is_read else b"SVC.SUBMIT",
            request.key.encode(),
            request.id.encode(),
            options.encode(),
        ]
        encoded: bytes = resp.command(arguments if is_read else [*arguments, b"x"])
        return encoded

    def decode(self, data: bytes) -> Iterator[Outcome]:
        """How requests ended: BUSY is a rejection, another error or a null a failure."""
        for message in self.parser.feed(data):
            if isinstance(message, resp.Failure):
                rejected = message.text.split(" ")[0] == "BUSY"
                yield Outcome.DEFERRED if rejected else Outcome.ABANDONED
            else:
                first = message[0] if isinstance(message, list) and message else message
                yield Outcome.DONE if isinstance(first, memoryview) else Outcome.ABANDONED


CODECS: dict[str, Callable[[], Codec]] = {"resp2": Resp2Codec}
"""The codec of each protocol, by the command line's word."""
