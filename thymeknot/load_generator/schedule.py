"""The requests of a run: Poisson arrivals, keys by Zipf's law. Free of I/O and clocks."""

import enum
import math
from collections.abc import Iterator, Sequence
from itertools import accumulate
from random import Random
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .ramp import Ramp
from .verdict import HELD, Goal

DEFAULT_KEY_COUNT = 10_000
"""Number of different keys by default."""

ZIPF_EXPONENT = 0.8
"""Exponent s of Zipf's law: the key of rank k is requested with a probability ~ k ** -s."""

TENANT_COUNT = 4
"""Number of different tenants; a key always belongs to the same one."""


class RequestKind(enum.StrEnum):
    """Whether a request may be executed more than once.

    READ is idempotent, WRITE is not, MARKED is a write with an idempotency key.
    """

    READ = "read"
    WRITE = "write"
    MARKED = "marked"


class RequestClass(NamedTuple):
    """A request class; the command line calls it a lane.

    Attributes:
        name: Name on the wire.
        share: Share of all requests, relative to the shares of the other classes.
        kind: Whether its requests may be executed more than once.
    """

    name: str
    share: float
    kind: RequestKind


class Request(NamedTuple):
    """A scheduled request.

    Attributes:
        due: When it should be sent, in ticks since the start of the run.
        id: Unique identifier, 16 hexadecimal digits.
        key: The key that it reads or writes.
        request_class: The request class.
        tenant: The tenant.
    """

    due: Ticks
    id: str
    key: str
    request_class: RequestClass
    tenant: str


class ScheduleError(ValueError):
    """An invalid command-line option; the message says what is allowed."""


def parse_request_class(text: str) -> RequestClass:
    """Parses NAME=SHARE or NAME=SHARE,KIND of the command line; the default kind is read.

    Raises:
        ScheduleError: The text has another form, the share is not a positive finite number, or the
            kind is unknown.
    """
    name, _, rest = text.partition("=")
    share_text, _, kind = (rest or "1").partition(",")
    kind = kind or RequestKind.READ
    try:
        share = float(share_text)
    except ValueError:
        raise ScheduleError(f"{text}: the share must be a number") from None
    if not name or "," in name or not 0 < share < math.inf or kind not in tuple(RequestKind):
        raise ScheduleError(
            f"{text}: must be NAME=SHARE[,KIND]: SHARE above 0, KIND read, write or marked"
        )
    return RequestClass(name, share, RequestKind(kind))


def schedule_requests(
    seed: int,
    rate: float,
    duration: Ticks,
    classes: Sequence[RequestClass],
    *,
    key_count: int = DEFAULT_KEY_COUNT,
) -> Iterator[Request]:
    """Yields the requests of a run in order of time; equal arguments yield equal requests.

    Args:
        seed: Seed of the random numbers.
        rate: Average requests per second.
        duration: Duration of the run.
        classes: The request classes, drawn in proportion to their shares.
        key_count: Number of different keys.
    """
    random = Random(seed)
    cumulative_weights = list(
        accumulate(1 / rank**ZIPF_EXPONENT for rank in range(1, key_count + 1))
    )
    shares = [request_class.share for request_class in classes]
    now = 0.0
    while True:
        now += random.expovariate(rate / TICKS_PER_SECOND)
        if now >= duration:
            return
        (key,) = random.choices(range(key_count), cum_weights=cumulative_weights)
        (request_class,) = random.choices(classes, shares)
        yield Request(
            due=int(now),
            id=f"{random.getrandbits(64):016x}",
            key=f"{key:08x}",
            request_class=request_class,
            tenant=f"t{key % TENANT_COUNT}",
        )


# The `load` command takes all that its options need from this module.
__all__ = [
    "HELD",
    "TICKS_PER_SECOND",
    "Goal",
    "Ramp",
    "Request",
    "RequestClass",
    "RequestKind",
    "ScheduleError",
    "parse_request_class",
    "schedule_requests",
]
