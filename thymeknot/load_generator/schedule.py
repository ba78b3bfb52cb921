"""Which request is sent when: Poisson arrivals, keys by Zipf's law. Pure."""

import enum
import math
from collections.abc import Iterator, Sequence
from itertools import accumulate
from random import Random
from typing import NamedTuple

from ..interface.clock import TICKS_PER_SECOND, Ticks
from .ramp import Ramp
from .verdict import HELD, Goal

KEYS = 10_000
"""Different keys, unless the caller says otherwise."""

ZIPF_EXPONENT = 0.8
"""How uneven the keys are: the k-th is asked for in proportion to k to the power of minus this."""

TENANTS = 4
"""Different tenants, unless the caller says otherwise."""


class RequestKind(enum.StrEnum):
    """What a server may do with a request twice.

    Members: READ may run again, WRITE may not, MARKED is a write with an idempotency key.
    """

    READ = "read"
    WRITE = "write"
    MARKED = "marked"


class RequestClass(NamedTuple):
    """Requests of one class; the command line and the wire call it a lane.

    Attributes:
        name: Its name on the wire.
        share: Its part of all requests, relative to the shares of the other classes.
        kind: Whether its requests may run again.
    """

    name: str
    share: float
    kind: RequestKind


class Request(NamedTuple):
    """A planned request.

    Attributes:
        due: When it is to be sent, counted from the beginning of the stretch.
        id: Its own identifier, 16 hexadecimal digits.
        key: The key that it is about.
        request_class: Its class.
        tenant: On whose behalf it is sent.
    """

    due: Ticks
    id: str
    key: str
    request_class: RequestClass
    tenant: str


class ScheduleError(ValueError):
    """An option that can't be used; the text says what would do."""


def parse_request_class(text: str) -> RequestClass:
    """Parses the command line's NAME=SHARE, NAME=SHARE,write or NAME=SHARE,marked.

    Raises:
        ScheduleError: The text has another form.
    """
    name, _, rest = text.partition("=")
    share_text, _, kind = (rest or "1").partition(",")
    kind = kind or RequestKind.READ
    try:
        share = float(share_text)
    except ValueError:
        raise ScheduleError(f"{text}: the share is no number") from None
    if not name or "," in name or not 0 < share < math.inf or kind not in tuple(RequestKind):
        raise ScheduleError(f"{text}: NAME=SHARE, and behind it read, write or marked")
    return RequestClass(name, share, RequestKind(kind))


def schedule_requests(
    seed: int, rate: float, span: Ticks, classes: Sequence[RequestClass], *, keys: int = KEYS
) -> Iterator[Request]:
    """The requests of a stretch in order of time; the same arguments give the same ones.

    Args:
        seed: Of the random numbers.
        rate: Requests a second, on average.
        span: The length of the stretch.
        classes: The classes that requests are drawn from by their shares.
        keys: The number of different keys.
    """
    random = Random(seed)
    cumulated_weights = list(accumulate(1 / rank**ZIPF_EXPONENT for rank in range(1, keys + 1)))
    shares = [request_class.share for request_class in classes]
    now = 0.0
    while True:
        now += random.expovariate(rate / TICKS_PER_SECOND)
        if now >= span:
            return
        (key,) = random.choices(range(keys), cum_weights=cumulated_weights)
        (request_class,) = random.choices(classes, shares)
        yield Request(
            due=int(now),
            id=f"{random.getrandbits(64):016x}",
            key=f"{key:08x}",
            request_class=request_class,
            tenant=f"t{key % TENANTS}",
        )


# The command line finds all of the load tool's options here.
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
