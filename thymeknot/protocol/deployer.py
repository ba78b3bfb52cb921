"""The release platform: its calls, responses and stream events, translated to events."""

import re
from collections.abc import Callable, Mapping
from html import unescape
from typing import Any, Final, TypeVar
from urllib.parse import parse_qsl

from ..interface.actions import CastVote
from ..interface.clock import TICKS_PER_SECOND, Ticks
from ..interface.enums import Outcome, ReleasePhase, Verdict
from ..interface.events import FleetCounts, ReleaseUpdate
from . import http
from .http_calls import Reply
from .write_progress import WRITTEN, BrokenConnection

BASE: Final = "/v2/projects/main/"
HEARTBEAT: Final[Ticks] = TICKS_PER_SECOND
"""Between two signs of life on the stream, by the protocol."""
SILENCE_TIMEOUT: Final[Ticks] = 4 * HEARTBEAT
"""A stream that says nothing for so long is broken."""
FIRST_DATA_TIMEOUT: Final[Ticks] = 2 * HEARTBEAT
"""The newest build is told at once; if not, the first heartbeat has come by then."""
MOST_TIME: Final = 10**13
"""Milliseconds that a time may have."""
MOST_WHOLE: Final = 2**53
"""Of a whole number: what a float holds exactly."""
MOST_FIELDS: Final = 100
"""Fields of a form."""
TICKS_PER_MILLISECOND: Final = 10
HTTP_OK: Final = 200
VERDICTS: Final = {
    Verdict.ABSTAIN: "abstain",
    Verdict.PROMOTE: "promote",
    Verdict.PAUSE: "pause",
    Verdict.ABORT: "abort",
}
PHASES: Final = {
    "trial": ReleasePhase.ON_TRIAL,
    "rolling_back": ReleasePhase.ROLLING_BACK,
    "released": ReleasePhase.RELEASED,
    "withdrawn": ReleasePhase.WITHDRAWN,
}
REFUSALS: Final[dict[tuple[int, str | None], Outcome]] = {
    (400, "throttled"): Outcome.REJECTED,
    (400, "conflict"): Outcome.NOT_SENT,
    (400, "invalid"): Outcome.ERROR,
    (500, "internal"): Outcome.ERROR,
}
"""What a response (status, code) means for a vote; for any other one, the vote may count."""
LEAF: Final = re.compile(r"<([A-Za-z][\w.-]*)(?:\s[^<>]*)?>([^<>]*)</\1\s*>")


Value = TypeVar("Value")


class UnreadableReleaseError(ValueError):
    """The platform's message can't be read. The text names the faulty field."""


def vote_request(host: str, action: CastVote) -> bytes:
    """The call that casts a vote."""
    return http.request(
        "POST",
        BASE,
        host,
        {
            "Action": "PutApproval",
            "version": action.build,
            "step": action.stage,
            "vote": VERDICTS[action.verdict],
        },
    )


def stream_request(host: str) -> bytes:
    """The call that opens the event stream."""
    return http.request("GET", BASE + "stream", host)


def _read(told: Mapping[str, Any], name: str, decode: Callable[[Any], Value]) -> Value:
    try:
        return decode(told[name])
    except KeyError:
        raise UnreadableReleaseError(
            f"{name} is missing or not known: {told.get(name)!r}"
        ) from None
    except (TypeError, ValueError, OverflowError):
        raise UnreadableReleaseError(f"{name} makes no sense: {told[name]!r}") from None


def _ticks(milliseconds: Any) -> Ticks:
    value = float(milliseconds)
    if not 0 <= value <= MOST_TIME:
        raise ValueError(milliseconds)
    return int(value * TICKS_PER_MILLISECOND)


def _whole(text: Any) -> int:
    value = int(text)
    if not 0 <= value <= MOST_WHOLE:
        raise ValueError(text)
    return value


def _share(text: Any) -> float:
    value = float(text)
    if not 0 <= value <= 1:
        raise ValueError(text)
    return value


def read_release_update(told: Mapping[str, Any], *, answers_vote: bool = False) -> ReleaseUpdate:
    """The release update of the names and values that tell how the newest build stands."""
    return ReleaseUpdate(
        build=_read(told, "version", _whole),
        stage=_read(told, "step", _whole),
        phase=_read(told, "status", PHASES.__getitem__),
        answers_vote=answers_vote,
        outcome=Outcome.DONE,
        cap=_read(told, "maxWeight", _share),
        age=_read(told, "observedAgoMs", _ticks),
    )


def read_event(event: str, data: str) -> ReleaseUpdate | FleetCounts | None:
    """What an event of the stream tells; None for a kind that is not known."""
    told = dict(parse_qsl(data, keep_blank_values=True, max_num_fields=MOST_FIELDS))
    if event == "progress":
        return read_release_update(told)
    if event == "metrics":
        return _read_counts(told)
    return None


def _read_counts(told: Mapping[str, Any]) -> FleetCounts:
    attempts = _read(told, "requests", _whole)
    failed = _read(told, "failures", _whole)
    latency = _read(told, "avgMs", _ticks) if failed < attempts else 0  # of none there is no mean
    return FleetCounts(
        build=_read(told, "version", _whole),
        request_class=_read(told, "kind", str),
        attempts=attempts,
        failed=failed,
        latency=latency,
        age=_read(told, "observedAgoMs", _ticks),
    )


def leaves(text: str) -> dict[str, str]:
    """The elements of a piece of XML that hold text alone, by name."""
    return {name: unescape(content.strip()) for name, content in LEAF.findall(text)}


def read_vote_reply(build: int, end: Reply | BrokenConnection) -> ReleaseUpdate:
    """The release update that answers a vote, whichever way the call ended."""
    if isinstance(end, Reply):
        told = leaves(end.body.decode("utf-8", "replace"))
        if end.status == HTTP_OK:
            try:
                return read_release_update(told, answers_vote=True)
            except UnreadableReleaseError:
                return ReleaseUpdate(build, None, None, True, Outcome.TIMED_OUT, None, None)
        outcome = REFUSALS.get((end.status, told.get("Code")), Outcome.TIMED_OUT)
    else:
        outcome = Outcome.TIMED_OUT if end.progress == WRITTEN else Outcome.ERROR
    return ReleaseUpdate(build, None, None, True, outcome, None, None)
