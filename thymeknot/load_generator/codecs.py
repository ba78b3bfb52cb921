"""Encoding and decoding of the load generator's protocols; each connection has its own codec."""

from collections.abc import Callable, Iterator
from typing import Protocol

from ..interface.clock import Ticks
from ..protocol import resp
from .latency_histogram import Outcome
from .schedule import Request, RequestKind

TICKS_PER_MILLISECOND = 10


class Codec(Protocol):
    """Encodes requests and decodes responses of one connection."""

    def encode(self, request: Request, remaining: Ticks) -> bytes:
        """Encodes a request.

        Args:
            request: The request.
            remaining: Time until the client stops waiting; may be negative.
        """

    def decode(self, data: bytes) -> Iterator[Outcome]:
        """Yields the outcomes of the responses that these bytes complete, in order.

        Raises:
            MalformedRespError: The bytes violate the protocol.
        """


class Resp2Codec:
    """The sidecar's RESP2 protocol, without pipelining."""

    def __init__(self) -> None:
        self.parser = resp.Parser()

    def encode(self, request: Request, remaining: Ticks) -> bytes:
        """Encodes a request; its deadline is at least one millisecond."""
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
        """Yields outcomes: BUSY is a rejection, any other error or a null is a failure."""
        for message in self.parser.feed(data):
            if isinstance(message, resp.Failure):
                rejected = message.text.split(" ")[0] == "BUSY"
                yield Outcome.DEFERRED if rejected else Outcome.ABANDONED
            else:
                first = message[0] if isinstance(message, list) and message else message
                yield Outcome.DONE if isinstance(first, memoryview) else Outcome.ABANDONED


CODECS: dict[str, Callable[[], Codec]] = {"resp2": Resp2Codec}
"""Codecs by the protocol's name on the command line."""
